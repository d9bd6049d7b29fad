"""What the registers mean: their kinds, their values, and what follows from all balancers' together.

Registers have one writer each, so what members say of one thing stands side by side; the functions here
read it as one.  A value that cannot be read counts as not there."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from snowwick.fleet.members import Membership
from snowwick.fleet.rights import Grant, LeaseRequest
from snowwick.fleet.store import Store, hash_text
from snowwick.fleet.wire import Entry

HEALTH, LIST, LOAD, RIGHTS, REVISION = 1, 2, 3, 4, 5
KIND_NAMES = {HEALTH: "health", LIST: "list", LOAD: "load", RIGHTS: "rights", REVISION: "revision"}

HANGING, FAILING = 1, 2  # verdicts
SERVING = 0  # an answer to another's verdict: here it serves
VERDICT_LIFETIME_S = 6.0  # s that a verdict is acted on, unless its writer says it again
FAILURES_FOR_VERDICT, FAILURE_WINDOW_S = (
    3,
    5.0,
)  # route steps in a row, within so many s, that make a destination a failing one
MAX_BAD_FRACTION = (
    0.25  # a member that finds more than this part of the destinations bad is taken for sick itself
)
RECENTLY_SERVED_S = 0.5  # s since a destination last served here within which nobody's verdict counts
LOAD_CHUNKS = 4  # registers over which a balancer's counts are spread: a change tells a quarter of them
LIMITS_PER_REGISTER = 12  # of a revision in one register
MAX_LEAVING = 100  # destinations that the list's register names at most, the newest first


class DiscoveryState(msgspec.Struct, array_like=True, frozen=True):
    """What a member has of discovery's list: which discovery, its version, and who has to be left."""

    source: str
    version: int
    leaving: list[int]


class Revision(msgspec.Struct, array_like=True, frozen=True):
    """Which files a member goes by, and its contracts' limits over the whole fleet by name."""

    fleet_digest: str
    contracts_digest: str = ""
    limits: dict[str, float] = {}


T = TypeVar("T")


def pack(value: object) -> bytes:
    return msgspec.msgpack.encode(value)


def unpack(value: bytes, kind: type[T]) -> T | None:
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except (msgspec.MsgspecError, ValueError):
        return None


class RegisterView:
    """Reads a node's registers; ``members`` says whose still count."""

    def __init__(self, store: Store, members: Membership) -> None:
        self.store, self.members = store, members

    def valid_entries(self, kind: int, now: float) -> Iterator[tuple[Entry, bytes]]:
        """The others' registers that may be acted on, with their values."""
        for held in self.store.live_entries(kind):
            e = held.entry
            if (
                e.owner != self.store.name
                and self.members.is_member(e.owner)
                and e.value is not None
                and self.store.remaining_s(held, now) > 0.0
            ):
                yield e, e.value

    def decoded(self, kind: int, value: type[T], now: float) -> Iterator[tuple[str, str, T]]:
        """(owner, key, value) of those that can be read."""
        for e, data in self.valid_entries(kind, now):
            read = unpack(data, value)
            if read is not None:
                yield e.owner, e.key, read

    # -- health ------------------------------------------------------------------------------------------

    def verdicts(self, known: int, now: float) -> dict[int, tuple[set[str], set[str]]]:
        """By destination, who finds it bad and who is well served there; sick members' words do not count.

        ``known`` is how many destinations there are: one that finds more than ``SICK`` of them bad, and more
        than one, is rather cut off itself.
        """
        bad: dict[str, set[int]] = defaultdict(set)
        well: dict[int, set[str]] = defaultdict(set)
        for owner, key, verdict in self.decoded(HEALTH, int, now):
            if not key.isdigit():
                continue
            if verdict == SERVING:
                well[int(key)].add(owner)
            else:
                bad[owner].add(int(key))
        found: dict[int, tuple[set[str], set[str]]] = {}
        for owner, destinations in bad.items():
            if len(destinations) <= max(1.0, MAX_BAD_FRACTION * known):
                for one in destinations:
                    found.setdefault(one, (set(), well[one]))[0].add(owner)
        return found

    # -- list --------------------------------------------------------------------------------------------

    def leaving(self, source: str, version: int, now: float) -> set[int]:
        """The destinations that a newer list than this balancer's says to leave."""
        return {
            one
            for _, _, listed in self.decoded(LIST, DiscoveryState, now)
            if listed.source == source and listed.version > version
            for one in listed.leaving
        }

    # -- load --------------------------------------------------------------------------------------------

    def connections_elsewhere(self, now: float) -> Counter[int]:
        """What the others together have standing and in setup at each destination."""
        total: Counter[int] = Counter()
        for _, _, counts in self.decoded(LOAD, dict[int, int], now):
            total.update({one: count for one, count in counts.items() if 0 < count < 1 << 31})
        return total

    # -- rights ------------------------------------------------------------------------------------------

    def requests_and_grants(
        self, now: float
    ) -> tuple[dict[str, dict[str, tuple[int, LeaseRequest]]], list[tuple[str, int, str, Grant]]]:
        """The others' asks by budget and owner, with the owner's start, and the grants to this balancer."""
        asks: dict[str, dict[str, tuple[int, LeaseRequest]]] = defaultdict(dict)
        grants: list[tuple[str, int, str, Grant]] = []
        for e, data in self.valid_entries(RIGHTS, now):
            what, _, rest = e.key.partition(":")
            if what == "ask" and (ask := unpack(data, LeaseRequest)) is not None:
                asks[rest][e.owner] = e.epoch, ask
            elif what == "grant":
                to, _, budget = rest.partition(":")
                if to == self.store.name and (grant := unpack(data, Grant)) is not None:
                    grants.append((e.owner, e.epoch, budget, grant))
        return asks, grants

    # -- revisions ---------------------------------------------------------------------------------------

    def revisions(self, now: float) -> dict[str, Revision]:
        """By member; the limits of a long list of teams come in several registers."""
        found: dict[str, Revision] = {}
        for owner, _, one in sorted(self.decoded(REVISION, Revision, now), key=lambda row: row[1]):
            old = found.get(owner, one)
            found[owner] = Revision(one.fleet_digest, one.contracts_digest, {**old.limits, **one.limits})
        return found


