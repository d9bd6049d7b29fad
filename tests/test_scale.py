"""The scale run: its workload, its simulated form, what it counts, and how it refuses and ends."""

from __future__ import annotations

import gc
import json
import os
import re
import signal
import subprocess
import sys
from collections import Counter
from dataclasses import fields, replace
from pathlib import Path
from typing import cast

import pytest

from snowwick.fleet import registers, wire
from snowwick.fleet.node import Node
from snowwick.lab import scale, scale_simulated
from snowwick.lab.network import Network
from snowwick.lab.scale_simulated import (
    DeathReports,
    DurationHistogram,
    SimulatedFleet,
    join_all,
    max_suspicion_s,
    run_workload,
)
from snowwick.lab.workload import (
    TARGET_MEMBERS,
    EventKind,
    ResultRow,
    RunRefused,
    Workload,
    change_value,
    load_value,
    reference_frame,
    reference_frame_cpu_s,
    schedule,
)

SMALL = Workload(8, seconds=6.0, idle_s=2.0, burst_s=3.0, faults="restarts", failure_s=3.0)


def quiet(_: object) -> None:
    """For what is told on the way."""


# -- the workload ----------------------------------------------------------------------------------------


def test_the_same_workload_has_the_same_course() -> None:
    w = Workload(20)
    assert schedule(w) == schedule(w) != schedule(replace(w, seed=2))
    assert [one.at for one in schedule(w)] == sorted(one.at for one in schedule(w))


@pytest.mark.parametrize("members", [12, 300])
def test_changes_are_the_whole_fleets_and_loads_each_members(members: int) -> None:
    w = Workload(members, seconds=600.0, burst_s=60.0, faults="none")
    idle, steady, burst = w.phases()
    found = Counter((one.kind, steady.start <= one.at < steady.end) for one in schedule(w))
    assert abs(found[EventKind.CHANGE, True] - 600.0 * 26_000 / 86_400) <= 1
    assert abs(found[EventKind.CHANGE, False] - 10 * 60.0 * 26_000 / 86_400) <= 1
    assert found[EventKind.LOAD, True] == 600 * members
    assert not [one for one in schedule(w) if one.at < idle.end]
    assert burst.end == w.duration_s() == 665.0


def test_each_member_writes_its_load_registers_in_turn() -> None:
    mine = [
        one for one in schedule(Workload(5, faults="none")) if one.kind is EventKind.LOAD and one.member == 3
    ]
    assert [one.number for one in mine[:8]] == [
        (mine[0].number + n) % registers.LOAD_CHUNKS for n in range(8)
    ]


def test_restarts_and_failures_go_by_the_members_and_are_at_least_one_each() -> None:
    large = Workload(TARGET_MEMBERS, seconds=6_200.0, load_writes=0.0, faults="restarts")
    found = Counter(one.kind for one in schedule(large))
    assert 150 <= found[EventKind.LEAVE] <= 250  # one each 31 s
    assert 1 <= found[EventKind.FAIL] <= 8  # 36 a day
    assert found[EventKind.START] == found[EventKind.LEAVE] + found[EventKind.FAIL]
    small = Counter(one.kind for one in schedule(Workload(12, faults="restarts")))
    assert small[EventKind.LEAVE] == small[EventKind.FAIL] == 1 and small[EventKind.START] == 2
    none = {one.kind for one in schedule(Workload(12, faults="none"))}
    assert none <= {
        EventKind.LOAD,
        EventKind.CHANGE,
        EventKind.VERDICT,
        EventKind.VERDICT_WITHDRAWN,
        EventKind.RIGHTS,
    }


def test_a_zone_is_lost_and_back_and_the_regions_are_cut_for_a_minute() -> None:
    w = Workload(12)
    at = {one.kind: one.at for one in schedule(w)}
    assert at[EventKind.ZONE_BACK] - at[EventKind.ZONE_LOST] == w.zone_lost_s
    assert at[EventKind.HEAL] - at[EventKind.CUT] == 60.0
    assert {w.zone_of(n) for n in range(12)} == set(range(5))
    assert {w.region_of(n) for n in range(12)} == {0, 1}


