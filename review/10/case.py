"""Repeats of requests with an idempotency key by a balancer that is held up for up to 0.15 s."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import struct
import time
from pathlib import Path

from stage import TOLERANCE_S, Broken, Server, Stage, play, request_class, settings

WINDOW_S = 0.6  # how long the servers remember a key, from the first attempt on
RESET_S = 0.514  # after an opening line came, its connection is reset
HOLD_S = 0.14  # the balancer is held up for this long; 0.15 s are allowed
MAX_HOLD_S = 0.15
REQUESTS = 10  # in each round, of one group and so at one server
ROUNDS = 40
WAIT_MS = 1200


class KeyedServer(Server):
    """A server that applies a request once for each key that it, or another server, does not remember.

    It resets the first attempt of a request whose key says so, after it has been applied.
    """

    first_seen: dict[str, float]  # by key, shared by all servers: when its first attempt came
    applied_twice: list[tuple[str, float]]
    repeats: list[float]
    reset_done: asyncio.Event
    awake_at: float  # when the stand-ins were last seen to run; any delay of their own is allowed on top

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = await reader.readline()
        now = time.monotonic()
        words = line.decode("ascii", "replace").split()
        if len(words) != 4:
            writer.close()
            return
        request_id, key = words[1], words[2]
        self.stage.record(f"server {self.name}: {line.decode().strip()}")
        first = self.first_seen.setdefault(key, now)
        if first != now:
            self.repeats.append(now - first)
            late = min(now, KeyedServer.awake_at) - first > WINDOW_S + TOLERANCE_S
            self.stage.record(
                f"server {self.name}: {request_id} is a repeat {now - first:.4f} s after the first attempt: "
                + ("key not remembered, applied again" if late else "dropped as a repeat")
            )
            if late:
                self.applied_twice.append((request_id, now - first))
        elif key.startswith("reset-"):
            await asyncio.sleep(now + RESET_S - time.monotonic())
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            self.stage.record(
                f"server {self.name}: {request_id} reset {time.monotonic() - now:.4f} s after it came"
            )
            KeyedServer.reset_done.set()
            return
        writer.write(f"UP {self.name}-{request_id}\r\n".encode())
        while line := await reader.readline():
            writer.write(line)
        writer.close()


async def stay_awake() -> None:
    """Note every millisecond that the stand-ins run."""
    while True:
        KeyedServer.awake_at = time.monotonic()
        await asyncio.sleep(0.001)


async def ask(stage: Stage, port: int, key: str, group: str, answers: dict[str, int]) -> None:
    request_id, line = stage.opening(WAIT_MS, key, group)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line)
    answer = (await reader.readline()).decode().strip()
    stage.record(f"client {request_id}: got {answer!r}")
    word = answer.split(" ")[0] or "end"
    answers[word] = answers.get(word, 0) + 1
    await asyncio.sleep(0.2)
    writer.close()


async def ordinary(stage: Stage, port: int) -> None:
    """Ordinary requests beside the ones that are reset: 30 a second, all served."""
    answers: dict[str, int] = {}
    tasks = set()
    number = 0
    while True:
        number += 1
        key = f"plain-{number}"
        task = asyncio.create_task(ask(stage, port, key, f"route-{number % 40}", answers))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / 30.0)


async def scenario(stage: Stage) -> str:
    random.seed(1)
    KeyedServer.first_seen, KeyedServer.applied_twice, KeyedServer.repeats = {}, [], []
    KeyedServer.reset_done, KeyedServer.awake_at = asyncio.Event(), time.monotonic()
    for number in range(8):
        server = KeyedServer(stage, f"s-{0x5BE2A07C + 7919 * number:08x}")
        await server.listen()
        stage.servers.append(server)
    await stage.start_servers(0)
    setup = settings(
        classes=[request_class(effect="idempotency_key", keyScope="all", memorySpan=1000.0 * WINDOW_S)],
        limits={"connectTimeout": 75.0, "mostTries": 4, "maxRetryAfter": 1000.0},
        familyInfo={"tenantQuotaConnections": []},
        tick=2.0,
    )
    await stage.start_balancers(1, setup, 512)
    balancer = stage.balancers[0]
    await asyncio.sleep(2.0)  # the first call of discovery
    background = [
        asyncio.create_task(ordinary(stage, balancer.port)),
        asyncio.create_task(stay_awake()),
    ]
    await asyncio.sleep(1.0)
    answers: dict[str, int] = {}
    holds = 0
    for number in range(ROUNDS):
        KeyedServer.reset_done.clear()
        clients = [
            asyncio.create_task(
                ask(stage, balancer.port, f"reset-{number}-{client}", f"round-{number}", answers)
            )
            for client in range(REQUESTS)
        ]
        await KeyedServer.reset_done.wait()
        if stage.trouble:
            assert balancer.process is not None
            await asyncio.sleep(random.uniform(0.0, 0.003))
            balancer.process.send_signal(signal.SIGSTOP)
            stopped_at = time.monotonic()
            await asyncio.sleep(HOLD_S)
            balancer.process.send_signal(signal.SIGCONT)
            held_s = time.monotonic() - stopped_at
            stage.record(f"{balancer.name}: held up for {held_s:.4f} s")
            if held_s > MAX_HOLD_S:
                break
            holds += 1
        await asyncio.gather(*clients)
        await asyncio.sleep(0.3)
        balancer.check_alive()
    for task in background:
        task.cancel()
    summary = (
        f"{len(KeyedServer.repeats)} repeats in {ROUNDS} rounds, held up {holds} times, "
        f"the latest {max(KeyedServer.repeats, default=0.0):.3f} s after its first attempt; answers {answers}"
    )
    stage.record(summary)
    if KeyedServer.applied_twice:
        raise Broken(f"{len(KeyedServer.applied_twice)} requests took effect twice; {summary}")
    return summary


play(Path(__file__).resolve().parent / "record.txt", scenario)
