"""The kinds of registers and their values, and functions that combine the registers of all balancers.

Each register has one writer, so the reports of several members about one destination or limit are separate
registers.  A value that cannot be decoded is ignored.  Times are in seconds on the local clock.
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
HANGING = 1  # the destination does not answer
FAILING = 2  # several route steps in a row have failed
SERVING = 0  # contradicts another member's verdict: the destination serves clients of the writer
VERDICT_LIFETIME_S = 6.0  # how long a verdict is acted on unless its writer renews it
FAILURES_FOR_VERDICT = 3  # failed route steps in a row, after which the verdict is ``FAILING``
FAILURE_WINDOW_S = 5.0  # a failure this long after the one before begins a new series
# The verdicts of a member that reports a larger fraction of the destinations as bad are ignored
MAX_BAD_FRACTION = 0.25
# How long verdicts are ignored after the destination last served a client of this balancer
RECENTLY_SERVED_S = 0.5
LOAD_CHUNKS = 4  # registers that hold a balancer's connection counts; a change sends only one of them
LIMITS_PER_REGISTER = 12  # contract limits in one revision register
MAX_LEAVING = 100  # destinations in ``DiscoveryState.leaving``; the last ones of the list are kept


class DiscoveryState(msgspec.Struct, array_like=True, frozen=True):
    """A list register: the version of discovery's list at a member, and what it drains."""

    source: str  # the name of the discovery
    version: int
    leaving: list[int]  # ids of the destinations that are not ready, and that clients have to leave


class Revision(msgspec.Struct, array_like=True, frozen=True):
    """A revision register: digests of a member's fleet file and contracts, and the contracts' limits."""

    fleet_digest: str
    contracts_digest: str = ""
    limits: dict[str, float] = {}  # of the whole fleet, by name of the budget


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
    """Reads the registers of the other members, without those of members that have died or left."""

    def __init__(self, store: Store, members: Membership) -> None:
        self.store, self.members = store, members

    def valid_entries(self, kind: int, now: float) -> Iterator[tuple[Entry, bytes]]:
        """The other members' registers of a kind that may still be acted on, with their encoded values."""
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
        """Yield (owner, key, value) for the other members' registers of a kind."""
        for entry, data in self.valid_entries(kind, now):
            value = unpack(data, value_type)
            if value is not None:
                yield entry.owner, entry.key, value

    # -- health ------------------------------------------------------------------------------------------

    def verdicts(self, destination_count: int, now: float) -> dict[int, tuple[set[str], set[str]]]:
        """By destination, the members that report it as hanging or failing, and those that it serves.

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
        """The destinations drained by other members' lists of a discovery that are newer than ``version``."""
        return {
            destination
            for _, _, state in self.decoded(LIST, DiscoveryState, now)
            if state.source == source and state.version > version
            for destination in state.leaving
        }

    # -- load --------------------------------------------------------------------------------------------

    def connections_elsewhere(self, now: float) -> Counter[int]:
        """The other members' connections, established or in setup, at each destination."""
        total: Counter[int] = Counter()
        for _, _, counts in self.decoded(LOAD, dict[int, int], now):
            total.update({destination: count for destination, count in counts.items() if 0 < count < 1 << 31})
        return total

    # -- rights ------------------------------------------------------------------------------------------

    def requests_and_grants(
        self, now: float
    ) -> tuple[dict[str, dict[str, tuple[int, LeaseRequest]]], list[tuple[str, int, str, Grant]]]:
        """The other members' lease requests, and their grants to this balancer.

        Requests are by budget and borrower, each with the borrower's epoch.  Grants are (lender, lender's
        epoch, budget, grant).
        """
        requests: dict[str, dict[str, tuple[int, LeaseRequest]]] = defaultdict(dict)
        grants: list[tuple[str, int, str, Grant]] = []
        for entry, data in self.valid_entries(RIGHTS, now):
            action, _, rest = entry.key.partition(":")
            if action == "ask" and (request := unpack(data, LeaseRequest)) is not None:
                requests[rest][entry.owner] = entry.epoch, request
            elif action == "grant":
                # A member's name may hold any text, but a budget's name holds no colon.
                borrower, _, budget = rest.rpartition(":")
                if borrower == self.store.name and (grant := unpack(data, Grant)) is not None:
                    grants.append((entry.owner, entry.epoch, budget, grant))
        return requests, grants

    # -- revisions ---------------------------------------------------------------------------------------

    def revisions(self, now: float) -> dict[str, Revision]:
        """The other members' revisions, each merged from all its registers."""
        revisions: dict[str, Revision] = {}
        for owner, _, part in sorted(self.decoded(REVISION, Revision, now), key=lambda row: row[1]):
            earlier_parts = revisions.get(owner, part)
            revisions[owner] = Revision(
                part.fleet_digest, part.contracts_digest, {**earlier_parts.limits, **part.limits}
            )
        return revisions


