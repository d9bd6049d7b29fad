"""Hollow members: many of a fleet's links in one process, without clients, beside real balancers.

    python -m snowwick.lab.member_host

is started by the rig (``snowwick.lab.rig.Hollow``) with a stream socket as its standard input, on which it
gets orders and gives answers, one JSON object a line.  The first order, ``make``, says who its members are.
It ends when that socket does, so that it never outlives who started it.

Each member is the shipped ``FleetLink``: its own socket, its own ``Node``, sent and read as in a balancer.
What it leaves out is what a balancer does with the registers: it writes what the workload says, and reads
and heeds nothing of the others'.  Its processor time is so that of the protocol and the socket alone.

All times between processes are Unix time or the machine's monotonic clock, which all processes here share.
"""

from __future__ import annotations

import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from snowwick.fleet import registers
from snowwick.fleet.clock import timestamp_ms
from snowwick.fleet.file import FleetFile, Links, Share
from snowwick.fleet.members import DEAD, MemberChange
from snowwick.fleet.node import CaughtUp, DuplicateName
from snowwick.fleet.registers import DiscoveryState, RegisterView, Revision
from snowwick.fleet.store import Store
from snowwick.fleet.wire import Entry
from snowwick.lab.workload import (
    Event,
    EventKind,
    Workload,
    change_key,
    change_value,
    grant_value,
    load_value,
    request_value,
    schedule,
)
from snowwick.log import Log
from snowwick.net.decider import DestinationSilent, PoolUpdate
from snowwick.net.fleet import FleetLink
from snowwick.net.loop import Actor, Coroutine, Loop, Wait
from snowwick.net.pool import PoolConfig

MAX_HISTOGRAM_MS = 3_600_000  # that a histogram holds
LOOK = 1.0  # s between looks at how old the loads are that one member holds


class Empty:
    """The host of a hollow member (``snowwick.net.host.Host``): no list, no clients, no contracts."""

    contract_stage = None

    def __init__(self, loop: Loop) -> None:
        self.loop, self.pool_config = loop, PoolConfig(lambda _: None)

    def last_answer_times(self) -> Iterable[tuple[int, float]]:
        return ()

    def connection_counts(self) -> Iterable[Mapping[int, int]]:
        return ()

    def report_silent(self, message: DestinationSilent) -> None:
        """Nobody to tell."""

    def apply_pool_news(self, news: PoolUpdate) -> None:
        """Nobody to tell."""


@dataclass(slots=True)
class Arrivals:
    """One register's one writing, as it came to the members of this process."""

    stamp_ms: int  # Unix time of the writing, by its writer
    last: float  # Unix time in s at which the last of them had it
    members: int = 0


class WatchedStore(Store):
    """Notes when the writings that are watched come."""

    def __init__(self, name: str, epoch: int, process: Process) -> None:
        super().__init__(name, epoch)
        self.process = process

    def merge_entry(self, entry: Entry, now: float) -> bool:
        news = super().merge_entry(entry, now)
        if news:
            self.process.arrived(entry)
        return news


class HollowLink(FleetLink):
    """A member without a balancer."""

    def __init__(self, process: Process, file: FleetFile, name: str, rng: random.Random) -> None:
        super().__init__(Empty(process.loop), file, name, rng)
        self.process = process
        self.node.store = WatchedStore(name, self.node.store.owners[name].epoch, process)
        self.register_view = RegisterView(self.node.store, self.node.members)
        self.node.seeds = []
        self.begun = False
        self.caught: float | None = None  # s from its start until it had what the others have

    def share_state(self, now: float) -> None:
        """What a balancer tells of its files, once; the rest comes by the workload."""
        if not self.begun:
            self.begun = True
            self._write_register(registers.REVISION, "0000", Revision(self.file.digest), now)
            self._write_register(registers.LIST, "", DiscoveryState("hollow", 1, []), now)

    def handle_events(self) -> None:
        for news in self.node.take_events():
            if isinstance(news, MemberChange) and news.member.state == DEAD:
                self.process.deaths.add((news.member.name, news.member.incarnation))
            elif isinstance(news, CaughtUp):
                self.caught = news.after_s
            elif isinstance(news, DuplicateName):
                self.leave_without_notice()

    def write(self, kind: int, key: str, value: bytes | None, left: float = 0.0) -> None:
        self.node.write(kind, key, value, self.loop.clock(), left)


