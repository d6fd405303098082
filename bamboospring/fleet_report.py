"""Bring the statuses of many VMs together into what an operator asks.

Pure functions on the data of `/fleet.json`: which groups have a primary, who
leads, how far replicas are behind, and which VMs lack the newest table.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

__all__ = ["Fleet", "GroupLine", "Use", "VmLine", "summarise"]

# Holders hear each target at least once a second while it answers.
SILENT_MS = 5_000


@dataclass(frozen=True, slots=True, kw_only=True)
class VmLine:
    """One VM as operators see it; `behind` names shards not in force."""

    vm: str
    availability_zone: str
    state: str
    version: str = ""
    uptime_s: int = 0
    behind: tuple[str, ...] = ()
    leases: tuple[int, ...] = ()
    groups: int = 0
    memory_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Use:
    """How much of a limit all holders use, summed over a group's targets.

    `shared` is what the holders may use together. It is below the limit for a
    while when holders change, and never above it.
    """

    used: int
    shared: int
    limit: int

    def __str__(self) -> str:
        return f"{self.used}/{self.shared}/{self.limit}"


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupLine:
    """One group as its holders see it."""

    group: str
    term: int
    primary: str
    steward: str
    holders: tuple[str, ...]
    targets: tuple[Mapping[str, Any], ...]
    slots: Use
    connections: Use
    waiting: int
    problems: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """The whole: VMs, groups, and the newest version of each shard."""

    vms: tuple[VmLine, ...]
    groups: tuple[GroupLine, ...]
    shards: dict[str, int]

    @property
    def good(self) -> bool:
        """Tell whether nothing here needs an operator."""
        return all(not each.problems for each in self.groups) and all(
            each.state == "ready" and not each.behind for each in self.vms
        )


def summarise(found: Mapping[str, Any]) -> Fleet:
    """Return the fleet from the data of `/fleet.json`."""
    statuses: Sequence[Mapping[str, Any]] = found["vms"]
    newest = _newest_shards(statuses)
    stewards = {
        lease["bucket"]: status["vm"]
        for status in statuses
        for lease in status["leases"]
    }
    lines = [_vm_line(status, newest) for status in statuses]
    lines += [
        VmLine(
            vm=each["vm"],
            availability_zone=each["availability_zone"],
            state="silent",
        )
        for each in found["silent"]
    ]
    return Fleet(
        vms=tuple(sorted(lines, key=lambda line: line.vm)),
        groups=_group_lines(statuses, stewards),
        shards=newest,
    )


def _newest_shards(statuses: Sequence[Mapping[str, Any]]) -> dict[str, int]:
    newest: dict[str, int] = {}
    for status in statuses:
        for shard, version in status["shards"].items():
            newest[shard] = max(version, newest.get(shard, 0))
    return newest


def _vm_line(status: Mapping[str, Any], newest: Mapping[str, int]) -> VmLine:
    behind = tuple(
        shard
        for shard, version in newest.items()
        if status["shards"].get(shard, 0) < version
    )
    state = "ready" if status["ready"] else "not ready"
    return VmLine(
        vm=status["vm"],
        availability_zone=status["availability_zone"],
        state="draining" if status["draining"] else state,
        version=status["version"],
        uptime_s=round(status["at"] - status["started_at"]),
        behind=behind,
        leases=tuple(lease["bucket"] for lease in status["leases"]),
        groups=len(status["groups"]),
        memory_bytes=status["process"]["memory_bytes"],
    )


def _group_lines(
    statuses: Sequence[Mapping[str, Any]], stewards: Mapping[int, str]
) -> tuple[GroupLine, ...]:
    seen: dict[str, list[Mapping[str, Any]]] = {}
    for status in statuses:
        for name, group in status["groups"].items():
            seen.setdefault(name, []).append(group)
    return tuple(
        _group_line(name, views, stewards)
        for name, views in sorted(seen.items())
    )


def _group_line(
    name: str, views: Sequence[Mapping[str, Any]], stewards: Mapping[int, str]
) -> GroupLine:
    # Of several holders the one with the highest version is the newest.
    view = max(views, key=lambda each: each["version"])
    steward = stewards.get(view["bucket"], "")
    return GroupLine(
        group=name,
        term=view["term"],
        primary=view["primary"],
        steward=steward,
        holders=tuple(view["holders"]),
        targets=tuple(view["targets"]),
        slots=_use(views, "slots"),
        connections=_use(views, "connections"),
        waiting=sum(
            target["here"]["waiting"]
            for each in views
            for target in each["targets"]
        ),
        problems=tuple(_problems(view, views, steward)),
    )


def _use(views: Sequence[Mapping[str, Any]], name: str) -> Use:
    parts = [target["here"] for each in views for target in each["targets"]]
    return Use(
        used=sum(part[name] for part in parts),
        shared=sum(part[f"{name}_share"] for part in parts),
        limit=sum(target[name] for target in views[0]["targets"]),
    )


def _problems(
    view: Mapping[str, Any], views: Sequence[Mapping[str, Any]], steward: str
) -> list[str]:
    problems = []
    if not view["primary"]:
        problems.append("no primary")
    if not steward:
        problems.append("no steward")
    for name in ("slots", "connections"):
        use = _use(views, name)
        if use.shared > use.limit:
            problems.append(f"{name} shared out over the limit")
    for target in view["targets"]:
        name = target["name"]
        heard = target["heard_ms"]
        if heard is None or heard > SILENT_MS:
            problems.append(f"{name} not heard")
        elif target["term"] != view["term"]:
            problems.append(f"{name} at term {target['term']}")
        elif target["role"] == "fenced":
            problems.append(f"{name} fenced")
    return problems
