"""Steps for the operations of a team at its limit, by urgency.

The crowd is that of the teams' limits; its callers retry refused operations
after the delay that they were told.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
import random
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.outcomes import Overloaded
from bamboospring.sessions.access import Identity
from bamboospring.sessions.quota_client import Permit
from bamboospring.sessions.quota_holders import choose_counting_vms
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import Session
from bamboospring.sessions.team_quota import TokenBucket
from bamboospring.sessions.team_urgency import CLASS_COUNT
from bamboospring.sessions.team_urgency import max_retry_after
from bamboospring.sessions.team_urgency import ReturnTimes
from bamboospring.sessions.team_urgency import UrgencyReserve
from features.steps.team_quota_steps import CountingCrowd
from features.steps.zone_holders_steps import Crowd
from features.steps.zone_holders_steps import ROUTE

# The mix of deployment A: operations a second of its three routes, and their
# objectives in seconds.
ROUTE_RATES = (72.0, 340.0, 126.0)
OBJECTIVES = (0.205, 0.405, 1.005)
RETRIES = 2


@dataclass(eq=False, kw_only=True)
class Operation:
    """One operation of a caller that retries."""

    urgency: int
    sent_at: float
    attempts: int = 0
    granted_at: float | None = None
    delays: list[float] = field(default_factory=list)


class UrgencyCrowd(CountingCrowd):
    """VMs that count teams, and callers of routes of three urgencies."""

    def __init__(
        self, count: int, zones: int, load_control: Callable[[int], bool]
    ) -> None:
        super().__init__(count, zones)
        self.operations: list[Operation] = []
        self.zone = ""
        for number, vm in enumerate(self.vms):
            vm.board.vm_count = count
            vm.board.load_control = load_control(number)

    def load_mix(
        self,
        team: str,
        rate: float,
        until: float,
        mix: tuple[float, ...] = ROUTE_RATES,
    ) -> None:
        """Send a team's operations of all routes until an instant."""
        for urgency, part in enumerate(mix):
            if part:
                self._send_route(team, urgency, rate * part / sum(mix), until)

    def _send_route(
        self, team: str, urgency: int, rate: float, until: float
    ) -> None:
        def send() -> None:
            now = self.clock.now()
            if now >= until:
                return
            self.clock.call_later(self.rng.expovariate(rate), send)
            operation = Operation(urgency=urgency, sent_at=now)
            self.operations.append(operation)
            self.attempt(team, operation)

        self.clock.call_later(self.rng.expovariate(rate), send)

    def attempt(self, team: str, operation: Operation) -> None:
        operation.attempts += 1
        vm = self.rng.choice(
            [
                vm
                for vm in self.vms
                if vm.is_running
                and self.zone in ("", vm.board.availability_zone)
            ]
        )
        sent_at = self.clock.now()

        def on_permit(result: Permit | Overloaded) -> None:
            now = self.clock.now()
            if isinstance(result, Permit):
                operation.granted_at = now
                self.granted.setdefault(team, []).append(now)
                return
            self.refused.append((now - sent_at, result))
            delay = result.retry_after_ms / 1000
            operation.delays.append(delay)
            if operation.attempts <= RETRIES:
                self.clock.call_later(
                    delay, lambda: self.attempt(team, operation)
                )

        vm.client.request_permit(
            team,
            on_permit,
            urgency=operation.urgency,
            objective=OBJECTIVES[operation.urgency],
        )

    def questions(self) -> int:
        return sum(vm.counter.request_count for vm in self.vms)


def share(
    operations: list[Operation], holds: Callable[[Operation], bool]
) -> float:
    return sum(map(holds, operations)) / max(1, len(operations))


@dataclass(kw_only=True)
class RouteResult:
    """What became of the operations of one route."""

    sent: int
    served: float
    in_time: float
    first: float
    returned: float
    delay: float


