"""Steps for the database member stand-in, which use its own protocol."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import http.client
import json
import os
from pathlib import Path
import signal
import sqlite3
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

from behave import given
from behave import then
from behave import when

SCHEMA = "CREATE TABLE moves (id INTEGER PRIMARY KEY, note TEXT);"


class Member:
    """One target process that can be killed and restarted."""

    def __init__(self, name: str, root: Path) -> None:
        self.name = name
        self.root = root
        self.listen = "127.0.0.1:0"
        self.process: subprocess.Popen[str] | None = None

    def start(self, *options: str) -> None:
        """Start the process and wait until it listens."""
        schema = self.root / "schema.sql"
        schema.write_text(SCHEMA)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bamboospring.testing.target"]
            + ["--name", self.name, "--listen", self.listen]
            + ["--directory", str(self.root / self.name)]
            + ["--schema", str(schema), "--connect-ms", "0", *options],
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.listen = self.process.stdout.readline().split()[1]

    def kill(self) -> None:
        """Kill the process (SIGKILL)."""
        if self.process is not None:
            os.kill(self.process.pid, signal.SIGKILL)
            self.process.wait()
            self.process = None

    def open(self) -> http.client.HTTPConnection:
        """Return a new connection, which connects at its first request."""
        return http.client.HTTPConnection(self.listen, timeout=5)

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Make one request on a new control connection."""
        conn = self.open()
        try:
            return exchange(conn, method, path, body)
        finally:
            conn.close()

    def connect(self) -> http.client.HTTPConnection:
        """Open a statement connection."""
        conn = self.open()
        exchange(conn, "POST", "/connect", {"id": 0, "holder": "test"})
        return conn

    def write(self, term: int, sql: str, **fields: Any) -> Any:
        """Run one autocommit write on a new connection."""
        conn = self.connect()
        try:
            return execute(conn, term=term, kind="write", sql=sql, **fields)
        finally:
            conn.close()

    def rows(self) -> list[list[Any]]:
        """Return the ids of all rows that are visible at this member."""
        conn = self.connect()
        try:
            sql = "SELECT id FROM moves ORDER BY id"
            return execute(conn, kind="read", sql=sql)["rows"]
        finally:
            conn.close()


def exchange(
    conn: http.client.HTTPConnection, method: str, path: str, body: Any
) -> Any:
    """Return the decoded body, with the HTTP status as `status`."""
    conn.request(method, path, json.dumps(body) if body else None)
    answer = conn.getresponse()
    found = json.loads(answer.read())
    found["status"] = answer.status
    return found


def execute(conn: http.client.HTTPConnection, **fields: Any) -> Any:
    """Send one statement and return its answer."""
    return exchange(conn, "POST", "/execute", {"id": 1, **fields})


def wait_until(condition: Any, seconds: float = 10) -> None:
    """Wait until a condition is true."""
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition did not become true"
        time.sleep(0.01)


def insert(row: int) -> str:
    """Return the statement that inserts one row."""
    return f"INSERT INTO moves VALUES ({row}, 'x')"


@given("target members a1, a2 and a3 with a1 as primary at term 1")
def given_members(context: Any) -> None:
    root = Path(tempfile.mkdtemp(prefix="bamboospring-target-"))
    context.members = {n: Member(n, root) for n in ("a1", "a2", "a3")}
    for member in context.members.values():
        context.add_cleanup(member.kill)
        member.start()
    context.a1 = context.members["a1"]
    context.a2 = context.members["a2"]
    make_primary(context, "a1", 1)


def make_primary(context: Any, name: str, term: int) -> None:
    """Fence all members, promote one and make the others follow it."""
    primary = context.members[name]
    for member in context.members.values():
        assert member.call("POST", "/fence", {"term": term})["status"] == 200
    assert primary.call("POST", "/promote", {"term": term})["status"] == 200
    follow(context, name, term)


def follow(context: Any, name: str, term: int) -> None:
    """Make all other members follow a primary."""
    order = {"term": term, "primary": context.members[name].listen}
    for member in context.members.values():
        if member.name != name:
            assert member.call("POST", "/follow", order)["status"] == 200


@when("a1 is killed while target writes are being answered")
def when_killed_under_load(context: Any) -> None:
    context.answered = {}

    def load() -> None:
        conn = context.a1.connect()
        for row in range(1, 1_000_000):
            try:
                found = execute(conn, term=1, kind="write", sql=insert(row))
            except (OSError, http.client.HTTPException):
                return
            context.answered[row] = found["index"]

    thread = threading.Thread(target=load)
    thread.start()
    wait_until(lambda: len(context.answered) > 100)
    check_file_while_written(context.a1.root / "a1" / "target.sqlite")
    context.a1.kill()
    thread.join()


