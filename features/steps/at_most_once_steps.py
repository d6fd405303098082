"""Steps of at_most_once.feature."""

from __future__ import annotations

from collections import Counter
import threading
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
from bamboospring.testing.fleet import wait_until

INSERT = "INSERT INTO entries (body) VALUES (?)"
GIVE_UP = 60.0


def keyed_write(caller: Caller, key: str, body: str = "") -> CallerAnswer:
    """Write a row with a key; its body is the key by default."""
    return caller.write(GROUP, INSERT, [body or key], key=key)


def write_until_done(
    caller: Caller, key: str, end: float
) -> tuple[CallerAnswer, list[CallerAnswer]]:
    """Retry through the next VM until the write is done.

    Return the last answer and all answers before it.
    """
    others = []
    while True:
        try:
            answer = keyed_write(caller, key)
        except ConnectionError:
            # The VM was lost before it opened a session; nothing was sent.
            if time.monotonic() > end:
                raise
            caller.roam()
            time.sleep(0.01)
            continue
        if answer.done or time.monotonic() > end:
            return answer, others
        others.append(answer)
        caller.roam()
        time.sleep(max(0.01, min(0.2, answer.retry_after_ms / 1000)))


def count_rows(fleet: Fleet, target: str) -> Counter[str]:
    """Count the rows of each key at a target."""
    sql = "SELECT body, count(*) FROM entries GROUP BY body"
    return Counter(dict(fleet.query(target, sql)))


def wait_rows(
    fleet: Fleet, targets: list[str], wanted: dict[str, int]
) -> None:
    """Wait until each target has the wanted rows; print differences."""

    def level() -> bool:
        return all(count_rows(fleet, t) == wanted for t in targets)

    try:
        wait_until(level, seconds=15, what="targets to have the rows")
    except RuntimeError:
        for target in targets:
            found = count_rows(fleet, target)
            wrong = {
                key: (wanted.get(key), found.get(key))
                for key in {*wanted, *found}
                if wanted.get(key) != found.get(key)
            }
            print(target, "differs (wanted, found):", wrong)
        raise


@given("an at-most-once fleet")
def given_fleet(context: Any) -> None:
    context.fleet = start_fleet(context, vms=5)
    context.entry = context.fleet.not_holders(GROUP)[0]
    context.keys = []


@when("the answer to a write with key {key} is lost on the last way")
def when_lost_last(context: Any, key: str) -> None:
    fleet = context.fleet
    link = f"entry:{context.entry}"
    caller = caller_at(fleet, context.entry, deadline_ms=500)
    caller.open()
    fleet.set_link_mode(link, "freeze", direction="to_client")
    answer = keyed_write(caller, key)
    assert answer.outcome == "lost", answer
    fleet.set_link_mode(link, "pass")


@when("the answer to a write with key {key} is lost before the holder")
def when_lost_before(context: Any, key: str) -> None:
    fleet = context.fleet
    link = f"target:{fleet.primary(GROUP)}"
    caller = caller_at(fleet, context.entry, deadline_ms=2000)
    # Each holder must have a connection before the answers are delayed.
    for number in range(6):
        assert keyed_write(caller, f"warm up {number}", "other").done
    # Answers are delayed and not lost, because a primary that does not answer
    # at all would be replaced.
    fleet.set_link_mode(link, "delay", direction="to_client", delay_ms=500)
    caller.deadline_ms = 250
    context.answer = keyed_write(caller, key)
    fleet.set_link_mode(link, "pass")


@then("that keyed write ended as unknown")
def then_unknown(context: Any) -> None:
    assert context.answer.outcome == "unknown", context.answer


@then("the same write with key {key} through another VM is a replay")
def then_replay(context: Any, key: str) -> None:
    fleet = context.fleet
    caller = caller_at(fleet, fleet.not_holders(GROUP)[1], deadline_ms=8000)
    answer = keyed_write(caller, key)
    assert answer.done and answer.replayed, answer
    assert answer.rowcount == 1, answer


@then("1 row with key {key} is at every target")
def then_one_row(context: Any, key: str) -> None:
    fleet = context.fleet

    def level() -> bool:
        return all(count_rows(fleet, t)[key] == 1 for t in fleet.targets)

    wait_until(level, seconds=10, what=f"1 row of {key} at every target")


@when("each of {count:d} keyed writes is sent at once through {vms:d} VMs")
def when_at_once(context: Any, count: int, vms: int) -> None:
    entries = context.fleet.entries()
    callers = [
        Caller(entries=entries, entry_index=at, deadline_ms=8000)
        for at in range(vms)
    ]
    for caller in callers:
        caller.open()
    context.tries = {}
    for number in range(count):
        key = f"at once {number}"
        works = [
            lambda c=c, k=key: keyed_write(c, k)  # type: ignore[misc]
            for c in callers
        ]
        context.tries[key] = in_threads(works)
        context.keys.append(key)


