"""Moves rights to a budget between balancers, as leases of a bounded counter; no right is used twice.

A bounded counter (Balegas et al., 2015) splits a budget into rights: each balancer has a static share and may
lend some of it.  A loan is a lease (Gray and Cheriton, 1989).  The lender counts it as lent for ``LEASE_S``
seconds of its own clock, from when it wrote the grant.  The borrower uses it for that time on its own clock,
less the possible drift, from when it wrote the *request* that the grant answers.  A request is written before
its grant, so the borrower always stops first.  Leases of a balancer that disappears expire, and no two clocks
are compared.

Both sides write registers, which can arrive late, more than once or never, but never in another order than
they were written.  A grant answers one request and does not change.  The borrower uses the newest grant that
it has, and its next request says which grant that is and how much of it may still be used.  Until then the
lender counts the largest of all grants that the borrower may be using.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

LEASE_S = 12.0  # for which a lender counts a granted amount as lent
MAX_DRIFT_FRACTION = 0.01  # clocks may run apart by this fraction, and a borrower stops earlier by it
# Of a lease, before its end: the borrower then starts to do without it, as connections need time to move
DRAIN_FRACTION = 0.5
# Of the static share, that a balancer lends at most: its own next clients must not wait for a lease to end
MAX_LENT_FRACTION = 0.9
RENEW_INTERVAL_S = 1.0  # between requests of a borrower; a lease outlasts several lost answers
RESERVE_FRACTION = 0.1  # of its own use, that a balancer keeps free or requests in addition
# The highest demand within this time counts, so that a short pause does not move rights back and forth
DEMAND_WINDOW_S = 3.0


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """What a borrower still uses of one lender's grant."""

    amount: float  # at most this much
    request_number: int  # the request that the grant answers
    epoch: int  # the lender's start


class LeaseRequest(msgspec.Struct, array_like=True, frozen=True):
    """A borrower's register for one budget."""

    number: int
    wanted: float  # beyond its static share
    spare: float  # that it could lend itself
    holdings: dict[str, Holding] = {}  # by lender


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """A lender's register for one budget and borrower: the answer to one request."""

    epoch: int  # the borrower's start
    request_number: int
    amount: float  # that may be used
    target_amount: float  # to which the borrower should reduce its use


@dataclass(slots=True)
class OutstandingGrant:
    """At the lender: a grant that a borrower may be using."""

    request_number: int
    amount: float
    expires_at: float


@dataclass(slots=True)
class BorrowedLease:
    """At the borrower: the newest grant of a lender, reduced to what is still used of it."""

    amount: float
    target_amount: float
    request_number: int
    epoch: int  # the lender's start
    expires_at: float


