"""Steps of regions.feature."""

from __future__ import annotations

import itertools
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from configuration_support import Operator
from fleet_support import caller_at
from fleet_support import GROUP
from fleet_support import start_fleet
from primary_change_steps import leader_of
from primary_change_steps import stored_rows
from primary_change_steps import wait_level
from primary_change_support import ChangeLoad

from bamboospring.blackboard import Vm
from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import choose_candidates
from bamboospring.rendezvous import shard_of
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import LOCAL_REGION_ADDRESS
from bamboospring.testing.fleet import REMOTE_REGION_ADDRESS
from bamboospring.testing.fleet import wait_until

WRITE = "INSERT INTO entries VALUES (?, 'x')"
FAR_VMS = ("vm-4", "vm-5", "vm-6")
FAR_ROWS = 1_000_000
PROBE_ROWS = 2_000_000
# Much longer than the time without answers that the test waits for, so that an
# answer within it is a refusal and not a timeout.
DEADLINE_MS = 20_000
DIRECTIONS = {
    "everything": ("both", "both"),
    "what the far region sends": ("to_upstream", "to_client"),
    "what the near region sends": ("to_client", "to_upstream"),
}


@given("two regions under writes, the primary is {place}")
def two_regions(context: Any, place: str) -> None:
    # The fleet makes the first member primary.
    far_target = f"{GROUP}-m1" if place == "far" else f"{GROUP}-m3"
    fleet = start_fleet(context, vms=6, remote_names=(*FAR_VMS, far_target))
    context.primary = fleet.primary(GROUP)
    context.far_target = far_target
    context.rows = itertools.count(PROBE_ROWS)
    context.not_run = set()
    wait_until(leader_of(context), seconds=20, what="a steward")
    context.near = load_at(context, near_vms(fleet), 1)
    context.far = load_at(context, list(FAR_VMS), FAR_ROWS)
    for load in (context.near, context.far):
        wait_until(
            lambda load=load: len(load.rows("done")) > 50,
            seconds=30,
            what="writes in both regions",
        )


def near_vms(fleet: Any) -> list[str]:
    return [name for name in fleet.vms if name not in FAR_VMS]


def load_at(context: Any, vms: list[str], first_row: int) -> ChangeLoad:
    entries = [context.fleet.vms[name].entry for name in vms]
    load = ChangeLoad(
        context.fleet, threads=2, entries=entries, first_row=first_row
    )
    context.add_cleanup(load.stop)
    return load


def set_links(context: Any, mode: str, lost: str) -> None:
    """Set all links between the regions, from the connecting side."""
    fleet = context.fleet
    by_far, by_near = DIRECTIONS[lost]
    links = {f"target:{name}": name for name in fleet.targets}
    links |= {f"peers:{name}": name for name in fleet.vms}
    for link, name in links.items():
        is_remote = name in fleet.topology.remote_names
        fleet.set_link_mode(
            link,
            mode,
            direction=by_near if is_remote else by_far,
            source=(
                LOCAL_REGION_ADDRESS if is_remote else REMOTE_REGION_ADDRESS
            ),
        )
    for name in FAR_VMS:
        fleet.set_link_mode(f"platform:{name}", mode, direction=by_far)


@when("the lease goes to the near region's only holder")
def lease_to_holder(context: Any) -> None:
    fleet = context.fleet
    (holder,) = set(fleet.holders(GROUP)) - set(FAR_VMS)
    leader = leader_of(context)
    for name in candidates(fleet):
        if name != holder:
            fleet.freeze(name)
    wait_until(lambda: leader() == holder, seconds=20, what="the lease")
    for name in candidates(fleet):
        fleet.thaw(name)


def candidates(fleet: Any) -> list[str]:
    """Return the VMs that may lead the group."""
    vms = [
        Vm(
            name=vm.name,
            address=vm.peers,
            availability_zone=vm.zone,
            region=fleet.topology.region_of(vm.name),
        )
        for vm in fleet.vms.values()
    ]
    return [vm.name for vm in choose_candidates(bucket_of(GROUP), vms)]


@when("{lost} between the regions is lost")
def cut_regions(context: Any, lost: str) -> None:
    context.lost = lost
    set_links(context, "freeze", lost)
    context.cut_at = time.monotonic()


@when("the regions reach each other again")
def heal_regions(context: Any) -> None:
    set_links(context, "pass", context.lost)


