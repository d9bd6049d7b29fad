"""A probe: one PING on a connection of its own, timed."""

from __future__ import annotations

import socket

from snowwick.net import lines
from snowwick.net.decider import Decider, Probed
from snowwick.net.loop import READ, Actor, Loop, Steps, Wait
from snowwick.net.peer import CHUNK, connect, prepare


class Probe(Actor):
    """Connects, sends PING, tells the decider how many ms the answer took, and closes.

    The time of the connect does not count: the kernel answers that, whatever the destination has to do.
    """

    def __init__(self, loop: Loop, number: int, address: tuple[str, int], wait: float,
                 decider: Decider) -> None:
        super().__init__(loop)
        self.number, self.address, self.wait, self.decider = number, address, wait, decider

    def run(self) -> Steps:
        elapsed, sock = -1.0, None
        try:
            sock = prepare(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
            self.loop.sockets += 1
            until = self.loop.clock() + self.wait
            if (yield from connect(self, sock, self.address, until)):
                sent = self.loop.clock()
                sock.send(lines.PING + b"\r\n")
                woke = yield Wait(sock, read=True, until=until)
                if woke & READ and sock.recv(CHUNK) == lines.PONG:
                    elapsed = 1000.0 * (self.loop.clock() - sent)
        except OSError:
            pass  # refused or broken: no answer
        finally:
            if sock is not None:
                self.loop.release(self)
                sock.close()
                self.loop.sockets -= 1
            self.decider.post(Probed(self.number, elapsed))
