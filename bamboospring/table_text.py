"""Format the table's rows, reports and changes for a terminal."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import json
from typing import Any

import typer

__all__ = ["print_change", "print_report", "format_table"]

HEADINGS = {
    "group": "group",
    "version": "version",
    "read_weights": "read weights",
    "write_weights": "write weights",
    "max_connections": "connections",
    "max_slots": "slots",
    "max_staleness_ms": "staleness ms",
    "leaving_targets": "leaving targets",
}
DATA_COLUMNS = [name for name in HEADINGS if name not in ("group", "version")]


def print_report(
    report: Mapping[str, Any], format_location: Callable[[str, str], str]
) -> None:
    """Print the outcome of an edit.

    `format_location` returns the place of a cell in the edited file.
    """
    for error in report["errors"]:
        location = format_location(error["group"], error["column"])
        column = f", column {error['column']}" if error["column"] else ""
        typer.echo(
            f"{location}row {error['group']}{column}: {error['message']}",
            err=True,
        )
    for conflict in report["conflicts"]:
        _print_conflict(conflict)
    for cell in report["cells"]:
        typer.echo(
            f"{cell['group']}.{cell['column']}: "
            f"{_format_cell(cell['before'])} -> {_format_cell(cell['after'])}"
        )
    versions = ", ".join(
        f"shard {shard} version {version}"
        for shard, version in report["versions"].items()
    )
    parts = [report["verdict"], versions, report["message"]]
    typer.echo(": ".join(part for part in parts if part))


def _print_conflict(conflict: Mapping[str, Any]) -> None:
    group = conflict["group"]
    typer.echo(
        f"row {group} was at version {conflict['seen']} when you read it and "
        f"is at version {conflict['current']} now:",
        err=True,
    )
    for change in conflict["changes"]:
        typer.echo(f"  {_format_change(change, group)}", err=True)
    typer.echo(f"  now {_format_cell(conflict['row'])}", err=True)


def print_change(change: Mapping[str, Any]) -> None:
    """Print one accepted edit, with one line for each group."""
    groups = [row["group"] for row in change["rows"]]
    for group in groups:
        typer.echo(_format_change(change, group))


def _format_change(change: Mapping[str, Any], group: str) -> str:
    cells = [
        text
        for row in change["rows"]
        if row["group"] == group
        for text in _format_row_changes(row)
    ]
    comment = f" ({change['comment']})" if change["comment"] else ""
    return f"{change['at']} {change['author']}{comment}: {group} " + "; ".join(
        cells
    )


def _format_row_changes(row: Mapping[str, Any]) -> list[str]:
    before, after = row["before"], row["after"]
    if after is None:
        return ["row removed"]
    if before is None:
        return [
            f"{name} {_format_cell(after[name])}"
            for name in DATA_COLUMNS
            if after[name]
        ]
    return [
        f"{name} {_format_cell(before[name])} -> {_format_cell(after[name])}"
        for name in DATA_COLUMNS
        if before[name] != after[name]
    ]


def format_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return the rows as a table with aligned columns."""
    lines = [list(HEADINGS.values())]
    lines += [[_format_cell(row[name]) for name in HEADINGS] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _format_cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case str():
            return value
        case dict() if all(isinstance(v, int) for v in value.values()):
            return " ".join(f"{k}={v}" for k, v in value.items()) or "-"
        case list():
            return ",".join(map(str, value)) or "-"
        case _:
            return json.dumps(value)
