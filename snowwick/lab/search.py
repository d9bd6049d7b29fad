"""Many courses of the simulated network, each from one seed, with all faults at once; what they must come to.

    python -m snowwick.lab.search [--first SEED] [--seeds N] [--processes N]

A course writes, replaces and removes registers while links lose, double, delay, corrupt and cut, machines
stop, crash, start anew and have wrong clocks.  After that all must agree, on what the owners wrote last.
"""

from __future__ import annotations

import argparse
import random
import sys
from multiprocessing import Pool

from snowwick.lab.network import LinkFaults, Network

SETTLE = 25.0  # s after the last fault in which all have to agree
STEPS = 12


def run_schedule(seed: int) -> str:
    """What went wrong with a seed; empty where nothing did."""
    rng = random.Random(seed)
    count = rng.choice([3, 4, 5])
    faults = LinkFaults(
        loss_probability=rng.choice([0.0, 0.05, 0.3]),
        duplicate_probability=rng.choice([0.0, 0.2]),
        corruption_probability=rng.choice([0.0, 0.1]),
        max_delay_s=rng.choice([0.01, 0.3]),
    )
    net = Network(count, seed, faults=faults)
    names = list(net.machines)
    wrote: dict[tuple[str, str], bytes | None] = {}
    net.run(rng.uniform(0.0, 4.0))
    for step in range(STEPS):
        what, name = rng.randrange(8), rng.choice(names)
        if what <= 2 and not net.machines[name].killed:
            key = rng.choice("kl")
            value = None if rng.random() < 0.3 else b"%d" % step
            net.write(name, 1, key, value)
            wrote[name, key] = value
        elif what == 3:
            net.partition(rng.sample(names, rng.randrange(1, count)))
        elif what == 4:
            one, other = rng.sample(names, 2)
            net.is_cut = lambda a, b, pair=(one, other): (a, b) == pair  # type: ignore[misc]
        elif what == 5:
            net.pause(name, rng.uniform(0.2, 6.0))
        elif what == 6 and not net.machines[name].killed:
            net.kill(name)
        elif what == 7 and net.machines[name].killed:
            net.machines[name].skew_ms = rng.choice([0.0, 600_000.0, -600_000.0])
            net.start_machine(name)
            wrote = {key: value for key, value in wrote.items() if key[0] != name}
        net.run(net.now + rng.choice([0.05, 0.5, 3.0]))
    net.heal()
    net.faults.corruption_probability, net.faults.loss_probability = (
        0.0,
        min(net.faults.loss_probability, 0.05),
    )
    for name in names:
        if net.machines[name].killed:
            net.start_machine(name)
            wrote = {key: value for key, value in wrote.items() if key[0] != name}
    net.run(net.now + SETTLE, net.has_converged, 0.2)
    if not net.has_converged():
        return f"seed {seed}: no agreement {SETTLE} s after the last fault"
    want = {key: value for key, value in wrote.items() if value is not None}
    for machine in net.running_machines():
        have = {
            (held.entry.owner, held.entry.key): held.entry.value
            for held in machine.node.store.live_entries(1)
        }
        if have != want:
            return f"seed {seed}: {machine.name} holds {have}, written was {want}"
    return ""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--processes", type=int, default=4)
    given = parser.parse_args()
    with Pool(given.processes) as pool:
        found = [
            one
            for one in pool.imap_unordered(run_schedule, range(given.first, given.first + given.seeds), 16)
            if one
        ]
    for one in found[:20]:
        print(one)
    print(f"{given.seeds} seeds, {len(found)} broken")
    sys.exit(bool(found))


if __name__ == "__main__":
    main()
