"""Applies shared facts to the blackboard and fires the resulting events.

Facts of all sources (the platform, peers, updates by this VM) are applied
here, so the rule that versions only increase is enforced in one place.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from bamboospring.components import Event

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import TableShard
from bamboospring.blackboard import Vm
from bamboospring.events import group_changed
from bamboospring.events import placement_changed
from bamboospring.events import table_changed
from bamboospring.events import vms_changed
from bamboospring.fact_versions import apply_group
from bamboospring.fact_versions import apply_shard
from bamboospring.fact_versions import apply_vms
from bamboospring import logs
from bamboospring.records import decode_shard
from bamboospring.records import decode_vm
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import SHARD_COUNT

__all__ = ["FactStore"]


class FactStore:
    """The only writer of table, VMs and group records on the blackboard.

    The callbacks in `on_change` are called after the table or the list of VMs
    has changed.
    """

    def __init__(
        self,
        *,
        board: Blackboard,
        placement: Placement,
        fire: Callable[[Event], Any],
        now: Callable[[], float],
    ) -> None:
        self.board = board
        self.placement = placement
        self.on_change: list[Callable[[], None]] = []
        self._fire = fire
        self._now = now
        self._malformed_versions: dict[int, int] = {}

    def apply_shard_value(self, name: str, version: int, value: Any) -> bool:
        """Apply a table shard's object; a malformed one is only logged."""
        shard = int(name) if name.isdecimal() else -1
        if not 0 <= shard < SHARD_COUNT or value is None:
            return False
        decoded = decode_shard(shard, version, value)
        if decoded is None:
            self._log_malformed(shard, version)
            return False
        return self.apply_shard(decoded)

    def apply_shard(self, shard: TableShard) -> bool:
        """Apply a table shard if it is newer."""
        if not apply_shard(self.board, shard):
            return False
        logs.log_event(
            "table_in_force", shard=shard.shard, version=shard.version
        )
        self._fire(table_changed(shard.shard))
        self._notify_change()
        return True

    def apply_group(self, record: GroupRecord) -> bool:
        """Apply a group's record if it is newer."""
        if not apply_group(self.board, record):
            return False
        logs.log_event(
            "group_record",
            group=record.name,
            version=record.version,
            term=record.term,
            primary=record.primary,
        )
        self._fire(group_changed(record.name))
        return True

    def confirm_vms(self, revision: int) -> None:
        """Record that the platform was read and has this list."""
        if revision == self.board.vms_revision:
            self.board.vms_confirmed_at = self._now()

    def apply_vms(self, revision: int, values: Iterable[Any]) -> bool:
        """Apply a list of VMs, given as JSON objects, if it is newer."""
        if revision <= self.board.vms_revision:
            # An equal list also shows that the platform has been read.
            apply_vms(self.board, revision, (), self._now())
            return False
        vms = [vm for vm in map(decode_vm, values) if vm is not None]
        apply_vms(self.board, revision, vms, self._now())
        self._update_placement(vms)
        logs.log_event("vms", revision=revision, vms=len(vms))
        self._fire(vms_changed())
        self._notify_change()
        return True

    def announce_placement(self) -> None:
        """Fire the event that holders changed without a change of VMs."""
        self._fire(placement_changed())

    def _update_placement(self, vms: list[Vm]) -> None:
        # Sorted, because the placement must not depend on the list's order.
        self.placement.set_vms(sorted(vms, key=lambda vm: vm.name))

    def _notify_change(self) -> None:
        for callback in self.on_change:
            callback()

    def _log_malformed(self, shard: int, version: int) -> None:
        """Log each malformed version once, not at every repair."""
        if self._malformed_versions.get(shard) == version:
            return
        self._malformed_versions[shard] = version
        logs.log_event(
            "table_malformed",
            level=logs.Level.ERROR,
            shard=shard,
            version=version,
        )
