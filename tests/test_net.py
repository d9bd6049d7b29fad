"""Scenario tests of the network code; see wire.py for the scenario language."""

from __future__ import annotations

import contextlib
import errno
import json
import math
import os
import socket
from collections import deque
from collections.abc import Iterator
from typing import Any

import pytest
from wire import SETTINGS, World, address_of, open_listener

from snowwick.net.decider import DestinationSilent, MessageDelay, PoolUpdate, ProbeAnswer
from snowwick.net.delay_monitor import (
    MAX_PENDING_LINES,
    ConnectionTiming,
    DestinationTiming,
    Gauge,
    is_silent,
    message_delay,
)
from snowwick.net.loop import Loop
from snowwick.net.pool import WatchPool
from snowwick.net.pool_config import destination_number
from snowwick.net.service import Acceptor

OPEN = """
    c1 send OPEN 1 k1 d=1200,c=feed,t=n,g=g1
    d1 expect OPEN 1 k1 d=*,c=feed,t=n,g=g1
"""
UP = (
    OPEN
    + """
    d1 send UP r1
    c1 expect UP r1
"""
)


@pytest.fixture
def world() -> Iterator[World]:
    scenario_world = World()
    yield scenario_world
    scenario_world.close()


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


def watch_pool(world: World) -> list[PoolUpdate]:
    updates: list[PoolUpdate] = []
    world.service.pool.on_update = updates.append
    world.service.pool.post(WatchPool())
    return updates


@pytest.mark.parametrize("bad_answer", ["fail", "{", "[]", '{"version":9}', '{"version":9,"servers":7}'])
def test_pool_updates_and_failed_calls_are_reported_in_order(world: World, bad_answer: str) -> None:
    updates = watch_pool(world)
    removed_entry = world.list_entry("s-1", world.destination_listener, "terminated")
    removal = json.dumps({"version": 2, "full": False, "servers": [removed_entry]})
    replacement = json.dumps(
        {"version": 3, "full": True, "servers": [world.list_entry("s-2", world.destination_listener)]}
    )
    world.play(f"pool {removal}\npool {replacement}\npool {bad_answer}")
    assert [update.kind.value for update in updates] == ["changes", "full", "failed"]
    assert world.service.pool.config.version == 3
    assert list(world.service.pool.config.addresses) == [destination_number("s-2")]


def test_invalid_entry_does_not_hide_the_others(world: World) -> None:
    """A single server in an unknown state must not make every later call fail."""
    updates = watch_pool(world)
    rows = [
        {**world.list_entry("s-3", world.destination_listener), "state": "warming"},
        {"id": "s-4"},
        5,
        world.list_entry("s-5", world.destination_listener),
    ]
    list_with_bad_entries = json.dumps({"version": 2, "full": False, "servers": rows})
    world.play(f"pool {list_with_bad_entries}")
    assert [update.kind.value for update in updates] == ["failed"] and world.service.pool.config.version == 1
    world.play(
        f"wait 750\npool {list_with_bad_entries}"
    )  # the same list again is accepted without the invalid entries
    assert [entry.backend for entry in updates[1].entries] == [destination_number("s-5")]
    assert log_without_faults(world).count("call failed") == 1


def test_call_without_an_answer_fails(world: World) -> None:
    updates = watch_pool(world)
    world.wait(100)
    world.wait(7100)
    assert [update.kind.value for update in updates] == ["failed"]


def pool_list(world: World, version: int, *names: str, full: bool = True) -> str:
    rows = [world.list_entry(name, world.destination_listener) for name in names]
    return json.dumps({"version": version, "full": full, "servers": rows})


@pytest.mark.parametrize("call_pending", [False, True], ids=["between calls", "call pending"])
def test_reload_switches_to_the_new_discovery(world: World, call_pending: bool) -> None:
    """Versions are not comparable between discoveries: a watch from the old version would miss changes."""
    updates = watch_pool(world)
    world.play(UP + "pool " + pool_list(world, 7, "s-1", "s-2"))
    if call_pending:
        world.take_call("pool")
    world.raw_config["discovery"] = address_of(world.discovery_listeners["pool2"])
    world.service.reload()
    if call_pending:
        late_list = pool_list(world, 8, "s-9", full=False).encode()
        world.sockets["pool"].sendall(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(late_list), late_list)
        )
    world.play("pool2 " + pool_list(world, 3, "s-2", full=False))
    world.take_call("pool2")
    world.play("c1 send M 1\nd1 expect M 1\nd1 send M 1\nc1 expect M 1")
    assert world.discovery_calls[-2:] == ["pool2 /v1/endpoints", "pool2 /v1/endpoints?after=3&wait_ms=1000"]
    assert [update.kind.value for update in updates] == ["full", "full"]
    assert list(world.service.pool.config.addresses) == [destination_number("s-2")]


