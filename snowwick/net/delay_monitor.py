"""Measures the message delay of each destination.

The wire protocol reports no delays, so this module times the lines of connections to detect slow and
unresponsive destinations.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import takewhile

from snowwick.net.decider import Client, DestinationSilent, MessageDelay
from snowwick.net.loop import Actor, Coroutine, Loop, Wait

# Interval between reports on one destination; also the age up to which the delay of an answered line is used
REPORT_INTERVAL_S = 1.0
# Interval between checks for silence; short, so that a hang is reported well before the next delay report
SILENCE_CHECK_INTERVAL_S = 0.25
# A destination is silent after this time without an answer while several connections wait for one
SILENCE_S = 0.5
SILENCE_SINGLE_S = 1.5  # the same while only one connection waits
MAX_PENDING_LINES = 128  # at most this many unanswered lines of one connection are timed


class DestinationTiming:
    """The timing of all connections to one destination.

    It is updated with every line, so that a check costs time in proportion to the lines since the last check
    and not to the number of open connections.
    """

    def __init__(self) -> None:
        self.connection_count = 0
        # Time of the last line that came back, or of the last connection added; in s on the loop's clock
        self.last_reply_at = 0.0
        # Connections that have sent lines since the destination's last line, in the order of sending
        self.awaiting_reply: dict[ConnectionTiming, None] = {}
        # Connections that were answered within the report interval, the latest last; older ones are removed
        # by ``message_delay``
        self.recently_answered: dict[ConnectionTiming, None] = {}


@dataclass(slots=True, eq=False)
class ConnectionTiming:
    """The timing of the lines of one connection, in s on the loop's clock."""

    client: Client
    destination: int
    destination_timing: DestinationTiming
    pending: deque[float] = field(default_factory=deque)  # when each unanswered line was sent, oldest first
    last_reply_at: float = 0.0  # when the last line came back, or when the connection was added
    last_delay_s: float = 0.0  # between the last answered line and its answer

    def record_sent(self, now: float, count: int) -> None:
        """Record that ``count`` lines were sent to the destination."""
        # Bounded, since a client may send at full speed to a destination that answers nothing.
        self.pending.extend([now] * min(count, MAX_PENDING_LINES - len(self.pending)))
        self.destination_timing.awaiting_reply[self] = None

    def record_reply(self, now: float, count: int = 1) -> None:
        """Record ``count`` lines from the destination; they count as answers to the oldest unanswered lines.

        The delay is that of the last line answered.
        """
        self.last_reply_at = self.destination_timing.last_reply_at = now
        self.destination_timing.awaiting_reply.clear()
        if self.pending:
            for _ in range(min(count, len(self.pending))):
                sent_at = self.pending.popleft()
            self.last_delay_s = now - sent_at
            self.destination_timing.recently_answered.pop(self, None)
            self.destination_timing.recently_answered[self] = None


