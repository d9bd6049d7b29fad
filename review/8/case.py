"""Opening lines that come in pieces while their balancer is restarted as planned: each needs an answer."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from stage import Broken, CannotRun, Stage, ask_in_pieces, play, request_class, settings

WAIT_MS = 600  # also the deadline of the class
PIECES = 3
PAUSE_S = 0.25  # between two pieces of a line
ARRIVALS_S = 0.35  # after SIGTERM new connections come for 0.2 to 0.4 s
CLIENTS = 8  # in each round, evenly over that time
ROUNDS = 4
KILL_S = WAIT_MS / 1000.0 + 0.7  # SIGKILL comes no sooner after SIGTERM


async def scenario(stage: Stage) -> str:
    await stage.start_servers(6)
    setup = settings(classes=[request_class(deadline=float(WAIT_MS))])
    await stage.start_balancers(2, setup, 512)
    await asyncio.sleep(2.0)  # the first calls of discovery
    lost: list[str] = []
    for number in range(ROUNDS):
        balancer = stage.balancers[number % 2]
        process = balancer.process
        assert process is not None
        if stage.trouble:
            balancer.signal(signal.SIGTERM)
        started_at = time.monotonic()
        clients = []
        for client in range(CLIENTS):
            await asyncio.sleep(started_at + ARRIVALS_S * (client + 1) / CLIENTS - time.monotonic())
            clients.append(asyncio.create_task(ask_in_pieces(stage, balancer.port, WAIT_MS, PIECES, PAUSE_S)))
        if stage.trouble:
            while process.poll() is None and time.monotonic() < started_at + KILL_S:
                await asyncio.sleep(0.01)
            if process.poll() is None:
                balancer.signal(signal.SIGKILL)
            process.wait()
            stage.record(f"{balancer.name}: ended {time.monotonic() - started_at:.3f} s after SIGTERM")
        lost += [request_id for request_id, answer in await asyncio.gather(*clients) if answer == b""]
        if stage.trouble:
            if process.returncode != 0:
                raise CannotRun(f"the balancer ended with {process.returncode}")
            await balancer.start()
        await asyncio.sleep(2.0)
    if lost:
        raise Broken(
            f"{len(lost)} of {ROUNDS * CLIENTS} requests, each written to its last byte on an accepted "
            f"connection, got an orderly end without an answer: {', '.join(lost)}"
        )
    return f"{ROUNDS * CLIENTS} requests in pieces, none without an answer"


play(Path(__file__).resolve().parent / "record.txt", scenario)
