"""Helpers that the steps of several features share."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import threading
from typing import Any

from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import call_json
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.topology import SMALL
from bamboospring.testing.topology import Topology

__all__ = [
    "GROUP",
    "SCHEMA",
    "call_json",
    "caller_at",
    "in_threads",
    "start_fleet",
]

GROUP = "ledger"
SCHEMA = """
CREATE TABLE entries (id INTEGER PRIMARY KEY, body TEXT);
CREATE TABLE balances (name TEXT PRIMARY KEY, amount INTEGER);
INSERT INTO balances VALUES ('a', 1000), ('b', 1000);
"""


def start_fleet(
    context: Any,
    *,
    vms: int = 3,
    rows: dict[str, dict[str, Any]] | None = None,
    **changes: Any,
) -> Fleet:
    """Start a fleet with links; it is closed at the end of the scenario."""
    topology: Topology = dataclasses.replace(SMALL, schema=SCHEMA, **changes)
    fleet = Fleet(topology=topology, links=True, vms=vms, table_rows=rows)
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    fleet.start()
    fleet.wait_serving()
    return fleet


def caller_at(fleet: Fleet, vm: str, **options: Any) -> Caller:
    """Return a new caller that uses the entry of one VM at first."""
    names = list(fleet.vms)
    return Caller(
        entries=fleet.entries(), entry_index=names.index(vm), **options
    )


def in_threads(works: list[Callable[[], Any]]) -> list[Any]:
    """Run all functions concurrently and return their results in order."""
    results: list[Any] = [None] * len(works)
    errors: list[BaseException] = []
    start = threading.Barrier(len(works))

    def run(index: int) -> None:
        try:
            start.wait()
            results[index] = works[index]()
        except BaseException as exc:
            errors.append(exc)

    threads = [
        threading.Thread(target=run, args=(index,), daemon=True)
        for index in range(len(works))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    if errors:
        raise errors[0]
    return results


def set_lag(fleet: Fleet, lag: int) -> None:
    """Set the apply lag in milliseconds once all replicas have caught up."""

    def have_applied_start() -> bool:
        return all(fleet.probe(name)["applied"] for name in fleet.targets)

    wait_until(
        have_applied_start, seconds=10, what="replicas to apply the start"
    )
    for name in fleet.targets:
        fleet.set_target(name, apply_lag_ms=lag)
