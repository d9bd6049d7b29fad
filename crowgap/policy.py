"""All of crowgap's decisions.  Its types, events and actions: crowgap/interface.py.

Ordinary path: a throttle (token bank and waiting buffer, Berger IV.B) lets setups out, and rendezvous
hashing on the group key, else the client key, places them.  docs/design.md gives the departures."""

from __future__ import annotations

import math
import random
from bisect import insort
from collections import Counter
from collections.abc import Callable
from hashlib import blake2b
from typing import Any

from crowgap import interface as i

M64 = (1 << 64) - 1
MAX_GROUPS, RANKS_KEPT = (
    300,
    32,
)  # groups remembered; ranks kept of each: a group's spread and what failures may skip
BANK_AND_BUFFER_SLOTS = 10.0  # C_J + C_T: Berger IV.A finds 10 enough for a robust throughput
BANK_AT_TURN_ON_TOKENS = 1.0  # tokens at turn-on, so that a true overload is throttled at once
BUFFER_SHRINK_DELAY_MS, BUFFER_SHRINK_MS = (
    2000.0,
    8000.0,
)  # ms of overload before the buffer shrinks, and until it is gone
PERIOD = 500.0  # ms between looks of the monitor: several looks within any patience
ON, OFF, MANY = 0.35, 0.15, 3.0  # share of trouble: lowers r, counts as healthy; failures that make a share
FLOOR = 0.1  # of the usual arrivals let out at least: some setups must show when it is over
UP, DOWN, CALM = 1.1, 0.85, 6  # change of r a look, down faster than up; healthy looks to turn off
MEMORY = 30000.0  # ms over which arrivals are remembered: about a connection's life
SLOW, SLOW_FOR = 0.34, 1500.0  # of the shortest aim: late in part from here; ms that trouble counts
MOVE, SETTLED = 0.25, 2000.0  # chance that one which should leave is moved, a note; ms it stays at least
SAFE, EVEN = 0.55, 1.08  # load over capacity, and over the fleet's mean, up to which a backend is filled
QUOTA_FRACTION_OF_CAPACITY = 0.81  # the tenants' quotas together, as part of what the fleet can hold
GROUP_COST_CONNECTIONS = 3.0  # what a group costs a backend that holds any of it, in mean connections
COLD_BUDGET_FRACTION = 0.5  # part of the cold budget used: capacity is a guess
ASK, MORE, ROUNDS, HOT = 3, 2, 5, 1.25  # asked at once; of the longest unasked; times; as slow: passed over
GROUP_SPLIT_LOAD, STEP, CROSS_ZONE_LOAD = (
    0.2,
    0.02,
    0.1,
)  # load by which a group's next backend, each rank, a zone must be better
FULL, RELIEVED, TOLD = 1.0, 0.65, 5000.0  # reported load: messages late, room again; ms it is news
WAIT, NEWS = 0.15, 1000.0  # of its aim that a setup waits for them; ms that an answer is news
LEAVE = 2000.0  # ms over which the clients of a backend that leaves are moved


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big") | 1


class Backend:
    """What this balancer knows of one backend, from the list and from its own traffic."""

    __slots__ = (
        "chance",
        "down_until",
        "entry",
        "failure_count",
        "flows",
        "hash",
        "id",
        "leaving",
        "load",
        "ping",
        "ping_at",
        "ready",
        "relieved",
        "skipped",
        "slow",
        "slow_at",
        "weight",
    )

    def __init__(self, entry: i.BackendEntry, chance: float = 0.0) -> None:
        self.id, self.entry, self.weight, self.ready = entry.backend, entry, 1.0, False
        self.hash = _hash(str(entry.backend))
        self.ping, self.ping_at = 0.0, -math.inf  # ms times weight that the answer to a probe took last; when
        self.load = -1.0  # load over capacity as it reported then, -1 where it does not
        self.down_until = self.skipped = self.slow_at = self.relieved = -math.inf
        self.failure_count, self.slow, self.chance = (
            0,
            0.0,
            chance,
        )  # that a part of one of its cold room counts here
        self.leaving = math.inf  # when the list said that it drains or is gone
        self.flows: dict[int, Flow] = {}


