"""What a target does with statements and orders, without any HTTP.

All state changes happen in steps that don't yield to the event loop, so a
fence and a commit never overlap: a commit is either in the log before the
fence was made durable, or is refused.
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
from bamboospring.testing.target_session import DEFAULT_DEADLINE_MS
from bamboospring.testing.target_session import Refused
from bamboospring.testing.target_session import Session
from bamboospring.testing.target_session import Statement
from bamboospring.testing.target_session import Transaction
from bamboospring.testing.target_session import WriteLock
from bamboospring.testing.target_store import Effect
from bamboospring.testing.target_store import run_sql
from bamboospring.testing.target_store import Store
from bamboospring.testing.target_store import StoredStatement

__all__ = [
    "DEFAULT_DEADLINE_MS",
    "Engine",
    "Knobs",
    "Refused",
    "Session",
    "Statement",
    "dumps",
]

CONTROL_WORDS = frozenset(
    "BEGIN COMMIT END ROLLBACK SAVEPOINT RELEASE ATTACH DETACH PRAGMA "
    "VACUUM".split()
)
SQL_ERRORS = (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError)


@dataclass(slots=True, kw_only=True)
class Knobs:
    """Limits and simulated delays; all can be changed while it runs."""

    slots: int = 3
    connections: int = 20
    connect_ms: float = 10
    statement_ms: float = 0
    apply_lag_ms: float = 0
    receive_lag_ms: float = 0
    leaving: bool = False


def digest_of(statements: list[StoredStatement]) -> str:
    """Return what tells whether a key is used for the same request."""
    return hashlib.sha256(orjson.dumps(statements)).hexdigest()


def check_sql(sql: str) -> None:
    """Refuse statements that would steer the transaction themselves."""
    words = sql.split(None, 1)
    if not words or words[0].upper().rstrip(";") in CONTROL_WORDS:
        raise sqlite3.ProgrammingError("statement not allowed here")


class Engine:
    """A target's behaviour over its store."""

    def __init__(self, *, name: str, store: Store, knobs: Knobs) -> None:
        self.name = name
        self.store = store
        self.knobs = knobs
        self.lock = WriteLock()
        self.sessions: set[Session] = set()
        self.counters: Counter[str] = Counter()
        self.busy_slots = 0
        self._watchers: set[asyncio.Future[None]] = set()
        self._pauser = Session(holder="", abort=lambda: None)
        self._pause_end: asyncio.TimerHandle | None = None

        # Above all numbers of an earlier life: an order to end a connection
        # of that life, tried until it is answered, must not end a new one.
        self._session_numbers = time.time_ns() // 1000

    def changed(self) -> None:
        """Wake all that wait for a change of position, term or role."""
        watchers = self._watchers
        self._watchers = set()
        for fut in watchers:
            if not fut.done():
                fut.set_result(None)

    async def wait_change(self, timeout: float) -> None:
        """Wait for the next change, at most `timeout` seconds."""
        fut = asyncio.get_running_loop().create_future()
        self._watchers.add(fut)
        try:
            await asyncio.wait([fut], timeout=max(timeout, 0))
        finally:
            self._watchers.discard(fut)

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
            "leaving": self.knobs.leaving,
        }

    # Orders.

    def fence(self, term: int) -> bool:
        """Stop at a term; False when the term is lower than ours.

        Statement connections stay: what waits or is on its way at the old
        term is refused for its term. A closed connection would leave its
        caller in doubt of a write that never ran.
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
        self.changed()
        return True

    def promote(self, term: int) -> bool:
        """Become primary at the term at which this target was fenced."""
        store = self.store
        if term != store.term or store.role == Role.REPLICA:
            return False
        if store.role == Role.PRIMARY:
            return True
        store.open_term()
        self.counters["promoted"] += 1
        self.changed()
        return True

    def follow(self, term: int, primary_address: str) -> bool:
        """Take entries from a primary of a term that isn't lower."""
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
        self.changed()
        return True

    def _end_transactions(self) -> None:
        for session in list(self.sessions):
            self.roll_back(session)

    async def pause(self, term: int, wait: float, duration: float) -> bool:
        """Hold new writes back once those under way have ended.

        The writes wait for the write lock as they do behind any other, and
        go on when the pause ends by itself after `duration` seconds. False
        if this isn't the term's primary or the wait was too short.
        """
        if not self._is_primary_at(term):
            return False
        if self.lock.owner is not self._pauser:
            if not await self.lock.take(self._pauser, wait):
                return False
        if not self._is_primary_at(term):
            self.lock.release(self._pauser)
            return False
        self._cancel_pause_end()
        loop = asyncio.get_running_loop()
        self._pause_end = loop.call_later(duration, self._end_pause)
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
        self._cancel_pause_end()
        self.lock.release(self._pauser)

    def _cancel_pause_end(self) -> None:
        if self._pause_end is not None:
            self._pause_end.cancel()
            self._pause_end = None

    # Statement connections.

    def open_session(self, session: Session) -> bool:
        """Count one more statement connection, if the limit allows it."""
        if len(self.sessions) >= self.knobs.connections:
            self.counters["refused_connections"] += 1
            return False
        self.sessions.add(session)
        self._session_numbers += 1
        session.number = self._session_numbers
        self.counters["opened_connections"] += 1
        self._peak("peak_connections", len(self.sessions))
        return True

    def terminate(self, numbers: list[int]) -> int:
        """End the connections of these numbers; return how many there were."""
        found = [each for each in self.sessions if each.number in numbers]
        for session in found:
            session.abort()
        return len(found)

    def _watch_idle(self, session: Session) -> None:
        """End the connection if its open transaction does nothing for long."""
        if session.transaction is not None and session.idle_tx_ms:
            loop = asyncio.get_running_loop()
            session.idle = loop.call_later(
                session.idle_tx_ms / 1000, session.abort
            )

    def _stop_watch(self, session: Session) -> None:
        if session.idle is not None:
            session.idle.cancel()
            session.idle = None

    def close_session(self, session: Session) -> None:
        """Roll back what is open and forget the connection."""
        self._stop_watch(session)
        self.roll_back(session)
        self.lock.release(session)
        self.sessions.discard(session)

    def roll_back(self, session: Session) -> None:
        """End the session's transaction without effect."""
        tx = session.transaction
        if tx is None:
            return
        session.transaction = None
        if tx.read_only:
            tx.conn.close()
            return
        if tx.conn.in_transaction:
            tx.conn.execute("ROLLBACK")
        self.lock.release(session)

    def _peak(self, name: str, value: int) -> None:
        self.counters[name] = max(self.counters[name], value)

    # Statements.

    def must_wait(self, session: Session, stmt: Statement) -> bool:
        """Tell whether a statement can't be run in one step."""
        if self.knobs.statement_ms > 0:
            return True
        busy = self.lock.owner is not None
        return busy and self._wants_lock(session, stmt)

    def _wants_lock(self, session: Session, stmt: Statement) -> bool:
        opens = stmt.step in (None, "begin")
        return stmt.write and opens and session.transaction is None

    async def execute(
        self, session: Session, stmt: Statement
    ) -> dict[str, Any]:
        """Run a statement that may have to wait."""
        self._stop_watch(session)
        held = self._wants_lock(session, stmt)
        try:
            self._check(session, stmt)
            if held and not await self.lock.take(
                session, stmt.deadline_ms / 1000
            ):
                held = False
                raise Refused("lock_timeout")
            self._check(session, stmt)
            self._take_slot()
        except Refused as exc:
            if held:
                self.lock.release(session)
            self._watch_idle(session)
            return self._refused(stmt, exc)
        except asyncio.CancelledError:
            # The lock may have been handed over in the very step in which
            # the connection was lost; without this nobody would free it.
            self.lock.release(session)
            raise
        try:
            await asyncio.sleep(self.knobs.statement_ms / 1000)
            return self._run_checked(session, stmt)
        finally:
            self.busy_slots -= 1
            self._release_if_idle(session)

    def execute_now(self, session: Session, stmt: Statement) -> dict[str, Any]:
        """Run a statement for which `must_wait` was False."""
        self._stop_watch(session)
        try:
            self._check(session, stmt)
            self._take_slot()
        except Refused as exc:
            self._watch_idle(session)
            return self._refused(stmt, exc)
        try:
            if self._wants_lock(session, stmt):
                self.lock.take_now(session)
            return self._run_checked(session, stmt)
        finally:
            self.busy_slots -= 1
            self._release_if_idle(session)

    def _release_if_idle(self, session: Session) -> None:
        tx = session.transaction
        if tx is None or tx.read_only:
            self.lock.release(session)
        self._watch_idle(session)

    def _take_slot(self) -> None:
        if self.busy_slots >= self.knobs.slots:
            raise Refused("slots")
        self.busy_slots += 1
        self._peak("peak_slots", self.busy_slots)

    def _check(self, session: Session, stmt: Statement) -> None:
        """Refuse what must not run here, now or after a wait."""
        store = self.store
        new_work = stmt.step in (None, "begin")
        if self.knobs.leaving and new_work:
            raise Refused("leaving")
        if stmt.needs_primary or stmt.term:
            if stmt.term < store.term:
                raise Refused("term")
            if stmt.term > store.term:
                raise Refused("behind")
        if stmt.needs_primary and store.role != Role.PRIMARY:
            raise Refused("not_primary")
        if stmt.min_index > store.applied:
            raise Refused("behind")
        if new_work and session.transaction is not None:
            raise Refused("no_tx", "a transaction is already open")
        if not new_work and session.transaction is None:
            raise Refused("no_tx")

    def _run_checked(
        self, session: Session, stmt: Statement
    ) -> dict[str, Any]:
        # The term or role may have changed while the statement waited for
        # its lock or service time; without this second look a write could
        # be answered by a primary that was fenced meanwhile.
        try:
            self._check(session, stmt)
            answer = self._run(session, stmt)
        except Refused as exc:
            return self._refused(stmt, exc)
        except SQL_ERRORS as exc:
            self._undo(session)
            return self._failed(stmt, str(exc))
        self.counters["executed"] += 1
        return answer

    def _undo(self, session: Session) -> None:
        if session.transaction is not None:
            self.roll_back(session)
        elif self.store.writer.in_transaction:
            if self.lock.owner is session:
                self.store.writer.execute("ROLLBACK")

    def _run(self, session: Session, stmt: Statement) -> dict[str, Any]:
        match stmt.step:
            case None if stmt.write:
                return self._autocommit(stmt)
            case None:
                check_sql(stmt.sql)
                effect = run_sql(self.store.reader, stmt.sql, stmt.params)
                return self._ok(stmt, effect, self.store.applied)
            case "begin":
                return self._begin(session, stmt)
            case "statement":
                return self._inside(session, stmt)
            case "commit":
                return self._commit(session, stmt)
            case "rollback":
                self.roll_back(session)
                return self._ok(stmt, Effect(), self.store.applied)
            case _:
                raise Refused("no_tx", "unknown step")

    def _autocommit(self, stmt: Statement) -> dict[str, Any]:
        check_sql(stmt.sql)
        digest = digest_of([(stmt.sql, stmt.params)])
        if replay := self._replay(stmt, digest):
            return replay
        writer = self.store.writer
        writer.execute("BEGIN IMMEDIATE")
        effect = run_sql(writer, stmt.sql, stmt.params)
        statements = [(stmt.sql, stmt.params)]
        return self._finish(stmt, effect, statements, digest)

    def _begin(self, session: Session, stmt: Statement) -> dict[str, Any]:
        read_only = not stmt.write
        conn = self.store.writer
        if read_only:
            conn = self.store.open_reader()
            conn.execute("BEGIN")
            conn.execute("SELECT 1 FROM target_state").fetchone()
        else:
            conn.execute("BEGIN IMMEDIATE")
        session.transaction = Transaction(
            conn=conn, read_only=read_only, index=self.store.applied
        )
        if stmt.sql:
            return self._inside(session, stmt)
        return self._ok(stmt, Effect(), self.store.applied)

    def _inside(self, session: Session, stmt: Statement) -> dict[str, Any]:
        tx = session.transaction
        assert tx is not None
        check_sql(stmt.sql)
        item = (stmt.sql, stmt.params)
        guard = not stmt.write and not tx.read_only
        if guard:
            tx.conn.execute("PRAGMA query_only=1")
        try:
            effect = run_sql(tx.conn, stmt.sql, stmt.params)
        finally:
            if guard:
                tx.conn.execute("PRAGMA query_only=0")
        tx.asked.append(item)
        if stmt.write:
            tx.statements.append(item)
        return self._ok(stmt, effect, tx.index)

    def _commit(self, session: Session, stmt: Statement) -> dict[str, Any]:
        tx = session.transaction
        assert tx is not None
        if tx.read_only:
            self.roll_back(session)
            return self._ok(stmt, Effect(), tx.index)
        digest = digest_of(tx.asked)
        try:
            replay = self._replay(stmt, digest)
        except Refused:
            self.roll_back(session)
            raise
        if replay is not None:
            self.roll_back(session)
            return replay
        if not tx.statements and not stmt.key:
            self.roll_back(session)
            return self._ok(stmt, Effect(), tx.index)
        answer = self._finish(stmt, Effect(), tx.statements, digest)
        session.transaction = None
        return answer

    def _finish(
        self,
        stmt: Statement,
        effect: Effect,
        statements: list[StoredStatement],
        digest: str,
    ) -> dict[str, Any]:
        """Commit the writer's transaction with its log entry and key."""
        store = self.store
        answer = self._ok(stmt, effect, store.received + 1)
        if stmt.key:
            item = self._key_insert(stmt, digest, answer)
            run_sql(store.writer, *item)
            statements = [*statements, item]
        store.append_own(statements)
        store.writer.execute("COMMIT")
        store.committed_own()
        answer["received"] = store.received
        answer["applied"] = store.applied
        self.changed()
        return answer

    def _key_insert(
        self, stmt: Statement, digest: str, answer: dict[str, Any]
    ) -> StoredStatement:
        sql = "INSERT INTO idempotency_keys VALUES (?, ?, ?, ?)"
        body = dumps(answer).decode()
        return (sql, [stmt.caller, stmt.key, digest, body])

    def _replay(self, stmt: Statement, digest: str) -> dict[str, Any] | None:
        if not stmt.key:
            return None
        found = self.store.find_key(stmt.caller, stmt.key)
        if found is None:
            return None
        if found[0] != digest:
            raise Refused("key_reused")
        self.counters["replayed"] += 1
        first = orjson.loads(found[1])
        answer = self._ok(stmt, Effect(), first["index"])
        for name in ("columns", "rows", "rowcount"):
            answer[name] = first[name]
        answer["replayed"] = True
        return answer

    # Answers.

    def _answer(self, stmt: Statement, outcome: str) -> dict[str, Any]:
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
        if self.knobs.leaving:
            answer["leaving"] = True
        return answer

    def _ok(
        self, stmt: Statement, effect: Effect, index: int
    ) -> dict[str, Any]:
        answer = self._answer(stmt, "ok")
        answer["index"] = index
        answer["columns"] = effect.columns
        answer["rows"] = effect.rows
        answer["rowcount"] = effect.rowcount
        return answer

    def _refused(self, stmt: Statement, exc: Refused) -> dict[str, Any]:
        self.counters["refused_" + exc.reason] += 1
        answer = self._answer(stmt, "refused")
        answer["reason"] = exc.reason
        answer["message"] = exc.message or None
        return answer

    def _failed(self, stmt: Statement, message: str) -> dict[str, Any]:
        self.counters["failed"] += 1
        answer = self._answer(stmt, "failed")
        answer["reason"] = "sql"
        answer["message"] = message
        return answer


def dumps(body: Any) -> bytes:
    """Encode an answer; binary values are given in hexadecimal."""
    return orjson.dumps(body, default=bytes.hex)
