"""Versions of the shared facts, and updates to newer versions.

A shared fact is a table shard, a group's record or the list of VMs. Each has
a version assigned by the platform. A fact is never replaced by a lower
version, whatever its source: a peer that was frozen, a lagging watch and a
copy kept during an outage all offer old facts, and an accepted edit must stay
in force.
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
    "FactVersions",
    "NewerFacts",
    "apply_group",
    "apply_shard",
    "apply_vms",
    "fact_versions",
    "newer_facts",
    "versions_digest",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class FactVersions:
    """The versions that a process has; 0 if it has none."""

    vms_revision: int
    shards: tuple[int, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class NewerFacts:
    """The facts of which one process has a higher version than another."""

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
    """Return a 64-bit digest of versions, which is never 0.

    Different versions collide with a probability of 1 in 10^19, and only until
    the next edit.
    """
    numbers = (versions.vms_revision, *versions.shards)
    return xxh64_intdigest(" ".join(map(str, numbers)).encode()) or 1


def newer_facts(mine: FactVersions, theirs: FactVersions) -> NewerFacts:
    """Return the facts of which `theirs` has the higher version."""
    pairs = enumerate(zip(mine.shards, theirs.shards, strict=False))
    return NewerFacts(
        vms=theirs.vms_revision > mine.vms_revision,
        shards=tuple(shard for shard, (ours, other) in pairs if other > ours),
    )


def apply_shard(board: Blackboard, shard: TableShard) -> bool:
    """Apply a table shard if it is newer; return whether it was."""
    known = board.table.get(shard.shard)
    if known is not None and shard.version <= known.version:
        return False
    board.table[shard.shard] = shard
    return True


def apply_group(board: Blackboard, record: GroupRecord) -> bool:
    """Apply a group's record if it is newer; return whether it was."""
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
    """Apply a list of VMs if it is newer; return whether it was."""
    if revision == board.vms_revision:
        board.vms_confirmed_at = now
    if revision <= board.vms_revision:
        return False
    board.vms_revision = revision
    board.vms = {vm.name: vm for vm in vms}
    board.vms_confirmed_at = now
    return True