class Player(Actor):
    """Writes what the workload says, each event at its time; what happens to real members is left out."""

    def __init__(self, process: Process, workload: Workload, first: int, began: float) -> None:
        super().__init__(process.loop)
        self.process, self.workload, self.first, self.began = process, workload, first, began

    def run(self) -> Coroutine:
        for event in schedule(self.workload):
            yield from self.sleep_until(self.began + event.at)
            self.play(event)

    def link(self, member: int) -> HollowLink | None:
        return self.process.links.get(f"m{member}") if member >= self.first else None

    def play(self, event: Event) -> None:
        w, link = self.workload, self.link(event.member)
        if (
            event.kind is EventKind.CHANGE
        ):  # the whole fleet's rate: those of real members fall to hollow ones
            member = self.first + event.member % (w.members - self.first)
            link = self.link(member)
            if link is not None:
                link.write(registers.REVISION, change_key(w, event.number), change_value(w, event.number))
                self.process.changes.append(
                    (link.node.name, link.node.store.owners[link.node.name].complete_seq, time.time())
                )
        elif event.kind is EventKind.RIGHTS:
            lender = self.link(event.other)
            if link is not None:
                link.write(registers.RIGHTS, "ask:scale", request_value(w, event, f"m{event.other}", 1))
            if lender is not None:
                lender.write(registers.RIGHTS, f"grant:m{event.member}:scale", grant_value(event, 1))
        elif link is None:
            return
        elif event.kind is EventKind.LOAD:
            value = registers.pack(load_value(w, event.member, event.number, event.at))
            link.write(registers.LOAD, str(event.number), value)
        elif event.kind is EventKind.VERDICT:
            link.write(
                registers.HEALTH,
                str(event.number),
                registers.pack(registers.HANGING),
                registers.VERDICT_LIFETIME_S,
            )
        elif event.kind is EventKind.VERDICT_WITHDRAWN:
            link.write(registers.HEALTH, str(event.number), None)


class Starter(Actor):
    """Starts the members one after another."""

    def __init__(self, process: Process, apart: float) -> None:
        super().__init__(process.loop)
        self.process, self.apart = process, apart

    def run(self) -> Coroutine:
        for link in self.process.links.values():
            link.start()
            yield from self.sleep_until(self.loop.clock() + self.apart)


class Looker(Actor):
    """Looks now and then how long ago the loads were written that one member holds."""

    def __init__(self, process: Process) -> None:
        super().__init__(process.loop)
        self.process = process

    def run(self) -> Coroutine:
        while True:
            yield from self.sleep_until(self.loop.clock() + LOOK)
            link, wall = next(iter(self.process.links.values())), 1000.0 * time.time()
            for held in link.node.store.live_entries(registers.LOAD):
                if held.entry.owner != link.node.name:
                    age = int(wall - timestamp_ms(held.entry.timestamp))
                    self.process.ages.record_value(min(MAX_HISTOGRAM_MS, max(1, age)))


