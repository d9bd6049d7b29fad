"""The decision module's actor: what peers and the pool config report goes in, what to do comes out.

It knows no wire: it speaks to a client's side through ``Client`` and to the pool config through a callback,
so that another protocol can stand before the same decisions.  Here, and only here, the network code's names
become the module's: a destination is a backend, a route step an attempt, a busy reply a refusal.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from crowgap import interface as i
from crowgap.interface import NOT_EXECUTED as NOT_EXECUTED
from crowgap.policy import Balancer
from snowwick.net.loop import Actor, Coroutine, Loop, Wait

Outcome = i.Outcome
PoolUpdate = i.ListUpdate
PoolEntry = i.BackendEntry


class Client(Protocol):
    """The side of a client, as the decider sees it: somewhere to leave a message."""

    def post(self, message: object) -> None: ...


@dataclass(slots=True)
class ConnectionRequested:
    """A client asks for a connection; ``patience`` is how many ms it waits for the answer."""

    client: Client
    class_name: str
    max_wait_ms: float
    key: str
    group: str
    tenant: str


@dataclass(slots=True)
class ConnectionResumed:
    """A client's connection stood at that destination before this program started."""

    client: Client
    class_name: str
    destination: int
    key: str
    group: str
    tenant: str


@dataclass(slots=True)
class RouteStepEstablished:
    """The route step's connection stands."""

    client: Client
    destination: int
    elapsed_ms: float


@dataclass(slots=True)
class RouteStepEnded:
    """The route step is over; ``final`` says that the client needs no more answer."""

    client: Client
    destination: int
    outcome: Outcome
    elapsed_ms: float
    final: bool


@dataclass(slots=True)
class ClientLeft:
    """The client left before its answer; a route step that is out still ends."""

    client: Client
    step_active: bool


@dataclass(slots=True)
class MessageDelay:
    """How many ms a message takes at a destination now, seen on that client's connection."""

    client: Client
    destination: int
    delay_ms: float


@dataclass(slots=True)
class DestinationSilent:
    """No line comes back from a destination on any connection, though lines wait there."""

    destination: int


@dataclass(slots=True)
class ProbeAnswer:
    """How many ms a destination took to answer a probe (-1: it did not), and the load it reports, if any."""

    destination: int
    elapsed_ms: float
    load: float = -1.0


@dataclass(slots=True)
class LoadReport:
    """The work a second that a connection asks of its destination now."""

    client: Client
    destination: int
    load: float


@dataclass(slots=True)
class RouteStep:
    """To the client's side: try that destination, for so many ms."""

    destination: int
    timeout_ms: float


@dataclass(slots=True)
class BusyReply:
    """To the client's side: refused, come again after so many ms."""

    retry_after_ms: float


@dataclass(slots=True)
class FailReply:
    """To the client's side: failed."""


@dataclass(slots=True)
class MoveAway:
    """To the client's side: have the client come again."""

    reason: str


class StopDecider:
    """To a decider: its pool is over and nothing of it stands any more."""


