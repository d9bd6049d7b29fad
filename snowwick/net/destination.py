"""One connection to a destination: the route step that sets it up, then its side of the relay."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Generator
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.decider import Load, MoveAway, Outcome
from snowwick.net.gauge import Answers, Gauge, Meter
from snowwick.net.lines import Reply
from snowwick.net.loop import READABLE, TIMED_OUT, Coroutine, Loop, Wait
from snowwick.net.peer import LinePeer, PeerEnded, RelayedLines, configure_socket, connect

SILENT = 5.5  # s without a line back after which a client is moved: the protocol allows seven
UNANSWERED = 3.0  # s that a line must have waited before silence counts
ENDINGS = {Reply.BYE: Outcome.OK, Reply.MOVE: Outcome.CANCELLED}  # of what stands, by its last line
ANSWERS = {**ENDINGS, Reply.BUSY: Outcome.FULL}


@dataclass(slots=True)
class Up:
    """To the front: the connection stands; ``line`` is what the destination said."""

    line: bytes
    elapsed: float


@dataclass(slots=True)
class Over:
    """To the front: the route step, or the connection it became, has ended at the destination."""

    outcome: Outcome
    elapsed: float


class Destination(LinePeer):
    """The destination's side of one client's connection."""

    def __init__(
        self,
        loop: Loop,
        front: LinePeer,
        number: int,
        address: tuple[str, int],
        opening: bytes,
        wait: float,
        connect_wait: float,
        gauge: Gauge,
    ) -> None:
        super().__init__(loop, configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM)))
        self.front, self.number, self.address, self.opening = front, number, address, opening
        self.gauge, self.meter = gauge, Meter(front, number, Answers())  # the gauge's own once it stands
        self.began = loop.clock()
        self.until = self.began + wait
        self.connect_until = min(self.until, self.began + connect_wait)
        self.last = Reply.OTHER  # what the last line from the destination was
        self.told = self.unwanted = False  # told the front of its end; the client stirred before the opening

    def run(self) -> Coroutine:
        outcome: Outcome | None = Outcome.RESET
        try:
            outcome = yield from self._set_up()
            if outcome is None:
                outcome = Outcome.RESET
                self.other_side = self.front
                yield from self.relay()
        except OSError:
            outcome = ENDINGS.get(self.last, Outcome.RESET)  # what it said last holds, however it closed
            self.notify_other_side(PeerEnded(reset=True))
        except lines.MalformedLine:
            # The destination still answers: its client is sent away politely, not cut off.
            self.front.post(MoveAway("garbled-destination"))
        finally:
            self.gauge.remove(self.meter)
            # Closed before the front hears of it: the next route step must not find this one still out.
            self.close_socket()
            self._over(outcome or Outcome.RESET)

    def _elapsed(self) -> float:
        return 1000.0 * (self.loop.clock() - self.began)

    def _over(self, outcome: Outcome) -> None:
        if not self.told:
            self.told = True
            self.front.post(Over(outcome, self._elapsed()))

    def _set_up(self) -> Generator[Wait, int, Outcome | None]:
        """Connect, send the opening line, take the answer; None once the connection stands."""
        try:
            yield from self._send_opening()
        except OSError:
            return Outcome.CONNECT_FAILED  # its last byte was never written, so it never ran
        if self.mailbox:
            return Outcome.CANCELLED
        if self.output_buffer:
            return Outcome.UNSENT if self.unwanted else Outcome.CONNECT_FAILED
        while True:
            woke = yield Wait(self.sock, read=True, until=self.until)
            if self.mailbox:
                return Outcome.CANCELLED
            # Read once more as the time runs out: an answer that has come is no time-out.
            if woke & (READABLE | TIMED_OUT):
                try:
                    going = self.receive()
                except OSError:
                    return Outcome.RESET
                while (line := lines.take_line(self.input_buffer)) is not None:
                    said = lines.reply_kind(line)
                    if said is Reply.UP and lines.is_up_line(line):
                        self._stands(line)
                        return None
                    if said is not Reply.LOAD:
                        return ANSWERS.get(said, Outcome.ERROR)
                if not going:
                    return Outcome.RESET
            if woke & TIMED_OUT:
                return Outcome.TIMEOUT

    def _send_opening(self) -> Coroutine:
        """Returns with ``out`` not empty where the time ran out."""
        self.output_buffer += self.opening
        if not (yield from connect(self, self.sock, self.address, self.connect_until)):
            return
        # The client may have gone while the connection came up, and its side may be resumed after this one.
        self.unwanted = self.front.has_unread_input()
        if self.unwanted:
            return
        self._write()
        while self.output_buffer and not self.mailbox:
            woke = yield Wait(self.sock, write=True, until=self.until)
            if woke & TIMED_OUT:
                return
            self._write()

    def _write(self) -> None:
        """Unlike later, a write that fails here says that the opening never got there: raises OSError."""
        with contextlib.suppress(BlockingIOError):
            del self.output_buffer[: self.sock.send(self.output_buffer)]

    def _stands(self, line: bytes) -> None:
        self.front.post(Up(line, self._elapsed()))
        self.meter = self.gauge.add(self.front, self.number)
        rest = lines.take_lines(self.input_buffer)
        if rest:
            self.on_lines(rest)
            self.front.post(RelayedLines(rest))

    def on_lines(self, data: bytes) -> None:
        now = self.loop.clock()
        for line in data.splitlines(keepends=True):
            self.last = lines.reply_kind(line)
            if self.last is not Reply.LOAD:
                self.meter.answered(now)
            elif (load := lines.parse_load(line)) is not None:
                self.front.post(Load(self.front, self.number, load))

    def on_message(self, message: object) -> None:
        if isinstance(message, RelayedLines):
            self.meter.sent(self.loop.clock(), message.data.count(b"\n"))
        elif isinstance(message, PeerEnded):
            self._over(Outcome.CANCELLED)
        super().on_message(message)

    def on_input_ended(self) -> None:
        self._over(ENDINGS.get(self.last, Outcome.RESET))

    def next_deadline(self) -> float | None:
        if self.close_deadline is not None or not self.meter.asked:
            return self.close_deadline
        return max(self.meter.heard + SILENT, self.meter.asked[0] + UNANSWERED)

    def on_deadline(self) -> bool:
        """Guards against a destination that hangs or vanished: its connection stays open and says nothing."""
        if self.close_deadline is not None:
            return False
        self.meter.asked.clear()  # asked once is enough; the front ends both sides
        self.front.post(MoveAway("silent"))
        return True