@then("the near region goes on writing")
def near_goes_on(context: Any) -> None:
    term = 1 if context.far_target != context.primary else 2

    def fresh() -> bool:
        found = context.near.done_since(context.cut_at)
        return sum(record.term >= term for record in found) > 50

    wait_until(fresh, seconds=40, what="writes in the near region")


@then("the far region refuses writes at once for want of a majority")
def far_refuses(context: Any) -> None:
    for vm in FAR_VMS:
        caller = caller_at(context.fleet, vm, deadline_ms=DEADLINE_MS)
        wait_until(
            lambda caller=caller: refuses(context, caller),
            seconds=DEADLINE_MS / 1000,
            what=f"a refusal through {vm}",
        )


def refuses(context: Any, caller: Caller) -> bool:
    """Write once; the first writes may be in flight when the links fail."""
    row = next(context.rows)
    answer = caller.write(GROUP, WRITE, [row])
    assert answer.outcome in ("not_run", "unknown"), answer
    if answer.outcome == "not_run":
        context.not_run.add(row)
    return answer.reason == "no_majority" and row in context.not_run


@then("the far region reads what is old enough only")
def far_reads(context: Any) -> None:
    for vm in FAR_VMS:
        reader = caller_at(context.fleet, vm, deadline_ms=3000)
        old = reader.read(GROUP, "SELECT 1", staleness_ms=120_000)
        assert old.done and old.target == context.far_target, old
        reader.deadline_ms = 500
        new = reader.read(GROUP, "SELECT 1", staleness_ms=100)
        assert not new.done, new


@then("the far region reads nothing")
def far_reads_nothing(context: Any) -> None:
    def follows() -> bool:
        return context.fleet.probe(context.far_target)["term"] == 2

    wait_until(follows, seconds=20, what="the old primary to follow")
    for vm in FAR_VMS:
        reader = caller_at(context.fleet, vm, deadline_ms=500)
        answer = reader.read(GROUP, "SELECT 1", staleness_ms=120_000)
        assert not answer.done, (answer, far_views(context))


def far_views(context: Any) -> dict[str, Any]:
    """Return the far target's own state, and what the far VMs know of it."""
    views: dict[str, Any] = {
        context.far_target: context.fleet.probe(context.far_target)
    }
    for vm in FAR_VMS:
        status = Operator(fleet=context.fleet, vm=vm).call(
            "GET", "/status.json"
        )
        views[vm] = status["groups"].get(GROUP, "not a holder")
    return views


@when("an operator edits the table in the near region")
def edit_near(context: Any) -> None:
    operator = Operator(fleet=context.fleet, vm="vm-1")
    report = operator.edit_accepted(GROUP, max_staleness_ms=90_000)
    context.version = max(report["versions"].values())


@then("writes are done in both regions at one term")
def done_in_both(context: Any) -> None:
    def at_one_term() -> bool:
        loads = (context.near, context.far)
        found = [load.records[-20:] for load in loads]
        done = all(r.outcome == "done" for each in found for r in each)
        return done and len({r.term for each in found for r in each}) == 1

    wait_until(at_one_term, seconds=40, what="writes in both regions")
    value = context.fleet.object("group", GROUP)["value"]
    probes = [context.fleet.probe(name) for name in context.fleet.targets]
    primaries = [p["target"] for p in probes if p["role"] == "primary"]
    assert primaries == [value["primary"]], probes


@then("the edit is in force in both regions")
def edit_in_force(context: Any) -> None:
    shard = str(shard_of(GROUP))

    def everywhere() -> bool:
        found = [
            Operator(fleet=context.fleet, vm=vm).in_force()["shards"][shard]
            for vm in context.fleet.vms
        ]
        return all(version >= context.version for version in found)

    wait_until(everywhere, seconds=30, what="the edit in both regions")


@then("all members hold exactly the writes of both regions")
def all_hold(context: Any) -> None:
    for load in (context.near, context.far):
        load.stop()
    names = list(context.fleet.targets)
    wait_level(context, names)
    for name in names:
        stored = stored_rows(context, name)
        assert not stored & context.not_run, "reported as not run, but stored"
        context.near.check({row for row in stored if row < FAR_ROWS})
        context.far.check(
            {row for row in stored if FAR_ROWS <= row < PROBE_ROWS}
        )
