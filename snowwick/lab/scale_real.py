"""The scale run's real form: real balancers as processes beside hollow members, on loopback.

What a row says, by member and second, is the mean of all members; ``of_real`` has the same of the real ones
alone.  How it is had, and how far it goes:

* Bytes and datagrams are the nodes' own counts: datagrams without headers of IP and UDP (28 bytes each).
  Those of real members come by ``fleet status``; what the question itself cost is taken off, by the size of
  its answer, to about 1 in 100.
* ``core`` of a real member is its process's time on a processor (schedstat, proc(5)) with all that it does
  for its few clients and its reading of the registers; of a hollow one, its process's over its members.
  ``reference`` is that in reference frames a second, timed here before the run.
* ``memory`` of a hollow member is the growth of its process's anonymous resident bytes since its sockets were
  there, over its members; of a real one, of its process's since it began to serve.
* A change is everywhere when all hollow members have it: writer's Unix time to the last one's, one clock.
  For real ones the same is measured on the loads that they write for their clients (``of_real``), from the
  writer's stamp, to a ms; one that is written anew before it was everywhere is left out.
* ``there_p50_s`` and ``there_worst_s`` of real members: a hollow member's change until all real ones show
  it.  They are asked in turn, so this is an upper bound; it is measured after the other figures.  Those that
  are not there in time are counted (``there_unfinished``) and in no time.
* ``start_s`` and ``start_bytes`` are of real members that were killed and started anew: from when it serves
  until it holds as many registers of each other member as one that runs held at that moment, asked each
  quarter of a second, and the bytes that had come in by then.  ``start_said_s`` is the program's own word
  (fleet-caught-up), of those that had said it soon after: it waits for a moment in which another holds just
  the same, which is rare while many write.
* ``false_deaths`` counts who was said dead by anybody although nobody had ended it, each incarnation once;
  ``of_real``, by real members, as their logs say, whose rate is bounded.  Those from before the steady phase,
  while all join, are apart (``false_deaths_joining``).
* ``worst`` is of the members by whom most is taken, of hollow ones by the mean of their process.
* ``shed`` is of hollow members alone.
* ``busiest`` is the part of a core that the busiest process of hollow members took.  Where it is near 1, or
  the machine has other work, all times say more about the machine than about the protocol.

Faults of the workload (failures, zones, cuts) and its burst are not played here.
"""

from __future__ import annotations

import base64
import json
import math
import re
import resource
import signal
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from statistics import fmean
from types import FrameType
from typing import Any

from hdrh.histogram import HdrHistogram

from snowwick.fleet.node import STATUS_PART_BYTES
from snowwick.lab.member_host import MAX_HISTOGRAM_MS, anonymous_memory_bytes
from snowwick.lab.rig import Fleet, RunFailed
from snowwick.lab.workload import RunRefused, Workload, reference_frame_cpu_s

PER_PROCESS = 25  # hollow members of a process: more, and one core carries them no more
JOINS = 5.0  # hollow members that start a second: many in one moment are a storm of their own
THERE = 15.0  # s that a change may take until the real members show it; who takes longer is unfinished
JOINED = 60.0  # s that all may take to see each other once the last has started
TAIL = 120.0  # s that the workload goes on after the measured time, while members are killed and asked
DRAIN = 10.0  # s that the last changes may take
MARKS, RESTARTS = 5, 3
ASKED, SAID = 0.25, 10.0  # s between questions, and s that the word of one that started may take
CLIENT, KEEP = 2.0, 8.0  # s between clients at a real member, and s that each stays
TOLD_OVER = 90  # bytes of a frame of a status answer beside its text
PROCESSES = 300
REAL_BYTES, PROCESS_BYTES, PAIR_BYTES, MEMBER_BYTES = 60e6, 40e6, 8e3, 0.4e6


def estimate_bytes(real: int, hollow: int) -> int:
    """Bytes of memory that a run takes at most, by trials on loopback: processes, and what members hold of
    each other.
    """
    members = real + hollow
    return int(
        real * REAL_BYTES
        + math.ceil(hollow / PER_PROCESS) * PROCESS_BYTES
        + hollow * (MEMBER_BYTES + members * PAIR_BYTES)
        + real * members * PAIR_BYTES
    )


def check(real: int, hollow: int) -> None:
    """Raises RunRefused where so many processes or descriptors are more than is allowed."""
    if real < 1 or hollow < 2:
        raise RunRefused("the real form takes --real 1 and --hollow 2 at least")
    processes = real + math.ceil(hollow / PER_PROCESS)
    if processes > PROCESSES:
        raise RunRefused(f"{processes} processes; {PROCESSES} are possible: fewer --real")
    wanted, allowed = real * (real + 30) + 200, resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if wanted > allowed:
        raise RunRefused(
            f"about {wanted} descriptors, {allowed} allowed: fewer --real, or ulimit -n {wanted}"
        )


