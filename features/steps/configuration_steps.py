"""Steps of configuration.feature."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import json
import threading
import time
from typing import Any

from behave import given
from behave import then
from behave import when
import configuration_properties
from configuration_support import BackgroundLoad
from configuration_support import GROUP
from configuration_support import Operator
from configuration_support import run_table_command
from configuration_support import same_shard_names
from configuration_support import start_fleet
from configuration_support import TableVersionObserver
import editor_properties

from bamboospring.blackboard import Vm
from bamboospring.rendezvous import choose_platform_watchers
from bamboospring.rendezvous import shard_of
from bamboospring.table_editor import Verdict
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until

SHARD = shard_of(GROUP)
IN_FORCE_SECONDS = 8.0


def read_history(context: Any) -> list[dict[str, Any]]:
    operator = Operator(fleet=context.fleet, vm="vm-1")
    changes = operator.call("GET", f"/table/history?group={GROUP}")
    return list(changes)


@given("a fleet of {count:d} VMs for operators")
def given_operators(context: Any, count: int) -> None:
    start_fleet(context, vms=count)


@given("a fleet of {count:d} VMs whose versions in force are observed")
def given_observed(context: Any, count: int) -> None:
    fleet = start_fleet(context, vms=count)
    context.observer = TableVersionObserver(fleet)
    context.add_cleanup(context.observer.stop)
    context.edits = []
    context.turn = 0


# Races.


def race(context: Any, edits: list[tuple[Operator, str, int, int]]) -> Any:
    """Send edits at the same moment and return their reports in order."""
    barrier = threading.Barrier(len(edits))

    def send(operator: Operator, group: str, slots: int, seen: int) -> Any:
        barrier.wait()
        cells = {"max_slots": slots}
        return operator.edit(group, cells, if_version=seen)

    with ThreadPoolExecutor(len(edits)) as pool:
        futures = [pool.submit(send, *edit) for edit in edits]
        return [future.result() for future in futures]


@when("two operators race on the same cell {count:d} times")
def when_same_cell(context: Any, count: int) -> None:
    ana = Operator(fleet=context.fleet, vm="vm-1", name="ana")
    bo = Operator(fleet=context.fleet, vm="vm-2", name="bo")
    context.races = []
    for _ in range(count):
        # Both values differ from the row, so that both edits change it.
        row = ana.row(GROUP)
        seen = row["version"]
        first, second = {1: (2, 3), 2: (3, 1)}.get(row["max_slots"], (1, 2))
        context.races.append(
            race(
                context,
                [(ana, GROUP, first, seen), (bo, GROUP, second, seen)],
            )
        )


@then("in each race one edit is accepted and the other overtaken")
def then_one_accepted(context: Any) -> None:
    for reports in context.races:
        verdicts = sorted(report["verdict"] for report in reports)
        assert verdicts == ["accepted", "overtaken"], reports


@then("each loser is shown the winner's change")
def then_loser_sees_change(context: Any) -> None:
    for reports in context.races:
        winner, loser = sorted(reports, key=lambda r: r["verdict"])
        (conflict,) = loser["conflicts"]
        assert [c["id"] for c in conflict["changes"]] == [winner["id"]]
        (cell,) = [
            cell for cell in winner["cells"] if cell["column"] == "max_slots"
        ]
        assert conflict["row"]["max_slots"] == cell["after"], conflict


@then("the history holds the {count:d} accepted edits and no other")
def then_history(context: Any, count: int) -> None:
    accepted = {
        report["id"]
        for reports in context.races
        for report in reports
        if report["verdict"] == "accepted"
    }
    assert len(accepted) == count
    assert {change["id"] for change in read_history(context)} == accepted


@when("two operators race on different rows of one shard {count:d} times")
def when_different_rows(context: Any, count: int) -> None:
    (other,) = same_shard_names(GROUP, 1)
    value = context.fleet.object("group", GROUP)["value"]
    context.fleet.put_object("group", other, value)
    ana = Operator(fleet=context.fleet, vm="vm-1", name="ana")
    bo = Operator(fleet=context.fleet, vm="vm-2", name="bo")
    context.other = other
    context.races = []
    versions = [0, 0]
    for number in range(count):
        slots = 1 + number % 2
        reports = race(
            context,
            [
                (ana, GROUP, slots, versions[0]),
                (bo, other, slots, versions[1]),
            ],
        )
        context.races.append(reports)
        versions = [max(r["versions"].values(), default=0) for r in reports]
    context.last_slots = slots


@then("all {count:d} edits of the races are accepted")
def then_all_accepted(context: Any, count: int) -> None:
    reports = [report for reports in context.races for report in reports]
    assert len(reports) == count
    for report in reports:
        assert report["verdict"] == "accepted", report


@then("both rows hold the last edit of their operator")
def then_both_rows(context: Any) -> None:
    operator = Operator(fleet=context.fleet, vm="vm-3")
    for group in (GROUP, context.other):
        assert operator.row(group)["max_slots"] == context.last_slots


# Lost answers and outages.


def edit_slots(context: Any) -> None:
    operator = Operator(fleet=context.fleet, vm="vm-1")
    context.report = operator.edit(GROUP, {"max_slots": 2}, if_version=0)


@when("an operator edits a row and the platform's answer is lost")
def when_answer_lost(context: Any) -> None:
    context.fleet.set_platform_faults(lose_answers=1, lose_kind="table")
    edit_slots(context)


@when(
    "an operator edits a row, the answer is lost and {seconds:d} s of outage "
    "follow"
)
def when_lost_and_outage(context: Any, seconds: int) -> None:
    # The answer is lost, and the outage starts before the read that follows.
    fleet = context.fleet
    fleet.set_platform_faults(slow_ms=300)
    worker = threading.Thread(target=edit_slots, args=(context,))
    worker.start()
    wait_until(
        lambda: fleet.counters("platform")["writes"].get("edit"),
        seconds=10,
        what="the update is under way",
    )
    fleet.set_platform_faults(lose_answers=1, lose_kind="table")
    wait_until(
        lambda: stored_version(context) == 1,
        seconds=10,
        what="the update is stored",
    )
    fleet.set_platform_faults(outage="refuse", slow_ms=0)
    time.sleep(seconds)
    assert not hasattr(context, "report"), context.report
    fleet.set_platform_faults(outage="none")
    worker.join(30)


def stored_version(context: Any) -> int:
    version = context.fleet.object("table", str(SHARD))["version"]
    return int(version)


@when("an operator edits a row while the platform is down")
def when_edit_in_outage(context: Any) -> None:
    context.fleet.set_platform_faults(outage="refuse")
    edit_slots(context)
    context.fleet.set_platform_faults(outage="none")


@then("the operator is told that the edit is accepted")
def then_told_accepted(context: Any) -> None:
    assert context.report["verdict"] == "accepted", context.report
    assert context.report["versions"] == {str(SHARD): 1}, context.report


@then("the history holds the edit once")
def then_edit_stored_once(context: Any) -> None:
    ids = [change["id"] for change in read_history(context)]
    assert ids == [context.report["id"]], ids
    assert stored_version(context) == 1


@then("the operator is told that the platform is unavailable")
def then_unavailable(context: Any) -> None:
    assert context.report["verdict"] == "unavailable", context.report


@then("the row is as it was")
def then_row_unchanged(context: Any) -> None:
    operator = Operator(fleet=context.fleet, vm="vm-2")
    row = wait_until(
        lambda: operator.row(GROUP), seconds=10, what="the table is read"
    )
    assert row["max_slots"] == 0 and row["version"] == 0, row


# Checks.


@then("these edits are refused with their cells named")
def then_refused(context: Any) -> None:
    for line in context.table:
        done = run_table_command(
            context.fleet, "vm-1", "set", GROUP, line["cells"]
        )
        assert done.returncode == 1, (line["cells"], done)
        assert f"row {GROUP}, column {line['column']}" in done.stderr, done
        assert line["message"] in done.stderr, (line["cells"], done.stderr)


@then("an edit of an unknown group is refused with its row named")
def then_unknown_group(context: Any) -> None:
    done = run_table_command(
        context.fleet, "vm-1", "set", "nowhere", "max_slots=1"
    )
    assert done.returncode == 1, done
    assert "row nowhere" in done.stderr and "no such group" in done.stderr


@then("a file with a bad cell is refused with its line")
def then_bad_file(context: Any) -> None:
    path = context.fleet.directory / "rows.json5"
    text = '{\n  // a comment\n  "%s": {\n    "max_slots": 99,\n  },\n}\n'
    path.write_text(text % GROUP)
    done = run_table_command(context.fleet, "vm-1", "apply", str(path))
    assert done.returncode == 1, done
    assert f"{path}:4:" in done.stderr, done.stderr


@then("an edit that sends work only to a target that is down is refused")
def then_target_down(context: Any) -> None:
    fleet = context.fleet
    (target,) = [
        target.name for target in fleet.members(GROUP) if target.site == "new"
    ]
    fleet.kill(target)
    done = run_table_command(
        fleet, "vm-1", "set", GROUP, "read_weights={new:100}"
    )
    assert done.returncode == 1, done
    assert "answers" in done.stderr and target in done.stderr, done.stderr


# In force.


@when("an operator makes {count:d} edits through changing VMs")
def when_edits(context: Any, count: int) -> None:
    names = [
        name
        for name in context.fleet.vms
        if name not in getattr(context, "away", ())
    ]
    for _ in range(count):
        context.turn += 1
        vm = names[context.turn % len(names)]
        operator = Operator(fleet=context.fleet, vm=vm)
        report = operator.edit_accepted(GROUP, max_staleness_ms=context.turn)
        context.edits.append(max(report["versions"].values()))
        context.observer.wait_in_force(
            SHARD, context.edits[-1], names, IN_FORCE_SECONDS
        )


@then("each was in force on all VMs within 8 s")
def then_in_force(context: Any) -> None:
    # The step that makes the edits fails if one takes longer.
    assert context.edits == list(range(1, len(context.edits) + 1))


@then("no VM ever went back to a lower version")
def then_no_regression(context: Any) -> None:
    # Takes more samples, because an old version could still be in transit.
    enough = context.observer.samples + 20 * len(context.fleet.vms)
    wait_until(
        lambda: context.observer.samples >= enough,
        seconds=30,
        what="more samples of the versions in force",
    )
    context.observer.stop()
    assert context.observer.regressions == [], context.observer.regressions


@when("the answers of the platform to one watcher are held back")
def when_held_back(context: Any) -> None:
    context.watcher = platform_watchers(context.fleet)[0]
    context.away = [context.watcher]
    context.fleet.set_link_mode(
        f"platform:{context.watcher}", mode="freeze", direction="to_client"
    )


@when("all connections to the platform go silent and an edit is stored there")
def when_silent(context: Any) -> None:
    fleet = context.fleet
    for name in fleet.vms:
        fleet.set_link_mode(f"platform:{name}", mode="silent")
    value = fleet.object("table", str(SHARD))["value"]
    context.edits.append(fleet.put_object("table", str(SHARD), value))


@when("another VM is frozen")
def when_frozen(context: Any) -> None:
    context.frozen, context.restarted = unaffected_vms(context)[:2]
    context.away.append(context.frozen)
    context.fleet.freeze(context.frozen)


@when("the platform goes down")
def when_platform_down(context: Any) -> None:
    context.fleet.set_platform_faults(outage="refuse")


@when("the frozen VM wakes and a third VM is killed and started again")
def when_wakes(context: Any) -> None:
    fleet = context.fleet
    fleet.kill(context.restarted)
    add_seeds(fleet, context.restarted)
    fleet.thaw(context.frozen)
    fleet.restart(context.restarted)


def platform_watchers(fleet: Fleet) -> list[str]:
    """Return the VMs that watch the platform for the whole fleet."""
    vms = [
        Vm(
            name=vm.name,
            address=vm.peers,
            availability_zone=vm.zone,
            region=fleet.topology.region,
        )
        for vm in fleet.vms.values()
    ]
    return [vm.name for vm in choose_platform_watchers(vms)]


def unaffected_vms(context: Any) -> list[str]:
    """Return the VMs that no fault was applied to."""
    return [name for name in context.fleet.vms if name not in context.away]


def add_seeds(fleet: Fleet, vm: str) -> None:
    """Add the addresses of all other VMs to a VM's settings."""
    path = fleet.directory / f"{vm}.json"
    settings = json.loads(path.read_text())
    seeds = [other.peers for other in fleet.vms.values() if other.name != vm]
    settings["peers"]["seeds"] = seeds
    path.write_text(json.dumps(settings))