class Process(Actor):
    """Takes the orders; all members of this process are its."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        super().__init__(loop)
        self.sock, self.inbox = sock, bytearray()
        self.links: dict[str, HollowLink] = {}
        self.first = 0
        self.workload: Workload | None = None
        self.arrivals: dict[tuple[str, int], Arrivals] = {}
        self.real: frozenset[str] = frozenset()  # whose loads are watched
        self.changes: list[tuple[str, int, float]] = []  # written here: by whom, its number, Unix time in s
        self.deaths: set[tuple[str, int]] = set()  # who was found dead by any, and under which incarnation
        self.ages = HdrHistogram(1, MAX_HISTOGRAM_MS, 3)

    def run(self) -> Coroutine:
        self.sock.setblocking(False)
        try:
            while True:
                yield Wait(self.sock, read=True)
                with contextlib.suppress(BlockingIOError):
                    data = self.sock.recv(1 << 16)
                    if not data:
                        break
                    self.inbox += data
                while (end := self.inbox.find(b"\n") + 1) > 0:
                    order = json.loads(self.inbox[:end])
                    del self.inbox[:end]
                    answer = getattr(self, f"on_{order.pop('do')}")(**order)
                    self.sock.setblocking(True)  # the one who asked reads at once
                    self.sock.sendall(json.dumps(answer).encode() + b"\n")
                    self.sock.setblocking(False)
        finally:  # also after an order that cannot be carried out: the rig sees that the process has ended
            self.loop.stop()

    def arrived(self, entry: Entry) -> None:
        """A change of configuration of any member, or a load of a real one."""
        if (entry.kind == registers.REVISION and entry.key != "0000") or (
            entry.kind == registers.LOAD and entry.owner in self.real
        ):
            now = time.time()
            one = self.arrivals.setdefault(
                (entry.owner, entry.seq), Arrivals(timestamp_ms(entry.timestamp), now)
            )
            one.last, one.members = now, one.members + 1

    # -- orders ------------------------------------------------------------------------------------------

    def on_make(
        self, first: int, count: int, key: str, digest: str, period_ms: float, real: list[str]
    ) -> dict[str, Any]:
        """Members m``first`` and so on, each with a socket; ``real`` are the names of the real ones."""
        self.real = frozenset(real)
        links = Links("127.0.0.1:0", "", [], period_ms=period_ms)
        file = FleetFile(links, Share(), (bytes.fromhex(key),), digest)
        for n in range(first, first + count):
            self.links[f"m{n}"] = HollowLink(self, file, f"m{n}", random.Random(f"hollow{n}{time.time_ns()}"))
        return {
            "addresses": {name: link.node.members.local.address for name, link in self.links.items()},
            "memory": anonymous_memory_bytes(os.getpid()),
        }

    def on_start(self, seeds: list[str], routes: dict[str, str], apart: float) -> dict[str, Any]:
        """``routes`` lead to some members by way of proxies, by the members' own addresses.

        One member starts each ``apart`` s: many that join in one moment by the same seeds are a storm of
        their own, which is not what is measured.
        """
        for link in self.links.values():
            file = link.file
            links = Links(file.links.listen, "", seeds, period_ms=file.links.period_ms, routes=routes)
            link.file = FleetFile(links, file.share, file.keys, file.digest)
            link.node.seeds = seeds
        Starter(self, apart).start()
        Looker(self).start()
        return {}

    def on_play(self, workload: dict[str, Any], first: int, began: float) -> dict[str, Any]:
        """Play the workload from a time on the monotonic clock on; members below ``first`` are real."""
        Player(self, Workload(**workload), first, began).start()
        return {}

    def on_write(self, member: str, key: str, text: str) -> dict[str, Any]:
        """A change of configuration, now."""
        self.links[member].write(registers.REVISION, key, registers.pack(Revision(text)))
        return {"at": time.time()}

    def on_agree(self) -> dict[str, Any]:
        """How many members each sees alive, itself too, and what each holds, as a hash."""
        return {
            "alive": {name: 1 + len(link.node.members.alive()) for name, link in self.links.items()},
            "roots": {name: link.node.store.root_hash() for name, link in self.links.items()},
            "caught": {name: link.caught for name, link in self.links.items()},
        }

    def on_sees(self, member: str, of: str) -> dict[str, Any]:
        """What a member has of another: its state and incarnation, and the texts of its changes by key."""
        node = self.links[member].node
        record, owner = node.members.records.get(of), node.store.owners.get(of)
        texts = {}
        for (kind, key), held in owner.entries.items() if owner is not None else ():
            if kind == registers.REVISION and held.entry.value is not None:
                revision = registers.unpack(held.entry.value, Revision)
                texts[key] = revision.fleet_digest if revision is not None else ""
        return {
            "state": record.state if record is not None else None,
            "texts": texts,
            "incarnation": record.incarnation if record is not None else None,
        }

    def on_counts(self) -> dict[str, Any]:
        """All that was counted since the start, over all members of this process.

        ``processor`` are s of this process, ``memory`` its resident bytes; ``arrivals`` are of this process's
        members only, each with the writer's time and the last member's, Unix time in s.
        """
        counts = [link.node.counts for link in self.links.values()]
        dropped = sum((one.dropped for one in counts), Counter[str]())
        return {
            "at": time.monotonic(),
            "processor": time.process_time(),
            "memory": anonymous_memory_bytes(os.getpid()),
            "bytes_out": sum(one.bytes_out for one in counts),
            "bytes_in": sum(one.bytes_in for one in counts),
            "datagrams_out": sum(one.frames_out for one in counts),
            "datagrams_in": sum(one.frames_in for one in counts),
            "shed": sum(one.shed for one in counts),
            "dropped": dict(dropped),
            "deaths": sorted(self.deaths),
            "changes": self.changes,
            "arrivals": [
                (owner, seq, one.stamp_ms / 1000.0, one.last, one.members)
                for (owner, seq), one in self.arrivals.items()
            ],
            "ages": base64.b64encode(self.ages.encode()).decode(),
        }


def anonymous_memory_bytes(pid: int) -> int:
    """A process's resident bytes that no file is behind (Anonymous of smaps_rollup, proc_pid_smaps(5)).

    Pages of files, as of the interpreter, are shared with all other processes, and their part in each changes
    as others come and go.
    """
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Anonymous:"):
            return 1024 * int(line.split()[1])
    return 0


class Strict(Log):
    """Ends the process at the first fault of an actor, which else begins again: the rig has to notice."""

    def event(self, name: str, template: str, /, **fields: Any) -> None:
        super().event(name, template, **fields)
        if name == "fault":
            raise SystemExit(1)


def main() -> None:
    # Who started this process ends it; an interrupt at the terminal is for that one.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    loop = Loop(Strict())
    process = Process(loop, socket.socket(fileno=os.dup(sys.stdin.fileno())))
    process.start()
    try:
        loop.run()
    finally:
        loop.close()


if __name__ == "__main__":
    main()
