"""Count the platform's calls by purpose: calm, in an outage and after it.

    python -m bench.platform_calls --out bench/results/platform_calls.json

Real processes: nine VMs, three groups of three targets and the platform's
stand-in, without statements.
"""

from __future__ import annotations

import argparse
from collections import Counter
import json
import pathlib
import time
from typing import Any

from bamboospring.testing.fleet import Fleet
from bamboospring.testing.topology import CARPATICA

PLATFORM = "platform"
CALM_SECONDS = 60
OUTAGE_SECONDS = 30
AFTER_SECONDS = 20


def counts(fleet: Fleet) -> Counter[str]:
    """Return calls so far by kind and purpose, without the bench's own."""
    counters = fleet.counters(PLATFORM)
    found: Counter[str] = Counter()
    for kind in ("reads", "writes"):
        for purpose, number in counters[kind].items():
            if purpose != "none":
                found[f"{kind} {purpose}"] += number
    return found


def rates(fleet: Fleet, seconds: int) -> dict[str, Any]:
    """Return calls a second by purpose, and the busiest second's calls."""
    begun = counts(fleet)
    before = begun
    busiest = 0
    for _ in range(seconds):
        time.sleep(1)
        now = counts(fleet)
        busiest = max(busiest, (now - before).total())
        before = now
    spent = before - begun
    return {
        "seconds": seconds,
        "per_second": {
            name: round(number / seconds, 2)
            for name, number in sorted(spent.items())
        },
        "total_per_second": round(spent.total() / seconds, 2),
        "busiest_second": busiest,
    }


def main() -> None:
    """Measure the three phases and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    results = {}
    with Fleet(topology=CARPATICA) as fleet:
        fleet.wait_serving()
        time.sleep(5)
        results["calm"] = rates(fleet, CALM_SECONDS)
        fleet.set_platform_faults(outage="refuse")
        results["outage"] = rates(fleet, OUTAGE_SECONDS)
        fleet.set_platform_faults(outage="none")
        results["after"] = rates(fleet, AFTER_SECONDS)
    text = json.dumps(results, indent=1)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
