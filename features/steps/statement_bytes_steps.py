"""Steps that compare what callers and targets send, byte for byte."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from hypothesis import given as given_input
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.blackboard import Target
from bamboospring import logs
from bamboospring.object_store import Found
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Reason
from bamboospring.platform.caller_server import CallerServer
from bamboospring.platform.store_objects import read_catalog
from bamboospring.platform.target_dialer import LineLink
from bamboospring.sessions.forward_messages import decode_result
from bamboospring.sessions.forward_messages import decode_statement
from bamboospring.sessions.forward_messages import decode_step
from bamboospring.sessions.forward_messages import encode_result
from bamboospring.sessions.forward_messages import encode_statement
from bamboospring.sessions.forward_messages import encode_step
from bamboospring.sessions.forward_messages import ForwardRequest
from bamboospring.sessions.forward_messages import HeldStep
from bamboospring.sessions import held_transactions
from bamboospring.sessions import holder_server
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import SessionAnswer
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.replies import order_for_job
from bamboospring.sessions.replies import refusal_outcome
from bamboospring.sessions.replies import served_outcome
from bamboospring.sessions.session import Session
from features.steps.session_stage import SessionFleetRun
from features.steps.session_texts_steps import catalog
from features.steps.session_texts_steps import FakeExecutor
from features.steps.session_texts_steps import FakeReactor
from features.steps.session_texts_steps import ROUTE

# Characters that `str` takes for white space or digits are frequent, so that
# they are found at both ends of a text.
SPECIAL_BYTES = b" \t\n\x0b\x0c\r\x1c\x1d\x1e\x1f\x85\xa0\xb2\xb3\xb9\x00\xff"
BYTES = st.lists(
    st.one_of(st.sampled_from(SPECIAL_BYTES), st.integers(0, 255)),
    min_size=1,
    max_size=12,
).map(bytes)
# The rest of a line, which may hold anything but the end of a line.
LINE_REST = BYTES.filter(lambda data: b"\r\n" not in data + b"\r")
WORD = LINE_REST.filter(lambda data: b" " not in data)
NAME = st.text(
    st.characters(
        exclude_categories=("Cs", "Cc", "Zs"),
        exclude_characters="\u2028\u2029",
    ),
    min_size=1,
    max_size=12,
)
PROPERTY = settings(
    max_examples=400, derandomize=True, database=None, deadline=None
)


class FakeStream:
    """Records what is sent, and receives what the test passes to it."""

    def __init__(self):
        self.sent = b""
        self.closed = self.closing = False
        self.on_data = self.on_close = None

    def send(self, data):
        self.sent += data

    def take(self):
        sent, self.sent = self.sent, b""
        return sent

    def close(self):
        self.closing = True

    def abort(self):
        self.closed = True


class ListeningReactor(FakeReactor):
    """Passes connections on that the test opens."""

    def listen(self, address, on_accept):
        self.accept = on_accept


@given("a caller's connection and a target's connection")
def given_connections(context):
    reactor = ListeningReactor()
    board = SessionBoard(vm="v", availability_zone="z")
    board.catalog = catalog(ROUTE)
    context.executor = FakeExecutor()

    def make_session(database, credential, number, channel):
        context.channel = channel
        return Session(
            caller="c",
            database=database,
            reactor=reactor,
            board=board,
            executor=context.executor,
            channel=channel,
        )

    CallerServer(
        reactor=reactor,
        address="",
        admit=lambda database, credential, held: None,
        make_session=make_session,
    )
    context.caller = FakeStream()
    reactor.accept(context.caller)
    context.caller.on_data(b"OPEN d key\r\n")
    context.target = FakeStream()
    context.link = LineLink(reactor=reactor, stream=context.target)


def receive(context, text):
    """Have the caller send a statement, and return its job."""
    context.executor.jobs.clear()
    context.caller.on_data(b"QUERY 1 " + text + b"\r\n")
    (job,) = context.executor.jobs
    return job


def send(context, order):
    """Return the text of the statement that the target gets for an order."""
    context.target.take()
    context.link.send([order], 1.0, lambda result: None)
    context.target.on_data(b"READY I -\r\n")
    sent = context.target.take()
    assert sent.startswith(b"QUERY 1 ") and sent.endswith(b"\r\n"), sent
    return sent[len(b"QUERY 1 ") : -2]


def local_order(job):
    return order_for_job(job, None)


def holder_order(job):
    request = ForwardRequest(
        id=job.id,
        caller="c",
        team="",
        group="g",
        target="t",
        address="127.0.0.1:1",
        born=0,
        values={},
        remaining=1.0,
        slot_timeout=1.0,
        writes=job.writes,
        text=job.text,
        shape=job.shape,
        arguments=job.arguments,
    )
    return holder_server._order(decode_statement(encode_statement(request)))


def step_order(job):
    step = HeldStep(
        id=job.id,
        values={},
        remaining=1.0,
        writes=job.writes,
        text=job.text,
        shape=job.shape,
        arguments=job.arguments,
    )
    return held_transactions._order(decode_step(encode_step(step)))


ORDERS = {
    "from the caller's VM": local_order,
    "from a holder": holder_order,
    "as a step of a transaction at a holder": step_order,
}


@then("statements of any bytes reach the target unchanged {way}")
def then_unchanged(context, way):
    make_order = ORDERS[way]

    @PROPERTY
    @given_input(keyword=st.sampled_from((b"READ", b"WRITE")), rest=LINE_REST)
    def check_text(keyword, rest):
        text = keyword + b" " + rest
        assert send(context, make_order(receive(context, text))) == text

    @PROPERTY
    @given_input(
        name=WORD,
        shape=LINE_REST,
        mode=st.sampled_from((b"READ", b"WRITE")),
        arguments=LINE_REST,
    )
    def check_prepared(name, shape, mode, arguments):
        prepare = b"PREPARE %s %s %s" % (name, mode, shape)
        context.caller.on_data(b"QUERY 1 " + prepare + b"\r\n")
        text = b"EXECUTE %s %s" % (name, arguments)
        sent = send(context, make_order(receive(context, text)))
        assert sent.split(b" ", 2)[2:] == [arguments], sent

    check_text()
    check_prepared()


@then("rows and signatures of any bytes reach the caller unchanged")
def then_rows_unchanged(context):
    check_answers(context, lambda reply: reply)


@then("they do so from a holder")
def then_rows_unchanged_by_holder(context):
    check_answers(context, lambda reply: decode_result(encode_result(reply)))


def check_answers(context, forward):
    """Pass answers of a target on to the caller, and compare the bytes."""

    @PROPERTY
    @given_input(rows=st.lists(LINE_REST, max_size=3), signature=LINE_REST)
    def check(rows, signature):
        job = receive(context, b"READ a")
        results = []
        context.link.send([order_for_job(job, None)], 1.0, results.append)
        answer = b"".join(b"ROW %s\r\n" % row for row in rows)
        answer += b"COMPLETE %s\r\nREADY I 1.2\r\n" % signature
        context.target.on_data(answer)
        ((reply,),) = results
        context.caller.take()
        context.channel.answer(
            SessionAnswer(
                outcome=served_outcome(forward(reply), "t"),
                state=SessionState.IDLE,
                position=reply.position,
            )
        )
        assert context.caller.take() == answer

    check()


def relay_error(context, text):
    """Return the error line that the caller gets for a target's error."""
    job = receive(context, b"READ a")
    results = []
    context.link.send([order_for_job(job, None)], 1.0, results.append)
    context.target.on_data(b"ERROR FAILED %s\r\nREADY I -\r\n" % text)
    ((reply,),) = results
    context.caller.take()
    context.channel.answer(
        SessionAnswer(
            outcome=refusal_outcome(decode_result(encode_result(reply))),
            state=SessionState.IDLE,
        )
    )
    line, _, _ready = context.caller.take().partition(b"\r\n")
    return line


