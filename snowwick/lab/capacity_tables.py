"""The tables of ``docs/CAPACITY.md``, each a pure function of the capacity model."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

from snowwick.fleet import node, store, wire
from snowwick.lab.capacity_model import (
    ASSUMPTIONS,
    CONTROL_BUDGETS,
    DATA_PATH_GROWTH_MODELS,
    GROWTH_MODELS,
    MAX_FLEET_MEMBERS,
    MAX_FRAMES_PER_PERIOD,
    NOT_MEASURED,
    PERIOD_S,
    PHASE_TITLES,
    RANGE_HASHES_OVERFLOW_OWNERS,
    TARGETS,
    VALIDATION_TOLERANCE_FRACTION,
    Estimate,
    GrowthModel,
    Measurements,
    Model,
    Validation,
    assumed_value,
    budget_verdict,
    first_full_size,
    format_number,
    format_value,
    growth_model_of,
    largest_fleet_within,
    lease_request_overflow_members,
    markdown_table,
    max_bytes_per_s,
    range_hashes_frame_bytes,
    regime_text,
    row_value,
    scale_to_update_rate,
    target_value,
    total_false_deaths,
    upper_bound,
    validations,
)
from snowwick.lab.capacity_roles import cell_options_table, functions_table, other_options_table

MISSING_MECHANISMS = (
    ("placement of shards", "840,000 shards"),
    ("deliveries, 99th percentile", "390 ms"),
    ("contents of a configuration change, in force everywhere", "8 s"),
)
PHASE_QUANTITIES = ("bytes_out", "bytes_in", "control_core", "everywhere_p99_s", "load_late_p99_s")
SIZE_QUANTITIES = (
    "bytes_out",
    "bytes_in",
    "datagrams_out",
    "core",
    "reference",
    "heed_core",
    "memory",
    "idle_bytes_out",
    "idle_core",
    "everywhere_p99_s",
    "start_bytes",
    "start_s",
    "load_age_p99_s",
    "load_late_p99_s",
)


def summary_table(model: Model) -> str:
    """Each figure at the target with its budget, sorted by the ratio of both, the highest first.

    The last column has the same figure with less frequent load updates, from the series with the lowest rate.
    """
    rows: list[tuple[float, list[str]]] = []

    def add(
        name: str,
        value: float | None,
        unit: str,
        budget: float,
        status: str,
        factor: float | None = None,
        past_bound: bool = False,
        slowest_series: str = "unchanged",
        value_suffix: str = "",
    ) -> None:
        """Add a row; where ``value`` is None, ``status`` is shown in its place."""
        if value is None:
            rows.append((-1.0, [name, status, format_value(budget, unit), "-", "-", "-", slowest_series]))
            return
        ratio = value / budget if budget else (math.inf if value else 0.0)
        verdict = (
            f"undecided: {format_number(ratio)} of it if the code had no limit"
            if past_bound and ratio <= 1.0
            else budget_verdict(ratio)
        )
        rows.append(
            (
                ratio,
                [
                    name,
                    format_value(value, unit) + value_suffix,
                    format_value(budget, unit),
                    verdict,
                    f"{format_number(factor)} times" if factor is not None else "-",
                    status,
                    slowest_series,
                ],
            )
        )

    for quantity, budget in CONTROL_BUDGETS.items():
        growth_model, estimate = growth_model_of(quantity), model.control_estimate(quantity)
        phase = quantity.rpartition(".")[0]
        title = growth_model.title + (f", {PHASE_TITLES[phase + '.']}" if phase else "")
        add(
            title,
            estimate.value,
            growth_model.unit,
            target_value(budget),
            estimate.status_text,
            estimate.extrapolation_factor,
            estimate.past_bound,
            slowest_series_text(model, quantity, growth_model, target_value(budget)),
            ", calculated upper bound" if estimate.capped else "",
        )
    for title, connections, lines_per_s in model.day_scenarios():
        estimate = model.data_path_estimate("line_s", connections)
        add(
            f"data path, {title}: {format_number(lines_per_s)} lines per second at "
            f"{format_number(connections)} connections",
            None if estimate.value is None else estimate.value * lines_per_s,
            "core",
            assumed_value("data path cores"),
            estimate.status_text,
            estimate.extrapolation_factor,
        )
    add("members whose frames a balancer accepts", model.balancers, "", float(wire.MAX_SENDERS), "calculated")
    add(
        "frame with the range hashes",
        float(range_hashes_frame_bytes(int(model.balancers))),
        "bytes",
        float(wire.MAX_FRAME_BYTES),
        "calculated",
    )
    false_deaths = [
        count for row in model.measurements.simulated if (count := total_false_deaths(row)) is not None
    ]
    slowest_rows = (
        model.measurements.series.get(model.slowest_load_update_rate, ())
        if model.slowest_load_update_rate is not None
        else ()
    )
    slowest_false_deaths = [count for row in slowest_rows if (count := total_false_deaths(row)) is not None]
    add(
        "members falsely declared dead, in the runs of all sizes",
        float(sum(false_deaths)) if false_deaths else None,
        "",
        0.0,
        "measured" if false_deaths else NOT_MEASURED,
        slowest_series=format_number(sum(slowest_false_deaths)) if slowest_false_deaths else NOT_MEASURED,
    )
    rows += [
        (-0.5, [name, "missing", budget, "**no mechanism**", "-", "-", "unchanged"])
        for name, budget in MISSING_MECHANISMS
    ]
    rows.sort(key=lambda row: -row[0])
    rate_suffix = (
        f", {format_number(model.slowest_load_update_rate)}/s"
        if model.slowest_load_update_rate is not None
        else ""
    )
    return markdown_table(
        [
            "at the target",
            "figure",
            "budget",
            "verdict",
            "extrapolated",
            "validation",
            f"with less frequent load updates{rate_suffix}",
        ],
        [row for _, row in rows],
    )


def slowest_series_text(model: Model, quantity: str, growth_model: GrowthModel, budget: float) -> str:
    """The quantity at the target by the series with the lowest rate of load updates, and its verdict."""
    if model.slowest_load_update_rate is None:
        return NOT_MEASURED
    estimate = model.control_estimate(quantity, model.slowest_load_update_rate)
    if estimate.value is None:
        return estimate.missing_reason
    ratio = estimate.value / budget
    verdict = (
        f"undecided: {format_number(ratio)} of it"
        if (estimate.past_bound or estimate.regime_end) and ratio <= 1.0
        else budget_verdict(ratio)
    )
    return f"{estimate.text(growth_model.unit)}, {verdict}; {estimate.status_text}"


# -- fits and validations ------------------------------------------------------------------------------------


def sizes_text(sizes: Sequence[float]) -> str:
    return ", ".join(format_number(size) for size in sizes) or "none"


def rate_text(load_update_rate: float | None) -> str:
    return f"{format_number(load_update_rate)}/s" if load_update_rate is not None else "-"


def load_update_rates(model: Model) -> list[float]:
    """The rates of the series, the target's first, then from the highest to the lowest."""
    return [
        model.load_update_rate,
        *(rate for rate in sorted(model.measurements.series, reverse=True) if rate != model.load_update_rate),
    ]