def test_full_list_is_requested_again_after_a_new_discovery_failed(world: World) -> None:
    updates = watch_pool(world)
    world.play("pool " + pool_list(world, 7, "s-1", "s-2"))
    world.raw_config["discovery"] = address_of(world.discovery_listeners["pool2"])
    world.service.reload()
    world.service.reload()
    world.play("pool2 fail")
    del world.sockets["pool2"]
    world.service.pool.post(WatchPool())
    world.play("pool2 " + pool_list(world, 1, "s-2"))
    assert [update.kind.value for update in updates] == ["full", "failed", "full"]
    assert world.discovery_calls[1:] == ["pool2 /v1/endpoints"] * 2


def test_reload_of_an_invalid_file_names_the_key_and_changes_nothing(world: World) -> None:
    watch_pool(world)
    world.raw_config["limits"] = {"sockets": "many"}
    world.raw_config["discovery"] = address_of(world.discovery_listeners["pool2"])
    world.service.reload()
    assert "reload: limits.sockets" in world.log_output.getvalue()
    world.play("pool " + pool_list(world, 7, "s-1"))
    world.raw_config["limits"] = {"sockets": 77}
    world.service.reload()
    assert "reload: sockets changed, but only at the next start" in world.log_output.getvalue()


def send_partial_answer(world: World, text: str, length: int) -> None:
    """Send the head of an answer with this content length, and only the beginning of the body."""
    world.take_call("pool")
    world.sockets["pool"].sendall(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, text.encode())
    )
    world.run_turns()


def assert_next_call_succeeds(world: World, updates: list[PoolUpdate]) -> None:
    """The call after the failed one succeeds, and established connections are not affected."""
    del world.sockets["pool"]
    world.service.pool.post(WatchPool())
    world.play("pool " + pool_list(world, 2, "s-1") + "\nc1 send M 1\nd1 expect M 1")
    assert [update.kind.value for update in updates] == ["failed", "full"]


def test_stalled_answer_of_discovery_times_out(world: World) -> None:
    """An incomplete list must not be applied, nor block the next call forever."""
    updates = watch_pool(world)
    world.play(UP)
    send_partial_answer(world, '{"version":9,"full":true,"servers":[', 500)
    world.wait(100)
    world.wait(7000)
    assert [update.kind.value for update in updates] == [
        "failed"
    ] and "TimedOut timed out" in log_without_faults(world)
    assert_next_call_succeeds(world, updates)


def log_without_faults(world: World) -> str:
    text = world.log_output.getvalue()
    assert "fault" not in text, text
    return text


@pytest.mark.parametrize(
    "body",
    [
        '{"version":9,"full":true,"servers":[',
        "[" * 100_000,
        '{"version":1e999,"servers":[]}',
        '{"version":9,"full":true,"servers":[]}' * 2,
        "\x00" * 50,
    ],
)
def test_invalid_body_fails_the_call_and_the_next_call_succeeds(world: World, body: str) -> None:
    """A deeply nested body must not end the watch by an exception, so that discovery is called again."""
    updates = watch_pool(world)
    world.play(UP + "pool " + body)
    assert [update.kind.value for update in updates] == ["failed"] and "call failed" in log_without_faults(
        world
    )
    assert_next_call_succeeds(world, updates)


def test_body_shorter_than_its_content_length_fails_the_call(world: World) -> None:
    updates = watch_pool(world)
    send_partial_answer(world, pool_list(world, 9, "s-1"), 5000)
    world.close_("pool", "")
    world.run_until(lambda: updates)
    assert [update.kind.value for update in updates] == ["failed"] and world.service.pool.config.version == 1


@pytest.mark.parametrize(
    "change",
    [
        {"weight": math.nan},
        {"weight": math.inf},
        {"started_ms": -math.inf},
        {"cell": math.inf},
        {"addr": "nowhere"},
        {"id": None},
    ],
)
def test_entry_with_an_invalid_value_is_left_out(world: World, change: dict[str, Any]) -> None:
    """A weight of NaN would make every ranking with that entry arbitrary."""
    updates = watch_pool(world)
    rows = [
        world.list_entry("s-1", world.destination_listener),
        {**world.list_entry("s-2", world.destination_listener), **change},
    ]
    list_with_bad_entries = json.dumps({"version": 2, "full": True, "servers": rows})
    world.play(f"pool {list_with_bad_entries}\nwait 750\npool {list_with_bad_entries}")
    assert [update.kind.value for update in updates] == [
        "failed",
        "full",
    ] and "entry left out" in log_without_faults(world)
    entries = {entry.backend: entry for entry in updates[1].entries}
    # A known destination with an invalid entry stays as it was: otherwise a typo would move its clients.
    assert entries.keys() == {destination_number("s-1")} | (
        {destination_number("s-2")} if change != {"id": None} else set()
    )
    assert all(entry.weight == 1.0 and entry.started == 0.0 for entry in entries.values())


