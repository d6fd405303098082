"""Steps on what an entry does before it forwards, with fakes."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.forwarding import Forwarder
from bamboospring.holder import Holder
from bamboospring.membership import Membership
from bamboospring.outcomes import Done
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Reason
from bamboospring.peers import PeerLost
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement
from bamboospring.retry_budget import RetryBudget
from bamboospring.statements import Statement

GROUP = "ledger"
LOCAL_VM = Vm(name="vm-1", address="127.0.0.1:2", availability_zone="zone-a")
DEAD_VM = Vm(name="vm-2", address="127.0.0.1:3", availability_zone="zone-b")


class Timers:
    """A fake reactor whose clock and timers advance on request."""

    def __init__(self) -> None:
        self.time = 0.0
        self.due: list[tuple[float, Any]] = []

    def now(self) -> float:
        return self.time

    def call_later(self, seconds: float, work: Any) -> None:
        self.due.append((self.time + seconds, work))

    def run_until(self, end: float) -> None:
        while self.due and min(at for at, _ in self.due) <= end:
            first = min(self.due, key=lambda each: each[0])
            self.due.remove(first)
            self.time = first[0]
            first[1]()
        self.time = end


class ShareHolder:
    """A fake holder that runs statements once it has a share."""

    def __init__(self, timers: Timers) -> None:
        self.timers = timers
        self.share_at = 1e9
        self.ran = 0

    def run(self, stmt: Statement, on_complete: Any) -> None:
        if self.timers.now() < self.share_at:
            on_complete(NotRun(reason=Reason.NOT_HOLDER, retry_after_ms=100))
            return
        self.ran += 1
        on_complete(Done(term=1, index=1, target="t"))


def make_statement(write: bool) -> Statement:
    """Return a statement whose deadline is ten seconds away."""
    return Statement(
        group=GROUP,
        caller="tester",
        write=write,
        sql="DELETE FROM entries" if write else "SELECT 1",
        params=b"[]",
        deadline=10.0,
    )


@given("an entry that has just started")
def given_entry(context: Any) -> None:
    context.board = Blackboard(local_vm=LOCAL_VM)
    context.tries = []
    context.forwarder = Forwarder(
        reactor=SimpleNamespace(now=lambda: 0.0),
        board=context.board,
        placement=Placement(),
        peers=SimpleNamespace(),
        holder=SimpleNamespace(),
        codec=SimpleNamespace(),
        membership=SimpleNamespace(
            vms_to_avoid=lambda holders, now: frozenset()
        ),
        budget=SimpleNamespace(
            record_first_attempt=lambda: context.tries.append(1)
        ),
    )


@given("the entry knows the group")
def given_known(context: Any) -> None:
    context.board.group_names.add(GROUP)


@when("a statement for the group ledger comes")
def when_statement(context: Any) -> None:
    answers: list[Any] = []
    context.forwarder.forward(make_statement(write=False), answers.append)
    (context.answer,) = answers


@given("a holder that has just started")
def given_holder(context: Any) -> None:
    context.tries = []
    context.holder = Holder(
        reactor=Reactor(),
        board=Blackboard(local_vm=LOCAL_VM, starting=True),
        placement=Placement([LOCAL_VM]),
        pools=SimpleNamespace(),
        watcher=SimpleNamespace(),
        codec=SimpleNamespace(),
        transaction_idle_timeout=1.0,
        budget=SimpleNamespace(
            record_first_attempt=lambda: context.tries.append(1),
            spend_retry=lambda: False,
        ),
    )


@when("a statement for the group ledger comes to it")
def when_at_holder(context: Any) -> None:
    answers: list[Any] = []
    context.holder.run(make_statement(write=False), answers.append)
    (context.answer,) = answers


@when("it has been told the names of all groups")
def when_told(context: Any) -> None:
    context.board.names_complete = True


@then("it answers no_holder with a time to come back")
def then_no_holder(context: Any) -> None:
    assert isinstance(context.answer, NotRun), context.answer
    assert context.answer.reason is Reason.NO_HOLDER, context.answer
    assert context.answer.retry_after_ms > 0, context.answer


@then("it answers unknown_group")
def then_unknown(context: Any) -> None:
    assert context.answer.reason is Reason.UNKNOWN_GROUP, context.answer


@then("one first try is noted in the retry budget")
def then_one_try(context: Any) -> None:
    assert len(context.tries) == 1, context.tries


@given("an entry whose group has a dead holder and one without a share")
def given_shareless(context: Any) -> None:
    context.timers = Timers()
    context.holder = ShareHolder(context.timers)
    context.budget = RetryBudget()
    board = Blackboard(local_vm=LOCAL_VM)
    board.group_names.add(GROUP)
    context.forwarder = Forwarder(
        reactor=context.timers,  # type: ignore[arg-type]
        board=board,
        placement=Placement([LOCAL_VM, DEAD_VM]),
        peers=SimpleNamespace(
            ask=lambda address, message, timeout, answered: answered(
                PeerLost(sent=False)
            )
        ),
        holder=context.holder,
        codec=SimpleNamespace(),
        membership=Membership(),
        budget=context.budget,
    )


@given("nothing is left in its retry budget")
def given_spent(context: Any) -> None:
    while context.budget.spend_retry():
        pass


def write(context: Any) -> None:
    context.answers = []

    def answered(outcome: Outcome) -> None:
        context.answers.append((context.timers.now(), outcome))

    context.forwarder.forward(make_statement(write=True), answered)


@when("the holder gets its share {after:d} ms after a write has come")
def when_share_comes(context: Any, after: int) -> None:
    context.holder.share_at = after / 1000
    write(context)
    context.timers.run_until(5.0)


@when("a write has come and no share comes for {seconds:d} seconds")
def when_no_share(context: Any, seconds: int) -> None:
    write(context)
    context.timers.run_until(float(seconds))


@then("the write is done after {after:d} ms")
def then_done(context: Any, after: int) -> None:
    ((at, outcome),) = context.answers
    assert isinstance(outcome, Done), outcome
    assert round(at * 1000) == after, at
    assert context.holder.ran == 1, context.holder.ran


@then("the write is refused with not_holder or holder_lost after {after:d} ms")
def then_refused(context: Any, after: int) -> None:
    ((at, outcome),) = context.answers
    assert isinstance(outcome, NotRun), outcome
    assert outcome.reason in (Reason.NOT_HOLDER, Reason.HOLDER_LOST), outcome
    assert outcome.retry_after_ms > 0, outcome
    assert round(at * 1000) == after, at
    assert context.holder.ran == 0, context.holder.ran
