"""The four rules, each kept by one instance alone, and what odd input must not do."""

from __future__ import annotations

from dataclasses import replace
from itertools import cycle

import pytest
from harness import FINAL, SAFE, Bench, ready
from hypothesis import given
from hypothesis import strategies as st

from crowgap import interface as i

HARD = [i.Outcome.ERROR, i.Outcome.FULL, i.Outcome.TIMEOUT, i.Outcome.CONNECT_FAILED, i.Outcome.RESET]


def finals(bench: Bench, request: int) -> list[i.Action]:
    return [a for a in bench.all(i.Refuse, request) + bench.all(i.Fail, request)]


def out(bench: Bench) -> list[i.Send]:
    """The attempts that have not ended."""
    last = {a.request: a for a in bench.all(i.Send)}
    return [a for n, a in last.items() if n in bench.balancer.flows and bench.balancer.flows[n].is_pending]


@given(
    st.lists(st.tuples(st.sampled_from(HARD), st.floats(0, 400)), min_size=1, max_size=40),
    st.integers(1, 30),
    st.booleans(),
)
def test_one_answer_in_time_whatever_backends_do(
    script: list[tuple[i.Outcome, float]], count: int, loaded: bool
) -> None:
    bench = Bench(backends=4)
    if loaded:
        bench.overload()
    start, steps = bench.now, cycle(script)
    for n in range(count):
        bench.ask(n, f"g{n % 5}")
    while (pending := [a for a in out(bench) if a.request < count]) or bench.now < start + 1000.0:
        if not pending:  # all are held: one may still go out later, and that attempt must end too
            bench.run(min(bench.now + 50.0, start + 1000.0))
            continue
        outcome, wait = next(steps)
        bench.run(min(bench.now + min(wait, pending[0].timeout), start + 1000.0))
        for send in pending if bench.now >= start + 1000.0 else pending[:1]:
            bench.end(send, i.Outcome.TIMEOUT if bench.now >= start + 1000.0 else outcome)
    bench.run(start + 1000.0)
    for n in range(count):
        assert len(finals(bench, n)) == 1, n
    answered = [at for at, a in bench.actions if isinstance(a, FINAL) and a.request < count]
    assert max(answered) <= start + 1000.0


def test_empty_fleet_holds_then_refuses_in_time() -> None:
    bench = Bench(backends=0)
    bench.put(i.ListUpdate(i.ListKind.RESTORED, []))
    bench.ask(1, patience=800.0)
    assert not bench.all(i.Refuse) and not bench.all(i.Send)
    bench.run(1000.0 + 800.0)
    (at,) = [at for at, a in bench.actions if isinstance(a, i.Refuse)]
    assert 1500.0 < at < 1800.0


def test_fleet_that_returns_serves_those_held() -> None:
    bench = Bench(backends=3)
    bench.put(i.ListUpdate(i.ListKind.FULL, []))
    bench.ask(1)
    bench.run(bench.now + 200.0)
    bench.put(i.ListUpdate(i.ListKind.CHANGES, ready(2)))
    assert [a.backend for a in bench.all(i.Send, 1)] == [2]


def test_timer_early_by_rounding_is_not_lost() -> None:
    """The wire rounds times to microseconds: a wake-up a hair early once left a waiting setup unanswered."""
    bench = Bench(backends=0)
    bench.ask(1, patience=500.0)
    armed = [a for a in bench.all(i.SetTimer) if a.token == 0]
    bench.now = armed[-1].at - 0.0004
    bench.put(i.TimerDue(0))
    assert [a for a in bench.all(i.SetTimer) if a.token == 0] != armed


@pytest.mark.parametrize(
    "effect,scope,outcome,again",
    [
        (i.Effect.SAFE, i.DeduplicationScope.ALL, i.Outcome.ERROR, True),
        (i.Effect.KEYED, i.DeduplicationScope.ALL, i.Outcome.ERROR, True),
        (i.Effect.KEYED, i.DeduplicationScope.ZONE, i.Outcome.ERROR, True),
        (i.Effect.UNSAFE, i.DeduplicationScope.ALL, i.Outcome.ERROR, False),
        (i.Effect.UNSAFE, i.DeduplicationScope.ALL, i.Outcome.FULL, True),
        (i.Effect.UNSAFE, i.DeduplicationScope.ALL, i.Outcome.RESET, False),
    ],
)
def test_no_effect_twice(
    effect: i.Effect, scope: i.DeduplicationScope, outcome: i.Outcome, again: bool
) -> None:
    bench = Bench(
        classes=(replace(SAFE, effect=effect, deduplication_scope=scope, deduplication_window=5000.0),)
    )
    (first,) = [a for a in bench.ask(1) if isinstance(a, i.Send)]
    more = [a for a in bench.end(first, outcome) if isinstance(a, i.Send)]
    assert bool(more) is again
    if not again:
        bench.run(bench.now + 1000.0)
        assert len(bench.all(i.Fail, 1)) == 1 and not bench.all(i.Refuse, 1)


