"""Steps for the lists of VMs and targets after a restore of the store."""

from __future__ import annotations

from collections.abc import Callable
import types
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.blackboard import Target
from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.peers import new_envelope
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import PendingChange
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.outstanding_proofs import OutstandingProofs
from bamboospring.sessions.proof_release import ProofReleases
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.record_settler import RecordSettler
from bamboospring.sessions.settled_record import settled_record
from bamboospring.sessions.target_keeper import TargetKeeper
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VM_KIND
from bamboospring.sessions.vm_registry import VmRegistry
from bamboospring.store_version import UnsettledState
from bamboospring.store_version import version_of

ME = ListedVm(name="vm0", address="a", availability_zone="z", nonce="n")
OTHER = {"address": "b", "availability_zone": "z", "nonce": "m"}


class SimTimer:
    """A callback that runs once unless it is cancelled."""

    def __init__(self, when: float, callback: Callable[[], None]) -> None:
        self.when = when
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class SimReactor:
    """Runs due callbacks when its clock is advanced."""

    def __init__(self) -> None:
        self.time = 0.0
        self._timers: list[SimTimer] = []

    def now(self) -> float:
        return self.time

    def call_later(
        self, delay: float, callback: Callable[[], None]
    ) -> SimTimer:
        timer = SimTimer(self.time + delay, callback)
        self._timers.append(timer)
        return timer

    def run(self, seconds: float) -> None:
        end = self.time + seconds
        while True:
            due = [t for t in self._timers if t.when <= end]
            if not due:
                break
            timer = min(due, key=lambda each: each.when)
            self._timers.remove(timer)
            self.time = max(self.time, timer.when)
            if timer.callback is not None:
                timer.callback()
        self.time = end


class SimPlatform:
    """A store that accepts entries in its current era while it answers."""

    def __init__(self) -> None:
        self.era = 0
        self.now: Callable[[], float] = float
        self.restored_at: float | None = None
        self.on_restored: list[Callable[[], None]] = []
        self.answers = True
        self.puts = 0
        self.answer_from: int | None = None

    def restore(self) -> None:
        self.era += 1
        self.restored_at = self.now()
        for callback in self.on_restored:
            callback()

    def put(
        self,
        kind: str,
        name: str,
        if_version: int,
        value: Any,
        purpose: str,
        on_result: Callable[[Any], None],
    ) -> None:
        self.puts += 1
        if not self.answers:
            on_result(Unavailable(maybe_applied=True, retry_after=0.1))
            return
        era, self.answer_from = self.answer_from, None
        version = version_of(
            era=self.era if era is None else era, revision=self.puts
        )
        on_result(Stored(version=version))

    def list(
        self, kind: str, purpose: str, on_result: Any, timeout: float
    ) -> None:
        found = Found(kind=VM_KIND, name="vm1", version=5, value=OTHER)
        on_result(Changes(objects=(found,), revision=9))


@given("a VM that has stored its entry")
def given_filed(context: Any) -> None:
    context.reactor, context.platform = SimReactor(), SimPlatform()
    context.platform.now = context.reactor.now
    context.registry = VmRegistry(
        reactor=context.reactor,
        board=SessionBoard(vm=ME.name, availability_zone="z"),
        platform=context.platform,
        local_vm=ME,
    )
    context.registry.start(lambda: None)
    context.reactor.run(1.0)
    assert context.registry.can_take_proofs(context.reactor.now())


@when("the store is restored and does not answer")
def when_silent(context: Any) -> None:
    context.platform.answers = False
    context.platform.restore()
    context.reactor.run(1.0)


@then("it may take no proof")
def then_no_proof(context: Any) -> None:
    assert not context.registry.can_take_proofs(context.reactor.now())


@when("the store accepts its entry")
def when_taken(context: Any) -> None:
    context.platform.answers = True
    context.reactor.run(1.0)


@then("it may take proofs again")
def then_proofs(context: Any) -> None:
    assert context.registry.can_take_proofs(context.reactor.now())


