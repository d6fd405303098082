"""Simulated sessions at a VM that is told to stop.

Callers send statements, alone or in transactions, at any moment: right after
an answer, several at once, after a long pause, and over new connections until
the process is gone. Statements take from a millisecond to seconds. The process
may be paused, after which it handles what has arrived before its timers.
"""

from __future__ import annotations

from collections import Counter
import heapq
import itertools
import random

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.platform.caller_server import parse_statement
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import StatementExecutor
from bamboospring.sessions.session_opening import judge_opening
from bamboospring.sessions.session_shutdown import SessionShutdown

__all__ = ["Clock", "explore_stops"]

# From the platform's rules: what is sent later than this part of the grace
# time after the signal has to be answered in full.
LAST_BEGIN_FRACTION = 0.5
LINK_DELAY = 0.003
ROUTE = Route(
    name="r",
    database="d",
    group="g",
    freshness=Freshness.PRIMARY,
    time_limit=30.0,
    objective=0.2,
)


class Clock:
    """A reactor's clock and timers. Events from outside run before timers."""

    def __init__(self):
        self.time = 100.0
        self.paused_until = 0.0
        self._numbers = itertools.count()
        self._events = []

    def now(self):
        return self.time

    def call_later(self, delay, callback):
        return self._add(self.time + delay, 1, callback)

    def at(self, time, callback):
        """Schedule something that reaches the process from outside."""
        return self._add(time, 0, callback)

    def run_until(self, time):
        while self._events and self._events[0][0] <= time:
            due, order, number, timer = heapq.heappop(self._events)
            if due < self.paused_until:
                event = (self.paused_until, order, number, timer)
                heapq.heappush(self._events, event)
                continue
            self.time = max(self.time, due)
            if timer.callback is not None:
                timer.callback()
        self.time = time

    def _add(self, time, order, callback):
        timer = _Timer(callback)
        event = (time, order, next(self._numbers), timer)
        heapq.heappush(self._events, event)
        return timer


class _Timer:
    def __init__(self, callback):
        self.callback = callback

    def cancel(self):
        self.callback = None


class Executor(StatementExecutor):
    """Serves each statement after a random time."""

    def __init__(self, world):
        self.world = world
        self.running = {}

    def run(self, session, job, tx, on_complete):
        if tx is not None:
            tx.leased = object()
        self._serve(session, on_complete, job.writes)

    def commit(self, session, tx, id, received_at, on_complete):
        tx.leased = None
        self._serve(session, on_complete, True)

    def roll_back(self, tx):
        tx.leased = None

    def cancel(self, session):
        pass

    def interrupt(self, session):
        _, writes = self.running[session]
        outcome = NotRun(reason=Reason.DRAINING)
        if writes:
            outcome = Unknown(reason=Reason.DRAINING)
        self.world.seen["interrupted"] += 1
        self._complete(session, outcome)

    def _serve(self, session, on_complete, writes):
        world = self.world
        world.note_begun(session)
        self.running[session] = on_complete, writes
        served = Served(rows=[], signature="s", target="t")
        world.clock.at(
            world.clock.time + world.statement_duration(),
            lambda: self._complete(session, served),
        )

    def _complete(self, session, outcome):
        on_complete, _ = self.running.pop(session, (None, None))
        if on_complete is not None and not self.world.is_gone:
            on_complete(outcome, None)


class Caller:
    """The caller of one connection after the other at the VM."""

    def __init__(self, world, number):
        self.world = world
        self.number = number
        self.session = None
        self.unanswered = 0
        self.in_transaction = False
        # What has arrived of an answer whose end is still missing.
        self.is_partly_answered = False
        self.watches = world.random.random() < 0.7
        self.is_closed = True

    # What the VM sends.

    def answer(self, answer):
        self.is_partly_answered = False
        self.unanswered -= 1
        self.in_transaction = answer.state is not SessionState.IDLE
        if self.unanswered < 0:
            self.world.wrong.append(f"{self.number} got an answer to nothing")
        if self.unanswered == 0:
            self.world.after(self.world.gap(), self.act)

    def begin_refusal(self, refusal):
        self.is_partly_answered = True
        if self.watches:
            self.world.after(LINK_DELAY, self.leave_if_idle)

    def finish_refusal(self, state):
        if not self.is_partly_answered:
            self.world.wrong.append(f"{self.number}: an end without a start")
        self.is_partly_answered = False
        self.unanswered -= 1
        self.world.seen["crossed"] += 1

    def close(self):
        if self.is_closed:
            return
        self.is_closed = True
        if self.unanswered > 0:
            self.world.lost(self, "was cut")
        self.leave()

    # What the caller does.

    def open(self):
        world = self.world
        if world.is_gone or not self.is_closed:
            return
        now = world.clock.time
        if judge_opening(
            world.board, "d", "", now=now, running=60.0, held=0.0
        ):
            world.seen["opening_refused"] += 1
            world.after(0.1, self.open)
            return
        self.is_closed = False
        self.unanswered = 0
        self.in_transaction = self.is_partly_answered = False
        self.session = Session(
            caller=str(self.number),
            database="d",
            reactor=world.clock,
            board=world.board,
            executor=world.executor,
            channel=_Connection(self),
        )
        self.session.channel.session = self.session
        world.sessions[self.session] = self
        world.after(world.gap(), self.act)

    def act(self):
        """Send one statement or several at once."""
        if self.world.is_gone or self.is_closed or self.unanswered:
            return
        rng = self.world.random
        count = rng.choice((1, 1, 1, 2, 3))
        session = self.session
        self.unanswered += count
        for _ in range(count):
            # They arrive together, in one packet.
            if session in self.world.sessions:
                session.submit("id", parse_statement(self.next_text()))

    def next_text(self):
        rng = self.world.random
        statements = ["READ a", "WRITE a 1", "SET x 1"]
        if self.in_transaction:
            return rng.choice([*statements, "COMMIT", "ROLLBACK"])
        return rng.choice([*statements, "BEGIN"])

    def leave_if_idle(self):
        if not self.unanswered and not self.is_closed:
            self.is_closed = True
            self.leave()

    def leave(self):
        session, self.session = self.session, None
        if self.world.sessions.pop(session, None) is not None:
            session.handle_disconnect()
        if self.world.random.random() < 0.6:
            self.world.after(2 * LINK_DELAY, self.open)


