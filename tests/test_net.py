"""Scenario tests of the network code; see wire.py for the scenario language."""

from __future__ import annotations

import contextlib
import errno
import os
import socket
from typing import Any

import pytest
from wire import OPEN, SETTINGS, UP, World

from snowwick.net.decider import LoadReport, ProbeAnswer
from snowwick.net.destination import Destination
from snowwick.net.pool_config import destination_number
from snowwick.net.service import Acceptor


@pytest.mark.parametrize(
    "scenario",
    [
        pytest.param("c1 send PING\nc1 expect PONG\nc1 send PING\nc1 expect PONG", id="ping"),
        pytest.param("c1 send STATS\nc1 expect NO", id="stats are refused to clients"),
        pytest.param("c1 send OPEN x\nc1 expect ERR\nc1 end", id="too few words"),
        pytest.param("c1 send OPEN 1 k d=abc\nc1 expect ERR\nc1 end", id="wait is not a number"),
        pytest.param("c1 send \xff\xfe\nc1 expect ERR\nc1 end", id="not ASCII"),
        pytest.param("c1 raw 'x' * 9000\nc1 expect ERR\nc1 end", id="line too long without an end"),
        pytest.param(
            "c1 send OPEN 1 k1 d=9,c=feed,t=n,at=s-9\nc1 expect ERR\nc1 end",
            id="resumed at an unknown destination",
        ),
        pytest.param(
            "c1 send OPEN 1 k1 d=1200,c=feed,t=n,at=s-1\nd1 expect OPEN 1 k1 d=*,c=feed,t=n,at=s-1\n"
            "d1 send UP r\nc1 expect UP r\nd1 send LOAD 5\nc1 expect LOAD 5",
            id="resumed connection",
        ),
        pytest.param(
            UP + "c1 send M 1\nd1 expect M 1\nd1 send M 1\nc1 expect M 1", id="lines pass both ways"
        ),
        pytest.param(UP + "d1 send BYE\nd1 close\nc1 expect BYE\nc1 end", id="destination ends with bye"),
        pytest.param(UP + "c1 close\nd1 end", id="client ends"),
        pytest.param(UP + "c1 reset\nd1 end", id="client resets"),
        pytest.param(UP + "d1 reset\nc1 end", id="destination resets"),
        pytest.param(OPEN + "c1 close\nd1 end", id="client leaves before its answer"),
        pytest.param(OPEN + "d1 send LOAD 7\nd1 send UP r\nc1 expect UP r", id="load before up"),
        pytest.param(
            OPEN + "d1 reset\nd2 expect OPEN 1 k1 d=*,c=feed,t=n,g=g1\nd2 send UP r2\nc1 expect UP r2",
            id="route step is retried after a reset",
        ),
        pytest.param(
            OPEN + "wait 610\nd1 end\nd2 expect OPEN 1 k1 d=*\nc1 quiet\nwait 575\n"
            "c1 expect BUSY *\nc1 end\nd2 end",
            id="hung destination: route step times out, one answer in time",
        ),
        pytest.param(
            UP + "c1 raw 'x' * 9000\nc1 expect ERR\nc1 end\nd1 end", id="line too long from a client"
        ),
        pytest.param(
            UP + "d1 raw 'x' * 9000\nc1 expect MOVE\nc1 end\nd1 end", id="line too long from a destination"
        ),
    ],
)
def test_scenario(world: World, scenario: str) -> None:
    world.play(scenario)


@pytest.mark.parametrize(
    "line",
    [
        "OPEN 1 k1",
        "OPEN  k1 d=1200,c=feed,t=n",
        "OPEN 1 k1 d=1200,c=feed2,t=n",
        "OPEN 1 k1 d=1200,t=n",
        "OPEN 1 k1 d=1200,c=feed,t=west",
        "OPEN 1 k1 d=1200,c=feed",
        "OPEN 1 k1 c=feed,t=n",
        "OPEN 1 k1 d=-5,c=feed,t=n",
        "OPEN 1 k1 d=999999999,c=feed,t=n",
        "OPEN 1 k1 d=,c=feed,t=n",
        "OPEN 1 k1 d=1200,c=feed,t=n,h=-1",
        "OPEN 1 k1 d=1200,c=feed,t=n,r=yes",
        "OPEN 1 k1 d=1200,d=1200,c=feed,t=n",
        "OPEN 1 k1 d=1200,c=feed,t=n,=4",
        f"OPEN {'9' * 200} k1 d=1200,c=feed,t=n",
        f"OPEN 1 k1 d=1200,c=feed,t=n,g={'9' * 200}",
    ],
)
def test_malformed_opening_is_rejected_by_the_balancer(world: World, line: str) -> None:
    """Forwarded, it would be tried at each destination, and each rejection would count as a failure."""
    world.play(f"c1 send {line}\nc1 expect ERR\nc1 end")
    assert not world.destination_connections


