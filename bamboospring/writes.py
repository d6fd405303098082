"""Run a write: find the primary, send it once, and wait for a majority.

A write is sent at most once, unless the target reports that nothing ran.
While its group has no primary, the write waits here within its deadline,
because it is known not to have run, and continues when there is a primary.
If the group moves to another term after the write was sent, its answer can
no longer be passed on. Its outcome is then unknown, and a retry with the same
key finds out whether it ran.
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
from bamboospring.http_client import HttpFailure
from bamboospring.in_flight import InFlightWrite
from bamboospring.in_flight import InFlightWrites
from bamboospring.in_flight import UnresponsiveTargetMonitor
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
from bamboospring.routing import is_majority_reachable
from bamboospring.routing import SendWrite
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.target_api import TargetAnswer
from bamboospring.target_watcher import TargetWatcher

__all__ = ["TERM_GRACE", "WriteRunner"]

# How many writes of a group may wait for a primary at one holder. Further ones
# are refused, so that a long change of primary uses bounded memory and the
# queue of the pool has room for all waiting writes afterwards.
MAX_WAITING = 64
WAIT_RECHECK_INTERVAL = 0.02
# Seconds. All reports look outdated to a process that has just been resumed
# after a pause; the targets' answers are read before this second check.
MAJORITY_RECHECK_DELAY = 0.1
# Seconds that a write already sent may wait for a definite answer after its
# term has ended. A fenced target closes its connections immediately, and an
# unresponsive one never answers.
TERM_GRACE = 0.2
MAX_SLOT_TRIES = 5
# Seconds of waiting for a majority from which on a write is logged as late.
LATE_MAJORITY_AFTER = 0.25

OnOutcome = Callable[[Outcome], None]
OnBegun = Callable[[Statement, LeasedConnection, TargetAnswer], Done]


class WritePhase(Enum):
    """The phase of a write's execution."""

    PARKED = "parked"
    ACQUIRING = "acquiring"
    SENT = "sent"
    HOLDING = "holding"
    OVER = "over"


