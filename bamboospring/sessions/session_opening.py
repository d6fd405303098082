"""Decide whether a caller may open a session now, later or not at all."""

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

# Seconds for which callers that connect while a process starts are kept
# waiting. It usually takes 0.2 s until the process can serve them. If it
# refused them, they would find that other VMs are starting as well. Callers
# wait 2 s for the answer.
MAX_OPENING_WAIT = 1.0
# Seconds between two checks of a waiting caller; short compared to the 0.2 s.
RECHECK_DELAY = 0.01
RETRY_MS = 500
# Seconds after the start of a process during which a group without a record or
# targets may simply not have been read yet.
STARTUP_DURATION = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class OpeningPending:
    """The session can't be opened yet; check again after `recheck` seconds."""

    recheck: float = RECHECK_DELAY


# Called with the database, the digest of the caller's key, and the number of
# seconds that the caller has been waiting.
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
    """Return why a session can't be opened now, or None if it can.

    `credential` is the digest of the caller's key, `running` the number of
    seconds for which this process has been running, `held` the number of
    seconds for which the caller has been waiting.
    """
    if not board.accepts_operations(now):
        return NotRun(reason=Reason.DRAINING)
    if board.catalog is None:
        return _wait_or_refuse(held)
    route = board.route(database)
    if route is None:
        return NotRun(reason=Reason.UNKNOWN_GROUP, message=database)
    identity = identify(board.catalog, credential)
    match access_refusal(board, route, identity, now):
        case Overloaded() as refusal:
            can_wait = running <= STARTUP_DURATION and held < MAX_OPENING_WAIT
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
    if held < MAX_OPENING_WAIT:
        return OpeningPending()
    return Overloaded(reason=Reason.STARTING, retry_after_ms=RETRY_MS)
