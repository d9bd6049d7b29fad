"""The deciders of all pools: one instance of the decision module for each pool of destinations."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from crowgap.interface import Settings
from snowwick.net.decider import Decider, DestinationSilent, MessageDelay, PoolUpdate, StopDecider

if TYPE_CHECKING:
    from snowwick.broker.pools import Labels, Match, PoolAssignment

DEFAULT_POOL = ""  # the only pool of a process without contracts


class PoolDeciders:
    """Routes list updates and reports to the decider of each pool.

    Without contracts there is one decider for all destinations. A pool that a change of contracts removes
    accepts no new requests, but its decider keeps running until its last connection has ended.
    """

    def __init__(
        self,
        make_decider: Callable[[str, frozenset[str] | None], Decider],
        settings_for: Callable[[frozenset[str]], Settings],
        labels: Callable[[], Mapping[int, Labels]],
    ) -> None:
        self.make_decider, self.settings_for, self.labels = make_decider, settings_for, labels
        self.by_pool: dict[str, Decider] = {}  # including the deciders of removed pools that still run
        self.assignment: PoolAssignment | None = None  # of destinations to pools; None without contracts
        # The pools of the present contracts, without removed ones
        self.current_pools: frozenset[str] = frozenset([DEFAULT_POOL])

    def start(self) -> None:
        """Start all deciders; without contracts, create the only one first."""
        if not self.by_pool:
            self.by_pool[DEFAULT_POOL] = self.make_decider(DEFAULT_POOL, None)
        for decider in self.by_pool.values():
            decider.start()

    def set_pools(
        self, matches: Mapping[str, Match], tenants: Mapping[str, frozenset[str]], running: bool
    ) -> None:
        """Replace the pools; ``tenants`` lists, by pool, the tenants whose requests go there.

        Deciders of new pools are started if ``running``.
        """
        from snowwick.broker.pools import PoolAssignment

        draining = {
            name: decider for name, decider in self.by_pool.items() if name not in matches and decider.clients
        }
        for name in self.by_pool.keys() - draining.keys() - matches.keys():
            self.by_pool.pop(name).post(StopDecider())
        for name in self.by_pool.keys() & matches.keys():  # their quotas may have changed
            self.by_pool[name].update_tenants(self.settings_for(tenants[name]))
        new_pools = [name for name in matches if name not in self.by_pool]
        for name in new_pools:
            self.by_pool[name] = self.make_decider(name, tenants[name])
            if running:
                self.by_pool[name].start()
        self.current_pools = frozenset(matches)
        if self.assignment is None:
            self.assignment = PoolAssignment(matches)
            return
        draining_matches = {name: self.assignment.matches[name] for name in draining}
        for name, update in self.assignment.replace_pools({**matches, **draining_matches}).items():
            self.by_pool[name].post(update)

    def has_destination(self, pool: str) -> bool:
        """Return whether the pool has a destination that accepts new connections."""
        return self.assignment is None or pool in self.assignment.available_pools

    def for_destination(self, destination: int) -> Decider:
        """Return the decider of the destination's pool, or the first decider if it is in no pool."""
        destinations_by_pool = self.assignment.destinations if self.assignment is not None else {}
        return next(
            (self.by_pool[name] for name, members in destinations_by_pool.items() if destination in members),
            next(iter(self.by_pool.values())),
        )

    def apply_update(self, update: PoolUpdate) -> None:
        """Pass on a change of discovery's list, or the failure to fetch it, and stop drained deciders."""
        if self.assignment is None:
            self.by_pool[DEFAULT_POOL].post(update)
            return
        for name, pool_update in self.assignment.apply(update, self.labels()).items():
            self.by_pool[name].post(pool_update)
        for name in [
            name
            for name, decider in self.by_pool.items()
            if name not in self.current_pools and not decider.clients
        ]:
            self.by_pool.pop(name).post(StopDecider())
            self.assignment.remove_pool(name)

    def forward(self, message: MessageDelay | DestinationSilent) -> None:
        """Pass on a report of the delay monitor.

        A silent destination is reported to all deciders, a delay to the decider of the client on whose
        connection it was measured.
        """
        if isinstance(message, DestinationSilent):
            for decider in self.by_pool.values():
                decider.post(message)
            return
        request: Any = getattr(message.client, "request", None)
        if request is not None:
            request.post(message)
