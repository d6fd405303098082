"""Steps for proofs that changes of primary have to wait for."""

from __future__ import annotations

from contextlib import contextmanager
from unittest import mock

from behave import given
from behave import then
from behave import when

from bamboospring.sessions.model import PendingChange
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions import outstanding_proofs
from bamboospring.sessions.outstanding_proofs import OutstandingProofs
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import StepDown
from bamboospring.sessions.proofs import Proof
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.proofs import targets_confirm_primary
from bamboospring.sessions import record_keeper
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.takeover import OrderPromotion
from bamboospring.sessions.takeover import SendToTarget
from bamboospring.sessions.takeover import StoreRecord
from bamboospring.sessions.takeover import Takeover
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.vm_registry import VM_KIND
from features.steps.membership_stage import decode_member
from features.steps.membership_stage import SimLease
from features.steps.membership_stage import SimMember
from features.steps.membership_stage import SimVm
from features.steps.membership_stage import Stage
from features.steps.membership_stage import TARGET_KIND
from features.steps.membership_worlds import explore_membership

TICK = 0.05


@then(
    "in {count:d} explored histories of targets no VM uses a replaced primary"
)
def then_none_replaced(context, count):
    context.seen = explore_membership(range(count))
    assert not context.seen.wrong, context.seen.wrong


@then("the exploration has seen targets join, leave, restart and hold terms")
def then_reached(context):
    counts = context.seen.counts
    for event in ("joined", "left", "crashed", "held", "promoted", "vms_cut"):
        assert counts[event] > 200, (event, counts)


@then(
    "in {count:d} explored histories with returns of the store no VM uses a"
    " replaced primary, nor with seeds {first:d} and {second:d}"
)
def then_none_restored(context, count, first, second):
    seeds = (first, second, *range(count))
    seen = explore_membership(seeds, restores=True)
    assert not seen.wrong, seen.wrong
    assert seen.counts["restored"] > count, seen.counts
    assert seen.counts["replaced_unsettled"] > count / 4, seen.counts


# Seeded faults.


def renew_any(self, asked_at, now):
    self.renew(asked_at)


def ask_though_expired(self):
    now = self._reactor.now()
    for group in self._board.groups.values():
        if group.primary() is not None and now - group.proof.asked_at > 1.3:
            self._ask_targets(group, now)


def confirm_without_silent(primary, others, reports, term):
    heard = [name for name in others if name in reports]
    return targets_confirm_primary(primary, heard, reports, term)


def confirm_without_primary(primary, others, reports, term):
    always = TargetReport(
        is_primary=True, term=term, received_term=term, received_index=0
    )
    reports = {**reports, primary: always}
    return targets_confirm_primary(primary, others, reports, term)


FAULTS = {
    "an expired proof is renewed": (
        (Proof, "extend", renew_any),
        (RecordKeeper, "_renew_proofs_by_targets", ask_though_expired),
    ),
    "a target without a report counts as gone": (
        (record_keeper, "targets_confirm_primary", confirm_without_silent),
    ),
    "the primary is not asked": (
        (record_keeper, "targets_confirm_primary", confirm_without_primary),
    ),
    "any target that holds the term counts for a VM": (
        (outstanding_proofs, "_is_in_list", lambda created, version: True),
    ),
    "held terms are not verified before a promotion": (
        (Takeover, "_forget_lost_blocks", lambda self, reports: None),
    ),
    "a change waits for 1 s": ((outstanding_proofs, "PROMOTION_WAIT", 1.0),),
}


@contextmanager
def seeded(fault):
    with mock.patch.object(*FAULTS[fault][0]):
        if len(FAULTS[fault]) == 1:
            yield
            return
        with mock.patch.object(*FAULTS[fault][1]):
            yield


@then("the exploration finds in {count:d} histories that {fault}")
def then_fault_found(context, count, fault):
    with seeded(fault):
        assert explore_membership(range(count), until_wrong=True).wrong


# One VM.


@given("a VM that is cut off from the store and other VMs")
def given_cut_off(context):
    stage = context.stage = Stage(1)
    stage.lost_share = 0.0
    for name in ("m0", "m1", "m2"):
        stage.members[name] = SimMember(name=name, is_primary=name == "m0")
        stage.store.write(TARGET_KIND, name, [False, name == "m0"])
    stage.write_record(term=1, primary="m0")
    vm = context.vm = SimVm(stage, "vm0", SimLease(stage, 1e9, 1e9))
    stage.vms["vm0"] = vm
    vm.start()
    stage.reactor.run_until(3.0)
    cut_off(context)


def cut_off(context):
    context.stage.vms_without_store.add("vm0")
    context.stage.islands["vm0"] = "vm0"


@when("{seconds:d} s go by for it")
def when_time(context, seconds):
    reactor = context.stage.reactor
    reactor.run_until(reactor.now() + seconds)


def is_proven(context):
    return context.vm.group.proof.covers(context.stage.reactor.now())


