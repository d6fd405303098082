"""The durable state of the target stand-in: data, log, term and role.

All state is in one SQLite file in write-ahead mode, and related changes are
written in one database transaction. A process that is killed at any time
therefore restarts with a prefix of its log and with the data, the idempotency
keys, the term and the role that match this prefix.

Replication is statement-based: a log entry holds the statements of one
transaction. Statements must therefore be deterministic; with `random()` or
the current time in SQL the members would diverge.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
import sqlite3
from typing import Any

import orjson

from bamboospring.blackboard import Role

__all__ = [
    "LogEntry",
    "SqlResult",
    "StoredStatement",
    "TargetStore",
]

BASE_TABLES = """
CREATE TABLE IF NOT EXISTS target_log (
    idx INTEGER PRIMARY KEY, term INTEGER NOT NULL, body BLOB NOT NULL);
CREATE TABLE IF NOT EXISTS target_state (
    id INTEGER PRIMARY KEY, term INTEGER NOT NULL, role TEXT NOT NULL,
    primary_address TEXT NOT NULL, applied INTEGER NOT NULL);
"""

KEYS_TABLE = """
CREATE TABLE IF NOT EXISTS idempotency_keys (
    caller TEXT NOT NULL, key TEXT NOT NULL, digest TEXT NOT NULL,
    answer BLOB NOT NULL, PRIMARY KEY (caller, key)) WITHOUT ROWID;
