"""A caller's statement, as passed from the entry to a holder."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Position", "Statement", "StepKind"]


class StepKind(IntEnum):
    """The kind of a statement with regard to transactions."""

    AUTOCOMMIT = 0
    BEGIN = 1
    STATEMENT = 2
    COMMIT = 3
    ROLLBACK = 4


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Position:
    """A position in a group's log, ordered by term and then by index."""

    term: int = 0
    index: int = 0


@dataclass(slots=True, kw_only=True)
class Statement:
    """A validated statement of a caller.

    Instances are not modified. The class is not frozen only because that
    doubles the cost of creating an instance. `params` is a JSON array as
    received. `staleness` is the accepted age in seconds, None if the caller
    sets none. `deadline` is in seconds of this process's monotonic clock.
    `allow_primary` lets a holder without a share of a suitable replica read
    at the primary.
    """

    group: str
    caller: str
    write: bool
    sql: str
    params: bytes
    deadline: float
    step: StepKind = StepKind.AUTOCOMMIT
    transaction: str = ""
    key: str = ""
    token: Position = Position()
    staleness: float | None = None
    trace: str = ""
    allow_primary: bool = False
