"""The scale run: the workload, the simulated form, its measurements, the limits and how a run ends."""

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


def ignore(_: object) -> None:
    """Discards progress lines and partial rows."""


# -- the workload ----------------------------------------------------------------------------------------


def test_equal_workloads_have_equal_schedules() -> None:
    workload = Workload(20)
    assert schedule(workload) == schedule(workload) != schedule(replace(workload, seed=2))
    assert [event.at for event in schedule(workload)] == sorted(event.at for event in schedule(workload))


@pytest.mark.parametrize("members", [12, 300])
def test_change_rate_is_that_of_the_fleet_and_load_rate_that_of_a_member(members: int) -> None:
    workload = Workload(members, seconds=600.0, burst_s=60.0, faults="none")
    idle, steady, burst = workload.phases()
    counts = Counter((event.kind, steady.start <= event.at < steady.end) for event in schedule(workload))
    assert abs(counts[EventKind.CHANGE, True] - 600.0 * 26_000 / 86_400) <= 1
    assert abs(counts[EventKind.CHANGE, False] - 10 * 60.0 * 26_000 / 86_400) <= 1
    assert counts[EventKind.LOAD, True] == 600 * members
    assert not [event for event in schedule(workload) if event.at < idle.end]
    assert burst.end == workload.duration_s() == 665.0


def test_each_member_writes_its_load_registers_in_rotation() -> None:
    writes = [
        event
        for event in schedule(Workload(5, faults="none"))
        if event.kind is EventKind.LOAD and event.member == 3
    ]
    assert [event.number for event in writes[:8]] == [
        (writes[0].number + n) % registers.LOAD_CHUNKS for n in range(8)
    ]


def test_restarts_and_failures_are_proportional_to_members_with_at_least_one_each() -> None:
    large = Workload(TARGET_MEMBERS, seconds=6_200.0, load_writes=0.0, faults="restarts")
    counts = Counter(event.kind for event in schedule(large))
    assert 150 <= counts[EventKind.LEAVE] <= 250  # one every 31 s
    assert 1 <= counts[EventKind.FAIL] <= 8  # 36 a day
    assert counts[EventKind.START] == counts[EventKind.LEAVE] + counts[EventKind.FAIL]
    small = Counter(event.kind for event in schedule(Workload(12, faults="restarts")))
    assert small[EventKind.LEAVE] == small[EventKind.FAIL] == 1 and small[EventKind.START] == 2
    without_faults = {event.kind for event in schedule(Workload(12, faults="none"))}
    assert without_faults <= {
        EventKind.LOAD,
        EventKind.CHANGE,
        EventKind.VERDICT,
        EventKind.VERDICT_WITHDRAWN,
        EventKind.RIGHTS,
    }


def test_a_zone_is_lost_and_restarts_and_the_regions_are_cut_for_a_minute() -> None:
    workload = Workload(12)
    times = {event.kind: event.at for event in schedule(workload)}
    assert times[EventKind.ZONE_BACK] - times[EventKind.ZONE_LOST] == workload.zone_lost_s
    assert times[EventKind.HEAL] - times[EventKind.CUT] == 60.0
    assert {workload.zone_of(n) for n in range(12)} == set(range(5))
    assert {workload.region_of(n) for n in range(12)} == {0, 1}


def test_values_have_the_configured_size_and_can_be_decoded() -> None:
    workload = Workload(12)
    assert abs(len(change_value(workload, 7)) - workload.change_bytes) <= 2
    assert registers.unpack(change_value(workload, 7), registers.Revision) is not None
    counts = [load_value(workload, 3, chunk, 1.0) for chunk in range(registers.LOAD_CHUNKS)]
    assert sorted(destination for chunk in counts for destination in chunk) == list(
        range(workload.load_destinations)
    )
    assert (
        load_value(workload, 3, 0, 1.0) == load_value(workload, 3, 0, 1.0) != load_value(workload, 3, 0, 16.0)
    )


def test_the_reference_frame_is_full_and_can_be_unsealed() -> None:
    frame = reference_frame()
    sealed = wire.seal(frame, b"r" * 32)
    assert (
        wire.MAX_FRAME_BYTES - 100 < len(sealed) <= wire.MAX_FRAME_BYTES
        and wire.unseal(sealed, [b"r" * 32]) == frame
    )
    assert 1e-6 < reference_frame_cpu_s(50, 3) < 1e-2


# -- recorders -------------------------------------------------------------------------------------------


def test_histogram_keeps_three_digits() -> None:
    histogram = DurationHistogram()
    for n in range(1, 1001):
        histogram.add(n / 100.0)
    for percentile, expected_s in ((50.0, 5.0), (99.0, 9.9), (100.0, 10.0)):
        seconds = histogram.at_percentile(percentile)
        assert seconds is not None and abs(seconds - expected_s) <= 0.002 * expected_s
    assert DurationHistogram().at_percentile(50.0) is None
    assert histogram.with_added([100.0]).at_percentile(100.0) == pytest.approx(100.0, rel=0.002)
    assert histogram.at_percentile(100.0) == pytest.approx(10.0, rel=0.002)


