"""The real form of the scale run: real balancers as processes beside lightweight members, on loopback.

Figures in a row are means over all members, for each member and second; ``of_real`` has the same figures for
the real members alone.  How they are measured, and their limits:

* Bytes and datagrams are the nodes' own counters, without the headers of IP and UDP (28 bytes a datagram).
  Those of real members come from ``fleet status``; the cost of the request itself is subtracted, to within
  about 1 in 100, by the size of its answer.
* ``core`` of a real member is its process's CPU time (schedstat, proc(5)), including its few clients and the
  use it makes of the registers; of a lightweight member it is the CPU time of its process divided by the
  process's members.  ``reference`` is the same in reference frames a second, measured here before the run.
* ``memory`` of a lightweight member is the growth of its process's anonymous resident bytes since its sockets
  were created, divided by the process's members; of a real member, that of its process since it began to
  serve.
* A change has propagated everywhere when all lightweight members hold it: from the writer's Unix time to that
  of the last member, on one clock.  For real members the same is measured on the load registers that they
  write for their clients (``of_real``), from the writer's timestamp, in whole ms; a register that is
  overwritten before it was everywhere is left out.
* ``there_p50_s`` and ``there_worst_s`` of real members are the times from a lightweight member's change until
  all real members show it.  The members are polled in turn, so these are upper bounds; they are measured
  after the other figures.  Changes that are not visible in time are counted in ``there_unfinished`` only.
* ``start_s`` and ``start_bytes`` are of real members that were killed and restarted: the time from when one
  serves until it holds as many registers of each other member as a running member held at that moment,
  polled every quarter of a second, and the bytes that it has received by then.  ``start_said_s`` is the time
  from the program's own log (fleet-caught-up), over those that logged it soon after: the program logs it at a
  moment when another member holds exactly the same registers, which is rare while many are written.
* ``false_deaths`` counts the incarnations that any member declared dead although they had not been ended;
  ``of_real`` counts those that real members logged, and the rate of their log lines is limited.  Those from
  before the steady phase, while all members join, are counted in ``false_deaths_joining``.
* ``worst`` has for each figure the highest of all members, with lightweight members at the mean of their
  process.
* ``shed`` is of lightweight members alone.
* ``busiest`` is the fraction of a core that the busiest process of lightweight members used.  If it is near
  1, or the machine has other work, all times depend more on the machine than on the protocol.

The faults of the workload (failures, zones, cuts) and its burst are left out in this form.
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

MEMBERS_PER_PROCESS = 25  # lightweight members; one core cannot run more of them
JOINS_PER_S = 5.0  # lightweight members; many joins at one moment would overload the fleet by themselves
VISIBLE_TIMEOUT_S = 15.0  # for a change to be visible at all real members; after that it is unfinished
JOIN_TIMEOUT_S = 60.0  # for all members to consider each other alive once the last one has started
EXTRA_WORKLOAD_S = 120.0  # the workload goes on this long, while members are restarted and polled
DRAIN_S = 10.0  # for the last changes to propagate
VISIBILITY_TESTS = 5
RESTART_TESTS = 3
POLL_INTERVAL_S = 0.25
CAUGHT_UP_LOG_TIMEOUT_S = 10.0  # for a restarted member to log that it has caught up
CLIENT_INTERVAL_S = 2.0  # between new clients of a real member
CLIENT_KEEP_S = 8.0  # lifetime of a client's connection
STATUS_FRAME_OVERHEAD_BYTES = 90  # of a frame of a status answer, in addition to the answer's text
MAX_PROCESSES = 300
REAL_PROCESS_BYTES = 60e6
HOST_PROCESS_BYTES = 40e6
PAIR_BYTES = 8e3  # in a member, for each other member
MEMBER_BYTES = 0.4e6  # of a lightweight member, without the others


def estimate_bytes(real: int, lightweight: int) -> int:
    """Upper estimate of the bytes of memory that a run takes, from trials on loopback.

    It covers the processes and what the members hold of each other.
    """
    members = real + lightweight
    return int(
        real * REAL_PROCESS_BYTES
        + math.ceil(lightweight / MEMBERS_PER_PROCESS) * HOST_PROCESS_BYTES
        + lightweight * (MEMBER_BYTES + members * PAIR_BYTES)
        + real * members * PAIR_BYTES
    )


def check_limits(real: int, lightweight: int) -> None:
    """Raise RunRefused if the run needs more processes or file descriptors than are allowed."""
    if real < 1 or lightweight < 2:
        raise RunRefused("the real form needs at least 1 real and 2 lightweight members: --real, --members")
    processes = real + math.ceil(lightweight / MEMBERS_PER_PROCESS)
    if processes > MAX_PROCESSES:
        raise RunRefused(f"needs {processes} processes, at most {MAX_PROCESSES} are allowed: lower --real")
    needed_files, allowed_files = real * (real + 30) + 200, resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if needed_files > allowed_files:
        raise RunRefused(
            f"needs about {needed_files} file descriptors, {allowed_files} are allowed: "
            f"lower --real or set ulimit -n {needed_files}"
        )


# -- counters ------------------------------------------------------------------------------------------------

DEATH_PATTERN = re.compile(r"fleet: (\S+) is dead \(incarnation (\d+)\)")  # in a balancer's log
TRAFFIC_KEYS = ("bytes_out", "bytes_in", "datagrams_out", "datagrams_in")


@dataclass(slots=True)
class ProcessCounts:
    """Counters of one process since its start."""

    at: float  # monotonic time
    cpu_s: float
    traffic: dict[str, float]  # by TRAFFIC_KEYS


def process_cpu_s(pid: int) -> float:
    """CPU time in s of a single-threaded process."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9


