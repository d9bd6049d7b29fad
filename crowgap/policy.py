"""All decisions of one balancer; `crowgap/interface.py` has its settings, events and actions.

The ordinary path: a throttle admits setups, and rendezvous hashing on the group key, or on the client key
where there is none, places them.  docs/design.md describes where the module departs from this path.  All
times are milliseconds on the caller's clock.

Throttle: A. W. Berger's rate control throttle, in which tokens and jobs queue.  A setup (a job) that finds no
token in the token bank waits in the waiting buffer, and one that finds the buffer full is refused.  The
bank holds at most C_T tokens and the buffer at most C_J setups.  The throttle turns on in an overload only.

Group and ranking: requests with the same group key are one group.  A group's ranking is the order in which
weighted rendezvous hashing prefers the backends for it; it is the same at every balancer.  Serving a group
has a fixed cost at each backend that serves any part of it, the group cost GROUP_COST_CONNECTIONS, so a group
is kept on few backends.

Plan: which backends of its ranking each group uses, and for which fraction of its clients, so that no backend
is filled beyond a common bound.  It needs tenants with quotas: the capacities are estimated from these.

Cold and warm: a backend is cold until its warm-up, ``Settings.cold_time``, is over.  Its capacity rises
during the warm-up, and it collapses when it is asked for ``fall_multiple`` times its present capacity for
``overload_for`` ms, the overload window.  The cold budget is the mean number of setups within this time, from
all balancers together, that overloads it.  The balancers decide independently of each other, so the number of
setups that arrive from all of them has about a Poisson distribution around its mean, and the square root of
the mean covers its spread.  ``Balancer._within_cold_limit`` applies this budget.
"""

from __future__ import annotations

import math
import random
from bisect import insort
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from crowgap import interface

MASK_64_BITS = (1 << 64) - 1

# Groups whose traffic and ranking are remembered.
MAX_GROUPS = 300
# Ranks kept of each group's ranking: enough to split a group over several backends and to pass over failed
# ones.  Also the number of backends that are kept beyond twice the ready ones before old ones are forgotten.
RANKS_KEPT = 32

# C_J + C_T, the places in the waiting buffer plus the capacity of the token bank: Berger IV.A finds 10 enough
# for a robust throughput.
BANK_AND_BUFFER_SLOTS = 10.0
# C_T when the throttle turns on; few, so that a true overload is throttled at once.
BANK_AT_TURN_ON_TOKENS = 1.0
# Time from turn-on until the waiting buffer begins to shrink and the token bank to grow by as much.
BUFFER_SHRINK_DELAY_MS = 2000.0
# How long the waiting buffer then takes to shrink to nothing.
BUFFER_SHRINK_MS = 8000.0

# Time between two runs of the overload monitor: several runs within the time that a client waits for its
# answer.  The first failed call to the list service is followed by a backoff of twice this time.
MONITOR_INTERVAL_MS = 500.0
# The pressure is the larger of the fraction of the backends in use that are in trouble (slow, or without
# room by their reported loads) and the fraction of recent attempts that failed; see ``Balancer._monitor``.
# From this pressure on the throttle turns on and lowers its token rate.
OVERLOADED_FRACTION = 0.35
# Up to this pressure the fleet counts as healthy.
HEALTHY_FRACTION = 0.15
# More recent failures than this are needed before their fraction means anything.
MIN_FAILURE_COUNT = 3.0
# Lowest token rate, as a fraction of the rate of arrivals averaged over ARRIVAL_DECAY_MS: the end of an
# overload shows only where some setups are still let through.
MIN_RATE_FRACTION = 0.1
# Change of the token rate at each run of the monitor; it falls faster than it rises.
RATE_INCREASE_FACTOR = 1.1
RATE_DECREASE_FACTOR = 0.85
# Healthy runs of the monitor in a row that turn the throttle off.
HEALTHY_RUNS_TO_TURN_OFF = 6
# Time constant of the decaying counts of arrivals: about the lifetime of a connection, so that the counts
# follow the numbers of open connections.
ARRIVAL_DECAY_MS = 30000.0

# A message delay from this fraction of the shortest target delay on counts as slow.
SLOW_DELAY_FRACTION = 0.34
# How long a backend counts as slow after it was last seen so.
SLOW_TTL_MS = 1500.0
# Probability that one run of the monitor, or a delay report of exactly the target delay, moves a connection
# for which another backend would be chosen now.
MOVE_PROBABILITY = 0.25
# A connection stays at its backend at least this long before it may be moved, unless the backend is leaving.
MIN_STAY_MS = 2000.0

# The plan fills each backend up to the larger of two bounds: this fraction of its capacity ...
TARGET_LOAD_FRACTION = 0.55
# ... and this factor times the mean load over capacity of the fleet at full quotas, group costs included.
TARGET_OVER_MEAN_FACTOR = 1.08
# Assumption from which the capacity of the fleet is estimated: the quotas of all tenants together are this
# fraction of the connections that it can hold.
ASSUMED_QUOTA_FRACTION = 0.81
# Fixed cost to a backend of serving any part of a group, expressed as a number of average connections.
GROUP_COST_CONNECTIONS = 3.0
# Fraction of a cold backend's budget that is used, because its capacity is an estimate.  Where loads are
# reported, this times the backend's present fraction of its capacity is also the fraction of the clients that
# may go there.
COLD_BUDGET_FRACTION = 0.5

# Eligible backends, best first, that are probed in one round, and from which one is chosen by probe time.
# Also the number of first ranks of a group whose backends count as ranked high for it.
PROBES_PER_ROUND = 3
# Backends with the oldest probe results that the first round probes as well.
OLDEST_PROBES = 2
# Most probe rounds of one flow, over all its attempts.
MAX_PROBE_ROUNDS = 5
# A backend that is slower, or more loaded, than another by this factor is clearly worse.
CLEARLY_WORSE_FACTOR = 1.25

# Loads here are fractions of a backend's capacity, as backends report them in the answers to probes.  The
# first three are penalties that are added to a reported load; the backend with the lowest sum is chosen.
# Penalty of a backend that is not the group's first rank and has no open connection of it: to serve the group
# there splits it over one more backend.
GROUP_SPLIT_LOAD = 0.2
# Penalty for each rank that a backend is behind the first in the group's ranking.
RANK_STEP_LOAD = 0.02
# Penalty of a backend in another zone than this balancer's.
CROSS_ZONE_LOAD = 0.1
# Above this reported load messages are late, and connections are moved away from the backend.
OVERLOADED_LOAD = 1.0
# Up to this reported load a backend has room: an overloaded one is relieved down to it, one above it is not
# probed for new setups, and the fleet is in trouble when too few backends are below it.
RELIEVED_LOAD = 0.65
# How long a reported load is used after its probe's answer.
PROBED_LOAD_TTL_MS = 5000.0

# Fraction of its class's target setup time that a setup waits for probe results.
PROBE_WAIT_FRACTION = 0.15
# How long a probe result counts as fresh, so that the backend is not probed again.  It is also taken as the
# age that a reported load may already have when the answer arrives.
PROBE_FRESH_MS = 1000.0

