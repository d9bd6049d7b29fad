"""One connection to a destination: the route step that sets it up, then its side of the relay."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Generator
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.decider import LoadReport, MoveAway, Outcome
from snowwick.net.delay_monitor import ConnectionTiming, DestinationTiming, Gauge
from snowwick.net.lines import Reply
from snowwick.net.loop import READABLE, TIMED_OUT, Coroutine, Loop, Wait
from snowwick.net.peer import LinePeer, PeerEnded, RelayedLines, configure_socket, connect

SILENCE_TIMEOUT_S = 5.5  # s without a line back after which a client is moved: the protocol allows seven
MIN_UNANSWERED_S = 3.0  # s that a line must have waited before silence counts
OUTCOME_BY_LAST_LINE = {
    Reply.BYE: Outcome.OK,
    Reply.MOVE: Outcome.CANCELLED,
}  # once established
OUTCOME_BY_ANSWER = {**OUTCOME_BY_LAST_LINE, Reply.BUSY: Outcome.FULL}


@dataclass(slots=True)
class ConnectionEstablished:
    """To the front: the connection stands; ``line`` is what the destination said."""

    line: bytes
    elapsed_ms: float


@dataclass(slots=True)
class ConnectionEnded:
    """To the front: the route step, or the connection it became, has ended at the destination."""

    outcome: Outcome
    elapsed_ms: float


class Destination(LinePeer):
    """The destination's side of one client's connection."""

    def __init__(
        self,
        loop: Loop,
        front: LinePeer,
        destination_number: int,
        address: tuple[str, int],
        opening: bytes,
        wait_s: float,
        connect_timeout_s: float,
        delay_monitor: Gauge,
    ) -> None:
        super().__init__(loop, configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM)))
        self.front, self.destination_number, self.address, self.opening = (
            front,
            destination_number,
            address,
            opening,
        )
        # Not registered with the monitor until the connection is established.
        self.delay_monitor, self.timing = (
            delay_monitor,
            ConnectionTiming(front, destination_number, DestinationTiming()),
        )
        self.started_at = loop.clock()
        self.answer_deadline = self.started_at + wait_s
        self.connect_deadline = min(self.answer_deadline, self.started_at + connect_timeout_s)
        self.last_reply = Reply.OTHER  # what the last line from the destination was
        self.end_reported = self.abandoned = (
            False  # told the front of its end; the client stirred before the opening
        )

    def run(self) -> Coroutine:
        outcome: Outcome | None = Outcome.RESET
        try:
            outcome = yield from self._set_up()
            if outcome is None:
                outcome = Outcome.RESET
                self.other_side = self.front
                yield from self.relay()
        except OSError:
            outcome = OUTCOME_BY_LAST_LINE.get(self.last_reply, Outcome.RESET)
            self.notify_other_side(PeerEnded(reset=True))
        except lines.MalformedLine:
            # The destination still answers: its client is sent away politely, not cut off.
            self.front.post(MoveAway("garbled-destination"))
        finally:
            self.delay_monitor.remove(self.timing)
            # Closed before the front hears of it: the next route step must not find this one still out.
            self.close_socket()
            self._report_end(outcome or Outcome.RESET)

    def _elapsed_ms(self) -> float:
        return 1000.0 * (self.loop.clock() - self.started_at)

    def _report_end(self, outcome: Outcome) -> None:
        if not self.end_reported:
            self.end_reported = True
            self.front.post(ConnectionEnded(outcome, self._elapsed_ms()))

    def _set_up(self) -> Generator[Wait, int, Outcome | None]:
        """Connect, send the opening line, take the answer; None once the connection stands."""
        try:
            yield from self._send_opening()
        except OSError:
            return Outcome.CONNECT_FAILED  # its last byte was never written, so it never ran
        if self.mailbox:
            return Outcome.CANCELLED
        if self.output_buffer:
            return Outcome.UNSENT if self.abandoned else Outcome.CONNECT_FAILED
        while True:
            woke = yield Wait(self.sock, read=True, until=self.answer_deadline)
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
                        self._establish(line)
                        return None
                    if said is not Reply.LOAD:
                        return OUTCOME_BY_ANSWER.get(said, Outcome.ERROR)
                if not going:
                    return Outcome.RESET
            if woke & TIMED_OUT:
                return Outcome.TIMEOUT

    def _send_opening(self) -> Coroutine:
        """Returns with ``out`` not empty where the time ran out."""
        self.output_buffer += self.opening
        if not (yield from connect(self, self.sock, self.address, self.connect_deadline)):
            return
        # The client may have gone while the connection came up, and its side may be resumed after this one.
        self.abandoned = self.front.has_unread_input()
        if self.abandoned:
            return
        self._write()
        while self.output_buffer and not self.mailbox:
            woke = yield Wait(self.sock, write=True, until=self.answer_deadline)
            if woke & TIMED_OUT:
                return
            self._write()

    def _write(self) -> None:
        """Unlike later, a write that fails here says that the opening never got there: raises OSError."""
        with contextlib.suppress(BlockingIOError):
            del self.output_buffer[: self.sock.send(self.output_buffer)]

    def _establish(self, line: bytes) -> None:
        self.front.post(ConnectionEstablished(line, self._elapsed_ms()))
        self.timing = self.delay_monitor.add(self.front, self.destination_number)
        rest = lines.take_lines(self.input_buffer)
        if rest:
            self.on_lines(rest)
            self.front.post(RelayedLines(rest))

    def on_lines(self, data: bytes) -> None:
        now = self.loop.clock()
        for line in data.splitlines(keepends=True):
            self.last_reply = lines.reply_kind(line)
            if self.last_reply is not Reply.LOAD:
                self.timing.record_reply(now)
            elif (load := lines.parse_load(line)) is not None:
                self.front.post(LoadReport(self.front, self.destination_number, load))

    def on_message(self, message: object) -> None:
        if isinstance(message, RelayedLines):
            self.timing.record_sent(self.loop.clock(), message.data.count(b"\n"))
        elif isinstance(message, PeerEnded):
            self._report_end(Outcome.CANCELLED)
        super().on_message(message)

    def on_input_ended(self) -> None:
        self._report_end(OUTCOME_BY_LAST_LINE.get(self.last_reply, Outcome.RESET))

    def next_deadline(self) -> float | None:
        if self.close_deadline is not None or not self.timing.pending:
            return self.close_deadline
        return max(self.timing.last_reply + SILENCE_TIMEOUT_S, self.timing.pending[0] + MIN_UNANSWERED_S)

    def on_deadline(self) -> bool:
        """Guards against a destination that hangs or vanished: its connection stays open and says nothing."""
        if self.close_deadline is not None:
            return False
        self.timing.pending.clear()  # asked once is enough; the front ends both sides
        self.front.post(MoveAway("silent"))
        return True
