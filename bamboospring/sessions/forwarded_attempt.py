"""One attempt to run a single statement through the target's holder.

A read changes nothing, so an answer that is lost on the way costs no more
than another try. A write is sent once; without an answer nobody knows whether
it ran. What a read must see was decided before it is sent: the position that
the log must have, or the proof that the target was the primary after the read
had come. Both hold however long it waits at the holder.
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
from bamboospring.sessions.forward_messages import decode_result
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

# A holder gets so many seconds less than there are, for its word that the time
# is up: without it nobody could say that the statement has not run.
ANSWER_RESERVE = 0.02

_numbers = itertools.count(1)
# The holder has refused for these because of what it lacks itself: the target
# on its list, a way there, a proof. This VM may well have it.
HOLDER_FAULTS = frozenset(
    {Reason.NOT_HOLDER, Reason.TARGET_UNREACHABLE, Reason.PRIMARY_CHANGED}
)


@dataclass(slots=True, kw_only=True, eq=False)
class ForwardedAttempt:
    """One try of a single statement, at the VM that holds its target."""

    run: StatementExecution
    choice: SendTo
    holder: ZoneVm
    sent: bool = False
    sent_at: float = 0.0
    number: int = 0
    over: bool = False

    @property
    def target(self) -> str:
        """Return the name of the target."""
        return self.choice.news.target.name

    def start(self) -> None:
        """Send the statement to the holder."""
        run = self.run
        runner = run.runner
        view = run.group.observed_target(self.target)
        now = self.sent_at = runner.reactor.now()
        self.sent = True
        self.number = next(_numbers)
        view.in_flight += 1
        run.story.sent(
            self.target,
            after=self.choice.after,
            proof_age=now - run.group.proof.asked_at,
            through=self.holder.name,
        )
        message = new_envelope()
        ask = message.init("heldAsk")
        ask.vm = runner.board.vm
        ask.number = self.number
        ask.head = encode_statement(self._statement())
        runner.peers.ask(
            self.holder.address, message, max(0.0, run.left()), self._answered
        )
        run.start_hedge(view)

    def withdraw(self) -> None:
        """Tell the holder that nobody waits for the answer."""
        if self.over:
            return
        message = new_envelope()
        cancel = message.init("heldCancel")
        cancel.vm = self.run.runner.board.vm
        cancel.number = self.number
        self.run.runner.peers.send(self.holder.address, message)

    def _statement(self) -> ForwardRequest:
        run = self.run
        job, target = run.job, self.choice.news.target
        return ForwardRequest(
            id=job.id,
            caller=run.session.queue_key,
            team=run.session.identity.team,
            group=run.group.name,
            target=target.name,
            address=target.address,
            born=target.born,
            values=run.session.values,
            remaining=max(0.0, run.left() - ANSWER_RESERVE),
            slot_timeout=run.patience_left(),
            urgency=job.route.urgency,
            writes=job.writes,
            text=job.text,
            shape=job.shape,
            arguments=job.arguments,
            after=self.choice.after,
        )

    def _answered(self, answer: Any) -> None:
        self.over = True
        run = self.run
        view = run.group.observed_target(self.target)
        view.in_flight -= 1
        if isinstance(answer, PeerLost):
            self._holder_lost(answer)
            return
        result = decode_result(answer.heldAnswer.head)
        match result:
            case NotRun() | Overloaded():
                self._not_run(result)
            case LinkLost(unresponsive=silent):
                view.record_failure()
                reason = Reason.DEADLINE if silent else Reason.ANSWER_LOST
                again = not silent and not run.job.writes
                run.failed(self, Unknown(reason=reason), again=again)
            case TargetReply():
                self._replied(result)

    def _holder_lost(self, lost: PeerLost) -> None:
        run = self.run
        self._pass_over("")
        refusal: NotRun | Unknown = NotRun(reason=Reason.HOLDER_LOST)
        if lost.sent:
            refusal = Unknown(reason=Reason.HOLDER_LOST)
        # Unlike a target's silence this says nothing of the target: it may be
        # tried once more, by another way. A write that was sent may have run.
        run.failed(
            self,
            refusal,
            again=not lost.sent or not run.job.writes,
            free=not lost.sent,
            target_tried=False,
        )

    def _not_run(self, refusal: NotRun | Overloaded) -> None:
        run = self.run
        if refusal.reason in HOLDER_FAULTS:
            self._pass_over(self.target)
        full = refusal.reason is Reason.TARGET_CONNECTIONS
        run.failed(
            self,
            refusal,
            again=True,
            free=True,
            counted=not full,
            target_tried=refusal.reason not in HOLDER_FAULTS,
        )

    def _pass_over(self, target: str) -> None:
        self.run.runner.pass_over(self.holder.name, target)
        logs.log_event(
            "holder_passed_over",
            holder=self.holder.name,
            target=self.target,
            trace=self.run.job.id,
        )

    def _replied(self, reply: TargetReply) -> None:
        run = self.run
        now = run.runner.reactor.now()
        record_reply(run.group, self.target, reply, self.sent_at, now)
        if reply.refusal is None:
            outcome: SessionOutcome = served_outcome(
                reply, self.target, self.choice.at_replica
            )
            if run.job.writes and not run.group.is_answer_valid(
                self.target, now
            ):
                outcome = Unknown(reason=Reason.PRIMARY_CHANGED)
            run.served(self, outcome, reply.position)
            return
        refusal = reply.refusal
        record_refusal(
            run.group, self.target, refusal, now, needed=self.choice.after
        )
        if refusal is Refusal.NOT_PRIMARY:
            run.runner.doubt(run.group.name)
        run.failed(
            self,
            refusal_outcome(reply),
            again=can_retry(refusal, writes=run.job.writes),
            free=is_free_retry(refusal, urgent=run.urgent),
        )
