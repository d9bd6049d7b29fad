"""What is still owed at the instant in which something ends; docs/endings.md has the table.

Each instant is forced: bytes lie in a socket before the turn that closes it, come between a turn's look at
the sockets and what it resumes, or just before a call.  See wire.py for the language and the hooks.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Iterator

import pytest
from wire import SETTINGS, World

from snowwick.net.decider import MoveAway, RouteStep
from snowwick.net.destination import Destination
from snowwick.net.front import EvictIdle, Front, ShuttingDown
from snowwick.net.loop import Actor, Coroutine
from snowwick.net.pool import destination_number
from snowwick.net.service import Service

OPEN = "OPEN 1 k1 d=1200,c=feed,t=n,g=g1"
UP = f"c1 send {OPEN}\nd1 expect OPEN 1 *\nd1 send UP r1\nc1 expect UP r1\n"


@pytest.fixture
def world() -> Iterator[World]:
    one = World()
    yield one
    one.close()


def front_of(world: World) -> Front:
    (front,) = world.service.fronts
    return front


def step_of(world: World) -> Destination:
    (step,) = [one for one in world.loop.actors if isinstance(one, Destination)]
    return step


def rests(world: World, who: str = "c1") -> Front:
    """A client that has connected and asked nothing."""
    world.play(f"{who} send PING\n{who} expect PONG")
    return front_of(world)


def passes(world: World, done: Callable[[], object], most: float) -> float:
    """Let time pass in steps, at most so many seconds, until something is so; returns how many it took."""
    began = world.clock.now
    while not done():
        assert world.clock.now < began + most, "it did not happen in time"
        world.wait(50)
    return world.clock.now - began


def nothing_is_left(world: World) -> None:
    """No socket, no request in the module, nothing that it counts at a server."""
    world.run_until(lambda: not world.service.fronts)
    world.run_turns()
    balancer = world.service.decider.balancer
    assert (
        world.loop.open_sockets == 0 and not balancer.flows and not world.service.decider.connection_counts()
    )
    assert "fault" not in world.log_output.getvalue(), world.log_output.getvalue()


# --- a front socket without a request


@pytest.mark.parametrize("why", ["time", "room"])
def test_request_in_the_socket_in_the_turn_that_ends_a_resting_connection_is_served(
    world: World, why: str
) -> None:
    front = rests(world)
    world.put_unread("c1", OPEN)
    if why == "time":
        world.clock.now += 2.1
    else:
        front.post(EvictIdle())
    world.play("d1 expect OPEN 1 *\nd1 send UP r1\nc1 expect UP r1")


def test_request_between_the_look_and_the_time_out_of_a_resting_connection_is_served(world: World) -> None:
    """The loop had looked at the socket already, and then the time ran out."""
    rests(world)
    world.clock.now += 2.1
    world.call_after_poll(lambda: world.put_unread("c1", OPEN))
    world.play("d1 expect OPEN 1 *")


@pytest.mark.parametrize("why", ["time", "room"])
def test_request_that_comes_as_a_resting_connection_is_shut_is_never_sent_on(world: World, why: str) -> None:
    """Its answer could not be sent any more: sent on, it would be served to nobody.  No reset either."""
    front = rests(world)
    world.call_before(front, "shutdown", lambda: world.put_unread("c1", OPEN))
    if why == "time":
        world.clock.now += 2.1
    else:
        front.post(EvictIdle())
    world.play("c1 end\nc1 close")
    nothing_is_left(world)
    assert not world.destination_connections


def test_flood_that_asks_much_and_rests_gives_its_descriptors_back() -> None:
    """Ended connections that nobody closes must not hold what asking clients need."""
    world = World(limits={"sockets": 64})
    for n in range(60):
        mute = socket.create_connection(world.service.listener.getsockname())
        mute.sendall(b"PING\r\n" * 100)
        world.sockets[f"m{n}"] = mute
        mute.setblocking(False)
        world.received[f"m{n}"] = bytearray()
    for n in range(1, 9):
        world.play(f"wait 60\nc{n} send OPEN {n} k{n} d=1200,c=feed,t=n")
    for _ in range(20):
        world.wait(60)
    world.play("".join(f"d{n} expect OPEN *\n" for n in range(1, 9)))
    world.close()


# --- a request that waits for its answer


def test_request_whose_client_has_gone_with_its_last_byte_is_not_sent_on(world: World) -> None:
    with socket.create_connection(world.service.listener.getsockname()) as client:
        client.sendall(OPEN.encode() + b"\r\n")
    world.run_until(lambda: world.log_output.getvalue())
    nothing_is_left(world)
    assert not world.destination_connections and " left " in world.log_output.getvalue()


def test_bytes_on_top_of_the_opening_in_the_same_turn_are_answered_before_any_decision(world: World) -> None:
    """In a second read of that turn: the opening alone had been taken."""
    front = rests(world)
    world.put_unread("c1", OPEN)
    world.call_before(front, "recv", lambda: None)
    world.call_before(front, "recv", lambda: None)
    front.sock.pending_actions.append(lambda: world.put_unread("c1", "M 1"))  # type: ignore[attr-defined]
    world.play("c1 expect ERR\nc1 end\nc1 close")
    nothing_is_left(world)
    assert not world.destination_connections


def waits(world: World, monkeypatch: pytest.MonkeyPatch) -> Front:
    """A request that the module holds."""
    monkeypatch.setattr(world.service.decider.balancer, "_choose_backend", lambda flow: None)
    world.play(f"c1 send {OPEN}\nc1 quiet")
    return front_of(world)


@pytest.mark.parametrize("how", ["close", "reset", "close after the look"])
def test_client_gone_and_its_step_in_one_turn_is_not_sent_on(
    world: World, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    front = waits(world, monkeypatch)
    if how == "close after the look":
        world.call_after_poll(lambda: world.close_unread("c1"))
    else:
        world.close_unread("c1", reset=how == "reset")
    front.post(RouteStep(destination_number("s-1"), 500.0))
    nothing_is_left(world)
    assert not world.destination_connections


def test_client_gone_in_the_turn_in_which_the_module_lets_it_out_leaves_nothing_behind(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The step was asked for at a front that had ended: the module waited for its end for good."""
    front, balancer = waits(world, monkeypatch), world.service.decider.balancer
    monkeypatch.undo()
    world.close_unread("c1")
    (flow,) = balancer.flows.values()
    world.resume_first(front)
    world.call_after_poll(lambda: setattr(balancer, "buffer_check_at", 0.0))
    balancer.throttle.waiting = []
    balancer.now, balancer.pending_actions = world.service.now_ms(), []
    assert balancer._start_attempt(flow, probed=True)
    for action in balancer.pending_actions:
        world.service.decider._carry_out(action)
    nothing_is_left(world)
    assert not world.destination_connections


