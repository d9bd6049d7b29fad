"""The command-line interface."""

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
    from snowwick.fleet.file import FleetFile


@click.group()
def main() -> None:
    """A load balancer for long-lived connections."""


@main.command()
@click.option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    envvar="SNOWWICK_LOG_FORMAT",
    help="Plain text, or one JSON object per event.",
)
@click.option(
    "--contracts",
    type=click.Path(path_type=Path),
    envvar="SNOWWICK_CONTRACTS",
    help="Enforce the teams' contracts in this file (docs/operators/broker.md).",
)
@click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    envvar="SNOWWICK_FLEET",
    help="Join the fleet of balancers that this file describes (docs/operators/fleet-links.md).",
)
def serve(log_format: str, contracts: Path | None, fleet: Path | None) -> None:
    """Serve until SIGTERM, configured by GW_CONFIG and the other GW_ variables."""
    from snowwick.net.signals import SignalSockets

    # Created before the configuration is read, so that a SIGHUP during the start leads to a reload
    signal_sockets = SignalSockets()
    from snowwick.log import Log, as_json, as_text
    from snowwick.net.loop import Loop
    from snowwick.net.service import Service

    settings = _load_config()
    read_contracts = _contracts_reader(contracts, settings) if contracts is not None else None
    try:
        style = as_json(settings.name) if log_format == "json" else as_text
    except ImportError as error:
        raise SystemExit(f"snowwick: --log-format json: {error}; install snowwick[json-log]") from error
    if fleet is not None:
        _read_fleet(fleet)
    try:
        service = Service(
            settings,
            Loop(Log(style=style)),
            read_contracts=read_contracts,
            read_fleet=(lambda: _load_fleet(fleet)) if fleet is not None else None,
        )
    except ValueError as error:
        if contracts is None:
            raise
        raise _report_faults(contracts, error) from error
    except OSError as error:
        raise SystemExit(f"snowwick: {fleet}: links.listen: {error}") from error
    try:
        service.serve(signal_sockets)
    except OSError as error:
        raise SystemExit(f"snowwick: listen: {settings.listen[0]}:{settings.listen[1]}: {error}") from error


@main.command("check-config")
def check_config() -> None:
    """Read and validate the configuration and print a summary."""
    loaded = _load_config()
    click.echo(
        f"name {loaded.name}\nlisten {loaded.listen[0]}:{loaded.listen[1]}\n"
        f"discovery {loaded.discovery[0]}:{loaded.discovery[1]}\nsockets {loaded.sockets}\n"
        f"classes {', '.join(request_class.name for request_class in loaded.settings.classes)}\n"
        f"known {len(loaded.known['servers'])} destinations"
    )


@main.group()
def contracts() -> None:
    """Check contracts and show the limits that result."""


@contracts.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def contracts_check(file: Path) -> None:
    """Check FILE without starting, and against the settings if GW_CONFIG is set."""
    parsed = _read_contracts(file)
    click.echo(f"{file}: {len(parsed.teams)} teams, {len(parsed.pools)} pools")


@contracts.command("explain")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--balancers",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="Number of balancers in the fleet.",
)
def contracts_explain(file: Path, balancers: int) -> None:
    """Print each team's limits at one balancer: guaranteed, if only it is active, and if all are."""
    from snowwick.broker.contract import explain

    rows = explain(_read_contracts(file), balancers)
    click.echo(f"{'team':20} {'pool':14} {'limit':13} {'guaranteed':>11} {'alone':>9} {'all ask':>9}")
    for row in rows:
        for index, key in enumerate(("connections", "setups_per_s", "load")):
            if math.isinf(row[key][1]):
                continue
            figures = "{:>12.6g}{:>10.6g}{:>10.6g}".format(*row[key])
            prefix = f"{row['team']:20} {row['pool']:14}" if not index else " " * 35
            click.echo(f"{prefix} {key:13}{figures}")
        click.echo(f"{'':35} guarantee back within {row['guarantee_after_s']:.1f} s of being asked for")


