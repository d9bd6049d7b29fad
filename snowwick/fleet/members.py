"""Membership by SWIM (Das et al., 2002) with Lifeguard's extensions (Dadgar et al., 2018).

Each period one member is probed, in rounds over a shuffled list.  A member that does not answer is probed
through other members, then suspected, and declared dead when the suspicion times out.  A suspected member
refutes the suspicion with a higher incarnation.  A member that itself misses answers probes more slowly and
waits longer (local health).  Times are in seconds on the caller's clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from snowwick.fleet.wire import Member

# Member states; their numbers are sent in frames, and of two states at one incarnation the higher one wins
ALIVE = 0
SUSPECT = 1
DEAD = 2
LEFT = 3
STATE_NAMES = ("alive", "suspect", "dead", "left")
INDIRECT_PROBES = 3  # members that are asked to ping a member that did not answer (SWIM's k)
ACK_TIMEOUT_FRACTION = 0.4  # of a probe period, after which a missing ack starts the indirect probes
# Lifeguard's alpha: the shortest suspicion timeout is this many probe periods, times log10 of the number of
# members
SUSPICION_FACTOR = 4.0
# Long enough that a process that was stopped for two seconds can refute the suspicion
MIN_SUSPICION_S = 3.0
MAX_SUSPICION_FACTOR = 3.0  # Lifeguard's beta: the longest suspicion timeout over the shortest
MAX_CONFIRMATIONS = 3  # after this many at the latest, the suspicion timeout is the shortest one
# Upper limit of the local health score; the probe period is multiplied by the score plus one
MAX_LOCAL_HEALTH = 8
# Pings that the whole fleet sends to dead members in a probe period, to detect a healed partition soon
DEAD_PINGS_PER_PERIOD = 4.0
DEAD_RETENTION_S = 600.0  # of records of dead and left members; longer than any frame can be delayed
RETRANSMIT_FACTOR = 3.0  # each member sends a change this many times log2 of the number of members


@dataclass(slots=True)
class MemberRecord:
    """The state of one member as recorded at this balancer; ``boot`` identifies the member's start."""

    name: str
    address: str
    incarnation: int
    boot: int
    state: int = ALIVE
    state_since: float = 0.0  # when the state was recorded, in seconds
    suspected_by: set[str] = field(default_factory=set)  # members that reported the current suspicion

    def member(self) -> Member:
        """The record as a membership update, which is sent in frames."""
        return Member(self.name, self.address, self.incarnation, self.state, self.boot)


@dataclass(slots=True)
class ActiveProbe:
    """A probe that waits for an ack."""

    name: str
    number: int
    indirect_at: float  # when the indirect probes start; infinite once they have
    fails_at: float  # when the probe fails unless an ack has come
    # Members asked for an indirect probe that have sent neither ack nor nack
    pending_helpers: set[str] = field(default_factory=set)


@dataclass(slots=True)
class MemberChange:
    """A recorded change of a member's state or start; ``previous_state`` is -1 for a new member."""

    member: Member
    previous_state: int


