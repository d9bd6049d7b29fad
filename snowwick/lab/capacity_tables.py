"""The tables of ``docs/CAPACITY.md``, each a function of what was measured; pure as the model is."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

from snowwick.fleet import node, store, wire
from snowwick.lab.capacity_model import (
    ASSUMPTIONS,
    BOUND,
    CONTROL_BUDGETS,
    FORMS,
    FRAMES,
    MOST_FLEET,
    NOT_MEASURED,
    PARTS,
    PATH_FORMS,
    PERIOD,
    TARGET,
    WITHIN,
    Estimate,
    Form,
    LeftOut,
    Measured,
    Model,
    assumed,
    at_rate,
    cap,
    ceiling,
    false_deaths,
    form_of,
    full_from,
    largest,
    number,
    of,
    ranges_bytes,
    regime_said,
    rights_bound,
    shown,
    table,
    target,
    tests,
    verdict,
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
            rows.append((-1.0, [name, stands, shown(budget, unit), "-", "-", "-", beside]))
            return
        over = value / budget if budget else (math.inf if value else 0.0)
        said = f"open: {number(over)} of it, were there no bound" if past and over <= 1.0 else verdict(over)
        rows.append(
            (
                over,
                [
                    name,
                    shown(value, unit) + counted,
                    shown(budget, unit),
                    said,
                    f"{number(factor)} times" if factor is not None else "-",
                    stands,
                    beside,
                ],
            )
        )

    for quantity, budget in CONTROL_BUDGETS.items():
        form, one = form_of(quantity), model.of(quantity)
        part = quantity.rpartition(".")[0]
        title = form.title + (f", {PARTS[part + '.']}" if part else "")
        add(
            title,
            one.value,
            form.unit,
            target(budget),
            one.stands,
            one.factor,
            one.past,
            rarely(model, quantity, form, target(budget)),
            ", counted ceiling" if one.capped else "",
        )
    for title, held, lines in model.days():
        one = model.path("line_s", held)
        add(
            f"data path, {title}: {number(lines)} lines a second at {number(held)} connections",
            None if one.value is None else one.value * lines,
            "core",
            assumed("cores of the data path"),
            one.stands,
            one.factor,
        )
    add("members that a balancer takes frames of", model.n, "", float(wire.MAX_SENDERS), "counted")
    add(
        "frame with the hashes of the ranges",
        float(ranges_bytes(int(model.n))),
        "bytes",
        float(wire.MAX_FRAME_BYTES),
        "counted",
    )
    deaths = [some for row in model.measured.simulated if (some := false_deaths(row)) is not None]
    slow = model.measured.series.get(model.slow, ()) if model.slow is not None else ()
    rarer = [some for row in slow if (some := false_deaths(row)) is not None]
    add(
        "members falsely taken for dead, all sizes played",
        float(sum(deaths)) if deaths else None,
        "",
        0.0,
        "measured" if deaths else NOT_MEASURED,
        beside=number(sum(rarer)) if rarer else NOT_MEASURED,
    )
    rows += [
        (-0.5, [name, "missing", budget, "**no mechanism**", "-", "-", "the same"])
        for name, budget in MISSING
    ]
    rows.sort(key=lambda row: -row[0])
    how = f", {number(model.slow)}/s" if model.slow is not None else ""
    return table(
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


def rarely(model: Model, quantity: str, form: Form, budget: float) -> str:
    """The quantity at the target by the slowest series, and how it stands by its budget."""
    if model.slow is None:
        return NOT_MEASURED
    one = model.of(quantity, model.slow)
    if one.value is None:
        return one.why
    over = one.value / budget
    said = f"open: {number(over)} of it" if (one.past or one.ends) and over <= 1.0 else verdict(over)
    return f"{one.said(form.unit)}, {said}; {one.stands}"


# -- slopes and the size that was left out -------------------------------------------------------------------


def sizes_said(sizes: Sequence[float]) -> str:
    return ", ".join(number(one) for one in sizes) or "none"


def told_said(writes: float | None) -> str:
    return f"{number(writes)}/s" if writes is not None else "-"


def rates(model: Model) -> list[float]:
    """The series, the target's first."""
    return [
        model.writes,
        *(one for one in sorted(model.measured.series, reverse=True) if one != model.writes),
    ]


