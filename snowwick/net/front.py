"""The client's side: the front socket's first line, its one answer, then its side of the relay."""

from __future__ import annotations

import socket
from collections.abc import Generator
from typing import Protocol

from snowwick.net import lines
from snowwick.net.decider import (
    NOT_EXECUTED,
    BusyReply,
    FailReply,
    Left,
    Load,
    MoveAway,
    Outcome,
    RouteStep,
    StepEnded,
    StepUp,
)
from snowwick.net.destination import Destination, Over, Up
from snowwick.net.gauge import Gauge
from snowwick.net.loop import READABLE, TIMED_OUT, Coroutine, Loop, Wait
from snowwick.net.path import Ask, Path, ask_of
from snowwick.net.peer import CLOSE_GRACE_S, LinePeer, PeerEnded, configure_socket

FIRST_LINE = 2.0  # s that a front socket may stay without an opening line, whatever else it says
LINGER = 5.0  # s at most in which the rest of what a client sends is read, once it has its answer
SETTLE = 0.05  # s in which a front socket that was just taken or answered is not ended to make room
KEPT = 40.0  # s that a connection which stood before may take to come up again


class MakeRoom:
    """To a front without a request: end, its descriptor is wanted."""


class Closing:
    """To a front: the program ends.  What is owed is answered, who stands is moved, who rests is ended."""


class House(Protocol):
    """What a front needs of the program round it."""

    loop: Loop
    path: Path
    gauge: Gauge

    @property
    def groups(self) -> bool:
        """Has ``g`` a meaning in the settings?"""

    @property
    def connect_wait(self) -> float:
        """Seconds that a connect may take."""

    def number(self, name: str) -> int:
        """A destination's number by its name."""

    def address(self, destination: int) -> tuple[str, int] | None:
        """Where a destination is, if the pool config has it."""

    def come_again_ms(self) -> float:
        """When a client that gets a busy reply without a decision should return."""

    def asks(self, front: Front) -> None:
        """The front has a request now."""

    def asks_no_more(self, front: Front) -> None:
        """The front has its answer; its socket may have to stay a little."""

    def ended(self, front: Front) -> None:
        """The front is gone."""


