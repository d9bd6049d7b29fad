"""The tables of ``docs/CAPACITY.md``, each a function of what was measured; pure as the model is."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence

from snowwick.fleet import node, wire
from snowwick.lab.capacity_model import (
    ASSUMPTIONS,
    BOUND,
    CONTROL_BUDGETS,
    FORMS,
    FRAMES,
    NOT_MEASURED,
    PARTS,
    PATH_FORMS,
    PERIOD,
    TARGET,
    WITHIN,
    Estimate,
    Form,
    Measured,
    Model,
    assumed,
    ceiling,
    false_deaths,
    form_of,
    number,
    of,
    ranges_bytes,
    shown,
    table,
    target,
    verdict,
)
from snowwick.lab.capacity_roles import options, others, roles

MISSING = (("placing of shards", "840,000 shards"), ("99 in 100 deliveries", "390 ms"),
           ("contents of a change of configuration, in force", "8 s"))
WORST = ("bytes_out", "bytes_in", "control_core", "everywhere_p99_s", "load_late_p99_s")
SIZES = ("bytes_out", "bytes_in", "datagrams_out", "core", "heed_core", "memory", "idle_bytes_out",
         "idle_core", "everywhere_p99_s", "start_bytes", "start_s", "load_age_p99_s", "load_late_p99_s")


def glance(model: Model) -> str:
    """What is within its budget, and by what factor the rest is over; the worst first."""
    rows: list[tuple[float, list[str]]] = []

    def add(name: str, value: float | None, unit: str, budget: float, stands: str,
            factor: float | None = None, past: bool = False) -> None:
        if value is None:
            rows.append((-1.0, [name, stands, shown(budget, unit), "-", "-", "-"]))
            return
        over = value / budget if budget else (math.inf if value else 0.0)
        said = f"open: {number(over)} of it, were there no bound" if past and over <= 1.0 else verdict(over)
        rows.append((over, [name, shown(value, unit), shown(budget, unit), said,
                            f"{number(factor)} times" if factor is not None else "-", stands]))

    for quantity, budget in CONTROL_BUDGETS.items():
        form, one = form_of(quantity), model.of(quantity)
        part = quantity.rpartition(".")[0]
        title = form.title + (f", {PARTS[part + '.']}" if part else "")
        add(title, one.value, form.unit, target(budget), one.stands, one.factor, one.past)
    for title, held, lines in model.days():
        one = model.path("line_s", held)
        add(f"data path, {title}: {number(lines)} lines a second at {number(held)} connections",
            None if one.value is None else one.value * lines, "core", assumed("cores of the data path"),
            one.stands, one.factor)
    add("members that a balancer takes frames of", model.n, "", float(wire.SENDERS), "counted")
    add("frame with the hashes of the ranges", float(ranges_bytes(int(model.n))), "bytes", float(wire.MOST),
        "counted")
    deaths = [some for row in model.measured.simulated if (some := false_deaths(row)) is not None]
    add("members falsely taken for dead, all sizes played", float(sum(deaths)) if deaths else None, "", 0.0,
        "measured" if deaths else NOT_MEASURED)
    rows += [(-0.5, [name, "missing", budget, "**no mechanism**", "-", "-"]) for name, budget in MISSING]
    rows.sort(key=lambda row: -row[0])
    return table(["at the target", "figure", "budget", "verdict", "extrapolated", "size left out"],
                 [row for _, row in rows])


# -- slopes and the size that was left out -------------------------------------------------------------------


def sizes_said(sizes: Sequence[float]) -> str:
    return ", ".join(number(one) for one in sizes) or "none"


def quantities(model: Model) -> list[tuple[str, float, Form, Estimate]]:
    """Of both fits: what the sizes are, the target's size, the form, the estimate."""
    return [("members", model.n, form, model.of(form.quantity)) for form in FORMS.values()] + [
        ("connections", model.held, form, model.path(form.quantity, model.held))
        for form in PATH_FORMS.values()]


def slopes(model: Model) -> str:
    rows = []
    for _, at, form, one in quantities(model):
        rows.append([form.title, one.fit.slopes(at) if one.fit is not None else one.why, form.unit,
                     sizes_said(one.sizes), sizes_said(one.fit.sizes) if one.fit is not None else "-",
                     one.said(form.unit), f"{number(one.factor)} times" if one.factor is not None else "-",
                     one.stands])
    return table(["quantity", "slope", "unit", "sizes measured", "of these fitted", "at the target",
                  "extrapolated", "size left out"], rows)


