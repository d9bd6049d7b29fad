"""The actor that runs the decision module.

It translates messages from connections and the pool config into the module's events, and carries out the
actions that the module returns. It does not depend on the wire protocol: it reaches a client's side through
``Client`` and the pool config through a callback, so that another protocol can use the same decisions. This
is the only place where the network code's terms are mapped to the module's: a destination is a backend, a
route step an attempt, a busy reply a refusal.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from crowgap import interface
from crowgap.interface import NOT_EXECUTED as NOT_EXECUTED
from crowgap.policy import Balancer
from snowwick.net.loop import Actor, Coroutine, Loop, Wait

Outcome = interface.Outcome
PoolUpdate = interface.ListUpdate
PoolEntry = interface.BackendEntry


class Client(Protocol):
    """A client's side of a connection: accepts messages from the decider."""

    def post(self, message: object) -> None: ...


@dataclass(slots=True)
class ConnectionRequested:
    """A client requests a connection and waits at most ``max_wait_ms`` for the answer."""

    client: Client
    class_name: str
    max_wait_ms: float
    key: str
    group: str
    tenant: str


@dataclass(slots=True)
class ConnectionResumed:
    """A client resumed a connection that existed at the destination before this process started."""

    client: Client
    class_name: str
    destination: int
    key: str
    group: str
    tenant: str


@dataclass(slots=True)
class RouteStepEstablished:
    """A route step has established its connection to the destination."""

    client: Client
    destination: int
    elapsed_ms: float


@dataclass(slots=True)
class RouteStepEnded:
    """A route step, or the connection that it established, has ended.

    ``final`` is true if the client needs no further answer.
    """

    client: Client
    destination: int
    outcome: Outcome
    elapsed_ms: float
    final: bool


@dataclass(slots=True)
class ClientLeft:
    """The client closed before the decider's answer, or was answered without waiting for the decider.

    If ``step_active``, a ``RouteStepEnded`` still follows for the route step in progress.
    """

    client: Client
    step_active: bool


@dataclass(slots=True)
class MessageDelay:
    """The present message delay at a destination, measured on this client's connection."""

    client: Client
    destination: int
    delay_ms: float


@dataclass(slots=True)
class DestinationSilent:
    """A destination answers on no connection although lines are waiting for an answer."""

    destination: int


@dataclass(slots=True)
class ProbeAnswer:
    """A destination's response time to a probe, -1 if none came, and its reported load, -1 if unknown."""

    destination: int
    elapsed_ms: float
    load: float = -1.0


@dataclass(slots=True)
class LoadReport:
    """The present load of a connection on its destination, in units of work per second."""

    client: Client
    destination: int
    load: float


@dataclass(slots=True)
class RouteStep:
    """Sent to the client's side: try this destination for at most ``timeout_ms``.

    From ``send_before`` on, in seconds on the loop's clock, the opening line may no longer be written.
    """

    destination: int
    timeout_ms: float
    send_before: float = math.inf


@dataclass(slots=True)
class BusyReply:
    """Sent to the client's side: the request is refused, retry after ``retry_after_ms``."""

    retry_after_ms: float


@dataclass(slots=True)
class FailReply:
    """Sent to the client's side: the request has failed."""


@dataclass(slots=True)
class MoveAway:
    """Sent to the client's side: tell the client to reconnect; ``reason`` is the reason code for the log."""

    reason: str


class StopDecider:
    """Sent to a decider: its pool was removed and has no connections left."""


