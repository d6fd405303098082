"""Steps for orders of a leader that could arrive late."""

from __future__ import annotations

import dataclasses

from behave import given
from behave import then
from behave import when

from bamboospring.platform.promotion_client import PromotionClient
from bamboospring.sessions.model import PendingChange
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import PromotionResult
from bamboospring.sessions.ports import ResumeReceiving
from bamboospring.sessions.proofs import TargetReport
from features.steps.membership_stage import decode_member
from features.steps.membership_stage import SimLease
from features.steps.membership_stage import SimReactor
from features.steps.membership_stage import SimVm
from features.steps.membership_stage import Stage
from features.steps.membership_stage import TARGET_KIND


class FakeStream:
    """A connection whose peer never answers."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.closed = False
        self.sent_at = None
        self.closed_at = None
        self.on_close = None

    def send(self, data):
        self.sent_at = self.reactor.now()

    def abort(self):
        if not self.closed:
            self.closed, self.closed_at = True, self.reactor.now()
            self.on_close()


class ConnectingReactor(SimReactor):
    """A reactor whose connections open after a given time."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds
        self.stream = FakeStream(self)

    def connect(self, address, timeout, on_open):
        self.call_later(self.seconds, lambda: on_open(self.stream))


@when(
    "a leader orders a promotion within {timeout:f} s and is connected after"
    " {seconds:f} s"
)
def when_connected(context, timeout, seconds):
    reactor = context.reactor = ConnectingReactor(seconds)
    context.results = []
    PromotionClient(reactor=reactor, address="a:1").promote(
        group="g",
        target="m1",
        holder="vm0",
        fence=1,
        timeout=timeout,
        on_complete=context.results.append,
    )
    reactor.run_until(10.0)


@then("the order is sent, and given up after {seconds:f} s")
def then_given_up(context, seconds):
    stream = context.reactor.stream
    assert context.results == [PromotionResult.UNKNOWN], context.results
    waited = stream.closed_at - stream.sent_at
    assert abs(waited - seconds) < 0.001, waited


@then("the order is not sent")
def then_not_sent(context):
    stream = context.reactor.stream
    assert context.results == [PromotionResult.NOT_SENT], context.results
    assert stream.sent_at is None and stream.closed


class LateControl:
    """Takes orders to targets, and answers when told to."""

    def __init__(self):
        self.asked = []

    def ask(self, group, name, order, timeout, on_report):
        self.asked.append((name, order, on_report))


@given("a leader that has asked a replica for its report after a change")
def given_asked(context):
    stage = Stage(1)
    lease = context.lease = SimLease(stage, 0.0, 100.0)
    vm = context.vm = SimVm(stage, "vm0", lease)
    for name in ("m0", "m1"):
        stage.store.write(TARGET_KIND, name, [False, name == "m0"])
        listed = decode_member(stage.store.found(TARGET_KIND, name))
        vm.group.targets[name] = listed
    vm.group.record = PrimaryRecord(group="g", version=5, term=2, primary="m0")
    context.control = LateControl()
    vm.runner._questions = context.control
    vm.runner.reconcile(vm.group)
    ((name, order, context.on_report),) = context.control.asked
    assert (name, order) == ("m1", AskReport())


@when("another change, and the report that it holds a term arrives")
def when_changed(context):
    group = context.vm.group
    change = PendingChange(term=3, vm="vm0", nonce="n", cause="failed")
    group.record = dataclasses.replace(group.record, version=6, change=change)
    when_arrives(context)


@when("a loss of the lease, and the report that it holds a term arrives")
def when_lost(context):
    context.lease.end = 0.0
    when_arrives(context)


@when("the report that it holds a term arrives")
def when_arrives(context):
    report = TargetReport(
        is_primary=False,
        term=1,
        received_term=1,
        received_index=5,
        held_term=2,
    )
    context.on_report(report)


def resumes(context):
    orders = [order for _name, order, _answer in context.control.asked]
    return [order for order in orders if order == ResumeReceiving()]


@then("the replica is not told to resume")
def then_not_resumed(context):
    assert not resumes(context)


@then("the replica is told to resume")
def then_resumed(context):
    assert resumes(context)
