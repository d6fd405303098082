"""Measure the share of reads at replicas and violations of sessions.

    python bench/replica_share.py --seconds 5 --out bench/results/...json

The same callers do the same work under three policies in one run:

- `bamboospring`: reads go through the fleet, which chooses the target;
- `primary`: reads go through the fleet with all read weights at zero, so that
  the primary serves every read; this is the baseline;
- `random`: reads go directly to a random replica, without a session. This
  policy must violate read-your-writes; otherwise the check cannot fail.

Writes always go through the fleet. A third of the callers write a number and
read it back in their session. The others only make lookups that accept data up
to 2 s old.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import replace
import http.client
import json
import os
from pathlib import Path
import platform
import random
import threading
import time
from typing import Any

from hdrh.histogram import HdrHistogram

from bamboospring.rendezvous import shard_of
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.topology import MALABAR

GROUP = MALABAR.groups[0]
VMS = 3
CALLER_COUNT = 9
WRITER_COUNT = 3
OWN_READS_PER_WRITE = 3
STALENESS_MS = 2000
THINK_SECONDS = 0.02
LOOKUP_THINK_SECONDS = 0.005
# A replica that has just begun to lag is fresh enough for lookups until its
# data are older than the staleness that lookups accept. Reads in this time are
# not counted.
WARM_UP_SECONDS = STALENESS_MS / 1000 + 0.5
POLICIES = ("bamboospring", "primary", "random")
SCHEMA = "CREATE TABLE notes (name TEXT PRIMARY KEY, number INTEGER);"
WRITE = (
    "INSERT INTO notes VALUES (?, ?)"
    " ON CONFLICT (name) DO UPDATE SET number = excluded.number"
)
READ = "SELECT number FROM notes WHERE name = ?"


@dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Lag and number of stopped replicas during a measurement."""

    name: str
    lag_ms: int
    stopped: int = 0


CONDITIONS = (
    Condition(name="lag 0 ms", lag_ms=0),
    Condition(name="lag 50 ms", lag_ms=50),
    Condition(name="lag 500 ms", lag_ms=500),
    Condition(name="lag 5 s", lag_ms=5000),
    Condition(name="lag 50 ms, one replica stopped", lag_ms=50, stopped=1),
)


@dataclass(slots=True, kw_only=True)
class Score:
    """Counts and latencies of one policy under one condition."""

    condition: str
    policy: str
    reads: int = 0
    at_replicas: int = 0
    lookups: int = 0
    lookups_at_replicas: int = 0
    own_reads: int = 0
    own_at_replicas: int = 0
    stale_own_reads: int = 0
    not_done: int = 0
    writes: int = 0
    replica_share: float = 0.0
    own_replica_share: float = 0.0
    lookup_replica_share: float = 0.0
    read_p50_ms: float = 0.0
    read_p99_ms: float = 0.0


class DirectReader:
    """Reader that bypasses the fleet and reads at a random replica."""

    def __init__(self, addresses: list[str]) -> None:
        self._conns = [self._open(address) for address in addresses]

    def read(self, name: str) -> list[list[Any]]:
        """Return the rows that a random replica has applied."""
        conn = random.choice(self._conns)
        body = {
            "id": 2,
            "term": 0,
            "kind": "read",
            "sql": READ,
            "params": [name],
            "tx": None,
            "key": None,
            "caller": name,
            "min_index": 0,
            "deadline_ms": 2000,
        }
        conn.request("POST", "/execute", json.dumps(body))
        answer = json.loads(conn.getresponse().read())
        return list(answer["rows"])

    def close(self) -> None:
        """Close all connections."""
        for conn in self._conns:
            conn.close()

    def _open(self, address: str) -> http.client.HTTPConnection:
        host, port = address.rsplit(":", 1)
        conn = http.client.HTTPConnection(host, int(port), timeout=5)
        conn.request("POST", "/connect", '{"id": 1, "holder": "bench"}')
        conn.getresponse().read()
        return conn


class Worker:
    """A caller that works under one policy."""

    def __init__(self, *, fleet: Fleet, number: int, policy: str) -> None:
        self.score = Score(condition="", policy=policy)
        self.latency = HdrHistogram(1, 60_000_000, 3)
        self._name = f"caller-{number}"
        self._is_writer = number < WRITER_COUNT
        self._caller = Caller(
            entries=fleet.entries(), name=self._name, entry_index=number
        )
        self._direct: DirectReader | None = None
        if policy == "random":
            addresses = [
                fleet.targets[name].listen
                for name in fleet.replicas(GROUP)
                if name not in STOPPED_REPLICAS
            ]
            self._direct = DirectReader(addresses)

    def run(self, begin: float, end: float) -> None:
        """Work until `end` and count operations from `begin` on."""
        counted = False
        for number in self._numbers(end):
            if not counted and time.monotonic() >= begin:
                counted = True
                self.score = Score(condition="", policy=self.score.policy)
                self.latency.reset()
            self._caller.roam()
            if self._is_writer:
                self._write_and_read(number)
            else:
                self._look_up()
        self._caller.close()
        if self._direct is not None:
            self._direct.close()

    def _numbers(self, end: float) -> Iterator[int]:
        number = 0
        while time.monotonic() < end:
            number += 1
            yield number

    def _write_and_read(self, number: int) -> None:
        answer = self._caller.write(GROUP, WRITE, [self._name, number])
        if answer.done:
            self.score.writes += 1
            for _ in range(OWN_READS_PER_WRITE):
                self._read_own(number)
        else:
            self.score.not_done += 1
        time.sleep(THINK_SECONDS)

    def _look_up(self) -> None:
        rows, at_replica = self._read(STALENESS_MS)
        if rows is not None:
            self.score.lookups += 1
            self.score.lookups_at_replicas += at_replica
        time.sleep(LOOKUP_THINK_SECONDS)

    def _read_own(self, number: int) -> None:
        self._caller.roam()
        rows, at_replica = self._read(None)
        if rows is None:
            return
        self.score.own_reads += 1
        self.score.own_at_replicas += at_replica
        if not rows or rows[0][0] != number:
            self.score.stale_own_reads += 1

    def _read(self, staleness_ms: int | None) -> tuple[Any, bool]:
        started_at = time.monotonic()
        if self._direct is not None:
            rows: Any = self._direct.read(self._name)
            at_replica = True
        else:
            answer = self._caller.read(
                GROUP, READ, [self._name], staleness_ms=staleness_ms
            )
            if not answer.done:
                self.score.not_done += 1
                return None, False
            rows, at_replica = answer.rows, answer.at_replica
        latency_us = int((time.monotonic() - started_at) * 1e6)
        self.latency.record_value(max(1, latency_us))
        self.score.reads += 1
        self.score.at_replicas += at_replica
        return rows, at_replica


