"""How slow and unresponsive destinations are told from idle ones and from a delay of the program itself."""

from __future__ import annotations

from collections import deque

from wire import UP, World

from snowwick.net.decider import DestinationSilent, MessageDelay
from snowwick.net.delay_monitor import (
    MAX_PENDING_LINES,
    ConnectionTiming,
    DestinationTiming,
    Gauge,
    is_silent,
    message_delay,
)
from snowwick.net.loop import Loop


class IgnoringClient:
    def post(self, message: object) -> None:
        pass


def timings_of_one_destination(count: int) -> tuple[DestinationTiming, list[ConnectionTiming]]:
    destination_timing = DestinationTiming()
    return destination_timing, [
        ConnectionTiming(IgnoringClient(), 1, destination_timing) for _ in range(count)
    ]


def test_hang_shows_in_the_first_unanswered_line() -> None:
    """Lines answered just before a hang must not hide it."""
    destination_timing, timings = timings_of_one_destination(9)
    for index, timing in enumerate(timings):
        timing.record_sent(9.0 + 0.05 * index, 1)
        timing.record_reply(9.001 + 0.05 * index)
    delay = message_delay(destination_timing, 9.8)
    assert delay is not None and round(delay[0], 4) == 0.001
    timings[0].record_sent(9.5, 1)
    delay = message_delay(destination_timing, 9.8)
    assert delay is not None and round(delay[0], 4) == 0.3
    timings[1].record_sent(9.6, 1)
    timings[1].record_reply(9.61)  # since the destination answers, one slow connection is not a hang
    delay = message_delay(destination_timing, 9.8)
    assert delay is not None and delay[0] < 0.02
    assert message_delay(destination_timing, 20.0) is None, "old answers do not count"


def test_hang_is_reported_within_a_second_unless_most_destinations_seem_to_hang() -> None:
    """All clients of a hung destination must be moved at once, not a part of them per second."""
    destination_timing, timings = timings_of_one_destination(2)
    for index, timing in enumerate(timings):
        timing.record_sent(9.0 + index, 1)
    assert is_silent(destination_timing, 10.1) and not is_silent(destination_timing, 9.4)
    timings[0].record_reply(9.9)
    assert not is_silent(destination_timing, 10.2)
    timings[0].record_sent(10.0, 1)
    timings[0].record_sent(10.0, 10**9)
    assert is_silent(destination_timing, 11.6) and len(timings[0].pending) == MAX_PENDING_LINES

    reports: list[object] = []
    delay_monitor = Gauge(Loop(clock=lambda: 50.0), reports.append, 50.0)
    monitored = [delay_monitor.add(IgnoringClient(), destination) for destination in (1, 1, 2, 2, 3)]
    for timing in monitored:
        timing.record_sent(50.0, 1)
    delay_monitor.loop.clock = lambda: 50.6
    delay_monitor.report_silent()
    assert not reports  # if two of three seem to hang at once, this program itself was probably delayed
    for timing in monitored[2:4]:
        timing.record_reply(50.6)
    delay_monitor.report_silent()
    delay_monitor.report_silent()
    assert reports == [DestinationSilent(1)]
    for timing in monitored:
        delay_monitor.remove(timing)
    assert not delay_monitor.timings


def test_check_for_hangs_costs_nothing_for_idle_connections() -> None:
    """With 4,000 connections, checking all four times a second was a third of the cost of relaying lines."""
    checked: list[object] = []

    class CountingDeque(deque[float]):
        def __bool__(self) -> bool:
            checked.append(self)
            return len(self) > 0

    delay_monitor = Gauge(Loop(clock=lambda: 50.0), checked.append, 50.0)
    timings = [delay_monitor.add(IgnoringClient(), 1) for _ in range(1000)]
    for timing in timings:
        timing.pending = CountingDeque()
        timing.record_sent(50.0, 1)
        timing.record_reply(50.001)
    timings[0].record_sent(50.1, 1)
    checked.clear()
    delay_monitor.loop.clock = lambda: 50.2
    delay_monitor.report_silent()
    assert 0 < len(checked) <= 2


def test_slow_destination_is_reported_once_a_second_and_once_after_recovery(world: World) -> None:
    """The protocol reports no delays, so an unanswered line must count before its answer arrives."""
    world.play(UP)
    reports: list[object] = []
    world.service.delay_monitor.report = reports.append
    world.play(
        "wait 500\nc1 send M 1\nd1 expect M 1\nwait 600\nwait 1000\nd1 send M 1\nc1 expect M 1\n"
        "wait 1000\nc1 send M 2\nd1 expect M 2\nd1 send M 2\nc1 expect M 2\nwait 950\nwait 1000"
    )
    assert [round(report.delay_ms) for report in reports if isinstance(report, MessageDelay)] == [
        600,
        1600,
        0,
    ] and len(reports) == 3
