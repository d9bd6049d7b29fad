"""Who gets how much when all ask: weighted max-min fairness, and whole units shared among balancers."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Claim:
    """One party's floor, most and weight; ``wants`` caps what it gets."""

    guarantee: float
    ceiling: float
    weight: float
    wants: float = math.inf


def max_min(total: float, claims: Sequence[Claim]) -> list[float]:
    """Share ``total``: first each its guarantee, then the rest by weight, nobody above ceiling or wish.

    Progressive filling (Bertsekas and Gallager, Data Networks, 6.5.2) on what is beyond the guarantees.
    """
    tops = [min(one.ceiling, one.wants) for one in claims]
    shares = [min(one.guarantee, top) for one, top in zip(claims, tops, strict=True)]
    left = max(0.0, total - sum(shares))
    # In order of the level at which each is satisfied: every step satisfies one more.
    order = sorted(
        (n for n, one in enumerate(claims) if tops[n] > shares[n] and one.weight > 0),
        key=lambda n: (tops[n] - shares[n]) / claims[n].weight,
    )
    weights = sum(claims[n].weight for n in order)
    for n in order:
        extra = min(tops[n] - shares[n], left * claims[n].weight / weights)
        shares[n] += extra
        left -= extra
        weights -= claims[n].weight
    return shares


def striped(first: int, count: int, parties: int, index: int) -> int:
    """How many of the units ``first`` to ``first + count - 1`` fall to a party if they are dealt out in turn.

    Units dealt to teams one after another this way sum up exactly over the parties, and at each party the
    teams' parts never sum to more than its part of all units: rounding each by itself does not keep both.
    """

    def before(unit: int) -> int:
        return (unit - index + parties - 1) // parties

    return before(first + count) - before(first)
