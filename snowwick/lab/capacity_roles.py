"""The table of a balancer's functions, and the options for missing mechanisms; pure as the capacity model.

Figures without a mark come from measurements.  *Calculated* ones follow from constants of the code and the
assumptions; *estimated* ones are of mechanisms that do not exist yet.
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
    full_gossip_bytes_per_s,
    markdown_table,
    target_value,
    transmissions_per_entry,
    upper_bound,
)

CELL_SIZES_MEMBERS = (10, 19, 30, 57, 114, 190)  # each divides the 1,140 balancers of a zone
CHILDREN_PER_MEMBER = (4, 16, 64)  # in an aggregation tree


def bytes_per_s_text(value: float) -> str:
    return format_value(value, "bytes/s")


def bytes_text(value: float) -> str:
    return format_value(value, "bytes")


def seconds_text(value: float) -> str:
    return format_value(value, "s")


def multiplied_text(estimate: Estimate, factor: float, unit: str) -> str:
    """An estimate times a factor, or the reason why there is no estimate."""
    return estimate.missing_reason if estimate.value is None else format_value(estimate.value * factor, unit)


# -- functions of a balancer ---------------------------------------------------------------------------------

IN_CONTROL_TOTAL = "part of the control total, see the summary"


def _data_path(model: Model) -> list[str]:
    line, line_zone_lost = (
        model.data_path_estimate("line_s", model.connections),
        model.data_path_estimate("line_s", model.connections_zone_lost),
    )
    reconnecting = target_value("reconnecting connections") / (model.balancers - model.balancers_per_zone)
    setup_processor = multiplied_text(
        model.data_path_estimate("setup_s", model.connections_zone_lost), reconnecting, "s"
    )
    return [
        "data path: connections and lines",
        "`net/service.py`, `net/front.py`, `net/loop.py`",
        f"{format_number(model.connections)} connections",
        f"{format_number(model.lines_per_s)} lines/s",
        multiplied_text(line, model.lines_per_s, "core"),
        model.data_path_estimate("memory", model.connections).text("bytes"),
        f"zone lost: {format_number(model.connections_zone_lost)} connections, "
        f"{model.data_path_estimate('memory', model.connections_zone_lost).text('bytes')}"
        f"; {format_number(model.lines_per_s_zone_lost)} lines/s, "
        f"{multiplied_text(line_zone_lost, model.lines_per_s_zone_lost, 'core')}; setups of "
        f"{format_number(reconnecting)} reconnecting connections: processor time {setup_processor}",
    ]


def _shard_placement(model: Model) -> list[str]:
    shards, score_s = target_value("shards"), assumed_value("processor time per shard score")
    placement_bytes, cell_size, zones = (
        assumed_value("bytes per shard placement"),
        assumed_value("members per cell"),
        target_value("zones"),
    )
    flat_s = model.balancers * score_s
    hierarchical_s = (zones + model.balancers_per_zone / cell_size + cell_size) * score_s
    return [
        "placement of shards",
        "**missing**; possible: rendezvous hashing over zones, then cells, then members, as in "
        "`crowgap/policy.py` for groups",
        f"{format_number(shards / model.balancers)} of {format_number(shards)} shards (estimated)",
        "none in addition to membership",
        f"one look-up: {seconds_text(hierarchical_s)} in hierarchical steps, {seconds_text(flat_s)} over all "
        f"members; placing all shards again: {seconds_text(shards * hierarchical_s)} (estimated)",
        f"{bytes_text(shards * placement_bytes)} with all placements, "
        f"{bytes_text(shards / model.balancers * placement_bytes)} with its own (estimated)",
        f"zone lost: {format_number(shards / zones)} shards move, "
        f"{seconds_text(shards / zones * hierarchical_s)} if each balancer computes all placements, nothing "
        "if it looks up those that it uses (estimated); regions partitioned: each region places all shards "
        "within itself",
    ]


def _fan_out(model: Model) -> list[str]:
    listeners_per_balancer, frame_s = (
        assumed_value("listeners per shard and balancer"),
        assumed_value("processor time per frame sent or received"),
    )
    frames_per_s, balancers, cell_size = (
        model.lines_per_s / listeners_per_balancer,
        model.balancers,
        assumed_value("members per cell"),
    )
    direct_s = balancers * frame_s
    return [
        "fan-out of a topic's deliveries",
        "**missing**; possible: frames from a shard's owner to each balancer with listeners, for large "
        "topics through one balancer per cell",
        f"{format_number(target_value('listeners') / balancers)} listeners of the largest topic",
        f"{format_number(frames_per_s)} frames/s in and out, "
        f"{bytes_per_s_text(frames_per_s * assumed_value('bytes per delivery between balancers'))} each "
        "(estimated)",
        f"{format_value(2.0 * frames_per_s * frame_s, 'core')} (estimated)",
        "not estimated: it depends on the queues",
        f"zone lost: {format_number(model.lines_per_s_zone_lost / listeners_per_balancer)} frames/s; one "
        f"message of the largest topic, sent by its owner alone: {format_number(balancers)} frames, "
        f"{seconds_text(direct_s)} of {seconds_text(target_value('delivery time'))}; through one balancer "
        f"per cell: {seconds_text((balancers / cell_size + cell_size) * frame_s)} (estimated)",
    ]


def _membership(model: Model) -> list[str]:
    update_bytes = transmissions_per_entry(model.balancers) * assumed_value("bytes per membership update")
    updates_per_s = 2.0 * (target_value("failures") + target_value("restarts")) / DAY_S
    zone_lost_bytes = model.balancers_per_zone * update_bytes
    return [
        "membership",
        "`fleet/members.py` (SWIM, Lifeguard)",
        f"{format_number(model.balancers)} records",
        f"{model.control_estimate('idle_bytes_out').text('bytes/s')} idle; {format_number(updates_per_s)} "
        f"members that leave or join per second are {bytes_per_s_text(updates_per_s * update_bytes)} out "
        "(calculated)",
        f"{model.control_estimate('idle_core').text('core')} idle",
        IN_CONTROL_TOTAL,
        f"zone lost: {format_number(model.balancers_per_zone)} dead members are "
        f"{bytes_text(zone_lost_bytes)} out, "
        f"{seconds_text(zone_lost_bytes / target_value('control bytes'))} of the whole budget (calculated); "
        "regions partitioned: the members of the other region are declared dead, and join again later",
    ]


def _configuration(model: Model) -> list[str]:
    changes_per_s = target_value("configuration changes") / DAY_S
    contents_bytes_per_s = changes_per_s * assumed_value("bytes per configuration change")
    entry_bytes_per_s = (
        changes_per_s * transmissions_per_entry(model.balancers) * assumed_value("bytes per entry")
    )
    ordinary, burst, zone_lost = (
        model.control_estimate(f"{phase}everywhere_p99_s").text("s") for phase in ("", "burst.", "zone_lost.")
    )
    return [
        "configuration",
        "that it differs, and limits: `fleet/registers.py` (Revision); its contents **missing**, now files "
        "and SIGHUP; possible: signed files in parts, requested as by `store.Store.entries_after`",
        "one file",
        f"{format_number(changes_per_s)} changes/s: {bytes_per_s_text(entry_bytes_per_s)} out (calculated), "
        f"contents {bytes_per_s_text(contents_bytes_per_s)} in (estimated)",
        IN_CONTROL_TOTAL,
        IN_CONTROL_TOTAL,
        f"propagation to all members, 99th percentile: {ordinary} on an ordinary day, {burst} in a burst, "
        f"{zone_lost} with a zone lost, of "
        f"{seconds_text(target_value('configuration propagation time'))}; regions partitioned: not before "
        "they are connected again",
    ]


def _health(model: Model) -> list[str]:
    return [
        "health",
        "`fleet/registers.py` (HealthTracker)",
        "a verdict for each bad destination and balancer that found it bad, 6 s",
        f"{bytes_per_s_text(transmissions_per_entry(model.balancers) * assumed_value('bytes per entry'))} "
        "out for one verdict per second in the fleet (calculated)",
        IN_CONTROL_TOTAL,
        IN_CONTROL_TOTAL,
        "zone lost: verdicts on its destinations from each balancer with connections to them; regions "
        "partitioned: a balancer that finds over a quarter of the destinations bad is taken to be at fault "
        "itself and ignored",
    ]


def _loads(model: Model) -> list[str]:
    writes_per_s = assumed_value("register writes per member")
    all_bytes_per_s = full_gossip_bytes_per_s(model.balancers, writes_per_s, assumed_value("bytes per entry"))
    return [
        "loads",
        "`fleet/registers.py` (LOAD), `net/fleet.py`",
        f"{format_number(4 * model.balancers)} registers",
        f"{bytes_per_s_text(all_bytes_per_s)} out if each member writes {format_number(writes_per_s)} per "
        "second (calculated): "
        f"{format_number(all_bytes_per_s / target_value('control bytes'))} times the budget",
        IN_CONTROL_TOTAL,
        IN_CONTROL_TOTAL,
        f"delay of updates, 99th percentile: "
        f"{model.control_estimate('load_late_p99_s').text('s')}, with a zone lost "
        f"{model.control_estimate('zone_lost.load_late_p99_s').text('s')}; regions partitioned: the loads of "
        "the other region are not counted",
    ]


def _rights(model: Model) -> list[str]:
    return [
        "rights",
        "`fleet/rights.py`, `net/fleet.py`",
        "a lease request for each member and budget, a grant for each pair of members",
        f"{bytes_per_s_text(full_gossip_bytes_per_s(model.balancers, 1.0, assumed_value('bytes per entry')))}"
        " out for a budget of which all members want more: a request per second, sent to all (calculated)",
        IN_CONTROL_TOTAL,
        IN_CONTROL_TOTAL,
        "zone lost: amounts lent to its balancers count as used for 12 s, and their own shares are unused "
        "until they return; a balancer that starts has a tenth for 12 s; regions partitioned: each region "
        "has its own shares",
    ]


def _joining(model: Model) -> list[str]:
    start = model.control_estimate("start_bytes")
    starts_per_other = model.balancers_per_zone / (model.balancers - model.balancers_per_zone)
    return [
        "joining and catching up",
        "`fleet/node.py` (comparison, pulls)",
        "-",
        f"{start.text('bytes')} in per start; {format_number(target_value('restarts') / DAY_S)} starts/s in "
        "the fleet",
        IN_CONTROL_TOTAL,
        "as before the start",
        f"a start takes {model.control_estimate('start_s').text('s')}; zone back: "
        f"{format_number(model.balancers_per_zone)} starts at once, "
        f"{multiplied_text(start, starts_per_other, 'bytes')} out of each other balancer",
    ]


def _control_machines(model: Model) -> list[str]:
    bytes_in_per_s = model.balancers * assumed_value("bytes per sum") / assumed_value("interval between sums")
    machines = target_value("control machines")
    return [
        "the five control machines",
        "**missing**; possible: adding up loads and forwarding files",
        "-",
        f"{bytes_per_s_text(bytes_in_per_s)} into each that receives from all balancers (estimated)",
        "see the options",
        f"{bytes_text(model.balancers * assumed_value('bytes per sum'))} (estimated)",
        "one or two down: nothing here depends on them; if they are relays, the others have "
        f"{format_number(machines / (machines - 2.0))} times the load",
    ]


def _discovery(model: Model) -> list[str]:
    calls_per_s = model.balancers * assumed_value("held calls per balancer")
    watches_s = model.balancers_per_zone * assumed_value("processor time per new watch at discovery")
    return [
        "discovery",
        "watched by `net/pool.py`; the service itself belongs to the platform",
        "the list, at most 1 MB of JSON (`MAX_BODY_BYTES`)",
        f"{format_number(calls_per_s)} held calls/s of all balancers (calculated)",
        "of the service: "
        f"{format_value(calls_per_s * assumed_value('processor time per held call at discovery'), 'core')} "
        "(calculated)",
        "the parsed list: about ten times its JSON",
        f"zone back: {format_number(model.balancers_per_zone)} new watches, "
        f"{seconds_text(watches_s)} of the service's processor time (calculated); "
        "a list of up to 1 MB to each",
    ]


def functions_table(model: Model) -> str:
    """What each function of a balancer costs it at the target, with the mechanism behind it."""
    rows = [
        make_row(model)
        for make_row in (
            _data_path,
            _shard_placement,
            _fan_out,
            _membership,
            _configuration,
            _health,
            _loads,
            _rights,
            _joining,
            _control_machines,
            _discovery,
        )
    ]
    return markdown_table(
        ["function", "mechanism", "state held", "messages", "processor", "memory", "worst case"], rows
    )


# -- options -------------------------------------------------------------------------------------------------


def sums_bytes_per_s(model: Model) -> float:
    """Bytes per second of load sums that a member receives in addition to the traffic of its own cell."""
    return (
        assumed_value("sums received per member")
        * assumed_value("bytes per sum")
        / assumed_value("interval between sums")
    )


def _cell_cost_text(
    fit: Fit | None, quantity: str, budget: str, cell_size: float, delegates: float, has_rows: bool
) -> str:
    """The cost of a member of a cell, and of a delegate, which is also a member of the delegates' fleet."""
    if fit is None:
        return NOT_FITTED if has_rows else NOT_MEASURED
    unit, member_cost = (
        GROWTH_MODELS[quantity].unit,
        min(fit.value_at(cell_size), upper_bound(quantity, cell_size)),
    )
    text = f"{format_value(member_cost, unit)}, {budget_verdict(member_cost / target_value(budget))}"
    if delegates > 1.0:
        delegate_cost = member_cost + min(fit.value_at(delegates), upper_bound(quantity, delegates))
        text += (
            f"; delegate {format_value(delegate_cost, unit)}, "
            f"{budget_verdict(delegate_cost / target_value(budget))}"
        )
    return text


