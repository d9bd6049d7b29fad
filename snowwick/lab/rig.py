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
from snowwick.lab.standins import ROOT, Door, Peer, listen, settings, where
from snowwick.net.loop import Actor, Coroutine, Loop, Wait
from snowwick.net.peer import configure_socket
from snowwick.net.status_client import request_status

PATIENCE = 15.0  # s that a condition may take


class Link(Actor):
    """Carries datagrams one way, with faults; ``cut`` and the rest may change at any time."""

    def __init__(self, loop: Loop, host: str, seed: int) -> None:
        super().__init__(loop)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, 0))
        self.sock.setblocking(False)
        self.address = where_of(self.sock)
        self.to: tuple[str, int] = ("", 0)
        self.random = random.Random(seed)
        self.cut = False
        self.loss = self.double = self.corrupt = self.delay = 0.0  # parts, but for the delay: s at most
        self.rate = 0.0  # datagrams a second, 0 for any number
        self.frames, self.due = 0, list[tuple[float, bytes]]()
        self.next = 0.0

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=True, until=min((at for at, _ in self.due), default=None))
            with contextlib.suppress(BlockingIOError):
                while True:
                    self.hand(self.sock.recv(65536))
            now = self.loop.clock()
            ready = [one for one in self.due if one[0] <= now]
            self.due = [one for one in self.due if one[0] > now]
            for _, data in sorted(ready):
                self.frames += 1
                with contextlib.suppress(OSError):
                    self.sock.sendto(data, self.to)

    def hand(self, data: bytes) -> None:
        chance, now = self.random.random, self.loop.clock()
        if self.cut or chance() < self.loss:
            return
        if self.rate:
            if now < self.next:
                return
            self.next = now + 1.0 / self.rate
        for _ in range(1 + (chance() < self.double)):
            copy = bytearray(data)
            if chance() < self.corrupt:
                copy[self.random.randrange(len(copy))] ^= 1 << self.random.randrange(8)
            self.due.append((now + self.delay * chance(), bytes(copy)))


