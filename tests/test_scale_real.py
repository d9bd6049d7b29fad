"""Lightweight members and real balancers in one fleet: faults on the links between them, and the cleanup."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest

from snowwick.fleet.members import ALIVE
from snowwick.lab.rig import Fleet, RunFailed
from snowwick.lab.scale_real import (
    ProcessCounts,
    check_limits,
    ended_by_sigterm,
    estimate_bytes,
    member_rates,
    merge_arrivals,
    play,
    time_percentiles,
    weighted_mean,
)
from snowwick.lab.standins import ROOT
from snowwick.lab.workload import RunRefused, Workload

REAL_MEMBERS = 2
LIGHTWEIGHT_MEMBERS = 6


def all_agree(fleet: Fleet, members: int = REAL_MEMBERS + LIGHTWEIGHT_MEMBERS) -> bool:
    """Whether each member considers all others alive and all lightweight members hold the same registers."""
    answers = fleet.run_commands([host for host in fleet.member_hosts if not host.ended_on_purpose], "agree")
    alive_counts = {count for answer in answers for count in answer["alive"].values()}
    root_hashes = {root for answer in answers for root in answer["roots"].values()}
    return (
        alive_counts == {members}
        and len(root_hashes) == 1
        and all(
            sum(state in ("self", "alive") for state in fleet.members(n).values()) == members
            for n in range(len(fleet.balancers))
        )
    )


def declared_dead(fleet: Fleet) -> list[str]:
    """The names that lightweight members declared dead, and ``?`` for each balancer that logged a death."""
    names = [
        name for answer in fleet.run_commands(fleet.member_hosts, "counts") for name, _ in answer["deaths"]
    ]
    return names + ["?" for balancer in fleet.balancers if "is dead" in balancer.log]


@contextmanager
def mixed_fleet(folder: Path) -> Iterator[Fleet]:
    """Two real members and six lightweight ones in two processes, with proxies between the two kinds."""
    with Fleet(folder, REAL_MEMBERS) as fleet:
        for _ in range(2):
            fleet.add_member_host(LIGHTWEIGHT_MEMBERS // 2, proxied=True)
        fleet.start()
        fleet.start_lightweight_members()
        fleet.wait_until(lambda: all_agree(fleet))
        yield fleet


@pytest.fixture(scope="module")
def shared_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with mixed_fleet(tmp_path_factory.mktemp("mixed")) as fleet:
        yield fleet


@pytest.fixture
def fleet(shared_fleet: Fleet) -> Fleet:
    """A fleet shared by all tests that leave it intact; all members agree when a test starts."""
    shared_fleet.wait_until(lambda: all_agree(shared_fleet))
    return shared_fleet


def test_changes_propagate_between_lightweight_and_real_members(fleet: Fleet) -> None:
    host = fleet.member_hosts[0]
    name = next(iter(host.member_addresses))
    fleet.run_command(host, "write", member=name, key="zz", text="another")
    fleet.wait_until(
        lambda: all(fleet.status(n)["revisions"].get(name) == "another" for n in range(REAL_MEMBERS))
    )
    fleet.wait_for_answers(fleet.connect_client(0))
    fleet.wait_until(
        lambda: all(
            any(owner == "b0" for owner, *_ in answer["arrivals"])
            for answer in fleet.run_commands(fleet.member_hosts, "counts")
        )
    )
    fleet.wait_until(lambda: all_agree(fleet))


def test_unexpected_exits_of_processes_are_detected(tmp_path: Path) -> None:
    with mixed_fleet(tmp_path) as fleet:
        real, host = fleet.balancers[0].process, fleet.member_hosts[1]
        assert real is not None
        host.process.send_signal(signal.SIGKILL)
        with pytest.raises(RunFailed, match="member host 1 exited with -9"):
            fleet.run_for(5.0)
        host.ended_on_purpose = True
        # Sent directly: an exit after a signal that the rig sent counts as expected.
        real.send_signal(signal.SIGKILL)
        with pytest.raises(RunFailed, match="b0 exited with -9"):
            fleet.wait_until(lambda: False)
    assert all(host.process.poll() is not None for host in fleet.member_hosts)
    assert all(
        balancer.process is not None and balancer.process.poll() is not None for balancer in fleet.balancers
    )


def test_a_real_member_stopped_for_two_seconds_is_not_declared_dead(fleet: Fleet) -> None:
    fleet.send_signal(0, signal.SIGSTOP)
    fleet.run_for(2.0)
    fleet.send_signal(0, signal.SIGCONT)
    fleet.wait_until(lambda: all_agree(fleet))
    assert not declared_dead(fleet)


def test_one_way_cut_and_loss_between_real_and_lightweight_cause_no_false_death(fleet: Fleet) -> None:
    for n in range(REAL_MEMBERS):
        fleet.proxies_to_balancers[n].loss_probability = 0.1
    for (sender, _), link in fleet.proxies_to_members.items():
        link.cut = sender == 0
    forwarded_before = sum(link.datagrams_forwarded for link in fleet.proxies_to_members.values())
    fleet.run_for(2.5)
    # The links from b1 are not cut.
    assert sum(link.datagrams_forwarded for link in fleet.proxies_to_members.values()) > forwarded_before
    host = fleet.member_hosts[0]
    name = list(host.member_addresses)[1]
    fleet.run_command(host, "write", member=name, key="zz", text="through")
    fleet.wait_until(
        lambda: all(fleet.status(n)["revisions"].get(name) == "through" for n in range(REAL_MEMBERS))
    )
    for link in [*fleet.proxies_to_members.values(), *fleet.proxies_to_balancers.values()]:
        link.cut, link.loss_probability = False, 0.0
    fleet.wait_until(lambda: all_agree(fleet))
    assert not declared_dead(fleet)


def test_a_killed_real_member_rejoins_the_lightweight_members_after_its_restart(fleet: Fleet) -> None:
    def views_of_b0() -> list[dict[str, Any]]:
        return [
            fleet.run_command(host, "sees", member=name, of="b0")
            for host in fleet.member_hosts
            for name in host.member_addresses
        ]

    incarnation_before = max(view["incarnation"] for view in views_of_b0())
    fleet.send_signal(0, signal.SIGKILL)
    fleet.start(0)
    fleet.wait_until(lambda: "caught up after" in fleet.balancers[0].log)
    # Until the restart has propagated, members may still consider the killed incarnation alive or suspect.
    fleet.wait_until(
        lambda: all(
            view["state"] == ALIVE and view["incarnation"] > incarnation_before for view in views_of_b0()
        )
    )
    fleet.wait_until(lambda: all_agree(fleet))


RUN_SCRIPT = """
import json
from snowwick.lab.scale_real import play
from snowwick.lab.workload import Workload
row = play(Workload(6, seconds=60.0, idle_s=0.5, load_writes=4.0, changes_per_day=172800.0), 2, 4,
           lambda text: print(text, flush=True), lambda row: print("kept", json.dumps(row), flush=True))
