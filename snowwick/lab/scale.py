"""The control cost of a balancer as the fleet grows.

    python -m snowwick.lab.scale [simulated|real] [--members 25,50,100] [--json FILE] [--quick]

One workload in two forms: simulated, with the control core of every member on the simulated network and one
process per size; and real, with balancer processes that have a fleet link on loopback beside lightweight
members (``snowwick.lab.member_host``).  The sizes run one after the other and give one row each.  The file is
rewritten after each row, and with a partial row in between.

The rates of configuration changes, verdicts and lease grants are those of the whole fleet and do not depend
on its size, since each of them propagates to all members.  The rate of load updates is that of each member.
Failures and restarts are given for 5,700 members and are proportional to the size, but at least one of each
is simulated.

Exit codes: 0 all sizes completed; 1 interrupted or failed, with the results so far kept; 2 refused, because
of an invalid argument or because the run would exceed half of this machine's memory or --most-minutes.
"""

from __future__ import annotations

import argparse
import importlib
import json
import multiprocessing
import os
import platform
import shlex
import signal
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import asdict, dataclass, fields, replace
from multiprocessing.connection import Connection
from pathlib import Path
from types import FrameType, ModuleType
from typing import Any, Literal, NoReturn, cast

from snowwick.lab import scale_simulated
from snowwick.lab.workload import HostInfo, ResultFile, ResultRow, RunRefused, Workload

DEFAULT_MAX_MINUTES = 60.0
QUICK_SETTINGS: dict[str, Any] = {
    "seconds": 4.0,
    "idle_s": 1.0,
    "burst_s": 2.0,
    "faults": "restarts",
    "drain_s": 5.0,
}
QUICK_SIZES = "6,12"
DEFAULT_SIZES = "25,50,100"
DEFAULT_REAL_MEMBERS = 8  # members of the real form that are complete balancer processes
REAL_FORM_MODULE = "snowwick.lab.scale_real"


class Failed(Exception):
    """The run of one size did not complete.  The name of this class is part of ``ended`` in the results."""


# -- the machine ---------------------------------------------------------------------------------------------


def host_info() -> HostInfo:
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return HostInfo(cores=os.cpu_count() or 1, memory_bytes=memory, python=platform.python_version())


