"""Runs the program with a clock offset: ``python -m snowwick.lab.clock_skew SECONDS serve ...``."""

from __future__ import annotations

import sys
import time


def main() -> None:
    """Add the offset to ``time.time`` and run the program with the remaining arguments."""
    offset_s, real_time = float(sys.argv[1]), time.time
    time.time = lambda: real_time() + offset_s
    sys.argv = ["snowwick", *sys.argv[2:]]
    from snowwick.__main__ import main as program

    program()


if __name__ == "__main__":
    main()
