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
    from snowwick.fleet.file import FleetFile


@click.group()
def main() -> None:
    """A load balancer for connections that last."""


@main.command()
@click.option(
    "--log-format",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
    envvar="SNOWWICK_LOG_FORMAT",
    help="Lines for people, or one JSON object an event.",
)
@click.option(
    "--contracts",
    type=click.Path(path_type=Path),
    envvar="SNOWWICK_CONTRACTS",
    help="Hold teams to the contracts in this file (docs/operators/broker.md).",
)
@click.option(
    "--fleet",
    type=click.Path(path_type=Path),
    envvar="SNOWWICK_FLEET",
    help="Talk to the other balancers as this file says (docs/operators/fleet-links.md).",
)
def serve(log_format: str, contracts: Path | None, fleet: Path | None) -> None:
    """Serve, as GW_CONFIG and the other GW_ variables say, until SIGTERM."""
    from snowwick.net.signals import SignalSockets

    caught = SignalSockets()  # before the configuration is read: what changes after that is reread
    from snowwick.log import Log, as_json, as_text
    from snowwick.net.loop import Loop
    from snowwick.net.service import Service

    settings = _load()
    read = _contracts_reader(contracts, settings) if contracts is not None else None
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
            contracts=read,
            fleet=(lambda: _load_fleet(fleet)) if fleet is not None else None,
        )
    except ValueError as error:
        if contracts is None:
            raise
        raise _faulty(contracts, error) from error
    except OSError as error:
        raise SystemExit(f"snowwick: {fleet}: links.listen: {error}") from error
    try:
        service.serve(caught)
    except OSError as error:
        raise SystemExit(f"snowwick: listen: {settings.listen[0]}:{settings.listen[1]}: {error}") from error


@main.command("check-config")
def check_config() -> None:
    """Read and check the configuration, and print what it comes to."""
    one = _load()
    click.echo(
        f"name {one.name}\nlisten {one.listen[0]}:{one.listen[1]}\n"
        f"discovery {one.discovery[0]}:{one.discovery[1]}\nsockets {one.sockets}\n"
        f"classes {', '.join(c.name for c in one.settings.classes)}\n"
        f"known {len(one.known['servers'])} destinations"
    )


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
@click.option(
    "--balancers", type=click.IntRange(1), default=1, show_default=True, help="How many share the fleet."
)
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


@main.group()
def fleet() -> None:
    """Check a fleet file, and ask a balancer how the fleet stands."""


@fleet.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def fleet_check(file: Path) -> None:
    """Check FILE and the keys that it names, without starting."""
    found = _read_fleet(file)
    click.echo(f"{file}: {len(found.links.seeds)} seeds, {len(found.keys)} keys, revision {found.digest}")


@fleet.command("status")
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--of", "address", default="", help="The balancer's fleet address; else what FILE listens on.")
@click.option("--json", "as_json", is_flag=True, help="The whole answer as JSON.")
def fleet_status(file: Path, address: str, as_json: bool) -> None:
    """Ask one balancer over its link: members, what is replicated, revisions."""
    import json
    import random

    from snowwick.net.status_client import request_status

    found = _read_fleet(file)
    try:
        told = request_status(
            found, address or found.links.address or found.links.listen, random.SystemRandom()
        )
    except OSError as error:
        raise SystemExit(f"snowwick: {error}") from error
    if as_json:
        click.echo(json.dumps(told, indent=1))
        return
    click.echo(
        f"{told['name']}: {'caught up' if told['caught_up'] else 'not caught up yet'}"
        f"{', alone' if told['alone'] else ''}, fleet file {told['revision']}"
    )
    click.echo(f"{'member':20} {'state':8} {'incarnation':>14} {'entries':>8}  revision")
    for one in told["members"]:
        mine = f"{told['revision']} {told['contracts']}".strip()
        revision = mine if one["state"] == "self" else told["revisions"].get(one["name"], "-")
        click.echo(
            f"{one['name']:20} {one['state']:8} {one['incarnation']:14} {one['entries']:8}  {revision}"
        )
    for name, count in told["kinds_by_name"].items():
        click.echo(f"{name:20} {count} entries")
    for reason, count in told["dropped"].items():
        click.echo(f"dropped as {reason}: {count}")


def _load_fleet(path: Path) -> FleetFile:
    try:
        from snowwick.fleet.file import load
    except ImportError as error:
        raise SystemExit(f"snowwick: --fleet: {error}; install snowwick[fleet]") from error
    return load(path)


def _read_fleet(path: Path) -> FleetFile:
    try:
        return _load_fleet(path)
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
