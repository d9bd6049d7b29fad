"""The Python example in README.md runs and prints the expected line."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out == "connect request 1, at most 600 ms\n"