class Decider(Actor):
    """Passes events to the decision module one at a time and carries out the returned actions."""

    restart_after_fault = True

    def __init__(
        self,
        loop: Loop,
        settings: interface.Settings,
        seed: int,
        now_ms: Callable[[], float],
        watch_pool: Callable[[], None],
        probe: Callable[[int, Decider], None],
    ) -> None:
        super().__init__(loop)
        self.balancer = Balancer(settings, seed)
        self.now_ms, self.watch_pool, self.probe = now_ms, watch_pool, probe
        # Called with each message before the module handles it; set if there is a fleet
        self.observer: Callable[[object], None] | None = None
        self.timers: list[tuple[float, int]] = []  # heap of (due time in ms, token)
        self.request_numbers: dict[Client, int] = {}
        self.clients: dict[int, Client] = {}  # by request number
        self.attempt_counts: dict[int, int] = {}  # route steps started, by request number
        self.active_steps: dict[int, int] = {}  # destination of the route step in progress, by request number
        self.last_request_number = 0

    def run(self) -> Coroutine:
        while True:
            until = None
            if self.timers:
                until = self.loop.clock() + max(0.0, self.timers[0][0] - self.now_ms()) / 1000.0
            yield Wait(until=until)
            for message in self.take_messages():
                if isinstance(message, StopDecider):
                    return
                if self.observer is not None:
                    self.observer(message)
                unsent_step = self._unsent_step(message)
                event = self._translate(message)
                if event is not None:
                    self._handle(event)
                if unsent_step is not None:
                    self._handle(unsent_step)
            while self.timers and self.timers[0][0] <= self.now_ms():
                self._handle(interface.TimerDue(heapq.heappop(self.timers)[1]))

    def _unsent_step(self, message: object) -> interface.Ended | None:
        """Return the end of a route step that was ordered but not started, as its client had left already.

        The client left in the turn of the loop in which the route step was ordered. Without this event the
        module would keep the attempt forever and count it at its backend.
        """
        number = (
            self.request_numbers.get(message.client)
            if isinstance(message, ClientLeft) and not message.step_active
            else None
        )
        if number is None or number not in self.active_steps:
            return None
        return interface.Ended(
            number, self.attempt_counts[number] - 1, self.active_steps[number], Outcome.UNSENT, 0.0, True
        )

    def _translate(self, message: object) -> interface.Event | None:
        """Return the module's event for a message; None if it is about a request that has ended."""
        if isinstance(message, PoolUpdate):
            return message
        if isinstance(message, ConnectionRequested):
            return interface.Request(
                self._assign_number(message.client, 0),
                message.class_name,
                message.max_wait_ms,
                message.key,
                message.group,
                message.tenant,
            )
        if isinstance(message, ConnectionResumed):
            return interface.ExistingConnection(
                self._assign_number(message.client, 1),
                message.class_name,
                message.destination,
                message.key,
                message.group,
                message.tenant,
            )
        if isinstance(message, DestinationSilent):
            return interface.BackendSilent(message.destination)
        if isinstance(message, ProbeAnswer):
            return interface.ProbeResult(message.destination, message.elapsed_ms, message.load)
        assert isinstance(
            message, RouteStepEstablished | RouteStepEnded | ClientLeft | MessageDelay | LoadReport
        )
        number = self.request_numbers.get(message.client)
        if number is None:
            return None
        attempt = self.attempt_counts[number] - 1
        if isinstance(message, RouteStepEstablished):
            return interface.Established(number, attempt, message.destination, message.elapsed_ms)
        if isinstance(message, RouteStepEnded):
            self.active_steps.pop(number, None)
            if message.final:
                self._forget(number)
            return interface.Ended(
                number, attempt, message.destination, message.outcome, message.elapsed_ms, message.final
            )
        if isinstance(message, MessageDelay):
            return interface.DelayReport(number, message.destination, message.delay_ms)
        if isinstance(message, LoadReport):
            return interface.LoadReport(number, message.destination, message.load)
        if not message.step_active:
            self._forget(number)
        return interface.ClientLeft(number)

    def _loop_time(self, time_ms: float) -> float:
        """Convert a time in ms on the module's clock to seconds on the loop's clock."""
        loop_now = self.loop.clock()  # read first: a stall between the two readings makes the result earlier
        return loop_now + (time_ms - self.now_ms()) / 1000.0

    def update_tenants(self, settings: interface.Settings) -> None:
        """Replace the tenants; the module derives capacity from their quotas with the next list update."""
        self.balancer.settings = settings
        self.balancer.total_quota = sum(tenant.quota for tenant in settings.tenants)
        self.balancer.capacity_per_weight = math.inf
        self.balancer.plan_is_current = False

    def connection_counts(self) -> dict[int, int]:
        """Return the number of connections, established or being set up, by destination."""
        return {
            backend.id: len(backend.flows) for backend in self.balancer.backends.values() if backend.flows
        }

    def _assign_number(self, client: Client, attempt_count: int) -> int:
        """Add a request, with the number of route steps that it has had, and return its number."""
        self.last_request_number += 1
        (
            self.request_numbers[client],
            self.clients[self.last_request_number],
            self.attempt_counts[self.last_request_number],
        ) = (
            self.last_request_number,
            client,
            attempt_count,
        )
        return self.last_request_number

    def _forget(self, number: int) -> None:
        """Remove a request; does nothing if it has been removed already."""
        client = self.clients.pop(number, None)
        if client is not None:
            del self.request_numbers[client], self.attempt_counts[number]
            self.active_steps.pop(number, None)

    def _handle(self, event: interface.Event) -> None:
        """Pass an event to the module and carry out the actions that it returns."""
        try:
            actions = self.balancer.handle(self.now_ms(), event)
        except Exception as error:
            # An exception in the module must not end all established connections.
            self.loop.log.event(
                "fault",
                "fault: {where}: {error}",
                where=f"decision on {type(event).__name__}",
                error=f"{type(error).__name__}: {error}",
            )
            # Actions decided before the exception are carried out: without its timer the module's periodic
            # check would never run again.
            actions = list(self.balancer.pending_actions)
            if isinstance(event, interface.Request) and not any(
                getattr(action, "request", None) == event.request for action in actions
            ):
                self._handle(interface.ClientLeft(event.request))
                actions.append(interface.Fail(event.request))  # the module did not answer the request
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: interface.Action) -> None:
        if isinstance(action, interface.SetTimer):
            heapq.heappush(self.timers, (action.at, action.token))
            return
        if isinstance(action, interface.Subscribe):
            self.watch_pool()
            return
        if isinstance(action, interface.Probe):
            self.probe(action.backend, self)
            return
        client = self.clients.get(action.request)
        if client is None:
            return
        if isinstance(action, interface.Send):
            self.attempt_counts[action.request] += 1
            self.active_steps[action.request] = action.backend
            client.post(RouteStep(action.backend, action.timeout, self._loop_time(action.send_before)))
        elif isinstance(action, interface.Move):
            client.post(MoveAway("moved"))
        else:
            self._forget(action.request)
            client.post(
                BusyReply(action.retry_after) if isinstance(action, interface.Refuse) else FailReply()
            )
