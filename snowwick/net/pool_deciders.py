"""The deciders of the pools: one instance of the module for each, fed the news of its own destinations."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from crowgap.interface import Settings
from snowwick.net.decider import Decider, DestinationSilent, MessageDelay, PoolUpdate, StopDecider

if TYPE_CHECKING:
    from snowwick.broker.pools import Labels, Match, PoolAssignment

ALL = ""  # the one pool of a program without contracts


class PoolDeciders:
    """Without pools one decider hears everything; with them each hears its part.

    A pool that a change of contracts leaves out takes nothing new, but its decider goes on for those that
    stand there, and ends with the last of them.
    """

    def __init__(
        self,
        make: Callable[[str, frozenset[str] | None], Decider],
        settings: Callable[[frozenset[str]], Settings],
        labels: Callable[[], Mapping[int, Labels]],
    ) -> None:
        self.make, self.settings, self.labels = make, settings, labels
        self.by_pool: dict[str, Decider] = {}
        self.split: PoolAssignment | None = None
        self.current: frozenset[str] = frozenset([ALL])

    def start(self) -> None:
        """One decider for everything, unless pools have been set before."""
        if not self.by_pool:
            self.by_pool[ALL] = self.make(ALL, None)
        for decider in self.by_pool.values():
            decider.start()

    def set_pools(
        self, matches: Mapping[str, Match], tenants: Mapping[str, frozenset[str]], running: bool
    ) -> None:
        """Other pools from now on, each with the tenants whose requests go there."""
        from snowwick.broker.pools import PoolAssignment

        standing = {name: one for name, one in self.by_pool.items() if name not in matches and one.clients}
        for name in self.by_pool.keys() - standing.keys() - matches.keys():
            self.by_pool.pop(name).post(StopDecider())
        for name in self.by_pool.keys() & matches.keys():  # else the quotas of a former contract would stay
            self.by_pool[name].update_tenants(self.settings(tenants[name]))
        fresh = [name for name in matches if name not in self.by_pool]
        for name in fresh:
            self.by_pool[name] = self.make(name, tenants[name])
            if running:
                self.by_pool[name].start()
        self.current = frozenset(matches)
        if self.split is None:
            self.split = PoolAssignment(matches)
            return
        old = {name: self.split.matches[name] for name in standing}
        for name, update in self.split.replace_pools({**matches, **old}).items():
            self.by_pool[name].post(update)

    def has_destination(self, pool: str) -> bool:
        """Has the pool a destination that takes new connections?"""
        return self.split is None or pool in self.split.available_pools

    def for_destination(self, destination: int) -> Decider:
        """The decider of the pool that a destination is in, or any where it is in none."""
        members = self.split.destinations if self.split is not None else {}
        return next(
            (self.by_pool[name] for name, held in members.items() if destination in held),
            next(iter(self.by_pool.values())),
        )

    def apply_update(self, update: PoolUpdate) -> None:
        """Discovery's list has changed, or could not be had."""
        if self.split is None:
            self.by_pool[ALL].post(update)
            return
        for name, part in self.split.apply(update, self.labels()).items():
            self.by_pool[name].post(part)
        for name in [
            name for name, one in self.by_pool.items() if name not in self.current and not one.clients
        ]:
            self.by_pool.pop(name).post(StopDecider())
            self.split.remove_pool(name)

    def forward(self, message: MessageDelay | DestinationSilent) -> None:
        """What the gauge has to tell."""
        if isinstance(message, DestinationSilent):
            for decider in self.by_pool.values():
                decider.post(message)
            return
        ask: Any = getattr(message.client, "request", None)
        if ask is not None:
            ask.post(message)
