"""A caller's statement on its way from entry to holder."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

__all__ = ["Position", "Statement", "StepKind"]


class StepKind(IntEnum):
    """Where a statement stands in a transaction."""

    AUTOCOMMIT = 0
    BEGIN = 1
    STATEMENT = 2
    COMMIT = 3
    ROLLBACK = 4


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Position:
    """A place in a group's log. Index alone does not order two terms."""

    term: int = 0
    index: int = 0


@dataclass(slots=True, kw_only=True)
class Statement:
    """What a caller wants run, checked and with its deadline.

    Not frozen, which doubles what it costs to make one; nobody changes it.
    `params` is a JSON array as received. `staleness` is the age in seconds
    that the caller accepts, None if it states none. `deadline` is monotonic
    time of this process in seconds. `settle` lets a read go to the primary at
    a holder without a share of the replicas that would do.
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
    settle: bool = False
