"""Count calls to the platform by purpose before, during and after an outage.

    python -m bench.platform_calls --out bench/results/platform_calls.json

Runs real processes: nine VMs, three groups of three targets and the platform
stand-in. No statements are sent.
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


def count_calls(fleet: Fleet) -> Counter[str]:
    """Return all calls by kind and purpose, without those of the benchmark."""
    counters = fleet.counters(PLATFORM)
    calls: Counter[str] = Counter()
    for kind in ("reads", "writes"):
        for purpose, number in counters[kind].items():
            if purpose != "none":
                calls[f"{kind} {purpose}"] += number
    return calls


def measure_rates(fleet: Fleet, seconds: int) -> dict[str, Any]:
    """Return calls per second by purpose and those of the busiest second."""
    first = count_calls(fleet)
    before = first
    busiest = 0
    for _ in range(seconds):
        time.sleep(1)
        now = count_calls(fleet)
        busiest = max(busiest, (now - before).total())
        before = now
    total = before - first
    return {
        "seconds": seconds,
        "per_second": {
            name: round(number / seconds, 2)
            for name, number in sorted(total.items())
        },
        "total_per_second": round(total.total() / seconds, 2),
        "busiest_second": busiest,
    }


def main() -> None:
    """Measure the three phases and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    results = {}
    with Fleet(topology=CARPATICA) as fleet:
        fleet.wait_serving()
        time.sleep(5)
        results["calm"] = measure_rates(fleet, CALM_SECONDS)
        fleet.set_platform_faults(outage="refuse")
        results["outage"] = measure_rates(fleet, OUTAGE_SECONDS)
        fleet.set_platform_faults(outage="none")
        results["after"] = measure_rates(fleet, AFTER_SECONDS)
    text = json.dumps(results, indent=1)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
