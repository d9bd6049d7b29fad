"""Classes that may not simply be repeated, or only within a window: no repeat comes too late."""

from __future__ import annotations

from dataclasses import replace

import pytest
from harness import FINAL, SAFE, Bench

from crowgap import interface as i

KEYED = replace(SAFE, effect=i.Effect.KEYED, deduplication_window=1000.0)
CONNECT = 250.0  # ms that a connect may take: the repeat's opening goes out only after it


def first_of(bench: Bench) -> i.Send:
    (send,) = [a for a in bench.ask(1) if isinstance(a, i.Send)]
    return send


@pytest.mark.parametrize("outcome", [i.Outcome.RESET, i.Outcome.TIMEOUT, i.Outcome.ERROR])
@pytest.mark.parametrize("after,again", [(700.0, True), (760.0, False), (990.0, False)])
def test_repeat_whose_connect_may_outlast_the_window_is_not_made(
    outcome: i.Outcome, after: float, again: bool
) -> None:
    """Decided within the window, its opening was written up to a connect's time later."""
    bench = Bench(classes=(replace(KEYED, deadline=3000.0),), connect_timeout=CONNECT)
    (send,) = [a for a in bench.ask(1, patience=3000.0) if isinstance(a, i.Send)]
    bench.run(bench.now + after)
    assert bool([a for a in bench.end(send, outcome) if isinstance(a, i.Send)]) is again


@pytest.mark.parametrize("outcome", [i.Outcome.RESET, i.Outcome.TIMEOUT, i.Outcome.ERROR])
@pytest.mark.parametrize("effect", [i.Effect.KEYED, i.Effect.UNSAFE])
def test_busy_is_said_only_where_the_client_may_still_come_again(
    outcome: i.Outcome, effect: i.Effect
) -> None:
    """A busy reply says that coming again is harmless, also after the wait that it names."""
    bench = Bench(classes=(replace(KEYED, effect=effect),), max_retry_after=600.0, max_attempts=1)
    send = first_of(bench)
    bench.run(bench.now + 800.0)
    finals = [a for a in bench.end(send, outcome) if isinstance(a, FINAL)]
    assert [type(a) for a in finals] == [i.Fail]


def test_busy_is_said_where_the_window_outlasts_the_wait() -> None:
    bench = Bench(classes=(KEYED,), max_retry_after=600.0, max_attempts=1)
    send = first_of(bench)
    bench.run(bench.now + 100.0)
    (final,) = [a for a in bench.end(send, i.Outcome.RESET) if isinstance(a, FINAL)]
    assert isinstance(final, i.Refuse) and bench.now + final.retry_after < 1000.0 + KEYED.deduplication_window


@pytest.mark.parametrize("outcome", [i.Outcome.FULL, i.Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("effect", [i.Effect.KEYED, i.Effect.UNSAFE])
def test_attempt_that_never_ran_opens_no_window(outcome: i.Outcome, effect: i.Effect) -> None:
    bench = Bench(classes=(replace(KEYED, effect=effect, deduplication_window=10.0),))
    send = first_of(bench)
    bench.run(bench.now + 50.0)
    assert [a for a in bench.end(send, outcome) if isinstance(a, i.Send)]
