"""Admission control on a simulated clock: limits, lending, reclaiming, retry times and changes of limits."""

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

UNLIMITED_SETUPS_PER_S = (0.0, 1e6)  # guarantee and ceiling; no test reaches this ceiling
QUIET = "quiet"  # a team that stays within its guarantee or its rate
LOUD = "loud"  # a team that requests more than its guarantee
TWO_TEAMS = BalancerLimits(
    300.0,
    1e6,
    {
        QUIET: TeamLimits((100.0, 200.0), UNLIMITED_SETUPS_PER_S),
        LOUD: TeamLimits((100.0, 300.0), UNLIMITED_SETUPS_PER_S),
    },
    reclaim_within_s=5.0,
)


def request_connection(
    controller: AdmissionController, now: float, team: str, key: Any = "k", class_name: str = "c"
) -> Lease | Refusal:
    """Request a connection, and establish it at once if it is admitted."""
    result = controller.admit(now, key, team, class_name, str(key))
    if isinstance(result, Lease):
        controller.mark_established(result)
    return result


def fill_up(controller: AdmissionController, now: float, team: str, count: int = 10000) -> list[Lease]:
    """Request connections until one is refused or ``count`` are admitted; returns the leases."""
    leases: list[Lease] = []
    while len(leases) < count and isinstance(
        result := request_connection(controller, now, team, f"{team}{len(leases)}"), Lease
    ):
        leases.append(result)
    return leases


@given(st.floats(0.1, 50.0), st.floats(1.0, 20.0), st.lists(st.floats(0.0, 3.0), max_size=80))
def test_no_window_passes_more_than_rate_and_burst(rate: float, burst: float, gaps: list[float]) -> None:
    limiter, now, passed_at = Gcra(rate, burst), 0.0, []
    for gap in gaps:
        now += gap
        if limiter.conforms(now):
            limiter.consume(now)
            passed_at.append(now)
        else:
            assert limiter.wait_s(now) > 0.0 and limiter.conforms(now + limiter.wait_s(now) + 1e-6)
    for n, window_start in enumerate(passed_at):
        for m in range(n, len(passed_at)):
            assert m - n + 1 <= rate * (passed_at[m] - window_start) + burst + 1e-6


@pytest.mark.parametrize("jump", [0.0, 600.0, -50.0])
def test_a_clock_that_stands_still_or_jumps_admits_one_burst(jump: float) -> None:
    limits = BalancerLimits(1000.0, 10.0, {QUIET: TeamLimits((0.0, 1000.0), (5.0, 10.0))}, burst_s=2.0)
    controller = AdmissionController(limits, max_retry_after_s=1.0)
    first_burst = len(fill_up(controller, 100.0, QUIET))
    assert first_burst == 20
    second_burst = len(fill_up(controller, 100.0 + jump, QUIET))
    assert second_burst == (20 if jump > 0 else 0)


def test_unused_room_is_lent_except_for_a_tenth_of_the_unused_guarantees() -> None:
    controller = AdmissionController(TWO_TEAMS)
    assert len(fill_up(controller, 0.0, LOUD)) == 290
    assert len(fill_up(controller, 0.0, QUIET)) == 10  # the lending reserve, free without a move
    assert controller.connection_budget.total_in_use == 300


@pytest.mark.parametrize("balancers", [1, 2, 3])
def test_a_guarantee_is_reclaimed_in_the_stated_time_and_the_newest_connections_are_moved(
    balancers: int,
) -> None:
    limits = BalancerLimits(
        300.0 / balancers,
        1e6,
        {
            name: replace(
                team_limits,
                connections=(
                    team_limits.connections[0] // balancers,
                    team_limits.connections[1] // balancers,
                ),
            )
            for name, team_limits in TWO_TEAMS.teams.items()
        },
        reclaim_within_s=TWO_TEAMS.reclaim_within_s,
    )
    controller = AdmissionController(limits, max_retry_after_s=0.6)
    borrowed = fill_up(controller, 0.0, LOUD)
    owner_connections = 0
    readmitted = 0
    now = 0.0
    moved = list[Lease]()
    pending_releases = list[tuple[float, Lease]]()
    while owner_connections < limits.teams[QUIET].connections[0]:
        now += 0.02
        owner_connections += isinstance(
            request_connection(controller, now, QUIET, f"q{owner_connections}"), Lease
        )
        for lease in controller.reclaim(now):
            moved.append(lease)
            pending_releases.append((now + 0.1, lease))
        while pending_releases and pending_releases[0][0] <= now:
            controller.release(pending_releases.pop(0)[1])
            # The client of a moved connection reconnects, and must not be admitted to the same room again.
            readmitted += isinstance(request_connection(controller, now, LOUD, "returned"), Lease)
        assert now <= TWO_TEAMS.reclaim_within_s + 0.7, (owner_connections, len(moved))
    assert moved == list(reversed(borrowed))[: len(moved)]
    assert len(moved) <= limits.teams[QUIET].connections[0] + 1 and readmitted <= 2
    assert len(moved) <= 200 / balancers / TWO_TEAMS.reclaim_within_s * now + 2  # the reclaim rate


