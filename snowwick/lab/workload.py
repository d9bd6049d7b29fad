"""The scale run's workload, its course in time, the unit of processor time, and the form of the results.

Nothing here has I/O, but for ``reference_frame_cpu_s``, which reads the CPU clock.  Times are s from the
start of the run; rates are events a second.

The target is a fleet of 5,700 balancers in two regions with five zones: 26,000 changes of configuration a
day, 36 machines that fail on an ordinary day, 2,800 restarts a day.  Of these the changes are the *whole
fleet's* and stay the same whatever the size that is played, as everybody hears of each.  Failures and
restarts are *made by the members*: a fleet of N has N/5,700 of them, but at least one of each is played, so
that in a short run of a small fleet they are far more frequent than the target has them; their own times are
counted apart.  Verdicts and moved rights are assumed as the whole fleet's, loads as each member's.
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

TARGET = 5700  # balancers that the rates of failures and restarts are given for
DAY = 86_400.0  # s

Faults = Literal["none", "restarts", "all"]


class EventKind(StrEnum):
    """What happens; ``member`` is whose doing, or whom it befalls."""

    LOAD = "load"  # the member writes the load register ``number`` (0 to registers.LOAD_CHUNKS - 1)
    CHANGE = "change"  # the member writes change of configuration ``number``
    VERDICT = "verdict"  # the member finds destination ``number`` bad
    VERDICT_WITHDRAWN = "taken-back"  # and takes that back, registers.VERDICT_LIFETIME_S later
    RIGHTS = "rights"  # the member asks ``other`` for rights, which grants them
    FAIL = "fail"  # the member's machine is gone at once
    LEAVE = "leave"  # the member leaves as at a restart
    START = "start"  # the member starts anew
    ZONE_LOST = "zone-lost"  # all members of zone ``number`` are gone at once
    ZONE_BACK = "zone-back"  # and start anew
    CUT = "cut"  # the regions hear nothing of each other
    HEAL = "heal"


@dataclass(slots=True, frozen=True, order=True)
class Event:
    """One thing that happens."""

    at: float  # s
    kind: EventKind
    member: int = 0
    number: int = 0
    other: int = 0


@dataclass(slots=True, frozen=True)
class Phase:
    """A part of the run: ``idle``, ``steady``, ``burst``, ``zone_lost``, ``region_cut``; s."""

    name: str
    start: float
    end: float


def says(what: str) -> dict[str, str]:
    """What the command line says of a field."""
    return {"what": what}


@dataclass(slots=True, frozen=True)
class Workload:
    """What is played.  Figures without a target are assumptions, said with each."""

    members: int
    seconds: float = field(default=60.0, metadata=says("s of the ordinary day's part"))
    seed: int = 1
    period: float = field(default=0.2, metadata=says("s of the protocol's period, as shipped"))
    faults: Faults = field(
        default="all",
        metadata=says("restarts: with failures and restarts, all: with the zone and the cut as well"),
    )
    regions: int = field(default=2, metadata=says("target"))
    zones: int = field(
        default=5, metadata=says("target; zone z is in region z % regions, member n in zone n % zones")
    )
    idle_s: float = field(default=5.0, metadata=says("s at the start without any writing"))
    changes_per_day: float = field(
        default=26_000.0, metadata=says("target, of the whole fleet at any size: 0.30 a second")
    )
    change_bytes: int = field(
        default=200, metadata=says("assumed: bytes of a change's value, of at most 900")
    )
    change_keys: int = field(
        default=16, metadata=says("assumed: registers of a member that changes take in turn")
    )
    burst_factor: float = field(default=10.0, metadata=says("target: times the ordinary rate of changes"))
    burst_s: float = field(default=10.0, metadata=says("assumed: s that the burst lasts"))
    failures_per_day: float = field(default=36.0, metadata=says("target, of TARGET members"))
    failure_s: float = field(default=20.0, metadata=says("assumed: s until a failed machine is back"))
    restarts_per_day: float = field(
        default=2_800.0, metadata=says("target, of TARGET members: one each 31 s")
    )
    restart_s: float = field(default=2.0, metadata=says("assumed: s between leaving and starting anew"))
    load_writes: float = field(
        default=1.0, metadata=says("assumed: load registers that each member writes a second, in turn")
    )
    load_destinations: int = field(
        default=48, metadata=says("assumed: destinations a member has, over registers.LOAD_CHUNKS registers")
    )
    load_count: int = field(default=100, metadata=says("assumed: connections of a member to one destination"))
    load_wave: float = field(
        default=0.3, metadata=says("assumed: part by which all loads rise and fall together, once in wave_s")
    )
    wave_s: float = field(default=60.0, metadata=says("assumed"))
    verdicts: float = field(
        default=0.1, metadata=says("assumed: verdicts a second of the whole fleet at any size")
    )
    rights: float = field(
        default=0.1, metadata=says("assumed: moves of rights a second of the whole fleet at any size")
    )
    zone_lost_s: float = field(default=20.0, metadata=says("assumed: s that the lost zone is away"))
    zone_back_s: float = field(default=20.0, metadata=says("assumed: s watched after it is back"))
    region_cut_s: float = field(default=60.0, metadata=says("target"))
    heal_s: float = field(
        default=20.0, metadata=says("assumed: s watched after the regions hear each other again")
    )
    drain_s: float = field(
        default=15.0, metadata=says("s at most in which the last changes may still get everywhere")
    )
    loss: float = field(default=0.01, metadata=says("assumed: part of the datagrams that is lost"))
    delay_s: float = field(
        default=0.005, metadata=says("assumed: s of the longest delay within a region; the least is a tenth")
    )
    region_delay_s: float = field(default=0.03, metadata=says("assumed: s beside that between regions"))

    def zone_of(self, member: int) -> int:
        return member % self.zones

    def region_of(self, member: int) -> int:
        return self.zone_of(member) % self.regions

    def changes(self) -> float:
        """Changes of configuration a second over the whole fleet."""
        return self.changes_per_day / DAY

    def by_members(self, per_day: float) -> float:
        """Events a second of this fleet, of a rate a day that is given for ``TARGET`` members."""
        return per_day / DAY * self.members / TARGET

    def phases(self) -> list[Phase]:
        """One after the other, from 0."""
        lengths = [("idle", self.idle_s), ("steady", self.seconds), ("burst", self.burst_s)]
        if self.faults == "all":
            lengths += [
                ("zone_lost", self.zone_lost_s + self.zone_back_s),
                ("region_cut", self.region_cut_s + self.heal_s),
            ]
        found, at = list[Phase](), 0.0
        for name, length in lengths:
            found.append(Phase(name, at, at + length))
            at += length
        return found

    def length(self) -> float:
        """s of all phases, without the time to drain."""
        return self.phases()[-1].end


# -- the course ----------------------------------------------------------------------------------------------


def loads(w: Workload, start: float, end: float) -> Iterator[Event]:
    """The load registers that are written in [start, end), by time; each member at its own even pace."""
    if not w.load_writes:
        return
    pace = 1.0 / w.load_writes
    order = sorted((hash_numbers(w.seed, n) % 10_000 / 10_000.0 * pace, n) for n in range(w.members))
    turn = max(0, math.floor(start / pace) - 1)
    while turn * pace < end:
        for phase, n in order:
            at = turn * pace + phase
            if start <= at < end:
                yield Event(at, EventKind.LOAD, n, turn % registers.LOAD_CHUNKS)
        turn += 1


def _times(rng: random.Random, rate: float, start: float, end: float) -> Iterator[float]:
    """A Poisson process of that rate."""
    at = start + rng.expovariate(rate) if rate else end
    while at < end:
        yield at
        at += rng.expovariate(rate)


def schedule(w: Workload) -> list[Event]:
    """All events by time; the same for the same workload.

    Changes come evenly, at half-steps of their rate, so that a short run has as many as the rate says;
    verdicts and rights by chance; failures and restarts by chance in the first half of the steady phase, at
    least one each, so that their end is seen.  Who fails, leaves or is in the lost zone writes nothing while
    it is away: the player leaves out what it would have written.
    """
    rng = random.Random(w.seed)
    phases = {one.name: one for one in w.phases()}
    steady, burst, end = phases["steady"], phases["burst"], w.length()
    events = list(loads(w, steady.start, end))
    at, number = steady.start + 0.5 / max(w.changes(), 1e-9), 0
    while at < end:
        events.append(Event(at, EventKind.CHANGE, rng.randrange(w.members), number))
        number += 1
        rate = w.changes() * (w.burst_factor if burst.start <= at < burst.end else 1.0)
        after = at + 1.0 / max(rate, 1e-9)
        # A step that reaches into the burst is cut short where the burst begins.
        at = burst.start + (after - burst.start) / w.burst_factor if at < burst.start < after else after
    for at in _times(rng, w.verdicts, steady.start, end):
        one, bad = rng.randrange(w.members), rng.randrange(w.load_destinations)
        events += [
            Event(at, EventKind.VERDICT, one, bad),
            Event(at + registers.VERDICT_LIFETIME_S, EventKind.VERDICT_WITHDRAWN, one, bad),
        ]
    for at in _times(rng, w.rights if w.members > 1 else 0.0, steady.start, end):
        one, other = rng.sample(range(w.members), 2)
        events.append(Event(at, EventKind.RIGHTS, one, 0, other))
    if w.faults != "none" and w.members > 2:
        events += _away(w, rng, steady)
    if w.faults == "all":
        zone, cut = phases["zone_lost"], phases["region_cut"]
        lost = rng.randrange(w.zones)
        events += [
            Event(zone.start, EventKind.ZONE_LOST, 0, lost),
            Event(zone.start + w.zone_lost_s, EventKind.ZONE_BACK, 0, lost),
            Event(cut.start, EventKind.CUT),
            Event(cut.start + w.region_cut_s, EventKind.HEAL),
        ]
    return sorted((one for one in events if one.at < end), key=lambda one: one.at)


def _away(w: Workload, rng: random.Random, steady: Phase) -> list[Event]:
    """Failures and restarts, of different members, at most a third of them."""
    half = steady.start + 0.5 * (steady.end - steady.start)
    events, free = list[Event](), rng.sample(range(w.members), max(2, w.members // 3))
    for kind, rate, away in (
        (EventKind.FAIL, w.by_members(w.failures_per_day), w.failure_s),
        (EventKind.LEAVE, w.by_members(w.restarts_per_day), w.restart_s),
    ):
        times = list(
            _times(
                rng, rate * (steady.end - steady.start) / max(half - steady.start, 1e-9), steady.start, half
            )
        ) or [rng.uniform(steady.start, half)]
        for at in times:
            if free:
                one = free.pop()
                events += [Event(at, kind, one), Event(min(at + away, steady.end), EventKind.START, one)]
    return events


# -- values --------------------------------------------------------------------------------------------------


def load_value(w: Workload, member: int, chunk: int, at: float) -> dict[int, int]:
    """A member's connections by destination, of one chunk; all members' rise and fall together, with a tenth
    of noise.
    """
    level = w.load_count * (1.0 + w.load_wave * math.sin(2.0 * math.pi * at / w.wave_s))
    noise = {
        one: hash_numbers(w.seed, member, one, int(at * 1000)) % 1000 / 1000.0
        for one in range(w.load_destinations)
        if registers.load_chunk(one) == chunk
    }
    return {one: max(0, round(level * (0.9 + 0.2 * part))) for one, part in noise.items()}


def change_value(w: Workload, number: int) -> bytes:
    """A change of configuration: a revision of about ``change_bytes`` that limits nobody."""
    return registers.pack(registers.Revision(f"{number:08}".ljust(max(8, w.change_bytes - 6), "x")))


def change_key(w: Workload, number: int) -> str:
    """The register of a change, apart from those that balancers write of their own files."""
    return f"scale{number % w.change_keys:04}"


def request_value(w: Workload, event: Event, lender: str, boot: int) -> bytes:
    """A borrower's register: it holds rights of one lender.

    The program names all members in it, so that past some 35 members it is longer than a value may be, and
    isn't told; here it stays short, for the cost of a move of rights whatever the size.
    """
    return registers.pack(
        LeaseRequest(int(event.at), 10.0, 0.0, {lender: Holding(10.0, int(event.at), boot)})
    )


def grant_value(event: Event, boot: int) -> bytes:
    """The lender's answer."""
    return registers.pack(Grant(boot, int(event.at), 10.0, 10.0))


