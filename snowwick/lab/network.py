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

KEY = b"k" * 32


@dataclass(slots=True)
class Faults:
    """What links do to a datagram, each by its probability; delays in s."""

    loss: float = 0.0
    double: float = 0.0
    corrupt: float = 0.0
    least: float = 0.001
    most: float = 0.01


@dataclass(slots=True)
class Machine:
    """One balancer's place in the network."""

    name: str
    node: Node
    skew_ms: float = 0.0
    stopped_until: float = 0.0
    dead: bool = False
    queue: list[bytes] = field(default_factory=list)  # what comes while it is stopped
    starts: int = 1
    news: list[tuple[float, object]] = field(default_factory=list)


class Network:
    """Machines named m0, m1, ...; their addresses are their names."""

    def __init__(
        self, count: int, seed: int, period: float = 0.2, faults: Faults | None = None, seeds: int = 2
    ) -> None:
        self.random, self.period, self.faults = random.Random(seed), period, faults or Faults()
        self.now, self.serial = 0.0, 0
        self.seeds = [f"m{n}" for n in range(seeds)]
        self.cut: Callable[[str, str], bool] = lambda one, other: False
        self.events: list[tuple[float, int, str, bytes | None]] = []
        self.machines: dict[str, Machine] = {}
        self.sent = 0
        for n in range(count):
            self.add(f"m{n}")

    def wall_ms(self, name: str) -> Callable[[], float]:
        return lambda: (
            1_700_000_000_000.0
            + 1000.0 * self.now
            + (self.machines[name].skew_ms if name in self.machines else 0.0)
        )

    def add(self, name: str) -> Machine:
        """Start a machine, anew if it was there."""
        old = self.machines.get(name)
        starts = old.starts + 1 if old is not None else 1
        node = Node(
            name,
            name,
            [KEY],
            self.seeds,
            random.Random(self.random.getrandbits(64)),
            self.wall_ms(name),
            self.period,
        )
        machine = Machine(name, node, old.skew_ms if old is not None else 0.0, starts=starts)
        self.machines[name] = machine
        # Not in step: processes start apart.
        self._push(self.now + self.random.random() * self.period, name, None)
        return machine

    def _push(self, at: float, name: str, data: bytes | None) -> None:
        self.serial += 1
        heapq.heappush(self.events, (at, self.serial, name, data))

    def run(self, until: float, enough: Callable[[], bool] | None = None, step: float = 0.0) -> float:
        """Play until a time, or until enough has happened (looked at every ``step`` s); returns the time."""
        look = self.now
        while self.events and self.events[0][0] <= until:
            at, _, name, data = heapq.heappop(self.events)
            self.now = max(self.now, at)
            if enough is not None and self.now >= look:
                look = self.now + (step or self.period / 4)
                if enough():
                    heapq.heappush(self.events, (at, 0, name, data))
                    return self.now
            self._event(name, data)
        self.now = max(self.now, until)
        return self.now

    def _event(self, name: str, data: bytes | None) -> None:
        machine = self.machines[name]
        if machine.dead:
            return
        if self.now < machine.stopped_until:
            if data is None:
                self._push(machine.stopped_until, name, None)
            elif len(machine.queue) < 200:  # a socket's buffer
                machine.queue.append(data)
            return
        queue, machine.queue = machine.queue, []
        for waiting in queue:
            machine.node.receive(waiting, self.now)
        if data is not None:
            machine.node.receive(data, self.now)
        else:
            machine.node.tick(self.now)
            self._push(max(machine.node.next_due(), self.now + 0.001), name, None)
        self.carry(machine)

    def carry(self, machine: Machine) -> None:
        """Send what the node wants sent, by way of the faults."""
        f, chance = self.faults, self.random.random
        for to, datagram in machine.node.take_datagrams():
            self.sent += 1
            for _ in range(1 + (chance() < f.double)):
                if to not in self.machines or chance() < f.loss or self.cut(machine.name, to):
                    continue
                data = datagram
                if chance() < f.corrupt:
                    at = self.random.randrange(len(data))
                    data = data[:at] + bytes([data[at] ^ (1 << self.random.randrange(8))]) + data[at + 1 :]
                self._push(self.now + f.least + (f.most - f.least) * chance(), to, data)
        machine.news += [(self.now, one) for one in machine.node.take_events()]

    # -- troubles ----------------------------------------------------------------------------------------

    def halves(self, first: Iterable[str]) -> None:
        """Cut these off from all others, both ways."""
        names = frozenset(first)
        self.cut = lambda one, other: (one in names) != (other in names)

    def heal(self) -> None:
        self.cut = lambda one, other: False

    def kill(self, name: str) -> None:
        self.machines[name].dead = True

    def stop(self, name: str, seconds: float) -> None:
        """SIGSTOP, then SIGCONT so much later."""
        self.machines[name].stopped_until = self.now + seconds

    # -- looks -------------------------------------------------------------------------------------------

    def live(self) -> list[Machine]:
        return [one for one in self.machines.values() if not one.dead]

    def agree(self) -> bool:
        """Do all live machines hold the same, and know the same members?"""
        live = self.live()
        names = {one.name for one in live}
        return len({one.node.store.root_hash() for one in live}) == 1 and all(
            {record.name for record in one.node.members.alive()} | {one.name} == names for one in live
        )

    def write(self, name: str, kind: int, key: str, value: bytes | None, left: float = 0.0) -> None:
        machine = self.machines[name]
        machine.node.write(kind, key, value, self.now, left)
        self.carry(machine)
