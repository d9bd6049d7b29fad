"""Budgets as rights that are moved between balancers: leases of a bounded counter, never used twice.

A bounded counter (Balegas et al., 2015) splits a budget into rights: each balancer has a static part and
may pass some of it on.  What was passed on is a lease (Gray and Cheriton, 1989): the lender counts it as
gone for ``LEASE`` seconds of its own clock from when it wrote the grant, the borrower uses it for that
long by its own clock from when it wrote the *ask* that the grant answers, less what clocks may drift.
Asking comes before granting, so the borrower always stops first; whoever vanishes, its leases run out,
and no clock is compared with another.

Both write registers, which may come late, twice or never, but not in another order than they were
written.  A grant answers one ask and is never changed; the borrower goes by the newest that it has, says
which, and what of it it will go on using at most.  Until it has said so the lender counts the most of all
that it may be using.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

LEASE_S = 12.0  # s that a lender counts what it granted as gone
MAX_DRIFT_FRACTION = 0.01  # by how much two clocks may run apart: a borrower stops that much earlier
DRAIN_FRACTION = (
    0.5  # of a lease, at whose end the borrower begins to go without: what stands must have time to move
)
MAX_LENT_FRACTION = (
    0.9  # of its part that a balancer lends at most: its own next clients must not wait for a return
)
RENEW_S = 1.0  # s after which a borrower asks again: a lease bears several lost answers
RESERVE_FRACTION = 0.1  # of what it uses itself that a balancer keeps or asks for beside it
DEMAND_WINDOW_S = 3.0  # s over which the highest demand counts: a lull must not send rights to and fro


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """What a borrower says of one lender: what it may still use, by which grant, for which start of it."""

    amount: float
    grant_number: int
    boot: int


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True):
    """A borrower's register for one budget: what it wants beyond its part, and what it holds."""

    number: int
    wanted: float
    spare: float  # what it could lend itself
    holdings: dict[str, Holding] = {}


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """A lender's register for one budget and borrower: the answer to that ask of that start of it.

    ``amount`` may be used, ``wish`` is what the lender would have it come down to.
    """

    boot: int
    request_number: int
    amount: float
    target_amount: float


@dataclass(slots=True)
class OutstandingGrant:
    """At the lender: a grant that may be in use, until when."""

    grant_number: int
    amount: float
    expires_at: float


@dataclass(slots=True)
class BorrowedLease:
    """At the borrower: the newest grant of a lender, as far as it is still used."""

    amount: float
    target_amount: float
    grant_number: int
    boot: int  # the lender's start
    expires_at: float


