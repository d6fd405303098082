"""Steps of primary changes under faults, with real processes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
import http.client
import itertools
import json
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from fleet_support import caller_at
from fleet_support import GROUP
from fleet_support import in_threads
from fleet_support import start_fleet
from primary_change_support import ChangeLoad
from primary_change_support import WriteRecord

from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import shard_of
from bamboospring.testing.caller import CallerAnswer
from bamboospring.testing.fleet import call_json
from bamboospring.testing.fleet import wait_until

WRITE = "INSERT INTO entries VALUES (?, 'x')"


@given("a change fleet at rest")
def fleet_at_rest(context: Any) -> None:
    fleet = start_fleet(context)
    context.primary = fleet.primary(GROUP)
    wait_until(leader_of(context), seconds=20, what="a steward")


@given("a change fleet under writes")
def fleet_under_writes(context: Any) -> None:
    fleet_at_rest(context)
    context.load = ChangeLoad(context.fleet)
    context.add_cleanup(context.load.stop)
    wait_until(
        lambda: len(context.load.rows("done")) > 50,
        seconds=20,
        what="writes to be done",
    )


def leader_of(context: Any) -> Callable[[], str]:
    """Return a function that names the VM with the group's lease."""
    name = str(bucket_of(GROUP))
    return lambda: context.fleet.object("lease", name)["value"]["vm"]


def break_primary(context: Any) -> None:
    """Record when the fault begins; only later writes count."""
    context.broken_at = time.monotonic()


@when("the primary is killed for the change")
def kill_primary(context: Any) -> None:
    context.fleet.kill(context.primary)
    break_primary(context)


@when("the primary is frozen for the change")
def freeze_primary(context: Any) -> None:
    context.fleet.freeze(context.primary)
    break_primary(context)


@when("the primary is cut off for the change")
def cut_primary(context: Any) -> None:
    context.fleet.set_link_mode(f"target:{context.primary}", "cut")
    break_primary(context)


@when("the primary reports that it leaves")
def primary_leaves(context: Any) -> None:
    context.fleet.set_target(context.primary, leaving=True)
    break_primary(context)


@when("an operator moves the write weight to the other site")
def move_write_weight(context: Any) -> None:
    fleet = context.fleet
    row = {"group": GROUP, "write_weights": {"old": 0, "new": 100}}
    shard = str(shard_of(GROUP))
    break_primary(context)
    fleet.put_object("table", shard, {"rows": {GROUP: row}})


@then("the primary is at the other site")
def at_other_site(context: Any) -> None:
    name = context.fleet.primary(GROUP)
    assert context.fleet.targets[name].site == "new", name


@when("the old primary leaves no more")
def leaves_no_more(context: Any) -> None:
    context.fleet.set_target(context.primary, leaving=False)


@when("the primary is killed and the steward frozen with it")
def kill_and_freeze_steward(context: Any) -> None:
    context.steward = leader_of(context)()
    context.fleet.kill(context.primary)
    time.sleep(0.25)
    context.fleet.freeze(context.steward)
    break_primary(context)


@when("the primary is killed and another member frozen with it")
def kill_and_freeze_member(context: Any) -> None:
    context.frozen = context.fleet.replicas(GROUP)[0]
    context.fleet.freeze(context.frozen)
    context.killed_at = time.monotonic()
    context.fleet.kill(context.primary)
    break_primary(context)


@when("the answers of the member that stays come {delay:d} ms late")
def delay_answers(context: Any, delay: int) -> None:
    context.stays = context.fleet.replicas(GROUP)[1]
    context.fleet.set_link_mode(
        f"target:{context.stays}",
        "delay",
        direction="to_client",
        delay_ms=delay,
    )


@when("another member is frozen and {pause:g} s later the primary is killed")
def freeze_then_kill(context: Any, pause: float) -> None:
    context.frozen = context.fleet.replicas(GROUP)[0]
    context.fleet.freeze(context.frozen)
    time.sleep(pause)
    context.killed_at = time.monotonic()
    context.fleet.kill(context.primary)
    break_primary(context)


@when("the platform will lose its next answer about groups")
def lose_answer(context: Any) -> None:
    context.fleet.set_platform_faults(lose_answers=1, lose_kind="group")


