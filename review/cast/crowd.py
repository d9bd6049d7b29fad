"""Clients that connect and say nothing: each connects once and stays until the end, reading what it is sent.

python crowd.py PORT COUNT SECONDS; prints a line once all are connected.
"""

from __future__ import annotations

import asyncio
import sys
import time


async def sit(port: int, end: float, connected: asyncio.Semaphore) -> None:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    finally:
        connected.release()
    try:
        await asyncio.wait_for(reader.read(), end - time.monotonic())
        await asyncio.sleep(end - time.monotonic())
    except (OSError, TimeoutError):
        pass
    writer.close()


async def main(port: int, count: int, seconds: float) -> None:
    connected = asyncio.Semaphore(0)
    end = time.monotonic() + seconds
    clients = [asyncio.create_task(sit(port, end, connected)) for _ in range(count)]
    for _ in range(count):
        await connected.acquire()
    print("connected", flush=True)
    await asyncio.gather(*clients, return_exceptions=True)


asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
