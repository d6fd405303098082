"""Measure the time until an edit is in force on all VMs.

    python -m bench.edit_spread --edits 60 --out bench/results/edit_spread.json

Runs real processes: the platform stand-in, a group of three targets and nine
VMs, first without load and then with the load of several callers. Edits are
submitted to the VMs in turn. The time runs from the operator's call to the
line `table_in_force` in each VM's log; all logs use this machine's clock.
"""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from datetime import datetime
import http.client
import json
import pathlib
import re
import statistics
import threading
import time
from typing import Any
import uuid

from bamboospring.rendezvous import shard_of
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import OPERATOR_TOKEN
from bamboospring.testing.topology import CARPATICA

GROUP = CARPATICA.groups[0]
CALLER_COUNT = 8
TABLE_IN_FORCE_LINE = re.compile(
    r"^time=(\S+) .*event=table_in_force .*shard=(\d+) version=(\d+)"
)


def submit_edit(fleet: Fleet, vm: str, value: int) -> int:
    """Submit an edit and return the accepted version."""
    host, _, port = fleet.vms[vm].operators_listen.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=20)
    body = {
        "id": uuid.uuid4().hex,
        "author": "bench",
        "edits": [{"group": GROUP, "cells": {"max_staleness_ms": value}}],
    }
    headers = {
        "Authorization": f"Bearer {OPERATOR_TOKEN}",
        "Content-Type": "application/json",
    }
    conn.request("POST", "/table/edits", json.dumps(body), headers)
    report = json.loads(conn.getresponse().read())
    conn.close()
    return int(max(report["versions"].values()))


def times_in_force(log: pathlib.Path) -> dict[int, float]:
    """Return the times at which versions of the shard came into force."""
    times = {}
    for line in log.read_text(encoding="utf-8").splitlines():
        match = TABLE_IN_FORCE_LINE.match(line)
        if match and int(match[2]) == shard_of(GROUP):
            moment = datetime.fromisoformat(match[1].replace("Z", "+00:00"))
            times[int(match[3])] = moment.timestamp()
    return times


def measure(fleet: Fleet, edits: int) -> dict[str, Any]:
    """Submit edits and return how long each took to be in force."""
    names = list(fleet.vms)
    started_at: dict[int, float] = {}
    accepted_at: dict[int, float] = {}
    for number in range(edits):
        # Log timestamps have millisecond resolution. The start is rounded
        # down as well, so that an edit is never in force before its start.
        start = int(time.time() * 1000) / 1000
        version = submit_edit(fleet, names[number % len(names)], 1000 + number)
        started_at[version] = start
        accepted_at[version] = time.time()
        time.sleep(0.2)
    time.sleep(10)
    logs = [times_in_force(fleet.directory / f"{name}.log") for name in names]
    in_force_delays = [
        max(log[version] for log in logs) - started_at[version]
        for version in started_at
    ]
    response_delays = [accepted_at[v] - started_at[v] for v in started_at]
    return {
        "vms": len(names),
        "edits": edits,
        "in_force_ms": summarize(in_force_delays),
        "answered_ms": summarize(response_delays),
    }


def summarize(seconds: Sequence[float]) -> dict[str, float]:
    """Return the median and the maximum in milliseconds."""
    return {
        "median": round(1000 * statistics.median(seconds), 1),
        "max": round(1000 * max(seconds), 1),
    }


def read_until_stopped(
    fleet: Fleet, entry_index: int, stop: threading.Event
) -> None:
    """Read through all VMs in turn until `stop` is set."""
    caller = Caller(entries=fleet.entries(), entry_index=entry_index)
    while not stop.is_set():
        caller.roam()
        caller.read(GROUP, "SELECT 1")


def main() -> None:
    """Measure without and with load and write the results as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--edits", type=int, default=60)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    results = {}
    with Fleet(topology=CARPATICA) as fleet:
        fleet.wait_serving()
        time.sleep(3)
        results["idle"] = measure(fleet, options.edits)
        stop = threading.Event()
        threads = [
            threading.Thread(
                target=read_until_stopped, args=(fleet, at, stop), daemon=True
            )
            for at in range(CALLER_COUNT)
        ]
        for thread in threads:
            thread.start()
        results["under_load"] = measure(fleet, options.edits)
        stop.set()
        for thread in threads:
            thread.join(5)
    text = json.dumps(results, indent=1)
    print(text)
    if options.out:
        pathlib.Path(options.out).write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