@pytest.mark.parametrize(
    "scenario",
    [
        pytest.param(
            UP + "c2 send OPEN 1 k2 d=1200,c=feed,t=n\nc2 expect ERR\nc2 end\nc1 quiet\nc1 close\n"
            "d1 end\nd1 close\nc3 send OPEN 1 k2 d=1200,c=feed,t=n\nd2 expect OPEN 1 k2 *",
            id="id in use by an open connection",
        ),
        pytest.param(OPEN + "c1 send M 1\nc1 expect ERR\nc1 end\nd1 end", id="input before the answer"),
        pytest.param(
            "c1 raw 'OPEN 1 k1 d=1200,c=feed,t=n\\r\\n' * 300\nc1 expect ERR\nc1 end",
            id="hundreds of openings at once",
        ),
        pytest.param(
            "c1 raw 'x' * 5_000_000\nc1 expect ERR\nc1 end", id="five million bytes, then the answer"
        ),
        pytest.param(
            "c1 send PING\nc1 expect PONG\nwait 1500\nc1 send PING\nc1 expect PONG\nwait 600\nc1 end",
            id="pings do not keep a front socket open",
        ),
        pytest.param(
            "c1 part OPEN 1 k1\nwait 1990\nc1 quiet\nwait 20\nc1 expect ERR\nc1 end", id="incomplete line"
        ),
    ],
)
def test_misbehaving_client_is_answered_in_time(world: World, scenario: str) -> None:
    """Clients must be answered within 3 s of connecting, and not by a reset that discards the answer."""
    world.play(scenario)
    assert "front-reset" not in world.log_output.getvalue()


def test_idle_clients_leave_sockets_for_requests() -> None:
    """Connections without a request must not use up the descriptors, so that others are still accepted."""
    world = World(limits={"sockets": 64})
    idle_clients = [socket.create_connection(world.service.listener.getsockname()) for _ in range(100)]
    for n in range(1, 13):
        world.play(f"wait 60\nc{n} send OPEN {n} k{n} d=1200,c=feed,t=n")
    for _ in range(20):
        world.wait(60)
    world.play("".join(f"d{n} expect OPEN *\n" for n in range(1, 13)))
    assert world.loop.open_sockets <= 52
    for sock in idle_clients:
        sock.close()
    world.close()


def test_each_ended_connection_logs_one_line(world: World) -> None:
    world.play(UP + "c1 close\nd1 end\nd1 close\nc2 send junk\nc2 expect ERR\nc2 end\nc2 close")
    world.run_until(lambda: not world.service.fronts)
    assert [line.split()[1] for line in world.log_output.getvalue().splitlines()] == [
        "client-ended",
        "garbled",
    ]


def test_client_of_a_silent_destination_is_moved_within_seven_seconds(world: World) -> None:
    """A connection to a vanished machine stays open: it must end even if the decider does not move it."""
    world.service.delay_monitor.report = lambda _: None
    world.play(
        UP + "c1 send M 1\nd1 expect M 1\nwait 5400\nc1 quiet\nwait 200\nc1 expect MOVE\nc1 end\nd1 end"
    )


@pytest.mark.parametrize("text", ["a\rb", "\ra\r"])
def test_reply_with_a_carriage_return_in_its_text_answers_one_line(world: World, text: str) -> None:
    """Counted as two replies, it hides an unanswered line: a client of a hung destination is not moved."""
    world.service.delay_monitor.report = lambda _: None
    world.play(UP + "c1 send M 1\nc1 send M 2\nd1 expect M 1\nd1 expect M 2")
    world.send("d1", text)
    world.expect("c1", text)
    world.play("wait 5400\nc1 quiet\nwait 200\nc1 expect MOVE\nc1 end\nd1 end")