def cell_options_table(model: Model) -> str:
    """Cells of several sizes, by the fits at the size of a cell and at the number of their delegates."""
    rows_measured = model.measurements.simulated
    fits = {
        name: fit_quantity(GROWTH_MODELS[name], rows_measured)
        for name in ("bytes_out", "control_core", "memory")
    }
    budgets = {"bytes_out": "control bytes", "control_core": "control core", "memory": "control memory"}
    idle, entry_bytes = model.control_estimate("idle_bytes_out"), assumed_value("bytes per entry")
    measured_sizes = [float(row["members"]) for row in rows_measured]
    rows = []
    for cell_size in (*CELL_SIZES_MEMBERS, model.balancers):
        delegates = model.balancers / cell_size
        row_texts = [
            f"cells of {format_number(cell_size)}, {format_number(delegates)} delegates"
            if delegates > 1.0
            else "all members, as now"
        ]
        row_texts += [
            _cell_cost_text(fits[name], name, budgets[name], cell_size, delegates, bool(rows_measured))
            for name in fits
        ]
        sums = sums_bytes_per_s(model) if delegates > 1.0 else 0.0
        row_texts.append(bytes_per_s_text(sums))
        if idle.fit is None:
            row_texts.append(idle.missing_reason)
        else:
            remaining = target_value("control bytes") - idle.fit.value_at(cell_size) - sums
            row_texts.append(
                seconds_text(full_gossip_bytes_per_s(cell_size, 1.0, entry_bytes) / remaining)
                if remaining > 0.0
                else "none, the budget is used up"
            )
        within_measured_sizes = (
            bool(measured_sizes)
            and min(measured_sizes) <= cell_size <= max(measured_sizes)
            and (delegates == 1.0 or min(measured_sizes) <= delegates <= max(measured_sizes))
        )
        row_texts.append(
            "within the measured sizes"
            if within_measured_sizes
            else "beyond the measured sizes"
            if measured_sizes
            else "-"
        )
        rows.append(row_texts)
    return markdown_table(
        [
            "members that exchange all registers",
            "bytes out",
            "processor",
            "memory",
            "load sums in, in addition",
            "interval of register updates within the budget (calculated)",
            "fits",
        ],
        rows,
    )


