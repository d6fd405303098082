"""Goodput and refusals at twice the capacity, with and without admission.

Capacity is measured in the same run: as many direct callers as the targets
have slots, each sending its next statement at once. Then the load tool sends
half and twice as much through the proxy. The baseline is the same program
without admission: there every statement waits until its deadline. With
`own_first` entries do not count what holders owe them. All entries are holders
but in the runs `apart`, where none is one, as it is for 99 % of the statements
of a large fleet.

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

    serve = "unbounded_serve"

    def _spawn(self, name: str, module: str, *args: str) -> Any:
        if name in self.vms:
            module = self.serve
        return super()._spawn(name, module, *args)


class OwnFirstFleet(BaselineFleet):
    """A fleet whose entries do not count what holders owe them."""

    serve = "own_first_serve"


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


def entries_apart(fleet: Fleet) -> list[str]:
    """Return the entries of VMs that do not hold the group."""
    return [fleet.vms[name].entry for name in fleet.not_holders(support.GROUP)]


def measure(kind: type[Fleet], *, apart: bool = False) -> dict[str, Any]:
    fleet = kind(
        topology=support.estate(
            slots=SLOTS, connections=40, statement_ms=STATEMENT_MS
        ),
        vms=6 if apart else 3,
    )
    try:
        fleet.start()
        fleet.wait_serving()
        capacity = measure_capacity(fleet)
        result: dict[str, Any] = {"capacity_per_s": round(capacity, 1)}
        for factor in RATES:
            result[f"at_{factor:g}x"] = at_rate(
                entries_apart(fleet) if apart else fleet.entries(),
                capacity * factor,
                capacity,
            )
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


def at_rate(
    entries: list[str], rate: float, capacity: float
) -> dict[str, Any]:
    found = support.run_load(
        entries=entries,
        group=support.GROUP,
        rate=rate,
        seconds=SECONDS,
        callers=600,
        sessions_per_caller=10,
        read_sql=support.READ,
        deadline_ms=DEADLINE_MS,
    )
    done = found["outcomes"].get("done", 0) / SECONDS
    return {
        "sent_per_s": round(rate, 1),
        "goodput_per_s": round(done, 1),
        "goodput_of_capacity": round(done / capacity, 3),
        "outcomes": found["outcomes"],
        "reasons": found["reasons"],
        "latency_ms": found["latency_ms"],
    }


def main() -> None:
    result = {
        "admission": measure(Fleet),
        "own_first": measure(OwnFirstFleet),
        "baseline": measure(BaselineFleet),
        "admission_apart": measure(Fleet, apart=True),
        "own_first_apart": measure(OwnFirstFleet, apart=True),
    }
    support.write("overload", result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