def test_a_true_positive_that_keeps_propagating_does_not_become_a_false_one() -> None:
    death_reports, member = DeathReports(), wire.Member("m1", "m1", 5, 2, 7)
    death_reports.record(member, True, 1.0)
    death_reports.record(member, False, 2.0)
    assert not death_reports.false_positives
    next_incarnation = wire.Member("m1", "m1", 6, 2, 7)
    death_reports.record(next_incarnation, False, 3.0)
    death_reports.record(next_incarnation, False, 4.0)
    assert death_reports.false_positives == {("m1", 7, 6): 3.0}


def joined_fleet(members: int = 6) -> SimulatedFleet:
    fleet = SimulatedFleet(Workload(members, loss=0.0))
    for name in fleet.machines:
        fleet.write_initial_registers(name)
    join_all(fleet)
    return fleet


def test_death_of_a_member_that_is_cut_off_is_a_true_positive() -> None:
    fleet = joined_fleet()
    fleet.partition(["m3"])
    fleet.run(30.0)
    assert {name for name, _, _ in fleet.death_reports.true_positives} == set(
        fleet.machines
    ) and not fleet.death_reports.false_positives
    fleet.heal()
    fleet.run(60.0, fleet.has_converged, 0.2)
    assert fleet.has_converged() and not fleet.death_reports.false_positives


def test_death_without_a_recorded_reason_is_a_false_positive() -> None:
    fleet = joined_fleet()
    Network.pause(fleet, "m3", 25.0)  # bypasses SimulatedFleet.pause, so that the pause is not recorded
    fleet.run(20.0)
    assert {name for name, _, _ in fleet.death_reports.false_positives} == {"m3"}


def test_death_of_a_member_paused_for_longer_than_the_suspicion_time_is_a_true_positive() -> None:
    fleet = joined_fleet()
    fleet.pause("m3", 25.0)
    fleet.run(20.0)
    assert {name for name, _, _ in fleet.death_reports.true_positives} == {
        "m3"
    } and not fleet.death_reports.false_positives
    assert max_suspicion_s(6, 0.2) == 3.0 < max_suspicion_s(5700, 0.2)


def test_the_node_of_a_stopped_member_is_freed_without_the_garbage_collector() -> None:
    fleet = joined_fleet()
    fleet.run(3.0)
    gc.collect()
    gc.disable()
    try:
        before = sum(isinstance(candidate, Node) for candidate in gc.get_objects())
        fleet.stop_member("m3")
        fleet.run(6.0)
        fleet.restart_member("m3")
        fleet.run(9.0)
        assert sum(isinstance(candidate, Node) for candidate in gc.get_objects()) == before
    finally:
        gc.enable()
    assert fleet.has_converged() and not fleet.death_reports.false_positives


# -- the joined fleet ------------------------------------------------------------------------------------


def member_states(network: Network) -> dict[str, object]:
    """The membership and the registers that each member holds, by member."""
    return {
        name: (
            sorted(
                (record.name, record.address, record.incarnation, record.boot, record.state)
                for record in machine.node.members.records.values()
            ),
            sorted(machine.node.members.probe_order) if network.now == 0.0 else None,
            {
                owner_name: (
                    owner.epoch,
                    owner.complete_seq,
                    owner.hash,
                    owner.size_bytes,
                    sorted(owner.seqs_ahead),
                    sorted(
                        (
                            held.entry.kind,
                            held.entry.key,
                            held.entry.seq,
                            held.entry.value,
                            held.entry.timestamp,
                        )
                        for held in owner.entries.values()
                    ),
                )
                for owner_name, owner in machine.node.store.owners.items()
            },
        )
        for name, machine in network.machines.items()
    }


def network_with_registers(seed: int) -> Network:
    network = Network(9, seed)
    for name in network.machines:
        for key in range(5):
            network.write(name, registers.LOAD, str(key), b"%d" % key)
        network.write(name, registers.LOAD, "0", b"later")
        network.write(name, registers.LOAD, "1", None)
    return network


