"""Stored form of the operators' table: rows, row versions and history.

Each shard of the table is one object at the platform. Besides its rows, the
object holds the shard version that last changed each row, and the newest
changes. An edit names the row version that its author read. If the row has
changed since, the edit is refused and the author is shown who changed the row
and how. Edits of different rows never conflict.
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
    "edited_columns",
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
# Limits the size of a shard object. With 530 groups a shard has 33 rows of
# 2 kB each, which together with the history stays well below the platform's
# limit of 1 MB.
HISTORY_LENGTH = 50


@dataclass(frozen=True, slots=True, kw_only=True)
class RowEdit:
    """An operator's edit of one row.

    `cells` maps a column, or one entry of a weights column such as
    `read_weights.new`, to its value. With `replace`, columns that are not
    named are reset to their defaults. `remove` deletes the row. `if_version`
    is the row version that the operator read; None matches any version.
    """

    group: str
    cells: Mapping[str, Any] = field(default_factory=dict)
    replace: bool = False
    remove: bool = False
    if_version: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RowChange:
    """A row before and after a change; None means that the row is absent."""

    group: str
    before: TableRow | None
    after: TableRow | None


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One accepted edit in the history.

    `base` is the shard version that the edit was applied to. `at` is UTC in
    ISO 8601 format. `id` is a unique id chosen by the author.
    """

    id: str
    at: str
    author: str
    comment: str
    base: int
    rows: tuple[RowChange, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredShard:
    """A shard's object. Version 0 means that the object does not exist."""

    version: int = 0
    rows: Mapping[str, TableRow] = field(default_factory=dict)
    row_versions: Mapping[str, int] = field(default_factory=dict)
    history: tuple[Change, ...] = ()

    def row_version(self, group: str) -> int:
        """Return the shard version that last changed a row."""
        return self.row_versions.get(group, 0)


@dataclass(frozen=True, slots=True, kw_only=True)
class CellDiff:
    """A cell whose value differs before and after a change."""

    group: str
    column: str
    before: Any
    after: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class RowConflict:
    """A row that another author has changed since it was read.

    `changes` are the changes of the row in the history since version `seen`,
    oldest first. They are incomplete if the history no longer goes back that
    far.
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
    """Decode a change of the history."""
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
    """Return a change as JSON data."""
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


def edited_columns(edit: RowEdit, row: TableRow | None) -> dict[str, Any]:
    """Return all columns of a row after an edit, without validation."""
    base_row = row if row is not None else TableRow(group=edit.group)
    if edit.replace:
        base_row = TableRow(group=edit.group)
    cells = encode_row(base_row)
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
    """Return the rows that have changed since the edits' authors read them."""
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
    """Return a shard with rows replaced, or deleted where the value is None.

    The result has the version that the platform assigns if the conditional
    update succeeds. Unchanged rows keep their version.
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
    """Return the change with an id, or None if the history lacks it."""
    for change in reversed(shard.history):
        if change.id == change_id:
            return change
    return None


def diff_rows(changes: Sequence[RowChange]) -> tuple[CellDiff, ...]:
    """Return the cells that differ, in the order of the rows."""
    return tuple(
        CellDiff(group=row.group, column=column, before=old, after=new)
        for row in changes
        for column, old, new in _column_values(row)
        if old != new
    )


def _column_values(change: RowChange) -> Iterable[tuple[str, Any, Any]]:
    # An absent row has the same effect as a row with default values.
    default = TableRow(group=change.group)
    before = encode_row(change.before or default)
    after = encode_row(change.after or default)
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