@then("it proves its primary")
def then_proven(context):
    assert is_proven(context)


@then("it does not prove its primary")
def then_not_proven(context):
    assert not is_proven(context)


@when("m1 is silent to it for {seconds:d} s")
def when_silent(context, seconds):
    stage = context.stage
    stage.cut_paths["vm0", "m1"] = "silent"
    stage.reactor.run_until(stage.reactor.now() + seconds)
    del stage.cut_paths["vm0", "m1"]


@when("it reaches the store again")
def when_store(context):
    context.stage.vms_without_store.clear()


@when("it knows that m1 {state} and m1 refuses its connections")
def when_refuses(context, state):
    stage = context.stage
    stage.vms_without_store.clear()
    stage.store.write(TARGET_KIND, "m1", [state == "leaves", False])
    stage.reactor.run_until(stage.reactor.now() + 3.0)
    cut_off(context)
    stage.cut_paths["vm0", "m1"] = "refused"


@when("m0 steps down")
def when_steps_down(context):
    context.stage.members["m0"].is_primary = False


@given("its proof has expired")
def given_expired(context):
    when_silent(context, 4)
    assert not is_proven(context)


@when("another VM passes on its proof of {record} that is {age:f} s old")
def when_passed_on(context, record, age):
    version = context.vm.group.record.version
    if record != "the primary":
        version -= 1
    now = context.stage.reactor.now()
    rows = [("g", version, int(age * 1e6))]
    context.vm.records.apply_passed_on(rows, now)


@when("it is asked for its proofs for {seconds:d} s")
def when_asked_for(context, seconds):
    reactor = context.stage.reactor
    context.ages = []
    for number in range(seconds * 5):
        reactor.run_until(reactor.now() + 0.2)
        ((_group, _version, age_us),) = context.vm.records.pass_on_proofs()
        if number >= 5:
            context.ages.append(age_us / 1e6)


@then("they are never older than {seconds:f} s")
def then_never_older(context, seconds):
    assert max(context.ages) <= seconds, context.ages


@given("a VM with a list of version {version:d}")
def given_list(context, version):
    given_cut_off(context)
    entries = ("m0", "m1", "m2")
    relay(context, version, entries)
    context.stage.reactor.run_until(3.5)


def relay(context, version, names):
    now = context.stage.reactor.now()
    listed = [
        decode_member(context.stage.store.found(TARGET_KIND, name))
        for name in names
    ]
    context.vm.targets.apply_relayed(listed, version, now, now + 1.0)


@when("a list of version {version:d} without m1 is relayed to it")
def when_relayed(context, version):
    # A target is kept for a while after its entry has gone.
    for _ in range(4):
        relay(context, version, ("m0", "m2"))
        when_time(context, 1)


@then("it still knows m1, of version {version:d}")
def then_knows(context, version):
    assert "m1" in context.vm.group.targets
    assert context.vm.board.targets_version == version


@then("it has a list of version {version:d}")
def then_has_list(context, version):
    assert "m1" not in context.vm.group.targets
    assert context.vm.board.targets_version == version


@then("it goes on reading the list itself")
def then_reads(context):
    stage = context.stage
    stage.store.revision = 30
    stage.vms_without_store.clear()
    when_time(context, 3)
    assert context.vm.board.targets_version == stage.store.revision


@given("a VM whose entry shows a list with m0, m1 and m2")
def given_entry(context):
    given_cut_off(context)
    when_store(context)
    when_time(context, 5)
    context.renewals = renewals(context)


def renewals(context):
    return context.stage.store.objects[VM_KIND, "vm0"].value["renewals"]


@when("{old} is replaced by {new}")
def when_replaced(context, old, new):
    stage = context.stage
    stage.store.write(TARGET_KIND, new, [False, False])
    stage.store.remove(TARGET_KIND, old)


@then("the entry is not renewed within {seconds:d} s")
def then_not_renewed(context, seconds):
    when_time(context, seconds)
    assert renewals(context) == context.renewals


@then("the entry is renewed within {seconds:d} s and shows m3 and m4")
def then_renewed(context, seconds):
    stage = context.stage
    listed_at = stage.store.objects[TARGET_KIND, "m4"].created
    # m2 is kept for 2.2 s after its entry has gone.
    when_time(context, seconds)
    value = stage.store.objects[VM_KIND, "vm0"].value
    assert renewals(context) == context.renewals + 1
    assert value["targets_version"] >= listed_at


# One change, with targets that answer at once.


