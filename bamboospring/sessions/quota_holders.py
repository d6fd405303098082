"""Choose the VM that counts a team's operations in each availability zone.

All VMs must agree on it, including those that are cut off: two VMs that count
for the same team and zone would grant twice the limit. So the choice is one
object in the platform's store. A VM counts only while it has recently
confirmed that object, and a change of the object has two steps. First, the old
and the new choice are stored together, and only a VM in both counts. The old
one is dropped when every VM that has not seen the change has stopped counting.

A store restored from an older copy may have lost the newest choice, so its
contents confirm nothing until a VM that leads has stored the choice again. Of
the steps that were lost, the first one agrees with the choice before it. So a
VM that confirmed it less than a handover delay before the restore may store it
again at once, and any other VM when no VM counts any more.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from collections.abc import Iterable
import dataclasses
from dataclasses import dataclass

from bamboospring.rendezvous import rank_vms
from bamboospring.store_version import UnsettledState
from bamboospring.store_version import VersionedState

__all__ = [
    "CONFIRMATION_LIFETIME",
    "HANDOVER_DELAY",
    "QuotaHolders",
    "QuotaVm",
    "choose_counting_vms",
    "counting_vm",
    "counting_zones",
    "holders_to_restore",
    "limit_parts",
    "may_count",
    "next_holders",
]

# One of this many VMs of a zone counts, at least one per zone. Fewer holders
# need fewer links between VMs; with more of them, the loss of one affects
# fewer teams.
VMS_PER_HOLDER = 4
# Seconds for which a VM counts after it last confirmed the object.
CONFIRMATION_LIFETIME = 4.0
# Seconds between the two steps of a change: longer than a VM counts without
# confirmation, plus the time its last answer is in transit and the difference
# of clock rates.
HANDOVER_DELAY = 4.8


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaVm:
    """A VM that counts, and its address for peers."""

    name: str
    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaHolders(VersionedState):
    """The stored choice: the VMs that count and the previous ones.

    `previous` is None unless a change of the choice is in progress.
    """

    vms: tuple[QuotaVm, ...]
    previous: tuple[QuotaVm, ...] | None = None


def choose_counting_vms(listed: Iterable[QuotaVm]) -> tuple[QuotaVm, ...]:
    """Return the VMs that should count, of all listed VMs."""
    zones: dict[str, list[QuotaVm]] = {}
    for vm in listed:
        zones.setdefault(vm.availability_zone, []).append(vm)
    chosen: list[QuotaVm] = []
    for zone, vms in sorted(zones.items()):
        count = -(-len(vms) // VMS_PER_HOLDER)
        chosen.extend(rank_vms(zone, vms)[:count])
    return tuple(sorted(chosen, key=lambda vm: vm.name))


def holders_to_restore(
    known: QuotaHolders,
    unsettled: UnsettledState,
    *,
    confirmed_at: float,
    restored_at: float,
    now: float,
) -> QuotaHolders | None:
    """Return what to store after a restore of the store; None if not yet.

    `confirmed_at` is when this VM last confirmed `known` before it saw, at
    `restored_at`, that the store had been restored.
    """
    is_recent = restored_at - confirmed_at < HANDOVER_DELAY
    if not is_recent and now < restored_at + HANDOVER_DELAY:
        return None
    return dataclasses.replace(
        known, version=unsettled.version, era=unsettled.era
    )


def next_holders(
    current: QuotaHolders | None,
    listed: Iterable[QuotaVm],
    *,
    known_for: float,
    era: int = 0,
) -> QuotaHolders | None:
    """Return what to store instead of `current`; None if it is up to date.

    `known_for` is the number of seconds for which this VM has known `current`,
    `era` the era of the store.
    """
    wanted = choose_counting_vms(listed)
    if current is None:
        return QuotaHolders(version=0, era=era, vms=wanted)
    if current.previous is not None:
        if known_for < HANDOVER_DELAY:
            return None
        return dataclasses.replace(current, previous=None)
    if wanted == current.vms or not wanted:
        return None
    return dataclasses.replace(current, vms=wanted, previous=current.vms)


def counting_vm(
    vms: Iterable[QuotaVm], team: str, zone: str
) -> QuotaVm | None:
    """Return the VM that counts for a team in a zone, or None."""
    in_zone = [vm for vm in vms if vm.availability_zone == zone]
    return next(iter(rank_vms(team, in_zone)), None)


def may_count(
    holders: QuotaHolders | None,
    local_vm: QuotaVm,
    team: str,
    *,
    confirmed_at: float,
    now: float,
) -> bool:
    """Return whether a VM may grant operations of a team."""
    if holders is None or now - confirmed_at > CONFIRMATION_LIFETIME:
        return False
    zone = local_vm.availability_zone
    choices = [holders.vms]
    if holders.previous is not None:
        choices.append(holders.previous)
    return all(counting_vm(vms, team, zone) == local_vm for vms in choices)


def counting_zones(vms: Iterable[QuotaVm]) -> list[str]:
    """Return the zones in which VMs count."""
    return sorted({vm.availability_zone for vm in vms})


def limit_parts(holders: QuotaHolders) -> int:
    """Return the number of parts into which each limit is divided.

    During a change it is the larger number of both choices, since some VMs may
    not know of the change.
    """
    count = len(counting_zones(holders.vms))
    if holders.previous is not None:
        count = max(count, len(counting_zones(holders.previous)))
    return max(1, count)
