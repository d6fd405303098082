"""Decide how long a statement waits for a change of primary.

During a change, a group has no primary for one to two seconds, and callers
with a time limit of one second retry as soon as they are refused.
"""

from __future__ import annotations

from bamboospring.sessions.replies import CHANGE_RETRY_MS

__all__ = ["CHANGE_OVERRUN", "RUN_TIME_RESERVE", "change_wait"]

# Seconds that a change may take beyond its expected end, and seconds that a
# statement needs to run after it.
CHANGE_OVERRUN = 0.3
RUN_TIME_RESERVE = 0.1


def change_wait(
    expected: float, *, now: float, deadline: float, usual: float
) -> tuple[float, float]:
    """Return until when to wait for a change, and the retry delay.

    `expected` is the expected end of the change, `usual` until when the
    statement waits if that end can't be predicted.

    Example: a change is expected to end in 0.9 s. A statement with 1 s
    remaining waits for it; one with 0.8 s remaining is refused at once, with a
    retry delay of 0.9 s.
    """
    if now > expected + CHANGE_OVERRUN:
        # The change is overdue, so its end cannot be predicted.
        return usual, CHANGE_RETRY_MS / 1000
    if expected + RUN_TIME_RESERVE < deadline:
        return min(deadline, expected + CHANGE_OVERRUN), 0.0
    return now, expected - now
