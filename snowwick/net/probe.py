"""A probe: one PING on a connection of its own, timed."""

from __future__ import annotations

import socket

from snowwick.net import lines
from snowwick.net.decider import Decider, Probed
from snowwick.net.loop import READ, Loop, Steps, Wait
from snowwick.net.peer import LinePeer, connect, prepare


class Probe(LinePeer):
    """Connects, sends PING, tells the decider how many ms the answer took, and closes.

    The time of the connect does not count: the kernel answers that, whatever the destination has to do.
    Raises OSError where there is no descriptor for it.
    """

    def __init__(self, loop: Loop, number: int, address: tuple[str, int], wait: float,
                 decider: Decider) -> None:
        super().__init__(loop, prepare(socket.socket(socket.AF_INET, socket.SOCK_STREAM)))
        self.number, self.address, self.wait, self.decider = number, address, wait, decider

    def run(self) -> Steps:
        elapsed = -1.0
        try:
            until = self.loop.clock() + self.wait
            if (yield from connect(self, self.sock, self.address, until)):
                sent = self.loop.clock()
                self.out += lines.PING + b"\r\n"
                self.flush()
                woke = yield Wait(self.sock, read=True, until=until)
                if woke & READ and self.receive() and self.inbox == lines.PONG:
                    elapsed = 1000.0 * (self.loop.clock() - sent)
        except OSError:
            pass  # refused or broken: no answer
        finally:
            self.shut()
            self.decider.post(Probed(self.number, elapsed))
