"""Measure the time from accepting an edit to its being in force on all VMs.

    python -m bench.edit_spread --edits 60 --out bench/results/edit_spread.json

Real processes: the platform stand-in, a group of three targets and nine VMs,
without load and under the load of some callers. An edit goes through a VM of
its own turn; the time runs from the operator's call to the line
`table_in_force` in each VM's log, whose clock is this machine's.
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
CALLERS = 8
LINE = re.compile(
    r"^time=(\S+) .*event=table_in_force .*shard=(\d+) version=(\d+)"
)


def edit(fleet: Fleet, vm: str, value: int) -> int:
    """Make an edit and return the version that was accepted."""
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
    """Return when each version of the group's shard came into force."""
    found = {}
    for line in log.read_text(encoding="utf-8").splitlines():
        match = LINE.match(line)
        if match and int(match[2]) == shard_of(GROUP):
            moment = datetime.fromisoformat(match[1].replace("Z", "+00:00"))
            found[int(match[3])] = moment.timestamp()
    return found


def measure(fleet: Fleet, edits: int) -> dict[str, Any]:
    """Make edits and return how long each took to be in force."""
    names = list(fleet.vms)
    begun: dict[int, float] = {}
    accepted: dict[int, float] = {}
    for number in range(edits):
        # The log's clock has milliseconds; the edit's start is rounded down.
        start = int(time.time() * 1000) / 1000
        version = edit(fleet, names[number % len(names)], 1000 + number)
        begun[version] = start
        accepted[version] = time.time()
        time.sleep(0.2)
    time.sleep(10)
    logs = [times_in_force(fleet.directory / f"{name}.log") for name in names]
    everywhere = [
        max(log[version] for log in logs) - begun[version] for version in begun
    ]
    answers = [accepted[v] - begun[v] for v in begun]
    return {
        "vms": len(names),
        "edits": edits,
        "in_force_ms": summary(everywhere),
        "answered_ms": summary(answers),
    }


def summary(seconds: Sequence[float]) -> dict[str, float]:
    """Return median and largest in milliseconds."""
    return {
        "median": round(1000 * statistics.median(seconds), 1),
        "max": round(1000 * max(seconds), 1),
    }


def work(fleet: Fleet, at: int, stop: threading.Event) -> None:
    """Read all the time through all VMs."""
    caller = Caller(entries=fleet.entries(), entry_index=at)
    while not stop.is_set():
        caller.roam()
        caller.read(GROUP, "SELECT 1")


def main() -> None:
    """Measure without and with load and write the results."""
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
            threading.Thread(target=work, args=(fleet, at, stop), daemon=True)
            for at in range(CALLERS)
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
