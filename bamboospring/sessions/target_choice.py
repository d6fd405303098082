"""Where a statement goes: which target, and what its log must have.

A read that accepts some age goes to the target that should answer first
among those that have what it must see, replicas before the primary. Writes
and reads that accept no age go to the primary, under a proof.

Pure decisions over the board; times are passed in.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from bamboospring.outcomes import Reason
from bamboospring.sessions.freshness import required_position
from bamboospring.sessions.model import Freshness
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import ObservedTarget
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import SessionGroup
from bamboospring.statements import Position

__all__ = [
    "TargetChoice",
    "TargetRequirements",
    "NoTarget",
    "SendTo",
    "choose_target",
    "expected_response_time",
]

# What another zone costs, in seconds that an answer may take longer in the own
# zone: the way there and back, and the bytes that zones are charged for.
OTHER_ZONE_COST = 0.1
# What a read at the primary costs more than at a replica, in seconds: more
# than another zone, since the primary alone can serve writes and reads that
# accept no age, and less than a long queue at all replicas.
PRIMARY_COST = 0.15
# The age that a read accepts is taken to be this much shorter, in seconds:
# for the rates of clocks, and a statement that waits in a queue first.
AGE_MARGIN = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRequirements:
    """What one statement asks of a target.

    `received_at` is when its first bytes were read, `written` the session's
    own last commit. `at_primary` says that only a primary can run it.
    """

    received_at: float
    at_primary: bool
    last_commit: Position = Position()
    excluded: Collection[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class SendTo:
    """Send it to this target, whose log must have `after`."""

    news: ListedTarget
    after: Position | None
    at_replica: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class NoTarget:
    """Nobody can run it now."""

    reason: Reason


TargetChoice = SendTo | NoTarget


def choose_target(
    group: SessionGroup,
    route: Route,
    needs: TargetRequirements,
    *,
    zone: str,
    now: float,
) -> TargetChoice:
    """Choose the target of one statement."""
    if needs.at_primary or route.freshness is Freshness.PRIMARY:
        return _choose_primary(group, needs, now)
    after = None
    if route.max_age is not None:
        since = needs.received_at - route.max_age + AGE_MARGIN
        after = required_position(
            group.samples, since=since, last_commit=needs.last_commit
        )
    if after is None:
        return _choose_primary(group, needs, now)
    found = [
        news
        for news in group.targets.values()
        if _can_read(group, news, needs, after, now)
    ]
    if not found:
        return _choose_without_replica(group, needs, after, now)
    best = min(found, key=lambda news: _read_cost(group, news, zone))
    return SendTo(
        news=best,
        after=after,
        at_replica=not _is_primary(group, best),
    )


def expected_response_time(observed: ObservedTarget) -> float:
    """Return the seconds in which a target should answer one more."""
    return (
        (observed.in_flight + 1)
        * observed.latency
        * (1 + observed.failure_score)
    )


def _choose_primary(
    group: SessionGroup, needs: TargetRequirements, now: float
) -> TargetChoice:
    news = group.primary()
    if news is None:
        return NoTarget(reason=Reason.NO_PRIMARY)
    if now >= news.usable_until:
        return NoTarget(reason=Reason.TARGET_LEAVING)
    if not group.proof.covers(needs.received_at):
        return NoTarget(reason=Reason.PRIMARY_CHANGED)
    if news.target.name in needs.excluded:
        return NoTarget(reason=Reason.TARGET_UNREACHABLE)
    return SendTo(news=news, after=None, at_replica=False)


def _choose_without_replica(
    group: SessionGroup, needs: TargetRequirements, after: Position, now: float
) -> TargetChoice:
    """Return the primary for a read that no target should have tried.

    With a position to ask for it needs no proof: whoever has the position
    has all that the read must see.
    """
    record = group.record
    news = group.targets.get(record.primary) if record is not None else None
    if news is None or news.target.name in needs.excluded:
        return NoTarget(reason=Reason.STALE)
    if now >= news.usable_until:
        return NoTarget(reason=Reason.TARGET_LEAVING)
    return SendTo(news=news, after=after, at_replica=False)


def _can_read(
    group: SessionGroup,
    news: ListedTarget,
    needs: TargetRequirements,
    after: Position,
    now: float,
) -> bool:
    name = news.target.name
    if news.leaving or name in needs.excluded:
        return False
    observed = group.observed_target(name)
    return observed.applied >= after or now >= observed.behind_until


def _read_cost(group: SessionGroup, news: ListedTarget, zone: str) -> float:
    cost = expected_response_time(group.observed_target(news.target.name))
    if news.target.availability_zone != zone:
        cost += OTHER_ZONE_COST
    if _is_primary(group, news):
        cost += PRIMARY_COST
    return cost


def _is_primary(group: SessionGroup, news: ListedTarget) -> bool:
    record = group.record
    return record is not None and record.primary == news.target.name
