"""What is known of routes, groups and targets, as plain data.

Times are the reactor's, in seconds; durations are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from bamboospring.blackboard import Target
from bamboospring.sessions.freshness import SampleLog
from bamboospring.sessions.proofs import Proof
from bamboospring.sessions.quota_holders import QuotaHolders
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
    "Outgoing",
    "Route",
    "SessionBoard",
    "ListedTarget",
    "ObservedTarget",
    "Team",
]

# A target that was never used counts as this fast, in seconds.
FIRST_LATENCY = 0.02
# The estimate of a target's latency follows each answer by this part.
LATENCY_SMOOTHING = 0.1
# A new primary is told before it is proven; the proof takes a call to the
# store, and comes within this many seconds or not soon.
FIRST_PROOF_WITHIN = 0.4
# Until it is told, a VM takes this for the number of VMs.
FEWEST_VMS = 9
# Seconds that a change of primary takes from the moment at which it is told:
# most of it is the promotion itself.
FIRST_CHANGE_TIME = 1.3
# Each lost or failed answer adds this to a target's trouble, each good one
# takes this part of it away.
TROUBLE_STEP = 1.0
TROUBLE_DECAY = 0.1
MOST_TROUBLE = 8.0


class Freshness(Enum):
    """What a route's reads must have seen."""

    PRIMARY = "primary"
    BOUNDED = "bounded"
    OWN_WRITES = "own_writes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where the statements of one database go, and how.

    `time_limit` bounds one statement, `objective` is the time in which a
    whole operation should be done, `max_age` the age of data that reads
    accept (None: no age is accepted). The lowest `urgency` goes first. An
    `anonymous` route needs no key.
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
    """Who callers work for, and how much of that all VMs may let in.

    `rate` is in operations a second, None: without a limit; `burst` is how
    many may come at once.
    """

    name: str
    rate: float | None = None
    burst: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupLimits:
    """What a group allows: connections to each of its targets.

    `receipts` is the number of replicas that hold a commit before it is
    acknowledged.
    """

    name: str
    max_connections: int
    sync_replicas: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """One accepted configuration: routes by database, groups by name.

    `teams` is None where callers need no key; `keys` has the team of each
    key, by the key's digest. `least_urgent` has for each group what its last
    routes have; it is worked out once, since there may be thousands of routes.
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
    """What a target says of itself in the platform's list.

    `leads` is its own belief that it is the primary; a primary that is
    leaving may be used until `usable_until`.
    """

    target: Target
    group: str
    leaving: bool = False
    is_primary: bool = False
    usable_until: float = float("inf")


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingChange:
    """A change of primary that has begun and is not recorded as done.

    `term` is what the targets are told to hold; `vm` and `nonce` name the
    process that leads it. Only `candidate` is promoted under this record; for
    another one the record is stored anew first.
    """

    term: int
    vm: str
    nonce: str
    cause: str
    candidate: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class PrimaryRecord(VersionedState):
    """What has been agreed of a group's primary."""

    group: str
    term: int
    primary: str
    change: PendingChange | None = None


@dataclass(slots=True, kw_only=True)
class ObservedTarget:
    """What this process has seen of one life of a target.

    `applied` is the newest position that the target has shown, at
    `applied_at`. Until `behind_until` it is not tried for reads that need
    more than that. `heard_at` is when it last answered anything.
    """

    in_flight: int = 0
    latency: float = FIRST_LATENCY
    failure_score: float = 0.0
    applied: Position = Position()
    applied_at: float = -1e9
    behind_until: float = -1e9
    last_response_at: float = -1e9

    def record_answer(self, seconds: float, now: float) -> None:
        """Note a good answer after `seconds`."""
        self.latency += LATENCY_SMOOTHING * (seconds - self.latency)
        self.failure_score -= TROUBLE_DECAY * self.failure_score
        self.last_response_at = now

    def record_failure(self) -> None:
        """Note an answer that was lost, or told of a fault of the target."""
        self.failure_score = min(
            MOST_TROUBLE, self.failure_score + TROUBLE_STEP
        )

    def record_applied(self, position: Position, now: float) -> None:
        """Note a position that the target has shown."""
        if position >= self.applied:
            self.applied = position
            self.applied_at = now


@dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A primary that is being replaced and the last proof of it.

    Nothing new is sent there; what it answers while the proof holds stands.
    """

    target: str
    proof: Proof


@dataclass(slots=True, kw_only=True)
class SessionGroup:
    """A group: what is agreed of it and what was seen of its targets."""

    name: str
    record: PrimaryRecord | None = None
    unsettled: UnsettledState | None = None
    proof: Proof = field(default_factory=Proof)
    samples: SampleLog = field(default_factory=SampleLog)
    targets: dict[str, ListedTarget] = field(default_factory=dict)
    observed_targets: dict[str, ObservedTarget] = field(default_factory=dict)
    outgoing_primary: Outgoing | None = None
    is_changing: bool = False
    change_seen_at: float = -1e9
    settled_at: float = -1e9

    def observed_target(self, name: str) -> ObservedTarget:
        """Return what was seen of a target, creating an empty view."""
        found = self.observed_targets.get(name)
        if found is None:
            found = self.observed_targets[name] = ObservedTarget()
        return found

    def primary(self) -> ListedTarget | None:
        """Return the agreed primary, None while it is being changed."""
        agreed = self.record
        if agreed is None or agreed.change is not None:
            return None
        return self.targets.get(agreed.primary)

    def change_expected_at(self, change_time: float) -> float | None:
        """Return when a change under way should be over, None if none is."""
        if self.is_changing:
            return self.change_seen_at + change_time
        return None

    def first_proof_due_at(self, now: float) -> float | None:
        """Return when a new primary's first proof should have come.

        None if there is a proof, or if it is overdue.
        """
        due = self.settled_at + FIRST_PROOF_WITHIN
        if now >= due or self.proof.covers(now):
            return None
        return due

    def record_position(
        self, target: str, position: Position, sent_at: float, now: float
    ) -> None:
        """Take a position that a target has shown in an answer.

        What a proven primary shows holds every commit acknowledged before it
        was asked, and so is a sample of the group's log.
        """
        self.observed_target(target).record_applied(position, now)
        news = self.primary()
        if news is not None and news.target.name == target:
            if self.proof.covers(sent_at):
                self.samples.add(sent_at, position)

    def is_answer_valid(self, target: str, now: float) -> bool:
        """Tell whether what a target has just answered counts.

        It does if no other primary can have been promoted by now.
        """
        outgoing = self.outgoing_primary
        if outgoing is not None and outgoing.target == target:
            return outgoing.proof.covers(now)
        news = self.primary()
        if news is None or news.target.name != target:
            return False
        return self.proof.covers(now)


@dataclass(slots=True, kw_only=True)
class SessionBoard:
    """The one view that the controllers of sessions share.

    `targets_seen_at` is when the list of targets that is in force was asked
    for, `change_time` how long a change of primary usually takes, `vms` how
    many VMs share the targets' connections.

    The store had no newer configuration than `catalog` at
    `catalog_confirmed_at`. A key may be used for `key_life` seconds after
    that; None: until a configuration takes it away.
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
    change_duration: float = FIRST_CHANGE_TIME
    vm_count: int = FEWEST_VMS
    draining: bool = False

    def is_urgent(self, route: Route) -> bool:
        """Tell whether a route goes before some others of its group."""
        if self.catalog is None:
            return False
        least = self.catalog.least_urgent.get(route.group, route.urgency)
        return route.urgency < least

    def group(self, name: str) -> SessionGroup:
        """Return the view of a group, creating an empty one."""
        found = self.groups.get(name)
        if found is None:
            found = self.groups[name] = SessionGroup(name=name)
        return found

    def route(self, database: str) -> Route | None:
        """Return the route of a database in the catalog in force."""
        if self.catalog is None:
            return None
        return self.catalog.routes.get(database)