class Change:
    """A change of m0, and what it has ordered at which time."""

    def __init__(self, created, list_version):
        self.created = created
        self.lists = {"vm1": list_version}
        self.members = {
            name: SimMember(name=name, is_primary=name == "m0")
            for name in ("m0", *created)
        }
        self.now = 0.0
        self.held_at = {}
        self.stepped_down_at = None
        self.promoted_at = None
        self.later = []

    def begin(self, *, leaves):
        self.takeover = Takeover(
            vm="leader",
            nonce="n",
            cause=TakeoverCause.LEAVING if leaves else TakeoverCause.FAILED,
            record=PrimaryRecord(group="g", version=1, term=1, primary="m0"),
            targets=tuple(self.members),
            leaving=("m0",) if leaves else (),
            created=self.created,
        )
        self.members["m0"].is_running = leaves
        self.execute(self.takeover.begin(0.0))
        self.execute(self.takeover.on_vms_listed(self.lists, 0.0))

    def run(self, seconds):
        while self.now < seconds and self.promoted_at is None:
            self.now = round(self.now + TICK, 2)
            for act in [act for at, act in self.later if at == self.now]:
                act()
            self.execute(self.takeover.tick(self.now))

    def execute(self, actions):
        for action in actions:
            match action:
                case StoreRecord(record=record):
                    version = record.version + 1
                    self.execute(self.takeover.on_stored(version, self.now))
                case OrderPromotion():
                    self.promoted_at = self.now
                case SendToTarget(target=target, order=order):
                    self.send(self.members[target], order)

    def send(self, member, order):
        match order:
            case HoldTerm():
                self.held_at.setdefault(member.name, self.now)
            case StepDown():
                self.stepped_down_at = self.stepped_down_at or self.now
            case AskReport():
                pass
        report = member.obey(order) if member.is_running else None
        self.execute(self.takeover.on_report(member.name, report, self.now))


@given(
    "m1 listed since {first:d} and m2 listed since {second:d}, and vm1 with a"
    " list of {version:d}"
)
def given_lists(context, first, second, version):
    context.change = Change({"m1": first, "m2": second}, version)


@when("m0 {state} and is to be replaced")
def when_to_be_replaced(context, state):
    context.change.begin(leaves=state == "leaves")


@when("m0 has died and is to be replaced, and m2 is ahead")
def when_ahead(context):
    context.change.members["m2"].received_index += 1
    context.change.begin(leaves=False)


@when("m0 has died and is to be replaced, and vm2 with a list of {version:d}")
def when_two_vms(context, version):
    context.change.lists["vm2"] = version
    context.change.begin(leaves=False)


@when("{vm} releases its proof after {seconds:d} s")
def when_released(context, vm, seconds):
    change = context.change
    change.later.append(
        (
            seconds,
            lambda: change.execute(
                change.takeover.on_proof_released(vm, change.now)
            ),
        )
    )


@when("{name} restarts after {seconds:f} s")
def when_restarts(context, name, seconds):
    member = context.change.members[name]

    def restart():
        member.restart()
        member.is_primary = name == "m0"

    context.change.later.append((seconds, restart))


@then("{holders} hold the term")
def then_hold(context, holders):
    context.change.run(10.0)
    assert context.change.held_at.keys() == set(holders.split(" and "))


@then("m0 is told to step down {when}")
def then_told(context, when):
    expected = None if when == "never" else float(when.split(" ")[1])
    assert context.change.stepped_down_at == expected


@then("the promotion is ordered {moment}")
def then_ordered(context, moment):
    change = context.change
    change.run(10.0)
    if moment == "never":
        assert change.promoted_at is None, change.promoted_at
        return
    expected = float(moment.split(" ")[1])
    assert change.promoted_at is not None
    assert (
        expected <= change.promoted_at <= expected + 2 * TICK
    ), change.promoted_at


# The list of VMs.


@given("a change that waits for vm1, which does not answer")
def given_waiting(context):
    given_cut_off(context)
    when_store(context)
    value = {
        "address": "vm1",
        "availability_zone": "z",
        "nonce": "first",
        "renewals": 1,
        "targets_version": 4,
    }
    context.entry = value
    context.stage.store.write(VM_KIND, "vm1", value)
    change = PendingChange(term=2, vm="vm0", nonce="n", cause="failed")
    record = PrimaryRecord(
        group="g", version=99, term=1, primary="m0", change=change
    )
    proofs = context.proofs = OutstandingProofs()

    def on_listed(lists, incomplete):
        proofs.lists, proofs.incomplete = dict(lists), incomplete

    context.vm.releases.request(
        record,
        lambda: not proofs.all_released,
        on_listed,
        lambda vm: proofs.release(vm, context.stage.reactor.now()),
    )
    when_time(context, 1)
    assert list(proofs.lists) == ["vm1"], proofs


@when("vm1 is listed with another process")
def when_other_process(context):
    value = {**context.entry, "nonce": "second"}
    context.stage.store.write(VM_KIND, "vm1", value)


@then("all proofs have been released within {seconds:d} s")
def then_released(context, seconds):
    when_time(context, seconds)
    assert context.proofs.all_released, context.proofs


@when("vm1 does not renew its entry")
def when_no_renewal(context):
    pass


@then(
    "no release is known after {early:d} s, and all proofs are released after"
    " {late:d} s"
)
def then_released_late(context, early, late):
    when_time(context, early - 1)
    assert not context.proofs.all_released
    when_time(context, late - early)
    assert context.proofs.all_released, context.proofs
