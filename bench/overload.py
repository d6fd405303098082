"""Goodput and refusals at twice the capacity, with and without admission.

Capacity is measured in the same run: as many direct callers as the targets
have slots, each sending its next statement at once. Then the load tool sends
half and twice as much through the proxy. The baseline is the same program
without admission: there every statement waits until its deadline.

    python bench/overload.py
"""

from __future__ import annotations

import json
import time
from typing import Any

import overhead
import support

from bamboospring.testing.fleet import Fleet

STATEMENT_MS = 20
SLOTS = 3
SECONDS = 10.0
DEADLINE_MS = 250
RATES = (0.5, 1.0, 2.0)


class BaselineFleet(Fleet):
    """A fleet whose VMs run without admission."""

    def _spawn(self, name: str, module: str, *args: str) -> Any:
        if name in self.vms:
            module = "unbounded_serve"
        return super()._spawn(name, module, *args)


def closed_loop(address: str, end: float) -> int:
    direct = overhead.Direct(address)
    count = 0
    while time.monotonic() < end:
        direct.read()
        count += 1
    return count


def measure_capacity(fleet: Fleet) -> float:
    """Return statements a second of the replicas, which serve all reads."""
    end = time.monotonic() + 4.0
    works = [
        lambda t=name: closed_loop(fleet.targets[t].listen, end)
        for name in fleet.replicas(support.GROUP)
        for _ in range(SLOTS)
    ]
    return sum(support.in_threads(works)) / 4.0


def measure(kind: type[Fleet]) -> dict[str, Any]:
    fleet = kind(
        estate=support.estate(
            slots=SLOTS, connections=40, statement_ms=STATEMENT_MS
        ),
        vms=3,
    )
    try:
        fleet.start()
        fleet.wait_serving()
        capacity = measure_capacity(fleet)
        result: dict[str, Any] = {"capacity_per_s": round(capacity, 1)}
        for factor in RATES:
            result[f"at_{factor:g}x"] = at_rate(fleet, capacity, factor)
        result["targets"] = {
            name: {
                key: value
                for key, value in fleet.counters(name).items()
                if key.startswith(("refused_", "peak_"))
            }
            for name in fleet.targets
        }
        return result
    finally:
        fleet.close()


def at_rate(fleet: Fleet, capacity: float, factor: float) -> dict[str, Any]:
    found = support.run_load(
        entries=fleet.entries(),
        group=support.GROUP,
        rate=capacity * factor,
        seconds=SECONDS,
        callers=600,
        sessions_per_caller=10,
        read_sql=support.READ,
        deadline_ms=DEADLINE_MS,
    )
    done = found["outcomes"].get("done", 0) / SECONDS
    return {
        "sent_per_s": round(capacity * factor, 1),
        "goodput_per_s": round(done, 1),
        "goodput_of_capacity": round(done / capacity, 3),
        "outcomes": found["outcomes"],
        "reasons": found["reasons"],
        "latency_ms": found["latency_ms"],
    }


def main() -> None:
    result = {
        "admission": measure(Fleet),
        "baseline": measure(BaselineFleet),
    }
    support.write("overload", result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
