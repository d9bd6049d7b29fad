"""All decisions of one balancer; `crowgap/interface.py` has its settings, events and actions.

The ordinary path: a throttle (the token bank and waiting buffer of Berger IV.B) admits setups, and rendezvous
hashing on the group key, or on the client key where there is none, places them.  docs/design.md describes
where the module departs from this path.  All times are milliseconds on the caller's clock.
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
# Ranks kept of each group's ranking: enough for the spread of a group and for skipping failed backends.
RANKS_KEPT = 32

# C_J + C_T, the places in the waiting buffer and the token bank: Berger IV.A finds 10 enough for a robust
# throughput.
BANK_AND_BUFFER_SLOTS = 10.0
# C_T when the throttle turns on; few, so that a true overload is throttled at once.
BANK_AT_TURN_ON_TOKENS = 1.0
# How long an overload lasts before the waiting buffer shrinks.
BUFFER_SHRINK_DELAY_MS = 2000.0
# How long the waiting buffer then takes to shrink to nothing.
BUFFER_SHRINK_MS = 8000.0

# Time between two runs of the overload monitor: several runs within any client's patience.
MONITOR_INTERVAL_MS = 500.0
# From this fraction of troubled backends or failed attempts on the throttle turns on and lowers its rate r.
OVERLOADED_FRACTION = 0.35
# Up to this fraction the fleet counts as healthy.
HEALTHY_FRACTION = 0.15
# More recent failures than this are needed before their fraction means anything.
MIN_FAILURE_COUNT = 3.0
# Lowest token rate, as a fraction of the usual arrivals: the end of an overload shows only where some setups
# are still let through.
MIN_RATE_FRACTION = 0.1
# Change of the token rate at each run of the monitor; it falls faster than it rises.
RATE_INCREASE_FACTOR = 1.1
RATE_DECREASE_FACTOR = 0.85
# Healthy runs of the monitor in a row that turn the throttle off.
HEALTHY_RUNS_TO_TURN_OFF = 6
# Time constant of the decaying counts of arrivals: about the lifetime of a connection.
ARRIVAL_DECAY_MS = 30000.0

# A message delay from this fraction of the shortest message aim on counts as slow.
SLOW_DELAY_FRACTION = 0.34
# How long a backend counts as slow after it was last seen so.
SLOW_TTL_MS = 1500.0
# Probability that one delay report or one run of the monitor moves a connection that should be elsewhere.
MOVE_PROBABILITY = 0.25
# A connection stays at its backend at least this long before it may be moved.
MIN_STAY_MS = 2000.0

# Load over capacity up to which the plan fills a backend in any case.
TARGET_LOAD_FRACTION = 0.55
# Load over the fleet's mean up to which the plan fills a backend.
TARGET_OVER_MEAN_FACTOR = 1.08
# The quotas of all tenants together, as a fraction of what the fleet can hold.
ASSUMED_QUOTA_FRACTION = 0.81
# What a group costs a backend that holds any part of it, in mean connections.
GROUP_COST_CONNECTIONS = 3.0
# Fraction of a cold backend's budget that is used, because its capacity is a guess.
COLD_BUDGET_FRACTION = 0.5

# Backends of the ranking that are probed in one round.
PROBES_PER_ROUND = 3
# Backends with the oldest probe results that the first round probes as well.
OLDEST_PROBES = 2
MAX_PROBE_ROUNDS = 5
# A backend that is slower, or more loaded, than another by this factor is clearly worse.
CLEARLY_WORSE_FACTOR = 1.25

# Loads here are fractions of a backend's capacity.
# Load by which another backend must be lower before a group is split over it.
GROUP_SPLIT_LOAD = 0.2
# Load by which a backend must be lower for each further rank in the group's ranking.
RANK_STEP_LOAD = 0.02
# Load by which a backend in another zone must be lower.
CROSS_ZONE_LOAD = 0.1
# From this reported load over capacity on messages are late.
OVERLOADED_LOAD = 1.0
# Up to this reported load a backend has room again.
RELIEVED_LOAD = 0.65
# How long a reported load is used.
PROBED_LOAD_TTL_MS = 5000.0

# Fraction of its class's aim that a setup waits for probe results.
PROBE_WAIT_FRACTION = 0.15
# How long a probe result counts as fresh, so that the backend is not probed again; a reported load may be as
# old as this when it arrives.
PROBE_FRESH_MS = 1000.0

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
        self.id, self.entry, self.weight, self.ready = entry.backend, entry, 1.0, False
        self.hash = _hash(str(entry.backend))
        self.weighted_probe_time = 0.0  # ms that the last answer to a probe took, times the weight
        self.probed_at = -math.inf
        self.probed_load = -1.0  # load over capacity as last reported, -1 where the backend reports none
        self.avoid_until = self.last_failure_at = self.slow_at = self.relieved_at = -math.inf
        # The offset is random in [0, 1): it rounds this balancer's fractional share of the budget of a cold
        # backend up or down by chance.
        self.failure_count, self.slowness, self.rounding_offset = 0, 0.0, rounding_offset
        self.leaving_since = math.inf  # when the list first said that it drains or is gone
        self.flows: dict[int, Flow] = {}


class Group:
    """One hash key: the first ranks of its ranking, and how much of this balancer's traffic it draws."""

    def __init__(self, key_hash: int) -> None:
        self.hash = key_hash
        self.arrivals = 0.0  # decaying count
        self.counted_at = 0.0
        self.top_ranks: list[tuple[float, int]] = []  # score and backend id, best first
        self.open_by_backend: Counter[int] = Counter()  # this balancer's open connections of the group
        # The plan: up to which fraction of the group's clients, cumulated, each backend serves.
        self.planned_split: list[tuple[float, int]] = []