def test_short_connections_within_a_guarantee_move_no_borrower() -> None:
    """If each of these connections caused a move of a borrowed one, the moves would never end."""
    controller = AdmissionController(TWO_TEAMS)
    fill_up(controller, 0.0, LOUD)
    moved = 0
    for n in range(200):
        lease = request_connection(controller, n * 0.1, QUIET, n)
        assert isinstance(lease, Lease)
        moved += len(controller.reclaim(n * 0.1))
        controller.release(lease)
    assert moved == 0


def test_borrowed_connections_are_divided_by_weight_whatever_the_order_of_arrival() -> None:
    limits = BalancerLimits(
        400.0,
        1e6,
        {
            "a": TeamLimits((0.0, 400.0), UNLIMITED_SETUPS_PER_S, weight=1.0),
            "b": TeamLimits((0.0, 400.0), UNLIMITED_SETUPS_PER_S, weight=3.0),
            "c": TeamLimits((0.0, 30.0), UNLIMITED_SETUPS_PER_S),
        },
        reclaim_within_s=5.0,
    )
    controller = AdmissionController(limits, max_retry_after_s=0.6)
    fill_up(controller, 0.0, "a")
    moves = 0
    for n in range(2500):
        now = 0.02 * n
        for lease in controller.reclaim(now):
            moves += 1
            controller.release(lease)
        for team in "abc":
            request_connection(controller, now, team, f"{team}{n}")
    # Team c is at its ceiling of 30; a and b divide the other 370 connections by their weights, 1 to 3.
    in_use = {name: team.connection_share.in_use for name, team in controller.teams.items()}
    assert in_use["c"] == 30 and abs(in_use["a"] - 92.5) <= 3 and abs(in_use["b"] - 277.5) <= 3, in_use
    assert moves <= 330  # teams b and c together get 307.5 of the connections that team a used first


def test_a_team_at_ten_times_its_rate_does_not_reduce_the_other_s_rate() -> None:
    limits = BalancerLimits(
        1e6, 100.0, {QUIET: TeamLimits((0.0, 1e6), (30.0, 60.0)), LOUD: TeamLimits((0.0, 1e6), (30.0, 100.0))}
    )
    controller, admitted, now = AdmissionController(limits, max_retry_after_s=0.6), Counter[str](), 0.0
    rng = random.Random(3)
    # ``admitted`` counts the quiet team before its pause ("quietFalse") and after it ("quietTrue"), and the
    # loud team during this pause ("idle") and at other times ("loud").
    for n in range(40000):
        now += 0.001
        if now < 10.0 or now >= 20.0:  # the quiet team pauses from 10 s to 20 s
            if n % 34 == 0:
                admitted[f"{QUIET}{now >= 20.0}"] += isinstance(
                    controller.admit(now, n, QUIET, "c", f"q{n}"), Lease
                )
        elif n % 2:
            admitted["idle"] += isinstance(controller.admit(now, n, LOUD, "c", f"l{n}"), Lease)
        if n % 2 and not 10.0 <= now < 20.0:
            admitted[LOUD] += isinstance(controller.admit(now, n, LOUD, "c", f"l{rng.random()}"), Lease)
    assert admitted[f"{QUIET}False"] >= 0.95 * 10000 / 34 and admitted[f"{QUIET}True"] >= 0.95 * 20000 / 34
    assert admitted["idle"] >= 0.9 * 100.0 * 10.0
    assert sum(admitted.values()) <= 100.0 * 40.0 + 100.0 + 30.0  # no part of the rate is lent twice


