"""Whether a caller may open a session now: yes, in a moment, or no."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.sessions.access import access_refusal
from bamboospring.sessions.access import identify
from bamboospring.sessions.model import SessionBoard

__all__ = ["OpeningCheck", "OpeningPending", "judge_opening"]

# A process that has just started knows what it needs within 0.2 s. Callers
# that come before are held so long, in seconds, rather than sent away to find
# the others starting as well; they wait 2 s for this answer.
MAX_WAIT = 1.0
# Seconds between two looks at a held opening; little against the 0.2 s.
RECHECK_DELAY = 0.01
RETRY_MS = 500
# Seconds after the start of a process in which a group without a record or
# targets may only be one that is not known yet.
STARTUP_DURATION = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OpeningPending:
    """The session can't be opened yet; ask again after `recheck` seconds."""

    recheck: float = RECHECK_DELAY


# Gets the database, the digest of the caller's key, and for how many seconds
# the opening has been held.
OpeningCheck = Callable[
    [str, str, float], NotRun | Overloaded | OpeningPending | None
]


def judge_opening(
    board: SessionBoard,
    database: str,
    credential: str,
    *,
    now: float,
    running: float,
    held: float,
) -> NotRun | Overloaded | OpeningPending | None:
    """Return why a session can't be opened now, or None.

    `credential` is the digest of the caller's key, `running` is for how many
    seconds this process has been up, `held` for how many the caller has
    waited.
    """
    if board.catalog is None:
        return _wait_or_refuse(held)
    route = board.route(database)
    if route is None:
        return NotRun(reason=Reason.UNKNOWN_GROUP, message=database)
    identity = identify(board.catalog, credential)
    match access_refusal(board, route, identity, now):
        case Overloaded() as refusal:
            can_wait = running <= STARTUP_DURATION and held < MAX_WAIT
            return OpeningPending() if can_wait else refusal
        case NotRun() as refusal:
            return refusal
    group = board.group(route.group)
    if running > STARTUP_DURATION:
        return None
    if group.record is None or not group.targets:
        return _wait_or_refuse(held)
    return None


def _wait_or_refuse(held: float) -> OpeningPending | Overloaded:
    if held < MAX_WAIT:
        return OpeningPending()
    return Overloaded(reason=Reason.STARTING, retry_after_ms=RETRY_MS)
