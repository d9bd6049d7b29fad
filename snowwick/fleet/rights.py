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

LEASE = 12.0  # s that a lender counts what it granted as gone
DRIFT = 0.01  # by how much two clocks may run apart: a borrower stops that much earlier
DRAIN = 0.5  # of a lease, at whose end the borrower begins to go without: what stands must have time to move
LENT = 0.9  # of its part that a balancer lends at most: its own next clients must not wait for a return
RENEW = 1.0  # s after which a borrower asks again: a lease bears several lost answers
RESERVE = 0.1  # of what it uses itself that a balancer keeps or asks for beside it
EASE = 3.0  # s over which the highest demand counts: a lull must not send rights to and fro


class Holding(msgspec.Struct, array_like=True, frozen=True):
    """What a borrower says of one lender: what it may still use, by which grant, for which start of it."""

    amount: float
    seen: int
    boot: int


class Ask(msgspec.Struct, array_like=True, frozen=True):
    """A borrower's register for one budget: what it wants beyond its part, and what it holds."""

    number: int
    want: float
    spare: float  # what it could lend itself
    holds: dict[str, Holding] = {}


class Grant(msgspec.Struct, array_like=True, frozen=True):
    """A lender's register for one budget and borrower: the answer to that ask of that start of it.

    ``amount`` may be used, ``wish`` is what the lender would have it come down to.
    """

    boot: int
    number: int
    amount: float
    wish: float


@dataclass(slots=True)
class Out:
    """At the lender: a grant that may be in use, until when."""

    number: int
    amount: float
    until: float


@dataclass(slots=True)
class Borrowed:
    """At the borrower: the newest grant of a lender, as far as it is still used."""

    amount: float
    wish: float
    seen: int
    boot: int  # the lender's start
    until: float


@dataclass(slots=True)
class Budget:
    """One balancer's side of one budget.

    Over all balancers, at any moment, what ``limit`` allows is at most the budget, whatever is lost, delayed,
    doubled or cut and whoever dies, as long as clocks run within ``DRIFT`` of each other.
    """

    name: str  # of this balancer
    part: float  # the static part
    whole: bool  # the budget counts whole things
    cautious_until: float  # what an earlier start of this balancer lent may be in use till then
    lease: float = LEASE
    out: dict[tuple[str, int], list[Out]] = field(default_factory=dict)  # by borrower and its start
    answered: dict[tuple[str, int], int] = field(default_factory=dict)  # the ask that was granted last
    borrowed: dict[str, Borrowed] = field(default_factory=dict)
    asked: dict[int, float] = field(default_factory=dict)  # when each ask was written
    number: int = 0
    peak: float = 0.0
    peak_at: float = -math.inf

    # -- what may be used --------------------------------------------------------------------------------

    def gone(self, now: float) -> float:
        """Of the static part, the most that may be in use elsewhere."""
        gone = 0.0
        for key, outs in list(self.out.items()):
            outs[:] = [one for one in outs if now < one.until]
            if outs:
                gone += max(one.amount for one in outs)
            else:
                del self.out[key]
        return max(gone, LENT * self.part) if now < self.cautious_until else gone

    def own(self, now: float) -> float:
        """What is left of the static part."""
        return max(0.0, self.part - self.gone(now))

    def limit(self, now: float) -> float:
        """What may be in use here at most."""
        return self.own(now) + sum(one.amount for one in self.borrowed.values() if now < one.until)

    def target(self, now: float) -> float:
        """What should be in use here by now: what is wished back or not renewed is gone without in time."""
        return self.own(now) + sum(
            min(one.amount, one.wish)
            for one in self.borrowed.values()
            if now < one.until - DRAIN * self.lease
        )

    def confirm(self, others: Mapping[str, Mapping[str, Holding]], boot: int, all_others: int) -> None:
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

    def demand(self, wanted: float, now: float) -> None:
        """What would be in use here now if there were no limit."""
        if wanted >= self.peak or now - self.peak_at > EASE:
            self.peak, self.peak_at = wanted, now

    def ask(self, used: float, boots: Mapping[str, int], now: float) -> Ask:
        """The next ask; ``used`` is in use here now, ``boots`` are the members and their starts.

        From here on no more is used than it says.
        """
        own = self.own(now)
        need = (1.0 + RESERVE) * self.peak - own
        want = max(0.0, float(math.ceil(need - 1e-9)) if self.whole else need)
        over, room = max(0.0, used - own), max(want, used - own, 0.0)
        holds = {name: Holding(0.0, 0, boot) for name, boot in boots.items()}
        for name, one in sorted(self.borrowed.items(), key=lambda row: (-row[1].until, row[0])):
            if now >= one.until:
                del self.borrowed[name]
                continue
            # What is in use is kept; what is not goes back as far as it is not wanted, or wished back.
            keep = min(one.amount, max(over, min(room, one.wish)))
            over, room, one.amount = max(0.0, over - keep), max(0.0, room - keep), keep
            holds[name] = Holding(keep, one.seen, one.boot)
        self.number += 1
        self.asked = {number: at for number, at in self.asked.items() if now - at < self.lease}
        self.asked[self.number] = now
        return Ask(self.number, want, self.spare(used, now), holds)

    def hear(self, lender: str, boot: int, grant: Grant, mine: int, now: float) -> None:
        """A lender's grant to this balancer; ``boot`` is the lender's start, ``mine`` this balancer's."""
        at, old = self.asked.get(grant.number), self.borrowed.get(lender)
        if grant.boot != mine or at is None:
            return
        until = at + self.lease * (1.0 - DRIFT)
        if old is None or old.boot != boot or grant.number > old.seen:
            if old is not None and old.boot != boot and now < old.until:
                return  # by an earlier start of the lender: it runs out first, or both would be used
            self.borrowed[lender] = Borrowed(grant.amount, grant.wish, grant.number, boot, until)

    # -- as a lender -------------------------------------------------------------------------------------

    def spare(self, used: float, now: float) -> float:
        """What can be lent beside what has been."""
        if now < self.cautious_until:
            return 0.0
        keep = (1.0 + RESERVE) * max(self.peak, used)
        room = min(self.part - keep, LENT * self.part) - self.gone(now)
        return max(0.0, float(math.floor(room + 1e-9)) if self.whole else room)

    def grant(self, asks: Mapping[str, tuple[int, Ask]], used: float, now: float) -> dict[str, Grant]:
        """Answers to the asks that have none yet; ``asks`` holds each member's start and register.

        A want is met by all that can spare, each in proportion to what it can, so that lenders need not talk.
        """
        granted: dict[str, Grant] = {}
        for name, (boot, ask) in sorted(asks.items()):
            self._settle(name, boot, ask)
        spare = self.spare(used, now)
        wants = sum(ask.want for _, ask in asks.values())
        mine = {
            name: max([one.amount for one in self.out.get((name, boot), ())], default=0.0)
            for name, (boot, _) in asks.items()
        }
        # What I have lent already and can spare beside it, against what all others could still lend.
        pot = spare + sum(mine.values())
        for name, (boot, ask) in sorted(asks.items()):
            if self.answered.get((name, boot), 0) >= ask.number:
                continue
            elsewhere = sum(one.amount for other, one in ask.holds.items() if other != self.name)
            others = sum(ask_.spare for other, (_, ask_) in asks.items() if other != name)
            open_want = max(0.0, ask.want - elsewhere - mine[name])
            fair = pot * ask.want / wants if wants > 0.0 else 0.0
            more = open_want * (spare / (spare + others) if spare + others > 0.0 else 0.0)
            wish = min(mine[name] + more, fair) if ask.want > 0.0 else 0.0
            if self.whole:
                up = wish <= mine[name] + spare
                wish = float(math.ceil(wish - 1e-9) if up else math.floor(wish))
            held = ask.holds.get(self.name)
            kept = min(held.amount, mine[name]) if held is not None else 0.0
            amount = max(kept, min(wish, mine[name] + spare))
            if amount <= 0.0 and mine[name] <= 0.0:
                continue
            spare = max(0.0, spare - max(0.0, amount - mine[name]))
            self.answered[name, boot] = ask.number
            self.out.setdefault((name, boot), []).append(Out(ask.number, amount, now + self.lease))
            granted[name] = Grant(boot, ask.number, amount, min(wish, amount))
        return granted

    def _settle(self, name: str, boot: int, ask: Ask) -> None:
        """What the borrower says it goes by: grants before that are over, of that one no more is used."""
        held, outs = ask.holds.get(self.name), self.out.get((name, boot))
        if held is None or not outs:
            return
        for one in outs:
            if one.number == held.seen:
                one.amount = min(one.amount, held.amount)
        outs[:] = [one for one in outs if one.number >= held.seen]


