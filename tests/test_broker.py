"""The broker's core on a driven clock: limits, lending, reclaiming, come-back times, changes of contract."""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from snowwick.broker.admission import (
    AdmissionController,
    BalancerLimits,
    ClassLimits,
    Lease,
    Refusal,
    TeamLimits,
)
from snowwick.broker.gcra import Gcra
from snowwick.broker.retry_queue import ENTRIES_PER_ROW, RetryTable

FREE = (0.0, 1e6)  # setups a second that are no limit
QUIET, LOUD = "quiet", "loud"
TWO = BalancerLimits(
    300.0,
    1e6,
    {QUIET: TeamLimits((100.0, 200.0), FREE), LOUD: TeamLimits((100.0, 300.0), FREE)},
    reclaim_within_s=5.0,
)


def ask(
    ledger: AdmissionController, now: float, team: str, key: Any = "k", cls: str = "c"
) -> Lease | Refusal:
    got = ledger.admit(now, key, team, cls, str(key))
    if isinstance(got, Lease):
        ledger.mark_established(got)
    return got


def fill(ledger: AdmissionController, now: float, team: str, most: int = 10000) -> list[Lease]:
    """Take connections until one is refused."""
    held: list[Lease] = []
    while len(held) < most and isinstance(got := ask(ledger, now, team, f"{team}{len(held)}"), Lease):
        held.append(got)
    return held


@given(st.floats(0.1, 50.0), st.floats(1.0, 20.0), st.lists(st.floats(0.0, 3.0), max_size=80))
def test_no_window_passes_more_than_rate_and_burst(rate: float, burst: float, gaps: list[float]) -> None:
    limit, now, passed = Gcra(rate, burst), 0.0, []
    for gap in gaps:
        now += gap
        if limit.conforms(now):
            limit.consume(now)
            passed.append(now)
        else:
            assert limit.wait_s(now) > 0.0 and limit.conforms(now + limit.wait_s(now) + 1e-6)
    for n, first in enumerate(passed):
        for m in range(n, len(passed)):
            assert m - n + 1 <= rate * (passed[m] - first) + burst + 1e-6


@pytest.mark.parametrize("jump", [0.0, 600.0, -50.0])
def test_time_that_stands_still_or_jumps_lets_one_burst_out(jump: float) -> None:
    book = BalancerLimits(1000.0, 10.0, {QUIET: TeamLimits((0.0, 1000.0), (5.0, 10.0))}, burst_s=2.0)
    ledger = AdmissionController(book, max_retry_after_s=1.0)
    first = len(fill(ledger, 100.0, QUIET))
    assert first == 20
    again = len(fill(ledger, 100.0 + jump, QUIET))
    assert again == (20 if jump > 0 else 0)


def test_idle_room_is_lent_but_for_a_tenth_of_what_its_owners_do_not_use() -> None:
    ledger = AdmissionController(TWO)
    assert len(fill(ledger, 0.0, LOUD)) == 290
    assert len(fill(ledger, 0.0, QUIET)) == 10  # the reserve: the first asks succeed before anything moved
    assert ledger.connection_budget.total_in_use == 300


