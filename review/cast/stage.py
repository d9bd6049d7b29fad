"""Stand-ins for the cases 6 to 10: servers, discovery, clients, and the balancers as separate processes.

Everything listens on 127.0.0.1 with free ports. A case is a coroutine that gets a ``Stage`` and raises
``Broken`` where the rule that it checks is broken; ``play`` runs it and exits with the code for it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
CAST = Path(__file__).resolve().parent
LIMIT_S = 110.0  # a case that is not over by then could not run
READY_S = 15.0  # a balancer has to answer PING within this time after its start
TOLERANCE_S = 0.05  # on sockets, each time limit of the rules is this much longer
LATE_S = 0.5  # an answer that is this late still counts as an answer
FULL, TERMINATING, IN_SERVICE = 41, "terminating", "in_service"


class Broken(Exception):
    """The rule of the case is broken; the message says how."""


class CannotRun(Exception):
    """The case could not run."""


def settings(**changes: Any) -> dict[str, Any]:
    """Return settings like those of a small deployment, with changes; objects are merged key by key."""
    base: dict[str, Any] = {
        "classes": [request_class()],
        "clients": {"marksRetry": True},
        "family": "conn",
        "familyInfo": {
            "groups": True,
            "messageAim": [50.0],
            "mode": "proxy",
            "park": 0.0,
            "tellsDelay": True,
            "tellsLoad": True,
            "tenantQuotaConnections": [170.0, 170.0],
        },
        "invariants": {
            "answerSlack": 16.0,
            "askEvery": 10000.0,
            "cold": 8800.0,
            "coldFrom": 0.3,
            "drainGrace": 3000.0,
            "fallMultiple": 3.0,
            "overloadFor": 3000.0,
        },
        "kinds": ["plain"],
        "layer": 0,
        "limits": {
            "cancel": True,
            "connectTimeout": 250.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 8000,
            "idleClose": 15000.0,
            "maxOpen": 1000000,
            "maxRetryAfter": 600.0,
            "mayTell": False,
            "mostTries": 3,
            "multiplex": 1048576,
            "probes": False,
            "retryAfter": True,
            "secondCopies": False,
        },
        "nInstances": 1,
        "selfIndex": 0,
        "registryMode": "on_request",
        "report": {"fields": [], "how": "off"},
        "tenants": [
            {"name": "north", "share": 0.5, "allowancePerS": 5.0},
            {"name": "south", "share": 0.5, "allowancePerS": 5.0},
        ],
        "tick": 4.0,
        "tiers": ["gauges"],
        "weights": "nominal",
        "worthBy": "request",
        "zone": "depot",
        "zones": ["depot"],
    }
    for key, value in changes.items():
        merge = isinstance(value, dict) and isinstance(base.get(key), dict)
        base[key] = {**base[key], **value} if merge else value
    return base


def request_class(**changes: Any) -> dict[str, Any]:
    """Return a class of requests that may be repeated, with changes."""
    return {
        "name": "level",
        "aim": 300.0,
        "deadline": 1200.0,
        "effect": "read_like",
        "keyScope": "all",
        "lateWorth": 0.0,
        "memorySpan": 5000.0,
        "points": 1.0,
        "stream": True,
        **changes,
    }


class Server:
    """A sound server: it answers OPEN with UP and a receipt of its own, and echoes each line.

    While it drains it keeps its connections and turns new ones away with BUSY.
    """

    def __init__(self, stage: Stage, name: str) -> None:
        self.stage, self.name, self.state, self.port = stage, name, IN_SERVICE, 0
        self.listener: asyncio.Server | None = None
        self.started_ms = 0
        self.clients: dict[str, asyncio.StreamWriter] = {}
        self.openings: list[tuple[float, str]] = []  # when each opening line came, and its id

    async def listen(self) -> None:
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop as a process that ends: refuse new connections and reset the open ones."""
        if self.listener is not None:
            self.listener.close()
        for writer in list(self.clients.values()):
            writer.transport.abort()

    def entry(self, zone: str = "depot", kind: str = "plain") -> dict[str, Any]:
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": zone,
            "kind": kind,
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request_id = ""
        with contextlib.suppress(ConnectionError, ValueError):
            line = await reader.readline()
            words = line.decode("ascii", "replace").split()
            if len(words) != 4 or words[0] != "OPEN" or not line.endswith(b"\r\n"):
                if line:
                    self.stage.record(f"server {self.name}: SYNTAX for {line!r}")
                    writer.write(b"SYNTAX\r\n")
                writer.close()
                return
            request_id = words[1]
            self.openings.append((time.monotonic(), request_id))
            self.stage.record(f"server {self.name}: {line.decode().strip()}")
            if self.state != IN_SERVICE:
                writer.write(b"BUSY\r\n")
                writer.close()
                return
            self.clients[request_id] = writer
            writer.write(f"UP {self.name}-{len(self.openings)}-{request_id}\r\n".encode())
            while line := await reader.readline():
                writer.write(line)
        self.clients.pop(request_id, None)
        writer.close()