def test_opening_line_is_forwarded_with_only_its_wait_changed(world: World) -> None:
    """Destinations answer SYNTAX to an opening line that differs from the client's, which voids a run."""
    world.play(
        "c1 send OPEN 9b k=d=7 y=d,d=1200,r=1,c=feed,t=n,x=d=5,h=0.5\n"
        "d1 expect OPEN 9b k=d=7 y=d,d=[0-9]*,r=1,c=feed,t=n,x=d=5,h=0.5"
    )


@pytest.mark.parametrize(
    "id_and_key",
    [
        pytest.param("1 p=north,d=4,truck-12", id="in the key"),
        pytest.param("1 d=4,truck-12", id="at the start of the key"),
        pytest.param("1,d=4,x truck-12", id="in the id"),
        pytest.param("d=4,x d=5,x", id="at the start of both"),
    ],
)
def test_repeat_of_a_request_is_sent_with_the_clients_id_and_key(id_and_key: str) -> None:
    """Destinations recognise a repeat by its key; under a changed one the request takes effect twice."""
    feed_class = {"name": "feed", "aim": 300.0, "deadline": 1200.0, "keyScope": "all", "memorySpan": 5000.0}
    settings = {**SETTINGS, "classes": [{**feed_class, "effect": "idempotency_key"}]}
    with contextlib.closing(World(settings=settings)) as world:
        world.play(
            f"c1 send OPEN {id_and_key} d=1200,c=feed,t=n,g=g1\n"
            f"d1 expect OPEN {id_and_key} d=1[01][0-9][0-9],c=feed,t=n,g=g1\nd1 reset\n"
            f"d2 expect OPEN {id_and_key} d=1[01][0-9][0-9],c=feed,t=n,g=g1\nd2 send UP r2\nc1 expect UP r2"
        )


def test_resumed_connection_is_sent_with_the_clients_id_and_key(world: World) -> None:
    """A destination finds the connection that it already has by the id and key of its opening line."""
    world.play(
        "c1 send OPEN 1,d=4,x p=north,d=5,x d=1200,c=feed,t=n,at=s-1\n"
        "d1 expect OPEN 1,d=4,x p=north,d=5,x d=1[0-9][0-9][0-9],c=feed,t=n,at=s-1\n"
        "d1 send UP r\nc1 expect UP r"
    )


def test_shutdown_moves_all_clients_without_waiting_for_them(world: World) -> None:
    """On a planned restart all clients are moved, new ones are answered, and it ends before SIGKILL."""
    world.play(UP)
    shutdown = world.service.drain()
    next(shutdown)
    world.play("c2 send OPEN 2 k2 d=1200,c=feed,t=n\nc2 expect BUSY *\nc2 end\nwait 390")
    shutdown.send(0)
    world.play("c1 quiet\nwait 610")  # new connections still arrive at this balancer
    shutdown.send(0)
    world.play("c1 expect MOVE\nc1 end\nd1 end")
    world.clock.now += 0.2
    for sock in ("c1", "c2", "d1"):
        world.sockets[sock].close()
        world.closed.add(sock)
    world.run_turns()
    with pytest.raises(StopIteration):
        shutdown.send(0)


def test_shutdown_moves_a_connection_established_meanwhile(world: World) -> None:
    world.play(OPEN)
    shutdown = world.service.drain()
    next(shutdown)
    world.play("wait 500")
    shutdown.send(0)
    world.play("d1 send UP r1\nc1 expect UP r1")
    shutdown.send(0)
    world.play("c1 expect MOVE\nc1 end")


def test_requests_are_accepted_again_after_a_shortage_of_descriptors() -> None:
    """At the limit, new clients get a busy reply, and the loop does not spin."""
    world = World(limits={"sockets": 64})
    world.play(
        "".join(
            f"c{n} send OPEN {n} k{n} d=1200,c=feed,t=n\nd{n} expect OPEN *\nd{n} send UP r\n"
            f"c{n} expect UP r\n"
            for n in range(1, 23)
        )
    )
    world.play(
        "c23 send OPEN 23 k d=1200,c=feed,t=n\nc23 expect BUSY *\nc23 end\nc23 close\n"
        "c1 close\nd1 end\nd1 close\nwait 600\nc24 send OPEN 24 k d=1200,c=feed,t=n\n"
        "d23 expect OPEN *"
    )
    world.close()


