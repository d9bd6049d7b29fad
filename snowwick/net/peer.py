"""What both ends of a connection share: reading and writing lines, and passing them on until the end."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Generator
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.loop import MAIL, READABLE, TIMED_OUT, WRITABLE, Actor, Coroutine, Loop, Wait

READ_SIZE_BYTES = 16384  # bytes read at a time
HIGH_WATER_BYTES = 16384  # bytes waiting to be written at which the other side is no longer read
CLOSE_GRACE_S = 0.5  # s that one side may stay open once the other has ended: the protocol allows one second
UNSENT_GRACE_S = 0.4  # s beyond that while its last lines are not written yet: still within that second
MAX_DRAIN_READS = (
    4  # times that a socket is read out before its close: bounded, since a peer may never stop sending
)


@dataclass(slots=True)
class RelayedLines:
    """Whole lines for the other side."""

    data: bytes


@dataclass(slots=True)
class PeerEnded:
    """The other side has ended, by a reset or in an orderly way."""

    reset: bool = False


class OutputDrained:
    """The other side has written what was waiting."""


DISCARD_BUFFER = bytearray(65536)  # what is read only to be passed over


class LinePeer(Actor):
    """One end of a connection that lines pass through."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        super().__init__(loop)
        self.sock = sock
        loop.open_sockets += 1
        self.input_buffer, self.output_buffer = bytearray(), bytearray()
        self.other_side: LinePeer | None = None
        self.closing = self.read_done = self.write_done = self.write_failed = False
        self.close_deadline: float | None = None
        self.close_deadline_extended = False  # the grace, for what is still to be written

    def receive(self) -> bool:
        """Read what is there; False at the end."""
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return True
        self.input_buffer += data
        return bool(data)

    def flush(self) -> None:
        """Write what the socket takes.

        A socket that can be written no more may still hold what its other end said last, as a server's BYE
        before a reset: only reading tells how it ended.
        """
        was_full = self.output_full()
        try:
            if self.output_buffer:
                with contextlib.suppress(BlockingIOError):
                    del self.output_buffer[: self.sock.send(self.output_buffer)]
            if self.closing and not self.output_buffer and not self.write_done:
                self.sock.shutdown(socket.SHUT_WR)
                self.write_done = True
        except OSError:
            self.output_buffer.clear()
            self.write_failed = self.write_done = True
        if was_full and not self.output_full() and self.other_side is not None:
            self.other_side.post(OutputDrained())

    def output_full(self) -> bool:
        return len(self.output_buffer) >= HIGH_WATER_BYTES

    def notify_other_side(self, message: object) -> None:
        if self.other_side is not None:
            self.other_side.post(message)

    def relay(self) -> Coroutine:
        """Pass lines on, both ways, until both directions of this socket have ended or the grace is over.

        A side that has ended its sending may still be read from, so that an end passes through as it came,
        and what a client sends on top of a MOVE does not turn the close into a reset that eats the MOVE.
        """
        while not (self.read_done and self.write_done):
            room = self.other_side is None or not self.other_side.output_full()
            woke = yield Wait(
                self.sock, not self.read_done and room, bool(self.output_buffer), self.next_deadline()
            )
            if woke & TIMED_OUT and not self.on_deadline() and not self._extend_close_deadline():
                return
            if woke & READABLE and not self.read_done:
                self.forward_input()
            if woke & MAIL:
                for message in self.take_messages():
                    self.on_message(message)
            self.flush()

    def _extend_close_deadline(self) -> bool:
        """Once, where the last lines are still to be written: a MOVE that is not sent is a cut-off."""
        if self.close_deadline_extended or not self.output_buffer or self.close_deadline is None:
            return False
        self.close_deadline_extended, self.close_deadline = True, self.close_deadline + UNSENT_GRACE_S
        return True

    def next_deadline(self) -> float | None:
        return self.close_deadline

    def on_deadline(self) -> bool:
        """The time of ``due`` has come; False ends the relay."""
        return False

    def forward_input(self) -> None:
        if self.closing:
            going = self.discard_input()
        else:
            going = self.receive()
            data = lines.take_lines(self.input_buffer) if going else bytes(self.input_buffer)
            if data:
                self.on_lines(data)
                self.notify_other_side(RelayedLines(data))
        if not going:
            self.read_done = True
            self.on_input_ended()
            self.notify_other_side(PeerEnded(reset=self.write_failed))
            self.start_close_deadline()

    def discard_input(self) -> bool:
        """Read what nobody wants any more; False at the end.

        Guards against a close that becomes a reset and eats the last line sent: a client may send far more
        than it should before it reads.
        """
        with contextlib.suppress(BlockingIOError):
            if not self.sock.recv_into(DISCARD_BUFFER):
                return False
            self.on_input_discarded()
        return True

    def on_input_discarded(self) -> None:
        """The other end goes on sending after this side has said its last."""

    def on_lines(self, data: bytes) -> None:
        """Lines came in on this side."""

    def on_input_ended(self) -> None:
        """This side has ended before the other, perhaps."""

    def on_message(self, message: object) -> None:
        if isinstance(message, RelayedLines):
            if not self.closing:
                self.output_buffer += message.data
        elif isinstance(message, PeerEnded):
            if message.reset:
                self.flush()
                # Linger of zero: the close sends a reset, as the other side did.
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.read_done = self.write_done = True
            self.closing = True
            self.start_close_deadline()

    def start_close_deadline(self) -> None:
        if self.close_deadline is None:
            self.close_deadline = self.loop.clock() + CLOSE_GRACE_S

    def has_unread_input(self) -> bool:
        """Is there something to read on the socket, bytes, an end or a reset?  It stays there."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def close_socket(self) -> None:
        """Close, read out first: a close over unread bytes is a reset, which may overtake the last line."""
        if self.sock.fileno() >= 0:
            self.loop.unregister(self)
            with contextlib.suppress(OSError):
                for _ in range(MAX_DRAIN_READS):
                    if not self.sock.recv_into(DISCARD_BUFFER):
                        break
            self.sock.close()
            self.loop.open_sockets -= 1


def configure_socket(sock: socket.socket) -> socket.socket:
    """Lines are short and wanted at once."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def connect(
    actor: Actor, sock: socket.socket, address: tuple[str, int], until: float
) -> Generator[Wait, int, bool]:
    """Connect without blocking; False where mail came or the time ran out first, OSError where it failed."""
    with contextlib.suppress(BlockingIOError):
        sock.connect(address)
    woke = yield Wait(sock, write=True, until=until)
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, "connect")
    return bool(woke & WRITABLE) and not actor.mailbox
