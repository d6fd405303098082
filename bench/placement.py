"""Who gets what at the size to design for, worked out by the real functions.

    python bench/placement.py --out bench/results/placement.json

No process is started: placement is a pure function of the list of VMs and the
names of groups, so that the shares, the way of an edit and the movement on a
change can be computed for the whole fleet.
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
HOLDERS = 3
EVEN = tuple(f"group-{number}" for number in range(GROUPS))
PLAIN = ()
BUCKETS = 16
TRIES = 40


def main() -> None:
    """Compute and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    vms = _vms(VMS)
    result = {
        "vms": VMS,
        "groups": GROUPS,
        "held_groups": _held(vms, EVEN),
        "held_groups_plain": _held(vms, PLAIN),
        "buckets_led_most": _most_buckets(vms),
        "links": _links(vms),
        "edit_hops": _hops(vms),
        "edit_hops_zone_lost": _hops(
            [vm for vm in vms if not _in_first_zone(vm)]
        ),
        "moved_by_one_vm": _moved(vms, EVEN),
        "moved_by_one_vm_plain": _moved(vms, PLAIN),
        "groups_without_holder_zone_lost": _bereft(vms),
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


def _holders(vms: list[Vm], known: tuple[str, ...]) -> dict[str, set[str]]:
    """Return the holders of all groups while these names are known."""
    placement = Placement(vms, known)
    return {name: {vm.name for vm in placement.holders(name)} for name in EVEN}


def _held(vms: list[Vm], known: tuple[str, ...]) -> dict[str, float]:
    counts = Counter(
        name for names in _holders(vms, known).values() for name in names
    )
    numbers = sorted(counts.get(vm.name, 0) for vm in vms)
    return {
        "mean": round(statistics.mean(numbers), 3),
        "median": statistics.median(numbers),
        "p99": numbers[int(len(numbers) * 0.99)],
        "most": numbers[-1],
        "vms_with_none": numbers.count(0),
    }


def _most_buckets(vms: list[Vm]) -> int:
    first = Counter(
        choose_candidates(bucket, vms)[0].name for bucket in range(BUCKETS)
    )
    return max(first.values())


def _graph(vms: list[Vm]) -> dict[str, set[str]]:
    """Return who hears whose announcements: neighbours, both ways."""
    graph: dict[str, set[str]] = {vm.name: set() for vm in vms}
    for vm in vms:
        for other in choose_neighbours(vm.name, vms):
            graph[vm.name].add(other.name)
            graph[other.name].add(vm.name)
    return graph


def _links(vms: list[Vm]) -> dict[str, float]:
    sizes = [len(names) for names in _graph(vms).values()]
    return {"mean": round(statistics.mean(sizes), 2), "most": max(sizes)}


def _hops(vms: list[Vm]) -> dict[str, Any]:
    """Return how many hops an edit takes from the platform's watchers."""
    graph = _graph(vms)
    reached = {vm.name: 0 for vm in choose_platform_watchers(vms)}
    front: Iterable[str] = list(reached)
    hops = 0
    while front:
        hops += 1
        front = {
            other
            for name in front
            for other in graph[name]
            if other not in reached
        }
        reached |= {name: hops for name in front}
    return {
        "mean": round(statistics.mean(reached.values()), 2),
        "most": max(reached.values()),
        "not_reached": len(vms) - len(reached),
    }


def _moved(vms: list[Vm], known: tuple[str, ...]) -> dict[str, float]:
    """Return the share of holder places that one lost VM moves."""
    before = _holders(vms, known)
    shares = []
    for gone in range(0, VMS, VMS // TRIES):
        rest = [vm for vm in vms if vm.name != f"vm-{gone}"]
        after = _holders(rest, known)
        moved = sum(len(after[group] - before[group]) for group in before)
        shares.append(moved / (GROUPS * HOLDERS))
    return {
        "mean_share": round(statistics.mean(shares), 5),
        "ideal_share": round(1 / VMS, 5),
    }


def _bereft(vms: list[Vm]) -> int:
    lost = {vm.name for vm in vms if _in_first_zone(vm)}
    return sum(names <= lost for names in _holders(vms, EVEN).values())


if __name__ == "__main__":
    main()
