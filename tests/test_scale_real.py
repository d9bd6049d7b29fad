"""Hollow members beside real balancers: one fleet, faults between them, and nothing left behind."""

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
    Count,
    arrived,
    check,
    ended_by_sigterm,
    estimate_bytes,
    mean,
    play,
    rates,
    spread,
)
from snowwick.lab.standins import ROOT
from snowwick.lab.workload import RunRefused, Workload

REAL, HOLLOW = 2, 6


def all_agree(fleet: Fleet, members: int = REAL + HOLLOW) -> bool:
    """Does each see each, and do all hollow ones hold the same?"""
    answers = fleet.run_commands([one for one in fleet.member_hosts if not one.ended_on_purpose], "agree")
    alive = {count for one in answers for count in one["alive"].values()}
    roots = {root for one in answers for root in one["roots"].values()}
    return (
        alive == {members}
        and len(roots) == 1
        and all(
            sum(state in ("self", "alive") for state in fleet.members(n).values()) == members
            for n in range(len(fleet.balancers))
        )
    )


def said_dead(fleet: Fleet) -> list[str]:
    """Who was found dead by any member."""
    found = [name for one in fleet.run_commands(fleet.member_hosts, "counts") for name, _ in one["deaths"]]
    return found + ["?" for one in fleet.balancers if "is dead" in one.log]