@dataclass(slots=True)
class Budget:
    """One balancer's side of one budget.

    Over all balancers, at any moment, what ``limit`` allows is at most the budget, whatever is lost, delayed,
    doubled or cut and whoever dies, as long as clocks run within ``DRIFT`` of each other.
    """

    name: str  # of this balancer
    static_share: float  # the static part
    integral: bool  # the budget counts whole things
    cautious_until: float  # what an earlier start of this balancer lent may be in use till then
    lease_s: float = LEASE_S
    outstanding: dict[tuple[str, int], list[OutstandingGrant]] = field(
        default_factory=dict
    )  # by borrower and its start
    answered_requests: dict[tuple[str, int], int] = field(
        default_factory=dict
    )  # the ask that was granted last
    borrowed: dict[str, BorrowedLease] = field(default_factory=dict)
    request_times: dict[int, float] = field(default_factory=dict)  # when each ask was written
    last_request_number: int = 0
    peak_demand: float = 0.0
    peak_at: float = -math.inf

    # -- what may be used --------------------------------------------------------------------------------

    def lent_amount(self, now: float) -> float:
        """Of the static part, the most that may be in use elsewhere."""
        gone = 0.0
        for key, outs in list(self.outstanding.items()):
            outs[:] = [one for one in outs if now < one.expires_at]
            if outs:
                gone += max(one.amount for one in outs)
            else:
                del self.outstanding[key]
        return max(gone, MAX_LENT_FRACTION * self.static_share) if now < self.cautious_until else gone

    def own_amount(self, now: float) -> float:
        """What is left of the static part."""
        return max(0.0, self.static_share - self.lent_amount(now))

    def limit(self, now: float) -> float:
        """What may be in use here at most."""
        return self.own_amount(now) + sum(
            one.amount for one in self.borrowed.values() if now < one.expires_at
        )

    def target(self, now: float) -> float:
        """What should be in use here by now: what is wished back or not renewed is gone without in time."""
        return self.own_amount(now) + sum(
            min(one.amount, one.target_amount)
            for one in self.borrowed.values()
            if now < one.expires_at - DRAIN_FRACTION * self.lease_s
        )

    def confirm_start(self, others: Mapping[str, Mapping[str, Holding]], boot: int, all_others: int) -> None:
        """End the caution of a start early: all other balancers there are have said that they know of it.

        ``others`` holds, by balancer, what it has told that it holds; ``all_others`` is how many there are.
        Who knows of this start takes no more grants of an earlier one, and holds none.
        """
        if (
            self.cautious_until > 0.0
            and len(others) >= all_others
            and all(self.name in holds and holds[self.name].boot == boot for holds in others.values())
        ):
            self.cautious_until = 0.0

    # -- as a borrower -----------------------------------------------------------------------------------

    def record_demand(self, wanted: float, now: float) -> None:
        """What would be in use here now if there were no limit."""
        if wanted >= self.peak_demand or now - self.peak_at > DEMAND_WINDOW_S:
            self.peak_demand, self.peak_at = wanted, now

    def make_request(self, used: float, boots: Mapping[str, int], now: float) -> LeaseRequest:
        """The next ask; ``used`` is in use here now, ``boots`` are the members and their starts.

        From here on no more is used than it says.
        """
        own = self.own_amount(now)
        need = (1.0 + RESERVE_FRACTION) * self.peak_demand - own
        want = max(0.0, float(math.ceil(need - 1e-9)) if self.integral else need)
        over, room = max(0.0, used - own), max(want, used - own, 0.0)
        holds = {name: Holding(0.0, 0, boot) for name, boot in boots.items()}
        for name, one in sorted(self.borrowed.items(), key=lambda row: (-row[1].expires_at, row[0])):
            if now >= one.expires_at:
                del self.borrowed[name]
                continue
            # What is in use is kept; what is not goes back as far as it is not wanted, or wished back.
            keep = min(one.amount, max(over, min(room, one.target_amount)))
            over, room, one.amount = max(0.0, over - keep), max(0.0, room - keep), keep
            holds[name] = Holding(keep, one.grant_number, one.boot)
        self.last_request_number += 1
        self.request_times = {
            number: at for number, at in self.request_times.items() if now - at < self.lease_s
        }
        self.request_times[self.last_request_number] = now
        return LeaseRequest(self.last_request_number, want, self.spare_amount(used, now), holds)

    def receive_grant(self, lender: str, boot: int, grant: Grant, mine: int, now: float) -> None:
        """A lender's grant to this balancer; ``boot`` is the lender's start, ``mine`` this balancer's."""
        at, old = self.request_times.get(grant.request_number), self.borrowed.get(lender)
        if grant.boot != mine or at is None:
            return
        until = at + self.lease_s * (1.0 - MAX_DRIFT_FRACTION)
        if old is None or old.boot != boot or grant.request_number > old.grant_number:
            if old is not None and old.boot != boot and now < old.expires_at:
                return  # by an earlier start of the lender: it runs out first, or both would be used
            self.borrowed[lender] = BorrowedLease(
                grant.amount, grant.target_amount, grant.request_number, boot, until
            )

    # -- as a lender -------------------------------------------------------------------------------------

    def spare_amount(self, used: float, now: float) -> float:
        """What can be lent beside what has been."""
        if now < self.cautious_until:
            return 0.0
        keep = (1.0 + RESERVE_FRACTION) * max(self.peak_demand, used)
        room = min(self.static_share - keep, MAX_LENT_FRACTION * self.static_share) - self.lent_amount(now)
        return max(0.0, float(math.floor(room + 1e-9)) if self.integral else room)

    def grant_requests(
        self, asks: Mapping[str, tuple[int, LeaseRequest]], used: float, now: float
    ) -> dict[str, Grant]:
        """Answers to the asks that have none yet; ``asks`` holds each member's start and register.

        A want is met by all that can spare, each in proportion to what it can, so that lenders need not talk.
        """
        granted: dict[str, Grant] = {}
        for name, (boot, ask) in sorted(asks.items()):
            self._settle_grants(name, boot, ask)
        spare = self.spare_amount(used, now)
        wants = sum(ask.wanted for _, ask in asks.values())
        mine = {
            name: max([one.amount for one in self.outstanding.get((name, boot), ())], default=0.0)
            for name, (boot, _) in asks.items()
        }
        # What I have lent already and can spare beside it, against what all others could still lend.
        pot = spare + sum(mine.values())
        for name, (boot, ask) in sorted(asks.items()):
            if self.answered_requests.get((name, boot), 0) >= ask.number:
                continue
            elsewhere = sum(one.amount for other, one in ask.holdings.items() if other != self.name)
            others = sum(ask_.spare for other, (_, ask_) in asks.items() if other != name)
            open_want = max(0.0, ask.wanted - elsewhere - mine[name])
            fair = pot * ask.wanted / wants if wants > 0.0 else 0.0
            more = open_want * (spare / (spare + others) if spare + others > 0.0 else 0.0)
            wish = min(mine[name] + more, fair) if ask.wanted > 0.0 else 0.0
            if self.integral:
                up = wish <= mine[name] + spare
                wish = float(math.ceil(wish - 1e-9) if up else math.floor(wish))
            held = ask.holdings.get(self.name)
            kept = min(held.amount, mine[name]) if held is not None else 0.0
            amount = max(kept, min(wish, mine[name] + spare))
            if amount <= 0.0 and mine[name] <= 0.0:
                continue
            spare = max(0.0, spare - max(0.0, amount - mine[name]))
            self.answered_requests[name, boot] = ask.number
            self.outstanding.setdefault((name, boot), []).append(
                OutstandingGrant(ask.number, amount, now + self.lease_s)
            )
            granted[name] = Grant(boot, ask.number, amount, min(wish, amount))
        return granted

    def _settle_grants(self, name: str, boot: int, ask: LeaseRequest) -> None:
        """What the borrower says it goes by: grants before that are over, of that one no more is used."""
        held, outs = ask.holdings.get(self.name), self.outstanding.get((name, boot))
        if held is None or not outs:
            return
        for one in outs:
            if one.grant_number == held.grant_number:
                one.amount = min(one.amount, held.amount)
        outs[:] = [one for one in outs if one.grant_number >= held.grant_number]


