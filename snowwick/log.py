"""The log on standard error, at a bounded rate: a flood of events must not become a flood of writes.

It never waits for its reader: what a full pipe does not take at once is dropped and counted.

Every event has a name and fields.  As text it is one line for people; as JSON (python-json-logger, loaded
only then) one object a line, whose names docs/operators/logging.md promises to keep.
"""

from __future__ import annotations

import contextlib
import os
import select
import stat
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
        record = logging.makeLogRecord(
            {"msg": {"time": round(now(), 3), "balancer": balancer, "event": event, **fields}}
        )
        # The formatter adds the record's own message, which is empty where a mapping was logged.
        record.message = ""
        return str(formatter.format(record))

    return style


def pipe_of(sink: IO[str]) -> int | None:
    """The descriptor behind a sink whose reader may stop: a pipe, a socket or a terminal, but no file."""
    try:
        number = sink.fileno()
        mode = os.fstat(number).st_mode
    except (OSError, ValueError, AttributeError):
        return None
    return number if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) or stat.S_ISCHR(mode) else None


class Log:
    """Prints events while the budget lasts, then counts what it left out and says so."""

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, sink: IO[str] | None = None, style: Style = as_text
    ) -> None:
        self.clock, self.sink, self.style = clock, sink if sink is not None else sys.stderr, style
        self.budget, self.at, self.left_out = BURST, clock(), 0
        self.pipe, self.room = pipe_of(self.sink), select.poll()
        if self.pipe is not None:
            self.room.register(self.pipe, select.POLLOUT)

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
            text = self._count() + text
        if self._write(text + "\n"):
            self.left_out = 0
        else:
            self.left_out += 1  # a log that cannot be written must not end the program, nor hold it up

    def close(self) -> None:
        """Say what was left out since the last line, where that can be written."""
        if self.left_out and self._write(self._count()):
            self.left_out = 0

    def _count(self) -> str:
        return (
            self.style("log-left-out", f"log: {self.left_out} lines left out", {"count": self.left_out})
            + "\n"
        )

    def _write(self, text: str) -> bool:
        """Write without waiting; False where that cannot be done.

        A pipe that polls as writable takes PIPE_BUF bytes at once; longer texts are cut to that.
        """
        if self.pipe is None:
            with contextlib.suppress(OSError):
                print(text, end="", file=self.sink, flush=True)
                return True
            return False
        data = text.encode(errors="replace")
        if len(data) > select.PIPE_BUF:
            data = data[: select.PIPE_BUF - 1] + b"\n"
        with contextlib.suppress(OSError):
            return any(events == select.POLLOUT for _, events in self.room.poll(0)) and os.write(
                self.pipe, data
            ) == len(data)
        return False
