"""Replication among balancers: how fast and at what cost a change spreads, catch-up, cuts, a hanging server.

python -m benchmarks.replication [--quick] --json FILE
"""

from __future__ import annotations

import math
import random
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.figures import Figure, parse_options, report
from snowwick.fleet.members import DEAD, MemberChange
from snowwick.fleet.node import Node
from snowwick.lab.network import FLEET_KEY, LinkFaults, Network
from snowwick.lab.rig import Fleet

LOSS = 0.05
CHANGES = 5.0  # a second over the whole fleet, whatever its size
WATCHED = 10.0  # s in which bytes are counted


def spread(count: int, seed: int) -> tuple[float, float, float]:
    """Simulated: periods until a change is everywhere, over what is allowed; bytes a member sends a second
    with the same changes; members taken for dead that were not, with a one-way cut and stopped processes.
    """
    net = Network(count, seed, faults=LinkFaults(loss_probability=LOSS))
    net.run(120.0, net.has_converged, 0.2)
    taken = []
    for n in range(3):
        key, began = f"k{n}", net.now
        net.write(f"m{n}", 1, key, b"v")
        net.run(
            began + 30.0,
            lambda key=key: all(  # type: ignore[misc]
                any((1, key) in owner.entries for owner in one.node.store.owners.values())
                for one in net.running_machines()
            ),
            0.02,
        )
        taken.append((net.now - began) / net.period_s)
    before, began = sum(one.node.counts.bytes_out for one in net.running_machines()), net.now
    while net.now < began + WATCHED:
        net.write(f"m{net.rng.randrange(count)}", 1, "k", b"%d" % net.event_serial)
        net.run(net.now + 1.0 / CHANGES)
    sent = (sum(one.node.counts.bytes_out for one in net.running_machines()) - before) / count / WATCHED
    net.is_cut = lambda one, other: (one, other) == ("m1", "m2")
    end = net.now + (20.0 if count > 100 else 60.0)
    while net.now < end:
        for _ in range(math.ceil(count / 50)):
            net.pause(f"m{net.rng.randrange(count)}", 2.0)
        net.run(net.now + 10.0)
    deaths = {
        news.member.name
        for one in net.running_machines()
        for _, news in one.node_events
        if isinstance(news, MemberChange) and news.member.state >= DEAD
    }
    return max(taken) / (4 * math.ceil(math.log2(count))), sent, float(len(deaths))


def catch_up(entries: int, part: float) -> float:
    """Bytes that two nodes exchange until one that was away has the changes, over 2 times those and 64 kB."""
    now = 0.0
    one, other = (
        Node(name, name, [FLEET_KEY], ["a"], random.Random(n), lambda: 1e12 + 1000.0 * now)
        for n, name in enumerate("ab", 1)
    )
    for node in (one, other):
        node.store.max_entries, node.store.max_bytes = 10 * entries, 1 << 30
    nodes = {"a": one, "b": other}

    def play(enough: float) -> None:
        nonlocal now
        while not one.has_same_registers(other) and now < enough:
            for node in nodes.values():
                node.tick(now)
            while any(node.outbox for node in nodes.values()):
                for node in nodes.values():
                    for to, datagram in node.take_datagrams():
                        nodes[to].receive(datagram, now)
            now += 0.05

    for n in range(entries):
        one.write(1, f"key{n:06}", b"value%06d" % n, now)
    one.store.gossip_queue.clear()
    play(600.0)
    assert one.has_same_registers(other)
    changed, before = int(entries * part), 0
    for n in range(changed):
        one.write(1, f"key{n:06}", b"other%06d" % n, now)
    one.store.gossip_queue.clear()
    bytes_changed = sum(one.store.owners["a"].entries[1, f"key{n:06}"].size_bytes for n in range(changed))
    before = sum(node.counts.bytes_out for node in nodes.values())
    play(now + 600.0)
    assert one.has_same_registers(other)
    sent = sum(node.counts.bytes_out for node in nodes.values()) - before
    return sent / (2.0 * bytes_changed + 65536.0)