def where_of(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"


@dataclass
class StandIn:
    """A node: ``serve`` answers, ``hang`` takes the opening and says nothing more; PING is always
    answered.
    """

    id: str
    address: str
    mode: str = "serve"
    opened: list[float] = field(default_factory=list)  # when an opening came
    standing: int = 0


class NodeConnection(Peer):
    """A node's side of a connection."""

    def __init__(self, loop: Loop, sock: socket.socket, node: StandIn) -> None:
        super().__init__(loop, sock)
        self.node = node

    def talk(self) -> Coroutine:
        first = yield from self.line()
        if first == b"PING\r\n":
            self.sock.send(b"PONG\r\n")
        elif first and first.startswith(b"OPEN "):
            self.node.opened.append(self.loop.clock())
            if self.node.mode == "serve":
                self.sock.send(b"UP %s\r\n" % self.node.id.encode())
            self.node.standing += 1
            try:
                while line := (yield from self.line()):
                    if self.node.mode == "serve":
                        self.sock.send(line)
            finally:
                self.node.standing -= 1


class Discovery:
    """The list, its versions, and a door for each balancer that can be shut."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.version = loop, 1
        self.servers: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.shut: set[str] = set()
        self.stale: dict[str, int] = {}  # balancers that are told nothing newer than a version

    def put(self, id: str, address: str, state: str = "in_service", started_ms: float = 0.0) -> None:
        self.version += 1
        self.servers[id] = {"id": id, "addr": address, "state": state, "started_ms": started_ms}
        self.changed[id] = self.version

    def door(self, name: str) -> str:
        sock = listen()
        Door(self.loop, sock, lambda s: DiscoverySide(self, name, s)).start()
        return where(sock)


class DiscoverySide(Peer):
    """One balancer's connection to discovery."""

    def __init__(self, discovery: Discovery, name: str, sock: socket.socket) -> None:
        super().__init__(discovery.loop, sock)
        self.discovery, self.name = discovery, name

    def talk(self) -> Coroutine:
        d = self.discovery
        while request := (yield from self.line()):
            while (yield from self.line()) not in (b"\r\n", b""):
                pass
            after = int(request.split(b"after=")[1].split(b"&")[0]) if b"after=" in request else 0
            end = self.loop.clock() + 3.0
            while (
                self.name not in d.shut
                and min(d.version, d.stale.get(self.name, d.version)) <= after
                and self.loop.clock() < end
            ):
                yield Wait(until=self.loop.clock() + 0.02)
            if self.name in d.shut:
                return
            version = min(d.version, d.stale.get(self.name, d.version))
            rows = [row for id, row in d.servers.items() if after < d.changed[id] <= version or not after]
            body = json.dumps({"version": version, "full": not after, "servers": rows}).encode()
            self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


@dataclass
class Answer:
    """What a client heard: its final answers (one is right), when, and what came on the connection after."""

    id: int
    asked: float
    front: int = 0  # at which balancer
    finals: list[bytes] = field(default_factory=list)
    at: float = 0.0
    moved: bool = False
    ended: bool = False
    broken: bool = False  # ended without MOVE or by the client


class Client(Peer):
    """Asks for a connection and keeps it, sending a line now and then, until it is told to go."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], answer: Answer, opening: bytes, keep: float
    ) -> None:
        super().__init__(loop, configure_socket(socket.socket()))
        self.address, self.answer, self.opening, self.keep = address, answer, opening, keep
        self.hang_up = False

    def talk(self) -> Coroutine:
        answer = self.answer
        try:
            with contextlib.suppress(BlockingIOError):
                self.sock.connect(self.address)
            yield Wait(self.sock, write=True, until=self.loop.clock() + 1.0)
            self.sock.send(self.opening)
            line = yield from self.line(answer.asked + 3.0)
            if line is None:
                return
            if line:
                answer.finals.append(line)
            answer.at = self.loop.clock()
            end = answer.at + self.keep
            while line and line.startswith(b"UP") and self.loop.clock() < end and not self.hang_up:
                self.sock.send(b"M\r\n")
                back = yield from self.line(self.loop.clock() + 3.0)
                if back != b"M\r\n":
                    answer.moved, answer.broken = back == b"MOVE\r\n", back != b"MOVE\r\n"
                    break
                early = yield from self.line(self.loop.clock() + 0.2)
                if early is not None:
                    answer.moved, answer.broken = early == b"MOVE\r\n", early != b"MOVE\r\n"
                    break
        except OSError:
            answer.broken = True
        finally:
            answer.ended = True


@dataclass
class Balancer:
    """One real program."""

    name: str
    folder: Path
    address: str  # of its fleet link
    process: subprocess.Popen[str] | None = None
    front: tuple[str, int] = ("", 0)
    starts: int = 0
    ended: bool = False  # on purpose, by a signal of the rig's

    @property
    def log(self) -> str:
        return (self.folder / f"log{self.starts}").read_text()


class Failed(AssertionError):
    """A process of the rig's has ended, though nobody ended it."""


class Hollow:
    """One process of hollow members (``snowwick.lab.hollow``), and the socket that it takes its orders
    from.
    """

    def __init__(self, folder: Path, number: int) -> None:
        ours, theirs = socket.socketpair()
        self.number, self.sock, self.inbox = number, ours, bytearray()
        self.path, self.ended = folder / f"hollow{number}.log", False
        self.addresses: dict[str, str] = {}  # of its members, by name
        self.sock.setblocking(False)
        with theirs, self.path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "snowwick.lab.hollow"],
                cwd=ROOT,
                stdin=theirs.fileno(),
                stdout=subprocess.DEVNULL,
                stderr=log,
            )

    @property
    def log(self) -> str:
        return self.path.read_text()

    def send(self, do: str, **order: Any) -> None:
        self.sock.setblocking(True)
        with contextlib.suppress(ConnectionError):  # it has ended, which ``Fleet.watch`` finds
            self.sock.sendall(json.dumps({"do": do, **order}).encode() + b"\n")
        self.sock.setblocking(False)

    def answer(self) -> dict[str, Any] | None:
        """The next answer, once it is there."""
        with contextlib.suppress(BlockingIOError, ConnectionError):
            self.inbox += self.sock.recv(1 << 20)
        end = self.inbox.find(b"\n") + 1
        if not end:
            return None
        found: dict[str, Any] = json.loads(self.inbox[:end])
        del self.inbox[:end]
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
        count: int,
        nodes: int = 3,
        contracts: str = "",
        fleet: bool = True,
        deadline: float = 1200.0,
        tenants: Iterable[str] = ("n",),
        period_ms: float = 100.0,
        **more: Any,
    ) -> None:
        self.loop, self.folder, self.fleet, self.period_ms = Loop(), folder, fleet, period_ms
        self.hollow: list[Hollow] = []
        # To a hollow member by the balancer's number and the member's name, and back
        self.out: dict[tuple[int, str], Link] = {}
        self.back: dict[int, Link] = {}
        self.random = random.Random(1)
        self.discovery = Discovery(self.loop)
        self.nodes = [self.node(f"s-{n}") for n in range(nodes)]
        self.contracts = contracts
        self.settings = settings(list(tenants), 600.0)
        self.settings["nInstances"] = count
        self.settings.update(more)
        self.settings["classes"][0]["deadline"] = deadline
        self.answers: list[Answer] = []
        self.clients: list[Client] = []
        hosts = [f"127.{self.random.randrange(60, 120)}.{os.getpid() % 250}.{n + 1}" for n in range(count)]
        self.balancers = [
            Balancer(f"b{n}", folder / f"b{n}", f"{host}:{free_port(host)}") for n, host in enumerate(hosts)
        ]
        self.links: dict[tuple[int, int], Link] = {}
        for one in range(count):
            for other in range(count):
                if one != other:
                    link = self.links[one, other] = Link(self.loop, hosts[other], 100 * one + other)
                    host, _, port = self.balancers[other].address.rpartition(":")
                    link.to = host, int(port)
                    link.start()
        for n, balancer in enumerate(self.balancers):
            balancer.folder.mkdir()
            self.key(n, b"the key of this fleet")
            self.write(n)

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
            for one in self.hollow:
                one.close()
            self.loop.close()
            for link in [*self.links.values(), *self.out.values(), *self.back.values()]:
                link.sock.close()
        finally:
            if main:
                signal.signal(signal.SIGINT, old)

    # -- files -------------------------------------------------------------------------------------------

    def node(self, id: str, mode: str = "serve", started_ms: float = 0.0) -> StandIn:
        """A node of that name, in the list from now on."""
        sock = listen()
        node = StandIn(id, where(sock), mode)
        Door(self.loop, sock, lambda s: NodeConnection(self.loop, s, node)).start()
        self.discovery.put(id, node.address, started_ms=started_ms)
        return node

    def key(self, n: int, key: bytes, name: str = "key") -> None:
        file = self.balancers[n].folder / name
        file.write_bytes(key)
        file.chmod(0o600)

    def write(self, n: int, old_key: str = "", name: str = "", **share: Any) -> None:
        """A balancer's files."""
        one, others = self.balancers[n], [m for m in range(len(self.balancers)) if m != n]
        routes = "\n".join(f'"{self.balancers[m].address}" = "{self.links[n, m].address}"' for m in others)
        routes += "".join(
            f'\n"{self.addresses[name]}" = "{link.address}"'
            for (of, name), link in self.out.items()
            if of == n
        )
        seeds = json.dumps(
            [self.balancers[m].address for m in others][:2]
            + [next(iter(one.addresses.values())) for one in self.hollow][:2]
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
                    "discovery": self.discovery.door(one.name),
                    "name": name or one.name,
                    "seed": f"rig{n}",
                    "limits": {"sockets": 2048},
                    "settings": {**self.settings, "selfIndex": n},
                }
            )
        )

    def file(self, n: int) -> FleetFile:
        return load(self.balancers[n].folder / "fleet.toml")

    # -- hollow members ----------------------------------------------------------------------------------

    @property
    def addresses(self) -> dict[str, str]:
        """Of the hollow members, by name."""
        return {name: address for one in self.hollow for name, address in one.addresses.items()}

    def add_hollow(self, count: int, proxied: bool = False) -> Hollow:
        """A process of so many further members, named from the number of all that are there on.

        Before the balancers start, as their files name some of its members as seeds; ``proxied`` puts a
        proxy on the way to each of them from each balancer (``out``) and from all of them to each (``back``).
        """
        one = Hollow(self.folder, len(self.hollow))
        self.hollow.append(one)
        first = len(self.balancers) + len(self.addresses)
        file = self.file(0)
        one.addresses = self.order(
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
            if n not in self.back:
                self.back[n] = self._proxy(balancer.address, 5000 + n)
            for name, address in one.addresses.items():
                self.out[n, name] = self._proxy(address, 6000 + len(self.out))
        for n in range(len(self.balancers)):
            self.write(n)
        return one

    def _proxy(self, address: str, seed: int) -> Link:
        link = Link(self.loop, "127.0.0.1", seed)
        host, _, port = address.rpartition(":")
        link.to = host, int(port)
        link.start()
        return link

    def start_hollow(self, rate: float = 1000.0) -> None:
        """The hollow members begin to look for the others, so many a second over all processes."""
        seeds = [balancer.address for balancer in self.balancers][:2]
        seeds += [next(iter(one.addresses.values())) for one in self.hollow][:2]
        for one in self.hollow:
            self.order(
                one,
                "start",
                seeds=seeds,
                apart=len(self.hollow) / rate,
                routes={self.balancers[n].address: link.address for n, link in self.back.items()},
            )

    def order(self, one: Hollow, do: str, **order: Any) -> dict[str, Any]:
        """Have a hollow process do something; returns its answer."""
        return self.orders([one], do, **order)[0]

    def orders(self, some: Iterable[Hollow], do: str, **order: Any) -> list[dict[str, Any]]:
        """The same to several at once."""
        asked = list(some)
        answers: dict[int, dict[str, Any]] = {}

        def all_there() -> bool:
            for one in asked:
                if one.number not in answers and (answer := one.answer()) is not None:
                    answers[one.number] = answer
            return len(answers) == len(asked)

        for one in asked:
            one.send(do, **order)
        self.until(all_there)
        return [answers[one.number] for one in asked]

    # -- processes ---------------------------------------------------------------------------------------

    def watch(self) -> None:
        """Raises Failed where a process has ended that nobody ended, as a hollow one does at any fault."""
        for balancer in self.balancers:
            process = balancer.process
            if (
                process is not None
                and process.poll() is not None
                and not (balancer.ended and process.returncode in (0, -signal.SIGKILL))
            ):
                raise Failed(f"{balancer.name} has ended with {process.returncode}: {balancer.log[-1500:]}")
        for one in self.hollow:
            if one.process.poll() is not None and not one.ended:
                raise Failed(
                    f"hollow process {one.number} has ended with {one.process.returncode}: {one.log[-1500:]}"
                )

    def start(self, *numbers: int, skew: float = 0.0) -> None:
        """Start these balancers, or all; returns once they serve."""
        for n in numbers or range(len(self.balancers)):
            one = self.balancers[n]
            one.starts, one.ended = one.starts + 1, False
            words = ["-m", "snowwick.lab.skewed", str(skew)] if skew else ["-m", "snowwick"]
            words += ["serve"]
            words += ["--fleet", str(one.folder / "fleet.toml")] if self.fleet else []
            words += ["--contracts", str(one.folder / "contracts.toml")] if self.contracts else []
            with (one.folder / f"log{one.starts}").open("w") as log:
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
            self.until(lambda one=one: "serving on" in one.log)  # type: ignore[misc]
            host, _, port = one.log.split("serving on ")[1].split()[0].rpartition(":")
            one.front = host, int(port)

    def signal(self, n: int, number: signal.Signals) -> None:
        process = self.balancers[n].process
        assert process is not None
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.balancers[n].ended = True
        process.send_signal(number)
        if number is signal.SIGKILL:
            process.wait()

    # -- the loop ----------------------------------------------------------------------------------------

    def until(self, condition: Callable[[], bool], patience: float = PATIENCE) -> float:
        """Turn until it holds; returns the seconds that it took.  AssertionError where it does not."""
        began = time.monotonic()
        while not condition():
            self.watch()
            assert time.monotonic() - began < patience, "the condition does not hold\n" + "\n".join(
                f"{one.name}: {one.log[-1500:]}" for one in self.balancers if one.starts
            )
            self.loop.run_once(0.01)
        return time.monotonic() - began

    def turn(self, seconds: float) -> None:
        """Let so much time pass."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.watch()
            self.loop.run_once(min(0.01, max(0.0, end - time.monotonic())))

    def cut(self, *pairs: tuple[int, int]) -> None:
        for pair in pairs:
            self.links[pair].cut = True

    def halves(self, first: Iterable[int]) -> None:
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
            self.file(n), self.balancers[n].address, random.Random(self.random.getrandbits(64))
        )

    def members(self, n: int) -> dict[str, str]:
        return {one["name"]: one["state"] for one in self.status(n)["members"]}

    def joined(self, *numbers: int) -> bool:
        """Do these, or all, see each other?"""
        names = [self.balancers[n].name for n in numbers or range(len(self.balancers))]
        return all(
            {name for name, state in self.members(n).items() if state in ("self", "alive")} == set(names)
            for n in numbers or range(len(self.balancers))
        )

    # -- clients -----------------------------------------------------------------------------------------

    def ask(self, n: int, key: str = "", group: str = "", tenant: str = "n", keep: float = 60.0) -> Answer:
        """A client comes to a balancer."""
        id = len(self.answers) + 1
        answer = Answer(id, self.loop.clock(), n)
        more = f",g={group}" if group else ""
        deadline = self.settings["classes"][0]["deadline"]
        opening = f"OPEN {id} {key or f'k{id}'} c=feed,t={tenant},d={deadline:g}{more}\r\n".encode()
        client = Client(self.loop, self.balancers[n].front, answer, opening, keep)
        self.answers.append(answer)
        self.clients.append(client)
        client.start()
        return answer

    def answered(self, *answers: Answer) -> None:
        """Wait for the final answers of these, or of all; each has exactly one."""
        some = answers or self.answers
        self.until(lambda: all(one.finals or one.ended for one in some))
        for one in some:
            assert len(one.finals) == 1, f"client {one.id} had {one.finals}"


def free_port(host: str) -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])
