"""One balancer in the fleet: frames in, frames and news out.  Times are s on the caller's clock.

Puts together the gate, the members and the registers.  Every frame carries, beside its body, what has been
heard of late; comparison (a root hash, then ranges, then rows, then what is missing) finds what was lost.
"""

from __future__ import annotations

import json
import math
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

from snowwick.fleet import wire
from snowwick.fleet.clock import HybridClock, timestamp_ms
from snowwick.fleet.members import ALIVE, LEFT, STATE_NAMES, SUSPECT, Membership
from snowwick.fleet.store import RETRANSMIT_FACTOR, Store
from snowwick.fleet.wire import Frame, FrameDropped

DEAD_REGISTERS_RETENTION_S = (
    30.0  # s that the registers of a dead member are kept: a cut that heals sooner costs no catching up
)
GOSSIP_FANOUT = 2  # members told the news each period, beside the one that is probed
COMPARISON_PERIODS = 1.0  # periods between comparisons with a member drawn by chance
MAX_QUEUED_ENTRIES = 2048  # entries waiting to be passed on; beyond, those told most go
MAX_PULLS = 8  # owners pulled at once from a member
PULL_RETRY_PERIODS = 1.0  # periods after which a pull without an answer is made again
LEAVE_FANOUT = 3  # times that a leaving balancer tells each of some members
STATUS_REPLY_S = 1.0  # s that answers to a tool's question stand
STATUS_PART_BYTES = 1000  # bytes of a tool's answer in a frame


@dataclass(slots=True)
class CaughtUp:
    """News: this balancer has what the others have, for the first time since it started or was alone."""

    after_s: float


@dataclass(slots=True)
class DuplicateName:
    """News: another process has this balancer's name and started before it."""

    address: str


@dataclass(slots=True)
class ActivePull:
    """A pull that is out: the owner's entries are asked of one member, piece after piece."""

    peer: str
    retry_at: float
    received_seqs: set[int] | None  # the numbers that have come, where all of the owner's are asked for


@dataclass(slots=True)
class TrafficCounts:
    """What passed since the start."""

    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dropped: Counter[str] = field(default_factory=Counter)
    shed: int = 0


