"""How long messages take at each destination: the wire does not tell, so the lines are timed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import takewhile

from snowwick.net.decider import Client, DestinationSilent, MessageDelay
from snowwick.net.loop import Actor, Coroutine, Loop, Wait

PERIOD = 1.0  # s between notes of one destination, and how long an answered line counts
LOOK = 0.25  # s between looks: a hang must show well before the next note of a delay
SILENT, ALONE = 0.5, 1.5  # s without an answer that make a hang, where several lines wait, and where one does
MAX_PENDING_LINES = 1024  # unanswered lines that a connection is timed by


class DestinationTiming:
    """What the lines of all connections to one destination tell together.

    Kept up with every line, so that a look costs what has passed since the last one and not what stands.
    """

    def __init__(self) -> None:
        self.connections, self.last_reply = 0, 0.0
        self.awaiting_reply: dict[
            ConnectionTiming, None
        ] = {}  # those that have sent since a line last came back, in order
        self.recently_answered: dict[
            ConnectionTiming, None
        ] = {}  # those whose line came back of late, the latest last


@dataclass(slots=True, eq=False)
class ConnectionTiming:
    """The lines of one connection: when the unanswered ones were sent, how long the last took."""

    client: Client
    destination: int
    destination_timing: DestinationTiming
    pending: deque[float] = field(default_factory=deque)
    last_reply: float = 0.0
    last_delay: float = 0.0

    def record_sent(self, now: float, count: int) -> None:
        # Bounded: a client may send at full speed to a destination that answers nothing.
        self.pending.extend([now] * min(count, MAX_PENDING_LINES - len(self.pending)))
        self.destination_timing.awaiting_reply[self] = None

    def record_reply(self, now: float) -> None:
        self.last_reply = self.destination_timing.last_reply = now
        self.destination_timing.awaiting_reply.clear()
        if self.pending:
            self.last_delay = now - self.pending.popleft()
            self.destination_timing.recently_answered.pop(self, None)
            self.destination_timing.recently_answered[self] = None


def message_delay(timing: DestinationTiming, now: float) -> tuple[float, Client] | None:
    """Seconds that a message takes at a destination now and a client who sees it, or None if nothing tells.

    Usually that of the median of the lines answered of late.  But lines that wait while none has been
    answered since say more: counted among the others, a hang would show only once half of them were old.
    """
    for connection in list(
        takewhile(lambda connection: now - connection.last_reply >= PERIOD, timing.recently_answered)
    ):
        del timing.recently_answered[connection]
    answered = sorted(
        (connection.last_delay, n, connection) for n, connection in enumerate(timing.recently_answered)
    )
    stuck = [
        (now - connection.pending[0], -n, connection)
        for n, connection in enumerate(timing.awaiting_reply)
        if connection.pending and connection.pending[0] >= timing.last_reply
    ]
    found = [*answered[len(answered) // 2 :][:1], *stuck]
    if not found:
        return None
    delay, _, connection = max(found, key=lambda row: row[0])
    return delay, connection.client


def is_silent(timing: DestinationTiming, now: float) -> bool:
    """Does the destination answer nobody, though it is asked?"""
    waiting = [connection.pending[0] for connection in timing.awaiting_reply if connection.pending]
    return bool(waiting) and now - max(timing.last_reply, min(waiting)) >= (
        SILENT if len(waiting) > 1 else ALONE
    )


class Gauge(Actor):
    """Tells the decider, once a second, of each destination whose messages take long or do not come back,
    and once of recovery."""

    restart_after_fault = True

    def __init__(
        self, loop: Loop, report: Callable[[MessageDelay | DestinationSilent], None], shortest_aim_ms: float
    ) -> None:
        super().__init__(loop)
        self.report, self.limit = report, shortest_aim_ms / 3000.0
        self.timings: dict[int, DestinationTiming] = {}
        self.slow: set[int] = set()
        self.silence_reported: dict[int, float] = {}  # those that answer nobody, and when that was told

    def add(self, client: Client, destination: int) -> ConnectionTiming:
        timing = self.timings.setdefault(destination, DestinationTiming())
        timing.connections += 1
        timing.last_reply = self.loop.clock()
        return ConnectionTiming(client, destination, timing, last_reply=timing.last_reply)

    def remove(self, connection: ConnectionTiming) -> None:
        """The connection is over; a connection that was never added changes nothing."""
        timing = connection.destination_timing
        if timing is not self.timings.get(connection.destination):
            return
        timing.awaiting_reply.pop(connection, None)
        timing.recently_answered.pop(connection, None)
        timing.connections -= 1
        if not timing.connections:
            del self.timings[connection.destination]
            self.slow.discard(connection.destination)
            self.silence_reported.pop(connection.destination, None)

    def run(self) -> Coroutine:
        due = self.loop.clock() + PERIOD
        while True:
            look = self.loop.clock() + LOOK
            yield Wait(until=min(due, look))
            self.report_silent()
            if self.loop.clock() >= due:
                due = max(due + PERIOD, self.loop.clock())
                self.report_delays()

    def report_silent(self) -> None:
        """Tell of those that hang.  Where most do, it is rather this program that was held up."""
        now = self.loop.clock()
        silent = [one for one, timing in self.timings.items() if is_silent(timing, now)]
        self.silence_reported = {one: self.silence_reported.get(one, -PERIOD) for one in silent}
        for destination in silent:
            if 2 * len(silent) <= len(self.timings) and now - self.silence_reported[destination] >= PERIOD:
                self.silence_reported[destination] = now
                self.report(DestinationSilent(destination))

    def report_delays(self) -> None:
        now = self.loop.clock()
        for destination, timing in self.timings.items():
            found = message_delay(timing, now)
            if found is None:
                continue
            delay, client = found
            if delay > self.limit or destination in self.slow:
                self.report(MessageDelay(client, destination, 1000.0 * delay))
            if delay > self.limit:
                self.slow.add(destination)
            else:
                self.slow.discard(destination)
