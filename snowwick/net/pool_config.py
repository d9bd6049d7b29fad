"""Discovery's list as the balancer holds it: reading its entries, and applying whole lists and changes."""

from __future__ import annotations

import math
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from crowgap import interface
from snowwick.broker.pools import Labels

# The module's state for each state in discovery's list
STATES = {
    "in_service": interface.State.READY,
    "terminating": interface.State.DRAINING,
    "terminated": interface.State.GONE,
}
# Exceptions that reading a malformed list may raise
READ_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class CallFailed(Exception):
    """The call returned no usable list; the message says why."""


def destination_number(name: str) -> int:
    """Return the number by which the decision module identifies and hashes the destination of this name.

    Every balancer derives the same number from the same name.
    """
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def parse_address(text: str) -> tuple[str, int]:
    """Parse HOST:PORT. Raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def finite_number(value: Any) -> float:
    """Convert to a finite float. Raises ValueError for NaN and infinity, which the JSON parser accepts."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not finite")
    return number


def version_of(message: Any) -> int:
    """Return the version of a list in discovery's format. Raises CallFailed."""
    try:
        return int(message["version"])
    except READ_ERRORS as error:
        raise CallFailed(f"unusable list: {type(error).__name__} {error}") from error


class PoolConfig:
    """Discovery's list as last applied: its version and the entry of each destination."""

    def __init__(self, on_entry_left_out: Callable[[str], None]) -> None:
        self.on_entry_left_out, self.version = on_entry_left_out, 0
        # Errors in the entries of the list that was refused last; empty once a list has been applied
        self.refused_errors: list[str] = []
        # By destination number
        self.addresses: dict[int, tuple[str, int]] = {}
        self.labels: dict[int, Labels] = {}  # decide to which pool a destination is assigned
        self.entries: dict[int, interface.BackendEntry] = {}

    def apply(self, message: Any, kind: interface.ListKind | None = None) -> interface.ListUpdate:
        """Apply a list in discovery's format. Raises CallFailed and then changes nothing.

        ``kind`` says how to apply the list; by default, its field ``full`` says whether it is the whole list
        or only changes.

        A list with an unreadable entry is refused once, since an entry damaged in transit is correct the next
        time. If the next list has the same errors, its unreadable entries are left out, so that they do not
        block changes of other destinations. The destination of a left-out entry keeps its last known entry.
        A restored list is never refused for its entries.
        """
        version = version_of(message)
        try:
            full = kind is not None or bool(message.get("full", False))
            servers = message["servers"]
            if not isinstance(servers, list):
                raise TypeError("servers must be a list")
        except READ_ERRORS as error:
            raise CallFailed(f"unusable list: {type(error).__name__} {error}") from error
        rows, errors, unreadable_numbers = [], list[str](), list[int]()
        for server in servers:
            try:
                rows.append((parse_address(server["addr"]), self._entry(server), self._labels(server)))
            except READ_ERRORS as error:
                errors.append(f"{type(error).__name__} {error}")
                if isinstance(server, dict) and isinstance(server.get("id"), str):
                    unreadable_numbers.append(destination_number(server["id"]))
        if errors and errors != self.refused_errors and kind is not interface.ListKind.RESTORED:
            self.refused_errors = errors
            raise CallFailed(f"{len(errors)} unreadable entries, the first: {errors[0]}")
        for error_text in errors:
            self.on_entry_left_out(error_text)
        rows += [
            (self.addresses[number], self.entries[number], self.labels[number])
            for number in unreadable_numbers
            if full and number in self.entries
        ]
        self.version, self.refused_errors = version, []
        if full:
            self.addresses = {}
            self.labels = {}
            self.entries = {}
        for address, entry, labels in rows:
            if entry.state is interface.State.GONE:
                for table in (self.addresses, self.labels, self.entries):
                    table.pop(entry.backend, None)
            else:
                self.addresses[entry.backend], self.labels[entry.backend] = address, labels
                self.entries[entry.backend] = entry
        kind = kind or (interface.ListKind.FULL if full else interface.ListKind.CHANGES)
        return interface.ListUpdate(kind, [entry for _, entry, _ in rows])

    @staticmethod
    def _labels(server: dict[str, Any]) -> Labels:
        return Labels(str(server.get("kind", "")), str(server.get("zone", "")), str(server.get("cell", "")))

    @staticmethod
    def _entry(server: dict[str, Any]) -> interface.BackendEntry:
        return interface.BackendEntry(
            destination_number(server["id"]),
            STATES[server["state"]],
            str(server.get("zone", "")),
            int(server.get("cell", 0)),
            finite_number(server.get("weight", 1.0)),
            finite_number(server.get("started_ms", 0.0)),
        )
