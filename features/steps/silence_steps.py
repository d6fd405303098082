"""Steps for targets that fall silent: a pool under a clock of its own."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.blackboard import Target
from bamboospring.connections import ConnectionTiming
from bamboospring.outcomes import NotRun
from bamboospring.pool import Leased
from bamboospring.pool import Pool
from bamboospring.pool import PoolTiming
from bamboospring.shares import Units
from bamboospring.target_link import Health
from bamboospring.target_link import Opened
from bamboospring.target_link import OpenFailed

CONNECT_TIMEOUT = 0.5
SLOTS = 2


class FakeTimer:
    """A timer of the simulated clock."""

    def __init__(self, act: Callable[[], None]) -> None:
        self.act: Callable[[], None] | None = act

    def cancel(self) -> None:
        self.act = None


class FakeClock:
    """What a pool needs of the reactor, with time that is only counted."""

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
    """A connection that stands until it is closed."""

    usable = True

    def close(self) -> None:
        self.usable = False


class FakeDialer:
    """Opens connections, or lets openings hang while `answers` is false."""

    def __init__(self, clock: FakeClock, *, answers: bool) -> None:
        self.clock = clock
        self.answers = answers

    def open(self, timeout: float, on_done: Callable[[Any], None]) -> None:
        if self.answers:
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
    """A pool, its target and what became of each statement."""

    def __init__(self, *, answers: bool, silence: float) -> None:
        self.clock = FakeClock()
        self.dialer = FakeDialer(self.clock, answers=answers)
        self.work = 0.02
        self.ended: dict[int, tuple[str, float]] = {}
        self.numbers = itertools.count()
        self.pool: Pool[Any] = Pool(
            reactor=self.clock,  # type: ignore[arg-type]
            target=Target(
                name="t", address="h:1", availability_zone="z", site="z"
            ),
            make_dialer=lambda target, on_ended: self.dialer,
            queue_limit=64,
            timing=PoolTiming(
                connect_timeout=CONNECT_TIMEOUT,
                silence=silence,
                connections=ConnectionTiming(pace=0.005),
            ),
            chance=lambda: 0.5,
        )
        self.pool.set_share(Units(slots=SLOTS, connections=SLOTS))

    def ask(self, seconds: float) -> int:
        number = next(self.numbers)
        asked_at = self.clock.now()

        def ready(result: Any) -> None:
            if isinstance(result, Leased):
                self.clock.call_later(self.work, lambda: served(result))
                return
            assert isinstance(result, NotRun), result
            assert result.retry_after_ms > 0
            self.end(number, "refused", asked_at)

        def served(leased: Leased[Any]) -> None:
            self.pool.release(leased, healthy=True)
            self.end(number, "served", asked_at)

        self.pool.acquire(
            f"caller {number}", asked_at + seconds, ready, writes=False
        )
        return number

    def end(self, number: int, how: str, asked_at: float) -> None:
        self.ended[number] = (how, self.clock.now() - asked_at)


@given(
    "a pool whose target answers nothing and whose silence counts after "
    "{seconds:g} s"
)
def given_silent(context: Any, seconds: float) -> None:
    context.world = World(answers=False, silence=seconds)


@given("a pool whose target opens at once and answers after {work:g} s")
def given_busy(context: Any, work: float) -> None:
    context.world = World(answers=True, silence=0.15)
    context.world.work = work


@when(
    "a statement with {left:g} s is asked for every {step:g} s from "
    "{first:g} to {last:g}"
)
def when_asked(
    context: Any, left: float, step: float, first: float, last: float
) -> None:
    world = context.world
    context.asked = []
    for n in range(round((last - first) / step) + 1):
        world.clock.run_until(first + n * step)
        context.asked.append(world.ask(left))


@when("the target answers again from {at:g} on")
def when_answers(context: Any, at: float) -> None:
    context.world.clock.run_until(at)
    context.world.dialer.answers = True


@when("{count:d} statements with {left:g} s are asked for at once")
def when_many(context: Any, count: int, left: float) -> None:
    context.asked = [context.world.ask(left) for _ in range(count)]


@when("{count:d} statements are served and the next takes {work:g} s")
def when_long(context: Any, count: int, work: float) -> None:
    world = context.world
    for _ in range(count):
        world.ask(0.8)
        world.clock.run_until(world.clock.now() + 0.05)
    world.work = work
    # Both slots are taken by long ones.
    context.asked = [world.ask(0.8), world.ask(0.8)]
    world.clock.run_until(world.clock.now() + 0.01)


@then(
    "each of them is refused as not run within {seconds:g} s, the last at once"
)
def then_refused(context: Any, seconds: float) -> None:
    world = context.world
    world.clock.run_until(world.clock.now() + 3.0)
    for number in context.asked:
        how, took = world.ended[number]
        assert how == "refused" and took <= seconds, (number, how, took)
    assert world.ended[context.asked[-1]][1] == 0.0


@then("some of them wait for {seconds:g} s or more")
def then_waits(context: Any, seconds: float) -> None:
    world = context.world
    world.clock.run_until(world.clock.now() + 3.0)
    longest = max(world.ended[number][1] for number in context.asked)
    assert longest >= seconds, longest


@then("all of them are served")
def then_served(context: Any) -> None:
    world = context.world
    world.clock.run_until(world.clock.now() + 3.0)
    found = [world.ended[number] for number in context.asked]
    assert all(how == "served" for how, _took in found), found


@then("a statement that is asked for at {at:g} is served")
def then_one_served(context: Any, at: float) -> None:
    world = context.world
    world.clock.run_until(at)
    number = world.ask(0.8)
    world.clock.run_until(at + 1.0)
    assert world.ended[number][0] == "served", world.ended[number]


@then("a statement that is asked for meanwhile is served as well")
def then_meanwhile(context: Any) -> None:
    world = context.world
    context.asked.append(world.ask(0.8))
    then_served(context)
