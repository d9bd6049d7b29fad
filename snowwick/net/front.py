"""The client's side: the front socket's first line, its one answer, then its side of the relay."""

from __future__ import annotations

import socket
from collections.abc import Generator
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

OPENING_TIMEOUT_S = 2.0  # s that a front socket may stay without an opening line, whatever else it says
MAX_LINGER_S = 5.0  # s at most in which the rest of what a client sends is read, once it has its answer
MIN_IDLE_S = 0.05  # s in which a front socket that was just taken or answered is not ended to make room
RESUME_TIMEOUT_S = 40.0  # s that a connection which stood before may take to come up again


class EvictIdle:
    """To a front without a request: end, its descriptor is wanted."""


class ShuttingDown:
    """To a front: the program ends.  What is owed is answered, who stands is moved, who rests is ended."""


class FrontHost(Protocol):
    """What a front needs of the program round it."""

    loop: Loop
    request_path: RequestPath
    delay_monitor: Gauge

    @property
    def groups_enabled(self) -> bool:
        """Has ``g`` a meaning in the settings?"""

    @property
    def connect_timeout_s(self) -> float:
        """Seconds that a connect may take."""

    def destination_number(self, name: str) -> int:
        """A destination's number by its name."""

    def destination_address(self, destination: int) -> tuple[str, int] | None:
        """Where a destination is, if the pool config has it."""

    def retry_after_ms(self) -> float:
        """When a client that gets a busy reply without a decision should return."""

    def on_request(self, front: Front) -> None:
        """The front has a request now."""

    def on_answered(self, front: Front) -> None:
        """The front has its answer; its socket may have to stay a little."""

    def on_front_closed(self, front: Front) -> None:
        """The front is gone."""


