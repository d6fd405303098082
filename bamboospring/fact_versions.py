"""What of the shared facts is newer, and what a process may take.

A shared fact is a table shard, a group's record or the list of VMs. Each has
a version that the platform gave it. Nothing here ever replaces a fact by one
of a lower version, whoever offers it: a peer that was frozen, a watch that
lags and a copy kept through an outage all offer old facts, and an accepted
edit must not go out of force again.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import TableShard
from bamboospring.blackboard import Vm
from bamboospring.rendezvous import SHARD_COUNT

__all__ = [
    "NewerFacts",
    "FactVersions",
    "versions_digest",
    "newer_facts",
    "apply_group",
    "apply_shard",
    "apply_vms",
    "fact_versions",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class FactVersions:
    """The versions that a process has; 0 is "none"."""

    vms_revision: int
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class NewerFacts:
    """What one process has in a higher version than another."""

    vms: bool
    shards: tuple[int, ...]

    def __bool__(self) -> bool:
        return self.vms or bool(self.shards)


def fact_versions(board: Blackboard) -> FactVersions:
    """Return the versions of the blackboard's facts."""
    table = board.table
    shards = tuple(
        table[shard].version if shard in table else 0
        for shard in range(SHARD_COUNT)
    )
    return FactVersions(vms_revision=board.vms_revision, shards=shards)


def versions_digest(versions: FactVersions) -> int:
    """Return a number that is the same for the same versions, never 0.

    64 bits: two that differ by chance look the same once in 10^19 times, and
    only until the next edit.
    """
    numbers = (versions.vms_revision, *versions.shards)
    return xxh64_intdigest(" ".join(map(str, numbers)).encode()) or 1


def newer_facts(mine: FactVersions, theirs: FactVersions) -> NewerFacts:
    """Return what they have in a higher version."""
    pairs = enumerate(zip(mine.shards, theirs.shards, strict=False))
    return NewerFacts(
        vms=theirs.vms_revision > mine.vms_revision,
        shards=tuple(shard for shard, (ours, other) in pairs if other > ours),
    )


def apply_shard(board: Blackboard, shard: TableShard) -> bool:
    """Put a table shard in force if it is newer; say whether it was."""
    known = board.table.get(shard.shard)
    if known is not None and shard.version <= known.version:
        return False
    board.table[shard.shard] = shard
    return True


def apply_group(board: Blackboard, record: GroupRecord) -> bool:
    """Take a group's record if it is newer; say whether it was."""
    group = board.groups.get(record.name)
    if group is None:
        board.groups[record.name] = Group(record=record)
        return True
    if record.version <= group.record.version:
        return False
    group.record = record
    names = {target.name for target in record.targets}
    for name in list(group.states):
        if name not in names:
            del group.states[name]
    return True


def apply_vms(
    board: Blackboard, revision: int, vms: Iterable[Vm], now: float
) -> bool:
    """Take a list of VMs if it is newer; say whether it was."""
    if revision == board.vms_revision:
        board.vms_confirmed_at = now
    if revision <= board.vms_revision:
        return False
    board.vms_revision = revision
    board.vms = {vm.name: vm for vm in vms}
    board.vms_confirmed_at = now
    return True
