"""The fleet link: the actor that runs a fleet node on a UDP socket and connects it with the balancer.

It publishes the balancer's health verdicts, list version, connection counts, lease requests, grants and
revision as registers, and applies those of the other members.  The module is loaded only where a fleet file
is given.  UDP keeps a slow or stopped member from delaying others: a datagram that the socket does not accept
at once is lost, and anti-entropy repairs the loss.
"""

from __future__ import annotations

import contextlib
import random
import socket
import time
from collections import defaultdict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from crowgap import interface
from snowwick.fleet import registers
from snowwick.fleet.file import FleetFile
from snowwick.fleet.members import STATE_NAMES, MemberChange
from snowwick.fleet.node import CaughtUp, DuplicateName, Node
from snowwick.fleet.registers import DiscoveryState, HealthTracker, RegisterView, Revision
from snowwick.fleet.rights import RENEW_INTERVAL_S, Leases
from snowwick.net.decider import DestinationSilent, Outcome, PoolUpdate, RouteStepEnded, RouteStepEstablished
from snowwick.net.loop import Actor, Coroutine, Wait
from snowwick.net.pool_config import parse_address

if TYPE_CHECKING:
    from snowwick.broker.contract import Contracts
    from snowwick.net.contracts import ContractStage
    from snowwick.net.host import FleetHost

# After this many datagrams in one turn of the loop the socket is not read for ``READ_PAUSE_S``, which limits
# the cost of a flood of invalid datagrams
DATAGRAMS_PER_TURN = 16
READ_PAUSE_S = 0.005
MAX_READ_BYTES = 2048  # of one datagram; longer than any frame, and longer datagrams are dropped in any case
RECEIVE_BUFFER_BYTES = 1 << 20  # of the socket; the replies of a full pull come in bursts
SHARE_INTERVAL_S = 0.25  # between calls of ``share_state``
DROP_LOG_INTERVAL_S = 10.0  # least time between log lines about dropped frames
FAILED_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED)


