"""The HTTP face of the target stand-in.

One connection carries one exchange at a time. Statements that need no wait
are answered within the callback that read them; the rest run in a task.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import httptools
import orjson
from xxhash import xxh64_hexdigest

from bamboospring.blackboard import Role
from bamboospring.testing.target_engine import DEFAULT_DEADLINE_MS
from bamboospring.testing.target_engine import dumps
from bamboospring.testing.target_engine import Engine
from bamboospring.testing.target_engine import Session
from bamboospring.testing.target_engine import Statement

__all__ = ["TargetProtocol"]

LOG_BATCH = 500
REASONS = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    404: b"Not Found",
    409: b"Conflict",
    503: b"Service Unavailable",
}

Answer = tuple[int, dict[str, Any]]


class BadRequest(Exception):
    """The request can't be understood; nothing was done."""


def parse_statement(body: bytes) -> Statement:
    """Turn the body of `/execute` into a statement."""
    data = parse_object(body)
    try:
        return Statement(
            id=int(data["id"]),
            term=int(data.get("term") or 0),
            write=data.get("kind", "read") == "write",
            sql=data.get("sql") or "",
            params=data.get("params") or [],
            step=data.get("tx"),
            key=data.get("key"),
            caller=data.get("caller") or "",
            min_index=int(data.get("min_index") or 0),
            deadline_ms=data.get("deadline_ms") or DEFAULT_DEADLINE_MS,
        )
    except (KeyError, TypeError, ValueError) as exc:
        raise BadRequest(f"statement: {exc!r}") from exc


def parse_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise BadRequest("no JSON") from exc
    if not isinstance(data, dict):
        raise BadRequest("no JSON object")
    return data


