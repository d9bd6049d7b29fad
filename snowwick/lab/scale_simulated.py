"""The simulated form of the scale run: production nodes on the simulated network, and the cost per member.

The fleet starts joined (``join_all``): the state of each node is filled in as after a completed join, through
the nodes' own methods, since joining thousands of members takes longer than everything measured after it.

Processor time is that of ``Node.receive``, ``tick``, ``next_due`` and ``write`` alone, read from the CPU
clock of the process around each call; it excludes the network, the sockets and the rest of the program.  The
time that a program spends *reading* the registers four times a second is measured separately on sampled
members (``heed_core``).  The cyclic garbage collector is off during the simulation, since a single collection
would traverse the objects of all members.  Memory is the growth of the resident size of the process from
before the fleet is created to the end of the steady phase, divided by the number of members: the state of a
member without an interpreter, sockets or the program.

Simulated members are never slowed down: a member that needs more than one core, or whose socket would
overflow, still processes everything on time.  A ``core`` near 1 means that a real member could not keep up.

The ages and sums of loads are sampled once a second on ``OBSERVER_COUNT`` members for
``OBSERVED_OWNER_COUNT`` owners, which are drawn by the seed; everything else is counted on all members.
"""

from __future__ import annotations

import gc
import heapq
import math
import random
import resource
import time
from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from statistics import fmean, median
from typing import cast

import msgspec
from hdrh.histogram import HdrHistogram

from snowwick.fleet import registers, wire
from snowwick.fleet.members import DEAD, MAX_SUSPICION_FACTOR, MIN_SUSPICION_S, SUSPICION_FACTOR, MemberChange
from snowwick.fleet.node import CaughtUp
from snowwick.fleet.registers import RegisterView
from snowwick.lab.network import LinkFaults, Machine, Network
from snowwick.lab.workload import (
    Event,
    EventKind,
    Phase,
    PhaseMeasurements,
    ResultRow,
    Workload,
    change_key,
    change_value,
    grant_value,
    load_events,
    load_value,
    reference_frame_cpu_s,
    request_value,
    schedule,
)
from snowwick.net.fleet import SHARE_INTERVAL_S

OBSERVER_COUNT = 8  # members whose view of the loads is sampled
OBSERVED_OWNER_COUNT = 32  # members whose loads are compared in these views
START_CHECK_INTERVAL_S = 0.1  # between checks whether starting members have caught up
# Reference frames that are timed in each second of the run, so that a change of the machine's speed affects
# them and the members alike
REFERENCE_FRAMES_PER_SAMPLE = 100
PROGRESS_INTERVAL_S = 5.0  # between progress lines and partial rows
MAX_RECORDED_TENTHS_MS = 36_000_000  # largest value of a histogram: an hour
# Estimated memory of a run with the default loads
PROCESS_BYTES = 60e6  # without any member
MEMBER_BYTES = 150e3  # for each member
KNOWN_MEMBER_BYTES = 4.5e3  # in each member, for each member that it knows
# Estimated duration of a run
START_UP_S = 1.0  # before the members join
MEMBER_RUN_S = 4e-3  # for each simulated second and member
KNOWN_MEMBER_RUN_S = 4.5e-4  # for each simulated second, member and member that it knows
IDLE_RUN_FRACTION = 0.2  # a simulated second of the idle phase takes this fraction of one of the other phases
PAIR_JOIN_S = 8e-5  # at the join, for each member and member that it knows


# -- recorders -----------------------------------------------------------------------------------------------