class Flow:
    """A request from its arrival to its end, and the connection that it becomes."""

    __slots__ = (
        "attempt_count",
        "awaited_probes",
        "backend",
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
        self.id, self.request_class, self.group, self.deadline, self.uses_loose_cold_limit = (
            event.request,
            request_class,
            group,
            deadline,
            uses_loose_cold_limit,
        )
        self.placement_hash = _hash(event.client_key or str(event.request)) >> 32  # 32 bits
        self.attempt_count = 0
        self.is_pending = False  # an attempt has started and has neither opened nor ended
        self.is_open = False
        self.backend = -1  # of the last attempt
        self.changed_at = 0.0  # last time at which it was probed for, attempted, opened or moved
        self.probe_rounds = 0
        self.opened_at = 0.0
        self.work_rate = 1.0  # work a second, as last reported
        self.tried_backends: set[int] = set()
        self.awaited_probes: dict[int, None] = {}  # backends whose probe results it waits for, in order
        self.possible_executions: list[tuple[Backend, float]] = []  # attempts that may have run, time sent


class Throttle:
    """Berger's throttle: an evenly refilled bank of C_T tokens and a buffer for C_J waiting setups."""

    def __init__(self) -> None:
        self.active = False
        self.refill_rate = 0.0  # r, in tokens a ms
        self.tokens = 0.0
        self.refilled_at = 0.0
        self.turned_on_at = 0.0
        self.waiting: list[Flow] = []  # highest priority first, oldest first within a priority

    def bank_capacity(self, now: float) -> float:
        """Return C_T: few tokens at turn-on (a false alarm only delays), C_J + C_T if the overload lasts."""
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
        self.shortest_target_delay = min(
            [
                request_class.target_message_delay
                for request_class in settings.classes
                if request_class.target_message_delay > 0
            ],
            default=100.0,
        )
        self.backends: dict[int, Backend] = {}
        self.ready_backends: list[Backend] = []  # by id
        self.capacity_per_weight = math.inf  # connections that a backend of weight 1 can hold
        self.recently_used: dict[int, Backend] = {}  # since the monitor's last run
        self.groups: dict[int, Group] = {}  # by the hash of the key
        self.flows: dict[int, Flow] = {}
        self.flows_awaiting_probes: dict[int, Flow] = {}
        self.arrivals = 0.0  # decaying count
        self.arrivals_counted_at = 0.0
        self.open_connections = 0
        self.recent_successes = 0.0  # decaying count of attempts that opened
        self.recent_failures = 0.0  # decaying count of attempts that failed
        self.healthy_runs = 0  # of the monitor, in a row
        self.list_backoff = MONITOR_INTERVAL_MS
        self.plan_is_current = False
        self.any_backend_warm = False
        # Both decay over the overload window, the time after which an overload makes a backend collapse.
        self.overload_window_arrivals = 0.0  # clients that came or lost their connection
        self.mean_open_connections = 0.0  # connections that were open before
        self.buffer_check_at = math.inf
        self.monitor_started = False
        self.now = 0.0
        self.pending_actions = list[interface.Action]()
        # By token of the timer.
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
        self.pending_actions.append(interface.SetTimer(self.now + wait, token))

    def _jitter_factor(self) -> float:
        """Return a random factor from 0.5 to 1.5, so that balancers do not act in step on the same event."""
        return 0.5 + self.random.random()

    def _on_list(self, event: interface.ListUpdate) -> None:
        ask_every = self.settings.ask_every
        if not self.monitor_started:
            self.monitor_started = True
            self._set_timer(MONITOR_INTERVAL_MS * self._jitter_factor(), 1)
            if self.settings.must_subscribe:
                # All balancers may start or restart together: spread their calls to the list service.
                self._set_timer(
                    min(0.04 * self.settings.balancers, 0.4) * ask_every * self.random.random(), 2
                )
        if event.kind is interface.ListKind.FAILED:
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
        """Return the remembered group of a key, or a new one; without a key a group of its own."""
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

        A backend is filled up to a bound; what is left goes to the next of the ranking.  The groups are taken
        in the order of their hashes, so that balancers agree as far as they have seen the same groups.
        """
        seen_groups = [
            (group, group.arrivals * math.exp((group.counted_at - self.now) / ARRIVAL_DECAY_MS))
            for group in sorted(self.groups.values(), key=lambda group: group.hash)
        ]
        room = {
            backend.id: self.capacity_per_weight * backend.weight * self._capacity_fraction(backend)
            for backend in self.ready_backends
        }
        # Good-Turing: the fraction of arrivals from groups seen once estimates that of groups not yet seen.
        seen_total = 1.0 + sum(arrivals for _, arrivals in seen_groups)
        estimated_total = (
            seen_total
            * seen_total
            / (seen_total - sum(arrivals for _, arrivals in seen_groups if arrivals <= 1.0))
        )
        bound = max(
            TARGET_LOAD_FRACTION,
            TARGET_OVER_MEAN_FACTOR
            * (self.total_quota + GROUP_COST_CONNECTIONS * len(seen_groups))
            / max(1.0, sum(room.values())),
        )
        room = {
            backend_id: bound * capacity - GROUP_COST_CONNECTIONS for backend_id, capacity in room.items()
        }
        # Without quotas the capacity is unknown and nothing can be planned.
        for group, arrivals in seen_groups if room and self.total_quota else ():
            group.planned_split = []
            share = self.total_quota * arrivals / estimated_total
            remaining = share
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
        """Return the fraction of its capacity that a backend has reached in its warm-up."""
        settings, age = self.settings, max(0.0, self.now - backend.entry.started)
        if backend.entry.started <= 0 or age >= settings.cold_time:
            return 1.0
        return settings.cold_from + (1 - settings.cold_from) * age / settings.cold_time

    def _within_cold_limit(self, flow: Flow, backend: Backend) -> bool:
        """Return whether a cold backend may take one more of this balancer's flows; a warm one always may.

        All balancers together could overload it, so each uses only its part of the backend's budget.
        """
        settings, capacity_fraction = self.settings, self._capacity_fraction(backend)
        room = (
            settings.fall_multiple
            * capacity_fraction
            * max(self.open_connections, 1)
            / max(1, len(self.ready_backends))
        )
        # Where loads are reported, all balancers see the same late report of an empty backend: only a part of
        # the clients, chosen by hash, may go there, and only from groups that rank it high.
        selected = not settings.load_reported or (
            flow.placement_hash < COLD_BUDGET_FRACTION * capacity_fraction * 2**32
            and backend.id in [rank[1] for rank in flow.group.top_ranks[:PROBES_PER_ROUND]]
        )
        if flow.uses_loose_cold_limit or not self.any_backend_warm:
            room = 1.0 + COLD_BUDGET_FRACTION * room + math.sqrt(COLD_BUDGET_FRACTION * room)
        else:
            # The setups that make it collapse within the overload window, plus one, over all balancers.
            # Random rounding of a fractional share gives their sum over all balancers a Poisson distribution.
            room = (
                room * settings.overload_for / max(1.0, settings.cold_time)
                + 1.0 / settings.balancers
                + backend.rounding_offset
            )
        return capacity_fraction >= 1.0 or (selected and len(backend.flows) + 1 <= room)

    def _eligible_backends(self, flow: Flow) -> list[Backend]:
        """Return the backends that may take the flow: those of its group's plan first, then by rank."""
        group = flow.group
        if not self.plan_is_current:
            self._plan()
        planned = [entry for entry in group.planned_split if flow.placement_hash <= entry[0] * 2**32][:1]
        return [
            backend
            for backend_id in dict.fromkeys(
                entry[1] for entry in (*planned, *group.planned_split, *self._ranking(group))
            )
            if (backend := self.backends[backend_id]).ready
            and backend.avoid_until <= self.now
            and backend_id not in flow.tried_backends
            and self._may_repeat(flow, backend)
            and self._within_cold_limit(flow, backend)
        ]

    def _choose_backend(self, flow: Flow) -> Backend | None:
        """Return the least loaded eligible backend that reports its load.

        Where none reports, return the first of those probed that is not clearly slower than the quickest.
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
            # Load of one setup that the report cannot contain: it may be PROBE_FRESH_MS old when it arrives.
            load_per_connection = GROUP_SPLIT_LOAD / GROUP_COST_CONNECTIONS
            return min(
                reporting,
                key=lambda backend: (
                    backend.probed_load
                    + GROUP_SPLIT_LOAD * min(1, rank_by_id[backend.id])
                    + RANK_STEP_LOAD * rank_by_id[backend.id]
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

    def _may_repeat(self, flow: Flow, backend: Backend) -> bool:
        """Return whether an attempt at the backend is free of a second effect.

        After an attempt that may have run, a repeat must be safe, or must arrive at a backend that drops it.
        """
        request_class, attribute = (
            flow.request_class,
            {
                interface.DeduplicationScope.ALL: "",
                interface.DeduplicationScope.ZONE: "zone",
                interface.DeduplicationScope.CELL: "cell",
            }[flow.request_class.deduplication_scope],
        )
        return (
            not flow.possible_executions
            or request_class.effect is interface.Effect.SAFE
            or (
                request_class.effect is interface.Effect.KEYED
                and all(
                    self.now + self.settings.connect_timeout + self.settings.tick
                    < sent_at + request_class.deduplication_window
                    and (
                        not attribute
                        or getattr(first_backend.entry, attribute) == getattr(backend.entry, attribute)
                    )
                    for first_backend, sent_at in flow.possible_executions
                )
            )
        )

    def _create_flow(self, event: interface.Request | interface.ExistingConnection, deadline: float) -> Flow:
        group = self._group_for(event.group_key or event.client_key)
        group.arrivals = group.arrivals * math.exp((group.counted_at - self.now) / ARRIVAL_DECAY_MS) + 1.0
        self.arrivals = (
            self.arrivals * math.exp((self.arrivals_counted_at - self.now) / ARRIVAL_DECAY_MS) + 1.0
        )
        group.counted_at = self.arrivals_counted_at = self.now
        self.overload_window_arrivals += 1.0
        # Whether so few clients arrive that a cold backend can take as many from each balancer.
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
        flow = self._create_flow(event, math.inf)
        flow.attempt_count, flow.backend = 1, event.backend
        self.backends.setdefault(
            event.backend, Backend(interface.BackendEntry(event.backend, interface.State.GONE))
        )
        self._mark_open(flow)

    def _on_request(self, event: interface.Request) -> None:
        if event.request not in self.flows:
            self._admit(self._create_flow(event, self.now + event.patience), event.midflow)

    def _send_probes(self, flow: Flow) -> bool:
        """Probe the backends that may take the flow, and return whether it now waits for the results.

        Only the results show what the other balancers send to a backend.
        """
        wait, load_reported = (
            PROBE_WAIT_FRACTION * flow.request_class.target_setup_time,
            self.settings.load_reported,
        )
        if (
            self.settings.probes_allowed
            and flow.probe_rounds < MAX_PROBE_ROUNDS
            and self.now + wait < flow.deadline - self._refusal_margin(flow)
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

        Such a backend is busy or away.
        """
        for flow in list(self.flows_awaiting_probes.values()):
            for backend_id in (
                list(flow.awaited_probes)
                if self.now
                >= flow.changed_at + PROBE_WAIT_FRACTION * flow.request_class.target_setup_time - 0.01
                else ()
            ):
                self._on_probe_result(interface.ProbeResult(backend_id, -1.0))

    def _admit(self, flow: Flow, midflow: bool = False) -> None:
        """The ordinary path: a token starts an attempt; without one the flow waits, or is refused."""
        if not (midflow or self.throttle.take_token(self.now)) or not self._start_attempt(flow):
            self._buffer(flow)  # also where no backend is eligible, as long as there is time

    def _buffer(self, flow: Flow) -> None:
        """Put the flow into the waiting buffer, and refuse the last one where the buffer is too full."""
        throttle = self.throttle
        insort(throttle.waiting, flow, key=lambda other: -other.request_class.priority)
        if throttle.active and len(throttle.waiting) > BANK_AND_BUFFER_SLOTS - throttle.bank_capacity(
            self.now
        ):
            self._refuse(throttle.waiting.pop())
        self._arm_buffer_timer()

    def _start_attempt(self, flow: Flow, probed: bool = False) -> bool:
        """Start an attempt, after probes where these are needed; return False if no backend is eligible."""
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
        # Half of the time for one attempt: a backend that hangs must leave time for the next rank.
        timeout = (
            max(0.5 * time_left, min(time_left, flow.request_class.target_setup_time))
            if may_retry
            else time_left
        )
        flow.is_pending, flow.backend, flow.changed_at, flow.attempt_count = (
            True,
            backend.id,
            self.now,
            flow.attempt_count + 1,
        )
        backend.flows[flow.id] = flow
        self.recently_used[backend.id] = backend
        self.pending_actions.append(interface.Send(flow.id, backend.id, timeout))
        return True

    def _refusal_margin(self, flow: Flow) -> float:
        """Return how many ms before its deadline a waiting flow is refused, so that the answer is in time."""
        return min(50.0 + 4 * self.settings.tick, 0.3 * flow.request_class.deadline)

    def _refuse(self, flow: Flow) -> None:
        """Give the final answer: refused if a repeat by the client is harmless, else failed.

        A refusal promises that the client may repeat the request.  That does not hold where an attempt may
        have run and the repeat could take effect a second time.
        """
        self.flows.pop(flow.id, None)
        request_class, retry_after = (
            flow.request_class,
            self.settings.max_retry_after * self._jitter_factor() / 1.5,
        )
        repeat_is_harmless = (
            not flow.possible_executions
            or request_class.effect is interface.Effect.SAFE
            or (
                request_class.effect is interface.Effect.KEYED
                and all(
                    request_class.deduplication_scope is interface.DeduplicationScope.ALL
                    and self.now + retry_after < sent_at + request_class.deduplication_window
                    for _, sent_at in flow.possible_executions
                )
            )
        )
        self.pending_actions.append(
            interface.Refuse(flow.id, retry_after) if repeat_is_harmless else interface.Fail(flow.id)
        )

    def _on_established(self, event: interface.Established) -> None:
        flow = self.flows.get(event.request)
        if flow is None or not flow.is_pending or event.attempt != flow.attempt_count - 1:
            return
        backend = self.backends[flow.backend]
        # A success of an attempt that started before the last failure says nothing about the backend now.
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
        flow.group.open_by_backend[flow.backend] += 1
        self.recently_used[flow.backend] = backend = self.backends[flow.backend]
        backend.flows[flow.id] = flow

    def _on_delay_report(self, event: interface.DelayReport) -> None:
        flow = self.flows.get(event.request)
        if flow is None or not flow.is_open or event.delay < SLOW_DELAY_FRACTION * self.shortest_target_delay:
            return
        backend, delay_over_target = (
            self.backends[flow.backend],
            min(2.0, event.delay / self.shortest_target_delay),
        )
        backend.slow_at, backend.slowness = self.now, min(1.0, delay_over_target)
        self._move_fraction(
            backend, 0.0 if self.settings.load_reported else MOVE_PROBABILITY * delay_over_target
        )

    def _on_load_report(self, event: interface.LoadReport) -> None:
        if event.request in self.flows:
            self.flows[event.request].work_rate = event.load

    def _on_backend_silent(self, event: interface.BackendSilent) -> None:
        """Move all flows off the backend and send nothing new there.

        A slow backend answers late; this one answers nobody.
        """
        if backend := self.backends.get(event.backend):
            if backend.avoid_until <= self.now:
                self._skip_backend(backend)
            self._move_fraction(backend, 1.0)

    def _on_probe_result(self, event: interface.ProbeResult) -> None:
        if backend := self.backends.get(event.backend):
            elapsed = event.elapsed if event.elapsed >= 0.0 else self.settings.connect_timeout
            backend.weighted_probe_time, backend.probed_at, backend.probed_load = (
                elapsed * backend.weight,
                self.now,
                event.load,
            )
        for flow in list(self.flows_awaiting_probes.values()):
            flow.awaited_probes.pop(event.backend, None)
            if not flow.awaited_probes:
                del self.flows_awaiting_probes[flow.id]
                if not self._start_attempt(flow, probed=not self.settings.load_reported):
                    self._buffer(flow)

    def _maybe_move(
        self,
        flow: Flow,
        probability: float,
        max_load: float = math.inf,
        started_after: float = -math.inf,
    ) -> bool:
        """Move the connection with this probability, if it has stayed long enough.

        It moves only if the backend that it would get now is another one, reports less load than ``max_load``
        and has started later than ``started_after``.  Return whether it moves.
        """
        moves = (
            flow.is_open
            and self.now - flow.changed_at > MIN_STAY_MS
            and self.random.random() < probability
            and (backend := self._choose_backend(flow)) is not None
            and backend.id != flow.backend
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
        """Move the load above the relieved level away from each overloaded backend, group by group."""
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
            or self.now >= flow.deadline - self._refusal_margin(flow)
        ):
            self._refuse(flow)
        elif event.outcome is not interface.Outcome.CONNECT_FAILED or not self._start_attempt(flow):
            self._admit(flow)  # each further attempt takes a token: retries would add to an overload

    def _record_outcome(self, backend: Backend, outcome: interface.Outcome, was_open: bool) -> None:
        """Record a failure, and skip the backend for a while where it is to blame.

        One failed backend concerns itself only; the monitor reacts to how many there are.
        """
        if (
            outcome in (interface.Outcome.OK, interface.Outcome.CANCELLED, interface.Outcome.UNSENT)
            or self.now >= backend.leaving_since
        ):
            return  # connections that a backend drops as it leaves are no failure
        self.overload_window_arrivals += was_open  # its clients come again at once, at any balancer
        # A backend that breaks connections off at once is not overloaded; a full or slow one is.
        if outcome in (interface.Outcome.FULL, interface.Outcome.TIMEOUT):
            backend.slow_at = self.now
            backend.slowness = 1.0
        self.recent_failures += not was_open and outcome is not interface.Outcome.ERROR
        if outcome is interface.Outcome.FULL:
            backend.avoid_until = self.now + 200.0 * self._jitter_factor()
        elif outcome is not interface.Outcome.ERROR:  # an error costs little and may be the request's fault
            self._skip_backend(backend)

    def _skip_backend(self, backend: Backend) -> None:
        """Send nothing new to the backend for a time that doubles with each failure in a row."""
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
        """Set a timer for the next token or for the next refusal of a waiting flow, whichever is first."""
        throttle, wait = self.throttle, 100.0
        if not throttle.waiting:
            return
        if throttle.active and throttle.refill_rate > 0:
            wait = min(wait, max(0.0, 1.0 - throttle.tokens) / throttle.refill_rate)
        next_refusal = min(flow.deadline - self._refusal_margin(flow) for flow in throttle.waiting)
        wait = max(min(wait, next_refusal - self.now), self.settings.tick)
        if self.now + wait < self.buffer_check_at:
            self.buffer_check_at = self.now + wait
            self._set_timer(wait, 0)

    def _drain_buffer(self) -> None:
        """Start waiting flows for which there is a token.

        Refuse those that near their deadline and those for which a buffer that shrank has no place.
        """
        if self.now >= self.buffer_check_at - 0.01:  # times are rounded to us: a timer may seem early by less
            self.buffer_check_at = math.inf
        throttle, still_waiting = self.throttle, list[Flow]()
        for flow in throttle.waiting:
            if self.now >= flow.deadline - self._refusal_margin(flow):
                self._refuse(flow)
            elif not throttle.take_token(self.now):
                still_waiting.append(flow)
            elif not self._start_attempt(flow):
                throttle.tokens += 1.0
                still_waiting.append(flow)
        while throttle.active and len(still_waiting) > math.ceil(
            BANK_AND_BUFFER_SLOTS - throttle.bank_capacity(self.now)
        ):
            self._refuse(still_waiting.pop())
        throttle.waiting = still_waiting
        self._arm_buffer_timer()

    def _monitor(self) -> None:
        """Turn the throttle on or off and set its rate r, by how many of the backends in use are in trouble.

        It also brings the plan up to date and moves connections where a backend leaves, is overloaded or has
        just started.
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
        self.recent_successes, self.recent_failures = (
            0.75 * self.recent_successes,
            0.75 * self.recent_failures,
        )
        failed_fraction = (
            self.recent_failures / (self.recent_failures + self.recent_successes)
            if self.recent_failures > MIN_FAILURE_COUNT
            else 0.0
        )
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
