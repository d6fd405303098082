"""Steps of transaction.feature."""

from __future__ import annotations

import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_support import caller_at
from fleet_support import GROUP
from fleet_support import in_threads
from fleet_support import start_fleet

from bamboospring.testing.caller import Caller
from bamboospring.testing.caller import CallerAnswer
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import TOKEN_KEYS
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.operator import Operator
from bamboospring.tokens import SigningKey
from bamboospring.tokens import TokenCodec
from bamboospring.tokens import TransactionHandle

INSERT = "INSERT INTO entries (body) VALUES (?)"
MOVE = "UPDATE balances SET amount = amount + ? WHERE name = ?"
AMOUNTS = "SELECT amount FROM balances ORDER BY name"
BODY = "in a transaction"


def read_handle(text: str) -> TransactionHandle:
    """Decode a handle of the fleet."""
    keys = [
        SigningKey(id=key["id"], secret=key["secret"].encode())
        for key in TOKEN_KEYS
    ]
    handle = TokenCodec(keys=keys).decode_transaction(text)
    assert isinstance(handle, TransactionHandle), handle
    return handle


def rows_at(fleet: Fleet, target: str) -> int:
    """Count the rows of the transaction at a target."""
    sql = "SELECT count(*) FROM entries WHERE body = ?"
    return int(fleet.query(target, sql, [BODY])[0][0])


def other_entry(fleet: Fleet, holder: str = "") -> str:
    """Return a VM that is no holder of the group and is not `holder`."""
    return [name for name in fleet.not_holders(GROUP) if name != holder][0]


def begin_and_write(context: Any) -> None:
    """Begin a transaction through a VM that only forwards; write a row."""
    fleet = context.fleet
    context.entry = other_entry(fleet)
    context.caller = caller_at(fleet, context.entry)
    begun = context.caller.begin(GROUP)
    assert begun.done, begun
    context.holder = read_handle(begun.transaction).vm
    context.old_handle = begun.transaction
    answer = context.caller.statement(GROUP, begun.transaction, INSERT, [BODY])
    assert answer.done, answer
    context.handle = answer.transaction


@given("a transaction fleet")
def given_fleet(context: Any) -> None:
    start_fleet(context, vms=5)


@when(
    "a transaction moves {amount:d} from a to b through a different VM"
    " each step"
)
def when_moves(context: Any, amount: int) -> None:
    fleet = context.fleet
    observer = Caller(entries=fleet.entries(), name="looker")
    context.seen = []

    def observe() -> None:
        answer = observer.read(GROUP, AMOUNTS, staleness_ms=0)
        assert answer.done, answer
        context.seen.append(tuple(row[0] for row in answer.rows))

    caller = Caller(entries=fleet.entries())
    handle = caller.begin(GROUP).transaction
    for change, name in ((-amount, "a"), (amount, "b")):
        caller.roam()
        answer = caller.statement(GROUP, handle, MOVE, [change, name])
        assert answer.done, answer
        handle = answer.transaction
        observe()
    caller.roam()
    answer = caller.commit(GROUP, handle)
    assert answer.done, answer
    observe()


@then("the other session sees none of it until the commit and all after it")
def then_seen(context: Any) -> None:
    assert context.seen == [(1000, 1000), (1000, 1000), (900, 1100)]


@when(
    "{count:d} transactions write {rows:d} rows each at once and every second"
    " rolls back"
)
def when_many(context: Any, count: int, rows: int) -> None:
    entries = context.fleet.entries()

    def work(number: int) -> bool:
        caller = Caller(
            entries=entries,
            entry_index=number,
            deadline_ms=20000,
            name=f"c{number}",
        )
        answer = caller.begin(GROUP)
        for _ in range(rows):
            assert answer.done, answer
            caller.roam()
            answer = caller.statement(
                GROUP, answer.transaction, INSERT, [f"tx {number}"]
            )
        assert answer.done, answer
        keep = number % 2 == 0
        end = caller.commit if keep else caller.rollback
        answer = end(GROUP, answer.transaction)
        assert answer.done, answer
        return keep

    works = [lambda n=n: work(n) for n in range(count)]  # type: ignore
    kept = in_threads(works)
    context.wanted = {
        f"tx {number}": rows for number in range(count) if kept[number]
    }


@then("exactly the committed transactions have their {rows:d} rows")
def then_whole(context: Any, rows: int) -> None:
    sql = "SELECT body, count(*) FROM entries GROUP BY body"
    primary = context.fleet.primary(GROUP)
    found = dict(context.fleet.query(primary, sql))
    assert found == context.wanted, found


@when("a transaction has written a row and its holder is killed")
def when_holder_killed(context: Any) -> None:
    begin_and_write(context)
    context.fleet.kill(context.holder)


