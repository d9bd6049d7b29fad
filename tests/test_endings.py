"""Races between the end of a connection and input that arrives at the same time; see docs/endings.md.

Each race is forced: bytes are in a socket before the turn that closes it, arrive after the turn's poll and
before it resumes actors, or arrive just before a socket call. See wire.py for the scenarios and the hooks.
"""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import pytest
from wire import SETTINGS, World

from snowwick.net.decider import MoveAway, RouteStep
from snowwick.net.destination import Destination
from snowwick.net.front import EvictIdle, Front, ShutdownEnding
from snowwick.net.loop import Actor, Coroutine
from snowwick.net.pool_config import destination_number
from snowwick.net.service import SHUTDOWN_GRACE_S, Service

OPEN = "OPEN 1 k1 d=1200,c=feed,t=n,g=g1"
UP = f"c1 send {OPEN}\nd1 expect OPEN 1 *\nd1 send UP r1\nc1 expect UP r1\n"


def front_of(world: World) -> Front:
    (front,) = world.service.fronts
    return front


def route_step_of(world: World) -> Destination:
    (route_step,) = [actor for actor in world.loop.actors if isinstance(actor, Destination)]
    return route_step


def open_idle_connection(world: World, name: str = "c1") -> Front:
    """Connect a client that sends no request."""
    world.play(f"{name} send PING\n{name} expect PONG")
    return front_of(world)


def advance_until(world: World, condition: Callable[[], object], max_s: float) -> float:
    """Advance the clock in steps until a condition holds, at most ``max_s``; returns the seconds it took."""
    started_at = world.clock.now
    while not condition():
        assert world.clock.now < started_at + max_s, "the condition did not hold in time"
        world.wait(50)
    return world.clock.now - started_at


def assert_nothing_left(world: World) -> None:
    """No socket is open, and the decision module has no request and counts no connection."""
    world.run_until(lambda: not world.service.fronts)
    world.run_turns()
    balancer = world.service.decider.balancer
    assert (
        world.loop.open_sockets == 0 and not balancer.flows and not world.service.decider.connection_counts()
    )
    assert "fault" not in world.log_output.getvalue(), world.log_output.getvalue()


# --- idle front sockets, without a request


@pytest.mark.parametrize("trigger", ["time", "room"])
def test_request_pending_in_the_socket_of_an_idle_connection_that_is_being_closed_is_served(
    world: World, trigger: str
) -> None:
    front = open_idle_connection(world)
    world.put_unread("c1", OPEN)
    if trigger == "time":
        world.clock.now += 2.1
    else:
        front.post(EvictIdle())
    world.play("d1 expect OPEN 1 *\nd1 send UP r1\nc1 expect UP r1")


def test_request_between_poll_and_timeout_of_an_idle_connection_is_served(world: World) -> None:
    """The loop has polled the socket before the request arrives, and then the opening timeout passes."""
    open_idle_connection(world)
    world.clock.now += 2.1
    world.call_after_poll(lambda: world.put_unread("c1", OPEN))
    world.play("d1 expect OPEN 1 *")


@pytest.mark.parametrize("trigger", ["time", "room"])
def test_request_during_the_shutdown_of_an_idle_connection_is_never_forwarded(
    world: World, trigger: str
) -> None:
    """Its answer could no longer be sent, so a destination would serve it in vain. No reset occurs either."""
    front = open_idle_connection(world)
    world.call_before(front, "shutdown", lambda: world.put_unread("c1", OPEN))
    if trigger == "time":
        world.clock.now += 2.1
    else:
        front.post(EvictIdle())
    world.play("c1 end\nc1 close")
    assert_nothing_left(world)
    assert not world.destination_connections


def test_client_that_is_evicted_within_its_opening_line_is_answered(world: World) -> None:
    """Guards against an orderly end without an answer when descriptors run out; the rest may still come."""
    world.play("c1 part OPEN 1 k1 d=1200,c=fe\nc1 quiet")
    front_of(world).post(EvictIdle())
    world.play("c1 expect BUSY *\nc1 send ed,t=n\nc1 end\nc1 close")
    assert_nothing_left(world)
    assert not world.destination_connections


def test_silent_clients_are_evicted_before_one_whose_opening_line_has_begun() -> None:
    """Guards against a flood of silent clients that takes the place of a client which is writing its line."""
    world = World(limits={"sockets": 64})
    world.play("c1 part OPEN 1 k1 d=1200,c=fe\nc1 quiet\nwait 60")
    for number in range(2, 120):
        world.part(f"c{number}", "")
        world.clock.now += 0.005
        world.run_turn()
    world.play("wait 60\nc1 quiet\nc1 send ed,t=n\nd1 expect OPEN 1 *\nd1 send UP r1\nc1 expect UP r1")
    assert len(world.closed) > 60  # evicted
    world.close()


