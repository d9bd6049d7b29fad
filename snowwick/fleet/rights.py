"""Divides each budget among the balancers, and moves rights between them with leases.

A bounded counter (Balegas et al., 2015) splits a budget into rights: each balancer has a static share and may
lend some of it.  A loan is a lease (Gray and Cheriton, 1989).  The lender counts it as lent for ``LEASE_S``
seconds of its own clock, from when it wrote the grant.  The borrower uses it for that time on its own clock,
less the possible drift, from when it wrote the *request* that the grant answers.  A request is written before
its grant, so the borrower always stops first and no right is used twice.  Leases of a balancer that
disappears expire, and no two clocks are compared.

Both sides write registers, which can arrive late, more than once or never, but never in another order than
they were written.  A grant answers one request and does not change.  The borrower uses the newest grant that
it has, and its next request states which grant that is and how much of it may still be used.  Until that
request arrives, the lender counts the largest of all grants that the borrower may be using.

An epoch is one start of a balancer, as in store.py.  Times are in seconds on the local clock, amounts in the
unit of their budget.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

LEASE_S = 12.0  # how long a lender counts a granted amount as lent
# Two clocks may drift apart by this fraction of a lease; a borrower stops using a lease that much earlier
MAX_DRIFT_FRACTION = 0.01
# Fraction of a lease, at its end, in which the borrower moves connections away unless the lease was renewed
DRAIN_FRACTION = 0.5
# Largest fraction of the static share that a balancer lends, so that its next clients need not wait until a
# lease expires
MAX_LENT_FRACTION = 0.9
RENEW_INTERVAL_S = 1.0  # between requests of a borrower; a lease lasts longer than several lost grants
RESERVE_FRACTION = 0.1  # of its demand, which a balancer does not lend, or requests in addition
# The highest demand in this time counts, so that a short pause does not move rights back and forth
DEMAND_WINDOW_S = 3.0


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """How much of one lender's grant a borrower may still use."""

    amount: float
    request_number: int  # the request that the grant answers; 0 where nothing is borrowed
    epoch: int  # of the lender


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True):
    """A borrower's register for one budget."""

    number: int
    wanted: float  # amount needed beyond what is left of its static share
    spare: float  # amount that it could lend
    holdings: dict[str, Holding] = {}  # by lender; also members from which nothing is borrowed


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """A lender's register for one budget and borrower: the answer to one request."""

    epoch: int  # of the borrower
    request_number: int
    amount: float  # may be used until the lease expires
    target_amount: float  # to which the borrower should reduce its use


@dataclass(slots=True)
class OutstandingGrant:
    """A grant that a borrower may be using, as recorded at the lender."""

    request_number: int
    amount: float
    expires_at: float


@dataclass(slots=True)
class BorrowedLease:
    """The newest grant of a lender, as recorded at the borrower, reduced to what may still be used of it."""

    amount: float
    target_amount: float
    request_number: int
    epoch: int  # of the lender
    expires_at: float


