"""Usage and lending of one resource: connections, or the load that they cause.

Every team has a guarantee, a ceiling and a weight.  Room that a team does not use is lent to any other team,
except for the lending reserve.  A team's level is what it borrows beyond its guarantee in proportion to its
weight.  A refused team that is within its guarantee, or whose level is below that of the largest borrower,
gets a reservation: the newest connections of the largest borrower are moved, and the room that they free is
kept for the refused team.

Repeating this until no refused team is more than one unit below the largest borrower's level gives weighted
max-min fairness.  The shares are approached step by step and never computed as a whole, so the cost of a
request does not grow with the number of teams.  Amounts are connections, or load in work a second.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from itertools import count
from typing import Any

ROUNDING_TOLERANCE = 1e-9  # for the rounding errors of sums that are updated for hours


class TeamShare:
    """One team's part of one resource at this balancer.

    ``team_state`` is the caller's object for the team and is not used here.  ``draining`` is the part in use
    whose clients have been asked to move.  ``reserved`` is the room that is reserved for the team, and
    ``claimed`` is what it has taken up of reservations that have not expired yet.  ``ranked_level`` is the
    level of its valid entry in the budget's heap of borrowers.
    """

    __slots__ = (
        "ceiling",
        "claimed",
        "draining",
        "guarantee",
        "in_use",
        "ranked_level",
        "reserved",
        "team_state",
        "weight",
    )

    def __init__(self, team_state: Any = None) -> None:
        self.team_state = team_state
        self.guarantee = self.ceiling = self.in_use = self.draining = self.reserved = 0.0
        self.weight = 1.0
        self.claimed = 0.0
        self.ranked_level = 0.0

    @property
    def retained(self) -> float:
        """The part in use that is not draining."""
        return self.in_use - self.draining

    @property
    def borrowed_per_weight(self) -> float:
        """The share's level: use beyond the guarantee in proportion to the weight, negative below it."""
        return (self.retained - self.guarantee) / self.weight

    @property
    def unused_guarantee(self) -> float:
        """The part of the guarantee that is not in use; draining connections count as used."""
        return max(0.0, self.guarantee - self.in_use)

    def exceeds_ceiling(self) -> bool:
        """Whether the part that is not draining is over the ceiling."""
        return self.retained > self.ceiling + ROUNDING_TOLERANCE


