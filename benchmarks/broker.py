"""Service of two teams under contracts in the real program, and the CPU and memory cost of contracts.

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

from benchmarks.figures import Figure, parse_options, report
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

COMMIT_BEFORE_CONTRACTS = "52cd155a84a0"  # the last one without contracts; memory is compared with it
RECLAIM_S = 3.0  # time limit of the contracts for a team to get its guarantee back
FLEET_CONNECTIONS = 160
QUIET_GUARANTEE_CONNECTIONS = 70
LOUD_GUARANTEE_CONNECTIONS = 30
GUARANTEE_CONTRACTS = f"""
version = 1
[fleet]
connections = {FLEET_CONNECTIONS}
setups_per_s = 80.0
reclaim = {{ within_s = {RECLAIM_S}, reserve = 0.1 }}
[pools.all]
[teams.quiet]
tenants = ["quiet"]
pool = "all"
guarantee = {{ connections = {QUIET_GUARANTEE_CONNECTIONS}, setups_per_s = 40.0 }}
[teams.loud]
tenants = ["loud"]
pool = "all"
guarantee = {{ connections = {LOUD_GUARANTEE_CONNECTIONS}, setups_per_s = 10.0 }}
"""
CEILING_CONTRACTS = """
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


def run_phases(
    address: tuple[str, int],
    teams: list[tuple[TeamClients, int]],
    phases: list[tuple[str, float]],
    seed: int,
) -> dict[str, dict[str, ClientStatistics]]:
    """Run clients against a balancer; returns the statistics by phase and tenant.

    ``teams`` holds each team with its number of clients, ``phases`` each phase's name and length in seconds.
    A tenant's clients are active in the phases whose name contains the tenant as a word.  The figures do not
    use phases whose name contains ``skip``, in which the program only reaches a steady state.
    """
    loop, statistics_by_phase = Loop(Log(sink=io.StringIO())), dict[str, dict[str, ClientStatistics]]()
    for team, count in teams:
        for n in range(count):
            LoadClient(loop, address, team, f"{team.tenant}-{n}", seed * 1000 + n).start()
    for name, seconds in phases:
        for team, _ in teams:
            team.active = team.tenant in name.split()
            team.statistics = ClientStatistics(established=team.statistics.established)
        end = loop.clock() + seconds
        while (now := loop.clock()) < end:
            loop.run_once(0.05)
            for team, _ in teams:
                team.statistics.mean_established += (
                    team.statistics.established * (loop.clock() - now) / seconds
                )
        statistics_by_phase[name] = {team.tenant: team.statistics for team, _ in teams}
    loop.close()
    return statistics_by_phase


def run_two_teams(contracts: str, seconds: float, seed: int) -> dict[str, dict[str, ClientStatistics]]:
    """Run the quiet team alone, then beside the loud one, then idle, and then active again.

    The loud team has ten times as many clients as its guarantee has connections.
    """
    program = start_with_destinations(["quiet", "loud"], contracts)
    teams = [(TeamClients("quiet", 5.0), 60), (TeamClients("loud", 5.0), 10 * LOUD_GUARANTEE_CONNECTIONS)]
    try:
        return run_phases(
            program.address,
            teams,
            [
                ("skip quiet", 2.0),
                ("alone quiet", seconds),
                ("both quiet loud", 1.5 * seconds),
                ("skip loud", 4.0),
                ("idle loud", 0.5 * seconds),
                ("wakes quiet loud", RECLAIM_S),
                ("woken quiet loud", seconds),
            ],
            seed,
        )
    finally:
        program.stop()


def run_steady_overload(seconds: float, seed: int) -> dict[str, dict[str, ClientStatistics]]:
    """Run one team beyond its ceiling of connections and one beyond its ceiling of setups per second.

    The clients retry at the time that the busy reply states.
    """
    program = start_with_destinations(["quiet", "loud"], CEILING_CONTRACTS, max_retry_after_ms=20000.0)
    teams = [(TeamClients("quiet", 3.0), 120), (TeamClients("loud", 1.0), 100)]
    try:
        return run_phases(program.address, teams, [("skip quiet loud", 14.0), ("quiet loud", seconds)], seed)
    finally:
        program.stop()


class DiscardingClient:
    """A client that drops every message posted to it."""

    def post(self, message: object) -> None:
        pass


def many_team_contracts(count: int) -> Contracts:
    """Contracts of ``count`` equal teams; guarantees add up to two thirds of the fleet's limits."""
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


