"""The roles' table and the options for the mechanism that is missing, from the model; pure as it is.

Figures without a mark are from measured slopes.  *Counted* ones follow from constants of the shipped code
and the assumptions; *estimated* ones are of what is missing.
"""

from __future__ import annotations

import math

from snowwick.fleet import wire
from snowwick.lab.capacity_model import (
    DAY_S,
    GROWTH_MODELS,
    NOT_FITTED,
    NOT_MEASURED,
    Estimate,
    Fit,
    Model,
    assumed_value,
    budget_verdict,
    fit_quantity,
    format_number,
    format_value,
    full_propagation_bytes_per_s,
    markdown_table,
    target_value,
    transmissions_per_entry,
    upper_bound,
)

CELLS = (10, 19, 30, 57, 114, 190)  # members of a cell; they divide the 1,140 balancers of a zone
CHILDREN = (4, 16, 64)  # of a member in a tree


def rate(value: float) -> str:
    return format_value(value, "bytes/s")


def size(value: float) -> str:
    return format_value(value, "bytes")


def seconds(value: float) -> str:
    return format_value(value, "s")


def times(one: Estimate, count: float, unit: str) -> str:
    return one.missing_reason if one.value is None else format_value(one.value * count, unit)


# -- roles ---------------------------------------------------------------------------------------------------

ALL = "of all control together: at a glance"


def _path(model: Model) -> list[str]:
    line, worse = (
        model.data_path_estimate("line_s", model.connections),
        model.data_path_estimate("line_s", model.connections_zone_lost),
    )
    back = target_value("connections that come back") / (model.balancers - model.balancers_per_zone)
    again = times(model.data_path_estimate("setup_s", model.connections_zone_lost), back, "s")
    return [
        "data path: connections and lines",
        "`net/service.py`, `net/front.py`, `net/loop.py`",
        f"{format_number(model.connections)} connections",
        f"{format_number(model.lines_per_s)} lines/s",
        times(line, model.lines_per_s, "core"),
        model.data_path_estimate("memory", model.connections).text("bytes"),
        f"zone: {format_number(model.connections_zone_lost)} connections, "
        f"{model.data_path_estimate('memory', model.connections_zone_lost).text('bytes')}"
        f"; {format_number(model.lines_per_s_zone_lost)} lines/s, "
        f"{times(worse, model.lines_per_s_zone_lost, 'core')}; setups of "
        f"{format_number(back)} that come back: processor {again}",
    ]


def _shards(model: Model) -> list[str]:
    shards, score = target_value("shards"), assumed_value("processor a shard's score")
    place, cell, zones = (
        assumed_value("bytes a shard's place"),
        assumed_value("members of a cell"),
        target_value("zones"),
    )
    flat, steps = model.balancers * score, (zones + model.balancers_per_zone / cell + cell) * score
    return [
        "placing of shards",
        "**missing**; would be rendezvous hashing, as `crowgap/policy.py` has it "
        "for groups, over zones, then cells, then members",
        f"{format_number(shards / model.balancers)} of {format_number(shards)} shards (estimated)",
        "none beside membership",
        f"a look-up: {seconds(steps)} in steps, {seconds(flat)} over all members; all shards anew: "
        f"{seconds(shards * steps)} (estimated)",
        f"{size(shards * place)} with all places, {size(shards / model.balancers * place)} with its own "
        "(estimated)",
        f"zone: {format_number(shards / zones)} shards move, {seconds(shards / zones * steps)} where each "
        "balancer reckons all, nothing where it looks up what it uses (estimated); cut: each region "
        "places all shards in itself",
    ]


