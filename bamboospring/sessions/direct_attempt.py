"""One attempt to run a statement at one target."""

from __future__ import annotations

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
from bamboospring.sessions.ports import BeginWork
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.refusals import can_retry
from bamboospring.sessions.refusals import is_free_retry
from bamboospring.sessions.refusals import record_refusal
from bamboospring.sessions.replies import CHANGE_RETRY_MS
from bamboospring.sessions.replies import order_for_job
from bamboospring.sessions.replies import record_reply
from bamboospring.sessions.replies import refusal_outcome
from bamboospring.sessions.replies import served_outcome
from bamboospring.sessions.target_choice import SendTo

if TYPE_CHECKING:
    from bamboospring.sessions.statement_execution import StatementExecution

__all__ = ["DirectAttempt"]


@dataclass(slots=True, kw_only=True, eq=False)
class DirectAttempt:
    """One try of a run at one target."""

    run: StatementExecution
    choice: SendTo
    sent: bool = False
    sent_at: float = 0.0
    leased: LeasedConnection[SessionLink] | None = None
    asked: PendingAcquire | None = None

    @property
    def target(self) -> str:
        """Return the name of the target."""
        return self.choice.news.target.name

    def start(self) -> None:
        """Ask for a connection."""
        run = self.run
        job, values = run.job, run.session.values
        tx_writes = run.tx is not None and not run.tx.read_only
        self.asked = run.runner.pools.acquire(
            self.choice.news.target,
            run.deadline,
            run.session.queue_key,
            self._ready,
            is_write=job.writes or tx_writes,
            team=run.session.identity.team,
            urgency=job.route.urgency,
            score=lambda link: link_fit(link, values, job.shape),
        )

    def withdraw(self) -> None:
        """Leave the queue, if that is where the try still is."""
        if self.asked is not None and self.leased is None:
            self.asked.cancel()

    def _ready(
        self, leased: LeasedConnection[SessionLink] | NotRun | Overloaded
    ) -> None:
        run = self.run
        if not isinstance(leased, LeasedConnection):
            full = leased.reason is Reason.TARGET_CONNECTIONS
            run.failed(self, leased, again=True, free=True, counted=not full)
            return
        self.leased = leased
        if run.over:
            run.runner.give_back(leased)
            return
        begin = None
        if run.tx is not None:
            begin = BeginWork(
                read_only=run.tx.read_only, after=self.choice.after
            )
        orders = setup_orders(
            leased.conn, run.session.values, run.job.shape, begin
        )
        if not orders:
            self._send()
            return
        # The statement waits for the answers: if a transaction could not be
        # opened, what was sent behind it would run outside of one.
        leased.conn.send(orders, max(0.0, run.left()), self._prepared)

    def _prepared(self, result: list[TargetReply] | LinkLost) -> None:
        assert self.leased is not None
        run = self.run
        if isinstance(result, LinkLost):
            self._link_lost()
            refusal = NotRun(reason=Reason.TARGET_UNREACHABLE)
            run.failed(self, refusal, again=True)
            return
        refused = [reply for reply in result if reply.refusal is not None]
        if refused:
            self._refused(refused[0])
        elif run.over:
            run.runner.give_back(self.leased)
        else:
            self._send()

    def _send(self) -> None:
        assert self.leased is not None
        run = self.run
        runner, job = run.runner, run.job
        view = run.group.observed_target(self.target)
        now = self.sent_at = runner.reactor.now()
        if self._needs_proof() and not run.group.proof.covers(now):
            # Waited for a connection for longer than the proof held.
            run.runner.give_back(self.leased)
            refusal = NotRun(
                reason=Reason.PRIMARY_CHANGED, retry_after_ms=CHANGE_RETRY_MS
            )
            run.failed(self, refusal, again=True, free=True)
            return
        self.sent = True
        view.in_flight += 1
        after = self.choice.after if run.tx is None else None
        run.story.sent(
            self.target,
            after=self.choice.after,
            proof_age=now - run.group.proof.asked_at,
        )
        if run.tx is not None:
            run.tx.has_written = run.tx.has_written or job.writes

        def answered(result: list[TargetReply] | LinkLost) -> None:
            view.in_flight -= 1
            if isinstance(result, LinkLost):
                view.record_failure()
                self._lost(result)
            else:
                self._answered(result[0])

        self.leased.conn.send(
            [order_for_job(job, after)], max(0.0, run.left()), answered
        )
        run.start_hedge(view)

    def _needs_proof(self) -> bool:
        """Tell whether this must run at the primary of this moment."""
        return self.choice.after is None and not self.choice.at_replica

    def _lost(self, lost: LinkLost) -> None:
        run = self.run
        self._link_lost()
        reason = Reason.DEADLINE if lost.unresponsive else Reason.ANSWER_LOST
        if run.tx is not None:
            # Rolled back with its connection; a commit that is the first
            # statement has nothing to commit.
            run.tx.has_written = False
            refusal = NotRun(reason=Reason.TRANSACTION_LOST)
            run.failed(self, refusal, again=not lost.unresponsive)
            return
        run.failed(self, Unknown(reason=reason), again=not run.job.writes)

    def _link_lost(self) -> None:
        assert self.leased is not None
        self.run.runner.pools.release(self.leased, healthy=False)

    def _answered(self, reply: TargetReply) -> None:
        assert self.leased is not None
        run = self.run
        now = run.runner.reactor.now()
        record_reply(run.group, self.target, reply, self.sent_at, now)
        if reply.refusal is not None:
            self._refused(reply)
            return
        if run.over:
            run.runner.give_back(self.leased)
            return
        self._keep_or_release()
        outcome: SessionOutcome = served_outcome(
            reply, self.target, self.choice.at_replica
        )
        if run.job.writes and run.tx is None:
            if not run.group.is_answer_valid(self.target, now):
                outcome = Unknown(reason=Reason.PRIMARY_CHANGED)
        run.served(self, outcome, reply.position)

    def _keep_or_release(self) -> None:
        assert self.leased is not None
        run = self.run
        if run.tx is None or run.commits:
            run.runner.give_back(self.leased)
            return
        run.tx.leased = self.leased
        run.tx.at_replica = self.choice.at_replica
        run.runner.pools.release_slot(self.leased)

    def _refused(self, reply: TargetReply) -> None:
        """Judge a refusal of the statement, or of what came before it."""
        assert self.leased is not None and reply.refusal is not None
        run = self.run
        refusal = reply.refusal
        now = run.runner.reactor.now()
        record_refusal(
            run.group, self.target, refusal, now, needed=self.choice.after
        )
        if refusal is Refusal.NOT_PRIMARY:
            run.runner.doubt(run.group.name)
        elif refusal is Refusal.UNKNOWN_SHAPE:
            self.leased.conn.shapes.clear()
        run.runner.give_back(self.leased)
        again = can_retry(refusal, writes=run.job.writes)
        if run.tx is not None and again:
            run.tx.has_written = False
        run.failed(
            self,
            refusal_outcome(reply),
            again=again,
            free=is_free_retry(refusal, urgent=run.urgent),
        )