STOPPED_REPLICAS: set[str] = set()


def set_weights(fleet: Fleet, policy: str) -> None:
    """Set the read weights that a policy needs."""
    row: dict[str, Any] = {"group": GROUP}
    if policy == "primary":
        row["read_weights"] = {"old": 0, "new": 0}
    shard = str(shard_of(GROUP))
    fleet.put_object("table", shard, {"rows": {GROUP: row}})
    time.sleep(2.0)


def measure(
    fleet: Fleet, condition: Condition, policy: str, seconds: float
) -> Score:
    """Run all callers and return the sum of their scores."""
    workers = [
        Worker(fleet=fleet, number=number, policy=policy)
        for number in range(CALLER_COUNT)
    ]
    begin = time.monotonic() + WARM_UP_SECONDS
    end = begin + seconds
    threads = [
        threading.Thread(target=worker.run, args=(begin, end), daemon=True)
        for worker in workers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum_scores(workers, condition, policy)


def sum_scores(
    workers: list[Worker], condition: Condition, policy: str
) -> Score:
    """Return the sum of the workers' scores."""
    total = Score(condition=condition.name, policy=policy)
    latency = HdrHistogram(1, 60_000_000, 3)
    counts = (
        "reads at_replicas lookups lookups_at_replicas own_reads"
        " own_at_replicas stale_own_reads not_done writes"
    )
    for worker in workers:
        latency.add(worker.latency)
        for name in counts.split():
            value = getattr(total, name) + getattr(worker.score, name)
            setattr(total, name, value)
    total.replica_share = share(total.at_replicas, total.reads)
    total.lookup_replica_share = share(
        total.lookups_at_replicas, total.lookups
    )
    total.own_replica_share = share(total.own_at_replicas, total.own_reads)
    total.read_p50_ms = latency.get_value_at_percentile(50) / 1000
    total.read_p99_ms = latency.get_value_at_percentile(99) / 1000
    return total


def share(part: int, whole: int) -> float:
    """Return a rounded share, or 0 if the whole is 0."""
    return round(part / whole, 4) if whole else 0.0


def prepare(fleet: Fleet, condition: Condition) -> None:
    """Set the lag and stop replicas according to the condition."""
    for name in list(STOPPED_REPLICAS):
        fleet.thaw(name)
        STOPPED_REPLICAS.discard(name)
    wait_until(
        lambda: replicas_are_level(fleet),
        seconds=20,
        what="replicas to be level",
    )
    for target in fleet.members(GROUP):
        fleet.set_target(target.name, apply_lag_ms=condition.lag_ms)
    for name in fleet.replicas(GROUP)[: condition.stopped]:
        fleet.freeze(name)
        STOPPED_REPLICAS.add(name)
    time.sleep(2.0)


def replicas_are_level(fleet: Fleet) -> bool:
    """Return whether all targets have applied the same entries."""
    probes = [fleet.probe(target.name) for target in fleet.members(GROUP)]
    return len({probe["applied"] for probe in probes}) == 1


def run(seconds: float) -> list[Score]:
    """Measure each policy under each condition in one fleet."""
    topology = replace(MALABAR, groups=(GROUP,), schema=SCHEMA)
    scores = []
    with Fleet(topology=topology, vms=VMS) as fleet:
        fleet.wait_serving()
        for condition in CONDITIONS:
            prepare(fleet, condition)
            for policy in POLICIES:
                set_weights(fleet, policy)
                score = measure(fleet, condition, policy, seconds)
                scores.append(score)
                print_score(score)
    return scores


def print_score(score: Score) -> None:
    """Print a score as one line."""
    print(
        f"{score.condition:<32}{score.policy:<14}"
        f"at replicas {score.replica_share:6.1%}"
        f"  lookups {score.lookup_replica_share:6.1%}"
        f"  own {score.own_replica_share:6.1%}"
        f"  stale {score.stale_own_reads}/{score.own_reads}"
        f"  p50 {score.read_p50_ms:.2f} ms  p99 {score.read_p99_ms:.2f} ms"
        f"  not done {score.not_done}",
        flush=True,
    )


def main() -> None:
    """Run the measurement and write its result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--out", type=Path)
    options = parser.parse_args()
    load_before = os.getloadavg()[0]
    scores = run(options.seconds)
    result = {
        "command": f"bench/replica_share.py --seconds {options.seconds:g}",
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load_average_before": round(load_before, 1),
        "load_average_after": round(os.getloadavg()[0], 1),
        "callers": CALLER_COUNT,
        "vms": VMS,
        "staleness_ms_of_lookups": STALENESS_MS,
        "scores": [asdict(score) for score in scores],
    }
    if options.out is not None:
        text = json.dumps(result, indent=1)
        options.out.write_text(text + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