def slopes(model: Model) -> str:
    some: list[tuple[float | None, float, Form, Estimate]] = [
        (writes, model.n, form, model.of(form.quantity, writes))
        for writes in rates(model)
        for form in FORMS.values()
    ]
    some += [(None, model.held, form, model.path(form.quantity, model.held)) for form in PATH_FORMS.values()]
    rows = []
    for writes, at, form, one in some:
        rows.append(
            [
                form.title,
                one.fit.slopes(at) if one.fit is not None else one.why or "of its two parts",
                form.unit,
                sizes_said(one.sizes),
                sizes_said(one.fit.sizes) if one.fit is not None else "-",
                one.said(form.unit),
                f"{number(one.factor)} times" if one.factor is not None else "-",
                one.stands,
                told_said(writes),
            ]
        )
    return table(
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


def _tested(form: Form, writes: float | None, unit: str, left: LeftOut) -> list[str]:
    said = "-" if writes is None else "either, one law" if form.full is None else regime_said(left.start)
    return [
        form.title,
        told_said(writes),
        said,
        sizes_said(left.fit.sizes),
        f"{number(left.size)} {unit}",
        f"{100.0 * left.filled:.0f}%" if left.filled is not None else "-",
        shown(left.predicted, form.unit),
        shown(left.measured, form.unit),
        f"{100.0 * left.error:+.1f}%",
        "held" if left.held else "MISSED",
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
    f"within {100.0 * WITHIN:.0f}%",
]


def _all_tests(model: Model, writes: float) -> list[tuple[Form, list[LeftOut]]]:
    rows = model.measured.series.get(writes, ())
    return [(form, tests(form, rows)) for form in FORMS.values()]


def left_out(model: Model) -> str:
    """Each quantity and series, and each size with enough under it, while the regime holds."""
    rows = []
    for writes in rates(model):
        for form, some in _all_tests(model, writes):
            within = [one for one in some if not one.across]
            rows += [_tested(form, writes, "members", one) for one in within]
            if not within:
                why = "across the change of regime: below" if some else model.of(form.quantity, writes).why
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
    for form in PATH_FORMS.values():
        path = model.path(form.quantity, model.held)
        rows.append(
            _tested(form, None, "connections", path.left)
            if path.left is not None
            else [
                form.title,
                "-",
                path.why or "not tested: too few sizes under the largest",
                *["-"] * (len(TESTED) - 3),
            ]
        )
    return table(TESTED, rows)


def across(model: Model) -> str:
    """The same where the change of regime lies in the fit's sizes or, by the fit, before the size left
    out.
    """
    rows = [
        _tested(form, writes, "members", one)
        for writes in rates(model)
        for form, some in _all_tests(model, writes)
        for one in some
        if one.across
    ]
    return table(TESTED, rows or [["none", *["-"] * (len(TESTED) - 1)]])


# -- the law of the regime -----------------------------------------------------------------------------------

ALLOWED = ("bytes_out", "bytes_in", "control_core", "memory", "everywhere_p99_s")
BY_RATE = ("bytes_out", "bytes_in", "datagrams_out", "core", "memory")


def allowed(model: Model) -> str:
    """The largest fleet that each budget bears while frames are not full, and what the target would take."""
    some = (model.writes, model.slow if model.slow is not None else model.writes)
    rows = []
    for name in ALLOWED:
        form, budget, one = FORMS[name], target(CONTROL_BUDGETS[name]), model.law(name)
        row = [f"{form.title}, {shown(budget, form.unit)}"]
        if one is None or model.slow is None:
            rows.append([*row, NOT_MEASURED, *["-"] * 3, _brackets(model, name, budget), "-", "-"])
            continue
        row += [one.slopes(model.n), sizes_said(one.sizes)]
        laws = [at_rate(one, writes / model.slow) for writes in some]
        for writes, each in zip(some, laws, strict=True):
            fleet, ends = largest(each, budget), model.ends(writes) if form.full is not None else None
            past = f", were there no bound at {number(BOUND)}" if fleet >= BOUND else ""
            many = "any size" if fleet >= MOST_FLEET - 1 else f"{number(fleet)} members"
            if ends is not None and fleet > ends:
                many, past = f"{number(ends)} members, where frames are full and the law ends", ""
            row.append(f"{many}{past}" if fleet else "none")
        row += [
            _brackets(model, name, budget),
            " and ".join(shown(each.at(model.n), form.unit) for each in laws),
        ]
        most = cap(name, model.n)
        row.append(shown(most, form.unit) if math.isfinite(most) else "-")
        rows.append(row)
    return table(
        [
            "budget of a balancer",
            "law",
            "fitted at",
            *(f"largest fleet at {told_said(writes)}" for writes in some),
            f"sizes measured at {told_said(model.writes)}",
            "the target by the law, at " + " and ".join(map(told_said, some)),
            "counted ceiling: what is over it is not told",
        ],
        rows,
    )


def _brackets(model: Model, name: str, budget: float) -> str:
    """Between which sizes measured at the target's rate the budget ends."""
    some = [
        (float(row["members"]), value)
        for row in model.measured.simulated
        if (value := of(row, name)) is not None
    ]
    over = min((size for size, value in some if value > budget), default=math.inf)
    within = max((size for size, value in some if size < over), default=0.0)
    said = [f"within to {number(within)}"] if within else []
    said += [f"over at {number(over)}"] if math.isfinite(over) else []
    return ", ".join(said) or NOT_MEASURED


def by_rate(model: Model) -> str:
    """The slow series' law at the target's rate, beside what was measured there while frames were not
    full.
    """
    rows = []
    start = full_from(model.measured.simulated)
    for name in BY_RATE:
        one, form = model.law(name), FORMS[name]
        for row in model.measured.simulated if one is not None and model.slow else ():
            value, size = of(row, name), float(row["members"])
            if one is None or not model.slow or value is None or (start is not None and size >= start):
                continue
            said = one if name == "memory" else at_rate(one, model.writes / model.slow)
            off = said.at(size) / value - 1.0 if value else math.inf
            rows.append(
                [
                    form.title,
                    number(size),
                    shown(said.at(size), form.unit),
                    shown(value, form.unit),
                    f"{100.0 * off:+.1f}%",
                    "held" if abs(off) <= WITHIN else "MISSED",
                ]
            )
    return table(
        [
            "quantity",
            "members",
            "by the law at the target's rate",
            "measured",
            "error",
            f"within {100.0 * WITHIN:.0f}%",
        ],
        rows or [[NOT_MEASURED, *["-"] * 5]],
    )


def forms(model: Model) -> str:
    rows = []
    for form in (*FORMS.values(), *PATH_FORMS.values()):
        text = ", ".join(form.basis)
        if form.full is not None:
            text += f"; with full frames {', '.join(form.full)}"
        rows.append([form.title, text, form.reason])
    return table(["quantity", "form", "reason"], rows)


# -- what was measured ---------------------------------------------------------------------------------------


def machine_said(machine: object) -> str:
    if not isinstance(machine, Mapping):
        return "-"
    memory = shown(of(machine, "memory_bytes"), "bytes")
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
        for name, file in model.measured.runs
    ]
    return table(
        ["file", "form", "command", "date", "machine", "sizes", "run"],
        rows or [["none", NOT_MEASURED, *["-"] * 5]],
    )


