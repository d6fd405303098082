"""Decide whether a group needs another primary, and why.

Pure decisions over what the leader has observed.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.takeover import TakeoverCause

__all__ = ["PrimaryHealth", "initial_record", "replacement_cause"]

# A primary that leaves requests unanswered for this many seconds has failed. A
# busy one answers some requests in that time, and the survey at the start of a
# change finds one that still works.
UNRESPONSIVE_AFTER = 0.7
# If a machine refuses connections, the process is not running. That counts
# only after this many seconds, because a restart takes less than a change.
REFUSED_AFTER = 0.25
# Seconds after which a primary that is missing from the list counts as gone.
# After an outage of the platform entries are back within two seconds.
GONE_AFTER = 2.5


@dataclass(slots=True, kw_only=True)
class PrimaryHealth:
    """What the leader has observed of a primary.

    `oldest_question_at` is when the oldest unanswered question was sent.
    `unanswered_since` is when the first request after its last answer was
    sent, `connections_refused_since` when its machine started to refuse all
    connections; both include the time before this VM became the leader.
    `question_refused_at` is when it first refused a question, `missing_since`
    when its entry was first missing from the list. None means that it has not
    happened.
    """

    oldest_question_at: float | None = None
    unanswered_since: float | None = None
    connections_refused_since: float | None = None
    question_refused_at: float | None = None
    missing_since: float | None = None
    lost_role: bool = False

    def record_response(self) -> None:
        """Clear unanswered and refused questions after a response."""
        self.oldest_question_at = None
        self.question_refused_at = None


def replacement_cause(
    group: SessionGroup, health: PrimaryHealth, now: float
) -> TakeoverCause | None:
    """Return the reason to replace the group's primary now, or None."""
    record = group.record
    if record is None:
        return None
    if record.change is not None:
        return TakeoverCause.UNFINISHED
    if health.lost_role:
        return TakeoverCause.ROLE_LOST
    if _has_lasted(health.question_refused_at, REFUSED_AFTER, now):
        return TakeoverCause.FAILED
    if _has_lasted(health.connections_refused_since, REFUSED_AFTER, now):
        return TakeoverCause.FAILED
    if _has_lasted(health.oldest_question_at, UNRESPONSIVE_AFTER, now):
        return TakeoverCause.FAILED
    if _has_lasted(health.unanswered_since, UNRESPONSIVE_AFTER, now):
        return TakeoverCause.FAILED
    if _has_lasted(health.missing_since, GONE_AFTER, now):
        return TakeoverCause.GONE
    listed_target = group.targets.get(record.primary)
    if (
        listed_target is not None
        and listed_target.leaving
        and _has_other(group, record)
    ):
        return TakeoverCause.LEAVING
    return None


def _has_lasted(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now - since >= seconds


def _has_other(group: SessionGroup, record: PrimaryRecord) -> bool:
    return any(
        not listed.leaving
        for name, listed in group.targets.items()
        if name != record.primary
    )


def initial_record(
    group: SessionGroup, *, term: int, era: int
) -> PrimaryRecord | None:
    """Return the first record of a group, for an era of the store.

    Return None unless exactly one target reports itself as primary: two mean
    that a change was not recorded.
    """
    primaries = [
        name for name, listed in group.targets.items() if listed.is_primary
    ]
    if len(primaries) != 1:
        return None
    return PrimaryRecord(
        group=group.name,
        version=0,
        term=term,
        primary=primaries[0],
        era=era,
    )
