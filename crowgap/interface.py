"""The interface of the decision module: its settings, the events that go in, the actions that come out.

All times and durations are milliseconds on the caller's clock.  ``Balancer.handle`` takes one event and
returns the actions to carry out, in order.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request may be sent again after an attempt that may have run."""

    SAFE = "safe"  # a repeat changes nothing
    KEYED = "keyed"  # backends drop repeats by an idempotency key
    UNSAFE = "unsafe"  # a repeat may take effect a second time


class DeduplicationScope(Enum):
    """Which backends recognise and drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"  # backends in the zone of the one that received the request first
    CELL = "cell"  # backends in the cell of the one that received the request first


class Outcome(Enum):
    """How an attempt or an open connection ended."""

    OK = "ok"
    ERROR = "error"  # the backend answered with an error
    FULL = "full"  # the backend refused the connection
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"  # the backend broke the connection
    CANCELLED = "cancelled"  # the client or the caller ended it
    UNSENT = "unsent"  # the caller never started the attempt, or wrote nothing of it


# Outcomes that prove that the request never ran.
NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.UNSENT)


class State(Enum):
    """Lifecycle state of a backend in the list of backends."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What an update of the list of backends contains."""

    CHANGES = "changes"  # the entries that have changed
    FULL = "full"  # all entries
    RESTORED = "remembered"  # all entries, as stored before a restart
    FAILED = "failed"  # nothing: the call to the list service failed


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One kind of request: its latency targets, its priority, and whether it may be repeated."""

    name: str
    target_setup_time: float  # target time from the request to the open connection
    deadline: float  # longest time from the request to the final answer
    priority: float = 1.0  # requests of the lowest priority are refused first
    target_message_delay: float = 0.0  # target delay of a message on the open connection; 0 if there is none
    effect: Effect = Effect.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL  # for KEYED requests
    deduplication_window: float = 0.0  # how long backends recognise a repeat of an attempt


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer and its quota."""

    name: str
    # Number of open connections, summed over all balancers, up to which each of them counts in full.
    quota: float


