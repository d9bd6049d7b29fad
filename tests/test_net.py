"""The network code in scenarios; see wire.py for the language."""

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
from snowwick.net.pool import WatchPool, destination_number
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
    one = World()
    yield one
    one.close()


@pytest.mark.parametrize(
    "scenario",
    [
        pytest.param("c1 send PING\nc1 expect PONG\nc1 send PING\nc1 expect PONG", id="ping"),
        pytest.param("c1 send STATS\nc1 expect NO", id="stats are not for clients"),
        pytest.param("c1 send OPEN x\nc1 expect ERR\nc1 end", id="too few words"),
        pytest.param("c1 send OPEN 1 k d=abc\nc1 expect ERR\nc1 end", id="wait that is no number"),
        pytest.param("c1 send \xff\xfe\nc1 expect ERR\nc1 end", id="not ASCII"),
        pytest.param("c1 raw 'x' * 9000\nc1 expect ERR\nc1 end", id="line without an end in sight"),
        pytest.param("c1 send OPEN 1 k1 d=9,c=feed,t=n,at=s-9\nc1 expect ERR\nc1 end", id="kept at nobody's"),
        pytest.param(
            "c1 send OPEN 1 k1 d=1200,c=feed,t=n,at=s-1\nd1 expect OPEN 1 k1 d=*,c=feed,t=n,at=s-1\n"
            "d1 send UP r\nc1 expect UP r\nd1 send LOAD 5\nc1 expect LOAD 5",
            id="kept connection",
        ),
        pytest.param(
            UP + "c1 send M 1\nd1 expect M 1\nd1 send M 1\nc1 expect M 1", id="lines pass both ways"
        ),
        pytest.param(UP + "d1 send BYE\nd1 close\nc1 expect BYE\nc1 end", id="served to its end"),
        pytest.param(UP + "c1 close\nd1 end", id="client ends"),
        pytest.param(UP + "c1 reset\nd1 end", id="client resets"),
        pytest.param(UP + "d1 reset\nc1 end", id="destination resets"),
        pytest.param(OPEN + "c1 close\nd1 end", id="client leaves before its answer"),
        pytest.param(OPEN + "d1 send LOAD 7\nd1 send UP r\nc1 expect UP r", id="load before up"),
        pytest.param(
            OPEN + "d1 reset\nd2 expect OPEN 1 k1 d=*,c=feed,t=n,g=g1\nd2 send UP r2\nc1 expect UP r2",
            id="reset is tried again",
        ),
        pytest.param(
            OPEN + "wait 610\nd1 end\nd2 expect OPEN 1 k1 d=*\nc1 quiet\nwait 575\n"
            "c1 expect BUSY *\nc1 end\nd2 end",
            id="hung destination: attempt given up, one answer in time",
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
def test_what_no_usual_client_sends_ends_at_the_balancer(world: World, line: str) -> None:
    """Destinations turned such openings away, were tried one after another and seemed to be in trouble."""
    world.play(f"c1 send {line}\nc1 expect ERR\nc1 end")
    assert not world.destination_connections


@pytest.mark.parametrize(
    "scenario",
    [
        pytest.param(
            UP + "c2 send OPEN 1 k2 d=1200,c=feed,t=n\nc2 expect ERR\nc2 end\nc1 quiet\nc1 close\n"
            "d1 end\nd1 close\nc3 send OPEN 1 k2 d=1200,c=feed,t=n\nd2 expect OPEN 1 k2 *",
            id="an id is one client's as long as it is open",
        ),
        pytest.param(OPEN + "c1 send M 1\nc1 expect ERR\nc1 end\nd1 end", id="sent before its answer"),
        pytest.param(
            "c1 raw 'OPEN 1 k1 d=1200,c=feed,t=n\\r\\n' * 300\nc1 expect ERR\nc1 end", id="hundreds at once"
        ),
        pytest.param(
            "c1 raw 'x' * 5_000_000\nc1 expect ERR\nc1 end", id="five million bytes, then the answer"
        ),
        pytest.param(
            "c1 send PING\nc1 expect PONG\nwait 1500\nc1 send PING\nc1 expect PONG\nwait 600\nc1 end",
            id="asking does not keep a front socket",
        ),
        pytest.param(
            "c1 part OPEN 1 k1\nwait 1990\nc1 quiet\nwait 20\nc1 expect ERR\nc1 end", id="half a line"
        ),
    ],
)
def test_bad_client_has_its_answer_in_time(world: World, scenario: str) -> None:
    """Three seconds from connecting are owed, and an answer that a reset overtakes is none."""
    world.play(scenario)
    assert "front-reset" not in world.log_output.getvalue()


def test_clients_that_say_nothing_leave_room_for_those_who_ask() -> None:
    """Connections that never asked once held every descriptor, and usual clients waited for an accept."""
    world = World(limits={"sockets": 64})
    mute = [socket.create_connection(world.service.listener.getsockname()) for _ in range(100)]
    for n in range(1, 13):
        world.play(f"wait 60\nc{n} send OPEN {n} k{n} d=1200,c=feed,t=n")
    for _ in range(20):
        world.wait(60)
    world.play("".join(f"d{n} expect OPEN *\n" for n in range(1, 13)))
    assert world.loop.open_sockets <= 52
    for sock in mute:
        sock.close()
    world.close()


def test_each_connection_that_ends_leaves_one_line(world: World) -> None:
    world.play(UP + "c1 close\nd1 end\nd1 close\nc2 send junk\nc2 expect ERR\nc2 end\nc2 close")
    world.run_until(lambda: not world.service.fronts)
    assert [line.split()[1] for line in world.log_output.getvalue().splitlines()] == [
        "client-ended",
        "garbled",
    ]


def test_silent_destination_loses_its_client_within_seven_seconds(world: World) -> None:
    """A machine that vanished leaves its connections open: they must end even if no decision ends them."""
    world.service.delay_monitor.report = lambda _: None
    world.play(
        UP + "c1 send M 1\nd1 expect M 1\nwait 5400\nc1 quiet\nwait 200\nc1 expect MOVE\nc1 end\nd1 end"
    )


def test_opening_line_passes_on_but_for_its_wait(world: World) -> None:
    """Destinations answer SYNTAX to a line in a form that no client sent, and that voids a run."""
    world.play(
        "c1 send OPEN 9b k=d=7 y=d,d=1200,r=1,c=feed,t=n,x=d=5,h=0.5\n"
        "d1 expect OPEN 9b k=d=7 y=d,d=[0-9]*,r=1,c=feed,t=n,x=d=5,h=0.5"
    )


def test_end_waits_for_no_client_and_leaves_none_without_move(world: World) -> None:
    """A planned restart: all are moved, who still comes is answered, and all is over before SIGKILL."""
    world.play(UP)
    steps = world.service.drain()
    next(steps)
    world.play("c2 send OPEN 2 k2 d=1200,c=feed,t=n\nc2 expect BUSY *\nc2 end\nwait 390")
    steps.send(0)
    world.play("c1 quiet\nwait 610")  # new connections are still dealt out to this balancer
    steps.send(0)
    world.play("c1 expect MOVE\nc1 end\nd1 end")
    world.clock.now += 0.2
    for sock in ("c1", "c2", "d1"):
        world.sockets[sock].close()
        world.closed.add(sock)
    world.run_turns()
    with pytest.raises(StopIteration):
        steps.send(0)


def test_end_moves_one_whose_answer_comes_late(world: World) -> None:
    world.play(OPEN)
    steps = world.service.drain()
    next(steps)
    world.play("wait 500")
    steps.send(0)
    world.play("d1 send UP r1\nc1 expect UP r1")
    steps.send(0)
    world.play("c1 expect MOVE\nc1 end")


def test_descriptors_run_short_and_come_back() -> None:
    """Beyond the limit accept fails: who comes then is told to come again, and the loop does not spin."""
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


def test_who_asks_without_reading_is_read_no_further(world: World) -> None:
    world.play("c1 send PING\nc1 expect PONG")
    (front,) = world.service.fronts
    client = world.sockets.pop("c1")
    for _ in range(3000):
        with contextlib.suppress(BlockingIOError):
            client.send(b"PING\r\n" * 2000)
        world.loop.run_once(0)
    assert len(front.output_buffer) < 200000


def test_step_without_a_descriptor_is_a_failed_connect(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    """The failing socket() once took the client's answer with it."""

    def none_left(*_: object) -> None:
        raise OSError(errno.EMFILE, "too many open files")

    world.play("c1 send PING\nc1 expect PONG")
    monkeypatch.setattr("snowwick.net.destination.configure_socket", none_left)
    world.play("c1 send OPEN 1 k1 d=1200,c=feed,t=n\nwait 1130\nc1 expect BUSY *\nc1 end")


def test_accept_that_fails_neither_spins_nor_ends_the_program() -> None:
    """The listening socket stays readable while accept fails: trying again at once would spin."""
    world = World()
    tries: list[float] = []

    class Failing(socket.socket):
        def accept(self) -> tuple[socket.socket, object]:
            tries.append(world.clock.now)
            raise OSError(errno.EMFILE, "too many open files")

    listening = Failing(fileno=os.dup(world.service.listener.fileno()))
    (acceptor,) = (actor for actor in world.loop.actors if isinstance(actor, Acceptor))
    acceptor.sock = listening
    with socket.create_connection(world.service.listener.getsockname()):
        for _ in range(3):
            world.wait(60)
    world.close()
    listening.close()
    assert 3 <= len(tries) <= 4


def test_fault_in_a_lasting_actor_does_not_end_it(world: World) -> None:
    world.service.decider.post("no message of the decider's")
    world.play(UP)
    assert "fault: Decider" in world.log_output.getvalue()


def test_fault_of_the_module_answers_its_client_at_once_and_keeps_its_timers(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    balancer = world.service.decider.balancer
    with monkeypatch.context() as patched:
        patched.setattr(balancer, "_choose_backend", lambda flow: 1 / 0)
        patched.setattr(balancer, "_move_to_new_backends", lambda: 1 / 0)
        world.play("c1 send OPEN 1 k1 d=1200,c=feed,t=n\nc1 expect ERR\nc1 end")
        world.wait(2000)
    looks = iter(range(9))
    monkeypatch.setattr(balancer, "_move_to_new_backends", lambda: next(looks) and None)
    world.wait(2000)
    assert next(looks) == 1 and not balancer.flows, "the monitor looks on, and nothing is left of the request"


@pytest.mark.parametrize(
    "answer,elapsed", [("d1 send PONG", 7.0), ("d1 send ERR", -1.0), ("d1 close", -1.0), ("wait 300", -1.0)]
)
def test_probe_is_timed_and_closed_whatever_comes_back(world: World, answer: str, elapsed: float) -> None:
    heard: list[object] = []
    decider = world.service.decider
    sockets, told = world.loop.open_sockets, decider.post
    decider.post = lambda message: (  # type: ignore[method-assign]
        heard.append(message) if isinstance(message, ProbeAnswer) else told(message)
    )
    world.service.probe(destination_number("s-1"), decider)
    world.play("d1 expect PING")
    world.clock.now += 0.007
    world.play(answer)
    world.run_until(lambda: heard)
    (probed,) = heard
    assert isinstance(probed, ProbeAnswer) and probed.elapsed_ms == pytest.approx(elapsed, abs=0.01)
    assert world.loop.open_sockets == sockets
    world.service.probe(destination_number("nobody"), decider)  # not in the list: nothing is asked


def test_slow_reader_stops_the_other_side(world: World) -> None:
    """Without a bound, one client that does not read would fill the memory with its destination's lines."""
    world.play(UP)
    (front,) = world.service.fronts
    stream, read = b"".join(b"M %d " % n + b"x" * 4000 + b"\r\n" for n in range(4000)), bytearray()
    left, client, destination = memoryview(stream), world.sockets.pop("c1"), world.sockets["d1"]

    def push() -> None:
        nonlocal left
        with contextlib.suppress(BlockingIOError):
            left = left[destination.send(left) :]
        world.loop.run_once(0)

    for _ in range(400):
        push()
    assert left and len(front.output_buffer) < 200000

    def drained() -> bool:
        push()
        with contextlib.suppress(BlockingIOError):
            read.extend(client.recv(1 << 20))
        return len(read) >= len(stream)

    world.run_until(drained)
    assert bytes(read) == stream


def news(world: World) -> list[PoolUpdate]:
    told: list[PoolUpdate] = []
    world.service.pool.on_update = told.append
    world.service.pool.post(WatchPool())
    return told


@pytest.mark.parametrize("bad", ["fail", "{", "[]", '{"version":9}', '{"version":9,"servers":7}'])
def test_pool_config_is_watched_in_order_and_failures_are_told(world: World, bad: str) -> None:
    told = news(world)
    last = world.list_entry("s-1", world.destination_listener, "terminated")
    gone = json.dumps({"version": 2, "full": False, "servers": [last]})
    back = json.dumps(
        {"version": 3, "full": True, "servers": [world.list_entry("s-2", world.destination_listener)]}
    )
    world.play(f"pool {gone}\npool {back}\npool {bad}")
    assert [one.kind.value for one in told] == ["changes", "full", "failed"]
    assert world.service.pool.config.version == 3
    assert list(world.service.pool.config.addresses) == [destination_number("s-2")]


def test_entry_that_cannot_be_read_does_not_hide_the_others(world: World) -> None:
    """One server in a state unknown here would have failed every call from then on."""
    told = news(world)
    rows = [
        {**world.list_entry("s-3", world.destination_listener), "state": "warming"},
        {"id": "s-4"},
        5,
        world.list_entry("s-5", world.destination_listener),
    ]
    spoilt = json.dumps({"version": 2, "full": False, "servers": rows})
    world.play(f"pool {spoilt}")
    assert [one.kind.value for one in told] == ["failed"] and world.service.pool.config.version == 1
    world.play(f"wait 750\npool {spoilt}")  # the same again: it is meant so
    assert [entry.backend for entry in told[1].entries] == [destination_number("s-5")]
    assert said(world).count("call failed") == 1


def test_call_that_is_never_answered_fails(world: World) -> None:
    told = news(world)
    world.wait(100)
    world.wait(7100)
    assert [one.kind.value for one in told] == ["failed"]


def listing(world: World, version: int, *names: str, full: bool = True) -> str:
    rows = [world.list_entry(name, world.destination_listener) for name in names]
    return json.dumps({"version": version, "full": full, "servers": rows})


@pytest.mark.parametrize("out", [False, True], ids=["between calls", "call out"])
def test_reload_moves_to_the_new_discovery_and_leaves_the_old(world: World, out: bool) -> None:
    """Versions of one discovery mean nothing to another: a watch from the old version would miss changes."""
    told = news(world)
    world.play(UP + "pool " + listing(world, 7, "s-1", "s-2"))
    if out:
        world.take_call("pool")
    world.raw_config["discovery"] = address_of(world.discovery_listeners["pool2"])
    world.service.reload()
    if out:
        late = listing(world, 8, "s-9", full=False).encode()
        world.sockets["pool"].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(late), late))
    world.play("pool2 " + listing(world, 3, "s-2", full=False))
    world.take_call("pool2")
    world.play("c1 send M 1\nd1 expect M 1\nd1 send M 1\nc1 expect M 1")
    assert world.discovery_calls[-2:] == ["pool2 /v1/endpoints", "pool2 /v1/endpoints?after=3&wait_ms=1000"]
    assert [one.kind.value for one in told] == ["full", "full"]
    assert list(world.service.pool.config.addresses) == [destination_number("s-2")]


def test_reload_to_a_discovery_that_fails_asks_it_again_for_the_whole_list(world: World) -> None:
    told = news(world)
    world.play("pool " + listing(world, 7, "s-1", "s-2"))
    world.raw_config["discovery"] = address_of(world.discovery_listeners["pool2"])
    world.service.reload()
    world.service.reload()
    world.play("pool2 fail")
    del world.sockets["pool2"]
    world.service.pool.post(WatchPool())
    world.play("pool2 " + listing(world, 1, "s-2"))
    assert [one.kind.value for one in told] == ["full", "failed", "full"]
    assert world.discovery_calls[1:] == ["pool2 /v1/endpoints"] * 2


def test_reload_with_a_bad_file_names_its_key_and_changes_nothing(world: World) -> None:
    news(world)
    world.raw_config["limits"] = {"sockets": "many"}
    world.raw_config["discovery"] = address_of(world.discovery_listeners["pool2"])
    world.service.reload()
    assert "reload: limits.sockets" in world.log_output.getvalue()
    world.play("pool " + listing(world, 7, "s-1"))
    world.raw_config["limits"] = {"sockets": 77}
    world.service.reload()
    assert "reload: sockets changed, but only at the next start" in world.log_output.getvalue()


def half(world: World, text: str, length: int) -> None:
    """The head of an answer and the beginning of a body that is said to be so long."""
    world.take_call("pool")
    world.sockets["pool"].sendall(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (length, text.encode())
    )
    world.run_turns()


def goes_on(world: World, told: list[PoolUpdate]) -> None:
    """The next call counts, and who stood before the one that failed has noticed nothing."""
    del world.sockets["pool"]
    world.service.pool.post(WatchPool())
    world.play("pool " + listing(world, 2, "s-1") + "\nc1 send M 1\nd1 expect M 1")
    assert [one.kind.value for one in told] == ["failed", "full"]


def test_discovery_that_stalls_in_the_middle_of_an_answer_is_given_up(world: World) -> None:
    """The beginning of a list must not count as one, nor hold the next call back for good."""
    told = news(world)
    world.play(UP)
    half(world, '{"version":9,"full":true,"servers":[', 500)
    world.wait(100)
    world.wait(7000)
    assert [one.kind.value for one in told] == ["failed"] and "TimedOut timed out" in said(world)
    goes_on(world, told)


def said(world: World) -> str:
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
def test_cut_or_spoilt_body_is_a_failed_call_and_the_next_one_counts(world: World, body: str) -> None:
    """A body nested without end ended the watch by a fault: nobody asked discovery again."""
    told = news(world)
    world.play(UP + "pool " + body)
    assert [one.kind.value for one in told] == ["failed"] and "call failed" in said(world)
    goes_on(world, told)


def test_body_shorter_than_it_says_is_a_failed_call(world: World) -> None:
    told = news(world)
    half(world, listing(world, 9, "s-1"), 5000)
    world.close_("pool", "")
    world.run_until(lambda: told)
    assert [one.kind.value for one in told] == ["failed"] and world.service.pool.config.version == 1


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
def test_figure_that_cannot_be_reckoned_with_leaves_its_entry_out(
    world: World, change: dict[str, Any]
) -> None:
    """NaN as a weight made every ranking that held it arbitrary."""
    told = news(world)
    rows = [
        world.list_entry("s-1", world.destination_listener),
        {**world.list_entry("s-2", world.destination_listener), **change},
    ]
    spoilt = json.dumps({"version": 2, "full": True, "servers": rows})
    world.play(f"pool {spoilt}\nwait 750\npool {spoilt}")
    assert [one.kind.value for one in told] == ["failed", "full"] and "entry left out" in said(world)
    entries = {entry.backend: entry for entry in told[1].entries}
    # Who is named but cannot be read stays as it was known: dropped, its clients would be moved for a typo.
    assert entries.keys() == {destination_number("s-1")} | (
        {destination_number("s-2")} if change != {"id": None} else set()
    )
    assert all(entry.weight == 1.0 and entry.started == 0.0 for entry in entries.values())


def test_version_that_comes_again_does_no_harm_and_is_not_asked_for_without_end(world: World) -> None:
    """A discovery that does not hold calls back would have been called as fast as it answers."""
    told = news(world)
    again = listing(world, 7, "s-1", full=False)
    world.play("pool " + listing(world, 7, "s-1", "s-2") + f"\npool {again}")
    assert [one.kind.value for one in told] == ["full", "changes"]
    assert set(world.service.pool.config.addresses) == {destination_number("s-1"), destination_number("s-2")}
    world.run_turns()
    assert not world.received["pool"], "called again at once"
    world.wait(101)
    world.take_call("pool")
    assert world.discovery_calls[-1] == "pool /v1/endpoints?after=7&wait_ms=1000"


def test_discovery_that_goes_back_is_asked_for_its_whole_list_and_that_holds(world: World) -> None:
    """Changes since a version that was never reached would be put upon a list that they do not belong to."""
    told = news(world)
    world.play("pool " + listing(world, 7, "s-1", "s-2") + "\npool " + listing(world, 3, "s-9", full=False))
    assert [one.kind.value for one in told] == ["full"] and "version 3 is older than 7" in said(world)
    world.play("pool " + listing(world, 3, "s-2", "s-3"))
    world.take_call("pool")
    assert world.discovery_calls[-2:] == ["pool /v1/endpoints", "pool /v1/endpoints?after=3&wait_ms=1000"]
    assert set(world.service.pool.config.addresses) == {destination_number("s-2"), destination_number("s-3")}


def test_list_that_names_none_of_the_old_moves_their_clients_if_there_is_another(world: World) -> None:
    """Who is not in a whole list is gone; its clients waited there until they were cut off."""
    world.play(UP + "wait 800")
    world.play("pool " + listing(world, 2) + "\nwait 3000\nc1 quiet")
    world.play("c2 send OPEN 2 k2 d=1200,c=feed,t=n\nwait 1130\nc2 expect BUSY *\nc1 quiet")
    world.play("pool " + listing(world, 3, "s-9"))
    for _ in range(6):
        world.wait(500)
    world.play("c1 expect MOVE\nc1 end\nc3 send OPEN 3 k3 d=1200,c=feed,t=n\nd2 expect OPEN 3 *")


def test_destination_at_another_address_is_sent_to_there_and_its_clients_stay(world: World) -> None:
    old = world.destination_listener
    world.play(UP)
    world.destination_listener = open_listener()
    world.play(
        "wait 800\npool "
        + listing(world, 2, "s-1", "s-2").replace('"id"', '"started_ms": 1000, "id"')
        + "\nc1 send M 1\nd1 expect M 1"
    )
    world.play(
        "c2 send OPEN 2 k2 d=1200,c=feed,t=n\nd2 expect OPEN 2 *\nd2 send UP r\nc2 expect UP r\nc1 quiet"
    )
    old.close()


class Nobody:
    def post(self, message: object) -> None:
        pass


def meters_of_one(count: int) -> tuple[DestinationTiming, list[ConnectionTiming]]:
    answers = DestinationTiming()
    return answers, [ConnectionTiming(Nobody(), 1, answers) for _ in range(count)]


def test_hang_shows_in_the_first_line_that_waits() -> None:
    """Lines answered just before a hang once hid it for a second and more."""
    answers, meters = meters_of_one(9)
    for n, meter in enumerate(meters):
        meter.record_sent(9.0 + 0.05 * n, 1)
        meter.record_reply(9.001 + 0.05 * n)
    found = message_delay(answers, 9.8)
    assert found is not None and round(found[0], 4) == 0.001
    meters[0].record_sent(9.5, 1)
    found = message_delay(answers, 9.8)
    assert found is not None and round(found[0], 4) == 0.3
    meters[1].record_sent(9.6, 1)
    meters[1].record_reply(9.61)  # the destination answers: one connection alone says little of it
    found = message_delay(answers, 9.8)
    assert found is not None and found[0] < 0.02
    assert message_delay(answers, 20.0) is None, "what was answered long ago says nothing"


def test_hang_is_told_within_a_second_unless_most_seem_to_hang() -> None:
    """Clients of one that hung were moved a part a second, though nothing at all came back from it."""
    answers, meters = meters_of_one(2)
    for n, meter in enumerate(meters):
        meter.record_sent(9.0 + n, 1)
    assert is_silent(answers, 10.1) and not is_silent(answers, 9.4)
    meters[0].record_reply(9.9)
    assert not is_silent(answers, 10.2)
    meters[0].record_sent(10.0, 1)
    meters[0].record_sent(10.0, 10**9)
    assert is_silent(answers, 11.6) and len(meters[0].pending) == MAX_PENDING_LINES

    told: list[object] = []
    delay_monitor = Gauge(Loop(clock=lambda: 50.0), told.append, 50.0)
    held = [delay_monitor.add(Nobody(), destination) for destination in (1, 1, 2, 2, 3)]
    for meter in held:
        meter.record_sent(50.0, 1)
    delay_monitor.loop.clock = lambda: 50.6
    delay_monitor.report_silent()
    assert not told  # two of three at once: rather this program was held up
    for meter in held[2:4]:
        meter.record_reply(50.6)
    delay_monitor.report_silent()
    delay_monitor.report_silent()
    assert told == [DestinationSilent(1)]
    for meter in held:
        delay_monitor.remove(meter)
    assert not delay_monitor.timings


def test_look_at_what_stands_and_says_nothing_costs_nothing() -> None:
    """Four looks a second over all connections were a third of a relayed line's cost at 4,000 of them."""
    looked: list[object] = []

    class Counted(deque[float]):
        def __bool__(self) -> bool:
            looked.append(self)
            return len(self) > 0

    delay_monitor = Gauge(Loop(clock=lambda: 50.0), looked.append, 50.0)
    held = [delay_monitor.add(Nobody(), 1) for _ in range(1000)]
    for meter in held:
        meter.pending = Counted()
        meter.record_sent(50.0, 1)
        meter.record_reply(50.001)
    held[0].record_sent(50.1, 1)
    looked.clear()
    delay_monitor.loop.clock = lambda: 50.2
    delay_monitor.report_silent()
    assert 0 < len(looked) <= 2


def test_slow_destination_is_told_once_a_second_and_once_when_it_is_well(world: World) -> None:
    """The wire has no note of a delay: a line that waits must count before it is answered."""
    world.play(UP)
    told: list[object] = []
    world.service.delay_monitor.report = told.append
    world.play(
        "wait 500\nc1 send M 1\nd1 expect M 1\nwait 600\nwait 1000\nd1 send M 1\nc1 expect M 1\n"
        "wait 1000\nc1 send M 2\nd1 expect M 2\nd1 send M 2\nc1 expect M 2\nwait 950\nwait 1000"
    )
    assert [round(m.delay_ms) for m in told if isinstance(m, MessageDelay)] == [600, 1600, 0] and len(
        told
    ) == 3


REPORTS: dict[str, Any] = {
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
def test_load_report_is_read_strictly_and_whatever_else_comes_tells_nothing(
    answer: str, elapsed: float, load: float
) -> None:
    world = World(settings={**SETTINGS, **REPORTS})
    heard: list[ProbeAnswer] = []
    post = world.service.decider.post
    world.service.decider.post = lambda message: (  # type: ignore[method-assign]
        heard.append(message) if isinstance(message, ProbeAnswer) else post(message)
    )
    world.service.probe(destination_number("s-1"), world.service.decider)
    world.play("d1 expect STATS")
    world.clock.now += 0.007
    world.play(answer)
    world.run_until(lambda: heard)
    assert (round(heard[0].elapsed_ms, 3), heard[0].load) == (elapsed, load)
    world.close()


def test_pushed_list_is_called_for_without_being_asked_and_again_soon_while_nothing_comes() -> None:
    """Nobody asked the agent: the balancer lived on what it had known, and sent to one that drained.

    What the agent holds counts as told, so that half of the drain rule's time at most may pass between calls.
    """
    world = World(settings={**SETTINGS, "registryMode": "pushed", "invariants": {"drainGrace": 500.0}})
    world.play("pool " + listing(world, 1, full=False))
    world.wait(101)
    world.play("pool " + listing(world, 1, full=False))
    for _ in range(3):  # the agent says nothing while discovery is down
        world.wait(101)
        world.take_call("pool")
        world.wait(251)
        world.run_until(lambda: "pool" in world.closed)
        del world.sockets["pool"]
    world.wait(126)
    world.play("pool " + listing(world, 2, "s-1"))
    assert len(world.discovery_calls) == 6 and set(world.discovery_calls) == {
        "pool /v1/endpoints?after=1&wait_ms=0"
    }
    assert list(world.service.pool.config.addresses) == [destination_number("s-1")]
    assert world.log_output.getvalue().count("call failed") == 1
    world.close()
