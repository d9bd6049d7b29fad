"""The line protocol as pure functions: cutting, reading and writing lines, no sockets."""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

MAX_LINE_BYTES = 4096  # bytes, the line's end included
LINE_END = b"\r\n"
PING, STATS, PONG, MOVE, ERR, NO = b"PING", b"STATS", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n", b"NO\r\n"
_WAIT_VALUE = re.compile(rb"(?<=[ ,])d=\d+(?=,|\r\n$)")
_UP_LINE = re.compile(rb"UP [ -~]*[!-~]\r\n")
_WORD = re.compile(r"[!-~]+")
_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_.-]{0,31}")
_VALUE_FORMATS = {  # of the values whose meaning is known; further ones may follow under other names
    "d": re.compile(r"\d{1,10}"),
    "r": re.compile(r"[01]"),
    "again": re.compile(r"[01]"),
    "h": re.compile(r"\d{1,12}(\.\d{1,12})?([eE][-+]?\d{1,2})?"),
}
_REPORT_FIELD, _REPORT_NUMBER = (
    re.compile(rb"[a-z][a-z0-9_]{0,31}"),
    re.compile(rb"\d{1,12}(\.\d{1,12})?([eE]-?\d{1,2})?"),
)
MAX_REPORT_BYTES = 512  # bytes
MAX_NAME_LENGTH = 128  # of an id, a key or a group: what is kept of a client must stay small
MAX_WAIT_FACTOR = 2.0  # times its class's deadline that a client may say it waits


class MalformedLine(Exception):
    """The bytes are no line of this protocol; the text says why."""


class Reply(Enum):
    """What a destination's line says of the step."""

    UP = "up"
    BYE = "bye"
    MOVE = "move"
    ERR = "err"
    BUSY = "busy"
    LOAD = "load"
    OTHER = "other"


@dataclass(slots=True, frozen=True)
class Opening:
    """A client's first line."""

    line: bytes
    id: str
    key: str
    values: dict[str, str] = field(default_factory=dict)

    @property
    def wait_ms(self) -> int | None:
        return int(self.values["d"]) if "d" in self.values else None


def take_lines(buffer: bytearray) -> bytes:
    """Take all whole lines off the front of the buffer; what is left must still fit into a line."""
    end = buffer.rfind(b"\n") + 1
    taken = bytes(buffer[:end])
    del buffer[:end]
    if len(buffer) >= MAX_LINE_BYTES or (
        end > MAX_LINE_BYTES and max(map(len, taken.split(b"\n"))) >= MAX_LINE_BYTES
    ):
        raise MalformedLine("line too long")
    return taken


def take_line(buffer: bytearray) -> bytes | None:
    """Take one whole line off the front of the buffer."""
    end = buffer.find(b"\n", 0, MAX_LINE_BYTES) + 1
    if not end:
        if len(buffer) >= MAX_LINE_BYTES:
            raise MalformedLine("line too long")
        return None
    line = bytes(buffer[:end])
    del buffer[:end]
    return line


def parse_opening(line: bytes) -> Opening:
    """Read ``OPEN ID KEY name=value,...``."""
    if not line.endswith(LINE_END):
        raise MalformedLine("line does not end in CRLF")
    try:
        words = line[:-2].decode("ascii").split(" ")
    except UnicodeDecodeError as error:
        raise MalformedLine("not ASCII") from error
    if len(words) != 4 or words[0] != "OPEN" or not all(_WORD.fullmatch(word) for word in words):
        raise MalformedLine("not OPEN ID KEY VALUES")
    if max(len(words[1]), len(words[2])) > MAX_NAME_LENGTH:
        raise MalformedLine("id or key too long")
    values: dict[str, str] = {}
    for pair in words[3].split(","):
        name, equals, value = pair.partition("=")
        if not _NAME.fullmatch(name) or not equals or not value or name in values:
            raise MalformedLine("values are not name=value, each once")
        if name in _VALUE_FORMATS and not _VALUE_FORMATS[name].fullmatch(value):
            raise MalformedLine(f"{name} is not in its form")
        values[name] = value
    if max(len(values.get("g", "")), len(values.get("at", ""))) > MAX_NAME_LENGTH:
        raise MalformedLine("g or at too long")
    return Opening(line, words[1], words[2], values)


def check_opening(opening: Opening, deadlines: Mapping[str, float], tenants: Collection[str]) -> None:
    """Raise Garbled for what no usual client sends.

    Guards against destinations that turn it away and would then seem to be in trouble.  ``deadlines`` holds
    the ms of each class.  A connection that is kept may wait as long as it likes.
    """
    values = opening.values
    deadline = deadlines.get(values.get("c", ""))
    if deadline is None:
        raise MalformedLine("no class of the settings")
    if tenants and values.get("t") not in tenants:
        raise MalformedLine("no tenant of the settings")
    if opening.wait_ms is None:
        raise MalformedLine("d is missing")
    if "at" not in values and opening.wait_ms > MAX_WAIT_FACTOR * deadline:
        raise MalformedLine("d is longer than any client waits")


def with_wait(line: bytes, wait_ms: float) -> bytes:
    """The same line but for the value of ``d``: destinations accept no other change."""
    return _WAIT_VALUE.sub(b"d=%d" % max(1, int(wait_ms)), line, count=1)


def busy_line(retry_after_ms: float = 0.0) -> bytes:
    """The busy reply, with when to come back."""
    return b"BUSY %d\r\n" % round(retry_after_ms) if retry_after_ms >= 1.0 else b"BUSY\r\n"


def is_up_line(line: bytes) -> bool:
    """Is it ``UP RECEIPT`` as a destination writes it?  A spoilt one must not count as served."""
    return _UP_LINE.fullmatch(line) is not None


def parse_load(line: bytes) -> float | None:
    """The figure of a ``LOAD X`` line."""
    try:
        figure = float(line[5:]) if line.startswith(b"LOAD ") else -1.0
    except ValueError:
        return None
    return figure if 0.0 <= figure < 1e12 else None


def parse_report(text: bytes) -> dict[str, float] | None:
    """The figures of a load report, ``queue=2,x0=0.61``; None where it is not in its form.

    Strict: a figure that is negative, no number or comes twice spoils the report, since a server that tells
    nonsense once may have meant anything by the rest.
    """
    figures: dict[str, float] = {}
    if len(text) > MAX_REPORT_BYTES:
        return None
    for pair in text.split(b","):
        name, equals, value = pair.partition(b"=")
        if (
            not (equals and _REPORT_FIELD.fullmatch(name) and _REPORT_NUMBER.fullmatch(value))
            or name.decode() in figures
        ):
            return None
        figures[name.decode()] = float(value)
    return figures


def reply_kind(line: bytes) -> Reply:
    """What a destination's line says."""
    word = line.rstrip(b"\r\n").split(b" ", 1)[0]
    try:
        return Reply(word.decode("ascii").lower()) if word.isupper() else Reply.OTHER
    except (UnicodeDecodeError, ValueError):
        return Reply.OTHER
