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

from snowwick.fleet.wire import Entry, Row, size

TOMBSTONE = 60.0  # s that a tombstone is kept: longer than a rumour lives, so that few need the whole
VALUE = 900  # bytes of a value, so that an entry and what frames carry beside it fit one datagram
ENTRIES, BYTES = 4096, 1 << 20  # of one owner at most: beyond, its registers are not taken
OWNERS_A_RANGE = 8  # about; a range's rows then fit one frame
MASK = (1 << 64) - 1
TOLD = 3.0  # times log2 of the members that an entry is passed on by each that hears of it


def hash_of(*parts: object) -> int:
    """64 bits of the parts' text."""
    return int.from_bytes(blake2b("\0".join(map(str, parts)).encode(), digest_size=8).digest(), "big")


def mix(*numbers: int) -> int:
    """64 bits of whole numbers, the same everywhere; against chance only, as frames are proved by the key."""
    h = 0x9E3779B97F4A7C15
    for number in numbers:
        h = (h ^ number) * 0xBF58476D1CE4E5B9 & MASK
        h ^= h >> 31
    return h


@dataclass(slots=True)
class Held:
    """A register's copy here, and when it came (s, this process's clock)."""

    entry: Entry
    at: float
    bytes: int
    hash: int


@dataclass(slots=True)
class Owner:
    """All that is held of one owner; ``id`` is its name as a number."""

    id: int
    epoch: int = 0
    complete: int = 0
    hash: int = 0  # over what stands; tombstones are not in it
    bytes: int = 0
    entries: dict[tuple[int, str], Held] = field(default_factory=dict)
    ahead: set[int] = field(default_factory=set)  # numbers that came before one that is missing
    order: list[Held] | None = None  # by number, made when it is asked for

    def row(self, name: str) -> Row:
        return Row(name, self.epoch, self.complete, self.hash)

    def reach(self, number: int) -> None:
        """Nothing is missing up to there, nor up to what came ahead and joins on."""
        self.complete = max(self.complete, number)
        while self.complete + 1 in self.ahead:
            self.complete += 1
        self.ahead = {seq for seq in self.ahead if seq > self.complete} if self.ahead else self.ahead

    def drop(self, key: tuple[int, str]) -> Held:
        """The register does not stand any more."""
        held, self.order = self.entries.pop(key), None
        self.hash ^= held.hash
        self.bytes -= held.bytes
        return held


