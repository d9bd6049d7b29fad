"""The planner on a driven clock: level at a pace, groups whole, the cold spared, nobody moved twice."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

import pytest

from snowwick.rebalance.plan import Book, Move, Place, Planner, Standing, Terms, fills


def imbalance(places: list[Place], standing: list[Standing]) -> tuple[float, int]:
    """The worst fill over the mean, and how many groups are split."""
    found, split = fills(places, standing, 3.0)
    return max(found.values()), split


class Fleet:
    """Eight full destinations and four that start cold at 100 s; several balancers that share nothing."""

    def __init__(self, terms: Terms, balancers: int = 1, groups: int = 160, seed: int = 1) -> None:
        rng = random.Random(seed)
        self.places = [Place(n, 60.0 if n % 2 else 40.0, -1e9 if n < 8 else 100.0) for n in range(12)]
        self.planners = [
            Planner(replace(terms, pace=terms.pace / balancers, reception=terms.reception / balancers))
            for _ in range(balancers)
        ]
        self.standing: list[list[Standing]] = [[] for _ in self.planners]
        for group in range(groups):
            at, balancer = rng.randrange(8), rng.randrange(balancers)
            for n in range(rng.randint(1, 8)):
                self.standing[balancer].append(
                    Standing(group * 10 + n, f"c{group}.{n}", f"g{group}", at, rng.uniform(0.3, 1.7), 0.0)
                )
        self.moves: list[tuple[float, Move]] = []

    def all(self) -> list[Standing]:
        return [one for held in self.standing for one in held]

    def run(self, since: float, until: float, places: list[Place] | None = None) -> list[float]:
        """Plan twice a second; returns the imbalance at the end of every 5 s."""
        found = []
        for step in range(int(2 * (until - since))):
            now = since + 0.5 * step
            for n, planner in enumerate(self.planners):
                moves = planner.plan(now, places or self.places, Book(self.standing[n]))
                target = {move.number: move.target for move in moves}
                self.moves += [(now, move) for move in moves]
                self.standing[n] = [
                    replace(one, destination=target[one.number], since=now) if one.number in target else one
                    for one in self.standing[n]
                ]
            if step % 10 == 9:
                found.append(imbalance(self.places, self.all())[0])
        return found


@pytest.mark.parametrize("balancers", [1, 2, 3])
def test_new_destinations_are_filled_steadily_with_whole_groups(balancers: int) -> None:
    fleet = Fleet(Terms(pace=12.0, reception=6.0), balancers)
    before, split = imbalance(fleet.places, fleet.all())
    windows = fleet.run(100.0, 160.0)
    assert all(later <= sooner + 0.03 for sooner, later in zip([before, *windows], windows, strict=False))
    after, still = imbalance(fleet.places, fleet.all())
    assert before > 1.5 and after <= (1.10 if balancers < 3 else 1.15) and still <= split
    by_second = Counter(int(now) for now, _ in fleet.moves)
    assert max(by_second.values()) <= 12 * 2 + 8 * balancers  # the pace, its burst, the last group whole
    assert all(move.gain > 0.0 for _, move in fleet.moves)


def test_nobody_is_moved_twice_in_a_rest_nor_before_its_age() -> None:
    fleet = Fleet(Terms(pace=50.0, reception=50.0, rest=30.0))
    fleet.run(100.0, 110.0)
    first = Counter(move.client for _, move in fleet.moves)
    assert first and max(first.values()) == 1
    young = Fleet(Terms(pace=50.0, least_age=200.0))
    young.run(100.0, 120.0)
    assert not young.moves


def test_a_cold_destination_is_filled_no_further_than_it_has_warmed_up() -> None:
    fleet = Fleet(Terms(pace=100.0, reception=100.0))
    for step in range(20):
        now = 100.0 + 0.5 * step
        fleet.run(now, now + 0.5)
        warm = 0.3 + 0.7 * min(1.0, (now - 100.0) / 10.0)
        present = [replace(p, capacity=p.capacity * (warm if p.number >= 8 else 1.0)) for p in fleet.places]
        found, _ = fills(present, fleet.all(), 3.0)
        assert max(found[number] for number in range(8, 12)) <= 1.05 + 1e-9
    assert min(found[number] for number in range(8, 12)) > 0.7


def test_one_group_that_is_half_of_all_load_stays_where_it_is() -> None:
    """Moving it would only exchange the crowded one for another: others leave its destination instead."""
    fleet = Fleet(Terms(pace=20.0, reception=20.0), groups=60)
    rest = sum(one.load for one in fleet.all())
    fleet.standing[0] += [Standing(10000 + n, f"big{n}", "big", 0, rest / 40, 0.0) for n in range(40)]
    fleet.run(100.0, 130.0)
    assert {one.destination for one in fleet.all() if one.group == "big"} == {0}
    assert {one.group for one in fleet.all() if one.destination == 0} == {"big"}


def test_who_has_been_moved_rests_and_a_group_waits_for_its_youngest() -> None:
    def rows(at: int, since: float = 0.0) -> list[Standing]:
        return [Standing(n, f"c{n}", f"g{n}", at, 1.0, since if n == 0 else 0.0) for n in range(40)]

    places = [Place(1, 50.0), Place(2, 50.0)]
    planner = Planner(Terms(pace=5.0, reception=50.0, least_age=0.0, rest=30.0))
    moved = {move.client for move in planner.plan(100.0, places, Book(rows(1)))}
    assert len(moved) == 5
    assert not moved & {move.client for move in planner.plan(110.0, places, Book(rows(2)))}
    later = {move.client for t in range(12) for move in planner.plan(131.0 + t, places, Book(rows(2)))}
    assert moved <= later
    pair = [
        Standing(1, "a", "g", 1, 1.0, 0.0),
        Standing(2, "b", "g", 1, 1.0, 99.0),
        Standing(3, "c", "h", 1, 1.0, 0.0),
        Standing(4, "d", "i", 1, 1.0, 0.0),
    ]
    assert {move.client for move in Planner(Terms(pace=9.0)).plan(100.0, places, Book(pair))} <= {"c", "d"}


def test_a_destination_receives_no_faster_than_it_can_set_up() -> None:
    places = [Place(1, 50.0), Place(2, 50.0)]
    rows = [Standing(n, f"c{n}", f"g{n}", 1, 1.0, 0.0) for n in range(60)]
    planner = Planner(Terms(pace=50.0, reception=3.0))
    assert [len(planner.plan(now, places, Book(rows))) for now in (100.0, 100.0, 101.0)] == [3, 0, 3]


def test_two_halves_of_a_group_are_joined() -> None:
    places = [Place(n, 20.0) for n in range(3)]
    rows = [Standing(n, f"c{n}", "g", n % 2, 1.0, 0.0) for n in range(4)]
    rows += [Standing(10 + n, f"d{n}", f"h{n}", 0, 1.0, 0.0) for n in range(4)]
    moves = Planner(Terms(pace=2.0)).plan(100.0, places, Book(rows))
    assert {(move.client, move.target, move.reason) for move in moves} >= {
        ("c0", 1, "joins its group"),
        ("c2", 1, "joins its group"),
    }


def test_between_the_thresholds_nothing_begins_and_nothing_is_cut_short() -> None:
    places = [Place(1, 100.0), Place(2, 100.0)]

    def at(first: int) -> list[Standing]:
        return [Standing(n, f"c{n}", f"g{n}", 1 if n < first else 2, 1.0, 0.0) for n in range(200)]

    planner = Planner(Terms(pace=1.0, reception=100.0))
    assert not planner.plan(100.0, places, Book(at(110)))  # 1.10 of the mean
    assert planner.plan(101.0, places, Book(at(120)))
    assert planner.plan(103.0, places, Book(at(110)))
    assert not planner.plan(105.0, places, Book(at(104)))
    assert not planner.plan(107.0, places, Book(at(110)))


def test_nothing_to_move_and_nowhere_to_move_it() -> None:
    planner = Planner(Terms())
    assert planner.plan(0.0, [], Book()) == [] and planner.plan(0.0, [Place(1, 10.0)], Book()) == []
    rows = [Standing(n, f"c{n}", "g", 1, 1.0, -100.0) for n in range(9)]
    assert planner.plan(0.0, [Place(1, 10.0)], Book(rows)) == []


def test_the_book_sums_up_what_stands_and_forgets_what_has_gone() -> None:
    rng, book, rows = random.Random(4), Book(), dict[int, Standing]()
    for step in range(3000):
        number = rng.randrange(60)
        if rng.random() < 0.4:
            book.remove(number)
            rows.pop(number, None)
        else:
            rows[number] = Standing(
                number, f"c{number}", f"g{number % 7}", rng.randrange(4), rng.random(), step
            )
            book.put(rows[number])
    fresh = Book(rows.values())
    assert book.rows == rows and book.homes == fresh.homes and book.groups.keys() == fresh.groups.keys()
    assert all(abs(book.loads[n] - fresh.loads[n]) < 1e-9 for n in fresh.loads)
    for number in list(rows):
        book.remove(number)
    assert not book.groups and not book.homes and not book.loads and abs(book.load) < 1e-9
