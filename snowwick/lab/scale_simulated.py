"""The scale run's simulated form: shipped cores on the simulated network, and what each member costs.

The fleet starts joined (``joined``): what each holds is filled in as after a finished join, through the
cores' own methods, since joining thousands takes longer than all that is measured after it.

Processor time is that of ``Node.receive``, ``tick``, ``due`` and ``write`` alone, by the process's processor
clock around each call; the network, sockets and the rest of a program are not in it.  What a program spends
on *reading* the registers four times a second is measured apart on sampled members (``heed_core``).  The
collector of reference cycles is off while a fleet plays, since one pass would be over all members' objects.
Memory is the growth of the process's resident bytes from before the fleet is made until the end of the
steady phase, over the members: their state without an interpreter, sockets or the program.

No member is ever late in it: one that would take more than a core, or whose socket would overflow, is not
slowed down here.  ``core`` near 1 means that a real one could not keep up.

Ages and sums of loads are looked at once a second, on ``LOOKERS`` members and ``OWNERS`` owners that are
drawn by the seed; all else is counted on all members.
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

LOOKERS, OWNERS = 8, 32  # members whose view of loads is looked at, and owners that they are asked for
LOOK = 0.1  # s between looks at those that start
REFERENCES = 100  # reference frames timed each second of the run: a machine's changing pace is then in both
TOLD = 5.0  # s between lines of progress and partial rows
LONGEST = 36_000_000  # tenths of a ms that a histogram holds: an hour
# What a run takes, measured with the default loads: bytes of a process, a member, a member that one knows
PROCESS, MEMBER, KNOWN = 60e6, 150e3, 4.5e3
# s until a run begins; s a simulated s and member, and for each that it knows; the part of that when idle;
# s for each pair that is joined
BEGINS, EACH, EACH_KNOWN, IDLE, JOINS = 1.0, 4e-3, 4.5e-4, 0.2, 8e-5


# -- pure parts ----------------------------------------------------------------------------------------------


class Times:
    """A histogram of times in s, to three digits, from 0.1 ms to an hour."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(1, LONGEST, 3)

    def add(self, seconds: float) -> None:
        self.histogram.record_value(min(LONGEST, max(0, round(1e4 * seconds))))

    def with_more(self, more: Iterable[float]) -> Times:
        """A copy with further times."""
        copy = Times()
        copy.histogram.add(self.histogram)
        for one in more:
            copy.add(one)
        return copy

    def at(self, percentile: float) -> float | None:
        """s; None where there is nothing."""
        if not self.histogram.get_total_count():
            return None
        return cast(float, self.histogram.get_value_at_percentile(percentile)) / 1e4


@dataclass(slots=True)
class Deaths:
    """Who was said dead, each start and incarnation of a member once.

    A death that is true when it is first said stays so for that incarnation: it spreads on after the cut that
    made it has healed, and is refuted under the next one.
    """

    true: set[tuple[str, int, int]] = field(default_factory=set)
    false: dict[tuple[str, int, int], float] = field(default_factory=dict)  # and when it was said first

    def said(self, member: wire.Member, true: bool, now: float) -> None:
        key = member.name, member.boot, member.incarnation
        if true:
            self.true.add(key)
        elif key not in self.true:
            self.false.setdefault(key, now)


def longest_suspicion(members: int, period: float) -> float:
    """s that a suspicion stands at most, in a fleet of so many."""
    return max(
        MIN_SUSPICION_S,
        MAX_SUSPICION_FACTOR * SUSPICION_FACTOR * max(1.0, math.log10(max(1, members))) * period,
    )


@dataclass(slots=True)
class Meter:
    """What one member has used in a phase; ``ran`` are the s in which it ran."""

    core: float = 0.0
    bytes_in: int = 0
    bytes_out: int = 0
    datagrams_in: int = 0
    datagrams_out: int = 0
    shed: int = 0
    ran: float = 0.0


