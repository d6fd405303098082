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
    """Add the commands to the program's."""
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
        bool, typer.Option("--group", help="Tell a group's changes.")
    ] = False,
    catalog: Annotated[
        bool,
        typer.Option("--catalog", help="Tell when a version took force."),
    ] = False,
) -> None:
    """Tell from the logs of VMs what became of a request, and why.

    With `--group` the changes of a group's primary, with `--catalog` the VMs
    that put a version of the configuration in force. Ends with 1 if no line
    names it.
    """
    tool = import_module("bamboospring.explain")
    events = _events(files)
    if group:
        story = tool.story_of_group(events, what)
    elif catalog:
        story = tool.story_of_catalog(events, what)
    else:
        story = tool.story_of_request(events, what)
    typer.echo("\n".join(story))
    known = not story[0].startswith("No line names")
    raise typer.Exit(cli.ExitCode.DONE if known else cli.ExitCode.NO)


def losses(
    files: Annotated[
        list[Path] | None,
        typer.Argument(help="Logs of VMs; none: standard input."),
    ] = None,
    since: Annotated[
        str, typer.Option(help="First time, as it stands in the logs.")
    ] = "",
    until: Annotated[
        str, typer.Option(help="Last time, as it stands in the logs.")
    ] = "~",
) -> None:
    """Count from the logs of VMs what callers lost, and why.

    A row for each group, kind of statement and reason, the most frequent
    first, with the first and last second. Ends with 1 if nothing was lost.
    """
    tool = import_module("bamboospring.losses")
    found = tool.count_losses(_events(files), since=since, until=until)
    typer.echo("\n".join(tool.losses_text(found)))
    raise typer.Exit(cli.ExitCode.DONE if found else cli.ExitCode.NO)


def _events(files: list[Path] | None) -> Any:
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
