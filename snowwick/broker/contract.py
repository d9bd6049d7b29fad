"""The operators' contracts file (format version 1): reading, checks, and each balancer's part of the limits.

This module needs msgspec, so the program imports it only if such a file is given.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Any

import msgspec

from snowwick.broker.admission import BalancerLimits, ClassLimits, TeamLimits
from snowwick.broker.fair import Claim, max_min_shares, round_robin_count
from snowwick.broker.pools import Match
from snowwick.toml_reader import TomlReader

NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0.0)]
Fraction = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0.0)]
# Budgets of all teams together; those of one team are named TEAM.connections and TEAM.setups
FLEET_CONNECTIONS = "fleet.connections"
FLEET_SETUPS = "fleet.setups"
RESERVED_TEAM_NAME = "fleet"  # the budgets of a team of this name would be those of all teams
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class BadContracts(ValueError):
    """The contracts file cannot be used; ``faults`` holds one line per fault.

    A fault at a key starts with the key's full path.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Reclaim(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How lent room is reclaimed."""

    within_s: PositiveFloat = 10.0  # time in which a team gets its whole guarantee back
    reserve: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.1  # part of the unused guarantees not lent


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The capacity that all balancers together may use.

    ``load`` is work a second in the unit of the destinations' LOAD lines; without it load is not limited.
    """

    connections: Annotated[int, msgspec.Meta(gt=0)]
    setups_per_s: PositiveFloat
    load: PositiveFloat | None = None
    burst_s: PositiveFloat = 0.25  # seconds' worth of a rate that may pass at once after a pause
    reclaim: Reclaim = Reclaim()


class Pool(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The label values that select a pool's destinations; an empty ``match`` selects every destination."""

    match: dict[str, Any] = {}


class ResourceLimits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A team's guarantee or ceiling.  A missing value is 0 in a guarantee, the fleet's limit in a ceiling."""

    connections: NonNegativeInt | None = None
    setups_per_s: NonNegativeFloat | None = None
    load: NonNegativeFloat | None = None


class RequestClass(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A request class of a team."""

    max_deadline_ms: PositiveFloat | None = None  # longest wait of a request; None sets no limit
    share: Fraction = 1.0  # part of the team's ceiling that the class may use