def result_of(operations: list[Operation], urgency: int) -> RouteResult:
    own = [each for each in operations if each.urgency == urgency]
    refused = [each for each in own if each.delays]
    delays = [delay for each in own for delay in each.delays]
    objective = OBJECTIVES[urgency]

    def in_time(each: Operation) -> bool:
        at = each.granted_at
        return at is not None and at - each.sent_at <= objective

    return RouteResult(
        sent=len(own),
        served=share(own, lambda each: each.granted_at is not None),
        in_time=share(own, in_time),
        first=share(own, lambda each: not each.delays),
        returned=share(
            refused,
            lambda each: each.granted_at is not None and each.attempts == 2,
        ),
        delay=sum(delays) / max(1, len(delays)),
    )


def run_load(
    crowd: UrgencyCrowd,
    rate: int,
    times: float,
    seconds: float,
    mix: tuple[float, ...] = ROUTE_RATES,
    meanwhile: Callable[[], None] = lambda: None,
) -> float:
    """Send a team's load; return the share of its limit that is granted."""
    crowd.limit("hot", rate)
    crowd.move(5.0)
    began = crowd.clock.now()
    crowd.load_mix("hot", rate * times, began + seconds, mix)
    crowd.clock.call_later(seconds / 3, meanwhile)
    # The last callers return twice, after at most 2 s each.
    crowd.move(seconds + 6.0)
    crowd.sent_counts["hot"] = len(crowd.operations)
    return crowd.granted_share("hot", began, began + seconds)


def replay(
    *, load_control: bool, times: float, rate: int, seconds: float = 15.0
) -> UrgencyCrowd:
    crowd = UrgencyCrowd(81, 3, lambda number: load_control)
    run_load(crowd, rate, times, seconds)
    return crowd


# Buckets.


def make_bucket(rate: float, size: float) -> TokenBucket:
    return TokenBucket(rate=rate, size=size, tokens=size, refilled_at=0.0)


def explore_grants(seed: int) -> str:
    """Take by urgency from a bucket; return a fault, or an empty text."""
    rng = random.Random(seed)
    rate, size = rng.choice([0.5, 5.0, 50.0]), rng.choice([1.0, 7.5, 60.0])
    bucket, reserve = make_bucket(rate, size), UrgencyReserve()
    now, granted = 0.0, 0
    for _ in range(300):
        now += rng.choice([0.0, 0.01, 0.1, 1.0])
        wanted = [rng.choice([0, 0, 1, 5]) for _ in range(CLASS_COUNT)]
        plain = replace(bucket)
        most = plain.take(sum(wanted), now).count
        allowance = reserve.take(bucket, wanted, 3, now)
        granted += allowance.count
        if not 0 <= allowance.count <= most:
            return f"seed {seed}: {allowance.count} of {most} at {now}"
        if abs(plain.tokens + most - bucket.tokens - allowance.count) > 1e-6:
            return f"seed {seed}: tokens were lost or added at {now}"
        if granted > size + rate * now + 1e-6:
            return f"seed {seed}: {granted} by {now}"
    return ""


@then(
    "in {count:d} explored sequences no step grants more than the bucket"
    " alone would"
)
def then_never_more(context: Any, count: int) -> None:
    faults = [
        fault for seed in range(count) if (fault := explore_grants(seed))
    ]
    assert not faults, faults[:3]


def only(urgency: int, number: int) -> list[int]:
    return [number if each == urgency else 0 for each in range(CLASS_COUNT)]


@then(
    "a bucket of {size:d} grants {count:d} at once to each class that asks"
    " alone"
)
def then_whole_bucket(context: Any, size: int, count: int) -> None:
    for urgency in range(CLASS_COUNT):
        bucket, reserve = make_bucket(10.0, size), UrgencyReserve()
        allowance = reserve.take(bucket, only(urgency, size + 5), 3, 0.0)
        assert allowance.count == count, (urgency, allowance)


