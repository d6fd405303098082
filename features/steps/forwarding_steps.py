"""Steps on what an entry does before it asks a holder, with fakes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.forwarding import Forwarder
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Reason
from bamboospring.rendezvous import Placement
from bamboospring.statements import Statement

GROUP = "ledger"


@given("an entry that has just started")
def given_entry(context: Any) -> None:
    me = Vm(name="vm-1", address="127.0.0.1:2", availability_zone="zone-a")
    context.board = Blackboard(me=me)
    context.tries = []
    context.forwarder = Forwarder(
        reactor=SimpleNamespace(now=lambda: 0.0),
        board=context.board,
        placement=Placement(),
        peers=SimpleNamespace(),
        holder=SimpleNamespace(),
        codec=SimpleNamespace(),
        membership=SimpleNamespace(avoided=lambda holders, now: frozenset()),
        budget=SimpleNamespace(first_try=lambda: context.tries.append(1)),
    )


@given("the entry knows the group")
def given_known(context: Any) -> None:
    context.board.group_names.add(GROUP)


@when("a statement for the group ledger comes")
def when_statement(context: Any) -> None:
    answers: list[Any] = []
    stmt = Statement(
        group=GROUP,
        caller="tester",
        write=False,
        sql="SELECT 1",
        params=b"[]",
        deadline=1.0,
    )
    context.forwarder.forward(stmt, answers.append)
    (context.answer,) = answers


@when("it has been told the names of all groups")
def when_told(context: Any) -> None:
    context.board.names_complete = True


@then("it answers no_holder with a time to come back")
def then_no_holder(context: Any) -> None:
    assert isinstance(context.answer, NotRun), context.answer
    assert context.answer.reason is Reason.NO_HOLDER, context.answer
    assert context.answer.retry_after_ms > 0, context.answer


@then("it answers unknown_group")
def then_unknown(context: Any) -> None:
    assert context.answer.reason is Reason.UNKNOWN_GROUP, context.answer


@then("one first try is noted in the retry budget")
def then_one_try(context: Any) -> None:
    assert len(context.tries) == 1, context.tries