# -- what is counted -----------------------------------------------------------------------------------------

DEAD = re.compile(r"fleet: (\S+) is dead \(incarnation (\d+)\)")  # in a balancer's log
KEYS = ("bytes_out", "bytes_in", "datagrams_out", "datagrams_in")


@dataclass(slots=True)
class Count:
    """What one process has counted since its start; s of processor and of the monotonic clock."""

    at: float
    processor: float
    passed: dict[str, float]


def processor(pid: int) -> float:
    """s that a process's only thread has run."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def count_real(fleet: Fleet, n: int) -> tuple[Count, dict[str, float], dict[str, Any]]:
    """A real member's counts, what asking for them adds to later ones, and all that it said."""
    process = fleet.balancers[n].process
    assert process is not None
    at, spent = time.monotonic(), processor(process.pid)
    status = fleet.status(n)
    size = len(json.dumps(status).encode())
    parts = math.ceil(size / STATUS_PART_BYTES)
    passed = {
        key: float(status[name])
        for key, name in zip(KEYS, ("bytes_out", "bytes_in", "frames_out", "frames_in"), strict=True)
    }
    cost = {
        "bytes_out": float(size + parts * TOLD_OVER),
        "bytes_in": float(parts * TOLD_OVER),
        "datagrams_out": float(parts),
        "datagrams_in": float(parts),
    }
    return Count(at, spent, passed), cost, status


def registers(status: dict[str, Any]) -> dict[str, int]:
    """How many registers a real member holds of each that it believes to be there."""
    return {
        row["name"]: row["entries"]
        for row in status["members"]
        if row["state"] in ("self", "alive", "suspect")
    }


def count_hollow(answer: dict[str, Any]) -> Count:
    return Count(answer["at"], answer["processor"], {key: float(answer[key]) for key in KEYS})


def rates(
    before: Count, after: Count, members: int, cost: dict[str, float] | None = None
) -> dict[str, float]:
    """By member and second."""
    seconds = after.at - before.at
    found = {
        key: (after.passed[key] - before.passed[key] - (cost or {}).get(key, 0.0)) / seconds / members
        for key in KEYS
    }
    return {**found, "core": (after.processor - before.processor) / seconds / members}


def mean(rows: list[tuple[int, dict[str, float]]]) -> dict[str, float]:
    """Of rows by member, each with how many members it is of."""
    total = sum(members for members, _ in rows)
    return {key: sum(members * row[key] for members, row in rows) / total for key in rows[0][1]}


def spread(name: str, times: list[float]) -> dict[str, float | None]:
    """p50, p99 and worst of times in s, to three digits."""
    if not times:
        return {f"{name}_p50_s": None, f"{name}_p99_s": None, f"{name}_worst_s": None}
    histogram = HdrHistogram(1, MAX_HISTOGRAM_MS * 10, 3)
    for one in times:
        histogram.record_value(max(1, round(1e4 * one)))
    return {
        f"{name}_p50_s": histogram.get_value_at_percentile(50.0) / 1e4,
        f"{name}_p99_s": histogram.get_value_at_percentile(99.0) / 1e4,
        f"{name}_worst_s": round(max(times), 4),
    }


def arrived(answers: list[dict[str, Any]]) -> dict[tuple[str, int], tuple[float, float, int]]:
    """By writer and number: the writer's and the last member's Unix time, and how many members have it."""
    found: dict[tuple[str, int], tuple[float, float, int]] = {}
    for answer in answers:
        for owner, seq, written, last, members in answer["arrivals"]:
            _, other, so_far = found.get((owner, seq), (written, 0.0, 0))
            found[owner, seq] = written, max(last, other), so_far + members
    return found


# -- the run -------------------------------------------------------------------------------------------------


@contextmanager
def ended_by_sigterm() -> Iterator[None]:
    """SIGTERM ends the run as an interrupt does, so that what was started is ended too."""

    def interrupt(number: int, frame: FrameType | None) -> None:
        raise KeyboardInterrupt

    old = signal.signal(signal.SIGTERM, interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, old)


