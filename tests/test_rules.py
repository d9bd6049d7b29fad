"""Rules that each balancer keeps without contact to the others, and events that are late or unknown.

Each request gets one final answer in time and takes effect at most once; no cold backend is overloaded, and
nothing new is sent to a leaving one.
"""

from __future__ import annotations

from dataclasses import replace
from itertools import cycle

import pytest
from harness import FINAL_ACTIONS, SAFE_CLASS, BalancerHarness, ready_entries
from hypothesis import given
from hypothesis import strategies as st

from crowgap import interface

FAILURES = [
    interface.Outcome.ERROR,
    interface.Outcome.FULL,
    interface.Outcome.TIMEOUT,
    interface.Outcome.CONNECT_FAILED,
    interface.Outcome.RESET,
]


def final_actions(harness: BalancerHarness, request: int) -> list[interface.Action]:
    return [
        action
        for action in harness.actions_of_type(interface.Refuse, request)
        + harness.actions_of_type(interface.Fail, request)
    ]


def pending_attempts(harness: BalancerHarness) -> list[interface.Send]:
    """Return the attempts that have not ended."""
    last_sends = {action.request: action for action in harness.actions_of_type(interface.Send)}
    return [
        action
        for request_id, action in last_sends.items()
        if request_id in harness.balancer.flows and harness.balancer.flows[request_id].is_pending
    ]


@given(
    st.lists(st.tuples(st.sampled_from(FAILURES), st.floats(0, 400)), min_size=1, max_size=40),
    st.integers(1, 30),
    st.booleans(),
)
def test_each_request_gets_one_answer_in_time_whatever_backends_do(
    failures: list[tuple[interface.Outcome, float]], request_count: int, overloaded: bool
) -> None:
    harness = BalancerHarness(backends=4)
    if overloaded:
        harness.overload()
    start, next_failures = harness.now, cycle(failures)
    for n in range(request_count):
        harness.send_request(n, f"g{n % 5}")
    while (
        pending := [action for action in pending_attempts(harness) if action.request < request_count]
    ) or harness.now < start + 1000.0:
        if not pending:  # all requests wait, and one may still start an attempt, which must end too
            harness.run_until(min(harness.now + 50.0, start + 1000.0))
            continue
        outcome, wait = next(next_failures)
        harness.run_until(min(harness.now + min(wait, pending[0].timeout), start + 1000.0))
        for send in pending if harness.now >= start + 1000.0 else pending[:1]:
            harness.end_attempt(send, interface.Outcome.TIMEOUT if harness.now >= start + 1000.0 else outcome)
    harness.run_until(start + 1000.0)
    for n in range(request_count):
        assert len(final_actions(harness, n)) == 1, n
    answered = [
        at
        for at, action in harness.actions
        if isinstance(action, FINAL_ACTIONS) and action.request < request_count
    ]
    assert max(answered) <= start + 1000.0


def test_request_without_any_backend_waits_and_is_refused_in_time() -> None:
    harness = BalancerHarness(backends=0)
    harness.handle_event(interface.ListUpdate(interface.ListKind.RESTORED, []))
    harness.send_request(1, patience=800.0)
    assert not harness.actions_of_type(interface.Refuse) and not harness.actions_of_type(interface.Send)
    harness.run_until(1000.0 + 800.0)
    (at,) = [at for at, action in harness.actions if isinstance(action, interface.Refuse)]
    assert 1500.0 < at < 1800.0


def test_waiting_request_is_served_when_a_backend_returns() -> None:
    harness = BalancerHarness(backends=3)
    harness.handle_event(interface.ListUpdate(interface.ListKind.FULL, []))
    harness.send_request(1)
    harness.run_until(harness.now + 200.0)
    harness.handle_event(interface.ListUpdate(interface.ListKind.CHANGES, ready_entries(2)))
    assert [action.backend for action in harness.actions_of_type(interface.Send, 1)] == [2]


def test_timer_that_fires_early_by_rounding_is_not_lost() -> None:
    """Times are rounded to microseconds; a timer that fires early by less must not leave a setup waiting."""
    harness = BalancerHarness(backends=0)
    harness.send_request(1, patience=500.0)
    armed_timers = [action for action in harness.actions_of_type(interface.SetTimer) if action.token == 0]
    harness.now = armed_timers[-1].at - 0.0004
    harness.handle_event(interface.TimerDue(0))
    assert [
        action for action in harness.actions_of_type(interface.SetTimer) if action.token == 0
    ] != armed_timers


@pytest.mark.parametrize(
    "effect,scope,outcome,repeated",
    [
        (interface.Effect.SAFE, interface.DeduplicationScope.ALL, interface.Outcome.ERROR, True),
        (interface.Effect.KEYED, interface.DeduplicationScope.ALL, interface.Outcome.ERROR, True),
        (interface.Effect.KEYED, interface.DeduplicationScope.ZONE, interface.Outcome.ERROR, True),
        (interface.Effect.UNSAFE, interface.DeduplicationScope.ALL, interface.Outcome.ERROR, False),
        (interface.Effect.UNSAFE, interface.DeduplicationScope.ALL, interface.Outcome.FULL, True),
        (interface.Effect.UNSAFE, interface.DeduplicationScope.ALL, interface.Outcome.RESET, False),
    ],
)
def test_no_request_takes_effect_twice(
    effect: interface.Effect, scope: interface.DeduplicationScope, outcome: interface.Outcome, repeated: bool
) -> None:
    harness = BalancerHarness(
        classes=(replace(SAFE_CLASS, effect=effect, deduplication_scope=scope, deduplication_window=5000.0),)
    )
    (first,) = [action for action in harness.send_request(1) if isinstance(action, interface.Send)]
    repeats = [action for action in harness.end_attempt(first, outcome) if isinstance(action, interface.Send)]
    assert bool(repeats) is repeated
    if not repeated:
        harness.run_until(harness.now + 1000.0)
        assert len(harness.actions_of_type(interface.Fail, 1)) == 1 and not harness.actions_of_type(
            interface.Refuse, 1
        )