class DurationHistogram:
    """A histogram of durations from 0.1 ms to an hour, with three significant digits."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, MAX_RECORDED_TENTHS_MS, 3)

    def add(self, seconds: float) -> None:
        self.histogram.record_value(min(MAX_RECORDED_TENTHS_MS, max(0, round(1e4 * seconds))))

    def with_added(self, durations_s: Iterable[float]) -> DurationHistogram:
        """Returns a copy to which further durations are added."""
        copy = DurationHistogram()
        copy.histogram.add(self.histogram)
        for seconds in durations_s:
            copy.add(seconds)
        return copy

    def at_percentile(self, percentile: float) -> float | None:
        """The duration in seconds at a percentile; None where nothing was recorded."""
        if not self.histogram.get_total_count():
            return None
        return cast(float, self.histogram.get_value_at_percentile(percentile)) / 1e4


@dataclass(slots=True)
class DeathReports:
    """Members that were declared dead, by name, start and incarnation.

    A declaration that is correct when it is first made remains correct for that incarnation: it continues to
    propagate after the partition that caused it has healed, and is refuted with a new incarnation.
    """

    true_positives: set[tuple[str, int, int]] = field(default_factory=set)
    # With the time of the first declaration
    false_positives: dict[tuple[str, int, int], float] = field(default_factory=dict)

    def record(self, member: wire.Member, is_true_positive: bool, now: float) -> None:
        """Records a declaration; only the first one for a start and incarnation counts."""
        key = member.name, member.boot, member.incarnation
        if is_true_positive:
            self.true_positives.add(key)
        elif key not in self.true_positives:
            self.false_positives.setdefault(key, now)


def max_suspicion_s(members: int, period_s: float) -> float:
    """The longest time in seconds before a suspect is declared dead in a fleet of that size."""
    return max(
        MIN_SUSPICION_S,
        MAX_SUSPICION_FACTOR * SUSPICION_FACTOR * max(1.0, math.log10(max(1, members))) * period_s,
    )


@dataclass(slots=True)
class MemberUsage:
    """What a member used in a phase; ``core`` is processor time in seconds.

    ``measure_phase`` reads the attributes by name; the names are also keys of the results.
    """

    core: float = 0.0
    bytes_in: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    shed: int = 0
    running_s: float = 0.0


@dataclass(slots=True)
class PropagatingChange:
    """A configuration change that has not reached all members yet."""

    writer: str
    key: tuple[int, str]
    version: tuple[int, int]  # epoch and sequence number
    written_at: float
    phase_log: PhaseLog
    pending_members: set[str]
    last_received_at: float


@dataclass(slots=True)
class StartingMember:
    """A member that was started during the run."""

    name: str
    started_at: float
    # Epoch and sequence number of the others' registers at its start, by owner, that it does not hold yet
    missing_versions: dict[str, tuple[int, int]]
    phase_log: PhaseLog
    caught_up_after_s: float | None = None
    bytes_received: int = 0
    reported_after_s: float | None = None  # as reported by the node's ``CaughtUp`` event


@dataclass(slots=True)
class PhaseLog:
    """The measurements of one phase as they are recorded."""

    name: str
    start: float
    end: float = 0.0
    usages: dict[str, MemberUsage] = field(default_factory=dict)
    propagation_times: DurationHistogram = field(default_factory=DurationHistogram)
    change_count: int = 0
    load_ages: DurationHistogram = field(default_factory=DurationHistogram)
    load_lags: DurationHistogram = field(default_factory=DurationHistogram)
    load_errors: list[float] = field(default_factory=list)
    reference_frames_s: list[float] = field(default_factory=list)  # processor time of a reference frame
    register_read_cores: list[float] = field(default_factory=list)  # fractions of a core
    healed_after_s: float | None = None
    fault_ended_at: float = 0.0  # 0 where no fault has ended in the phase

    def usage(self, name: str) -> MemberUsage:
        """The usage of a member, which is created on first use."""
        member_usage = self.usages.get(name)
        if member_usage is None:
            member_usage = self.usages[name] = MemberUsage()
        return member_usage


# -- the joined fleet ----------------------------------------------------------------------------------------


def join_all(network: Network) -> None:
    """Puts all members into the state after a completed join, in which they hold each other's registers.

    Each member records a contact with each other (``Membership.record_contact``) and merges its registers in
    one batch (``Store.merge_batch``).  These are decoded once per copy, so that the copies take as much
    memory as real ones; the gossip queues are empty afterwards.  Must be called before the network runs;
    registers that the members have written before the call are part of the state.
    """
    machines = list(network.machines.values())
    for machine in machines:
        own_record = machine.node.members.local
        owner = machine.node.store.owners[machine.name]
        encoded_member = msgspec.msgpack.encode(own_record.member())
        encoded_entries = msgspec.msgpack.encode([held.entry for held in owner.entries.values()])
        encoded_summary = msgspec.msgpack.encode(owner.summary(machine.name))
        for other in machines:
            if other is machine:
                continue
            node = other.node
            member = msgspec.msgpack.decode(encoded_member, type=wire.Member)
            node.members.record_contact(
                member.name, member.address, member.incarnation, member.boot, network.now
            )
            summary = msgspec.msgpack.decode(encoded_summary, type=wire.OwnerSummary)
            entries = msgspec.msgpack.decode(encoded_entries, type=list[wire.Entry])
            for entry in entries:
                node.hybrid_clock.observe(entry.timestamp, node.wall_ms())
            node.store.merge_batch(summary, 0, summary.complete_seq, entries, network.now)
    for machine in machines:
        machine.node.members.gossip_queue.clear()
        machine.node.members.changes.clear()
        machine.node.store.gossip_queue.clear()


# -- the measured fleet --------------------------------------------------------------------------------------


class SimulatedFleet(Network):
    """The simulated network with zones and regions and with measurements.

    Measures the usage of each member, the propagation of changes, starts, failure detection and loads.
    """

    def __init__(self, workload: Workload) -> None:
        self.workload = workload
        super().__init__(
            workload.members,
            workload.seed,
            workload.period,
            LinkFaults(loss_probability=workload.loss),
        )
        self.phase_log = PhaseLog("", 0.0)
        # Running members, with the time up to which their running time is counted
        self.running_since = dict.fromkeys(self.machines, 0.0)
        self.propagating: list[PropagatingChange] = []
        self.written_in_cut: list[PropagatingChange] = []  # must reach all members after the cut has healed
        self.starting: list[StartingMember] = []
        self.death_reports = DeathReports()
        self.suspicion_window_s = max_suspicion_s(workload.members, workload.period)
        self.was_cut: Callable[[str, str], bool] = lambda source, target: False  # before the last heal
        self.healed_at = -math.inf
        self.pauses: dict[str, tuple[float, float]] = {}  # start and end of each machine's last pause
        self.regions = {name: workload.region_of(n) for n, name in enumerate(self.machines)}
        sampling_rng = random.Random(workload.seed)
        names = list(self.machines)
        self.observers = sampling_rng.sample(names, min(OBSERVER_COUNT, len(names)))
        # By observed owner and chunk: epoch, sequence number and time of each write
        self.load_history: dict[tuple[str, int], list[tuple[int, int, float]]] = {
            (name, chunk): []
            for name in sampling_rng.sample(names, min(OBSERVED_OWNER_COUNT, len(names)))
            for chunk in range(registers.LOAD_CHUNKS)
        }
        # Connections that each member has last written, by chunk
        self.load_totals: dict[str, dict[int, int]] = {name: {} for name in names}

    # -- transport --

    def _handle_event(self, name: str, data: bytes | None) -> None:
        machine = self.machines[name]
        if machine.killed or machine.receive_queue or self.now < machine.paused_until:
            super()._handle_event(name, data)
            return
        node, usage = machine.node, self.phase_log.usage(name)
        if data is not None:
            usage.datagrams_in += 1
            usage.bytes_in += len(data)
            began = time.process_time()
            node.receive(data, self.now)
            usage.core += time.process_time() - began
            if self.propagating:
                self._record_received_changes(name, machine)
        else:
            shed = node.counts.shed
            began = time.process_time()
            node.tick(self.now)
            due = node.next_due()
            usage.core += time.process_time() - began
            usage.shed += node.counts.shed - shed
            self._push(max(due, self.now + 0.001), name, None)
        self.send_outbox(machine)

    def send_outbox(self, machine: Machine) -> None:
        usage, draw, region = (
            self.phase_log.usage(machine.name),
            self.rng.random,
            self.regions[machine.name],
        )
        min_delay_s = 0.1 * self.workload.delay_s
        delay_range_s = 0.9 * self.workload.delay_s
        for target, datagram in machine.node.take_datagrams():
            usage.datagrams_out += 1
            usage.bytes_out += len(datagram)
            if (
                target not in self.machines
                or draw() < self.faults.loss_probability
                or self.is_cut(machine.name, target)
            ):
                continue
            extra_delay_s = self.workload.region_delay_s if self.regions[target] != region else 0.0
            self._push(self.now + min_delay_s + delay_range_s * draw() + extra_delay_s, target, datagram)
        for event in machine.node.take_events():
            if isinstance(event, MemberChange) and event.member.state == DEAD:
                self.death_reports.record(
                    event.member, self.is_true_positive(event.member, machine.name), self.now
                )
            elif isinstance(event, CaughtUp):
                for start in self.starting:
                    if start.name == machine.name and start.reported_after_s is None:
                        start.reported_after_s = event.after_s

    def write(self, name: str, kind: int, key: str, value: bytes | None, remaining_s: float = 0.0) -> None:
        machine, usage = self.machines[name], self.phase_log.usage(name)
        began = time.process_time()
        machine.node.write(kind, key, value, self.now, remaining_s)
        usage.core += time.process_time() - began
        self.send_outbox(machine)

    # -- failure detection --

    def is_true_positive(self, member: wire.Member, reporter: str) -> bool:
        """Whether the reporter has a reason to declare this start of a member dead.

        That is the case if the member is down or has restarted, was paused for at least a suspicion time, or
        is cut off from the reporter in either direction.  A pause and a cut count until the longest suspicion
        time after their end.
        """
        machine = self.machines.get(member.name)
        if machine is None or machine.killed or machine.node.members.local.boot != member.boot:
            return True
        start, end = self.pauses.get(member.name, (0.0, 0.0))
        if end - start >= MIN_SUSPICION_S and self.now < end + self.suspicion_window_s:
            return True
        cut_off = self.is_cut(member.name, reporter) or self.is_cut(reporter, member.name)
        return cut_off or (
            self.now < self.healed_at + self.suspicion_window_s
            and (self.was_cut(member.name, reporter) or self.was_cut(reporter, member.name))
        )

    def pause(self, name: str, seconds: float) -> None:
        super().pause(name, seconds)
        self.pauses[name] = self.now, self.now + seconds

    def heal(self) -> None:
        self.was_cut = self.is_cut
        self.healed_at = self.now
        super().heal()

    # -- phases --

    def begin_phase(self, phase_log: PhaseLog) -> None:
        """Ends the current phase and records into another log from now on."""
        self.update_running_times()
        self.phase_log = phase_log
        phase_log.start = phase_log.end = self.now

    def update_running_times(self) -> None:
        """Adds the time since the last update to the running time of each running member."""
        for name, since in self.running_since.items():
            self.phase_log.usage(name).running_s += self.now - since
            self.running_since[name] = self.now
        self.phase_log.end = self.now

    # -- events --

    def is_running(self, name: str) -> bool:
        return name in self.running_since

    def stop_member(self, name: str) -> None:
        """Kills a member's machine and no longer waits for what only this member could complete."""
        if not self.is_running(name):
            return
        self.kill(name)
        self.phase_log.usage(name).running_s += self.now - self.running_since.pop(name)
        for change in self.propagating:
            change.pending_members.discard(name)
        self.starting = [
            start for start in self.starting if start.name != name or start.caught_up_after_s is not None
        ]
        for start in self.starting:
            start.missing_versions.pop(name, None)
        # A change need not reach all members once its writer is down.
        for change in [change for change in self.propagating if change.writer == name]:
            self.propagating.remove(change)
            change.phase_log.change_count -= 1
        self.written_in_cut = [change for change in self.written_in_cut if change.writer != name]
        self._finish_propagated_changes()

    def restart_member(self, name: str) -> None:
        """Restarts a member without any state; it first writes its initial registers."""
        if self.is_running(name):
            return
        missing_versions = {
            other: (owner.epoch, owner.complete_seq)
            for other in self.running_since
            for owner in (self.machines[other].node.store.owners[other],)
            if not self.is_cut(name, other)
        }
        # Frees the previous node now, since the garbage collector is off and its bound handlers refer to it.
        self.machines[name].node.handlers.clear()
        self.start_machine(name)
        self.running_since[name] = self.now
        self.starting.append(StartingMember(name, self.now, missing_versions, self.phase_log))
        self.write_initial_registers(name)

    def write_initial_registers(self, name: str) -> None:
        """Writes the registers that a member has before the first event."""
        self.write(name, registers.REVISION, "0000", registers.pack(registers.Revision(name.ljust(64))))
        for chunk in range(registers.LOAD_CHUNKS):
            self.write_load(int(name[1:]), chunk)

    def write_load(self, member: int, chunk: int) -> None:
        """Writes one load register of a member with the counts of the current time."""
        name = f"m{member}"
        counts = load_value(self.workload, member, chunk, self.now)
        self.write(name, registers.LOAD, str(chunk), registers.pack(counts))
        self.load_totals[name][chunk] = sum(counts.values())
        history = self.load_history.get((name, chunk))
        if history is not None:
            owner = self.machines[name].node.store.owners[name]
            history.append((owner.epoch, owner.complete_seq, self.now))

    def write_change(self, member: int, number: int) -> None:
        """Writes a configuration change of a member, or of the next running one where it is down."""
        names = [f"m{(member + n) % self.workload.members}" for n in range(self.workload.members)]
        writer = next((name for name in names if self.is_running(name)), None)
        if writer is None:
            return
        key = change_key(self.workload, number)
        self.write(writer, registers.REVISION, key, change_value(self.workload, number))
        owner = self.machines[writer].node.store.owners[writer]
        pending_members = {
            name for name in self.running_since if name != writer and not self.is_cut(writer, name)
        }
        change = PropagatingChange(
            writer,
            (registers.REVISION, key),
            (owner.epoch, owner.complete_seq),
            self.now,
            self.phase_log,
            pending_members,
            self.now,
        )
        self.phase_log.change_count += 1
        self.propagating.append(change)
        if any(self.is_cut(writer, name) for name in self.running_since):
            self.written_in_cut.append(change)
        self._finish_propagated_changes()

    def apply_event(self, event: Event) -> None:
        """Carries out an event of the schedule; writes of members that are down are skipped."""
        name = f"m{event.member}"
        match event.kind:
            case EventKind.LOAD if self.is_running(name):
                self.write_load(event.member, event.number)
            case EventKind.CHANGE:
                self.write_change(event.member, event.number)
            case EventKind.VERDICT if self.is_running(name):
                self.write(
                    name,
                    registers.HEALTH,
                    str(event.number),
                    registers.pack(registers.HANGING),
                    registers.VERDICT_LIFETIME_S,
                )
            case EventKind.VERDICT_WITHDRAWN if self.is_running(name):
                self.write(name, registers.HEALTH, str(event.number), None)
            case EventKind.RIGHTS if self.is_running(name) and self.is_running(f"m{event.other}"):
                lender = f"m{event.other}"
                epochs = {
                    member: self.machines[member].node.store.owners[member].epoch for member in (name, lender)
                }
                self.write(
                    name,
                    registers.RIGHTS,
                    "ask:scale",
                    request_value(self.workload, event, lender, epochs[lender]),
                )
                self.write(lender, registers.RIGHTS, f"grant:{name}:scale", grant_value(event, epochs[name]))
            case EventKind.FAIL:
                self.stop_member(name)
            case EventKind.LEAVE if self.is_running(name):
                self.machines[name].node.leave(self.now)
                self.send_outbox(self.machines[name])
                self.stop_member(name)
            case EventKind.START:
                self.restart_member(name)
            case EventKind.ZONE_LOST:
                for member in self.members_in_zone(event.number):
                    self.stop_member(member)
            case EventKind.ZONE_BACK:
                for member in self.members_in_zone(event.number):
                    self.restart_member(member)
                self.phase_log.fault_ended_at = self.now
            case EventKind.CUT:
                self.is_cut = lambda source, target: self.regions[source] != self.regions[target]
                for change in self.propagating:
                    change.pending_members = {
                        member for member in change.pending_members if not self.is_cut(change.writer, member)
                    }
                self._finish_propagated_changes()
            case EventKind.HEAL:
                self.heal()
                self.phase_log.fault_ended_at = self.now

    def members_in_zone(self, zone: int) -> list[str]:
        return [f"m{n}" for n in range(self.workload.members) if self.workload.zone_of(n) == zone]

    # -- sampling --

    def holds_change(self, name: str, change: PropagatingChange) -> bool:
        """Whether a member holds a change or a later version of its register."""
        owner = self.machines[name].node.store.owners.get(change.writer)
        held = owner.entries.get(change.key) if owner is not None else None
        return held is not None and (held.entry.epoch, held.entry.seq) >= change.version

    def _record_received_changes(self, name: str, machine: Machine) -> None:
        is_any_propagated = False
        for change in self.propagating:
            if name in change.pending_members and self.holds_change(name, change):
                change.pending_members.discard(name)
                change.last_received_at = self.now
                is_any_propagated = is_any_propagated or not change.pending_members
        if is_any_propagated:
            self._finish_propagated_changes()

    def _finish_propagated_changes(self) -> None:
        """Records the propagation time of the changes that have reached all members."""
        for change in [change for change in self.propagating if not change.pending_members]:
            change.phase_log.propagation_times.add(change.last_received_at - change.written_at)
            self.propagating.remove(change)

    def check_starts(self) -> None:
        """Records which starting members have caught up since the last check."""
        for start in self.starting:
            if start.caught_up_after_s is not None:
                continue
            node = self.machines[start.name].node
            for name, version in list(start.missing_versions.items()):
                owner = node.store.owners.get(name)
                if (
                    node.members.is_member(name)
                    and owner is not None
                    and (owner.epoch, owner.complete_seq) >= version
                ):
                    del start.missing_versions[name]
            if not start.missing_versions:
                start.caught_up_after_s = self.now - start.started_at
                start.bytes_received = node.counts.bytes_in

    def check_healed(self, phase_log: PhaseLog) -> bool:
        """Whether the fleet has recovered from the fault of a phase; records the time if so.

        It has recovered when all started members have caught up, all members list exactly the running ones,
        and all hold the changes that were written during the cut.
        """
        if any(start.caught_up_after_s is None for start in self.starting):
            return False
        for name in self.running_since:
            alive = {record.name for record in self.machines[name].node.members.alive()}
            if len(alive) != len(self.running_since) - 1 or not alive <= self.running_since.keys():
                return False
        self.written_in_cut = [
            change
            for change in self.written_in_cut
            if not all(
                name == change.writer or self.holds_change(name, change) for name in self.running_since
            )
        ]
        if self.written_in_cut:
            return False
        phase_log.healed_after_s = self.now - phase_log.fault_ended_at
        return True

    def sample_loads(self) -> None:
        """Records the age and the lag of the loads that the observers hold, and the error of their sums."""
        actual_total = sum(sum(self.load_totals[name].values()) for name in self.running_since)
        for name in self.observers:
            if not self.is_running(name):
                continue
            node = self.machines[name].node
            for (owner_name, chunk), history in self.load_history.items():
                if (
                    owner_name == name
                    or not history
                    or not self.is_running(owner_name)
                    or self.is_cut(owner_name, name)
                    or not node.members.is_member(owner_name)
                ):
                    continue
                owner = node.store.owners.get(owner_name)
                held = owner.entries.get((registers.LOAD, str(chunk))) if owner is not None else None
                version = (held.entry.epoch, held.entry.seq, math.inf) if held is not None else (0, 0, 0.0)
                held_count = bisect_right(history, version)
                if held_count:
                    self.phase_log.load_ages.add(self.now - history[held_count - 1][2])
                # An observer cannot hold anything before its own start.
                observer_started_at = node.started_at if node.started_at is not None else self.now
                self.phase_log.load_lags.add(
                    self.now - max(observer_started_at, history[held_count][2])
                    if held_count < len(history)
                    else 0.0
                )
            view = RegisterView(node.store, node.members)
            read_began = time.process_time()
            observed_total = view.connections_elsewhere(self.now).total()
            view.verdicts(self.workload.load_destinations, self.now)
            view.leaving("scale", 1, self.now)
            view.requests_and_grants(self.now)
            view.revisions(self.now)
            self.phase_log.register_read_cores.append((time.process_time() - read_began) / SHARE_INTERVAL_S)
            observed_total += sum(self.load_totals[name].values())
            self.phase_log.load_errors.append(abs(observed_total - actual_total) / max(1, actual_total))


