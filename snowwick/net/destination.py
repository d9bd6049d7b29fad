"""The destination's side of a connection: the route step that sets it up, then the relay of its lines."""

from __future__ import annotations

import contextlib
import math
import socket
from collections.abc import Generator
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.decider import LoadReport, MoveAway, Outcome
from snowwick.net.delay_monitor import ConnectionTiming, DestinationTiming, Gauge
from snowwick.net.lines import Reply
from snowwick.net.loop import READABLE, TIMED_OUT, Coroutine, Loop, Wait
from snowwick.net.peer import LinePeer, PeerEnded, RelayedLines, configure_socket, connect

# A client with unanswered lines is moved after this time without an answer; the protocol allows 7 s
SILENCE_TIMEOUT_S = 5.5
MIN_UNANSWERED_S = 3.0  # but not before a line has been unanswered for this time
LOAD_PREFIX = b"LOAD"  # every line with a load begins so, as do some other lines
# Outcome of an established connection by the last line from the destination; RESET for all other lines
OUTCOME_BY_LAST_LINE = {Reply.BYE: Outcome.OK, Reply.MOVE: Outcome.CANCELLED}
# Outcome of a route step by the destination's answer to the opening line; ERROR for all other answers
OUTCOME_BY_ANSWER = {**OUTCOME_BY_LAST_LINE, Reply.BUSY: Outcome.FULL}


@dataclass(slots=True)
class ConnectionEstablished:
    """Sent to the front: the connection is established; ``line`` is the destination's UP line."""

    line: bytes
    elapsed_ms: float


