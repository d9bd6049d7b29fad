"""Control cost of a balancer as the fleet grows, extrapolated to the target's 5,700 balancers.

    python -m benchmarks.scale [--quick] --json FILE

Runs the simulated form of ``snowwick.lab.scale`` at several sizes and fits the model of the capacity page
(docs/CAPACITY.md) to the results.  The largest size is left out of a first fit, which has to predict it.

With one load update per member and second, frames are full from about 50 members on, and no fit is valid
across that change of regime.  The error of the prediction is therefore measured in a *second series*, in
which each member writes one load update in 8 s and frames are not full at any size.  Its figure is the
largest error of bytes out, bytes in, the processor of the protocol and memory in that series, and of the
processor of reading the registers.  The latter is taken from the first series, as it does not depend on the
rate of updates; together the two processor quantities are the control processor.  The errors of the first
series are reported without a bound.  A figure that is neither measured nor fitted is infinite.
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

BUDGET_NAMES = {
    "bytes_out": "control bytes",
    "bytes_in": "control bytes",
    "control_core": "control core",
    "memory": "control memory",
}
QUICK_WORKLOAD = Workload(
    0, seconds=8.0, idle_s=1.0, burst_s=1.0, drain_s=2.0, faults="restarts", restart_s=0.5, failure_s=1.0
)
QUICK_SIZES = (2, 4, 8, 16, 32, 64)
FULL_WORKLOAD = Workload(0, seconds=20.0, idle_s=3.0, burst_s=5.0, drain_s=10.0, faults="restarts")
FULL_SIZES = (8, 16, 32, 64, 128, 256, 512)
SLOW_LOAD_UPDATES_PER_S = 0.125  # of each member in the second series
QUICK_SLOW_SIZES = (2, 4, 8, 16, 32, 64)
FULL_SLOW_SIZES = (4, 8, 16, 32, 64, 128)
PREDICTED_QUANTITIES = ("bytes_out", "bytes_in", "core", "memory")


def run_sizes(workload: Workload, sizes: Sequence[int]) -> list[Row]:
    """Run each size in a process of its own; returns a row for each."""
    rows: list[Row] = []
    for count in sizes:
        began = time.monotonic()
        sized_workload = replace(workload, members=count)
        rows.append(run_simulated(sized_workload, lambda text: None, lambda row: None))
        print(
            f"{count} members, {workload.load_writes:g} load updates per second each: "
            f"took {time.monotonic() - began:.1f} s",
            file=sys.stderr,
            flush=True,
        )
    return rows


def growth_ratio(rows: Sequence[Row], quantity: str) -> float:
    """A quantity at the largest size over that at the size before, which is half of it."""
    values = [row_value(row, quantity) for row in rows[-2:]]
    smaller = values[0]
    larger = values[-1]
    return larger / smaller if smaller and larger is not None else math.inf


def absolute_error(estimate: Estimate) -> float:
    """The relative error, without its sign, of the prediction for the size that was left out."""
    return abs(estimate.validation.error) if estimate.validation is not None else math.inf


def figures(rows: Sequence[Row], slow_rows: Sequence[Row] = ()) -> tuple[dict[str, Figure], dict[str, float]]:
    """Return the figures with their bounds, and the values without a bound; rows are ordered by size.

    ``slow_rows`` is the second series; without it, the largest size of ``rows`` is predicted.
    """
    model = Model(
        merge_results(
            [
                ("simulated", {"form": "simulated", "rows": rows}),
                (
                    "simulated-slow",
                    {
                        "form": "simulated",
                        "workload": {"load_writes": SLOW_LOAD_UPDATES_PER_S},
                        "rows": slow_rows,
                    },
                ),
            ]
        )
    )
    rows = model.measurements.simulated
    at_target = {quantity: model.control_estimate(quantity) for quantity in BUDGET_NAMES}
    validated = at_target
    if slow_rows:
        validated = {
            f"{quantity} at {SLOW_LOAD_UPDATES_PER_S:g} loads told a second": model.control_estimate(
                quantity, SLOW_LOAD_UPDATES_PER_S
            )
            for quantity in PREDICTED_QUANTITIES
        }
        validated["heed_core"] = model.control_estimate("heed_core")
    largest = rows[-1]
    count = int(largest["members"])

    def value_or_infinity(row: Row, quantity: str) -> float:
        value = row_value(row, quantity)
        return value if value is not None else math.inf

    with_bound = {}
    for quantity, budget_name in BUDGET_NAMES.items():
        estimated = at_target[quantity].value
        with_bound[f"{GROWTH_MODELS[quantity].title} at 5,700, over its budget"] = Figure(
            estimated / target_value(budget_name) if estimated is not None else math.inf, 1.0, "lower"
        )
    false_deaths = [total_false_deaths(row) for row in rows]
    half = rows[-2]["members"]
    with_bound |= {
        f"everywhere, p99 over 8 s, {count} members": Figure(
            value_or_infinity(largest, "everywhere_p99_s") / target_value("configuration propagation time"),
            1.0,
            "lower",
        ),
        "size left out, worst relative error": Figure(
            max(map(absolute_error, validated.values())), 0.15, "lower"
        ),
        f"bytes out, {count} members over {half}": Figure(growth_ratio(rows, "bytes_out"), 1.15, "lower"),
        "error of the sums": Figure(value_or_infinity(largest, "load_error"), 0.05, "lower"),
        "false deaths": Figure(
            sum(math.inf if deaths is None else deaths for deaths in false_deaths), 0.0, "lower"
        ),
        f"bytes of a start, {count} over {half}": Figure(growth_ratio(rows, "start_bytes"), 1.2, "lower"),
    }
    without_bound = {
        f"{name}, error of the size left out": estimate.validation.error
        for name, estimate in (at_target | validated).items()
        if estimate.validation is not None
    }
    # Above 0 if frames become full in the series that is predicted; its largest size is then predicted across
    # a change of regime.
    without_bound["size from which frames are full in the predicted series, 0 for none"] = (
        first_full_size(model.measurements.series.get(SLOW_LOAD_UPDATES_PER_S, ()) if slow_rows else rows)
        or 0.0
    )
    for row in rows:
        for quantity in (
            *BUDGET_NAMES,
            "datagrams_out",
            "core",
            "heed_core",
            "everywhere_p99_s",
            "load_error",
            "load_late_p99_s",
            "shed",
            "start_bytes",
        ):
            if (value := row_value(row, quantity)) is not None:
                without_bound[f"{quantity} at {row['members']}"] = value
    return with_bound, without_bound


def main() -> None:
    options = parse_options(__doc__ or "")
    workload, sizes, slow_sizes = (
        (QUICK_WORKLOAD, QUICK_SIZES, QUICK_SLOW_SIZES)
        if options.quick
        else (FULL_WORKLOAD, FULL_SIZES, FULL_SLOW_SIZES)
    )
    rows = run_sizes(workload, sizes)
    print(
        f"the size left out is that of a second series with {SLOW_LOAD_UPDATES_PER_S:g} load updates "
        f"per second and member: with {workload.load_writes:g}, frames are full from about 50 members on",
        file=sys.stderr,
        flush=True,
    )
    report(
        *figures(rows, run_sizes(replace(workload, load_writes=SLOW_LOAD_UPDATES_PER_S), slow_sizes)),
        options.json,
    )


if __name__ == "__main__":
    main()
