"""What a target's replies mean to a caller and to what is known.

Pure translation, but that `learn_from` notes what a reply shows.
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
    "record_reply",
    "order_for_job",
    "refusal_outcome",
    "served_outcome",
    "is_certainly_not_run",
]

# What callers are told to wait, in milliseconds: a busy target has worked its
# queue off by then, a change of primary takes one to three seconds.
BUSY_RETRY_MS = 100
CHANGE_RETRY_MS = 1000


def order_for_job(job: Job, after: Position | None) -> TargetOrder:
    """Return the order that runs a job; one without any text commits."""
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
    """Return a target's answer as its caller gets it."""
    return Served(
        rows=reply.rows,
        signature=reply.signature,
        target=target,
        at_replica=at_replica,
    )


def refusal_outcome(reply: TargetReply) -> SessionOutcome:
    """Return what a target's refusal means to the caller."""
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
    """Take from a reply what it shows of its target and of the group."""
    group.observed_target(target).record_answer(now - sent_at, now)
    if reply.position is not None:
        group.record_position(target, reply.position, sent_at, now)


def is_certainly_not_run(outcome: SessionOutcome) -> bool:
    """Tell whether no target has run anything of what came to this end.

    Statements of a transaction that was lost may have run before they were
    rolled back.
    """
    match outcome:
        case NotRun(reason=reason) | Overloaded(reason=reason):
            return reason is not Reason.TRANSACTION_LOST
    return False
