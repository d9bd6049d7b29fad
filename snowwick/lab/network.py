"""A deterministic simulation of a network of fleet nodes on a simulated clock.

The nodes are the production ones (``snowwick.fleet.node``); only the clock, the random generator and the
transport of datagrams are simulated.  A seed determines the whole sequence of events.  Links lose, duplicate,
delay, reorder and corrupt datagrams and can be cut in one or both directions; machines can be paused, killed
and restarted.  Times are in seconds since the start of the simulation.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from snowwick.fleet.node import Node

FLEET_KEY = b"k" * 32


@dataclass(slots=True)
class LinkFaults:
    """The probability of each fault of a datagram, and the range of its delay in seconds."""

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    corruption_probability: float = 0.0
    min_delay_s: float = 0.001
    max_delay_s: float = 0.01


@dataclass(slots=True)
class Machine:
    """A simulated machine that runs one node."""

    name: str
    node: Node
    skew_ms: float = 0.0  # offset of its wall clock
    paused_until: float = 0.0
    killed: bool = False
    receive_queue: list[bytes] = field(default_factory=list)  # datagrams that arrive while it is paused
    start_count: int = 1
    node_events: list[tuple[float, object]] = field(default_factory=list)  # the time and the node's event


class Network:
    """A network of machines named m0, m1 and so on; a machine's address is its name."""

    def __init__(
        self,
        machine_count: int,
        seed: int,
        period_s: float = 0.2,
        faults: LinkFaults | None = None,
        seed_count: int = 2,
    ) -> None:
        self.rng, self.period_s, self.faults = random.Random(seed), period_s, faults or LinkFaults()
        self.now = 0.0
        self.event_serial = 0
        self.seed_addresses = [f"m{n}" for n in range(seed_count)]
        # Whether datagrams from a source to a target are lost
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        # The time, the serial number, the machine, and the datagram, or None for a tick
        self.event_heap: list[tuple[float, int, str, bytes | None]] = []
        self.machines: dict[str, Machine] = {}
        self.datagrams_sent = 0
        for n in range(machine_count):
            self.start_machine(f"m{n}")

    def wall_clock_ms(self, name: str) -> Callable[[], float]:
        """Returns a function that reads the machine's wall clock in milliseconds since the epoch."""
        return lambda: (
            1_700_000_000_000.0
            + 1000.0 * self.now
            + (self.machines[name].skew_ms if name in self.machines else 0.0)
        )

    def start_machine(self, name: str) -> Machine:
        """Starts a machine, or restarts it with a new node and an empty state."""
        previous = self.machines.get(name)
        start_count = previous.start_count + 1 if previous is not None else 1
        node = Node(
            name,
            name,
            [FLEET_KEY],
            self.seed_addresses,
            random.Random(self.rng.getrandbits(64)),
            self.wall_clock_ms(name),
            self.period_s,
        )
        machine = Machine(
            name, node, previous.skew_ms if previous is not None else 0.0, start_count=start_count
        )
        self.machines[name] = machine
        # The first tick is at a random point of the period, as processes do not start at the same time.
        self._push(self.now + self.rng.random() * self.period_s, name, None)
        return machine

    def _push(self, at: float, name: str, data: bytes | None) -> None:
        """Schedules the delivery of a datagram to a machine, or its tick where ``data`` is None."""
        self.event_serial += 1
        heapq.heappush(self.event_heap, (at, self.event_serial, name, data))

    def run(
        self, until: float, is_done: Callable[[], bool] | None = None, check_interval_s: float = 0.0
    ) -> float:
        """Runs the simulation until a time, or until ``is_done`` returns true, and returns the time.

        ``is_done`` is called every ``check_interval_s`` seconds, by default four times a period.
        """
        next_check = self.now
        while self.event_heap and self.event_heap[0][0] <= until:
            at, _, name, data = heapq.heappop(self.event_heap)
            self.now = max(self.now, at)
            if is_done is not None and self.now >= next_check:
                next_check = self.now + (check_interval_s or self.period_s / 4)
                if is_done():
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
            elif len(machine.receive_queue) < 200:  # as many datagrams as the socket's buffer holds
                machine.receive_queue.append(data)
            return
        queued, machine.receive_queue = machine.receive_queue, []
        for datagram in queued:
            machine.node.receive(datagram, self.now)
        if data is not None:
            machine.node.receive(data, self.now)
        else:
            machine.node.tick(self.now)
            self._push(max(machine.node.next_due(), self.now + 0.001), name, None)
        self.send_outbox(machine)

    def send_outbox(self, machine: Machine) -> None:
        """Sends the datagrams in the node's outbox over the faulty links and records the node's events."""
        link_faults = self.faults
        draw = self.rng.random
        for target, datagram in machine.node.take_datagrams():
            self.datagrams_sent += 1
            for _ in range(1 + (draw() < link_faults.duplicate_probability)):
                if (
                    target not in self.machines
                    or draw() < link_faults.loss_probability
                    or self.is_cut(machine.name, target)
                ):
                    continue
                data = datagram
                if draw() < link_faults.corruption_probability:
                    at = self.rng.randrange(len(data))
                    data = data[:at] + bytes([data[at] ^ (1 << self.rng.randrange(8))]) + data[at + 1 :]
                self._push(
                    self.now
                    + link_faults.min_delay_s
                    + (link_faults.max_delay_s - link_faults.min_delay_s) * draw(),
                    target,
                    data,
                )
        machine.node_events += [(self.now, event) for event in machine.node.take_events()]

    # -- faults ------------------------------------------------------------------------------------------

    def partition(self, names: Iterable[str]) -> None:
        """Cuts the named machines off from all others in both directions."""
        group = frozenset(names)
        self.is_cut = lambda source, target: (source in group) != (target in group)

    def heal(self) -> None:
        """Removes all cuts."""
        self.is_cut = lambda source, target: False

    def kill(self, name: str) -> None:
        self.machines[name].killed = True

    def pause(self, name: str, seconds: float) -> None:
        """Pauses a machine for that many seconds, as SIGSTOP and a later SIGCONT do."""
        self.machines[name].paused_until = self.now + seconds

    # -- checks ------------------------------------------------------------------------------------------

    def running_machines(self) -> list[Machine]:
        return [machine for machine in self.machines.values() if not machine.killed]

    def has_converged(self) -> bool:
        """Whether all running machines hold the same registers and list exactly each other as members."""
        machines = self.running_machines()
        names = {machine.name for machine in machines}
        return len({machine.node.store.root_hash() for machine in machines}) == 1 and all(
            {record.name for record in machine.node.members.alive()} | {machine.name} == names
            for machine in machines
        )

    def write(self, name: str, kind: int, key: str, value: bytes | None, remaining_s: float = 0.0) -> None:
        """Writes a register of a machine, or removes it where ``value`` is None, and sends the update."""
        machine = self.machines[name]
        machine.node.write(kind, key, value, self.now, remaining_s)
        self.send_outbox(machine)