class Node:
    """The protocol's state; ``seal`` and the socket are the caller's."""

    def __init__(
        self,
        name: str,
        address: str,
        keys: Sequence[bytes],
        seeds: Sequence[str],
        rng: random.Random,
        wall_ms: Callable[[], float],
        period: float = 0.2,
        epoch: int = 0,
    ) -> None:
        """``seeds`` are addresses to join by; ``epoch`` numbers this start, above those of earlier ones."""
        self.name, self.keys, self.seeds, self.random = name, list(keys), list(seeds), rng
        self.wall_ms, self.period = wall_ms, period
        boot = rng.getrandbits(63) | 1
        epoch = epoch or int(wall_ms())
        self.members = Membership(name, address, epoch, boot, period, rng)
        self.store = Store(name, epoch)
        self.replay_filter = wire.ReplayFilter(name, boot)
        self.clock = HybridClock()
        self.counts = TrafficCounts()
        self.seq = 0
        self.outbox: list[tuple[str, bytes]] = []  # (address, datagram)
        self.events: list[object] = []  # members.Change, CaughtUp, DuplicateName
        self.pulls: dict[str, ActivePull] = {}
        self.next_gossip = self.next_comparison = self.next_join = self.next_greeting = 0.0
        self.started_at: float | None = None
        self.caught_up = False
        self.leaving = False
        self.forget_at: dict[str, float] = {}  # members that are gone, by when their registers go
        self.extra_status: Callable[[], dict[str, Any]] = dict
        self.status_replies: dict[int, tuple[float, list[bytes]]] = {}
        self.handlers: dict[type, Callable[[Frame, Any, float], None]] = {
            wire.Ping: self._on_ping,
            wire.Ack: self._on_ack,
            wire.PingReq: self._on_ping_req,
            wire.Nack: self._on_nack,
            wire.RootHash: self._on_root_hash,
            wire.RangeHashes: self._on_range_hashes,
            wire.VersionVector: self._on_version_vector,
            wire.PullRequest: self._on_pull_request,
            wire.PullReply: self._on_pull_reply,
            wire.Gossip: lambda *_: None,
        }

    # -- own registers -----------------------------------------------------------------------------------

    def write(self, kind: int, key: str, value: bytes | None, now: float, left: float = 0.0) -> None:
        """Set or (None) remove an own register; ``left`` in s is how long it may be acted on, 0 for
        always.
        """
        self.store.write(kind, key, value, self.clock.next_timestamp(self.wall_ms()), now, int(1000.0 * left))

    def leave(self, now: float) -> None:
        """Tell some members that this balancer goes; nothing is needed of it after that."""
        self.leaving = True
        self.members.leave()
        alive = [one.name for one in self.members.alive()]
        for name in self.random.sample(alive, min(LEAVE_FANOUT, len(alive))):
            self._send_to_member(name, wire.Gossip(), now)

    # -- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.started_at is None:
            self.started_at = self.next_gossip = self.next_comparison = self.next_join = now
        if self.leaving:
            return
        for what, name, number in self.members.tick(now):
            probe = self.members.active_probe
            if what == "ask" and probe is not None:
                self._send_to_member(name, wire.PingReq(number, probe.name), now)
            else:
                self._ping(name, number, now)
        for number, (asker, theirs, until) in list(self.members.relayed_probes.items()):
            if now >= until:
                del self.members.relayed_probes[number]
                self._send_to_member(asker, wire.Nack(theirs), now)
        if now >= self.next_gossip:
            self.next_gossip = max(now, self.next_gossip + self.period)
            self._gossip(now)
            self.store.expire_tombstones(now)
        if now >= self.next_join:
            self._join(now)
        if now >= self.next_comparison:
            self.next_comparison = max(now, self.next_comparison + COMPARISON_PERIODS * self.period)
            self._start_comparison(now)
        for name, when in list(self.forget_at.items()):
            if now >= when:
                del self.forget_at[name]
                self.store.forget_owner(name)
        self._apply_member_changes(now)

    def next_due(self) -> float:
        """When ``tick`` has something to do next."""
        return min(self.members.next_due(), self.next_gossip, self.next_comparison)

    def _join(self, now: float) -> None:
        """Call the seeds that are not known, more rarely once there are others."""
        self.next_join = now + self.period * (1.0 if not self.members.alive() else 4.0)
        known = {one.address for one in self.members.records.values()} | {self.members.local.address}
        for address in self.seeds:
            if address not in known:
                self._send_frame(address, "", 0, wire.Ping(0), now)

    def _gossip(self, now: float) -> None:
        if not self.members.gossip_queue and not self.store.gossip_queue:
            return
        self.counts.shed += self.store.shed_gossip(MAX_QUEUED_ENTRIES)
        alive = [one.name for one in self.members.alive()]
        for name in self.random.sample(alive, min(GOSSIP_FANOUT, len(alive))):
            self._send_to_member(name, wire.Gossip(), now)

    def _start_comparison(self, now: float) -> None:
        for owner in [owner for owner, one in self.pulls.items() if now >= one.retry_at]:
            del self.pulls[owner]
        alive = [one.name for one in self.members.alive()]
        if alive:
            self._send_to_member(self.random.choice(alive), wire.RootHash(self.store.root_hash()), now)

    # -- sending -----------------------------------------------------------------------------------------

    def _ping(self, name: str, number: int, now: float) -> None:
        one = self.members.records.get(name)
        if one is not None and one.state > SUSPECT:
            # A greeting: it may have started anew, and then knows nobody who could tell it of us.
            self._send_frame(one.address, name, 0, wire.Ping(number), now)
        elif one is not None:
            self._send_to_member(name, wire.Ping(number, one.state == SUSPECT), now)

    def _send_to_member(self, name: str, body: wire.Body, now: float) -> None:
        one = self.members.records.get(name)
        if one is not None:
            self._send_frame(one.address, name, one.boot, body, now)

    def _send_frame(
        self,
        address: str,
        name: str,
        boot: int,
        body: wire.Body,
        now: float,
        members: Sequence[wire.Member] = (),
    ) -> None:
        me, self.seq = self.members.local, self.seq + 1
        frame = Frame(self.name, me.address, me.incarnation, me.boot, self.seq, name, boot, body, [*members])
        room = wire.MAX_FRAME_BYTES - 1 - wire.DIGEST_BYTES - wire.encoded_size(frame) - 6
        if boot and not members:
            room = self._add_members(frame, room, name)
            if not isinstance(body, wire.PullReply):
                self._add_entries(frame, room, now)
        datagram = wire.seal(frame, self.keys[0])
        self.counts.frames_out += 1
        self.counts.bytes_out += len(datagram)
        self.outbox.append((address, datagram))

    def _add_members(self, frame: Frame, room: int, to: str) -> int:
        rumours = list(self.members.members_to_gossip())
        if self.members.records[to].state != ALIVE:  # it has to know, or it cannot refute it
            rumours.insert(0, self.members.records[to].member())
        for member in rumours:
            room -= wire.encoded_size(member)
            if room < 0:
                break
            frame.members.append(member)
            self.members.count_transmission(member.name)
        return room

    def _add_entries(self, frame: Frame, room: int, now: float) -> None:
        for entry in self.store.entries_to_gossip(
            math.ceil(RETRANSMIT_FACTOR * self.members.log2_size()), now
        ):
            room -= wire.encoded_size(entry)
            if room < 0:
                break
            frame.entries.append(entry)
            self.store.count_transmission(entry)

    # -- hearing -----------------------------------------------------------------------------------------

    def receive(self, datagram: bytes, now: float, source: str = "") -> None:
        """Take in a datagram; what is no good is counted and dropped.  ``source`` answers a tool."""
        self.counts.frames_in += 1
        self.counts.bytes_in += len(datagram)
        try:
            frame = wire.unseal(datagram, self.keys)
            if frame.sender == self.name:
                self._on_duplicate_name(frame, now)
                raise FrameDropped("own-name")
            self.replay_filter.check(frame)
        except FrameDropped as dropped:
            self.counts.dropped[dropped.reason] += 1
            if dropped.reason == "replayed":
                self._send_known_incarnation(frame, now)
                self._greet_stale_sender(frame, now)
            return
        if isinstance(frame.body, wire.StatusRequest):
            self._on_status_request(frame.body, now, source)
            return
        self.members.record_contact(frame.sender, frame.address, frame.incarnation, frame.boot, now)
        if self.members.boot_of(frame.sender) != frame.boot:  # an earlier start goes over it by its number
            self._send_known_incarnation(frame, now)
            return
        for member in frame.members:
            if (
                member.name == self.name
                and member.boot != self.members.local.boot
                and member.state <= SUSPECT
                and member.address != self.members.local.address
            ):
                self._send_frame(
                    member.address, self.name, 0, wire.Ping(0), now
                )  # an earlier start, or a twin?
            self.members.receive_update(member, frame.sender, now)
        for entry in frame.entries:
            self._merge_entry(entry, now)
        handler = self.handlers.get(type(frame.body))
        if handler is not None:
            handler(frame, frame.body, now)
        self._apply_member_changes(now)

    def _send_known_incarnation(self, frame: Frame, now: float) -> None:
        """Tell a start whose number is not above an earlier one's, by a clock gone back, that number.

        Nothing that it says counts until it has counted on from there; a replayed greeting costs one answer.
        """
        known = self.members.records.get(frame.sender)
        if isinstance(frame.body, wire.Ping) and known is not None and known.boot != frame.boot:
            self._send_frame(frame.address, frame.sender, frame.boot, wire.Gossip(), now, [known.member()])

    def _greet_stale_sender(self, frame: Frame, now: float) -> None:
        """Who writes to an earlier start of this balancer has not heard of this one, though others may have.

        At most one greeting a period.
        """
        if (
            frame.receiver == self.name
            and frame.receiver_boot
            and frame.receiver_boot != self.members.local.boot
            and now >= self.next_greeting
        ):
            self.next_greeting = now + self.period
            self._send_frame(frame.address, frame.sender, 0, wire.Ping(0), now)

    def _on_duplicate_name(self, frame: Frame, now: float) -> None:
        """A process with this balancer's name is there.  The younger of the two leaves.

        Which is younger shows by the epochs that both draw at their start; the same epoch goes by the boot.
        """
        me = self.members.local
        if frame.boot == me.boot or frame.address == me.address:
            return
        if isinstance(frame.body, wire.Ping):
            # Answered, so that the other finds out as well; its own rule keeps it from answering without end.
            self._send_frame(frame.address, self.name, 0, wire.Ack(self.store.owners[self.name].epoch), now)
        elif isinstance(frame.body, wire.Ack):
            mine = self.store.owners[self.name].epoch
            if (frame.body.number, frame.boot) < (mine, me.boot) and not self.leaving:
                self.leaving = True
                self.events.append(DuplicateName(frame.address))

    def _merge_entry(self, entry: wire.Entry, now: float) -> None:
        if entry.owner == self.name:
            if entry.epoch > self.store.owners[self.name].epoch:
                # Of a later start by its number: this machine's clock has gone back.  Count on from there.
                self.store.adopt_epoch(entry.epoch + 1, now)
        elif self.members.is_member(entry.owner):  # nothing of who is gone comes back by way of a third
            self.clock.observe(entry.timestamp, self.wall_ms())
            self.store.merge_entry(entry, now)

    def _apply_member_changes(self, now: float) -> None:
        for change in self.members.changes:
            self.events.append(change)
            name = change.member.name
            if change.member.state == LEFT:
                self.store.forget_owner(name)
            elif change.member.state > SUSPECT:
                self.forget_at[name] = now + DEAD_REGISTERS_RETENTION_S
            else:
                self.forget_at.pop(name, None)
        self.members.changes.clear()

    def _on_ping(self, frame: Frame, body: wire.Ping, now: float) -> None:
        self._send_to_member(frame.sender, wire.Ack(body.number), now)

    def _on_ack(self, frame: Frame, body: wire.Ack, now: float) -> None:
        relayed = self.members.relayed_probes.pop(body.number, None) if body.number else None
        if relayed is not None:
            self._send_to_member(relayed[0], wire.Ack(relayed[1]), now)
        probe = self.members.active_probe
        if (
            probe is not None
            and body.number == probe.number
            and frame.sender in (probe.name, *probe.pending_helpers)
        ):
            self.members.probe_acked(body.number)

    def _on_ping_req(self, frame: Frame, body: wire.PingReq, now: float) -> None:
        self.members.last_probe_number += 1
        self.members.relayed_probes[self.members.last_probe_number] = (
            frame.sender,
            body.number,
            now + 0.5 * self.period,
        )
        self._ping(body.name, self.members.last_probe_number, now)

    def _on_nack(self, frame: Frame, body: wire.Nack, now: float) -> None:
        self.members.probe_nacked(body.number, frame.sender)

    # -- comparing ---------------------------------------------------------------------------------------

    def _on_root_hash(self, frame: Frame, body: wire.RootHash, now: float) -> None:
        if body.hash == self.store.root_hash():
            self._mark_caught_up(now)
            return
        count = self.store.range_count()
        if count > 1:
            self._send_to_member(frame.sender, wire.RangeHashes(self.store.range_hashes(count)), now)
        else:
            self._send_vector(frame.sender, self.store.summaries(), True, now, 1, [0])

    def _on_range_hashes(self, frame: Frame, body: wire.RangeHashes, now: float) -> None:
        count = len(body.hashes)
        if not 1 <= count <= 1 << 16:
            return
        mine = self.store.range_hashes(count)
        differing = [at for at in range(count) if mine[at] != body.hashes[at]]
        self.random.shuffle(differing)  # where not all rows fit, others come another time
        ranges = differing[:MAX_PULLS]
        self._send_vector(frame.sender, self.store.summaries(set(ranges), count), True, now, count, ranges)

    def _send_vector(
        self,
        to: str,
        rows: list[wire.OwnerSummary],
        answer: bool,
        now: float,
        count: int = 1,
        ranges: Sequence[int] = (),
    ) -> None:
        room, some = wire.MAX_FRAME_BYTES - 300, list[wire.OwnerSummary]()
        self.random.shuffle(rows)
        for row in rows:
            room -= wire.encoded_size(row)
            if room < 0:
                break
            some.append(row)
        self._send_to_member(
            to, wire.VersionVector(some, answer, count, [*ranges] if len(some) == len(rows) else []), now
        )

    def _on_version_vector(self, frame: Frame, body: wire.VersionVector, now: float) -> None:
        if body.wants_reply:
            named = {row.owner for row in body.summaries}
            mine = [owner.summary(name) for name, owner in self.store.owners.items() if name in named]
            # Who stands here and was not named may be unknown there: news that was lost is told again.
            for name, owner in self.store.owners.items():
                if name not in named and owner.id % max(1, body.range_count) in body.ranges:
                    mine.append(owner.summary(name))
                    if name in self.members.records:
                        self.members.gossip_queue[name] = 0
            self._send_vector(frame.sender, mine, False, now)
        for row in body.summaries:
            if row.owner == self.name and row.epoch > self.store.owners[self.name].epoch:
                self.store.adopt_epoch(row.epoch + 1, now)
            if self.members.is_member(row.owner):
                self._start_pull(frame.sender, row, now)

    def _start_pull(self, peer: str, row: wire.OwnerSummary, now: float) -> None:
        if row.owner in self.pulls or len(self.pulls) >= MAX_PULLS:
            return
        wanted = self.store.pull_start(row)
        if wanted is not None:
            after, whole = wanted
            self.pulls[row.owner] = ActivePull(
                peer, now + PULL_RETRY_PERIODS * self.period, set() if whole else None
            )
            self._send_to_member(peer, wire.PullRequest(row.owner, row.epoch, after, whole), now)

    def _on_pull_request(self, frame: Frame, body: wire.PullRequest, now: float) -> None:
        room = wire.MAX_FRAME_BYTES - 260 - len(self.name) - 2 * len(body.owner)
        found = self.store.entries_after(body.owner, body.epoch, body.after, room, now)
        if found is not None:
            row, upto, more, entries = found
            after = body.after if row.epoch == body.epoch else 0
            self._send_to_member(
                frame.sender, wire.PullReply(row, after, upto, more, body.full, entries), now
            )

    def _on_pull_reply(self, frame: Frame, body: wire.PullReply, now: float) -> None:
        name, row = body.summary.owner, body.summary
        pulling = self.pulls.get(name)
        if (
            name == self.name
            or not self.members.is_member(name)
            or pulling is None
            or pulling.peer != frame.sender
        ):
            return
        for entry in body.entries:
            self.clock.observe(entry.timestamp, self.wall_ms())
        self.store.merge_batch(
            row, body.after, body.up_to, [entry for entry in body.entries if entry.owner == name], now
        )
        if pulling.received_seqs is not None:
            pulling.received_seqs.update(entry.seq for entry in body.entries)
        if body.more:
            pulling.retry_at = now + PULL_RETRY_PERIODS * self.period
            self._send_to_member(frame.sender, wire.PullRequest(name, row.epoch, body.up_to, body.full), now)
            return
        if pulling.received_seqs is not None and body.full:
            self.store.keep_only(name, pulling.received_seqs)
        del self.pulls[name]
        wanted = self.store.pull_start(row)
        if wanted is not None and pulling.received_seqs is None and wanted[1]:
            self._start_pull(frame.sender, row, now)

    def _mark_caught_up(self, now: float) -> None:
        if not self.caught_up and self.started_at is not None:
            self.caught_up = True
            self.events.append(CaughtUp(now - self.started_at))

    # -- a tool's question -------------------------------------------------------------------------------

    def _on_status_request(self, body: wire.StatusRequest, now: float, source: str) -> None:
        """Answered to where it came from, in parts, so that no answer is larger than a frame."""
        self.status_replies = {n: row for n, row in self.status_replies.items() if now < row[0]}
        if body.number not in self.status_replies:
            text = json.dumps({**self.describe(now), **self.extra_status()}).encode()
            parts = [text[at : at + STATUS_PART_BYTES] for at in range(0, len(text), STATUS_PART_BYTES)]
            self.status_replies[body.number] = now + STATUS_REPLY_S, parts
        parts = self.status_replies[body.number][1]
        if source and 0 <= body.part < len(parts):
            self._send_frame(
                source, "", 0, wire.StatusReply(body.number, body.part, len(parts), parts[body.part]), now
            )

    def describe(self, now: float) -> dict[str, Any]:
        """How things stand, for ``snowwick fleet status``."""
        me = self.members.local
        rows = [
            {
                "name": me.name,
                "address": me.address,
                "state": "self",
                "incarnation": me.incarnation,
                "entries": len(self.store.owners[self.name].entries),
            }
        ]
        for one in sorted(self.members.records.values(), key=lambda one: one.name):
            owner = self.store.owners.get(one.name)
            rows.append(
                {
                    "name": one.name,
                    "address": one.address,
                    "state": STATE_NAMES[one.state],
                    "incarnation": one.incarnation,
                    "for_s": round(now - one.state_since, 1),
                    "entries": len(owner.entries) if owner is not None else 0,
                }
            )
        kinds: Counter[int] = Counter()
        ages: dict[int, float] = {}
        wall = self.wall_ms()
        for owner in self.store.owners.values():
            for (kind, _), held in owner.entries.items():
                kinds[kind] += 1
                ages[kind] = max(ages.get(kind, 0.0), (wall - timestamp_ms(held.entry.timestamp)) / 1000.0)
        return {
            "name": self.name,
            "members": rows,
            "caught_up": self.caught_up,
            "alone": not self.members.alive(),
            "kinds": {
                str(kind): {"entries": count, "oldest_s": round(ages[kind], 1)}
                for kind, count in sorted(kinds.items())
            },
            "frames_in": self.counts.frames_in,
            "frames_out": self.counts.frames_out,
            "bytes_in": self.counts.bytes_in,
            "bytes_out": self.counts.bytes_out,
            "dropped": dict(self.counts.dropped),
        }

    def take_datagrams(self) -> list[tuple[str, bytes]]:
        """What is to be sent, once."""
        out, self.outbox = self.outbox, []
        return out

    def take_events(self) -> Iterator[object]:
        """What happened, once."""
        news, self.events = self.events, []
        yield from news

    def has_same_registers(self, other: Node) -> bool:
        """Do both hold the same?  For tests and simulations."""
        return self.store.root_hash() == other.store.root_hash()
