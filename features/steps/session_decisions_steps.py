"""Steps for the pure decisions of sessions, without any process."""

from __future__ import annotations

import dataclasses
import random
import time

from behave import given
from behave import then
from behave import when

from bamboospring.admission import Ticket
from bamboospring.blackboard import Target
from bamboospring.connections import ConnectionTiming
from bamboospring.connections import ConnectionTracker
from bamboospring.http_client import HttpResponse
from bamboospring.object_store import Conflict
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.platform.promotion_client import promotion_result
from bamboospring.sessions.change_wait import change_wait
from bamboospring.sessions.freshness import SampleLog
from bamboospring.sessions.link_setup import link_fit
from bamboospring.sessions.link_setup import setup_orders
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import PendingChange
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.overdue_change import finished_record
from bamboospring.sessions.overdue_change import is_finisher
from bamboospring.sessions.overdue_change import is_overdue
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import ResetConnection
from bamboospring.sessions.proofs import TargetReport
from bamboospring.sessions.refusals import catch_up_delay
from bamboospring.sessions.refusals import record_refusal
from bamboospring.sessions.session_opening import judge_opening
from bamboospring.sessions.session_opening import OpeningPending
from bamboospring.sessions.session_shutdown import disconnect_count
from bamboospring.sessions.session_shutdown import sessions_to_disconnect
from bamboospring.sessions.takeover import OrderPromotion
from bamboospring.sessions.takeover import SendToTarget
from bamboospring.sessions.takeover import StoreRecord
from bamboospring.sessions.takeover import Takeover
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.takeover import TakeoverPhase
from bamboospring.sessions.target_choice import choose_target
from bamboospring.sessions.target_choice import NoTarget
from bamboospring.sessions.target_choice import SendTo
from bamboospring.sessions.target_choice import TargetRequirements
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VmRegistry
from bamboospring.statements import Position
from features.steps import session_worlds
from features.steps.sync_commit_worlds import explore_sync_commits

PROVEN_AT = 10.0


@then("in {count:d} explored changes no proof outlives a promotion")
def then_no_proof(context, count):
    context.seen = session_worlds.explore_changes(count)
    assert not context.seen.wrong, context.seen.wrong[:3]


@then("the exploration has seen promotions, lost answers and takeovers by two")
def then_seen(context):
    seen = context.seen.counts
    assert seen["promoted"] > 100, seen
    assert seen["lost"] > 100, seen
    assert seen["by_two"] > 10, seen
    assert seen["proof_by_targets"] > 100, seen


@then("a change that promotes at once is found in {count:d} explored changes")
def then_found_wait(context, count):
    assert session_worlds.explore_changes(count, wait=False).wrong


@then("a change that has no term held is found in {count:d} explored changes")
def then_found_hold(context, count):
    assert session_worlds.explore_changes(count, hold=False).wrong


@then(
    "in {count:d} explored changes with a synchronous replica no acknowledged"
    " commit is lost"
)
def then_none_lost(context, count):
    seen = explore_sync_commits(count, sync_replicas=1)
    assert not seen.wrong, (len(seen.wrong), seen.wrong[:3])


@then(
    "in {count:d} explored changes replicas were deaf, reported late and were"
    " promoted"
)
def then_faults_seen(context, count):
    seen = explore_sync_commits(count, sync_replicas=1).counts
    assert seen["deaf"] >= count, seen
    assert seen["late_report"] > count / 2, seen
    assert seen["promoted"] > count / 2, seen
    context.explored_count = count


@then(
    "in {count:d} explored changes with leaving replicas no acknowledged"
    " commit is lost"
)
def then_leaving_kept(context, count):
    seen = explore_sync_commits(
        count, sync_replicas=1, late=False, leaving=True
    )
    context.counts = seen.counts
    assert not seen.wrong, (len(seen.wrong), seen.wrong[:3])


@then("in {count:d} or more of them a leaving replica was promoted")
def then_leaving_promoted(context, count):
    assert context.counts["leaving_promoted"] >= count, context.counts


