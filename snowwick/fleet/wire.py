"""Frames between balancers: msgpack under a keyed digest, one a datagram.

A frame is one byte of version, 16 bytes of BLAKE2b keyed with the fleet's key, and the message.  The digest
covers all that follows it and the version.  What cannot be proved to be a fresh frame of a member for this
start of this balancer is dropped by its reason code and never raises.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

VERSION = 1
DIGEST = 16
MOST = 1400  # bytes of a frame: an Ethernet's worth, so that the loss of one part never costs several
WINDOW = 256  # frames that may overtake each other (RFC 4303, 3.4.3)
# Remembered for replays: far above any fleet, so that names made up by a keyholder are bounded
SENDERS = 4096


class Member(msgspec.Struct, array_like=True, frozen=True):
    """What is said of a member; ``state`` as in members.py, ``boot`` is drawn anew at each start."""

    name: str
    address: str
    incarnation: int
    state: int
    boot: int


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One register: written by its owner alone, the highest (epoch, seq) holds; no value is a tombstone.

    ``stamp`` is the owner's hybrid clock, ``left`` the ms that it may still be acted on (0: while its owner
    is a member); the time that a copy has been held here is taken off before it is passed on.
    """

    owner: str
    epoch: int
    seq: int
    kind: int
    key: str
    value: bytes | None
    stamp: int
    left: int = 0


class Ping(msgspec.Struct, array_like=True, tag=1):
    """Answer with ``Ack``; ``accused`` tells the receiver at once that it is suspected (Lifeguard's
    buddy).
    """

    number: int
    accused: bool = False


class Ack(msgspec.Struct, array_like=True, tag=2):
    """To a ping; ``number`` is the asker's own."""

    number: int


class PingReq(msgspec.Struct, array_like=True, tag=3):
    """Ping that member for me; answered with ``Ack`` if it answers, else with ``Nack`` in time."""

    number: int
    name: str


class Nack(msgspec.Struct, array_like=True, tag=4):
    """The member did not answer, but I do: the fault is not the asker's own."""

    number: int


class Root(msgspec.Struct, array_like=True, tag=5):
    """The hash over all that the sender holds."""

    hash: int


class Ranges(msgspec.Struct, array_like=True, tag=6):
    """The hashes of the ranges into which the owners fall."""

    hashes: list[int]


class Row(msgspec.Struct, array_like=True, frozen=True):
    """What the sender holds of an owner: all up to ``complete``, and the hash of what stands."""

    owner: str
    epoch: int
    complete: int
    hash: int


class Vector(msgspec.Struct, array_like=True, tag=7):
    """A version vector's rows; ``answer`` asks for the receiver's rows of the same owners.

    The rows are all that the sender has in those of ``count`` ranges; none are named where not all had room.
    """

    rows: list[Row]
    answer: bool = False
    count: int = 1
    ranges: list[int] = []


class Pull(msgspec.Struct, array_like=True, tag=8):
    """Send me that owner's entries after ``after``; ``whole`` says that what does not come is to go."""

    owner: str
    epoch: int
    after: int
    whole: bool = False


class Piece(msgspec.Struct, array_like=True, tag=9):
    """Entries of one owner in the order of ``seq``, all that stand in (after, upto]."""

    row: Row
    after: int
    upto: int
    more: bool
    whole: bool
    entries: list[Entry]


class News(msgspec.Struct, array_like=True, tag=10):
    """Nothing but what every frame carries beside its body."""


class Ask(msgspec.Struct, array_like=True, tag=11):
    """An operator's tool asks how things stand; ``number`` comes back with each part of the answer."""

    number: int
    part: int


class Told(msgspec.Struct, array_like=True, tag=12):
    """One part of the answer to ``Ask``: JSON, in ``parts`` parts."""

    number: int
    part: int
    parts: int
    text: bytes


Body = Ping | Ack | PingReq | Nack | Root | Ranges | Vector | Pull | Piece | News | Ask | Told
# May come from who does not know the receiver's boot yet; nothing they carry counts then
OPEN = (Ping, Ack, Ask)


class Frame(msgspec.Struct, array_like=True):
    """One datagram; ``to_boot`` is 0 where the sender has not heard from the receiver yet."""

    sender: str
    address: str
    incarnation: int
    boot: int
    seq: int
    to: str
    to_boot: int
    body: Body
    members: list[Member] = []
    entries: list[Entry] = []


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


class Dropped(Exception):
    """The frame does not count; ``reason`` is its code."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def size(message: msgspec.Struct) -> int:
    """Bytes that a part takes in a frame."""
    return len(ENCODER.encode(message))


def digest(key: bytes, data: bytes) -> bytes:
    return blake2b(data, digest_size=DIGEST, key=key).digest()


def seal(frame: Frame, key: bytes) -> bytes:
    """The datagram of a frame."""
    data = bytes([VERSION]) + ENCODER.encode(frame)
    return data[:1] + digest(key, data) + data[1:]


def unseal(datagram: bytes, keys: Sequence[bytes]) -> Frame:
    """The frame of a datagram under any of the keys; raises Dropped."""
    if len(datagram) > MOST:
        raise Dropped("too-long")
    if len(datagram) <= 1 + DIGEST or datagram[0] != VERSION:
        raise Dropped("version" if datagram[:1] != bytes([VERSION]) else "malformed")
    said, data = datagram[1 : 1 + DIGEST], datagram[:1] + datagram[1 + DIGEST :]
    if not any(hmac.compare_digest(said, digest(key, data)) for key in keys):
        raise Dropped("digest")
    try:
        return DECODER.decode(data[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise Dropped("malformed") from error


@dataclass(slots=True)
class Window:
    """Which of a sender's numbers have come: the highest, and a bit for each of the last ``WINDOW``."""

    boot: int
    incarnation: int
    highest: int = 0
    seen: int = 0

    def take(self, seq: int) -> bool:
        """True the first time that a number comes; what is older than the window counts as seen."""
        if seq > self.highest:
            self.seen = (self.seen << min(seq - self.highest, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.highest = seq
            return True
        bit = 1 << (self.highest - seq)
        if self.highest - seq >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


@dataclass(slots=True)
class Gate:
    """Lets each frame in once.

    A frame counts for the start of the balancer that it was sent to; a sender that starts anew has a higher
    incarnation, so that what an earlier start of it sent is not taken again.
    """

    name: str
    boot: int
    senders: dict[str, Window] = field(default_factory=dict)

    def check(self, frame: Frame) -> None:
        """Raises Dropped."""
        if frame.to not in (self.name, ""):
            raise Dropped("for-another")
        if frame.to_boot not in (0, self.boot):
            raise Dropped("replayed")
        if not frame.to_boot:
            if not isinstance(frame.body, OPEN):
                raise Dropped("replayed")
            frame.members, frame.entries = [], []
        if isinstance(frame.body, Ask):
            return  # a tool is no member; asking changes nothing
        window = self.senders.get(frame.sender)
        if window is None or frame.boot != window.boot:
            if window is not None and frame.incarnation <= window.incarnation:
                raise Dropped("replayed")
            if window is None and len(self.senders) >= SENDERS:
                raise Dropped("too-many-senders")
            window = self.senders[frame.sender] = Window(frame.boot, frame.incarnation)
        window.incarnation = max(window.incarnation, frame.incarnation)
        if not window.take(frame.seq):
            raise Dropped("replayed")