def test_a_burst_of_all_teams_at_once_is_limited_to_the_fleet_s_burst_and_the_guarantees() -> None:
    limits = BalancerLimits(1e6, 100.0, {name: TeamLimits((0.0, 1e6), (5.0, 100.0)) for name in "abcdef"})
    controller = AdmissionController(limits, max_retry_after_s=0.6)
    admitted = sum(
        isinstance(controller.admit(0.0005 * n, n, "abcdef"[n % 6], "c", str(n)), Lease) for n in range(2000)
    )
    assert 150 <= admitted <= 100.0 * 1.0 + 100.0 + 6 * 5.0


def test_the_borrowed_rate_is_divided_by_weight_whatever_the_request_rates() -> None:
    limits = BalancerLimits(
        1e6,
        100.0,
        {
            "a": TeamLimits((0.0, 1e6), (0.0, 100.0), weight=1.0),
            "b": TeamLimits((0.0, 1e6), (0.0, 100.0), weight=3.0),
        },
    )
    controller, admitted = AdmissionController(limits, max_retry_after_s=0.6), Counter[str]()
    for n in range(60000):
        team = "b" if n % 6 == 0 else "a"  # team a requests five times as often as team b
        admitted[team] += isinstance(controller.admit(0.002 * n, n, team, "c", f"{n}"), Lease)
    assert 0.23 <= admitted["a"] / sum(admitted.values()) <= 0.27, admitted
    assert sum(admitted.values()) >= 0.95 * 100.0 * 120.0


def test_a_class_at_its_limit_is_refused_while_its_team_has_room() -> None:
    limits = BalancerLimits(
        100.0,
        1e6,
        {
            QUIET: TeamLimits(
                (50.0, 100.0),
                UNLIMITED_SETUPS_PER_S,
                classes={"c": ClassLimits(0.2), "d": ClassLimits(1.0, 900.0)},
            )
        },
    )
    controller = AdmissionController(limits)
    assert len(fill_up(controller, 0.0, QUIET)) == 20
    refusal = request_connection(controller, 0.0, QUIET, "more")
    assert isinstance(refusal, Refusal) and (refusal.reason, refusal.limit) == ("over-class", "connections")
    assert (
        isinstance(other_class_lease := request_connection(controller, 0.0, QUIET, "other", "d"), Lease)
        and other_class_lease.class_state.max_wait_ms == 900.0
    )
    assert isinstance(refusal := request_connection(controller, 0.0, QUIET, "none", "e"), Refusal)
    assert refusal.reason == "no-contract"


def run_overload(
    limits: BalancerLimits,
    clients: int,
    mean_lifetime_s: float,
    max_retry_after_s: float,
    end_s: float,
    ignoring_clients: int = 0,
) -> tuple[float, Counter[str]]:
    """Run a fixed number of clients in steady overload for ``end_s`` seconds.

    The first ``ignoring_clients`` clients ignore the stated retry time and retry every 50 ms.  Returns the
    fraction of the retries at the stated time that were admitted, and the number of admitted connections by
    kind of client.  Both are counted after the first third of the time.
    """
    rng, controller, sequence = random.Random(5), AdmissionController(limits, 5, max_retry_after_s), clients
    # (time, sequence number, client, lease that ends or None for a request, whether it is a retry on time)
    events: list[tuple[float, int, int, Lease | None, bool]] = [
        (2.0 * rng.random(), n, n, None, False) for n in range(clients)
    ]
    heapq.heapify(events)
    retries_on_time = admitted_on_time = 0
    admitted: Counter[str] = Counter()
    while events and events[0][0] < end_s:
        now, _, client, lease, retried_on_time = heapq.heappop(events)
        sequence += 1
        kind = "ignoring" if client < ignoring_clients else "compliant"
        if lease is not None:
            controller.release(lease)
            heapq.heappush(events, (now + 0.1 + 0.2 * rng.random(), sequence, client, None, False))
            continue
        result = controller.admit(now, client, QUIET, "c", f"k{client}")
        if retried_on_time and now > end_s / 3:
            retries_on_time, admitted_on_time = (
                retries_on_time + 1,
                admitted_on_time + isinstance(result, Lease),
            )
        if isinstance(result, Lease):
            admitted[kind] += now > end_s / 3
            heapq.heappush(
                events, (now + rng.expovariate(1.0 / mean_lifetime_s), sequence, client, result, False)
            )
        else:
            wait = 0.05 if kind == "ignoring" else result.retry_after_s + 0.01 * rng.random()
            heapq.heappush(events, (now + wait, sequence, client, None, kind == "compliant"))
    return admitted_on_time / max(1, retries_on_time), admitted


