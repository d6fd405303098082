"""Actions of a change of primary: orders to targets, calls to the platform."""

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
    """The kind of a request to a target."""

    PROBE = "probe"
    PAUSE = "pause"
    RESUME = "resume"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """One request to a target.

    `primary_address` is for FOLLOW. `known_probe` is for PROBE: the target's
    last report, which the target need not send again if it is unchanged.
    """

    kind: OrderKind
    target: Target
    term: int = 0
    primary_address: str = ""
    known_probe: ProbeResult | None = None


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
    """The group's object as the platform returned it."""

    name: str
    version: int
    value: dict[str, Any]

    def record(self) -> GroupRecord | None:
        """Return the decoded record, or None if it is malformed."""
        return decode_group(self.name, self.version, self.value)
