"""Steps of suspicion.feature: the controllers with simulated times."""

from __future__ import annotations

from functools import partial
from typing import Any

from behave import given
from behave import then
from behave import when
from comparison_steps import MemoryPeers

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Role
from bamboospring.blackboard import Target
from bamboospring.blackboard import Vm
from bamboospring.primary_change import ChangeCause
from bamboospring.primary_change import ChangePhase
from bamboospring.primary_change import ChangePlan
from bamboospring.primary_change import GroupObject
from bamboospring.primary_change import Order
from bamboospring.primary_change import PrimaryChange
from bamboospring.primary_change import UpdateGroup
from bamboospring.rendezvous import Placement
from bamboospring.steward_state import StewardGroupState
from bamboospring.suspicion import FailureDetector
from bamboospring.suspicion import FailureTiming
from bamboospring.suspicion import PauseDetector
from bamboospring.suspicion import SuspicionReport
from bamboospring.suspicion import Suspicions
from bamboospring.suspicion import TargetVerdict
from bamboospring.suspicion_exchange import SuspicionExchange
from bamboospring.target_api import ProbeResult

TIMING = FailureTiming()
ZONES = ("zone-a", "zone-b", "zone-c")


def report(vm: str, zone: str) -> SuspicionReport:
    """Return a suspicion of m1 at term 1, received at second 10."""
    return SuspicionReport(
        target="m1",
        term=1,
        vm=vm,
        availability_zone=zone,
        suspected=True,
        unresponsive_for=1.0,
        received_at=10.0,
    )


@given("reports against a primary from 3 VMs of one zone")
def one_zone(context: Any) -> None:
    context.suspicions = Suspicions()
    for vm in ("vm-1", "vm-2", "vm-3"):
        context.suspicions.add_report(report(vm, "zone-a"))


@given("reports against a primary from two zones")
def two_zones(context: Any) -> None:
    context.suspicions = Suspicions()
    context.suspicions.add_report(report("vm-1", "zone-a"))
    context.suspicions.add_report(report("vm-2", "zone-b"))


@when("a VM of another zone reports against it too")
def another_zone(context: Any) -> None:
    context.suspicions.add_report(report("vm-4", "zone-b"))


@then("the primary is not taken for failed")
def not_failed(context: Any) -> None:
    assert not context.suspicions.has_failed("m1", 1, 10.1, ZONES)


@then("the primary is taken for failed")
def failed(context: Any) -> None:
    assert context.suspicions.has_failed("m1", 1, 10.1, ZONES)


@then("it is not taken for failed at a later term, nor 4 seconds later")
def not_later(context: Any) -> None:
    assert not context.suspicions.has_failed("m1", 2, 10.1, ZONES)
    assert not context.suspicions.has_failed("m1", 1, 14.0, ZONES)


@given("a holder that gets an answer of a primary every 100 ms")
def answering_primary(context: Any) -> None:
    context.now = 100.0
    context.pause_detector = PauseDetector(threshold=TIMING.pause_threshold)
    context.detector = FailureDetector(timing=TIMING, now=context.now)
    for _ in range(20):
        step(context)
        context.detector.record_answer(context.now)


def step(context: Any) -> bool:
    """Let 100 ms pass and return whether the primary is suspected."""
    context.now += 0.1
    context.pause_detector.tick(context.now)
    verdict = context.detector.verdict(
        context.now, context.pause_detector.running_since
    )
    return bool(verdict.suspected)


@when("the holder is paused for 5 seconds and resumes")
def paused(context: Any) -> None:
    context.now += 5.0
    assert not step(context), "suspected at the moment of resuming"


@then("it does not suspect the primary for the next 700 ms")
def not_suspected_early(context: Any) -> None:
    assert not any([step(context) for _ in range(7)])


@then("it suspects it after 900 ms without an answer")
def suspects_later(context: Any) -> None:
    assert [step(context) for _ in range(2)][-1]


@when("the primary's port refuses for 200 ms")
def refuse_connections(context: Any) -> None:
    context.detector.record_refusal(context.now)
    context.suspected = [step(context) for _ in range(2)][-1]


@then("it does not suspect the primary")
def not_suspected(context: Any) -> None:
    assert not context.suspected


@then("it suspects the primary")
def suspected(context: Any) -> None:
    assert context.suspected