class Leases:
    """All budgets of one balancer, and when their registers have to be written anew."""

    def __init__(self, name: str, parts: Mapping[str, tuple[float, bool]], now: float) -> None:
        """``parts`` holds, by budget, the static part and whether it counts whole things."""
        self.name = name
        self.budgets = {key: Budget(name, part, whole, now + LEASE) for key, (part, whole) in parts.items()}
        self.written: dict[str, tuple[Ask, float, dict[str, int]]] = {}

    def change(self, parts: Mapping[str, tuple[float, bool]], now: float) -> None:
        """Other contracts: new budgets begin with caution, what was lent of the others stays lent."""
        for key in self.budgets.keys() - parts.keys():
            del self.budgets[key]
        for key, (part, whole) in parts.items():
            one = self.budgets.setdefault(key, Budget(self.name, part, whole, now + LEASE))
            one.part = part

    def asks(self, used: Mapping[str, float], boots: dict[str, int], now: float) -> dict[str, Ask]:
        """The asks to write now: while anything is wanted or held, and where the members have changed."""
        fresh: dict[str, Ask] = {}
        for key, one in self.budgets.items():
            before = self.written.get(key)
            in_use = used.get(key, 0.0)
            if before is not None and now - before[1] < RENEW:
                continue
            wanting = (1.0 + RESERVE) * one.peak > one.own(now) or bool(one.borrowed)
            spare = one.spare(in_use, now)
            if (
                before is None
                or wanting
                or before[0].want > 0.0
                or before[2] != boots
                or abs(spare - before[0].spare) > RESERVE * one.part
            ):
                fresh[key] = one.ask(in_use, boots, now)
                self.written[key] = fresh[key], now, dict(boots)
        return fresh

    def targets(self, now: float) -> dict[str, float]:
        return {key: one.target(now) for key, one in self.budgets.items()}