@then("of each keyed write 1 try ran and the others are replays of it")
def then_one_ran(context: Any) -> None:
    for key, answers in context.tries.items():
        assert all(answer.done for answer in answers), (key, answers)
        ran = [answer for answer in answers if not answer.replayed]
        assert len(ran) == 1, (key, answers)
        assert len({answer.index for answer in answers}) == 1, (key, answers)


@then("every keyed write has 1 row at every target")
def then_all_one(context: Any) -> None:
    wanted = {key: 1 for key in context.keys}
    wait_rows(context.fleet, list(context.fleet.targets), wanted)


@then("every keyed write has 1 row at every living target")
def then_living_one(context: Any) -> None:
    fleet = context.fleet
    living = [t for t in fleet.targets if fleet.process(t).running]
    wait_rows(fleet, living, {key: 1 for key in context.keys})


def write_under(context: Any, callers: int, rows: int, disturb: Any) -> None:
    """Let callers write keyed rows while `disturb` runs concurrently."""
    fleet = context.fleet
    end = time.monotonic() + GIVE_UP

    def work(number: int) -> list[CallerAnswer]:
        caller = Caller(
            entries=fleet.entries(), entry_index=number, deadline_ms=1500
        )
        answers = []
        for row in range(rows):
            key = f"caller {number} row {row}"
            answers.append(write_until_done(caller, key, end)[0])
            time.sleep(0.05)
        return answers

    works: list[Any] = [
        lambda n=n: work(n) for n in range(callers)  # type: ignore[misc]
    ]
    thread = threading.Thread(target=disturb, daemon=True)
    thread.start()
    results = in_threads(works)
    thread.join()
    context.results = [answer for some in results for answer in some]
    context.keys = [
        f"caller {number} row {row}"
        for number in range(callers)
        for row in range(rows)
    ]


@when(
    "{callers:d} callers write {rows:d} keyed rows each while every VM is"
    " killed once"
)
def when_vms_killed(context: Any, callers: int, rows: int) -> None:
    fleet = context.fleet

    def disturb() -> None:
        for name in fleet.vms:
            time.sleep(0.3)
            fleet.kill(name)
            time.sleep(0.3)
            fleet.restart(name)

    write_under(context, callers, rows, disturb)


@when(
    "{callers:d} callers write {rows:d} keyed rows each while the primary is"
    " killed"
)
def when_primary_killed(context: Any, callers: int, rows: int) -> None:
    fleet = context.fleet

    def disturb() -> None:
        time.sleep(0.5)
        fleet.kill(fleet.primary(GROUP))

    write_under(context, callers, rows, disturb)


@when(
    "{callers:d} callers write {rows:d} keyed rows each while primary and"
    " holder fail"
)
def when_both_fail(context: Any, callers: int, rows: int) -> None:
    fleet = context.fleet
    primary = fleet.primary(GROUP)
    holder = fleet.holders(GROUP)[0]
    for target in fleet.targets:
        fleet.set_target(target, receive_lag_ms=100)

    def disturb() -> None:
        time.sleep(1.0)
        fleet.freeze(primary)
        fleet.kill(holder)
        time.sleep(4.0)
        fleet.thaw(primary)
        fleet.restart(holder)

    write_under(context, callers, rows, disturb)


@then("all keyed writes were acknowledged")
def then_acknowledged(context: Any) -> None:
    bad = [answer for answer in context.results if not answer.done]
    assert not bad, bad[:5]


@when("a write with key {key} is done and another member becomes primary")
def when_done_and_changed(context: Any, key: str) -> None:
    fleet = context.fleet
    when_done(context, key)
    fleet.change_primary(GROUP, f"{GROUP}-m2")
    fleet.write_group(GROUP, f"{GROUP}-m2")


@when("a write with key {key} is done")
def when_done(context: Any, key: str) -> None:
    caller = caller_at(context.fleet, context.entry)
    answer = keyed_write(caller, key)
    assert answer.done and not answer.replayed, answer


@then("another write with key {key} is refused with key_reused")
def then_key_reused(context: Any, key: str) -> None:
    caller = caller_at(context.fleet, context.entry)
    answer = keyed_write(caller, key, "something else")
    assert answer.outcome == "not_run", answer
    assert answer.reason == "key_reused" and answer.status == 400, answer


@when("two callers each write with key {key}")
def when_two_callers(context: Any, key: str) -> None:
    context.both = [
        keyed_write(caller_at(context.fleet, context.entry, name=name), key)
        for name in ("one", "two")
    ]


@then("both keyed writes ran")
def then_both(context: Any) -> None:
    for answer in context.both:
        assert answer.done and not answer.replayed, answer
