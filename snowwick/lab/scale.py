"""What control costs a balancer as the fleet grows.

    python -m snowwick.lab.scale [simulated|real] [--members 25,50,100] [--json FILE] [--quick]

One workload in two forms: simulated, the shipped control core of every member on the simulated network in one
process a size; and real, processes with a fleet link on loopback beside hollow members.  Each size is one
row, one after the other; the file is rewritten as each is there, and with a partial row before.

Changes of configuration, verdicts and moved rights are rates of the whole fleet and stay the same whatever
its size, since everybody hears of each.  Loads are each member's.  Failures and restarts are given for 5,700
members and go by the members, but at least one of each is played.

Exit codes: 0 all played; 1 interrupted or failed, with what was measured kept; 2 refused, as it would not fit
in half of this machine's memory or in --most-minutes, or wrongly asked.
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

MOST_MINUTES = 60.0
QUICK: dict[str, Any] = {"seconds": 4.0, "idle_s": 1.0, "burst_s": 2.0, "faults": "restarts", "drain_s": 5.0}
QUICK_MEMBERS, MEMBERS = "6,12", "25,50,100"
REAL = 8  # of the members in the real form that are whole processes
REAL_FORM = "snowwick.lab.scale_real"


class Failed(Exception):
    """A size did not come to its end."""


# -- the machine ---------------------------------------------------------------------------------------------


def host() -> HostInfo:
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return HostInfo(cores=os.cpu_count() or 1, memory_bytes=memory, python=platform.python_version())


def room() -> int:
    """Bytes that a run may take: half of the memory, or what is available where that is less."""
    rows = dict(line.split(":", 1) for line in Path("/proc/meminfo").read_text().splitlines())
    return min(host()["memory_bytes"] // 2, 1024 * int(rows["MemAvailable"].split()[0]))


# -- what fits -----------------------------------------------------------------------------------------------


def largest(fits: Callable[[int], bool], most: int) -> int:
    """The largest number up to ``most`` that fits, where less fits wherever more does; 0 for none."""
    low, high = 0, most
    while low < high:
        middle = (low + high + 1) // 2
        low, high = (middle, high) if fits(middle) else (low, middle - 1)
    return low


def check(workloads: list[Workload], most_s: float, most_bytes: int) -> tuple[float, int]:
    """s and bytes that the simulated sizes will take, one after the other; raises RunRefused."""
    seconds = sum(scale_simulated.estimate_s(w) for w in workloads)
    need = max(scale_simulated.estimate_bytes(w) for w in workloads)
    if need <= most_bytes and seconds <= most_s:
        return seconds, need
    top = max(workloads, key=lambda w: w.members)

    def fits(members: int) -> bool:
        one = replace(top, members=members)
        return scale_simulated.estimate_bytes(one) <= most_bytes and scale_simulated.estimate_s(one) <= most_s

    raise RunRefused(
        f"would take {need / 1e9:.1f} GB and {seconds / 60.0:.0f} minutes, "
        f"{most_bytes / 1e9:.1f} GB and {most_s / 60.0:.0f} minutes are allowed: "
        f"one size of at most {largest(fits, top.members)} members would fit"
    )


# -- what is kept --------------------------------------------------------------------------------------------


@dataclass(slots=True)
class Kept:
    """The result so far, rewritten whole each time: the file is at any moment one that can be read."""

    result: ResultFile
    path: Path | None

    def rewrite(self, partial: Mapping[str, object] | None = None) -> None:
        if self.path is None:
            return
        rows = [*self.result["rows"], *([partial] if partial is not None else [])]
        beside = self.path.with_name(self.path.name + ".part")
        beside.write_text(
            json.dumps({**self.result, "rows": rows}, indent=1, allow_nan=False) + "\n", encoding="utf-8"
        )
        os.replace(beside, self.path)


# -- playing -------------------------------------------------------------------------------------------------


def _child(workload: Workload, pipe: Connection) -> None:
    """One size in a process of its own, so that its memory can be told; ends when nobody hears it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent ends it
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    try:
        row = scale_simulated.run_workload(
            workload, lambda text: pipe.send(("say", text)), lambda row: pipe.send(("keep", row))
        )
        pipe.send(("done", row))
    except BrokenPipeError:
        pass
    except Exception as error:
        pipe.send(("failed", f"{type(error).__name__}: {error}"))