def test_repeated_version_is_harmless_and_does_not_cause_a_busy_loop_of_calls(world: World) -> None:
    """A discovery that answers at once instead of waiting for changes must not be called in a busy loop."""
    updates = watch_pool(world)
    repeated_list = pool_list(world, 7, "s-1", full=False)
    world.play("pool " + pool_list(world, 7, "s-1", "s-2") + f"\npool {repeated_list}")
    assert [update.kind.value for update in updates] == ["full", "changes"]
    assert set(world.service.pool.config.addresses) == {destination_number("s-1"), destination_number("s-2")}
    world.run_turns()
    assert not world.received["pool"], "discovery was called again at once"
    world.wait(101)
    world.take_call("pool")
    assert world.discovery_calls[-1] == "pool /v1/endpoints?after=7&wait_ms=1000"


def test_full_list_is_requested_when_the_version_of_discovery_goes_back(world: World) -> None:
    """Otherwise changes would be applied to a list that they do not belong to."""
    updates = watch_pool(world)
    world.play(
        "pool " + pool_list(world, 7, "s-1", "s-2") + "\npool " + pool_list(world, 3, "s-9", full=False)
    )
    assert [update.kind.value for update in updates] == [
        "full"
    ] and "version 3 is older than 7" in log_without_faults(world)
    world.play("pool " + pool_list(world, 3, "s-2", "s-3"))
    world.take_call("pool")
    assert world.discovery_calls[-2:] == ["pool /v1/endpoints", "pool /v1/endpoints?after=3&wait_ms=1000"]
    assert set(world.service.pool.config.addresses) == {destination_number("s-2"), destination_number("s-3")}


def test_clients_of_unlisted_destinations_are_moved_once_there_is_another(world: World) -> None:
    """A destination missing from a full list is gone; its clients must not stay until disconnected."""
    world.play(UP + "wait 800")
    world.play("pool " + pool_list(world, 2) + "\nwait 3000\nc1 quiet")
    world.play("c2 send OPEN 2 k2 d=1200,c=feed,t=n\nwait 1130\nc2 expect BUSY *\nc1 quiet")
    world.play("pool " + pool_list(world, 3, "s-9"))
    for _ in range(6):
        world.wait(500)
    world.play("c1 expect MOVE\nc1 end\nc3 send OPEN 3 k3 d=1200,c=feed,t=n\nd2 expect OPEN 3 *")


def test_new_address_of_a_destination_is_used_and_its_clients_stay(world: World) -> None:
    old_listener = world.destination_listener
    world.play(UP)
    world.destination_listener = open_listener()
    world.play(
        "wait 800\npool "
        + pool_list(world, 2, "s-1", "s-2").replace('"id"', '"started_ms": 1000, "id"')
        + "\nc1 send M 1\nd1 expect M 1"
    )
    world.play(
        "c2 send OPEN 2 k2 d=1200,c=feed,t=n\nd2 expect OPEN 2 *\nd2 send UP r\nc2 expect UP r\nc1 quiet"
    )
    old_listener.close()


class IgnoringClient:
    def post(self, message: object) -> None:
        pass


def timings_of_one_destination(count: int) -> tuple[DestinationTiming, list[ConnectionTiming]]:
    destination_timing = DestinationTiming()
    return destination_timing, [
        ConnectionTiming(IgnoringClient(), 1, destination_timing) for _ in range(count)
    ]


def test_hang_shows_in_the_first_unanswered_line() -> None:
    """Lines answered just before a hang must not hide it."""
    destination_timing, timings = timings_of_one_destination(9)
    for index, timing in enumerate(timings):
        timing.record_sent(9.0 + 0.05 * index, 1)
        timing.record_reply(9.001 + 0.05 * index)
    delay = message_delay(destination_timing, 9.8)
    assert delay is not None and round(delay[0], 4) == 0.001
    timings[0].record_sent(9.5, 1)
    delay = message_delay(destination_timing, 9.8)
    assert delay is not None and round(delay[0], 4) == 0.3
    timings[1].record_sent(9.6, 1)
    timings[1].record_reply(9.61)  # since the destination answers, one slow connection is not a hang
    delay = message_delay(destination_timing, 9.8)
    assert delay is not None and delay[0] < 0.02
    assert message_delay(destination_timing, 20.0) is None, "old answers do not count"


