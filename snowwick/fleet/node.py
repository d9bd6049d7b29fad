"""The protocol of one balancer in the fleet: datagrams in, datagrams and events out, without I/O.

Combines the replay filter, the membership and the register store.  Every frame to a member whose boot number
is known carries recent updates beside its body (gossip).  Anti-entropy finds updates that were lost: two
members compare a root hash, then the hashes of ranges of owners, then version vectors, and pull the missing
entries.  Times are in seconds on the caller's clock, which is monotonic.

Terms:

- The boot number is a random number that identifies one start of a balancer.  Frames are addressed to the
  boot number of their receiver; 0 stands for an unknown one.
- The epoch orders the starts of one name and versions its registers: entries of a higher epoch replace all
  entries of lower ones.  By default it is the Unix time of the start in ms.
- The incarnation is SWIM's counter, which a member raises to refute a suspicion.  It begins at the epoch, so
  that a restarted member normally has a higher one than its earlier starts.
- The owner of a register is the one balancer that writes it.  A register has a kind (fleet/registers.py), a
  key and a value; an entry is one version of it.
- A range of owners is a bucket: the owners whose id, a hash of their name, has the same remainder modulo the
  number of ranges.
- An incremental pull requests an owner's entries above the sequence number up to which none is missing here.
  A full pull requests all live entries of the owner, and then removes the entries held here that did not
  come.
- The sequence number of an entry counts the writes of its owner; that of a frame counts the frames of its
  sender, for the replay filter.
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

# Registers of a dead member are kept this long, so that a partition that heals sooner needs no new transfer
DEAD_REGISTERS_RETENTION_S = 30.0
GOSSIP_FANOUT = 2  # members that receive gossip each period, beside the one that is probed
COMPARISON_PERIODS = 1.0  # periods between comparisons with a random member
MAX_QUEUED_ENTRIES = 2048  # entries queued for gossip; beyond that the most often sent ones are removed
# Owners whose entries are pulled at the same time; also the ranges whose summaries are sent in answer to
# range hashes
MAX_PULLS = 8
PULL_RETRY_PERIODS = 1.0  # periods without a reply after which a pull is given up and may be made again
LEAVE_FANOUT = 3  # members that a leaving balancer notifies
STATUS_REPLY_S = 1.0  # a status reply is kept this long, so that all its parts come from one snapshot
STATUS_PART_BYTES = 1000  # bytes of a status reply in one frame


@dataclass(slots=True)
class CaughtUp:
    """Event: this balancer has the same registers as another member for the first time since its start."""

    after_s: float  # seconds since the first tick


@dataclass(slots=True)
class DuplicateName:
    """Event: another process uses this balancer's name and started before it."""

    address: str  # the other process's address


@dataclass(slots=True)
class ActivePull:
    """A transfer of one owner's entries from one member, which takes one or more requests."""

    peer: str  # name of the member that sends the entries
    expires_at: float  # given up at the first comparison after this time; each reply extends it
    # Sequence numbers of the entries received in a full pull; None in an incremental one
    received_seqs: set[int] | None


@dataclass(slots=True)
class TrafficCounts:
    """Frames and bytes since the start; ``dropped`` counts received frames by drop reason.

    ``frames_in`` and ``bytes_in`` include dropped frames.  ``shed`` counts entries removed from the gossip
    queue because it was full.
    """

    frames_in: int = 0
    frames_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    dropped: Counter[str] = field(default_factory=Counter)
    shed: int = 0


