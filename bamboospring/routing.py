"""Choose the target of a statement, or what the statement has to wait for.

The functions here are pure: they read the blackboard and get the time and
random numbers as arguments, so equal inputs give equal choices.

A read may go to a replica that is known to hold all writes of the session
and, if a maximum staleness is set, all writes that the primary had
acknowledged that long ago. Known positions may be outdated but are never
ahead of the target: a log only grows within a term. The term is sent with
the read, so a target whose log was truncated in a later term refuses it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Role
from bamboospring.blackboard import TableRow
from bamboospring.blackboard import Target
from bamboospring.blackboard import TargetState
from bamboospring.commit import majority_size
from bamboospring.outcomes import Reason
from bamboospring.statements import Position

__all__ = [
    "ConfirmPrimary",
    "Draws",
    "SendRead",
    "ReadChoice",
    "ReadRequirements",
    "RefuseRead",
    "WaitForReplica",
    "SendWrite",
    "choose_read",
    "choose_write",
    "majority_confirmed_at",
    "find_target",
    "fresh_since",
    "is_unresponsive",
    "is_majority_reachable",
    "required_index",
    "covers_position",
]

# Seconds. A target whose last report is older gets no statements.
MAX_REPORT_AGE = 1.5
# Seconds after the last report until a target counts as unreachable. This is
# twice the longest time that a watched target has for an answer.
UNREACHABLE_AFTER = 2.0
# Seconds that a read waits for a replica to catch up, and seconds between its
# checks. A longer wait delays the caller by more than it saves in load on the
# primary.
MAX_REPLICA_WAIT = 0.025
REPLICA_RECHECK_INTERVAL = 0.004
# Statements in flight that are added to the load of a target in another
# availability zone. This is about the cost of the longer round trip.
OTHER_ZONE_COST = 1.0


@dataclass(slots=True, kw_only=True)
class Draws:
    """Random numbers for one choice, each in [0, 1)."""

    site: float
    first: float
    second: float


@dataclass(slots=True, kw_only=True)
class ReadRequirements:
    """Requirements of a read.

    The read must see all writes acknowledged before `fresh_since`; None means
    that no staleness limit applies. `wait_until` ends the wait for a replica.
    `excluded` names targets that were tried without success.
    """

    token: Position = Position()
    fresh_since: float | None = None
    wait_until: float = -1e9
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class SendRead:
    """Send the read; the target must be at `term` and have `min_index`."""

    target: Target
    term: int
    min_index: int
    replica: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitForReplica:
    """Choose again after `seconds`: a replica has nearly caught up."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfirmPrimary:
    """Have a majority confirm the primary's term, then choose again.

    Without this, a primary that is isolated from its group would serve stale
    reads after another primary has accepted writes.
    """

    since: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RefuseRead:
    """Refuse the read because no target can serve it."""

    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class SendWrite:
    """Send the write to `target` at `term`."""

    target: Target
    term: int


ReadChoice = SendRead | WaitForReplica | ConfirmPrimary | RefuseRead


def choose_read(
    group: Group,
    row: TableRow,
    requirements: ReadRequirements,
    *,
    zone: str,
    now: float,
    draws: Draws,
    confirmed_at: float = -1e9,
) -> ReadChoice:
    """Choose a replica, else a short wait for one, else the primary.

    `confirmed_at` is when a majority was last asked explicitly and reported
    the group's term.
    """
    record = group.record
    if requirements.token.term > record.term:
        return RefuseRead(reason=Reason.TOKEN_AHEAD)
    context = _ReadContext(
        group=group,
        row=row,
        requirements=requirements,
        min_index=required_index(record, requirements.token),
        now=now,
        confirmed_at=max(confirmed_at, majority_confirmed_at(group)),
    )
    for role in (Role.REPLICA, Role.FENCED):
        candidates = [t for t in record.targets if context.can_serve(t, role)]
        if candidates:
            best = _pick_target(group, row, candidates, zone, draws)
            return context.send_read(best, replica=True)
    if now < requirements.wait_until and context.has_nearly_current_replica():
        return WaitForReplica(seconds=REPLICA_RECHECK_INTERVAL)
    return _choose_primary(context)