@dataclass(slots=True)
class Budget:
    """One balancer's share of one budget.

    At any time the ``limit`` values of all balancers together are at most the budget, whatever is lost,
    delayed, duplicated or cut off and whichever balancer fails, as long as the clocks' drift stays within
    ``MAX_DRIFT_FRACTION``.
    """

    name: str  # of this balancer
    static_share: float
    integral: bool  # the budget counts whole units, as connections
    assume_lent_until: float  # until then grants of an earlier start of this balancer may be in use
    lease_s: float = LEASE_S
    # As a lender, by borrower and the borrower's start
    outstanding: dict[tuple[str, int], list[OutstandingGrant]] = field(default_factory=dict)
    answered_requests: dict[tuple[str, int], int] = field(default_factory=dict)  # the last one of each
    # As a borrower
    borrowed: dict[str, BorrowedLease] = field(default_factory=dict)  # by lender
    request_times: dict[int, float] = field(default_factory=dict)  # when each request was written
    last_request_number: int = 0
    peak_demand: float = 0.0
    peak_at: float = -math.inf

    # -- what may be used --------------------------------------------------------------------------------

    def lent_amount(self, now: float) -> float:
        """The most of the static share that other balancers may be using."""
        lent = 0.0
        for key, grants in list(self.outstanding.items()):
            grants[:] = [grant for grant in grants if now < grant.expires_at]
            if grants:
                lent += max(grant.amount for grant in grants)
            else:
                del self.outstanding[key]
        return max(lent, MAX_LENT_FRACTION * self.static_share) if now < self.assume_lent_until else lent

    def own_amount(self, now: float) -> float:
        """What is left of the static share."""
        return max(0.0, self.static_share - self.lent_amount(now))

    def limit(self, now: float) -> float:
        """The most that may be in use at this balancer."""
        return self.own_amount(now) + sum(
            lease.amount for lease in self.borrowed.values() if now < lease.expires_at
        )

    def target(self, now: float) -> float:
        """The most that should be in use at this balancer.

        It is below ``limit`` where a lender reduced a grant or a lease is about to expire without renewal.
        """
        return self.own_amount(now) + sum(
            min(lease.amount, lease.target_amount)
            for lease in self.borrowed.values()
            if now < lease.expires_at - DRAIN_FRACTION * self.lease_s
        )

    def confirm_start(
        self, others: Mapping[str, Mapping[str, Holding]], epoch: int, other_balancers: int
    ) -> None:
        """End ``assume_lent_until`` early once all other balancers have confirmed this start (``epoch``).

        ``others`` holds the holdings that each balancer reported, ``other_balancers`` is how many there are.
        A balancer that reports this start accepts no more grants of an earlier start, and holds none.
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
        """Record what this balancer would use now without a limit."""
        if wanted >= self.peak_demand or now - self.peak_at > DEMAND_WINDOW_S:
            self.peak_demand, self.peak_at = wanted, now

    def make_request(self, used: float, epochs: Mapping[str, int], now: float) -> LeaseRequest:
        """The next request; from now on this balancer uses no more than it says.

        ``used`` is in use at this balancer, ``epochs`` holds the start of each other member.
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
            # What is in use is kept; the rest is given back unless it is wanted and the lender agrees.
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
        """Use a grant of a lender's start ``lender_epoch`` to this balancer's start ``epoch``."""
        requested_at, old = self.request_times.get(grant.request_number), self.borrowed.get(lender)
        if grant.epoch != epoch or requested_at is None:
            return
        expires_at = requested_at + self.lease_s * (1.0 - MAX_DRIFT_FRACTION)
        if old is None or old.epoch != lender_epoch or grant.request_number > old.request_number:
            if old is not None and old.epoch != lender_epoch and now < old.expires_at:
                return  # the lease of the lender's earlier start has to expire first, or both would be used
            self.borrowed[lender] = BorrowedLease(
                grant.amount, grant.target_amount, grant.request_number, lender_epoch, expires_at
            )

    # -- as a lender -------------------------------------------------------------------------------------

    def spare_amount(self, used: float, now: float) -> float:
        """What can be lent in addition to what is lent already."""
        if now < self.assume_lent_until:
            return 0.0
        kept = (1.0 + RESERVE_FRACTION) * max(self.peak_demand, used)
        spare = min(self.static_share - kept, MAX_LENT_FRACTION * self.static_share) - self.lent_amount(now)
        return max(0.0, float(math.floor(spare + 1e-9)) if self.integral else spare)

    def grant_requests(
        self, requests: Mapping[str, tuple[int, LeaseRequest]], used: float, now: float
    ) -> dict[str, Grant]:
        """Grants for the requests that are not answered yet, by borrower.

        ``requests`` holds the start and the newest request of each other member.  Each lender meets a part of
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
        # What this lender has lent and can still lend is shared among the borrowers by what they want
        lendable = spare + sum(lent.values())
        for name, (epoch, request) in sorted(requests.items()):
            if self.answered_requests.get((name, epoch), 0) >= request.number:
                continue
            elsewhere = sum(
                holding.amount for lender, holding in request.holdings.items() if lender != self.name
            )
            others_spare = sum(other.spare for lender, (_, other) in requests.items() if lender != name)
            open_amount = max(0.0, request.wanted - elsewhere - lent[name])
            fair = lendable * request.wanted / total_wanted if total_wanted > 0.0 else 0.0
            more = open_amount * (spare / (spare + others_spare) if spare + others_spare > 0.0 else 0.0)
            target = min(lent[name] + more, fair) if request.wanted > 0.0 else 0.0
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
        """Drop grants older than the one that a borrower uses, and reduce that one to what it still uses."""
        holding, grants = request.holdings.get(self.name), self.outstanding.get((name, epoch))
        if holding is None or not grants:
            return
        for grant in grants:
            if grant.request_number == holding.request_number:
                grant.amount = min(grant.amount, holding.amount)
        grants[:] = [grant for grant in grants if grant.request_number >= holding.request_number]


class Leases:
    """All budgets of one balancer, and when their requests have to be written again."""

    def __init__(self, name: str, shares: Mapping[str, tuple[float, bool]], now: float) -> None:
        """``shares`` holds, by budget, the static share and whether it counts whole units."""
        self.name = name
        self.budgets = {
            key: Budget(name, share, integral, now + LEASE_S) for key, (share, integral) in shares.items()
        }
        # By budget: the last request, when it was written, and the members' starts at that time
        self.last_requests: dict[str, tuple[LeaseRequest, float, dict[str, int]]] = {}

    def update_shares(self, shares: Mapping[str, tuple[float, bool]], now: float) -> None:
        """Apply changed contracts; a budget that is new here assumes at first that most of it is lent."""
        for key in self.budgets.keys() - shares.keys():
            del self.budgets[key]
        for key, (share, integral) in shares.items():
            budget = self.budgets.setdefault(key, Budget(self.name, share, integral, now + LEASE_S))
            budget.static_share = share

    def requests_due(
        self, used: Mapping[str, float], epochs: dict[str, int], now: float
    ) -> dict[str, LeaseRequest]:
        """The requests to write now, by budget.

        A request is written every ``RENEW_INTERVAL_S`` while anything is wanted or borrowed, and when the
        members, their epochs or what this balancer can spare have changed.
        """
        requests: dict[str, LeaseRequest] = {}
        for key, budget in self.budgets.items():
            last = self.last_requests.get(key)
            in_use = used.get(key, 0.0)
            if last is not None and now - last[1] < RENEW_INTERVAL_S:
                continue
            wanting = (1.0 + RESERVE_FRACTION) * budget.peak_demand > budget.own_amount(now) or bool(
                budget.borrowed
            )
            spare = budget.spare_amount(in_use, now)
            if (
                last is None
                or wanting
                or last[0].wanted > 0.0
                or last[2] != epochs
                or abs(spare - last[0].spare) > RESERVE_FRACTION * budget.static_share
            ):
                requests[key] = budget.make_request(in_use, epochs, now)
                self.last_requests[key] = requests[key], now, dict(epochs)
        return requests

    def targets(self, now: float) -> dict[str, float]:
        """The most that should be in use at this balancer, by budget."""
        return {key: budget.target(now) for key, budget in self.budgets.items()}