@dataclass(slots=True)
class Spreading:
    """A change of configuration under way."""

    writer: str
    key: tuple[int, str]
    number: tuple[int, int]  # epoch, seq
    at: float
    log: Log
    waiting: set[str]
    last: float  # when the last one got it


@dataclass(slots=True)
class Starting:
    """A member that catches up; ``lacking`` is what the others had written when it started."""

    name: str
    at: float
    lacking: dict[str, tuple[int, int]]
    log: Log
    took: float | None = None
    bytes: int = 0
    said: float | None = None  # until the program's own word


@dataclass(slots=True)
class Log:
    """One phase's measures, as they come."""

    name: str
    start: float
    end: float = 0.0
    meters: dict[str, Meter] = field(default_factory=dict)
    everywhere: Times = field(default_factory=Times)
    changes: int = 0
    age: Times = field(default_factory=Times)
    late: Times = field(default_factory=Times)
    errors: list[float] = field(default_factory=list)
    references: list[float] = field(default_factory=list)  # s of processor a reference frame
    heed: list[float] = field(default_factory=list)
    healed: float | None = None
    ends: float = 0.0  # when the phase's fault ended

    def meter(self, name: str) -> Meter:
        one = self.meters.get(name)
        if one is None:
            one = self.meters[name] = Meter()
        return one


# -- a fleet that has joined ---------------------------------------------------------------------------------


def joined(net: Network) -> None:
    """Let all members know each other and hold each other's registers as after a finished join.

    Each meets each (``Membership.record_contact``) and takes its registers as one piece
    (``Store.merge_batch``), decoded anew so that copies take the memory that they would; nothing is left to
    pass on.  To be called before the network has run; registers that the members have written by then are
    the fleet's.
    """
    machines = list(net.machines.values())
    for one in machines:
        me, own = one.node.members.local, one.node.store.owners[one.name]
        person = msgspec.msgpack.encode(me.member())
        entries = msgspec.msgpack.encode([held.entry for held in own.entries.values()])
        row = msgspec.msgpack.encode(own.summary(one.name))
        for other in machines:
            if other is one:
                continue
            node = other.node
            said = msgspec.msgpack.decode(person, type=wire.Member)
            node.members.record_contact(said.name, said.address, said.incarnation, said.boot, net.now)
            whole = msgspec.msgpack.decode(row, type=wire.OwnerSummary)
            pieces = msgspec.msgpack.decode(entries, type=list[wire.Entry])
            for entry in pieces:
                node.clock.observe(entry.timestamp, node.wall_ms())
            node.store.merge_batch(whole, 0, whole.complete_seq, pieces, net.now)
    for one in machines:
        one.node.members.gossip_queue.clear()
        one.node.members.changes.clear()
        one.node.store.gossip_queue.clear()


# -- the fleet that is measured ------------------------------------------------------------------------------


