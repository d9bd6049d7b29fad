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
DIGEST_BYTES = 16
MAX_FRAME_BYTES = (
    1400  # bytes of a frame: an Ethernet's worth, so that the loss of one part never costs several
)
REPLAY_WINDOW_FRAMES = 256  # frames that may overtake each other (RFC 4303, 3.4.3)
# Remembered for replays: far above any fleet, so that names made up by a keyholder are bounded
MAX_SENDERS = 4096


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
    timestamp: int
    remaining_ms: int = 0


class Ping(msgspec.Struct, array_like=True, tag=1):
    """Answer with ``Ack``; ``accused`` tells the receiver at once that it is suspected (Lifeguard's
    buddy).
    """

    number: int
    suspected: bool = False


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


class RootHash(msgspec.Struct, array_like=True, tag=5):
    """The hash over all that the sender holds."""

    hash: int


class RangeHashes(msgspec.Struct, array_like=True, tag=6):
    """The hashes of the ranges into which the owners fall."""

    hashes: list[int]


class OwnerSummary(msgspec.Struct, array_like=True, frozen=True):
    """What the sender holds of an owner: all up to ``complete``, and the hash of what stands."""

    owner: str
    epoch: int
    complete_seq: int
    hash: int


class VersionVector(msgspec.Struct, array_like=True, tag=7):
    """A version vector's rows; ``answer`` asks for the receiver's rows of the same owners.

    The rows are all that the sender has in those of ``count`` ranges; none are named where not all had room.
    """

    summaries: list[OwnerSummary]
    wants_reply: bool = False
    range_count: int = 1
    ranges: list[int] = []


class PullRequest(msgspec.Struct, array_like=True, tag=8):
    """Send me that owner's entries after ``after``; ``whole`` says that what does not come is to go."""

    owner: str
    epoch: int
    after: int
    full: bool = False


class PullReply(msgspec.Struct, array_like=True, tag=9):
    """Entries of one owner in the order of ``seq``, all that stand in (after, upto]."""

    summary: OwnerSummary
    after: int
    up_to: int
    more: bool
    full: bool
    entries: list[Entry]


class Gossip(msgspec.Struct, array_like=True, tag=10):
    """Nothing but what every frame carries beside its body."""


class StatusRequest(msgspec.Struct, array_like=True, tag=11):
    """An operator's tool asks how things stand; ``number`` comes back with each part of the answer."""

    number: int
    part: int


class StatusReply(msgspec.Struct, array_like=True, tag=12):
    """One part of the answer to ``Ask``: JSON, in ``parts`` parts."""

    number: int
    part: int
    part_count: int
    text: bytes


Body = (
    Ping
    | Ack
    | PingReq
    | Nack
    | RootHash
    | RangeHashes
    | VersionVector
    | PullRequest
    | PullReply
    | Gossip
    | StatusRequest
    | StatusReply
)
# May come from who does not know the receiver's boot yet; nothing they carry counts then
BODIES_WITHOUT_BOOT = (Ping, Ack, StatusRequest)


class Frame(msgspec.Struct, array_like=True):
    """One datagram; ``to_boot`` is 0 where the sender has not heard from the receiver yet."""

    sender: str
    address: str
    incarnation: int
    boot: int
    seq: int
    receiver: str
    receiver_boot: int
    body: Body
    members: list[Member] = []
    entries: list[Entry] = []


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Frame)


class FrameDropped(Exception):
    """The frame does not count; ``reason`` is its code."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def encoded_size(message: msgspec.Struct) -> int:
    """Bytes that a part takes in a frame."""
    return len(ENCODER.encode(message))


def keyed_digest(key: bytes, data: bytes) -> bytes:
    return blake2b(data, digest_size=DIGEST_BYTES, key=key).digest()


def seal(frame: Frame, key: bytes) -> bytes:
    """The datagram of a frame."""
    data = bytes([VERSION]) + ENCODER.encode(frame)
    return data[:1] + keyed_digest(key, data) + data[1:]


def unseal(datagram: bytes, keys: Sequence[bytes]) -> Frame:
    """The frame of a datagram under any of the keys; raises Dropped."""
    if len(datagram) > MAX_FRAME_BYTES:
        raise FrameDropped("too-long")
    if len(datagram) <= 1 + DIGEST_BYTES or datagram[0] != VERSION:
        raise FrameDropped("version" if datagram[:1] != bytes([VERSION]) else "malformed")
    said, data = datagram[1 : 1 + DIGEST_BYTES], datagram[:1] + datagram[1 + DIGEST_BYTES :]
    if not any(hmac.compare_digest(said, keyed_digest(key, data)) for key in keys):
        raise FrameDropped("digest")
    try:
        return DECODER.decode(data[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FrameDropped("malformed") from error


@dataclass(slots=True)
class ReplayWindow:
    """Which of a sender's numbers have come: the highest, and a bit for each of the last ``WINDOW``."""

    boot: int
    incarnation: int
    highest: int = 0
    seen_bits: int = 0

    def accept(self, seq: int) -> bool:
        """True the first time that a number comes; what is older than the window counts as seen."""
        if seq > self.highest:
            self.seen_bits = (self.seen_bits << min(seq - self.highest, REPLAY_WINDOW_FRAMES) | 1) & (
                (1 << REPLAY_WINDOW_FRAMES) - 1
            )
            self.highest = seq
            return True
        bit = 1 << (self.highest - seq)
        if self.highest - seq >= REPLAY_WINDOW_FRAMES or self.seen_bits & bit:
            return False
        self.seen_bits |= bit
        return True


@dataclass(slots=True)
class ReplayFilter:
    """Lets each frame in once.

    A frame counts for the start of the balancer that it was sent to; a sender that starts anew has a higher
    incarnation, so that what an earlier start of it sent is not taken again.
    """

    name: str
    boot: int
    windows: dict[str, ReplayWindow] = field(default_factory=dict)

    def check(self, frame: Frame) -> None:
        """Raises Dropped."""
        if frame.receiver not in (self.name, ""):
            raise FrameDropped("for-another")
        if frame.receiver_boot not in (0, self.boot):
            raise FrameDropped("replayed")
        if not frame.receiver_boot:
            if not isinstance(frame.body, BODIES_WITHOUT_BOOT):
                raise FrameDropped("replayed")
            frame.members, frame.entries = [], []
        if isinstance(frame.body, StatusRequest):
            return  # a tool is no member; asking changes nothing
        window = self.windows.get(frame.sender)
        if window is None or frame.boot != window.boot:
            if window is not None and frame.incarnation <= window.incarnation:
                raise FrameDropped("replayed")
            if window is None and len(self.windows) >= MAX_SENDERS:
                raise FrameDropped("too-many-senders")
            window = self.windows[frame.sender] = ReplayWindow(frame.boot, frame.incarnation)
        window.incarnation = max(window.incarnation, frame.incarnation)
        if not window.accept(frame.seq):
            raise FrameDropped("replayed")
