"""The operators' table as it is stored: rows, their versions, the history.

A shard of the table is one object at the platform. Beside its rows the object
has, for each row, the version of the shard that last changed it, and the
newest changes. An edit names the version of the row that its author saw; if
the row has changed since, the edit is refused and the author sees by whom and
how. Edits of different rows never refuse each other.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from bamboospring.blackboard import TableRow
from bamboospring.records import decode_row
from bamboospring.records import encode_row
from bamboospring.records import MALFORMED

__all__ = [
    "COLUMNS",
    "CellDiff",
    "Change",
    "HISTORY_LENGTH",
    "RowChange",
    "RowConflict",
    "RowEdit",
    "StoredShard",
    "apply_change",
    "decode_change",
    "decode_stored",
    "diff_rows",
    "edited_cells",
    "encode_change",
    "encode_stored",
    "find_change",
    "find_conflicts",
]

COLUMNS = (
    "read_weights",
    "write_weights",
    "max_connections",
    "max_slots",
    "max_staleness_ms",
    "leaving_targets",
)
# Bounds the object: 33 rows of 2 kB each at 530 groups leave room to spare
# under the platform's limit of a megabyte.
HISTORY_LENGTH = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class RowEdit:
    """What an operator wants of one row.

    `cells` maps a column, or one entry of a weights column as in
    `read_weights.new`, to its value. With `replace` columns that are not
    named go back to their defaults; `remove` deletes the row. `if_version`
    is the row's version that the operator saw; None stands for any.
    """

    group: str
    cells: Mapping[str, Any] = field(default_factory=dict)
    replace: bool = False
    remove: bool = False
    if_version: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RowChange:
    """A row before and after a change; None stands for no row."""

    group: str
    before: TableRow | None
    after: TableRow | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One accepted edit, as the history keeps it.

    `base` is the shard's version that it was made on; `at` is UTC in ISO
    8601. `id` is the author's and tells the change from all others.
    """

    id: str
    at: str
    author: str
    comment: str
    base: int
    rows: tuple[RowChange, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredShard:
    """A shard's object. Version 0 stands for no object."""

    version: int = 0
    rows: Mapping[str, TableRow] = field(default_factory=dict)
    row_versions: Mapping[str, int] = field(default_factory=dict)
    history: tuple[Change, ...] = ()

    def row_version(self, group: str) -> int:
        """Return the shard version that last changed a row."""
        return self.row_versions.get(group, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class CellDiff:
    """One cell that differs."""

    group: str
    column: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class RowConflict:
    """A row that somebody else has changed since it was read.

    `changes` are those of the history since `seen`, oldest first; they are
    incomplete when the history no longer reaches back so far.
    """

    group: str
    seen: int
    current: int
    row: TableRow | None
    changes: tuple[Change, ...] = ()


def decode_stored(version: int, value: Any) -> StoredShard | None:
    """Return a shard's object, or None if it is malformed."""
    if value is None:
        return StoredShard()
    try:
        rows = {
            name: decode_row(name, row) for name, row in value["rows"].items()
        }
        versions = {
            str(name): int(number)
            for name, number in value.get("row_versions", {}).items()
        }
        history = tuple(decode_change(c) for c in value.get("history", ()))
    except MALFORMED:
        return None
    return StoredShard(
        version=version, rows=rows, row_versions=versions, history=history
    )


def encode_stored(shard: StoredShard) -> dict[str, Any]:
    """Return the value of a shard's object."""
    return {
        "rows": {name: encode_row(row) for name, row in shard.rows.items()},
        "row_versions": dict(shard.row_versions),
        "history": [encode_change(change) for change in shard.history],
    }


def decode_change(value: Mapping[str, Any]) -> Change:
    """Return a change of the history."""
    return Change(
        id=value["id"],
        at=value["at"],
        author=value["author"],
        comment=value["comment"],
        base=int(value["base"]),
        rows=tuple(
            RowChange(
                group=row["group"],
                before=_decode_optional(row["group"], row["before"]),
                after=_decode_optional(row["group"], row["after"]),
            )
            for row in value["rows"]
        ),
    )


def encode_change(change: Change) -> dict[str, Any]:
    """Return a change as JSON."""
    return {
        "id": change.id,
        "at": change.at,
        "author": change.author,
        "comment": change.comment,
        "base": change.base,
        "rows": [
            {
                "group": row.group,
                "before": _encode_optional(row.before),
                "after": _encode_optional(row.after),
            }
            for row in change.rows
        ],
    }


def edited_cells(edit: RowEdit, row: TableRow | None) -> dict[str, Any]:
    """Return all columns of a row after an edit, not yet checked."""
    start = row if row is not None else TableRow(group=edit.group)
    if edit.replace:
        start = TableRow(group=edit.group)
    cells = encode_row(start)
    for name, value in edit.cells.items():
        column, dot, part = name.partition(".")
        if dot and isinstance(cells.get(column), dict):
            cells[column] = {**cells[column], part: value}
        else:
            cells[name] = value
    del cells["group"]
    return cells


def find_conflicts(
    shard: StoredShard, edits: Iterable[RowEdit]
) -> tuple[RowConflict, ...]:
    """Return the rows that changed since their editors saw them."""
    return tuple(
        RowConflict(
            group=edit.group,
            seen=edit.if_version,
            current=shard.row_version(edit.group),
            row=shard.rows.get(edit.group),
            changes=_changes_since(shard, edit.group, edit.if_version),
        )
        for edit in edits
        if edit.if_version is not None
        and edit.if_version != shard.row_version(edit.group)
    )


def apply_change(
    shard: StoredShard,
    rows: Mapping[str, TableRow | None],
    *,
    change_id: str,
    at: str,
    author: str,
    comment: str,
) -> StoredShard:
    """Return a shard with rows replaced, or deleted where None.

    The result has the version that the platform gives if the conditional
    update succeeds. Rows that stay as they are keep their version.
    """
    version = shard.version + 1
    new_rows = dict(shard.rows)
    versions = dict(shard.row_versions)
    changed = []
    for group, after in rows.items():
        before = shard.rows.get(group)
        if before == after:
            continue
        changed.append(RowChange(group=group, before=before, after=after))
        versions[group] = version
        if after is None:
            del new_rows[group]
        else:
            new_rows[group] = after
    change = Change(
        id=change_id,
        at=at,
        author=author,
        comment=comment,
        base=shard.version,
        rows=tuple(changed),
    )
    history = (*shard.history, change)[-HISTORY_LENGTH:]
    return StoredShard(
        version=version,
        rows=new_rows,
        row_versions=versions,
        history=history,
    )


def find_change(shard: StoredShard, change_id: str) -> Change | None:
    """Return a change of the history by its id."""
    for change in reversed(shard.history):
        if change.id == change_id:
            return change
    return None


def diff_rows(changes: Sequence[RowChange]) -> tuple[CellDiff, ...]:
    """Return the cells that differ, row by row."""
    return tuple(
        CellDiff(group=row.group, column=column, before=old, after=new)
        for row in changes
        for column, old, new in _cells(row)
        if old != new
    )


def _cells(row: RowChange) -> Iterable[tuple[str, Any, Any]]:
    # A row that is not there is in force as one that sets nothing.
    default = TableRow(group=row.group)
    before = encode_row(row.before or default)
    after = encode_row(row.after or default)
    for column in COLUMNS:
        yield column, before[column], after[column]


def _changes_since(
    shard: StoredShard, group: str, version: int
) -> tuple[Change, ...]:
    return tuple(
        change
        for change in shard.history
        if change.base >= version
        and any(row.group == group for row in change.rows)
    )


def _decode_optional(group: str, row: Any) -> TableRow | None:
    return None if row is None else decode_row(group, row)


def _encode_optional(row: TableRow | None) -> dict[str, Any] | None:
    return None if row is None else encode_row(row)