@pytest.mark.parametrize(
    "connections,rate,clients,mean_lifetime_s",
    [(1e4, 30.0, 300, 2.0), (100.0, 1e4, 300, 3.0), (60.0, 1e4, 100, 4.0)],
)
def test_a_retry_at_the_stated_time_is_admitted(
    connections: float, rate: float, clients: int, mean_lifetime_s: float
) -> None:
    limits = BalancerLimits(1e4, 1e4, {QUIET: TeamLimits((0.0, connections), (0.0, rate))})
    admitted_on_time, admitted = run_overload(limits, clients, mean_lifetime_s, 20.0, 90.0)
    assert admitted_on_time >= 0.8
    assert admitted["compliant"] >= 0.93 * 60.0 * min(rate, connections / mean_lifetime_s)


def test_clients_that_ignore_the_retry_time_gain_nothing() -> None:
    limits = BalancerLimits(1e4, 1e4, {QUIET: TeamLimits((0.0, 1e4), (0.0, 30.0))})
    admitted_on_time, admitted = run_overload(limits, 300, 2.0, 20.0, 90.0, ignoring_clients=150)
    assert admitted["ignoring"] <= 1.25 * admitted["compliant"] and admitted_on_time >= 0.8


def test_the_retry_table_has_a_fixed_size_and_replaces_the_earliest_slot() -> None:
    table = RetryTable(64)
    fingerprints = [1 + 16 * n for n in range(8)]  # all in one row
    for n, fingerprint in enumerate(fingerprints):
        table.set(fingerprint, 10.0 + n)
    assert [table.find(fingerprint, 0.0) for fingerprint in fingerprints[-ENTRIES_PER_ROW + 1 :]] == [
        15.0,
        16.0,
        17.0,
    ]
    assert sum(table.find(fingerprint, 0.0) is not None for fingerprint in fingerprints) == ENTRIES_PER_ROW
    table.remove(fingerprints[-1])
    assert table.find(fingerprints[-1], 0.0) is None and len(table.fingerprints) == 64


def test_limits_change_under_established_connections() -> None:
    controller = AdmissionController(TWO_TEAMS, max_retry_after_s=0.6)
    leases = {name: fill_up(controller, 0.0, name, 100) for name in (QUIET, LOUD)}
    # Lower limits for one team; the other team is removed.
    reduced_limits = replace(TWO_TEAMS, teams={QUIET: TeamLimits((10.0, 20.0), UNLIMITED_SETUPS_PER_S)})
    controller.apply(reduced_limits, 1.0)
    controller.apply(reduced_limits, 1.0)  # a second change at the same time allows no additional moves
    refusal = request_connection(controller, 1.0, LOUD)
    assert isinstance(refusal, Refusal) and refusal.reason == "no-contract"
    now, moved = 1.0, 0
    while controller.reclaim_delay_s() is not None:
        now += 0.05
        for lease in controller.reclaim(now):
            moved += 1
            controller.release(lease)
        assert moved <= controller.reclaim_limiter.rate * (now - 1.0) + controller.reclaim_limiter.burst + 1
    assert (
        controller.connection_budget.total_in_use == 20 and set(controller.teams) == {QUIET} and moved == 180
    )
    controller.apply(TWO_TEAMS, now)
    # All 300 connections except for 20 in use and the reserve of 8, a tenth of the unused guarantee of 80.
    assert len(fill_up(controller, now, LOUD)) == 200 - 20 + 100 - 8
    for lease in leases[QUIET]:
        controller.release(lease)  # a second release for the leases that were moved above
    assert controller.teams[QUIET].connection_share.in_use == 0


