"""When the refused may come back: places in a queue that nobody stands in.

A class that refuses books the next place for the client, at the rate at which it has been letting clients in,
and tells it when that place comes up.  The queue is one number a class, the time of its next free place.  Who
was promised a place is kept as a fingerprint in one table of fixed size for the whole program, however many
clients there are: a promise that another has overwritten is lost, its client asks again like a new one.

Who comes before its time is told the same time again and gains nothing; who comes when it was told goes
before those who were promised nothing.  (A ring of hashed places with a moving pointer needs no table, but
its speed has to be learned from clients that return a whole round later, and in simulation a third to a half
of the times it stated were right; see docs/broker.md.)
"""

from __future__ import annotations

import math
from array import array
from zlib import crc32

WAYS = 4  # entries of the table that a fingerprint may be in
EARLY, LATE = 0.05, 2.0  # s that a client may come before its time, and after it
RATE_OVER = 8.0  # s over which the rate of those let in is taken
MISSES, STEP = 0.05, 0.03  # part of the promised that may find no room; how far each lowers the pace
SLOWEST, FASTEST, FIRST = 0.4, 0.95, 0.7  # bounds of the pace and its start, in parts of the rate let in
AGAIN = 2.0, 12.0  # places after which one who found no room is to come again, at least and at most


class Promises:
    """The table: when each of those who were promised a place may come."""

    def __init__(self, size: int = 1 << 15) -> None:
        self.mask = size // WAYS - 1
        self.prints = array("L", bytes(array("L").itemsize * size))
        self.due = array("d", bytes(8 * size))

    @staticmethod
    def fingerprint(salt: int, key: str) -> int:
        """Of a client's key; the salt tells one class of one team from another.  Never 0, which is free."""
        return crc32(key.encode(), salt) or 1

    def find(self, mark: int, now: float) -> float | None:
        """When that client was told to come, unless it has let the time pass."""
        base = (mark & self.mask) * WAYS
        for at in range(base, base + WAYS):
            if self.prints[at] == mark:
                return self.due[at] if now <= self.due[at] + LATE else None
        return None

    def set(self, mark: int, due: float) -> None:
        """Promise; in a full row the one whose time is nearest, or past, gives way."""
        base = (mark & self.mask) * WAYS
        at, soonest = base, math.inf
        for n in range(base, base + WAYS):
            if self.prints[n] == mark:
                at = n
                break
            if self.due[n] < soonest:
                at, soonest = n, self.due[n]
        self.prints[at], self.due[at] = mark, due

    def drop(self, mark: int) -> None:
        """The promise is kept."""
        base = (mark & self.mask) * WAYS
        for at in range(base, base + WAYS):
            if self.prints[at] == mark:
                self.prints[at], self.due[at] = 0, 0.0


class Queue:
    """One class's places.  Times are seconds on the caller's clock; ``next`` ahead of it: some wait."""

    __slots__ = ("at", "count", "next", "pace")

    def __init__(self) -> None:
        self.next, self.count, self.at, self.pace = -math.inf, 0.0, 0.0, FIRST

    def let_in(self, now: float) -> None:
        """One more has been let in."""
        self.count = self.count * math.exp((self.at - now) / RATE_OVER) + 1.0
        self.at = now

    def came(self, served: bool) -> None:
        """One who was promised a place has come, and found room or none.

        The pace falls with each miss and rises a little with each hit, so that in the long run ``MISSES`` of
        them miss (stochastic approximation, Robbins and Monro 1951): rooms free up at random, and places
        booked as fast as they do would find none half of the time.
        """
        step = STEP * MISSES / (1.0 - MISSES) if served else -STEP
        self.pace = min(FASTEST, max(SLOWEST, self.pace * (1.0 + step)))

    def rate(self, now: float) -> float:
        """Places a second, by how many have been let in of late."""
        let_in = self.count * math.exp(min(0.0, self.at - now) / RATE_OVER) / RATE_OVER
        return let_in * self.pace

    def book(self, now: float, rate: float, longest: float) -> float | None:
        """The time of the next free place at that rate, or None where it is further off than ``longest``."""
        place = max(self.next, now) + 1.0 / max(rate, 1.0 / longest)
        if place - now > longest:
            return None
        self.next = place
        return place
