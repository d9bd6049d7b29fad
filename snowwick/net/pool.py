"""The pool config: discovery's list of destinations, watched over HTTP."""

from __future__ import annotations

import json
import socket
from collections.abc import Callable, Generator
from hashlib import blake2b
from typing import Any

import h11

from crowgap import interface as i
from snowwick.net.loop import READ, TIME, Actor, Loop, Steps, Wait
from snowwick.net.peer import CHUNK, connect, prepare

WATCH = 5.0  # s that a watch may wait for news
ANSWER = 2.0  # s beyond that for the call itself
STATES = {"in_service": i.State.READY, "terminating": i.State.DRAINING, "terminated": i.State.GONE}
MAX_BODY = 4 << 20


class CallFailed(Exception):
    """The call brought no usable list; the text says why."""


class WatchPool:
    """To the pool: watch for changes from now on."""


def number_of(name: str) -> int:
    """The module takes numbers and hashes them: the same name must be the same number everywhere."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


def parse_address(text: str) -> tuple[str, int]:
    """Read HOST:PORT; raises ValueError."""
    host, _, port = text.rpartition(":")
    if not host or not port.isascii() or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host, int(port)


class PoolConfig:
    """The list as it stands: its version, and where each destination is."""

    def __init__(self, left_out: Callable[[str], None]) -> None:
        self.left_out, self.version = left_out, 0
        self.addresses: dict[int, tuple[str, int]] = {}

    def take(self, message: Any, kind: i.ListKind | None = None) -> i.ListUpdate:
        """Apply a list in discovery's form; raises CallFailed, and then nothing has changed."""
        try:
            version, full = int(message["version"]), bool(message.get("full", False))
            servers = message["servers"]
            if not isinstance(servers, list):
                raise TypeError("servers is no list")
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise CallFailed(f"unusable list: {type(error).__name__} {error}") from error
        rows = []
        for one in servers:
            try:
                rows.append((parse_address(one["addr"]), self._entry(one)))
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                # One entry that cannot be read must not hide the news of all the others.
                self.left_out(f"pool config: entry left out: {type(error).__name__} {error}")
        self.version = version
        if full:
            self.addresses = {}
        for address, entry in rows:
            if entry.state is i.State.GONE:
                self.addresses.pop(entry.backend, None)
            else:
                self.addresses[entry.backend] = address
        return i.ListUpdate(kind or (i.ListKind.FULL if full else i.ListKind.CHANGES), [e for _, e in rows])

    @staticmethod
    def _entry(one: dict[str, Any]) -> i.BackendEntry:
        return i.BackendEntry(number_of(one["id"]), STATES[one["state"]], str(one.get("zone", "")),
                              int(one.get("cell", 0)), float(one.get("weight", 1.0)),
                              float(one.get("started_ms", 0.0)))


class Pool(Actor):
    """Watches discovery while the decider wants it, and tells the decider in order what changed."""

    lasting = True

    def __init__(self, loop: Loop, address: tuple[str, int], tell: Callable[[i.ListUpdate], None]) -> None:
        super().__init__(loop)
        self.where, self.tell, self.config = address, tell, PoolConfig(loop.log.line)
        self.sock: socket.socket | None = None
        self.http: h11.Connection | None = None

    def number(self, name: str) -> int:
        return number_of(name)

    def address(self, destination: int) -> tuple[str, int] | None:
        return self.config.addresses.get(destination)

    def run(self) -> Steps:
        try:
            while True:
                if not self.mail:
                    yield Wait()
                if [m for m in self.take() if isinstance(m, WatchPool)]:
                    yield from self._watch()
        finally:
            self._hang_up()

    def _watch(self) -> Steps:
        """Call after call, each right after the last answer, until one fails; then the decider asks anew."""
        while True:
            try:
                news = self.config.take((yield from self._call()))
            except (CallFailed, OSError, ValueError, h11.ProtocolError) as error:
                self.loop.log.line(f"pool config: call failed: {type(error).__name__} {error}")
                self._hang_up()
                self.tell(i.ListUpdate(i.ListKind.FAILED))
                return
            self.tell(news)

    def _call(self) -> Generator[Wait, int, Any]:
        until = self.loop.clock() + WATCH + ANSWER
        if self.sock is None or self.http is None:
            yield from self._connect(min(until, self.loop.clock() + ANSWER))
        assert self.sock is not None and self.http is not None
        target = f"/v1/endpoints?after={self.config.version}&wait_ms={int(1000 * WATCH)}"
        host = f"{self.where[0]}:{self.where[1]}"
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
                if len(body) > MAX_BODY:
                    raise CallFailed("answer too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise CallFailed("closed without an answer")
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self._hang_up()
        if status != 200:
            raise CallFailed(f"status {status}")
        return json.loads(body)

    def _connect(self, until: float) -> Steps:
        self._hang_up()
        self.sock = prepare(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        if not (yield from connect(self, self.sock, self.where, until)):
            raise CallFailed("no connection in time")

    def _receive(self, until: float) -> Generator[Wait, int, bytes]:
        assert self.sock is not None
        while True:
            woke = yield Wait(self.sock, read=True, until=until)
            if woke & READ:
                try:
                    return self.sock.recv(CHUNK)
                except BlockingIOError:
                    continue
            if woke & TIME:
                raise CallFailed("timed out")
            self.mail.clear()  # watching already

    def _hang_up(self) -> None:
        if self.sock is not None:
            self.loop.release(self)
            self.sock.close()
        self.sock = self.http = None
