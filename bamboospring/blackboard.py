"""The state of this process as plain data, with the time of each fact.

Adapters write facts to the blackboard; controllers read them and return
actions. Nothing in this module does I/O or reads a clock: every instant is a
monotonic time in seconds that the adapter passes in.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

__all__ = [
    "Blackboard",
    "Group",
    "GroupRecord",
    "Lease",
    "Liveness",
    "Role",
    "TableRow",
    "TableShard",
    "Target",
    "TargetState",
    "TermStart",
    "Vm",
]


class Role(str, Enum):
    """The role of a target in its group at its term."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class Liveness(str, Enum):
    """The state of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One VM, as recorded in the platform's list."""

    name: str
    address: str
    availability_zone: str
    region: str = ""
    liveness: Liveness = Liveness.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One member of a database group: its location and its limits.

    `slots` is the maximum number of statements that execute at once and
    `connections` the maximum number of statement connections, summed over all
    holders. `born` distinguishes successive processes of the target; 0 where
    it is unknown.
    """

    name: str
    address: str
    availability_zone: str
    site: str
    slots: int = 3
    connections: int = 20
    born: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TermStart:
    """The log index of the entry that opened a term."""

    term: int
    index: int


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupRecord:
    """The agreed state of a group, as stored in the platform's object.

    `primary` is empty during a change of primary. `starts` holds the opening
    entries of the newest terms, oldest first; a position of an older term
    counts for at most the start of the next term, because entries beyond it
    were never acknowledged and may be lost. `settled` names the targets that
    the group had when its primary was last recorded, if known.
    `majority_overlap_lost` is true if the targets were edited so much since
    then that a majority of the old ones and a majority of the new ones may
    have no target in common.
    """

    name: str
    targets: tuple[Target, ...]
    term: int = 0
    primary: str = ""
    starts: tuple[TermStart, ...] = ()
    settled: tuple[str, ...] = ()
    majority_overlap_lost: bool = False
    version: int = 0


@dataclass(slots=True, kw_only=True)
class TargetState:
    """The last observed state of a target.

    `last_response_at` is when the target last answered and `asked_at` when
    that request was sent: the answer was true no earlier than `asked_at`.
    `caught_up_at` is the newest instant at which the target is known to have
    applied everything that its primary had acknowledged by then.
    """

    name: str
    term: int = 0
    role: Role = Role.UNKNOWN
    received: int = 0
    applied: int = 0
    last_term: int = 0
    leaving: bool = False
    asked_at: float = -1e9
    last_response_at: float = -1e9
    caught_up_at: float = -1e9
    in_flight: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TableRow:
    """One row of the operators' table.

    Weights map a site to its share of the work, 0 to 100. A site that is not
    listed has weight 0; an empty mapping gives all sites equal weight. A
    limit of 0 means that the target's own limit applies.
    """

    group: str
    read_weights: dict[str, int] = field(default_factory=dict)
    write_weights: dict[str, int] = field(default_factory=dict)
    max_connections: int = 0
    max_slots: int = 0
    max_staleness_ms: int = 0
    leaving_targets: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class TableShard:
    """A shard of the table, whose rows share one version."""

    shard: int
    version: int = 0
    rows: dict[str, TableRow] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """The lease of one bucket of groups, as observed by this process.

    `valid_until` is set only for a lease of this VM: it is the expiry time,
    counted from before the renewal was sent. `version_seen_at` is when this
    version was first observed here; another VM may take the lease over once
    the version has not changed for the whole duration.
    """

    bucket: int
    vm: str = ""
    version: int = 0
    duration: float = 0.0
    version_seen_at: float = -1e9
    valid_until: float = -1e9


@dataclass(slots=True, kw_only=True)
class Group:
    """A database group: its record and its targets' observed states."""

    record: GroupRecord
    states: dict[str, TargetState] = field(default_factory=dict)

    def state(self, name: str) -> TargetState:
        """Return a target's observed state; create an empty one if needed."""
        found = self.states.get(name)
        if found is None:
            found = self.states[name] = TargetState(name=name)
        return found


@dataclass(slots=True, kw_only=True)
class Blackboard:
    """The state that all controllers of a process share.

    `groups` has the records of the groups that this VM holds or may lead.
    `group_names` has the names of all groups once `names_complete` is true;
    before that, a group may exist although its name is missing. While
    `starting` is true, the facts may be older than those that this process
    had in force before its last restart.
    """

    local_vm: Vm
    vms: dict[str, Vm] = field(default_factory=dict)
    vms_revision: int = 0
    vms_confirmed_at: float = -1e9
    groups: dict[str, Group] = field(default_factory=dict)
    group_names: set[str] = field(default_factory=set)
    names_complete: bool = False
    table: dict[int, TableShard] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    starting: bool = False
    draining: bool = False

    def knows_group(self, name: str) -> bool:
        """Return whether a group of this name is known."""
        return name in self.groups or name in self.group_names

    def row(self, group: str, shard: int) -> TableRow:
        """Return the row in force for a group, or an empty row."""
        found = self.table.get(shard)
        row = found.rows.get(group) if found is not None else None
        return row if row is not None else TableRow(group=group)
