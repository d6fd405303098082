"""Where a statement goes: which target of the group, or what to wait for.

Pure decisions over the blackboard. Times and random numbers are passed in,
so that the same facts always give the same choice.

A read may go to a replica that is known to hold all that the session has
written and, where an age is stated, all that the primary had acknowledged
that long ago. What is known can be too old but never too new: positions in a
target's log only grow within a term, and the term is sent along, so that a
target whose log was cut back since then refuses the read.
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
    "Confirm",
    "Draws",
    "SendRead",
    "ReadChoice",
    "ReadRequirements",
    "Refuse",
    "Wait",
    "SendWrite",
    "choose_read",
    "choose_write",
    "majority_confirmed_at",
    "find_target",
    "fresh_since",
    "is_silent",
    "reaches_majority",
    "required_index",
    "satisfies",
]

# A target that has not answered for this long is passed over.
MAX_REPORT_AGE = 1.5
# Targets that have not answered for this long, twice the longest time that a
# watched target has to answer in, are out of this process's reach.
LOST_AFTER = 2.0
# How long a read waits for a replica that is about to be far enough, and how
# often it looks again. A longer wait costs the caller more than the primary
# costs the fleet.
READ_WAIT = 0.025
RECHECK = 0.004
# A target in another availability zone counts as having this many more
# statements outstanding: about the cost of the way there and back.
OTHER_ZONE_COST = 1.0


@dataclass(slots=True, kw_only=True)
class Draws:
    """Random numbers of one choice, each from 0 up to but not including 1."""

    site: float
    first: float
    second: float


@dataclass(slots=True, kw_only=True)
class ReadRequirements:
    """What a read asks for.

    `fresh_since` is the instant whose acknowledged writes must all be seen,
    None if no age binds. `wait_until` ends the wait for a replica. `excluded`
    names targets that were tried in vain.
    """

    token: Position = Position()
    fresh_since: float | None = None
    wait_until: float = -1e9
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class SendRead:
    """Send the read to this target at this term; it must be at `min_index`."""

    target: Target
    term: int
    min_index: int
    replica: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Look again after so many seconds: a replica is nearly far enough."""

    seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Confirm:
    """Ask a majority whether the primary still is one, then look again.

    Without it a primary that was cut off from its group passes for fresh,
    while another one has long been taking writes.
    """

    since: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """No target can serve this read now."""

    reason: Reason


@dataclass(frozen=True, slots=True, kw_only=True)
class SendWrite:
    """Send the write to this target at this term."""

    target: Target
    term: int


ReadChoice = SendRead | Wait | Confirm | Refuse


def choose_read(
    group: Group,
    row: TableRow,
    requirements: ReadRequirements,
    *,
    zone: str,
    now: float,
    draws: Draws,
    confirmed: float = -1e9,
) -> ReadChoice:
    """Choose a replica, else a short wait for one, else the primary.

    `confirmed` is the newest instant at which a majority was asked on
    purpose and stood by the group's term.
    """
    record = group.record
    if requirements.token.term > record.term:
        return Refuse(reason=Reason.TOKEN_AHEAD)
    view = _View(
        group=group,
        row=row,
        needs=requirements,
        index=required_index(record, requirements.token),
        now=now,
        confirmed=max(confirmed, majority_confirmed_at(group)),
    )
    for role in (Role.REPLICA, Role.FENCED):
        found = [t for t in record.targets if view.may_serve(t, role)]
        if found:
            best = _pick(group, row, found, zone, draws)
            return view.read_at(best, replica=True)
    if now < requirements.wait_until and view.replica_is_near():
        return Wait(seconds=RECHECK)
    return _choose_primary(view)


def choose_write(group: Group, row: TableRow, now: float) -> SendWrite | None:
    """Return the primary if it is known to be one at the group's term.

    None means that the write has to wait: sent to a target that is silent
    or no primary any more, it would end as unknown or refused.
    """
    record = group.record
    target = find_target(group, record.primary)
    if target is None or _majority_has_left(group):
        return None
    state = group.state(target.name)
    if state.role is not Role.PRIMARY or state.term != record.term:
        return None
    if state.leaving or now - state.last_response_at > MAX_REPORT_AGE:
        return None
    return SendWrite(target=target, term=record.term)


def _majority_has_left(group: Group) -> bool:
    """Tell whether most targets are at a later term than the record.

    Without this a write is sent to a primary that does not know of its
    successor, and commits there; no majority will ever hold it, so its
    caller is told "unknown" of a write that need not have been sent. Terms
    only grow, so what has left does not come back.
    """
    record = group.record
    left = sum(
        group.state(target.name).term > record.term
        for target in record.targets
    )
    return left >= majority_size(len(record.targets))


def is_silent(group: Group, target: str, now: float) -> bool:
    """Tell whether a target that was heard before is not heard any more."""
    return -1e9 < group.state(target).last_response_at < now - LOST_AFTER


def reaches_majority(group: Group, now: float) -> bool:
    """Tell whether enough targets are heard to acknowledge a write.

    Those never heard count as reached: this process has only just begun to
    ask them. The loss of a majority that was heard is told at once, because
    no change of primary can be made from here either.
    None is in reach of a group whose targets were edited too far.
    """
    targets = group.record.targets
    lost = sum(is_silent(group, target.name, now) for target in targets)
    heard = len(targets) - lost
    return (
        heard >= majority_size(len(targets))
        and not group.record.majority_overlap_lost
    )


