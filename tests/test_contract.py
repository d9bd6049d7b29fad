"""The contracts file: every fault is named with its key path, and parts sum up."""

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

GOOD = """
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
def test_every_fault_is_named_with_its_key_path(old: str, new: str, fault: str) -> None:
    assert parse(GOOD, ["feed"], ["t1", "t2", "t3"]).tenants == {"t1": "x", "t2": "x", "t3": "y"}
    assert old in GOOD
    with pytest.raises(BadContracts) as caught:
        parse(GOOD.replace(old, new, 1), ["feed"], ["t1", "t2", "t3"])
    start, _, more = fault.partition("*")
    assert any(one.startswith(start) and more in one for one in caught.value.faults), caught.value.faults


def test_all_faults_are_told_at_once() -> None:
    with pytest.raises(BadContracts) as caught:
        parse(GOOD.replace("share = 0.5", "share = 7.0").replace("weight = 3", "weight = -3"))
    assert [one.split(":")[0] for one in caught.value.faults] == [
        "teams.x.classes.feed.share",
        "teams.y.weight",
    ]


@given(st.lists(st.integers(0, 50), min_size=1, max_size=6), st.integers(1, 7), st.integers(0, 60))
def test_units_dealt_out_sum_exactly_and_never_pass_the_fleet_s_part(
    counts: list[int], balancers: int, more: int
) -> None:
    whole = sum(counts) + more
    for index in range(balancers):
        first, held = 0, 0
        for number in counts:
            held += round_robin_count(first, number, balancers, index)
            first += number
        assert held <= round_robin_count(0, whole, balancers, index)
    first = 0
    for number in counts:
        assert sum(round_robin_count(first, number, balancers, n) for n in range(balancers)) == number
        first += number


@given(
    st.integers(0, 400),
    st.lists(
        st.tuples(st.integers(0, 40), st.integers(0, 80), st.integers(1, 5), st.integers(0, 200)),
        min_size=1,
        max_size=6,
    ),
)
def test_max_min_gives_guarantees_first_and_then_by_weight(
    more: int, rows: list[tuple[int, int, int, int]]
) -> None:
    claims = [Claim(low, low + up, weight, demand) for low, up, weight, demand in rows]
    total = sum(one.guarantee for one in claims) + more
    shares = max_min_shares(total, claims)
    assert sum(shares) <= total + 1e-6
    for one, share in zip(claims, shares, strict=True):
        assert min(one.guarantee, one.demand) - 1e-6 <= share <= min(one.ceiling, one.demand) + 1e-6
    hungry = [n for n, one in enumerate(claims) if shares[n] < min(one.ceiling, one.demand) - 1e-6]
    if hungry:
        assert sum(shares) >= total - 1e-6  # nothing idle while a claim is not satisfied
    for n in hungry:  # nobody who has extra has more of it, for its weight, than one who goes short
        for one, share in zip(claims, shares, strict=True):
            extra = max(0.0, share - one.guarantee) / one.weight
            assert extra <= (shares[n] - claims[n].guarantee) / claims[n].weight + 1e-6


@pytest.mark.parametrize("balancers", [1, 2, 3])
def test_parts_of_all_balancers_make_the_contract(balancers: int) -> None:
    contracts = parse(GOOD)
    books = [balancer_limits(contracts, balancers, n) for n in range(balancers)]
    assert sum(one.connections for one in books) == 100
    assert sum(one.teams["x"].connections[0] for one in books) == 40
    assert sum(one.teams["x"].connections[1] for one in books) == 80
    assert abs(sum(one.teams["x"].setups_per_s[0] for one in books) - 10.0) < 1e-9
    for book in books:
        assert sum(terms.connections[0] for terms in book.teams.values()) <= book.connections
        assert all(low <= high for low, high in (terms.connections for terms in book.teams.values()))
    rows = {row["team"]: row for row in explain(contracts, balancers)}
    assert rows["x"]["connections"][0] == books[0].teams["x"].connections[0]
    if balancers == 1:  # ten are left, three in four of them for y
        assert rows["x"]["connections"] == (40, 80, 42) and rows["y"]["connections"] == (50, 100, 57)


def test_a_destination_that_changes_its_kind_leaves_one_pool_and_enters_the_other() -> None:
    split = PoolAssignment({"a": Match(kind=frozenset({"k1"})), "b": Match(kind=frozenset({"k2"}))})
    one, two = BackendEntry(1, State.READY), BackendEntry(2, State.READY)
    labels = {1: Labels("k1"), 2: Labels("k2")}

    def told(news: dict[str, ListUpdate]) -> dict[str, list[tuple[int, str]]]:
        return {pool: [(e.backend, e.state.value) for e in part.entries] for pool, part in news.items()}

    first = split.apply(ListUpdate(ListKind.FULL, [one, two]), labels)
    assert told(first) == {"a": [(1, "ready")], "b": [(2, "ready")]}
    changed = split.apply(ListUpdate(ListKind.CHANGES, [one]), {1: Labels("k2")})
    assert told(changed) == {"a": [(1, "gone")], "b": [(1, "ready")]}
    assert split.available_pools == {"b"}
    back = split.apply(ListUpdate(ListKind.FULL, [one, two]), labels)
    assert told(back) == {"a": [(1, "ready")], "b": [(2, "ready"), (1, "gone")]}
    gone = split.apply(ListUpdate(ListKind.CHANGES, [BackendEntry(1, State.GONE)]), {})
    assert told(gone) == {"a": [(1, "gone")], "b": []}
    assert split.apply(ListUpdate(ListKind.FAILED), {})["b"].kind is ListKind.FAILED


def command(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "snowwick", *words],
        text=True,
        capture_output=True,
        timeout=20,
        env={**os.environ, "GW_CONFIG": ""},
        check=False,
    )


def test_commands_check_and_explain_a_file(tmp_path: Path) -> None:
    path = tmp_path / "contracts.toml"
    path.write_text(GOOD)
    assert command("contracts", "check", str(path)).returncode == 0
    said = command("contracts", "explain", str(path), "--balancers", "2").stdout
    assert "guarantee back within 10.0 s" in said and said.splitlines()[1].split()[:4] == [
        "x",
        "a",
        "connections",
        "20",
    ]
    path.write_text(GOOD.replace("connections = 40", "connections = -1"))
    bad = command("contracts", "check", str(path))
    assert bad.returncode == 2 and "teams.x.guarantee.connections: expected" in bad.stderr
    assert bad.stderr.count("\n") == 1
