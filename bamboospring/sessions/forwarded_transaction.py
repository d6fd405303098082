"""Run a transaction through the VM that holds its target.

The first statement opens it there, and all further ones go to the same VM.
Only the commit commits, so a transaction whose holder is lost has not run
unless the commit was sent.
"""

from __future__ import annotations

from dataclasses import dataclass
import itertools
import secrets
from typing import Any
from typing import TYPE_CHECKING

from bamboospring import logs
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import HELD_TRANSACTIONS_PROTOCOL
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.reactor import Timer
from bamboospring.sessions.forward_messages import decode_result
from bamboospring.sessions.forward_messages import encode_step
from bamboospring.sessions.forward_messages import ForwardResult
from bamboospring.sessions.forward_messages import HeldOpening
from bamboospring.sessions.forward_messages import HeldStep
from bamboospring.sessions.forwarded_attempt import ANSWER_RESERVE
from bamboospring.sessions.forwarded_attempt import HOLDER_REASONS
from bamboospring.sessions.held_transaction_rules import lost_step_outcome
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.refusals import can_retry
from bamboospring.sessions.refusals import is_free_retry
from bamboospring.sessions.refusals import record_refusal
from bamboospring.sessions.replies import record_reply
from bamboospring.sessions.replies import refusal_outcome
from bamboospring.sessions.replies import served_outcome
from bamboospring.sessions.session import HeldTransaction
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import OnOutcome
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import SessionTransaction
from bamboospring.sessions.statement_trace import StatementTrace
from bamboospring.sessions.target_choice import SendTo
from bamboospring.sessions.zone_holders import ZoneVm
from bamboospring.statements import Position

if TYPE_CHECKING:
    from bamboospring.sessions.runner import StatementRunner
    from bamboospring.sessions.statement_execution import StatementExecution

__all__ = [
    "ForwardedOpening",
    "ForwardedStep",
    "can_hold_transactions",
    "end_held_transaction",
]

# A restarted VM must not use the numbers of transactions that it has opened
# before, as they may still be open at holders.
_numbers = itertools.count(secrets.randbits(62))


def can_hold_transactions(peers: Peers, holder: ZoneVm) -> bool:
    """Return whether a holder understands the steps of transactions."""
    return peers.protocol_of(holder.address) >= HELD_TRANSACTIONS_PROTOCOL


def end_held_transaction(
    peers: Peers, vm: str, holder: ZoneVm, number: int
) -> None:
    """Tell a holder to roll a transaction back."""
    message = new_envelope()
    end = message.init("heldTxEnd")
    end.vm = vm
    end.number = number
    peers.send(holder.address, message)


def _encode_ask(vm: str, number: int, step: int, content: HeldStep) -> Any:
    message = new_envelope()
    ask = message.init("heldTxAsk")
    ask.vm = vm
    ask.number = number
    ask.step = step
    ask.head = encode_step(content)
    return message


def _decode_answer(answer: Any) -> ForwardResult | PeerLost:
    """Return the result of a step; any other message counts as none."""
    if isinstance(answer, PeerLost):
        return answer
    if answer.which() != "heldTxAnswer":
        return PeerLost(sent=True)
    return decode_result(answer.heldTxAnswer.head)