class Discovery:
    """Discovery's list over HTTP: whole lists, and watches that wait for a change."""

    def __init__(self, stage: Stage, indent: int | None = None) -> None:
        self.stage, self.indent, self.port, self.version = stage, indent, 0, FULL
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, int] = {}  # by server, the version of its last change
        self.news = asyncio.Event()
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.quiet = True  # whether only answers with news are recorded

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def listen(self) -> None:
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def change(self, entries: list[dict[str, Any]]) -> None:
        """Make one new version of the list with these entries changed or added."""
        self.version += 1
        for entry in entries:
            self.entries[entry["id"]] = entry
            self.changed_in[entry["id"]] = self.version
        self.news.set()
        self.news = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    async def leave(self, after_s: float) -> None:
        """Take no new connection, and close the open ones after this time."""
        assert self.listener is not None
        self.listener.close()
        await asyncio.sleep(after_s)
        for writer in list(self.writers):
            writer.transport.abort()

    async def _answer(self, target: str) -> dict[str, Any]:
        query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if pair)
        if "after" not in query:
            return self.whole()
        after = int(query["after"])
        end = time.monotonic() + min(60000, int(query.get("wait_ms", 0))) / 1000.0
        while self.version <= after and time.monotonic() < end:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), end - time.monotonic())
        news = [self.entries[name] for name, version in self.changed_in.items() if version > after]
        return {"version": self.version, "full": False, "servers": news}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                answer = await self._answer(target)
                body = json.dumps(answer, indent=self.indent).encode()
                size = f"Content-Length: {len(body)}\r\n\r\n".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + size + body)
                await writer.drain()
                if answer["servers"]:
                    self.stage.record(
                        f"discovery {self.address}: {target} answered with version {answer['version']}, "
                        f"{len(answer['servers'])} entries, {len(body)} bytes"
                    )
        self.writers.discard(writer)
        writer.close()


class Balancer:
    """One balancer, started by the line ``run`` of the deploy file."""

    def __init__(self, stage: Stage, name: str, config: dict[str, Any]) -> None:
        self.stage, self.name, self.config = stage, name, config
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = int(sock.getsockname()[1])
        self.process: subprocess.Popen[bytes] | None = None
        self.path, self.log_path = stage.folder / f"{name}.json", stage.folder / f"{name}.log"

    def write_config(self) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        new.replace(self.path)

    async def start(self) -> None:
        """Start the program and wait until it has answered PING."""
        self.write_config()
        temporary = self.stage.folder / f"{self.name}.tmp"
        temporary.mkdir(exist_ok=True)
        kept = ("PATH", "HOME", "LANG", "LC_ALL", "USER")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {
            "GW_NAME": self.name,
            "GW_LISTEN": f"127.0.0.1:{self.port}",
            "GW_DISCOVERY": self.config["discovery"],
            "GW_CONFIG": str(self.path),
            "TMPDIR": str(temporary),
        }
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        end = time.monotonic() + READY_S
        while time.monotonic() < end and self.process.poll() is None:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"PING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 1.0)
                writer.close()
                if answer == b"PONG\r\n":
                    self.stage.record(f"{self.name}: ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready; its log:\n{self.log_path.read_text()}")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.stage.record(f"{self.name}: {number.name}")
        self.process.send_signal(number)

    def check_alive(self) -> None:
        if self.process is None or self.process.poll() is not None:
            raise Broken(f"{self.name} has ended")


