"""What control costs a balancer as the fleet grows, and what that comes to at the target's 5,700.

    python -m benchmarks.scale [--quick] --json FILE

The simulated form of ``snowwick.lab.scale`` at several sizes; the capacity page's model (docs/CAPACITY.md) is
fitted to them.  The size left out is the largest.

At one load told a second frames are full from some 50 members on, and no fit holds across that change; the
figure of the size left out therefore comes from a *second series*, in which each member tells one load in
8 s and frames are not full at any of its sizes.  Its worst error is over bytes out, bytes in, the protocol's
processor and memory there, and over reading the registers, which is read from the first series as it does
not depend on how often is told (the two parts of the control processor, each for itself).  What the first
series misses by stands beside it.  A figure that a run does not give, or that no fit gives, is infinite.
"""

from __future__ import annotations

import math
import sys
import time
from collections.abc import Sequence
from dataclasses import replace

from benchmarks.figures import Figure, parse_options, report
from snowwick.lab.capacity_model import (
    GROWTH_MODELS,
    Estimate,
    Model,
    Row,
    first_full_size,
    merge_results,
    row_value,
    target_value,
    total_false_deaths,
)
from snowwick.lab.scale import run_simulated
from snowwick.lab.workload import Workload

BUDGETS = {
    "bytes_out": "control bytes",
    "bytes_in": "control bytes",
    "control_core": "control core",
    "memory": "control memory",
}
QUICK = Workload(
    0, seconds=8.0, idle_s=1.0, burst_s=1.0, drain_s=2.0, faults="restarts", restart_s=0.5, failure_s=1.0
)
QUICK_SIZES = (2, 4, 8, 16, 32, 64)
WHOLE = Workload(0, seconds=20.0, idle_s=3.0, burst_s=5.0, drain_s=10.0, faults="restarts")
WHOLE_SIZES = (8, 16, 32, 64, 128, 256, 512)
SLOW = 0.125  # loads that a member tells a second in the series whose largest size is predicted
SLOW_QUICK_SIZES, SLOW_WHOLE_SIZES = (2, 4, 8, 16, 32, 64), (4, 8, 16, 32, 64, 128)
PREDICTED = ("bytes_out", "bytes_in", "core", "memory")


def played(workload: Workload, sizes: Sequence[int]) -> list[Row]:
    """A row for each size, each in a process of its own."""
    rows: list[Row] = []
    for count in sizes:
        began = time.monotonic()
        w = replace(workload, members=count)
        rows.append(run_simulated(w, lambda text: None, lambda row: None))
        print(
            f"{count} members, {workload.load_writes:g} loads told a second: "
            f"{time.monotonic() - began:.1f} s",
            file=sys.stderr,
            flush=True,
        )
    return rows


def ratio(rows: Sequence[Row], quantity: str) -> float:
    """The largest size's over that of the size before, which is half of it."""
    some = [row_value(row, quantity) for row in rows[-2:]]
    one, other = some[0], some[-1]
    return other / one if one and other is not None else math.inf


def error(one: Estimate) -> float:
    """Of the size that was left out, without its sign."""
    return abs(one.validation.error) if one.validation is not None else math.inf


def figures(rows: Sequence[Row], slow: Sequence[Row] = ()) -> tuple[dict[str, Figure], dict[str, float]]:
    """The figures with their bounds, and what stands beside them; rows by size.

    ``slow`` is the series whose largest size is predicted; without it, ``rows`` are.
    """
    model = Model(
        merge_results(
            [
                ("simulated", {"form": "simulated", "rows": rows}),
                ("simulated-slow", {"form": "simulated", "workload": {"load_writes": SLOW}, "rows": slow}),
            ]
        )
    )
    rows = model.measurements.simulated
    at = {name: model.control_estimate(name) for name in BUDGETS}
    tested = at
    if slow:
        tested = {
            f"{name} at {SLOW:g} loads told a second": model.control_estimate(name, SLOW)
            for name in PREDICTED
        }
        tested["heed_core"] = model.control_estimate("heed_core")
    last = rows[-1]
    count = int(last["members"])

    def value(row: Row, name: str) -> float:
        found = row_value(row, name)
        return found if found is not None else math.inf

    found = {}
    for name, budget in BUDGETS.items():
        reached = at[name].value
        found[f"{GROWTH_MODELS[name].title} at 5,700, over its budget"] = Figure(
            reached / target_value(budget) if reached is not None else math.inf, 1.0, "lower"
        )
    deaths = [total_false_deaths(row) for row in rows]
    half = rows[-2]["members"]
    found |= {
        f"everywhere, p99 over 8 s, {count} members": Figure(
            value(last, "everywhere_p99_s") / target_value("configuration propagation time"), 1.0, "lower"
        ),
        "size left out, worst relative error": Figure(max(map(error, tested.values())), 0.15, "lower"),
        f"bytes out, {count} members over {half}": Figure(ratio(rows, "bytes_out"), 1.15, "lower"),
        "error of the sums": Figure(value(last, "load_error"), 0.05, "lower"),
        "false deaths": Figure(sum(math.inf if one is None else one for one in deaths), 0.0, "lower"),
        f"bytes of a start, {count} over {half}": Figure(ratio(rows, "start_bytes"), 1.2, "lower"),
    }
    beside = {
        f"{name}, error of the size left out": one.validation.error
        for name, one in (at | tested).items()
        if one.validation is not None
    }
    # Above 0 where the series that is predicted comes to full frames: the test runs across the change then
    beside["size from which frames are full in the predicted series, 0 for none"] = (
        first_full_size(model.measurements.series.get(SLOW, ()) if slow else rows) or 0.0
    )
    for row in rows:
        for name in (
            *BUDGETS,
            "datagrams_out",
            "core",
            "heed_core",
            "everywhere_p99_s",
            "load_error",
            "load_late_p99_s",
            "shed",
            "start_bytes",
        ):
            if (one := row_value(row, name)) is not None:
                beside[f"{name} at {row['members']}"] = one
    return found, beside


def main() -> None:
    options = parse_options(__doc__ or "")
    workload, sizes, slow = (
        (QUICK, QUICK_SIZES, SLOW_QUICK_SIZES) if options.quick else (WHOLE, WHOLE_SIZES, SLOW_WHOLE_SIZES)
    )
    rows = played(workload, sizes)
    print(
        f"the size left out is that of a second series, at {SLOW:g} loads told a second: at "
        f"{workload.load_writes:g} frames are full from some 50 members on",
        file=sys.stderr,
        flush=True,
    )
    report(*figures(rows, played(replace(workload, load_writes=SLOW), slow)), options.json)


if __name__ == "__main__":
    main()
