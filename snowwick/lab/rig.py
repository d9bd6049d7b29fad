"""The rig: real balancers as processes on loopback, with a proxy on every link between them.

The test's own loop plays nodes, discovery, clients and proxies; ``until`` turns it until a condition holds.
A link is one way, from one balancer to another or to discovery, so that cuts and faults can be one way too.
"""

from __future__ import annotations

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from snowwick.fleet.file import FleetFile, load
from snowwick.lab.standins import (
    ROOT,
    Acceptor,
    LineConnection,
    listen_on_loopback,
    loopback_address,
    make_settings,
)
from snowwick.net.loop import Actor, Coroutine, Loop, Wait
from snowwick.net.peer import configure_socket
from snowwick.net.status_client import request_status

WAIT_TIMEOUT_S = 15.0  # s that a condition may take


class LinkProxy(Actor):
    """Carries datagrams one way, with faults; ``cut`` and the rest may change at any time."""

    def __init__(self, loop: Loop, host: str, seed: int) -> None:
        super().__init__(loop)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, 0))
        self.sock.setblocking(False)
        self.address = bound_address(self.sock)
        self.target_address: tuple[str, int] = ("", 0)
        self.random = random.Random(seed)
        self.cut = False
        # Fractions of the datagrams, and the longest random delay of one
        self.loss_probability = self.duplicate_probability = self.corrupt_probability = self.max_delay_s = 0.0
        self.max_datagrams_per_s = 0.0  # datagrams a second, 0 for any number
        self.datagrams_forwarded, self.delayed_datagrams = 0, list[tuple[float, bytes]]()
        self.next_allowed_at = 0.0

    def run(self) -> Coroutine:
        while True:
            yield Wait(
                self.sock, read=True, until=min((at for at, _ in self.delayed_datagrams), default=None)
            )
            with contextlib.suppress(BlockingIOError):
                while True:
                    self.enqueue(self.sock.recv(65536))
            now = self.loop.clock()
            ready = [one for one in self.delayed_datagrams if one[0] <= now]
            self.delayed_datagrams = [one for one in self.delayed_datagrams if one[0] > now]
            for _, data in sorted(ready):
                self.datagrams_forwarded += 1
                with contextlib.suppress(OSError):
                    self.sock.sendto(data, self.target_address)

    def enqueue(self, data: bytes) -> None:
        chance, now = self.random.random, self.loop.clock()
        if self.cut or chance() < self.loss_probability:
            return
        if self.max_datagrams_per_s:
            if now < self.next_allowed_at:
                return
            self.next_allowed_at = now + 1.0 / self.max_datagrams_per_s
        for _ in range(1 + (chance() < self.duplicate_probability)):
            copy = bytearray(data)
            if chance() < self.corrupt_probability:
                copy[self.random.randrange(len(copy))] ^= 1 << self.random.randrange(8)
            self.delayed_datagrams.append((now + self.max_delay_s * chance(), bytes(copy)))


def bound_address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


@dataclass
class StandInDestination:
    """A node: ``serve`` answers, ``hang`` takes the opening and says nothing more; PING is always
    answered.
    """

    id: str
    address: str
    mode: str = "serve"
    opening_times: list[float] = field(default_factory=list)  # when an opening came
    established: int = 0


class DestinationConnection(LineConnection):
    """A node's side of a connection."""

    def __init__(self, loop: Loop, sock: socket.socket, node: StandInDestination) -> None:
        super().__init__(loop, sock)
        self.destination = node

    def handle_connection(self) -> Coroutine:
        first = yield from self.read_line()
        if first == b"PING\r\n":
            self.sock.send(b"PONG\r\n")
        elif first and first.startswith(b"OPEN "):
            self.destination.opening_times.append(self.loop.clock())
            if self.destination.mode == "serve":
                self.sock.send(b"UP %s\r\n" % self.destination.id.encode())
            self.destination.established += 1
            try:
                while line := (yield from self.read_line()):
                    if self.destination.mode == "serve":
                        self.sock.send(line)
            finally:
                self.destination.established -= 1


