"""Seeded faults that the exploration of primary changes must find, by name."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
from typing import Any
from unittest import mock

from bamboospring.blackboard import Group
from bamboospring import commit
from bamboospring import primary_change
from bamboospring.primary_change import ChangePhase
from bamboospring.primary_change import GroupObject
from bamboospring.primary_change import OrderKind
from bamboospring.primary_change import PrimaryChange
from bamboospring.statements import Position
from bamboospring.target_api import ProbeResult

__all__ = ["MUTATIONS", "mutated"]


def _skip_fence(change: PrimaryChange, now: float) -> list[Any]:
    """Promote by the probes; fence only the promoted target."""
    assert change._update is not None
    change.term = change._update.value["term"]
    change._enter_phase(ChangePhase.FENCE, now)
    best = max(
        change._probes, key=lambda n: primary_change.log_end(change._probes[n])
    )
    change._majority = lambda: 1  # type: ignore[method-assign]
    target = change._targets[best]
    return [change._make_order(OrderKind.FENCE, target, now, change.term)]


def _fence_minority(
    change: PrimaryChange,
    name: str,
    accepted: bool,
    probe: ProbeResult,
    now: float,
) -> list[Any]:
    if not accepted or change.phase is not ChangePhase.FENCE:
        return []
    change._fenced[name] = probe
    with mock.patch.object(PrimaryChange, "_majority", lambda change: 1):
        return change._promote(now)


def _promote_first(
    fenced: dict[str, ProbeResult], *rest: Any, **more: Any
) -> str:
    return next(iter(fenced))


def _trust_update(change: PrimaryChange, now: float) -> list[Any]:
    assert change._update is not None
    return change.on_updated(change._update.if_version + 1, now)


def _promote_another(change: PrimaryChange, now: float) -> list[Any]:
    if (
        change.phase is ChangePhase.PROMOTE
        and now - change._phase_started_at > 0.25
    ):
        others = [n for n in change._fenced if n != change.primary]
        if others:
            change.primary = others[0]
            change._enter_phase(ChangePhase.PROMOTE, now)
            target = change._targets[others[0]]
            return [
                change._make_order(OrderKind.PROMOTE, target, now, change.term)
            ]
    return _TICK(change, now)


def _ignore_nonce(
    change: PrimaryChange, found: GroupObject, now: float
) -> list[Any]:
    value = {**found.value, "steward": change.nonce}
    same = GroupObject(name=found.name, version=found.version, value=value)
    return _RESOLVE(change, same, now)


def _count_unmatched(group: Group, position: Position) -> int:
    return sum(
        state.term == position.term and state.received >= position.index
        for state in group.states.values()
    )


_TICK = PrimaryChange.tick
_RESOLVE = PrimaryChange._resolve_update

MUTATIONS: dict[str, tuple[Any, str, Any]] = {
    "skip_fence": (PrimaryChange, "_on_term_won", _skip_fence),
    "promote_with_minority_fenced": (
        PrimaryChange,
        "_on_fence_answer",
        _fence_minority,
    ),
    "promote_first_that_answers": (
        primary_change,
        "choose_primary",
        _promote_first,
    ),
    "trust_unanswered_update": (
        PrimaryChange,
        "on_update_unanswered",
        _trust_update,
    ),
    "promote_another_at_same_term": (PrimaryChange, "tick", _promote_another),
    "take_other_stewards_term_for_own": (
        PrimaryChange,
        "_resolve_update",
        _ignore_nonce,
    ),
    "acknowledge_without_majority": (
        commit,
        "held_by_majority",
        lambda group, position: True,
    ),
    "count_unmatched_replica": (commit, "count_holding", _count_unmatched),
}


@contextlib.contextmanager
def mutated(name: str) -> Iterator[None]:
    """Run with one of the faults, or with none if the name is empty."""
    if not name:
        yield
        return
    owner, attribute, replacement = MUTATIONS[name]
    with mock.patch.object(owner, attribute, replacement):
        yield
