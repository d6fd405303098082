"""Status of one process as JSON data for operators."""

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

__all__ = ["StatusView", "resident_bytes", "not_ready_reasons"]

# Times at or below this were never set; unset times are -1e9.
NEVER_THRESHOLD = -1e8
PAGE_BYTES = resource.getpagesize()


class StatusView:
    """Describes this process; `now` is the monotonic clock in seconds.

    Only a main process has `pools`. It also lists the entry-only `processes`
    of its VM. `entry_of` is the VM of an entry-only process.
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
        self._started_at = time.time()

    def describe(self) -> dict[str, Any]:
        """Return the status of this process as JSON data."""
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
            "started_at": round(self._started_at, 3),
            "at": round(time.time(), 3),
            "ready": not not_ready_reasons(board),
            "draining": board.draining,
            "vms_seen": len(board.vms),
            "vms_revision": board.vms_revision,
            "shards": {
                str(number): shard.version
                for number, shard in sorted(board.table.items())
            },
            "leases": self._leases_as_json(),
            "groups": self._groups_as_json(),
            "counts": {
                name: counts.as_json()
                for name, counts in self._metrics.groups.items()
            },
            "process": _process_as_json(),
        }

    def _leases_as_json(self) -> list[dict[str, Any]]:
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

    def _groups_as_json(self) -> dict[str, Any]:
        local_name = self._board.local_vm.name
        return {
            name: self._group_as_json(name, group)
            for name, group in sorted(self._board.groups.items())
            if any(
                vm.name == local_name for vm in self._placement.holders(name)
            )
        }

    def _group_as_json(self, name: str, group: Group) -> dict[str, Any]:
        record = group.record
        holders = [vm.name for vm in self._placement.holders(name)]
        return {
            "term": record.term,
            "primary": record.primary,
            "version": record.version,
            "bucket": bucket_of(name),
            "holders": holders,
            "targets": [
                self._target_as_json(group, target)
                for target in record.targets
            ],
        }

    def _target_as_json(self, group: Group, target: Target) -> dict[str, Any]:
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
            "lag_ms": _replica_lag_ms(group, state, now),
            "heard_ms": (
                _milliseconds(now - state.last_response_at)
                if state.last_response_at > NEVER_THRESHOLD
                else None
            ),
            "leaving": state.leaving,
            "outstanding": state.in_flight,
            "slots": target.slots,
            "connections": target.connections,
            "here": self._local_usage(target),
        }

    def _local_usage(self, target: Target) -> dict[str, int]:
        """Return this holder's share of the target's limits and its usage."""
        assert self._pools is not None, "only holders have groups"
        pool = self._pools.pool(target)
        return {
            "slots": pool.used.slots,
            "slots_share": pool.share.slots,
            "connections": pool.used.connections,
            "connections_share": pool.share.connections,
            "waiting": pool.waiting,
        }


def not_ready_reasons(board: Blackboard) -> list[str]:
    """Return why this VM is not ready for callers; empty if it is ready."""
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
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


def _process_as_json() -> dict[str, Any]:
    return {
        "cpu_seconds": round(time.process_time(), 3),
        "memory_bytes": resident_bytes(),
    }


def _replica_lag_ms(
    group: Group, state: TargetState, now: float
) -> int | None:
    """Return a replica's lag in milliseconds, or None if it is unknown.

    A replica that has applied everything that its primary is known to have
    received has a lag of 0, even if the last comparison is older.
    """
    if state.role is not Role.REPLICA or state.caught_up_at <= NEVER_THRESHOLD:
        return None
    primary = group.states.get(group.record.primary)
    if primary is not None and state.applied >= primary.received:
        return 0
    return _milliseconds(now - state.caught_up_at)


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)
