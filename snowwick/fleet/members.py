"""Membership by SWIM (Das et al., 2002) with Lifeguard's refinements (Dadgar et al., 2018).

One member is probed a period, in rounds over a shuffled list; who does not answer is asked for through
others, then suspected, and declared dead only once the suspicion has stood for its time.  Incarnations let
a suspected member refute.  A member that misses answers itself probes more slowly and waits longer (local
health).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from snowwick.fleet.wire import Member

ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATES = ("alive", "suspect", "dead", "left")
INDIRECT = 3  # members asked to probe in one's stead (SWIM's k)
ANSWER = 0.4  # of a period that a direct answer may take before others are asked
SUSPICION = 4.0  # Lifeguard's alpha: least suspicion time in periods, times log10 of the members, at least 1
PAUSE = 3.0  # s that a suspicion stands at least: one that is stopped for two seconds goes on and refutes it
LONGER = 3.0  # Lifeguard's beta: the most suspicion time over the least
CONFIRM = 3  # further accusers that take it from the most to the least
SICK = 8  # most of the local health's count: probing slows down by up to so many times, and one
# Dead members that the whole fleet together calls again a period: halves that were apart meet soon
AGAIN = 4.0
REMEMBERED = 600.0  # s that the dead are remembered: longer than any frame is under way
FANOUT = 3.0  # times log2 of the members that a change is passed on by each that hears of it


@dataclass(slots=True)
class Record:
    """A member as it is known here."""

    name: str
    address: str
    incarnation: int
    boot: int
    state: int = ALIVE
    since: float = 0.0
    accusers: set[str] = field(default_factory=set)

    def member(self) -> Member:
        return Member(self.name, self.address, self.incarnation, self.state, self.boot)


@dataclass(slots=True)
class Probing:
    """A probe that is out; times in s."""

    name: str
    number: int
    late: float  # when others are asked
    end: float  # when it has failed
    asked: set[str] = field(default_factory=set)  # who was asked to probe in our stead, and owes an answer


@dataclass(slots=True)
class Change:
    """A member's state has changed here; ``was`` is -1 for one that is new."""

    member: Member
    was: int


