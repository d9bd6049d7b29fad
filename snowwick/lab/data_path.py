"""What a standing connection costs a program in memory, and a line and a setup in processor, by their number.

    python -m snowwick.lab.data_path --json FILE [--sizes 250,500,1000,2000,4000,8000] [--quick]

For each size one real ``serve`` is started before four stand-in nodes, and so many connections are opened on
loopback, sixteen at a time.  ``setup_s`` is the processor of the second half of them.  Then lines pass at a
fixed rate, half from the clients and half back, a node holding each for a while so that waits stand for many:
``line_s`` is the processor of one line relayed one way, the median of several windows, and includes whatever
the program does meanwhile.  ``memory`` and ``pss`` are the program's once every connection has carried lines
both ways and the figure has stood still.  What the kernel holds for sockets is in none of them: the printed
table has their buffers (/proc/net/sockstat) and all kernel objects (Slab in /proc/meminfo), both of the whole
machine and over what was there before the size.  Of a connection's four ends two are the program's.

``line_reference`` is ``line_s`` as a multiple of a line's ``send`` and ``recv`` on a socket pair in this
process, timed between the windows: what compares from machine to machine.

A size for which the descriptors (two a connection, here and in the program) or half of the memory do not do
is refused with exit code 2.  A failure or a Ctrl-C ends what was started and exits with 1; the rows that were
whole are in FILE, which then says ``complete: false``.
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

SIZES = (250, 500, 1000, 2000, 4000, 8000)
QUICK = (50, 100, 200, 400, 800, 1600)
NODES = 4
TOGETHER = 16  # connections opened at once
EACH = 64 * 1024  # bytes that a connection takes at most, in the program, here and in the kernel
LOOK, LOOKS, STILL, PATIENCE = 0.1, 6, 65536, 30.0  # memory has settled: s, looks within so many bytes, s
REPEATS = 5000  # of the reference


@dataclass(frozen=True)
class Plan:
    """How long each size is measured: windows of so many s, with lines both ways and with deliveries only."""

    windows: int
    deliveries: int
    window: float


WHOLE, SHORT = Plan(8, 4, 3.0), Plan(3, 2, 0.3)


@dataclass
class Row:
    """What is kept of one size.  Times are s of processor, memory is in bytes."""

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
    """What is printed beside it and not kept."""

    setups_a_second: float
    delivery_s: float  # a line from a node that no client asked for
    idle: float  # part of a core, with all connections and no lines
    buffers: int  # bytes in the buffers of all TCP sockets of the machine, over those before
    slabs: int  # bytes of the machine's kernel objects, over those before: all four ends of a connection


@dataclass
class Report:
    """The file; rewritten after each row."""

    command: str
    date: str
    machine: dict[str, Any]
    form: str = "data-path"
    rows: list[Row] = field(default_factory=list)
    complete: bool = False
    ended: str = ""

    def write(self, path: Path) -> None:
        """Replace the file as one, so that a reader never meets half of it."""
        fresh = path.with_name(path.name + ".new")
        fresh.write_text(json.dumps(asdict(self), indent=1) + "\n", encoding="utf-8")
        fresh.replace(path)


def machine_memory() -> int:
    """Bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def most() -> tuple[int, int]:
    """Connections that the descriptors of this process allow, and that half of the machine's memory does."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    by_descriptors = (soft - SPARE_DESCRIPTORS) // 2 if soft != resource.RLIM_INFINITY else sys.maxsize
    return by_descriptors, machine_memory() // 2 // EACH


def memory_of(pid: int) -> tuple[int, int]:
    """Rss and Pss of a process in bytes."""
    text = Path(f"/proc/{pid}/smaps_rollup").read_text()
    found = dict(line.split(":", 1) for line in text.splitlines()[1:])
    return 1024 * int(found["Rss"].split()[0]), 1024 * int(found["Pss"].split()[0])


def settled_memory(pid: int) -> tuple[int, int]:
    """The same once it stands still; TimeoutError where it does not."""
    seen: list[tuple[int, int]] = []
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        seen.append(memory_of(pid))
        last = [rss for rss, _ in seen[-LOOKS:]]
        if len(last) == LOOKS and max(last) - min(last) <= STILL:
            return seen[-1]
        time.sleep(LOOK)
    raise TimeoutError(f"the program's memory did not settle in {PATIENCE:g} s")


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


def reference() -> float:
    """S of processor that a line's ``send`` and ``recv`` take on a socket pair."""
    one, other = socket.socketpair()
    with one, other:
        began = time.thread_time()
        for _ in range(REPEATS):
            one.send(LINE)
            other.recv(4096)
        return (time.thread_time() - began) / REPEATS


