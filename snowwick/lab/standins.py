"""Stand-ins on loopback for destinations, discovery and clients, and the real program as a process.

    python -m snowwick.lab.standins DESTINATIONS MESSAGE_MS SETUP_MS [KIND]

runs that many destinations and a discovery that lists them, and prints discovery's address and the list.
Each destination has one queue, in which every line takes MESSAGE_MS and every opening SETUP_MS, so that its
answers are late under high load.
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
    """A non-blocking listening socket on a free port."""
    sock = socket.create_server(("127.0.0.1", 0), backlog=1024)
    sock.setblocking(False)
    return sock


def loopback_address(sock: socket.socket) -> str:
    """``host:port`` of a socket on loopback."""
    return f"127.0.0.1:{sock.getsockname()[1]}"


class LineConnection(Actor):
    """A connection that lines are read from; it ends without an error when the remote end does."""

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
        """The whole exchange on the connection; the connection is closed after it."""
        raise NotImplementedError

    def read_line(self, until: float | None = None) -> Generator[Wait, int, bytes | None]:
        """The next line; None after the time ``until``, b"" at the end of the stream."""
        while (end := self.input_buffer.find(b"\n") + 1) == 0:
            wake_flags = yield Wait(self.sock, read=True, until=until)
            if wake_flags & READABLE:
                with contextlib.suppress(BlockingIOError):
                    data = self.sock.recv(65536)
                    if not data:
                        return b""
                    self.input_buffer += data
            elif wake_flags & TIMED_OUT:
                return None
        line = bytes(self.input_buffer[:end])
        del self.input_buffer[:end]
        return line


class Acceptor(Actor):
    """Accepts connections and starts an actor for each."""

    def __init__(self, loop: Loop, sock: socket.socket, make_actor: Callable[[socket.socket], Actor]) -> None:
        super().__init__(loop)
        self.sock, self.make_actor = sock, make_actor

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=True)
            with contextlib.suppress(BlockingIOError):
                while True:
                    self.make_actor(self.sock.accept()[0]).start()


@dataclass
class QueueingDestination:
    """A destination with a single queue for all its connections; times are in seconds."""

    message_s: float
    setup_s: float
    idle_at: float = 0.0  # when the queue will be empty
    open: int = 0

    def enqueue(self, now: float, work_s: float) -> float:
        """Add work to the queue; returns the time at which it is done."""
        self.idle_at = max(self.idle_at, now) + work_s
        return self.idle_at


class QueueingConnection(LineConnection):
    """A destination's side of a connection.

    It sends UP and then every line back, each after its time in the queue.
    """

    def __init__(self, loop: Loop, sock: socket.socket, destination: QueueingDestination) -> None:
        super().__init__(loop, sock)
        self.destination = destination

    def handle_connection(self) -> Coroutine:
        opening = yield from self.read_line()
        if not opening or not opening.startswith(b"OPEN "):
            return
        yield from self.sleep_until(self.destination.enqueue(self.loop.clock(), self.destination.setup_s))
        self.sock.send(b"UP r\r\n")
        while line := (yield from self.read_line()):
            yield from self.sleep_until(
                self.destination.enqueue(self.loop.clock(), self.destination.message_s)
            )
            self.sock.send(line)


class DiscoveryConnection(LineConnection):
    """Answers a first request with the whole list, and later ones with an empty change after a wait."""

    def __init__(self, loop: Loop, sock: socket.socket, servers: list[dict[str, Any]]) -> None:
        super().__init__(loop, sock)
        self.servers = servers

    def handle_connection(self) -> Coroutine:
        while request := (yield from self.read_line()):
            while (yield from self.read_line()) not in (b"\r\n", b""):
                pass
            is_first = b"after=" not in request or b"after=0&" in request
            if not is_first:
                yield from self.sleep_until(self.loop.clock() + 3.0)
            rows = self.servers if is_first else []
            body = json.dumps({"version": 1, "full": is_first, "servers": rows}).encode()
            self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


def serve_destinations(count: int, message_s: float, setup_s: float, kind: str) -> None:
    """Run destinations and discovery until the process is ended."""
    loop, servers = Loop(), []
    for number in range(count):
        sock, destination = listen_on_loopback(), QueueingDestination(message_s, setup_s)
        Acceptor(
            loop,
            sock,
            lambda accepted, destination=destination: QueueingConnection(loop, accepted, destination),  # type: ignore[misc]
        ).start()
        servers.append(
            {"id": f"s-{number}", "addr": loopback_address(sock), "state": "in_service", "kind": kind}
        )
    sock = listen_on_loopback()
    Acceptor(loop, sock, lambda accepted: DiscoveryConnection(loop, accepted, servers)).start()
    print(json.dumps({"discovery": loopback_address(sock), "servers": servers}), flush=True)
    loop.run()


@dataclass
class ClientStatistics:
    """Counters of a team's clients; times are in seconds, summed over the clients."""

    wanted_s: float = 0.0  # time in which clients wanted a connection
    good_s: float = 0.0  # part of ``wanted_s`` with a connection that was answered in time
    established: int = 0  # connections at present
    mean_established: float = 0.0
    setups: int = 0
    setups_in_time: int = 0
    refused: int = 0
    moved: int = 0
    scheduled_retries: int = 0  # retries at the time that a busy reply has stated
    accepted_scheduled_retries: int = 0

    @property
    def service_fraction(self) -> float:
        """The fraction of the wanted time with good service."""
        return self.good_s / self.wanted_s if self.wanted_s else 0.0


