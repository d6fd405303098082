"""Steps for unresponsive targets: a pool with a simulated clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import heapq
import itertools
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from bamboospring.adaptive_timeout import AdaptiveTimeout
from bamboospring.blackboard import Target
from bamboospring.connections import ConnectionTiming
from bamboospring.connections import ConnectionTracker
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.http_client import TIMED_OUT
from bamboospring.lease import LeaseKeeper
from bamboospring.lease import LeaseTiming
from bamboospring.lease import LeaseValue
from bamboospring.lease import ObservedLease
from bamboospring.lease import ReadLease
from bamboospring.lease import WriteLease
from bamboospring.platform.store_dialect import StoreDialect
from bamboospring import platform_client
from bamboospring.platform_client import CallTiming
from bamboospring.platform_client import PlatformClient
from bamboospring.pool import LeasedConnection
from bamboospring.pool import Pool
from bamboospring.pool import PoolTiming
from bamboospring.pools import Pools
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.node import LINK_BREAKER
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.primary_health import PrimaryHealth
from bamboospring.sessions.primary_health import replacement_cause
from bamboospring.sessions.takeover import TakeoverCause
from bamboospring.sessions.target_control import NoReport
from bamboospring.sessions.target_control import TargetControl
from bamboospring.shares import TargetCapacity
from bamboospring.target_link import Health
from bamboospring.target_link import Opened
from bamboospring.target_link import OpenFailed

CONNECT_TIMEOUT = 0.5
SLOTS = 2
TICK = 0.25


class FakeTimer:
    """A timer of the simulated clock."""

    def __init__(self, act: Callable[[], None]) -> None:
        self.act: Callable[[], None] | None = act

    def cancel(self) -> None:
        self.act = None


class FakeClock:
    """The part of the reactor that a pool needs, with simulated time."""

    def __init__(self) -> None:
        self.time = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, FakeTimer]] = []

    def now(self) -> float:
        return self.time

    def call_later(self, wait: float, act: Callable[[], None]) -> FakeTimer:
        timer = FakeTimer(act)
        heapq.heappush(self._due, (self.time + wait, next(self._order), timer))
        return timer

    def run_until(self, end: float) -> None:
        while self._due and self._due[0][0] <= end:
            self.time, _number, timer = heapq.heappop(self._due)
            act, timer.act = timer.act, None
            if act is not None:
                act()
        self.time = end


class FakeLink:
    """A connection that stays open until it is closed."""

    usable = True

    def close(self) -> None:
        self.usable = False


class FakeDialer:
    """Opens connections; attempts hang while `answers` is false."""

    def __init__(self, clock: FakeClock, *, answers: bool) -> None:
        self.clock = clock
        self.answers = answers
        self.places = 1000
        self.refuses = False

    def behave(self, manner: str) -> None:
        """Set the behaviour: hang, refuse, have no free connection, answer."""
        self.refuses = manner == "refuses"
        self.places = 0 if manner == "full" else 1000
        self.answers = manner != "hangs"

    def open(
        self, team: str, timeout: float, on_done: Callable[[Any], None]
    ) -> None:
        if self.refuses:
            refused = OpenFailed(refused=True)
            self.clock.call_later(0.002, lambda: on_done(refused))
        elif self.places <= 0:
            full = OpenFailed(full=True)
            self.clock.call_later(0.002, lambda: on_done(full))
        elif self.answers:
            self.places -= 1
            opened = Opened(link=FakeLink())
            self.clock.call_later(0.005, lambda: on_done(opened))
        else:
            self.clock.call_later(timeout, lambda: on_done(OpenFailed()))

    def check(
        self,
        link: FakeLink,
        timeout: float,
        on_done: Callable[[Health], None],
    ) -> None:
        self.clock.call_later(0.001, lambda: on_done(Health.ALIVE))

    def end(self, number: int) -> None:
        pass


class World:
    """A pool, its target and the outcome of each statement."""

    def __init__(self, *, answers: bool) -> None:
        self.clock = FakeClock()
        self.dialer = FakeDialer(self.clock, answers=answers)
        self.work = 0.02
        self.ended: dict[int, str] = {}
        self.numbers = itertools.count()
        self.asked_at: dict[int, float] = {}
        self.pool: Pool[Any] = Pool(
            reactor=self.clock,  # type: ignore[arg-type]
            target=Target(
                name="t", address="h:1", availability_zone="z", site="z"
            ),
            make_dialer=lambda target, on_ended: self.dialer,
            queue_limit=64,
            timing=PoolTiming(
                connect_timeout=CONNECT_TIMEOUT,
                connections=ConnectionTiming(open_interval=0.005),
                breaker=LINK_BREAKER,
            ),
            random_float=lambda: 0.5,
        )
        self.pool.set_share(TargetCapacity(slots=SLOTS, connections=SLOTS))
        self._tick()

    def _tick(self) -> None:
        self.pool.tick()
        self.clock.call_later(TICK, self._tick)

    def ask_every(self, step: float, until: float, limit: float) -> None:
        """Request a statement every `step` seconds until `until`."""
        while self.clock.now() <= until:
            self.ask(limit)
            self.clock.run_until(self.clock.now() + step)

    def ask(self, seconds: float) -> int:
        number = next(self.numbers)
        asked_at = self.asked_at[number] = self.clock.now()

        def ready(result: Any) -> None:
            if isinstance(result, LeasedConnection):
                self.clock.call_later(self.work, lambda: served(result))
                return
            self.ended[number] = result.reason.value

        def served(leased: LeasedConnection[Any]) -> None:
            self.pool.release(leased, healthy=True)
            self.ended[number] = "served"

        self.pool.acquire(
            f"caller {number}", asked_at + seconds, ready, is_write=False
        )
        return number


@dataclass(kw_only=True, eq=False)
class Resting:
    """A connection that is idle since `last_used_at`."""

    last_used_at: float
    last_response_at: float = 0.0


@given("a pool whose target {manner}")
def given_pool(context: Any, manner: str) -> None:
    context.world = World(answers=manner != "hangs")
    context.world.dialer.refuses = manner == "refuses connections"
    if manner.startswith("allows"):
        context.world.dialer.places = 1 if "one" in manner else 0


@when(
    "a statement with {limit:g} s is asked for every {step:g} s until {end:g}"
)
def when_asked(context: Any, limit: float, step: float, end: float) -> None:
    world = context.world
    world.ask_every(step, end, limit)


@when(
    "the target answers from {back:g} on, with no free connection "
    "before {free:g}"
)
def when_back_and_full(context: Any, back: float, free: float) -> None:
    world = context.world
    places = world.dialer.places

    def come_back() -> None:
        world.dialer.answers, world.dialer.places = True, 0

    def have_places() -> None:
        world.dialer.places = places

    now = world.clock.now()
    world.clock.call_later(back - now, come_back)
    world.clock.call_later(free - now, have_places)


@then("all statements asked for from {since:g} on are served")
def then_served_since(context: Any, since: float) -> None:
    world = context.world
    world.clock.run_until(world.clock.now() + 1.0)
    _assert_served_since(world, since)


def _assert_served_since(world: World, since: float) -> None:
    late = [n for n, asked_at in world.asked_at.items() if asked_at >= since]
    ended = {n: world.ended.get(n, "waits") for n in late}
    assert ended and set(ended.values()) == {"served"}, ended


@then(
    "in {count:d} generated histories of a target it is served a second later"
)
def then_always_served(context: Any, count: int) -> None:
    @settings(max_examples=count, derandomize=True, deadline=None)
    @for_all(
        st.lists(
            st.tuples(
                st.sampled_from(["hangs", "refuses", "full", "answers"]),
                st.floats(0.05, 2.0),
            ),
            min_size=1,
            max_size=6,
        )
    )
    def check(history: list[tuple[str, float]]) -> None:
        world = World(answers=True)
        for manner, seconds in history:
            world.dialer.behave(manner)
            world.ask_every(0.04, world.clock.now() + seconds, 0.8)
        world.dialer.behave("answers")
        ended_at = world.clock.now()
        world.ask_every(0.04, ended_at + 3.0, 0.8)
        world.clock.run_until(ended_at + 4.0)
        _assert_served_since(world, ended_at + 1.0)

    check()


@when("{count:d} statements with {remaining:g} s are asked for at once")
def when_many(context: Any, count: int, remaining: float) -> None:
    for _ in range(count):
        context.world.ask(remaining)


@then("at {at:g} all of them are {how}")
def then_all(context: Any, at: float, how: str) -> None:
    world = context.world
    world.clock.run_until(at)
    expected = how.removeprefix("refused because of ")
    assert set(world.ended.values()) == {expected}, world.ended
    assert len(world.ended) == next(world.numbers)


@when("the leader asks the target for its report")
def when_reported(context: Any) -> None:
    world = context.world
    group = SessionGroup(name="g")
    group.targets["t"] = ListedTarget(target=world.pool.target, group="g")
    pools: Any = Pools(
        reactor=world.clock,
        make_dialer=lambda target, on_ended: world.dialer,
    )
    pools.pool(world.pool.target).set_share(
        TargetCapacity(slots=2, connections=2)
    )
    questions = TargetControl(reactor=world.clock, pools=pools)
    context.reports = []
    questions.ask(group, "t", AskReport(), 0.8, context.reports.append)
    world.clock.run_until(0.5)


@then("the answer is that it is busy")
def then_busy(context: Any) -> None:
    assert context.reports == [NoReport(busy=True)], context.reports


@when("the target stops answering at {at:g} and a statement is requested")
def when_silent(context: Any, at: float) -> None:
    world = context.world
    world.clock.run_until(at)
    world.work = 60.0
    world.ask(0.8)


@then("at {at:g} it counts as unresponsive since {since:g}")
def then_since(context: Any, at: float, since: float) -> None:
    world = context.world
    world.clock.run_until(at)
    found = world.pool.unanswered_since
    assert found is not None and abs(found - since) < 1e-6, found


@then("at {at:g} it does not count as unresponsive")
def then_heard(context: Any, at: float) -> None:
    context.world.clock.run_until(at)
    assert context.world.pool.unanswered_since is None


@then("a VM that becomes the leader at {at:g} replaces its primary at once")
def then_replaced(context: Any, at: float) -> None:
    pool = context.world.pool
    group = SessionGroup(name="g")
    group.record = PrimaryRecord(group="g", version=1, term=1, primary="t")
    sight = PrimaryHealth(
        unanswered_since=pool.unanswered_since,
        connections_refused_since=pool.refused_since,
    )
    assert replacement_cause(group, sight, at) is TakeoverCause.FAILED
    assert replacement_cause(group, PrimaryHealth(), at) is None


@given("five idle connections of which {kept:d} may stay idle for {idle:g} s")
def given_resting(context: Any, kept: int, idle: float) -> None:
    timing = ConnectionTiming(spare_idle_timeout=0.1)
    context.connections = ConnectionTracker[Resting](timing=timing, limit=8)
    context.connections.idle_timeout = idle
    context.connections.max_kept_idle = kept
    for used_at in (0.00, 0.04, 0.02, 0.01, 0.03):
        context.connections.record_opening(used_at, draw=0.5)
        context.connections.add_opened(Resting(last_used_at=used_at))


@then("at {at:g} those used at {times} are closed")
def then_closed(context: Any, at: float, times: str) -> None:
    expected = [float(each) for each in times.split(", ")]
    closed = context.connections.take_expired(at)
    assert sorted(conn.last_used_at for conn in closed) == expected, closed
    assert context.connections.open == context.connections.idle


@given("a VM that saw the lease at version 4 of another one at {at:g}")
def given_lease(context: Any, at: float) -> None:
    timing = LeaseTiming(
        duration=1.6,
        renew_interval=0.4,
        safety_margin=0.25,
        stagger_delay=0.04,
    )
    context.keeper = LeaseKeeper(
        bucket=0, vm="me", nonce="n", timing=timing, address=""
    )
    context.keeper.step(at, 0)
    context.keeper.on_read(at, at, _held(4))


@when("it observes version {version:d} at {at:g}")
def when_noticed(context: Any, version: int, at: float) -> None:
    context.keeper.on_observed(at, _held(version))


@then("it takes the lease at {at:g} and not before")
def then_takes(context: Any, at: float) -> None:
    keeper = context.keeper
    now, action = 0.0, None
    while not isinstance(action, WriteLease):
        now = round(now + 0.01, 2)
        action = keeper.step(now, 0)
        if isinstance(action, ReadLease):
            # The store does not answer.
            keeper.on_no_answer(now, now, action)
    # It reads the store every 0.2 s while the store does not answer.
    assert at - 0.01 <= now <= at + 0.2, now


def _held(version: int) -> ObservedLease:
    value = LeaseValue(vm="other", nonce=f"o/{version}", duration=1.6)
    return ObservedLease(version=version, value=value)


MOST = 1.0


@given("answers of the store that took {first:g}, {second:g} and {third:g} s")
def given_answers(
    context: Any, first: float, second: float, third: float
) -> None:
    context.times = AdaptiveTimeout(min_timeout=0.25)
    for seconds in (first, second, third):
        context.times.record_answer(seconds)


@then("the next call has a timeout of {seconds:g} s")
def then_waited(context: Any, seconds: float) -> None:
    assert context.times.timeout(MOST) == seconds


@then(
    "after one, two and three timeouts it has {one:g}, {two:g} and "
    "{three:g} s"
)
def then_lost(context: Any, one: float, two: float, three: float) -> None:
    for seconds in (one, two, three):
        context.times.record_timeout()
        assert context.times.timeout(MOST) == seconds


@when("the store takes {seconds:g} s from now on")
def when_slow(context: Any, seconds: float) -> None:
    context.given_up = []
    for _ in range(22):
        in_time = seconds <= context.times.timeout(MOST)
        context.given_up.append(not in_time)
        if in_time:
            context.times.record_answer(seconds)
        else:
            context.times.record_timeout()


@then("the second call is answered and none of the next 20 times out")
def then_adapted(context: Any) -> None:
    assert context.given_up == [True, False] + [False] * 20


@then(
    "{count:d} quick answers later the next call has a timeout of "
    "{seconds:g} s"
)
def then_quick(context: Any, count: int, seconds: float) -> None:
    for _ in range(count):
        context.times.record_answer(0.004)
    assert context.times.timeout(MOST) == seconds


class TimedHttp:
    """Answers each path after its own time, or times out before."""

    def __init__(self, clock: FakeClock, asked: list[tuple[str, float]]):
        self.clock, self.asked = clock, asked

    def request(
        self, method, path, body, timeout, on_answer, header=None
    ) -> None:
        self.asked.append((path, timeout))
        takes = 0.9 if "config" in path else 0.004
        if takes > timeout:
            lost = HttpFailure(sent=True, reason=TIMED_OUT)
            self.clock.call_later(timeout, lambda: on_answer(lost))
            return
        page = b'{"items":[],"hasMore":false,"currentRev":5}'
        answer = HttpResponse(status=200, body=page)
        self.clock.call_later(takes, lambda: on_answer(answer))


@given("a store whose answers take {seconds:g} s")
def given_store(context: Any, seconds: float) -> None:
    context.clock = FakeClock()
    context.asked = []
    clock: Any = context.clock
    with mock.patch.object(
        platform_client,
        "HttpClient",
        lambda **_made_with: TimedHttp(clock, context.asked),
    ):
        context.client = PlatformClient(
            reactor=clock,
            address="h:1",
            timing=CallTiming(
                timeout=1.0,
                min_timeout=0.25,
                large_purposes=frozenset({"catalog"}),
            ),
            dialect=StoreDialect(),
        )
        # A lane creates its HTTP client with its first call.
        for purpose in ("records", "catalog"):
            context.client._queue_of(purpose)
    for _ in range(8):
        context.client.list("groups", "records", lambda result: None)
        context.clock.run_until(context.clock.now() + 0.1)


@when("a configuration that takes {seconds:g} s is read")
def when_read(context: Any, seconds: float) -> None:
    context.got = []
    context.client.list("config", "catalog", context.got.append)


@then("it has arrived after {seconds:g} s with one request")
def then_there(context: Any, seconds: float) -> None:
    context.clock.run_until(context.clock.now() + seconds)
    assert [type(result).__name__ for result in context.got] == ["Changes"]
    paths = [path for path, _ in context.asked if "config" in path]
    assert len(paths) == 1, paths


@then("other calls still time out after {seconds:g} s")
def then_given_up(context: Any, seconds: float) -> None:
    context.client.list("groups", "records", lambda result: None)
    assert context.asked[-1][1] == seconds, context.asked[-1]
