"""Text form of the table's rows: JSON with comments, to edit and apply.

    {
      "ledger": {
        "version": 3,  // the row version that this text was made from
        "read_weights": {"old": 70, "new": 30},
      },
    }

A row in the text replaces the stored row entirely, null removes the row, and
rows that are left out stay unchanged. Without a version the row is replaced
whatever its stored version is.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import json
from typing import Any

from bamboospring.errors import SourceError
from bamboospring import json_source

__all__ = ["locate", "parse_rows", "render_rows"]

HEADER = """// Rows that are left out stay unchanged; null removes a row.
// Weights are for sites and add up to 100; {} means equal weights.
// A limit of 0 means the limit of the target.
"""
VERSION_KEY = "version"


def render_rows(rows: Iterable[Mapping[str, Any]]) -> str:
    """Return rows as text for an editor."""
    lines = [HEADER + "{"]
    for row in rows:
        cells = {k: v for k, v in row.items() if k != "group"}
        version = cells.pop(VERSION_KEY)
        lines.append(f"  {json.dumps(row['group'])}: {{")
        lines.append(f'    "{VERSION_KEY}": {json.dumps(version)},')
        for name, value in cells.items():
            lines.append(f"    {json.dumps(name)}: {json.dumps(value)},")
        lines.append("  },")
    lines.append("}")
    return "\n".join(lines) + "\n"


def parse_rows(text: str, *, name: str) -> tuple[Any, list[dict[str, Any]]]:
    """Return the parsed data, for `locate`, and the edits in a text.

    Raise `SourceError` with line and column if the text is malformed.
    """
    data = json_source.parse(text, name=name)
    if not isinstance(data, dict):
        raise SourceError(
            "expected an object that maps groups to rows", name=name
        )
    return data, [_parse_edit(data, str(group), name) for group in data]


def locate(data: Any, group: str, column: str) -> tuple[int, int]:
    """Return the line and column of a cell in a parsed text."""
    path = [group, *column.split(".")]
    position = json_source.position(data, path)
    return position.line, position.column


def _parse_edit(data: dict[str, Any], group: str, name: str) -> dict[str, Any]:
    row = data[group]
    if row is None:
        return {"group": group, "remove": True}
    if not isinstance(row, dict):
        raise _row_error("a row must be an object or null", data, group, name)
    cells = {str(key): _without_positions(value) for key, value in row.items()}
    version = cells.pop(VERSION_KEY, None)
    edit = {"group": group, "cells": cells, "replace": True}
    if version is not None:
        if not isinstance(version, int):
            raise _row_error("version must be a number", data, group, name)
        edit["if_version"] = version
    return edit


def _without_positions(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            str(key): _without_positions(part) for key, part in value.items()
        }
    return value


def _row_error(message: str, data: Any, group: str, name: str) -> SourceError:
    line, column = locate(data, group, "")
    return SourceError(
        f"row {group}: {message}", name=name, line=line, column=column
    )