def _fan_out(model: Model) -> list[str]:
    per, frame = (
        assumed_value("listeners of a shard at a balancer"),
        assumed_value("processor a frame in or out"),
    )
    frames, n, cell = model.lines_per_s / per, model.balancers, assumed_value("members of a cell")
    sent = n * frame
    return [
        "fan-out of a topic's deliveries",
        "**missing**; would be frames from a shard's owner to each "
        "balancer with listeners, large topics by way of one balancer a cell",
        f"{format_number(target_value('listeners') / n)} listeners of the largest topic",
        f"{format_number(frames)} frames/s in and out, "
        f"{rate(frames * assumed_value('bytes a delivery between balancers'))} each (estimated)",
        f"{format_value(2.0 * frames * frame, 'core')} (estimated)",
        "not estimated: it depends on the queues",
        f"zone: {format_number(model.lines_per_s_zone_lost / per)} frames/s; one message of the largest "
        "topic, sent by "
        f"its owner alone: {format_number(n)} frames, {seconds(sent)} of "
        f"{seconds(target_value('delivered within'))}; "
        f"by way of one a cell: {seconds((n / cell + cell) * frame)} (estimated)",
    ]


def _membership(model: Model) -> list[str]:
    news = transmissions_per_entry(model.balancers) * assumed_value("bytes a member's news")
    goings = 2.0 * (target_value("failures") + target_value("restarts")) / DAY_S
    storm = model.balancers_per_zone * news
    return [
        "membership",
        "`fleet/members.py` (SWIM, Lifeguard)",
        f"{format_number(model.balancers)} records",
        f"{model.control_estimate('idle_bytes_out').text('bytes/s')} idle; {format_number(goings)} "
        "goings and comings a "
        f"second are {rate(goings * news)} out (counted)",
        f"{model.control_estimate('idle_core').text('core')} idle",
        ALL,
        f"zone: {format_number(model.balancers_per_zone)} deaths are {size(storm)} out, "
        f"{seconds(storm / target_value('control bytes'))} of the whole budget (counted); cut: the other "
        "region's members are taken for dead, and come back",
    ]


def _configuration(model: Model) -> list[str]:
    changes = target_value("changes of configuration") / DAY_S
    body = changes * assumed_value("bytes a change of configuration")
    entry = changes * transmissions_per_entry(model.balancers) * assumed_value("bytes an entry")
    day, burst, zone = (
        model.control_estimate(f"{part}everywhere_p99_s").text("s") for part in ("", "burst.", "zone_lost.")
    )
    return [
        "configuration",
        "that it differs, and limits: `fleet/registers.py` (Revision); its contents "
        "**missing**, files and SIGHUP: would be signed files in pieces, asked for as `store.entries_after`",
        "one file",
        f"{format_number(changes)} changes/s: {rate(entry)} out (counted), contents {rate(body)} in "
        "(estimated)",
        ALL,
        ALL,
        f"everywhere, 99 in 100: {day} on an ordinary day, {burst} in a burst, "
        f"{zone} with a zone lost, of {seconds(target_value('in force everywhere'))}; cut: not before "
        "it heals",
    ]


def _health(model: Model) -> list[str]:
    return [
        "health",
        "`fleet/registers.py` (HealthTracker)",
        "a verdict for each bad destination and finder, 6 s",
        f"{rate(transmissions_per_entry(model.balancers) * assumed_value('bytes an entry'))} out for "
        "one verdict a second of the fleet "
        "(counted)",
        ALL,
        ALL,
        "zone: verdicts on its destinations from each who had any there; cut: who "
        "finds over a quarter bad is taken for sick and not heeded",
    ]


def _loads(model: Model) -> list[str]:
    writes = assumed_value("register writes of a member")
    every = full_propagation_bytes_per_s(model.balancers, writes, assumed_value("bytes an entry"))
    return [
        "loads",
        "`fleet/registers.py` (LOAD), `net/fleet.py`",
        f"{format_number(4 * model.balancers)} registers",
        f"{rate(every)} out if each tells {format_number(writes)} a second (counted): over the budget "
        f"{format_number(every / target_value('control bytes'))} times",
        ALL,
        ALL,
        f"late by, 99 in 100: "
        f"{model.control_estimate('load_late_p99_s').text('s')}, with a zone lost "
        f"{model.control_estimate('zone_lost.load_late_p99_s').text('s')}; cut: the other region's "
        "count nothing",
    ]


