"""Steps for statements that VMs of a zone forward to a target's holder.

The crowd consists of the real decisions, pools and runners of many VMs under a
simulated clock. The target and the network are simulated.
"""

from __future__ import annotations

from collections import Counter
from collections import deque
import dataclasses
from dataclasses import dataclass
from dataclasses import field
import itertools
import random
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.blackboard import Target
from bamboospring.concurrency_limit import ConcurrencyLimit
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.peers import HELD_TRANSACTIONS_PROTOCOL
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.pool import PoolTiming
from bamboospring.pools import Pools
from bamboospring.retry_budget import RetryBudget
from bamboospring.sessions.access import Identity
from bamboospring.sessions.forward_messages import decode_result
from bamboospring.sessions.forward_messages import decode_statement
from bamboospring.sessions.forward_messages import encode_result
from bamboospring.sessions.forward_messages import encode_statement
from bamboospring.sessions.forward_messages import ForwardRequest
from bamboospring.sessions.held_transactions import HeldTransactions
from bamboospring.sessions.holder_server import HolderServer
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import GroupLimits
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.node import LINK_BREAKER
from bamboospring.sessions.node import LINK_TIMING
from bamboospring.sessions.ports import Assign
from bamboospring.sessions.ports import BeginWork
from bamboospring.sessions.ports import CommitWork
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import PrepareShape
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import ResetConnection
from bamboospring.sessions.ports import RollbackWork
from bamboospring.sessions.ports import RunShape
from bamboospring.sessions.ports import RunText
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import Shape
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.quota_client import QuotaClient
from bamboospring.sessions.quota_counter import QuotaCounter
from bamboospring.sessions.quota_holders import QuotaVm
from bamboospring.sessions.runner import StatementRunner
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import Session
from bamboospring.sessions.statement_trace import StatementLogger
from bamboospring.sessions.stop_plan import plan_stop
from bamboospring.sessions.target_keeper import TargetKeeper
from bamboospring.sessions.team_quota import QuotaTolerance
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.sessions.zone_holders import ZoneVm
from bamboospring.statements import Position
from bamboospring.target_link import Health
from bamboospring.target_link import Opened
from bamboospring.target_link import OpenFailed
from features.steps.unanswered_steps import FakeClock

HOP_SECONDS = 0.0005
OPENING_SECONDS = 0.012
ROUTE = Route(
    name="r",
    database="d",
    group="g",
    freshness=Freshness.PRIMARY,
    time_limit=1.0,
    objective=0.25,
    max_age=None,
)
TARGET = Target(
    name="t", address="h:1", availability_zone="z-0", site="z-0", slots=3
)


class FakeTarget:
    """A primary with limited slots and connections.

    It queues up to `queue_limit` statements that find no slot, and refuses
    others. Of the responses to statements, the part `lost_share` never
    arrives, none on `silent_links`, and as many to a statement as `lost_ids`
    says by its id. `busy_links` are the connections with an exchange under
    way, `timeouts` the exchanges that have reached their time limit.
    """

    def __init__(
        self, clock: FakeClock, slots: int, connection_limit: int
    ) -> None:
        self.clock = clock
        self.slots = slots
        self.connection_limit = connection_limit
        self.slots_in_use = 0
        self.connections = 0
        self.opened = 0
        self.run_time = 0.02
        self.run_counts: Counter[str] = Counter()
        self.queue_limit = 0
        self.queue: deque[tuple[float, Any]] = deque()
        self.lost_share = 0.0
        self.lost_ids: Counter[str] = Counter()
        self.silent_links: set[FakeLink] = set()
        self.rng = random.Random(2)
        self.busy_links: set[FakeLink] = set()
        self.max_busy_links = 0
        self.timeouts = 0
        # Ids of statements by the commit that made them permanent.
        self.committed: Counter[str] = Counter()
        self.violations: list[str] = []
        # Whether it also refuses orders of a preparation without a slot.
        self.setup_needs_slot = False
        # Whether it runs what it gets but replies to nothing.
        self.is_mute = False
        self.links: list[FakeLink] = []
        self.on_run: Any = lambda id, link: None

    def occupy_slot(self, seconds: float, done: Any, refused: Any) -> None:
        if self.slots_in_use < self.slots:
            self._run(seconds, done)
        elif len(self.queue) < self.queue_limit:
            self.queue.append((seconds, done))
        else:
            self.clock.call_later(HOP_SECONDS, refused)

    def _run(self, seconds: float, done: Any) -> None:
        self.slots_in_use += 1

        def over() -> None:
            self.slots_in_use -= 1
            if self.queue:
                self._run(*self.queue.popleft())
            done()

        self.clock.call_later(HOP_SECONDS + seconds, over)

    def loses_response(self, link: FakeLink, id: str) -> bool:
        if self.lost_ids[id] > 0:
            self.lost_ids[id] -= 1
            return True
        return link in self.silent_links or self.rng.random() < self.lost_share


