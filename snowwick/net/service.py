"""The balancer service: starts its actors, accepts connections, reloads its configuration and shuts down.

A front is the client's side of a connection. A decider runs the decision module for one pool of destinations:
it chooses the destination of each request. Without a contracts file there is one pool with all destinations.

The shutdown has three phases. During the arrival period new connections are still routed here and get busy
replies. Then clients with an established connection are moved, in random order. In the last
``FINAL_ANSWER_S`` each front has to finish: pending requests are answered, clients that are not moved yet are
moved at once, and idle ones are closed. Clients whose opening line is incomplete are answered just before the
end, as they may complete it until then.
"""

from __future__ import annotations

import contextlib
import math
import random
import signal
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import fields, replace
from typing import TYPE_CHECKING
from zlib import crc32

from crowgap.interface import ListKind, Settings
from snowwick.config import RELOADABLE_FIELDS, BadConfig, Config, reload
from snowwick.log import Log
from snowwick.net.decider import Decider, DestinationSilent, MoveAway, PoolUpdate
from snowwick.net.delay_monitor import Gauge
from snowwick.net.front import MIN_IDLE_S, EvictIdle, Front, ShutdownEnding
from snowwick.net.loop import Actor, Coroutine, Loop, Wait
from snowwick.net.path import CapacityStage, DeciderStage, OpeningStage, Request, RequestPath
from snowwick.net.peer import READ_SIZE_BYTES
from snowwick.net.pool import DiscoveryAddressChanged, Pool, WatchPool
from snowwick.net.pool_config import CallFailed, PoolConfig
from snowwick.net.pool_deciders import PoolDeciders
from snowwick.net.probe import Probe
from snowwick.net.signals import SignalSockets

if TYPE_CHECKING:
    from snowwick.broker.contract import Contracts
    from snowwick.fleet.file import FleetFile
    from snowwick.net.contracts import ContractStage
    from snowwick.net.fleet import FleetLink

LISTEN_BACKLOG = 1024  # connections that may wait to be accepted
# File descriptors reserved for the process itself: standard streams, epoll, signals, listening, discovery
OWN_DESCRIPTORS = 12
# Sockets reserved for fronts: when no socket is left for a route step, clients still get a busy reply. Also
# the number of idle clients that may always be connected while there are sockets.
ANSWER_SOCKETS = 8
# Connections accepted in one turn of the loop, so that the other actors get their turn in between. Also the
# number of idle clients that are evicted at once.
ACCEPTS_PER_TURN = 16
MAX_IDLE_FRACTION = 0.5  # idle clients may hold at most this part of the sockets not in use by requests
ACCEPT_PAUSE_S = 0.05  # pause after a failed accept; also the time step of the shutdown
EVICTION_PAUSE_S = 0.005  # pause in accepting, in which evicted idle clients close
# After SIGTERM new connections still arrive for this time; a client moved earlier would reconnect here.
ARRIVAL_PERIOD_S = 0.4
MOVE_PERIOD_S = 0.6  # clients are moved over this time, so that they do not reconnect all at once
MAX_DRAIN_DEADLINE_S = 3.0  # the shutdown waits for the longest request deadline, but at most this long
SHUTDOWN_GRACE_S = 0.4  # the shutdown may take this long beyond that deadline
FINAL_ANSWER_S = 0.25  # length of the last phase of the shutdown
# Within this time before the end, clients whose opening line is still incomplete are answered
INCOMPLETE_LINE_ANSWER_S = 0.1
# Time after the last answers in which the fronts write them
LAST_WRITE_S = 0.005
# Each time limit of the wire protocol may be off by this much, so a connection may still arrive this long
# after the arrival period
PROTOCOL_TOLERANCE_S = 0.05


