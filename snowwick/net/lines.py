"""The line protocol as pure functions: splitting, parsing and formatting lines, without I/O."""

from __future__ import annotations

import re
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from enum import Enum

MAX_LINE_BYTES = 4096  # including the line end
LINE_END = b"\r\n"
# Commands to the balancer and to destinations, without their line end
PING = b"PING"
STATS = b"STATS"
# Lines to clients, with their line end
PONG = b"PONG\r\n"
MOVE = b"MOVE\r\n"
ERR = b"ERR\r\n"
NO = b"NO\r\n"
_UP_LINE = re.compile(rb"UP [ -~]*[!-~]\r\n")
_WORD = re.compile(r"[!-~]+")
_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_.-]{0,31}")
# Formats of the known values; an opening line may have others, which are not checked
_VALUE_FORMATS = {
    "d": re.compile(r"\d{1,10}"),
    "r": re.compile(r"[01]"),
    "again": re.compile(r"[01]"),
    "h": re.compile(r"\d{1,12}(\.\d{1,12})?([eE][-+]?\d{1,2})?"),
}
_REPORT_FIELD = re.compile(rb"[a-z][a-z0-9_]{0,31}")
_REPORT_NUMBER = re.compile(rb"\d{1,12}(\.\d{1,12})?([eE]-?\d{1,2})?")
MAX_REPORT_BYTES = 512
# Names of the values of an opening line that the balancer reads
VALUES_READ = ("c", "t", "g", "at", "d")
MAX_NAME_LENGTH = 128  # characters of an id, key or group; limits the memory per client
MAX_WAIT_FACTOR = 2.0  # a client's wait may be at most this many times the deadline of its class


class MalformedLine(Exception):
    """The input is not a valid line of this protocol; the message says why."""


class Reply(Enum):
    """The kind of a line from a destination, by its first word."""

    UP = "up"
    BYE = "bye"
    MOVE = "move"
    ERR = "err"
    BUSY = "busy"
    LOAD = "load"
    OTHER = "other"


@dataclass(slots=True, frozen=True)
class Opening:
    """A parsed opening line, the first line of a client's request.

    It is kept as long as the connection, so the values that the balancer does not read, of which a line may
    have hundreds, are kept as text only.
    """

    id: str
    key: str
    values: dict[str, str]  # those in VALUES_READ
    before_wait: bytes  # the line up to the value of ``d``
    after_wait: bytes  # the line after the value of ``d``, with its end

    @property
    def wait_ms(self) -> int | None:
        """How long the client waits for the answer, if the line says so."""
        return int(self.values["d"]) if "d" in self.values else None

    def with_wait(self, wait_ms: float) -> bytes:
        """Format the opening line for a destination: as the client sent it, with another value of ``d``.

        Destinations accept no other change. The place of the value is known from the parsing, since an id and
        a key may hold any text, including text that looks like a value.
        """
        return self.before_wait + b"%d" % max(1, int(wait_ms)) + self.after_wait


def take_lines(buffer: bytearray) -> bytes:
    """Remove all whole lines from the buffer; raises MalformedLine if a line is longer than the limit."""
    end = buffer.rfind(b"\n") + 1
    taken = bytes(buffer[:end])
    del buffer[:end]
    if len(buffer) >= MAX_LINE_BYTES or (
        end > MAX_LINE_BYTES and max(map(len, taken.split(b"\n"))) >= MAX_LINE_BYTES
    ):
        raise MalformedLine("line too long")
    return taken


def split_lines(data: bytes) -> list[bytes]:
    """Split relayed data into its lines, without the LF that ends each; the last one may have had none.

    ``bytes.splitlines`` would also split at a CR in the text of a line.
    """
    pieces = data.split(b"\n")
    if not pieces[-1]:
        pieces.pop()
    return pieces


def take_line(buffer: bytearray) -> bytes | None:
    """Remove one whole line from the buffer, or return None; raises MalformedLine if it is too long."""
    end = buffer.find(b"\n", 0, MAX_LINE_BYTES) + 1
    if not end:
        if len(buffer) >= MAX_LINE_BYTES:
            raise MalformedLine("line too long")
        return None
    line = bytes(buffer[:end])
    del buffer[:end]
    return line


