"""The operators' file of contracts: its form (version 1), its checks, and what each balancer's part of it is.

This module imports msgspec; the program loads it only where a file is given.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Any

import msgspec

from snowwick.broker.admission import BalancerLimits, ClassLimits, TeamLimits
from snowwick.broker.fair import Claim, max_min, striped
from snowwick.broker.pools import Match
from snowwick.toml_reader import TomlReader

Count = Annotated[int, msgspec.Meta(ge=0)]
Amount = Annotated[float, msgspec.Meta(ge=0.0)]
Part = Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Positive = Annotated[float, msgspec.Meta(gt=0.0)]
Named = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]


class BadContracts(ValueError):
    """The file cannot be used; ``faults`` holds a line for each fault, its full key path first."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Reclaim(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How what is lent comes back."""

    within_s: Positive = 10.0  # an owner that asks has its guarantee after this long
    reserve: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.1  # of the unused guarantees, never lent


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What all balancers together may hold for certain; ``load`` in the unit of the LOAD lines."""

    connections: Annotated[int, msgspec.Meta(gt=0)]
    setups_per_s: Positive
    load: Positive | None = None
    burst_s: Positive = 0.25  # how many seconds' worth of a rate may pass at once after a pause
    reclaim: Reclaim = Reclaim()


class Pool(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Destinations by what discovery says of them; no key at all takes every destination."""

    match: dict[str, Any] = {}


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One side of a budget; what is left out of a guarantee is nothing, of a ceiling all of the fleet."""

    connections: Count | None = None
    setups_per_s: Amount | None = None
    load: Amount | None = None


class Class(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A request class inside a team."""

    max_deadline_ms: Positive | None = None
    share: Part = 1.0  # of the team's ceiling at most


