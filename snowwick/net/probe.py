"""A probe of a destination: one timed PING, or STATS if destinations report their load."""

from __future__ import annotations

import socket

from snowwick.net import lines
from snowwick.net.decider import Decider, ProbeAnswer
from snowwick.net.loop import READABLE, TIMED_OUT, Coroutine, Loop, Wait
from snowwick.net.peer import LinePeer, configure_socket, connect


class Probe(LinePeer):
    """Opens a connection, times one request on it, posts the result to the decider and closes.

    The time to connect is not counted, since the kernel accepts connections however busy the destination is.
    ``load_field`` names the figure of the load report to use; it is empty if no load is reported.
    Raises OSError if no file descriptor is available.
    """

    def __init__(
        self,
        loop: Loop,
        destination: int,
        address: tuple[str, int],
        timeout_s: float,
        decider: Decider,
        load_field: str = "",
    ) -> None:
        super().__init__(loop, configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM)))
        self.destination, self.address, self.timeout_s, self.decider = (
            destination,
            address,
            timeout_s,
            decider,
        )
        # elapsed_ms and load are -1 while unknown.
        self.load_field, self.elapsed_ms, self.load = load_field, -1.0, -1.0

    def run(self) -> Coroutine:
        try:
            deadline = self.loop.clock() + self.timeout_s
            if (yield from connect(self, self.sock, self.address, deadline)):
                sent_at = self.loop.clock()
                self.output_buffer += (lines.STATS if self.load_field else lines.PING) + b"\r\n"
                self.flush()
                while not self._answered(sent_at):
                    wake_flags = yield Wait(self.sock, read=True, until=deadline)
                    if wake_flags & TIMED_OUT or (wake_flags & READABLE and not self.receive()):
                        break
        except (OSError, lines.MalformedLine):
            pass  # connection refused or reset, or line too long: counts as no answer
        finally:
            self.close_socket()
            self.decider.post(ProbeAnswer(self.destination, self.elapsed_ms, self.load))

    def _answered(self, sent_at: float) -> bool:
        """Read the lines that have arrived and return whether the answer is complete.

        The load report follows the word PONG on the same line or on a line of its own. An answer other than
        PONG is complete too; ``elapsed_ms`` then stays -1.
        """
        while (line := lines.take_line(self.input_buffer)) is not None:
            words = line.split(None, 1)
            if self.elapsed_ms < 0.0:
                if words[:1] != [b"PONG"]:
                    return True
                self.elapsed_ms = 1000.0 * (self.loop.clock() - sent_at)
                words = words[1:]
            if words or not self.load_field:
                figures = lines.parse_report(words[0].strip()) if words else None
                self.load = (figures or {}).get(self.load_field, -1.0)
                return True
        return False
