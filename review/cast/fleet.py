"""Many sound servers in one process, each with a port of its own.

python fleet.py COUNT; prints the ports as one JSON line, then a line "open NUMBER ID" for each opening line.
Commands on standard input: "drain FROM TO" (they turn new connections away) and "stop FROM TO" (they end as
a process does: new connections are refused, open ones are reset).
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys


class Server:
    def __init__(self, number: int) -> None:
        self.number, self.draining, self.port = number, False, 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    async def listen(self) -> None:
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        assert self.listener is not None
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, ValueError):
            words = (await reader.readline()).decode("ascii", "replace").split()
            if len(words) == 4 and words[0] == "OPEN":
                print("open", self.number, words[1], flush=True)
                if self.draining:
                    writer.write(b"BUSY\r\n")
                else:
                    writer.write(f"UP {self.number}-{words[1]}\r\n".encode())
                    while line := await reader.readline():
                        writer.write(line)
            elif words:
                writer.write(b"SYNTAX\r\n")
        self.writers.discard(writer)
        writer.close()


async def main(count: int) -> None:
    servers = [Server(number) for number in range(count)]
    for server in servers:
        await server.listen()
    print(json.dumps([server.port for server in servers]), flush=True)
    commands = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(commands), sys.stdin
    )
    while line := await commands.readline():
        command, first, end = line.split()
        for server in servers[int(first) : int(end)]:
            if command == b"drain":
                server.draining = True
            else:
                server.stop()


asyncio.run(main(int(sys.argv[1])))
