"""HTTP/1.1 over streams, as a client: one exchange at a time.

Parsing is the library's (httptools); this module adds the timeouts and the
rule that a connection in doubt is closed.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass

import httptools

from bamboospring.http_codec import joined
from bamboospring.http_codec import Malformed
from bamboospring.reactor import Reactor
from bamboospring.reactor import Stream
from bamboospring.reactor import Timer

__all__ = [
    "HttpAnswer",
    "HttpClient",
    "HttpConnection",
    "HttpLost",
    "TIMED_OUT",
]

CONNECT_TIMEOUT = 1.0
# The reason of an answer that did not come in time.
TIMED_OUT = "timeout"


@dataclass(slots=True, kw_only=True)
class HttpAnswer:
    """The whole answer to a request of ours.

    `header` is the value of the one header that the connection keeps, empty
    if the answer has none.
    """

    status: int
    body: bytes
    header: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class HttpLost:
    """No whole answer came. `sent` is false if surely nothing was sent."""

    sent: bool
    reason: str


OnAnswer = Callable[[HttpAnswer | HttpLost], None]


class HttpConnection:
    """One client connection; after any doubt it is closed for good.

    `kept_header` names, in lower case, the header that answers bring along.
    """

    __slots__ = (
        "_address",
        "_begun",
        "_body",
        "_header",
        "_host",
        "_kept_header",
        "_on_answer",
        "_parser",
        "_reactor",
        "_spare",
        "_stream",
        "_timer",
        "on_close",
    )

    def __init__(
        self, *, reactor: Reactor, address: str, kept_header: str = ""
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._kept_header = kept_header.encode("latin-1")
        self._header = b""
        self._host = f" HTTP/1.1\r\nHost: {address}\r\n"
        self._stream: Stream | None = None
        self._parser: httptools.HttpResponseParser | None = None
        # The parser of the answer before, good for the next one.
        self._spare: httptools.HttpResponseParser | None = None
        self._begun = False
        self._body: list[bytes] = []
        self._on_answer: OnAnswer | None = None
        self._timer: Timer | None = None
        self.on_close: Callable[[], None] | None = None

    @property
    def usable(self) -> bool:
        """Tell whether the connection is open with no exchange under way."""
        stream = self._stream
        return (
            stream is not None
            and not stream.closed
            and self._on_answer is None
        )

    @property
    def open(self) -> bool:
        """Tell whether the connection is open."""
        return self._stream is not None and not self._stream.closed

    def connect(self, timeout: float, on_open: Callable[[bool], None]) -> None:
        """Open the connection; calls back with False if it can't be had."""

        def opened(stream: Stream | None) -> None:
            if stream is not None:
                self._stream = stream
                stream.on_data = self._data
                stream.on_close = self._closed
            on_open(stream is not None)

        self._reactor.connect(self._address, timeout, opened)

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        on_answer: OnAnswer,
        headers: str = "",
    ) -> None:
        """Send one request on the open connection.

        `headers` holds further header lines, each ended by CRLF. After
        `timeout` seconds without a whole answer the connection is closed: a
        late answer must never be taken for the answer to the next request.
        """
        if not self.usable:
            on_answer(HttpLost(sent=False, reason="closed"))
            return
        assert self._stream is not None
        self._on_answer = on_answer
        spare, self._spare = self._spare, None
        self._parser = spare or httptools.HttpResponseParser(self)
        self._timer = self._reactor.call_later(timeout, self._timed_out)
        if body or method != "GET":
            headers += f"Content-Length: {len(body)}\r\n"
        head = f"{method} {path}{self._host}{headers}\r\n"
        self._stream.send(head.encode("latin-1") + body)

    def close(self) -> None:
        """Close the connection; an exchange under way is lost."""
        if self._stream is not None:
            self._stream.abort()

    # What the parser calls.

    def on_message_begin(self) -> None:
        if self._begun:
            # A second answer to one request, in one piece with the first.
            # The next request may have been made meanwhile, and would get
            # this for its answer; a parser error closes the connection.
            raise Malformed()
        self._begun = True
        self._header = b""

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._kept_header and name.lower() == self._kept_header:
            self._header = value

    def on_body(self, data: bytes) -> None:
        self._body.append(data)

    def on_message_complete(self) -> None:
        parser, self._parser = self._parser, None
        if parser is None:
            return
        answer = HttpAnswer(
            status=parser.get_status_code(),
            body=self._take_body(),
            header=self._header.decode("latin-1"),
        )
        if not parser.should_keep_alive():
            self._finish(answer)
            self.close()
            return
        self._finish(answer)

    # What the stream calls.

    def _data(self, data: bytes) -> None:
        parser = self._parser
        if parser is None:
            # Bytes that no request asked for: whose answer they are can't
            # be known, so the connection is not used again.
            self.close()
            return
        try:
            parser.feed_data(data)
        except httptools.HttpParserError:
            self._lose("protocol")
            return
        if self._parser is not parser:
            self._begun = False
            self._spare = parser

    def _closed(self) -> None:
        self._lose("closed")
        if self.on_close is not None:
            self.on_close()

    def _timed_out(self) -> None:
        self._timer = None
        self._lose(TIMED_OUT)

    def _lose(self, reason: str) -> None:
        self._parser = None
        stream = self._stream
        self._finish(HttpLost(sent=True, reason=reason))
        if stream is not None:
            stream.abort()

    def _take_body(self) -> bytes:
        body, self._body = self._body, []
        return joined(body)

    def _finish(self, answer: HttpAnswer | HttpLost) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        on_answer, self._on_answer = self._on_answer, None
        if isinstance(answer, HttpLost):
            self._body = []
        if on_answer is not None:
            on_answer(answer)