def test_a_team_s_connections_are_moved_when_it_gets_another_pool() -> None:
    limits = BalancerLimits(
        100.0, 1e6, {QUIET: TeamLimits((50.0, 50.0), UNLIMITED_SETUPS_PER_S, pool="a")}, reclaim_within_s=1.0
    )
    controller = AdmissionController(limits)
    fill_up(controller, 0.0, QUIET, 10)
    controller.apply(
        replace(limits, teams={QUIET: TeamLimits((50.0, 50.0), UNLIMITED_SETUPS_PER_S, pool="b")}), 0.0
    )
    moved = [lease for n in range(40) for lease in controller.reclaim(0.05 * n)]
    assert len(moved) == 10 and {lease.pool for lease in moved} == {"a"}


def test_load_over_a_ceiling_is_reduced_and_refuses_new_connections() -> None:
    limits = BalancerLimits(
        100.0,
        1e6,
        {
            QUIET: TeamLimits((10.0, 90.0), UNLIMITED_SETUPS_PER_S, (20.0, 50.0)),
            LOUD: TeamLimits((10.0, 90.0), UNLIMITED_SETUPS_PER_S, (20.0, 100.0)),
        },
        load=100.0,
        reclaim_within_s=1.0,
    )
    controller = AdmissionController(limits)
    leases = fill_up(controller, 0.0, QUIET, 10)
    for lease in leases:
        controller.update_load(lease, 8.0)
    refusal = request_connection(controller, 0.0, QUIET)
    assert isinstance(refusal, Refusal) and refusal.reason == "over-load"
    moved = [lease for n in range(100) for lease in controller.reclaim(0.05 * n)]
    assert len(moved) == 4  # the other six cause a load of 48, and the ceiling is 50
    for lease in moved:
        controller.release(lease)
    assert math.isclose(controller.load_budget.total_in_use, 48.0)