@then(
    "in {count:d} explored changes without synchronous replicas leaving ones"
    " leave none without a primary"
)
def then_none_without(context, count):
    promoted = [
        explore_sync_commits(
            count, sync_replicas=0, late=False, leaving=leaving
        ).counts["promoted"]
        for leaving in (False, True)
    ]
    # Some changes end otherwise, for example since the primary works.
    assert promoted[1] >= 0.95 * promoted[0], promoted


@then(
    "in {count:d} explored changes with refused orders no acknowledged commit"
    " is lost"
)
def then_refused_kept(context, count):
    seen = explore_sync_commits(count, sync_replicas=1, late=False)
    assert seen.counts["order_refused"] >= 50, seen.counts
    assert not seen.wrong, (len(seen.wrong), seen.wrong[:3])


@then("these answers to an order to promote mean")
def then_answers_mean(context):
    for row in context.table:
        response = HttpResponse(status=int(row["status"]), body=b"")
        result = promotion_result(response)
        assert result.value == row["result"], (row, result)


@given("m1 at {staying} and m2 at {leaving:d}, which is leaving")
def given_leaving(context, staying, leaving):
    context.positions = {"m2": leaving}
    if staying != "-":
        context.positions["m1"] = int(staying)


@when("m0 at {index:d} {fate} in a group with {sync:d} synchronous replicas")
def when_fate(context, index, fate, sync):
    is_planned = fate == "leaves"
    change = context.change = Takeover(
        vm="v",
        nonce="n",
        cause=TakeoverCause.LEAVING if is_planned else TakeoverCause.GONE,
        record=PrimaryRecord(group="g", version=1, term=1, primary="m0"),
        targets=("m0", *context.positions),
        leaving=("m2",),
        sync_replicas=sync,
    )
    change.begin(0.0)
    context.primary = replica(received=index, is_primary=True)
    context.actions = change.on_report(
        "m0", context.primary if is_planned else None, 0.0
    )
    for name, received in context.positions.items():
        context.actions = change.on_report(name, replica(received), 0.0)


@then("the change first names {name}")
def then_first_named(context, name):
    if name == "none":
        assert context.change.is_over, context.change.phase
        return
    (action,) = context.actions
    assert isinstance(action, StoreRecord), action
    assert action.record.change.candidate == name


@given("a {cause} change in a group with {sync:d} synchronous replicas")
def given_waiting_change(context, cause, sync):
    is_planned = cause == "planned"
    change = context.change = Takeover(
        vm="v",
        nonce="n",
        cause=TakeoverCause.ORDERED if is_planned else TakeoverCause.GONE,
        record=PrimaryRecord(group="g", version=1, term=1, primary="m0"),
        targets=("m0", "m1", "m2"),
        sync_replicas=sync,
    )
    change.begin(0.0)
    primary = replica(received=8, is_primary=True) if is_planned else None
    change.on_report("m0", primary, 0.0)


@when("m1 reports at once and m2 reports at {time:f} s with more")
def when_late_report(context, time):
    change = context.change
    change.on_report("m1", replica(received=5), 0.0)
    context.named_at = None
    for tenth in range(1, 31):
        now = tenth / 10
        if now == time:
            change.on_report("m2", replica(received=7), now)
        change.tick(now)
        if change.phase is not TakeoverPhase.SURVEY:
            context.named_at = now
            return


@then("the change names {name} at {moment:f} s")
def then_named_at(context, name, moment):
    change = context.change
    assert context.named_at == moment, (context.named_at, change.phase)
    if name == "none":
        assert change.phase is TakeoverPhase.GIVEN_UP, change.phase
        assert "not heard: m2" in change.end_reason, change.end_reason
        return
    assert change.phase is TakeoverPhase.INTEND, change.phase
    assert change.candidate == name, change.candidate


