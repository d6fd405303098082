"""An HTTP/1.1 server over streams, with one exchange at a time.

httptools parses the requests. This module adds limits and timeouts and closes
a connection whose state is uncertain.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from http import HTTPStatus

import httptools

from bamboospring.http_codec import InvalidMessage
from bamboospring.http_codec import join_parts
from bamboospring.reactor import Listener
from bamboospring.reactor import Reactor
from bamboospring.reactor import Stream
from bamboospring.reactor import Timer

__all__ = [
    "RequestLimits",
    "HttpServer",
    "Request",
    "Response",
    "encode_response",
]

MAX_HEADERS = 64
MAX_PIPELINED = 16


@dataclass(slots=True, kw_only=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True, kw_only=True)
class Response:
    """A response; `close` ends the connection after it."""

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    headers: dict[str, str] = field(default_factory=dict)
    close: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestLimits:
    """The limits of one request, in bytes and seconds.

    A caller that sends a request byte by byte keeps memory in use, so a
    connection with an incomplete request is closed after `read_timeout`.
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 1024 * 1024
    read_timeout: float = 10.0


RequestHandler = Callable[[Request, Callable[[Response], None]], None]


def encode_response(response: Response, close: bool) -> bytes:
    """Return the encoded response with its Content-Length."""
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
    http_status = HTTPStatus(status)
    return f"HTTP/1.1 {http_status.value} {http_status.phrase}"


@lru_cache
def _plain_head(status: int, content_type: str) -> bytes:
    """Return the head of a simple response, up to the Content-Length value."""
    line = _status_line(status)
    return (
        f"{line}\r\nContent-Type: {content_type}\r\nContent-Length: "
    ).encode()


