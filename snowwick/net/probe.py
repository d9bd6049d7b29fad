"""A probe: one PING, or STATS where destinations report their load, on a connection of its own, timed."""

from __future__ import annotations

import socket

from snowwick.net import lines
from snowwick.net.decider import Decider, ProbeAnswer
from snowwick.net.loop import READABLE, TIMED_OUT, Coroutine, Loop, Wait
from snowwick.net.peer import LinePeer, configure_socket, connect


class Probe(LinePeer):
    """Connects, asks, tells the decider how many ms the answer took and the load it reports, and closes.

    The time of the connect does not count: the kernel answers that, whatever the destination has to do.
    ``field`` names the figure of the report that is the load, empty where nothing is reported.
    Raises OSError where there is no descriptor for it.
    """

    def __init__(
        self,
        loop: Loop,
        number: int,
        address: tuple[str, int],
        wait: float,
        decider: Decider,
        field: str = "",
    ) -> None:
        super().__init__(loop, configure_socket(socket.socket(socket.AF_INET, socket.SOCK_STREAM)))
        self.number, self.address, self.wait, self.decider = number, address, wait, decider
        self.field, self.elapsed, self.load = field, -1.0, -1.0

    def run(self) -> Coroutine:
        try:
            until = self.loop.clock() + self.wait
            if (yield from connect(self, self.sock, self.address, until)):
                sent = self.loop.clock()
                self.output_buffer += (lines.STATS if self.field else lines.PING) + b"\r\n"
                self.flush()
                while not self._answered(sent):
                    woke = yield Wait(self.sock, read=True, until=until)
                    if woke & TIMED_OUT or (woke & READABLE and not self.receive()):
                        break
        except (OSError, lines.MalformedLine):
            pass  # refused, broken or no line: no answer
        finally:
            self.close_socket()
            self.decider.post(ProbeAnswer(self.number, self.elapsed, self.load))

    def _answered(self, sent: float) -> bool:
        """Has all come that is waited for?  The report stands behind the word, or in a line of its own."""
        while (line := lines.take_line(self.input_buffer)) is not None:
            words = line.split(None, 1)
            if self.elapsed < 0.0:
                if words[:1] != [b"PONG"]:
                    return True
                self.elapsed = 1000.0 * (self.loop.clock() - sent)
                words = words[1:]
            if words or not self.field:
                figures = lines.parse_report(words[0].strip()) if words else None
                self.load = (figures or {}).get(self.field, -1.0)
                return True
        return False
