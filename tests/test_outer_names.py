"""Names that leave the process are still written or read under that name.

A rename inside the program must not reach client lines, settings, files, log fields or figures.  The names
stand in outer_names.json by where they are used, with the sources that hold them.  A name counts as kept
where these sources hold it as a text, as the name of a class or of a class's field, as a function or a
parameter that is called by name, or as a named argument (the fields of a log event).
"""

from __future__ import annotations

import ast
import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

ROOT = Path(__file__).parent.parent
PLACES: dict[str, Any] = json.loads((ROOT / "tests/outer_names.json").read_text(encoding="utf-8"))


def words(text: str) -> Iterator[str]:
    """A text as it is, and each word of it, with hyphens and without."""
    yield text
    yield from re.findall(r"[A-Za-z_][\w-]*", text)
    yield from re.findall(r"[A-Za-z_]\w*", text)


def outer_names(tree: ast.AST) -> Iterator[str]:
    """Names under which a source can write or read something outside the process."""
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        match node:
            case ast.Constant(value=str() as text) if id(node) not in docstrings:
                yield from words(text)
            case ast.Constant(value=bytes() as data):
                yield from words(data.decode("latin-1").strip())
            case ast.keyword(arg=str() as name) | ast.arg(arg=name) | ast.FunctionDef(name=name):
                yield name
            case ast.ClassDef(name=name, body=body):
                yield name
                for one in body:
                    if isinstance(one, ast.AnnAssign) and isinstance(one.target, ast.Name):
                        yield one.target.id


def held_by(source: str) -> set[str]:
    paths = [ROOT / source] if source.endswith(".py") else sorted((ROOT / source).rglob("*.py"))
    return {name for path in paths for name in outer_names(ast.parse(path.read_text(encoding="utf-8")))}


@pytest.mark.parametrize("place", PLACES)
def test_names_that_leave_the_process_are_kept(place: str) -> None:
    held = set[str]().union(*(held_by(source) for source in PLACES[place]["sources"]))
    assert [name for name in PLACES[place]["names"] if name not in held] == []