# Longest time for which this process may be suspended between a reading of its clock and the write that the
# reading allows.
MAX_STALL_MS = 150.0

# Time over which the clients of a leaving backend are moved.
LEAVING_MOVE_MS = 2000.0


def _hash(text: str) -> int:
    """Return a 64-bit hash that is the same in every process; it is odd, so never zero."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") | 1


class Backend:
    """State of one backend, from the list of backends and from this balancer's own traffic."""

    __slots__ = (
        "avoid_until",
        "entry",
        "failure_count",
        "flows",
        "hash",
        "id",
        "last_failure_at",
        "leaving_since",
        "probed_at",
        "probed_load",
        "ready",
        "relieved_at",
        "rounding_offset",
        "slow_at",
        "slowness",
        "weight",
        "weighted_probe_time",
    )

    def __init__(self, entry: interface.BackendEntry, rounding_offset: float = 0.0) -> None:
        # The weight is the list's, and 1 where the list has none or the settings say ``live_weights``.
        self.id, self.entry, self.weight, self.ready = entry.backend, entry, 1.0, False
        self.hash = _hash(str(entry.backend))
        # Time in ms that the last probe took, times the weight: a larger backend answers faster at the same
        # load over capacity, so the products can be compared.
        self.weighted_probe_time = 0.0
        self.probed_at = -math.inf  # when the last probe was answered or given up
        self.probed_load = -1.0  # load over capacity in the last answer to a probe, -1 if it had none
        # No new setup goes to the backend before ``avoid_until``, after failures or when it is full.
        # ``last_failure_at`` is the last failure that counts in ``failure_count``.  ``slow_at`` is when the
        # backend was last seen slow or full, or timed out.  ``relieved_at`` is when connections were last
        # moved away because the backend was overloaded.
        self.avoid_until = self.last_failure_at = self.slow_at = self.relieved_at = -math.inf
        # ``failure_count`` counts failures in a row.  ``slowness`` is from 0 to 1: the message delay when
        # last seen slow over the target delay, or 1 after a timeout or a refusal.  ``rounding_offset`` is
        # random in [0, 1) and is added to this balancer's limit while the backend is cold: where the limit is
        # below 1, some balancers may send a flow there and others none.
        self.failure_count, self.slowness, self.rounding_offset = 0, 0.0, rounding_offset
        self.leaving_since = math.inf  # when the list first showed it as draining or gone
        self.flows: dict[int, Flow] = {}  # pending attempts and open connections of this balancer


class Group:
    """The requests with one group key: their first ranks, their plan and their traffic at this balancer."""

    def __init__(self, key_hash: int) -> None:
        self.hash = key_hash
        self.arrivals = 0.0  # count as of ``counted_at``, decaying with ARRIVAL_DECAY_MS
        self.counted_at = 0.0  # time of the last arrival
        self.top_ranks: list[tuple[float, int]] = []  # score and backend id, best first
        self.open_by_backend: Counter[int] = Counter()  # this balancer's open connections of the group
        # The plan, as (upper end, backend id): a backend serves the clients whose ``Flow.placement_hash`` as
        # a fraction of 2**32 is above the upper end of the entry before and at most its own.
        self.planned_split: list[tuple[float, int]] = []


class Flow:
    """A request from its arrival to its end, and the connection that it becomes."""

    __slots__ = (
        "attempt_count",
        "awaited_probes",
        "backend_id",
        "changed_at",
        "deadline",
        "group",
        "id",
        "is_open",
        "is_pending",
        "opened_at",
        "placement_hash",
        "possible_executions",
        "probe_rounds",
        "request_class",
        "tried_backends",
        "uses_loose_cold_limit",
        "work_rate",
    )

    def __init__(
        self,
        event: interface.Request | interface.ExistingConnection,
        request_class: interface.RequestClass,
        group: Group,
        deadline: float,
        uses_loose_cold_limit: bool,
    ):
        # The deadline is a point in time: infinite for a connection from before this balancer's start, and
        # minus infinity once the client has left.  ``uses_loose_cold_limit`` selects one of the two limits of
        # ``Balancer._within_cold_limit``.
        self.id, self.request_class, self.group, self.deadline, self.uses_loose_cold_limit = (
            event.request,
            request_class,
            group,
            deadline,
            uses_loose_cold_limit,
        )
        # 32 bits: the client's position in the planned split of its group, and among the clients that may go
        # to a cold backend.
        self.placement_hash = _hash(event.client_key or str(event.request)) >> 32
        self.attempt_count = 0
        self.is_pending = False  # an attempt has started and has neither opened nor ended
        self.is_open = False
        self.backend_id = -1  # of the last attempt
        # Time of the last change: start of a probe round or of an attempt, opening, or request to move.
        self.changed_at = 0.0
        self.probe_rounds = 0
        self.opened_at = 0.0
        # Work a second that the connection asks for, in the unit of ``interface.LoadReport``; 1 until
        # reported.
        self.work_rate = 1.0
        self.tried_backends: set[int] = set()
        self.awaited_probes: dict[int, None] = {}  # backends whose probe results it waits for, in order
        # Backends and start times of the attempts that may have run.
        self.possible_executions: list[tuple[Backend, float]] = []