class FleetLink(Actor):
    """Connects this balancer with the fleet."""

    restart_after_fault = True

    def __init__(self, host: FleetHost, file: FleetFile, name: str, rng: random.Random) -> None:
        super().__init__(host.loop)
        self.host, self.file, self.log = host, file, host.loop.log
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.bind(parse_address(file.links.listen))
        bound_host, bound_port = self.sock.getsockname()
        self.node = Node(
            name,
            file.links.address or f"{bound_host}:{bound_port}",
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
        # The verdicts in the own health registers, and when they were made
        self.published_verdicts: dict[int, tuple[int, float]] = {}
        # Destinations drained at this balancer because another member's newer list drains them
        self.leaving: frozenset[int] = frozenset()
        self.next_share = self.next_drop_log = 0.0  # times on the loop's clock
        self.logged_drops = 0  # number of dropped frames up to the last log line about them
        self.has_left = False  # has left the fleet; the balancer continues to serve on its own
        self.differing_members: frozenset[str] = frozenset()  # members with another revision
        self.leases: Leases | None = None  # None until rights are shared
        self.contracts: Contracts | None = None  # the contracts that ``revision`` describes
        self.revision, self.revision_part_count = Revision(file.digest), 0
        self.next_demand_measurement = 0.0  # time on the loop's clock
        self.budget_usage: dict[str, float] = {}  # amount in use of each budget, as last measured

    @staticmethod
    def wall_ms() -> float:
        """Unix time in ms."""
        return 1000.0 * time.time()

    # -- the loop ----------------------------------------------------------------------------------------

    def run(self) -> Coroutine:
        """Run the node until the balancer leaves the fleet."""
        self.log.event(
            "fleet",
            "fleet: {name} at {address}, epoch {epoch}",
            name=self.node.name,
            address=self.node.members.local.address,
            epoch=self.node.members.local.incarnation,
        )
        read_paused_until = 0.0
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
                paused = now < read_paused_until
                yield Wait(
                    self.sock, read=not paused, until=min(until, read_paused_until) if paused else until
                )
                self.mailbox.clear()
                if self.loop.clock() >= read_paused_until and self.read_datagrams():
                    read_paused_until = self.loop.clock() + READ_PAUSE_S
        finally:
            self.loop.unregister(self)
            if self.has_left:  # after a fault the actor restarts on the same socket
                self.sock.close()

    def read_datagrams(self) -> bool:
        """Process the datagrams that have arrived; returns True where there may be more."""
        now = self.loop.clock()
        for _ in range(DATAGRAMS_PER_TURN):
            try:
                datagram, source = self.sock.recvfrom(MAX_READ_BYTES)
            except OSError:  # no datagram, or an error report about one that was sent earlier
                return False
            self.node.receive(datagram, now, f"{source[0]}:{source[1]}")
        return True

    def send_datagrams(self) -> None:
        """Send the datagrams that the node has queued."""
        routes = self.file.links.routes
        for address, datagram in self.node.take_datagrams():
            # A datagram that the socket does not accept is lost; invalid addresses of members are ignored
            with contextlib.suppress(OSError, ValueError):
                host, port = parse_address(routes.get(address, address))
                socket.inet_aton(host)  # rejects host names, since a look-up would block the loop
                self.sock.sendto(datagram, (host, port))

    def handle_events(self) -> None:
        """Log the node's events and the dropped frames; leave the fleet where the name is in use."""
        for event in self.node.take_events():
            if isinstance(event, MemberChange):
                member = event.member
                self.log.event(
                    "fleet-member",
                    "fleet: {member} is {state} (incarnation {incarnation})",
                    member=member.name,
                    state=STATE_NAMES[member.state],
                    incarnation=member.incarnation,
                )
            elif isinstance(event, CaughtUp):
                self.log.event(
                    "fleet-caught-up", "fleet: caught up after {seconds} s", seconds=round(event.after_s, 2)
                )
            elif isinstance(event, DuplicateName):
                self.log.event(
                    "fleet-twin",
                    "fleet: a process at {address} has the name {name} and started before; "
                    "leaving the fleet, serving alone",
                    name=self.node.name,
                    address=event.address,
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
        """Announce to other members that this balancer leaves the fleet."""
        if not self.has_left:
            self.node.leave(self.loop.clock())
            self.send_datagrams()

    def leave_without_notice(self) -> None:
        """Leave the fleet at once; from then on nothing is received, published or applied."""
        self.has_left = True
        self.node.store.owners = {self.node.name: self.node.store.owners[self.node.name]}
        self.node.members.records.clear()

    def apply_file(self, file: FleetFile) -> None:
        """Apply a reloaded file: keys and ``share`` at once, the rest of ``links`` at the next start."""
        if file.links != self.file.links:
            self.log.event(
                "reload-waits", "reload: {keys} changed, but only at the next start", keys="fleet links"
            )
        self.file, self.node.keys = file, list(file.keys)

    # -- publishing --------------------------------------------------------------------------------------

    def share_state(self, now: float) -> None:
        """Publish what the fleet file's ``share`` selects, and apply what other members have published."""
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

    def _write_register(
        self, kind: int, key: str, value: object, now: float, remaining_s: float = 0.0
    ) -> None:
        """Set an own register, or remove it where ``value`` is None."""
        data = None if value is None else registers.pack(value)
        with contextlib.suppress(ValueError):  # a value that is too long for a frame is not published
            self.node.write(kind, key, data, now, remaining_s)

    def _share_health(self, now: float, destination_count: int) -> None:
        """Publish own verdicts, and report to the balancer the destinations to avoid on others' verdicts."""
        health = self.health
        for destination, answered_at in self.host.last_reply_times():
            destination_health = health.destinations.setdefault(destination, registers.DestinationHealth())
            destination_health.last_served = max(destination_health.last_served, answered_at)
        health.forget(self.host.pool_config.addresses.__contains__)
        verdicts = self.register_view.verdicts(destination_count, now)
        to_publish = health.verdicts_to_publish(verdicts, now)
        for destination, verdict in to_publish.items():
            made_at = health.own_verdicts[destination][1] if destination in health.own_verdicts else now
            published = self.published_verdicts.get(destination)
            # Written again only where the verdict has changed, or was made again half its lifetime later
            if (
                published is None
                or published[0] != verdict
                or made_at - published[1] >= 0.5 * registers.VERDICT_LIFETIME_S
            ):
                self.published_verdicts[destination] = verdict, made_at
                self._write_register(
                    registers.HEALTH, str(destination), verdict, now, registers.VERDICT_LIFETIME_S
                )
        for destination in [known for known in self.published_verdicts if known not in to_publish]:
            del self.published_verdicts[destination]
            self._write_register(registers.HEALTH, str(destination), None, now)
        for destination in health.update_avoided(verdicts, now):
            self.host.apply_silence_report(DestinationSilent(destination))

    def _share_list(self, now: float) -> None:
        """Publish the list's version, and drain destinations that a newer list of another member drains."""
        pool = self.host.pool_config
        source = self.file.share.discovery
        leaving = [
            destination
            for destination, entry in pool.entries.items()
            if entry.state is not interface.State.READY
        ]
        self._write_register(
            registers.LIST, "", DiscoveryState(source, pool.version, leaving[-registers.MAX_LEAVING :]), now
        )
        reported = self.register_view.leaving(source, pool.version, now)
        # Only destinations in this balancer's own list matter: another member's list adds no destination
        drained = {
            destination
            for destination in reported
            if destination in pool.entries and pool.entries[destination].state is interface.State.READY
        }
        newly_drained = drained - self.leaving
        if newly_drained:
            self.log.event(
                "fleet-leaving",
                "fleet: {count} destinations have to be left: another balancer has a newer list than "
                "version {version}",
                count=len(newly_drained),
                version=pool.version,
            )
            self.host.apply_pool_update(
                PoolUpdate(
                    interface.ListKind.CHANGES,
                    [_as_draining(pool.entries[destination]) for destination in sorted(newly_drained)],
                )
            )
        restored = [
            destination
            for destination in sorted(self.leaving - drained)
            if destination in pool.entries and pool.entries[destination].state is interface.State.READY
        ]
        if restored:  # the newer list was withdrawn, for example when discovery was restored from a backup
            self.host.apply_pool_update(
                PoolUpdate(
                    interface.ListKind.CHANGES, [pool.entries[destination] for destination in restored]
                )
            )
        self.leaving = frozenset(drained)

    def _share_load(self, now: float) -> None:
        """Publish the number of this balancer's connections at each destination."""
        chunks: dict[int, dict[int, int]] = defaultdict(dict)
        for pool_counts in self.host.connection_counts():
            for destination, count in pool_counts.items():
                counts = chunks[registers.load_chunk(destination)]
                counts[destination] = counts.get(destination, 0) + count
        for chunk in range(registers.LOAD_CHUNKS):
            self._write_register(registers.LOAD, str(chunk), chunks.get(chunk), now)

    def _share_rights(self, now: float, stage: ContractStage) -> None:
        """Request and grant leases, so that rights move to where they are needed; apply the own rights."""
        if self.leases is None:
            self.leases = Leases(self.node.name, stage.budgets(), now)
        leases, epoch = self.leases, self.node.store.owners[self.node.name].epoch
        leases.update_shares(stage.budgets(), now)
        if now >= self.next_demand_measurement:
            self.budget_usage, wanted = stage.measure_demand(
                max(SHARE_INTERVAL_S, now - self.next_demand_measurement + RENEW_INTERVAL_S)
            )
            self.next_demand_measurement = now + RENEW_INTERVAL_S
            for key, amount in wanted.items():
                leases.budgets[key].record_demand(amount, now)
        epochs = {
            member.name: self.node.store.owners[member.name].epoch
            for member in self.node.members.alive()
            if member.name in self.node.store.owners
        }
        requests, grants = self.register_view.requests_and_grants(now)
        for lender, lender_epoch, key, grant in grants:
            if key in leases.budgets:
                leases.budgets[key].receive_grant(lender, lender_epoch, grant, epoch, now)
        for key, request in leases.requests_due(self.budget_usage, epochs, now).items():
            self._write_register(registers.RIGHTS, f"ask:{key}", request, now)
        for key, budget in leases.budgets.items():
            budget_requests = requests.get(key, {})
            budget.confirm_start(
                {name: request.holdings for name, (_, request) in budget_requests.items()},
                epoch,
                stage.balancers - 1,
            )
            for borrower, grant in budget.grant_requests(
                budget_requests, self.budget_usage.get(key, 0.0), now
            ).items():
                self._write_register(registers.RIGHTS, f"grant:{borrower}:{key}", grant, now)
        stage.set_rights(leases.targets(now))

    def _share_revision(self, now: float) -> None:
        """Publish the own revision, and apply the stricter limits of members with other contracts."""
        stage = self.host.contract_stage
        if stage is not None and stage.contracts is not self.contracts:
            from snowwick.broker.contract import contracts_digest, fleet_limits

            self.contracts = stage.contracts
            self.revision = Revision(
                self.file.digest, contracts_digest(stage.contracts), fleet_limits(stage.contracts)
            )
        own_revision = self.revision = Revision(
            self.file.digest, self.revision.contracts_digest, self.revision.limits
        )
        limits = sorted(own_revision.limits.items())
        parts = [
            dict(limits[start : start + registers.LIMITS_PER_REGISTER])
            for start in range(0, len(limits), registers.LIMITS_PER_REGISTER)
        ] or [{}]
        for number in range(max(len(parts), self.revision_part_count)):
            self._write_register(
                registers.REVISION,
                f"{number:04}",
                Revision(own_revision.fleet_digest, own_revision.contracts_digest, parts[number])
                if number < len(parts)
                else None,
                now,
            )
        self.revision_part_count = len(parts)
        other_revisions = self.register_view.revisions(now)
        differing = frozenset(
            name
            for name, revision in other_revisions.items()
            if (revision.fleet_digest, revision.contracts_digest)
            != (own_revision.fleet_digest, own_revision.contracts_digest)
        )
        if differing - self.differing_members:
            self.log.event(
                "fleet-revisions",
                "fleet: {names} use another fleet file or other contracts than this balancer, "
                "{digest} {contracts}; the stricter limits apply",
                names=", ".join(sorted(differing)),
                digest=own_revision.fleet_digest,
                contracts=own_revision.contracts_digest or "-",
            )
        self.differing_members = differing
        if stage is not None:
            stricter = registers.stricter_limits(own_revision, other_revisions)
            stage.stricter_shares = {
                key: limit / own_revision.limits[key]
                for key, limit in stricter.items()
                if own_revision.limits[key] > 0.0
            }
            if not self.file.share.rights:
                stage.set_rights({key: share for key, (share, _) in stage.budgets().items()})

    # -- observing ---------------------------------------------------------------------------------------

    def record_step(self, message: object) -> None:
        """Record from a decider's message that a destination served a client or a route step failed."""
        now = self.loop.clock()
        if isinstance(message, RouteStepEstablished):
            self.health.record_served(message.destination, now)
        elif isinstance(message, RouteStepEnded) and not message.final and message.outcome in FAILED_OUTCOMES:
            self.health.record_failure(message.destination, message.outcome is Outcome.TIMEOUT, now)

    def record_silent(self, message: object) -> None:
        """Record a destination that the delay monitor reports as silent; other messages are ignored."""
        if isinstance(message, DestinationSilent):
            self.health.record_hanging(message.destination, self.loop.clock())

    def link_status(self) -> dict[str, Any]:
        """The balancer's part of the status that ``snowwick fleet status`` prints."""
        now = self.loop.clock()
        return {
            "revision": self.file.digest,
            "kinds_by_name": {
                registers.KIND_NAMES[kind]: sum(1 for _ in self.node.store.live_entries(kind))
                for kind in registers.KIND_NAMES
            },
            "contracts": self.revision.contracts_digest,
            "revisions": {
                name: " ".join(filter(None, (revision.fleet_digest, revision.contracts_digest)))
                for name, revision in self.register_view.revisions(now).items()
            },
            "kept_away_from": [str(destination) for destination in self.health.avoided_until],
            "rights": {
                key: round(amount, 2)
                for key, amount in (self.leases.targets(now) if self.leases is not None else {}).items()
            },
            "list_version": self.host.pool_config.version,
            "held_elsewhere": self.register_view.connections_elsewhere(now).total(),
        }


def _as_draining(entry: interface.BackendEntry) -> interface.BackendEntry:
    """A copy of an entry of discovery's list, with its state changed to draining."""
    return interface.BackendEntry(
        entry.backend, interface.State.DRAINING, entry.zone, entry.cell, entry.weight, entry.started
    )


def call_both(first: Callable[[Any], None], second: Callable[[Any], None]) -> Callable[[Any], None]:
    """Return a function that passes a message to ``first`` and then to ``second``."""

    def both(message: Any) -> None:
        first(message)
        second(message)

    return both
