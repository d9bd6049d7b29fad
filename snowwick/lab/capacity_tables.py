"""The tables of ``docs/CAPACITY.md``, each a function of what was measured; pure as the model is."""

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
    RANGE_HASHES_OVERFLOW_OWNERS,
    RUN_PARTS,
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
    scale_to_load_rate,
    target_value,
    total_false_deaths,
    upper_bound,
    validations,
)
from snowwick.lab.capacity_roles import options, others, roles

MISSING = (
    ("placing of shards", "840,000 shards"),
    ("99 in 100 deliveries", "390 ms"),
    ("contents of a change of configuration, in force", "8 s"),
)
WORST = ("bytes_out", "bytes_in", "control_core", "everywhere_p99_s", "load_late_p99_s")
SIZES = (
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


def glance(model: Model) -> str:
    """What is within its budget, and by what factor the rest is over; the worst first.

    Beside it what telling loads more rarely comes to, by the slowest series.
    """
    rows: list[tuple[float, list[str]]] = []

    def add(
        name: str,
        value: float | None,
        unit: str,
        budget: float,
        stands: str,
        factor: float | None = None,
        past: bool = False,
        beside: str = "the same",
        counted: str = "",
    ) -> None:
        if value is None:
            rows.append((-1.0, [name, stands, format_value(budget, unit), "-", "-", "-", beside]))
            return
        over = value / budget if budget else (math.inf if value else 0.0)
        said = (
            f"open: {format_number(over)} of it, were there no bound"
            if past and over <= 1.0
            else budget_verdict(over)
        )
        rows.append(
            (
                over,
                [
                    name,
                    format_value(value, unit) + counted,
                    format_value(budget, unit),
                    said,
                    f"{format_number(factor)} times" if factor is not None else "-",
                    stands,
                    beside,
                ],
            )
        )

    for quantity, budget in CONTROL_BUDGETS.items():
        form, one = growth_model_of(quantity), model.control_estimate(quantity)
        part = quantity.rpartition(".")[0]
        title = form.title + (f", {RUN_PARTS[part + '.']}" if part else "")
        add(
            title,
            one.value,
            form.unit,
            target_value(budget),
            one.status_text,
            one.extrapolation_factor,
            one.past_bound,
            rarely(model, quantity, form, target_value(budget)),
            ", counted ceiling" if one.capped else "",
        )
    for title, held, lines in model.day_scenarios():
        one = model.data_path_estimate("line_s", held)
        add(
            f"data path, {title}: {format_number(lines)} lines a second at {format_number(held)} connections",
            None if one.value is None else one.value * lines,
            "core",
            assumed_value("cores of the data path"),
            one.status_text,
            one.extrapolation_factor,
        )
    add("members that a balancer takes frames of", model.balancers, "", float(wire.MAX_SENDERS), "counted")
    add(
        "frame with the hashes of the ranges",
        float(range_hashes_frame_bytes(int(model.balancers))),
        "bytes",
        float(wire.MAX_FRAME_BYTES),
        "counted",
    )
    deaths = [some for row in model.measurements.simulated if (some := total_false_deaths(row)) is not None]
    slow = (
        model.measurements.series.get(model.slowest_load_rate, ())
        if model.slowest_load_rate is not None
        else ()
    )
    rarer = [some for row in slow if (some := total_false_deaths(row)) is not None]
    add(
        "members falsely taken for dead, all sizes played",
        float(sum(deaths)) if deaths else None,
        "",
        0.0,
        "measured" if deaths else NOT_MEASURED,
        beside=format_number(sum(rarer)) if rarer else NOT_MEASURED,
    )
    rows += [
        (-0.5, [name, "missing", budget, "**no mechanism**", "-", "-", "the same"])
        for name, budget in MISSING
    ]
    rows.sort(key=lambda row: -row[0])
    how = f", {format_number(model.slowest_load_rate)}/s" if model.slowest_load_rate is not None else ""
    return markdown_table(
        [
            "at the target",
            "figure",
            "budget",
            "verdict",
            "extrapolated",
            "size left out",
            f"doing without: telling loads less often{how}",
        ],
        [row for _, row in rows],
    )


def rarely(model: Model, quantity: str, form: GrowthModel, budget: float) -> str:
    """The quantity at the target by the slowest series, and how it stands by its budget."""
    if model.slowest_load_rate is None:
        return NOT_MEASURED
    one = model.control_estimate(quantity, model.slowest_load_rate)
    if one.value is None:
        return one.missing_reason
    over = one.value / budget
    said = (
        f"open: {format_number(over)} of it"
        if (one.past_bound or one.regime_end) and over <= 1.0
        else budget_verdict(over)
    )
    return f"{one.text(form.unit)}, {said}; {one.status_text}"


# -- slopes and the size that was left out -------------------------------------------------------------------


def sizes_said(sizes: Sequence[float]) -> str:
    return ", ".join(format_number(one) for one in sizes) or "none"


def told_said(writes: float | None) -> str:
    return f"{format_number(writes)}/s" if writes is not None else "-"


def rates(model: Model) -> list[float]:
    """The series, the target's first."""
    return [
        model.load_rate,
        *(one for one in sorted(model.measurements.series, reverse=True) if one != model.load_rate),
    ]


def slopes(model: Model) -> str:
    some: list[tuple[float | None, float, GrowthModel, Estimate]] = [
        (writes, model.balancers, form, model.control_estimate(form.quantity, writes))
        for writes in rates(model)
        for form in GROWTH_MODELS.values()
    ]
    some += [
        (None, model.connections, form, model.data_path_estimate(form.quantity, model.connections))
        for form in DATA_PATH_GROWTH_MODELS.values()
    ]
    rows = []
    for writes, at, form, one in some:
        rows.append(
            [
                form.title,
                one.fit.formula_text(at) if one.fit is not None else one.missing_reason or "of its two parts",
                form.unit,
                sizes_said(one.sizes),
                sizes_said(one.fit.sizes) if one.fit is not None else "-",
                one.text(form.unit),
                f"{format_number(one.extrapolation_factor)} times"
                if one.extrapolation_factor is not None
                else "-",
                one.status_text,
                told_said(writes),
            ]
        )
    return markdown_table(
        [
            "quantity",
            "slope",
            "unit",
            "sizes measured",
            "of these fitted",
            "at the target",
            "extrapolated",
            "size left out",
            "loads told",
        ],
        rows,
    )


def _tested(form: GrowthModel, writes: float | None, unit: str, left: Validation) -> list[str]:
    said = (
        "-"
        if writes is None
        else "either, one law"
        if form.full_frames_basis is None
        else regime_text(left.first_full_size)
    )
    return [
        form.title,
        told_said(writes),
        said,
        sizes_said(left.fit.sizes),
        f"{format_number(left.size)} {unit}",
        f"{100.0 * left.expected_frame_fill:.0f}%" if left.expected_frame_fill is not None else "-",
        format_value(left.predicted, form.unit),
        format_value(left.measured, form.unit),
        f"{100.0 * left.error:+.1f}%",
        "held" if left.passed else "MISSED",
    ]


TESTED = [
    "quantity",
    "loads told",
    "regime of the fit",
    "fitted at",
    "left out",
    "frames filled, by the fit",
    "predicted",
    "measured",
    "error",
    f"within {100.0 * VALIDATION_TOLERANCE_FRACTION:.0f}%",
]


def _all_tests(model: Model, writes: float) -> list[tuple[GrowthModel, list[Validation]]]:
    rows = model.measurements.series.get(writes, ())
    return [(form, validations(form, rows)) for form in GROWTH_MODELS.values()]


def left_out(model: Model) -> str:
    """Each quantity and series, and each size with enough under it, while the regime holds."""
    rows = []
    for writes in rates(model):
        for form, some in _all_tests(model, writes):
            within = [one for one in some if not one.crosses_regimes]
            rows += [_tested(form, writes, "members", one) for one in within]
            if not within:
                why = (
                    "across the change of regime: below"
                    if some
                    else model.control_estimate(form.quantity, writes).missing_reason
                )
                if not some and not why and form.quantity == "control_core":
                    why = "its parts are: the protocol's here, reading at the target's rate"
                rows.append(
                    [
                        form.title,
                        told_said(writes),
                        why or "not tested: too few sizes under the largest",
                        *["-"] * (len(TESTED) - 3),
                    ]
                )
    for form in DATA_PATH_GROWTH_MODELS.values():
        path = model.data_path_estimate(form.quantity, model.connections)
        rows.append(
            _tested(form, None, "connections", path.validation)
            if path.validation is not None
            else [
                form.title,
                "-",
                path.missing_reason or "not tested: too few sizes under the largest",
                *["-"] * (len(TESTED) - 3),
            ]
        )
    return markdown_table(TESTED, rows)


def across(model: Model) -> str:
    """The same where the change of regime lies in the fit's sizes or, by the fit, before the size left
    out.
    """
    rows = [
        _tested(form, writes, "members", one)
        for writes in rates(model)
        for form, some in _all_tests(model, writes)
        for one in some
        if one.crosses_regimes
    ]
    return markdown_table(TESTED, rows or [["none", *["-"] * (len(TESTED) - 1)]])


# -- the law of the regime -----------------------------------------------------------------------------------

ALLOWED = ("bytes_out", "bytes_in", "control_core", "memory", "everywhere_p99_s")
BY_RATE = ("bytes_out", "bytes_in", "datagrams_out", "core", "memory")


def allowed(model: Model) -> str:
    """The largest fleet that each budget bears while frames are not full, and what the target would take."""
    some = (
        model.load_rate,
        model.slowest_load_rate if model.slowest_load_rate is not None else model.load_rate,
    )
    rows = []
    for name in ALLOWED:
        form, budget, one = (
            GROWTH_MODELS[name],
            target_value(CONTROL_BUDGETS[name]),
            model.fit_below_full_frames(name),
        )
        row = [f"{form.title}, {format_value(budget, form.unit)}"]
        if one is None or model.slowest_load_rate is None:
            rows.append([*row, NOT_MEASURED, *["-"] * 3, _brackets(model, name, budget), "-", "-"])
            continue
        row += [one.formula_text(model.balancers), sizes_said(one.sizes)]
        laws = [scale_to_load_rate(one, writes / model.slowest_load_rate) for writes in some]
        for writes, each in zip(some, laws, strict=True):
            fleet, ends = (
                largest_fleet_within(each, budget),
                model.regime_end(writes) if form.full_frames_basis is not None else None,
            )
            past = (
                f", were there no bound at {format_number(RANGE_HASHES_OVERFLOW_OWNERS)}"
                if fleet >= RANGE_HASHES_OVERFLOW_OWNERS
                else ""
            )
            many = "any size" if fleet >= MAX_FLEET_MEMBERS - 1 else f"{format_number(fleet)} members"
            if ends is not None and fleet > ends:
                many, past = f"{format_number(ends)} members, where frames are full and the law ends", ""
            row.append(f"{many}{past}" if fleet else "none")
        row += [
            _brackets(model, name, budget),
            " and ".join(format_value(each.value_at(model.balancers), form.unit) for each in laws),
        ]
        most = upper_bound(name, model.balancers)
        row.append(format_value(most, form.unit) if math.isfinite(most) else "-")
        rows.append(row)
    return markdown_table(
        [
            "budget of a balancer",
            "law",
            "fitted at",
            *(f"largest fleet at {told_said(writes)}" for writes in some),
            f"sizes measured at {told_said(model.load_rate)}",
            "the target by the law, at " + " and ".join(map(told_said, some)),
            "counted ceiling: what is over it is not told",
        ],
        rows,
    )


def _brackets(model: Model, name: str, budget: float) -> str:
    """Between which sizes measured at the target's rate the budget ends."""
    some = [
        (float(row["members"]), value)
        for row in model.measurements.simulated
        if (value := row_value(row, name)) is not None
    ]
    over = min((size for size, value in some if value > budget), default=math.inf)
    within = max((size for size, value in some if size < over), default=0.0)
    said = [f"within to {format_number(within)}"] if within else []
    said += [f"over at {format_number(over)}"] if math.isfinite(over) else []
    return ", ".join(said) or NOT_MEASURED


def by_rate(model: Model) -> str:
    """The slow series' law at the target's rate, beside what was measured there while frames were not
    full.
    """
    rows = []
    start = first_full_size(model.measurements.simulated)
    for name in BY_RATE:
        one, form = model.fit_below_full_frames(name), GROWTH_MODELS[name]
        for row in model.measurements.simulated if one is not None and model.slowest_load_rate else ():
            value, size = row_value(row, name), float(row["members"])
            if (
                one is None
                or not model.slowest_load_rate
                or value is None
                or (start is not None and size >= start)
            ):
                continue
            said = (
                one
                if name == "memory"
                else scale_to_load_rate(one, model.load_rate / model.slowest_load_rate)
            )
            off = said.value_at(size) / value - 1.0 if value else math.inf
            rows.append(
                [
                    form.title,
                    format_number(size),
                    format_value(said.value_at(size), form.unit),
                    format_value(value, form.unit),
                    f"{100.0 * off:+.1f}%",
                    "held" if abs(off) <= VALIDATION_TOLERANCE_FRACTION else "MISSED",
                ]
            )
    return markdown_table(
        [
            "quantity",
            "members",
            "by the law at the target's rate",
            "measured",
            "error",
            f"within {100.0 * VALIDATION_TOLERANCE_FRACTION:.0f}%",
        ],
        rows or [[NOT_MEASURED, *["-"] * 5]],
    )


def forms(model: Model) -> str:
    rows = []
    for form in (*GROWTH_MODELS.values(), *DATA_PATH_GROWTH_MODELS.values()):
        text = ", ".join(form.basis)
        if form.full_frames_basis is not None:
            text += f"; with full frames {', '.join(form.full_frames_basis)}"
        rows.append([form.title, text, form.reason])
    return markdown_table(["quantity", "form", "reason"], rows)


# -- what was measured ---------------------------------------------------------------------------------------


def machine_said(machine: object) -> str:
    if not isinstance(machine, Mapping):
        return "-"
    memory = format_value(row_value(machine, "memory_bytes"), "bytes")
    return f"{machine.get('cores')} cores, {memory}, Python {machine.get('python')}"


def runs(model: Model) -> str:
    rows = [
        [
            name,
            str(file.get("form")),
            f"`{file.get('command', '')}`",
            str(file.get("date", "")),
            machine_said(file.get("machine")),
            str(sum(1 for row in file.get("rows", ()) if not row.get("partial"))),
            "whole" if file.get("complete") else f"not whole: {file.get('ended', '')}",
        ]
        for name, file in model.measurements.runs
    ]
    return markdown_table(
        ["file", "form", "command", "date", "machine", "sizes", "run"],
        rows or [["none", NOT_MEASURED, *["-"] * 5]],
    )


def sizes(model: Model) -> str:
    rows = []
    for writes in rates(model):
        some = model.measurements.series.get(writes, ())
        start = first_full_size(some)
        for row in some:
            sent, frames = row_value(row, "bytes_out"), row_value(row, "datagrams_out")
            room = f"{100.0 * sent / frames / wire.MAX_FRAME_BYTES:.0f}%" if sent and frames else "-"
            if start is not None and float(row["members"]) >= start:
                room += ", full"
            rows.append(
                [
                    format_number(float(row["members"])),
                    told_said(writes),
                    room,
                    *(format_value(row_value(row, name), GROWTH_MODELS[name].unit) for name in SIZES),
                    format_value(row_value(row, "load_error"), ""),
                    format_value(row_value(row, "shed"), "/s"),
                    format_value(total_false_deaths(row), ""),
                ]
            )
    head = [
        "members",
        "loads told",
        "frames filled",
        *(GROWTH_MODELS[name].title for name in SIZES),
        "error of the sums",
        "shed",
        "false deaths, whole run",
    ]
    return markdown_table(head, rows or [[NOT_MEASURED, *["-"] * (len(head) - 1)]])


def worst(model: Model) -> str:
    """Each part of the run at the largest size that played it, and at the target by the same forms."""
    rows = []
    for part, title in RUN_PARTS.items():
        some = [row for row in model.measurements.simulated if row_value(row, f"{part}core") is not None]
        last = max(some, key=lambda row: float(row["members"]), default={})
        cells = [title, format_number(float(last["members"])) if last else "-"]
        for name in WORST:
            unit, one = GROWTH_MODELS[name].unit, model.control_estimate(f"{part}{name}")
            at = f"{one.text(unit)} ({one.status_text})" if one.value is not None else one.missing_reason
            cells.append(f"{format_value(row_value(last, part + name), unit)}; {at}")
        cells += [
            format_value(row_value(last, f"{part}false_deaths"), ""),
            format_value(row_value(last, f"{part}healed_s"), "s"),
        ]
        rows.append(cells)
    return markdown_table(
        [
            "part of the run",
            "members",
            *(f"{GROWTH_MODELS[name].title}; at the target" for name in WORST),
            "false deaths",
            "agreed after",
        ],
        rows,
    )


def real(model: Model) -> str:
    """What real processes took, and how many times what the simulated network says at the same size."""
    rows = []
    for row in model.measurements.real:
        same = [one for one in model.measurements.simulated if one["members"] == row["members"]]
        cells = [
            format_number(float(row["members"])),
            format_value(row_value(row, "real"), ""),
            format_value(row_value(row, "hollow"), ""),
        ]
        for name in ("bytes_out", "bytes_in", "core", "memory", "everywhere_p99_s"):
            mine = row_value(row, f"of_real.{name}")
            mine = row_value(row, name) if mine is None else mine
            theirs = row_value(same[0], name) if same else None
            cells.append(
                format_value(mine, GROWTH_MODELS[name].unit)
                + (f", {format_number(mine / theirs)} times" if mine is not None and theirs else "")
            )
        rows.append(cells)
    head = [
        "members",
        "real",
        "hollow",
        "bytes out",
        "bytes in",
        "processor",
        "memory",
        "a change everywhere, 99 in 100",
    ]
    return markdown_table(head, rows or [[NOT_MEASURED, *["-"] * (len(head) - 1)]])


def data_path(model: Model) -> str:
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
    for title, held, lines in model.day_scenarios():
        memory, line, setup = (
            model.data_path_estimate(name, held) for name in ("memory", "line_s", "setup_s")
        )
        busy = ""
        if line.value is not None:
            busy = f"; {format_value(line.value * lines, 'core')} at {format_number(lines)}/s"
        rows.append(
            [
                f"**{format_number(held)}**, {title}",
                memory.text("bytes"),
                "-",
                f"{line.text('s')}{busy}",
                "-",
                setup.text("s"),
                "-",
            ]
        )
    return markdown_table(
        [
            "connections",
            "memory",
            "of it its own (PSS)",
            "processor a line",
            "in reference lines",
            "processor a setup",
            "lines sent",
        ],
        rows,
    )


# -- what is taken for granted -------------------------------------------------------------------------------


def the_target(model: Model) -> str:
    return markdown_table(
        ["target", "value", "where from"],
        [[one.name, format_value(one.value, one.unit), one.reason] for one in TARGETS.values()],
    )


def assumptions(model: Model) -> str:
    return markdown_table(
        ["assumption", "value", "reason"],
        [[one.name, format_value(one.value, one.unit), one.reason] for one in ASSUMPTIONS.values()],
    )


def walls(model: Model) -> str:
    """What in the shipped code ends before the target, whatever the slopes."""
    n = int(model.balancers)
    waiting = n / node.MAX_QUEUED_ENTRIES
    return markdown_table(
        ["bound", "where", "at the target", "reached at"],
        [
            [
                "members whose frames are taken",
                "`wire.MAX_SENDERS`",
                f"{format_number(n)} of {format_number(wire.MAX_SENDERS)}: frames of the others are "
                "dropped as "
                f"`too-many-senders`",
                f"{wire.MAX_SENDERS + 1:,} members",
            ],
            [
                "the frame with the hashes of the ranges",
                "`wire.MAX_FRAME_BYTES`, `store.OWNERS_PER_RANGE`",
                f"{format_number(range_hashes_frame_bytes(n))} of {format_number(wire.MAX_FRAME_BYTES)} "
                "bytes: dropped as "
                "`too-long`, and nothing else "
                "finds what news did not bring",
                f"{RANGE_HASHES_OVERFLOW_OWNERS:,} owners",
            ],
            [
                "what a member can send",
                "`node.MAX_PULLS`, `node.GOSSIP_FANOUT`, `wire.MAX_FRAME_BYTES`",
                f"{format_value(max_bytes_per_s(n), 'bytes/s')} in "
                f"{format_number(MAX_FRAMES_PER_PERIOD / PERIOD_S)} frames/s: a fit over "
                f"it is cut down "
                "to it, "
                "and what is over it does not arrive",
                "-",
            ],
            [
                "what waits to be passed on",
                "`node.MAX_QUEUED_ENTRIES`",
                f"one entry of each member is {format_number(waiting)} times what may wait; those told most "
                f"are shed",
                f"{node.MAX_QUEUED_ENTRIES:,} entries at once",
            ],
            [
                "a round of probes",
                "`members.Membership._next_probe_target`",
                f"{format_value(n * PERIOD_S, 's')} until a member has probed each other once; how often a "
                f"given one is "
                "probed by anybody does not depend on the size",
                "-",
            ],
            [
                "an ask for rights names every member",
                "`rights.LeaseRequest.holdings`, `store.MAX_VALUE_BYTES`",
                f"longer than the {format_number(store.MAX_VALUE_BYTES)} bytes of a value: refused, which "
                f"`net/fleet.py` passes over "
                "(`_write`), so that rights stop moving (read in the code and computed, not played)",
                f"{format_number(lease_request_overflow_members())} members with names of 13 characters, "
                f"{format_number(lease_request_overflow_members(3))} with "
                "names of 3",
            ],
            [
                "the news that one has caught up",
                "`node.CaughtUp`",
                "needs two equal roots, and somebody's loads "
                "are on their way at any moment: `fleet-caught-up` is not said",
                _caught(model),
            ],
            [
                "reading the registers",
                "`net/fleet.py` (SHARE_INTERVAL_S), `store.Store.live_entries`",
                "all of everybody's, four times a second, however rarely they are written",
                _reading(model),
            ],
        ],
    )


def _caught(model: Model) -> str:
    """The sizes at which nobody that started heard it within the run."""
    some = [
        f"{format_number(float(row['members']))} members at {told_said(writes)}"
        for writes in rates(model)
        for row in model.measurements.series.get(writes, ())
        if row_value(row, "starts") and row_value(row, "start_said_s") is None
    ]
    return f"not said within the run at {', '.join(some)}" if some else NOT_MEASURED


def _reading(model: Model) -> str:
    """What reading costs beside the protocol."""
    some = [
        (float(row["members"]), heed / core)
        for row in model.measurements.simulated
        if (heed := row_value(row, "heed_core")) is not None and (core := row_value(row, "core"))
    ]
    if not some:
        return NOT_MEASURED
    least, most = min(one for _, one in some), max(one for _, one in some)
    return (
        f"{format_number(least)} to {format_number(most)} times the protocol's processor, at all sizes played"
    )


TABLES: dict[str, Callable[[Model], str]] = {
    "glance": glance,
    "runs": runs,
    "roles": roles,
    "worst": worst,
    "left-out": left_out,
    "across": across,
    "allowed": allowed,
    "by-rate": by_rate,
    "slopes": slopes,
    "forms": forms,
    "sizes": sizes,
    "real": real,
    "data-path": data_path,
    "walls": walls,
    "options": options,
    "others": others,
    "target": the_target,
    "assumptions": assumptions,
}


class BadPage(ValueError):
    """The page's markers are not as they have to be."""


def render(page: str, measured: Measurements) -> str:
    """The page with its tables between their markers, ``<!-- NAME -->`` and ``<!-- end of NAME -->``.

    Raises BadPage where a marker is missing or twice there.
    """
    model = Model(measured)
    for name, make in TABLES.items():
        begin, end = f"<!-- {name} -->\n", f"<!-- end of {name} -->"
        if page.count(begin) != 1 or page.count(end) != 1 or page.index(begin) > page.index(end):
            raise BadPage(f"the markers of {name} are not there once each, in order")
        head, _, rest = page.partition(begin)
        page = head + begin + make(model) + "\n" + end + rest.partition(end)[2]
    return page
