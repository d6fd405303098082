"""Data model of routes, groups and targets.

Times are the reactor's, in seconds; durations are in seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from bamboospring.blackboard import Target
from bamboospring.sessions.freshness import SampleLog
from bamboospring.sessions.overdue import OverdueStatistics
from bamboospring.sessions.overdue import ResponseTimes
from bamboospring.sessions.proofs import Proof
from bamboospring.sessions.quota_holders import QuotaHolders
from bamboospring.sessions.stop_plan import StopPlan
from bamboospring.statements import Position
from bamboospring.store_version import UnsettledState
from bamboospring.store_version import VersionedState

__all__ = [
    "Catalog",
    "PendingChange",
    "Freshness",
    "GroupLimits",
    "SessionGroup",
    "PrimaryRecord",
    "OutgoingPrimary",
    "Route",
    "SessionBoard",
    "ListedTarget",
    "ObservedTarget",
    "Team",
]

# Assumed latency in seconds of a target that was never used.
INITIAL_LATENCY = 0.02
# Smoothing factor of the estimated latency of a target.
LATENCY_SMOOTHING = 0.1
# Seconds to wait for the first proof of a new primary. Its record arrives
# before the proof, which takes one call to the store; a proof that takes
# longer than this is not expected soon.
FIRST_PROOF_TIMEOUT = 0.4
# Number of VMs that a VM assumes until it knows the real one.
INITIAL_VM_COUNT = 9
# Initial estimate of the seconds from a VM's first notice of a change of
# primary to its end. Most of it is the promotion itself.
INITIAL_CHANGE_DURATION = 1.3
# A lost answer or a fault adds FAILURE_SCORE_STEP to a target's failure score;
# a good answer removes the fraction FAILURE_SCORE_DECAY of it.
FAILURE_SCORE_STEP = 1.0
FAILURE_SCORE_DECAY = 0.1
MAX_FAILURE_SCORE = 8.0


class Freshness(Enum):
    """Which commits a route's reads must have seen."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How the statements of one database are routed.

    `time_limit` is the timeout of one statement, `objective` the time in which
    a whole operation should be done, `max_age` the maximum staleness that
    reads accept (None: stale data is not accepted). Statements of the lowest
    `urgency` go first. An `anonymous` route needs no key.
    """

    name: str
    database: str
    group: str
    freshness: Freshness
    time_limit: float
    objective: float
    urgency: int = 0
    max_age: float | None = None
    anonymous: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Team:
    """A team of callers and its quota over all VMs.

    `rate` is in operations per second, None without a limit; `burst` is the
    maximum number at once.
    """

    name: str
    rate: float | None = None
    burst: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupLimits:
    """The settings of a group.

    `max_connections` is the limit for each of its targets. `sync_replicas` is
    the number of replicas that hold a commit before it is acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """One accepted configuration: routes by database, groups by name.

    `teams` is None if callers need no key; `keys` has the team of each key, by
    the key's digest. `least_urgent` has the highest urgency value of each
    group's routes; it is computed once, because there may be thousands of
    routes.
    """

    version: int
    routes: dict[str, Route] = field(default_factory=dict)
    groups: dict[str, GroupLimits] = field(default_factory=dict)
    transaction_idle_timeout: float = 3.0
    teams: dict[str, Team] | None = None
    keys: dict[str, str] = field(default_factory=dict)
    least_urgent: dict[str, int] = field(init=False)

    def __post_init__(self) -> None:
        least: dict[str, int] = {}
        for route in self.routes.values():
            known = least.get(route.group, route.urgency)
            least[route.group] = max(known, route.urgency)
        object.__setattr__(self, "least_urgent", least)


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedTarget:
    """A target's entry in the platform's list.

    `is_primary` is whether the target itself reports that it is the primary.
    A primary that is leaving may be used until `usable_until`. `created` is
    the version of the list since which the entry has been in it, 0 if that is
    unknown.
    """

    target: Target
    group: str
    leaving: bool = False
    is_primary: bool = False
    usable_until: float = float("inf")
    created: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingChange:
    """A change of primary that has begun and is not recorded as done.

    `term` is the term that targets are ordered to hold; `vm` and `nonce`
    identify the process that leads the change. Only `candidate` is promoted
    under this record; to promote another target the record is stored again
    first.
    """

    term: int
    vm: str
    nonce: str
    cause: str
    candidate: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryRecord(VersionedState):
    """The record of a group's primary, as stored."""

    group: str
    term: int
    primary: str
    change: PendingChange | None = None


