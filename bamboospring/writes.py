"""Run a write: find the primary, send it once, and wait for a majority.

A write is sent at most once, unless the target says that nothing ran. While
its group has no primary it waits here, within its deadline, since it surely
has not run; it goes on as soon as there is one. Once it has been sent and
the group has moved on to another term, no answer can be passed on any more:
it ends as unknown at once, and its key tells the rest on another try.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.commit import targets_holding
from bamboospring.exchange import done_from
from bamboospring.exchange import Exchange
from bamboospring.exchange import failed_from
from bamboospring.exchange import refusal_from
from bamboospring.exchange import RETRY_SOON_MS
from bamboospring.flights import Flight
from bamboospring.flights import Flights
from bamboospring.flights import SilenceWatch
from bamboospring.http_client import HttpLost
from bamboospring import logs
from bamboospring.outcomes import Done
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.pool import LeasedConnection
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.rendezvous import shard_of
from bamboospring.routing import choose_write
from bamboospring.routing import reaches_majority
from bamboospring.routing import SendWrite
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.target_api import TargetAnswer
from bamboospring.target_watcher import TargetWatcher

__all__ = ["TERM_GRACE", "WriteRunner"]

# How many writes of a group may wait for a primary at one holder. One more is
# refused at once, so that the memory of a long change is bounded and the
# pool's queue has room for all of them once there is a primary.
MAX_PARKED = 64
PARK_RECHECK = 0.02
# A process that has just woken finds all targets silent; their answers are
# read before this second look. Seconds.
CUT_OFF_RECHECK = 0.1
# A write that was sent when its term ended gets this long for a definite
# word: a fenced target closes its connections at once, a silent one never
# says anything.
TERM_GRACE = 0.2
MAX_SLOT_TRIES = 5
# Seconds after which a write whose majority is still awaited gets a log line.
LATE_MAJORITY = 0.25

OnOutcome = Callable[[Outcome], None]
OnBegun = Callable[[Statement, LeasedConnection, TargetAnswer], Done]


class WritePhase(Enum):
    """How far a write has come."""

    PARKED = "parked"
    ACQUIRING = "acquiring"
    SENT = "sent"
    HOLDING = "holding"
    OVER = "over"


class WriteRunner:
    """Runs the writes of a holder and the first steps of transactions."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        pools: Pools,
        exchange: Exchange,
        watcher: TargetWatcher,
        flights: Flights,
        doubt: Callable[[str], None],
        on_begun: OnBegun,
    ) -> None:
        self.reactor = reactor
        self.board = board
        self.pools = pools
        self.exchange = exchange
        self.watcher = watcher
        self.flights = flights
        self.doubt = doubt
        self.on_begun = on_begun
        self.parked: dict[str, int] = {}
        self._silence = SilenceWatch(
            reactor=reactor, board=board, flights=flights
        )
        self._unreachable: set[str] = set()
        self._trying: set[str] = set()

    def run(self, stmt: Statement, group: Group, done: OnOutcome) -> None:
        """Run a write or a BEGIN and call back once."""
        write = _Write(runner=self, stmt=stmt, group=group, done=done)
        self.flights.add(stmt.group, write)
        write.attempt()

    def choose(self, group: Group) -> SendWrite | None:
        """Return where a write of the group goes now."""
        name = group.record.name
        row = self.board.row(name, shard_of(name))
        choice = choose_write(group, row, self.reactor.now())
        if choice is not None and choice.target.name in self._trying:
            return None
        return choice

    def begin_try(self, target: str) -> None:
        """Note a try; at a target in doubt only one goes at a time.

        Otherwise each of the waiting writes would open a connection to a
        dead target many times a second.
        """
        if target in self._unreachable:
            self._trying.add(target)

    def end_try(self, target: str, *, reached: bool) -> None:
        """Note whether the target could be reached."""
        self._trying.discard(target)
        if reached:
            self._unreachable.discard(target)
        else:
            self._unreachable.add(target)


