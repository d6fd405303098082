"""Properties of the messages of a statement's way, over generated cases."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given as given_step
from behave import then
from behave import when
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.flat import Packed
from bamboospring.flat import read_flat
from bamboospring.http_codec import HttpAnswer
from bamboospring.http_codec import HttpConnection
from bamboospring.http_codec import HttpLost
from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import envelope
from bamboospring.peers import schema
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import Step
from bamboospring.wire import decode_outcome
from bamboospring.wire import decode_statement
from bamboospring.wire import encode_outcome
from bamboospring.wire import encode_statement

fixed = settings(derandomize=True, deadline=None, max_examples=200)
texts = st.text(max_size=20)
whole = st.integers(0, 2**64 - 1)
arrays = st.binary(min_size=1, max_size=40)
statements = st.builds(
    Statement,
    group=texts,
    caller=texts,
    write=st.booleans(),
    sql=texts,
    params=arrays,
    # Eighths of a second are exact as milliseconds and as floats.
    deadline=st.integers(0, 400).map(lambda n: n / 8),
    step=st.sampled_from(Step),
    transaction=texts,
    key=texts,
    token=st.builds(Position, term=whole, index=whole),
    staleness=st.none() | st.integers(0, 400).map(lambda n: n / 8),
    trace=texts,
    settle=st.booleans(),
)
refusals = {
    "reason": st.sampled_from(Reason),
    "message": texts,
    "retry_after_ms": st.integers(0, 2**32 - 1),
}
outcomes = st.one_of(
    st.builds(
        Done,
        term=whole,
        index=whole,
        target=texts,
        columns=arrays,
        rows=arrays,
        rowcount=st.integers(-(2**63), 2**63 - 1),
        replayed=st.booleans(),
        at_replica=st.booleans(),
        transaction=texts,
    ),
    st.builds(Failed, reason=refusals["reason"], message=texts),
    st.builds(NotRun, **refusals),
    st.builds(Overloaded, **refusals),
    st.builds(Unknown, **refusals),
)


@then("a statement packed by hand is read alike by pycapnp and by hand")
def then_statement(_context: Any) -> None:
    @fixed
    @given(stmt=statements, number=whole)
    def check(stmt: Statement, number: int) -> None:
        frame = framed(encode_statement(stmt, 0.0), number)
        flat = read_flat(frame)
        assert flat is not None
        assert (flat.id, flat.which()) == (number, "statement")
        assert decode_statement(flat, 0.0) == stmt
        with schema.Envelope.from_bytes(frame) as message:
            assert (message.id, message.which()) == (number, "statement")
            assert decode_statement(message, 0.0) == stmt

    check()


@then("an outcome packed by hand is read alike by pycapnp and by hand")
def then_outcome(_context: Any) -> None:
    @fixed
    @given(outcome=outcomes, number=whole)
    def check(outcome: Outcome, number: int) -> None:
        frame = framed(encode_outcome(outcome), number)
        flat = read_flat(frame)
        assert flat is not None
        assert (flat.id, flat.which()) == (number, "answer")
        assert decode_outcome(flat) == outcome
        with schema.Envelope.from_bytes(frame) as message:
            assert (message.id, message.which()) == (number, "answer")
            assert decode_outcome(message) == outcome

    check()


@then("what pycapnp has written is read as well")
def then_pycapnp(_context: Any) -> None:
    @fixed
    @given(outcome=outcomes, long=st.booleans())
    def check(outcome: Outcome, long: bool) -> None:
        if long and isinstance(outcome, Done):
            # Over the size of a builder's first segment.
            outcome = Done(term=1, index=1, target="a", rows=b"x" * 100_000)
        message = envelope()
        with schema.Envelope.from_bytes(
            encode_outcome(outcome).to_bytes()
        ) as src:
            fill(message.init("answer"), src.answer)
        frame = message.to_bytes()
        flat = read_flat(frame)
        if flat is not None:
            assert decode_outcome(flat) == outcome
        with schema.Envelope.from_bytes(frame) as found:
            assert decode_outcome(found) == outcome

    check()


@then("a frame that was cut or changed is refused or read within its bounds")
def then_broken(_context: Any) -> None:
    @fixed
    @given(
        stmt=statements,
        cut=st.integers(0, 400),
        place=st.integers(0, 400),
        byte=st.integers(0, 255),
    )
    def check(stmt: Statement, cut: int, place: int, byte: int) -> None:
        frame = encode_statement(stmt, 0.0).to_bytes()
        assert read_flat(frame[: min(cut, len(frame) - 1)]) is None
        place %= len(frame)
        changed = frame[:place] + bytes([byte]) + frame[place + 1 :]
        flat = read_flat(changed)
        if flat is None:
            return
        with schema.Envelope.from_bytes(changed) as message:
            assert read(flat) == read(message)

    check()


def read(message: Any) -> Any:
    """Return the statement, or the kind of fault that its bytes have."""
    try:
        return decode_statement(message, 0.0)
    except (UnicodeDecodeError, ValueError) as exc:
        return type(exc)


def framed(message: Packed, number: int) -> bytes:
    message.id = number
    return message.to_bytes()


def fill(answer: Any, src: Any) -> None:
    for name in schema.Answer.schema.fieldnames:
        setattr(answer, name, getattr(src, name))


class FakeStream:
    """A stream that notes whether it was closed."""

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


@given_step("a connection whose other end answers once too often")
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
        HttpAnswer(status=200, body=b"1"),
        HttpLost(sent=True, reason="protocol"),
    ], context.answers


@then("the connection is closed")
def then_closed(context: Any) -> None:
    assert context.stream.closed