class Front(LinePeer):
    """One client's connection."""

    def __init__(self, host: FrontHost, sock: socket.socket) -> None:
        super().__init__(host.loop, configure_socket(sock))
        self.host, self.reason, self.detail = host, "fault", ""
        self.request: Request | None = None
        self.route_step: Destination | None = None
        self.at_decider = self.established = False
        self.may_have_run = False  # may an attempt have run?  Then a busy reply would promise too much
        self.destination_number = -1
        self.accepted_at = self.request_started_at = self.answer_deadline = self.answered_at = (
            self.loop.clock()
        )

    def run(self) -> Coroutine:
        try:
            yield from self._serve()
        except OSError:
            self.reason = "front-reset"
            self.notify_other_side(PeerEnded(reset=True))
        except lines.MalformedLine as error:
            self.reason, self.detail = "garbled", str(error)
            yield from self._send_answer(lines.ERR)
        finally:
            self._release_request()
            self.close_socket()
            self.host.on_front_closed(self)

    def _release_request(self) -> None:
        """Whatever ended this side, the decider and the step hear of it."""
        if self.request is None:
            return
        if self.at_decider and not self.established:
            self.request.post(ClientLeft(self, self.route_step is not None))
        if self.route_step is not None:
            self.route_step.post(PeerEnded())
            self._finish_route_step(Outcome.CANCELLED, 0.0, final=True)
        self.host.request_path.on_ended(self.request)

    def _serve(self) -> Coroutine:
        opening = yield from self._read_opening()
        if opening is None:
            return
        self.request = make_request(self, opening, self.host.groups_enabled)
        rejection = self.host.request_path.enter(self.request)
        if rejection is not None:
            self.reason, self.detail = rejection.reason, rejection.detail
            yield from self._send_answer(rejection.line)
            return
        self._start_request(self.request)
        answer = yield from self._await_answer()
        if answer is not None:
            yield from self._send_answer(answer)
        if self.established:
            yield from self.relay()

    def _read_opening(self) -> Generator[Wait, int, lines.Opening | None]:
        """The opening line; None where there will be none, and then ``reason`` says why."""
        until = self.accepted_at + OPENING_TIMEOUT_S
        self.reason = "no-opening"
        while True:
            # Who asks without reading the answers is read no further: the answers would pile up.
            woke = yield Wait(
                self.sock, read=not self.output_full(), write=bool(self.output_buffer), until=until
            )
            ended = ""
            for message in self.take_messages():
                ended = "draining" if isinstance(message, ShuttingDown) else "made-room"
            # Whatever ends it, what lies in the socket is read first: a request there is owed its answer.
            going = self.receive() if woke & (READABLE | TIMED_OUT) or ended else True
            while (line := lines.take_line(self.input_buffer)) is not None:
                word = line.rstrip(b"\r\n")
                if word == lines.PING:
                    self.reason = "ping"
                    self.output_buffer += lines.PONG
                elif word == lines.STATS:
                    self.output_buffer += lines.NO
                else:
                    opening = lines.parse_opening(line)
                    # Who sends on top of it or goes at once shows now, before anything is decided.
                    going = going and self.receive()
                    if self.input_buffer:
                        raise lines.MalformedLine("more than an opening line")
                    if going:
                        return opening
                    self.reason = "left"
                    return None
            self.flush()
            if woke & TIMED_OUT and self.input_buffer:
                raise lines.MalformedLine("no whole line in time")
            if not going or self.write_failed:
                return None
            if ended or woke & TIMED_OUT:
                self.reason = ended or self.reason
                yield from self._send_answer(b"")
                return None

    def _start_request(self, request: Request) -> None:
        self.request_started_at = self.loop.clock()
        self.answer_deadline = self.request_started_at + min(request.wait_ms / 1000.0, RESUME_TIMEOUT_S)
        self.host.on_request(self)
        if request.resumed_destination:
            self._start_route_step(self.host.destination_number(request.resumed_destination), request.wait_ms)
        else:
            self.at_decider = True

    def _await_answer(self) -> Generator[Wait, int, bytes | None]:
        """Wait for the one final answer, making the route steps that the decider asks for."""
        late = False
        while True:
            woke = yield Wait(self.sock, read=True, until=self.answer_deadline)
            # The client first, whatever came with it: for one that has gone nothing more is sent on.
            if not self.receive():
                self.reason = "left"
                return None
            if self.input_buffer:
                raise lines.MalformedLine("sent before its answer")
            for message in self.take_messages():
                if isinstance(message, RouteStep):
                    left = remaining_wait_ms(self)
                    self._start_route_step(message.destination, min(message.timeout_ms or left, left))
                elif isinstance(message, ConnectionEstablished):
                    self._establish(message)
                    return None
                elif isinstance(message, ConnectionEnded):
                    self.route_step = None
                    self.may_have_run = self.may_have_run or message.outcome not in NOT_EXECUTED
                    if not self.at_decider:
                        self.reason = f"kept-{message.outcome.value}"
                        return lines.ERR
                    self._finish_route_step(message.outcome, message.elapsed_ms, final=False)
                elif isinstance(message, BusyReply):
                    self.at_decider, self.reason = False, "busy"
                    return lines.busy_line(message.retry_after_ms)
                elif isinstance(message, FailReply):
                    self.at_decider, self.reason = False, "failed"
                    return lines.ERR
                elif isinstance(message, ShuttingDown):
                    self.reason = "draining"
                    harmless = self.at_decider and self.route_step is None and not self.may_have_run
                    return lines.busy_line(self.host.retry_after_ms()) if harmless else lines.ERR
            if late:
                # The decider answers before this; a fault in it must not leave the client without.
                self.reason = "overdue"
                return lines.ERR
            # One turn more: an UP that came in this one is still on its way here.
            late = bool(woke & TIMED_OUT)

    def _start_route_step(self, destination: int, wait_ms: float) -> None:
        assert self.request is not None
        self.destination_number = destination
        address = self.host.destination_address(destination)
        if address is None or wait_ms <= 0:
            self.post(ConnectionEnded(Outcome.CONNECT_FAILED if address is None else Outcome.UNSENT, 0.0))
            return
        try:
            self.route_step = Destination(
                self.loop,
                self,
                destination,
                address,
                lines.with_wait(self.request.opening.line, wait_ms),
                wait_ms / 1000.0,
                self.host.connect_timeout_s,
                self.host.delay_monitor,
            )
        except OSError as error:
            # No descriptor for it: the client is still owed its one answer.
            self.loop.log.event("route-step-failed", "route step: {error}", error=str(error))
            self.post(ConnectionEnded(Outcome.CONNECT_FAILED, 0.0))
            return
        self.route_step.start()

    def _establish(self, message: ConnectionEstablished) -> None:
        assert self.request is not None
        self.established, self.other_side, self.reason = True, self.route_step, "client-ended"
        self.output_buffer += message.line
        if self.at_decider:
            self.request.post(RouteStepEstablished(self, self.destination_number, message.elapsed_ms))
        else:
            self.request.report_resumed(self.destination_number)
        self.host.request_path.on_established(self.request)
        self.flush()

    def _finish_route_step(self, outcome: Outcome, elapsed: float, final: bool) -> None:
        self.route_step = None
        assert self.request is not None
        if self.at_decider or self.established:
            self.request.post(RouteStepEnded(self, self.destination_number, outcome, elapsed, final))
        if final:
            self.host.request_path.on_ended(self.request)

    def _send_answer(self, line: bytes) -> Coroutine:
        """Send the final answer and end the connection; what the client still sends is passed over."""
        self._release_request()
        self.at_decider = False
        self.host.on_answered(self)  # and is the first to end where room is wanted
        self.input_buffer.clear()
        self.output_buffer += line
        self.closing, self.other_side = True, None
        self.answered_at = self.loop.clock()
        self.start_close_deadline()
        try:
            self.flush()
            yield from self.relay()
        except OSError:
            pass  # answered; the client may have gone meanwhile

    def on_input_discarded(self) -> None:
        """Who sends 60 MB may read the answer only after the last of them: there is more grace till then."""
        if self.other_side is None:
            self.close_deadline = min(self.loop.clock() + CLOSE_GRACE_S, self.answered_at + MAX_LINGER_S)

    def on_message(self, message: object) -> None:
        if isinstance(message, EvictIdle):
            # Only who has its answer on the wire: closed under it, the answer might be lost.
            if (
                self.other_side is None
                and not self.output_buffer
                and self.loop.clock() - self.answered_at >= MIN_IDLE_S
            ):
                self.read_done = self.write_done = True
        elif isinstance(message, ShuttingDown):
            if self.other_side is not None:
                self.on_message(MoveAway("draining"))
        elif isinstance(message, MoveAway):
            if not self.closing:
                self.reason, self.closing = message.reason, True
                self.output_buffer += lines.MOVE  # `out` holds whole lines only
                self.notify_other_side(PeerEnded())
                self.start_close_deadline()
        elif isinstance(message, LoadReport):
            if self.request is not None:
                self.request.post(message)
                self.host.request_path.on_load(self.request, message.load)
        elif isinstance(message, ConnectionEnded):
            if self.route_step is not None:
                if not self.closing and not self.read_done:
                    self.reason = f"destination-{message.outcome.value}"
                self._finish_route_step(message.outcome, message.elapsed_ms, final=True)
        else:
            if isinstance(message, PeerEnded) and message.reset and not self.closing:
                self.reason = "destination-reset"
            super().on_message(message)


def remaining_wait_ms(front: Front) -> float:
    """Ms until the client gives up."""
    return 1000.0 * (front.answer_deadline - front.loop.clock())
