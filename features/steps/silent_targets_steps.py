"""Steps on writes whose targets stop responding."""

from __future__ import annotations

from functools import partial
import time
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_support import caller_at
from fleet_support import GROUP
from fleet_support import in_threads
from fleet_support import start_fleet

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Vm
from bamboospring.in_flight import InFlightWrite
from bamboospring.in_flight import InFlightWrites
from bamboospring.in_flight import UnresponsiveTargetMonitor
from bamboospring.testing.caller import CallerAnswer
from bamboospring.testing.fleet import wait_until

WRITE = "INSERT INTO entries (id, body) VALUES (?, 'x')"
DEADLINE_MS = 20_000
TARGET = "ledger-m1"


@given("a fleet of {count:d} VMs that callers write to")
def given_fleet(context: Any, count: int) -> None:
    start_fleet(context, vms=count)
    for vm in context.fleet.vms:
        answer = caller_at(context.fleet, vm).write(
            GROUP, "INSERT INTO entries (body) VALUES ('before')"
        )
        assert answer.done, answer


def write_row(context: Any, row: int) -> tuple[CallerAnswer, float]:
    names = list(context.fleet.vms)
    caller = caller_at(
        context.fleet, names[row % len(names)], deadline_ms=DEADLINE_MS
    )
    started_at = time.monotonic()
    answer = caller.write(GROUP, WRITE, [row])
    return answer, time.monotonic() - started_at


@when(
    "all links to targets freeze and {count:d} writes with 20 s left come"
    " at once"
)
def when_frozen(context: Any, count: int) -> None:
    for name in context.fleet.targets:
        context.fleet.set_link_mode(f"target:{name}", "freeze")
    context.rows = range(1000, 1000 + count)
    works = [partial(write_row, context, row) for row in context.rows]
    context.answers = in_threads(works)


@then(
    "each is unknown or not run within {most:d} s, at most one at a VM unknown"
)
def then_told(context: Any, most: int) -> None:
    outcomes = [answer.outcome for answer, _ in context.answers]
    assert set(outcomes) <= {"unknown", "not_run"}, context.answers
    # Each VM has one slot at the primary, so it has sent one write.
    sent = outcomes.count("unknown")
    assert 1 <= sent <= len(context.fleet.vms), context.answers
    slowest = max(seconds for _, seconds in context.answers)
    assert slowest < most, context.answers


@when("the links pass again")
def when_pass(context: Any) -> None:
    for name in context.fleet.targets:
        context.fleet.set_link_mode(f"target:{name}", "pass")


@then("a write is done, and what was called not run is at no target")
def then_none(context: Any) -> None:
    caller = caller_at(context.fleet, "vm-1", deadline_ms=2000)

    def written() -> bool:
        # The id is fixed: a generated one could equal that of a write above.
        insert = "INSERT OR REPLACE INTO entries VALUES (500, 'after')"
        return caller.write(GROUP, insert).done

    wait_until(written, seconds=30, what="a write")
    told = dict(zip(context.rows, context.answers, strict=True))
    for name in context.fleet.targets:
        rows = context.fleet.query(name, "SELECT id FROM entries")
        stored = {row[0] for row in rows} & set(context.rows)
        for row in stored:
            assert told[row][0].outcome == "unknown", (name, told[row])


class Timers:
    """A fake clock with timers that run one after the other."""

    def __init__(self) -> None:
        self.time = 100.0
        self.due: list[tuple[float, Any]] = []

    def now(self) -> float:
        return self.time

    def call_later(self, seconds: float, work: Any) -> None:
        self.due.append((self.time + seconds, work))

    def step(self) -> None:
        """Advance to the next timer and run it."""
        self.time, work = self.due.pop(0)
        work()


@given("a write that was sent to a target")
def given_sent(context: Any) -> None:
    record = GroupRecord(name=GROUP, targets=(), term=1, primary=TARGET)
    context.group = Group(record=record)
    me = Vm(name="vm-1", address="127.0.0.1:2", availability_zone="zone-a")
    context.timers = Timers()
    context.closed = []
    in_flight = InFlightWrites()
    UnresponsiveTargetMonitor(
        reactor=context.timers,  # type: ignore[arg-type]
        board=Blackboard(local_vm=me, groups={GROUP: context.group}),
        in_flight=in_flight,
    )
    context.write = InFlightWrite()
    context.write.sent_on = SimpleNamespace(
        target=SimpleNamespace(name=TARGET),
        unresponsive=False,
        conn=SimpleNamespace(close=lambda: context.closed.append(1)),
    )
    in_flight.add(GROUP, context.write)


def run_checks(context: Any, seconds: float, responds: bool) -> None:
    end = context.timers.time + seconds
    while context.timers.time < end:
        if responds:
            context.group.state(TARGET).last_response_at = context.timers.time
        context.timers.step()


@when("the target is heard all the time for {seconds:d} s")
def when_heard(context: Any, seconds: int) -> None:
    run_checks(context, seconds, responds=True)


@when("the target is silent for 2 s at one look and heard before the next")
def when_once(context: Any) -> None:
    state = context.group.state(TARGET)
    state.last_response_at = context.timers.time - 2.1
    context.timers.step()
    run_checks(context, 1, responds=True)


@when("the target is silent for {seconds:d} s")
def when_silent(context: Any, seconds: int) -> None:
    run_checks(context, seconds, responds=False)


@then("the write still waits")
def then_waits(context: Any) -> None:
    assert not context.closed


@then("the write's connection is closed as a silent one")
def then_closed(context: Any) -> None:
    assert context.closed
    assert context.write.sent_on.unresponsive
