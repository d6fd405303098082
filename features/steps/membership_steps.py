"""Steps of membership.feature."""

from __future__ import annotations

import http.client
import threading
import time
from typing import Any

from behave import given
from behave import then
from behave import when
from configuration_support import BackgroundLoad
from configuration_support import GROUP
from configuration_support import Operator
from configuration_support import start_fleet
import membership_properties

from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm
from bamboospring.rendezvous import choose_holders
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until
from features.steps.drain_worlds import explore_drains

LIST_LAG_MS = 1000
# Much longer than the shutdown of a VM with short transactions.
SHUTDOWN_SECONDS = 30.0
DRAIN = {"drain_notice_ms": 2500, "drain_idle_ms": 1500}
# The balancer polls rarely and transactions are long, so that a shutdown that
# does not wait for both is detected.
BALANCER_SECONDS = 1.0
HOLD_SECONDS = 0.7


class Balancer:
    """Maintains the list of ready entries, like a load balancer.

    It polls each VM periodically and offers only ready ones to callers.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.entries = fleet.entries()
        self._fleet = fleet
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self._stop.set()
        self._thread.join(5)

    def _run(self) -> None:
        while not self._stop.wait(BALANCER_SECONDS):
            ready = [
                vm.entry
                for vm in self._fleet.vms.values()
                if is_ready(vm.operators_listen)
            ]
            # Changed in place, because callers use this list.
            if ready:
                self.entries[:] = ready


def is_ready(address: str) -> bool:
    """Return whether a VM reports readiness."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=1)
    try:
        conn.request("GET", "/readyz")
        return conn.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        conn.close()


@given("a fleet of {count:d} VMs for membership")
def given_fleet(context: Any, count: int) -> None:
    start_fleet(
        context, vms=count, settings={"timing": DRAIN}, lag_ms=LIST_LAG_MS
    )


@given("a fleet of {count:d} VMs under load for membership")
def given_load(context: Any, count: int) -> None:
    given_fleet(context, count)
    balancer = Balancer(context.fleet)
    context.add_cleanup(balancer.stop)
    context.load = BackgroundLoad(
        fleet=context.fleet,
        entries=balancer.entries,
        hold_seconds=HOLD_SECONDS,
    ).start()
    context.add_cleanup(context.load.stop)
    time.sleep(1)


@then("no request of the membership load was cut")
def then_not_cut(context: Any) -> None:
    time.sleep(1)
    context.load.stop()
    assert context.load.failures == [], context.load.failures[:10]
    assert context.load.done > 100 and context.load.transactions > 3


# Leaving targets


@when("an operator names a replica as leaving")
def when_replica_leaves(context: Any) -> None:
    context.replica = context.fleet.replicas(GROUP)[0]
    operator = Operator(fleet=context.fleet, vm="vm-1")
    operator.edit_accepted(GROUP, leaving_targets=[context.replica])


