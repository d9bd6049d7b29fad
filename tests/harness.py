"""A balancer under test with its timers: no servers, no network, only events and their actions."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from crowgap import interface as i
from crowgap.policy import Balancer

SAFE = i.RequestClass("feed", aim=300.0, deadline=1200.0, priority=5.0, message_aim=100.0)
BASE = i.Settings(
    classes=(SAFE,),
    balancers=1,
    max_attempts=5,
    max_retry_after=1000.0,
    warmup_time=20000.0,
    warmup_start_capacity=0.2,
    collapse_multiple=2.5,
)
FINAL = (i.Refuse, i.Fail)


def ready(*backends: int, started: float = 0.0) -> list[i.BackendEntry]:
    return [i.BackendEntry(b, i.State.READY, "east", b % 2, 1.0, started) for b in backends]


class Bench:
    """Feeds events in time order, fires due timers, and keeps every action with its time."""

    def __init__(self, seed: int = 7, backends: int = 8, now: float = 1000.0, **changes: Any) -> None:
        self.now = now
        self.balancer = Balancer(replace(BASE, **changes), seed)
        self.actions: list[tuple[float, i.Action]] = []
        self.timers: list[tuple[float, int]] = []
        self.attempts: dict[int, int] = {}
        if backends:
            self.put(i.ListUpdate(i.ListKind.RESTORED, ready(*range(1, backends + 1))))

    def put(self, event: i.Event) -> list[i.Action]:
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.actions.append((self.now, action))
            if isinstance(action, i.SetTimer):
                heapq.heappush(self.timers, (max(action.at, self.now + 1e-3), action.token))
            elif isinstance(action, i.Send):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
        return actions

    def run(self, until: float) -> None:
        while self.timers and self.timers[0][0] <= until:
            at, token = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            self.put(i.TimerDue(token))
        self.now = until

    def ask(self, request: int, key: str = "g1", patience: float = 1000.0, **more: Any) -> list[i.Action]:
        return self.put(i.Request(request, "feed", patience, f"c{request}", key, **more))

    def end(self, send: i.Send, outcome: i.Outcome, closed: bool = False) -> list[i.Action]:
        attempt = self.attempts[send.request]
        return self.put(i.Ended(send.request, attempt, send.backend, outcome, 5.0, closed))

    def stand(self, send: i.Send) -> list[i.Action]:
        return self.put(i.Established(send.request, self.attempts[send.request], send.backend, 5.0))

    def all(self, kind: type[Any], request: int | None = None) -> list[Any]:
        return [
            a
            for _, a in self.actions
            if isinstance(a, kind) and (request is None or getattr(a, "request", None) == request)
        ]

    def overload(self, first: int = 100000) -> None:
        """Time-outs spread over the backends until the throttle is on."""
        for n in range(60):
            for action in self.ask(first + n, f"k{n}"):
                if isinstance(action, i.Send):
                    self.end(action, i.Outcome.TIMEOUT)
            self.run(self.now + 20.0)
        assert self.balancer.throttle.active


class Fleet:
    """Many balancers on one clock that hear nothing of each other: what all of them do, summed up."""

    def __init__(self, balancers: int, entries: list[i.BackendEntry], seed: int = 1, **changes: Any) -> None:
        self.random, self.now, self.last = random.Random(seed), 1000.0, 0
        self.benches = [
            Bench(seed * 1000 + n, 0, self.now, **changes, balancers=balancers) for n in range(balancers)
        ]
        for bench in self.benches:
            bench.put(i.ListUpdate(i.ListKind.RESTORED, entries))
        # Uneven traffic: some see several times what others do.
        self.weights = [self.random.gammavariate(2.0, 1.0) for _ in self.benches]
        self.standing: dict[tuple[str, str], tuple[Bench, i.Send]] = {}
        self.loads: Counter[int] = Counter()  # what the backends know: a probe takes longer by its square

    def come(self, group: str, client: str, load: Callable[[int], float] = lambda backend: -1.0) -> None:
        """A client comes, anew or again, at any balancer, and stands if sent on; ``load`` is reported."""
        if (old := self.standing.pop((group, client), None)) is not None:
            old[0].end(old[1], i.Outcome.CANCELLED, closed=True)
            self.loads[old[1].backend] -= 1
        (bench,) = self.random.choices(self.benches, self.weights)
        bench.run(self.now)
        self.last += 1
        actions = bench.put(i.Request(self.last, "feed", 1000.0, client, group))
        for action in actions:  # grows as probes are answered
            if isinstance(action, i.Probe):
                asked = bench.balancer.backends[action.backend]
                busy = self.loads[asked.id] / bench.balancer._capacity_fraction(asked)
                actions += bench.put(i.ProbeResult(asked.id, 2.0 + 0.01 * busy**2, load(asked.id)))
            elif isinstance(action, i.Send):
                bench.stand(action)
                self.standing[group, client] = bench, action
                self.loads[action.backend] += 1

    def pairs(self) -> int:
        """How many pairs of a backend and a group that it holds any of."""
        return len({(send.backend, group) for (group, _), (_, send) in self.standing.items()})
