"""Log lines on standard error, at a bounded rate: a flood of events must not become a flood of writes."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable
from typing import IO

RATE, BURST = 100.0, 500.0  # lines a second in the long run, and at once


class Log:
    """Prints lines while the budget lasts, then counts what it left out and says so."""

    def __init__(self, clock: Callable[[], float] = time.monotonic, sink: IO[str] | None = None) -> None:
        self.clock, self.sink = clock, sink
        self.budget, self.at, self.left_out = BURST, clock(), 0

    def line(self, text: str) -> None:
        now = self.clock()
        self.budget = min(BURST, self.budget + RATE * (now - self.at))
        self.at = now
        if self.budget < 1.0:
            self.left_out += 1
            return
        self.budget -= 1.0
        if self.left_out:
            text, self.left_out = f"log: {self.left_out} lines left out\n{text}", 0
        try:
            print(text, file=self.sink or sys.stderr, flush=True)
        except OSError:
            self.left_out += 1  # a log that cannot be written must not end the program
