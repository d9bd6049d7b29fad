"""Host of lightweight members: many fleet links in one process, without clients, beside real balancers.

    python -m snowwick.lab.member_host

The rig (``snowwick.lab.rig.MemberHostProcess``) starts this process with a stream socket as its standard
input.  The process reads commands from it and writes answers to it, one JSON object a line.  The first
command, ``make``, names its members.  The process exits when the socket is closed, so that it never outlives
the rig.

Each member is the ``FleetLink`` of the program, with its own socket and its own ``Node``, which sends and
receives as in a balancer.  Only the use that a balancer makes of the registers is left out: a lightweight
member writes the registers of the workload and does not act on those of others.  Its CPU time is therefore
that of the protocol and the socket alone.

Times that are compared between processes are Unix time or the machine's monotonic clock, which all processes
share.
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
from snowwick.net.pool_config import PoolConfig

MAX_HISTOGRAM_MS = 3_600_000  # one hour, the largest value that the histograms record
LOAD_AGE_SAMPLE_INTERVAL_S = 1.0


class ClientlessHost:
    """Host of a lightweight member (``snowwick.net.host.FleetHost``): no list, clients or contracts."""

    contract_stage = None

    def __init__(self, loop: Loop) -> None:
        self.loop, self.pool_config = loop, PoolConfig(lambda _: None)

    def last_reply_times(self) -> Iterable[tuple[int, float]]:
        return ()

    def connection_counts(self) -> Iterable[Mapping[int, int]]:
        return ()

    def apply_silence_report(self, message: DestinationSilent) -> None:
        """Ignored: there are no destinations."""

    def apply_pool_update(self, update: PoolUpdate) -> None:
        """Ignored: there are no destinations."""


@dataclass(slots=True)
class EntryArrivals:
    """Arrivals of one register entry at the members of this process."""

    written_ms: int  # Unix time at which its owner wrote it
    last_arrival: float  # Unix time in s at which the last of the members received it
    members: int = 0  # number of members that have received it


class ArrivalRecordingStore(Store):
    """Records the arrivals of the entries that are measured."""

    def __init__(self, name: str, epoch: int, member_host: MemberHost) -> None:
        super().__init__(name, epoch)
        self.member_host = member_host

    def merge_entry(self, entry: Entry, now: float) -> bool:
        changed = super().merge_entry(entry, now)
        if changed:
            self.member_host.record_arrival(entry)
        return changed


class LightweightMember(FleetLink):
    """A fleet member without a balancer."""

    def __init__(self, member_host: MemberHost, file: FleetFile, name: str, rng: random.Random) -> None:
        super().__init__(ClientlessHost(member_host.loop), file, name, rng)
        self.member_host = member_host
        self.node.store = ArrivalRecordingStore(name, self.node.store.owners[name].epoch, member_host)
        self.register_view = RegisterView(self.node.store, self.node.members)
        self.node.seeds = []
        self.initial_state_written = False
        self.caught_up_after_s: float | None = None  # time from its start; None until then

    def share_state(self, now: float) -> None:
        """Write the registers for a balancer's files and list once; the workload writes all others."""
        if not self.initial_state_written:
            self.initial_state_written = True
            self._write_register(registers.REVISION, "0000", Revision(self.file.digest), now)
            self._write_register(registers.LIST, "", DiscoveryState("hollow", 1, []), now)

    def handle_events(self) -> None:
        for event in self.node.take_events():
            if isinstance(event, MemberChange) and event.member.state == DEAD:
                self.member_host.deaths.add((event.member.name, event.member.incarnation))
            elif isinstance(event, CaughtUp):
                self.caught_up_after_s = event.after_s
            elif isinstance(event, DuplicateName):
                self.leave_without_notice()

    def write(self, kind: int, key: str, value: bytes | None, remaining_s: float = 0.0) -> None:
        """Write an own register now; see ``Node.write``."""
        self.node.write(kind, key, value, self.loop.clock(), remaining_s)


class WorkloadWriter(Actor):
    """Performs the writes that the workload schedules for the members of this process."""

    def __init__(self, member_host: MemberHost, workload: Workload, first: int, began: float) -> None:
        super().__init__(member_host.loop)
        self.member_host = member_host
        self.workload = workload
        self.first = first  # number of the first lightweight member of the fleet
        self.began = began

    def run(self) -> Coroutine:
        for event in schedule(self.workload):
            yield from self.sleep_until(self.began + event.at)
            self.perform(event)

    def member(self, number: int) -> LightweightMember | None:
        """The member of that number; None if it is real or in another process."""
        return self.member_host.members.get(f"m{number}") if number >= self.first else None

    def perform(self, event: Event) -> None:
        """Perform one event's writes that belong to members of this process."""
        workload, member = self.workload, self.member(event.member)
        # Lightweight members also write the changes that are scheduled for real ones, because the rate of
        # changes is that of the whole fleet.
        if event.kind is EventKind.CHANGE:
            number = self.first + event.member % (workload.members - self.first)
            member = self.member(number)
            if member is not None:
                member.write(
                    registers.REVISION,
                    change_key(workload, event.number),
                    change_value(workload, event.number),
                )
                self.member_host.changes.append(
                    (member.node.name, member.node.store.owners[member.node.name].complete_seq, time.time())
                )
        elif event.kind is EventKind.RIGHTS:
            lender = self.member(event.other)
            if member is not None:
                member.write(
                    registers.RIGHTS, "ask:scale", request_value(workload, event, f"m{event.other}", 1)
                )
            if lender is not None:
                lender.write(registers.RIGHTS, f"grant:m{event.member}:scale", grant_value(event, 1))
        elif member is None:
            return
        elif event.kind is EventKind.LOAD:
            value = registers.pack(load_value(workload, event.member, event.number, event.at))
            member.write(registers.LOAD, str(event.number), value)
        elif event.kind is EventKind.VERDICT:
            member.write(
                registers.HEALTH,
                str(event.number),
                registers.pack(registers.HANGING),
                registers.VERDICT_LIFETIME_S,
            )
        elif event.kind is EventKind.VERDICT_WITHDRAWN:
            member.write(registers.HEALTH, str(event.number), None)


