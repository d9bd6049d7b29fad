"""The running balancer: its actors, the listening socket, and the way it ends."""

from __future__ import annotations

import contextlib
import math
import random
import signal
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import fields, replace
from itertools import islice
from typing import TYPE_CHECKING
from zlib import crc32

from crowgap.interface import ListKind, Settings
from snowwick.config import RELOADABLE_FIELDS, BadConfig, Config, reload
from snowwick.log import Log
from snowwick.net.decider import Decider, DestinationSilent, MoveAway, PoolUpdate
from snowwick.net.delay_monitor import Gauge
from snowwick.net.front import MIN_IDLE_S, EvictIdle, Front, ShuttingDown
from snowwick.net.loop import Actor, Coroutine, Loop, Wait
from snowwick.net.path import CapacityStage, DeciderStage, OpeningStage, Request, RequestPath
from snowwick.net.peer import READ_SIZE_BYTES
from snowwick.net.pool import CallFailed, DiscoveryAddressChanged, Pool, PoolConfig, WatchPool
from snowwick.net.pool_deciders import PoolDeciders
from snowwick.net.probe import Probe
from snowwick.net.signals import SignalSockets

if TYPE_CHECKING:
    from snowwick.broker.contract import Contracts
    from snowwick.fleet.file import FleetFile
    from snowwick.net.contracts import ContractStage
    from snowwick.net.fleet import FleetLink

BACKLOG = 1024
OWN_SOCKETS = 12  # kept for the program itself: standard streams, epoll, signals, listening, discovery
ANSWERING = 8  # kept for giving a busy reply to those for whom there is no route step
ACCEPTS = 16  # connections taken a turn: the others' turn must come between
WAITING_PART = 0.5  # of the sockets that are free of requests, how much those without one may hold
PAUSE = 0.05  # s without accepting after accept has failed or sockets have run out
TURN = 0.005  # s without accepting until one that was ended for room has left
STILL_COMING = 0.4  # s after SIGTERM in which new connections come: who is moved then comes back here
MOVING = 0.6  # s after that over which the clients are moved: not all at once to the others
LONGEST, AFTER = 3.0, 0.4  # s: patience counts up to that much at the end, and what is allowed beyond
LAST = 0.25  # s before the end at which whatever is still owed is answered, and who rests is ended
SURE = 0.05  # s that each time limit of the protocol may be off


class Acceptor(Actor):
    """Takes connections off the listening socket."""

    restart_after_fault = True

    def __init__(self, service: Service, sock: socket.socket) -> None:
        super().__init__(service.loop)
        self.service, self.sock = service, sock

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=True)
            for _ in range(ACCEPTS):
                if not self.service.make_room():
                    yield from self._pause(TURN)
                    break
                try:
                    self.service.accept_client(self.sock.accept()[0])
                except BlockingIOError:
                    break
                except OSError as error:
                    self.loop.log.event("accept-failed", "accept: {error}", error=str(error))
                    yield from self._pause(PAUSE)
                    break

    def _pause(self, wait: float) -> Coroutine:
        """Guards against spinning: where accept fails or must wait, the listening socket stays readable."""
        yield from self.sleep_until(self.loop.clock() + wait)


class Signals(Actor):
    """Turns SIGTERM and SIGINT into the orderly end, SIGHUP into a new reading of the configuration."""

    def __init__(self, service: Service, sock: socket.socket) -> None:
        super().__init__(service.loop)
        self.service, self.sock = service, sock

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=True)
            numbers = self.sock.recv(READ_SIZE_BYTES)
            if set(numbers) & {signal.SIGTERM, signal.SIGINT}:
                break
            if signal.SIGHUP in numbers:  # several at once are one: the file is read as it is now
                self.service.reload()
        # Nothing is reread from here on; a SIGHUP that still comes has its handler and ends nothing.
        yield from self.service.drain()
        self.loop.stop()