@then("after {seconds:d} s the replica gets no more statements")
def then_no_statements(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    before = context.fleet.counters(context.replica)["executed"]
    assert before > 0, "the replica had no work in the first place"
    done = context.load.done
    time.sleep(2)
    after = context.fleet.counters(context.replica)["executed"]
    assert after == before, (before, after)
    assert context.load.done > done + 20


# Leaving VMs


def holders(fleet: Fleet, leaving: str = "") -> list[str]:
    """Return the VMs that hold the group."""
    vms = [
        Vm(
            name=vm.name,
            address=vm.peers,
            availability_zone=vm.zone,
            region=fleet.topology.region,
            liveness=(
                Liveness.LEAVING if vm.name == leaving else Liveness.LIVE
            ),
        )
        for vm in fleet.vms.values()
    ]
    return [vm.name for vm in choose_holders(GROUP, vms, 3)]


@when("a holder of the group leaves and gets SIGTERM")
def when_leaves(context: Any) -> None:
    context.vm = holders(context.fleet)[0]
    context.fleet.publish_vms(leaving=[context.vm])
    context.fleet.terminate(context.vm)


@when("a holder of the group gets SIGTERM and the list says nothing")
def when_terminated(context: Any) -> None:
    context.vm = holders(context.fleet)[0]
    context.fleet.terminate(context.vm)


@when("a transaction begins at a holder that then gets SIGTERM")
def when_pinned(context: Any) -> None:
    fleet = context.fleet
    context.vm, other = holders(fleet)[:2]
    # An entry that is a holder runs the statement itself.
    entries = [fleet.vms[context.vm].entry, fleet.vms[other].entry]
    context.caller = Caller(entries=entries)
    context.begun = context.caller.begin(GROUP)
    assert context.begun.done, context.begun
    fleet.terminate(context.vm)
    context.caller.roam()


@then(
    "{seconds:d} s later a statement and the commit of the transaction are "
    "done"
)
def then_committed(context: Any, seconds: int) -> None:
    time.sleep(seconds)
    caller = context.caller
    assert context.fleet.process(context.vm).running
    sql = "INSERT INTO entries (body) VALUES ('kept')"
    step = caller.statement(GROUP, context.begun.transaction, sql)
    assert step.done, step
    commit = caller.commit(GROUP, step.transaction)
    assert commit.done, commit


@then("the leaving VM ends by itself with exit code 0")
def then_ends(context: Any) -> None:
    process = context.fleet.process(context.vm)
    assert process.wait_exit(SHUTDOWN_SECONDS) == 0, process.tail()


@when("each VM is drained and started again")
def when_rolled(context: Any) -> None:
    fleet = context.fleet
    for name in list(fleet.vms):
        fleet.terminate(name)
        assert fleet.process(name).wait_exit(SHUTDOWN_SECONDS) == 0
        fleet.restart(name)
        wait_until(
            lambda: is_ready(fleet.vms[name].operators_listen),
            seconds=20,
            what=f"{name} is ready",
        )


def wait_shares(fleet: Fleet) -> None:
    """Wait until each holder has its share of each target.

    In the first second of a group, one holder may be the only one that has a
    share. If it dies then, the others get theirs only after it is removed from
    the list.
    """

    def shared(name: str) -> bool:
        text = fleet.process(name).tail(1000)
        return text.count("event=share ") >= len(fleet.members(GROUP))

    for name in holders(fleet):
        wait_until(
            lambda n=name: shared(n),  # type: ignore[misc]
            seconds=20,
            what=f"{name} to have its share",
        )


@when("a holder of the group is killed")
def when_killed(context: Any) -> None:
    context.vm = holders(context.fleet)[0]
    wait_shares(context.fleet)
    context.fleet.kill(context.vm)


@then(
    "after {seconds:d} s {count:d} requests through the other VMs are all done"
)
def then_all_done(context: Any, seconds: int, count: int) -> None:
    time.sleep(seconds)
    fleet = context.fleet
    entries = [vm.entry for vm in fleet.vms.values() if vm.name != context.vm]
    for number in range(count):
        caller = Caller(entries=entries, entry_index=number)
        sql = "INSERT INTO entries (body) VALUES ('x')"
        answer = (
            caller.write(GROUP, sql)
            if number % 2
            else caller.read(GROUP, "SELECT 1")
        )
        assert answer.done, (number, answer)
        caller.close()


@when("a holder of the group stands in the list as leaving")
def when_listed(context: Any) -> None:
    fleet = context.fleet
    before = holders(fleet)
    context.vm = before[0]
    after = holders(fleet, leaving=context.vm)
    (context.successor,) = set(after) - set(before)
    fleet.publish_vms(leaving=[context.vm])


@then("within {seconds:d} s its successor serves as a holder")
def then_successor(context: Any, seconds: int) -> None:
    fleet = context.fleet

    def serves() -> bool:
        status = Operator(fleet=fleet, vm=context.successor).call(
            "GET", "/status.json"
        )
        # The status contains the groups that the VM holds.
        return GROUP in status["groups"]

    wait_until(serves, seconds=seconds, what="the successor holds the group")
    caller = Caller(entries=[fleet.vms[context.successor].entry])
    assert caller.read(GROUP, "SELECT 1").done


# Generated cases


@then(
    "in {count:d} generated fleets holders are spread over zones and regions"
)
def then_spread(context: Any, count: int) -> None:
    membership_properties.check_holders_spread(count)


@then("in {count:d} generated fleets removing a VM moves only its own groups")
def then_moves(context: Any, count: int) -> None:
    membership_properties.check_movement(count)


@then(
    "in {count:d} generated histories balanced holders are spread like "
    "unbalanced ones and the same at all VMs"
)
def then_balanced_spread(context: Any, count: int) -> None:
    membership_properties.check_balanced_spread(count)


@then(
    "in {count:d} generated changes each VM that holds or held a group is "
    "among those asked"
)
def then_asked(context: Any, count: int) -> None:
    membership_properties.check_asked(count)


@then("at 480 VMs and 530 groups the fullest VM holds at most 5 groups")
def then_balanced(context: Any) -> None:
    membership_properties.check_balanced()


@then(
    "in {count:d} generated fleets each VM is reached through neighbours "
    "without a tenth of them"
)
def then_reached(context: Any, count: int) -> None:
    membership_properties.check_neighbours_connect(count)


@then(
    "in {count:d} generated shutdowns nothing under way is cut before the "
    "limit"
)
def then_drains(context: Any, count: int) -> None:
    membership_properties.check_drain(count)


@then(
    "in {count:d} simulated shutdowns each request has a response, some a"
    " refusal"
)
def then_all_answered(context: Any, count: int) -> None:
    seen, wrong = explore_drains(count)
    assert not wrong, "\n".join(wrong[:5])
    assert seen["refused"] > 100 and seen["handled"] > 1000, seen
