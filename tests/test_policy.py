"""The ordinary path and its departures."""

from __future__ import annotations

from dataclasses import replace

import pytest
from harness import SAFE, Bench, ready

from crowgap import interface as i
from crowgap.policy import (
    BANK_AND_BUFFER_SLOTS,
    BANK_AT_TURN_ON_TOKENS,
    BUFFER_SHRINK_DELAY_MS,
    BUFFER_SHRINK_MS,
    CROSS_ZONE_LOAD,
    GROUP_SPLIT_LOAD,
    QUOTA_FRACTION_OF_CAPACITY,
    RANKS_KEPT,
)


def sends(actions: list[i.Action]) -> list[i.Send]:
    return [a for a in actions if isinstance(a, i.Send)]


def place(bench: Bench, n: int, key: str) -> int:
    (send,) = sends(bench.ask(n, key))
    return send.backend


def test_balancers_agree_on_a_groups_backend() -> None:
    first, second = Bench(seed=1), Bench(seed=2)
    for n in range(50):
        assert place(first, n, f"g{n}") == place(second, n, f"g{n}")


def test_membership_change_moves_only_what_it_must() -> None:
    few, more = Bench(backends=20), Bench(backends=20)
    for n in range(200):
        place(few, n, f"g{n}")
    few.put(i.ListUpdate(i.ListKind.CHANGES, ready(21)))
    few.put(i.ListUpdate(i.ListKind.CHANGES, [i.BackendEntry(5, i.State.GONE)]))
    few.put(i.ListUpdate(i.ListKind.CHANGES, ready(5)))
    homes = [place(more, n, f"g{n}") for n in range(200)]
    after = [place(few, 1000 + n, f"g{n}") for n in range(200)]
    moved = [b for a, b in zip(homes, after, strict=True) if a != b]
    assert set(moved) == {21} and len(moved) < 30


def test_head_of_a_ranking_is_made_anew_with_the_list() -> None:
    bench = Bench(backends=60)
    place(bench, 1, "g")
    bench.put(i.ListUpdate(i.ListKind.CHANGES, ready(*range(61, 90))))
    place(bench, 2, "g")
    fresh = Bench(backends=89)
    place(fresh, 1, "g")
    (cached,) = bench.balancer.groups.values()
    (new,) = fresh.balancer.groups.values()
    assert cached.top_ranks == new.top_ranks and len(new.top_ranks) == RANKS_KEPT


def test_heavier_backends_get_more() -> None:
    bench = Bench(backends=0)
    entries = ready(*range(1, 9))
    entries[0].weight = 4.0
    bench.put(i.ListUpdate(i.ListKind.FULL, entries))
    homes = [place(bench, n, f"g{n}") for n in range(1100)]
    assert 300 < homes.count(1) < 500


def test_throttle_is_off_in_quiet_times_and_one_bad_backend_leaves_it_off() -> None:
    bench = Bench()
    for n in range(300):
        for send in sends(bench.ask(n, f"g{n}")):
            if send.backend == 1:
                bench.end(send, i.Outcome.TIMEOUT)
            else:
                bench.stand(send)
        bench.run(bench.now + 10.0)
    assert not bench.balancer.throttle.active
    assert len(bench.all(i.Send)) >= 300 and not bench.all(i.Refuse)


def test_sum_of_buffer_and_bank_is_constant_and_buffer_goes_first_delays_then_refuses() -> None:
    bench = Bench()
    bench.overload()
    throttle = bench.balancer.throttle
    assert throttle.bank_capacity(throttle.turned_on_at) == BANK_AT_TURN_ON_TOKENS
    assert (
        throttle.bank_capacity(throttle.turned_on_at + BUFFER_SHRINK_DELAY_MS + BUFFER_SHRINK_MS)
        == BANK_AND_BUFFER_SLOTS
    )
    throttle.refill_rate, throttle.tokens, throttle.turned_on_at, throttle.waiting = (
        0.0001,
        0.0,
        bench.now,
        [],
    )
    before = len(bench.all(i.Refuse))
    for n in range(int(BANK_AND_BUFFER_SLOTS - BANK_AT_TURN_ON_TOKENS)):
        assert not sends(bench.ask(n, f"w{n}"))
    assert len(bench.all(i.Refuse)) == before
    for n in range(100, 110):
        bench.ask(n, f"w{n}")
    assert len(bench.all(i.Refuse)) > before