@when("m1 reports at once and m2 is busy")
def when_busy(context):
    context.change.on_report("m1", replica(received=5), 0.0)
    context.change.on_no_report("m2")


@then("m2 is asked again, once for each missing report")
def then_asked_again(context):
    change = context.change
    ask = [SendToTarget(target="m2", order=AskReport())]
    assert change.tick(0.3) == ask
    assert change.tick(0.6) == []
    change.on_no_report("m2")
    assert change.tick(0.9) == ask


@when("m2 has left and m3 is new")
def when_replaced(context):
    context.change.update_targets(("m1", "m3"), (), {})


@then("m3 is asked, and its report is enough")
def then_enough(context):
    change = context.change
    ask = [SendToTarget(target="m3", order=AskReport())]
    assert change.tick(1.2) == ask
    change.on_report("m3", replica(received=9), 1.3)
    assert change.phase is TakeoverPhase.INTEND, change.phase
    assert change.candidate == "m3", change.candidate


@when("all VMs have released their proofs, and m1 is at {index:d}")
def when_verified(context, index):
    change = context.change
    hold = SendToTarget(target="m2", order=HoldTerm(term=2))
    assert change.on_stored(2, 0.0) == [hold]
    holder = replica(received=context.positions["m2"], held_term=2)
    change.on_report("m2", holder, 0.0)
    change.on_proofs_released(0.1)
    change.on_report("m0", context.primary, 0.15)
    change.on_report("m1", replica(received=index), 0.15)
    context.actions = change.on_report("m2", holder, 0.15)


@then("m1 is promoted")
def then_m1_promoted(context):
    (action,) = context.actions
    assert action == OrderPromotion(target="m1"), action


@then("m2 is named before it is promoted")
def then_m2_named(context):
    (action,) = context.actions
    assert isinstance(action, StoreRecord), action
    assert action.record.change.candidate == "m2"
    (action,) = context.change.on_stored(3, 0.8)
    assert action == OrderPromotion(target="m2")


@then("without a synchronous replica promotions lost commits")
def then_asynchronous_lost(context):
    seen = explore_sync_commits(context.explored_count, sync_replicas=0)
    assert seen.counts["changes_with_loss"] > 10, seen.counts


@then("in {count:d} explored histories no read lacks what it must see")
def then_fresh(context, count):
    context.seen = session_worlds.explore_reads(count)
    assert not context.seen.wrong, context.seen.wrong[:3]


@then("most explored reads ran at replicas")
def then_replicas(context):
    seen = context.seen.counts
    assert seen["replica"] > seen["primary"], seen


def news_of(name, zone, **fields):
    target = Target(
        name=name,
        address="127.0.0.1:1",
        availability_zone=zone,
        site=zone,
    )
    return ListedTarget(target=target, group="g", **fields)


@given("a group with a primary and two replicas")
def given_group(context):
    group = SessionGroup(name="g")
    for name, zone in (("p", "a"), ("r1", "b"), ("r2", "c")):
        group.targets[name] = news_of(name, zone)
    group.record = PrimaryRecord(group="g", version=1, term=1, primary="p")
    group.proof.renew(PROVEN_AT)
    context.group = group


@given("a sample of position {number:d} taken at {at:f}")
def given_sample(context, number, at):
    context.group.samples.add(at, Position(term=1, index=number))


@given("both replicas were behind at {at:f}")
def given_behind(context, at):
    for name in ("r1", "r2"):
        context.group.observed_target(name).behind_until = at + 0.1


@given("a sample of each 0.1 s, and replicas that lag by {lag:g} s")
def given_lagging(context, lag):
    context.lag = lag
    context.time = 20.0
    context.asked = {}
    context.ran = []


def index_at(instant):
    """Return the index of the primary's newest position at an instant."""
    return int(instant * 10)


@when("the replicas lag by {lag:g} s from now on")
def when_lag(context, lag):
    context.lag = lag


