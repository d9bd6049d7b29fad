"""The contracts file: faults with their key paths, and balancers' parts that sum to the contract."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crowgap.interface import BackendEntry, ListKind, ListUpdate, State
from snowwick.broker.contract import BadContracts, balancer_limits, explain, parse
from snowwick.broker.fair import Claim, max_min_shares, round_robin_count
from snowwick.broker.pools import Labels, Match, PoolAssignment

VALID = """
version = 1
[fleet]
connections = 100
setups_per_s = 50.0
[pools.a]
match = { kind = ["k1"] }
[pools.b]
match = { kind = "k2" }
[teams.x]
tenants = ["t1", "t2"]
pool = "a"
guarantee = { connections = 40, setups_per_s = 10.0 }
ceiling = { connections = 80 }
[teams.x.classes.feed]
max_deadline_ms = 900
share = 0.5
[teams.y]
tenants = ["t3"]
pool = "b"
weight = 3
guarantee = { connections = 50 }
"""


@pytest.mark.parametrize(
    "old,new,fault",
    [
        ("version = 1", "version = 2", "version: must be 1"),
        ("version = 1", "", "version: is missing"),
        ("version = 1", "version = ", "not TOML"),
        ("connections = 100", "conections = 100", "fleet.conections: unknown key"),
        ("connections = 100", "", "fleet.connections: is missing"),
        ("connections = 40", "connections = -1", "teams.x.guarantee.connections: expected"),
        ("connections = 40", "connections = 1.5", "teams.x.guarantee.connections: expected"),
        ("setups_per_s = 10.0", "setups_per_s = nan", "teams.x.guarantee.setups_per_s: must be a finite"),
        ("setups_per_s = 50.0", "setups_per_s = inf", "fleet.setups_per_s: must be a finite"),
        ("share = 0.5", "share = 1.5", "teams.x.classes.feed.share: expected"),
        ("share = 0.5", "shard = 0.5", "teams.x.classes.feed.shard: unknown key"),
        ('["t3"]', '["t2"]', "teams.y.tenants: 't2' is in teams.x already"),
        ('["t3"]', '["t9"]', "teams.y.tenants: the settings have no tenant 't9'"),
        ('["t3"]', "[]", "teams.y.tenants: expected"),
        ('["t3"]', '["t3", 7]', "teams.y.tenants.*: expected"),
        (
            "connections = 50",
            "connections = 61",
            "fleet.connections: the guarantees add up to 101, which exceeds 100",
        ),
        ("connections = 80", "connections = 39", "teams.x.ceiling.connections: 39 is under the guarantee"),
        ("connections = 80", "load = 5.0", "teams.x.ceiling.load: needs fleet.load"),
        ('kind = "k2"', 'kind = ["k1", "k3"]', "pools.b.match: overlaps with pools.a"),
        ('kind = "k2"', 'zone = ["z"]', "pools.b.match: overlaps with pools.a"),
        ('kind = "k2"', 'colour = "k2"', "pools.b.match.colour: unknown key"),
        ('kind = "k2"', "kind = []", "pools.b.match.kind: must be a name"),
        ('pool = "b"', 'pool = "c"', "teams.y.pool: no pool is named 'c'"),
        ('pool = "b"', 'pool = "a"', "pools.b: no team uses it"),
        ("classes.feed", "classes.food", "teams.x.classes.food: the settings have no such class"),
        ("[teams.y]", "[groups.z]\n[teams.y]", "groups: unknown key"),
        ("weight = 3", "weight = 0", "teams.y.weight: expected"),
    ],
)
def test_every_fault_is_reported_with_its_key_path(old: str, new: str, fault: str) -> None:
    assert parse(VALID, ["feed"], ["t1", "t2", "t3"]).tenants == {"t1": "x", "t2": "x", "t3": "y"}
    assert old in VALID
    with pytest.raises(BadContracts) as caught:
        parse(VALID.replace(old, new, 1), ["feed"], ["t1", "t2", "t3"])
    start, _, rest = fault.partition("*")  # "*" stands for any text in the middle of the line
    assert any(line.startswith(start) and rest in line for line in caught.value.faults), caught.value.faults


def test_team_with_the_name_of_the_fleets_budgets_is_a_fault() -> None:
    """Accepted, such a team's ceiling would replace the limit of all teams together."""
    text = VALID.replace("teams.x", "teams.fleet")
    with pytest.raises(BadContracts) as caught:
        parse(text, ["feed"], ["t1", "t2", "t3"])
    assert [line.split(":")[0] for line in caught.value.faults] == ["teams.fleet"]
    # Any other name leaves the limit as it is, also one that only holds the reserved name
    for name in ("x", "fleets", "fleet.connections", "a.fleet"):
        limits = balancer_limits(parse(VALID.replace("teams.x", f'teams."{name}"')), 1, 0)
        assert (limits.connections, limits.setups_per_s) == (100, 50.0)


def test_all_faults_are_reported_together() -> None:
    with pytest.raises(BadContracts) as caught:
        parse(VALID.replace("share = 0.5", "share = 7.0").replace("weight = 3", "weight = -3"))
    assert [line.split(":")[0] for line in caught.value.faults] == [
        "teams.x.classes.feed.share",
        "teams.y.weight",
    ]


@given(st.lists(st.integers(0, 50), min_size=1, max_size=6), st.integers(1, 7), st.integers(0, 60))
def test_round_robin_counts_sum_exactly_and_never_exceed_the_balancer_s_part(
    counts: list[int], balancers: int, unassigned: int
) -> None:
    total = sum(counts) + unassigned
    for index in range(balancers):
        first_unit = 0
        balancer_part = 0
        for count in counts:
            balancer_part += round_robin_count(first_unit, count, balancers, index)
            first_unit += count
        assert balancer_part <= round_robin_count(0, total, balancers, index)
    first_unit = 0
    for count in counts:
        assert sum(round_robin_count(first_unit, count, balancers, n) for n in range(balancers)) == count
        first_unit += count


