"""Measure the latency and processor time that the proxy adds to a statement.

One caller at a time sends a statement directly to a target stand-in, through a
holder (entry and holder in one process) and through an entry that forwards it.
The three paths take turns in one run, so that noise on the host affects them
alike. The statements per second and core follow from the processor time of
entry and holder under load.

    python bench/overhead.py
"""

from __future__ import annotations

import http.client
import json
import socket
import time
from typing import Any

from hdrh.histogram import HdrHistogram
import support

from bamboospring.testing.caller import Caller

ROUNDS = 60
CALLS_PER_TURN = 50
LOAD_SECONDS = 8.0


class DirectConnection:
    """A statement connection to a target that bypasses the proxy."""

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(":", 1)
        self._conn = http.client.HTTPConnection(host, int(port))
        self._conn.connect()
        self._conn.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._post("/connect", {"id": 0, "holder": "bench"})

    def read(self) -> None:
        body = {
            "id": 1,
            "term": 0,
            "kind": "read",
            "sql": support.READ,
            "params": [],
            "tx": None,
            "key": None,
            "caller": "bench",
            "min_index": 0,
            "deadline_ms": 1000,
        }
        assert self._post("/execute", body)["outcome"] == "ok"

    def _post(self, path: str, body: Any) -> Any:
        self._conn.request("POST", path, json.dumps(body))
        return json.loads(self._conn.getresponse().read())


def read_through(caller: Caller) -> None:
    answer = caller.read(support.GROUP, support.READ)
    assert answer.done, answer


def measure_latency(fleet: Any) -> dict[str, Any]:
    target = next(iter(fleet.targets.values()))
    direct = DirectConnection(target.listen)
    names = list(fleet.vms)
    holder = fleet.holders(support.GROUP)[0]
    other = fleet.not_holders(support.GROUP)[0]
    at_holder = Caller(
        entries=fleet.entries(), entry_index=names.index(holder)
    )
    at_entry = Caller(entries=fleet.entries(), entry_index=names.index(other))
    paths = {
        "direct": direct.read,
        "holder": lambda: read_through(at_holder),
        "entry_and_holder": lambda: read_through(at_entry),
    }
    histograms = {name: HdrHistogram(1, 10_000_000, 3) for name in paths}
    for number in range(ROUNDS):
        for name, call in paths.items():
            for _ in range(CALLS_PER_TURN):
                started_at = time.perf_counter()
                call()
                if number > 0:
                    elapsed_us = int((time.perf_counter() - started_at) * 1e6)
                    histograms[name].record_value(elapsed_us)
    return {
        name: percentiles(histogram) for name, histogram in histograms.items()
    }


def percentiles(histogram: Any) -> dict[str, float]:
    return {
        f"p{percent}_us": histogram.get_value_at_percentile(percent)
        for percent in (50, 90, 99)
    }


def measure_cores(fleet: Any) -> dict[str, Any]:
    """Load one entry and return the processor time by role."""
    holders = set(fleet.holders(support.GROUP))
    entry = fleet.not_holders(support.GROUP)[0]
    pids = {name: fleet.process(name).pid for name in fleet.vms}
    before = {name: support.processor_seconds(pids[name]) for name in pids}
    result = support.run_load(
        entries=[fleet.vms[entry].entry],
        group=support.GROUP,
        rate=1200,
        seconds=LOAD_SECONDS,
        callers=64,
        read_sql=support.READ,
        sessions_per_caller=1,
    )
    used = {
        name: support.processor_seconds(pids[name]) - before[name]
        for name in pids
    }
    done = result["outcomes"].get("done", 0)
    at_holders = sum(used[name] for name in holders)
    return {
        "done": done,
        "outcomes": result["outcomes"],
        "latency_ms": result["latency_ms"],
        "entry_us_per_statement": round(used[entry] / done * 1e6, 1),
        "holder_us_per_statement": round(at_holders / done * 1e6, 1),
        "entry_statements_per_core_s": round(done / used[entry]),
        "holder_statements_per_core_s": round(done / at_holders),
        "whole_path_statements_per_core_s": round(
            done / (used[entry] + at_holders)
        ),
    }


def main() -> None:
    fleet = support.start(vms=4, slots=30, connections=60)
    try:
        latency = measure_latency(fleet)
        cores = measure_cores(fleet)
    finally:
        fleet.close()
    direct = latency["direct"]
    added = {
        name: {
            f"p{percent}": round(
                (values[f"p{percent}_us"] - direct[f"p{percent}_us"])
                / direct[f"p{percent}_us"],
                2,
            )
            for percent in (50, 99)
        }
        for name, values in latency.items()
        if name != "direct"
    }
    result = {
        "latency": latency,
        "added_over_direct": added,
        "cores": cores,
    }
    support.write("overhead", result)
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main()
