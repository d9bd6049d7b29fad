"""The frames between balancers: msgpack messages with a keyed digest, one per UDP datagram.

A datagram is one byte of version, 16 bytes of BLAKE2b keyed with the fleet's key, and the message.  The
digest covers the version and the message.  For a datagram that is not authentic, valid and fresh, the
functions here raise ``FrameDropped`` with a reason code, and no other exception.

See node.py for the terms boot number, epoch, incarnation and owner.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

VERSION = 1  # of the frame format
DIGEST_BYTES = 16
# A frame fits one Ethernet packet: were it split, the loss of one fragment would lose the whole frame
MAX_FRAME_BYTES = 1400
REPLAY_WINDOW_FRAMES = 256  # how far frames of one sender may arrive out of order (RFC 4303, 3.4.3)
# Senders with a replay window: far more than any fleet has, but it bounds the memory that a holder of the key
# can use up with invented names
MAX_SENDERS = 4096


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A membership update; ``state`` is one of the numbers in members.py, ``boot`` the boot number."""

    name: str
    address: str
    incarnation: int
    state: int
    boot: int


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One version of a register; only its owner writes it, and the highest (epoch, seq) wins.

    A ``value`` of None is a tombstone.  ``timestamp`` is from the owner's hybrid logical clock.
    ``remaining_ms`` is how long the value may still be acted on (0: as long as its owner is a member); a
    member that forwards the entry subtracts the time since it received it.
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
    """Asks the receiver for an ``Ack``.

    ``suspected`` states that the sender suspects the receiver (Lifeguard's buddy system).
    """

    number: int
    suspected: bool = False


class Ack(msgspec.Struct, array_like=True, tag=2):
    """Answers a ``Ping``, or a ``PingReq`` whose member answered, with its number."""

    number: int


class PingReq(msgspec.Struct, array_like=True, tag=3):
    """Asks the receiver to ping the member ``name``.

    The receiver sends an ``Ack`` when that member answers, or a ``Nack`` before the probe fails.
    """

    number: int
    name: str


class Nack(msgspec.Struct, array_like=True, tag=4):
    """Answers a ``PingReq`` whose member did not answer; it shows the requester that its own link works."""

    number: int


class RootHash(msgspec.Struct, array_like=True, tag=5):
    """The hash over all registers that the sender holds."""

    hash: int


class RangeHashes(msgspec.Struct, array_like=True, tag=6):
    """The hashes of the sender's registers, one for each range of owners."""

    hashes: list[int]


class OwnerSummary(msgspec.Struct, array_like=True, frozen=True):
    """What the sender holds of an owner: all entries up to ``complete_seq``, and a hash of the live ones."""

    owner: str
    epoch: int
    complete_seq: int
    hash: int


class VersionVector(msgspec.Struct, array_like=True, tag=7):
    """Summaries of some owners; ``wants_reply`` asks for the receiver's summaries of the same owners.

    Owners are split into ``range_count`` ranges.  The summaries include all owners that the sender has in
    ``ranges``, which is empty where not all of them fit the frame.
    """

    summaries: list[OwnerSummary]
    wants_reply: bool = False
    range_count: int = 1
    ranges: list[int] = []


class PullRequest(msgspec.Struct, array_like=True, tag=8):
    """Asks for an owner's entries above the sequence number ``after``.

    After a ``full`` pull the requester removes the owner's entries that it did not receive.
    """

    owner: str
    epoch: int
    after: int
    full: bool = False


class PullReply(msgspec.Struct, array_like=True, tag=9):
    """The entries of one owner with sequence numbers in (``after``, ``up_to``], in order.

    Removed and replaced entries are missing.  ``more`` states that further entries follow.
    """

    summary: OwnerSummary
    after: int
    up_to: int
    more: bool
    full: bool
    entries: list[Entry]


class Gossip(msgspec.Struct, array_like=True, tag=10):
    """An empty body, for a frame that carries only membership updates and entries."""