@pytest.mark.parametrize("seed", [1, 2])
def test_join_all_gives_the_same_state_as_the_join_protocol(seed: int) -> None:
    filled_in, by_protocol = network_with_registers(seed), network_with_registers(seed)
    join_all(filled_in)
    assert filled_in.has_converged()
    by_protocol.run(60.0, by_protocol.has_converged, 0.05)
    assert by_protocol.has_converged()
    by_protocol.run(by_protocol.now + 10.0)  # until the gossip queues are empty
    for machine in filled_in.machines.values():
        assert sorted(machine.node.members.probe_order) == sorted(filled_in.machines.keys() - {machine.name})
        assert (
            not machine.node.store.gossip_queue
            and not machine.node.members.gossip_queue
            and not machine.node.take_datagrams()
        )
    for machine in by_protocol.machines.values():
        assert not machine.node.store.gossip_queue and not machine.node.members.gossip_queue
    first, second = member_states(filled_in), member_states(by_protocol)
    for name in first:
        assert first[name][0::2] == second[name][0::2]  # type: ignore[index]
    filled_in.run(20.0)
    assert filled_in.has_converged() and member_states(filled_in) == {
        name: (state[0], None, state[2])  # type: ignore[index]
        for name, state in first.items()
    }
    assert all(machine.node.caught_up for machine in filled_in.machines.values())


# -- result rows -----------------------------------------------------------------------------------------


def assert_plausible(row: ResultRow, workload: Workload) -> None:
    assert row["members"] == workload.members and row["played_s"] >= workload.duration_s()
    for phase in (row, row["burst"]):
        assert 1e3 < phase["bytes_out"] < 1e5 and 10.0 < phase["datagrams_out"] < 100.0
        # Datagrams that are lost or sent to members that are down are not received.
        assert 0.5 * phase["bytes_out"] < phase["bytes_in"] < phase["bytes_out"] * 1.01
        assert 0.0 < phase["core"] < 0.2 and phase["core"] <= phase["worst"]["core"] < 0.5
        assert phase["reference"] == pytest.approx(phase["core"] / row["reference_s"], rel=0.9)
        assert phase["changes"] > 0 and phase["changes_unfinished"] == 0
        p50, p99, worst = phase["everywhere_p50_s"], phase["everywhere_p99_s"], phase["everywhere_worst_s"]
        assert p50 is not None and p99 is not None and worst is not None and 0.0 < p50 <= p99 <= worst < 5.0
        age, lag, error = phase["load_age_p50_s"], phase["load_late_p50_s"], phase["load_error"]
        assert age is not None and lag is not None and error is not None
        assert 0.5 < age < 4.5 and lag < 0.5 and 0.0 <= error < 0.5
    assert 0.0 < row["idle_bytes_out"] < row["bytes_out"] and 0.0 < row["idle_core"] < row["core"]
    assert 0 < row["memory"] < 5e6


def test_a_row_has_plausible_values_and_started_members_catch_up() -> None:
    """Runs in a child process, as the command does: memory is correct only if no fleet ran there before."""
    lines, rows = list[str](), list[ResultRow]()
    row = scale.run_simulated(
        SMALL, lines.append, lambda partial_row: rows.append(cast(ResultRow, partial_row))
    )
    assert_plausible(row, SMALL)
    assert row["starts"] == 2 and not row["starts_unfinished"]
    assert row["start_s"] is not None and 0.0 < row["start_s"] < 5.0
    assert row["start_bytes"] is not None and row["start_bytes"] > 1000.0
    assert row["false_deaths_all"] == 0
    assert "zone_lost" not in row and "partial" not in row
    assert lines[0].startswith("process ") and lines[1].startswith("8 members joined")
    assert rows and all(partial_row["partial"] for partial_row in rows)
    json.dumps(row, allow_nan=False)


def test_two_runs_of_a_workload_give_the_same_results() -> None:
    first, second = run_workload(SMALL, ignore, ignore), run_workload(SMALL, ignore, ignore)
    for name in ("bytes_out", "datagrams_in", "everywhere_p99_s", "load_age_p99_s", "start_bytes", "start_s"):
        assert first[name] == second[name]


def test_recovery_from_a_lost_zone_and_a_region_cut_has_no_false_positives() -> None:
    workload = replace(
        SMALL, members=10, faults="all", zone_lost_s=8.0, zone_back_s=6.0, region_cut_s=15.0, heal_s=8.0
    )
    row = scale.run_simulated(workload, ignore, ignore)
    assert_plausible(row, workload)
    for phase in (row["zone_lost"], row["region_cut"]):
        assert phase["healed_s"] is not None and 0.0 <= phase["healed_s"] < 8.0
    assert row["false_deaths_all"] == 0
    error_in_cut = row["region_cut"]["load_error"]  # each region sees only its own loads
    assert error_in_cut is not None and row["load_error"] is not None and error_in_cut > row["load_error"]


# -- the command line ------------------------------------------------------------------------------------