@then(
    "a full bucket of {size:d} grants {count:d} to each class while all"
    " classes ask"
)
def then_full_bucket(context: Any, size: int, count: int) -> None:
    bucket, reserve = make_bucket(10.0, size), UrgencyReserve()
    for _ in range(20):
        reserve.take(bucket, [9] * CLASS_COUNT, 3, 0.0)
    for urgency in range(CLASS_COUNT):
        bucket.tokens = bucket.size
        allowance = reserve.take(bucket, only(urgency, 1), 3, 0.0)
        assert allowance.count == count, (urgency, allowance)


@then(
    "{seconds:d} s after the last urgent operation the least urgent have the"
    " whole bucket"
)
def then_forgotten(context: Any, seconds: int) -> None:
    bucket, reserve = make_bucket(10.0, 12.0), UrgencyReserve()
    for _ in range(20):
        reserve.take(bucket, [9, 9, 9], 3, 0.0)
    early, late = reserve, float(seconds)
    assert early.take(bucket, [0, 0, 20], 3, 1.2).count < 12
    assert reserve.take(bucket, [0, 0, 20], 3, late).count == 12


# Delays.


@then(
    "callers refused at one moment are told successive times, the urgent"
    " first"
)
def then_successive(context: Any) -> None:
    times, told = ReturnTimes(), []
    for urgency in (0, 1, 0, 2, 1, 2):
        delay = times.reserve(
            urgency, 10.1, longest=2.0, rate=200.0, vm_count=40, now=10.0
        )
        told.append((urgency, round(delay, 3)))
    # Each VM has a token of 200 a second every 0.2 s.
    assert told == [
        (0, 0.1),
        (1, 0.3),
        (0, 0.3),
        (2, 0.5),
        (1, 0.5),
        (2, 0.7),
    ], told


@then("no delay is over 4 objectives or 2 s")
def then_bounded(context: Any) -> None:
    found = [max_retry_after(objective) for objective in OBJECTIVES]
    assert [round(delay, 3) for delay in found] == [0.82, 1.62, 2.0]
    times = ReturnTimes()
    for _ in range(50):
        delay = times.reserve(
            0, 10.1, longest=0.82, rate=20.0, vm_count=40, now=10.0
        )
        assert delay <= 0.82 + 1e-9
    bucket, reserve = make_bucket(1.0, 1.0), UrgencyReserve()
    for _ in range(50):
        allowance = reserve.take(bucket, [9, 9, 9], 1, 0.0)
        assert max(allowance.retry_after) <= 2.0


# The crowd.


@given("{count:d} VMs in {zones:d} zones that count teams by urgency")
def given_crowd(context: Any, count: int, zones: int) -> None:
    context.crowd = UrgencyCrowd(count, zones, lambda number: True)


@given(
    "{count:d} VMs in {zones:d} zones, every second without urgency, that"
    " count teams"
)
def given_mixed(context: Any, count: int, zones: int) -> None:
    # Of each zone's VMs every second one, and two of the four that count.
    context.crowd = UrgencyCrowd(
        count, zones, lambda number: number // zones % 2 == 0
    )
    crowd = context.crowd
    counting = choose_counting_vms(crowd.listed())
    known = {
        vm.board.load_control for vm in crowd.vms if vm.quota_vm in counting
    }
    assert known == {True, False}


@when(
    "a team that may run {rate:d} a second sends {times:g} times that in the"
    " mix of A for {seconds:d} s"
)
def when_mix(context: Any, rate: int, times: float, seconds: int) -> None:
    context.shares = [run_load(context.crowd, rate, times, seconds)]


@when(
    "a team that may run {rate:d} a second sends {times:g} times that of"
    " urgency {urgency:d} for {seconds:d} s"
)
def when_one_urgency(
    context: Any, rate: int, times: float, urgency: int, seconds: int
) -> None:
    mix = tuple(map(float, only(urgency, 1)))
    context.shares = [run_load(context.crowd, rate, times, seconds, mix)]


