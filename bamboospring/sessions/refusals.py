"""What follows from a target's refusal of a statement.

Pure decisions, but that `note_refusal` notes what it shows of the target.
"""

from __future__ import annotations

from bamboospring.sessions.freshness import SampleLog
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import Refusal
from bamboospring.statements import Position

__all__ = ["catch_up_delay", "is_free_retry", "can_retry", "record_refusal"]

# Seconds for which a replica that lacked a position is not asked for more than
# it has shown: about what replicas usually lag, and the longest time in which
# one that catches up all at once may go unused.
MIN_CATCH_UP_DELAY = 0.1
MAX_CATCH_UP_DELAY = 1.0


def catch_up_delay(
    samples: SampleLog, shown: Position, needed: Position | None
) -> float:
    """Return how long a replica surely lacks what it was asked for.

    A replica follows the primary at its own distance, so it has the position
    that it lacked as long after the one that it has shown as the primary had.
    Asked sooner it refuses again, and each read that waits for its refusal
    comes later to the target that can serve it.
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
    """Note what a refusal of a statement that needed a position shows."""
    observed = group.observed_target(target)
    if refusal is Refusal.BEHIND:
        delay = catch_up_delay(group.samples, observed.applied, needed)
        observed.behind_until = now + delay
    elif not refusal.guarantees_not_run:
        observed.record_failure()


def can_retry(refusal: Refusal, *, writes: bool) -> bool:
    """Tell whether the statement may be sent once more."""
    if refusal.guarantees_not_run:
        return True
    return not writes and refusal is not Refusal.OTHER


def is_free_retry(refusal: Refusal, *, is_urgent: bool) -> bool:
    """Tell whether a further try needs no leave of the retry budget.

    These refusals cost a target next to nothing. What goes before all else is
    also offered again to one that is busy.
    """
    if refusal is Refusal.BUSY:
        return is_urgent
    return refusal in (Refusal.BEHIND, Refusal.UNKNOWN_SHAPE)
