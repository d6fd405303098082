"""Where a read goes: which target of the group, or how long to wait."""

from __future__ import annotations

from dataclasses import dataclass

from bamboospring.blackboard import Group
from bamboospring.blackboard import Role
from bamboospring.blackboard import TableRow
from bamboospring.blackboard import Target
from bamboospring.blackboard import TargetState
from bamboospring.commit import map_position
from bamboospring.statements import Position

__all__ = ["ReadAt", "choose_read", "find_target"]

# A target that has not answered for this long is passed over for reads.
SILENT_AFTER = 1.5


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadAt:
    """Send the read to this target, which must be at `min_index`."""

    target: Target
    min_index: int
    replica: bool


def choose_read(
    group: Group,
    row: TableRow,
    *,
    token: Position,
    staleness: float | None,
    zone: str,
    now: float,
) -> ReadAt | None:
    """Choose a replica that is far enough, else the primary, else None."""
    needed = map_position(group, token).index
    found = [
        target
        for target in group.record.targets
        if target.name not in row.leaving_targets
        and _may_serve(group, target, needed, staleness, now)
    ]
    if found:
        best = min(found, key=lambda t: _cost(group.state(t.name), t, zone))
        return ReadAt(target=best, min_index=needed, replica=True)
    primary = find_target(group, group.record.primary)
    if primary is None:
        return None
    return ReadAt(target=primary, min_index=needed, replica=False)


def find_target(group: Group, name: str) -> Target | None:
    """Return the group's target of that name."""
    for target in group.record.targets:
        if target.name == name:
            return target
    return None


def _cost(state: TargetState, target: Target, zone: str) -> tuple[int, bool]:
    return state.outstanding, target.availability_zone != zone


def _may_serve(
    group: Group,
    target: Target,
    needed: int,
    staleness: float | None,
    now: float,
) -> bool:
    state = group.state(target.name)
    if state.role is not Role.REPLICA or state.leaving:
        return False
    if state.term != group.record.term or now - state.seen_at > SILENT_AFTER:
        return False
    if state.applied < needed:
        return False
    return staleness is None or now - state.fresh_at <= staleness
