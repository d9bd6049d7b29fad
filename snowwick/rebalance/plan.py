"""The planner: few moves that bring a balancer's own connections toward balance.

Each balancer levels what it holds itself over the destinations' capacities.  Level parts sum up to a level
whole, and nobody reacts to what another did, so balancers that share nothing cannot swing against each other.

A destination pays for each group that it holds any of (``group_cost`` mean loads), so groups are moved whole,
and to where a part of them is already, if that lies in reach.  Times are seconds on the caller's clock, loads
in any one unit.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from snowwick.broker.gcra import Gcra


@dataclass(slots=True, frozen=True)
class Terms:
    """How gently.  ``pace`` is this balancer's part of the fleet's moves a second."""

    pace: float = 2.0
    start: float = 1.15  # worst fill over the mean from which moves begin
    stop: float = 1.05  # and under which they end: between the two nothing begins and nothing is cut short
    reception: float = 2.0  # moves a second to one destination: each is a handshake there
    least_age: float = 5.0  # s that a connection stands before it may be moved
    rest: float = 60.0  # s after a move in which the same client is not moved again
    group_cost: float = 3.0  # what any part of a group costs a destination, in mean loads
    warm_up: float = 10.0  # s that a destination takes to its full capacity
    cold_from: float = 0.3  # part of it that it has at its start


@dataclass(slots=True, frozen=True)
class Standing:
    """A connection; ``client`` is the same after a move."""

    number: int
    client: str
    group: str
    destination: int
    load: float
    since: float


@dataclass(slots=True, frozen=True)
class Place:
    """A destination that takes connections."""

    number: int
    capacity: float
    started: float = -math.inf


@dataclass(slots=True, frozen=True)
class Move:
    """A connection to be moved; ``gain``: how far the worse of the two fills falls, in parts of the mean."""

    number: int
    client: str
    source: int
    target: int
    gain: float
    reason: str


@dataclass(slots=True)
class _Fill:
    """One destination in a round: its load with the groups' cost, and the groups on it."""

    place: Place
    capacity: float
    load: float = 0.0
    groups: dict[str, list[Standing]] = field(default_factory=lambda: defaultdict(list))

    @property
    def ratio(self) -> float:
        return self.load / self.capacity


