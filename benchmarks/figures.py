"""The result format and the command line that all benchmarks share."""

from __future__ import annotations

import argparse
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Literal


@dataclass(slots=True, frozen=True)
class Figure:
    """A measured value and the bound that it has to keep."""

    value: float
    bound: float
    better: Literal["higher", "lower"]

    @property
    def kept(self) -> bool:
        """Whether the value is within its bound."""
        return self.value >= self.bound if self.better == "higher" else self.value <= self.bound


def parse_options(program_description: str) -> argparse.Namespace:
    """Parse the command line of a benchmark: ``--quick`` and ``--json FILE``."""
    parser = argparse.ArgumentParser(description=program_description)
    parser.add_argument("--quick", action="store_true", help="finish within 50 s")
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    return parser.parse_args()


def report(figures: dict[str, Figure], values_without_bound: dict[str, float], path: Path | None) -> None:
    """Print the figures and then the values that have no bound; write both as JSON if ``path`` is given."""
    for name, figure in figures.items():
        sign = ">=" if figure.better == "higher" else "<="
        print(
            f"{name:44} {figure.value:10.4g}  {sign} {figure.bound:<8.4g} "
            f"{'kept' if figure.kept else 'NOT KEPT'}"
        )
    for name, value in values_without_bound.items():
        print(f"{name:44} {value:10.4g}")
    if path is not None:
        rows = {
            name: {
                "value": figure.value,
                "bound": figure.bound,
                "better": figure.better,
                "kept": figure.kept,
            }
            for name, figure in figures.items()
        }
        path.write_text(
            json.dumps({"figures": rows, "beside": values_without_bound}, indent=1) + "\n", encoding="utf-8"
        )