# -- results -------------------------------------------------------------------------------------------------


def measure_phase(fleet: SimulatedFleet, log: PhaseLog) -> PhaseMeasurements:
    """The measurements of a phase so far."""
    reference = median(log.reference_frames_s)
    usages = [usage for usage in log.usages.values() if usage.running_s > 0.0]
    total_running_s = max(1e-9, sum(usage.running_s for usage in usages))
    longest_running_s = max((usage.running_s for usage in usages), default=0.0)
    long_running = [usage for usage in usages if usage.running_s >= 0.5 * longest_running_s]

    def rate(attribute: str) -> float:
        return float(sum(getattr(usage, attribute) for usage in usages) / total_running_s)

    def worst(attribute: str) -> float:
        return max((getattr(usage, attribute) / usage.running_s for usage in long_running), default=0.0)

    unfinished_ages = [
        fleet.now - change.written_at for change in fleet.propagating if change.phase_log is log
    ]
    propagation_times = log.propagation_times.with_added(unfinished_ages)
    starts = [start for start in fleet.starting if start.phase_log is log]
    finished_starts = [start for start in starts if start.caught_up_after_s is not None]
    reported = [start.reported_after_s for start in starts if start.reported_after_s is not None]
    measurements = PhaseMeasurements(
        bytes_out=rate("bytes_out"),
        bytes_in=rate("bytes_in"),
        datagrams_out=rate("datagrams_out"),
        datagrams_in=rate("datagrams_in"),
        core=rate("core"),
        reference=rate("core") / reference,
        worst={
            "bytes_out": worst("bytes_out"),
            "bytes_in": worst("bytes_in"),
            "datagrams_out": worst("datagrams_out"),
            "datagrams_in": worst("datagrams_in"),
            "core": worst("core"),
            "reference": worst("core") / reference,
        },
        everywhere_p50_s=propagation_times.at_percentile(50.0),
        everywhere_p99_s=propagation_times.at_percentile(99.0),
        everywhere_worst_s=propagation_times.at_percentile(100.0),
        changes=log.change_count,
        changes_unfinished=len(unfinished_ages),
        false_deaths=sum(log.start <= at < log.end for at in fleet.death_reports.false_positives.values()),
        load_age_p50_s=log.load_ages.at_percentile(50.0),
        load_age_p99_s=log.load_ages.at_percentile(99.0),
        load_late_p50_s=log.load_lags.at_percentile(50.0),
        load_late_p99_s=log.load_lags.at_percentile(99.0),
        load_error=fmean(log.load_errors) if log.load_errors else None,
        heed_core=fmean(log.register_read_cores) if log.register_read_cores else None,
        shed=rate("shed"),
        start_bytes=fmean(start.bytes_received for start in finished_starts) if finished_starts else None,
        start_s=fmean(
            start.caught_up_after_s for start in finished_starts if start.caught_up_after_s is not None
        )
        if finished_starts
        else None,
        starts=len(finished_starts),
        starts_unfinished=len(starts) - len(finished_starts),
        start_said_s=fmean(reported) if reported else None,
    )
    if log.fault_ended_at:
        measurements["healed_s"] = log.healed_after_s
    return measurements


