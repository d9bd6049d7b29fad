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

MAX_WAIT_S = 5.0  # s of real time in which an expected thing must come; only a failing test uses it up
SETTINGS = {
    "classes": [{"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": "read_like"}],
    "limits": {"mostTries": 3, "connectTimeout": 250.0, "retryAfter": True, "maxRetryAfter": 600.0},
    "familyInfo": {"groups": True, "messageAim": [50.0]},
    "registryMode": "on_request",
    "tenants": [{"name": "n"}],
}


def open_listener() -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def address_of(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


def unread_bytes(sock: Any) -> int:
    """How many bytes lie in a socket."""
    count = struct.pack("i", 0)
    return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, count))[0])


def wait_until(done: Callable[[], bool]) -> None:
    """Wait until the system has carried something over; on loopback too that need not be at once."""
    end = time.monotonic() + MAX_WAIT_S
    while not done():
        assert time.monotonic() < end, "it did not show"


class CallHook:
    """A socket, or the loop's epoll, with something that happens once, just before one of its calls.

    So a test puts bytes where a turn has already looked, or into a socket as it is shut: an instant is
    forced, not hoped for.
    """

    def __init__(self, real: Any, call: str, action: Callable[[], object]) -> None:
        self.wrapped, self.hooked_call, self.pending_actions = real, call, [action]

    def __getattr__(self, name: str) -> Any:
        if name == self.hooked_call and self.pending_actions:
            self.pending_actions.pop()()
        return getattr(self.wrapped, name)


