"""An HTTP/1.1 server over streams: one exchange at a time.

Parsing is the library's (httptools); this module adds the limits, the
timeouts and the rule that a connection in doubt is closed.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from http import HTTPStatus

import httptools

from bamboospring.http_codec import joined
from bamboospring.http_codec import Malformed
from bamboospring.reactor import Listener
from bamboospring.reactor import Reactor
from bamboospring.reactor import Stream
from bamboospring.reactor import Timer

__all__ = ["Bounds", "HttpServer", "Request", "Response", "encode_response"]

MAX_HEADERS = 64
MAX_PIPELINED = 16


@dataclass(slots=True, kw_only=True)
class Request:
    """A whole request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True, kw_only=True)
class Response:
    """What to answer. `close` ends the connection after this answer."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """What a server takes of one request, in bytes and seconds.

    A caller that sends its request a byte at a time holds memory; after
    `timeout` with an unfinished request the connection is closed.
    """

    head: int = 16 * 1024
    body: int = 1024 * 1024
    timeout: float = 10.0


Handler = Callable[[Request, Callable[[Response], None]], None]


def encode_response(response: Response, close: bool) -> bytes:
    """Return the bytes of a response with its length stated."""
    body = response.body
    if response.headers or close or not body:
        lines = [_status_line(response.status)]
        if body or response.status != HTTPStatus.NO_CONTENT:
            lines.append(f"Content-Type: {response.content_type}")
        lines.append(f"Content-Length: {len(body)}")
        lines.extend(
            f"{name}: {value}" for name, value in response.headers.items()
        )
        if close:
            lines.append("Connection: close")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    head = _plain_head(response.status, response.content_type)
    return b"%b%d\r\n\r\n%b" % (head, len(body), body)


@lru_cache
def _status_line(status: int) -> str:
    known = HTTPStatus(status)
    return f"HTTP/1.1 {known.value} {known.phrase}"


@lru_cache
def _plain_head(status: int, content_type: str) -> bytes:
    """Return the head of an answer without further headers, up to its size."""
    line = _status_line(status)
    return (
        f"{line}\r\nContent-Type: {content_type}\r\nContent-Length: "
    ).encode()


class HttpServer:
    """Listen for HTTP connections and hand whole requests to a handler.

    The handler gets a `respond` callable that it calls exactly once, then or
    later. Requests on one connection are handled in order, one at a time.
    With `draining` set every answer closes its connection.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        handler: Handler,
        reuse_port: bool = False,
        bounds: Bounds = Bounds(),
    ) -> None:
        self.bounds = bounds
        self.reactor = reactor
        self.handler = handler
        self.draining = False
        self.connections: set[_ServerConnection] = set()
        self.listener: Listener = reactor.listen(
            address, self._accepted, reuse_port=reuse_port
        )

    @property
    def address(self) -> str:
        """Return the address listened on, with the port really in use."""
        return self.listener.address

    @property
    def busy(self) -> int:
        """Return how many connections have a request under way."""
        return sum(conn.busy for conn in self.connections)

    def drain(self) -> None:
        """Take no new connections, close idle ones, end others when done."""
        self.draining = True
        self.listener.close()
        for conn in list(self.connections):
            conn.close_if_idle()

    def _accepted(self, stream: Stream) -> None:
        self.connections.add(_ServerConnection(server=self, stream=stream))