@when("the platform is down for the change")
def platform_down(context: Any) -> None:
    context.fleet.set_platform_faults(outage="refuse")


@when("the platform is back for the change")
def platform_back(context: Any) -> None:
    context.fleet.set_platform_faults(outage="none")


@when("a client beside the old primary commits there")
def commit_beside(context: Any) -> None:
    """Write to the primary directly, not over the cut link."""
    host, port = context.fleet.targets[context.primary].listen.split(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    post(conn, "/connect", {"id": 0, "holder": "beside"})
    body = {"id": 1, "term": 1, "kind": "write", "caller": "beside"}
    for row in (-1, -2):
        found = post(conn, "/execute", {**body, "sql": WRITE, "params": [row]})
        assert found["outcome"] == "ok", found
    conn.close()


def post(conn: http.client.HTTPConnection, path: str, body: Any) -> Any:
    """Make one exchange with a target."""
    conn.request("POST", path, json.dumps(body))
    return json.loads(conn.getresponse().read())


@then("writes are done again at term 2")
def done_at_two(context: Any) -> None:
    done_again(context)
    assert context.fleet.object("group", GROUP)["value"]["term"] == 2


@then("writes are done again at a later term")
def done_again(context: Any) -> None:
    def fresh() -> bool:
        found = context.load.done_since(context.broken_at)
        return sum(record.term > 1 for record in found) > 20

    wait_until(fresh, seconds=30, what="writes after the change")


@when("the killed primary is started again")
def start_killed(context: Any) -> None:
    context.fleet.restart(context.primary)


@when("the frozen primary resumes")
def resume_primary(context: Any) -> None:
    context.fleet.thaw(context.primary)


@when("the answers come in time again")
def heal_answers(context: Any) -> None:
    context.fleet.set_link_mode(f"target:{context.stays}", "pass")


@when("the frozen member resumes")
def resume_member(context: Any) -> None:
    context.fleet.thaw(context.frozen)


@when("the frozen steward resumes")
def resume_steward(context: Any) -> None:
    context.fleet.thaw(context.steward)


@when("the network of the old primary heals")
def heal_primary(context: Any) -> None:
    context.fleet.set_link_mode(f"target:{context.primary}", "pass")


def stored_rows(context: Any, target: str) -> set[int]:
    """Return the rows that a member holds, read without the proxy."""
    rows = context.fleet.query(target, "SELECT id FROM entries")
    return {row[0] for row in rows}


def wait_level(context: Any, names: list[str]) -> None:
    """Wait until members have the same term and the same log end."""

    def level() -> bool:
        found = [context.fleet.probe(name) for name in names]
        ends = {(p["term"], p["received"], p["applied"]) for p in found}
        return len(ends) == 1

    wait_until(level, seconds=20, what="members to be level")


def check_members(context: Any, names: list[str]) -> None:
    context.load.stop()
    wait_level(context, names)
    for name in names:
        stored = stored_rows(context, name)
        context.load.check(stored)
        assert not stored & {-1, -2}, "an entry of the old primary remains"


@then("all members hold exactly the writes of the change and term 2")
def all_hold(context: Any) -> None:
    names = [t.name for t in context.fleet.members(GROUP)]
    check_members(context, names)
    assert {context.fleet.probe(name)["term"] for name in names} == {2}


@then("all running members hold exactly the writes of the change")
def running_hold(context: Any) -> None:
    check_members(
        context,
        [
            t.name
            for t in context.fleet.members(GROUP)
            if context.fleet.process(t.name).running
        ],
    )


@then("no write of the change ended as unknown")
def none_unknown(context: Any) -> None:
    unknown = context.load.rows("unknown", "lost")
    assert not unknown, f"unknown: {sorted(unknown)[:10]}"


@then("the group keeps one primary and its term for 3 seconds")
def keeps_primary(context: Any) -> None:
    before = context.fleet.object("group", GROUP)["value"]
    end = time.monotonic() + 3
    while time.monotonic() < end:
        names = [
            t.name
            for t in context.fleet.members(GROUP)
            if context.fleet.process(t.name).running
        ]
        found = [context.fleet.probe(name) for name in names]
        primaries = [p["target"] for p in found if p["role"] == "primary"]
        assert primaries == [before["primary"]], found
        time.sleep(0.1)
    after = context.fleet.object("group", GROUP)["value"]
    assert after == before, (before, after)


@then("for 4 seconds no write is done and stale reads are")
def no_writes_stale_reads(context: Any) -> None:
    # Writes in flight at the kill may still be confirmed by the replicas.
    time.sleep(1.0)
    start = time.monotonic()
    reader = caller_at(context.fleet, "vm-2", deadline_ms=1500)
    while time.monotonic() < start + 3:
        answer = reader.read(GROUP, "SELECT 1", staleness_ms=60_000)
        assert answer.done and answer.at_replica, answer
        time.sleep(0.1)
    done = context.load.done_since(start)
    assert not done, done[:3]


@then("for 2 seconds no write is done but what a majority held before")
def no_writes(context: Any) -> None:
    """Check all writes that were reported as done after the kill.

    Writes sent after the kill must not be among them. Earlier writes may be,
    also late; that a majority held them is checked when the frozen member is
    back and all running members must have them.
    """
    time.sleep(2.0)
    wrong = [
        record
        for record in context.load.done_since(context.killed_at)
        if record.began > context.broken_at or record.term != 1
    ]
    if wrong:
        print_late(context, wrong)
    assert not wrong, (f"killed at {context.killed_at:.3f}", wrong[:3])
    # A term won without a reachable majority would only prolong the gap.
    value = context.fleet.object("group", GROUP)["value"]
    assert (value["term"], value["primary"]) == (1, context.primary), value


@then("some of these were reported as done half a second after the kill")
def late_writes(context: Any) -> None:
    assert context.load.done_since(context.killed_at + 0.5)


def member_that_stays(context: Any) -> str:
    """Return the member that is neither killed nor frozen."""
    away = (context.primary, context.frozen)
    names = [t.name for t in context.fleet.members(GROUP)]
    return next(name for name in names if name not in away)


def print_late(context: Any, done: list[WriteRecord]) -> None:
    """Print when each write was sent, whether it is held, and the logs."""
    held = stored_rows(context, member_that_stays(context))
    for record in done:
        sent_at = (record.began - context.killed_at) * 1000
        done_at = (record.ended - context.killed_at) * 1000
        print(
            f"row {record.row}: sent {sent_at:.0f} ms, done {done_at:.0f} ms "
            f"after the kill, term {record.term}, held={record.row in held}"
        )
    for vm in context.fleet.vms:
        for line in context.fleet.process(vm).tail(4000).splitlines():
            if "event=majority_late" in line:
                print(line)


@when("the platform is slow and the way to the primary is delayed")
def slow_everything(context: Any) -> None:
    context.fleet.set_platform_faults(slow_ms=200)
    link = f"target:{context.primary}"
    context.fleet.set_link_mode(link, "delay", delay_ms=20)


@when("each VM in turn is paused for 5 seconds")
def pause_vms(context: Any) -> None:
    for name in context.fleet.vms:
        context.fleet.freeze(name)
        time.sleep(5)
        context.fleet.thaw(name)
        time.sleep(1.5)


@then("the group is still at term 1")
def still_at_one(context: Any) -> None:
    context.load.stop()
    value = context.fleet.object("group", GROUP)["value"]
    assert (value["term"], value["primary"]) == (1, context.primary), value
    terms = {
        context.fleet.probe(t.name)["term"]
        for t in context.fleet.members(GROUP)
    }
    assert terms == {1}, terms


# A VM that is cut off together with the primary.


def wait_own_writes(context: Any) -> None:
    """Wait until vm-1 writes over its own connections to the primary.

    A holder that has just started has no share of the primary's slots yet,
    and writes go to the other holders.
    """
    rows = itertools.count(1)
    caller = caller_at(context.fleet, "vm-1", deadline_ms=700)

    def done() -> bool:
        for name in ("vm-2", "vm-3"):
            context.fleet.freeze(name)
        answer = caller.write(GROUP, WRITE, [next(rows)])
        for name in ("vm-2", "vm-3"):
            context.fleet.thaw(name)
        if not answer.done:
            time.sleep(2)
        return answer.done

    wait_until(done, seconds=30, what="a write by vm-1 itself")


@when("vm-1 is cut off together with the primary")
def cut_off_vm(context: Any) -> None:
    fleet = context.fleet
    wait_own_writes(context)
    fleet.set_link_mode("platform:vm-1", "freeze")
    for name in fleet.vms:
        fleet.set_link_mode(f"peers:{name}", "cut")
    # The other VMs are on the far side of the cut. The next step does their
    # work, so they need not run.
    for name in ("vm-2", "vm-3"):
        fleet.freeze(name)
    for name in fleet.replicas(GROUP):
        fleet.set_link_mode(f"target:{name}", "cut")


def write_through(context: Any, row: int) -> CallerAnswer:
    """Write one row through vm-1, in a new session."""
    caller = caller_at(context.fleet, "vm-1", deadline_ms=600)
    return caller.write(GROUP, WRITE, [row])


@when("the other side changes its primary to term 2")
def change_by_hand(context: Any) -> None:
    fleet = context.fleet
    found = fleet.object("group", GROUP)
    value = {**found["value"], "term": 2, "primary": ""}
    fleet.put_object("group", GROUP, value)
    first, second = (fleet.targets[name] for name in fleet_others(context))
    for target in (first, second):
        call_json(target.listen, "POST", "/fence", {"term": 2})
    # Fenced targets accept nothing more from the old primary. The writes are
    # sent at once, because a holder without answers of a majority for 2 s
    # sends none.
    context.rows = set(range(501, 541))
    context.answers = in_threads(
        [partial(write_through, context, row) for row in sorted(context.rows)]
    )
    best, other = sorted(
        (first, second),
        key=lambda t: fleet.probe(t.name)["received"],
        reverse=True,
    )
    state = call_json(best.listen, "POST", "/promote", {"term": 2})
    order = {"term": 2, "primary": best.address}
    call_json(other.listen, "POST", "/follow", order)
    starts = [*value["starts"], {"term": 2, "index": state["start"]}]
    done = {**value, "primary": best.name, "starts": starts}
    fleet.put_object("group", GROUP, done)


def fleet_others(context: Any) -> list[str]:
    """Return the members that are not the old primary."""
    names = [t.name for t in context.fleet.members(GROUP)]
    return [name for name in names if name != context.primary]


@then("writes through vm-1 are not acknowledged")
def not_acknowledged(context: Any) -> None:
    """Check that no write is done, although the old primary has some.

    Forty simultaneous writes may exceed the caller's limit of waiting
    statements: a refused write must not be at any member.
    """
    answers = dict(zip(sorted(context.rows), context.answers))
    context.rows.add(541)
    answers[541] = write_through(context, 541)
    stored = stored_rows(context, context.primary) & context.rows
    for row, answer in answers.items():
        match answer.outcome:
            case "unknown":
                pass
            case "not_run" | "overloaded":
                assert row not in stored, answer
            case _:
                raise AssertionError(answer)
    assert len(stored) >= 3, "the old primary stored no write"


@when("the network of vm-1 heals")
def heal_vm(context: Any) -> None:
    fleet = context.fleet
    fleet.set_link_mode("platform:vm-1", "pass")
    for name in fleet.vms:
        fleet.set_link_mode(f"peers:{name}", "pass")
    for name in fleet_others(context):
        fleet.set_link_mode(f"target:{name}", "pass")
    for name in ("vm-2", "vm-3"):
        fleet.thaw(name)


@then("writes through vm-1 are done at term 2")
def done_through_vm(context: Any) -> None:
    caller = caller_at(context.fleet, "vm-1", deadline_ms=1000)
    rows = iter(range(601, 700))

    def done() -> bool:
        answer = caller.write(GROUP, WRITE, [next(rows)])
        return answer.done and answer.term == 2

    wait_until(done, seconds=30, what="a write at term 2")


@then("the writes that were not acknowledged are at no member")
def at_no_member(context: Any) -> None:
    names = [t.name for t in context.fleet.members(GROUP)]
    wait_level(context, names)
    for name in names:
        left = stored_rows(context, name) & context.rows
        assert not left, (name, left)
