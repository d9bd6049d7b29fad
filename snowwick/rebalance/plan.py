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
class _Part:
    """What of a group stands on one destination."""

    load: float = 0.0
    members: dict[int, Standing] = field(default_factory=dict)


class Book:
    """What stands, summed up as it comes and goes, so that a round need not walk all of it."""

    def __init__(self, standing: Iterable[Standing] = ()) -> None:
        self.rows: dict[int, Standing] = {}
        self.groups: dict[int, dict[str, _Part]] = {}  # by destination
        self.homes: dict[str, set[int]] = {}  # where each group stands
        self.loads: dict[int, float] = defaultdict(float)  # by destination
        self.load = 0.0
        for one in standing:
            self.put(one)

    def put(self, one: Standing) -> None:
        """A connection stands, or has another load, place or age than before."""
        self.remove(one.number)
        self.rows[one.number] = one
        part = self.groups.setdefault(one.destination, {}).setdefault(one.group, _Part())
        part.members[one.number] = one
        part.load += one.load
        self.homes.setdefault(one.group, set()).add(one.destination)
        self.loads[one.destination] += one.load
        self.load += one.load

    def remove(self, number: int) -> None:
        """It has ended."""
        one = self.rows.pop(number, None)
        if one is None:
            return
        groups = self.groups[one.destination]
        part = groups[one.group]
        del part.members[number]
        part.load -= one.load
        self.loads[one.destination] -= one.load
        self.load -= one.load
        if part.members:
            return
        # The last of its group there: what is kept must not grow with groups that come and go.
        del groups[one.group]
        self.homes[one.group].discard(one.destination)
        if not self.homes[one.group]:
            del self.homes[one.group]
        if not groups:
            del self.groups[one.destination], self.loads[one.destination]


@dataclass(slots=True)
class _Fill:
    """One destination in a round: its load with the groups' cost, the groups on it, and who came or left."""

    place: Place
    capacity: float
    load: float
    groups: Mapping[str, _Part]
    changed: dict[str, bool] = field(default_factory=dict)  # groups that came in this round (True) or left

    @property
    def ratio(self) -> float:
        return self.load / self.capacity

    def holds(self, group: str) -> bool:
        return self.changed.get(group, group in self.groups)


class Planner:
    """One balancer's plans: ``plan`` now and then, and what it returns is to be carried out."""

    def __init__(self, terms: Terms) -> None:
        self.terms, self.active = terms, False
        self.pace = Gcra(terms.pace, max(1.0, terms.pace))
        self.reception: dict[int, Gcra] = {}
        self.moved: dict[str, float] = {}  # clients at rest, and since when; the oldest first

    def capacity(self, place: Place, now: float) -> float:
        """What a destination can bear now: less while it warms up."""
        t = self.terms
        warm = min(1.0, max(0.0, now - place.started) / t.warm_up) if t.warm_up > 0.0 else 1.0
        return place.capacity * (t.cold_from + (1.0 - t.cold_from) * warm)

    def plan(self, now: float, places: Collection[Place], book: Book) -> list[Move]:
        """The moves of this round, each with its reason and expected gain; none while all is level enough."""
        self._forget(now, {place.number for place in places})
        unit = self.terms.group_cost * book.load / max(1, len(book.rows))
        fills = self._fills(now, places, book, unit)
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
            found = self._best(now, source, fills, targets, book, unit, mean)
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

    def _fills(self, now: float, places: Collection[Place], book: Book, unit: float) -> dict[int, _Fill]:
        """The destinations as they are; ``unit`` is what a group costs one of them."""
        found = {}
        for place in places:
            groups = book.groups.get(place.number, {})
            load = book.loads[place.number] + unit * len(groups) if groups else 0.0
            found[place.number] = _Fill(place, self.capacity(place, now), load, groups)
        return found

    def _emptiest(
        self, now: float, fills: Mapping[int, _Fill], targets: list[tuple[float, int]], mean: float
    ) -> _Fill | None:
        """The emptiest that receives now; entries that no longer hold are dropped."""
        while targets:
            ratio, number = targets[0]
            if ratio == fills[number].ratio < mean and self._receives(now, number):
                return fills[number]
            heapq.heappop(targets)
        return None

    def _best(
        self,
        now: float,
        source: _Fill,
        fills: Mapping[int, _Fill],
        targets: list[tuple[float, int]],
        book: Book,
        unit: float,
        mean: float,
    ) -> tuple[str, _Fill, float] | None:
        """The group that leaves the source, whole, for the target where that gains most."""
        best: tuple[float, str, _Fill] | None = None
        emptiest = self._emptiest(now, fills, targets, mean)
        if emptiest is None:
            return None
        for name, part in source.groups.items():
            if name in source.changed or not all(self._may_move(now, one) for one in part.members.values()):
                continue
            load = part.load
            # Where a part of it is already costs nothing more; else the emptiest is as good as any.
            joined = [
                one
                for number in book.homes[name]
                if (one := fills.get(number)) is not None
                and one is not source
                and one.holds(name)
                and one.ratio < mean
                and self._receives(now, number)
            ]
            for target in (*joined, emptiest):
                more = load + (0.0 if target.holds(name) else unit)
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

    def _move(
        self, now: float, source: _Fill, target: _Fill, group: str, unit: float, gain: float
    ) -> list[Move]:
        """A group that has begun to leave leaves whole: half of it would cost both destinations."""
        part, joins = source.groups[group], target.holds(group)
        members, load = list(part.members.values()), part.load
        source.load -= load + unit
        target.load += load + (0.0 if joins else unit)
        source.changed[group], target.changed[group] = False, True
        reason = "joins its group" if joins else "crowded"
        for one in members:
            self.pace.consume(now)
            self.reception[target.place.number].consume(now)
            self.moved.pop(one.client, None)
            self.moved[one.client] = now
        return [
            Move(one.number, one.client, source.place.number, target.place.number, gain, reason)
            for one in members
        ]


def fills(
    places: Collection[Place], standing: Iterable[Standing], group_cost: float
) -> tuple[dict[int, float], int]:
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