class Stage:
    """The parts of one play, its temporary folder and its record."""

    def __init__(self, record: Path, trouble: bool) -> None:
        self.trouble = trouble
        self.folder = Path(tempfile.mkdtemp(prefix="snowwick-case-"))
        self.started_at = time.monotonic()
        self.record_file = record.open("w")
        self.servers: list[Server] = []
        self.balancers: list[Balancer] = []
        self.discovery = Discovery(self)
        self.processes: list[subprocess.Popen[bytes]] = []
        self.last_id = 0

    def record(self, text: str) -> None:
        print(f"{time.monotonic() - self.started_at:8.3f} {text}", file=self.record_file, flush=True)

    async def start_servers(self, count: int) -> None:
        """Start servers, and a discovery that lists them."""
        for number in range(count):
            server = Server(self, f"s-{0x5BE2A07C + 7919 * number:08x}")
            await server.listen()
            self.servers.append(server)
        await self.discovery.listen()
        self.discovery.entries = {server.name: server.entry() for server in self.servers}
        self.discovery.changed_in = dict.fromkeys(self.discovery.entries, FULL)

    async def start_balancers(self, count: int, setup: dict[str, Any], sockets: int) -> None:
        for index in range(count):
            config = {
                "name": f"n{index}",
                "listen": "127.0.0.1:0",
                "discovery": self.discovery.address,
                "seed": f"{0x8C1F30D27A5BE964 + index:016x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                "known": self.discovery.whole(),
                "settings": {**setup, "nInstances": count, "selfIndex": index},
            }
            balancer = Balancer(self, f"n{index}", config)
            config["listen"] = f"127.0.0.1:{balancer.port}"
            self.balancers.append(balancer)
            await balancer.start()

    def start_process(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a stand-in of this folder as a process of its own."""
        process = subprocess.Popen(
            [sys.executable, str(CAST / arguments[0]), *arguments[1:]],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
        )
        self.processes.append(process)
        return process

    def opening(self, wait_ms: int, key: str = "", group: str = "") -> tuple[str, bytes]:
        """Return a new id and the opening line with it."""
        self.last_id += 1
        request_id = f"{0x9B1F03AA5C7E2D41 + self.last_id:016x}"
        tenant = ("north", "south")[self.last_id % 2]
        key, group = key or f"truck-{self.last_id}", group or f"route-{self.last_id % 12}"
        line = f"OPEN {request_id} {key} c=level,t={tenant},d={wait_ms},g={group}\r\n"
        return request_id, line.encode()

    def close(self) -> None:
        """End all processes that this stage started, and remove its folder."""
        balancers = [balancer.process for balancer in self.balancers]
        for process in [*self.processes, *balancers]:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for balancer in self.balancers:
            if balancer.log_path.exists():
                tail = balancer.log_path.read_text(errors="replace").splitlines()[-200:]
                self.record(f"{balancer.name}: the end of its log\n" + "\n".join(tail))
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def ask_in_pieces(
    stage: Stage, port: int, wait_ms: int, pieces: int, pause_s: float
) -> tuple[str, bytes | None]:
    """Send an opening line in pieces with pauses between them, and read the answer.

    Returns the request's id and the answer; it is empty if the connection was ended in an orderly way without
    one, although all pieces could be written, and None if there was a reset, a failed write or no answer.
    """
    request_id, line = stage.opening(wait_ms)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    stage.record(
        f"client {request_id}: connected to port {port}, sends {line.decode().strip()} in {pieces} pieces"
    )
    answer: bytes | None = None
    try:
        for number in range(pieces):
            if number:
                await asyncio.sleep(pause_s)
            writer.write(line[len(line) * number // pieces : len(line) * (number + 1) // pieces])
            await writer.drain()
        sent_at = time.monotonic()
        stage.record(f"client {request_id}: has written its last byte")
        limit = wait_ms / 1000.0 + LATE_S + TOLERANCE_S
        answer = await asyncio.wait_for(reader.readline(), limit)
        stage.record(f"client {request_id}: got {answer!r} after {time.monotonic() - sent_at:.3f} s")
        if answer.startswith(b"UP "):
            await asyncio.sleep(0.5)
    except (OSError, TimeoutError) as error:
        stage.record(f"client {request_id}: {type(error).__name__} {error}")
    writer.close()
    return request_id, answer


def play(record: Path, scenario: Callable[[Stage], Coroutine[Any, Any, str]]) -> None:
    """Play a case with its record in this file, and exit.

    The code is 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
    """
    stage = Stage(record, os.environ.get("TROUBLE", "1") != "0")

    def stop(*_: object) -> None:
        raise CannotRun("stopped by a signal")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    code = 2
    try:
        summary = asyncio.run(asyncio.wait_for(scenario(stage), LIMIT_S))
        code = 0
        result = f"held: {summary}"
    except Broken as error:
        code = 1
        result = f"broken: {error}"
    except (Exception, KeyboardInterrupt):
        result = f"could not run: {traceback.format_exc()}"
    try:
        stage.record(result)
    finally:
        stage.close()
    print(result, flush=True)
    os._exit(code)  # at once: connections that are still open need no orderly end
