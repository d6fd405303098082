"""Measure how many holder places move when VMs or groups are changed.

    python -m bench.movement --out bench/results/movement.json

In the ideal case only the places of a removed VM move. Plain rendezvous
hashing achieves this. With a bounded load ("even") some more places move,
because a group that is placed on a VM can displace another group from it. Each
figure is given for both rules.
"""

from __future__ import annotations

import argparse
from collections.abc import Collection
import json
import os
import pathlib
import random
import statistics
import time
from typing import Any

from bamboospring.blackboard import Vm
from bamboospring.rendezvous import choose_holders
from bamboospring.rendezvous import HOLDERS_PER_GROUP
from bamboospring.rendezvous import Placement

GROUPS = tuple(f"group-{number}" for number in range(530))
CHANGE_COUNT = 40
SEVERAL_VMS = 10

Holders = dict[str, set[str]]


def make_fleet(size: int, zones: int, regions: int) -> list[Vm]:
    """Return VMs that are spread evenly over zones and regions."""
    return [
        Vm(
            name=f"vm-{number}",
            address=f"127.0.0.1:{number}",
            availability_zone=f"zone-{number % zones}",
            region=f"region-{number // zones % regions}",
        )
        for number in range(size)
    ]


def place_groups(vms: list[Vm], known_groups: Collection[str]) -> Holders:
    """Return the holders of each group, given the known group names."""
    placement = Placement(vms, known_groups)
    return {
        group: {vm.name for vm in placement.holders(group)} for group in GROUPS
    }


def count_moved(before: Holders, after: Holders) -> int:
    """Return the number of places that changed their VM."""
    return sum(len(after[group] - before[group]) for group in before)


def count_held(holders: Holders, vms: Collection[Vm]) -> int:
    """Return the number of places that these VMs hold."""
    names = {vm.name for vm in vms}
    return sum(len(names & held) for held in holders.values())


def count_moves_on_removal(
    before: Holders,
    vms: list[Vm],
    removed: Collection[Vm],
    known_groups: Collection[str],
) -> tuple[int, int]:
    """Return how many places move and how many the removed VMs held."""
    after = place_groups([vm for vm in vms if vm not in removed], known_groups)
    return count_moved(before, after), count_held(before, removed)


def measure_rule(
    vms: list[Vm], known_groups: Collection[str]
) -> dict[str, Any]:
    """Measure one rule: the plain one if no group names are known."""
    before = place_groups(vms, known_groups)
    held = [count_held(before, [vm]) for vm in vms]
    rng = random.Random(1)
    chosen = rng.sample(vms, min(CHANGE_COUNT, len(vms)))
    one = [
        count_moves_on_removal(before, vms, [vm], known_groups)
        for vm in chosen
    ]
    several = count_moves_on_removal(
        before, vms, rng.sample(vms, SEVERAL_VMS), known_groups
    )
    first = vms[0].region, vms[0].availability_zone
    zone = [vm for vm in vms if (vm.region, vm.availability_zone) == first]
    zone_lost = count_moves_on_removal(before, vms, zone, known_groups)
    places = len(GROUPS) * HOLDERS_PER_GROUP
    return {
        "groups_per_vm_mean": statistics.mean(held),
        "groups_per_vm_max": max(held),
        "vms_with_none": held.count(0),
        "moved_share_mean": statistics.mean(m for m, _ in one) / places,
        "needless_moves_mean": statistics.mean(m - h for m, h in one),
        "needless_moves_max": max(m - h for m, h in one),
        "moved_per_place_one_lost": moves_per_lost_place(one),
        f"moved_per_place_{SEVERAL_VMS}_lost": moves_per_lost_place([several]),
        "moved_per_place_zone_lost": moves_per_lost_place([zone_lost]),
    }


def moves_per_lost_place(moves: list[tuple[int, int]]) -> float:
    """Return the number of moved places for each lost place."""
    return sum(m for m, _ in moves) / max(1, sum(h for _, h in moves))


def measure_new_group(vms: list[Vm]) -> dict[str, float]:
    """Return how many places of other groups one new group moves."""
    after = place_groups(vms, GROUPS)
    moves = []
    for new in random.Random(2).sample(GROUPS, CHANGE_COUNT):
        known = [name for name in GROUPS if name != new]
        before = place_groups(vms, known)
        del before[new]
        moves.append(count_moved(before, after))
    return {"mean": statistics.mean(moves), "max": max(moves)}


def measure_cost(vms: list[Vm]) -> dict[str, float]:
    """Time the ranking of all VMs, the first placement and list changes."""
    started_at = time.perf_counter()
    for group in GROUPS:
        choose_holders(group, vms, HOLDERS_PER_GROUP)
    ranking_seconds = time.perf_counter() - started_at
    placement = Placement(vms)
    placement.set_groups(GROUPS)
    started_at = time.perf_counter()
    placement.prepare(len(GROUPS))
    first_placement_seconds = time.perf_counter() - started_at
    change_seconds = []
    for removed in random.Random(1).sample(vms, min(CHANGE_COUNT, len(vms))):
        for listed in ([vm for vm in vms if vm != removed], vms):
            started_at = time.perf_counter()
            placement.set_vms(listed)
            change_seconds.append(time.perf_counter() - started_at)
    change = statistics.median(change_seconds)
    return {
        "microseconds_per_group": 1e6 * ranking_seconds / len(GROUPS),
        "first_placement_ms": 1e3 * first_placement_seconds,
        "list_change_ms_median": 1e3 * change,
        "list_change_ms_max": 1e3 * max(change_seconds),
        "list_change_to_ranking_all": change / ranking_seconds,
    }


def measure(size: int, zones: int, regions: int) -> dict[str, Any]:
    """Measure both rules and their cost in one fleet."""
    vms = make_fleet(size, zones, regions)
    return {
        "vms": size,
        "zones": zones,
        "regions": regions,
        "ideal_share": 1 / size,
        "plain": measure_rule(vms, ()),
        "even": measure_rule(vms, GROUPS),
        "moved_by_new_group": measure_new_group(vms),
        **measure_cost(vms),
    }


def main() -> None:
    """Measure several fleets and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    cases = [(12, 4, 1), (48, 4, 1), (120, 4, 2), (480, 4, 2)]
    results = [
        {**measure(*case), "load_average": os.getloadavg()[0]}
        for case in cases
    ]
    text = json.dumps(results, indent=1)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