def check_file_while_written(path: Path) -> None:
    """Check many of the states that a kill could leave.

    A single kill rarely occurs in the short time between two commits, so the
    file is read as another process would read it after a kill.
    """
    conn = sqlite3.connect(path, timeout=5)
    for _ in range(500):
        indexes, rows = conn.execute(
            "SELECT (SELECT MAX(idx) FROM target_log), "
            "(SELECT COUNT(*) FROM moves)"
        ).fetchone()
        assert indexes == rows + 1, (indexes, rows)
    conn.close()


@when("a1 is started again")
def when_started_again(context: Any) -> None:
    context.a1.start()


@when("a1 is killed and started again")
def when_killed_and_started(context: Any) -> None:
    context.a1.kill()
    context.a1.start()


@then("a1 holds every answered target write and is primary at term 1")
def then_all_answered_writes_present(context: Any) -> None:
    state = context.a1.call("GET", "/probe")
    assert (state["role"], state["term"]) == ("primary", 1), state
    assert state["received"] >= max(context.answered.values())
    ids = [row[0] for row in context.a1.rows()]
    assert ids == list(range(1, len(ids) + 1))
    assert len(ids) >= len(context.answered)
    assert state["received"] == len(ids) + 1


@when("a target transaction is open on a1 and a1 is fenced at term 2")
def when_fenced_with_open_transaction(context: Any) -> None:
    context.conn = context.a1.connect()
    for step in ("begin", "statement"):
        row = 1 if step == "begin" else 2
        found = execute(
            context.conn, term=1, kind="write", tx=step, sql=insert(row)
        )
        assert found["outcome"] == "ok", found
    context.a1.call("POST", "/fence", {"term": 2})


@then("the commit is refused for its term and so are its other steps")
def then_commit_refused(context: Any) -> None:
    for step in ("commit", "statement", "commit", "rollback"):
        found = execute(
            context.conn, term=1, kind="write", tx=step, sql=insert(3)
        )
        result = (found["outcome"], found["reason"])
        assert result == ("refused", "term"), (step, found)


@then("no effect of the transaction is kept")
def then_no_effect(context: Any) -> None:
    assert context.a1.rows() == []


@when("a fence and then a target write arrive while a1 is suspended")
def when_fence_before_write(context: Any) -> None:
    writer = context.a1.connect()
    control = context.a1.open()
    exchange(control, "GET", "/probe", None)
    pid = context.a1.process.pid
    os.kill(pid, signal.SIGSTOP)
    control.request("POST", "/fence", json.dumps({"term": 2}))
    time.sleep(0.05)
    body = {"id": 1, "term": 1, "kind": "write", "sql": insert(1)}
    writer.request("POST", "/execute", json.dumps(body))
    time.sleep(0.05)
    os.kill(pid, signal.SIGCONT)
    assert control.getresponse().status == 200
    context.written = json.loads(writer.getresponse().read())
    context.conn = writer


@then("the target write is refused for its term and did not run")
def then_write_refused(context: Any) -> None:
    found = context.written
    assert (found["outcome"], found["reason"]) == ("refused", "term"), found
    assert context.a1.rows() == []


@then("the connection can be used at the new term")
def then_connection_usable(context: Any) -> None:
    context.a1.call("POST", "/promote", {"term": 2})
    found = execute(context.conn, term=2, kind="write", sql=insert(1))
    assert found["outcome"] == "ok", found
    assert context.a1.rows() == [[1]]


@then("a1 refuses target writes of term 1 and a fence at term 1")
def then_old_term_refused(context: Any) -> None:
    found = context.a1.write(1, insert(3))
    assert (found["outcome"], found["reason"]) == ("refused", "term"), found
    assert context.a1.call("POST", "/fence", {"term": 1})["status"] == 409
    assert context.a1.call("POST", "/promote", {"term": 1})["status"] == 409


@then("a1 is fenced at term 2")
def then_fenced(context: Any) -> None:
    state = context.a1.call("GET", "/probe")
    assert (state["role"], state["term"]) == ("fenced", 2), state


@given("3 target writes held by all members")
def given_three_replicated_writes(context: Any) -> None:
    for row in (1, 2, 3):
        assert context.a1.write(1, insert(row))["outcome"] == "ok"
    for member in context.members.values():
        wait_until(lambda m=member: len(m.rows()) == 3)


@when("a2 and a3 are fenced at term 2 and a1 accepts 2 more target writes")
def when_log_diverges(context: Any) -> None:
    for name in ("a2", "a3"):
        context.members[name].call("POST", "/fence", {"term": 2})
    for row in (101, 102):
        assert context.a1.write(1, insert(row))["outcome"] == "ok"