def _rights(model: Model) -> list[str]:
    return [
        "rights",
        "`fleet/rights.py`, `net/fleet.py`",
        "an ask a member and budget, a grant a pair",
        f"{rate(full_propagation_bytes_per_s(model.balancers, 1.0, assumed_value('bytes an entry')))} "
        "out for a budget that all want more "
        "of: asks once a second, heard by all (counted)",
        ALL,
        ALL,
        "zone: what was lent to it counts as "
        "used for 12 s, its own part is not used until it is back; who starts has a tenth for 12 s; cut: "
        "each region has its own parts",
    ]


def _joining(model: Model) -> list[str]:
    start = model.control_estimate("start_bytes")
    others = model.balancers_per_zone / (model.balancers - model.balancers_per_zone)
    return [
        "joining and catching up",
        "`fleet/node.py` (comparison, pulls)",
        "-",
        f"{start.text('bytes')} in a start; {format_number(target_value('restarts') / DAY_S)} starts/s "
        "in the fleet",
        ALL,
        "as before the start",
        f"a start takes {model.control_estimate('start_s').text('s')}; zone: "
        f"{format_number(model.balancers_per_zone)} at once, {times(start, others, 'bytes')} out of "
        "each other balancer",
    ]


def _machines(model: Model) -> list[str]:
    into = model.balancers * assumed_value("bytes a sum") / assumed_value("s between sums")
    machines = target_value("control machines")
    return [
        "the five control machines",
        "**missing**; would add up loads and hand on files",
        "-",
        f"{rate(into)} into each that hears all balancers (estimated)",
        "the options below",
        f"{size(model.balancers * assumed_value('bytes a sum'))} (estimated)",
        "one or two down: nothing here depends "
        f"on them; as relays the others bear {format_number(machines / (machines - 2.0))} times as much",
    ]


def _discovery(model: Model) -> list[str]:
    calls = model.balancers * assumed_value("held calls a second a balancer")
    watches = model.balancers_per_zone * assumed_value("processor a new watch at discovery")
    return [
        "discovery",
        "watched by `net/pool.py`; the service itself is the platform's",
        "the list, 1 MB of JSON at most (`MAX_BODY`)",
        f"{format_number(calls)} held calls/s of all balancers (counted)",
        "of the service: "
        f"{format_value(calls * assumed_value('processor a held call at discovery'), 'core')} (counted)",
        "the list, read: some ten times its JSON",
        f"zone: {format_number(model.balancers_per_zone)} new watches, "
        f"{seconds(watches)} of the service's processor (counted); a list of all 1 MB to each",
    ]


def roles(model: Model) -> str:
    """What each role holds and costs a balancer at the target, and what carries it."""
    rows = [
        make(model)
        for make in (
            _path,
            _shards,
            _fan_out,
            _membership,
            _configuration,
            _health,
            _loads,
            _rights,
            _joining,
            _machines,
            _discovery,
        )
    ]
    return markdown_table(
        ["role", "mechanism", "state held", "messages", "processor", "memory", "worst hour"], rows
    )


# -- options -------------------------------------------------------------------------------------------------


def sums(model: Model) -> float:
    """Bytes a second of sums that a member hears beside its own cell."""
    return (
        assumed_value("sums a member hears") * assumed_value("bytes a sum") / assumed_value("s between sums")
    )


def _cell(one: Fit | None, quantity: str, budget: str, cell: float, rest: float, some: bool) -> str:
    if one is None:
        return NOT_FITTED if some else NOT_MEASURED
    unit, mine = GROWTH_MODELS[quantity].unit, min(one.value_at(cell), upper_bound(quantity, cell))
    text = f"{format_value(mine, unit)}, {budget_verdict(mine / target_value(budget))}"
    if rest > 1.0:
        both = mine + min(one.value_at(rest), upper_bound(quantity, rest))
        text += f"; delegate {format_value(both, unit)}, {budget_verdict(both / target_value(budget))}"
    return text


