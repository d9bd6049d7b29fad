"""Admission control between teams: what is admitted, borrowed and reclaimed.

The module does no I/O; times are seconds on the caller's clock.  An admitted connection is a ``Lease``, which
the caller releases once.  State is kept for each team, class and established connection; of refused clients
only a fingerprint and a retry time are kept, in a table of fixed size.

A contract is what the operators' file grants a team in the whole fleet (``contract`` reads it); the limits
here are one balancer's part of the contracts.  Connections, setups a second and load are limited separately.

- Guarantee: what a team may use at any time; where too much of it is lent, borrowers' connections are moved.
- Ceiling: the most that a team, or a class of it, may use.
- Lending: any team may borrow what teams leave unused of their guarantees and what is guaranteed to none.
- Lending reserve: the fraction of the unused guarantees that is not lent, so that a team's first requests
  find room before any connection has been moved.
- Reclaiming: clients of the team that borrows most for its weight are asked to reconnect, newest first, until
  there is room for what is guaranteed and reserved.  Connections over a ceiling or in a wrong pool also move.
- Reservation: room that is kept for a refused team until its client should have retried.  A team gets it if
  it stays within its guarantee, or would still borrow no more for its weight than the largest borrower; the
  rule is ``Budget.reserve_room``.
- Retry slot: the time at which a refused client is asked to retry.  ``retry_queue`` books slots at the rate
  at which the class has been admitting clients; who retries at its slot goes before clients without one.
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
# Time between reclaim rounds while connections have to be moved; a round moves as many as the reclaim rate
# has saved up in one interval.
RECLAIM_INTERVAL_S = 0.05
# Relative change of the fair rate per second: up while the whole burst is unused, down while none of it is.
FAIR_RATE_GAIN_PER_S = 0.5
MAX_FAIR_RATE_STEP_S = 0.25  # most time that one update of the fair rate accounts for
# While at least this fraction of the fleet limiter's burst is unused, teams may borrow up to their ceilings.
IDLE_BURST_FRACTION = 0.9
# While clients wait for their retry slots, a client without one passes a rate limit only if this fraction of
# the limit's burst stays unused, for the clients with a slot.
RETRY_BURST_FRACTION = 0.5
# The reclaim rate can move the sum of all guarantees within ``reclaim_within_s``, and at least this fraction
# of all connections: moves also even out what teams borrow beyond their guarantees.
MIN_RECLAIMABLE_FRACTION = 0.25
# A client without a retry slot likewise leaves this fraction of the connections free: of the team's ceiling,
# or of the balancer's limit if that is lower.
RETRY_CONNECTION_FRACTION = 0.03
MAX_RETRY_CONNECTIONS = 4  # upper bound of the connections left free
MIN_CEILING_FOR_RETRY_CONNECTIONS = 20  # connections; below this ceiling or limit none are left free


@dataclass(slots=True, frozen=True)
class ClassLimits:
    """The limits of a request class: its part of the team's ceilings, and the longest wait of a request.

    ``max_wait_ms`` is not used in this module: the caller limits the time for which an admitted request may
    wait for its connection.
    """

    ceiling_fraction: float = 1.0
    max_wait_ms: float = math.inf


@dataclass(slots=True, frozen=True)
class TeamLimits:
    """A team's limits at this balancer as (guarantee, ceiling); without ``classes`` any class is admitted.

    ``load`` is work a second in the unit of the destinations' LOAD lines.  What lies beyond the guarantees is
    shared in proportion to ``weight``.  ``pool`` names the destinations that serve the team; after it has
    changed, the team's connections in the old pool are moved.
    """

    connections: tuple[float, float]
    setups_per_s: tuple[float, float]
    load: tuple[float, float] = (0.0, math.inf)
    weight: float = 1.0
    pool: str = ""
    classes: Mapping[str, ClassLimits] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class BalancerLimits:
    """All limits that this balancer enforces: its part of the fleet's limits, and the teams' limits."""

    connections: float
    setups_per_s: float
    teams: Mapping[str, TeamLimits]
    load: float = math.inf  # work a second in the unit of the destinations' LOAD lines
    burst_s: float = 1.0  # seconds' worth of a rate that may pass at once
    reclaim_within_s: float = 10.0  # time in which a team gets its whole guarantee back
    lending_reserve_fraction: float = 0.1  # part of the unused guarantees that is not lent


class ClassState(RetryQueue):
    """One request class of a team: its limits, its connections, and the queue of its clients' retry slots."""

    __slots__ = ("ceiling_limiter", "connections", "fingerprint_salt", "max_connections", "max_wait_ms")

    def __init__(self, team: str, name: str) -> None:
        super().__init__()
        self.connections = 0
        self.max_connections = math.inf
        self.max_wait_ms = math.inf  # for the caller
        self.ceiling_limiter: Gcra | None = None  # None where the class may use the team's whole rate
        self.fingerprint_salt = crc32(f"{team}\0{name}\0".encode())


