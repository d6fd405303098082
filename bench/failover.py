"""Measure how long writes fail while a primary is replaced.

    python bench/failover.py --runs 20 --out bench/results/failover.json

Runs real processes on one machine. Each chunk of data to targets, peers and
platform is delayed by `--delay-ms` in each direction. Callers write
continuously. The gap of a run is the time from the last write acknowledged at
the old term to the first one at the new term. The steps are those that the
steward logs: `detect` lasts from the fault to the start of the steward's
change, `decide` until the steward requests the term, then follow `win`,
`fence`, `promote` and `record`; `spread` lasts until the first write is
acknowledged.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace
from datetime import datetime
import itertools
import json
import os
from pathlib import Path
import re
import statistics
import threading
import time
from typing import Any

from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.topology import SMALL

GROUP = "ledger"
SCHEMA = "CREATE TABLE entries (id INTEGER PRIMARY KEY, body TEXT);"
WRITE = "INSERT INTO entries VALUES (?, 'x')"
WRITER_COUNT = 6
SETTLE_SECONDS = 1.5
LOGGED_STEPS = (
    "probe",
    "pause",
    "catch_up",
    "win",
    "fence",
    "promote",
    "record",
)
LOG_FIELD = re.compile(r"(\w+)=(\S+)")


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """How to make a primary fail and how to recover it."""

    inject: Callable[[Fleet, str], None]
    heal: Callable[[Fleet, str], None]


class Writers:
    """Threads that each write distinct rows through all VMs."""

    def __init__(self, fleet: Fleet) -> None:
        self.acknowledgements: list[tuple[float, int]] = []
        self.outcomes: dict[str, int] = {}
        self.acknowledged_rows: set[int] = set()
        self._fleet = fleet
        self._numbers = itertools.count(1)
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(WRITER_COUNT)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, index: int) -> None:
        caller = Caller(
            entries=self._fleet.entries(), entry_index=index, deadline_ms=5000
        )
        while not self._stop.is_set():
            row = next(self._numbers)
            try:
                answer = caller.write(GROUP, WRITE, [row])
            except OSError:
                continue
            count = self.outcomes.get(answer.outcome, 0)
            self.outcomes[answer.outcome] = count + 1
            if answer.done:
                self.acknowledged_rows.add(row)
                self.acknowledgements.append((time.time(), answer.term))
            else:
                time.sleep(0.005)

    def stop(self) -> None:
        """Stop the writers and wait for their threads."""
        self._stop.set()
        for thread in self._threads:
            thread.join()


def main() -> None:
    """Run the selected kinds of faults and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=20)
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--delay-ms", type=int, default=1)
    parser.add_argument("--kinds", nargs="*", default=[])
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    result: dict[str, Any] = {
        "runs": args.runs,
        "vms": args.vms,
        "delay_ms": args.delay_ms,
        "writers": WRITER_COUNT,
    }
    for kind in args.kinds or list(faults(0)):
        result[kind] = run_kind(kind, args)
        print(kind, json.dumps(result[kind]["summary"]), flush=True)
    if args.out is not None:
        args.out.parent.mkdir(parents=True, exist_ok=True)
        args.out.write_text(json.dumps(result, indent=1) + "\n")


def faults(delay_ms: int) -> dict[str, Fault]:
    """Return the kinds of faults by name."""

    def link(fleet: Fleet, target: str, mode: str) -> None:
        fleet.set_link_mode(f"target:{target}", mode, delay_ms=delay_ms)

    normal = "delay" if delay_ms else "pass"
    return {
        "crash": Fault(inject=Fleet.kill, heal=Fleet.restart),
        "freeze": Fault(inject=Fleet.freeze, heal=Fleet.thaw),
        "partition": Fault(
            inject=lambda fleet, name: link(fleet, name, "freeze"),
            heal=lambda fleet, name: link(fleet, name, normal),
        ),
        "reset": Fault(
            inject=lambda fleet, name: link(fleet, name, "cut"),
            heal=lambda fleet, name: link(fleet, name, normal),
        ),
        "planned": Fault(
            inject=lambda fleet, name: fleet.set_target(name, leaving=True),
            heal=lambda fleet, name: fleet.set_target(name, leaving=False),
        ),
    }


