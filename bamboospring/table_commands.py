"""The `bamboospring table` commands.

They call the operators' listener of any VM, which validates an edit and stores
it at the platform. Exit codes are those of `bamboospring.cli`.
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
from bamboospring.table_text import format_table
from bamboospring.table_text import print_change
from bamboospring.table_text import print_report

__all__ = ["app"]

MAX_SHOWN_CHANGES = 20
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
    str, typer.Option(envvar="BAMBOOSPRING_AUTHOR", help="Author of the edit.")
]
Comment = Annotated[
    str, typer.Option(help="Reason for the edit, kept in the history.")
]
Check = Annotated[
    bool, typer.Option("--check", help="Only check; store nothing.")
]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Group = Annotated[str, typer.Argument(help="Only this group.")]


@dataclass(frozen=True, slots=True, kw_only=True)
class _EditSession:
    """The author, the client and the options of one edit command."""

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
    """Show accepted rows, or those in force at the VM in an outage."""
    table = _get_table(_new_client(vm, token, authority))
    rows = [row for row in table["rows"] if group in ("", row["group"])]
    if as_json:
        _print_json({**table, "rows": rows})
        return
    if table["source"] != "accepted":
        _print_message(
            f"the platform does not answer; rows in force at {table['vm']}:"
        )
    typer.echo(format_table(rows))


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
        typer.Option(help="Version of the row that show printed."),
    ] = None,
    author: Author = "",
    comment: Comment = "",
    check: Check = False,
    as_json: Json = False,
) -> None:
    """Set cells of one row.

    `bamboospring table set ledger read_weights.old=30 read_weights.new=70`
    """
    session = _new_session(
        vm, token, authority, author, comment, check, as_json
    )
    if if_version is None:
        if_version = _row_version(_get_table(session.client), group)
    edit = {
        "group": group,
        "cells": dict(_parse_cell(cell) for cell in cells),
        "if_version": if_version,
    }
    _submit_edits(session, [edit])


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
    """Replace the rows that are named in a file."""
    session = _new_session(
        vm, token, authority, author, comment, check, as_json
    )
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
    """Show what applying a file would change, without storing it."""
    session = _new_session(vm, token, authority, author, "", True, as_json)
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
    """Edit rows in the editor set by VISUAL or EDITOR."""
    session = _new_session(
        vm, token, authority, author, comment, False, as_json
    )
    table = _get_table(session.client)
    if table["source"] != "accepted":
        _exit_with_error("the platform does not answer; rows can't be edited")
    rows = [row for row in table["rows"] if group in ("", row["group"])]
    before = render_rows(rows)
    path = _temporary_file(before)
    _run_editor(path)
    after = path.read_text(encoding="utf-8")
    if after == before:
        path.unlink()
        _print_message("no row was changed")
        return
    _print_message(
        f"the edited text is kept in {path} until the edit is accepted"
    )
    _apply_text(session, after, str(path), on_accepted=path.unlink)


@app.command()
def history(
    vm: Vms,
    token: Token,
    group: Group = "",
    authority: Authority = "",
    as_json: Json = False,
) -> None:
    """Show accepted edits, newest first."""
    client = _new_client(vm, token, authority)
    changes = _checked_body(
        _call_vm(client, "GET", f"/table/history?group={group}")
    )
    if as_json:
        _print_json(changes)
        return
    for change in changes[:MAX_SHOWN_CHANGES]:
        print_change(change)


# Edits.


def _submit_edits(
    session: _EditSession,
    edits: Sequence[Mapping[str, Any]],
    format_location: Callable[[str, str], str] = lambda group, column: "",
) -> bool:
    """Submit an edit and print its report; exit unless it is accepted."""
    body = {
        "id": uuid.uuid4().hex,
        "author": session.author,
        "comment": session.comment,
        "check_only": session.check_only,
        "edits": edits,
    }
    answer = _call_vm(session.client, "POST", "/table/edits", body)
    report = answer.body
    if "verdict" not in report:
        _exit_with_error(report.get("error", f"status {answer.status}"))
    if session.as_json:
        _print_json(report)
    else:
        print_report(report, format_location)
    code = EXIT_CODES[report["verdict"]]
    if code is not ExitCode.DONE:
        raise typer.Exit(code)
    return True


def _apply_text(
    session: _EditSession,
    text: str,
    file_name: str,
    on_accepted: Callable[[], None] = lambda: None,
) -> None:
    try:
        data, edits = parse_rows(text, name=file_name)
    except SourceError as exc:
        _exit_with_error(str(exc))

    def format_location(group: str, column: str) -> str:
        line, character = locate(data, group, column)
        return f"{file_name}:{line}:{character}: "

    if _submit_edits(session, edits, format_location):
        on_accepted()


def _parse_cell(text: str) -> tuple[str, Any]:
    name, equals, value = text.partition("=")
    if not equals or not name:
        raise typer.BadParameter(
            f"{text!r} does not have the form column=value"
        )
    try:
        return name, json_source.parse(value, name=name)
    except SourceError:
        # Accepts a list of target names without brackets and quotes.
        return name, [part for part in value.split(",") if part]


def _row_version(table: Mapping[str, Any], group: str) -> int:
    for row in table["rows"]:
        if row["group"] == group:
            return row["version"] or 0
    return 0


# Calls.


def _new_client(vm: list[str], token: str, authority: str) -> OperatorClient:
    # BAMBOOSPRING_VM separates several addresses by blanks.
    vms = [part for text in vm for part in text.replace(",", " ").split()]
    return OperatorClient(vms=vms, token=token, authority=authority)


def _new_session(
    vm: list[str],
    token: str,
    authority: str,
    author: str,
    comment: str,
    check_only: bool,
    as_json: bool,
) -> _EditSession:
    return _EditSession(
        client=_new_client(vm, token, authority),
        author=author or getpass.getuser(),
        comment=comment,
        check_only=check_only,
        as_json=as_json,
    )


def _call_vm(
    client: OperatorClient, method: str, path: str, body: Any = None
) -> OperatorAnswer:
    try:
        return client.call(method, path, body)
    except Unreachable as exc:
        _exit_with_error(str(exc), ExitCode.UNREACHABLE)
    except CommandError as exc:
        _exit_with_error(str(exc))


def _get_table(client: OperatorClient) -> dict[str, Any]:
    table: dict[str, Any] = _checked_body(_call_vm(client, "GET", "/table"))
    return table


def _checked_body(answer: OperatorAnswer) -> Any:
    if answer.status != 200:
        _exit_with_error(f"{answer.vm}: status {answer.status}: {answer.body}")
    return answer.body


def _exit_with_error(
    message: str, code: ExitCode = ExitCode.MISUSED
) -> NoReturn:
    _print_message(message)
    raise typer.Exit(code)


# Files and the editor.


def _read_file(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        _exit_with_error(f"{path} cannot be read: {exc}")


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
        _exit_with_error(f"the editor failed; no row was changed: {exc}")


# Printing.


def _print_json(data: Any) -> None:
    typer.echo(json.dumps(data, indent=2))


def _print_message(text: str) -> None:
    typer.echo(f"bamboospring: {text}", err=True)