def stricter_limits(mine: Revision, others: Mapping[str, Revision]) -> dict[str, float]:
    """The least of each limit that balancers with other contracts keep to; empty where all have the same."""
    least: dict[str, float] = {}
    for other in others.values():
        if (
            other.contracts_digest
            and mine.contracts_digest
            and other.contracts_digest != mine.contracts_digest
        ):
            for name, limit in other.limits.items():
                if name in mine.limits and limit >= 0.0 and limit < least.get(name, mine.limits[name]):
                    least[name] = limit
    return least


def load_chunk(destination: int) -> int:
    return destination % LOAD_CHUNKS


@dataclass(slots=True)
class DestinationHealth:
    """One destination as this balancer's own traffic shows it; times in s."""

    last_served: float = -math.inf  # when it last answered here
    last_failed: float = -math.inf
    first_failed: float = -math.inf  # when the failures in a row began
    failures: int = 0


@dataclass(slots=True)
class HealthTracker:
    """Own findings, and what is believed of the others'.

    A verdict of one is believed by all, since a hanging server is found by one at a time and each finds out
    at the cost of a client; but not by whom the server serves, nor where as many say that it serves them,
    nor from a member that finds fault with many.  Who is served answers a verdict, which ends it
    everywhere.  When a verdict has run out the balancers try again one after another, not in one moment.
    """

    name: str
    destinations: dict[int, DestinationHealth] = field(default_factory=dict)
    own_verdicts: dict[int, tuple[int, float]] = field(
        default_factory=dict
    )  # own verdicts and when they were made
    avoided_until: dict[int, float] = field(default_factory=dict)  # until when one is kept away from

    def record_served(self, destination: int, now: float) -> None:
        """It has served a client here."""
        one = self.destinations.setdefault(destination, DestinationHealth())
        one.last_served, one.failures = now, 0
        self.own_verdicts.pop(destination, None)

    def record_hanging(self, destination: int, now: float) -> None:
        """It answers nobody here, though it is asked."""
        self.own_verdicts[destination] = HANGING, now

    def record_failure(self, destination: int, timed_out: bool, now: float) -> None:
        """A route step came to nothing there."""
        one = self.destinations.setdefault(destination, DestinationHealth())
        if now - one.last_failed > FAILURE_WINDOW_S:
            one.failures, one.first_failed = 0, now
        one.last_failed, one.failures = now, one.failures + 1
        if timed_out and one.last_served < now - VERDICT_LIFETIME_S:
            self.own_verdicts[destination] = (
                HANGING,
                now,
            )  # one who waited in vain is enough, where nobody is served
        elif one.failures >= FAILURES_FOR_VERDICT:
            self.own_verdicts[destination] = FAILING, now

    def forget(self, known: Callable[[int], bool]) -> None:
        """Destinations that are in no list any more."""
        for table in (self.destinations, self.own_verdicts, self.avoided_until):
            for one in [one for one in table if not known(one)]:
                del table[one]

    def verdicts_to_publish(
        self, verdicts: Mapping[int, tuple[set[str], set[str]]], now: float
    ) -> dict[int, int]:
        """What to say now: own verdicts while they are fresh, and ``WELL`` to those of others."""
        self.own_verdicts = {
            one: row for one, row in self.own_verdicts.items() if now - row[1] < VERDICT_LIFETIME_S
        }
        said = {one: row[0] for one, row in self.own_verdicts.items()}
        for one in verdicts:
            if (
                one not in said
                and one in self.destinations
                and now - self.destinations[one].last_served < RECENTLY_SERVED_S
            ):
                said[one] = SERVING
        return said

    def update_avoided(self, verdicts: Mapping[int, tuple[set[str], set[str]]], now: float) -> list[int]:
        """The destinations to keep away from now."""
        for one, (bad, well) in verdicts.items():
            served = self.destinations[one].last_served if one in self.destinations else -math.inf
            if one not in self.own_verdicts and len(bad) > len(well) and now - served >= RECENTLY_SERVED_S:
                # Kept a little longer than the verdict, each balancer by its own time.
                self.avoided_until[one] = (
                    now + VERDICT_LIFETIME_S * (hash_text(self.name, one) % 1000) / 1000.0
                )
            elif well or now - served < RECENTLY_SERVED_S:
                self.avoided_until.pop(one, None)
        self.avoided_until = {one: until for one, until in self.avoided_until.items() if now < until}
        return sorted(self.avoided_until)