class Discovery:
    """The list, its versions, and a door for each balancer that can be shut."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.version = loop, 1
        self.servers: dict[str, dict[str, Any]] = {}
        self.change_versions: dict[str, int] = {}
        self.disconnected_balancers: set[str] = set()
        self.version_limits: dict[str, int] = {}  # balancers that are told nothing newer than a version

    def update_server(
        self, id: str, address: str, state: str = "in_service", started_ms: float = 0.0
    ) -> None:
        self.version += 1
        self.servers[id] = {"id": id, "addr": address, "state": state, "started_ms": started_ms}
        self.change_versions[id] = self.version

    def listen_for(self, name: str) -> str:
        sock = listen_on_loopback()
        Acceptor(self.loop, sock, lambda s: DiscoveryConnection(self, name, s)).start()
        return loopback_address(sock)


class DiscoveryConnection(LineConnection):
    """One balancer's connection to discovery."""

    def __init__(self, discovery: Discovery, name: str, sock: socket.socket) -> None:
        super().__init__(discovery.loop, sock)
        self.discovery, self.name = discovery, name

    def handle_connection(self) -> Coroutine:
        d = self.discovery
        while request := (yield from self.read_line()):
            while (yield from self.read_line()) not in (b"\r\n", b""):
                pass
            after = int(request.split(b"after=")[1].split(b"&")[0]) if b"after=" in request else 0
            end = self.loop.clock() + 3.0
            while (
                self.name not in d.disconnected_balancers
                and min(d.version, d.version_limits.get(self.name, d.version)) <= after
                and self.loop.clock() < end
            ):
                yield Wait(until=self.loop.clock() + 0.02)
            if self.name in d.disconnected_balancers:
                return
            version = min(d.version, d.version_limits.get(self.name, d.version))
            rows = [
                row for id, row in d.servers.items() if after < d.change_versions[id] <= version or not after
            ]
            body = json.dumps({"version": version, "full": not after, "servers": rows}).encode()
            self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


@dataclass
class ClientResult:
    """What a client heard: its final answers (one is right), when, and what came on the connection after."""

    id: int
    asked_at: float
    balancer_number: int = 0  # at which balancer
    final_answers: list[bytes] = field(default_factory=list)
    answered_at: float = 0.0
    moved: bool = False
    ended: bool = False
    broken: bool = False  # ended without MOVE or by the client


class Client(LineConnection):
    """Asks for a connection and keeps it, sending a line now and then, until it is told to go."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], result: ClientResult, opening: bytes, keep_s: float
    ) -> None:
        super().__init__(loop, configure_socket(socket.socket()))
        self.address, self.result, self.opening, self.keep_s = address, result, opening, keep_s
        self.close_requested = False

    def handle_connection(self) -> Coroutine:
        result = self.result
        try:
            with contextlib.suppress(BlockingIOError):
                self.sock.connect(self.address)
            yield Wait(self.sock, write=True, until=self.loop.clock() + 1.0)
            self.sock.send(self.opening)
            line = yield from self.read_line(result.asked_at + 3.0)
            if line is None:
                return
            if line:
                result.final_answers.append(line)
            result.answered_at = self.loop.clock()
            end = result.answered_at + self.keep_s
            while line and line.startswith(b"UP") and self.loop.clock() < end and not self.close_requested:
                self.sock.send(b"M\r\n")
                back = yield from self.read_line(self.loop.clock() + 3.0)
                if back != b"M\r\n":
                    result.moved, result.broken = back == b"MOVE\r\n", back != b"MOVE\r\n"
                    break
                early = yield from self.read_line(self.loop.clock() + 0.2)
                if early is not None:
                    result.moved, result.broken = early == b"MOVE\r\n", early != b"MOVE\r\n"
                    break
        except OSError:
            result.broken = True
        finally:
            result.ended = True


@dataclass
class Balancer:
    """One real program."""

    name: str
    folder: Path
    address: str  # of its fleet link
    process: subprocess.Popen[str] | None = None
    front_address: tuple[str, int] = ("", 0)
    start_count: int = 0
    ended_on_purpose: bool = False  # by a signal of the rig's

    @property
    def log(self) -> str:
        return (self.folder / f"log{self.start_count}").read_text()


class RunFailed(AssertionError):
    """A process of the rig's has ended, though nobody ended it."""