def read_real_counts(fleet: Fleet, number: int) -> tuple[ProcessCounts, dict[str, float], dict[str, Any]]:
    """A real member's counters, the traffic that this reading adds to the next one, and its fleet status."""
    process = fleet.balancers[number].process
    assert process is not None
    at, cpu_s = time.monotonic(), process_cpu_s(process.pid)
    status = fleet.status(number)
    size_bytes = len(json.dumps(status).encode())
    parts = math.ceil(size_bytes / STATUS_PART_BYTES)
    traffic = {
        key: float(status[name])
        for key, name in zip(TRAFFIC_KEYS, ("bytes_out", "bytes_in", "frames_out", "frames_in"), strict=True)
    }
    cost = {
        "bytes_out": float(size_bytes + parts * STATUS_FRAME_OVERHEAD_BYTES),
        "bytes_in": float(parts * STATUS_FRAME_OVERHEAD_BYTES),
        "datagrams_out": float(parts),
        "datagrams_in": float(parts),
    }
    return ProcessCounts(at, cpu_s, traffic), cost, status


def register_counts(status: dict[str, Any]) -> dict[str, int]:
    """How many registers a real member holds of each member that it does not consider dead or left."""
    return {
        row["name"]: row["entries"]
        for row in status["members"]
        if row["state"] in ("self", "alive", "suspect")
    }


def host_counts(answer: dict[str, Any]) -> ProcessCounts:
    """A member host's counters, from its answer to ``counts``."""
    return ProcessCounts(answer["at"], answer["processor"], {key: float(answer[key]) for key in TRAFFIC_KEYS})


def member_rates(
    before: ProcessCounts, after: ProcessCounts, members: int, cost: dict[str, float] | None = None
) -> dict[str, float]:
    """Traffic and CPU time for each member and second; ``cost`` is the traffic to be subtracted."""
    seconds = after.at - before.at
    rates = {
        key: (after.traffic[key] - before.traffic[key] - (cost or {}).get(key, 0.0)) / seconds / members
        for key in TRAFFIC_KEYS
    }
    return {**rates, "core": (after.cpu_s - before.cpu_s) / seconds / members}


def weighted_mean(rows: list[tuple[int, dict[str, float]]]) -> dict[str, float]:
    """Mean of rates by key; each row has the number of members that it is the mean of."""
    total = sum(members for members, _ in rows)
    return {key: sum(members * row[key] for members, row in rows) / total for key in rows[0][1]}


def time_percentiles(name: str, times_s: list[float]) -> dict[str, float | None]:
    """p50, p99 and maximum of times, to three digits."""
    if not times_s:
        return {f"{name}_p50_s": None, f"{name}_p99_s": None, f"{name}_worst_s": None}
    histogram = HdrHistogram(1, MAX_HISTOGRAM_MS * 10, 3)
    for time_s in times_s:
        histogram.record_value(max(1, round(1e4 * time_s)))
    return {
        f"{name}_p50_s": histogram.get_value_at_percentile(50.0) / 1e4,
        f"{name}_p99_s": histogram.get_value_at_percentile(99.0) / 1e4,
        f"{name}_worst_s": round(max(times_s), 4),
    }


