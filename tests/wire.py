"""Helper of the network tests: a small scenario language, and a balancer with peers that runs it.

A scenario is text with one step per line: NAME VERB [ARGUMENT]. NAME is a client (``c1``), a connection to a
destination (``d1``, numbered in the order of arrival) or discovery (``pool``). The clock advances only by
``wait``; steps that expect something run the balancer's loop until it has arrived.

    c1 send OPEN 1 k1 d=1200,c=feed     sends a line, after connecting; ``part`` omits the line end
    c1 raw 'x' * 9000                   sends the value of a Python expression as a line
    d1 expect OPEN 1 k1 d=*,c=feed      expects the next line; ``*`` matches any characters
    d1 close / c1 reset                 closes the connection / resets it
    c1 end                              expects the end of the connection
    c1 quiet                            expects that nothing was received
    wait 500                            advances the clock by 500 ms
    pool DATA                           answers discovery's next call; ``pool fail`` answers 503
    pool2 DATA                          the same for a second discovery, at another address
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
from typing import Any, ClassVar

from snowwick.broker.contract import Contracts, parse
from snowwick.config import Config, check
from snowwick.log import Log
from snowwick.net.loop import Loop
from snowwick.net.service import Service

MAX_WAIT_S = 5.0  # of real time, for an expected event; only a failing test waits this long
SETTINGS = {
    "classes": [{"name": "feed", "aim": 300.0, "deadline": 1200.0, "effect": "read_like"}],
    "limits": {"mostTries": 3, "connectTimeout": 250.0, "retryAfter": True, "maxRetryAfter": 600.0},
    "familyInfo": {"groups": True, "messageAim": [50.0]},
    "registryMode": "on_request",
    "tenants": [{"name": "n"}],
}


# Scenarios that others begin with: a request that waits for its answer, and an established connection
OPEN = """
    c1 send OPEN 1 k1 d=1200,c=feed,t=n,g=g1
    d1 expect OPEN 1 k1 d=*,c=feed,t=n,g=g1
"""
UP = (
    OPEN
    + """
    d1 send UP r1
    c1 expect UP r1
"""
)


def open_listener() -> socket.socket:
    """Open a non-blocking listening socket on a free loopback port."""
    sock = socket.create_server(("127.0.0.1", 0))
    sock.setblocking(False)
    return sock


def address_of(sock: socket.socket) -> str:
    """Returns the HOST:PORT of a listening socket."""
    return f"127.0.0.1:{sock.getsockname()[1]}"


def unread_bytes(sock: Any) -> int:
    """Returns the number of unread bytes in a socket's receive buffer."""
    count = struct.pack("i", 0)
    return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, count))[0])


def wait_until(done: Callable[[], bool]) -> None:
    """Wait in real time until a condition holds; even on loopback the kernel may deliver with a delay."""
    deadline = time.monotonic() + MAX_WAIT_S
    while not done():
        assert time.monotonic() < deadline, "the expected state did not occur in time"


class CallHook:
    """Wraps a socket or the loop's epoll, and runs an action once, just before one of its methods is called.

    With it a test forces a race: for example, bytes arrive after a turn has polled the socket, or while the
    socket is being shut down.
    """

    def __init__(self, wrapped: Any, hooked_call: str, action: Callable[[], object]) -> None:
        self.wrapped, self.hooked_call, self.pending_actions = wrapped, hooked_call, [action]

    def __getattr__(self, name: str) -> Any:
        if name == self.hooked_call and self.pending_actions:
            self.pending_actions.pop()()
        return getattr(self.wrapped, name)


class PollHook(CallHook):
    """Wraps the loop's epoll, and runs an action once, just after ``poll`` has returned."""

    def poll(self, timeout: float | None = None) -> Any:
        events = self.wrapped.poll(timeout)
        if self.pending_actions:
            self.pending_actions.pop()()
        return events


class Clock:
    """A clock that tests advance by hand."""

    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> float:
        return self.now


