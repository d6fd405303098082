"""Measure the processor time of a statement at entry and holder.

    python bench/statement_cost.py --out bench/results/statement_cost.json

Callers send at several rates through one entry that doesn't hold the group.
The slope of processor time over statements is the cost of one statement; the
value of the fit at rate 0 is the cost of control. The rates take turns and are
each run twice, so that load on the machine affects all of them alike.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import dataclasses
import json
import os
from pathlib import Path
import threading
import time
from typing import Any

from fits import fit

from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.topology import SMALL

GROUP = "ledger"
SCHEMA = """
CREATE TABLE entries (id INTEGER PRIMARY KEY, body TEXT);
INSERT INTO entries VALUES (1, 'one');
"""
READ = "SELECT body FROM entries WHERE id = 1"
WRITE = "UPDATE entries SET body = 'two' WHERE id = 1"
# Statements per second, up to the rate of a VM at the design size: 1,833 per
# second, a fifth of them writes. The cost of a statement falls with the rate,
# because one wake-up of the event loop then serves several statements.
RATES = {"read": (300, 600, 1200, 1800), "write": (100, 200, 360)}
ROUNDS = 2
POINT_SECONDS = 4.0
THREADS = 24
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def main() -> None:
    """Measure reads and writes and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    topology = dataclasses.replace(SMALL, schema=SCHEMA, slots=9)
    with Fleet(topology=topology, vms=4) as fleet:
        fleet.wait_serving()
        result: dict[str, Any] = {
            kind: _measure(fleet, kind) for kind in RATES
        }
    result["load_average"] = os.getloadavg()
    text = json.dumps(result, indent=1)
    print(text)
    if args.out is not None:
        args.out.write_text(text + "\n")


def _measure(fleet: Fleet, kind: str) -> dict[str, Any]:
    entry = fleet.not_holders(GROUP)[0]
    holders = fleet.holders(GROUP)
    points = []
    for _ in range(ROUNDS):
        for rate in RATES[kind]:
            points.append(_measure_point(fleet, kind, rate, entry, holders))
    rates = [point["per_s"] for point in points]
    lines = {
        role: fit(rates, [point[role] for point in points]).as_json()
        for role in ("entry", "holders")
    }
    return {
        "points": points,
        "entry_us": _microseconds(lines["entry"]),
        "holder_us": _microseconds(lines["holders"]),
        "fits": lines,
    }


def _microseconds(line: dict[str, float]) -> dict[str, float]:
    return {
        "slope": round(line["slope"] * 1e6, 1),
        "error": round(line["slope_error"] * 1e6, 1),
    }


def _measure_point(
    fleet: Fleet, kind: str, rate: float, entry: str, holders: list[str]
) -> dict[str, float]:
    started_at = time.perf_counter()
    before_entry = _processor_seconds(fleet, [entry])
    before_holders = _processor_seconds(fleet, holders)
    done = _run_load(fleet.vms[entry].entry, kind, rate)
    elapsed = time.perf_counter() - started_at
    return {
        "asked_per_s": rate,
        "per_s": round(done / elapsed, 2),
        "entry": round(
            (_processor_seconds(fleet, [entry]) - before_entry) / elapsed, 5
        ),
        "holders": round(
            (_processor_seconds(fleet, holders) - before_holders) / elapsed, 5
        ),
    }


def _run_load(entry: str, kind: str, rate: float) -> int:
    """Send statements at a rate and return how many succeed."""
    done = [0] * THREADS
    end = time.perf_counter() + POINT_SECONDS

    def work(number: int) -> None:
        caller = Caller(entries=[entry])
        call: Callable[[], Any] = (
            (lambda: caller.read(GROUP, READ))
            if kind == "read"
            else (lambda: caller.write(GROUP, WRITE))
        )
        due = time.perf_counter() + number / rate
        while due < end:
            time.sleep(max(0.0, due - time.perf_counter()))
            done[number] += call().done
            due += THREADS / rate

    threads = [
        threading.Thread(target=work, args=(number,), daemon=True)
        for number in range(THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(done)


def _processor_seconds(fleet: Fleet, names: list[str]) -> float:
    total = 0
    for name in names:
        stat = Path(f"/proc/{fleet.process(name).pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        total += int(fields[11]) + int(fields[12])
    return total / TICKS_PER_SECOND


if __name__ == "__main__":
    main()
