"""Steps of target_polls.feature."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Target
from bamboospring.blackboard import Vm
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.primary_change import Order
from bamboospring.primary_change import OrderKind
from bamboospring.rendezvous import Placement
from bamboospring.target_api import decode_probe
from bamboospring import target_orders
from bamboospring import target_watcher
from bamboospring.target_watcher import TargetWatcher

WAIT_MS = 150
STATE = "00ff00ff00ff00ff"
REPORT = {
    "target": "m1",
    "term": 3,
    "role": "primary",
    "received": 120,
    "applied": 110,
    "last_term": 3,
    "primary": "",
    "start": 7,
    "leaving": False,
}


# The simulated target, as a real process


def poll(context: Any, name: str, state: str) -> tuple[int, bytes]:
    conn = context.members[name].open()
    conn.request("GET", f"/positions?seen={state}&wait_ms={WAIT_MS}")
    answer = conn.getresponse()
    body = answer.read()
    conn.close()
    return answer.status, body


def state_of(context: Any, name: str) -> str:
    return str(context.members[name].call("GET", "/probe")["state"])


@then(
    "a poll of {name} that names its state is answered late and without a body"
)
def then_no_body(context: Any, name: str) -> None:
    context.state_before = state_of(context, name)
    assert poll(context, name, context.state_before) == (204, b"")


@then("a poll of {name} that names the state before is answered with a body")
def then_body(context: Any, name: str) -> None:
    status, body = poll(context, name, context.state_before)
    assert status == 200, status
    report = orjson.loads(body)
    assert report["state"] != context.state_before, report
    context.state_before = report["state"]


@then("a poll of {name} that names a state of another target gets a body")
def then_other(context: Any, name: str) -> None:
    assert poll(context, name, state_of(context, "a2"))[0] == 200


@when("a write runs on {name} for a poll")
def when_written(context: Any, name: str) -> None:
    sql = "INSERT INTO moves VALUES (1, 'x')"
    found = context.members[name].write(1, sql)
    assert found["outcome"] == "ok", found


@when("{name} is fenced at term {term:d} for a poll")
def when_fenced(context: Any, name: str, term: int) -> None:
    found = context.members[name].call("POST", "/fence", {"term": term})
    assert found["status"] == 200, found


# The holder, with fake connections


class FakeClient:
    """Records requests, which the test answers."""

    def __init__(self, **_: Any) -> None:
        self.paths: list[str] = []
        self.on_answer: Any = None

    def request(
        self,
        _method: str,
        path: str,
        _body: bytes,
        _wait: float,
        on_answer: Any,
    ) -> None:
        self.paths.append(path)
        self.on_answer = on_answer

    def close(self) -> None:
        """Do nothing."""


def answer(context: Any, status: int, body: bytes = b"") -> None:
    context.client.on_answer(HttpResponse(status=status, body=body))


@given("a holder that watches a primary over fake connections")
def given_holder(context: Any) -> None:
    context.now = 100.0
    context.later = []
    reactor = SimpleNamespace(
        now=lambda: context.now,
        call_later=lambda wait, call: context.later.append(call),
    )
    local_vm = Vm(
        name="vm-1", address="127.0.0.1:2", availability_zone="zone-a"
    )
    board = Blackboard(local_vm=local_vm)
    placement = Placement([local_vm])
    target = Target(
        name="m1",
        address="127.0.0.1:1",
        availability_zone="zone-a",
        site="old",
        slots=3,
        connections=20,
    )
    record = GroupRecord(
        name="ledger",
        targets=(target,),
        term=3,
        primary="m1",
        starts=(),
        version=1,
    )
    context.group = Group(record=record)
    board.groups["ledger"] = context.group
    context.client = FakeClient()
    with mock.patch.object(
        target_watcher, "HttpClient", lambda **_: context.client
    ):
        context.watcher = TargetWatcher(
            reactor=reactor, board=board, placement=placement
        )
        context.watcher._update_group("ledger")
    assert context.client.paths == ["/probe"]


@when("the primary sends its report with a state")
def when_report(context: Any) -> None:
    answer(context, 200, orjson.dumps({**REPORT, "state": STATE}))


@when("the primary sends its report without a state")
def when_report_without_state(context: Any) -> None:
    answer(context, 200, orjson.dumps(REPORT))


@when("{count:d} polls are answered without a body, {gap:d} ms apart")
def when_polls(context: Any, count: int, gap: int) -> None:
    for _ in range(count):
        context.asked_at = context.now
        context.now += gap / 1000
        answer(context, 204)


@then("each of those polls named the state")
def then_named(context: Any) -> None:
    polls = context.client.paths[1:]
    assert len(polls) == 21, polls
    wanted = f"/positions?seen={STATE}&wait_ms=400"
    assert set(polls) == {wanted}, polls


@then("the last of them counts as an answer, with its positions")
def then_answered(context: Any) -> None:
    state = context.group.state("m1")
    assert state.last_response_at == context.now, state
    assert (state.received, state.applied) == (120, 110), state


@then("its data counts as that of the last poll")
def then_fresh(context: Any) -> None:
    sampled_at, received = context.watcher._watched["ledger"].samples[-1]
    assert (sampled_at, received) == (context.asked_at, 120), sampled_at


@when("the connection is lost and the next answer has no body")
def when_lost(context: Any) -> None:
    context.answered_at = context.now
    context.now += 1.0
    context.client.on_answer(HttpFailure(sent=True, reason="closed"))
    context.later.pop()()
    context.now += 1.0
    answer(context, 204)


@then("the primary counts as not having answered again")
def then_not_answered(context: Any) -> None:
    assert context.group.state("m1").last_response_at == context.answered_at


@then("the next request names no state")
def then_plain(context: Any) -> None:
    context.later.pop()()
    assert context.client.paths[-2:] == ["/probe", "/probe"]


@then("the next request names its positions and waits")
def then_positions(context: Any) -> None:
    wanted = (
        "/positions?received=120&applied=110&term=3&role=primary"
        "&leaving=0&wait_ms=400"
    )
    assert context.client.paths[-1] == wanted, context.client.paths


# The steward's probes


@given("a steward that has no report of the target")
def given_no_report(context: Any) -> None:
    context.known = None


@given("a steward that has a report of the target")
def given_report(context: Any) -> None:
    context.known = decode_probe(orjson.dumps({**REPORT, "state": STATE}))


@when("it probes the target and gets no body")
def when_probed(context: Any) -> None:
    context.client = FakeClient()
    context.told = []
    target = Target(
        name="m1",
        address="127.0.0.1:1",
        availability_zone="zone-a",
        site="old",
        slots=3,
        connections=20,
    )
    order = Order(
        kind=OrderKind.PROBE, target=target, known_probe=context.known
    )
    with mock.patch.object(
        target_orders, "HttpClient", lambda **_: context.client
    ):
        target_orders.send_order(
            SimpleNamespace(), order, lambda *told: context.told.append(told)
        )
    answer(context, 204)


@then("the probe asked for {path}")
def then_path(context: Any, path: str) -> None:
    assert context.client.paths == [path], context.client.paths


@then("the answer counts as no report at all")
def then_no_report(context: Any) -> None:
    assert context.told == [(False, None)], context.told


@then("the answer counts as the same report")
def then_same_report(context: Any) -> None:
    assert context.told == [(True, context.known)], context.told
