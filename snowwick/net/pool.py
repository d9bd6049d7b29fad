"""The pool config: discovery's list of destinations, watched over HTTP."""

from __future__ import annotations

import contextlib
import json
import math
import socket
from collections.abc import Callable, Generator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import h11

from crowgap import interface as i
from snowwick.broker.pools import Labels
from snowwick.net.loop import READABLE, TIMED_OUT, WRITABLE, Actor, Coroutine, Loop, Wait
from snowwick.net.peer import READ_SIZE_BYTES, configure_socket

NEWS_DEADLINE_S = (
    6.0  # s after which the protocol counts as told whatever discovery has, whether it arrived or not
)
# What may pass until it has arrived: a watch falls silent with the news and is given up, the call on a new
# connection is refused by discovery, and after a pause the next one brings it.  The five together are TOLD.
WATCH_HOLD_S = 1.0  # s that a call may be held for news; held calls cost discovery little
WATCH_OVERDUE_S = (
    0.25  # s beyond that until a watch counts as silent; its answers come some ms after their time
)
FIRST_CALL_EXTRA_S = (
    2.125  # s more for the first call on a connection: connect and queue; longer than the 2 s after which
)
# discovery itself refuses what has waited, since what is given up sooner has cost it all the same
RETRY_PAUSE_S = 0.5  # s at most from a call that failed to the next, half of it at least: not all in step
STATES = {"in_service": i.State.READY, "terminating": i.State.DRAINING, "terminated": i.State.GONE}
POLL_INTERVAL_S = (
    0.1  # s from a call to the next where the answer has no news and does not wait for any; a watch goes
)
# on as long as the next call comes within 0.2 s of the answer
MAX_BODY_BYTES = 1 << 20  # bytes: some thousands of entries; read as JSON it takes ten times that in memory
READ_ERRORS = (
    KeyError,
    TypeError,
    ValueError,
    AttributeError,
    OverflowError,
)  # what reading a list may raise


class CallFailed(Exception):
    """The call brought no usable list; the text says why."""


class TimedOut(CallFailed):
    """Nothing came, or not all of it, in the time that the call has."""


class WatchPool:
    """To the pool: watch for changes from now on."""


@dataclass(slots=True)
class DiscoveryAddressChanged:
    """To the pool: discovery is somewhere else from now on."""

    discovery_address: tuple[str, int]


class CallSuperseded(Exception):
    """Discovery has moved while a call was out."""


def destination_number(name: str) -> int:
    """The module takes numbers and hashes them: the same name must be the same number everywhere."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def parse_address(text: str) -> tuple[str, int]:
    """Read HOST:PORT; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


def finite_number(value: Any) -> float:
    """A number that can be reckoned with: JSON as it is read here knows NaN and infinity too."""
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f"{value!r} is not finite")
    return number


def version_of(message: Any) -> int:
    """The version of a list in discovery's form; raises CallFailed."""
    try:
        return int(message["version"])
    except READ_ERRORS as error:
        raise CallFailed(f"unusable list: {type(error).__name__} {error}") from error


