"""Choose the target of a statement and the position its log must have.

A read that accepts stale data goes to the target with the lowest expected
response time among those that have what the read must see, with replicas
preferred to the primary. Writes, and reads that accept no staleness, go to the
primary, under a proof.

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
    "NoTarget",
    "SendTo",
    "TargetChoice",
    "TargetRequirements",
    "choose_target",
    "expected_response_time",
]

# The cost of a target in another zone: an answer from the own zone may take so
# many seconds longer. It covers the round trip and the charge for traffic
# between zones.
OTHER_ZONE_COST = 0.1
# The additional cost, in seconds, of a read at the primary compared to a
# replica. It exceeds the cost of another zone, since only the primary can
# serve writes and reads that accept no staleness, and is less than the delay
# of a long queue at all replicas.
PRIMARY_COST = 0.15
# Seconds by which the age that a read accepts is shortened, to allow for
# differences in clock rates and for time that the statement spends in a queue.
AGE_MARGIN = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetRequirements:
    """What a statement requires of its target.

    `received_at` is when the proxy read its first bytes, `last_commit` the
    position of the session's last commit. `at_primary` means that only the
    primary can run it. Targets named in `excluded` are not chosen.
    """

    received_at: float
    at_primary: bool
    last_commit: Position = Position()
    excluded: Collection[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class SendTo:
    """Send the statement to this target, whose log must have `after`."""

    news: ListedTarget
    after: Position | None
    at_replica: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class NoTarget:
    """No target can run the statement at present."""

    reason: Reason


TargetChoice = SendTo | NoTarget


def choose_target(
    group: SessionGroup,
    route: Route,
    requirements: TargetRequirements,
    *,
    zone: str,
    now: float,
) -> TargetChoice:
    """Choose the target of one statement."""
    if requirements.at_primary or route.freshness is Freshness.PRIMARY:
        return _choose_primary(group, requirements, now)
    after = None
    if route.max_age is not None:
        since = requirements.received_at - route.max_age + AGE_MARGIN
        after = required_position(
            group.samples, since=since, last_commit=requirements.last_commit
        )
    if after is None:
        return _choose_primary(group, requirements, now)
    candidates = [
        listed
        for listed in group.targets.values()
        if _can_read(group, listed, requirements, after, now)
    ]
    if not candidates:
        return _choose_without_replica(group, requirements, after, now)
    best = min(candidates, key=lambda listed: _read_cost(group, listed, zone))
    return SendTo(
        news=best,
        after=after,
        at_replica=not _is_primary(group, best),
    )


def expected_response_time(observed: ObservedTarget) -> float:
    """Return the expected response time for one more statement, in seconds."""
    return (
        (observed.in_flight + 1)
        * observed.latency
        * (1 + observed.failure_score)
    )


def _choose_primary(
    group: SessionGroup, requirements: TargetRequirements, now: float
) -> TargetChoice:
    listed = group.primary()
    if listed is None:
        return NoTarget(reason=Reason.NO_PRIMARY)
    if now >= listed.usable_until:
        return NoTarget(reason=Reason.TARGET_LEAVING)
    if not group.proof.covers(requirements.received_at):
        return NoTarget(reason=Reason.PRIMARY_CHANGED)
    if listed.target.name in requirements.excluded:
        return NoTarget(reason=Reason.TARGET_UNREACHABLE)
    return SendTo(news=listed, after=None, at_replica=False)


def _choose_without_replica(
    group: SessionGroup,
    requirements: TargetRequirements,
    after: Position,
    now: float,
) -> TargetChoice:
    """Return the primary for a read that no other target can serve.

    The read is sent with a required position and so needs no proof: a target
    that has the position has everything that the read must see.
    """
    record = group.record
    listed = group.targets.get(record.primary) if record is not None else None
    if listed is None or listed.target.name in requirements.excluded:
        return NoTarget(reason=Reason.STALE)
    if now >= listed.usable_until:
        return NoTarget(reason=Reason.TARGET_LEAVING)
    return SendTo(news=listed, after=after, at_replica=False)


def _can_read(
    group: SessionGroup,
    listed: ListedTarget,
    requirements: TargetRequirements,
    after: Position,
    now: float,
) -> bool:
    name = listed.target.name
    if listed.leaving or name in requirements.excluded:
        return False
    observed = group.observed_target(name)
    return observed.applied >= after or now >= observed.behind_until


def _read_cost(group: SessionGroup, listed: ListedTarget, zone: str) -> float:
    cost = expected_response_time(group.observed_target(listed.target.name))
    if listed.target.availability_zone != zone:
        cost += OTHER_ZONE_COST
    if _is_primary(group, listed):
        cost += PRIMARY_COST
    return cost


def _is_primary(group: SessionGroup, listed: ListedTarget) -> bool:
    record = group.record
    return record is not None and record.primary == listed.target.name
