"""The replicated registers: who holds what, what is passed on, how two copies become the same.

Each register has one writer, its owner, so that copies never conflict: of two copies the higher (epoch, seq)
holds.  That join of a lattice is commutative, associative and idempotent (a map of single-writer registers,
Shapiro et al. 2011; the version vector over owners is Scuttlebutt's, van Renesse et al. 2008).  An epoch is
one start of the owner: a higher one voids all that the owner said before.

``complete`` is the number up to which nothing of an owner is missing.  A removed register leaves a
tombstone for a while; once it is gone, ``complete`` alone keeps older copies of the register from coming
back: nothing at or under it is taken again, and who is found to hold more than the owner's hash allows
takes the whole anew.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b

from snowwick.fleet.wire import Entry, OwnerSummary, encoded_size

TOMBSTONE_S = 60.0  # s that a tombstone is kept: longer than a rumour lives, so that few need the whole
MAX_VALUE_BYTES = 900  # bytes of a value, so that an entry and what frames carry beside it fit one datagram
MAX_ENTRIES_PER_OWNER, MAX_BYTES_PER_OWNER = (
    4096,
    1 << 20,
)  # of one owner at most: beyond, its registers are not taken
OWNERS_PER_RANGE = 8  # about; a range's rows then fit one frame
MASK_64 = (1 << 64) - 1
RETRANSMIT_FACTOR = 3.0  # times log2 of the members that an entry is passed on by each that hears of it


def hash_text(*parts: object) -> int:
    """64 bits of the parts' text."""
    return int.from_bytes(blake2b("\0".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


def hash_numbers(*numbers: int) -> int:
    """64 bits of whole numbers, the same everywhere; against chance only, as frames are proved by the key."""
    h = 0x9E3779B97F4A7C15
    for number in numbers:
        h = (h ^ number) * 0xBF58476D1CE4E5B9 & MASK_64
        h ^= h >> 31
    return h


@dataclass(slots=True)
class StoredEntry:
    """A register's copy here, and when it came (s, this process's clock)."""

    entry: Entry
    received_at: float
    size_bytes: int
    hash: int


@dataclass(slots=True)
class OwnerRegisters:
    """All that is held of one owner; ``id`` is its name as a number."""

    id: int
    epoch: int = 0
    complete_seq: int = 0
    hash: int = 0  # over what stands; tombstones are not in it
    size_bytes: int = 0
    entries: dict[tuple[int, str], StoredEntry] = field(default_factory=dict)
    seqs_ahead: set[int] = field(default_factory=set)  # numbers that came before one that is missing
    by_seq: list[StoredEntry] | None = None  # by number, made when it is asked for

    def summary(self, name: str) -> OwnerSummary:
        return OwnerSummary(name, self.epoch, self.complete_seq, self.hash)

    def mark_complete(self, number: int) -> None:
        """Nothing is missing up to there, nor up to what came ahead and joins on."""
        self.complete_seq = max(self.complete_seq, number)
        while self.complete_seq + 1 in self.seqs_ahead:
            self.complete_seq += 1
        self.seqs_ahead = (
            {seq for seq in self.seqs_ahead if seq > self.complete_seq}
            if self.seqs_ahead
            else self.seqs_ahead
        )

    def remove(self, key: tuple[int, str]) -> StoredEntry:
        """The register does not stand any more."""
        held, self.by_seq = self.entries.pop(key), None
        self.hash ^= held.hash
        self.size_bytes -= held.size_bytes
        return held


class Store:
    """One balancer's copy of everybody's registers, and its own."""

    def __init__(
        self,
        name: str,
        epoch: int,
        entries: int = MAX_ENTRIES_PER_OWNER,
        most_bytes: int = MAX_BYTES_PER_OWNER,
    ) -> None:
        self.name, self.max_entries, self.max_bytes = name, entries, most_bytes
        self.owners: dict[str, OwnerRegisters] = {name: OwnerRegisters(hash_text(name), epoch)}
        # Registers that are passed on, how often they were
        self.gossip_queue: dict[tuple[str, int, str], int] = {}
        self.next_sweep = 0.0
        self.rejected = 0  # entries beyond the bounds

    # -- writing -----------------------------------------------------------------------------------------

    def write(self, kind: int, key: str, value: bytes | None, stamp: int, now: float, left: int = 0) -> None:
        """Set or (None) remove an own register; the same value again is nothing new."""
        own = self.owners[self.name]
        held = own.entries.get((kind, key))
        if (held.entry.value if held is not None else None) == value and not left:
            return
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise ValueError(f"a value of {len(value)} bytes; {MAX_VALUE_BYTES} are possible")
        own.complete_seq += 1
        self._put(own, Entry(self.name, own.epoch, own.complete_seq, kind, key, value, stamp, left), now)

    def adopt_epoch(self, epoch: int, now: float) -> None:
        """Own registers under a higher epoch: another start of this balancer was heard of with this one."""
        own = self.owners[self.name]
        old, self.owners[self.name] = own.entries, OwnerRegisters(own.id, epoch)
        self.gossip_queue = {key: times for key, times in self.gossip_queue.items() if key[0] != self.name}
        for held in old.values():
            if held.entry.value is not None:
                e = held.entry
                self.write(e.kind, e.key, e.value, e.timestamp, now, e.remaining_ms)

    # -- taking ------------------------------------------------------------------------------------------

    def merge_entry(self, entry: Entry, now: float) -> bool:
        """Merge one entry; True where it is news here."""
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
            if len(owner.seqs_ahead) > self.max_entries:  # far behind: the next comparison brings the rest
                owner.seqs_ahead.clear()
        held = owner.entries.get((entry.kind, entry.key))
        if held is not None and held.entry.seq >= entry.seq:
            return False
        return self._put(owner, entry, now)

    def _get_or_add_owner(self, name: str) -> OwnerRegisters:
        owner = self.owners.get(name)
        if owner is None:
            owner = self.owners[name] = OwnerRegisters(hash_text(name))
        return owner

    def _reset_owner(self, name: str, epoch: int) -> OwnerRegisters:
        old = self.owners.get(name)
        owner = self.owners[name] = OwnerRegisters(hash_text(name), epoch)
        for held in old.entries.values() if old is not None else ():
            self._stop_gossip(held.entry)
        return owner

    def _stop_gossip(self, entry: Entry) -> None:
        """It is passed on no more."""
        self.gossip_queue.pop((entry.owner, entry.kind, entry.key), None)

    def _put(self, owner: OwnerRegisters, entry: Entry, now: float) -> bool:
        key, old, owner.by_seq = (entry.kind, entry.key), owner.entries.get((entry.kind, entry.key)), None
        new = encoded_size(entry) if entry.value is not None else 0
        if old is None and (
            len(owner.entries) >= self.max_entries or owner.size_bytes + new > self.max_bytes
        ):
            self.rejected += 1
            if entry.owner == self.name:
                owner.complete_seq -= 1
            return False
        if old is not None:
            owner.hash ^= old.hash
            owner.size_bytes -= old.size_bytes
        mark = hash_text(entry.kind, entry.key, entry.seq) if entry.value is not None else 0
        owner.entries[key] = StoredEntry(entry, now, new, mark)
        owner.hash ^= mark
        owner.size_bytes += new
        self.gossip_queue[entry.owner, *key] = 0
        return True

    def forget_owner(self, name: str) -> None:
        """The owner is no member any more."""
        owner = self.owners.pop(name, None)
        for held in owner.entries.values() if owner is not None else ():
            self._stop_gossip(held.entry)

    def expire_tombstones(self, now: float) -> None:
        """Drop tombstones whose time is over, looked for now and then."""
        if now < self.next_sweep:
            return
        self.next_sweep = now + 0.1 * TOMBSTONE_S
        for owner in self.owners.values():
            for key in [
                key
                for key, held in owner.entries.items()
                if held.entry.value is None and now - held.received_at >= TOMBSTONE_S
            ]:
                self._stop_gossip(owner.remove(key).entry)

    # -- reading -----------------------------------------------------------------------------------------

    def live_entries(self, kind: int) -> Iterator[StoredEntry]:
        """The registers of a kind that stand, whoever owns them."""
        for owner in self.owners.values():
            for (of, _), held in owner.entries.items():
                if of == kind and held.entry.value is not None:
                    yield held

    @staticmethod
    def remaining_s(held: StoredEntry, now: float) -> float:
        """Seconds for which the register may still be acted on."""
        return (
            held.entry.remaining_ms / 1000.0 - (now - held.received_at)
            if held.entry.remaining_ms
            else math.inf
        )

    def copy_to_send(self, held: StoredEntry, now: float) -> Entry:
        """The entry as it is passed on: less by the time that it was held here."""
        e = held.entry
        if not e.remaining_ms:
            return e
        return Entry(
            e.owner,
            e.epoch,
            e.seq,
            e.kind,
            e.key,
            e.value,
            e.timestamp,
            max(1, int(1000.0 * self.remaining_s(held, now))),
        )

    # -- passing on --------------------------------------------------------------------------------------

    def entries_to_gossip(self, most: int, now: float) -> Iterator[Entry]:
        """The entries to pass on, the least often told first; ``told`` counts what went.

        ``most`` is how often each is told.  Bounded by what a frame holds: what is not reached in time is
        found by comparison.
        """
        for key in [key for key, times in self.gossip_queue.items() if times >= most]:
            del self.gossip_queue[key]
        for key in sorted(self.gossip_queue, key=lambda key: self.gossip_queue[key]):
            owner = self.owners.get(key[0])
            held = owner.entries.get(key[1:]) if owner is not None else None
            if held is None:
                del self.gossip_queue[key]
            else:
                yield self.copy_to_send(held, now)

    def count_transmission(self, entry: Entry) -> None:
        key = entry.owner, entry.kind, entry.key
        if key in self.gossip_queue:
            self.gossip_queue[key] += 1

    def shed_gossip(self, most: int) -> int:
        """Keep at most so many rumours, dropping those told most; comparison still finds them."""
        over = len(self.gossip_queue) - most
        for key in sorted(self.gossip_queue, key=lambda key: -self.gossip_queue[key])[: max(0, over)]:
            del self.gossip_queue[key]
        return max(0, over)

    # -- comparing ---------------------------------------------------------------------------------------

    def root_hash(self) -> int:
        """The hash over all owners."""
        return self.range_hashes(1)[0]

    def range_hashes(self, count: int) -> list[int]:
        """The hashes of so many ranges of owners."""
        hashes = [0] * count
        for owner in self.owners.values():
            hashes[owner.id % count] ^= hash_numbers(owner.id, owner.epoch, owner.complete_seq, owner.hash)
        return hashes

    def range_count(self) -> int:
        """Ranges in which the owners are compared."""
        return 1 << max(0, math.ceil(math.log2(max(1, len(self.owners) / OWNERS_PER_RANGE))))

    def summaries(self, differing: set[int] | None = None, count: int = 1) -> list[OwnerSummary]:
        """The rows of the owners in those ranges."""
        return [
            owner.summary(name)
            for name, owner in self.owners.items()
            if differing is None or owner.id % count in differing
        ]

    def pull_start(self, row: OwnerSummary) -> tuple[int, bool] | None:
        """After which number to pull, and whether the whole, where the other has what is missing here."""
        if row.owner == self.name:
            return None
        own = self.owners.get(row.owner)
        if own is None or row.epoch > own.epoch:
            return 0, False
        if row.epoch < own.epoch or row.hash == own.hash:
            if row.epoch == own.epoch and row.complete_seq > own.complete_seq:
                own.mark_complete(row.complete_seq)  # the same stands; what is missing was replaced since
            return None
        if row.complete_seq == own.complete_seq and not own.seqs_ahead:
            # As far as each other, yet not the same: one holds what was removed while nobody could tell it,
            # so each keeps only what the other has too.
            return 0, True
        return own.complete_seq, False

    def entries_after(
        self, name: str, epoch: int, after: int, room: int, now: float
    ) -> tuple[OwnerSummary, int, bool, list[Entry]] | None:
        """The next entries of an owner after a number, as many as fit, and whether more follow."""
        owner = self.owners.get(name)
        if owner is None or owner.epoch < epoch:
            return None
        after = after if owner.epoch == epoch else 0
        some, upto, more = list[Entry](), after, False
        for held in self._stored_after(owner, after):
            entry = self.copy_to_send(held, now)
            room -= encoded_size(entry) + 3
            if room < 0 and some:
                more = True
                break
            some.append(entry)
            upto = entry.seq
        return owner.summary(name), owner.complete_seq if not more else upto, more, some

    @staticmethod
    def _stored_after(owner: OwnerRegisters, after: int) -> list[StoredEntry]:
        if owner.by_seq is None:
            owner.by_seq = sorted(owner.entries.values(), key=lambda held: held.entry.seq)
        return owner.by_seq[bisect_right(owner.by_seq, after, key=lambda held: held.entry.seq) :]

    def merge_batch(self, row: OwnerSummary, after: int, upto: int, entries: list[Entry], now: float) -> None:
        """Take a piece."""
        for entry in entries:
            self.merge_entry(entry, now)
        for entry in entries:  # asked for, so no news to the others: halves that meet make no storm
            self._stop_gossip(entry)
        owner = self._get_or_add_owner(row.owner)
        if row.owner != self.name and row.epoch > owner.epoch:
            owner = self._reset_owner(row.owner, row.epoch)
        if row.owner != self.name and owner.epoch == row.epoch and after <= owner.complete_seq:
            # All that stands up to there has come: what has not was replaced by what comes later.
            owner.mark_complete(min(upto, row.complete_seq))

    def keep_only(self, name: str, seqs: set[int]) -> None:
        """The whole of an owner has come: what was not in it was removed while nobody here could hear of
        it.
        """
        owner = self.owners.get(name)
        if owner is None or name == self.name:
            return
        for key, held in list(owner.entries.items()):
            if held.entry.seq not in seqs and held.entry.seq <= owner.complete_seq:
                self._stop_gossip(owner.remove(key).entry)
