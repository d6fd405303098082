"""A small HTTP/1.1 server on asyncio for the stand-ins.

Requests of one connection are handled in order. A handler returns a `Reply`,
or `CLOSE` to close the connection without an answer, as a failing service
does.
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
REASON_PHRASES = {
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
    """One request; `path` is split at slashes and percent-decoded."""

    method: str
    path: list[str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body; an empty body counts as an empty object."""
        return orjson.loads(self.body) if self.body else {}


@dataclass(slots=True, kw_only=True)
class Reply:
    """An answer with a JSON body; `close` closes the connection after it."""

    status: int = 200
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False


Handler = Callable[["Connection", Request], Awaitable[Reply | None]]


class Connection:
    """One accepted connection: parses requests and writes answers.

    `context` is available to the handler for state of the connection.
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
        self._requests: list[Request] = []
        self._url = b""
        self._headers: dict[str, str] = {}
        self._body = b""

    def on_message_begin(self) -> None:
        """Reset the state for a new request (parser callback)."""
        self._url = b""
        self._headers = {}
        self._body = b""

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL (parser callback)."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header (parser callback)."""
        self._headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body (parser callback)."""
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request (parser callback)."""
        url = urlsplit(self._url.decode())
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        self._requests.append(
            Request(
                method=self._parser.get_method().decode(),
                path=[unquote(p) for p in url.path.split("/") if p],
                query=query,
                headers=self._headers,
                body=self._body,
            )
        )

    def close(self) -> None:
        """Close the connection immediately and discard unsent data."""
        self._writer.transport.abort()

    async def run(self) -> None:
        """Handle requests until either side closes the connection."""
        try:
            while await self._handle_requests():
                pass
        except (ConnectionError, httptools.HttpParserError):
            pass
        finally:
            if self.on_close is not None:
                self.on_close()
            self._writer.close()

    async def _handle_requests(self) -> bool:
        data = await self._reader.read(READ_SIZE)
        if not data:
            return False
        self._parser.feed_data(data)
        while self._requests:
            request = self._requests.pop(0)
            reply = await self._handler(self, request)
            if reply is CLOSE:
                self.close()
                return False
            self._writer.write(encode_reply(reply))
            await self._writer.drain()
            if reply.close:
                return False
        return True


def encode_reply(reply: Reply) -> bytes:
    """Return an answer in the wire format."""
    lines = [
        f"HTTP/1.1 {reply.status} "
        f"{REASON_PHRASES.get(reply.status, 'Unknown')}"
    ]
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
    """Split `ip:port` into host and port."""
    host, _, port = text.rpartition(":")
    return host, int(port)


async def serve_http(address: str, handler: Handler) -> asyncio.Server:
    """Listen on `ip:port` and pass each request to the handler."""

    async def accepted(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        conn = Connection(reader=reader, writer=writer, handler=handler)
        await conn.run()

    host, port = parse_address(address)
    return await asyncio.start_server(accepted, host, port, backlog=1024)


def listening_address(server: asyncio.Server) -> str:
    """Return the `ip:port` on which a server listens."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"
