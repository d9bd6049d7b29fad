"""The rebalancing planner: levels the load of one balancer's own connections with few moves.

Each balancer distributes its own connections in proportion to the destinations' capacities.  If every
balancer's connections are level, the total is level too.  No balancer reacts to the moves of another, so
balancers that share no state cannot oscillate against each other.

A destination has an added cost for each group with at least one connection there: ``group_cost`` times the
mean load of a connection.  Groups are therefore moved whole, and if possible to a destination that already
has a part of them.  Times are seconds on the caller's clock; loads are in any one unit.
"""

from __future__ import annotations

import heapq
import math
from collections import defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from snowwick.broker.gcra import Gcra


@dataclass(slots=True, frozen=True)
class RebalanceSettings:
    """The settings of the planner; both rates of moves are this balancer's parts of the fleet's rates."""

    moves_per_s: float = 2.0
    # Moves start while the ratio of the highest utilization to the mean exceeds ``start_ratio``, and go on
    # until it is at most ``stop_ratio``.
    start_ratio: float = 1.15
    stop_ratio: float = 1.05
    receive_moves_per_s: float = 2.0  # to one destination: each move costs it a handshake
    min_age_s: float = 5.0  # how long a connection has to be established before it may be moved
    client_cooldown_s: float = 60.0  # time after a move until the same client may be moved again
    group_cost: float = 3.0  # added cost of a group at a destination, in mean loads of a connection
    warm_up_s: float = 10.0  # time after its start until a destination has its full capacity
    initial_capacity_fraction: float = 0.3  # the part of its capacity that a destination starts with


@dataclass(slots=True, frozen=True)
class Connection:
    """An established connection; ``client`` identifies its client, also after a move."""

    number: int
    client: str
    group: str
    destination: int
    load: float
    established_at: float


@dataclass(slots=True, frozen=True)
class Destination:
    """A destination that takes new connections."""

    number: int
    capacity: float
    started_at: float = -math.inf


@dataclass(slots=True, frozen=True)
class Move:
    """A connection to move; ``number`` is the connection's, ``source`` and ``target`` are destinations.

    ``gain`` is the decrease of the higher of the two destinations' utilizations by the move of the whole
    group, as a fraction of the mean utilization.
    """

    number: int
    client: str
    source: int
    target: int
    gain: float
    reason: str


@dataclass(slots=True)
class _GroupPart:
    """The connections of one group at one destination, and their load."""

    load: float = 0.0
    connections: dict[int, Connection] = field(default_factory=dict)


class ConnectionTable:
    """The established connections, with running totals so that a planning round need not read them all."""

    def __init__(self, connections: Iterable[Connection] = ()) -> None:
        self.connections: dict[int, Connection] = {}
        self.groups: dict[int, dict[str, _GroupPart]] = {}  # by destination
        self.group_destinations: dict[str, set[int]] = {}  # by group
        self.loads: dict[int, float] = defaultdict(float)  # by destination
        self.total_load = 0.0
        for connection in connections:
            self.put(connection)

    def put(self, connection: Connection) -> None:
        """Add a connection, or replace the one with the same number."""
        self.remove(connection.number)
        self.connections[connection.number] = connection
        part = self.groups.setdefault(connection.destination, {}).setdefault(connection.group, _GroupPart())
        part.connections[connection.number] = connection
        part.load += connection.load
        self.group_destinations.setdefault(connection.group, set()).add(connection.destination)
        self.loads[connection.destination] += connection.load
        self.total_load += connection.load

    def remove(self, number: int) -> None:
        """Remove a connection that has ended."""
        connection = self.connections.pop(number, None)
        if connection is None:
            return
        groups = self.groups[connection.destination]
        part = groups[connection.group]
        del part.connections[number]
        part.load -= connection.load
        self.loads[connection.destination] -= connection.load
        self.total_load -= connection.load
        if part.connections:
            return
        # The group has no connection left at this destination.  Its entries are deleted, as the table would
        # grow with every new group otherwise.
        del groups[connection.group]
        self.group_destinations[connection.group].discard(connection.destination)
        if not self.group_destinations[connection.group]:
            del self.group_destinations[connection.group]
        if not groups:
            del self.groups[connection.destination], self.loads[connection.destination]


