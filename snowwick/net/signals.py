"""Signals as bytes in a socket: none that comes early may end the program or be lost."""

from __future__ import annotations

import signal
import socket


class SignalSockets:
    """SIGTERM, SIGINT and SIGHUP are written to ``inner`` from now on; imports little, to be first."""

    def __init__(self) -> None:
        self.read_end, self.write_end = socket.socketpair()
        for end in (self.read_end, self.write_end):
            end.setblocking(False)
        signal.set_wakeup_fd(self.write_end.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