class MemberHostProcess:
    """One process of hollow members (``snowwick.lab.member_host``), and the socket that it takes its orders
    from.
    """

    def __init__(self, folder: Path, number: int) -> None:
        ours, theirs = socket.socketpair()
        self.number, self.sock, self.input_buffer = number, ours, bytearray()
        self.log_path, self.ended_on_purpose = folder / f"hollow{number}.log", False
        self.member_addresses: dict[str, str] = {}  # of its members, by name
        self.sock.setblocking(False)
        with theirs, self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "snowwick.lab.member_host"],
                cwd=ROOT,
                stdin=theirs.fileno(),
                stdout=subprocess.DEVNULL,
                stderr=log,
            )

    @property
    def log(self) -> str:
        return self.log_path.read_text()

    def send_command(self, do: str, **order: Any) -> None:
        self.sock.setblocking(True)
        with contextlib.suppress(ConnectionError):  # it has ended, which ``Fleet.watch`` finds
            self.sock.sendall(json.dumps({"do": do, **order}).encode() + b"\n")
        self.sock.setblocking(False)

    def read_answer(self) -> dict[str, Any] | None:
        """The next answer, once it is there."""
        with contextlib.suppress(BlockingIOError, ConnectionError):
            self.input_buffer += self.sock.recv(1 << 20)
        end = self.input_buffer.find(b"\n") + 1
        if not end:
            return None
        found: dict[str, Any] = json.loads(self.input_buffer[:end])
        del self.input_buffer[:end]
        return found

    def close(self) -> None:
        self.sock.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Fleet:
    """So many balancers, nodes and one discovery; a context that ends all that it started."""

    def __init__(
        self,
        folder: Path,
        balancer_count: int,
        destination_count: int = 3,
        contracts: str = "",
        fleet_enabled: bool = True,
        deadline_ms: float = 1200.0,
        tenants: Iterable[str] = ("n",),
        period_ms: float = 100.0,
        **extra_settings: Any,
    ) -> None:
        self.loop, self.folder, self.fleet_enabled, self.period_ms = Loop(), folder, fleet_enabled, period_ms
        self.member_hosts: list[MemberHostProcess] = []
        # To a hollow member by the balancer's number and the member's name, and back
        self.proxies_to_members: dict[tuple[int, str], LinkProxy] = {}
        self.proxies_to_balancers: dict[int, LinkProxy] = {}
        self.random = random.Random(1)
        self.discovery = Discovery(self.loop)
        self.destinations = [self.add_destination(f"s-{n}") for n in range(destination_count)]
        self.contracts = contracts
        self.settings = make_settings(list(tenants), 600.0)
        self.settings["nInstances"] = balancer_count
        self.settings.update(extra_settings)
        self.settings["classes"][0]["deadline"] = deadline_ms
        self.client_results: list[ClientResult] = []
        self.clients: list[Client] = []
        hosts = [
            f"127.{self.random.randrange(60, 120)}.{os.getpid() % 250}.{n + 1}" for n in range(balancer_count)
        ]
        self.balancers = [
            Balancer(f"b{n}", folder / f"b{n}", f"{host}:{free_udp_port(host)}")
            for n, host in enumerate(hosts)
        ]
        self.links: dict[tuple[int, int], LinkProxy] = {}
        for one in range(balancer_count):
            for other in range(balancer_count):
                if one != other:
                    link = self.links[one, other] = LinkProxy(self.loop, hosts[other], 100 * one + other)
                    host, _, port = self.balancers[other].address.rpartition(":")
                    link.target_address = host, int(port)
                    link.start()
        for n, balancer in enumerate(self.balancers):
            balancer.folder.mkdir()
            self.write_key(n, b"the key of this fleet")
            self.write_files(n)

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        # A second interrupt, as of one who has lost patience, must not leave processes behind.
        main = threading.current_thread() is threading.main_thread()
        old = signal.signal(signal.SIGINT, signal.SIG_IGN) if main else None
        try:
            for balancer in self.balancers:
                if balancer.process is not None and balancer.process.poll() is None:
                    balancer.process.kill()
                    balancer.process.wait()
            for one in self.member_hosts:
                one.close()
            self.loop.close()
            for link in [
                *self.links.values(),
                *self.proxies_to_members.values(),
                *self.proxies_to_balancers.values(),
            ]:
                link.sock.close()
        finally:
            if main:
                signal.signal(signal.SIGINT, old)

    # -- files -------------------------------------------------------------------------------------------

    def add_destination(self, id: str, mode: str = "serve", started_ms: float = 0.0) -> StandInDestination:
        """A node of that name, in the list from now on."""
        sock = listen_on_loopback()
        node = StandInDestination(id, loopback_address(sock), mode)
        Acceptor(self.loop, sock, lambda s: DestinationConnection(self.loop, s, node)).start()
        self.discovery.update_server(id, node.address, started_ms=started_ms)
        return node

    def write_key(self, n: int, key: bytes, name: str = "key") -> None:
        file = self.balancers[n].folder / name
        file.write_bytes(key)
        file.chmod(0o600)

    def write_files(self, n: int, old_key: str = "", name: str = "", **share: Any) -> None:
        """A balancer's files."""
        one, others = self.balancers[n], [m for m in range(len(self.balancers)) if m != n]
        routes = "\n".join(f'"{self.balancers[m].address}" = "{self.links[n, m].address}"' for m in others)
        routes += "".join(
            f'\n"{self.member_addresses[name]}" = "{link.address}"'
            for (of, name), link in self.proxies_to_members.items()
            if of == n
        )
        seeds = json.dumps(
            [self.balancers[m].address for m in others][:2]
            + [next(iter(one.member_addresses.values())) for one in self.member_hosts][:2]
        )
        lines = [f"{key} = {json.dumps(value)}" for key, value in share.items()]
        old = f'old_key_file = "{old_key}"\n' if old_key else ""
        (one.folder / "fleet.toml").write_text(
            f'version = 1\n[links]\nlisten = "{one.address}"\nkey_file = "key"\n{old}seeds = {seeds}\n'
            f"period_ms = {self.period_ms}\n[links.routes]\n{routes}\n[share]\n" + "\n".join(lines) + "\n"
        )
        (one.folder / "contracts.toml").write_text(self.contracts)
        (one.folder / "config.json").write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": self.discovery.listen_for(one.name),
                    "name": name or one.name,
                    "seed": f"rig{n}",
                    "limits": {"sockets": 2048},
                    "settings": {**self.settings, "selfIndex": n},
                }
            )
        )

    def load_fleet_file(self, n: int) -> FleetFile:
        return load(self.balancers[n].folder / "fleet.toml")

    # -- hollow members ----------------------------------------------------------------------------------

    @property
    def member_addresses(self) -> dict[str, str]:
        """Of the hollow members, by name."""
        return {name: address for one in self.member_hosts for name, address in one.member_addresses.items()}

    def add_member_host(self, count: int, proxied: bool = False) -> MemberHostProcess:
        """A process of so many further members, named from the number of all that are there on.

        Before the balancers start, as their files name some of its members as seeds; ``proxied`` puts a
        proxy on the way to each of them from each balancer (``out``) and from all of them to each (``back``).
        """
        one = MemberHostProcess(self.folder, len(self.member_hosts))
        self.member_hosts.append(one)
        first = len(self.balancers) + len(self.member_addresses)
        file = self.load_fleet_file(0)
        one.member_addresses = self.run_command(
            one,
            "make",
            first=first,
            count=count,
            key=file.keys[0].hex(),
            digest=file.digest,
            period_ms=file.links.period_ms,
            real=[balancer.name for balancer in self.balancers],
        )["addresses"]
        for n, balancer in enumerate(self.balancers if proxied else []):
            if n not in self.proxies_to_balancers:
                self.proxies_to_balancers[n] = self._start_proxy(balancer.address, 5000 + n)
            for name, address in one.member_addresses.items():
                self.proxies_to_members[n, name] = self._start_proxy(
                    address, 6000 + len(self.proxies_to_members)
                )
        for n in range(len(self.balancers)):
            self.write_files(n)
        return one

    def _start_proxy(self, address: str, seed: int) -> LinkProxy:
        link = LinkProxy(self.loop, "127.0.0.1", seed)
        host, _, port = address.rpartition(":")
        link.target_address = host, int(port)
        link.start()
        return link

    def start_lightweight_members(self, rate: float = 1000.0) -> None:
        """The hollow members begin to look for the others, so many a second over all processes."""
        seeds = [balancer.address for balancer in self.balancers][:2]
        seeds += [next(iter(one.member_addresses.values())) for one in self.member_hosts][:2]
        for one in self.member_hosts:
            self.run_command(
                one,
                "start",
                seeds=seeds,
                apart=len(self.member_hosts) / rate,
                routes={
                    self.balancers[n].address: link.address for n, link in self.proxies_to_balancers.items()
                },
            )

    def run_command(self, one: MemberHostProcess, do: str, **order: Any) -> dict[str, Any]:
        """Have a hollow process do something; returns its answer."""
        return self.run_commands([one], do, **order)[0]

    def run_commands(self, some: Iterable[MemberHostProcess], do: str, **order: Any) -> list[dict[str, Any]]:
        """The same to several at once."""
        hosts = list(some)
        answers: dict[int, dict[str, Any]] = {}

        def all_there() -> bool:
            for one in hosts:
                if one.number not in answers and (answer := one.read_answer()) is not None:
                    answers[one.number] = answer
            return len(answers) == len(hosts)

        for one in hosts:
            one.send_command(do, **order)
        self.wait_until(all_there)
        return [answers[one.number] for one in hosts]

    # -- processes ---------------------------------------------------------------------------------------

    def check_processes(self) -> None:
        """Raises Failed where a process has ended that nobody ended, as a hollow one does at any fault."""
        for balancer in self.balancers:
            process = balancer.process
            if (
                process is not None
                and process.poll() is not None
                and not (balancer.ended_on_purpose and process.returncode in (0, -signal.SIGKILL))
            ):
                raise RunFailed(
                    f"{balancer.name} has ended with {process.returncode}: {balancer.log[-1500:]}"
                )
        for one in self.member_hosts:
            if one.process.poll() is not None and not one.ended_on_purpose:
                raise RunFailed(
                    f"hollow process {one.number} has ended with {one.process.returncode}: {one.log[-1500:]}"
                )

    def start(self, *numbers: int, skew: float = 0.0) -> None:
        """Start these balancers, or all; returns once they serve."""
        for n in numbers or range(len(self.balancers)):
            one = self.balancers[n]
            one.start_count, one.ended_on_purpose = one.start_count + 1, False
            words = ["-m", "snowwick.lab.clock_skew", str(skew)] if skew else ["-m", "snowwick"]
            words += ["serve"]
            words += ["--fleet", str(one.folder / "fleet.toml")] if self.fleet_enabled else []
            words += ["--contracts", str(one.folder / "contracts.toml")] if self.contracts else []
            with (one.folder / f"log{one.start_count}").open("w") as log:
                one.process = subprocess.Popen(
                    [sys.executable, *words],
                    cwd=ROOT,
                    text=True,
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                    env={**os.environ, "GW_CONFIG": str(one.folder / "config.json")},
                )
        for n in numbers or range(len(self.balancers)):
            one = self.balancers[n]
            self.wait_until(lambda one=one: "serving on" in one.log)  # type: ignore[misc]
            host, _, port = one.log.split("serving on ")[1].split()[0].rpartition(":")
            one.front_address = host, int(port)

    def send_signal(self, n: int, number: signal.Signals) -> None:
        process = self.balancers[n].process
        assert process is not None
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.balancers[n].ended_on_purpose = True
        process.send_signal(number)
        if number is signal.SIGKILL:
            process.wait()

    # -- the loop ----------------------------------------------------------------------------------------

    def wait_until(self, condition: Callable[[], bool], timeout_s: float = WAIT_TIMEOUT_S) -> float:
        """Turn until it holds; returns the seconds that it took.  AssertionError where it does not."""
        began = time.monotonic()
        while not condition():
            self.check_processes()
            assert time.monotonic() - began < timeout_s, "the condition does not hold\n" + "\n".join(
                f"{one.name}: {one.log[-1500:]}" for one in self.balancers if one.start_count
            )
            self.loop.run_once(0.01)
        return time.monotonic() - began

    def run_for(self, seconds: float) -> None:
        """Let so much time pass."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.check_processes()
            self.loop.run_once(min(0.01, max(0.0, end - time.monotonic())))

    def cut(self, *pairs: tuple[int, int]) -> None:
        for pair in pairs:
            self.links[pair].cut = True

    def partition(self, first: Iterable[int]) -> None:
        names = set(first)
        self.cut(*[pair for pair in self.links if (pair[0] in names) != (pair[1] in names)])

    def heal(self) -> None:
        for link in self.links.values():
            link.cut = False

    def status(self, n: int) -> dict[str, Any]:
        """What a balancer says of the fleet; asked past the proxies, which the loop could not play
        meanwhile.
        """
        return request_status(
            self.load_fleet_file(n), self.balancers[n].address, random.Random(self.random.getrandbits(64))
        )

    def members(self, n: int) -> dict[str, str]:
        return {one["name"]: one["state"] for one in self.status(n)["members"]}

    def all_joined(self, *numbers: int) -> bool:
        """Do these, or all, see each other?"""
        names = [self.balancers[n].name for n in numbers or range(len(self.balancers))]
        return all(
            {name for name, state in self.members(n).items() if state in ("self", "alive")} == set(names)
            for n in numbers or range(len(self.balancers))
        )

    # -- clients -----------------------------------------------------------------------------------------

    def connect_client(
        self, n: int, key: str = "", group: str = "", tenant: str = "n", keep_s: float = 60.0
    ) -> ClientResult:
        """A client comes to a balancer."""
        id = len(self.client_results) + 1
        answer = ClientResult(id, self.loop.clock(), n)
        more = f",g={group}" if group else ""
        deadline = self.settings["classes"][0]["deadline"]
        opening = f"OPEN {id} {key or f'k{id}'} c=feed,t={tenant},d={deadline:g}{more}\r\n".encode()
        client = Client(self.loop, self.balancers[n].front_address, answer, opening, keep_s)
        self.client_results.append(answer)
        self.clients.append(client)
        client.start()
        return answer

    def wait_for_answers(self, *answers: ClientResult) -> None:
        """Wait for the final answers of these, or of all; each has exactly one."""
        some = answers or self.client_results
        self.wait_until(lambda: all(one.final_answers or one.ended for one in some))
        for one in some:
            assert len(one.final_answers) == 1, f"client {one.id} had {one.final_answers}"


def free_udp_port(host: str) -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])
