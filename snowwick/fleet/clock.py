"""The hybrid logical clock (Kulkarni et al., 2014): near the wall clock, never behind what was heard."""

from __future__ import annotations

from dataclasses import dataclass

LOGICAL_BITS = 16  # bits of a stamp that count events within a ms
MAX_AHEAD_MS = 30_000  # ms by which a stamp that was heard may lead this machine's clock and still move ours


@dataclass(slots=True)
class HybridClock:
    """Stamps are whole numbers: ms of the wall clock, then a counter.

    A stamp from a clock that is minutes ahead is kept as it is but moves no other clock, so that the one
    wrong machine stays alone with its time; of two writers it wins at most until its clock is put right.
    """

    last: int = 0

    def next_timestamp(self, wall_ms: float) -> int:
        """A stamp for an event here, after all stamps given and heard before."""
        self.last = max(self.last + 1, int(wall_ms) << LOGICAL_BITS)
        return self.last

    def observe(self, stamp: int, wall_ms: float) -> bool:
        """Take another's stamp into account; False where it lies too far ahead to be believed."""
        if stamp >> LOGICAL_BITS > wall_ms + MAX_AHEAD_MS:
            return False
        self.last = max(self.last, stamp)
        return True


def timestamp_ms(stamp: int) -> int:
    """The wall clock's ms of a stamp."""
    return stamp >> LOGICAL_BITS
