"""Watching discovery: its list of destinations is fetched over HTTP by long polling."""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any

import h11

from crowgap import interface
from snowwick.net.loop import READABLE, TIMED_OUT, WRITABLE, Actor, Coroutine, Loop, Wait
from snowwick.net.peer import configure_socket
from snowwick.net.pool_config import CallFailed, PoolConfig, destination_number, version_of

# Time after which the protocol assumes that the balancer has a change of discovery's list, whether it arrived
# or not. The worst case of five durations fits into it: a held call hangs just when the list changes and is
# timed out (WATCH_HOLD_S + WATCH_OVERDUE_S), discovery refuses the first call on a new connection late
# (FIRST_CALL_EXTRA_S), and after a pause (MAX_RETRY_PAUSE_S) the next first call succeeds
# (FIRST_CALL_EXTRA_S).
LIST_UPDATE_DEADLINE_S = 6.0
# Discovery may hold a call this long until the list changes (long polling); a held call costs it little
WATCH_HOLD_S = 1.0
# A held call times out this long after the hold time; discovery answers a few ms after the hold time
WATCH_OVERDUE_S = 0.25
# Additional time for the first call on a connection, to connect and to wait in discovery's queue. It is
# longer than the 2 s after which discovery refuses a queued call: a call that the balancer abandons earlier
# costs discovery as much as an answered one.
FIRST_CALL_EXTRA_S = 2.125
MAX_RETRY_PAUSE_S = 0.5  # pause after a failed call; randomized down to half of it, so that calls are spread
# Shortest interval between the starts of calls while answers bring no change. Discovery continues a watch if
# the next call comes within 0.2 s of the answer.
POLL_INTERVAL_S = 0.1
# Enough for several thousand entries; a parsed list takes ten times as much memory as its text
MAX_BODY_BYTES = 1 << 20


READ_SIZE_BYTES = 16384  # of one read; a list may have hundreds of kilobytes


class TimedOut(CallFailed):
    """The complete answer did not arrive in time."""


class WatchPool:
    """Sent to the pool: watch discovery for changes from now on."""


@dataclass(slots=True)
class DiscoveryAddressChanged:
    """Sent to the pool: discovery has a new address."""

    discovery_address: tuple[str, int]


class CallSuperseded(Exception):
    """Discovery's address changed during a call."""