def fits_table(model: Model) -> str:
    """The fit and the estimate of each quantity, for each series and for the data path."""
    estimates: list[tuple[float | None, float, GrowthModel, Estimate]] = [
        (rate, model.balancers, growth_model, model.control_estimate(growth_model.quantity, rate))
        for rate in load_update_rates(model)
        for growth_model in GROWTH_MODELS.values()
    ]
    estimates += [
        (
            None,
            model.connections,
            growth_model,
            model.data_path_estimate(growth_model.quantity, model.connections),
        )
        for growth_model in DATA_PATH_GROWTH_MODELS.values()
    ]
    rows = []
    for rate, target_size, growth_model, estimate in estimates:
        rows.append(
            [
                growth_model.title,
                estimate.fit.formula_text(target_size)
                if estimate.fit is not None
                else estimate.missing_reason or "sum of its two parts",
                growth_model.unit,
                sizes_text(estimate.sizes),
                sizes_text(estimate.fit.sizes) if estimate.fit is not None else "-",
                estimate.text(growth_model.unit),
                f"{format_number(estimate.extrapolation_factor)} times"
                if estimate.extrapolation_factor is not None
                else "-",
                estimate.status_text,
                rate_text(rate),
            ]
        )
    return markdown_table(
        [
            "quantity",
            "fit",
            "unit",
            "measured sizes",
            "fitted sizes",
            "at the target",
            "extrapolated",
            "validation",
            "load updates per member",
        ],
        rows,
    )