def test_client_gone_and_its_step_failed_in_one_turn_has_no_successor(world: World) -> None:
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.resume_first(step_of(world))
    world.close_unread("d1", reset=True)
    world.close_unread("c1")
    nothing_is_left(world)
    assert world.destination_connections == 1


@pytest.mark.parametrize("how", ["close", "more"])
def test_client_that_stirs_while_its_step_connects_is_not_sent_on(world: World, how: str) -> None:
    """Both are ready in one turn, and the step is resumed first."""
    rests(world)
    world.put_unread("c1", OPEN)
    while not any(isinstance(one, Destination) for one in world.loop.actors):
        world.loop.run_once(0.0)
    if how == "close":
        world.close_unread("c1")
    else:
        world.put_unread("c1", "M 1")
    world.resume_first(step_of(world))
    if how == "more":
        world.play("c1 expect ERR\nc1 end\nc1 close")
    nothing_is_left(world)
    assert world.destination_connections == 1 and not world.received["d1"] and "d1" in world.closed, (
        "the opening was written"
    )


def test_bytes_and_up_in_one_turn_are_answered_as_garbled(world: World) -> None:
    """What lies in the socket before the answer is written was sent before the answer."""
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.resume_first(step_of(world))
    world.put_unread("d1", "UP r1")
    world.put_unread("c1", "M 1")
    world.play("c1 expect ERR\nc1 end\nd1 end\nc1 close\nd1 close")
    nothing_is_left(world)