class Played(Network):
    """The simulated network with zones and regions, a meter on each member, and eyes on what spreads."""

    def __init__(self, workload: Workload) -> None:
        self.w = workload
        super().__init__(
            workload.members, workload.seed, workload.period, LinkFaults(loss_probability=workload.loss)
        )
        self.log = Log("", 0.0)
        self.ran_since = dict.fromkeys(self.machines, 0.0)  # of those that run
        self.spreading: list[Spreading] = []
        self.in_cut: list[Spreading] = []  # written in the cut: to be everywhere after it
        self.starting: list[Starting] = []
        self.deaths = Deaths()
        self.late = longest_suspicion(workload.members, workload.period)
        self.was_cut: Callable[[str, str], bool] = lambda one, other: False
        self.healed_at = -math.inf
        self.stops: dict[str, tuple[float, float]] = {}
        self.region = {name: workload.region_of(n) for n, name in enumerate(self.machines)}
        chance = random.Random(workload.seed)
        names = list(self.machines)
        self.lookers = chance.sample(names, min(LOOKERS, len(names)))
        # (owner, chunk): (epoch, seq, when it was written), of the owners that are looked for
        self.writes: dict[tuple[str, int], list[tuple[int, int, float]]] = {
            (name, chunk): []
            for name in chance.sample(names, min(OWNERS, len(names)))
            for chunk in range(registers.LOAD_CHUNKS)
        }
        self.totals: dict[str, dict[int, int]] = {name: {} for name in names}  # the truth, by chunk

    # -- carrying --

    def _handle_event(self, name: str, data: bytes | None) -> None:
        machine = self.machines[name]
        if machine.killed or machine.receive_queue or self.now < machine.paused_until:
            super()._handle_event(name, data)
            return
        node, meter = machine.node, self.log.meter(name)
        if data is not None:
            meter.datagrams_in += 1
            meter.bytes_in += len(data)
            began = time.process_time()
            node.receive(data, self.now)
            meter.core += time.process_time() - began
            if self.spreading:
                self._reached(name, machine)
        else:
            shed = node.counts.shed
            began = time.process_time()
            node.tick(self.now)
            due = node.next_due()
            meter.core += time.process_time() - began
            meter.shed += node.counts.shed - shed
            self._push(max(due, self.now + 0.001), name, None)
        self.send_outbox(machine)

    def send_outbox(self, machine: Machine) -> None:
        meter, chance, here = self.log.meter(machine.name), self.rng.random, self.region[machine.name]
        least, spread = 0.1 * self.w.delay_s, 0.9 * self.w.delay_s
        for to, datagram in machine.node.take_datagrams():
            meter.datagrams_out += 1
            meter.bytes_out += len(datagram)
            if (
                to not in self.machines
                or chance() < self.faults.loss_probability
                or self.is_cut(machine.name, to)
            ):
                continue
            far = self.w.region_delay_s if self.region[to] != here else 0.0
            self._push(self.now + least + spread * chance() + far, to, datagram)
        for news in machine.node.take_events():
            if isinstance(news, MemberChange) and news.member.state == DEAD:
                self.deaths.said(news.member, self.is_true(news.member, machine.name), self.now)
            elif isinstance(news, CaughtUp):
                for one in self.starting:
                    if one.name == machine.name and one.said is None:
                        one.said = news.after_s

    def write(self, name: str, kind: int, key: str, value: bytes | None, left: float = 0.0) -> None:
        machine, meter = self.machines[name], self.log.meter(name)
        began = time.process_time()
        machine.node.write(kind, key, value, self.now, left)
        meter.core += time.process_time() - began
        self.send_outbox(machine)

    # -- deaths --

    def is_true(self, member: wire.Member, by: str) -> bool:
        """Was that start of the member gone, or stopped for long or cut off from who says so, or just was?"""
        machine = self.machines.get(member.name)
        if machine is None or machine.killed or machine.node.members.local.boot != member.boot:
            return True
        start, end = self.stops.get(member.name, (0.0, 0.0))
        if end - start >= MIN_SUSPICION_S and self.now < end + self.late:
            return True
        cut = self.is_cut(member.name, by) or self.is_cut(by, member.name)
        return cut or (
            self.now < self.healed_at + self.late
            and (self.was_cut(member.name, by) or self.was_cut(by, member.name))
        )

    def pause(self, name: str, seconds: float) -> None:
        super().pause(name, seconds)
        self.stops[name] = self.now, self.now + seconds

    def heal(self) -> None:
        self.was_cut, self.healed_at = self.is_cut, self.now
        super().heal()

    # -- phases --

    def turn(self, log: Log) -> None:
        """The next phase begins."""
        self.settle()
        self.log = log
        log.start = log.end = self.now

    def settle(self) -> None:
        """The meters' running time is taken up to now."""
        for name, since in self.ran_since.items():
            self.log.meter(name).ran += self.now - since
            self.ran_since[name] = self.now
        self.log.end = self.now

    # -- what happens --

    def runs(self, name: str) -> bool:
        return name in self.ran_since

    def gone(self, name: str) -> None:
        """The member's machine is gone."""
        if not self.runs(name):
            return
        self.kill(name)
        self.log.meter(name).ran += self.now - self.ran_since.pop(name)
        for one in self.spreading:
            one.waiting.discard(name)
        self.starting = [one for one in self.starting if one.name != name or one.took is not None]
        for row in self.starting:
            row.lacking.pop(name, None)
        # What went with its writer need not get anywhere.
        for one in [one for one in self.spreading if one.writer == name]:
            self.spreading.remove(one)
            one.log.changes -= 1
        self.in_cut = [one for one in self.in_cut if one.writer != name]
        self._over()

    def comes(self, name: str) -> None:
        """It starts anew, with nothing; what it writes first is what it always writes."""
        if self.runs(name):
            return
        lacking = {
            other: (owner.epoch, owner.complete_seq)
            for other in self.ran_since
            for owner in (self.machines[other].node.store.owners[other],)
            if not self.is_cut(name, other)
        }
        # The dead core goes now, as the collector is off: its handlers are bound to itself.
        self.machines[name].node.handlers.clear()
        self.start_machine(name)
        self.ran_since[name] = self.now
        self.starting.append(Starting(name, self.now, lacking, self.log))
        self.first_words(name)

    def first_words(self, name: str) -> None:
        """The registers that a member has before anything happens."""
        self.write(name, registers.REVISION, "0000", registers.pack(registers.Revision(name.ljust(64))))
        for chunk in range(registers.LOAD_CHUNKS):
            self.load(int(name[1:]), chunk)

    def load(self, member: int, chunk: int) -> None:
        name = f"m{member}"
        counts = load_value(self.w, member, chunk, self.now)
        self.write(name, registers.LOAD, str(chunk), registers.pack(counts))
        self.totals[name][chunk] = sum(counts.values())
        history = self.writes.get((name, chunk))
        if history is not None:
            own = self.machines[name].node.store.owners[name]
            history.append((own.epoch, own.complete_seq, self.now))

    def change(self, member: int, number: int) -> None:
        """By that member, or the next one that runs."""
        names = [f"m{(member + n) % self.w.members}" for n in range(self.w.members)]
        writer = next((name for name in names if self.runs(name)), None)
        if writer is None:
            return
        key = change_key(self.w, number)
        self.write(writer, registers.REVISION, key, change_value(self.w, number))
        own = self.machines[writer].node.store.owners[writer]
        waiting = {name for name in self.ran_since if name != writer and not self.is_cut(writer, name)}
        one = Spreading(
            writer,
            (registers.REVISION, key),
            (own.epoch, own.complete_seq),
            self.now,
            self.log,
            waiting,
            self.now,
        )
        self.log.changes += 1
        self.spreading.append(one)
        if any(self.is_cut(writer, name) for name in self.ran_since):
            self.in_cut.append(one)
        self._over()

    def happen(self, event: Event) -> None:
        name = f"m{event.member}"
        match event.kind:
            case EventKind.LOAD if self.runs(name):
                self.load(event.member, event.number)
            case EventKind.CHANGE:
                self.change(event.member, event.number)
            case EventKind.VERDICT if self.runs(name):
                self.write(
                    name,
                    registers.HEALTH,
                    str(event.number),
                    registers.pack(registers.HANGING),
                    registers.VERDICT_LIFETIME_S,
                )
            case EventKind.VERDICT_WITHDRAWN if self.runs(name):
                self.write(name, registers.HEALTH, str(event.number), None)
            case EventKind.RIGHTS if self.runs(name) and self.runs(f"m{event.other}"):
                lender = f"m{event.other}"
                epoch = {one: self.machines[one].node.store.owners[one].epoch for one in (name, lender)}
                self.write(
                    name, registers.RIGHTS, "ask:scale", request_value(self.w, event, lender, epoch[lender])
                )
                self.write(lender, registers.RIGHTS, f"grant:{name}:scale", grant_value(event, epoch[name]))
            case EventKind.FAIL:
                self.gone(name)
            case EventKind.LEAVE if self.runs(name):
                self.machines[name].node.leave(self.now)
                self.send_outbox(self.machines[name])
                self.gone(name)
            case EventKind.START:
                self.comes(name)
            case EventKind.ZONE_LOST:
                for n in self.in_zone(event.number):
                    self.gone(n)
            case EventKind.ZONE_BACK:
                for n in self.in_zone(event.number):
                    self.comes(n)
                self.log.ends = self.now
            case EventKind.CUT:
                self.is_cut = lambda one, other: self.region[one] != self.region[other]
                for row in self.spreading:
                    row.waiting = {one for one in row.waiting if not self.is_cut(row.writer, one)}
                self._over()
            case EventKind.HEAL:
                self.heal()
                self.log.ends = self.now

    def in_zone(self, zone: int) -> list[str]:
        return [f"m{n}" for n in range(self.w.members) if self.w.zone_of(n) == zone]

    # -- looks --

    def holds(self, name: str, one: Spreading) -> bool:
        owner = self.machines[name].node.store.owners.get(one.writer)
        held = owner.entries.get(one.key) if owner is not None else None
        return held is not None and (held.entry.epoch, held.entry.seq) >= one.number

    def _reached(self, name: str, machine: Machine) -> None:
        over = False
        for one in self.spreading:
            if name in one.waiting and self.holds(name, one):
                one.waiting.discard(name)
                one.last = self.now
                over = over or not one.waiting
        if over:
            self._over()

    def _over(self) -> None:
        """Changes that are everywhere are counted."""
        for one in [one for one in self.spreading if not one.waiting]:
            one.log.everywhere.add(one.last - one.at)
            self.spreading.remove(one)

    def look_at_starts(self) -> None:
        for one in self.starting:
            if one.took is not None:
                continue
            node = self.machines[one.name].node
            for name, number in list(one.lacking.items()):
                owner = node.store.owners.get(name)
                if (
                    node.members.is_member(name)
                    and owner is not None
                    and (owner.epoch, owner.complete_seq) >= number
                ):
                    del one.lacking[name]
            if not one.lacking:
                one.took, one.bytes = self.now - one.at, node.counts.bytes_in

    def look_at_healing(self, log: Log) -> bool:
        """After a fault: do all know all that run, those that started have caught up, the changes are
        there?
        """
        if any(one.took is None for one in self.starting):
            return False
        for name in self.ran_since:
            there = {one.name for one in self.machines[name].node.members.alive()}
            if len(there) != len(self.ran_since) - 1 or not there <= self.ran_since.keys():
                return False
        self.in_cut = [
            one
            for one in self.in_cut
            if not all(name == one.writer or self.holds(name, one) for name in self.ran_since)
        ]
        if self.in_cut:
            return False
        log.healed = self.now - log.ends
        return True

    def look_at_loads(self) -> None:
        """How old and how late the loads are that the lookers hold, and how wrong their sums."""
        truth = sum(sum(self.totals[name].values()) for name in self.ran_since)
        for name in self.lookers:
            if not self.runs(name):
                continue
            node = self.machines[name].node
            for (of, chunk), history in self.writes.items():
                if (
                    of == name
                    or not history
                    or not self.runs(of)
                    or self.is_cut(of, name)
                    or not node.members.is_member(of)
                ):
                    continue
                owner = node.store.owners.get(of)
                held = owner.entries.get((registers.LOAD, str(chunk))) if owner is not None else None
                number = (held.entry.epoch, held.entry.seq, math.inf) if held is not None else (0, 0, 0.0)
                at = bisect_right(history, number)
                if at:
                    self.log.age.add(self.now - history[at - 1][2])
                # Before it started itself a member could hold nothing.
                began = node.started_at if node.started_at is not None else self.now
                self.log.late.add(self.now - max(began, history[at][2]) if at < len(history) else 0.0)
            reader = RegisterView(node.store, node.members)
            clock = time.process_time()
            seen = reader.connections_elsewhere(self.now).total()
            reader.verdicts(self.w.load_destinations, self.now)
            reader.leaving("scale", 1, self.now)
            reader.requests_and_grants(self.now)
            reader.revisions(self.now)
            self.log.heed.append((time.process_time() - clock) / SHARE_INTERVAL_S)
            seen += sum(self.totals[name].values())
            self.log.errors.append(abs(seen - truth) / max(1, truth))