class Throttle:
    """Berger's throttle: a bank for C_T tokens, refilled at a rate set by the monitor, and a waiting buffer.

    The buffer holds C_J setups.  While the throttle is off no token is needed and the buffer has no bound: it
    then holds the setups for which there is no backend.
    """

    def __init__(self) -> None:
        self.active = False
        self.refill_rate = 0.0  # r, in tokens a ms
        self.tokens = 0.0
        self.refilled_at = 0.0
        self.turned_on_at = 0.0
        self.waiting: list[Flow] = []  # highest priority first, oldest first within a priority

    def bank_capacity(self, now: float) -> float:
        """Return C_T, the most tokens that the bank holds.

        At turn-on the bank is small and the waiting buffer large, so that after a false alarm setups wait and
        few are refused.  If the overload lasts, the bank grows up to C_J + C_T and the buffer shrinks to 0:
        setups beyond the token rate are then refused at once.
        """
        return BANK_AT_TURN_ON_TOKENS + (BANK_AND_BUFFER_SLOTS - BANK_AT_TURN_ON_TOKENS) * min(
            1.0, max(0.0, (now - self.turned_on_at - BUFFER_SHRINK_DELAY_MS) / BUFFER_SHRINK_MS)
        )

    def take_token(self, now: float) -> bool:
        """Refill the bank and take a token; return whether a setup may go out."""
        if not self.active:
            return True
        self.tokens = min(self.bank_capacity(now), self.tokens + self.refill_rate * (now - self.refilled_at))
        self.refilled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Balancer:
    """The decisions of one balancer: events with their time in, actions out; no shared or global state."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings, self.random, self.throttle = settings, random.Random(seed), Throttle()
        self.classes = {request_class.name: request_class for request_class in settings.classes}
        self.total_quota = sum(tenant.quota for tenant in settings.tenants)  # connections over all balancers
        # Shortest target delay of a message among the classes, in ms; 100 ms where no class has one.
        self.shortest_target_delay = min(
            [
                request_class.target_message_delay
                for request_class in settings.classes
                if request_class.target_message_delay > 0
            ],
            default=100.0,
        )
        self.backends: dict[int, Backend] = {}
        self.ready_backends: list[Backend] = []  # in the order of their ids
        # Connections that a backend of weight 1 can hold, infinite while unknown: estimated once from the
        # quotas and the first list, and again after the caller has set it to infinity for other quotas.
        self.capacity_per_weight = math.inf
        # Backends by id that got an attempt since the monitor's last run or had flows at that run.
        self.recently_used: dict[int, Backend] = {}
        self.groups: dict[int, Group] = {}  # by the hash of the key
        self.flows: dict[int, Flow] = {}
        self.flows_awaiting_probes: dict[int, Flow] = {}
        # Requests and existing connections: a count as of ``arrivals_counted_at``, decaying with
        # ARRIVAL_DECAY_MS.
        self.arrivals = 0.0
        self.arrivals_counted_at = 0.0
        self.open_connections = 0
        self.recent_successes = 0.0  # decaying count of attempts that opened
        # Decaying count of attempts that failed.  Error answers, cancelled and unsent attempts and those at
        # leaving backends are not counted.
        self.recent_failures = 0.0
        self.healthy_runs = 0  # of the monitor, in a row
        # Wait in ms, before jitter, from a failed call to the list service to the next one; each failure
        # first doubles it and then uses it.
        self.list_backoff = MONITOR_INTERVAL_MS
        self.plan_is_current = False
        self.any_backend_warm = False  # as of the last plan
        # Clients that came or lost their connection: a count that decays over the overload window,
        # ``Settings.overload_for``, at each run of the monitor.
        self.overload_window_arrivals = 0.0
        # Exponential average of ``open_connections`` over the same time.
        self.mean_open_connections = 0.0
        self.buffer_check_at = math.inf  # when the next timer for the waiting buffer is due
        self.monitor_started = False
        self.now = 0.0
        self.pending_actions = list[interface.Action]()
        # What a timer starts, by the number that ``interface.SetTimer`` calls its token; these have nothing
        # to do with the tokens of the throttle.
        self.timers: dict[int, Any] = {
            0: self._drain_buffer,
            1: self._monitor,
            3: self._expire_probes,
            2: lambda: self.pending_actions.append(interface.Subscribe()),
        }
        self.handlers: dict[type, Callable[[Any], None]] = {
            interface.ListUpdate: self._on_list,
            interface.Request: self._on_request,
            interface.ExistingConnection: self._on_existing_connection,
            interface.Established: self._on_established,
            interface.DelayReport: self._on_delay_report,
            interface.LoadReport: self._on_load_report,
            interface.BackendSilent: self._on_backend_silent,
            interface.Ended: self._on_ended,
            interface.ClientLeft: self._on_client_left,
            interface.TimerDue: lambda event: self.timers.get(event.token, lambda: None)(),
            interface.ProbeResult: self._on_probe_result,
        }

    def handle(self, now: float, event: interface.Event) -> list[interface.Action]:
        """Take one event at the time ``now``; the returned actions are to be carried out in order."""
        self.now, self.pending_actions = now, []
        self.handlers[type(event)](event)
        return self.pending_actions

    def _set_timer(self, wait: float, token: int) -> None:
        """Ask for a timer in ``wait`` ms; ``token`` is its key in ``timers``."""
        self.pending_actions.append(interface.SetTimer(self.now + wait, token))

    def _jitter_factor(self) -> float:
        """Return a random factor from 0.5 to 1.5, so that balancers do not act in step on the same event."""
        return 0.5 + self.random.random()

    def _on_list(self, event: interface.ListUpdate) -> None:
        """Apply an update of the list, or call the list service again later if the call failed.

        The first update, or failure, also starts the monitor.
        """
        ask_every = self.settings.ask_every
        if not self.monitor_started:
            self.monitor_started = True
            self._set_timer(MONITOR_INTERVAL_MS * self._jitter_factor(), 1)
            if self.settings.must_subscribe:
                # All balancers may start or restart together: spread their calls to the list service, over
                # 0.04 of its refresh interval for each balancer and at most 0.4 of it.
                self._set_timer(
                    min(0.04 * self.settings.balancers, 0.4) * ask_every * self.random.random(), 2
                )
        if event.kind is interface.ListKind.FAILED:
            # At most 0.2 of the refresh interval.
            self.list_backoff = min(2 * self.list_backoff, 0.2 * ask_every)
            self._set_timer(self.list_backoff * self._jitter_factor(), 2)
            return
        self.list_backoff = MONITOR_INTERVAL_MS
        if event.kind is not interface.ListKind.CHANGES:
            listed = {entry.backend for entry in event.entries}
            for backend in [backend for backend in self.ready_backends if backend.id not in listed]:
                self._remove_ready(backend)
        for entry in event.entries:
            backend = self.backends.setdefault(entry.backend, Backend(entry, self.random.random()))
            if backend.ready and entry.state is not interface.State.READY:
                self._remove_ready(backend)
            if entry.started != backend.entry.started:
                backend.avoid_until = -math.inf
                backend.failure_count = 0
            backend.entry = entry
            backend.leaving_since = (
                math.inf if entry.state is interface.State.READY else min(backend.leaving_since, self.now)
            )
            if entry.state is interface.State.READY:
                self._add_ready(
                    backend, 1.0 if self.settings.live_weights or entry.weight <= 0 else entry.weight
                )
        # Backend ids come and go with the machines: forget those that are no longer needed.
        if len(self.backends) > 2 * len(self.ready_backends) + RANKS_KEPT:
            self.backends = {
                backend.id: backend for backend in self.backends.values() if backend.ready or backend.flows
            }
            self._invalidate_rankings()
        if self.capacity_per_weight == math.inf and self.ready_backends and self.total_quota:
            self.capacity_per_weight = (
                self.total_quota
                / ASSUMED_QUOTA_FRACTION
                / sum(backend.weight for backend in self.ready_backends)
            )
        self._drain_buffer()

    def _remove_ready(self, backend: Backend) -> None:
        backend.ready, backend.leaving_since = False, min(backend.leaving_since, self.now)
        self.ready_backends.remove(backend)
        self._invalidate_rankings()

    def _add_ready(self, backend: Backend, weight: float) -> None:
        if not backend.ready:
            insort(self.ready_backends, backend, key=lambda other: other.id)
        if backend.weight != weight or not backend.ready:
            backend.weight, backend.ready = weight, True
            self._invalidate_rankings()

    def _invalidate_rankings(self) -> None:
        self.plan_is_current = False
        for group in [*self.groups.values(), *(flow.group for flow in self.flows.values())]:
            group.top_ranks = []
            group.planned_split = []

    def _ranking(self, group: Group) -> list[tuple[float, int]]:
        """Return the group's first ranks by weighted rendezvous hashing; cached until the list changes."""
        group.top_ranks = (
            group.top_ranks
            or sorted(
                (
                    -math.log(((group.hash * backend.hash & MASK_64_BITS) + 1) / MASK_64_BITS)
                    / backend.weight,
                    backend.id,
                )
                for backend in self.ready_backends
            )[:RANKS_KEPT]
        )
        return group.top_ranks

    def _group_for(self, key: str) -> Group:
        """Return the group of a key, remembered or new; an empty key gets a new one each time."""
        if not key:
            return Group(self.random.getrandbits(64) | 1)
        if len(self.groups) >= MAX_GROUPS:
            # Keys come and go: forget the older half, or the cache would grow without end.
            self.groups = dict(
                sorted(self.groups.items(), key=lambda item: -item[1].counted_at)[: MAX_GROUPS // 2]
            )
        key_hash = _hash(key)
        self.plan_is_current = self.plan_is_current and key_hash in self.groups
        return self.groups.get(key_hash) or self.groups.setdefault(key_hash, Group(key_hash))

    def _plan(self) -> None:
        """Assign each group's share of the total quota to backends, in the order of the group's ranking.

        A backend is filled up to a bound on its load; what is left goes to the next of the ranking, and what
        no backend of the ranking has room for to the backend with the most room.  The groups are taken in the
        order of their hashes, so that balancers agree as far as they have seen the same groups.
        """
        seen_groups = [
            (group, group.arrivals * math.exp((group.counted_at - self.now) / ARRIVAL_DECAY_MS))
            for group in sorted(self.groups.values(), key=lambda group: group.hash)
        ]
        # At first the present capacity of each backend, in connections.
        room = {
            backend.id: self.capacity_per_weight * backend.weight * self._capacity_fraction(backend)
            for backend in self.ready_backends
        }
        # Good-Turing: the fraction of arrivals from groups seen once estimates that of groups not yet seen.
        # A group whose count has decayed to 1 is taken for one seen once.  The 1.0 is an arrival of a group
        # not yet seen; without it there would be a division by zero where all groups have been seen once.
        seen_total = 1.0 + sum(arrivals for _, arrivals in seen_groups)
        estimated_total = (
            seen_total
            * seen_total
            / (seen_total - sum(arrivals for _, arrivals in seen_groups if arrivals <= 1.0))
        )
        # Load over capacity up to which a backend is filled.
        bound = max(
            TARGET_LOAD_FRACTION,
            TARGET_OVER_MEAN_FACTOR
            * (self.total_quota + GROUP_COST_CONNECTIONS * len(seen_groups))
            / max(1.0, sum(room.values())),
        )
        # From here on the room that is left at each backend, in connections.
        room = {
            backend_id: bound * capacity - GROUP_COST_CONNECTIONS for backend_id, capacity in room.items()
        }
        # Without quotas the capacity is unknown and nothing can be planned.
        for group, arrivals in seen_groups if room and self.total_quota else ():
            group.planned_split = []
            share = self.total_quota * arrivals / estimated_total
            remaining = share
            # A backend is used only if there is room for what remains, or for a part that is worth the group
            # cost.
            for backend_id in (rank[1] for rank in self._ranking(group)):
                if room[backend_id] >= min(remaining, GROUP_COST_CONNECTIONS):
                    assigned = min(remaining, room[backend_id])
                    room[backend_id], remaining = (
                        room[backend_id] - assigned - GROUP_COST_CONNECTIONS,
                        remaining - assigned,
                    )
                    group.planned_split.append((1.0 - remaining / share, backend_id))
                    if remaining <= 0.0:
                        break
            else:
                backend_id = max(room, key=lambda backend_id: room[backend_id])
                room[backend_id] -= remaining + GROUP_COST_CONNECTIONS
                group.planned_split.append((1.0, backend_id))
        self.plan_is_current, self.any_backend_warm = (
            True,
            any(self._capacity_fraction(backend) >= 1.0 for backend in self.ready_backends),
        )

    def _capacity_fraction(self, backend: Backend) -> float:
        """Return the fraction of its full capacity that a backend has reached in its warm-up.

        It rises evenly from ``cold_from`` to 1 within ``cold_time``; a backend with an unknown start is warm.
        """
        settings, age = self.settings, max(0.0, self.now - backend.entry.started)
        if backend.entry.started <= 0 or age >= settings.cold_time:
            return 1.0
        return settings.cold_from + (1 - settings.cold_from) * age / settings.cold_time

    def _within_cold_limit(self, flow: Flow, backend: Backend) -> bool:
        """Return whether a cold backend may take one more of this balancer's flows; a warm one always may.

        All balancers together could overload it, so each has a limit on its own flows there.  Capacities are
        unknown here: the mean number of this balancer's connections at a ready backend stands for its part of
        the full capacity.  ``Flow.uses_loose_cold_limit`` and ``any_backend_warm`` select one of two limits.
        """
        settings, capacity_fraction = self.settings, self._capacity_fraction(backend)
        # This balancer's part of the number of connections at which the backend collapses.
        limit = (
            settings.fall_multiple
            * capacity_fraction
            * max(self.open_connections, 1)
            / max(1, len(self.ready_backends))
        )
        # Where loads are reported, all balancers get the same outdated report of an empty backend: only a
        # part of the clients, chosen by hash, may go there, and only from groups that rank it high.
        selected = not settings.load_reported or (
            flow.placement_hash < COLD_BUDGET_FRACTION * capacity_fraction * 2**32
            and backend.id in [rank[1] for rank in flow.group.top_ranks[:PROBES_PER_ROUND]]
        )
        if flow.uses_loose_cold_limit or not self.any_backend_warm:
            # The loose limit: one flow, so that the backend is used at all, plus a fraction of this number as
            # the mean, plus its square root, about the standard deviation of a Poisson distribution with this
            # mean.
            limit = 1.0 + COLD_BUDGET_FRACTION * limit + math.sqrt(COLD_BUDGET_FRACTION * limit)
        else:
            # The strict limit, for many clients that arrive at once.  Over all balancers its mean is the
            # number of setups within one overload window that makes the backend collapse, plus one.  (At an
            # even pace the connections of a whole warm-up make ``overload_for / cold_time`` of their number
            # in one window.)  The random offset rounds a fractional limit up or down so that its mean stays.
            # The balancers round independently, so where the limit is below 1 the sum is about Poisson
            # distributed.
            limit = (
                limit * settings.overload_for / max(1.0, settings.cold_time)
                + 1.0 / settings.balancers
                + backend.rounding_offset
            )
        return capacity_fraction >= 1.0 or (selected and len(backend.flows) + 1 <= limit)

    def _eligible_backends(self, flow: Flow) -> list[Backend]:
        """Return the backends that may take the flow, best first.

        First comes the backend that the plan assigns to this client, then the others of its group's plan,
        then the rest of the group's ranking.
        """
        group = flow.group
        if not self.plan_is_current:
            self._plan()
        if self.now >= self._last_start(flow):
            return []
        planned = [entry for entry in group.planned_split if flow.placement_hash <= entry[0] * 2**32][:1]
        return [
            backend
            for backend_id in dict.fromkeys(
                entry[1] for entry in (*planned, *group.planned_split, *self._ranking(group))
            )
            if (backend := self.backends[backend_id]).ready
            and backend.avoid_until <= self.now
            and backend_id not in flow.tried_backends
            and self._recognises_repeat(flow, backend)
            and self._within_cold_limit(flow, backend)
        ]

    def _choose_backend(self, flow: Flow) -> Backend | None:
        """Return the backend for the next attempt, or None if no backend is eligible.

        Among eligible backends with a recent reported load this is the one with the lowest sum of that load,
        of the load of setups that the report cannot contain yet, and of the penalties for its rank, for
        splitting the group and for another zone.  Where none has a recent reported load, it is the first of
        the PROBES_PER_ROUND best that has no fresh probe result or whose result is not clearly slower than
        the quickest of theirs.
        """
        eligible, fresh_since = self._eligible_backends(flow), self.now - PROBE_FRESH_MS
        if reporting := [
            backend
            for backend in eligible
            if backend.probed_load >= 0.0 and backend.probed_at >= self.now - PROBED_LOAD_TTL_MS
        ]:
            # Backends that hold some of the group count as its first rank.
            rank_by_id = {rank[1]: position for position, rank in enumerate(flow.group.top_ranks)} | (
                dict.fromkeys(flow.group.open_by_backend, 0)
            )
            # Estimated load of one connection over the capacity: the penalty for splitting a group is taken
            # as the load of the group cost, which is GROUP_COST_CONNECTIONS average connections.
            load_per_connection = GROUP_SPLIT_LOAD / GROUP_COST_CONNECTIONS
            return min(
                reporting,
                key=lambda backend: (
                    backend.probed_load
                    + GROUP_SPLIT_LOAD * min(1, rank_by_id[backend.id])
                    + RANK_STEP_LOAD * rank_by_id[backend.id]
                    # Setups that the report cannot contain: pending ones, and those that opened less than
                    # PROBE_FRESH_MS before the answer, since the report may have been as old when it arrived.
                    + load_per_connection
                    * sum(
                        other.is_pending or other.opened_at > backend.probed_at - PROBE_FRESH_MS
                        for other in backend.flows.values()
                    )
                    + CROSS_ZONE_LOAD * (backend.entry.zone != self.settings.zone)
                ),
            )
        slowest_accepted = CLEARLY_WORSE_FACTOR * min(
            [
                backend.weighted_probe_time
                for backend in eligible[:PROBES_PER_ROUND]
                if backend.probed_at >= fresh_since
            ],
            default=0.0,
        )
        return next(
            (
                backend
                for backend in eligible[:PROBES_PER_ROUND]
                if backend.probed_at < fresh_since or backend.weighted_probe_time <= slowest_accepted
            ),
            None,
        )

    def _repeat_before(self, flow: Flow) -> float:
        """Return the time before which the clock must be when a repeat of the request is written.

        The deduplication window of each attempt that may have run has to outlast a stall of this process
        between that reading of the clock and the write.  A request whose repeat is never safe has no time
        left.
        """
        request_class = flow.request_class
        if request_class.effect is interface.Effect.SAFE or not flow.possible_executions:
            return math.inf
        if request_class.effect is interface.Effect.UNSAFE:
            return -math.inf
        return min(
            sent_at + request_class.deduplication_window - MAX_STALL_MS
            for _, sent_at in flow.possible_executions
        )

    def _last_start(self, flow: Flow) -> float:
        """Return the time before which the next attempt must start; ``Send.send_before`` covers the rest.

        The connect timeout has to fit into the deduplication window, and so has a stall; the longer counts.
        """
        return self._repeat_before(flow) - max(
            0.0, self.settings.connect_timeout + self.settings.tick - MAX_STALL_MS
        )

    def _give_up_at(self, flow: Flow) -> float:
        """Return when a flow gets its final answer if no attempt has started by then."""
        return min(flow.deadline - self._refusal_margin(flow), self._last_start(flow))

    def _recognises_repeat(self, flow: Flow, backend: Backend) -> bool:
        """Return whether the backend drops a repeat of the attempts that may have run, if it is in time.

        This is asked of requests with an idempotency key only; a repeat of a safe request changes nothing.
        """
        request_class = flow.request_class
        if not flow.possible_executions or request_class.effect is not interface.Effect.KEYED:
            return True
        scope_attribute = {
            interface.DeduplicationScope.ALL: "",
            interface.DeduplicationScope.ZONE: "zone",
            interface.DeduplicationScope.CELL: "cell",
        }[request_class.deduplication_scope]
        return not scope_attribute or all(
            getattr(first_backend.entry, scope_attribute) == getattr(backend.entry, scope_attribute)
            for first_backend, _ in flow.possible_executions
        )

    def _create_flow(self, event: interface.Request | interface.ExistingConnection, deadline: float) -> Flow:
        """Create the flow of a request or connection, and count it as an arrival."""
        group = self._group_for(event.group_key or event.client_key)
        group.arrivals = group.arrivals * math.exp((group.counted_at - self.now) / ARRIVAL_DECAY_MS) + 1.0
        self.arrivals = (
            self.arrivals * math.exp((self.arrivals_counted_at - self.now) / ARRIVAL_DECAY_MS) + 1.0
        )
        group.counted_at = self.arrivals_counted_at = self.now
        self.overload_window_arrivals += 1.0
        # Arrivals are few if within one overload window no more come than the cold budgets of all backends at
        # full capacity add up to: ``fall_multiple * overload_for / cold_time`` times the mean number of open
        # connections (plus 1).  Then every flow uses the loose limit.  If more come, a flow uses it by
        # chance, with the quotient as the probability, so that the flows with the loose limit are about that
        # many.
        uses_loose_cold_limit = (
            self.random.random() * self.overload_window_arrivals * self.settings.cold_time
            < self.settings.fall_multiple * self.settings.overload_for * (1.0 + self.mean_open_connections)
        )
        flow = Flow(
            event,
            self.classes.get(event.class_name) or self.settings.classes[0],
            group,
            deadline,
            uses_loose_cold_limit,
        )
        self.flows[flow.id] = flow
        return flow

    def _on_existing_connection(self, event: interface.ExistingConnection) -> None:
        """Take over a connection from before this balancer's start; the backend may be in no list so far."""
        flow = self._create_flow(event, math.inf)
        flow.attempt_count = 1
        flow.backend_id = event.backend
        self.backends.setdefault(
            event.backend, Backend(interface.BackendEntry(event.backend, interface.State.GONE))
        )
        self._mark_open(flow)

    def _on_request(self, event: interface.Request) -> None:
        # A midflow request continues work that has begun, so its first attempt needs no token.
        if event.request not in self.flows:
            self._admit(self._create_flow(event, self.now + event.patience), event.midflow)

    def _send_probes(self, flow: Flow) -> bool:
        """Probe the backends that may take the flow, and return whether it now waits for the results.

        This balancer counts only its own setups; a probe's result also shows the effect of the other
        balancers'.  A backend is left out if a recent result shows that it has no room, or shows no load
        although loads are reported.  A single candidate is not probed, since there is nothing to choose.
        """
        wait, load_reported = (
            PROBE_WAIT_FRACTION * flow.request_class.target_setup_time,
            self.settings.load_reported,
        )
        if (
            self.settings.probes_allowed
            and flow.probe_rounds < MAX_PROBE_ROUNDS
            and self.now + wait < self._give_up_at(flow)
        ):
            candidates = [
                backend
                for backend in self._eligible_backends(flow)
                if backend.probed_at < self.now - PROBED_LOAD_TTL_MS
                or (
                    backend.probed_load <= RELIEVED_LOAD and (backend.probed_load >= 0.0 or not load_reported)
                )
            ][:PROBES_PER_ROUND]
            if load_reported and not flow.probe_rounds:
                candidates += sorted(self.ready_backends, key=lambda backend: backend.probed_at)[
                    :OLDEST_PROBES
                ]
            flow.probe_rounds += 1
            flow.awaited_probes = (
                {backend.id: None for backend in candidates if backend.probed_at < self.now - PROBE_FRESH_MS}
                if len(candidates) > 1
                else {}
            )
            self.pending_actions += [interface.Probe(backend_id) for backend_id in flow.awaited_probes]
            if flow.awaited_probes:
                flow.changed_at, self.flows_awaiting_probes[flow.id] = self.now, flow
                self._set_timer(wait, 3)
        return bool(flow.awaited_probes)

    def _expire_probes(self) -> None:
        """Treat probes without an answer in time as failed, so that their setups go on.

        Such a backend is busy or cannot be reached; the failure counts for every flow that waits for it.
        """
        for flow in list(self.flows_awaiting_probes.values()):
            # The tolerance of 0.01 ms is for timers that seem early because times are rounded to
            # microseconds.
            for backend_id in (
                list(flow.awaited_probes)
                if self.now
                >= flow.changed_at + PROBE_WAIT_FRACTION * flow.request_class.target_setup_time - 0.01
                else ()
            ):
                self._on_probe_result(interface.ProbeResult(backend_id, -1.0))

    def _admit(self, flow: Flow, midflow: bool = False) -> None:
        """The ordinary path: a token starts an attempt; without one the flow waits, or is refused.

        With ``midflow`` no token is needed here, but one is if the flow has to wait for a backend.
        """
        if not (midflow or self.throttle.take_token(self.now)) or not self._start_attempt(flow):
            self._buffer(flow)  # also where no backend is eligible, as long as there is time

    def _buffer(self, flow: Flow) -> None:
        """Put the flow into the waiting buffer; if the throttle is on and it is too full, refuse the last.

        The last flow is the newest of the lowest priority.
        """
        throttle = self.throttle
        insort(throttle.waiting, flow, key=lambda other: -other.request_class.priority)
        if throttle.active and len(throttle.waiting) > BANK_AND_BUFFER_SLOTS - throttle.bank_capacity(
            self.now
        ):
            self._refuse_or_fail(throttle.waiting.pop())
        self._arm_buffer_timer()

    def _start_attempt(self, flow: Flow, probed: bool = False) -> bool:
        """Start an attempt, after probes where these are needed; return False if no backend is eligible.

        With ``probed`` the flow has just had its probe results and starts without another round.
        """
        if not probed and self._send_probes(flow):
            return True  # the attempt starts when the probes are answered
        backend = self._choose_backend(flow)
        if backend is None:
            return False
        time_left = flow.deadline - self.now
        may_retry = (
            flow.attempt_count + 1 < self.settings.max_attempts
            and flow.request_class.effect is interface.Effect.SAFE
        )
        # An attempt that may be followed by another gets half of the time that is left, or the target setup
        # time if that is longer: a backend that hangs must leave time for the next rank.
        timeout = (
            max(0.5 * time_left, min(time_left, flow.request_class.target_setup_time))
            if may_retry
            else time_left
        )
        flow.is_pending, flow.backend_id, flow.changed_at, flow.attempt_count = (
            True,
            backend.id,
            self.now,
            flow.attempt_count + 1,
        )
        backend.flows[flow.id] = flow
        self.recently_used[backend.id] = backend
        self.pending_actions.append(interface.Send(flow.id, backend.id, timeout, self._repeat_before(flow)))
        return True

    def _refusal_margin(self, flow: Flow) -> float:
        """Return how many ms before its deadline a waiting flow is refused, so that the answer is in time.

        This is 50 ms, plus four ticks for timers that fire late, but at most 0.3 of the class's deadline.
        """
        return min(50.0 + 4 * self.settings.tick, 0.3 * flow.request_class.deadline)

    def _refuse_or_fail(self, flow: Flow) -> None:
        """Give the final answer: refused if a repeat by the client is harmless, else failed.

        A refusal promises that the client may repeat the request.  That does not hold where an attempt may
        have run and the repeat could take effect a second time.  The promise has to hold also if a stall of
        this process delays the answer.
        """
        self.flows.pop(flow.id, None)
        # 1.5 is the largest jitter factor, so that ``retry_after`` is never above ``max_retry_after``.
        retry_after = self.settings.max_retry_after * self._jitter_factor() / 1.5
        request_class = flow.request_class
        client_may_reach_any_backend = (
            not flow.possible_executions
            or request_class.effect is not interface.Effect.KEYED
            or request_class.deduplication_scope is interface.DeduplicationScope.ALL
        )
        repeat_is_harmless = client_may_reach_any_backend and self.now + retry_after < self._repeat_before(
            flow
        )
        self.pending_actions.append(
            interface.Refuse(flow.id, retry_after) if repeat_is_harmless else interface.Fail(flow.id)
        )

    def _on_established(self, event: interface.Established) -> None:
        flow = self.flows.get(event.request)
        if flow is None or not flow.is_pending or event.attempt != flow.attempt_count - 1:
            return
        backend = self.backends[flow.backend_id]
        # The success of an attempt that started before the last failure does not show the backend's present
        # state.
        if flow.changed_at > backend.last_failure_at:
            backend.failure_count = 0
            backend.avoid_until = -math.inf
        self.recent_successes += 1
        self._mark_open(flow)

    def _mark_open(self, flow: Flow) -> None:
        flow.is_pending = False
        flow.is_open = True
        flow.changed_at = self.now
        flow.opened_at = self.now
        flow.tried_backends.clear()
        self.open_connections += 1
        flow.group.open_by_backend[flow.backend_id] += 1
        self.recently_used[flow.backend_id] = backend = self.backends[flow.backend_id]
        backend.flows[flow.id] = flow

    def _on_delay_report(self, event: interface.DelayReport) -> None:
        flow = self.flows.get(event.request)
        if flow is None or not flow.is_open or event.delay < SLOW_DELAY_FRACTION * self.shortest_target_delay:
            return
        # At most twice the target counts.  Where loads are reported, they decide about moves instead.
        backend, delay_over_target = (
            self.backends[flow.backend_id],
            min(2.0, event.delay / self.shortest_target_delay),
        )
        backend.slow_at, backend.slowness = self.now, min(1.0, delay_over_target)
        self._move_fraction(
            backend, 0.0 if self.settings.load_reported else MOVE_PROBABILITY * delay_over_target
        )

    def _on_load_report(self, event: interface.LoadReport) -> None:
        # The work of one connection, not the load of a backend, which comes with ProbeResult.
        if event.request in self.flows:
            self.flows[event.request].work_rate = event.load

    def _on_backend_silent(self, event: interface.BackendSilent) -> None:
        """Send nothing new to the backend for a while, and move its connections away as far as possible.

        Connections that opened only just now, or for which no other backend is eligible, stay.  A slow
        backend answers late; this one does not answer at all.
        """
        if backend := self.backends.get(event.backend):
            if backend.avoid_until <= self.now:
                self._skip_backend(backend)
            self._move_fraction(backend, 1.0)

    def _on_probe_result(self, event: interface.ProbeResult) -> None:
        """Store a result, and continue with the flows that have no more results to wait for.

        A probe without an answer counts as one that took the connect timeout.
        """
        if backend := self.backends.get(event.backend):
            elapsed = event.elapsed if event.elapsed >= 0.0 else self.settings.connect_timeout
            backend.weighted_probe_time = elapsed * backend.weight
            backend.probed_at = self.now
            backend.probed_load = event.load
        for flow in list(self.flows_awaiting_probes.values()):
            flow.awaited_probes.pop(event.backend, None)
            if not flow.awaited_probes:
                del self.flows_awaiting_probes[flow.id]
                # With reported loads another round may follow, since a result may show that there is no room.
                if not self._start_attempt(flow, probed=not self.settings.load_reported):
                    self._buffer(flow)

    def _maybe_move(
        self,
        flow: Flow,
        probability: float,
        max_load: float = math.inf,
        started_after: float = -math.inf,
    ) -> bool:
        """Ask the client to reconnect with this probability, if the connection has stayed long enough.

        This is done only if the backend that it would get now is another one, with a reported load below
        ``max_load`` and a start after ``started_after``.  Return whether it moves.
        """
        moves = (
            flow.is_open
            and self.now - flow.changed_at > MIN_STAY_MS
            and self.random.random() < probability
            and (backend := self._choose_backend(flow)) is not None
            and backend.id != flow.backend_id
            and backend.probed_load < max_load
            and backend.entry.started > started_after
        )
        if moves:
            flow.changed_at = self.now
            self.pending_actions.append(interface.Move(flow.id))
        return moves

    def _move_fraction(self, backend: Backend, fraction: float) -> None:
        """Move about this fraction of a backend's connections to the backends that they would get now."""
        for flow in backend.flows.values():
            self._maybe_move(flow, fraction)

    def _move_off_leaving_backends(self) -> None:
        """Move the clients of leaving backends: not every backend does so itself before it cuts them off."""
        # Without a ready backend they would have nowhere to go.
        for backend in self.backends.values() if self.ready_backends else ():
            if backend.flows and not backend.ready and self.now >= backend.leaving_since:
                fraction = (self.now - backend.leaving_since + MONITOR_INTERVAL_MS) / LEAVING_MOVE_MS
                self.pending_actions += [
                    interface.Move(flow.id)
                    for flow in backend.flows.values()
                    if flow.is_open and self.random.random() < fraction
                ]

    def _relieve_overloaded_backends(self) -> None:
        """Move the load above RELIEVED_LOAD away from each overloaded backend, group by group.

        A backend is not relieved again for two times PROBE_FRESH_MS, until a report shows the effect.
        """
        for backend in self.ready_backends:
            if (
                backend.probed_load > OVERLOADED_LOAD
                and self.now - backend.probed_at < PROBE_FRESH_MS
                and self.now - backend.relieved_at > 2 * PROBE_FRESH_MS
            ):
                backend.relieved_at = self.now
                excess = sum(flow.work_rate for flow in backend.flows.values()) * (
                    1.0 - RELIEVED_LOAD / backend.probed_load
                )
                for flow in sorted(backend.flows.values(), key=lambda flow: flow.group.hash):
                    if excess > 0.0 and self._maybe_move(
                        flow, 1.0, max_load=backend.probed_load / CLEARLY_WORSE_FACTOR
                    ):
                        excess -= flow.work_rate

    def _move_to_new_backends(self) -> None:
        """Move connections to backends that started after they opened, where these would be chosen now."""
        newest = max([backend.entry.started for backend in self.ready_backends], default=0.0)
        for flow in self.flows.values() if newest > 0.0 else ():
            if flow.opened_at < newest:
                self._maybe_move(flow, MOVE_PROBABILITY, started_after=flow.opened_at)

    def _on_ended(self, event: interface.Ended) -> None:
        """Record how an attempt or a connection ended; after a failed attempt retry, wait or refuse."""
        flow, backend = self.flows.get(event.request), self.backends.get(event.backend)
        if (
            flow is None
            or backend is None
            or not (flow.is_pending or flow.is_open)
            or event.attempt != flow.attempt_count - 1
        ):
            return
        backend.flows.pop(flow.id, None)
        was_open = flow.is_open
        flow.is_pending = False
        self.open_connections -= was_open
        flow.group.open_by_backend = flow.group.open_by_backend - Counter({backend.id: int(was_open)})
        self._record_outcome(backend, event.outcome, was_open)
        if event.client_answered or was_open or flow.deadline < 0:
            del self.flows[flow.id]
            return
        flow.tried_backends.add(backend.id)
        if event.outcome not in interface.NOT_EXECUTED:
            flow.possible_executions.append((backend, flow.changed_at))
        if (
            flow.attempt_count >= self.settings.max_attempts
            or event.outcome is interface.Outcome.UNSENT
            or self.now >= self._give_up_at(flow)
        ):
            self._refuse_or_fail(flow)
        elif event.outcome is not interface.Outcome.CONNECT_FAILED or not self._start_attempt(flow):
            # A retry takes a token, since it adds to an overload.  One after a failed connect, which has cost
            # the backend no work, starts without a token where another backend is eligible.
            self._admit(flow)

    def _record_outcome(self, backend: Backend, outcome: interface.Outcome, was_open: bool) -> None:
        """Count a failure, and send nothing new to the backend for a while where the backend is the cause.

        The failure of one backend does not turn the throttle on; the monitor does that if there are many.
        """
        if (
            outcome in (interface.Outcome.OK, interface.Outcome.CANCELLED, interface.Outcome.UNSENT)
            or self.now >= backend.leaving_since
        ):
            return  # connections that a backend drops as it leaves are no failure
        # The client of a connection that breaks off reconnects at once, at any balancer.
        self.overload_window_arrivals += was_open
        # A backend that breaks connections off at once is not overloaded; a full or slow one is.
        if outcome in (interface.Outcome.FULL, interface.Outcome.TIMEOUT):
            backend.slow_at = self.now
            backend.slowness = 1.0
        self.recent_failures += not was_open and outcome is not interface.Outcome.ERROR
        if outcome is interface.Outcome.FULL:
            # A full backend is avoided for 100 to 300 ms however often it was full.
            backend.avoid_until = self.now + 200.0 * self._jitter_factor()
        elif outcome is not interface.Outcome.ERROR:  # an error costs little and may be the request's fault
            self._skip_backend(backend)

    def _skip_backend(self, backend: Backend) -> None:
        """Send nothing new to the backend for a time that doubles with each failure in a row.

        From the fifth failure on it is 32 connect timeouts, jitter aside.
        """
        backend.failure_count, backend.last_failure_at = min(backend.failure_count + 1, 5), self.now
        backend.avoid_until = max(
            backend.avoid_until,
            self.now + self.settings.connect_timeout * 2.0**backend.failure_count * self._jitter_factor(),
        )

    def _on_client_left(self, event: interface.ClientLeft) -> None:
        flow = self.flows.get(event.request)
        if flow is not None and (flow.is_pending or flow.is_open):
            flow.deadline = -math.inf  # its attempt still ends, but nothing more is sent for it
        elif flow is not None:
            del self.flows[flow.id]
            self.flows_awaiting_probes.pop(flow.id, None)
            self.throttle.waiting = [other for other in self.throttle.waiting if other is not flow]

    def _arm_buffer_timer(self) -> None:
        """Set a timer for the next token or for the next refusal of a waiting flow, whichever is first.

        It is due within 100 ms in any case, since a backend may become eligible at any time.
        """
        throttle, wait = self.throttle, 100.0
        if not throttle.waiting:
            return
        if throttle.active and throttle.refill_rate > 0:
            wait = min(wait, max(0.0, 1.0 - throttle.tokens) / throttle.refill_rate)
        next_refusal = min(self._give_up_at(flow) for flow in throttle.waiting)
        wait = max(min(wait, next_refusal - self.now), self.settings.tick)
        if self.now + wait < self.buffer_check_at:
            self.buffer_check_at = self.now + wait
            self._set_timer(wait, 0)

    def _drain_buffer(self) -> None:
        """Start the waiting flows for which there are a token and an eligible backend.

        Flows that no attempt can serve in time any more get their final answer, and so do the last ones where
        the buffer has become smaller than the number of waiting flows.
        """
        # Times are rounded to microseconds, so a timer may seem early, by less than these 0.01 ms.
        if self.now >= self.buffer_check_at - 0.01:
            self.buffer_check_at = math.inf
        throttle, still_waiting = self.throttle, list[Flow]()
        for flow in throttle.waiting:
            if self.now >= self._give_up_at(flow):
                self._refuse_or_fail(flow)
            elif not throttle.take_token(self.now):
                still_waiting.append(flow)
            elif not self._start_attempt(flow):
                throttle.tokens += 1.0
                still_waiting.append(flow)
        while throttle.active and len(still_waiting) > math.ceil(
            BANK_AND_BUFFER_SLOTS - throttle.bank_capacity(self.now)
        ):
            self._refuse_or_fail(still_waiting.pop())
        throttle.waiting = still_waiting
        self._arm_buffer_timer()

    def _monitor(self) -> None:
        """Turn the throttle on or off and set its token rate by the pressure.

        The pressure is the larger of two fractions: the failed part of recent attempts, and the troubled part
        of the backends in use, in which each slow backend counts with its slowness.  Where backends report
        loads, the troubled fraction is 1 if at most a quarter of them have room, else 0.  The monitor also
        brings the plan up to date and moves connections where a backend leaves, is overloaded or has just
        started.
        """
        self._set_timer(MONITOR_INTERVAL_MS, 1)
        self._plan()
        decay = math.exp(-MONITOR_INTERVAL_MS / max(1.0, self.settings.overload_for))
        self.overload_window_arrivals, self.mean_open_connections = (
            self.overload_window_arrivals * decay,
            self.open_connections + (self.mean_open_connections - self.open_connections) * decay,
        )
        self._move_off_leaving_backends()
        self._relieve_overloaded_backends()
        self._move_to_new_backends()
        slow_backends = [
            backend for backend in self.recently_used.values() if self.now - backend.slow_at < SLOW_TTL_MS
        ]
        usable_backends = [
            backend
            for backend in self.recently_used.values()
            if backend.ready and backend.avoid_until <= self.now
        ]
        troubled_fraction = sum(
            backend.slowness for backend in slow_backends if backend in usable_backends
        ) / max(1, len(usable_backends))
        if reported_loads := sorted(
            backend.probed_load
            for backend in self.ready_backends
            if backend.probed_load >= 0.0 and self.now - backend.probed_at < PROBED_LOAD_TTL_MS
        ):
            # Reported loads show directly whether there is room; room at a quarter of the backends is enough.
            troubled_fraction = float(reported_loads[len(reported_loads) // 4] >= RELIEVED_LOAD)
        self.recently_used = {backend.id: backend for backend in self.recently_used.values() if backend.flows}
        # At 0.75 a run the counts decay with a time constant of about 3.5 runs of the monitor.
        self.recent_successes, self.recent_failures = (
            0.75 * self.recent_successes,
            0.75 * self.recent_failures,
        )
        failed_fraction = (
            self.recent_failures / (self.recent_failures + self.recent_successes)
            if self.recent_failures > MIN_FAILURE_COUNT
            else 0.0
        )
        # Slowness that adds up to no more than one wholly slow backend is no overload of the fleet.
        pressure = max(
            failed_fraction,
            troubled_fraction
            if reported_loads or sum(backend.slowness for backend in slow_backends) > 1.0
            else 0.0,
        )
        throttle, usual_rate = self.throttle, max(self.arrivals, 1.0) / ARRIVAL_DECAY_MS
        self.healthy_runs = self.healthy_runs + 1 if pressure <= HEALTHY_FRACTION else 0
        if not throttle.active and pressure >= OVERLOADED_FRACTION:
            throttle.active = True
            throttle.tokens = BANK_AT_TURN_ON_TOKENS
            throttle.refilled_at = self.now
            throttle.turned_on_at = self.now
            throttle.refill_rate = usual_rate
        elif throttle.active:
            rate_factor = (
                RATE_DECREASE_FACTOR
                if pressure >= OVERLOADED_FRACTION
                else RATE_INCREASE_FACTOR
                if pressure <= HEALTHY_FRACTION
                else 1.0
            )
            throttle.refill_rate = max(throttle.refill_rate * rate_factor, MIN_RATE_FRACTION * usual_rate)
            throttle.active = self.healthy_runs < HEALTHY_RUNS_TO_TURN_OFF
            self._drain_buffer()