class Store:
    """One balancer's copy of everybody's registers, and its own."""

    def __init__(self, name: str, epoch: int, entries: int = ENTRIES, most_bytes: int = BYTES) -> None:
        self.name, self.most_entries, self.most_bytes = name, entries, most_bytes
        self.owners: dict[str, Owner] = {name: Owner(hash_of(name), epoch)}
        # Registers that are passed on, how often they were
        self.rumours: dict[tuple[str, int, str], int] = {}
        self.next_sweep = 0.0
        self.refused = 0  # entries beyond the bounds

    # -- writing -----------------------------------------------------------------------------------------

    def write(self, kind: int, key: str, value: bytes | None, stamp: int, now: float, left: int = 0) -> None:
        """Set or (None) remove an own register; the same value again is nothing new."""
        own = self.owners[self.name]
        held = own.entries.get((kind, key))
        if (held.entry.value if held is not None else None) == value and not left:
            return
        if value is not None and len(value) > VALUE:
            raise ValueError(f"a value of {len(value)} bytes; {VALUE} are possible")
        own.complete += 1
        self._put(own, Entry(self.name, own.epoch, own.complete, kind, key, value, stamp, left), now)

    def restart(self, epoch: int, now: float) -> None:
        """Own registers under a higher epoch: another start of this balancer was heard of with this one."""
        own = self.owners[self.name]
        old, self.owners[self.name] = own.entries, Owner(own.id, epoch)
        self.rumours = {key: times for key, times in self.rumours.items() if key[0] != self.name}
        for held in old.values():
            if held.entry.value is not None:
                e = held.entry
                self.write(e.kind, e.key, e.value, e.stamp, now, e.left)

    # -- taking ------------------------------------------------------------------------------------------

    def take(self, entry: Entry, now: float) -> bool:
        """Merge one entry; True where it is news here."""
        if entry.owner == self.name:
            return False
        owner = self._owner(entry.owner)
        if entry.epoch != owner.epoch:
            if entry.epoch < owner.epoch:
                return False
            owner = self._renew(entry.owner, entry.epoch)
        if entry.seq <= owner.complete:
            return False
        if entry.seq == owner.complete + 1:
            owner.reach(entry.seq)
        else:
            owner.ahead.add(entry.seq)
            if len(owner.ahead) > self.most_entries:  # far behind: the next comparison brings the rest
                owner.ahead.clear()
        held = owner.entries.get((entry.kind, entry.key))
        if held is not None and held.entry.seq >= entry.seq:
            return False
        return self._put(owner, entry, now)

    def _owner(self, name: str) -> Owner:
        owner = self.owners.get(name)
        if owner is None:
            owner = self.owners[name] = Owner(hash_of(name))
        return owner

    def _renew(self, name: str, epoch: int) -> Owner:
        old = self.owners.get(name)
        owner = self.owners[name] = Owner(hash_of(name), epoch)
        for held in old.entries.values() if old is not None else ():
            self._quiet(held.entry)
        return owner

    def _quiet(self, entry: Entry) -> None:
        """It is passed on no more."""
        self.rumours.pop((entry.owner, entry.kind, entry.key), None)

    def _put(self, owner: Owner, entry: Entry, now: float) -> bool:
        key, old, owner.order = (entry.kind, entry.key), owner.entries.get((entry.kind, entry.key)), None
        new = size(entry) if entry.value is not None else 0
        if old is None and (len(owner.entries) >= self.most_entries or owner.bytes + new > self.most_bytes):
            self.refused += 1
            if entry.owner == self.name:
                owner.complete -= 1
            return False
        if old is not None:
            owner.hash ^= old.hash
            owner.bytes -= old.bytes
        mark = hash_of(entry.kind, entry.key, entry.seq) if entry.value is not None else 0
        owner.entries[key] = Held(entry, now, new, mark)
        owner.hash ^= mark
        owner.bytes += new
        self.rumours[entry.owner, *key] = 0
        return True

    def forget(self, name: str) -> None:
        """The owner is no member any more."""
        owner = self.owners.pop(name, None)
        for held in owner.entries.values() if owner is not None else ():
            self._quiet(held.entry)

    def sweep(self, now: float) -> None:
        """Drop tombstones whose time is over, looked for now and then."""
        if now < self.next_sweep:
            return
        self.next_sweep = now + 0.1 * TOMBSTONE
        for owner in self.owners.values():
            for key in [
                key
                for key, held in owner.entries.items()
                if held.entry.value is None and now - held.at >= TOMBSTONE
            ]:
                self._quiet(owner.drop(key).entry)

    # -- reading -----------------------------------------------------------------------------------------

    def standing(self, kind: int) -> Iterator[Held]:
        """The registers of a kind that stand, whoever owns them."""
        for owner in self.owners.values():
            for (of, _), held in owner.entries.items():
                if of == kind and held.entry.value is not None:
                    yield held

    @staticmethod
    def left(held: Held, now: float) -> float:
        """Seconds for which the register may still be acted on."""
        return held.entry.left / 1000.0 - (now - held.at) if held.entry.left else math.inf

    def copy(self, held: Held, now: float) -> Entry:
        """The entry as it is passed on: less by the time that it was held here."""
        e = held.entry
        if not e.left:
            return e
        return Entry(
            e.owner,
            e.epoch,
            e.seq,
            e.kind,
            e.key,
            e.value,
            e.stamp,
            max(1, int(1000.0 * self.left(held, now))),
        )

    # -- passing on --------------------------------------------------------------------------------------

    def gossip(self, most: int, now: float) -> Iterator[Entry]:
        """The entries to pass on, the least often told first; ``told`` counts what went.

        ``most`` is how often each is told.  Bounded by what a frame holds: what is not reached in time is
        found by comparison.
        """
        for key in [key for key, times in self.rumours.items() if times >= most]:
            del self.rumours[key]
        for key in sorted(self.rumours, key=lambda key: self.rumours[key]):
            owner = self.owners.get(key[0])
            held = owner.entries.get(key[1:]) if owner is not None else None
            if held is None:
                del self.rumours[key]
            else:
                yield self.copy(held, now)

    def told(self, entry: Entry) -> None:
        key = entry.owner, entry.kind, entry.key
        if key in self.rumours:
            self.rumours[key] += 1

    def shed(self, most: int) -> int:
        """Keep at most so many rumours, dropping those told most; comparison still finds them."""
        over = len(self.rumours) - most
        for key in sorted(self.rumours, key=lambda key: -self.rumours[key])[: max(0, over)]:
            del self.rumours[key]
        return max(0, over)

    # -- comparing ---------------------------------------------------------------------------------------

    def root(self) -> int:
        """The hash over all owners."""
        return self.ranges(1)[0]

    def ranges(self, count: int) -> list[int]:
        """The hashes of so many ranges of owners."""
        hashes = [0] * count
        for owner in self.owners.values():
            hashes[owner.id % count] ^= mix(owner.id, owner.epoch, owner.complete, owner.hash)
        return hashes

    def how_many(self) -> int:
        """Ranges in which the owners are compared."""
        return 1 << max(0, math.ceil(math.log2(max(1, len(self.owners) / OWNERS_A_RANGE))))

    def rows(self, differing: set[int] | None = None, count: int = 1) -> list[Row]:
        """The rows of the owners in those ranges."""
        return [
            owner.row(name)
            for name, owner in self.owners.items()
            if differing is None or owner.id % count in differing
        ]

    def behind(self, row: Row) -> tuple[int, bool] | None:
        """After which number to pull, and whether the whole, where the other has what is missing here."""
        if row.owner == self.name:
            return None
        own = self.owners.get(row.owner)
        if own is None or row.epoch > own.epoch:
            return 0, False
        if row.epoch < own.epoch or row.hash == own.hash:
            if row.epoch == own.epoch and row.complete > own.complete:
                own.reach(row.complete)  # the same stands; what is missing was replaced since
            return None
        if row.complete == own.complete and not own.ahead:
            # As far as each other, yet not the same: one holds what was removed while nobody could tell it,
            # so each keeps only what the other has too.
            return 0, True
        return own.complete, False

    def piece(
        self, name: str, epoch: int, after: int, room: int, now: float
    ) -> tuple[Row, int, bool, list[Entry]] | None:
        """The next entries of an owner after a number, as many as fit, and whether more follow."""
        owner = self.owners.get(name)
        if owner is None or owner.epoch < epoch:
            return None
        after = after if owner.epoch == epoch else 0
        some, upto, more = list[Entry](), after, False
        for held in self._after(owner, after):
            entry = self.copy(held, now)
            room -= size(entry) + 3
            if room < 0 and some:
                more = True
                break
            some.append(entry)
            upto = entry.seq
        return owner.row(name), owner.complete if not more else upto, more, some

    @staticmethod
    def _after(owner: Owner, after: int) -> list[Held]:
        if owner.order is None:
            owner.order = sorted(owner.entries.values(), key=lambda held: held.entry.seq)
        return owner.order[bisect_right(owner.order, after, key=lambda held: held.entry.seq) :]

    def merge(self, row: Row, after: int, upto: int, entries: list[Entry], now: float) -> None:
        """Take a piece."""
        for entry in entries:
            self.take(entry, now)
        for entry in entries:  # asked for, so no news to the others: halves that meet make no storm
            self._quiet(entry)
        owner = self._owner(row.owner)
        if row.owner != self.name and row.epoch > owner.epoch:
            owner = self._renew(row.owner, row.epoch)
        if row.owner != self.name and owner.epoch == row.epoch and after <= owner.complete:
            # All that stands up to there has come: what has not was replaced by what comes later.
            owner.reach(min(upto, row.complete))

    def keep_only(self, name: str, seqs: set[int]) -> None:
        """The whole of an owner has come: what was not in it was removed while nobody here could hear of
        it.
        """
        owner = self.owners.get(name)
        if owner is None or name == self.name:
            return
        for key, held in list(owner.entries.items()):
            if held.entry.seq not in seqs and held.entry.seq <= owner.complete:
                self._quiet(owner.drop(key).entry)
