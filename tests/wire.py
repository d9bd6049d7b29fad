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
import fcntl
import fnmatch
import io
import select
import socket
import struct
import termios
import time
from collections.abc import Callable
from typing import Any

from snowwick.broker.contract import Contracts, parse
from snowwick.config import Config, check
from snowwick.log import Log
from snowwick.net.loop import Loop
from snowwick.net.service import Service

PATIENCE = 5.0  # s of real time in which an expected thing must come; only a failing test uses it up
SETTINGS = {
    "classes": [{"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": "read_like"}],
    "limits": {"mostTries": 3, "connectTimeout": 250.0, "retryAfter": True, "maxRetryAfter": 600.0},
    "familyInfo": {"groups": True, "messageAim": [50.0]},
    "registryMode": "on_request",
    "tenants": [{"name": "n"}],
}


def listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def address(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


def unread(sock: Any) -> int:
    """How many bytes lie in a socket."""
    count = struct.pack("i", 0)
    return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, count))[0])


def shows(done: Callable[[], bool]) -> None:
    """Wait until the system has carried something over; on loopback too that need not be at once."""
    end = time.monotonic() + PATIENCE
    while not done():
        assert time.monotonic() < end, "it did not show"


class Before:
    """A socket, or the loop's epoll, with something that happens once, just before one of its calls.

    So a test puts bytes where a turn has already looked, or into a socket as it is shut: an instant is
    forced, not hoped for.
    """

    def __init__(self, real: Any, call: str, happens: Callable[[], object]) -> None:
        self.real, self.call, self.happens = real, call, [happens]

    def __getattr__(self, name: str) -> Any:
        if name == self.call and self.happens:
            self.happens.pop()()
        return getattr(self.real, name)


class After(Before):
    """The same, just after a call of the epoll has looked."""

    def poll(self, timeout: float | None = None) -> Any:
        found = self.real.poll(timeout)
        if self.happens:
            self.happens.pop()()
        return found


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
        raw = {
            "name": "b",
            "listen": "127.0.0.1:0",
            "discovery": address(self.discovery),
            "settings": SETTINGS,
            "known": {
                "version": 1,
                "full": True,
                "servers": [self.server(name, self.servers) for name in ("s-1", "s-2")],
            },
        }
        self.setup, self.contracts = {**raw, **changes}, contracts
        self.service = Service(
            self.config(self.setup),
            Loop(log, self.clock),
            reload_config=lambda: self.config(self.setup),
            contracts=self.read_contracts if contracts else None,
        )
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
        self.loop.run_once(0.001)
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

    def other_end(self, who: str) -> Any:
        """The balancer's socket at the other end of one of the world's."""
        name = self.socks[who].getsockname()
        for actor in self.loop.actors:
            sock = getattr(actor, "sock", None)
            with contextlib.suppress(OSError, AttributeError):
                if sock is not None and sock.getpeername() == name:
                    return sock
        raise AssertionError(f"{who} has no other end")

    def put(self, who: str, line: str) -> None:
        """Have a line lie in the balancer's socket, without a turn of the loop."""
        sock, data = self.other_end(who), line.encode() + b"\r\n"
        before = unread(sock)
        self.socks[who].sendall(data)
        shows(lambda: unread(sock) >= before + len(data))

    def leave(self, who: str, reset: bool = False) -> None:
        """Have the end, or a reset, of a connection show at the balancer's socket, without a turn."""
        sock, mine = self.other_end(who), self.socks.pop(who)
        if reset:
            mine.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        mine.close()
        ended = select.poll()
        ended.register(sock.fileno(), select.POLLRDHUP)
        shows(lambda: bool(ended.poll(0)))

    def before(self, holder: Any, call: str, happens: Callable[[], object]) -> None:
        """Have something happen just before that call on an actor's socket."""
        holder.sock = Before(holder.sock, call, happens)

    def after_look(self, happens: Callable[[], object]) -> None:
        """Have something happen in the next turn between its look at the sockets and what it resumes."""
        self.loop.epoll = After(self.loop.epoll, "", happens)  # type: ignore[assignment]

    def first(self, actor: Any) -> None:
        """Have that actor resumed before all others in each turn from now on."""
        real, fd = self.loop.epoll, actor.sock.fileno()

        class First(Before):
            def poll(self, timeout: float | None = None) -> Any:
                return sorted(real.poll(timeout), key=lambda row: row[0] != fd)

        self.loop.epoll = First(real, "", lambda: None)  # type: ignore[assignment]

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
                left = left[self.socks[who].send(left) :]
            self.loop.run_once(0.001)

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
        self.until(lambda: self.called_now(who))

    def called_now(self, who: str) -> bool:
        """Take a call that has come by now, the latest where several connections wait; was there one?"""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.meet(who, self.pools[who].accept()[0])
                self.turn()
        if b"\r\n\r\n" not in self.got.get(who, b""):
            return False
        self.calls.append(f"{who} {self.got[who].split()[1].decode()}")
        self.got[who].clear()
        return True

    def leave_call(self, who: str, reset: bool) -> None:
        """Discovery ends a connection without an answer."""
        if reset:
            self.reset(who, "")
        else:
            self.close_(who, "")

    def drip(self, who: str, data: bytes) -> None:
        """Some more of an answer, as far as it is still wanted."""
        with contextlib.suppress(OSError):
            self.socks[who].send(data)

    def answer(self, who: str, what: str) -> None:
        self.called(who)
        self.answer_call(who, what)

    def answer_call(self, who: str, what: str) -> None:
        """Answer the call that was taken."""
        status, body = ("503 Busy", "") if what == "fail" else ("200 OK", what)
        self.socks[who].sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        self.settle()
