"""A simulated network of fleet nodes on a driven clock: one seed, one course of events.

The nodes are the shipped ones (``snowwick.fleet.node``); only time, chance and what carries their datagrams
are stand-ins.  Links lose, double, delay, reorder, corrupt and cut, one way or both; nodes stop, crash,
start anew."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from snowwick.fleet.node import Node

FLEET_KEY = b"k" * 32


@dataclass(slots=True)
class LinkFaults:
    """What links do to a datagram, each by its probability; delays in s."""

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    corruption_probability: float = 0.0
    min_delay_s: float = 0.001
    max_delay_s: float = 0.01


@dataclass(slots=True)
class Machine:
    """One balancer's place in the network."""

    name: str
    node: Node
    skew_ms: float = 0.0
    paused_until: float = 0.0
    killed: bool = False
    receive_queue: list[bytes] = field(default_factory=list)  # what comes while it is stopped
    start_count: int = 1
    node_events: list[tuple[float, object]] = field(default_factory=list)


class Network:
    """Machines named m0, m1, ...; their addresses are their names."""

    def __init__(
        self, count: int, seed: int, period: float = 0.2, faults: LinkFaults | None = None, seeds: int = 2
    ) -> None:
        self.rng, self.period_s, self.faults = random.Random(seed), period, faults or LinkFaults()
        self.now, self.event_serial = 0.0, 0
        self.seed_addresses = [f"m{n}" for n in range(seeds)]
        self.is_cut: Callable[[str, str], bool] = lambda one, other: False
        self.event_heap: list[tuple[float, int, str, bytes | None]] = []
        self.machines: dict[str, Machine] = {}
        self.datagrams_sent = 0
        for n in range(count):
            self.start_machine(f"m{n}")

    def wall_clock_ms(self, name: str) -> Callable[[], float]:
        return lambda: (
            1_700_000_000_000.0
            + 1000.0 * self.now
            + (self.machines[name].skew_ms if name in self.machines else 0.0)
        )

    def start_machine(self, name: str) -> Machine:
        """Start a machine, anew if it was there."""
        old = self.machines.get(name)
        start_count = old.start_count + 1 if old is not None else 1
        node = Node(
            name,
            name,
            [FLEET_KEY],
            self.seed_addresses,
            random.Random(self.rng.getrandbits(64)),
            self.wall_clock_ms(name),
            self.period_s,
        )
        machine = Machine(name, node, old.skew_ms if old is not None else 0.0, start_count=start_count)
        self.machines[name] = machine
        # Not in step: processes start apart.
        self._push(self.now + self.rng.random() * self.period_s, name, None)
        return machine

    def _push(self, at: float, name: str, data: bytes | None) -> None:
        self.event_serial += 1
        heapq.heappush(self.event_heap, (at, self.event_serial, name, data))

    def run(self, until: float, enough: Callable[[], bool] | None = None, step: float = 0.0) -> float:
        """Play until a time, or until enough has happened (looked at every ``step`` s); returns the time."""
        look = self.now
        while self.event_heap and self.event_heap[0][0] <= until:
            at, _, name, data = heapq.heappop(self.event_heap)
            self.now = max(self.now, at)
            if enough is not None and self.now >= look:
                look = self.now + (step or self.period_s / 4)
                if enough():
                    heapq.heappush(self.event_heap, (at, 0, name, data))
                    return self.now
            self._handle_event(name, data)
        self.now = max(self.now, until)
        return self.now

    def _handle_event(self, name: str, data: bytes | None) -> None:
        machine = self.machines[name]
        if machine.killed:
            return
        if self.now < machine.paused_until:
            if data is None:
                self._push(machine.paused_until, name, None)
            elif len(machine.receive_queue) < 200:  # a socket's buffer
                machine.receive_queue.append(data)
            return
        queue, machine.receive_queue = machine.receive_queue, []
        for waiting in queue:
            machine.node.receive(waiting, self.now)
        if data is not None:
            machine.node.receive(data, self.now)
        else:
            machine.node.tick(self.now)
            self._push(max(machine.node.next_due(), self.now + 0.001), name, None)
        self.send_outbox(machine)

    def send_outbox(self, machine: Machine) -> None:
        """Send what the node wants sent, by way of the faults."""
        f, chance = self.faults, self.rng.random
        for to, datagram in machine.node.take_datagrams():
            self.datagrams_sent += 1
            for _ in range(1 + (chance() < f.duplicate_probability)):
                if to not in self.machines or chance() < f.loss_probability or self.is_cut(machine.name, to):
                    continue
                data = datagram
                if chance() < f.corruption_probability:
                    at = self.rng.randrange(len(data))
                    data = data[:at] + bytes([data[at] ^ (1 << self.rng.randrange(8))]) + data[at + 1 :]
                self._push(self.now + f.min_delay_s + (f.max_delay_s - f.min_delay_s) * chance(), to, data)
        machine.node_events += [(self.now, one) for one in machine.node.take_events()]

    # -- troubles ----------------------------------------------------------------------------------------

    def partition(self, first: Iterable[str]) -> None:
        """Cut these off from all others, both ways."""
        names = frozenset(first)
        self.is_cut = lambda one, other: (one in names) != (other in names)

    def heal(self) -> None:
        self.is_cut = lambda one, other: False

    def kill(self, name: str) -> None:
        self.machines[name].killed = True

    def pause(self, name: str, seconds: float) -> None:
        """SIGSTOP, then SIGCONT so much later."""
        self.machines[name].paused_until = self.now + seconds

    # -- looks -------------------------------------------------------------------------------------------

    def running_machines(self) -> list[Machine]:
        return [one for one in self.machines.values() if not one.killed]

    def has_converged(self) -> bool:
        """Do all live machines hold the same, and know the same members?"""
        live = self.running_machines()
        names = {one.name for one in live}
        return len({one.node.store.root_hash() for one in live}) == 1 and all(
            {record.name for record in one.node.members.alive()} | {one.name} == names for one in live
        )

    def write(self, name: str, kind: int, key: str, value: bytes | None, left: float = 0.0) -> None:
        machine = self.machines[name]
        machine.node.write(kind, key, value, self.now, left)
        self.send_outbox(machine)
