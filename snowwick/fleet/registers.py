"""The kinds of registers, their values, and what follows from the registers of all balancers.

Each register has one writer, so the reports of several members about one destination or limit are separate
registers; the functions here combine them.  A value that cannot be decoded is ignored.
"""

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

# Register kinds, as they are sent in entries
HEALTH = 1
LIST = 2
LOAD = 3
RIGHTS = 4
REVISION = 5
KIND_NAMES = {HEALTH: "health", LIST: "list", LOAD: "load", RIGHTS: "rights", REVISION: "revision"}

# Verdicts on a destination, as they are sent in health registers
HANGING = 1
FAILING = 2
SERVING = 0  # contradicts another member's verdict: the destination serves clients of the writer
VERDICT_LIFETIME_S = 6.0  # for which a verdict is acted on unless its writer renews it
# This many failed route steps in a row within this time make a destination a failing one
FAILURES_FOR_VERDICT = 3
FAILURE_WINDOW_S = 5.0
# A member that reports a larger fraction of the destinations as bad is taken to be at fault itself
MAX_BAD_FRACTION = 0.25
RECENTLY_SERVED_S = 0.5  # verdicts are ignored this long after the destination last served a client here
LOAD_CHUNKS = 4  # registers that a balancer's counts are split over: a change sends only a quarter of them
LIMITS_PER_REGISTER = 12  # limits of a revision in one register
MAX_LEAVING = 100  # destinations named in the list register at most, the newest first


class DiscoveryState(msgspec.Struct, array_like=True, frozen=True):
    """What a member has of discovery's list."""

    source: str  # the name of the discovery
    version: int
    leaving: list[int]  # destinations that clients have to leave


class Revision(msgspec.Struct, array_like=True, frozen=True):
    """The digests of a member's fleet and contract files, and the contracts' limits."""

    fleet_digest: str
    contracts_digest: str = ""
    limits: dict[str, float] = {}  # over the whole fleet, by name of the budget


T = TypeVar("T")


def pack(value: object) -> bytes:
    """Encode a register's value."""
    return msgspec.msgpack.encode(value)


def unpack(data: bytes, value_type: type[T]) -> T | None:
    """Decode a register's value; None where it is not of this type."""
    try:
        return msgspec.msgpack.decode(data, type=value_type)
    except (msgspec.MsgspecError, ValueError):
        return None