class Team(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A team's contract.  Without classes every class of the settings is in it."""

    tenants: Annotated[list[Named], msgspec.Meta(min_length=1)]
    pool: str
    weight: Positive = 1.0
    guarantee: Limits = Limits()
    ceiling: Limits = Limits()
    classes: dict[str, Class] = {}


class Contracts(msgspec.Struct, frozen=True):
    """The whole file, checked."""

    fleet: Fleet
    pools: dict[str, Match]
    teams: dict[str, Team]

    @property
    def tenants(self) -> dict[str, str]:
        """The team of each tenant."""
        return {tenant: name for name, team in self.teams.items() for tenant in team.tenants}


class TeamPart(msgspec.Struct, frozen=True):
    """What one balancer enforces of a team's contract."""

    connections: tuple[int, int]  # guarantee, ceiling
    setups_per_s: tuple[float, float]
    load: tuple[float, float]


def parts(contracts: Contracts, balancers: int, index: int) -> tuple[int, dict[str, TeamPart]]:
    """One balancer's part of the fleet's connections, and of each team's limits.

    Connections are dealt out one by one (``fair.striped``), so over all balancers every figure sums exactly.
    """
    first, of_teams = 0, {}
    for name in sorted(contracts.teams):
        team, fleet = contracts.teams[name], contracts.fleet
        guaranteed = team.guarantee.connections or 0
        most = fleet.connections if team.ceiling.connections is None else team.ceiling.connections
        rate = fleet.setups_per_s if team.ceiling.setups_per_s is None else team.ceiling.setups_per_s
        load = team.ceiling.load if team.ceiling.load is not None else fleet.load or math.inf
        of_teams[name] = TeamPart(
            (striped(first, guaranteed, balancers, index), striped(first, most, balancers, index)),
            ((team.guarantee.setups_per_s or 0.0) / balancers, rate / balancers),
            ((team.guarantee.load or 0.0) / balancers, load / balancers),
        )
        first += guaranteed
    return striped(0, contracts.fleet.connections, balancers, index), of_teams


def parse(
    text: str, classes: Collection[str] | None = None, tenants: Collection[str] | None = None
) -> Contracts:
    """Read and check a file's text; raises BadContracts with every fault found.

    ``classes`` and ``tenants`` are the settings' names, or None where there are no settings to check against.
    """
    reader = TomlReader()
    raw = reader.parse(text, {"fleet", "pools", "teams"})
    if not raw:
        raise BadContracts(reader.faults)
    fleet = reader.read_struct("fleet", reader.read_table(raw, "fleet", required=True), Fleet)
    pools, teams = _pools(reader, raw), _teams(reader, raw)
    if fleet is not None and not reader.faults:
        _together(reader, fleet, pools, teams)
        _against(reader, teams, classes, tenants)
    if reader.faults or fleet is None:
        raise BadContracts(reader.faults)
    return Contracts(fleet, pools, teams)


def load(
    path: str | Path, classes: Collection[str] | None = None, tenants: Collection[str] | None = None
) -> Contracts:
    """Read a file; raises BadContracts, also where it cannot be read."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise BadContracts([f"cannot read {path}: {error}"]) from error
    return parse(text, classes, tenants)


def _pools(reader: TomlReader, raw: dict[str, Any]) -> dict[str, Match]:
    found: dict[str, Match] = {}
    for name, one in reader.read_table(raw, "pools", required=True).items():
        pool = reader.read_struct(f"pools.{name}", one, Pool)
        if pool is None:
            continue
        wanted: dict[str, frozenset[str]] = {}
        for key, values in pool.match.items():
            path = f"pools.{name}.match.{key}"
            rows = values if isinstance(values, list) else [values]
            if key not in ("kind", "zone", "cell"):
                reader.add_fault(path, "unknown key")
            elif not rows or not all(isinstance(v, str | int) and not isinstance(v, bool) for v in rows):
                reader.add_fault(path, "must be a name or a list of names, not empty")
            else:
                wanted[key] = frozenset(map(str, rows))
        found[name] = Match(wanted.get("kind"), wanted.get("zone"), wanted.get("cell"))
    return found


def _teams(reader: TomlReader, raw: dict[str, Any]) -> dict[str, Team]:
    found: dict[str, Team] = {}
    for name, one in reader.read_table(raw, "teams", required=True).items():
        path = f"teams.{name}"
        if not isinstance(one, dict):
            reader.add_fault(path, "must be a table")
            continue
        inner = {
            key: reader.read_struct(f"{path}.classes.{key}", value, Class)
            for key, value in reader.read_table(one, f"{path}.classes").items()
        }
        team = reader.read_struct(path, {key: value for key, value in one.items() if key != "classes"}, Team)
        if team is not None:
            found[name] = msgspec.structs.replace(
                team, classes={key: value for key, value in inner.items() if value is not None}
            )
    return found


def _together(reader: TomlReader, fleet: Fleet, pools: dict[str, Match], teams: dict[str, Team]) -> None:
    """What no single key can be blamed for before the others are known."""
    owner: dict[str, str] = {}
    for name, team in teams.items():
        path = f"teams.{name}"
        for tenant in team.tenants:
            if owner.setdefault(tenant, name) != name:
                reader.add_fault(f"{path}.tenants", f"{tenant!r} is in teams.{owner[tenant]} already")
        if team.pool not in pools:
            reader.add_fault(f"{path}.pool", f"no pool is named {team.pool!r}")
        if len(set(team.tenants)) < len(team.tenants):
            reader.add_fault(f"{path}.tenants", "names a tenant twice")
        for key in ("connections", "setups_per_s", "load"):
            low, high = getattr(team.guarantee, key), getattr(team.ceiling, key)
            if key == "load" and fleet.load is None and (low or high) is not None:
                reader.add_fault(
                    f"{path}.{'guarantee' if low is not None else 'ceiling'}.load", "needs fleet.load"
                )
            if low is not None and high is not None and high < low:
                reader.add_fault(f"{path}.ceiling.{key}", f"{high} is under the guarantee, {low}")
    for key in ("connections", "setups_per_s", "load"):
        most, asked = getattr(fleet, key), sum(getattr(team.guarantee, key) or 0 for team in teams.values())
        if most is not None and asked > most * (1 + 1e-9):
            reader.add_fault(f"fleet.{key}", f"the guarantees together, {asked}, exceed it, {most}")
    names = list(pools)
    for n, one in enumerate(names):
        for other in names[:n]:
            if pools[one].overlaps(pools[other]):
                reader.add_fault(f"pools.{one}.match", f"overlaps with pools.{other}.match")
        if all(team.pool != one for team in teams.values()):
            reader.add_fault(f"pools.{one}", "no team uses it")


def _against(
    reader: TomlReader,
    teams: dict[str, Team],
    classes: Collection[str] | None,
    tenants: Collection[str] | None,
) -> None:
    """What the settings must know."""
    for name, team in teams.items():
        for key in team.classes if classes is not None else ():
            if key not in (classes or ()):
                reader.add_fault(f"teams.{name}.classes.{key}", "the settings have no such class")
        for tenant in team.tenants if tenants is not None else ():
            if tenant not in (tenants or ()):
                reader.add_fault(f"teams.{name}.tenants", f"the settings have no tenant {tenant!r}")


def explain(contracts: Contracts, balancers: int) -> list[dict[str, Any]]:
    """For each team, at one balancer of so many: its guarantee, what it gets alone and when all ask.

    Whole connections are those of balancer 0; where they do not divide evenly another may have one less.
    """
    fleet, of_teams = parts(contracts, balancers, 0)
    rate, load = contracts.fleet.setups_per_s / balancers, (contracts.fleet.load or math.inf) / balancers
    names = sorted(of_teams)

    def shared(total: float, limits: list[tuple[float, float]]) -> list[float]:
        if math.isinf(total):
            return [total] * len(limits)
        return max_min(
            total,
            [
                Claim(low, min(high, total), contracts.teams[name].weight)
                for name, (low, high) in zip(names, limits, strict=True)
            ],
        )

    seats = shared(fleet, [of_teams[n].connections for n in names])
    setups = shared(rate, [of_teams[n].setups_per_s for n in names])
    loads = shared(load, [of_teams[n].load for n in names])
    rows = []
    for at, name in enumerate(names):
        one = of_teams[name]
        refill = one.connections[0] / one.setups_per_s[0] if one.setups_per_s[0] else 0.0
        rows.append(
            {
                "team": name,
                "pool": contracts.teams[name].pool,
                "connections": (one.connections[0], min(fleet, one.connections[1]), int(seats[at] + 1e-9)),
                "setups_per_s": (one.setups_per_s[0], min(rate, one.setups_per_s[1]), setups[at]),
                "load": (one.load[0], min(load, one.load[1]), loads[at]),
                "guarantee_after_s": max(contracts.fleet.reclaim.within_s, refill),
            }
        )
    return rows


def fleet_limits(contracts: Contracts) -> dict[str, float]:
    """The contracts' limits over the whole fleet, by the names of the budgets."""
    fleet = contracts.fleet
    found = {"fleet.connections": float(fleet.connections), "fleet.setups": fleet.setups_per_s}
    for name, team in contracts.teams.items():
        most, rate = team.ceiling.connections, team.ceiling.setups_per_s
        found[f"{name}.connections"] = float(fleet.connections if most is None else most)
        found[f"{name}.setups"] = fleet.setups_per_s if rate is None else rate
    return found


def contracts_digest(contracts: Contracts) -> str:
    """The same for contracts that say the same, however their files are written."""
    return blake2b(
        repr(msgspec.to_builtins(contracts, order="deterministic")).encode(), digest_size=6
    ).hexdigest()


def balancer_budgets(contracts: Contracts, balancers: int, index: int) -> dict[str, tuple[float, bool]]:
    """One balancer's static part of each budget that the fleet shares, and whether it counts whole things."""
    connections, of_teams = parts(contracts, balancers, index)
    found: dict[str, tuple[float, bool]] = {
        "fleet.connections": (connections, True),
        "fleet.setups": (contracts.fleet.setups_per_s / balancers, False),
    }
    for name, part in of_teams.items():
        found[f"{name}.connections"] = part.connections[1], True
        found[f"{name}.setups"] = part.setups_per_s[1], False
    return found


def balancer_limits(
    contracts: Contracts, balancers: int, index: int, rights: Mapping[str, float] | None = None
) -> BalancerLimits:
    """What one balancer enforces; ``rights`` holds what it has of the budgets now, where they move.

    A team's guarantee goes with its rights: over all balancers it is at most the contract's.
    """
    fleet = contracts.fleet
    _, of_teams = parts(contracts, balancers, index)
    have = {key: part for key, (part, _) in balancer_budgets(contracts, balancers, index).items()}
    static, have = have, {**have, **{key: value for key, value in (rights or {}).items() if key in have}}

    def moved(guarantee: float, key: str) -> float:
        return guarantee * have[key] / static[key] if static[key] > 0.0 else guarantee

    teams = {}
    for name, team in contracts.teams.items():
        part = of_teams[name]
        seats, setups = f"{name}.connections", f"{name}.setups"
        teams[name] = TeamLimits(
            (min(have[seats], math.floor(moved(part.connections[0], seats) + 1e-9)), have[seats]),
            (moved(part.setups_per_s[0], setups), have[setups]),
            part.load,
            team.weight,
            team.pool,
            {
                key: ClassLimits(one.share, one.max_deadline_ms or math.inf)
                for key, one in team.classes.items()
            },
        )
    return BalancerLimits(
        have["fleet.connections"],
        have["fleet.setups"],
        teams,
        (fleet.load or math.inf) / balancers,
        fleet.burst_s,
        fleet.reclaim.within_s,
        fleet.reclaim.reserve,
    )