@when(
    "all callers of a team that may run {rate:d} a second send {times:g}"
    " times that in one zone for {seconds:d} s"
)
def when_one_zone(context: Any, rate: int, times: float, seconds: int) -> None:
    context.crowd.zone = "z-1"
    context.shares = [run_load(context.crowd, rate, times, seconds)]


@when(
    "{lost:d} VMs and one that counts are lost while a team sends {times:g}"
    " times its {rate:d} a second"
)
def when_lost(context: Any, lost: int, times: float, rate: int) -> None:
    crowd = context.crowd

    def lose() -> None:
        counting = choose_counting_vms(crowd.listed())
        holders = [vm for vm in crowd.vms if vm.quota_vm in counting]
        others = [vm for vm in crowd.vms if vm not in holders]
        for vm in [holders[0], *crowd.rng.sample(others, lost)]:
            vm.is_running = False

    context.shares = [run_load(crowd, rate, times, 15.0, meanwhile=lose)]


@then(
    "at least {served:g} of urgency {urgency:d} are served, {in_time:g} in"
    " time"
)
def then_served(
    context: Any, served: float, urgency: int, in_time: float
) -> None:
    result = result_of(context.crowd.operations, urgency)
    assert result.sent > 20, result
    assert result.served >= served, result
    assert result.in_time >= in_time, result


@then("of urgency 1 a larger share is served than of urgency 2")
def then_ordered(context: Any) -> None:
    operations = context.crowd.operations
    found = [result_of(operations, urgency).served for urgency in (1, 2)]
    assert found[0] > 2 * found[1], found


@then(
    "at least {part:g} of the refused of urgency {urgency:d} get a token at"
    " their first return"
)
def then_returned(context: Any, part: float, urgency: int) -> None:
    result = result_of(context.crowd.operations, urgency)
    assert result.returned >= part, result


@then("the mean delays rise from urgency 0 to urgency 2")
def then_delays(context: Any) -> None:
    operations = context.crowd.operations
    delays = [result_of(operations, each).delay for each in range(3)]
    assert delays[0] < delays[1] < delays[2], delays
    for operation in operations:
        longest = max_retry_after(OBJECTIVES[operation.urgency])
        assert max(operation.delays, default=0.0) <= longest + 0.001


@then(
    "without load control the same load is granted and refused the same with"
    " and without urgencies"
)
def then_off(context: Any) -> None:
    found = []
    for use_urgency in (True, False):
        crowd = UrgencyCrowd(40, 4, lambda number: False)
        if not use_urgency:
            for vm in crowd.vms:
                ask: Any = vm.client.request_permit
                vm.client.request_permit = (  # type: ignore[method-assign]
                    lambda team, done, ask=ask, **terms: ask(team, done)
                )
        run_load(crowd, 50, 4, 5.0)
        found.append((crowd.granted, crowd.refused, crowd.questions()))
    assert found[0] == found[1]
    assert found[0][1]


# The runner.


@then(
    "a statement of a route of urgency {urgency:d} and objective"
    " {objective:d} ms is asked for as such"
)
def then_asked(context: Any, urgency: int, objective: int) -> None:
    crowd = Crowd(4, 1, 3, 34)
    vm, asked = crowd.vms[0], []
    quotas: Any = SimpleNamespace(
        request_permit=lambda team, done, **terms: asked.append(terms)
    )
    vm.runner.quotas = quotas
    clock: Any = crowd.clock
    session = Session(
        caller="c",
        identity=Identity(team="t"),
        database="d",
        reactor=clock,
        board=vm.board,
        executor=vm.runner,
        channel=None,  # type: ignore[arg-type]
    )
    route = replace(ROUTE, urgency=urgency, objective=objective / 1000)
    job = Job(
        id="1", writes=False, route=route, received_at=0.0, text="READ a"
    )
    vm.runner.run(session, job, None, lambda outcome, position: None)
    assert asked == [{"urgency": urgency, "objective": objective / 1000}]