@dataclass(slots=True, kw_only=True)
class ObservedTarget:
    """What this process has observed of a target since the target started.

    `applied` is the newest position that the target has reported, at
    `applied_at`. Until `behind_until` it is not tried for reads that need a
    later position. `last_response_at` is when it last answered any request.
    `latency` includes the holders' queues, unlike `responses`, which are the
    response times of reads on connections of this process.
    """

    in_flight: int = 0
    latency: float = INITIAL_LATENCY
    failure_score: float = 0.0
    applied: Position = Position()
    applied_at: float = -1e9
    behind_until: float = -1e9
    last_response_at: float = -1e9
    responses: ResponseTimes = field(default_factory=ResponseTimes)
    overdue: OverdueStatistics = field(default_factory=OverdueStatistics)

    def record_answer(self, seconds: float, now: float) -> None:
        """Record a good answer that took `seconds`."""
        self.latency += LATENCY_SMOOTHING * (seconds - self.latency)
        self.failure_score -= FAILURE_SCORE_DECAY * self.failure_score
        self.last_response_at = now

    def record_failure(self) -> None:
        """Record an answer that was lost or reported a fault of the target."""
        self.failure_score = min(
            MAX_FAILURE_SCORE, self.failure_score + FAILURE_SCORE_STEP
        )

    def record_overdue(
        self, *, sent_at: float, now: float, is_read: bool
    ) -> None:
        """Record a statement whose response is overdue."""
        self.overdue.overdue += 1
        if is_read and self.responses.record_overdue(sent_at=sent_at, now=now):
            self.latency += LATENCY_SMOOTHING * (now - sent_at - self.latency)

    def record_applied(self, position: Position, now: float) -> None:
        """Record a position that the target has reported."""
        if position >= self.applied:
            self.applied = position
            self.applied_at = now


@dataclass(frozen=True, slots=True, kw_only=True)
class OutgoingPrimary:
    """A primary that is being replaced and the last proof of it.

    No new requests go to it. Its answers are valid while the proof is.
    """

    target: str
    proof: Proof