class StatusRequest(msgspec.Struct, array_like=True, tag=11):
    """Requests one part of the status, for an operator's tool; the reply repeats both fields."""

    number: int
    part: int


class StatusReply(msgspec.Struct, array_like=True, tag=12):
    """One of ``part_count`` parts of the status, which together are a JSON text."""

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
# Bodies accepted in frames without the receiver's boot number; updates in such frames are ignored
BODIES_WITHOUT_BOOT = (Ping, Ack, StatusRequest)


class Frame(msgspec.Struct, array_like=True):
    """One message, with the sender's name, address, incarnation and boot number.

    ``receiver`` is empty and ``receiver_boot`` is 0 where the sender does not have them yet.  ``seq`` counts
    the sender's frames, so that replayed ones are detected.  ``members`` and ``entries`` are gossip.
    """

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
    """The frame is not accepted; ``reason`` is the code under which it is counted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def encoded_size(message: msgspec.Struct) -> int:
    """The number of bytes that a message takes in a frame."""
    return len(ENCODER.encode(message))


def keyed_digest(key: bytes, data: bytes) -> bytes:
    """The digest of ``data``, keyed BLAKE2b."""
    return blake2b(data, digest_size=DIGEST_BYTES, key=key).digest()


def seal(frame: Frame, key: bytes) -> bytes:
    """Encode a frame as a datagram, with its digest under the key."""
    data = bytes([VERSION]) + ENCODER.encode(frame)
    return data[:1] + keyed_digest(key, data) + data[1:]


def unseal(datagram: bytes, keys: Sequence[bytes]) -> Frame:
    """Decode a datagram whose digest matches one of the keys; raises FrameDropped."""
    if len(datagram) > MAX_FRAME_BYTES:
        raise FrameDropped("too-long")
    if len(datagram) <= 1 + DIGEST_BYTES or datagram[0] != VERSION:
        raise FrameDropped("version" if datagram[:1] != bytes([VERSION]) else "malformed")
    received_digest = datagram[1 : 1 + DIGEST_BYTES]
    data = datagram[:1] + datagram[1 + DIGEST_BYTES :]
    if not any(hmac.compare_digest(received_digest, keyed_digest(key, data)) for key in keys):
        raise FrameDropped("digest")
    try:
        return DECODER.decode(data[1:])
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise FrameDropped("malformed") from error


@dataclass(slots=True)
class ReplayWindow:
    """The sequence numbers received from one start of a sender.

    Bit n of ``seen_bits`` stands for the number ``highest - n``, up to ``REPLAY_WINDOW_FRAMES`` numbers.
    """

    boot: int
    incarnation: int
    highest: int = 0
    seen_bits: int = 0

    def accept(self, seq: int) -> bool:
        """Record a number; returns whether it is new.  Numbers below the window count as received."""
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
    """Accepts each frame at most once, and only at the start of the balancer that it was sent to.

    A sender that restarts has a higher incarnation, so frames of its earlier starts are not accepted again.
    """

    name: str  # of this balancer
    boot: int  # of this balancer
    windows: dict[str, ReplayWindow] = field(default_factory=dict)  # by sender

    def check(self, frame: Frame) -> None:
        """Raise FrameDropped where a frame is for another receiver, replayed, or from one sender too many.

        Clears the updates of a frame without the receiver's boot number.
        """
        if frame.receiver not in (self.name, ""):
            raise FrameDropped("for-another")
        if frame.receiver_boot not in (0, self.boot):
            raise FrameDropped("replayed")
        if not frame.receiver_boot:
            if not isinstance(frame.body, BODIES_WITHOUT_BOOT):
                raise FrameDropped("replayed")
            frame.members = []
            frame.entries = []
        if isinstance(frame.body, StatusRequest):
            return  # sent by a tool, which is not a member; a replayed request does no harm
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
