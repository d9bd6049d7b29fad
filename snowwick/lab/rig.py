"""Test rig: real balancers as processes on loopback, with a proxy on each link between them.

The event loop of the test runs the destinations, discovery, the clients and the proxies; ``wait_until`` runs
it until a condition holds.  A link carries one direction, from one balancer to another or to discovery, so
that cuts and faults can also affect one direction only.
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

WAIT_TIMEOUT_S = 15.0  # for a condition to hold


class LinkProxy(Actor):
    """Forwards datagrams in one direction, with faults that can be changed while it runs.

    ``cut`` drops every datagram.
    """

    def __init__(self, loop: Loop, host: str, seed: int) -> None:
        super().__init__(loop)
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((host, 0))
        self.sock.setblocking(False)
        self.address = bound_address(self.sock)
        self.target_address: tuple[str, int] = ("", 0)
        self.rng = random.Random(seed)
        self.cut = False
        # For each datagram: the probabilities of loss, duplication and a flipped bit, and the upper limit of
        # its random delay
        self.loss_probability = self.duplicate_probability = self.corrupt_probability = self.max_delay_s = 0.0
        self.max_datagrams_per_s = 0.0  # 0 for no limit
        self.datagrams_forwarded = 0
        self.delayed_datagrams = list[tuple[float, bytes]]()  # with the time at which each is due
        self.next_allowed_at = 0.0  # under the rate limit

    def run(self) -> Coroutine:
        while True:
            yield Wait(
                self.sock,
                read=True,
                until=min((due_at for due_at, _ in self.delayed_datagrams), default=None),
            )
            with contextlib.suppress(BlockingIOError):
                while True:
                    self.enqueue(self.sock.recv(65536))
            now = self.loop.clock()
            due = [delayed for delayed in self.delayed_datagrams if delayed[0] <= now]
            self.delayed_datagrams = [delayed for delayed in self.delayed_datagrams if delayed[0] > now]
            for _, datagram in sorted(due):
                self.datagrams_forwarded += 1
                with contextlib.suppress(OSError):
                    self.sock.sendto(datagram, self.target_address)

    def enqueue(self, datagram: bytes) -> None:
        """Apply the faults to a received datagram and queue the copies that are to be sent."""
        draw = self.rng.random
        now = self.loop.clock()
        if self.cut or draw() < self.loss_probability:
            return
        if self.max_datagrams_per_s:
            if now < self.next_allowed_at:
                return
            self.next_allowed_at = now + 1.0 / self.max_datagrams_per_s
        for _ in range(1 + (draw() < self.duplicate_probability)):
            copy = bytearray(datagram)
            if draw() < self.corrupt_probability:
                copy[self.rng.randrange(len(copy))] ^= 1 << self.rng.randrange(8)
            self.delayed_datagrams.append((now + self.max_delay_s * draw(), bytes(copy)))


def bound_address(sock: socket.socket) -> str:
    """``host:port`` that a socket is bound to."""
    host, port = sock.getsockname()
    return f"{host}:{port}"


@dataclass
class StandInDestination:
    """A destination that runs in the rig.

    In the mode ``serve`` it answers; in the mode ``hang`` it accepts an opening and sends nothing more.  It
    answers PING in both.
    """

    id: str
    address: str
    mode: str = "serve"
    opening_times: list[float] = field(default_factory=list)  # on the loop's clock
    established: int = 0  # connections at present


class DestinationConnection(LineConnection):
    """A destination's side of a connection."""

    def __init__(self, loop: Loop, sock: socket.socket, destination: StandInDestination) -> None:
        super().__init__(loop, sock)
        self.destination = destination

    def handle_connection(self) -> Coroutine:
        first_line = yield from self.read_line()
        if first_line == b"PING\r\n":
            self.sock.send(b"PONG\r\n")
        elif first_line and first_line.startswith(b"OPEN "):
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
    """Discovery's list with its versions, and a listening socket for each balancer.

    For each balancer, discovery can be made unreachable or limited to an old version of the list.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.version = 1
        self.servers: dict[str, dict[str, Any]] = {}
        self.change_versions: dict[str, int] = {}  # version that last changed each server
        self.disconnected_balancers: set[str] = set()  # names; no request of theirs is answered
        self.version_limits: dict[str, int] = {}  # newest version that a balancer receives, by its name

    def update_server(
        self, id: str, address: str, state: str = "in_service", started_ms: float = 0.0
    ) -> None:
        """Add or replace a server under a new version of the list."""
        self.version += 1
        self.servers[id] = {"id": id, "addr": address, "state": state, "started_ms": started_ms}
        self.change_versions[id] = self.version

    def listen_for(self, name: str) -> str:
        """Listen for the connections of one balancer; returns the address."""
        sock = listen_on_loopback()
        Acceptor(self.loop, sock, lambda accepted: DiscoveryConnection(self, name, accepted)).start()
        return loopback_address(sock)


class DiscoveryConnection(LineConnection):
    """One balancer's connection to discovery."""

    def __init__(self, discovery: Discovery, name: str, sock: socket.socket) -> None:
        super().__init__(discovery.loop, sock)
        self.discovery = discovery
        self.name = name

    def handle_connection(self) -> Coroutine:
        discovery = self.discovery
        while request := (yield from self.read_line()):
            while (yield from self.read_line()) not in (b"\r\n", b""):
                pass
            after = int(request.split(b"after=")[1].split(b"&")[0]) if b"after=" in request else 0
            end = self.loop.clock() + 3.0
            while (
                self.name not in discovery.disconnected_balancers
                and min(discovery.version, discovery.version_limits.get(self.name, discovery.version))
                <= after
                and self.loop.clock() < end
            ):
                yield Wait(until=self.loop.clock() + 0.02)
            if self.name in discovery.disconnected_balancers:
                return
            version = min(discovery.version, discovery.version_limits.get(self.name, discovery.version))
            rows = [
                row
                for id, row in discovery.servers.items()
                if after < discovery.change_versions[id] <= version or not after
            ]
            body = json.dumps({"version": version, "full": not after, "servers": rows}).encode()
            self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))