def _validation_cells(
    growth_model: GrowthModel, load_update_rate: float | None, size_unit: str, validation: Validation
) -> list[str]:
    """The row of a validation, with the columns of ``VALIDATION_COLUMNS``."""
    regime = (
        "-"
        if load_update_rate is None
        else "one basis for both"
        if growth_model.full_frames_basis is None
        else regime_text(validation.first_full_size)
    )
    return [
        growth_model.title,
        rate_text(load_update_rate),
        regime,
        sizes_text(validation.fit.sizes),
        f"{format_number(validation.size)} {size_unit}",
        f"{100.0 * validation.expected_frame_fill:.0f}%"
        if validation.expected_frame_fill is not None
        else "-",
        format_value(validation.predicted, growth_model.unit),
        format_value(validation.measured, growth_model.unit),
        f"{100.0 * validation.error:+.1f}%",
        "passed" if validation.passed else "FAILED",
    ]


VALIDATION_COLUMNS = [
    "quantity",
    "load updates per member",
    "regime of the fit",
    "fitted sizes",
    "size left out",
    "frame fill predicted by the fit",
    "predicted",
    "measured",
    "error",
    f"within {100.0 * VALIDATION_TOLERANCE_FRACTION:.0f}%",
]


def _validations_by_quantity(
    model: Model, load_update_rate: float
) -> list[tuple[GrowthModel, list[Validation]]]:
    rows = model.measurements.series.get(load_update_rate, ())
    return [(growth_model, validations(growth_model, rows)) for growth_model in GROWTH_MODELS.values()]


def validation_table(model: Model) -> str:
    """The validations within one regime: each series, quantity and size with enough smaller sizes."""
    rows = []
    for rate in load_update_rates(model):
        for growth_model, all_validations in _validations_by_quantity(model, rate):
            within_regime = [validation for validation in all_validations if not validation.crosses_regimes]
            rows += [
                _validation_cells(growth_model, rate, "members", validation) for validation in within_regime
            ]
            if not within_regime:
                reason = (
                    "across the change of regime: see below"
                    if all_validations
                    else model.control_estimate(growth_model.quantity, rate).missing_reason
                )
                if not all_validations and not reason and growth_model.quantity == "control_core":
                    reason = "its parts are tested: the protocol here, the reading at the target's rate"
                rows.append(
                    [
                        growth_model.title,
                        rate_text(rate),
                        reason or "not tested: too few sizes below the largest",
                        *["-"] * (len(VALIDATION_COLUMNS) - 3),
                    ]
                )
    for growth_model in DATA_PATH_GROWTH_MODELS.values():
        estimate = model.data_path_estimate(growth_model.quantity, model.connections)
        rows.append(
            _validation_cells(growth_model, None, "connections", estimate.validation)
            if estimate.validation is not None
            else [
                growth_model.title,
                "-",
                estimate.missing_reason or "not tested: too few sizes below the largest",
                *["-"] * (len(VALIDATION_COLUMNS) - 3),
            ]
        )
    return markdown_table(VALIDATION_COLUMNS, rows)