# -- results -------------------------------------------------------------------------------------------------


def measures(fleet: Played, log: Log) -> PhaseMeasurements:
    """A phase's row, up to now."""
    reference = median(log.references)
    meters = [one for one in log.meters.values() if one.ran > 0.0]
    ran = max(1e-9, sum(one.ran for one in meters))
    length = max((one.ran for one in meters), default=0.0)
    long = [one for one in meters if one.ran >= 0.5 * length]

    def rate(what: str) -> float:
        return float(sum(getattr(one, what) for one in meters) / ran)

    def worst(what: str) -> float:
        return max((getattr(one, what) / one.ran for one in long), default=0.0)

    late = [fleet.now - one.at for one in fleet.spreading if one.log is log]
    everywhere = log.everywhere.with_more(late)
    starts = [one for one in fleet.starting if one.log is log]
    done = [one for one in starts if one.took is not None]
    said = [one.said for one in starts if one.said is not None]
    found = PhaseMeasurements(
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
        everywhere_p50_s=everywhere.at(50.0),
        everywhere_p99_s=everywhere.at(99.0),
        everywhere_worst_s=everywhere.at(100.0),
        changes=log.changes,
        changes_unfinished=len(late),
        false_deaths=sum(log.start <= at < log.end for at in fleet.deaths.false.values()),
        load_age_p50_s=log.age.at(50.0),
        load_age_p99_s=log.age.at(99.0),
        load_late_p50_s=log.late.at(50.0),
        load_late_p99_s=log.late.at(99.0),
        load_error=fmean(log.errors) if log.errors else None,
        heed_core=fmean(log.heed) if log.heed else None,
        shed=rate("shed"),
        start_bytes=fmean(one.bytes for one in done) if done else None,
        start_s=fmean(one.took for one in done if one.took is not None) if done else None,
        starts=len(done),
        starts_unfinished=len(starts) - len(done),
        start_said_s=fmean(said) if said else None,
    )
    if log.ends:
        found["healed_s"] = log.healed
    return found


