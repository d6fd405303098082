"""The behaviour of a target on statements and orders, without HTTP.

Every state change runs without yielding to the event loop, so a fence and a
commit never overlap: a commit is either in the log before the fence is
durable, or it is refused.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
import hashlib
import sqlite3
import time
from typing import Any

import orjson

from bamboospring.blackboard import Role
from bamboospring.testing.target_connections import DEFAULT_DEADLINE_MS
from bamboospring.testing.target_connections import StatementConnection
from bamboospring.testing.target_connections import StatementRefused
from bamboospring.testing.target_connections import TargetStatement
from bamboospring.testing.target_connections import TargetTransaction
from bamboospring.testing.target_connections import WriteLock
from bamboospring.testing.target_store import run_sql
from bamboospring.testing.target_store import SqlResult
from bamboospring.testing.target_store import StoredStatement
from bamboospring.testing.target_store import TargetStore

__all__ = [
    "DEFAULT_DEADLINE_MS",
    "dumps",
    "StatementConnection",
    "StatementRefused",
    "TargetEngine",
    "TargetSettings",
    "TargetStatement",
]

CONTROL_WORDS = frozenset(
    "BEGIN COMMIT END ROLLBACK SAVEPOINT RELEASE ATTACH DETACH PRAGMA "
    "VACUUM".split()
)
SQL_ERRORS = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)


@dataclass(slots=True, kw_only=True)
class TargetSettings:
    """Limits and simulated delays, which can be changed at run time."""

    slots: int = 3
    connections: int = 20
    connect_ms: float = 10
    statement_ms: float = 0
    apply_lag_ms: float = 0
    receive_lag_ms: float = 0
    leaving: bool = False


def request_digest(statements: list[StoredStatement]) -> str:
    """Return the digest by which a key is matched with its request."""
    return hashlib.sha256(orjson.dumps(statements)).hexdigest()


def check_sql(sql: str) -> None:
    """Raise an error for statements that control transactions."""
    words = sql.split(None, 1)
    if not words or words[0].upper().rstrip(";") in CONTROL_WORDS:
        raise sqlite3.ProgrammingError("control statements are not allowed")


class TargetEngine:
    """The behaviour of a target on its store."""

    def __init__(
        self, *, name: str, store: TargetStore, settings: TargetSettings
    ) -> None:
        self.name = name
        self.store = store
        self.settings = settings
        self.lock = WriteLock()
        self.open_connections: set[StatementConnection] = set()
        self.counters: Counter[str] = Counter()
        self.busy_slots = 0
        self._change_waiters: set[asyncio.Future[None]] = set()
        self._pause_owner = StatementConnection(holder="", abort=lambda: None)
        self._pause_timer: asyncio.TimerHandle | None = None

        # Higher than all ids of an earlier run. A request to terminate a
        # connection of that run is repeated until it is answered and must
        # not terminate a new connection.
        self._last_connection_id = time.time_ns() // 1000

    def notify_change(self) -> None:
        """Wake all tasks that wait for a change of position, term or role."""
        waiters = self._change_waiters
        self._change_waiters = set()
        for fut in waiters:
            if not fut.done():
                fut.set_result(None)

    async def wait_for_change(self, timeout: float) -> None:
        """Wait for the next change, at most `timeout` seconds."""
        fut = asyncio.get_running_loop().create_future()
        self._change_waiters.add(fut)
        try:
            await asyncio.wait([fut], timeout=max(timeout, 0))
        finally:
            self._change_waiters.discard(fut)

    def probe(self) -> dict[str, Any]:
        """Return the body of `/probe`."""
        store = self.store
        return {
            "target": self.name,
            "term": store.term,
            "role": store.role.value,
            "received": store.received,
            "applied": store.applied,
            "last_term": store.last_term,
            "primary": store.primary_address,
            "start": store.start,
            "leaving": self.settings.leaving,
        }

    # Orders.

    def fence(self, term: int) -> bool:
        """Fence the target at a term; return False if the term is lower.

        Statement connections stay open, and statements that wait or arrive
        with the old term are refused for their term. If the connections were
        closed, a caller could not know that its write never ran.
        """
        store = self.store
        if term < store.term:
            return False
        if term == store.term:
            return True
        self._end_transactions()
        store.set_role(term=term, role=Role.FENCED, primary_address="")
        self.counters["fenced"] += 1
        self._end_pause()
        self.notify_change()
        return True

    def promote(self, term: int) -> bool:
        """Become primary of the term at which this target was fenced."""
        store = self.store
        if term != store.term or store.role == Role.REPLICA:
            return False
        if store.role == Role.PRIMARY:
            return True
        store.open_term()
        self.counters["promoted"] += 1
        self.notify_change()
        return True

    def follow(self, term: int, primary_address: str) -> bool:
        """Replicate from the primary of a term that is not lower."""
        store = self.store
        if term < store.term:
            return False
        if term == store.term and store.role == Role.PRIMARY:
            return False
        if store.role == Role.PRIMARY:
            self._end_transactions()
            self._end_pause()
        store.set_role(
            term=term, role=Role.REPLICA, primary_address=primary_address
        )
        self.notify_change()
        return True

    def _end_transactions(self) -> None:
        for connection in list(self.open_connections):
            self.roll_back(connection)

    async def pause(self, term: int, wait: float, duration: float) -> bool:
        """Block new writes after the current write has ended.

        The writes wait for the write lock and continue when the pause expires
        after `duration` seconds. Return False if this target is not the
        primary of the term, or if the lock is not free within `wait` seconds.
        """
        if not self._is_primary_at(term):
            return False
        if self.lock.owner is not self._pause_owner:
            if not await self.lock.acquire(self._pause_owner, wait):
                return False
        if not self._is_primary_at(term):
            self.lock.release(self._pause_owner)
            return False
        self._cancel_pause_timer()
        loop = asyncio.get_running_loop()
        self._pause_timer = loop.call_later(duration, self._end_pause)
        self.counters["paused"] += 1
        return True

    def resume(self, term: int) -> bool:
        """End a pause."""
        if not self._is_primary_at(term):
            return False
        self._end_pause()
        return True

    def _is_primary_at(self, term: int) -> bool:
        return self.store.role is Role.PRIMARY and self.store.term == term

    def _end_pause(self) -> None:
        self._cancel_pause_timer()
        self.lock.release(self._pause_owner)

    def _cancel_pause_timer(self) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None

    # Statement connections.

    def open_connection(self, connection: StatementConnection) -> bool:
        """Add a statement connection; return False if the limit is reached."""
        if len(self.open_connections) >= self.settings.connections:
            self.counters["refused_connections"] += 1
            return False
        self.open_connections.add(connection)
        self._last_connection_id += 1
        connection.connection_id = self._last_connection_id
        self.counters["opened_connections"] += 1
        self._record_peak("peak_connections", len(self.open_connections))
        return True

    def terminate(self, connection_ids: list[int]) -> int:
        """Close the connections with these ids and return their number."""
        connections = [
            conn
            for conn in self.open_connections
            if conn.connection_id in connection_ids
        ]
        for connection in connections:
            connection.abort()
        return len(connections)

    def _start_idle_timer(self, connection: StatementConnection) -> None:
        """Start the timeout for a connection with an idle transaction."""
        if connection.transaction is not None and connection.idle_tx_ms:
            loop = asyncio.get_running_loop()
            connection.idle_timer = loop.call_later(
                connection.idle_tx_ms / 1000, connection.abort
            )

    def _stop_idle_timer(self, connection: StatementConnection) -> None:
        if connection.idle_timer is not None:
            connection.idle_timer.cancel()
            connection.idle_timer = None

    def close_connection(self, connection: StatementConnection) -> None:
        """Roll back an open transaction and remove the connection."""
        self._stop_idle_timer(connection)
        self.roll_back(connection)
        self.lock.release(connection)
        self.open_connections.discard(connection)

    def roll_back(self, connection: StatementConnection) -> None:
        """Roll back the open transaction of a connection."""
        tx = connection.transaction
        if tx is None:
            return
        connection.transaction = None
        if tx.read_only:
            tx.conn.close()
            return
        if tx.conn.in_transaction:
            tx.conn.execute("ROLLBACK")
        self.lock.release(connection)

    def _record_peak(self, name: str, value: int) -> None:
        self.counters[name] = max(self.counters[name], value)

    # Statements.

    def must_wait(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> bool:
        """Return whether a statement has to wait before it runs."""
        if self.settings.statement_ms > 0:
            return True
        busy = self.lock.owner is not None
        return busy and self._needs_lock(connection, stmt)

    def _needs_lock(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> bool:
        opens = stmt.step in (None, "begin")
        return stmt.write and opens and connection.transaction is None

    async def execute(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> dict[str, Any]:
        """Run a statement that may have to wait."""
        self._stop_idle_timer(connection)
        has_lock = self._needs_lock(connection, stmt)
        try:
            self._check(connection, stmt)
            if has_lock and not await self.lock.acquire(
                connection, stmt.deadline_ms / 1000
            ):
                has_lock = False
                raise StatementRefused("lock_timeout")
            self._check(connection, stmt)
            self._acquire_slot()
        except StatementRefused as exc:
            if has_lock:
                self.lock.release(connection)
            self._start_idle_timer(connection)
            return self._refused_answer(stmt, exc)
        except asyncio.CancelledError:
            # The lock may have been passed to this connection in the same
            # step in which it was lost. Without this release the lock would
            # never be freed.
            self.lock.release(connection)
            raise
        try:
            await asyncio.sleep(self.settings.statement_ms / 1000)
            return self._run_checked(connection, stmt)
        finally:
            self.busy_slots -= 1
            self._release_if_idle(connection)

    def execute_now(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> dict[str, Any]:
        """Run a statement for which `must_wait` was False."""
        self._stop_idle_timer(connection)
        try:
            self._check(connection, stmt)
            self._acquire_slot()
        except StatementRefused as exc:
            self._start_idle_timer(connection)
            return self._refused_answer(stmt, exc)
        try:
            if self._needs_lock(connection, stmt):
                self.lock.try_acquire(connection)
            return self._run_checked(connection, stmt)
        finally:
            self.busy_slots -= 1
            self._release_if_idle(connection)

    def _release_if_idle(self, connection: StatementConnection) -> None:
        tx = connection.transaction
        if tx is None or tx.read_only:
            self.lock.release(connection)
        self._start_idle_timer(connection)

    def _acquire_slot(self) -> None:
        if self.busy_slots >= self.settings.slots:
            raise StatementRefused("slots")
        self.busy_slots += 1
        self._record_peak("peak_slots", self.busy_slots)

    def _check(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> None:
        """Raise `StatementRefused` if the statement must not run now.

        Called before and after the statement waits.
        """
        store = self.store
        new_work = stmt.step in (None, "begin")
        if self.settings.leaving and new_work:
            raise StatementRefused("leaving")
        if stmt.needs_primary or stmt.term:
            if stmt.term < store.term:
                raise StatementRefused("term")
            if stmt.term > store.term:
                raise StatementRefused("behind")
        if stmt.needs_primary and store.role != Role.PRIMARY:
            raise StatementRefused("not_primary")
        if stmt.min_index > store.applied:
            raise StatementRefused("behind")
        if new_work and connection.transaction is not None:
            raise StatementRefused("no_tx", "a transaction is already open")
        if not new_work and connection.transaction is None:
            raise StatementRefused("no_tx")

    def _run_checked(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> dict[str, Any]:
        # The term or role may have changed while the statement waited for
        # the lock or its service time. Without this second check a fenced
        # primary could acknowledge a write.
        try:
            self._check(connection, stmt)
            answer = self._run(connection, stmt)
        except StatementRefused as exc:
            return self._refused_answer(stmt, exc)
        except SQL_ERRORS as exc:
            self._roll_back_failed(connection)
            return self._failed_answer(stmt, str(exc))
        self.counters["executed"] += 1
        return answer

    def _roll_back_failed(self, connection: StatementConnection) -> None:
        if connection.transaction is not None:
            self.roll_back(connection)
        elif self.store.writer.in_transaction:
            if self.lock.owner is connection:
                self.store.writer.execute("ROLLBACK")

    def _run(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> dict[str, Any]:
        match stmt.step:
            case None if stmt.write:
                return self._autocommit(stmt)
            case None:
                check_sql(stmt.sql)
                result = run_sql(self.store.reader, stmt.sql, stmt.params)
                return self._ok_answer(stmt, result, self.store.applied)
            case "begin":
                return self._begin(connection, stmt)
            case "statement":
                return self._run_in_transaction(connection, stmt)
            case "commit":
                return self._commit(connection, stmt)
            case "rollback":
                self.roll_back(connection)
                return self._ok_answer(stmt, SqlResult(), self.store.applied)
            case _:
                raise StatementRefused("no_tx", "unknown step")

    def _autocommit(self, stmt: TargetStatement) -> dict[str, Any]:
        check_sql(stmt.sql)
        digest = request_digest([(stmt.sql, stmt.params)])
        if replay := self._find_replay(stmt, digest):
            return replay
        writer = self.store.writer
        writer.execute("BEGIN IMMEDIATE")
        result = run_sql(writer, stmt.sql, stmt.params)
        statements = [(stmt.sql, stmt.params)]
        return self._commit_writer(stmt, result, statements, digest)

    def _begin(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> dict[str, Any]:
        read_only = not stmt.write
        conn = self.store.writer
        if read_only:
            conn = self.store.open_reader()
            conn.execute("BEGIN")
            conn.execute("SELECT 1 FROM target_state").fetchone()
        else:
            conn.execute("BEGIN IMMEDIATE")
        connection.transaction = TargetTransaction(
            conn=conn, read_only=read_only, index=self.store.applied
        )
        if stmt.sql:
            return self._run_in_transaction(connection, stmt)
        return self._ok_answer(stmt, SqlResult(), self.store.applied)

    def _run_in_transaction(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> dict[str, Any]:
        tx = connection.transaction
        assert tx is not None
        check_sql(stmt.sql)
        item = (stmt.sql, stmt.params)
        is_guarded = not stmt.write and not tx.read_only
        if is_guarded:
            tx.conn.execute("PRAGMA query_only=1")
        try:
            result = run_sql(tx.conn, stmt.sql, stmt.params)
        finally:
            if is_guarded:
                tx.conn.execute("PRAGMA query_only=0")
        tx.requested.append(item)
        if stmt.write:
            tx.statements.append(item)
        return self._ok_answer(stmt, result, tx.index)

    def _commit(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> dict[str, Any]:
        tx = connection.transaction
        assert tx is not None
        if tx.read_only:
            self.roll_back(connection)
            return self._ok_answer(stmt, SqlResult(), tx.index)
        digest = request_digest(tx.requested)
        try:
            replay = self._find_replay(stmt, digest)
        except StatementRefused:
            self.roll_back(connection)
            raise
        if replay is not None:
            self.roll_back(connection)
            return replay
        if not tx.statements and not stmt.key:
            self.roll_back(connection)
            return self._ok_answer(stmt, SqlResult(), tx.index)
        answer = self._commit_writer(stmt, SqlResult(), tx.statements, digest)
        connection.transaction = None
        return answer

    def _commit_writer(
        self,
        stmt: TargetStatement,
        result: SqlResult,
        statements: list[StoredStatement],
        digest: str,
    ) -> dict[str, Any]:
        """Commit the writer's transaction with its log entry and key."""
        store = self.store
        answer = self._ok_answer(stmt, result, store.received + 1)
        if stmt.key:
            item = self._key_insert(stmt, digest, answer)
            run_sql(store.writer, *item)
            statements = [*statements, item]
        store.append_entry(statements)
        store.writer.execute("COMMIT")
        store.record_commit()
        answer["received"] = store.received
        answer["applied"] = store.applied
        self.notify_change()
        return answer

    def _key_insert(
        self, stmt: TargetStatement, digest: str, answer: dict[str, Any]
    ) -> StoredStatement:
        sql = "INSERT INTO idempotency_keys VALUES (?, ?, ?, ?)"
        body = dumps(answer).decode()
        return (sql, [stmt.caller, stmt.key, digest, body])

    def _find_replay(
        self, stmt: TargetStatement, digest: str
    ) -> dict[str, Any] | None:
        if not stmt.key:
            return None
        stored = self.store.find_key(stmt.caller, stmt.key)
        if stored is None:
            return None
        if stored[0] != digest:
            raise StatementRefused("key_reused")
        self.counters["replayed"] += 1
        first_answer = orjson.loads(stored[1])
        answer = self._ok_answer(stmt, SqlResult(), first_answer["index"])
        for name in ("columns", "rows", "rowcount"):
            answer[name] = first_answer[name]
        answer["replayed"] = True
        return answer

    # Answers.

    def _answer(self, stmt: TargetStatement, outcome: str) -> dict[str, Any]:
        store = self.store
        answer = {
            "id": stmt.id,
            "target": self.name,
            "term": store.term,
            "role": store.role.value,
            "received": store.received,
            "applied": store.applied,
            "index": store.applied,
            "outcome": outcome,
            "reason": None,
            "message": None,
            "columns": [],
            "rows": [],
            "rowcount": 0,
            "replayed": False,
        }
        if self.settings.leaving:
            answer["leaving"] = True
        return answer

    def _ok_answer(
        self, stmt: TargetStatement, result: SqlResult, index: int
    ) -> dict[str, Any]:
        answer = self._answer(stmt, "ok")
        answer["index"] = index
        answer["columns"] = result.columns
        answer["rows"] = result.rows
        answer["rowcount"] = result.rowcount
        return answer

    def _refused_answer(
        self, stmt: TargetStatement, exc: StatementRefused
    ) -> dict[str, Any]:
        self.counters["refused_" + exc.reason] += 1
        answer = self._answer(stmt, "refused")
        answer["reason"] = exc.reason
        answer["message"] = exc.message or None
        return answer

    def _failed_answer(
        self, stmt: TargetStatement, message: str
    ) -> dict[str, Any]:
        self.counters["failed"] += 1
        answer = self._answer(stmt, "failed")
        answer["reason"] = "sql"
        answer["message"] = message
        return answer


def dumps(body: Any) -> bytes:
    """Encode an answer; binary values are encoded as hexadecimal."""
    return orjson.dumps(body, default=bytes.hex)