def run_kind(kind: str, args: argparse.Namespace) -> dict[str, Any]:
    """Run one kind of fault repeatedly on one fleet."""
    fault = faults(args.delay_ms)[kind]
    load_before = os.getloadavg()[0]
    topology = replace(SMALL, schema=SCHEMA)
    with Fleet(topology=topology, links=True, vms=args.vms) as fleet:
        fleet.wait_serving()
        delay_links(fleet, args.delay_ms)
        writers = Writers(fleet)
        wait_until(
            lambda: len(writers.acknowledgements) > 100,
            seconds=30,
            what="writes",
        )
        time.sleep(SETTLE_SECONDS)
        runs = [run_once(fleet, writers, fault) for _ in range(args.runs)]
        writers.stop()
        lost = writers.acknowledged_rows - stored_rows(fleet)
    return {
        "summary": summarize(runs),
        "load_average": [round(load_before, 1), round(os.getloadavg()[0], 1)],
        "acknowledged": len(writers.acknowledged_rows),
        "acknowledged_and_lost": len(lost),
        "outcomes": writers.outcomes,
        "runs": runs,
    }


def delay_links(fleet: Fleet, delay_ms: int) -> None:
    """Delay all links but those of the callers."""
    if not delay_ms:
        return
    names = [f"target:{name}" for name in fleet.targets]
    names += [f"peers:{name}" for name in fleet.vms]
    names += [f"platform:{name}" for name in fleet.vms]
    for name in names:
        fleet.set_link_mode(name, "delay", delay_ms=delay_ms)


def run_once(fleet: Fleet, writers: Writers, fault: Fault) -> dict[str, float]:
    """Make the primary fail once, measure the gap and recover it."""
    value = fleet.object("group", GROUP)["value"]
    term, primary = value["term"], value["primary"]
    failed_at = time.time()
    fault.inject(fleet, primary)
    wait_until(
        lambda: any(t > term for _, t in writers.acknowledgements[-50:]),
        seconds=30,
        what="a write at a later term",
    )
    time.sleep(0.3)
    acknowledgements = list(writers.acknowledgements)
    last_old_at = max(at for at, t in acknowledgements if t == term)
    first_new_at, new_term = min(
        (at, t) for at, t in acknowledgements if t > term
    )
    steps = logged_steps(fleet, new_term, failed_at, first_new_at)
    fault.heal(fleet, primary)
    wait_until(
        lambda: has_converged(fleet), seconds=30, what="targets at one term"
    )
    time.sleep(SETTLE_SECONDS)
    gap = round((first_new_at - last_old_at) * 1000, 1)
    return {"gap_ms": gap, "terms": new_term - term, **steps}


def logged_steps(
    fleet: Fleet, term: int, failed_at: float, first_new_at: float
) -> dict[str, float]:
    """Return the duration of each step in ms from the steward's log."""
    for name in fleet.vms:
        lines = fleet.process(name).tail(200).splitlines()
        for line in reversed(lines):
            fields = dict(LOG_FIELD.findall(line))
            if fields.get("event") != "primary_changed":
                continue
            if fields["term"] != str(term):
                continue
            ended_at = datetime.fromisoformat(fields["time"]).timestamp()
            steps = {s: float(fields.get(f"{s}_ms", 0)) for s in LOGGED_STEPS}
            started_at = ended_at - sum(steps.values()) / 1000
            return {
                "detect_ms": round((started_at - failed_at) * 1000, 1),
                "decide_ms": steps["probe"],
                "pause_ms": steps["pause"] + steps["catch_up"],
                "win_ms": steps["win"],
                "fence_ms": steps["fence"],
                "promote_ms": steps["promote"],
                "record_ms": steps["record"],
                "spread_ms": round((first_new_at - ended_at) * 1000, 1),
            }
    return {}


def has_converged(fleet: Fleet) -> bool:
    """Return whether all targets are at one term with one primary."""
    probes = [fleet.probe(name) for name in fleet.targets]
    terms = {probe["term"] for probe in probes}
    last = {probe["last_term"] for probe in probes}
    roles = sorted(probe["role"] for probe in probes)
    return (
        len(terms) == 1
        and last == terms
        and roles == ["primary", "replica", "replica"]
    )


def stored_rows(fleet: Fleet) -> set[int]:
    """Return the IDs of the rows stored at the primary."""
    rows = fleet.query(fleet.primary(GROUP), "SELECT id FROM entries")
    return {row[0] for row in rows}


def summarize(runs: list[dict[str, float]]) -> dict[str, Any]:
    """Return the median and the maximum of each figure."""
    names = sorted({name for run in runs for name in run})
    summary: dict[str, Any] = {"runs": len(runs)}
    for name in names:
        values = [run[name] for run in runs if name in run]
        summary[name] = {
            "median": round(statistics.median(values), 1),
            "max": max(values),
        }
    return summary


if __name__ == "__main__":
    main()
