"""Stand-ins on loopback: nodes with queues, discovery, clients; and the real program as a process.

    python -m snowwick.lab.standins NODES MESSAGE_MS SETUP_MS [KIND]

serves so many nodes and a discovery that lists them, and prints discovery's address and the list.  A node is
one queue: every line takes MESSAGE_MS of its time and every opening SETUP_MS, so a crowded node answers late.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from snowwick.net.loop import READABLE, TIMED_OUT, Actor, Coroutine, Loop, Wait
from snowwick.net.peer import configure_socket

ROOT = Path(__file__).parent.parent.parent


def listen_on_loopback() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0), backlog=1024)
    sock.setblocking(False)
    return sock


def loopback_address(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


class LineConnection(Actor):
    """One connection that lines are read from; ends without fuss when the other side does."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        super().__init__(loop)
        self.sock, self.input_buffer = configure_socket(sock), bytearray()

    def run(self) -> Coroutine:
        try:
            yield from self.handle_connection()
        except OSError:
            pass
        finally:
            self.loop.unregister(self)
            self.sock.close()

    def handle_connection(self) -> Coroutine:
        raise NotImplementedError

    def read_line(self, until: float | None = None) -> Generator[Wait, int, bytes | None]:
        """The next line; None where the time ran out, b"" at the end."""
        while (end := self.input_buffer.find(b"\n") + 1) == 0:
            woke = yield Wait(self.sock, read=True, until=until)
            if woke & READABLE:
                with contextlib.suppress(BlockingIOError):
                    data = self.sock.recv(65536)
                    if not data:
                        return b""
                    self.input_buffer += data
            elif woke & TIMED_OUT:
                return None
        line = bytes(self.input_buffer[:end])
        del self.input_buffer[:end]
        return line


class Acceptor(Actor):
    """Accepts connections and starts an actor for each."""

    def __init__(self, loop: Loop, sock: socket.socket, meet: Callable[[socket.socket], Actor]) -> None:
        super().__init__(loop)
        self.sock, self.meet = sock, meet

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=True)
            with contextlib.suppress(BlockingIOError):
                while True:
                    self.meet(self.sock.accept()[0]).start()


@dataclass
class QueueingDestination:
    """A stand-in destination: when its queue will be empty, and what its work costs in s."""

    message: float
    setup: float
    free: float = 0.0
    open: int = 0

    def work(self, now: float, cost: float) -> float:
        self.free = max(self.free, now) + cost
        return self.free


class QueueingConnection(LineConnection):
    """A node's side of a connection: UP after the setup's work, then every line back after its own."""

    def __init__(self, loop: Loop, sock: socket.socket, node: QueueingDestination) -> None:
        super().__init__(loop, sock)
        self.node = node

    def handle_connection(self) -> Coroutine:
        first = yield from self.read_line()
        if not first or not first.startswith(b"OPEN "):
            return
        yield from self.sleep_until(self.node.work(self.loop.clock(), self.node.setup))
        self.sock.send(b"UP r\r\n")
        while line := (yield from self.read_line()):
            yield from self.sleep_until(self.node.work(self.loop.clock(), self.node.message))
            self.sock.send(line)


class DiscoveryConnection(LineConnection):
    """Tells the whole list to whoever has none, and no news to whoever watches."""

    def __init__(self, loop: Loop, sock: socket.socket, servers: list[dict[str, Any]]) -> None:
        super().__init__(loop, sock)
        self.servers = servers

    def handle_connection(self) -> Coroutine:
        while request := (yield from self.read_line()):
            while (yield from self.read_line()) not in (b"\r\n", b""):
                pass
            fresh = b"after=" not in request or b"after=0&" in request
            if not fresh:
                yield from self.sleep_until(self.loop.clock() + 3.0)
            listed = self.servers if fresh else []
            body = json.dumps({"version": 1, "full": fresh, "servers": listed}).encode()
            self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def serve_destinations(count: int, message: float, setup: float, kind: str) -> None:
    loop, servers = Loop(), []
    for number in range(count):
        sock, node = listen_on_loopback(), QueueingDestination(message, setup)
        Acceptor(loop, sock, lambda s, node=node: QueueingConnection(loop, s, node)).start()  # type: ignore[misc]
        servers.append(
            {"id": f"s-{number}", "addr": loopback_address(sock), "state": "in_service", "kind": kind}
        )
    sock = listen_on_loopback()
    Acceptor(loop, sock, lambda s: DiscoveryConnection(loop, s, servers)).start()
    print(json.dumps({"discovery": loopback_address(sock), "servers": servers}), flush=True)
    loop.run()