@pytest.mark.parametrize("balancers", [1, 2, 3])
def test_an_owner_has_its_guarantee_in_the_stated_time_and_the_newest_are_moved(balancers: int) -> None:
    parted = BalancerLimits(
        300.0 / balancers,
        1e6,
        {
            name: replace(
                terms, connections=(terms.connections[0] // balancers, terms.connections[1] // balancers)
            )
            for name, terms in TWO.teams.items()
        },
        reclaim_within_s=TWO.reclaim_within_s,
    )
    ledger = AdmissionController(parted, max_retry_after_s=0.6)
    held = fill(ledger, 0.0, LOUD)
    mine, back, now, moved, gone = 0, 0, 0.0, list[Lease](), list[tuple[float, Lease]]()
    while mine < parted.teams[QUIET].connections[0]:
        now += 0.02
        mine += isinstance(ask(ledger, now, QUIET, f"q{mine}"), Lease)
        for lease in ledger.reclaim(now):
            moved.append(lease)
            gone.append((now + 0.1, lease))
        while gone and gone[0][0] <= now:
            ledger.release(gone.pop(0)[1])
            # A client that was moved off borrowed room comes back and must not get it again.
            back += isinstance(ask(ledger, now, LOUD, "returned"), Lease)
        assert now <= TWO.reclaim_within_s + 0.7, (mine, len(moved))
    assert moved == list(reversed(held))[: len(moved)]
    assert len(moved) <= parted.teams[QUIET].connections[0] + 1 and back <= 2
    assert len(moved) <= 200 / balancers / TWO.reclaim_within_s * now + 2  # at the bounded rate


def test_an_owner_whose_connections_come_and_go_moves_nobody() -> None:
    """Moving one borrower for each connection of an owner would be a storm without end."""
    ledger = AdmissionController(TWO)
    fill(ledger, 0.0, LOUD)
    moved = 0
    for n in range(200):
        lease = ask(ledger, n * 0.1, QUIET, n)
        assert isinstance(lease, Lease)
        moved += len(ledger.reclaim(n * 0.1))
        ledger.release(lease)
    assert moved == 0


def test_borrowers_end_with_room_by_weight_whoever_came_first() -> None:
    book = BalancerLimits(
        400.0,
        1e6,
        {
            "a": TeamLimits((0.0, 400.0), FREE, weight=1.0),
            "b": TeamLimits((0.0, 400.0), FREE, weight=3.0),
            "c": TeamLimits((0.0, 30.0), FREE),
        },
        reclaim_within_s=5.0,
    )
    ledger = AdmissionController(book, max_retry_after_s=0.6)
    fill(ledger, 0.0, "a")
    moves = 0
    for n in range(2500):
        now = 0.02 * n
        for lease in ledger.reclaim(now):
            moves += 1
            ledger.release(lease)
        for team in "abc":
            ask(ledger, now, team, f"{team}{n}")
    held = {name: team.connection_share.in_use for name, team in ledger.teams.items()}
    assert held["c"] == 30 and abs(held["a"] - 92.5) <= 3 and abs(held["b"] - 277.5) <= 3, held
    assert moves <= 330  # 307.5 have to change hands


def test_a_team_at_ten_times_its_rate_leaves_the_other_its_own() -> None:
    book = BalancerLimits(
        1e6, 100.0, {QUIET: TeamLimits((0.0, 1e6), (30.0, 60.0)), LOUD: TeamLimits((0.0, 1e6), (30.0, 100.0))}
    )
    ledger, let_in, now = AdmissionController(book, max_retry_after_s=0.6), Counter[str](), 0.0
    rng = random.Random(3)
    for n in range(40000):
        now += 0.001
        if now < 10.0 or now >= 20.0:  # the quiet team wakes up again in the middle
            if n % 34 == 0:
                let_in[f"{QUIET}{now >= 20.0}"] += isinstance(
                    ledger.admit(now, n, QUIET, "c", f"q{n}"), Lease
                )
        elif n % 2:
            let_in["idle"] += isinstance(ledger.admit(now, n, LOUD, "c", f"l{n}"), Lease)
        if n % 2 and not 10.0 <= now < 20.0:
            let_in[LOUD] += isinstance(ledger.admit(now, n, LOUD, "c", f"l{rng.random()}"), Lease)
    assert let_in[f"{QUIET}False"] >= 0.95 * 10000 / 34 and let_in[f"{QUIET}True"] >= 0.95 * 20000 / 34
    assert let_in["idle"] >= 0.9 * 100.0 * 10.0
    assert sum(let_in.values()) <= 100.0 * 40.0 + 100.0 + 30.0  # nothing is lent twice


def test_a_burst_of_all_teams_at_once_passes_the_fleet_s_burst_and_their_own() -> None:
    book = BalancerLimits(1e6, 100.0, {name: TeamLimits((0.0, 1e6), (5.0, 100.0)) for name in "abcdef"})
    ledger = AdmissionController(book, max_retry_after_s=0.6)
    let_in = sum(
        isinstance(ledger.admit(0.0005 * n, n, "abcdef"[n % 6], "c", str(n)), Lease) for n in range(2000)
    )
    assert 150 <= let_in <= 100.0 * 1.0 + 100.0 + 6 * 5.0


def test_borrowed_rate_is_shared_by_weight_whoever_asks_more() -> None:
    book = BalancerLimits(
        1e6,
        100.0,
        {
            "a": TeamLimits((0.0, 1e6), (0.0, 100.0), weight=1.0),
            "b": TeamLimits((0.0, 1e6), (0.0, 100.0), weight=3.0),
        },
    )
    ledger, let_in = AdmissionController(book, max_retry_after_s=0.6), Counter[str]()
    for n in range(60000):
        team = "b" if n % 6 == 0 else "a"  # a asks five times as often
        let_in[team] += isinstance(ledger.admit(0.002 * n, n, team, "c", f"{n}"), Lease)
    assert 0.23 <= let_in["a"] / sum(let_in.values()) <= 0.27, let_in
    assert sum(let_in.values()) >= 0.95 * 100.0 * 120.0


def test_a_class_used_up_inside_a_team_with_budget_left() -> None:
    book = BalancerLimits(
        100.0,
        1e6,
        {
            QUIET: TeamLimits(
                (50.0, 100.0), FREE, classes={"c": ClassLimits(0.2), "d": ClassLimits(1.0, 900.0)}
            )
        },
    )
    ledger = AdmissionController(book)
    assert len(fill(ledger, 0.0, QUIET)) == 20
    refused = ask(ledger, 0.0, QUIET, "more")
    assert isinstance(refused, Refusal) and (refused.reason, refused.limit) == ("over-class", "connections")
    assert (
        isinstance(other := ask(ledger, 0.0, QUIET, "other", "d"), Lease)
        and other.class_state.max_wait_ms == 900.0
    )
    assert isinstance(refused := ask(ledger, 0.0, QUIET, "none", "e"), Refusal)
    assert refused.reason == "no-contract"


def crowd(
    book: BalancerLimits, clients: int, life: float, longest: float, until: float, deaf: int = 0
) -> tuple[float, Counter[str]]:
    """A closed crowd in steady overload: the part of the honest let in when told, connections by kind.

    The first ``deaf`` clients ignore what they are told and ask again every 50 ms.
    """
    rng, ledger, seq = random.Random(5), AdmissionController(book, 5, longest), clients
    events: list[tuple[float, int, int, Lease | None, bool]] = [
        (2.0 * rng.random(), n, n, None, False) for n in range(clients)
    ]
    heapq.heapify(events)
    told = right = 0
    served: Counter[str] = Counter()
    while events and events[0][0] < until:
        now, _, client, lease, honoured = heapq.heappop(events)
        seq += 1
        kind = "deaf" if client < deaf else "honest"
        if lease is not None:
            ledger.release(lease)
            heapq.heappush(events, (now + 0.1 + 0.2 * rng.random(), seq, client, None, False))
            continue
        got = ledger.admit(now, client, QUIET, "c", f"k{client}")
        if honoured and now > until / 3:
            told, right = told + 1, right + isinstance(got, Lease)
        if isinstance(got, Lease):
            served[kind] += now > until / 3
            heapq.heappush(events, (now + rng.expovariate(1.0 / life), seq, client, got, False))
        else:
            wait = 0.05 if kind == "deaf" else got.retry_after_s + 0.01 * rng.random()
            heapq.heappush(events, (now + wait, seq, client, None, kind == "honest"))
    return right / max(1, told), served


@pytest.mark.parametrize(
    "seats,rate,clients,life", [(1e4, 30.0, 300, 2.0), (100.0, 1e4, 300, 3.0), (60.0, 1e4, 100, 4.0)]
)
def test_who_honours_a_come_back_time_is_let_in(seats: float, rate: float, clients: int, life: float) -> None:
    book = BalancerLimits(1e4, 1e4, {QUIET: TeamLimits((0.0, seats), (0.0, rate))})
    right, served = crowd(book, clients, life, 20.0, 90.0)
    assert right >= 0.8
    assert served["honest"] >= 0.93 * 60.0 * min(rate, seats / life)


def test_who_ignores_the_advice_gains_nothing() -> None:
    book = BalancerLimits(1e4, 1e4, {QUIET: TeamLimits((0.0, 1e4), (0.0, 30.0))})
    right, served = crowd(book, 300, 2.0, 20.0, 90.0, deaf=150)
    assert served["deaf"] <= 1.25 * served["honest"] and right >= 0.8


def test_the_table_of_promises_is_of_one_size_and_forgets_the_nearest_first() -> None:
    table = RetryTable(64)
    marks = [1 + 16 * n for n in range(8)]  # all of one row
    for n, mark in enumerate(marks):
        table.set(mark, 10.0 + n)
    assert [table.find(mark, 0.0) for mark in marks[-ENTRIES_PER_ROW + 1 :]] == [15.0, 16.0, 17.0]
    assert sum(table.find(mark, 0.0) is not None for mark in marks) == ENTRIES_PER_ROW
    table.remove(marks[-1])
    assert table.find(marks[-1], 0.0) is None and len(table.fingerprints) == 64


def test_contracts_change_under_what_stands() -> None:
    ledger = AdmissionController(TWO, max_retry_after_s=0.6)
    held = {name: fill(ledger, 0.0, name, 100) for name in (QUIET, LOUD)}
    small = replace(TWO, teams={QUIET: TeamLimits((10.0, 20.0), FREE)})  # one shrunk, one removed
    ledger.apply(small, 1.0)
    ledger.apply(small, 1.0)  # twice within one step: no more moves than for one
    refused = ask(ledger, 1.0, LOUD)
    assert isinstance(refused, Refusal) and refused.reason == "no-contract"
    now, moved = 1.0, 0
    while ledger.reclaim_delay_s() is not None:
        now += 0.05
        for lease in ledger.reclaim(now):
            moved += 1
            ledger.release(lease)
        assert moved <= ledger.reclaim_rate.rate * (now - 1.0) + ledger.reclaim_rate.burst + 1
    assert ledger.connection_budget.total_in_use == 20 and set(ledger.teams) == {QUIET} and moved == 180
    ledger.apply(TWO, now)
    assert len(fill(ledger, now, LOUD)) == 200 - 20 + 100 - 8
    for lease in held[QUIET]:
        ledger.release(lease)  # those moved before are given back a second time
    assert ledger.teams[QUIET].connection_share.in_use == 0


def test_a_team_that_gets_another_pool_has_its_connections_moved_there() -> None:
    book = BalancerLimits(100.0, 1e6, {QUIET: TeamLimits((50.0, 50.0), FREE, pool="a")}, reclaim_within_s=1.0)
    ledger = AdmissionController(book)
    fill(ledger, 0.0, QUIET, 10)
    ledger.apply(replace(book, teams={QUIET: TeamLimits((50.0, 50.0), FREE, pool="b")}), 0.0)
    moved = [lease for n in range(40) for lease in ledger.reclaim(0.05 * n)]
    assert len(moved) == 10 and {lease.pool for lease in moved} == {"a"}


def test_load_over_a_ceiling_is_brought_down_and_stops_new_ones() -> None:
    book = BalancerLimits(
        100.0,
        1e6,
        {
            QUIET: TeamLimits((10.0, 90.0), FREE, (20.0, 50.0)),
            LOUD: TeamLimits((10.0, 90.0), FREE, (20.0, 100.0)),
        },
        load=100.0,
        reclaim_within_s=1.0,
    )
    ledger = AdmissionController(book)
    held = fill(ledger, 0.0, QUIET, 10)
    for lease in held:
        ledger.update_load(lease, 8.0)
    refused = ask(ledger, 0.0, QUIET)
    assert isinstance(refused, Refusal) and refused.reason == "over-load"
    moved = [lease for n in range(100) for lease in ledger.reclaim(0.05 * n)]
    assert len(moved) == 4  # 48 of 50 is what six bring
    for lease in moved:
        ledger.release(lease)
    assert math.isclose(ledger.load_budget.total_in_use, 48.0)


class Traffic(RuleBasedStateMachine):
    """The ledger against a plain count: what is held, by whom, and whether a refusal was right."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.key = 0.0, 0
        self.book = BalancerLimits(
            30.0,
            1e6,
            {
                "a": TeamLimits(
                    (10.0, 20.0), FREE, weight=2.0, classes={"c": ClassLimits(), "d": ClassLimits(0.1)}
                ),
                "b": TeamLimits((5.0, 30.0), FREE),
                "z": TeamLimits((0.0, 30.0), FREE),
            },
            reclaim_within_s=2.0,
        )
        self.ledger, self.forced = AdmissionController(self.book, max_retry_after_s=0.6), False
        self.leases: list[Lease] = []

    def held(self, team: str) -> int:
        return sum(lease.active and lease.team.name == team for lease in self.leases)

    @rule(team=st.sampled_from("abz"), cls=st.sampled_from("cd"), stands=st.booleans())
    def ask(self, team: str, cls: str, stands: bool) -> None:
        self.key += 1
        before = {name: self.held(name) for name in "abz"}
        total, terms = sum(before.values()), self.book.teams.get(team)
        got = self.ledger.admit(self.now, None, team, cls, f"{self.key}")
        if isinstance(got, Lease):
            assert terms is not None and before[team] + 1 <= terms.connections[1]
            assert total + 1 <= self.book.connections  # nothing is lent twice
            self.leases.append(got)
            if stands:
                self.ledger.mark_established(got)
            return
        assert 0.0 <= got.retry_after_s <= 0.6
        if terms is None or (terms.classes and cls not in terms.classes):
            assert got.reason == "no-contract"
        elif got.reason == "over-connections" and got.limit == "team":
            assert before[team] + 2 > terms.connections[1]  # one is left for those promised a place
        elif got.reason == "over-connections":  # no idle room while one under its ceiling is refused
            unused = sum(max(0.0, one.connections[0] - before[name]) for name, one in self.book.teams.items())
            kept = (
                math.ceil(0.1 * unused)
                + self.ledger.connection_budget.reserved
                - self.ledger.teams[team].connection_share.reserved
            )
            own = before[team] < terms.connections[0]
            promised = 1  # for those who were promised a place, of at least 20 connections
            assert total + 1 + (0 if own else kept + promised) > self.book.connections
        else:
            state = self.ledger.teams[team].classes[cls]
            held = sum(one.active and one.class_state is state for one in self.leases)
            assert got.reason == "over-class" and held + 2 > 0.1 * terms.connections[1]

    @precondition(lambda self: self.leases)
    @rule(at=st.integers(0, 1000))
    def end(self, at: int) -> None:
        self.ledger.release(self.leases[at % len(self.leases)])  # now and then a second time

    @precondition(lambda self: self.leases)
    @rule(at=st.integers(0, 1000), figure=st.floats(0.0, 100.0))
    def load(self, at: int, figure: float) -> None:
        self.ledger.update_load(self.leases[at % len(self.leases)], figure)

    @rule(seconds=st.sampled_from([0.0, 0.03, 0.7, 300.0, -5.0]))
    def time_passes(self, seconds: float) -> None:
        self.now += seconds
        for lease in self.ledger.reclaim(self.now):
            assert lease.active
            self.ledger.release(lease)

    @rule(team=st.sampled_from("ab"))
    def adopt(self, team: str) -> None:
        lease = self.ledger.adopt(self.now, None, team, "c")
        if lease is not None:
            self.leases.append(lease)
            self.ledger.mark_established(lease)

    @rule(left=st.sampled_from(["ab", "abz", "b"]), most=st.sampled_from([20.0, 30.0]))
    def change(self, left: str, most: float) -> None:
        terms = {
            "a": TeamLimits(
                (10.0, 20.0), FREE, weight=2.0, classes={"c": ClassLimits(), "d": ClassLimits(0.1)}
            ),
            "b": TeamLimits((5.0, most), FREE),
            "z": TeamLimits((0.0, most), FREE),
        }
        self.book = replace(self.book, connections=most, teams={name: terms[name] for name in left})
        self.ledger.apply(self.book, self.now)

    @rule(team=st.sampled_from("ab"))
    def wants_its_guarantee(self, team: str) -> None:
        """Whoever asks for its guarantee again and again has it in the stated time."""
        terms = self.book.teams.get(team)
        end = self.now + self.book.reclaim_within_s + 0.8
        while terms is not None and self.held(team) < terms.connections[0] and self.now < end:
            self.ask(team, "c", True)
            self.time_passes(0.03)
        pending = sum(lease.active and lease not in lease.team.established for lease in self.leases)
        assert terms is None or self.held(team) >= terms.connections[0] or pending

    @invariant()
    def holds_what_stands(self) -> None:
        by_team = Counter(lease.team.name for lease in self.leases if lease.active)
        for name, team in self.ledger.teams.items():
            assert team.connection_share.in_use == by_team[name]
            assert sum(cls.connections for cls in team.classes.values()) <= by_team[name]
            assert math.isclose(
                team.load_share.in_use,
                sum(one.load for one in self.leases if one.active and one.team is team),
                abs_tol=1e-6,
            )
        assert self.ledger.connection_budget.total_in_use == sum(by_team.values())
        assert set(by_team) <= set(self.ledger.teams)
        unused = sum(team.connection_share.unused_guarantee for team in self.ledger.teams.values())
        assert (
            self.ledger.connection_budget.unused_guarantees == unused
            and self.ledger.connection_budget.draining == 0
        )


TestTraffic = Traffic.TestCase
TestTraffic.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)
