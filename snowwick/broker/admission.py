"""The broker's decisions: what each team holds, what it may have more of, who gives back what was lent.

Free of I/O; times are seconds on the caller's clock.  A connection that was let in is a ``Lease``; whoever
keeps it gives it back once.  State is kept for each team and class and for each standing connection, never
for a client that was refused.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from zlib import crc32

from snowwick.broker.budget import Budget, Share
from snowwick.broker.gcra import Gcra
from snowwick.broker.retry_queue import AGAIN, EARLY, Promises, Queue

LONGEST = 60.0  # s told at the most where the settings set no bound
KEPT_FOR = 1.0  # s beyond the longest come-back time that freed room is kept for whom it was freed
STEP = 0.05  # s between looks while something has to be moved
FAIR_GAIN, FAIR_STEP = 0.5, 0.25  # how fast the fair rate follows, a second; s at most between two looks
IDLE = 0.9  # of the fleet's burst that is unused while nobody has to care for fairness
KEEP = 0.5  # of a burst that those leave who were promised nothing, or who borrow beyond their fair rate
LEAST_LENT = 0.25  # of the connections: the pace serves those who share beyond guarantees too
SPARE, MOST_SPARE = 0.03, 4  # of a ceiling that those leave who were promised nothing, while others were
SPARE_FROM = 20  # connections: a smaller ceiling leaves none


@dataclass(slots=True, frozen=True)
class ClassLimits:
    """A class inside a team: the part of the team's ceiling it may fill, its longest wait in ms."""

    share: float = 1.0
    max_wait_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class TeamLimits:
    """What this balancer enforces for a team: (guarantee, ceiling) pairs; no classes means any class."""

    connections: tuple[float, float]
    setups: tuple[float, float]
    load: tuple[float, float] = (0.0, math.inf)
    weight: float = 1.0
    pool: str = ""
    classes: Mapping[str, ClassLimits] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class BalancerLimits:
    """Everything that this balancer enforces."""

    connections: float
    setups: float
    teams: Mapping[str, TeamLimits]
    load: float = math.inf
    burst: float = 1.0  # s
    within: float = 10.0  # s in which a whole guarantee comes back
    reserve: float = 0.1  # of the unused guarantees


class ClassState(Queue):
    """One class of one team, and the places that are booked for its clients."""

    __slots__ = ("connections", "fingerprint_salt", "max_connections", "max_wait_ms", "rate_limit")

    def __init__(self, team: str, name: str) -> None:
        super().__init__()
        self.connections, self.max_connections, self.max_wait_ms = 0, math.inf, math.inf
        self.rate_limit: Gcra | None = None  # none where the class may use all that the team may
        self.fingerprint_salt = crc32(f"{team}\0{name}\0".encode())


class TeamState:
    """One team: its shares of the resources, its rates, its classes, and what stands, oldest first."""

    __slots__ = (
        "any_class",
        "classes",
        "committed",
        "connection_share",
        "gone",
        "lent",
        "lent_step",
        "load_share",
        "name",
        "pool",
        "rate_limit",
        "standing",
        "told",
    )

    def __init__(self, name: str) -> None:
        self.name, self.pool, self.gone, self.any_class, self.told = name, "", False, True, 0
        self.connection_share, self.load_share = Share(self), Share(self)
        self.committed, self.rate_limit = Gcra(0.0, 1.0), Gcra(0.0, 1.0)
        self.lent, self.lent_step = -math.inf, 0.0  # as Gcra.arrival and .step, of a rate that always changes
        self.classes: dict[str, ClassState] = {}
        self.standing: dict[Lease, None] = {}


@dataclass(slots=True, eq=False)
class Lease:
    """One connection that was let in; ``owner`` means something to the caller only."""

    owner: object
    team: TeamState
    class_state: ClassState
    pool: str
    load: float = 0.0
    told: bool = False
    active: bool = True
    leaving: bool = False