def test_idle_connections_of_a_flood_release_their_descriptors() -> None:
    """Connections that the balancer has ended but the client does not close must not use up descriptors."""
    world = World(limits={"sockets": 64})
    for n in range(60):
        idle_client = socket.create_connection(world.service.listener.getsockname())
        idle_client.sendall(b"PING\r\n" * 100)
        world.sockets[f"m{n}"] = idle_client
        idle_client.setblocking(False)
        world.received[f"m{n}"] = bytearray()
    for n in range(1, 9):
        world.play(f"wait 60\nc{n} send OPEN {n} k{n} d=1200,c=feed,t=n")
    for _ in range(20):
        world.wait(60)
    world.play("".join(f"d{n} expect OPEN *\n" for n in range(1, 9)))
    world.close()


# --- requests that wait for their answer


def test_request_of_a_client_that_closes_right_after_it_is_not_forwarded(world: World) -> None:
    with socket.create_connection(world.service.listener.getsockname()) as client:
        client.sendall(OPEN.encode() + b"\r\n")
    world.run_until(lambda: world.log_output.getvalue())
    assert_nothing_left(world)
    assert not world.destination_connections and " left " in world.log_output.getvalue()


def test_extra_input_after_the_opening_in_the_same_turn_is_rejected_before_any_decision(world: World) -> None:
    """The extra input arrives with the second read of the turn; the first returns only the opening line."""
    front = open_idle_connection(world)
    world.put_unread("c1", OPEN)
    world.call_before(front, "recv", lambda: None)
    world.call_before(front, "recv", lambda: None)
    front.sock.pending_actions.append(lambda: world.put_unread("c1", "M 1"))  # type: ignore[attr-defined]
    world.play("c1 expect ERR\nc1 end\nc1 close")
    assert_nothing_left(world)
    assert not world.destination_connections


def queue_request(world: World, monkeypatch: pytest.MonkeyPatch) -> Front:
    """Start a request that stays queued in the decision module."""
    monkeypatch.setattr(world.service.decider.balancer, "_choose_backend", lambda flow: None)
    world.play(f"c1 send {OPEN}\nc1 quiet")
    return front_of(world)


@pytest.mark.parametrize("client_action", ["close", "reset", "close after the poll"])
def test_route_step_in_the_turn_in_which_the_client_leaves_is_not_started(
    world: World, monkeypatch: pytest.MonkeyPatch, client_action: str
) -> None:
    front = queue_request(world, monkeypatch)
    if client_action == "close after the poll":
        world.call_after_poll(lambda: world.close_unread("c1"))
    else:
        world.close_unread("c1", reset=client_action == "reset")
    front.post(RouteStep(destination_number("s-1"), 500.0))
    assert_nothing_left(world)
    assert not world.destination_connections