class _Connection:
    """One connection of a caller, which may have left it."""

    def __init__(self, caller):
        self._caller = caller
        self.session = None

    def answer(self, answer):
        self._pass_on("answer", answer)

    def begin_refusal(self, refusal):
        self._pass_on("begin_refusal", refusal)

    def finish_refusal(self, state):
        self._pass_on("finish_refusal", state)

    def close(self):
        self._pass_on("close")

    def _pass_on(self, name, *args):
        if self._caller.session is self.session:
            getattr(self._caller, name)(*args)


class StopWorld:
    """One simulation: callers at a VM from before its stop to its exit."""

    def __init__(self, seed, seen, wrong):
        self.random = rng = random.Random(f"stop/{seed}")
        self.seed = seed
        self.seen = seen
        self.wrong = wrong
        self.clock = Clock()
        self.is_gone = False
        self.sessions = {}
        self.board = _board()
        self.executor = Executor(self)
        self.grace = rng.choice((1.0, 4.0, 6.0, 10.0))
        self.gap_mean = rng.choice((0.001, 0.006, 0.1))
        self.duration_mean = rng.choice((0.005, 0.03, 0.3))
        self.stop_at = self.clock.time + rng.uniform(0.5, 1.5)
        self.shutdown = SessionShutdown(
            reactor=self.clock,
            board=self.board,
            callers=_Callers(self),
            grace=self.grace,
            blocking_count=lambda: 0,
            end_held_transactions=lambda: None,
        )
        self.shutdown.stop = self.exit

    def run(self):
        rng, clock = self.random, self.clock
        for number in range(rng.randint(1, 8)):
            self.after(rng.uniform(0.0, 1.0), Caller(self, number).open)
        clock.call_later(self.stop_at - clock.time, self.shutdown.begin)
        if rng.random() < 0.3:
            pause_at = self.stop_at + rng.uniform(0.0, 0.9) * self.grace
            until = pause_at + rng.uniform(0.1, 0.5) * self.grace
            clock.at(pause_at, lambda: setattr(clock, "paused_until", until))
            self.seen["paused"] += 1
        clock.run_until(self.stop_at + 2 * self.grace)
        if not self.is_gone:
            self.wrong.append(f"world {self.seed}: the VM has not exited")

    def exit(self):
        self.is_gone = True
        self.seen["exits"] += 1
        for caller in list(self.sessions.values()):
            if caller.unanswered > 0:
                self.lost(caller, "was unanswered at the exit")

    def note_begun(self, session):
        elapsed = self.clock.time - self.stop_at
        if elapsed > LAST_BEGIN_FRACTION * self.grace:
            self.wrong.append(
                f"world {self.seed}: a statement was begun {elapsed:.3f} s "
                f"after the signal, of {self.grace} s"
            )
        elif elapsed > 0:
            self.seen["begun_while_stopping"] += 1

    def lost(self, caller, how):
        elapsed = self.clock.time - self.stop_at
        self.wrong.append(
            f"world {self.seed}: a statement of {caller.number} {how}, "
            f"{elapsed:.3f} s after the signal"
        )

    def after(self, delay, callback):
        self.clock.at(self.clock.time + delay, callback)

    def gap(self):
        if self.random.random() < 0.03:
            return self.random.uniform(0.1, 4.0)
        return LINK_DELAY + self.random.expovariate(1 / self.gap_mean)

    def statement_duration(self):
        if self.random.random() < 0.01:
            return self.random.uniform(0.5, 8.0)
        return self.random.expovariate(1 / self.duration_mean)


class _Callers:
    """The listener as the shutdown sees it."""

    def __init__(self, world):
        self._world = world
        self.listener = self

    def sessions(self):
        return list(self._world.sessions)

    def drain(self):
        pass

    close = drain


def _board():
    board = SessionBoard(vm="v", availability_zone="z")
    board.catalog = Catalog(version=1, routes={"d": ROUTE})
    board.group("g").record = PrimaryRecord(
        group="g", version=1, term=1, primary="t"
    )
    return board


def explore_stops(count):
    """Run `count` simulations; return what was seen, and what was wrong."""
    seen, wrong = Counter(), []
    for seed in range(count):
        StopWorld(seed, seen, wrong).run()
    return seen, wrong