class TeamState:
    """One team: its use of the budgets, its rate limiters, its classes and the leases that can be moved."""

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
        # What the team uses and may use of the budgets of connections and of load.
        self.connection_share, self.load_share = TeamShare(self), TeamShare(self)
        # Rate 0 and burst 1 until the limits are set.
        self.guarantee_limiter, self.ceiling_limiter = Gcra(0.0, 1.0), Gcra(0.0, 1.0)
        # A limiter for setups beyond the guarantee, in the terms of ``Gcra``: the theoretical arrival time of
        # the next one and the time between two.  It is no ``Gcra`` since its rate is another at each request.
        self.borrowed_theoretical_arrival = -math.inf
        self.borrowed_interval_s = 0.0
        self.classes: dict[str, ClassState] = {}
        # Established connections whose clients have not been asked to move, oldest first.
        self.movable_leases: dict[Lease, None] = {}


@dataclass(slots=True, eq=False)
class Lease:
    """One admitted connection.  ``owner`` is the caller's object and is not used here.

    ``pool`` is the team's pool at the admission.  ``load`` is the last reported load in work a second, 0
    before the first report.
    """

    owner: object
    team: TeamState
    class_state: ClassState
    pool: str
    load: float = 0.0
    load_reported: bool = False
    active: bool = True  # not released
    draining: bool = False  # its client has been asked to move