"""

INTERNAL_TABLES = ("target_log", "target_state")

StoredStatement = tuple[str, list[Any]]


@dataclass(frozen=True, slots=True, kw_only=True)
class LogEntry:
    """One transaction in the log; one without statements opens a term."""

    index: int
    term: int
    body: bytes

    def statements(self) -> list[StoredStatement]:
        """Return the statements in the order in which they ran."""
        return [(sql, params) for sql, params in orjson.loads(self.body)]


@dataclass(frozen=True, slots=True, kw_only=True)
class SqlResult:
    """The result of one SQL statement."""

    columns: list[str] = field(default_factory=list)
    rows: list[list[Any]] = field(default_factory=list)
    rowcount: int = 0


def split_script(script: str) -> list[str]:
    """Split an SQL script into statements that can run in a transaction."""
    found: list[str] = []
    pending = ""
    for line in script.splitlines(keepends=True):
        pending += line
        if sqlite3.complete_statement(pending):
            found.append(pending.strip())
            pending = ""
    if pending.strip():
        found.append(pending.strip())
    return found


def run_sql(
    conn: sqlite3.Connection, sql: str, params: list[Any]
) -> SqlResult:
    """Run one statement and fetch its whole result."""
    cursor = conn.execute(sql, params)
    if cursor.description is None:
        return SqlResult(rowcount=max(cursor.rowcount, 0))
    columns = [column[0] for column in cursor.description]
    rows = [list(row) for row in cursor.fetchall()]
    return SqlResult(columns=columns, rows=rows, rowcount=len(rows))


class TargetStore:
    """The log, the data, the term and the role of one target.

    There is one connection for writes; callers must ensure that only one
    transaction is open on it. Positions and the term are cached in memory and
    always equal the committed state of the file.
    """

    def __init__(self, *, directory: Path, schema: str = "") -> None:
        directory.mkdir(parents=True, exist_ok=True)
        self.path = directory / "target.sqlite"
        self.schema = schema
        self.writer = self._open()
        self.writer.execute("PRAGMA journal_mode=WAL")
        self._create()
        self.reader = self.open_reader()
        self.term = 0
        self.role = Role.REPLICA
        self.primary_address = ""
        self.applied = 0
        self.received = 0
        self.last_term = 0
        self.start = 0
        self._load()

    def _open(self) -> sqlite3.Connection:
        conn = sqlite3.connect(
            self.path,
            isolation_level=None,
            cached_statements=512,
        )
        conn.execute("PRAGMA synchronous=NORMAL")
        return conn

    def open_reader(self) -> sqlite3.Connection:
        """Open another connection, which is read-only."""
        conn = self._open()
        conn.execute("PRAGMA query_only=1")
        return conn

    def _create(self) -> None:
        self.writer.execute("BEGIN IMMEDIATE")
        for sql in split_script(BASE_TABLES):
            self.writer.execute(sql)
        found = self.writer.execute("SELECT 1 FROM target_state").fetchone()
        if found is None:
            self._create_data()
            self.writer.execute(
                "INSERT INTO target_state VALUES (1, 0, ?, '', 0)",
                [Role.REPLICA.value],
            )
        self.writer.execute("COMMIT")

    def _create_data(self) -> None:
        for sql in split_script(KEYS_TABLE + self.schema):
            self.writer.execute(sql)

    def _load(self) -> None:
        row = self.writer.execute(
            "SELECT term, role, primary_address, applied FROM target_state"
        ).fetchone()
        self.term = row[0]
        self.role = Role(row[1])
        self.primary_address = row[2]
        self.applied = row[3]
        self._load_log_end()

    def _load_log_end(self) -> None:
        row = self.writer.execute(
            "SELECT idx, term FROM target_log ORDER BY idx DESC LIMIT 1"
        ).fetchone()
        self.received, self.last_term = row if row is not None else (0, 0)
        row = self.writer.execute(
            "SELECT MIN(idx) FROM target_log WHERE term = ?", [self.term]
        ).fetchone()
        self.start = row[0] or 0

    def close(self) -> None:
        """Close the file; open transactions are rolled back."""
        self.reader.close()
        self.writer.close()

    # Term and role.

    def set_role(self, *, term: int, role: Role, primary_address: str) -> None:
        """Commit a term and role, before the order is answered."""
        self.writer.execute(
            "UPDATE target_state SET term = ?, role = ?, primary_address = ?",
            [term, role.value, primary_address],
        )
        if term != self.term:
            self.start = 0
        self.term = term
        self.role = role
        self.primary_address = primary_address

    def open_term(self) -> None:
        """Become primary and append the entry that opens the term."""
        self.apply_through(self.received)
        self.writer.execute("BEGIN IMMEDIATE")
        self.append_entry([])
        self.writer.execute(
            "UPDATE target_state SET role = ?, primary_address = ''",
            [Role.PRIMARY.value],
        )
        self.writer.execute("COMMIT")
        self.record_commit()
        self.role = Role.PRIMARY
        self.primary_address = ""

    # Entries written by the primary.

    def append_entry(self, statements: list[StoredStatement]) -> int:
        """Append an entry in the open transaction and return its index."""
        index = self.received + 1
        self.writer.execute(
            "INSERT INTO target_log VALUES (?, ?, ?)",
            [index, self.term, orjson.dumps(statements)],
        )
        self.writer.execute("UPDATE target_state SET applied = ?", [index])
        return index

    def record_commit(self) -> None:
        """Update the positions after the commit of a new entry."""
        self.received += 1
        self.applied = self.received
        self.last_term = self.term
        if self.start == 0:
            self.start = self.received

    # Replication.

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, 0 for index 0, or None."""
        if index == 0:
            return 0
        row = self.writer.execute(
            "SELECT term FROM target_log WHERE idx = ?", [index]
        ).fetchone()
        return row[0] if row is not None else None

    def entries_after(self, index: int, limit: int) -> list[LogEntry]:
        """Return up to `limit` entries that follow an index."""
        rows = self.writer.execute(
            "SELECT idx, term, body FROM target_log WHERE idx > ? "
            "ORDER BY idx LIMIT ?",
            [index, limit],
        )
        return [LogEntry(index=i, term=t, body=b) for i, t, b in rows]

    def match_hint(self, index: int, term: int) -> int:
        """Return the newest index at which the replica's log may match."""
        row = self.writer.execute(
            "SELECT idx FROM target_log WHERE idx <= ? AND term <= ? "
            "ORDER BY idx DESC LIMIT 1",
            [index, term],
        ).fetchone()
        return row[0] if row is not None else 0

    def store_entries(self, after: int, entries: list[LogEntry]) -> None:
        """Store the entries that the primary sent after a matching index.

        Differing local entries after the match are dropped in the same
        transaction, so that a crash leaves either the old or the new log.
        """
        new_entries = self._new_entries(after, entries)
        if new_entries is None:
            return
        self.writer.execute("BEGIN IMMEDIATE")
        last_kept = new_entries[0].index - 1 if new_entries else after
        if last_kept < self.received:
            self._truncate(last_kept)
        self.writer.executemany(
            "INSERT INTO target_log VALUES (?, ?, ?)",
            [(entry.index, entry.term, entry.body) for entry in new_entries],
        )
        self.writer.execute("COMMIT")
        self._load_applied()
        self._update_position(last_kept, new_entries)

    def _new_entries(
        self, after: int, entries: list[LogEntry]
    ) -> list[LogEntry] | None:
        """Return the entries that are not in the log, or None."""
        for index, entry in enumerate(entries):
            if self.term_at(entry.index) != entry.term:
                return entries[index:]
        return None

    def _update_position(
        self, last_kept: int, new_entries: list[LogEntry]
    ) -> None:
        if last_kept < self.received:
            self._load_log_end()
            return
        for entry in new_entries:
            if entry.term == self.term and self.start == 0:
                self.start = entry.index
        self.received = new_entries[-1].index
        self.last_term = new_entries[-1].term

    def _load_applied(self) -> None:
        row = self.writer.execute(
            "SELECT applied FROM target_state"
        ).fetchone()
        self.applied = row[0]

    def _truncate(self, last_kept: int) -> None:
        """Drop entries after `last_kept`; rebuild the data to undo them."""
        self.writer.execute(
            "DELETE FROM target_log WHERE idx > ?", [last_kept]
        )
        if self.applied <= last_kept:
            return
        self._drop_data()
        self._create_data()
        self._run_entries(0, last_kept)

    def _drop_data(self) -> None:
        rows = self.writer.execute(
            "SELECT type, name FROM sqlite_master WHERE type IN "
            "('table', 'view') AND name NOT LIKE 'sqlite_%'"
        ).fetchall()
        for kind, name in rows:
            if name not in INTERNAL_TABLES:
                self.writer.execute(f'DROP {kind} "{name}"')

    def _run_entries(self, after: int, last: int) -> None:
        for entry in self.entries_after(after, last - after):
            for sql, params in entry.statements():
                run_sql(self.writer, sql, params)
        self.writer.execute("UPDATE target_state SET applied = ?", [last])

    def apply_through(self, last: int) -> None:
        """Apply entries up to an index, which makes them visible."""
        if last <= self.applied:
            return
        self.writer.execute("BEGIN IMMEDIATE")
        self._run_entries(self.applied, last)
        self.writer.execute("COMMIT")
        self.applied = last

    # Idempotency keys.

    def find_key(self, caller: str, key: str) -> tuple[str, bytes] | None:
        """Return the digest and first answer of a used key, or None."""
        row = self.writer.execute(
            "SELECT digest, answer FROM idempotency_keys "
            "WHERE caller = ? AND key = ?",
            [caller, key],
        ).fetchone()
        return (row[0], row[1]) if row is not None else None
