"""Steps on the split of limits, with an exploration by Hypothesis.

The exploration runs real `GroupShares` and simulates the platform, the network
and the clock. `FAULTS` lists mutations: each entry disables one safeguard, and
the exploration must then find an order of events that exceeds the limit.
"""

from contextlib import ExitStack
from unittest import mock

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test
from hypothesis import strategies as st

from bamboospring.shares import GroupShares
from bamboospring.shares import ShareReply
from bamboospring.shares import ShareTiming
from bamboospring.shares import split
from bamboospring.shares import TargetCapacity
from bamboospring.shares import TargetLimit
from bamboospring.shares import VmListMonitor

LIMIT = 5
HOLDERS = 3
NAMES = ("a", "b", "c", "d", "e")
LAG = 0.5
TIMING = ShareTiming(
    grace_period=4.0, isolation_timeout=1.5, retry_interval=0.5
)


def limits_of(connections):
    units = TargetCapacity(slots=3, connections=connections)
    return (TargetLimit(target="t", capacity=units),)


class Process:
    """One run of a VM: its shares, its usage and the list it has seen."""

    def __init__(self, name):
        self.watch = VmListMonitor(local_vm_name=name, timing=TIMING)
        self.shares = GroupShares(vm_list_monitor=self.watch)
        self.seen = -1
        self.paused = False
        self.used = 0

    def set_used(self, count):
        self.used = count
        self.shares.record_usage("t", TargetCapacity(connections=count))