@dataclass(slots=True)
class SimulationRun:
    """The run of one fleet size."""

    fleet: SimulatedFleet
    began: float  # seconds on this process's monotonic clock
    resident_before: int  # resident bytes of the process before the fleet was created
    phase_logs: dict[str, PhaseLog]
    member_bytes: float = 0.0  # at the end of the steady phase

    def current_member_bytes(self) -> float:
        """The growth of the resident size so far, in bytes a member."""
        return (resident_bytes() - self.resident_before) / self.fleet.workload.members

    def row(self) -> ResultRow:
        """The result row so far; the steady phase must have begun."""
        fleet, phase_logs = self.fleet, self.phase_logs
        idle = measure_phase(fleet, phase_logs["idle"])
        row: dict[str, object] = {
            "members": fleet.workload.members,
            "played_s": fleet.now,
            "took_s": time.monotonic() - self.began,
            **measure_phase(fleet, phase_logs["steady"]),
            "reference_s": median(phase_logs["steady"].reference_frames_s),
            "memory": self.member_bytes or self.current_member_bytes(),
            "idle_bytes_out": idle["bytes_out"],
            "idle_core": idle["core"],
            "false_deaths_all": len(fleet.death_reports.false_positives),
        }
        for phase in ("burst", "zone_lost", "region_cut"):
            if phase in phase_logs and phase_logs[phase].usages:
                row[phase] = measure_phase(fleet, phase_logs[phase])
        return cast(ResultRow, row)