class _ServerConnection:
    """One connection of a caller: parses, hands on, answers in order."""

    __slots__ = (
        "_body",
        "_body_size",
        "_head_bytes",
        "_head_size",
        "_in_head",
        "_headers",
        "_parser",
        "_queue",
        "_server",
        "_stream",
        "_timer",
        "_url",
        "busy",
        "_keep",
    )

    def __init__(self, *, server: HttpServer, stream: Stream) -> None:
        self._server = server
        self._stream = stream
        self._parser: httptools.HttpRequestParser | None = None
        self._queue: deque[tuple[Request, bool]] | None = None
        self._timer: Timer | None = None
        self._headers: dict[str, str] = {}
        self._url = b""
        self._body: list[bytes] = []
        self._body_size = 0
        self._head_bytes = 0
        self._head_size = 0
        self._in_head = False
        self._keep = True
        self.busy = False
        stream.on_data = self._data
        stream.on_close = self._closed

    def close_if_idle(self) -> None:
        """Close unless a request is being handled or read."""
        if not self.busy and self._timer is None:
            self._stream.close()

    # What the parser calls.

    def on_message_begin(self) -> None:
        self._in_head = True
        self._head_bytes = 0
        self._headers = {}
        self._url = b""
        self._body = []
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._add_to_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_to_head(len(name) + len(value))
        if len(self._headers) >= MAX_HEADERS:
            raise _HeadTooLarge()
        key = name.decode("latin-1").lower()
        if key == "host" and key in self._headers:
            raise Malformed()
        self._headers[key] = value.decode("latin-1")

    def _add_to_head(self, size: int) -> None:
        # What comes in one piece is counted here: a whole head of up to
        # READ_SIZE bytes never is an unfinished one.
        self._head_bytes += size
        if self._head_bytes > self._server.bounds.head:
            raise _HeadTooLarge()

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        if self._body_size > self._server.bounds.body:
            raise _TooLarge()
        self._body.append(data)

    def on_headers_complete(self) -> None:
        self._in_head = False
        length = self._headers.get("content-length", "")
        if length.isdigit() and int(length) > self._server.bounds.body:
            raise _TooLarge()

    def on_message_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self._stop_timer()
        req = Request(
            method=parser.get_method().decode("latin-1"),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=joined(self._body),
        )
        if self._queue is None:
            self._queue = deque()
        self._queue.append((req, parser.should_keep_alive()))

    # What the stream calls.

    def _data(self, data: bytes) -> None:
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        waiting = len(self._queue) if self._queue else 0
        self._head_size += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(HTTPStatus.BAD_REQUEST)
            return
        except httptools.HttpParserError as exc:
            self._refuse(_status_of(exc))
            return
        now_waiting = len(self._queue) if self._queue else 0
        if now_waiting > waiting:
            self._head_size = 0
        elif self._in_head and self._head_size > self._server.bounds.head:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        elif self._timer is None:
            self._timer = self._server.reactor.call_later(
                self._server.bounds.timeout, self._too_slow
            )
        if now_waiting > MAX_PIPELINED:
            self._stream.pause()
        self._next()

    def _next(self) -> None:
        if self.busy or not self._queue or self._stream.closed:
            return
        req, self._keep = self._queue.popleft()
        self.busy = True
        self._server.handler(req, self._respond)

    def _respond(self, response: Response) -> None:
        if not self.busy:
            raise RuntimeError("a request was answered twice")
        self.busy = False
        close = response.close or not self._keep or self._server.draining
        self._stream.send(encode_response(response, close))
        if close:
            self._stream.close()
            return
        if self._queue:
            self._stream.resume()
            # A later turn: a long pipeline must not nest its calls.
            self._server.reactor.call_later(0, self._next)

    def _refuse(self, status: HTTPStatus) -> None:
        """Answer a request that can't be read, and close.

        What follows the broken bytes could be anything, also a second
        request put there by somebody else, so nothing more is read.
        """
        self._stop_timer()
        self._queue = None
        if self.busy:
            # The answer under way is still sent, then the stream closes.
            self._keep = False
            self._stream.pause()
            return
        body = b'{"outcome": "not_run", "reason": "bad_request"}'
        response = Response(status=status, body=body, close=True)
        self._stream.send(encode_response(response, True))
        self._stream.close()

    def _too_slow(self) -> None:
        self._timer = None
        self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _closed(self) -> None:
        self._stop_timer()
        self._parser = None
        self._server.connections.discard(self)


class _TooLarge(Exception):
    """A part of the request is over its limit."""


class _HeadTooLarge(Exception):
    """The request's line and headers are over their limit."""


def _status_of(exc: BaseException) -> HTTPStatus:
    if isinstance(exc.__context__, _HeadTooLarge):
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    if isinstance(exc.__context__, _TooLarge):
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return HTTPStatus.BAD_REQUEST