@when("a transaction has written a row and its holder is no holder any more")
def when_holder_moves(context: Any) -> None:
    begin_and_write(context)
    fleet = context.fleet
    fleet.publish_vms(leaving=[context.holder])

    def seen() -> bool:
        # The status is used because a new write there is refused and a read
        # would be forwarded to another holder.
        status = Operator(fleet=fleet, vm=context.holder).call(
            "GET", "/status.json"
        )
        return bool(status["vms_revision"] > 1)

    wait_until(seen, seconds=20, what="the new list at the holder")


@then("its commit is done")
def then_commit_done(context: Any) -> None:
    answer = context.caller.commit(GROUP, context.handle)
    assert answer.done, answer


@then("its next statement is not_run with transaction_lost")
def then_statement_lost(context: Any) -> None:
    answer = context.caller.statement(GROUP, context.handle, INSERT, [BODY])
    assert answer.outcome == "not_run", answer
    assert answer.reason == "transaction_lost", answer


@then("its commit is unknown with transaction_lost")
def then_commit_unknown(context: Any) -> None:
    answer = context.caller.commit(GROUP, context.handle)
    assert answer.outcome == "unknown", answer
    assert answer.reason == "transaction_lost", answer


@then("the row is at no target, and another write goes through")
def then_no_row(context: Any) -> None:
    fleet = context.fleet
    other = caller_at(
        fleet, other_entry(fleet, context.entry), deadline_ms=10000
    )
    answer = other.write(GROUP, INSERT, ["another"])
    assert answer.done, answer
    for target in fleet.targets:
        assert rows_at(fleet, target) == 0, target


@when("a transaction has written a row and its entry is killed")
def when_entry_killed(context: Any) -> None:
    begin_and_write(context)
    context.fleet.kill(context.entry)


@then("it goes on through another VM and commits")
def then_goes_on(context: Any) -> None:
    lost = context.caller.commit(GROUP, context.handle)
    assert lost.outcome == "lost", lost
    context.caller.roam()
    answer = context.caller.commit(GROUP, context.handle)
    assert answer.done, answer


@then("exactly {count:d} row of it is at every target")
def then_rows(context: Any, count: int) -> None:
    fleet = context.fleet

    def level() -> bool:
        return all(rows_at(fleet, t) == count for t in fleet.targets)

    wait_until(level, seconds=10, what=f"{count} row at every target")


@when("a transaction's statement is answered but the answer is lost")
def when_answer_lost(context: Any) -> None:
    fleet = context.fleet
    context.entry = other_entry(fleet)
    context.caller = caller_at(fleet, context.entry, deadline_ms=500)
    context.handle = context.caller.begin(GROUP).transaction
    link = f"entry:{context.entry}"
    fleet.set_link_mode(link, "freeze", direction="to_client")
    answer = context.caller.statement(GROUP, context.handle, INSERT, [BODY])
    assert answer.outcome == "lost", answer
    fleet.kill(context.entry)
    context.caller.roam(
        list(fleet.vms).index(other_entry(fleet, context.entry))
    )


@then("the same statement again is not_run with transaction_lost")
def then_again_lost(context: Any) -> None:
    then_statement_lost(context)
    answer = context.caller.commit(GROUP, context.handle)
    assert answer.outcome == "not_run", answer


def run_keyed(caller: Caller, key: str, cut: Any = None) -> CallerAnswer:
    """Run a whole transaction whose commit has a key.

    `cut` is called before the commit with the transaction's holder.
    """
    begun = caller.begin(GROUP)
    assert begun.done, begun
    answer = caller.statement(GROUP, begun.transaction, INSERT, [BODY])
    assert answer.done, answer
    if cut is not None:
        cut(read_handle(answer.transaction).vm)
    return caller.commit(GROUP, answer.transaction, key=key)


@when("the commit of a transaction with key {key} loses its answer")
def when_commit_lost(context: Any, key: str) -> None:
    fleet = context.fleet
    context.entry = other_entry(fleet)
    caller = caller_at(fleet, context.entry, deadline_ms=800)
    held: list[str] = []

    def cut(holder: str) -> None:
        held.append(f"peers:{holder}")
        fleet.set_link_mode(held[0], "freeze", direction="to_client")

    context.answer = run_keyed(caller, key, cut)
    fleet.set_link_mode(held[0], "pass")


@then("that commit is unknown")
def then_that_unknown(context: Any) -> None:
    assert context.answer.outcome == "unknown", context.answer


@then("the same transaction again with key {key} is done as a replay")
def then_replay(context: Any, key: str) -> None:
    fleet = context.fleet
    caller = caller_at(
        fleet, other_entry(fleet, context.entry), deadline_ms=8000
    )
    answer = run_keyed(caller, key)
    assert answer.done and answer.replayed, answer


@when("a transaction has written a row and commits")
def when_commits(context: Any) -> None:
    begin_and_write(context)
    context.answer = context.caller.commit(GROUP, context.handle)
    assert context.answer.done, context.answer


@then("the same commit through another VM is done again as a replay")
def then_commit_again(context: Any) -> None:
    context.caller.roam()
    answer = context.caller.commit(GROUP, context.handle)
    assert answer.done and answer.replayed, answer
    assert answer.index == context.answer.index, answer


