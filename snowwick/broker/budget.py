"""What is held and what is lent of one resource: standing connections, or the load that they bring.

Every team has a guarantee, a ceiling and a weight.  Room that its owner does not use is lent to whoever asks,
but for a reserve; when an owner, or a team with less in proportion to its weight, finds no room, a mark keeps
for it the room that is then freed by moving what the richest borrower took last.  Stealing from the richest
until nobody who asks is poorer by a unit is weighted max-min fairness, reached step by step without ever
computing it, so that the cost of an ask does not grow with the number of teams.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from itertools import count
from typing import Any

SLACK = 1e-9  # guards against rounding where loads are summed and subtracted for hours


class Share:
    """One team's part of one resource at this balancer.  ``leaving`` is held, but has been asked to go."""

    __slots__ = ("ceiling", "guarantee", "in_use", "leaving", "marked", "owner", "ranked", "spent", "weight")

    def __init__(self, owner: Any = None) -> None:
        self.owner = owner
        self.guarantee = self.ceiling = self.in_use = self.leaving = self.marked = 0.0
        self.weight, self.spent, self.ranked = 1.0, 0.0, 0.0

    @property
    def staying(self) -> float:
        return self.in_use - self.leaving

    @property
    def level(self) -> float:
        """What it has beyond its guarantee, in proportion to its weight."""
        return (self.staying - self.guarantee) / self.weight

    @property
    def unused(self) -> float:
        return max(0.0, self.guarantee - self.in_use)

    def exceeds_ceiling(self) -> bool:
        return self.staying > self.ceiling + SLACK


class Budget:
    """One resource of the fleet, this balancer's part."""

    def __init__(self, limit: float, reserve_part: float, whole: bool) -> None:
        self.limit, self.reserve_part, self.whole = limit, reserve_part, whole
        # With no marks there is room up to this total whatever is reserved: most asks need to know no more.
        self.easy, self.guaranteed = limit, 0.0
        self.total = self.leaving = self.unused = self.marked = 0.0
        self.marks: deque[tuple[float, Share, float]] = deque()  # until when, whose, how much; oldest first
        # Borrowers by a level that each has had: never under the one it has now.  ``ranked`` names the entry
        # that counts; who falls is put right when its entry comes up, who rises gets a new one.
        self._heap: list[tuple[float, int, Share]] = []
        self._count = count()
        self.shares = 0  # how many there are, for the heap's bound

    def reserve(self) -> float:
        """Room that is never lent: an owner's first asks find it before anything has been moved."""
        kept = self.reserve_part * self.unused
        return math.ceil(kept - SLACK) if self.whole else kept

    def set(self, share: Share, guarantee: float, ceiling: float, weight: float) -> None:
        """Other limits for a share; what it holds stays."""
        self.unused -= share.unused
        self.guaranteed += guarantee - share.guarantee
        share.guarantee, share.ceiling, share.weight = guarantee, ceiling, weight
        self.unused += share.unused
        self._rank(share)

    def ease(self) -> None:
        """Call after ``limit`` or shares were set."""
        self.easy = self.limit - math.ceil(self.reserve_part * self.guaranteed)

    def add(self, share: Share, amount: float) -> None:
        """It holds more, or less."""
        before = share.in_use
        after = share.in_use = before + amount
        self.total += amount
        guarantee = share.guarantee
        if before < guarantee or after < guarantee:
            self.unused += (guarantee - after if after < guarantee else 0.0) - (
                guarantee - before if before < guarantee else 0.0
            )
        if after > guarantee:
            self._rank(share)

    def leave(self, share: Share, amount: float) -> None:
        """So much of what it holds has been asked to go; a negative amount has gone."""
        share.leaving += amount
        self.leaving += amount
        self._rank(share)

    def _rank(self, share: Share) -> None:
        level = share.level
        if level > share.ranked + SLACK:
            share.ranked = level
            heapq.heappush(self._heap, (-level, next(self._count), share))
            if len(self._heap) > 64 + 4 * self.shares:
                self._heap = [row for row in self._heap if -row[0] == row[2].ranked]
                heapq.heapify(self._heap)

    def richest(self) -> Share | None:
        """The share with most beyond its guarantee, for its weight."""
        heap = self._heap
        while heap:
            level, _, share = heap[0]
            if -level != share.ranked:
                heapq.heappop(heap)
                continue
            now = share.level
            if now >= share.ranked - SLACK:
                return share
            share.ranked = max(0.0, now)
            if now > SLACK:
                heapq.heapreplace(heap, (-now, next(self._count), share))
            else:
                heapq.heappop(heap)
        return None

    def entitled(self, share: Share, amount: float) -> bool:
        """Is it still within its guarantee with so much more?"""
        return share.in_use + amount <= share.guarantee + SLACK

    def room(self, share: Share, amount: float, spare: float = 0.0) -> bool:
        """Is there room for so much more, ``spare`` left over?  The ceiling is another question."""
        if self.total + amount + spare <= self.easy and not self.marked:
            return True
        free = self.limit + SLACK - self.total - amount
        if free < 0.0 or share.in_use + amount <= share.guarantee + SLACK:
            return free >= 0.0
        return free >= spare + self.reserve() + self.marked - share.marked

    def mark(self, until: float, share: Share, amount: float) -> bool:
        """Keep the room that is freed next for a share that was refused, if it is owed any."""
        more = share.marked + amount
        if share.in_use + more > share.ceiling + SLACK or not (
            self.entitled(share, more) or self._poorer(share, more)
        ):
            return False
        self.marks.append((until, share, amount))
        share.marked += amount
        self.marked += amount
        return True

    def _poorer(self, share: Share, more: float) -> bool:
        """Would it, with so much more, still have no more than the richest has with as much less?"""
        rich = self.richest()
        if rich is None or rich is share:
            return False
        level = (share.staying + more - share.guarantee) / share.weight
        return level <= (rich.staying - more - rich.guarantee) / rich.weight + SLACK

    def used(self, share: Share, amount: float) -> None:
        """A share for which room was kept has taken some."""
        if not share.marked:
            return
        amount = min(amount, share.marked)
        share.marked -= amount
        share.spent += amount
        self.marked -= amount

    def expire(self, now: float) -> None:
        """Room is kept for a while only: who was refused may never come back."""
        while self.marks and self.marks[0][0] <= now:
            _, share, amount = self.marks.popleft()
            spent = min(amount, share.spent)
            share.spent -= spent
            lost = min(amount - spent, share.marked)
            share.marked -= lost
            self.marked -= lost
        if not self.marks:
            self.marked = 0.0

    def victim(self) -> Share | None:
        """The share that must give something up now, if any.

        The reserve is brought back once half of it is gone: an owner whose connections come and go must not
        have a borrower moved for each.
        """
        return self.richest() if self.short() else None

    def short(self) -> bool:
        """Is less free than is to be kept?"""
        if self.total <= self.easy and not self.marked:
            return False
        free = self.limit - self.total + self.leaving + SLACK
        reserve = self.reserve()
        return free < reserve / 2.0 or (self.marked > 0.0 and free < self.marked + reserve)
