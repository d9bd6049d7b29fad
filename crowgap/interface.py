"""The decision module's interface: settings, events in, actions out.

All times are milliseconds on the caller's clock.  ``Balancer.handle`` takes one event and returns the
actions to carry out, in order.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What repeating a request would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class DeduplicationScope(Enum):
    """Which backends drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    UNSENT = "unsent"


NOT_EXECUTED = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.UNSENT)  # that prove that the request never ran


class State(Enum):
    """What the list says of a backend."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a list event brings: changes, all entries, a remembered list, or news of a failed call."""

    CHANGES = "changes"
    FULL = "full"
    RESTORED = "remembered"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One kind of request: how soon it is wanted, what it is worth, whether it may be repeated."""

    name: str
    aim: float
    deadline: float
    priority: float = 1.0
    message_aim: float = 0.0
    effect: Effect = Effect.SAFE
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0


@dataclass(slots=True, frozen=True)
class Tenant:
    """A customer and its quota: the open connections over all balancers that count in full."""

    name: str
    quota: float


@dataclass(slots=True, frozen=True)
class Settings:
    """What one balancer is told at start."""

    classes: tuple[RequestClass, ...]
    balancers: int = 1
    index: int = 0
    zone: str = ""
    tenants: tuple[Tenant, ...] = ()
    must_subscribe: bool = False
    list_refresh_interval: float = 10000.0
    max_attempts: int = 3
    connect_timeout: float = 250.0
    max_retry_after: float = 0.0
    warmup_time: float = 0.0
    warmup_start_capacity: float = 1.0
    collapse_multiple: float = 2.0
    overload_window: float = 1000.0
    drain_grace: float = 3000.0
    load_reported: bool = False  # a probe's answer tells the load asked of a backend over what it can do
    live_weights: bool = False
    probes_allowed: bool = False
    timer_resolution: float = 1.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.balancers < 1:
            raise ValueError("balancers: at least 1 is needed")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: at least 1 is needed")
        for name in (
            "list_refresh_interval",
            "connect_timeout",
            "max_retry_after",
            "warmup_time",
            "overload_window",
            "drain_grace",
            "timer_resolution",
        ):
            if not getattr(self, name) >= 0:
                raise ValueError(f"{name}: must not be negative")
        for name in ("warmup_start_capacity", "collapse_multiple"):
            if not getattr(self, name) > 0:
                raise ValueError(f"{name}: must be positive")
        for one in self.classes:
            if not (one.deadline > 0 and one.aim >= 0 and one.deduplication_window >= 0):
                raise ValueError(f"classes: {one.name!r} needs a positive deadline and no negative time")


@dataclass(slots=True)
class BackendEntry:
    """One line of the list of backends."""

    backend: int
    state: State
    zone: str = ""
    cell: int = 0
    weight: float = 1.0
    started: float = 0.0


@dataclass(slots=True)
class ListUpdate:
    """News of the list of backends."""

    kind: ListKind
    entries: list[BackendEntry] = field(default_factory=list)


@dataclass(slots=True)
class Request:
    """A client wants a connection; ``patience`` is how long it waits for the final answer."""

    request: int
    class_name: str
    patience: float
    client_key: str = ""
    group_key: str = ""
    tenant: str = ""
    midflow: bool = False


@dataclass(slots=True)
class ExistingConnection:
    """A connection that stood through this balancer when it started; its attempt is number 0."""

    request: int
    class_name: str
    backend: int
    client_key: str = ""
    group_key: str = ""
    tenant: str = ""


@dataclass(slots=True)
class Established:
    """The connection stands."""

    request: int
    attempt: int
    backend: int
    elapsed: float


@dataclass(slots=True)
class DelayReport:
    """News of an open connection: how long a message takes at its backend now."""

    request: int
    backend: int
    delay: float


@dataclass(slots=True)
class LoadReport:
    """News of an open connection: the work a second that it asks for now, in any one unit."""

    request: int
    backend: int
    load: float


@dataclass(slots=True)
class BackendSilent:
    """Nothing comes back from a backend on any connection, though messages wait on several."""

    backend: int


@dataclass(slots=True)
class Ended:
    """An attempt is over; ``closed`` says that the client has its final answer."""

    request: int
    attempt: int
    backend: int
    outcome: Outcome
    elapsed: float
    closed: bool = False


@dataclass(slots=True)
class ClientLeft:
    """The client left."""

    request: int


@dataclass(slots=True)
class ProbeResult:
    """A probe has ended: ``elapsed`` is the time of its answer alone, or -1 where none came.

    ``load`` is what the backend reports: the load asked of it over what it can do; -1 where it does not.
    """

    backend: int
    elapsed: float
    load: float = -1.0


@dataclass(slots=True)
class TimerDue:
    """A timer set by ``SetTimer`` is due."""

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
    """Start an attempt; it ends as a time-out after ``timeout``."""

    request: int
    backend: int
    timeout: float


@dataclass(slots=True)
class Refuse:
    """Final answer: refused; trying again after ``retry_after`` is harmless."""

    request: int
    retry_after: float


@dataclass(slots=True)
class Fail:
    """Final answer: failed; nothing is promised of its effect."""

    request: int


@dataclass(slots=True)
class Move:
    """Ask the client of an open connection to come again."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Wake the balancer at a time."""

    at: float
    token: int


@dataclass(slots=True)
class Subscribe:
    """Ask the list service for changes from now on."""


@dataclass(slots=True)
class Probe:
    """Ask a backend for a sign of life; it costs the backend a little work."""

    backend: int


Action = Send | Refuse | Fail | Move | SetTimer | Subscribe | Probe
