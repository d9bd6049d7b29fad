"""The path of a request: stages that it enters one after another, each of which may turn it away.

A stage that a request has entered is told when the connection stands, what load it brings, and once,
whatever happened, that it is over.  Only the path counts which stages were entered, so that no stage can be
left twice.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from snowwick.net import lines
from snowwick.net.decider import Arrived, Client, Decider, Kept

MARGIN = 20.0  # ms taken off the client's patience, so that the answer is there in time


@dataclass(slots=True, eq=False)
class Ask:
    """One client's request and the connection it becomes; ``wait`` is in ms."""

    client: Client
    opening: lines.Opening
    class_name: str
    tenant: str
    group: str
    wait: float
    at: str = ""  # the destination where the connection stood before this program started
    decider: Decider | None = None
    team: str = ""
    lease: object | None = None
    entered: int = 0

    def post(self, message: object) -> None:
        """Tell whoever decides on it; before that is settled nobody needs to know."""
        if self.decider is not None:
            self.decider.post(message)

    def kept(self, destination: int) -> None:
        """Tell the decider of a connection that it never placed."""
        self.post(Kept(self.client, self.class_name, destination, self.opening.key, self.group, self.tenant))


def ask_of(client: Client, opening: lines.Opening, groups: bool) -> Ask:
    """What an opening line asks for; ``groups`` says whether the settings give ``g`` a meaning."""
    values = opening.values
    return Ask(
        client,
        opening,
        values.get("c", ""),
        values.get("t", ""),
        values.get("g", "") if groups else "",
        float(opening.wait_ms or 0),
        values.get("at", ""),
    )


@dataclass(slots=True)
class Turned:
    """The request ends at this stage: its final answer, the reason code and more for the log."""

    line: bytes
    reason: str
    detail: str = ""


class Stage:
    """One step of the path.  What it does not override is of no interest to it."""

    def enter(self, ask: Ask) -> Turned | None:
        """Let the request on, or say how it ends; who turns it away is not told that it is over."""
        return None

    def stands(self, ask: Ask) -> None:
        """The connection is up."""

    def load(self, ask: Ask, figure: float) -> None:
        """The work a second that the connection asks for now."""

    def over(self, ask: Ask) -> None:
        """Nothing of it is left at a destination, or it never got there: once for each that entered."""


class Path:
    """The stages in order."""

    def __init__(self, stages: Sequence[Stage]) -> None:
        self.stages = list(stages)

    def enter(self, ask: Ask) -> Turned | None:
        for stage in self.stages:
            turned = stage.enter(ask)
            if turned is not None:
                self.over(ask)
                return turned
            ask.entered += 1
        return None

    def stands(self, ask: Ask) -> None:
        for stage in self.stages[: ask.entered]:
            stage.stands(ask)

    def load(self, ask: Ask, figure: float) -> None:
        for stage in self.stages[: ask.entered]:
            stage.load(ask, figure)

    def over(self, ask: Ask) -> None:
        entered, ask.entered = ask.entered, 0
        for stage in reversed(self.stages[:entered]):
            stage.over(ask)


class Openings(Stage):
    """The opening line holds what a usual client sends, and its id is open once only."""

    def __init__(self, deadlines: Mapping[str, float], tenants: frozenset[str]) -> None:
        self.deadlines, self.tenants = deadlines, tenants
        self.open: dict[str, Ask] = {}

    def enter(self, ask: Ask) -> Turned | None:
        try:
            lines.check_opening(ask.opening, self.deadlines, self.tenants)
        except lines.MalformedLine as error:
            return Turned(lines.ERR, "garbled", str(error))
        if ask.opening.id in self.open:
            return Turned(lines.ERR, "garbled", "id is open already")
        self.open[ask.opening.id] = ask
        return None

    def over(self, ask: Ask) -> None:
        del self.open[ask.opening.id]


class Room(Stage):
    """The program itself: while it ends, or is short of descriptors, nothing more is begun."""

    def __init__(self, full: Callable[[], str], come_again_ms: Callable[[], float]) -> None:
        self.full, self.come_again_ms = full, come_again_ms

    def enter(self, ask: Ask) -> Turned | None:
        reason = self.full()
        return Turned(lines.busy_line(self.come_again_ms()), reason) if reason else None


class Decisions(Stage):
    """The module: ``choose`` names the decider of an ask that no earlier stage has given one."""

    def __init__(self, choose: Callable[[Ask], Decider]) -> None:
        self.choose = choose

    def enter(self, ask: Ask) -> Turned | None:
        if ask.decider is None:
            ask.decider = self.choose(ask)
        if not ask.at:
            ask.post(
                Arrived(
                    ask.client,
                    ask.class_name,
                    max(0.0, ask.wait - MARGIN),
                    ask.opening.key,
                    ask.group,
                    ask.tenant,
                )
            )
        return None
