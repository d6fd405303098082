"""Compare the processor time of a statement between two source trees.

Starts a fleet from each tree in turn for several rounds, so that noise on the
host affects both trees alike, and prints the medians.

    python bench/compare.py NAME OTHER_TREE THIS_TREE
"""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
from typing import Any

import support

ROUNDS = 4
MEASURE_SCRIPT = """
import json, overhead, support
fleet = support.start(vms=4, slots=30, connections=60)
try:
    latency = overhead.measure_latency(fleet)
    cores = overhead.measure_cores(fleet)
finally:
    fleet.close()
print(json.dumps({"latency": latency, "cores": cores}))
"""
COST_KEYS = ("entry_us_per_statement", "holder_us_per_statement")


def measure(tree: str) -> dict[str, Any]:
    env = {**os.environ, "PYTHONPATH": f"{tree}:{tree}/bench"}
    completed = subprocess.run(
        [sys.executable, "-c", MEASURE_SCRIPT],
        env=env,
        cwd=tree,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return json.loads(completed.stdout.splitlines()[-1])


def medians(samples: list[dict[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {
        key: statistics.median(each["cores"][key] for each in samples)
        for key in COST_KEYS
    }
    for path in ("direct", "holder", "entry_and_holder"):
        result[f"{path}_p50_us"] = statistics.median(
            each["latency"][path]["p50_us"] for each in samples
        )
    result["load_p50_ms"] = statistics.median(
        each["cores"]["latency_ms"]["done"]["p50"] for each in samples
    )
    return result


def main() -> None:
    name, *trees = sys.argv[1:]
    samples: list[list[dict[str, Any]]] = [[] for _ in trees]
    for _ in range(ROUNDS):
        for index, tree in enumerate(trees):
            samples[index].append(measure(tree))
    before, after = (medians(each) for each in samples)
    result = {"rounds": ROUNDS, "before": before, "after": after}
    support.write(name, result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
