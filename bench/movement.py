"""Measure how many holders' places move when one VM comes or goes.

    python -m bench.movement --out bench/results/movement.json

The ideal moves only the places of the VM that went: 1/n of all. Spreading the
holders over zones can move a few more, because the zone of one holder decides
where the next may be.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import random
import statistics
import time

from bamboospring.blackboard import Vm
from bamboospring.rendezvous import choose_holders
from bamboospring.rendezvous import HOLDERS_PER_GROUP

GROUPS = 530
CHANGES = 40


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


def place(vms: list[Vm]) -> dict[str, set[str]]:
    """Return the holders of each group."""
    return {
        group: {
            vm.name for vm in choose_holders(group, vms, HOLDERS_PER_GROUP)
        }
        for group in (f"group-{number}" for number in range(GROUPS))
    }


def measure(size: int, zones: int, regions: int) -> dict[str, float]:
    """Take away some VMs in turn and count the places that move."""
    vms = make_fleet(size, zones, regions)
    begun = time.perf_counter()
    before = place(vms)
    seconds = time.perf_counter() - begun
    chosen = random.Random(1).sample(vms, min(CHANGES, size))
    places = sum(len(names) for names in before.values())
    shares, needless = [], []
    for gone in chosen:
        after = place([vm for vm in vms if vm != gone])
        moved = sum(len(after[g] - before[g]) for g in before)
        held = sum(gone.name in names for names in before.values())
        shares.append(moved / places)
        needless.append(moved - held)
    held_by = [
        sum(vm.name in names for names in before.values()) for vm in vms
    ]
    return {
        "vms": size,
        "zones": zones,
        "regions": regions,
        "moved_share_mean": statistics.mean(shares),
        "ideal_share": 1 / size,
        "needless_moves_mean": statistics.mean(needless),
        "needless_moves_max": max(needless),
        "groups_per_vm_mean": statistics.mean(held_by),
        "groups_per_vm_max": max(held_by),
        "microseconds_per_group": 1e6 * seconds / GROUPS,
    }


def main() -> None:
    """Measure several fleets and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    cases = [(9, 4, 1), (48, 4, 1), (120, 4, 2), (480, 4, 2)]
    results = [measure(*case) for case in cases]
    text = json.dumps(results, indent=1)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