@given("a VM whose entry is accepted just before the store is restored")
def given_crossed(context: Any) -> None:
    context.reactor, context.platform = SimReactor(), SimPlatform()
    context.platform.era = 1
    context.platform.answer_from = 0
    context.registry = VmRegistry(
        reactor=context.reactor,
        board=SessionBoard(vm=ME.name, availability_zone="z"),
        platform=context.platform,
        local_vm=ME,
    )
    context.registry.start(lambda: None)


@then("it stores its entry again before it takes a proof")
def then_again(context: Any) -> None:
    registry, reactor = context.registry, context.reactor
    assert not registry.can_take_proofs(reactor.now())
    reactor.run(0.1)
    assert context.platform.puts == 2
    assert registry.can_take_proofs(reactor.now())


class SimPeers:
    """Another VM that releases its proof at once."""

    def __init__(self) -> None:
        self.ask_count = 0

    def add_handler(self, kind: str, handler: Any) -> None:
        pass

    def ask(
        self, address: str, message: Any, timeout: float, on_answer: Any
    ) -> None:
        self.ask_count += 1
        answer = new_envelope()
        answer.init("recordSeen").version = 7
        on_answer(answer)


class SimRecords:
    """Accepts every record."""

    def apply(self, record: PrimaryRecord) -> None:
        pass


@given("a leader and 1 listed VM that releases its proof at once")
def given_leads(context: Any) -> None:
    given_filed(context)
    context.peers = SimPeers()
    board = SessionBoard(vm=ME.name, availability_zone="z")
    context.releases = ProofReleases(
        reactor=context.reactor,
        board=board,
        peers=context.peers,
        registry=context.registry,
        records=SimRecords(),  # type: ignore[arg-type]
    )


@when("it asks all VMs to release their proof of a primary")
def when_asked(context: Any) -> None:
    context.peers.ask_count = 0
    change = PendingChange(term=2, vm="vm0", nonce="n", cause="failed")
    record = PrimaryRecord(
        group="g", version=7, term=1, primary="m0", change=change
    )
    proofs = OutstandingProofs()

    def on_listed(lists: dict[str, int], incomplete: bool) -> None:
        proofs.lists, proofs.incomplete = lists, incomplete

    context.releases.request(
        record,
        lambda: not proofs.all_released,
        on_listed,
        lambda vm: proofs.release(vm, context.reactor.now()),
    )
    context.reactor.run(0.5)
    context.released = proofs.all_released


@when("the store was restored {seconds:d} s ago and it asks again")
def when_returned(context: Any, seconds: int) -> None:
    context.platform.restore()
    context.reactor.run(seconds)
    when_asked(context)


@then("it learns that all have released their proof")
def then_released(context: Any) -> None:
    assert context.released, context.peers.ask_count


@then("it does not learn of a release, but has sent the record to the VM")
def then_told(context: Any) -> None:
    assert not context.released
    assert context.peers.ask_count == 1


# The list of targets.


class ListedTargets:
    """A store that lists one target."""

    def __init__(self) -> None:
        self.leaving = True
        self.lacks = False

    def may_be_incomplete(self, asked_at: float) -> bool:
        return self.lacks

    def list(
        self, kind: str, purpose: str, on_result: Any, timeout: float
    ) -> None:
        found = Found(kind=kind, name="m0", version=5, value=self.leaving)
        on_result(Changes(objects=(found,), revision=9))


def decode_listed(found: Found) -> ListedTarget:
    """Decode an entry that only has whether its target is leaving."""
    target = Target(name="m0", address="a:1", availability_zone="z", site="z")
    return ListedTarget(target=target, group="g", leaving=found.value)


@given("a VM that has seen a target leave")
def given_leaving(context: Any) -> None:
    context.reactor, context.platform = SimReactor(), ListedTargets()
    board = SessionBoard(vm="vm0", availability_zone="z")
    context.group = board.group("g")
    unused: Any = None
    context.keeper = TargetKeeper(
        reactor=context.reactor,
        board=board,
        platform=context.platform,
        pools=unused,
        kind="servers",
        decode_target=decode_listed,
        leaving_timeout=7.0,
        zone_holders=unused,
    )
    context.keeper.start()
    context.reactor.run(0.1)
    context.usable_until = context.group.targets["m0"].usable_until


