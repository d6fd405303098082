"""Steps for overdue responses: decisions, single VMs and many VMs."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.admission import Admission
from bamboospring.admission import SlotRefused
from bamboospring.admission import Ticket
from bamboospring.outcomes import Unknown
from bamboospring.retry_budget import RetryBudget
from bamboospring.sessions.access import Identity
from bamboospring.sessions.forwarded_attempt import ANSWER_RESERVE
from bamboospring.sessions.overdue import judge_response
from bamboospring.sessions.overdue import MIN_THRESHOLD
from bamboospring.sessions.overdue import Overdue
from bamboospring.sessions.overdue import OverdueStatistics
from bamboospring.sessions.overdue import ResponseTimes
from bamboospring.sessions.overdue import should_abandon
from bamboospring.sessions.overdue import StillExpected
from bamboospring.sessions.overdue import USUAL_FACTOR
from bamboospring.sessions.ports import Served
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import SessionTransaction
from bamboospring.shares import TargetCapacity
from features.steps.zone_holders_steps import Crowd
from features.steps.zone_holders_steps import ROUTE

SENT_AT = 10.0
TIME_LIMIT = 1.0


# Many VMs.


@given("load control is on at all VMs")
def given_load_control(context: Any) -> None:
    for vm in context.crowd.vms:
        vm.board.load_control = True


@given("the target queues up to {count:d} statements")
def given_target_queue(context: Any, count: int) -> None:
    context.crowd.target.queue_limit = count


@when("the target begins to lose {share:g} of its responses")
def when_losing(context: Any, share: float) -> None:
    target = context.crowd.target
    target.lost_share = share
    target.max_busy_links = 0


@when("half of the open connections fall silent")
def when_silent(context: Any) -> None:
    target = context.crowd.target
    links = sorted(target.links, key=lambda link: link.vm.zone_vm.name)
    target.silent_links = set(links[::2])
    assert target.silent_links


@then("no silent connection is left")
def then_no_silent(context: Any) -> None:
    target = context.crowd.target
    assert not target.silent_links & set(target.links)


@then("at most {count:d} connections were in use at the target")
def then_in_use(context: Any, count: int) -> None:
    assert context.crowd.target.max_busy_links <= count


@then("at most {factor:g} statements were run for each read")
def then_run(context: Any, factor: float) -> None:
    crowd = context.crowd
    run = sum(crowd.target.run_counts.values())
    asked = len(crowd.target.run_counts)
    assert run <= factor * asked, (run, asked)


def observed_of(vm: Any) -> Any:
    return vm.board.group("g").observed_target("t")


def overdue_counts(crowd: Crowd) -> tuple[int, int]:
    """Return how many statements were overdue and how many abandoned."""
    counts = [observed_of(vm).overdue for vm in crowd.vms]
    return (
        sum(each.overdue for each in counts),
        sum(each.abandoned for each in counts),
    )


@then("no statement was overdue")
def then_none_overdue(context: Any) -> None:
    assert overdue_counts(context.crowd) == (0, 0)


@then("no read was abandoned")
def then_none_abandoned(context: Any) -> None:
    assert overdue_counts(context.crowd)[1] == 0


@then("no holder waits longer than {seconds:g} s for a response")
def then_thresholds(context: Any, seconds: float) -> None:
    crowd = context.crowd
    now = crowd.clock.now()
    thresholds = [
        observed_of(vm).responses.threshold(now)
        for vm in crowd.vms
        if vm.holders.holds("t", now)
    ]
    assert thresholds and max(thresholds) <= seconds, thresholds


# A single VM.


class Statement:
    """A statement of one caller at one VM, and its outcome."""

    def __init__(
        self,
        crowd: Crowd,
        id: str,
        *,
        vm: Any = None,
        writes: bool = False,
        values: dict[str, str] | None = None,
    ) -> None:
        clock: Any = crowd.clock
        self.crowd = crowd
        self.vm = vm or crowd.vms[0]
        self.outcome: Any = None
        self.session = Session(
            caller=id,
            identity=Identity(team=""),
            database="d",
            reactor=clock,
            board=self.vm.board,
            executor=self.vm.runner,
            channel=None,  # type: ignore[arg-type]
        )
        self.session.values.update(values or {})
        self.job = Job(
            id=id,
            writes=writes,
            route=ROUTE,
            received_at=clock.now(),
            text="READ a",
        )

    def run(self, tx: SessionTransaction | None = None) -> Statement:
        self.vm.runner.run(self.session, self.job, tx, self._on_complete)
        return self

    def commit(self, tx: SessionTransaction) -> Statement:
        self.vm.runner.commit(
            self.session,
            tx,
            self.job.id,
            self.job.received_at,
            self._on_complete,
        )
        return self

    def _on_complete(self, outcome: Any, position: Any) -> None:
        self.outcome = outcome

    @property
    def run_count(self) -> int:
        return self.crowd.target.run_counts[self.job.id]


def passes(context: Any, seconds: float) -> None:
    clock = context.crowd.clock
    clock.run_until(clock.now() + seconds)


def serve(context: Any, id: str, **kwargs: Any) -> None:
    """Run a statement and expect that it is served at once."""
    statement = Statement(context.crowd, id, **kwargs).run()
    passes(context, 0.1)
    assert isinstance(statement.outcome, Served), statement.outcome


def far_vm(crowd: Crowd) -> Any:
    """Return a VM that forwards its statements, if there is one."""
    now = crowd.clock.now()
    others = [vm for vm in crowd.vms if not vm.holders.holds("t", now)]
    return (others or crowd.vms)[0]


@given("a VM before a target of {slots:d} slots alone")
def given_vm(context: Any, slots: int) -> None:
    context.crowd = Crowd(1, 1, slots, 53)
    vm = context.crowd.vms[0]
    vm.board.load_control = True
    vm.keeper.apply_connection_limits = lambda: None
    vm.pools.all()[0].set_share(TargetCapacity(slots=slots, connections=53))
    serve(context, "first")


@when("a write has had no response for {seconds:g} s")
def when_write_lost(context: Any, seconds: float) -> None:
    context.crowd.target.lost_ids["lost"] = 1
    context.other = {"writes": True}
    context.lost = Statement(context.crowd, "lost", writes=True).run()
    passes(context, seconds)


def open_transaction(context: Any) -> SessionTransaction:
    tx = SessionTransaction(
        route=ROUTE, read_only=False, started_at=context.crowd.clock.now()
    )
    first = Statement(context.crowd, "in tx", writes=True).run(tx)
    passes(context, 0.1)
    assert isinstance(first.outcome, Served) and tx.leased is not None
    context.other = {}
    context.crowd.target.lost_ids["lost"] = 1
    return tx


@when("a statement of a transaction has had no response for {seconds:g} s")
def when_step_lost(context: Any, seconds: float) -> None:
    tx = open_transaction(context)
    context.lost = Statement(context.crowd, "lost").run(tx)
    passes(context, seconds)


@when("a commit has had no response for {seconds:g} s")
def when_commit_lost(context: Any, seconds: float) -> None:
    tx = open_transaction(context)
    context.lost = Statement(context.crowd, "lost").commit(tx)
    passes(context, seconds)


@then("another statement of that VM is served at once")
def then_other_served(context: Any) -> None:
    serve(context, "other", **context.other)
    assert context.lost.outcome is None
    assert len(context.crowd.target.busy_links) == 1


@then("the usual duration of statements is still below {ms:g} ms")
def then_estimate(context: Any, ms: float) -> None:
    vm = context.crowd.vms[0]
    pool = vm.pools.all()[0]
    for admission in (pool._slot_admission, pool._write_admission):
        assert admission.estimate < ms / 1000, admission.estimate


@then("no slot is in use")
def then_no_slot(context: Any) -> None:
    assert context.crowd.vms[0].pools.all()[0].used.slots == 0


@then("it ends as {outcome} when its time limit has passed")
def then_ends(context: Any, outcome: str) -> None:
    lost = context.lost
    until = lost.job.received_at + TIME_LIMIT
    # A holder reports a timeout a little earlier.
    context.crowd.clock.run_until(until - ANSWER_RESERVE - 0.01)
    assert lost.outcome is None, lost.outcome
    context.crowd.clock.run_until(until + 0.01)
    assert type(lost.outcome).__name__ == outcome, lost.outcome


@when("a read and its second attempt have no response, but others have")
def when_lost_twice(context: Any) -> None:
    crowd = context.crowd
    vm = far_vm(crowd)
    crowd.target.lost_ids["lost"] = 2
    # The budget allows no hedge, and later one retry.
    vm.runner.budget = RetryBudget(percent=0.0, reserve=0.0)
    context.lost = Statement(crowd, "lost", vm=vm).run()
    passes(context, 0.13)
    vm.runner.budget = RetryBudget(percent=0.0, reserve=1.0)
    for number in range(7):
        serve(context, f"other {number}", vm=vm)


@then("it was sent {sent:d} times and abandoned {abandoned:d} times")
def then_sent(context: Any, sent: int, abandoned: int) -> None:
    assert context.lost.run_count == sent, context.lost.run_count
    assert overdue_counts(context.crowd)[1] == abandoned


@when("a write with session values loses the response to its setup")
def when_setup_lost(context: Any) -> None:
    context.crowd.target.lost_ids["-"] = 1
    crowd = context.crowd
    context.lost = Statement(
        crowd, "lost", vm=far_vm(crowd), writes=True, values={"a": "b"}
    ).run()
    passes(context, 0.8)


@then("it is served and was run once")
def then_run_once(context: Any) -> None:
    assert isinstance(context.lost.outcome, Served), context.lost.outcome
    assert context.lost.run_count == 1


@when("a read without a response is left by its caller")
def when_left(context: Any) -> None:
    crowd = context.crowd
    vm = far_vm(crowd)
    crowd.target.lost_ids["lost"] = 9
    # Without a budget there is no hedge, so that this is the only attempt.
    vm.runner.budget = RetryBudget(percent=0.0, reserve=0.0)
    context.lost = Statement(crowd, "lost", vm=vm).run()
    passes(context, 0.1)
    assert len(crowd.target.busy_links) == 1
    vm.runner.cancel(context.lost.session)


@when("its caller leaves")
def when_caller_leaves(context: Any) -> None:
    assert len(context.crowd.target.busy_links) == 1
    context.lost.vm.runner.cancel(context.lost.session)


@then("no connection is in use {seconds:g} s later")
def then_unused(context: Any, seconds: float) -> None:
    passes(context, seconds)
    assert not context.crowd.target.busy_links


@then("at most {count:d} exchanges reached their time limit")
def then_timeouts(context: Any, count: int) -> None:
    assert (
        context.crowd.target.timeouts <= count
    ), context.crowd.target.timeouts


@then("its connection is closed within {seconds:g} s and it was sent once")
def then_closed(context: Any, seconds: float) -> None:
    passes(context, seconds)
    assert not context.crowd.target.busy_links
    assert context.lost.run_count == 1
    assert isinstance(context.lost.outcome, Unknown), context.lost.outcome


# Decisions.


@given("a target that usually responds within {ms:g} ms")
def given_times(context: Any, ms: float) -> None:
    context.times = ResponseTimes(usual=ms / 1000)
    context.now = SENT_AT


@given("{later} statement sent later was answered")
def given_later(context: Any, later: str) -> None:
    if later == "a":
        context.times.newest_answered = SENT_AT + 0.01


@then("a statement that has waited for {ms:g} ms is {verdict}")
def then_verdict(context: Any, ms: float, verdict: str) -> None:
    found = judge_response(
        context.times,
        sent_at=SENT_AT,
        now=SENT_AT + ms / 1000,
        deadline=SENT_AT + TIME_LIMIT,
    )
    assert isinstance(found, Overdue) == (verdict == "overdue"), found


@then("a statement that has waited for {ms:g} ms keeps its slot")
def then_keeps_slot(context: Any, ms: float) -> None:
    assert keeps_slot(context.times, ms / 1000)


@then("a statement that has waited for {ms:g} ms gives back its slot")
def then_gives_back_slot(context: Any, ms: float) -> None:
    assert not keeps_slot(context.times, ms / 1000)


def keeps_slot(times: ResponseTimes, waited: float) -> bool:
    found = judge_response(
        times,
        sent_at=SENT_AT,
        now=SENT_AT + waited,
        deadline=SENT_AT + TIME_LIMIT,
    )
    return isinstance(found, StillExpected) and found.keeps_slot


@given("a queue of 2 slots that serves a statement every 10 ms")
def given_served_queue(context: Any) -> None:
    """Let two statements of urgency 0 run and one of each urgency wait."""
    context.queue = Admission(slots=2, estimate=0.02)
    context.running = [queue_ticket(0, SENT_AT) for _ in range(2)]
    context.waiting = queue_ticket(0, SENT_AT)
    for ticket in (
        *context.running,
        context.waiting,
        queue_ticket(1, SENT_AT),
    ):
        context.queue.submit(ticket, SENT_AT)


def queue_ticket(urgency: int, now: float) -> Ticket:
    return Ticket(
        caller="",
        deadline=now + TIME_LIMIT,
        objective_at=now + TIME_LIMIT,
        urgency=urgency,
        item=None,
    )


@when("both slots are kept for {ms:g} ms and given back as overdue")
def when_slots_kept(context: Any, ms: float) -> None:
    context.now = SENT_AT + ms / 1000
    for ticket in context.running:
        context.queue.release_overdue(ticket, context.now)
    context.queue.grant_next(context.now)


@when(
    "it serves more urgent ones for {ms:g} ms, and then a response is overdue"
)
def when_urgent_served(context: Any, ms: float) -> None:
    queue, running = context.queue, context.running
    for number in range(int(ms / 10)):
        context.now = SENT_AT + (number + 1) / 100
        running.append(context.waiting)
        context.waiting = queue_ticket(0, context.now)
        queue.submit(context.waiting, context.now)
        queue.release(running.pop(0), 0.02)
        queue.grant_next(context.now)
    queue.release_overdue(running[0], context.now)


@then("{least:d} to {most:d} further statements are accepted at once")
def then_accepted(context: Any, least: int, most: int) -> None:
    accepted = 0
    while accepted <= most:
        ticket = queue_ticket(1, context.now)
        decisions = context.queue.submit(ticket, context.now)
        if any(isinstance(each, SlotRefused) for each in decisions):
            break
        accepted += 1
    assert least <= accepted <= most, accepted


@when("{count:d} statements are sent, of which every {nth:d}th is lost")
def when_part_lost(context: Any, count: int, nth: int) -> None:
    times = context.times
    for number in range(count):
        context.now += 0.05
        if number % nth:
            times.record_response(
                sent_at=context.now - 0.02, now=context.now, is_read=True
            )
        else:
            waited = times.threshold(context.now)
            times.record_overdue(sent_at=context.now - waited, now=context.now)


@then("the threshold is at most {ms:g} ms")
def then_at_most(context: Any, ms: float) -> None:
    threshold = context.times.threshold(context.now)
    assert threshold <= ms / 1000, threshold


@when("a read becomes overdue after {ms:g} ms, and nothing was answered")
def when_slow(context: Any, ms: float) -> None:
    sent_at = context.now
    context.now += ms / 1000
    context.times.record_overdue(sent_at=sent_at, now=context.now)


@then("the threshold is at least {ms:g} ms")
def then_at_least(context: Any, ms: float) -> None:
    threshold = context.times.threshold(context.now)
    assert threshold >= ms / 1000, threshold


@then("{seconds:g} s later it is at most {ms:g} ms")
def then_lower(context: Any, seconds: float, ms: float) -> None:
    context.now += seconds
    then_at_most(context, ms)


@when("{count:d} responses take {ms:g} ms")
def when_responses(context: Any, count: int, ms: float) -> None:
    for _ in range(count):
        sent_at = context.now
        context.now += ms / 1000
        context.times.record_response(
            sent_at=sent_at, now=context.now, is_read=True
        )


@when("a write that has waited {ms:g} ms for a lock is answered")
def when_lock(context: Any, ms: float) -> None:
    sent_at = context.now
    context.now += ms / 1000
    context.times.record_response(
        sent_at=sent_at, now=context.now, is_read=False
    )


@when("a response takes {ms:g} ms once a second among {count:d} short ones")
def when_long(context: Any, ms: float, count: int) -> None:
    context.lowest = 1.0
    for second in range(5):
        # The long statement has waited for its whole time at this moment.
        if second:
            threshold = context.times.threshold(context.now)
            context.lowest = min(context.lowest, threshold)
        for seconds in [ms / 1000] + [0.02] * count:
            context.times.record_response(
                sent_at=context.now - seconds, now=context.now, is_read=True
            )
            context.now += 1 / (count + 1)


@then("the long one never waits for longer than the threshold")
def then_long_known(context: Any) -> None:
    assert context.lowest >= 0.3, context.lowest


HISTORIES = st.lists(
    st.tuples(
        st.sampled_from(["response", "overdue"]),
        st.floats(0.0, 3.0),
        st.floats(0.0, 0.5),
    ),
    max_size=30,
)


@then("for {count:d} generated histories the threshold is within its bounds")
def then_bounded(context: Any, count: int) -> None:
    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(HISTORIES)
    def check(history: list[tuple[str, float, float]]) -> None:
        times, now, longest = ResponseTimes(), 1.0, ResponseTimes().usual
        for event, seconds, gap in history:
            now += gap
            longest = max(longest, seconds)
            if event == "response":
                times.record_response(
                    sent_at=now - seconds, now=now, is_read=True
                )
            else:
                times.record_overdue(sent_at=now - seconds, now=now)
            most = max(MIN_THRESHOLD, USUAL_FACTOR * longest) + 1e-9
            assert MIN_THRESHOLD <= times.threshold(now) <= most

    check()


@given("an overdue {statement}")
def given_overdue(context: Any, statement: str) -> None:
    context.is_abandoned = should_abandon(
        is_read=statement.startswith("read"),
        in_transaction="transaction" in statement,
        is_needed="not needed" not in statement,
        was_abandoned="before" in statement,
        remaining=0.01 if "too little" in statement else 0.5,
        usual=0.02,
    )


@then("the statement {action}")
def then_action(context: Any, action: str) -> None:
    expected = {"is abandoned": True, "keeps waiting": False}[action]
    assert context.is_abandoned is expected


@when("{count:d} statements become overdue within {seconds:g} s")
def when_many_overdue(context: Any, count: int, seconds: float) -> None:
    statistics = OverdueStatistics()
    context.lines = sum(
        statistics.is_log_due(number * seconds / count)
        for number in range(count)
    )


@then("at most {count:d} lines are due")
def then_few_lines(context: Any, count: int) -> None:
    assert 1 <= context.lines <= count, context.lines
