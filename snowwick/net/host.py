"""The interface that a fleet link needs from the balancer it belongs to.

A separate module, so that the link and the balancer do not import each other, and so that the link also runs
in a host that is not a balancer (snowwick/lab/member_host.py).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from snowwick.net.contracts import ContractStage
    from snowwick.net.decider import DestinationSilent, PoolUpdate
    from snowwick.net.loop import Loop
    from snowwick.net.pool_config import PoolConfig


class FleetHost(Protocol):
    """Owner of a fleet link."""

    @property
    def loop(self) -> Loop:
        """The event loop that runs the link."""

    @property
    def pool_config(self) -> PoolConfig:
        """Discovery's list of destinations as last received."""

    @property
    def contract_stage(self) -> ContractStage | None:
        """Enforces the contracts; None without contracts."""

    def last_reply_times(self) -> Iterable[tuple[int, float]]:
        """The destinations with connections, each with the time of its last reply.

        This is the last line that came back, or the last connection established if that was later. Times are
        in seconds on the loop's clock.
        """

    def connection_counts(self) -> Iterable[Mapping[int, int]]:
        """The number of connections, including those being set up, by destination; one mapping per pool."""

    def apply_silence_report(self, message: DestinationSilent) -> None:
        """Called when, according to other members, a destination is silent."""

    def apply_pool_update(self, update: PoolUpdate) -> None:
        """Called when, according to other members, destinations are leaving or have returned."""
