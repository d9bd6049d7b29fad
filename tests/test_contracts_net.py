"""The contract stage on sockets: release of leases at each end of a request, pools, and reloads."""

from __future__ import annotations

import json
import signal
import socket
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from test_program import GOOD, address_in, program
from wire import SETTINGS, World, open_listener

from snowwick.net.contracts import ContractStage

SETTINGS_WITH_TENANTS = {
    **SETTINGS,
    "tenants": [{"name": name} for name in ("n", "m", "free")],
    "limits": {**SETTINGS["limits"], "maxRetryAfter": 2000.0},  # type: ignore[dict-item]
}
CONTRACTS = """
version = 1
[fleet]
connections = 10
setups_per_s = 1000.0
reclaim = { within_s = 1.0, reserve = 0.25 }
[pools.all]
[teams.x]
tenants = ["n"]
pool = "all"
guarantee = { connections = 4 }
[teams.x.classes.feed]
max_deadline_ms = 600
[teams.y]
tenants = ["m"]
pool = "all"
guarantee = { connections = 4 }
"""
TWO_POOL_CONTRACTS = CONTRACTS.replace(
    "[pools.all]",
    """[pools.all]
match = { kind = "k1" }
[pools.b]
match = { kind = "k2" }""",
).replace('["m"]\npool = "all"', '["m"]\npool = "b"')


def request(n: int, tenant: str = "n") -> str:
    """The scenario steps by which client ``n`` sends its opening line."""
    return f"c{n} send OPEN {n} k{n} d=1200,c=feed,t={tenant},g=g{n}\n"


def established(n: int, tenant: str = "n", destination: int | None = None) -> str:
    """The scenario steps that establish the connection of client ``n``.

    ``destination`` is the number of the connection to the destination in the scenario, by default ``n``.
    """
    destination = destination or n
    return (
        request(n, tenant) + f"d{destination} expect OPEN {n} *\nd{destination} send UP r\nc{n} expect UP r\n"
    )


def contract_stage(world: World) -> ContractStage:
    assert world.service.contract_stage is not None
    return world.service.contract_stage


def connections_in_use(world: World) -> dict[str, float]:
    """The number of leased connections by team."""
    return {
        name: team.connection_share.in_use for name, team in contract_stage(world).admission.teams.items()
    }


def list_message(world: World, **kinds: str) -> dict[str, Any]:
    return {
        "version": 1,
        "full": True,
        "servers": [
            World.list_entry(name.replace("_", "-"), world.destination_listener, kind=kind)
            for name, kind in kinds.items()
        ],
    }


@pytest.fixture
def world() -> Iterator[World]:
    world = World(CONTRACTS, settings=SETTINGS_WITH_TENANTS)
    yield world
    world.close()


@pytest.fixture
def world_with_pools() -> Iterator[World]:
    world = World(TWO_POOL_CONTRACTS, settings=SETTINGS_WITH_TENANTS)
    world.service.pool_deciders.apply_update(
        world.service.pool.config.apply(list_message(world, s_1="k1", s_2="k2"), None)
    )
    yield world
    world.close()


