"""Stand-ins for the platform, shared by the cases: starts the program, serves discovery, keeps the record.

Everything is on loopback addresses and the real clock.  The program is started with the line `run` of
deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parent.parent.parent
STARTED = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
DESCRIPTORS = 4096  # what a case needs for its clients and servers, which are in one process


def now() -> float:
    """Seconds since the start of the test."""
    return time.monotonic() - STARTED


def free_port() -> int:
    """A port that is free on 127.0.0.1, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(12000, 30000)
        with contextlib.suppress(OSError), socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
            sock.bind(("127.0.0.1", port))
            return port


def allow_descriptors() -> None:
    """Raise this process's own soft limit of descriptors as far as it is allowed to."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY and soft < DESCRIPTORS:
        wanted = DESCRIPTORS if hard == resource.RLIM_INFINITY else min(hard, DESCRIPTORS)
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


class Record:
    """Writes the record of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.line("test", f"TROUBLE={int(TROUBLE)}")

    def line(self, who: str, text: str) -> None:
        self.file.write(f"{now():9.4f} {who:12} {text}\n")

    def close(self, verdict: str) -> None:
        self.line("verdict", verdict)
        self.file.close()
        print(verdict)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def close_quietly(writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError, RuntimeError):
        writer.close()


async def listen(
    handler: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
) -> tuple[asyncio.Server, int]:
    """Listen on a free port; errors and ends of connections end their handler silently."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            close_quietly(writer)

    server = await asyncio.start_server(guarded, "127.0.0.1", 0, backlog=1024)
    return server, int(server.sockets[0].getsockname()[1])


class Discovery:
    """Discovery that is asked: the whole list, or a watch that holds a call until the list changes."""

    def __init__(self, record: Record, indent: int | None = None) -> None:
        self.record, self.indent = record, indent
        self.version, self.entries = 0, dict[str, dict[str, Any]]()
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.changed = asyncio.Event()
        self.full_lists = 0
        self.port = 0

    async def start(self) -> None:
        self.server, self.port = await listen(self.handle)

    def set(self, *entries: dict[str, Any]) -> None:
        """Set the entries of servers, all under one new version."""
        self.version += 1
        for entry in entries:
            self.log.append((self.version, entry))
            if entry["state"] == "terminated":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            query = head.split()[1].decode().partition("?")[2]
            values = dict(pair.split("=", 1) for pair in query.split("&")) if query else {}
            if "after" not in values or int(values["after"]) < self.version - 200 or values["after"] == "0":
                answer = self.whole()
                self.full_lists += 1
            else:
                after, until = int(values["after"]), now() + int(values.get("wait_ms", "0")) / 1000.0
                while self.version <= after and now() < until:
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
                changes = [entry for version, entry in self.log if version > after]
                answer = {"version": self.version, "full": False, "servers": changes}
            body = json.dumps(answer, indent=self.indent).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()


class Program:
    """The project's program, started with the line `run` of the deploy file."""

    all: ClassVar[list[Program]] = []

    def __init__(self, record: Record) -> None:
        Program.all.append(self)
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.config = self.folder / "config.json"
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None

    def write_config(
        self, discovery_port: int, settings: dict[str, Any], known: dict[str, Any], **more: Any
    ) -> None:
        """Replace the configuration file as a whole."""
        text = json.dumps(
            {
                "name": "n1",
                "listen": f"127.0.0.1:{self.port}",
                "discovery": f"127.0.0.1:{discovery_port}",
                "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
                "known": known,
                "settings": settings,
                **more,
            }
        )
        new = self.folder / "config.json.new"
        new.write_text(text)
        new.replace(self.config)

    async def start(self) -> None:
        """Start the program and wait until it answers PING; ends the test if it does not."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {
            key: value for key, value in os.environ.items() if not key.startswith(("GW_", "SNOWWICK_"))
        }
        environment |= {"GW_CONFIG": str(self.config), "TMPDIR": str(temporary)}
        self.log = (self.folder / "log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )
        self.record.line("platform", f"started the program, process {self.process.pid}")
        for _ in range(300):
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                close_quietly(writer)
                if answer == b"PONG\r\n":
                    self.record.line("platform", "PING was answered PONG")
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError("the program did not answer PING within 30 s")

    def signal(self, number: int) -> None:
        assert self.process is not None
        self.record.line("platform", f"sent {signal.Signals(number).name} to the program")
        self.process.send_signal(number)

    def log_text(self) -> str:
        return (self.folder / "log").read_text(errors="replace")

    async def stop(self) -> None:
        """End the program: SIGTERM, then SIGKILL after 4 s."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.send_signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(self.process.wait(), 4.0)
            except TimeoutError:
                self.process.kill()
                await self.process.wait()
        if self.process is not None:
            self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(record_path: Path, test: Callable[[Record, Program], Awaitable[tuple[int, str]]]) -> None:
    """Run a case's test, write its record and exit with its verdict."""
    allow_descriptors()
    record = Record(record_path)

    async def run() -> tuple[int, str]:
        program = Program(record)
        try:
            async with asyncio.timeout(116.0):
                return await test(record, program)
        except (RuntimeError, OSError, TimeoutError) as error:
            return COULD_NOT_RUN, f"could not run: {type(error).__name__}: {error}"
        except asyncio.CancelledError:
            return COULD_NOT_RUN, "could not run: the test was ended by a signal"
        finally:
            await asyncio.gather(*(started.stop() for started in Program.all))

    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)
    task = loop.create_task(run())
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    code, text = loop.run_until_complete(task)
    record.close(f"{'held' if code == HELD else 'BROKEN' if code == BROKEN else 'not run'}: {text}")
    sys.stdout.flush()
    os._exit(code)