def cross_regime_table(model: Model) -> str:
    """The validations whose fitted sizes include full frames, or whose predicted frames are overfull."""
    rows = [
        _validation_cells(growth_model, rate, "members", validation)
        for rate in load_update_rates(model)
        for growth_model, all_validations in _validations_by_quantity(model, rate)
        for validation in all_validations
        if validation.crosses_regimes
    ]
    return markdown_table(VALIDATION_COLUMNS, rows or [["none", *["-"] * (len(VALIDATION_COLUMNS) - 1)]])


# -- growth while frames are not full ------------------------------------------------------------------------

BUDGET_QUANTITIES = ("bytes_out", "bytes_in", "control_core", "memory", "everywhere_p99_s")
RATE_CHECK_QUANTITIES = ("bytes_out", "bytes_in", "datagrams_out", "core", "memory")


def largest_fleets_table(model: Model) -> str:
    """The largest fleet within each budget while frames are not full, and the extrapolation to the target."""
    rates = (
        model.load_update_rate,
        model.slowest_load_update_rate
        if model.slowest_load_update_rate is not None
        else model.load_update_rate,
    )
    rows = []
    for quantity in BUDGET_QUANTITIES:
        growth_model, budget, slowest_fit = (
            GROWTH_MODELS[quantity],
            target_value(CONTROL_BUDGETS[quantity]),
            model.fit_below_full_frames(quantity),
        )
        cells = [f"{growth_model.title}, {format_value(budget, growth_model.unit)}"]
        if slowest_fit is None or model.slowest_load_update_rate is None:
            rows.append(
                [*cells, NOT_MEASURED, *["-"] * 3, _measured_limits_text(model, quantity, budget), "-", "-"]
            )
            continue
        cells += [slowest_fit.formula_text(model.balancers), sizes_text(slowest_fit.sizes)]
        fits = [scale_to_update_rate(slowest_fit, rate / model.slowest_load_update_rate) for rate in rates]
        for rate, fit in zip(rates, fits, strict=True):
            fleet, regime_end = (
                largest_fleet_within(fit, budget),
                model.regime_end(rate) if growth_model.full_frames_basis is not None else None,
            )
            limit_text = (
                f", if the code had no limit at {format_number(RANGE_HASHES_OVERFLOW_OWNERS)}"
                if fleet >= RANGE_HASHES_OVERFLOW_OWNERS
                else ""
            )
            fleet_text = "any size" if fleet >= MAX_FLEET_MEMBERS - 1 else f"{format_number(fleet)} members"
            if regime_end is not None and fleet > regime_end:
                fleet_text, limit_text = (
                    f"{format_number(regime_end)} members, where frames become full and the fit ends",
                    "",
                )
            cells.append(f"{fleet_text}{limit_text}" if fleet else "none")
        cells += [
            _measured_limits_text(model, quantity, budget),
            " and ".join(format_value(fit.value_at(model.balancers), growth_model.unit) for fit in fits),
        ]
        bound = upper_bound(quantity, model.balancers)
        cells.append(format_value(bound, growth_model.unit) if math.isfinite(bound) else "-")
        rows.append(cells)
    return markdown_table(
        [
            "budget of a balancer",
            "fit",
            "fitted sizes",
            *(f"largest fleet at {rate_text(rate)}" for rate in rates),
            f"measured sizes at {rate_text(model.load_update_rate)}",
            "the target by the fit, at " + " and ".join(map(rate_text, rates)),
            "calculated upper bound: what exceeds it is not sent",
        ],
        rows,
    )