@dataclass(slots=True)
class Run:
    """One size under way."""

    fleet: Played
    began: float  # s of this process's clock
    before: int  # resident bytes before the fleet
    logs: dict[str, Log]
    memory: float = 0.0  # bytes a member at the end of the steady phase

    def used(self) -> float:
        """Resident bytes a member by now."""
        return (resident() - self.before) / self.fleet.w.members

    def row(self) -> ResultRow:
        """The row so far; the steady phase has to have begun."""
        fleet, logs = self.fleet, self.logs
        idle = measures(fleet, logs["idle"])
        row: dict[str, object] = {
            "members": fleet.w.members,
            "played_s": fleet.now,
            "took_s": time.monotonic() - self.began,
            **measures(fleet, logs["steady"]),
            "reference_s": median(logs["steady"].references),
            "memory": self.memory or self.used(),
            "idle_bytes_out": idle["bytes_out"],
            "idle_core": idle["core"],
            "false_deaths_all": len(fleet.deaths.false),
        }
        for phase in ("burst", "zone_lost", "region_cut"):
            if phase in logs and logs[phase].meters:
                row[phase] = measures(fleet, logs[phase])
        return cast(ResultRow, row)


def estimate_bytes(w: Workload) -> int:
    """Resident bytes that a run of that size takes, the whole process."""
    return round(PROCESS + w.members * MEMBER + w.members**2 * KNOWN)


