"""Division by weighted max-min fairness, and division of whole units among balancers."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Claim:
    """What one participant may get: at most its ceiling, and at most what it demands."""

    guarantee: float
    ceiling: float
    weight: float
    demand: float = math.inf


def max_min_shares(total: float, claims: Sequence[Claim]) -> list[float]:
    """Divide ``total``: first the guarantees, then the rest by weight up to each claim's ceiling and demand.

    The rest is divided by progressive filling (Bertsekas and Gallager, Data Networks, 6.5.2).  The guarantees
    are given out even if they exceed ``total``.
    """
    maxima = [min(claim.ceiling, claim.demand) for claim in claims]
    shares = [min(claim.guarantee, maximum) for claim, maximum in zip(claims, maxima, strict=True)]
    remaining = max(0.0, total - sum(shares))
    # Claims that are satisfied at a lower share per weight come first, so that what each leaves unused is
    # divided among the claims after it.
    order = sorted(
        (n for n, claim in enumerate(claims) if maxima[n] > shares[n] and claim.weight > 0),
        key=lambda n: (maxima[n] - shares[n]) / claims[n].weight,
    )
    total_weight = sum(claims[n].weight for n in order)
    for n in order:
        extra = min(maxima[n] - shares[n], remaining * claims[n].weight / total_weight)
        shares[n] += extra
        remaining -= extra
        total_weight -= claims[n].weight
    return shares


def round_robin_count(first_unit: int, count: int, balancers: int, index: int) -> int:
    """The number of units from a range that one balancer gets if all units are dealt round robin.

    The range starts with unit ``first_unit`` and has ``count`` units; ``index`` is the balancer's, from 0.
    If the teams' ranges follow each other, the balancers' parts of a range sum to exactly ``count``, and a
    balancer's parts of all ranges sum to no more than its part of all units.  Rounding each part by itself
    does not ensure both.
    """

    def units_before(unit: int) -> int:
        return (unit - index + balancers - 1) // balancers

    return units_before(first_unit + count) - units_before(first_unit)
