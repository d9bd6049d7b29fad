"""The workload of the scale run: parameters, schedule of events, reference frame and structure of results.

Processor time is reported as a fraction of a core and in reference frames.

Nothing here does I/O, apart from ``reference_frame_cpu_s``, which reads the CPU clock.  Times are in seconds
from the start of the run; rates are events a second.

The target is a fleet of 5,700 balancers in two regions with five zones, with 26,000 configuration changes, 36
failed machines and 2,800 restarts on an ordinary day.  The rate of configuration changes is that of the
*whole fleet* and is the same for every simulated size, since each change propagates to all members.  Failures
and restarts are *proportional to the number of members*: a fleet of N has N/5,700 of them, but at least one
of each is simulated.  In a short run of a small fleet they are therefore far more frequent than in the
target, and their measurements are reported separately.  The rates of verdicts and of lease grants are assumed
for the whole fleet, that of load updates for each member.
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal, NotRequired, TypedDict

from snowwick.fleet import registers, wire
from snowwick.fleet.rights import Grant, Holding, LeaseRequest
from snowwick.fleet.store import hash_numbers

TARGET_MEMBERS = 5700  # the fleet size that the rates of failures and restarts refer to
DAY_S = 86_400.0

FaultSet = Literal["none", "restarts", "all"]


class EventKind(StrEnum):
    """The kind of an event; ``member``, ``number`` and ``other`` are the fields of ``Event``."""

    LOAD = "load"  # the member writes its load register ``number`` (0 to registers.LOAD_CHUNKS - 1)
    CHANGE = "change"  # the member writes configuration change ``number``
    VERDICT = "verdict"  # the member marks destination ``number`` as unhealthy
    VERDICT_WITHDRAWN = "taken-back"  # the member withdraws the verdict after registers.VERDICT_LIFETIME_S
    RIGHTS = "rights"  # the member requests a lease from ``other``, which grants it
    FAIL = "fail"  # the member's machine fails without notice
    LEAVE = "leave"  # the member leaves the fleet, as at a restart
    START = "start"  # the member restarts
    ZONE_LOST = "zone-lost"  # all members of zone ``number`` fail at the same time
    ZONE_BACK = "zone-back"  # all members of zone ``number`` restart
    CUT = "cut"  # a network partition separates the regions
    HEAL = "heal"  # the partition ends


@dataclass(slots=True, frozen=True, order=True)
class Event:
    """An event of the schedule."""

    at: float  # seconds from the start of the run
    kind: EventKind
    member: int = 0
    number: int = 0  # of a register, change, destination or zone, depending on the kind
    other: int = 0  # the lender of a lease


@dataclass(slots=True, frozen=True)
class Phase:
    """A phase of the run: ``idle``, ``steady``, ``burst``, ``zone_lost`` or ``region_cut``."""

    name: str
    start: float  # seconds from the start of the run
    end: float  # seconds from the start of the run


def help_text(text: str) -> dict[str, str]:
    """Field metadata with the help text of the field's command-line flag."""
    return {"help": text}