@when("the answers held back arrive")
def when_arrive(context: Any) -> None:
    context.fleet.set_link_mode(f"platform:{context.watcher}", mode="pass")


@then("the last edit is in force on all VMs within {seconds:d} s")
def then_last_in_force(context: Any, seconds: int) -> None:
    last = context.edits[-1]
    names = list(context.fleet.vms)
    context.observer.wait_in_force(SHARD, last, names, seconds)
    # The observer also counts earlier samples, so each VM is queried again.
    for name in names:
        operator = Operator(fleet=context.fleet, vm=name)
        wait_until(
            lambda: operator.in_force()["shards"][str(SHARD)] >= last,
            seconds=seconds,
            what=f"version {last} in force at {name}",
        )


# Load.


@given("a fleet of {count:d} VMs under load")
def given_load(context: Any, count: int) -> None:
    fleet = start_fleet(context, vms=count)
    context.load = BackgroundLoad(fleet=fleet).start()
    context.add_cleanup(context.load.stop)


@when("the weight of reads shifts from the old site to the new in 4 steps")
def when_shift(context: Any) -> None:
    operator = Operator(fleet=context.fleet, vm="vm-1")
    for new in (25, 50, 75, 100):
        weights = {"old": 100 - new, "new": new}
        operator.edit_accepted(GROUP, read_weights=weights)
        time.sleep(1.0)


