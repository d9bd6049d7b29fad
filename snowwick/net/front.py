"""The client's side of a connection: reads the opening line, sends the one answer, then relays lines."""

from __future__ import annotations

import math
import socket
from collections.abc import Generator
from dataclasses import dataclass
from typing import Protocol

from snowwick.net import lines
from snowwick.net.decider import (
    NOT_EXECUTED,
    BusyReply,
    ClientLeft,
    FailReply,
    LoadReport,
    MoveAway,
    Outcome,
    RouteStep,
    RouteStepEnded,
    RouteStepEstablished,
)
from snowwick.net.delay_monitor import Gauge
from snowwick.net.destination import ConnectionEnded, ConnectionEstablished, Destination
from snowwick.net.loop import READABLE, TIMED_OUT, Coroutine, Loop, Wait
from snowwick.net.path import Request, RequestPath, make_request
from snowwick.net.peer import CLOSE_GRACE_S, LinePeer, PeerEnded, configure_socket

# A front socket without an opening line is closed after this time, whatever other lines it has sent
OPENING_TIMEOUT_S = 2.0
MAX_LINGER_S = 5.0  # after the final answer, further input is read and discarded for at most this long
# A front socket is not evicted within this time after it was accepted or answered
MIN_IDLE_S = 0.05
# Each request is answered within this time, whatever its opening line says. The limit is meant for resumed
# connections, which existed before this program started: their opening line may name any time.
MAX_ANSWER_WAIT_S = 40.0


class EvictIdle:
    """To a front without a request: close, because descriptors are running out."""


@dataclass(slots=True)
class ShutdownEnding:
    """To a front: the last phase of the shutdown has begun (see service.py).

    A pending request is answered, an established connection is moved, and an idle front socket is closed. A
    client whose opening line has begun may still complete it until ``last`` is set; then it is answered too.
    """

    last: bool = False


class FrontHost(Protocol):
    """What a front needs from the service that owns it."""

    loop: Loop
    request_path: RequestPath  # stages that accept or reject each request and are notified of its end
    delay_monitor: Gauge  # measures the delay of the lines that the destinations answer

    @property
    def groups_enabled(self) -> bool:
        """Whether requests with the same group key (value ``g`` of opening lines) are placed together."""

    @property
    def connect_timeout_s(self) -> float:
        """Most time in seconds for connecting to a destination."""

    def destination_number(self, name: str) -> int:
        """Returns the number of the destination with this name."""

    def destination_address(self, destination: int) -> tuple[str, int] | None:
        """Returns the address of a destination, or None if it is not in the pool config."""

    def retry_after_ms(self) -> float:
        """Returns the retry delay in ms for a busy reply that is sent without asking the decider."""

    def on_request(self, front: Front) -> None:
        """Called when the front starts to handle a request."""

    def on_answered(self, front: Front) -> None:
        """Called when the final answer is being sent, or the connection is closed without an answer.

        The socket may stay open a little longer.
        """

    def on_front_closed(self, front: Front) -> None:
        """Called when the front's socket has been closed."""