@given("a change for a failed primary that answers the steward")
def answered_change(context: Any) -> None:
    targets = tuple(
        Target(name=n, address=n, availability_zone=n, site="s")
        for n in ("m1", "m2", "m3")
    )
    plan = ChangePlan(cause=ChangeCause.PRIMARY_FAILED, term=1, primary="m1")
    change = PrimaryChange(group="g", targets=targets, plan=plan, nonce="n")
    value = {
        "targets": [
            {
                "name": t.name,
                "address": t.address,
                "availability_zone": t.availability_zone,
                "site": t.site,
            }
            for t in targets
        ],
        "term": 1,
        "primary": "m1",
        "starts": [{"term": 1, "index": 1}],
    }
    context.actions = change.begin(0.0)
    orders = [a for a in context.actions if isinstance(a, Order)]
    found = GroupObject(name="g", version=1, value=value)
    context.actions += change.on_object_read(found, 0.01)
    # The other two answer first; the change must wait for the primary.
    for order in sorted(orders, key=lambda o: o.target.name, reverse=True):
        probe = make_probe(order.target.name)
        context.actions += change.on_answer(order, True, probe, 0.02)
    context.change = change


def make_probe(name: str) -> ProbeResult:
    """Return the report of a healthy member."""
    return ProbeResult(
        target=name,
        term=1,
        role=Role.PRIMARY if name == "m1" else Role.REPLICA,
        received=5,
        applied=5,
        last_term=1,
        term_start=1,
        leaving=False,
    )


@then("the change ends before the term is won")
def ends(context: Any) -> None:
    assert context.change.phase is ChangePhase.ENDED, context.change.phase
    assert not any(isinstance(a, UpdateGroup) for a in context.actions)


class SimVm:
    """The suspicion exchange of one VM.

    `reaches_primary` is whether the VM reaches the primary.
    """

    def __init__(self, vm: Vm, vms: tuple[Vm, ...], network: Any) -> None:
        self.reaches_primary = True
        self.group_state = StewardGroupState()
        placement = Placement()
        placement.set_vms(vms)
        peers = MemoryPeers(network, [])
        network[vm.address] = peers
        self.board = Blackboard(local_vm=vm)
        self.exchange = SuspicionExchange(
            reactor=FixedTime(),  # type: ignore[arg-type]
            board=self.board,
            placement=placement,
            peers=peers,  # type: ignore[arg-type]
            is_leader=lambda group: group in self.board.groups,
            state_of=lambda group: self.group_state,
            evaluate=lambda *_args: None,
            send_order=self._send,
        )

    def _send(self, order: Order, on_complete: Any) -> None:
        found = make_probe(order.target.name) if self.reaches_primary else None
        on_complete(found is not None, found)


class FixedTime:
    """A clock that is fixed at the time of the reports."""

    def now(self) -> float:
        """Return the time."""
        return 10.0


@given("a steward that is the only holder left, and a VM of another zone")
def steward_alone(context: Any) -> None:
    vms = tuple(
        Vm(name=f"vm-{n}", address=f"vm-{n}", availability_zone=zone)
        for n, zone in enumerate(("zone-a", "zone-a", "zone-b"))
    )
    network: dict[str, MemoryPeers] = {}
    make = partial(SimVm, vms=vms, network=network)
    context.steward, _, context.other = [make(vm) for vm in vms]
    target = Target(
        name="m1", address="m1", availability_zone="zone-c", site="s"
    )
    record = GroupRecord(
        name="g", version=1, term=1, primary="m1", targets=(target,)
    )
    context.steward.board.groups["g"] = Group(record=record)


@when("neither of them reaches the primary")
def neither_reaches(context: Any) -> None:
    context.other.reaches_primary = False
    only_steward_cut_off(context)


@when("only the steward does not reach the primary")
def only_steward_cut_off(context: Any) -> None:
    context.steward.reaches_primary = False
    verdict = TargetVerdict(suspected=True, unresponsive_for=1.0)
    context.steward.group_state.suspicions.add_report(report("vm-0", "zone-a"))
    context.steward.exchange.report("g", "m1", 1, verdict)


@then("the steward takes the primary for failed")
def taken_for_failed(context: Any) -> None:
    found = context.steward.group_state.suspicions
    assert found.has_failed("m1", 1, 10.0, ZONES)


@then("the steward does not take the primary for failed")
def not_taken_for_failed(context: Any) -> None:
    found = context.steward.group_state.suspicions
    assert not found.has_failed("m1", 1, 10.0, ZONES)
    assert context.other.board.groups == {}
