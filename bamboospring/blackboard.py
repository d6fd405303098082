"""What this process knows, as plain data with the time of each fact.

Adapters write facts here, controllers read them and answer with actions.
Nothing in this module does I/O or asks for the time: every instant is a
monotonic number of seconds that the adapter passes in.
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
    """What a target does in its group at its term."""

    PRIMARY = "primary"
    REPLICA = "replica"
    FENCED = "fenced"
    UNKNOWN = "unknown"


class Liveness(str, Enum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One VM of the system, as the platform's list has it."""

    name: str
    address: str
    availability_zone: str
    region: str = ""
    liveness: Liveness = Liveness.LIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """One member of a database group: where it is and what it allows.

    `slots` is the number of statements that may execute at once and
    `connections` the number of statement connections, over all holders.
    `born` tells one life of the target from the next where it is known.
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
    """What has been agreed of a group in the platform's object.

    `primary` is empty while a change of primary is under way. `starts` holds
    the newest terms' opening entries, oldest first; a position of an older
    term counts for at most the start of the next term, because entries
    beyond it were never acknowledged and may be gone. `settled` names the
    targets that the group had when its primary was last recorded, as far as
    known; `torn` says that the targets were edited too far since then: a
    majority of the old ones need not have any target in common with one of
    the new.
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
    """What this process has last seen of a target.

    `seen_at` is when the target last answered, `asked_at` when that question
    was sent: what an answer says was true no earlier than `asked_at`.
    `fresh_at` is the newest instant at which the target is known to have
    applied everything that its primary had then acknowledged.
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

    Weights map a site to a share of the work, 0 to 100. A site that is not
    named has weight 0; an empty mapping means that all sites are alike.
    Limits of 0 mean: as the target allows.
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
    """Some rows of the table, accepted together under one version."""

    shard: int
    version: int = 0
    rows: dict[str, TableRow] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """The leadership of one bucket of groups as this process sees it.

    `valid_until` is set only for our own lease: the end of its life, counted
    from before the renewal was sent. `seen_at` is when this version was
    first seen here; another VM may take the lease over once the version has
    not moved for the whole duration.
    """

    bucket: int
    vm: str = ""
    version: int = 0
    duration: float = 0.0
    version_seen_at: float = -1e9
    valid_until: float = -1e9


@dataclass(slots=True, kw_only=True)
class Group:
    """A database group: the agreed record and what was seen of its targets."""

    record: GroupRecord
    states: dict[str, TargetState] = field(default_factory=dict)

    def state(self, name: str) -> TargetState:
        """Return what was seen of a target, creating an empty state."""
        found = self.states.get(name)
        if found is None:
            found = self.states[name] = TargetState(name=name)
        return found


@dataclass(slots=True, kw_only=True)
class Blackboard:
    """The one view of the world that all controllers of a process share.

    `groups` has the records of the groups that this VM holds or may lead;
    `group_names` has the names of all groups once `names_complete`; before, a
    name that is not there may still be a group's. While `starting`, the facts
    are not yet as new as an earlier life of this process may have had them.
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
        """Say whether there is a group of this name."""
        return name in self.groups or name in self.group_names

    def row(self, group: str, shard: int) -> TableRow:
        """Return the row in force for a group, or one that sets nothing."""
        found = self.table.get(shard)
        row = found.rows.get(group) if found is not None else None
        return row if row is not None else TableRow(group=group)
