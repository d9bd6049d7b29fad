"""One timer for each wait, whose setting, cancelling and firing cost the same however many waits stand.

The library's scheduler searches and sorts its whole queue to cancel one event, and nearly every wait of a
connection ends by a line, not by its time.  So the library holds one event for each slot of time in which
anything is due, and the waits of that slot stand in a table: cancelling takes one of them out.  A slot is a
millisecond, which is what epoll can wait for, so nothing becomes later than it was; for what is far off it is
wider, as in the wheels of kernels: such waits are for silence, which the protocol bounds by seconds, they are
rarely used up, and each slot that was emptied still wakes the loop once.
"""

from __future__ import annotations

import math
import sched
from collections.abc import Callable
from typing import Generic, TypeVar

SLOTS_PER_S = 1000.0  # a second
FAR_WAIT_S, FAR_WAIT_SLOTS = 2.0, 50  # s from which a wait may end late by a slot of so many
EARLY_TOLERANCE_SLOTS = 0.001  # of a slot by which a wait may fire early: products of floats are not whole

T = TypeVar("T")


class Timers(Generic[T]):
    """Waits by the time at which they end, in seconds on the given clock."""

    def __init__(self, clock: Callable[[], float], on_expired: Callable[[T], None]) -> None:
        self.clock, self.on_expired = clock, on_expired
        self.scheduler = sched.scheduler(clock, lambda _: None)
        self.slots: dict[int, dict[T, None]] = {}

    def set(self, deadline: float, waiter: T) -> int:
        """Returns the number by which ``cancel`` finds it; each ``who`` once at a time."""
        slot = math.ceil(deadline * SLOTS_PER_S - EARLY_TOLERANCE_SLOTS)
        if deadline - self.clock() > FAR_WAIT_S:
            slot += -slot % FAR_WAIT_SLOTS
        due = self.slots.get(slot)
        if due is None:
            due = self.slots[slot] = {}
            self.scheduler.enterabs(slot / SLOTS_PER_S, 0, self._fire_slot, (slot,))
        due[waiter] = None
        return slot

    def cancel(self, slot: int, waiter: T) -> None:
        """The slot's event stays until its time."""
        del self.slots[slot][waiter]

    def run(self) -> float | None:
        """Fire what is due; returns the seconds until the next slot, if there is one."""
        return self.scheduler.run(blocking=False)

    def _fire_slot(self, slot: int) -> None:
        for waiter in self.slots.pop(slot):
            self.on_expired(waiter)
