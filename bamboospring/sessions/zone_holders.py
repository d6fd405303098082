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
OWN_CONNECTIONS = 1.0
# A zone of fewer VMs saves too few connections for the hop.
FEWEST_VMS = 4
# A holder that did not answer, or can't reach a target, is passed over for so
# many seconds; the next VM in the order stands in for it.
PASSED_OVER_FOR = 3.0
# Seconds after which the list of the zone's VMs is too old to choose by.
LIST_LIFE = 5.0
# The next one that a VM tries, after the first.
SPARES = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneVm:
    """A VM of this zone and where it listens for peers."""

    name: str
    address: str


@dataclass(slots=True, kw_only=True)
class ZoneHolders:
    """This VM's view of who holds which target in its zone."""

    vm: str
    listed: tuple[ZoneVm, ...] = ()
    _listed_at: float = -1e9
    _ranked: dict[str, list[ZoneVm]] = field(default_factory=dict)
    _passed_over: dict[tuple[str, str], float] = field(default_factory=dict)

    def update_members(self, vms: Iterable[ZoneVm], now: float) -> None:
        """Take the VMs of this zone that were heard lately."""
        listed = tuple(sorted(vms, key=lambda vm: vm.name))
        self._listed_at = now
        if listed != self.listed:
            self.listed = listed
            self._ranked.clear()

    def is_current(self, now: float) -> bool:
        """Tell whether the list is new and long enough to choose by."""
        fresh = now - self._listed_at < LIST_LIFE
        return fresh and len(self.listed) >= FEWEST_VMS

    def holder(
        self, target: str, *, connections: int, vms: int, now: float
    ) -> ZoneVm | None:
        """Return who runs what this VM has for a target; None: itself.

        `connections` is what the target allows, `vms` how many VMs there are
        in all zones.
        """
        if connections >= OWN_CONNECTIONS * vms or not self.is_current(now):
            return None
        for vm in self._order(target)[: 1 + SPARES]:
            if vm.name == self.vm:
                return None
            if not self._is_passed_over(vm.name, target, now):
                return vm
        return None

    def holds(self, target: str, now: float) -> bool:
        """Tell whether the others of the zone pass on to this VM."""
        if not self.is_current(now):
            return False
        return self._order(target)[0].name == self.vm

    def failed(self, vm: str, target: str, now: float) -> None:
        """Pass a holder over for a while; all its targets if none is named."""
        self._passed_over = {
            key: until
            for key, until in self._passed_over.items()
            if now < until
        }
        self._passed_over[(vm, target)] = now + PASSED_OVER_FOR

    def _is_passed_over(self, vm: str, target: str, now: float) -> bool:
        until = max(
            self._passed_over.get((vm, ""), -1e9),
            self._passed_over.get((vm, target), -1e9),
        )
        return now < until

    def _order(self, target: str) -> list[ZoneVm]:
        found = self._ranked.get(target)
        if found is None:
            found = self._ranked[target] = rank_vms(target, self.listed)
        return found
