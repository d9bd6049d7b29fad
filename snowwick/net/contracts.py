"""The contract stage: each request is held to its team's limits before the module hears of it."""

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
    """To the reclaimer: something may have to be moved."""


class Reclaimer(Actor):
    """Has clients moved, at the ledger's pace, while there is something to move."""

    restart_after_fault = True

    def __init__(self, loop: Loop, admission: AdmissionController) -> None:
        super().__init__(loop)
        self.admission = admission
        self.until: float | None = None

    def run(self) -> Coroutine:
        self.until = None
        while True:
            yield Wait(until=self.until)
            self.mailbox.clear()
            now = self.loop.clock()
            if self.until is None or now >= self.until:
                for lease in self.admission.reclaim(now):
                    front = lease.owner
                    if isinstance(front, Actor):
                        front.post(MoveAway("reclaimed"))
                wait = self.admission.reclaim_delay_s()
                self.until = None if wait is None else now + wait

    def check(self) -> None:
        if self.until is None and self.admission.needs_reclaim():
            self.post(CheckLimits())


class ContractStage(Stage):
    """Finds the team and its pool, asks the ledger, and gives back once whatever was held."""

    def __init__(
        self,
        loop: Loop,
        contracts: Contracts,
        pool_deciders: PoolDeciders,
        balancers: int,
        index: int,
        seed: int,
        longest_ms: float,
        retry_after_ms: Callable[[], float],
    ) -> None:
        self.loop, self.contracts, self.pool_deciders = loop, contracts, pool_deciders
        self.balancers, self.index = balancers, index
        self.longest_ms, self.retry_after_ms = longest_ms, retry_after_ms
        self.admission = AdmissionController(
            balancer_limits(contracts, balancers, index), seed, longest_ms / 1000.0
        )
        self.reclaimer = Reclaimer(loop, self.admission)
        self.rights: dict[str, float] | None = None  # of the budgets, where balancers move them
        self.stricter_shares: dict[str, float] = {}  # parts of budgets, where others' contracts allow less
        self.refused: Counter[tuple[str, str]] = Counter()  # by team and resource, since the last look
        self.admitted: Counter[str] = Counter()
        self._pools(running=False)

    def apply(self, contracts: Contracts) -> None:
        """Other contracts from now on, all at once."""
        self.contracts = contracts
        book = balancer_limits(contracts, self.balancers, self.index, self.rights)
        self.admission.apply(book, self.loop.clock())
        self._pools(running=True)
        self.reclaimer.check()

    def budgets(self) -> dict[str, tuple[float, bool]]:
        """The static part of each budget, and whether it counts whole things."""
        found = balancer_budgets(self.contracts, self.balancers, self.index)
        for key, part in self.stricter_shares.items():
            if key in found:
                most, whole = found[key]
                found[key] = math.floor(part * most + 1e-9) if whole else part * most, whole
        return found

    def set_rights(self, rights: dict[str, float]) -> None:
        """This balancer's rights from now on; what stands beyond them is moved at the ledger's pace."""
        if rights != self.rights:
            self.rights = rights
            book = balancer_limits(self.contracts, self.balancers, self.index, rights)
            self.admission.apply(book, self.loop.clock())
            self.reclaimer.check()

    def measure_demand(self, seconds: float) -> tuple[dict[str, float], dict[str, float]]:
        """By budget, what is in use, and what would be if nobody had been refused in the last seconds.

        Who is refused comes again, so one that wants may be counted several times: the wish is at most twice
        what there is, and grows from look to look while more are refused.
        """
        used: dict[str, float] = {"fleet.connections": 0.0, "fleet.setups": 0.0}
        wanted = dict(used)
        for name in self.contracts.teams:
            team = self.admission.teams.get(name)
            held = team.connection_share.in_use if team is not None else 0.0
            for key, now, refused in (
                ("connections", held, float(self.refused[name, "connections"])),
                ("setups", self.admitted[name] / seconds, self.refused[name, "rate"] / seconds),
            ):
                wish = now + min(refused, max(now, 1.0))
                used[f"{name}.{key}"], wanted[f"{name}.{key}"] = now, wish
                used[f"fleet.{key}"] += now
                wanted[f"fleet.{key}"] += wish
        self.refused.clear()
        self.admitted.clear()
        return used, wanted

    def _pools(self, running: bool) -> None:
        tenants = {
            pool: frozenset(
                tenant
                for team in self.contracts.teams.values()
                if team.pool == pool
                for tenant in team.tenants
            )
            for pool in self.contracts.pools
        }
        self.pool_deciders.set_pools(self.contracts.pools, tenants, running)
        self.tenants = {tenant: self.admission.teams[name] for tenant, name in self.contracts.tenants.items()}

    def _busy(self, reason: str, detail: str = "", wait_ms: float | None = None) -> Rejection:
        wait = self.retry_after_ms() if wait_ms is None else wait_ms
        return Rejection(lines.busy_line(min(max(1.0, wait), self.longest_ms)), reason, detail)

    def enter(self, ask: Request) -> Rejection | None:
        now, team = self.loop.clock(), self.tenants.get(ask.tenant)
        if team is None:
            return self._busy("no-contract") if not ask.resumed_destination else None
        ask.team, pool = team.name, team.pool
        if ask.resumed_destination:  # it stood before: counted, never refused
            ask.lease = self.admission.adopt(now, ask.client, ask.team, ask.class_name)
            ask.decider = self.pool_deciders.by_pool[pool]
            return None
        if not self.pool_deciders.has_destination(pool):
            return self._busy("no-destinations", f"pool={pool}")
        got = self.admission.admit_for_team(now, ask.client, team, ask.class_name, ask.opening.key)
        if isinstance(got, Refusal):
            self.refused[ask.team, "rate" if got.reason == "over-rate" else "connections"] += 1
            self.reclaimer.check()
            return self._busy(got.reason, f"limit={got.limit}", 1000.0 * got.retry_after_s)
        self.admitted[ask.team] += 1
        ask.lease, ask.decider = got, self.pool_deciders.by_pool[pool]
        ask.wait_ms = min(ask.wait_ms, got.class_state.max_wait_ms)
        self.reclaimer.check()
        return None

    def on_established(self, ask: Request) -> None:
        if isinstance(ask.lease, Lease):
            self.admission.mark_established(ask.lease)
            if self.admission.teams_over_ceiling or self.admission.misplaced_leases:
                self.reclaimer.check()

    def on_load(self, ask: Request, figure: float) -> None:
        if isinstance(ask.lease, Lease):
            self.admission.update_load(ask.lease, figure)
            self.reclaimer.check()

    def on_ended(self, ask: Request) -> None:
        if isinstance(ask.lease, Lease):
            self.admission.release(ask.lease)