def choose_write(group: Group, row: TableRow, now: float) -> SendWrite | None:
    """Return the primary if it reports this role at the group's term.

    None means that the write has to wait: a target that is unresponsive or
    no longer primary would leave it with an unknown outcome or refuse it.
    """
    record = group.record
    target = find_target(group, record.primary)
    if target is None or _is_majority_at_later_term(group):
        return None
    state = group.state(target.name)
    if state.role is not Role.PRIMARY or state.term != record.term:
        return None
    if state.leaving or now - state.last_response_at > MAX_REPORT_AGE:
        return None
    return SendWrite(target=target, term=record.term)


def _is_majority_at_later_term(group: Group) -> bool:
    """Return whether a majority of targets is at a later term.

    Without this check a write is sent to a primary that does not know of its
    successor. It commits there, but no majority ever holds it, so the caller
    gets an unknown outcome that waiting would have avoided. Terms only grow,
    so these targets do not return to the record's term.
    """
    record = group.record
    later = sum(
        group.state(target.name).term > record.term
        for target in record.targets
    )
    return later >= majority_size(len(record.targets))


def is_unresponsive(group: Group, target: str, now: float) -> bool:
    """Return whether a target reported before and then stopped reporting."""
    return (
        -1e9 < group.state(target).last_response_at < now - UNREACHABLE_AFTER
    )


def is_majority_reachable(group: Group, now: float) -> bool:
    """Return whether enough targets respond to acknowledge a write.

    Targets that have never reported count as reachable, because this process
    has only just started to ask them. If a majority stops responding, the
    result is False at once: a change of primary is impossible from here too.
    It is also False if an edit of the group's targets left no majority in
    common with the old ones.
    """
    targets = group.record.targets
    unresponsive = sum(
        is_unresponsive(group, target.name, now) for target in targets
    )
    reachable = len(targets) - unresponsive
    return (
        reachable >= majority_size(len(targets))
        and not group.record.majority_overlap_lost
    )


def required_index(record: GroupRecord, token: Position) -> int:
    """Return the index in the current log that holds a session's writes.

    Entries of an older term beyond the start of the next term were never
    acknowledged, so the index is limited to that start.
    """
    for start in record.starts:
        if start.term > token.term:
            return min(token.index, start.index)
    return token.index


def covers_position(
    record: GroupRecord, token: Position, position: Position
) -> bool:
    """Return whether an answer's position covers a session's writes."""
    if position.term < token.term:
        return False
    if position.term == token.term:
        return position.index >= token.index
    return position.index >= required_index(record, token)


def fresh_since(
    row: TableRow, staleness: float | None, now: float
) -> float | None:
    """Return the time up to which all writes must be seen.

    The smaller of the caller's staleness and the row's limit applies. The
    result is None if neither is set.
    """
    bounds = [] if staleness is None else [staleness]
    if row.max_staleness_ms > 0:
        bounds.append(row.max_staleness_ms / 1000)
    return now - min(bounds) if bounds else None


def majority_confirmed_at(group: Group) -> float:
    """Return the last time at which a majority was at the group's term.

    A new primary first needs a majority at a higher term. A majority that was
    asked at this time and reported the old term had not moved on by then.
    """
    record = group.record
    asked_at = sorted(
        (
            state.asked_at
            for target in record.targets
            if (state := group.state(target.name)).term == record.term
        ),
        reverse=True,
    )
    needed = majority_size(len(record.targets))
    return asked_at[needed - 1] if len(asked_at) >= needed else -1e9


def find_target(group: Group, name: str) -> Target | None:
    """Return the group's target with this name, or None."""
    for target in group.record.targets:
        if target.name == name:
            return target
    return None