class Group:
    """One hash key: the head of its ranking, and how much of this balancer's traffic it draws."""

    def __init__(self, key_hash: int) -> None:
        self.hash, self.count, self.at = key_hash, 0.0, 0.0
        self.head: list[tuple[float, int]] = []
        self.held: Counter[int] = Counter()  # own connections of it by backend
        self.parts: list[tuple[float, int]] = []  # how far of its clients each backend gets, by the plan


class Flow:
    """A request from its arrival to its end, and the connection it becomes."""

    __slots__ = (
        "asked",
        "attempts",
        "backend",
        "calm",
        "cls",
        "deadline",
        "group",
        "id",
        "load",
        "open",
        "pending",
        "pick",
        "rounds",
        "since",
        "stood",
        "tried",
        "unsure",
    )

    def __init__(
        self, e: i.Request | i.ExistingConnection, cls: i.RequestClass, group: Group, end: float, calm: bool
    ):
        self.id, self.cls, self.group, self.deadline, self.calm = e.request, cls, group, end, calm
        self.pick = _hash(e.client_key or str(e.request)) >> 32
        self.attempts, self.pending, self.open, self.backend, self.since = 0, False, False, -1, 0.0
        self.rounds, self.stood, self.load = 0, 0.0, 1.0  # of asking; when it opened; work a second, as told
        self.tried: set[int] = set()
        self.asked: dict[int, None] = {}  # backends whose answers to a probe it waits for
        self.unsure: list[tuple[Backend, float]] = []  # attempts that may have run: backend, time sent


