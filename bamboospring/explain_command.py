"""The commands `bamboospring explain`, `losses` and `serve-sessions`."""

from __future__ import annotations

from importlib import import_module
from pathlib import Path
import sys
from typing import Annotated
from typing import Any

import typer

from bamboospring import cli

__all__ = ["add_to"]


def add_to(root: typer.Typer) -> None:
    """Add the commands of this module to the command line."""
    root.command()(explain)
    root.command()(losses)
    root.command(name="serve-sessions")(serve_sessions)


def explain(
    what: Annotated[str, typer.Argument(help="Request id, group or version.")],
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of VMs; none: standard input."),
    ] = None,
    group: Annotated[
        bool, typer.Option("--group", help="Show a group's changes.")
    ] = False,
    catalog: Annotated[
        bool,
        typer.Option("--catalog", help="Show when a version came into force."),
    ] = False,
) -> None:
    """Explain the outcome of a request from the logs of VMs.

    With `--group`, show the changes of a group's primary; with `--catalog`,
    the VMs that put a version of the configuration in force. Exits with 1 if
    no line names it.
    """
    tool = import_module("bamboospring.explain")
    events = _read_events(files)
    if group:
        report = tool.describe_group(events, what)
    elif catalog:
        report = tool.describe_catalog(events, what)
    else:
        report = tool.describe_request(events, what)
    typer.echo("\n".join(report))
    found = not report[0].startswith("No line names")
    raise typer.Exit(cli.ExitCode.DONE if found else cli.ExitCode.NO)


def losses(
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of VMs; none: standard input."),
    ] = None,
    since: Annotated[
        str, typer.Option(help="Start time, in the format of the logs.")
    ] = "",
    until: Annotated[
        str, typer.Option(help="End time, in the format of the logs.")
    ] = "~",
) -> None:
    """Count failed statements and their reasons in the logs of VMs.

    Prints a row for each group, kind of statement and reason, the most
    frequent first, with the first and last second. Exits with 1 if no
    statement failed.
    """
    tool = import_module("bamboospring.losses")
    counted = tool.count_losses(_read_events(files), since=since, until=until)
    typer.echo("\n".join(tool.format_losses(counted)))
    raise typer.Exit(cli.ExitCode.DONE if counted else cli.ExitCode.NO)


def _read_events(files: list[Path] | None) -> Any:
    """Return the events in log files, or in standard input."""
    try:
        texts = [path.read_text(errors="replace") for path in files or ()]
    except OSError as exc:
        typer.echo(f"bamboospring: {exc}", err=True)
        raise typer.Exit(cli.ExitCode.MISUSED) from exc
    if not files:
        texts = [sys.stdin.read()]
    lines = [line for text in texts for line in text.splitlines()]
    return import_module("bamboospring.explain").read_events(lines)


def serve_sessions(
    settings: Annotated[
        Path, typer.Option(help="Settings: JSON with comments.")
    ],
) -> None:
    """Serve sessions on the users' platform until SIGTERM."""
    raise typer.Exit(cli.serve_sessions(str(settings)))