@when("{rate:d} reads a second that accept {age:g} s come for {seconds:g} s")
def when_reads(context, rate, age, seconds):
    context.ran = []
    group = context.group
    for _ in range(int(rate * seconds)):
        context.time += 1 / rate
        now = context.time
        group.proof.renew(now)
        group.samples.add(now, Position(term=1, index=index_at(now)))
        context.ran.append((now, read_once(context, age, now)))


def read_once(context, age, now):
    """Run one read and return the target that served it."""
    group, excluded = context.group, set()
    while True:
        needs = TargetRequirements(
            received_at=now, at_primary=False, excluded=excluded
        )
        choice = choose_target(
            group, route(Freshness.BOUNDED, age), needs, zone="a", now=now
        )
        name = choice.news.target.name
        context.asked[name] = context.asked.get(name, 0) + 1
        shown = Position(term=1, index=index_at(now - context.lag))
        if name == "p" or shown >= choice.after:
            return name
        group.observed_target(name).record_applied(shown, now)
        record_refusal(group, name, Refusal.BEHIND, now, needed=choice.after)
        excluded.add(name)


@then("each replica was asked at most {most:d} times")
def then_asked(context, most):
    assert context.asked["r1"] <= most, context.asked
    assert context.asked["r2"] <= most, context.asked


@then("after the first {seconds:g} s all reads ran at replicas")
def then_at_replicas(context, seconds):
    began = context.ran[0][0]
    late = [name for at, name in context.ran if at - began > seconds]
    assert late and "p" not in late, context.ran


@then(
    "a replica whose position is {gap:g} s too old is skipped for "
    "{pause:g} s"
)
@then("one whose position is {gap:g} s too old is skipped for {pause:g} s")
def then_left(context, gap, pause):
    samples = SampleLog()
    for n in range(100):
        at = 20.0 + n / 10
        samples.add(at, Position(term=1, index=index_at(at)))
    needed = Position(term=1, index=index_at(28.0))
    shown = Position(term=1, index=index_at(28.0 - gap))
    found = catch_up_delay(samples, shown, needed)
    assert abs(found - pause) < 0.11, found


@given("the primary may be used until {at:f}")
def given_until(context, at):
    news = context.group.targets["p"]
    context.group.targets["p"] = dataclasses.replace(
        news, leaving=True, usable_until=at
    )


def route(freshness, max_age):
    return Route(
        name="r",
        database="d",
        group="g",
        freshness=freshness,
        time_limit=1.0,
        objective=0.2,
        max_age=max_age,
    )


def decide(context, at, *, at_primary=False, written=Position(), age=1.5):
    context.choice = choose_target(
        context.group,
        route(Freshness.OWN_WRITES, age),
        TargetRequirements(
            received_at=at, at_primary=at_primary, last_commit=written
        ),
        zone="a",
        now=at,
    )


@when("a read that accepts {age:f} s comes at {at:f}")
def when_read(context, age, at):
    context.group.proof.renew(at - 0.5)
    decide(context, at, age=age)


@when("a session that wrote position {number:d} reads at {at:f}")
def when_own(context, number, at):
    decide(context, at, written=Position(term=1, index=number))


@when("a write comes {seconds:f} s after the proof")
def when_write(context, seconds):
    decide(context, PROVEN_AT + seconds, at_primary=True)


@then("it goes to a replica that must have position {number:d}")
def then_replica(context, number):
    choice = context.choice
    assert isinstance(choice, SendTo) and choice.at_replica, choice
    assert choice.after == Position(term=1, index=number), choice


@then("it goes to the primary without a position")
def then_primary(context):
    choice = context.choice
    assert isinstance(choice, SendTo) and not choice.at_replica, choice
    assert choice.news.target.name == "p" and choice.after is None, choice


@then("it goes to the primary with position {number:d}")
def then_primary_with(context, number):
    choice = context.choice
    assert isinstance(choice, SendTo) and not choice.at_replica, choice
    assert choice.after == Position(term=1, index=number), choice