@dataclass
class ClientStatistics:
    """What a team's clients wanted and got.  Times in s."""

    wanted_s: float = 0.0
    good_s: float = 0.0
    established: int = 0  # standing now
    mean_established: float = 0.0  # in the mean
    setups: int = 0
    setups_in_time: int = 0
    refused: int = 0
    moved: int = 0
    scheduled_retries: int = 0  # tries at a stated come-back time
    accepted_scheduled_retries: int = 0  # of those, let in

    @property
    def service_fraction(self) -> float:
        return self.good_s / self.wanted_s if self.wanted_s else 0.0


@dataclass
class TeamClients:
    """One team's clients and how they behave; ``tally`` may be exchanged while they run."""

    tenant: str
    mean_lifetime_s: float
    message_interval_s: float = 0.5  # s between a connection's messages
    message_aim_s: float = 0.1  # s in which a message is wanted back
    setup_aim_s: float = 0.3
    clients_per_group: int = 4
    active: bool = True
    statistics: ClientStatistics = field(default_factory=ClientStatistics)


class LoadClient(Actor):
    """One client: wants a connection while its crowd is awake, sends lines on it, comes again when told."""

    number = 0

    def __init__(self, loop: Loop, address: tuple[str, int], team: TeamClients, name: str, seed: int) -> None:
        super().__init__(loop)
        self.address, self.team, self.name = address, team, name
        self.random = random.Random(seed)

    def run(self) -> Coroutine:
        yield from self._sleep(1.5 * self.random.random())
        honoured = False
        while True:
            while not self.team.active:
                yield from self._sleep(0.1 + 0.2 * self.random.random())
                honoured = False
            asked = self.loop.clock()
            sock = configure_socket(socket.socket())
            peer = _LineReader(self.loop, sock, self)
            wait = None
            try:
                wait = yield from self._connection(peer, asked, honoured)
            except OSError:
                pass
            finally:
                self.loop.unregister(self)
                sock.close()
            honoured = wait is not None
            yield from self._sleep(wait if wait is not None else 0.1 + 0.2 * self.random.random())
            self.team.statistics.wanted_s += self.loop.clock() - asked if honoured else 0.0

    def _sleep(self, wait: float) -> Coroutine:
        yield from self.sleep_until(self.loop.clock() + wait)

    def _connection(
        self, peer: _LineReader, asked: float, honoured: bool
    ) -> Generator[Wait, int, float | None]:
        """Ask, and use the connection; returns the stated come-back time in s where there is one."""
        team, sock = self.team, peer.sock
        with contextlib.suppress(BlockingIOError):
            sock.connect(self.address)
        yield Wait(sock, write=True, until=asked + 1.0)
        LoadClient.number += 1
        group = f"{team.tenant}-{int(self.name.rpartition('-')[2]) // team.clients_per_group}"
        sock.send(
            b"OPEN %d %s c=feed,t=%s,d=1200,g=%s\r\n"
            % (LoadClient.number, self.name.encode(), team.tenant.encode(), group.encode())
        )
        answer = yield from peer.read_line(asked + 1.3)
        statistics = team.statistics
        statistics.scheduled_retries += honoured
        if not answer or not answer.startswith(b"UP"):
            statistics.refused += 1
            words = (answer or b"").split()
            if len(words) < 2:
                statistics.wanted_s += self.loop.clock() - asked
            return float(words[1]) / 1000.0 if len(words) > 1 else None
        statistics.accepted_scheduled_retries += honoured
        statistics.setups += 1
        statistics.setups_in_time += self.loop.clock() - asked <= team.setup_aim_s
        statistics.wanted_s += self.loop.clock() - asked
        team.statistics.established += 1
        end = self.loop.clock() + self.random.expovariate(1.0 / team.mean_lifetime_s)
        try:
            while self.loop.clock() < end and team.active:
                sent = self.loop.clock()
                sock.send(b"M\r\n")
                line = yield from peer.read_line(sent + 5.0)
                if line == b"MOVE\r\n":
                    team.statistics.moved += 1
                    break
                answered_in_time = line == b"M\r\n" and self.loop.clock() - sent <= team.message_aim_s
                if not line:
                    team.statistics.wanted_s += self.loop.clock() - sent
                    break
                left = sent + team.message_interval_s - self.loop.clock()
                if left > 0 and not peer.input_buffer:
                    early = yield from peer.read_line(sent + team.message_interval_s)
                    if early is not None:
                        team.statistics.moved += early == b"MOVE\r\n"
                        break
                spent = self.loop.clock() - sent
                team.statistics.wanted_s += spent
                team.statistics.good_s += spent if answered_in_time else 0.0
        finally:
            team.statistics.established -= 1
        return None


