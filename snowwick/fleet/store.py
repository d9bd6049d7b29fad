"""The replicated registers: their copies, the gossip queue, and comparison and transfer of copies.

Each register has one writer, its owner, so copies never conflict: of two copies the one with the higher
(epoch, seq) wins.  This merge is commutative, associative and idempotent (a map of single-writer registers,
Shapiro et al. 2011; version vectors over owners as in Scuttlebutt, van Renesse et al. 2008).  An epoch is one
start of the owner: a higher epoch replaces all entries of lower ones.

``complete_seq`` is the sequence number up to which no entry of an owner is missing.  A removed register
leaves a tombstone for ``TOMBSTONE_S``.  After that, ``complete_seq`` alone keeps older copies of the register
from coming back: entries at or below it are not accepted again.  Where two members have the same
``complete_seq`` but different entries, each pulls all the owner's entries again and removes its own copies
that the transfer does not contain.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

from snowwick.fleet.wire import Entry, OwnerSummary, encoded_size

# Tombstones are kept longer than an entry is gossiped, so that few members need a full transfer
TOMBSTONE_S = 60.0
MAX_VALUE_BYTES = 900  # an entry has to fit one datagram, with the frame's header and body
# Limits for one owner; new registers beyond them are rejected
MAX_ENTRIES_PER_OWNER = 4096
MAX_BYTES_PER_OWNER = 1 << 20
OWNERS_PER_RANGE = 8  # on average, so that the summaries of a range fit one frame
MASK_64 = (1 << 64) - 1
RETRANSMIT_FACTOR = 3.0  # each member gossips an entry this many times log2 of the number of members


def hash_text(*parts: object) -> int:
    """A 64-bit hash of the parts, each converted to text."""
    return int.from_bytes(blake2b("\0".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


def hash_numbers(*numbers: int) -> int:
    """A 64-bit hash of integers, the same on every machine.

    It is not cryptographic; frames are authenticated with the fleet's key (wire.py).
    """
    mixed = 0x9E3779B97F4A7C15
    for number in numbers:
        mixed = (mixed ^ number) * 0xBF58476D1CE4E5B9 & MASK_64
        mixed ^= mixed >> 31
    return mixed


@dataclass(slots=True)
class StoredEntry:
    """This member's copy of a register; ``received_at`` is in seconds on the local clock.

    ``size_bytes`` and ``hash`` are 0 for a tombstone.
    """

    entry: Entry
    received_at: float
    size_bytes: int
    hash: int


@dataclass(slots=True)
class OwnerRegisters:
    """The copies of one owner's registers; ``id`` is a hash of the owner's name."""

    id: int
    epoch: int = 0
    complete_seq: int = 0
    hash: int = 0  # of all entries without tombstones
    size_bytes: int = 0  # of all entries without tombstones
    entries: dict[tuple[int, str], StoredEntry] = field(default_factory=dict)  # by kind and key
    seqs_ahead: set[int] = field(default_factory=set)  # sequence numbers received above a gap
    by_seq: list[StoredEntry] | None = None  # the entries in order of seq; None until they are needed

    def summary(self, name: str) -> OwnerSummary:
        """The state of this owner's registers, as it is sent in a version vector."""
        return OwnerSummary(name, self.epoch, self.complete_seq, self.hash)

    def mark_complete(self, seq: int) -> None:
        """Record that no entry up to ``seq`` is missing, and advance ``complete_seq`` to the next gap."""
        self.complete_seq = max(self.complete_seq, seq)
        while self.complete_seq + 1 in self.seqs_ahead:
            self.complete_seq += 1
        self.seqs_ahead = (
            {ahead for ahead in self.seqs_ahead if ahead > self.complete_seq}
            if self.seqs_ahead
            else self.seqs_ahead
        )

    def remove(self, key: tuple[int, str]) -> StoredEntry:
        """Remove and return a register's copy."""
        stored, self.by_seq = self.entries.pop(key), None
        self.hash ^= stored.hash
        self.size_bytes -= stored.size_bytes
        return stored