class WriteRunner:
    """Run the writes of a holder and the first steps of transactions."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        pools: Pools,
        exchange: Exchange,
        watcher: TargetWatcher,
        in_flight: InFlightWrites,
        mark_doubted: Callable[[str], None],
        on_transaction_begun: OnBegun,
    ) -> None:
        self.reactor = reactor
        self.board = board
        self.pools = pools
        self.exchange = exchange
        self.watcher = watcher
        self.in_flight = in_flight
        self.mark_doubted = mark_doubted
        self.on_transaction_begun = on_transaction_begun
        self.waiting_for_primary: dict[str, int] = {}
        self._target_monitor = UnresponsiveTargetMonitor(
            reactor=reactor, board=board, in_flight=in_flight
        )
        self._unreachable: set[str] = set()
        self._trying: set[str] = set()

    def run(
        self, stmt: Statement, group: Group, on_complete: OnOutcome
    ) -> None:
        """Run a write or a BEGIN and call back once."""
        write = _Write(
            runner=self, stmt=stmt, group=group, on_complete=on_complete
        )
        self.in_flight.add(stmt.group, write)
        write.attempt()

    def choose(self, group: Group) -> SendWrite | None:
        """Return the target for a write of the group, None if it must wait."""
        name = group.record.name
        row = self.board.row(name, shard_of(name))
        choice = choose_write(group, row, self.reactor.now())
        if choice is not None and choice.target.name in self._trying:
            return None
        return choice

    def record_try_started(self, target: str) -> None:
        """Record the start of a try.

        At an unreachable target only one write tries at a time. Otherwise
        each waiting write would open a connection to a dead target many times
        a second.
        """
        if target in self._unreachable:
            self._trying.add(target)

    def record_try_ended(self, target: str, *, is_reachable: bool) -> None:
        """Record the end of a try and whether the target was reachable."""
        self._trying.discard(target)
        if is_reachable:
            self._unreachable.discard(target)
        else:
            self._unreachable.add(target)


class _Write(InFlightWrite):
    """The execution of one write."""

    def __init__(
        self,
        *,
        runner: WriteRunner,
        stmt: Statement,
        group: Group,
        on_complete: OnOutcome,
    ) -> None:
        self._runner = runner
        self._stmt = stmt
        self._group = group
        self._on_complete = on_complete
        self._phase = WritePhase.ACQUIRING
        # Identifies the current attempt. The callback of an earlier attempt
        # finds another number and returns its connection.
        self._attempt_number = 0
        self._slot_tries = 0
        self._majority_unreachable = False
        # The reason of the last wait, reported if the deadline passes in it.
        self._wait_reason = Reason.NO_PRIMARY
        self._timer: Timer | None = None
        self.term = group.record.term

    def attempt(self) -> None:
        """Find the primary and ask for a connection to it."""
        self._stop_waiting()
        if self._phase is WritePhase.OVER:
            return
        if self._remaining() <= 0:
            self._finish(
                NotRun(reason=self._wait_reason, retry_after_ms=RETRY_SOON_MS)
            )
            return
        if not is_majority_reachable(self._group, self._runner.reactor.now()):
            self._refuse_without_majority()
            return
        self._majority_unreachable = False
        self.term = self._group.record.term
        choice = self._runner.choose(self._group)
        if choice is None:
            self._runner.mark_doubted(self._stmt.group)
            self._wait(WAIT_RECHECK_INTERVAL, Reason.NO_PRIMARY)
        else:
            self._acquire(choice)

    def _refuse_without_majority(self) -> None:
        """Refuse a write that no reachable majority could acknowledge.

        Without this, a write in an isolated region waits until its deadline,
        or a primary in that region commits it and its outcome is unknown. The
        second check rules out that only this process was paused.
        """
        if not self._majority_unreachable:
            self._majority_unreachable = True
            self._wait(MAJORITY_RECHECK_DELAY, Reason.NO_MAJORITY)
            return
        self._finish(
            NotRun(reason=Reason.NO_MAJORITY, retry_after_ms=RETRY_SOON_MS)
        )

    def on_term_ended(self) -> None:
        """Continue if nothing was sent, else finish as unknown."""
        match self._phase:
            case WritePhase.PARKED | WritePhase.ACQUIRING:
                self.attempt()
            case WritePhase.SENT:
                self._runner.reactor.call_later(TERM_GRACE, self._give_up)
            case WritePhase.HOLDING:
                self._finish(_primary_changed_outcome())

    def _give_up(self) -> None:
        if self._phase in (WritePhase.SENT, WritePhase.HOLDING):
            if self.term < self._group.record.term:
                self._finish(_primary_changed_outcome())

    # Waiting for a primary.

    def _wait(self, delay: float, reason: Reason) -> None:
        self._wait_reason = reason
        name = self._stmt.group
        waiting = self._runner.waiting_for_primary
        if waiting.get(name, 0) >= MAX_WAITING:
            self._finish(
                Overloaded(
                    reason=Reason.QUEUE_FULL, retry_after_ms=RETRY_SOON_MS
                )
            )
            return
        waiting[name] = waiting.get(name, 0) + 1
        self._phase = WritePhase.PARKED
        wait = max(0.0, min(delay, self._remaining()))
        self._timer = self._runner.reactor.call_later(wait, self.attempt)

    def _stop_waiting(self) -> None:
        if self._phase is not WritePhase.PARKED:
            return
        self._phase = WritePhase.ACQUIRING
        self._runner.waiting_for_primary[self._stmt.group] -= 1
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    # At the primary.

    def _acquire(self, choice: SendWrite) -> None:
        self._phase = WritePhase.ACQUIRING
        self._attempt_number += 1
        attempt_number = self._attempt_number
        name = choice.target.name
        state = self._group.state(name)
        state.in_flight += 1
        self._runner.record_try_started(name)

        def on_ready(leased: LeasedConnection | NotRun | Overloaded) -> None:
            state.in_flight -= 1
            unreachable = (
                isinstance(leased, NotRun)
                and leased.reason is Reason.TARGET_UNREACHABLE
            )
            self._runner.record_try_ended(name, is_reachable=not unreachable)
            if (
                attempt_number != self._attempt_number
                or self._phase is not WritePhase.ACQUIRING
            ):
                if isinstance(leased, LeasedConnection):
                    self._runner.pools.release(leased, healthy=True)
            elif isinstance(leased, LeasedConnection):
                self._send(choice, leased)
            elif unreachable:
                self._wait(WAIT_RECHECK_INTERVAL, Reason.TARGET_UNREACHABLE)
            else:
                self._finish(leased)

        self._runner.pools.acquire(
            choice.target,
            self._stmt.deadline,
            self._stmt.caller,
            on_ready,
            is_write=True,
        )

    def _send(self, choice: SendWrite, leased: LeasedConnection) -> None:
        self._phase = WritePhase.SENT
        self.sent_on = leased
        state = self._group.state(choice.target.name)
        state.in_flight += 1

        def on_answer(answer: TargetAnswer | HttpFailure) -> None:
            state.in_flight -= 1
            self.sent_on = None
            if self._phase is not WritePhase.SENT:
                # The write has already finished. If a transaction has begun,
                # closing its connection rolls it back.
                is_autocommit = self._stmt.step is StepKind.AUTOCOMMIT
                lost = isinstance(answer, HttpFailure)
                self._runner.pools.release(
                    leased, healthy=is_autocommit and not lost
                )
            elif isinstance(answer, HttpFailure):
                self._runner.pools.release(leased, healthy=False)
                self._on_lost(answer)
            else:
                self._on_answer(leased, answer)

        self._runner.exchange.send(
            self._stmt,
            leased,
            term=choice.term,
            min_index=0,
            timeout=self._remaining(),
            on_answer=on_answer,
        )

    def _on_lost(self, lost: HttpFailure) -> None:
        if not lost.sent or self._stmt.step is StepKind.BEGIN:
            # Nothing was sent, or only a BEGIN, which closing the connection
            # rolls back.
            is_timeout = lost.reason in ("deadline", "timeout")
            reason = (
                Reason.DEADLINE if is_timeout else Reason.TARGET_UNREACHABLE
            )
            self._wait(WAIT_RECHECK_INTERVAL, reason)
            return
        self._finish(
            Unknown(reason=Reason.ANSWER_LOST, retry_after_ms=RETRY_SOON_MS)
        )

    def _on_answer(
        self, leased: LeasedConnection, answer: TargetAnswer
    ) -> None:
        has_begun = (
            self._stmt.step is StepKind.BEGIN and answer.outcome == "ok"
        )
        if has_begun:
            self._finish(
                self._runner.on_transaction_begun(self._stmt, leased, answer)
            )
            return
        self._runner.pools.release(leased, healthy=True)
        match answer.outcome:
            case "ok":
                self._wait_for_majority(answer)
            case "refused":
                self._on_refusal(answer)
            case _:
                self._finish(failed_from(answer))

    def _on_refusal(self, answer: TargetAnswer) -> None:
        """Retry after a temporary refusal, in which nothing ran."""
        if answer.reason in ("term", "not_primary", "behind", "leaving"):
            self._runner.mark_doubted(self._stmt.group)
            self._wait(WAIT_RECHECK_INTERVAL, Reason.PRIMARY_CHANGED)
        elif answer.reason == "slots" and self._slot_tries < MAX_SLOT_TRIES:
            self._slot_tries += 1
            self._wait(WAIT_RECHECK_INTERVAL, Reason.TARGET_SLOTS)
        else:
            self._finish(refusal_from(answer))

    def _wait_for_majority(self, answer: TargetAnswer) -> None:
        """Finish with the answer when a majority holds the write."""
        self._phase = WritePhase.HOLDING
        position = Position(term=answer.term, index=answer.index)
        since = self._runner.reactor.now()

        def on_majority(held: bool) -> None:
            self._log_if_late(position, held, since)
            self._finish(done_from(answer) if held else _no_majority_outcome())

        self._runner.watcher.wait_for_majority(
            self._stmt.group, position, self._stmt.deadline, on_majority
        )

    def _log_if_late(
        self, position: Position, held: bool, since: float
    ) -> None:
        waited = self._runner.reactor.now() - since
        if waited < LATE_MAJORITY_AFTER:
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
        self._stop_waiting()
        self._phase = WritePhase.OVER
        self._runner.in_flight.remove(self._stmt.group, self)
        self._on_complete(outcome)

    def _remaining(self) -> float:
        return self._stmt.deadline - self._runner.reactor.now()


def _primary_changed_outcome() -> Unknown:
    return Unknown(reason=Reason.PRIMARY_CHANGED, retry_after_ms=RETRY_SOON_MS)


def _no_majority_outcome() -> Unknown:
    return Unknown(reason=Reason.NO_MAJORITY, retry_after_ms=RETRY_SOON_MS)
