"""Timers whose cost to set, cancel and fire does not depend on how many are set.

``sched.scheduler`` searches and sorts its whole queue to cancel one event, and nearly every wait of a
connection ends with a line rather than its timeout. Therefore the scheduler holds one event per time slot,
and a table holds the waiters of each slot, from which a cancelled one is removed. A slot is a millisecond,
the resolution of epoll, so no timer fires later than it otherwise would. Slots far in the future are wider,
as in the timer wheels of kernels, since each slot wakes the loop once even if it has become empty. Such long
waits detect silence, which the protocol limits in seconds, and they rarely expire.
"""

from __future__ import annotations

import math
import sched
from collections.abc import Callable
from typing import Generic, TypeVar

SLOTS_PER_S = 1000.0
FAR_WAIT_S = 2.0  # longer waits use wide slots
FAR_WAIT_SLOTS = 50  # width of a wide slot, in slots
EARLY_TOLERANCE_SLOTS = 0.001  # a timer may fire early by this part of a slot, because of float rounding

T = TypeVar("T")


class Timers(Generic[T]):
    """Calls ``on_expired`` with each waiter whose deadline, in seconds on the given clock, has passed."""

    def __init__(self, clock: Callable[[], float], on_expired: Callable[[T], None]) -> None:
        self.clock, self.on_expired = clock, on_expired
        self.scheduler = sched.scheduler(clock, lambda _: None)
        self.slots: dict[int, dict[T, None]] = {}

    def set(self, deadline: float, waiter: T) -> int:
        """Set a timer for a waiter that has none; returns the slot that ``cancel`` needs."""
        slot = math.ceil(deadline * SLOTS_PER_S - EARLY_TOLERANCE_SLOTS)
        if deadline - self.clock() > FAR_WAIT_S:
            slot += -slot % FAR_WAIT_SLOTS
        waiters = self.slots.get(slot)
        if waiters is None:
            waiters = self.slots[slot] = {}
            self.scheduler.enterabs(slot / SLOTS_PER_S, 0, self._fire_slot, (slot,))
        waiters[waiter] = None
        return slot

    def cancel(self, slot: int, waiter: T) -> None:
        """Cancel a waiter's timer; the event of its slot remains in the scheduler."""
        del self.slots[slot][waiter]

    def run(self) -> float | None:
        """Fire expired timers; returns the seconds until the next slot, or None if no slot is left."""
        return self.scheduler.run(blocking=False)

    def _fire_slot(self, slot: int) -> None:
        for waiter in self.slots.pop(slot):
            self.on_expired(waiter)
