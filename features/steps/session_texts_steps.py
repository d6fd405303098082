"""Steps for one session, the line protocol, store objects and logs."""

from __future__ import annotations

import asyncio
import json
import os
import random
import time

from behave import given
from behave import then
from behave import when

from bamboospring import logs
from bamboospring.object_store import Found
from bamboospring.object_store import HistoryLost
from bamboospring.platform.caller_server import CallerServer
from bamboospring.platform.caller_server import parse_statement
from bamboospring.platform.line_protocol import LineDecoder
from bamboospring.platform.line_protocol import LineTooLong
from bamboospring.platform.line_protocol import MAX_LINE_BYTES
from bamboospring.platform.store_dialect import StoreDialect
from bamboospring.platform.store_objects import read_target
from bamboospring.platform_watch import KindWatch
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import AcknowledgedLocally
from bamboospring.sessions.ports import Served
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import StatementExecutor
from bamboospring.sessions.session_opening import judge_opening

ROUTE = Route(
    name="r",
    database="d",
    group="g",
    freshness=Freshness.PRIMARY,
    time_limit=1.0,
    objective=0.2,
)


class FakeReactor:
    """Runs due callbacks when the time is advanced."""

    def __init__(self):
        self.time = 100.0
        self.timers = []

    def now(self):
        return self.time

    def call_later(self, delay, callback):
        timer = FakeTimer(self.time + delay, callback)
        self.timers.append(timer)
        return timer

    def move(self, seconds):
        self.time += seconds
        while True:
            due = [t for t in self.timers if t.when <= self.time]
            if not due:
                return
            for timer in due:
                self.timers.remove(timer)
                if timer.callback is not None:
                    timer.callback()


class FakeTimer:
    def __init__(self, when, callback):
        self.when = when
        self.callback = callback

    def cancel(self):
        self.callback = None


class FakeExecutor(StatementExecutor):
    """Serves every statement at once, and counts released connections."""

    def __init__(self):
        self.jobs = []
        self.released_count = 0

    def run(self, session, job, tx, on_complete):
        self.jobs.append(job)
        if tx is not None:
            tx.leased = object()
        on_complete(Served(rows=[], signature="s", target="t"), None)

    def commit(self, session, tx, id, received_at, on_complete):
        tx.leased = None
        on_complete(Served(rows=[], signature="s", target="t"), None)

    def roll_back(self, tx):
        if tx.leased is not None:
            self.released_count += 1
        tx.leased = None

    def cancel(self, session):
        pass


class FakeChannel:
    def __init__(self):
        self.answers = []
        self.closed = False

    def answer(self, answer):
        self.answers.append(answer)

    def begin_refusal(self, refusal):
        self.answers.append(refusal)

    def finish_refusal(self, state):
        self.answers.append(state)

    def close(self):
        self.closed = True


def catalog(*routes):
    return Catalog(version=1, routes={r.database: r for r in routes})


@given("a session")
def given_session(context):
    context.reactor = FakeReactor()
    context.executor = FakeExecutor()
    context.channel = FakeChannel()
    context.board = SessionBoard(vm="v", availability_zone="z")
    context.board.catalog = catalog(ROUTE)
    context.session = Session(
        caller="c",
        database="d",
        reactor=context.reactor,
        board=context.board,
        executor=context.executor,
        channel=context.channel,
    )


@when("it is asked to {text}")
def when_asked(context, text):
    context.sent_before = len(context.channel.answers)
    context.session.submit("id", parse_statement(text))
    context.reactor.move(0)


@when("it is sent READ a, SET x 1 and READ b at once")
def when_sent(context):
    for text in ("READ a", "SET x 1", "READ b"):
        context.session.submit("id", parse_statement(text))
    context.reactor.move(0)


@when("{seconds:f} s pass")
def when_pass(context, seconds):
    context.sent_before = len(context.channel.answers)
    context.reactor.move(seconds)


@when("the route is dropped")
def when_dropped(context):
    context.board.catalog = catalog()


@when("its disconnection is requested")
def when_disconnect_requested(context):
    context.session.request_disconnect()
    context.session.request_disconnect()


@then("the caller has a refusal and stays connected")
def then_refused(context):
    (refusal,) = context.channel.answers
    assert outcome_text(refusal) == "not_run draining", refusal
    assert not context.channel.closed


@when("a write that was in transit arrives")
def when_in_transit(context):
    context.session.submit("id", parse_statement("WRITE a 1"))
    context.reactor.move(0)


