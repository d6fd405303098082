"""Run a statement at one target over a connection of this VM."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.pool import LeasedConnection
from bamboospring.pool import PendingAcquire
from bamboospring.sessions.link_setup import link_fit
from bamboospring.sessions.link_setup import setup_orders
from bamboospring.sessions.overdue import should_abandon
from bamboospring.sessions.ports import BeginWork
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.refusals import busy_retry_delay
from bamboospring.sessions.refusals import can_retry
from bamboospring.sessions.refusals import is_free_retry
from bamboospring.sessions.refusals import record_refusal
from bamboospring.sessions.replies import CHANGE_RETRY_MS
from bamboospring.sessions.replies import order_for_job
from bamboospring.sessions.replies import record_reply
from bamboospring.sessions.replies import refusal_outcome
from bamboospring.sessions.replies import served_outcome
from bamboospring.sessions.response_watch import ResponseWatch
from bamboospring.sessions.target_choice import SendTo

if TYPE_CHECKING:
    from bamboospring.sessions.statement_execution import StatementExecution

__all__ = ["DirectAttempt"]


@dataclass(slots=True, kw_only=True, eq=False)
class DirectAttempt:
    """One attempt to run a statement at a target over an own connection."""

    execution: StatementExecution
    choice: SendTo
    sent: bool = False
    sent_at: float = 0.0
    leased: LeasedConnection[SessionLink] | None = None
    pending_acquire: PendingAcquire | None = None
    watch: ResponseWatch | None = None
    is_abandoned: bool = False

    @property
    def target(self) -> str:
        """Return the name of the target."""
        return self.choice.news.target.name

    def start(self) -> None:
        """Acquire a connection."""
        execution = self.execution
        job, values = execution.job, execution.session.values
        transaction_writes = (
            execution.tx is not None and not execution.tx.read_only
        )
        self.pending_acquire = execution.runner.pools.acquire(
            self.choice.news.target,
            execution.deadline,
            execution.session.queue_key,
            self._on_leased,
            is_write=job.writes or transaction_writes,
            team=execution.session.identity.team,
            urgency=job.route.urgency,
            objective_at=execution.objective_at,
            score=lambda link: link_fit(link, values, job.shape),
        )

    def cancel(self) -> None:
        """Leave the queue for a connection, if the attempt is still in it.

        A read that was sent is abandoned if its response is overdue.
        """
        if self.pending_acquire is not None and self.leased is None:
            self.pending_acquire.cancel()
        self.abandon_if_overdue()

    def abandon_if_overdue(self) -> None:
        """Close the connection of an overdue read that is not needed."""
        if self.watch is not None:
            self.watch.on_unneeded()

    def _on_leased(
        self, leased: LeasedConnection[SessionLink] | NotRun | Overloaded
    ) -> None:
        execution = self.execution
        if not isinstance(leased, LeasedConnection):
            if execution.is_refusal_final(leased):
                execution.on_queue_full(self, leased)
                return
            is_full = leased.reason is Reason.TARGET_CONNECTIONS
            execution.on_failed(
                self,
                leased,
                retryable=True,
                is_free=True,
                is_counted=not is_full,
            )
            return
        self.leased = leased
        if execution.is_finished:
            execution.runner.release_connection(leased)
            return
        begin = None
        if execution.tx is not None:
            begin = BeginWork(
                read_only=execution.tx.read_only, after=self.choice.after
            )
        orders = setup_orders(
            leased.conn, execution.session.values, execution.job.shape, begin
        )
        if not orders:
            self._send()
            return
        # The statement is sent only after these replies: if the transaction
        # could not be opened, a statement sent with them would run outside of
        # it.
        self.watch = self._watch_response(
            self._on_preparation_overdue, is_read=False
        )
        leased.conn.send(
            orders, max(0.0, execution.remaining()), self._on_prepared
        )

    def _watch_response(
        self, on_overdue: Callable[[], None], *, is_read: bool
    ) -> ResponseWatch:
        assert self.leased is not None
        execution = self.execution
        return execution.runner.watcher.watch(
            self.leased,
            execution.group.observed_target(self.target),
            execution.deadline,
            is_read=is_read,
            in_transaction=execution.tx is not None,
            on_overdue=on_overdue,
        )

    def _on_prepared(self, result: list[TargetReply] | LinkLost) -> None:
        if self.is_abandoned:
            return
        assert self.leased is not None and self.watch is not None
        execution = self.execution
        self.watch.stop()
        self.watch = None
        if isinstance(result, LinkLost):
            self._discard_link()
            refusal = NotRun(reason=Reason.TARGET_UNREACHABLE)
            execution.on_failed(self, refusal, retryable=True)
            return
        refused = [reply for reply in result if reply.refusal is not None]
        if refused:
            self._on_refusal(refused[0])
        elif execution.is_finished:
            execution.runner.release_connection(self.leased)
        else:
            self._send()

    def _send(self) -> None:
        assert self.leased is not None
        execution = self.execution
        runner, job = execution.runner, execution.job
        observed = execution.group.observed_target(self.target)
        now = runner.reactor.now()
        is_first, self.sent_at = not self.sent_at, now
        if self._needs_proof() and not execution.group.proof.covers(now):
            # The proof expired while the statement waited for a connection.
            execution.runner.release_connection(self.leased)
            refusal = NotRun(
                reason=Reason.PRIMARY_CHANGED, retry_after_ms=CHANGE_RETRY_MS
            )
            execution.on_failed(self, refusal, retryable=True, is_free=True)
            return
        self.sent = True
        observed.in_flight += 1
        after = self.choice.after if execution.tx is None else None
        if is_first:
            execution.trace.record_attempt(
                self.target,
                after=self.choice.after,
                proof_age=now - execution.group.proof.asked_at,
            )
        if execution.tx is not None:
            execution.tx.has_written = execution.tx.has_written or job.writes

        self.watch = watch = self._watch_response(
            self._on_overdue,
            is_read=not (job.writes or execution.is_commit),
        )

        def on_result(result: list[TargetReply] | LinkLost) -> None:
            observed.in_flight -= 1
            if self.is_abandoned:
                return
            watch.record_result(result)
            if isinstance(result, LinkLost):
                observed.record_failure()
                self._on_link_lost(result)
            else:
                self._on_reply(result[0])

        self.leased.conn.send(
            [order_for_job(job, after)],
            max(0.0, execution.remaining()),
            on_result,
        )
        execution.schedule_hedge(observed)

    def _needs_proof(self) -> bool:
        """Return whether the statement must run at the current primary."""
        return self.choice.after is None and not self.choice.at_replica

    def _on_link_lost(self, lost: LinkLost) -> None:
        execution = self.execution
        self._discard_link()
        reason = Reason.DEADLINE if lost.unresponsive else Reason.ANSWER_LOST
        if execution.tx is not None:
            # The target rolls back the transaction with its connection. A
            # commit without a statement before it has nothing to commit.
            execution.tx.has_written = False
            refusal = NotRun(reason=Reason.TRANSACTION_LOST)
            execution.on_failed(self, refusal, retryable=not lost.unresponsive)
            return
        execution.on_failed(
            self, Unknown(reason=reason), retryable=not execution.job.writes
        )

    def _on_overdue(self) -> None:
        """Abandon a read whose response is overdue, and try it again."""
        execution = self.execution
        observed = execution.group.observed_target(self.target)
        if not should_abandon(
            is_read=not execution.job.writes,
            in_transaction=execution.tx is not None,
            is_needed=execution.is_needed,
            was_abandoned=execution.was_abandoned,
            remaining=execution.remaining(),
            usual=observed.responses.usual,
        ):
            return
        observed.record_failure()
        self._abandon()
        execution.on_response_lost(self, Unknown(reason=Reason.ANSWER_LOST))

    def _on_preparation_overdue(self) -> None:
        """Give up a connection that does not answer the setup orders.

        The statement has not been sent, so any kind of it may be tried again.
        """
        execution = self.execution
        if execution.was_abandoned and execution.is_needed:
            return
        self._abandon()
        execution.on_response_lost(
            self, NotRun(reason=Reason.TARGET_UNREACHABLE)
        )

    def _abandon(self) -> None:
        assert self.watch is not None
        self.is_abandoned = True
        self.watch.record_abandoned()
        self._discard_link()

    def _discard_link(self) -> None:
        assert self.leased is not None
        self.execution.runner.pools.release(self.leased, healthy=False)

    def _on_reply(self, reply: TargetReply) -> None:
        assert self.leased is not None
        execution = self.execution
        now = execution.runner.reactor.now()
        record_reply(execution.group, self.target, reply, self.sent_at, now)
        if reply.refusal is not None:
            self._on_refusal(reply)
            return
        if execution.is_finished:
            execution.runner.release_connection(self.leased)
            return
        self._release_slot_or_connection()
        outcome: SessionOutcome = served_outcome(
            reply, self.target, self.choice.at_replica
        )
        if execution.job.writes and execution.tx is None:
            if not execution.group.is_answer_valid(self.target, now):
                outcome = Unknown(reason=Reason.PRIMARY_CHANGED)
        execution.on_served(self, outcome, reply.position)

    def _release_slot_or_connection(self) -> None:
        assert self.leased is not None
        execution = self.execution
        if execution.tx is None or execution.is_commit:
            execution.runner.release_connection(self.leased)
            return
        execution.tx.leased = self.leased
        execution.tx.at_replica = self.choice.at_replica
        execution.runner.pools.release_slot(self.leased)

    def _wait_for_slot(self) -> bool:
        """Send a statement again for which the target had no slot.

        As at a holder, see `busy_retry_delay`. Return whether it is sent: only
        under load control, and not if it opens a transaction, whose setup
        would have to be repeated as well.
        """
        execution = self.execution
        delay = busy_retry_delay(execution.job.route.urgency)
        if (
            execution.objective_at is None
            or execution.tx is not None
            or not self.sent
            or not execution.is_needed
            or self.leased is None
            or self.leased.is_overdue
            or execution.remaining() <= 2 * delay
        ):
            return False
        self.sent = False
        execution.runner.reactor.call_later(delay, self._resend)
        return True

    def _resend(self) -> None:
        assert self.leased is not None
        if self.execution.is_finished:
            self.execution.runner.release_connection(self.leased)
        elif not self.execution.is_needed:
            self.execution.runner.release_connection(self.leased)
            refusal = NotRun(reason=Reason.CALLER_GONE)
            self.execution.on_failed(self, refusal, retryable=False)
        elif not self.leased.conn.usable:
            self._discard_link()
            refusal = NotRun(reason=Reason.TARGET_UNREACHABLE)
            self.execution.on_failed(
                self, refusal, retryable=True, is_free=True
            )
        else:
            self._send()

    def _on_refusal(self, reply: TargetReply) -> None:
        """Handle a refusal of the statement or of a setup order before it."""
        assert self.leased is not None and reply.refusal is not None
        execution = self.execution
        refusal = reply.refusal
        if refusal is Refusal.BUSY and self._wait_for_slot():
            return
        now = execution.runner.reactor.now()
        record_refusal(
            execution.group,
            self.target,
            refusal,
            now,
            needed=self.choice.after,
        )
        if refusal is Refusal.NOT_PRIMARY:
            execution.runner.request_record_read(execution.group.name)
        elif refusal is Refusal.UNKNOWN_SHAPE:
            self.leased.conn.shapes.clear()
        execution.runner.release_connection(self.leased)
        retryable = can_retry(refusal, writes=execution.job.writes)
        if execution.tx is not None and retryable:
            execution.tx.has_written = False
        execution.on_failed(
            self,
            refusal_outcome(reply),
            retryable=retryable,
            is_free=is_free_retry(refusal, is_urgent=execution.is_urgent),
        )
