"""How long a statement waits for a change of primary, and who is refused.

The load that it answers: a group without a primary for a second or two, and
callers with a second each who come again as soon as they are refused.
"""

from __future__ import annotations

from bamboospring.sessions.replies import CHANGE_RETRY_MS

__all__ = ["RUN_TIME_RESERVE", "CHANGE_OVERRUN", "change_wait"]

# After its expected end a change may take so much longer, in seconds, and a
# statement that waits for the end needs so much time to run.
CHANGE_OVERRUN = 0.3
RUN_TIME_RESERVE = 0.1


def change_wait(
    expected: float, *, now: float, deadline: float, usual: float
) -> tuple[float, float]:
    """Return until when to wait for a change, and when to come back.

    Example: a change that should end in 0.9 s; a statement that has 1 s left
    waits for it, one that has 0.8 s is refused at once, to come back in 0.9.
    """
    if now > expected + CHANGE_OVERRUN:
        # Overdue: nothing can be foreseen any more.
        return usual, CHANGE_RETRY_MS / 1000
    if expected + RUN_TIME_RESERVE < deadline:
        return min(deadline, expected + CHANGE_OVERRUN), 0.0
    return now, expected - now