@pytest.mark.parametrize(
    "scenario,reason",
    [
        pytest.param(
            request(1) + "d1 expect *\nc1 close\nd1 end\nd1 close", "left", id="leaves while waiting"
        ),
        pytest.param(
            request(1) + "d1 expect *\nc1 reset\nd1 end\nd1 close", "front-reset", id="resets while waiting"
        ),
        pytest.param(
            request(1) + "d1 expect *\nd1 close\nd2 expect *\nd2 close\nwait 595\nc1 expect BUSY *\n"
            "c1 end\nc1 close",
            "busy",
            id="every route step fails",
        ),
        pytest.param(
            request(1) + "d1 expect *\nc1 send M\nc1 expect ERR\nc1 end\nc1 close",
            "garbled",
            id="client sends before its answer",
        ),
        pytest.param(established(1) + "c1 close\nd1 end\nd1 close", "client-ended", id="client ends"),
        pytest.param(established(1) + "c1 reset\nd1 end\nd1 close", "front-reset", id="client resets"),
        pytest.param(
            established(1) + "d1 reset\nc1 end\nc1 close", "destination-reset", id="destination resets"
        ),
        pytest.param(
            established(1) + "d1 send BYE\nd1 close\nc1 expect BYE\nc1 end\nc1 close",
            "destination-ok",
            id="destination sends BYE",
        ),
        pytest.param(
            established(1) + "d1 send MOVE\nd1 close\nc1 expect MOVE\nc1 end\nc1 close",
            "destination-cancelled",
            id="moved by its destination",
        ),
        pytest.param(
            established(1) + "d1 raw 'x' * 9000\nc1 expect MOVE\nc1 end\nd1 end\nc1 close",
            "garbled-destination",
            id="destination sends malformed line",
        ),
        pytest.param(
            "c1 send OPEN 1 k d=1200,c=feed,t=n,at=s-1\nd1 expect *\nd1 send UP r\nc1 expect UP r\n"
            "d1 reset\nc1 end\nc1 close",
            "destination-reset",
            id="resumed connection",
        ),
        pytest.param(
            "c1 send OPEN 1 k d=1200,c=feed,t=n,at=s-9\nc1 expect ERR\nc1 end\nc1 close",
            "kept-connect_failed",
            id="resumed connection that fails",
        ),
    ],
)
def test_lease_is_released_once_however_a_connection_ends(world: World, scenario: str, reason: str) -> None:
    world.play(scenario)
    world.run_until(lambda: not world.service.fronts)
    world.run_turns()
    assert (
        connections_in_use(world) == {"x": 0, "y": 0}
        and contract_stage(world).admission.connection_budget.total_in_use == 0
    )
    assert f" {reason} " in world.log_output.getvalue() and "team=x" in world.log_output.getvalue()
    assert not world.loop.open_sockets


def test_lease_is_released_when_the_destination_ends_the_connection(world: World) -> None:
    """A client that is slow to close must not use up its team's limit; this client resumes a connection."""
    world.play("c1 send OPEN 1 k d=1200,c=feed,t=n,at=s-1\nd1 expect *\nd1 send UP r\nc1 expect UP r")
    assert connections_in_use(world) == {"x": 1, "y": 0}
    world.play("d1 send BYE\nd1 close\nc1 expect BYE\nc1 end")
    assert world.service.fronts and connections_in_use(world) == {"x": 0, "y": 0}