def start_command(*words: str, ignore_sigint: bool = False) -> subprocess.Popen[str]:
    """Starts the command; ``ignore_sigint`` starts it as a shell starts a background process."""
    previous_handler = signal.signal(signal.SIGINT, signal.SIG_IGN) if ignore_sigint else None
    try:
        return subprocess.Popen(
            [sys.executable, "-m", "snowwick.lab.scale", *words],
            text=True,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
    finally:
        if previous_handler is not None:
            signal.signal(signal.SIGINT, previous_handler)


def test_a_run_over_the_limits_is_refused_in_one_line(tmp_path: Path) -> None:
    process = start_command("--members", "12,1000000", "--json", str(tmp_path / "out.json"))
    out, errors = process.communicate(timeout=30.0)
    assert process.returncode == 2 and not out and errors.count("\n") == 1
    match = re.search(r"^refused: .* at most (\d+) members would fit$", errors.strip())
    assert match is not None and 100 < int(match[1]) < 1_000_000
    assert not (tmp_path / "out.json").exists()


def test_the_size_named_in_a_refusal_fits_and_one_more_member_does_not() -> None:
    workload, seconds, available_bytes = Workload(5700), 600.0, 4 << 30
    with pytest.raises(RunRefused) as refused:
        scale.check_limits([workload], seconds, available_bytes)
    match = re.search(r"at most (\d+) members", str(refused.value))
    assert match is not None
    fitting = replace(workload, members=int(match[1]))
    scale.check_limits([fitting], seconds, available_bytes)
    with pytest.raises(RunRefused):
        scale.check_limits([replace(workload, members=fitting.members + 1)], seconds, available_bytes)
    with pytest.raises(RunRefused):
        scale.check_limits([fitting, fitting], seconds, available_bytes)  # two runs take twice as long
    doubled = replace(workload, members=2 * 5700)
    assert scale_simulated.estimate_bytes(doubled) > 2 * scale_simulated.estimate_bytes(workload)


def test_a_missing_real_form_is_refused(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(scale, "REAL_FORM_MODULE", "snowwick.lab.no_such_form")
    with pytest.raises(SystemExit) as ended:
        scale.main(["real"])
    assert ended.value.code == 2 and capsys.readouterr().err == "refused: the real form is not available\n"


def test_every_field_of_the_workload_has_a_flag_that_overrides_quick() -> None:
    _, (first, second) = scale.parse(["--quick"])
    assert (first.members, second.members, first.seconds) == (6, 12, scale.QUICK_SETTINGS["seconds"])
    for setting in fields(Workload):
        if setting.name not in ("members", "faults"):
            _, (workload,) = scale.parse(
                ["--quick", "--members", "9", f"--{setting.name.replace('_', '-')}", "3"]
            )
            assert getattr(workload, setting.name) == 3 and workload.members == 9


def test_the_help_describes_every_field_of_the_workload(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as ended:
        scale.main(["--help"])
    output = " ".join(capsys.readouterr().out.split())
    assert ended.value.code == 0
    for setting in fields(Workload):
        text = f"{setting.metadata.get('help', '')} (default {setting.default})".strip()
        assert setting.name == "members" or text in output


def has_exited(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return True
    return False


@pytest.mark.parametrize("target", ["the command", "the command in the background", "its child"])
def test_an_interrupted_or_failed_run_ends_its_child_and_keeps_its_results(
    target: str, tmp_path: Path
) -> None:
    path = tmp_path / "out.json"
    process = start_command(
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
        ignore_sigint="background" in target,
    )
    assert process.stderr is not None
    child = 0
    for line in process.stderr:
        match = re.match(r"process (\d+) runs 5 members", line)
        child = int(match[1]) if match is not None else child
        if "steady" in line:
            break
    assert child and not has_exited(child)
    if target != "its child":
        process.send_signal(signal.SIGINT)
    else:
        os.kill(child, signal.SIGKILL)
    out, errors = process.communicate(timeout=30.0)
    assert process.returncode == 1 and not out
    assert ("failed" if target == "its child" else "interrupted") in errors and "has ended" in errors
    assert has_exited(child)
    result = json.loads(path.read_text(encoding="utf-8"))
    assert result["complete"] is False and result["ended"].startswith(
        "failed" if target == "its child" else "interrupted"
    )
    (row,) = result["rows"]
    assert row["partial"] is True and row["members"] == 5 and row["bytes_out"] > 0


def test_the_file_of_a_completed_run_is_complete(tmp_path: Path) -> None:
    path = tmp_path / "out.json"
    process = start_command("--members", "5", "--quick", "--json", str(path))
    out, errors = process.communicate(timeout=60.0)
    assert process.returncode == 0, errors
    result = json.loads(path.read_text(encoding="utf-8"))
    assert result["complete"] is True and result["form"] == "simulated" and len(result["rows"]) == 1
    assert "partial" not in result["rows"][0] and out.split("\n")[1].split()[0] == "5"
    assert result["command"] == f"python -m snowwick.lab.scale --members 5 --quick --json {path}"
    assert set(result["machine"]) == {"cores", "memory_bytes", "python"}
    assert set(result["workload"]) == {setting.name for setting in fields(Workload)}