@dataclass(slots=True)
class Budget:
    """One balancer's rights to one budget: its static share, and what it has lent and borrowed.

    At any time the ``limit`` values of all balancers together are at most the budget, whatever is lost,
    delayed, duplicated or cut off and whichever balancer fails, as long as the clocks' drift stays within
    ``MAX_DRIFT_FRACTION``.
    """

    name: str  # of this balancer
    static_share: float
    integral: bool  # whether the budget counts whole units, such as connections
    assume_lent_until: float  # until then, grants of an earlier epoch of this balancer may be in use
    lease_s: float = LEASE_S
    # As a lender, by borrower and its epoch
    outstanding: dict[tuple[str, int], list[OutstandingGrant]] = field(default_factory=dict)
    answered_requests: dict[tuple[str, int], int] = field(default_factory=dict)  # number of the last one
    # As a borrower
    borrowed: dict[str, BorrowedLease] = field(default_factory=dict)  # by lender
    request_times: dict[int, float] = field(default_factory=dict)  # when each request was written
    last_request_number: int = 0
    peak_demand: float = 0.0  # the highest demand within about ``DEMAND_WINDOW_S``
    peak_at: float = -math.inf  # when it was recorded

    # -- what may be used --------------------------------------------------------------------------------

    def lent_amount(self, now: float) -> float:
        """How much of the static share other balancers may be using at most; drops expired grants."""
        lent = 0.0
        for key, grants in list(self.outstanding.items()):
            grants[:] = [grant for grant in grants if now < grant.expires_at]
            if grants:
                lent += max(grant.amount for grant in grants)
            else:
                del self.outstanding[key]
        return max(lent, MAX_LENT_FRACTION * self.static_share) if now < self.assume_lent_until else lent

    def own_amount(self, now: float) -> float:
        """The part of the static share that is not lent."""
        return max(0.0, self.static_share - self.lent_amount(now))

    def limit(self, now: float) -> float:
        """How much may be in use at this balancer at most."""
        return self.own_amount(now) + sum(
            lease.amount for lease in self.borrowed.values() if now < lease.expires_at
        )

    def target(self, now: float) -> float:
        """How much should be in use at this balancer at most.

        It is below ``limit`` where a lender requests some of a grant back, or where a lease nears its end
        without having been renewed.
        """
        return self.own_amount(now) + sum(
            min(lease.amount, lease.target_amount)
            for lease in self.borrowed.values()
            if now < lease.expires_at - DRAIN_FRACTION * self.lease_s
        )

    def confirm_start(
        self, others: Mapping[str, Mapping[str, Holding]], epoch: int, other_balancers: int
    ) -> None:
        """End ``assume_lent_until`` early once all other balancers have confirmed this balancer's ``epoch``.

        ``others`` has the holdings that each balancer reported; ``other_balancers`` is the number of other
        balancers.  A balancer that reports this epoch uses no grant of an earlier one, and accepts none.
        """
        if (
            self.assume_lent_until > 0.0
            and len(others) >= other_balancers
            and all(
                self.name in holdings and holdings[self.name].epoch == epoch for holdings in others.values()
            )
        ):
            self.assume_lent_until = 0.0

    # -- as a borrower -----------------------------------------------------------------------------------

    def record_demand(self, wanted: float, now: float) -> None:
        """Record the demand: the amount that this balancer would use now if it had no limit."""
        if wanted >= self.peak_demand or now - self.peak_at > DEMAND_WINDOW_S:
            self.peak_demand, self.peak_at = wanted, now

    def make_request(self, used: float, epochs: Mapping[str, int], now: float) -> LeaseRequest:
        """Return the next request; the amounts borrowed are reduced at once to the holdings stated in it.

        ``used`` is the amount in use at this balancer; ``epochs`` has the epoch of each other member.
        """
        own = self.own_amount(now)
        needed = (1.0 + RESERVE_FRACTION) * self.peak_demand - own
        wanted = max(0.0, float(math.ceil(needed - 1e-9)) if self.integral else needed)
        required, allowed = max(0.0, used - own), max(wanted, used - own, 0.0)
        holdings = {name: Holding(0.0, 0, epoch) for name, epoch in epochs.items()}
        for name, lease in sorted(self.borrowed.items(), key=lambda item: (-item[1].expires_at, item[0])):
            if now >= lease.expires_at:
                del self.borrowed[name]
                continue
            # Keeps what is in use; returns the rest, except what is wanted and within the lender's target
            kept = min(lease.amount, max(required, min(allowed, lease.target_amount)))
            required, allowed, lease.amount = max(0.0, required - kept), max(0.0, allowed - kept), kept
            holdings[name] = Holding(kept, lease.request_number, lease.epoch)
        self.last_request_number += 1
        self.request_times = {
            number: written_at
            for number, written_at in self.request_times.items()
            if now - written_at < self.lease_s
        }
        self.request_times[self.last_request_number] = now
        return LeaseRequest(self.last_request_number, wanted, self.spare_amount(used, now), holdings)

    def receive_grant(self, lender: str, lender_epoch: int, grant: Grant, epoch: int, now: float) -> None:
        """Use a newer grant of a lender, if it answers a recent request; ``epoch`` is this balancer's."""
        requested_at, old = self.request_times.get(grant.request_number), self.borrowed.get(lender)
        if grant.epoch != epoch or requested_at is None:
            return
        expires_at = requested_at + self.lease_s * (1.0 - MAX_DRIFT_FRACTION)
        if old is None or old.epoch != lender_epoch or grant.request_number > old.request_number:
            if old is not None and old.epoch != lender_epoch and now < old.expires_at:
                return  # a lease of the lender's earlier epoch has to expire first, or both would be used
            self.borrowed[lender] = BorrowedLease(
                grant.amount, grant.target_amount, grant.request_number, lender_epoch, expires_at
            )

    # -- as a lender -------------------------------------------------------------------------------------

    def spare_amount(self, used: float, now: float) -> float:
        """How much can be lent in addition to what is already lent."""
        if now < self.assume_lent_until:
            return 0.0
        reserved = (1.0 + RESERVE_FRACTION) * max(self.peak_demand, used)
        spare = min(self.static_share - reserved, MAX_LENT_FRACTION * self.static_share) - self.lent_amount(
            now
        )
        return max(0.0, float(math.floor(spare + 1e-9)) if self.integral else spare)

    def grant_requests(
        self, requests: Mapping[str, tuple[int, LeaseRequest]], used: float, now: float
    ) -> dict[str, Grant]:
        """Return, by borrower, grants for the requests that are not answered yet.

        ``requests`` has the epoch and the newest request of each other member.  Each lender grants a part of
        a request in proportion to what it can spare, so that lenders need not coordinate.
        """
        granted: dict[str, Grant] = {}
        for name, (epoch, request) in sorted(requests.items()):
            self._settle_grants(name, epoch, request)
        spare = self.spare_amount(used, now)
        total_wanted = sum(request.wanted for _, request in requests.values())
        lent = {
            name: max([grant.amount for grant in self.outstanding.get((name, epoch), ())], default=0.0)
            for name, (epoch, _) in requests.items()
        }
        # This lender divides all that it has lent or can lend in proportion to what the borrowers want
        lendable = spare + sum(lent.values())
        for name, (epoch, request) in sorted(requests.items()):
            if self.answered_requests.get((name, epoch), 0) >= request.number:
                continue
            from_other_lenders = sum(
                holding.amount for lender, holding in request.holdings.items() if lender != self.name
            )
            others_spare = sum(other.spare for lender, (_, other) in requests.items() if lender != name)
            open_amount = max(0.0, request.wanted - from_other_lenders - lent[name])
            fair_share = lendable * request.wanted / total_wanted if total_wanted > 0.0 else 0.0
            additional = open_amount * (spare / (spare + others_spare) if spare + others_spare > 0.0 else 0.0)
            target = min(lent[name] + additional, fair_share) if request.wanted > 0.0 else 0.0
            if self.integral:
                round_up = target <= lent[name] + spare
                target = float(math.ceil(target - 1e-9) if round_up else math.floor(target))
            holding = request.holdings.get(self.name)
            kept = min(holding.amount, lent[name]) if holding is not None else 0.0
            amount = max(kept, min(target, lent[name] + spare))
            if amount <= 0.0 and lent[name] <= 0.0:
                continue
            spare = max(0.0, spare - max(0.0, amount - lent[name]))
            self.answered_requests[name, epoch] = request.number
            self.outstanding.setdefault((name, epoch), []).append(
                OutstandingGrant(request.number, amount, now + self.lease_s)
            )
            granted[name] = Grant(epoch, request.number, amount, min(target, amount))
        return granted

    def _settle_grants(self, name: str, epoch: int, request: LeaseRequest) -> None:
        """Apply the holding that a borrower reports: drop older grants, and reduce the reported one."""
        holding, grants = request.holdings.get(self.name), self.outstanding.get((name, epoch))
        if holding is None or not grants:
            return
        for grant in grants:
            if grant.request_number == holding.request_number:
                grant.amount = min(grant.amount, holding.amount)
        grants[:] = [grant for grant in grants if grant.request_number >= holding.request_number]


