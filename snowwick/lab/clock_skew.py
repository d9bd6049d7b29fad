"""Runs the program with a clock offset: ``python -m snowwick.lab.clock_skew SECONDS serve ...``."""

from __future__ import annotations

import sys
import time


def main() -> None:
    seconds, real = float(sys.argv[1]), time.time
    time.time = lambda: real() + seconds
    sys.argv = ["snowwick", *sys.argv[2:]]
    from snowwick.__main__ import main as program

    program()


if __name__ == "__main__":
    main()
