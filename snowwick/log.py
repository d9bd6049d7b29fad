"""The log on standard error, limited in rate so that a flood of events causes no flood of writes.

Writes never block: what a full pipe does not accept at once is dropped and counted.

Each event has a name and fields. The text format prints one line per event for people. The JSON format (with
python-json-logger, imported only if used) prints one object per line; docs/operators/logging.md defines its
names, which must not change.
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

MAX_LINES_PER_S = 100.0  # sustained rate
MAX_BURST_LINES = 500.0


class Style(Protocol):
    """Formats an event as a line."""

    def __call__(self, event: str, text: str, fields: dict[str, Any]) -> str: ...


def as_text(event: str, text: str, fields: dict[str, Any]) -> str:
    """The text format: the line is the text itself."""
    return text


def as_json(balancer: str = "", now: Callable[[], float] = time.time) -> Style:
    """Return a style that prints one JSON object per line.

    The object has ``time`` (in Unix seconds), ``balancer``, ``event`` and then the event's fields.
    """
    import logging

    from pythonjsonlogger.json import JsonFormatter

    formatter = JsonFormatter(json_default=str)

    def style(event: str, text: str, fields: dict[str, Any]) -> str:
        record = logging.makeLogRecord(
            {"msg": {"time": round(now(), 3), "balancer": balancer, "event": event, **fields}}
        )
        # The formatter adds the record's own message, which is empty if a mapping was logged.
        record.message = ""
        return str(formatter.format(record))

    return style


def blocking_descriptor(sink: IO[str]) -> int | None:
    """Return the file descriptor of a sink whose writes may block (pipe, socket, terminal), else None."""
    try:
        descriptor = sink.fileno()
        mode = os.fstat(descriptor).st_mode
    except (OSError, ValueError, AttributeError):
        return None
    return descriptor if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode) or stat.S_ISCHR(mode) else None


class Log:
    """Writes events at a limited rate, counts the lines left out and logs their number."""

    def __init__(
        self, clock: Callable[[], float] = time.monotonic, sink: IO[str] | None = None, style: Style = as_text
    ) -> None:
        self.clock, self.sink, self.style = clock, sink if sink is not None else sys.stderr, style
        self.budget_lines, self.budget_updated_at, self.left_out_count = MAX_BURST_LINES, clock(), 0
        self.descriptor, self.poller = blocking_descriptor(self.sink), select.poll()
        if self.descriptor is not None:
            self.poller.register(self.descriptor, select.POLLOUT)

    def event(self, name: str, template: str, /, **fields: Any) -> None:
        """Log ``name`` with its fields; ``template`` (as for str.format) is the text format's line."""
        now = self.clock()
        self.budget_lines = min(
            MAX_BURST_LINES, self.budget_lines + MAX_LINES_PER_S * (now - self.budget_updated_at)
        )
        self.budget_updated_at = now
        if self.budget_lines < 1.0:
            self.left_out_count += 1
            return
        self.budget_lines -= 1.0
        text = self.style(name, template.format_map(fields).rstrip(), fields)
        if self.left_out_count:
            text = self._left_out_line() + text
        if self._write(text + "\n"):
            self.left_out_count = 0
        else:
            self.left_out_count += 1  # a failing log must neither end nor block the process

    def close(self) -> None:
        """Write the number of lines left out since the last line, if that is possible without blocking."""
        if self.left_out_count and self._write(self._left_out_line()):
            self.left_out_count = 0

    def _left_out_line(self) -> str:
        return (
            self.style(
                "log-left-out", f"log: {self.left_out_count} lines left out", {"count": self.left_out_count}
            )
            + "\n"
        )

    def _write(self, text: str) -> bool:
        """Write without blocking and return whether it succeeded.

        A pipe that polls as writable accepts PIPE_BUF bytes at once; longer texts are truncated to that.
        """
        if self.descriptor is None:
            with contextlib.suppress(OSError):
                print(text, end="", file=self.sink, flush=True)
                return True
            return False
        data = text.encode(errors="replace")
        if len(data) > select.PIPE_BUF:
            data = data[: select.PIPE_BUF - 1] + b"\n"
        with contextlib.suppress(OSError):
            return any(events == select.POLLOUT for _, events in self.poller.poll(0)) and os.write(
                self.descriptor, data
            ) == len(data)
        return False