def _measured_limits_text(model: Model, quantity: str, budget: float) -> str:
    """The measured sizes, at the target's rate, between which the budget is reached."""
    measured = [
        (float(row["members"]), value)
        for row in model.measurements.simulated
        if (value := row_value(row, quantity)) is not None
    ]
    smallest_over = min((size for size, value in measured if value > budget), default=math.inf)
    largest_within = max((size for size, value in measured if size < smallest_over), default=0.0)
    parts = [f"within budget up to {format_number(largest_within)}"] if largest_within else []
    parts += [f"over at {format_number(smallest_over)}"] if math.isfinite(smallest_over) else []
    return ", ".join(parts) or NOT_MEASURED


def rate_check_table(model: Model) -> str:
    """The slowest series' fit scaled to the target's rate, and the values measured there.

    Only sizes below full frames are compared.
    """
    rows = []
    first_full = first_full_size(model.measurements.simulated)
    for quantity in RATE_CHECK_QUANTITIES:
        slowest_fit, growth_model = model.fit_below_full_frames(quantity), GROWTH_MODELS[quantity]
        for row in (
            model.measurements.simulated if slowest_fit is not None and model.slowest_load_update_rate else ()
        ):
            value, size = row_value(row, quantity), float(row["members"])
            if (
                slowest_fit is None
                or not model.slowest_load_update_rate
                or value is None
                or (first_full is not None and size >= first_full)
            ):
                continue
            scaled = (
                slowest_fit
                if quantity == "memory"
                else scale_to_update_rate(
                    slowest_fit, model.load_update_rate / model.slowest_load_update_rate
                )
            )
            error = scaled.value_at(size) / value - 1.0 if value else math.inf
            rows.append(
                [
                    growth_model.title,
                    format_number(size),
                    format_value(scaled.value_at(size), growth_model.unit),
                    format_value(value, growth_model.unit),
                    f"{100.0 * error:+.1f}%",
                    "passed" if abs(error) <= VALIDATION_TOLERANCE_FRACTION else "FAILED",
                ]
            )
    return markdown_table(
        [
            "quantity",
            "members",
            "by the fit, scaled to the target's rate",
            "measured",
            "error",
            f"within {100.0 * VALIDATION_TOLERANCE_FRACTION:.0f}%",
        ],
        rows or [[NOT_MEASURED, *["-"] * 5]],
    )


def growth_models_table(model: Model) -> str:
    """The basis functions of each quantity with their reason."""
    rows = []
    for growth_model in (*GROWTH_MODELS.values(), *DATA_PATH_GROWTH_MODELS.values()):
        basis = ", ".join(growth_model.basis)
        if growth_model.full_frames_basis is not None:
            basis += f"; with full frames {', '.join(growth_model.full_frames_basis)}"
        rows.append([growth_model.title, basis, growth_model.reason])
    return markdown_table(["quantity", "growth model", "reason"], rows)


# -- measurements --------------------------------------------------------------------------------------------


def machine_text(machine: object) -> str:
    """The machine of a result file; "-" where the file does not describe it."""
    if not isinstance(machine, Mapping):
        return "-"
    memory = format_value(row_value(machine, "memory_bytes"), "bytes")
    return f"{machine.get('cores')} cores, {memory}, Python {machine.get('python')}"


def runs_table(model: Model) -> str:
    """The result files, with the command and the machine of each."""
    rows = [
        [
            file_name,
            str(file.get("form")),
            f"`{file.get('command', '')}`",
            str(file.get("date", "")),
            machine_text(file.get("machine")),
            str(sum(1 for row in file.get("rows", ()) if not row.get("partial"))),
            "complete" if file.get("complete") else f"incomplete: {file.get('ended', '')}",
        ]
        for file_name, file in model.measurements.runs
    ]
    return markdown_table(
        ["file", "form", "command", "date", "machine", "sizes", "run"],
        rows or [["none", NOT_MEASURED, *["-"] * 5]],
    )


