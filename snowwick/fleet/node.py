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
from snowwick.fleet.clock import HybridClock, ms_of
from snowwick.fleet.members import ALIVE, LEFT, STATES, SUSPECT, Members
from snowwick.fleet.store import TOLD, Store
from snowwick.fleet.wire import Dropped, Frame

HOLD = 30.0  # s that the registers of a dead member are kept: a cut that heals sooner costs no catching up
GOSSIP = 2  # members told the news each period, beside the one that is probed
COMPARE = 1.0  # periods between comparisons with a member drawn by chance
MOST_RUMOURS = 2048  # entries waiting to be passed on; beyond, those told most go
PULLS = 8  # owners pulled at once from a member
RETRY = 1.0  # periods after which a pull without an answer is made again
ANNOUNCED = 3  # times that a leaving balancer tells each of some members
ASKED = 1.0  # s that answers to a tool's question stand
TEXT = 1000  # bytes of a tool's answer in a frame


@dataclass(slots=True)
class CaughtUp:
    """News: this balancer has what the others have, for the first time since it started or was alone."""

    after: float


@dataclass(slots=True)
class DuplicateName:
    """News: another process has this balancer's name and started before it."""

    address: str


@dataclass(slots=True)
class Pulling:
    """A pull that is out: the owner's entries are asked of one member, piece after piece."""

    peer: str
    until: float
    whole: set[int] | None  # the numbers that have come, where all of the owner's are asked for