def test_keyed_repeat_stays_within_its_cell_and_the_deduplication_window() -> None:
    keyed = replace(
        SAFE_CLASS,
        effect=interface.Effect.KEYED,
        deduplication_scope=interface.DeduplicationScope.CELL,
        deduplication_window=400.0,
    )
    harness = BalancerHarness(classes=(keyed,))
    (first,) = [action for action in harness.send_request(1) if isinstance(action, interface.Send)]
    (second,) = [
        action
        for action in harness.end_attempt(first, interface.Outcome.ERROR)
        if isinstance(action, interface.Send)
    ]
    assert second.backend % 2 == first.backend % 2 and second.backend != first.backend
    harness.run_until(harness.now + 450.0)
    assert not [
        action
        for action in harness.end_attempt(second, interface.Outcome.ERROR)
        if isinstance(action, interface.Send)
    ]


def test_a_request_never_has_two_pending_attempts() -> None:
    harness = BalancerHarness()
    (send,) = [action for action in harness.send_request(1) if isinstance(action, interface.Send)]
    harness.send_request(1)
    harness.handle_event(interface.Ended(1, 3, send.backend, interface.Outcome.ERROR, 1.0))
    harness.handle_event(interface.Ended(99, 0, send.backend, interface.Outcome.ERROR, 1.0))
    harness.run_until(harness.now + 300.0)
    assert len(harness.actions_of_type(interface.Send, 1)) == 1


@pytest.mark.parametrize(
    "update",
    [
        interface.ListUpdate(
            interface.ListKind.CHANGES, [interface.BackendEntry(1, interface.State.DRAINING)]
        ),
        interface.ListUpdate(interface.ListKind.CHANGES, [interface.BackendEntry(1, interface.State.GONE)]),
        interface.ListUpdate(interface.ListKind.FULL, ready_entries(2, 3, 4)),
    ],
)
def test_no_request_goes_to_a_draining_or_removed_backend(update: interface.ListUpdate) -> None:
    harness = BalancerHarness(backends=4)
    before = [
        action.backend
        for n in range(200)
        for action in harness.send_request(n, f"g{n}")
        if isinstance(action, interface.Send)
    ]
    assert 1 in before
    harness.handle_event(update)
    after = [
        action.backend
        for n in range(200, 400)
        for action in harness.send_request(n, f"g{n}")
        if isinstance(action, interface.Send)
    ]
    assert after and 1 not in after


def test_cold_backend_gets_only_its_budget_from_all_balancers_together() -> None:
    """Forty balancers that add a new backend at the same time do not overload it together."""
    total_sends = 0
    for index in range(40):
        harness = BalancerHarness(seed=index, backends=10, balancers=40, index=index)
        for n in range(100):
            for action in harness.send_request(n, f"g{n}"):
                if isinstance(action, interface.Send):
                    harness.establish(action)
        harness.handle_event(
            interface.ListUpdate(interface.ListKind.CHANGES, ready_entries(11, started=harness.now))
        )
        sent = [
            action
            for n in range(100, 400)
            for action in harness.send_request(n, f"g{n}")
            if isinstance(action, interface.Send) and action.backend == 11
        ]
        total_sends += len(sent)
    mean_connections = 40 * 100 / 10
    assert 0 < total_sends <= 0.2 * 2.5 * mean_connections  # ``cold_from`` times ``fall_multiple``


def test_late_and_unknown_events_are_ignored() -> None:
    harness = BalancerHarness()
    (send,) = [action for action in harness.send_request(1) if isinstance(action, interface.Send)]
    harness.establish(send)
    assert harness.establish(send) == []
    assert harness.handle_event(interface.DelayReport(5, send.backend, 500.0)) == []
    assert harness.handle_event(interface.TimerDue(99)) == []
    assert harness.handle_event(interface.ClientLeft(77)) == []
    assert harness.end_attempt(send, interface.Outcome.OK, client_answered=True) == []
    assert harness.end_attempt(send, interface.Outcome.OK, client_answered=True) == []


def test_no_attempt_starts_for_a_client_that_has_left() -> None:
    harness = BalancerHarness()
    (send,) = [action for action in harness.send_request(1) if isinstance(action, interface.Send)]
    harness.handle_event(interface.ClientLeft(1))
    assert harness.end_attempt(send, interface.Outcome.ERROR) == []
    empty = BalancerHarness(backends=0)
    empty.send_request(2)
    empty.handle_event(interface.ClientLeft(2))
    empty.run_until(empty.now + 2000.0)
    assert not final_actions(empty, 2)


@pytest.mark.parametrize(
    "changes,field",
    [
        ({"classes": ()}, "classes"),
        ({"balancers": 0}, "balancers"),
        ({"ask_every": -1.0}, "ask_every"),
        ({"cold_time": -5.0}, "cold_time"),
        ({"connect_timeout": -1.0}, "connect_timeout"),
        ({"max_attempts": 0}, "max_attempts"),
        ({"classes": (replace(SAFE_CLASS, deadline=0.0),)}, "classes"),
    ],
)
def test_invalid_settings_are_named_in_the_error(changes: dict[str, object], field: str) -> None:
    with pytest.raises(ValueError, match=field):
        BalancerHarness(**changes)  # type: ignore[arg-type]
