"""A real program under load: many established connections with lines passing through.

Destinations and clients run in this process.  The program has two file descriptors for each connection, and
so has this process: the client's socket and the destination's.
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

# Over all connections of a program: few enough that lines arrive one at a time, whatever the number of
# connections
LINES_PER_S = 500
MAX_HOLD_S = 2.5  # of a line at a destination; after 3 s the program treats the destination as silent
LINE = b"M 1\r\n"
ANSWER_TIMEOUT_S = 5.0  # for an accept or an answer while connections are opened
# Blocked while a program is being started, so that the program is always ended
DEFERRED_SIGNALS = (signal.SIGINT, signal.SIGTERM)
SPARE_DESCRIPTORS = 256  # of the program, beyond its connections: for its own use and for accepting


def hold_limit_s(connections: int) -> float:
    """Longest time for which a destination holds a line: at most until the connection's next line."""
    return min(MAX_HOLD_S, connections / LINES_PER_S)


@dataclass
class ProgramUnderLoad:
    """One program with its connections; a context manager, which ends the program.

    Lines are counted where this process writes or reads them: ``lines_sent`` by clients, ``lines_answered``
    by destinations, ``lines_delivered`` by destinations without a request, ``lines_received`` of both kinds
    by clients.  Raises ConnectionError if the program closes a connection and AssertionError if lines are
    lost.
    """

    process: subprocess.Popen[str]
    front_address: tuple[str, int]
    # The destinations' listening sockets and, as the last one, discovery's, which never answers
    listeners: list[socket.socket]
    clients: list[socket.socket] = field(default_factory=list)
    destination_sockets: list[socket.socket] = field(default_factory=list)
    destination_selector: selectors.BaseSelector = field(default_factory=selectors.DefaultSelector)
    # Heap of lines to be sent back: the time due, the file descriptor, the socket, the data
    held_lines: list[tuple[float, int, socket.socket, bytes]] = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(1))
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
        """CPU time in s that the program has used, as counted by the scheduler."""
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0]) / 1e9

    def open_connections(self, count: int) -> None:
        """Open ``count`` more connections at the same time.

        Raises TimeoutError or AssertionError if one of them is not established.
        """
        new_clients = []
        for _ in range(count):
            number = len(self.clients)
            client = socket.create_connection(self.front_address, ANSWER_TIMEOUT_S)
            self.clients.append(client)
            new_clients.append(client)
            client.sendall(b"OPEN %d k%d c=feed,t=n,d=1200\r\n" % (number, number))
        with selectors.DefaultSelector() as accept_selector:
            for listener in self.listeners[:-1]:
                accept_selector.register(listener, selectors.EVENT_READ, listener)
            remaining = count
            while remaining:
                ready = accept_selector.select(ANSWER_TIMEOUT_S)
                if not ready:
                    raise TimeoutError(f"{remaining} of {count} openings did not reach a destination")
                for key, _ in ready:
                    self._establish(key.data.accept()[0])
                    remaining -= 1
        for client in new_clients:
            answer = client.recv(4096)
            assert answer == b"UP r\r\n", f"a client received {answer!r} instead of UP"
            client.setblocking(False)

    def _establish(self, sock: socket.socket) -> None:
        """Answer the opening on a connection that a destination has accepted."""
        self.destination_sockets.append(sock)
        sock.settimeout(ANSWER_TIMEOUT_S)
        opening = sock.recv(4096)
        assert opening.startswith(b"OPEN"), f"a destination received {opening!r} instead of an opening"
        sock.sendall(b"UP r\r\n")
        sock.setblocking(False)
        self.destination_selector.register(sock, selectors.EVENT_READ)

    def exchange_lines(self, due: int) -> None:
        """Send lines until ``due`` have been sent, and send back those that have been held long enough."""
        while self.lines_sent < due:
            client = self.clients[self.lines_sent % len(self.clients)]
            self._read(client)
            client.send(LINE)
            self.lines_sent += 1
        now = time.perf_counter()
        for key, _ in self.destination_selector.select(0):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            hold_s = self.rng.random() * hold_limit_s(len(self.clients))
            heapq.heappush(self.held_lines, (now + hold_s, sock.fileno(), sock, _receive(sock)))
        while self.held_lines and self.held_lines[0][0] <= now:
            _, _, sock, data = heapq.heappop(self.held_lines)
            sock.send(data)
            self.lines_answered += data.count(LINE)

    def send_unrequested_lines(self, due: int) -> None:
        """Let the destinations send lines without a request until ``due`` have been sent."""
        while self.lines_delivered < due:
            index = self.lines_delivered % len(self.destination_sockets)
            self.destination_sockets[index].send(LINE)
            self.lines_delivered += 1
            self._read(self.clients[index])

    def _read(self, client: socket.socket) -> None:
        """Count the lines that a client can receive without waiting."""
        with contextlib.suppress(BlockingIOError):
            self.lines_received += _receive(client).count(LINE)

    def wait_for_all_lines(self, timeout_s: float = MAX_HOLD_S + ANSWER_TIMEOUT_S) -> None:
        """Wait until the clients have received every line; raises AssertionError after ``timeout_s``."""
        end, due = time.perf_counter() + timeout_s, self.lines_sent + self.lines_delivered
        while self.lines_received < due and time.perf_counter() < end:
            self.exchange_lines(self.lines_sent)
            for client in self.clients:
                self._read(client)
            time.sleep(0.01)
        assert self.lines_received == due, f"{due} lines sent, {self.lines_received} received"


