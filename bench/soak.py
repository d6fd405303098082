"""Count unnecessary changes of primary under faults that require none.

    python bench/soak.py --seconds 120 --out bench/results/soak.json

Runs real processes under writes. Every few seconds one of these faults occurs:
a VM is paused for 5 seconds, the open connections to a target are silent
permanently while new ones work, a link is slow, or the platform is slow, is
down for 2 seconds or loses an answer. No target ever fails, so every change of
term is unnecessary.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from collections import Counter
from dataclasses import replace
import json
from pathlib import Path
import random
import time
from typing import Any

from failover import delay_links
from failover import GROUP
from failover import SCHEMA
from failover import stored_rows
from failover import Writers

from bamboospring.testing.fleet import Fleet
from bamboospring.testing.topology import SMALL

PAUSE_SECONDS = 5.0


def main() -> None:
    """Run the soak and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=120)
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    result = soak(args)
    text = json.dumps(result, indent=1)
    print(text)
    if args.out is not None:
        args.out.parent.mkdir(parents=True, exist_ok=True)
        args.out.write_text(text + "\n")


def soak(args: argparse.Namespace) -> dict[str, Any]:
    """Inject random faults for the given time and return the counts."""
    rng = random.Random(args.seed)
    counts: Counter[str] = Counter()
    with Fleet(
        topology=replace(SMALL, schema=SCHEMA), links=True, vms=args.vms
    ) as fleet:
        fleet.wait_serving()
        delay_links(fleet, 1)
        value_before = fleet.object("group", GROUP)["value"]
        writers = Writers(fleet)
        end = time.monotonic() + args.seconds
        while time.monotonic() < end:
            name, fault = rng.choice(faults(fleet, rng))
            counts[name] += 1
            fault()
            time.sleep(rng.uniform(0.5, 2.0))
        time.sleep(3)
        writers.stop()
        value_after = fleet.object("group", GROUP)["value"]
        lost = writers.acknowledged_rows - stored_rows(fleet)
    return {
        "seconds": args.seconds,
        "seed": args.seed,
        "faults": dict(counts),
        "needless_changes": value_after["term"] - value_before["term"],
        "acknowledged": len(writers.acknowledged_rows),
        "acknowledged_and_lost": len(lost),
        "outcomes": writers.outcomes,
    }


def faults(
    fleet: Fleet, rng: random.Random
) -> list[tuple[str, Callable[[], None]]]:
    """Return the faults to choose from, each of which ends by itself."""
    vm = rng.choice(list(fleet.vms))
    target = rng.choice(list(fleet.targets))

    def pause_vm() -> None:
        fleet.freeze(vm)
        time.sleep(PAUSE_SECONDS)
        fleet.thaw(vm)

    def silence_connections() -> None:
        fleet.set_link_mode(f"target:{target}", "silent")
        time.sleep(1)
        fleet.set_link_mode(f"target:{target}", "delay", delay_ms=1)

    def slow_link() -> None:
        fleet.set_link_mode(f"target:{target}", "delay", delay_ms=100)
        time.sleep(2)
        fleet.set_link_mode(f"target:{target}", "delay", delay_ms=1)

    def slow_platform() -> None:
        fleet.set_platform_faults(slow_ms=400)
        time.sleep(4)
        fleet.set_platform_faults(slow_ms=0)

    def stop_platform() -> None:
        fleet.set_platform_faults(outage="refuse")
        time.sleep(2)
        fleet.set_platform_faults(outage="none")

    def lose_answers() -> None:
        fleet.set_platform_faults(lose_answers=3, lose_kind="")

    return [
        ("vm_paused", pause_vm),
        ("connections_silent", silence_connections),
        ("link_slow", slow_link),
        ("platform_slow", slow_platform),
        ("platform_down", stop_platform),
        ("answers_lost", lose_answers),
    ]


if __name__ == "__main__":
    main()
