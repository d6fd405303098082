"""The operators' HTTP API for the table.

    GET  /table                   accepted rows with their versions
    GET  /table/in-force          rows in force at this VM
    GET  /table/history?group=g   accepted changes, newest first
    GET  /table/page              HTML page to view and edit the table
    POST /table/edits             submit an edit; the answer is its report

The listener checks the operator's token before it calls `TablePages.handle`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from datetime import datetime
from datetime import timezone
from functools import partial
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import orjson
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import TableRow
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.http_server import Request
from bamboospring.http_server import Response
from bamboospring.platform_client import Changes
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_client import Unavailable
from bamboospring.reactor import Reactor
from bamboospring.records import encode_row
from bamboospring.table import CellDiff
from bamboospring.table import decode_stored
from bamboospring.table import encode_change
from bamboospring.table import RowConflict
from bamboospring.table import RowEdit
from bamboospring.table import StoredShard
from bamboospring.table_editor import EditReport
from bamboospring.table_editor import EditRequest
from bamboospring.table_editor import TableEditor
from bamboospring.table_editor import Verdict

__all__ = ["TablePages", "make_target_prober", "report_as_json"]

PATH_PREFIX = "/table"
PROBE_TIMEOUT = 1.0
MAX_EDITS = 600

VERDICT_STATUS = {
    Verdict.ACCEPTED: HTTPStatus.OK,
    Verdict.CHECKED: HTTPStatus.OK,
    Verdict.REFUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    Verdict.OVERTAKEN: HTTPStatus.CONFLICT,
    Verdict.PARTLY: HTTPStatus.CONFLICT,
    Verdict.UNAVAILABLE: HTTPStatus.SERVICE_UNAVAILABLE,
    Verdict.UNKNOWN: HTTPStatus.GATEWAY_TIMEOUT,
}

Respond = Callable[[Response], None]


class _RowEditModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    group: str = Field(min_length=1, max_length=128)
    cells: dict[str, Any] = Field(default_factory=dict)
    replace: bool = False
    remove: bool = False
    if_version: int | None = Field(default=None, ge=0)


class _EditModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    id: str = Field(min_length=8, max_length=64)
    author: str = Field(min_length=1, max_length=128)
    comment: str = Field(default="", max_length=500)
    check_only: bool = False
    edits: list[_RowEditModel] = Field(min_length=1, max_length=MAX_EDITS)


class TablePages:
    """Handles operators' requests under `/table`."""

    def __init__(
        self,
        *,
        board: Blackboard,
        platform: PlatformClient,
        editor: TableEditor,
    ) -> None:
        self._board = board
        self._platform = platform
        self._editor = editor

    def handle(self, req: Request, respond: Respond) -> bool:
        """Answer a request, now or later; return False for other paths."""
        url = urlsplit(req.path)
        if url.path != PATH_PREFIX and not url.path.startswith(
            PATH_PREFIX + "/"
        ):
            return False
        query = {key: text[-1] for key, text in parse_qs(url.query).items()}
        match req.method, url.path.removeprefix(PATH_PREFIX):
            case "GET", "":
                self._respond_with_list(respond, self._table_as_json)
            case "GET", "/in-force":
                respond(
                    _json_response(HTTPStatus.OK, self._table_as_json(None))
                )
            case "GET", "/history":
                group = query.get("group", "")
                self._respond_with_list(
                    respond, lambda found: _history_as_json(found, group)
                )
            case "GET", "/page":
                self._respond_with_page(respond)
            case "POST", "/edits":
                self._submit_edit(req.body, respond)
            case _:
                respond(
                    _json_response(
                        HTTPStatus.NOT_FOUND, {"error": "no such page"}
                    )
                )
        return True

    def _submit_edit(self, body: bytes, respond: Respond) -> None:
        try:
            model = _EditModel.model_validate_json(body)
        except ValidationError as exc:
            respond(
                _json_response(
                    HTTPStatus.BAD_REQUEST, _validation_message(exc)
                )
            )
            return

        def on_report(report: EditReport) -> None:
            respond(
                _json_response(
                    VERDICT_STATUS[report.verdict], report_as_json(report)
                )
            )

        self._editor.submit(_edit_request(model), on_report)

    def _respond_with_list(
        self,
        respond: Respond,
        render: Callable[[dict[int, StoredShard] | None], Any],
    ) -> None:
        def answered(result: Changes | Unavailable) -> None:
            if isinstance(result, Unavailable):
                respond(_json_response(HTTPStatus.OK, render(None)))
                return
            respond(
                _json_response(HTTPStatus.OK, render(_decode_shards(result)))
            )

        self._platform.list("table", "edit", answered)

    def _table_as_json(
        self, shards: dict[int, StoredShard] | None
    ) -> dict[str, Any]:
        """Return accepted rows, or those in force at this VM in an outage."""
        if shards is None:
            return {
                "source": "in_force",
                "vm": self._board.local_vm.name,
                "rows": self._rows_in_force(),
                "shards": self._versions_in_force(),
            }
        return {
            "source": "accepted",
            "vm": self._board.local_vm.name,
            "rows": _accepted_rows(shards, self._board.group_names),
            "shards": self._versions_in_force(),
        }

    def _rows_in_force(self) -> list[dict[str, Any]]:
        rows = [
            _row_as_json(row, None)
            for shard in self._board.table.values()
            for row in shard.rows.values()
        ]
        return sorted(rows, key=lambda row: row["group"])

    def _versions_in_force(self) -> dict[str, int]:
        shards = sorted(self._board.table.items())
        return {str(number): shard.version for number, shard in shards}

    def _respond_with_page(self, respond: Respond) -> None:
        # Imported here because it is needed only when the page is viewed.
        from bamboospring.table_html import render_page

        def render(found: dict[int, StoredShard] | None) -> bytes:
            return render_page(
                self._table_as_json(found), _history_as_json(found, "")
            ).encode()

        def answered(result: Changes | Unavailable) -> None:
            found = None
            if isinstance(result, Changes):
                found = _decode_shards(result)
            respond(
                Response(
                    body=render(found),
                    content_type="text/html; charset=utf-8",
                )
            )

        self._platform.list("table", "edit", answered)