@dataclass(slots=True, kw_only=True, eq=False)
class ForwardedOpening:
    """An attempt to open a transaction with its first statement at a holder.

    Nothing of it remains if it fails, so another attempt may follow.
    """

    execution: StatementExecution
    tx: SessionTransaction
    choice: SendTo
    holder: ZoneVm
    sent: bool = False
    sent_at: float = 0.0
    number: int = 0
    is_answered: bool = False
    retry_timer: Timer | None = None

    @property
    def target(self) -> str:
        """Return the name of the target."""
        return self.choice.news.target.name

    def start(self) -> None:
        """Send the first statement to the holder."""
        execution = self.execution
        runner = execution.runner
        now = self.sent_at = runner.reactor.now()
        self.sent = True
        self.number = next(_numbers)
        self.tx.has_written = execution.job.writes
        execution.group.observed_target(self.target).in_flight += 1
        execution.trace.record_attempt(
            self.target,
            after=self.choice.after,
            proof_age=now - execution.group.proof.asked_at,
            through=self.holder.name,
        )
        runner.peers.ask(
            self.holder.address,
            _encode_ask(runner.board.vm, self.number, 0, self._first_step()),
            max(0.0, execution.remaining()),
            self._on_answer,
        )
        runner.probes.watch(self.holder.address)

    def cancel(self) -> None:
        """Have the holder discard the transaction."""
        if not self.is_answered:
            self._end_at_holder()
        elif self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
            self._fail(NotRun(reason=Reason.CALLER_GONE), retryable=False)

    def _first_step(self) -> HeldStep:
        execution = self.execution
        job, target = execution.job, self.choice.news.target
        opening = HeldOpening(
            caller=execution.session.queue_key,
            team=execution.session.identity.team,
            group=execution.group.name,
            target=target.name,
            address=target.address,
            born=target.born,
            slot_timeout=execution.slot_wait_remaining(),
            urgency=job.route.urgency,
            read_only=self.tx.read_only,
            after=self.choice.after,
        )
        return _step_of(job, execution.session, execution.remaining(), opening)

    def _on_answer(self, answer: Any) -> None:
        self.is_answered = True
        observed = self.execution.group.observed_target(self.target)
        observed.in_flight -= 1
        match _decode_answer(answer):
            case PeerLost(sent=sent):
                self._on_holder_lost(sent=sent)
            case NotRun() | Overloaded() as refusal:
                self._on_not_run(refusal)
            case LinkLost(unresponsive=unresponsive):
                observed.record_failure()
                self._fail(
                    NotRun(reason=Reason.TRANSACTION_LOST),
                    retryable=not unresponsive,
                )
            case TargetReply() as reply:
                self._on_reply(reply)

    def _on_holder_lost(self, *, sent: bool) -> None:
        self._end_at_holder()
        self._skip_holder("")
        reason = Reason.TRANSACTION_LOST if sent else Reason.HOLDER_LOST
        self._fail(
            NotRun(reason=reason),
            retryable=True,
            is_free=not sent,
            exclude_target=False,
        )

    def _on_not_run(self, refusal: NotRun | Overloaded) -> None:
        if refusal.reason in HOLDER_REASONS:
            self._skip_holder(self.target)
            self._fail(
                refusal, retryable=True, is_free=True, exclude_target=False
            )
            return
        execution = self.execution
        delay = refusal.retry_after_ms / 1000
        if self.choice.at_replica:
            self._fail(refusal, retryable=True, is_free=True)
            return
        if refusal.reason is Reason.TARGET_CONNECTIONS:
            # The target may have connections left that holders don't use.
            execution.avoid_holders(refusal)
            self._fail(
                refusal, retryable=True, is_free=True, exclude_target=False
            )
            return
        if delay > 0:
            # Only this target can run it, and the holder has said when it can.
            if delay >= execution.slot_wait_remaining():
                self._fail(refusal, retryable=False)
                return
            self.retry_timer = execution.runner.reactor.call_later(
                delay, lambda: self._retry(refusal)
            )
            return
        self._fail(refusal, retryable=True, is_free=True)

    def _retry(self, refusal: NotRun | Overloaded) -> None:
        self.retry_timer = None
        self._fail(refusal, retryable=True, is_free=True, exclude_target=False)

    def _on_reply(self, reply: TargetReply) -> None:
        execution = self.execution
        now = execution.runner.reactor.now()
        record_reply(execution.group, self.target, reply, self.sent_at, now)
        if reply.refusal is not None:
            self._on_refusal(reply, reply.refusal, now)
            return
        if execution.is_finished:
            self._end_at_holder()
            return
        self.tx.at_replica = self.choice.at_replica
        if not execution.is_commit:
            self.tx.held = HeldTransaction(
                holder=self.holder, target=self.target, number=self.number
            )
        execution.on_served(
            self,
            served_outcome(reply, self.target, self.choice.at_replica),
            reply.position,
        )

    def _on_refusal(
        self, reply: TargetReply, refusal: Refusal, now: float
    ) -> None:
        execution = self.execution
        record_refusal(
            execution.group,
            self.target,
            refusal,
            now,
            needed=self.choice.after,
        )
        if refusal is Refusal.NOT_PRIMARY:
            execution.runner.request_record_read(execution.group.name)
        self._fail(
            refusal_outcome(reply),
            retryable=can_retry(refusal, writes=execution.job.writes),
            is_free=is_free_retry(refusal, is_urgent=execution.is_urgent),
        )

    def _fail(
        self,
        outcome: SessionOutcome,
        *,
        retryable: bool,
        is_free: bool = False,
        exclude_target: bool = True,
    ) -> None:
        self.tx.has_written = False
        self.execution.on_failed(
            self,
            outcome,
            retryable=retryable,
            is_free=is_free,
            exclude_target=exclude_target,
        )

    def _end_at_holder(self) -> None:
        runner = self.execution.runner
        end_held_transaction(
            runner.peers, runner.board.vm, self.holder, self.number
        )

    def _skip_holder(self, target: str) -> None:
        self.execution.runner.skip_holder(self.holder.name, target)
        logs.log_event(
            "holder_passed_over",
            holder=self.holder.name,
            target=self.target,
            trace=self.execution.job.id,
        )


