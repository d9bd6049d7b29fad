"""Measures a program's memory by established connections, and its CPU time for a relayed line and a setup.

    python -m snowwick.lab.data_path --json FILE [--sizes 250,500,1000,2000,4000,8000] [--quick]

For each size, one real ``serve`` process is started with four stand-in destinations, and that many
connections are opened on loopback, sixteen at a time.  ``setup_s`` is the CPU time of a setup, over the
second half of them.  Then lines are sent at a fixed rate, half by the clients and half back by the
destinations, which hold each line for a while so that many connections wait for an answer.  ``line_s`` is the
CPU time of one line relayed in one direction, as the median of several windows; it includes everything else
that the program does meanwhile.  ``memory`` and ``pss`` are the program's, once every connection has carried
lines in both directions and the figure has settled.  They exclude the kernel's memory for sockets: the
printed table has the socket buffers (/proc/net/sockstat) and all kernel objects (Slab in /proc/meminfo), both
of the whole machine and above their values before the size.  Of a connection's four sockets, two are the
program's.

``line_reference`` is ``line_s`` as a multiple of the CPU time that ``send`` and ``recv`` of a line on a
socket pair take in this process, measured between the windows.  It is the figure to compare between machines.

A size that needs more file descriptors than allowed (two for each connection, here and in the program) or
more than half of the memory is refused with exit code 2.  After a failure or Ctrl-C, all processes are ended
and the exit code is 1; the complete rows are in FILE, which then has ``complete: false``.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import resource
import signal
import socket
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from snowwick.lab.connection_load import (
    LINE,
    LINES_PER_S,
    SPARE_DESCRIPTORS,
    ProgramUnderLoad,
    hold_limit_s,
    start_program,
)

SIZES = (250, 500, 1000, 2000, 4000, 8000)  # connections
QUICK_SIZES = (50, 100, 200, 400, 800, 1600)
DESTINATIONS = 4
CONCURRENT_OPENINGS = 16
MAX_BYTES_PER_CONNECTION = 64 * 1024  # in the program, in this process and in the kernel together
# Memory has settled once this many samples in a row lie within the tolerance.
MEMORY_SAMPLE_INTERVAL_S = 0.1
MEMORY_SAMPLES = 6
MEMORY_TOLERANCE_BYTES = 65536
MEMORY_TIMEOUT_S = 30.0
REFERENCE_REPEATS = 5000


@dataclass(frozen=True)
class Plan:
    """How long each size is measured."""

    windows: int  # with lines in both directions
    delivery_windows: int  # with unrequested lines from the destinations only
    window_s: float


FULL_PLAN = Plan(8, 4, 3.0)
QUICK_PLAN = Plan(3, 2, 0.3)


@dataclass
class Row:
    """The figures of one size that are saved; times are CPU time in s, memory is in bytes."""

    connections: int
    memory: int
    pss: int
    line_s: float
    line_reference: float
    setup_s: float
    lines: int
    lines_a_second: float


@dataclass
class Beside:
    """Further figures of one size, which are printed only."""

    setups_a_second: float
    delivery_s: float  # CPU time of an unrequested line from a destination
    idle: float  # fraction of a core, with all connections and no lines
    buffers: int  # bytes in all TCP socket buffers of the machine, above those before the size
    slabs: int  # bytes of the machine's kernel objects, above those before the size, for all four sockets


@dataclass
class Report:
    """The contents of the result file, which is rewritten after each row."""

    command: str
    date: str
    machine: dict[str, Any]
    form: str = "data-path"
    rows: list[Row] = field(default_factory=list)
    complete: bool = False
    ended: str = ""

    def write(self, path: Path) -> None:
        """Replace the file atomically, so that a reader never gets a part of it."""
        new_path = path.with_name(path.name + ".new")
        new_path.write_text(json.dumps(asdict(self), indent=1) + "\n", encoding="utf-8")
        new_path.replace(path)


def machine_memory_bytes() -> int:
    """The machine's physical memory."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def connection_limits() -> tuple[int, int]:
    """How many connections the limit of file descriptors allows, and how many half of the memory allows."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    by_descriptors = (soft - SPARE_DESCRIPTORS) // 2 if soft != resource.RLIM_INFINITY else sys.maxsize
    return by_descriptors, machine_memory_bytes() // 2 // MAX_BYTES_PER_CONNECTION


def process_memory(pid: int) -> tuple[int, int]:
    """Rss and Pss of a process in bytes."""
    text = Path(f"/proc/{pid}/smaps_rollup").read_text()
    fields = dict(line.split(":", 1) for line in text.splitlines()[1:])
    return 1024 * int(fields["Rss"].split()[0]), 1024 * int(fields["Pss"].split()[0])


def settled_memory(pid: int) -> tuple[int, int]:
    """Rss and Pss of a process in bytes once Rss has settled; raises TimeoutError if it does not."""
    samples: list[tuple[int, int]] = []
    end = time.monotonic() + MEMORY_TIMEOUT_S
    while time.monotonic() < end:
        samples.append(process_memory(pid))
        latest_rss = [rss for rss, _ in samples[-MEMORY_SAMPLES:]]
        if len(latest_rss) == MEMORY_SAMPLES and max(latest_rss) - min(latest_rss) <= MEMORY_TOLERANCE_BYTES:
            return samples[-1]
        time.sleep(MEMORY_SAMPLE_INTERVAL_S)
    raise TimeoutError(f"the program's memory did not settle in {MEMORY_TIMEOUT_S:g} s")


def kernel_memory() -> tuple[int, int]:
    """Bytes in the buffers of all TCP sockets of the machine, and of all its kernel objects."""
    buffers = slabs = 0
    for line in Path("/proc/net/sockstat").read_text().splitlines():
        words = line.split()
        if words[0] == "TCP:":
            buffers = int(words[words.index("mem") + 1]) * os.sysconf("SC_PAGE_SIZE")
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("Slab:"):
            slabs = 1024 * int(line.split()[1])
    return buffers, slabs


def reference_line_s() -> float:
    """CPU time in s that ``send`` and ``recv`` of a line take on a socket pair."""
    sender, receiver = socket.socketpair()
    with sender, receiver:
        began = time.thread_time()
        for _ in range(REFERENCE_REPEATS):
            sender.send(LINE)
            receiver.recv(4096)
        return (time.thread_time() - began) / REFERENCE_REPEATS


def open_all_connections(program: ProgramUnderLoad, size: int) -> tuple[float, float]:
    """Open ``size`` connections.

    Returns the CPU time in s of a setup in the second half, and the rate of all setups a second.
    """
    concurrent = max(1, min(CONCURRENT_OPENINGS, size // 8))
    began = time.perf_counter()
    half = 0  # number of connections at which the measurement of setups begins
    half_cpu_s = 0.0
    while (opened := len(program.clients)) < size:
        if not half and opened >= size // 2:
            half, half_cpu_s = opened, program.cpu_s()
        program.open_connections(min(concurrent, size - opened))
    return (program.cpu_s() - half_cpu_s) / (size - half), size / (time.perf_counter() - began)


@dataclass
class LineCosts:
    """CPU time of a line in s and as a multiple of the reference, both medians over several windows."""

    line_s: float
    multiple: float
    lines: int  # in all windows


def measure_windows(
    program: ProgramUnderLoad,
    send_until: Callable[[int], None],
    count_lines: Callable[[], int],
    lines_per_s: float,
    warm_up_s: float,
    window_count: int,
    window_s: float,
) -> LineCosts:
    """Send lines at a rate, for a warm-up and a number of windows, and measure the windows.

    ``send_until`` is called with the number of lines due since the start; ``count_lines`` returns the number
    of lines so far.  The reference is measured between windows, since the machine's speed changes over time:
    each window is compared with the mean of the two references next to it.
    """
    costs_s = []
    multiples = []
    lines = 0
    began, reference_before = time.perf_counter(), reference_line_s()
    for n in range(window_count + 1):
        cpu_s_before, lines_before = program.cpu_s(), count_lines()
        while (elapsed := time.perf_counter() - began) < warm_up_s + n * window_s:
            send_until(int(lines_per_s * elapsed))
            time.sleep(0.001)
        cpu_s, window_lines = program.cpu_s() - cpu_s_before, count_lines() - lines_before
        reference_after = reference_line_s()
        if n:
            costs_s.append(cpu_s / window_lines)
            multiples.append(2.0 * costs_s[-1] / (reference_before + reference_after))
            lines += window_lines
        reference_before = reference_after
    return LineCosts(statistics.median(costs_s), statistics.median(multiples), lines)


def measure(folder: Path, size: int, plan: Plan) -> tuple[Row, Beside]:
    """Measure one size, from the start of its program to its end."""
    kernel_before = kernel_memory()
    with start_program(folder / str(size), size, DESTINATIONS) as program:
        setup_s, setups_per_s = open_all_connections(program, size)
        # Until each connection has carried a line and the number of held lines is steady
        warm_up_s = size / LINES_PER_S + hold_limit_s(size)
        both_ways = measure_windows(
            program,
            program.exchange_lines,
            lambda: program.lines_sent + program.lines_answered,
            LINES_PER_S,
            warm_up_s,
            plan.windows,
            plan.window_s,
        )
        program.wait_for_all_lines()
        deliveries = measure_windows(
            program,
            program.send_unrequested_lines,
            lambda: program.lines_delivered,
            2 * LINES_PER_S,
            0.2,
            plan.delivery_windows,
            plan.window_s,
        )
        program.wait_for_all_lines()
        memory, pss = settled_memory(program.process.pid)
        buffers, slabs = (
            after - before for after, before in zip(kernel_memory(), kernel_before, strict=True)
        )
        cpu_s_before, began = program.cpu_s(), time.perf_counter()
        time.sleep(plan.window_s)
        idle = (program.cpu_s() - cpu_s_before) / (time.perf_counter() - began)
    return (
        Row(
            size,
            memory,
            pss,
            both_ways.line_s,
            both_ways.multiple,
            setup_s,
            both_ways.lines,
            2.0 * LINES_PER_S,
        ),
        Beside(setups_per_s, deliveries.line_s, idle, buffers, slabs),
    )


def print_row(row: Row, beside: Beside) -> None:
    """Print one line of the table."""
    print(
        f"{row.connections:11} {row.memory / 1e6:9.2f} {row.pss / 1e6:9.2f} {1e6 * row.line_s:8.1f} "
        f"{row.line_reference:9.1f} {1e6 * beside.delivery_s:11.1f} {1e6 * row.setup_s:9.0f} "
        f"{beside.setups_a_second:9.0f} {100 * beside.idle:6.2f} {beside.buffers / 1e6:10.2f} "
        f"{beside.slabs / 1e6:8.1f} {row.lines:7}",
        flush=True,
    )


def print_fits(rows: Sequence[Row]) -> None:
    """Print linear fits over all sizes but the largest, and their predictions for that one."""
    *fitted, largest = sorted(rows, key=lambda row: row.connections)
    sizes = [float(row.connections) for row in fitted]
    figures: dict[str, Callable[[Row], float]] = {
        "memory, kB": lambda row: row.memory / 1e3,
        "pss, kB": lambda row: row.pss / 1e3,
        "a line, us": lambda row: 1e6 * row.line_s,
        "a line, multiple of the reference": lambda row: row.line_reference,
        "a setup, us": lambda row: 1e6 * row.setup_s,
    }
    for name, value in figures.items():
        slope, intercept = statistics.linear_regression(sizes, [value(row) for row in fitted])
        predicted = intercept + slope * largest.connections
        print(
            f"{name}: {intercept:.5g} plus {slope:.4g} a connection, from {sizes[0]:g} to {sizes[-1]:g}; at "
            f"{largest.connections} predicted {predicted:.5g}, measured {value(largest):.5g} "
            f"({100 * (value(largest) / predicted - 1):+.1f}%)"
        )


def parse_arguments() -> argparse.Namespace:
    """The command line."""
    parser = argparse.ArgumentParser(
        prog="data_path", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--json", type=Path, required=True, help="write the rows to this file")
    parser.add_argument(
        "--sizes", type=parse_sizes, help="numbers of connections (default 250,500,1000,2000,4000,8000)"
    )
    parser.add_argument("--quick", action="store_true", help="smaller default sizes, short windows")
    return parser.parse_args()


def parse_sizes(text: str) -> tuple[int, ...]:
    """Sizes from a comma-separated list."""
    sizes = tuple(int(word) for word in text.split(","))
    if min(sizes) < 2:
        raise ValueError("a size has to be at least 2 connections")
    return sizes


def main() -> int:
    """Measure the sizes of the command line; returns the exit code."""
    arguments = parse_arguments()
    sizes = arguments.sizes or (QUICK_SIZES if arguments.quick else SIZES)
    by_descriptors, by_memory = connection_limits()
    if max(sizes) > min(by_descriptors, by_memory):
        print(
            f"data_path: {max(sizes)} connections do not fit: the descriptors allow {by_descriptors}, "
            f"half of the memory allows {by_memory}",
            file=sys.stderr,
        )
        return 2
    command = "python -m snowwick.lab.data_path --json FILE --sizes " + ",".join(map(str, sizes))
    report = Report(
        command + " --quick" * arguments.quick,
        time.strftime("%Y-%m-%d"),
        {
            "cores": os.cpu_count(),
            "memory_bytes": machine_memory_bytes(),
            "python": platform.python_version(),
        },
    )
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)  # also if the shell had set it to ignored
    print(
        "connections memory/MB    pss/MB  line/us reference delivery/us  setup/us  setups/s idle/%"
        " buffers/MB slabs/MB   lines",
        flush=True,
    )
    try:
        with tempfile.TemporaryDirectory() as folder:
            for size in sizes:
                row, beside = measure(Path(folder), size, QUICK_PLAN if arguments.quick else FULL_PLAN)
                report.rows.append(row)
                report.write(arguments.json)
                print_row(row, beside)
        report.complete = True
    except KeyboardInterrupt:
        report.ended = "interrupted"
    except (OSError, RuntimeError, AssertionError) as error:
        report.ended = f"{type(error).__name__}: {str(error).strip().rpartition(chr(10))[2]}"
    report.write(arguments.json)
    if report.ended:
        print(f"data_path: {report.ended}", file=sys.stderr)
        return 1
    if len(sizes) > 2:
        print_fits(report.rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