def test_values_are_as_large_as_said_and_can_be_read() -> None:
    w = Workload(12)
    assert abs(len(change_value(w, 7)) - w.change_bytes) <= 2
    assert registers.unpack(change_value(w, 7), registers.Revision) is not None
    counts = [load_value(w, 3, chunk, 1.0) for chunk in range(registers.LOAD_CHUNKS)]
    assert sorted(one for chunk in counts for one in chunk) == list(range(w.load_destinations))
    assert load_value(w, 3, 0, 1.0) == load_value(w, 3, 0, 1.0) != load_value(w, 3, 0, 16.0)


def test_the_reference_frame_is_full_and_passes() -> None:
    frame = reference_frame()
    sealed = wire.seal(frame, b"r" * 32)
    assert (
        wire.MAX_FRAME_BYTES - 100 < len(sealed) <= wire.MAX_FRAME_BYTES
        and wire.unseal(sealed, [b"r" * 32]) == frame
    )
    assert 1e-6 < reference_frame_cpu_s(50, 3) < 1e-2


# -- counting --------------------------------------------------------------------------------------------


def test_times_keep_three_digits() -> None:
    times = DurationHistogram()
    for n in range(1, 1001):
        times.add(n / 100.0)
    for percentile, want in ((50.0, 5.0), (99.0, 9.9), (100.0, 10.0)):
        found = times.at_percentile(percentile)
        assert found is not None and abs(found - want) <= 0.002 * want
    assert DurationHistogram().at_percentile(50.0) is None
    assert times.with_added([100.0]).at_percentile(100.0) == pytest.approx(100.0, rel=0.002)
    assert times.at_percentile(100.0) == pytest.approx(10.0, rel=0.002)


def test_a_true_death_that_spreads_on_is_never_a_false_one() -> None:
    deaths, member = DeathReports(), wire.Member("m1", "m1", 5, 2, 7)
    deaths.record(member, True, 1.0)
    deaths.record(member, False, 2.0)
    assert not deaths.false_positives
    again = wire.Member("m1", "m1", 6, 2, 7)
    deaths.record(again, False, 3.0)
    deaths.record(again, False, 4.0)
    assert deaths.false_positives == {("m1", 7, 6): 3.0}


def a_fleet(members: int = 6) -> SimulatedFleet:
    fleet = SimulatedFleet(Workload(members, loss=0.0))
    for name in fleet.machines:
        fleet.write_initial_registers(name)
    join_all(fleet)
    return fleet


def test_who_is_cut_off_wholly_dies_truly() -> None:
    fleet = a_fleet()
    fleet.partition(["m3"])
    fleet.run(30.0)
    assert {name for name, _, _ in fleet.death_reports.true_positives} == set(
        fleet.machines
    ) and not fleet.death_reports.false_positives
    fleet.heal()
    fleet.run(60.0, fleet.has_converged, 0.2)
    assert fleet.has_converged() and not fleet.death_reports.false_positives


def test_who_is_said_dead_without_a_reason_dies_falsely() -> None:
    fleet = a_fleet()
    Network.pause(fleet, "m3", 25.0)  # behind the back of what judges deaths
    fleet.run(20.0)
    assert {name for name, _, _ in fleet.death_reports.false_positives} == {"m3"}


def test_who_is_stopped_for_longer_than_a_suspicion_dies_truly() -> None:
    fleet = a_fleet()
    fleet.pause("m3", 25.0)
    fleet.run(20.0)
    assert {name for name, _, _ in fleet.death_reports.true_positives} == {
        "m3"
    } and not fleet.death_reports.false_positives
    assert max_suspicion_s(6, 0.2) == 3.0 < max_suspicion_s(5700, 0.2)


