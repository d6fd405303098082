"""Compare two source trees: processor time for each statement.

Starts a fleet from each tree in turn, several rounds, so that a noisy host
hits both alike, and prints the medians.

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
CODE = """
import json, overhead, support
fleet = support.start(vms=4, slots=30, connections=60)
try:
    latency = overhead.measure_latency(fleet)
    cores = overhead.measure_cores(fleet)
finally:
    fleet.close()
print(json.dumps({"latency": latency, "cores": cores}))
"""
KEYS = ("entry_us_per_statement", "holder_us_per_statement")


def measure(tree: str) -> dict[str, Any]:
    env = {**os.environ, "PYTHONPATH": f"{tree}:{tree}/bench"}
    done = subprocess.run(
        [sys.executable, "-c", CODE],
        env=env,
        cwd=tree,
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    return json.loads(done.stdout.splitlines()[-1])


def medians(found: list[dict[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {
        key: statistics.median(each["cores"][key] for each in found)
        for key in KEYS
    }
    for way in ("direct", "holder", "entry_and_holder"):
        result[f"{way}_p50_us"] = statistics.median(
            each["latency"][way]["p50_us"] for each in found
        )
    result["load_p50_ms"] = statistics.median(
        each["cores"]["latency_ms"]["done"]["p50"] for each in found
    )
    return result


def main() -> None:
    name, *trees = sys.argv[1:]
    found: list[list[dict[str, Any]]] = [[] for _ in trees]
    for _ in range(ROUNDS):
        for place, tree in enumerate(trees):
            found[place].append(measure(tree))
    before, after = (medians(each) for each in found)
    result = {"rounds": ROUNDS, "before": before, "after": after}
    support.write(name, result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