class Fleet(RuleBasedStateMachine):
    """VMs that share a target's limit, the platform and the network."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.lists = [frozenset("abc")]
        self.listed_at = [0.0]
        self.processes = {name: Process(name) for name in "abc"}
        self.cut = set()
        self.gone = {}
        self.asks = []
        self.replies = []
        for _ in range(12):
            self.settle()

    def running(self, name):
        process = self.processes.get(name)
        if process is None or process.paused:
            return None
        return process

    def linked(self, *names):
        return not self.cut.intersection(names)

    @rule(name=st.sampled_from(NAMES))
    def join_or_leave(self, name):
        listed = self.lists[-1]
        if name in listed and len(listed) > 1:
            self.publish(listed - {name})
            self.gone[name] = self.now
        elif name not in listed and name not in self.processes:
            self.processes[name] = Process(name)
            self.publish(listed | {name})

    def publish(self, listed):
        self.lists.append(listed)
        self.listed_at.append(self.now)

    @rule(name=st.sampled_from(NAMES), skip=st.integers(0, 1))
    def see_list(self, name, skip):
        process = self.running(name)
        if process is None or name in self.cut:
            return
        newest = len(self.lists) - 1
        if skip and self.now - self.listed_at[newest] < LAG:
            newest -= 1
        seen = max(process.seen, newest)
        process.seen = seen
        listed = self.lists[seen]
        process.watch.update(now=self.now, revision=seen + 1, listed=listed)
        process.shares.update(
            now=self.now,
            holders=tuple(sorted(listed, reverse=True))[:HOLDERS],
            peers=frozenset(NAMES),
            limits=limits_of(LIMIT),
        )

    @rule(seconds=st.sampled_from([0.5, 1.0]))
    def tick(self, seconds):
        self.now += seconds
        for name, process in sorted(self.processes.items()):
            if not process.paused:
                self.ask(name, process)
        for name, since in list(self.gone.items()):
            self.stop_replaced(name, since)

    def ask(self, name, process):
        process.watch.tick(now=self.now)
        for ask in process.shares.tick(now=self.now):
            self.asks.append((name, process, ask))
        if process.watch.is_isolated:
            process.set_used(0)

    def stop_replaced(self, name, since):
        # The platform stops VMs that it has removed from its list. A VM that
        # is isolated can't be stopped and must have given up its share by
        # itself. A paused VM is removed too, because only the target could
        # prevent that it still holds its connections.
        process = self.processes.get(name)
        if process is None:
            del self.gone[name]
        elif self.now - since >= TIMING.grace_period - 1.0 and (
            process.paused or name not in self.cut
        ):
            del self.processes[name]

    @rule(data=st.data(), fate=st.sampled_from(["pass", "lose"]))
    def deliver_one(self, data, fate):
        count = len(self.asks) + len(self.replies)
        if count == 0:
            return
        index = data.draw(st.integers(0, count - 1))
        if index < len(self.asks):
            ask = self.asks.pop(index)
            if fate == "pass":
                self.pass_ask(*ask)
        else:
            reply = self.replies.pop(index - len(self.asks))
            if fate == "pass":
                self.pass_reply(*reply)

    @rule()
    def deliver_asks(self):
        while self.asks:
            self.pass_ask(*self.asks.pop(0))

    @rule()
    def deliver_all(self):
        self.deliver_asks()
        while self.replies:
            self.pass_reply(*self.replies.pop(0))

    def pass_ask(self, name, process, ask):
        other = self.running(ask.vm)
        if other is None or not self.linked(name, ask.vm):
            return
        reply = other.shares.answer(
            now=self.now,
            vm=name,
            revision=ask.revision,
            holders=ask.holders,
        )
        self.replies.append((name, process, ask.attempt, reply))
        asked = self.processes[ask.vm]
        for back in other.shares.follow_up_requests(now=self.now, vm=name):
            self.asks.append((ask.vm, asked, back))

    def pass_reply(self, name, process, attempt, reply):
        if self.running(name) is process and self.linked(name, reply.vm):
            process.shares.on_reply(now=self.now, attempt=attempt, reply=reply)

    @rule()
    def use_all(self):
        for name in sorted(self.processes):
            process = self.running(name)
            if process is not None:
                allowed = process.shares.allowed("t").connections
                process.set_used(max(process.used, allowed))

    @rule(name=st.sampled_from(NAMES), idle=st.booleans())
    def finish(self, name, idle):
        process = self.running(name)
        if process is not None:
            allowed = process.shares.allowed("t").connections
            process.set_used(0 if idle else min(process.used, allowed))

    @rule(heal=st.booleans())
    def settle(self, heal=False):
        if heal:
            self.cut.clear()
            for name in sorted(self.processes):
                self.wake(name)
        for _ in range(2):
            for name in sorted(self.processes):
                self.see_list(name=name, skip=0)
            self.tick(seconds=0.5)
            self.deliver_all()
            self.use_all()

    def wake(self, name):
        process = self.processes[name]
        if process.paused:
            process.paused = False
            self.ask(name, process)

    @rule(
        name=st.sampled_from(NAMES),
        kind=st.sampled_from(["restart", "pause", "cut", "vanish"]),
    )
    def disturb(self, name, kind):
        if name not in self.processes:
            return
        if kind == "restart":
            self.processes[name] = Process(name)
        elif kind == "pause":
            self.processes[name].paused = True
        elif kind == "cut":
            self.cut ^= {name}
        elif name in self.lists[-1]:
            self.cut.add(name)
            self.join_or_leave(name=name)

    @rule(seconds=st.integers(2, 5))
    def pass_time(self, seconds):
        for _ in range(seconds):
            self.settle()

    @rule(name=st.sampled_from(NAMES))
    def resume(self, name):
        if name in self.processes:
            self.wake(name)

    @invariant()
    def within_limit(self):
        used = sum(process.used for process in self.processes.values())
        assert used <= LIMIT, f"{used} of {LIMIT} connections in use"


def explore(examples=400):
    run_state_machine_as_test(
        Fleet,
        settings=settings(
            max_examples=examples,
            stateful_step_count=50,
            derandomize=True,
            database=None,
            deadline=None,
            phases=[Phase.generate],
            print_blob=False,
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
        ),
    )


def agree_to_all(self, *, now, vm, revision, holders):
    held = {"t": self.held("t")}
    return ShareReply(
        vm=self.vm_list_monitor.local_vm_name,
        agrees=True,
        informed=True,
        revision=99,
        held=held,
    )


FAULTS = {
    "a share grows without a promise": {
        "_potential_users": lambda self, now: set()
    },
    "promises from before a change count": {
        "_discard_promises": lambda self: None
    },
    "what is still used is ignored": {
        "_excess": lambda self, vm, position: TargetCapacity()
    },
    "a VM off the list is forgotten": {
        "recently_removed": lambda self, now: set()
    },
    "any list of holders is agreed to": {"answer": agree_to_all},
    "a share is kept after a change": {
        "_shrink": lambda self: None,
        "held": lambda self, target: self._used.get(target, TargetCapacity()),
    },
    "a new VM trusts its first list": {"is_informed": lambda self, now: True},
    "a cut-off VM keeps its share": {"_is_cut_off": lambda self, now: None},
}


@then("every split of a limit is exact, fair and never shrinks as it grows")
def step_split(context):
    @settings(derandomize=True, database=None, deadline=None)
    @for_all(st.integers(0, 200), st.integers(1, 8), st.integers(0, 20))
    def check(limit, holders, rotation):
        ranks = range(holders)
        parts = [split(limit, holders, rank, rotation) for rank in ranks]
        larger = [split(limit + 1, holders, rank, rotation) for rank in ranks]
        assert sum(parts) == limit
        assert max(parts) - min(parts) <= 1
        assert all(new >= old for old, new in zip(parts, larger))

    check()


@given("shares of VMs a, b and c of a target with 20 connections")
def step_shares(context):
    step_new_shares(context)
    pass_time(context, 11)


@given("new shares of VMs a, b and c of a target with 20 connections")
def step_new_shares(context):
    context.now = 100.0
    context.revision = 0
    context.shares = {name: new_shares(name) for name in "abc"}
    see(context, "abc", "abc")


def new_shares(name):
    return GroupShares(vm_list_monitor=VmListMonitor(local_vm_name=name))


def see(context, holders, peers):
    context.revision += 1
    for shares in context.shares.values():
        shares.vm_list_monitor.update(
            now=context.now,
            revision=context.revision,
            listed=frozenset(peers),
        )
        shares.update(
            now=context.now,
            holders=tuple(holders),
            peers=frozenset(peers),
            limits=limits_of(20),
        )


def exchange(context, cut=""):
    for name, shares in context.shares.items():
        shares.vm_list_monitor.tick(now=context.now)
        for ask in shares.tick(now=context.now):
            if name in cut or ask.vm in cut:
                continue
            reply = context.shares[ask.vm].answer(
                now=context.now,
                vm=name,
                revision=ask.revision,
                holders=ask.holders,
            )
            shares.on_reply(now=context.now, attempt=ask.attempt, reply=reply)


def pass_time(context, seconds, cut=""):
    for _ in range(seconds * 2):
        context.now += 0.5
        exchange(context, cut)


@when("VM d takes the place of c, which still uses 2")
def step_replace(context):
    context.shares["c"].record_usage("t", TargetCapacity(connections=2))
    context.shares["d"] = new_shares("d")
    see(context, "abd", "abcd")
    pass_time(context, 1)


@when("VM a asks first and dies once it may use anything")
def step_dies_first(context):
    first = context.shares["a"]
    for _ in range(20):
        context.now += 0.1
        first.vm_list_monitor.tick(now=context.now)
        for ask in first.tick(now=context.now):
            deliver_until_served(context, "a", ask)
        if first.allowed("t") != TargetCapacity():
            break
    assert first.allowed("t") != TargetCapacity(), "a never got its share"
    pass_time(context, 3, cut="a")


def deliver_until_served(context, name, ask):
    """Deliver requests and replies until VM a has a share and dies."""
    if context.shares["a"].allowed("t") != TargetCapacity():
        return
    asker, other = context.shares[name], context.shares[ask.vm]
    other.vm_list_monitor.tick(now=context.now)
    reply = other.answer(
        now=context.now,
        vm=name,
        revision=ask.revision,
        holders=ask.holders,
    )
    asker.on_reply(now=context.now, attempt=ask.attempt, reply=reply)
    for back in other.follow_up_requests(now=context.now, vm=name):
        deliver_until_served(context, ask.vm, back)


@when("VM c has closed its connections")
def step_closed(context):
    context.shares["c"].record_usage("t", TargetCapacity())
    pass_time(context, 1)


@when("the platform is silent for {seconds:d} seconds")
def step_silent(context, seconds):
    pass_time(context, seconds)


@when("VM {name} hears nobody for {seconds:d} seconds")
def step_cut(context, name, seconds):
    pass_time(context, seconds, cut=name)


@then("VM {name} may use {count:d} connections")
def step_may_use(context, name, count):
    allowed = context.shares[name].allowed("t").connections
    assert allowed == count, allowed


@then("no explored order of events exceeds the limit")
def step_explore(context):
    explore()


@then("the exploration fails when {fault}")
def step_seeded(context, fault):
    with ExitStack() as stack:
        for name, broken in FAULTS[fault].items():
            owner = (
                VmListMonitor if hasattr(VmListMonitor, name) else GroupShares
            )
            patch = mock.patch.object(owner, name, broken)
            stack.enter_context(patch)
        try:
            explore(examples=3000)
        except AssertionError as exc:
            assert "connections in use" in str(exc), exc
            return
    raise AssertionError(f"not caught: {fault}")
