"""A small caller for tests, the demo and the bench.

It keeps one keep-alive connection for each entry, carries the session token
from answer to answer and may roam to another entry between requests. It
never retries by itself: what an answer says is what the test sees.
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

__all__ = ["Caller", "CallerAnswer"]

DEFAULT_DEADLINE_MS = 2000
# The caller waits a little longer than its deadline, so that the proxy's own
# final answer at the deadline still arrives.
GRACE_SECONDS = 1.0
LOST = "lost"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerAnswer:
    """One answer as the caller got it.

    `outcome` is `lost` when the connection broke before the answer was
    whole; the caller then knows as little as after `unknown`.
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

    @property
    def done(self) -> bool:
        """Tell whether the statement ran and its effect is acknowledged."""
        return self.outcome == "done"


@dataclass(slots=True, kw_only=True)
class Caller:
    """One session of one caller, usable through any of `entries`.

    Not safe for use by several threads at once: a session is one line of
    work.
    """

    entries: Sequence[str]
    name: str = "tester"
    deadline_ms: int = DEFAULT_DEADLINE_MS
    entry_index: int = 0
    token: str = ""
    _conns: dict[str, http.client.HTTPConnection] = field(default_factory=dict)

    @property
    def entry(self) -> str:
        """Return the address of the entry in use."""
        return self.entries[self.entry_index % len(self.entries)]

    def roam(self, at: int | None = None) -> None:
        """Go on through another entry: the next one, or the given one."""
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
        return self._statement(group, "read", sql, params, None, staleness_ms)

    def write(
        self,
        group: str,
        sql: str,
        params: Sequence[Any] = (),
        *,
        key: str | None = None,
    ) -> CallerAnswer:
        """Write in a transaction of its own; `key` makes it idempotent."""
        return self._statement(group, "write", sql, params, key, None)

    def begin(self, group: str) -> CallerAnswer:
        """Begin a transaction; its handle is in the answer."""
        return self._step(group, "begin", "")

    def statement(
        self,
        group: str,
        transaction: str,
        sql: str,
        params: Sequence[Any] = (),
        *,
        kind: str = "write",
    ) -> CallerAnswer:
        """Run a statement inside a transaction."""
        return self._step(
            group, "statement", transaction, kind=kind, sql=sql, params=params
        )

    def commit(
        self, group: str, transaction: str, *, key: str | None = None
    ) -> CallerAnswer:
        """Commit a transaction; `key` makes the whole idempotent."""
        return self._step(group, "commit", transaction, key=key)

    def rollback(self, group: str, transaction: str) -> CallerAnswer:
        """Roll a transaction back."""
        return self._step(group, "rollback", transaction)

    def post(self, path: str, body: dict[str, Any]) -> CallerAnswer:
        """Send one request and wait for its answer or its loss."""
        began = time.monotonic()
        try:
            status, data = self._exchange(path, body)
        except (OSError, http.client.HTTPException, ValueError) as exc:
            self._drop()
            seconds = time.monotonic() - began
            return CallerAnswer(
                outcome=LOST, message=repr(exc), elapsed=seconds
            )
        seconds = time.monotonic() - began
        if data.get("token"):
            self.token = data["token"]
        return _answer(data, status, seconds)

    def close_connections_except(self, entries: Sequence[str]) -> None:
        """Close the connections to all other entries."""
        for entry in [e for e in self._conns if e not in entries]:
            self._conns.pop(entry).close()

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()

    def _statement(
        self,
        group: str,
        kind: str,
        sql: str,
        params: Sequence[Any],
        key: str | None,
        staleness_ms: int | None,
    ) -> CallerAnswer:
        body = {
            "token": self._token(),
            "group": group,
            "kind": kind,
            "sql": sql,
            "params": list(params),
            "staleness_ms": staleness_ms,
            "key": key,
            "deadline_ms": self.deadline_ms,
        }
        return self.post("/v1/statements", body)

    def _step(
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
            "token": self._token(),
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

    def _token(self) -> str:
        return self.token or self.open()

    def _exchange(
        self, path: str, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        conn = self._conn()
        text = json.dumps(body)
        conn.request("POST", path, text, {"Content-Type": "application/json"})
        resp = conn.getresponse()
        data = json.loads(resp.read())
        if resp.will_close:
            self._drop()
        return resp.status, data

    def _conn(self) -> http.client.HTTPConnection:
        conn = self._conns.get(self.entry)
        if conn is not None and _is_closed(conn):
            # Closed by the entry while nothing was under way, as HTTP allows
            # at any time. Sending on it would lose a request that nobody cut.
            self._drop()
            conn = None
        if conn is None:
            host, port = self.entry.rsplit(":", 1)
            timeout = self.deadline_ms / 1000 + GRACE_SECONDS
            conn = http.client.HTTPConnection(host, int(port), timeout=timeout)
            conn.connect()
            conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._conns[self.entry] = conn
        return conn

    def _drop(self) -> None:
        conn = self._conns.pop(self.entry, None)
        if conn is not None:
            conn.close()


def _is_closed(conn: http.client.HTTPConnection) -> bool:
    """Tell whether the other end has closed an idle connection."""
    if conn.sock is None:
        return True
    ready, _, _ = select.select([conn.sock], [], [], 0)
    return bool(ready)


def _answer(data: dict[str, Any], status: int, seconds: float) -> CallerAnswer:
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
        elapsed=seconds,
    )
