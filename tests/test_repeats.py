"""Request classes that may be repeated only within a deduplication window, or not at all."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from harness import FINAL_ACTIONS, SAFE_CLASS, BalancerHarness

from crowgap import interface
from crowgap.policy import MAX_STALL_MS

KEYED_CLASS = replace(SAFE_CLASS, effect=interface.Effect.KEYED, deduplication_window=1000.0)
CONNECT_TIMEOUT_MS = 250.0  # a repeat is sent only once its connection is open


def first_attempt(harness: BalancerHarness) -> interface.Send:
    (send,) = [action for action in harness.send_request(1) if isinstance(action, interface.Send)]
    return send


@pytest.mark.parametrize(
    "outcome", [interface.Outcome.RESET, interface.Outcome.TIMEOUT, interface.Outcome.ERROR]
)
@pytest.mark.parametrize("elapsed_ms,repeated", [(700.0, True), (760.0, False), (990.0, False)])
def test_no_repeat_whose_connect_may_outlast_the_deduplication_window(
    outcome: interface.Outcome, elapsed_ms: float, repeated: bool
) -> None:
    """A repeat must be sent within the window even if its connect takes the full connect timeout."""
    harness = BalancerHarness(
        classes=(replace(KEYED_CLASS, deadline=3000.0),), connect_timeout=CONNECT_TIMEOUT_MS
    )
    (send,) = [
        action for action in harness.send_request(1, patience=3000.0) if isinstance(action, interface.Send)
    ]
    harness.run_until(harness.now + elapsed_ms)
    assert (
        bool([action for action in harness.end_attempt(send, outcome) if isinstance(action, interface.Send)])
        is repeated
    )


@pytest.mark.parametrize(
    "outcome", [interface.Outcome.RESET, interface.Outcome.TIMEOUT, interface.Outcome.ERROR]
)
@pytest.mark.parametrize("effect", [interface.Effect.KEYED, interface.Effect.UNSAFE])
def test_request_fails_if_a_repeat_by_the_client_may_take_effect_twice(
    outcome: interface.Outcome, effect: interface.Effect
) -> None:
    """A refusal promises that the client may repeat the request, also after the wait that it asks for."""
    harness = BalancerHarness(
        classes=(replace(KEYED_CLASS, effect=effect),), max_retry_after=600.0, max_attempts=1
    )
    send = first_attempt(harness)
    harness.run_until(harness.now + 800.0)
    final_actions = [
        action for action in harness.end_attempt(send, outcome) if isinstance(action, FINAL_ACTIONS)
    ]
    assert [type(action) for action in final_actions] == [interface.Fail]


def test_request_is_refused_if_the_deduplication_window_outlasts_the_wait() -> None:
    harness = BalancerHarness(classes=(KEYED_CLASS,), max_retry_after=600.0, max_attempts=1)
    send = first_attempt(harness)
    harness.run_until(harness.now + 100.0)
    (final,) = [
        action
        for action in harness.end_attempt(send, interface.Outcome.RESET)
        if isinstance(action, FINAL_ACTIONS)
    ]
    assert (
        isinstance(final, interface.Refuse)
        and harness.now + final.retry_after < 1000.0 + KEYED_CLASS.deduplication_window
    )


@pytest.mark.parametrize("outcome", [interface.Outcome.FULL, interface.Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("effect", [interface.Effect.KEYED, interface.Effect.UNSAFE])
def test_attempt_that_never_ran_may_be_repeated_after_the_deduplication_window(
    outcome: interface.Outcome, effect: interface.Effect
) -> None:
    harness = BalancerHarness(classes=(replace(KEYED_CLASS, effect=effect, deduplication_window=10.0),))
    send = first_attempt(harness)
    harness.run_until(harness.now + 50.0)
    assert [action for action in harness.end_attempt(send, outcome) if isinstance(action, interface.Send)]


@pytest.mark.parametrize("elapsed_ms,repeated", [(840.0, True), (851.0, False), (920.0, False)])
def test_no_repeat_that_a_stall_of_the_process_may_delay_beyond_the_deduplication_window(
    elapsed_ms: float, repeated: bool
) -> None:
    """Guards against repeats after their window where the connect timeout is shorter than a stall.

    The caller gets the time before which it must write, MAX_STALL_MS before the end of the window.
    """
    harness = BalancerHarness(classes=(replace(KEYED_CLASS, deadline=3000.0),), connect_timeout=75.0)
    sent_at = harness.now
    send = first_attempt(harness)
    assert send.send_before == math.inf
    harness.run_until(sent_at + elapsed_ms)
    repeats = [
        action
        for action in harness.end_attempt(send, interface.Outcome.RESET)
        if isinstance(action, interface.Send)
    ]
    assert [repeat.send_before for repeat in repeats] == ([sent_at + 850.0] if repeated else [])


def test_no_refusal_whose_wait_may_outlast_the_deduplication_window_after_a_stall() -> None:
    """Guards against a promise that a stall before the answer is written makes untrue."""
    final_types = set()
    for seed in range(40):
        harness = BalancerHarness(seed, classes=(KEYED_CLASS,), max_retry_after=600.0, max_attempts=1)
        sent_at, send = harness.now, first_attempt(harness)
        harness.run_until(sent_at + 500.0)
        (final,) = [
            action
            for action in harness.end_attempt(send, interface.Outcome.RESET)
            if isinstance(action, FINAL_ACTIONS)
        ]
        final_types.add(type(final))
        if isinstance(final, interface.Refuse):
            assert harness.now + final.retry_after + MAX_STALL_MS < sent_at + KEYED_CLASS.deduplication_window
    assert final_types == set(FINAL_ACTIONS)


@pytest.mark.parametrize(
    "effect,elapsed_ms",
    [
        (interface.Effect.UNSAFE, 50.0),
        (interface.Effect.KEYED, 900.0),
        (interface.Effect.KEYED, 3000.0),
    ],
)
def test_request_that_may_not_be_repeated_any_more_is_answered_at_once(
    effect: interface.Effect, elapsed_ms: float
) -> None:
    """Guards against an answer that is kept back until the deadline although nothing more can be sent."""
    harness = BalancerHarness(classes=(replace(KEYED_CLASS, effect=effect, deadline=9000.0),))
    (send,) = [
        action for action in harness.send_request(1, patience=9000.0) if isinstance(action, interface.Send)
    ]
    harness.run_until(harness.now + elapsed_ms)
    actions = harness.end_attempt(send, interface.Outcome.RESET)
    assert [action for action in actions if isinstance(action, FINAL_ACTIONS)] == [interface.Fail(1)]


def test_waiting_request_is_answered_when_its_deduplication_window_closes() -> None:
    """Guards against a request that waits for a backend until its deadline, long after its window."""
    harness = BalancerHarness(
        backends=1, classes=(replace(KEYED_CLASS, deadline=9000.0),), connect_timeout=250.0, tick=1.0
    )
    sent_at = harness.now
    (send,) = [
        action for action in harness.send_request(1, patience=9000.0) if isinstance(action, interface.Send)
    ]
    harness.run_until(sent_at + 100.0)
    harness.end_attempt(send, interface.Outcome.RESET)
    harness.run_until(sent_at + 3000.0)
    ((answered_at, answer),) = [
        (time, action) for time, action in harness.actions if isinstance(action, FINAL_ACTIONS)
    ]
    assert answer == interface.Fail(1)
    assert answered_at == pytest.approx(sent_at + 1000.0 - 250.0 - 1.0, abs=2.0)