class Acceptor(Actor):
    """Accepts connections on the listening socket."""

    restart_after_fault = True

    def __init__(self, service: Service, sock: socket.socket) -> None:
        super().__init__(service.loop)
        self.service, self.sock = service, sock

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=True)
            for _ in range(ACCEPTS_PER_TURN):
                if not self.service.make_room():
                    yield from self._pause(EVICTION_PAUSE_S)
                    break
                try:
                    self.service.accept_client(self.sock.accept()[0])
                except BlockingIOError:
                    break
                except OSError as error:
                    self.loop.log.event("accept-failed", "accept: {error}", error=str(error))
                    yield from self._pause(ACCEPT_PAUSE_S)
                    break

    def _pause(self, seconds: float) -> Coroutine:
        """Avoid a busy loop: while accept fails or has to wait, the listening socket stays readable."""
        yield from self.sleep_until(self.loop.clock() + seconds)


class Signals(Actor):
    """Shuts the service down on SIGTERM and SIGINT, reloads the configuration on SIGHUP.

    The bytes read from the socket are signal numbers (net/signals.py).
    """

    def __init__(self, service: Service, sock: socket.socket) -> None:
        super().__init__(service.loop)
        self.service, self.sock = service, sock

    def run(self) -> Coroutine:
        while True:
            yield Wait(self.sock, read=True)
            numbers = self.sock.recv(READ_SIZE_BYTES)
            if set(numbers) & {signal.SIGTERM, signal.SIGINT}:
                break
            if signal.SIGHUP in numbers:  # several at once need only one reload
                self.service.reload()
        # No reload from here on. A later SIGHUP still has a handler and so does not end the process.
        yield from self.service.drain()
        self.loop.stop()