class Planner:
    """One balancer's plans: ``plan`` now and then, and what it returns is to be carried out."""

    def __init__(self, terms: Terms) -> None:
        self.terms, self.active = terms, False
        self.pace = Gcra(terms.pace, max(1.0, terms.pace))
        self.reception: dict[int, Gcra] = {}
        self.homes: dict[str, list[int]] = {}  # of a round: where each group stands
        self.moved: dict[str, float] = {}  # clients at rest, and since when; the oldest first

    def capacity(self, place: Place, now: float) -> float:
        """What a destination can bear now: less while it warms up."""
        t = self.terms
        warm = min(1.0, max(0.0, now - place.started) / t.warm_up) if t.warm_up > 0.0 else 1.0
        return place.capacity * (t.cold_from + (1.0 - t.cold_from) * warm)

    def plan(self, now: float, places: Collection[Place], standing: Iterable[Standing]) -> list[Move]:
        """The moves of this round, each with its reason and expected gain; none while all is level enough."""
        self._forget(now, {place.number for place in places})
        fills, unit = self._fills(now, places, standing)
        total, room = sum(one.load for one in fills.values()), sum(one.capacity for one in fills.values())
        if not total or not room:
            return []
        mean = total / room
        worst = max(one.ratio for one in fills.values()) / mean
        self.active = worst > (self.terms.stop if self.active else self.terms.start)
        if not self.active:
            return []
        moves: list[Move] = []
        sources = [(-one.ratio, number) for number, one in fills.items()]
        heapq.heapify(sources)
        targets = [(one.ratio, number) for number, one in fills.items() if one.ratio < mean]
        heapq.heapify(targets)
        while sources and self.pace.conforms(now):
            ratio, number = heapq.heappop(sources)
            source = fills[number]
            if -ratio <= self.terms.stop * mean:
                break
            found = self._best(now, source, fills, targets, unit, mean)
            if found is None:
                continue
            group, target, gain = found
            moves += self._move(now, source, target, group, unit, gain / mean)
            heapq.heappush(targets, (target.ratio, target.place.number))
            heapq.heappush(sources, (-source.ratio, number))
        return moves

    def _forget(self, now: float, numbers: Collection[int]) -> None:
        while self.moved and now - (first := next(iter(self.moved.items())))[1] >= self.terms.rest:
            del self.moved[first[0]]
        self.reception = {number: one for number, one in self.reception.items() if number in numbers}

    def _fills(self, now: float, places: Collection[Place],
               standing: Iterable[Standing]) -> tuple[Mapping[int, _Fill], float]:
        """The destinations as they are, and what a group costs one of them."""
        fills = {place.number: _Fill(place, self.capacity(place, now)) for place in places}
        loads = count = 0.0
        for one in standing:
            loads, count = loads + one.load, count + 1
            if one.destination in fills:
                fills[one.destination].groups[one.group].append(one)
        self.homes = defaultdict(list)
        for number, fill in fills.items():
            for name in fill.groups:
                self.homes[name].append(number)
        unit = self.terms.group_cost * loads / max(1.0, count)
        for fill in fills.values():
            fill.load = unit * len(fill.groups) + sum(
                one.load for group in fill.groups.values() for one in group)
        return fills, unit

    def _emptiest(self, now: float, fills: Mapping[int, _Fill], targets: list[tuple[float, int]],
                  mean: float) -> _Fill | None:
        """The emptiest that receives now; entries that no longer hold are dropped."""
        while targets:
            ratio, number = targets[0]
            if ratio == fills[number].ratio < mean and self._receives(now, number):
                return fills[number]
            heapq.heappop(targets)
        return None

    def _best(self, now: float, source: _Fill, fills: Mapping[int, _Fill],
              targets: list[tuple[float, int]], unit: float, mean: float) -> tuple[str, _Fill, float] | None:
        """The group that leaves the source, whole, for the target where that gains most."""
        best: tuple[float, str, _Fill] | None = None
        emptiest = self._emptiest(now, fills, targets, mean)
        if emptiest is None:
            return None
        for name, members in source.groups.items():
            if not all(self._may_move(now, one) for one in members):
                continue
            load = sum(one.load for one in members)
            # Where a part of it is already costs nothing more; else the emptiest is as good as any.
            joined = [one for number in self.homes.get(name, ()) if (one := fills[number]) is not source
                      and name in one.groups and one.ratio < mean and self._receives(now, number)]
            for target in (*joined, emptiest):
                more = load + (0.0 if name in target.groups else unit)
                filled = (target.load + more) / target.capacity
                if filled > mean * self.terms.stop:
                    continue  # it would be the next to be emptied, or be pushed over while it is cold
                gain = source.ratio - max((source.load - load - unit) / source.capacity, filled)
                if gain > 0.0 and (best is None or gain > best[0]):
                    best = gain, name, target
        return (best[1], best[2], best[0]) if best is not None else None

    def _may_move(self, now: float, one: Standing) -> bool:
        return now - one.since >= self.terms.least_age and one.client not in self.moved

    def _receives(self, now: float, number: int) -> bool:
        rate = self.terms.reception
        return self.reception.setdefault(number, Gcra(rate, max(1.0, rate))).conforms(now)

    def _move(self, now: float, source: _Fill, target: _Fill, group: str, unit: float,
              gain: float) -> list[Move]:
        """A group that has begun to leave leaves whole: half of it would cost both destinations."""
        members = source.groups.pop(group)
        load, joins = sum(one.load for one in members), group in target.groups
        source.load -= load + unit
        target.load += load + (0.0 if joins else unit)
        target.groups[group].extend(members)
        reason = "joins its group" if joins else "crowded"
        for one in members:
            self.pace.take(now)
            self.reception[target.place.number].take(now)
            self.moved.pop(one.client, None)
            self.moved[one.client] = now
        return [Move(one.number, one.client, source.place.number, target.place.number, gain, reason)
                for one in members]


def fills(places: Collection[Place], standing: Iterable[Standing],
          group_cost: float) -> tuple[dict[int, float], int]:
    """Each destination's fill over the mean, and how many groups stand on more than one of them."""
    loads: dict[int, float] = defaultdict(float)
    groups: dict[str, set[int]] = defaultdict(set)
    rows = list(standing)
    for one in rows:
        loads[one.destination] += one.load
        groups[one.group].add(one.destination)
    unit = group_cost * sum(one.load for one in rows) / max(1, len(rows))
    for held in groups.values():
        for number in held:
            loads[number] += unit
    capacity = {place.number: place.capacity for place in places}
    mean = sum(loads.values()) / sum(capacity.values())
    over_mean = {number: loads[number] / capacity[number] / mean for number in capacity}
    return over_mean, sum(len(held) > 1 for held in groups.values())