@dataclass(slots=True, kw_only=True)
class _ReadContext:
    """The group's state and the requirements for one choice of a target."""

    group: Group
    row: TableRow
    requirements: ReadRequirements
    min_index: int
    now: float
    confirmed_at: float

    def can_serve(self, target: Target, role: Role) -> bool:
        """Return whether a target has this role and all required entries."""
        state = self.group.state(target.name)
        return (
            self._is_candidate(target, state, role)
            and state.applied >= self.min_index
            and self._is_fresh(state)
        )

    def has_nearly_current_replica(self) -> bool:
        """Return whether a replica should catch up during the wait.

        The lag of a replica is at most the time since it last was level with
        its primary.
        """
        for target in self.group.record.targets:
            state = self.group.state(target.name)
            if not self._is_candidate(target, state, Role.REPLICA):
                continue
            behind = state.applied < self.min_index
            if (
                behind
                and self.now - state.caught_up_at <= MAX_REPLICA_WAIT * 2
            ):
                return True
        return False

    def send_read(self, target: Target, *, replica: bool) -> SendRead:
        return SendRead(
            target=target,
            term=self.group.state(target.name).term,
            min_index=self.min_index,
            replica=replica,
        )

    def _is_candidate(
        self, target: Target, state: TargetState, role: Role
    ) -> bool:
        record = self.group.record
        # If the last entry of a target has the group's term, its log is a
        # prefix of that term's log. Otherwise the target may be a former
        # primary that follows the new one but has not yet dropped entries
        # that no other target has. The group's record may be older than what
        # its primary knows.
        is_replaced = target.name == record.primary and (
            state.term > record.term
        )
        return (
            state.role is role
            and state.last_term == record.term
            and not is_replaced
            and target.name not in self.requirements.excluded
            and target.name not in self.row.leaving_targets
            and not state.leaving
            and self.now - state.last_response_at <= MAX_REPORT_AGE
            and _weight(self.row, target) > 0
        )

    def _is_fresh(self, state: TargetState) -> bool:
        fresh_since = self.requirements.fresh_since
        if fresh_since is None:
            return True
        return min(state.caught_up_at, self.confirmed_at) >= fresh_since


def _choose_primary(context: _ReadContext) -> ReadChoice:
    group = context.group
    target = find_target(group, group.record.primary)
    if target is None or target.name in context.requirements.excluded:
        return RefuseRead(reason=Reason.NO_PRIMARY)
    state = group.state(target.name)
    if state.role is not Role.PRIMARY or state.term != group.record.term:
        return RefuseRead(reason=Reason.NO_PRIMARY)
    if context.now - state.last_response_at > MAX_REPORT_AGE:
        return RefuseRead(reason=Reason.NO_PRIMARY)
    since = context.requirements.fresh_since
    if since is not None and context.confirmed_at < since:
        return ConfirmPrimary(since=since)
    return context.send_read(target, replica=False)


def _pick_target(
    group: Group,
    row: TableRow,
    candidates: Sequence[Target],
    zone: str,
    draws: Draws,
) -> Target:
    """Pick a site by weight, then the less loaded of two random targets."""
    site = _pick_site(row, candidates, draws.site)
    at_site = [target for target in candidates if target.site == site]
    first = at_site.pop(int(draws.first * len(at_site)))
    if not at_site:
        return first
    second = at_site[int(draws.second * len(at_site))]
    return min(first, second, key=lambda t: _cost(group, t, zone))


def _pick_site(
    row: TableRow, candidates: Sequence[Target], draw: float
) -> str:
    weights: dict[str, int] = {}
    for target in candidates:
        weights[target.site] = _weight(row, target)
    if not row.read_weights:
        # Without weights all targets are equally likely, whatever their site.
        for target in candidates:
            weights[target.site] = 0
        for target in candidates:
            weights[target.site] += 1
    remaining = draw * sum(weights.values())
    for site, weight in weights.items():
        remaining -= weight
        if remaining < 0:
            return site
    return candidates[-1].site


def _weight(row: TableRow, target: Target) -> int:
    if not row.read_weights:
        return 1
    return row.read_weights.get(target.site, 0)


def _cost(group: Group, target: Target, zone: str) -> tuple[float, int]:
    state = group.state(target.name)
    is_remote = target.availability_zone != zone
    return state.in_flight + is_remote * OTHER_ZONE_COST, -state.applied
