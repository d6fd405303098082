"""A small caller for tests, the demo and the benchmarks.

It keeps one keep-alive connection per entry, passes the session token from
each answer to the next request and can switch to another entry between
requests. It never retries by itself, so that tests see every answer.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import http.client
import json
import select
import socket
import time
from typing import Any

from bamboospring.testing.timestamps import timestamp

__all__ = ["Caller", "CallerAnswer"]

DEFAULT_DEADLINE_MS = 2000
# The caller waits this much longer than its deadline, so that an answer that
# the proxy sends at the deadline still arrives.
ANSWER_GRACE_SECONDS = 1.0
OUTCOME_LOST = "lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """One answer as the caller received it.

    `outcome` is `lost` if the connection failed before the answer was
    complete; as with `unknown`, the statement may have taken effect.
    `elapsed` is in seconds. `received_at` is the time of day, as in the logs.
    """

    outcome: str
    reason: str = ""
    message: str = ""
    retry_after_ms: int = 0
    group: str = ""
    term: int = 0
    index: int = 0
    target: str = ""
    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Any, ...], ...] = ()
    rowcount: int = 0
    replayed: bool = False
    at_replica: bool = False
    transaction: str = ""
    token: str = ""
    status: int = 0
    elapsed: float = 0.0
    received_at: str = ""

    @property
    def done(self) -> bool:
        """Return whether the statement was executed and acknowledged."""
        return self.outcome == "done"


@dataclass(slots=True, kw_only=True)
class Caller:
    """One session of one caller, usable through any of `entries`.

    Not thread-safe: a session runs one statement at a time.
    """

    entries: Sequence[str]
    name: str = "tester"
    deadline_ms: int = DEFAULT_DEADLINE_MS
    entry_index: int = 0
    token: str = ""
    _connections: dict[str, http.client.HTTPConnection] = field(
        default_factory=dict
    )

    @property
    def entry(self) -> str:
        """Return the address of the current entry."""
        return self.entries[self.entry_index % len(self.entries)]

    def roam(self, at: int | None = None) -> None:
        """Switch to the next entry, or to the entry with the given index."""
        self.entry_index = self.entry_index + 1 if at is None else at

    def open(self) -> str:
        """Open the session and return its token."""
        answer = self.post("/v1/sessions", {"caller": self.name})
        if not answer.token:
            raise ConnectionError(f"no session: {answer}")
        return answer.token

    def read(
        self,
        group: str,
        sql: str,
        params: Sequence[Any] = (),
        *,
        staleness_ms: int | None = None,
    ) -> CallerAnswer:
        """Read, at a replica if one satisfies the session."""
        return self._send_statement(
            group, "read", sql, params, None, staleness_ms
        )

    def write(
        self,
        group: str,
        sql: str,
        params: Sequence[Any] = (),
        *,
        key: str | None = None,
    ) -> CallerAnswer:
        """Write in an implicit transaction; `key` makes it idempotent."""
        return self._send_statement(group, "write", sql, params, key, None)

    def begin(self, group: str) -> CallerAnswer:
        """Begin a transaction; the answer contains its handle."""
        return self._send_step(group, "begin", "")

    def statement(
        self,
        group: str,
        transaction: str,
        sql: str,
        params: Sequence[Any] = (),
        *,
        kind: str = "write",
    ) -> CallerAnswer:
        """Run a statement in a transaction."""
        return self._send_step(
            group, "statement", transaction, kind=kind, sql=sql, params=params
        )

    def commit(
        self, group: str, transaction: str, *, key: str | None = None
    ) -> CallerAnswer:
        """Commit a transaction; `key` makes the transaction idempotent."""
        return self._send_step(group, "commit", transaction, key=key)

    def rollback(self, group: str, transaction: str) -> CallerAnswer:
        """Roll a transaction back."""
        return self._send_step(group, "rollback", transaction)

    def post(self, path: str, body: dict[str, Any]) -> CallerAnswer:
        """Send one request and return its answer, `lost` if it got none."""
        started_at = time.monotonic()
        try:
            status, data = self._exchange(path, body)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            self._close_connection()
            elapsed = time.monotonic() - started_at
            return CallerAnswer(
                outcome=OUTCOME_LOST,
                message=repr(exc),
                elapsed=elapsed,
                received_at=timestamp(),
            )
        elapsed = time.monotonic() - started_at
        if data.get("token"):
            self.token = data["token"]
        return _parse_answer(data, status, elapsed)

    def close_connections_except(self, entries: Sequence[str]) -> None:
        """Close the connections to all other entries."""
        for entry in [e for e in self._connections if e not in entries]:
            self._connections.pop(entry).close()

    def close(self) -> None:
        """Close all connections."""
        for conn in self._connections.values():
            conn.close()
        self._connections.clear()

    def _send_statement(
        self,
        group: str,
        kind: str,
        sql: str,
        params: Sequence[Any],
        key: str | None,
        staleness_ms: int | None,
    ) -> CallerAnswer:
        body = {
            "token": self._ensure_token(),
            "group": group,
            "kind": kind,
            "sql": sql,
            "params": list(params),
            "staleness_ms": staleness_ms,
            "key": key,
            "deadline_ms": self.deadline_ms,
        }
        return self.post("/v1/statements", body)

    def _send_step(
        self,
        group: str,
        step: str,
        transaction: str,
        *,
        kind: str = "write",
        sql: str | None = None,
        params: Sequence[Any] = (),
        key: str | None = None,
    ) -> CallerAnswer:
        body = {
            "token": self._ensure_token(),
            "group": group,
            "step": step,
            "transaction": transaction,
            "kind": kind,
            "sql": sql,
            "params": list(params),
            "key": key,
            "deadline_ms": self.deadline_ms,
        }
        return self.post("/v1/transactions", body)

    def _ensure_token(self) -> str:
        return self.token or self.open()

    def _exchange(
        self, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        conn = self._connection()
        text = json.dumps(body)
        conn.request("POST", path, text, {"Content-Type": "application/json"})
        resp = conn.getresponse()
        data = json.loads(resp.read())
        if resp.will_close:
            self._close_connection()
        return resp.status, data

    def _connection(self) -> http.client.HTTPConnection:
        conn = self._connections.get(self.entry)
        if conn is not None and _is_closed(conn):
            # The entry closed the idle connection, as HTTP allows at any
            # time. A request on it would be lost without any fault.
            self._close_connection()
            conn = None
        if conn is None:
            host, port = self.entry.rsplit(":", 1)
            timeout = self.deadline_ms / 1000 + ANSWER_GRACE_SECONDS
            conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
            conn.connect()
            conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections[self.entry] = conn
        return conn

    def _close_connection(self) -> None:
        conn = self._connections.pop(self.entry, None)
        if conn is not None:
            conn.close()


def _is_closed(conn: http.client.HTTPConnection) -> bool:
    """Return whether the peer has closed an idle connection."""
    if conn.sock is None:
        return True
    ready, _, _ = select.select([conn.sock], [], [], 0)
    return bool(ready)


def _parse_answer(
    data: dict[str, Any], status: int, elapsed: float
) -> CallerAnswer:
    return CallerAnswer(
        outcome=data.get("outcome") or ("done" if status == 200 else ""),
        reason=data.get("reason") or "",
        message=data.get("message") or "",
        retry_after_ms=data.get("retry_after_ms") or 0,
        group=data.get("group") or "",
        term=data.get("term") or 0,
        index=data.get("index") or 0,
        target=data.get("target") or "",
        columns=tuple(data.get("columns") or ()),
        rows=tuple(tuple(row) for row in data.get("rows") or ()),
        rowcount=data.get("rowcount") or 0,
        replayed=bool(data.get("replayed")),
        at_replica=bool(data.get("at_replica")),
        transaction=data.get("transaction") or "",
        token=data.get("token") or "",
        status=status,
        elapsed=elapsed,
        received_at=timestamp(),
    )
