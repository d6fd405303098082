"""Causes, phases and plans of changes of primary."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["ChangeCause", "ChangePhase", "ChangePlan"]


class ChangeCause(str, Enum):
    """The cause of a change of primary."""

    NO_PRIMARY = "no_primary"
    PRIMARY_FAILED = "primary_failed"
    ROLE_LOST = "role_lost"
    ORDERED = "ordered"
    LEAVING = "leaving"
    WRITE_WEIGHT = "write_weight"

    @property
    def is_planned(self) -> bool:
        """Return whether the old primary works and can pause writes."""
        return self in (
            ChangeCause.ORDERED,
            ChangeCause.LEAVING,
            ChangeCause.WRITE_WEIGHT,
        )


class ChangePhase(str, Enum):
    """The phase of a change of primary."""

    PROBE = "probe"
    PAUSE = "pause"
    CATCH_UP = "catch_up"
    WIN = "win"
    FENCE = "fence"
    PROMOTE = "promote"
    RECORD = "record"
    DONE = "done"
    ENDED = "ended"


@dataclass(frozen=True, slots=True, kw_only=True)
class ChangePlan:
    """The cause of a change and the preferred targets, best first.

    `term` and `primary` are those of the record on which the decision is
    based; the change ends if the platform's record differs. With
    `ignore_primary_answer` the change continues although a primary that
    others report as failed answers the steward.
    """

    cause: ChangeCause
    term: int
    primary: str
    preferred: tuple[str, ...] = ()
    ignore_primary_answer: bool = False

    @property
    def failed_primary(self) -> str:
        """Return the failed primary, which is not awaited, or empty."""
        return "" if self.cause.is_planned else self.primary