class StageBenchmark:
    """The contract stage of a program with ``team_count`` teams, on a simulated clock.

    Requests come at one and a half times the rate of setups that the fleet allows.
    """

    def __init__(self, team_count: int) -> None:
        from snowwick.config import check

        self.now, self.team_count, self.requests_made = 0.0, team_count, 0
        config = check(
            {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": make_settings(["t0"], 600.0)}
        )
        loop = Loop(Log(sink=io.StringIO()), lambda: self.now)
        pool_deciders = PoolDeciders(
            lambda *_: Decider(loop, config.settings, 1, lambda: 0.0, lambda: None, lambda *_: None),
            lambda _: config.settings,
            dict,
        )
        self.stage = ContractStage(
            loop, many_team_contracts(team_count), pool_deciders, 1, 0, 1, 600.0, lambda: 300.0
        )
        self.stage.pool_deciders.assignment = None  # every pool counts as having destinations
        self.openings = [
            lines.parse_opening(b"OPEN 1 k%d c=feed,t=t%d,d=1200,g=g\r\n" % (n, n * 7919 % team_count))
            for n in range(20000)
        ]
        self.established: deque[Request] = deque()  # the oldest first

    def run(self, count: int) -> float:
        """Pass ``count`` requests through the stage; returns the CPU time per request in microseconds.

        It includes the end of older connections.
        """
        stage, client = self.stage, DiscardingClient()
        requests = [
            make_request(client, self.openings[(self.requests_made + n) % 20000], True) for n in range(count)
        ]
        interval_s = 1.0 / (4.5 * self.team_count)
        gc.collect()
        gc.freeze()  # so that the stage's cost does not include collections of the benchmark's own lists
        began = time.process_time()
        for request in requests:
            self.now += interval_s
            if stage.enter(request) is None:
                stage.on_established(request)
                self.established.append(request)
                if len(self.established) > 12 * self.team_count:
                    stage.on_ended(self.established.popleft())
        cpu_s = time.process_time() - began
        self.requests_made += count
        return 1e6 * cpu_s / count


def stage_costs_us(rounds: int) -> tuple[float, float]:
    """Median CPU time per request in microseconds with 10 and with 10,000 teams, measured alternately."""
    few_teams, many_teams = StageBenchmark(10), StageBenchmark(10000)
    many_teams.run(150000)  # until the number of established connections is steady
    few_teams.run(20000)
    rows = [(few_teams.run(4000), many_teams.run(4000)) for _ in range(rounds)]
    return statistics.median(row[0] for row in rows), statistics.median(row[1] for row in rows)


def resident_mb(root: Path) -> float:
    """Resident memory in MB of the program in the source tree ``root``, once it serves."""
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


def extra_resident_mb() -> float | None:
    """Resident memory in MB that the program without contracts has more than before contracts were added.

    None if the older commit is not available.
    """
    archive = subprocess.run(
        ["git", "archive", COMMIT_BEFORE_CONTRACTS], cwd=ROOT, capture_output=True, check=False
    )
    if archive.returncode:
        return None
    with tempfile.TemporaryDirectory() as folder:
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar_file:
            tar_file.extractall(folder, filter="data")
        differences = [resident_mb(ROOT) - resident_mb(Path(folder)) for _ in range(5)]
    return statistics.median(differences)


def main() -> None:
    options = parse_options(__doc__ or "")
    seconds = 6.5 if options.quick else 30.0
    with ThreadPoolExecutor() as executor:  # the threads only wait; each run is a process of its own
        futures = [
            executor.submit(
                subprocess.run,
                [
                    sys.executable,
                    "-c",
                    f"from benchmarks import broker; import dataclasses, json; phases = {call}; "
                    "print(json.dumps({phase: {team: dataclasses.asdict(row) for team, row in rows.items()} "
                    "for phase, rows in phases.items()}))",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=True,
            )
            for call in (
                f"broker.run_two_teams(broker.GUARANTEE_CONTRACTS, {seconds}, 1)",
                f"broker.run_two_teams('', {seconds}, 1)",
                f"broker.run_steady_overload({3 * seconds}, 2)",
            )
        ]
        with_contracts, without_contracts, overload = [
            {
                phase: {team: ClientStatistics(**fields) for team, fields in rows.items()}
                for phase, rows in json.loads(future.result().stdout).items()
            }
            for future in futures
        ]
    cost_10_us, cost_10000_us = stage_costs_us(15 if options.quick else 60)
    alone = with_contracts["alone quiet"]["quiet"]
    both = with_contracts["both quiet loud"]["quiet"]
    woken = with_contracts["woken quiet loud"]["quiet"]
    idle = with_contracts["idle loud"]["loud"]
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
        "idle_room_used": Figure(
            (idle.mean_established - LOUD_GUARANTEE_CONNECTIONS)
            / (FLEET_CONNECTIONS - LOUD_GUARANTEE_CONNECTIONS),
            0.9,
            "higher",
        ),
        "let_in_when_told_connections": Figure(
            overload["quiet loud"]["quiet"].accepted_scheduled_retries
            / max(1, overload["quiet loud"]["quiet"].scheduled_retries),
            0.8,
            "higher",
        ),
        "let_in_when_told_rate": Figure(
            overload["quiet loud"]["loud"].accepted_scheduled_retries
            / max(1, overload["quiet loud"]["loud"].scheduled_retries),
            0.8,
            "higher",
        ),
        "stage_us_10_teams": Figure(cost_10_us, 15.0, "lower"),
        "stage_10000_teams_over_10": Figure(cost_10000_us / cost_10_us, 1.3, "lower"),
    }
    extra_mb = extra_resident_mb()
    if extra_mb is not None:
        figures["resident_mb_more_without_contracts"] = Figure(extra_mb, 1.0, "lower")
    values_without_bound = {
        "quiet_service_alone": alone.service_fraction,
        "quiet_service_beside": both.service_fraction,
        "quiet_service_beside_without_contracts": without_contracts["both quiet loud"][
            "quiet"
        ].service_fraction,
        "quiet_service_alone_without_contracts": without_contracts["alone quiet"]["quiet"].service_fraction,
        "loud_refused": float(with_contracts["both quiet loud"]["loud"].refused),
        "loud_moved_while_quiet_wakes": float(with_contracts["wakes quiet loud"]["loud"].moved),
        "come_back_tries_connections": float(overload["quiet loud"]["quiet"].scheduled_retries),
        "come_back_tries_rate": float(overload["quiet loud"]["loud"].scheduled_retries),
    }
    report(figures, values_without_bound, options.json)


if __name__ == "__main__":
    main()
