"""When a group needs another primary, and which targets must be put right.

Pure judgement over what the steward has seen; `promotion` carries it out.
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
    """What the steward knows of a group when it judges it.

    `probes` holds recent answers only. `condemned` says that the primary is
    taken for failed, `insist` that it has been for so long that the
    steward's own hearing it no longer counts. `ordered` is the target of an
    operator's order ("*": any other than the primary), or empty.
    """

    record: GroupRecord
    row: TableRow
    probes: dict[str, ProbeResult]
    condemned: bool = False
    insist: bool = False
    ordered: str = ""


def choose_plan(view: PolicyInput) -> ChangePlan | None:
    """Return the change that the group needs now, or None."""
    record = view.record
    if not record.primary:
        return _plan(view, ChangeCause.NO_PRIMARY)
    if view.condemned:
        return _plan(view, ChangeCause.PRIMARY_FAILED)
    probe = view.probes.get(record.primary)
    if probe is None:
        return None
    if not _works(probe, record):
        return _plan(view, ChangeCause.ROLE_LOST)
    return _planned(view)


def _planned(view: PolicyInput) -> ChangePlan | None:
    record = view.record
    best = _best_other(view)
    if best is None:
        return None
    if view.ordered in (best.name, "*"):
        return _plan(view, ChangeCause.ORDERED, best.name)
    primary = _find(record.targets, record.primary)
    if primary is None:
        return None
    if _is_leaving(view, primary):
        return _plan(view, ChangeCause.LEAVING, best.name)
    if _weight(view.row, best) > _weight(view.row, primary):
        return _plan(view, ChangeCause.WRITE_WEIGHT, best.name)
    return None


def _best_other(view: PolicyInput) -> Target | None:
    """Return the best target to hand over to, if one is fit for it."""
    record = view.record
    primary = view.probes[record.primary]
    fit = [
        target
        for target in rank_targets(view)
        if target.name != record.primary
        and not _is_leaving(view, target)
        and _follows(view.probes.get(target.name), primary)
    ]
    for target in fit:
        if target.name == view.ordered:
            return target
    return fit[0] if fit else None


def rank_targets(view: PolicyInput) -> list[Target]:
    """Return the targets in the order in which they should be primary."""

    def merit(target: Target) -> tuple[bool, int, tuple[int, int]]:
        probe = view.probes.get(target.name)
        end = log_end(probe) if probe is not None else (0, 0)
        return not _is_leaving(view, target), _weight(view.row, target), end

    return sorted(view.record.targets, key=merit, reverse=True)


def _plan(
    view: PolicyInput, cause: ChangeCause, first: str = ""
) -> ChangePlan:
    names = [target.name for target in rank_targets(view)]
    if first:
        names = [first]
    return ChangePlan(
        cause=cause,
        term=view.record.term,
        primary=view.record.primary,
        preferred=tuple(names),
        insist=view.insist,
    )


def _works(probe: ProbeResult, record: GroupRecord) -> bool:
    """Tell whether the recorded primary still has its role and term.

    It has not when it lost its data, or a steward stopped it at a term that
    it could not finish.
    """
    return probe.role is Role.PRIMARY and probe.term == record.term


def _follows(probe: ProbeResult | None, primary: ProbeResult) -> bool:
    if probe is None:
        return False
    same_term = probe.term == primary.term
    return same_term and probe.last_term == primary.last_term


def _is_leaving(view: PolicyInput, target: Target) -> bool:
    probe = view.probes.get(target.name)
    said_so = probe is not None and probe.leaving
    return said_so or target.name in view.row.leaving_targets


def _weight(row: TableRow, target: Target) -> int:
    """Return the write weight of a target's site; all alike without any."""
    if not any(row.write_weights.values()):
        return 0
    return row.write_weights.get(target.site, 0)


def _find(targets: Iterable[Target], name: str) -> Target | None:
    return next((t for t in targets if t.name == name), None)


def orders_to_rejoin(
    record: GroupRecord, probes: dict[str, ProbeResult]
) -> list[Order]:
    """Return the orders that make stray targets follow the primary.

    A stray target is one that was away during a change: an old primary, one
    that is still stopped, or one that follows another address.
    """
    primary = _find(record.targets, record.primary)
    if primary is None:
        return []
    return [
        Order(
            kind=OrderKind.FOLLOW,
            target=target,
            term=record.term,
            primary=primary.address,
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
