"""Admission control between teams: what is admitted, borrowed and reclaimed.

The module does no I/O; times are seconds on the caller's clock.  An admitted connection is a ``Lease``, which
the caller releases once.  State is kept for each team, class and established connection; of refused clients
only a fingerprint and a retry time are kept, in a table of fixed size.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from zlib import crc32

from snowwick.broker.budget import Budget, TeamShare
from snowwick.broker.gcra import Gcra
from snowwick.broker.retry_queue import EARLY_TOLERANCE_S, SLOTS_AFTER_MISS, RetryQueue, RetryTable

DEFAULT_MAX_RETRY_AFTER_S = 60.0  # where the settings set no bound
RESERVATION_GRACE_S = 1.0  # how long a reservation outlasts the longest retry time
RECLAIM_INTERVAL_S = 0.05  # between reclaim rounds while connections have to be moved
FAIR_RATE_GAIN_PER_S = 0.5  # how fast the fair rate follows the use of the burst
MAX_FAIR_RATE_STEP_S = 0.25  # most time that one update of the fair rate accounts for
IDLE_BURST_FRACTION = 0.9  # unused part of the fleet's burst from which borrowing is not limited
# Part of a burst that is left for clients with a retry slot by clients without one.
RETRY_BURST_FRACTION = 0.5
# The reclaim rate is sized for at least this part of all connections, since it also serves the teams that
# share what lies beyond the guarantees.
MIN_RECLAIMABLE_FRACTION = 0.25
# Part of a ceiling that is left for clients with a retry slot by clients without one.
RETRY_CONNECTION_FRACTION = 0.03
MAX_RETRY_CONNECTIONS = 4  # upper bound of that part
MIN_CEILING_FOR_RETRY_CONNECTIONS = 20  # connections; below it that part is 0


@dataclass(slots=True, frozen=True)
class ClassLimits:
    """The limits of a request class: its part of the team's ceilings, and the longest wait of a request."""

    ceiling_fraction: float = 1.0
    max_wait_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class TeamLimits:
    """A team's limits at this balancer as (guarantee, ceiling); without ``classes`` any class is admitted."""

    connections: tuple[float, float]
    setups_per_s: tuple[float, float]
    load: tuple[float, float] = (0.0, math.inf)
    weight: float = 1.0
    pool: str = ""
    classes: Mapping[str, ClassLimits] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class BalancerLimits:
    """All limits that this balancer enforces."""

    connections: float
    setups_per_s: float
    teams: Mapping[str, TeamLimits]
    load: float = math.inf
    burst_s: float = 1.0  # seconds' worth of a rate that may pass at once
    reclaim_within_s: float = 10.0  # time in which a team gets its whole guarantee back
    lending_reserve_fraction: float = 0.1  # part of the unused guarantees that is not lent


class ClassState(RetryQueue):
    """One request class of a team: its limits, its connections, and the retry slots of its clients."""

    __slots__ = ("ceiling_limiter", "connections", "fingerprint_salt", "max_connections", "max_wait_ms")

    def __init__(self, team: str, name: str) -> None:
        super().__init__()
        self.connections = 0
        self.max_connections = math.inf
        self.max_wait_ms = math.inf
        self.ceiling_limiter: Gcra | None = None  # None where the class may use the whole of the team's rate
        self.fingerprint_salt = crc32(f"{team}\0{name}\0".encode())


class TeamState:
    """One team: its shares, rates and classes, and its established connections, oldest first."""

    __slots__ = (
        "accepts_any_class",
        "borrowed_interval_s",
        "borrowed_theoretical_arrival",
        "ceiling_limiter",
        "classes",
        "connection_share",
        "guarantee_limiter",
        "load_reporting_count",
        "load_share",
        "movable_leases",
        "name",
        "pool",
        "removed",
    )

    def __init__(self, name: str) -> None:
        self.name, self.pool, self.removed, self.accepts_any_class, self.load_reporting_count = (
            name,
            "",
            False,
            True,
            0,
        )
        self.connection_share, self.load_share = TeamShare(self), TeamShare(self)
        self.guarantee_limiter, self.ceiling_limiter = Gcra(0.0, 1.0), Gcra(0.0, 1.0)
        # Like Gcra.theoretical_arrival and Gcra.interval_s, for the borrowed rate, which always changes.
        self.borrowed_theoretical_arrival = -math.inf
        self.borrowed_interval_s = 0.0
        self.classes: dict[str, ClassState] = {}
        self.movable_leases: dict[Lease, None] = {}