class Throttle:
    """Berger's throttle: an evenly refilled bank of C_T tokens and a buffer for C_J waiting setups."""

    def __init__(self) -> None:
        self.active, self.refill_rate, self.tokens, self.at, self.turned_on_at = False, 0.0, 0.0, 0.0, 0.0
        self.waiting: list[Flow] = []  # the worthiest first, of these the oldest

    def bank_capacity(self, now: float) -> float:
        """C_T now: few at turn-on (a false alarm only delays), all of C_J + C_T if overload lasts."""
        return BANK_AT_TURN_ON_TOKENS + (BANK_AND_BUFFER_SLOTS - BANK_AT_TURN_ON_TOKENS) * min(
            1.0, max(0.0, (now - self.turned_on_at - BUFFER_SHRINK_DELAY_MS) / BUFFER_SHRINK_MS)
        )

    def take(self, now: float) -> bool:
        if not self.active:
            return True
        self.tokens = min(self.bank_capacity(now), self.tokens + self.refill_rate * (now - self.at))
        self.at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Balancer:
    """One relay's decisions: events with their time in, actions out; nothing is shared or global."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.random, self.throttle = settings, random.Random(seed), Throttle()
        self.classes = {c.name: c for c in settings.classes}
        self.total_quota = sum(t.quota for t in settings.tenants)  # connections over all balancers
        self.aim = min([c.message_aim for c in settings.classes if c.message_aim > 0], default=100.0)
        self.backends: dict[int, Backend] = {}
        self.ready_backends: list[Backend] = []  # those that may be sent to
        self.capacity_per_weight = math.inf  # connections that a weight of 1 can hold
        self.recently_used: dict[int, Backend] = {}  # in use since the monitor's last look
        self.groups: dict[int, Group] = {}
        self.flows: dict[int, Flow] = {}
        self.flows_awaiting_probes: dict[int, Flow] = {}
        self.count, self.count_at, self.open_connections = 0.0, 0.0, 0
        self.stood, self.failed, self.calm, self.backoff = 0.0, 0.0, 0, PERIOD
        self.plan_is_current, self.some_warm = False, False
        self.rush, self.known = 0.0, 0.0  # in the time to fall: who come or lose theirs; who stood before
        self.buffer_check_at, self.looking, self.now, self.pending_actions = (
            math.inf,
            False,
            0.0,
            list[i.Action](),
        )
        self.timers: dict[int, Any] = {
            0: self._pump,
            1: self._look,
            3: self._asked,
            2: lambda: self.pending_actions.append(i.Subscribe()),
        }
        self.handlers: dict[type, Callable[[Any], None]] = {
            i.ListUpdate: self._on_list,
            i.Request: self._on_request,
            i.ExistingConnection: self._on_carried,
            i.Established: self._on_established,
            i.DelayReport: self._on_note,
            i.LoadReport: self._on_load,
            i.BackendSilent: self._on_silent,
            i.Ended: self._on_ended,
            i.ClientLeft: self._on_gone,
            i.TimerDue: lambda e: self.timers.get(e.token, lambda: None)(),
            i.ProbeResult: self._on_probed,
        }

    def handle(self, now: float, event: i.Event) -> list[i.Action]:
        """Take one event; the actions returned are carried out in order."""
        self.now, self.pending_actions = now, []
        self.handlers[type(event)](event)
        return self.pending_actions

    def _timer(self, wait: float, token: int) -> None:
        self.pending_actions.append(i.SetTimer(self.now + wait, token))

    def _jitter(self) -> float:
        """Balancers that see the same thing must not act on it in step."""
        return 0.5 + self.random.random()

    def _on_list(self, e: i.ListUpdate) -> None:
        list_refresh_interval = self.settings.list_refresh_interval
        if not self.looking:
            self.looking = True
            self._timer(PERIOD * self._jitter(), 1)
            if (
                self.settings.must_subscribe
            ):  # all start or restart together: spread the calls on the list service
                self._timer(
                    min(0.04 * self.settings.balancers, 0.4) * list_refresh_interval * self.random.random(), 2
                )
        if e.kind is i.ListKind.FAILED:
            self.backoff = min(2 * self.backoff, 0.2 * list_refresh_interval)
            self._timer(self.backoff * self._jitter(), 2)
            return
        self.backoff = PERIOD
        if e.kind is not i.ListKind.CHANGES:
            listed = {entry.backend for entry in e.entries}
            for b in [b for b in self.ready_backends if b.id not in listed]:
                self._unrank(b)
        for entry in e.entries:
            b = self.backends.setdefault(entry.backend, Backend(entry, self.random.random()))
            if b.ready and entry.state is not i.State.READY:
                self._unrank(b)
            if entry.started != b.entry.started:
                b.down_until, b.failure_count = -math.inf, 0
            b.entry = entry
            b.leaving = math.inf if entry.state is i.State.READY else min(b.leaving, self.now)
            if entry.state is i.State.READY:
                self._rank_in(b, 1.0 if self.settings.live_weights or entry.weight <= 0 else entry.weight)
        if (
            len(self.backends) > 2 * len(self.ready_backends) + RANKS_KEPT
        ):  # ids come and go with the machines
            self.backends = {b.id: b for b in self.backends.values() if b.ready or b.flows}
            self._forget_ranks()
        if self.capacity_per_weight == math.inf and self.ready_backends and self.total_quota:
            self.capacity_per_weight = (
                self.total_quota / QUOTA_FRACTION_OF_CAPACITY / sum(b.weight for b in self.ready_backends)
            )
        self._pump()

    def _unrank(self, b: Backend) -> None:
        b.ready, b.leaving = False, min(b.leaving, self.now)
        self.ready_backends.remove(b)
        self._forget_ranks()

    def _rank_in(self, b: Backend, weight: float) -> None:
        if not b.ready:
            insort(self.ready_backends, b, key=lambda row: row.id)
        if b.weight != weight or not b.ready:
            b.weight, b.ready = weight, True
            self._forget_ranks()

    def _forget_ranks(self) -> None:
        self.plan_is_current = False
        for group in [*self.groups.values(), *(flow.group for flow in self.flows.values())]:
            group.head, group.parts = [], []

    def _rank(self, group: Group) -> list[tuple[float, int]]:
        group.head = (
            group.head
            or sorted(
                (-math.log(((group.hash * b.hash & M64) + 1) / M64) / b.weight, b.id)
                for b in self.ready_backends
            )[:RANKS_KEPT]
        )
        return group.head

    def _group(self, key: str) -> Group:
        if not key:
            return Group(self.random.getrandbits(64) | 1)
        if len(self.groups) >= MAX_GROUPS:  # keys come and go: the cache must not grow without end
            self.groups = dict(sorted(self.groups.items(), key=lambda row: -row[1].at)[: MAX_GROUPS // 2])
        key_hash = _hash(key)
        self.plan_is_current = self.plan_is_current and key_hash in self.groups
        return self.groups.get(key_hash) or self.groups.setdefault(key_hash, Group(key_hash))

    def _plan(self) -> None:
        """Pour each group, its part of all that the quotas allow, into the backends in its ranking's order.

        The groups come in the hash's order, so that balancers agree as far as they have seen the same."""
        seen = [
            (g, g.count * math.exp((g.at - self.now) / MEMORY))
            for g in sorted(self.groups.values(), key=lambda group: group.hash)
        ]
        room = {
            b.id: self.capacity_per_weight * b.weight * self._capacity_fraction(b)
            for b in self.ready_backends
        }
        n = 1.0 + sum(count for _, count in seen)  # and by Good and Turing the part that was seen once
        total = n * n / (n - sum(count for _, count in seen if count <= 1.0))  # is that of groups unseen
        bound = max(
            SAFE,
            EVEN * (self.total_quota + GROUP_COST_CONNECTIONS * len(seen)) / max(1.0, sum(room.values())),
        )
        room = {b: bound * most - GROUP_COST_CONNECTIONS for b, most in room.items()}
        for group, count in seen if room and self.total_quota else ():  # else nothing is known of capacity
            group.parts, share = [], self.total_quota * count / total
            left = share
            for b in (row[1] for row in self._rank(group)):
                if room[b] >= min(left, GROUP_COST_CONNECTIONS):
                    part = min(left, room[b])
                    room[b], left = room[b] - part - GROUP_COST_CONNECTIONS, left - part
                    group.parts.append((1.0 - left / share, b))
                    if left <= 0.0:
                        break
            else:
                b = max(room, key=lambda b: room[b])
                room[b] -= left + GROUP_COST_CONNECTIONS
                group.parts.append((1.0, b))
        self.plan_is_current, self.some_warm = (
            True,
            any(self._capacity_fraction(b) >= 1.0 for b in self.ready_backends),
        )

    def _capacity_fraction(self, b: Backend) -> float:
        """How much of its capacity a backend has by now."""
        s, age = self.settings, max(0.0, self.now - b.entry.started)
        if b.entry.started <= 0 or age >= s.warmup_time:
            return 1.0
        return s.warmup_start_capacity + (1 - s.warmup_start_capacity) * age / s.warmup_time

    def _cold_room(self, flow: Flow, b: Backend) -> bool:
        """May a cold backend take one more of this balancer's?  All together could push it over."""
        s, part = self.settings, self._capacity_fraction(b)
        room = s.collapse_multiple * part * max(self.open_connections, 1) / max(1, len(self.ready_backends))
        mine = (
            not s.load_reported
            or (
                flow.pick < COLD_BUDGET_FRACTION * part * 2**32  # all see one late report
                and b.id in [row[1] for row in flow.group.head[:ASK]]
            )
        )
        if flow.calm or not self.some_warm:
            room = 1.0 + COLD_BUDGET_FRACTION * room + math.sqrt(COLD_BUDGET_FRACTION * room)
        else:  # of what falls it in its time, and one, over all balancers: parts of one by chance, as Poisson
            room = room * s.overload_window / max(1.0, s.warmup_time) + 1.0 / s.balancers + b.chance
        return part >= 1.0 or (mine and len(b.flows) + 1 <= room)

    def _could(self, flow: Flow) -> list[Backend]:
        """The backends that may have it, as its group is poured and then as it ranks them."""
        group = flow.group
        if not self.plan_is_current:
            self._plan()
        mine = [row for row in group.parts if flow.pick <= row[0] * 2**32][:1]
        return [
            b
            for n in dict.fromkeys(row[1] for row in (*mine, *group.parts, *self._rank(group)))
            if (b := self.backends[n]).ready
            and b.down_until <= self.now
            and n not in flow.tried
            and self._may_repeat(flow, b)
            and self._cold_room(flow, b)
        ]

    def _choose_backend(self, flow: Flow) -> Backend | None:
        """The least loaded that reports; else the first that is not much slower than the others asked."""
        some, since = self._could(flow), self.now - NEWS
        if told := [b for b in some if b.load >= 0.0 and b.ping_at >= self.now - TOLD]:
            near = {row[1]: at for at, row in enumerate(flow.group.head)} | dict.fromkeys(flow.group.held, 0)
            one = (
                GROUP_SPLIT_LOAD / GROUP_COST_CONNECTIONS
            )  # load of a setup that the report, up to NEWS old as it came, cannot know yet
            return min(
                told,
                key=lambda b: (
                    b.load
                    + GROUP_SPLIT_LOAD * min(1, near[b.id])
                    + STEP * near[b.id]
                    + one * sum(f.pending or f.stood > b.ping_at - NEWS for f in b.flows.values())
                    + CROSS_ZONE_LOAD * (b.entry.zone != self.settings.zone)
                ),
            )
        most = HOT * min([b.ping for b in some[:ASK] if b.ping_at >= since], default=0.0)
        return next((b for b in some[:ASK] if b.ping_at < since or b.ping <= most), None)

    def _may_repeat(self, flow: Flow, b: Backend) -> bool:
        """No effect twice: after an attempt that may have run, only where its repeat is dropped."""
        cls, key = (
            flow.cls,
            {
                i.DeduplicationScope.ALL: "",
                i.DeduplicationScope.ZONE: "zone",
                i.DeduplicationScope.CELL: "cell",
            }[flow.cls.deduplication_scope],
        )
        return (
            not flow.unsure
            or cls.effect is i.Effect.SAFE
            or (
                cls.effect is i.Effect.KEYED
                and all(
                    self.now + self.settings.connect_timeout + self.settings.timer_resolution
                    < sent + cls.deduplication_window
                    and (not key or getattr(first.entry, key) == getattr(b.entry, key))
                    for first, sent in flow.unsure
                )
            )
        )

    def _create_flow(self, e: i.Request | i.ExistingConnection, deadline: float) -> Flow:
        group = self._group(e.group_key or e.client_key)
        group.count = group.count * math.exp((group.at - self.now) / MEMORY) + 1.0
        self.count = self.count * math.exp((self.count_at - self.now) / MEMORY) + 1.0
        group.at = self.count_at = self.now
        self.rush += 1.0  # calm: so few come that a cold backend bears as many at each balancer
        calm = (
            self.random.random() * self.rush * self.settings.warmup_time
            < self.settings.collapse_multiple * self.settings.overload_window * (1.0 + self.known)
        )
        flow = Flow(e, self.classes.get(e.class_name) or self.settings.classes[0], group, deadline, calm)
        self.flows[flow.id] = flow
        return flow

    def _on_carried(self, e: i.ExistingConnection) -> None:
        flow = self._create_flow(e, math.inf)
        flow.attempts, flow.backend = 1, e.backend
        self.backends.setdefault(e.backend, Backend(i.BackendEntry(e.backend, i.State.GONE)))
        self._opened(flow)

    def _on_request(self, e: i.Request) -> None:
        if e.request not in self.flows:
            self._admit(self._create_flow(e, self.now + e.patience), e.midflow)

    def _ask(self, flow: Flow) -> bool:
        """Have those that may get it answer a probe first: what all balancers do there shows nowhere else."""
        wait, loads = WAIT * flow.cls.aim, self.settings.load_reported
        if (
            self.settings.probes_allowed
            and flow.rounds < ROUNDS
            and self.now + wait < flow.deadline - self._margin(flow)
        ):
            some = [
                b
                for b in self._could(flow)
                if b.ping_at < self.now - TOLD or (b.load <= RELIEVED and (b.load >= 0.0 or not loads))
            ][:ASK]
            if loads and not flow.rounds:
                some += sorted(self.ready_backends, key=lambda b: b.ping_at)[:MORE]
            flow.rounds += 1
            flow.asked = {b.id: None for b in some if b.ping_at < self.now - NEWS} if len(some) > 1 else {}
            self.pending_actions += [i.Probe(n) for n in flow.asked]
            if flow.asked:
                flow.since, self.flows_awaiting_probes[flow.id] = self.now, flow
                self._timer(wait, 3)
        return bool(flow.asked)

    def _asked(self) -> None:
        """Who has not answered by now is busy indeed, or away: the setup goes on without."""
        for flow in list(self.flows_awaiting_probes.values()):
            for n in list(flow.asked) if self.now >= flow.since + WAIT * flow.cls.aim - 0.01 else ():
                self._on_probed(i.ProbeResult(n, -1.0))

    def _admit(self, flow: Flow, midflow: bool = False) -> None:
        """The ordinary path: a token lets it out, else it waits, or is refused if the buffer is full."""
        if not (midflow or self.throttle.take(self.now)) or not self._start_attempt(flow):
            self._hold(flow)  # also where there is nothing to send to, while there is time

    def _hold(self, flow: Flow) -> None:
        throttle = self.throttle
        insort(throttle.waiting, flow, key=lambda other: -other.cls.priority)
        if throttle.active and len(throttle.waiting) > BANK_AND_BUFFER_SLOTS - throttle.bank_capacity(
            self.now
        ):
            self._refuse(throttle.waiting.pop())
        self._arm()

    def _start_attempt(self, flow: Flow, probed: bool = False) -> bool:
        if not probed and self._ask(flow):
            return True  # and goes out once they have answered
        b = self._choose_backend(flow)
        if b is None:
            return False
        left = flow.deadline - self.now
        more = flow.attempts + 1 < self.settings.max_attempts and flow.cls.effect is i.Effect.SAFE
        # Half of the time for one attempt: a backend that hangs must leave time for the next rank.
        timeout = max(0.5 * left, min(left, flow.cls.aim)) if more else left
        flow.pending, flow.backend, flow.since, flow.attempts = True, b.id, self.now, flow.attempts + 1
        b.flows[flow.id] = flow
        self.recently_used[b.id] = b
        self.pending_actions.append(i.Send(flow.id, b.id, timeout))
        return True

    def _margin(self, flow: Flow) -> float:
        """Waiting setups are refused this long before their end, while the answer is still in time."""
        return min(50.0 + 4 * self.settings.timer_resolution, 0.3 * flow.cls.deadline)

    def _refuse(self, flow: Flow) -> None:
        """Where it may have run and the client's repeat might count twice, a refusal promises too much."""
        self.flows.pop(flow.id, None)
        cls, wait = flow.cls, self.settings.max_retry_after * self._jitter() / 1.5
        harmless = (
            not flow.unsure
            or cls.effect is i.Effect.SAFE
            or (
                cls.effect is i.Effect.KEYED
                and all(
                    cls.deduplication_scope is i.DeduplicationScope.ALL
                    and self.now + wait < sent + cls.deduplication_window
                    for _, sent in flow.unsure
                )
            )
        )
        self.pending_actions.append(i.Refuse(flow.id, wait) if harmless else i.Fail(flow.id))

    def _on_established(self, e: i.Established) -> None:
        flow = self.flows.get(e.request)
        if flow is None or not flow.pending or e.attempt != flow.attempts - 1:
            return
        b = self.backends[flow.backend]
        if flow.since > b.skipped:  # one that was on its way as others broke says nothing of it now
            b.failure_count, b.down_until = 0, -math.inf
        self.stood += 1
        self._opened(flow)

    def _opened(self, flow: Flow) -> None:
        flow.pending, flow.open, flow.since, flow.stood = False, True, self.now, self.now
        flow.tried.clear()
        self.open_connections += 1
        flow.group.held[flow.backend] += 1
        self.recently_used[flow.backend] = b = self.backends[flow.backend]
        b.flows[flow.id] = flow

    def _on_note(self, e: i.DelayReport) -> None:
        flow = self.flows.get(e.request)
        if flow is None or not flow.open or e.delay < SLOW * self.aim:
            return
        b, hurt = self.backends[flow.backend], min(2.0, e.delay / self.aim)
        b.slow_at, b.slow = self.now, min(1.0, hurt)
        self._thin_out(b, 0.0 if self.settings.load_reported else MOVE * hurt)

    def _on_load(self, e: i.LoadReport) -> None:
        if e.request in self.flows:
            self.flows[e.request].load = e.load

    def _on_silent(self, e: i.BackendSilent) -> None:
        """One that is slow answers late, this one answers nobody: all leave it and nothing new goes there."""
        if b := self.backends.get(e.backend):
            if b.down_until <= self.now:
                self._skip(b)
            self._thin_out(b, 1.0)

    def _on_probed(self, e: i.ProbeResult) -> None:
        if b := self.backends.get(e.backend):
            took = e.elapsed if e.elapsed >= 0.0 else self.settings.connect_timeout
            b.ping, b.ping_at, b.load = took * b.weight, self.now, e.load
        for flow in list(self.flows_awaiting_probes.values()):
            flow.asked.pop(e.backend, None)
            if not flow.asked:
                del self.flows_awaiting_probes[flow.id]
                if not self._start_attempt(flow, probed=not self.settings.load_reported):
                    self._hold(flow)

    def _move(self, flow: Flow, part: float, most: float = math.inf, after: float = -math.inf) -> bool:
        """Move one that has stood a while, by chance, to where it would go now if that has so little load."""
        moves = (
            flow.open
            and self.now - flow.since > SETTLED
            and self.random.random() < part
            and (b := self._choose_backend(flow)) is not None
            and b.id != flow.backend
            and b.load < most
            and b.entry.started > after
        )
        if moves:
            flow.since = self.now
            self.pending_actions.append(i.Move(flow.id))
        return moves

    def _thin_out(self, b: Backend, part: float) -> None:
        """Move about this part of a backend's connections to where they would go now."""
        for flow in b.flows.values():
            self._move(flow, part)

    def _empty(self) -> None:
        """Move the clients of backends that leave: not all do it themselves before they cut them off."""
        for b in self.backends.values() if self.ready_backends else ():  # else they would have nowhere to go
            if b.flows and not b.ready and self.now >= b.leaving:
                part = (self.now - b.leaving + PERIOD) / LEAVE
                self.pending_actions += [
                    i.Move(f.id) for f in b.flows.values() if f.open and self.random.random() < part
                ]

    def _relieve(self) -> None:
        """Where more is asked of a backend than it can do, so much goes to others, group by group."""
        for b in self.ready_backends:
            if b.load > FULL and self.now - b.ping_at < NEWS and self.now - b.relieved > 2 * NEWS:
                b.relieved = self.now
                over = sum(flow.load for flow in b.flows.values()) * (1.0 - RELIEVED / b.load)
                for flow in sorted(b.flows.values(), key=lambda flow: flow.group.hash):
                    if over > 0.0 and self._move(flow, 1.0, most=b.load / HOT):
                        over -= flow.load

    def _move_to_new_backends(self) -> None:
        """Backends that have started since get the clients that the hash gives them."""
        newest = max([b.entry.started for b in self.ready_backends], default=0.0)
        for flow in self.flows.values() if newest > 0.0 else ():
            if flow.stood < newest:
                self._move(flow, MOVE, after=flow.stood)

    def _on_ended(self, e: i.Ended) -> None:
        flow, b = self.flows.get(e.request), self.backends.get(e.backend)
        if flow is None or b is None or not (flow.pending or flow.open) or e.attempt != flow.attempts - 1:
            return
        b.flows.pop(flow.id, None)
        was_open, flow.pending = flow.open, False
        self.open_connections -= was_open
        flow.group.held = flow.group.held - Counter({b.id: int(was_open)})
        self._judge(b, e.outcome, was_open)
        if e.closed or was_open or flow.deadline < 0:
            del self.flows[flow.id]
            return
        flow.tried.add(b.id)
        if e.outcome not in i.NOT_EXECUTED:
            flow.unsure.append((b, flow.since))
        if (
            flow.attempts >= self.settings.max_attempts
            or e.outcome is i.Outcome.UNSENT
            or self.now >= flow.deadline - self._margin(flow)
        ):
            self._refuse(flow)
        elif e.outcome is not i.Outcome.CONNECT_FAILED or not self._start_attempt(flow):
            self._admit(flow)  # further attempts in overload would be a storm of their own: a token each

    def _judge(self, b: Backend, outcome: i.Outcome, was_open: bool) -> None:
        """A backend's own troubles are its own: skip it for a while; the monitor sees only how many."""
        if outcome in (i.Outcome.OK, i.Outcome.CANCELLED, i.Outcome.UNSENT) or self.now >= b.leaving:
            return  # what a backend drops as it leaves is no trouble
        self.rush += was_open  # its clients come again at once, all over the fleet
        if outcome in (i.Outcome.FULL, i.Outcome.TIMEOUT):
            b.slow_at, b.slow = self.now, 1.0  # who breaks off in a moment is not crowded
        self.failed += not was_open and outcome is not i.Outcome.ERROR
        if outcome is i.Outcome.FULL:
            b.down_until = self.now + 200.0 * self._jitter()
        elif outcome is not i.Outcome.ERROR:  # it costs a moment, and may be the fault of the request
            self._skip(b)

    def _skip(self, b: Backend) -> None:
        """Nothing new goes to it for a while that doubles with each failure, until it serves again."""
        b.failure_count, b.skipped = min(b.failure_count + 1, 5), self.now
        b.down_until = max(
            b.down_until, self.now + self.settings.connect_timeout * 2.0**b.failure_count * self._jitter()
        )

    def _on_gone(self, e: i.ClientLeft) -> None:
        flow = self.flows.get(e.request)
        if flow is not None and (flow.pending or flow.open):
            flow.deadline = -math.inf  # its attempt still ends; nothing more goes out for it
        elif flow is not None:
            del self.flows[flow.id]
            self.flows_awaiting_probes.pop(flow.id, None)
            self.throttle.waiting = [other for other in self.throttle.waiting if other is not flow]

    def _arm(self) -> None:
        """Wake for the next token or the next waiting setup at its end, whichever is first."""
        throttle, wait = self.throttle, 100.0
        if not throttle.waiting:
            return
        if throttle.active and throttle.refill_rate > 0:
            wait = min(wait, max(0.0, 1.0 - throttle.tokens) / throttle.refill_rate)
        end = min(flow.deadline - self._margin(flow) for flow in throttle.waiting)
        wait = max(min(wait, end - self.now), self.settings.timer_resolution)
        if self.now + wait < self.buffer_check_at:
            self.buffer_check_at = self.now + wait
            self._timer(wait, 0)

    def _pump(self) -> None:
        """Let out what has a token, refuse what nears its end and what a shrunken buffer no longer holds."""
        if (
            self.now >= self.buffer_check_at - 0.01
        ):  # the clock counts microseconds: a timer may seem early by less
            self.buffer_check_at = math.inf
        throttle, kept = self.throttle, list[Flow]()
        for flow in throttle.waiting:
            if self.now >= flow.deadline - self._margin(flow):
                self._refuse(flow)
            elif not throttle.take(self.now):
                kept.append(flow)
            elif not self._start_attempt(flow):
                throttle.tokens += 1.0
                kept.append(flow)
        while throttle.active and len(kept) > math.ceil(
            BANK_AND_BUFFER_SLOTS - throttle.bank_capacity(self.now)
        ):
            self._refuse(kept.pop())
        throttle.waiting = kept
        self._arm()

    def _look(self) -> None:
        """The monitor: how many of the backends in use are in trouble decides on the throttle and r."""
        self._timer(PERIOD, 1)
        self._plan()
        fade = math.exp(-PERIOD / max(1.0, self.settings.overload_window))
        self.rush, self.known = (
            self.rush * fade,
            self.open_connections + (self.known - self.open_connections) * fade,
        )
        self._empty()
        self._relieve()
        self._move_to_new_backends()
        bad = [b for b in self.recently_used.values() if self.now - b.slow_at < SLOW_FOR]
        used = [b for b in self.recently_used.values() if b.ready and b.down_until <= self.now]
        part = sum(b.slow for b in bad if b in used) / max(1, len(used))
        if told := sorted(
            b.load for b in self.ready_backends if b.load >= 0.0 and self.now - b.ping_at < TOLD
        ):
            part = float(told[len(told) // 4] >= RELIEVED)  # they tell themselves whether there is room
        self.recently_used = {b.id: b for b in self.recently_used.values() if b.flows}
        self.stood, self.failed = 0.75 * self.stood, 0.75 * self.failed
        share = self.failed / (self.failed + self.stood) if self.failed > MANY else 0.0
        pressure = max(share, part if told or sum(b.slow for b in bad) > 1.0 else 0.0)
        throttle, usual = self.throttle, max(self.count, 1.0) / MEMORY
        self.calm = self.calm + 1 if pressure <= OFF else 0
        if not throttle.active and pressure >= ON:
            throttle.active, throttle.tokens, throttle.at, throttle.turned_on_at = (
                True,
                BANK_AT_TURN_ON_TOKENS,
                self.now,
                self.now,
            )
            throttle.refill_rate = usual
        elif throttle.active:
            change = DOWN if pressure >= ON else UP if pressure <= OFF else 1.0
            throttle.refill_rate = max(throttle.refill_rate * change, FLOOR * usual)
            throttle.active = self.calm < CALM
            self._pump()