@then("it is refused because of {reason}")
def then_refused(context, reason):
    assert isinstance(context.choice, NoTarget), context.choice
    assert context.choice.reason.value == reason, context.choice


class FakePlatform:
    """Answers each put with the next of the given results."""

    def __init__(self, results):
        self.results = results
        self.puts = []
        self.era = 0
        self.restored_at = None
        self.on_restored = []

    def put(self, kind, name, if_version, value, purpose, on_result):
        self.puts.append(if_version)
        if self.results:
            on_result(self.results.pop(0))


class FakeReactor:
    """Records scheduled callbacks with their delays."""

    def __init__(self):
        self.time = 100.0
        self.later = []

    def now(self):
        return self.time

    def call_later(self, delay, callback):
        self.later.append((delay, callback))


def registry(results):
    reactor, platform = FakeReactor(), FakePlatform(results)
    me = ListedVm(name="vm", address="a", availability_zone="z", nonce="n")
    board = SessionBoard(vm="vm", availability_zone="z")
    made = VmRegistry(
        reactor=reactor, board=board, platform=platform, local_vm=me
    )
    return made, reactor, platform


@given("a VM whose entry was stored at {at:f}")
def given_filed(context, at):
    from bamboospring.object_store import Stored

    context.registry, reactor, _platform = registry([Stored(version=1)])
    reactor.time = at
    context.registry.start(lambda: None)


@then("it may take proofs at {at:f}")
def then_may(context, at):
    assert context.registry.can_take_proofs(at)


@then("it may not take proofs at {at:f}")
def then_may_not(context, at):
    assert not context.registry.can_take_proofs(at)


@given("a VM whose entry exists at version {version:d}")
def given_exists(context, version):
    conflict = Conflict(version=version, value={})
    made = registry([conflict])
    context.registry, context.reactor, context.platform = made


@when("it stores its entry")
def when_files(context):
    context.registry.start(lambda: None)


@then("the second attempt follows at once and replaces version {v:d}")
def then_at_once(context, v):
    delay, callback = context.reactor.later[0]
    assert delay == 0, delay
    callback()
    assert context.platform.puts == [0, v], context.platform.puts


@when("caller {caller} sends an urgent statement with {remaining:d} ms left")
def when_urgent(context, caller, remaining):
    load = context.load
    load.count += 1
    ticket = Ticket(
        caller=caller,
        deadline=load.now + remaining / 1000,
        urgency=-1,
        item=load.count,
    )
    load.apply(load.admission.submit(ticket, load.now))


@given("at most {limit:d} connections with one opened per {pace:d} ms")
def given_connections(context, limit, pace):
    timing = ConnectionTiming(
        open_interval=pace / 1000, idle_timeout=9.0, scarce_idle_timeout=0.3
    )
    context.connections = ConnectionTracker(timing=timing, limit=limit)


@when("the target is full at {at:f}")
def when_full(context, at):
    context.connections.record_target_full(at)


@then("none is opened before {at:f}")
def then_none(context, at):
    assert context.connections.open_delay(at - 0.001, 1) > 0
    assert context.connections.open_delay(at, 1) == 0


class FakeConn:
    def __init__(self, last_used_at, values=None):
        self.last_response_at = self.last_used_at = last_used_at
        self.values = values or {}
        self.shapes = set()
        self.team = ""


@then("idle ones are closed after {seconds:f} s until {until:f}")
def then_closed(context, seconds, until):
    connections = context.connections
    connections.opening = 1
    connections.add_opened(FakeConn(until - 1.0))
    assert not connections.take_expired(until + 0.1)
    assert len(connections.take_expired(until - 0.1)) == 1


@given("idle connections with the values lang=1, none, lang=2")
def given_idle(context):
    connections = ConnectionTracker(limit=9)
    for values in ({"lang": "1"}, {}, {"lang": "2"}):
        connections.opening += 1
        connections.add_opened(FakeConn(5.0, values))
    context.connections = connections


