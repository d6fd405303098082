"""Which VM of a zone runs single statements of a target for the others there.

The load that it answers: more VMs than a target allows connections. Each VM
then opens one for nearly every statement, which costs the target half as much
as the statement itself, and closes it soon, since others wait for its place;
in a jam most of them find no place at all. So the VMs of a zone pass what they
have for a target on to one of them, whose few connections stay open. Where
every VM can keep connections of its own, nothing is passed on.

Every VM works the choice out alone, by rendezvous hashing over the VMs of its
zone that were heard lately. Two VMs that differ for a moment use two holders,
which harms nothing. Pure decisions; times are passed in.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from bamboospring.rendezvous import rank_vms

__all__ = ["MIN_CONNECTIONS", "ZoneHolders", "ZoneVm"]

# A VM may open so many connections to a target at least.
MIN_CONNECTIONS = 2
# With a fair part of so many each VM keeps a connection of its own. Reads that
# then queued at holders would wait there while the others' were at rest.
OWN_CONNECTION_SHARE = 1.0
# A zone of fewer VMs saves too few connections for the hop.
MIN_VMS = 4
# A holder that did not answer, or can't reach a target, is passed over for so
# many seconds; the next VM in the order stands in for it.
SKIP_DURATION = 3.0
# Seconds after which the list of the zone's VMs is too old to choose by.
MEMBERS_LIFETIME = 5.0
# The next one that a VM tries, after the first.
SPARE_HOLDERS = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneVm:
    """A VM of this zone and where it listens for peers."""

    name: str
    address: str


@dataclass(slots=True, kw_only=True)
class ZoneHolders:
    """This VM's view of who holds which target in its zone."""

    local_vm: str
    members: tuple[ZoneVm, ...] = ()
    _updated_at: float = -1e9
    _ranked: dict[str, list[ZoneVm]] = field(default_factory=dict)
    _skipped_until: dict[tuple[str, str], float] = field(default_factory=dict)

    def update_members(self, vms: Iterable[ZoneVm], now: float) -> None:
        """Take the VMs of this zone that were heard lately."""
        members = tuple(sorted(vms, key=lambda vm: vm.name))
        self._updated_at = now
        if members != self.members:
            self.members = members
            self._ranked.clear()

    def is_current(self, now: float) -> bool:
        """Tell whether the list is new and long enough to choose by."""
        fresh = now - self._updated_at < MEMBERS_LIFETIME
        return fresh and len(self.members) >= MIN_VMS

    def holder(
        self, target: str, *, max_connections: int, vm_count: int, now: float
    ) -> ZoneVm | None:
        """Return who runs what this VM has for a target; None: itself.

        `connections` is what the target allows, `vms` how many VMs there are
        in all zones.
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
        """Tell whether the others of the zone pass on to this VM."""
        if not self.is_current(now):
            return False
        return self._ranking(target)[0].name == self.local_vm

    def record_failure(self, vm: str, target: str, now: float) -> None:
        """Pass a holder over for a while; all its targets if none is named."""
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
            found = self._ranked[target] = rank_vms(target, self.members)
        return found