@dataclass(eq=False)
class FakeLink:
    """A connection of one VM to the target.

    `values`, `shapes` and `state` are what the VM knows from replies;
    `real_values` and `real_state` are what the target has. Like a real
    connection, it reports a timeout before it closes.
    """

    target: FakeTarget
    vm: CrowdVm
    values: dict[str, str] = field(default_factory=dict)
    shapes: set[Shape] = field(default_factory=set)
    state: SessionState = SessionState.IDLE
    real_values: dict[str, str] = field(default_factory=dict)
    real_state: SessionState = SessionState.IDLE
    closed: bool = False
    uncommitted: list[str] = field(default_factory=list)
    pending: Any = None
    timer: Any = None
    exchange_id: str = "-"

    @property
    def usable(self) -> bool:
        return not self.closed and self.pending is None

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.target.connections -= 1
            self.target.links.remove(self)
            if self.pending is not None:
                self._complete(LinkLost())

    def send(self, orders: Any, timeout: float, on_complete: Any) -> None:
        assert self.pending is None, "an exchange is running"
        self.pending = on_complete
        target = self.target
        target.busy_links.add(self)
        target.max_busy_links = max(
            target.max_busy_links, len(target.busy_links)
        )
        self.timer = target.clock.call_later(timeout, self._on_timeout)
        self.exchange_id = getattr(orders[0], "id", "-") if orders else "-"
        self._run(list(orders), [], on_complete)

    def _on_timeout(self) -> None:
        self.target.timeouts += 1
        self._complete(LinkLost(unresponsive=True))
        self.close()

    def _complete(self, result: Any) -> None:
        on_complete, self.pending = self.pending, None
        self.target.busy_links.discard(self)
        self.timer.cancel()
        if on_complete is not None and self.vm.is_running:
            on_complete(result)

    def _run(
        self, orders: Any, replies: list[TargetReply], exchange: Any
    ) -> None:
        """Run the orders one after the other, statements in a slot.

        What the target has got takes effect, also without a connection.
        """
        if not orders:
            if self.pending is exchange and self._responds(replies):
                self._complete(replies)
            return
        order, later = orders[0], orders[1:]

        def next_after(refusal: Refusal | None) -> None:
            if refusal is None:
                self._apply(order)
            reply = TargetReply(
                signature="s",
                refusal=refusal,
                state=self.real_state,
                position=Position(term=1, index=1),
            )
            if self.pending is exchange and not self.target.is_mute:
                self._mirror(order, reply)
            self._run(later, [*replies, reply], exchange)

        is_statement = isinstance(order, (RunText, RunShape, CommitWork))
        if is_statement:
            self.target.on_run(order.id, self)
        if is_statement or self.target.setup_needs_slot:
            self.target.occupy_slot(
                self.target.run_time,
                lambda: next_after(None),
                lambda: next_after(Refusal.BUSY),
            )
            return
        self.target.clock.call_later(HOP_SECONDS, lambda: next_after(None))

    def _responds(self, replies: list[TargetReply]) -> bool:
        target = self.target
        if target.is_mute:
            return False
        # A refusal is never lost.
        was_refused = any(reply.refusal is not None for reply in replies)
        return was_refused or not target.loses_response(self, self.exchange_id)

    def _mirror(self, order: Any, reply: TargetReply) -> None:
        self.state = reply.state
        self.values = dict(self.real_values)
        if isinstance(order, ResetConnection):
            self.shapes = set()
        elif isinstance(order, PrepareShape):
            self.shapes.add(order.shape)

    def _apply(self, order: Any) -> None:
        match order:
            case BeginWork():
                self.real_state, self.uncommitted = SessionState.OPEN, []
            case RollbackWork():
                self.real_state, self.uncommitted = SessionState.IDLE, []
            case CommitWork():
                self.target.committed.update(self.uncommitted)
                self.real_state, self.uncommitted = SessionState.IDLE, []
            case Assign(name=name, value=value):
                self.real_values = {**self.real_values, name: value}
            case ResetConnection():
                self.real_values = {}
            case RunText() | RunShape():
                self.target.run_counts[order.id] += 1
                self._check(order.id)

    def _check(self, id: str) -> None:
        """Check that a statement runs in its transaction, with its values.

        Ids of statements in transactions are `transaction/number`.
        """
        transaction, in_transaction, number = id.partition("/")
        is_open = self.real_state is SessionState.OPEN
        if is_open != bool(in_transaction):
            self.target.violations.append(f"{id} ran in {self.real_state}")
        if not is_open:
            return
        self.uncommitted.append(id)
        if {each.partition("/")[0] for each in self.uncommitted} != {
            transaction
        }:
            self.target.violations.append(f"{self.uncommitted} ran together")
        if self.real_values != {"tx": transaction, "step": number}:
            self.target.violations.append(f"{id} ran with {self.real_values}")