def test_client_that_leaves_while_the_decider_sends_its_route_step_leaves_nothing_behind(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a module that waits forever for the end of a route step whose front has ended."""
    front, balancer = queue_request(world, monkeypatch), world.service.decider.balancer
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
    assert_nothing_left(world)
    assert not world.destination_connections


def test_failed_route_step_of_a_client_that_left_in_the_same_turn_is_not_retried(world: World) -> None:
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.resume_first(route_step_of(world))
    world.close_unread("d1", reset=True)
    world.close_unread("c1")
    assert_nothing_left(world)
    assert world.destination_connections == 1


@pytest.mark.parametrize("client_action", ["close", "more"])
def test_client_active_while_its_route_step_connects_is_not_forwarded(
    world: World, client_action: str
) -> None:
    """Client and route step are ready in the same turn, and the route step is resumed first."""
    open_idle_connection(world)
    world.put_unread("c1", OPEN)
    while not any(isinstance(actor, Destination) for actor in world.loop.actors):
        world.loop.run_once(0.0)
    if client_action == "close":
        world.close_unread("c1")
    else:
        world.put_unread("c1", "M 1")
    world.resume_first(route_step_of(world))
    if client_action == "more":
        world.play("c1 expect ERR\nc1 end\nc1 close")
    assert_nothing_left(world)
    assert world.destination_connections == 1 and not world.received["d1"] and "d1" in world.closed, (
        "the opening line was written"
    )


def test_client_input_in_the_turn_of_the_up_is_rejected(world: World) -> None:
    """Input that is in the socket before the answer is written was sent before the answer."""
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.resume_first(route_step_of(world))
    world.put_unread("d1", "UP r1")
    world.put_unread("c1", "M 1")
    world.play("c1 expect ERR\nc1 end\nd1 end\nc1 close\nd1 close")
    assert_nothing_left(world)


# --- route steps


@pytest.mark.parametrize("arrival", ["before the poll", "after the poll"])
def test_up_in_the_turn_of_the_timeout_counts(world: World, arrival: str) -> None:
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.clock.now += 0.61  # a route step gets half of the client's wait
    if arrival == "before the poll":
        world.put_unread("d1", "UP r1")
    else:
        world.call_after_poll(lambda: world.put_unread("d1", "UP r1"))
    world.play("c1 expect UP r1\nc1 quiet")
    assert world.destination_connections == 1


def test_up_in_the_turn_of_the_clients_deadline_counts(world: World) -> None:
    """The front is resumed at its deadline before the route step, whose socket has the UP."""
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.put_unread("d1", "UP r1")
    world.service.decider.timers.clear()
    front, ready = front_of(world), world.loop.ready

    def resume_front_first() -> None:
        ready.remove(front)
        ready.appendleft(front)

    world.call_after_poll(resume_front_first)
    world.clock.now += 1.21
    world.play("c1 expect UP r1")


@pytest.mark.parametrize("answer", ["UP", "UP ", "UP r1 ", "UP r\x01", "up r1", "UPr1", "BYE", "MOVE"])
def test_malformed_answer_ends_the_route_step_and_closes_it_before_the_next(
    world: World, answer: str
) -> None:
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    world.put_unread("d1", answer)
    first_step = route_step_of(world)
    closed: list[int] = []
    world.call_before(first_step, "close", lambda: closed.append(world.destination_connections))
    world.run_until(lambda: world.destination_connections == 2)
    assert closed == [1], "the next route step started before this one was closed"
    world.play("d1 end\nc1 quiet\nd2 expect OPEN 1 *\nd2 send UP r2\nc1 expect UP r2")


@pytest.mark.parametrize("end", ["close", "reset"])
def test_incomplete_up_at_the_end_of_the_stream_does_not_count(world: World, end: str) -> None:
    world.play(
        f"c1 send {OPEN}\nd1 expect OPEN 1 *\nd1 part UP r1\nd1 {end}\n"
        "d2 expect OPEN 1 *\nc1 quiet\nd2 send UP r2\nc1 expect UP r2"
    )


def test_overlong_line_ends_the_route_step(world: World) -> None:
    world.play(
        f"c1 send {OPEN}\nd1 expect OPEN 1 *\nd1 raw 'x' * 9000\nd1 end\n"
        "d2 expect OPEN 1 *\nc1 quiet\nd2 send UP r2\nc1 expect UP r2"
    )


def test_endless_lines_before_the_answer_end_with_the_timeout_of_the_route_step(world: World) -> None:
    world.play(f"c1 send {OPEN}\nd1 expect OPEN 1 *")
    for _ in range(6):
        world.play("d1 raw 'LOAD 1\\r\\n' * 300 + 'LOAD 1'\nc1 quiet\nwait 100")
    world.play("wait 10\nd1 end\nd2 expect OPEN 1 *\nd2 send UP r2\nc1 expect UP r2")


@pytest.mark.parametrize(
    "server_output", ["", "M 1", "M 1\r\nM"], ids=["before a line", "after one", "in one"]
)
def test_client_of_a_destination_that_hangs_after_up_is_moved_within_seven_seconds(
    world: World, server_output: str
) -> None:
    world.service.delay_monitor.report = lambda _: None
    world.play(UP + "c1 send M 1\nd1 expect M 1\nc1 send M 2\nd1 expect M 2")
    if server_output:
        world.play(
            f"d1 part {server_output[:-1]}"
            if server_output.endswith("M") and len(server_output) > 1
            else f"d1 send {server_output}"
        )
        world.run_turns()
    world.received["c1"].clear()
    for _ in range(13):
        world.wait(500)
    world.play("c1 expect MOVE\nc1 end\nd1 end")


# --- established connections


def test_client_close_and_destination_reset_in_one_turn_leave_nothing(world: World) -> None:
    world.play(UP)
    world.close_unread("c1")
    world.close_unread("d1", reset=True)
    assert_nothing_left(world)


def test_last_line_of_a_destination_is_relayed_although_a_write_to_it_fails(world: World) -> None:
    """The write fails while a BYE is unread in the socket; the client must not be reset without the BYE."""
    world.play(UP)
    world.put_unread("c1", "M 1")

    def send_bye_and_reset() -> None:
        world.put_unread("d1", "BYE")
        world.close_unread("d1", reset=True)

    world.call_after_poll(send_bye_and_reset)
    world.play("c1 expect BYE")
    world.run_until(lambda: "c1" in world.closed)
    assert_nothing_left(world)


def test_move_is_not_lost_if_the_client_sends_at_the_close_deadline(world: World) -> None:
    """Closing with unread input sends a reset, which may overtake the MOVE."""
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
    assert_nothing_left(world)
    assert closed == [0], "the socket was closed with unread input"
    assert client.recv(100) == b"MOVE\r\n"
    client.close()


def test_move_behind_a_full_buffer_is_written_within_a_second(world: World) -> None:
    """A slow client must not be disconnected while its MOVE is unsent."""
    world.play(UP)
    front, client, server = front_of(world), world.sockets.pop("c1"), world.sockets["d1"]
    line, sent = b"M " + b"x" * 4000 + b"\r\n", 0
    while not front.output_full():
        with contextlib.suppress(BlockingIOError):
            sent += server.send(line[sent % len(line) :])
        world.loop.run_once(0.0)
    front.post(MoveAway("test"))
    world.wait(600)
    received = bytearray()

    def read_available() -> bool:
        with contextlib.suppress(BlockingIOError):
            while data := client.recv(1 << 20):
                received.extend(data)
            return True
        return False

    world.run_until(read_available)
    assert received.endswith(b"\r\nMOVE\r\n") and {len(line) for line in received.split(b"\r\n")[:-2]} == {
        4002
    }
    client.close()


def test_move_is_sent_between_lines_although_a_line_is_incomplete(world: World) -> None:
    world.play(UP + "d1 part M 1\nc1 part M")
    front_of(world).post(MoveAway("test"))
    world.play("c1 expect MOVE\nc1 end\nd1 end")
    world.put_unread("d1", " late")
    world.play("d1 close\nc1 close")
    assert_nothing_left(world)


def test_connection_with_a_fresh_answer_is_not_evicted(world: World) -> None:
    """Connections that were just answered are in the list of idle connections too."""
    world.play(f"c1 send {OPEN} x\nc1 expect ERR")
    front = front_of(world)
    front.post(EvictIdle())
    world.run_turns()
    assert world.service.fronts == {front}
    world.clock.now += 0.06
    front.post(EvictIdle())
    world.run_until(lambda: not world.service.fronts)


# --- shutdown


class Shutdown(Actor):
    """Runs the graceful shutdown, as SIGTERM does."""

    def __init__(self, service: Service) -> None:
        super().__init__(service.loop)
        self.service, self.finished = service, False
        self.start()

    def run(self) -> Coroutine:
        yield from self.service.drain()
        self.finished = True


def test_connection_in_the_backlog_is_answered_before_shutdown(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A shutdown that ends as soon as no front is left would reset the connections in the backlog."""
    monkeypatch.setattr(world.service, "make_room", lambda: False)
    shutdown = Shutdown(world.service)
    world.play("wait 300")
    world.send("c1", "OPEN 2 k2 d=1200,c=feed,t=n")
    advance_until(world, lambda: world.received["c1"], 0.5)
    world.play("c1 expect BUSY *\nc1 end\nc1 close")
    advance_until(world, lambda: shutdown.finished, 1.0)
    assert not world.destination_connections


def test_idle_connection_that_sends_a_request_in_the_turn_of_shutdown_is_answered(world: World) -> None:
    shutdown = Shutdown(world.service)
    front = open_idle_connection(world)
    advance_until(world, lambda: world.clock.now >= 1001.3, 2.0)
    assert not front.mailbox
    front.post(ShutdownEnding())
    world.put_unread("c1", OPEN)
    world.play("c1 expect BUSY *\nc1 end\nc1 close")
    advance_until(world, lambda: shutdown.finished, 1.0)
    assert not world.destination_connections


def test_idle_connection_is_closed_in_order_before_shutdown(world: World) -> None:
    """A connection that ends with the process would be reset, although it may just have sent a request."""
    shutdown = Shutdown(world.service)
    front = open_idle_connection(world)
    world.call_before(front, "shutdown", lambda: world.put_unread("c1", OPEN))
    advance_until(world, lambda: "c1" in world.closed, 1.5)
    assert not shutdown.finished and not world.received["c1"]
    advance_until(world, lambda: shutdown.finished, 1.0)
    assert not world.destination_connections


@pytest.mark.parametrize("deadline", [100.0, 600.0, 1200.0])
@pytest.mark.parametrize("completed_before_end_s", [0.3, 0.2, 0.12, None])
def test_opening_line_in_pieces_is_answered_before_shutdown(
    deadline: float, completed_before_end_s: float | None
) -> None:
    """Guards against an orderly end without an answer for a client that is still writing its line."""
    classes = [{"name": "feed", "aim": 50.0, "deadline": deadline, "effect": "read_like"}]
    world = World(settings={**SETTINGS, "classes": classes})
    end_at = world.clock.now + deadline / 1000.0 + SHUTDOWN_GRACE_S
    shutdown = Shutdown(world.service)
    world.play("c1 part OPEN 1 k1 d=100,c=fe")
    if completed_before_end_s is not None:
        advance_until(world, lambda: world.clock.now >= end_at - completed_before_end_s - 0.001, 3.0)
        world.play("c1 quiet\nc1 send ed,t=n")
        world.run_turns()
        assert b"BUSY" in world.received["c1"]  # at once
    advance_until(world, lambda: shutdown.finished, 3.0)
    world.play("c1 expect BUSY *\nc1 end")
    assert not world.destination_connections
    assert world.clock.now <= end_at + 0.1
    world.close()


def test_opening_line_in_pieces_is_answered_after_a_stall_across_the_end_of_shutdown(world: World) -> None:
    """Guards against a process that is held up in the last steps of its shutdown and then only exits."""
    shutdown = Shutdown(world.service)
    world.play("c1 part OPEN 1 k1 d=100,c=fe")
    advance_until(world, lambda: world.clock.now >= 1001.49, 3.0)
    world.play("c1 quiet")
    world.clock.now += 0.15
    advance_until(world, lambda: shutdown.finished, 0.1)
    world.play("c1 expect BUSY *\nc1 end")


@pytest.mark.parametrize("may_have_run,answer", [(False, "BUSY *"), (True, "ERR")])
def test_pending_request_is_answered_at_shutdown(
    monkeypatch: pytest.MonkeyPatch, may_have_run: bool, answer: str
) -> None:
    """A class deadline may lie after SIGKILL; requests in the waiting buffer must be answered before."""
    classes = [{"name": "feed", "aim": 300.0, "deadline": 9000.0, "effect": "read_like"}]
    world = World(settings={**SETTINGS, "classes": classes})
    if not may_have_run:
        monkeypatch.setattr(world.service.decider.balancer, "_choose_backend", lambda flow: None)
    world.play("c1 send OPEN 1 k1 d=9000,c=feed,t=n\nc1 quiet" + "\nd1 expect OPEN *" * may_have_run)
    shutdown = Shutdown(world.service)
    assert advance_until(world, lambda: world.received["c1"], 3.5) >= 3.0
    assert not shutdown.finished
    world.play(f"c1 expect {answer}\nc1 end\nc1 close")
    advance_until(world, lambda: shutdown.finished, 0.5)
    world.close()


@pytest.mark.parametrize("deadline", [100.0, 300.0, 600.0, 1200.0])
def test_all_connections_are_moved_before_shutdown_however_short_the_deadline(deadline: float) -> None:
    """With short deadlines the shutdown is shorter than the time over which clients are moved."""
    classes = [{"name": "feed", "aim": 50.0, "deadline": deadline, "effect": "read_like"}]
    world = World(settings={**SETTINGS, "classes": classes})
    for n in range(1, 9):
        world.play(
            f"c{n} send OPEN {n} k{n} d={deadline:.0f},c=feed,t=n\nd{n} expect OPEN *\n"
            f"d{n} send UP r\nc{n} expect UP r"
        )
    shutdown = Shutdown(world.service)
    advance_until(world, lambda: shutdown.finished, 2.0)
    for n in range(1, 9):
        world.play(f"c{n} expect MOVE\nc{n} end")
    world.close()


def test_connection_established_in_the_last_turns_of_shutdown_is_moved() -> None:
    """All other connections have been moved long before."""
    classes = [{"name": "feed", "aim": 300.0, "deadline": 3000.0, "effect": "read_like"}]
    world = World(settings={**SETTINGS, "classes": classes})
    world.play("c1 send OPEN 1 k1 d=3000,c=feed,t=n\nd1 expect OPEN 1 *")
    shutdown = Shutdown(world.service)
    advance_until(world, lambda: world.clock.now >= 1001.3, 2.0)
    world.play("d1 send UP r1\nc1 expect UP r1\nwait 50\nwait 50\nc1 expect MOVE\nc1 end")
    assert not shutdown.finished
    world.close()
