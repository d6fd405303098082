"""Steps on the messages between entry and holder, with generated cases."""

from __future__ import annotations

import random
import socket
import struct
from types import SimpleNamespace
from typing import Any

from behave import given as given_step
from behave import then
from behave import when
import capnp
from fleet_support import GROUP
from fleet_support import start_fleet
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.errors import MessageError
from bamboospring.forwarding import Forwarder
from bamboospring.membership import Membership
from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import new_envelope
from bamboospring.peers import schema
from bamboospring.rendezvous import Placement
from bamboospring.retry_budget import RetryBudget
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.testing.caller import Caller
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
    # Eighths of a second are exact both in milliseconds and as floats.
    deadline=st.integers(0, 400).map(lambda n: n / 8),
    step=st.sampled_from(StepKind),
    transaction=texts,
    key=texts,
    token=st.builds(Position, term=whole, index=whole),
    staleness=st.none() | st.integers(0, 400).map(lambda n: n / 8),
    trace=texts,
    allow_primary=st.booleans(),
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


heads = st.binary(max_size=30) | st.lists(
    st.none() | st.booleans() | st.integers(-9, 9) | texts, max_size=14
).map(orjson.dumps)


@then("every statement is read as it was sent")
def then_statement(_context: Any) -> None:
    @fixed
    @given(stmt=statements)
    def check(stmt: Statement) -> None:
        with opened(encode_statement(stmt, 0.0)) as message:
            assert message.which() == "statement"
            assert decode_statement(message, 0.0) == stmt

    check()


@then("every outcome is read as it was sent")
def then_outcome(_context: Any) -> None:
    @fixed
    @given(outcome=outcomes)
    def check(outcome: Outcome) -> None:
        with opened(encode_outcome(outcome)) as message:
            assert message.which() == "answer"
            assert decode_outcome(message) == outcome

    check()


@then("a head of other members is refused as malformed")
def then_other_head(_context: Any) -> None:
    @fixed
    @given(head=heads)
    def check(head: bytes) -> None:
        message = new_envelope()
        message.init("statement").head = head
        assert read(message) is None
        answer = new_envelope()
        answer.init("answer").head = head
        try:
            outcome = decode_outcome(answer)
        except MessageError:
            return
        assert isinstance(outcome, Done | Failed | NotRun | Unknown), outcome

    check()


@then("a frame that was cut or changed is read or refused as malformed")
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
        place %= len(frame)
        changed = frame[:place] + bytes([byte]) + frame[place + 1 :]
        for each in (frame[: min(cut, len(frame) - 1)], changed):
            try:
                with schema.Envelope.from_bytes(each) as message:
                    read(message)
            except capnp.KjException:
                pass
            except ValueError:
                # pycapnp raises it for a size that is no multiple of a word.
                assert len(each) % 8, each

    check()


@given_step("an entry whose holder's answers cannot be read")
def given_entry(context: Any) -> None:
    me = Vm(name="vm-1", address="127.0.0.1:2", availability_zone="zone-a")
    other = Vm(name="vm-2", address="127.0.0.1:3", availability_zone="zone-b")
    board = Blackboard(local_vm=me)
    board.group_names.add("ledger")
    context.dropped = False

    def ask(_address: str, _message: Any, _left: float, answered: Any) -> None:
        message = new_envelope()
        message.init("answer").head = b"[0]"
        try:
            answered(message)
        except MessageError:
            context.dropped = True

    context.forwarder = Forwarder(
        reactor=SimpleNamespace(now=lambda: 0.0),
        board=board,
        placement=Placement([other]),
        peers=SimpleNamespace(ask=ask),
        holder=SimpleNamespace(),
        codec=SimpleNamespace(),
        membership=Membership(),
        budget=RetryBudget(),
    )


@when("a write has come")
def when_write(context: Any) -> None:
    context.answers = []
    stmt = Statement(
        group="ledger",
        caller="tester",
        write=True,
        sql="DELETE FROM entries",
        params=b"[]",
        deadline=10.0,
    )
    context.forwarder.forward(stmt, context.answers.append)


@then("it is answered as unknown with holder_lost")
def then_unknown(context: Any) -> None:
    (outcome,) = context.answers
    assert isinstance(outcome, Unknown), outcome
    assert outcome.reason is Reason.HOLDER_LOST, outcome


@then("the link is given up")
def then_dropped(context: Any) -> None:
    assert context.dropped


@given_step("a fleet of one VM")
def given_fleet(context: Any) -> None:
    start_fleet(context, vms=1)


@when("frames that are no messages come to its peers' port")
def when_garbage(context: Any) -> None:
    (vm,) = context.fleet.vms.values()
    host, _, port = vm.peers_listen.rpartition(":")
    chance = random.Random(1)
    sizes = (0, 1, 7, 8, 13, 16, 64, 4096)
    for size in sizes:
        body = chance.randbytes(size)
        send_frame(host, int(port), struct.pack("<I", size) + body)
    send_frame(host, int(port), struct.pack("<I", 2**32 - 1))
    broken = new_envelope()
    broken.init("statement").head = b"[0]"
    frame = broken.to_bytes()
    send_frame(host, int(port), struct.pack("<I", len(frame)) + frame)


@then("the VM still serves a write")
def then_serves(context: Any) -> None:
    caller = Caller(entries=context.fleet.entries())
    answer = caller.write(GROUP, "INSERT INTO entries (body) VALUES ('x')")
    assert answer.done, answer


def send_frame(host: str, port: int, data: bytes) -> None:
    """Send bytes and wait until the VM has closed the connection."""
    with socket.create_connection((host, port), timeout=5) as sock:
        sock.sendall(data)
        while sock.recv(65536):
            pass


def read(message: Any) -> Statement | None:
    """Return the statement, or None if it is malformed."""
    try:
        return decode_statement(message, 0.0)
    except MessageError:
        return None


def opened(message: Any) -> Any:
    """Return the message as the receiver gets it."""
    return schema.Envelope.from_bytes(message.to_bytes())