class ForwardedStep:
    """A later statement of a transaction at a holder, or its commit."""

    def __init__(
        self,
        *,
        runner: StatementRunner,
        session: Session,
        job: Job,
        tx: SessionTransaction,
        on_complete: OnOutcome,
    ) -> None:
        assert tx.held is not None
        self._runner = runner
        self._session = session
        self._job = job
        self._tx = tx
        self._held: HeldTransaction = tx.held
        self._on_complete = on_complete
        self._is_commit = job.text is None and job.shape is None
        self._trace = StatementTrace(
            session=session, job=job, transaction=True
        )
        self._sent_at = 0.0

    def start(self) -> None:
        """Send the statement to the holder."""
        runner, held, job = self._runner, self._held, self._job
        now = self._sent_at = runner.reactor.now()
        remaining = job.received_at + job.route.time_limit - now
        # A closed link has ended the transaction, so no new one is awaited.
        is_connected = (
            runner.peers.unresponsive_for(held.holder.address) is not None
        )
        if not is_connected or remaining <= 0:
            self._on_holder_lost(sent=False, is_connected=is_connected)
            return
        step, held.next_step = held.next_step, held.next_step + 1
        if job.writes:
            # Set before the answer is known: if the answer is lost, the
            # statement may have written.
            self._tx.has_written = True
        self._group().observed_target(held.target).in_flight += 1
        self._trace.record_attempt(
            held.target,
            after=None,
            proof_age=None,
            through=held.holder.name,
        )
        content = _step_of(job, self._session, remaining, None)
        runner.peers.ask(
            held.holder.address,
            _encode_ask(runner.board.vm, held.number, step, content),
            remaining,
            self._on_answer,
        )

    def interrupt(self) -> None:
        """Finish with what is known now, as the process exits."""
        self._finish(self._lost(Reason.DRAINING, sent=True), None)

    def _on_answer(self, answer: Any) -> None:
        observed = self._group().observed_target(self._held.target)
        observed.in_flight -= 1
        match _decode_answer(answer):
            case PeerLost(sent=sent):
                self._on_holder_lost(sent=sent, is_connected=False)
            case NotRun() | Overloaded() as refusal:
                self._tx.held = None
                self._finish(refusal, None)
            case LinkLost(unresponsive=unresponsive):
                observed.record_failure()
                self._tx.held = None
                reason = (
                    Reason.DEADLINE if unresponsive else Reason.ANSWER_LOST
                )
                self._finish(self._lost(reason, sent=True), None)
            case TargetReply() as reply:
                self._on_reply(reply)

    def _on_holder_lost(self, *, sent: bool, is_connected: bool) -> None:
        """Finish without an answer; the holder rolls back what it has."""
        self._runner.roll_back(self._tx)
        if not is_connected:
            self._runner.skip_holder(self._held.holder.name, "")
        self._finish(self._lost(Reason.HOLDER_LOST, sent=sent), None)

    def _lost(self, reason: Reason, *, sent: bool) -> NotRun | Unknown:
        return lost_step_outcome(
            is_commit=self._is_commit,
            sent=sent,
            has_written=self._tx.has_written,
            reason=reason,
        )

    def _on_reply(self, reply: TargetReply) -> None:
        tx, target, group = self._tx, self._held.target, self._group()
        now = self._runner.reactor.now()
        record_reply(group, target, reply, self._sent_at, now)
        if reply.refusal is not None:
            # The holder has rolled back.
            tx.held = None
            if reply.refusal is Refusal.NOT_PRIMARY:
                self._runner.request_record_read(group.name)
            self._finish(refusal_outcome(reply), reply.position)
            return
        outcome: SessionOutcome = served_outcome(reply, target, tx.at_replica)
        if self._is_commit:
            tx.held = None
            if tx.has_written and not group.is_answer_valid(target, now):
                # If another primary was promoted before this commit took
                # effect at the old one, the commit is lost.
                outcome = Unknown(reason=Reason.PRIMARY_CHANGED)
        self._finish(outcome, reply.position)

    def _group(self) -> SessionGroup:
        return self._runner.board.group(self._tx.route.group)

    def _finish(
        self, outcome: SessionOutcome, position: Position | None
    ) -> None:
        if not self._runner.on_step_finished(self._session):
            return
        self._runner.statement_logger.log_outcome(self._trace, outcome)
        self._on_complete(outcome, position)


def _step_of(
    job: Job, session: Session, remaining: float, opening: HeldOpening | None
) -> HeldStep:
    return HeldStep(
        id=job.id,
        values=session.values,
        remaining=max(0.0, remaining - ANSWER_RESERVE),
        writes=job.writes,
        text=job.text,
        shape=job.shape,
        arguments=job.arguments,
        opening=opening,
    )