@dataclass(slots=True, kw_only=True)
class _Call:
    """A request that waits for the client's connection."""

    method: str
    path: str
    body: bytes
    deadline: float
    on_answer: OnAnswer
    headers: str


class HttpClient:
    """A client that connects when needed and sends requests one by one."""

    def __init__(
        self, *, reactor: Reactor, address: str, kept_header: str = ""
    ) -> None:
        self._reactor = reactor
        self._address = address
        self._kept_header = kept_header
        self._conn: HttpConnection | None = None
        self._calls: deque[_Call] = deque()
        self._active = False
        self._on_answer: OnAnswer | None = None

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        on_answer: OnAnswer,
        headers: str = "",
    ) -> None:
        """Send a request after those before it; see HttpConnection."""
        conn = self._conn
        idle = not self._active and not self._calls
        if idle and conn is not None and conn.usable:
            self._active = True
            self._on_answer = on_answer
            conn.request(method, path, body, timeout, self._done, headers)
            return
        call = _Call(
            method=method,
            path=path,
            body=body,
            deadline=self._reactor.now() + timeout,
            on_answer=on_answer,
            headers=headers,
        )
        self._calls.append(call)
        self._next()

    def close(self) -> None:
        """Close the connection and give up what waits."""
        calls, self._calls = self._calls, deque()
        if self._conn is not None:
            self._conn.close()
        for call in calls:
            call.on_answer(HttpLost(sent=False, reason="closed"))

    def _next(self) -> None:
        if self._active or not self._calls:
            return
        self._active = True
        call = self._calls.popleft()
        self._on_answer = call.on_answer
        if self._conn is not None and self._conn.usable:
            self._send(call)
            return
        self._conn = HttpConnection(
            reactor=self._reactor,
            address=self._address,
            kept_header=self._kept_header,
        )
        left = call.deadline - self._reactor.now()
        timeout = min(CONNECT_TIMEOUT, max(0.0, left))
        self._conn.connect(timeout, lambda ok: self._opened(call, ok))

    def _opened(self, call: _Call, ok: bool) -> None:
        if ok:
            self._send(call)
            return
        self._conn = None
        self._done(HttpLost(sent=False, reason="connect"))

    def _send(self, call: _Call) -> None:
        assert self._conn is not None
        left = call.deadline - self._reactor.now()
        if left <= 0:
            self._done(HttpLost(sent=False, reason=TIMED_OUT))
            return
        self._conn.request(
            call.method,
            call.path,
            call.body,
            left,
            self._done,
            call.headers,
        )

    def _done(self, answer: HttpAnswer | HttpLost) -> None:
        self._active = False
        on_answer, self._on_answer = self._on_answer, None
        if on_answer is not None:
            on_answer(answer)
        self._next()