@dataclass(slots=True, kw_only=True)
class SessionGroup:
    """A group: its record, its targets and what was observed of them.

    `change_seen_at` is when this process first saw the change under way,
    `primary_set_at` when it last applied a record without a change.
    """

    name: str
    record: PrimaryRecord | None = None
    unsettled: UnsettledState | None = None
    proof: Proof = field(default_factory=Proof)
    samples: SampleLog = field(default_factory=SampleLog)
    targets: dict[str, ListedTarget] = field(default_factory=dict)
    observed_targets: dict[str, ObservedTarget] = field(default_factory=dict)
    outgoing_primary: OutgoingPrimary | None = None
    is_changing: bool = False
    change_seen_at: float = -1e9
    primary_set_at: float = -1e9

    def observed_target(self, name: str) -> ObservedTarget:
        """Return the observations of a target, creating empty ones."""
        found = self.observed_targets.get(name)
        if found is None:
            found = self.observed_targets[name] = ObservedTarget()
        return found

    def primary(self) -> ListedTarget | None:
        """Return the recorded primary, None while it is being changed."""
        record = self.record
        if record is None or record.change is not None:
            return None
        return self.targets.get(record.primary)

    def change_expected_at(self, change_duration: float) -> float | None:
        """Return when the change under way should end, None without one."""
        if self.is_changing:
            return self.change_seen_at + change_duration
        return None

    def first_proof_due_at(self, now: float) -> float | None:
        """Return when the first proof of a new primary is due.

        Return None if there is a proof or if it is overdue.
        """
        due = self.primary_set_at + FIRST_PROOF_TIMEOUT
        if now >= due or self.proof.covers(now):
            return None
        return due

    def record_position(
        self, target: str, position: Position, sent_at: float, now: float
    ) -> None:
        """Record a position that a target has reported in an answer.

        A position from a proven primary includes every commit acknowledged
        before the request was sent, so it is a sample of the group's log.
        """
        self.observed_target(target).record_applied(position, now)
        primary = self.primary()
        if primary is not None and primary.target.name == target:
            if self.proof.covers(sent_at):
                self.samples.add(sent_at, position)

    def is_answer_valid(self, target: str, now: float) -> bool:
        """Return whether an answer received now from a primary is valid.

        It is if no other target can have been promoted by now.
        """
        outgoing = self.outgoing_primary
        if outgoing is not None and outgoing.target == target:
            return outgoing.proof.covers(now)
        primary = self.primary()
        if primary is None or primary.target.name != target:
            return False
        return self.proof.covers(now)


@dataclass(slots=True, kw_only=True)
class SessionBoard:
    """State that the controllers of sessions share.

    `targets_seen_at` is when the current list of targets was requested,
    `targets_version` the store's version that it shows (0: unknown),
    `change_duration` how long a change of primary usually takes, `vm_count`
    how many VMs share the targets' connections. `load_control` enables the
    decisions of docs/design/load_control.md.

    The store had no newer configuration than `catalog` at
    `catalog_confirmed_at`. A key may be used for `key_lifetime` seconds after
    that; None means until a configuration removes it.
    """

    vm: str
    availability_zone: str
    catalog: Catalog | None = None
    catalog_confirmed_at: float = -1e9
    key_lifetime: float | None = None
    quota_holders: QuotaHolders | None = None
    quota_unsettled: UnsettledState | None = None
    groups: dict[str, SessionGroup] = field(default_factory=dict)
    targets_seen_at: float = -1e9
    targets_version: int = 0
    change_duration: float = INITIAL_CHANGE_DURATION
    vm_count: int = INITIAL_VM_COUNT
    stop_plan: StopPlan | None = None
    load_control: bool = False

    @property
    def draining(self) -> bool:
        """Return whether this VM was told to stop."""
        return self.stop_plan is not None

    def accepts_operations(self, now: float) -> bool:
        """Return whether a session, statement or transaction may begin."""
        plan = self.stop_plan
        return plan is None or plan.accepts_operations(now)

    def accepts_transactions(self, now: float) -> bool:
        """Return whether transactions that are open may go on."""
        plan = self.stop_plan
        return plan is None or plan.accepts_transactions(now)

    def is_urgent(self, route: Route) -> bool:
        """Return whether a route has precedence over others of its group."""
        if self.catalog is None:
            return False
        least = self.catalog.least_urgent.get(route.group, route.urgency)
        return route.urgency < least

    def group(self, name: str) -> SessionGroup:
        """Return the state of a group, creating an empty one."""
        found = self.groups.get(name)
        if found is None:
            found = self.groups[name] = SessionGroup(name=name)
        return found

    def sync_replicas(self, group: str) -> int:
        """Return how many replicas receive a commit before it is told.

        Without a catalog it is unknown, so one is assumed.
        """
        if self.catalog is None:
            return 1
        limits = self.catalog.groups.get(group)
        return limits.sync_replicas if limits is not None else 0

    def route(self, database: str) -> Route | None:
        """Return the route of a database in the current catalog."""
        if self.catalog is None:
            return None
        return self.catalog.routes.get(database)
