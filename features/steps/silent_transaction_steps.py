"""Steps on a transaction whose connection stops passing data."""

from __future__ import annotations

import time
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.topology import SMALL

GROUP = "ledger"
INSERT = "INSERT INTO silent_entry VALUES (?)"


@given("a small fleet behind the fault proxy with a table")
def given_fleet(context: Any) -> None:
    context.fleet = Fleet(topology=SMALL, links=True)
    context.add_cleanup(context.fleet.close)
    context.fleet.start()
    context.fleet.wait_serving()
    context.caller = Caller(entries=context.fleet.entries(), name="first")
    answer = context.caller.write(GROUP, "CREATE TABLE silent_entry (id)")
    assert answer.done, answer


@given("a caller whose open transaction has written")
def given_transaction(context: Any) -> None:
    begun = context.caller.begin(GROUP)
    assert begun.done, begun
    written = context.caller.statement(GROUP, begun.transaction, INSERT, [1])
    assert written.done, written
    context.transaction = written.transaction or begun.transaction


@when("the open connections to the primary go silent")
def when_silent(context: Any) -> None:
    primary = context.fleet.primary(GROUP)
    context.fleet.set_link_mode(f"target:{primary}", "silent")


@when("that caller goes on with its transaction")
def when_goes_on(context: Any) -> None:
    context.answer = context.caller.statement(
        GROUP, context.transaction, INSERT, [2]
    )


@then("the caller is told that the transaction is lost")
def then_lost(context: Any) -> None:
    assert context.answer.outcome == "not_run", context.answer
    assert context.answer.reason == "transaction_lost", context.answer


@then("another caller's write is done within {seconds:d} s")
def then_done(context: Any, seconds: int) -> None:
    other = Caller(entries=context.fleet.entries(), name="second")
    end = time.monotonic() + seconds
    while True:
        answer = other.write(GROUP, INSERT, [3], key="third")
        if answer.done:
            return
        assert time.monotonic() < end, answer
        time.sleep(0.1)


@then("nothing of the lost transaction is there")
def then_nothing(context: Any) -> None:
    primary = context.fleet.primary(GROUP)
    rows = context.fleet.query(primary, "SELECT id FROM silent_entry")
    assert rows == [[3]], rows
