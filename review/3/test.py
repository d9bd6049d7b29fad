"""A key that holds `,d=N,`: the balancer changes the key, so servers do not recognise the repeat."""

from __future__ import annotations

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))

from platform_standins import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    TROUBLE,
    Discovery,
    Program,
    Record,
    close_quietly,
    listen,
    main,
    now,
    reset,
)

SEED = 1
REQUESTS = 120
DEADLINE_MS = 1200
RESET_OF_TEN = (0, 5)  # of ten requests, these have their first attempt reset: one has each kind of key
MEMORY_S = 5.0  # how long the servers together remember a key
SETTINGS = {
    "classes": [
        {
            "name": "lectura-tanque",
            "aim": 300.0,
            "deadline": float(DEADLINE_MS),
            "effect": "idempotency_key",
            "keyScope": "all",
            "memorySpan": 1000.0 * MEMORY_S,
            "points": 1.0,
            "stream": True,
        }
    ],
    "clients": {"marksRetry": True},
    "family": "conn",
    "familyInfo": {"groups": True, "messageAim": [50.0], "mode": "proxy"},
    "invariants": {
        "answerSlack": 16.0,
        "askEvery": 10000.0,
        "cold": 8800.0,
        "coldFrom": 0.3,
        "drainGrace": 3000.0,
    },
    "limits": {
        "connectTimeout": 250.0,
        "maxRetryAfter": 600.0,
        "mostTries": 3,
        "probes": False,
        "retryAfter": True,
        "secondCopies": False,
    },
    "nInstances": 2,
    "registryMode": "on_request",
    "report": {"fields": [], "how": "off"},
    "selfIndex": 0,
    "tenants": [{"name": "canelones", "share": 1.0}],
    "tick": 4.0,
    "weights": "nominal",
    "zone": "la-teja",
    "zones": ["la-teja"],
}


class Servers:
    """Nine servers that remember each other's keys: a repeat of a key within the time is thrown away."""

    def __init__(self, record: Record) -> None:
        self.record, self.random = record, random.Random(SEED)
        self.seen_at: dict[str, float] = {}  # by key
        self.applied = Counter[str]()  # effects, by the id of the client's request
        self.lines: dict[str, list[str]] = {}  # opening lines without the value of d, by id
        self.attempts = Counter[str]()

    async def start(self, number: int) -> dict[str, object]:
        async def handle(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self.serve(f"s-{number}", reader, writer)

        server, port = await listen(handle)
        setattr(self, f"server_{number}", server)
        return {
            "id": f"s-{number}",
            "addr": f"127.0.0.1:{port}",
            "zone": "la-teja",
            "kind": "nodo-rapido",
            "cell": 1,
            "state": "in_service",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readline()).decode()
        if not (line.startswith("OPEN ") and line.endswith("\r\n")):
            return
        _, request, key, _ = line.split()
        self.attempts[request] += 1
        if now() - self.seen_at.get(key, -MEMORY_S) < MEMORY_S:
            what = "the key is known, the repeat is thrown away"
        else:
            self.seen_at[key] = now()
            self.applied[request] += 1
            what = "applied"
        self.record.line(name, f"{line.rstrip()} -> {what}")
        await asyncio.sleep(0.01)
        if TROUBLE and self.attempts[request] == 1 and int(request, 16) % 10 in RESET_OF_TEN:
            self.record.line(name, f"{request}: the connection is reset under the request")
            reset(writer)
            return
        writer.write(f"UP {name}-{request}\r\n".encode())
        while line := (await reader.readline()).decode():
            writer.write(line.encode())


async def test(record: Record, program: Program) -> tuple[int, str]:
    servers = Servers(record)
    discovery = Discovery(record)
    discovery.set(*[await servers.start(number) for number in range(9)])
    await discovery.start()
    program.write_config(discovery.port, SETTINGS, discovery.whole())
    await program.start()
    answers = Counter[str]()
    sent: dict[str, str] = {}  # the key that the client sent, by id

    async def client(number: int, key: str) -> None:
        request = f"{number:012x}"
        sent[request] = key
        line = f"OPEN {request} {key} c=lectura-tanque,t=canelones,d={DEADLINE_MS},g=truck-{number % 7}"
        reader, writer = await asyncio.open_connection("127.0.0.1", program.port)
        try:
            writer.write(line.encode() + b"\r\n")
            answer = await asyncio.wait_for(reader.readline(), DEADLINE_MS / 1000.0 + 1.0)
            record.line("client", f"{line} -> {answer.decode().rstrip()}")
            answers[(answer.split() or [b"nothing"])[0].decode()] += 1
        except (TimeoutError, ConnectionError):
            answers["nothing"] += 1
        finally:
            close_quietly(writer)

    tasks = []
    for number in range(REQUESTS):
        # Every other key is made of names and values, such as depot, dock and truck
        key = f"p=la-teja,d={number % 9 + 1},truck-{number}" if number % 2 else f"s-{number:08x}"
        tasks.append(asyncio.create_task(client(number, key)))
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    twice = [request for request, count in servers.applied.items() if count > 1]
    plain = sum(not sent[request].startswith("p=") for request in twice)
    for request in twice:
        record.line(
            "check", f"{request} with the key {sent[request]} took effect {servers.applied[request]} times"
        )
    summary = (
        f"{REQUESTS} requests, answers {dict(answers)}, {sum(servers.attempts.values())} attempts; "
        f"{len(twice)} took effect twice, {plain} of them with a key without `,d=N,`"
    )
    if answers["UP"] < REQUESTS // 2:
        return COULD_NOT_RUN, summary
    return (BROKEN if twice else HELD), summary


main(Path(__file__).resolve().parent / "record.txt", test)
