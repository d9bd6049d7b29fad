"""Retry times for refused clients: a queue of time slots, for which no connection is kept open.

When a request class refuses a client, the next slot is booked for it and sent as its retry time.  Slots
follow each other at the rate at which the class has been admitting clients, so the queue of a class is one
number: the time of its next free slot.  One table of a fixed size, for all teams and classes, stores the
clients with a slot as fingerprints.  A client whose entry has been overwritten is treated as new when it
retries.

A client that retries before its slot is sent the same time again and gains nothing.  One that retries at its
slot takes precedence over clients without one.  (The alternative, a ring of hashed slots with a moving
pointer, needs no table.  But the pointer's speed has to be estimated from clients that return a whole round
later, and in simulation only a third to a half of its retry times were right; see docs/broker.md.)
"""

from __future__ import annotations

import math
from array import array
from zlib import crc32

ENTRIES_PER_ROW = 4  # table entries in which a fingerprint may be stored
EARLY_TOLERANCE_S = 0.05  # how long before its slot a retry counts as on time
LATE_TOLERANCE_S = 2.0  # how long after its slot a retry counts as on time
RATE_WINDOW_S = 8.0  # time constant of the moving average of the admission rate
TARGET_MISS_FRACTION = 0.05  # part of the retries at a slot that may find no room
PACING_STEP = 0.03  # part by which a retry that finds no room lowers the pacing factor
# Bounds and initial value of the pacing factor: the rate of slots as a part of the admission rate.
MIN_PACING_FACTOR = 0.4
MAX_PACING_FACTOR = 0.95
INITIAL_PACING_FACTOR = 0.7
# Range of the random delay, in slot intervals, after which a client that found no room at its slot retries.
SLOTS_AFTER_MISS = 2.0, 12.0


class RetryTable:
    """A set-associative table of the slots of refused clients.

    ``size`` is the number of entries, a power of two and at least ``ENTRIES_PER_ROW``.
    """

    def __init__(self, size: int = 1 << 15) -> None:
        self.row_mask = size // ENTRIES_PER_ROW - 1
        self.fingerprints = array("L", bytes(array("L").itemsize * size))
        self.retry_times = array("d", bytes(8 * size))

    @staticmethod
    def fingerprint(salt: int, key: str) -> int:
        """The fingerprint of a client's key; it is never 0, since 0 marks a free entry.

        The salt differs between the classes of all teams, so that one table can hold the clients of them all.
        """
        return crc32(key.encode(), salt) or 1

    def find(self, fingerprint: int, now: float) -> float | None:
        """The time of a client's slot, or None if the client has no slot or the slot has expired."""
        row = (fingerprint & self.row_mask) * ENTRIES_PER_ROW
        for entry in range(row, row + ENTRIES_PER_ROW):
            if self.fingerprints[entry] == fingerprint:
                return self.retry_times[entry] if now <= self.retry_times[entry] + LATE_TOLERANCE_S else None
        return None

    def set(self, fingerprint: int, retry_at: float) -> None:
        """Store the time of a client's slot; in a full row it replaces the earliest slot."""
        row = (fingerprint & self.row_mask) * ENTRIES_PER_ROW
        chosen = row
        earliest = math.inf
        for entry in range(row, row + ENTRIES_PER_ROW):
            if self.fingerprints[entry] == fingerprint:
                chosen = entry
                break
            if self.retry_times[entry] < earliest:
                chosen = entry
                earliest = self.retry_times[entry]
        self.fingerprints[chosen], self.retry_times[chosen] = fingerprint, retry_at

    def remove(self, fingerprint: int) -> None:
        """Remove a client's slot after the client has been admitted."""
        row = (fingerprint & self.row_mask) * ENTRIES_PER_ROW
        for entry in range(row, row + ENTRIES_PER_ROW):
            if self.fingerprints[entry] == fingerprint:
                self.fingerprints[entry], self.retry_times[entry] = 0, 0.0


class RetryQueue:
    """The retry slots of one class, in seconds on the caller's clock.

    While ``next_slot_at`` lies in the future, some clients wait for their slots.  ``admission_count`` is the
    number of admissions, decaying exponentially with the time constant ``RATE_WINDOW_S``, as of
    ``last_admission_at``.
    """

    __slots__ = ("admission_count", "last_admission_at", "next_slot_at", "pacing_factor")

    def __init__(self) -> None:
        self.next_slot_at = -math.inf
        self.admission_count = 0.0
        self.last_admission_at = 0.0
        self.pacing_factor = INITIAL_PACING_FACTOR

    def record_admission(self, now: float) -> None:
        """Count an admission for the average of the admission rate."""
        self.admission_count = (
            self.admission_count * math.exp((self.last_admission_at - now) / RATE_WINDOW_S) + 1.0
        )
        self.last_admission_at = now

    def record_retry(self, admitted: bool) -> None:
        """Record whether a client that retried at its slot was admitted.

        The pacing factor falls with each miss and rises a little with each hit, so that in the long run
        ``TARGET_MISS_FRACTION`` of the retries miss (stochastic approximation, Robbins and Monro 1951).
        Connections end at random times: slots booked at the full admission rate would find no room half of
        the time.
        """
        step = PACING_STEP * TARGET_MISS_FRACTION / (1.0 - TARGET_MISS_FRACTION) if admitted else -PACING_STEP
        self.pacing_factor = min(MAX_PACING_FACTOR, max(MIN_PACING_FACTOR, self.pacing_factor * (1.0 + step)))

    def slot_rate(self, now: float) -> float:
        """The rate of slots a second that follows from the rate of recent admissions."""
        admission_rate = (
            self.admission_count
            * math.exp(min(0.0, self.last_admission_at - now) / RATE_WINDOW_S)
            / RATE_WINDOW_S
        )
        return admission_rate * self.pacing_factor

    def book_slot(self, now: float, rate: float, max_retry_after_s: float) -> float | None:
        """Book the next slot at ``rate`` slots a second; None if it would be later than the longest wait."""
        slot_at = max(self.next_slot_at, now) + 1.0 / max(rate, 1.0 / max_retry_after_s)
        if slot_at - now > max_retry_after_s:
            return None
        self.next_slot_at = slot_at
        return slot_at