def test_retries_after_refusals_are_spread() -> None:
    bench = Bench(backends=0)
    for n in range(20):
        bench.ask(n, patience=300.0)
    bench.run(bench.now + 300.0)
    waits = {a.retry_after for a in bench.all(i.Refuse)}
    assert len(waits) == 20 and max(waits) <= 1000.0 and min(waits) > 0.0


def test_further_attempts_take_tokens_in_overload() -> None:
    """Errors retried at once made a storm of 70 attempts a request in a recorded incident."""
    bench = Bench()
    bench.overload()
    bench.balancer.throttle.refill_rate, bench.balancer.throttle.tokens = 0.0, 1.0
    (send,) = sends(bench.ask(1))
    assert not sends(bench.end(send, i.Outcome.ERROR))


def test_failing_backend_is_skipped_and_tried_again_later() -> None:
    bench = Bench()
    (send,) = sends(bench.ask(1))
    (again,) = sends(bench.end(send, i.Outcome.CONNECT_FAILED))
    assert again.backend != send.backend
    assert send.backend not in {place(bench, n, f"g{n}") for n in range(10, 60)}
    bench.run(bench.now + 20000.0)
    assert send.backend in {place(bench, n, f"g{n}") for n in range(100, 150)}


def test_backends_that_are_skipped_throttle_nothing() -> None:
    """Two of five backends dropped all they held: clients were refused though the other three had room."""
    bench = Bench(backends=5)
    for n in range(60):
        for action in bench.ask(n, f"k{n}"):
            if isinstance(action, i.Send):
                bench.stand(action)
    sends = {a.request: a for a in bench.all(i.Send)}
    lost = [a for a in sends.values() if a.backend in (1, 2)]
    for action in lost:
        bench.end(action, i.Outcome.RESET, closed=True)
    bench.run(bench.now + 800.0)
    assert lost and not bench.balancer.throttle.active


def test_clients_of_a_leaving_backend_are_moved_over_two_seconds() -> None:
    """Not all servers send their clients away as they drain: some cut them off seconds later."""
    bench = Bench(backends=3)
    for n in range(60):
        for action in bench.ask(n, f"k{n}"):
            if isinstance(action, i.Send):
                bench.stand(action)
    sends = bench.all(i.Send)
    leaves = sends[0].backend
    held = {a.request for a in sends if a.backend == leaves}
    bench.put(i.ListUpdate(i.ListKind.CHANGES, [i.BackendEntry(leaves, i.State.DRAINING)]))
    bench.run(bench.now + 999.0)
    first = {a.request for a in bench.all(i.Move)}
    bench.run(bench.now + 1001.0)
    assert first < held == {a.request for a in bench.all(i.Move)}
    for request in held:  # what it cuts off on its way out is no trouble of the others
        bench.put(i.Ended(request, 0, leaves, i.Outcome.RESET, 5.0, True))
    assert bench.balancer.backends[leaves].failure_count == 0


def test_backend_that_answers_some_errors_goes_on_serving_others() -> None:
    """Skipped for ever longer, one that refused every other request left all its load to the rest."""
    bench = Bench(backends=5, max_attempts=3, tenants=(i.Tenant("t", 100.0),))
    served = 0
    for n in range(200):
        actions = bench.ask(n, "k")
        while sends := [a for a in actions if isinstance(a, i.Send)]:
            if sends[0].backend <= 2 and n % 2:
                actions = bench.end(sends[0], i.Outcome.ERROR)
            else:
                actions = bench.stand(sends[0])
                served += sends[0].backend <= 2
        bench.run(bench.now + 50.0)
        assert not bench.balancer.throttle.active
    assert served >= 30 and not bench.all(i.Refuse)


def test_all_leave_a_silent_backend_and_nothing_new_goes_there() -> None:
    bench = Bench(backends=4)
    for n in range(40):
        for action in bench.ask(n, f"k{n}"):
            if isinstance(action, i.Send):
                bench.stand(action)
    held = {a.request for a in bench.all(i.Send) if a.backend == 1}
    bench.run(bench.now + 3000.0)
    bench.actions.clear()
    bench.put(i.BackendSilent(1))
    assert held and {a.request for a in bench.all(i.Move)} == held
    for n in range(100, 140):
        bench.ask(n, f"k{n}")
    assert all(a.backend != 1 for a in bench.all(i.Send))


