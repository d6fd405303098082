"""The commands that operators type, declared with typer.

A command only reads its options and prints; what it does is in the module
that it imports when it runs.
"""

from __future__ import annotations

from importlib import import_module
import json
from pathlib import Path
import sys
from typing import Annotated

import typer

from bamboospring import __version__
from bamboospring import cli
from bamboospring.errors import SettingsError
from bamboospring import explain_command
from bamboospring import fleet_commands
from bamboospring import load_command
from bamboospring import table_commands

__all__ = ["app"]

STORY = """A database proxy with session consistency.

Each VM runs `bamboospring serve`. Callers send statements over HTTP to any
VM and see their own writes through every other one. Operators move reads and
writes between sites with `bamboospring table` and watch the fleet with
`bamboospring status`.

Begin with `bamboospring demo`: it starts a small fleet on this machine, runs
real work through it and prints what came of it.
"""

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def app() -> typer.Typer:
    """Return the whole command line."""
    root = typer.Typer(
        help=STORY,
        no_args_is_help=True,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
        context_settings={"help_option_names": ["-h", "--help"]},
    )
    root.command()(serve)
    root.command()(demo)
    root.command()(check)
    root.command()(version)
    root.add_typer(table_commands.app, name="table")
    fleet_commands.add_to(root)
    load_command.add_to(root)
    explain_command.add_to(root)
    return root


def serve(
    settings: Annotated[
        Path, typer.Option(help="Settings: JSON with comments.")
    ],
) -> None:
    """Serve on this VM until SIGTERM, which drains first.

    SIGHUP reads the settings again: keys, tokens and the level of logs change
    without a restart.
    """
    raise typer.Exit(cli.serve(str(settings)))


def demo(
    scenario: Annotated[
        str, typer.Option(help="carpatica or malabar.")
    ] = "carpatica",
    seconds: Annotated[
        float, typer.Option(help="How long callers work.", min=1)
    ] = 10.0,
    callers: Annotated[
        int, typer.Option(help="How many work at once.", min=1, max=200)
    ] = 24,
    hold: Annotated[
        float, typer.Option(help="Keep the fleet up so long afterwards.")
    ] = 0.0,
    as_json: Json = False,
) -> None:
    """Start a fleet on this machine, run real work through it, report.

    Nine VMs, three database groups of three targets, four availability zones
    and callers that roam between VMs, all as processes on loopback; nothing is
    left running. Ends with 0 if every answer was right and the books balance.
    """
    run = import_module("bamboospring.demo").run
    code = run(
        scenario=scenario,
        seconds=seconds,
        callers=callers,
        as_json=as_json,
        hold=hold,
    )
    raise typer.Exit(code)


def check(
    files: Annotated[
        list[Path] | None, typer.Argument(help="Settings files.")
    ] = None,
    reference: Annotated[
        bool,
        typer.Option("--reference", help="Print the page of all settings."),
    ] = False,
    sessions: Annotated[
        bool,
        typer.Option("--sessions", help="Of VMs that serve sessions."),
    ] = False,
    as_json: Json = False,
) -> None:
    """Check settings files, each fault with its line and column.

    Ends with 0 if all can be used, with 1 if one cannot.
    """
    if reference:
        from bamboospring import settings_reference

        typer.echo(settings_reference.page(), nl=False)
        return
    if not files:
        raise typer.BadParameter("name a settings file, or use --reference")
    faults = [fault for path in files for fault in _faults(path, sessions)]
    if as_json:
        typer.echo(json.dumps([_fault_fields(each) for each in faults]))
    else:
        for fault in faults:
            typer.echo(str(fault), err=True)
        if not faults:
            typer.echo("usable: " + ", ".join(str(path) for path in files))
    raise typer.Exit(cli.ExitCode.NO if faults else cli.ExitCode.DONE)


def version(as_json: Json = False) -> None:
    """Print the version of the program and of the language."""
    if as_json:
        python = ".".join(str(part) for part in sys.version_info[:3])
        typer.echo(json.dumps({"version": __version__, "python": python}))
        return
    typer.echo(cli.version_text())


def _faults(path: Path, sessions: bool) -> list[SettingsError]:
    from bamboospring.sessions.settings import SessionSettings
    from bamboospring.settings import load_as
    from bamboospring.settings import Settings

    try:
        load_as(SessionSettings if sessions else Settings, path)
    except SettingsError as exc:
        return [exc, *exc.others]
    return []


def _fault_fields(fault: SettingsError) -> dict[str, str | int]:
    return {
        "file": fault.name,
        "line": fault.line,
        "column": fault.column,
        "message": fault.message,
    }