# --- an attempt


@pytest.mark.parametrize("when", ["before the look", "after the look"])
def test_up_in_the_turn_of_its_time_out_counts(world: World, when: str) -> None:
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.clock.now += 0.61  # half of the time is one attempt's
    if when == "before the look":
        world.put_unread("d1", "UP r1")
    else:
        world.call_after_poll(lambda: world.put_unread("d1", "UP r1"))
    world.play("c1 expect UP r1\nc1 quiet")
    assert world.destination_connections == 1


def test_up_in_the_turn_in_which_the_client_is_overdue_counts(world: World) -> None:
    """The front was resumed before the attempt that had read its UP."""
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.put_unread("d1", "UP r1")
    world.service.decider.timers.clear()
    front, ready = front_of(world), world.loop.ready

    def front_first() -> None:
        ready.remove(front)
        ready.appendleft(front)

    world.call_after_poll(front_first)
    world.clock.now += 1.21
    world.play("c1 expect UP r1")


@pytest.mark.parametrize("spoilt", ["UP", "UP ", "UP r1 ", "UP r\x01", "up r1", "UPr1", "BYE", "MOVE"])
def test_spoilt_answer_ends_the_attempt_and_closes_it_before_the_next(world: World, spoilt: str) -> None:
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.put_unread("d1", spoilt)
    first = step_of(world)
    closed: list[int] = []
    world.call_before(first, "close", lambda: closed.append(world.destination_connections))
    world.run_until(lambda: world.destination_connections == 2)
    assert closed == [1], "the next was begun before this one was closed"
    world.play("d1 end\nc1 quiet\nd2 expect OPEN 1 *\nd2 send UP r2\nc1 expect UP r2")


@pytest.mark.parametrize("end", ["close", "reset"])
def test_half_an_up_at_the_end_is_none(world: World, end: str) -> None:
    world.play(
        f"c1 send {OPEN}\nd1 expect OPEN 1 *\nd1 part UP r1\nd1 {end}\n"
        "d2 expect OPEN 1 *\nc1 quiet\nd2 send UP r2\nc1 expect UP r2"
    )


def test_line_that_never_ends_ends_the_attempt(world: World) -> None:
    world.play(
        f"c1 send {OPEN}\nd1 expect OPEN 1 *\nd1 raw 'x' * 9000\nd1 end\n"
        "d2 expect OPEN 1 *\nc1 quiet\nd2 send UP r2\nc1 expect UP r2"
    )


def test_lines_without_end_before_the_answer_are_given_up_with_the_attempts_time(world: World) -> None:
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    for _ in range(6):
        world.play("d1 raw 'LOAD 1\\r\\n' * 300 + 'LOAD 1'\nc1 quiet\nwait 100")
    world.play("wait 10\nd1 end\nd2 expect OPEN 1 *\nd2 send UP r2\nc1 expect UP r2")


@pytest.mark.parametrize("said", ["", "M 1", "M 1\r\nM"], ids=["before a line", "after one", "in one"])
def test_server_that_hangs_after_its_up_loses_its_client_within_seven_seconds(
    world: World, said: str
) -> None:
    world.service.delay_monitor.report = lambda _: None
    world.play(UP + "c1 send M 1\nd1 expect M 1\nc1 send M 2\nd1 expect M 2")
    if said:
        world.play(f"d1 part {said[:-1]}" if said.endswith("M") and len(said) > 1 else f"d1 send {said}")
        world.run_turns()
    world.received["c1"].clear()
    for _ in range(13):
        world.wait(500)
    world.play("c1 expect MOVE\nc1 end\nd1 end")


