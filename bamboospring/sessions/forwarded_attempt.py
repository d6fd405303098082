"""Run a single statement through the VM that holds its target.

A read changes nothing, so a lost answer costs only another attempt. A write is
sent once; without an answer its outcome is unknown. What a read must see is
decided before it is sent: either the position that the target's log must have
reached, or the proof that the target was the primary after the read arrived.
Both remain valid however long the read waits at the holder.
"""

from __future__ import annotations

from dataclasses import dataclass
import itertools
from typing import Any
from typing import TYPE_CHECKING

from bamboospring import logs
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.sessions.backpressure import CAPACITY_REASONS
from bamboospring.sessions.forward_messages import decode_result
from bamboospring.sessions.forward_messages import encode_objective
from bamboospring.sessions.forward_messages import encode_statement
from bamboospring.sessions.forward_messages import ForwardRequest
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
from bamboospring.sessions.target_choice import SendTo
from bamboospring.sessions.zone_holders import ZoneVm

if TYPE_CHECKING:
    from bamboospring.sessions.statement_execution import StatementExecution

__all__ = ["ForwardedAttempt"]

# Seconds by which the holder's time limit is shorter than the remaining time,
# so that its report of a timeout arrives. Without that report, the proxy could
# not tell whether the statement has run.
ANSWER_RESERVE = 0.02
# Seconds of a statement's objective that are left for the messages to and from
# the holder. 5 Mbit/s links carry both in less than this when they are busy.
OBJECTIVE_RESERVE = 0.01

_numbers = itertools.count(1)
# Reasons for which a holder refuses because it lacks something itself: the
# target in its list, a connection to it, or a proof. This VM may have it.
HOLDER_REASONS = frozenset(
    {Reason.NOT_HOLDER, Reason.TARGET_UNREACHABLE, Reason.PRIMARY_CHANGED}
)