def test_two_quick_resets_throttle_nothing_and_calm_ends_the_throttle() -> None:
    """Two connects that broke in a millisecond once had a balancer refuse clients for fifteen seconds."""
    bench = Bench(backends=5)
    for n, action in enumerate([a for m in range(10) for a in bench.ask(m, f"k{m}")]):
        assert isinstance(action, i.Send)
        if n in (3, 6):
            bench.end(action, i.Outcome.RESET)
        else:
            bench.stand(action)
    bench.run(bench.now + 1000.0)
    assert not bench.balancer.throttle.active
    bench.overload()
    for m in range(200, 400):  # all is well now, and clients keep coming faster than let out
        for other in bench.ask(m, f"k{m}"):
            if isinstance(other, i.Send):
                bench.stand(other)
        bench.run(bench.now + 50.0)
    assert not bench.balancer.throttle.active


def test_errors_alone_throttle_nothing() -> None:
    """A malformed request, tried at three backends, made all of them look ill and throttled the rest."""
    bench = Bench(max_attempts=3)
    for n in range(30):
        actions = bench.ask(n, f"k{n}")
        while sends := [a for a in actions if isinstance(a, i.Send)]:
            actions = bench.end(sends[0], i.Outcome.ERROR)
        bench.run(bench.now + 50.0)
    assert not bench.balancer.throttle.active and all(
        b.failure_count == 0 for b in bench.balancer.ready_backends
    )


def test_mild_delay_moves_part_only() -> None:
    """One move a note emptied a backend on which each of a hundred balancers held one connection."""
    gone = 0
    for seed in range(200):
        bench = Bench(seed=seed, backends=30)
        (send,) = sends(bench.ask(1))
        bench.stand(send)
        bench.run(bench.now + 3000.0)
        bench.balancer.backends[send.backend].down_until = bench.now + 1000.0
        bench.put(i.DelayReport(1, send.backend, 100.0))
        gone += len(bench.all(i.Move))
    assert 20 < gone < 100


def test_groups_are_poured_over_their_rankings_and_meet_nowhere() -> None:
    """Hashing alone let large groups meet on one of nine backends while others stood empty."""
    homes: dict[int, dict[str, set[int]]] = {}
    for seed in range(40):
        bench = Bench(seed=seed, backends=9, balancers=40, index=seed, tenants=(i.Tenant("t", 450.0),))
        for n in range(20):  # a few clients of eight groups
            key = f"g{min(7, (n * 37 + seed * 11) % 128 * 8 // 128)}"
            for send in sends(bench.ask(n, key)):
                bench.stand(send)
                homes.setdefault(send.backend, {}).setdefault(key, set()).add(seed)
    loads = [sum(len(who) for who in groups.values()) for groups in homes.values()]
    assert len(homes) >= 8 and max(loads) < 2.2 * sum(loads) / 9  # eight groups, and most of them whole


def test_hot_group_is_spread_over_several() -> None:
    bench = Bench(backends=40, tenants=(i.Tenant("t", 400.0),))
    homes = [place(bench, n, "hot" if n % 2 else f"g{n}") for n in range(400)]
    assert len(set(homes[201::2])) >= 6


def test_what_is_kept_of_keys_and_backends_is_bounded() -> None:
    """Keys and ids come and go with clients and machines: a long day must not fill the memory."""
    bench = Bench(backends=3)
    for n in range(3000):
        bench.ask(n, f"k{n}")
        bench.put(i.ClientLeft(n))
    waiting = Bench(backends=0)
    waiting.ask(1, "k1")
    for n in range(500):
        for one in (bench, waiting):
            one.put(i.ListUpdate(i.ListKind.FULL, ready(*range(10 * n + 10, 10 * n + 13))))
            for action in one.ask(5000 + n, "again"):
                if isinstance(action, i.Send):
                    one.end(action, i.Outcome.OK, closed=True)
    assert len(bench.balancer.groups) <= 1000 and len(bench.balancer.backends) < 100