class MemberStarter(Actor):
    """Starts the members of this process one after another, at an interval."""

    def __init__(self, member_host: MemberHost, interval_s: float) -> None:
        super().__init__(member_host.loop)
        self.member_host, self.interval_s = member_host, interval_s

    def run(self) -> Coroutine:
        for member in self.member_host.members.values():
            member.start()
            yield from self.sleep_until(self.loop.clock() + self.interval_s)


class LoadAgeSampler(Actor):
    """Samples the ages of the load registers that one member holds of the others."""

    def __init__(self, member_host: MemberHost) -> None:
        super().__init__(member_host.loop)
        self.member_host = member_host

    def run(self) -> Coroutine:
        while True:
            yield from self.sleep_until(self.loop.clock() + LOAD_AGE_SAMPLE_INTERVAL_S)
            member, now_ms = next(iter(self.member_host.members.values())), 1000.0 * time.time()
            for stored in member.node.store.live_entries(registers.LOAD):
                if stored.entry.owner != member.node.name:
                    age_ms = int(now_ms - timestamp_ms(stored.entry.timestamp))
                    self.member_host.load_ages_ms.record_value(min(MAX_HISTOGRAM_MS, max(1, age_ms)))


class MemberHost(Actor):
    """Owns the members of this process and executes the rig's commands.

    The command ``make`` is executed by ``on_make``, and so on; a command's parameters and the keys of its
    answer are part of the protocol with the rig.
    """

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        super().__init__(loop)
        self.sock, self.input_buffer = sock, bytearray()
        self.members: dict[str, LightweightMember] = {}
        self.first = 0
        self.workload: Workload | None = None
        self.arrivals: dict[tuple[str, int], EntryArrivals] = {}  # by the entry's owner and sequence number
        self.real: frozenset[str] = frozenset()  # names of the real members, whose loads are measured
        # Changes written here: the owner's name, the sequence number, Unix time in s
        self.changes: list[tuple[str, int, float]] = []
        self.deaths: set[tuple[str, int]] = set()  # names and incarnations that a member declared dead
        self.load_ages_ms = HdrHistogram(1, MAX_HISTOGRAM_MS, 3)

    def run(self) -> Coroutine:
        self.sock.setblocking(False)
        try:
            while True:
                yield Wait(self.sock, read=True)
                with contextlib.suppress(BlockingIOError):
                    data = self.sock.recv(1 << 16)
                    if not data:
                        break
                    self.input_buffer += data
                while (end := self.input_buffer.find(b"\n") + 1) > 0:
                    command = json.loads(self.input_buffer[:end])
                    del self.input_buffer[:end]
                    answer = getattr(self, f"on_{command.pop('do')}")(**command)
                    self.sock.setblocking(True)  # the rig reads the answer at once
                    self.sock.sendall(json.dumps(answer).encode() + b"\n")
                    self.sock.setblocking(False)
        finally:  # also after a command that fails, so that the rig detects the exit of the process
            self.loop.stop()

    def record_arrival(self, entry: Entry) -> None:
        """Record the arrival of a configuration change of any member, or of a load of a real member."""
        if (entry.kind == registers.REVISION and entry.key != "0000") or (
            entry.kind == registers.LOAD and entry.owner in self.real
        ):
            now = time.time()
            arrivals = self.arrivals.setdefault(
                (entry.owner, entry.seq), EntryArrivals(timestamp_ms(entry.timestamp), now)
            )
            arrivals.last_arrival, arrivals.members = now, arrivals.members + 1

    # -- commands ----------------------------------------------------------------------------------------

    def on_make(
        self, first: int, count: int, key: str, digest: str, period_ms: float, real: list[str]
    ) -> dict[str, Any]:
        """Create ``count`` members with a socket each, named m``first`` and on.

        ``key`` is the fleet's key in hexadecimal, ``real`` are the names of the real members.
        """
        self.real = frozenset(real)
        links = Links("127.0.0.1:0", "", [], period_ms=period_ms)
        file = FleetFile(links, Share(), (bytes.fromhex(key),), digest)
        for n in range(first, first + count):
            self.members[f"m{n}"] = LightweightMember(
                self, file, f"m{n}", random.Random(f"hollow{n}{time.time_ns()}")
            )
        return {
            "addresses": {name: member.node.members.local.address for name, member in self.members.items()},
            "memory": anonymous_memory_bytes(os.getpid()),
        }

    def on_start(self, seeds: list[str], routes: dict[str, str], apart: float) -> dict[str, Any]:
        """Start the members, one every ``apart`` seconds.

        ``routes`` maps members' own addresses to those of proxies before them.  If many members joined
        through the same seeds at one moment, the seeds would be overloaded, which is not to be measured.
        """
        for member in self.members.values():
            file = member.file
            links = Links(file.links.listen, "", seeds, period_ms=file.links.period_ms, routes=routes)
            member.file = FleetFile(links, file.share, file.keys, file.digest)
            member.node.seeds = seeds
        MemberStarter(self, apart).start()
        LoadAgeSampler(self).start()
        return {}

    def on_play(self, workload: dict[str, Any], first: int, began: float) -> dict[str, Any]:
        """Perform the workload from the monotonic time ``began``; members below ``first`` are real."""
        WorkloadWriter(self, Workload(**workload), first, began).start()
        return {}

    def on_write(self, member: str, key: str, text: str) -> dict[str, Any]:
        """Write a configuration change of a member now."""
        self.members[member].write(registers.REVISION, key, registers.pack(Revision(text)))
        return {"at": time.time()}

    def on_agree(self) -> dict[str, Any]:
        """For each member: how many it considers alive, itself included, and a hash of its registers.

        ``caught`` is the time in s from its start until it had caught up; None until then.
        """
        return {
            "alive": {name: 1 + len(member.node.members.alive()) for name, member in self.members.items()},
            "roots": {name: member.node.store.root_hash() for name, member in self.members.items()},
            "caught": {name: member.caught_up_after_s for name, member in self.members.items()},
        }

    def on_sees(self, member: str, of: str) -> dict[str, Any]:
        """What ``member`` holds of the member ``of``: state, incarnation, texts of its changes by key."""
        node = self.members[member].node
        record, owner = node.members.records.get(of), node.store.owners.get(of)
        texts = {}
        for (kind, key), stored in owner.entries.items() if owner is not None else ():
            if kind == registers.REVISION and stored.entry.value is not None:
                revision = registers.unpack(stored.entry.value, Revision)
                texts[key] = revision.fleet_digest if revision is not None else ""
        return {
            "state": record.state if record is not None else None,
            "texts": texts,
            "incarnation": record.incarnation if record is not None else None,
        }

    def on_counts(self) -> dict[str, Any]:
        """All counters since the start, summed over the members of this process.

        ``processor`` is the CPU time of this process in s, ``memory`` its anonymous resident bytes.
        ``arrivals`` are those at the members of this process, each with the Unix times in s of the write and
        of the last arrival.
        """
        counts = [member.node.counts for member in self.members.values()]
        dropped = sum((member_counts.dropped for member_counts in counts), Counter[str]())
        return {
            "at": time.monotonic(),
            "processor": time.process_time(),
            "memory": anonymous_memory_bytes(os.getpid()),
            "bytes_out": sum(member_counts.bytes_out for member_counts in counts),
            "bytes_in": sum(member_counts.bytes_in for member_counts in counts),
            "datagrams_out": sum(member_counts.frames_out for member_counts in counts),
            "datagrams_in": sum(member_counts.frames_in for member_counts in counts),
            "shed": sum(member_counts.shed for member_counts in counts),
            "dropped": dict(dropped),
            "deaths": sorted(self.deaths),
            "changes": self.changes,
            "arrivals": [
                (owner, seq, arrivals.written_ms / 1000.0, arrivals.last_arrival, arrivals.members)
                for (owner, seq), arrivals in self.arrivals.items()
            ],
            "ages": base64.b64encode(self.load_ages_ms.encode()).decode(),
        }


def anonymous_memory_bytes(pid: int) -> int:
    """A process's resident memory that is not backed by files (Anonymous in smaps_rollup, proc_pid_smaps(5)).

    File-backed pages, such as the interpreter's, are shared with all other processes, and the share that is
    attributed to each process changes as others start and exit.
    """
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Anonymous:"):
            return 1024 * int(line.split()[1])
    return 0


class FailFastLog(Log):
    """Ends the process at the first fault of an actor, which the loop would otherwise only restart.

    The rig detects the exit.
    """

    def event(self, name: str, template: str, /, **fields: Any) -> None:
        super().event(name, template, **fields)
        if name == "fault":
            raise SystemExit(1)


def main() -> None:
    """Run a member host on the socket that is standard input."""
    # The rig ends this process; an interrupt from the terminal is meant for the rig.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    loop = Loop(FailFastLog())
    member_host = MemberHost(loop, socket.socket(fileno=os.dup(sys.stdin.fileno())))
    member_host.start()
    try:
        loop.run()
    finally:
        loop.close()


if __name__ == "__main__":
    main()