@dataclass(slots=True)
class ConnectionEnded:
    """Sent to the front: the route step, or the connection established by it, has ended."""

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
        send_before: float = math.inf,
    ) -> None:
        super().__init__(loop, configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM)))
        self.front = front
        self.destination_number = destination_number
        self.address = address
        self.opening = opening
        self.delay_monitor = delay_monitor
        # Replaced by one registered with the monitor once the connection is established
        self.timing = ConnectionTiming(front, destination_number, DestinationTiming())
        self.started_at = loop.clock()
        self.answer_deadline = self.started_at + wait_s
        self.send_before = send_before
        self.connect_deadline = min(self.answer_deadline, self.started_at + connect_timeout_s, send_before)
        self.last_reply_kind = Reply.OTHER  # kind of the last line from the destination
        # end_reported: the front has been sent the end of this connection
        # cancelled_by_client: the client closed or sent input before the opening line was written
        self.end_reported = self.cancelled_by_client = False

    def run(self) -> Coroutine:
        outcome: Outcome | None = Outcome.RESET
        try:
            outcome = yield from self._set_up()
            if outcome is None:
                outcome = Outcome.RESET
                self.other_side = self.front
                yield from self.relay()
        except OSError:
            # The last line from the destination determines the outcome, however the connection was closed.
            outcome = OUTCOME_BY_LAST_LINE.get(self.last_reply_kind, Outcome.RESET)
            self.notify_other_side(PeerEnded(reset=True))
        except lines.MalformedLine:
            # The destination still answers, so the client is sent a MOVE rather than disconnected.
            self.front.post(MoveAway("garbled-destination"))
        finally:
            self.delay_monitor.remove(self.timing)
            # Close before the front is notified: the next route step must not start while this one is open.
            self.close_socket()
            self._report_end(outcome or Outcome.RESET)

    def _elapsed_ms(self) -> float:
        return 1000.0 * (self.loop.clock() - self.started_at)

    def _report_end(self, outcome: Outcome) -> None:
        if not self.end_reported:
            self.end_reported = True
            self.front.post(ConnectionEnded(outcome, self._elapsed_ms()))

    def _set_up(self) -> Generator[Wait, int, Outcome | None]:
        """Connect, send the opening line and read the answer; returns None once established."""
        try:
            yield from self._send_opening()
        except OSError:
            return Outcome.CONNECT_FAILED  # the opening line was not fully sent, so nothing was executed
        if self.mailbox:
            return Outcome.CANCELLED
        if self.output_buffer:
            too_late = self.loop.clock() >= self.send_before
            return Outcome.UNSENT if self.cancelled_by_client or too_late else Outcome.CONNECT_FAILED
        while True:
            wake_flags = yield Wait(self.sock, read=True, until=self.answer_deadline)
            if self.mailbox:
                return Outcome.CANCELLED
            # On a timeout read once more, since the answer may have arrived at the same time.
            if wake_flags & (READABLE | TIMED_OUT):
                try:
                    still_open = self.receive()
                except OSError:
                    return Outcome.RESET
                while (line := lines.take_line(self.input_buffer)) is not None:
                    reply = lines.reply_kind(line)
                    if reply is Reply.UP and lines.is_up_line(line):
                        self._establish(line)
                        return None
                    if reply is not Reply.LOAD:
                        return OUTCOME_BY_ANSWER.get(reply, Outcome.ERROR)
                if not still_open:
                    return Outcome.RESET
            if wake_flags & TIMED_OUT:
                return Outcome.TIMEOUT

    def _send_opening(self) -> Coroutine:
        """Connect and write the opening line; on a timeout part of it remains in the output buffer.

        The time is compared with ``send_before`` just before each write, since the connect may take long and
        this process may have been suspended since it was decided.
        """
        self.output_buffer += self.opening
        if not (yield from connect(self, self.sock, self.address, self.connect_deadline)):
            return
        # The client may have left during the connect, and the front may run only after this actor.
        self.cancelled_by_client = self.front.has_unread_input()
        if self.cancelled_by_client:
            return
        write_deadline = min(self.answer_deadline, self.send_before)
        while self.output_buffer and not self.mailbox and self.loop.clock() < self.send_before:
            self._write()
            if self.output_buffer:
                wake_flags = yield Wait(self.sock, write=True, until=write_deadline)
                if wake_flags & TIMED_OUT:
                    return

    def _write(self) -> None:
        """Write what the socket accepts.

        Raises OSError, unlike ``flush``: a write that fails here means that the opening line did not arrive.
        """
        with contextlib.suppress(BlockingIOError):
            del self.output_buffer[: self.sock.send(self.output_buffer)]

    def _establish(self, line: bytes) -> None:
        """Report the connection to the front, start to time it and relay the lines after the UP line."""
        self.front.post(ConnectionEstablished(line, self._elapsed_ms()))
        self.timing = self.delay_monitor.add(self.front, self.destination_number)
        remaining_lines = lines.take_lines(self.input_buffer)
        if remaining_lines:
            self.on_lines(remaining_lines)
            self.front.post(RelayedLines(remaining_lines))

    def on_lines(self, data: bytes) -> None:
        """Time the lines and report the last load among them.

        A read may hold thousands of short lines, which a client can have echoed at full speed: the cost of a
        line is kept low, and one load report is posted for all.
        """
        received = lines.split_lines(data)
        load_lines = [line for line in received if line.startswith(LOAD_PREFIX)]
        load_lines = [line for line in load_lines if lines.reply_kind(line) is Reply.LOAD]
        self.last_reply_kind = lines.reply_kind(received[-1])
        reply_count = len(received) - len(load_lines)
        if reply_count:
            self.timing.record_reply(self.loop.clock(), reply_count)
        loads = (lines.parse_load(line) for line in reversed(load_lines))
        load = next((load for load in loads if load is not None), None)
        if load is not None:
            self.front.post(LoadReport(self.front, self.destination_number, load))

    def on_message(self, message: object) -> None:
        if isinstance(message, RelayedLines):
            self.timing.record_sent(self.loop.clock(), message.data.count(b"\n"))
        elif isinstance(message, PeerEnded):
            self._report_end(Outcome.CANCELLED)
        super().on_message(message)

    def on_input_ended(self) -> None:
        self._report_end(OUTCOME_BY_LAST_LINE.get(self.last_reply_kind, Outcome.RESET))

    def next_deadline(self) -> float | None:
        if self.close_deadline is not None or not self.timing.pending:
            return self.close_deadline
        return max(self.timing.last_reply_at + SILENCE_TIMEOUT_S, self.timing.pending[0] + MIN_UNANSWERED_S)

    def on_deadline(self) -> bool:
        """Move the client away from a destination that hangs or has vanished while the connection is open."""
        if self.close_deadline is not None:
            return False
        self.timing.pending.clear()  # one MoveAway is enough; the front ends both sides
        self.front.post(MoveAway("silent"))
        return True
