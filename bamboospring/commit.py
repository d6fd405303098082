"""Decide when a write may be acknowledged: a majority holds it at its term.

An isolated primary still commits on its own. Passing on its answer would
acknowledge a write that the next primary does not have. A new term first
fences a majority of the targets, so an entry held by a majority at the term
that wrote it is in the log of every later primary.
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
    """Return the size of a majority of `count` targets."""
    return count // 2 + 1


def majorities_overlap(one: Collection[str], two: Collection[str]) -> bool:
    """Return whether every majority of `one` overlaps every one of `two`.

    If not, a write held by a majority of the old targets may be missing on
    all of the new targets that a change of primary fences.
    """
    common = len(set(one) & set(two))
    from_one = majority_size(len(one)) - (len(one) - common)
    from_two = majority_size(len(two)) - (len(two) - common)
    return max(0, from_one) + max(0, from_two) > common


def count_holding(group: Group, position: Position) -> int:
    """Count the targets known to hold a position, at its term."""
    return len(targets_holding(group, position))


def targets_holding(group: Group, position: Position) -> list[str]:
    """Return the names of the targets known to hold a position.

    A target that reports another term does not count, whatever its index,
    because its log may differ at that index. A target that has joined the
    term but holds no entry of it does not count either: it has not compared
    its log with the primary's and may drop its entry at that index.
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
    """Return whether a majority of the group's targets holds a position."""
    if group.record.majority_overlap_lost:
        return False
    needed = majority_size(len(group.record.targets))
    return count_holding(group, position) >= needed
