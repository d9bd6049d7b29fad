"""The slopes of the data path: rows at small sizes, refusals, and what is left after an interrupt."""

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

KEYS = {"connections", "memory", "pss", "line_s", "line_reference", "setup_s", "lines", "lines_a_second"}


def begin(*words: str, folder: Path) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "snowwick.lab.data_path", *words],
        cwd=ROOT,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        env={**os.environ, "TMPDIR": str(folder)},
    )


def until(condition: Callable[[], bool], patience: float = 20.0) -> None:
    end = time.monotonic() + patience
    while not condition():
        assert time.monotonic() < end, "the condition does not hold"
        time.sleep(0.01)


def sane(row: dict[str, Any], connections: int) -> None:
    assert set(row) == KEYS and row["connections"] == connections
    assert 10e6 < row["pss"] <= row["memory"] < 200e6
    assert 5e-6 < row["line_s"] < 5e-3 and 2.0 < row["line_reference"] < 2000.0
    assert 20e-6 < row["setup_s"] < 50e-3
    assert row["lines"] > 300 and row["lines_a_second"] == 1000.0


def test_rows_of_small_sizes_are_sane(tmp_path: Path) -> None:
    file = tmp_path / "rows.json"
    run = begin("--json", str(file), "--sizes", "20,40", "--quick", folder=tmp_path)
    out, errors = run.communicate(timeout=60)
    assert (run.returncode, errors) == (0, ""), out
    told = json.loads(file.read_text())
    assert set(told) == {"form", "command", "date", "machine", "rows", "complete", "ended"}
    assert told["form"] == "data-path" and told["complete"] is True and told["ended"] == ""
    assert told["command"] == "python -m snowwick.lab.data_path --json FILE --sizes 20,40 --quick"
    assert set(told["machine"]) == {"cores", "memory_bytes", "python"}
    for row, connections in zip(told["rows"], (20, 40), strict=True):
        sane(row, connections)
    assert len(out.splitlines()) == 3
    assert [path.name for path in tmp_path.iterdir()] == ["rows.json"]


def test_size_that_does_not_fit_is_refused_in_one_line(tmp_path: Path) -> None:
    file = tmp_path / "rows.json"
    run = begin("--json", str(file), "--sizes", "20,100000000", folder=tmp_path)
    out, errors = run.communicate(timeout=60)
    descriptors, memory = data_path.most()
    assert (run.returncode, out) == (2, "") and not file.exists()
    assert len(errors.splitlines()) == 1
    assert f"descriptors allow {descriptors}" in errors and f"memory allows {memory}" in errors


def test_interrupt_keeps_the_rows_and_leaves_no_process(tmp_path: Path) -> None:
    file, folder = tmp_path / "rows.json", tmp_path / "temporary"
    folder.mkdir()
    run = begin("--json", str(file), "--sizes", "20,800", "--quick", folder=folder)
    children = Path(f"/proc/{run.pid}/task/{run.pid}/children")
    seen: list[int] = []

    def another() -> bool:
        """Has it started a process that was not seen before?"""
        assert run.poll() is None
        fresh = [pid for pid in map(int, children.read_text().split()) if pid not in seen]
        seen.extend(fresh)
        return bool(fresh)

    try:
        until(another)
        until(another)
        assert len(json.loads(file.read_text())["rows"]) == 1  # written before the second program starts
        run.send_signal(signal.SIGINT)
        out, errors = run.communicate(timeout=10)
    finally:
        run.kill()
        run.wait()
    assert (run.returncode, errors) == (1, "data_path: interrupted\n"), out
    told = json.loads(file.read_text())
    assert told["complete"] is False and told["ended"] == "interrupted"
    (row,) = told["rows"]
    sane(row, 20)
    assert not [pid for pid in seen if Path(f"/proc/{pid}").exists()]
    assert not list(folder.iterdir())


def test_program_that_dies_is_a_failure_and_no_row(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    def die(standing: ProgramUnderLoad, size: int) -> tuple[float, float]:
        standing.open_connections(size)
        standing.process.kill()
        standing.process.wait()
        return 0.001, 1.0

    file = tmp_path / "rows.json"
    monkeypatch.setattr(data_path, "open_all", die)
    monkeypatch.setattr(sys, "argv", ["data_path", "--json", str(file), "--sizes", "8", "--quick"])
    handlers = [signal.getsignal(number) for number in (signal.SIGINT, signal.SIGTERM)]
    try:
        assert data_path.main() == 1
    finally:
        for number, handler in zip((signal.SIGINT, signal.SIGTERM), handlers, strict=True):
            signal.signal(number, handler)
    told = json.loads(file.read_text())
    assert told["complete"] is False and told["rows"] == [] and told["ended"]
    assert capsys.readouterr().err == f"data_path: {told['ended']}\n"


def test_lines_are_counted_both_ways_and_none_is_lost(tmp_path: Path) -> None:
    with start_program(tmp_path / "one", 16, destination_count=2) as standing:
        standing.open_connections(10)
        standing.open_connections(6)
        assert len(standing.destination_sockets) == len(standing.clients) == 16
        standing.exchange_lines(40)
        standing.send_unrequested_lines(30)
        standing.wait_for_all_lines()
        assert (
            standing.lines_sent,
            standing.lines_answered,
            standing.lines_delivered,
            standing.lines_received,
        ) == (40, 40, 30, 70)
        standing.lines_received -= 1
        with pytest.raises(AssertionError, match="70 lines sent, 69 came back"):
            standing.wait_for_all_lines(0.1)
        pid = standing.process.pid
    assert not Path(f"/proc/{pid}").exists()