"""


def children(pid: int) -> set[int]:
    """Process ids of a process's children."""
    return {int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()}


def is_running(pid: int) -> bool:
    """Whether the process exists and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_sigterm_ends_a_run_as_an_interrupt_does() -> None:
    handler_before = signal.getsignal(signal.SIGTERM)
    with pytest.raises(KeyboardInterrupt), ended_by_sigterm():
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(5.0)
    assert signal.getsignal(signal.SIGTERM) == handler_before


@pytest.mark.parametrize("cause", ["SIGINT", "a member host is killed"])
def test_a_run_that_ends_early_saves_its_row_and_leaves_no_process(tmp_path: Path, cause: str) -> None:
    out = tmp_path / "out"
    with out.open("w") as file:
        process = subprocess.Popen(
            [sys.executable, "-c", RUN_SCRIPT],
            cwd=ROOT,
            stdout=file,
            stderr=subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
    try:
        until = time.monotonic() + 15.0
        while "2 real and 4 lightweight members have joined after" not in out.read_text():
            assert process.poll() is None and time.monotonic() < until, out.read_text()
            time.sleep(0.05)
        started = children(process.pid)
        member_hosts = {
            pid for pid in started if "snowwick.lab.member_host" in Path(f"/proc/{pid}/cmdline").read_text()
        }
        assert len(started) == 3 and len(member_hosts) == 1  # the others are the two real members
        if cause == "SIGINT":
            process.send_signal(signal.SIGINT)
        else:
            os.kill(member_hosts.pop(), signal.SIGKILL)
        assert process.wait(10.0) != 0
        assert not [pid for pid in started if is_running(pid)]
        reason = "member host 0 exited with -9" if "killed" in cause else "interrupted"
        saved_rows = [
            json.loads(line.removeprefix("kept "))
            for line in out.read_text().splitlines()
            if line.startswith("kept ")
        ]
        assert (
            reason in saved_rows[-1]["ended"]
            and saved_rows[-1]["partial"]
            and saved_rows[-1]["joined_s"] > 0.0
        )
        assert "ended early: " + saved_rows[-1]["ended"] in out.read_text()
    finally:
        process.kill()
        process.wait()


def test_a_short_run_gives_a_complete_row(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("snowwick.lab.scale_real.RESTART_TESTS", 1)
    monkeypatch.setattr("snowwick.lab.scale_real.VISIBILITY_TESTS", 2)
    saved_rows: list[dict[str, Any]] = []
    workload = Workload(6, seconds=1.5, idle_s=0.3, load_writes=4.0, changes_per_day=172_800.0, period=0.1)
    row = play(workload, 2, 4, lambda text: None, lambda row: saved_rows.append(dict(row)))
    of_real = row["of_real"]
    assert (row["members"], row["real"], row["hollow"], of_real["members"]) == (6, 2, 4, 2)
    assert "partial" not in row and saved_rows[0]["partial"] and saved_rows[-1] == row
    for figures in (row, of_real):
        assert (
            min(
                figures[key]
                for key in ("bytes_out", "bytes_in", "datagrams_out", "datagrams_in", "core", "reference")
            )
            > 0.0
        )
        assert 0.0 < figures["everywhere_p50_s"] <= figures["everywhere_p99_s"] + 1e-3
        assert figures["everywhere_worst_s"] < 5.0 and figures["start_bytes"] > 0.0 < figures["start_s"]
        assert figures["false_deaths"] == 0
    assert of_real["there"] == 2 and of_real["there_worst_s"] < 5.0
    assert row["changes"] >= 2 and row["changes_unfinished"] == 0
    # Members receive what they send, apart from datagrams in transit and rare losses.
    assert row["bytes_in"] == pytest.approx(row["bytes_out"], rel=0.15)
    assert row["reference"] == pytest.approx(row["core"] / row["reference_s"])


def test_figures_of_a_row() -> None:
    before = ProcessCounts(
        10.0, 1.0, dict.fromkeys(("bytes_out", "bytes_in", "datagrams_out", "datagrams_in"), 0.0)
    )
    after = ProcessCounts(
        12.0, 2.0, {"bytes_out": 800.0, "bytes_in": 400.0, "datagrams_out": 8.0, "datagrams_in": 4.0}
    )
    rates = member_rates(before, after, 4, {"bytes_out": 80.0})
    assert rates == {
        "bytes_out": 90.0,
        "bytes_in": 50.0,
        "datagrams_out": 1.0,
        "datagrams_in": 0.5,
        "core": 0.125,
    }
    assert weighted_mean([(3, {"core": 0.2}), (1, {"core": 0.6})]) == {"core": pytest.approx(0.3)}
    assert time_percentiles("x", []) == {"x_p50_s": None, "x_p99_s": None, "x_worst_s": None}
    assert time_percentiles("x", [0.1, 0.1, 0.4]) == {
        "x_p50_s": pytest.approx(0.1, rel=1e-3),
        "x_p99_s": pytest.approx(0.4, rel=1e-3),
        "x_worst_s": 0.4,
    }
    assert merge_arrivals(
        [{"arrivals": [["m1", 3, 1.0, 1.5, 2]]}, {"arrivals": [["m1", 3, 1.0, 1.25, 4]]}]
    ) == {("m1", 3): (1.0, 1.5, 6)}


def test_a_run_beyond_the_limits_of_the_machine_is_refused() -> None:
    with pytest.raises(RunRefused, match="needs 308 processes, at most 300 are allowed: lower --real"):
        check_limits(300, 200)
    with pytest.raises(RunRefused, match="needs at least 1 real and 2 lightweight members"):
        check_limits(1, 0)
    check_limits(8, 200)
    assert estimate_bytes(8, 200) < estimate_bytes(8, 400) < 8e9