def test_list_service_is_asked_late_and_after_failures_with_growing_waits() -> None:
    asked = []
    for seed in range(20):
        bench = Bench(seed=seed, must_subscribe=True, list_refresh_interval=10000.0)
        bench.run(bench.now + 5000.0)
        asked += [at for at, a in bench.actions if isinstance(a, i.Subscribe)]
    # Spread as the service can take it: a few balancers need no long spread, and their old lists hurt.
    assert len(asked) == 20 and 300.0 < max(asked) - min(asked) <= 400.0
    waits: list[list[float]] = [[], [], []]
    for seed in range(20):
        bench = Bench(seed=seed, must_subscribe=True)
        for row in waits:
            (timer,) = [a for a in bench.put(i.ListUpdate(i.ListKind.FAILED)) if isinstance(a, i.SetTimer)]
            row.append(timer.at - bench.now)
    # Not longer than that: what changed while the service was down is as old as the wait.
    assert sum(waits[-1]) > 1.5 * sum(waits[0]) and max(waits[-1]) <= 3000.0


@pytest.mark.parametrize("balancers", [1, 2, 10, 40])
def test_fleet_leaves_a_fresh_backend_neither_empty_nor_overrun(balancers: int) -> None:
    """Turns by balancer left it empty: whose turn it was often had nobody to send."""
    fleet = [
        Bench(
            seed=n,
            backends=9,
            balancers=balancers,
            index=n,
            warmup_time=8800.0,
            warmup_start_capacity=0.3,
            collapse_multiple=3.0,
            overload_window=3000.0,
            tenants=(i.Tenant("t", 450.0),),
        )
        for n in range(balancers)
    ]
    sent = {"old": 0, "early": 0, "late": 0}
    for n in range(1000):
        bench = fleet[n % balancers]
        if n == 800:
            for one in fleet:
                one.run(1000.0 + 50.0 * n)
                one.put(i.ListUpdate(i.ListKind.CHANGES, ready(10, started=one.now)))
        bench.run(1000.0 + 50.0 * n)  # twenty setups a second over the fleet
        for send in sends(bench.ask(n, f"g{n * 7 % 13}")):
            bench.stand(send)
            if n >= 800:
                sent["old" if send.backend != 10 else "early" if n < 860 else "late"] += 1
    # Within the rule's window of 3 s it may take 0.9 of what it can hold; at the end its part is a tenth.
    assert sent["early"] <= 0.9 * 450.0 / QUOTA_FRACTION_OF_CAPACITY / 10 and 4 <= sent["late"] <= 30, sent


def test_backend_that_started_since_gets_the_clients_that_the_hash_gives_it() -> None:
    """New backends stood empty beside full ones for half a minute: nobody was moved to them."""
    bench = Bench(
        backends=9,
        warmup_time=8800.0,
        warmup_start_capacity=0.3,
        collapse_multiple=3.0,
        tenants=(i.Tenant("t", 4500.0),),
    )  # far from crowded: no other moves
    for n in range(200):
        bench.stand(sends(bench.ask(n, f"g{n * 7 % 13}"))[0])
    bench.run(bench.now + 5000.0)
    bench.put(i.ListUpdate(i.ListKind.CHANGES, ready(10, started=bench.now)))
    moves, by = [], []
    for second in range(20):
        bench.run(bench.now + 1000.0)
        for request in {move.request for move in bench.all(i.Move)} & set(bench.balancer.flows):
            flow, key = bench.balancer.flows[request], f"g{request * 7 % 13}"
            bench.put(i.Ended(request, 0, flow.backend, i.Outcome.CANCELLED, 5.0, True))
            moves.append(sends(bench.put(i.Request(1000 + request, "feed", 1000.0, f"c{request}", key)))[0])
            bench.stand(moves[-1])
            by.append(second)
    to = [send.backend for send in moves]
    assert 10 <= len(moves) <= 50 and to.count(10) >= 0.8 * len(moves), to
    assert max(by) >= 3, "as it warms up, not all at once"


def test_even_fleet_of_forty_moves_next_to_nobody() -> None:
    """Counting one connection as forty moved 734 clients of 290 in 30 s."""
    moved = 0
    for index in range(40):
        bench = Bench(seed=index, backends=9, balancers=40, index=index, tenants=(i.Tenant("t", 450.0),))
        for n in range(5):  # 200 connections in 40 groups
            for send in sends(bench.ask(5 * index + n, f"g{(5 * index + n) * 7 % 40}")):
                bench.stand(send)
                bench.put(i.LoadReport(send.request, send.backend, 1000.0 + n))
        bench.run(bench.now + 30000.0)
        moved += len(bench.all(i.Move))
    assert moved <= 20


