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

from snowwick.lab.standins import ROOT, listen, settings, where

LINES = 500  # a second, over all connections of a program: few enough that each comes alone, at any size
HELD = 2.5  # s that a line is held at most: the program takes 3 for silence
LINE = b"M 1\r\n"
ANSWER = 5.0  # s that an accept or an answer may take while connections are opened
ENDING = (signal.SIGINT, signal.SIGTERM)  # wait while a program is started: it must not be forgotten
SPARE = 256  # descriptors of the program beside those of the connections: its own, and room to accept


def longest_hold(connections: int) -> float:
    """Seconds that a node holds a line at most: not beyond the next line of the same connection."""
    return min(HELD, connections / LINES)


@dataclass
class Standing:
    """One program with its connections; a context that ends the program by its id.

    A line is counted where this process writes or reads it: ``sent`` by clients, ``answered`` by nodes,
    ``delivered`` by nodes without being asked, ``back`` at clients, both kinds.  ConnectionError where the
    program ends a connection, AssertionError where lines are lost.
    """

    process: subprocess.Popen[str]
    front: tuple[str, int]
    doors: list[socket.socket]  # the nodes' listening sockets; last discovery's, which answers nothing
    clients: list[socket.socket] = field(default_factory=list)
    ends: list[socket.socket] = field(default_factory=list)  # of the nodes
    nodes: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    held: list[tuple[float, int, socket.socket, bytes]] = field(default_factory=list)
    random: random.Random = field(default_factory=lambda: random.Random(1))
    sent: int = 0
    answered: int = 0
    delivered: int = 0
    back: int = 0

    def __enter__(self) -> Standing:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        self.nodes.close()
        for sock in (*self.clients, *self.ends, *self.doors):
            sock.close()

    def cpu(self) -> float:
        """Seconds of processor that the program has used, as the scheduler counts them."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def open(self, count: int) -> None:
        """Open so many more, all at once; TimeoutError or AssertionError where one does not stand."""
        fresh = []
        for _ in range(count):
            number = len(self.clients)
            client = socket.create_connection(self.front, ANSWER)
            self.clients.append(client)
            fresh.append(client)
            client.sendall(b"OPEN %d k%d c=feed,t=n,d=1200\r\n" % (number, number))
        with selectors.DefaultSelector() as doors:
            for door in self.doors[:-1]:
                doors.register(door, selectors.EVENT_READ, door)
            left = count
            while left:
                ready = doors.select(ANSWER)
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
        self.ends.append(end)
        end.settimeout(ANSWER)
        opening = end.recv(4096)
        assert opening.startswith(b"OPEN"), f"a node was sent {opening!r}"
        end.sendall(b"UP r\r\n")
        end.setblocking(False)
        self.nodes.register(end, selectors.EVENT_READ)

    def turn(self, due: int) -> None:
        """Send lines until so many have been sent, and send back those that the node has held long enough."""
        while self.sent < due:
            client = self.clients[self.sent % len(self.clients)]
            self._read(client)
            client.send(LINE)
            self.sent += 1
        now = time.perf_counter()
        for key, _ in self.nodes.select(0):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            hold = self.random.random() * longest_hold(len(self.clients))
            heapq.heappush(self.held, (now + hold, sock.fileno(), sock, _some(sock)))
        while self.held and self.held[0][0] <= now:
            _, _, sock, data = heapq.heappop(self.held)
            sock.send(data)
            self.answered += data.count(LINE)

    def deliver(self, due: int) -> None:
        """Have the nodes send lines that nobody asked for until so many have been sent."""
        while self.delivered < due:
            turn = self.delivered % len(self.ends)
            self.ends[turn].send(LINE)
            self.delivered += 1
            self._read(self.clients[turn])

    def _read(self, client: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            self.back += _some(client).count(LINE)

    def all_back(self, patience: float = HELD + ANSWER) -> None:
        """Turn until every line is at its client; AssertionError where it is not after ``patience`` s."""
        end, due = time.perf_counter() + patience, self.sent + self.delivered
        while self.back < due and time.perf_counter() < end:
            self.turn(self.sent)
            for client in self.clients:
                self._read(client)
            time.sleep(0.01)
        assert self.back == due, f"{due} lines sent, {self.back} came back"


def _some(sock: socket.socket) -> bytes:
    data = sock.recv(4096)
    if not data:
        raise ConnectionError("the program ended a connection")
    return data


def start(
    folder: Path,
    connections: int,
    nodes: int = 1,
    words: Callable[[str], list[str]] = lambda node: ["snowwick", "serve"],
) -> Standing:
    """Start ``python -m WORDS`` with room for so many connections before so many nodes; none is open yet.

    ``words`` is given the first node's address.  The files are written to ``folder``, a program each.
    RuntimeError with the program's log where it does not serve.
    """
    doors = [listen() for _ in range(nodes + 1)]
    path, log = folder / "config.json", folder / "log"
    folder.mkdir(exist_ok=True)
    servers = [
        {"id": f"s-{n}", "addr": where(door), "state": "in_service"} for n, door in enumerate(doors[:-1])
    ]
    setup = settings(["n"], 600.0)
    setup["familyInfo"]["messageAim"] = [60_000.0]  # what is held must not count as slow
    path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": where(doors[-1]),
                "seed": "bench",
                "limits": {"sockets": 2 * connections + SPARE},
                "known": {"version": 0, "full": True, "servers": servers},
                "settings": setup,
            }
        )
    )
    blocked = signal.pthread_sigmask(signal.SIG_BLOCK, ENDING)
    try:
        with log.open("w") as sink:
            process = subprocess.Popen(
                [sys.executable, "-m", *words(where(doors[0]))],
                cwd=ROOT,
                text=True,
                stdin=subprocess.DEVNULL,
                stderr=sink,
                env={**os.environ, "GW_CONFIG": str(path)},
                preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_SETMASK, blocked),
            )
        standing = Standing(process, ("", 0), doors)
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
    standing.front = host, int(port)
    return standing