def required_index(record: GroupRecord, token: Position) -> int:
    """Return the index that holds a session's writes in today's log.

    Entries of an older term beyond the start of the next one were never
    acknowledged, so that start stands for whatever the position says.
    """
    for start in record.starts:
        if start.term > token.term:
            return min(token.index, start.index)
    return token.index


def satisfies(
    record: GroupRecord, token: Position, answered: Position
) -> bool:
    """Tell whether an answer's position covers a session's writes."""
    if answered.term < token.term:
        return False
    if answered.term == token.term:
        return answered.index >= token.index
    return answered.index >= required_index(record, token)


def fresh_since(
    row: TableRow, staleness: float | None, now: float
) -> float | None:
    """Return the instant whose writes must be seen, None if no age binds.

    The smaller of the caller's staleness and the row's limit counts.
    """
    bounds = [] if staleness is None else [staleness]
    if row.max_staleness_ms > 0:
        bounds.append(row.max_staleness_ms / 1000)
    return now - min(bounds) if bounds else None


def majority_confirmed_at(group: Group) -> float:
    """Return the newest instant at which a majority was at the group's term.

    Another primary needs a majority at a higher term first, and a majority
    that was asked at an instant and answered with the old term had not gone
    there by then.
    """
    record = group.record
    asked = sorted(
        (
            state.asked_at
            for target in record.targets
            if (state := group.state(target.name)).term == record.term
        ),
        reverse=True,
    )
    needed = majority_size(len(record.targets))
    return asked[needed - 1] if len(asked) >= needed else -1e9


def find_target(group: Group, name: str) -> Target | None:
    """Return the group's target of that name."""
    for target in group.record.targets:
        if target.name == name:
            return target
    return None


@dataclass(slots=True, kw_only=True)
class _View:
    """One read's look at a group."""

    group: Group
    row: TableRow
    needs: ReadRequirements
    index: int
    now: float
    confirmed: float

    def may_serve(self, target: Target, role: Role) -> bool:
        """Tell whether a target of the role holds all that is needed."""
        state = self.group.state(target.name)
        return (
            self._is_candidate(target, state, role)
            and state.applied >= self.index
            and self._is_fresh(state)
        )

    def replica_is_near(self) -> bool:
        """Tell whether some replica should be far enough within the wait.

        A replica that was level with its primary a moment ago lags by no
        more than that moment.
        """
        for target in self.group.record.targets:
            state = self.group.state(target.name)
            if not self._is_candidate(target, state, Role.REPLICA):
                continue
            behind = state.applied < self.index
            if behind and self.now - state.caught_up_at <= READ_WAIT * 2:
                return True
        return False

    def read_at(self, target: Target, *, replica: bool) -> SendRead:
        return SendRead(
            target=target,
            term=self.group.state(target.name).term,
            min_index=self.index,
            replica=replica,
        )

    def _is_candidate(
        self, target: Target, state: TargetState, role: Role
    ) -> bool:
        # The log of a target whose newest entry is of the group's term is a
        # beginning of that term's log. One with older entries may be a
        # former primary with entries that nobody else has, which follows but
        # has not yet dropped them.
        return (
            state.role is role
            and state.last_term == self.group.record.term
            and target.name not in self.needs.excluded
            and target.name not in self.row.leaving_targets
            and not state.leaving
            and self.now - state.last_response_at <= MAX_REPORT_AGE
            and _weight(self.row, target) > 0
        )

    def _is_fresh(self, state: TargetState) -> bool:
        since = self.needs.fresh_since
        if since is None:
            return True
        return min(state.caught_up_at, self.confirmed) >= since


def _choose_primary(view: _View) -> ReadChoice:
    group = view.group
    target = find_target(group, group.record.primary)
    if target is None or target.name in view.needs.excluded:
        return Refuse(reason=Reason.NO_PRIMARY)
    state = group.state(target.name)
    if state.role is not Role.PRIMARY or state.term != group.record.term:
        return Refuse(reason=Reason.NO_PRIMARY)
    if view.now - state.last_response_at > MAX_REPORT_AGE:
        return Refuse(reason=Reason.NO_PRIMARY)
    since = view.needs.fresh_since
    if since is not None and view.confirmed < since:
        return Confirm(since=since)
    return view.read_at(target, replica=False)


def _pick(
    group: Group,
    row: TableRow,
    found: Sequence[Target],
    zone: str,
    draws: Draws,
) -> Target:
    """Pick a site by weight, then the less loaded of two of its targets."""
    site = _pick_site(row, found, draws.site)
    near = [target for target in found if target.site == site]
    first = near.pop(int(draws.first * len(near)))
    if not near:
        return first
    second = near[int(draws.second * len(near))]
    return min(first, second, key=lambda t: _cost(group, t, zone))


def _pick_site(row: TableRow, found: Sequence[Target], draw: float) -> str:
    weights: dict[str, int] = {}
    for target in found:
        weights[target.site] = _weight(row, target)
    if not row.read_weights:
        # Without weights each target counts alike, wherever it is.
        for target in found:
            weights[target.site] = 0
        for target in found:
            weights[target.site] += 1
    left = draw * sum(weights.values())
    for site, weight in weights.items():
        left -= weight
        if left < 0:
            return site
    return found[-1].site


def _weight(row: TableRow, target: Target) -> int:
    if not row.read_weights:
        return 1
    return row.read_weights.get(target.site, 0)


def _cost(group: Group, target: Target, zone: str) -> tuple[float, int]:
    state = group.state(target.name)
    far = target.availability_zone != zone
    return state.in_flight + far * OTHER_ZONE_COST, -state.applied
