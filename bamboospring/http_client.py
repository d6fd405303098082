"""An HTTP/1.1 client over streams, with one exchange at a time.

httptools parses the responses. This module adds timeouts and closes a
connection whose state is uncertain.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import replace

import httptools

from bamboospring.http_codec import InvalidMessage
from bamboospring.http_codec import join_parts
from bamboospring.reactor import Reactor
from bamboospring.reactor import Stream
from bamboospring.reactor import Timer

__all__ = [
    "HttpResponse",
    "HttpClient",
    "HttpConnection",
    "HttpFailure",
    "TIMED_OUT",
]

CONNECT_TIMEOUT = 1.0
# Seconds for which an idle connection is reused. It may have gone silent
# without a reset meanwhile, which only a request that times out would show.
MAX_IDLE = 1.0
# The `reason` of a request whose response did not arrive in time.
TIMED_OUT = "timeout"


@dataclass(slots=True, kw_only=True)
class HttpResponse:
    """A complete response.

    `captured_header` is the value of the header that the connection
    captures, or "" if the response does not have it.
    """

    status: int
    body: bytes
    captured_header: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpFailure:
    """No complete response arrived.

    `sent` is false only if it is certain that nothing was sent. `idle` is how
    many seconds the connection had been idle before the request, None if it
    was opened for the request.
    """

    sent: bool
    reason: str
    idle: float | None = None


OnComplete = Callable[[HttpResponse | HttpFailure], None]


class HttpConnection:
    """A client connection, closed for good if its state is uncertain.

    `captured_header` is the lower-case name of the header whose value is
    returned with each response.
    """

    __slots__ = (
        "_address",
        "_response_started",
        "_body",
        "_captured_value",
        "_host",
        "_captured_name",
        "_on_complete",
        "_parser",
        "_reactor",
        "_spare_parser",
        "_stream",
        "_timer",
        "on_close",
    )

    def __init__(
        self, *, reactor: Reactor, address: str, captured_header: str = ""
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._captured_name = captured_header.encode("latin-1")
        self._captured_value = b""
        self._host = f" HTTP/1.1\r\nHost: {address}\r\n"
        self._stream: Stream | None = None
        self._parser: httptools.HttpResponseParser | None = None
        # The parser of the previous response, reused for the next one.
        self._spare_parser: httptools.HttpResponseParser | None = None
        self._response_started = False
        self._body: list[bytes] = []
        self._on_complete: OnComplete | None = None
        self._timer: Timer | None = None
        self.on_close: Callable[[], None] | None = None

    @property
    def usable(self) -> bool:
        """Return whether the connection is open with no exchange in flight."""
        stream = self._stream
        return (
            stream is not None
            and not stream.closed
            and self._on_complete is None
        )

    @property
    def open(self) -> bool:
        """Return whether the connection is open."""
        return self._stream is not None and not self._stream.closed

    def connect(self, timeout: float, on_open: Callable[[bool], None]) -> None:
        """Open the connection; call `on_open` with whether it succeeded."""

        def opened(stream: Stream | None) -> None:
            if stream is not None:
                self._stream = stream
                stream.on_data = self._on_data
                stream.on_close = self._on_stream_closed
            on_open(stream is not None)

        self._reactor.connect(self._address, timeout, opened)

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        on_complete: OnComplete,
        headers: str = "",
    ) -> None:
        """Send one request on the open connection.

        `headers` holds additional header lines, each ending with CRLF. After
        `timeout` seconds without a complete response the connection is
        closed: a late response must never be taken for the response to the
        next request.
        """
        if not self.usable:
            on_complete(HttpFailure(sent=False, reason="closed"))
            return
        assert self._stream is not None
        self._on_complete = on_complete
        spare, self._spare_parser = self._spare_parser, None
        self._parser = spare or httptools.HttpResponseParser(self)
        self._timer = self._reactor.call_later(timeout, self._on_timeout)
        if body or method != "GET":
            headers += f"Content-Length: {len(body)}\r\n"
        head = f"{method} {path}{self._host}{headers}\r\n"
        self._stream.send(head.encode("latin-1") + body)

    def close(self) -> None:
        """Close the connection; an exchange in flight fails."""
        if self._stream is not None:
            self._stream.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        if self._response_started:
            # A second response to one request, received together with the
            # first. The next request may already be in flight and would get
            # this as its response; the exception closes the connection.
            raise InvalidMessage()
        self._response_started = True
        self._captured_value = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._captured_name and name.lower() == self._captured_name:
            self._captured_value = value

    def on_body(self, data: bytes) -> None:
        self._body.append(data)

    def on_message_complete(self) -> None:
        parser, self._parser = self._parser, None
        if parser is None:
            return
        answer = HttpResponse(
            status=parser.get_status_code(),
            body=self._take_body(),
            captured_header=self._captured_value.decode("latin-1"),
        )
        if not parser.should_keep_alive():
            self._complete(answer)
            self.close()
            return
        self._complete(answer)

    # Callbacks of the stream.

    def _on_data(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            # Data without a request in flight cannot be matched to a request,
            # so the connection must not be reused.
            self.close()
            return
        try:
            parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail("protocol")
            return
        if self._parser is not parser:
            self._response_started = False
            self._spare_parser = parser

    def _on_stream_closed(self) -> None:
        self._fail("closed")
        if self.on_close is not None:
            self.on_close()

    def _on_timeout(self) -> None:
        self._timer = None
        self._fail(TIMED_OUT)

    def _fail(self, reason: str) -> None:
        self._parser = None
        stream = self._stream
        self._complete(HttpFailure(sent=True, reason=reason))
        if stream is not None:
            stream.abort()

    def _take_body(self) -> bytes:
        body, self._body = self._body, []
        return join_parts(body)

    def _complete(self, answer: HttpResponse | HttpFailure) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        on_complete, self._on_complete = self._on_complete, None
        if isinstance(answer, HttpFailure):
            self._body = []
        if on_complete is not None:
            on_complete(answer)


@dataclass(slots=True, kw_only=True)
class _QueuedRequest:
    """A request that waits until the client's connection is free."""

    method: str
    path: str
    body: bytes
    deadline: float
    on_complete: OnComplete
    headers: str