def parse_opening(line: bytes) -> Opening:
    """Parse ``OPEN ID KEY name=value,...``; raises MalformedLine.

    Only lines are accepted that ``Opening.with_wait`` formats again byte for byte, except for ``d``.
    """
    if not line.endswith(LINE_END):
        raise MalformedLine("opening line does not end in CRLF")
    try:
        words = line[:-2].decode("ascii").split(" ")
    except UnicodeDecodeError as error:
        raise MalformedLine("opening line is not ASCII") from error
    if len(words) != 4 or words[0] != "OPEN" or not all(_WORD.fullmatch(word) for word in words):
        raise MalformedLine("opening line is not OPEN ID KEY VALUES")
    if max(len(words[1]), len(words[2])) > MAX_NAME_LENGTH:
        raise MalformedLine("id or key is too long")
    values: dict[str, str] = {}
    pairs = words[3].split(",")
    for pair in pairs:
        name, equals, value = pair.partition("=")
        if not _NAME.fullmatch(name) or not equals or not value or name in values:
            raise MalformedLine("opening line has a value that is not name=value, or has one twice")
        if name in _VALUE_FORMATS and not _VALUE_FORMATS[name].fullmatch(value):
            raise MalformedLine(f"value of {name} has an invalid format")
        values[name] = value
    if max(len(values.get("g", "")), len(values.get("at", ""))) > MAX_NAME_LENGTH:
        raise MalformedLine("value of g or at is too long")
    if "d" not in values:
        pairs.append("d=")
    wait_index = pairs.index(f"d={values.get('d', '')}")
    return Opening(
        words[1],
        words[2],
        {name: values[name] for name in VALUES_READ if name in values},
        before_wait=f"OPEN {words[1]} {words[2]} {','.join([*pairs[:wait_index], 'd='])}".encode("ascii"),
        after_wait="".join(f",{pair}" for pair in pairs[wait_index + 1 :]).encode("ascii") + LINE_END,
    )


def check_opening(opening: Opening, deadlines: Mapping[str, float], tenants: Collection[str]) -> None:
    """Raise MalformedLine for an opening line that no correct client sends.

    Destinations would reject such a line, and their rejections would count as failures of the destinations.
    ``deadlines`` holds the deadline of each class in ms. The wait of a resumed connection (``at``) is not
    limited.
    """
    values = opening.values
    deadline = deadlines.get(values.get("c", ""))
    if deadline is None:
        raise MalformedLine("c does not name a class of the settings")
    if tenants and values.get("t") not in tenants:
        raise MalformedLine("t does not name a tenant of the settings")
    if opening.wait_ms is None:
        raise MalformedLine("value d is missing")
    if "at" not in values and opening.wait_ms > MAX_WAIT_FACTOR * deadline:
        raise MalformedLine("value of d is too long for the deadline of the class")


def busy_line(retry_after_ms: float = 0.0) -> bytes:
    """Format a busy reply with its retry delay, which is left out below 1 ms."""
    return b"BUSY %d\r\n" % round(retry_after_ms) if retry_after_ms >= 1.0 else b"BUSY\r\n"


def is_up_line(line: bytes) -> bool:
    """Whether the line is a well-formed ``UP RECEIPT``; a truncated or garbled one must not count as UP."""
    return _UP_LINE.fullmatch(line) is not None


def parse_load(line: bytes) -> float | None:
    """Parse the number of a ``LOAD X`` line; returns None if it is invalid."""
    try:
        load = float(line[5:]) if line.startswith(b"LOAD ") else -1.0
    except ValueError:
        return None
    return load if 0.0 <= load < 1e12 else None


def parse_report(text: bytes) -> dict[str, float] | None:
    """Parse a load report such as ``queue=2,x0=0.61``; returns None if it is invalid.

    A negative, non-numeric or duplicate value invalidates the whole report, because the other values of such
    a server cannot be trusted either.
    """
    values: dict[str, float] = {}
    if len(text) > MAX_REPORT_BYTES:
        return None
    for pair in text.split(b","):
        name, equals, value = pair.partition(b"=")
        if (
            not (equals and _REPORT_FIELD.fullmatch(name) and _REPORT_NUMBER.fullmatch(value))
            or name.decode() in values
        ):
            return None
        values[name.decode()] = float(value)
    return values


def reply_kind(line: bytes) -> Reply:
    """Classify a line from a destination."""
    word = line.rstrip(b"\r\n").split(b" ", 1)[0]
    try:
        return Reply(word.decode("ascii").lower()) if word.isupper() else Reply.OTHER
    except (UnicodeDecodeError, ValueError):
        return Reply.OTHER
