"""The one helper of the network tests: a scenario language and the world that plays it.

A scenario is text, a step a line: WHO VERB [WHAT].  WHO is a client (``c1``), a destination's connection
(``d1``, numbered as they come in) or discovery (``pool``).  The clock stands still but for ``wait``; steps
that expect something turn the balancer's loop until it has come.

    c1 send OPEN 1 k1 d=1200,c=feed     a line; the first one connects; ``part`` leaves its end out
    d1 expect OPEN 1 k1 d=*,c=feed      the next line, ``*`` for any run of characters
    d1 close / c1 reset                 an orderly end / a reset
    c1 end                              expects the end of the connection
    c1 quiet                            expects that nothing has come
    wait 500                            moves the clock by so many ms
    pool DATA                           an answer of discovery; ``pool fail`` is a 503
    pool2 DATA                          the same from another discovery, at an address of its own
"""

from __future__ import annotations

import contextlib
import fnmatch
import io
import socket
import struct
import time
from typing import Any

from snowwick.broker.contract import Contracts, parse
from snowwick.config import Config, check
from snowwick.log import Log
from snowwick.net.loop import Loop
from snowwick.net.service import Service

PATIENCE = 5.0  # s of real time in which an expected thing must come; only a failing test uses it up
SETTINGS = {"classes": [{"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": "read_like"}],
            "limits": {"mostTries": 3, "connectTimeout": 250.0, "retryAfter": True, "maxRetryAfter": 600.0},
            "familyInfo": {"groups": True, "messageAim": [50.0]}, "registryMode": "on_request",
            "tenants": [{"name": "n"}]}


def listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def address(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


class Clock:
    """Stands still until it is moved."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class World:
    """One balancer, the destinations ``s-1`` and ``s-2`` at one address, and discovery, all in one thread."""

    def __init__(self, contracts: str = "", **changes: Any) -> None:
        """``contracts`` is the text of a contracts file; it may be replaced before a reload."""
        self.clock, self.servers, self.discovery = Clock(), listener(), listener()
        self.pools = {"pool": self.discovery, "pool2": listener()}
        self.calls: list[str] = []
        self.socks: dict[str, socket.socket] = {}
        self.got: dict[str, bytearray] = {}
        self.ended: set[str] = set()
        self.arrived = 0
        self.sink = io.StringIO()
        log = Log(self.clock, self.sink)
        raw = {"name": "b", "listen": "127.0.0.1:0", "discovery": address(self.discovery),
               "settings": SETTINGS,
               "known": {"version": 1, "full": True,
                         "servers": [self.server(name, self.servers) for name in ("s-1", "s-2")]}}
        self.setup, self.contracts = {**raw, **changes}, contracts
        self.service = Service(self.config(self.setup), Loop(log, self.clock),
                               read_again=lambda: self.config(self.setup),
                               contracts=self.read_contracts if contracts else None)
        self.loop = self.service.loop
        self.service.start()

    def read_contracts(self) -> Contracts:
        tenants = [one["name"] for one in self.setup["settings"]["tenants"]]
        return parse(self.contracts, ["feed"], tenants)

    @staticmethod
    def config(raw: dict[str, Any]) -> Config:
        return check(raw)

    @staticmethod
    def server(name: str, sock: socket.socket, state: str = "in_service", kind: str = "") -> dict[str, Any]:
        return {"id": name, "addr": address(sock), "state": state, "kind": kind}

    def close(self) -> None:
        self.loop.close()
        for sock in [*self.socks.values(), self.servers, *self.pools.values(), self.service.listener]:
            sock.close()

    def play(self, text: str) -> None:
        """Play a scenario; a step that fails names itself."""
        for step in filter(None, map(str.strip, text.splitlines())):
            who, verb, what = [*step.split(" ", 2), "", ""][:3]
            try:
                if who == "wait":
                    self.wait(float(verb))
                elif who in self.pools:
                    self.answer(who, step.partition(" ")[2])
                else:
                    getattr(self, "close_" if verb == "close" else verb)(who, what)
            except AssertionError as error:
                raise AssertionError(f"{step!r}: {error}; got {bytes(self.got.get(who, b''))!r}") from None

    def turn(self) -> None:
        """One turn of the balancer's loop, then whatever has come in at the other ends."""
        self.loop.turn(0.001)
        try:
            self.arrived += 1
            self.meet(f"d{self.arrived}", self.servers.accept()[0])
        except BlockingIOError:
            self.arrived -= 1
        for who, sock in self.socks.items():
            try:
                data = sock.recv(65536) if who not in self.ended else b"."
                self.got[who] += data if who not in self.ended else b""
                if not data:
                    self.ended.add(who)
            except BlockingIOError:
                pass
            except ConnectionError:
                self.ended.add(who)

    def meet(self, who: str, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.socks[who], self.got[who] = sock, bytearray()
        self.ended.discard(who)

    def until(self, done: Any) -> None:
        end = time.monotonic() + PATIENCE
        while not done():
            assert time.monotonic() < end, "it did not come"
            self.turn()

    def settle(self) -> None:
        for _ in range(20):
            self.turn()

    def wait(self, ms: float) -> None:
        self.settle()
        self.clock.now += ms / 1000.0
        self.settle()

    def send(self, who: str, what: str) -> None:
        self.part(who, what + "\r\n")

    def raw(self, who: str, what: str) -> None:
        """An expression, for lines too long to write out; who sends reads nothing before the end."""
        self.part(who, "")
        left = memoryview(eval(what).encode() + b"\r\n")
        while left and who not in self.ended:
            with contextlib.suppress(BlockingIOError):
                left = left[self.socks[who].send(left):]
            self.loop.turn(0.001)

    def part(self, who: str, what: str) -> None:
        """The beginning of a line."""
        if who not in self.socks:
            self.meet(who, socket.create_connection(self.service.listener.getsockname()))
        self.socks[who].sendall(what.encode())

    def expect(self, who: str, what: str) -> None:
        self.until(lambda: b"\n" in self.got.get(who, b""))
        line, _, rest = bytes(self.got[who]).partition(b"\r\n")
        assert fnmatch.fnmatchcase(line.decode(), what), "another line"
        self.got[who] = bytearray(rest)

    def quiet(self, who: str, _: str) -> None:
        self.settle()
        assert not self.got.get(who) and who not in self.ended, "something came"

    def end(self, who: str, _: str) -> None:
        self.until(lambda: who in self.ended)
        assert not self.got[who], "a line before the end"

    def close_(self, who: str, _: str) -> None:
        self.ended.add(who)
        self.socks[who].close()

    def reset(self, who: str, _: str) -> None:
        self.socks[who].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_(who, "")

    def called(self, who: str) -> None:
        """Take the balancer's call to that discovery."""
        if who not in self.socks:
            def come() -> bool:
                try:
                    self.meet(who, self.pools[who].accept()[0])
                except BlockingIOError:
                    return False
                return True
            self.until(come)
        self.until(lambda: b"\r\n\r\n" in self.got[who])
        self.calls.append(f"{who} {self.got[who].split()[1].decode()}")
        self.got[who].clear()

    def answer(self, who: str, what: str) -> None:
        self.called(who)
        status, body = ("503 Busy", "") if what == "fail" else ("200 OK", what)
        self.socks[who].sendall(
            f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        self.settle()