def sizes_table(model: Model) -> str:
    """The measurements in the simulated network at each size."""
    rows = []
    for rate in load_update_rates(model):
        series_rows = model.measurements.series.get(rate, ())
        first_full = first_full_size(series_rows)
        for row in series_rows:
            bytes_out, frames = row_value(row, "bytes_out"), row_value(row, "datagrams_out")
            frame_fill = (
                f"{100.0 * bytes_out / frames / wire.MAX_FRAME_BYTES:.0f}%" if bytes_out and frames else "-"
            )
            if first_full is not None and float(row["members"]) >= first_full:
                frame_fill += ", full"
            rows.append(
                [
                    format_number(float(row["members"])),
                    rate_text(rate),
                    frame_fill,
                    *(
                        format_value(row_value(row, name), GROWTH_MODELS[name].unit)
                        for name in SIZE_QUANTITIES
                    ),
                    format_value(row_value(row, "load_error"), ""),
                    format_value(row_value(row, "shed"), "/s"),
                    format_value(total_false_deaths(row), ""),
                ]
            )
    header = [
        "members",
        "load updates per member",
        "frame fill",
        *(GROWTH_MODELS[name].title for name in SIZE_QUANTITIES),
        "error of the load sums",
        "entries shed",
        "members falsely declared dead, whole run",
    ]
    return markdown_table(header, rows or [[NOT_MEASURED, *["-"] * (len(header) - 1)]])


def phases_table(model: Model) -> str:
    """Each phase of the run at the largest size that was measured, and its estimate at the target."""
    rows = []
    for phase_prefix, title in PHASE_TITLES.items():
        measured = [
            row for row in model.measurements.simulated if row_value(row, f"{phase_prefix}core") is not None
        ]
        largest = max(measured, key=lambda row: float(row["members"]), default={})
        cells = [title, format_number(float(largest["members"])) if largest else "-"]
        for name in PHASE_QUANTITIES:
            unit, estimate = GROWTH_MODELS[name].unit, model.control_estimate(f"{phase_prefix}{name}")
            at_target = (
                f"{estimate.text(unit)} ({estimate.status_text})"
                if estimate.value is not None
                else estimate.missing_reason
            )
            cells.append(f"{format_value(row_value(largest, phase_prefix + name), unit)}; {at_target}")
        cells += [
            format_value(row_value(largest, f"{phase_prefix}false_deaths"), ""),
            format_value(row_value(largest, f"{phase_prefix}healed_s"), "s"),
        ]
        rows.append(cells)
    return markdown_table(
        [
            "phase of the run",
            "members",
            *(f"{GROWTH_MODELS[name].title}; at the target" for name in PHASE_QUANTITIES),
            "members falsely declared dead",
            "time until all members agree again",
        ],
        rows,
    )


def real_table(model: Model) -> str:
    """The measurements of real balancers, and their ratio to the simulated network at the same size."""
    rows = []
    for row in model.measurements.real:
        same_size = [
            simulated for simulated in model.measurements.simulated if simulated["members"] == row["members"]
        ]
        cells = [
            format_number(float(row["members"])),
            format_value(row_value(row, "real"), ""),
            format_value(row_value(row, "hollow"), ""),
        ]
        for name in ("bytes_out", "bytes_in", "core", "memory", "everywhere_p99_s"):
            real_value = row_value(row, f"of_real.{name}")
            real_value = row_value(row, name) if real_value is None else real_value
            simulated_value = row_value(same_size[0], name) if same_size else None
            cells.append(
                format_value(real_value, GROWTH_MODELS[name].unit)
                + (
                    f", {format_number(real_value / simulated_value)} times"
                    if real_value is not None and simulated_value
                    else ""
                )
            )
        rows.append(cells)
    header = [
        "members",
        "real balancers",
        "lightweight members",
        "bytes out",
        "bytes in",
        "processor",
        "memory",
        "propagation of a change to all members, 99th percentile",
    ]
    return markdown_table(header, rows or [[NOT_MEASURED, *["-"] * (len(header) - 1)]])