@dataclass(slots=True, frozen=True)
class Workload:
    """The parameters of a run.  Each help text says whether the default is a target or assumed."""

    members: int
    seconds: float = field(default=60.0, metadata=help_text("duration in s of the steady phase"))
    seed: int = 1
    period: float = field(
        default=0.2, metadata=help_text("protocol period in s; the default is that of the program")
    )
    faults: FaultSet = field(
        default="all",
        metadata=help_text(
            "restarts: failures and restarts of single members; all: also a lost zone and the region cut"
        ),
    )
    regions: int = field(default=2, metadata=help_text("target: regions"))
    zones: int = field(
        default=5,
        metadata=help_text("target: zones; zone z is in region z % regions, member n is in zone n % zones"),
    )
    idle_s: float = field(
        default=5.0, metadata=help_text("duration in s of the idle phase at the start, without any writes")
    )
    changes_per_day: float = field(
        default=26_000.0,
        metadata=help_text("target: configuration changes of the whole fleet at any size, 0.30 a second"),
    )
    change_bytes: int = field(
        default=200, metadata=help_text("assumed: size of a change's value in bytes, at most 900")
    )
    change_keys: int = field(
        default=16,
        metadata=help_text("assumed: registers of a member that changes are written to in rotation"),
    )
    burst_factor: float = field(
        default=10.0,
        metadata=help_text("target: rate of changes in the burst as a multiple of the ordinary rate"),
    )
    burst_s: float = field(default=10.0, metadata=help_text("assumed: duration in s of the burst"))
    failures_per_day: float = field(
        default=36.0, metadata=help_text("target: failures a day in a fleet of 5,700")
    )
    failure_s: float = field(default=20.0, metadata=help_text("assumed: s until a failed machine restarts"))
    restarts_per_day: float = field(
        default=2_800.0, metadata=help_text("target: restarts a day in a fleet of 5,700, one every 31 s")
    )
    restart_s: float = field(default=2.0, metadata=help_text("assumed: s between leaving and starting again"))
    load_writes: float = field(
        default=1.0,
        metadata=help_text("assumed: load registers that each member writes a second, in rotation"),
    )
    load_destinations: int = field(
        default=48,
        metadata=help_text("assumed: destinations of a member, spread over registers.LOAD_CHUNKS registers"),
    )
    load_count: int = field(
        default=100, metadata=help_text("assumed: mean connections of a member to one destination")
    )
    load_wave: float = field(
        default=0.3,
        metadata=help_text(
            "assumed: amplitude of the sine wave that all loads follow together, as a fraction of load_count"
        ),
    )
    wave_s: float = field(default=60.0, metadata=help_text("assumed: period in s of the sine wave"))
    verdicts: float = field(
        default=0.1, metadata=help_text("assumed: verdicts a second of the whole fleet at any size")
    )
    rights: float = field(
        default=0.1, metadata=help_text("assumed: lease grants a second of the whole fleet at any size")
    )
    zone_lost_s: float = field(default=20.0, metadata=help_text("assumed: s until the lost zone restarts"))
    zone_back_s: float = field(
        default=20.0, metadata=help_text("assumed: s measured after the zone has restarted")
    )
    region_cut_s: float = field(default=60.0, metadata=help_text("target: duration in s of the region cut"))
    heal_s: float = field(
        default=20.0, metadata=help_text("assumed: s measured after the region cut has ended")
    )
    drain_s: float = field(
        default=15.0,
        metadata=help_text(
            "longest time in s for the last changes to propagate to all members after the last phase"
        ),
    )
    loss: float = field(default=0.01, metadata=help_text("assumed: fraction of the datagrams that is lost"))
    delay_s: float = field(
        default=0.005,
        metadata=help_text("assumed: longest delay in s within a region; the shortest is a tenth of it"),
    )
    region_delay_s: float = field(
        default=0.03, metadata=help_text("assumed: additional delay in s between regions")
    )

    def zone_of(self, member: int) -> int:
        return member % self.zones

    def region_of(self, member: int) -> int:
        return self.zone_of(member) % self.regions

    def changes_per_s(self) -> float:
        """Configuration changes a second of the whole fleet."""
        return self.changes_per_day / DAY_S

    def fleet_rate_per_s(self, per_day: float) -> float:
        """Events a second of this fleet, from a rate a day for ``TARGET_MEMBERS`` members."""
        return per_day / DAY_S * self.members / TARGET_MEMBERS

    def phases(self) -> list[Phase]:
        """The phases in order; the first starts at 0."""
        lengths = [("idle", self.idle_s), ("steady", self.seconds), ("burst", self.burst_s)]
        if self.faults == "all":
            lengths += [
                ("zone_lost", self.zone_lost_s + self.zone_back_s),
                ("region_cut", self.region_cut_s + self.heal_s),
            ]
        phase_list = list[Phase]()
        start = 0.0
        for name, length in lengths:
            phase_list.append(Phase(name, start, start + length))
            start += length
        return phase_list

    def duration_s(self) -> float:
        """Duration of all phases in seconds, without the drain."""
        return self.phases()[-1].end


