"""Steps on requests to targets over one connection, with fakes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.http_client import HttpConnection
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse


class FakeStream:
    """A stream that records whether it was closed."""

    def __init__(self) -> None:
        self.closed = False
        self.on_data: Any = None
        self.on_close: Any = None

    def send(self, _data: bytes) -> None:
        pass

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.on_close()


@given("a connection whose other end answers once too often")
def given_connection(context: Any) -> None:
    context.stream = FakeStream()
    timer = SimpleNamespace(cancel=lambda: None)
    reactor = SimpleNamespace(
        call_later=lambda _delay, _callback: timer,
        connect=lambda _address, _timeout, done: done(context.stream),
    )
    context.conn = HttpConnection(reactor=reactor, address="127.0.0.1:1")
    context.conn.connect(1.0, lambda _ok: None)


@when("the caller asks again from within the first answer")
def when_again(context: Any) -> None:
    context.answers = []

    def first(answer: Any) -> None:
        context.answers.append(answer)
        ask(context.answers.append)

    def ask(on_answer: Any) -> None:
        context.conn.request("GET", "/probe", b"", 1.0, on_answer)

    ask(first)
    one = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    context.stream.on_data(one + b"1" + one + b"2")


@then("the first question is answered and the second is lost")
def then_lost(context: Any) -> None:
    assert context.answers == [
        HttpResponse(status=200, body=b"1"),
        HttpFailure(sent=True, reason="protocol"),
    ], context.answers


@then("the connection is closed")
def then_closed(context: Any) -> None:
    assert context.stream.closed