def test_keyed_repeat_stays_in_its_cell_and_within_memory() -> None:
    keyed = replace(
        SAFE, effect=i.Effect.KEYED, deduplication_scope=i.DeduplicationScope.CELL, deduplication_window=400.0
    )
    bench = Bench(classes=(keyed,))
    (first,) = [a for a in bench.ask(1) if isinstance(a, i.Send)]
    (second,) = [a for a in bench.end(first, i.Outcome.ERROR) if isinstance(a, i.Send)]
    assert second.backend % 2 == first.backend % 2 and second.backend != first.backend
    bench.run(bench.now + 450.0)
    assert not [a for a in bench.end(second, i.Outcome.ERROR) if isinstance(a, i.Send)]


def test_never_two_attempts_out() -> None:
    bench = Bench()
    (send,) = [a for a in bench.ask(1) if isinstance(a, i.Send)]
    bench.ask(1)
    bench.put(i.Ended(1, 3, send.backend, i.Outcome.ERROR, 1.0))
    bench.put(i.Ended(99, 0, send.backend, i.Outcome.ERROR, 1.0))
    bench.run(bench.now + 300.0)
    assert len(bench.all(i.Send, 1)) == 1


@pytest.mark.parametrize(
    "update",
    [
        i.ListUpdate(i.ListKind.CHANGES, [i.BackendEntry(1, i.State.DRAINING)]),
        i.ListUpdate(i.ListKind.CHANGES, [i.BackendEntry(1, i.State.GONE)]),
        i.ListUpdate(i.ListKind.FULL, ready(2, 3, 4)),
    ],
)
def test_nothing_goes_to_a_draining_or_gone_backend(update: i.ListUpdate) -> None:
    bench = Bench(backends=4)
    before = [a.backend for n in range(200) for a in bench.ask(n, f"g{n}") if isinstance(a, i.Send)]
    assert 1 in before
    bench.put(update)
    after = [a.backend for n in range(200, 400) for a in bench.ask(n, f"g{n}") if isinstance(a, i.Send)]
    assert after and 1 not in after


def test_cold_backend_gets_this_balancers_share_only() -> None:
    """Forty balancers that all know of a fresh backend together send it a part of what it can take."""
    total = 0
    for index in range(40):
        bench = Bench(seed=index, backends=10, balancers=40, index=index)
        for n in range(100):
            for a in bench.ask(n, f"g{n}"):
                if isinstance(a, i.Send):
                    bench.stand(a)
        bench.put(i.ListUpdate(i.ListKind.CHANGES, ready(11, started=bench.now)))
        sent = [
            a
            for n in range(100, 400)
            for a in bench.ask(n, f"g{n}")
            if isinstance(a, i.Send) and a.backend == 11
        ]
        total += len(sent)
    usual = 40 * 100 / 10
    assert 0 < total <= 0.2 * 2.5 * usual


def test_open_connection_and_late_events_are_passed_over() -> None:
    bench = Bench()
    (send,) = [a for a in bench.ask(1) if isinstance(a, i.Send)]
    bench.stand(send)
    assert bench.stand(send) == []
    assert bench.put(i.DelayReport(5, send.backend, 500.0)) == []
    assert bench.put(i.TimerDue(99)) == []
    assert bench.put(i.ClientLeft(77)) == []
    assert bench.end(send, i.Outcome.OK, closed=True) == []
    assert bench.end(send, i.Outcome.OK, closed=True) == []


def test_gone_client_gets_nothing_more() -> None:
    bench = Bench()
    (send,) = [a for a in bench.ask(1) if isinstance(a, i.Send)]
    bench.put(i.ClientLeft(1))
    assert bench.end(send, i.Outcome.ERROR) == []
    empty = Bench(backends=0)
    empty.ask(2)
    empty.put(i.ClientLeft(2))
    empty.run(empty.now + 2000.0)
    assert not finals(empty, 2)


@pytest.mark.parametrize(
    "changes,field",
    [
        ({"classes": ()}, "classes"),
        ({"balancers": 0}, "balancers"),
        ({"list_refresh_interval": -1.0}, "list_refresh_interval"),
        ({"warmup_time": -5.0}, "warmup_time"),
        ({"connect_timeout": -1.0}, "connect_timeout"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"classes": (replace(SAFE, deadline=0.0),)}, "classes"),
    ],
)
def test_senseless_settings_are_named(changes: dict[str, object], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        Bench(**changes)  # type: ignore[arg-type]
