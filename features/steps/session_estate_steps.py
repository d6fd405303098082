"""Steps with real VMs and simulated members, store and promotion service."""

from __future__ import annotations

import asyncio
from concurrent.futures import ThreadPoolExecutor
import json
import socket
import time
import urllib.request

from behave import given
from behave import then
from behave import when

from bamboospring import explain
from bamboospring.testing.session_platform import StoreFaults
from bamboospring.testing.session_soak import run_session_soak
from features.steps.session_stage import act
from features.steps.session_stage import crash
from features.steps.session_stage import SessionFleetRun


@given("an estate with {vms:d} VMs and {groups:d} groups")
def given_estate(context, vms, groups):
    context.stage = SessionFleetRun(vms, groups)
    context.add_cleanup(context.stage.close)
    context.stage.call(context.stage.fleet.start())


@given(
    "an estate with {vms:d} VMs and {groups:d} groups of {connections:d}"
    " connections"
)
def given_scarce_estate(context, vms, groups, connections):
    context.stage = SessionFleetRun(vms, groups, connections)
    context.add_cleanup(context.stage.close)
    context.stage.call(context.stage.fleet.start())


@when("{count:d} callers work for {seconds:d} s")
def when_work(context, count, seconds):
    context.stage.callers = list(range(count))
    context.stage.seconds = float(seconds)


@when("{count:d} callers write to {group} all the while")
def when_write(context, count, group):
    context.stage.writers_of += [group] * count


@when("after {after:d} s the primary of {group} crashes for {seconds:d} s")
def when_crash(context, after, group, seconds):
    act(context, after, lambda: crash(context.stage, group, seconds))


@when(
    "after {after:d} s the primary of {group} stops responding for"
    " {seconds:d} s"
)
def when_dark(context, after, group, seconds):
    stage = context.stage

    async def stop_responding():
        member = stage.fleet.primary(group)
        member.unresponsive = True
        link = stage.fleet.links[member.id]
        link.set_mode(mode="silent", direction="both", delay_ms=0)
        watch = asyncio.create_task(stage.watch_promotion(group, member.id))
        await asyncio.sleep(seconds)
        member.unresponsive = False
        link.set_mode(mode="pass", direction="both", delay_ms=0)
        await watch

    act(context, after, stop_responding)


@when("after {after:d} s the store is down for {seconds:d} s")
def when_down(context, after, seconds):
    async def down():
        context.stage.fleet.store.faults = StoreFaults(outage="busy")
        await asyncio.sleep(seconds)
        context.stage.fleet.store.faults = StoreFaults()

    act(context, after, down)


@when("after {after:d} s {vm} is terminated")
def when_stop(context, after, vm):
    stage = context.stage

    async def stop():
        stage.fleet.vms[vm].process.terminate()

    act(context, after, stop)


@when("after {after:d} s all VMs are killed and started again")
def when_killed(context, after):
    async def kill():
        for vm in context.stage.fleet.vms.values():
            vm.process.kill()
        for vm in context.stage.fleet.vms.values():
            vm.process.start()

    act(context, after, kill)


@when("after {after:d} s {names} are killed")
def when_some_killed(context, after, names):
    async def kill():
        context.stage.killed_at = time.time()
        for name in names.replace(" and ", ", ").split(", "):
            context.stage.fleet.vms[name].process.kill()
        context.stage.passed_on_at_kill = await asyncio.to_thread(
            forwarded_reads, context.stage
        )

    act(context, after, kill)


@then("reads were forwarded before and after the kill")
def then_passed_on(context):
    stage = context.stage
    times = [
        event.time
        for event in explain.read_events(all_lines(stage))
        if event.name == "answered"
        and event.fields.get("through")
        and event.fields.get("outcome") == "served"
    ]
    at = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(stage.killed_at))
    logged_before = sum(each < at for each in times)
    at_kill, at_end = stage.passed_on_at_kill, forwarded_reads(stage)
    before = sum(at_kill.values())
    after = sum(count - at_kill[vm] for vm, count in at_end.items())
    counts = (before, after, logged_before, len(times))
    assert min(before, after) >= 30, counts
    # The number of log lines is limited, so they show only some of these, with
    # their outcomes.
    assert 0 < logged_before < len(times), counts