@dataclass(slots=True, frozen=True)
class Settings:
    """Settings of one balancer."""

    classes: tuple[RequestClass, ...]
    balancers: int = 1  # number of balancers that share the backends
    index: int = 0  # number of this balancer among them, from 0
    zone: str = ""  # zone of this balancer
    tenants: tuple[Tenant, ...] = ()  # tenants that have a quota
    must_subscribe: bool = False  # whether the list service sends lists only to subscribers; else it pushes
    # Refresh interval of the list service in ms; scales the spread of first calls and the longest backoff.
    ask_every: float = 10000.0
    max_attempts: int = 3  # highest number of attempts for one request
    connect_timeout: float = 250.0  # ms
    max_retry_after: float = 0.0  # longest ``Refuse.retry_after`` in ms; 0 if refusals give no wait
    cold_time: float = 0.0  # warm-up in ms: from a backend's start until it reaches its full capacity
    cold_from: float = 1.0  # capacity of a backend at its start, as a fraction of its full capacity
    # A backend collapses when it is asked for ``fall_multiple`` times its present capacity for
    # ``overload_for`` ms.
    fall_multiple: float = 2.0
    overload_for: float = 1000.0
    # Time in ms after a backend is listed as draining in which new requests may still be sent to it.
    drain_grace: float = 3000.0
    load_reported: bool = False  # whether answers to probes contain the backend's load over its capacity
    live_weights: bool = False  # whether the list's weights are live figures; placement then ignores them
    probes_allowed: bool = False  # whether backends may be probed
    tick: float = 1.0  # longest delay of a timer in ms: the caller's timer resolution

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.balancers < 1:
            raise ValueError("balancers: at least 1 is needed")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: at least 1 is needed")
        for name in (
            "ask_every",
            "connect_timeout",
            "max_retry_after",
            "cold_time",
            "overload_for",
            "drain_grace",
            "tick",
        ):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name}: must not be negative")
        for name in ("cold_from", "fall_multiple"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: must be positive")
        for request_class in self.classes:
            if not (
                request_class.deadline > 0
                and request_class.target_setup_time >= 0
                and request_class.deduplication_window >= 0
            ):
                raise ValueError(
                    f"classes: {request_class.name!r} needs a positive deadline and no negative duration"
                )


@dataclass(slots=True)
class BackendEntry:
    """One entry of the list of backends."""

    backend: int  # id
    state: State
    zone: str = ""
    cell: int = 0
    weight: float = 1.0  # capacity relative to other backends
    started: float = 0.0  # time of its start; 0 if unknown


@dataclass(slots=True)
class ListUpdate:
    """An update of the list of backends, or the failure of a call to the list service."""

    kind: ListKind
    entries: list[BackendEntry] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """A client asks for a connection."""

    request: int  # id; the other events and the actions refer to it
    class_name: str
    patience: float  # time from now that the client waits for the final answer
    client_key: str = ""
    group_key: str = ""  # requests with the same key are placed together
    tenant: str = ""
    midflow: bool = False  # whether it continues work that has begun, so that it needs no throttle token


@dataclass(slots=True)
class ExistingConnection:
    """A connection that was already open through this balancer when it started.

    Its attempt has the number 0.
    """

    request: int
    class_name: str
    backend: int
    client_key: str = ""
    group_key: str = ""
    tenant: str = ""


@dataclass(slots=True)
class Established:
    """An attempt has opened its connection."""

    request: int
    attempt: int  # number of the attempt, from 0
    backend: int
    elapsed: float  # time since the start of the attempt


@dataclass(slots=True)
class DelayReport:
    """The present delay of messages on an open connection at its backend."""

    request: int
    backend: int
    delay: float


@dataclass(slots=True)
class LoadReport:
    """The present load of an open connection: its work a second, in any unit common to all reports."""

    request: int
    backend: int
    load: float


@dataclass(slots=True)
class BackendSilent:
    """A backend answers on none of its connections although several have unanswered messages."""

    backend: int


@dataclass(slots=True)
class Ended:
    """An attempt, or the connection that it opened, has ended."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    elapsed: float  # time since the start of the attempt; 0 if it was never started
    client_answered: bool = False  # whether the client has its final answer, so that no retry is needed


@dataclass(slots=True)
class ClientLeft:
    """The client has disconnected or given up."""

    request: int


@dataclass(slots=True)
class ProbeResult:
    """The result of a probe."""

    backend: int
    elapsed: float  # time to the answer, without the connect; -1 if no answer came
    load: float = -1.0  # load over capacity as reported by the backend; -1 if it reports none


@dataclass(slots=True)
class TimerDue:
    """A timer that was set by ``SetTimer`` is due."""

    token: int


Event = (
    ListUpdate
    | Request
    | ExistingConnection
    | Established
    | DelayReport
    | LoadReport
    | BackendSilent
    | Ended
    | ClientLeft
    | TimerDue
    | ProbeResult
)


@dataclass(slots=True)
class Send:
    """Start an attempt at a backend; after ``timeout`` it ends with ``Outcome.TIMEOUT``.

    The caller compares ``send_before`` with its clock immediately before it writes the request.  From that
    time on it writes nothing, and the attempt ends with ``Outcome.UNSENT``.
    """

    request: int
    backend: int
    timeout: float
    send_before: float = math.inf


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; the client may safely repeat the request after ``retry_after``."""

    request: int
    retry_after: float


@dataclass(slots=True)
class Fail:
    """Final answer: failed; the request may or may not have taken effect."""

    request: int


@dataclass(slots=True)
class Move:
    """Ask the client of an open connection to reconnect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Deliver ``TimerDue`` with this token at the time ``at``."""

    at: float
    token: int


@dataclass(slots=True)
class Subscribe:
    """Subscribe to the list of backends at the list service, which then sends ``ListUpdate`` events."""


@dataclass(slots=True)
class Probe:
    """Probe a backend, which costs it a little work; the answer comes as ``ProbeResult``."""

    backend: int


Action = Send | Refuse | Fail | Move | SetTimer | Subscribe | Probe
