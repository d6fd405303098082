"""Whether a group needs another primary, and why.

Pure judgement over what the process that leads has seen.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.takeover import TakeoverCause

__all__ = ["PrimarySight", "first_record", "replacement_cause"]

# A primary that has answered nothing for so many seconds, though it was
# asked, has failed. A busy one answers somebody meanwhile, and one that lives
# is found alive by the survey that a change begins with.
SILENT_AFTER = 0.7
# A machine that refuses connections has no such process; it counts after two
# looks, so many seconds apart, because a restart takes less than a change.
REFUSED_AFTER = 0.25
# So many seconds after its entry has gone from the list a primary counts as
# gone: after an outage of the platform entries are back within two.
GONE_AFTER = 2.5


@dataclass(slots=True, kw_only=True)
class PrimarySight:
    """What the leading process has seen of a primary.

    `asked_at` is when the oldest question without an answer was sent,
    `unanswered_since` when the first statement or question was sent since a
    word of it came, `refused_since` since when its machine refuses all
    connections, both also from before this process led; `refused_at` when it
    first refused a question, `missing_at` when its entry was first found
    missing. None where there is nothing of the kind.
    """

    asked_at: float | None = None
    unanswered_since: float | None = None
    refused_since: float | None = None
    refused_at: float | None = None
    missing_at: float | None = None
    lost_role: bool = False

    def heard(self) -> None:
        """Forget all that spoke against it."""
        self.asked_at = None
        self.refused_at = None


def replacement_cause(
    group: SessionGroup, sight: PrimarySight, now: float
) -> TakeoverCause | None:
    """Return why the group needs another primary now, or None."""
    record = group.record
    if record is None:
        return None
    if record.change is not None:
        return TakeoverCause.UNFINISHED
    if sight.lost_role:
        return TakeoverCause.ROLE_LOST
    if _longer(sight.refused_at, REFUSED_AFTER, now):
        return TakeoverCause.FAILED
    if _longer(sight.refused_since, REFUSED_AFTER, now):
        return TakeoverCause.FAILED
    if _longer(sight.asked_at, SILENT_AFTER, now):
        return TakeoverCause.FAILED
    if _longer(sight.unanswered_since, SILENT_AFTER, now):
        return TakeoverCause.FAILED
    if _longer(sight.missing_at, GONE_AFTER, now):
        return TakeoverCause.GONE
    news = group.targets.get(record.primary)
    if news is not None and news.leaving and _has_other(group, record):
        return TakeoverCause.LEAVING
    return None


def _longer(since: float | None, seconds: float, now: float) -> bool:
    return since is not None and now - since >= seconds


def _has_other(group: SessionGroup, record: PrimaryRecord) -> bool:
    return any(
        not news.leaving
        for name, news in group.targets.items()
        if name != record.primary
    )


def first_record(
    group: SessionGroup, *, term: int, era: int
) -> PrimaryRecord | None:
    """Return the record of a group that has none yet, for an era of the store.

    Only where exactly one target says that it leads: two would mean a change
    that nobody recorded.
    """
    leaders = [name for name, news in group.targets.items() if news.is_primary]
    if len(leaders) != 1:
        return None
    return PrimaryRecord(
        group=group.name,
        version=0,
        term=term,
        primary=leaders[0],
        era=era,
    )