@then(
    "error texts of any bytes reach the caller with their line breaks as"
    " blanks"
)
def then_errors_unchanged(context):
    @PROPERTY
    @given_input(text=LINE_REST)
    def check(text):
        expected = text.replace(b"\r", b" ").replace(b"\n", b" ")
        line = relay_error(context, text)
        assert line.endswith(b" FAILED " + expected), line

    check()


@then("an error text of {size:d} bytes in Hindi is cut between two characters")
def then_error_cut(context, size):
    for skipped in range(3):
        line = relay_error(context, ("x" * skipped + "ठ" * size).encode())
        assert "ठठठ" in line[:size].decode(), line


@when("the target ends its response with the position {position}")
def when_position(context, position):
    data = position.encode("latin-1").decode("unicode_escape")
    job = receive(context, b"WRITE a 1")
    context.results, context.log_lines = [], []
    context.link.send([order_for_job(job, None)], 1.0, context.results.append)
    logs.configure(write=context.log_lines.append)
    try:
        context.target.on_data(
            b"COMPLETE s\r\nREADY I %s\r\n" % data.encode("latin-1")
        )
    finally:
        logs.configure()


@then("the connection is lost at once and the log says why")
def then_lost(context):
    assert context.results == [LinkLost()], context.results
    assert context.target.closed
    (line,) = context.log_lines
    assert "event=target_answer_malformed" in line, line


