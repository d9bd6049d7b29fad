"""Writes the tables of ``docs/CAPACITY.md`` from the committed result files in ``docs/capacity/``.

    python -m snowwick.lab.capacity [--check] [--page FILE] [--slopes FOLDER]

Exits with 0, or with 2 and a message where a file cannot be used.  With ``--check`` it writes nothing and
exits with 1 where the tables on the page differ from those of the result files.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path

from snowwick.lab.capacity_model import Measurements, merge_results
from snowwick.lab.capacity_tables import InvalidPage, render

DEFAULT_PAGE = Path("docs/CAPACITY.md")
DEFAULT_RESULTS_FOLDER = Path("docs/capacity")


def read_results(folder: Path) -> Measurements:
    """The merged result files of a folder; raises ValueError with the name of an invalid file."""
    files = []
    for path in sorted(folder.glob("*.json")):
        try:
            file = json.loads(path.read_text(encoding="utf-8"))
        except ValueError as error:
            raise ValueError(f"{path.name}: {error}") from error
        if not isinstance(file, dict):
            raise ValueError(f"{path.name}: the file does not contain a JSON object")
        files.append((path.name, file))
    return merge_results(files)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(
        description="Write the tables of docs/CAPACITY.md from docs/capacity/*.json."
    )
    parser.add_argument("--check", action="store_true", help="write nothing; exit with 1 if the page differs")
    parser.add_argument("--page", type=Path, default=DEFAULT_PAGE)
    parser.add_argument("--slopes", type=Path, default=DEFAULT_RESULTS_FOLDER)
    options = parser.parse_args(arguments)
    try:
        page = options.page.read_text(encoding="utf-8")
        new_page = render(page, read_results(options.slopes))
    except (OSError, ValueError) as error:
        print(f"{options.page}: {error}" if isinstance(error, InvalidPage) else error, file=sys.stderr)
        return 2
    if new_page == page:
        return 0
    if options.check:
        print(f"{options.page}: the tables differ from the result files; run python -m snowwick.lab.capacity")
        return 1
    options.page.write_text(new_page, encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