class Pool(Actor):
    """Watches discovery once a decider subscribes, and passes on each change of its list, in order.

    If lists are pushed to an agent (see ``__init__``), it calls the agent from the start.
    """

    restart_after_fault = True

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_update: Callable[[interface.ListUpdate], None],
        random_fraction: Callable[[], float],
        drain_grace_s: float | None = None,
    ) -> None:
        """Create the watcher of discovery at ``address``.

        ``drain_grace_s`` is given if discovery pushes its lists to an agent. The agent answers calls at once
        with its current list, and the protocol assumes that the balancer has the same list. Nothing may be
        sent to a destination later than ``drain_grace_s`` after the agent's list says that it is leaving.
        Therefore no call is held, and the calls are so frequent that half of the drain grace remains. An
        unanswered call is repeated soon, since the agent does not answer while discovery is down.

        ``random_fraction`` returns values from 0 to 1. It spreads the retries of balancers that lose
        discovery at the same time.
        """
        super().__init__(loop)
        self.discovery_address, self.on_update, self.config = (
            address,
            on_update,
            PoolConfig(self._log_left_out),
        )
        self.lists_pushed = drain_grace_s is not None
        self.random_fraction = random_fraction
        self.hold_s = WATCH_HOLD_S
        self.first_call_extra_s = FIRST_CALL_EXTRA_S
        self.poll_interval_s = POLL_INTERVAL_S
        if drain_grace_s is not None:
            self.hold_s, self.first_call_extra_s, self.poll_interval_s = (
                0.0,
                max(POLL_INTERVAL_S, 0.5 * drain_grace_s),
                min(POLL_INTERVAL_S, 0.25 * drain_grace_s),
            )
        self.sock: socket.socket | None = None
        self.http: h11.Connection | None = None
        self.full_list_needed = False  # the next call requests the whole list
        # address_changed: set when discovery's address changes, to end the call in progress
        # failing: lists are pushed and the last call failed, so further failures are not logged
        self.address_changed = self.failing = False

    def _log_left_out(self, error: str) -> None:
        self.loop.log.event("entry-left-out", "pool config: entry left out: {error}", error=error)

    def destination_number(self, name: str) -> int:
        return destination_number(name)

    def destination_address(self, destination: int) -> tuple[str, int] | None:
        return self.config.addresses.get(destination)

    def run(self) -> Coroutine:
        # Time of the next call; None: wait until a decider subscribes
        due = self.loop.clock() if self.lists_pushed else None
        try:
            while True:
                while not self.mailbox and (due is None or self.loop.clock() < due):
                    yield Wait(until=due)
                for message in self.take_messages():
                    self._handle_message(message)
                due = yield from self._watch_list()
        finally:
            self._disconnect()

    def _handle_message(self, message: object) -> None:
        """Handle one message. The caller then calls discovery, whatever the message."""
        if isinstance(message, DiscoveryAddressChanged):
            self._disconnect()
            self.discovery_address, self.full_list_needed, self.address_changed = (
                message.discovery_address,
                True,
                True,
            )

    def _watch_list(self) -> Generator[Wait, int, float]:
        """Call discovery, again after each answer, until a call fails. Returns the time of the next call.

        The retry time does not depend on the decider, whose waits do not take ``LIST_UPDATE_DEADLINE_S`` into
        account. A watch that timed out is repeated at once; other failures are followed by a pause.

        Versions of different discovery services cannot be compared, so after a change of address the next
        call requests the whole list. The same applies if the version is lower than before, as after a restore
        of discovery's data: the answer is not applied, and the whole list is requested and applied whatever
        its version.
        """
        while True:
            called_at, reused_connection = self.loop.clock(), self.sock is not None
            try:
                answer = yield from self._call()
                self._check_mailbox()
                before = self.config.version
                if not self.full_list_needed and version_of(answer) < before:
                    self.loop.log.event(
                        "list-older",
                        "pool config: version {version} is older than {before}, requesting the whole list",
                        version=version_of(answer),
                        before=before,
                    )
                    self.full_list_needed = True
                    self._disconnect()  # a late second answer would be taken for the whole list
                    continue
                update = self.config.apply(answer, interface.ListKind.FULL if self.full_list_needed else None)
                self.full_list_needed = self.failing = False
            except CallSuperseded:
                continue  # an answer or a failure of the old discovery is ignored
            except (CallFailed, OSError, ValueError, RecursionError, h11.ProtocolError) as error:
                # Pushed lists are requested several times per second, so only the first failure is logged.
                if not self.failing:
                    self.loop.log.event(
                        "discovery-failed",
                        "pool config: call failed: {error}",
                        error=f"{type(error).__name__} {error}",
                    )
                self.failing = self.lists_pushed
                self._disconnect()
                if self.lists_pushed:  # no decider has subscribed, so none is notified
                    return self.loop.clock() + self.poll_interval_s
                self.on_update(interface.ListUpdate(interface.ListKind.FAILED))
                watch_timed_out = reused_connection and isinstance(error, TimedOut)
                return self.loop.clock() + (
                    0.0 if watch_timed_out else MAX_RETRY_PAUSE_S * (0.5 + 0.5 * self.random_fraction())
                )
            self.on_update(update)
            if self.config.version == before:
                # Limit the rate of calls in case discovery does not hold them until there is a change. An
                # answer that came early may be a second answer to an earlier call, so reconnect.
                if self.loop.clock() < called_at + 0.5 * self.hold_s:
                    self._disconnect()
                yield from self.sleep_until(called_at + self.poll_interval_s)

    def _call(self) -> Generator[Wait, int, Any]:
        """Call discovery and return the parsed body of its answer.

        Raises CallFailed, CallSuperseded, OSError, ValueError, RecursionError or h11.ProtocolError.
        """
        # The first call on a connection is held too; answered at once, it would cost an extra call per watch.
        overdue_s = self.first_call_extra_s if self.sock is None or self.lists_pushed else WATCH_OVERDUE_S
        deadline = self.loop.clock() + self.hold_s + overdue_s
        if self.sock is None or self.http is None:
            yield from self._connect(deadline)
        assert self.sock is not None and self.http is not None
        target = "/v1/endpoints"
        if not self.full_list_needed:
            target += f"?after={self.config.version}&wait_ms={int(1000 * self.hold_s)}"
        host = f"{self.discovery_address[0]}:{self.discovery_address[1]}"
        request_head = h11.Request(method="GET", target=target, headers=[("Host", host)])
        request = (self.http.send(request_head) or b"") + (self.http.send(h11.EndOfMessage()) or b"")
        self.sock.sendall(request)
        body, status = bytearray(), 0
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                data = yield from self._receive(deadline)
                self.http.receive_data(data)
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BODY_BYTES:
                    raise CallFailed("answer exceeds 1 MiB")
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise CallFailed("connection closed before the end of the answer")
        if (
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
            and not self.http.trailing_data[0]
        ):
            self.http.start_next_cycle()
        else:
            self._disconnect()  # further input, such as a second answer, would be taken for the next call's
        if status != 200:
            raise CallFailed(f"HTTP status {status}")
        return json.loads(body)

    def _connect(self, deadline: float) -> Coroutine:
        """Open a new connection. Raises TimedOut, CallSuperseded or OSError."""
        self._disconnect()
        self.sock = configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=65536)
        sock = self.sock
        with contextlib.suppress(BlockingIOError):
            sock.connect(self.discovery_address)
        while not (wake_flags := (yield Wait(sock, write=True, until=deadline))) & WRITABLE:
            if wake_flags & TIMED_OUT:
                raise TimedOut("connect timed out")
            self._check_mailbox()
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect")

    def _receive(self, deadline: float) -> Generator[Wait, int, bytes]:
        """Return the next bytes; empty at the end of the stream. Raises TimedOut or CallSuperseded."""
        assert self.sock is not None
        while True:
            wake_flags = yield Wait(self.sock, read=True, until=deadline)
            # Check the mailbox first: after a change of address, input from the old discovery is ignored.
            self._check_mailbox()
            if wake_flags & READABLE:
                try:
                    return self.sock.recv(READ_SIZE_BYTES)
                except BlockingIOError:
                    continue
            if wake_flags & TIMED_OUT:
                raise TimedOut("timed out")

    def _check_mailbox(self) -> None:
        """Handle messages during a call. Raises CallSuperseded if discovery's address has changed."""
        self.address_changed = False
        for message in self.take_messages():
            self._handle_message(message)
        if self.address_changed:
            raise CallSuperseded

    def _disconnect(self) -> None:
        if self.sock is not None:
            self.loop.unregister(self)
            self.sock.close()
        self.sock = self.http = None