@when("a session with the values {name}={value} takes one")
def when_takes(context, name, value):
    values = {name: value}
    context.taken = context.connections.lease_idle(
        5.0, score=lambda conn: link_fit(conn, values, None)
    )


@then("it gets the one with {values}")
def then_gets(context, values):
    expected = {}
    if values != "none":
        name, _, value = values.partition("=")
        expected[name] = value
    assert context.taken.values == expected, context.taken.values


@then("a session with no values clears the one with lang=1 first")
def then_clears(context):
    taken = context.connections.lease_idle(5.0)
    assert taken.values == {"lang": "1"}
    assert setup_orders(taken, {}, None, None) == [ResetConnection()]


@given("a change of primary seen at {at:f} that takes {seconds:f} s")
def given_change(context, at, seconds):
    group = SessionGroup(name="g", is_changing=True, change_seen_at=at)
    context.expected = group.change_expected_at(seconds)


@then("a statement of {at:f} with {limit:d} s waits until {until:f}")
def then_waits(context, at, limit, until):
    waits, _retry = change_wait(
        context.expected, now=at, deadline=at + limit, usual=at + 0.05
    )
    assert abs(waits - until) < 1e-6, waits


@then(
    "a statement of {at:f} with {limit:d} s is refused at once, with a "
    "retry after {retry:f} s"
)
def then_at_once_refused(context, at, limit, retry):
    waits, after = change_wait(
        context.expected, now=at, deadline=at + limit, usual=at + 0.05
    )
    assert waits == at and abs(after - retry) < 1e-6, (waits, after)


@then("a statement of {at:f} with {limit:d} s does not wait when overdue")
def then_overdue(context, at, limit):
    waits, _retry = change_wait(
        context.expected, now=at, deadline=at + limit, usual=at + 0.05
    )
    assert waits == at + 0.05, waits


@then(
    "{count:d} idle sessions are closed evenly over the first "
    "{seconds:f} s of {grace:d} s"
)
def then_evenly(context, count, seconds, grace):
    remaining, elapsed, most = count, 0.0, 0
    while remaining and elapsed < grace:
        closed = disconnect_count(remaining, elapsed, grace, 0.05)
        most = max(most, closed)
        remaining -= closed
        elapsed += 0.05
    assert remaining == 0 and elapsed <= seconds + 0.05, (remaining, elapsed)
    assert most <= 3, most


@given("a primary that was recorded at {at:f} and is not proven yet")
def given_settled(context, at):
    context.group = SessionGroup(name="g", primary_set_at=at)


@then("a proof is due until {until:f}")
def then_due(context, until):
    assert context.group.first_proof_due_at(until - 0.01) == until
    assert context.group.first_proof_due_at(until) is None


@then("none is due once it is proven")
def then_none_due(context):
    context.group.proof.renew(20.01)
    assert context.group.first_proof_due_at(20.1) is None


@given("a catalog of {count:d} routes of urgency 2 and one of urgency 1")
def given_catalog(context, count):
    plain = route(Freshness.PRIMARY, None)
    routes = {
        f"d{n}": dataclasses.replace(plain, database=f"d{n}", urgency=2)
        for n in range(count)
    }
    routes["first"] = dataclasses.replace(plain, urgency=1)
    board = context.board = SessionBoard(vm="v", availability_zone="z")
    board.catalog = Catalog(version=1, routes=routes)


@then("only that one is urgent, and {count:d} lookups take less than 1 s")
def then_urgent(context, count):
    board = context.board
    urgent = [r for r in board.catalog.routes.values() if board.is_urgent(r)]
    assert [r.urgency for r in urgent] == [1], len(urgent)
    first = board.catalog.routes["first"]
    began = time.monotonic()
    for _ in range(count):
        board.is_urgent(first)
    assert time.monotonic() - began < 1.0


@given("a VM that has just started and knows nothing")
def given_started(context):
    context.board = SessionBoard(vm="v", availability_zone="z")