def open_all(standing: ProgramUnderLoad, size: int) -> tuple[float, float]:
    """Open so many connections; s of processor a setup in the second half, and setups a second in all."""
    together = max(1, min(TOGETHER, size // 8))
    began = time.perf_counter()
    half, cpu = 0, 0.0
    while (there := len(standing.clients)) < size:
        if not half and there >= size // 2:
            half, cpu = there, standing.cpu_s()
        standing.open_connections(min(together, size - there))
    return (standing.cpu_s() - cpu) / (size - half), size / (time.perf_counter() - began)


@dataclass
class Costs:
    """Of lines in several windows: s of processor a line and its multiple of the reference, both medians."""

    line_s: float
    multiple: float
    lines: int


def windows(
    standing: ProgramUnderLoad,
    go: Callable[[int], None],
    done: Callable[[], int],
    rate: float,
    warm: float,
    count: int,
    window: float,
) -> Costs:
    """Have ``go`` send its first lines at a rate, for ``warm`` s and so many windows of ``window`` s.

    Lines are counted by ``done``.  The reference is timed between windows, since the machine's speed shifts
    from one to the next: a window is compared with the mean of the two beside it.
    """
    costs, multiples, lines = [], [], 0
    began, before = time.perf_counter(), reference()
    for n in range(count + 1):
        cpu, first = standing.cpu_s(), done()
        while (now := time.perf_counter() - began) < warm + n * window:
            go(int(rate * now))
            time.sleep(0.001)
        cost, passed = standing.cpu_s() - cpu, done() - first
        after = reference()
        if n:
            costs.append(cost / passed)
            multiples.append(2.0 * costs[-1] / (before + after))
            lines += passed
        before = after
    return Costs(statistics.median(costs), statistics.median(multiples), lines)


def measure(folder: Path, size: int, plan: Plan) -> tuple[Row, Beside]:
    """One size, from the start of its program to its end."""
    before = kernel_memory()
    with start_program(folder / str(size), size, NODES) as standing:
        setup_s, setups = open_all(standing, size)
        # Until each connection has carried a line and as many waits stand as will.
        warm = size / LINES_PER_S + hold_limit_s(size)
        both = windows(
            standing,
            standing.exchange_lines,
            lambda: standing.lines_sent + standing.lines_answered,
            LINES_PER_S,
            warm,
            plan.windows,
            plan.window,
        )
        standing.wait_for_all_lines()
        alone = windows(
            standing,
            standing.send_unrequested_lines,
            lambda: standing.lines_delivered,
            2 * LINES_PER_S,
            0.2,
            plan.deliveries,
            plan.window,
        )
        standing.wait_for_all_lines()
        memory, pss = settled_memory(standing.process.pid)
        buffers, slabs = (now - then for now, then in zip(kernel_memory(), before, strict=True))
        cpu, began = standing.cpu_s(), time.perf_counter()
        time.sleep(plan.window)
        idle = (standing.cpu_s() - cpu) / (time.perf_counter() - began)
    return (
        Row(size, memory, pss, both.line_s, both.multiple, setup_s, both.lines, 2.0 * LINES_PER_S),
        Beside(setups, alone.line_s, idle, buffers, slabs),
    )


def say(row: Row, beside: Beside) -> None:
    print(
        f"{row.connections:11} {row.memory / 1e6:9.2f} {row.pss / 1e6:9.2f} {1e6 * row.line_s:8.1f} "
        f"{row.line_reference:9.1f} {1e6 * beside.delivery_s:11.1f} {1e6 * row.setup_s:9.0f} "
        f"{beside.setups_a_second:9.0f} {100 * beside.idle:6.2f} {beside.buffers / 1e6:10.2f} "
        f"{beside.slabs / 1e6:8.1f} {row.lines:7}",
        flush=True,
    )


def fits(rows: Sequence[Row]) -> None:
    """Print the slopes over all sizes but the largest, and what they make of that one."""
    *used, last = sorted(rows, key=lambda row: row.connections)
    at = [float(row.connections) for row in used]
    measured: dict[str, Callable[[Row], float]] = {
        "memory, kB": lambda row: row.memory / 1e3,
        "pss, kB": lambda row: row.pss / 1e3,
        "a line, us": lambda row: 1e6 * row.line_s,
        "a line, times the reference": lambda row: row.line_reference,
        "a setup, us": lambda row: 1e6 * row.setup_s,
    }
    for name, value in measured.items():
        slope, base = statistics.linear_regression(at, [value(row) for row in used])
        foretold = base + slope * last.connections
        print(
            f"{name}: {base:.5g} and {slope:.4g} a connection, from {at[0]:g} to {at[-1]:g}; at "
            f"{last.connections} {foretold:.5g}, measured {value(last):.5g} "
            f"({100 * (value(last) / foretold - 1):+.1f}%)"
        )


def options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="data_path", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--json", type=Path, required=True, help="write the rows there")
    parser.add_argument(
        "--sizes", type=sizes_of, help="connections, 250,500,1000,2000,4000,8000 if not given"
    )
    parser.add_argument("--quick", action="store_true", help="smaller sizes if none are given, short windows")
    return parser.parse_args()


def sizes_of(text: str) -> tuple[int, ...]:
    sizes = tuple(int(word) for word in text.split(","))
    if min(sizes) < 2:
        raise ValueError("a size is two connections at least")
    return sizes


def main() -> int:
    given = options()
    sizes = given.sizes or (QUICK if given.quick else SIZES)
    descriptors, memory = most()
    if max(sizes) > min(descriptors, memory):
        print(
            f"data_path: {max(sizes)} connections do not fit: the descriptors allow {descriptors}, half of "
            f"the memory allows {memory}",
            file=sys.stderr,
        )
        return 2
    command = "python -m snowwick.lab.data_path --json FILE --sizes " + ",".join(map(str, sizes))
    report = Report(
        command + " --quick" * given.quick,
        time.strftime("%Y-%m-%d"),
        {"cores": os.cpu_count(), "memory_bytes": machine_memory(), "python": platform.python_version()},
    )
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGINT, signal.default_int_handler)  # also where the shell had it ignored
    print(
        "connections memory/MB    pss/MB  line/us reference delivery/us  setup/us  setups/s idle/%"
        " buffers/MB slabs/MB   lines",
        flush=True,
    )
    try:
        with tempfile.TemporaryDirectory() as folder:
            for size in sizes:
                row, beside = measure(Path(folder), size, SHORT if given.quick else WHOLE)
                report.rows.append(row)
                report.write(given.json)
                say(row, beside)
        report.complete = True
    except KeyboardInterrupt:
        report.ended = "interrupted"
    except (OSError, RuntimeError, AssertionError) as error:
        report.ended = f"{type(error).__name__}: {str(error).strip().rpartition(chr(10))[2]}"
    report.write(given.json)
    if report.ended:
        print(f"data_path: {report.ended}", file=sys.stderr)
        return 1
    if len(sizes) > 2:
        fits(report.rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
