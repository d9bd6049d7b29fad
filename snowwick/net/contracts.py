"""The contract stage: checks each request against its team's limits before the decision module gets it."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

from snowwick.broker.admission import AdmissionController, Lease, Refusal
from snowwick.broker.contract import Contracts, balancer_budgets, balancer_limits
from snowwick.net import lines
from snowwick.net.decider import MoveAway
from snowwick.net.loop import Actor, Coroutine, Loop, Wait
from snowwick.net.path import Rejection, Request, Stage
from snowwick.net.pool_deciders import PoolDeciders


class CheckLimits:
    """Sent to the reclaimer: check whether connections have to be reclaimed."""


class Reclaimer(Actor):
    """Moves clients away, at the rate that admission control sets, until none is left to be reclaimed."""

    restart_after_fault = True

    def __init__(self, loop: Loop, admission: AdmissionController) -> None:
        super().__init__(loop)
        self.admission = admission
        # In s on the loop's clock; None while there is nothing to reclaim
        self.next_reclaim_at: float | None = None

    def run(self) -> Coroutine:
        self.next_reclaim_at = None
        while True:
            yield Wait(until=self.next_reclaim_at)
            self.mailbox.clear()
            now = self.loop.clock()
            if self.next_reclaim_at is None or now >= self.next_reclaim_at:
                for lease in self.admission.reclaim(now):
                    front = lease.owner
                    if isinstance(front, Actor):
                        front.post(MoveAway("reclaimed"))
                delay_s = self.admission.reclaim_delay_s()
                self.next_reclaim_at = None if delay_s is None else now + delay_s

    def check(self) -> None:
        """Start to reclaim connections if that is needed and not in progress."""
        if self.next_reclaim_at is None and self.admission.needs_reclaim():
            self.post(CheckLimits())


class ContractStage(Stage):
    """Assigns each request to its team and pool, and admits or rejects it by the team's limits.

    The lease of an admitted request is released once, when the request has ended.
    """

    def __init__(
        self,
        loop: Loop,
        contracts: Contracts,
        pool_deciders: PoolDeciders,
        balancers: int,
        index: int,
        seed: int,
        max_retry_after_ms: float,
        retry_after_ms: Callable[[], float],
    ) -> None:
        self.loop, self.contracts, self.pool_deciders = loop, contracts, pool_deciders
        # Number of balancers that divide the limits among them, and the index of this one
        self.balancers, self.index = balancers, index
        self.max_retry_after_ms, self.retry_after_ms = max_retry_after_ms, retry_after_ms
        self.admission = AdmissionController(
            balancer_limits(contracts, balancers, index), seed, max_retry_after_ms / 1000.0
        )
        self.reclaimer = Reclaimer(loop, self.admission)
        # This balancer's rights by budget; None if balancers do not transfer rights
        self.rights: dict[str, float] | None = None
        # By budget, for budgets that are smaller in other balancers' contracts: the usable fraction
        self.stricter_shares: dict[str, float] = {}
        # Requests since the last measurement of demand
        self.refused: Counter[tuple[str, str]] = Counter()  # by team and resource
        self.admitted: Counter[str] = Counter()  # by team
        self._apply_pools(running=False)

    def apply(self, contracts: Contracts) -> None:
        """Replace all contracts at once."""
        self.contracts = contracts
        limits = balancer_limits(contracts, self.balancers, self.index, self.rights)
        self.admission.apply(limits, self.loop.clock())
        self._apply_pools(running=True)
        self.reclaimer.check()

    def budgets(self) -> dict[str, tuple[float, bool]]:
        """Return this balancer's static share of each budget and whether it counts in whole units."""
        shares = balancer_budgets(self.contracts, self.balancers, self.index)
        for key, fraction in self.stricter_shares.items():
            if key in shares:
                amount, in_whole_units = shares[key]
                shares[key] = (
                    math.floor(fraction * amount + 1e-9) if in_whole_units else fraction * amount,
                    in_whole_units,
                )
        return shares

    def set_rights(self, rights: dict[str, float]) -> None:
        """Replace this balancer's rights; admission control reclaims connections beyond them step by step."""
        if rights != self.rights:
            self.rights = rights
            limits = balancer_limits(self.contracts, self.balancers, self.index, rights)
            self.admission.apply(limits, self.loop.clock())
            self.reclaimer.check()

    def measure_demand(self, seconds: float) -> tuple[dict[str, float], dict[str, float]]:
        """Return, by budget, the amount in use and the amount wanted over the last ``seconds``.

        The amount wanted includes refused requests. A refused client retries and may be counted several
        times, so the refused part counts at most as much as the amount in use (or 1 if that is more). While
        requests are refused, the amount wanted thus grows over several measurements.
        """
        used: dict[str, float] = {"fleet.connections": 0.0, "fleet.setups": 0.0}
        wanted = dict(used)
        for name in self.contracts.teams:
            team = self.admission.teams.get(name)
            connections = team.connection_share.in_use if team is not None else 0.0
            for key, amount, refused in (
                ("connections", connections, float(self.refused[name, "connections"])),
                ("setups", self.admitted[name] / seconds, self.refused[name, "rate"] / seconds),
            ):
                demand = amount + min(refused, max(amount, 1.0))
                used[f"{name}.{key}"], wanted[f"{name}.{key}"] = amount, demand
                used[f"fleet.{key}"] += amount
                wanted[f"fleet.{key}"] += demand
        self.refused.clear()
        self.admitted.clear()
        return used, wanted

    def _apply_pools(self, running: bool) -> None:
        """Replace the pools, and look up the team of each tenant; new deciders are started if ``running``."""
        tenants_by_pool = {
            pool: frozenset(
                tenant
                for team in self.contracts.teams.values()
                if team.pool == pool
                for tenant in team.tenants
            )
            for pool in self.contracts.pools
        }
        self.pool_deciders.set_pools(self.contracts.pools, tenants_by_pool, running)
        self.team_by_tenant = {
            tenant: self.admission.teams[name] for tenant, name in self.contracts.tenants.items()
        }

    def _busy_rejection(self, reason: str, detail: str = "", wait_ms: float | None = None) -> Rejection:
        """Return a busy reply with a retry delay of ``wait_ms``, at least 1 ms and at most the maximum.

        Without ``wait_ms`` the service chooses the retry delay.
        """
        delay_ms = self.retry_after_ms() if wait_ms is None else wait_ms
        return Rejection(lines.busy_line(min(max(1.0, delay_ms), self.max_retry_after_ms)), reason, detail)

    def enter(self, request: Request) -> Rejection | None:
        now, team = self.loop.clock(), self.team_by_tenant.get(request.tenant)
        if team is None:
            return self._busy_rejection("no-contract") if not request.resumed_destination else None
        request.team, pool = team.name, team.pool
        if request.resumed_destination:  # counted against the limits, but never refused
            request.lease = self.admission.adopt(now, request.client, request.team, request.class_name)
            request.decider = self.pool_deciders.by_pool[pool]
            return None
        if not self.pool_deciders.has_destination(pool):
            return self._busy_rejection("no-destinations", f"pool={pool}")
        result = self.admission.admit_for_team(
            now, request.client, team, request.class_name, request.opening.key
        )
        if isinstance(result, Refusal):
            self.refused[request.team, "rate" if result.reason == "over-rate" else "connections"] += 1
            self.reclaimer.check()
            return self._busy_rejection(result.reason, f"limit={result.limit}", 1000.0 * result.retry_after_s)
        self.admitted[request.team] += 1
        request.lease, request.decider = result, self.pool_deciders.by_pool[pool]
        request.wait_ms = min(request.wait_ms, result.class_state.max_wait_ms)
        self.reclaimer.check()
        return None

    def on_established(self, request: Request) -> None:
        if isinstance(request.lease, Lease):
            self.admission.mark_established(request.lease)
            if self.admission.teams_to_check or self.admission.misplaced_leases:
                self.reclaimer.check()

    def on_load(self, request: Request, load_per_s: float) -> None:
        if isinstance(request.lease, Lease):
            self.admission.update_load(request.lease, load_per_s)
            self.reclaimer.check()

    def on_ended(self, request: Request) -> None:
        if isinstance(request.lease, Lease):
            self.admission.release(request.lease)