def data_path_table(model: Model) -> str:
    """The measurements of the data path, and its estimates for the days of the target."""
    rows = []
    for row in model.measurements.data_path:
        rows.append(
            [
                format_number(float(row["connections"])),
                format_value(row_value(row, "memory"), "bytes"),
                format_value(row_value(row, "pss"), "bytes"),
                format_value(row_value(row, "line_s"), "s"),
                format_value(row_value(row, "line_reference"), ""),
                format_value(row_value(row, "setup_s"), "s"),
                format_value(row_value(row, "lines_a_second"), "/s"),
            ]
        )
    rows = rows or [[NOT_MEASURED, *["-"] * 6]]
    for title, connections, lines_per_s in model.day_scenarios():
        memory, line, setup = (
            model.data_path_estimate(name, connections) for name in ("memory", "line_s", "setup_s")
        )
        processor = ""
        if line.value is not None:
            processor = (
                f"; {format_value(line.value * lines_per_s, 'core')} at {format_number(lines_per_s)}/s"
            )
        rows.append(
            [
                f"**{format_number(connections)}**, {title}",
                memory.text("bytes"),
                "-",
                f"{line.text('s')}{processor}",
                "-",
                setup.text("s"),
                "-",
            ]
        )
    return markdown_table(
        [
            "connections",
            "memory",
            "proportional set size (PSS)",
            "processor time per line",
            "in reference lines",
            "processor time per setup",
            "lines sent",
        ],
        rows,
    )


# -- targets, assumptions and limits -------------------------------------------------------------------------


def targets_table(model: Model) -> str:
    """The figures of the target."""
    return markdown_table(
        ["target", "value", "source"],
        [
            [model_input.name, format_value(model_input.value, model_input.unit), model_input.reason]
            for model_input in TARGETS.values()
        ],
    )


def assumptions_table(model: Model) -> str:
    """The assumptions with their reasons."""
    return markdown_table(
        ["assumption", "value", "reason"],
        [
            [model_input.name, format_value(model_input.value, model_input.unit), model_input.reason]
            for model_input in ASSUMPTIONS.values()
        ],
    )


def limits_table(model: Model) -> str:
    """The limits in the code that a fleet reaches before the target, independent of the fits."""
    fleet_size = int(model.balancers)
    queue_ratio = fleet_size / node.MAX_QUEUED_ENTRIES
    return markdown_table(
        ["limit", "where", "at the target", "reached at"],
        [
            [
                "members whose frames are accepted",
                "`wire.MAX_SENDERS`",
                f"{format_number(fleet_size)} of {format_number(wire.MAX_SENDERS)}: frames of the others are "
                f"dropped as `too-many-senders`",
                f"{wire.MAX_SENDERS + 1:,} members",
            ],
            [
                "size of the frame with the range hashes",
                "`wire.MAX_FRAME_BYTES`, `store.OWNERS_PER_RANGE`",
                f"{format_number(range_hashes_frame_bytes(fleet_size))} of "
                f"{format_number(wire.MAX_FRAME_BYTES)} bytes: dropped as `too-long`, so that entries lost "
                "in gossip are not found any more",
                f"{RANGE_HASHES_OVERFLOW_OWNERS:,} owners",
            ],
            [
                "frames that a member sends",
                "`node.MAX_PULLS`, `node.GOSSIP_FANOUT`, `wire.MAX_FRAME_BYTES`",
                f"{format_value(max_bytes_per_s(fleet_size), 'bytes/s')} in "
                f"{format_number(MAX_FRAMES_PER_PERIOD / PERIOD_S)} frames/s: estimates are capped at it, "
                "and what exceeds it does not arrive",
                "-",
            ],
            [
                "gossip queue",
                "`node.MAX_QUEUED_ENTRIES`",
                f"one entry of each member is {format_number(queue_ratio)} times the limit; the entries that "
                f"were sent most often are shed",
                f"{node.MAX_QUEUED_ENTRIES:,} entries at once",
            ],
            [
                "round of probes",
                "`members.Membership._next_probe_target`",
                f"{format_value(fleet_size * PERIOD_S, 's')} until a member has probed each other member "
                f"once; how often a member is probed by all others together does not depend on the size",
                "-",
            ],
            [
                "a lease request lists all members",
                "`rights.LeaseRequest.holdings`, `store.MAX_VALUE_BYTES`",
                f"exceeds the {format_number(store.MAX_VALUE_BYTES)} bytes of a register value: rejected, "
                f"which `net/fleet.py` (`_write_register`) ignores, so that rights no longer move (from the "
                "code and by calculation, not from a run)",
                f"{format_number(lease_request_overflow_members())} members with names of 13 characters, "
                f"{format_number(lease_request_overflow_members(3))} with names of 3",
            ],
            [
                "event that a member has caught up",
                "`node.CaughtUp`",
                "needs two equal root hashes, but load updates of some member are in transit at any moment: "
                "`fleet-caught-up` is not logged",
                _not_caught_up_text(model),
            ],
            [
                "reading the registers",
                "`net/fleet.py` (SHARE_INTERVAL_S), `store.Store.live_entries`",
                "all registers of all members, four times a second, however rarely they are written",
                _reading_cost_text(model),
            ],
        ],
    )