@when("the weight of writes shifts from the old site to the new")
def when_writes_shift(context: Any) -> None:
    time.sleep(1)
    operator = Operator(fleet=context.fleet, vm="vm-1")
    operator.edit_accepted(GROUP, write_weights={"old": 0, "new": 100})


@then("within {seconds:d} s the primary is at the new site")
def then_primary_moved(context: Any, seconds: int) -> None:
    fleet = context.fleet
    sites = {target.name: target.site for target in fleet.members(GROUP)}

    def moved() -> bool:
        value = fleet.object("group", GROUP)["value"]
        return sites.get(value["primary"]) == "new"

    wait_until(moved, seconds=seconds, what="a primary at the new site")
    time.sleep(2)


@then("no request of the load was cut")
def then_no_failures(context: Any) -> None:
    context.load.stop()
    assert context.load.failures == [], context.load.failures[:10]
    assert context.load.done > 100 and context.load.transactions > 10


@then("reads of sessions without writes are served at the new site")
def then_new_site(context: Any) -> None:
    fleet = context.fleet
    sites = {target.name: target.site for target in fleet.members(GROUP)}
    before = {name: executed_count(fleet, name) for name in sites}
    for at in range(30):
        caller = Caller(entries=fleet.entries(), entry_index=at)
        answer = caller.read(GROUP, "SELECT 1", staleness_ms=5000)
        assert answer.done, answer
    served = {
        name: executed_count(fleet, name) - before[name]
        for name, site in sites.items()
        if site == "old"
    }
    assert sum(served.values()) == 0, served


def executed_count(fleet: Any, name: str) -> int:
    return int(fleet.counters(name)["executed"])


# Generated runs.


@then("in {count:d} generated runs no version ever falls at a live process")
def then_monotonic(context: Any, count: int) -> None:
    configuration_properties.check_spread(runs=count)


@then("after each run with all faults over every process has every edit")
def then_converges(context: Any) -> None:
    # The runs of the step before check this at their end.
    assert configuration_properties.converged_runs > 0


@then("in {count:d} generated races every report is true in the end")
def then_reports_true(context: Any, count: int) -> None:
    editor_properties.check_edits(runs=count)


@then("an edit found stored is accepted while the group is not answered")
def then_accepted_when_read_back(context: Any) -> None:
    report = editor_properties.report_when_read_back()
    assert report.verdict is Verdict.ACCEPTED, report