def merge_arrivals(answers: list[dict[str, Any]]) -> dict[tuple[str, int], tuple[float, float, int]]:
    """The arrivals at all member hosts by the entry's owner and sequence number.

    Each has the Unix time of the write, that of the last arrival, and the number of members it arrived at.
    """
    arrivals: dict[tuple[str, int], tuple[float, float, int]] = {}
    for answer in answers:
        for owner, seq, written_at, arrived_at, members in answer["arrivals"]:
            _, earlier_arrived_at, earlier_members = arrivals.get((owner, seq), (written_at, 0.0, 0))
            arrivals[owner, seq] = (
                written_at,
                max(arrived_at, earlier_arrived_at),
                earlier_members + members,
            )
    return arrivals


# -- the run -------------------------------------------------------------------------------------------------


@contextmanager
def ended_by_sigterm() -> Iterator[None]:
    """Make SIGTERM end the run as an interrupt does, so that all processes are ended."""

    def interrupt(number: int, frame: FrameType | None) -> None:
        raise KeyboardInterrupt

    old_handler = signal.signal(signal.SIGTERM, interrupt)
    try:
        yield
    finally:
        signal.signal(signal.SIGTERM, old_handler)


def play(
    workload: Workload,
    real: int,
    lightweight: int,
    report_progress: Callable[[str], None],
    save_row: Callable[[dict[str, Any]], None],
) -> dict[str, Any]:
    """Run the workload with ``real`` real and ``lightweight`` lightweight members; returns the row.

    ``save_row`` receives the row as far as it is complete, marked ``partial``, after each step and if the run
    ends early.  Raises RunRefused; ``snowwick.lab.rig.RunFailed`` if a member exits unexpectedly or not all
    members join in time; AssertionError if another condition does not hold in time; KeyboardInterrupt.  All
    processes have ended by then.
    """
    check_limits(real, lightweight)
    with tempfile.TemporaryDirectory(prefix="snowwick-scale-") as folder, ended_by_sigterm():
        run = Run(workload, real, lightweight, report_progress, save_row)
        try:
            with Fleet(Path(folder), real, period_ms=1000.0 * workload.period) as fleet:
                run.play(fleet)
        except BaseException as error:
            run.row["ended"] = (
                "interrupted"
                if isinstance(error, KeyboardInterrupt)
                else (str(error) or type(error).__name__).splitlines()[0]
            )
            save_row(run.row)
            report_progress(f"ended early: {run.row['ended']}")
            raise
        return run.row