class HttpClient:
    """A client that connects on demand and sends one request at a time.

    The connection is kept for the next request, but not used any more once it
    has been idle for `MAX_IDLE` seconds.
    """

    def __init__(
        self, *, reactor: Reactor, address: str, captured_header: str = ""
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._captured_header = captured_header
        self._conn: HttpConnection | None = None
        self._queue: deque[_QueuedRequest] = deque()
        self._request_active = False
        self._on_complete: OnComplete | None = None
        self._idle_since = 0.0
        # How long the connection was idle before the active request.
        self._idle: float | None = None

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        on_complete: OnComplete,
        headers: str = "",
    ) -> None:
        """Queue a request; see `HttpConnection.request`."""
        is_free = not self._request_active and not self._queue
        conn = self._reusable_connection() if is_free else None
        if conn is not None:
            self._request_active = True
            self._on_complete = on_complete
            conn.request(method, path, body, timeout, self._complete, headers)
            return
        call = _QueuedRequest(
            method=method,
            path=path,
            body=body,
            deadline=self._reactor.now() + timeout,
            on_complete=on_complete,
            headers=headers,
        )
        self._queue.append(call)
        self._send_next()

    def close(self) -> None:
        """Close the connection and fail all queued requests."""
        queue, self._queue = self._queue, deque()
        if self._conn is not None:
            self._conn.close()
        for call in queue:
            call.on_complete(HttpFailure(sent=False, reason="closed"))

    def _send_next(self) -> None:
        if self._request_active or not self._queue:
            return
        self._request_active = True
        call = self._queue.popleft()
        self._on_complete = call.on_complete
        if self._reusable_connection() is not None:
            self._send(call)
            return
        self._idle = None
        self._conn = HttpConnection(
            reactor=self._reactor,
            address=self._address,
            captured_header=self._captured_header,
        )
        remaining = call.deadline - self._reactor.now()
        timeout = min(CONNECT_TIMEOUT, max(0.0, remaining))
        self._conn.connect(
            timeout, lambda connected: self._on_connected(call, connected)
        )

    def _reusable_connection(self) -> HttpConnection | None:
        """Return the connection, or close it if it was idle for too long."""
        conn = self._conn
        if conn is None or not conn.usable:
            return None
        self._idle = self._reactor.now() - self._idle_since
        if self._idle <= MAX_IDLE:
            return conn
        self._conn = None
        conn.close()
        return None

    def _on_connected(self, call: _QueuedRequest, connected: bool) -> None:
        if connected:
            self._send(call)
            return
        self._conn = None
        self._complete(HttpFailure(sent=False, reason="connect"))

    def _send(self, call: _QueuedRequest) -> None:
        assert self._conn is not None
        remaining = call.deadline - self._reactor.now()
        if remaining <= 0:
            self._complete(HttpFailure(sent=False, reason=TIMED_OUT))
            return
        self._conn.request(
            call.method,
            call.path,
            call.body,
            remaining,
            self._complete,
            call.headers,
        )

    def _complete(self, answer: HttpResponse | HttpFailure) -> None:
        self._request_active = False
        self._idle_since = self._reactor.now()
        if isinstance(answer, HttpFailure):
            answer = replace(answer, idle=self._idle)
        on_complete, self._on_complete = self._on_complete, None
        if on_complete is not None:
            on_complete(answer)
        self._send_next()
