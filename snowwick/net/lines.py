"""The line protocol as pure functions: cutting, reading and writing lines, no sockets."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

MAX_LINE = 4096  # bytes, the line's end included
END = b"\r\n"
PING, PONG, MOVE, ERR, NO = b"PING", b"PONG\r\n", b"MOVE\r\n", b"ERR\r\n", b"NO\r\n"
_WAIT = re.compile(rb"(?<=[ ,])d=\d+(?=,|\r\n$)")
_WORD = re.compile(r"[!-~]+")


class Garbled(Exception):
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


def cut(buffer: bytearray) -> bytes:
    """Take all whole lines off the front of the buffer; what is left must still fit into a line."""
    end = buffer.rfind(b"\n") + 1
    taken = bytes(buffer[:end])
    del buffer[:end]
    if len(buffer) >= MAX_LINE or (end > MAX_LINE and max(map(len, taken.split(b"\n"))) >= MAX_LINE):
        raise Garbled("line too long")
    return taken


def cut_one(buffer: bytearray) -> bytes | None:
    """Take one whole line off the front of the buffer."""
    end = buffer.find(b"\n", 0, MAX_LINE) + 1
    if not end:
        if len(buffer) >= MAX_LINE:
            raise Garbled("line too long")
        return None
    line = bytes(buffer[:end])
    del buffer[:end]
    return line


def parse_opening(line: bytes) -> Opening:
    """Read ``OPEN ID KEY name=value,...``."""
    if not line.endswith(END):
        raise Garbled("line does not end in CRLF")
    try:
        words = line[:-2].decode("ascii").split(" ")
    except UnicodeDecodeError as error:
        raise Garbled("not ASCII") from error
    if len(words) != 4 or words[0] != "OPEN" or not all(_WORD.fullmatch(word) for word in words):
        raise Garbled("not OPEN ID KEY VALUES")
    values: dict[str, str] = {}
    for pair in words[3].split(","):
        name, equals, value = pair.partition("=")
        if not name or not equals or name in values:
            raise Garbled("values are not name=value, each once")
        values[name] = value
    if "d" in values and not re.fullmatch(r"\d{1,9}", values["d"]):
        raise Garbled("d is not a number of milliseconds")
    return Opening(line, words[1], words[2], values)


def with_wait(line: bytes, wait_ms: float) -> bytes:
    """The same line but for the value of ``d``: destinations accept no other change."""
    return _WAIT.sub(b"d=%d" % max(1, int(wait_ms)), line, count=1)


def busy(retry_after_ms: float = 0.0) -> bytes:
    """The busy reply, with when to come back."""
    return b"BUSY %d\r\n" % round(retry_after_ms) if retry_after_ms >= 1.0 else b"BUSY\r\n"


def load_of(line: bytes) -> float | None:
    """The figure of a ``LOAD X`` line."""
    try:
        figure = float(line[5:]) if line.startswith(b"LOAD ") else -1.0
    except ValueError:
        return None
    return figure if 0.0 <= figure < 1e12 else None


def reply(line: bytes) -> Reply:
    """What a destination's line says."""
    word = line.rstrip(b"\r\n").split(b" ", 1)[0]
    try:
        return Reply(word.decode("ascii").lower()) if word.isupper() else Reply.OTHER
    except (UnicodeDecodeError, ValueError):
        return Reply.OTHER