def test_fault_in_the_front_releases_the_lease(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    world.play(established(1))
    (front,) = world.service.fronts

    def fault(_: object) -> None:
        raise RuntimeError("on purpose")

    monkeypatch.setattr(front, "on_message", fault)
    world.play("d1 send M\nc1 end\nd1 end")
    assert connections_in_use(world) == {"x": 0, "y": 0} and "on purpose" in world.log_output.getvalue()


def test_borrowed_connections_are_reclaimed_newest_first_when_the_owner_needs_them(world: World) -> None:
    # Team x borrows five connections; one of y's guarantee of four is the lending reserve.
    world.play("".join(established(n) for n in range(1, 10)))
    world.play(request(10) + "c10 expect BUSY [1-9]*\nc10 end")
    world.play(
        established(11, "m", 10) + "wait 60\nc9 expect MOVE\nc9 end\nd9 end\nc8 quiet\nc10 close\nwait 1"
    )
    assert " over-connections " in world.log_output.getvalue()
    # The freed connection is not lent again at once.
    world.play("c9 close\nwait 600\n" + request(12) + "c12 expect BUSY [1-9]*\nc12 end")
    assert "reclaimed" in world.log_output.getvalue() and connections_in_use(world) == {"x": 8, "y": 1}


def test_contract_limits_the_wait_and_a_tenant_without_one_is_refused(world: World) -> None:
    world.play(request(1) + "d1 expect OPEN 1 k1 d=[1-5][0-9][0-9],*\nwait 595\nc1 expect BUSY *\nc1 end")
    world.play(request(2, "free") + "c2 expect BUSY *\nc2 end\nc2 close\nwait 1")
    assert " no-contract " in world.log_output.getvalue()


def test_requests_of_a_team_go_to_its_pool_only(world_with_pools: World) -> None:
    """If a pool has no destination left, its requests are refused at once; the other pool serves its own."""
    numbers = {name: world_with_pools.service.destination_number(name) for name in ("s-1", "s-2")}
    world_with_pools.play("".join(established(n, "mn"[n % 2]) for n in range(1, 7)))
    destinations = {
        (front.request.tenant, front.last_destination)
        for front in world_with_pools.service.fronts
        if front.request
    }
    assert destinations == {("n", numbers["s-1"]), ("m", numbers["s-2"])}
    update_without_second = {
        "version": 2,
        "full": False,
        "servers": [World.list_entry("s-2", world_with_pools.destination_listener, "terminated")],
    }
    world_with_pools.service.pool_deciders.apply_update(
        world_with_pools.service.pool.config.apply(update_without_second)
    )
    world_with_pools.play(request(7, "m") + "c7 expect BUSY *\nc7 end\nc7 close\n" + established(8, "n", 7))
    assert " no-destinations " in world_with_pools.log_output.getvalue() and connections_in_use(
        world_with_pools
    ) == {"x": 4, "y": 3}


def test_destination_that_changes_its_kind_changes_its_pool(world_with_pools: World) -> None:
    world_with_pools.play(established(1, "m") + established(2, "n"))
    kind_change = {
        "version": 2,
        "full": False,
        "servers": [
            World.list_entry("s-2", world_with_pools.destination_listener, kind="k1"),
            World.list_entry("s-3", world_with_pools.destination_listener, kind="k2"),
        ],
    }
    world_with_pools.service.pool_deciders.apply_update(
        world_with_pools.service.pool.config.apply(kind_change)
    )
    for _ in range(6):
        world_with_pools.wait(500)
    world_with_pools.play("c1 expect MOVE\nc1 end\nc2 quiet\nc1 close\n" + established(3, "m"))
    (third_front,) = (
        front
        for front in world_with_pools.service.fronts
        if front.request and front.request.opening.id == "3"
    )
    assert third_front.last_destination == world_with_pools.service.destination_number("s-3")


def test_reload_under_traffic_applies_the_whole_file_or_nothing(world: World) -> None:
    world.play("".join(established(n) for n in range(1, 5)) + established(5, "m"))
    contracts_before = contract_stage(world).contracts
    world.contracts_text = CONTRACTS.replace("connections = 4", "connections = -4", 1)
    world.raw_config["discovery"] = "127.0.0.1:9"
    world.service.reload()
    assert "teams.x.guarantee.connections: expected" in world.log_output.getvalue()
    assert contract_stage(world).contracts is contracts_before and world.service.config.discovery != (
        "127.0.0.1",
        9,
    )
    world.contracts_text = CONTRACTS.replace(
        "guarantee = { connections = 4 }", "guarantee = { connections = 1 }\nceiling = { connections = 2 }", 1
    )
    world.service.reload()
    world.service.reload()
    for _ in range(20):
        world.wait(60)
    world.play(
        "c4 expect MOVE\nc3 expect MOVE\nc2 quiet\nc1 quiet\nc5 quiet\nc3 close\nc4 close\n"
        + request(6)
        + "c6 expect BUSY *\nc6 end"
    )
    assert connections_in_use(world) == {"x": 2, "y": 1}
    world.contracts_text = world.contracts_text[: world.contracts_text.index("[teams.y]")]
    world.service.reload()
    for _ in range(20):
        world.wait(60)
    world.play(
        "c5 expect MOVE\nc5 end\n" + request(7, "m") + "c7 expect BUSY *\nc7 end\nc1 send M\nd1 expect M"
    )
    assert (
        connections_in_use(world) == {"x": 2}
        and contract_stage(world).admission.connection_budget.total_in_use == 2
    )


def test_reload_that_assigns_a_team_to_another_pool_moves_its_connections(world_with_pools: World) -> None:
    world_with_pools.play(established(1) + established(2, "m"))
    world_with_pools.contracts_text = TWO_POOL_CONTRACTS.replace('pool = "b"', 'pool = "c"').replace(
        "pools.b", "pools.c"
    )
    world_with_pools.service.reload()
    for _ in range(30):
        world_with_pools.wait(60)
    world_with_pools.play(
        "c2 expect MOVE\nc2 end\nc2 close\n"
        + established(3, "m")
        + "c1 quiet\n"
        + request(4)
        + "d4 expect OPEN 4 *"
    )
    world_with_pools.service.pool_deciders.apply_update(
        world_with_pools.service.pool.config.apply(list_message(world_with_pools, s_1="k1", s_2="k2"))
    )
    world_with_pools.run_turns()
    assert set(world_with_pools.service.pool_deciders.by_pool) == {"all", "c"} and connections_in_use(
        world_with_pools
    ) == {"x": 2, "y": 1}


def test_drain_continues_through_a_reload(tmp_path: Path) -> None:
    """A SIGHUP after SIGTERM, with a malformed file, reloads nothing, and the process exits normally."""
    destination_listener, config_path, contracts_path = (
        open_listener(),
        tmp_path / "config.json",
        tmp_path / "contracts.toml",
    )
    destination_listener.settimeout(5.0)
    known_list = {"version": 1, "full": True, "servers": [World.list_entry("s-1", destination_listener)]}
    config_path.write_text(json.dumps({**GOOD, "settings": SETTINGS_WITH_TENANTS, "known": known_list}))
    contracts_path.write_text(CONTRACTS)
    with program(config_path, SNOWWICK_CONTRACTS=str(contracts_path)) as process:
        host, port = address_in(process.stderr).split(":")
        client = socket.create_connection((host, int(port)), 5.0)
        client.sendall(b"OPEN 1 k1 d=1200,c=feed,t=n\r\n")
        destination = destination_listener.accept()[0]
        assert destination.recv(4096).startswith(b"OPEN 1 k1 d=")
        destination.sendall(b"UP r\r\n")
        assert client.recv(4096) == b"UP r\r\n"
        contracts_path.write_text("version = ")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert client.recv(4096) == b"MOVE\r\n" and client.recv(4096) == b""
        for sock in (client, destination, destination_listener):
            sock.close()
        assert process.wait(10.0) == 0


def test_faulty_contracts_file_ends_the_start_and_names_its_key_path(tmp_path: Path) -> None:
    config_path = tmp_path / "config.json"
    contracts_path = tmp_path / "contracts.toml"
    config_path.write_text(json.dumps({**GOOD, "settings": SETTINGS_WITH_TENANTS}))
    contracts_path.write_text(CONTRACTS.replace('"m"', '"unheard-of"'))
    with program(config_path, SNOWWICK_CONTRACTS=str(contracts_path)) as process:
        _, stderr = process.communicate(timeout=20.0)
    assert process.returncode == 2 and stderr.count("\n") == 1
    assert "teams.y.tenants: the settings have no tenant 'unheard-of'" in stderr


def test_hangup_signal_reloads_the_contracts_of_the_running_process(tmp_path: Path) -> None:
    config_path = tmp_path / "config.json"
    contracts_path = tmp_path / "contracts.toml"
    config_path.write_text(json.dumps({**GOOD, "settings": SETTINGS_WITH_TENANTS}))
    contracts_path.write_text(CONTRACTS)
    with program(config_path, SNOWWICK_CONTRACTS=str(contracts_path)) as process:
        host, port = address_in(process.stderr).split(":")
        assert process.stderr is not None
        log = process.stderr

        def reload_with(text: str) -> str:
            contracts_path.write_text(text)
            process.send_signal(signal.SIGHUP)
            return next(line for line in iter(log.readline, "") if "contracts of" in line or "stays" in line)

        assert "contracts of 1 teams" in reload_with(CONTRACTS[: CONTRACTS.index("[teams.y]")])
        assert "fleet.connections: is missing" in reload_with(CONTRACTS.replace("connections = 10", ""))
        with socket.create_connection((host, int(port)), 5.0) as client:
            client.sendall(b"OPEN 1 k1 d=1200,c=feed,t=m\r\n")
            # The first reload is still in force: team y has no contract.
            assert client.recv(4096).startswith(b"BUSY ")
        process.terminate()
        assert "no-contract" in log.read()
        assert process.wait(10.0) == 0
