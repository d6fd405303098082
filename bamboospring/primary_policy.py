"""Policy: when a group needs another primary and which targets must rejoin.

The functions are pure and use what the steward observed; `primary_change`
carries out their decisions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Role
from bamboospring.blackboard import TableRow
from bamboospring.blackboard import Target
from bamboospring.primary_change import ChangeCause
from bamboospring.primary_change import ChangePlan
from bamboospring.primary_change import log_end
from bamboospring.primary_change import Order
from bamboospring.primary_change import OrderKind
from bamboospring.target_api import ProbeResult

__all__ = [
    "PolicyInput",
    "choose_plan",
    "orders_to_rejoin",
    "rank_targets",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyInput:
    """The observations on which a steward decides about a group.

    `probes` holds recent answers only. `primary_failed` is true if the primary
    is reported as failed, `ignore_primary_answer` if it has been for so long
    that its answers to the steward no longer count. `ordered_target` is the
    target of an operator's order ("*" for any except the primary), or empty.
    """

    record: GroupRecord
    row: TableRow
    probes: dict[str, ProbeResult]
    primary_failed: bool = False
    ignore_primary_answer: bool = False
    ordered_target: str = ""


def choose_plan(view: PolicyInput) -> ChangePlan | None:
    """Return the plan of the change that the group needs, or None."""
    record = view.record
    if not record.primary:
        return _make_plan(view, ChangeCause.NO_PRIMARY)
    if view.primary_failed:
        return _make_plan(view, ChangeCause.PRIMARY_FAILED)
    probe = view.probes.get(record.primary)
    if probe is None:
        return None
    if not _has_primary_role(probe, record):
        return _make_plan(view, ChangeCause.ROLE_LOST)
    return _planned_change(view)


def _planned_change(view: PolicyInput) -> ChangePlan | None:
    record = view.record
    best = _best_successor(view)
    if best is None:
        return None
    if view.ordered_target in (best.name, "*"):
        return _make_plan(view, ChangeCause.ORDERED, best.name)
    primary = _find_target(record.targets, record.primary)
    if primary is None:
        return None
    if _is_leaving(view, primary):
        return _make_plan(view, ChangeCause.LEAVING, best.name)
    if _write_weight(view.row, best) > _write_weight(view.row, primary):
        return _make_plan(view, ChangeCause.WRITE_WEIGHT, best.name)
    return None


def _best_successor(view: PolicyInput) -> Target | None:
    """Return the best eligible target for a planned change, if any."""
    record = view.record
    primary = view.probes[record.primary]
    eligible = [
        target
        for target in rank_targets(view)
        if target.name != record.primary
        and not _is_leaving(view, target)
        and _follows_primary(view.probes.get(target.name), primary)
    ]
    for target in eligible:
        if target.name == view.ordered_target:
            return target
    return eligible[0] if eligible else None


def rank_targets(view: PolicyInput) -> list[Target]:
    """Return the targets in order of preference as primary, best first."""

    def preference(target: Target) -> tuple[bool, int, tuple[int, int]]:
        probe = view.probes.get(target.name)
        end = log_end(probe) if probe is not None else (0, 0)
        return (
            not _is_leaving(view, target),
            _write_weight(view.row, target),
            end,
        )

    return sorted(view.record.targets, key=preference, reverse=True)


def _make_plan(
    view: PolicyInput, cause: ChangeCause, preferred: str = ""
) -> ChangePlan:
    names = [target.name for target in rank_targets(view)]
    if preferred:
        names = [preferred]
    return ChangePlan(
        cause=cause,
        term=view.record.term,
        primary=view.record.primary,
        preferred=tuple(names),
        ignore_primary_answer=view.ignore_primary_answer,
    )


def _has_primary_role(probe: ProbeResult, record: GroupRecord) -> bool:
    """Return whether the recorded primary still has its role and term.

    It does not if it lost its data, or if a steward fenced it at a term and
    did not complete the change.
    """
    return probe.role is Role.PRIMARY and probe.term == record.term


def _follows_primary(probe: ProbeResult | None, primary: ProbeResult) -> bool:
    if probe is None:
        return False
    same_term = probe.term == primary.term
    return same_term and probe.last_term == primary.last_term


def _is_leaving(view: PolicyInput, target: Target) -> bool:
    probe = view.probes.get(target.name)
    reports_leaving = probe is not None and probe.leaving
    return reports_leaving or target.name in view.row.leaving_targets


def _write_weight(row: TableRow, target: Target) -> int:
    """Return the write weight of a target's site; 0 if no site has one."""
    if not any(row.write_weights.values()):
        return 0
    return row.write_weights.get(target.site, 0)


def _find_target(targets: Iterable[Target], name: str) -> Target | None:
    return next((t for t in targets if t.name == name), None)


def orders_to_rejoin(
    record: GroupRecord, probes: dict[str, ProbeResult]
) -> list[Order]:
    """Return the orders that make outdated targets follow the primary.

    A target is outdated if it missed a change: an old primary, a target that
    is still fenced, or one that follows another address.
    """
    primary = _find_target(record.targets, record.primary)
    if primary is None:
        return []
    return [
        Order(
            kind=OrderKind.FOLLOW,
            target=target,
            term=record.term,
            primary_address=primary.address,
        )
        for target in record.targets
        if target.name != record.primary
        and (probe := probes.get(target.name)) is not None
        and probe.term <= record.term
        and (
            probe.term < record.term
            or probe.role is not Role.REPLICA
            or probe.primary != primary.address
        )
    ]
