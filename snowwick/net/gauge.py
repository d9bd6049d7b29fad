"""How long messages take at each destination: the wire does not tell, so the lines are timed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import takewhile

from snowwick.net.decider import Client, Silent, Slow
from snowwick.net.loop import Actor, Coroutine, Loop, Wait

PERIOD = 1.0  # s between notes of one destination, and how long an answered line counts
LOOK = 0.25  # s between looks: a hang must show well before the next note of a delay
SILENT, ALONE = 0.5, 1.5  # s without an answer that make a hang, where several lines wait, and where one does
MOST_KEPT = 1024  # unanswered lines that a connection is timed by


class Answers:
    """What the lines of all connections to one destination tell together.

    Kept up with every line, so that a look costs what has passed since the last one and not what stands.
    """

    def __init__(self) -> None:
        self.connections, self.heard = 0, 0.0
        self.since: dict[Meter, None] = {}  # those that have sent since a line last came back, in order
        self.recent: dict[Meter, None] = {}  # those whose line came back of late, the latest last


@dataclass(slots=True, eq=False)
class Meter:
    """The lines of one connection: when the unanswered ones were sent, how long the last took."""

    client: Client
    destination: int
    answers: Answers
    asked: deque[float] = field(default_factory=deque)
    heard: float = 0.0
    took: float = 0.0

    def sent(self, now: float, count: int) -> None:
        # Bounded: a client may send at full speed to a destination that answers nothing.
        self.asked.extend([now] * min(count, MOST_KEPT - len(self.asked)))
        self.answers.since[self] = None

    def answered(self, now: float) -> None:
        self.heard = self.answers.heard = now
        self.answers.since.clear()
        if self.asked:
            self.took = now - self.asked.popleft()
            self.answers.recent.pop(self, None)
            self.answers.recent[self] = None


def message_delay(answers: Answers, now: float) -> tuple[float, Client] | None:
    """Seconds that a message takes at a destination now and a client who sees it, or None if nothing tells.

    Usually that of the median of the lines answered of late.  But lines that wait while none has been
    answered since say more: counted among the others, a hang would show only once half of them were old.
    """
    for meter in list(takewhile(lambda meter: now - meter.heard >= PERIOD, answers.recent)):
        del answers.recent[meter]
    took = sorted((meter.took, n, meter) for n, meter in enumerate(answers.recent))
    stuck = [
        (now - meter.asked[0], -n, meter)
        for n, meter in enumerate(answers.since)
        if meter.asked and meter.asked[0] >= answers.heard
    ]
    found = [*took[len(took) // 2 :][:1], *stuck]
    if not found:
        return None
    delay, _, meter = max(found, key=lambda row: row[0])
    return delay, meter.client


def is_silent(answers: Answers, now: float) -> bool:
    """Does the destination answer nobody, though it is asked?"""
    waiting = [meter.asked[0] for meter in answers.since if meter.asked]
    return bool(waiting) and now - max(answers.heard, min(waiting)) >= (SILENT if len(waiting) > 1 else ALONE)


class Gauge(Actor):
    """Tells the decider, once a second, of each destination whose messages take long or do not come back,
    and once of recovery."""

    restart_after_fault = True

    def __init__(self, loop: Loop, tell: Callable[[Slow | Silent], None], shortest_aim_ms: float) -> None:
        super().__init__(loop)
        self.tell, self.limit = tell, shortest_aim_ms / 3000.0
        self.answers: dict[int, Answers] = {}
        self.slow: set[int] = set()
        self.silent: dict[int, float] = {}  # those that answer nobody, and when that was told

    def add(self, client: Client, destination: int) -> Meter:
        answers = self.answers.setdefault(destination, Answers())
        answers.connections += 1
        answers.heard = self.loop.clock()
        return Meter(client, destination, answers, heard=answers.heard)

    def remove(self, meter: Meter) -> None:
        """The connection is over; a meter that was never added changes nothing."""
        answers = meter.answers
        if answers is not self.answers.get(meter.destination):
            return
        answers.since.pop(meter, None)
        answers.recent.pop(meter, None)
        answers.connections -= 1
        if not answers.connections:
            del self.answers[meter.destination]
            self.slow.discard(meter.destination)
            self.silent.pop(meter.destination, None)

    def run(self) -> Coroutine:
        due = self.loop.clock() + PERIOD
        while True:
            look = self.loop.clock() + LOOK
            yield Wait(until=min(due, look))
            self.look_for_silence()
            if self.loop.clock() >= due:
                due = max(due + PERIOD, self.loop.clock())
                self.look()

    def look_for_silence(self) -> None:
        """Tell of those that hang.  Where most do, it is rather this program that was held up."""
        now = self.loop.clock()
        silent = [one for one, answers in self.answers.items() if is_silent(answers, now)]
        self.silent = {one: self.silent.get(one, -PERIOD) for one in silent}
        for destination in silent:
            if 2 * len(silent) <= len(self.answers) and now - self.silent[destination] >= PERIOD:
                self.silent[destination] = now
                self.tell(Silent(destination))

    def look(self) -> None:
        now = self.loop.clock()
        for destination, answers in self.answers.items():
            found = message_delay(answers, now)
            if found is None:
                continue
            delay, client = found
            if delay > self.limit or destination in self.slow:
                self.tell(Slow(client, destination, 1000.0 * delay))
            if delay > self.limit:
                self.slow.add(destination)
            else:
                self.slow.discard(destination)