@then(
    "an opening waits for {longest:f} s and is then refused with a "
    "retry time"
)
def then_held(context, longest):
    def judge(held):
        return judge_opening(
            context.board, "d", "", now=0.0, running=held, held=held
        )

    assert isinstance(judge(longest - 0.01), OpeningPending)
    refusal = judge(longest)
    assert isinstance(refusal, Overloaded), refusal
    assert refusal.reason is Reason.STARTING
    assert refusal.retry_after_ms > 0


@then("one for a group without a record waits for the first {first:f} s only")
def then_first_only(context, first):
    route = Route(
        name="r",
        database="d",
        group="g",
        freshness=Freshness.PRIMARY,
        time_limit=1.0,
        objective=0.2,
    )
    context.board.catalog = Catalog(version=1, routes={"d": route})

    def judge(running):
        return judge_opening(
            context.board, "d", "", now=0.0, running=running, held=0.0
        )

    assert isinstance(judge(first), OpeningPending)
    assert judge(first + 0.01) is None


@then("one for an unknown database is refused at once")
def then_unknown(context):
    refusal = judge_opening(
        context.board, "x", "", now=0.0, running=0.0, held=0.0
    )
    assert isinstance(refusal, NotRun), refusal
    assert refusal.reason is Reason.UNKNOWN_GROUP


@dataclasses.dataclass(kw_only=True)
class Resting:
    """A session, as far as the choice of sessions to disconnect needs it."""

    last_used_at: float
    is_idle: bool = True
    disconnect_requested: bool = False


@given("sessions that were used {a:f}, {b:f} and {c:f} s ago")
def given_used(context, a, b, c):
    # Not in the order of their last use.
    context.resting = [Resting(last_used_at=100.0 - ago) for ago in (c, a, b)]


@then(
    "a VM that has been stopping for {elapsed:f} of {grace:d} s "
    "disconnects the first two"
)
def then_first_two(context, elapsed, grace):
    found = leavers(context, elapsed, grace)
    assert [s.last_used_at for s in found] == [95.0, 99.0], found


@then("after {elapsed:f} s it disconnects all three")
def then_all_three(context, elapsed):
    assert len(leavers(context, elapsed, 6)) == 3


def leavers(context, elapsed, grace):
    return sessions_to_disconnect(
        context.resting, elapsed=elapsed, grace=float(grace), now=100.0
    )


@then(
    "in {count:d} explored changes that any VM may finish no proof "
    "outlives a promotion"
)
def then_finish(context, count):
    context.seen = session_worlds.explore_changes(count, finish=True)
    assert not context.seen.wrong, context.seen.wrong[:3]


@then("the exploration has seen changes that other VMs finished")
def then_seen_finish(context):
    assert context.seen.counts["finished"] > 50, context.seen.counts


@then(
    "finishing a change without a version check is found in {count:d} "
    "explored changes"
)
def then_found_finish(context, count):
    seen = session_worlds.explore_changes(count, finish=True, fence=False)
    assert seen.wrong


def changing(candidate):
    return PrimaryRecord(
        group="g",
        version=7,
        term=3,
        primary="m0",
        change=PendingChange(
            term=4, vm="v", nonce="n", cause="failed", candidate=candidate
        ),
    )


def leading(term):
    return TargetReport(
        is_primary=True, term=term, received_term=term, received_index=9
    )


@given("a change of term 3 under way whose record names m1")
def given_named(context):
    context.record = changing("m1")


@then("m1 leading term 4 ends it")
def then_ends(context):
    found = finished_record(context.record, {"m1": leading(4)})
    assert (found.primary, found.term, found.version) == ("m1", 4, 7)
    assert found.change is None


@then("m1 leading term 3 does not end it, nor does m2 leading term 4")
def then_not_ended(context):
    assert finished_record(context.record, {"m1": leading(3)}) is None
    assert finished_record(context.record, {"m2": leading(4)}) is None
    assert finished_record(context.record, {}) is None


