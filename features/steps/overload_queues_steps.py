"""Steps for queues under overload.

The replay is the crowd of `zone_holders_steps` with the routes of deployment
A: three urgencies whose reads all go to one primary.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.admission import Admission
from bamboospring.admission import SlotDecision
from bamboospring.admission import SlotGranted
from bamboospring.admission import SlotRefused
from bamboospring.admission import Ticket
from bamboospring.drain_rate import RetryReservations
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.sessions.access import Identity
from bamboospring.sessions.backpressure import Backpressure
from bamboospring.sessions.backpressure import limit_retry_delay
from bamboospring.sessions.forward_messages import decode_result
from bamboospring.sessions.forward_messages import decode_statement
from bamboospring.sessions.forward_messages import encode_objective
from bamboospring.sessions.forward_messages import encode_statement
from bamboospring.sessions.forward_messages import ForwardRequest
from bamboospring.sessions.holder_probes import HolderProbes
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import GroupLimits
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import Route
from bamboospring.sessions.ports import Assign
from bamboospring.sessions.ports import ResetConnection
from bamboospring.sessions.ports import RunText
from bamboospring.sessions.ports import Served
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import Session
from bamboospring.sessions.statement_execution import SLOT_WAIT_FRACTION
from bamboospring.statements import Position
from features.steps.unanswered_steps import FakeClock
from features.steps.zone_holders_steps import Crowd
from features.steps.zone_holders_steps import CrowdVm
from features.steps.zone_holders_steps import FakeLink
from features.steps.zone_holders_steps import FakeTarget
from features.steps.zone_holders_steps import HOP_SECONDS
from features.steps.zone_holders_steps import TARGET

SAMPLE_INTERVAL = 0.001
MAX_RETRIES = 2
# Operations a second of the routes of deployment A; the names are the
# urgencies.
MIX = {0: 72, 1: 340, 2: 126}


def make_route(urgency: int, objective: float, time_limit: float) -> Route:
    return Route(
        name=f"u{urgency}",
        database=f"u{urgency}",
        group="g",
        freshness=Freshness.PRIMARY,
        time_limit=time_limit,
        objective=objective,
        urgency=urgency,
    )


ROUTES = {
    0: make_route(0, 0.205, 0.8),
    1: make_route(1, 0.405, 0.8),
    2: make_route(2, 1.005, 2.0),
}


@dataclass(kw_only=True)
class Operation:
    """A statement of a caller with its retries."""

    number: int
    urgency: int
    team: str
    started_at: float
    retries_left: int


@dataclass(kw_only=True)
class SendChecker:
    """Checks when one VM sends a statement to a holder again."""

    crowd: OverloadCrowd
    counts: Counter[tuple[str, str]] = field(default_factory=Counter)
    not_before: dict[tuple[str, str], float] = field(default_factory=dict)

    def record_ask(self, address: str, message: Any) -> str:
        if message.which() != "heldAsk":
            return ""
        id = decode_statement(message.heldAsk.head).id
        key = (id, address)
        self.counts[key] += 1
        is_early = self.crowd.clock.now() < self.not_before.get(key, 0) - 1e-6
        if self.counts[key] > 2 or is_early:
            self.crowd.wrong_sends.append(key)
        return id

    def record_answer(self, address: str, id: str, answer: Any) -> None:
        if not id:
            return
        result = decode_result(answer.heldAnswer.head)
        if isinstance(result, Overloaded):
            delay = result.retry_after_ms / 1000
            self.not_before[id, address] = self.crowd.clock.now() + delay


def watch_peers(crowd: OverloadCrowd, peers: Any) -> None:
    """Count requests, and tell silence as `Peers` does.

    A holder that answers anything is responsive, whatever else it owes.
    """
    ask, received_at = peers.ask, {}
    sends = SendChecker(crowd=crowd)

    def counted(
        address: str, message: Any, timeout: float, on_answer: Any
    ) -> None:
        crowd.asked[message.which()] += 1
        id = sends.record_ask(address, message)
        if not peers.unanswered.get(address):
            received_at[address] = crowd.clock.now()

        def answered(answer: Any) -> None:
            if not isinstance(answer, PeerLost):
                received_at[address] = crowd.clock.now()
                sends.record_answer(address, id, answer)
            on_answer(answer)

        ask(address, message, timeout, answered)

    def unresponsive_for(address: str) -> float:
        if not peers.unanswered.get(address):
            return 0.0
        return crowd.clock.now() - received_at[address]

    peers.ask = counted
    peers.unresponsive_for = unresponsive_for


class QueueingTarget(FakeTarget):
    """A target that counts the statements that it refuses."""

    def __init__(
        self, clock: FakeClock, slots: int, connection_limit: int
    ) -> None:
        super().__init__(clock, slots, connection_limit)
        self.refused = 0

    def occupy_slot(self, seconds: float, done: Any, refused: Any) -> None:
        def count_refusal() -> None:
            self.refused += 1
            refused()

        super().occupy_slot(seconds, done, count_refusal)


class OverloadCrowd(Crowd):
    """A crowd whose callers send statements of three urgencies."""

    target: QueueingTarget
    target_type = QueueingTarget

    def __init__(
        self, count: int, zones: int, slots: int, connection_limit: int
    ) -> None:
        super().__init__(count, zones, slots, connection_limit)
        self.retries = 0
        self.has_values = False
        self.last_session: Session | None = None
        self.routes = dict(ROUTES)
        self.entry: CrowdVm | None = None
        self.last_outcome: tuple[Any, float] = (None, 0.0)
        self.unanswered: dict[int, CrowdVm] = {}
        self.wrong_sends: list[tuple[str, str]] = []
        self.flooding_share = 0.0
        self.mix: dict[int, float] = dict(MIX)
        self.results: dict[int, Counter[str]] = {}
        self.by_team: dict[str, Counter[str]] = {}
        self.delays: list[tuple[float, int, float]] = []
        self.asked: Counter[str] = Counter()
        self.busy_samples: list[int] = []
        self.is_sampling = False
        target = replace(TARGET, slots=slots)
        limits = GroupLimits(name="g", max_connections=connection_limit)
        catalog = Catalog(
            version=1,
            routes={route.database: route for route in ROUTES.values()},
            groups={"g": limits},
        )
        for vm in self.vms:
            vm.board.catalog = catalog
            vm.board.group("g").targets["t"] = ListedTarget(
                target=target, group="g", is_primary=True
            )
            watch_peers(self, vm.peers)

    def set_load_control(self, is_on: bool) -> None:
        for vm in self.vms:
            vm.board.load_control = is_on

    def _sample(self) -> None:
        if self.is_sampling:
            self.busy_samples.append(self.target.slots_in_use)
            self.clock.call_later(SAMPLE_INTERVAL, self._sample)

    def start_load(self) -> None:
        self.results = {urgency: Counter() for urgency in self.mix}
        self.by_team = {}
        self.delays.clear()
        self.asked.clear()
        self.busy_samples.clear()
        self.sent_count = 0

    def load_mix(self, rate: float, seconds: float) -> None:
        """Send statements at a rate, and wait for their outcomes."""
        self.start_load()
        self.is_sampling = True
        self._sample()
        end = self.clock.now() + seconds
        while self.clock.now() < end:
            wait = self.rng.expovariate(rate)
            self.clock.run_until(self.clock.now() + wait)
            self.start_operation()
        self.is_sampling = False
        self.clock.run_until(end + 8.0)

    def start_operation(self) -> None:
        urgencies, weights = zip(*self.mix.items())
        number = next(self.numbers)
        team = self.pick_team()
        operation = Operation(
            number=number,
            urgency=self.rng.choices(urgencies, weights)[0],
            team=team,
            started_at=self.clock.now(),
            retries_left=self.retries,
        )
        self.sent_count += 1
        self._send(operation)

    def pick_team(self) -> str:
        if self.teams <= 1:
            return ""
        if self.flooding_share:
            is_flooding = self.rng.random() < self.flooding_share
            place = 0 if is_flooding else self.rng.randrange(1, self.teams)
        else:
            place = int(self.rng.paretovariate(0.8)) % self.teams
        return f"team-{place}"

    def _send(self, operation: Operation) -> None:
        vm = self.entry or self.rng.choice(
            [vm for vm in self.vms if vm.is_running]
        )
        self.unanswered[operation.number] = vm
        clock: Any = self.clock
        session = Session(
            caller=f"caller {operation.number % 400}",
            identity=Identity(team=operation.team),
            database="d",
            reactor=clock,
            board=vm.board,
            executor=vm.runner,
            channel=None,  # type: ignore[arg-type]
        )
        self.last_session = session
        text = "READ a"
        if self.has_values:
            session.values["lang"] = str(operation.number % 3)
            text = f"READ {session.values['lang']}"
        route = self.routes[operation.urgency]
        job = Job(
            id=f"{operation.number}.{operation.retries_left}",
            writes=False,
            route=route,
            received_at=self.clock.now(),
            text=text,
        )

        def ended(outcome: Any, position: Any) -> None:
            self._on_ended(operation, route, outcome)

        vm.runner.run(session, job, None, ended)

    def _on_ended(
        self, operation: Operation, route: Route, outcome: Any
    ) -> None:
        del self.unanswered[operation.number]
        now = self.clock.now()
        elapsed = now - operation.started_at
        self.last_outcome = outcome, elapsed
        result = ""
        if isinstance(outcome, Served):
            result = "in_time" if elapsed <= route.objective else "late"
        else:
            delay = outcome.retry_after_ms / 1000
            self.delays.append((now, operation.urgency, delay))
            if operation.retries_left > 0:
                operation.retries_left -= 1
                self.clock.call_later(delay, lambda: self._send(operation))
                return
            result = outcome.reason.value
        self.results[operation.urgency][result] += 1
        self.by_team.setdefault(operation.team, Counter())[result] += 1

    def in_time(self, urgency: int) -> float:
        counts = self.results[urgency]
        return counts["in_time"] / max(1, counts.total())

    def busy_fraction(self) -> float:
        total = len(self.busy_samples) * self.target.slots
        return sum(self.busy_samples) / max(1, total)

    def requests_per_statement(self) -> float:
        return self.asked["heldAsk"] / max(1, self.sent_count)

    def summary(self) -> str:
        return (
            f"results={self.results} busy={self.busy_fraction():.3f}"
            f" asked={self.requests_per_statement():.2f}"
        )


@given(
    "{count:d} VMs in {zones:d} zones with load control {state}, a target of"
    " {slots:d} slots, {connections:d} connections and a queue of {queue:d}"
)
def given_overload_crowd(
    context: Any,
    count: int,
    zones: int,
    state: str,
    slots: int,
    connections: int,
    queue: int,
) -> None:
    crowd = OverloadCrowd(count, zones, slots, connections)
    crowd.set_load_control(state == "on")
    crowd.target.queue_limit = queue
    context.overload = crowd


@given("callers that retry {count:d} times")
def given_retries(context: Any, count: int) -> None:
    context.overload.retries = count


@given("{count:d} teams, of which one sends {percent:d} % of the statements")
def given_flooding_team(context: Any, count: int, percent: int) -> None:
    crowd = context.overload
    crowd.teams, crowd.flooding_share = count, percent / 100
    crowd.mix = {1: 1.0}


@when(
    "statements of {work:d} ms in the mix of A arrive at {rate:d} a second for"
    " {seconds:d} s"
)
def when_overload(context: Any, work: int, rate: int, seconds: int) -> None:
    context.overload.target.run_time = work / 1000
    context.overload.load_mix(rate, seconds)


@when("the holders are lost {seconds:g} s after the load has begun")
def when_holders_lost(context: Any, seconds: float) -> None:
    crowd = context.overload

    def lose() -> None:
        now = crowd.clock.now()
        for vm in [vm for vm in crowd.vms if vm.holders.holds("t", now)]:
            vm.fail()

    crowd.clock.call_later(seconds, lose)


def offer_replica(crowd: OverloadCrowd) -> None:
    """Let reads of urgency 2 use a replica "t2" as well as the primary."""
    route = replace(ROUTES[2], freshness=Freshness.OWN_WRITES, max_age=1.5)
    catalog = crowd.vms[0].board.catalog
    assert catalog is not None
    catalog.routes[route.database] = route
    crowd.routes[2] = route
    listed = crowd.vms[0].board.group("g").targets["t"]
    replica = replace(
        listed, target=replace(listed.target, name="t2"), is_primary=False
    )
    for vm in crowd.vms:
        group = vm.board.group("g")
        group.targets["t2"] = replica
        group.samples.add(0.0, Position(term=1, index=1))
        for name in group.targets:
            group.observed_target(name).record_applied(
                Position(term=1, index=1), 0.0
            )
        vm.keeper.apply_connection_limits()


@given("a replica that can serve reads of urgency 2")
def given_replica(context: Any) -> None:
    offer_replica(context.overload)


@given("the holder of {target} has refused urgency 2 for {ms:d} ms")
def given_full_holder(context: Any, target: str, ms: int) -> None:
    crowd = context.overload
    refusal = Overloaded(reason=Reason.QUEUE_FULL, retry_after_ms=ms)
    for vm in crowd.vms:
        vm.runner.backpressure.record(
            target, "x", 2, refusal, crowd.clock.now()
        )


@given("all targets are gone after {ms:d} ms")
def given_gone(context: Any, ms: int) -> None:
    crowd = context.overload

    def remove() -> None:
        for vm in crowd.vms:
            vm.board.group("g").targets.clear()

    crowd.clock.call_later(ms / 1000, remove)


@then("it is refused within its slot wait, and no sooner than {ms:d} ms")
def then_refused_in_time(context: Any, ms: int) -> None:
    crowd = context.overload
    refused, elapsed = crowd.last_outcome
    assert isinstance(refused, NotRun | Overloaded), refused
    assert refused.retry_after_ms > 0, refused
    slot_wait = SLOT_WAIT_FRACTION * crowd.routes[2].objective
    assert ms / 1000 <= elapsed <= slot_wait, elapsed


@given("routes of urgency {urgency:d} with an objective of {ms:d} ms")
def given_objective(context: Any, urgency: int, ms: int) -> None:
    routes = context.overload.routes
    routes[urgency] = replace(routes[urgency], objective=ms / 1000)


@when("a read of urgency {urgency:d} arrives at a VM that forwards it")
def when_read(context: Any, urgency: int) -> None:
    crowd = context.overload
    crowd.start_load()
    now = crowd.clock.now()
    # One that holds neither target, nor replaces a holder that does.
    crowd.entry = next(
        vm
        for vm in crowd.vms
        if all(
            vm.holders.holder(
                name, max_connections=1, vm_count=crowd.count, now=now
            )
            for name in ("t", "t2")
        )
    )
    crowd.mix = {urgency: 1.0}
    crowd.start_operation()
    crowd.clock.run_until(now + 3.0)


@then("it is served by {target} after {least:d} to {most:d} ms")
def then_served_by(context: Any, target: str, least: int, most: int) -> None:
    served, elapsed = context.overload.last_outcome
    assert isinstance(served, Served) and served.target == target, served
    assert least <= elapsed * 1000 <= most, elapsed


@then("it is refused at once and may be retried after {ms:d} ms")
def then_refused_at_once(context: Any, ms: int) -> None:
    refused, elapsed = context.overload.last_outcome
    assert isinstance(refused, Overloaded), refused
    assert refused.retry_after_ms == ms and elapsed == 0, refused
    assert not context.overload.asked["heldAsk"]


@then("at least {share:g} of urgency {urgency:d} are answered in time")
def then_in_time(context: Any, share: float, urgency: int) -> None:
    crowd = context.overload
    # Only callers of lost VMs have no answer.
    assert not any(vm.is_running for vm in crowd.unanswered.values())
    assert crowd.in_time(urgency) >= share, crowd.summary()


@then("less than {share:g} of urgency {urgency:d} are answered in time")
def then_not_in_time(context: Any, share: float, urgency: int) -> None:
    assert context.overload.in_time(urgency) < share


@then("at most {count:g} requests per statement are sent to holders")
def then_requests(context: Any, count: float) -> None:
    crowd = context.overload
    assert crowd.requests_per_statement() <= count, crowd.summary()


@then("the slots are busy for at least {share:g} of the time")
def then_busy(context: Any, share: float) -> None:
    crowd = context.overload
    assert crowd.busy_fraction() >= share, crowd.summary()


@then("no statement is sent to a holder more than twice or before its delay")
def then_sends(context: Any) -> None:
    assert not context.overload.wrong_sends, context.overload.wrong_sends[:9]


@then("at most {count:d} connections are opened in the replay")
def then_opened(context: Any, count: int) -> None:
    assert (
        context.overload.target.opened <= count
    ), context.overload.target.opened


@then("at least {share:g} of the other teams' statements are in time")
def then_other_teams(context: Any, share: float) -> None:
    by_team = dict(context.overload.by_team)
    by_team.pop("team-0")
    counts = sum(by_team.values(), Counter())
    assert counts["in_time"] >= share * counts.total(), counts


@then("no statement of the other teams is refused")
def then_none_refused(context: Any) -> None:
    by_team = dict(context.overload.by_team)
    by_team.pop("team-0")
    counts = sum(by_team.values(), Counter())
    assert counts["in_time"] + counts["late"] == counts.total(), counts


class Queue:
    """An admission under load control with one slot of 10 ms statements."""

    def __init__(self, queue_limit: int) -> None:
        self.admission = Admission(
            slots=1, queue_limit=queue_limit, estimate=0.01
        )
        self.now = 0.0
        self.running: list[Ticket] = []
        self.order: list[str] = []
        self.refused: list[tuple[str, Overloaded]] = []

    def submit(
        self, name: str, caller: str, urgency: int, objective: float
    ) -> None:
        ticket = Ticket(
            caller=caller,
            deadline=self.now + 2.0,
            urgency=urgency,
            objective_at=self.now + objective,
            item=name,
        )
        self.apply(self.admission.submit(ticket, self.now))

    def finish(self, seconds: float = 0.01) -> None:
        self.now += seconds
        self.admission.release(self.running.pop(), 0.01)
        self.apply(self.admission.grant_next(self.now))

    def apply(self, decisions: list[SlotDecision]) -> None:
        for decision in decisions:
            match decision:
                case SlotGranted(ticket=ticket):
                    self.running.append(ticket)
                    self.order.append(ticket.item)
                case SlotRefused(ticket=ticket, outcome=outcome):
                    self.refused.append((ticket.item, outcome))


@given("a queue under load control for {limit:d} statements")
def given_queue(context: Any, limit: int) -> None:
    context.queue = Queue(limit)


@when(
    "statement {name} of {caller} with urgency {urgency:d} and an objective of"
    " {objective:d} ms arrives"
)
def when_arrives(
    context: Any, name: str, caller: str, urgency: int, objective: int
) -> None:
    context.queue.submit(name, caller, urgency, objective / 1000)


@when("{count:d} statements of {caller} with urgency {urgency:d} arrive")
def when_many_arrive(
    context: Any, count: int, caller: str, urgency: int
) -> None:
    for number in range(count):
        context.queue.submit(f"{caller}-{number}", caller, urgency, 1.0)


@when("{count:d} statements end, each after {ms:d} ms")
def when_end(context: Any, count: int, ms: int) -> None:
    for _ in range(count):
        context.queue.finish(ms / 1000)


@then("they run in the order {names}")
def then_order(context: Any, names: str) -> None:
    assert context.queue.order == names.split(", "), context.queue.order


@then("{caller} is refused {count:d} times because of {reason}")
def then_refused(context: Any, caller: str, count: int, reason: str) -> None:
    reasons = [
        outcome.reason.value
        for name, outcome in context.queue.refused
        if name.startswith(caller)
    ]
    assert reasons == [reason] * count, context.queue.refused


@then("nothing of {caller} is refused")
def then_not_refused(context: Any, caller: str) -> None:
    names = [name for name, _outcome in context.queue.refused]
    assert not any(name.startswith(caller) for name in names), names


@then("the retry delays rise by at least {ms:d} ms each up to {most:d} ms")
def then_delays(context: Any, ms: int, most: int) -> None:
    delays = [
        outcome.retry_after_ms for _name, outcome in context.queue.refused
    ]
    assert len(delays) > 3
    assert all(0 < delay <= most for delay in delays), delays
    for first, second in zip(delays, delays[1:]):
        assert second >= min(most, first + ms), delays


@then(
    "a caller of urgency {urgent:d} that is refused after {count:d} of urgency"
    " {other:d} returns before them"
)
def then_urgent_sooner(
    context: Any, urgent: int, count: int, other: int
) -> None:
    retries = RetryReservations()
    delays = [retries.reserve(other, 0.05, 1.0) for _ in range(count)]
    urgent_delay = retries.reserve(urgent, 0.01, 1.0)
    assert urgent_delay < min(delays), (urgent_delay, delays)
    next_delay = retries.reserve(other, 0.05, 1.0)
    assert next_delay > max(urgent_delay, *delays)


@then("a delay of {delay:d} ms for an objective of {objective:d} ms is {most}")
def then_limited_delay(
    context: Any, delay: int, objective: int, most: str
) -> None:
    refusal = Overloaded(reason=Reason.QUEUE_FULL, retry_after_ms=delay)
    limited = limit_retry_delay(refusal, objective / 1000)
    assert limited.retry_after_ms == int(most.removesuffix(" ms"))


@given("a VM that a holder has refused at {at:g} s")
def given_refused(context: Any, at: float) -> None:
    context.backpressure, context.refused_at = Backpressure(), at


@when(
    "urgency {urgency:d} of caller {caller} was refused for {delay:d} ms"
    " because of {reason}"
)
def when_refused(
    context: Any, urgency: int, caller: str, delay: int, reason: str
) -> None:
    context.backpressure.record(
        "t",
        caller,
        urgency,
        Overloaded(reason=Reason(reason), retry_after_ms=delay),
        context.refused_at,
    )


@then("urgency {urgency:d} of caller {caller} is kept back for {ms:d} ms")
def then_kept_back(context: Any, urgency: int, caller: str, ms: int) -> None:
    remaining = context.backpressure.remaining(
        "t", caller, urgency, context.refused_at
    )
    assert round(remaining * 1000) == ms, remaining


@then("callers of urgency {urgency:d} are refused for {delays} ms")
def then_successive(context: Any, urgency: int, delays: str) -> None:
    for delay in delays.split(", "):
        refusal = context.backpressure.refuse(
            "t", "x", urgency, context.refused_at
        )
        assert refusal.retry_after_ms == int(delay), refusal


@then("nothing is kept back after {seconds:g} s")
def then_expired(context: Any, seconds: float) -> None:
    now = context.refused_at + seconds
    for urgency in range(4):
        for caller in ("one", "two"):
            assert (
                context.backpressure.remaining("t", caller, urgency, now) == 0
            )
    assert context.backpressure.refuse("t", "one", 3, now) is None


@then("a target of the same name at another time of day is not concerned")
def then_other_target(context: Any) -> None:
    later = context.refused_at + 86400.0
    assert context.backpressure.remaining("t", "one", 2, later) == 0


def make_request(objective: float | None) -> ForwardRequest:
    return ForwardRequest(
        id="1",
        caller="c",
        team="",
        group="g",
        target="t",
        address="h:1",
        born=0,
        values={},
        remaining=0.8,
        slot_timeout=0.1,
        text="READ a",
        objective=objective,
    )


@then("an objective of {objective} is the same after the wire")
def then_objective(context: Any, objective: str) -> None:
    seconds = None if objective == "none" else float(objective)
    request = make_request(seconds)
    message = new_envelope()
    ask = message.init("heldAsk")
    ask.head = encode_statement(request)
    ask.objectiveUs = encode_objective(request.objective)
    received = decode_statement(ask.head, ask.objectiveUs)
    assert received == request, received


@then("a message of an older VM is read without an objective")
def then_old_message(context: Any) -> None:
    message = new_envelope()
    ask = message.init("heldAsk")
    ask.head = encode_statement(make_request(0.5))
    received = decode_statement(ask.head, ask.objectiveUs)
    assert received == make_request(None), received


class ProbedPeers:
    """One link to a holder that owes an answer, as `Peers` reports it."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.is_answering = True
        self.heartbeats = 0
        self.received_at = 0.0

    def unresponsive_for(self, address: str) -> float:
        return self.clock.now() - self.received_at

    def ask(
        self, address: str, message: Any, timeout: float, on_answer: Any
    ) -> None:
        self.heartbeats += 1
        if not self.is_answering:
            lost = PeerLost(sent=True)
            self.clock.call_later(timeout, lambda: on_answer(lost))
            return

        def answer() -> None:
            self.received_at = self.clock.now()
            on_answer(message)

        self.clock.call_later(HOP_SECONDS, answer)