def _receive(sock: socket.socket) -> bytes:
    """Receive data; raises ConnectionError at the end of the stream."""
    data = sock.recv(4096)
    if not data:
        raise ConnectionError("the program closed a connection")
    return data


def start_program(
    folder: Path,
    connections: int,
    destination_count: int = 1,
    program_arguments: Callable[[str], list[str]] = lambda destination: ["snowwick", "serve"],
    effect: str = "read_like",
) -> ProgramUnderLoad:
    """Start ``python -m PROGRAM_ARGUMENTS`` with room for ``connections``; none is open yet.

    ``effect`` is that of its only class of requests.

    ``program_arguments`` is called with the first destination's address.  Each program needs a ``folder`` of
    its own, in which its files are written.  Raises RuntimeError with the program's log if it does not serve.
    """
    listeners = [listen_on_loopback() for _ in range(destination_count + 1)]
    config_path, log_path = folder / "config.json", folder / "log"
    folder.mkdir(exist_ok=True)
    servers = [
        {"id": f"s-{n}", "addr": loopback_address(listener), "state": "in_service"}
        for n, listener in enumerate(listeners[:-1])
    ]
    settings = make_settings(["n"], 600.0)
    settings["classes"][0]["effect"] = effect
    settings["familyInfo"]["messageAim"] = [60_000.0]  # ms; held lines must not count as slow answers
    config_path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": loopback_address(listeners[-1]),
                "seed": "bench",
                "limits": {"sockets": 2 * connections + SPARE_DESCRIPTORS},
                "known": {"version": 0, "full": True, "servers": servers},
                "settings": settings,
            }
        )
    )
    old_mask = signal.pthread_sigmask(signal.SIG_BLOCK, DEFERRED_SIGNALS)
    try:
        with log_path.open("w") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", *program_arguments(loopback_address(listeners[0]))],
                cwd=ROOT,
                text=True,
                stdin=subprocess.DEVNULL,
                stderr=log,
                env={**os.environ, "GW_CONFIG": str(config_path)},
                preexec_fn=lambda: signal.pthread_sigmask(signal.SIG_SETMASK, old_mask),
            )
        program = ProgramUnderLoad(process, ("", 0), listeners)
    except BaseException:
        signal.pthread_sigmask(signal.SIG_SETMASK, old_mask)
        raise
    try:
        signal.pthread_sigmask(signal.SIG_SETMASK, old_mask)  # pending signals are handled here
        while "serving on" not in log_path.read_text():
            if process.poll() is not None:
                raise RuntimeError(log_path.read_text())
            time.sleep(0.02)
    except BaseException:
        program.__exit__()
        raise
    host, _, port = log_path.read_text().split("serving on ")[1].split()[0].rpartition(":")
    program.front_address = host, int(port)
    return program