# --- a connection that stands


def test_client_that_ends_and_server_that_resets_in_one_turn_leave_nothing(world: World) -> None:
    world.play(UP)
    world.close_unread("c1")
    world.close_unread("d1", reset=True)
    nothing_is_left(world)


def test_last_line_of_a_server_is_passed_on_though_a_line_to_it_fails(world: World) -> None:
    """BYE lay unread in the socket as the write to it failed, and the client was reset without it."""
    world.play(UP)
    world.put_unread("c1", "M 1")

    def leaves() -> None:
        world.put_unread("d1", "BYE")
        world.close_unread("d1", reset=True)

    world.call_after_poll(leaves)
    world.play("c1 expect BYE")
    world.run_until(lambda: "c1" in world.closed)
    nothing_is_left(world)


def test_move_is_not_lost_where_the_client_sends_as_the_grace_ends(world: World) -> None:
    """A close over unread bytes is a reset, and it may overtake the MOVE."""
    world.play(UP)
    front, client = front_of(world), world.sockets.pop("c1")
    front.post(MoveAway("test"))
    world.run_turns()
    closed: list[int] = []
    world.call_before(
        front,
        "close",
        lambda: closed.append(len(front.sock.recv(9, socket.MSG_PEEK)) if front.has_unread_input() else 0),
    )
    client.sendall(b"M 1\r\n")
    world.clock.now += 0.6
    nothing_is_left(world)
    assert closed == [0], "bytes were left unread"
    assert client.recv(100) == b"MOVE\r\n"
    client.close()


def test_move_behind_a_full_buffer_is_written_within_the_second(world: World) -> None:
    """A client that reads slowly was cut off half a second after its MOVE, which was still waiting."""
    world.play(UP)
    front, client, server = front_of(world), world.sockets.pop("c1"), world.sockets["d1"]
    line, sent = b"M " + b"x" * 4000 + b"\r\n", 0
    while len(front.output_buffer) < 16384:
        with contextlib.suppress(BlockingIOError):
            sent += server.send(line[sent % len(line) :])
        world.loop.run_once(0.0)
    front.post(MoveAway("test"))
    world.wait(600)
    got = bytearray()

    def read() -> bool:
        with contextlib.suppress(BlockingIOError):
            while data := client.recv(1 << 20):
                got.extend(data)
            return True
        return False

    world.run_until(read)
    assert got.endswith(b"\r\nMOVE\r\n") and {len(one) for one in got.split(b"\r\n")[:-2]} == {4002}
    client.close()


def test_move_comes_between_two_lines_though_one_is_half_passed_on(world: World) -> None:
    world.play(UP + "d1 part M 1\nc1 part M")
    front_of(world).post(MoveAway("test"))
    world.play("c1 expect MOVE\nc1 end\nd1 end")
    world.put_unread("d1", " late")
    world.play("d1 close\nc1 close")
    nothing_is_left(world)


def test_answer_is_not_closed_away_to_make_room(world: World) -> None:
    """The row of those without a request held who had just been answered too."""
    world.play(f"c1 send {OPEN} x\nc1 expect ERR")
    front = front_of(world)
    front.post(EvictIdle())
    world.run_turns()
    assert world.service.fronts == {front}
    world.clock.now += 0.06
    front.post(EvictIdle())
    world.run_until(lambda: not world.service.fronts)


# --- the end of the program


class Ending(Actor):
    """The planned end, as SIGTERM begins it."""

    def __init__(self, service: Service) -> None:
        super().__init__(service.loop)
        self.service, self.over = service, False
        self.start()

    def run(self) -> Coroutine:
        yield from self.service.drain()
        self.over = True


