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

from snowwick.broker.bookings import AGAIN, EARLY, Promises, Queue
from snowwick.broker.budget import Budget, Share
from snowwick.broker.gcra import Gcra

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
class ClassTerms:
    """A class inside a team: the part of the team's ceiling it may fill, its longest wait in ms."""

    share: float = 1.0
    max_wait: float = math.inf


@dataclass(slots=True, frozen=True)
class Terms:
    """What this balancer enforces for a team: (guarantee, ceiling) pairs; no classes means any class."""

    connections: tuple[float, float]
    setups: tuple[float, float]
    load: tuple[float, float] = (0.0, math.inf)
    weight: float = 1.0
    pool: str = ""
    classes: Mapping[str, ClassTerms] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Book:
    """Everything that this balancer enforces."""

    connections: float
    setups: float
    teams: Mapping[str, Terms]
    load: float = math.inf
    burst: float = 1.0  # s
    within: float = 10.0  # s in which a whole guarantee comes back
    reserve: float = 0.1  # of the unused guarantees


class ClassState(Queue):
    """One class of one team, and the places that are booked for its clients."""

    __slots__ = ("held", "max_wait", "peak", "salt", "seats")

    def __init__(self, team: str, name: str) -> None:
        super().__init__()
        self.held, self.seats, self.max_wait = 0, math.inf, math.inf
        self.peak: Gcra | None = None  # none where the class may use all that the team may
        self.salt = crc32(f"{team}\0{name}\0".encode())


class TeamState:
    """One team: its shares of the resources, its rates, its classes, and what stands, oldest first."""

    __slots__ = (
        "any_class",
        "classes",
        "committed",
        "gone",
        "lent",
        "lent_step",
        "load",
        "name",
        "peak",
        "pool",
        "seats",
        "standing",
        "told",
    )

    def __init__(self, name: str) -> None:
        self.name, self.pool, self.gone, self.any_class, self.told = name, "", False, True, 0
        self.seats, self.load = Share(self), Share(self)
        self.committed, self.peak = Gcra(0.0, 1.0), Gcra(0.0, 1.0)
        self.lent, self.lent_step = -math.inf, 0.0  # as Gcra.arrival and .step, of a rate that always changes
        self.classes: dict[str, ClassState] = {}
        self.standing: dict[Lease, None] = {}


@dataclass(slots=True, eq=False)
class Lease:
    """One connection that was let in; ``owner`` means something to the caller only."""

    owner: object
    team: TeamState
    cls: ClassState
    pool: str
    load: float = 0.0
    told: bool = False
    held: bool = True
    leaving: bool = False


@dataclass(slots=True)
class Refusal:
    """Not let in: the reason code, which limit it was, and the seconds after which to come back."""

    reason: str
    limit: str
    wait: float