@dataclass(slots=True)
class Counts:
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
        self.members = Members(name, address, epoch, boot, period, rng)
        self.store = Store(name, epoch)
        self.gate = wire.Gate(name, boot)
        self.clock = HybridClock()
        self.counts = Counts()
        self.seq = 0
        self.out: list[tuple[str, bytes]] = []  # (address, datagram)
        self.news: list[object] = []  # members.Change, CaughtUp, DuplicateName
        self.pulling: dict[str, Pulling] = {}
        self.next_news = self.next_compare = self.next_join = self.next_greeting = 0.0
        self.began: float | None = None
        self.caught = False
        self.leaving = False
        self.dead: dict[str, float] = {}  # members that are gone, by when their registers go
        self.status: Callable[[], dict[str, Any]] = dict
        self.answers: dict[int, tuple[float, list[bytes]]] = {}
        self.handlers: dict[type, Callable[[Frame, Any, float], None]] = {
            wire.Ping: self._on_ping,
            wire.Ack: self._on_ack,
            wire.PingReq: self._on_ping_req,
            wire.Nack: self._on_nack,
            wire.Root: self._on_root,
            wire.Ranges: self._on_ranges,
            wire.Vector: self._on_vector,
            wire.Pull: self._on_pull,
            wire.Piece: self._on_piece,
            wire.News: lambda *_: None,
        }

    # -- own registers -----------------------------------------------------------------------------------

    def write(self, kind: int, key: str, value: bytes | None, now: float, left: float = 0.0) -> None:
        """Set or (None) remove an own register; ``left`` in s is how long it may be acted on, 0 for
        always.
        """
        self.store.write(kind, key, value, self.clock.stamp(self.wall_ms()), now, int(1000.0 * left))

    def leave(self, now: float) -> None:
        """Tell some members that this balancer goes; nothing is needed of it after that."""
        self.leaving = True
        self.members.leave()
        alive = [one.name for one in self.members.alive()]
        for name in self.random.sample(alive, min(ANNOUNCED, len(alive))):
            self._send(name, wire.News(), now)

    # -- time --------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        """Do what is due."""
        if self.began is None:
            self.began = self.next_news = self.next_compare = self.next_join = now
        if self.leaving:
            return
        for what, name, number in self.members.tick(now):
            probe = self.members.probing
            if what == "ask" and probe is not None:
                self._send(name, wire.PingReq(number, probe.name), now)
            else:
                self._ping(name, number, now)
        for number, (asker, theirs, until) in list(self.members.relayed.items()):
            if now >= until:
                del self.members.relayed[number]
                self._send(asker, wire.Nack(theirs), now)
        if now >= self.next_news:
            self.next_news = max(now, self.next_news + self.period)
            self._tell(now)
            self.store.sweep(now)
        if now >= self.next_join:
            self._join(now)
        if now >= self.next_compare:
            self.next_compare = max(now, self.next_compare + COMPARE * self.period)
            self._compare(now)
        for name, when in list(self.dead.items()):
            if now >= when:
                del self.dead[name]
                self.store.forget(name)
        self._changes(now)

    def due(self) -> float:
        """When ``tick`` has something to do next."""
        return min(self.members.due(), self.next_news, self.next_compare)

    def _join(self, now: float) -> None:
        """Call the seeds that are not known, more rarely once there are others."""
        self.next_join = now + self.period * (1.0 if not self.members.alive() else 4.0)
        known = {one.address for one in self.members.records.values()} | {self.members.me.address}
        for address in self.seeds:
            if address not in known:
                self._post(address, "", 0, wire.Ping(0), now)

    def _tell(self, now: float) -> None:
        if not self.members.rumours and not self.store.rumours:
            return
        self.counts.shed += self.store.shed(MOST_RUMOURS)
        alive = [one.name for one in self.members.alive()]
        for name in self.random.sample(alive, min(GOSSIP, len(alive))):
            self._send(name, wire.News(), now)

    def _compare(self, now: float) -> None:
        for owner in [owner for owner, one in self.pulling.items() if now >= one.until]:
            del self.pulling[owner]
        alive = [one.name for one in self.members.alive()]
        if alive:
            self._send(self.random.choice(alive), wire.Root(self.store.root()), now)

    # -- sending -----------------------------------------------------------------------------------------

    def _ping(self, name: str, number: int, now: float) -> None:
        one = self.members.records.get(name)
        if one is not None and one.state > SUSPECT:
            # A greeting: it may have started anew, and then knows nobody who could tell it of us.
            self._post(one.address, name, 0, wire.Ping(number), now)
        elif one is not None:
            self._send(name, wire.Ping(number, one.state == SUSPECT), now)

    def _send(self, name: str, body: wire.Body, now: float) -> None:
        one = self.members.records.get(name)
        if one is not None:
            self._post(one.address, name, one.boot, body, now)

    def _post(
        self,
        address: str,
        name: str,
        boot: int,
        body: wire.Body,
        now: float,
        members: Sequence[wire.Member] = (),
    ) -> None:
        me, self.seq = self.members.me, self.seq + 1
        frame = Frame(self.name, me.address, me.incarnation, me.boot, self.seq, name, boot, body, [*members])
        room = wire.MOST - 1 - wire.DIGEST - wire.size(frame) - 6
        if boot and not members:
            room = self._add_members(frame, room, name)
            if not isinstance(body, wire.Piece):
                self._add_entries(frame, room, now)
        datagram = wire.seal(frame, self.keys[0])
        self.counts.frames_out += 1
        self.counts.bytes_out += len(datagram)
        self.out.append((address, datagram))

    def _add_members(self, frame: Frame, room: int, to: str) -> int:
        rumours = list(self.members.gossip())
        if self.members.records[to].state != ALIVE:  # it has to know, or it cannot refute it
            rumours.insert(0, self.members.records[to].member())
        for member in rumours:
            room -= wire.size(member)
            if room < 0:
                break
            frame.members.append(member)
            self.members.told(member.name)
        return room

    def _add_entries(self, frame: Frame, room: int, now: float) -> None:
        for entry in self.store.gossip(math.ceil(TOLD * self.members.scale()), now):
            room -= wire.size(entry)
            if room < 0:
                break
            frame.entries.append(entry)
            self.store.told(entry)

    # -- hearing -----------------------------------------------------------------------------------------

    def receive(self, datagram: bytes, now: float, source: str = "") -> None:
        """Take in a datagram; what is no good is counted and dropped.  ``source`` answers a tool."""
        self.counts.frames_in += 1
        self.counts.bytes_in += len(datagram)
        try:
            frame = wire.unseal(datagram, self.keys)
            if frame.sender == self.name:
                self._on_own_name(frame, now)
                raise Dropped("own-name")
            self.gate.check(frame)
        except Dropped as dropped:
            self.counts.dropped[dropped.reason] += 1
            if dropped.reason == "replayed":
                self._tell_number(frame, now)
                self._greet(frame, now)
            return
        if isinstance(frame.body, wire.Ask):
            self._on_ask(frame.body, now, source)
            return
        self.members.met(frame.sender, frame.address, frame.incarnation, frame.boot, now)
        if self.members.boot_of(frame.sender) != frame.boot:  # an earlier start goes over it by its number
            self._tell_number(frame, now)
            return
        for member in frame.members:
            if (
                member.name == self.name
                and member.boot != self.members.me.boot
                and member.state <= SUSPECT
                and member.address != self.members.me.address
            ):
                self._post(member.address, self.name, 0, wire.Ping(0), now)  # an earlier start, or a twin?
            self.members.hear(member, frame.sender, now)
        for entry in frame.entries:
            self._take(entry, now)
        handler = self.handlers.get(type(frame.body))
        if handler is not None:
            handler(frame, frame.body, now)
        self._changes(now)

    def _tell_number(self, frame: Frame, now: float) -> None:
        """Tell a start whose number is not above an earlier one's, by a clock gone back, that number.

        Nothing that it says counts until it has counted on from there; a replayed greeting costs one answer.
        """
        known = self.members.records.get(frame.sender)
        if isinstance(frame.body, wire.Ping) and known is not None and known.boot != frame.boot:
            self._post(frame.address, frame.sender, frame.boot, wire.News(), now, [known.member()])

    def _greet(self, frame: Frame, now: float) -> None:
        """Who writes to an earlier start of this balancer has not heard of this one, though others may have.

        At most one greeting a period.
        """
        if (
            frame.to == self.name
            and frame.to_boot
            and frame.to_boot != self.members.me.boot
            and now >= self.next_greeting
        ):
            self.next_greeting = now + self.period
            self._post(frame.address, frame.sender, 0, wire.Ping(0), now)

    def _on_own_name(self, frame: Frame, now: float) -> None:
        """A process with this balancer's name is there.  The younger of the two leaves.

        Which is younger shows by the epochs that both draw at their start; the same epoch goes by the boot.
        """
        me = self.members.me
        if frame.boot == me.boot or frame.address == me.address:
            return
        if isinstance(frame.body, wire.Ping):
            # Answered, so that the other finds out as well; its own rule keeps it from answering without end.
            self._post(frame.address, self.name, 0, wire.Ack(self.store.owners[self.name].epoch), now)
        elif isinstance(frame.body, wire.Ack):
            mine = self.store.owners[self.name].epoch
            if (frame.body.number, frame.boot) < (mine, me.boot) and not self.leaving:
                self.leaving = True
                self.news.append(DuplicateName(frame.address))

    def _take(self, entry: wire.Entry, now: float) -> None:
        if entry.owner == self.name:
            if entry.epoch > self.store.owners[self.name].epoch:
                # Of a later start by its number: this machine's clock has gone back.  Count on from there.
                self.store.restart(entry.epoch + 1, now)
        elif self.members.is_there(entry.owner):  # nothing of who is gone comes back by way of a third
            self.clock.hear(entry.stamp, self.wall_ms())
            self.store.take(entry, now)

    def _changes(self, now: float) -> None:
        for change in self.members.changes:
            self.news.append(change)
            name = change.member.name
            if change.member.state == LEFT:
                self.store.forget(name)
            elif change.member.state > SUSPECT:
                self.dead[name] = now + HOLD
            else:
                self.dead.pop(name, None)
        self.members.changes.clear()

    def _on_ping(self, frame: Frame, body: wire.Ping, now: float) -> None:
        self._send(frame.sender, wire.Ack(body.number), now)

    def _on_ack(self, frame: Frame, body: wire.Ack, now: float) -> None:
        relayed = self.members.relayed.pop(body.number, None) if body.number else None
        if relayed is not None:
            self._send(relayed[0], wire.Ack(relayed[1]), now)
        probe = self.members.probing
        if probe is not None and body.number == probe.number and frame.sender in (probe.name, *probe.asked):
            self.members.answered(body.number)

    def _on_ping_req(self, frame: Frame, body: wire.PingReq, now: float) -> None:
        self.members.number += 1
        self.members.relayed[self.members.number] = frame.sender, body.number, now + 0.5 * self.period
        self._ping(body.name, self.members.number, now)

    def _on_nack(self, frame: Frame, body: wire.Nack, now: float) -> None:
        self.members.refused(body.number, frame.sender)

    # -- comparing ---------------------------------------------------------------------------------------

    def _on_root(self, frame: Frame, body: wire.Root, now: float) -> None:
        if body.hash == self.store.root():
            self._has_caught(now)
            return
        count = self.store.how_many()
        if count > 1:
            self._send(frame.sender, wire.Ranges(self.store.ranges(count)), now)
        else:
            self._vector(frame.sender, self.store.rows(), True, now, 1, [0])

    def _on_ranges(self, frame: Frame, body: wire.Ranges, now: float) -> None:
        count = len(body.hashes)
        if not 1 <= count <= 1 << 16:
            return
        mine = self.store.ranges(count)
        differing = [at for at in range(count) if mine[at] != body.hashes[at]]
        self.random.shuffle(differing)  # where not all rows fit, others come another time
        ranges = differing[:PULLS]
        self._vector(frame.sender, self.store.rows(set(ranges), count), True, now, count, ranges)

    def _vector(
        self,
        to: str,
        rows: list[wire.Row],
        answer: bool,
        now: float,
        count: int = 1,
        ranges: Sequence[int] = (),
    ) -> None:
        room, some = wire.MOST - 300, list[wire.Row]()
        self.random.shuffle(rows)
        for row in rows:
            room -= wire.size(row)
            if room < 0:
                break
            some.append(row)
        self._send(to, wire.Vector(some, answer, count, [*ranges] if len(some) == len(rows) else []), now)

    def _on_vector(self, frame: Frame, body: wire.Vector, now: float) -> None:
        if body.answer:
            named = {row.owner for row in body.rows}
            mine = [owner.row(name) for name, owner in self.store.owners.items() if name in named]
            # Who stands here and was not named may be unknown there: news that was lost is told again.
            for name, owner in self.store.owners.items():
                if name not in named and owner.id % max(1, body.count) in body.ranges:
                    mine.append(owner.row(name))
                    if name in self.members.records:
                        self.members.rumours[name] = 0
            self._vector(frame.sender, mine, False, now)
        for row in body.rows:
            if row.owner == self.name and row.epoch > self.store.owners[self.name].epoch:
                self.store.restart(row.epoch + 1, now)
            if self.members.is_there(row.owner):
                self._pull(frame.sender, row, now)

    def _pull(self, peer: str, row: wire.Row, now: float) -> None:
        if row.owner in self.pulling or len(self.pulling) >= PULLS:
            return
        wanted = self.store.behind(row)
        if wanted is not None:
            after, whole = wanted
            self.pulling[row.owner] = Pulling(peer, now + RETRY * self.period, set() if whole else None)
            self._send(peer, wire.Pull(row.owner, row.epoch, after, whole), now)

    def _on_pull(self, frame: Frame, body: wire.Pull, now: float) -> None:
        room = wire.MOST - 260 - len(self.name) - 2 * len(body.owner)
        found = self.store.piece(body.owner, body.epoch, body.after, room, now)
        if found is not None:
            row, upto, more, entries = found
            after = body.after if row.epoch == body.epoch else 0
            self._send(frame.sender, wire.Piece(row, after, upto, more, body.whole, entries), now)

    def _on_piece(self, frame: Frame, body: wire.Piece, now: float) -> None:
        name, row = body.row.owner, body.row
        pulling = self.pulling.get(name)
        if (
            name == self.name
            or not self.members.is_there(name)
            or pulling is None
            or pulling.peer != frame.sender
        ):
            return
        for entry in body.entries:
            self.clock.hear(entry.stamp, self.wall_ms())
        self.store.merge(
            row, body.after, body.upto, [entry for entry in body.entries if entry.owner == name], now
        )
        if pulling.whole is not None:
            pulling.whole.update(entry.seq for entry in body.entries)
        if body.more:
            pulling.until = now + RETRY * self.period
            self._send(frame.sender, wire.Pull(name, row.epoch, body.upto, body.whole), now)
            return
        if pulling.whole is not None and body.whole:
            self.store.keep_only(name, pulling.whole)
        del self.pulling[name]
        wanted = self.store.behind(row)
        if wanted is not None and pulling.whole is None and wanted[1]:
            self._pull(frame.sender, row, now)

    def _has_caught(self, now: float) -> None:
        if not self.caught and self.began is not None:
            self.caught = True
            self.news.append(CaughtUp(now - self.began))

    # -- a tool's question -------------------------------------------------------------------------------

    def _on_ask(self, body: wire.Ask, now: float, source: str) -> None:
        """Answered to where it came from, in parts, so that no answer is larger than a frame."""
        self.answers = {n: row for n, row in self.answers.items() if now < row[0]}
        if body.number not in self.answers:
            text = json.dumps({**self.describe(now), **self.status()}).encode()
            parts = [text[at : at + TEXT] for at in range(0, len(text), TEXT)]
            self.answers[body.number] = now + ASKED, parts
        parts = self.answers[body.number][1]
        if source and 0 <= body.part < len(parts):
            self._post(source, "", 0, wire.Told(body.number, body.part, len(parts), parts[body.part]), now)

    def describe(self, now: float) -> dict[str, Any]:
        """How things stand, for ``snowwick fleet status``."""
        me = self.members.me
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
                    "state": STATES[one.state],
                    "incarnation": one.incarnation,
                    "for_s": round(now - one.since, 1),
                    "entries": len(owner.entries) if owner is not None else 0,
                }
            )
        kinds: Counter[int] = Counter()
        ages: dict[int, float] = {}
        wall = self.wall_ms()
        for owner in self.store.owners.values():
            for (kind, _), held in owner.entries.items():
                kinds[kind] += 1
                ages[kind] = max(ages.get(kind, 0.0), (wall - ms_of(held.entry.stamp)) / 1000.0)
        return {
            "name": self.name,
            "members": rows,
            "caught_up": self.caught,
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

    def take_out(self) -> list[tuple[str, bytes]]:
        """What is to be sent, once."""
        out, self.out = self.out, []
        return out

    def take_news(self) -> Iterator[object]:
        """What happened, once."""
        news, self.news = self.news, []
        yield from news

    def same_as(self, other: Node) -> bool:
        """Do both hold the same?  For tests and simulations."""
        return self.store.root() == other.store.root()