def stricter_limits(own: Revision, others: Mapping[str, Revision]) -> dict[str, float]:
    """By budget, the lowest limit of balancers with other contracts, where it is below the own limit.

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
    """The number of the load register that holds a destination's connection count."""
    return destination % LOAD_CHUNKS


@dataclass(slots=True)
class DestinationHealth:
    """What this balancer's own traffic shows about a destination."""

    last_served: float = -math.inf  # when it last served a client of this balancer
    last_failed: float = -math.inf  # when a route step to it last failed
    first_failed: float = -math.inf  # when the current series of failures began
    failures: int = 0  # number of failed route steps in the current series


@dataclass(slots=True)
class HealthTracker:
    """This balancer's verdicts, and the destinations that it avoids on other members' verdicts.

    All balancers act on one member's verdict, since otherwise each of them would route a client to a hanging
    destination before it detects that.  A balancer ignores a verdict if the destination serves its own
    clients, if at least as many members report that it serves theirs as report it as bad, or if the verdict's
    writer reports a large part of all destinations.  A balancer whose clients are served publishes
    ``SERVING``, which ends one member's verdict everywhere.  Once a verdict has expired, the balancers try
    the destination again at different times.
    """

    name: str  # of this balancer
    destinations: dict[int, DestinationHealth] = field(default_factory=dict)
    # The verdict on each destination, and when it was made
    own_verdicts: dict[int, tuple[int, float]] = field(default_factory=dict)
    avoided_until: dict[int, float] = field(default_factory=dict)  # by destination

    def record_served(self, destination: int, now: float) -> None:
        """Record that a destination served a client of this balancer, and drop the own verdict on it."""
        health = self.destinations.setdefault(destination, DestinationHealth())
        health.last_served = now
        health.failures = 0
        self.own_verdicts.pop(destination, None)

    def record_hanging(self, destination: int, now: float) -> None:
        """Make the verdict ``HANGING``, as a destination answers none of this balancer's requests."""
        self.own_verdicts[destination] = HANGING, now

    def record_failure(self, destination: int, timed_out: bool, now: float) -> None:
        """Record a failed route step; makes a verdict after a time-out or several failures in a row."""
        health = self.destinations.setdefault(destination, DestinationHealth())
        if now - health.last_failed > FAILURE_WINDOW_S:
            health.failures = 0
            health.first_failed = now
        health.last_failed, health.failures = now, health.failures + 1
        if timed_out and health.last_served < now - VERDICT_LIFETIME_S:
            # One time-out is enough where the destination has not served a client for a while
            self.own_verdicts[destination] = HANGING, now
        elif health.failures >= FAILURES_FOR_VERDICT:
            self.own_verdicts[destination] = FAILING, now

    def forget(self, known: Callable[[int], bool]) -> None:
        """Drop the state of destinations for which ``known`` returns False."""
        for table in (self.destinations, self.own_verdicts, self.avoided_until):
            for destination in [destination for destination in table if not known(destination)]:
                del table[destination]

    def verdicts_to_publish(
        self, verdicts: Mapping[int, tuple[set[str], set[str]]], now: float
    ) -> dict[int, int]:
        """The verdict to publish on each destination: own ones, and ``SERVING`` to contradict others'.

        ``verdicts`` are those of the other members, as returned by ``RegisterView.verdicts``.
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
        """Apply the other members' verdicts; returns the destinations to avoid now, in order."""
        for destination, (bad, served) in verdicts.items():
            last_served = (
                self.destinations[destination].last_served if destination in self.destinations else -math.inf
            )
            if (
                destination not in self.own_verdicts
                and len(bad) > len(served)
                and now - last_served >= RECENTLY_SERVED_S
            ):
                # Avoided beyond the verdict's end, for a time that differs between balancers
                self.avoided_until[destination] = (
                    now + VERDICT_LIFETIME_S * (hash_text(self.name, destination) % 1000) / 1000.0
                )
            elif served or now - last_served < RECENTLY_SERVED_S:
                self.avoided_until.pop(destination, None)
        self.avoided_until = {
            destination: until for destination, until in self.avoided_until.items() if now < until
        }
        return sorted(self.avoided_until)