def test_a_core_whose_start_is_over_leaves_no_memory_behind() -> None:
    fleet = a_fleet()
    fleet.run(3.0)
    gc.collect()
    gc.disable()
    try:
        before = sum(isinstance(one, Node) for one in gc.get_objects())
        fleet.stop_member("m3")
        fleet.run(6.0)
        fleet.restart_member("m3")
        fleet.run(9.0)
        assert sum(isinstance(one, Node) for one in gc.get_objects()) == before
    finally:
        gc.enable()
    assert fleet.has_converged() and not fleet.death_reports.false_positives


# -- a fleet that starts joined --------------------------------------------------------------------------


def held(net: Network) -> dict[str, object]:
    """All that each member knows of members and registers."""
    return {
        name: (
            sorted(
                (one.name, one.address, one.incarnation, one.boot, one.state)
                for one in machine.node.members.records.values()
            ),
            sorted(machine.node.members.probe_order) if net.now == 0.0 else None,
            {
                owner: (
                    one.epoch,
                    one.complete_seq,
                    one.hash,
                    one.size_bytes,
                    sorted(one.seqs_ahead),
                    sorted(
                        (
                            held.entry.kind,
                            held.entry.key,
                            held.entry.seq,
                            held.entry.value,
                            held.entry.timestamp,
                        )
                        for held in one.entries.values()
                    ),
                )
                for owner, one in machine.node.store.owners.items()
            },
        )
        for name, machine in net.machines.items()
    }


def written(seed: int) -> Network:
    net = Network(9, seed)
    for name in net.machines:
        for key in range(5):
            net.write(name, registers.LOAD, str(key), b"%d" % key)
        net.write(name, registers.LOAD, "0", b"later")
        net.write(name, registers.LOAD, "1", None)
    return net


@pytest.mark.parametrize("seed", [1, 2])
def test_started_joined_equals_joined_by_itself(seed: int) -> None:
    at_once, by_itself = written(seed), written(seed)
    join_all(at_once)
    assert at_once.has_converged()
    by_itself.run(60.0, by_itself.has_converged, 0.05)
    assert by_itself.has_converged()
    by_itself.run(by_itself.now + 10.0)  # all is told by then
    for one in at_once.machines.values():
        assert sorted(one.node.members.probe_order) == sorted(at_once.machines.keys() - {one.name})
        assert (
            not one.node.store.gossip_queue
            and not one.node.members.gossip_queue
            and not one.node.take_datagrams()
        )
    for machine in by_itself.machines.values():
        assert not machine.node.store.gossip_queue and not machine.node.members.gossip_queue
    first, second = held(at_once), held(by_itself)
    for name in first:
        assert first[name][0::2] == second[name][0::2]  # type: ignore[index]
    at_once.run(20.0)
    assert at_once.has_converged() and held(at_once) == {
        name: (row[0], None, row[2])  # type: ignore[index]
        for name, row in first.items()
    }
    assert all(machine.node.caught_up for machine in at_once.machines.values())


# -- a row -----------------------------------------------------------------------------------------------


def sane(row: ResultRow, w: Workload) -> None:
    assert row["members"] == w.members and row["played_s"] >= w.duration_s()
    for one in (row, row["burst"]):
        assert 1e3 < one["bytes_out"] < 1e5 and 10.0 < one["datagrams_out"] < 100.0
        # What is lost and what is sent to who is away does not come in.
        assert 0.5 * one["bytes_out"] < one["bytes_in"] < one["bytes_out"] * 1.01
        assert 0.0 < one["core"] < 0.2 and one["core"] <= one["worst"]["core"] < 0.5
        assert one["reference"] == pytest.approx(one["core"] / row["reference_s"], rel=0.9)
        assert one["changes"] > 0 and one["changes_unfinished"] == 0
        p50, p99, worst = one["everywhere_p50_s"], one["everywhere_p99_s"], one["everywhere_worst_s"]
        assert p50 is not None and p99 is not None and worst is not None and 0.0 < p50 <= p99 <= worst < 5.0
        age, late, error = one["load_age_p50_s"], one["load_late_p50_s"], one["load_error"]
        assert age is not None and late is not None and error is not None
        assert 0.5 < age < 4.5 and late < 0.5 and 0.0 <= error < 0.5
    assert 0.0 < row["idle_bytes_out"] < row["bytes_out"] and 0.0 < row["idle_core"] < row["core"]
    assert 0 < row["memory"] < 5e6


