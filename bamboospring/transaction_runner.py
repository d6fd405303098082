"""Run the later steps of transactions on their pinned connections."""

from __future__ import annotations

from collections.abc import Callable

from bamboospring.exchange import done_from
from bamboospring.exchange import Exchange
from bamboospring.exchange import failed_from
from bamboospring.exchange import refusal_from
from bamboospring.exchange import RETRY_SOON_MS
from bamboospring.http_client import HttpFailure
from bamboospring.in_flight import InFlightWrite
from bamboospring.in_flight import InFlightWrites
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
from bamboospring.transactions import ReturnOutcome
from bamboospring.transactions import RollBackTransaction
from bamboospring.transactions import SendStep
from bamboospring.transactions import Transaction
from bamboospring.transactions import TransactionTable
from bamboospring.writes import TERM_GRACE

__all__ = ["TransactionRunner"]

OnOutcome = Callable[[Outcome], None]


class TransactionRunner:
    """Track a holder's open transactions and run their steps."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        vm: str,
        pools: Pools,
        exchange: Exchange,
        watcher: TargetWatcher,
        in_flight: InFlightWrites,
        codec: TokenCodec,
        make_number: Callable[[], int],
        idle_timeout: float,
    ) -> None:
        self.reactor = reactor
        self.pools = pools
        self.exchange = exchange
        self.watcher = watcher
        self.in_flight = in_flight
        self.table = TransactionTable(vm=vm)
        self._idle_timeout = idle_timeout
        self._codec = codec
        self._make_number = make_number

    def on_begun(
        self, stmt: Statement, leased: LeasedConnection, answer: TargetAnswer
    ) -> Done:
        """Pin a transaction that has begun to its connection."""
        transaction = Transaction(
            number=self._make_number(),
            group=stmt.group,
            caller=stmt.caller,
            term=answer.term,
            leased=leased,
        )
        self.table.add(transaction)
        self.pools.release_slot(leased)
        self._start_idle_timer(transaction)
        return done_from(answer, transaction=self._encode_handle(transaction))

    def run(self, stmt: Statement, on_complete: OnOutcome) -> None:
        """Run a step of an open transaction and call back once."""
        handle = self._codec.decode_transaction(stmt.transaction)
        if isinstance(handle, InvalidToken):
            on_complete(
                NotRun(reason=Reason.NO_TRANSACTION, message=handle.message)
            )
            return
        decision = self.table.decide_step(handle, stmt)
        match decision:
            case SendStep(transaction=transaction):
                self._stop_idle_timer(transaction)
                step = _StepExecution(
                    runner=self,
                    stmt=stmt,
                    transaction=transaction,
                    on_complete=on_complete,
                )
                step.send()
            case RollBackTransaction():
                self.roll_back(decision.transaction)
                on_complete(decision.outcome)
            case ReturnOutcome():
                on_complete(decision.outcome)

    def roll_back_older_terms(self, group: str, term: int) -> None:
        """Roll back the transactions of older terms, which can't commit.

        A step in flight ends with its connection. A commit in flight may
        still get a definite answer; `InFlightWrites` notifies it.
        """
        for transaction in self.table.in_group(group):
            if transaction.term < term and not transaction.committing:
                self.roll_back(transaction)

    def roll_back(self, transaction: Transaction) -> None:
        """Close a transaction's connection, which rolls it back.

        Only a commit that was already sent may have taken effect.
        """
        outcome: Outcome = rolled_back_outcome()
        if transaction.committing:
            outcome = _primary_changed_outcome()
        self.end(transaction, outcome, healthy=False)

    def end(
        self, transaction: Transaction, outcome: Outcome, *, healthy: bool
    ) -> None:
        """Remove a transaction and release its connection."""
        self._stop_idle_timer(transaction)
        if self.table.end(transaction, outcome):
            self.pools.release(transaction.leased, healthy=healthy)

    def prepare_next_step(self, transaction: Transaction) -> str:
        """Prepare a transaction for its next step and return the handle."""
        self.table.mark_step_answered(transaction)
        self.pools.release_slot(transaction.leased)
        self._start_idle_timer(transaction)
        return self._encode_handle(transaction)

    def _encode_handle(self, transaction: Transaction) -> str:
        return self._codec.encode_transaction(
            self.table.next_handle(transaction)
        )

    def _start_idle_timer(self, transaction: Transaction) -> None:
        # An open transaction holds a connection and the write lock of its
        # target. If its caller has gone, nothing else ends the transaction,
        # and all other writes of the group wait.
        transaction.idle_timer = self.reactor.call_later(
            self._idle_timeout, lambda: self.roll_back(transaction)
        )

    def _stop_idle_timer(self, transaction: Transaction) -> None:
        if transaction.idle_timer is not None:
            transaction.idle_timer.cancel()
            transaction.idle_timer = None


class _StepExecution(InFlightWrite):
    """The execution of one step."""

    def __init__(
        self,
        *,
        runner: TransactionRunner,
        stmt: Statement,
        transaction: Transaction,
        on_complete: OnOutcome,
    ) -> None:
        self._runner = runner
        self._stmt = stmt
        self._transaction = transaction
        self._on_complete = on_complete
        self._is_over = False
        self._awaits_majority = False
        self.term = transaction.term

    def send(self) -> None:
        """Send the step to the transaction's target."""
        stmt = self._stmt
        if stmt.step is StepKind.COMMIT:
            self._runner.in_flight.add(stmt.group, self)

        def on_ready(leased: LeasedConnection | NotRun | Overloaded) -> None:
            if isinstance(leased, LeasedConnection):
                self._send(leased)
            else:
                self._end(rolled_back_outcome(), healthy=False)
                self._finish(leased)

        self._runner.pools.reacquire_slot(
            self._transaction.leased, stmt.deadline, stmt.caller, on_ready
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
            on_answer=self._on_answer,
        )

    def on_term_ended(self) -> None:
        """Finish a commit whose answer can no longer be passed on."""
        if self._awaits_majority:
            self._finish(_primary_changed_outcome())
        else:
            self._runner.reactor.call_later(TERM_GRACE, self._give_up)

    def _give_up(self) -> None:
        if not self._is_over:
            self._finish(_primary_changed_outcome())
            self._runner.roll_back(self._transaction)

    def _on_answer(self, answer: TargetAnswer | HttpFailure) -> None:
        self.sent_on = None
        if isinstance(answer, HttpFailure):
            self._on_lost(answer)
        elif answer.outcome != "ok":
            self._on_failure(answer)
        elif self._stmt.step is StepKind.STATEMENT:
            handle = self._runner.prepare_next_step(self._transaction)
            self._finish(done_from(answer, transaction=handle))
        elif self._stmt.step is StepKind.ROLLBACK:
            self._end(rolled_back_outcome(), healthy=True)
            self._finish(done_from(answer))
        else:
            self._on_committed(answer)

    def _on_lost(self, lost: HttpFailure) -> None:
        outcome: Outcome = rolled_back_outcome()
        if self._stmt.step is StepKind.COMMIT and lost.sent:
            outcome = Unknown(
                reason=Reason.ANSWER_LOST, retry_after_ms=RETRY_SOON_MS
            )
        self._end(outcome, healthy=False)
        self._finish(outcome)

    def _on_failure(self, answer: TargetAnswer) -> None:
        """End the transaction, because the step did not succeed.

        After a failure the target has rolled it back. After a refusal it may
        still be open at the target, so its connection is closed.
        """
        failed = answer.outcome == "failed"
        outcome = failed_from(answer) if failed else refusal_from(answer)
        self._end(outcome, healthy=failed)
        self._finish(outcome)

    def _on_committed(self, answer: TargetAnswer) -> None:
        self._awaits_majority = True
        self._end(no_majority_outcome(), healthy=True)
        result = done_from(answer)
        self._runner.watcher.wait_for_majority(
            self._stmt.group,
            Position(term=answer.term, index=answer.index),
            self._stmt.deadline,
            lambda held: self._finish(
                result if held else no_majority_outcome()
            ),
        )

    def _end(self, outcome: Outcome, *, healthy: bool) -> None:
        self._runner.end(self._transaction, outcome, healthy=healthy)

    def _finish(self, outcome: Outcome) -> None:
        if self._is_over:
            return
        self._is_over = True
        if self._stmt.step is StepKind.COMMIT:
            self._runner.in_flight.remove(self._stmt.group, self)
            self._runner.table.record_outcome(self._transaction, outcome)
        self._on_complete(outcome)


def rolled_back_outcome() -> NotRun:
    """Return the outcome of a transaction that was rolled back."""
    return NotRun(
        reason=Reason.TRANSACTION_LOST,
        retry_after_ms=RETRY_SOON_MS,
        message="the transaction was rolled back",
    )


def _primary_changed_outcome() -> Unknown:
    return Unknown(reason=Reason.PRIMARY_CHANGED, retry_after_ms=RETRY_SOON_MS)


def no_majority_outcome() -> Unknown:
    """Return the outcome of a commit that no majority is known to hold."""
    return Unknown(reason=Reason.NO_MAJORITY, retry_after_ms=RETRY_SOON_MS)