@dataclass(slots=True)
class _DestinationState:
    """One destination in a planning round; ``load`` includes the added cost of its groups."""

    destination: Destination
    capacity: float
    load: float
    groups: Mapping[str, _GroupPart]
    # Groups that were added (True) or removed (False) in this round.
    changed_groups: dict[str, bool] = field(default_factory=dict)

    @property
    def utilization(self) -> float:
        return self.load / self.capacity

    def has_group(self, group: str) -> bool:
        return self.changed_groups.get(group, group in self.groups)


class Planner:
    """Plans the moves of one balancer.

    The caller calls ``plan`` regularly and carries out the moves that it returns.
    """

    def __init__(self, settings: RebalanceSettings) -> None:
        # ``active`` is true from the start of moves until the load is level enough.
        self.settings, self.active = settings, False
        self.move_rate = Gcra(settings.moves_per_s, max(1.0, settings.moves_per_s))
        self.receive_rates: dict[int, Gcra] = {}  # by destination
        self.moved_at: dict[str, float] = {}  # by client, oldest first; dropped after the cooldown

    def capacity(self, destination: Destination, now: float) -> float:
        """The present capacity of a destination, which is reduced while it warms up."""
        settings = self.settings
        warm_fraction = (
            min(1.0, max(0.0, now - destination.started_at) / settings.warm_up_s)
            if settings.warm_up_s > 0.0
            else 1.0
        )
        return destination.capacity * (
            settings.initial_capacity_fraction + (1.0 - settings.initial_capacity_fraction) * warm_fraction
        )

    def plan(self, now: float, destinations: Collection[Destination], table: ConnectionTable) -> list[Move]:
        """The moves of one round; none if the utilizations are level enough."""
        self._drop_expired(now, {destination.number for destination in destinations})
        group_load = self.settings.group_cost * table.total_load / max(1, len(table.connections))
        states = self._destination_states(now, destinations, table, group_load)
        total_load, total_capacity = (
            sum(state.load for state in states.values()),
            sum(state.capacity for state in states.values()),
        )
        if not total_load or not total_capacity:
            return []
        mean = total_load / total_capacity
        highest_ratio = max(state.utilization for state in states.values()) / mean
        self.active = highest_ratio > (self.settings.stop_ratio if self.active else self.settings.start_ratio)
        if not self.active:
            return []
        moves: list[Move] = []
        # Heaps of (negated utilization, destination) for sources, (utilization, destination) for targets.
        sources = [(-state.utilization, number) for number, state in states.items()]
        heapq.heapify(sources)
        targets = [
            (state.utilization, number) for number, state in states.items() if state.utilization < mean
        ]
        heapq.heapify(targets)
        while sources and self.move_rate.conforms(now):
            negated_utilization, number = heapq.heappop(sources)
            source = states[number]
            if -negated_utilization <= self.settings.stop_ratio * mean:
                break
            best = self._best_move(now, source, states, targets, table, group_load, mean)
            if best is None:
                continue
            group, target, gain = best
            moves += self._move_group(now, source, target, group, group_load, gain / mean)
            heapq.heappush(targets, (target.utilization, target.destination.number))
            heapq.heappush(sources, (-source.utilization, number))
        return moves

    def _drop_expired(self, now: float, numbers: Collection[int]) -> None:
        """Drop clients after their cooldown, and the rate limiters of destinations that no longer exist.

        ``numbers`` are those of the present destinations.
        """
        while (
            self.moved_at
            and now - (oldest := next(iter(self.moved_at.items())))[1] >= self.settings.client_cooldown_s
        ):
            del self.moved_at[oldest[0]]
        self.receive_rates = {
            number: rate for number, rate in self.receive_rates.items() if number in numbers
        }

    def _destination_states(
        self, now: float, destinations: Collection[Destination], table: ConnectionTable, group_load: float
    ) -> dict[int, _DestinationState]:
        """The destinations before any move; ``group_load`` is the added cost of a group at a destination."""
        states = {}
        for destination in destinations:
            groups = table.groups.get(destination.number, {})
            load = table.loads[destination.number] + group_load * len(groups) if groups else 0.0
            states[destination.number] = _DestinationState(
                destination, self.capacity(destination, now), load, groups
            )
        return states

    def _least_utilized(
        self,
        now: float,
        states: Mapping[int, _DestinationState],
        targets: list[tuple[float, int]],
        mean: float,
    ) -> _DestinationState | None:
        """The destination with the lowest utilization, below the mean, that may receive a move now.

        Removes heap entries that are outdated or whose destination may not receive now.
        """
        while targets:
            utilization, number = targets[0]
            if utilization == states[number].utilization < mean and self._may_receive(now, number):
                return states[number]
            heapq.heappop(targets)
        return None

    def _best_move(
        self,
        now: float,
        source: _DestinationState,
        states: Mapping[int, _DestinationState],
        targets: list[tuple[float, int]],
        table: ConnectionTable,
        group_load: float,
        mean: float,
    ) -> tuple[str, _DestinationState, float] | None:
        """The group to move off the source, the target, and the gain, of the move with the largest gain."""
        best: tuple[float, str, _DestinationState] | None = None
        least_utilized = self._least_utilized(now, states, targets, mean)
        if least_utilized is None:
            return None
        for name, part in source.groups.items():
            if name in source.changed_groups or not all(
                self._may_move(now, connection) for connection in part.connections.values()
            ):
                continue
            load = part.load
            # At a destination that has a part of the group, the move adds no group cost.  Of the other
            # destinations, it is enough to consider the one with the lowest utilization.
            targets_with_group = [
                state
                for number in table.group_destinations[name]
                if (state := states.get(number)) is not None
                and state is not source
                and state.has_group(name)
                and state.utilization < mean
                and self._may_receive(now, number)
            ]
            for target in (*targets_with_group, least_utilized):
                added_load = load + (0.0 if target.has_group(name) else group_load)
                utilization = (target.load + added_load) / target.capacity
                if utilization > mean * self.settings.stop_ratio:
                    continue  # the target would become a source, or be overloaded while it warms up
                gain = source.utilization - max(
                    (source.load - load - group_load) / source.capacity, utilization
                )
                if gain > 0.0 and (best is None or gain > best[0]):
                    best = gain, name, target
        return (best[1], best[2], best[0]) if best is not None else None

    def _may_move(self, now: float, connection: Connection) -> bool:
        return (
            now - connection.established_at >= self.settings.min_age_s
            and connection.client not in self.moved_at
        )

    def _may_receive(self, now: float, number: int) -> bool:
        rate = self.settings.receive_moves_per_s
        return self.receive_rates.setdefault(number, Gcra(rate, max(1.0, rate))).conforms(now)

    def _move_group(
        self,
        now: float,
        source: _DestinationState,
        target: _DestinationState,
        group: str,
        group_load: float,
        gain: float,
    ) -> list[Move]:
        """Move a whole group, even beyond the rates of moves: a split group would add its cost to both."""
        part, joins = source.groups[group], target.has_group(group)
        connections, load = list(part.connections.values()), part.load
        source.load -= load + group_load
        target.load += load + (0.0 if joins else group_load)
        source.changed_groups[group], target.changed_groups[group] = False, True
        reason = "joins its group" if joins else "crowded"
        for connection in connections:
            self.move_rate.consume(now)
            self.receive_rates[target.destination.number].consume(now)
            self.moved_at.pop(connection.client, None)
            self.moved_at[connection.client] = now
        return [
            Move(
                connection.number,
                connection.client,
                source.destination.number,
                target.destination.number,
                gain,
                reason,
            )
            for connection in connections
        ]


def utilization_ratios(
    destinations: Collection[Destination], connections: Iterable[Connection], group_cost: float
) -> tuple[dict[int, float], int]:
    """Each destination's ratio of utilization to the mean, and the number of groups that are split.

    A group is split if it has connections at several destinations.
    """
    loads: dict[int, float] = defaultdict(float)
    groups: dict[str, set[int]] = defaultdict(set)
    rows = list(connections)
    for connection in rows:
        loads[connection.destination] += connection.load
        groups[connection.group].add(connection.destination)
    group_load = group_cost * sum(connection.load for connection in rows) / max(1, len(rows))
    for numbers in groups.values():
        for number in numbers:
            loads[number] += group_load
    capacity = {destination.number: destination.capacity for destination in destinations}
    mean = sum(loads.values()) / sum(capacity.values())
    ratios = {number: loads[number] / capacity[number] / mean for number in capacity}
    return ratios, sum(len(numbers) > 1 for numbers in groups.values())
