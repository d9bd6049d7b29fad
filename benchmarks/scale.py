"""What control costs a balancer as the fleet grows, and what that comes to at the target's 5,700.

    python -m benchmarks.scale [--quick] --json FILE

The simulated form of ``snowwick.lab.scale`` at several sizes; the capacity page's model (docs/CAPACITY.md) is
fitted to them.  The size left out is the largest; its worst error is over the four quantities of the budgets.
A figure that a run does not give, or that no fit gives, is infinite.
"""

from __future__ import annotations

import math
import sys
import time
from collections.abc import Sequence
from dataclasses import replace

from benchmarks.figures import Figure, options, report
from snowwick.lab.capacity_model import (
    FORMS,
    Estimate,
    Model,
    Row,
    false_deaths,
    merge,
    of,
    target,
)
from snowwick.lab.scale import simulated
from snowwick.lab.workload import Workload

BUDGETS = {"bytes_out": "control bytes", "bytes_in": "control bytes", "control_core": "control core",
           "memory": "control memory"}
QUICK = Workload(0, seconds=8.0, idle_s=1.0, burst_s=1.0, drain_s=2.0, faults="restarts", restart_s=0.5,
                 failure_s=1.0)
QUICK_SIZES = (2, 4, 8, 16, 32, 64)
WHOLE = Workload(0, seconds=20.0, idle_s=3.0, burst_s=5.0, drain_s=10.0, faults="restarts")
WHOLE_SIZES = (8, 16, 32, 64, 128, 256, 512)


def played(workload: Workload, sizes: Sequence[int]) -> list[Row]:
    """A row for each size, each in a process of its own."""
    rows: list[Row] = []
    for count in sizes:
        began = time.monotonic()
        w = replace(workload, members=count)
        rows.append(simulated(w, lambda text: None, lambda row: None))
        print(f"{count} members: {time.monotonic() - began:.1f} s", file=sys.stderr, flush=True)
    return list(merge([("simulated", {"form": "simulated", "rows": rows})]).simulated)


def ratio(rows: Sequence[Row], quantity: str) -> float:
    """The largest size's over that of the size before, which is half of it."""
    some = [of(row, quantity) for row in rows[-2:]]
    one, other = some[0], some[-1]
    return other / one if one and other is not None else math.inf


def error(one: Estimate) -> float:
    """Of the size that was left out, without its sign."""
    return abs(one.left.error) if one.left is not None else math.inf


def figures(rows: Sequence[Row]) -> tuple[dict[str, Figure], dict[str, float]]:
    """The figures with their bounds, and what stands beside them; rows by size."""
    model = Model(merge([("simulated", {"form": "simulated", "rows": rows})]))
    at = {name: model.of(name) for name in BUDGETS}
    last = rows[-1]
    count = int(last["members"])

    def value(row: Row, name: str) -> float:
        found = of(row, name)
        return found if found is not None else math.inf

    found = {}
    for name, budget in BUDGETS.items():
        reached = at[name].value
        found[f"{FORMS[name].title} at 5,700, over its budget"] = Figure(
            reached / target(budget) if reached is not None else math.inf, 1.0, "lower")
    deaths = [false_deaths(row) for row in rows]
    half = rows[-2]["members"]
    found |= {
        f"everywhere, p99 over 8 s, {count} members": Figure(
            value(last, "everywhere_p99_s") / target("in force everywhere"), 1.0, "lower"),
        "size left out, worst relative error": Figure(max(map(error, at.values())), 0.15, "lower"),
        f"bytes out, {count} members over {half}": Figure(ratio(rows, "bytes_out"), 1.15, "lower"),
        "error of the sums": Figure(value(last, "load_error"), 0.05, "lower"),
        "false deaths": Figure(sum(math.inf if one is None else one for one in deaths), 0.0, "lower"),
        f"bytes of a start, {count} over {half}": Figure(ratio(rows, "start_bytes"), 1.2, "lower"),
    }
    beside = {f"{name}, error of the size left out": one.left.error
              for name, one in at.items() if one.left is not None}
    for row in rows:
        for name in (*BUDGETS, "datagrams_out", "core", "heed_core", "everywhere_p99_s", "load_error",
                     "load_late_p99_s", "shed", "start_bytes"):
            if (one := of(row, name)) is not None:
                beside[f"{name} at {row['members']}"] = one
    return found, beside


def main() -> None:
    given = options(__doc__ or "")
    rows = played(QUICK, QUICK_SIZES) if given.quick else played(WHOLE, WHOLE_SIZES)
    report(*figures(rows), given.json)


if __name__ == "__main__":
    main()
