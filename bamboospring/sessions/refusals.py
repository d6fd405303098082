"""What follows from a target's refusal of a statement.

Pure decisions, but that `note_refusal` notes what it shows of the target.
"""

from __future__ import annotations

from bamboospring.sessions.model import TargetView
from bamboospring.sessions.ports import Refusal

__all__ = ["costs_nothing", "may_try_again", "note_refusal"]

# A replica that lacked a position is not asked for more than it has shown for
# this many seconds: about what replicas usually lag.
BEHIND_PAUSE = 0.1


def note_refusal(view: TargetView, refusal: Refusal, now: float) -> None:
    """Note what a refusal shows of a target."""
    if refusal is Refusal.BEHIND:
        view.behind_until = now + BEHIND_PAUSE
    elif not refusal.promises_nothing_ran:
        view.failed()


def may_try_again(refusal: Refusal, *, writes: bool) -> bool:
    """Tell whether the statement may be sent once more."""
    if refusal.promises_nothing_ran:
        return True
    return not writes and refusal is not Refusal.OTHER


def costs_nothing(refusal: Refusal, *, urgent: bool) -> bool:
    """Tell whether a further try needs no leave of the retry budget.

    These refusals cost a target next to nothing. What goes before all else is
    also offered again to one that is busy.
    """
    if refusal is Refusal.BUSY:
        return urgent
    return refusal in (Refusal.BEHIND, Refusal.UNKNOWN_SHAPE)