class Leases:
    """The rights of one balancer to all budgets, and the requests that it last wrote."""

    def __init__(self, name: str, shares: Mapping[str, tuple[float, bool]], now: float) -> None:
        """``shares`` has, by budget, the static share and whether the budget counts whole units."""
        self.name = name
        self.budgets = {
            key: Budget(name, share, integral, now + LEASE_S) for key, (share, integral) in shares.items()
        }
        # By budget: the last request, when it was written, and the other members' epochs at that time
        self.last_requests: dict[str, tuple[LeaseRequest, float, dict[str, int]]] = {}

    def update_shares(self, shares: Mapping[str, tuple[float, bool]], now: float) -> None:
        """Apply the shares of changed contracts; most of a new budget counts as lent for ``LEASE_S``."""
        for key in self.budgets.keys() - shares.keys():
            del self.budgets[key]
        for key, (share, integral) in shares.items():
            budget = self.budgets.setdefault(key, Budget(self.name, share, integral, now + LEASE_S))
            budget.static_share = share

    def requests_due(
        self, used: Mapping[str, float], epochs: dict[str, int], now: float
    ) -> dict[str, LeaseRequest]:
        """Return the requests to write now, by budget; ``used`` is the amount in use of each budget.

        A request is written every ``RENEW_INTERVAL_S`` while anything is wanted or borrowed, and when the
        members, their epochs or what this balancer can spare have changed.
        """
        requests: dict[str, LeaseRequest] = {}
        for key, budget in self.budgets.items():
            last_request = self.last_requests.get(key)
            in_use = used.get(key, 0.0)
            if last_request is not None and now - last_request[1] < RENEW_INTERVAL_S:
                continue
            needs_lease = (1.0 + RESERVE_FRACTION) * budget.peak_demand > budget.own_amount(now) or bool(
                budget.borrowed
            )
            spare = budget.spare_amount(in_use, now)
            if (
                last_request is None
                or needs_lease
                or last_request[0].wanted > 0.0
                or last_request[2] != epochs
                or abs(spare - last_request[0].spare) > RESERVE_FRACTION * budget.static_share
            ):
                requests[key] = budget.make_request(in_use, epochs, now)
                self.last_requests[key] = requests[key], now, dict(epochs)
        return requests

    def targets(self, now: float) -> dict[str, float]:
        """How much should be in use at this balancer at most, by budget."""
        return {key: budget.target(now) for key, budget in self.budgets.items()}