def test_what_cold_backends_cannot_take_yet_is_poured_evenly_over_the_others() -> None:
    """It went to the next in each group's ranking, whoever else did: 1.21 of one's capacity beside 0.45."""
    bench = Bench(
        backends=4,
        balancers=40,
        warmup_time=8800.0,
        warmup_start_capacity=0.3,
        collapse_multiple=3.0,
        tenants=(i.Tenant("t", 450.0),),
    )
    bench.put(i.ListUpdate(i.ListKind.CHANGES, ready(*range(5, 10), started=bench.now)))
    for n in range(130):  # seen before, so that the plan knows them
        bench.balancer._create_flow(i.Request(9000 + n, "feed", 1000.0, "", f"g{n % 13}"), 0.0)
    for n in range(200):
        bench.stand(sends(bench.ask(n, f"g{n * 7 % 13}"))[0])
    held = [len(bench.balancer.backends[b].flows) for b in range(1, 10)]
    assert max(held[:4]) <= 1.15 * sum(held[:4]) / 4 and max(held[4:]) < min(held[:4]), held


def asked(bench: Bench, n: int, key: str = "g") -> list[int]:
    """The backends that a new request has answer a probe before it goes anywhere."""
    actions = bench.ask(n, key)
    assert not sends(actions)
    return [action.backend for action in actions if isinstance(action, i.Probe)]


def test_setup_passes_over_a_backend_that_answers_slower_than_the_next() -> None:
    """A balancer with a connection or two on each backend cannot see what two hundred do there."""
    bench = Bench(backends=9, balancers=200, probes_allowed=True, tenants=(i.Tenant("t", 450.0),))
    first, second, third = asked(bench, 1)
    assert not sends(bench.put(i.ProbeResult(first, 2.7)) + bench.put(i.ProbeResult(third, 2.0)))
    (send,) = sends(bench.put(i.ProbeResult(second, 2.4)))
    assert send.backend == second, "the first in order of those not much slower than the quickest"
    (again,) = sends(bench.ask(2, "g"))
    assert again.backend == second, "what was heard a moment ago is not asked again"
    bench.run(bench.now + 2000.0)
    own, *others = asked(bench, 3)
    for n in (*others, own):
        actions = bench.put(i.ProbeResult(n, 2.0))
    assert sends(actions)[0].backend == own, "the group's own, where it is no slower"


def test_setup_does_not_wait_for_probes_that_are_not_answered() -> None:
    bench = Bench(backends=9, probes_allowed=True)
    _, second, third = asked(bench, 1)
    bench.put(i.ProbeResult(second, 2.0))
    bench.put(i.ProbeResult(third, 2.0))
    bench.put(i.ProbeResult(99, 5.0))  # one that is not known any more
    bench.run(bench.now + 0.15 * 300.0 + 1.0)
    (send,) = bench.all(i.Send)
    assert send.backend == second
    (probe,) = [a for a in bench.end(send, i.Outcome.CONNECT_FAILED) if isinstance(a, i.Probe)]
    (retry,) = sends(bench.put(i.ProbeResult(probe.backend, 2.0)))
    assert retry.backend == third, "a further attempt asks too, but not those heard of just now"
    gone = asked(bench, 2, "other")
    bench.put(i.ClientLeft(2))
    assert (
        not sends([a for n in gone for a in bench.put(i.ProbeResult(n, 2.0))])
        and not bench.balancer.flows_awaiting_probes
    )


def test_probes_are_sent_where_the_settings_allow_them_and_a_choice_is_left() -> None:
    for bench in (Bench(backends=9), Bench(backends=1, probes_allowed=True)):
        assert sends(bench.ask(1)) and not bench.all(i.Probe)
    late = Bench(backends=9, probes_allowed=True)
    assert sends(late.ask(1, patience=90.0)), "near its end a setup goes at once"


@pytest.mark.parametrize("balancers,most", [(1, 1), (10, 10), (40, 16), (200, 70)])
def test_first_calls_of_a_fleet_that_restarts_together_are_spread(balancers: int, most: int) -> None:
    """A new watch takes the list service 0.13 s: all at once would wait longer than a call may."""
    first = []
    for index in range(balancers):
        bench = Bench(seed=index, backends=9, balancers=balancers, index=index, must_subscribe=True)
        began = bench.now
        bench.run(began + 4100.0)
        first.append(min(at for at, action in bench.actions if isinstance(action, i.Subscribe)) - began)
    assert max(sum(at <= call < at + 1000.0 for call in first) for at in first) <= most
    assert max(first) <= 4000.0, "before what has changed counts as told"


