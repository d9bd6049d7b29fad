"""The command line."""

from __future__ import annotations

import sys

import click

from snowwick import __version__, config


@click.group()
def main() -> None:
    """A load balancer for connections that last."""


@main.command()
@click.option("--log-format", type=click.Choice(["text", "json"]), default="text", show_default=True,
              envvar="SNOWWICK_LOG_FORMAT", help="Lines for people, or one JSON object an event.")
def serve(log_format: str) -> None:
    """Serve, as GW_CONFIG and the other GW_ variables say, until SIGTERM."""
    from snowwick.log import Log, as_json, as_text
    from snowwick.net.loop import Loop
    from snowwick.net.service import Service

    settings = _load()
    try:
        style = as_json(settings.name) if log_format == "json" else as_text
    except ImportError as error:
        raise SystemExit(f"snowwick: --log-format json: {error}; install snowwick[json-log]") from error
    try:
        Service(settings, Loop(Log(style=style))).serve()
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