def make_target_prober(
    reactor: Reactor,
) -> Callable[[Sequence[str], Callable[[set[str]], None]], None]:
    """Return a function that finds which targets do not answer a probe."""

    def probe_targets(
        addresses: Sequence[str], on_done: Callable[[set[str]], None]
    ) -> None:
        if not addresses:
            on_done(set())
            return
        _TargetProbe(
            reactor=reactor, addresses=addresses, on_complete=on_done
        ).start()

    return probe_targets


class _TargetProbe:
    """Probes some targets once and reports those without an answer."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        addresses: Sequence[str],
        on_complete: Callable[[set[str]], None],
    ) -> None:
        self._clients = {
            address: HttpClient(reactor=reactor, address=address)
            for address in addresses
        }
        self._on_complete = on_complete
        self._unresponsive: set[str] = set()

    def start(self) -> None:
        for address, client in list(self._clients.items()):
            answered = partial(self._on_answer, address)
            client.request("GET", "/probe", b"", PROBE_TIMEOUT, answered)

    def _on_answer(
        self, address: str, answer: HttpResponse | HttpFailure
    ) -> None:
        if isinstance(answer, HttpFailure):
            self._unresponsive.add(address)
        self._clients.pop(address).close()
        if not self._clients:
            self._on_complete(self._unresponsive)


def report_as_json(report: EditReport) -> dict[str, Any]:
    """Return a report as JSON data for operators."""
    return {
        "id": report.id,
        "verdict": report.verdict.value,
        "versions": {str(k): v for k, v in report.versions.items()},
        "cells": [_cell_as_json(cell) for cell in report.cells],
        "errors": [
            {
                "group": error.group,
                "column": error.column,
                "message": error.message,
            }
            for error in report.errors
        ],
        "conflicts": [
            _conflict_as_json(conflict) for conflict in report.conflicts
        ],
        "message": report.message,
    }


def _edit_request(model: _EditModel) -> EditRequest:
    now = datetime.now(timezone.utc).isoformat(timespec="milliseconds")
    return EditRequest(
        id=model.id,
        author=model.author,
        at=now,
        comment=model.comment,
        check_only=model.check_only,
        edits=tuple(
            RowEdit(
                group=edit.group,
                cells=edit.cells,
                replace=edit.replace,
                remove=edit.remove,
                if_version=edit.if_version,
            )
            for edit in model.edits
        ),
    )


def _decode_shards(changes: Changes) -> dict[int, StoredShard]:
    shards = {}
    for item in changes.objects:
        stored = decode_stored(item.version, item.value)
        if stored is not None and item.name.isdecimal():
            shards[int(item.name)] = stored
    return shards


def _accepted_rows(
    shards: dict[int, StoredShard], names: set[str]
) -> list[dict[str, Any]]:
    rows = {name: _row_as_json(TableRow(group=name), 0) for name in names}
    for shard in shards.values():
        for name, row in shard.rows.items():
            rows[name] = _row_as_json(row, shard.row_version(name))
    return [rows[name] for name in sorted(rows)]


def _row_as_json(row: TableRow, version: int | None) -> dict[str, Any]:
    return {**encode_row(row), "version": version}


def _history_as_json(
    shards: dict[int, StoredShard] | None, group: str
) -> list[dict[str, Any]]:
    changes = [
        encode_change(change) | {"shard": number}
        for number, shard in (shards or {}).items()
        for change in shard.history
        if not group or any(row.group == group for row in change.rows)
    ]
    return sorted(changes, key=lambda change: change["at"], reverse=True)


def _cell_as_json(cell: CellDiff) -> dict[str, Any]:
    return {
        "group": cell.group,
        "column": cell.column,
        "before": cell.before,
        "after": cell.after,
    }


def _conflict_as_json(conflict: RowConflict) -> dict[str, Any]:
    row = conflict.row
    return {
        "group": conflict.group,
        "seen": conflict.seen,
        "current": conflict.current,
        "row": None if row is None else encode_row(row),
        "changes": [encode_change(change) for change in conflict.changes],
    }


def _validation_message(exc: ValidationError) -> dict[str, Any]:
    errors = []
    for error in exc.errors(include_url=False, include_input=False):
        field_path = ".".join(str(part) for part in error["loc"])
        errors.append(f"{field_path}: {error['msg']}")
    return {"error": "; ".join(errors)}


def _json_response(status: int, body: Any) -> Response:
    return Response(status=int(status), body=orjson.dumps(body))