class FakeDialer:
    """Opens connections of one VM."""

    def __init__(self, target: FakeTarget, vm: CrowdVm) -> None:
        self.target = target
        self.vm = vm

    def open(self, team: str, timeout: float, on_complete: Any) -> None:
        target, clock = self.target, self.target.clock
        if not self.vm.can_reach_target:
            clock.call_later(timeout, lambda: on_complete(OpenFailed()))
        elif target.connections >= target.connection_limit:
            full = OpenFailed(full=True)
            clock.call_later(HOP_SECONDS, lambda: on_complete(full))
        else:
            target.connections += 1
            target.opened += 1
            link = FakeLink(target, self.vm)
            target.links.append(link)
            opened = Opened(link=link)

            def again() -> None:
                # A new connection needs a slot to open its session.
                target.occupy_slot(
                    OPENING_SECONDS, lambda: on_complete(opened), again
                )

            again()

    def check(self, link: FakeLink, timeout: float, on_complete: Any) -> None:
        is_silent = link in self.target.silent_links
        self.target.clock.call_later(
            timeout if is_silent else HOP_SECONDS,
            lambda: on_complete(Health.SILENT if is_silent else Health.ALIVE),
        )

    def end(self, number: int) -> None:
        pass


def answer_heartbeat(_message: Any, reply: Any) -> None:
    answer = new_envelope()
    answer.init("heartbeatAck")
    reply(answer)


class FakePeers:
    """The network between the VMs of a crowd."""

    def __init__(self, crowd: Crowd, vm: CrowdVm) -> None:
        self.crowd = crowd
        self.vm = vm
        self.handlers: dict[str, Any] = {"heartbeat": answer_heartbeat}
        self.unanswered: dict[str, list[float]] = {}
        self.close_listeners: list[Any] = []

    def add_close_listener(self, listener: Any) -> None:
        self.close_listeners.append(listener)

    def protocol_of(self, address: str) -> int:
        return self.crowd.by_address[address].protocol

    def unresponsive_for(self, address: str) -> float | None:
        now = self.crowd.clock.now()
        return max(
            (now - at for at in self.unanswered.get(address, [])), default=0
        )

    def add_handler(self, which: str, callback: Any) -> None:
        self.handlers[which] = callback

    def send(self, address: str, message: Any) -> None:
        self._deliver(address, message, lambda answer: None)

    def ask(
        self, address: str, message: Any, timeout: float, on_answer: Any
    ) -> None:
        clock = self.crowd.clock
        pending = [on_answer]
        unanswered = self.unanswered.setdefault(address, [])
        asked_at = clock.now()
        unanswered.append(asked_at)

        def once(answer: Any) -> None:
            if not pending:
                return
            unanswered.remove(asked_at)
            on_complete = pending.pop()
            if self.vm.is_running:
                on_complete(answer)

        other = self.crowd.by_address[address]
        if not other.is_running:
            lost = PeerLost(sent=False)
            clock.call_later(0.002, lambda: once(lost))
            return
        no_answer = PeerLost(sent=True)
        clock.call_later(timeout, lambda: once(no_answer))
        other.pending_answers.append(lambda: once(no_answer))
        self._deliver(address, message, once)

    def _deliver(self, address: str, message: Any, on_answer: Any) -> None:
        other = self.crowd.by_address[address]
        clock = self.crowd.clock

        def reply(answer: Any) -> None:
            if other.is_running:
                standstill = (
                    max(self.vm.still_until, other.still_until) - clock.now()
                )
                clock.call_later(
                    max(HOP_SECONDS, standstill), lambda: on_answer(answer)
                )

        reply.sender = self.vm  # type: ignore[attr-defined]

        def arrive() -> None:
            if other.is_running and self.vm.is_running:
                self.crowd.on_message(message.which(), self.vm, other)
            if other.is_running:
                other.peers.handlers[message.which()](message, reply)

        # The messages of a VM that stands still arrive later, in order.
        standstill = max(self.vm.still_until, other.still_until) - clock.now()
        clock.call_later(max(HOP_SECONDS, standstill), arrive)


