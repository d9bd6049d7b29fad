"""What both ends of a connection share: reading and writing lines, and passing them on until the end."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Generator
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.loop import MAIL, READ, TIME, WRITE, Actor, Loop, Steps, Wait

CHUNK = 16384  # bytes read at a time
HIGH = 16384  # bytes waiting to be written at which the other side is no longer read
GRACE = 0.5  # s that one side may stay open once the other has ended: the protocol allows one second
UNSENT = 0.4  # s beyond that while its last lines are not written yet: still within that second
DRAINS = 4  # times that a socket is read out before its close: bounded, since a peer may never stop sending


@dataclass(slots=True)
class Lines:
    """Whole lines for the other side."""

    data: bytes


@dataclass(slots=True)
class End:
    """The other side has ended, by a reset or in an orderly way."""

    reset: bool = False


class GoOn:
    """The other side has written what was waiting."""


SCRATCH = bytearray(65536)  # what is read only to be passed over


class LinePeer(Actor):
    """One end of a connection that lines pass through."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        super().__init__(loop)
        self.sock = sock
        loop.sockets += 1
        self.inbox, self.out = bytearray(), bytearray()
        self.other: LinePeer | None = None
        self.closing = self.read_done = self.write_done = self.broken = False
        self.grace: float | None = None
        self.extended = False  # the grace, for what is still to be written

    def receive(self) -> bool:
        """Read what is there; False at the end."""
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return True
        self.inbox += data
        return bool(data)

    def flush(self) -> None:
        """Write what the socket takes.

        A socket that can be written no more may still hold what its other end said last, as a server's BYE
        before a reset: only reading tells how it ended.
        """
        was_full = self.full()
        try:
            if self.out:
                with contextlib.suppress(BlockingIOError):
                    del self.out[: self.sock.send(self.out)]
            if self.closing and not self.out and not self.write_done:
                self.sock.shutdown(socket.SHUT_WR)
                self.write_done = True
        except OSError:
            self.out.clear()
            self.broken = self.write_done = True
        if was_full and not self.full() and self.other is not None:
            self.other.post(GoOn())

    def full(self) -> bool:
        return len(self.out) >= HIGH

    def tell(self, message: object) -> None:
        if self.other is not None:
            self.other.post(message)

    def relay(self) -> Steps:
        """Pass lines on, both ways, until both directions of this socket have ended or the grace is over.

        A side that has ended its sending may still be read from, so that an end passes through as it came,
        and what a client sends on top of a MOVE does not turn the close into a reset that eats the MOVE.
        """
        while not (self.read_done and self.write_done):
            room = self.other is None or not self.other.full()
            woke = yield Wait(self.sock, not self.read_done and room, bool(self.out), self.due())
            if woke & TIME and not self.timed_out() and not self._more_time():
                return
            if woke & READ and not self.read_done:
                self.pass_on()
            if woke & MAIL:
                for message in self.take():
                    self.on_mail(message)
            self.flush()

    def _more_time(self) -> bool:
        """Once, where the last lines are still to be written: a MOVE that is not sent is a cut-off."""
        if self.extended or not self.out or self.grace is None:
            return False
        self.extended, self.grace = True, self.grace + UNSENT
        return True

    def due(self) -> float | None:
        return self.grace

    def timed_out(self) -> bool:
        """The time of ``due`` has come; False ends the relay."""
        return False

    def pass_on(self) -> None:
        if self.closing:
            going = self.pass_over()
        else:
            going = self.receive()
            data = lines.cut(self.inbox) if going else bytes(self.inbox)
            if data:
                self.saw(data)
                self.tell(Lines(data))
        if not going:
            self.read_done = True
            self.ended_first()
            self.tell(End(reset=self.broken))
            self.start_grace()

    def pass_over(self) -> bool:
        """Read what nobody wants any more; False at the end.

        Guards against a close that becomes a reset and eats the last line sent: a client may send far more
        than it should before it reads.
        """
        with contextlib.suppress(BlockingIOError):
            if not self.sock.recv_into(SCRATCH):
                return False
            self.still_sending()
        return True

    def still_sending(self) -> None:
        """The other end goes on sending after this side has said its last."""

    def saw(self, data: bytes) -> None:
        """Lines came in on this side."""

    def ended_first(self) -> None:
        """This side has ended before the other, perhaps."""

    def on_mail(self, message: object) -> None:
        if isinstance(message, Lines):
            if not self.closing:
                self.out += message.data
        elif isinstance(message, End):
            if message.reset:
                self.flush()
                # Linger of zero: the close sends a reset, as the other side did.
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                self.read_done = self.write_done = True
            self.closing = True
            self.start_grace()

    def start_grace(self) -> None:
        if self.grace is None:
            self.grace = self.loop.clock() + GRACE

    def stirred(self) -> bool:
        """Is there something to read on the socket, bytes, an end or a reset?  It stays there."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def shut(self) -> None:
        """Close, read out first: a close over unread bytes is a reset, which may overtake the last line."""
        if self.sock.fileno() >= 0:
            self.loop.release(self)
            with contextlib.suppress(OSError):
                for _ in range(DRAINS):
                    if not self.sock.recv_into(SCRATCH):
                        break
            self.sock.close()
            self.loop.sockets -= 1


def prepare(sock: socket.socket) -> socket.socket:
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
    return bool(woke & WRITE) and not actor.mail
