"""Steps for session tokens and the properties of routing."""

from __future__ import annotations

import time
from typing import Any

from behave import given
from behave import then
from behave import when
import fleet_support
from fleet_support import GROUP
from fleet_support import set_lag
from fleet_support import start_fleet
import session_properties

from bamboospring.statements import Position
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import TOKEN_KEYS
from bamboospring.testing.fleet import wait_until
from bamboospring.tokens import SessionPositions
from bamboospring.tokens import SigningKey
from bamboospring.tokens import TokenCodec

INSERT = "INSERT INTO entries (body) VALUES (?)"
COUNT = "SELECT count(*) FROM entries"
NEWEST = "SELECT max(id) FROM entries"
SECOND = f"{GROUP}-m2"


def signed(position: Position) -> str:
    """Return a token that the fleet accepts."""
    keys = [
        SigningKey(id=key["id"], secret=key["secret"].encode())
        for key in TOKEN_KEYS
    ]
    session = SessionPositions(caller="tester", positions={GROUP: position})
    return TokenCodec(keys=keys).encode(session)


@given("a session fleet whose replicas lag {lag:d} ms")
def given_fleet(context: Any, lag: int) -> None:
    fleet = start_fleet(context)
    set_lag(fleet, lag)
    context.caller = Caller(entries=fleet.entries())
    context.unknown_rows = []


@when(
    "a session writes {count:d} times, reading through another VM after each"
)
def when_writes_and_reads(context: Any, count: int) -> None:
    context.answers = []
    for number in range(1, count + 1):
        written = context.caller.write(GROUP, INSERT, [f"row {number}"])
        assert written.done, written
        for _ in context.fleet.vms:
            context.caller.roam()
            answer = context.caller.read(GROUP, COUNT)
            context.answers.append((number, answer))


@then("every session read shows the newest write")
def then_newest(context: Any) -> None:
    for number, answer in context.answers:
        assert answer.done, answer
        assert answer.rows[0][0] == number, (number, answer)


@then("reads of a session without writes go to replicas")
def then_replicas(context: Any) -> None:
    fresh = Caller(entries=context.fleet.entries())
    for _ in range(6):
        fresh.roam()
        answer = fresh.read(GROUP, COUNT)
        assert answer.done and answer.at_replica, answer


@when("a session writes {count:d} times")
def when_writes(context: Any, count: int) -> None:
    for number in range(count):
        context.caller.roam()
        answer = context.caller.write(GROUP, INSERT, [f"row {number}"])
        assert answer.done, answer


@when("the second member becomes primary and the platform is told")
def when_change(context: Any) -> None:
    context.fleet.change_primary(GROUP, SECOND)
    context.fleet.write_group(GROUP, SECOND)


@then("the session reads {count:d} rows through every VM")
def then_reads(context: Any, count: int) -> None:
    for _ in context.fleet.vms:
        context.caller.roam()
        answer = context.caller.read(GROUP, COUNT)
        assert answer.done and answer.rows[0][0] == count, answer


@then("a session write through every VM is done at term {term:d}")
def then_written(context: Any, term: int) -> None:
    for _ in context.fleet.vms:
        context.caller.roam()
        answer = context.caller.write(GROUP, INSERT, ["after"])
        assert answer.done and answer.term == term, answer
        read = context.caller.read(GROUP, NEWEST)
        assert read.done and read.term == term, read


@then("reads with a token of term {term:d} are refused as token_ahead")
def then_term_ahead(context: Any, term: int) -> None:
    check_refused(context, Position(term=term, index=1))


@then("reads with a token of index {index:d} are refused as token_ahead")
def then_index_ahead(context: Any, index: int) -> None:
    check_refused(context, Position(term=1, index=index))


def check_refused(context: Any, position: Position) -> None:
    for _ in context.fleet.vms:
        context.caller.token = signed(position)
        context.caller.roam()
        answer = context.caller.read(GROUP, COUNT)
        assert answer.outcome == "not_run", answer
        assert answer.reason == "token_ahead", answer
        assert answer.retry_after_ms > 0, answer