class TargetProtocol(asyncio.Protocol):
    """One TCP connection to the target."""

    def __init__(self, *, engine: Engine) -> None:
        self.engine = engine
        self.session: Session | None = None
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body: list[bytes] = []
        self._task: asyncio.Task[None] | None = None
        self._queued: list[tuple[str, str, bytes]] = []

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the parser; anything it can't read ends the connection."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._send(400, {"reason": "bad_request"})
            self._abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what the connection was doing and roll back."""
        self.transport = None
        if self._task is not None:
            self._task.cancel()
        if self.session is not None:
            self.engine.close_session(self.session)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # httptools

    def on_message_begin(self) -> None:
        """Start a request."""
        self._url = b""
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Collect the URL."""
        self._url += url

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Answer the request, or queue it behind the running one."""
        method = self._parser.get_method().decode()
        item = (method, self._url.decode(), b"".join(self._body))
        if self._task is not None:
            self._queued.append(item)
            return
        self._start(*item)

    def _start(self, method: str, url: str, body: bytes) -> None:
        try:
            found = self._dispatch(method, url, body)
        except BadRequest as exc:
            found = 400, {"reason": "bad_request", "message": str(exc)}
        if isinstance(found, tuple):
            self._send(*found)
            return
        self._task = asyncio.get_running_loop().create_task(
            self._finish(found)
        )

    async def _finish(self, work: Awaitable[Answer]) -> None:
        try:
            answer = await work
        except BadRequest as exc:
            answer = 400, {"reason": "bad_request", "message": str(exc)}
        self._task = None
        self._send(*answer)
        if self._queued and self.transport is not None:
            self._start(*self._queued.pop(0))

    def _send(self, status: int, body: dict[str, Any]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        head = b"HTTP/1.1 %d %b\r\n" % (status, REASONS[status])
        if status == 204:
            self.transport.write(head + b"\r\n")
            return
        data = dumps(body)
        head += b"Content-Type: application/json\r\n"
        self.transport.write(
            head + b"Content-Length: %d\r\n\r\n" % len(data) + data
        )
        if status == 503:
            self.transport.close()

    # Requests.

    def _dispatch(
        self, method: str, url: str, body: bytes
    ) -> Answer | Awaitable[Answer]:
        if method == "POST" and url == "/execute":
            return self._execute(body)
        parts = urlsplit(url)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        match method, parts.path:
            case "POST", "/connect":
                return self._connect(parse_object(body))
            case "GET", "/probe":
                return 200, self._account()
            case "GET", "/positions" if "seen" in query:
                return self._wait_other(query)
            case "GET", "/positions":
                return self._positions(query)
            case "GET", "/log":
                return self._log(query)
            case "GET", "/counters":
                return 200, dict(self.engine.counters)
            case "POST", "/settings":
                return self._settings(parse_object(body))
            case "POST", "/terminate":
                return self._terminate(parse_object(body))
            case "POST", "/pause":
                return self._pause(parse_object(body))
            case (
                "POST",
                ("/fence" | "/promote" | "/follow" | "/resume") as path,
            ):
                return self._order(path, parse_object(body))
            case _:
                return 404, {"reason": "not_found"}

    def _terminate(self, data: dict[str, Any]) -> Answer:
        numbers = data.get("connections")
        if not isinstance(numbers, list):
            raise BadRequest("connections is a list of numbers")
        return 200, {"ended": self.engine.terminate(numbers)}

    def _execute(self, body: bytes) -> Answer | Awaitable[Answer]:
        stmt = parse_statement(body)
        session = self.session
        if session is None:
            return 409, {"id": stmt.id, "reason": "not_connected"}
        if self.engine.must_wait(session, stmt):
            return self._execute_later(session, stmt)
        return 200, self.engine.execute_now(session, stmt)

    async def _execute_later(
        self, session: Session, stmt: Statement
    ) -> Answer:
        return 200, await self.engine.execute(session, stmt)

    async def _connect(self, data: dict[str, Any]) -> Answer:
        if self.session is not None:
            raise BadRequest("connected before")
        session = Session(
            holder=str(data.get("holder", "")),
            abort=self._abort,
            idle_tx_ms=int(data.get("idle_tx_ms", 0)),
        )
        if not self.engine.open_session(session):
            return 503, {"id": data.get("id"), "reason": "connections"}
        self.session = session
        await asyncio.sleep(self.engine.knobs.connect_ms / 1000)
        return 200, {
            "id": data.get("id"),
            "connection": session.number,
            **self.engine.probe(),
        }

    def _account(self) -> dict[str, Any]:
        """Return what the target says of itself, and a name for all of it."""
        body = self.engine.probe()
        return {**body, "state": xxh64_hexdigest(dumps(body))}

    async def _wait_other(self, query: dict[str, str]) -> Answer:
        """Answer once the account differs from the one named, or with 204."""
        try:
            wait = int(query.get("wait_ms", 0)) / 1000
        except ValueError as exc:
            raise BadRequest(str(exc)) from exc
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while True:
            body = self._account()
            if body["state"] != query["seen"]:
                return 200, body
            left = end - loop.time()
            if left <= 0:
                return 204, {}
            await self.engine.wait_change(left)

    async def _positions(self, query: dict[str, str]) -> Answer:
        try:
            received = int(query.get("received", -1))
            applied = int(query.get("applied", -1))
            wait = int(query.get("wait_ms", 0)) / 1000
        except ValueError as exc:
            raise BadRequest(str(exc)) from exc
        store = self.engine.store
        known = (
            int(query.get("term", store.term)),
            query.get("role", store.role.value),
            int(query.get("leaving", self.engine.knobs.leaving)),
        )
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while loop.time() < end:
            if store.received > received or store.applied > applied:
                break
            leaving = int(self.engine.knobs.leaving)
            if (store.term, store.role.value, leaving) != known:
                break
            await self.engine.wait_change(end - loop.time())
        return 200, self._account()

    async def _log(self, query: dict[str, str]) -> Answer:
        try:
            after = int(query["after"])
            last_term = int(query["last_term"])
            term = int(query["term"])
            wait = int(query.get("wait_ms", 0)) / 1000
        except (KeyError, ValueError) as exc:
            raise BadRequest(repr(exc)) from exc
        store = self.engine.store
        loop = asyncio.get_running_loop()
        end = loop.time() + wait
        while True:
            if store.role != Role.PRIMARY or store.term != term:
                return 409, {"reason": "term", "term": store.term}
            if store.term_at(after) != last_term:
                hint = store.match_hint(after, last_term)
                return 200, {"mismatch": True, "hint": hint}
            if store.received > after or loop.time() >= end:
                break
            await self.engine.wait_change(end - loop.time())
        entries = [
            [entry.index, entry.term, entry.body.decode()]
            for entry in store.entries_after(after, LOG_BATCH)
        ]
        return 200, {"entries": entries, "term": store.term}

    def _order(self, path: str, data: dict[str, Any]) -> Answer:
        term = data.get("term")
        if not isinstance(term, int):
            raise BadRequest("term")
        match path:
            case "/fence":
                done = self.engine.fence(term)
            case "/promote":
                done = self.engine.promote(term)
            case "/resume":
                done = self.engine.resume(term)
            case _:
                address = data.get("primary")
                if not isinstance(address, str):
                    raise BadRequest("primary")
                done = self.engine.follow(term, address)
        return (200 if done else 409), self.engine.probe()

    async def _pause(self, data: dict[str, Any]) -> Answer:
        try:
            term = int(data["term"])
            wait = int(data["wait_ms"]) / 1000
            duration = int(data["for_ms"]) / 1000
        except (KeyError, TypeError, ValueError) as exc:
            raise BadRequest(repr(exc)) from exc
        done = await self.engine.pause(term, wait, duration)
        return (200 if done else 409), self.engine.probe()

    def _settings(self, data: dict[str, Any]) -> Answer:
        knobs = self.engine.knobs
        for name, value in data.items():
            if not hasattr(knobs, name):
                raise BadRequest(f"unknown setting {name}")
            setattr(knobs, name, value)
        self.engine.changed()
        return 200, {}