class RegisterView:
    """Reads the registers of other members; registers of members that are gone are ignored."""

    def __init__(self, store: Store, members: Membership) -> None:
        self.store, self.members = store, members

    def valid_entries(self, kind: int, now: float) -> Iterator[tuple[Entry, bytes]]:
        """The other members' registers of a kind that may be acted on, with their values."""
        for stored in self.store.live_entries(kind):
            entry = stored.entry
            if (
                entry.owner != self.store.name
                and self.members.is_member(entry.owner)
                and entry.value is not None
                and self.store.remaining_s(stored, now) > 0.0
            ):
                yield entry, entry.value

    def decoded(self, kind: int, value_type: type[T], now: float) -> Iterator[tuple[str, str, T]]:
        """(owner, key, value) of the registers of a kind that can be decoded."""
        for entry, data in self.valid_entries(kind, now):
            value = unpack(data, value_type)
            if value is not None:
                yield entry.owner, entry.key, value

    # -- health ------------------------------------------------------------------------------------------

    def verdicts(self, destination_count: int, now: float) -> dict[int, tuple[set[str], set[str]]]:
        """By destination, the members that report it as bad and those that it serves.

        A member that reports more than one destination and more than ``MAX_BAD_FRACTION`` of all
        ``destination_count`` is more likely cut off itself, and its verdicts are ignored.
        """
        bad: dict[str, set[int]] = defaultdict(set)
        served: dict[int, set[str]] = defaultdict(set)
        for owner, key, verdict in self.decoded(HEALTH, int, now):
            if not key.isdigit():
                continue
            if verdict == SERVING:
                served[int(key)].add(owner)
            else:
                bad[owner].add(int(key))
        verdicts: dict[int, tuple[set[str], set[str]]] = {}
        for owner, destinations in bad.items():
            if len(destinations) <= max(1.0, MAX_BAD_FRACTION * destination_count):
                for destination in destinations:
                    verdicts.setdefault(destination, (set(), served[destination]))[0].add(owner)
        return verdicts

    # -- list --------------------------------------------------------------------------------------------

    def leaving(self, source: str, version: int, now: float) -> set[int]:
        """The destinations to leave by lists of the same discovery that are newer than this version."""
        return {
            destination
            for _, _, state in self.decoded(LIST, DiscoveryState, now)
            if state.source == source and state.version > version
            for destination in state.leaving
        }

    # -- load --------------------------------------------------------------------------------------------

    def connections_elsewhere(self, now: float) -> Counter[int]:
        """The connections, established or in setup, of all other members at each destination."""
        total: Counter[int] = Counter()
        for _, _, counts in self.decoded(LOAD, dict[int, int], now):
            total.update({destination: count for destination, count in counts.items() if 0 < count < 1 << 31})
        return total

    # -- rights ------------------------------------------------------------------------------------------

    def requests_and_grants(
        self, now: float
    ) -> tuple[dict[str, dict[str, tuple[int, LeaseRequest]]], list[tuple[str, int, str, Grant]]]:
        """The other members' lease requests, and their grants to this balancer.

        Requests are by budget and borrower, each with the borrower's start.  Grants are (lender, the lender's
        start, budget, grant).
        """
        requests: dict[str, dict[str, tuple[int, LeaseRequest]]] = defaultdict(dict)
        grants: list[tuple[str, int, str, Grant]] = []
        for entry, data in self.valid_entries(RIGHTS, now):
            action, _, rest = entry.key.partition(":")
            if action == "ask" and (request := unpack(data, LeaseRequest)) is not None:
                requests[rest][entry.owner] = entry.epoch, request
            elif action == "grant":
                borrower, _, budget = rest.partition(":")
                if borrower == self.store.name and (grant := unpack(data, Grant)) is not None:
                    grants.append((entry.owner, entry.epoch, budget, grant))
        return requests, grants

    # -- revisions ---------------------------------------------------------------------------------------

    def revisions(self, now: float) -> dict[str, Revision]:
        """The other members' revisions; the limits of a long one are merged from several registers."""
        revisions: dict[str, Revision] = {}
        for owner, _, part in sorted(self.decoded(REVISION, Revision, now), key=lambda row: row[1]):
            merged = revisions.get(owner, part)
            revisions[owner] = Revision(
                part.fleet_digest, part.contracts_digest, {**merged.limits, **part.limits}
            )
        return revisions


def stricter_limits(own: Revision, others: Mapping[str, Revision]) -> dict[str, float]:
    """The lowest limits of balancers with other contracts, where they are below this balancer's own.

    Empty where all balancers have the same contracts.
    """
    lowest: dict[str, float] = {}
    for other in others.values():
        if other.contracts_digest and own.contracts_digest and other.contracts_digest != own.contracts_digest:
            for name, limit in other.limits.items():
                if name in own.limits and limit >= 0.0 and limit < lowest.get(name, own.limits[name]):
                    lowest[name] = limit
    return lowest


def load_chunk(destination: int) -> int:
    """The number of the load register that holds a destination's count."""
    return destination % LOAD_CHUNKS


@dataclass(slots=True)
class DestinationHealth:
    """What this balancer's own traffic shows of a destination; times in seconds."""

    last_served: float = -math.inf  # when it last served a client of this balancer
    last_failed: float = -math.inf
    first_failed: float = -math.inf  # when the current series of failures began
    failures: int = 0  # in the current series


