"""The common form of a benchmark's result, and its command line."""

from __future__ import annotations

import argparse
import json
from dataclasses import dataclass
from pathlib import Path
from typing import Literal


@dataclass(slots=True, frozen=True)
class Figure:
    """One measured value against its bound."""

    value: float
    bound: float
    better: Literal["higher", "lower"]

    @property
    def kept(self) -> bool:
        return self.value >= self.bound if self.better == "higher" else self.value <= self.bound


def options(text: str) -> argparse.Namespace:
    """``--quick`` and ``--json FILE``."""
    parser = argparse.ArgumentParser(description=text)
    parser.add_argument("--quick", action="store_true", help="end within 50 s")
    parser.add_argument("--json", type=Path, help="write the figures there")
    return parser.parse_args()


def report(figures: dict[str, Figure], beside: dict[str, float], path: Path | None) -> None:
    """Print the figures, then what was measured beside them without a bound; write them as JSON."""
    for name, one in figures.items():
        sign = ">=" if one.better == "higher" else "<="
        print(f"{name:44} {one.value:10.4g}  {sign} {one.bound:<8.4g} {'kept' if one.kept else 'NOT KEPT'}")
    for name, value in beside.items():
        print(f"{name:44} {value:10.4g}")
    if path is not None:
        rows = {
            name: {"value": one.value, "bound": one.bound, "better": one.better, "kept": one.kept}
            for name, one in figures.items()
        }
        path.write_text(json.dumps({"figures": rows, "beside": beside}, indent=1) + "\n", encoding="utf-8")