class CrowdVm:
    """One VM of the crowd."""

    def __init__(self, crowd: Crowd, number: int, zone: str) -> None:
        self.crowd = crowd
        self.is_running = True
        self.still_until = 0.0
        self.protocol = HELD_TRANSACTIONS_PROTOCOL
        self.can_reach_target = True
        self.pending_answers: list[Any] = []
        self.zone_vm = ZoneVm(name=f"vm-{number}", address=f"vm-{number}:1")
        self.zone = zone
        self.peers: Any = FakePeers(crowd, self)
        clock: Any = crowd.clock
        self.runner_clock = clock
        self.board = SessionBoard(vm=self.zone_vm.name, availability_zone=zone)
        self.board.vm_count = crowd.count
        limits = GroupLimits(
            name="g", max_connections=crowd.target.connection_limit
        )
        self.board.catalog = Catalog(
            version=1, routes={"d": ROUTE}, groups={"g": limits}
        )
        group = self.board.group("g")
        group.record = PrimaryRecord(group="g", version=1, term=1, primary="t")
        target = dataclasses.replace(TARGET, slots=crowd.target.slots)
        group.targets["t"] = ListedTarget(
            target=target, group="g", is_primary=True
        )
        self.pools: Any = Pools(
            reactor=clock,
            make_dialer=lambda target, on_ended: FakeDialer(
                crowd.target, self
            ),
            timing=PoolTiming(
                connect_timeout=0.5,
                connections=LINK_TIMING,
                breaker=LINK_BREAKER,
            ),
            random_float=crowd.rng.random,
        )
        self.holders = ZoneHolders(local_vm=self.zone_vm.name)
        self.server = HolderServer(
            reactor=clock,
            board=self.board,
            peers=self.peers,
            pools=self.pools,
        )
        self.held = HeldTransactions(
            reactor=clock,
            board=self.board,
            peers=self.peers,
            pools=self.pools,
        )
        self.keeper = TargetKeeper(
            reactor=clock,
            board=self.board,
            platform=None,  # type: ignore[arg-type]
            pools=self.pools,
            kind="",
            decode_target=lambda found: None,
            leaving_timeout=7.0,
            zone_holders=self.holders,
        )
        self.runner = StatementRunner(
            reactor=clock,
            board=self.board,
            pools=self.pools,
            budget=RetryBudget(percent=20.0),
            statement_logger=StatementLogger(
                on_outcome=lambda story, outcome, took: None
            ),
            request_record_read=lambda group: None,
            peers=self.peers,
            holders=self.holders,
            quotas=self._quotas(),
        )
        self.pools.start()

    def _quotas(self) -> QuotaClient:
        counter = QuotaCounter(
            reactor=self.runner_clock,
            board=self.board,
            peers=self.peers,
            local_vm=QuotaVm(
                name=self.zone_vm.name,
                address=self.zone_vm.address,
                availability_zone=self.zone,
            ),
            confirmed_at=self.runner_clock.now,
            tolerance=QuotaTolerance(),
        )
        return QuotaClient(
            reactor=self.runner_clock,
            board=self.board,
            peers=self.peers,
            counter=counter,
        )

    def fail(self) -> None:
        self.is_running = False
        waiting, self.pending_answers = self.pending_answers, []
        for lost in waiting:
            lost()
        for link in list(self.crowd.target.links):
            if link.vm is self:
                # The target does not notice and counts it further.
                link.closed = True
        for other in self.crowd.vms:
            for listener in other.peers.close_listeners:
                if other.is_running:
                    listener(self)