class Team(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A team's contract.  Without ``classes`` the team may use every class of the settings."""

    tenants: Annotated[list[Name], msgspec.Meta(min_length=1)]
    pool: str
    weight: PositiveFloat = 1.0
    guarantee: ResourceLimits = ResourceLimits()
    ceiling: ResourceLimits = ResourceLimits()
    classes: dict[str, RequestClass] = {}


class Contracts(msgspec.Struct, frozen=True):
    """The contents of a contracts file that has passed all checks."""

    fleet: Fleet
    pools: dict[str, Match]
    teams: dict[str, Team]

    @property
    def tenants(self) -> dict[str, str]:
        """Team names by tenant."""
        return {tenant: name for name, team in self.teams.items() for tenant in team.tenants}


class TeamPart(msgspec.Struct, frozen=True):
    """One balancer's part of a team's limits, as (guarantee, ceiling)."""

    connections: tuple[int, int]
    setups_per_s: tuple[float, float]
    load: tuple[float, float]


def balancer_parts(contracts: Contracts, balancers: int, index: int) -> tuple[int, dict[str, TeamPart]]:
    """One balancer's part of the fleet's connections, and its part of each team's limits.

    ``index`` is the balancer's, from 0.  Connections are divided with ``fair.round_robin_count``, so that the
    parts of all balancers sum exactly to the contract.
    """
    first_unit = 0
    team_parts = {}
    for name in sorted(contracts.teams):
        team, fleet = contracts.teams[name], contracts.fleet
        guaranteed = team.guarantee.connections or 0
        ceiling = fleet.connections if team.ceiling.connections is None else team.ceiling.connections
        setups_per_s = fleet.setups_per_s if team.ceiling.setups_per_s is None else team.ceiling.setups_per_s
        load = team.ceiling.load if team.ceiling.load is not None else fleet.load or math.inf
        # The ceiling is dealt from the same unit as the guarantee, so it is no lower at any balancer.
        team_parts[name] = TeamPart(
            (
                round_robin_count(first_unit, guaranteed, balancers, index),
                round_robin_count(first_unit, ceiling, balancers, index),
            ),
            ((team.guarantee.setups_per_s or 0.0) / balancers, setups_per_s / balancers),
            ((team.guarantee.load or 0.0) / balancers, load / balancers),
        )
        first_unit += guaranteed
    return round_robin_count(0, contracts.fleet.connections, balancers, index), team_parts


def parse(
    text: str, classes: Collection[str] | None = None, tenants: Collection[str] | None = None
) -> Contracts:
    """Read and check a file's text; raises BadContracts with all faults.

    ``classes`` and ``tenants`` are the names in the settings, or None to skip the check against settings.
    """
    reader = TomlReader()
    raw = reader.parse(text, {"fleet", "pools", "teams"})
    if not raw:
        raise BadContracts(reader.faults)
    fleet = reader.read_struct("fleet", reader.read_table(raw, "fleet", required=True), Fleet)
    pools, teams = _read_pools(reader, raw), _read_teams(reader, raw)
    if fleet is not None and not reader.faults:
        _check_consistency(reader, fleet, pools, teams)
        _check_against_settings(reader, teams, classes, tenants)
    if reader.faults or fleet is None:
        raise BadContracts(reader.faults)
    return Contracts(fleet, pools, teams)


def load(
    file_path: str | Path, classes: Collection[str] | None = None, tenants: Collection[str] | None = None
) -> Contracts:
    """Like ``parse`` for a file; raises BadContracts also if the file cannot be read."""
    try:
        text = Path(file_path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadContracts([f"cannot read {file_path}: {error}"]) from error
    return parse(text, classes, tenants)


def _read_pools(reader: TomlReader, raw: dict[str, Any]) -> dict[str, Match]:
    matches: dict[str, Match] = {}
    for name, table in reader.read_table(raw, "pools", required=True).items():
        pool = reader.read_struct(f"pools.{name}", table, Pool)
        if pool is None:
            continue
        accepted: dict[str, frozenset[str]] = {}
        for key, values in pool.match.items():
            path = f"pools.{name}.match.{key}"
            labels = values if isinstance(values, list) else [values]
            if key not in ("kind", "zone", "cell"):
                reader.add_fault(path, "unknown key")
            elif not labels or not all(
                isinstance(label, str | int) and not isinstance(label, bool) for label in labels
            ):
                reader.add_fault(path, "must be a name or a list of names, not empty")
            else:
                accepted[key] = frozenset(map(str, labels))
        matches[name] = Match(accepted.get("kind"), accepted.get("zone"), accepted.get("cell"))
    return matches


def _read_teams(reader: TomlReader, raw: dict[str, Any]) -> dict[str, Team]:
    teams: dict[str, Team] = {}
    for name, table in reader.read_table(raw, "teams", required=True).items():
        path = f"teams.{name}"
        if not isinstance(table, dict):
            reader.add_fault(path, "must be a table")
            continue
        classes = {
            key: reader.read_struct(f"{path}.classes.{key}", value, RequestClass)
            for key, value in reader.read_table(table, f"{path}.classes").items()
        }
        team = reader.read_struct(
            path, {key: value for key, value in table.items() if key != "classes"}, Team
        )
        if team is not None:
            teams[name] = msgspec.structs.replace(
                team, classes={key: value for key, value in classes.items() if value is not None}
            )
    return teams


def _check_consistency(
    reader: TomlReader, fleet: Fleet, pools: dict[str, Match], teams: dict[str, Team]
) -> None:
    """Check the conditions that involve several keys of the file."""
    if RESERVED_TEAM_NAME in teams:
        reader.add_fault(f"teams.{RESERVED_TEAM_NAME}", "is reserved for the limits of all teams together")
    team_of_tenant: dict[str, str] = {}
    for name, team in teams.items():
        path = f"teams.{name}"
        for tenant in team.tenants:
            if team_of_tenant.setdefault(tenant, name) != name:
                reader.add_fault(
                    f"{path}.tenants", f"{tenant!r} is in teams.{team_of_tenant[tenant]} already"
                )
        if team.pool not in pools:
            reader.add_fault(f"{path}.pool", f"no pool is named {team.pool!r}")
        if len(set(team.tenants)) < len(team.tenants):
            reader.add_fault(f"{path}.tenants", "names a tenant twice")
        for key in ("connections", "setups_per_s", "load"):
            guarantee, ceiling = getattr(team.guarantee, key), getattr(team.ceiling, key)
            if key == "load" and fleet.load is None and (guarantee or ceiling) is not None:
                reader.add_fault(
                    f"{path}.{'guarantee' if guarantee is not None else 'ceiling'}.load", "needs fleet.load"
                )
            if guarantee is not None and ceiling is not None and ceiling < guarantee:
                reader.add_fault(f"{path}.ceiling.{key}", f"{ceiling} is under the guarantee, {guarantee}")
    for key in ("connections", "setups_per_s", "load"):
        limit, guaranteed = (
            getattr(fleet, key),
            sum(getattr(team.guarantee, key) or 0 for team in teams.values()),
        )
        # 1e-9 allows for the rounding errors of a sum.
        if limit is not None and guaranteed > limit * (1 + 1e-9):
            reader.add_fault(f"fleet.{key}", f"the guarantees add up to {guaranteed}, which exceeds {limit}")
    names = list(pools)
    for n, name in enumerate(names):
        for earlier_name in names[:n]:
            if pools[name].overlaps(pools[earlier_name]):
                reader.add_fault(f"pools.{name}.match", f"overlaps with pools.{earlier_name}.match")
        if all(team.pool != name for team in teams.values()):
            reader.add_fault(f"pools.{name}", "no team uses it")


def _check_against_settings(
    reader: TomlReader,
    teams: dict[str, Team],
    classes: Collection[str] | None,
    tenants: Collection[str] | None,
) -> None:
    """Check that the settings define the classes and tenants that the contracts name."""
    for name, team in teams.items():
        for key in team.classes if classes is not None else ():
            if key not in (classes or ()):
                reader.add_fault(f"teams.{name}.classes.{key}", "the settings have no such class")
        for tenant in team.tenants if tenants is not None else ():
            if tenant not in (tenants or ()):
                reader.add_fault(f"teams.{name}.tenants", f"the settings have no tenant {tenant!r}")


def explain(contracts: Contracts, balancers: int) -> list[dict[str, Any]]:
    """Each team's limits at one balancer, as one row per team, for the command ``contracts explain``.

    The three numbers per resource are the guarantee, the most that the team may use while the others are
    idle, and its fair share while all teams use as much as they may.  ``guarantee_after_s`` is the time in
    which the team gets its whole guarantee back: the reclaim time, or the time that its guaranteed
    connections take at its guaranteed setups a second if that is longer.  Connections are those of balancer
    0; if they do not divide evenly, another balancer may have one less.
    """
    connections, team_parts = balancer_parts(contracts, balancers, 0)
    setups_per_s, load = (
        contracts.fleet.setups_per_s / balancers,
        (contracts.fleet.load or math.inf) / balancers,
    )
    names = sorted(team_parts)

    def fair_shares(total: float, limits: list[tuple[float, float]]) -> list[float]:
        if math.isinf(total):
            return [total] * len(limits)
        return max_min_shares(
            total,
            [
                Claim(guarantee, min(ceiling, total), contracts.teams[name].weight)
                for name, (guarantee, ceiling) in zip(names, limits, strict=True)
            ],
        )

    connection_shares = fair_shares(connections, [team_parts[name].connections for name in names])
    setup_shares = fair_shares(setups_per_s, [team_parts[name].setups_per_s for name in names])
    load_shares = fair_shares(load, [team_parts[name].load for name in names])
    rows = []
    for n, name in enumerate(names):
        part = team_parts[name]
        refill_s = part.connections[0] / part.setups_per_s[0] if part.setups_per_s[0] else 0.0
        rows.append(
            {
                "team": name,
                "pool": contracts.teams[name].pool,
                "connections": (
                    part.connections[0],
                    min(connections, part.connections[1]),
                    int(connection_shares[n] + 1e-9),
                ),
                "setups_per_s": (
                    part.setups_per_s[0],
                    min(setups_per_s, part.setups_per_s[1]),
                    setup_shares[n],
                ),
                "load": (part.load[0], min(load, part.load[1]), load_shares[n]),
                "guarantee_after_s": max(contracts.fleet.reclaim.within_s, refill_s),
            }
        )
    return rows


def fleet_limits(contracts: Contracts) -> dict[str, float]:
    """The upper limits of the whole fleet and of each team, in connections and setups a second, by budget."""
    fleet = contracts.fleet
    limits = {FLEET_CONNECTIONS: float(fleet.connections), FLEET_SETUPS: fleet.setups_per_s}
    for name, team in contracts.teams.items():
        max_connections = team.ceiling.connections
        max_setups_per_s = team.ceiling.setups_per_s
        limits[f"{name}.connections"] = float(
            fleet.connections if max_connections is None else max_connections
        )
        limits[f"{name}.setups"] = fleet.setups_per_s if max_setups_per_s is None else max_setups_per_s
    return limits


def contracts_digest(contracts: Contracts) -> str:
    """A digest of the contracts that does not depend on the layout of their file."""
    return blake2b(
        repr(msgspec.to_builtins(contracts, order="deterministic")).encode(), digest_size=6
    ).hexdigest()


def balancer_budgets(contracts: Contracts, balancers: int, index: int) -> dict[str, tuple[float, bool]]:
    """One balancer's static part of each budget, and whether the budget counts whole units.

    The static part is what the balancer has before balancers transfer parts of budgets to each other.
    """
    connections, team_parts = balancer_parts(contracts, balancers, index)
    budgets: dict[str, tuple[float, bool]] = {
        FLEET_CONNECTIONS: (connections, True),
        FLEET_SETUPS: (contracts.fleet.setups_per_s / balancers, False),
    }
    for name, part in team_parts.items():
        budgets[f"{name}.connections"] = part.connections[1], True
        budgets[f"{name}.setups"] = part.setups_per_s[1], False
    return budgets


def balancer_limits(
    contracts: Contracts, balancers: int, index: int, rights: Mapping[str, float] | None = None
) -> BalancerLimits:
    """The limits that one balancer enforces.

    If balancers transfer parts of budgets to each other, ``rights`` has this balancer's present part by
    budget.  A team's guarantee is scaled in proportion to this balancer's part of the team's budget, so that
    the guarantees at all balancers sum to at most the contract's.
    """
    fleet = contracts.fleet
    _, team_parts = balancer_parts(contracts, balancers, index)
    current_parts = {key: part for key, (part, _) in balancer_budgets(contracts, balancers, index).items()}
    static_parts, current_parts = (
        current_parts,
        {**current_parts, **{key: value for key, value in (rights or {}).items() if key in current_parts}},
    )

    def scaled(guarantee: float, key: str) -> float:
        return guarantee * current_parts[key] / static_parts[key] if static_parts[key] > 0.0 else guarantee

    teams = {}
    for name, team in contracts.teams.items():
        part = team_parts[name]
        connections = f"{name}.connections"
        setups = f"{name}.setups"
        teams[name] = TeamLimits(
            (
                min(current_parts[connections], math.floor(scaled(part.connections[0], connections) + 1e-9)),
                current_parts[connections],
            ),
            (scaled(part.setups_per_s[0], setups), current_parts[setups]),
            part.load,
            team.weight,
            team.pool,
            {
                key: ClassLimits(request_class.share, request_class.max_deadline_ms or math.inf)
                for key, request_class in team.classes.items()
            },
        )
    return BalancerLimits(
        current_parts[FLEET_CONNECTIONS],
        current_parts[FLEET_SETUPS],
        teams,
        (fleet.load or math.inf) / balancers,
        fleet.burst_s,
        fleet.reclaim.within_s,
        fleet.reclaim.reserve,
    )
