"""Runs random schedules of writes and faults on the simulated network and checks that the fleet converges.

    python -m snowwick.lab.search [--first SEED] [--seeds N] [--processes N]

Each schedule is determined by its seed.  It writes, replaces and removes registers while links lose,
duplicate, delay, corrupt and cut off datagrams, and machines are paused, killed and restarted, some with a
wrong clock.  Afterwards all machines must converge to the registers that their owners wrote last.
"""

from __future__ import annotations

import argparse
import random
import sys
from multiprocessing import Pool

from snowwick.lab.network import LinkFaults, Network

CONVERGENCE_LIMIT_S = 25.0  # after the last fault
STEP_COUNT = 12


def run_schedule(seed: int) -> str:
    """Runs the schedule of a seed; returns a description of the failure, or an empty string."""
    rng = random.Random(seed)
    machine_count = rng.choice([3, 4, 5])
    faults = LinkFaults(
        loss_probability=rng.choice([0.0, 0.05, 0.3]),
        duplicate_probability=rng.choice([0.0, 0.2]),
        corruption_probability=rng.choice([0.0, 0.1]),
        max_delay_s=rng.choice([0.01, 0.3]),
    )
    network = Network(machine_count, seed, faults=faults)
    names = list(network.machines)
    written: dict[tuple[str, str], bytes | None] = {}
    network.run(rng.uniform(0.0, 4.0))
    for step in range(STEP_COUNT):
        action, name = rng.randrange(8), rng.choice(names)
        if action <= 2 and not network.machines[name].killed:
            key = rng.choice("kl")
            value = None if rng.random() < 0.3 else b"%d" % step
            network.write(name, 1, key, value)
            written[name, key] = value
        elif action == 3:
            network.partition(rng.sample(names, rng.randrange(1, machine_count)))
        elif action == 4:
            source, target = rng.sample(names, 2)
            network.is_cut = lambda a, b, link=(source, target): (a, b) == link  # type: ignore[misc]
        elif action == 5:
            network.pause(name, rng.uniform(0.2, 6.0))
        elif action == 6 and not network.machines[name].killed:
            network.kill(name)
        elif action == 7 and network.machines[name].killed:
            network.machines[name].skew_ms = rng.choice([0.0, 600_000.0, -600_000.0])
            network.start_machine(name)
            written = {register: value for register, value in written.items() if register[0] != name}
        network.run(network.now + rng.choice([0.05, 0.5, 3.0]))
    network.heal()
    network.faults.corruption_probability, network.faults.loss_probability = (
        0.0,
        min(network.faults.loss_probability, 0.05),
    )
    for name in names:
        if network.machines[name].killed:
            network.start_machine(name)
            written = {register: value for register, value in written.items() if register[0] != name}
    network.run(network.now + CONVERGENCE_LIMIT_S, network.has_converged, 0.2)
    if not network.has_converged():
        return f"seed {seed}: not converged {CONVERGENCE_LIMIT_S} s after the last fault"
    expected = {register: value for register, value in written.items() if value is not None}
    for machine in network.running_machines():
        actual = {
            (held.entry.owner, held.entry.key): held.entry.value
            for held in machine.node.store.live_entries(1)
        }
        if actual != expected:
            return f"seed {seed}: {machine.name} holds {actual}, expected {expected}"
    return ""


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--processes", type=int, default=4)
    flags = parser.parse_args()
    with Pool(flags.processes) as pool:
        failures = [
            failure
            for failure in pool.imap_unordered(
                run_schedule, range(flags.first, flags.first + flags.seeds), 16
            )
            if failure
        ]
    for failure in failures[:20]:
        print(failure)
    print(f"{flags.seeds} seeds, {len(failures)} failed")
    sys.exit(bool(failures))


if __name__ == "__main__":
    main()
