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
STATE_NAMES = ("alive", "suspect", "dead", "left")
INDIRECT_PROBES = 3  # members asked to probe in one's stead (SWIM's k)
ACK_TIMEOUT_FRACTION = 0.4  # of a period that a direct answer may take before others are asked
SUSPICION_FACTOR = (
    4.0  # Lifeguard's alpha: least suspicion time in periods, times log10 of the members, at least 1
)
MIN_SUSPICION_S = (
    3.0  # s that a suspicion stands at least: one that is stopped for two seconds goes on and refutes it
)
MAX_SUSPICION_FACTOR = 3.0  # Lifeguard's beta: the most suspicion time over the least
MAX_CONFIRMATIONS = 3  # further accusers that take it from the most to the least
MAX_LOCAL_HEALTH = 8  # most of the local health's count: probing slows down by up to so many times, and one
# Dead members that the whole fleet together calls again a period: halves that were apart meet soon
DEAD_PINGS_PER_PERIOD = 4.0
DEAD_RETENTION_S = 600.0  # s that the dead are remembered: longer than any frame is under way
RETRANSMIT_FACTOR = 3.0  # times log2 of the members that a change is passed on by each that hears of it


@dataclass(slots=True)
class MemberRecord:
    """A member as it is known here."""

    name: str
    address: str
    incarnation: int
    boot: int
    state: int = ALIVE
    state_since: float = 0.0
    suspected_by: set[str] = field(default_factory=set)

    def member(self) -> Member:
        return Member(self.name, self.address, self.incarnation, self.state, self.boot)


@dataclass(slots=True)
class ActiveProbe:
    """A probe that is out; times in s."""

    name: str
    number: int
    indirect_at: float  # when others are asked
    fails_at: float  # when it has failed
    pending_helpers: set[str] = field(
        default_factory=set
    )  # who was asked to probe in our stead, and owes an answer


@dataclass(slots=True)
class MemberChange:
    """A member's state has changed here; ``was`` is -1 for one that is new."""

    member: Member
    previous_state: int