def _not_caught_up_text(model: Model) -> str:
    """The sizes at which no member that started reported within the run that it had caught up."""
    sizes = [
        f"{format_number(float(row['members']))} members at {rate_text(rate)}"
        for rate in load_update_rates(model)
        for row in model.measurements.series.get(rate, ())
        if row_value(row, "starts") and row_value(row, "start_said_s") is None
    ]
    return f"not logged within the run at {', '.join(sizes)}" if sizes else NOT_MEASURED


def _reading_cost_text(model: Model) -> str:
    """The processor time of reading the registers over that of the protocol, at all measured sizes."""
    ratios = [
        (float(row["members"]), reading / protocol)
        for row in model.measurements.simulated
        if (reading := row_value(row, "heed_core")) is not None and (protocol := row_value(row, "core"))
    ]
    if not ratios:
        return NOT_MEASURED
    lowest, highest = min(ratio for _, ratio in ratios), max(ratio for _, ratio in ratios)
    return (
        f"{format_number(lowest)} to {format_number(highest)} times the processor of the protocol, at all "
        "measured sizes"
    )


# By the names in the page's markers
TABLES: dict[str, Callable[[Model], str]] = {
    "glance": summary_table,
    "runs": runs_table,
    "roles": functions_table,
    "worst": phases_table,
    "left-out": validation_table,
    "across": cross_regime_table,
    "allowed": largest_fleets_table,
    "by-rate": rate_check_table,
    "slopes": fits_table,
    "forms": growth_models_table,
    "sizes": sizes_table,
    "real": real_table,
    "data-path": data_path_table,
    "walls": limits_table,
    "options": cell_options_table,
    "others": other_options_table,
    "target": targets_table,
    "assumptions": assumptions_table,
}


class InvalidPage(ValueError):
    """The page lacks a table's markers, or has them more than once or in the wrong order."""


def render(page: str, measurements: Measurements) -> str:
    """The page with each table between its markers, ``<!-- NAME -->`` and ``<!-- end of NAME -->``.

    Raises InvalidPage where a marker is missing or occurs twice.
    """
    model = Model(measurements)
    for name, make_table in TABLES.items():
        begin, end = f"<!-- {name} -->\n", f"<!-- end of {name} -->"
        if page.count(begin) != 1 or page.count(end) != 1 or page.index(begin) > page.index(end):
            raise InvalidPage(
                f"table {name}: the page needs its begin and end marker once each, in this order"
            )
        before, _, rest = page.partition(begin)
        page = before + begin + make_table(model) + "\n" + end + rest.partition(end)[2]
    return page