class World:
    """One balancer, the destinations ``s-1`` and ``s-2`` at one address, and discovery, all in one thread."""

    not_closed: ClassVar[set[World]] = set()

    def __init__(self, contracts_text: str = "", **config_changes: Any) -> None:
        """Start the balancer.

        ``contracts_text`` is the content of a contracts file; tests may replace it before a reload.
        ``config_changes`` replace keys of the default configuration.
        """
        self.clock = Clock()
        self.destination_listener = open_listener()
        self.discovery_listener = open_listener()
        self.discovery_listeners = {"pool": self.discovery_listener, "pool2": open_listener()}
        self.discovery_calls: list[str] = []
        self.sockets: dict[str, socket.socket] = {}
        self.received: dict[str, bytearray] = {}
        self.closed: set[str] = set()
        self.destination_connections = 0  # accepted so far; numbers their names d1, d2, ...
        self.log_output = io.StringIO()
        log = Log(self.clock, self.log_output)
        default_config = {
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
        self.raw_config, self.contracts_text = {**default_config, **config_changes}, contracts_text
        self.service = Service(
            self.config(self.raw_config),
            Loop(log, self.clock),
            reload_config=lambda: self.config(self.raw_config),
            read_contracts=self.read_contracts if contracts_text else None,
        )
        self.loop = self.service.loop
        self.not_closed.add(self)
        self.service.start()

    def read_contracts(self) -> Contracts:
        tenants = [tenant["name"] for tenant in self.raw_config["settings"]["tenants"]]
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
        self.not_closed.discard(self)
        self.loop.close()
        for sock in [
            *self.sockets.values(),
            self.destination_listener,
            *self.discovery_listeners.values(),
            self.service.listener,
        ]:
            sock.close()

    def play(self, text: str) -> None:
        """Run a scenario; the error of a failing step names the step."""
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
        """Run one turn of the balancer's loop, then accept a connection and read at the other ends."""
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
        """Track a connection under a name, in place of an earlier one."""
        sock.setblocking(False)
        self.sockets[name], self.received[name] = sock, bytearray()
        self.closed.discard(name)

    def balancer_socket(self, name: str) -> Any:
        """Returns the balancer's socket at the other end of a connection."""
        local_address = self.sockets[name].getsockname()
        for actor in self.loop.actors:
            sock = getattr(actor, "sock", None)
            with contextlib.suppress(OSError, AttributeError):
                if sock is not None and sock.getpeername() == local_address:
                    return sock
        raise AssertionError(f"the balancer has no socket for {name}")

    def put_unread(self, name: str, line: str) -> None:
        """Put a line into the receive buffer of the balancer's socket, without running the loop."""
        sock, data = self.balancer_socket(name), line.encode() + b"\r\n"
        unread_before = unread_bytes(sock)
        self.sockets[name].sendall(data)
        wait_until(lambda: unread_bytes(sock) >= unread_before + len(data))

    def close_unread(self, name: str, reset: bool = False) -> None:
        """Close or reset a connection; returns once the balancer can read its end. The loop does not run."""
        sock, peer_sock = self.balancer_socket(name), self.sockets.pop(name)
        if reset:
            peer_sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        peer_sock.close()
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLRDHUP)
        wait_until(lambda: bool(poller.poll(0)))

    def call_before(self, holder: Any, call: str, action: Callable[[], object]) -> None:
        """Run an action just before the next call of that method of an actor's socket."""
        holder.sock = CallHook(holder.sock, call, action)

    def call_after_poll(self, action: Callable[[], object]) -> None:
        """Run an action in the next turn, after the sockets are polled and before actors are resumed."""
        self.loop.epoll = PollHook(self.loop.epoll, "", action)  # type: ignore[assignment]

    def resume_first(self, actor: Any) -> None:
        """Resume this actor before all others in every following turn."""
        real_epoll, fd = self.loop.epoll, actor.sock.fileno()

        class SortingPoll(CallHook):
            def poll(self, timeout: float | None = None) -> Any:
                return sorted(real_epoll.poll(timeout), key=lambda event: event[0] != fd)

        self.loop.epoll = SortingPoll(real_epoll, "", lambda: None)  # type: ignore[assignment]

    def run_until(self, done: Any) -> None:
        """Run turns until a condition holds."""
        deadline = time.monotonic() + MAX_WAIT_S
        while not done():
            assert time.monotonic() < deadline, "the expected event did not occur in time"
            self.run_turn()

    def run_turns(self) -> None:
        """Run enough turns to process everything that is pending."""
        for _ in range(20):
            self.run_turn()

    def wait(self, ms: float) -> None:
        """Advance the clock, and process what is pending before and after."""
        self.run_turns()
        self.clock.now += ms / 1000.0
        self.run_turns()

    # -- the verbs of scenarios, looked up by name --------------------------------------------------------

    def send(self, name: str, text: str) -> None:
        """Send a line."""
        self.part(name, text + "\r\n")

    def raw(self, name: str, expression: str) -> None:
        """Send the value of a Python expression, for long lines; nothing is read until all of it is sent."""
        self.part(name, "")
        unsent = memoryview(eval(expression).encode() + b"\r\n")
        while unsent and name not in self.closed:
            with contextlib.suppress(BlockingIOError):
                unsent = unsent[self.sockets[name].send(unsent) :]
            self.loop.run_once(0.001)

    def part(self, name: str, text: str) -> None:
        """Send text without a line end, and connect first if necessary."""
        if name not in self.sockets:
            self.add_socket(name, socket.create_connection(self.service.listener.getsockname()))
        self.sockets[name].sendall(text.encode())

    def expect(self, name: str, pattern: str) -> None:
        """Expect the next line to match a pattern."""
        self.run_until(lambda: b"\n" in self.received.get(name, b""))
        line, _, rest = bytes(self.received[name]).partition(b"\r\n")
        assert fnmatch.fnmatchcase(line.decode(), pattern), "the line does not match"
        self.received[name] = bytearray(rest)

    def quiet(self, name: str, _: str) -> None:
        """Expect that nothing was received and the connection is still open."""
        self.run_turns()
        assert not self.received.get(name) and name not in self.closed, (
            "received input or the end of the connection"
        )

    def end(self, name: str, _: str) -> None:
        """Expect the end of the connection with no further line."""
        self.run_until(lambda: name in self.closed)
        assert not self.received[name], "received input before the end"

    def close_(self, name: str, _: str) -> None:
        """Close the connection; the verb is ``close``."""
        self.closed.add(name)
        self.sockets[name].close()

    def reset(self, name: str, _: str) -> None:
        """Reset the connection."""
        self.sockets[name].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close_(name, "")

    # -- discovery -----------------------------------------------------------------------------------------

    def take_call(self, name: str) -> None:
        """Wait for the balancer's next call to this discovery and record it."""
        self.run_until(lambda: self.try_take_call(name))

    def try_take_call(self, name: str) -> bool:
        """Record a pending call, on the latest connection if several wait; False if there is none."""
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
        """End a connection to discovery without an answer."""
        if reset:
            self.reset(name, "")
        else:
            self.close_(name, "")

    def send_if_open(self, name: str, data: bytes) -> None:
        """Send more of an answer, unless the balancer has closed the connection."""
        with contextlib.suppress(OSError):
            self.sockets[name].send(data)

    def answer_next_call(self, name: str, body_or_fail: str) -> None:
        """Wait for the next call and answer it; "fail" answers 503."""
        self.take_call(name)
        self.answer_call(name, body_or_fail)

    def answer_call(self, name: str, body_or_fail: str) -> None:
        """Answer the call that was recorded last; "fail" answers 503."""
        status, body = ("503 Busy", "") if body_or_fail == "fail" else ("200 OK", body_or_fail)
        self.sockets[name].sendall(f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
        self.run_turns()
