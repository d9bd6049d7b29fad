"""Assigns destinations to pools by their labels in discovery's list."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from crowgap.interface import BackendEntry, ListKind, ListUpdate, State


@dataclass(slots=True, frozen=True)
class Labels:
    """The labels of a destination in discovery's list by which pools select destinations."""

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

    If the labels of a destination change, its old pool's list reports it as gone, so that the module of that
    pool moves its clients, and its new pool's list reports its present state.
    """

    def __init__(self, matches: Mapping[str, Match]) -> None:
        self.matches = dict(matches)
        self.entries: dict[int, tuple[BackendEntry, Labels]] = {}
        self.destinations: dict[str, set[int]] = {name: set() for name in matches}  # by pool
        self.available_pools: set[str] = set()  # pools with a destination that takes new connections

    def apply(self, update: ListUpdate, labels: Mapping[int, Labels]) -> dict[str, ListUpdate]:
        """Apply an update; returns each pool's part.  ``labels`` are those of its entries, by number."""
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
        """Replace the pools; returns each pool's full list, with destinations that left the pool as gone.

        A pool that still serves connections after its removal from the contracts has to stay in ``matches``
        until ``remove_pool`` is called.
        """
        self.matches = dict(matches)
        self.destinations = {name: self.destinations.get(name, set()) for name in matches}
        return {name: self._pool_update(name, ListKind.FULL, None) for name in matches}

    def remove_pool(self, name: str) -> None:
        """Remove a pool; the lists of the other pools stay the same."""
        self.matches.pop(name, None)
        self.destinations.pop(name, None)
        self.available_pools.discard(name)

    def _pool_update(
        self, name: str, kind: ListKind, changed: Mapping[int, BackendEntry] | None
    ) -> ListUpdate:
        """A pool's part of an update: its full list if ``changed`` is None, else the changes to it."""
        match = self.matches[name]
        previous_members = self.destinations[name]
        if changed is None:
            members = {number for number, (_, labels) in self.entries.items() if match.accepts(labels)}
            entries = [self.entries[number][0] for number in sorted(members)]
            # Destinations that are missing from discovery's list are left out: as without pools, the module
            # handles their absence from a full list.
            removed = [
                self.entries[number][0]
                for number in sorted(previous_members - members)
                if number in self.entries
            ]
        else:
            members = set(previous_members)
            entries = []
            removed = []
            for number, entry in changed.items():
                accepted = number in self.entries and match.accepts(self.entries[number][1])
                if accepted:
                    members.add(number)
                    entries.append(entry)
                elif number in previous_members:
                    members.discard(number)
                    removed.append(entry)
        self.destinations[name] = members
        self.available_pools.discard(name)
        if any(self.entries[number][0].state is State.READY for number in members):
            self.available_pools.add(name)
        return ListUpdate(kind, entries + [_as_gone(entry) for entry in removed])


def _as_gone(entry: BackendEntry) -> BackendEntry:
    """A destination's entry with the state gone, for a pool that it has left."""
    return BackendEntry(entry.backend, State.GONE, entry.zone, entry.cell, entry.weight, entry.started)
