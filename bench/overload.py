"""Measure goodput and refusals under overload, with and without admission.

Capacity is measured in the same run by as many direct callers as the targets
have slots, each of which sends its next statement immediately. The load tool
then sends half of the capacity, the capacity and twice the capacity through
the proxy. The baseline is the same program without admission, in which every
statement waits until its deadline. In the runs `own_first`, entries don't
count the statements that are in flight to each holder. In the runs `apart`, no
entry is a holder, which is the case for 99 % of the statements of a large
fleet; in all other runs every entry is a holder.

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
RATE_SECONDS = 10.0
DEADLINE_MS = 250
CAPACITY_FACTORS = (0.5, 1.0, 2.0)


class BaselineFleet(Fleet):
    """A fleet whose VMs run without admission."""

    serve = "unbounded_serve"

    def _spawn(self, name: str, module: str, *args: str) -> Any:
        if name in self.vms:
            module = self.serve
        return super()._spawn(name, module, *args)


class OwnFirstFleet(BaselineFleet):
    """A fleet whose entries don't count statements in flight to holders."""

    serve = "own_first_serve"


def run_closed_loop(address: str, deadline: float) -> int:
    direct = overhead.DirectConnection(address)
    count = 0
    while time.monotonic() < deadline:
        direct.read()
        count += 1
    return count


def measure_capacity(fleet: Fleet) -> float:
    """Return the statements per second of the replicas.

    The replicas serve all reads.
    """
    end = time.monotonic() + 4.0
    loops = [
        lambda t=name: run_closed_loop(fleet.targets[t].listen, end)
        for name in fleet.replicas(support.GROUP)
        for _ in range(SLOTS)
    ]
    return sum(support.in_threads(loops)) / 4.0


def non_holder_entries(fleet: Fleet) -> list[str]:
    """Return the entries of the VMs that don't hold the group."""
    return [fleet.vms[name].entry for name in fleet.not_holders(support.GROUP)]


def measure(
    kind: type[Fleet], *, non_holders_only: bool = False
) -> dict[str, Any]:
    fleet = kind(
        topology=support.make_topology(
            slots=SLOTS, connections=40, statement_ms=STATEMENT_MS
        ),
        vms=6 if non_holders_only else 3,
    )
    try:
        fleet.start()
        fleet.wait_serving()
        capacity = measure_capacity(fleet)
        result: dict[str, Any] = {"capacity_per_s": round(capacity, 1)}
        for factor in CAPACITY_FACTORS:
            result[f"at_{factor:g}x"] = measure_at_rate(
                (
                    non_holder_entries(fleet)
                    if non_holders_only
                    else fleet.entries()
                ),
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


def measure_at_rate(
    entries: list[str], rate: float, capacity: float
) -> dict[str, Any]:
    result = support.run_load(
        entries=entries,
        group=support.GROUP,
        rate=rate,
        seconds=RATE_SECONDS,
        callers=600,
        sessions_per_caller=10,
        read_sql=support.READ,
        deadline_ms=DEADLINE_MS,
    )
    done = result["outcomes"].get("done", 0) / RATE_SECONDS
    return {
        "sent_per_s": round(rate, 1),
        "goodput_per_s": round(done, 1),
        "goodput_of_capacity": round(done / capacity, 3),
        "outcomes": result["outcomes"],
        "reasons": result["reasons"],
        "latency_ms": result["latency_ms"],
    }


def main() -> None:
    result = {
        "admission": measure(Fleet),
        "own_first": measure(OwnFirstFleet),
        "baseline": measure(BaselineFleet),
        "admission_apart": measure(Fleet, non_holders_only=True),
        "own_first_apart": measure(OwnFirstFleet, non_holders_only=True),
    }
    support.write("overload", result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
