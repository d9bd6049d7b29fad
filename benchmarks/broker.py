"""Contracts between two teams on the real program, and what the contract stage costs.

python -m benchmarks.broker [--quick] --json FILE
"""

from __future__ import annotations

import gc
import io
import json
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.figures import Figure, options, report
from snowwick.broker.contract import Contracts, parse
from snowwick.lab.standins import (
    ROOT,
    ClientStatistics,
    LoadClient,
    TeamClients,
    make_settings,
    start_with_destinations,
)
from snowwick.log import Log
from snowwick.net import lines
from snowwick.net.contracts import ContractStage
from snowwick.net.decider import Decider
from snowwick.net.loop import Loop
from snowwick.net.path import Request, make_request
from snowwick.net.pool_deciders import PoolDeciders

BEFORE = "52cd155a84a0"  # the last commit without contracts, for the memory of a program without them
WITHIN = 3.0  # s: the stated reclaim time
FLEET, QUIET, LOUD = 160, 70, 30  # connections; the two guarantees
CONTRACTS = f"""
version = 1
[fleet]
connections = {FLEET}
setups_per_s = 80.0
reclaim = {{ within_s = {WITHIN}, reserve = 0.1 }}
[pools.all]
[teams.quiet]
tenants = ["quiet"]
pool = "all"
guarantee = {{ connections = {QUIET}, setups_per_s = 40.0 }}
[teams.loud]
tenants = ["loud"]
pool = "all"
guarantee = {{ connections = {LOUD}, setups_per_s = 10.0 }}
"""
STEADY = """
version = 1
[fleet]
connections = 1000
setups_per_s = 1000.0
[pools.all]
[teams.seats]
tenants = ["quiet"]
pool = "all"
ceiling = { connections = 40 }
[teams.rate]
tenants = ["loud"]
pool = "all"
ceiling = { setups_per_s = 12.0 }
"""


def play(
    address: tuple[str, int],
    crowds: list[tuple[TeamClients, int]],
    phases: list[tuple[str, float]],
    seed: int,
) -> dict[str, dict[str, ClientStatistics]]:
    """Run the crowds through phases: before each, ``quiet`` and ``loud`` are awake if its name says so.

    A phase's name is words; ``skip`` leaves its tallies out.
    """
    loop, found = Loop(Log(sink=io.StringIO())), dict[str, dict[str, ClientStatistics]]()
    for crowd, count in crowds:
        for n in range(count):
            LoadClient(loop, address, crowd, f"{crowd.tenant}-{n}", seed * 1000 + n).start()
    for name, seconds in phases:
        for crowd, _ in crowds:
            crowd.active = crowd.tenant in name.split()
            crowd.statistics = ClientStatistics(established=crowd.statistics.established)
        end = loop.clock() + seconds
        while (now := loop.clock()) < end:
            loop.run_once(0.05)
            for crowd, _ in crowds:
                crowd.statistics.mean_established += (
                    crowd.statistics.established * (loop.clock() - now) / seconds
                )
        found[name] = {crowd.tenant: crowd.statistics for crowd, _ in crowds}
    loop.close()
    return found


def two_teams(contracts: str, seconds: float, seed: int) -> dict[str, dict[str, ClientStatistics]]:
    """Quiet alone, beside the other at ten times its budget, asleep, and waking up again."""
    stack = start_with_destinations(["quiet", "loud"], contracts)
    crowds = [(TeamClients("quiet", 5.0), 60), (TeamClients("loud", 5.0), 10 * LOUD)]
    try:
        return play(
            stack.address,
            crowds,
            [
                ("skip quiet", 2.0),
                ("alone quiet", seconds),
                ("both quiet loud", 1.5 * seconds),
                ("skip loud", 4.0),
                ("idle loud", 0.5 * seconds),
                ("wakes quiet loud", WITHIN),
                ("woken quiet loud", seconds),
            ],
            seed,
        )
    finally:
        stack.stop()