def _contracts_reader(path: Path, settings: config.Config | None) -> Callable[[], Contracts]:
    """Return a function that reads the contracts file, checked against the settings if they are given."""
    try:
        from snowwick.broker.contract import load
    except ImportError as error:
        raise SystemExit(f"snowwick: --contracts: {error}; install snowwick[contracts]") from error
    if settings is None:
        return lambda: load(path)
    return lambda: load(path, settings.deadlines.keys(), settings.tenants)


def _read_contracts(path: Path) -> Contracts:
    """Read a contracts file; exits with a line for each fault."""
    settings = _load_config() if os.environ.get("GW_CONFIG") else None
    try:
        return _contracts_reader(path, settings)()
    except ValueError as error:
        raise _report_faults(path, error) from error


@main.group()
def fleet() -> None:
    """Check a fleet file and query a balancer for the state of the fleet."""


@fleet.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def fleet_check(file: Path) -> None:
    """Check FILE and its key files without starting."""
    parsed = _read_fleet(file)
    click.echo(f"{file}: {len(parsed.links.seeds)} seeds, {len(parsed.keys)} keys, revision {parsed.digest}")


@fleet.command("status")
@click.argument("file", type=click.Path(path_type=Path))
@click.option(
    "--of", "address", default="", help="The balancer's fleet address; by default the address in FILE."
)
@click.option("--json", "as_json", is_flag=True, help="Print the whole answer as JSON.")
def fleet_status(file: Path, address: str, as_json: bool) -> None:
    """Query one balancer over its fleet link for members, replicated entries and revisions."""
    import json
    import random

    from snowwick.net.status_client import request_status

    fleet_file = _read_fleet(file)
    try:
        answer = request_status(
            fleet_file, address or fleet_file.links.address or fleet_file.links.listen, random.SystemRandom()
        )
    except OSError as error:
        raise SystemExit(f"snowwick: {error}") from error
    if as_json:
        click.echo(json.dumps(answer, indent=1))
        return
    click.echo(
        f"{answer['name']}: {'caught up' if answer['caught_up'] else 'not caught up yet'}"
        f"{', alone' if answer['alone'] else ''}, fleet file {answer['revision']}"
    )
    click.echo(f"{'member':20} {'state':8} {'incarnation':>14} {'entries':>8}  revision")
    for row in answer["members"]:
        own_revision = f"{answer['revision']} {answer['contracts']}".strip()
        revision = own_revision if row["state"] == "self" else answer["revisions"].get(row["name"], "-")
        click.echo(
            f"{row['name']:20} {row['state']:8} {row['incarnation']:14} {row['entries']:8}  {revision}"
        )
    for name, count in answer["kinds_by_name"].items():
        click.echo(f"{name:20} {count} entries")
    for reason, count in answer["dropped"].items():
        click.echo(f"dropped as {reason}: {count}")


def _load_fleet(path: Path) -> FleetFile:
    """Read a fleet file. Raises ValueError with its faults."""
    try:
        from snowwick.fleet.file import load
    except ImportError as error:
        raise SystemExit(f"snowwick: --fleet: {error}; install snowwick[fleet]") from error
    return load(path)


def _read_fleet(path: Path) -> FleetFile:
    """Read a fleet file; exits with a line for each fault."""
    try:
        return _load_fleet(path)
    except ValueError as error:
        raise _report_faults(path, error) from error


def _report_faults(path: Path, error: ValueError) -> SystemExit:
    """Print a line for each fault and return the exit for an invalid configuration."""
    for fault in getattr(error, "faults", [str(error)]):
        print(f"snowwick: {path}: {fault}", file=sys.stderr)
    return SystemExit(2)


@main.command()
def version() -> None:
    """Print the version."""
    click.echo(f"snowwick {__version__}")


def _load_config() -> config.Config:
    """Read the configuration; exits with one line if it is invalid."""
    try:
        return config.load()
    except config.BadConfig as error:
        print(f"snowwick: {error}", file=sys.stderr)
        raise SystemExit(2) from error


if __name__ == "__main__":
    main()