@given("a holder that owes an answer and answers heartbeats")
def given_probed(context: Any) -> None:
    clock: Any = FakeClock()
    peers: Any = ProbedPeers(clock)
    context.clock, context.peers = clock, peers
    context.probes = HolderProbes(reactor=clock, peers=peers, vm="v")
    context.probes.watch("h:1")


@when("it stops answering")
def when_stops(context: Any) -> None:
    context.peers.is_answering = False


@when("it answers again")
def when_answers(context: Any) -> None:
    context.peers.is_answering = True
    context.clock.run_until(context.clock.now() + 0.5)


@then(
    "it is not silent within {seconds:d} s and gets at most {most:d}"
    " heartbeats"
)
def then_not_silent(context: Any, seconds: int, most: int) -> None:
    clock, before = context.clock, context.peers.heartbeats
    end = clock.now() + seconds
    while clock.now() < end:
        clock.run_until(clock.now() + 0.01)
        assert not context.probes.is_silent("h:1"), clock.now()
    assert 0 < context.peers.heartbeats - before <= most


@then("it is silent after {seconds:g} s")
def then_silent(context: Any, seconds: float) -> None:
    context.clock.run_until(context.clock.now() + seconds)
    assert context.probes.is_silent("h:1")


@given("links that check the values of sessions")
def given_checked_links(context: Any) -> None:
    crowd, send = context.overload, FakeLink.send
    crowd.wrong_values, crowd.refused_setups = [], 0
    crowd.target.setup_needs_slot = True

    def checked(
        link: FakeLink, orders: Any, timeout: float, on_complete: Any
    ) -> None:
        def on_result(result: Any) -> None:
            is_refused = any(reply.refusal is not None for reply in result)
            if isinstance(orders[0], RunText):
                expected = {"lang": orders[0].text.removeprefix("READ ")}
                if link.values != expected and not is_refused:
                    crowd.wrong_values.append((link.values, expected))
            elif is_refused:
                crowd.refused_setups += 1
            else:
                apply_setup(link, orders)
            on_complete(result)

        send(link, orders, timeout, on_result)

    FakeLink.send = checked  # type: ignore[method-assign]
    context.add_cleanup(setattr, FakeLink, "send", send)