class Decider(Actor):
    """Feeds the module one event at a time on one clock and carries out what it answers."""

    restart_after_fault = True

    def __init__(
        self,
        loop: Loop,
        settings: i.Settings,
        seed: int,
        now_ms: Callable[[], float],
        watch_pool: Callable[[], None],
        probe: Callable[[int, Decider], None],
    ) -> None:
        super().__init__(loop)
        self.balancer = Balancer(settings, seed)
        self.now_ms, self.watch_pool, self.probe = now_ms, watch_pool, probe
        # Told first of all that comes, where there is a fleet
        self.observe: Callable[[object], None] | None = None
        self.timers: list[tuple[float, int]] = []
        self.request_numbers: dict[Client, int] = {}
        self.clients: dict[int, Client] = {}
        self.attempt_counts: dict[int, int] = {}
        self.active_steps: dict[int, int] = {}  # destinations of those that have not ended, by request
        self.last = 0

    def run(self) -> Coroutine:
        while True:
            until = None
            if self.timers:
                until = self.loop.clock() + max(0.0, self.timers[0][0] - self.now_ms()) / 1000.0
            yield Wait(until=until)
            for message in self.take_messages():
                if isinstance(message, StopDecider):
                    return
                if self.observe is not None:
                    self.observe(message)
                lost = self._lost_step(message)
                event = self._translate(message)
                if event is not None:
                    self._handle(event)
                if lost is not None:
                    self._handle(lost)
            while self.timers and self.timers[0][0] <= self.now_ms():
                self._handle(i.TimerDue(heapq.heappop(self.timers)[1]))

    def _lost_step(self, m: object) -> i.Ended | None:
        """The end of a step that its client never saw: it left in the turn in which the step was asked for.

        Without it the module would hold that step for good, and count it at its backend.
        """
        number = (
            self.request_numbers.get(m.client) if isinstance(m, ClientLeft) and not m.step_active else None
        )
        if number is None or number not in self.active_steps:
            return None
        return i.Ended(
            number, self.attempt_counts[number] - 1, self.active_steps[number], Outcome.UNSENT, 0.0, True
        )

    def _translate(self, m: object) -> i.Event | None:
        if isinstance(m, PoolUpdate):
            return m
        if isinstance(m, ConnectionRequested):
            return i.Request(self._number(m.client, 0), m.class_name, m.max_wait_ms, m.key, m.group, m.tenant)
        if isinstance(m, ConnectionResumed):
            return i.ExistingConnection(
                self._number(m.client, 1), m.class_name, m.destination, m.key, m.group, m.tenant
            )
        if isinstance(m, DestinationSilent):
            return i.BackendSilent(m.destination)
        if isinstance(m, ProbeAnswer):
            return i.ProbeResult(m.destination, m.elapsed_ms, m.load)
        assert isinstance(m, RouteStepEstablished | RouteStepEnded | ClientLeft | MessageDelay | LoadReport)
        number = self.request_numbers.get(m.client)
        if number is None:
            return None
        step = self.attempt_counts[number] - 1
        if isinstance(m, RouteStepEstablished):
            return i.Established(number, step, m.destination, m.elapsed_ms)
        if isinstance(m, RouteStepEnded):
            self.active_steps.pop(number, None)
            if m.final:
                self._drop(number)
            return i.Ended(number, step, m.destination, m.outcome, m.elapsed_ms, m.final)
        if isinstance(m, MessageDelay):
            return i.DelayReport(number, m.destination, m.delay_ms)
        if isinstance(m, LoadReport):
            return i.LoadReport(number, m.destination, m.load)
        if not m.step_active:
            self._drop(number)
        return i.ClientLeft(number)

    def update_tenants(self, settings: i.Settings) -> None:
        """Other tenants from now on; what their quotas say of capacity is reckoned with the next list."""
        self.balancer.settings = settings
        self.balancer.total_quota = sum(one.quota for one in settings.tenants)
        self.balancer.capacity_per_weight, self.balancer.plan_is_current = math.inf, False

    def connection_counts(self) -> dict[int, int]:
        """How many connections stand or are being set up at each destination."""
        return {one.id: len(one.flows) for one in self.balancer.backends.values() if one.flows}

    def _number(self, client: Client, steps: int) -> int:
        self.last += 1
        self.request_numbers[client], self.clients[self.last], self.attempt_counts[self.last] = (
            self.last,
            client,
            steps,
        )
        return self.last

    def _drop(self, number: int) -> None:
        client = self.clients.pop(number, None)
        if client is not None:
            del self.request_numbers[client], self.attempt_counts[number]
            self.active_steps.pop(number, None)

    def _handle(self, event: i.Event) -> None:
        try:
            actions = self.balancer.handle(self.now_ms(), event)
        except Exception as error:
            # The module must not take all standing connections with it.
            self.loop.log.event(
                "fault",
                "fault: {where}: {error}",
                where=f"decision on {type(event).__name__}",
                error=f"{type(error).__name__}: {error}",
            )
            # What was decided before it holds: without its timer the monitor would never look again.
            actions = list(self.balancer.pending_actions)
            if isinstance(event, i.Request) and not any(
                getattr(action, "request", None) == event.request for action in actions
            ):
                self._handle(i.ClientLeft(event.request))
                actions.append(i.Fail(event.request))  # given up, so answered at once
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: i.Action) -> None:
        if isinstance(action, i.SetTimer):
            heapq.heappush(self.timers, (action.at, action.token))
            return
        if isinstance(action, i.Subscribe):
            self.watch_pool()
            return
        if isinstance(action, i.Probe):
            self.probe(action.backend, self)
            return
        client = self.clients.get(action.request)
        if client is None:
            return
        if isinstance(action, i.Send):
            self.attempt_counts[action.request] += 1
            self.active_steps[action.request] = action.backend
            client.post(RouteStep(action.backend, action.timeout))
        elif isinstance(action, i.Move):
            client.post(MoveAway("moved"))
        else:
            self._drop(action.request)
            client.post(BusyReply(action.retry_after) if isinstance(action, i.Refuse) else FailReply())
