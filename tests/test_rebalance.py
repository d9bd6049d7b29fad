"""The rebalancing planner on a simulated clock.

Checks that it levels the load within its rates, moves whole groups, does not overload destinations that are
warming up, and does not move a client twice within the cooldown.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from snowwick.rebalance.plan import (
    Connection,
    ConnectionTable,
    Destination,
    Move,
    Planner,
    RebalanceSettings,
    utilization_ratios,
)


def imbalance(destinations: list[Destination], connections: list[Connection]) -> tuple[float, int]:
    """The ratio of the highest utilization to the mean, and the number of split groups."""
    ratios, split_groups = utilization_ratios(destinations, connections, 3.0)
    return max(ratios.values()), split_groups


class Fleet:
    """Eight loaded destinations, four that start at 100 s, and balancers that share no state."""

    def __init__(
        self, settings: RebalanceSettings, balancers: int = 1, groups: int = 160, seed: int = 1
    ) -> None:
        rng = random.Random(seed)
        self.destinations = [
            Destination(n, 60.0 if n % 2 else 40.0, -1e9 if n < 8 else 100.0) for n in range(12)
        ]
        self.planners = [
            Planner(
                replace(
                    settings,
                    moves_per_s=settings.moves_per_s / balancers,
                    receive_moves_per_s=settings.receive_moves_per_s / balancers,
                )
            )
            for _ in range(balancers)
        ]
        self.connections: list[list[Connection]] = [[] for _ in self.planners]  # by balancer
        for group in range(groups):
            destination, balancer = rng.randrange(8), rng.randrange(balancers)
            for n in range(rng.randint(1, 8)):
                self.connections[balancer].append(
                    Connection(
                        group * 10 + n, f"c{group}.{n}", f"g{group}", destination, rng.uniform(0.3, 1.7), 0.0
                    )
                )
        self.moves: list[tuple[float, Move]] = []

    def all_connections(self) -> list[Connection]:
        return [connection for connections in self.connections for connection in connections]

    def run(self, start: float, end: float, destinations: list[Destination] | None = None) -> list[float]:
        """Plan and carry out moves every 0.5 s; returns the imbalance at the end of every 5 s."""
        imbalances = []
        for step in range(int(2 * (end - start))):
            now = start + 0.5 * step
            for n, planner in enumerate(self.planners):
                moves = planner.plan(
                    now, destinations or self.destinations, ConnectionTable(self.connections[n])
                )
                target = {move.number: move.target for move in moves}
                self.moves += [(now, move) for move in moves]
                self.connections[n] = [
                    replace(connection, destination=target[connection.number], established_at=now)
                    if connection.number in target
                    else connection
                    for connection in self.connections[n]
                ]
            if step % 10 == 9:
                imbalances.append(imbalance(self.destinations, self.all_connections())[0])
        return imbalances


@pytest.mark.parametrize("balancers", [1, 2, 3])
def test_new_destinations_are_filled_steadily_with_whole_groups(balancers: int) -> None:
    fleet = Fleet(RebalanceSettings(moves_per_s=12.0, receive_moves_per_s=6.0), balancers)
    imbalance_before, split_groups_before = imbalance(fleet.destinations, fleet.all_connections())
    imbalances = fleet.run(100.0, 160.0)
    assert all(
        later <= earlier + 0.03
        for earlier, later in zip([imbalance_before, *imbalances], imbalances, strict=False)
    )
    imbalance_after, split_groups_after = imbalance(fleet.destinations, fleet.all_connections())
    assert (
        imbalance_before > 1.5
        and imbalance_after <= (1.10 if balancers < 3 else 1.15)
        and split_groups_after <= split_groups_before
    )
    moves_by_second = Counter(int(now) for now, _ in fleet.moves)
    assert max(moves_by_second.values()) <= 12 * 2 + 8 * balancers  # rate, burst, and a last whole group of 8
    assert all(move.gain > 0.0 for _, move in fleet.moves)


def test_no_client_is_moved_twice_in_the_cooldown_or_below_the_minimum_age() -> None:
    fleet = Fleet(RebalanceSettings(moves_per_s=50.0, receive_moves_per_s=50.0, client_cooldown_s=30.0))
    fleet.run(100.0, 110.0)
    moves_by_client = Counter(move.client for _, move in fleet.moves)
    assert moves_by_client and max(moves_by_client.values()) == 1
    young_fleet = Fleet(RebalanceSettings(moves_per_s=50.0, min_age_s=200.0))
    young_fleet.run(100.0, 120.0)
    assert not young_fleet.moves


def test_a_destination_is_not_filled_beyond_its_capacity_while_it_warms_up() -> None:
    fleet = Fleet(RebalanceSettings(moves_per_s=100.0, receive_moves_per_s=100.0))
    for step in range(20):
        now = 100.0 + 0.5 * step
        fleet.run(now, now + 0.5)
        capacity_fraction = 0.3 + 0.7 * min(1.0, (now - 100.0) / 10.0)
        warming_destinations = [
            replace(
                destination,
                capacity=destination.capacity * (capacity_fraction if destination.number >= 8 else 1.0),
            )
            for destination in fleet.destinations
        ]
        ratios, _ = utilization_ratios(warming_destinations, fleet.all_connections(), 3.0)
        assert max(ratios[number] for number in range(8, 12)) <= 1.05 + 1e-9
    assert min(ratios[number] for number in range(8, 12)) > 0.7


def test_a_group_with_half_of_all_load_is_not_moved() -> None:
    """It would only overload another destination, so the other groups are moved off its destination."""
    fleet = Fleet(RebalanceSettings(moves_per_s=20.0, receive_moves_per_s=20.0), groups=60)
    other_load = sum(connection.load for connection in fleet.all_connections())
    fleet.connections[0] += [
        Connection(10000 + n, f"big{n}", "big", 0, other_load / 40, 0.0) for n in range(40)
    ]
    fleet.run(100.0, 130.0)
    assert {
        connection.destination for connection in fleet.all_connections() if connection.group == "big"
    } == {0}
    assert {connection.group for connection in fleet.all_connections() if connection.destination == 0} == {
        "big"
    }


def test_a_moved_client_has_a_cooldown_and_a_group_waits_for_its_youngest_connection() -> None:
    def connections_at(destination: int, established_at: float = 0.0) -> list[Connection]:
        return [
            Connection(n, f"c{n}", f"g{n}", destination, 1.0, established_at if n == 0 else 0.0)
            for n in range(40)
        ]

    destinations = [Destination(1, 50.0), Destination(2, 50.0)]
    planner = Planner(
        RebalanceSettings(moves_per_s=5.0, receive_moves_per_s=50.0, min_age_s=0.0, client_cooldown_s=30.0)
    )
    moved_clients = {
        move.client for move in planner.plan(100.0, destinations, ConnectionTable(connections_at(1)))
    }
    assert len(moved_clients) == 5
    assert not moved_clients & {
        move.client for move in planner.plan(110.0, destinations, ConnectionTable(connections_at(2)))
    }
    later_moved_clients = {
        move.client
        for step in range(12)
        for move in planner.plan(131.0 + step, destinations, ConnectionTable(connections_at(2)))
    }
    assert moved_clients <= later_moved_clients
    with_young_group = [
        Connection(1, "a", "g", 1, 1.0, 0.0),
        Connection(2, "b", "g", 1, 1.0, 99.0),
        Connection(3, "c", "h", 1, 1.0, 0.0),
        Connection(4, "d", "i", 1, 1.0, 0.0),
    ]
    assert {
        move.client
        for move in Planner(RebalanceSettings(moves_per_s=9.0)).plan(
            100.0, destinations, ConnectionTable(with_young_group)
        )
    } <= {"c", "d"}


def test_a_destination_receives_moves_at_its_rate_only() -> None:
    destinations = [Destination(1, 50.0), Destination(2, 50.0)]
    connections = [Connection(n, f"c{n}", f"g{n}", 1, 1.0, 0.0) for n in range(60)]
    planner = Planner(RebalanceSettings(moves_per_s=50.0, receive_moves_per_s=3.0))
    assert [
        len(planner.plan(now, destinations, ConnectionTable(connections))) for now in (100.0, 100.0, 101.0)
    ] == [3, 0, 3]


def test_two_halves_of_a_group_are_joined() -> None:
    destinations = [Destination(n, 20.0) for n in range(3)]
    connections = [Connection(n, f"c{n}", "g", n % 2, 1.0, 0.0) for n in range(4)]
    connections += [Connection(10 + n, f"d{n}", f"h{n}", 0, 1.0, 0.0) for n in range(4)]
    moves = Planner(RebalanceSettings(moves_per_s=2.0)).plan(
        100.0, destinations, ConnectionTable(connections)
    )
    assert {(move.client, move.target, move.reason) for move in moves} >= {
        ("c0", 1, "joins its group"),
        ("c2", 1, "joins its group"),
    }


def test_between_the_thresholds_moves_neither_begin_nor_end() -> None:
    destinations = [Destination(1, 100.0), Destination(2, 100.0)]

    def connections_with(first_count: int) -> list[Connection]:
        """200 connections: ``first_count`` at the first destination, the others at the second."""
        return [Connection(n, f"c{n}", f"g{n}", 1 if n < first_count else 2, 1.0, 0.0) for n in range(200)]

    planner = Planner(RebalanceSettings(moves_per_s=1.0, receive_moves_per_s=100.0))
    # With 110 of 200 connections the ratio to the mean is 1.10, between the two thresholds.
    assert not planner.plan(100.0, destinations, ConnectionTable(connections_with(110)))
    assert planner.plan(101.0, destinations, ConnectionTable(connections_with(120)))
    assert planner.plan(103.0, destinations, ConnectionTable(connections_with(110)))
    assert not planner.plan(105.0, destinations, ConnectionTable(connections_with(104)))
    assert not planner.plan(107.0, destinations, ConnectionTable(connections_with(110)))


def test_no_moves_without_connections_or_without_a_second_destination() -> None:
    planner = Planner(RebalanceSettings())
    assert (
        planner.plan(0.0, [], ConnectionTable()) == []
        and planner.plan(0.0, [Destination(1, 10.0)], ConnectionTable()) == []
    )
    connections = [Connection(n, f"c{n}", "g", 1, 1.0, -100.0) for n in range(9)]
    assert planner.plan(0.0, [Destination(1, 10.0)], ConnectionTable(connections)) == []


def test_the_table_keeps_totals_and_drops_what_has_ended() -> None:
    rng, table, connections = random.Random(4), ConnectionTable(), dict[int, Connection]()
    for step in range(3000):
        number = rng.randrange(60)
        if rng.random() < 0.4:
            table.remove(number)
            connections.pop(number, None)
        else:
            connections[number] = Connection(
                number, f"c{number}", f"g{number % 7}", rng.randrange(4), rng.random(), step
            )
            table.put(connections[number])
    rebuilt_table = ConnectionTable(connections.values())
    assert (
        table.connections == connections
        and table.group_destinations == rebuilt_table.group_destinations
        and table.groups.keys() == rebuilt_table.groups.keys()
    )
    assert all(abs(table.loads[n] - rebuilt_table.loads[n]) < 1e-9 for n in rebuilt_table.loads)
    for number in list(connections):
        table.remove(number)
    assert (
        not table.groups and not table.group_destinations and not table.loads and abs(table.total_load) < 1e-9
    )
