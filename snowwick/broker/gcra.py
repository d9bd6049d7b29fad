"""A limit on a rate by the generic cell rate algorithm (ITU-T I.371, virtual scheduling form).

The whole state of a limit is one number: the theoretical arrival time of the next unit.
"""

from __future__ import annotations

import math


class Gcra:
    """``rate`` units a second, ``burst`` units at once; all times are seconds on the caller's clock.

    A clock that stands still lets a burst out and no more; one that jumps ahead refills to a full burst and
    no further; one that steps back counts as standing still.
    """

    __slots__ = ("arrival", "burst", "rate")

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.arrival = rate, max(1.0, burst), -math.inf

    def conforms(self, now: float, keep: float = 0.0) -> bool:
        """May one unit pass now and leave ``keep`` units of the burst?"""
        if self.rate <= 0.0:
            return False
        if self.rate == math.inf:
            return True
        return self.arrival - now <= (self.burst - 1.0 - keep) / self.rate + 1e-9

    def take(self, now: float) -> None:
        """One unit passes, conforming or not."""
        if 0.0 < self.rate < math.inf:
            self.arrival = max(self.arrival, now) + 1.0 / self.rate

    def wait(self, now: float) -> float:
        """Seconds until one unit conforms."""
        if self.rate <= 0.0:
            return math.inf
        if self.rate == math.inf:
            return 0.0
        return max(0.0, self.arrival - now - (self.burst - 1.0) / self.rate)

    def change(self, now: float, rate: float, burst: float) -> None:
        """Go on at another rate with as many units of the burst used as before."""
        used = max(0.0, self.arrival - now) * self.rate if 0.0 < self.rate < math.inf else 0.0
        self.rate, self.burst = rate, max(1.0, burst)
        if used and 0.0 < rate < math.inf:
            self.arrival = now + min(used, self.burst) / rate