class PollHook(CallHook):
    """The same, just after a call of the epoll has looked."""

    def poll(self, timeout: float | None = None) -> Any:
        found = self.wrapped.poll(timeout)
        if self.pending_actions:
            self.pending_actions.pop()()
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
        self.clock, self.destination_listener, self.discovery_listener = (
            Clock(),
            open_listener(),
            open_listener(),
        )
        self.discovery_listeners = {"pool": self.discovery_listener, "pool2": open_listener()}
        self.discovery_calls: list[str] = []
        self.sockets: dict[str, socket.socket] = {}
        self.received: dict[str, bytearray] = {}
        self.closed: set[str] = set()
        self.destination_connections = 0
        self.log_output = io.StringIO()
        log = Log(self.clock, self.log_output)
        raw = {
            "name": "b",
            "listen": "127.0.0.1:0",
            "discovery": address_of(self.discovery_listener),
            "settings": SETTINGS,
            "known": {
                "version": 1,
                "full": True,
                "servers": [self.list_entry(name, self.destination_listener) for name in ("s-1", "s-2")],
            },
        }
        self.raw_config, self.contracts_text = {**raw, **changes}, contracts
        self.service = Service(
            self.config(self.raw_config),
            Loop(log, self.clock),
            reload_config=lambda: self.config(self.raw_config),
            contracts=self.read_contracts if contracts else None,
        )
        self.loop = self.service.loop
        self.service.start()

    def read_contracts(self) -> Contracts:
        tenants = [one["name"] for one in self.raw_config["settings"]["tenants"]]
        return parse(self.contracts_text, ["feed"], tenants)

    @staticmethod
    def config(raw: dict[str, Any]) -> Config:
        return check(raw)

    @staticmethod
    def list_entry(
        name: str, sock: socket.socket, state: str = "in_service", kind: str = ""
    ) -> dict[str, Any]:
        return {"id": name, "addr": address_of(sock), "state": state, "kind": kind}

    def close(self) -> None:
        self.loop.close()
        for sock in [
            *self.sockets.values(),
            self.destination_listener,
            *self.discovery_listeners.values(),
            self.service.listener,
        ]:
            sock.close()

    def play(self, text: str) -> None:
        """Play a scenario; a step that fails names itself."""
        for step in filter(None, map(str.strip, text.splitlines())):
            name, verb, argument = [*step.split(" ", 2), "", ""][:3]
            try:
                if name == "wait":
                    self.wait(float(verb))
                elif name in self.discovery_listeners:
                    self.answer_next_call(name, step.partition(" ")[2])
                else:
                    getattr(self, "close_" if verb == "close" else verb)(name, argument)
            except AssertionError as error:
                raise AssertionError(
                    f"{step!r}: {error}; got {bytes(self.received.get(name, b''))!r}"
                ) from None

    def run_turn(self) -> None:
        """One turn of the balancer's loop, then whatever has come in at the other ends."""
        self.loop.run_once(0.001)
        try:
            self.destination_connections += 1
            self.add_socket(f"d{self.destination_connections}", self.destination_listener.accept()[0])
        except BlockingIOError:
            self.destination_connections -= 1
        for name, sock in self.sockets.items():
            try:
                data = sock.recv(65536) if name not in self.closed else b"."
                self.received[name] += data if name not in self.closed else b""
                if not data:
                    self.closed.add(name)
            except BlockingIOError:
                pass
            except ConnectionError:
                self.closed.add(name)

    def add_socket(self, name: str, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sockets[name], self.received[name] = sock, bytearray()
        self.closed.discard(name)

    def balancer_socket(self, name: str) -> Any:
        """The balancer's socket at the other end of one of the world's."""
        local_address = self.sockets[name].getsockname()
        for actor in self.loop.actors:
            sock = getattr(actor, "sock", None)
            with contextlib.suppress(OSError, AttributeError):
                if sock is not None and sock.getpeername() == local_address:
                    return sock
        raise AssertionError(f"{name} has no other end")

    def put_unread(self, name: str, line: str) -> None:
        """Have a line lie in the balancer's socket, without a turn of the loop."""
        sock, data = self.balancer_socket(name), line.encode() + b"\r\n"
        before = unread_bytes(sock)
        self.sockets[name].sendall(data)
        wait_until(lambda: unread_bytes(sock) >= before + len(data))

    def close_unread(self, name: str, reset: bool = False) -> None:
        """Have the end, or a reset, of a connection show at the balancer's socket, without a turn."""
        sock, mine = self.balancer_socket(name), self.sockets.pop(name)
        if reset:
            mine.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        mine.close()
        ended = select.poll()
        ended.register(sock.fileno(), select.POLLRDHUP)
        wait_until(lambda: bool(ended.poll(0)))

    def call_before(self, holder: Any, call: str, action: Callable[[], object]) -> None:
        """Have something happen just before that call on an actor's socket."""
        holder.sock = CallHook(holder.sock, call, action)

    def call_after_poll(self, action: Callable[[], object]) -> None:
        """Have something happen in the next turn between its look at the sockets and what it resumes."""
        self.loop.epoll = PollHook(self.loop.epoll, "", action)  # type: ignore[assignment]

    def resume_first(self, actor: Any) -> None:
        """Have that actor resumed before all others in each turn from now on."""
        real, fd = self.loop.epoll, actor.sock.fileno()

        class First(CallHook):
            def poll(self, timeout: float | None = None) -> Any:
                return sorted(real.poll(timeout), key=lambda row: row[0] != fd)

        self.loop.epoll = First(real, "", lambda: None)  # type: ignore[assignment]

    def run_until(self, done: Any) -> None:
        end = time.monotonic() + MAX_WAIT_S
        while not done():
            assert time.monotonic() < end, "it did not come"
            self.run_turn()

    def run_turns(self) -> None:
        for _ in range(20):
            self.run_turn()

    def wait(self, ms: float) -> None:
        self.run_turns()
        self.clock.now += ms / 1000.0
        self.run_turns()

    def send(self, name: str, text: str) -> None:
        self.part(name, text + "\r\n")

    def raw(self, name: str, expression: str) -> None:
        """An expression, for lines too long to write out; who sends reads nothing before the end."""
        self.part(name, "")
        left = memoryview(eval(expression).encode() + b"\r\n")
        while left and name not in self.closed:
            with contextlib.suppress(BlockingIOError):
                left = left[self.sockets[name].send(left) :]
            self.loop.run_once(0.001)

    def part(self, name: str, text: str) -> None:
        """The beginning of a line."""
        if name not in self.sockets:
            self.add_socket(name, socket.create_connection(self.service.listener.getsockname()))
        self.sockets[name].sendall(text.encode())

    def expect(self, name: str, pattern: str) -> None:
        self.run_until(lambda: b"\n" in self.received.get(name, b""))
        line, _, rest = bytes(self.received[name]).partition(b"\r\n")
        assert fnmatch.fnmatchcase(line.decode(), pattern), "another line"
        self.received[name] = bytearray(rest)

    def quiet(self, name: str, _: str) -> None:
        self.run_turns()
        assert not self.received.get(name) and name not in self.closed, "something came"

    def end(self, name: str, _: str) -> None:
        self.run_until(lambda: name in self.closed)
        assert not self.received[name], "a line before the end"

    def close_(self, name: str, _: str) -> None:
        self.closed.add(name)
        self.sockets[name].close()

    def reset(self, name: str, _: str) -> None:
        self.sockets[name].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_(name, "")

    def take_call(self, name: str) -> None:
        """Take the balancer's call to that discovery."""
        self.run_until(lambda: self.try_take_call(name))

    def try_take_call(self, name: str) -> bool:
        """Take a call that has come by now, the latest where several connections wait; was there one?"""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.add_socket(name, self.discovery_listeners[name].accept()[0])
                self.run_turn()
        if b"\r\n\r\n" not in self.received.get(name, b""):
            return False
        self.discovery_calls.append(f"{name} {self.received[name].split()[1].decode()}")
        self.received[name].clear()
        return True

    def close_call(self, name: str, reset: bool) -> None:
        """Discovery ends a connection without an answer."""
        if reset:
            self.reset(name, "")
        else:
            self.close_(name, "")

    def send_if_open(self, name: str, data: bytes) -> None:
        """Some more of an answer, as far as it is still wanted."""
        with contextlib.suppress(OSError):
            self.sockets[name].send(data)

    def answer_next_call(self, name: str, body_or_fail: str) -> None:
        self.take_call(name)
        self.answer_call(name, body_or_fail)

    def answer_call(self, name: str, body_or_fail: str) -> None:
        """Answer the call that was taken."""
        status, body = ("503 Busy", "") if body_or_fail == "fail" else ("200 OK", body_or_fail)
        self.sockets[name].sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        self.run_turns()