def run_simulated(
    workload: Workload, say: Callable[[str], None], keep: Callable[[Mapping[str, object]], None]
) -> ResultRow:
    """One size, in a child that is ended with this call however it ends; raises Failed."""
    context = multiprocessing.get_context("spawn")
    ours, theirs = context.Pipe(duplex=False)
    process = context.Process(target=_child, args=(workload, theirs), daemon=True)
    process.start()
    theirs.close()
    say(f"process {process.pid} plays {workload.members} members")
    try:
        while True:
            what, told = ours.recv()
            if what == "say":
                say(told)
            elif what == "keep":
                keep(told)
            elif what == "done":
                return cast(ResultRow, told)
            else:
                raise Failed(f"{workload.members} members: {told}")
    except EOFError:
        process.join(5.0)
        raise Failed(f"{workload.members} members: the process ended by {process.exitcode}") from None
    finally:
        if process.is_alive():
            process.join(0.0 if sys.exc_info()[0] else 5.0)
        if process.is_alive():
            process.terminate()
            process.join(5.0)
        if process.is_alive():
            process.kill()
            process.join()
        say(f"process {process.pid} has ended")
        ours.close()


def real_form() -> ModuleType:
    """The real form; raises RunRefused where it isn't there."""
    try:
        return importlib.import_module(REAL_FORM)
    except ModuleNotFoundError as error:
        if error.name != REAL_FORM:
            raise
        raise RunRefused("the real form is not there") from None


# -- the command line ----------------------------------------------------------------------------------------


def _sizes(text: str) -> list[int]:
    sizes = [int(one) for one in text.split(",")]
    if min(sizes) < 2:
        raise ValueError
    return sizes