def reported(bench: Bench, loads: dict[int, float]) -> None:
    for backend, load in loads.items():
        bench.put(i.ProbeResult(backend, 2.0, load))


def test_reported_load_decides_and_a_group_stays_together_while_that_is_worth_it() -> None:
    """Without quotas the hash alone placed: the busiest server stood at 4.5 times the mean."""
    bench = Bench(load_reported=True, probes_allowed=True)
    reported(bench, {b: 0.9 for b in range(1, 9)} | {4: 0.0})
    (send,) = [a for a in bench.ask(1) if isinstance(a, i.Send)]
    assert send.backend == 4
    bench.stand(send)
    reported(bench, {b: 0.5 for b in range(1, 9)} | {4: 0.49 + GROUP_SPLIT_LOAD})
    first = bench.balancer.flows[1].group.top_ranks[0][1]
    (send,) = [a for a in bench.ask(2) if isinstance(a, i.Send)]
    assert send.backend in (4, first), "one more place costs more; the ranking's first is the same for all"
    reported(bench, {b: 1.5 for b in range(1, 9)} | {7: 0.0})
    assert [a.backend for a in bench.ask(3) if isinstance(a, i.Send)] == [7]


def test_balancers_that_know_nothing_of_each_other_fill_a_group_s_ranking_in_its_order() -> None:
    """At 200 balancers each one's few clients said nothing of where the group stood: it stood everywhere."""
    chosen = set()
    for seed in range(20):
        bench = Bench(seed=seed, load_reported=True, probes_allowed=True)
        reported(bench, {b: 0.3 + 0.01 * ((b * seed) % 8) for b in range(1, 9)})
        chosen |= {a.backend for a in bench.ask(1) if isinstance(a, i.Send)}
    assert len(chosen) == 1


def test_a_setup_asks_once() -> None:
    """The longest unasked were asked anew after each answer: 35 probes a request, 260 ms to an attempt."""
    bench = Bench(load_reported=True, probes_allowed=True, backends=40)
    actions = bench.ask(1)
    asked = [a.backend for a in actions if isinstance(a, i.Probe)]
    assert 3 <= len(asked) <= 5
    for backend in asked:
        actions = bench.put(i.ProbeResult(backend, 2.0, 0.3))
    assert [type(a) for a in actions] == [i.Send]


def test_another_zone_is_crossed_only_for_clearly_more_room() -> None:
    bench = Bench(backends=0, load_reported=True, probes_allowed=True, zone="east")
    bench.put(
        i.ListUpdate(
            i.ListKind.FULL,
            [i.BackendEntry(1, i.State.READY, "east"), i.BackendEntry(2, i.State.READY, "west")],
        )
    )
    reported(bench, {1: 0.3, 2: 0.3 - GROUP_SPLIT_LOAD - CROSS_ZONE_LOAD / 2 + 0.1})
    keys = [f"g{n}" for n in range(40)]

    def placed(first: int) -> list[int]:
        """Each alone: none of the others stands there."""
        sends = []
        for n, key in enumerate(keys):
            sends += [a for a in bench.ask(first + n, key) if isinstance(a, i.Send)]
            bench.end(sends[-1], i.Outcome.CANCELLED, closed=True)
        return [send.backend for send in sends]

    near = placed(0)
    reported(bench, {1: 0.8, 2: 0.7 - GROUP_SPLIT_LOAD - CROSS_ZONE_LOAD})
    far = placed(50)
    assert 0 < near.count(2) < len(keys) and far.count(2) == len(keys)


def test_every_backend_that_reports_is_asked_in_turn() -> None:
    """Those far down all rankings were never asked and stood empty all day beside full ones."""
    bench = Bench(load_reported=True, probes_allowed=True, backends=20)
    for n in range(30):
        for probe in [a for a in bench.ask(n, "g1") if isinstance(a, i.Probe)]:
            bench.put(i.ProbeResult(probe.backend, 2.0, 0.3))
        bench.run(bench.now + 1500.0)
    assert {probe.backend for probe in bench.all(i.Probe)} == set(range(1, 21))