@when("the store is restored and lists the target as ready")
def when_ready(context: Any) -> None:
    context.platform.leaving = False
    context.platform.lacks = True
    context.reactor.run(2.0)


@then("the target is still leaving, with the same deadline")
def then_leaving(context: Any) -> None:
    news = context.group.targets["m0"]
    assert news.leaving and news.usable_until == context.usable_until, news
    assert all(each.leaving for each in context.keeper.listed)


@when("the store still lists the target as ready {seconds:d} s later")
def when_later(context: Any, seconds: int) -> None:
    context.platform.lacks = False
    context.reactor.run(seconds)


@then("the target is no longer leaving")
def then_stays(context: Any) -> None:
    assert not context.group.targets["m0"].leaving


# Settling groups.


def report_of(term: int, *, leads: bool = False) -> TargetReport:
    return TargetReport(
        is_primary=leads, term=term, received_term=term, received_index=5
    )


@given("a record of m0 in term 1 that the store has lost, and a change to m2")
def given_lost_record(context: Any) -> None:
    change = PendingChange(
        term=2, vm="vm0", nonce="n", cause="failed", candidate="m2"
    )
    context.record = PrimaryRecord(
        group="g", version=7, term=1, primary="m0", change=change
    )


def settle(context: Any, reports: dict[str, TargetReport]) -> None:
    context.settled = settled_record(
        context.record,
        UnsettledState(era=1, version=version_of(era=1, revision=5)),
        ("m0", "m1", "m2"),
        reports,
    )


@when("m0 leads term 1 and m1 agrees")
def when_former_leads(context: Any) -> None:
    leads, agrees = report_of(1, leads=True), report_of(1)
    settle(context, {"m0": leads, "m1": agrees, "m2": agrees})


@when("m0 leads term 1 and m2 leads it")
def when_both_lead(context: Any) -> None:
    leads = report_of(1, leads=True)
    settle(context, {"m0": leads, "m1": report_of(1), "m2": leads})


@when("m2 leads term 2 and m1 agrees")
def when_candidate_leads(context: Any) -> None:
    leads, agrees = report_of(2, leads=True), report_of(2)
    settle(context, {"m0": report_of(1), "m1": agrees, "m2": leads})


@when("m2 leads term 2 and m1 has ended")
def when_other_ended(context: Any) -> None:
    leads = report_of(2, leads=True)
    settle(context, {"m0": report_of(1), "m2": leads})


@then("{primary} is recorded")
def then_recorded(context: Any, primary: str) -> None:
    if primary == "nobody":
        assert context.settled is None, context.settled
        return
    assert context.settled.primary == primary, context.settled


@given("a leader whose list of targets may be incomplete")
def given_incomplete(context: Any) -> None:
    reactor = context.reactor = SimReactor()
    board = context.board = SessionBoard(vm="vm0", availability_zone="z")
    platform = context.platform = ListedTargets()
    platform.lacks = True
    context.asked = []
    control: Any = types.SimpleNamespace(
        ask=lambda group, name, *_others: context.asked.append(name)
    )
    unused: Any = None
    context.settler = RecordSettler(
        reactor=reactor,  # type: ignore[arg-type]
        board=board,
        platform=platform,  # type: ignore[arg-type]
        questions=control,
        records=unused,
        releases=unused,
        is_leader=lambda: True,
        on_settled=unused,
        on_disagreed=unused,
    )
    group = context.group = board.group("g")
    group.record = PrimaryRecord(group="g", version=7, term=1, primary="m0")
    group.unsettled = UnsettledState(era=1, version=0)
    for name in ("m0", "m1"):
        target = Target(
            name=name, address="a:1", availability_zone="z", site="z"
        )
        group.targets[name] = ListedTarget(target=target, group="g")


@then("it asks no target of an unsettled group")
def then_asks_none(context: Any) -> None:
    context.settler.tick(context.group)
    assert not context.asked


@when("the list is complete")
def when_complete(context: Any) -> None:
    context.platform.lacks = False


@then("it asks the targets of the unsettled group")
def then_asks(context: Any) -> None:
    context.settler.tick(context.group)
    assert context.asked == ["m0", "m1"]
