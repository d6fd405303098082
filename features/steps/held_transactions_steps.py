"""Steps for transactions that run through the holders of their targets.

They use the crowd of `zone_holders_steps`: real decisions, pools, sessions and
runners of many VMs under a simulated clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import itertools
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import new_envelope
from bamboospring.platform.target_dialer import LineLink
from bamboospring.sessions.access import Identity
from bamboospring.sessions.forward_messages import decode_result
from bamboospring.sessions.forward_messages import decode_step
from bamboospring.sessions.forward_messages import encode_step
from bamboospring.sessions.forward_messages import HeldOpening
from bamboospring.sessions.forward_messages import HeldStep
from bamboospring.sessions.held_transaction_rules import holder_connections
from bamboospring.sessions.held_transaction_rules import judge_step
from bamboospring.sessions.held_transaction_rules import lost_step_outcome
from bamboospring.sessions.held_transaction_rules import RoomGranted
from bamboospring.sessions.held_transaction_rules import RoomQueued
from bamboospring.sessions.held_transaction_rules import RoomRequest
from bamboospring.sessions.held_transaction_rules import TransactionRoom
from bamboospring.sessions.ports import AcknowledgedLocally
from bamboospring.sessions.ports import Begin
from bamboospring.sessions.ports import BeginWork
from bamboospring.sessions.ports import Commit
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionAnswer
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import SetValue
from bamboospring.sessions.ports import Shape
from bamboospring.sessions.ports import TextStatement
from bamboospring.sessions.session import Session
from bamboospring.sessions.stop_plan import plan_stop
from bamboospring.sessions.zone_holders import MIN_CONNECTIONS
from features.steps.unanswered_steps import FakeClock
from features.steps.zone_holders_steps import Crowd
from features.steps.zone_holders_steps import CrowdVm
from features.steps.zone_holders_steps import HOP_SECONDS
from features.steps.zone_holders_steps import POSITIONS
from features.steps.zone_holders_steps import ROUTE
from features.steps.zone_holders_steps import TARGET
from features.steps.zone_holders_steps import TEXT

# Seconds between the statements of a transaction.
PAUSE = 0.01
_names = itertools.count(1)


@dataclass(eq=False)
class Transaction:
    """A caller that runs one transaction at a VM, and what it was told.

    Its statements are writes but for number `read_at`.
    """

    crowd: Crowd
    vm: CrowdVm
    read_at: int = 0
    statements: int = 2
    pause: float = PAUSE
    name: str = field(default_factory=lambda: f"tx{next(_names)}")
    outcome: Any = None
    told: list[Any] = field(default_factory=list)
    holder: str = ""
    team: str = ""

    def __post_init__(self) -> None:
        clock: Any = self.crowd.clock
        channel: Any = self
        self.session = Session(
            caller=self.name,
            identity=Identity(team=self.team),
            database="d",
            reactor=clock,
            board=self.vm.board,
            executor=self.vm.runner,
            channel=channel,
        )
        self.steps: list[Any] = [
            ("-", SetValue(name="tx", value=self.name)),
            ("-", Begin(read_only=False)),
        ]
        for number in range(self.statements):
            self.steps += [
                ("-", SetValue(name="step", value=str(number))),
                (
                    f"{self.name}/{number}",
                    TextStatement(
                        writes=number != self.read_at, text="WRITE a"
                    ),
                ),
            ]
        self.steps.append((f"{self.name}/c", Commit()))

    @property
    def was_held(self) -> bool:
        return self.holder != ""

    @property
    def ids(self) -> list[str]:
        return [f"{self.name}/{n}" for n in range(self.statements)]

    def start(self) -> Transaction:
        self._next()
        return self

    def leave(self) -> None:
        self.session.handle_disconnect()

    def _next(self) -> None:
        if self.steps and self.vm.is_running:
            id, statement = self.steps.pop(0)
            self.session.submit(id, statement)

    def answer(self, answer: SessionAnswer) -> None:
        tx = self.session.transaction
        if tx is not None and tx.held is not None:
            self.holder = tx.held.holder.name
        self.told.append(answer.outcome)
        is_done = not self.steps
        is_lost = isinstance(
            answer.outcome, (NotRun, Overloaded, Unknown)
        ) or not isinstance(answer.state, SessionState)
        if is_done or is_lost:
            self.outcome = answer.outcome
            return
        is_local = isinstance(answer.outcome, AcknowledgedLocally)
        wait = 0.0 if is_local else self.pause
        self.crowd.clock.call_later(wait, self._next)

    def begin_refusal(self, refusal: NotRun) -> None:
        """Ignore the word to go, which follows the last answer."""
        assert self.outcome is not None

    def close(self) -> None:
        self.leave()

    @property
    def ran_count(self) -> int:
        """Return how many statements were not answered locally."""
        return sum(
            not isinstance(each, AcknowledgedLocally) for each in self.told
        )


def check_truth(crowd: Crowd, transactions: list[Transaction]) -> Counter[str]:
    """Check each outcome against what the target has committed."""
    assert not crowd.target.violations, crowd.target.violations[:5]
    found: Counter[str] = Counter()
    for each in transactions:
        counts = {crowd.target.committed[id] for id in each.ids}
        assert len(counts) == 1, (each.name, counts)
        name = type(each.outcome).__name__
        found[name] += 1
        allowed = {"Served": {1}, "Unknown": {0, 1}, "NoneType": {0, 1}}
        assert counts <= allowed.get(name, {0}), (each.name, name, counts)
    return found


def with_load_control(context: Any) -> Crowd:
    crowd: Crowd = context.crowd
    for vm in crowd.vms:
        vm.board.load_control = True
        vm.keeper.apply_connection_limits()
    return crowd


def holder_and_entry(crowd: Crowd) -> tuple[CrowdVm, CrowdVm]:
    """Return the holder of the first zone and another VM of that zone."""
    now = crowd.clock.now()
    vms = [vm for vm in crowd.vms if vm.zone == "z-0" and vm.is_running]
    holder = next(vm for vm in vms if vm.holders.holds("t", now))
    ranking = holder.holders._ranking("t")
    entry = next(
        vm for vm in vms if vm.zone_vm not in ranking[:2] and vm.is_running
    )
    return holder, entry


def run_for(crowd: Crowd, seconds: float) -> None:
    crowd.clock.run_until(crowd.clock.now() + seconds)


# Pure decisions.


@then("a holder decides on steps")
def then_steps(context: Any) -> None:
    for row in context.table:
        expected = None if row["open at"] == "-" else int(row["open at"])
        verdict = judge_step(
            step=int(row["step"]),
            expected=expected,
            running=row["running"] == "yes",
            ended=row["ended"] == "yes",
        )
        assert verdict.value == row["verdict"], (row, verdict)


@then("the loss of a holder means")
def then_loss(context: Any) -> None:
    for row in context.table:
        outcome = lost_step_outcome(
            is_commit=row["step"] == "commit",
            sent=row["sent"] == "yes",
            has_written=row["written"] == "yes",
            reason=Reason.HOLDER_LOST,
        )
        text = f"{type(outcome).__name__} {outcome.reason.value}"
        assert text == row["outcome"], (row, text)


@then(
    "holders of {zones:d} zones of {vms:d} VMs use at most {share:g} of"
    " {connections:d} connections, each at least {least:d}"
)
def then_share(
    context: Any,
    zones: int,
    vms: int,
    share: float,
    connections: int,
    least: int,
) -> None:
    sizes = [vms // zones + (n < vms % zones) for n in range(zones)]
    found = [
        holder_connections(
            max_connections=connections,
            target_slots=6,
            zone_vms=size,
            all_vms=vms,
            minimum=2,
        ).connections
        for size in sizes
    ]
    assert sum(found) <= share * connections, found
    assert min(found) >= least, found


@given("room for {limit:d} transactions that take {ms:d} ms")
def given_room(context: Any, limit: int, ms: int) -> None:
    context.room = TransactionRoom(limit=limit, mean_duration=ms / 1000)
    context.room_requests = {}


@when("{caller} asks for room with urgency {urgency:d} for {ms:d} ms")
def when_room(context: Any, caller: str, urgency: int, ms: int) -> None:
    request = RoomRequest(
        caller=caller, give_up_at=ms / 1000, item=None, urgency=urgency
    )
    context.decision = context.room.submit(request, 0.0)


@then("its request for room is {decision}")
def then_room(context: Any, decision: str) -> None:
    found = context.decision
    text = {RoomGranted: "granted", RoomQueued: "queued"}.get(type(found))
    if text is None:
        text = f"refused for {found.retry_after_ms} ms"
    assert text == decision, found


@when("a transaction of {caller} ends after {ms:d} ms")
def when_room_ends(context: Any, caller: str, ms: int) -> None:
    context.room.release(caller, ms / 1000)
    context.granted = context.room.grant_next()


@then("room is granted to {caller}")
def then_granted(context: Any, caller: str) -> None:
    assert [each.caller for each in context.granted] == [caller]


@then("at {seconds:g} s those that still wait are refused")
def then_room_expires(context: Any, seconds: float) -> None:
    refused = context.room.expire(seconds)
    assert refused and context.room.waiting == 0
    assert all(each.retry_after_ms > 0 for _request, each in refused)


STEPS = st.builds(
    HeldStep,
    id=TEXT,
    values=st.dictionaries(TEXT, TEXT, max_size=3),
    remaining=st.integers(0, 9_000_000).map(lambda us: us / 1e6),
    text=st.none() | TEXT,
    shape=st.none() | st.builds(Shape, writes=st.just(False), text=TEXT),
    arguments=TEXT,
    opening=st.none()
    | st.builds(
        HeldOpening,
        caller=TEXT,
        team=TEXT,
        group=TEXT,
        target=TEXT,
        address=TEXT,
        born=st.integers(0, 2**42),
        slot_timeout=st.integers(0, 9_000_000).map(lambda us: us / 1e6),
        urgency=st.integers(0, 9),
        read_only=st.booleans(),
        after=POSITIONS,
    ),
)


@then("{count:d} generated steps are the same after decoding")
def then_steps_same(context: Any, count: int) -> None:
    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(STEPS)
    def check(step: HeldStep) -> None:
        assert decode_step(encode_step(step)) == step

    check()


# Replays.


@given("load control is on at all of them")
def given_load_control(context: Any) -> None:
    with_load_control(context)


@when(
    "{txs:d} transactions and {reads:d} reads of {ms:d} ms arrive a second"
    " for {seconds:d} s"
)
def when_mixed(
    context: Any, txs: int, reads: int, ms: int, seconds: int
) -> None:
    send_mixed(context, txs, reads, ms, seconds, teams=1)


@when(
    "{txs:d} transactions and {reads:d} reads of {ms:d} ms of {teams:d} teams"
    " arrive a second for {seconds:d} s"
)
def when_mixed_teams(
    context: Any, txs: int, reads: int, ms: int, teams: int, seconds: int
) -> None:
    send_mixed(context, txs, reads, ms, seconds, teams=teams)


@when(
    "{txs:d} transactions that pause for {pause:d} ms and {reads:d} reads of"
    " {ms:d} ms arrive a second for {seconds:d} s"
)
def when_mixed_pauses(
    context: Any, txs: int, pause: int, reads: int, ms: int, seconds: int
) -> None:
    send_mixed(context, txs, reads, ms, seconds, teams=1, pause=pause / 1000)


def send_mixed(
    context: Any,
    txs: int,
    reads: int,
    ms: int,
    seconds: int,
    *,
    teams: int,
    pause: float = PAUSE,
) -> None:
    """Send transactions and reads at random VMs, most from few teams."""
    crowd: Crowd = context.crowd
    crowd.target.run_time = ms / 1000
    crowd.teams = teams
    context.transactions = transactions = []
    context.read_count = 0
    context.opened_before = crowd.target.opened
    crowd.outcomes.clear()
    end = crowd.clock.now() + seconds
    while crowd.clock.now() < end:
        run_for(crowd, crowd.rng.expovariate(txs + reads))
        if crowd.rng.random() * (txs + reads) < reads:
            context.read_count += 1
            crowd.ask()
            continue
        vm = crowd.rng.choice([vm for vm in crowd.vms if vm.is_running])
        team = ""
        if teams > 1:
            team = f"team-{int(crowd.rng.paretovariate(0.8)) % teams}"
        read_at = len(transactions) % 3
        transactions.append(
            Transaction(
                crowd, vm, read_at=read_at, team=team, pause=pause
            ).start()
        )
    run_for(crowd, 4 * ROUTE.time_limit)


@then(
    "at least {share:g} of both are served, with at most {part:g} connections"
    " opened for each statement"
)
def then_mixed(context: Any, share: float, part: float) -> None:
    crowd: Crowd = context.crowd
    found = check_truth(crowd, context.transactions)
    served = found["Served"] / len(context.transactions)
    read = crowd.outcomes["served"] / context.read_count
    opened = crowd.target.opened - context.opened_before
    statements = context.read_count + sum(
        each.ran_count for each in context.transactions
    )
    print("served", served, read, "opened", opened / statements)
    assert served >= share, (served, found)
    assert read >= share, (read, crowd.outcomes)
    assert opened <= part * statements, (opened, statements)


@then("all holders together may open at most {most:d} connections")
def then_fit(context: Any, most: int) -> None:
    crowd: Crowd = context.crowd
    now = crowd.clock.now()
    shares = [
        vm.pools.pool(vm.board.group("g").targets["t"].target).share
        for vm in crowd.vms
        if vm.holders.holds("t", now)
    ]
    assert 0 < sum(share.connections for share in shares) <= most, shares


@when("holders are lost one after another while transactions arrive")
def when_holders_lost(context: Any) -> None:
    crowd: Crowd = context.crowd

    def kill_one() -> None:
        now = crowd.clock.now()
        holders = [
            v for v in crowd.vms if v.is_running and v.holders.holds("t", now)
        ]
        crowd.rng.choice(holders).fail()

    for number in range(8):
        crowd.clock.call_later(0.6 * number + 0.1, kill_one)
    when_mixed(context, 40, 40, 20, 5)


@then("the outcome of each transaction is true, some of them unknown")
def then_all_true(context: Any) -> None:
    found = check_truth(context.crowd, context.transactions)
    assert found["Served"] > 100 and found["Unknown"], found
    assert any(each.was_held for each in context.transactions)


@when("a transaction is open at its holder")
def when_open(context: Any) -> None:
    crowd: Crowd = context.crowd
    run_for(crowd, 0.6)
    context.holder, context.entry = holder_and_entry(crowd)
    context.tx = Transaction(crowd, context.entry, pause=0.2).start()
    run_for(crowd, 0.1)
    assert context.tx.was_held and context.holder.held.open_count == 1


@when("its {part} is lost")
def when_part_lost(context: Any, part: str) -> None:
    match part:
        case "holder":
            context.holder.fail()
        case "entry":
            context.entry.fail()
        case "connection to the target":
            for link in list(context.crowd.target.links):
                if link.vm is context.holder:
                    link.close()


@when("its holder is lost while the commit runs")
def when_lost_at_commit(context: Any) -> None:
    crowd: Crowd = context.crowd
    holder = context.holder

    def on_run(id: str, link: Any) -> None:
        if id.endswith("/c"):
            crowd.clock.call_later(HOP_SECONDS, holder.fail)

    crowd.target.on_run = on_run


@when("its holder falls silent while the {step} runs")
def when_silent(context: Any, step: str) -> None:
    crowd: Crowd = context.crowd
    holder = context.holder
    suffix = "/c" if step == "commit" else "/1"

    def on_run(id: str, link: Any) -> None:
        if id.endswith(suffix):
            holder.still_until = crowd.clock.now() + 1.5

    crowd.target.on_run = on_run


@when("its target replies to nothing, and reads wait behind transactions")
def when_mute(context: Any) -> None:
    """Have reads in the holder's queue when the transactions time out.

    They come from other VMs, since an entry forwards nothing to a holder that
    owes it answers.
    """
    crowd: Crowd = context.crowd
    crowd.target.is_mute = True
    context.transactions = [
        Transaction(crowd, context.entry).start()
        for _ in range(crowd.target.slots)
    ]
    run_for(crowd, 0.9 * ROUTE.time_limit)
    for vm in crowd.vms:
        if vm.zone == context.entry.zone and vm is not context.entry:
            crowd.ask(vm)
    run_for(crowd, 0.3)
    crowd.target.is_mute = False
    run_for(crowd, 2.0)


@then("no statement has run in a transaction of another caller")
def then_none_mixed(context: Any) -> None:
    check_truth(context.crowd, context.transactions)


@when("a transaction is opened at a holder that has just fallen silent")
def when_open_silent(context: Any) -> None:
    crowd: Crowd = context.crowd
    run_for(crowd, 0.6)
    context.holder, context.entry = holder_and_entry(crowd)
    context.holder.still_until = crowd.clock.now() + 1.5
    context.tx = Transaction(crowd, context.entry).start()


@when("the entry can't prove the primary any more while the commit runs")
def when_changed(context: Any) -> None:
    entry = context.entry

    def on_run(id: str, link: Any) -> None:
        if id.endswith("/c"):
            entry.board.group("g").record = None

    context.crowd.target.on_run = on_run


@when("the holder's timers don't run for {seconds:g} s")
def when_suspended(context: Any, seconds: float) -> None:
    (transaction,) = context.holder.held._transactions.values()
    transaction.timer.cancel()
    context.tx.session._stop_timer()
    context.tx.steps.clear()
    run_for(context.crowd, seconds)


@when("its caller pauses for {seconds:g} s")
def when_pause(context: Any, seconds: float) -> None:
    context.tx.steps.clear()
    run_for(context.crowd, seconds)


@when("the caller of the transaction leaves")
def when_leaves(context: Any) -> None:
    context.tx.leave()


@when("its caller leaves while it waits for a slot")
def when_leaves_waiting(context: Any) -> None:
    crowd: Crowd = context.crowd
    run_for(crowd, 1.0)
    crowd.target.slots = 0
    context.tx = Transaction(crowd, context.entry).start()
    run_for(crowd, 0.02)
    assert context.holder.held.open_count == 1
    context.tx.leave()
    run_for(crowd, 0.01)
    crowd.target.slots = 6


@then("none of its statements has run")
def then_none_ran(context: Any) -> None:
    crowd: Crowd = context.crowd
    run_for(crowd, 1.0)
    assert not any(crowd.target.run_counts[id] for id in context.tx.ids)


@when("the entry forgets it without a word")
def when_forgotten(context: Any) -> None:
    """Drop it at the entry, as if the message to the holder were lost."""
    context.tx.session._stop_timer()
    context.tx.steps.clear()
    context.tx.session.transaction.held = None


@then("its caller is told {outcome}")
def then_told(context: Any, outcome: str) -> None:
    crowd: Crowd = context.crowd
    run_for(crowd, 3.0)
    found = context.tx.outcome
    text = f"{type(found).__name__} {getattr(found, 'reason', '')}"
    reason = getattr(found, "reason", None)
    if reason is not None:
        text = f"{type(found).__name__} {reason.value}"
    assert text.strip() == outcome, (text, context.tx.told)
    check_truth(crowd, [context.tx])


@then("the holder has rolled it back")
def then_rolled_back(context: Any) -> None:
    crowd: Crowd = context.crowd
    run_for(crowd, 0.1)
    assert context.holder.held.open_count == 0
    assert not any(
        link.state is SessionState.OPEN
        for link in crowd.target.links
        if not link.closed
    )
    assert not any(crowd.target.committed[id] for id in context.tx.ids)


@then("the holder still has it open")
def then_still_open(context: Any) -> None:
    assert context.holder.held.open_count == 1


def begin_stop(vm: CrowdVm) -> None:
    now = vm.crowd.clock.now()
    vm.board.stop_plan = plan_stop(started_at=now, grace=6.0)


@when("the holder shuts down")
def when_shutdown(context: Any) -> None:
    begin_stop(context.holder)


@when("half of its grace period is over")
def when_half(context: Any) -> None:
    context.holder.held.end_all()


@when("the holder can't {what}")
def when_cannot(context: Any, what: str) -> None:
    crowd: Crowd = context.crowd
    run_for(crowd, 0.6)
    context.holder, context.entry = holder_and_entry(crowd)
    context.sent_kinds = Counter()

    def on_message(kind: str, _sender: CrowdVm, _receiver: CrowdVm) -> None:
        context.sent_kinds[kind] += 1

    crowd.on_message = on_message
    match what:
        case "prove the primary":
            context.holder.board.group("g").record = None
        case "reach the target":
            context.holder.can_reach_target = False
        case "answer since it is older":
            for vm in crowd.vms:
                vm.protocol = 1
        case "accept any since it shuts down":
            begin_stop(context.holder)


@then("the next transaction is served {way}")
def then_next_served(context: Any, way: str) -> None:
    crowd: Crowd = context.crowd
    tx = Transaction(crowd, context.entry).start()
    run_for(crowd, 3.0)
    assert isinstance(tx.outcome, Served), tx.told
    assert tx.was_held == (way == "through another holder"), tx.holder
    assert tx.holder != context.holder.zone_vm.name
    if not tx.was_held:
        # The holder might not understand the message.
        assert not context.sent_kinds["heldTxAsk"], context.sent_kinds
    check_truth(crowd, [tx])


@then("a step that is {kind} is refused as not run")
def then_step_refused(context: Any, kind: str) -> None:
    crowd: Crowd = context.crowd
    tx = context.tx.session.transaction
    steps = {"repeated": 0, "too far": 7, "too late": tx.held.next_step}
    number, step = tx.held.number, steps.get(kind, 1)
    if kind == "unknown":
        number += 1
    answers: list[Any] = []
    message = new_envelope()
    ask = message.init("heldTxAsk")
    ask.vm, ask.number, ask.step = context.entry.zone_vm.name, number, step
    ask.head = encode_step(
        HeldStep(
            id=f"{context.tx.name}/x",
            values=dict(context.tx.session.values),
            remaining=1.0,
            text="WRITE a",
        )
    )
    before = sum(crowd.target.run_counts.values())

    def on_answer(answer: Any) -> None:
        answers.append(decode_result(answer.heldTxAnswer.head))

    context.entry.peers.ask(
        context.holder.zone_vm.address, message, 1.0, on_answer
    )
    run_for(crowd, 0.05)
    assert answers == [NotRun(reason=Reason.TRANSACTION_LOST)], answers
    assert sum(crowd.target.run_counts.values()) == before


@then("it can't be opened again under its number")
def then_not_again(context: Any) -> None:
    crowd: Crowd = context.crowd
    held = context.holder.held
    answers: list[Any] = []
    message = new_envelope()
    ask = message.init("heldTxAsk")
    ask.vm, ask.step = context.entry.zone_vm.name, 0
    ask.number = next(reversed(held._ended_until))[1]
    ask.head = encode_step(
        HeldStep(
            id="again/0",
            values={},
            remaining=1.0,
            text="WRITE a",
            opening=HeldOpening(
                caller="c",
                team="",
                group="g",
                target="t",
                address=TARGET.address,
                born=TARGET.born,
                slot_timeout=0.5,
            ),
        )
    )

    def on_answer(answer: Any) -> None:
        answers.append(decode_result(answer.heldTxAnswer.head))

    other = next(vm for vm in crowd.vms if vm.is_running)
    other.peers.ask(context.holder.zone_vm.address, message, 1.0, on_answer)
    run_for(crowd, 0.1)
    assert answers == [NotRun(reason=Reason.TRANSACTION_LOST)], answers


@when("{count:d} callers of its zone pause in transactions")
def when_many_pause(context: Any, count: int) -> None:
    crowd: Crowd = context.crowd
    run_for(crowd, 0.6)
    context.holder, context.entry = holder_and_entry(crowd)
    context.transactions = [
        Transaction(crowd, context.entry, pause=2.0).start()
        for _ in range(count)
    ]
    run_for(crowd, 1.0)


@then("some of them were refused, with a time to come back")
def then_some_refused(context: Any) -> None:
    refused = [
        each.outcome
        for each in context.transactions
        if isinstance(each.outcome, Overloaded)
    ]
    assert refused, Counter(str(t.outcome) for t in context.transactions)
    assert all(each.retry_after_ms > 0 for each in refused), refused
    assert any(each.outcome is None for each in context.transactions)


@then("{count:d} reads of its zone are served meanwhile")
def then_reads_served(context: Any, count: int) -> None:
    crowd: Crowd = context.crowd
    crowd.outcomes.clear()
    for _ in range(count):
        crowd.ask(context.entry)
        run_for(crowd, 0.05)
    run_for(crowd, 0.2)
    assert crowd.outcomes == {"served": count}, crowd.outcomes
    opened = Counter(link.vm for link in crowd.target.links if not link.closed)
    # The entry has the connections that transactions may fall back on.
    assert opened[context.entry] <= MIN_CONNECTIONS, opened
    assert set(opened) <= {context.holder, context.entry}, opened


@when(
    "transactions meet random faults for {seconds:d} s, drawn from seeds"
    " {first:d} to {last:d}"
)
def when_random_faults(
    context: Any, seconds: int, first: int, last: int
) -> None:
    context.found = Counter()
    for seed in range(first, last + 1):
        context.crowd = Crowd(40, 2, 4, 30)
        context.crowd.rng.seed(seed)
        with_load_control(context)
        _schedule_faults(context, seconds)
        when_mixed(context, 60, 30, 20, seconds)
        context.found += check_truth(context.crowd, context.transactions)
        context.found["held"] += sum(t.was_held for t in context.transactions)


def _schedule_faults(context: Any, seconds: int) -> None:
    crowd: Crowd = context.crowd
    rng = crowd.rng

    def lose_vm() -> None:
        running = [vm for vm in crowd.vms if vm.is_running]
        if len(running) > 20:
            rng.choice(running).fail()

    def lose_holder() -> None:
        now = crowd.clock.now()
        holders = [
            vm
            for vm in crowd.vms
            if vm.is_running and vm.holders.holds("t", now)
        ]
        if holders and sum(vm.is_running for vm in crowd.vms) > 20:
            rng.choice(holders).fail()

    def stand_still() -> None:
        vm = rng.choice([vm for vm in crowd.vms if vm.is_running])
        vm.still_until = crowd.clock.now() + rng.uniform(0.05, 1.5)

    def close_links() -> None:
        for link in list(crowd.target.links):
            if rng.random() < 0.3:
                link.close()

    def leave() -> None:
        for each in context.transactions[-20:]:
            if rng.random() < 0.3:
                each.leave()

    def shut_down() -> None:
        vm = rng.choice([vm for vm in crowd.vms if vm.is_running])
        begin_stop(vm)
        crowd.clock.call_later(0.1, vm.held.end_all)

    def fall_mute() -> None:
        crowd.target.is_mute = True
        crowd.clock.call_later(rng.uniform(0.02, 1.2), speak)

    def speak() -> None:
        crowd.target.is_mute = False

    faults = [
        lose_vm,
        lose_holder,
        stand_still,
        close_links,
        leave,
        shut_down,
        fall_mute,
    ]
    for tenth in range(2, seconds * 10, 2):
        crowd.clock.call_later(tenth / 10, rng.choice(faults))


@then("each outcome is true, and many transactions went through holders")
def then_random_true(context: Any) -> None:
    found = context.found
    print(found)
    total = sum(found.values()) - found["held"]
    assert found["Served"] > total / 4 and found["NotRun"], found
    assert found["Unknown"] and found["held"] > total / 4, found


class FakeStream:
    """A byte stream to a target that never replies."""

    closed = False
    on_data: Any = None
    on_close: Any = None

    def send(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            self.on_close()


@then("a connection to a target that does not reply is lost when it is closed")
def then_closed_first(context: Any) -> None:
    clock: Any = FakeClock()
    stream: Any = FakeStream()
    link = LineLink(reactor=clock, stream=stream)
    seen: list[tuple[Any, bool]] = []
    link.send(
        [BeginWork(read_only=False)],
        0.1,
        lambda result: seen.append((result, link.usable)),
    )
    clock.run_until(0.2)
    assert seen == [(LinkLost(unresponsive=True), False)], seen
