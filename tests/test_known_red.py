"""Tests of the ``known_red`` plugin: only listed tests may fail, and they are reported."""

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


def run_suite(folder: Path, list_text: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run pytest with the plugin on SUITE in a separate folder; ``list_text`` is that of KNOWN-RED.txt."""
    (folder / "tests").mkdir()
    (folder / "tests" / "test_some.py").write_text(SUITE)
    (folder / "KNOWN-RED.txt").write_text(list_text)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    environment = {**os.environ, "PYTHONPATH": str(Path(__file__).parent)}
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "known_red", "-p", "no:cacheprovider", *arguments],
        cwd=folder,
        env=environment,
        text=True,
        capture_output=True,
        timeout=60.0,
    )


BAD_LINE = "tests/test_some.py::test_bad" + CAUSE
EACH_LINE = "tests/test_some.py::test_each[2]" + CAUSE


def test_listed_tests_may_fail_and_are_reported(tmp_path: Path) -> None:
    result = run_suite(tmp_path, BAD_LINE + "\n" + EACH_LINE)
    assert result.returncode == 0, result.stdout
    assert (
        result.stdout.count("KNOWN RED") == 2 and "test_bad: a fault (issue 7): still fails" in result.stdout
    )
    assert "2 passed, 2 xfailed" in result.stdout


@pytest.mark.parametrize(
    "list_text,arguments,message",
    [
        (BAD_LINE, (), "1 failed"),  # a failing test that is not listed fails the run
        (
            BAD_LINE + EACH_LINE + "tests/test_some.py::test_gone" + CAUSE,
            (),
            "no such test: tests/test_some.py::test_gone",
        ),
        (BAD_LINE + EACH_LINE + "tests/test_other.py::test_gone" + CAUSE, (), "no such test"),
        (
            BAD_LINE + EACH_LINE + "tests/test_some.py::test_each" + CAUSE,
            ("tests/test_some.py",),
            "no such test",
        ),
        (
            BAD_LINE + EACH_LINE + EACH_LINE.replace("2", "1") + EACH_LINE.replace("2", "3"),
            (),
            "lists 4 tests, at most 3 are allowed",
        ),
        (BAD_LINE + EACH_LINE + BAD_LINE, (), "listed twice: tests/test_some.py::test_bad"),
        ("tests/test_some.py::test_bad\n", (), "not TEST | CAUSE | ISSUE"),
    ],
    ids=[
        "not listed",
        "no such test",
        "no such file",
        "no such parameter",
        "too many",
        "listed twice",
        "without a cause",
    ],
)
def test_other_failures_and_invalid_lists_fail_the_run(
    tmp_path: Path, list_text: str, arguments: tuple[str, ...], message: str
) -> None:
    result = run_suite(tmp_path, list_text, *arguments)
    assert result.returncode != 0 and message in result.stdout + result.stderr


def test_listed_test_that_passes_is_reported(tmp_path: Path) -> None:
    result = run_suite(tmp_path, BAD_LINE + EACH_LINE + "tests/test_some.py::test_good" + CAUSE)
    assert (
        result.returncode == 0
        and "test_good: a fault (issue 7): passes now: take it out of the list" in result.stdout
    )
