"""The log on standard error, at a bounded rate: a flood of events must not become a flood of writes.

Every event has a name and fields.  As text it is one line for people; as JSON (python-json-logger, loaded
only then) one object a line, whose names docs/operators/logging.md promises to keep.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import IO, Any, Protocol

RATE, BURST = 100.0, 500.0  # lines a second in the long run, and at once


class Style(Protocol):
    """How an event becomes a line."""

    def __call__(self, event: str, text: str, fields: dict[str, Any]) -> str: ...


def as_text(event: str, text: str, fields: dict[str, Any]) -> str:
    return text


def as_json(balancer: str = "", now: Callable[[], float] = time.time) -> Style:
    """One JSON object a line: ``time`` (Unix seconds), ``balancer``, ``event``, then the event's fields."""
    import logging

    from pythonjsonlogger.json import JsonFormatter

    formatter = JsonFormatter(json_default=str)

    def style(event: str, text: str, fields: dict[str, Any]) -> str:
        record = logging.makeLogRecord({"msg": {
            "time": round(now(), 3), "balancer": balancer, "event": event, **fields}})
        # The formatter adds the record's own message, which is empty where a mapping was logged.
        record.message = ""
        return str(formatter.format(record))

    return style


class Log:
    """Prints events while the budget lasts, then counts what it left out and says so."""

    def __init__(self, clock: Callable[[], float] = time.monotonic, sink: IO[str] | None = None,
                 style: Style = as_text) -> None:
        self.clock, self.sink, self.style = clock, sink, style
        self.budget, self.at, self.left_out = BURST, clock(), 0

    def event(self, name: str, template: str, /, **fields: Any) -> None:
        """Log ``name`` with its fields; ``template`` (as for str.format) makes the line for people."""
        now = self.clock()
        self.budget = min(BURST, self.budget + RATE * (now - self.at))
        self.at = now
        if self.budget < 1.0:
            self.left_out += 1
            return
        self.budget -= 1.0
        text = self.style(name, template.format_map(fields).rstrip(), fields)
        if self.left_out:
            left, self.left_out = {"count": self.left_out}, 0
            text = self.style("log-left-out", f"log: {left['count']} lines left out", left) + "\n" + text
        try:
            print(text, file=self.sink or sys.stderr, flush=True)
        except OSError:
            self.left_out += 1  # a log that cannot be written must not end the program