class AdmissionMachine(RuleBasedStateMachine):
    """Checks the controller against the number of active leases, and that each refusal was justified."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.key = 0.0, 0
        self.limits = BalancerLimits(
            30.0,
            1e6,
            {
                "a": TeamLimits(
                    (10.0, 20.0),
                    UNLIMITED_SETUPS_PER_S,
                    weight=2.0,
                    classes={"c": ClassLimits(), "d": ClassLimits(0.1)},
                ),
                "b": TeamLimits((5.0, 30.0), UNLIMITED_SETUPS_PER_S),
                "z": TeamLimits((0.0, 30.0), UNLIMITED_SETUPS_PER_S),
            },
            reclaim_within_s=2.0,
        )
        self.controller, self.forced = AdmissionController(self.limits, max_retry_after_s=0.6), False
        self.leases: list[Lease] = []

    def active_connections(self, team: str) -> int:
        return sum(lease.active and lease.team.name == team for lease in self.leases)

    @rule(team=st.sampled_from("abz"), class_name=st.sampled_from("cd"), established=st.booleans())
    def request_connection(self, team: str, class_name: str, established: bool) -> None:
        self.key += 1
        connections_before = {name: self.active_connections(name) for name in "abz"}
        total, team_limits = sum(connections_before.values()), self.limits.teams.get(team)
        result = self.controller.admit(self.now, None, team, class_name, f"{self.key}")
        if isinstance(result, Lease):
            assert team_limits is not None and connections_before[team] + 1 <= team_limits.connections[1]
            assert total + 1 <= self.limits.connections  # no room is lent twice
            self.leases.append(result)
            if established:
                self.controller.mark_established(result)
            return
        assert 0.0 <= result.retry_after_s <= 0.6
        if team_limits is None or (team_limits.classes and class_name not in team_limits.classes):
            assert result.reason == "no-contract"
        elif result.reason == "over-connections" and result.limit == "team":
            # One connection is left for clients with a retry slot.
            assert connections_before[team] + 2 > team_limits.connections[1]
        elif result.reason == "over-connections":
            # A team below its ceiling is refused only if there is no free room.
            unused = sum(
                max(0.0, other_limits.connections[0] - connections_before[name])
                for name, other_limits in self.limits.teams.items()
            )
            not_lent = (
                math.ceil(0.1 * unused)
                + self.controller.connection_budget.reserved
                - self.controller.teams[team].connection_share.reserved
            )
            within_guarantee = connections_before[team] < team_limits.connections[0]
            retry_connections = 1  # left for clients with a retry slot if the ceiling is at least 20
            assert (
                total + 1 + (0 if within_guarantee else not_lent + retry_connections)
                > self.limits.connections
            )
        else:
            class_state = self.controller.teams[team].classes[class_name]
            class_connections = sum(
                lease.active and lease.class_state is class_state for lease in self.leases
            )
            assert result.reason == "over-class" and class_connections + 2 > 0.1 * team_limits.connections[1]

    @precondition(lambda self: self.leases)
    @rule(index=st.integers(0, 1000))
    def release(self, index: int) -> None:
        self.controller.release(self.leases[index % len(self.leases)])  # may be released already

    @precondition(lambda self: self.leases)
    @rule(index=st.integers(0, 1000), load=st.floats(0.0, 100.0))
    def update_load(self, index: int, load: float) -> None:
        self.controller.update_load(self.leases[index % len(self.leases)], load)

    @rule(seconds=st.sampled_from([0.0, 0.03, 0.7, 300.0, -5.0]))
    def advance_time(self, seconds: float) -> None:
        self.now += seconds
        for lease in self.controller.reclaim(self.now):
            assert lease.active
            self.controller.release(lease)

    @rule(team=st.sampled_from("ab"))
    def adopt(self, team: str) -> None:
        lease = self.controller.adopt(self.now, None, team, "c")
        if lease is not None:
            self.leases.append(lease)
            self.controller.mark_established(lease)

    @rule(remaining=st.sampled_from(["ab", "abz", "b"]), ceiling=st.sampled_from([20.0, 30.0]))
    def change_limits(self, remaining: str, ceiling: float) -> None:
        team_limits = {
            "a": TeamLimits(
                (10.0, 20.0),
                UNLIMITED_SETUPS_PER_S,
                weight=2.0,
                classes={"c": ClassLimits(), "d": ClassLimits(0.1)},
            ),
            "b": TeamLimits((5.0, ceiling), UNLIMITED_SETUPS_PER_S),
            "z": TeamLimits((0.0, ceiling), UNLIMITED_SETUPS_PER_S),
        }
        self.limits = replace(
            self.limits, connections=ceiling, teams={name: team_limits[name] for name in remaining}
        )
        self.controller.apply(self.limits, self.now)

    @rule(team=st.sampled_from("ab"))
    def fill_guarantee(self, team: str) -> None:
        """A team that keeps requesting connections gets its guarantee within the reclaim time."""
        team_limits = self.limits.teams.get(team)
        deadline = self.now + self.limits.reclaim_within_s + 0.8
        while (
            team_limits is not None
            and self.active_connections(team) < team_limits.connections[0]
            and self.now < deadline
        ):
            self.request_connection(team, "c", True)
            self.advance_time(0.03)
        # Connections that are not established cannot be moved.
        unmovable = sum(lease.active and lease not in lease.team.movable_leases for lease in self.leases)
        assert team_limits is None or self.active_connections(team) >= team_limits.connections[0] or unmovable

    @invariant()
    def usage_matches_the_leases(self) -> None:
        by_team = Counter(lease.team.name for lease in self.leases if lease.active)
        for name, team in self.controller.teams.items():
            assert team.connection_share.in_use == by_team[name]
            assert sum(class_state.connections for class_state in team.classes.values()) <= by_team[name]
            assert math.isclose(
                team.load_share.in_use,
                sum(lease.load for lease in self.leases if lease.active and lease.team is team),
                abs_tol=1e-6,
            )
        assert self.controller.connection_budget.total_in_use == sum(by_team.values())
        assert set(by_team) <= set(self.controller.teams)
        unused = sum(team.connection_share.unused_guarantee for team in self.controller.teams.values())
        assert (
            self.controller.connection_budget.unused_guarantees == unused
            and self.controller.connection_budget.draining == 0
        )


TestAdmission = AdmissionMachine.TestCase
TestAdmission.settings = settings(max_examples=60, stateful_step_count=40, derandomize=True, deadline=None)