class Run:
    """The run of one fleet size."""

    def __init__(
        self,
        workload: Workload,
        real: int,
        lightweight: int,
        report_progress: Callable[[str], None],
        save_row: Callable[[dict[str, Any]], None],
    ) -> None:
        self.workload = workload
        self.real = real
        self.lightweight = lightweight
        self.report_progress = report_progress
        self.save_row = save_row
        self.members = real + lightweight
        self.began = time.monotonic()
        self.row: dict[str, Any] = {
            "members": self.members,
            "real": real,
            "hollow": lightweight,
            "partial": True,
        }
        self.real_row: dict[str, Any] = {}  # the figures of the real members
        self.next_clients_at = 0.0

    def play(self, fleet: Fleet) -> None:
        """Perform all steps of the run."""
        self.fleet = fleet
        self.reference_s = reference_frame_cpu_s()
        self.row["reference_s"] = self.reference_s
        self.start_members()
        self.measure_phases()
        self.measure_visibility()
        self.measure_restarts()
        del self.row["partial"]
        self.save_progress()

    def save_progress(self) -> None:
        """Save the row as far as it is complete."""
        self.row["took_s"] = round(time.monotonic() - self.began, 1)
        self.row["of_real"] = {"members": self.real, **self.real_row}
        self.save_row(self.row)

    def run_until(self, until: float) -> None:
        """Run the loop until a monotonic time, with new clients at the real members now and then."""
        while time.monotonic() < until:
            if time.monotonic() >= self.next_clients_at:
                self.next_clients_at = time.monotonic() + CLIENT_INTERVAL_S
                for n in range(self.real):
                    if not self.fleet.balancers[n].ended_on_purpose:
                        self.fleet.connect_client(n, keep_s=CLIENT_KEEP_S)
            self.fleet.check_processes()
            self.fleet.loop.run_once(0.02)

    def start_members(self) -> None:
        """Start all members and wait until each considers all others alive."""
        fleet, remaining = self.fleet, self.lightweight
        while remaining:
            fleet.add_member_host(min(MEMBERS_PER_PROCESS, remaining))
            remaining -= min(MEMBERS_PER_PROCESS, remaining)
        self.host_sizes = [len(member_host.member_addresses) for member_host in fleet.member_hosts]
        self.initial_host_bytes = [
            answer["memory"] for answer in fleet.run_commands(fleet.member_hosts, "counts")
        ]
        fleet.start()
        self.initial_real_bytes = [anonymous_memory_bytes(self.pid(n)) for n in range(self.real)]
        fleet.start_lightweight_members(JOINS_PER_S)
        began = time.monotonic()
        self.run_until(began + self.lightweight / JOINS_PER_S)
        until = time.monotonic() + JOIN_TIMEOUT_S
        while (unjoined := self.count_unjoined()) and time.monotonic() < until:
            self.run_until(time.monotonic() + POLL_INTERVAL_S)
        if unjoined:
            dead = sum(len(answer["deaths"]) for answer in fleet.run_commands(fleet.member_hosts, "counts"))
            raise RunFailed(
                f"{unjoined} of {self.members} members did not consider all others alive "
                f"{JOIN_TIMEOUT_S:g} s after the last start, {dead} were declared dead: "
                "too many members for this machine or period"
            )
        self.row["joined_s"] = round(time.monotonic() - began, 1)
        self.report_progress(
            f"{self.real} real and {self.lightweight} lightweight members have joined after "
            f"{self.row['joined_s']} s"
        )
        self.save_progress()

    def pid(self, number: int) -> int:
        """Process id of a real member."""
        process = self.fleet.balancers[number].process
        assert process is not None
        return process.pid

    def count_unjoined(self) -> int:
        """The number of members that do not consider all others alive."""
        answers = self.fleet.run_commands(self.fleet.member_hosts, "agree")
        count: int = sum(alive != self.members for answer in answers for alive in answer["alive"].values())
        # Real members are polled only after that: each of their answers takes many datagrams.
        return count or sum(len(names) != self.members for names in map(self.alive_members, range(self.real)))

    def alive_members(self, number: int) -> set[str]:
        """The members that a real member considers alive, itself included."""
        return {name for name, state in self.fleet.members(number).items() if state in ("self", "alive")}

    def counts(
        self,
    ) -> tuple[list[ProcessCounts], list[ProcessCounts], list[dict[str, float]], list[dict[str, Any]]]:
        """Counters of member hosts and of real members, the traffic of reading the latter, hosts' answers."""
        answers = self.fleet.run_commands(self.fleet.member_hosts, "counts")
        real_counts = [read_real_counts(self.fleet, n) for n in range(self.real)]
        return (
            [host_counts(answer) for answer in answers],
            [counts for counts, _, _ in real_counts],
            [cost for _, cost, _ in real_counts],
            answers,
        )

    def measure_phases(self) -> None:
        """Run and measure the idle and the steady phase."""
        workload = replace(
            self.workload,
            members=self.members,
            faults="none",
            burst_s=0.0,
            seconds=self.workload.seconds + EXTRA_WORKLOAD_S,
        )
        workload_began = time.monotonic() + POLL_INTERVAL_S
        self.fleet.run_commands(
            self.fleet.member_hosts,
            "play",
            workload=asdict(workload),
            first=self.real,
            began=workload_began,
        )
        self.run_until(workload_began)
        first = self.counts()
        self.run_until(workload_began + workload.idle_s)
        before, since = self.counts(), time.time()
        dead_while_joining = set.union(*self.declared_dead(before))
        self.real_row["idle_core"] = fmean(row["core"] for row in self.real_rates(first, before))
        idle = weighted_mean(self.all_rates(first, before))
        self.row |= {"idle_bytes_out": idle["bytes_out"], "idle_core": idle["core"]}
        self.run_until(workload_began + workload.idle_s + self.workload.seconds)
        after, until = self.counts(), time.time()
        self.row |= self.with_reference(weighted_mean(self.all_rates(before, after)))
        self.real_row |= self.with_reference(
            weighted_mean([(1, row) for row in self.real_rates(before, after)])
        )
        rows = [self.with_reference(row) for _, row in self.all_rates(before, after)]
        self.row["worst"] = {key: max(row[key] for row in rows) for key in rows[0]}
        process_rates = [
            member_rates(earlier, later, 1) for earlier, later in zip(before[0], after[0], strict=True)
        ]
        self.row |= {
            "played_s": round(after[0][0].at - before[0][0].at, 2),
            "busiest": max(row["core"] for row in process_rates),
        }
        host_growth_bytes = [
            answer["memory"] - initial
            for answer, initial in zip(after[3], self.initial_host_bytes, strict=True)
        ]
        real_growth_bytes = [
            anonymous_memory_bytes(self.pid(n)) - initial for n, initial in enumerate(self.initial_real_bytes)
        ]
        self.real_row |= {"played_s": self.row["played_s"], "memory": fmean(real_growth_bytes)}
        self.row["memory"] = (sum(host_growth_bytes) + sum(real_growth_bytes)) / self.members
        self.row["memory_of_hollow"] = sum(host_growth_bytes) / self.lightweight
        dead_by_real, dead_by_lightweight = self.declared_dead(after)
        self.row["false_deaths"] = len((dead_by_real | dead_by_lightweight) - dead_while_joining)
        self.row["false_deaths_joining"] = len(dead_while_joining)
        self.real_row["false_deaths"] = len(dead_by_real - dead_while_joining)
        shed = sum(
            later["shed"] - earlier["shed"] for later, earlier in zip(after[3], before[3], strict=True)
        )
        self.row["shed"] = shed / self.lightweight / self.row["played_s"]
        dropped: dict[str, int] = {}
        for answer in after[3]:
            for reason, count in answer["dropped"].items():
                dropped[reason] = dropped.get(reason, 0) + count
        self.row["dropped"] = dropped
        load_ages_ms = HdrHistogram(1, MAX_HISTOGRAM_MS, 3)
        for answer in after[3]:
            load_ages_ms.add(HdrHistogram.decode(base64.b64decode(answer["ages"])))
        # When a load should have arrived is unknown here: a balancer writes its loads when they change.
        self.row |= {
            "load_late_p50_s": None,
            "load_late_p99_s": None,
            "load_error": None,
            "load_age_p50_s": None,
            "load_age_p99_s": None,
        }
        if load_ages_ms.get_total_count():
            self.row |= {
                "load_age_p50_s": load_ages_ms.get_value_at_percentile(50.0) / 1000.0,
                "load_age_p99_s": load_ages_ms.get_value_at_percentile(99.0) / 1000.0,
            }
        self.measure_propagation(since, until)
        self.report_progress(
            f"{self.row['bytes_out']:.0f} B/s out and {100.0 * self.row['core']:.2f} % of a core for each "
            f"member; busiest member host {100.0 * self.row['busiest']:.0f} %, false deaths "
            f"{self.row['false_deaths']}"
        )
        self.save_progress()

    def declared_dead(self, counts: Any) -> tuple[set[tuple[str, str]], set[tuple[str, str]]]:
        """Names and incarnations declared dead so far, by real and by lightweight members."""
        return (
            {death for balancer in self.fleet.balancers for death in DEATH_PATTERN.findall(balancer.log)},
            {(name, str(incarnation)) for answer in counts[3] for name, incarnation in answer["deaths"]},
        )

    def real_rates(self, before: Any, after: Any) -> list[dict[str, float]]:
        """Rates of each real member between two results of ``counts``."""
        return [member_rates(before[1][n], after[1][n], 1, before[2][n]) for n in range(self.real)]

    def all_rates(self, before: Any, after: Any) -> list[tuple[int, dict[str, float]]]:
        """Rates of each member host and each real member, with the number of members each is the mean of."""
        rows = [
            (size, member_rates(before[0][index], after[0][index], size))
            for index, size in enumerate(self.host_sizes)
        ]
        return rows + [(1, row) for row in self.real_rates(before, after)]

    def with_reference(self, row: dict[str, float]) -> dict[str, float]:
        """The rates, with CPU time also in reference frames a second."""
        return {**row, "reference": row["core"] / self.reference_s}

    def measure_propagation(self, since: float, until: float) -> None:
        """Measure the propagation times of the changes written between two Unix times."""
        end = time.monotonic() + DRAIN_S
        while True:
            answers = self.fleet.run_commands(self.fleet.member_hosts, "counts")
            arrivals = merge_arrivals(answers)
            changes = [
                (owner, seq, at)
                for answer in answers
                for owner, seq, at in answer["changes"]
                if since <= at < until
            ]
            unfinished = [
                change
                for change in changes
                if arrivals.get(change[:2], (0.0, 0.0, 0))[2] < self.lightweight - 1
            ]
            if not unfinished or time.monotonic() >= end:
                break
            self.run_until(time.monotonic() + 0.2)
        times_s = [
            (time.time() if change in unfinished else arrivals[change[:2]][1]) - change[2]
            for change in changes
        ]
        self.row |= {
            **time_percentiles("everywhere", times_s),
            "changes": len(changes),
            "changes_unfinished": len(unfinished),
        }
        real_names = {balancer.name for balancer in self.fleet.balancers}
        load_times_s = [
            arrived_at - written_at
            for (owner, _), (written_at, arrived_at, members) in arrivals.items()
            if owner in real_names and since <= written_at < until and members == self.lightweight
        ]
        self.real_row |= {**time_percentiles("everywhere", load_times_s), "changes": len(load_times_s)}

    def measure_visibility(self) -> None:
        """Measure the times until lightweight members' changes are visible at all real members."""
        times_s = []
        for number in range(VISIBILITY_TESTS):
            member_host = self.fleet.member_hosts[number % len(self.fleet.member_hosts)]
            member = list(member_host.member_addresses)[number % len(member_host.member_addresses)]
            text = f"mark-{number}"
            written_at = self.fleet.run_command(member_host, "write", member=member, key="zz", text=text)[
                "at"
            ]
            pending = list(range(self.real))
            while (
                not (visible := self.poll_visibility(pending, member, text))
                and time.time() < written_at + VISIBLE_TIMEOUT_S
            ):
                self.run_until(time.monotonic() + 0.01)
            if visible:
                times_s.append(time.time() - written_at)
            self.run_until(time.monotonic() + POLL_INTERVAL_S)
        percentiles = time_percentiles("there", times_s)
        self.real_row |= {
            "there_p50_s": percentiles["there_p50_s"],
            "there_worst_s": percentiles["there_worst_s"],
            "there": len(times_s),
            "there_unfinished": VISIBILITY_TESTS - len(times_s),
        }
        self.save_progress()

    def poll_visibility(self, pending: list[int], member: str, text: str) -> bool:
        """Poll the first pending real member; returns whether all have shown the change by now.

        Moves the member to the end of ``pending`` if it does not show the change yet.
        """
        n = pending.pop(0)
        if self.fleet.status(n)["revisions"].get(member) != text:
            pending.append(n)
        return not pending

    def measure_restarts(self) -> None:
        """Kill and restart real members one after another, and measure how long each takes to catch up."""
        times_s = list[float]()
        bytes_received = list[float]()
        logged_times_s = list[float]()
        for n in range(min(RESTART_TESTS, self.real)):
            balancer = self.fleet.balancers[n]
            self.fleet.send_signal(n, signal.SIGKILL)
            self.run_until(time.monotonic() + 1.0)
            self.fleet.start(n)
            began, polling_bytes, other = time.monotonic(), 0.0, (n + 1) % self.real
            expected_counts = register_counts(self.fleet.status(other))
            while time.monotonic() < began + JOIN_TIMEOUT_S:
                counts, cost, status = read_real_counts(self.fleet, n)
                other_counts, own_counts = (
                    register_counts(self.fleet.status(other)),
                    register_counts(status),
                )
                # Registers that have been removed since, such as a withdrawn verdict, are not waited for.
                expected_counts = {
                    name: min(entries, other_counts.get(name, 0)) for name, entries in expected_counts.items()
                }
                if all(
                    own_counts.get(name, 0) >= entries
                    for name, entries in expected_counts.items()
                    if name != balancer.name
                ):
                    times_s.append(time.monotonic() - began)
                    bytes_received.append(counts.traffic["bytes_in"] - polling_bytes)
                    break
                polling_bytes += cost["bytes_in"]
                self.run_until(time.monotonic() + POLL_INTERVAL_S)
            until = time.monotonic() + CAUGHT_UP_LOG_TIMEOUT_S
            while "caught up after" not in balancer.log and time.monotonic() < until:
                self.run_until(time.monotonic() + 0.1)
            if "caught up after" in balancer.log:
                logged_times_s.append(float(balancer.log.split("caught up after ")[1].split()[0]))
        figures = {
            "start_s": fmean(times_s) if times_s else None,
            "starts": len(times_s),
            "start_bytes": fmean(bytes_received) if bytes_received else None,
            "start_said_s": fmean(logged_times_s) if logged_times_s else None,
            "starts_said": len(logged_times_s),
        }
        self.row |= figures
        self.real_row |= figures
        self.report_progress(
            f"{len(times_s)} restarted members caught up, after "
            f"{figures['start_s'] or math.nan:.2f} s and {figures['start_bytes'] or math.nan:.0f} bytes on "
            f"average; {len(logged_times_s)} logged it"
        )