def apply_setup(link: FakeLink, orders: Any) -> None:
    for order in orders:
        match order:
            case ResetConnection():
                link.values.clear()
            case Assign(name=name, value=value):
                link.values[name] = value


@given("sessions with values of their own")
def given_values(context: Any) -> None:
    context.overload.has_values = True


def send_to_full_target(crowd: OverloadCrowd, seconds: float) -> None:
    """Send a read over an open connection while all slots are in use."""
    now = crowd.clock.now()
    crowd.entry = next(
        vm
        for vm in crowd.vms
        if vm.holders.holder(
            "t", max_connections=1, vm_count=crowd.count, now=now
        )
    )
    crowd.start_load()
    crowd.start_operation()
    crowd.clock.run_until(now + 0.5)
    assert crowd.target.run_counts["0.0"] == 1
    for _ in range(crowd.target.slots):
        crowd.target.occupy_slot(seconds, lambda: None, lambda: None)
    crowd.start_operation()


@when("a read with other values waits at its holder for a slot")
def when_waits(context: Any) -> None:
    crowd = context.overload
    send_to_full_target(crowd, 0.1)
    crowd.clock.run_until(crowd.clock.now() + 2.0)


@then("it ran with the values of its session, which were refused before")
def then_values(context: Any) -> None:
    crowd = context.overload
    assert crowd.target.run_counts["1.0"] == 1
    assert crowd.refused_setups > 0
    assert not crowd.wrong_values, crowd.wrong_values