class HttpServer:
    """Listen for HTTP connections and pass complete requests to a handler.

    The handler gets a `respond` callable and must call it exactly once, at
    once or later. Requests on one connection are handled in order, one at a
    time. While `draining` is set, each response closes its connection. While
    `refusal` is set, new requests get it and are not handled.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        handler: RequestHandler,
        reuse_port: bool = False,
        limits: RequestLimits = RequestLimits(),
    ) -> None:
        self.limits = limits
        self.reactor = reactor
        self.handler = handler
        self.draining = False
        self.refusal: Response | None = None
        self.connections: set[_ServerConnection] = set()
        self.listener: Listener = reactor.listen(
            address, self._on_accept, reuse_port=reuse_port
        )

    @property
    def address(self) -> str:
        """Return the listening address with the actual port."""
        return self.listener.address

    @property
    def in_flight_count(self) -> int:
        """Return the number of connections with a request in flight."""
        return sum(conn.busy for conn in self.connections)

    def drain(self) -> None:
        """Stop listening and close each connection once it is idle."""
        self.draining = True
        self.listener.close()
        for conn in list(self.connections):
            conn.close_if_idle()

    def _on_accept(self, stream: Stream) -> None:
        self.connections.add(_ServerConnection(server=self, stream=stream))


class _ServerConnection:
    """A caller's connection, whose requests are handled in order."""

    __slots__ = (
        "_body",
        "_body_size",
        "_parsed_head_bytes",
        "_received_bytes",
        "_in_head",
        "_headers",
        "_parser",
        "_queue",
        "_server",
        "_stream",
        "_timer",
        "_url",
        "busy",
        "_keep_alive",
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
        self._parsed_head_bytes = 0
        self._received_bytes = 0
        self._in_head = False
        self._keep_alive = True
        self.busy = False
        stream.on_data = self._on_data
        stream.on_close = self._on_closed

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        if not self.busy and self._timer is None:
            self._stream.close()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        self._in_head = True
        self._parsed_head_bytes = 0
        self._headers = {}
        self._url = b""
        self._body = []
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        self._url += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._add_head_bytes(len(name) + len(value))
        if len(self._headers) >= MAX_HEADERS:
            raise _HeadTooLarge()
        key = name.decode("latin-1").lower()
        if key == "host" and key in self._headers:
            raise InvalidMessage()
        self._headers[key] = value.decode("latin-1")

    def _add_head_bytes(self, size: int) -> None:
        # Catches an oversized head that arrives in a single read (up to
        # READ_SIZE bytes), which `_on_data` never sees as incomplete.
        self._parsed_head_bytes += size
        if self._parsed_head_bytes > self._server.limits.max_head_bytes:
            raise _HeadTooLarge()

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        if self._body_size > self._server.limits.max_body_bytes:
            raise _BodyTooLarge()
        self._body.append(data)

    def on_headers_complete(self) -> None:
        self._in_head = False
        length = self._headers.get("content-length", "")
        if (
            length.isdigit()
            and int(length) > self._server.limits.max_body_bytes
        ):
            raise _BodyTooLarge()

    def on_message_complete(self) -> None:
        parser = self._parser
        assert parser is not None
        self._stop_timer()
        req = Request(
            method=parser.get_method().decode("latin-1"),
            path=self._url.decode("latin-1"),
            headers=self._headers,
            body=join_parts(self._body),
        )
        if self._queue is None:
            self._queue = deque()
        self._queue.append((req, parser.should_keep_alive()))

    # Callbacks of the stream.

    def _on_data(self, data: bytes) -> None:
        if self._parser is None:
            self._parser = httptools.HttpRequestParser(self)
        queued_before = len(self._queue) if self._queue else 0
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        except httptools.HttpParserError as exc:
            self._reject(_status_for(exc))
            return
        queued_after = len(self._queue) if self._queue else 0
        if queued_after > queued_before:
            self._received_bytes = 0
        elif (
            self._in_head
            and self._received_bytes > self._server.limits.max_head_bytes
        ):
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        elif self._timer is None:
            self._timer = self._server.reactor.call_later(
                self._server.limits.read_timeout, self._on_timeout
            )
        if queued_after > MAX_PIPELINED:
            self._stream.pause()
        self._handle_next()

    def _handle_next(self) -> None:
        if self.busy or not self._queue or self._stream.closed:
            return
        req, self._keep_alive = self._queue.popleft()
        self.busy = True
        if self._server.refusal is not None:
            self._respond(self._server.refusal)
            return
        self._server.handler(req, self._respond)

    def _respond(self, response: Response) -> None:
        if not self.busy:
            raise RuntimeError("respond was called twice for one request")
        self.busy = False
        close = response.close or not self._keep_alive or self._server.draining
        self._stream.send(encode_response(response, close))
        if close:
            self._stream.close()
            return
        if self._queue:
            self._stream.resume()
            # Handle the next request in a later iteration of the event loop,
            # so that a long pipeline does not recurse.
            self._server.reactor.call_later(0, self._handle_next)

    def _reject(self, status: HTTPStatus) -> None:
        """Respond to an invalid request with an error and close.

        The data after the invalid bytes cannot be trusted and may be a
        smuggled second request, so nothing more is read.
        """
        self._stop_timer()
        self._queue = None
        if self.busy:
            # The response in flight is still sent, then the stream closes.
            self._keep_alive = False
            self._stream.pause()
            return
        body = b'{"outcome": "not_run", "reason": "bad_request"}'
        response = Response(status=status, body=body, close=True)
        self._stream.send(encode_response(response, True))
        self._stream.close()

    def _on_timeout(self) -> None:
        self._timer = None
        self._reject(HTTPStatus.REQUEST_TIMEOUT)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _on_closed(self) -> None:
        self._stop_timer()
        self._parser = None
        self._server.connections.discard(self)


class _BodyTooLarge(Exception):
    """The body exceeds its limit."""


class _HeadTooLarge(Exception):
    """The request line and headers exceed their limit."""


def _status_for(exc: BaseException) -> HTTPStatus:
    if isinstance(exc.__context__, _HeadTooLarge):
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    if isinstance(exc.__context__, _BodyTooLarge):
        return HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    return HTTPStatus.BAD_REQUEST
