"""Request classes that may be repeated only within a deduplication window, or not at all."""

from __future__ import annotations

from dataclasses import replace

import pytest
from harness import FINAL_ACTIONS, SAFE_CLASS, BalancerHarness

from crowgap import interface

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