@dataclass
class TeamClients:
    """One team's clients and their behaviour; ``statistics`` may be replaced while they run."""

    tenant: str
    mean_lifetime_s: float  # of a connection
    message_interval_s: float = 0.5  # between the messages of a connection
    message_aim_s: float = 0.1  # an answer within this time counts as good
    setup_aim_s: float = 0.3  # a setup within this time counts as in time
    clients_per_group: int = 4
    active: bool = True
    statistics: ClientStatistics = field(default_factory=ClientStatistics)


class LoadClient(Actor):
    """One client: while its team is active it opens connections, sends lines, and retries when refused.

    It waits for the time that a busy reply states before it retries.
    """

    last_opening_id = 0  # shared by all clients

    def __init__(self, loop: Loop, address: tuple[str, int], team: TeamClients, name: str, seed: int) -> None:
        super().__init__(loop)
        self.address, self.team, self.name = address, team, name
        self.rng = random.Random(seed)

    def run(self) -> Coroutine:
        yield from self._sleep(1.5 * self.rng.random())
        is_scheduled_retry = False
        while True:
            while not self.team.active:
                yield from self._sleep(0.1 + 0.2 * self.rng.random())
                is_scheduled_retry = False
            began = self.loop.clock()
            sock = configure_socket(socket.socket())
            reader = _LineReader(self.loop, sock, self)
            retry_after_s = None
            try:
                retry_after_s = yield from self._use_connection(reader, began, is_scheduled_retry)
            except OSError:
                pass
            finally:
                self.loop.unregister(self)
                sock.close()
            is_scheduled_retry = retry_after_s is not None
            yield from self._sleep(
                retry_after_s if retry_after_s is not None else 0.1 + 0.2 * self.rng.random()
            )
            self.team.statistics.wanted_s += self.loop.clock() - began if is_scheduled_retry else 0.0

    def _sleep(self, seconds: float) -> Coroutine:
        yield from self.sleep_until(self.loop.clock() + seconds)

    def _use_connection(
        self, reader: _LineReader, began: float, is_scheduled_retry: bool
    ) -> Generator[Wait, int, float | None]:
        """Open and use a connection; returns the retry time in s if a busy reply states one."""
        team, sock = self.team, reader.sock
        with contextlib.suppress(BlockingIOError):
            sock.connect(self.address)
        yield Wait(sock, write=True, until=began + 1.0)
        LoadClient.last_opening_id += 1
        group = f"{team.tenant}-{int(self.name.rpartition('-')[2]) // team.clients_per_group}"
        sock.send(
            b"OPEN %d %s c=feed,t=%s,d=1200,g=%s\r\n"
            % (LoadClient.last_opening_id, self.name.encode(), team.tenant.encode(), group.encode())
        )
        answer = yield from reader.read_line(began + 1.3)
        statistics = team.statistics
        statistics.scheduled_retries += is_scheduled_retry
        if not answer or not answer.startswith(b"UP"):
            statistics.refused += 1
            words = (answer or b"").split()
            if len(words) < 2:
                statistics.wanted_s += self.loop.clock() - began
            return float(words[1]) / 1000.0 if len(words) > 1 else None
        statistics.accepted_scheduled_retries += is_scheduled_retry
        statistics.setups += 1
        statistics.setups_in_time += self.loop.clock() - began <= team.setup_aim_s
        statistics.wanted_s += self.loop.clock() - began
        team.statistics.established += 1
        end = self.loop.clock() + self.rng.expovariate(1.0 / team.mean_lifetime_s)
        try:
            while self.loop.clock() < end and team.active:
                sent_at = self.loop.clock()
                sock.send(b"M\r\n")
                line = yield from reader.read_line(sent_at + 5.0)
                if line == b"MOVE\r\n":
                    team.statistics.moved += 1
                    break
                answered_in_time = line == b"M\r\n" and self.loop.clock() - sent_at <= team.message_aim_s
                if not line:
                    team.statistics.wanted_s += self.loop.clock() - sent_at
                    break
                remaining_s = sent_at + team.message_interval_s - self.loop.clock()
                if remaining_s > 0 and not reader.input_buffer:
                    unrequested = yield from reader.read_line(sent_at + team.message_interval_s)
                    if unrequested is not None:
                        team.statistics.moved += unrequested == b"MOVE\r\n"
                        break
                elapsed_s = self.loop.clock() - sent_at
                team.statistics.wanted_s += elapsed_s
                team.statistics.good_s += elapsed_s if answered_in_time else 0.0
        finally:
            team.statistics.established -= 1
        return None


