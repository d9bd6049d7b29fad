"""Which destinations belong to which pool, by what discovery says of them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from crowgap.interface import BackendEntry, ListKind, ListUpdate, State


@dataclass(slots=True, frozen=True)
class Labels:
    """What discovery says of a destination, as far as pools go by it."""

    kind: str = ""
    zone: str = ""
    cell: str = ""


@dataclass(slots=True, frozen=True)
class Match:
    """The labels that a pool takes; None takes any."""

    kind: frozenset[str] | None = None
    zone: frozenset[str] | None = None
    cell: frozenset[str] | None = None

    def takes(self, labels: Labels) -> bool:
        return all(
            wanted is None or label in wanted
            for wanted, label in (
                (self.kind, labels.kind),
                (self.zone, labels.zone),
                (self.cell, labels.cell),
            )
        )

    def overlaps(self, other: Match) -> bool:
        """Could one destination be in both?"""
        return all(
            a is None or b is None or a & b
            for a, b in ((self.kind, other.kind), (self.zone, other.zone), (self.cell, other.cell))
        )


class PoolAssignment:
    """Deals discovery's list out to pools: each gets the news of its own destinations, and of those it loses.

    A destination whose labels change leaves its old pool as one that is gone, so that the module there moves
    its clients, and enters the new one as it now is.
    """

    def __init__(self, matches: Mapping[str, Match]) -> None:
        self.matches = dict(matches)
        self.entries: dict[int, tuple[BackendEntry, Labels]] = {}
        self.destinations: dict[str, set[int]] = {name: set() for name in matches}
        self.available_pools: set[str] = set()  # pools with a destination that takes new connections

    def apply(self, update: ListUpdate, labels: Mapping[int, Labels]) -> dict[str, ListUpdate]:
        """What each pool hears of an update; ``labels`` holds those of the update's entries."""
        if update.kind is ListKind.FAILED:
            return dict.fromkeys(self.matches, update)
        whole = update.kind is not ListKind.CHANGES
        if whole:
            self.entries = {}
        for entry in update.entries:
            if entry.state is State.GONE:
                self.entries.pop(entry.backend, None)
            else:
                self.entries[entry.backend] = entry, labels.get(entry.backend, Labels())
        changed = None if whole else {entry.backend: entry for entry in update.entries}
        return {name: self._of(name, update.kind, changed) for name in self.matches}

    def replace_pools(self, matches: Mapping[str, Match]) -> dict[str, ListUpdate]:
        """Other pools from now on: each hears its whole list again, and what it has lost.

        A pool that is gone keeps its old match as long as the caller leaves it in ``matches``.
        """
        self.matches = dict(matches)
        self.destinations = {name: self.destinations.get(name, set()) for name in matches}
        return {name: self._of(name, ListKind.FULL, None) for name in matches}

    def remove_pool(self, name: str) -> None:
        """That pool is over; the others have nothing to hear of it."""
        self.matches.pop(name, None)
        self.destinations.pop(name, None)
        self.available_pools.discard(name)

    def _of(self, name: str, kind: ListKind, changed: Mapping[int, BackendEntry] | None) -> ListUpdate:
        match, before = self.matches[name], self.destinations[name]
        if changed is None:
            now = {number for number, (_, labels) in self.entries.items() if match.takes(labels)}
            rows = [self.entries[number][0] for number in sorted(now)]
            # Those that the list no longer has at all are the module's to judge, as without pools.
            lost = [self.entries[number][0] for number in sorted(before - now) if number in self.entries]
        else:
            now, rows, lost = set(before), [], []
            for number, entry in changed.items():
                inside = number in self.entries and match.takes(self.entries[number][1])
                if inside:
                    now.add(number)
                    rows.append(entry)
                elif number in before:
                    now.discard(number)
                    lost.append(entry)
        self.destinations[name] = now
        self.available_pools.discard(name)
        if any(self.entries[one][0].state is State.READY for one in now):
            self.available_pools.add(name)
        return ListUpdate(kind, rows + [_gone(entry) for entry in lost])


def _gone(entry: BackendEntry) -> BackendEntry:
    return BackendEntry(entry.backend, State.GONE, entry.zone, entry.cell, entry.weight, entry.started)
