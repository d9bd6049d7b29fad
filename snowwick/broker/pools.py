"""Assigns destinations to pools by their labels in discovery's list."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from crowgap.interface import BackendEntry, ListKind, ListUpdate, State


@dataclass(slots=True, frozen=True)
class Labels:
    """The labels of a destination in discovery's list that pools match."""

    kind: str = ""
    zone: str = ""
    cell: str = ""


@dataclass(slots=True, frozen=True)
class Match:
    """The label values that a pool accepts; None accepts any."""

    kind: frozenset[str] | None = None
    zone: frozenset[str] | None = None
    cell: frozenset[str] | None = None

    def accepts(self, labels: Labels) -> bool:
        """Whether a destination with these labels belongs to the pool."""
        return all(
            accepted is None or label in accepted
            for accepted, label in (
                (self.kind, labels.kind),
                (self.zone, labels.zone),
                (self.cell, labels.cell),
            )
        )

    def overlaps(self, other: Match) -> bool:
        """Whether one destination could belong to both pools."""
        return all(
            accepted is None or other_accepted is None or accepted & other_accepted
            for accepted, other_accepted in (
                (self.kind, other.kind),
                (self.zone, other.zone),
                (self.cell, other.cell),
            )
        )


class PoolAssignment:
    """Divides discovery's list into one list per pool.

    A destination whose labels change is reported to its old pool as gone, so that the module there moves its
    clients, and to its new pool in its present state.
    """

    def __init__(self, matches: Mapping[str, Match]) -> None:
        self.matches = dict(matches)
        self.entries: dict[int, tuple[BackendEntry, Labels]] = {}
        self.destinations: dict[str, set[int]] = {name: set() for name in matches}  # by pool
        self.available_pools: set[str] = set()  # with a destination that takes new connections

    def apply(self, update: ListUpdate, labels: Mapping[int, Labels]) -> dict[str, ListUpdate]:
        """Apply an update, with the labels of its entries; returns each pool's part of it."""
        if update.kind is ListKind.FAILED:
            return dict.fromkeys(self.matches, update)
        full_list = update.kind is not ListKind.CHANGES
        if full_list:
            self.entries = {}
        for entry in update.entries:
            if entry.state is State.GONE:
                self.entries.pop(entry.backend, None)
            else:
                self.entries[entry.backend] = entry, labels.get(entry.backend, Labels())
        changed = None if full_list else {entry.backend: entry for entry in update.entries}
        return {name: self._pool_update(name, update.kind, changed) for name in self.matches}

    def replace_pools(self, matches: Mapping[str, Match]) -> dict[str, ListUpdate]:
        """Use other pools from now on; returns each pool's full list, with the destinations that it lost.

        A pool that has been removed keeps its old match as long as the caller leaves it in ``matches``.
        """
        self.matches = dict(matches)
        self.destinations = {name: self.destinations.get(name, set()) for name in matches}
        return {name: self._pool_update(name, ListKind.FULL, None) for name in matches}

    def remove_pool(self, name: str) -> None:
        """Remove a pool; this changes no other pool's list."""
        self.matches.pop(name, None)
        self.destinations.pop(name, None)
        self.available_pools.discard(name)

    def _pool_update(
        self, name: str, kind: ListKind, changed: Mapping[int, BackendEntry] | None
    ) -> ListUpdate:
        """A pool's part of an update: of its full list where ``changed`` is None, else of these entries."""
        match, before = self.matches[name], self.destinations[name]
        if changed is None:
            members = {number for number, (_, labels) in self.entries.items() if match.accepts(labels)}
            entries = [self.entries[number][0] for number in sorted(members)]
            # Destinations that are in no list any more are left to the module, as without pools.
            lost = [self.entries[number][0] for number in sorted(before - members) if number in self.entries]
        else:
            members, entries, lost = set(before), [], []
            for number, entry in changed.items():
                accepted = number in self.entries and match.accepts(self.entries[number][1])
                if accepted:
                    members.add(number)
                    entries.append(entry)
                elif number in before:
                    members.discard(number)
                    lost.append(entry)
        self.destinations[name] = members
        self.available_pools.discard(name)
        if any(self.entries[number][0].state is State.READY for number in members):
            self.available_pools.add(name)
        return ListUpdate(kind, entries + [_as_gone(entry) for entry in lost])


def _as_gone(entry: BackendEntry) -> BackendEntry:
    """The entry of a destination that has left a pool."""
    return BackendEntry(entry.backend, State.GONE, entry.zone, entry.cell, entry.weight, entry.started)
