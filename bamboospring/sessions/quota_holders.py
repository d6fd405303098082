"""Which VM counts a team's operations in each availability zone.

All VMs must agree on it, also those that are cut off: two VMs that both count
for the same team and zone let in twice what they may. So the choice is one
object in the platform's store. A VM counts only while it has confirmed that
object a short time ago, and a change of the object goes in two steps: first
the old and the new choice stand beside each other, and only who is in both
counts; the old one is dropped when every VM that has not heard of the change
has stopped counting.

A store that has come back from an older copy may have lost the newest choice,
so what it shows confirms nothing until a VM that leads has stored it anew. Of
the steps that were lost the first one agrees with the choice before it. So it
may be stored anew at once by who has confirmed it less than a handover before
the return, and by all others when nobody counts any more.

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
    "may_count",
    "counting_vm",
    "next_holders",
    "limit_parts",
    "holders_to_restore",
    "counting_zones",
]

# One VM in so many of a zone counts, at least one: the fewer, the fewer links
# between VMs; the more, the less is lost with one of them.
VMS_PER_HOLDER = 4
# Seconds for which a VM counts after it last confirmed the object.
CONFIRMATION_LIFETIME = 4.0
# Seconds between the two steps of a change: longer than a VM counts without
# confirmation, its last answer's way and the rates of clocks included.
HANDOVER_DELAY = 4.8


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaVm:
    """A VM that counts and where it listens for peers."""

    name: str
    address: str
    availability_zone: str


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaHolders(VersionedState):
    """What is stored: the VMs that count, and during a change the old ones."""

    vms: tuple[QuotaVm, ...]
    previous: tuple[QuotaVm, ...] | None = None


def choose_counting_vms(listed: Iterable[QuotaVm]) -> tuple[QuotaVm, ...]:
    """Return the VMs that should count, of all that there are."""
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
    """Return what to store after a return; None: not yet.

    `confirmed_at` is when this VM last confirmed `known` before the store was
    seen to be back at `returned_at`.
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
    """Return what to store instead of `current`; None: it may stay.

    `seen_for` is for how many seconds this VM has known `current`, `era` the
    store's.
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
    """Return who counts for a team in a zone; None if no VM there does."""
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
    """Tell whether a VM may let operations of a team in."""
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
    """Return into how many parts each limit is divided.

    While a change lasts, some VMs may not know of it.
    """
    count = len(counting_zones(holders.vms))
    if holders.previous is not None:
        count = max(count, len(counting_zones(holders.previous)))
    return max(1, count)
