"""What a fleet link needs of the balancer whose place in the fleet it holds, and nothing else of it.

Declared apart, so that the link and the balancer do not import each other, and so that the link can be
carried by something that is no balancer (snowwick/lab/hollow.py).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from snowwick.net.contracts import ContractStage
    from snowwick.net.decider import DestinationSilent, PoolUpdate
    from snowwick.net.loop import Loop
    from snowwick.net.pool import PoolConfig


class FleetHost(Protocol):
    """Carries one fleet link."""

    @property
    def loop(self) -> Loop:
        """On which the link runs."""

    @property
    def pool_config(self) -> PoolConfig:
        """Discovery's list as it was read last."""

    @property
    def contract_stage(self) -> ContractStage | None:
        """Holds requests to the contracts; None where there are none."""

    def last_answer_times(self) -> Iterable[tuple[int, float]]:
        """The destinations that connections stand at, each with when it last answered a line, in s on the
        loop's clock.
        """

    def connection_counts(self) -> Iterable[Mapping[int, int]]:
        """How many connections stand or are being set up at each destination, one mapping for each pool."""

    def report_silent(self, message: DestinationSilent) -> None:
        """A destination answers nobody, by what others say."""

    def apply_pool_news(self, news: PoolUpdate) -> None:
        """Destinations leave, or come back, by what others say."""