class Store:
    """One member's own registers, and its copies of the other members' registers."""

    def __init__(
        self,
        name: str,
        epoch: int,
        max_entries: int = MAX_ENTRIES_PER_OWNER,
        max_bytes: int = MAX_BYTES_PER_OWNER,
    ) -> None:
        self.name, self.max_entries, self.max_bytes = name, max_entries, max_bytes
        self.owners: dict[str, OwnerRegisters] = {name: OwnerRegisters(hash_text(name), epoch)}
        # Registers queued for gossip, by (owner, kind, key), and how often each was sent
        self.gossip_queue: dict[tuple[str, int, str], int] = {}
        self.next_tombstone_check = 0.0  # in seconds on the caller's clock
        self.rejected = 0  # number of entries not stored because their owner had reached a limit

    # -- writing -----------------------------------------------------------------------------------------

    def write(
        self, kind: int, key: str, value: bytes | None, timestamp: int, now: float, remaining_ms: int = 0
    ) -> None:
        """Set an own register, or remove it where ``value`` is None.

        ``remaining_ms`` limits how long others may act on the value; 0 means no limit.  Does nothing where
        the value is unchanged and has no such limit.  Raises ValueError where the value is longer than
        ``MAX_VALUE_BYTES``.
        """
        own = self.owners[self.name]
        stored = own.entries.get((kind, key))
        if (stored.entry.value if stored is not None else None) == value and not remaining_ms:
            return
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"register value is {len(value)} bytes; the limit is {MAX_VALUE_BYTES}")
        own.complete_seq += 1
        self._put(
            own, Entry(self.name, own.epoch, own.complete_seq, kind, key, value, timestamp, remaining_ms), now
        )

    def adopt_epoch(self, epoch: int, now: float) -> None:
        """Rewrite all own registers under ``epoch``, as an earlier start had a higher one than this start."""
        own = self.owners[self.name]
        old, self.owners[self.name] = own.entries, OwnerRegisters(own.id, epoch)
        self.gossip_queue = {key: sent for key, sent in self.gossip_queue.items() if key[0] != self.name}
        for stored in old.values():
            if stored.entry.value is not None:
                entry = stored.entry
                self.write(entry.kind, entry.key, entry.value, entry.timestamp, now, entry.remaining_ms)

    # -- merging -----------------------------------------------------------------------------------------

    def merge_entry(self, entry: Entry, now: float) -> bool:
        """Merge one entry of another member; returns whether it was stored."""
        if entry.owner == self.name:
            return False
        owner = self._get_or_add_owner(entry.owner)
        if entry.epoch != owner.epoch:
            if entry.epoch < owner.epoch:
                return False
            owner = self._reset_owner(entry.owner, entry.epoch)
        if entry.seq <= owner.complete_seq:
            return False
        if entry.seq == owner.complete_seq + 1:
            owner.mark_complete(entry.seq)
        else:
            owner.seqs_ahead.add(entry.seq)
            if (
                len(owner.seqs_ahead) > self.max_entries
            ):  # too many entries are missing: the next pull transfers them
                owner.seqs_ahead.clear()
        stored = owner.entries.get((entry.kind, entry.key))
        if stored is not None and stored.entry.seq >= entry.seq:
            return False
        return self._put(owner, entry, now)

    def _get_or_add_owner(self, name: str) -> OwnerRegisters:
        owner = self.owners.get(name)
        if owner is None:
            owner = self.owners[name] = OwnerRegisters(hash_text(name))
        return owner

    def _reset_owner(self, name: str, epoch: int) -> OwnerRegisters:
        """Remove all entries of an owner, and start a new epoch."""
        old = self.owners.get(name)
        owner = self.owners[name] = OwnerRegisters(hash_text(name), epoch)
        for stored in old.entries.values() if old is not None else ():
            self._stop_gossip(stored.entry)
        return owner

    def _stop_gossip(self, entry: Entry) -> None:
        """Take a register out of the gossip queue."""
        self.gossip_queue.pop((entry.owner, entry.kind, entry.key), None)

    def _put(self, owner: OwnerRegisters, entry: Entry, now: float) -> bool:
        """Store an entry and queue it for gossip; returns False where the owner has reached a limit."""
        key, old, owner.by_seq = (entry.kind, entry.key), owner.entries.get((entry.kind, entry.key)), None
        size_bytes = encoded_size(entry) if entry.value is not None else 0
        if old is None and (
            len(owner.entries) >= self.max_entries or owner.size_bytes + size_bytes > self.max_bytes
        ):
            self.rejected += 1
            if entry.owner == self.name:
                owner.complete_seq -= 1
            return False
        if old is not None:
            owner.hash ^= old.hash
            owner.size_bytes -= old.size_bytes
        entry_hash = hash_text(entry.kind, entry.key, entry.seq) if entry.value is not None else 0
        owner.entries[key] = StoredEntry(entry, now, size_bytes, entry_hash)
        owner.hash ^= entry_hash
        owner.size_bytes += size_bytes
        self.gossip_queue[entry.owner, *key] = 0
        return True

    def forget_owner(self, name: str) -> None:
        """Remove all registers of an owner that is no longer a member."""
        owner = self.owners.pop(name, None)
        for stored in owner.entries.values() if owner is not None else ():
            self._stop_gossip(stored.entry)

    def expire_tombstones(self, now: float) -> None:
        """Remove tombstones older than ``TOMBSTONE_S``; checks only every tenth of that time."""
        if now < self.next_tombstone_check:
            return
        self.next_tombstone_check = now + 0.1 * TOMBSTONE_S
        for owner in self.owners.values():
            for key in [
                key
                for key, stored in owner.entries.items()
                if stored.entry.value is None and now - stored.received_at >= TOMBSTONE_S
            ]:
                self._stop_gossip(owner.remove(key).entry)

    # -- reading -----------------------------------------------------------------------------------------

    def live_entries(self, kind: int) -> Iterator[StoredEntry]:
        """All owners' registers of a kind, without tombstones."""
        for owner in self.owners.values():
            for (stored_kind, _), stored in owner.entries.items():
                if stored_kind == kind and stored.entry.value is not None:
                    yield stored

    @staticmethod
    def remaining_s(stored: StoredEntry, now: float) -> float:
        """Seconds for which the value may still be acted on; infinite where there is no limit."""
        return (
            stored.entry.remaining_ms / 1000.0 - (now - stored.received_at)
            if stored.entry.remaining_ms
            else math.inf
        )

    def copy_to_send(self, stored: StoredEntry, now: float) -> Entry:
        """The entry to send; the time since it was received is subtracted from its remaining time."""
        entry = stored.entry
        if not entry.remaining_ms:
            return entry
        return Entry(
            entry.owner,
            entry.epoch,
            entry.seq,
            entry.kind,
            entry.key,
            entry.value,
            entry.timestamp,
            max(1, int(1000.0 * self.remaining_s(stored, now))),
        )

    # -- gossip ------------------------------------------------------------------------------------------

    def entries_to_gossip(self, max_transmissions: int, now: float) -> Iterator[Entry]:
        """Yield the queued entries, the least often sent first.

        The caller takes what fits a frame and calls ``count_transmission`` for each entry that it sends.  An
        entry is removed from the queue once it was sent ``max_transmissions`` times; members that have not
        received it by then find it by comparison.
        """
        for key in [key for key, sent in self.gossip_queue.items() if sent >= max_transmissions]:
            del self.gossip_queue[key]
        for key in sorted(self.gossip_queue, key=lambda key: self.gossip_queue[key]):
            owner = self.owners.get(key[0])
            stored = owner.entries.get(key[1:]) if owner is not None else None
            if stored is None:
                del self.gossip_queue[key]
            else:
                yield self.copy_to_send(stored, now)

    def count_transmission(self, entry: Entry) -> None:
        """Record that a queued entry was sent once more."""
        key = entry.owner, entry.kind, entry.key
        if key in self.gossip_queue:
            self.gossip_queue[key] += 1

    def shed_gossip(self, max_queued: int) -> int:
        """Limit the gossip queue by removing the entries sent most often; returns how many were removed.

        Other members still find these entries by comparison.
        """
        excess = len(self.gossip_queue) - max_queued
        for key in sorted(self.gossip_queue, key=lambda key: -self.gossip_queue[key])[: max(0, excess)]:
            del self.gossip_queue[key]
        return max(0, excess)

    # -- comparison --------------------------------------------------------------------------------------

    def root_hash(self) -> int:
        """The hash over the registers of all owners."""
        return self.range_hashes(1)[0]

    def range_hashes(self, count: int) -> list[int]:
        """The hashes of the registers in each of ``count`` ranges of owners, which are split by owner id."""
        hashes = [0] * count
        for owner in self.owners.values():
            hashes[owner.id % count] ^= hash_numbers(owner.id, owner.epoch, owner.complete_seq, owner.hash)
        return hashes

    def range_count(self) -> int:
        """The number of ranges into which the owners are split for a comparison, a power of two."""
        return 1 << max(0, math.ceil(math.log2(max(1, len(self.owners) / OWNERS_PER_RANGE))))

    def summaries(self, differing: set[int] | None = None, count: int = 1) -> list[OwnerSummary]:
        """The summaries of the owners in the ``differing`` ranges of ``count``, or of all owners."""
        return [
            owner.summary(name)
            for name, owner in self.owners.items()
            if differing is None or owner.id % count in differing
        ]

    def pull_start(self, summary: OwnerSummary) -> tuple[int, bool] | None:
        """Where to start a pull from a member that sent this summary; None where nothing is missing here.

        Returns the sequence number after which entries are missing, and whether the pull has to be a full
        one, after which entries that it did not contain are removed here.
        """
        if summary.owner == self.name:
            return None
        local = self.owners.get(summary.owner)
        if local is None or summary.epoch > local.epoch:
            return 0, False
        if summary.epoch < local.epoch or summary.hash == local.hash:
            if summary.epoch == local.epoch and summary.complete_seq > local.complete_seq:
                # The live entries are the same, so later ones have replaced the missing ones
                local.mark_complete(summary.complete_seq)
            return None
        if summary.complete_seq == local.complete_seq and not local.seqs_ahead:
            # Both are complete up to the same number, but one missed a removal whose tombstone has expired.
            # Each keeps only the entries that the other has as well.
            return 0, True
        return local.complete_seq, False

    def entries_after(
        self, name: str, epoch: int, after: int, room_bytes: int, now: float
    ) -> tuple[OwnerSummary, int, bool, list[Entry]] | None:
        """The entries of an owner after a sequence number, in order, as many as fit, but at least one.

        Returns the owner's summary, the sequence number up to which the entries are complete, whether more
        follow, and the entries; None where the owner is unknown here or known only with a lower epoch.
        """
        owner = self.owners.get(name)
        if owner is None or owner.epoch < epoch:
            return None
        after = after if owner.epoch == epoch else 0
        entries = list[Entry]()
        up_to = after
        more = False
        for stored in self._stored_after(owner, after):
            entry = self.copy_to_send(stored, now)
            room_bytes -= encoded_size(entry) + 3
            if room_bytes < 0 and entries:
                more = True
                break
            entries.append(entry)
            up_to = entry.seq
        return owner.summary(name), owner.complete_seq if not more else up_to, more, entries

    @staticmethod
    def _stored_after(owner: OwnerRegisters, after: int) -> list[StoredEntry]:
        """The copies of an owner's registers with sequence numbers above ``after``, in order."""
        if owner.by_seq is None:
            owner.by_seq = sorted(owner.entries.values(), key=lambda stored: stored.entry.seq)
        return owner.by_seq[bisect_right(owner.by_seq, after, key=lambda stored: stored.entry.seq) :]

    def merge_batch(
        self, summary: OwnerSummary, after: int, up_to: int, entries: list[Entry], now: float
    ) -> None:
        """Merge the entries of a pull reply, which holds all live entries in (``after``, ``up_to``]."""
        for entry in entries:
            self.merge_entry(entry, now)
        # Pulled entries are not gossiped: both sides of a healed partition would flood each other with them
        for entry in entries:
            self._stop_gossip(entry)
        owner = self._get_or_add_owner(summary.owner)
        if summary.owner != self.name and summary.epoch > owner.epoch:
            owner = self._reset_owner(summary.owner, summary.epoch)
        if summary.owner != self.name and owner.epoch == summary.epoch and after <= owner.complete_seq:
            # All live entries up to here have been received; a missing number belongs to an entry that a
            # later one has replaced.
            owner.mark_complete(min(up_to, summary.complete_seq))

    def keep_only(self, name: str, seqs: set[int]) -> None:
        """Remove an owner's entries that a full pull did not contain, as they were removed elsewhere."""
        owner = self.owners.get(name)
        if owner is None or name == self.name:
            return
        for key, stored in list(owner.entries.items()):
            if stored.entry.seq not in seqs and stored.entry.seq <= owner.complete_seq:
                self._stop_gossip(owner.remove(key).entry)
