"""Rows of the table as a text in JSON with comments, to edit and apply.

    {
      "ledger": {
        "version": 3,  // the row's version that this text was made from
        "read_weights": {"old": 70, "new": 30},
      },
    }

A row that is named is replaced whole, one that is null is removed, others
stay. Without a version the row is replaced whatever it is by then.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
import json
from typing import Any

from bamboospring.errors import SourceError
from bamboospring import json_source

__all__ = ["locate", "parse_rows", "render_rows"]

HEADER = """// Rows that are left out stay as they are; null removes a row.
// Weights are for sites and add up to 100; {} means all sites alike.
// A limit of 0 means: as the target allows.
"""
VERSION = "version"


def render_rows(rows: Iterable[Mapping[str, Any]]) -> str:
    """Return rows as a text for an editor."""
    lines = [HEADER + "{"]
    for row in rows:
        cells = {k: v for k, v in row.items() if k != "group"}
        version = cells.pop(VERSION)
        lines.append(f"  {json.dumps(row['group'])}: {{")
        lines.append(f'    "{VERSION}": {json.dumps(version)},')
        for name, value in cells.items():
            lines.append(f"    {json.dumps(name)}: {json.dumps(value)},")
        lines.append("  },")
    lines.append("}")
    return "\n".join(lines) + "\n"


def parse_rows(text: str, *, name: str) -> tuple[Any, list[dict[str, Any]]]:
    """Return the data, for `locate`, and the edits that the text asks for.

    Raise `SourceError` with line and column if it is malformed.
    """
    data = json_source.parse(text, name=name)
    if not isinstance(data, dict):
        raise SourceError("an object of rows is expected", name=name)
    return data, [_edit(data, str(group), name) for group in data]


def locate(data: Any, group: str, column: str) -> tuple[int, int]:
    """Return line and column where a cell stands in a parsed text."""
    path = [group, *column.split(".")]
    where = json_source.position(data, path)
    return where.line, where.column


def _edit(data: dict[str, Any], group: str, name: str) -> dict[str, Any]:
    row = data[group]
    if row is None:
        return {"group": group, "remove": True}
    if not isinstance(row, dict):
        raise _error("a row is an object or null", data, group, name)
    cells = {str(key): _plain(value) for key, value in row.items()}
    version = cells.pop(VERSION, None)
    edit = {"group": group, "cells": cells, "replace": True}
    if version is not None:
        if not isinstance(version, int):
            raise _error("version must be a number", data, group, name)
        edit["if_version"] = version
    return edit


def _plain(value: Any) -> Any:
    if isinstance(value, dict):
        return {str(key): _plain(part) for key, part in value.items()}
    return value


def _error(message: str, data: Any, group: str, name: str) -> SourceError:
    line, column = locate(data, group, "")
    return SourceError(
        f"row {group}: {message}", name=name, line=line, column=column
    )
