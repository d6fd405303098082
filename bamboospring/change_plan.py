"""Why a primary is changed, and where a change stands."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = ["ChangeCause", "ChangePhase", "ChangePlan"]


class ChangeCause(str, Enum):
    """Why a primary is changed."""

    NO_PRIMARY = "no_primary"
    PRIMARY_FAILED = "primary_failed"
    ROLE_LOST = "role_lost"
    ORDERED = "ordered"
    LEAVING = "leaving"
    WRITE_WEIGHT = "write_weight"

    @property
    def is_planned(self) -> bool:
        """Tell whether the old primary works and writes can be paused."""
        return self in (
            ChangeCause.ORDERED,
            ChangeCause.LEAVING,
            ChangeCause.WRITE_WEIGHT,
        )


class ChangePhase(str, Enum):
    """Where a change stands."""

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
    """Why a primary is changed, and which targets to prefer, best first.

    `term` and `primary` are those of the record that was judged; the change
    ends when the platform's differs. With `insist` it goes on although the
    steward itself hears a primary that others take for failed.
    """

    cause: ChangeCause
    term: int
    primary: str
    preferred: tuple[str, ...] = ()
    insist: bool = False

    @property
    def failed(self) -> str:
        """Return the primary for which nobody waits, or empty."""
        return "" if self.cause.is_planned else self.primary
