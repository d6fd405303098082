"""Choose the VMs that may hold targets before a zone's relay is known.

After all VMs of a zone have restarted, it takes seconds until there is a
leader, a relay, and a list of the VMs that are in contact with it. Until then
each VM would open its own connections, more than a target allows. So the
leader stores a few VMs of each zone, the zone's directory, with the groups'
records, and a VM that has no list from a relay chooses holders among them.

A directory may be outdated: an entry of a VM that is gone costs each VM one
attempt to connect to it, after which it uses the next one.

Pure decisions.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bamboospring.rendezvous import rank_vms
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.zone_holders import ZoneVm

__all__ = ["VMS_PER_ZONE", "ZoneDirectory", "next_directory"]

# Enough that the loss of a VM moves few targets, and few enough that the
# directory stays small beside the records that it is read with.
VMS_PER_ZONE = 8
# The number of VMs is stored again if it is off by more than this fraction. It
# only decides whether each VM can have own connections.
COUNT_TOLERANCE = 0.1


@dataclass(frozen=True, slots=True, kw_only=True)
class ZoneDirectory:
    """The stored VMs of each zone, and the number of all VMs.

    `version` is the store's, 0 if it has no directory yet.
    """

    version: int
    vm_count: int
    zones: dict[str, tuple[ZoneVm, ...]]


def next_directory(
    current: ZoneDirectory | None, listed: Iterable[ListedVm]
) -> ZoneDirectory | None:
    """Return the directory to store, or None if `current` is up to date.

    VMs that are still listed at the same address stay in it, so that a new VM
    changes nothing while there are enough others.
    """
    zones: dict[str, list[ZoneVm]] = {}
    for vm in listed:
        zone = zones.setdefault(vm.availability_zone, [])
        zone.append(ZoneVm(name=vm.name, address=vm.address))
    vm_count = sum(map(len, zones.values()))
    known = current.zones if current is not None else {}
    chosen = {
        zone: _choose_vms(zone, vms, known.get(zone, ()))
        for zone, vms in zones.items()
    }
    if not chosen or chosen == known and _is_near(current, vm_count):
        return None
    version = current.version if current is not None else 0
    return ZoneDirectory(version=version, vm_count=vm_count, zones=chosen)


def _is_near(current: ZoneDirectory | None, vm_count: int) -> bool:
    if current is None:
        return False
    difference = abs(current.vm_count - vm_count)
    return difference <= COUNT_TOLERANCE * current.vm_count


def _choose_vms(
    zone: str, listed: list[ZoneVm], known: tuple[ZoneVm, ...]
) -> tuple[ZoneVm, ...]:
    kept = [vm for vm in known if vm in listed]
    others = [vm for vm in rank_vms(zone, listed) if vm not in kept]
    chosen = [*kept, *others][:VMS_PER_ZONE]
    return tuple(sorted(chosen, key=lambda vm: vm.name))
