"""Receives signals as bytes on a socket, so that an early signal neither ends the program nor is lost."""

from __future__ import annotations

import signal
import socket


class SignalSockets:
    """Makes SIGTERM, SIGINT and SIGHUP readable from ``read_end``.

    The module imports little, so that signals are caught before the rest of the program is loaded.
    """

    def __init__(self) -> None:
        self.read_end, self.write_end = socket.socketpair()
        for end in (self.read_end, self.write_end):
            end.setblocking(False)
        signal.set_wakeup_fd(self.write_end.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)
