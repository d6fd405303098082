"""Summarize the statuses of all VMs for operators.

Pure functions on the data of `/fleet.json`: which groups have a primary and a
steward, how far replicas lag behind, and which VMs lack the newest table.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

__all__ = [
    "FleetSummary",
    "GroupSummary",
    "LimitUsage",
    "VmSummary",
    "summarize_fleet",
]

# Holders get an answer from each live target at least once a second.
UNRESPONSIVE_MS = 5_000


@dataclass(frozen=True, slots=True, kw_only=True)
class VmSummary:
    """Summary of a VM.

    `outdated_shards` names the shards whose newest version is not in force.
    """

    vm: str
    availability_zone: str
    state: str
    version: str = ""
    uptime_s: int = 0
    outdated_shards: tuple[str, ...] = ()
    leases: tuple[int, ...] = ()
    groups: int = 0
    memory_bytes: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitUsage:
    """Usage of a limit by all holders, summed over a group's targets.

    `shared` is the sum of the holders' shares. It is temporarily below the
    limit while holders change, and must never exceed it.
    """

    used: int
    shared: int
    limit: int

    def __str__(self) -> str:
        return f"{self.used}/{self.shared}/{self.limit}"


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupSummary:
    """Summary of a group, from the statuses of its holders."""

    group: str
    term: int
    primary: str
    steward: str
    holders: tuple[str, ...]
    targets: tuple[Mapping[str, Any], ...]
    slots: LimitUsage
    connections: LimitUsage
    waiting: int
    problems: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSummary:
    """Summary of the fleet: VMs, groups, newest version of each shard."""

    vms: tuple[VmSummary, ...]
    groups: tuple[GroupSummary, ...]
    shards: dict[str, int]

    @property
    def is_healthy(self) -> bool:
        """Return whether nothing needs an operator's attention."""
        return all(not each.problems for each in self.groups) and all(
            each.state == "ready" and not each.outdated_shards
            for each in self.vms
        )


def summarize_fleet(data: Mapping[str, Any]) -> FleetSummary:
    """Return the summary of the data of `/fleet.json`."""
    statuses: Sequence[Mapping[str, Any]] = data["vms"]
    newest = _newest_shards(statuses)
    stewards = {
        lease["bucket"]: status["vm"]
        for status in statuses
        for lease in status["leases"]
    }
    vms = [_vm_summary(status, newest) for status in statuses]
    vms += [
        VmSummary(
            vm=each["vm"],
            availability_zone=each["availability_zone"],
            state="silent",
        )
        for each in data["silent"]
    ]
    return FleetSummary(
        vms=tuple(sorted(vms, key=lambda line: line.vm)),
        groups=_group_summaries(statuses, stewards),
        shards=newest,
    )


def _newest_shards(statuses: Sequence[Mapping[str, Any]]) -> dict[str, int]:
    newest: dict[str, int] = {}
    for status in statuses:
        for shard, version in status["shards"].items():
            newest[shard] = max(version, newest.get(shard, 0))
    return newest


def _vm_summary(
    status: Mapping[str, Any], newest: Mapping[str, int]
) -> VmSummary:
    outdated = tuple(
        shard
        for shard, version in newest.items()
        if status["shards"].get(shard, 0) < version
    )
    state = "ready" if status["ready"] else "not ready"
    return VmSummary(
        vm=status["vm"],
        availability_zone=status["availability_zone"],
        state="draining" if status["draining"] else state,
        version=status["version"],
        uptime_s=round(status["at"] - status["started_at"]),
        outdated_shards=outdated,
        leases=tuple(lease["bucket"] for lease in status["leases"]),
        groups=len(status["groups"]),
        memory_bytes=status["process"]["memory_bytes"],
    )


def _group_summaries(
    statuses: Sequence[Mapping[str, Any]], stewards: Mapping[int, str]
) -> tuple[GroupSummary, ...]:
    views_by_group: dict[str, list[Mapping[str, Any]]] = {}
    for status in statuses:
        for name, group in status["groups"].items():
            views_by_group.setdefault(name, []).append(group)
    return tuple(
        _group_summary(name, views, stewards)
        for name, views in sorted(views_by_group.items())
    )


def _group_summary(
    name: str, views: Sequence[Mapping[str, Any]], stewards: Mapping[int, str]
) -> GroupSummary:
    # Uses the holder with the highest record version, which is the newest.
    newest_view = max(views, key=lambda each: each["version"])
    steward = stewards.get(newest_view["bucket"], "")
    return GroupSummary(
        group=name,
        term=newest_view["term"],
        primary=newest_view["primary"],
        steward=steward,
        holders=tuple(newest_view["holders"]),
        targets=tuple(newest_view["targets"]),
        slots=_limit_usage(views, "slots"),
        connections=_limit_usage(views, "connections"),
        waiting=sum(
            target["here"]["waiting"]
            for each in views
            for target in each["targets"]
        ),
        problems=tuple(_group_problems(newest_view, views, steward)),
    )


def _limit_usage(views: Sequence[Mapping[str, Any]], name: str) -> LimitUsage:
    parts = [target["here"] for each in views for target in each["targets"]]
    return LimitUsage(
        used=sum(part[name] for part in parts),
        shared=sum(part[f"{name}_share"] for part in parts),
        limit=sum(target[name] for target in views[0]["targets"]),
    )


def _group_problems(
    newest_view: Mapping[str, Any],
    views: Sequence[Mapping[str, Any]],
    steward: str,
) -> list[str]:
    problems = []
    if not newest_view["primary"]:
        problems.append("no primary")
    if not steward:
        problems.append("no steward")
    for name in ("slots", "connections"):
        use = _limit_usage(views, name)
        if use.shared > use.limit:
            problems.append(f"shares of {name} exceed the limit")
    for target in newest_view["targets"]:
        name = target["name"]
        response_age_ms = target["heard_ms"]
        if response_age_ms is None or response_age_ms > UNRESPONSIVE_MS:
            problems.append(f"{name} does not answer")
        elif target["term"] != newest_view["term"]:
            problems.append(f"{name} at term {target['term']}")
        elif target["role"] == "fenced":
            problems.append(f"{name} fenced")
    return problems
