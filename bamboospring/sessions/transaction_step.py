"""Run a later statement of a transaction on the transaction's connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.pool import LeasedConnection
from bamboospring.sessions.held_transaction_rules import lost_step_outcome
from bamboospring.sessions.link_setup import setup_orders
from bamboospring.sessions.model import ObservedTarget
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.replies import order_for_job
from bamboospring.sessions.replies import record_reply
from bamboospring.sessions.replies import refusal_outcome
from bamboospring.sessions.replies import served_outcome
from bamboospring.sessions.response_watch import ResponseWatch
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import OnOutcome
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import SessionTransaction
from bamboospring.sessions.statement_trace import StatementTrace
from bamboospring.statements import Position

if TYPE_CHECKING:
    from bamboospring.sessions.runner import StatementRunner

__all__ = ["TransactionStep"]

# Seconds before a statement of a transaction that found no slot at the target
# is sent again. Without the retry, all work of the transaction is lost.
BUSY_RETRY_DELAY = 0.012


class TransactionStep:
    """A later statement of a transaction, or its commit.

    It runs only on the transaction's own connection.
    """

    def __init__(
        self,
        *,
        runner: StatementRunner,
        session: Session,
        job: Job,
        tx: SessionTransaction,
        on_complete: OnOutcome,
    ) -> None:
        assert tx.leased is not None
        self._runner = runner
        self._session = session
        self._job = job
        self._tx = tx
        self._on_complete = on_complete
        self._leased: LeasedConnection[SessionLink] = tx.leased
        self._is_commit = job.text is None and job.shape is None
        self._trace = StatementTrace(
            session=session, job=job, transaction=True
        )
        self._sent_at = 0.0

    def start(self) -> None:
        """Reacquire the slot of the connection."""
        self._runner.pools.reacquire_slot(
            self._leased,
            self._deadline(),
            self._session.queue_key,
            self._on_leased,
            objective_at=self._objective_at(),
        )

    def interrupt(self) -> None:
        """Finish with what is known now, as the process exits."""
        outcome = lost_step_outcome(
            is_commit=self._is_commit,
            sent=self._sent_at > 0,
            has_written=self._tx.has_written,
            reason=Reason.DRAINING,
        )
        self._finish(outcome, None)

    def _objective_at(self) -> float | None:
        if not self._runner.board.load_control:
            return None
        return self._job.received_at + self._job.route.objective

    def _deadline(self) -> float:
        return self._job.received_at + self._job.route.time_limit

    def _remaining(self) -> float:
        return self._deadline() - self._runner.reactor.now()

    def _on_leased(
        self, leased: LeasedConnection[SessionLink] | NotRun | Overloaded
    ) -> None:
        if not isinstance(leased, LeasedConnection):
            self._roll_back()
            self._finish(leased, None)
            return
        link = leased.conn
        if not link.usable:
            self._on_link_lost(LinkLost())
            return
        orders = setup_orders(
            link, self._session.values, self._job.shape, None
        )
        if self._is_commit or not orders:
            self._send()
            return
        watch = self._watch_response(is_read=False)

        def on_result(result: list[TargetReply] | LinkLost) -> None:
            watch.stop()
            self._on_prepared(result)

        link.send(orders, max(0.0, self._remaining()), on_result)

    def _watch_response(self, *, is_read: bool) -> ResponseWatch:
        """Release the slot if the response is overdue, nothing more."""
        return self._runner.watcher.watch(
            self._leased,
            self._observed_target(),
            self._deadline(),
            is_read=is_read,
            in_transaction=True,
        )

    def _observed_target(self) -> ObservedTarget:
        group = self._runner.board.group(self._job.route.group)
        return group.observed_target(self._leased.target.name)

    def _on_prepared(self, result: list[TargetReply] | LinkLost) -> None:
        if isinstance(result, LinkLost):
            self._on_link_lost(result)
            return
        refused = [reply for reply in result if reply.refusal is not None]
        if refused:
            self._roll_back()
            self._finish(NotRun(reason=Reason.TRANSACTION_LOST), None)
            return
        self._send()

    def _send(self) -> None:
        runner, target = self._runner, self._leased.target.name
        observed = self._observed_target()
        observed.in_flight += 1
        self._sent_at = runner.reactor.now()
        self._trace.record_attempt(target, after=None, proof_age=None)
        if self._job.writes:
            # Set before the answer is known: if the answer is lost, the
            # statement may have written.
            self._tx.has_written = True

        watch = self._watch_response(
            is_read=not (self._job.writes or self._is_commit)
        )

        def on_result(result: list[TargetReply] | LinkLost) -> None:
            watch.record_result(result)
            observed.in_flight -= 1
            if isinstance(result, LinkLost):
                observed.record_failure()
                self._on_link_lost(result)
            else:
                self._on_reply(result[0])

        self._leased.conn.send(
            [order_for_job(self._job, None)],
            max(0.0, self._remaining()),
            on_result,
        )

    def _on_link_lost(self, lost: LinkLost) -> None:
        """Finish with what is known after the connection is lost.

        The target rolls back any transaction open on the connection, so the
        outcome is unknown only for a commit that was sent.
        """
        sent = self._sent_at > 0
        self._roll_back()
        if self._is_commit and sent and self._tx.has_written:
            reason = (
                Reason.DEADLINE if lost.unresponsive else Reason.ANSWER_LOST
            )
            self._finish(Unknown(reason=reason), None)
            return
        self._finish(NotRun(reason=Reason.TRANSACTION_LOST), None)

    def _on_reply(self, reply: TargetReply) -> None:
        runner, tx = self._runner, self._tx
        now = runner.reactor.now()
        target = self._leased.target.name
        group = runner.board.group(tx.route.group)
        record_reply(group, target, reply, self._sent_at, now)
        if self._can_resend(reply):
            runner.reactor.call_later(BUSY_RETRY_DELAY, self._resend)
            return
        if reply.refusal is not None:
            if reply.refusal is Refusal.NOT_PRIMARY:
                runner.request_record_read(group.name)
            if self._is_commit or reply.state is SessionState.IDLE:
                self._roll_back()
            self._finish(refusal_outcome(reply), reply.position)
            return
        outcome: SessionOutcome = served_outcome(reply, target, tx.at_replica)
        if self._is_commit:
            self._roll_back()
            if tx.has_written and not group.is_answer_valid(target, now):
                # If another primary was promoted before this commit took
                # effect at the old one, the commit is lost.
                outcome = Unknown(reason=Reason.PRIMARY_CHANGED)
        else:
            runner.pools.release_slot(self._leased)
        self._finish(outcome, reply.position)

    def _can_resend(self, reply: TargetReply) -> bool:
        """Return whether to resend the statement to a target without a slot.

        The transaction is still open, and the statement has certainly not run.
        """
        return (
            reply.refusal is Refusal.BUSY
            and reply.state is SessionState.OPEN
            and self._remaining() > BUSY_RETRY_DELAY
            and not self._session.disconnected
        )

    def _resend(self) -> None:
        if self._session.disconnected or not self._leased.conn.usable:
            self._on_link_lost(LinkLost())
            return
        self._send()

    def _roll_back(self) -> None:
        self._runner.roll_back(self._tx)

    def _finish(
        self, outcome: SessionOutcome, position: Position | None
    ) -> None:
        if not self._runner.on_step_finished(self._session):
            return
        self._runner.statement_logger.log_outcome(self._trace, outcome)
        self._on_complete(outcome, position)
