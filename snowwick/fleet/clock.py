"""The hybrid logical clock (Kulkarni et al., 2014).

Its timestamps stay close to the wall clock and are higher than all timestamps received before.
"""

from __future__ import annotations

from dataclasses import dataclass

LOGICAL_BITS = 16  # low bits of a timestamp, which count events within one ms
MAX_AHEAD_MS = 30_000  # received timestamps further ahead of the wall clock do not advance this clock


@dataclass(slots=True)
class HybridClock:
    """Timestamps are integers: Unix time in ms, shifted left by ``LOGICAL_BITS``, plus a counter.

    A timestamp from a clock that is minutes ahead is stored unchanged but advances no other clock, so that
    one machine with a wrong clock does not affect the others.  Of two writers it wins only until its clock is
    corrected.
    """

    highest_timestamp: int = 0  # the highest timestamp issued or received

    def next_timestamp(self, wall_ms: float) -> int:
        """A timestamp for a local event, higher than all that were issued or received before."""
        self.highest_timestamp = max(self.highest_timestamp + 1, int(wall_ms) << LOGICAL_BITS)
        return self.highest_timestamp

    def observe(self, timestamp: int, wall_ms: float) -> bool:
        """Advance the clock to a received timestamp; False where that is too far ahead to be used."""
        if timestamp >> LOGICAL_BITS > wall_ms + MAX_AHEAD_MS:
            return False
        self.highest_timestamp = max(self.highest_timestamp, timestamp)
        return True


def timestamp_ms(timestamp: int) -> int:
    """The Unix time in ms of a timestamp."""
    return timestamp >> LOGICAL_BITS
