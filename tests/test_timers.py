"""What a wait costs beside many others, and when it ends."""

from __future__ import annotations

import sched
from typing import Any

import pytest

from snowwick.net.timers import Timers

LINES = 2000


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def test_waits_fire_in_order_never_late_and_not_once_cancelled() -> None:
    clock, fired = Clock(), list[str]()
    timers: Timers[str] = Timers(clock, fired.append)
    slots = {
        who: timers.set(until, who)
        for who, until in [("b", 100.5), ("a", 100.25), ("c", 100.5), ("past", 90.0), ("d", 100.7)]
    }
    assert timers.run() == pytest.approx(0.25, abs=1e-6) and fired == ["past"]
    timers.cancel(slots["c"], "c")
    clock.now = 100.5
    assert timers.run() == pytest.approx(0.2, abs=1e-6) and fired == ["past", "a", "b"]
    timers.cancel(slots["d"], "d")
    clock.now = 100.7
    assert timers.run() is None and fired == ["past", "a", "b"]
    assert not timers.slots and timers.scheduler.empty()


def test_far_wait_ends_late_by_a_slot_at_most_and_shares_its_event() -> None:
    """Each emptied slot wakes the loop: at a thousand lines a second, a thousand times for nothing."""
    clock, fired = Clock(), list[int]()
    timers: Timers[int] = Timers(clock, fired.append)
    for who in range(1000):
        timers.set(105.5 + 0.001 * who, who)
    assert len(timers.slots) <= 21
    for _ in range(1000):
        clock.now += 0.007
        timers.run()
        for who in fired:
            assert 0.0 <= clock.now - (105.5 + 0.001 * who) <= 0.0571
        fired.clear()
    assert not timers.slots


def test_wait_set_while_others_fire_is_not_lost() -> None:
    clock, fired = Clock(), list[str]()

    def fire(who: str) -> None:
        fired.append(who)
        if who == "a":
            timers.set(100.0, "at once")

    timers: Timers[str] = Timers(clock, fire)
    timers.set(100.0, "a")
    timers.set(100.0, "b")
    assert timers.run() is None and fired == ["a", "b", "at once"]


def comparisons(standing: int, monkeypatch: pytest.MonkeyPatch) -> tuple[float, float]:
    """How often the library compares two events: for a wait cancelled and set anew, and for one fired."""
    counted = 0

    class Event(sched.Event):  # type: ignore[misc, name-defined, unused-ignore]
        def __lt__(self, other: Any) -> bool:
            nonlocal counted
            counted += 1
            return tuple.__lt__(self, other)

        def __eq__(self, other: object) -> bool:
            nonlocal counted
            counted += 1
            return tuple.__eq__(self, other)

    monkeypatch.setattr(sched, "Event", Event)
    clock, fired = Clock(), list[int]()
    timers: Timers[int] = Timers(clock, fired.append)
    waits = {who: timers.set(clock.now + 7.0 * who / standing, who) for who in range(standing)}
    counted = 0
    for line in range(LINES):
        who = (line * 7919) % standing
        timers.cancel(waits[who], who)
        waits[who] = timers.set(clock.now + 7.0 + 0.0005 * line, who)
    changed, counted = counted / LINES, 0
    clock.now += 9.0
    timers.run()
    assert len(fired) == standing
    return changed, counted / standing


def test_a_lines_wait_costs_the_same_however_many_stand(monkeypatch: pytest.MonkeyPatch) -> None:
    """The library's own cancel searched and sorted the whole queue, at 4,000 connections thousands of events.

    Firing takes a heap's depth at most: no more events than milliseconds in the longest wait.
    """
    few, many = comparisons(1_000, monkeypatch), comparisons(100_000, monkeypatch)
    assert many[0] <= 1.15 * few[0] + 0.01 and many[0] < 2.0, (few, many)
    assert many[1] <= few[1] < 2 * 14, (few, many)