class _LineReader(LineConnection):
    """Reads lines for another actor, which does the waiting."""

    def __init__(self, loop: Loop, sock: socket.socket, owner: Actor) -> None:
        self.loop, self.owner, self.sock, self.input_buffer = loop, owner, sock, bytearray()


@dataclass
class ProgramWithDestinations:
    """The real program and its destinations, each a process."""

    destinations: subprocess.Popen[str]
    program: subprocess.Popen[str]
    address: tuple[str, int]
    folder: tempfile.TemporaryDirectory[str]

    def stop(self) -> None:
        """End both processes and delete their files."""
        for process in (self.program, self.destinations):
            process.kill()
            process.wait()
            assert process.stdout is not None
            process.stdout.close()
        self.folder.cleanup()


def start_python(*arguments: str, root: Path = ROOT, **environment: str) -> subprocess.Popen[str]:
    """Start a Python process in ``root`` with additional environment variables."""
    # Standard error is merged into standard output, of which the caller reads only the first line.
    return subprocess.Popen(
        [sys.executable, *arguments],
        cwd=root,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        env={**os.environ, **environment},
    )


def make_settings(tenants: list[str], max_retry_after_ms: float) -> dict[str, Any]:
    """The settings of a balancer with these tenants."""
    return {
        "classes": [{"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": "read_like"}],
        "familyInfo": {"groups": True, "messageAim": [50.0]},
        "tenants": [{"name": name} for name in tenants],
        "limits": {
            "mostTries": 3,
            "connectTimeout": 250.0,
            "retryAfter": True,
            "maxRetryAfter": max_retry_after_ms,
        },
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
    max_retry_after_ms: float = 600.0,
) -> ProgramWithDestinations:
    """Start the program with stand-in destinations; returns once it serves.

    ``contracts`` is the text of a contracts file, or empty for none.
    """
    destinations = start_python(
        "-m", "snowwick.lab.standins", str(destination_count), str(message_ms), str(setup_ms), "k"
    )
    assert destinations.stdout is not None
    listing = json.loads(destinations.stdout.readline())
    folder = tempfile.TemporaryDirectory()
    config_path, contracts_path = Path(folder.name) / "config.json", Path(folder.name) / "contracts.toml"
    contracts_path.write_text(contracts)
    config_path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": listing["discovery"],
                "seed": "bench",
                "limits": {"sockets": 4096},
                "known": {"version": 0, "full": True, "servers": listing["servers"]},
                "settings": make_settings(tenants, max_retry_after_ms),
            }
        )
    )
    contracts_arguments = ["--contracts", str(contracts_path)] if contracts else []
    with (Path(folder.name) / "log").open("w") as log:
        program = subprocess.Popen(
            [sys.executable, "-m", "snowwick", "serve", *contracts_arguments],
            cwd=ROOT,
            text=True,
            stdout=subprocess.PIPE,
            stderr=log,
            env={**os.environ, "GW_CONFIG": str(config_path)},
        )
    polls_left = 200
    while "serving on" not in (Path(folder.name) / "log").read_text():
        polls_left -= 1
        if not polls_left or program.poll() is not None:
            raise RuntimeError((Path(folder.name) / "log").read_text())
        with contextlib.suppress(subprocess.TimeoutExpired):
            program.wait(0.05)
    address = (Path(folder.name) / "log").read_text().split("serving on ")[1].split()[0].rpartition(":")
    return ProgramWithDestinations(destinations, program, (address[0], int(address[2])), folder)


if __name__ == "__main__":
    serve_destinations(
        int(sys.argv[1]), float(sys.argv[2]) / 1000.0, float(sys.argv[3]) / 1000.0, (sys.argv[4:] or ["k"])[0]
    )