class Membership:
    """The members as one of them sees them."""

    def __init__(
        self, name: str, address: str, incarnation: int, boot: int, period: float, rng: random.Random
    ) -> None:
        self.random, self.period = rng, period
        self.local = MemberRecord(name, address, incarnation, boot)
        self.records: dict[str, MemberRecord] = {}
        self.probe_order: list[str] = []
        self.active_probe: ActiveProbe | None = None
        self.next_probe = 0.0
        self.local_health = 0
        self.last_probe_number = 0
        self.gossip_queue: dict[str, int] = {}  # names whose state is passed on, and how often it was
        self.changes: list[MemberChange] = []
        # Probes made for others: who asked, its number, until
        self.relayed_probes: dict[int, tuple[str, int, float]] = {}

    # -- what is known -----------------------------------------------------------------------------------

    def alive(self) -> list[MemberRecord]:
        """The others that are believed to be there, suspected ones too."""
        return [one for one in self.records.values() if one.state <= SUSPECT]

    def is_member(self, name: str) -> bool:
        if name == self.local.name:
            return True
        one = self.records.get(name)
        return one is not None and one.state <= SUSPECT

    def boot_of(self, name: str) -> int:
        one = self.records.get(name)
        return one.boot if one is not None else 0

    def log2_size(self) -> float:
        """Log2 of the members, at least 1."""
        return max(1.0, math.log2(2 + len(self.alive())))

    def suspicion_timeout(self, record: MemberRecord) -> float:
        """How many s a suspicion stands: less with each that confirms it."""
        n = len(self.alive()) + 1
        least = SUSPICION_FACTOR * max(1.0, math.log10(max(n, 1))) * self.period
        least, most = max(least, MIN_SUSPICION_S), max(MAX_SUSPICION_FACTOR * least, MIN_SUSPICION_S)
        k = max(1, min(MAX_CONFIRMATIONS, n - 2))
        confirmed = min(len(record.suspected_by) - 1, k)
        return max(least, most - (most - least) * math.log(confirmed + 1) / math.log(k + 1))

    # -- hearing -----------------------------------------------------------------------------------------

    def receive_update(self, said: Member, by: str, now: float) -> None:
        """Take in what a member says of another, or of itself."""
        if said.name == self.local.name:
            self._receive_update_of_self(said)
            return
        old = self.records.get(said.name)
        if old is None:
            if said.state <= SUSPECT or said.state == LEFT:
                self._set_state(said, now, by)
            return
        if said.boot != old.boot and said.incarnation > old.incarnation:  # it has started anew
            self._set_state(said, now, by)
        elif said.boot != old.boot:
            return
        elif said.state == SUSPECT and old.state == SUSPECT and said.incarnation >= old.incarnation:
            if by not in old.suspected_by and len(old.suspected_by) <= MAX_CONFIRMATIONS:
                old.suspected_by.add(by)
                self.gossip_queue[said.name] = 0  # a new accuser is news: it shortens the suspicion elsewhere
            old.incarnation = max(old.incarnation, said.incarnation)
        elif (said.incarnation, said.state) > (old.incarnation, old.state) and not (
            old.state >= DEAD and said.state == SUSPECT
        ):
            self._set_state(said, now, by)

    def _set_state(self, said: Member, now: float, by: str) -> None:
        old = self.records.get(said.name)
        was = old.state if old is not None else -1
        accusers = {by} if said.state == SUSPECT else set()
        self.records[said.name] = MemberRecord(
            said.name, said.address, said.incarnation, said.boot, said.state, now, accusers
        )
        if old is None or was >= DEAD > said.state:
            self.probe_order.insert(self.random.randint(0, len(self.probe_order)), said.name)
        self.gossip_queue[said.name] = 0
        if was != said.state or (old is not None and old.boot != said.boot):
            self.changes.append(MemberChange(said, was))

    def _receive_update_of_self(self, said: Member) -> None:
        me = self.local
        if said.boot != me.boot:
            # An earlier start of this balancer, or another process of its name.  Either way ours must be
            # higher to count; where the other still answers, the conflict is found by calling it (node.py).
            if said.state <= SUSPECT or said.incarnation >= me.incarnation:
                me.incarnation = max(me.incarnation, said.incarnation + 1)
                self.gossip_queue[me.name] = 0
            return
        if said.state != ALIVE and said.incarnation >= me.incarnation and me.state == ALIVE:
            me.incarnation = said.incarnation + 1  # refuted
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
            self.gossip_queue[me.name] = 0

    def record_contact(self, name: str, address: str, incarnation: int, boot: int, now: float) -> None:
        """A frame came from it, so it is there."""
        if name != self.local.name:
            self.receive_update(Member(name, address, incarnation, ALIVE, boot), name, now)

    def leave(self) -> None:
        """This balancer goes: said once more than anything else."""
        self.local.state = LEFT
        self.gossip_queue[self.local.name] = 0

    # -- probing -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> Iterator[tuple[str, str, int]]:
        """What to send now: (``ping`` or ``ask``, to whom, number); ``ask`` asks it to probe the one
        probed.
        """
        self._expire_states(now)
        probe = self.active_probe
        if probe is not None and now >= probe.fails_at:
            self.active_probe = None
            self._probe_failed(probe, now)
            probe = None
        if probe is not None and now >= probe.indirect_at:
            probe.indirect_at = math.inf
            others = [one.name for one in self.alive() if one.name != probe.name]
            for name in self.random.sample(others, min(INDIRECT_PROBES, len(others))):
                probe.pending_helpers.add(name)
                yield "ask", name, probe.number
            yield "ping", probe.name, probe.number  # once more: the first may have been lost
        if now < self.next_probe or self.active_probe is not None:
            return
        pace = self.period * (1 + self.local_health)
        self.next_probe = max(now, self.next_probe + pace) if self.next_probe else now + pace
        turn = self._next_probe_target()
        if turn is not None:
            self.last_probe_number += 1
            self.active_probe = ActiveProbe(
                turn, self.last_probe_number, now + ACK_TIMEOUT_FRACTION * pace, now + pace
            )
            yield "ping", turn, self.last_probe_number
        lost = [one.name for one in self.records.values() if one.state == DEAD]
        if lost and self.random.random() < DEAD_PINGS_PER_PERIOD / (len(self.alive()) + 1):
            yield "ping", self.random.choice(lost), 0

    def next_due(self) -> float:
        """When ``tick`` has something to do."""
        probe = self.active_probe
        times = [probe.indirect_at, probe.fails_at] if probe is not None else [self.next_probe]
        times += [
            one.state_since + self.suspicion_timeout(one)
            for one in self.records.values()
            if one.state == SUSPECT
        ]
        return min(times)

    def _next_probe_target(self) -> str | None:
        """Whose turn it is: each once a round, the rounds in an order of chance (SWIM 4.3)."""
        while self.probe_order:
            name = self.probe_order.pop()
            if name in self.records and self.records[name].state <= SUSPECT:
                return name
        self.probe_order = [one.name for one in self.alive()]
        self.random.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    def _expire_states(self, now: float) -> None:
        for one in list(self.records.values()):
            if one.state == SUSPECT and now >= one.state_since + self.suspicion_timeout(one):
                self._set_state(
                    Member(one.name, one.address, one.incarnation, DEAD, one.boot), now, self.local.name
                )
            elif one.state >= DEAD and now >= one.state_since + DEAD_RETENTION_S:
                del self.records[one.name]
                self.gossip_queue.pop(one.name, None)

    def probe_acked(self, number: int) -> None:
        """The member that is probed has answered, itself or through another."""
        if self.active_probe is not None and number == self.active_probe.number:
            self.active_probe = None
            self.local_health = max(0, self.local_health - 1)

    def probe_nacked(self, number: int, by: str) -> None:
        """One that was asked to probe says that the other does not answer: the fault is not ours."""
        if self.active_probe is not None and number == self.active_probe.number:
            self.active_probe.pending_helpers.discard(by)

    def _probe_failed(self, probe: ActiveProbe, now: float) -> None:
        # Who was asked and did not even say no may be as far away as the one probed: it may be us (LHA-
        # Probe).
        self.local_health = (
            min(MAX_LOCAL_HEALTH, self.local_health + 1) if probe.pending_helpers else self.local_health
        )
        one = self.records.get(probe.name)
        if one is not None and one.state == ALIVE:
            self._set_state(
                Member(one.name, one.address, one.incarnation, SUSPECT, one.boot), now, self.local.name
            )
        elif one is not None and one.state == SUSPECT and self.local.name not in one.suspected_by:
            one.suspected_by.add(self.local.name)
            self.gossip_queue[one.name] = 0

    # -- passing on --------------------------------------------------------------------------------------

    def members_to_gossip(self) -> Iterable[Member]:
        """What is passed on next, the least often told first; ``told`` counts what went."""
        most = math.ceil(RETRANSMIT_FACTOR * self.log2_size())
        for name in [name for name, times in self.gossip_queue.items() if times >= most]:
            del self.gossip_queue[name]
        for name in sorted(self.gossip_queue, key=lambda name: self.gossip_queue[name]):
            one = self.local if name == self.local.name else self.records[name]
            yield one.member()

    def count_transmission(self, name: str) -> None:
        if name in self.gossip_queue:
            self.gossip_queue[name] += 1