class Front(LinePeer):
    """One client's connection."""

    def __init__(self, house: House, sock: socket.socket) -> None:
        super().__init__(house.loop, configure_socket(sock))
        self.house, self.reason, self.detail = house, "fault", ""
        self.ask: Ask | None = None
        self.step: Destination | None = None
        self.asked = self.up = False
        self.ran = False  # may an attempt have run?  Then a busy reply would promise too much
        self.number = -1
        self.accepted = self.began = self.until = self.answered = self.loop.clock()

    def run(self) -> Coroutine:
        try:
            yield from self._serve()
        except OSError:
            self.reason = "front-reset"
            self.notify_other_side(PeerEnded(reset=True))
        except lines.MalformedLine as error:
            self.reason, self.detail = "garbled", str(error)
            yield from self._answer(lines.ERR)
        finally:
            self._leave()
            self.close_socket()
            self.house.ended(self)

    def _leave(self) -> None:
        """Whatever ended this side, the decider and the step hear of it."""
        if self.ask is None:
            return
        if self.asked and not self.up:
            self.ask.post(Left(self, self.step is not None))
        if self.step is not None:
            self.step.post(PeerEnded())
            self._step_over(Outcome.CANCELLED, 0.0, final=True)
        self.house.path.over(self.ask)

    def _serve(self) -> Coroutine:
        opening = yield from self._first_line()
        if opening is None:
            return
        self.ask = ask_of(self, opening, self.house.groups)
        turned = self.house.path.enter(self.ask)
        if turned is not None:
            self.reason, self.detail = turned.reason, turned.detail
            yield from self._answer(turned.line)
            return
        self._begin(self.ask)
        answer = yield from self._await_answer()
        if answer is not None:
            yield from self._answer(answer)
        if self.up:
            yield from self.relay()

    def _first_line(self) -> Generator[Wait, int, lines.Opening | None]:
        """The opening line; None where there will be none, and then ``reason`` says why."""
        until = self.accepted + FIRST_LINE
        self.reason = "no-opening"
        while True:
            # Who asks without reading the answers is read no further: the answers would pile up.
            woke = yield Wait(
                self.sock, read=not self.output_full(), write=bool(self.output_buffer), until=until
            )
            ended = ""
            for message in self.take_messages():
                ended = "draining" if isinstance(message, Closing) else "made-room"
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
                yield from self._answer(b"")
                return None

    def _begin(self, ask: Ask) -> None:
        self.began = self.loop.clock()
        self.until = self.began + min(ask.wait / 1000.0, KEPT)
        self.house.asks(self)
        if ask.at:
            self._take_step(self.house.number(ask.at), ask.wait)
        else:
            self.asked = True

    def _await_answer(self) -> Generator[Wait, int, bytes | None]:
        """Wait for the one final answer, making the route steps that the decider asks for."""
        late = False
        while True:
            woke = yield Wait(self.sock, read=True, until=self.until)
            # The client first, whatever came with it: for one that has gone nothing more is sent on.
            if not self.receive():
                self.reason = "left"
                return None
            if self.input_buffer:
                raise lines.MalformedLine("sent before its answer")
            for message in self.take_messages():
                if isinstance(message, RouteStep):
                    left = wait_left(self)
                    self._take_step(message.destination, min(message.wait or left, left))
                elif isinstance(message, Up):
                    self._stand(message)
                    return None
                elif isinstance(message, Over):
                    self.step = None
                    self.ran = self.ran or message.outcome not in NOT_EXECUTED
                    if not self.asked:
                        self.reason = f"kept-{message.outcome.value}"
                        return lines.ERR
                    self._step_over(message.outcome, message.elapsed, final=False)
                elif isinstance(message, BusyReply):
                    self.asked, self.reason = False, "busy"
                    return lines.busy_line(message.retry_after)
                elif isinstance(message, FailReply):
                    self.asked, self.reason = False, "failed"
                    return lines.ERR
                elif isinstance(message, Closing):
                    self.reason = "draining"
                    harmless = self.asked and self.step is None and not self.ran
                    return lines.busy_line(self.house.come_again_ms()) if harmless else lines.ERR
            if late:
                # The decider answers before this; a fault in it must not leave the client without.
                self.reason = "overdue"
                return lines.ERR
            # One turn more: an UP that came in this one is still on its way here.
            late = bool(woke & TIMED_OUT)

    def _take_step(self, destination: int, wait_ms: float) -> None:
        assert self.ask is not None
        self.number = destination
        address = self.house.address(destination)
        if address is None or wait_ms <= 0:
            self.post(Over(Outcome.CONNECT_FAILED if address is None else Outcome.UNSENT, 0.0))
            return
        try:
            self.step = Destination(
                self.loop,
                self,
                destination,
                address,
                lines.with_wait(self.ask.opening.line, wait_ms),
                wait_ms / 1000.0,
                self.house.connect_wait,
                self.house.gauge,
            )
        except OSError as error:
            # No descriptor for it: the client is still owed its one answer.
            self.loop.log.event("route-step-failed", "route step: {error}", error=str(error))
            self.post(Over(Outcome.CONNECT_FAILED, 0.0))
            return
        self.step.start()

    def _stand(self, message: Up) -> None:
        assert self.ask is not None
        self.up, self.other_side, self.reason = True, self.step, "client-ended"
        self.output_buffer += message.line
        if self.asked:
            self.ask.post(StepUp(self, self.number, message.elapsed))
        else:
            self.ask.kept(self.number)
        self.house.path.stands(self.ask)
        self.flush()

    def _step_over(self, outcome: Outcome, elapsed: float, final: bool) -> None:
        self.step = None
        assert self.ask is not None
        if self.asked or self.up:
            self.ask.post(StepEnded(self, self.number, outcome, elapsed, final))
        if final:
            self.house.path.over(self.ask)

    def _answer(self, line: bytes) -> Coroutine:
        """Send the final answer and end the connection; what the client still sends is passed over."""
        self._leave()
        self.asked = False
        self.house.asks_no_more(self)  # and is the first to end where room is wanted
        self.input_buffer.clear()
        self.output_buffer += line
        self.closing, self.other_side = True, None
        self.answered = self.loop.clock()
        self.start_close_deadline()
        try:
            self.flush()
            yield from self.relay()
        except OSError:
            pass  # answered; the client may have gone meanwhile

    def on_input_discarded(self) -> None:
        """Who sends 60 MB may read the answer only after the last of them: there is more grace till then."""
        if self.other_side is None:
            self.close_deadline = min(self.loop.clock() + CLOSE_GRACE_S, self.answered + LINGER)

    def on_message(self, message: object) -> None:
        if isinstance(message, MakeRoom):
            # Only who has its answer on the wire: closed under it, the answer might be lost.
            if (
                self.other_side is None
                and not self.output_buffer
                and self.loop.clock() - self.answered >= SETTLE
            ):
                self.read_done = self.write_done = True
        elif isinstance(message, Closing):
            if self.other_side is not None:
                self.on_message(MoveAway("draining"))
        elif isinstance(message, MoveAway):
            if not self.closing:
                self.reason, self.closing = message.reason, True
                self.output_buffer += lines.MOVE  # `out` holds whole lines only
                self.notify_other_side(PeerEnded())
                self.start_close_deadline()
        elif isinstance(message, Load):
            if self.ask is not None:
                self.ask.post(message)
                self.house.path.load(self.ask, message.load)
        elif isinstance(message, Over):
            if self.step is not None:
                if not self.closing and not self.read_done:
                    self.reason = f"destination-{message.outcome.value}"
                self._step_over(message.outcome, message.elapsed, final=True)
        else:
            if isinstance(message, PeerEnded) and message.reset and not self.closing:
                self.reason = "destination-reset"
            super().on_message(message)


def wait_left(front: Front) -> float:
    """Ms until the client gives up."""
    return 1000.0 * (front.until - front.loop.clock())
