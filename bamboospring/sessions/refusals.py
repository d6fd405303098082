"""Decide how to proceed after a target has refused a statement.

The decisions are pure; only `record_refusal` updates the board.
"""

from __future__ import annotations

from bamboospring.sessions.freshness import SampleLog
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import Refusal
from bamboospring.statements import Position

__all__ = [
    "busy_retry_delay",
    "can_retry",
    "catch_up_delay",
    "is_free_retry",
    "record_refusal",
]

# Bounds, in seconds, on how long a replica that lacked a position is not asked
# for more than it has shown. The minimum is about the usual lag of replicas;
# the maximum is the longest time for which a replica that catches up all at
# once may go unused.
MIN_CATCH_UP_DELAY = 0.1
MAX_CATCH_UP_DELAY = 1.0
# Seconds before a statement that found no slot at its target is sent there
# again; shorter than a typical statement runs.
BUSY_RETRY_DELAY = 0.003


def catch_up_delay(
    samples: SampleLog, shown: Position, needed: Position | None
) -> float:
    """Return how long a replica certainly lacks a position it was asked for.

    A replica follows the primary with a roughly constant lag. So it has the
    missing position as long after the position it has shown as the primary
    did. If it is asked sooner, it refuses again, and each read that waits for
    the refusal reaches a target that can serve it later.
    """
    gap = None
    if needed is not None:
        gap = samples.time_between(shown, needed)
    if gap is None:
        gap = MAX_CATCH_UP_DELAY if needed is not None else 0.0
    return min(MAX_CATCH_UP_DELAY, max(MIN_CATCH_UP_DELAY, gap))


def record_refusal(
    group: SessionGroup,
    target: str,
    refusal: Refusal,
    now: float,
    *,
    needed: Position | None,
) -> None:
    """Record what a refusal shows about the target.

    `needed` is the position that the statement required, if any.
    """
    observed = group.observed_target(target)
    if refusal is Refusal.BEHIND:
        delay = catch_up_delay(group.samples, observed.applied, needed)
        observed.behind_until = now + delay
    elif not refusal.guarantees_not_run:
        observed.record_failure()


def busy_retry_delay(urgency: int) -> float:
    """Return after how many seconds to ask a busy target again.

    Load: several VMs with queues of their own wait for the slots of one
    target. Who asks most often gets most of the slots that become free, so
    statements of lower precedence ask less often.
    """
    return BUSY_RETRY_DELAY * (1 + max(0, urgency))


def can_retry(refusal: Refusal, *, writes: bool) -> bool:
    """Return whether the statement may be sent again."""
    if refusal.guarantees_not_run:
        return True
    return not writes and refusal is not Refusal.OTHER


def is_free_retry(refusal: Refusal, *, is_urgent: bool) -> bool:
    """Return whether another attempt does not count against the retry budget.

    These refusals cost a target almost nothing. Urgent statements are also
    sent again to a busy target.
    """
    if refusal is Refusal.BUSY:
        return is_urgent
    return refusal in (Refusal.BEHIND, Refusal.UNKNOWN_SHAPE)