def estimate_s(w: Workload) -> float:
    """s that a run takes, by the time of a member's frames and of what is done for each member it knows."""
    played = w.idle_s * IDLE + (w.duration_s() - w.idle_s)
    return BEGINS + played * w.members * (EACH + EACH_KNOWN * w.members) + w.members**2 * JOINS


def resident() -> int:
    """Bytes of this process that are resident."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


def play(workload: Workload, say: Callable[[str], None], keep: Callable[[ResultRow], None]) -> ResultRow:
    """Play one size to its end.

    ``say`` is told how far it is, ``keep`` gets the row so far, marked ``partial``, some times from the
    steady phase on.  ``memory`` is right only in a process that has played no fleet before.
    """
    began = time.monotonic()
    order = [(one.at, n, one) for n, one in enumerate(schedule(workload))]
    logs = {phase.name: Log(phase.name, phase.start) for phase in workload.phases()}
    reference_frame_cpu_s(100, 3)
    gc.collect()
    gc.disable()
    try:
        before = resident()
        fleet = Played(workload)
        for name in fleet.machines:
            fleet.first_words(name)
        joined(fleet)
        say(f"{workload.members} members joined, {time.monotonic() - began:.1f} s")
        return _course(Run(fleet, began, before, logs), order, say, keep)
    finally:
        gc.enable()


def _course(
    run: Run,
    order: list[tuple[float, int, Event]],
    say: Callable[[str], None],
    keep: Callable[[ResultRow], None],
) -> ResultRow:
    fleet, w = run.fleet, run.fleet.w

    def progress(phase: Phase) -> None:
        fleet.settle()
        if run.logs["steady"].meters:
            row = run.row()
            row["partial"] = True
            keep(row)
        say(
            f"{w.members} members, {phase.name} {fleet.now - phase.start:.0f} of "
            f"{phase.end - phase.start:.0f} s, took {time.monotonic() - run.began:.0f} s"
        )

    heapq.heapify(order)
    for phase in w.phases():
        fleet.turn(run.logs[phase.name])
        fleet.log.references.append(reference_frame_cpu_s(REFERENCES, 1))
        _phase(fleet, order, phase, run.logs[phase.name], partial(progress, phase))
        if phase.name == "steady":
            run.memory = run.used()
    last = run.logs[w.phases()[-1].name]
    fleet.turn(Log("drain", fleet.now))
    more = [
        (one.at, n, one) for n, one in enumerate(load_events(w, w.duration_s(), w.duration_s() + w.drain_s))
    ]
    heapq.heapify(more)
    end = fleet.now + w.drain_s
    while fleet.now < end and (
        fleet.spreading
        or (last.ends and last.healed is None)
        or any(one.took is None for one in fleet.starting)
    ):
        _phase(fleet, more, Phase("drain", fleet.now, min(end, fleet.now + 0.5)), last, lambda: None)
    return run.row()


def _phase(
    fleet: Played, order: list[tuple[float, int, Event]], phase: Phase, log: Log, progress: Callable[[], None]
) -> None:
    """Play one phase: events when they are due, looks between them; ``log`` is whose healing is looked at."""
    looks, seconds, told = phase.start + LOOK, phase.start + 1.0, phase.start + TOLD
    while fleet.now < phase.end:
        fleet.run(min(order[0][0] if order else phase.end, looks, phase.end))
        while order and order[0][0] <= fleet.now and order[0][0] < phase.end:
            fleet.happen(heapq.heappop(order)[2])
        if fleet.now >= looks:
            looks += LOOK
            fleet.look_at_starts()
            if log.ends and log.healed is None:
                fleet.look_at_healing(log)
        if fleet.now >= seconds:
            seconds += 1.0
            fleet.log.references.append(reference_frame_cpu_s(REFERENCES, 1))
            # Not before each register was written anew: ages would be those of the idle phase.
            turn = registers.LOAD_CHUNKS / fleet.w.load_writes if fleet.w.load_writes else 0.0
            if fleet.now >= fleet.w.idle_s + turn:
                fleet.look_at_loads()
        if fleet.now >= told and fleet.now < phase.end:
            told += TOLD
            progress()
    fleet.settle()
    progress()