class Members:
    """The members as one of them sees them."""

    def __init__(
        self, name: str, address: str, incarnation: int, boot: int, period: float, rng: random.Random
    ) -> None:
        self.random, self.period = rng, period
        self.me = Record(name, address, incarnation, boot)
        self.records: dict[str, Record] = {}
        self.turns: list[str] = []
        self.probing: Probing | None = None
        self.next = 0.0
        self.sick = 0
        self.number = 0
        self.rumours: dict[str, int] = {}  # names whose state is passed on, and how often it was
        self.changes: list[Change] = []
        # Probes made for others: who asked, its number, until
        self.relayed: dict[int, tuple[str, int, float]] = {}

    # -- what is known -----------------------------------------------------------------------------------

    def alive(self) -> list[Record]:
        """The others that are believed to be there, suspected ones too."""
        return [one for one in self.records.values() if one.state <= SUSPECT]

    def is_there(self, name: str) -> bool:
        if name == self.me.name:
            return True
        one = self.records.get(name)
        return one is not None and one.state <= SUSPECT

    def boot_of(self, name: str) -> int:
        one = self.records.get(name)
        return one.boot if one is not None else 0

    def scale(self) -> float:
        """Log2 of the members, at least 1."""
        return max(1.0, math.log2(2 + len(self.alive())))

    def suspicion(self, record: Record) -> float:
        """How many s a suspicion stands: less with each that confirms it."""
        n = len(self.alive()) + 1
        least = SUSPICION * max(1.0, math.log10(max(n, 1))) * self.period
        least, most = max(least, PAUSE), max(LONGER * least, PAUSE)
        k = max(1, min(CONFIRM, n - 2))
        confirmed = min(len(record.accusers) - 1, k)
        return max(least, most - (most - least) * math.log(confirmed + 1) / math.log(k + 1))

    # -- hearing -----------------------------------------------------------------------------------------

    def hear(self, said: Member, by: str, now: float) -> None:
        """Take in what a member says of another, or of itself."""
        if said.name == self.me.name:
            self._of_me(said)
            return
        old = self.records.get(said.name)
        if old is None:
            if said.state <= SUSPECT or said.state == LEFT:
                self._set(said, now, by)
            return
        if said.boot != old.boot and said.incarnation > old.incarnation:  # it has started anew
            self._set(said, now, by)
        elif said.boot != old.boot:
            return
        elif said.state == SUSPECT and old.state == SUSPECT and said.incarnation >= old.incarnation:
            if by not in old.accusers and len(old.accusers) <= CONFIRM:
                old.accusers.add(by)
                self.rumours[said.name] = 0  # a new accuser is news: it shortens the suspicion elsewhere
            old.incarnation = max(old.incarnation, said.incarnation)
        elif (said.incarnation, said.state) > (old.incarnation, old.state) and not (
            old.state >= DEAD and said.state == SUSPECT
        ):
            self._set(said, now, by)

    def _set(self, said: Member, now: float, by: str) -> None:
        old = self.records.get(said.name)
        was = old.state if old is not None else -1
        accusers = {by} if said.state == SUSPECT else set()
        self.records[said.name] = Record(
            said.name, said.address, said.incarnation, said.boot, said.state, now, accusers
        )
        if old is None or was >= DEAD > said.state:
            self.turns.insert(self.random.randint(0, len(self.turns)), said.name)
        self.rumours[said.name] = 0
        if was != said.state or (old is not None and old.boot != said.boot):
            self.changes.append(Change(said, was))

    def _of_me(self, said: Member) -> None:
        me = self.me
        if said.boot != me.boot:
            # An earlier start of this balancer, or another process of its name.  Either way ours must be
            # higher to count; where the other still answers, the conflict is found by calling it (node.py).
            if said.state <= SUSPECT or said.incarnation >= me.incarnation:
                me.incarnation = max(me.incarnation, said.incarnation + 1)
                self.rumours[me.name] = 0
            return
        if said.state != ALIVE and said.incarnation >= me.incarnation and me.state == ALIVE:
            me.incarnation = said.incarnation + 1  # refuted
            self.sick = min(SICK, self.sick + 1)
            self.rumours[me.name] = 0

    def met(self, name: str, address: str, incarnation: int, boot: int, now: float) -> None:
        """A frame came from it, so it is there."""
        if name != self.me.name:
            self.hear(Member(name, address, incarnation, ALIVE, boot), name, now)

    def leave(self) -> None:
        """This balancer goes: said once more than anything else."""
        self.me.state = LEFT
        self.rumours[self.me.name] = 0

    # -- probing -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> Iterator[tuple[str, str, int]]:
        """What to send now: (``ping`` or ``ask``, to whom, number); ``ask`` asks it to probe the one
        probed.
        """
        self._judge(now)
        probe = self.probing
        if probe is not None and now >= probe.end:
            self.probing = None
            self._failed(probe, now)
            probe = None
        if probe is not None and now >= probe.late:
            probe.late = math.inf
            others = [one.name for one in self.alive() if one.name != probe.name]
            for name in self.random.sample(others, min(INDIRECT, len(others))):
                probe.asked.add(name)
                yield "ask", name, probe.number
            yield "ping", probe.name, probe.number  # once more: the first may have been lost
        if now < self.next or self.probing is not None:
            return
        pace = self.period * (1 + self.sick)
        self.next = max(now, self.next + pace) if self.next else now + pace
        turn = self._turn()
        if turn is not None:
            self.number += 1
            self.probing = Probing(turn, self.number, now + ANSWER * pace, now + pace)
            yield "ping", turn, self.number
        lost = [one.name for one in self.records.values() if one.state == DEAD]
        if lost and self.random.random() < AGAIN / (len(self.alive()) + 1):
            yield "ping", self.random.choice(lost), 0

    def due(self) -> float:
        """When ``tick`` has something to do."""
        probe = self.probing
        times = [probe.late, probe.end] if probe is not None else [self.next]
        times += [one.since + self.suspicion(one) for one in self.records.values() if one.state == SUSPECT]
        return min(times)

    def _turn(self) -> str | None:
        """Whose turn it is: each once a round, the rounds in an order of chance (SWIM 4.3)."""
        while self.turns:
            name = self.turns.pop()
            if name in self.records and self.records[name].state <= SUSPECT:
                return name
        self.turns = [one.name for one in self.alive()]
        self.random.shuffle(self.turns)
        return self.turns.pop() if self.turns else None

    def _judge(self, now: float) -> None:
        for one in list(self.records.values()):
            if one.state == SUSPECT and now >= one.since + self.suspicion(one):
                self._set(Member(one.name, one.address, one.incarnation, DEAD, one.boot), now, self.me.name)
            elif one.state >= DEAD and now >= one.since + REMEMBERED:
                del self.records[one.name]
                self.rumours.pop(one.name, None)

    def answered(self, number: int) -> None:
        """The member that is probed has answered, itself or through another."""
        if self.probing is not None and number == self.probing.number:
            self.probing = None
            self.sick = max(0, self.sick - 1)

    def refused(self, number: int, by: str) -> None:
        """One that was asked to probe says that the other does not answer: the fault is not ours."""
        if self.probing is not None and number == self.probing.number:
            self.probing.asked.discard(by)

    def _failed(self, probe: Probing, now: float) -> None:
        # Who was asked and did not even say no may be as far away as the one probed: it may be us (LHA-
        # Probe).
        self.sick = min(SICK, self.sick + 1) if probe.asked else self.sick
        one = self.records.get(probe.name)
        if one is not None and one.state == ALIVE:
            self._set(Member(one.name, one.address, one.incarnation, SUSPECT, one.boot), now, self.me.name)
        elif one is not None and one.state == SUSPECT and self.me.name not in one.accusers:
            one.accusers.add(self.me.name)
            self.rumours[one.name] = 0

    # -- passing on --------------------------------------------------------------------------------------

    def gossip(self) -> Iterable[Member]:
        """What is passed on next, the least often told first; ``told`` counts what went."""
        most = math.ceil(FANOUT * self.scale())
        for name in [name for name, times in self.rumours.items() if times >= most]:
            del self.rumours[name]
        for name in sorted(self.rumours, key=lambda name: self.rumours[name]):
            one = self.me if name == self.me.name else self.records[name]
            yield one.member()

    def told(self, name: str) -> None:
        if name in self.rumours:
            self.rumours[name] += 1
