"""When timers fire, and what they cost with many others set."""

from __future__ import annotations

import sched
from typing import Any

import pytest

from snowwick.net.timers import Timers

RESET_COUNT = 2000


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def test_timers_fire_in_order_never_late_and_not_after_cancellation() -> None:
    clock, fired = Clock(), list[str]()
    timers: Timers[str] = Timers(clock, fired.append)
    slots = {
        waiter: timers.set(deadline, waiter)
        for waiter, deadline in [("b", 100.5), ("a", 100.25), ("c", 100.5), ("past", 90.0), ("d", 100.7)]
    }
    assert timers.run() == pytest.approx(0.25, abs=1e-6) and fired == ["past"]
    timers.cancel(slots["c"], "c")
    clock.now = 100.5
    assert timers.run() == pytest.approx(0.2, abs=1e-6) and fired == ["past", "a", "b"]
    timers.cancel(slots["d"], "d")
    clock.now = 100.7
    assert timers.run() is None and fired == ["past", "a", "b"]
    assert not timers.slots and timers.scheduler.empty()


def test_distant_timer_fires_at_most_one_slot_late_and_shares_its_event() -> None:
    """Each emptied slot wakes the loop: with 1 ms slots, 1,000 times a second at 1,000 lines per second."""
    clock, fired = Clock(), list[int]()
    timers: Timers[int] = Timers(clock, fired.append)
    for waiter in range(1000):
        timers.set(105.5 + 0.001 * waiter, waiter)
    assert len(timers.slots) <= 21
    for _ in range(1000):
        clock.now += 0.007
        timers.run()
        for waiter in fired:
            assert 0.0 <= clock.now - (105.5 + 0.001 * waiter) <= 0.0571
        fired.clear()
    assert not timers.slots


def test_timer_set_while_others_fire_is_not_lost() -> None:
    clock, fired = Clock(), list[str]()

    def fire(waiter: str) -> None:
        fired.append(waiter)
        if waiter == "a":
            timers.set(100.0, "at once")

    timers: Timers[str] = Timers(clock, fire)
    timers.set(100.0, "a")
    timers.set(100.0, "b")
    assert timers.run() is None and fired == ["a", "b", "at once"]


def count_comparisons(timer_count: int, monkeypatch: pytest.MonkeyPatch) -> tuple[float, float]:
    """Returns how often the scheduler compares events, per timer that is reset and per timer that fires."""
    comparison_count = 0

    class Event(sched.Event):  # type: ignore[misc, name-defined, unused-ignore]
        def __lt__(self, other: Any) -> bool:
            nonlocal comparison_count
            comparison_count += 1
            return tuple.__lt__(self, other)

        def __eq__(self, other: object) -> bool:
            nonlocal comparison_count
            comparison_count += 1
            return tuple.__eq__(self, other)

    monkeypatch.setattr(sched, "Event", Event)
    clock, fired = Clock(), list[int]()
    timers: Timers[int] = Timers(clock, fired.append)
    slots = {
        waiter: timers.set(clock.now + 7.0 * waiter / timer_count, waiter) for waiter in range(timer_count)
    }
    comparison_count = 0
    for reset_number in range(RESET_COUNT):
        waiter = (reset_number * 7919) % timer_count
        timers.cancel(slots[waiter], waiter)
        slots[waiter] = timers.set(clock.now + 7.0 + 0.0005 * reset_number, waiter)
    per_reset, comparison_count = comparison_count / RESET_COUNT, 0
    clock.now += 9.0
    timers.run()
    assert len(fired) == timer_count
    return per_reset, comparison_count / timer_count


def test_cost_of_resetting_a_timer_does_not_depend_on_the_number_of_timers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """``scheduler.cancel`` searches and sorts the whole queue: thousands of events at 4,000 connections.

    Firing costs at most the depth of the heap, whose events are at most the milliseconds of the longest wait.
    """
    few, many = count_comparisons(1_000, monkeypatch), count_comparisons(100_000, monkeypatch)
    assert many[0] <= 1.15 * few[0] + 0.01 and many[0] < 2.0, (few, many)
    assert many[1] <= few[1] < 2 * 14, (few, many)
