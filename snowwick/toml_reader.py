"""Reading operators' TOML files: every fault is collected, each with its full key path.

Imports msgspec; the program loads it only where such a file is given.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

NAME = re.compile(r"[A-Za-z0-9_.-]{1,64}")

T = TypeVar("T")


class TomlReader:
    """Collects the faults of a file."""

    def __init__(self) -> None:
        self.faults: list[str] = []

    def add_fault(self, path: str, text: str) -> None:
        self.faults.append(f"{path}: {text}")

    def parse(self, text: str, keys: set[str]) -> dict[str, Any]:
        """The file's top table, where it is TOML of version 1; else the fault is in ``faults``, alone."""
        try:
            raw = tomllib.loads(text)
        except tomllib.TOMLDecodeError as error:
            self.faults = [f"not TOML: {error}"]
            return {}
        if raw.get("version") != 1 or isinstance(raw.get("version"), bool):
            self.faults = [
                f"version: must be 1, not {raw.get('version')!r}"
                if "version" in raw
                else "version: is missing"
            ]
            return {}
        for key in raw.keys() - keys - {"version"}:
            self.add_fault(key, "unknown key")
        for path, number in numbers(raw):
            if not math.isfinite(number):
                self.add_fault(path, f"must be a finite number, not {number}")
        return raw

    def read_struct(self, path: str, raw: Any, kind: type[T]) -> T | None:
        """A table as that struct; None, with the fault kept, where it is not one."""
        try:
            return msgspec.convert(raw, kind)
        except msgspec.ValidationError as error:
            text, _, where = str(error).partition(" - at `$")
            keys = [path, *(a or b for a, b in re.findall(r"\.([^.`\[]+)|\[(\d+)\]", where))]
            missing = re.search(r"(?:unknown|required) field `([^`]+)`", text)
            if missing:
                keys.append(missing.group(1))
                text = "unknown key" if "unknown" in text else "is missing"
            self.add_fault(".".join(filter(None, keys)), text[:1].lower() + text[1:])
            return None

    def read_table(self, raw: dict[str, Any], path: str, required: bool = False) -> dict[str, Any]:
        """The table at the path's last key, with names for keys."""
        value = raw.get(path.rpartition(".")[2], None if required else {})
        if not isinstance(value, dict):
            self.add_fault(path, "must be a table" if value is not None else "is missing")
            return {}
        for name in value:
            if not NAME.fullmatch(name):
                self.add_fault(f"{path}.{name!r}", "not a name of letters, digits, '_', '.', '-'")
        return value


def numbers(raw: Any, path: str = "") -> Iterator[tuple[str, float]]:
    """All floats of a parsed file by their key paths."""
    rows = raw.items() if isinstance(raw, dict) else enumerate(raw) if isinstance(raw, list) else ()
    for key, value in rows:
        where = f"{path}.{key}" if path else str(key)
        if isinstance(value, float):
            yield where, value
        yield from numbers(value, where)