class Leases:
    """All budgets of one balancer, and when their registers have to be written anew."""

    def __init__(self, name: str, parts: Mapping[str, tuple[float, bool]], now: float) -> None:
        """``parts`` holds, by budget, the static part and whether it counts whole things."""
        self.name = name
        self.budgets = {key: Budget(name, part, whole, now + LEASE_S) for key, (part, whole) in parts.items()}
        self.last_requests: dict[str, tuple[LeaseRequest, float, dict[str, int]]] = {}

    def update_shares(self, parts: Mapping[str, tuple[float, bool]], now: float) -> None:
        """Other contracts: new budgets begin with caution, what was lent of the others stays lent."""
        for key in self.budgets.keys() - parts.keys():
            del self.budgets[key]
        for key, (part, whole) in parts.items():
            one = self.budgets.setdefault(key, Budget(self.name, part, whole, now + LEASE_S))
            one.static_share = part

    def requests_due(
        self, used: Mapping[str, float], boots: dict[str, int], now: float
    ) -> dict[str, LeaseRequest]:
        """The asks to write now: while anything is wanted or held, and where the members have changed."""
        fresh: dict[str, LeaseRequest] = {}
        for key, one in self.budgets.items():
            before = self.last_requests.get(key)
            in_use = used.get(key, 0.0)
            if before is not None and now - before[1] < RENEW_S:
                continue
            wanting = (1.0 + RESERVE_FRACTION) * one.peak_demand > one.own_amount(now) or bool(one.borrowed)
            spare = one.spare_amount(in_use, now)
            if (
                before is None
                or wanting
                or before[0].wanted > 0.0
                or before[2] != boots
                or abs(spare - before[0].spare) > RESERVE_FRACTION * one.static_share
            ):
                fresh[key] = one.make_request(in_use, boots, now)
                self.last_requests[key] = fresh[key], now, dict(boots)
        return fresh

    def targets(self, now: float) -> dict[str, float]:
        return {key: one.target(now) for key, one in self.budgets.items()}
