"""Steps of double_faults.feature."""

from __future__ import annotations

import itertools
import time
from typing import Any

from behave import then
from behave import when
from configuration_support import Operator
from fleet_support import caller_at
from fleet_support import GROUP
from primary_change_steps import break_primary
from primary_change_steps import leader_of
from primary_change_steps import platform_down

from bamboospring.rendezvous import shard_of
from bamboospring.testing.fleet import wait_until

WRITE = "INSERT INTO entries VALUES (?, 'x')"
# Less than the probe timeout of a change, and long enough to observe a won
# term before its winner receives the answer.
LATE_MS = 700
OWN_ROWS = 2_000_000


def group_value(context: Any) -> dict[str, Any]:
    value: dict[str, Any] = context.fleet.object("group", GROUP)["value"]
    return value


def won_without_primary(context: Any) -> bool:
    value = group_value(context)
    return value["term"] > 1 and not value["primary"]


@when("the platform's answers to the steward are late")
def answers_late(context: Any) -> None:
    context.late = f"platform:{leader_of(context)()}"
    context.fleet.set_link_mode(
        context.late, "delay", direction="to_client", delay_ms=LATE_MS
    )


@when("the platform's answers are late no more")
def answers_at_once(context: Any) -> None:
    context.fleet.set_link_mode(context.late, "pass")


@when("the steward is killed once a term without a primary is stored")
def kill_steward_midway(context: Any) -> None:
    wait_until(
        lambda: won_without_primary(context),
        seconds=30,
        what="a term without a primary",
    )
    # The nonce of the update that won the term starts with its VM's name.
    steward = group_value(context)["steward"].split("/")[0]
    context.fleet.kill(steward)


@when("the platform goes down, then the primary and the steward die")
def kill_both(context: Any) -> None:
    steward = leader_of(context)()
    platform_down(context)
    context.fleet.kill(context.primary)
    context.fleet.kill(steward)
    break_primary(context)


@when("the new primary is killed as soon as it is promoted")
def kill_successor(context: Any) -> None:
    others = [t.name for t in context.fleet.members(GROUP)]
    others.remove(context.primary)

    def promoted() -> str:
        for name in others:
            if context.fleet.probe(name)["role"] == "primary":
                return name
        return ""

    context.successor = wait_until(promoted, seconds=30, what="a new primary")
    context.fleet.kill(context.successor)
    break_primary(context)


@then("the group has no primary that takes writes")
def no_primary(context: Any) -> None:
    check_no_writes(context, seconds=2.0)


@then("no write is done while the platform is down")
def no_writes_in_outage(context: Any) -> None:
    check_no_writes(context, seconds=4.0)


def check_no_writes(context: Any, seconds: float) -> None:
    # Writes in flight at the kill may still be confirmed.
    time.sleep(1.0)
    start = time.monotonic()
    time.sleep(seconds)
    done = context.load.done_since(start)
    assert not done, done[:3]


@when("an operator edits the table once a term without a primary is stored")
def edit_midway(context: Any) -> None:
    wait_until(
        lambda: won_without_primary(context),
        seconds=30,
        what="a term without a primary",
    )
    steward = group_value(context)["steward"].split("/")[0]
    context.editor = next(vm for vm in context.fleet.vms if vm != steward)
    operator = Operator(fleet=context.fleet, vm=context.editor)
    report = operator.edit_accepted(GROUP, max_staleness_ms=45_000)
    context.version = max(report["versions"].values())


@then("the edit made in the change is in force everywhere")
def edit_in_force(context: Any) -> None:
    shard = str(shard_of(GROUP))

    def everywhere() -> bool:
        found = [
            Operator(fleet=context.fleet, vm=vm).in_force()["shards"][shard]
            for vm in context.fleet.vms
        ]
        return all(version >= context.version for version in found)

    wait_until(everywhere, seconds=20, what="the edit everywhere")


@then("no term has had two primaries")
def one_primary_each(context: Any) -> None:
    """Check that each recorded term has exactly one start."""
    terms = [start["term"] for start in group_value(context)["starts"]]
    assert terms == sorted(set(terms)), terms
    probes = [
        context.fleet.probe(target.name)
        for target in context.fleet.members(GROUP)
        if context.fleet.process(target.name).running
    ]
    primaries = [p["target"] for p in probes if p["role"] == "primary"]
    assert primaries == [group_value(context)["primary"]], probes


def edit_targets(context: Any, names: list[str]) -> None:
    """Store other targets of the group, with retries on conflicts."""
    every = context.every_target

    def stored() -> bool:
        value = group_value(context)
        value["targets"] = [t for t in every if t["name"] in names]
        context.fleet.put_object("group", GROUP, value)
        return True

    wait_until(stored, seconds=10, what="the edit to be stored")


@when("the dead primary is removed once a term without a primary is stored")
def remove_midway(context: Any) -> None:
    wait_until(
        lambda: won_without_primary(context),
        seconds=30,
        what="a term without a primary",
    )
    context.every_target = group_value(context)["targets"]
    names = [t["name"] for t in context.every_target]
    edit_targets(context, [n for n in names if n != context.primary])


@when("only the primary is left of the group's targets")
def leave_one(context: Any) -> None:
    context.every_target = group_value(context)["targets"]
    edit_targets(context, [group_value(context)["primary"]])


@when("the group has all its targets again")
def all_again(context: Any) -> None:
    edit_targets(context, [t["name"] for t in context.every_target])
    break_primary(context)


@then("no write is done and no term is won for 2 seconds")
def nothing_for_a_while(context: Any) -> None:
    before = group_value(context)
    check_no_writes(context, seconds=1.0)
    assert group_value(context)["term"] == before["term"]


@when("most targets follow a primary that the platform does not know")
def move_on_unseen(context: Any) -> None:
    fleet = context.fleet
    members = [target.name for target in fleet.members(GROUP)]
    successor = next(name for name in members if name != context.primary)
    fleet.change_primary(GROUP, successor, without=[context.primary])


@then("each VM refuses writes as not run")
def each_refuses(context: Any) -> None:
    context.numbers = itertools.count(OWN_ROWS)
    for vm in context.fleet.vms:
        caller = caller_at(context.fleet, vm, deadline_ms=700)
        wait_until(
            lambda caller=caller: refused(context, caller),
            seconds=20,
            what=f"a refusal through {vm}",
        )


def refused(context: Any, caller: Any) -> bool:
    answer = caller.write(GROUP, WRITE, [next(context.numbers)])
    assert not answer.done, answer
    return bool(answer.outcome == "not_run")


@then("the old primary takes none of them")
def old_takes_none(context: Any) -> None:
    before = context.fleet.probe(context.primary)["received"]
    for vm in context.fleet.vms:
        caller = caller_at(context.fleet, vm, deadline_ms=700)
        answer = caller.write(GROUP, WRITE, [next(context.numbers)])
        assert answer.outcome == "not_run", answer
    assert context.fleet.probe(context.primary)["received"] == before
