"""A limit on a rate by the generic cell rate algorithm (ITU-T I.371, virtual scheduling form).

The whole state of a limit is one number: the theoretical arrival time of the next unit.
"""

from __future__ import annotations

import math


class Gcra:
    """Passes ``rate`` units a second and ``burst`` units at once; times are seconds on the caller's clock.

    A clock that stands still passes one burst and no more, one that jumps ahead refills at most a full burst,
    and one that steps back counts as standing still.
    """

    __slots__ = ("burst", "interval_s", "rate", "theoretical_arrival", "tolerance_s")

    def __init__(self, rate: float, burst: float) -> None:
        self.theoretical_arrival = -math.inf
        self.set_rate(rate, burst)

    def set_rate(self, rate: float, burst: float) -> None:
        """Set another rate; the theoretical arrival time stays."""
        self.rate, self.burst = rate, max(1.0, burst)
        self.interval_s = 1.0 / rate if rate > 0.0 else math.inf  # between units at the full rate
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
        """Whether one unit may pass now with this part of the burst left unused."""
        return (
            self.rate > 0.0
            and self.theoretical_arrival - now
            <= self.tolerance_s - burst_fraction * self.burst * self.interval_s
        )

    def consume(self, now: float) -> None:
        """Count one unit that passes, whether it conforms or not."""
        if self.interval_s < math.inf:
            self.theoretical_arrival = (
                self.theoretical_arrival if self.theoretical_arrival > now else now
            ) + self.interval_s

    def wait_s(self, now: float) -> float:
        """Time until one unit conforms."""
        if self.rate <= 0.0:
            return math.inf
        return max(0.0, self.theoretical_arrival - now - self.tolerance_s) if self.rate < math.inf else 0.0

    def change_rate(self, now: float, rate: float, burst: float) -> None:
        """Set another rate with as many units of the burst used as before."""
        used_units = (
            max(0.0, self.theoretical_arrival - now) * self.rate if 0.0 < self.rate < math.inf else 0.0
        )
        self.set_rate(rate, burst)
        if used_units and 0.0 < rate < math.inf:
            self.theoretical_arrival = now + min(used_units, self.burst) / rate
