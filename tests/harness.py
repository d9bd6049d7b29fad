"""Test harness for balancers: events, actions and timers on a simulated clock, without servers or network."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from crowgap import interface
from crowgap.policy import Balancer

SAFE_CLASS = interface.RequestClass(
    "feed", target_setup_time=300.0, deadline=1200.0, priority=5.0, target_message_delay=100.0
)
BASE_SETTINGS = interface.Settings(
    classes=(SAFE_CLASS,),
    balancers=1,
    max_attempts=5,
    max_retry_after=1000.0,
    cold_time=20000.0,
    cold_from=0.2,
    fall_multiple=2.5,
)
FINAL_ACTIONS = (interface.Refuse, interface.Fail)


def ready_entries(*backends: int, started: float = 0.0) -> list[interface.BackendEntry]:
    """Return list entries of ready backends with these ids, in one zone and two cells."""
    return [
        interface.BackendEntry(backend, interface.State.READY, "east", backend % 2, 1.0, started)
        for backend in backends
    ]


class BalancerHarness:
    """One balancer with its timers, and a record of all its actions with their times.

    ``backends`` is the number of backends in its first list, with ids from 1; at 0 it gets no list.  Further
    arguments are fields of its settings.
    """

    def __init__(self, seed: int = 7, backends: int = 8, now: float = 1000.0, **changes: Any) -> None:
        self.now = now
        self.balancer = Balancer(replace(BASE_SETTINGS, **changes), seed)
        self.actions: list[tuple[float, interface.Action]] = []
        self.timers: list[tuple[float, int]] = []  # time and token
        self.attempts: dict[int, int] = {}  # number of the last attempt, by request
        if backends:
            self.handle_event(
                interface.ListUpdate(interface.ListKind.RESTORED, ready_entries(*range(1, backends + 1)))
            )

    def handle_event(self, event: interface.Event) -> list[interface.Action]:
        """Pass an event to the balancer; record and return its actions."""
        actions = self.balancer.handle(self.now, event)
        for action in actions:
            self.actions.append((self.now, action))
            if isinstance(action, interface.SetTimer):
                heapq.heappush(self.timers, (max(action.at, self.now + 1e-3), action.token))
            elif isinstance(action, interface.Send):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
        return actions

    def run_until(self, until: float) -> None:
        """Fire the timers that are due up to this time, and set the clock to it."""
        while self.timers and self.timers[0][0] <= until:
            at, token = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            self.handle_event(interface.TimerDue(token))
        self.now = until

    def send_request(
        self, request: int, group_key: str = "g1", patience: float = 1000.0, **fields: Any
    ) -> list[interface.Action]:
        return self.handle_event(
            interface.Request(request, "feed", patience, f"c{request}", group_key, **fields)
        )

    def end_attempt(
        self, send: interface.Send, outcome: interface.Outcome, client_answered: bool = False
    ) -> list[interface.Action]:
        attempt = self.attempts[send.request]
        return self.handle_event(
            interface.Ended(send.request, attempt, send.backend, outcome, 5.0, client_answered)
        )

    def establish(self, send: interface.Send) -> list[interface.Action]:
        return self.handle_event(
            interface.Established(send.request, self.attempts[send.request], send.backend, 5.0)
        )

    def actions_of_type(self, action_type: type[Any], request: int | None = None) -> list[Any]:
        return [
            action
            for _, action in self.actions
            if isinstance(action, action_type)
            and (request is None or getattr(action, "request", None) == request)
        ]

    def overload(self, first_request: int = 100000) -> None:
        """Let attempts at all backends time out, and check that this turns the throttle on."""
        for n in range(60):
            for action in self.send_request(first_request + n, f"k{n}"):
                if isinstance(action, interface.Send):
                    self.end_attempt(action, interface.Outcome.TIMEOUT)
            self.run_until(self.now + 20.0)
        assert self.balancer.throttle.active


class Fleet:
    """Balancers on one clock that do not communicate, and the connections that they open together."""

    def __init__(
        self, balancers: int, entries: list[interface.BackendEntry], seed: int = 1, **changes: Any
    ) -> None:
        self.random, self.now, self.last_request = random.Random(seed), 1000.0, 0
        self.harnesses = [
            BalancerHarness(seed * 1000 + n, 0, self.now, **changes, balancers=balancers)
            for n in range(balancers)
        ]
        for harness in self.harnesses:
            harness.handle_event(interface.ListUpdate(interface.ListKind.RESTORED, entries))
        # Uneven traffic: some balancers get several times as many clients as others.
        self.weights = [self.random.gammavariate(2.0, 1.0) for _ in self.harnesses]
        self.connections: dict[tuple[str, str], tuple[BalancerHarness, interface.Send]] = {}
        # Open connections by backend; the time that a probe takes grows with the square of this number.
        self.connection_counts: Counter[int] = Counter()

    def connect_client(
        self, group: str, client: str, load: Callable[[int], float] = lambda backend: -1.0
    ) -> None:
        """Connect or reconnect a client through a random balancer.

        ``load`` returns the load over capacity with which a backend answers a probe, or -1 for no load.
        """
        if (previous := self.connections.pop((group, client), None)) is not None:
            previous[0].end_attempt(previous[1], interface.Outcome.CANCELLED, client_answered=True)
            self.connection_counts[previous[1].backend] -= 1
        (harness,) = self.random.choices(self.harnesses, self.weights)
        harness.run_until(self.now)
        self.last_request += 1
        actions = harness.handle_event(interface.Request(self.last_request, "feed", 1000.0, client, group))
        for action in actions:  # the list grows as probes are answered
            if isinstance(action, interface.Probe):
                backend = harness.balancer.backends[action.backend]
                relative_load = self.connection_counts[backend.id] / harness.balancer._capacity_fraction(
                    backend
                )
                actions += harness.handle_event(
                    interface.ProbeResult(backend.id, 2.0 + 0.01 * relative_load**2, load(backend.id))
                )
            elif isinstance(action, interface.Send):
                harness.establish(action)
                self.connections[group, client] = harness, action
                self.connection_counts[action.backend] += 1

    def backend_group_pairs(self) -> int:
        """Return the number of distinct pairs of a backend and a group that has a connection there."""
        return len({(send.backend, group) for (group, _), (_, send) in self.connections.items()})