def test_a_row_has_sane_values_and_what_starts_catches_up() -> None:
    """In a process of its own, as the command plays it: memory is right only where none was played before."""
    lines, rows = list[str](), list[ResultRow]()
    row = scale.run_simulated(SMALL, lines.append, lambda kept: rows.append(cast(ResultRow, kept)))
    sane(row, SMALL)
    assert row["starts"] == 2 and not row["starts_unfinished"]
    assert row["start_s"] is not None and 0.0 < row["start_s"] < 5.0
    assert row["start_bytes"] is not None and row["start_bytes"] > 1000.0
    assert row["false_deaths_all"] == 0
    assert "zone_lost" not in row and "partial" not in row
    assert lines[0].startswith("process ") and lines[1].startswith("8 members joined")
    assert rows and all(one["partial"] for one in rows)
    json.dumps(row, allow_nan=False)


def test_the_same_course_is_played_again() -> None:
    first, second = run_workload(SMALL, quiet, quiet), run_workload(SMALL, quiet, quiet)
    for name in ("bytes_out", "datagrams_in", "everywhere_p99_s", "load_age_p99_s", "start_bytes", "start_s"):
        assert first[name] == second[name]


def test_a_lost_zone_and_cut_regions_heal_without_a_false_death() -> None:
    w = replace(
        SMALL, members=10, faults="all", zone_lost_s=8.0, zone_back_s=6.0, region_cut_s=15.0, heal_s=8.0
    )
    row = scale.run_simulated(w, quiet, quiet)
    sane(row, w)
    for phase in (row["zone_lost"], row["region_cut"]):
        assert phase["healed_s"] is not None and 0.0 <= phase["healed_s"] < 8.0
    assert row["false_deaths_all"] == 0
    cut = row["region_cut"]["load_error"]  # who hears half of the fleet sees half of its load
    assert cut is not None and row["load_error"] is not None and cut > row["load_error"]


# -- the command line ------------------------------------------------------------------------------------