def left_out(model: Model) -> str:
    rows = []
    for unit, _, form, one in quantities(model):
        left = one.left
        if left is None:
            why = one.why or "not tested: too few sizes under the largest"
            rows.append([form.title, why, *["-"] * 5])
        else:
            rows.append([form.title, sizes_said(left.fit.sizes), f"{number(left.size)} {unit}",
                         shown(left.predicted, form.unit), shown(left.measured, form.unit),
                         f"{100.0 * left.error:+.1f}%", "held" if left.held else "MISSED"])
    return table(["quantity", "fitted at", "left out", "predicted", "measured", "error",
                  f"within {100.0 * WITHIN:.0f}%"], rows)


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
    rows = [[name, str(file.get("form")), f"`{file.get('command', '')}`", str(file.get("date", "")),
             machine_said(file.get("machine")),
             str(sum(1 for row in file.get("rows", ()) if not row.get("partial"))),
             "whole" if file.get("complete") else f"not whole: {file.get('ended', '')}"]
            for name, file in model.measured.runs]
    return table(["file", "form", "command", "date", "machine", "sizes", "run"],
                 rows or [["none", NOT_MEASURED, *["-"] * 5]])


def sizes(model: Model) -> str:
    rows = [[number(float(row["members"])), *(shown(of(row, name), FORMS[name].unit) for name in SIZES),
             shown(of(row, "load_error"), ""), shown(of(row, "shed"), "/s"), shown(false_deaths(row), "")]
            for row in model.measured.simulated]
    head = ["members", *(FORMS[name].title for name in SIZES), "error of the sums", "shed",
            "false deaths, whole run"]
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
    return table(["part of the run", "members", *(f"{FORMS[name].title}; at the target" for name in WORST),
                  "false deaths", "agreed after"], rows)


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
            cells.append(shown(mine, FORMS[name].unit)
                         + (f", {number(mine / theirs)} times" if mine is not None and theirs else ""))
        rows.append(cells)
    head = ["members", "real", "hollow", "bytes out", "bytes in", "processor", "memory",
            "a change everywhere, 99 in 100"]
    return table(head, rows or [[NOT_MEASURED, *["-"] * (len(head) - 1)]])


def data_path(model: Model) -> str:
    rows = []
    for row in model.measured.data_path:
        rows.append([number(float(row["connections"])), shown(of(row, "memory"), "bytes"),
                     shown(of(row, "pss"), "bytes"), shown(of(row, "line_s"), "s"),
                     shown(of(row, "line_reference"), ""), shown(of(row, "setup_s"), "s"),
                     shown(of(row, "lines_a_second"), "/s")])
    rows = rows or [[NOT_MEASURED, *["-"] * 6]]
    for title, held, lines in model.days():
        memory, line, setup = (model.path(name, held) for name in ("memory", "line_s", "setup_s"))
        busy = ""
        if line.value is not None:
            busy = f"; {shown(line.value * lines, 'core')} at {number(lines)}/s"
        rows.append([f"**{number(held)}**, "
                     f"{title}", memory.said("bytes"), "-", f"{line.said('s')}{busy}", "-",
                     setup.said("s"), "-"])
    return table(["connections", "memory", "of it its own (PSS)", "processor a line", "in reference lines",
                  "processor a setup", "lines sent"], rows)


# -- what is taken for granted -------------------------------------------------------------------------------


def the_target(model: Model) -> str:
    return table(["target", "value", "where from"],
                 [[one.name, shown(one.value, one.unit), one.reason] for one in TARGET.values()])


def assumptions(model: Model) -> str:
    return table(["assumption", "value", "reason"],
                 [[one.name, shown(one.value, one.unit), one.reason] for one in ASSUMPTIONS.values()])


def walls(model: Model) -> str:
    """What in the shipped code ends before the target, whatever the slopes."""
    n = int(model.n)
    waiting = n / node.MOST_RUMOURS
    return table(["bound", "where", "at the target", "reached at"], [
        ["members whose frames are taken", "`wire.SENDERS`",
         f"{number(n)} of {number(wire.SENDERS)}: frames of the others are dropped as `too-many-senders`",
         f"{wire.SENDERS + 1:,} members"],
        ["the frame with the hashes of the ranges", "`wire.MOST`, `store.OWNERS_A_RANGE`",
         f"{number(ranges_bytes(n))} of {number(wire.MOST)} bytes: dropped as `too-long`, and nothing else "
         "finds what news did not bring", f"{BOUND:,} owners"],
        ["what a member can send", "`node.PULLS`, `node.GOSSIP`, `wire.MOST`",
         f"{shown(ceiling(n), 'bytes/s')} in {number(FRAMES / PERIOD)} frames/s: a fit over it is cut down "
         "to it, "
         "and what is over it does not arrive", "-"],
        ["what waits to be passed on", "`node.MOST_RUMOURS`",
         f"one entry of each member is {number(waiting)} times what may wait; those told most are shed",
         f"{node.MOST_RUMOURS:,} entries at once"],
        ["a round of probes", "`members.Members._turn`",
         f"{shown(n * PERIOD, 's')} until a member has probed each other once; how often a given one is "
         "probed by anybody does not depend on the size", "-"],
    ])


TABLES: dict[str, Callable[[Model], str]] = {
    "glance": glance, "runs": runs, "roles": roles, "worst": worst, "left-out": left_out, "slopes": slopes,
    "forms": forms, "sizes": sizes, "real": real, "data-path": data_path, "walls": walls, "options": options,
    "others": others, "target": the_target, "assumptions": assumptions,
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
