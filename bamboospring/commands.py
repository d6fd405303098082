"""The operators' commands, declared with typer.

The functions here only parse options and print. Each command imports the
module with its implementation when it runs.
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

HELP_TEXT = """A database proxy with session consistency.

Each VM runs `bamboospring serve`. Callers send statements over HTTP to any
VM and read their own writes through every other VM. Operators move reads and
writes between sites with `bamboospring table` and monitor the fleet with
`bamboospring status`.

To try it, run `bamboospring demo`: it starts a small fleet on this machine,
runs a workload through it and prints the results.
"""

Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def app() -> typer.Typer:
    """Return the typer application with all commands."""
    root = typer.Typer(
        help=HELP_TEXT,
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
        Path, typer.Option(help="Settings file (JSON with comments).")
    ],
) -> None:
    """Serve on this VM until SIGTERM, which drains before it stops.

    SIGHUP reloads the settings: keys, tokens and the log level change without
    a restart.
    """
    raise typer.Exit(cli.serve(str(settings)))


def demo(
    scenario: Annotated[
        str, typer.Option(help="Scenario: carpatica or malabar.")
    ] = "carpatica",
    seconds: Annotated[
        float, typer.Option(help="Seconds during which jobs start.", min=1)
    ] = 10.0,
    callers: Annotated[
        int, typer.Option(help="Concurrent callers.", min=1, max=200)
    ] = 24,
    hold: Annotated[
        float, typer.Option(help="Seconds to keep the fleet running.")
    ] = 0.0,
    as_json: Json = False,
) -> None:
    """Start a fleet on this machine, run a workload and report the results.

    Starts nine VMs and three database groups of three targets in four
    availability zones, and callers that switch between VMs. All of them are
    processes on loopback and stop with the command. Exits with 0 if every
    answer was correct and all integrity checks pass.
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
        list[Path] | None, typer.Argument(help="Settings files to check.")
    ] = None,
    reference: Annotated[
        bool,
        typer.Option("--reference", help="Print the settings reference."),
    ] = False,
    sessions: Annotated[
        bool,
        typer.Option("--sessions", help="Files of serve-sessions VMs."),
    ] = False,
    as_json: Json = False,
) -> None:
    """Check settings files and print each error with its line and column.

    Exits with 0 if all files are valid and with 1 otherwise.
    """
    if reference:
        from bamboospring import settings_reference

        typer.echo(settings_reference.page(), nl=False)
        return
    if not files:
        raise typer.BadParameter("name a settings file, or use --reference")
    errors = [
        error for path in files for error in _settings_errors(path, sessions)
    ]
    if as_json:
        typer.echo(json.dumps([_error_fields(each) for each in errors]))
    else:
        for error in errors:
            typer.echo(str(error), err=True)
        if not errors:
            typer.echo("valid: " + ", ".join(str(path) for path in files))
    raise typer.Exit(cli.ExitCode.NO if errors else cli.ExitCode.DONE)


def version(as_json: Json = False) -> None:
    """Print the version; with --json also the version of Python."""
    if as_json:
        python = ".".join(str(part) for part in sys.version_info[:3])
        typer.echo(json.dumps({"version": __version__, "python": python}))
        return
    typer.echo(cli.version_text())


def _settings_errors(path: Path, sessions: bool) -> list[SettingsError]:
    from bamboospring.sessions.settings import SessionSettings
    from bamboospring.settings import load_as
    from bamboospring.settings import Settings

    try:
        load_as(SessionSettings if sessions else Settings, path)
    except SettingsError as exc:
        return [exc, *exc.others]
    return []


def _error_fields(error: SettingsError) -> dict[str, str | int]:
    return {
        "file": error.name,
        "line": error.line,
        "column": error.column,
        "message": error.message,
    }
