"""How long messages take at each destination: the wire does not tell, so the lines are timed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from snowwick.net.decider import Client, Silent, Slow
from snowwick.net.loop import Actor, Loop, Steps, Wait

PERIOD = 1.0  # s between notes of one destination, and how long an answered line counts
LOOK = 0.25  # s between looks: a hang must show well before the next note of a delay
SILENT, ALONE = 0.5, 1.5  # s without an answer that make a hang, where several lines wait, and where one does
MOST_KEPT = 1024  # unanswered lines that a connection is timed by


@dataclass(slots=True, eq=False)
class Meter:
    """The lines of one connection: when the unanswered ones were sent, how long the last took."""

    client: Client
    destination: int
    asked: deque[float] = field(default_factory=deque)
    heard: float = 0.0
    took: float | None = None

    def sent(self, now: float, count: int) -> None:
        # Bounded: a client may send at full speed to a destination that answers nothing.
        self.asked.extend([now] * min(count, MOST_KEPT - len(self.asked)))

    def answered(self, now: float) -> None:
        self.heard = now
        if self.asked:
            self.took = now - self.asked.popleft()


def message_delay(meters: list[Meter], now: float) -> tuple[float, Client] | None:
    """Seconds that a message takes at a destination now and a client who sees it, or None if nothing tells.

    Usually that of the median of the lines answered of late.  But lines that wait while none has been
    answered since say more: counted among the others, a hang would show only once half of them were old.
    """
    heard = max(meter.heard for meter in meters)
    stuck = [(now - m.asked[0], n) for n, m in enumerate(meters) if m.asked and m.asked[0] >= heard]
    took = sorted((m.took, n) for n, m in enumerate(meters) if m.took is not None and now - m.heard < PERIOD)
    found = [*took[len(took) // 2:][:1], *sorted(stuck)[-1:]]
    if not found:
        return None
    delay, at = max(found)
    return delay, meters[at].client


def is_silent(meters: list[Meter], now: float) -> bool:
    """Does the destination answer nobody, though it is asked?"""
    heard = max(meter.heard for meter in meters)
    waiting = [meter.asked[0] for meter in meters if meter.asked and meter.asked[-1] >= heard]
    return bool(waiting) and now - max(heard, min(waiting)) >= (SILENT if len(waiting) > 1 else ALONE)


class Gauge(Actor):
    """Tells the decider, once a second, of each destination whose messages take long or do not come back,
    and once of recovery."""

    lasting = True

    def __init__(self, loop: Loop, tell: Callable[[Slow | Silent], None], shortest_aim_ms: float) -> None:
        super().__init__(loop)
        self.tell, self.limit = tell, shortest_aim_ms / 3000.0
        self.meters: dict[int, set[Meter]] = {}
        self.slow: set[int] = set()
        self.silent: dict[int, float] = {}  # those that answer nobody, and when that was told

    def add(self, client: Client, destination: int) -> Meter:
        meter = Meter(client, destination, heard=self.loop.clock())
        self.meters.setdefault(destination, set()).add(meter)
        return meter

    def remove(self, meter: Meter) -> None:
        held = self.meters.get(meter.destination, set())
        held.discard(meter)
        if not held:
            self.meters.pop(meter.destination, None)
            self.slow.discard(meter.destination)
            self.silent.pop(meter.destination, None)

    def run(self) -> Steps:
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
        silent = [one for one, meters in self.meters.items() if is_silent(list(meters), now)]
        self.silent = {one: self.silent.get(one, -PERIOD) for one in silent}
        for destination in silent:
            if 2 * len(silent) <= len(self.meters) and now - self.silent[destination] >= PERIOD:
                self.silent[destination] = now
                self.tell(Silent(destination))

    def look(self) -> None:
        now = self.loop.clock()
        for destination, meters in list(self.meters.items()):
            found = message_delay(list(meters), now)
            if found is None:
                continue
            delay, client = found
            if delay > self.limit or destination in self.slow:
                self.tell(Slow(client, destination, 1000.0 * delay))
            if delay > self.limit:
                self.slow.add(destination)
            else:
                self.slow.discard(destination)