def test_client_that_does_not_read_its_replies_is_not_read(world: World) -> None:
    world.play("c1 send PING\nc1 expect PONG")
    (front,) = world.service.fronts
    client = world.sockets.pop("c1")
    for _ in range(3000):
        with contextlib.suppress(BlockingIOError):
            client.send(b"PING\r\n" * 2000)
        world.loop.run_once(0)
    assert len(front.output_buffer) < 200000


def test_route_step_without_a_descriptor_is_a_failed_connect(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If ``socket()`` fails, the client must still get an answer."""

    def raise_no_descriptors(*_: object) -> None:
        raise OSError(errno.EMFILE, "too many open files")

    world.play("c1 send PING\nc1 expect PONG")
    monkeypatch.setattr("snowwick.net.destination.configure_socket", raise_no_descriptors)
    world.play("c1 send OPEN 1 k1 d=1200,c=feed,t=n\nwait 1130\nc1 expect BUSY *\nc1 end")


def test_failing_accept_neither_spins_nor_ends_the_program() -> None:
    """The listening socket stays readable while accept fails, so an immediate retry would spin."""
    world = World()
    accept_times: list[float] = []

    class Failing(socket.socket):
        def accept(self) -> tuple[socket.socket, object]:
            accept_times.append(world.clock.now)
            raise OSError(errno.EMFILE, "too many open files")

    failing_listener = Failing(fileno=os.dup(world.service.listener.fileno()))
    (acceptor,) = (actor for actor in world.loop.actors if isinstance(actor, Acceptor))
    acceptor.sock = failing_listener
    with socket.create_connection(world.service.listener.getsockname()):
        for _ in range(3):
            world.wait(60)
    world.close()
    failing_listener.close()
    assert 3 <= len(accept_times) <= 4


def test_actor_is_restarted_after_a_fault(world: World) -> None:
    world.service.decider.post("not a message for the decider")
    world.play(UP)
    assert "fault: Decider" in world.log_output.getvalue()


def test_fault_in_the_decision_module_fails_the_request_and_keeps_its_timers(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    balancer = world.service.decider.balancer
    with monkeypatch.context() as patched:
        patched.setattr(balancer, "_choose_backend", lambda flow: 1 / 0)
        patched.setattr(balancer, "_move_to_new_backends", lambda: 1 / 0)
        world.play("c1 send OPEN 1 k1 d=1200,c=feed,t=n\nc1 expect ERR\nc1 end")
        world.wait(2000)
    calls = iter(range(9))
    monkeypatch.setattr(balancer, "_move_to_new_backends", lambda: next(calls) and None)
    world.wait(2000)
    assert next(calls) == 1 and not balancer.flows, (
        "the monitor still runs, and nothing is left of the request"
    )


@pytest.mark.parametrize(
    "answer,elapsed", [("d1 send PONG", 7.0), ("d1 send ERR", -1.0), ("d1 close", -1.0), ("wait 300", -1.0)]
)
def test_probe_is_timed_and_closed_after_any_answer(world: World, answer: str, elapsed: float) -> None:
    probe_answers: list[object] = []
    decider = world.service.decider
    sockets, original_post = world.loop.open_sockets, decider.post
    decider.post = lambda message: (  # type: ignore[method-assign]
        probe_answers.append(message) if isinstance(message, ProbeAnswer) else original_post(message)
    )
    world.service.probe(destination_number("s-1"), decider)
    world.play("d1 expect PING")
    world.clock.now += 0.007
    world.play(answer)
    world.run_until(lambda: probe_answers)
    (probe_answer,) = probe_answers
    assert isinstance(probe_answer, ProbeAnswer) and probe_answer.elapsed_ms == pytest.approx(
        elapsed, abs=0.01
    )
    assert world.loop.open_sockets == sockets
    world.service.probe(destination_number("nobody"), decider)  # not in the list, so nothing is sent


def test_client_that_reads_slowly_pauses_its_destination(world: World) -> None:
    """Without a bound, one client that does not read would fill the memory with its destination's lines."""
    world.play(UP)
    (front,) = world.service.fronts
    stream, received = b"".join(b"M %d " % n + b"x" * 4000 + b"\r\n" for n in range(4000)), bytearray()
    unsent, client, destination = memoryview(stream), world.sockets.pop("c1"), world.sockets["d1"]

    def push() -> None:
        nonlocal unsent
        with contextlib.suppress(BlockingIOError):
            unsent = unsent[destination.send(unsent) :]
        world.loop.run_once(0)

    for _ in range(400):
        push()
    assert unsent and len(front.output_buffer) < 200000

    def all_received() -> bool:
        push()
        with contextlib.suppress(BlockingIOError):
            received.extend(client.recv(1 << 20))
        return len(received) >= len(stream)

    world.run_until(all_received)
    assert bytes(received) == stream


REPORT_SETTINGS: dict[str, Any] = {
    "report": {"how": "on_probe", "fields": ["q", "rate", "x0"]},
    "familyInfo": {"reportX0": "load asked of the server over what it can do"},
}


@pytest.mark.parametrize(
    "answer,elapsed,load",
    [
        ("d1 send PONG queue=2,qps=1.5,x0=0.61", 7.0, 0.61),
        ("d1 send PONG\nd1 send queue=2,x0=0.61", 7.0, 0.61),
        ("d1 send PONG x0=1e-2,other=3", 7.0, 0.01),
        ("d1 send PONG queue=2", 7.0, -1.0),
        ("d1 send PONG x0=-0.5", 7.0, -1.0),
        ("d1 send PONG x0=inf", 7.0, -1.0),
        ("d1 send PONG x0=nan", 7.0, -1.0),
        ("d1 send PONG x0=0.5,x0=0.1", 7.0, -1.0),
        ("d1 send PONG x0=0.5,", 7.0, -1.0),
        ("d1 raw 'PONG x0=0.5,y=' + '1' * 600", 7.0, -1.0),
        ("d1 raw 'PONG ' + 'x' * 9000", -1.0, -1.0),
        ("d1 send PONG\nd1 close", 7.0, -1.0),
        ("d1 send NO", -1.0, -1.0),
        ("d1 send ERR", -1.0, -1.0),
        ("d1 close", -1.0, -1.0),
    ],
)
def test_load_report_is_parsed_strictly(answer: str, elapsed: float, load: float) -> None:
    world = World(settings={**SETTINGS, **REPORT_SETTINGS})
    probe_answers: list[ProbeAnswer] = []
    original_post = world.service.decider.post
    world.service.decider.post = lambda message: (  # type: ignore[method-assign]
        probe_answers.append(message) if isinstance(message, ProbeAnswer) else original_post(message)
    )
    world.service.probe(destination_number("s-1"), world.service.decider)
    world.play("d1 expect STATS")
    world.clock.now += 0.007
    world.play(answer)
    world.run_until(lambda: probe_answers)
    assert (round(probe_answers[0].elapsed_ms, 3), probe_answers[0].load) == (elapsed, load)
    world.close()


def test_many_loads_in_one_read_are_reported_once(world: World) -> None:
    """Guards against a report for each line that a client has its destination echo at full speed."""
    reports: list[object] = []
    world.play(UP)
    world.service.decider.observer = reports.append
    world.put_unread("d1", "\r\n".join(f"LOAD {number}" for number in range(300)) + "\r\nLOAD x\r\nLOADS 7")
    world.run_turns()
    assert [report.load for report in reports if isinstance(report, LoadReport)] == [299.0]


@pytest.mark.parametrize("received_lines", [1, 3, 40])
def test_lines_received_together_are_timed_like_single_ones(world: World, received_lines: int) -> None:
    """The cost of a line is lower where many come together, but not what is known from them."""
    world.play(UP + "c1 send M 1\nd1 expect M 1\n" * 3)
    (destination,) = [actor for actor in world.loop.actors if isinstance(actor, Destination)]
    world.clock.now += 0.25
    world.put_unread("d1", "\r\n".join(["M 1"] * received_lines))
    world.run_turns()
    timing = destination.timing
    assert len(timing.pending) == max(0, 3 - received_lines)
    assert timing.last_delay_s == pytest.approx(0.25)