class Membership:
    """The membership as one member, the local one, has recorded it, and the probes of that member."""

    def __init__(
        self, name: str, address: str, incarnation: int, boot: int, period_s: float, rng: random.Random
    ) -> None:
        """``boot`` is a random number that identifies this start; ``period_s`` is the probe period."""
        self.rng, self.period_s = rng, period_s
        self.local = MemberRecord(name, address, incarnation, boot)
        self.records: dict[str, MemberRecord] = {}
        self.probe_order: list[str] = []  # members still to probe in this round, the next one last
        self.active_probe: ActiveProbe | None = None
        self.next_probe = 0.0  # when the next probe is due; 0 before the first one
        self.local_health = 0  # Lifeguard's score: 0 is healthy, a higher one slows down probing
        self.last_probe_number = 0
        # Members whose state is queued for gossip, and how often it was sent
        self.gossip_queue: dict[str, int] = {}
        self.changes: list[MemberChange] = []
        # Indirect probes made for others, by probe number: the requester, its probe number and the deadline
        self.relayed_probes: dict[int, tuple[str, int, float]] = {}

    # -- reading -----------------------------------------------------------------------------------------

    def alive(self) -> list[MemberRecord]:
        """All other members that are alive or suspected."""
        return [record for record in self.records.values() if record.state <= SUSPECT]

    def is_member(self, name: str) -> bool:
        """Whether this is the local member or one that is alive or suspected."""
        if name == self.local.name:
            return True
        record = self.records.get(name)
        return record is not None and record.state <= SUSPECT

    def boot_of(self, name: str) -> int:
        """The boot number on record for a member, 0 where there is none."""
        record = self.records.get(name)
        return record.boot if record is not None else 0

    def log2_size(self) -> float:
        """Log2 of the number of members, at least 1."""
        return max(1.0, math.log2(2 + len(self.alive())))

    def suspicion_timeout(self, record: MemberRecord) -> float:
        """Seconds from a suspicion until the member is declared dead; each confirmation shortens it."""
        size = len(self.alive()) + 1
        shortest = SUSPICION_FACTOR * max(1.0, math.log10(max(size, 1))) * self.period_s
        shortest, longest = (
            max(shortest, MIN_SUSPICION_S),
            max(MAX_SUSPICION_FACTOR * shortest, MIN_SUSPICION_S),
        )
        expected_confirmations = max(1, min(MAX_CONFIRMATIONS, size - 2))
        confirmations = min(len(record.suspected_by) - 1, expected_confirmations)
        return max(
            shortest,
            longest
            - (longest - shortest) * math.log(confirmations + 1) / math.log(expected_confirmations + 1),
        )

    # -- updates -----------------------------------------------------------------------------------------

    def receive_update(self, update: Member, source: str, now: float) -> None:
        """Apply an update that the member ``source`` sent about another member or itself."""
        if update.name == self.local.name:
            self._receive_update_of_self(update)
            return
        old = self.records.get(update.name)
        if old is None:
            if update.state <= SUSPECT or update.state == LEFT:
                self._set_state(update, now, source)
            return
        if update.boot != old.boot and update.incarnation > old.incarnation:  # restarted
            self._set_state(update, now, source)
        elif update.boot != old.boot:
            return
        elif update.state == SUSPECT and old.state == SUSPECT and update.incarnation >= old.incarnation:
            if source not in old.suspected_by and len(old.suspected_by) <= MAX_CONFIRMATIONS:
                old.suspected_by.add(source)
                # Gossiped again, as a confirmation shortens the suspicion timeout at other members too
                self.gossip_queue[update.name] = 0
            old.incarnation = max(old.incarnation, update.incarnation)
        elif (update.incarnation, update.state) > (old.incarnation, old.state) and not (
            old.state >= DEAD and update.state == SUSPECT
        ):
            self._set_state(update, now, source)

    def _set_state(self, update: Member, now: float, source: str) -> None:
        """Replace a member's record, queue it for gossip, and add a ``MemberChange``."""
        old = self.records.get(update.name)
        previous_state = old.state if old is not None else -1
        suspected_by = {source} if update.state == SUSPECT else set()
        self.records[update.name] = MemberRecord(
            update.name, update.address, update.incarnation, update.boot, update.state, now, suspected_by
        )
        if old is None or previous_state >= DEAD > update.state:
            self.probe_order.insert(self.rng.randint(0, len(self.probe_order)), update.name)
        self.gossip_queue[update.name] = 0
        if previous_state != update.state or (old is not None and old.boot != update.boot):
            self.changes.append(MemberChange(update, previous_state))

    def _receive_update_of_self(self, update: Member) -> None:
        """Raise the local incarnation where an update contradicts the local member's state or start."""
        local = self.local
        if update.boot != local.boot:
            # The update is about an earlier start of this balancer, or about another process with its name.
            # In both cases the local incarnation has to be the higher one.  A ping shows whether the other
            # process still runs (node.py).
            if update.state <= SUSPECT or update.incarnation >= local.incarnation:
                local.incarnation = max(local.incarnation, update.incarnation + 1)
                self.gossip_queue[local.name] = 0
            return
        if update.state != ALIVE and update.incarnation >= local.incarnation and local.state == ALIVE:
            local.incarnation = update.incarnation + 1  # refutes the update
            self.local_health = min(MAX_LOCAL_HEALTH, self.local_health + 1)
            self.gossip_queue[local.name] = 0

    def record_contact(self, name: str, address: str, incarnation: int, boot: int, now: float) -> None:
        """Record that a frame has come from a member, which shows that the member is alive."""
        if name != self.local.name:
            self.receive_update(Member(name, address, incarnation, ALIVE, boot), name, now)

    def leave(self) -> None:
        """Mark the local member as left, and queue that for gossip."""
        self.local.state = LEFT
        self.gossip_queue[self.local.name] = 0

    # -- probing -----------------------------------------------------------------------------------------

    def tick(self, now: float) -> Iterator[tuple[str, str, int]]:
        """Yield the frames to send now as (action, receiver, probe number) and expire old states.

        The action ``ping`` pings the receiver; ``ask`` asks it for an indirect probe of the probed member.
        The number 0 belongs to no probe.
        """
        self._expire_states(now)
        probe = self.active_probe
        if probe is not None and now >= probe.fails_at:
            self.active_probe = None
            self._probe_failed(probe, now)
            probe = None
        if probe is not None and now >= probe.indirect_at:
            probe.indirect_at = math.inf
            others = [record.name for record in self.alive() if record.name != probe.name]
            for name in self.rng.sample(others, min(INDIRECT_PROBES, len(others))):
                probe.pending_helpers.add(name)
                yield "ask", name, probe.number
            yield "ping", probe.name, probe.number  # a second ping, as the first may have been lost
        if now < self.next_probe or self.active_probe is not None:
            return
        interval = self.period_s * (1 + self.local_health)
        self.next_probe = max(now, self.next_probe + interval) if self.next_probe else now + interval
        target = self._next_probe_target()
        if target is not None:
            self.last_probe_number += 1
            self.active_probe = ActiveProbe(
                target, self.last_probe_number, now + ACK_TIMEOUT_FRACTION * interval, now + interval
            )
            yield "ping", target, self.last_probe_number
        dead = [record.name for record in self.records.values() if record.state == DEAD]
        if dead and self.rng.random() < DEAD_PINGS_PER_PERIOD / (len(self.alive()) + 1):
            yield "ping", self.rng.choice(dead), 0

    def next_due(self) -> float:
        """The time at which ``tick`` has to be called next."""
        probe = self.active_probe
        times = [probe.indirect_at, probe.fails_at] if probe is not None else [self.next_probe]
        times += [
            record.state_since + self.suspicion_timeout(record)
            for record in self.records.values()
            if record.state == SUSPECT
        ]
        return min(times)

    def _next_probe_target(self) -> str | None:
        """The next member to probe: each once per round, in random order (SWIM 4.3)."""
        while self.probe_order:
            name = self.probe_order.pop()
            if name in self.records and self.records[name].state <= SUSPECT:
                return name
        self.probe_order = [record.name for record in self.alive()]
        self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    def _expire_states(self, now: float) -> None:
        """Declare members dead whose suspicion has timed out, and remove old records of dead or left ones."""
        for record in list(self.records.values()):
            if record.state == SUSPECT and now >= record.state_since + self.suspicion_timeout(record):
                self._set_state(
                    Member(record.name, record.address, record.incarnation, DEAD, record.boot),
                    now,
                    self.local.name,
                )
            elif record.state >= DEAD and now >= record.state_since + DEAD_RETENTION_S:
                del self.records[record.name]
                self.gossip_queue.pop(record.name, None)

    def probe_acked(self, number: int) -> None:
        """Record an ack of the active probe, from the probed member or through a helper."""
        if self.active_probe is not None and number == self.active_probe.number:
            self.active_probe = None
            self.local_health = max(0, self.local_health - 1)

    def probe_nacked(self, number: int, helper: str) -> None:
        """Record that a helper got no ack either, so the local member's link is not the cause."""
        if self.active_probe is not None and number == self.active_probe.number:
            self.active_probe.pending_helpers.discard(helper)

    def _probe_failed(self, probe: ActiveProbe, now: float) -> None:
        """Suspect the probed member, or confirm its suspicion."""
        # Where a helper sent neither ack nor nack, the local member may be at fault (Lifeguard's LHA-Probe)
        self.local_health = (
            min(MAX_LOCAL_HEALTH, self.local_health + 1) if probe.pending_helpers else self.local_health
        )
        record = self.records.get(probe.name)
        if record is not None and record.state == ALIVE:
            self._set_state(
                Member(record.name, record.address, record.incarnation, SUSPECT, record.boot),
                now,
                self.local.name,
            )
        elif record is not None and record.state == SUSPECT and self.local.name not in record.suspected_by:
            record.suspected_by.add(self.local.name)
            self.gossip_queue[record.name] = 0

    # -- gossip ------------------------------------------------------------------------------------------

    def members_to_gossip(self) -> Iterable[Member]:
        """The queued updates, the least often sent first.

        The caller takes what fits a frame and calls ``count_transmission`` for each update that it sends.
        """
        max_transmissions = math.ceil(RETRANSMIT_FACTOR * self.log2_size())
        for name in [name for name, sent in self.gossip_queue.items() if sent >= max_transmissions]:
            del self.gossip_queue[name]
        for name in sorted(self.gossip_queue, key=lambda name: self.gossip_queue[name]):
            record = self.local if name == self.local.name else self.records[name]
            yield record.member()

    def count_transmission(self, name: str) -> None:
        """Record that a member's state was sent once more."""
        if name in self.gossip_queue:
            self.gossip_queue[name] += 1