def forwarded_reads(stage):
    """Return how many reads each running VM has forwarded.

    All VMs are asked at the same time: one after another, they would take
    seconds on a busy machine.
    """
    running = [n for n, vm in stage.fleet.vms.items() if vm.process.running]

    def count(name):
        return int(metric(stage, name, "bamboospring_reads_passed_on_total"))

    with ThreadPoolExecutor(len(running)) as pool:
        return dict(zip(running, pool.map(count, running)))


def metric(stage, vm, name):
    """Return the sum of a VM's metric over all its labels."""
    lines = metrics_of(stage, vm).splitlines()
    values = [
        float(line.rsplit(" ", 1)[1])
        for line in lines
        if line.startswith((f"{name} ", f"{name}{{"))
    ]
    assert values, name
    return sum(values)


def metrics_of(stage, vm):
    """Return a VM's metrics as text."""
    settings = json.loads(stage.fleet.vms[vm].settings.read_text())
    url = f"http://{settings['operators']}/metrics"
    with urllib.request.urlopen(url, timeout=5) as answer:
        return answer.read().decode()


@when("after {after:d} s the primary of {group} leaves")
def when_leaves(context, after, group):
    stage = context.stage

    async def leave():
        member = stage.fleet.primary(group)
        member.draining = True
        stage.fleet.checker.leaving_since[member.id] = time.monotonic() + 0.5
        await stage.watch_promotion(group, member.id)

    act(context, after, leave)


@when(
    "after {after:d} s the leader is paused for {pause:d} s and the primary"
    " of {group} crashes for {seconds:d} s"
)
def when_paused(context, after, pause, group, seconds):
    stage = context.stage

    async def pause_and_crash():
        lease = stage.fleet.store.get("groups", "lease")
        process = stage.fleet.vms[lease["vm"]].process
        process.freeze()
        crashed = asyncio.create_task(crash(stage, group, seconds))
        await asyncio.sleep(pause)
        process.thaw()
        await crashed

    act(context, after, pause_and_crash)


@when("its VM and a member are stopped")
def when_stopped(context):
    fleet = context.stage.fleet
    vm = fleet.vms["vm0"]
    member = fleet.members()[0]
    vm.process.kill()
    context.stage.loop.call_soon_threadsafe(member.stop)
    time.sleep(0.1)
    context.addresses = [vm.callers, vm.readiness, member.address]


@then("no other process can listen on their ports")
def then_ports_reserved(context):
    for address in context.addresses:
        host, _, port = address.rpartition(":")
        with socket.socket() as sock:
            try:
                sock.bind((host, int(port)))
            except OSError:
                continue
            raise AssertionError(f"{address} is free")


@when("the settings of {vm} ask for debug logs")
def when_settings(context, vm):
    path = context.stage.fleet.vms[vm].settings
    cfg = json.loads(path.read_text())
    cfg["logs"] = {"level": "debug"}
    path.write_text(json.dumps(cfg))


@then("every promise was kept")
def then_kept(context):
    context.stage.play()
    wrong = context.stage.fleet.checker.violations
    assert not wrong, "\n".join(wrong[:10])


@then("at least {percent:d} percent of the operations were served")
def then_served(context, percent):
    stage = context.stage
    stage.play()
    assert stage.served() * 100 >= percent, stage.outcomes


@then("{group} had another primary within {seconds:d} s")
def then_another(context, group, seconds):
    context.stage.play()
    after = context.stage.promoted_after.get(group)
    assert after is not None and after <= seconds, "\n".join(
        [f"after {after} s", *change_lines(context.stage.fleet)]
    )


def change_lines(fleet):
    """Return the VMs' log lines except those of statements, sorted by time."""
    lines = [
        line
        for vm in fleet.vms
        for line in fleet.read_log(vm).splitlines()
        if " event=answered " not in line and " event=target" not in line
    ]
    return sorted(lines)


@then("writes were served in {group} at the end")
def then_writes(context, group):
    stage = context.stage
    at_end = stage.sent_at_end()
    assert stage.late_writes > 0, (at_end, stage.outcomes)


@then("{vm} has exited by itself")
def then_ended(context, vm):
    process = context.stage.fleet.vms[vm].process
    until = time.monotonic() + 10
    while process.running and time.monotonic() < until:
        time.sleep(0.05)
    assert process.exit_code == 0, process.exit_code


