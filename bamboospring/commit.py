"""When a write may be acknowledged: a majority holds it at its term.

A primary that was cut off still commits on its own. Passing its answer on
would acknowledge a write that the next primary does not have. A new term
first stops a majority of the targets, so an entry held by a majority at the
term that wrote it is in the log of every later primary.
"""

from __future__ import annotations

from collections.abc import Collection

from bamboospring.blackboard import Group
from bamboospring.blackboard import Role
from bamboospring.statements import Position

__all__ = [
    "count_holding",
    "held_by_majority",
    "majorities_overlap",
    "majority_size",
    "targets_holding",
]


def majority_size(count: int) -> int:
    """Return how many of `count` targets make a majority."""
    return count // 2 + 1


def majorities_overlap(one: Collection[str], two: Collection[str]) -> bool:
    """Tell whether any majority of one set shares a target with any of two.

    Where it does not, a write held by a majority of the old targets may be at
    none of the new ones that a change of primary stops.
    """
    common = len(set(one) & set(two))
    from_one = majority_size(len(one)) - (len(one) - common)
    from_two = majority_size(len(two)) - (len(two) - common)
    return max(0, from_one) + max(0, from_two) > common


def count_holding(group: Group, position: Position) -> int:
    """Count the targets known to hold a position of its own term."""
    return len(targets_holding(group, position))


def targets_holding(group: Group, position: Position) -> list[str]:
    """Return the targets known to hold a position of its own term, by name.

    A target that reports another term does not count, whatever its index:
    its log may differ at that index. Nor does one that has joined the term
    but holds no entry of it yet: it has not compared its log with the
    primary's, and what it has at that index may be about to be dropped.
    """
    roles = (Role.PRIMARY, Role.REPLICA)
    return [
        name
        for name, state in group.states.items()
        if state.term == position.term
        and state.last_term == position.term
        and state.received >= position.index
        and state.role in roles
    ]


def held_by_majority(group: Group, position: Position) -> bool:
    """Tell whether a majority of the group's targets holds a position."""
    if group.record.majority_overlap_lost:
        return False
    needed = majority_size(len(group.record.targets))
    return count_holding(group, position) >= needed
