"""Base class of both sides of a relayed connection: buffered line input and output, relay, close."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Generator
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.loop import MAIL, READABLE, TIMED_OUT, WRITABLE, Actor, Coroutine, Loop, Wait

READ_SIZE_BYTES = 4096  # a whole line of the protocol
HIGH_WATER_BYTES = 1024  # with this much unsent output on one side, the other side is not read
CLOSE_GRACE_S = 0.5  # one side may stay open this long after the other has ended; the protocol allows 1 s
# Extra time before closing while the last lines are unsent; with CLOSE_GRACE_S still within the allowed 1 s
UNSENT_GRACE_S = 0.4
MAX_DRAIN_READS = 4  # reads of remaining input before a socket is closed; bounded, as a peer may send forever


@dataclass(slots=True)
class RelayedLines:
    """Sent to the other side: whole lines to write to its socket."""

    data: bytes


@dataclass(slots=True)
class PeerEnded:
    """Sent to the other side: this side has ended, by a reset or in an orderly way."""

    reset: bool = False


class OutputDrained:
    """Sent to the other side: this side's unsent output is below the high-water mark, so read again."""


DISCARD_BUFFER = bytearray(65536)  # receives input that is discarded


class LinePeer(Actor):
    """One side of a connection whose lines are relayed to the other side."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        super().__init__(loop)
        self.sock = sock
        loop.open_sockets += 1
        self.input_buffer, self.output_buffer = bytearray(), bytearray()
        self.other_side: LinePeer | None = None
        # closing: nothing more is relayed; the socket is shut down once the output buffer is written
        # read_done, write_done: the input has ended, the sending direction is shut down
        # write_failed: a write raised an error, so that unsent output was dropped
        self.closing = self.read_done = self.write_done = self.write_failed = False
        self.close_deadline: float | None = None  # in s on the loop's clock; None until closing starts
        self.close_deadline_extended = False  # whether it was extended because of unsent output

    def receive(self) -> bool:
        """Read available bytes into the input buffer; returns False at the end of the stream."""
        try:
            data = self.sock.recv(READ_SIZE_BYTES)
        except BlockingIOError:
            return True
        self.input_buffer += data
        return bool(data)

    def flush(self) -> None:
        """Write what the socket accepts, and shut down its sending direction once everything is written.

        A write error does not end the connection: the socket may still hold the last lines from the remote
        end, such as a server's BYE before a reset, so only reading shows how the connection ended.
        """
        was_output_full = self.output_full()
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
        if was_output_full and not self.output_full() and self.other_side is not None:
            self.other_side.post(OutputDrained())

    def output_full(self) -> bool:
        """Whether the unsent output has reached the high-water mark."""
        return len(self.output_buffer) >= HIGH_WATER_BYTES

    def notify_other_side(self, message: object) -> None:
        """Post a message to the other side, if there is one."""
        if self.other_side is not None:
            self.other_side.post(message)

    def relay(self) -> Coroutine:
        """Relay lines until both directions of this socket have ended or the close deadline has passed.

        A socket is still read after its sending direction is shut down. Otherwise a half-close would close
        both directions, and input that a client sends after a MOVE would turn the close into a reset, which
        discards the MOVE.
        """
        while not (self.read_done and self.write_done):
            can_forward = self.other_side is None or not self.other_side.output_full()
            wake_flags = yield Wait(
                self.sock, not self.read_done and can_forward, bool(self.output_buffer), self.next_deadline()
            )
            if wake_flags & TIMED_OUT and not self.on_deadline() and not self._extend_close_deadline():
                return
            if wake_flags & READABLE and not self.read_done:
                self.forward_input()
            if wake_flags & MAIL:
                for message in self.take_messages():
                    self.on_message(message)
            self.flush()

    def _extend_close_deadline(self) -> bool:
        """Extend the close deadline once if output is unsent, so that a slow client still gets its MOVE."""
        if self.close_deadline_extended or not self.output_buffer or self.close_deadline is None:
            return False
        self.close_deadline_extended, self.close_deadline = True, self.close_deadline + UNSENT_GRACE_S
        return True

    def next_deadline(self) -> float | None:
        """Returns the time at which ``on_deadline`` is to be called, on the loop's clock."""
        return self.close_deadline

    def on_deadline(self) -> bool:
        """Called when ``next_deadline`` has passed; returning False ends the relay."""
        return False

    def forward_input(self) -> None:
        """Read from the socket and send whole lines to the other side."""
        if self.closing:
            still_open = self.discard_input()
        else:
            still_open = self.receive()
            data = lines.take_lines(self.input_buffer) if still_open else bytes(self.input_buffer)
            if data:
                self.on_lines(data)
                self.notify_other_side(RelayedLines(data))
        if not still_open:
            self.read_done = True
            self.on_input_ended()
            self.notify_other_side(PeerEnded(reset=self.write_failed))
            self.start_close_deadline()

    def discard_input(self) -> bool:
        """Read and discard input while closing; returns False at the end of the stream.

        Closing with unread input would send a reset, which discards the last line sent. A client may send far
        more than the protocol allows before it reads.
        """
        with contextlib.suppress(BlockingIOError):
            if not self.sock.recv_into(DISCARD_BUFFER):
                return False
            self.on_input_discarded()
        return True

    def on_input_discarded(self) -> None:
        """Called when input has been discarded because this side is closing."""

    def on_lines(self, data: bytes) -> None:
        """Called with the input that this side is about to relay."""

    def on_input_ended(self) -> None:
        """Called when the input of this side has ended, whether or not the other side has ended before."""

    def on_message(self, message: object) -> None:
        """Handle one message from the mailbox during the relay."""
        if isinstance(message, RelayedLines):
            if not self.closing:
                self.output_buffer += message.data
        elif isinstance(message, PeerEnded):
            if message.reset:
                self.flush()
                # With a linger time of zero the close sends a reset, like the one on the other side.
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.read_done = self.write_done = True
            self.closing = True
            self.start_close_deadline()

    def start_close_deadline(self) -> None:
        """Set the time by which this side must be closed, unless it is set already."""
        if self.close_deadline is None:
            self.close_deadline = self.loop.clock() + CLOSE_GRACE_S

    def has_unread_input(self) -> bool:
        """Whether the socket has bytes, an end of stream or a reset to read; nothing is consumed."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def close_socket(self) -> None:
        """Read remaining input and close the socket.

        Closing with unread input would send a reset, which may overtake the last line.
        """
        if self.sock.fileno() >= 0:
            self.loop.unregister(self)
            with contextlib.suppress(OSError):
                for _ in range(MAX_DRAIN_READS):
                    if not self.sock.recv_into(DISCARD_BUFFER):
                        break
            self.sock.close()
            self.loop.open_sockets -= 1


def configure_socket(sock: socket.socket) -> socket.socket:
    """Make the socket non-blocking and send each line without delay (no Nagle algorithm)."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def connect(
    actor: Actor, sock: socket.socket, address: tuple[str, int], deadline: float
) -> Generator[Wait, int, bool]:
    """Connect without blocking.

    Returns False if a message arrived or the deadline passed first; raises OSError if the connect failed.
    """
    with contextlib.suppress(BlockingIOError):
        sock.connect(address)
    wake_flags = yield Wait(sock, write=True, until=deadline)
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, "connect")
    return bool(wake_flags & WRITABLE) and not actor.mailbox