@when("a transaction has written a row and its caller is gone")
def when_caller_gone(context: Any) -> None:
    begin_and_write(context)
    context.caller.close()


@then("another write is done within {seconds:d} seconds")
def then_done_within(context: Any, seconds: int) -> None:
    other = caller_at(context.fleet, context.entry, deadline_ms=seconds * 1000)
    began = time.monotonic()
    answer = other.write(GROUP, INSERT, ["waited"])
    assert answer.done, answer
    assert time.monotonic() - began < seconds


@when("a transaction has written a row and another caller takes its handle")
def when_other_takes(context: Any) -> None:
    begin_and_write(context)
    other_caller = caller_at(context.fleet, context.entry, name="thief")
    context.answer = other_caller.commit(GROUP, context.handle)


@then("the other caller is refused with no_transaction")
def then_refused(context: Any) -> None:
    assert context.answer.outcome == "not_run", context.answer
    assert context.answer.reason == "no_transaction", context.answer


@then("the transaction still commits")
def then_commits(context: Any) -> None:
    answer = context.caller.commit(GROUP, context.handle)
    assert answer.done, answer


def ask_numbers(fleet: Fleet, worker: int, deadline_ms: int) -> list[Any]:
    """Select distinct numbers; return pairs of number and answer."""
    caller = Caller(
        entries=fleet.entries(), entry_index=worker, deadline_ms=deadline_ms
    )
    pairs = []
    for number in range(12):
        asked = worker * 1000 + number
        answer = caller.read(GROUP, "SELECT ?", [asked])
        pairs.append((asked, answer))
        caller.roam()
    return pairs


@when("targets answer {late:d} ms late to callers that wait {wait:d} ms")
def when_late(context: Any, late: int, wait: int) -> None:
    fleet = context.fleet
    context.pairs = []
    for number in range(3):
        delay = 0 if number == 1 else late
        for target in fleet.targets:
            fleet.set_link_mode(
                f"target:{target}",
                "delay" if delay else "pass",
                direction="to_client",
                delay_ms=delay,
            )
        works = [
            lambda w=w: ask_numbers(fleet, w, wait)  # type: ignore
            for w in range(8)
        ]
        for pairs in in_threads(works):
            context.pairs += pairs
    for target in fleet.targets:
        fleet.set_link_mode(f"target:{target}", "pass")


@then("every answered read has its own number")
def then_own(context: Any) -> None:
    for asked, answer in context.pairs:
        if answer.done:
            assert answer.rows == ((asked,),), (asked, answer)
    assert any(not answer.done for _, answer in context.pairs)


@then("reads work again once the delay ends")
def then_work_again(context: Any) -> None:
    fleet = context.fleet

    def good() -> bool:
        pairs = ask_numbers(fleet, 99, 2000)
        return all(
            answer.done and answer.rows == ((asked,),)
            for asked, answer in pairs
        )

    wait_until(good, seconds=10, what="all reads to be answered")


@when(
    "{count:d} callers write with a deadline of {seconds:d} seconds while the"
    " primary freezes"
)
def when_primary_freezes(context: Any, count: int, seconds: int) -> None:
    fleet = context.fleet
    end = time.monotonic() + 3.0
    primary = fleet.primary(GROUP)

    def work(number: int) -> list[tuple[float, CallerAnswer]]:
        caller = Caller(
            entries=fleet.entries(),
            entry_index=number,
            deadline_ms=seconds * 1000,
            name=f"writer {number}",
        )
        answers = []
        while time.monotonic() < end:
            began = time.monotonic()
            answers.append((began, caller.write(GROUP, INSERT, ["freeze"])))
            time.sleep(0.02)
        return answers

    def freeze() -> list[tuple[float, CallerAnswer]]:
        time.sleep(0.5)
        fleet.freeze(primary)
        context.frozen_at = time.monotonic()
        return []

    works: list[Any] = [
        lambda n=n: work(n) for n in range(count)  # type: ignore[misc]
    ]
    results = in_threads([freeze, *works])
    context.timed = [pair for some in results for pair in some]


@then("each of those writes was done or unknown")
def then_done_or_unknown(context: Any) -> None:
    outcomes = {answer.outcome for _, answer in context.timed}
    bad = [a for _, a in context.timed if a.outcome not in ("done", "unknown")]
    assert outcomes <= {"done", "unknown"}, (len(bad), bad[:3])


@then("unknown writes were answered within {seconds:d} seconds")
def then_unknown_soon(context: Any, seconds: int) -> None:
    for _, answer in context.timed:
        if answer.outcome == "unknown":
            assert answer.elapsed < seconds, answer


@then("writes that began during the change were done after it")
def then_went_on(context: Any) -> None:
    waited = [
        answer
        for began, answer in context.timed
        if began > context.frozen_at and answer.done and answer.elapsed > 0.5
    ]
    assert waited, "no write waited for the new primary and went on"