class Service:
    """One balancer."""

    def __init__(
        self,
        config: Config,
        loop: Loop | None = None,
        reload_config: Callable[[], Config] = reload,
        contracts: Callable[[], Contracts] | None = None,
        fleet: Callable[[], FleetFile] | None = None,
    ) -> None:
        """``contracts`` and ``fleet`` read the operators' files, now and at each reload; they may raise
        ValueError with the faults, and ``fleet`` OSError where its address cannot be listened on.
        """
        self.config, self.reload_config = config, reload_config
        self.loop = loop or Loop(Log())
        self.log = self.loop.log
        self.random = random.Random(config.seed)
        self.fronts: set[Front] = set()
        self.idle: dict[Front, None] = {}  # without a request to answer, the longest-waiting first
        self.limit = config.sockets - OWN_SOCKETS
        self.draining = False
        self.offset_ms = 1000.0 * (time.time() - self.loop.clock())
        self.pool_deciders = PoolDeciders(
            self.make_decider, self.settings_for, lambda: self.pool.config.labels
        )
        settings = config.settings
        self.pool = Pool(
            self.loop,
            config.discovery,
            self.pool_deciders.apply_update,
            self.random.random,
            None if settings.must_subscribe else settings.drain_grace / 1000.0,
        )
        self.delay_monitor = Gauge(self.loop, self.pool_deciders.forward, config.message_aim_ms)
        self.read_fleet = fleet
        self.fleet = self.make_fleet(fleet()) if fleet is not None else None
        self.read_contracts = contracts
        self.contract_stage = self.make_contract_stage(contracts()) if contracts is not None else None
        stages = [
            OpeningStage(config.deadlines, config.tenants),
            CapacityStage(self.full, self.retry_after_ms),
            self.contract_stage,
            DeciderStage(self.choose_decider),
        ]
        self.request_path = RequestPath([stage for stage in stages if stage is not None])

    def settings_for(self, tenants: frozenset[str]) -> Settings:
        """The settings with no tenants but these."""
        settings = self.config.settings
        return replace(settings, tenants=tuple(one for one in settings.tenants if one.name in tenants))

    def make_decider(self, pool: str, tenants: frozenset[str] | None) -> Decider:
        """One instance of the module, told of no tenants but those of its pool."""
        settings, seed = self.config.settings, self.config.seed
        if tenants is not None:
            settings = self.settings_for(tenants)
            seed ^= crc32(pool.encode())
        decider = Decider(
            self.loop, settings, seed, self.now_ms, lambda: self.pool.post(WatchPool()), self.probe
        )
        if self.fleet is not None:
            decider.observer = self.fleet.record_step
        return decider

    # -- what the fleet link needs (net/host.py) -----------------------------------------------------------

    @property
    def pool_config(self) -> PoolConfig:
        return self.pool.config

    def last_answer_times(self) -> Iterator[tuple[int, float]]:
        return (
            (destination, timing.last_reply) for destination, timing in self.delay_monitor.timings.items()
        )

    def connection_counts(self) -> Iterator[dict[int, int]]:
        return (decider.connection_counts() for decider in self.pool_deciders.by_pool.values())

    def report_silent(self, message: DestinationSilent) -> None:
        self.pool_deciders.forward(message)

    def apply_pool_news(self, news: PoolUpdate) -> None:
        self.pool_deciders.apply_update(news)

    # -- the parts ---------------------------------------------------------------------------------------

    def make_fleet(self, file: FleetFile) -> FleetLink:
        from snowwick.net.fleet import FleetLink, call_both  # only where there is a fleet

        link = FleetLink(self, file, self.config.name, random.Random(f"{self.config.seed}{time.time_ns()}"))
        self.delay_monitor.report = call_both(self.delay_monitor.report, link.record_silent)
        return link

    def probe(self, destination: int, decider: Decider) -> None:
        """Time a PING to a destination, where the pool config has it and a descriptor is to spare."""
        address = self.destination_address(destination)
        if address is not None and not self.short_of_sockets():
            with contextlib.suppress(OSError):  # no descriptor after all: one probe fewer
                Probe(
                    self.loop, destination, address, self.connect_timeout_s, decider, self.config.load_field
                ).start()

    def make_contract_stage(self, contracts: Contracts) -> ContractStage:
        from snowwick.net.contracts import ContractStage  # msgspec comes with it: only where it is wanted

        settings = self.config.settings
        return ContractStage(
            self.loop,
            contracts,
            self.pool_deciders,
            settings.balancers,
            settings.index,
            self.config.seed,
            settings.max_retry_after,
            self.retry_after_ms,
        )

    def choose_decider(self, ask: Request) -> Decider:
        """For an ask that no contract has given a pool."""
        return (
            self.pool_deciders.for_destination(self.destination_number(ask.resumed_destination))
            if ask.resumed_destination
            else self.decider
        )

    @property
    def decider(self) -> Decider:
        """The one decider, or the first of several."""
        return next(iter(self.pool_deciders.by_pool.values()))

    @property
    def groups_enabled(self) -> bool:
        return self.config.groups

    @property
    def connect_timeout_s(self) -> float:
        return self.config.settings.connect_timeout / 1000.0

    def destination_number(self, name: str) -> int:
        return self.pool.number(name)

    def destination_address(self, destination: int) -> tuple[str, int] | None:
        return self.pool.address(destination)

    def now_ms(self) -> float:
        """Unix time in ms that never steps back: discovery's start times are on the same clock."""
        return self.offset_ms + 1000.0 * self.loop.clock()

    def start(self) -> None:
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(self.config.listen)
        self.listener.listen(BACKLOG)
        self.pool_deciders.start()
        for actor in (self.pool, self.delay_monitor):
            actor.start()
        if self.contract_stage is not None:
            self.contract_stage.reclaimer.start()
        if self.fleet is not None:
            self.fleet.start()
        try:
            self.pool_deciders.apply_update(self.pool.config.apply(self.config.known, ListKind.RESTORED))
        except CallFailed as error:
            self.log.event("bad-list", "known: {error}", error=str(error))
        Acceptor(self, self.listener).start()

    def serve(self, caught: SignalSockets) -> None:
        """Run until a signal ends it, also one that came while the program was starting."""
        Signals(self, caught.read_end).start()
        self.start()
        host, port = self.listener.getsockname()
        self.log.event(
            "serving", "{name}: serving on {address}", name=self.config.name, address=f"{host}:{port}"
        )
        try:
            self.loop.run()
        finally:
            self.loop.close()
            self.log.close()

    def reload(self) -> None:
        """Read the configuration and the contracts again, and take both or neither.

        Of the configuration only the address of discovery changes live; contracts change whole.
        """
        try:
            new = self.reload_config()
            contracts = self.read_contracts() if self.read_contracts is not None else None
            fleet = self.read_fleet() if self.read_fleet is not None else None
        except (BadConfig, ValueError) as error:
            self.log.event("reload-refused", "reload: {error}; the old configuration stays", error=str(error))
            return
        waiting = [
            one.name
            for one in fields(Config)
            if one.name not in RELOADABLE_FIELDS and getattr(new, one.name) != getattr(self.config, one.name)
        ]
        if waiting:
            self.log.event(
                "reload-waits", "reload: {keys} changed, but only at the next start", keys=", ".join(waiting)
            )
        self.log.event(
            "reload", "reload: discovery at {discovery}", discovery=f"{new.discovery[0]}:{new.discovery[1]}"
        )
        if new.discovery != self.config.discovery:
            self.config = replace(self.config, discovery=new.discovery)
            self.pool.post(DiscoveryAddressChanged(new.discovery))
        if contracts is not None and self.contract_stage is not None:
            self.contract_stage.apply(contracts)
            self.log.event("contracts", "reload: contracts of {teams} teams", teams=len(contracts.teams))
        if fleet is not None and self.fleet is not None:
            self.fleet.apply_file(fleet)

    def drain(self) -> Coroutine:
        """Answer whoever still comes, have every client move, leave once nothing is owed to anybody.

        Guards against sending clients away while new connections are still dealt out to this balancer: they
        came straight back, were given busy replies and lost a second.  And against an end with something
        owed: a connection that the system has accepted, a request without its answer, who is not moved yet.
        Where the longest deadline is so short that the moves do not fit in, they are faster.
        """
        began = self.loop.clock()
        longest = max([one.deadline for one in self.config.settings.classes]) / 1000.0
        last = began + min(longest, LONGEST) + AFTER
        moving = min(MOVING, last - LAST - began - STILL_COMING)
        self.draining = True
        if self.fleet is not None:
            self.fleet.leave()
        self.log.event(
            "ending",
            "{name}: ending, {connections} connections",
            name=self.config.name,
            connections=len(self.fronts),
        )
        while self.loop.clock() < last:
            passed = self.loop.clock() - began - STILL_COMING
            if passed > 0.0:
                standing = [front for front in self.fronts if front.established and not front.closing]
                turns = max(1.0, (moving - passed) / PAUSE)
                for front in self.random.sample(standing, math.ceil(len(standing) / turns)):
                    front.post(MoveAway("draining"))
            if self.loop.clock() >= last - LAST:
                for front in self.fronts:
                    front.post(ShuttingDown())
            if passed > SURE and not self.fronts and not self.accept_pending():
                break
            yield Wait(until=min(last, self.loop.clock() + PAUSE))

    def accept_pending(self) -> bool:
        """Take what the system has accepted and this program has not yet; was there any?"""
        before = len(self.fronts)
        with contextlib.suppress(OSError):
            while True:
                self.accept_client(self.listener.accept()[0])
        return len(self.fronts) > before

    def accept_client(self, sock: socket.socket) -> None:
        front = Front(self, sock)
        self.fronts.add(front)
        self.idle[front] = None
        front.start()

    def on_request(self, front: Front) -> None:
        self.idle.pop(front, None)

    def on_answered(self, front: Front) -> None:
        """Last in the row of those who are ended where room is wanted: its answer is on its way."""
        self.idle.pop(front, None)
        self.idle[front] = None

    def on_front_closed(self, front: Front) -> None:
        self.fronts.discard(front)
        self.idle.pop(front, None)
        ask = front.request
        self.log.event(
            "connection-ended",
            "{id} {reason} {seconds:.3f}s to={destination}"
            + " team={team}" * bool(ask and ask.team)
            + " {detail}",
            id=ask.opening.id if ask else "-",
            reason=front.reason,
            destination=front.destination_number,
            seconds=round(self.loop.clock() - front.started_at, 3),
            team=ask.team if ask else "",
            detail=front.detail,
        )

    def full(self) -> str:
        """The reason code if nothing more may be begun."""
        return "draining" if self.draining else "no-sockets" if self.short_of_sockets() else ""

    def short_of_sockets(self) -> bool:
        """Is there no room for a route step?"""
        return self.loop.open_sockets >= self.limit - ANSWERING

    def make_room(self) -> bool:
        """May one more be accepted?  Else the fronts that wait longest without a request have to go.

        Guards against floods of clients that connect and say nothing: usual clients, who ask at once, must
        find both a front socket and one for the route step.
        """
        free = self.limit - (self.loop.open_sockets - len(self.idle))
        if len(self.idle) < max(ANSWERING, WAITING_PART * free) and self.loop.open_sockets < self.limit:
            return True
        for front in islice(self.idle, ACCEPTS):
            if self.loop.clock() - front.accepted_at >= MIN_IDLE_S:
                front.post(EvictIdle())
        return False

    def retry_after_ms(self) -> float:
        """When a client that gets a busy reply without a decision should return: spread, not in step."""
        return self.config.settings.max_retry_after * (0.5 + 0.5 * self.random.random())
