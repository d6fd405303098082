"""Compute the placement of groups for the design size of the fleet.

    python bench/placement.py --out bench/results/placement.json

No process is started. Placement is a pure function of the list of VMs and the
names of the groups, so the functions of the program compute the groups of each
VM, the hops of an edit and the places that move on a change for the whole
fleet.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from collections import Counter
import json
from pathlib import Path
import statistics
from typing import Any

from bamboospring.blackboard import Vm
from bamboospring.rendezvous import choose_candidates
from bamboospring.rendezvous import choose_neighbours
from bamboospring.rendezvous import choose_platform_watchers
from bamboospring.rendezvous import Placement

VMS = 480
GROUPS = 530
ZONES = 4
REGIONS = 2
HOLDERS_PER_GROUP = 3
GROUP_NAMES = tuple(f"group-{number}" for number in range(GROUPS))
NO_GROUP_NAMES = ()
BUCKETS = 16
REMOVED_VM_COUNT = 40


def main() -> None:
    """Compute the placement and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    vms = _vms(VMS)
    result = {
        "vms": VMS,
        "groups": GROUPS,
        "held_groups": _held_groups(vms, GROUP_NAMES),
        "held_groups_plain": _held_groups(vms, NO_GROUP_NAMES),
        "buckets_led_most": _max_buckets(vms),
        "links": _links(vms),
        "edit_hops": _edit_hops(vms),
        "edit_hops_zone_lost": _edit_hops(
            [vm for vm in vms if not _in_first_zone(vm)]
        ),
        "moved_by_one_vm": _moved_places(vms, GROUP_NAMES),
        "moved_by_one_vm_plain": _moved_places(vms, NO_GROUP_NAMES),
        "groups_without_holder_zone_lost": _groups_without_holder(vms),
    }
    text = json.dumps(result, indent=1)
    print(text)
    if args.out is not None:
        args.out.write_text(text + "\n")


def _vms(count: int) -> list[Vm]:
    return [
        Vm(
            name=f"vm-{number}",
            address="",
            availability_zone=f"zone-{number % ZONES}",
            region=f"region-{number // ZONES % REGIONS}",
        )
        for number in range(count)
    ]


def _in_first_zone(vm: Vm) -> bool:
    return (vm.availability_zone, vm.region) == ("zone-0", "region-0")


def _holders(
    vms: list[Vm], known_groups: tuple[str, ...]
) -> dict[str, set[str]]:
    """Return the holders of all groups, given the known group names."""
    placement = Placement(vms, known_groups)
    return {
        name: {vm.name for vm in placement.holders(name)}
        for name in GROUP_NAMES
    }


def _held_groups(
    vms: list[Vm], known_groups: tuple[str, ...]
) -> dict[str, float]:
    counts = Counter(
        name
        for names in _holders(vms, known_groups).values()
        for name in names
    )
    numbers = sorted(counts.get(vm.name, 0) for vm in vms)
    return {
        "mean": round(statistics.mean(numbers), 3),
        "median": statistics.median(numbers),
        "p99": numbers[int(len(numbers) * 0.99)],
        "most": numbers[-1],
        "vms_with_none": numbers.count(0),
    }


def _max_buckets(vms: list[Vm]) -> int:
    first = Counter(
        choose_candidates(bucket, vms)[0].name for bucket in range(BUCKETS)
    )
    return max(first.values())


def _neighbour_graph(vms: list[Vm]) -> dict[str, set[str]]:
    """Return the VMs that exchange announcements with each VM.

    Neighbours announce in both directions.
    """
    graph: dict[str, set[str]] = {vm.name: set() for vm in vms}
    for vm in vms:
        for other in choose_neighbours(vm.name, vms):
            graph[vm.name].add(other.name)
            graph[other.name].add(vm.name)
    return graph


def _links(vms: list[Vm]) -> dict[str, float]:
    sizes = [len(names) for names in _neighbour_graph(vms).values()]
    return {"mean": round(statistics.mean(sizes), 2), "most": max(sizes)}


def _edit_hops(vms: list[Vm]) -> dict[str, Any]:
    """Return the mean and the maximum of hops from the platform watchers."""
    graph = _neighbour_graph(vms)
    reached = {vm.name: 0 for vm in choose_platform_watchers(vms)}
    frontier: Iterable[str] = list(reached)
    hops = 0
    while frontier:
        hops += 1
        frontier = {
            other
            for name in frontier
            for other in graph[name]
            if other not in reached
        }
        reached |= {name: hops for name in frontier}
    return {
        "mean": round(statistics.mean(reached.values()), 2),
        "most": max(reached.values()),
        "not_reached": len(vms) - len(reached),
    }


def _moved_places(
    vms: list[Vm], known_groups: tuple[str, ...]
) -> dict[str, float]:
    """Return the share of holder places that move when a VM is removed."""
    before = _holders(vms, known_groups)
    shares = []
    for removed in range(0, VMS, VMS // REMOVED_VM_COUNT):
        remaining_vms = [vm for vm in vms if vm.name != f"vm-{removed}"]
        after = _holders(remaining_vms, known_groups)
        moved = sum(len(after[group] - before[group]) for group in before)
        shares.append(moved / (GROUPS * HOLDERS_PER_GROUP))
    return {
        "mean_share": round(statistics.mean(shares), 5),
        "ideal_share": round(1 / VMS, 5),
    }


def _groups_without_holder(vms: list[Vm]) -> int:
    lost = {vm.name for vm in vms if _in_first_zone(vm)}
    return sum(names <= lost for names in _holders(vms, GROUP_NAMES).values())


if __name__ == "__main__":
    main()