@then("no statement was interrupted by the shutdown")
def then_uninterrupted(context):
    outcomes = context.stage.outcomes
    unfinished = "unfinished=0" in context.stage.fleet.read_log("vm1")
    assert unfinished, context.stage.fleet.read_log("vm1")[-2000:]
    bad = [k for k in outcomes if k.endswith(("INDOUBT", "TIMEOUT"))]
    assert not bad, outcomes


@then("{vm} has logged that it applied its settings within {seconds:d} s")
def then_taken(context, vm, seconds):
    context.stage.play()
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if "event=settings_taken" in context.stage.fleet.read_log(vm):
            return
        time.sleep(0.1)
    raise AssertionError(context.stage.fleet.read_log(vm)[-2000:])


@then("the metrics of {vm} count statements, waits and proofs")
def then_metrics(context, vm):
    text = metrics_of(context.stage, vm)
    for name in (
        "bamboospring_statements_total",
        "bamboospring_statement_wait_seconds_bucket",
        "db_client_operation_duration_seconds_bucket",
        "bamboospring_proof_age_seconds",
        "bamboospring_platform_calls_total",
    ):
        assert name in text, text[:2000]


def all_lines(stage):
    return [
        line
        for vm in stage.fleet.vms
        for line in stage.fleet.read_log(vm).splitlines()
    ]


@then("the trace of a refused write names the change of its primary")
def then_trace(context):
    context.stage.play()
    events = explain.read_events(all_lines(context.stage))
    refused = [
        event
        for event in events
        if event.name == "answered"
        and event.fields.get("outcome") == "not_run"
        and event.fields.get("group") == "group0"
    ]
    assert refused, len(events)
    traces = [
        explain.describe_request(events, each.fields["trace"])
        for each in refused
    ]
    text = "\n".join(traces[0])
    assert any("change_begun" in "\n".join(s) for s in traces), text


@then("the trace of a change names its steps in order")
def then_change(context):
    events = explain.read_events(all_lines(context.stage))
    text = "\n".join(explain.describe_group(events, "group0"))
    places = [
        text.find(step)
        for step in ("change_begun", "promotion_ordered", "change_ended")
    ]
    assert -1 not in places and places == sorted(places), text


@when("sessions and faults run for {seconds:d} s with seed {seed:d}")
def when_soak(context, seconds, seed):
    context.result = asyncio.run(run_session_soak(seed=seed, seconds=seconds))
    print("faults:", "; ".join(context.result.history))
    print("outcomes:", context.result.outcomes)


@when(
    "sessions, faults and returns of the store run for {seconds:d} s with "
    "seed {seed:d}"
)
def when_returns(context, seconds, seed):
    context.result = asyncio.run(
        run_session_soak(seed=seed, seconds=seconds, restore_store=True)
    )
    print("faults:", "; ".join(context.result.history))
    print("outcomes:", context.result.outcomes)


@when(
    "sessions and faults run with load control for {seconds:d} s with seed "
    "{seed:d}"
)
def when_load_control_soak(context, seconds, seed):
    context.result = asyncio.run(
        run_session_soak(seed=seed, seconds=seconds, load_control=True)
    )
    print("faults:", "; ".join(context.result.history))
    print("outcomes:", context.result.outcomes)


@when(
    "sessions, faults and stops in series run for {seconds:d} s with seed "
    "{seed:d}"
)
def when_stops_soak(context, seconds, seed):
    context.result = asyncio.run(
        run_session_soak(seed=seed, seconds=seconds, stops=True)
    )
    print("faults:", "; ".join(context.result.history))
    print("outcomes:", context.result.outcomes)


@when(
    "sessions run for {seconds:d} s with seed {seed:d} while members are"
    " replaced behind cuts"
)
def when_members_soak(context, seconds, seed):
    context.result = asyncio.run(
        run_session_soak(seed=seed, seconds=seconds, vms=4, members=True)
    )
    print("faults:", "; ".join(context.result.history))
    print("outcomes:", context.result.outcomes)


@then("the session soak finds nothing wrong")
def then_sound(context):
    assert not context.result.violations, "\n".join(
        context.result.violations[:20]
    )