@dataclass
class ClientResult:
    """What a client received: its final answers, and how its connection ended.

    More than one final answer is a fault.  Times are in seconds on the loop's clock.
    """

    id: int
    asked_at: float
    balancer_number: int = 0
    final_answers: list[bytes] = field(default_factory=list)
    answered_at: float = 0.0
    moved: bool = False
    ended: bool = False
    broken: bool = False  # ended neither by MOVE nor by the client


class Client(LineConnection):
    """Opens a connection and sends a line about every 0.2 s, until MOVE or until ``keep_s`` has passed."""

    def __init__(
        self, loop: Loop, address: tuple[str, int], result: ClientResult, opening: bytes, keep_s: float
    ) -> None:
        super().__init__(loop, configure_socket(socket.socket()))
        self.address = address
        self.result = result
        self.opening = opening
        self.keep_s = keep_s
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
                reply = yield from self.read_line(self.loop.clock() + 3.0)
                if reply != b"M\r\n":
                    result.moved = reply == b"MOVE\r\n"
                    result.broken = reply != b"MOVE\r\n"
                    break
                unrequested = yield from self.read_line(self.loop.clock() + 0.2)
                if unrequested is not None:
                    result.moved = unrequested == b"MOVE\r\n"
                    result.broken = unrequested != b"MOVE\r\n"
                    break
        except OSError:
            result.broken = True
        finally:
            result.ended = True


@dataclass
class Balancer:
    """One process of the real program."""

    name: str
    folder: Path
    address: str  # of its fleet link
    process: subprocess.Popen[str] | None = None
    front_address: tuple[str, int] = ("", 0)
    start_count: int = 0
    ended_on_purpose: bool = False  # by a signal that the rig sent

    @property
    def log(self) -> str:
        """Log of the latest start."""
        return (self.folder / f"log{self.start_count}").read_text()


class RunFailed(AssertionError):
    """A process of the rig has exited unexpectedly, or the members did not find each other in time."""