# -- the schedule --------------------------------------------------------------------------------------------


def load_events(workload: Workload, start: float, end: float) -> Iterator[Event]:
    """The writes of load registers in [start, end) by time; each member writes at a constant rate."""
    if not workload.load_writes:
        return
    interval_s = 1.0 / workload.load_writes
    offsets = sorted(
        (hash_numbers(workload.seed, member) % 10_000 / 10_000.0 * interval_s, member)
        for member in range(workload.members)
    )
    write_number = max(0, math.floor(start / interval_s) - 1)
    while write_number * interval_s < end:
        for offset, member in offsets:
            at = write_number * interval_s + offset
            if start <= at < end:
                yield Event(at, EventKind.LOAD, member, write_number % registers.LOAD_CHUNKS)
        write_number += 1


def _poisson_times(rng: random.Random, rate: float, start: float, end: float) -> Iterator[float]:
    """The times in [start, end) of a Poisson process with a rate in events a second."""
    at = start + rng.expovariate(rate) if rate else end
    while at < end:
        yield at
        at += rng.expovariate(rate)


def schedule(workload: Workload) -> list[Event]:
    """All events of a run by time; equal workloads have equal schedules.

    Changes are evenly spaced, and the first is half an interval after the start of the steady phase, so that
    a short run has as many as the rate asks for.  Verdicts and lease grants are Poisson processes.  Failures
    and restarts are Poisson processes over the first half of the steady phase, with at least one of each, so
    that the recovery is within the phase.  Events of members that are down are in the schedule as well; the
    simulation skips them.
    """
    rng = random.Random(workload.seed)
    phases = {phase.name: phase for phase in workload.phases()}
    steady, burst, end = phases["steady"], phases["burst"], workload.duration_s()
    events = list(load_events(workload, steady.start, end))
    at, number = steady.start + 0.5 / max(workload.changes_per_s(), 1e-9), 0
    while at < end:
        events.append(Event(at, EventKind.CHANGE, rng.randrange(workload.members), number))
        number += 1
        rate = workload.changes_per_s() * (workload.burst_factor if burst.start <= at < burst.end else 1.0)
        next_at = at + 1.0 / max(rate, 1e-9)
        # The part of an interval that is within the burst is shortened by the burst factor.
        at = (
            burst.start + (next_at - burst.start) / workload.burst_factor
            if at < burst.start < next_at
            else next_at
        )
    for at in _poisson_times(rng, workload.verdicts, steady.start, end):
        member, destination = rng.randrange(workload.members), rng.randrange(workload.load_destinations)
        events += [
            Event(at, EventKind.VERDICT, member, destination),
            Event(at + registers.VERDICT_LIFETIME_S, EventKind.VERDICT_WITHDRAWN, member, destination),
        ]
    for at in _poisson_times(rng, workload.rights if workload.members > 1 else 0.0, steady.start, end):
        member, lender = rng.sample(range(workload.members), 2)
        events.append(Event(at, EventKind.RIGHTS, member, 0, lender))
    if workload.faults != "none" and workload.members > 2:
        events += _absence_events(workload, rng, steady)
    if workload.faults == "all":
        zone_lost = phases["zone_lost"]
        region_cut = phases["region_cut"]
        lost_zone = rng.randrange(workload.zones)
        events += [
            Event(zone_lost.start, EventKind.ZONE_LOST, 0, lost_zone),
            Event(zone_lost.start + workload.zone_lost_s, EventKind.ZONE_BACK, 0, lost_zone),
            Event(region_cut.start, EventKind.CUT),
            Event(region_cut.start + workload.region_cut_s, EventKind.HEAL),
        ]
    return sorted((event for event in events if event.at < end), key=lambda event: event.at)


