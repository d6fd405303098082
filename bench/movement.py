"""Measure how many holders' places move when VMs or groups come or go.

    python -m bench.movement --out bench/results/movement.json

The ideal moves only the places of the VM that went. Plain rendezvous hashing
does that; even holders move some more, because a group that takes a VM's room
may push another one off it. Each figure stands beside that of the plain rule.
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
CHANGES = 40
SEVERAL = 10

Holders = dict[str, set[str]]


def make_fleet(size: int, zones: int, regions: int) -> list[Vm]:
    """Return a fleet laid out evenly."""
    return [
        Vm(
            name=f"vm-{number}",
            address=f"127.0.0.1:{number}",
            availability_zone=f"zone-{number % zones}",
            region=f"region-{number // zones % regions}",
        )
        for number in range(size)
    ]


def place(vms: list[Vm], known: Collection[str]) -> Holders:
    """Return the holders of each group while these names are known."""
    placement = Placement(vms, known)
    return {
        group: {vm.name for vm in placement.holders(group)} for group in GROUPS
    }


def count_moved(before: Holders, after: Holders) -> int:
    """Return the places that are new."""
    return sum(len(after[group] - before[group]) for group in before)


def count_held(holders: Holders, vms: Collection[Vm]) -> int:
    """Return the places of some VMs."""
    names = {vm.name for vm in vms}
    return sum(len(names & held) for held in holders.values())


def lose(
    before: Holders,
    vms: list[Vm],
    gone: Collection[Vm],
    known: Collection[str],
) -> tuple[int, int]:
    """Return the places that move, and those that the lost VMs had."""
    after = place([vm for vm in vms if vm not in gone], known)
    return count_moved(before, after), count_held(before, gone)


def measure_rule(vms: list[Vm], known: Collection[str]) -> dict[str, Any]:
    """Measure one rule: the plain one if no names are known."""
    before = place(vms, known)
    held = [count_held(before, [vm]) for vm in vms]
    chance = random.Random(1)
    chosen = chance.sample(vms, min(CHANGES, len(vms)))
    one = [lose(before, vms, [vm], known) for vm in chosen]
    several = lose(before, vms, chance.sample(vms, SEVERAL), known)
    first = vms[0].region, vms[0].availability_zone
    zone = [vm for vm in vms if (vm.region, vm.availability_zone) == first]
    zone_lost = lose(before, vms, zone, known)
    places = len(GROUPS) * HOLDERS_PER_GROUP
    return {
        "groups_per_vm_mean": statistics.mean(held),
        "groups_per_vm_max": max(held),
        "vms_with_none": held.count(0),
        "moved_share_mean": statistics.mean(m for m, _ in one) / places,
        "needless_moves_mean": statistics.mean(m - h for m, h in one),
        "needless_moves_max": max(m - h for m, h in one),
        "moved_per_place_one_lost": ratio(one),
        f"moved_per_place_{SEVERAL}_lost": ratio([several]),
        "moved_per_place_zone_lost": ratio([zone_lost]),
    }


def ratio(moves: list[tuple[int, int]]) -> float:
    """Return how many places moved for each that was lost."""
    return sum(m for m, _ in moves) / max(1, sum(h for _, h in moves))


def measure_new_group(vms: list[Vm]) -> dict[str, float]:
    """Return how many places of other groups one new group moves."""
    after = place(vms, GROUPS)
    moves = []
    for new in random.Random(2).sample(GROUPS, CHANGES):
        known = [name for name in GROUPS if name != new]
        before = place(vms, known)
        del before[new]
        moves.append(count_moved(before, after))
    return {"mean": statistics.mean(moves), "max": max(moves)}


def measure_cost(vms: list[Vm]) -> dict[str, float]:
    """Time ranking all VMs, the first placement and a changed list."""
    begun = time.perf_counter()
    for group in GROUPS:
        choose_holders(group, vms, HOLDERS_PER_GROUP)
    ranked = time.perf_counter() - begun
    placement = Placement(vms)
    placement.set_groups(GROUPS)
    begun = time.perf_counter()
    placement.prepare(len(GROUPS))
    first = time.perf_counter() - begun
    changes = []
    for gone in random.Random(1).sample(vms, min(CHANGES, len(vms))):
        for listed in ([vm for vm in vms if vm != gone], vms):
            begun = time.perf_counter()
            placement.set_vms(listed)
            changes.append(time.perf_counter() - begun)
    change = statistics.median(changes)
    return {
        "microseconds_per_group": 1e6 * ranked / len(GROUPS),
        "first_placement_ms": 1e3 * first,
        "list_change_ms_median": 1e3 * change,
        "list_change_ms_max": 1e3 * max(changes),
        "list_change_to_ranking_all": change / ranked,
    }


def measure(size: int, zones: int, regions: int) -> dict[str, Any]:
    """Measure both rules and the cost in a fleet of one size."""
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
    """Measure several fleets and write the results."""
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
