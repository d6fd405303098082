"""What a change of primary asks of targets and of the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Target
from bamboospring.records import decode_group
from bamboospring.target_api import ProbeResult

__all__ = [
    "Action",
    "GroupObject",
    "Order",
    "OrderKind",
    "ReadGroup",
    "UpdateGroup",
]


class OrderKind(str, Enum):
    """What a target is asked for."""

    PROBE = "probe"
    PAUSE = "pause"
    RESUME = "resume"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One request to a target.

    `primary` is an address, for FOLLOW; `known` what the target said last,
    for PROBE: one that still says so need not say it again.
    """

    kind: OrderKind
    target: Target
    term: int = 0
    primary: str = ""
    known: ProbeResult | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadGroup:
    """Read the group's object."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UpdateGroup:
    """Store the value if the group's object is at `if_version`."""

    if_version: int
    value: dict[str, Any]


Action = Order | ReadGroup | UpdateGroup


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupObject:
    """The group's object as the platform showed it."""

    name: str
    version: int
    value: dict[str, Any]

    def record(self) -> GroupRecord | None:
        """Return it as a record, None when it is malformed."""
        return decode_group(self.name, self.version, self.value)
