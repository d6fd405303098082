"""Count needless changes of primary under faults that ask for none.

    python bench/soak.py --seconds 120 --out bench/results/soak.json

Real processes under writes. Every few seconds one of these comes: a VM is
paused for 5 seconds, the connections to a target go silent for good while new
ones work, a link is slow, the platform is slow, is down for 2 seconds or loses
an answer. No target ever fails, so each change of term is a needless one.
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

PAUSE = 5.0


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
    """Bring faults about until the time is over."""
    chances = random.Random(args.seed)
    counts: Counter[str] = Counter()
    with Fleet(
        topology=replace(SMALL, schema=SCHEMA), links=True, vms=args.vms
    ) as fleet:
        fleet.wait_serving()
        delay_links(fleet, 1)
        before = fleet.object("group", GROUP)["value"]
        writers = Writers(fleet)
        end = time.monotonic() + args.seconds
        while time.monotonic() < end:
            name, fault = chances.choice(faults(fleet, chances))
            counts[name] += 1
            fault()
            time.sleep(chances.uniform(0.5, 2.0))
        time.sleep(3)
        writers.stop()
        after = fleet.object("group", GROUP)["value"]
        lost = writers.rows - stored_rows(fleet)
    return {
        "seconds": args.seconds,
        "seed": args.seed,
        "faults": dict(counts),
        "needless_changes": after["term"] - before["term"],
        "acknowledged": len(writers.rows),
        "acknowledged_and_lost": len(lost),
        "outcomes": writers.outcomes,
    }


def faults(
    fleet: Fleet, chances: random.Random
) -> list[tuple[str, Callable[[], None]]]:
    """Return the faults to choose from, each with its own end."""
    vm = chances.choice(list(fleet.vms))
    target = chances.choice(list(fleet.targets))

    def pause() -> None:
        fleet.freeze(vm)
        time.sleep(PAUSE)
        fleet.thaw(vm)

    def silence() -> None:
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

    def outage() -> None:
        fleet.set_platform_faults(outage="refuse")
        time.sleep(2)
        fleet.set_platform_faults(outage="none")

    def lose() -> None:
        fleet.set_platform_faults(lose_answers=3, lose_kind="")

    return [
        ("vm_paused", pause),
        ("connections_silent", silence),
        ("link_slow", slow_link),
        ("platform_slow", slow_platform),
        ("platform_down", outage),
        ("answers_lost", lose),
    ]


if __name__ == "__main__":
    main()