@dataclass(slots=True, kw_only=True, eq=False)
class ForwardedAttempt:
    """One attempt to run a single statement through the target's holder."""

    execution: StatementExecution
    choice: SendTo
    holder: ZoneVm
    sent: bool = False
    sent_at: float = 0.0
    number: int = 0
    is_answered: bool = False

    @property
    def target(self) -> str:
        """Return the name of the target."""
        return self.choice.news.target.name

    def start(self) -> None:
        """Send the statement to the holder."""
        execution = self.execution
        runner = execution.runner
        observed = execution.group.observed_target(self.target)
        now = self.sent_at = runner.reactor.now()
        self.sent = True
        self.number = next(_numbers)
        observed.in_flight += 1
        execution.trace.record_attempt(
            self.target,
            after=self.choice.after,
            proof_age=now - execution.group.proof.asked_at,
            through=self.holder.name,
        )
        message = new_envelope()
        ask = message.init("heldAsk")
        ask.vm = runner.board.vm
        ask.number = self.number
        request = self._request()
        ask.head = encode_statement(request)
        ask.objectiveUs = encode_objective(request.objective)
        runner.peers.ask(
            self.holder.address,
            message,
            max(0.0, execution.remaining()),
            self._on_answer,
        )
        if runner.board.load_control:
            runner.probes.watch(self.holder.address)
        execution.schedule_hedge(observed)

    def cancel(self) -> None:
        """Cancel the statement at the holder."""
        if self.is_answered:
            return
        message = new_envelope()
        cancel = message.init("heldCancel")
        cancel.vm = self.execution.runner.board.vm
        cancel.number = self.number
        self.execution.runner.peers.send(self.holder.address, message)

    def _request(self) -> ForwardRequest:
        execution = self.execution
        job, target = execution.job, self.choice.news.target
        return ForwardRequest(
            id=job.id,
            caller=execution.session.queue_key,
            team=execution.session.identity.team,
            group=execution.group.name,
            target=target.name,
            address=target.address,
            born=target.born,
            values=execution.session.values,
            remaining=max(0.0, execution.remaining() - ANSWER_RESERVE),
            slot_timeout=execution.slot_wait_remaining(),
            urgency=job.route.urgency,
            writes=job.writes,
            text=job.text,
            shape=job.shape,
            arguments=job.arguments,
            after=self.choice.after,
            abandonable=not execution.was_abandoned,
            objective=self._objective(),
        )

    def _objective(self) -> float | None:
        """Return the time left to the objective, None without load control."""
        objective_at = self.execution.objective_at
        if objective_at is None:
            return None
        return objective_at - OBJECTIVE_RESERVE - self.sent_at

    def _on_answer(self, answer: Any) -> None:
        self.is_answered = True
        execution = self.execution
        observed = execution.group.observed_target(self.target)
        observed.in_flight -= 1
        if isinstance(answer, PeerLost):
            self._on_holder_lost(answer)
            return
        result = decode_result(answer.heldAnswer.head)
        match result:
            case NotRun() | Overloaded():
                self._on_not_run(result)
            case LinkLost(unresponsive=unresponsive):
                observed.record_failure()
                reason = (
                    Reason.DEADLINE if unresponsive else Reason.ANSWER_LOST
                )
                outcome = Unknown(reason=reason)
                retryable = not unresponsive and not execution.job.writes
                if retryable and execution.runner.board.load_control:
                    execution.on_response_lost(self, outcome)
                    return
                execution.on_failed(self, outcome, retryable=retryable)
            case TargetReply():
                self._on_reply(result)

    def _on_holder_lost(self, lost: PeerLost) -> None:
        execution = self.execution
        self._skip_holder("")
        refusal: NotRun | Unknown = NotRun(reason=Reason.HOLDER_LOST)
        if lost.sent:
            refusal = Unknown(reason=Reason.HOLDER_LOST)
        # A lost holder says nothing about the target, unlike a target that
        # does not answer, so the target may be tried again by another way. A
        # write that was sent may have run.
        execution.on_failed(
            self,
            refusal,
            retryable=not lost.sent or not execution.job.writes,
            is_free=not lost.sent,
            exclude_target=False,
        )

    def _on_not_run(self, refusal: NotRun | Overloaded) -> None:
        execution = self.execution
        if (
            execution.runner.board.load_control
            and refusal.reason in CAPACITY_REASONS
        ):
            execution.on_holder_full(self, refusal)
            return
        if refusal.reason in HOLDER_REASONS:
            self._skip_holder(self.target)
        is_full = refusal.reason is Reason.TARGET_CONNECTIONS
        execution.on_failed(
            self,
            refusal,
            retryable=True,
            is_free=True,
            is_counted=not is_full,
            exclude_target=refusal.reason not in HOLDER_REASONS,
        )

    def _skip_holder(self, target: str) -> None:
        self.execution.runner.skip_holder(self.holder.name, target)
        logs.log_event(
            "holder_passed_over",
            holder=self.holder.name,
            target=self.target,
            trace=self.execution.job.id,
        )

    def _on_reply(self, reply: TargetReply) -> None:
        execution = self.execution
        now = execution.runner.reactor.now()
        record_reply(execution.group, self.target, reply, self.sent_at, now)
        if reply.refusal is None:
            outcome: SessionOutcome = served_outcome(
                reply, self.target, self.choice.at_replica
            )
            if execution.job.writes and not execution.group.is_answer_valid(
                self.target, now
            ):
                outcome = Unknown(reason=Reason.PRIMARY_CHANGED)
            execution.on_served(self, outcome, reply.position)
            return
        refusal = reply.refusal
        record_refusal(
            execution.group,
            self.target,
            refusal,
            now,
            needed=self.choice.after,
        )
        if refusal is Refusal.BUSY and execution.runner.board.load_control:
            # From an older VM; others report `Reason.TARGET_SLOTS`.
            outcome = refusal_outcome(reply)
            assert isinstance(outcome, Overloaded)
            execution.on_holder_full(self, outcome)
            return
        if refusal is Refusal.NOT_PRIMARY:
            execution.runner.request_record_read(execution.group.name)
        execution.on_failed(
            self,
            refusal_outcome(reply),
            retryable=can_retry(refusal, writes=execution.job.writes),
            is_free=is_free_retry(refusal, is_urgent=execution.is_urgent),
        )