@given(
    st.integers(0, 400),
    st.lists(
        st.tuples(st.integers(0, 40), st.integers(0, 80), st.integers(1, 5), st.integers(0, 200)),
        min_size=1,
        max_size=6,
    ),
)
def test_max_min_shares_give_guarantees_first_and_the_rest_by_weight(
    not_guaranteed: int, rows: list[tuple[int, int, int, int]]
) -> None:
    claims = [
        Claim(guarantee, guarantee + ceiling_margin, weight, demand)
        for guarantee, ceiling_margin, weight, demand in rows
    ]
    total = sum(claim.guarantee for claim in claims) + not_guaranteed
    shares = max_min_shares(total, claims)
    assert sum(shares) <= total + 1e-6
    for claim, share in zip(claims, shares, strict=True):
        assert min(claim.guarantee, claim.demand) - 1e-6 <= share <= min(claim.ceiling, claim.demand) + 1e-6
    unsatisfied = [n for n, claim in enumerate(claims) if shares[n] < min(claim.ceiling, claim.demand) - 1e-6]
    if unsatisfied:
        assert sum(shares) >= total - 1e-6  # nothing is left over if a claim is not satisfied
    # No claim gets more beyond its guarantee, in proportion to its weight, than an unsatisfied one.
    for n in unsatisfied:
        for claim, share in zip(claims, shares, strict=True):
            extra = max(0.0, share - claim.guarantee) / claim.weight
            assert extra <= (shares[n] - claims[n].guarantee) / claims[n].weight + 1e-6


@pytest.mark.parametrize("balancers", [1, 2, 3])
def test_the_parts_of_all_balancers_sum_to_the_contract(balancers: int) -> None:
    contracts = parse(VALID)
    parts = [balancer_limits(contracts, balancers, n) for n in range(balancers)]
    assert sum(part.connections for part in parts) == 100
    assert sum(part.teams["x"].connections[0] for part in parts) == 40
    assert sum(part.teams["x"].connections[1] for part in parts) == 80
    assert abs(sum(part.teams["x"].setups_per_s[0] for part in parts) - 10.0) < 1e-9
    for part in parts:
        assert sum(team.connections[0] for team in part.teams.values()) <= part.connections
        assert all(
            guarantee <= ceiling for guarantee, ceiling in (team.connections for team in part.teams.values())
        )
    rows = {row["team"]: row for row in explain(contracts, balancers)}
    assert rows["x"]["connections"][0] == parts[0].teams["x"].connections[0]
    if balancers == 1:  # ten connections are not guaranteed, and x and y share them by weight, 1 to 3
        assert rows["x"]["connections"] == (40, 80, 42) and rows["y"]["connections"] == (50, 100, 57)


def test_a_destination_that_changes_its_kind_leaves_one_pool_and_enters_the_other() -> None:
    assignment = PoolAssignment({"a": Match(kind=frozenset({"k1"})), "b": Match(kind=frozenset({"k2"}))})
    first, second = BackendEntry(1, State.READY), BackendEntry(2, State.READY)
    labels = {1: Labels("k1"), 2: Labels("k2")}

    def states(updates: dict[str, ListUpdate]) -> dict[str, list[tuple[int, str]]]:
        return {
            pool: [(entry.backend, entry.state.value) for entry in update.entries]
            for pool, update in updates.items()
        }

    initial_updates = assignment.apply(ListUpdate(ListKind.FULL, [first, second]), labels)
    assert states(initial_updates) == {"a": [(1, "ready")], "b": [(2, "ready")]}
    changed_updates = assignment.apply(ListUpdate(ListKind.CHANGES, [first]), {1: Labels("k2")})
    assert states(changed_updates) == {"a": [(1, "gone")], "b": [(1, "ready")]}
    assert assignment.available_pools == {"b"}
    restored_updates = assignment.apply(ListUpdate(ListKind.FULL, [first, second]), labels)
    assert states(restored_updates) == {"a": [(1, "ready")], "b": [(2, "ready"), (1, "gone")]}
    removed_updates = assignment.apply(ListUpdate(ListKind.CHANGES, [BackendEntry(1, State.GONE)]), {})
    assert states(removed_updates) == {"a": [(1, "gone")], "b": []}
    assert assignment.apply(ListUpdate(ListKind.FAILED), {})["b"].kind is ListKind.FAILED


def run_command(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "snowwick", *arguments],
        text=True,
        capture_output=True,
        timeout=20,
        env={**os.environ, "GW_CONFIG": ""},
        check=False,
    )


def test_commands_check_and_explain_a_file(tmp_path: Path) -> None:
    path = tmp_path / "contracts.toml"
    path.write_text(VALID)
    assert run_command("contracts", "check", str(path)).returncode == 0
    output = run_command("contracts", "explain", str(path), "--balancers", "2").stdout
    assert "guarantee back within 10.0 s" in output and output.splitlines()[1].split()[:4] == [
        "x",
        "a",
        "connections",
        "20",
    ]
    path.write_text(VALID.replace("connections = 40", "connections = -1"))
    failed_check = run_command("contracts", "check", str(path))
    assert failed_check.returncode == 2 and "teams.x.guarantee.connections: expected" in failed_check.stderr
    assert failed_check.stderr.count("\n") == 1