def steady(seconds: float, seed: int) -> dict[str, dict[str, ClientStatistics]]:
    """Crowds that honour what they are told, in steady overload of connections, and of a rate."""
    stack = start_with_destinations(["quiet", "loud"], STEADY, max_retry_after_ms=20000.0)
    crowds = [(TeamClients("quiet", 3.0), 120), (TeamClients("loud", 1.0), 100)]
    try:
        return play(stack.address, crowds, [("skip quiet loud", 14.0), ("quiet loud", seconds)], seed)
    finally:
        stack.stop()


class Nobody:
    def post(self, message: object) -> None:
        pass


def many_teams(count: int) -> Contracts:
    """Teams that each ask for half as much again as their budget."""
    teams = "".join(
        f'[teams.t{n}]\ntenants = ["t{n}"]\npool = "all"\n'
        f"guarantee = {{ connections = 10, setups_per_s = 2.0 }}\n"
        f"ceiling = {{ connections = 20, setups_per_s = 4.0 }}\n"
        for n in range(count)
    )
    return parse(
        f"version = 1\n[fleet]\nconnections = {15 * count}\nsetups_per_s = {3.0 * count}\n"
        f"[pools.all]\n{teams}"
    )


class Cost:
    """The stage of a program with so many teams, on a driven clock."""

    def __init__(self, count: int) -> None:
        from snowwick.config import check

        self.now, self.count, self.asked = 0.0, count, 0
        config = check(
            {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": make_settings(["t0"], 600.0)}
        )
        loop = Loop(Log(sink=io.StringIO()), lambda: self.now)
        pool_deciders = PoolDeciders(
            lambda *_: Decider(loop, config.settings, 1, lambda: 0.0, lambda: None, lambda *_: None),
            lambda _: config.settings,
            dict,
        )
        self.stage = ContractStage(loop, many_teams(count), pool_deciders, 1, 0, 1, 600.0, lambda: 300.0)
        self.stage.pool_deciders.assignment = None  # every pool counts as having destinations
        self.openings = [
            lines.parse_opening(b"OPEN 1 k%d c=feed,t=t%d,d=1200,g=g\r\n" % (n, n * 7919 % count))
            for n in range(20000)
        ]
        self.standing: deque[Request] = deque()

    def run(self, requests: int) -> float:
        """us of CPU a request, its connection's end in it."""
        stage, client = self.stage, Nobody()
        asks = [make_request(client, self.openings[(self.asked + n) % 20000], True) for n in range(requests)]
        step = 1.0 / (4.5 * self.count)
        gc.collect()
        gc.freeze()  # the collector's walks over the benchmark's own lists are no cost of the stage
        began = time.process_time()
        for ask in asks:
            self.now += step
            if stage.enter(ask) is None:
                stage.on_established(ask)
                self.standing.append(ask)
                if len(self.standing) > 12 * self.count:
                    stage.on_ended(self.standing.popleft())
        took = time.process_time() - began
        self.asked += requests
        return 1e6 * took / requests


def costs(rounds: int) -> tuple[float, float]:
    """Medians of us a request at 10 and at 10,000 teams, taken in turn."""
    few, many = Cost(10), Cost(10000)
    many.run(150000)  # until as much stands as is going to
    few.run(20000)
    rows = [(few.run(4000), many.run(4000)) for _ in range(rounds)]
    return statistics.median(row[0] for row in rows), statistics.median(row[1] for row in rows)


def resident(root: Path) -> float:
    """MB that the program at ``root`` holds once it serves."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(
            json.dumps(
                {
                    "listen": "127.0.0.1:0",
                    "discovery": "127.0.0.1:1",
                    "settings": make_settings(["quiet"], 600.0),
                }
            )
        )
        with subprocess.Popen(
            [sys.executable, "-m", "snowwick", "serve"],
            cwd=root,
            text=True,
            stderr=subprocess.PIPE,
            env={"GW_CONFIG": str(path)},
        ) as process:
            assert process.stderr is not None
            process.stderr.readline()
            status = Path(f"/proc/{process.pid}/status").read_text()
            process.kill()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024.0


def memory() -> float | None:
    """MB more than before contracts, in a program without them; None where the history is not there."""
    archive = subprocess.run(["git", "archive", BEFORE], cwd=ROOT, capture_output=True, check=False)
    if archive.returncode:
        return None
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
            tar.extractall(folder, filter="data")
        rows = [resident(ROOT) - resident(Path(folder)) for _ in range(5)]
    return statistics.median(rows)


def main() -> None:
    chosen = options(__doc__ or "")
    seconds = 6.5 if chosen.quick else 30.0
    with ThreadPoolExecutor() as pool:  # each part drives processes of its own; threads only wait for them
        parts = [
            pool.submit(
                subprocess.run,
                [
                    sys.executable,
                    "-c",
                    f"import benchmarks.broker as b, json, dataclasses as d; r = {call}; "
                    "print(json.dumps({p: {t: d.asdict(v) for t, v in m.items()} for p, m in r.items()}))",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
            )
            for call in (
                f"b.two_teams(b.CONTRACTS, {seconds}, 1)",
                f"b.two_teams('', {seconds}, 1)",
                f"b.steady({3 * seconds}, 2)",
            )
        ]
        held, free, told = [
            {
                phase: {team: ClientStatistics(**tally) for team, tally in rows.items()}
                for phase, rows in json.loads(part.result().stdout).items()
            }
            for part in parts
        ]
    few, many = costs(15 if chosen.quick else 60)
    alone, both = held["alone quiet"]["quiet"], held["both quiet loud"]["quiet"]
    woken, idle = held["woken quiet loud"]["quiet"], held["idle loud"]["loud"]
    figures = {
        "quiet_service_beside_tenfold": Figure(
            both.service_fraction / alone.service_fraction, 0.95, "higher"
        ),
        "quiet_setups_beside_tenfold": Figure(
            both.setups_in_time
            / max(1, both.setups + both.refused)
            / (alone.setups_in_time / max(1, alone.setups)),
            0.95,
            "higher",
        ),
        "quiet_service_after_waking": Figure(woken.service_fraction / alone.service_fraction, 0.95, "higher"),
        "idle_room_used": Figure((idle.mean_established - LOUD) / (FLEET - LOUD), 0.9, "higher"),
        "let_in_when_told_connections": Figure(
            told["quiet loud"]["quiet"].accepted_scheduled_retries
            / max(1, told["quiet loud"]["quiet"].scheduled_retries),
            0.8,
            "higher",
        ),
        "let_in_when_told_rate": Figure(
            told["quiet loud"]["loud"].accepted_scheduled_retries
            / max(1, told["quiet loud"]["loud"].scheduled_retries),
            0.8,
            "higher",
        ),
        "stage_us_10_teams": Figure(few, 15.0, "lower"),
        "stage_10000_teams_over_10": Figure(many / few, 1.3, "lower"),
    }
    more = memory()
    if more is not None:
        figures["resident_mb_more_without_contracts"] = Figure(more, 1.0, "lower")
    beside = {
        "quiet_service_alone": alone.service_fraction,
        "quiet_service_beside": both.service_fraction,
        "quiet_service_beside_without_contracts": free["both quiet loud"]["quiet"].service_fraction,
        "quiet_service_alone_without_contracts": free["alone quiet"]["quiet"].service_fraction,
        "loud_refused": float(held["both quiet loud"]["loud"].refused),
        "loud_moved_while_quiet_wakes": float(held["wakes quiet loud"]["loud"].moved),
        "come_back_tries_connections": float(told["quiet loud"]["quiet"].scheduled_retries),
        "come_back_tries_rate": float(told["quiet loud"]["loud"].scheduled_retries),
    }
    report(figures, beside, chosen.json)


if __name__ == "__main__":
    main()