@when("another session writes a row and 1 second passes")
def when_other_writes(context: Any) -> None:
    other = Caller(entries=context.fleet.entries(), name="other")
    answer = other.write(GROUP, INSERT, ["theirs"])
    assert answer.done, answer
    time.sleep(1.0)


@then(
    "a session read that accepts an age of {age:d} ms is served at a replica"
)
def then_served_at_replica(context: Any, age: int) -> None:
    answer = context.caller.read(GROUP, COUNT, staleness_ms=age)
    assert answer.done and answer.at_replica, answer


@then("a session read that accepts an age of {age:d} ms shows the row")
def then_shows_row(context: Any, age: int) -> None:
    for _ in context.fleet.vms:
        context.caller.roam()
        answer = context.caller.read(GROUP, COUNT, staleness_ms=age)
        assert answer.done and answer.rows[0][0] == 1, answer


@when("the platform is down and the second member becomes primary unseen")
def when_unseen(context: Any) -> None:
    context.fleet.set_platform_faults(outage="refuse")
    context.fleet.change_primary(GROUP, SECOND, without=[f"{GROUP}-m1"])


@then("a session write through every VM ends as unknown")
def then_unknown(context: Any) -> None:
    for vm in context.fleet.vms:
        context.caller.roam()
        context.caller.deadline_ms = 700
        answer = context.caller.write(GROUP, INSERT, [f"lost {vm}"])
        # "not_run" is also correct if the VM has seen that a majority is at
        # another term, and so has sent nothing.
        assert answer.outcome in ("unknown", "not_run"), answer
        context.unknown_rows.append(f"lost {vm}")
    context.caller.deadline_ms = 2000


@then("a session read that accepts an age of {age:d} ms is refused as stale")
def then_stale(context: Any, age: int) -> None:
    for _ in context.fleet.vms:
        context.caller.roam()
        context.caller.deadline_ms = 700
        answer = context.caller.read(GROUP, COUNT, staleness_ms=age)
        assert answer.outcome == "not_run", answer
        assert answer.reason in ("stale", "no_primary"), answer
    context.caller.deadline_ms = 2000


@when("the platform is back and knows the new primary")
def when_back(context: Any) -> None:
    context.fleet.set_platform_faults(outage="none")
    context.fleet.write_group(GROUP, SECOND)
    order = {"term": 2, "primary": context.fleet.targets[SECOND].address}
    first = context.fleet.targets[f"{GROUP}-m1"].listen
    fleet_support.call_json(first, "POST", "/follow", order)


@then("no member has the rows that ended as unknown")
def then_gone(context: Any) -> None:
    def settled() -> bool:
        probes = [context.fleet.probe(name) for name in context.fleet.targets]
        positions = {(p["last_term"], p["applied"]) for p in probes}
        return len(positions) == 1

    wait_until(settled, seconds=10, what="members to agree")
    for name in context.fleet.targets:
        rows = context.fleet.query(name, "SELECT body FROM entries")
        bodies = {row[0] for row in rows}
        assert not bodies & set(context.unknown_rows), (name, bodies)


@given("the session properties are checked with generated cases")
def given_properties(context: Any) -> None:
    context.properties = session_properties


@then("a token read back is the session that was signed")
def then_round_trip(context: Any) -> None:
    context.properties.token_round_trip()


@then("a changed token or one of another key is no session")
def then_changed(context: Any) -> None:
    context.properties.changed_token_is_refused()


@then("a key can be rotated while tokens are in use")
def then_rotation(context: Any) -> None:
    context.properties.keys_rotate()


@then("merged sessions have seen what either has seen")
def then_merge(context: Any) -> None:
    context.properties.merge_covers_both()


@then("no read is sent to a target that is not known to satisfy it")
def then_safe(context: Any) -> None:
    context.properties.choice_is_safe()


@then("some target is chosen whenever one satisfies the read")
def then_live(context: Any) -> None:
    context.properties.choice_is_made_where_possible()


@then("a position of an older term never asks for more than the next start")
def then_mapping(context: Any) -> None:
    context.properties.older_positions_are_capped()
