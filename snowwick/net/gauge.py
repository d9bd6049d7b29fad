"""How long messages take at each destination: the wire does not tell, so the lines are timed."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from snowwick.net.decider import Client, Slow
from snowwick.net.loop import Actor, Loop, Steps, Wait

PERIOD = 1.0  # s between notes, and how long an answered line counts


@dataclass(slots=True, eq=False)
class Meter:
    """The lines of one connection: when the unanswered ones were sent, how long the last took."""

    client: Client
    destination: int
    asked: deque[float] = field(default_factory=deque)
    heard: float = 0.0
    took: float | None = None

    def sent(self, now: float, count: int) -> None:
        self.asked.extend([now] * count)

    def answered(self, now: float) -> None:
        self.heard = now
        if self.asked:
            self.took = now - self.asked.popleft()

    def delay(self, now: float) -> float | None:
        """Seconds that a message takes now, or None where nothing recent tells."""
        took = self.took if now - self.heard < PERIOD else None
        if not self.asked:
            return took
        age = now - self.asked[0]
        return age if took is None else max(took, age)


class Gauge(Actor):
    """Once a second, tells the decider of each destination whose messages take long, and once of recovery."""

    def __init__(self, loop: Loop, tell: Callable[[Slow], None], shortest_aim_ms: float) -> None:
        super().__init__(loop)
        self.tell, self.limit = tell, shortest_aim_ms / 3000.0
        self.meters: dict[int, set[Meter]] = {}
        self.slow: set[int] = set()

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

    def run(self) -> Steps:
        due = self.loop.clock() + PERIOD
        while True:
            yield Wait(until=due)
            if self.loop.clock() >= due:
                due = max(due + PERIOD, self.loop.clock())
                self.look()

    def look(self) -> None:
        now = self.loop.clock()
        for destination, meters in list(self.meters.items()):
            seen = sorted(((d, n) for n, m in enumerate(meters) if (d := m.delay(now)) is not None))
            if not seen:
                continue
            delay, at = seen[len(seen) // 2]
            if delay > self.limit or destination in self.slow:
                client = list(meters)[at].client
                self.tell(Slow(client, destination, 1000.0 * delay))
            if delay > self.limit:
                self.slow.add(destination)
            else:
                self.slow.discard(destination)