def estimate_bytes(workload: Workload) -> int:
    """The estimated resident size in bytes of the process that runs a workload."""
    return round(PROCESS_BYTES + workload.members * MEMBER_BYTES + workload.members**2 * KNOWN_MEMBER_BYTES)


def estimate_s(workload: Workload) -> float:
    """The estimated duration of a run in seconds.

    It is the sum of a fixed part, of the run, which has a cost for each member and for each member that it
    knows, and of the join.
    """
    active_s = workload.idle_s * IDLE_RUN_FRACTION + (workload.duration_s() - workload.idle_s)
    return (
        START_UP_S
        + active_s * workload.members * (MEMBER_RUN_S + KNOWN_MEMBER_RUN_S * workload.members)
        + workload.members**2 * PAIR_JOIN_S
    )


def resident_bytes() -> int:
    """The resident size of this process in bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


def run_workload(
    workload: Workload,
    report_progress: Callable[[str], None],
    report_partial_row: Callable[[ResultRow], None],
) -> ResultRow:
    """Runs one fleet size to its end.

    ``report_progress`` receives progress lines.  ``report_partial_row`` receives the row so far, marked
    ``partial``, at intervals from the steady phase on.  ``memory`` is correct only in a process that has not
    run a fleet before.
    """
    began = time.monotonic()
    events = [(event.at, n, event) for n, event in enumerate(schedule(workload))]
    phase_logs = {phase.name: PhaseLog(phase.name, phase.start) for phase in workload.phases()}
    reference_frame_cpu_s(100, 3)
    gc.collect()
    gc.disable()
    try:
        resident_before = resident_bytes()
        fleet = SimulatedFleet(workload)
        for name in fleet.machines:
            fleet.write_initial_registers(name)
        join_all(fleet)
        report_progress(f"{workload.members} members joined, {time.monotonic() - began:.1f} s")
        return _run_phases(
            SimulationRun(fleet, began, resident_before, phase_logs),
            events,
            report_progress,
            report_partial_row,
        )
    finally:
        gc.enable()


def _run_phases(
    run: SimulationRun,
    events: list[tuple[float, int, Event]],
    report_progress: Callable[[str], None],
    report_partial_row: Callable[[ResultRow], None],
) -> ResultRow:
    """Runs all phases and the drain."""
    fleet, workload = run.fleet, run.fleet.workload

    def progress(phase: Phase) -> None:
        fleet.update_running_times()
        if run.phase_logs["steady"].usages:
            row = run.row()
            row["partial"] = True
            report_partial_row(row)
        report_progress(
            f"{workload.members} members, {phase.name} {fleet.now - phase.start:.0f} of "
            f"{phase.end - phase.start:.0f} s, took {time.monotonic() - run.began:.0f} s"
        )

    heapq.heapify(events)
    for phase in workload.phases():
        fleet.begin_phase(run.phase_logs[phase.name])
        fleet.phase_log.reference_frames_s.append(reference_frame_cpu_s(REFERENCE_FRAMES_PER_SAMPLE, 1))
        _run_phase(fleet, events, phase, run.phase_logs[phase.name], partial(progress, phase))
        if phase.name == "steady":
            run.member_bytes = run.current_member_bytes()
    last_log = run.phase_logs[workload.phases()[-1].name]
    fleet.begin_phase(PhaseLog("drain", fleet.now))
    drain_events = [
        (event.at, n, event)
        for n, event in enumerate(
            load_events(workload, workload.duration_s(), workload.duration_s() + workload.drain_s)
        )
    ]
    heapq.heapify(drain_events)
    end = fleet.now + workload.drain_s
    while fleet.now < end and (
        fleet.propagating
        or (last_log.fault_ended_at and last_log.healed_after_s is None)
        or any(start.caught_up_after_s is None for start in fleet.starting)
    ):
        _run_phase(
            fleet, drain_events, Phase("drain", fleet.now, min(end, fleet.now + 0.5)), last_log, lambda: None
        )
    return run.row()


def _run_phase(
    fleet: SimulatedFleet,
    events: list[tuple[float, int, Event]],
    phase: Phase,
    phase_log: PhaseLog,
    progress: Callable[[], None],
) -> None:
    """Runs one phase: applies events when they are due and samples the fleet in between.

    ``phase_log`` is the log of the phase whose recovery is checked.
    """
    next_check = phase.start + START_CHECK_INTERVAL_S
    next_sample = phase.start + 1.0
    next_progress = phase.start + PROGRESS_INTERVAL_S
    while fleet.now < phase.end:
        fleet.run(min(events[0][0] if events else phase.end, next_check, phase.end))
        while events and events[0][0] <= fleet.now and events[0][0] < phase.end:
            fleet.apply_event(heapq.heappop(events)[2])
        if fleet.now >= next_check:
            next_check += START_CHECK_INTERVAL_S
            fleet.check_starts()
            if phase_log.fault_ended_at and phase_log.healed_after_s is None:
                fleet.check_healed(phase_log)
        if fleet.now >= next_sample:
            next_sample += 1.0
            fleet.phase_log.reference_frames_s.append(reference_frame_cpu_s(REFERENCE_FRAMES_PER_SAMPLE, 1))
            # Begins once each register has been written again: earlier ages would include the idle phase.
            rotation_s = (
                registers.LOAD_CHUNKS / fleet.workload.load_writes if fleet.workload.load_writes else 0.0
            )
            if fleet.now >= fleet.workload.idle_s + rotation_s:
                fleet.sample_loads()
        if fleet.now >= next_progress and fleet.now < phase.end:
            next_progress += PROGRESS_INTERVAL_S
            progress()
    fleet.update_running_times()
    progress()