def _absence_events(workload: Workload, rng: random.Random, steady: Phase) -> list[Event]:
    """Failures and restarts of distinct members, at most a third of the fleet or two members."""
    half = steady.start + 0.5 * (steady.end - steady.start)
    events, candidates = list[Event](), rng.sample(range(workload.members), max(2, workload.members // 3))
    for kind, rate, absence_s in (
        (EventKind.FAIL, workload.fleet_rate_per_s(workload.failures_per_day), workload.failure_s),
        (EventKind.LEAVE, workload.fleet_rate_per_s(workload.restarts_per_day), workload.restart_s),
    ):
        times = list(
            _poisson_times(
                rng, rate * (steady.end - steady.start) / max(half - steady.start, 1e-9), steady.start, half
            )
        ) or [rng.uniform(steady.start, half)]
        for at in times:
            if candidates:
                member = candidates.pop()
                events += [
                    Event(at, kind, member),
                    Event(min(at + absence_s, steady.end), EventKind.START, member),
                ]
    return events


# -- values --------------------------------------------------------------------------------------------------


def load_value(workload: Workload, member: int, chunk: int, at: float) -> dict[int, int]:
    """A member's connection counts by destination for one chunk, at a time in seconds.

    The counts of all members follow the same sine wave, with a tenth of noise.
    """
    level = workload.load_count * (1.0 + workload.load_wave * math.sin(2.0 * math.pi * at / workload.wave_s))
    noise = {
        destination: hash_numbers(workload.seed, member, destination, int(at * 1000)) % 1000 / 1000.0
        for destination in range(workload.load_destinations)
        if registers.load_chunk(destination) == chunk
    }
    return {
        destination: max(0, round(level * (0.9 + 0.2 * fraction))) for destination, fraction in noise.items()
    }


def change_value(workload: Workload, number: int) -> bytes:
    """The value of a configuration change: a revision of about ``change_bytes`` that sets no limits."""
    return registers.pack(registers.Revision(f"{number:08}".ljust(max(8, workload.change_bytes - 6), "x")))


def change_key(workload: Workload, number: int) -> str:
    """The register key of a change; distinct from those that balancers use for their own files."""
    return f"scale{number % workload.change_keys:04}"


def request_value(workload: Workload, event: Event, lender: str, epoch: int) -> bytes:
    """The value of a borrower's lease request register, which holds rights of one lender.

    The program lists all members in this register.  With more than about 35 members the list exceeds the size
    limit of a value and is not sent.  Here the value stays short, so that the cost of a lease grant does not
    depend on the size of the fleet.
    """
    return registers.pack(
        LeaseRequest(int(event.at), 10.0, 0.0, {lender: Holding(10.0, int(event.at), epoch)})
    )


def grant_value(event: Event, epoch: int) -> bytes:
    """The value of the lender's grant register."""
    return registers.pack(Grant(epoch, int(event.at), 10.0, 10.0))


# -- the reference frame -------------------------------------------------------------------------------------

REFERENCE_KEY = b"r" * 32


def reference_frame(seq: int = 1) -> wire.Frame:
    """A frame of the largest size (``wire.MAX_FRAME_BYTES``), filled with load registers like a real one."""
    workload = Workload(TARGET_MEMBERS)
    frame = wire.Frame("m1", "10.0.0.1:7000", 1, 7, seq, "m2", 9, wire.Gossip())
    for n in range(1000):
        value = registers.pack(load_value(workload, n, n % registers.LOAD_CHUNKS, 0.0))
        entry = wire.Entry(
            f"m{n}",
            1_700_000_000_000,
            100 + n,
            registers.LOAD,
            str(n % registers.LOAD_CHUNKS),
            value,
            1_700_000_000_000 << 16,
        )
        frame.entries.append(entry)
        if 1 + wire.DIGEST_BYTES + wire.encoded_size(frame) > wire.MAX_FRAME_BYTES:
            frame.entries.pop()
            break
    return frame


def reference_frame_cpu_s(frames: int = 2000, rounds: int = 5) -> float:
    """Processor time in seconds for one full frame of about 1,400 bytes.

    Covers the digest and decoding, the replay filter, encoding and the digest again.  Returns the median over
    ``rounds`` rounds of ``frames`` frames each.
    """
    seconds_per_frame = []
    for _ in range(rounds):
        replay_filter = wire.ReplayFilter("m2", 9)
        datagram = wire.seal(reference_frame(), REFERENCE_KEY)
        began = time.process_time()
        for seq in range(1, frames + 1):
            frame = wire.unseal(datagram, [REFERENCE_KEY])
            frame.seq = seq  # the sequence number that the sender would have assigned
            replay_filter.check(frame)
            datagram = wire.seal(frame, REFERENCE_KEY)
        seconds_per_frame.append((time.process_time() - began) / frames)
    return sorted(seconds_per_frame)[rounds // 2]


# -- results -------------------------------------------------------------------------------------------------


class WorstMember(TypedDict):
    """The largest value of any member, for each quantity on its own."""

    bytes_out: float
    bytes_in: float
    datagrams_out: float
    datagrams_in: float
    core: float
    reference: float


class PhaseMeasurements(TypedDict):
    """The measurements of one phase, for each member and second unless stated otherwise.

    ``core`` is the fraction of a core that a member uses, ``reference`` the number of reference frames a
    second that take the same processor time.  Times are in seconds; percentiles come from an HdrHistogram
    with three significant digits.  ``load_error`` is the mean relative error of the total load that members
    compute.  ``start_bytes`` and ``start_s`` are means over the members that started in the phase: the bytes
    received, and the time until the member listed all members that ran at its start and held all that they
    had written by then.  None where nothing was measured.
    """

    bytes_out: float
    bytes_in: float
    datagrams_out: float
    datagrams_in: float
    core: float
    reference: float
    worst: WorstMember
    everywhere_p50_s: float | None
    everywhere_p99_s: float | None
    everywhere_worst_s: float | None
    changes: int  # changes written by members that kept running
    # Changes that had not reached all members at the end of the run; their age at the end is included in the
    # percentiles above
    changes_unfinished: int
    false_deaths: int
    load_age_p50_s: float | None  # time since the load register that a member holds was written
    load_age_p99_s: float | None
    load_late_p50_s: float | None  # age of the oldest write that a member does not hold yet; 0 without one
    load_late_p99_s: float | None
    load_error: float | None
    # Not included in ``core``: reading all registers every SHARE_INTERVAL_S, as the program does
    heed_core: float | None
    shed: float
    start_bytes: float | None
    start_s: float | None
    starts: int  # members that caught up after a start
    starts_unfinished: int
    start_said_s: float | None  # time until the node's own ``CaughtUp`` event, logged as fleet-caught-up
    # Time from the end of the fault until all members list exactly the running ones and hold all changes
    # that were written during the fault
    healed_s: NotRequired[float | None]


class ResultRow(PhaseMeasurements):
    """The results for one fleet size.

    Values outside ``burst``, ``zone_lost`` and ``region_cut`` are those of the steady phase.  ``played_s``
    is the simulated time and ``took_s`` the elapsed time, in seconds; ``memory`` is the size of a member's
    state in bytes.
    """

    members: int
    played_s: float
    took_s: float
    reference_s: float
    memory: float
    idle_bytes_out: float
    idle_core: float
    false_deaths_all: int  # in all phases and the drain
    partial: NotRequired[bool]  # the run has not finished, or ended before its last phase
    burst: NotRequired[PhaseMeasurements]
    zone_lost: NotRequired[PhaseMeasurements]
    region_cut: NotRequired[PhaseMeasurements]


class HostInfo(TypedDict):
    """The machine that the run was made on."""

    cores: int
    memory_bytes: int
    python: str


class ResultFile(TypedDict):
    """The content of the JSON file, which is rewritten after each row; ``complete`` after the last row."""

    form: Literal["simulated", "real"]
    command: str
    date: str
    machine: HostInfo
    workload: dict[str, object]
    rows: list[ResultRow]
    complete: bool
    ended: str


class RunRefused(Exception):
    """The run exceeds a limit; the message names in one line what would fit."""