def play(
    workload: Workload,
    real: int,
    hollow: int,
    say: Callable[[str], None],
    keep: Callable[[dict[str, Any]], None],
) -> dict[str, Any]:
    """Play so many real members beside so many hollow ones; returns the row.

    ``keep`` is given the row as far as it is there, ``partial``, after each step and when the run ends early.
    Raises RunRefused; ``snowwick.lab.rig.Failed`` where a member has ended by itself; AssertionError where
    something did not come about in time; KeyboardInterrupt.  All that was started has ended by then.
    """
    check(real, hollow)
    with tempfile.TemporaryDirectory(prefix="snowwick-scale-") as folder, ended_by_sigterm():
        run = Run(workload, real, hollow, say, keep)
        try:
            with Fleet(Path(folder), real, period_ms=1000.0 * workload.period) as fleet:
                run.play(fleet)
        except BaseException as error:
            run.row["ended"] = (
                "interrupted"
                if isinstance(error, KeyboardInterrupt)
                else (str(error) or type(error).__name__).splitlines()[0]
            )
            keep(run.row)
            say(f"ended early: {run.row['ended']}")
            raise
        return run.row


class Run:
    """One size."""

    def __init__(
        self,
        workload: Workload,
        real: int,
        hollow: int,
        say: Callable[[str], None],
        keep: Callable[[dict[str, Any]], None],
    ) -> None:
        self.workload, self.real, self.hollow = workload, real, hollow
        self.say, self.keep = say, keep
        self.members = real + hollow
        self.began = time.monotonic()
        self.row: dict[str, Any] = {"members": self.members, "real": real, "hollow": hollow, "partial": True}
        self.of_real: dict[str, Any] = {}
        self.next_clients = 0.0

    def play(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.reference = reference_frame_cpu_s()
        self.row["reference_s"] = self.reference
        self.start()
        self.measure()
        self.marks()
        self.restarts()
        del self.row["partial"]
        self.done()

    def done(self) -> None:
        """What there is so far."""
        self.row["took_s"] = round(time.monotonic() - self.began, 1)
        self.row["of_real"] = {"members": self.real, **self.of_real}
        self.keep(self.row)

    def wait(self, until: float) -> None:
        """Until a time on the monotonic clock; clients come and go meanwhile."""
        while time.monotonic() < until:
            if time.monotonic() >= self.next_clients:
                self.next_clients = time.monotonic() + CLIENT
                for n in range(self.real):
                    if not self.fleet.balancers[n].ended_on_purpose:
                        self.fleet.connect_client(n, keep_s=KEEP)
            self.fleet.check_processes()
            self.fleet.loop.run_once(0.02)

    def start(self) -> None:
        fleet, left = self.fleet, self.hollow
        while left:
            fleet.add_member_host(min(PER_PROCESS, left))
            left -= min(PER_PROCESS, left)
        self.sizes = [len(one.member_addresses) for one in fleet.member_hosts]
        self.empty = [answer["memory"] for answer in fleet.run_commands(fleet.member_hosts, "counts")]
        fleet.start()
        self.serving = [anonymous_memory_bytes(self.pid(n)) for n in range(self.real)]
        fleet.start_lightweight_members(JOINS)
        began = time.monotonic()
        self.wait(began + self.hollow / JOINS)
        until = time.monotonic() + JOINED
        while (lacking := self.lacking()) and time.monotonic() < until:
            self.wait(time.monotonic() + ASKED)
        if lacking:
            dead = sum(len(one["deaths"]) for one in fleet.run_commands(fleet.member_hosts, "counts"))
            raise RunFailed(
                f"{lacking} of {self.members} members did not see all others {JOINED:g} s after the "
                f"last had started, {dead} were said dead: too many for this machine or period"
            )
        self.row["joined_s"] = round(time.monotonic() - began, 1)
        self.say(
            f"{self.real} real and {self.hollow} hollow members see each other after {self.row['joined_s']} s"
        )
        self.done()

    def pid(self, n: int) -> int:
        process = self.fleet.balancers[n].process
        assert process is not None
        return process.pid

    def lacking(self) -> int:
        """Members that do not see all others."""
        agree = self.fleet.run_commands(self.fleet.member_hosts, "agree")
        count: int = sum(alive != self.members for one in agree for alive in one["alive"].values())
        # The real ones are asked last: each answer is many datagrams.
        return count or sum(len(seen) != self.members for seen in map(self.seen, range(self.real)))

    def seen(self, n: int) -> set[str]:
        """Whom a real member sees, itself too."""
        return {name for name, state in self.fleet.members(n).items() if state in ("self", "alive")}

    def counts(self) -> tuple[list[Count], list[Count], list[dict[str, float]], list[dict[str, Any]]]:
        """Of hollow processes, of real members, what asking these cost, and the hollow ones' full answers."""
        answers = self.fleet.run_commands(self.fleet.member_hosts, "counts")
        asked = [count_real(self.fleet, n) for n in range(self.real)]
        return (
            [count_hollow(one) for one in answers],
            [one for one, _, _ in asked],
            [cost for _, cost, _ in asked],
            answers,
        )

    def measure(self) -> None:
        """The idle and the steady phase."""
        w = replace(
            self.workload,
            members=self.members,
            faults="none",
            burst_s=0.0,
            seconds=self.workload.seconds + TAIL,
        )
        play_from = time.monotonic() + ASKED
        self.fleet.run_commands(
            self.fleet.member_hosts, "play", workload=asdict(w), first=self.real, began=play_from
        )
        self.wait(play_from)
        first = self.counts()
        self.wait(play_from + w.idle_s)
        before, since = self.counts(), time.time()
        earlier = set.union(*self.dead(before))
        self.of_real["idle_core"] = fmean(row["core"] for row in self.rates_real(first, before))
        idle = mean(self.rates_all(first, before))
        self.row |= {"idle_bytes_out": idle["bytes_out"], "idle_core": idle["core"]}
        self.wait(play_from + w.idle_s + self.workload.seconds)
        after, until = self.counts(), time.time()
        self.row |= self.figures(mean(self.rates_all(before, after)))
        self.of_real |= self.figures(mean([(1, row) for row in self.rates_real(before, after)]))
        rows = [self.figures(row) for _, row in self.rates_all(before, after)]
        self.row["worst"] = {key: max(row[key] for row in rows) for key in rows[0]}
        hollow = [rates(one, other, 1) for one, other in zip(before[0], after[0], strict=True)]
        self.row |= {
            "played_s": round(after[0][0].at - before[0][0].at, 2),
            "busiest": max(row["core"] for row in hollow),
        }
        grown = [now["memory"] - then for now, then in zip(after[3], self.empty, strict=True)]
        real_grown = [anonymous_memory_bytes(self.pid(n)) - then for n, then in enumerate(self.serving)]
        self.of_real |= {"played_s": self.row["played_s"], "memory": fmean(real_grown)}
        self.row["memory"] = (sum(grown) + sum(real_grown)) / self.members
        self.row["memory_of_hollow"] = sum(grown) / self.hollow
        by_real, found = self.dead(after)
        self.row["false_deaths"] = len((by_real | found) - earlier)
        self.row["false_deaths_joining"] = len(earlier)
        self.of_real["false_deaths"] = len(by_real - earlier)
        shed = sum(now["shed"] - then["shed"] for now, then in zip(after[3], before[3], strict=True))
        self.row["shed"] = shed / self.hollow / self.row["played_s"]
        dropped: dict[str, int] = {}
        for answer in after[3]:
            for reason, count in answer["dropped"].items():
                dropped[reason] = dropped.get(reason, 0) + count
        self.row["dropped"] = dropped
        ages = HdrHistogram(1, MAX_HISTOGRAM_MS, 3)
        for answer in after[3]:
            ages.add(HdrHistogram.decode(base64.b64decode(answer["ages"])))
        # When loads should have come is not known here: a balancer writes its own when they change.
        self.row |= {
            "load_late_p50_s": None,
            "load_late_p99_s": None,
            "load_error": None,
            "load_age_p50_s": None,
            "load_age_p99_s": None,
        }
        if ages.get_total_count():
            self.row |= {
                "load_age_p50_s": ages.get_value_at_percentile(50.0) / 1000.0,
                "load_age_p99_s": ages.get_value_at_percentile(99.0) / 1000.0,
            }
        self.everywhere(since, until)
        self.say(
            f"{self.row['bytes_out']:.0f} B/s out and {100.0 * self.row['core']:.2f} % of a core a "
            f"member; busiest hollow process {100.0 * self.row['busiest']:.0f} %, false deaths "
            f"{self.row['false_deaths']}"
        )
        self.done()

    def dead(self, counted: Any) -> tuple[set[tuple[str, str]], set[tuple[str, str]]]:
        """Who was said dead so far, and under which incarnation: by real members, and by hollow ones."""
        return (
            {said for one in self.fleet.balancers for said in DEAD.findall(one.log)},
            {(name, str(incarnation)) for answer in counted[3] for name, incarnation in answer["deaths"]},
        )

    def rates_real(self, before: Any, after: Any) -> list[dict[str, float]]:
        return [rates(before[1][n], after[1][n], 1, before[2][n]) for n in range(self.real)]

    def rates_all(self, before: Any, after: Any) -> list[tuple[int, dict[str, float]]]:
        rows = [(size, rates(before[0][at], after[0][at], size)) for at, size in enumerate(self.sizes)]
        return rows + [(1, row) for row in self.rates_real(before, after)]

    def figures(self, row: dict[str, float]) -> dict[str, float]:
        return {**row, "reference": row["core"] / self.reference}

    def everywhere(self, since: float, until: float) -> None:
        """Times of the changes that were written between two Unix times."""
        end = time.monotonic() + DRAIN
        while True:
            answers = self.fleet.run_commands(self.fleet.member_hosts, "counts")
            there = arrived(answers)
            changes = [
                (owner, seq, at)
                for answer in answers
                for owner, seq, at in answer["changes"]
                if since <= at < until
            ]
            lacking = [one for one in changes if there.get(one[:2], (0.0, 0.0, 0))[2] < self.hollow - 1]
            if not lacking or time.monotonic() >= end:
                break
            self.wait(time.monotonic() + 0.2)
        times = [(time.time() if one in lacking else there[one[:2]][1]) - one[2] for one in changes]
        self.row |= {
            **spread("everywhere", times),
            "changes": len(changes),
            "changes_unfinished": len(lacking),
        }
        names = {one.name for one in self.fleet.balancers}
        loads = [
            last - written
            for (owner, _), (written, last, members) in there.items()
            if owner in names and since <= written < until and members == self.hollow
        ]
        self.of_real |= {**spread("everywhere", loads), "changes": len(loads)}

    def marks(self) -> None:
        """Hollow members' changes, until all real ones show them."""
        times = []
        for number in range(MARKS):
            process = self.fleet.member_hosts[number % len(self.fleet.member_hosts)]
            member = list(process.member_addresses)[number % len(process.member_addresses)]
            text = f"mark-{number}"
            at = self.fleet.run_command(process, "write", member=member, key="zz", text=text)["at"]
            waiting = list(range(self.real))
            while not (there := self.shown(waiting, member, text)) and time.time() < at + THERE:
                self.wait(time.monotonic() + 0.01)
            if there:
                times.append(time.time() - at)
            self.wait(time.monotonic() + ASKED)
        found = spread("there", times)
        self.of_real |= {
            "there_p50_s": found["there_p50_s"],
            "there_worst_s": found["there_worst_s"],
            "there": len(times),
            "there_unfinished": MARKS - len(times),
        }
        self.done()

    def shown(self, waiting: list[int], member: str, text: str) -> bool:
        """Asks one of those that have not shown it yet, and the next the next time."""
        n = waiting.pop(0)
        if self.fleet.status(n)["revisions"].get(member) != text:
            waiting.append(n)
        return not waiting

    def restarts(self) -> None:
        """Real members are killed and started anew, one after another."""
        seconds, came, said = list[float](), list[float](), list[float]()
        for n in range(min(RESTARTS, self.real)):
            one = self.fleet.balancers[n]
            self.fleet.send_signal(n, signal.SIGKILL)
            self.wait(time.monotonic() + 1.0)
            self.fleet.start(n)
            began, asked, other = time.monotonic(), 0.0, (n + 1) % self.real
            wanted = registers(self.fleet.status(other))
            while time.monotonic() < began + JOINED:
                count, cost, status = count_real(self.fleet, n)
                now, held = registers(self.fleet.status(other)), registers(status)
                # What has been removed since, as a verdict that was taken back, is not waited for.
                wanted = {name: min(entries, now.get(name, 0)) for name, entries in wanted.items()}
                if all(held.get(name, 0) >= entries for name, entries in wanted.items() if name != one.name):
                    seconds.append(time.monotonic() - began)
                    came.append(count.passed["bytes_in"] - asked)
                    break
                asked += cost["bytes_in"]
                self.wait(time.monotonic() + ASKED)
            until = time.monotonic() + SAID
            while "caught up after" not in one.log and time.monotonic() < until:
                self.wait(time.monotonic() + 0.1)
            if "caught up after" in one.log:
                said.append(float(one.log.split("caught up after ")[1].split()[0]))
        found = {
            "start_s": fmean(seconds) if seconds else None,
            "starts": len(seconds),
            "start_bytes": fmean(came) if came else None,
            "start_said_s": fmean(said) if said else None,
            "starts_said": len(said),
        }
        self.row |= found
        self.of_real |= found
        self.say(
            f"{len(seconds)} of those started anew held what the others hold after "
            f"{found['start_s'] or math.nan:.2f} s and {found['start_bytes'] or math.nan:.0f} bytes in "
            f"the mean; {len(said)} said so"
        )
