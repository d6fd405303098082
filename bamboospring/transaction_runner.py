"""Run the later steps of transactions on their pinned connections."""

from __future__ import annotations

from collections.abc import Callable

from bamboospring.exchange import done_from
from bamboospring.exchange import Exchange
from bamboospring.exchange import failed_from
from bamboospring.exchange import refusal_from
from bamboospring.exchange import RETRY_SOON_MS
from bamboospring.flights import Flight
from bamboospring.flights import Flights
from bamboospring.http_client import HttpLost
from bamboospring.outcomes import Done
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.pool import LeasedConnection
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.target_api import TargetAnswer
from bamboospring.target_watcher import TargetWatcher
from bamboospring.tokens import InvalidToken
from bamboospring.tokens import TokenCodec
from bamboospring.transactions import Answer
from bamboospring.transactions import Go
from bamboospring.transactions import RollBack
from bamboospring.transactions import Transaction
from bamboospring.transactions import TransactionTable
from bamboospring.writes import TERM_GRACE

__all__ = ["TransactionRunner"]

OnOutcome = Callable[[Outcome], None]


class TransactionRunner:
    """Keeps a holder's open transactions and runs their steps."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        vm: str,
        pools: Pools,
        exchange: Exchange,
        watcher: TargetWatcher,
        flights: Flights,
        codec: TokenCodec,
        draw_number: Callable[[], int],
        idle_seconds: float,
    ) -> None:
        self.reactor = reactor
        self.pools = pools
        self.exchange = exchange
        self.watcher = watcher
        self.flights = flights
        self.table = TransactionTable(vm=vm)
        self._idle_seconds = idle_seconds
        self._codec = codec
        self._draw_number = draw_number

    def begun(
        self, stmt: Statement, leased: LeasedConnection, answer: TargetAnswer
    ) -> Done:
        """Pin a transaction that has begun to its connection."""
        transaction = Transaction(
            number=self._draw_number(),
            group=stmt.group,
            caller=stmt.caller,
            term=answer.term,
            leased=leased,
        )
        self.table.open(transaction)
        self.pools.release_slot(leased)
        self._wait_idle(transaction)
        return done_from(answer, transaction=self._handle(transaction))

    def run(self, stmt: Statement, done: OnOutcome) -> None:
        """Run a step of an open transaction and call back once."""
        handle = self._codec.decode_transaction(stmt.transaction)
        if isinstance(handle, InvalidToken):
            done(NotRun(reason=Reason.NO_TRANSACTION, message=handle.message))
            return
        verdict = self.table.judge(handle, stmt)
        match verdict:
            case Go(transaction=transaction):
                self._stop_idle(transaction)
                step = _Step(
                    runner=self,
                    stmt=stmt,
                    transaction=transaction,
                    done=done,
                )
                step.send()
            case RollBack():
                self.drop(verdict.transaction)
                done(verdict.outcome)
            case Answer():
                done(verdict.outcome)

    def term_changed(self, group: str, term: int) -> None:
        """Drop the transactions of older terms: they can't commit any more.

        A step under way ends with the connection. A commit under way may
        still get a definite answer; it is told through `Flights`.
        """
        for transaction in self.table.of_group(group):
            if transaction.term < term and not transaction.committing:
                self.drop(transaction)

    def drop(self, transaction: Transaction) -> None:
        """Close a transaction's connection, which rolls it back.

        Only a commit that was sent may have had its effect before.
        """
        outcome: Outcome = rolled_back()
        if transaction.committing:
            outcome = _primary_changed()
        self.end(transaction, outcome, healthy=False)

    def end(
        self, transaction: Transaction, outcome: Outcome, *, healthy: bool
    ) -> None:
        """Forget a transaction and give its connection back."""
        self._stop_idle(transaction)
        if self.table.end(transaction, outcome):
            self.pools.release(transaction.leased, healthy=healthy)

    def next_handle(self, transaction: Transaction) -> str:
        """Make a transaction ready for its next step."""
        self.table.free(transaction)
        self.pools.release_slot(transaction.leased)
        self._wait_idle(transaction)
        return self._handle(transaction)

    def _handle(self, transaction: Transaction) -> str:
        return self._codec.encode_transaction(self.table.handle(transaction))

    def _wait_idle(self, transaction: Transaction) -> None:
        # An open transaction holds a connection and its target's write lock.
        # If its caller is gone nobody ends it, and all other writes of the
        # group wait.
        transaction.idle = self.reactor.call_later(
            self._idle_seconds, lambda: self.drop(transaction)
        )

    def _stop_idle(self, transaction: Transaction) -> None:
        if transaction.idle is not None:
            transaction.idle.cancel()
            transaction.idle = None


class _Step(Flight):
    """One step on its way."""

    def __init__(
        self,
        *,
        runner: TransactionRunner,
        stmt: Statement,
        transaction: Transaction,
        done: OnOutcome,
    ) -> None:
        self._runner = runner
        self._stmt = stmt
        self._transaction = transaction
        self._done = done
        self._over = False
        self._holding = False
        self.term = transaction.term

    def send(self) -> None:
        """Send the step to the transaction's target."""
        stmt = self._stmt
        if stmt.step is StepKind.COMMIT:
            self._runner.flights.add(stmt.group, self)

        def ready(leased: LeasedConnection | NotRun | Overloaded) -> None:
            if isinstance(leased, LeasedConnection):
                self._send(leased)
            else:
                self._end(rolled_back(), healthy=False)
                self._finish(leased)

        self._runner.pools.reacquire_slot(
            self._transaction.leased, stmt.deadline, stmt.caller, ready
        )

    def _send(self, leased: LeasedConnection) -> None:
        stmt = self._stmt
        self.sent_on = leased
        self._runner.exchange.send(
            stmt,
            leased,
            term=self._transaction.term,
            min_index=0,
            timeout=stmt.deadline - self._runner.reactor.now(),
            on_answer=self._answered,
        )

    def term_ended(self) -> None:
        """End a commit whose answer can't be passed on any more."""
        if self._holding:
            self._finish(_primary_changed())
        else:
            self._runner.reactor.call_later(TERM_GRACE, self._give_up)

    def _give_up(self) -> None:
        if not self._over:
            self._finish(_primary_changed())
            self._runner.drop(self._transaction)

    def _answered(self, answer: TargetAnswer | HttpLost) -> None:
        self.sent_on = None
        if isinstance(answer, HttpLost):
            self._lost(answer)
        elif answer.outcome != "ok":
            self._not_ok(answer)
        elif self._stmt.step is StepKind.STATEMENT:
            handle = self._runner.next_handle(self._transaction)
            self._finish(done_from(answer, transaction=handle))
        elif self._stmt.step is StepKind.ROLLBACK:
            self._end(rolled_back(), healthy=True)
            self._finish(done_from(answer))
        else:
            self._committed(answer)

    def _lost(self, lost: HttpLost) -> None:
        outcome: Outcome = rolled_back()
        if self._stmt.step is StepKind.COMMIT and lost.sent:
            outcome = Unknown(
                reason=Reason.ANSWER_LOST, retry_after_ms=RETRY_SOON_MS
            )
        self._end(outcome, healthy=False)
        self._finish(outcome)

    def _not_ok(self, answer: TargetAnswer) -> None:
        """End the transaction: any answer but a good one is its end.

        After a failure the target has rolled it back itself. After a
        refusal it may still be open there, so its connection is closed.
        """
        failed = answer.outcome == "failed"
        outcome = failed_from(answer) if failed else refusal_from(answer)
        self._end(outcome, healthy=failed)
        self._finish(outcome)

    def _committed(self, answer: TargetAnswer) -> None:
        self._holding = True
        self._end(no_majority(), healthy=True)
        result = done_from(answer)
        self._runner.watcher.wait_for_majority(
            self._stmt.group,
            Position(term=answer.term, index=answer.index),
            self._stmt.deadline,
            lambda held: self._finish(result if held else no_majority()),
        )

    def _end(self, outcome: Outcome, *, healthy: bool) -> None:
        self._runner.end(self._transaction, outcome, healthy=healthy)

    def _finish(self, outcome: Outcome) -> None:
        if self._over:
            return
        self._over = True
        if self._stmt.step is StepKind.COMMIT:
            self._runner.flights.remove(self._stmt.group, self)
            self._runner.table.settle(self._transaction, outcome)
        self._done(outcome)


def rolled_back() -> NotRun:
    """Say that nothing of a transaction has any effect."""
    return NotRun(
        reason=Reason.TRANSACTION_LOST,
        retry_after_ms=RETRY_SOON_MS,
        message="the transaction was rolled back",
    )


def _primary_changed() -> Unknown:
    return Unknown(reason=Reason.PRIMARY_CHANGED, retry_after_ms=RETRY_SOON_MS)


def no_majority() -> Unknown:
    """Say that a commit is at its primary and not known to be safe."""
    return Unknown(reason=Reason.NO_MAJORITY, retry_after_ms=RETRY_SOON_MS)