def run(*words: str, deaf: bool = False) -> subprocess.Popen[str]:
    """``deaf`` starts it as a shell does in the background, with SIGINT ignored."""
    was = signal.signal(signal.SIGINT, signal.SIG_IGN) if deaf else None
    try:
        return subprocess.Popen(
            [sys.executable, "-m", "snowwick.lab.scale", *words],
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
    finally:
        if was is not None:
            signal.signal(signal.SIGINT, was)


def test_what_would_not_fit_is_refused_in_one_line(tmp_path: Path) -> None:
    process = run("--members", "12,1000000", "--json", str(tmp_path / "out.json"))
    out, errors = process.communicate(timeout=30.0)
    assert process.returncode == 2 and not out and errors.count("\n") == 1
    found = re.search(r"^refused: .* at most (\d+) members would fit$", errors.strip())
    assert found is not None and 100 < int(found[1]) < 1_000_000
    assert not (tmp_path / "out.json").exists()


def test_the_largest_that_is_said_to_fit_fits_and_one_more_does_not() -> None:
    w, seconds, room = Workload(5700), 600.0, 4 << 30
    with pytest.raises(RunRefused) as refused:
        scale.check([w], seconds, room)
    found = re.search(r"at most (\d+) members", str(refused.value))
    assert found is not None
    fits = replace(w, members=int(found[1]))
    scale.check([fits], seconds, room)
    with pytest.raises(RunRefused):
        scale.check([replace(w, members=fits.members + 1)], seconds, room)
    with pytest.raises(RunRefused):
        scale.check([fits, fits], seconds, room)  # one after the other takes twice as long
    twice = replace(w, members=2 * 5700)
    assert scale_simulated.estimate_bytes(twice) > 2 * scale_simulated.estimate_bytes(w)


def test_a_form_that_is_not_there_is_refused(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(scale, "REAL_FORM", "snowwick.lab.no_such_form")
    with pytest.raises(SystemExit) as ended:
        scale.main(["real"])
    assert ended.value.code == 2 and capsys.readouterr().err == "refused: the real form is not there\n"


def test_every_field_of_the_workload_has_a_flag_and_quick_gives_way_to_it() -> None:
    _, (first, second) = scale.parse(["--quick"])
    assert (first.members, second.members, first.seconds) == (6, 12, scale.QUICK["seconds"])
    for one in fields(Workload):
        if one.name not in ("members", "faults"):
            _, (w,) = scale.parse(["--quick", "--members", "9", f"--{one.name.replace('_', '-')}", "3"])
            assert getattr(w, one.name) == 3 and w.members == 9


def test_the_help_says_of_each_figure_what_it_is(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        scale.main(["--help"])
    text = " ".join(capsys.readouterr().out.split())
    assert ended.value.code == 0
    for one in fields(Workload):
        what = f"{one.metadata.get('help', '')} (default {one.default})".strip()
        assert one.name == "members" or what in text


def gone(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return True
    return False


@pytest.mark.parametrize("whom", ["itself", "itself in the background", "its child"])
def test_interrupted_or_failed_it_ends_what_it_started_and_keeps_what_was_measured(
    whom: str, tmp_path: Path
) -> None:
    path = tmp_path / "out.json"
    process = run(
        "--members",
        "5,6",
        "--seconds",
        "50000",
        "--idle-s",
        "1",
        "--most-minutes",
        "1e9",
        "--json",
        str(path),
        deaf="background" in whom,
    )
    assert process.stderr is not None
    child = 0
    for line in process.stderr:
        found = re.match(r"process (\d+) plays 5 members", line)
        child = int(found[1]) if found is not None else child
        if "steady" in line:
            break
    assert child and not gone(child)
    if whom != "its child":
        process.send_signal(signal.SIGINT)
    else:
        os.kill(child, signal.SIGKILL)
    out, errors = process.communicate(timeout=30.0)
    assert process.returncode == 1 and not out
    assert ("failed" if whom == "its child" else "interrupted") in errors and "has ended" in errors
    assert gone(child)
    kept = json.loads(path.read_text(encoding="utf-8"))
    assert kept["complete"] is False and kept["ended"].startswith(
        "failed" if whom == "its child" else "interrupted"
    )
    (row,) = kept["rows"]
    assert row["partial"] is True and row["members"] == 5 and row["bytes_out"] > 0


def test_played_to_the_end_the_file_is_complete(tmp_path: Path) -> None:
    path = tmp_path / "out.json"
    process = run("--members", "5", "--quick", "--json", str(path))
    out, errors = process.communicate(timeout=60.0)
    assert process.returncode == 0, errors
    kept = json.loads(path.read_text(encoding="utf-8"))
    assert kept["complete"] is True and kept["form"] == "simulated" and len(kept["rows"]) == 1
    assert "partial" not in kept["rows"][0] and out.split("\n")[1].split()[0] == "5"
    assert kept["command"] == f"python -m snowwick.lab.scale --members 5 --quick --json {path}"
    assert set(kept["machine"]) == {"cores", "memory_bytes", "python"}
    assert set(kept["workload"]) == {one.name for one in fields(Workload)}
