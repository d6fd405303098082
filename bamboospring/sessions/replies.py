"""Translate replies of targets for callers and for the board.

These functions are pure, except that `record_reply` updates the board.
"""

from __future__ import annotations

from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import CommitWork
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import RunShape
from bamboospring.sessions.ports import RunText
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.ports import TargetOrder
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.session import Job
from bamboospring.statements import Position

__all__ = [
    "BUSY_RETRY_MS",
    "CHANGE_RETRY_MS",
    "is_certainly_not_run",
    "order_for_job",
    "record_reply",
    "refusal_outcome",
    "served_outcome",
]

# Retry delays for callers, in milliseconds: a busy target has worked off its
# queue by then, and a change of primary takes one to three seconds.
BUSY_RETRY_MS = 100
CHANGE_RETRY_MS = 1000


def order_for_job(job: Job, after: Position | None) -> TargetOrder:
    """Return the order that runs a job; a job without a text is a commit."""
    if job.text is not None:
        return RunText(id=job.id, text=job.text, after=after)
    if job.shape is not None:
        return RunShape(
            id=job.id, shape=job.shape, arguments=job.arguments, after=after
        )
    return CommitWork(id=job.id)


def served_outcome(
    reply: TargetReply, target: str, at_replica: bool = False
) -> Served:
    """Return a target's reply as the outcome for the caller."""
    return Served(
        rows=reply.rows,
        signature=reply.signature,
        target=target,
        at_replica=at_replica,
    )


def refusal_outcome(reply: TargetReply) -> SessionOutcome:
    """Return a target's refusal as the outcome for the caller."""
    match reply.refusal:
        case Refusal.BUSY:
            return Overloaded(
                reason=Reason.TARGET_SLOTS,
                retry_after_ms=BUSY_RETRY_MS,
                message=reply.message,
            )
        case Refusal.BEHIND:
            return NotRun(reason=Reason.STALE, retry_after_ms=BUSY_RETRY_MS)
        case Refusal.NOT_PRIMARY:
            return NotRun(
                reason=Reason.PRIMARY_CHANGED, retry_after_ms=CHANGE_RETRY_MS
            )
        case Refusal.UNKNOWN_SHAPE | Refusal.NOT_DONE:
            return NotRun(reason=Reason.TRANSACTION_LOST)
        case Refusal.FAILED:
            return Failed(reason=Reason.SQL, message=reply.message)
        case Refusal.TIMED_OUT:
            return Unknown(reason=Reason.DEADLINE, message=reply.message)
        case _:
            return Failed(reason=Reason.BAD_REQUEST, message=reply.message)


def record_reply(
    group: SessionGroup,
    target: str,
    reply: TargetReply,
    sent_at: float,
    now: float,
) -> None:
    """Record what a reply shows about its target and the group."""
    group.observed_target(target).record_answer(now - sent_at, now)
    if reply.position is not None:
        group.record_position(target, reply.position, sent_at, now)


def is_certainly_not_run(outcome: SessionOutcome) -> bool:
    """Return whether no target has run any part of the operation.

    Statements of a lost transaction may have run before they were rolled back.
    """
    match outcome:
        case NotRun(reason=reason) | Overloaded(reason=reason):
            return reason is not Reason.TRANSACTION_LOST
    return False
