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
from snowwick.fleet import facts
from snowwick.fleet.facts import Health, Listed, Revision, View
from snowwick.fleet.file import FleetFile
from snowwick.fleet.members import STATES, Change
from snowwick.fleet.node import CaughtUp, DuplicateName, Node
from snowwick.fleet.rights import RENEW, Leases
from snowwick.net.decider import Outcome, PoolNews, Silent, StepEnded, StepUp
from snowwick.net.loop import Actor, Coroutine, Wait
from snowwick.net.pool import parse_address

if TYPE_CHECKING:
    from snowwick.broker.contract import Contracts
    from snowwick.net.contracts import ContractStage
    from snowwick.net.host import FleetHost

# Datagrams taken a turn; after as many the socket rests, so that a flood of frames that prove to be
READS = 16
REST = 0.005  # nothing costs little: s of rest
LARGEST = 2048  # bytes read of a datagram; what is longer than a frame is dropped anyway
BUFFER = 1 << 20  # bytes of the socket's buffer: a snapshot's pieces come in bursts
SHARE = 0.25  # s between looks at what there is to tell and to heed
COUNTED = 10.0  # s between lines on what was dropped
FAILED = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CONNECT_FAILED)


class FleetLink(Actor):
    """This balancer's place in the fleet."""

    restart_after_fault = True

    def __init__(self, host: FleetHost, file: FleetFile, name: str, rng: random.Random) -> None:
        super().__init__(host.loop)
        self.host, self.file, self.log = host, file, host.loop.log
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        with contextlib.suppress(OSError):
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
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
        self.node.status = self.status
        self.view, self.health = View(self.node.store, self.node.members), Health(name)
        self.said: dict[int, tuple[int, float]] = {}  # own words on destinations, and when they were written
        self.left: frozenset[int] = frozenset()  # told by others to be leaving, and heeded
        self.next_share = self.next_count = 0.0
        self.counted = 0
        self.gone = False  # left the fleet; this balancer serves alone
        self.differ: frozenset[str] = frozenset()
        self.leases: Leases | None = None
        self.contracts: Contracts | None = None  # whose revision is told
        self.revision, self.parts = Revision(file.digest), 0
        self.next_rights = 0.0
        self.used: dict[str, float] = {}

    @staticmethod
    def wall_ms() -> float:
        return 1000.0 * time.time()

    # -- the loop ----------------------------------------------------------------------------------------

    def run(self) -> Coroutine:
        self.log.event(
            "fleet",
            "fleet: {name} at {address}, epoch {epoch}",
            name=self.node.name,
            address=self.node.members.me.address,
            epoch=self.node.members.me.incarnation,
        )
        rest = 0.0
        try:
            while not self.gone:
                now = self.loop.clock()
                self.node.tick(now)
                if now >= self.next_share:
                    self.next_share = now + SHARE
                    self.share(now)
                self.send()
                self.hear_news()
                until = max(now, min(self.node.due(), self.next_share))
                resting = now < rest
                yield Wait(self.sock, read=not resting, until=min(until, rest) if resting else until)
                self.mailbox.clear()
                if self.loop.clock() >= rest and self.read():
                    rest = self.loop.clock() + REST
        finally:
            self.loop.unregister(self)
            if self.gone:  # after a fault it begins again, on the same socket
                self.sock.close()

    def read(self) -> bool:
        """Take what has come; True where there may be more."""
        now = self.loop.clock()
        for _ in range(READS):
            try:
                datagram, source = self.sock.recvfrom(LARGEST)
            except OSError:  # nothing there, or word of a datagram that found nobody
                return False
            self.node.receive(datagram, now, f"{source[0]}:{source[1]}")
        return True

    def send(self) -> None:
        routes = self.file.links.routes
        for address, datagram in self.node.take_out():
            # Lost is what the socket does not take; an address that a member made up must end nothing.
            with contextlib.suppress(OSError, ValueError):
                host, port = parse_address(routes.get(address, address))
                socket.inet_aton(host)  # a name would be looked up, and the loop would wait for it
                self.sock.sendto(datagram, (host, port))

    def hear_news(self) -> None:
        for news in self.node.take_news():
            if isinstance(news, Change):
                one = news.member
                self.log.event(
                    "fleet-member",
                    "fleet: {member} is {state} (incarnation {incarnation})",
                    member=one.name,
                    state=STATES[one.state],
                    incarnation=one.incarnation,
                )
            elif isinstance(news, CaughtUp):
                self.log.event(
                    "fleet-caught-up", "fleet: caught up after {seconds} s", seconds=round(news.after, 2)
                )
            elif isinstance(news, DuplicateName):
                self.log.event(
                    "fleet-twin",
                    "fleet: {name} is at {address} already and started before; "
                    "leaving the fleet, serving alone",
                    name=self.node.name,
                    address=news.address,
                )
                self.end()
        dropped = sum(self.node.counts.dropped.values())
        if dropped > self.counted and self.loop.clock() >= self.next_count:
            self.next_count = self.loop.clock() + COUNTED
            reasons = [f"{reason} {count}" for reason, count in sorted(self.node.counts.dropped.items())]
            self.log.event(
                "fleet-dropped",
                "fleet: {count} frames dropped: {reasons}",
                count=dropped - self.counted,
                reasons=", ".join(reasons),
            )
            self.counted = dropped

    def leave(self) -> None:
        """The balancer ends: the others need not find out."""
        if not self.gone:
            self.node.leave(self.loop.clock())
            self.send()

    def end(self) -> None:
        """Alone from here on: nothing more is heard, told or heeded."""
        self.gone = True
        self.node.store.owners = {self.node.name: self.node.store.owners[self.node.name]}
        self.node.members.records.clear()

    def apply(self, file: FleetFile) -> None:
        """Another file: keys and what is shared change at once, the links at the next start."""
        if file.links != self.file.links:
            self.log.event(
                "reload-waits", "reload: {keys} changed, but only at the next start", keys="fleet links"
            )
        self.file, self.node.keys = file, list(file.keys)

    # -- what is told ------------------------------------------------------------------------------------

    def share(self, now: float) -> None:
        share, pool = self.file.share, self.host.pool_config
        if share.health:
            self._health(now, len(pool.addresses))
        if share.list:
            self._list(now)
        if share.load:
            self._load(now)
        self._revision(now)
        if share.rights and self.host.contract_stage is not None:
            self._rights(now, self.host.contract_stage)

    def _write(self, kind: int, key: str, value: object, now: float, left: float = 0.0) -> None:
        data = None if value is None else facts.pack(value)
        with contextlib.suppress(ValueError):  # a value that no frame holds is not told
            self.node.write(kind, key, data, now, left)

    def _health(self, now: float, known: int) -> None:
        health = self.health
        for destination, heard in self.host.last_answer_times():
            watched = health.watched.setdefault(destination, facts.Watched())
            watched.served = max(watched.served, heard)
        health.forget(self.host.pool_config.addresses.__contains__)
        verdicts = self.view.verdicts(known, now)
        words = health.words(verdicts, now)
        for destination, word in words.items():
            at = health.own[destination][1] if destination in health.own else now
            old = self.said.get(destination)
            # Said anew where it is another word, or seen anew; a word that stands is not repeated each look.
            if old is None or old[0] != word or at - old[1] >= 0.5 * facts.SAID:
                self.said[destination] = word, at
                self._write(facts.HEALTH, str(destination), word, now, facts.SAID)
        for destination in [one for one in self.said if one not in words]:
            del self.said[destination]
            self._write(facts.HEALTH, str(destination), None, now)
        for destination in health.judge(verdicts, now):
            self.host.report_silent(Silent(destination))

    def _list(self, now: float) -> None:
        pool, source = self.host.pool_config, self.file.share.discovery
        leaving = [one for one, entry in pool.entries.items() if entry.state is not i.State.READY]
        self._write(facts.LIST, "", Listed(source, pool.version, leaving[-facts.LEAVING :]), now)
        told = self.view.leaving(source, pool.version, now)
        # Only what this balancer's own list has named is of interest, and nothing is sent on others' word.
        heed = {one for one in told if one in pool.entries and pool.entries[one].state is i.State.READY}
        fresh = heed - self.left
        if fresh:
            self.log.event(
                "fleet-leaving",
                "fleet: {count} destinations leave by a newer list than ours, {version}",
                count=len(fresh),
                version=pool.version,
            )
            self.host.apply_pool_news(
                PoolNews(i.ListKind.CHANGES, [_leaving(pool.entries[one]) for one in sorted(fresh)])
            )
        back = [
            one
            for one in sorted(self.left - heed)
            if one in pool.entries and pool.entries[one].state is i.State.READY
        ]
        if back:  # the newer list was taken back, as after a restore
            self.host.apply_pool_news(PoolNews(i.ListKind.CHANGES, [pool.entries[one] for one in back]))
        self.left = frozenset(heed)

    def _load(self, now: float) -> None:
        chunks: dict[int, dict[int, int]] = defaultdict(dict)
        for pool in self.host.connection_counts():
            for destination, held in pool.items():
                counts = chunks[facts.chunk_of(destination)]
                counts[destination] = counts.get(destination, 0) + held
        for chunk in range(facts.CHUNKS):
            self._write(facts.LOAD, str(chunk), chunks.get(chunk), now)

    def _rights(self, now: float, stage: ContractStage) -> None:
        """Move the contracts' budgets to where they are asked for; without a fleet each keeps its part."""
        if self.leases is None:
            self.leases = Leases(self.node.name, stage.budgets(), now)
        leases, epoch = self.leases, self.node.store.owners[self.node.name].epoch
        leases.change(stage.budgets(), now)
        if now >= self.next_rights:
            self.used, wanted = stage.wanted(max(SHARE, now - self.next_rights + RENEW))
            self.next_rights = now + RENEW
            for key, amount in wanted.items():
                leases.budgets[key].demand(amount, now)
        boots = {
            one.name: self.node.store.owners[one.name].epoch
            for one in self.node.members.alive()
            if one.name in self.node.store.owners
        }
        asks, grants = self.view.rights(now)
        for lender, start, key, grant in grants:
            if key in leases.budgets:
                leases.budgets[key].hear(lender, start, grant, epoch, now)
        for key, ask in leases.asks(self.used, boots, now).items():
            self._write(facts.RIGHTS, f"ask:{key}", ask, now)
        for key, one in leases.budgets.items():
            told = asks.get(key, {})
            one.confirm({name: ask.holds for name, (_, ask) in told.items()}, epoch, stage.balancers - 1)
            for to, grant in one.grant(told, self.used.get(key, 0.0), now).items():
                self._write(facts.RIGHTS, f"grant:{to}:{key}", grant, now)
        stage.has(leases.targets(now))

    def _revision(self, now: float) -> None:
        stage = self.host.contract_stage
        if stage is not None and stage.contracts is not self.contracts:
            from snowwick.broker.contract import contracts_digest, fleet_limits

            self.contracts = stage.contracts
            self.revision = Revision(
                self.file.digest, contracts_digest(stage.contracts), fleet_limits(stage.contracts)
            )
        mine = self.revision = Revision(self.file.digest, self.revision.contracts, self.revision.limits)
        rows = sorted(mine.limits.items())
        parts = [dict(rows[at : at + facts.LIMITS]) for at in range(0, len(rows), facts.LIMITS)] or [{}]
        for n in range(max(len(parts), self.parts)):
            self._write(
                facts.REVISION,
                f"{n:04}",
                Revision(mine.fleet, mine.contracts, parts[n]) if n < len(parts) else None,
                now,
            )
        self.parts = len(parts)
        others = self.view.revisions(now)
        differ = frozenset(
            name for name, one in others.items() if (one.fleet, one.contracts) != (mine.fleet, mine.contracts)
        )
        if differ - self.differ:
            self.log.event(
                "fleet-revisions",
                "fleet: {names} go by another fleet file or other contracts "
                "than ours, {digest} {contracts}; of two limits the stricter holds",
                names=", ".join(sorted(differ)),
                digest=mine.fleet,
                contracts=mine.contracts or "-",
            )
        self.differ = differ
        if stage is not None:
            least = facts.stricter(mine, others)
            stage.stricter = {
                key: limit / mine.limits[key] for key, limit in least.items() if mine.limits[key] > 0.0
            }
            if not self.file.share.rights:
                stage.has({key: part for key, (part, _) in stage.budgets().items()})

    # -- what is seen ------------------------------------------------------------------------------------

    def observe(self, message: object) -> None:
        """What a decider hears: how route steps end tells which destinations are bad."""
        now = self.loop.clock()
        if isinstance(message, StepUp):
            self.health.answered(message.destination, now)
        elif isinstance(message, StepEnded) and not message.final and message.outcome in FAILED:
            self.health.failed(message.destination, message.outcome is Outcome.TIMEOUT, now)

    def silent(self, message: object) -> None:
        """What the gauge has to tell."""
        if isinstance(message, Silent):
            self.health.hangs(message.destination, self.loop.clock())

    def status(self) -> dict[str, Any]:
        now = self.loop.clock()
        return {
            "revision": self.file.digest,
            "kinds_by_name": {
                facts.KINDS[kind]: sum(1 for _ in self.node.store.standing(kind)) for kind in facts.KINDS
            },
            "contracts": self.revision.contracts,
            "revisions": {
                name: " ".join(filter(None, (one.fleet, one.contracts)))
                for name, one in self.view.revisions(now).items()
            },
            "kept_away_from": [str(one) for one in self.health.believed],
            "rights": {
                key: round(amount, 2)
                for key, amount in (self.leases.targets(now) if self.leases is not None else {}).items()
            },
            "list_version": self.host.pool_config.version,
            "held_elsewhere": self.view.held(now).total(),
        }


def _leaving(entry: i.BackendEntry) -> i.BackendEntry:
    return i.BackendEntry(
        entry.backend, i.State.DRAINING, entry.zone, entry.cell, entry.weight, entry.started
    )


def observing(tell: Callable[[Any], None], also: Callable[[Any], None]) -> Callable[[Any], None]:
    """One that tells both."""

    def both(message: Any) -> None:
        tell(message)
        also(message)

    return both