def sizes(model: Model) -> str:
    rows = []
    for writes in rates(model):
        some = model.measured.series.get(writes, ())
        start = full_from(some)
        for row in some:
            sent, frames = of(row, "bytes_out"), of(row, "datagrams_out")
            room = f"{100.0 * sent / frames / wire.MAX_FRAME_BYTES:.0f}%" if sent and frames else "-"
            if start is not None and float(row["members"]) >= start:
                room += ", full"
            rows.append(
                [
                    number(float(row["members"])),
                    told_said(writes),
                    room,
                    *(shown(of(row, name), FORMS[name].unit) for name in SIZES),
                    shown(of(row, "load_error"), ""),
                    shown(of(row, "shed"), "/s"),
                    shown(false_deaths(row), ""),
                ]
            )
    head = [
        "members",
        "loads told",
        "frames filled",
        *(FORMS[name].title for name in SIZES),
        "error of the sums",
        "shed",
        "false deaths, whole run",
    ]
    return table(head, rows or [[NOT_MEASURED, *["-"] * (len(head) - 1)]])


def worst(model: Model) -> str:
    """Each part of the run at the largest size that played it, and at the target by the same forms."""
    rows = []
    for part, title in PARTS.items():
        some = [row for row in model.measured.simulated if of(row, f"{part}core") is not None]
        last = max(some, key=lambda row: float(row["members"]), default={})
        cells = [title, number(float(last["members"])) if last else "-"]
        for name in WORST:
            unit, one = FORMS[name].unit, model.of(f"{part}{name}")
            at = f"{one.said(unit)} ({one.stands})" if one.value is not None else one.why
            cells.append(f"{shown(of(last, part + name), unit)}; {at}")
        cells += [shown(of(last, f"{part}false_deaths"), ""), shown(of(last, f"{part}healed_s"), "s")]
        rows.append(cells)
    return table(
        [
            "part of the run",
            "members",
            *(f"{FORMS[name].title}; at the target" for name in WORST),
            "false deaths",
            "agreed after",
        ],
        rows,
    )


