"""The data path measurement: its rows at small sizes, refusals, and the cleanup after an interrupt."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from snowwick.lab import data_path
from snowwick.lab.connection_load import ProgramUnderLoad, start_program
from snowwick.lab.standins import ROOT

ROW_KEYS = {"connections", "memory", "pss", "line_s", "line_reference", "setup_s", "lines", "lines_a_second"}


def start_measurement(*arguments: str, folder: Path) -> subprocess.Popen[str]:
    """Start the command; its temporary files are in ``folder``."""
    return subprocess.Popen(
        [sys.executable, "-m", "snowwick.lab.data_path", *arguments],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "TMPDIR": str(folder)},
    )


def wait_until(condition: Callable[[], bool], timeout_s: float = 20.0) -> None:
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "the condition did not hold in time"
        time.sleep(0.01)


def assert_plausible(row: dict[str, Any], connections: int) -> None:
    assert set(row) == ROW_KEYS and row["connections"] == connections
    assert 10e6 < row["pss"] <= row["memory"] < 200e6
    assert 5e-6 < row["line_s"] < 5e-3 and 2.0 < row["line_reference"] < 2000.0
    assert 20e-6 < row["setup_s"] < 50e-3
    assert row["lines"] > 300 and row["lines_a_second"] == 1000.0


def test_rows_of_small_sizes_are_plausible(tmp_path: Path) -> None:
    file = tmp_path / "rows.json"
    process = start_measurement("--json", str(file), "--sizes", "20,40", "--quick", folder=tmp_path)
    out, errors = process.communicate(timeout=60)
    assert (process.returncode, errors) == (0, ""), out
    report = json.loads(file.read_text())
    assert set(report) == {"form", "command", "date", "machine", "rows", "complete", "ended"}
    assert report["form"] == "data-path" and report["complete"] is True and report["ended"] == ""
    assert report["command"] == "python -m snowwick.lab.data_path --json FILE --sizes 20,40 --quick"
    assert set(report["machine"]) == {"cores", "memory_bytes", "python"}
    for row, connections in zip(report["rows"], (20, 40), strict=True):
        assert_plausible(row, connections)
    assert len(out.splitlines()) == 3
    assert [path.name for path in tmp_path.iterdir()] == ["rows.json"]


def test_a_size_that_does_not_fit_is_refused_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "rows.json"
    process = start_measurement("--json", str(file), "--sizes", "20,100000000", folder=tmp_path)
    out, errors = process.communicate(timeout=60)
    by_descriptors, by_memory = data_path.connection_limits()
    assert (process.returncode, out) == (2, "") and not file.exists()
    assert len(errors.splitlines()) == 1
    assert f"descriptors allow {by_descriptors}" in errors and f"memory allows {by_memory}" in errors


def test_an_interrupt_keeps_the_rows_and_leaves_no_process(tmp_path: Path) -> None:
    file, folder = tmp_path / "rows.json", tmp_path / "temporary"
    folder.mkdir()
    process = start_measurement("--json", str(file), "--sizes", "20,800", "--quick", folder=folder)
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    seen_pids: list[int] = []

    def has_started_a_child() -> bool:
        """Whether it has started a process since the last call."""
        assert process.poll() is None
        new_pids = [pid for pid in map(int, children.read_text().split()) if pid not in seen_pids]
        seen_pids.extend(new_pids)
        return bool(new_pids)

    try:
        wait_until(has_started_a_child)
        wait_until(has_started_a_child)
        # The first row is written before the second program starts.
        assert len(json.loads(file.read_text())["rows"]) == 1
        process.send_signal(signal.SIGINT)
        out, errors = process.communicate(timeout=10)
    finally:
        process.kill()
        process.wait()
    assert (process.returncode, errors) == (1, "data_path: interrupted\n"), out
    report = json.loads(file.read_text())
    assert report["complete"] is False and report["ended"] == "interrupted"
    (row,) = report["rows"]
    assert_plausible(row, 20)
    assert not [pid for pid in seen_pids if Path(f"/proc/{pid}").exists()]
    assert not list(folder.iterdir())


def test_a_killed_program_is_reported_as_a_failure_without_a_row(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def kill_program(program: ProgramUnderLoad, size: int) -> tuple[float, float]:
        program.open_connections(size)
        program.process.kill()
        program.process.wait()
        return 0.001, 1.0

    file = tmp_path / "rows.json"
    monkeypatch.setattr(data_path, "open_all_connections", kill_program)
    monkeypatch.setattr(sys, "argv", ["data_path", "--json", str(file), "--sizes", "8", "--quick"])
    handlers = [signal.getsignal(number) for number in (signal.SIGINT, signal.SIGTERM)]
    try:
        assert data_path.main() == 1
    finally:
        for number, handler in zip((signal.SIGINT, signal.SIGTERM), handlers, strict=True):
            signal.signal(number, handler)
    report = json.loads(file.read_text())
    assert report["complete"] is False and report["rows"] == [] and report["ended"]
    assert capsys.readouterr().err == f"data_path: {report['ended']}\n"


def test_lines_are_counted_in_both_directions_and_none_is_lost(tmp_path: Path) -> None:
    with start_program(tmp_path / "one", 16, destination_count=2) as program:
        program.open_connections(10)
        program.open_connections(6)
        assert len(program.destination_sockets) == len(program.clients) == 16
        program.exchange_lines(40)
        program.send_unrequested_lines(30)
        program.wait_for_all_lines()
        assert (
            program.lines_sent,
            program.lines_answered,
            program.lines_delivered,
            program.lines_received,
        ) == (40, 40, 30, 70)
        program.lines_received -= 1
        with pytest.raises(AssertionError, match="70 lines sent, 69 received"):
            program.wait_for_all_lines(0.1)
        pid = program.process.pid
    assert not Path(f"/proc/{pid}").exists()
