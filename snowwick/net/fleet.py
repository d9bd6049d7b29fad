"""The actor that carries a fleet node: its socket, its clock, what this balancer tells and what it heeds.

Loaded only where a fleet file is given.  Frames are datagrams, so that a slow or stopped member holds up
nobody: what the socket does not take at once is lost, and comparison brings it later."""

from __future__ import annotations

import contextlib
import random
import socket
import time
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from crowgap import interface as i
from snowwick.fleet import registers
from snowwick.fleet.file import FleetFile
from snowwick.fleet.members import STATE_NAMES, MemberChange
from snowwick.fleet.node import CaughtUp, DuplicateName, Node
from snowwick.fleet.registers import DiscoveryState, HealthTracker, RegisterView, Revision
from snowwick.fleet.rights import RENEW_S, Leases
from snowwick.net.decider import DestinationSilent, Outcome, PoolUpdate, RouteStepEnded, RouteStepEstablished
from snowwick.net.loop import Actor, Coroutine, Wait
from snowwick.net.pool import parse_address

if TYPE_CHECKING:
    from snowwick.broker.contract import Contracts
    from snowwick.net.contracts import ContractStage
    from snowwick.net.host import FleetHost

# Datagrams taken a turn; after as many the socket rests, so that a flood of frames that prove to be
DATAGRAMS_PER_TURN = 16
READ_PAUSE_S = 0.005  # nothing costs little: s of rest
MAX_READ_BYTES = 2048  # bytes read of a datagram; what is longer than a frame is dropped anyway
RECEIVE_BUFFER_BYTES = 1 << 20  # bytes of the socket's buffer: a snapshot's pieces come in bursts
SHARE_INTERVAL_S = 0.25  # s between looks at what there is to tell and to heed
DROP_LOG_INTERVAL_S = 10.0  # s between lines on what was dropped
FAILED_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED)