class Front(LinePeer):
    """The client's side of one connection.

    It reads the opening line and passes the request through the request path, whose last stage hands it to a
    decider. Then it carries out the route steps that the decider orders, until one establishes the connection
    or the decider gives the final answer. A resumed connection is not decided on: its opening line names the
    destination, which is the only one tried.
    """

    def __init__(self, host: FrontHost, sock: socket.socket) -> None:
        super().__init__(host.loop, configure_socket(sock))
        self.host = host
        # Reason code for the log if the connection ended now; replaced as the connection proceeds
        self.reason = "fault"
        self.detail = ""
        self.request: Request | None = None
        # The actor of the present route step, and then of the connection that it has established
        self.destination_side: Destination | None = None
        # at_decider: the decider has the request and has not refused it or let it fail; stays set while the
        # connection is established. False for resumed connections.
        # established: the destination has accepted the connection
        self.at_decider = self.established = False
        self.last_destination = -1  # number of the last route step's destination; -1 before the first
        # Until there is a request, request_started_at is the time of accepting; answered_at is so until the
        # final answer. answer_deadline applies once there is a request.
        self.accepted_at = self.request_started_at = self.answer_deadline = self.answered_at = (
            self.loop.clock()
        )

    @property
    def opening_begun(self) -> bool:
        """Whether the client has sent a part of its opening line."""
        return self.request is None and bool(self.input_buffer)

    def run(self) -> Coroutine:
        try:
            yield from self._serve()
        except OSError:
            self.reason = "front-reset"
            self.notify_other_side(PeerEnded(reset=True))
        except lines.MalformedLine as error:
            self.reason = "garbled"
            self.detail = str(error)
            yield from self._send_answer(lines.ERR)
        finally:
            self._release_request()
            self.close_socket()
            self.host.on_front_closed(self)

    def _release_request(self) -> None:
        """Notify the decider, the route step and the stages that this side is done with the request.

        The decider gets ``ClientLeft`` also if this side has answered the client itself. Calls after the
        first do nothing: the decider and the route step have been released, and each stage is notified of the
        end only once (path.py).
        """
        if self.request is None:
            return
        if self.at_decider and not self.established:
            self.request.post(ClientLeft(self, self.destination_side is not None))
        if self.destination_side is not None:
            self.destination_side.post(PeerEnded())
            self.request.may_have_run = True
            self._finish_route_step(Outcome.CANCELLED, 0.0, final=True)
        self.host.request_path.on_ended(self.request)

    def _serve(self) -> Coroutine:
        opening = yield from self._read_opening()
        if opening is None:
            return
        self.request = make_request(self, opening, self.host.groups_enabled)
        rejection = self.host.request_path.enter(self.request)
        if rejection is not None:
            self.reason = rejection.reason
            self.detail = rejection.detail
            yield from self._send_answer(rejection.line)
            return
        self._start_request(self.request)
        answer = yield from self._await_answer(self.request)
        if answer is not None:
            yield from self._send_answer(answer)
        if self.established:
            yield from self.relay()

    def _read_opening(self) -> Generator[Wait, int, lines.Opening | None]:
        """Read the opening line; returns None, with ``reason`` set, if the connection ends without a request.

        The reason is "ping" if the client has sent a PING, "left" if it closed right after its opening
        line, "draining" or "made-room" if this side closes, and else "no-opening". A client whose line has
        begun is always answered.
        """
        deadline = self.accepted_at + OPENING_TIMEOUT_S
        self.reason = "no-opening"
        while True:
            # Stop reading from a client that does not read its replies, since they would accumulate.
            wake_flags = yield Wait(
                self.sock, read=not self.output_full(), write=bool(self.output_buffer), until=deadline
            )
            end_reason, may_complete_line = "", False
            for message in self.take_messages():  # without a request only ShutdownEnding and EvictIdle come
                end_reason = "draining" if isinstance(message, ShutdownEnding) else "made-room"
                may_complete_line = isinstance(message, ShutdownEnding) and not message.last
            # Read the socket even when closing: a request that has already arrived must be answered.
            still_open = self.receive() if wake_flags & (READABLE | TIMED_OUT) or end_reason else True
            while (line := lines.take_line(self.input_buffer)) is not None:
                command = line.rstrip(b"\r\n")
                if command == lines.PING:
                    self.reason = "ping"
                    self.output_buffer += lines.PONG
                elif command == lines.STATS:  # only destinations report their load
                    self.output_buffer += lines.NO
                else:
                    opening = lines.parse_opening(line)
                    # Read again to detect extra input or a closed connection before the request is handled.
                    still_open = still_open and self.receive()
                    if self.input_buffer:
                        raise lines.MalformedLine("unexpected input after the opening line")
                    if still_open:
                        return opening
                    self.reason = "left"
                    return None
            self.flush()
            line_begun = bool(self.input_buffer)
            if wake_flags & TIMED_OUT and line_begun:
                raise lines.MalformedLine("no complete line before the timeout")
            if not still_open or self.write_failed:
                return None
            if line_begun and may_complete_line:
                continue
            if end_reason or wake_flags & TIMED_OUT:
                self.reason = end_reason or self.reason
                # Nothing of a begun line was forwarded, and its client may still write the rest of it.
                yield from self._send_answer(
                    lines.busy_line(self.host.retry_after_ms()) if line_begun else b""
                )
                return None

    def _start_request(self, request: Request) -> None:
        """Start to wait for the answer to a request that the request path has accepted.

        The path has already posted the request to its decider, except that of a resumed connection, whose
        route step starts here.
        """
        self.request_started_at = self.loop.clock()
        self.answer_deadline = self.request_started_at + min(request.wait_ms / 1000.0, MAX_ANSWER_WAIT_S)
        self.host.on_request(self)
        if request.resumed_destination:
            self._start_route_step(self.host.destination_number(request.resumed_destination), request.wait_ms)
        else:
            self.at_decider = True

    def _await_answer(self, request: Request) -> Generator[Wait, int, bytes | None]:
        """Wait for the final answer, carrying out the decider's route steps.

        Returns the line to send, or None if the connection is established or the client has left.
        """
        deadline_passed = False
        while True:
            wake_flags = yield Wait(self.sock, read=True, until=self.answer_deadline)
            # Check the client before the messages: no route step may start for a client that has left.
            if not self.receive():
                self.reason = "left"
                return None
            if self.input_buffer:
                raise lines.MalformedLine("input received before the answer was sent")
            for message in self.take_messages():
                if isinstance(message, RouteStep):
                    remaining_ms = remaining_wait_ms(self)
                    self._start_route_step(
                        message.destination,
                        min(message.timeout_ms or remaining_ms, remaining_ms),
                        message.send_before,
                    )
                elif isinstance(message, ConnectionEstablished):
                    self._establish(message)
                    return None
                elif isinstance(message, ConnectionEnded):
                    self.destination_side = None
                    # A busy reply, which promises that nothing was executed, is ruled out from now on.
                    request.may_have_run = request.may_have_run or message.outcome not in NOT_EXECUTED
                    if not self.at_decider:
                        # "kept": a connection that existed before this program started
                        self.reason = f"kept-{message.outcome.value}"
                        return lines.ERR
                    self._finish_route_step(message.outcome, message.elapsed_ms, final=False)
                elif isinstance(message, BusyReply):
                    self.at_decider = False
                    self.reason = "busy"
                    return lines.busy_line(message.retry_after_ms)
                elif isinstance(message, FailReply):
                    self.at_decider = False
                    self.reason = "failed"
                    return lines.ERR
                elif isinstance(message, ShutdownEnding):
                    self.reason = "draining"
                    safe_to_retry = (
                        self.at_decider and self.destination_side is None and not request.may_have_run
                    )
                    return lines.busy_line(self.host.retry_after_ms()) if safe_to_retry else lines.ERR
            if deadline_passed:
                # The decider normally answers earlier; this guards against a fault in it.
                self.reason = "overdue"
                return lines.ERR
            # Wait for one more turn: an UP line, by which the destination accepts, may have been read in this
            # turn, and the message about it is not delivered yet.
            deadline_passed = bool(wake_flags & TIMED_OUT)

    def _start_route_step(self, destination: int, wait_ms: float, send_before: float = math.inf) -> None:
        """Try to set up the connection at a destination, which may take ``wait_ms``.

        The opening line is written before ``send_before`` (see ``RouteStep``) or not at all. If the route
        step cannot start, this side posts its end to itself.
        """
        assert self.request is not None
        self.last_destination = destination
        address = self.host.destination_address(destination)
        if address is None or wait_ms <= 0:
            self.post(ConnectionEnded(Outcome.CONNECT_FAILED if address is None else Outcome.UNSENT, 0.0))
            return
        try:
            self.destination_side = Destination(
                self.loop,
                self,
                destination,
                address,
                self.request.opening.with_wait(wait_ms),
                wait_ms / 1000.0,
                self.host.connect_timeout_s,
                self.host.delay_monitor,
                send_before,
            )
        except OSError as error:
            # No descriptor is left for the route step; the client must still be answered.
            self.loop.log.event("route-step-failed", "route step failed: {error}", error=str(error))
            self.post(ConnectionEnded(Outcome.CONNECT_FAILED, 0.0))
            return
        self.destination_side.start()

    def _establish(self, message: ConnectionEstablished) -> None:
        """Send the destination's UP line to the client and report the connection; the relay starts next."""
        assert self.request is not None
        self.established = self.request.may_have_run = True
        self.other_side = self.destination_side
        self.reason = "client-ended"
        self.output_buffer += message.line
        if self.at_decider:
            self.request.post(RouteStepEstablished(self, self.last_destination, message.elapsed_ms))
        else:
            self.request.report_resumed(self.last_destination)
        self.host.request_path.on_established(self.request)
        self.flush()

    def _finish_route_step(self, outcome: Outcome, elapsed_ms: float, final: bool) -> None:
        """Report to the decider the end of the route step or of the connection that it established.

        ``final`` means that no other route step follows for this request, which ends it for the stages too.
        Nothing is reported of a resumed connection that was never established, since the decider was not
        notified of it.
        """
        self.destination_side = None
        assert self.request is not None
        if self.at_decider or self.established:
            self.request.post(RouteStepEnded(self, self.last_destination, outcome, elapsed_ms, final))
        if final:
            self.host.request_path.on_ended(self.request)

    def _send_answer(self, line: bytes) -> Coroutine:
        """Send the final answer and end the connection; further input is discarded.

        An empty ``line`` closes the connection without an answer.
        """
        self._release_request()
        self.at_decider = False
        self.host.on_answered(self)
        self.input_buffer.clear()
        self.output_buffer += line
        self.closing = True
        self.other_side = None
        self.answered_at = self.loop.clock()
        self.start_close_deadline()
        try:
            self.flush()
            yield from self.relay()
        except OSError:
            pass  # the client has left, so there is nobody to answer any more

    def on_input_discarded(self) -> None:
        """Extend the close deadline while the client still sends, up to ``MAX_LINGER_S`` after the answer.

        A client that sends tens of megabytes (60 MB for example) may read the answer only after sending them.
        """
        if self.other_side is None:
            self.close_deadline = min(self.loop.clock() + CLOSE_GRACE_S, self.answered_at + MAX_LINGER_S)

    def on_message(self, message: object) -> None:
        """Handle a message during the relay or, with ``other_side`` None, after the final answer."""
        if isinstance(message, EvictIdle):
            # Close only after the answer has been written for a while, since it might be lost otherwise.
            if (
                self.other_side is None
                and not self.output_buffer
                and self.loop.clock() - self.answered_at >= MIN_IDLE_S
            ):
                self.read_done = self.write_done = True
        elif isinstance(message, ShutdownEnding):
            if self.other_side is not None:  # the connection is established and being relayed
                self.on_message(MoveAway("draining"))
        elif isinstance(message, MoveAway):
            if not self.closing:
                self.reason = message.reason
                self.closing = True
                self.output_buffer += lines.MOVE  # the buffer holds whole lines only
                self.notify_other_side(PeerEnded())
                self.start_close_deadline()
        elif isinstance(message, LoadReport):
            if self.request is not None:
                self.request.post(message)
                self.host.request_path.on_load(self.request, message.load)
        elif isinstance(message, ConnectionEnded):
            if self.destination_side is not None:
                if not self.closing and not self.read_done:
                    self.reason = f"destination-{message.outcome.value}"
                self._finish_route_step(message.outcome, message.elapsed_ms, final=True)
        else:
            if isinstance(message, PeerEnded) and message.reset and not self.closing:
                self.reason = "destination-reset"
            super().on_message(message)


def remaining_wait_ms(front: Front) -> float:
    """Returns the time in ms until the answer deadline: the client's wait, at most ``MAX_ANSWER_WAIT_S``."""
    return 1000.0 * (front.answer_deadline - front.loop.clock())
