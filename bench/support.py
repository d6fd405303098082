"""Shared helpers of the benchmarks: fleets, load and result files."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json
import os
from pathlib import Path
import platform
import subprocess
import sys
import threading
import time
from typing import Any

from bamboospring.testing.fleet import call_json
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.topology import SMALL
from bamboospring.testing.topology import Topology

RESULTS = Path(__file__).parent / "results"
GROUP = "ledger"
SCHEMA = """
CREATE TABLE entries (id INTEGER PRIMARY KEY, body TEXT);
INSERT INTO entries VALUES (1, 'one');
"""
READ = "SELECT body FROM entries WHERE id = 1"
WRITE = "UPDATE entries SET body = 'two' WHERE id = 1"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def make_topology(**changes: Any) -> Topology:
    """Return a topology of one group of three targets with a small table."""
    return dataclasses.replace(SMALL, schema=SCHEMA, **changes)


def start(vms: int = 3, settings: Any = None, **changes: Any) -> Fleet:
    """Start a fleet and wait until it serves."""
    fleet = Fleet(
        topology=make_topology(**changes), vms=vms, settings=settings
    )
    fleet.start()
    fleet.wait_serving()
    return fleet


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_kb(pid: int) -> dict[str, int]:
    """Return a process's resident and anonymous memory in KB."""
    sizes = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "RssAnon"):
            sizes[name] = int(value.split()[0])
    return sizes


def start_load(**options: Any) -> Callable[[], dict[str, Any]]:
    """Start the load tool as a process and return a function to wait for it.

    The function returns the summary of the load.
    """
    code = (
        "import json, sys\n"
        "from bamboospring import load\n"
        "plan = load.LoadPlan(**json.loads(sys.argv[1]))\n"
        "print(json.dumps(load.run(plan).summary()))\n"
    )
    options["entries"] = tuple(options["entries"])
    process = subprocess.Popen(
        [sys.executable, "-c", code, json.dumps(options)],
        stdout=subprocess.PIPE,
        text=True,
    )

    def wait() -> dict[str, Any]:
        text, _ = process.communicate(timeout=options["seconds"] + 30)
        return json.loads(text)

    return wait


def run_load(**options: Any) -> dict[str, Any]:
    """Run the load tool in a separate process and return its summary."""
    return start_load(**options)()


def write(name: str, result: dict[str, Any]) -> None:
    """Write a result file that also describes the machine and its load."""
    result = {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load_average": os.getloadavg(),
        "date": time.strftime("%Y-%m-%d %H:%M", time.gmtime()),
        **result,
    }
    RESULTS.mkdir(exist_ok=True)
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(result, indent=1) + "\n")
    print(f"wrote {path.name}")


def in_threads(calls: list[Callable[[], Any]]) -> list[Any]:
    """Run all calls concurrently and return their results in order."""
    results: list[Any] = [None] * len(calls)

    def run(index: int) -> None:
        results[index] = calls[index]()

    threads = [
        threading.Thread(target=run, args=(index,))
        for index in range(len(calls))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


__all__ = [
    "GROUP",
    "READ",
    "WRITE",
    "call_json",
    "in_threads",
    "memory_kb",
    "processor_seconds",
    "run_load",
    "start",
    "start_load",
    "write",
]
