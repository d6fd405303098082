"""Steps of routing.feature."""

from __future__ import annotations

from collections.abc import Callable
import threading
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_support import caller_at
from fleet_support import GROUP
from fleet_support import set_lag
from fleet_support import start_fleet

from bamboospring.rendezvous import shard_of
from bamboospring.testing.caller import Caller
from bamboospring.testing.caller import CallerAnswer
from bamboospring.testing.fleet import wait_until

COUNT = "SELECT count(*) FROM entries"
SECOND = f"{GROUP}-m2"
THIRD = f"{GROUP}-m3"
LOAD_SECONDS = 2.0


def read_in_turn(context: Any, count: int) -> list[CallerAnswer]:
    """Send `count` reads, each through the next VM."""
    caller = Caller(entries=context.fleet.entries())
    answers = []
    for _ in range(count):
        caller.roam()
        answers.append(caller.read(GROUP, COUNT))
    caller.close()
    return answers


def under_load(context: Any, disturb: Callable[[], None]) -> None:
    """Read through all VMs at once; disturb after a quarter of the time."""
    context.answers = []
    end = time.monotonic() + LOAD_SECONDS

    def work(vm: str) -> None:
        caller = caller_at(context.fleet, vm)
        while time.monotonic() < end:
            context.answers.append(caller.read(GROUP, COUNT))
            time.sleep(0.005)
        caller.close()

    threads = [
        threading.Thread(target=work, args=(vm,), daemon=True)
        for vm in context.fleet.vms
    ]
    for thread in threads:
        thread.start()
    time.sleep(LOAD_SECONDS / 4)
    disturb()
    for thread in threads:
        thread.join()


@given("a routing fleet with read weights old {old:d} and new {new:d}")
def given_weights(context: Any, old: int, new: int) -> None:
    weights = {"read_weights": {"old": old, "new": new}}
    start_fleet(context, rows={GROUP: weights})


@given("a routing fleet without weights")
def given_no_weights(context: Any) -> None:
    start_fleet(context)


@given(
    "a routing fleet with an age limit of {age:d} ms and replicas"
    " {lag:d} s behind"
)
def given_age(context: Any, age: int, lag: int) -> None:
    row = {"max_staleness_ms": age}
    fleet = start_fleet(context, rows={GROUP: row})
    set_lag(fleet, lag * 1000)


@when("the read weights become old {old:d} and new {new:d} under load")
def when_weights(context: Any, old: int, new: int) -> None:
    row = {"group": GROUP, "read_weights": {"old": old, "new": new}}
    shard = str(shard_of(GROUP))
    under_load(
        context,
        lambda: context.fleet.put_object(
            "table", shard, {"rows": {GROUP: row}}
        )
        and None,
    )


@when("the second member is frozen under load")
def when_frozen(context: Any) -> None:
    under_load(context, lambda: context.fleet.freeze(SECOND))


@when("the second member runs again")
def when_thawed(context: Any) -> None:
    context.fleet.thaw(SECOND)


@when("connections to the second member go silent under load")
def when_silent(context: Any) -> None:
    under_load(
        context,
        lambda: context.fleet.set_link_mode(f"target:{SECOND}", "silent"),
    )
    context.fleet.set_link_mode(f"target:{SECOND}", "pass")


@when("the second member says that it is leaving")
def when_leaving(context: Any) -> None:
    context.fleet.set_target(SECOND, leaving=True)


@when("somebody writes a row and {seconds:g} seconds pass")
def when_written(context: Any, seconds: float) -> None:
    other = Caller(entries=context.fleet.entries(), name="other")
    answer = other.write(GROUP, "INSERT INTO entries (body) VALUES ('x')")
    assert answer.done, answer
    time.sleep(seconds)


@then("{count:d} routed reads are all served by the third member")
def then_third(context: Any, count: int) -> None:
    for answer in read_in_turn(context, count):
        assert answer.done and answer.target == THIRD, answer


@then("no routed read failed meanwhile")
def then_none_failed(context: Any) -> None:
    bad = [answer for answer in context.answers if not answer.done]
    assert len(context.answers) > 50, len(context.answers)
    assert not bad, (len(bad), len(context.answers), bad[:3])


@then(
    "within {seconds:d} seconds routed reads are all served by the {which}"
    " member"
)
def then_all_by(context: Any, seconds: int, which: str) -> None:
    wanted = {"second": {SECOND}, "third": {THIRD}}[which]

    def settled() -> bool:
        answers = read_in_turn(context, 30)
        assert all(answer.done for answer in answers), answers
        return {answer.target for answer in answers} == wanted

    wait_until(settled, seconds=seconds, what=f"reads only at {wanted}")


@then("within {seconds:d} seconds routed reads are served by both replicas")
def then_by_both(context: Any, seconds: int) -> None:
    def settled() -> bool:
        answers = read_in_turn(context, 60)
        assert all(answer.done for answer in answers), answers
        return {answer.target for answer in answers} == {SECOND, THIRD}

    wait_until(settled, seconds=seconds, what="reads at both replicas")


@then("{count:d} routed reads later the second member was sent nothing more")
def then_nothing_sent(context: Any, count: int) -> None:
    def sent() -> int:
        found = context.fleet.counters(SECOND)
        ran = found.get("executed", 0)
        return int(ran + found.get("refused_leaving", 0))

    before = sent()
    answers = read_in_turn(context, count)
    assert all(answer.done for answer in answers), answers
    assert sent() == before, (before, sent())


@then("a routed read without a stated age shows the row")
def then_shows(context: Any) -> None:
    for answer in read_in_turn(context, 6):
        assert answer.done and answer.rows == ((1,),), answer


@when(
    "replicas fall {lag:d} ms behind and {count:d} callers write all the time"
)
def when_many_writes(context: Any, lag: int, count: int) -> None:
    fleet = context.fleet
    set_lag(fleet, lag)
    stop = threading.Event()
    context.add_cleanup(stop.set)

    def work(number: int) -> None:
        caller = Caller(
            entries=fleet.entries(), entry_index=number, name=f"w{number}"
        )
        while not stop.is_set():
            caller.write(GROUP, "INSERT INTO entries (body) VALUES ('x')")

    for number in range(count):
        threading.Thread(target=work, args=(number,), daemon=True).start()
    time.sleep(5.0)


@then("routed reads that take an age of {age:d} ms are served at replicas")
def then_at_replicas(context: Any, age: int) -> None:
    caller = Caller(entries=context.fleet.entries())
    answers = []
    for _ in range(60):
        caller.roam()
        answers.append(caller.read(GROUP, COUNT, staleness_ms=age))
    assert all(answer.done for answer in answers), answers
    at_replicas = sum(answer.at_replica for answer in answers)
    assert at_replicas >= 55, at_replicas


@given("a routing fleet with {slots:d} slots at each target")
def given_slots(context: Any, slots: int) -> None:
    start_fleet(context, slots=slots)
