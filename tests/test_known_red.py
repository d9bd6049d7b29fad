"""The list of tests that are known to fail passes over just these, says so, and cannot hide more."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

SUITE = """
import pytest

def test_good():
    pass

def test_bad():
    assert False

@pytest.mark.parametrize("n", [1, 2])
def test_each(n):
    assert n == 1
"""
CAUSE = " | a fault | issue 7\n"


def play(folder: Path, listed: str, *words: str) -> subprocess.CompletedProcess[str]:
    """A suite of its own, run as the project's is."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_some.py").write_text(SUITE)
    (folder / "KNOWN-RED.txt").write_text(listed)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent)}
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "known_red", "-p", "no:cacheprovider", *words],
        cwd=folder,
        env=environment,
        text=True,
        capture_output=True,
        timeout=60.0,
    )


BAD = "tests/test_some.py::test_bad" + CAUSE
EACH = "tests/test_some.py::test_each[2]" + CAUSE


def test_listed_tests_are_passed_over_and_printed(tmp_path: Path) -> None:
    done = play(tmp_path, BAD + "\n" + EACH)
    assert done.returncode == 0, done.stdout
    assert done.stdout.count("KNOWN RED") == 2 and "test_bad: a fault (issue 7): still fails" in done.stdout
    assert "2 passed, 2 xfailed" in done.stdout


@pytest.mark.parametrize(
    "listed,words,said",
    [
        (BAD, (), "1 failed"),  # what is not listed fails as ever
        (
            BAD + EACH + "tests/test_some.py::test_gone" + CAUSE,
            (),
            "no such test: tests/test_some.py::test_gone",
        ),
        (BAD + EACH + "tests/test_other.py::test_gone" + CAUSE, (), "no such test"),
        (BAD + EACH + "tests/test_some.py::test_each" + CAUSE, ("tests/test_some.py",), "no such test"),
        (BAD + EACH + EACH.replace("2", "1") + EACH.replace("2", "3"), (), "names 4 tests"),
        (BAD + EACH + BAD, (), "twice"),
        ("tests/test_some.py::test_bad\n", (), "not TEST | CAUSE | ISSUE"),
    ],
    ids=["not listed", "no test", "no file", "no such parameter", "a fourth", "twice", "without a cause"],
)
def test_nothing_else_is_passed_over(tmp_path: Path, listed: str, words: tuple[str, ...], said: str) -> None:
    done = play(tmp_path, listed, *words)
    assert done.returncode != 0 and said in done.stdout + done.stderr


def test_listed_test_that_passes_is_said(tmp_path: Path) -> None:
    done = play(tmp_path, BAD + EACH + "tests/test_some.py::test_good" + CAUSE)
    assert done.returncode == 0 and "test_good: a fault (issue 7): passes now" in done.stdout