def test_overfull_backend_gives_its_excess_by_load_to_where_there_is_room() -> None:
    bench = Bench(load_reported=True, probes_allowed=True)
    reported(bench, {b: 0.9 for b in range(1, 9)} | {1: 0.0})
    for n in range(10):
        for send in [a for a in bench.ask(n, "g1") if isinstance(a, i.Send)]:
            assert send.backend == 1
            bench.stand(send)
            bench.put(i.LoadReport(n, 1, 10.0 if n == 3 else 1.0))
    bench.run(bench.now + 4000.0)
    reported(bench, {1: 1.3} | {b: 1.25 for b in range(2, 9)})
    bench.run(bench.now + 900.0)
    assert not bench.all(i.Move), "nobody has clearly more room"
    bench.run(bench.now + 4000.0)
    reported(bench, {1: 1.3} | {b: 0.2 for b in range(2, 9)})
    bench.run(bench.now + 900.0)
    moved = [10.0 if move.request == 3 else 1.0 for move in bench.all(i.Move)]
    assert 9.5 <= sum(moved) <= 19.0 and len(moved) < 10  # half of 19, as 1.3 is twice 0.65


def test_throttle_stays_off_while_a_quarter_reports_room() -> None:
    bench = Bench(load_reported=True, probes_allowed=True, max_attempts=1)
    for _ in range(12):
        reported(bench, {b: 2.0 for b in range(1, 6)} | {b: 0.2 for b in range(6, 9)})
        bench.run(bench.now + 500.0)
    assert not bench.balancer.throttle.active
    reported(bench, {b: 2.0 for b in range(1, 9)})
    bench.run(bench.now + 600.0)
    assert bench.balancer.throttle.active


def test_clients_that_come_at_once_are_not_all_put_where_one_late_report_showed_room() -> None:
    """All clients of a balancer that restarted came to the other at once: 19 of 40 on one of eleven."""
    bench = Bench(load_reported=True, probes_allowed=True, balancers=2)
    reported(bench, {b: 0.4 for b in range(1, 9)})
    for n in range(40):
        for send in [a for a in bench.ask(n, f"g{n % 3}") if isinstance(a, i.Send)]:
            bench.stand(send)
        bench.now += 10.0
    held = [len(b.flows) for b in bench.balancer.backends.values()]
    assert sum(held) == 40 and max(held) <= 12


def test_where_too_few_of_those_asked_have_room_the_next_of_the_ranking_are_asked() -> None:
    bench = Bench(load_reported=True, probes_allowed=True, backends=40)
    asked = [a.backend for a in bench.ask(1) if isinstance(a, i.Probe)]
    rounds = 1
    while not bench.all(i.Send):
        probes = [
            a.backend
            for n in asked
            for a in bench.put(i.ProbeResult(n, 2.0, 0.9 if rounds < 3 else 0.2))
            if isinstance(a, i.Probe)
        ]
        assert not set(probes) & set(asked)
        asked, rounds = probes, rounds + 1
    assert rounds == 4 and bench.balancer.backends[bench.all(i.Send)[0].backend].load == 0.2


def test_a_fleet_that_is_full_everywhere_is_not_asked_without_end() -> None:
    bench = Bench(load_reported=True, probes_allowed=True, backends=40)
    asked = [a for a in bench.ask(1) if isinstance(a, i.Probe)]
    while not bench.all(i.Send):
        asked = [
            a
            for one in asked
            for a in bench.put(i.ProbeResult(one.backend, 2.0, 0.9))
            if isinstance(a, i.Probe)
        ]
    assert len(bench.all(i.Probe)) <= 17


@pytest.mark.parametrize("worths", [(1.0, 3.0), (3.0, 1.0)])
def test_what_is_refused_in_overload_is_what_is_worth_least(worths: tuple[float, float]) -> None:
    classes = tuple(
        replace(SAFE, name=name, priority=worth) for name, worth in zip("ab", worths, strict=True)
    )
    bench = Bench(classes=classes)
    bench.balancer.throttle.active, bench.balancer.throttle.turned_on_at = True, bench.now
    for request in range(40):
        bench.put(i.Request(request, "ab"[request % 2], 1000.0, f"c{request}", f"g{request}"))
    refused = ["ab"[a.request % 2] for a in bench.all(i.Refuse)]
    dear = "ab"[worths.index(3.0)]
    assert refused.count(dear) <= 12 and len(refused) - refused.count(dear) >= 18