class Budget:
    """This balancer's part of one resource of the fleet, and how the teams share it.

    ``lending_reserve_fraction`` is the part of the unused guarantees that is not lent.  With ``whole_units``
    the reserve is rounded up, as for connections.
    """

    def __init__(self, limit: float, lending_reserve_fraction: float, whole_units: bool) -> None:
        self.limit, self.lending_reserve_fraction, self.whole_units = (
            limit,
            lending_reserve_fraction,
            whole_units,
        )
        # While no more than this is in use and nothing is reserved, there is room however large the lending
        # reserve is.  Most requests need no other check.
        self.uncontended_total = limit
        self.total_guaranteed = 0.0
        self.total_in_use = self.draining = self.unused_guarantees = self.reserved = 0.0
        # (expiry time in seconds, share, amount), oldest first.
        self.reservations: deque[tuple[float, TeamShare, float]] = deque()
        # A heap of (negated level, sequence number, share).  The valid entry of a share is the one at its
        # ``ranked_level``, which is never below the share's present level: a share whose level rises gets a
        # new entry at once, and one whose level has fallen gets it when its entry reaches the top.
        self._borrowers: list[tuple[float, int, TeamShare]] = []
        self._sequence = count()
        self.share_count = 0  # set by the caller; bounds the size of the heap

    def lending_reserve(self) -> float:
        """Room that is not lent, so that a team's first requests within its guarantee need no moves."""
        reserve = self.lending_reserve_fraction * self.unused_guarantees
        return math.ceil(reserve - ROUNDING_TOLERANCE) if self.whole_units else reserve

    def set_limits(self, share: TeamShare, guarantee: float, ceiling: float, weight: float) -> None:
        """Change the limits of a share; its usage stays."""
        self.unused_guarantees -= share.unused_guarantee
        self.total_guaranteed += guarantee - share.guarantee
        share.guarantee, share.ceiling, share.weight = guarantee, ceiling, weight
        self.unused_guarantees += share.unused_guarantee
        self._rank_borrower(share)

    def update_uncontended_total(self) -> None:
        """Recompute the total; has to be called after ``limit`` or the limits of shares have changed."""
        self.uncontended_total = self.limit - math.ceil(self.lending_reserve_fraction * self.total_guaranteed)

    def adjust_usage(self, share: TeamShare, amount: float) -> None:
        """Add an amount to the usage of a share; a negative amount is released."""
        before = share.in_use
        after = share.in_use = before + amount
        self.total_in_use += amount
        guarantee = share.guarantee
        if before < guarantee or after < guarantee:
            self.unused_guarantees += (guarantee - after if after < guarantee else 0.0) - (
                guarantee - before if before < guarantee else 0.0
            )
        if after > guarantee:
            self._rank_borrower(share)

    def adjust_draining(self, share: TeamShare, amount: float) -> None:
        """Add an amount to the draining part of a share; a negative amount is released."""
        share.draining += amount
        self.draining += amount
        self._rank_borrower(share)

    def _rank_borrower(self, share: TeamShare) -> None:
        """Add a heap entry for a share whose level has risen."""
        level = share.borrowed_per_weight
        if level > share.ranked_level + ROUNDING_TOLERANCE:
            share.ranked_level = level
            heapq.heappush(self._borrowers, (-level, next(self._sequence), share))
            # Outdated entries are removed once the heap is several times as large as the valid ones need.
            if len(self._borrowers) > 64 + 4 * self.share_count:
                self._borrowers = [entry for entry in self._borrowers if -entry[0] == entry[2].ranked_level]
                heapq.heapify(self._borrowers)

    def largest_borrower(self) -> TeamShare | None:
        """The share with the highest level, if any is above 0; corrects outdated heap entries."""
        heap = self._borrowers
        while heap:
            negated_level, _, share = heap[0]
            if -negated_level != share.ranked_level:
                heapq.heappop(heap)
                continue
            level = share.borrowed_per_weight
            if level >= share.ranked_level - ROUNDING_TOLERANCE:
                return share
            share.ranked_level = max(0.0, level)
            if level > ROUNDING_TOLERANCE:
                heapq.heapreplace(heap, (-level, next(self._sequence), share))
            else:
                heapq.heappop(heap)
        return None

    def within_guarantee(self, share: TeamShare, amount: float) -> bool:
        """Whether a share that uses this amount more is within its guarantee."""
        return share.in_use + amount <= share.guarantee + ROUNDING_TOLERANCE

    def has_room(self, share: TeamShare, amount: float, spare: float = 0.0) -> bool:
        """Whether a share may use this amount more; the ceiling is not checked.

        Within the guarantee it needs only free room.  Beyond it, the lending reserve, the reservations of
        other shares and ``spare`` have to stay free as well.
        """
        if self.total_in_use + amount + spare <= self.uncontended_total and not self.reserved:
            return True
        free = self.limit + ROUNDING_TOLERANCE - self.total_in_use - amount
        if free < 0.0 or share.in_use + amount <= share.guarantee + ROUNDING_TOLERANCE:
            return free >= 0.0
        return free >= spare + self.lending_reserve() + self.reserved - share.reserved

    def reserve_room(self, expires_at: float, share: TeamShare, amount: float) -> bool:
        """Reserve an amount for a share that was refused; False if it is not entitled to it.

        Up to its ceiling, a share is entitled to room within its guarantee, and beyond the guarantee to room
        that the largest borrower has to give up.
        """
        new_reserved = share.reserved + amount
        if share.in_use + new_reserved > share.ceiling + ROUNDING_TOLERANCE or not (
            self.within_guarantee(share, new_reserved)
            or self._may_take_from_largest_borrower(share, new_reserved)
        ):
            return False
        self.reservations.append((expires_at, share, amount))
        share.reserved += amount
        self.reserved += amount
        return True

    def _may_take_from_largest_borrower(self, share: TeamShare, amount: float) -> bool:
        """Whether a share could take this amount from the largest borrower and not exceed its level."""
        largest = self.largest_borrower()
        if largest is None or largest is share:
            return False
        level = (share.retained + amount - share.guarantee) / share.weight
        return level <= (largest.retained - amount - largest.guarantee) / largest.weight + ROUNDING_TOLERANCE

    def claim_reservation(self, share: TeamShare, amount: float) -> None:
        """Reduce what is reserved for a share after it has taken up this amount of room."""
        if not share.reserved:
            return
        amount = min(amount, share.reserved)
        share.reserved -= amount
        share.claimed += amount
        self.reserved -= amount

    def expire_reservations(self, now: float) -> None:
        """Drop the part of expired reservations that was not claimed: a refused client may never retry."""
        while self.reservations and self.reservations[0][0] <= now:
            _, share, amount = self.reservations.popleft()
            claimed = min(amount, share.claimed)
            share.claimed -= claimed
            expired = min(amount - claimed, share.reserved)
            share.reserved -= expired
            self.reserved -= expired
        if not self.reservations:
            self.reserved = 0.0

    def share_to_reclaim_from(self) -> TeamShare | None:
        """The share whose connections have to be moved now, if any: the largest borrower."""
        return self.largest_borrower() if self.is_short() else None

    def is_short(self) -> bool:
        """Whether connections have to be moved to restore the lending reserve or to serve reservations.

        Without reservations the reserve is restored only once half of it is used: otherwise each connection
        that a team opens and closes within its guarantee would move one of a borrower's.
        """
        if self.total_in_use <= self.uncontended_total and not self.reserved:
            return False
        free = self.limit - self.total_in_use + self.draining + ROUNDING_TOLERANCE
        reserve = self.lending_reserve()
        return free < reserve / 2.0 or (self.reserved > 0.0 and free < self.reserved + reserve)