class MemberHostProcess:
    """One process of lightweight members (``snowwick.lab.member_host``) and the socket for its commands."""

    def __init__(self, folder: Path, number: int) -> None:
        own_end, child_end = socket.socketpair()
        self.number = number
        self.sock = own_end
        self.input_buffer = bytearray()
        self.log_path = folder / f"member_host{number}.log"
        self.ended_on_purpose = False
        self.member_addresses: dict[str, str] = {}  # by member name
        self.sock.setblocking(False)
        with child_end, self.log_path.open("w") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "snowwick.lab.member_host"],
                cwd=ROOT,
                stdin=child_end.fileno(),
                stdout=subprocess.DEVNULL,
                stderr=log,
            )

    @property
    def log(self) -> str:
        """What the process has logged."""
        return self.log_path.read_text()

    def send_command(self, command: str, **parameters: Any) -> None:
        """Send a command without waiting for its answer."""
        self.sock.setblocking(True)
        with contextlib.suppress(ConnectionError):  # ``Fleet.check_processes`` finds that it has exited
            self.sock.sendall(json.dumps({"do": command, **parameters}).encode() + b"\n")
        self.sock.setblocking(False)

    def read_answer(self) -> dict[str, Any] | None:
        """The next answer; None until it has been received whole."""
        with contextlib.suppress(BlockingIOError, ConnectionError):
            self.input_buffer += self.sock.recv(1 << 20)
        end = self.input_buffer.find(b"\n") + 1
        if not end:
            return None
        answer: dict[str, Any] = json.loads(self.input_buffer[:end])
        del self.input_buffer[:end]
        return answer

    def close(self) -> None:
        """End the process."""
        self.sock.close()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Fleet:
    """A number of balancers and destinations with one discovery.

    A context manager, which ends every process that it started.  The methods take balancers by their numbers,
    counted from 0.  ``contracts`` is the text of the contracts file, empty for none; ``fleet_enabled`` starts
    the balancers with a fleet file; ``deadline_ms`` is that of the only class of requests; ``period_ms`` is
    the fleet's protocol period; ``extra_settings`` replace settings of the balancers by key.
    """

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
        self.loop = Loop()
        self.folder = folder
        self.fleet_enabled = fleet_enabled
        self.period_ms = period_ms
        self.member_hosts: list[MemberHostProcess] = []
        # From a balancer, by its number, to a lightweight member, by its name
        self.proxies_to_members: dict[tuple[int, str], LinkProxy] = {}
        # From all lightweight members to a balancer, by its number
        self.proxies_to_balancers: dict[int, LinkProxy] = {}
        self.rng = random.Random(1)
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
            f"127.{self.rng.randrange(60, 120)}.{os.getpid() % 250}.{n + 1}" for n in range(balancer_count)
        ]
        self.balancers = [
            Balancer(f"b{n}", folder / f"b{n}", f"{host}:{free_udp_port(host)}")
            for n, host in enumerate(hosts)
        ]
        self.links: dict[tuple[int, int], LinkProxy] = {}  # by the numbers of sender and receiver
        for sender in range(balancer_count):
            for receiver in range(balancer_count):
                if sender != receiver:
                    link = self.links[sender, receiver] = LinkProxy(
                        self.loop, hosts[receiver], 100 * sender + receiver
                    )
                    host, _, port = self.balancers[receiver].address.rpartition(":")
                    link.target_address = host, int(port)
                    link.start()
        for n, balancer in enumerate(self.balancers):
            balancer.folder.mkdir()
            self.write_key(n, b"the key of this fleet")
            self.write_files(n)

    def __enter__(self) -> Fleet:
        return self

    def __exit__(self, *_: object) -> None:
        # A second interrupt during the cleanup must not leave processes behind.
        in_main_thread = threading.current_thread() is threading.main_thread()
        old_handler = signal.signal(signal.SIGINT, signal.SIG_IGN) if in_main_thread else None
        try:
            for balancer in self.balancers:
                if balancer.process is not None and balancer.process.poll() is None:
                    balancer.process.kill()
                    balancer.process.wait()
            for member_host in self.member_hosts:
                member_host.close()
            self.loop.close()
            for link in [
                *self.links.values(),
                *self.proxies_to_members.values(),
                *self.proxies_to_balancers.values(),
            ]:
                link.sock.close()
        finally:
            if in_main_thread:
                signal.signal(signal.SIGINT, old_handler)

    # -- files -------------------------------------------------------------------------------------------

    def add_destination(self, id: str, mode: str = "serve", started_ms: float = 0.0) -> StandInDestination:
        """Start a destination under that name and add it to discovery's list."""
        sock = listen_on_loopback()
        destination = StandInDestination(id, loopback_address(sock), mode)
        Acceptor(
            self.loop, sock, lambda accepted: DestinationConnection(self.loop, accepted, destination)
        ).start()
        self.discovery.update_server(id, destination.address, started_ms=started_ms)
        return destination

    def write_key(self, number: int, key: bytes, name: str = "key") -> None:
        """Write a balancer's key file."""
        file = self.balancers[number].folder / name
        file.write_bytes(key)
        file.chmod(0o600)

    def write_files(self, number: int, old_key: str = "", name: str = "", **share: Any) -> None:
        """Write a balancer's fleet file, contracts and configuration.

        ``name`` replaces the balancer's own name in the configuration; ``share`` holds the settings of the
        fleet file's section ``[share]``.
        """
        balancer = self.balancers[number]
        others = [other for other in range(len(self.balancers)) if other != number]
        routes = "\n".join(
            f'"{self.balancers[other].address}" = "{self.links[number, other].address}"' for other in others
        )
        routes += "".join(
            f'\n"{self.member_addresses[member]}" = "{link.address}"'
            for (sender, member), link in self.proxies_to_members.items()
            if sender == number
        )
        seeds = json.dumps(
            [self.balancers[other].address for other in others][:2]
            + [next(iter(member_host.member_addresses.values())) for member_host in self.member_hosts][:2]
        )
        share_lines = [f"{key} = {json.dumps(value)}" for key, value in share.items()]
        old_key_line = f'old_key_file = "{old_key}"\n' if old_key else ""
        (balancer.folder / "fleet.toml").write_text(
            f'version = 1\n[links]\nlisten = "{balancer.address}"\nkey_file = "key"\n{old_key_line}'
            f"seeds = {seeds}\n"
            f"period_ms = {self.period_ms}\n[links.routes]\n{routes}\n[share]\n"
            + "\n".join(share_lines)
            + "\n"
        )
        (balancer.folder / "contracts.toml").write_text(self.contracts)
        (balancer.folder / "config.json").write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": self.discovery.listen_for(balancer.name),
                    "name": name or balancer.name,
                    "seed": f"rig{number}",
                    "limits": {"sockets": 2048},
                    "settings": {**self.settings, "selfIndex": number},
                }
            )
        )

    def load_fleet_file(self, number: int) -> FleetFile:
        """A balancer's fleet file as the program reads it."""
        return load(self.balancers[number].folder / "fleet.toml")

    # -- lightweight members -----------------------------------------------------------------------------

    @property
    def member_addresses(self) -> dict[str, str]:
        """Addresses of the lightweight members by name."""
        return {
            name: address
            for member_host in self.member_hosts
            for name, address in member_host.member_addresses.items()
        }

    def add_member_host(self, count: int, proxied: bool = False) -> MemberHostProcess:
        """Start a process with ``count`` more members, numbered on from the existing ones.

        To be called before the balancers start, because their files name some of the members as seeds.
        ``proxied`` puts a proxy on each link from a balancer to a member (``proxies_to_members``) and one
        before each balancer for all members (``proxies_to_balancers``).
        """
        member_host = MemberHostProcess(self.folder, len(self.member_hosts))
        self.member_hosts.append(member_host)
        first = len(self.balancers) + len(self.member_addresses)
        file = self.load_fleet_file(0)
        member_host.member_addresses = self.run_command(
            member_host,
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
            for name, address in member_host.member_addresses.items():
                self.proxies_to_members[n, name] = self._start_proxy(
                    address, 6000 + len(self.proxies_to_members)
                )
        for n in range(len(self.balancers)):
            self.write_files(n)
        return member_host

    def _start_proxy(self, address: str, seed: int) -> LinkProxy:
        link = LinkProxy(self.loop, "127.0.0.1", seed)
        host, _, port = address.rpartition(":")
        link.target_address = host, int(port)
        link.start()
        return link

    def start_lightweight_members(self, members_per_s: float = 1000.0) -> None:
        """Let the lightweight members join the fleet, at a rate over all their processes."""
        seeds = [balancer.address for balancer in self.balancers][:2]
        seeds += [next(iter(member_host.member_addresses.values())) for member_host in self.member_hosts][:2]
        for member_host in self.member_hosts:
            self.run_command(
                member_host,
                "start",
                seeds=seeds,
                apart=len(self.member_hosts) / members_per_s,
                routes={
                    self.balancers[n].address: link.address for n, link in self.proxies_to_balancers.items()
                },
            )

    def run_command(self, member_host: MemberHostProcess, command: str, **parameters: Any) -> dict[str, Any]:
        """Run a command in one member host; returns its answer."""
        return self.run_commands([member_host], command, **parameters)[0]

    def run_commands(
        self, member_hosts: Iterable[MemberHostProcess], command: str, **parameters: Any
    ) -> list[dict[str, Any]]:
        """Run the same command in several member hosts at once; returns their answers in that order."""
        hosts = list(member_hosts)
        answers: dict[int, dict[str, Any]] = {}

        def all_answered() -> bool:
            for host in hosts:
                if host.number not in answers and (answer := host.read_answer()) is not None:
                    answers[host.number] = answer
            return len(answers) == len(hosts)

        for host in hosts:
            host.send_command(command, **parameters)
        self.wait_until(all_answered)
        return [answers[host.number] for host in hosts]

    # -- processes ---------------------------------------------------------------------------------------

    def check_processes(self) -> None:
        """Raise RunFailed if a process has exited that the rig did not end, or a balancer with an error.

        A member host exits at any fault of an actor.
        """
        for balancer in self.balancers:
            process = balancer.process
            if (
                process is not None
                and process.poll() is not None
                and not (balancer.ended_on_purpose and process.returncode in (0, -signal.SIGKILL))
            ):
                raise RunFailed(f"{balancer.name} exited with {process.returncode}: {balancer.log[-1500:]}")
        for member_host in self.member_hosts:
            if member_host.process.poll() is not None and not member_host.ended_on_purpose:
                raise RunFailed(
                    f"member host {member_host.number} exited with {member_host.process.returncode}: "
                    f"{member_host.log[-1500:]}"
                )

    def start(self, *numbers: int, skew_s: float = 0.0) -> None:
        """Start these balancers, or all of them; returns once they serve.

        ``skew_s`` is added to their wall clocks.
        """
        for n in numbers or range(len(self.balancers)):
            balancer = self.balancers[n]
            balancer.start_count, balancer.ended_on_purpose = balancer.start_count + 1, False
            arguments = ["-m", "snowwick.lab.clock_skew", str(skew_s)] if skew_s else ["-m", "snowwick"]
            arguments += ["serve"]
            arguments += ["--fleet", str(balancer.folder / "fleet.toml")] if self.fleet_enabled else []
            arguments += ["--contracts", str(balancer.folder / "contracts.toml")] if self.contracts else []
            with (balancer.folder / f"log{balancer.start_count}").open("w") as log:
                balancer.process = subprocess.Popen(
                    [sys.executable, *arguments],
                    cwd=ROOT,
                    text=True,
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                    env={**os.environ, "GW_CONFIG": str(balancer.folder / "config.json")},
                )
        for n in numbers or range(len(self.balancers)):
            balancer = self.balancers[n]
            self.wait_until(lambda balancer=balancer: "serving on" in balancer.log)  # type: ignore[misc]
            host, _, port = balancer.log.split("serving on ")[1].split()[0].rpartition(":")
            balancer.front_address = host, int(port)

    def send_signal(self, number: int, signal_number: signal.Signals) -> None:
        """Send a signal to a balancer; returns after its exit if the signal is SIGKILL."""
        process = self.balancers[number].process
        assert process is not None
        if signal_number in (signal.SIGKILL, signal.SIGTERM):
            self.balancers[number].ended_on_purpose = True
        process.send_signal(signal_number)
        if signal_number is signal.SIGKILL:
            process.wait()

    # -- the loop ----------------------------------------------------------------------------------------

    def wait_until(self, condition: Callable[[], bool], timeout_s: float = WAIT_TIMEOUT_S) -> float:
        """Run the loop until the condition holds; returns the seconds that this took.

        Raises AssertionError, with the ends of the logs, if the condition does not hold in time.
        """
        began = time.monotonic()
        while not condition():
            self.check_processes()
            assert time.monotonic() - began < timeout_s, "the condition did not hold in time\n" + "\n".join(
                f"{balancer.name}: {balancer.log[-1500:]}"
                for balancer in self.balancers
                if balancer.start_count
            )
            self.loop.run_once(0.01)
        return time.monotonic() - began

    def run_for(self, seconds: float) -> None:
        """Run the loop for a time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.check_processes()
            self.loop.run_once(min(0.01, max(0.0, end - time.monotonic())))

    def cut(self, *pairs: tuple[int, int]) -> None:
        """Cut the links between balancers, each given by the numbers of sender and receiver."""
        for pair in pairs:
            self.links[pair].cut = True

    def partition(self, side: Iterable[int]) -> None:
        """Cut all links between these balancers and the others."""
        numbers = set(side)
        self.cut(*[pair for pair in self.links if (pair[0] in numbers) != (pair[1] in numbers)])

    def heal(self) -> None:
        """Restore all links between balancers that were cut."""
        for link in self.links.values():
            link.cut = False

    def status(self, number: int) -> dict[str, Any]:
        """A balancer's ``fleet status``.

        The request bypasses the proxies, because it blocks the loop that runs them.
        """
        return request_status(
            self.load_fleet_file(number),
            self.balancers[number].address,
            random.Random(self.rng.getrandbits(64)),
        )

    def members(self, number: int) -> dict[str, str]:
        """The state of each member in a balancer's member list, by name."""
        return {member["name"]: member["state"] for member in self.status(number)["members"]}

    def all_joined(self, *numbers: int) -> bool:
        """Whether these balancers, or all of them, consider each other alive and no other member."""
        names = [self.balancers[n].name for n in numbers or range(len(self.balancers))]
        return all(
            {name for name, state in self.members(n).items() if state in ("self", "alive")} == set(names)
            for n in numbers or range(len(self.balancers))
        )

    # -- clients -----------------------------------------------------------------------------------------

    def connect_client(
        self, number: int, key: str = "", group: str = "", tenant: str = "n", keep_s: float = 60.0
    ) -> ClientResult:
        """Start a client at a balancer; it keeps its connection for at most ``keep_s``."""
        client_id = len(self.client_results) + 1
        result = ClientResult(client_id, self.loop.clock(), number)
        group_field = f",g={group}" if group else ""
        deadline_ms = self.settings["classes"][0]["deadline"]
        opening = (
            f"OPEN {client_id} {key or f'k{client_id}'} c=feed,t={tenant},d={deadline_ms:g}{group_field}\r\n"
        ).encode()
        client = Client(self.loop, self.balancers[number].front_address, result, opening, keep_s)
        self.client_results.append(result)
        self.clients.append(client)
        client.start()
        return result

    def wait_for_answers(self, *results: ClientResult) -> None:
        """Wait until these clients, or all, are answered or have ended; each must have one final answer."""
        awaited = results or self.client_results
        self.wait_until(lambda: all(result.final_answers or result.ended for result in awaited))
        for result in awaited:
            assert len(result.final_answers) == 1, (
                f"client {result.id} received {result.final_answers} instead of one final answer"
            )


def free_udp_port(host: str) -> int:
    """A UDP port that is free at the moment."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])