@then("a database of any name is found by callers who send it in UTF-8")
def then_found(context):
    @PROPERTY
    @given_input(name=NAME)
    def check(name):
        value = {
            "version": 1,
            "routes": [
                {
                    "name": "r",
                    "database": name,
                    "kind": "primary",
                    "service": "g",
                    "timeoutMs": 1000,
                }
            ],
            "services": [{"name": "g", "maxConnections": 1}],
        }
        found = Found(kind="config", name="main", version=1, value=value)
        reactor = ListeningReactor()
        board = SessionBoard(vm="v", availability_zone="z")
        board.catalog = read_catalog(found)
        opened = []

        def admit(database, credential, held):
            opened.append(board.route(database))
            return NotRun(reason=Reason.DRAINING)

        CallerServer(
            reactor=reactor, address="", admit=admit, make_session=None
        )
        caller = FakeStream()
        reactor.accept(caller)
        caller.on_data(b"OPEN %s key\r\n" % name.encode())
        (route,) = opened
        assert route is not None and route.group == "g", name

    check()


@then("connections are opened in the names of any service and team")
def then_opened(context):
    @PROPERTY
    @given_input(service=NAME, team=NAME)
    def check(service, team):
        stream = FakeStream()
        link = LineLink(reactor=FakeReactor(), stream=stream)
        target = Target(
            name="i-1",
            address="127.0.0.1:1",
            availability_zone="z",
            site="z",
            slots=1,
        )
        link.open_session(target, service, team, 1.0, lambda result: None)
        expected = f"OPEN {service} {team} i-1\r\n".encode()
        assert stream.sent == expected, stream.sent

    check()


@then('the sizes that are logged of "{text}" are {received:d} and {sent:d}')
def then_logged(context, text, received, sent):
    lines = []
    logs.configure(level="debug", write=lines.append)
    try:
        context.caller.on_data(b"QUERY 1 PREPARE s1 WRITE q\r\n")
        send(context, local_order(receive(context, text.encode())))
    finally:
        logs.configure()
    for event, size in (
        ("statement_received", received),
        ("statement_sent", sent),
    ):
        last = [line for line in lines if f"event={event} " in line][-1]
        assert f" trace=1 payload_bytes={size}" in last, last


@given(
    "an estate with {vms:d} VMs, load control and {connections:d} connections"
    " of each target"
)
def given_scarce_estate(context, vms, connections):
    context.stage = SessionFleetRun(vms, 2, connections, load_control=True)
    context.add_cleanup(context.stage.close)
    context.stage.call(context.stage.fleet.start())


@then("statements of transactions ran through holders")
def then_through_holders(context):
    stage = context.stage
    count = sum(
        "event=answered" in line
        and "transaction=true outcome=served" in line
        and 'through=""' not in line
        for name in stage.fleet.vms
        for line in stage.fleet.read_log(name).splitlines()
    )
    assert count > 0