@then(
    "that answer is completed, the write has not run, and the connection is"
    " closed"
)
def then_completed(context):
    _, state = context.channel.answers
    assert state.value == "idle", state
    assert not context.executor.jobs
    assert context.channel.closed


@then("the connection is closed and nothing has run")
def then_closed(context):
    assert context.channel.closed
    assert len(context.channel.answers) == 1 and not context.executor.jobs


@when("the caller disconnects")
def when_disconnects(context):
    context.session.handle_disconnect()


def outcome_text(outcome):
    match outcome:
        case Served():
            return "served"
        case AcknowledgedLocally():
            return "acknowledged"
    name = type(outcome).__name__
    word = {"NotRun": "not_run"}.get(name, name.lower())
    return f"{word} {outcome.reason.value}"


@then("the answer is {word} in state {state}")
def then_answer(context, word, state):
    answer = context.channel.answers[-1]
    assert outcome_text(answer.outcome) == word, outcome_text(answer.outcome)
    assert answer.state.value == state, answer.state


@then("no target was asked")
def then_not_asked(context):
    assert not context.executor.jobs


@then("its connection was released")
def then_given_up(context):
    assert (
        context.executor.released_count == 1
    ), context.executor.released_count


@then("nothing was sent meanwhile")
def then_nothing_sent(context):
    assert len(context.channel.answers) == context.sent_before


@then("the answers are served, acknowledged and served")
def then_order(context):
    words = [outcome_text(a.outcome) for a in context.channel.answers]
    assert words == ["served", "acknowledged", "served"], words


@then("every cut of three lines gives the same three lines")
def then_cuts(context):
    data = b"OPEN d x\r\nQUERY 1 READ a b\r\nCLOSE\r\n"
    for cut in range(len(data)):
        buffer = LineDecoder()
        lines = buffer.feed(data[:cut]) + buffer.feed(data[cut:])
        assert lines == ["OPEN d x", "QUERY 1 READ a b", "CLOSE"], lines


@then("a line over 1 MiB is refused")
def then_too_long(context):
    buffer = LineDecoder()
    buffer.feed(b"x" * MAX_LINE_BYTES)
    try:
        buffer.feed(b"x")
    except LineTooLong:
        return
    raise AssertionError("a line that is too long was accepted")


@then("the statement parser handles any bytes")
def then_any(context):
    rng = random.Random(7)
    words = ["READ", "BEGIN", "PREPARE", "SET", "EXECUTE", "AFTER", ""]
    for _ in range(5000):
        random_bytes = bytes(
            rng.randrange(256) for _ in range(rng.randrange(9))
        )
        text = f"{rng.choice(words)} {random_bytes.decode('latin-1')}"
        parse_statement(text)


@given("a caller's listener that is not ready for {seconds:f} s")
def given_listener(context, seconds):
    context.unready = seconds


def run_listener(seconds, talk, limit):
    """Run a listener with its reactor here, and a caller in a thread."""
    import threading

    from circuits import Component

    from bamboospring.reactor import Reactor

    root = Component()
    reactor = Reactor().register(root)
    board = SessionBoard(vm="v", availability_zone="z")
    began = time.monotonic()

    def admit(database, credential, held):
        ready = time.monotonic() - began >= seconds
        board.catalog = catalog(ROUTE) if ready else None
        return judge_opening(
            board, database, credential, now=0.0, running=10.0, held=held
        )

    def make(database, credential, number, channel):
        return Session(
            caller=f"{credential}/{number}",
            database=database,
            reactor=reactor,
            board=board,
            executor=FakeExecutor(),
            channel=channel,
        )

    server = CallerServer(
        reactor=reactor, address="127.0.0.1:0", admit=admit, make_session=make
    )
    result = {}

    def work():
        try:
            result["lines"] = asyncio.run(
                asyncio.wait_for(talk(server.listener.address), limit)
            )
        finally:
            root.stop()
            reactor.resume()

    thread = threading.Thread(target=work)
    thread.start()
    root.run()
    thread.join()
    return result.get("lines")


@when("a caller opens a session and sends a statement ahead")
def when_ahead(context):
    async def talk(address):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"OPEN d me\r\nQUERY 1 READ a\r\n")
        return [await reader.readline() for _ in range(3)]

    context.lines = run_listener(context.unready, talk, 5)


@then("it gets READY and then the statement's answer")
def then_ready(context):
    lines = context.lines
    assert lines == [
        b"READY I -\r\n",
        b"COMPLETE s\r\n",
        b"READY I -\r\n",
    ], lines


