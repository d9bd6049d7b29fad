"""The frames between balancers: msgpack messages with a keyed digest, one per UDP datagram.

A datagram is one byte of version, 16 bytes of BLAKE2b keyed with the fleet's key, and the message.  The
digest covers the version and the message.  A datagram that cannot be verified as a fresh frame of a member
for this start of this balancer raises only ``FrameDropped``, with a reason code.
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
# Senders with a replay window: far more than any fleet has, but a bound on the memory that a holder of the
# key can use up with invented names
MAX_SENDERS = 4096


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A membership update; ``state`` as in members.py, ``boot`` is a random number of each start."""

    name: str
    address: str
    incarnation: int
    state: int
    boot: int


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One version of a register; only its owner writes it, and the highest (epoch, seq) wins.

    A ``value`` of None is a tombstone.  ``timestamp`` is from the owner's hybrid logical clock.
    ``remaining_ms`` is how long the value may still be acted on (0: as long as its owner is a member); each
    member subtracts the time that it held the entry before it sends it.
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

    ``suspected`` informs the receiver at once that it is suspected (Lifeguard's buddy system).
    """

    number: int
    suspected: bool = False


class Ack(msgspec.Struct, array_like=True, tag=2):
    """Answers a ``Ping`` with the number of that ping."""

    number: int


class PingReq(msgspec.Struct, array_like=True, tag=3):
    """Asks the receiver to ping the member ``name``.

    The receiver sends an ``Ack`` when that member answers, or a ``Nack`` before the probe's time runs out.
    """

    number: int
    name: str


class Nack(msgspec.Struct, array_like=True, tag=4):
    """Answers a ``PingReq`` whose member was silent; it shows the requester that its own link works."""

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

    The summaries are all that the sender has in ``ranges``, of ``range_count`` ranges of owners.  ``ranges``
    is empty where not all summaries had room.
    """

    summaries: list[OwnerSummary]
    wants_reply: bool = False
    range_count: int = 1
    ranges: list[int] = []


class PullRequest(msgspec.Struct, array_like=True, tag=8):
    """Asks for an owner's entries above the sequence number ``after``.

    In a ``full`` transfer the requester removes the entries that it does not receive.
    """

    owner: str
    epoch: int
    after: int
    full: bool = False


class PullReply(msgspec.Struct, array_like=True, tag=9):
    """All live entries of one owner in (``after``, ``up_to``], in the order of ``seq``."""

    summary: OwnerSummary
    after: int
    up_to: int
    more: bool
    full: bool
    entries: list[Entry]


class Gossip(msgspec.Struct, array_like=True, tag=10):
    """An empty body, for a frame that only carries membership updates and entries."""


class StatusRequest(msgspec.Struct, array_like=True, tag=11):
    """An operator's tool asks for one part of the status; the reply repeats ``number`` and ``part``."""

    number: int
    part: int


class StatusReply(msgspec.Struct, array_like=True, tag=12):
    """One of ``part_count`` parts of the status, a JSON text."""

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
# Bodies accepted from senders that do not know the receiver's boot yet; updates in such frames are ignored
BODIES_WITHOUT_BOOT = (Ping, Ack, StatusRequest)


class Frame(msgspec.Struct, array_like=True):
    """One message; ``receiver_boot`` is 0 where the sender does not know the receiver's boot yet.

    ``seq`` numbers the sender's frames against replays.  ``members`` and ``entries`` are gossip.
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
    """The frame is invalid or not fresh; ``reason`` is the code under which it is counted."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


def encoded_size(message: msgspec.Struct) -> int:
    """The number of bytes that a message takes in a frame."""
    return len(ENCODER.encode(message))


def keyed_digest(key: bytes, data: bytes) -> bytes:
    """The BLAKE2b digest of ``data`` under a key."""
    return blake2b(data, digest_size=DIGEST_BYTES, key=key).digest()


def seal(frame: Frame, key: bytes) -> bytes:
    """Encode a frame as a datagram with its digest under a key."""
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

    Holds the highest number and a bit for each of the last ``REPLAY_WINDOW_FRAMES`` numbers.
    """

    boot: int
    incarnation: int
    highest: int = 0
    seen_bits: int = 0

    def accept(self, seq: int) -> bool:
        """Whether a number is new; numbers older than the window count as received."""
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
    """Accepts each frame once.

    A frame is valid only for the start of the balancer that it was sent to.  A sender that restarts has a
    higher incarnation, so frames of its earlier starts are not accepted again.
    """

    name: str
    boot: int
    windows: dict[str, ReplayWindow] = field(default_factory=dict)

    def check(self, frame: Frame) -> None:
        """Raise FrameDropped for a frame that is for another receiver, replayed, or of too many senders."""
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
            return  # sent by a tool, which is no member; a replayed request changes nothing
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
