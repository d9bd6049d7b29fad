"""What clients that do not read, never finish, flood or leave cost the program and its other clients.

    python -m benchmarks.hostile_clients [--quick] --json FILE

The program is a real process that is seen from outside only.  (a) Its peak memory with 480 connections that
hold as much as they can.  (b) How long another client waits for its UP, and how far the memory grows, while
one client floods one connection, or connects again and again under new names.  (c) How many requests of
clients that have left reach a server, and how many ids run twice.
"""

from __future__ import annotations

import contextlib
import itertools
import multiprocessing
import select
import socket
import string
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from benchmarks.figures import Figure, parse_options, report
from snowwick.lab.connection_load import ProgramUnderLoad, start_program

CONNECTIONS = 480
MEGABYTE = 1e6
# Most that a connection may hold: its buffers, and all else (docs/CAPACITY.md)
BUFFERS_BYTES = 40 * 1024
CONNECTION_BYTES = 10_000
OPENING_BYTES = 10_000  # of a connection whose opening line is as long as it may be
MAX_LATENCY_S = 0.05  # the shortest target delay of a message at the sites
MAX_GROWTH_MB = 4.0  # of the memory during a flood
LONG_LINE = b"x" * 4000 + b"\r\n"
PAUSE_S = 0.02  # between two requests whose latency is measured


def resident_bytes(program: ProgramUnderLoad, field: str = "VmHWM") -> float:
    """Memory of the program, its peak by default."""
    status = Path(f"/proc/{program.process.pid}/status").read_text()
    return 1024.0 * int(status.split(field + ":")[1].split()[0])


@contextlib.contextmanager
def running_program(effect: str = "read_like") -> Iterator[ProgramUnderLoad]:
    """Start the program with room for all connections, and end it."""
    with (
        tempfile.TemporaryDirectory() as folder,
        start_program(Path(folder) / "program", CONNECTIONS, effect=effect) as program,
    ):
        yield program


# --- (a) memory


def send_until_full(socks: list[socket.socket], seconds: float, data: bytes = LONG_LINE * 16) -> None:
    """Write to all sockets whatever they accept; each gets whole lines one after another."""
    poller = select.epoll()
    unsent = {sock.fileno(): (sock, b"") for sock in socks}
    for sock in socks:
        sock.setblocking(False)
        poller.register(sock, select.EPOLLOUT)
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for fd, _ in poller.poll(0.2):
            sock, rest = unsent[fd]
            rest = rest or data
            with contextlib.suppress(BlockingIOError):
                rest = rest[sock.send(rest) :]
            unsent[fd] = sock, rest
    poller.close()


def connect_clients(program: ProgramUnderLoad, data: bytes) -> None:
    for _ in range(CONNECTIONS):
        sock = socket.create_connection(program.front_address, 5.0)
        program.clients.append(sock)
        sock.sendall(data)


def open_with_many_values(program: ProgramUnderLoad) -> None:
    """Open connections whose opening lines have as many short values as fit."""
    names = map("".join, itertools.product(string.ascii_letters, string.ascii_letters + string.digits))
    values = ",".join(f"{name}=1" for name in names if name != "at")
    program.listeners[0].settimeout(5.0)
    for number in range(CONNECTIONS):
        opening = f"OPEN {number} k{number} c=feed,t=n,d=1200,{values}"[:4000].rpartition(",")[0]
        sock = socket.create_connection(program.front_address, 5.0)
        sock.sendall(opening.encode() + b"\r\n")
        server = program.listeners[0].accept()[0]
        server.settimeout(5.0)
        server.recv(8192)
        server.sendall(b"UP r\r\n")
        assert sock.recv(100) == b"UP r\r\n"
        program.clients.append(sock)
        program.destination_sockets.append(server)


