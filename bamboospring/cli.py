"""The command line: one program for serving and for operating.

Exit codes: 0 done; 1 the answer is no (a check failed, an objective is
missed); 2 the command was misused or its input is malformed; 3 something that
the command needs cannot be reached.

Every command imports what it needs when it runs, so that a serving process
carries nothing of reports, plots or the command line itself.
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
    """What the command's exit status means."""

    DONE = 0
    NO = 1
    MISUSED = 2
    UNREACHABLE = 3


def main() -> NoReturn:
    """Run the command that the process's arguments name."""
    match sys.argv[1:]:
        # Typer and what it imports cost a serving process 1.7 MB (43.8 for
        # 42.1 MB resident) for all its life, so that command goes past it.
        case ["serve", "--settings", path]:
            _leave_archive()
            sys.exit(serve(path))
        case _:
            _run_typer()


def serve(path: str) -> int:
    """Serve with the settings in a file until told to stop."""
    from bamboospring import logs
    from bamboospring import settings

    try:
        cfg = settings.load(path)
        logs.configure(level=cfg.logs.level, vm=cfg.vm)
        import_module("bamboospring.serve").run(cfg, path)
    except BamboospringError as exc:
        return _complain(exc)
    return ExitCode.DONE


def serve_sessions(path: str) -> int:
    """Serve sessions on the users' platform until told to stop."""
    try:
        import_module("bamboospring.platform.__main__").run(path)
    except BamboospringError as exc:
        return _complain(exc)
    return ExitCode.DONE


def _leave_archive() -> None:
    """Go on without the code that unpacked this program, if any did.

    It and the archive's directory would stay in memory, 4 MB of 62. The
    process stays the same one; it only loads the interpreter anew.
    """
    loader = getattr(sys.modules["__main__"], "__loader__", None)
    if not isinstance(loader, zipimporter):
        return
    root = str(Path(__file__).resolve().parents[1])
    command = [sys.executable, "-P", "-m", "bamboospring", *sys.argv[1:]]
    os.execve(sys.executable, command, {**os.environ, "PYTHONPATH": root})


def _complain(exc: BamboospringError) -> ExitCode:
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
    """Return the version as `bamboospring version` prints it."""
    return f"bamboospring {__version__}"
