"""The hybrid logical clock (Kulkarni et al., 2014).

Its timestamps stay close to the wall clock and are higher than all that were issued or received before.
"""

from __future__ import annotations

from dataclasses import dataclass

LOGICAL_BITS = 16  # low bits of a timestamp, a counter of events within one ms
MAX_AHEAD_MS = 30_000  # received timestamps further ahead of the wall clock do not advance this clock


@dataclass(slots=True)
class HybridClock:
    """Timestamps are integers: Unix time in ms, shifted left by ``LOGICAL_BITS``, plus a counter.

    A timestamp more than ``MAX_AHEAD_MS`` ahead of the wall clock does not advance this clock, so that one
    machine with a wrong clock does not affect the others.
    """

    highest_timestamp: int = 0  # issued, or received and not too far ahead

    def next_timestamp(self, wall_ms: float) -> int:
        """A timestamp for a local event, higher than ``highest_timestamp``."""
        self.highest_timestamp = max(self.highest_timestamp + 1, int(wall_ms) << LOGICAL_BITS)
        return self.highest_timestamp

    def observe(self, timestamp: int, wall_ms: float) -> bool:
        """Advance the clock to a received timestamp; returns False where it is too far ahead to be used."""
        if timestamp >> LOGICAL_BITS > wall_ms + MAX_AHEAD_MS:
            return False
        self.highest_timestamp = max(self.highest_timestamp, timestamp)
        return True


def timestamp_ms(timestamp: int) -> int:
    """The Unix time in ms of a timestamp."""
    return timestamp >> LOGICAL_BITS
