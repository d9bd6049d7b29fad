"""Reads operators' TOML files and collects every fault with its full key path.

This module needs msgspec, so the program imports it only if such a file is given.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

NAME_PATTERN = re.compile(r"[A-Za-z0-9_.-]{1,64}")

T = TypeVar("T")


class TomlReader:
    """Reads one file.

    A path is a full key path, such as ``teams.x.pool``.  ``faults`` holds one line per fault, which starts
    with the path of the key if the fault is at a key.
    """

    def __init__(self) -> None:
        self.faults: list[str] = []

    def add_fault(self, path: str, text: str) -> None:
        self.faults.append(f"{path}: {text}")

    def parse(self, text: str, keys: set[str]) -> dict[str, Any]:
        """The top-level table of a file, whose keys may be ``version`` and ``keys``.

        If the text is not TOML or its version is not 1, the table is empty and this is the only fault.
        """
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
        for path, number in float_values(raw):
            if not math.isfinite(number):
                self.add_fault(path, f"must be a finite number, not {number}")
        return raw

    def read_struct(self, path: str, raw: Any, struct: type[T]) -> T | None:
        """Convert a table to a struct; adds a fault and returns None if the table does not fit."""
        try:
            return msgspec.convert(raw, struct)
        except msgspec.ValidationError as error:
            # msgspec writes a message like "Expected `int` - at `$.guarantee.connections`".
            message, _, location = str(error).partition(" - at `$")
            keys = [path, *(key or index for key, index in re.findall(r"\.([^.`\[]+)|\[(\d+)\]", location))]
            field = re.search(r"(?:unknown|required) field `([^`]+)`", message)
            if field:
                keys.append(field.group(1))
                message = "unknown key" if "unknown" in message else "is missing"
            self.add_fault(".".join(filter(None, keys)), message[:1].lower() + message[1:])
            return None

    def read_table(self, raw: dict[str, Any], path: str, required: bool = False) -> dict[str, Any]:
        """The table under the last key of ``path``, whose keys have to be names; empty if it is missing.

        Adds a fault for each invalid name, for a value that is no table, and for a missing required table.
        """
        value = raw.get(path.rpartition(".")[2], None if required else {})
        if not isinstance(value, dict):
            self.add_fault(path, "must be a table" if value is not None else "is missing")
            return {}
        for name in value:
            if not NAME_PATTERN.fullmatch(name):
                self.add_fault(f"{path}.{name!r}", "not a name of letters, digits, '_', '.', '-'")
        return value


def float_values(raw: Any, path: str = "") -> Iterator[tuple[str, float]]:
    """All floats of a parsed file, as (key path, number)."""
    items = raw.items() if isinstance(raw, dict) else enumerate(raw) if isinstance(raw, list) else ()
    for key, value in items:
        value_path = f"{path}.{key}" if path else str(key)
        if isinstance(value, float):
            yield value_path, value
        yield from float_values(value, value_path)