class PoolConfig:
    """The list as it stands: its version, and where each destination is."""

    def __init__(self, left_out: Callable[[str], None]) -> None:
        self.left_out, self.version = left_out, 0
        self.spoilt: list[str] = []  # what could not be read of the list that was refused last
        self.addresses: dict[int, tuple[str, int]] = {}
        self.labels: dict[int, Labels] = {}  # of the destinations in the list, for pools
        self.entries: dict[int, i.BackendEntry] = {}  # what the list says of them

    def apply(self, message: Any, kind: i.ListKind | None = None) -> i.ListUpdate:
        """Apply a list in discovery's form; raises CallFailed, and then nothing has changed.

        A list with an entry that cannot be read is refused once, since what is spoilt on the way comes whole
        the next time.  What comes the same again is meant so: it must not hide the news of all the others,
        nor what was known of that entry.
        """
        version = version_of(message)
        try:
            full = kind is not None or bool(message.get("full", False))
            servers = message["servers"]
            if not isinstance(servers, list):
                raise TypeError("servers is no list")
        except READ_ERRORS as error:
            raise CallFailed(f"unusable list: {type(error).__name__} {error}") from error
        rows, spoilt, kept = [], list[str](), list[int]()
        for one in servers:
            try:
                rows.append((parse_address(one["addr"]), self._entry(one), self._labels(one)))
            except READ_ERRORS as error:
                spoilt.append(f"{type(error).__name__} {error}")
                if isinstance(one, dict) and isinstance(one.get("id"), str):
                    kept.append(destination_number(one["id"]))
        if spoilt and spoilt != self.spoilt and kind is not i.ListKind.RESTORED:
            self.spoilt = spoilt
            raise CallFailed(f"{len(spoilt)} entries cannot be read: {spoilt[0]}")
        for error_text in spoilt:
            self.left_out(error_text)
        rows += [
            (self.addresses[one], self.entries[one], self.labels[one])
            for one in kept
            if full and one in self.entries
        ]
        self.version, self.spoilt = version, []
        if full:
            self.addresses, self.labels, self.entries = {}, {}, {}
        for address, entry, labels in rows:
            if entry.state is i.State.GONE:
                for table in (self.addresses, self.labels, self.entries):
                    table.pop(entry.backend, None)
            else:
                self.addresses[entry.backend], self.labels[entry.backend] = address, labels
                self.entries[entry.backend] = entry
        kind = kind or (i.ListKind.FULL if full else i.ListKind.CHANGES)
        return i.ListUpdate(kind, [entry for _, entry, _ in rows])

    @staticmethod
    def _labels(one: dict[str, Any]) -> Labels:
        return Labels(str(one.get("kind", "")), str(one.get("zone", "")), str(one.get("cell", "")))

    @staticmethod
    def _entry(one: dict[str, Any]) -> i.BackendEntry:
        return i.BackendEntry(
            destination_number(one["id"]),
            STATES[one["state"]],
            str(one.get("zone", "")),
            int(one.get("cell", 0)),
            finite_number(one.get("weight", 1.0)),
            finite_number(one.get("started_ms", 0.0)),
        )