class FleetLink(Actor):
    """This balancer's place in the fleet."""

    restart_after_fault = True

    def __init__(self, host: FleetHost, file: FleetFile, name: str, rng: random.Random) -> None:
        super().__init__(host.loop)
        self.host, self.file, self.log = host, file, host.loop.log
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.bind(parse_address(file.links.listen))
        host, port = self.sock.getsockname()
        self.node = Node(
            name,
            file.links.address or f"{host}:{port}",
            file.keys,
            file.links.seeds,
            rng,
            self.wall_ms,
            file.links.period_ms / 1000.0,
        )
        self.node.extra_status = self.link_status
        self.register_view, self.health = (
            RegisterView(self.node.store, self.node.members),
            HealthTracker(name),
        )
        self.published_verdicts: dict[
            int, tuple[int, float]
        ] = {}  # own words on destinations, and when they were written
        self.leaving: frozenset[int] = frozenset()  # told by others to be leaving, and heeded
        self.next_share = self.next_drop_log = 0.0
        self.logged_drops = 0
        self.has_left = False  # left the fleet; this balancer serves alone
        self.differing_members: frozenset[str] = frozenset()
        self.leases: Leases | None = None
        self.contracts: Contracts | None = None  # whose revision is told
        self.revision, self.revision_parts = Revision(file.digest), 0
        self.next_rights = 0.0
        self.budget_usage: dict[str, float] = {}

    @staticmethod
    def wall_ms() -> float:
        return 1000.0 * time.time()

    # -- the loop ----------------------------------------------------------------------------------------

    def run(self) -> Coroutine:
        self.log.event(
            "fleet",
            "fleet: {name} at {address}, epoch {epoch}",
            name=self.node.name,
            address=self.node.members.local.address,
            epoch=self.node.members.local.incarnation,
        )
        rest = 0.0
        try:
            while not self.has_left:
                now = self.loop.clock()
                self.node.tick(now)
                if now >= self.next_share:
                    self.next_share = now + SHARE_INTERVAL_S
                    self.share_state(now)
                self.send_datagrams()
                self.handle_events()
                until = max(now, min(self.node.next_due(), self.next_share))
                resting = now < rest
                yield Wait(self.sock, read=not resting, until=min(until, rest) if resting else until)
                self.mailbox.clear()
                if self.loop.clock() >= rest and self.read_datagrams():
                    rest = self.loop.clock() + READ_PAUSE_S
        finally:
            self.loop.unregister(self)
            if self.has_left:  # after a fault it begins again, on the same socket
                self.sock.close()

    def read_datagrams(self) -> bool:
        """Take what has come; True where there may be more."""
        now = self.loop.clock()
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                datagram, source = self.sock.recvfrom(MAX_READ_BYTES)
            except OSError:  # nothing there, or word of a datagram that found nobody
                return False
            self.node.receive(datagram, now, f"{source[0]}:{source[1]}")
        return True

    def send_datagrams(self) -> None:
        routes = self.file.links.routes
        for address, datagram in self.node.take_datagrams():
            # Lost is what the socket does not take; an address that a member made up must end nothing.
            with contextlib.suppress(OSError, ValueError):
                host, port = parse_address(routes.get(address, address))
                socket.inet_aton(host)  # a name would be looked up, and the loop would wait for it
                self.sock.sendto(datagram, (host, port))

    def handle_events(self) -> None:
        for news in self.node.take_events():
            if isinstance(news, MemberChange):
                one = news.member
                self.log.event(
                    "fleet-member",
                    "fleet: {member} is {state} (incarnation {incarnation})",
                    member=one.name,
                    state=STATE_NAMES[one.state],
                    incarnation=one.incarnation,
                )
            elif isinstance(news, CaughtUp):
                self.log.event(
                    "fleet-caught-up", "fleet: caught up after {seconds} s", seconds=round(news.after_s, 2)
                )
            elif isinstance(news, DuplicateName):
                self.log.event(
                    "fleet-twin",
                    "fleet: {name} is at {address} already and started before; "
                    "leaving the fleet, serving alone",
                    name=self.node.name,
                    address=news.address,
                )
                self.leave_without_notice()
        dropped = sum(self.node.counts.dropped.values())
        if dropped > self.logged_drops and self.loop.clock() >= self.next_drop_log:
            self.next_drop_log = self.loop.clock() + DROP_LOG_INTERVAL_S
            reasons = [f"{reason} {count}" for reason, count in sorted(self.node.counts.dropped.items())]
            self.log.event(
                "fleet-dropped",
                "fleet: {count} frames dropped: {reasons}",
                count=dropped - self.logged_drops,
                reasons=", ".join(reasons),
            )
            self.logged_drops = dropped

    def leave(self) -> None:
        """The balancer ends: the others need not find out."""
        if not self.has_left:
            self.node.leave(self.loop.clock())
            self.send_datagrams()

    def leave_without_notice(self) -> None:
        """Alone from here on: nothing more is heard, told or heeded."""
        self.has_left = True
        self.node.store.owners = {self.node.name: self.node.store.owners[self.node.name]}
        self.node.members.records.clear()

    def apply_file(self, file: FleetFile) -> None:
        """Another file: keys and what is shared change at once, the links at the next start."""
        if file.links != self.file.links:
            self.log.event(
                "reload-waits", "reload: {keys} changed, but only at the next start", keys="fleet links"
            )
        self.file, self.node.keys = file, list(file.keys)

    # -- what is told ------------------------------------------------------------------------------------

    def share_state(self, now: float) -> None:
        share, pool = self.file.share, self.host.pool_config
        if share.health:
            self._share_health(now, len(pool.addresses))
        if share.list:
            self._share_list(now)
        if share.load:
            self._share_load(now)
        self._share_revision(now)
        if share.rights and self.host.contract_stage is not None:
            self._share_rights(now, self.host.contract_stage)

    def _write_register(self, kind: int, key: str, value: object, now: float, left: float = 0.0) -> None:
        data = None if value is None else registers.pack(value)
        with contextlib.suppress(ValueError):  # a value that no frame holds is not told
            self.node.write(kind, key, data, now, left)

    def _share_health(self, now: float, known: int) -> None:
        health = self.health
        for destination, heard in self.host.last_answer_times():
            watched = health.destinations.setdefault(destination, registers.DestinationHealth())
            watched.last_served = max(watched.last_served, heard)
        health.forget(self.host.pool_config.addresses.__contains__)
        verdicts = self.register_view.verdicts(known, now)
        words = health.verdicts_to_publish(verdicts, now)
        for destination, word in words.items():
            at = health.own_verdicts[destination][1] if destination in health.own_verdicts else now
            old = self.published_verdicts.get(destination)
            # Said anew where it is another word, or seen anew; a word that stands is not repeated each look.
            if old is None or old[0] != word or at - old[1] >= 0.5 * registers.VERDICT_LIFETIME_S:
                self.published_verdicts[destination] = word, at
                self._write_register(
                    registers.HEALTH, str(destination), word, now, registers.VERDICT_LIFETIME_S
                )
        for destination in [one for one in self.published_verdicts if one not in words]:
            del self.published_verdicts[destination]
            self._write_register(registers.HEALTH, str(destination), None, now)
        for destination in health.update_avoided(verdicts, now):
            self.host.report_silent(DestinationSilent(destination))

    def _share_list(self, now: float) -> None:
        pool, source = self.host.pool_config, self.file.share.discovery
        leaving = [one for one, entry in pool.entries.items() if entry.state is not i.State.READY]
        self._write_register(
            registers.LIST, "", DiscoveryState(source, pool.version, leaving[-registers.MAX_LEAVING :]), now
        )
        told = self.register_view.leaving(source, pool.version, now)
        # Only what this balancer's own list has named is of interest, and nothing is sent on others' word.
        heed = {one for one in told if one in pool.entries and pool.entries[one].state is i.State.READY}
        fresh = heed - self.leaving
        if fresh:
            self.log.event(
                "fleet-leaving",
                "fleet: {count} destinations leave by a newer list than ours, {version}",
                count=len(fresh),
                version=pool.version,
            )
            self.host.apply_pool_news(
                PoolUpdate(i.ListKind.CHANGES, [_as_draining(pool.entries[one]) for one in sorted(fresh)])
            )
        back = [
            one
            for one in sorted(self.leaving - heed)
            if one in pool.entries and pool.entries[one].state is i.State.READY
        ]
        if back:  # the newer list was taken back, as after a restore
            self.host.apply_pool_news(PoolUpdate(i.ListKind.CHANGES, [pool.entries[one] for one in back]))
        self.leaving = frozenset(heed)

    def _share_load(self, now: float) -> None:
        chunks: dict[int, dict[int, int]] = defaultdict(dict)
        for pool in self.host.connection_counts():
            for destination, held in pool.items():
                counts = chunks[registers.load_chunk(destination)]
                counts[destination] = counts.get(destination, 0) + held
        for chunk in range(registers.LOAD_CHUNKS):
            self._write_register(registers.LOAD, str(chunk), chunks.get(chunk), now)

    def _share_rights(self, now: float, stage: ContractStage) -> None:
        """Move the contracts' budgets to where they are asked for; without a fleet each keeps its part."""
        if self.leases is None:
            self.leases = Leases(self.node.name, stage.budgets(), now)
        leases, epoch = self.leases, self.node.store.owners[self.node.name].epoch
        leases.update_shares(stage.budgets(), now)
        if now >= self.next_rights:
            self.budget_usage, wanted = stage.measure_demand(
                max(SHARE_INTERVAL_S, now - self.next_rights + RENEW_S)
            )
            self.next_rights = now + RENEW_S
            for key, amount in wanted.items():
                leases.budgets[key].record_demand(amount, now)
        boots = {
            one.name: self.node.store.owners[one.name].epoch
            for one in self.node.members.alive()
            if one.name in self.node.store.owners
        }
        asks, grants = self.register_view.requests_and_grants(now)
        for lender, start, key, grant in grants:
            if key in leases.budgets:
                leases.budgets[key].receive_grant(lender, start, grant, epoch, now)
        for key, ask in leases.requests_due(self.budget_usage, boots, now).items():
            self._write_register(registers.RIGHTS, f"ask:{key}", ask, now)
        for key, one in leases.budgets.items():
            told = asks.get(key, {})
            one.confirm_start(
                {name: ask.holdings for name, (_, ask) in told.items()}, epoch, stage.balancers - 1
            )
            for to, grant in one.grant_requests(told, self.budget_usage.get(key, 0.0), now).items():
                self._write_register(registers.RIGHTS, f"grant:{to}:{key}", grant, now)
        stage.set_rights(leases.targets(now))

    def _share_revision(self, now: float) -> None:
        stage = self.host.contract_stage
        if stage is not None and stage.contracts is not self.contracts:
            from snowwick.broker.contract import contracts_digest, fleet_limits

            self.contracts = stage.contracts
            self.revision = Revision(
                self.file.digest, contracts_digest(stage.contracts), fleet_limits(stage.contracts)
            )
        mine = self.revision = Revision(
            self.file.digest, self.revision.contracts_digest, self.revision.limits
        )
        rows = sorted(mine.limits.items())
        parts = [
            dict(rows[at : at + registers.LIMITS_PER_REGISTER])
            for at in range(0, len(rows), registers.LIMITS_PER_REGISTER)
        ] or [{}]
        for n in range(max(len(parts), self.revision_parts)):
            self._write_register(
                registers.REVISION,
                f"{n:04}",
                Revision(mine.fleet_digest, mine.contracts_digest, parts[n]) if n < len(parts) else None,
                now,
            )
        self.revision_parts = len(parts)
        others = self.register_view.revisions(now)
        differ = frozenset(
            name
            for name, one in others.items()
            if (one.fleet_digest, one.contracts_digest) != (mine.fleet_digest, mine.contracts_digest)
        )
        if differ - self.differing_members:
            self.log.event(
                "fleet-revisions",
                "fleet: {names} go by another fleet file or other contracts "
                "than ours, {digest} {contracts}; of two limits the stricter holds",
                names=", ".join(sorted(differ)),
                digest=mine.fleet_digest,
                contracts=mine.contracts_digest or "-",
            )
        self.differing_members = differ
        if stage is not None:
            least = registers.stricter_limits(mine, others)
            stage.stricter_shares = {
                key: limit / mine.limits[key] for key, limit in least.items() if mine.limits[key] > 0.0
            }
            if not self.file.share.rights:
                stage.set_rights({key: part for key, (part, _) in stage.budgets().items()})

    # -- what is seen ------------------------------------------------------------------------------------

    def record_step(self, message: object) -> None:
        """What a decider hears: how route steps end tells which destinations are bad."""
        now = self.loop.clock()
        if isinstance(message, RouteStepEstablished):
            self.health.record_served(message.destination, now)
        elif isinstance(message, RouteStepEnded) and not message.final and message.outcome in FAILED_OUTCOMES:
            self.health.record_failure(message.destination, message.outcome is Outcome.TIMEOUT, now)

    def record_silent(self, message: object) -> None:
        """What the gauge has to tell."""
        if isinstance(message, DestinationSilent):
            self.health.record_hanging(message.destination, self.loop.clock())

    def link_status(self) -> dict[str, Any]:
        now = self.loop.clock()
        return {
            "revision": self.file.digest,
            "kinds_by_name": {
                registers.KIND_NAMES[kind]: sum(1 for _ in self.node.store.live_entries(kind))
                for kind in registers.KIND_NAMES
            },
            "contracts": self.revision.contracts_digest,
            "revisions": {
                name: " ".join(filter(None, (one.fleet_digest, one.contracts_digest)))
                for name, one in self.register_view.revisions(now).items()
            },
            "kept_away_from": [str(one) for one in self.health.avoided_until],
            "rights": {
                key: round(amount, 2)
                for key, amount in (self.leases.targets(now) if self.leases is not None else {}).items()
            },
            "list_version": self.host.pool_config.version,
            "held_elsewhere": self.register_view.connections_elsewhere(now).total(),
        }


def _as_draining(entry: i.BackendEntry) -> i.BackendEntry:
    return i.BackendEntry(
        entry.backend, i.State.DRAINING, entry.zone, entry.cell, entry.weight, entry.started
    )


def call_both(tell: Callable[[Any], None], also: Callable[[Any], None]) -> Callable[[Any], None]:
    """One that tells both."""

    def both(message: Any) -> None:
        tell(message)
        also(message)

    return both
