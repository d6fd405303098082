"""Choose the VM of a zone that runs single statements at a target.

This is for estates with more VMs than a target allows connections. Without
holders, each VM opens a connection for nearly every statement, which costs the
target half as much as the statement, and soon closes it, because other VMs
wait for its place; under overload most VMs find no place at all. Therefore,
the VMs of a zone forward their statements for a target to one of them, whose
few connections stay open. If every VM can keep connections of its own, nothing
is forwarded.

Every VM computes the choice itself, by rendezvous hashing over the VMs of its
zone that it has recently heard of, in proportion to their weights. Two VMs
that temporarily differ use two holders, which is harmless. Pure decisions;
times are passed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from bamboospring.rendezvous import rank_by_weight

__all__ = ["MIN_CONNECTIONS", "ZoneHolders", "ZoneVm"]

# Minimum number of connections to a target that a VM may open.
MIN_CONNECTIONS = 2
# If the equal share of a target's connections is at least this, each VM uses
# its own. Reads queued at holders would otherwise wait while connections of
# the other VMs are idle.
OWN_CONNECTION_SHARE = 1.0
# In a zone of fewer VMs, forwarding saves too few connections to justify the
# additional hop.
MIN_VMS = 4
# Seconds for which a holder is skipped that did not answer or can't reach a
# target; the next VM in the ranking replaces it.
SKIP_DURATION = 3.0
# Seconds after which the list of the zone's VMs is too old to be used.
MEMBERS_LIFETIME = 5.0
# The number of further VMs in the ranking that may replace a holder.
SPARE_HOLDERS = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneVm:
    """A VM of this zone, its address for peers and its weight."""

    name: str
    address: str
    weight: int = 1


@dataclass(slots=True, kw_only=True)
class ZoneHolders:
    """The holders of targets in this VM's zone, as this VM sees them."""

    local_vm: str
    members: tuple[ZoneVm, ...] = ()
    _updated_at: float = -1e9
    _ranked: dict[str, list[ZoneVm]] = field(default_factory=dict)
    _skipped_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def update_members(self, vms: Iterable[ZoneVm], now: float) -> None:
        """Set the VMs of this zone that were recently in contact."""
        members = tuple(sorted(vms, key=lambda vm: vm.name))
        self._updated_at = now
        if members != self.members:
            self.members = members
            self._ranked.clear()

    def is_current(self, now: float) -> bool:
        """Return whether the list is recent and long enough to be used."""
        is_recent = now - self._updated_at < MEMBERS_LIFETIME
        return is_recent and len(self.members) >= MIN_VMS

    def holder(
        self, target: str, *, max_connections: int, vm_count: int, now: float
    ) -> ZoneVm | None:
        """Return the holder to forward to; None if this VM runs it itself.

        `max_connections` is what the target allows, `vm_count` the number of
        VMs in all zones.
        """
        if (
            max_connections >= OWN_CONNECTION_SHARE * vm_count
            or not self.is_current(now)
        ):
            return None
        for vm in self._ranking(target)[: 1 + SPARE_HOLDERS]:
            if vm.name == self.local_vm:
                return None
            if not self._is_skipped(vm.name, target, now):
                return vm
        return None

    def holds(self, target: str, now: float) -> bool:
        """Return whether the other VMs of the zone forward to this VM."""
        if not self.is_current(now):
            return False
        return self._ranking(target)[0].name == self.local_vm

    def may_hold(
        self, target: str, *, max_connections: int, vm_count: int, now: float
    ) -> bool:
        """Return whether others may forward to this VM, also as a spare."""
        if (
            max_connections >= OWN_CONNECTION_SHARE * vm_count
            or not self.is_current(now)
        ):
            return False
        candidates = self._ranking(target)[: 1 + SPARE_HOLDERS]
        return any(vm.name == self.local_vm for vm in candidates)

    def held_targets(self, targets: Iterable[str], now: float) -> int:
        """Return how many of the targets this VM holds for its zone."""
        return sum(self.holds(target, now) for target in targets)

    def record_failure(self, vm: str, target: str, now: float) -> None:
        """Skip a holder for a while, for all targets if `target` is empty."""
        self._skipped_until = {
            key: until
            for key, until in self._skipped_until.items()
            if now < until
        }
        self._skipped_until[(vm, target)] = now + SKIP_DURATION

    def _is_skipped(self, vm: str, target: str, now: float) -> bool:
        until = max(
            self._skipped_until.get((vm, ""), -1e9),
            self._skipped_until.get((vm, target), -1e9),
        )
        return now < until

    def _ranking(self, target: str) -> list[ZoneVm]:
        found = self._ranked.get(target)
        if found is None:
            found = self._ranked[target] = rank_by_weight(target, self.members)
        return found
