"""The command line."""

from __future__ import annotations

import math
import os
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from snowwick import __version__, config

if TYPE_CHECKING:
    from snowwick.broker.contract import Contracts


@click.group()
def main() -> None:
    """A load balancer for connections that last."""


@main.command()
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True,
              envvar="SNOWWICK_LOG_FORMAT", help="Lines for people, or one JSON object an event.")
@click.option("--contracts", type=click.Path(path_type=Path), envvar="SNOWWICK_CONTRACTS",
              help="Hold teams to the contracts in this file (docs/operators/broker.md).")
def serve(log_format: str, contracts: Path | None) -> None:
    """Serve, as GW_CONFIG and the other GW_ variables say, until SIGTERM."""
    from snowwick.log import Log, as_json, as_text
    from snowwick.net.loop import Loop
    from snowwick.net.service import Service

    settings = _load()
    read = _contracts_reader(contracts, settings) if contracts is not None else None
    try:
        style = as_json(settings.name) if log_format == "json" else as_text
    except ImportError as error:
        raise SystemExit(f"snowwick: --log-format json: {error}; install snowwick[json-log]") from error
    try:
        service = Service(settings, Loop(Log(style=style)), contracts=read)
    except ValueError as error:
        if contracts is None:
            raise
        raise _faulty(contracts, error) from error
    try:
        service.serve()
    except OSError as error:
        raise SystemExit(f"snowwick: listen: {settings.listen[0]}:{settings.listen[1]}: {error}") from error


@main.command("check-config")
def check_config() -> None:
    """Read and check the configuration, and print what it comes to."""
    one = _load()
    click.echo(f"name {one.name}\nlisten {one.listen[0]}:{one.listen[1]}\n"
               f"discovery {one.discovery[0]}:{one.discovery[1]}\nsockets {one.sockets}\n"
               f"classes {', '.join(c.name for c in one.settings.classes)}\n"
               f"known {len(one.known['servers'])} destinations")


@main.group()
def contracts() -> None:
    """Check contracts, and show what they come to."""


@contracts.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def contracts_check(file: Path) -> None:
    """Check FILE without starting; against the settings too where GW_CONFIG names them."""
    found = _read_contracts(file)
    click.echo(f"{file}: {len(found.teams)} teams, {len(found.pools)} pools")


@contracts.command("explain")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--balancers", type=click.IntRange(1), default=1, show_default=True,
              help="How many share the fleet.")
def contracts_explain(file: Path, balancers: int) -> None:
    """Print what each team of FILE gets at one balancer: guaranteed, alone, and when all ask."""
    from snowwick.broker.contract import explain

    rows = explain(_read_contracts(file), balancers)
    click.echo(f"{'team':20} {'pool':14} {'limit':13} {'guaranteed':>11} {'alone':>9} {'all ask':>9}")
    for row in rows:
        for at, key in enumerate(("connections", "setups_per_s", "load")):
            if math.isinf(row[key][1]):
                continue
            figures = "{:>12.6g}{:>10.6g}{:>10.6g}".format(*row[key])
            first = f"{row['team']:20} {row['pool']:14}" if not at else " " * 35
            click.echo(f"{first} {key:13}{figures}")
        click.echo(f"{'':35} guarantee back within {row['guarantee_after_s']:.1f} s of being asked for")


def _contracts_reader(path: Path, settings: config.Config | None) -> Callable[[], Contracts]:
    try:
        from snowwick.broker.contract import load
    except ImportError as error:
        raise SystemExit(f"snowwick: --contracts: {error}; install snowwick[contracts]") from error
    if settings is None:
        return lambda: load(path)
    return lambda: load(path, settings.deadlines.keys(), settings.tenants)


def _read_contracts(path: Path) -> Contracts:
    settings = _load() if os.environ.get("GW_CONFIG") else None
    try:
        return _contracts_reader(path, settings)()
    except ValueError as error:
        raise _faulty(path, error) from error


def _faulty(path: Path, error: ValueError) -> SystemExit:
    """A line for each fault, and the code for bad configuration."""
    for fault in getattr(error, "faults", [str(error)]):
        print(f"snowwick: {path}: {fault}", file=sys.stderr)
    return SystemExit(2)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"snowwick {__version__}")


def _load() -> config.Config:
    try:
        return config.load()
    except config.BadConfig as error:
        print(f"snowwick: {error}", file=sys.stderr)
        raise SystemExit(2) from error


if __name__ == "__main__":
    main()