@contextmanager
def beside(folder: Path) -> Iterator[Fleet]:
    """Two real members beside six hollow ones in two processes, proxies between the kinds; all agree."""
    with Fleet(folder, REAL) as fleet:
        for _ in range(2):
            fleet.add_member_host(HOLLOW // 2, proxied=True)
        fleet.start()
        fleet.start_lightweight_members()
        fleet.wait_until(lambda: all_agree(fleet))
        yield fleet


@pytest.fixture(scope="module")
def shared(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with beside(tmp_path_factory.mktemp("beside")) as fleet:
        yield fleet


@pytest.fixture
def fleet(shared: Fleet) -> Fleet:
    """One for all tests that leave it whole, as each finds it."""
    shared.wait_until(lambda: all_agree(shared))
    return shared


def test_a_change_of_a_hollow_member_is_known_at_the_real_ones_and_the_other_way(fleet: Fleet) -> None:
    one = fleet.member_hosts[0]
    name = next(iter(one.member_addresses))
    fleet.run_command(one, "write", member=name, key="zz", text="another")
    fleet.wait_until(lambda: all(fleet.status(n)["revisions"].get(name) == "another" for n in range(REAL)))
    fleet.wait_for_answers(fleet.connect_client(0))
    fleet.wait_until(
        lambda: all(
            any(owner == "b0" for owner, *_ in answer["arrivals"])
            for answer in fleet.run_commands(fleet.member_hosts, "counts")
        )
    )
    fleet.wait_until(lambda: all_agree(fleet))


def test_processes_that_end_by_themselves_are_noticed(tmp_path: Path) -> None:
    with beside(tmp_path) as fleet:
        real, hollow = fleet.balancers[0].process, fleet.member_hosts[1]
        assert real is not None
        hollow.process.send_signal(signal.SIGKILL)
        with pytest.raises(RunFailed, match="member host 1 exited with -9"):
            fleet.run_for(5.0)
        hollow.ended_on_purpose = True
        real.send_signal(signal.SIGKILL)  # past the rig, which takes the signals that it sends for wanted
        with pytest.raises(RunFailed, match="b0 exited with -9"):
            fleet.wait_until(lambda: False)
    assert all(one.process.poll() is not None for one in fleet.member_hosts)
    assert all(one.process is not None and one.process.poll() is not None for one in fleet.balancers)


def test_a_real_member_stopped_for_two_seconds_gives_no_false_death(fleet: Fleet) -> None:
    fleet.send_signal(0, signal.SIGSTOP)
    fleet.run_for(2.0)
    fleet.send_signal(0, signal.SIGCONT)
    fleet.wait_until(lambda: all_agree(fleet))
    assert not said_dead(fleet)


def test_a_one_way_cut_and_loss_between_the_kinds_give_no_false_death(fleet: Fleet) -> None:
    for n in range(REAL):
        fleet.proxies_to_balancers[n].loss_probability = 0.1
    for (n, _), link in fleet.proxies_to_members.items():
        link.cut = n == 0
    carried = sum(link.datagrams_forwarded for link in fleet.proxies_to_members.values())
    fleet.run_for(2.5)
    assert (
        sum(link.datagrams_forwarded for link in fleet.proxies_to_members.values()) > carried
    )  # b1's go this way
    one = fleet.member_hosts[0]
    name = list(one.member_addresses)[1]
    fleet.run_command(one, "write", member=name, key="zz", text="through")
    fleet.wait_until(lambda: all(fleet.status(n)["revisions"].get(name) == "through" for n in range(REAL)))
    for link in [*fleet.proxies_to_members.values(), *fleet.proxies_to_balancers.values()]:
        link.cut, link.loss_probability = False, 0.0
    fleet.wait_until(lambda: all_agree(fleet))
    assert not said_dead(fleet)


def test_a_real_member_killed_and_started_anew_is_with_the_hollow_ones_again(fleet: Fleet) -> None:
    def seen() -> list[dict[str, Any]]:
        return [
            fleet.run_command(one, "sees", member=name, of="b0")
            for one in fleet.member_hosts
            for name in one.member_addresses
        ]

    before = max(one["incarnation"] for one in seen())
    fleet.send_signal(0, signal.SIGKILL)
    fleet.start(0)
    fleet.wait_until(lambda: "caught up after" in fleet.balancers[0].log)
    # Until they have heard of the new start the killed one may still stand there, or be suspected.
    fleet.wait_until(lambda: all(one["state"] == ALIVE and one["incarnation"] > before for one in seen()))
    fleet.wait_until(lambda: all_agree(fleet))


RUN = """
import json
from snowwick.lab.scale_real import play
from snowwick.lab.workload import Workload
row = play(Workload(6, seconds=60.0, idle_s=0.5, load_writes=4.0, changes_per_day=172800.0), 2, 4,
           lambda text: print(text, flush=True), lambda row: print("kept", json.dumps(row), flush=True))
"""


def children(pid: int) -> set[int]:
    return {int(one) for one in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()}


def runs(pid: int) -> bool:
    """Is the process there, and no zombie?"""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def test_sigterm_ends_a_run_as_an_interrupt_does() -> None:
    before = signal.getsignal(signal.SIGTERM)
    with pytest.raises(KeyboardInterrupt), ended_by_sigterm():
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(5.0)
    assert signal.getsignal(signal.SIGTERM) == before


@pytest.mark.parametrize("what", ["SIGINT", "a hollow process killed"])
def test_a_run_that_ends_early_keeps_what_it_has_and_leaves_no_process(tmp_path: Path, what: str) -> None:
    out = tmp_path / "out"
    with out.open("w") as file:
        process = subprocess.Popen(
            [sys.executable, "-c", RUN],
            cwd=ROOT,
            stdout=file,
            stderr=subprocess.STDOUT,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )
    try:
        until = time.monotonic() + 15.0
        while "see each other" not in out.read_text():
            assert process.poll() is None and time.monotonic() < until, out.read_text()
            time.sleep(0.05)
        started = children(process.pid)
        hollow = {
            one for one in started if "snowwick.lab.member_host" in Path(f"/proc/{one}/cmdline").read_text()
        }
        assert len(started) == 3 and len(hollow) == 1  # and two real ones
        if what == "SIGINT":
            process.send_signal(signal.SIGINT)
        else:
            os.kill(hollow.pop(), signal.SIGKILL)
        assert process.wait(10.0) != 0
        assert not [one for one in started if runs(one)]
        said = "exited with -9" if "killed" in what else "interrupted"
        kept = [
            json.loads(line.removeprefix("kept "))
            for line in out.read_text().splitlines()
            if line.startswith("kept ")
        ]
        assert said in kept[-1]["ended"] and kept[-1]["partial"] and kept[-1]["joined_s"] > 0.0
        assert "ended early: " + kept[-1]["ended"] in out.read_text()
    finally:
        process.kill()
        process.wait()


def test_a_short_run_gives_a_whole_row(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("snowwick.lab.scale_real.RESTARTS", 1)
    monkeypatch.setattr("snowwick.lab.scale_real.MARKS", 2)
    kept: list[dict[str, Any]] = []
    w = Workload(6, seconds=1.5, idle_s=0.3, load_writes=4.0, changes_per_day=172_800.0, period=0.1)
    row = play(w, 2, 4, lambda text: None, lambda row: kept.append(dict(row)))
    of_real = row["of_real"]
    assert (row["members"], row["real"], row["hollow"], of_real["members"]) == (6, 2, 4, 2)
    assert "partial" not in row and kept[0]["partial"] and kept[-1] == row
    for one in (row, of_real):
        assert (
            min(
                one[key]
                for key in ("bytes_out", "bytes_in", "datagrams_out", "datagrams_in", "core", "reference")
            )
            > 0.0
        )
        assert 0.0 < one["everywhere_p50_s"] <= one["everywhere_p99_s"] + 1e-3
        assert one["everywhere_worst_s"] < 5.0 and one["start_bytes"] > 0.0 < one["start_s"]
        assert one["false_deaths"] == 0
    assert of_real["there"] == 2 and of_real["there_worst_s"] < 5.0
    assert row["changes"] >= 2 and row["changes_unfinished"] == 0
    # What all send is what all receive, but for what is under way and for the rare lost one.
    assert row["bytes_in"] == pytest.approx(row["bytes_out"], rel=0.15)
    assert row["reference"] == pytest.approx(row["core"] / row["reference_s"])


def test_what_a_row_is_made_of() -> None:
    before = Count(10.0, 1.0, dict.fromkeys(("bytes_out", "bytes_in", "datagrams_out", "datagrams_in"), 0.0))
    after = Count(
        12.0, 2.0, {"bytes_out": 800.0, "bytes_in": 400.0, "datagrams_out": 8.0, "datagrams_in": 4.0}
    )
    found = rates(before, after, 4, {"bytes_out": 80.0})
    assert found == {
        "bytes_out": 90.0,
        "bytes_in": 50.0,
        "datagrams_out": 1.0,
        "datagrams_in": 0.5,
        "core": 0.125,
    }
    assert mean([(3, {"core": 0.2}), (1, {"core": 0.6})]) == {"core": pytest.approx(0.3)}
    assert spread("x", []) == {"x_p50_s": None, "x_p99_s": None, "x_worst_s": None}
    assert spread("x", [0.1, 0.1, 0.4]) == {
        "x_p50_s": pytest.approx(0.1, rel=1e-3),
        "x_p99_s": pytest.approx(0.4, rel=1e-3),
        "x_worst_s": 0.4,
    }
    assert arrived([{"arrivals": [["m1", 3, 1.0, 1.5, 2]]}, {"arrivals": [["m1", 3, 1.0, 1.25, 4]]}]) == {
        ("m1", 3): (1.0, 1.5, 6)
    }


def test_more_than_the_machine_allows_is_refused() -> None:
    with pytest.raises(RunRefused, match="processes"):
        check(300, 200)
    with pytest.raises(RunRefused, match="--hollow 2"):
        check(1, 0)
    check(8, 200)
    assert estimate_bytes(8, 200) < estimate_bytes(8, 400) < 8e9