class Ledger:
    """One balancer's books."""

    def __init__(self, book: Book, seed: int = 0, longest: float = LONGEST) -> None:
        self.random, self.longest = random.Random(seed), longest if longest > 0 else LONGEST
        self.teams: dict[str, TeamState] = {}
        self.seats, self.loads = Budget(0.0, 0.0, True), Budget(0.0, 0.0, False)
        self.rate, self.pace = Gcra(0.0, 1.0), Gcra(0.0, 1.0)
        self.promises = Promises()
        self.fair = self.fair_at = 0.0  # setups a second that a weight of 1 may borrow while all do; when set
        self.misplaced: dict[Lease, None] = {}  # stand in a pool that is no longer their team's
        self.excess: dict[TeamState, None] = {}  # may be over a ceiling
        self.now = 0.0
        self.apply(book, 0.0)

    # -- contracts ---------------------------------------------------------------------------------------

    def apply(self, book: Book, now: float) -> None:
        """Take other contracts at once.  What stands stays counted; what is too much now is moved in time.

        The pace of moves goes on where it was: two changes in a row allow no more moves than one.
        """
        self.book, now = book, self._at(now)
        self.by_load = book.load < math.inf or any(one.load[1] < math.inf for one in book.teams.values())
        self.seats.limit, self.seats.reserve_part = book.connections, book.reserve
        self.loads.limit, self.loads.reserve_part = book.load, book.reserve
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
        self.seats.shares = self.loads.shares = len(self.teams)
        for budget in (self.seats, self.loads):
            budget.ease()

    def _set(self, team: TeamState, terms: Terms, now: float) -> None:
        burst = self.book.burst
        if terms.pool != team.pool:
            self.misplaced.update(dict.fromkeys(one for one in team.standing if one.pool != terms.pool))
        team.pool, team.gone, team.any_class = terms.pool, False, not terms.classes
        self.seats.set(team.seats, *terms.connections, terms.weight)
        self.loads.set(team.load, *terms.load, terms.weight)
        team.committed.change(now, terms.setups[0], terms.setups[0] * burst)
        team.peak.change(now, terms.setups[1], terms.setups[1] * burst)
        for name in terms.classes:
            team.classes.setdefault(name, ClassState(team.name, name))
        for name in [name for name in team.classes if name not in terms.classes and terms.classes]:
            del team.classes[name]  # its leases hold on to it
        for name, cls in team.classes.items():
            self._set_class(cls, terms, terms.classes.get(name, ClassTerms()), now)
        self.excess[team] = None

    def _set_class(self, cls: ClassState, terms: Terms, own: ClassTerms, now: float) -> None:
        cls.max_wait = own.max_wait
        if own.share >= 1.0:
            cls.peak, cls.seats = None, math.inf
            return
        rate = own.share * terms.setups[1]
        cls.seats = max(1.0, math.floor(own.share * terms.connections[1] + 1e-9))
        cls.peak = cls.peak or Gcra(rate, rate * self.book.burst)
        cls.peak.change(now, rate, rate * self.book.burst)

    def _drop(self, team: TeamState) -> None:
        """A removed team keeps its name in the books until the last that it holds has gone."""
        team.gone = True
        self.seats.set(team.seats, 0.0, 0.0, 1.0)
        self.loads.set(team.load, 0.0, 0.0, 1.0)
        self.excess[team] = None
        self._forget(team)

    def _forget(self, team: TeamState) -> None:
        if team.gone and not team.seats.held and self.teams.get(team.name) is team:
            del self.teams[team.name]
            self.excess.pop(team, None)

    def _at(self, now: float) -> float:
        """A clock that steps back stands still."""
        if now > self.now:
            self.now = now
        return self.now

    # -- asks --------------------------------------------------------------------------------------------

    def ask(self, now: float, owner: object, team_name: str, class_name: str, key: str) -> Lease | Refusal:
        """A client of a team asks for a connection; ``key`` is the client's, the same each time it asks."""
        team = self.teams.get(team_name)
        if team is None:
            return Refusal("no-contract", "team", self._spread(self.longest))
        return self.ask_of(now, owner, team, class_name, key)

    def ask_of(
        self, now: float, owner: object, team: TeamState, class_name: str, key: str
    ) -> Lease | Refusal:
        """The same for who has looked the team up."""
        now = self._at(now)
        if team.gone:
            return Refusal("no-contract", "team", self._spread(self.longest))
        cls = team.classes.get(class_name) or self._class(team, class_name)
        if cls is None:
            return Refusal("no-contract", "class", self._spread(self.longest))
        if self.seats.marks or self.loads.marks:
            self.seats.expire(now)
            self.loads.expire(now)
        busy, mark, due = cls.next > now, 0, None
        if busy:
            mark = self.promises.fingerprint(cls.salt, key)
            due = self.promises.find(mark, now)
        load = self._expected(team) if self.by_load else 0.0
        called = due is not None and now >= due - EARLY
        # Who is owed room need not leave any for those who were promised a place.
        leave = (
            busy
            and not called
            and not (
                self.seats.entitled(team.seats, 1.0)
                and team.committed.conforms(now)
                and self.loads.entitled(team.load, load)
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
        mark = mark or self.promises.fingerprint(cls.salt, key)
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
            return team.load.held / team.told
        told = sum(one.told for one in self.teams.values())
        return self.loads.total / told if told else 0.0

    def _limit(
        self, now: float, team: TeamState, cls: ClassState, load: float, leave: bool
    ) -> tuple[str, str, float] | None:
        """The limit in the way, if any: reason code, which one, and the rate it allows where that is known.

        With ``leave`` the ask has to leave something over, for those who were promised a place.
        """
        peak = cls.peak
        if peak is not None and not (peak.leaves(now, KEEP) if leave else peak.conforms(now)):
            return "over-class", "rate", peak.rate
        peak = team.peak
        if not (peak.leaves(now, KEEP) if leave else peak.conforms(now)):
            return "over-rate", "team", peak.rate
        if not team.committed.conforms(now) and not self._may_borrow(now, team, leave):
            return "over-rate", "fleet", 0.0
        spare = self._spare(team) if leave else 0
        if cls.held + 1 + spare > cls.seats:
            return "over-class", "connections", 0.0
        if team.seats.held + 1 + spare > team.seats.ceiling:
            return "over-connections", "team", 0.0
        if not self.seats.room(team.seats, 1.0, spare):
            return "over-connections", "fleet", 0.0
        if self.by_load and team.load.held + load > team.load.ceiling + 1e-9:
            return "over-load", "team", 0.0
        if self.by_load and not self.loads.room(team.load, load):
            return "over-load", "fleet", 0.0
        return None

    def _spare(self, team: TeamState) -> int:
        """Connections that are left for those who were promised a place."""
        most = min(team.seats.ceiling, self.seats.limit)
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
        rate = self.fair * team.seats.weight * (0.5 + unused)
        team.lent_step = 1.0 / rate
        return team.lent - now <= max(0.0, self.book.burst - team.lent_step) + 1e-9

    def _take(self, now: float, owner: object, team: TeamState, cls: ClassState) -> Lease:
        if team.committed.conforms(now):
            team.committed.take(now)
        else:
            team.lent = (team.lent if team.lent > now else now) + team.lent_step
        if cls.peak is not None:
            cls.peak.take(now)
        team.peak.take(now)
        self.rate.take(now)
        self.seats.used(team.seats, 1.0)
        return self._hold(owner, team, cls)

    def _hold(self, owner: object, team: TeamState, cls: ClassState) -> Lease:
        cls.held += 1
        self.seats.add(team.seats, 1.0)
        return Lease(owner, team, cls, team.pool)

    def _owe(self, now: float, team: TeamState, load: float, reason: str) -> None:
        until = now + self.longest + KEPT_FOR
        if reason == "over-connections":
            self.seats.mark(until, team.seats, 1.0)
        elif reason == "over-load" and load > 0.0:
            self.loads.mark(until, team.load, load)

    def _spread(self, longest: float) -> float:
        return longest * (0.75 + 0.25 * self.random.random())

    # -- leases ------------------------------------------------------------------------------------------

    def stands(self, lease: Lease) -> None:
        """The connection is up: from now on it can be moved."""
        if lease.held:
            team = lease.team
            team.standing[lease] = None
            if team.gone or team.seats.over_ceiling():
                self.excess[team] = None
            if lease.pool != team.pool:
                self.misplaced[lease] = None

    def load(self, lease: Lease, figure: float) -> None:
        """The load that it brings now."""
        if not lease.held:
            return
        team, change = lease.team, figure - lease.load
        team.told += not lease.told
        lease.told, lease.load = True, figure
        self.loads.add(team.load, change)
        if lease.leaving:
            self.loads.leave(team.load, change)
        if team.load.over_ceiling():
            self.excess[team] = None

    def release(self, lease: Lease) -> None:
        """Give it back; a second time nothing happens."""
        if not lease.held:
            return
        lease.held, team = False, lease.team
        if lease.leaving:
            self.seats.leave(team.seats, -1.0)
            self.loads.leave(team.load, -lease.load)
        lease.cls.held -= 1
        self.seats.add(team.seats, -1.0)
        if lease.told:
            self.loads.add(team.load, -lease.load)
            team.told -= 1
        team.standing.pop(lease, None)
        if self.misplaced:
            self.misplaced.pop(lease, None)
        if team.gone:
            self._forget(team)

    # -- reclaiming --------------------------------------------------------------------------------------

    def due(self) -> float | None:
        """Seconds until ``step`` should be called, None while nothing has to be moved."""
        return max(STEP, self.pace.wait(self.now)) if self.needs_step() else None

    def needs_step(self) -> bool:
        """Has anything to be moved?"""
        return (
            bool(self.misplaced or self.excess)
            or self.seats.victim() is not None
            or (self.by_load and self.loads.victim() is not None)
        )

    def step(self, now: float) -> list[Lease]:
        """The leases whose clients have to be moved now, as many as the pace allows."""
        now = self._at(now)
        self.seats.expire(now)
        self.loads.expire(now)
        moved: list[Lease] = []
        while self.pace.conforms(now) and (lease := next(self._victims(), None)) is not None:
            self.pace.take(now)
            lease.leaving = True
            lease.team.standing.pop(lease, None)
            self.misplaced.pop(lease, None)
            self.seats.leave(lease.team.seats, 1.0)
            self.loads.leave(lease.team.load, lease.load)
            moved.append(lease)
        return moved

    def _victims(self) -> Iterator[Lease]:
        """Who moves next: what is too much by a contract first, then the newest of the richest borrower."""
        for team in list(self.excess):
            over = team.seats.over_ceiling() or team.load.over_ceiling()
            if over and team.standing:
                yield next(reversed(team.standing))
            if not over or not team.seats.held:
                self.excess.pop(team, None)
        yield from self.misplaced
        for budget in (self.seats, self.loads):
            share = budget.victim()
            if share is not None and share.owner.standing:
                yield next(reversed(share.owner.standing))