@when("a read waits at its holder for a slot and its caller leaves")
def when_leaves(context: Any) -> None:
    crowd = context.overload
    send_to_full_target(crowd, 0.3)
    crowd.clock.run_until(crowd.clock.now() + 0.1)
    assert crowd.target.refused > 0
    crowd.entry.runner.cancel(crowd.last_session)
    crowd.clock.run_until(crowd.clock.now() + 2.0)


@then("it never runs and its caller is gone")
def then_gone(context: Any) -> None:
    crowd = context.overload
    assert crowd.target.run_counts["1.0"] == 0
    assert crowd.last_outcome[0].reason is Reason.CALLER_GONE


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["submit"] * 6 + ["finish", "finish", "slots", "wait"]
        ),
        st.sampled_from(["one", "two", "three"]),
        st.integers(0, 2),
        st.integers(1, 100),
    ),
    min_size=30,
    max_size=150,
)


def explore_queue(events: list[tuple[str, str, int, int]]) -> None:
    """Replay events, and check that each statement has one result."""
    queue, submitted = Queue(8), 0
    queue.admission.slots = 2
    for kind, caller, urgency, number in events:
        match kind:
            case "submit":
                submitted += 1
                queue.submit(f"{submitted}", caller, urgency, number / 100)
            case "finish" if queue.running:
                queue.finish(number / 1000)
            case "wait":
                queue.now += number / 50
                queue.apply(queue.admission.expire(queue.now))
            case "slots":
                queue.admission.slots = 1 + number % 3
                queue.apply(queue.admission.grant_next(queue.now))
        assert queue.admission.waiting <= 8
    while queue.running:
        queue.finish()
    assert queue.admission.waiting == 0
    results = [*queue.order, *(name for name, _outcome in queue.refused)]
    assert sorted(results) == sorted(str(n + 1) for n in range(submitted))
    for _name, outcome in queue.refused:
        assert 0 < outcome.retry_after_ms <= 2000


@then("no explored load under load control loses a statement")
def then_explored(context: Any) -> None:
    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @for_all(EVENTS)
    def run(events: list[tuple[str, str, int, int]]) -> None:
        explore_queue(events)

    run()