def message_delay(timing: DestinationTiming, now: float) -> tuple[float, Client] | None:
    """Return a destination's message delay in s and a client that observes it, or None if unknown.

    This is the median delay of recently answered lines, or the longest wait of an unanswered line if that is
    longer. A line only counts as unanswered if the destination has sent nothing since the line was sent. If
    unanswered lines were part of the median, a hang would raise it only once they were half of all lines.
    """
    for connection in list(
        takewhile(
            lambda connection: now - connection.last_reply_at >= REPORT_INTERVAL_S, timing.recently_answered
        )
    ):
        del timing.recently_answered[connection]
    answered = sorted(
        (connection.last_delay_s, index, connection)
        for index, connection in enumerate(timing.recently_answered)
    )
    unanswered = [
        (now - connection.pending[0], -index, connection)
        for index, connection in enumerate(timing.awaiting_reply)
        if connection.pending and connection.pending[0] >= timing.last_reply_at
    ]
    candidates = [*answered[len(answered) // 2 :][:1], *unanswered]
    if not candidates:
        return None
    delay, _, connection = max(candidates, key=lambda row: row[0])
    return delay, connection.client


def is_silent(timing: DestinationTiming, now: float) -> bool:
    """Return whether lines wait for an answer and the destination has answered none for ``SILENCE_S``.

    If only one connection waits, the time is ``SILENCE_SINGLE_S``.
    """
    waiting = [connection.pending[0] for connection in timing.awaiting_reply if connection.pending]
    return bool(waiting) and now - max(timing.last_reply_at, min(waiting)) >= (
        SILENCE_S if len(waiting) > 1 else SILENCE_SINGLE_S
    )


class Gauge(Actor):
    """Reports destinations whose message delay is high or that do not answer, each once per second.

    When the message delay of a destination is no longer high, it is reported once more.
    """

    restart_after_fault = True

    def __init__(
        self, loop: Loop, report: Callable[[MessageDelay | DestinationSilent], None], shortest_aim_ms: float
    ) -> None:
        super().__init__(loop)
        # Delays above a third of the shortest target delay are reported; divided by 3000 since it is in ms.
        self.report, self.report_threshold_s = report, shortest_aim_ms / 3000.0
        self.timings: dict[int, DestinationTiming] = {}
        self.slow_destinations: set[int] = set()  # with a delay above the threshold in the last report
        self.silence_reported_at: dict[int, float] = {}  # silent destinations and when each was last reported

    def add(self, client: Client, destination: int) -> ConnectionTiming:
        """Start to time an established connection."""
        timing = self.timings.setdefault(destination, DestinationTiming())
        timing.connection_count += 1
        timing.last_reply_at = self.loop.clock()
        return ConnectionTiming(client, destination, timing, last_reply_at=timing.last_reply_at)

    def remove(self, connection: ConnectionTiming) -> None:
        """Remove a closed connection; does nothing for one that was never added."""
        timing = connection.destination_timing
        if timing is not self.timings.get(connection.destination):
            return
        timing.awaiting_reply.pop(connection, None)
        timing.recently_answered.pop(connection, None)
        timing.connection_count -= 1
        if not timing.connection_count:
            del self.timings[connection.destination]
            self.slow_destinations.discard(connection.destination)
            self.silence_reported_at.pop(connection.destination, None)

    def run(self) -> Coroutine:
        next_report = self.loop.clock() + REPORT_INTERVAL_S
        while True:
            next_check = self.loop.clock() + SILENCE_CHECK_INTERVAL_S
            yield Wait(until=min(next_report, next_check))
            self.report_silent()
            if self.loop.clock() >= next_report:
                next_report = max(next_report + REPORT_INTERVAL_S, self.loop.clock())
                self.report_delays()

    def report_silent(self) -> None:
        """Report silent destinations.

        If most destinations are silent, none is reported: this process itself was probably delayed.
        """
        now = self.loop.clock()
        silent = [number for number, timing in self.timings.items() if is_silent(timing, now)]
        self.silence_reported_at = {
            number: self.silence_reported_at.get(number, -REPORT_INTERVAL_S) for number in silent
        }
        for destination in silent:
            if (
                2 * len(silent) <= len(self.timings)
                and now - self.silence_reported_at[destination] >= REPORT_INTERVAL_S
            ):
                self.silence_reported_at[destination] = now
                self.report(DestinationSilent(destination))

    def report_delays(self) -> None:
        """Report the delay of each slow destination, and once more when it is no longer slow."""
        now = self.loop.clock()
        for destination, timing in self.timings.items():
            delay_and_client = message_delay(timing, now)
            if delay_and_client is None:
                continue
            delay, client = delay_and_client
            if delay > self.report_threshold_s or destination in self.slow_destinations:
                self.report(MessageDelay(client, destination, 1000.0 * delay))
            if delay > self.report_threshold_s:
                self.slow_destinations.add(destination)
            else:
                self.slow_destinations.discard(destination)
