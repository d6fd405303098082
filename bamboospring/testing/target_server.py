"""The HTTP interface of the target stand-in.

Each connection handles one request at a time. Statements that do not wait are
answered in the callback that received them; all others run in a task.
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
from bamboospring.testing.target_engine import StatementConnection
from bamboospring.testing.target_engine import TargetEngine
from bamboospring.testing.target_engine import TargetStatement

__all__ = ["TargetProtocol"]

LOG_BATCH = 500
REASON_PHRASES = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    404: b"Not Found",
    409: b"Conflict",
    503: b"Service Unavailable",
}

Answer = tuple[int, dict[str, Any]]


class BadRequest(Exception):
    """The request is malformed; it had no effect."""


def parse_statement(body: bytes) -> TargetStatement:
    """Parse the body of `/execute`."""
    data = parse_json_object(body)
    try:
        return TargetStatement(
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


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Decode a JSON object."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as exc:
        raise BadRequest("body is not JSON") from exc
    if not isinstance(data, dict):
        raise BadRequest("body is not a JSON object")
    return data


class TargetProtocol(asyncio.Protocol):
    """One TCP connection to the target."""

    def __init__(self, *, engine: TargetEngine) -> None:
        self.engine = engine
        self.connection: StatementConnection | None = None
        self.transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._url = b""
        self._body: list[bytes] = []
        self._task: asyncio.Task[None] | None = None
        self._queued_requests: list[tuple[str, str, bytes]] = []

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close the connection on malformed data."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._send(400, {"reason": "bad_request"})
            self._abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the running request and roll back."""
        self.transport = None
        if self._task is not None:
            self._task.cancel()
        if self.connection is not None:
            self.engine.close_connection(self.connection)

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    # httptools

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self._url = b""
        self._body = []

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self._url += url

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Handle the request, or queue it behind the running one."""
        method = self._parser.get_method().decode()
        item = (method, self._url.decode(), b"".join(self._body))
        if self._task is not None:
            self._queued_requests.append(item)
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
            self._complete(found)
        )

    async def _complete(self, work: Awaitable[Answer]) -> None:
        try:
            answer = await work
        except BadRequest as exc:
            answer = 400, {"reason": "bad_request", "message": str(exc)}
        self._task = None
        self._send(*answer)
        if self._queued_requests and self.transport is not None:
            self._start(*self._queued_requests.pop(0))

    def _send(self, status: int, body: dict[str, Any]) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        head = b"HTTP/1.1 %d %b\r\n" % (status, REASON_PHRASES[status])
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
                return self._connect(parse_json_object(body))
            case "GET", "/probe":
                return 200, self._state_report()
            case "GET", "/positions" if "seen" in query:
                return self._wait_for_state_change(query)
            case "GET", "/positions":
                return self._positions(query)
            case "GET", "/log":
                return self._log(query)
            case "GET", "/counters":
                return 200, dict(self.engine.counters)
            case "POST", "/settings":
                return self._settings(parse_json_object(body))
            case "POST", "/terminate":
                return self._terminate(parse_json_object(body))
            case "POST", "/pause":
                return self._pause(parse_json_object(body))
            case (
                "POST",
                ("/fence" | "/promote" | "/follow" | "/resume") as path,
            ):
                return self._handle_order(path, parse_json_object(body))
            case _:
                return 404, {"reason": "not_found"}

    def _terminate(self, data: dict[str, Any]) -> Answer:
        connection_ids = data.get("connections")
        if not isinstance(connection_ids, list):
            raise BadRequest("connections must be a list of numbers")
        return 200, {"ended": self.engine.terminate(connection_ids)}

    def _execute(self, body: bytes) -> Answer | Awaitable[Answer]:
        stmt = parse_statement(body)
        connection = self.connection
        if connection is None:
            return 409, {"id": stmt.id, "reason": "not_connected"}
        if self.engine.must_wait(connection, stmt):
            return self._execute_later(connection, stmt)
        return 200, self.engine.execute_now(connection, stmt)

    async def _execute_later(
        self, connection: StatementConnection, stmt: TargetStatement
    ) -> Answer:
        return 200, await self.engine.execute(connection, stmt)

    async def _connect(self, data: dict[str, Any]) -> Answer:
        if self.connection is not None:
            raise BadRequest("connection is already open")
        connection = StatementConnection(
            holder=str(data.get("holder", "")),
            abort=self._abort,
            idle_tx_ms=int(data.get("idle_tx_ms", 0)),
        )
        if not self.engine.open_connection(connection):
            return 503, {"id": data.get("id"), "reason": "connections"}
        self.connection = connection
        await asyncio.sleep(self.engine.settings.connect_ms / 1000)
        return 200, {
            "id": data.get("id"),
            "connection": connection.connection_id,
            **self.engine.probe(),
        }

    def _state_report(self) -> dict[str, Any]:
        """Return the target's state, with a digest of it as `state`."""
        body = self.engine.probe()
        return {**body, "state": xxh64_hexdigest(dumps(body))}

    async def _wait_for_state_change(self, query: dict[str, str]) -> Answer:
        """Answer when the state differs from the seen one, else with 204."""
        try:
            wait = int(query.get("wait_ms", 0)) / 1000
        except ValueError as exc:
            raise BadRequest(str(exc)) from exc
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while True:
            body = self._state_report()
            if body["state"] != query["seen"]:
                return 200, body
            remaining = deadline - loop.time()
            if remaining <= 0:
                return 204, {}
            await self.engine.wait_for_change(remaining)

    async def _positions(self, query: dict[str, str]) -> Answer:
        try:
            received = int(query.get("received", -1))
            applied = int(query.get("applied", -1))
            wait = int(query.get("wait_ms", 0)) / 1000
        except ValueError as exc:
            raise BadRequest(str(exc)) from exc
        store = self.engine.store
        known_state = (
            int(query.get("term", store.term)),
            query.get("role", store.role.value),
            int(query.get("leaving", self.engine.settings.leaving)),
        )
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        while loop.time() < deadline:
            if store.received > received or store.applied > applied:
                break
            leaving = int(self.engine.settings.leaving)
            if (store.term, store.role.value, leaving) != known_state:
                break
            await self.engine.wait_for_change(deadline - loop.time())
        return 200, self._state_report()

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
        deadline = loop.time() + wait
        while True:
            if store.role != Role.PRIMARY or store.term != term:
                return 409, {"reason": "term", "term": store.term}
            if store.term_at(after) != last_term:
                hint = store.match_hint(after, last_term)
                return 200, {"mismatch": True, "hint": hint}
            if store.received > after or loop.time() >= deadline:
                break
            await self.engine.wait_for_change(deadline - loop.time())
        entries = [
            [entry.index, entry.term, entry.body.decode()]
            for entry in store.entries_after(after, LOG_BATCH)
        ]
        return 200, {"entries": entries, "term": store.term}

    def _handle_order(self, path: str, data: dict[str, Any]) -> Answer:
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
        settings = self.engine.settings
        for name, value in data.items():
            if not hasattr(settings, name):
                raise BadRequest(f"unknown setting {name}")
            setattr(settings, name, value)
        self.engine.notify_change()
        return 200, {}