@when("a2 is promoted at term 2 and the others follow it")
def when_a2_promoted(context: Any) -> None:
    assert context.a2.call("POST", "/promote", {"term": 2})["status"] == 200
    follow(context, "a2", 2)


@when("1 target write is sent to a2")
def when_write_to_a2(context: Any) -> None:
    assert context.a2.write(2, insert(4))["outcome"] == "ok"


@then("all target members hold the same 4 rows")
def then_same_rows(context: Any) -> None:
    for member in context.members.values():
        wait_until(lambda m=member: m.rows() == [[1], [2], [3], [4]])
        state = member.call("GET", "/probe")
        assert (state["received"], state["last_term"]) == (6, 2), state


@when("a1 is paused and a target write waits there")
def when_write_waits_in_pause(context: Any) -> None:
    order = {"term": 1, "wait_ms": 1000, "for_ms": 5000}
    assert context.a1.call("POST", "/pause", order)["status"] == 200
    row = len(context.a1.rows()) + 1
    pool = ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.waiting = pool.submit(context.a1.write, 1, insert(row))
    time.sleep(0.2)
    assert not context.waiting.done()


@then("the waiting target write completes after a resume")
def then_write_completes(context: Any) -> None:
    assert context.a1.call("POST", "/resume", {"term": 1})["status"] == 200
    assert context.waiting.result(5)["outcome"] == "ok"


@when("a1 is fenced at term 2 while the target write waits")
def when_fenced_while_write_waits(context: Any) -> None:
    assert context.a1.call("POST", "/fence", {"term": 2})["status"] == 200


@then("the waiting target write is refused for its term and did not run")
def then_waiting_write_refused(context: Any) -> None:
    found = context.waiting.result(5)
    assert (found["outcome"], found["reason"]) == ("refused", "term"), found
    assert context.a1.rows() == [[1]]


@when("a1 is restarted under a connection and gets a new connection")
def when_restarted_with_connection(context: Any) -> None:
    connect = {"id": 0, "holder": "test"}
    earlier = context.a1.open()
    connection_id = exchange(earlier, "POST", "/connect", connect)[
        "connection"
    ]
    context.a1.kill()
    context.a1.start()
    context.conn = context.a1.open()
    exchange(context.conn, "POST", "/connect", connect)
    context.connection_id = connection_id


@when("the earlier connection is ordered to end")
def when_earlier_connection_terminated(context: Any) -> None:
    body = {"connections": [context.connection_id]}
    assert context.a1.call("POST", "/terminate", body)["status"] == 200


@then("the new connection still works")
def then_new_connection_works(context: Any) -> None:
    found = execute(context.conn, kind="read", sql="SELECT 1")
    assert found["outcome"] == "ok", found


@when("10 target connections ask a1 for 25 connections and 3 slots at once")
def when_limits_exceeded(context: Any) -> None:
    context.a1.call("POST", "/settings", {"statement_ms": 30})
    conns = [context.a1.connect() for _ in range(19)]
    extra_conns = [context.a1.open() for _ in range(6)]
    body = {"id": 0, "holder": "test"}
    for conn in extra_conns:
        exchange(conn, "POST", "/connect", body)
    with ThreadPoolExecutor(10) as pool:
        list(
            pool.map(
                lambda conn: execute(conn, kind="read", sql="SELECT 1"),
                conns[:10],
            )
        )
    for conn in conns + extra_conns:
        conn.close()


@then("a1 counts at most 20 connections and 3 slots, and refusals")
def then_limits_counted(context: Any) -> None:
    found = context.a1.call("GET", "/counters")
    assert found["peak_connections"] == 20, found
    assert found["refused_connections"] == 5, found
    assert found["peak_slots"] == 3, found
    assert found["refused_slots"] > 0, found


@when("a target write with key k1 is sent to a1, then again to a promoted a2")
def when_key_used_twice(context: Any) -> None:
    keyed = {"key": "k1", "caller": "bank"}
    context.first = context.a1.write(1, insert(1), **keyed)
    wait_until(lambda: len(context.a2.rows()) == 1)
    make_primary(context, "a2", 2)
    context.second = context.a2.write(2, insert(1), **keyed)


@then("the second answer repeats the first one and one row exists")
def then_first_answer_repeated(context: Any) -> None:
    assert context.first["outcome"] == "ok", context.first
    assert not context.first["replayed"]
    assert context.second["outcome"] == "ok", context.second
    assert context.second["replayed"]
    assert context.second["index"] == context.first["index"]
    assert context.a2.rows() == [[1]]


@then("the same key with another statement is refused by a2")
def then_reused_key_refused(context: Any) -> None:
    found = context.a2.write(2, insert(7), key="k1", caller="bank")
    assert found["reason"] == "key_reused", found
