"""Writes the tables of ``docs/CAPACITY.md`` from the committed slopes in ``docs/capacity/``.

    python -m snowwick.lab.capacity [--check] [--page FILE] [--slopes FOLDER]

Ends with 0; with ``--check``, which writes nothing, with 1 where the page says other than the command.  2
where a file cannot be used: its name and the fault are said.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from snowwick.lab.capacity_model import Measurements, merge_results
from snowwick.lab.capacity_tables import BadPage, render

PAGE, SLOPES = Path("docs/CAPACITY.md"), Path("docs/capacity")


def read(folder: Path) -> Measurements:
    """The slopes of a folder; raises ValueError with the file's name."""
    files = []
    for path in sorted(folder.glob("*.json")):
        try:
            file = json.loads(path.read_text(encoding="utf-8"))
        except ValueError as error:
            raise ValueError(f"{path.name}: {error}") from error
        if not isinstance(file, dict):
            raise ValueError(f"{path.name}: no object")
        files.append((path.name, file))
    return merge_results(files)


def main(arguments: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(description="The tables of docs/CAPACITY.md from docs/capacity/*.json.")
    parser.add_argument("--check", action="store_true", help="write nothing; 1 where the page says otherwise")
    parser.add_argument("--page", type=Path, default=PAGE)
    parser.add_argument("--slopes", type=Path, default=SLOPES)
    given = parser.parse_args(arguments)
    try:
        page = given.page.read_text(encoding="utf-8")
        new = render(page, read(given.slopes))
    except (OSError, ValueError) as error:
        print(f"{given.page}: {error}" if isinstance(error, BadPage) else error, file=sys.stderr)
        return 2
    if new == page:
        return 0
    if given.check:
        print(
            f"{given.page}: the tables are not what the slopes say; python -m snowwick.lab.capacity does it"
        )
        return 1
    given.page.write_text(new, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