def parse(arguments: list[str] | None = None) -> tuple[argparse.Namespace, list[Workload]]:
    """The flags and the workload of each size."""
    parser = argparse.ArgumentParser(
        prog="python -m snowwick.lab.scale",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("form", nargs="?", choices=["simulated", "real"], default="simulated")
    parser.add_argument(
        "--members",
        type=_sizes,
        metavar="N,N,...",
        help=f"sizes of the fleet, one row each (default {MEMBERS})",
    )
    parser.add_argument(
        "--real",
        type=int,
        default=REAL,
        metavar="N",
        help="in the real form, how many of the members are processes (default %(default)s)",
    )
    parser.add_argument(
        "--quick",
        action="store_true",
        help=f"sizes {QUICK_MEMBERS} and " + ", ".join(f"{k} {v}" for k, v in QUICK.items()),
    )
    parser.add_argument("--json", type=Path, metavar="FILE", help="keep the rows there")
    parser.add_argument(
        "--most-minutes",
        type=float,
        default=MOST_MINUTES,
        metavar="N",
        help="refuse what is estimated to take longer (default %(default)g)",
    )
    for one in fields(Workload):
        if one.name == "members":
            continue
        what = f"{one.metadata.get('help', '')} (default {one.default})".strip().replace("%", "%%")
        parser.add_argument(
            "--" + one.name.replace("_", "-"),
            type=type(one.default),
            metavar="X",
            choices=["none", "restarts", "all"] if one.name == "faults" else None,
            help=what,
        )
    given = parser.parse_args(arguments)
    chosen = {
        one.name: getattr(given, one.name)
        for one in fields(Workload)
        if one.name != "members" and getattr(given, one.name) is not None
    }
    chosen = {**(QUICK if given.quick else {}), **chosen}
    sizes = given.members or _sizes(QUICK_MEMBERS if given.quick else MEMBERS)
    for name in ("seconds", "period", "idle_s", "burst_s", "wave_s", "burst_factor"):
        if chosen.get(name, 1.0) <= 0.0:
            parser.error(f"--{name.replace('_', '-')} has to be above 0")
    return given, [Workload(members=size, **chosen) for size in sizes]


def table(rows: list[ResultRow]) -> str:
    """The rows for reading; times in s, kB a member and second, percents of a core."""
    head = (
        f"{'members':>8}{'kB/s out':>10}{'frames/s':>10}{'core %':>8}{'worst %':>8}{'refs/s':>8}{'MB':>7}"
        f"{'p50':>7}{'p99':>7}{'worst':>7}{'start':>7}{'start kB':>10}{'late p99':>9}{'shed/s':>8}"
        f"{'false':>6}"
    )
    lines = [head]
    for row in rows:

        def text(value: float | None, form: str = "{:.2f}") -> str:
            return form.format(value) if value is not None else "-"

        lines.append(
            f"{row['members']:>8}{row['bytes_out'] / 1e3:>10.1f}{row['datagrams_out']:>10.1f}"
            f"{100 * row['core']:>8.2f}{100 * row['worst']['core']:>8.2f}{row['reference']:>8.0f}"
            f"{row['memory'] / 1e6:>7.2f}{text(row['everywhere_p50_s']):>7}{text(row['everywhere_p99_s']):>7}"
            f"{text(row['everywhere_worst_s']):>7}{text(row['start_s']):>7}"
            f"{text(row['start_bytes'] / 1e3 if row['start_bytes'] is not None else None, '{:.0f}'):>10}"
            f"{text(row['load_late_p99_s']):>9}{row['shed']:>8.1f}{row['false_deaths']:>6}"
        )
    return "\n".join(lines)


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _end(number: int, frame: FrameType | None) -> NoReturn:
    raise KeyboardInterrupt


def main(arguments: list[str] | None = None) -> None:
    given, workloads = parse(arguments)
    form = cast(Literal["simulated", "real"], given.form)
    try:
        real = real_form() if form == "real" else None
        if real is None:
            seconds, need = check(workloads, 60.0 * given.most_minutes, room())
            _say(f"about {seconds / 60.0:.1f} minutes and {need / 1e9:.2f} GB")
        else:
            for w in workloads:
                need = real.estimate_bytes(min(given.real, w.members), max(0, w.members - given.real))
                if need > room():
                    raise RunRefused(
                        f"{w.members} members would take {need / 1e9:.1f} GB, "
                        f"{room() / 1e9:.1f} GB are allowed: fewer whole ones may fit, --real"
                    )
    except RunRefused as refused:
        _say(f"refused: {refused}")
        sys.exit(2)
    words = sys.argv[1:] if arguments is None else arguments
    kept = Kept(
        ResultFile(
            form=form,
            command=shlex.join(["python", "-m", "snowwick.lab.scale", *words]),
            date=time.strftime("%Y-%m-%d"),
            machine=host(),
            workload={**asdict(workloads[0]), "members": [w.members for w in workloads]},
            rows=[],
            complete=False,
            ended="under way",
        ),
        given.json,
    )
    for one in (signal.SIGINT, signal.SIGTERM):  # also where a shell has started it with SIGINT ignored
        signal.signal(one, _end)
    try:
        kept.rewrite()
        for w in workloads:
            last: list[Mapping[str, object]] = []

            def keep(row: Mapping[str, object], last: list[Mapping[str, object]] = last) -> None:
                last[:] = [row]
                kept.rewrite(row)

            try:
                if real is None:
                    row = run_simulated(w, _say, keep)
                else:
                    row = real.play(w, min(given.real, w.members), max(0, w.members - given.real), _say, keep)
            except BaseException:
                if last:
                    kept.result["rows"].append(cast(ResultRow, {**last[0], "partial": True}))
                raise
            kept.result["rows"].append(row)
            kept.rewrite()
    except (KeyboardInterrupt, Exception) as error:
        stopped = isinstance(error, KeyboardInterrupt)
        kept.result["ended"] = "interrupted" if stopped else f"failed: {type(error).__name__}: {error}"
        kept.rewrite()
        _say(
            f"{kept.result['ended']}; all that was started has ended"
            + (f"; {len(kept.result['rows'])} rows are in {given.json}" if given.json else "")
        )
        sys.exit(1)
    kept.result["complete"], kept.result["ended"] = True, "all played"
    kept.rewrite()
    print(table(kept.result["rows"]))


if __name__ == "__main__":
    main()
