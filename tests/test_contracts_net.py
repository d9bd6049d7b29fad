"""The contract stage on sockets: what is held is given back however a request ends; pools; reloads."""

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

TEAMS = {
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
POOLS = CONTRACTS.replace(
    "[pools.all]",
    """[pools.all]
match = { kind = "k1" }
[pools.b]
match = { kind = "k2" }""",
).replace('["m"]\npool = "all"', '["m"]\npool = "b"')


def asks(n: int, tenant: str = "n") -> str:
    return f"c{n} send OPEN {n} k{n} d=1200,c=feed,t={tenant},g=g{n}\n"


def up(n: int, tenant: str = "n", at: int | None = None) -> str:
    at = at or n
    return asks(n, tenant) + f"d{at} expect OPEN {n} *\nd{at} send UP r\nc{n} expect UP r\n"


def stage(world: World) -> ContractStage:
    assert world.service.contract_stage is not None
    return world.service.contract_stage


def held(world: World) -> dict[str, float]:
    return {name: team.connection_share.in_use for name, team in stage(world).admission.teams.items()}


def listed(world: World, **kinds: str) -> dict[str, Any]:
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
    one = World(CONTRACTS, settings=TEAMS)
    yield one
    one.close()


@pytest.fixture
def pools() -> Iterator[World]:
    one = World(POOLS, settings=TEAMS)
    one.service.pool_deciders.apply_update(
        one.service.pool.config.apply(listed(one, s_1="k1", s_2="k2"), None)
    )
    yield one
    one.close()


@pytest.mark.parametrize(
    "scenario,reason",
    [
        pytest.param(asks(1) + "d1 expect *\nc1 close\nd1 end\nd1 close", "left", id="leaves while waiting"),
        pytest.param(
            asks(1) + "d1 expect *\nc1 reset\nd1 end\nd1 close", "front-reset", id="resets while waiting"
        ),
        pytest.param(
            asks(1) + "d1 expect *\nd1 close\nd2 expect *\nd2 close\nwait 595\nc1 expect BUSY *\n"
            "c1 end\nc1 close",
            "busy",
            id="every route step fails",
        ),
        pytest.param(
            asks(1) + "d1 expect *\nc1 send M\nc1 expect ERR\nc1 end\nc1 close", "garbled", id="says too much"
        ),
        pytest.param(up(1) + "c1 close\nd1 end\nd1 close", "client-ended", id="client ends"),
        pytest.param(up(1) + "c1 reset\nd1 end\nd1 close", "front-reset", id="client resets"),
        pytest.param(up(1) + "d1 reset\nc1 end\nc1 close", "destination-reset", id="destination resets"),
        pytest.param(
            up(1) + "d1 send BYE\nd1 close\nc1 expect BYE\nc1 end\nc1 close", "destination-ok", id="bye"
        ),
        pytest.param(
            up(1) + "d1 send MOVE\nd1 close\nc1 expect MOVE\nc1 end\nc1 close",
            "destination-cancelled",
            id="moved by its destination",
        ),
        pytest.param(
            up(1) + "d1 raw 'x' * 9000\nc1 expect MOVE\nc1 end\nd1 end\nc1 close",
            "garbled-destination",
            id="destination talks nonsense",
        ),
        pytest.param(
            "c1 send OPEN 1 k d=1200,c=feed,t=n,at=s-1\nd1 expect *\nd1 send UP r\nc1 expect UP r\n"
            "d1 reset\nc1 end\nc1 close",
            "destination-reset",
            id="kept connection",
        ),
        pytest.param(
            "c1 send OPEN 1 k d=1200,c=feed,t=n,at=s-9\nc1 expect ERR\nc1 end\nc1 close",
            "kept-connect_failed",
            id="kept connection that is lost",
        ),
    ],
)
def test_what_is_held_is_given_back_once_however_it_ends(world: World, scenario: str, reason: str) -> None:
    world.play(scenario)
    world.run_until(lambda: not world.service.fronts)
    world.run_turns()
    assert held(world) == {"x": 0, "y": 0} and stage(world).admission.connection_budget.total_in_use == 0
    assert f" {reason} " in world.log_output.getvalue() and "team=x" in world.log_output.getvalue()
    assert not world.loop.open_sockets


def test_what_is_held_is_free_as_soon_as_its_destination_has_ended(world: World) -> None:
    """A client that is slow to close would hold its team's room; a kept connection counts like any other."""
    world.play("c1 send OPEN 1 k d=1200,c=feed,t=n,at=s-1\nd1 expect *\nd1 send UP r\nc1 expect UP r")
    assert held(world) == {"x": 1, "y": 0}
    world.play("d1 send BYE\nd1 close\nc1 expect BYE\nc1 end")
    assert world.service.fronts and held(world) == {"x": 0, "y": 0}


def test_a_fault_in_the_front_gives_back_too(world: World, monkeypatch: pytest.MonkeyPatch) -> None:
    world.play(up(1))
    (front,) = world.service.fronts

    def fault(_: object) -> None:
        raise RuntimeError("on purpose")

    monkeypatch.setattr(front, "on_message", fault)
    world.play("d1 send M\nc1 end\nd1 end")
    assert held(world) == {"x": 0, "y": 0} and "on purpose" in world.log_output.getvalue()


def test_borrowers_are_moved_newest_first_when_the_owner_asks(world: World) -> None:
    world.play("".join(up(n) for n in range(1, 10)))  # six borrowed; one of y's four is the reserve
    world.play(asks(10) + "c10 expect BUSY [1-9]*\nc10 end")
    world.play(up(11, "m", 10) + "wait 60\nc9 expect MOVE\nc9 end\nd9 end\nc8 quiet\nc10 close\nwait 1")
    assert " over-connections " in world.log_output.getvalue()
    world.play("c9 close\nwait 600\n" + asks(12) + "c12 expect BUSY [1-9]*\nc12 end")  # no ping-pong
    assert "reclaimed" in world.log_output.getvalue() and held(world) == {"x": 8, "y": 1}


def test_a_contract_bounds_the_wait_and_names_who_has_none(world: World) -> None:
    world.play(asks(1) + "d1 expect OPEN 1 k1 d=[1-5][0-9][0-9],*\nwait 595\nc1 expect BUSY *\nc1 end")
    world.play(asks(2, "free") + "c2 expect BUSY *\nc2 end\nc2 close\nwait 1")
    assert " no-contract " in world.log_output.getvalue()


def test_a_team_s_requests_go_to_its_pool_only(pools: World) -> None:
    """With every destination of one pool gone its requests are answered at once, the other pool's served."""
    numbers = {name: pools.service.destination_number(name) for name in ("s-1", "s-2")}
    pools.play("".join(up(n, "mn"[n % 2]) for n in range(1, 7)))
    where = {
        (front.request.tenant, front.destination_number) for front in pools.service.fronts if front.request
    }
    assert where == {("n", numbers["s-1"]), ("m", numbers["s-2"])}
    gone = {
        "version": 2,
        "full": False,
        "servers": [World.list_entry("s-2", pools.destination_listener, "terminated")],
    }
    pools.service.pool_deciders.apply_update(pools.service.pool.config.apply(gone))
    pools.play(asks(7, "m") + "c7 expect BUSY *\nc7 end\nc7 close\n" + up(8, "n", 7))
    assert " no-destinations " in pools.log_output.getvalue() and held(pools) == {"x": 4, "y": 3}


def test_a_destination_that_changes_its_kind_changes_pools(pools: World) -> None:
    pools.play(up(1, "m") + up(2, "n"))
    rows = {
        "version": 2,
        "full": False,
        "servers": [
            World.list_entry("s-2", pools.destination_listener, kind="k1"),
            World.list_entry("s-3", pools.destination_listener, kind="k2"),
        ],
    }
    pools.service.pool_deciders.apply_update(pools.service.pool.config.apply(rows))
    for _ in range(6):
        pools.wait(500)
    pools.play("c1 expect MOVE\nc1 end\nc2 quiet\nc1 close\n" + up(3, "m"))
    (third,) = (front for front in pools.service.fronts if front.request and front.request.opening.id == "3")
    assert third.destination_number == pools.service.destination_number("s-3")


def test_reload_under_traffic_takes_a_whole_file_or_nothing(world: World) -> None:
    world.play("".join(up(n) for n in range(1, 5)) + up(5, "m"))
    before = stage(world).contracts
    world.contracts_text = CONTRACTS.replace("connections = 4", "connections = -4", 1)
    world.raw_config["discovery"] = "127.0.0.1:9"
    world.service.reload()
    assert "teams.x.guarantee.connections: expected" in world.log_output.getvalue()
    assert stage(world).contracts is before and world.service.config.discovery != ("127.0.0.1", 9)
    world.contracts_text = CONTRACTS.replace(
        "guarantee = { connections = 4 }", "guarantee = { connections = 1 }\nceiling = { connections = 2 }", 1
    )
    world.service.reload()
    world.service.reload()
    for _ in range(20):
        world.wait(60)
    world.play(
        "c4 expect MOVE\nc3 expect MOVE\nc2 quiet\nc1 quiet\nc5 quiet\nc3 close\nc4 close\n"
        + asks(6)
        + "c6 expect BUSY *\nc6 end"
    )
    assert held(world) == {"x": 2, "y": 1}
    world.contracts_text = world.contracts_text[: world.contracts_text.index("[teams.y]")]
    world.service.reload()
    for _ in range(20):
        world.wait(60)
    world.play("c5 expect MOVE\nc5 end\n" + asks(7, "m") + "c7 expect BUSY *\nc7 end\nc1 send M\nd1 expect M")
    assert held(world) == {"x": 2} and stage(world).admission.connection_budget.total_in_use == 2


def test_reload_that_gives_a_team_another_pool_moves_it_there(pools: World) -> None:
    pools.play(up(1) + up(2, "m"))
    pools.contracts_text = POOLS.replace('pool = "b"', 'pool = "c"').replace("pools.b", "pools.c")
    pools.service.reload()
    for _ in range(30):
        pools.wait(60)
    pools.play(
        "c2 expect MOVE\nc2 end\nc2 close\n" + up(3, "m") + "c1 quiet\n" + asks(4) + "d4 expect OPEN 4 *"
    )
    pools.service.pool_deciders.apply_update(
        pools.service.pool.config.apply(listed(pools, s_1="k1", s_2="k2"))
    )
    pools.run_turns()
    assert set(pools.service.pool_deciders.by_pool) == {"all", "c"} and held(pools) == {"x": 2, "y": 1}


def test_a_drain_goes_on_through_a_reload(tmp_path: Path) -> None:
    """SIGTERM, then SIGHUP with a broken file: all are moved, nothing is reread, the end is orderly."""
    servers, path, file = open_listener(), tmp_path / "config.json", tmp_path / "contracts.toml"
    servers.settimeout(5.0)
    known = {"version": 1, "full": True, "servers": [World.list_entry("s-1", servers)]}
    path.write_text(json.dumps({**GOOD, "settings": TEAMS, "known": known}))
    file.write_text(CONTRACTS)
    with program(path, SNOWWICK_CONTRACTS=str(file)) as process:
        host, port = address_in(process.stderr).split(":")
        client = socket.create_connection((host, int(port)), 5.0)
        client.sendall(b"OPEN 1 k1 d=1200,c=feed,t=n\r\n")
        destination = servers.accept()[0]
        assert destination.recv(4096).startswith(b"OPEN 1 k1 d=")
        destination.sendall(b"UP r\r\n")
        assert client.recv(4096) == b"UP r\r\n"
        file.write_text("version = ")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert client.recv(4096) == b"MOVE\r\n" and client.recv(4096) == b""
        for sock in (client, destination, servers):
            sock.close()
        assert process.wait(10.0) == 0


def test_a_faulty_file_ends_the_start_with_its_key_path(tmp_path: Path) -> None:
    path, file = tmp_path / "config.json", tmp_path / "contracts.toml"
    path.write_text(json.dumps({**GOOD, "settings": TEAMS}))
    file.write_text(CONTRACTS.replace('"m"', '"unheard-of"'))
    with program(path, SNOWWICK_CONTRACTS=str(file)) as process:
        _, said = process.communicate(timeout=20.0)
    assert process.returncode == 2 and said.count("\n") == 1
    assert "teams.y.tenants: the settings have no tenant 'unheard-of'" in said


def test_hangup_signal_rereads_the_contracts_of_the_running_program(tmp_path: Path) -> None:
    path, file = tmp_path / "config.json", tmp_path / "contracts.toml"
    path.write_text(json.dumps({**GOOD, "settings": TEAMS}))
    file.write_text(CONTRACTS)
    with program(path, SNOWWICK_CONTRACTS=str(file)) as process:
        host, port = address_in(process.stderr).split(":")
        assert process.stderr is not None
        log = process.stderr

        def hang_up(text: str) -> str:
            file.write_text(text)
            process.send_signal(signal.SIGHUP)
            return next(line for line in iter(log.readline, "") if "contracts of" in line or "stays" in line)

        assert "contracts of 1 teams" in hang_up(CONTRACTS[: CONTRACTS.index("[teams.y]")])
        assert "fleet.connections: is missing" in hang_up(CONTRACTS.replace("connections = 10", ""))
        with socket.create_connection((host, int(port)), 5.0) as client:
            client.sendall(b"OPEN 1 k1 d=1200,c=feed,t=m\r\n")
            assert client.recv(4096).startswith(b"BUSY ")  # the first file counts still: y has no contract
        process.terminate()
        assert "no-contract" in log.read()
        assert process.wait(10.0) == 0