class Service:
    """One balancer."""

    def __init__(
        self,
        config: Config,
        loop: Loop | None = None,
        reload_config: Callable[[], Config] = reload,
        read_contracts: Callable[[], Contracts] | None = None,
        read_fleet: Callable[[], FleetFile] | None = None,
    ) -> None:
        """Create the service without starting it.

        Contracts limit the connections and setups of each team, and assign its requests to a pool. The fleet
        file describes the link to the other balancers.

        ``read_contracts`` and ``read_fleet`` read the operators' files, now and at each reload. They may
        raise ValueError with the faults. Raises OSError if the fleet link's address cannot be bound.
        """
        self.config, self.reload_config = config, reload_config
        self.loop = loop or Loop(Log())
        self.log = self.loop.log
        self.random = random.Random(config.seed)
        self.fronts: set[Front] = set()  # all client connections
        self.idle: dict[Front, None] = {}  # clients without a pending request, the longest idle first
        # Sockets of connections, of clients and to destinations, that may be open at the same time
        self.socket_limit = config.sockets - OWN_DESCRIPTORS
        self.draining = False
        # Unix time minus the loop's clock
        self.unix_offset_ms = 1000.0 * (time.time() - self.loop.clock())
        # The deciders by pool; the labels of the destinations decide to which pool each of them belongs
        self.pool_deciders = PoolDeciders(
            self.make_decider, self.settings_for, lambda: self.pool.config.labels
        )
        settings = config.settings
        # Watches discovery and holds its list of all destinations. The last argument is None unless lists are
        # pushed to an agent (see Pool): then it says how long destinations that leave may still be used.
        self.pool = Pool(
            self.loop,
            config.discovery,
            self.pool_deciders.apply_update,
            self.random.random,
            None if settings.must_subscribe else settings.drain_grace / 1000.0,
        )
        # Measures the delay of the lines of each destination and reports slow and silent destinations
        self.delay_monitor = Gauge(self.loop, self.pool_deciders.forward, config.message_aim_ms)
        self.read_fleet = read_fleet
        self.fleet = self.make_fleet(read_fleet()) if read_fleet is not None else None
        self.read_contracts = read_contracts
        self.contract_stage = (
            self.make_contract_stage(read_contracts()) if read_contracts is not None else None
        )
        stages = [
            OpeningStage(config.deadlines, config.tenants, config.safe_classes),
            CapacityStage(self.refusal_reason, self.retry_after_ms),
            self.contract_stage,
            DeciderStage(self.choose_decider),
        ]
        self.request_path = RequestPath([stage for stage in stages if stage is not None])

    def settings_for(self, tenants: frozenset[str]) -> Settings:
        """Return the settings with only these tenants."""
        settings = self.config.settings
        return replace(
            settings, tenants=tuple(tenant for tenant in settings.tenants if tenant.name in tenants)
        )

    def make_decider(self, pool_name: str, tenants: frozenset[str] | None) -> Decider:
        """Create the decider of a pool, with only the tenants of that pool; with all tenants if None.

        The decider subscribes to discovery's list by ``WatchPool``. The fleet link, if there is one, observes
        the outcome of its route steps.
        """
        settings, seed = self.config.settings, self.config.seed
        if tenants is not None:
            settings = self.settings_for(tenants)
            seed ^= crc32(pool_name.encode())
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

    def last_reply_times(self) -> Iterator[tuple[int, float]]:
        """Yield each destination with connections and the time of its last reply.

        This is the last line that came back on any connection, or the last connection established. Times are
        in seconds on the loop's clock.
        """
        return (
            (destination, timing.last_reply_at) for destination, timing in self.delay_monitor.timings.items()
        )

    def connection_counts(self) -> Iterator[dict[int, int]]:
        """Yield the number of connections by destination, one mapping for each pool."""
        return (decider.connection_counts() for decider in self.pool_deciders.by_pool.values())

    def apply_silence_report(self, message: DestinationSilent) -> None:
        """Pass on to the deciders that other balancers found a destination silent."""
        self.pool_deciders.forward(message)

    def apply_pool_update(self, update: PoolUpdate) -> None:
        """Pass on to the deciders a change of the list that the fleet link derived from other balancers."""
        self.pool_deciders.apply_update(update)

    # -- creation of the parts -----------------------------------------------------------------------

    def make_fleet(self, file: FleetFile) -> FleetLink:
        """Create the fleet link, which from then on also receives the delay monitor's reports."""
        from snowwick.net.fleet import FleetLink, call_both  # loaded only if there is a fleet

        # The time is part of the seed, since the link's boot number has to differ between starts.
        link = FleetLink(self, file, self.config.name, random.Random(f"{self.config.seed}{time.time_ns()}"))
        self.delay_monitor.report = call_both(self.delay_monitor.report, link.record_silent)
        return link

    def probe(self, destination: int, decider: Decider) -> None:
        """Probe a destination if the pool config contains it and a file descriptor is available."""
        address = self.destination_address(destination)
        if address is not None and not self.short_of_sockets():
            with contextlib.suppress(OSError):  # no file descriptor after all: skip the probe
                Probe(
                    self.loop, destination, address, self.connect_timeout_s, decider, self.config.load_field
                ).start()

    def make_contract_stage(self, contracts: Contracts) -> ContractStage:
        from snowwick.net.contracts import ContractStage  # loads msgspec, only if needed

        # Each balancer enforces its part of the limits, by the number of balancers and its own index.
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

    def choose_decider(self, request: Request) -> Decider:
        """Return the decider of a request that the contract stage has not assigned to a pool.

        With contracts these are only resumed connections of tenants without a contract: they stay with the
        decider of the destination that they name.
        """
        return (
            self.pool_deciders.for_destination(self.destination_number(request.resumed_destination))
            if request.resumed_destination
            else self.decider
        )

    @property
    def decider(self) -> Decider:
        """The decider of a process without contracts; with contracts, that of the first pool.

        With contracts no request is given to it, since new requests are assigned to a pool or rejected.
        """
        return next(iter(self.pool_deciders.by_pool.values()))

    @property
    def groups_enabled(self) -> bool:
        """Whether requests with the same group key (value ``g`` of opening lines) are placed together."""
        return self.config.groups

    @property
    def connect_timeout_s(self) -> float:
        return self.config.settings.connect_timeout / 1000.0

    def destination_number(self, name: str) -> int:
        return self.pool.destination_number(name)

    def destination_address(self, destination: int) -> tuple[str, int] | None:
        return self.pool.destination_address(destination)

    def now_ms(self) -> float:
        """Unix time in ms, monotonic. The start times in discovery's list use the same clock."""
        return self.unix_offset_ms + 1000.0 * self.loop.clock()

    def start(self) -> None:
        """Listen and start the actors, with the list of the configuration until discovery answers.

        ``Config.known`` holds the destinations as they were stored before this start.
        """
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(self.config.listen)
        self.listener.listen(LISTEN_BACKLOG)
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

    def serve(self, signal_sockets: SignalSockets) -> None:
        """Run until a signal ends the service, including one that arrived during the start."""
        Signals(self, signal_sockets.read_end).start()
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
        """Read the configuration, the contracts and the fleet file again, and apply all of them or none.

        Of the configuration, only discovery's address is applied without a restart. ``RELOADABLE_FIELDS``
        also has ``known``, which matters only at a start, so that a change of it needs no warning.
        """
        try:
            new_config = self.reload_config()
            contracts = self.read_contracts() if self.read_contracts is not None else None
            fleet = self.read_fleet() if self.read_fleet is not None else None
        except (BadConfig, ValueError) as error:
            self.log.event("reload-refused", "reload: {error}; the old configuration stays", error=str(error))
            return
        needing_restart = [
            field.name
            for field in fields(Config)
            if field.name not in RELOADABLE_FIELDS
            and getattr(new_config, field.name) != getattr(self.config, field.name)
        ]
        if needing_restart:
            self.log.event(
                "reload-waits",
                "reload: {keys} changed, but only at the next start",
                keys=", ".join(needing_restart),
            )
        self.log.event(
            "reload",
            "reload: discovery at {discovery}",
            discovery=f"{new_config.discovery[0]}:{new_config.discovery[1]}",
        )
        if new_config.discovery != self.config.discovery:
            self.config = replace(self.config, discovery=new_config.discovery)
            self.pool.post(DiscoveryAddressChanged(new_config.discovery))
        if contracts is not None and self.contract_stage is not None:
            self.contract_stage.apply(contracts)
            self.log.event("contracts", "reload: contracts of {teams} teams", teams=len(contracts.teams))
        if fleet is not None and self.fleet is not None:
            self.fleet.apply_file(fleet)

    def drain(self) -> Coroutine:
        """Answer requests that still arrive, move every client away and return when nothing is pending.

        The module text describes the phases. No client is moved during the arrival period, since it would
        reconnect to this balancer, get a busy reply and lose about a second. The drain ends at ``end_at`` at
        the latest, and earlier once the arrival period is over and neither a connection in the listen queue
        nor a front remains. If the longest deadline is too short for the usual periods, clients are moved
        faster.
        """
        started_at = self.loop.clock()
        longest_deadline_s = (
            max([request_class.deadline for request_class in self.config.settings.classes]) / 1000.0
        )
        end_at = started_at + min(longest_deadline_s, MAX_DRAIN_DEADLINE_S) + SHUTDOWN_GRACE_S
        move_period_s = min(MOVE_PERIOD_S, end_at - FINAL_ANSWER_S - started_at - ARRIVAL_PERIOD_S)
        self.draining = True
        if self.fleet is not None:
            self.fleet.leave()
        self.log.event(
            "ending",
            "{name}: ending, {connections} connections",
            name=self.config.name,
            connections=len(self.fronts),
        )
        while self.loop.clock() < end_at:
            move_elapsed_s = self.loop.clock() - started_at - ARRIVAL_PERIOD_S
            if move_elapsed_s > 0.0:
                remaining = [front for front in self.fronts if front.established and not front.closing]
                turns = max(1.0, (move_period_s - move_elapsed_s) / ACCEPT_PAUSE_S)
                for front in self.random.sample(remaining, math.ceil(len(remaining) / turns)):
                    front.post(MoveAway("draining"))
            if self.loop.clock() >= end_at - FINAL_ANSWER_S:
                self._end_fronts(last=self.loop.clock() >= end_at - INCOMPLETE_LINE_ANSWER_S)
            if move_elapsed_s > PROTOCOL_TOLERANCE_S and not self.fronts and not self.accept_pending():
                return
            yield Wait(until=min(end_at, self.loop.clock() + ACCEPT_PAUSE_S))
        # A stall of the process may have left out the last steps.
        self._end_fronts(last=True)
        yield Wait(until=self.loop.clock() + LAST_WRITE_S)

    def _end_fronts(self, last: bool) -> None:
        """Tell all fronts that the shutdown ends; a front that is closing ignores it."""
        for front in self.fronts:
            front.post(ShutdownEnding(last))

    def accept_pending(self) -> bool:
        """Accept the connections that are waiting in the listen queue; return whether there were any."""
        before = len(self.fronts)
        with contextlib.suppress(OSError):
            while True:
                self.accept_client(self.listener.accept()[0])
        return len(self.fronts) > before

    def accept_client(self, sock: socket.socket) -> None:
        """Create the front of an accepted connection; it counts as idle until its request."""
        front = Front(self, sock)
        self.fronts.add(front)
        self.idle[front] = None
        front.start()

    def on_request(self, front: Front) -> None:
        """Exempt the client from eviction."""
        self.idle.pop(front, None)

    def on_answered(self, front: Front) -> None:
        """Put the client last in the order of eviction, since its answer is still being sent."""
        self.idle.pop(front, None)
        self.idle[front] = None

    def on_front_closed(self, front: Front) -> None:
        """Forget the front and log why its connection ended, and after how long."""
        self.fronts.discard(front)
        self.idle.pop(front, None)
        request = front.request
        self.log.event(
            "connection-ended",
            "{id} {reason} {seconds:.3f}s to={destination}"
            + " team={team}" * bool(request and request.team)
            + " {detail}",
            id=request.opening.id if request else "-",
            reason=front.reason,
            destination=front.last_destination,
            seconds=round(self.loop.clock() - front.request_started_at, 3),
            team=request.team if request else "",
            detail=front.detail,
        )

    def refusal_reason(self) -> str:
        """Return the reason code if no new request may be accepted, else an empty string."""
        return "draining" if self.draining else "no-sockets" if self.short_of_sockets() else ""

    def short_of_sockets(self) -> bool:
        """Return whether no socket is available for a route step; ``ANSWER_SOCKETS`` are kept for fronts."""
        return self.loop.open_sockets >= self.socket_limit - ANSWER_SOCKETS

    def make_room(self) -> bool:
        """Return whether one more connection may be accepted; if not, evict the longest idle clients.

        This protects against floods of clients that connect and send nothing. Idle clients may hold at most
        half of the sockets that requests do not use, since each request, which normal clients send at once,
        needs a second socket for its route step. The sockets of the idle clients count as free here. Clients
        whose opening line has begun are evicted only where no other client can be.
        """
        free_sockets = self.socket_limit - (self.loop.open_sockets - len(self.idle))
        if (
            len(self.idle) < max(ANSWER_SOCKETS, MAX_IDLE_FRACTION * free_sockets)
            and self.loop.open_sockets < self.socket_limit
        ):
            return True
        accepted_before = self.loop.clock() - MIN_IDLE_S
        evictable = [front for front in self.idle if front.accepted_at <= accepted_before]
        silent = [front for front in evictable if not front.opening_begun]
        for front in (silent or evictable)[:ACCEPTS_PER_TURN]:
            front.post(EvictIdle())
        return False

    def retry_after_ms(self) -> float:
        """Return the retry delay of a busy reply sent without a decision, random to spread the retries."""
        return self.config.settings.max_retry_after * (0.5 + 0.5 * self.random.random())