class _Write(Flight):
    """One write on its way."""

    def __init__(
        self,
        *,
        runner: WriteRunner,
        stmt: Statement,
        group: Group,
        done: OnOutcome,
    ) -> None:
        self._runner = runner
        self._stmt = stmt
        self._group = group
        self._done = done
        self._phase = WritePhase.ACQUIRING
        # Counts the tries: a callback of an earlier one finds another
        # number and gives back what it got.
        self._try = 0
        self._slot_tries = 0
        self._cut_off = False
        # What the write last waited for; said if its time ends meanwhile.
        self._why = Reason.NO_PRIMARY
        self._timer: Timer | None = None
        self.term = group.record.term

    def attempt(self) -> None:
        """Look for the primary and ask for a connection to it."""
        self._unpark()
        if self._phase is WritePhase.OVER:
            return
        if self._left() <= 0:
            self._finish(
                NotRun(reason=self._why, retry_after_ms=RETRY_SOON_MS)
            )
            return
        if not reaches_majority(self._group, self._runner.reactor.now()):
            self._refuse_cut_off()
            return
        self._cut_off = False
        self.term = self._group.record.term
        choice = self._runner.choose(self._group)
        if choice is None:
            self._runner.doubt(self._stmt.group)
            self._park(PARK_RECHECK, Reason.NO_PRIMARY)
        else:
            self._acquire(choice)

    def _refuse_cut_off(self) -> None:
        """Refuse at once what no majority in reach could acknowledge.

        Without this a write in a region that is cut off waits out its
        deadline, or is committed by a primary on this side and ends as
        unknown. Looking twice is enough to leave out a pause of our own.
        """
        if not self._cut_off:
            self._cut_off = True
            self._park(CUT_OFF_RECHECK, Reason.NO_MAJORITY)
            return
        self._finish(
            NotRun(reason=Reason.NO_MAJORITY, retry_after_ms=RETRY_SOON_MS)
        )

    def term_ended(self) -> None:
        """Go on if nothing was sent, else end as unknown."""
        match self._phase:
            case WritePhase.PARKED | WritePhase.ACQUIRING:
                self.attempt()
            case WritePhase.SENT:
                self._runner.reactor.call_later(TERM_GRACE, self._give_up)
            case WritePhase.HOLDING:
                self._finish(_primary_changed())

    def _give_up(self) -> None:
        if self._phase in (WritePhase.SENT, WritePhase.HOLDING):
            if self.term < self._group.record.term:
                self._finish(_primary_changed())

    # Waiting for a primary.

    def _park(self, seconds: float, why: Reason) -> None:
        self._why = why
        name = self._stmt.group
        parked = self._runner.parked
        if parked.get(name, 0) >= MAX_PARKED:
            self._finish(
                Overloaded(
                    reason=Reason.QUEUE_FULL, retry_after_ms=RETRY_SOON_MS
                )
            )
            return
        parked[name] = parked.get(name, 0) + 1
        self._phase = WritePhase.PARKED
        wait = max(0.0, min(seconds, self._left()))
        self._timer = self._runner.reactor.call_later(wait, self.attempt)

    def _unpark(self) -> None:
        if self._phase is not WritePhase.PARKED:
            return
        self._phase = WritePhase.ACQUIRING
        self._runner.parked[self._stmt.group] -= 1
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # At the primary.

    def _acquire(self, choice: SendWrite) -> None:
        self._phase = WritePhase.ACQUIRING
        self._try += 1
        number = self._try
        name = choice.target.name
        state = self._group.state(name)
        state.in_flight += 1
        self._runner.begin_try(name)

        def ready(leased: LeasedConnection | NotRun | Overloaded) -> None:
            state.in_flight -= 1
            unreachable = (
                isinstance(leased, NotRun)
                and leased.reason is Reason.TARGET_UNREACHABLE
            )
            self._runner.end_try(name, reached=not unreachable)
            if number != self._try or self._phase is not WritePhase.ACQUIRING:
                if isinstance(leased, LeasedConnection):
                    self._runner.pools.release(leased, healthy=True)
            elif isinstance(leased, LeasedConnection):
                self._send(choice, leased)
            elif unreachable:
                self._park(PARK_RECHECK, Reason.TARGET_UNREACHABLE)
            else:
                self._finish(leased)

        self._runner.pools.acquire(
            choice.target,
            self._stmt.deadline,
            self._stmt.caller,
            ready,
            is_write=True,
        )

    def _send(self, choice: SendWrite, leased: LeasedConnection) -> None:
        self._phase = WritePhase.SENT
        self.sent_on = leased
        state = self._group.state(choice.target.name)
        state.in_flight += 1

        def answered(answer: TargetAnswer | HttpLost) -> None:
            state.in_flight -= 1
            self.sent_on = None
            if self._phase is not WritePhase.SENT:
                # Given up meanwhile. A transaction that has begun after all
                # is rolled back with its connection.
                clean = self._stmt.step is StepKind.AUTOCOMMIT
                lost = isinstance(answer, HttpLost)
                self._runner.pools.release(leased, healthy=clean and not lost)
            elif isinstance(answer, HttpLost):
                self._runner.pools.release(leased, healthy=False)
                self._lost(answer)
            else:
                self._answered(leased, answer)

        self._runner.exchange.send(
            self._stmt,
            leased,
            term=choice.term,
            min_index=0,
            timeout=self._left(),
            on_answer=answered,
        )

    def _lost(self, lost: HttpLost) -> None:
        if not lost.sent or self._stmt.step is StepKind.BEGIN:
            # Nothing was sent, or only what ended with its connection.
            late = lost.reason in ("deadline", "timeout")
            why = Reason.DEADLINE if late else Reason.TARGET_UNREACHABLE
            self._park(PARK_RECHECK, why)
            return
        self._finish(
            Unknown(reason=Reason.ANSWER_LOST, retry_after_ms=RETRY_SOON_MS)
        )

    def _answered(
        self, leased: LeasedConnection, answer: TargetAnswer
    ) -> None:
        begun = self._stmt.step is StepKind.BEGIN and answer.outcome == "ok"
        if begun:
            self._finish(self._runner.on_begun(self._stmt, leased, answer))
            return
        self._runner.pools.release(leased, healthy=True)
        match answer.outcome:
            case "ok":
                self._hold(answer)
            case "refused":
                self._refused(answer)
            case _:
                self._finish(failed_from(answer))

    def _refused(self, answer: TargetAnswer) -> None:
        """Go on where the refusal passes; the target said: nothing ran."""
        if answer.reason in ("term", "not_primary", "behind", "leaving"):
            self._runner.doubt(self._stmt.group)
            self._park(PARK_RECHECK, Reason.PRIMARY_CHANGED)
        elif answer.reason == "slots" and self._slot_tries < MAX_SLOT_TRIES:
            self._slot_tries += 1
            self._park(PARK_RECHECK, Reason.TARGET_SLOTS)
        else:
            self._finish(refusal_from(answer))

    def _hold(self, answer: TargetAnswer) -> None:
        """Pass the answer on once a majority holds the write."""
        self._phase = WritePhase.HOLDING
        position = Position(term=answer.term, index=answer.index)
        since = self._runner.reactor.now()

        def judged(held: bool) -> None:
            self._log_if_late(position, held, since)
            self._finish(done_from(answer) if held else _no_majority())

        self._runner.watcher.wait_for_majority(
            self._stmt.group, position, self._stmt.deadline, judged
        )

    def _log_if_late(
        self, position: Position, held: bool, since: float
    ) -> None:
        waited = self._runner.reactor.now() - since
        if waited < LATE_MAJORITY:
            return
        logs.log_event(
            "majority_late",
            trace=self._stmt.trace,
            group=self._stmt.group,
            term=position.term,
            index=position.index,
            held=held,
            holding=",".join(sorted(targets_holding(self._group, position))),
            waited_ms=round(waited * 1000),
        )

    def _finish(self, outcome: Outcome) -> None:
        if self._phase is WritePhase.OVER:
            return
        self._unpark()
        self._phase = WritePhase.OVER
        self._runner.flights.remove(self._stmt.group, self)
        self._done(outcome)

    def _left(self) -> float:
        return self._stmt.deadline - self._runner.reactor.now()


def _primary_changed() -> Unknown:
    return Unknown(reason=Reason.PRIMARY_CHANGED, retry_after_ms=RETRY_SOON_MS)


def _no_majority() -> Unknown:
    return Unknown(reason=Reason.NO_MAJORITY, retry_after_ms=RETRY_SOON_MS)
