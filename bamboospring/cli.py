"""The entry point of the command line, for serving and for operating.

Exit codes: 0 success; 1 a check failed or an objective is missed; 2 wrong
usage or malformed input; 3 a service that the command needs is unreachable.

Each command imports its dependencies when it runs, so that a serving process
does not load the code for reports, plots or the command line.
"""

from __future__ import annotations

from enum import IntEnum
from importlib import import_module
import os
from pathlib import Path
import sys
from typing import NoReturn
from typing import TYPE_CHECKING
from zipimport import zipimporter

from bamboospring import __version__
from bamboospring.errors import BamboospringError

if TYPE_CHECKING:
    import typer

__all__ = ["ExitCode", "main"]


class ExitCode(IntEnum):
    """The exit codes of the commands."""

    DONE = 0
    NO = 1
    MISUSED = 2
    UNREACHABLE = 3


def main() -> NoReturn:
    """Run the command given in `sys.argv`."""
    match sys.argv[1:]:
        # Bypass typer when serving: with its dependencies it takes 1.7 MB of
        # resident memory (43.8 MB instead of 42.1 MB).
        case ["serve", "--settings", path]:
            _restart_without_archive()
            sys.exit(serve(path))
        case _:
            _run_typer()


def serve(path: str) -> int:
    """Serve with the settings file at `path` until the process is stopped."""
    from bamboospring import logs
    from bamboospring import settings

    try:
        cfg = settings.load(path)
        logs.configure(level=cfg.logs.level, vm=cfg.vm)
        import_module("bamboospring.serve").run(cfg, path)
    except BamboospringError as exc:
        return _print_error(exc)
    return ExitCode.DONE


def serve_sessions(path: str) -> int:
    """Serve sessions on the users' platform until the process is stopped."""
    try:
        import_module("bamboospring.platform.__main__").run(path)
    except BamboospringError as exc:
        return _print_error(exc)
    return ExitCode.DONE


def _restart_without_archive() -> None:
    """Replace the process image if the program was started from an archive.

    The code that unpacked the archive and the archive's directory would
    otherwise take 4 of 62 MB of memory. `exec` keeps the process id.
    """
    loader = getattr(sys.modules["__main__"], "__loader__", None)
    if not isinstance(loader, zipimporter):
        return
    root = str(Path(__file__).resolve().parents[1])
    command = [sys.executable, "-P", "-m", "bamboospring", *sys.argv[1:]]
    os.execve(sys.executable, command, {**os.environ, "PYTHONPATH": root})


def _print_error(exc: BamboospringError) -> ExitCode:
    print(f"bamboospring: {exc}", file=sys.stderr)
    for other in getattr(exc, "others", ()):
        print(f"bamboospring: {other}", file=sys.stderr)
    return ExitCode.MISUSED


def _run_typer() -> NoReturn:
    from bamboospring import commands

    app: typer.Typer = commands.app()
    app(prog_name="bamboospring")
    raise AssertionError("typer always exits")


def version_text() -> str:
    """Return the text that `bamboospring version` prints."""
    return f"bamboospring {__version__}"