def test_hang_is_reported_within_a_second_unless_most_destinations_seem_to_hang() -> None:
    """All clients of a hung destination must be moved at once, not a part of them per second."""
    destination_timing, timings = timings_of_one_destination(2)
    for index, timing in enumerate(timings):
        timing.record_sent(9.0 + index, 1)
    assert is_silent(destination_timing, 10.1) and not is_silent(destination_timing, 9.4)
    timings[0].record_reply(9.9)
    assert not is_silent(destination_timing, 10.2)
    timings[0].record_sent(10.0, 1)
    timings[0].record_sent(10.0, 10**9)
    assert is_silent(destination_timing, 11.6) and len(timings[0].pending) == MAX_PENDING_LINES

    reports: list[object] = []
    delay_monitor = Gauge(Loop(clock=lambda: 50.0), reports.append, 50.0)
    monitored = [delay_monitor.add(IgnoringClient(), destination) for destination in (1, 1, 2, 2, 3)]
    for timing in monitored:
        timing.record_sent(50.0, 1)
    delay_monitor.loop.clock = lambda: 50.6
    delay_monitor.report_silent()
    assert not reports  # if two of three seem to hang at once, this program itself was probably delayed
    for timing in monitored[2:4]:
        timing.record_reply(50.6)
    delay_monitor.report_silent()
    delay_monitor.report_silent()
    assert reports == [DestinationSilent(1)]
    for timing in monitored:
        delay_monitor.remove(timing)
    assert not delay_monitor.timings


def test_check_for_hangs_costs_nothing_for_idle_connections() -> None:
    """With 4,000 connections, checking all four times a second was a third of the cost of relaying lines."""
    checked: list[object] = []

    class CountingDeque(deque[float]):
        def __bool__(self) -> bool:
            checked.append(self)
            return len(self) > 0

    delay_monitor = Gauge(Loop(clock=lambda: 50.0), checked.append, 50.0)
    timings = [delay_monitor.add(IgnoringClient(), 1) for _ in range(1000)]
    for timing in timings:
        timing.pending = CountingDeque()
        timing.record_sent(50.0, 1)
        timing.record_reply(50.001)
    timings[0].record_sent(50.1, 1)
    checked.clear()
    delay_monitor.loop.clock = lambda: 50.2
    delay_monitor.report_silent()
    assert 0 < len(checked) <= 2


def test_slow_destination_is_reported_once_a_second_and_once_after_recovery(world: World) -> None:
    """The protocol reports no delays, so an unanswered line must count before its answer arrives."""
    world.play(UP)
    reports: list[object] = []
    world.service.delay_monitor.report = reports.append
    world.play(
        "wait 500\nc1 send M 1\nd1 expect M 1\nwait 600\nwait 1000\nd1 send M 1\nc1 expect M 1\n"
        "wait 1000\nc1 send M 2\nd1 expect M 2\nd1 send M 2\nc1 expect M 2\nwait 950\nwait 1000"
    )
    assert [round(report.delay_ms) for report in reports if isinstance(report, MessageDelay)] == [
        600,
        1600,
        0,
    ] and len(reports) == 3


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


def test_pushed_list_is_polled_without_being_asked_for_and_retried_soon() -> None:
    """An agent that is not called leaves the balancer sending requests to a draining destination.

    The balancer is assumed to have the agent's list: calls may be at most half the drain grace apart.
    """
    world = World(settings={**SETTINGS, "registryMode": "pushed", "invariants": {"drainGrace": 500.0}})
    world.play("pool " + pool_list(world, 1, full=False))
    world.wait(101)
    world.play("pool " + pool_list(world, 1, full=False))
    for _ in range(3):  # the agent does not answer while discovery is down
        world.wait(101)
        world.take_call("pool")
        world.wait(251)
        world.run_until(lambda: "pool" in world.closed)
        del world.sockets["pool"]
    world.wait(126)
    world.play("pool " + pool_list(world, 2, "s-1"))
    assert len(world.discovery_calls) == 6 and set(world.discovery_calls) == {
        "pool /v1/endpoints?after=1&wait_ms=0"
    }
    assert list(world.service.pool.config.addresses) == [destination_number("s-1")]
    assert world.log_output.getvalue().count("call failed") == 1
    world.close()
