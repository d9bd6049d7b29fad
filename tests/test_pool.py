"""Discovery's list: calls, answers of every kind, reloads to another discovery, and what a change does."""

from __future__ import annotations

import json
import math
from typing import Any

import pytest
from wire import SETTINGS, UP, World, address_of, open_listener

from snowwick.net.decider import PoolUpdate
from snowwick.net.pool import WatchPool
from snowwick.net.pool_config import destination_number


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
