"""A real program with standing connections that lines pass through; nodes and clients are in this process.

The program holds two descriptors for each connection, and so does this process: the ends of client and node.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import os
import random
import selectors
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from snowwick.lab.standins import ROOT, listen_on_loopback, loopback_address, make_settings

LINES_PER_S = (
    500  # a second, over all connections of a program: few enough that each comes alone, at any size
)
MAX_HOLD_S = 2.5  # s that a line is held at most: the program takes 3 for silence
LINE = b"M 1\r\n"
ANSWER_TIMEOUT_S = 5.0  # s that an accept or an answer may take while connections are opened
DEFERRED_SIGNALS = (
    signal.SIGINT,
    signal.SIGTERM,
)  # wait while a program is started: it must not be forgotten
SPARE_DESCRIPTORS = (
    256  # descriptors of the program beside those of the connections: its own, and room to accept
)


def hold_limit_s(connections: int) -> float:
    """Seconds that a node holds a line at most: not beyond the next line of the same connection."""
    return min(MAX_HOLD_S, connections / LINES_PER_S)


@dataclass
class ProgramUnderLoad:
    """One program with its connections; a context that ends the program by its id.

    A line is counted where this process writes or reads it: ``sent`` by clients, ``answered`` by nodes,
    ``delivered`` by nodes without being asked, ``back`` at clients, both kinds.  ConnectionError where the
    program ends a connection, AssertionError where lines are lost.
    """

    process: subprocess.Popen[str]
    front_address: tuple[str, int]
    listeners: list[socket.socket]  # the nodes' listening sockets; last discovery's, which answers nothing
    clients: list[socket.socket] = field(default_factory=list)
    destination_sockets: list[socket.socket] = field(default_factory=list)  # of the nodes
    destination_selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    held_lines: list[tuple[float, int, socket.socket, bytes]] = field(default_factory=list)
    random: random.Random = field(default_factory=lambda: random.Random(1))
    lines_sent: int = 0
    lines_answered: int = 0
    lines_delivered: int = 0
    lines_received: int = 0

    def __enter__(self) -> ProgramUnderLoad:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        self.destination_selector.close()
        for sock in (*self.clients, *self.destination_sockets, *self.listeners):
            sock.close()

    def cpu_s(self) -> float:
        """Seconds of processor that the program has used, as the scheduler counts them."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def open_connections(self, count: int) -> None:
        """Open so many more, all at once; TimeoutError or AssertionError where one does not stand."""
        fresh = []
        for _ in range(count):
            number = len(self.clients)
            client = socket.create_connection(self.front_address, ANSWER_TIMEOUT_S)
            self.clients.append(client)
            fresh.append(client)
            client.sendall(b"OPEN %d k%d c=feed,t=n,d=1200\r\n" % (number, number))
        with selectors.DefaultSelector() as listeners:
            for door in self.listeners[:-1]:
                listeners.register(door, selectors.EVENT_READ, door)
            left = count
            while left:
                ready = listeners.select(ANSWER_TIMEOUT_S)
                if not ready:
                    raise TimeoutError(f"{left} of {count} openings did not come to a node")
                for key, _ in ready:
                    self._take(key.data.accept()[0])
                    left -= 1
        for client in fresh:
            answer = client.recv(4096)
            assert answer == b"UP r\r\n", f"answered {answer!r}"
            client.setblocking(False)

    def _take(self, end: socket.socket) -> None:
        """A connection that the program makes to a node."""
        self.destination_sockets.append(end)
        end.settimeout(ANSWER_TIMEOUT_S)
        opening = end.recv(4096)
        assert opening.startswith(b"OPEN"), f"a node was sent {opening!r}"
        end.sendall(b"UP r\r\n")
        end.setblocking(False)
        self.destination_selector.register(end, selectors.EVENT_READ)

    def exchange_lines(self, due: int) -> None:
        """Send lines until so many have been sent, and send back those that the node has held long enough."""
        while self.lines_sent < due:
            client = self.clients[self.lines_sent % len(self.clients)]
            self._read(client)
            client.send(LINE)
            self.lines_sent += 1
        now = time.perf_counter()
        for key, _ in self.destination_selector.select(0):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            hold = self.random.random() * hold_limit_s(len(self.clients))
            heapq.heappush(self.held_lines, (now + hold, sock.fileno(), sock, _some(sock)))
        while self.held_lines and self.held_lines[0][0] <= now:
            _, _, sock, data = heapq.heappop(self.held_lines)
            sock.send(data)
            self.lines_answered += data.count(LINE)

    def send_unrequested_lines(self, due: int) -> None:
        """Have the nodes send lines that nobody asked for until so many have been sent."""
        while self.lines_delivered < due:
            index = self.lines_delivered % len(self.destination_sockets)
            self.destination_sockets[index].send(LINE)
            self.lines_delivered += 1
            self._read(self.clients[index])

    def _read(self, client: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            self.lines_received += _some(client).count(LINE)

    def wait_for_all_lines(self, patience: float = MAX_HOLD_S + ANSWER_TIMEOUT_S) -> None:
        """Turn until every line is at its client; AssertionError where it is not after ``patience`` s."""
        end, due = time.perf_counter() + patience, self.lines_sent + self.lines_delivered
        while self.lines_received < due and time.perf_counter() < end:
            self.exchange_lines(self.lines_sent)
            for client in self.clients:
                self._read(client)
            time.sleep(0.01)
        assert self.lines_received == due, f"{due} lines sent, {self.lines_received} came back"


def _some(sock: socket.socket) -> bytes:
    data = sock.recv(4096)
    if not data:
        raise ConnectionError("the program ended a connection")
    return data


def start_program(
    folder: Path,
    connections: int,
    destination_count: int = 1,
    program_arguments: Callable[[str], list[str]] = lambda node: ["snowwick", "serve"],
) -> ProgramUnderLoad:
    """Start ``python -m WORDS`` with room for so many connections before so many nodes; none is open yet.

    ``words`` is given the first node's address.  The files are written to ``folder``, a program each.
    RuntimeError with the program's log where it does not serve.
    """
    listeners = [listen_on_loopback() for _ in range(destination_count + 1)]
    path, log = folder / "config.json", folder / "log"
    folder.mkdir(exist_ok=True)
    servers = [
        {"id": f"s-{n}", "addr": loopback_address(door), "state": "in_service"}
        for n, door in enumerate(listeners[:-1])
    ]
    setup = make_settings(["n"], 600.0)
    setup["familyInfo"]["messageAim"] = [60_000.0]  # what is held must not count as slow
    path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": loopback_address(listeners[-1]),
                "seed": "bench",
                "limits": {"sockets": 2 * connections + SPARE_DESCRIPTORS},
                "known": {"version": 0, "full": True, "servers": servers},
                "settings": setup,
            }
        )
    )
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, DEFERRED_SIGNALS)
    try:
        with log.open("w") as sink:
            process = subprocess.Popen(
                [sys.executable, "-m", *program_arguments(loopback_address(listeners[0]))],
                cwd=ROOT,
                text=True,
                stdin=subprocess.DEVNULL,
                stderr=sink,
                env={**os.environ, "GW_CONFIG": str(path)},
                preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_SETMASK, blocked),
            )
        standing = ProgramUnderLoad(process, ("", 0), listeners)
    except BaseException:
        signal.pthread_sigmask(signal.SIG_SETMASK, blocked)
        raise
    try:
        signal.pthread_sigmask(signal.SIG_SETMASK, blocked)  # a signal that came meanwhile takes effect here
        while "serving on" not in log.read_text():
            if process.poll() is not None:
                raise RuntimeError(log.read_text())
            time.sleep(0.02)
    except BaseException:
        standing.__exit__()
        raise
    host, _, port = log.read_text().split("serving on ")[1].split()[0].rpartition(":")
    standing.front_address = host, int(port)
    return standing
