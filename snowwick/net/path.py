"""The path of a request: stages that it enters one after another, each of which may turn it away.

A stage that a request has entered is told when the connection stands, what load it brings, and once,
whatever happened, that it is over.  Only the path counts which stages were entered, so that no stage can be
left twice.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.decider import Client, ConnectionRequested, ConnectionResumed, Decider

ANSWER_MARGIN_MS = 20.0  # ms taken off the client's patience, so that the answer is there in time


@dataclass(slots=True, eq=False)
class Request:
    """One client's request and the connection it becomes; ``wait`` is in ms."""

    client: Client
    opening: lines.Opening
    class_name: str
    tenant: str
    group: str
    wait_ms: float
    resumed_destination: str = ""  # the destination where the connection stood before this program started
    decider: Decider | None = None
    team: str = ""
    lease: object | None = None
    stages_entered: int = 0

    def post(self, message: object) -> None:
        """Tell whoever decides on it; before that is settled nobody needs to know."""
        if self.decider is not None:
            self.decider.post(message)

    def report_resumed(self, destination: int) -> None:
        """Tell the decider of a connection that it never placed."""
        self.post(
            ConnectionResumed(
                self.client, self.class_name, destination, self.opening.key, self.group, self.tenant
            )
        )


def make_request(client: Client, opening: lines.Opening, groups: bool) -> Request:
    """What an opening line asks for; ``groups`` says whether the settings give ``g`` a meaning."""
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
    """The request ends at this stage: its final answer, the reason code and more for the log."""

    line: bytes
    reason: str
    detail: str = ""


class Stage:
    """One step of the path.  What it does not override is of no interest to it."""

    def enter(self, request: Request) -> Rejection | None:
        """Let the request on, or say how it ends; who turns it away is not told that it is over."""
        return None

    def on_established(self, request: Request) -> None:
        """The connection is up."""

    def on_load(self, request: Request, load_per_s: float) -> None:
        """The work a second that the connection asks for now."""

    def on_ended(self, request: Request) -> None:
        """Nothing of it is left at a destination, or it never got there: once for each that entered."""


class RequestPath:
    """The stages in order."""

    def __init__(self, stages: Sequence[Stage]) -> None:
        self.stages = list(stages)

    def enter(self, request: Request) -> Rejection | None:
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
        stages_entered, request.stages_entered = request.stages_entered, 0
        for stage in reversed(self.stages[:stages_entered]):
            stage.on_ended(request)


class OpeningStage(Stage):
    """The opening line holds what a usual client sends, and its id is open once only."""

    def __init__(self, deadlines: Mapping[str, float], tenants: frozenset[str]) -> None:
        self.deadlines, self.tenants = deadlines, tenants
        self.open_requests: dict[str, Request] = {}

    def enter(self, request: Request) -> Rejection | None:
        try:
            lines.check_opening(request.opening, self.deadlines, self.tenants)
        except lines.MalformedLine as error:
            return Rejection(lines.ERR, "garbled", str(error))
        if request.opening.id in self.open_requests:
            return Rejection(lines.ERR, "garbled", "id is open already")
        self.open_requests[request.opening.id] = request
        return None

    def on_ended(self, request: Request) -> None:
        del self.open_requests[request.opening.id]


class CapacityStage(Stage):
    """The program itself: while it ends, or is short of descriptors, nothing more is begun."""

    def __init__(self, rejection_reason: Callable[[], str], retry_after_ms: Callable[[], float]) -> None:
        self.rejection_reason, self.retry_after_ms = rejection_reason, retry_after_ms

    def enter(self, request: Request) -> Rejection | None:
        reason = self.rejection_reason()
        return Rejection(lines.busy_line(self.retry_after_ms()), reason) if reason else None


class DeciderStage(Stage):
    """The module: ``choose`` names the decider of an ask that no earlier stage has given one."""

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
