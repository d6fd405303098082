"""The `bamboospring table` commands.

They speak to the operators' listener of any VM, which checks an edit and
carries it to the platform. Exit codes are those of `bamboospring.cli`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import getpass
import json
import os
from pathlib import Path
import shlex
import subprocess
import tempfile
from typing import Annotated
from typing import Any
from typing import NoReturn
import uuid

import typer

from bamboospring.cli import ExitCode
from bamboospring.errors import CommandError
from bamboospring.errors import SourceError
from bamboospring import json_source
from bamboospring.operator_client import OperatorAnswer
from bamboospring.operator_client import OperatorClient
from bamboospring.operator_client import Unreachable
from bamboospring.table_files import locate
from bamboospring.table_files import parse_rows
from bamboospring.table_files import render_rows
from bamboospring.table_text import print_change
from bamboospring.table_text import print_report
from bamboospring.table_text import text_table

__all__ = ["app"]

SHOWN_CHANGES = 20
EXIT_CODES = {
    "accepted": ExitCode.DONE,
    "checked": ExitCode.DONE,
    "refused": ExitCode.NO,
    "overtaken": ExitCode.NO,
    "partly": ExitCode.NO,
    "unavailable": ExitCode.UNREACHABLE,
    "unknown": ExitCode.UNREACHABLE,
}

app = typer.Typer(
    help="Show and edit the table: weights and limits of each group.",
    no_args_is_help=True,
    rich_markup_mode=None,
)

Vms = Annotated[
    list[str],
    typer.Option(
        "--vm",
        envvar="BAMBOOSPRING_VM",
        help="Operators' address of a VM, ip:port; may be given repeatedly.",
    ),
]
Token = Annotated[
    str,
    typer.Option(envvar="BAMBOOSPRING_TOKEN", help="The operators' token."),
]
Authority = Annotated[
    str,
    typer.Option(
        envvar="BAMBOOSPRING_AUTHORITY",
        help="Certificate file that VMs are checked with; empty: no TLS.",
    ),
]
Author = Annotated[
    str, typer.Option(envvar="BAMBOOSPRING_AUTHOR", help="Who edits.")
]
Comment = Annotated[str, typer.Option(help="Why, for the history.")]
Check = Annotated[
    bool, typer.Option("--check", help="Only check; store nothing.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Group = Annotated[str, typer.Argument(help="Only this group.")]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Session:
    """Who edits through which VMs."""

    client: OperatorClient
    author: str
    comment: str
    check_only: bool
    as_json: bool


@app.command()
def show(
    vm: Vms,
    token: Token,
    group: Group = "",
    authority: Authority = "",
    as_json: Json = False,
) -> None:
    """Show the rows as accepted, or in an outage as in force at the VM."""
    table = _get_table(_client(vm, token, authority))
    rows = [row for row in table["rows"] if group in ("", row["group"])]
    if as_json:
        _print_json({**table, "rows": rows})
        return
    if table["source"] != "accepted":
        _note(f"the platform does not answer; in force at {table['vm']}:")
    typer.echo(text_table(rows))


@app.command("set")
def set_cells(
    group: Annotated[str, typer.Argument(help="The row's group.")],
    cells: Annotated[
        list[str],
        typer.Argument(
            help="column=value; for one site read_weights.SITE=value."
        ),
    ],
    vm: Vms,
    token: Token,
    authority: Authority = "",
    if_version: Annotated[
        int | None,
        typer.Option(help="The row's version that you saw, from show."),
    ] = None,
    author: Author = "",
    comment: Comment = "",
    check: Check = False,
    as_json: Json = False,
) -> None:
    """Set cells of one row.

    `bamboospring table set ledger read_weights.old=30 read_weights.new=70`
    """
    session = _session(vm, token, authority, author, comment, check, as_json)
    if if_version is None:
        if_version = _row_version(_get_table(session.client), group)
    edit = {
        "group": group,
        "cells": dict(_parse_cell(cell) for cell in cells),
        "if_version": if_version,
    }
    _submit(session, [edit])


@app.command()
def apply(
    file: Annotated[Path, typer.Argument(help="Rows, JSON with comments.")],
    vm: Vms,
    token: Token,
    authority: Authority = "",
    author: Author = "",
    comment: Comment = "",
    check: Check = False,
    as_json: Json = False,
) -> None:
    """Replace the rows that a file names."""
    session = _session(vm, token, authority, author, comment, check, as_json)
    _apply_text(session, _read_file(file), str(file))


@app.command()
def diff(
    file: Annotated[Path, typer.Argument(help="Rows, JSON with comments.")],
    vm: Vms,
    token: Token,
    authority: Authority = "",
    author: Author = "",
    as_json: Json = False,
) -> None:
    """Show what applying a file would change; nothing is stored."""
    session = _session(vm, token, authority, author, "", True, as_json)
    _apply_text(session, _read_file(file), str(file))


@app.command()
def edit(
    vm: Vms,
    token: Token,
    group: Group = "",
    authority: Authority = "",
    author: Author = "",
    comment: Comment = "",
    as_json: Json = False,
) -> None:
    """Edit rows in the editor that VISUAL or EDITOR names."""
    session = _session(vm, token, authority, author, comment, False, as_json)
    table = _get_table(session.client)
    if table["source"] != "accepted":
        _fail("the platform does not answer; nothing can be edited now")
    rows = [row for row in table["rows"] if group in ("", row["group"])]
    before = render_rows(rows)
    path = _temporary_file(before)
    _run_editor(path)
    after = path.read_text(encoding="utf-8")
    if after == before:
        path.unlink()
        _note("nothing was changed")
        return
    _note(f"your text is kept in {path} until it is accepted")
    _apply_text(session, after, str(path), done=path.unlink)


@app.command()
def history(
    vm: Vms,
    token: Token,
    group: Group = "",
    authority: Authority = "",
    as_json: Json = False,
) -> None:
    """Show accepted edits, newest first."""
    client = _client(vm, token, authority)
    changes = _ok(_call(client, "GET", f"/table/history?group={group}"))
    if as_json:
        _print_json(changes)
        return
    for change in changes[:SHOWN_CHANGES]:
        print_change(change)


# Edits.


def _submit(
    session: _Session,
    edits: Sequence[Mapping[str, Any]],
    place: Callable[[str, str], str] = lambda group, column: "",
) -> bool:
    """Send an edit, print its report; exit unless it is accepted."""
    body = {
        "id": uuid.uuid4().hex,
        "author": session.author,
        "comment": session.comment,
        "check_only": session.check_only,
        "edits": edits,
    }
    answer = _call(session.client, "POST", "/table/edits", body)
    report = answer.body
    if "verdict" not in report:
        _fail(report.get("error", f"status {answer.status}"))
    if session.as_json:
        _print_json(report)
    else:
        print_report(report, place)
    code = EXIT_CODES[report["verdict"]]
    if code is not ExitCode.DONE:
        raise typer.Exit(code)
    return True


def _apply_text(
    session: _Session,
    text: str,
    name: str,
    done: Callable[[], None] = lambda: None,
) -> None:
    try:
        data, edits = parse_rows(text, name=name)
    except SourceError as exc:
        _fail(str(exc))

    def place(group: str, column: str) -> str:
        line, position = locate(data, group, column)
        return f"{name}:{line}:{position}: "

    if _submit(session, edits, place):
        done()


def _parse_cell(text: str) -> tuple[str, Any]:
    name, equals, value = text.partition("=")
    if not equals or not name:
        raise typer.BadParameter(f"{text!r} is not of the form column=value")
    try:
        return name, json_source.parse(value, name=name)
    except SourceError:
        # Names of targets are more readable without brackets and quotes.
        return name, [part for part in value.split(",") if part]


def _row_version(table: Mapping[str, Any], group: str) -> int:
    for row in table["rows"]:
        if row["group"] == group:
            return row["version"] or 0
    return 0


# Calls.


def _client(vm: list[str], token: str, authority: str) -> OperatorClient:
    # In the environment several addresses are separated by blanks.
    vms = [part for text in vm for part in text.replace(",", " ").split()]
    return OperatorClient(vms=vms, token=token, authority=authority)


def _session(
    vm: list[str],
    token: str,
    authority: str,
    author: str,
    comment: str,
    check_only: bool,
    as_json: bool,
) -> _Session:
    return _Session(
        client=_client(vm, token, authority),
        author=author or getpass.getuser(),
        comment=comment,
        check_only=check_only,
        as_json=as_json,
    )


def _call(
    client: OperatorClient, method: str, path: str, body: Any = None
) -> OperatorAnswer:
    try:
        return client.call(method, path, body)
    except Unreachable as exc:
        _fail(str(exc), ExitCode.UNREACHABLE)
    except CommandError as exc:
        _fail(str(exc))


def _get_table(client: OperatorClient) -> dict[str, Any]:
    table: dict[str, Any] = _ok(_call(client, "GET", "/table"))
    return table


def _ok(answer: OperatorAnswer) -> Any:
    if answer.status != 200:
        _fail(f"{answer.vm}: status {answer.status}: {answer.body}")
    return answer.body


def _fail(message: str, code: ExitCode = ExitCode.MISUSED) -> NoReturn:
    _note(message)
    raise typer.Exit(code)


# Files and the editor.


def _read_file(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        _fail(f"{path} cannot be read: {exc}")


def _temporary_file(text: str) -> Path:
    with tempfile.NamedTemporaryFile(
        "w", suffix=".json5", prefix="table-", delete=False, encoding="utf-8"
    ) as file:
        file.write(text)
    return Path(file.name)


def _run_editor(path: Path) -> None:
    editor = os.environ.get("VISUAL") or os.environ.get("EDITOR") or "vi"
    try:
        subprocess.run([*shlex.split(editor), str(path)], check=True)
    except (OSError, subprocess.CalledProcessError) as exc:
        _fail(f"the editor failed, nothing was changed: {exc}")


# Printing.


def _print_json(data: Any) -> None:
    typer.echo(json.dumps(data, indent=2))


def _note(text: str) -> None:
    typer.echo(f"bamboospring: {text}", err=True)