def real(model: Model) -> str:
    """What real processes took, and how many times what the simulated network says at the same size."""
    rows = []
    for row in model.measured.real:
        same = [one for one in model.measured.simulated if one["members"] == row["members"]]
        cells = [number(float(row["members"])), shown(of(row, "real"), ""), shown(of(row, "hollow"), "")]
        for name in ("bytes_out", "bytes_in", "core", "memory", "everywhere_p99_s"):
            mine = of(row, f"of_real.{name}")
            mine = of(row, name) if mine is None else mine
            theirs = of(same[0], name) if same else None
            cells.append(
                shown(mine, FORMS[name].unit)
                + (f", {number(mine / theirs)} times" if mine is not None and theirs else "")
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
    return table(head, rows or [[NOT_MEASURED, *["-"] * (len(head) - 1)]])


def data_path(model: Model) -> str:
    rows = []
    for row in model.measured.data_path:
        rows.append(
            [
                number(float(row["connections"])),
                shown(of(row, "memory"), "bytes"),
                shown(of(row, "pss"), "bytes"),
                shown(of(row, "line_s"), "s"),
                shown(of(row, "line_reference"), ""),
                shown(of(row, "setup_s"), "s"),
                shown(of(row, "lines_a_second"), "/s"),
            ]
        )
    rows = rows or [[NOT_MEASURED, *["-"] * 6]]
    for title, held, lines in model.days():
        memory, line, setup = (model.path(name, held) for name in ("memory", "line_s", "setup_s"))
        busy = ""
        if line.value is not None:
            busy = f"; {shown(line.value * lines, 'core')} at {number(lines)}/s"
        rows.append(
            [
                f"**{number(held)}**, {title}",
                memory.said("bytes"),
                "-",
                f"{line.said('s')}{busy}",
                "-",
                setup.said("s"),
                "-",
            ]
        )
    return table(
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
    return table(
        ["target", "value", "where from"],
        [[one.name, shown(one.value, one.unit), one.reason] for one in TARGET.values()],
    )


def assumptions(model: Model) -> str:
    return table(
        ["assumption", "value", "reason"],
        [[one.name, shown(one.value, one.unit), one.reason] for one in ASSUMPTIONS.values()],
    )


def walls(model: Model) -> str:
    """What in the shipped code ends before the target, whatever the slopes."""
    n = int(model.n)
    waiting = n / node.MAX_QUEUED_ENTRIES
    return table(
        ["bound", "where", "at the target", "reached at"],
        [
            [
                "members whose frames are taken",
                "`wire.MAX_SENDERS`",
                f"{number(n)} of {number(wire.MAX_SENDERS)}: frames of the others are dropped as "
                f"`too-many-senders`",
                f"{wire.MAX_SENDERS + 1:,} members",
            ],
            [
                "the frame with the hashes of the ranges",
                "`wire.MAX_FRAME_BYTES`, `store.OWNERS_PER_RANGE`",
                f"{number(ranges_bytes(n))} of {number(wire.MAX_FRAME_BYTES)} bytes: dropped as "
                "`too-long`, and nothing else "
                "finds what news did not bring",
                f"{BOUND:,} owners",
            ],
            [
                "what a member can send",
                "`node.MAX_PULLS`, `node.GOSSIP_FANOUT`, `wire.MAX_FRAME_BYTES`",
                f"{shown(ceiling(n), 'bytes/s')} in {number(FRAMES / PERIOD)} frames/s: a fit over "
                f"it is cut down "
                "to it, "
                "and what is over it does not arrive",
                "-",
            ],
            [
                "what waits to be passed on",
                "`node.MAX_QUEUED_ENTRIES`",
                f"one entry of each member is {number(waiting)} times what may wait; those told most "
                f"are shed",
                f"{node.MAX_QUEUED_ENTRIES:,} entries at once",
            ],
            [
                "a round of probes",
                "`members.Membership._next_probe_target`",
                f"{shown(n * PERIOD, 's')} until a member has probed each other once; how often a "
                f"given one is "
                "probed by anybody does not depend on the size",
                "-",
            ],
            [
                "an ask for rights names every member",
                "`rights.LeaseRequest.holdings`, `store.MAX_VALUE_BYTES`",
                f"longer than the {number(store.MAX_VALUE_BYTES)} bytes of a value: refused, which "
                f"`net/fleet.py` passes over "
                "(`_write`), so that rights stop moving (read in the code and computed, not played)",
                f"{number(rights_bound())} members with names of 13 characters, "
                f"{number(rights_bound(3))} with "
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
        f"{number(float(row['members']))} members at {told_said(writes)}"
        for writes in rates(model)
        for row in model.measured.series.get(writes, ())
        if of(row, "starts") and of(row, "start_said_s") is None
    ]
    return f"not said within the run at {', '.join(some)}" if some else NOT_MEASURED


def _reading(model: Model) -> str:
    """What reading costs beside the protocol."""
    some = [
        (float(row["members"]), heed / core)
        for row in model.measured.simulated
        if (heed := of(row, "heed_core")) is not None and (core := of(row, "core"))
    ]
    if not some:
        return NOT_MEASURED
    least, most = min(one for _, one in some), max(one for _, one in some)
    return f"{number(least)} to {number(most)} times the protocol's processor, at all sizes played"


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


def render(page: str, measured: Measured) -> str:
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