class Pool(Actor):
    """Watches discovery while the decider wants it, and tells the decider in order what changed."""

    restart_after_fault = True

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_update: Callable[[i.ListUpdate], None],
        chance: Callable[[], float],
        grace: float | None = None,
    ) -> None:
        """``grace`` is given where lists are pushed, to an agent that answers at once with what it holds.

        What the agent holds counts as told, and nothing is sent to a destination later than ``grace``
        seconds after it was told to leave: calls come so often that half of that is left, none waits, and
        one that is not answered is soon made again, since the agent says nothing while discovery is down.
        """
        super().__init__(loop)
        self.discovery_address, self.on_update, self.config = address, on_update, PoolConfig(self._left_out)
        self.pushed = grace is not None
        self.chance = chance  # from 0 to 1: balancers that lose discovery together must not call in step
        self.watch, self.first, self.pace = WATCH_HOLD_S, FIRST_CALL_EXTRA_S, POLL_INTERVAL_S
        if grace is not None:
            self.watch, self.first, self.pace = (
                0.0,
                max(POLL_INTERVAL_S, 0.5 * grace),
                min(POLL_INTERVAL_S, 0.25 * grace),
            )
        self.sock: socket.socket | None = None
        self.http: h11.Connection | None = None
        self.full = False  # the next call asks for the whole list
        self.moved = self.failing = False

    def _left_out(self, error: str) -> None:
        self.loop.log.event("entry-left-out", "pool config: entry left out: {error}", error=error)

    def number(self, name: str) -> int:
        return destination_number(name)

    def address(self, destination: int) -> tuple[str, int] | None:
        return self.config.addresses.get(destination)

    def run(self) -> Coroutine:
        due = self.loop.clock() if self.pushed else None  # else the decider says when to begin
        try:
            while True:
                while not self.mailbox and (due is None or self.loop.clock() < due):
                    yield Wait(until=due)
                for message in self.take_messages():
                    self._heed(message)
                due = yield from self._watch()
        finally:
            self._hang_up()

    def _heed(self, message: object) -> None:
        """Act on one message; all that come here want discovery to be called."""
        if isinstance(message, DiscoveryAddressChanged):
            self._hang_up()
            self.discovery_address, self.full, self.moved = message.discovery_address, True, True

    def _watch(self) -> Generator[Wait, int, float]:
        """Call after call, each right after the last answer, until one fails; returns when to call again.

        That does not wait for the decider to ask: its waits know nothing of the protocol's bound.  A watch
        that has fallen silent is opened anew at once, any other failure has its pause.
        A version means nothing to another discovery: after a move the first call asks for the whole list.
        Nor do changes since a version that discovery has gone back behind, as after a restore: they are not
        applied, the whole list is asked for, and that holds whatever its version.
        """
        while True:
            asked, held = self.loop.clock(), self.sock is not None
            try:
                answer = yield from self._call()
                self._read_mail()
                before = self.config.version
                if not self.full and version_of(answer) < before:
                    self.loop.log.event(
                        "list-older",
                        "pool config: version {version} after {before}, asking for the whole list",
                        version=version_of(answer),
                        before=before,
                    )
                    self.full = True
                    self._hang_up()  # else a late second answer of changes might be taken for all
                    continue
                news = self.config.apply(answer, i.ListKind.FULL if self.full else None)
                self.full = self.failing = False
            except CallSuperseded:
                continue  # nothing of the old discovery is applied, its failure is no news either
            except (CallFailed, OSError, ValueError, RecursionError, h11.ProtocolError) as error:
                if not self.failing:  # a pushed list is called for several times a second
                    self.loop.log.event(
                        "discovery-failed",
                        "pool config: call failed: {error}",
                        error=f"{type(error).__name__} {error}",
                    )
                self.failing = self.pushed
                self._hang_up()
                if self.pushed:  # nobody has asked
                    return self.loop.clock() + self.pace
                self.on_update(i.ListUpdate(i.ListKind.FAILED))
                silent = held and isinstance(error, TimedOut)
                return self.loop.clock() + (0.0 if silent else RETRY_PAUSE_S * (0.5 + 0.5 * self.chance()))
            self.on_update(news)
            if self.config.version == before:
                # Guards against calls without end where the answer does not wait for news.
                if self.loop.clock() < asked + 0.5 * self.watch:
                    self._hang_up()  # no answer to this call: one that came twice
                yield from self.sleep_until(asked + self.pace)

    def _call(self) -> Generator[Wait, int, Any]:
        # Held from the first on: asked for at once and then again, all new watches cost discovery twice.
        late = self.first if self.sock is None or self.pushed else WATCH_OVERDUE_S
        until = self.loop.clock() + self.watch + late
        if self.sock is None or self.http is None:
            yield from self._connect(until)
        assert self.sock is not None and self.http is not None
        target = "/v1/endpoints"
        if not self.full:
            target += f"?after={self.config.version}&wait_ms={int(1000 * self.watch)}"
        host = f"{self.discovery_address[0]}:{self.discovery_address[1]}"
        head = h11.Request(method="GET", target=target, headers=[("Host", host)])
        out = (self.http.send(head) or b"") + (self.http.send(h11.EndOfMessage()) or b"")
        self.sock.sendall(out)
        body, status = bytearray(), 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = yield from self._receive(until)
                self.http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise CallFailed("answer too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise CallFailed("closed without an answer")
        if (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
        ):
            self.http.start_next_cycle()
        else:
            self._hang_up()  # more than one answer came: the rest must not be taken for the next call's
        if status != 200:
            raise CallFailed(f"status {status}")
        return json.loads(body)

    def _connect(self, until: float) -> Coroutine:
        self._hang_up()
        self.sock = configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        sock = self.sock
        with contextlib.suppress(BlockingIOError):
            sock.connect(self.discovery_address)
        while not (woke := (yield Wait(sock, write=True, until=until))) & WRITABLE:
            if woke & TIMED_OUT:
                raise TimedOut("no connection in time")
            self._read_mail()
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect")

    def _receive(self, until: float) -> Generator[Wait, int, bytes]:
        assert self.sock is not None
        while True:
            woke = yield Wait(self.sock, read=True, until=until)
            self._read_mail()  # first: nothing that the old discovery still says counts after a move
            if woke & READABLE:
                try:
                    return self.sock.recv(READ_SIZE_BYTES)
                except BlockingIOError:
                    continue
            if woke & TIMED_OUT:
                raise TimedOut("timed out")

    def _read_mail(self) -> None:
        """During a call: who asks to watch is served already; a new address ends the call that is out."""
        self.moved = False
        for message in self.take_messages():
            self._heed(message)
        if self.moved:
            raise CallSuperseded

    def _hang_up(self) -> None:
        if self.sock is not None:
            self.loop.unregister(self)
            self.sock.close()
        self.sock = self.http = None