@dataclass(slots=True)
class HealthTracker:
    """This balancer's verdicts on destinations, and the destinations it avoids by others' verdicts.

    All balancers act on one member's verdict, since otherwise each of them would lose a client to a hanging
    destination before it finds out.  A verdict is ignored by a balancer whose clients the destination serves,
    where at least as many members report that they are served, and where its writer reports a large part of
    all destinations.  A member that is served publishes that, which ends the verdict everywhere.  Once a
    verdict expires the balancers try the destination again at different times.
    """

    name: str  # of this balancer
    destinations: dict[int, DestinationHealth] = field(default_factory=dict)
    own_verdicts: dict[int, tuple[int, float]] = field(default_factory=dict)  # verdict and when it was made
    avoided_until: dict[int, float] = field(default_factory=dict)

    def record_served(self, destination: int, now: float) -> None:
        """Record that a destination served a client of this balancer; ends an own verdict."""
        health = self.destinations.setdefault(destination, DestinationHealth())
        health.last_served, health.failures = now, 0
        self.own_verdicts.pop(destination, None)

    def record_hanging(self, destination: int, now: float) -> None:
        """Record that a destination answers none of this balancer's requests."""
        self.own_verdicts[destination] = HANGING, now

    def record_failure(self, destination: int, timed_out: bool, now: float) -> None:
        """Record a failed route step."""
        health = self.destinations.setdefault(destination, DestinationHealth())
        if now - health.last_failed > FAILURE_WINDOW_S:
            health.failures, health.first_failed = 0, now
        health.last_failed, health.failures = now, health.failures + 1
        if timed_out and health.last_served < now - VERDICT_LIFETIME_S:
            # One time-out is enough where the destination has served nobody for a while
            self.own_verdicts[destination] = HANGING, now
        elif health.failures >= FAILURES_FOR_VERDICT:
            self.own_verdicts[destination] = FAILING, now

    def forget(self, known: Callable[[int], bool]) -> None:
        """Forget destinations that are not in discovery's list any more."""
        for table in (self.destinations, self.own_verdicts, self.avoided_until):
            for destination in [destination for destination in table if not known(destination)]:
                del table[destination]

    def verdicts_to_publish(
        self, verdicts: Mapping[int, tuple[set[str], set[str]]], now: float
    ) -> dict[int, int]:
        """Own verdicts that have not expired, and ``SERVING`` where others' verdicts are contradicted.

        ``verdicts`` are those of the other members, as ``RegisterView.verdicts`` returns them.
        """
        self.own_verdicts = {
            destination: verdict
            for destination, verdict in self.own_verdicts.items()
            if now - verdict[1] < VERDICT_LIFETIME_S
        }
        published = {destination: verdict[0] for destination, verdict in self.own_verdicts.items()}
        for destination in verdicts:
            if (
                destination not in published
                and destination in self.destinations
                and now - self.destinations[destination].last_served < RECENTLY_SERVED_S
            ):
                published[destination] = SERVING
        return published

    def update_avoided(self, verdicts: Mapping[int, tuple[set[str], set[str]]], now: float) -> list[int]:
        """Apply the other members' verdicts; returns the destinations to avoid now."""
        for destination, (bad, served) in verdicts.items():
            last_served = (
                self.destinations[destination].last_served if destination in self.destinations else -math.inf
            )
            if (
                destination not in self.own_verdicts
                and len(bad) > len(served)
                and now - last_served >= RECENTLY_SERVED_S
            ):
                # Avoided for longer than the verdict by a time that differs between balancers
                self.avoided_until[destination] = (
                    now + VERDICT_LIFETIME_S * (hash_text(self.name, destination) % 1000) / 1000.0
                )
            elif served or now - last_served < RECENTLY_SERVED_S:
                self.avoided_until.pop(destination, None)
        self.avoided_until = {
            destination: until for destination, until in self.avoided_until.items() if now < until
        }
        return sorted(self.avoided_until)