def options(model: Model) -> str:
    """Cells of several sizes, by the fits at the size of a cell, and of a fleet of their delegates."""
    measured = model.measurements.simulated
    fits = {
        name: fit_quantity(GROWTH_MODELS[name], measured) for name in ("bytes_out", "control_core", "memory")
    }
    budgets = {"bytes_out": "control bytes", "control_core": "control core", "memory": "control memory"}
    idle, entry = model.control_estimate("idle_bytes_out"), assumed_value("bytes an entry")
    played = [float(row["members"]) for row in measured]
    rows = []
    for cell in (*CELLS, model.balancers):
        rest = model.balancers / cell
        row = [
            f"cells of {format_number(cell)}, {format_number(rest)} delegates"
            if rest > 1.0
            else "all, as it is"
        ]
        row += [_cell(fits[name], name, budgets[name], cell, rest, bool(measured)) for name in fits]
        beside = sums(model) if rest > 1.0 else 0.0
        row.append(rate(beside))
        if idle.fit is None:
            row.append(idle.missing_reason)
        else:
            room = target_value("control bytes") - idle.fit.value_at(cell) - beside
            row.append(
                seconds(full_propagation_bytes_per_s(cell, 1.0, entry) / room) if room > 0.0 else "no room"
            )
        inside = (
            bool(played)
            and min(played) <= cell <= max(played)
            and (rest == 1.0 or min(played) <= rest <= max(played))
        )
        row.append("inside the sizes measured" if inside else "beyond them" if played else "-")
        rows.append(row)
    return markdown_table(
        [
            "who is heard in full",
            "bytes out",
            "processor",
            "memory",
            "sums in beside",
            "one register told each, within the budget (counted)",
            "fits",
        ],
        rows,
    )


def others(model: Model) -> str:
    """The options beside cells, by the assumptions."""
    n, one, every = model.balancers, assumed_value("bytes a sum"), assumed_value("s between sums")
    entry, heard = assumed_value("bytes an entry"), sums(model)
    rows = []
    for k in CHILDREN:
        depth = math.ceil(math.log(n, k))
        rows.append(
            [
                f"a tree, {k} children a member",
                f"{rate(one / every + k * heard)}",
                f"{rate(k * one / every + heard)}",
                f"{seconds(2.0 * depth * every)}, {depth} levels up and down",
                "a member that dies cuts "
                "off what is under it until that has found another parent; a change of configuration "
                "waits for it too",
            ]
        )
    machines = target_value("control machines")
    frames = n / every / machines * (1.0 + math.ceil(heard * every / wire.MAX_FRAME_BYTES))
    rows.append(
        [
            "the five machines as relays",
            rate(one / every),
            rate(heard),
            seconds(2.0 * every),
            f"a machine: {rate(n * one / every / machines)} in, {rate(n * heard / machines)} out, "
            f"{format_value(frames * assumed_value('processor a frame in or out'), 'core')}; with two down "
            f"{format_number(machines / (machines - 2.0))} times that. All away: no sums; each goes by its "
            "own count and its part of the budgets",
        ]
    )
    bound = target_value("control bytes")
    rows.append(
        [
            "doing without: tell less often",
            rate(bound),
            rate(bound),
            f"{seconds(full_propagation_bytes_per_s(n, 1.0, entry) / bound)} between two tellings of a "
            "member",
            "memory, processor of the looks and the bounds of the shipped code stay as they are",
        ]
    )
    loads = 10.0
    rows.append(
        [
            f"doing without: tell changes of {format_number(loads)} times the size",
            rate(bound),
            rate(bound),
            f"{seconds(full_propagation_bytes_per_s(n, 1.0 / loads, entry) / bound)}, if "
            f"{format_number(loads)} times as large are "
            f"{format_number(loads)} times as rare",
            "the same; and sums are off by the size times the root "
            "of the members, if errors are independent, which a common rise is not",
        ]
    )
    return markdown_table(
        [
            "option",
            "out of a balancer",
            "into a balancer",
            "age",
            "cost elsewhere, and what holds when it is away",
        ],
        rows,
    )