def other_options_table(model: Model) -> str:
    """The options other than cells, by the assumptions."""
    balancers, sum_bytes, interval_s = (
        model.balancers,
        assumed_value("bytes per sum"),
        assumed_value("interval between sums"),
    )
    entry_bytes, sums_in = assumed_value("bytes per entry"), sums_bytes_per_s(model)
    rows = []
    for children in CHILDREN_PER_MEMBER:
        depth = math.ceil(math.log(balancers, children))
        rows.append(
            [
                f"a tree with {children} children per member",
                f"{bytes_per_s_text(sum_bytes / interval_s + children * sums_in)}",
                f"{bytes_per_s_text(children * sum_bytes / interval_s + sums_in)}",
                f"{seconds_text(2.0 * depth * interval_s)}, {depth} levels up and down",
                "a member that fails disconnects its subtree until that has found another parent; "
                "configuration changes wait for this too",
            ]
        )
    machines = target_value("control machines")
    frames = (
        balancers / interval_s / machines * (1.0 + math.ceil(sums_in * interval_s / wire.MAX_FRAME_BYTES))
    )
    rows.append(
        [
            "the five control machines as relays",
            bytes_per_s_text(sum_bytes / interval_s),
            bytes_per_s_text(sums_in),
            seconds_text(2.0 * interval_s),
            f"per machine: {bytes_per_s_text(balancers * sum_bytes / interval_s / machines)} in, "
            f"{bytes_per_s_text(balancers * sums_in / machines)} out, "
            f"{format_value(frames * assumed_value('processor time per frame sent or received'), 'core')}"
            "; with two down "
            f"{format_number(machines / (machines - 2.0))} times as much. With all down: no sums; each "
            "balancer uses its own counts and its share of the budgets",
        ]
    )
    budget = target_value("control bytes")
    rows.append(
        [
            "no new mechanism: less frequent load updates",
            bytes_per_s_text(budget),
            bytes_per_s_text(budget),
            f"{seconds_text(full_gossip_bytes_per_s(balancers, 1.0, entry_bytes) / budget)} between two "
            "updates of a member",
            "memory, the processor of reading the registers and the limits of the code do not change",
        ]
    )
    change_factor = 10.0
    rows.append(
        [
            f"no new mechanism: updates only for changes {format_number(change_factor)} times as large",
            bytes_per_s_text(budget),
            bytes_per_s_text(budget),
            f"{seconds_text(full_gossip_bytes_per_s(balancers, 1.0 / change_factor, entry_bytes) / budget)}"
            f", if changes {format_number(change_factor)} times as large are "
            f"{format_number(change_factor)} times as rare",
            "the same; in addition the error of the sums is the size of a change times the square root of "
            "the number of members, if errors are independent, which they are not when all loads rise "
            "together",
        ]
    )
    return markdown_table(
        [
            "option",
            "out of a balancer",
            "into a balancer",
            "age of the loads",
            "other costs, and what remains when it is down",
        ],
        rows,
    )