@then("nothing ends a change whose record names nobody")
def then_nobody(context):
    assert finished_record(changing(""), {"m1": leading(4)}) is None


@given("a change under way whose record of term 1 names m2")
def given_named_change(context):
    change = PendingChange(
        term=2, vm="v", nonce="other", cause="failed", candidate="m2"
    )
    context.change = Takeover(
        vm="v",
        nonce="n",
        cause=TakeoverCause.UNFINISHED,
        record=PrimaryRecord(
            group="g", version=1, term=1, primary="m0", change=change
        ),
        targets=("m0", "m1", "m2"),
    )
    context.change.begin(0.0)


@when("a leader takes it up, and m1 leads term 2 and m2 is silent")
def when_taken_up(context):
    context.former = dataclasses.replace(
        replica(received=9, is_primary=True), term=2, received_term=2
    )
    context.change.on_report("m1", context.former, 0.1)
    context.actions = context.change.tick(0.2)


@then("no primary is recorded")
def then_none_recorded(context):
    for action in context.actions:
        if isinstance(action, StoreRecord):
            assert action.record.change is not None, action


@when("m2 leads term 3")
def when_m2_leads(context):
    given_named_change(context)
    report = dataclasses.replace(context.former, term=3, received_term=3)
    context.change.on_report("m0", None, 0.1)
    context.change.on_report("m1", context.former, 0.1)
    context.actions = context.change.on_report("m2", report, 0.1)


@then("m2 is recorded as the primary of term 3")
def then_m2_recorded(context):
    (action,) = context.actions
    assert isinstance(action, StoreRecord), action
    record = action.record
    assert (record.primary, record.term) == ("m2", 3), record
    assert record.change is None


@given("a change seen at {at:g}")
def given_seen(context, at):
    context.group = SessionGroup(name="g")
    context.group.record = changing("m1")
    context.group.change_seen_at = at


@then("it is not overdue at {early:g} and is overdue at {late:g}")
def then_change_overdue(context, early, late):
    assert not is_overdue(context.group, early)
    assert is_overdue(context.group, late)


@then("of {many:d} VMs about {few:d} check it, of {less:d} all do")
def then_few(context, many, few, less):
    chance = random.Random(3)
    draws = [chance.getrandbits(32) for _ in range(many)]
    looking = sum(is_finisher(draw, many) for draw in draws)
    assert 0 < looking <= 3 * few, looking
    assert all(is_finisher(draw, less) for draw in draws)


@given("a change whose intent names m2 and whose proofs are released")
def given_over(context):
    change = Takeover(
        vm="v",
        nonce="n",
        cause=TakeoverCause.GONE,
        record=PrimaryRecord(group="g", version=1, term=1, primary="m0"),
        targets=("m0", "m1", "m2"),
    )
    change.begin(0.0)
    change.on_report("m0", None, 0.0)
    change.on_report("m1", replica(received=5), 0.0)
    change.on_report("m2", replica(received=6), 0.0)
    change.on_stored(2, 0.0)
    assert change.record.change.candidate == "m2"
    change.on_report("m1", replica(received=5, held_term=2), 0.0)
    change.on_proofs_released(0.1)
    context.change = change


def replica(received, held_term=0, is_primary=False):
    return TargetReport(
        is_primary=is_primary,
        term=1,
        received_term=1,
        received_index=received,
        held_term=held_term,
    )


@when("m1 reports a later position than m2")
def when_more(context):
    change = context.change
    change.on_report("m0", None, 0.15)
    change.on_report("m1", replica(received=8, held_term=2), 0.15)
    context.actions = change.on_report("m2", replica(received=6), 0.15)


@then("the record is stored with m1 before m1 is promoted")
def then_named(context):
    (action,) = context.actions
    assert isinstance(action, StoreRecord), action
    assert action.record.change.candidate == "m1"
    (action,) = context.change.on_stored(3, 0.3)
    assert action == OrderPromotion(target="m1")
