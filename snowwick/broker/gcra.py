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

    __slots__ = ("arrival", "burst", "rate", "slack", "step")

    def __init__(self, rate: float, burst: float) -> None:
        self.arrival = -math.inf
        self.set(rate, burst)

    def set(self, rate: float, burst: float) -> None:
        """Go on at another rate; what has passed keeps the time it has used."""
        self.rate, self.burst = rate, max(1.0, burst)
        self.step = 1.0 / rate if rate > 0.0 else math.inf  # s that a unit takes
        # How far ahead of the clock a unit may arrive: never, where nothing may pass.
        self.slack = (
            (self.burst - 1.0) * self.step + 1e-9
            if 0.0 < rate < math.inf
            else (math.inf if rate > 0.0 else -math.inf)
        )

    def conforms(self, now: float) -> bool:
        """May one unit pass now?"""
        return self.arrival - now <= self.slack and self.rate > 0.0

    def leaves(self, now: float, part: float) -> bool:
        """May one unit pass now and leave that part of the burst unused?"""
        return self.rate > 0.0 and self.arrival - now <= self.slack - part * self.burst * self.step

    def take(self, now: float) -> None:
        """One unit passes, conforming or not."""
        if self.step < math.inf:
            self.arrival = (self.arrival if self.arrival > now else now) + self.step

    def wait(self, now: float) -> float:
        """Seconds until one unit conforms."""
        if self.rate <= 0.0:
            return math.inf
        return max(0.0, self.arrival - now - self.slack) if self.rate < math.inf else 0.0

    def change(self, now: float, rate: float, burst: float) -> None:
        """Go on at another rate with as many units of the burst used as before."""
        used = max(0.0, self.arrival - now) * self.rate if 0.0 < self.rate < math.inf else 0.0
        self.set(rate, burst)
        if used and 0.0 < rate < math.inf:
            self.arrival = now + min(used, self.burst) / rate
