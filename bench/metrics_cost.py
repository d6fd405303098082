"""Compare the cost of recording a statement: plain counters and the SDK.

    python bench/metrics_cost.py --out bench/results/metrics_cost.json

Both are measured in one process, one after the other, over several rounds. The
result has the median, the minimum and the maximum of the rounds.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import json
from pathlib import Path
import statistics
import time
from typing import Any

from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.metrics import MeterProvider

from bamboospring.metrics import Metrics
from bamboospring.metrics_export import Exporter
from bamboospring.outcomes import Done
from bamboospring.statements import Statement

ROUNDS = 7
CALLS_PER_ROUND = 20_000
GROUPS = 530


def main() -> None:
    """Measure both ways and write the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    metrics = Metrics(
        is_known_group=lambda _: True, slow_threshold=lambda _: 0.1
    )
    result = {
        "rounds": ROUNDS,
        "calls": CALLS_PER_ROUND,
        "plain_us": _measure(_plain_recorder(metrics)),
        "sdk_histogram_us": _measure(_sdk_recorder()),
        **_measure_scrape(metrics),
    }
    text = json.dumps(result, indent=2)
    print(text)
    if args.out is not None:
        args.out.parent.mkdir(parents=True, exist_ok=True)
        args.out.write_text(text + "\n")


def _measure(call: Callable[[], None]) -> dict[str, float]:
    rounds = []
    for _ in range(ROUNDS):
        started_at = time.perf_counter()
        for _ in range(CALLS_PER_ROUND):
            call()
        rounds.append(
            (time.perf_counter() - started_at) / CALLS_PER_ROUND * 1e6
        )
    return {
        "median": round(statistics.median(rounds), 3),
        "least": round(min(rounds), 3),
        "most": round(max(rounds), 3),
    }


def _statement(group: str) -> Statement:
    return Statement(
        group=group,
        caller="caller",
        write=False,
        sql="SELECT 1",
        params=b"[]",
        deadline=1.0,
    )


def _plain_recorder(metrics: Metrics) -> Callable[[], None]:
    stmt = _statement("group-1")
    outcome = Done(term=1, index=1, target="t", at_replica=True)
    return lambda: metrics.record_answer(stmt, outcome, 0.004, 1.0)


def _sdk_recorder() -> Callable[[], None]:
    provider = MeterProvider(metric_readers=[InMemoryMetricReader()])
    meter = provider.get_meter("bench")
    histogram = meter.create_histogram("duration", unit="s")
    attributes = {"db.operation.name": "read"}
    return lambda: histogram.record(0.004, attributes)


def _measure_scrape(metrics: Metrics) -> dict[str, Any]:
    """Return the cost of a scrape at an entry that has served all groups."""
    import gzip

    outcome = Done(term=1, index=1, target="t", at_replica=True)
    for number in range(GROUPS):
        stmt = _statement(f"database-group-{number}")
        metrics.record_answer(stmt, outcome, 0.004, 1.0)
    exporter = Exporter(vm="vm-1", availability_zone="zone-a")
    exporter.text(metrics.series())
    started_at = time.perf_counter()
    text = exporter.text(metrics.series())
    seconds = time.perf_counter() - started_at
    return {
        "scrape_groups": GROUPS,
        "scrape_ms": round(seconds * 1000, 2),
        "scrape_bytes": len(text),
        "scrape_gzip_bytes": len(gzip.compress(text, 1)),
    }


if __name__ == "__main__":
    main()
