"""Steps of bad_input.feature: raw requests over plain sockets."""

from __future__ import annotations

import json
import socket
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_support import caller_at
from fleet_support import GROUP
from fleet_support import in_threads
from fleet_support import start_fleet
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.testing.caller import Caller
from bamboospring.testing.caller import CallerAnswer
from bamboospring.testing.fleet import TOKEN_KEYS
from bamboospring.tokens import SessionPositions
from bamboospring.tokens import SigningKey
from bamboospring.tokens import TokenCodec
from bamboospring.tokens import TransactionHandle

INSERT = "INSERT INTO entries (body) VALUES ('bad input')"
TIMEOUT = 5.0
KNOWN_STATUS = (200, 400, 404, 405, 408, 413, 422, 431, 503, 504)


def codec(key: str = "", secret: str = "") -> TokenCodec:
    """Return a codec with the fleet's first key, or another one."""
    first = TOKEN_KEYS[0]
    return TokenCodec(
        keys=[
            SigningKey(
                id=key or first["id"],
                secret=(secret or first["secret"]).encode(),
            )
        ]
    )


class RawConnection:
    """A socket on which any bytes can be sent."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self.sock = socket.create_connection((host, int(port)), TIMEOUT)
        self.rest = b""

    def send(self, data: bytes) -> None:
        """Send bytes; ignore that the other side has closed."""
        try:
            self.sock.sendall(data)
        except OSError:
            pass

    def answer(self) -> tuple[int, Any]:
        """Read one whole answer; the status is 0 if the connection ended."""
        head, found, rest = self._until(b"\r\n\r\n")
        if not found:
            return 0, None
        length = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        while len(rest) < length:
            data = self._receive()
            if not data:
                return 0, None
            rest += data
        self.rest = rest[length:]
        return int(head.split()[1]), json.loads(rest[:length] or b"null")

    def is_closed(self) -> bool:
        """Return whether the other side closes within the time limit."""
        try:
            return not self.rest and self.sock.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True

    def close(self) -> None:
        """Close the connection."""
        self.sock.close()

    def _until(self, mark: bytes) -> tuple[bytes, bytes, bytes]:
        data = self.rest
        while mark not in data:
            more = self._receive()
            if not more:
                return data, b"", b""
            data += more
        return data.partition(mark)

    def _receive(self) -> bytes:
        try:
            return self.sock.recv(65536)
        except OSError:
            return b""


def head(length: int, *more: str, path: str = "/v1/statements") -> bytes:
    """Return the head of a POST."""
    lines = [f"POST {path} HTTP/1.1", "Host: vm", *more]
    lines.append(f"Content-Length: {length}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def post(body: bytes, path: str = "/v1/statements") -> bytes:
    """Return a whole, well formed POST."""
    return head(len(body), path=path) + body


def good_body(context: Any, **changes: Any) -> dict[str, Any]:
    """Return the body of a valid write, with changes."""
    body = {
        "token": context.token,
        "group": GROUP,
        "kind": "write",
        "sql": INSERT,
        "params": [],
        "deadline_ms": 2000,
    }
    return {**body, **changes}


def executed(context: Any) -> int:
    """Count the statements that the targets have run."""
    fleet = context.fleet
    return sum(
        fleet.counters(name).get("executed", 0) for name in fleet.targets
    )


@given("a bad-input fleet")
def given_fleet(context: Any) -> None:
    fleet = start_fleet(context)
    context.token = Caller(entries=fleet.entries()).open()
    # Connect directly to the VM, because the proxy of the link would hide a
    # close.
    context.vm = next(iter(fleet.vms.values())).callers_listen
    context.before = executed(context)


def body_with(context: Any, fault: str) -> bytes:
    """Return a body with the named fault."""
    good = json.dumps(good_body(context))
    stranger = codec("k1", "another fleet's secret").encode(
        SessionPositions(caller="tester")
    )
    handle = codec().encode_transaction(
        TransactionHandle(vm="vm-1", group=GROUP, caller="tester", number=1)
    )
    step = {
        "token": context.token,
        "group": GROUP,
        "step": "commit",
        "transaction": context.token,
    }
    text = {
        "broken JSON": good[:-5],
        "a JSON list": f"[{good}]",
        "an empty body": "",
        "half a surrogate pair": good.replace("bad input", "\\ud800"),
        "deeply nested JSON": '{"params": ' + "[" * 5000 + "]" * 5000 + "}",
        "a wrong type": good.replace("2000", '"2000"'),
        "a field of ours misspelt": good.replace("deadline_ms", "deadline"),
        "no group": good.replace('"group"', '"grp"'),
        "an integer of 100 digits": good.replace("[]", f"[{'9' * 100}]"),
        "a number that is NaN": good.replace("[]", "[NaN]"),
        "a statement over its limit": good.replace("bad input", "x" * 70_000),
        "too many parameters": good.replace("[]", str([1] * 1001)),
        "a deadline of 0 ms": good.replace("2000", "0"),
        "an unknown group": good.replace(GROUP, "no-such-group"),
        "a forged token": good.replace(context.token, "A" + context.token),
        "a token of another fleet": good.replace(context.token, stranger),
        "a handle as its token": good.replace(context.token, handle),
        "a token as its handle": json.dumps(step),
        "a path that is not ours": good,
        "the method GET": "",
    }
    if fault == "bytes that are no UTF-8":
        return good.replace("bad input", "\xff\xfe").encode("latin-1")
    return text[fault].encode()


def refused(conn: RawConnection, status: int, reason: str) -> str:
    """Return an error if the answer is not the expected refusal."""
    found, body = conn.answer()
    if found != status:
        return f"status {found}, {body}"
    if body["outcome"] != "not_run" or body["reason"] != reason:
        return f"body {body}"
    return ""


def check_request(context: Any, fault: str, status: int, reason: str) -> str:
    """Send a bad request, then a good one on the same connection."""
    path = "/v1/statements"
    if fault == "a token as its handle":
        path = "/v1/transactions"
    if fault == "a path that is not ours":
        path = "/v2/statements"
    data = post(body_with(context, fault), path=path)
    if fault == "the method GET":
        data = b"GET /v1/statements HTTP/1.1\r\nHost: vm\r\n\r\n"
    conn = RawConnection(context.vm)
    try:
        conn.send(data)
        wrong = refused(conn, status, reason)
        conn.send(post(b'{"caller": "after"}', "/v1/sessions"))
        found, body = conn.answer()
    finally:
        conn.close()
    return wrong or ("" if found == 200 else f"unusable: {found} {body}")


@then("these requests are refused and their connections stay usable")
def then_requests(context: Any) -> None:
    wrong = {}
    for row in context.table:
        found = check_request(
            context, row["fault"], int(row["status"]), row["reason"]
        )
        if found:
            wrong[row["fault"]] = found
    assert not wrong, json.dumps(wrong, indent=1)


def raw_request(context: Any, fault: str) -> bytes:
    """Return the bytes of a request whose end is ambiguous.

    A valid write follows each request. If it runs, the remaining bytes were
    taken for a second request.
    """
    body = json.dumps(good_body(context)).encode()
    size = len(body)
    smuggled = post(body)
    chunk = f"{size:x}".encode() + b"\r\n" + body + b"\r\n0\r\n\r\n"
    start = b"POST /v1/statements HTTP/1.1\r\nHost: vm\r\n"
    big = b"x" * 3_000_000
    match fault:
        case "both a length and chunks":
            data = head(size, "Transfer-Encoding: chunked") + chunk
        case "two different lengths":
            data = head(size, "Content-Length: 3") + body
        case "a length that is no number":
            data = start + b"Content-Length: 1x\r\n\r\n" + body
        case "a negative length":
            data = start + b"Content-Length: -1\r\n\r\n" + body
        case "chunks named in a disguised way":
            data = start + b"Transfer-Encoding: xchunked\r\n\r\n" + chunk
        case "a space before a header's colon":
            data = start + b"Content-Length : 5\r\n\r\n" + body
        case "a line that is no header":
            data = start + b"no header\r\n\r\n" + body
        case "a header folded over two lines":
            data = start + b"X-A: b\r\n c\r\nContent-Length: 2\r\n\r\n{}"
        case "a NUL in a header":
            data = start + b"X-A: b\0c\r\nContent-Length: 2\r\n\r\n{}"
        case "two Host headers":
            data = head(size, "Host: other") + body
        case "bytes that are no HTTP":
            data = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" * 9
        case "the protocol HTTP/2":
            data = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
        case "a request to upgrade":
            data = start + b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
        case "a head of 40 KB":
            data = start + b"X-A: " + b"y" * 40_000 + b"\r\n\r\n"
        case "a hundred headers":
            data = head(size, *[f"X-{n}: y" for n in range(100)]) + body
        case "a body of 3 MB":
            data = head(len(big)) + big
        case "chunks of 3 MB in all":
            data = start + b"Transfer-Encoding: chunked\r\n\r\n"
            data += f"{len(big):x}\r\n".encode() + big + b"\r\n0\r\n\r\n"
        case _:
            raise AssertionError(fault)
    return data + smuggled


def check_raw(context: Any, fault: str, status: int) -> str:
    """Send a raw request and check that the connection is closed after it."""
    conn = RawConnection(context.vm)
    try:
        conn.send(raw_request(context, fault))
        wrong = refused(conn, status, "bad_request")
        return wrong or ("" if conn.is_closed() else "not closed")
    finally:
        conn.close()


@then("these raw requests are refused and their connections closed")
def then_raw(context: Any) -> None:
    wrong = {}
    for row in context.table:
        found = check_raw(context, row["fault"], int(row["status"]))
        if found:
            wrong[row["fault"]] = found
    assert not wrong, json.dumps(wrong, indent=1)


@then("no target ran anything, and the VM serves the next caller")
def then_nothing_ran(context: Any) -> None:
    time.sleep(0.1)
    assert executed(context) == context.before, "a target ran something"
    answer = Caller(entries=[context.vm]).read(
        GROUP, "SELECT count(*) FROM entries"
    )
    assert answer.done and answer.rows == ((0,),), answer


@when("a caller sends its headers a byte at a time")
def when_slow(context: Any) -> None:
    conn = RawConnection(context.vm)
    context.add_cleanup(conn.close)
    conn.sock.settimeout(0.5)
    context.began = time.monotonic()
    for byte in head(5, *[f"X-{n}: y" for n in range(60)]):
        conn.send(bytes([byte]))
        try:
            conn.rest = conn.sock.recv(65536)
            break
        except TimeoutError:
            continue
        except OSError:
            break
        if time.monotonic() - context.began > 30:
            break
    context.seconds = time.monotonic() - context.began
    context.answer = conn.answer()


@then("the connection is closed within {seconds:d} seconds with status 408")
def then_slow_closed(context: Any, seconds: int) -> None:
    assert context.seconds < seconds, context.seconds
    assert context.answer[0] == 408, context.answer


@when("a caller pipelines {count:d} reads with a broken one in the middle")
def when_pipelined(context: Any, count: int) -> None:
    conn = RawConnection(context.vm)
    context.add_cleanup(conn.close)
    requests = []
    for number in range(count):
        body = good_body(context, kind="read", sql="SELECT ?", params=[number])
        text = json.dumps(body)
        if number == count // 2:
            text = text[:-1]
        requests.append(post(text.encode()))
    conn.send(b"".join(requests))
    context.answers = [conn.answer() for _ in range(count)]


@then("the answers come in the order of the requests")
def then_in_order(context: Any) -> None:
    middle = len(context.answers) // 2
    for number, (status, body) in enumerate(context.answers):
        if number == middle:
            assert status == 400, (number, status, body)
        else:
            assert status == 200, (number, status, body)
            assert body["rows"] == [[number]], (number, body)


scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=30),
)
any_json = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=10), inner, max_size=4),
    ),
    max_leaves=12,
)
fields = st.sampled_from(
    "token group kind sql params staleness_ms key deadline_ms step"
    " transaction caller".split()
)
paths = st.sampled_from(["/v1/sessions", "/v1/statements", "/v1/transactions"])
bodies = st.one_of(
    any_json.map(lambda value: json.dumps(value).encode()),
    st.dictionaries(fields, any_json, max_size=9).map(
        lambda value: json.dumps(value).encode()
    ),
    st.binary(max_size=200),
)
requests = st.one_of(
    st.builds(post, bodies, paths),
    st.binary(min_size=1, max_size=300),
)


@when("generated requests are sent to a VM")
def when_generated(context: Any) -> None:
    context.answers = []

    @settings(derandomize=True, max_examples=250, deadline=None, database=None)
    @for_all(data=requests)
    def check(data: bytes) -> None:
        conn = RawConnection(context.vm)
        conn.send(data)
        conn.sock.shutdown(socket.SHUT_WR)
        status, _ = conn.answer()
        conn.close()
        context.answers.append((status, data))
        assert status == 0 or status in KNOWN_STATUS, (status, data)

    check()


@then("each was answered with a known status or closed")
def then_known(context: Any) -> None:
    statuses = {status for status, _ in context.answers}
    assert 400 in statuses and 500 not in statuses, statuses


@when("a caller closes in the middle of its body")
def when_half(context: Any) -> None:
    conn = RawConnection(context.vm)
    conn.send(head(100) + b'{"token": ')
    conn.close()


@given("a bad-input fleet with VMs that only forward")
def given_forwarding_fleet(context: Any) -> None:
    start_fleet(context, vms=5)


@when("a caller reads 5 MB while others read through the same VM")
def when_large(context: Any) -> None:
    fleet = context.fleet
    entry = fleet.not_holders(GROUP)[0]

    def read_small(number: int) -> list[CallerAnswer]:
        caller = caller_at(fleet, entry, name=f"other {number}")
        answers = []
        for _ in range(60):
            answers.append(caller.read(GROUP, "SELECT ?", [number]))
            time.sleep(0.01)
        return answers

    def read_large() -> list[CallerAnswer]:
        caller = caller_at(fleet, entry)
        sql = "SELECT hex(zeroblob(2500000))"
        return [caller.read(GROUP, sql) for _ in range(5)]

    others: list[Any] = [
        lambda n=n: read_small(n) for n in range(4)  # type: ignore[misc]
    ]
    context.large, *context.small = in_threads([read_large, *others])


@then("that read failed and its message says that the result is too large")
def then_too_large(context: Any) -> None:
    for answer in context.large:
        assert answer.outcome == "failed", str(answer)[:300]
        assert "too large" in answer.message, answer


@then("no other read was disturbed")
def then_undisturbed(context: Any) -> None:
    for number, answers in enumerate(context.small):
        for answer in answers:
            assert answer.done and answer.rows == ((number,),), answer
