"""The request path: a sequence of stages, each of which may reject the request.

Each stage that a request has entered is notified when the connection is established, of each load that is
reported for it, and exactly once when it has ended, for whatever reason. Only ``RequestPath`` keeps track of
the stages that a request has entered, so that no stage is notified of the end twice.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.decider import Client, ConnectionRequested, ConnectionResumed, Decider

MAX_USED_IDS = 4096  # ids of ended requests that are remembered: 1 MB with the longest ids
ANSWER_MARGIN_MS = 20.0  # subtracted from the client's wait, so that the answer arrives in time


@dataclass(slots=True, eq=False)
class Request:
    """One client's request, and the connection that is established for it."""

    client: Client
    opening: lines.Opening
    class_name: str
    tenant: str
    group: str
    wait_ms: float
    # Name of the destination with which the connection existed before this program started; else empty
    resumed_destination: str = ""
    decider: Decider | None = None  # of the request's pool, once a stage has assigned it
    team: str = ""  # set by the contract stage, as is the lease
    lease: object | None = None
    stages_entered: int = 0  # number of stages that have accepted the request; 0 after its end
    may_have_run: bool = False  # whether a destination may have executed it, or an attempt is still out

    def post(self, message: object) -> None:
        """Pass a message to the request's decider; dropped as long as no decider is assigned."""
        if self.decider is not None:
            self.decider.post(message)

    def report_resumed(self, destination: int) -> None:
        """Report to the decider a connection that existed before this program started."""
        self.post(
            ConnectionResumed(
                self.client, self.class_name, destination, self.opening.key, self.group, self.tenant
            )
        )


def make_request(client: Client, opening: lines.Opening, groups: bool) -> Request:
    """Build the request of an opening line; ``groups`` says whether the settings use the value ``g``."""
    values = opening.values
    return Request(
        client,
        opening,
        values.get("c", ""),
        values.get("t", ""),
        values.get("g", "") if groups else "",
        float(opening.wait_ms or 0),
        values.get("at", ""),
    )


@dataclass(slots=True)
class Rejection:
    """The final answer to a request that a stage rejects, with the reason code and a detail for the log."""

    line: bytes
    reason: str
    detail: str = ""


class Stage:
    """One stage of the request path; by default it accepts every request and ignores all notifications."""

    def enter(self, request: Request) -> Rejection | None:
        """Accept the request (None) or reject it; a stage is not notified of the end of what it rejects."""
        return None

    def on_established(self, request: Request) -> None:
        """Called when the connection is established."""

    def on_load(self, request: Request, load_per_s: float) -> None:
        """Called with the connection's current load, in units of work per second."""

    def on_ended(self, request: Request) -> None:
        """Called once per accepted request, when no connection to a destination remains or none was made."""


class RequestPath:
    """Runs requests through the stages in order."""

    def __init__(self, stages: Sequence[Stage]) -> None:
        self.stages = list(stages)

    def enter(self, request: Request) -> Rejection | None:
        """Pass the request to the stages in order; returns the rejection if a stage rejects it.

        The stages entered before the rejection are notified of the end.
        """
        for stage in self.stages:
            rejection = stage.enter(request)
            if rejection is not None:
                self.on_ended(request)
                return rejection
            request.stages_entered += 1
        return None

    def on_established(self, request: Request) -> None:
        for stage in self.stages[: request.stages_entered]:
            stage.on_established(request)

    def on_load(self, request: Request, load_per_s: float) -> None:
        for stage in self.stages[: request.stages_entered]:
            stage.on_load(request, load_per_s)

    def on_ended(self, request: Request) -> None:
        """Notify the stages that the request has entered, in reverse order; later calls do nothing."""
        stages_entered, request.stages_entered = request.stages_entered, 0
        for stage in reversed(self.stages[:stages_entered]):
            stage.on_ended(request)


class OpeningStage(Stage):
    """Rejects malformed opening lines, and ids that another connection uses or has used.

    An id is new with every connection. One that comes again after its request may have run, for example
    because its client has left, would take effect a second time; the latest such ids are remembered, except
    of the classes in ``safe_classes``, whose requests change nothing.
    """

    def __init__(
        self, deadlines: Mapping[str, float], tenants: frozenset[str], safe_classes: frozenset[str]
    ) -> None:
        self.deadlines, self.tenants, self.safe_classes = deadlines, tenants, safe_classes
        self.open_requests: dict[str, Request] = {}
        self.used_ids: dict[str, None] = {}  # oldest first

    def enter(self, request: Request) -> Rejection | None:
        try:
            lines.check_opening(request.opening, self.deadlines, self.tenants)
        except lines.MalformedLine as error:
            return Rejection(lines.ERR, "garbled", str(error))
        if request.opening.id in self.open_requests:
            return Rejection(lines.ERR, "garbled", "id is already in use by another connection")
        if request.opening.id in self.used_ids and not request.resumed_destination:
            return Rejection(lines.ERR, "garbled", "id was used by an earlier connection")
        self.open_requests[request.opening.id] = request
        return None

    def on_ended(self, request: Request) -> None:
        del self.open_requests[request.opening.id]
        if request.may_have_run and request.class_name not in self.safe_classes:
            self.used_ids[request.opening.id] = None
            if len(self.used_ids) > MAX_USED_IDS:
                del self.used_ids[next(iter(self.used_ids))]


class CapacityStage(Stage):
    """Rejects requests while the program shuts down or is short of descriptors.

    ``rejection_reason`` returns the reason code for the log, or an empty string while requests are accepted.
    """

    def __init__(self, rejection_reason: Callable[[], str], retry_after_ms: Callable[[], float]) -> None:
        self.rejection_reason, self.retry_after_ms = rejection_reason, retry_after_ms

    def enter(self, request: Request) -> Rejection | None:
        reason = self.rejection_reason()
        return Rejection(lines.busy_line(self.retry_after_ms()), reason) if reason else None


class DeciderStage(Stage):
    """Passes the request to its decider; ``choose_decider`` picks one if no earlier stage has assigned it.

    A resumed connection is only reported to the decider once it is established (see ``report_resumed``).
    """

    def __init__(self, choose_decider: Callable[[Request], Decider]) -> None:
        self.choose_decider = choose_decider

    def enter(self, request: Request) -> Rejection | None:
        if request.decider is None:
            request.decider = self.choose_decider(request)
        if not request.resumed_destination:
            request.post(
                ConnectionRequested(
                    request.client,
                    request.class_name,
                    max(0.0, request.wait_ms - ANSWER_MARGIN_MS),
                    request.opening.key,
                    request.group,
                    request.tenant,
                )
            )
        return None
