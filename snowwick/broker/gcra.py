"""A rate limiter by the generic cell rate algorithm (ITU-T I.371, virtual scheduling form).

Besides its rate and burst, the state of a limiter is one number: the theoretical arrival time of the next
unit.
"""

from __future__ import annotations

import math


class Gcra:
    """Passes ``rate`` units a second, and up to ``burst`` units at once.

    Times are seconds on the caller's clock.  While the clock stands still, one burst passes and no more.  A
    clock that jumps ahead refills at most one burst, and one that steps back counts as standing still.
    """

    __slots__ = ("burst", "interval_s", "rate", "theoretical_arrival", "tolerance_s")

    def __init__(self, rate: float, burst: float) -> None:
        self.theoretical_arrival = -math.inf
        self.set_rate(rate, burst)

    def set_rate(self, rate: float, burst: float) -> None:
        """Set the rate and the burst; the theoretical arrival time stays."""
        self.rate, self.burst = rate, max(1.0, burst)
        self.interval_s = 1.0 / rate if rate > 0.0 else math.inf  # between two units at the full rate
        # How far the theoretical arrival time may lie ahead of the clock; at rate 0 no unit may pass.
        self.tolerance_s = (
            (self.burst - 1.0) * self.interval_s + 1e-9
            if 0.0 < rate < math.inf
            else (math.inf if rate > 0.0 else -math.inf)
        )

    def conforms(self, now: float) -> bool:
        """Whether one unit may pass now."""
        return self.theoretical_arrival - now <= self.tolerance_s and self.rate > 0.0

    def conforms_leaving(self, now: float, burst_fraction: float) -> bool:
        """Whether one unit may pass now and leave at least this fraction of the burst unused."""
        return (
            self.rate > 0.0
            and self.theoretical_arrival - now
            <= self.tolerance_s - burst_fraction * self.burst * self.interval_s
        )

    def consume(self, now: float) -> None:
        """Charge one unit that passes, whether it conforms or not."""
        if self.interval_s < math.inf:
            self.theoretical_arrival = (
                self.theoretical_arrival if self.theoretical_arrival > now else now
            ) + self.interval_s

    def wait_s(self, now: float) -> float:
        """Time until one unit may pass."""
        if self.rate <= 0.0:
            return math.inf
        return max(0.0, self.theoretical_arrival - now - self.tolerance_s) if self.rate < math.inf else 0.0

    def change_rate(self, now: float, rate: float, burst: float) -> None:
        """Set the rate and the burst; the used units of the burst stay used, up to the new burst."""
        used_units = (
            max(0.0, self.theoretical_arrival - now) * self.rate if 0.0 < self.rate < math.inf else 0.0
        )
        self.set_rate(rate, burst)
        if used_units and 0.0 < rate < math.inf:
            self.theoretical_arrival = now + min(used_units, self.burst) / rate