class _LineReader(LineConnection):
    """Reads lines for another actor, which does the waiting."""

    def __init__(self, loop: Loop, sock: socket.socket, owner: Actor) -> None:
        self.loop, self.owner, self.sock, self.input_buffer = loop, owner, sock, bytearray()


@dataclass
class ProgramWithDestinations:
    """Nodes and the real program, as processes of their own."""

    destinations: subprocess.Popen[str]
    program: subprocess.Popen[str]
    address: tuple[str, int]
    folder: tempfile.TemporaryDirectory[str]

    def stop(self) -> None:
        for process in (self.program, self.destinations):
            process.kill()
            process.wait()
            assert process.stdout is not None
            process.stdout.close()
        self.folder.cleanup()


def start_python(*words: str, root: Path = ROOT, **environment: str) -> subprocess.Popen[str]:
    # Standard error goes to standard output, which is read up to the first line and then to a file's end.
    return subprocess.Popen(
        [sys.executable, *words],
        cwd=root,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        env={**os.environ, **environment},
    )


def make_settings(tenants: list[str], longest_ms: float) -> dict[str, Any]:
    return {
        "classes": [{"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": "read_like"}],
        "familyInfo": {"groups": True, "messageAim": [50.0]},
        "tenants": [{"name": n} for n in tenants],
        "limits": {"mostTries": 3, "connectTimeout": 250.0, "retryAfter": True, "maxRetryAfter": longest_ms},
        "registryMode": "on_request",
        "nInstances": 1,
        "selfIndex": 0,
    }


def start_with_destinations(
    tenants: list[str],
    contracts: str,
    destination_count: int = 4,
    message_ms: float = 4.0,
    setup_ms: float = 8.0,
    longest_ms: float = 600.0,
) -> ProgramWithDestinations:
    """The program in front of so many nodes; ``contracts`` is a file's text, or empty for none."""
    stand_ins = start_python(
        "-m", "snowwick.lab.standins", str(destination_count), str(message_ms), str(setup_ms), "k"
    )
    assert stand_ins.stdout is not None
    listed = json.loads(stand_ins.stdout.readline())
    folder = tempfile.TemporaryDirectory()
    path, file = Path(folder.name) / "config.json", Path(folder.name) / "contracts.toml"
    file.write_text(contracts)
    path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": listed["discovery"],
                "seed": "bench",
                "limits": {"sockets": 4096},
                "known": {"version": 0, "full": True, "servers": listed["servers"]},
                "settings": make_settings(tenants, longest_ms),
            }
        )
    )
    more = ["--contracts", str(file)] if contracts else []
    with (Path(folder.name) / "log").open("w") as log:
        program = subprocess.Popen(
            [sys.executable, "-m", "snowwick", "serve", *more],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            stderr=log,
            env={**os.environ, "GW_CONFIG": str(path)},
        )
    deadline = 200
    while "serving on" not in (Path(folder.name) / "log").read_text():
        deadline -= 1
        if not deadline or program.poll() is not None:
            raise RuntimeError((Path(folder.name) / "log").read_text())
        with contextlib.suppress(subprocess.TimeoutExpired):
            program.wait(0.05)
    said = (Path(folder.name) / "log").read_text().split("serving on ")[1].split()[0].rpartition(":")
    return ProgramWithDestinations(stand_ins, program, (said[0], int(said[2])), folder)


if __name__ == "__main__":
    serve_destinations(
        int(sys.argv[1]), float(sys.argv[2]) / 1000.0, float(sys.argv[3]) / 1000.0, (sys.argv[4:] or ["k"])[0]
    )