class Node:
    """The protocol state of one balancer; the caller owns the socket and passes in the time."""

    def __init__(
        self,
        name: str,
        address: str,
        keys: Sequence[bytes],
        seeds: Sequence[str],
        rng: random.Random,
        wall_ms: Callable[[], float],
        period_s: float = 0.2,
        epoch: int = 0,
    ) -> None:
        """Frames are authenticated (not encrypted) with the first of ``keys`` and accepted under any of them.

        ``seeds`` are addresses of members to join; ``wall_ms`` returns Unix time in ms; ``period_s`` is the
        period of probes, gossip and comparisons.  ``epoch`` should be higher than that of earlier starts of
        this name; 0 takes the wall clock in ms.  If it is not higher, the balancer continues from the higher
        epoch and incarnation that other members send back.
        """
        self.name, self.keys, self.seeds, self.rng = name, list(keys), list(seeds), rng
        self.wall_ms, self.period_s = wall_ms, period_s
        boot = rng.getrandbits(63) | 1  # never 0, which stands for an unknown boot number
        epoch = epoch or int(wall_ms())
        self.members = Membership(name, address, epoch, boot, period_s, rng)
        self.store = Store(name, epoch)
        self.replay_filter = wire.ReplayFilter(name, boot)
        self.hybrid_clock = HybridClock()  # timestamps of entries
        self.counts = TrafficCounts()
        self.last_seq = 0  # sequence number of the last frame sent
        self.outbox: list[tuple[str, bytes]] = []  # (address, datagram) to send
        self.events: list[object] = []  # MemberChange, CaughtUp, DuplicateName
        self.pulls: dict[str, ActivePull] = {}  # by owner
        self.next_gossip = self.next_comparison = self.next_join = self.next_ping_to_stale_sender = 0.0
        self.started_at: float | None = None
        self.caught_up = False
        # Once set, ``tick`` starts nothing more, while received frames are still answered
        self.leaving = False
        self.forget_at: dict[str, float] = {}  # when the registers of dead members are removed
        self.extra_status: Callable[[], dict[str, Any]] = dict  # what the caller adds to status replies
        # By number of the request: until when the reply is kept, and its parts.  Two tools that choose the
        # same number within that time get the same reply.
        self.status_replies: dict[int, tuple[float, list[bytes]]] = {}
        # By type of the body; ``receive`` handles status requests itself
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
            wire.Gossip: lambda *_: None,  # the frame's updates and entries are merged before
        }

    # -- own registers -----------------------------------------------------------------------------------

    def write(self, kind: int, key: str, value: bytes | None, now: float, remaining_s: float = 0.0) -> None:
        """Set an own register, or remove it where ``value`` is None.

        ``kind`` is one of the numbers in fleet/registers.py.  Other members ignore the value once
        ``remaining_s`` have passed, though it stays stored; 0 means no limit.  Raises ValueError where the
        value is too long for a frame.
        """
        self.store.write(
            kind, key, value, self.hybrid_clock.next_timestamp(self.wall_ms()), now, int(1000.0 * remaining_s)
        )

    def leave(self, now: float) -> None:
        """Announce to some members that this balancer leaves.

        From then on it sends no probes, gossip or comparisons of its own, but still answers received frames.
        """
        self.leaving = True
        self.members.leave()
        alive = [record.name for record in self.members.alive()]
        for name in self.rng.sample(alive, min(LEAVE_FANOUT, len(alive))):
            self._send_to_member(name, wire.Gossip(), now)

    # -- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Send the probes, gossip, joins and comparisons that are due, and expire old state."""
        if self.started_at is None:
            self.started_at = self.next_gossip = self.next_comparison = self.next_join = now
        if self.leaving:
            return
        for action, name, number in self.members.tick(now):
            # For "ask", ``name`` is a helper that is to ping the probed member; else it is the one to ping.
            probe = self.members.active_probe
            if action == "ask" and probe is not None:
                self._send_to_member(name, wire.PingReq(number, probe.name), now)
            else:
                self._ping(name, number, now)
        for number, (requester, requester_number, deadline) in list(self.members.relayed_probes.items()):
            if now >= deadline:
                del self.members.relayed_probes[number]
                self._send_to_member(requester, wire.Nack(requester_number), now)
        if now >= self.next_gossip:
            self.next_gossip = max(now, self.next_gossip + self.period_s)
            self._gossip(now)
            self.store.expire_tombstones(now)
        if now >= self.next_join:
            self._join(now)
        if now >= self.next_comparison:
            self.next_comparison = max(now, self.next_comparison + COMPARISON_PERIODS * self.period_s)
            self._start_comparison(now)
        for name, deadline in list(self.forget_at.items()):
            if now >= deadline:
                del self.forget_at[name]
                self.store.forget_owner(name)
        self._apply_member_changes(now)

    def next_due(self) -> float:
        """The time at which ``tick`` has to be called next.

        Joins, relayed probes and expiries are checked at these calls, and so up to a period late.  After
        ``leave`` the time is no longer advanced and soon lies in the past.
        """
        return min(self.members.next_due(), self.next_gossip, self.next_comparison)

    def _join(self, now: float) -> None:
        """Ping the seeds that are not known members: each period, or every fourth once a member is known.

        Pings with the number 0 belong to no probe: their ack is not awaited.
        """
        self.next_join = now + self.period_s * (1.0 if not self.members.alive() else 4.0)
        known = {record.address for record in self.members.records.values()} | {self.members.local.address}
        for address in self.seeds:
            if address not in known:
                self._send_frame(address, "", 0, wire.Ping(0), now)

    def _gossip(self, now: float) -> None:
        """Send queued updates to random members."""
        if not self.members.gossip_queue and not self.store.gossip_queue:
            return
        self.counts.shed += self.store.shed_gossip(MAX_QUEUED_ENTRIES)
        alive = [record.name for record in self.members.alive()]
        for name in self.rng.sample(alive, min(GOSSIP_FANOUT, len(alive))):
            self._send_to_member(name, wire.Gossip(), now)

    def _start_comparison(self, now: float) -> None:
        """Give up unanswered pulls and send the root hash to a random member."""
        for owner in [owner for owner, pull in self.pulls.items() if now >= pull.expires_at]:
            del self.pulls[owner]
        alive = [record.name for record in self.members.alive()]
        if alive:
            self._send_to_member(self.rng.choice(alive), wire.RootHash(self.store.root_hash()), now)

    # -- sending -----------------------------------------------------------------------------------------

    def _ping(self, name: str, number: int, now: float) -> None:
        """Ping a member; ``number`` is that of the probe, 0 for none.

        A suspected member also gets its own record (``_add_members``), so that it can refute the suspicion.
        """
        record = self.members.records.get(name)
        if record is not None and record.state > SUSPECT:  # dead or left
            # Sent without a boot number: the member may have restarted and know nobody in the fleet yet.
            self._send_frame(record.address, name, 0, wire.Ping(number), now)
        elif record is not None:
            self._send_to_member(name, wire.Ping(number, record.state == SUSPECT), now)

    def _send_to_member(self, name: str, body: wire.Body, now: float) -> None:
        """Send a frame to a member, addressed to the boot number on record; unknown members are ignored."""
        record = self.members.records.get(name)
        if record is not None:
            self._send_frame(record.address, name, record.boot, body, now)

    def _send_frame(
        self,
        address: str,
        receiver: str,
        receiver_boot: int,
        body: wire.Body,
        now: float,
        members: Sequence[wire.Member] = (),
    ) -> None:
        """Queue a frame to send, filled up with gossip where the receiver's boot number is known (not 0).

        Membership updates given as ``members`` are sent in place of gossip.
        """
        local, self.last_seq = self.members.local, self.last_seq + 1
        frame = Frame(
            self.name,
            local.address,
            local.incarnation,
            local.boot,
            self.last_seq,
            receiver,
            receiver_boot,
            body,
            [*members],
        )
        # 1 byte is the version of the format; 6 are for the longer length fields of lists that are filled up
        room = wire.MAX_FRAME_BYTES - 1 - wire.DIGEST_BYTES - wire.encoded_size(frame) - 6
        if receiver_boot and not members:
            room = self._add_members(frame, room, receiver)
            if not isinstance(body, wire.PullReply):  # a pull reply is filled with the entries that it sends
                self._add_entries(frame, room, now)
        datagram = wire.seal(frame, self.keys[0])
        self.counts.frames_out += 1
        self.counts.bytes_out += len(datagram)
        self.outbox.append((address, datagram))

    def _add_members(self, frame: Frame, room: int, receiver: str) -> int:
        """Add queued membership updates to a frame; returns the bytes that are left.

        The result is negative if an update did not fit; no entries are added to the frame then.
        """
        updates = list(self.members.members_to_gossip())
        if (
            self.members.records[receiver].state != ALIVE
        ):  # it can only refute a suspicion that it has received
            updates.insert(0, self.members.records[receiver].member())
        for member in updates:
            room -= wire.encoded_size(member)
            if room < 0:
                break
            frame.members.append(member)
            self.members.count_transmission(member.name)
        return room

    def _add_entries(self, frame: Frame, room: int, now: float) -> None:
        """Add queued register entries to a frame, as many as fit ``room`` bytes."""
        for entry in self.store.entries_to_gossip(
            math.ceil(RETRANSMIT_FACTOR * self.members.log2_size()), now
        ):
            room -= wire.encoded_size(entry)
            if room < 0:
                break
            frame.entries.append(entry)
            self.store.count_transmission(entry)

    # -- receiving ---------------------------------------------------------------------------------------

    def receive(self, datagram: bytes, now: float, source: str = "") -> None:
        """Process a datagram; an invalid one is counted by its reason and dropped.

        ``source`` is the address that it came from; status replies are sent there.

        The reason "replayed" covers more than repeated frames: also frames addressed to another start of this
        balancer (or to none, except pings, acks and status requests), and frames of a start of the sender
        whose incarnation is not above that of the start seen before.  Two kinds get a reply: the sender may
        not have noticed the restart of this balancer, or may itself have restarted with a clock that went
        back.
        """
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
                self._reply_to_stale_sender(frame, now)
            return
        if isinstance(frame.body, wire.StatusRequest):
            self._on_status_request(frame.body, now, source)
            return
        self.members.record_contact(frame.sender, frame.address, frame.incarnation, frame.boot, now)
        # Still another boot number on record: that start has an incarnation that is not below the frame's
        if self.members.boot_of(frame.sender) != frame.boot:
            self._send_known_incarnation(frame, now)
            return
        for member in frame.members:
            if (
                member.name == self.name
                and member.boot != self.members.local.boot
                and member.state <= SUSPECT
                and member.address != self.members.local.address
            ):
                # Either an earlier start of this balancer, or another process of its name, which then replies
                self._send_frame(member.address, self.name, 0, wire.Ping(0), now)
            self.members.receive_update(member, frame.sender, now)
        for entry in frame.entries:
            self._merge_entry(entry, now)
        handler = self.handlers.get(type(frame.body))
        if handler is not None:
            handler(frame, frame.body, now)
        self._apply_member_changes(now)

    def _send_known_incarnation(self, frame: Frame, now: float) -> None:
        """Send a restarted member the incarnation that is on record for its earlier start.

        A member whose clock went back starts with an incarnation that is not above the earlier one.  Its
        frames are ignored until it continues from the incarnation sent here.  Only a ping is answered: an
        attacker who replays pings of an earlier start gets one frame for each and changes no state.
        """
        known = self.members.records.get(frame.sender)
        if isinstance(frame.body, wire.Ping) and known is not None and known.boot != frame.boot:
            self._send_frame(frame.address, frame.sender, frame.boot, wire.Gossip(), now, [known.member()])

    def _reply_to_stale_sender(self, frame: Frame, now: float) -> None:
        """Ping a member that still sends to an earlier start of this balancer.

        The ping carries the boot number and incarnation of this start.  At most one such ping is sent per
        period, whatever the number of senders.
        """
        if (
            frame.receiver == self.name
            and frame.receiver_boot
            and frame.receiver_boot != self.members.local.boot
            and now >= self.next_ping_to_stale_sender
        ):
            self.next_ping_to_stale_sender = now + self.period_s
            self._send_frame(frame.address, frame.sender, 0, wire.Ping(0), now)

    def _on_duplicate_name(self, frame: Frame, now: float) -> None:
        """Handle a frame of another process with this balancer's name; the younger of the two leaves.

        The younger one is the one with the higher epoch, or with the higher boot number at equal epochs.  It
        does not announce that it leaves, since the name remains in use.  Acks between the two processes carry
        the sender's epoch in place of the number of the ping.
        """
        local = self.members.local
        if frame.boot == local.boot or frame.address == local.address:
            return
        if isinstance(frame.body, wire.Ping):
            # The reply lets the other process detect the conflict too; an ack is never answered.
            self._send_frame(frame.address, self.name, 0, wire.Ack(self.store.owners[self.name].epoch), now)
        elif isinstance(frame.body, wire.Ack):
            epoch = self.store.owners[self.name].epoch
            if (frame.body.number, frame.boot) < (epoch, local.boot) and not self.leaving:
                self.leaving = True
                self.events.append(DuplicateName(frame.address))

    def _merge_entry(self, entry: wire.Entry, now: float) -> None:
        """Merge an entry that came as gossip.

        Entries of owners that are not members are ignored: gossip that arrives late must not restore the
        registers of a dead member.
        """
        if entry.owner == self.name:
            if entry.epoch > self.store.owners[self.name].epoch:
                # Written by an earlier start with a higher epoch, as this machine's clock went back: continue
                # from that epoch.
                self.store.adopt_epoch(entry.epoch + 1, now)
        elif self.members.is_member(entry.owner):
            self.hybrid_clock.observe(entry.timestamp, self.wall_ms())
            self.store.merge_entry(entry, now)

    def _apply_member_changes(self, now: float) -> None:
        """Report membership changes as events, and remove the registers of members that left or died.

        Those of a dead member are removed only after ``DEAD_REGISTERS_RETENTION_S``.
        """
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
        """Record the ack of the active probe, or forward the ack of an indirect probe to its requester.

        The number 0 belongs to no probe.
        """
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
        """Ping a member on behalf of the sender (indirect probe).

        If no ack has come after half a period, ``tick`` sends the sender a nack.
        """
        self.members.last_probe_number += 1
        self.members.relayed_probes[self.members.last_probe_number] = (
            frame.sender,
            body.number,
            now + 0.5 * self.period_s,
        )
        self._ping(body.name, self.members.last_probe_number, now)

    def _on_nack(self, frame: Frame, body: wire.Nack, now: float) -> None:
        self.members.probe_nacked(body.number, frame.sender)

    # -- anti-entropy ------------------------------------------------------------------------------------

    def _on_root_hash(self, frame: Frame, body: wire.RootHash, now: float) -> None:
        """Answer a differing root hash with range hashes, or with all summaries where there is one range.

        A summary is the state of one owner's registers held here; a list of summaries is a version vector.
        """
        if body.hash == self.store.root_hash():
            self._mark_caught_up(now)
            return
        count = self.store.range_count()
        if count > 1:
            self._send_to_member(frame.sender, wire.RangeHashes(self.store.range_hashes(count)), now)
        else:
            self._send_vector(frame.sender, self.store.summaries(), True, now, 1, [0])

    def _on_range_hashes(self, frame: Frame, body: wire.RangeHashes, now: float) -> None:
        """Answer with the summaries of the owners in at most ``MAX_PULLS`` of the differing ranges."""
        count = len(body.hashes)
        if not 1 <= count <= 1 << 16:  # a sanity check; one frame holds far fewer hashes
            return
        hashes = self.store.range_hashes(count)
        differing = [index for index in range(count) if hashes[index] != body.hashes[index]]
        self.rng.shuffle(differing)  # so that each range is selected in one of the next comparisons
        ranges = differing[:MAX_PULLS]
        self._send_vector(frame.sender, self.store.summaries(set(ranges), count), True, now, count, ranges)

    def _send_vector(
        self,
        receiver: str,
        summaries: list[wire.OwnerSummary],
        wants_reply: bool,
        now: float,
        range_count: int = 1,
        ranges: Sequence[int] = (),
    ) -> None:
        """Send as many of the summaries as fit one frame, selected at random; shuffles ``summaries``.

        ``ranges`` is sent only where all summaries fit, since the receiver concludes that the sender does not
        have the owners of these ranges that are not listed.
        """
        # 300 bytes are for the digest, the frame's header and the other fields of the body
        room = wire.MAX_FRAME_BYTES - 300
        selected = list[wire.OwnerSummary]()
        self.rng.shuffle(summaries)
        for summary in summaries:
            room -= wire.encoded_size(summary)
            if room < 0:
                break
            selected.append(summary)
        self._send_to_member(
            receiver,
            wire.VersionVector(
                selected, wants_reply, range_count, [*ranges] if len(selected) == len(summaries) else []
            ),
            now,
        )

    def _on_version_vector(self, frame: Frame, body: wire.VersionVector, now: float) -> None:
        """Send the summaries held here where they are asked for, and pull what is missing here."""
        if body.wants_reply:
            listed = {summary.owner for summary in body.summaries}
            reply = [owner.summary(name) for name, owner in self.store.owners.items() if name in listed]
            # The sender has no registers of the owners in these ranges that it did not list.  It may not even
            # have them as members, as gossip can be lost, so their membership is queued for gossip again.
            for name, owner in self.store.owners.items():
                if name not in listed and owner.id % max(1, body.range_count) in body.ranges:
                    reply.append(owner.summary(name))
                    if name in self.members.records:
                        self.members.gossip_queue[name] = 0
            self._send_vector(frame.sender, reply, False, now)
        for summary in body.summaries:
            if summary.owner == self.name and summary.epoch > self.store.owners[self.name].epoch:
                self.store.adopt_epoch(summary.epoch + 1, now)
            if self.members.is_member(summary.owner):
                self._start_pull(frame.sender, summary, now)

    def _start_pull(self, peer: str, summary: wire.OwnerSummary, now: float) -> None:
        """Request an owner's entries from a member whose summary shows entries that are missing here.

        Does nothing while a pull of this owner or ``MAX_PULLS`` pulls are running.
        """
        if summary.owner in self.pulls or len(self.pulls) >= MAX_PULLS:
            return
        start = self.store.pull_start(summary)
        if start is not None:
            after, full = start
            self.pulls[summary.owner] = ActivePull(
                peer, now + PULL_RETRY_PERIODS * self.period_s, set() if full else None
            )
            self._send_to_member(peer, wire.PullRequest(summary.owner, summary.epoch, after, full), now)

    def _on_pull_request(self, frame: Frame, body: wire.PullRequest, now: float) -> None:
        """Send the next entries of the requested owner.

        If the owner has a higher epoch here than in the request, the entries start from its first one.
        """
        # Leaves room for the digest, the frame's header and the other fields of the reply, with their names
        room = wire.MAX_FRAME_BYTES - 260 - len(self.name) - 2 * len(body.owner)
        found = self.store.entries_after(body.owner, body.epoch, body.after, room, now)
        if found is not None:
            summary, up_to, more, entries = found
            after = body.after if summary.epoch == body.epoch else 0
            self._send_to_member(
                frame.sender, wire.PullReply(summary, after, up_to, more, body.full, entries), now
            )

    def _on_pull_reply(self, frame: Frame, body: wire.PullReply, now: float) -> None:
        """Merge the entries of an active pull and request the rest, or end the pull."""
        name, summary = body.summary.owner, body.summary
        pull = self.pulls.get(name)
        if name == self.name or not self.members.is_member(name) or pull is None or pull.peer != frame.sender:
            return
        for entry in body.entries:
            self.hybrid_clock.observe(entry.timestamp, self.wall_ms())
        self.store.merge_batch(
            summary, body.after, body.up_to, [entry for entry in body.entries if entry.owner == name], now
        )
        if pull.received_seqs is not None:
            pull.received_seqs.update(entry.seq for entry in body.entries)
        if body.more:
            pull.expires_at = now + PULL_RETRY_PERIODS * self.period_s
            self._send_to_member(
                frame.sender, wire.PullRequest(name, summary.epoch, body.up_to, body.full), now
            )
            return
        # A late reply to an earlier incremental pull does not hold all entries, so nothing is removed then.
        if pull.received_seqs is not None and body.full:
            self.store.keep_only(name, pull.received_seqs)
        del self.pulls[name]
        # An incremental pull is not enough where entries held here were removed elsewhere: start a full one
        start = self.store.pull_start(summary)
        if start is not None and pull.received_seqs is None and start[1]:
            self._start_pull(frame.sender, summary, now)

    def _mark_caught_up(self, now: float) -> None:
        """Report once that this balancer has caught up."""
        if not self.caught_up and self.started_at is not None:
            self.caught_up = True
            self.events.append(CaughtUp(now - self.started_at))

    # -- status requests ---------------------------------------------------------------------------------

    def _on_status_request(self, body: wire.StatusRequest, now: float, source: str) -> None:
        """Send one part of the status to the requester; parts are small enough for a frame.

        The whole status is kept for ``STATUS_REPLY_S``, so that the requested parts belong together.
        """
        self.status_replies = {
            number: reply for number, reply in self.status_replies.items() if now < reply[0]
        }
        if body.number not in self.status_replies:
            text = json.dumps({**self.describe(now), **self.extra_status()}).encode()
            parts = [
                text[start : start + STATUS_PART_BYTES] for start in range(0, len(text), STATUS_PART_BYTES)
            ]
            self.status_replies[body.number] = now + STATUS_REPLY_S, parts
        parts = self.status_replies[body.number][1]
        if source and 0 <= body.part < len(parts):
            self._send_frame(
                source, "", 0, wire.StatusReply(body.number, body.part, len(parts), parts[body.part]), now
            )

    def describe(self, now: float) -> dict[str, Any]:
        """The node's part of the status that ``snowwick fleet status`` prints.

        ``for_s`` is how long a member has been in its state, ``alone`` that no other member is alive;
        ``kinds`` is by number of the register kind.
        """
        local = self.members.local
        members = [
            {
                "name": local.name,
                "address": local.address,
                "state": "self",
                "incarnation": local.incarnation,
                "entries": len(self.store.owners[self.name].entries),
            }
        ]
        for record in sorted(self.members.records.values(), key=lambda record: record.name):
            owner = self.store.owners.get(record.name)
            members.append(
                {
                    "name": record.name,
                    "address": record.address,
                    "state": STATE_NAMES[record.state],
                    "incarnation": record.incarnation,
                    "for_s": round(now - record.state_since, 1),
                    "entries": len(owner.entries) if owner is not None else 0,
                }
            )
        kinds: Counter[int] = Counter()
        ages: dict[int, float] = {}  # seconds since the oldest register of each kind was written
        wall_ms = self.wall_ms()
        for owner in self.store.owners.values():
            for (kind, _), stored in owner.entries.items():
                kinds[kind] += 1
                ages[kind] = max(
                    ages.get(kind, 0.0), (wall_ms - timestamp_ms(stored.entry.timestamp)) / 1000.0
                )
        return {
            "name": self.name,
            "members": members,
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
        """Return and clear the queued datagrams, each with its address."""
        datagrams, self.outbox = self.outbox, []
        return datagrams

    def take_events(self) -> Iterator[object]:
        """Yield the pending events, oldest first; they are cleared when the iteration begins."""
        events, self.events = self.events, []
        yield from events

    def has_same_registers(self, other: Node) -> bool:
        """Whether both nodes hold the same registers; for tests and simulations."""
        return self.store.root_hash() == other.store.root_hash()