def test_connection_that_only_the_system_has_accepted_is_answered_before_the_end(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The end came as soon as no front was left: what waited to be accepted was reset."""
    monkeypatch.setattr(world.service, "make_room", lambda: False)
    ending = Ending(world.service)
    world.play("wait 300")
    world.send("c1", "OPEN 2 k2 d=1200,c=feed,t=n")
    passes(world, lambda: world.received["c1"], 0.5)
    world.play("c1 expect BUSY *\nc1 end\nc1 close")
    passes(world, lambda: ending.over, 1.0)
    assert not world.destination_connections


def test_resting_connection_that_asks_in_the_turn_of_the_end_is_answered(world: World) -> None:
    ending = Ending(world.service)
    front = rests(world)
    passes(world, lambda: world.clock.now >= 1001.3, 2.0)
    assert not front.mailbox
    front.post(ShuttingDown())
    world.put_unread("c1", OPEN)
    world.play("c1 expect BUSY *\nc1 end\nc1 close")
    passes(world, lambda: ending.over, 1.0)
    assert not world.destination_connections


def test_resting_connection_is_ended_in_order_before_the_end(world: World) -> None:
    """It was closed with the program, over whatever it had just sent."""
    ending = Ending(world.service)
    front = rests(world)
    world.call_before(front, "shutdown", lambda: world.put_unread("c1", OPEN))
    passes(world, lambda: "c1" in world.closed, 1.5)
    assert not ending.over and not world.received["c1"]
    passes(world, lambda: ending.over, 1.0)
    assert not world.destination_connections


@pytest.mark.parametrize("ran,answer", [(False, "BUSY *"), (True, "ERR")])
def test_request_that_still_waits_at_the_end_is_answered(
    monkeypatch: pytest.MonkeyPatch, ran: bool, answer: str
) -> None:
    """Where a class waits longer than the time until SIGKILL, who waited in the buffer got nothing."""
    classes = [{"name": "feed", "aim": 300.0, "deadline": 9000.0, "effect": "read_like"}]
    world = World(settings={**SETTINGS, "classes": classes})
    if not ran:
        monkeypatch.setattr(world.service.decider.balancer, "_choose_backend", lambda flow: None)
    world.play("c1 send OPEN 1 k1 d=9000,c=feed,t=n\nc1 quiet" + "\nd1 expect OPEN *" * ran)
    ending = Ending(world.service)
    assert passes(world, lambda: world.received["c1"], 3.5) >= 3.0
    assert not ending.over
    world.play(f"c1 expect {answer}\nc1 end\nc1 close")
    passes(world, lambda: ending.over, 0.5)
    world.close()


@pytest.mark.parametrize("deadline", [100.0, 300.0, 600.0, 1200.0])
def test_all_are_moved_before_the_end_however_short_the_deadline(deadline: float) -> None:
    """The moves took a second whatever the settings said, and the end came sooner."""
    classes = [{"name": "feed", "aim": 50.0, "deadline": deadline, "effect": "read_like"}]
    world = World(settings={**SETTINGS, "classes": classes})
    for n in range(1, 9):
        world.play(
            f"c{n} send OPEN {n} k{n} d={deadline:.0f},c=feed,t=n\nd{n} expect OPEN *\n"
            f"d{n} send UP r\nc{n} expect UP r"
        )
    ending = Ending(world.service)
    passes(world, lambda: ending.over, 2.0)
    for n in range(1, 9):
        world.play(f"c{n} expect MOVE\nc{n} end")
    world.close()


def test_up_in_the_last_turns_of_the_end_is_moved() -> None:
    """All others had been moved long before."""
    classes = [{"name": "feed", "aim": 300.0, "deadline": 3000.0, "effect": "read_like"}]
    world = World(settings={**SETTINGS, "classes": classes})
    world.play("c1 send OPEN 1 k1 d=3000,c=feed,t=n\nd1 expect OPEN 1 *")
    ending = Ending(world.service)
    passes(world, lambda: world.clock.now >= 1001.3, 2.0)
    world.play("d1 send UP r1\nc1 expect UP r1\nwait 50\nwait 50\nc1 expect MOVE\nc1 end")
    assert not ending.over
    world.close()
