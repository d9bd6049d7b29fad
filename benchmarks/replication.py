"""Replication between balancers: propagation, bytes, catch-up, partitions, and a server that hangs.

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

LOSS_PROBABILITY = 0.05  # of each datagram
CHANGES_PER_S = 5.0  # over the whole fleet, whatever its size
BYTES_WINDOW_S = 10.0  # in which the bytes sent are counted


def propagation(count: int, seed: int) -> tuple[float, float, float]:
    """Simulate ``count`` members that spread changes; returns three measurements.

    These are the periods until a change has reached all members, as a fraction of the number allowed; the
    bytes per second that a member sends while CHANGES_PER_S changes are made; and the number of members that
    were declared dead although they were not, under a one-way cut and pauses of machines.
    """
    network = Network(count, seed, faults=LinkFaults(loss_probability=LOSS_PROBABILITY))
    network.run(120.0, network.has_converged, 0.2)
    periods = []
    for n in range(3):
        key = f"k{n}"
        began = network.now
        network.write(f"m{n}", 1, key, b"v")
        network.run(
            began + 30.0,
            lambda key=key: all(  # type: ignore[misc]
                any((1, key) in owner.entries for owner in machine.node.store.owners.values())
                for machine in network.running_machines()
            ),
            0.02,
        )
        periods.append((network.now - began) / network.period_s)
    bytes_before, began = (
        sum(machine.node.counts.bytes_out for machine in network.running_machines()),
        network.now,
    )
    while network.now < began + BYTES_WINDOW_S:
        network.write(f"m{network.rng.randrange(count)}", 1, "k", b"%d" % network.event_serial)
        network.run(network.now + 1.0 / CHANGES_PER_S)
    bytes_per_s = (
        (sum(machine.node.counts.bytes_out for machine in network.running_machines()) - bytes_before)
        / count
        / BYTES_WINDOW_S
    )
    network.is_cut = lambda source, target: (source, target) == ("m1", "m2")
    end = network.now + (20.0 if count > 100 else 60.0)
    while network.now < end:
        for _ in range(math.ceil(count / 50)):
            network.pause(f"m{network.rng.randrange(count)}", 2.0)
        network.run(network.now + 10.0)
    false_deaths = {
        event.member.name
        for machine in network.running_machines()
        for _, event in machine.node_events
        if isinstance(event, MemberChange) and event.member.state >= DEAD
    }
    return max(periods) / (4 * math.ceil(math.log2(count))), bytes_per_s, float(len(false_deaths))


def catch_up(entries: int, changed_fraction: float) -> float:
    """Bytes that two nodes exchange until the one that missed the changes has them.

    Returned as a fraction of the allowed bytes: twice those of the changed entries, and 64 kB.
    """
    now = 0.0
    writer, reader = (
        Node(name, name, [FLEET_KEY], ["a"], random.Random(n), lambda: 1e12 + 1000.0 * now)
        for n, name in enumerate("ab", 1)
    )
    for node in (writer, reader):
        node.store.max_entries = 10 * entries
        node.store.max_bytes = 1 << 30
    nodes = {"a": writer, "b": reader}

    def run_until_equal(end: float) -> None:
        nonlocal now
        while not writer.has_same_registers(reader) and now < end:
            for node in nodes.values():
                node.tick(now)
            while any(node.outbox for node in nodes.values()):
                for node in nodes.values():
                    for target, datagram in node.take_datagrams():
                        nodes[target].receive(datagram, now)
            now += 0.05

    for n in range(entries):
        writer.write(1, f"key{n:06}", b"value%06d" % n, now)
    writer.store.gossip_queue.clear()  # so that the reader gets the entries by comparison only
    run_until_equal(600.0)
    assert writer.has_same_registers(reader)
    changed_count = int(entries * changed_fraction)
    bytes_before = 0
    for n in range(changed_count):
        writer.write(1, f"key{n:06}", b"other%06d" % n, now)
    writer.store.gossip_queue.clear()
    changed_bytes = sum(
        writer.store.owners["a"].entries[1, f"key{n:06}"].size_bytes for n in range(changed_count)
    )
    bytes_before = sum(node.counts.bytes_out for node in nodes.values())
    run_until_equal(now + 600.0)
    assert writer.has_same_registers(reader)
    sent_bytes = sum(node.counts.bytes_out for node in nodes.values()) - bytes_before
    return sent_bytes / (2.0 * changed_bytes + 65536.0)


def run_partition(folder: Path, count: int, cut_s: float) -> tuple[float, float, float]:
    """Cut a fleet of real processes into halves for ``cut_s`` and heal it; returns three measurements.

    These are the seconds from the end of the cut until all members agree; the fraction of a core that an idle
    balancer uses; and the resident memory in MB that it has more than a balancer without a fleet.
    """
    with Fleet(folder, count) as fleet:
        fleet.start()
        fleet.wait_until(fleet.all_joined)
        resident_bytes = [_resident_bytes(fleet, n) for n in range(count)]
        cpu_before_s, began = [_cpu_s(fleet, n) for n in range(count)], time.monotonic()
        fleet.run_for(5.0)
        idle_cores = statistics.median(
            (_cpu_s(fleet, n) - cpu_before_s[n]) / (time.monotonic() - began) for n in range(count)
        )
        fleet.partition(range(count // 2))
        for n in range(count):
            fleet.connect_client(n)
        fleet.run_for(cut_s)
        fleet.heal()
        agreement_s = fleet.wait_until(
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
        return (
            agreement_s,
            idle_cores,
            (statistics.median(resident_bytes) - _resident_bytes(alone, 0)) / 1e6,
        )


def _process_id(fleet: Fleet, balancer: int) -> int:
    process = fleet.balancers[balancer].process
    assert process is not None
    return process.pid


def _cpu_s(fleet: Fleet, balancer: int) -> float:
    """CPU time that a balancer has used, as the scheduler counts it."""
    return int(Path(f"/proc/{_process_id(fleet, balancer)}/schedstat").read_text().split()[0]) / 1e9


def _resident_bytes(fleet: Fleet, balancer: int) -> float:
    status = Path(f"/proc/{_process_id(fleet, balancer)}/status").read_text()
    return 1024.0 * int(status.split("VmRSS:")[1].split()[0])


def failed_route_steps(folder: Path, count: int, with_fleet: bool) -> int:
    """Number of route steps that fail at a server that hangs, while 60 clients connect within 6 s."""
    folder.mkdir()
    with Fleet(folder, count, destination_count=4, fleet_enabled=with_fleet, deadline_ms=600.0) as fleet:
        fleet.start()
        if with_fleet:
            fleet.wait_until(fleet.all_joined)
        fleet.run_for(1.0)
        fleet.destinations[0].mode = "hang"
        for n in range(60):
            fleet.connect_client(n % count, key=f"c{n}", keep_s=1.0)
            fleet.run_for(0.1)
        fleet.wait_for_answers()
        return len(fleet.destinations[0].opening_times)


def main() -> None:
    options = parse_options(__doc__ or "")
    sizes = [5, 50, 100] if options.quick else [5, 50, 200, 1000]
    rows = [propagation(count, count) for count in sizes]
    entries = 10_000 if options.quick else 100_000
    catch_up_fractions = [catch_up(entries, fraction) for fraction in (0.001, 0.1, 1.0)]
    with tempfile.TemporaryDirectory() as folder:
        for name in ("halves", "lost"):
            (Path(folder) / name).mkdir()
        count, cut_s = (4, 3.0) if options.quick else (8, 10.0)
        agreement_s, idle_cores, fleet_mb = run_partition(Path(folder) / "halves", count, cut_s)
        failed_with_fleet = failed_route_steps(Path(folder) / "lost" / "with", count, True)
        failed_without_fleet = failed_route_steps(Path(folder) / "lost" / "without", count, False)
    report(
        {
            "everywhere, over 4 ceil(log2 N) periods": Figure(max(row[0] for row in rows), 1.0, "lower"),
            f"bytes a second, {sizes[-1]} over {sizes[-2]}": Figure(rows[-1][1] / rows[-2][1], 1.6, "lower"),
            "false deaths": Figure(sum(row[2] for row in rows), 0.0, "lower"),
            "catch-up, over 2 times the change and 64 kB": Figure(max(catch_up_fractions), 1.0, "lower"),
            "agreed after a cut has healed, s": Figure(agreement_s, 2.0, "lower"),
            "idle, part of a core": Figure(idle_cores, 0.01, "lower"),
            "memory, MB": Figure(fleet_mb, 6.0, "lower"),
            "lost at a hanging server, over without": Figure(
                failed_with_fleet / max(1, failed_without_fleet), 0.3, "lower"
            ),
        },
        {
            **{f"bytes a second at {count}": row[1] for count, row in zip(sizes, rows, strict=True)},
            "lost at a hanging server, with": float(failed_with_fleet),
            "without": float(failed_without_fleet),
        },
        options.json,
    )


if __name__ == "__main__":
    main()