def healed(folder: Path, count: int, cut: float) -> tuple[float, float, float]:
    """Real processes: s from the end of a cut until all agree, part of a core that an idle one takes, and how
    much more memory it has than one without a fleet."""
    with Fleet(folder, count) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        memory = [_memory(fleet, n) for n in range(count)]
        cpu, began = [_cpu(fleet, n) for n in range(count)], time.monotonic()
        fleet.run_for(5.0)
        idle = statistics.median((_cpu(fleet, n) - cpu[n]) / (time.monotonic() - began) for n in range(count))
        fleet.partition(range(count // 2))
        for n in range(count):
            fleet.connect_client(n)
        fleet.run_for(cut)
        fleet.heal()
        took = fleet.wait_until(
            lambda: (
                fleet.all_joined()
                and all(fleet.status(n)["held_elsewhere"] == count - 1 for n in range(count))
            )
        )
        fleet.wait_for_answers()
    (folder / "without").mkdir()
    with Fleet(folder / "without", 1, fleet_enabled=False) as alone:
        alone.start()
        alone.run_for(1.0)
        return took, idle, (statistics.median(memory) - _memory(alone, 0)) / 1e6


def _pid(fleet: Fleet, n: int) -> int:
    process = fleet.balancers[n].process
    assert process is not None
    return process.pid


def _cpu(fleet: Fleet, n: int) -> float:
    return int(Path(f"/proc/{_pid(fleet, n)}/schedstat").read_text().split()[0]) / 1e9


def _memory(fleet: Fleet, n: int) -> float:
    text = Path(f"/proc/{_pid(fleet, n)}/status").read_text()
    return 1024.0 * int(text.split("VmRSS:")[1].split()[0])


def lost(folder: Path, count: int, talk: bool) -> int:
    """Route steps that come to nothing at a hanging server until all have left it."""
    folder.mkdir()
    with Fleet(folder, count, destination_count=4, fleet_enabled=talk, deadline_ms=600.0) as fleet:
        fleet.start()
        if talk:
            fleet.wait_until(fleet.all_joined)
        fleet.run_for(1.0)
        fleet.destinations[0].mode = "hang"
        for turn in range(60):
            fleet.connect_client(turn % count, key=f"c{turn}", keep_s=1.0)
            fleet.run_for(0.1)
        fleet.wait_for_answers()
        return len(fleet.destinations[0].opening_times)


def main() -> None:
    options = parse_options(__doc__ or "")
    sizes = [5, 50, 100] if options.quick else [5, 50, 200, 1000]
    rows = [spread(count, count) for count in sizes]
    entries = 10_000 if options.quick else 100_000
    caught = [catch_up(entries, part) for part in (0.001, 0.1, 1.0)]
    with tempfile.TemporaryDirectory() as folder:
        for name in ("halves", "lost"):
            (Path(folder) / name).mkdir()
        count, cut = (4, 3.0) if options.quick else (8, 10.0)
        took, idle, more = healed(Path(folder) / "halves", count, cut)
        with_it = lost(Path(folder) / "lost" / "with", count, True)
        without = lost(Path(folder) / "lost" / "without", count, False)
    report(
        {
            "everywhere, over 4 ceil(log2 N) periods": Figure(max(row[0] for row in rows), 1.0, "lower"),
            f"bytes a second, {sizes[-1]} over {sizes[-2]}": Figure(rows[-1][1] / rows[-2][1], 1.6, "lower"),
            "false deaths": Figure(sum(row[2] for row in rows), 0.0, "lower"),
            "catch-up, over 2 times the change and 64 kB": Figure(max(caught), 1.0, "lower"),
            "agreed after a cut has healed, s": Figure(took, 2.0, "lower"),
            "idle, part of a core": Figure(idle, 0.01, "lower"),
            "memory, MB": Figure(more, 6.0, "lower"),
            "lost at a hanging server, over without": Figure(with_it / max(1, without), 0.3, "lower"),
        },
        {
            **{f"bytes a second at {count}": row[1] for count, row in zip(sizes, rows, strict=True)},
            "lost at a hanging server, with": float(with_it),
            "without": float(without),
        },
        options.json,
    )


if __name__ == "__main__":
    main()
