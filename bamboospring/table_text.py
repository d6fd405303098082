"""The table's rows, reports and changes as text for a terminal."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import json
from typing import Any

import typer

__all__ = ["print_change", "print_report", "text_table"]

COLUMNS = {
    "group": "group",
    "version": "version",
    "read_weights": "read weights",
    "write_weights": "write weights",
    "max_connections": "connections",
    "max_slots": "slots",
    "max_staleness_ms": "staleness ms",
    "leaving_targets": "leaving targets",
}
CELLS = [name for name in COLUMNS if name not in ("group", "version")]


def print_report(
    report: Mapping[str, Any], place: Callable[[str, str], str]
) -> None:
    """Print what became of an edit; `place` names where a cell stands."""
    for error in report["errors"]:
        where = place(error["group"], error["column"])
        column = f", column {error['column']}" if error["column"] else ""
        typer.echo(
            f"{where}row {error['group']}{column}: {error['message']}",
            err=True,
        )
    for conflict in report["conflicts"]:
        _print_conflict(conflict)
    for cell in report["cells"]:
        typer.echo(
            f"{cell['group']}.{cell['column']}: "
            f"{_short(cell['before'])} -> {_short(cell['after'])}"
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
        f"is at {conflict['current']} now:",
        err=True,
    )
    for change in conflict["changes"]:
        typer.echo(f"  {_change_text(change, group)}", err=True)
    typer.echo(f"  now {_short(conflict['row'])}", err=True)


def print_change(change: Mapping[str, Any]) -> None:
    """Print one accepted edit, a line for each group."""
    groups = [row["group"] for row in change["rows"]]
    for group in groups:
        typer.echo(_change_text(change, group))


def _change_text(change: Mapping[str, Any], group: str) -> str:
    cells = [
        text
        for row in change["rows"]
        if row["group"] == group
        for text in _row_texts(row)
    ]
    comment = f" ({change['comment']})" if change["comment"] else ""
    return f"{change['at']} {change['author']}{comment}: {group} " + "; ".join(
        cells
    )


def _row_texts(row: Mapping[str, Any]) -> list[str]:
    before, after = row["before"], row["after"]
    if after is None:
        return ["row removed"]
    if before is None:
        return [
            f"{name} {_short(after[name])}" for name in CELLS if after[name]
        ]
    return [
        f"{name} {_short(before[name])} -> {_short(after[name])}"
        for name in CELLS
        if before[name] != after[name]
    ]


def text_table(rows: Sequence[Mapping[str, Any]]) -> str:
    """Return the rows under their columns' names."""
    lines = [list(COLUMNS.values())]
    lines += [[_short(row[name]) for name in COLUMNS] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )


def _short(value: Any) -> str:
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