# -- the unit of processor time ------------------------------------------------------------------------------

KEY = b"r" * 32


def reference_frame(seq: int = 1) -> wire.Frame:
    """A frame that is as full as frames get (``wire.MAX_FRAME_BYTES``), with load registers as a fleet's
    frames have.
    """
    w = Workload(TARGET)
    frame = wire.Frame("m1", "10.0.0.1:7000", 1, 7, seq, "m2", 9, wire.Gossip())
    for n in range(1000):
        value = registers.pack(load_value(w, n, n % registers.LOAD_CHUNKS, 0.0))
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
    """s of processor for one full frame: digest and decode, the gate's check, encode and digest.

    The median of some rounds of ``frames`` frames each; a frame is some 1,400 bytes.
    """
    taken = []
    for _ in range(rounds):
        gate = wire.ReplayFilter("m2", 9)
        datagram = wire.seal(reference_frame(), KEY)
        began = time.process_time()
        for seq in range(1, frames + 1):
            frame = wire.unseal(datagram, [KEY])
            frame.seq = seq  # the number that its sender would have given it
            gate.check(frame)
            datagram = wire.seal(frame, KEY)
        taken.append((time.process_time() - began) / frames)
    return sorted(taken)[rounds // 2]


# -- results -------------------------------------------------------------------------------------------------


class Worst(TypedDict):
    """The member that had most of each."""

    bytes_out: float
    bytes_in: float
    datagrams_out: float
    datagrams_in: float
    core: float
    reference: float


class Measures(TypedDict):
    """What one phase showed; by member and second where not said otherwise.

    ``core`` is the part of a core that a member takes, ``reference`` how many reference frames a second the
    same time would do.  Times in s; percentiles by HdrHistogram, to three digits.  ``load_error`` is the mean
    of the relative error of the sum of all loads that members see.  ``start_bytes`` and ``start_s`` are the
    means of those that started in the phase: bytes received, and s until one knew all that ran when it
    started and held all that they had written by then.  None where nothing was measured.
    """

    bytes_out: float
    bytes_in: float
    datagrams_out: float
    datagrams_in: float
    core: float
    reference: float
    worst: Worst
    everywhere_p50_s: float | None
    everywhere_p99_s: float | None
    everywhere_worst_s: float | None
    changes: int  # that were written, and whose writers stayed
    changes_unfinished: int  # of these, not everywhere at the end: counted with the time until then
    false_deaths: int
    load_age_p50_s: float | None  # since the load that is held was written
    load_age_p99_s: float | None
    load_late_p50_s: float | None  # since the first load was written that is not held yet; 0 where none is
    load_late_p99_s: float | None
    load_error: float | None
    heed_core: (
        float | None
    )  # beside ``core``: reading all registers each SHARE_INTERVAL_S, as the program does
    shed: float
    start_bytes: float | None
    start_s: float | None
    starts: int  # that had caught up
    starts_unfinished: int
    start_said_s: float | None  # until the program's own word for it, fleet-caught-up
    # From the end of the fault until all know who is there and have the changes that were written in it
    healed_s: NotRequired[float | None]


class Row(Measures):
    """One size; what is not in ``burst``, ``zone_lost`` or ``region_cut`` is the steady phase's.

    ``played_s`` are the simulated s, ``took_s`` those it took; ``memory`` is bytes of a member's state.
    """

    members: int
    played_s: float
    took_s: float
    reference_s: float
    memory: float
    idle_bytes_out: float
    idle_core: float
    false_deaths_all: int  # of all phases and the time to drain
    partial: NotRequired[bool]  # the run was ended before its last phase, or goes on
    burst: NotRequired[Measures]
    zone_lost: NotRequired[Measures]
    region_cut: NotRequired[Measures]


class Host(TypedDict):
    """Where it ran."""

    cores: int
    memory_bytes: int
    python: str


class Result(TypedDict):
    """The JSON file; rewritten as each row is there, ``complete`` once all are."""

    form: Literal["simulated", "real"]
    command: str
    date: str
    machine: Host
    workload: dict[str, object]
    rows: list[Row]
    complete: bool
    ended: str


class RunRefused(Exception):
    """The run would not fit; the message says in one line what would."""