class Crowd:
    """Many VMs that use one target."""

    target_type: type[FakeTarget] = FakeTarget

    def __init__(
        self, count: int, zones: int, slots: int, connection_limit: int
    ) -> None:
        self.clock = FakeClock()
        self.rng = random.Random(1)
        self.count = count
        self.target = self.target_type(self.clock, slots, connection_limit)
        self.vms = [
            CrowdVm(self, number, f"z-{number % zones}")
            for number in range(count)
        ]
        self.by_address = {vm.zone_vm.address: vm for vm in self.vms}
        self.outcomes: Counter[str] = Counter()
        self.sent_count = 0
        self.on_message: Any = lambda kind, sender, receiver: None
        self.numbers = itertools.count()
        self.reported_outcome: dict[str, str] = {}
        self.writes, self.teams = 0.0, 1
        self.opened_before = 0
        self.refresh()

    def refresh(self) -> None:
        """Update all VMs' lists of VMs and proofs of the primary."""
        now = self.clock.now()
        self.clock.call_later(0.5, self.refresh)
        for vm in self.vms:
            vm.board.group("g").proof.renew(now)
            vm.holders.update_members(
                [
                    v.zone_vm
                    for v in self.vms
                    if v.is_running and v.zone == vm.zone
                ],
                now,
            )
            vm.keeper.apply_connection_limits()

    def load(
        self, rate: float, seconds: float, *, writes: float = 0.0, teams=1
    ) -> None:
        """Send statements of callers of several teams, some of them writes.

        The first team sends most, each further one less.
        """
        self.writes, self.teams = writes, teams
        self.outcomes.clear()
        self.reported_outcome.clear()
        self.sent_count = 0
        self.opened_before = self.target.opened
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            wait = self.rng.expovariate(rate)
            self.clock.run_until(self.clock.now() + wait)
            self.ask()
        self.clock.run_until(end + ROUTE.time_limit + 0.1)

    def ask(self, vm: CrowdVm | None = None) -> None:
        if vm is None:
            vm = self.rng.choice([vm for vm in self.vms if vm.is_running])
        clock: Any = self.clock
        number = next(self.numbers)
        self.sent_count += 1
        team = ""
        if self.teams > 1:
            place = int(self.rng.paretovariate(0.8)) % self.teams
            team = f"team-{place}"
        session = Session(
            caller=f"caller {number % 400}",
            identity=Identity(team=team),
            database="d",
            reactor=clock,
            board=vm.board,
            executor=vm.runner,
            channel=None,  # type: ignore[arg-type]
        )
        job = Job(
            id=str(number),
            writes=self.rng.random() < self.writes,
            route=ROUTE,
            received_at=self.clock.now(),
            text="READ a",
        )

        def ended(outcome: Any, position: Any) -> None:
            served = isinstance(outcome, Served)
            self.outcomes["served" if served else outcome.reason.value] += 1
            if job.writes:
                self.reported_outcome[job.id] = type(outcome).__name__

        vm.runner.run(session, job, None, ended)


@given("{count:d} VMs of a zone that were in contact recently")
def given_zone(context: Any, count: int) -> None:
    context.zone = [
        ZoneVm(name=f"vm-{n}", address=f"vm-{n}:1") for n in range(count)
    ]


def view_of(context: Any, vm: ZoneVm) -> ZoneHolders:
    holders = ZoneHolders(local_vm=vm.name)
    holders.update_members(context.zone, 0.0)
    return holders


def holder_names(
    context: Any, targets: int, connections: int, vms: int
) -> list[set[str]]:
    """Return for each target the holders that the zone's VMs name."""
    views = [view_of(context, vm) for vm in context.zone]
    found = []
    for n in range(targets):
        names = set()
        for view in views:
            vm = view.holder(
                f"target-{n}",
                max_connections=connections,
                vm_count=vms,
                now=1.0,
            )
            names.add(vm.name if vm is not None else "itself")
        found.append(names)
    return found


@then(
    "for {targets:d} targets of {connections:d} connections {vms:d} VMs use"
    " holders of their own zone"
)
def then_agree(context: Any, targets: int, connections: int, vms: int) -> None:
    found = holder_names(context, targets, connections, vms)
    # The holder uses its own connections.
    assert all(len(names - {"itself"}) == 1 for names in found), found
    held = [name for names in found for name in names - {"itself"}]
    context.held = Counter(held)


@then("no VM holds more than {most:d} of the {targets:d} targets")
def then_even(context: Any, most: int, targets: int) -> None:
    assert sum(context.held.values()) == targets
    assert max(context.held.values()) <= most, context.held