def open_all(program: ProgramUnderLoad) -> None:
    for _ in range(CONNECTIONS // 16):
        program.open_connections(16)


@dataclass(frozen=True)
class MemoryCase:
    """Clients that hold memory, and the most that one of them may hold."""

    name: str
    bound_bytes: float
    play: Callable[[ProgramUnderLoad, float], None]


def begin_lines(program: ProgramUnderLoad, seconds: float) -> None:
    connect_clients(program, b"OPEN 1 " + b"k" * 4000)
    time.sleep(1.0)


def many_values(program: ProgramUnderLoad, seconds: float) -> None:
    open_with_many_values(program)


def clients_do_not_read(program: ProgramUnderLoad, seconds: float) -> None:
    open_all(program)
    send_until_full(program.destination_sockets, seconds)


def servers_do_not_read(program: ProgramUnderLoad, seconds: float) -> None:
    open_all(program)
    send_until_full(program.clients, seconds)


def nobody_reads(program: ProgramUnderLoad, seconds: float) -> None:
    open_all(program)
    send_until_full(program.clients + program.destination_sockets, seconds)


def pings_not_read(program: ProgramUnderLoad, seconds: float) -> None:
    connect_clients(program, b"")
    send_until_full(program.clients, min(seconds, 1.5), b"PING\r\n" * 3000)


MEMORY_CASES = [
    MemoryCase("lines begun", CONNECTION_BYTES + OPENING_BYTES, begin_lines),
    MemoryCase("lines of many short values", CONNECTION_BYTES + 2 * OPENING_BYTES, many_values),
    MemoryCase("PINGs, answers not read", CONNECTION_BYTES + OPENING_BYTES, pings_not_read),
    MemoryCase("clients do not read", CONNECTION_BYTES + BUFFERS_BYTES, clients_do_not_read),
    MemoryCase("servers do not read", CONNECTION_BYTES + BUFFERS_BYTES, servers_do_not_read),
    MemoryCase("neither reads", CONNECTION_BYTES + BUFFERS_BYTES, nobody_reads),
]


def measure_memory(figures: dict[str, Figure], beside: dict[str, float], seconds: float) -> None:
    for case in MEMORY_CASES:
        with running_program() as program:
            before = resident_bytes(program)
            case.play(program, seconds)
            peak = resident_bytes(program)
        figures[f"(a) {case.name}, KB a connection"] = Figure(
            (peak - before) / CONNECTIONS / 1000.0, case.bound_bytes / 1000.0, "lower"
        )
        beside[f"(a) {case.name}, peak in MB"] = peak / MEGABYTE


# --- (b) floods


def echo_lines(listener: socket.socket) -> None:
    """Accept connections, answer each opening line and send back what follows; runs until it is ended."""

    def serve(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            if sock.recv(8192).startswith(b"OPEN"):
                sock.sendall(b"UP r\r\n")
            while data := sock.recv(65536):
                sock.sendall(data)
        sock.close()

    listener.setblocking(True)
    while True:
        threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()


def read_until_end(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(65536):
            pass


def flood_connection(address: tuple[str, int], opening: bytes, data: bytes) -> None:
    """Send at full speed, read what comes back meanwhile, and connect again when the connection ends."""
    while True:
        with contextlib.suppress(OSError), socket.create_connection(address, 5.0) as sock:
            sock.sendall(opening)
            if opening:
                answer = sock.recv(100)
                assert answer == b"UP r\r\n", f"{answer!r} instead of UP"
            threading.Thread(target=read_until_end, args=(sock,), daemon=True).start()
            while True:
                sock.sendall(data)


def connect_under_new_names(address: tuple[str, int], class_name: str, leave: bool) -> None:
    for number in itertools.count():
        with contextlib.suppress(OSError), socket.create_connection(address, 5.0) as sock:
            sock.sendall(f"OPEN id{number} key{number} c={class_name},t=n,d=1200,g=g{number}\r\n".encode())
            if not leave:
                sock.recv(100)


OPENING = b"OPEN flood k c=feed,t=n,d=1200\r\n"
FLOODS: dict[str, Callable[[tuple[str, int]], None]] = {
    "PING": lambda address: flood_connection(address, b"", b"PING\r\n" * 3000),
    "STATS": lambda address: flood_connection(address, b"", b"STATS\r\n" * 3000),
    "unsound lines": lambda address: flood_connection(address, b"", b"@#!\r\n" * 3000),
    "empty lines, echoed": lambda address: flood_connection(address, OPENING, b"\n" * 30000),
    "short lines, echoed": lambda address: flood_connection(address, OPENING, b"x\r\n" * 10000),
    "loads, echoed": lambda address: flood_connection(address, OPENING, b"LOAD 1\r\n" * 4000),
    "new names": lambda address: connect_under_new_names(address, "feed", False),
    "new names, leaving": lambda address: connect_under_new_names(address, "feed", True),
    "new names, unsound": lambda address: connect_under_new_names(address, "none", False),
}


def latencies_s(address: tuple[str, int], seconds: float) -> list[float]:
    """Times from OPEN to UP of clients that come one after another."""
    times: list[float] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        started_at = time.monotonic()
        with socket.create_connection(address, 5.0) as sock:
            sock.sendall(b"OPEN m%d m%d c=feed,t=n,d=1200\r\n" % (len(times), len(times)))
            answer = sock.recv(100)
            assert answer == b"UP r\r\n", f"{answer!r} instead of UP"
        times.append(time.monotonic() - started_at)
        time.sleep(PAUSE_S)
    return times


def measure_floods(figures: dict[str, Figure], beside: dict[str, float], seconds: float) -> None:
    for name, flood in FLOODS.items():
        with running_program() as program, contextlib.ExitStack() as stack:
            for target, argument in ((echo_lines, program.listeners[0]), (flood, program.front_address)):
                process = multiprocessing.Process(target=target, args=(argument,), daemon=True)
                process.start()
                stack.callback(process.join)
                stack.callback(process.kill)
            time.sleep(0.5)
            before = resident_bytes(program, "VmRSS")
            times = sorted(latencies_s(program.front_address, seconds))
            growth = resident_bytes(program) - before
        figures[f"(b) {name}: 99th percentile, s"] = Figure(
            times[int(0.99 * len(times))], MAX_LATENCY_S, "lower"
        )
        figures[f"(b) {name}: growth, MB"] = Figure(growth / MEGABYTE, MAX_GROWTH_MB, "lower")
        beside[f"(b) {name}: median, s"] = times[len(times) // 2]


# --- (c) clients that leave


def openings_received(program: ProgramUnderLoad) -> Counter[bytes]:
    """Accept what has come to the server, and count the opening lines by id."""
    counts: Counter[bytes] = Counter()
    program.listeners[0].settimeout(0.5)
    with contextlib.suppress(TimeoutError):
        while True:
            sock = program.listeners[0].accept()[0]
            program.destination_sockets.append(sock)
            sock.settimeout(0.5)
            with contextlib.suppress(OSError):
                words = sock.recv(8192).split(b" ")
                if words[0] == b"OPEN":
                    counts[words[1]] += 1
    return counts


def measure_leaving(figures: dict[str, Figure], beside: dict[str, float], clients: int) -> None:
    with running_program("non_idempotent") as program:
        for number in range(clients):
            with socket.create_connection(program.front_address, 5.0) as sock:
                opening = b"OPEN left%d k c=feed,t=n,d=1200\r\n" % number
                sock.sendall(b"PING\r\n" * 3000 + opening)
        sent_on = openings_received(program)
    figures["(c) requests behind unread PINGs, sent on"] = Figure(sent_on.total(), 0.0, "lower")
    with running_program("non_idempotent") as program:
        counts: Counter[bytes] = Counter()
        for number in range(clients):
            for _ in range(2):
                with socket.create_connection(program.front_address, 5.0) as sock:
                    sock.sendall(b"OPEN again%d k c=feed,t=n,d=1200\r\n" % number)
                    time.sleep(0.02)
        counts = openings_received(program)
    figures["(c) ids that came again and ran twice"] = Figure(
        sum(count > 1 for count in counts.values()), 0.0, "lower"
    )
    beside["(c) ids that ran"] = len(counts)


def main() -> None:
    options = parse_options(__doc__ or "")
    figures: dict[str, Figure] = {}
    beside: dict[str, float] = {}
    measure_memory(figures, beside, 2.0 if options.quick else 4.0)
    measure_floods(figures, beside, 1.5 if options.quick else 5.0)
    measure_leaving(figures, beside, 20 if options.quick else 100)
    report(figures, beside, options.json)


if __name__ == "__main__":
    main()