@dataclass(slots=True)
class Refusal:
    """Not let in: the reason code, which limit it was, and the seconds after which to come back."""

    reason: str
    limit: str
    retry_after_s: float


class AdmissionController:
    """One balancer's books."""

    def __init__(self, book: BalancerLimits, seed: int = 0, longest: float = LONGEST) -> None:
        self.random, self.longest = random.Random(seed), longest if longest > 0 else LONGEST
        self.teams: dict[str, TeamState] = {}
        self.connection_budget, self.load_budget = Budget(0.0, 0.0, True), Budget(0.0, 0.0, False)
        self.rate, self.pace = Gcra(0.0, 1.0), Gcra(0.0, 1.0)
        self.promises = Promises()
        self.fair = self.fair_at = 0.0  # setups a second that a weight of 1 may borrow while all do; when set
        self.misplaced_leases: dict[Lease, None] = {}  # stand in a pool that is no longer their team's
        self.teams_over_ceiling: dict[TeamState, None] = {}  # may be over a ceiling
        self.now = 0.0
        self.apply(book, 0.0)

    # -- contracts ---------------------------------------------------------------------------------------

    def apply(self, book: BalancerLimits, now: float) -> None:
        """Take other contracts at once.  What stands stays counted; what is too much now is moved in time.

        The pace of moves goes on where it was: two changes in a row allow no more moves than one.
        """
        self.book, now = book, self._at(now)
        self.by_load = book.load < math.inf or any(one.load[1] < math.inf for one in book.teams.values())
        self.connection_budget.limit, self.connection_budget.reserve_part = book.connections, book.reserve
        self.load_budget.limit, self.load_budget.reserve_part = book.load, book.reserve
        self.rate.change(now, book.setups, book.setups * book.burst)
        lent = max(
            1.0, sum(terms.connections[0] for terms in book.teams.values()), LEAST_LENT * book.connections
        )
        self.pace.change(now, lent / book.within, max(1.0, lent / book.within * STEP))
        weights = sum(terms.weight for terms in book.teams.values())
        self.fair = min(max(self.fair, book.setups / max(1.0, weights)), book.setups)
        for name in [*self.teams.keys() - book.teams.keys()]:
            self._drop(self.teams[name])
        for name, terms in book.teams.items():
            self._set(self.teams.setdefault(name, TeamState(name)), terms, now)
        self.connection_budget.shares = self.load_budget.shares = len(self.teams)
        for budget in (self.connection_budget, self.load_budget):
            budget.ease()

    def _set(self, team: TeamState, terms: TeamLimits, now: float) -> None:
        burst = self.book.burst
        if terms.pool != team.pool:
            self.misplaced_leases.update(
                dict.fromkeys(one for one in team.standing if one.pool != terms.pool)
            )
        team.pool, team.gone, team.any_class = terms.pool, False, not terms.classes
        self.connection_budget.set(team.connection_share, *terms.connections, terms.weight)
        self.load_budget.set(team.load_share, *terms.load, terms.weight)
        team.committed.change(now, terms.setups[0], terms.setups[0] * burst)
        team.rate_limit.change(now, terms.setups[1], terms.setups[1] * burst)
        for name in terms.classes:
            team.classes.setdefault(name, ClassState(team.name, name))
        for name in [name for name in team.classes if name not in terms.classes and terms.classes]:
            del team.classes[name]  # its leases hold on to it
        for name, cls in team.classes.items():
            self._set_class(cls, terms, terms.classes.get(name, ClassLimits()), now)
        self.teams_over_ceiling[team] = None

    def _set_class(self, cls: ClassState, terms: TeamLimits, own: ClassLimits, now: float) -> None:
        cls.max_wait_ms = own.max_wait_ms
        if own.share >= 1.0:
            cls.rate_limit, cls.max_connections = None, math.inf
            return
        rate = own.share * terms.setups[1]
        cls.max_connections = max(1.0, math.floor(own.share * terms.connections[1] + 1e-9))
        cls.rate_limit = cls.rate_limit or Gcra(rate, rate * self.book.burst)
        cls.rate_limit.change(now, rate, rate * self.book.burst)

    def _drop(self, team: TeamState) -> None:
        """A removed team keeps its name in the books until the last that it holds has gone."""
        team.gone = True
        self.connection_budget.set(team.connection_share, 0.0, 0.0, 1.0)
        self.load_budget.set(team.load_share, 0.0, 0.0, 1.0)
        self.teams_over_ceiling[team] = None
        self._forget(team)

    def _forget(self, team: TeamState) -> None:
        if team.gone and not team.connection_share.in_use and self.teams.get(team.name) is team:
            del self.teams[team.name]
            self.teams_over_ceiling.pop(team, None)

    def _at(self, now: float) -> float:
        """A clock that steps back stands still."""
        if now > self.now:
            self.now = now
        return self.now

    # -- asks --------------------------------------------------------------------------------------------

    def admit(self, now: float, owner: object, team_name: str, class_name: str, key: str) -> Lease | Refusal:
        """A client of a team asks for a connection; ``key`` is the client's, the same each time it asks."""
        team = self.teams.get(team_name)
        if team is None:
            return Refusal("no-contract", "team", self._spread(self.longest))
        return self.admit_for_team(now, owner, team, class_name, key)

    def admit_for_team(
        self, now: float, owner: object, team: TeamState, class_name: str, key: str
    ) -> Lease | Refusal:
        """The same for who has looked the team up."""
        now = self._at(now)
        if team.gone:
            return Refusal("no-contract", "team", self._spread(self.longest))
        cls = team.classes.get(class_name) or self._class(team, class_name)
        if cls is None:
            return Refusal("no-contract", "class", self._spread(self.longest))
        if self.connection_budget.marks or self.load_budget.marks:
            self.connection_budget.expire(now)
            self.load_budget.expire(now)
        busy, mark, due = cls.next > now, 0, None
        if busy:
            mark = self.promises.fingerprint(cls.fingerprint_salt, key)
            due = self.promises.find(mark, now)
        load = self._expected(team) if self.by_load else 0.0
        called = due is not None and now >= due - EARLY
        # Who is owed room need not leave any for those who were promised a place.
        leave = (
            busy
            and not called
            and not (
                self.connection_budget.entitled(team.connection_share, 1.0)
                and team.committed.conforms(now)
                and self.load_budget.entitled(team.load_share, load)
            )
        )
        limit = self._limit(now, team, cls, load, leave)
        if limit is None:
            if due is not None:
                self.promises.drop(mark)
            if called:
                cls.came(True)
            cls.let_in(now)
            return self._take(now, owner, team, cls)
        reason, which, rate = limit
        if which == "fleet":
            self._owe(now, team, load, reason)
        if due is not None and not called:
            # The same time as before: who asks sooner is not let in sooner, nor booked twice.
            return Refusal(reason, which, due - now)
        mark = mark or self.promises.fingerprint(cls.fingerprint_salt, key)
        if not rate:
            rate = cls.rate(now)  # what frees room is not known, but how often there was some
        if called:  # its place came up without room: soon again, not at the end
            cls.came(False)
            place: float | None = now + self.random.uniform(*AGAIN) / max(rate, 1.0 / self.longest)
        else:
            place = cls.book(now, rate, self.longest)
        if place is None or place - now > self.longest:
            return Refusal(reason, which, self._spread(self.longest))
        self.promises.set(mark, place)
        return Refusal(reason, which, place - now)

    def adopt(self, now: float, owner: object, team_name: str, class_name: str) -> Lease | None:
        """Count a connection that stood before this program started, whatever the limits say."""
        now, team = self._at(now), self.teams.get(team_name)
        if team is None or team.gone or (cls := self._class(team, class_name)) is None:
            return None
        return self._hold(owner, team, cls)

    def _class(self, team: TeamState, name: str) -> ClassState | None:
        if name not in team.classes and team.any_class:
            team.classes[name] = ClassState(team.name, name)
        return team.classes.get(name)

    def _expected(self, team: TeamState) -> float:
        """The load that one more connection will bring: that of the team's others, else of all."""
        if team.told:
            return team.load_share.in_use / team.told
        told = sum(one.told for one in self.teams.values())
        return self.load_budget.total / told if told else 0.0

    def _limit(
        self, now: float, team: TeamState, cls: ClassState, load: float, leave: bool
    ) -> tuple[str, str, float] | None:
        """The limit in the way, if any: reason code, which one, and the rate it allows where that is known.

        With ``leave`` the ask has to leave something over, for those who were promised a place.
        """
        peak = cls.rate_limit
        if peak is not None and not (peak.leaves(now, KEEP) if leave else peak.conforms(now)):
            return "over-class", "rate", peak.rate
        peak = team.rate_limit
        if not (peak.leaves(now, KEEP) if leave else peak.conforms(now)):
            return "over-rate", "team", peak.rate
        if not team.committed.conforms(now) and not self._may_borrow(now, team, leave):
            return "over-rate", "fleet", 0.0
        spare = self._spare(team) if leave else 0
        if cls.connections + 1 + spare > cls.max_connections:
            return "over-class", "connections", 0.0
        if team.connection_share.in_use + 1 + spare > team.connection_share.ceiling:
            return "over-connections", "team", 0.0
        if not self.connection_budget.room(team.connection_share, 1.0, spare):
            return "over-connections", "fleet", 0.0
        if self.by_load and team.load_share.in_use + load > team.load_share.ceiling + 1e-9:
            return "over-load", "team", 0.0
        if self.by_load and not self.load_budget.room(team.load_share, load):
            return "over-load", "fleet", 0.0
        return None

    def _spare(self, team: TeamState) -> int:
        """Connections that are left for those who were promised a place."""
        most = min(team.connection_share.ceiling, self.connection_budget.limit)
        return min(MOST_SPARE, math.ceil(SPARE * most)) if most >= SPARE_FROM else 0

    def _may_borrow(self, now: float, team: TeamState, leave: bool) -> bool:
        """May a setup beyond the team's guaranteed rate pass?

        Whoever asks, while next to nothing of the fleet's burst is used; else each up to the fair rate for
        its weight, which rises while half of the burst is unused and falls while less is (the fair share of
        core-stateless fair queueing, Stoica et al. 1998, found by feedback).
        """
        limit = self.rate
        ahead = limit.arrival - now
        unused = 1.0 if ahead <= 0.0 or limit.rate == math.inf else 1.0 - ahead / (limit.burst * limit.step)
        # By time, not by asks: a thousand refused at once say no more than one.
        passed = now - self.fair_at
        if passed > 0.0:
            self.fair_at, setups = now, self.book.setups
            fair = self.fair * (1.0 + FAIR_GAIN * min(FAIR_STEP, passed) * (2.0 * max(0.0, unused) - 1.0))
            self.fair = min(max(fair, 1e-4 * setups), setups)
        if unused >= IDLE:
            return True
        # The fair rate holds the burst about half used: those with no promise must find their share there.
        if not (limit.leaves(now, KEEP / 2.0) if leave else limit.conforms(now)):
            return False
        # What is unused counts at once as well, or the rate and what it leaves would swing round each other.
        rate = self.fair * team.connection_share.weight * (0.5 + unused)
        team.lent_step = 1.0 / rate
        return team.lent - now <= max(0.0, self.book.burst - team.lent_step) + 1e-9

    def _take(self, now: float, owner: object, team: TeamState, cls: ClassState) -> Lease:
        if team.committed.conforms(now):
            team.committed.take(now)
        else:
            team.lent = (team.lent if team.lent > now else now) + team.lent_step
        if cls.rate_limit is not None:
            cls.rate_limit.take(now)
        team.rate_limit.take(now)
        self.rate.take(now)
        self.connection_budget.used(team.connection_share, 1.0)
        return self._hold(owner, team, cls)

    def _hold(self, owner: object, team: TeamState, cls: ClassState) -> Lease:
        cls.connections += 1
        self.connection_budget.add(team.connection_share, 1.0)
        return Lease(owner, team, cls, team.pool)

    def _owe(self, now: float, team: TeamState, load: float, reason: str) -> None:
        until = now + self.longest + KEPT_FOR
        if reason == "over-connections":
            self.connection_budget.mark(until, team.connection_share, 1.0)
        elif reason == "over-load" and load > 0.0:
            self.load_budget.mark(until, team.load_share, load)

    def _spread(self, longest: float) -> float:
        return longest * (0.75 + 0.25 * self.random.random())

    # -- leases ------------------------------------------------------------------------------------------

    def mark_established(self, lease: Lease) -> None:
        """The connection is up: from now on it can be moved."""
        if lease.active:
            team = lease.team
            team.standing[lease] = None
            if team.gone or team.connection_share.exceeds_ceiling():
                self.teams_over_ceiling[team] = None
            if lease.pool != team.pool:
                self.misplaced_leases[lease] = None

    def update_load(self, lease: Lease, figure: float) -> None:
        """The load that it brings now."""
        if not lease.active:
            return
        team, change = lease.team, figure - lease.load
        team.told += not lease.told
        lease.told, lease.load = True, figure
        self.load_budget.add(team.load_share, change)
        if lease.leaving:
            self.load_budget.leave(team.load_share, change)
        if team.load_share.exceeds_ceiling():
            self.teams_over_ceiling[team] = None

    def release(self, lease: Lease) -> None:
        """Give it back; a second time nothing happens."""
        if not lease.active:
            return
        lease.active, team = False, lease.team
        if lease.leaving:
            self.connection_budget.leave(team.connection_share, -1.0)
            self.load_budget.leave(team.load_share, -lease.load)
        lease.class_state.connections -= 1
        self.connection_budget.add(team.connection_share, -1.0)
        if lease.told:
            self.load_budget.add(team.load_share, -lease.load)
            team.told -= 1
        team.standing.pop(lease, None)
        if self.misplaced_leases:
            self.misplaced_leases.pop(lease, None)
        if team.gone:
            self._forget(team)

    # -- reclaiming --------------------------------------------------------------------------------------

    def reclaim_delay_s(self) -> float | None:
        """Seconds until ``step`` should be called, None while nothing has to be moved."""
        return max(STEP, self.pace.wait(self.now)) if self.needs_reclaim() else None

    def needs_reclaim(self) -> bool:
        """Has anything to be moved?"""
        return (
            bool(self.misplaced_leases or self.teams_over_ceiling)
            or self.connection_budget.victim() is not None
            or (self.by_load and self.load_budget.victim() is not None)
        )

    def reclaim(self, now: float) -> list[Lease]:
        """The leases whose clients have to be moved now, as many as the pace allows."""
        now = self._at(now)
        self.connection_budget.expire(now)
        self.load_budget.expire(now)
        moved: list[Lease] = []
        while self.pace.conforms(now) and (lease := next(self._victims(), None)) is not None:
            self.pace.take(now)
            lease.leaving = True
            lease.team.standing.pop(lease, None)
            self.misplaced_leases.pop(lease, None)
            self.connection_budget.leave(lease.team.connection_share, 1.0)
            self.load_budget.leave(lease.team.load_share, lease.load)
            moved.append(lease)
        return moved

    def _victims(self) -> Iterator[Lease]:
        """Who moves next: what is too much by a contract first, then the newest of the richest borrower."""
        for team in list(self.teams_over_ceiling):
            over = team.connection_share.exceeds_ceiling() or team.load_share.exceeds_ceiling()
            if over and team.standing:
                yield next(reversed(team.standing))
            if not over or not team.connection_share.in_use:
                self.teams_over_ceiling.pop(team, None)
        yield from self.misplaced_leases
        for budget in (self.connection_budget, self.load_budget):
            share = budget.victim()
            if share is not None and share.owner.standing:
                yield next(reversed(share.owner.standing))