@then("the loss of a VM moves no target that it does not hold")
def then_stable(context: Any) -> None:
    before = holder_names(context, 30, 34, 68)
    gone = context.zone.pop(7).name
    after = holder_names(context, 30, 34, 68)
    for old, new in zip(before, after):
        if gone not in old:
            assert old - {"itself"} == new - {"itself"}, (old, new)


@then(
    "for {targets:d} targets of {connections:d} connections {vms:d} VMs use"
    " their own"
)
def then_own(context: Any, targets: int, connections: int, vms: int) -> None:
    found = holder_names(context, targets, connections, vms)
    assert all(names == {"itself"} for names in found), found


@then("a VM whose list is {age:g} s old uses its own")
def then_old_list(context: Any, age: float) -> None:
    view = view_of(context, context.zone[0])
    assert view.holder("t", max_connections=34, vm_count=68, now=age) is None


def view_with_other_holder(context: Any) -> ZoneHolders:
    names = [view_of(context, vm) for vm in context.zone]
    return next(
        view
        for view in names
        if view.holder("t", max_connections=34, vm_count=68, now=1.0)
        is not None
    )


@then("a VM whose holder failed asks the next one for {seconds:g} s")
def then_next(context: Any, seconds: float) -> None:
    view = context.view = view_with_other_holder(context)
    first = view.holder("t", max_connections=34, vm_count=68, now=1.0)
    view.record_failure(first.name, "", 1.0)
    second = view.holder("t", max_connections=34, vm_count=68, now=1.1)
    assert second is None or second != first
    late = 1.0 + seconds + 0.01
    assert view.holder("t", max_connections=34, vm_count=68, now=late) == first


@then("a VM whose second holder failed too uses its own")
def then_none_left(context: Any) -> None:
    view = context.view
    for at in (2.0, 2.1):
        vm = view.holder("t", max_connections=34, vm_count=68, now=at)
        if vm is not None:
            view.record_failure(vm.name, "t", at)
    assert view.holder("t", max_connections=34, vm_count=68, now=2.2) is None


@given(
    "{count:d} VMs in {zones:d} zones before a target of {slots:d} slots and"
    " {connections:d} connections"
)
def given_crowd(
    context: Any, count: int, zones: int, slots: int, connections: int
) -> None:
    context.crowd = Crowd(count, zones, slots, connections)


@when("reads of {work:d} ms arrive at {rate:g} a second for {seconds:g} s")
def when_load(context: Any, work: int, rate: float, seconds: float) -> None:
    context.crowd.target.run_time = work / 1000
    context.crowd.load(rate, seconds)


@when("{seconds:g} s passes in the crowd")
def when_crowd_time(context: Any, seconds: float) -> None:
    clock = context.crowd.clock
    clock.run_until(clock.now() + seconds)


@when("a third of the VMs are lost")
def when_third_dies(context: Any) -> None:
    for vm in context.crowd.vms[::3]:
        vm.fail()


@when("holders can't reach the target")
def when_cut(context: Any) -> None:
    for vm in context.crowd.vms:
        vm.can_reach_target = not vm.holders.holds("t", 0.0)


@then("at least {share:g} of them are served")
def then_served(context: Any, share: float) -> None:
    crowd = context.crowd
    assert sum(crowd.outcomes.values()) == crowd.sent_count, crowd.outcomes
    part = crowd.outcomes["served"] / crowd.sent_count
    assert part >= share, (part, crowd.outcomes)


@then("at most {part:g} connections are opened for each read")
def then_few_opened(context: Any, part: float) -> None:
    crowd = context.crowd
    opened = crowd.target.opened - crowd.opened_before
    assert opened <= part * crowd.sent_count, (opened, crowd.sent_count)


@given("a limit of {most:d} that refusals at {times} have lowered")
def given_limit(context: Any, most: int, times: str) -> None:
    context.limit = ConcurrencyLimit(maximum=most)
    for at in times.replace(" and ", ", ").split(", "):
        context.limit.record_refusal(float(at))


@then(
    "at {at:g} it allows {few:d}, and after {count:d} served ones more than"
    " {more:d}"
)
def then_limited(
    context: Any, at: float, few: int, count: int, more: int
) -> None:
    assert context.limit.allowed(at) == few
    for _ in range(count):
        context.limit.record_success()
    assert context.limit.allowed(at) > more


@then("at {at:g} it allows {most:d} again")
def then_forgotten(context: Any, at: float, most: int) -> None:
    assert context.limit.allowed(at) == most