@then("a listener that stays unready answers BUSY within {seconds:d} s")
def then_busy(context, seconds):
    async def talk(address):
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"OPEN d me\r\n")
        return [await reader.readline()]

    lines = run_listener(99, talk, seconds)
    assert lines and lines[0].startswith(b"ERROR BUSY starting"), lines


@then("each of these entries of a target is ignored")
def then_passed_over(context):
    for row in context.table:
        found = Found(
            kind="servers",
            name="m",
            version=1,
            value=json.loads(row["entry"]),
        )
        assert read_target(found) is None, row["entry"]


VALID_ENTRY = {
    "service": "g",
    "address": "1.2.3.4:5",
    "zone": "z",
    "state": "draining",
    "databaseRole": "primary",
    "slots": 3,
    "born": 1700000000000,
    "sequence": 4,
    "extra": [1],
}


@then("a valid entry is read")
def then_good(context):
    news = read_target(Found(kind="s", name="m", version=1, value=VALID_ENTRY))
    assert news is not None and news.leaving and news.is_primary
    assert news.target.born == VALID_ENTRY["born"]


def item(name):
    return {"meta": {"name": name, "revision": 3}, "spec": VALID_ENTRY}


@then("a list with a broken item returns the readable ones")
def then_broken(context):
    items = [item("a"), None, 7, {"meta": {}}, "x", item("b")]
    body = json.dumps({"items": items, "hasMore": False, "currentRev": 9})
    page = StoreDialect().page("servers", body.encode())
    assert [f.name for f in page.changes.objects] == ["a", "b"]


@then("a list in two pages asks for the second after the last name")
def then_pages(context):
    body = json.dumps(
        {"items": [item("a"), item("b/c")], "hasMore": True, "currentRev": 9}
    )
    page = StoreDialect().page("servers", body.encode())
    assert page.after == "b/c"
    call = StoreDialect().list("servers", page.after)
    assert call.path.endswith("?after=b%2Fc"), call.path


class FakePlatform:
    """Loses its history at the first watch."""

    def __init__(self):
        self.calls = []

    def list(self, kind, purpose, on_result):
        from bamboospring.object_store import Changes

        self.calls.append("list")
        on_result(Changes(objects=(), revision=5))

    def watch(self, kind, after, wait_ms, purpose, on_result):
        self.calls.append("watch")
        if len(self.calls) < 4:
            on_result(HistoryLost())


@then("a watch whose history is gone reads everything again")
def then_anew(context):
    platform = FakePlatform()
    watch = KindWatch(
        reactor=FakeReactor(),
        platform=platform,
        kind="config",
        wait_ms=100,
        on_objects=lambda objects: None,
    )
    watch.set_watching(True)
    assert platform.calls == ["list", "watch", "list", "watch"], platform.calls


@given("a log whose reader has stopped")
def given_stopped(context):
    context.reading, writing = os.pipe()
    context.sink = logs.NonBlockingLineWriter(fd=writing)
    context.add_cleanup(os.close, context.reading)
    context.add_cleanup(os.close, writing)


@when("{count:d} lines are logged")
def when_logged(context, count):
    began = time.monotonic()
    for number in range(count):
        context.sink.write(f"event=x number={number} {'y' * 100}\n")
    context.took = time.monotonic() - began


@then(
    "logging them took less than {seconds:d} s and lines were dropped "
    "and counted"
)
def then_quick(context, seconds):
    assert context.took < seconds, context.took
    assert context.sink.dropped > 10000, context.sink.dropped


@when(
    "{good:d} good and {bad:d} bad events of a name are logged in one second"
)
def when_events(context, good, bad):
    context.lines = []
    logs.configure(level="info", write=context.lines.append)
    context.add_cleanup(logs.configure)
    bounds = context.bounds = logs.LineRateLimiter()
    context.good = sum(
        bounds.allow("e", logs.Level.INFO, 50.1) for _ in range(good)
    )
    context.bad = sum(
        bounds.allow("e", logs.Level.WARNING, 50.2) for _ in range(bad)
    )


@then("{good:d} good and {bad:d} bad lines are written")
def then_bounded(context, good, bad):
    assert (context.good, context.bad) == (good, bad)


@then("the next second's first line says how many were left out")
def then_left_out(context):
    context.bounds.allow("e", logs.Level.INFO, 51.0)
    text = "".join(context.lines)
    assert "event=left_out of=e bad=false lines=495" in text, text
    assert "event=left_out of=e bad=true lines=400" in text, text
    assert context.bounds.total == 895