@dataclass(slots=True, eq=False)
class Lease:
    """One admitted connection.  ``owner`` is the caller's object and is not used here."""

    owner: object
    team: TeamState
    class_state: ClassState
    pool: str
    load: float = 0.0
    load_reported: bool = False
    active: bool = True
    draining: bool = False  # its client has been asked to move


@dataclass(slots=True)
class Refusal:
    """A refused request: the reason code, the name of the limit, and the time after which to retry."""

    reason: str
    limit: str
    retry_after_s: float


class AdmissionController:
    """Admits or refuses the requests of one balancer, and selects the connections to reclaim."""

    def __init__(
        self, limits: BalancerLimits, seed: int = 0, max_retry_after_s: float = DEFAULT_MAX_RETRY_AFTER_S
    ) -> None:
        self.random, self.max_retry_after_s = (
            random.Random(seed),
            max_retry_after_s if max_retry_after_s > 0 else DEFAULT_MAX_RETRY_AFTER_S,
        )
        self.teams: dict[str, TeamState] = {}
        self.connection_budget, self.load_budget = Budget(0.0, 0.0, True), Budget(0.0, 0.0, False)
        self.fleet_limiter, self.reclaim_limiter = Gcra(0.0, 1.0), Gcra(0.0, 1.0)
        self.retry_table = RetryTable()
        # Setups a second that a team of weight 1 may borrow while all teams borrow, and when it was updated.
        self.fair_rate = self.fair_rate_updated_at = 0.0
        self.misplaced_leases: dict[Lease, None] = {}  # in a pool that is no longer their team's
        self.teams_to_check: dict[TeamState, None] = {}  # to be checked: these may exceed a ceiling
        self.now = 0.0
        self.apply(limits, 0.0)

    # -- limits ------------------------------------------------------------------------------------------

    def apply(self, limits: BalancerLimits, now: float) -> None:
        """Enforce other limits from now on.

        Admitted connections stay counted; those over the new limits are moved at the reclaim rate.  The state
        of that rate is kept: two changes in a row allow no more moves than one.
        """
        self.limits, now = limits, self._advance_clock(now)
        self.has_load_limit = limits.load < math.inf or any(
            team_limits.load[1] < math.inf for team_limits in limits.teams.values()
        )
        self.connection_budget.limit = limits.connections
        self.connection_budget.lending_reserve_fraction = limits.lending_reserve_fraction
        self.load_budget.limit = limits.load
        self.load_budget.lending_reserve_fraction = limits.lending_reserve_fraction
        self.fleet_limiter.change_rate(now, limits.setups_per_s, limits.setups_per_s * limits.burst_s)
        reclaimable_connections = max(
            1.0,
            sum(team_limits.connections[0] for team_limits in limits.teams.values()),
            MIN_RECLAIMABLE_FRACTION * limits.connections,
        )
        self.reclaim_limiter.change_rate(
            now,
            reclaimable_connections / limits.reclaim_within_s,
            max(1.0, reclaimable_connections / limits.reclaim_within_s * RECLAIM_INTERVAL_S),
        )
        total_weight = sum(team_limits.weight for team_limits in limits.teams.values())
        self.fair_rate = min(
            max(self.fair_rate, limits.setups_per_s / max(1.0, total_weight)), limits.setups_per_s
        )
        for name in [*self.teams.keys() - limits.teams.keys()]:
            self._remove_team(self.teams[name])
        for name, team_limits in limits.teams.items():
            self._set_team_limits(self.teams.setdefault(name, TeamState(name)), team_limits, now)
        self.connection_budget.share_count = self.load_budget.share_count = len(self.teams)
        for budget in (self.connection_budget, self.load_budget):
            budget.update_uncontended_total()

    def _set_team_limits(self, team: TeamState, team_limits: TeamLimits, now: float) -> None:
        burst_s = self.limits.burst_s
        if team_limits.pool != team.pool:
            self.misplaced_leases.update(
                dict.fromkeys(lease for lease in team.movable_leases if lease.pool != team_limits.pool)
            )
        team.pool, team.removed, team.accepts_any_class = team_limits.pool, False, not team_limits.classes
        self.connection_budget.set_limits(team.connection_share, *team_limits.connections, team_limits.weight)
        self.load_budget.set_limits(team.load_share, *team_limits.load, team_limits.weight)
        team.guarantee_limiter.change_rate(
            now, team_limits.setups_per_s[0], team_limits.setups_per_s[0] * burst_s
        )
        team.ceiling_limiter.change_rate(
            now, team_limits.setups_per_s[1], team_limits.setups_per_s[1] * burst_s
        )
        for name in team_limits.classes:
            team.classes.setdefault(name, ClassState(team.name, name))
        for name in [
            name for name in team.classes if name not in team_limits.classes and team_limits.classes
        ]:
            del team.classes[name]  # its leases still refer to its state
        for name, class_state in team.classes.items():
            self._set_class_limits(
                class_state, team_limits, team_limits.classes.get(name, ClassLimits()), now
            )
        self.teams_to_check[team] = None

    def _set_class_limits(
        self, class_state: ClassState, team_limits: TeamLimits, class_limits: ClassLimits, now: float
    ) -> None:
        class_state.max_wait_ms = class_limits.max_wait_ms
        if class_limits.ceiling_fraction >= 1.0:
            class_state.ceiling_limiter = None
            class_state.max_connections = math.inf
            return
        rate = class_limits.ceiling_fraction * team_limits.setups_per_s[1]
        class_state.max_connections = max(
            1.0, math.floor(class_limits.ceiling_fraction * team_limits.connections[1] + 1e-9)
        )
        class_state.ceiling_limiter = class_state.ceiling_limiter or Gcra(rate, rate * self.limits.burst_s)
        class_state.ceiling_limiter.change_rate(now, rate, rate * self.limits.burst_s)

    def _remove_team(self, team: TeamState) -> None:
        """Take a team's limits away; its state stays until its last connection has ended."""
        team.removed = True
        self.connection_budget.set_limits(team.connection_share, 0.0, 0.0, 1.0)
        self.load_budget.set_limits(team.load_share, 0.0, 0.0, 1.0)
        self.teams_to_check[team] = None
        self._delete_if_unused(team)

    def _delete_if_unused(self, team: TeamState) -> None:
        if team.removed and not team.connection_share.in_use and self.teams.get(team.name) is team:
            del self.teams[team.name]
            self.teams_to_check.pop(team, None)

    def _advance_clock(self, now: float) -> float:
        """The time to go by: a clock that steps back counts as standing still."""
        if now > self.now:
            self.now = now
        return self.now

    # -- admission ---------------------------------------------------------------------------------------

    def admit(self, now: float, owner: object, team_name: str, class_name: str, key: str) -> Lease | Refusal:
        """Admit or refuse a client's connection; ``key`` identifies the client, also when it retries."""
        team = self.teams.get(team_name)
        if team is None:
            return Refusal("no-contract", "team", self._retry_without_slot_s(self.max_retry_after_s))
        return self.admit_for_team(now, owner, team, class_name, key)

    def admit_for_team(
        self, now: float, owner: object, team: TeamState, class_name: str, key: str
    ) -> Lease | Refusal:
        """Like ``admit``, for a caller that has looked up the team."""
        now = self._advance_clock(now)
        if team.removed:
            return Refusal("no-contract", "team", self._retry_without_slot_s(self.max_retry_after_s))
        class_state = team.classes.get(class_name) or self._find_class(team, class_name)
        if class_state is None:
            return Refusal("no-contract", "class", self._retry_without_slot_s(self.max_retry_after_s))
        if self.connection_budget.reservations or self.load_budget.reservations:
            self.connection_budget.expire_reservations(now)
            self.load_budget.expire_reservations(now)
        slots_pending = class_state.next_slot_at > now
        fingerprint = 0
        retry_at = None
        if slots_pending:
            fingerprint = self.retry_table.fingerprint(class_state.fingerprint_salt, key)
            retry_at = self.retry_table.find(fingerprint, now)
        load = self._expected_load(team) if self.has_load_limit else 0.0
        slot_reached = retry_at is not None and now >= retry_at - EARLY_TOLERANCE_S
        # A client without a slot leaves room for those with one, unless its team is within its guarantee.
        leave_room = (
            slots_pending
            and not slot_reached
            and not (
                self.connection_budget.within_guarantee(team.connection_share, 1.0)
                and team.guarantee_limiter.conforms(now)
                and self.load_budget.within_guarantee(team.load_share, load)
            )
        )
        exceeded = self._exceeded_limit(now, team, class_state, load, leave_room)
        if exceeded is None:
            if retry_at is not None:
                self.retry_table.remove(fingerprint)
            if slot_reached:
                class_state.record_retry(True)
            class_state.record_admission(now)
            return self._charge_and_create_lease(now, owner, team, class_state)
        reason, limit, rate = exceeded
        if limit == "fleet":
            self._reserve_room(now, team, load, reason)
        if retry_at is not None and not slot_reached:
            # A client that retries early keeps its slot: it is not admitted sooner and gets no second slot.
            return Refusal(reason, limit, retry_at - now)
        fingerprint = fingerprint or self.retry_table.fingerprint(class_state.fingerprint_salt, key)
        if not rate:
            # This limit has no rate of its own: the slot rate follows from recent admissions.
            rate = class_state.slot_rate(now)
        if slot_reached:  # no room at its slot: the client gets another soon, not one at the end of the queue
            class_state.record_retry(False)
            slot_at: float | None = now + self.random.uniform(*SLOTS_AFTER_MISS) / max(
                rate, 1.0 / self.max_retry_after_s
            )
        else:
            slot_at = class_state.book_slot(now, rate, self.max_retry_after_s)
        if slot_at is None or slot_at - now > self.max_retry_after_s:
            return Refusal(reason, limit, self._retry_without_slot_s(self.max_retry_after_s))
        self.retry_table.set(fingerprint, slot_at)
        return Refusal(reason, limit, slot_at - now)

    def adopt(self, now: float, owner: object, team_name: str, class_name: str) -> Lease | None:
        """Count a connection from before this program's start, whatever the limits are."""
        now, team = self._advance_clock(now), self.teams.get(team_name)
        if team is None or team.removed or (class_state := self._find_class(team, class_name)) is None:
            return None
        return self._create_lease(owner, team, class_state)

    def _find_class(self, team: TeamState, name: str) -> ClassState | None:
        """The state of a class; it is created where the team's contract names no classes."""
        if name not in team.classes and team.accepts_any_class:
            team.classes[name] = ClassState(team.name, name)
        return team.classes.get(name)

    def _expected_load(self, team: TeamState) -> float:
        """The load to expect of one more connection: the mean of the team's connections, else of all."""
        if team.load_reporting_count:
            return team.load_share.in_use / team.load_reporting_count
        load_reporting_count = sum(other.load_reporting_count for other in self.teams.values())
        return self.load_budget.total_in_use / load_reporting_count if load_reporting_count else 0.0

    def _exceeded_limit(
        self, now: float, team: TeamState, class_state: ClassState, load: float, leave_room: bool
    ) -> tuple[str, str, float] | None:
        """The limit that refuses a request, if any: reason code, name, and its rate (0 where it has none).

        With ``leave_room`` the request also has to leave some room for clients with a retry slot.
        """
        ceiling_limiter = class_state.ceiling_limiter
        if ceiling_limiter is not None and not (
            ceiling_limiter.conforms_leaving(now, RETRY_BURST_FRACTION)
            if leave_room
            else ceiling_limiter.conforms(now)
        ):
            return "over-class", "rate", ceiling_limiter.rate
        ceiling_limiter = team.ceiling_limiter
        if not (
            ceiling_limiter.conforms_leaving(now, RETRY_BURST_FRACTION)
            if leave_room
            else ceiling_limiter.conforms(now)
        ):
            return "over-rate", "team", ceiling_limiter.rate
        if not team.guarantee_limiter.conforms(now) and not self._may_borrow_rate(now, team, leave_room):
            return "over-rate", "fleet", 0.0
        spare = self._connections_for_retries(team) if leave_room else 0
        if class_state.connections + 1 + spare > class_state.max_connections:
            return "over-class", "connections", 0.0
        if team.connection_share.in_use + 1 + spare > team.connection_share.ceiling:
            return "over-connections", "team", 0.0
        if not self.connection_budget.has_room(team.connection_share, 1.0, spare):
            return "over-connections", "fleet", 0.0
        if self.has_load_limit and team.load_share.in_use + load > team.load_share.ceiling + 1e-9:
            return "over-load", "team", 0.0
        if self.has_load_limit and not self.load_budget.has_room(team.load_share, load):
            return "over-load", "fleet", 0.0
        return None

    def _connections_for_retries(self, team: TeamState) -> int:
        """How many connections are left for clients with a retry slot."""
        ceiling = min(team.connection_share.ceiling, self.connection_budget.limit)
        return (
            min(MAX_RETRY_CONNECTIONS, math.ceil(RETRY_CONNECTION_FRACTION * ceiling))
            if ceiling >= MIN_CEILING_FOR_RETRY_CONNECTIONS
            else 0
        )

    def _may_borrow_rate(self, now: float, team: TeamState, leave_room: bool) -> bool:
        """Whether a setup beyond the team's guaranteed rate may pass.

        While almost none of the fleet's burst is used, any setup may.  Otherwise each team may borrow up to
        the fair rate times its weight.  The fair rate rises while more than half of the burst is unused and
        falls while less is (the fair share of core-stateless fair queueing, Stoica et al. 1998, found by
        feedback).
        """
        fleet_limiter = self.fleet_limiter
        used_s = fleet_limiter.theoretical_arrival - now
        unused_fraction = (
            1.0
            if used_s <= 0.0 or fleet_limiter.rate == math.inf
            else 1.0 - used_s / (fleet_limiter.burst * fleet_limiter.interval_s)
        )
        # The update counts elapsed time, not requests: a thousand refusals at once count like one.
        elapsed_s = now - self.fair_rate_updated_at
        if elapsed_s > 0.0:
            self.fair_rate_updated_at, setups_per_s = now, self.limits.setups_per_s
            fair_rate = self.fair_rate * (
                1.0
                + FAIR_RATE_GAIN_PER_S
                * min(MAX_FAIR_RATE_STEP_S, elapsed_s)
                * (2.0 * max(0.0, unused_fraction) - 1.0)
            )
            self.fair_rate = min(max(fair_rate, 1e-4 * setups_per_s), setups_per_s)
        if unused_fraction >= IDLE_BURST_FRACTION:
            return True
        # The fair rate keeps the burst about half used: clients without a slot need room within that half.
        if not (
            fleet_limiter.conforms_leaving(now, RETRY_BURST_FRACTION / 2.0)
            if leave_room
            else fleet_limiter.conforms(now)
        ):
            return False
        # The unused part also counts directly: through the fair rate alone the feedback would oscillate.
        borrowed_rate = self.fair_rate * team.connection_share.weight * (0.5 + unused_fraction)
        team.borrowed_interval_s = 1.0 / borrowed_rate
        return (
            team.borrowed_theoretical_arrival - now
            <= max(0.0, self.limits.burst_s - team.borrowed_interval_s) + 1e-9
        )

    def _charge_and_create_lease(
        self, now: float, owner: object, team: TeamState, class_state: ClassState
    ) -> Lease:
        """Count an admitted request against the rate limits, and create its lease."""
        if team.guarantee_limiter.conforms(now):
            team.guarantee_limiter.consume(now)
        else:
            team.borrowed_theoretical_arrival = (
                team.borrowed_theoretical_arrival if team.borrowed_theoretical_arrival > now else now
            ) + team.borrowed_interval_s
        if class_state.ceiling_limiter is not None:
            class_state.ceiling_limiter.consume(now)
        team.ceiling_limiter.consume(now)
        self.fleet_limiter.consume(now)
        self.connection_budget.claim_reservation(team.connection_share, 1.0)
        return self._create_lease(owner, team, class_state)

    def _create_lease(self, owner: object, team: TeamState, class_state: ClassState) -> Lease:
        class_state.connections += 1
        self.connection_budget.adjust_usage(team.connection_share, 1.0)
        return Lease(owner, team, class_state, team.pool)

    def _reserve_room(self, now: float, team: TeamState, load: float, reason: str) -> None:
        """Reserve the room that is freed next for a team that was refused, if it is entitled to it."""
        until = now + self.max_retry_after_s + RESERVATION_GRACE_S
        if reason == "over-connections":
            self.connection_budget.reserve_room(until, team.connection_share, 1.0)
        elif reason == "over-load" and load > 0.0:
            self.load_budget.reserve_room(until, team.load_share, load)

    def _retry_without_slot_s(self, max_retry_after_s: float) -> float:
        """A retry time near the longest, drawn at random so that such clients do not all retry at once."""
        return max_retry_after_s * (0.75 + 0.25 * self.random.random())

    # -- leases ------------------------------------------------------------------------------------------

    def mark_established(self, lease: Lease) -> None:
        """Note that the connection is established: from now on it can be moved."""
        if lease.active:
            team = lease.team
            team.movable_leases[lease] = None
            if team.removed or team.connection_share.exceeds_ceiling():
                self.teams_to_check[team] = None
            if lease.pool != team.pool:
                self.misplaced_leases[lease] = None

    def update_load(self, lease: Lease, reported_load: float) -> None:
        """Set the load that a connection causes now."""
        if not lease.active:
            return
        team, change = lease.team, reported_load - lease.load
        team.load_reporting_count += not lease.load_reported
        lease.load_reported = True
        lease.load = reported_load
        self.load_budget.adjust_usage(team.load_share, change)
        if lease.draining:
            self.load_budget.adjust_draining(team.load_share, change)
        if team.load_share.exceeds_ceiling():
            self.teams_to_check[team] = None

    def release(self, lease: Lease) -> None:
        """Release a lease; a second release does nothing."""
        if not lease.active:
            return
        lease.active, team = False, lease.team
        if lease.draining:
            self.connection_budget.adjust_draining(team.connection_share, -1.0)
            self.load_budget.adjust_draining(team.load_share, -lease.load)
        lease.class_state.connections -= 1
        self.connection_budget.adjust_usage(team.connection_share, -1.0)
        if lease.load_reported:
            self.load_budget.adjust_usage(team.load_share, -lease.load)
            team.load_reporting_count -= 1
        team.movable_leases.pop(lease, None)
        if self.misplaced_leases:
            self.misplaced_leases.pop(lease, None)
        if team.removed:
            self._delete_if_unused(team)

    # -- reclaiming --------------------------------------------------------------------------------------

    def reclaim_delay_s(self) -> float | None:
        """Time until ``reclaim`` should be called, or None while no connection has to be moved."""
        return (
            max(RECLAIM_INTERVAL_S, self.reclaim_limiter.wait_s(self.now)) if self.needs_reclaim() else None
        )

    def needs_reclaim(self) -> bool:
        """Whether any connection has to be moved."""
        return (
            bool(self.misplaced_leases or self.teams_to_check)
            or self.connection_budget.share_to_reclaim_from() is not None
            or (self.has_load_limit and self.load_budget.share_to_reclaim_from() is not None)
        )

    def reclaim(self, now: float) -> list[Lease]:
        """The leases whose clients have to be moved now, as many as the reclaim rate allows."""
        now = self._advance_clock(now)
        self.connection_budget.expire_reservations(now)
        self.load_budget.expire_reservations(now)
        moved: list[Lease] = []
        while (
            self.reclaim_limiter.conforms(now)
            and (lease := next(self._candidates_to_move(), None)) is not None
        ):
            self.reclaim_limiter.consume(now)
            lease.draining = True
            lease.team.movable_leases.pop(lease, None)
            self.misplaced_leases.pop(lease, None)
            self.connection_budget.adjust_draining(lease.team.connection_share, 1.0)
            self.load_budget.adjust_draining(lease.team.load_share, lease.load)
            moved.append(lease)
        return moved

    def _candidates_to_move(self) -> Iterator[Lease]:
        """Leases in the order in which they are moved.

        Those over a ceiling come first, then those in a wrong pool, then the newest of the team that borrows
        most.
        """
        for team in list(self.teams_to_check):
            over_ceiling = team.connection_share.exceeds_ceiling() or team.load_share.exceeds_ceiling()
            if over_ceiling and team.movable_leases:
                yield next(reversed(team.movable_leases))
            if not over_ceiling or not team.connection_share.in_use:
                self.teams_to_check.pop(team, None)
        yield from self.misplaced_leases
        for budget in (self.connection_budget, self.load_budget):
            share = budget.share_to_reclaim_from()
            if share is not None and share.owner.movable_leases:
                yield next(reversed(share.owner.movable_leases))
