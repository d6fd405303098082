"""What one process knows and does, as plain data for operators."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
import resource
import time
from typing import Any

from bamboospring import __version__
from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import Role
from bamboospring.blackboard import Target
from bamboospring.blackboard import TargetState
from bamboospring.blackboard import Vm
from bamboospring.metrics import Metrics
from bamboospring.pools import Pools
from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import Placement

__all__ = ["StatusView", "resident_bytes", "unreadiness"]

NEVER = -1e8
PAGE = resource.getpagesize()


class StatusView:
    """Describe this process; `now` is the monotonic clock in seconds.

    Only a main process has `pools`, and names the entry-only `processes`
    beside it; `entry_of` is the VM of an entry-only one.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        placement: Placement,
        metrics: Metrics,
        now: Callable[[], float],
        pools: Pools | None = None,
        processes: Callable[[], Iterable[Vm]] = tuple,
        entry_of: str = "",
    ) -> None:
        self._board = board
        self._placement = placement
        self._metrics = metrics
        self._pools = pools
        self._processes = processes
        self._entry_of = entry_of
        self._now = now
        self._started = time.time()

    def describe(self) -> dict[str, Any]:
        """Return the status of this VM as JSON data."""
        board = self._board
        return {
            "vm": board.local_vm.name,
            "address": board.local_vm.address,
            "availability_zone": board.local_vm.availability_zone,
            "region": board.local_vm.region,
            "entry_of": self._entry_of,
            "processes": [
                {
                    "name": vm.name,
                    "address": vm.address,
                    "availability_zone": vm.availability_zone,
                    "region": vm.region,
                }
                for vm in self._processes()
            ],
            "version": __version__,
            "started_at": round(self._started, 3),
            "at": round(time.time(), 3),
            "ready": not unreadiness(board),
            "draining": board.draining,
            "vms_seen": len(board.vms),
            "vms_revision": board.vms_revision,
            "shards": {
                str(number): shard.version
                for number, shard in sorted(board.table.items())
            },
            "leases": self._leases(),
            "groups": self._groups(),
            "counts": {
                name: counts.as_json()
                for name, counts in self._metrics.groups.items()
            },
            "process": _process(),
        }

    def _leases(self) -> list[dict[str, Any]]:
        now = self._now()
        return [
            {
                "bucket": bucket,
                "vm": lease.vm,
                "version": lease.version,
                "valid_ms": _milliseconds(lease.valid_until - now),
            }
            for bucket, lease in sorted(self._board.leases.items())
            if lease.valid_until > now
        ]

    def _groups(self) -> dict[str, Any]:
        me = self._board.local_vm.name
        return {
            name: self._group(name, group)
            for name, group in sorted(self._board.groups.items())
            if any(vm.name == me for vm in self._placement.holders(name))
        }

    def _group(self, name: str, group: Group) -> dict[str, Any]:
        record = group.record
        holders = [vm.name for vm in self._placement.holders(name)]
        return {
            "term": record.term,
            "primary": record.primary,
            "version": record.version,
            "bucket": bucket_of(name),
            "holders": holders,
            "targets": [
                self._target(group, target) for target in record.targets
            ],
        }

    def _target(self, group: Group, target: Target) -> dict[str, Any]:
        state = group.state(target.name)
        now = self._now()
        return {
            "name": target.name,
            "availability_zone": target.availability_zone,
            "site": target.site,
            "role": state.role.value,
            "term": state.term,
            "received": state.received,
            "applied": state.applied,
            "lag_ms": _lag(group, state, now),
            "heard_ms": (
                _milliseconds(now - state.last_response_at)
                if state.last_response_at > NEVER
                else None
            ),
            "leaving": state.leaving,
            "outstanding": state.in_flight,
            "slots": target.slots,
            "connections": target.connections,
            "here": self._use(target),
        }

    def _use(self, target: Target) -> dict[str, int]:
        """Return this holder's share of the target's limits, and its use."""
        assert self._pools is not None, "only holders have groups"
        pool = self._pools.pool(target)
        return {
            "slots": pool.used.slots,
            "slots_share": pool.share.slots,
            "connections": pool.used.connections,
            "connections_share": pool.share.connections,
            "waiting": pool.waiting,
        }


def unreadiness(board: Blackboard) -> list[str]:
    """Return why callers should not be sent here; empty if they may be."""
    reasons = []
    if board.draining:
        reasons.append("draining")
    if board.starting:
        reasons.append("starting")
    if not board.vms:
        reasons.append("no list of VMs yet")
    if not board.group_names and not board.groups:
        reasons.append("no groups known yet")
    return reasons


def resident_bytes() -> int:
    """Return the memory that this process occupies."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE


def _process() -> dict[str, Any]:
    return {
        "cpu_seconds": round(time.process_time(), 3),
        "memory_bytes": resident_bytes(),
    }


def _lag(group: Group, state: TargetState, now: float) -> int | None:
    """Return a replica's lag in milliseconds, None if it is not known.

    One that has all that its primary is known to have lags by nothing, also
    if the two were last compared a while ago.
    """
    if state.role is not Role.REPLICA or state.caught_up_at <= NEVER:
        return None
    primary = group.states.get(group.record.primary)
    if primary is not None and state.applied >= primary.received:
        return 0
    return _milliseconds(now - state.caught_up_at)


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