@dataclass(slots=True)
class Refusal:
    """A refused request: the reason code, the name of the limit, and the time after which to retry.

    The pairs of reason and limit are:

    - ``no-contract``: ``team`` (unknown or removed) or ``class`` (not among the team's classes)
    - ``over-class``: ``rate`` or ``connections``, the part of the team's ceiling that its class may use
    - ``over-rate``, ``over-connections`` and ``over-load``: ``team`` (the team's ceiling) or ``fleet`` (this
      balancer's part of the fleet's limit, as far as the team may borrow from it)
    """

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
        # Limits and lending reserves are 0 until ``apply`` sets them; connections are counted in whole units.
        self.connection_budget, self.load_budget = Budget(0.0, 0.0, True), Budget(0.0, 0.0, False)
        # Limiters of this balancer's part of the fleet's setups a second, and of the moves; rate 0 and burst
        # 1 until ``apply`` sets them.
        self.fleet_limiter, self.reclaim_limiter = Gcra(0.0, 1.0), Gcra(0.0, 1.0)
        self.retry_table = RetryTable()
        # Setups a second that a team of weight 1 may borrow while all teams borrow, and when it was updated.
        self.fair_rate = self.fair_rate_updated_at = 0.0
        self.misplaced_leases: dict[Lease, None] = {}  # in a pool that is no longer their team's
        self.teams_to_check: dict[TeamState, None] = {}  # may exceed a ceiling; ``reclaim`` checks them
        self.now = 0.0
        self.apply(limits, 0.0)

    # -- limits ------------------------------------------------------------------------------------------

    def apply(self, limits: BalancerLimits, now: float) -> None:
        """Enforce other limits from now on.

        Admitted connections stay counted; those over the new limits are moved at the reclaim rate.  The
        reclaim limiter is not reset, so that repeated changes of the limits do not allow additional moves.
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
        # The fair rate starts at an equal share of the whole rate by weight; a lower one is raised to it.
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
        """Set the limits of a team and of its classes; all classes stay if any class is admitted."""
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
        # The new ceilings may be below what the team uses.
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
        # At least one connection; 1e-9 is for rounding errors of a product that should be whole.
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
        """The time ``now``, or the latest earlier one: a clock that steps back counts as standing still."""
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
        """Like ``admit``, for a caller that has looked up the team.

        A client that a limit refuses gets the next free retry slot of its class, or, if it retried at its
        slot and there was no room, another one soon.  One that retries before its slot keeps it.  Where no
        slot is free within the longest retry time, the client gets a random time near that, without a slot.
        """
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
        # While clients wait for their slots, a client without one, or one that retries before its slot,
        # leaves room for them, unless its team is within its guarantee.
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
            # A client that is refused before its slot keeps this slot and gets no second one.
            return Refusal(reason, limit, retry_at - now)
        fingerprint = fingerprint or self.retry_table.fingerprint(class_state.fingerprint_salt, key)
        if not rate:
            # This limit has no rate of its own, or the rate 0: the slot rate follows from recent admissions.
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
        """The state of a class; it is created where the team's limits name no classes."""
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
        """The first limit that refuses a request, if any: reason code, name, and rate in setups a second.

        The rate is 0 for a limit that has no rate of its own, but also for a ceiling of 0 setups a second.  A
        setup within the team's guaranteed rate passes whatever is left of the fleet's rate.  With
        ``leave_room`` the request also has to leave some room for clients with a retry slot.
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
        """How many connections a client without a retry slot has to leave free for those with one."""
        ceiling = min(team.connection_share.ceiling, self.connection_budget.limit)
        return (
            min(MAX_RETRY_CONNECTIONS, math.ceil(RETRY_CONNECTION_FRACTION * ceiling))
            if ceiling >= MIN_CEILING_FOR_RETRY_CONNECTIONS
            else 0
        )

    def _may_borrow_rate(self, now: float, team: TeamState, leave_room: bool) -> bool:
        """Whether a setup beyond the team's guaranteed rate may pass; also brings the fair rate up to date.

        While almost none of the fleet's burst is used, any setup may pass.  Otherwise each team may borrow up
        to the fair rate times its weight, and ``team.borrowed_interval_s`` is set to the interval between two
        setups at this rate, which ``_charge_and_create_lease`` charges.  The fair rate rises while more than
        half of the burst is unused and falls while less is (the fair share of core-stateless fair queueing,
        Stoica et al. 1998, found by feedback).
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
            # The lower bound keeps it above 0, from where it could not rise again.
            self.fair_rate = min(max(fair_rate, 1e-4 * setups_per_s), setups_per_s)
        if unused_fraction >= IDLE_BURST_FRACTION:
            return True
        # While teams borrow, about half of the burst is used, since the fair rate is controlled so.  If
        # clients without a slot had to leave half of it, they would hardly ever pass; so they leave a
        # quarter.
        if not (
            fleet_limiter.conforms_leaving(now, RETRY_BURST_FRACTION / 2.0)
            if leave_room
            else fleet_limiter.conforms(now)
        ):
            return False
        # The factor of 0.5 to 1.5 is the proportional term of the control, and the fair rate is the integral
        # term; with that alone the control would oscillate.
        borrowed_rate = self.fair_rate * team.connection_share.weight * (0.5 + unused_fraction)
        team.borrowed_interval_s = 1.0 / borrowed_rate
        return (
            team.borrowed_theoretical_arrival - now
            <= max(0.0, self.limits.burst_s - team.borrowed_interval_s) + 1e-9
        )

    def _charge_and_create_lease(
        self, now: float, owner: object, team: TeamState, class_state: ClassState
    ) -> Lease:
        """Charge an admitted request to the rate limiters, and create its lease.

        A setup beyond the guarantee is charged the interval that was set when the team's borrowing was last
        limited, also while borrowing is not limited; before the first time this is 0.
        """
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
        """Reserve room for a team that was refused by the fleet's limit, where it has a right to more.

        It has this right if it stays within its guarantee, or would not exceed the level of the largest
        borrower (``Budget.reserve_room``).  Reclaiming then frees the room.  It would not help against a
        limit of the team's own.
        """
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
        """Set the load that a connection causes now, in work a second."""
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
        """Time until ``reclaim`` should be called, or None while there is nothing to reclaim.

        It counts from the latest ``now`` that was given to any method.
        """
        return (
            max(RECLAIM_INTERVAL_S, self.reclaim_limiter.wait_s(self.now)) if self.needs_reclaim() else None
        )

    def needs_reclaim(self) -> bool:
        """Whether any connection has to be moved, or a team may exceed a ceiling and has to be checked."""
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
        leases_to_move: list[Lease] = []
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
            leases_to_move.append(lease)
        return leases_to_move

    def _candidates_to_move(self) -> Iterator[Lease]:
        """Candidates for the next move, best first; the caller takes the first one and then asks anew.

        First comes the newest lease of each team over a ceiling, then those in a wrong pool, then the newest
        of the team that borrows most.  Teams of ``teams_to_check`` that exceed no ceiling, or have no
        connections, are dropped from it on the way.
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
            if share is not None and share.team_state.movable_leases:
                yield next(reversed(share.team_state.movable_leases))