def available_bytes() -> int:
    """Memory that a run may use: half of the installed memory, or the available memory where that is less."""
    memory_fields = dict(line.split(":", 1) for line in Path("/proc/meminfo").read_text().splitlines())
    return min(host_info()["memory_bytes"] // 2, 1024 * int(memory_fields["MemAvailable"].split()[0]))


# -- limits --------------------------------------------------------------------------------------------------


def largest_fitting(fits: Callable[[int], bool], maximum: int) -> int:
    """The largest number up to ``maximum`` that fits, by bisection; 0 where none does.

    If a number fits, every smaller one must fit as well.
    """
    low, high = 0, maximum
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if fits(middle) else (low, middle - 1)
    return low


def check_limits(workloads: list[Workload], max_s: float, max_bytes: int) -> tuple[float, int]:
    """Raises RunRefused where the simulated sizes would exceed a limit.

    Returns the estimated seconds for all sizes one after the other, and the most bytes that one of them
    takes.
    """
    seconds = sum(scale_simulated.estimate_s(workload) for workload in workloads)
    needed_bytes = max(scale_simulated.estimate_bytes(workload) for workload in workloads)
    if needed_bytes <= max_bytes and seconds <= max_s:
        return seconds, needed_bytes
    largest = max(workloads, key=lambda workload: workload.members)

    def fits(members: int) -> bool:
        resized = replace(largest, members=members)
        return (
            scale_simulated.estimate_bytes(resized) <= max_bytes
            and scale_simulated.estimate_s(resized) <= max_s
        )

    raise RunRefused(
        f"would take {needed_bytes / 1e9:.1f} GB and {seconds / 60.0:.0f} minutes, "
        f"{max_bytes / 1e9:.1f} GB and {max_s / 60.0:.0f} minutes are allowed: "
        f"one size of at most {largest_fitting(fits, largest.members)} members would fit"
    )


# -- the result file -----------------------------------------------------------------------------------------


@dataclass(slots=True)
class ResultWriter:
    """Writes the results so far, with a partial row if one is given.

    Each write replaces the file atomically, so that a reader always finds a complete JSON document.
    """

    result: ResultFile
    path: Path | None

    def write(self, partial_row: Mapping[str, object] | None = None) -> None:
        if self.path is None:
            return
        rows = [*self.result["rows"], *([partial_row] if partial_row is not None else [])]
        temporary = self.path.with_name(self.path.name + ".part")
        temporary.write_text(
            json.dumps({**self.result, "rows": rows}, indent=1, allow_nan=False) + "\n", encoding="utf-8"
        )
        os.replace(temporary, self.path)


# -- running -------------------------------------------------------------------------------------------------


def _run_in_child(workload: Workload, pipe: Connection) -> None:
    """Runs one size in its own process, so that its memory can be measured.

    Ends when the parent has closed its end of the pipe.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent terminates this process
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    try:
        row = scale_simulated.run_workload(
            workload,
            lambda text: pipe.send(("progress", text)),
            lambda row: pipe.send(("partial row", row)),
        )
        pipe.send(("done", row))
    except BrokenPipeError:
        pass
    except Exception as error:
        pipe.send(("failed", f"{type(error).__name__}: {error}"))


def run_simulated(
    workload: Workload,
    report_progress: Callable[[str], None],
    report_partial_row: Callable[[Mapping[str, object]], None],
) -> ResultRow:
    """Runs one size in a child process and returns its row; raises Failed.

    The child has ended when the call returns or raises.
    """
    context = multiprocessing.get_context("spawn")
    parent_end, child_end = context.Pipe(duplex=False)
    process = context.Process(target=_run_in_child, args=(workload, child_end), daemon=True)
    process.start()
    child_end.close()
    report_progress(f"process {process.pid} runs {workload.members} members")
    try:
        while True:
            kind, content = parent_end.recv()
            if kind == "progress":
                report_progress(content)
            elif kind == "partial row":
                report_partial_row(content)
            elif kind == "done":
                return cast(ResultRow, content)
            else:
                raise Failed(f"{workload.members} members: {content}")
    except EOFError:
        process.join(5.0)
        raise Failed(
            f"{workload.members} members: the process ended with exit code {process.exitcode}"
        ) from None
    finally:
        if process.is_alive():
            process.join(0.0 if sys.exc_info()[0] else 5.0)
        if process.is_alive():
            process.terminate()
            process.join(5.0)
        if process.is_alive():
            process.kill()
            process.join()
        report_progress(f"process {process.pid} has ended")
        parent_end.close()


def load_real_form() -> ModuleType:
    """Imports the module of the real form; raises RunRefused where it does not exist."""
    try:
        return importlib.import_module(REAL_FORM_MODULE)
    except ModuleNotFoundError as error:
        if error.name != REAL_FORM_MODULE:
            raise
        raise RunRefused("the real form is not available") from None


# -- the command line ----------------------------------------------------------------------------------------


def _parse_sizes(text: str) -> list[int]:
    sizes = [int(size) for size in text.split(",")]
    if min(sizes) < 2:
        raise ValueError
    return sizes


def parse(arguments: list[str] | None = None) -> tuple[argparse.Namespace, list[Workload]]:
    """The parsed flags and the workload of each size."""
    parser = argparse.ArgumentParser(
        prog="python -m snowwick.lab.scale",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("form", nargs="?", choices=["simulated", "real"], default="simulated")
    parser.add_argument(
        "--members",
        type=_parse_sizes,
        metavar="N,N,...",
        help=f"sizes of the fleet, one row each (default {DEFAULT_SIZES})",
    )
    parser.add_argument(
        "--real",
        type=int,
        default=DEFAULT_REAL_MEMBERS,
        metavar="N",
        help="number of members that are balancer processes in the real form (default %(default)s)",
    )
    parser.add_argument(
        "--quick",
        action="store_true",
        help=f"sizes {QUICK_SIZES} and " + ", ".join(f"{k} {v}" for k, v in QUICK_SETTINGS.items()),
    )
    parser.add_argument("--json", type=Path, metavar="FILE", help="write the rows to this file")
    parser.add_argument(
        "--most-minutes",
        type=float,
        default=DEFAULT_MAX_MINUTES,
        metavar="N",
        help="refuse a run with a longer estimated duration (default %(default)g)",
    )
    for setting in fields(Workload):
        if setting.name == "members":
            continue
        text = f"{setting.metadata.get('help', '')} (default {setting.default})".strip().replace("%", "%%")
        parser.add_argument(
            "--" + setting.name.replace("_", "-"),
            type=type(setting.default),
            metavar="X",
            choices=["none", "restarts", "all"] if setting.name == "faults" else None,
            help=text,
        )
    flags = parser.parse_args(arguments)
    chosen = {
        setting.name: getattr(flags, setting.name)
        for setting in fields(Workload)
        if setting.name != "members" and getattr(flags, setting.name) is not None
    }
    chosen = {**(QUICK_SETTINGS if flags.quick else {}), **chosen}
    sizes = flags.members or _parse_sizes(QUICK_SIZES if flags.quick else DEFAULT_SIZES)
    for name in ("seconds", "period", "idle_s", "burst_s", "wave_s", "burst_factor"):
        if chosen.get(name, 1.0) <= 0.0:
            parser.error(f"--{name.replace('_', '-')} has to be above 0")
    return flags, [Workload(members=size, **chosen) for size in sizes]


def table(rows: list[ResultRow]) -> str:
    """The rows as a text table; times in s, kB a member and second, percent of a core."""
    header = (
        f"{'members':>8}{'kB/s out':>10}{'frames/s':>10}{'core %':>8}{'worst %':>8}{'refs/s':>8}{'MB':>7}"
        f"{'p50':>7}{'p99':>7}{'worst':>7}{'start':>7}{'start kB':>10}{'late p99':>9}{'shed/s':>8}"
        f"{'false':>6}"
    )
    lines = [header]
    for row in rows:

        def cell(value: float | None, template: str = "{:.2f}") -> str:
            return template.format(value) if value is not None else "-"

        lines.append(
            f"{row['members']:>8}{row['bytes_out'] / 1e3:>10.1f}{row['datagrams_out']:>10.1f}"
            f"{100 * row['core']:>8.2f}{100 * row['worst']['core']:>8.2f}{row['reference']:>8.0f}"
            f"{row['memory'] / 1e6:>7.2f}{cell(row['everywhere_p50_s']):>7}{cell(row['everywhere_p99_s']):>7}"
            f"{cell(row['everywhere_worst_s']):>7}{cell(row['start_s']):>7}"
            f"{cell(row['start_bytes'] / 1e3 if row['start_bytes'] is not None else None, '{:.0f}'):>10}"
            f"{cell(row['load_late_p99_s']):>9}{row['shed']:>8.1f}{row['false_deaths']:>6}"
        )
    return "\n".join(lines)


def _print_progress(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _interrupt(number: int, frame: FrameType | None) -> NoReturn:
    """Signal handler that ends the run as an interrupt from the keyboard does."""
    raise KeyboardInterrupt


def main(arguments: list[str] | None = None) -> None:
    flags, workloads = parse(arguments)
    form = cast(Literal["simulated", "real"], flags.form)
    try:
        real = load_real_form() if form == "real" else None
        if real is None:
            seconds, needed_bytes = check_limits(workloads, 60.0 * flags.most_minutes, available_bytes())
            _print_progress(f"about {seconds / 60.0:.1f} minutes and {needed_bytes / 1e9:.2f} GB")
        else:
            for workload in workloads:
                needed_bytes = real.estimate_bytes(
                    min(flags.real, workload.members), max(0, workload.members - flags.real)
                )
                if needed_bytes > available_bytes():
                    raise RunRefused(
                        f"{workload.members} members would take {needed_bytes / 1e9:.1f} GB, "
                        f"{available_bytes() / 1e9:.1f} GB are allowed: a smaller --real may fit"
                    )
    except RunRefused as refused:
        _print_progress(f"refused: {refused}")
        sys.exit(2)
    words = sys.argv[1:] if arguments is None else arguments
    writer = ResultWriter(
        ResultFile(
            form=form,
            command=shlex.join(["python", "-m", "snowwick.lab.scale", *words]),
            date=time.strftime("%Y-%m-%d"),
            machine=host_info(),
            workload={**asdict(workloads[0]), "members": [workload.members for workload in workloads]},
            rows=[],
            complete=False,
            ended="under way",
        ),
        flags.json,
    )
    # SIGINT is handled explicitly, since a shell starts background processes with SIGINT ignored.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    try:
        writer.write()
        for workload in workloads:
            last_partial: list[Mapping[str, object]] = []

            def write_partial(
                row: Mapping[str, object], last_partial: list[Mapping[str, object]] = last_partial
            ) -> None:
                last_partial[:] = [row]
                writer.write(row)

            try:
                if real is None:
                    row = run_simulated(workload, _print_progress, write_partial)
                else:
                    row = real.play(
                        workload,
                        min(flags.real, workload.members),
                        max(0, workload.members - flags.real),
                        _print_progress,
                        write_partial,
                    )
            except BaseException:
                if last_partial:
                    writer.result["rows"].append(cast(ResultRow, {**last_partial[0], "partial": True}))
                raise
            writer.result["rows"].append(row)
            writer.write()
    except (KeyboardInterrupt, Exception) as error:
        is_interrupted = isinstance(error, KeyboardInterrupt)
        writer.result["ended"] = (
            "interrupted" if is_interrupted else f"failed: {type(error).__name__}: {error}"
        )
        writer.write()
        _print_progress(
            f"{writer.result['ended']}; all child processes have ended"
            + (f"; {len(writer.result['rows'])} rows are in {flags.json}" if flags.json else "")
        )
        sys.exit(1)
    writer.result["complete"], writer.result["ended"] = True, "all played"
    writer.write()
    print(table(writer.result["rows"]))


if __name__ == "__main__":
    main()