TEXT = st.text(st.characters(max_codepoint=255), max_size=20)
POSITIONS = st.none() | st.builds(
    Position, term=st.integers(0, 9), index=st.integers(0, 10**9)
)
READS = st.builds(
    ForwardRequest,
    id=TEXT,
    caller=TEXT,
    group=TEXT,
    target=TEXT,
    address=TEXT,
    born=st.integers(0, 2**42),
    values=st.dictionaries(TEXT, TEXT, max_size=3),
    remaining=st.integers(0, 9_000_000).map(lambda us: us / 1e6),
    slot_timeout=st.integers(0, 9_000_000).map(lambda us: us / 1e6),
    urgency=st.integers(0, 9),
    text=st.none() | TEXT,
    shape=st.none() | st.builds(Shape, writes=st.just(False), text=TEXT),
    arguments=TEXT,
    after=POSITIONS,
    abandonable=st.booleans(),
)
RESULTS = (
    st.builds(
        TargetReply,
        rows=st.lists(TEXT, max_size=3),
        signature=TEXT,
        refusal=st.none() | st.sampled_from(Refusal),
        message=TEXT,
        position=POSITIONS,
    )
    | st.builds(
        NotRun,
        reason=st.sampled_from(Reason),
        retry_after_ms=st.integers(0, 9000),
        message=TEXT,
    )
    | st.builds(
        Overloaded,
        reason=st.sampled_from(Reason),
        retry_after_ms=st.integers(0, 9000),
        message=TEXT,
    )
    | st.builds(LinkLost, unresponsive=st.booleans())
)


@then("{count:d} generated reads and results are the same after decoding")
def then_same(context: Any, count: int) -> None:
    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(READS, RESULTS)
    def check(read: ForwardRequest, result: Any) -> None:
        assert decode_statement(encode_statement(read)) == read
        assert decode_result(encode_result(result)) == result

    check()


@when(
    "statements of {ms:d} ms of {teams:d} teams arrive at {rate:d} a second"
    " for {seconds:d} s, {writes:d} of 10 of them writes"
)
def when_statements(
    context: Any, ms: int, teams: int, rate: int, seconds: int, writes: int
) -> None:
    crowd = context.crowd
    crowd.target.run_time = ms / 1000
    crowd.load(rate, seconds, writes=writes / 10, teams=teams)


@when("holders are lost one after another while writes arrive")
def when_dying(context: Any) -> None:
    crowd = context.crowd

    def kill_one() -> None:
        now = crowd.clock.now()
        holders = [
            v for v in crowd.vms if v.is_running and v.holders.holds("t", now)
        ]
        crowd.rng.choice(holders).fail()

    for number in range(8):
        crowd.clock.call_later(0.6 * number + 0.1, kill_one)
    crowd.load(120, 5, writes=1.0, teams=8)


@then("no write ran twice and each outcome is correct")
def then_true(context: Any) -> None:
    crowd = context.crowd
    ran = crowd.target.run_counts
    assert len(crowd.reported_outcome) > 100
    for id, reported_outcome in crowd.reported_outcome.items():
        allowed = {"Served": (1,), "Unknown": (0, 1)}.get(
            reported_outcome, (0,)
        )
        assert ran[id] in allowed, (id, reported_outcome, ran[id])
    assert "Unknown" in crowd.reported_outcome.values()


@when("holders that run statements for other VMs are told to stop")
def when_holders_stop(context: Any) -> None:
    crowd: Crowd = context.crowd
    crowd.clock.run_until(crowd.clock.now() + 0.6)
    crowd.outcomes.clear()
    for _ in range(20):
        crowd.ask()
    crowd.clock.run_until(crowd.clock.now() + 3 * HOP_SECONDS)
    context.holders = [vm for vm in crowd.vms if vm.server.pending_count]
    now = crowd.clock.now()
    for vm in context.holders:
        vm.board.stop_plan = plan_stop(started_at=now, grace=6.0)


@then("they count these statements until all are answered")
def then_counted(context: Any) -> None:
    crowd: Crowd = context.crowd
    assert context.holders
    while any(vm.server.pending_count for vm in context.holders):
        assert sum(crowd.outcomes.values()) < 20, crowd.outcomes
        crowd.clock.run_until(crowd.clock.now() + 0.001)
    crowd.clock.run_until(crowd.clock.now() + 1.0)
    assert crowd.outcomes == {"served": 20}, crowd.outcomes
