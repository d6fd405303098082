"""A small HTTP/1.1 server on asyncio for the stand-ins.

Requests of one connection are handled in order. A handler returns a `Reply`,
or `CLOSE` to drop the connection without an answer, as a failing service
would.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

import httptools
import orjson

__all__ = [
    "CLOSE",
    "Connection",
    "Handler",
    "Reply",
    "Request",
    "listening_address",
    "parse_address",
    "serve_http",
]

READ_SIZE = 65536
CLOSE = None
REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    503: "Service Unavailable",
}


@dataclass(slots=True, kw_only=True)
class Request:
    """One request; `path` is split at slashes and unquoted."""

    method: str
    path: list[str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body; an empty body is an empty object."""
        return orjson.loads(self.body) if self.body else {}


@dataclass(slots=True, kw_only=True)
class Reply:
    """An answer with a JSON body; `close` ends the connection after it."""

    status: int = 200
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False


Handler = Callable[["Connection", Request], Awaitable[Reply | None]]


class Connection:
    """One accepted connection: parses requests, writes answers.

    `context` belongs to the handler, for what it keeps per connection.
    """

    def __init__(
        self,
        *,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        handler: Handler,
    ) -> None:
        self.context: Any = None
        self.on_close: Callable[[], None] | None = None
        self._reader = reader
        self._writer = writer
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._complete: list[Request] = []
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_message_begin(self) -> None:
        """Start a request (called by the parser)."""
        self._url = b""
        self._headers = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Take a piece of the URL (called by the parser)."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header (called by the parser)."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body (called by the parser)."""
        self._body += body

    def on_message_complete(self) -> None:
        """Finish a request (called by the parser)."""
        url = urlsplit(self._url.decode())
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        self._complete.append(
            Request(
                method=self._parser.get_method().decode(),
                path=[unquote(p) for p in url.path.split("/") if p],
                query=query,
                headers=self._headers,
                body=self._body,
            )
        )

    def close(self) -> None:
        """Drop the connection at once, without what is not yet sent."""
        self._writer.transport.abort()

    async def run(self) -> None:
        """Serve requests until either side closes."""
        try:
            while await self._serve_some():
                pass
        except (ConnectionError, httptools.HttpParserError):
            pass
        finally:
            if self.on_close is not None:
                self.on_close()
            self._writer.close()

    async def _serve_some(self) -> bool:
        data = await self._reader.read(READ_SIZE)
        if not data:
            return False
        self._parser.feed_data(data)
        while self._complete:
            request = self._complete.pop(0)
            reply = await self._handler(self, request)
            if reply is CLOSE:
                self.close()
                return False
            self._writer.write(encode(reply))
            await self._writer.drain()
            if reply.close:
                return False
        return True


def encode(reply: Reply) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {reply.status} {REASONS.get(reply.status, 'Unknown')}"]
    body = b""
    if reply.status != HTTPStatus.NO_CONTENT:
        body = orjson.dumps(reply.body)
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in reply.headers.items()]
    if reply.close:
        lines.append("Connection: close")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def parse_address(text: str) -> tuple[str, int]:
    """Split "ip:port"."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def serve_http(address: str, handler: Handler) -> asyncio.Server:
    """Listen on "ip:port" and hand every request to the handler."""

    async def accepted(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = Connection(reader=reader, writer=writer, handler=handler)
        await conn.run()

    host, port = parse_address(address)
    return await asyncio.start_server(accepted, host, port, backlog=1024)


def listening_address(server: asyncio.Server) -> str:
    """Return the "ip:port" that a server got."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
