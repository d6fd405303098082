"""Operator work during the faults of a soak: edits and restarts of VMs.

The verdicts that operators got are compared with the platform's history at
the end: each accepted edit is in it, no refused edit is, and no VM ever
returned to an older version. The seed determines the sequence of the work.
"""

from __future__ import annotations

from collections import Counter
import itertools
import random
import threading
from typing import Any
import uuid

from bamboospring.operator_client import Unreachable
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import wait_until
from bamboospring.testing.operator import Operator
from bamboospring.testing.operator import TableVersionObserver

__all__ = ["PlannedWork"]

EDIT_PAUSE_SECONDS = (0.2, 1.5)
RESTART_PAUSE_SECONDS = (1.0, 4.0)
INITIAL_STALENESS_MS = 2000
EXIT_TIMEOUT = 8.0
IN_FORCE_TIMEOUT = 20.0
NOT_STORED_VERDICTS = frozenset(("refused", "overtaken", "unavailable"))


class PlannedWork:
    """Shifts weights between sites and restarts VMs one after another."""

    def __init__(
        self, *, fleet: Fleet, seed: int, restart_lock: threading.Lock
    ) -> None:
        self.verdicts: Counter[str] = Counter()
        self._fleet = fleet
        # Held during a restart, because faults restart VMs too.
        self._restart_lock = restart_lock
        self._seed = seed
        self._verdict_by_edit: dict[str, str] = {}
        self._stop_requested = threading.Event()
        self._observer = TableVersionObserver(fleet)
        self._threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._run_edits, self._run_restarts)
        ]

    def start(self) -> None:
        """Start both kinds of work, which run concurrently."""
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Stop after the current operations have ended."""
        self._stop_requested.set()
        for thread in self._threads:
            thread.join(60)

    def check(self) -> list[str]:
        """Return the violations found after all faults have been undone."""
        history = self._read_history()
        violations = [
            f"edit {edit_id}: {verdict}, but in the history {count} times"
            for edit_id, verdict in self._verdict_by_edit.items()
            if _contradicts_history(verdict, count := history[edit_id])
        ]
        try:
            wait_until(
                self._is_in_force_everywhere,
                seconds=IN_FORCE_TIMEOUT,
                what="the accepted table in force at all VMs",
            )
        except Exception as exc:
            violations.append(repr(exc))
        self._observer.stop()
        return violations + self._observer.regressions

    def _run_edits(self) -> None:
        rng = random.Random(f"edits/{self._seed}")
        for serial in itertools.count():
            if self._stop_requested.wait(rng.uniform(*EDIT_PAUSE_SECONDS)):
                return
            weight = rng.choice((0, 30, 70, 100))
            column = rng.choice(("read_weights", "write_weights"))
            cells = {
                column: {"old": weight, "new": 100 - weight},
                # A new value each time: an edit that changes nothing is not
                # recorded in the history.
                "max_staleness_ms": INITIAL_STALENESS_MS + serial,
            }
            group = rng.choice(self._fleet.topology.groups)
            vm = rng.choice(sorted(self._fleet.vms))
            self._submit_edit(vm, group, cells)

    def _submit_edit(self, vm: str, group: str, cells: dict[str, Any]) -> None:
        edit_id = uuid.uuid4().hex
        operator = Operator(fleet=self._fleet, vm=vm)
        try:
            report = operator.edit(
                group, cells, if_version=None, edit_id=edit_id
            )
        except Unreachable:
            report = {"verdict": "unreachable"}
        self._verdict_by_edit[edit_id] = report.get("verdict", "no report")
        self.verdicts["edit:" + self._verdict_by_edit[edit_id]] += 1

    def _run_restarts(self) -> None:
        rng = random.Random(f"restarts/{self._seed}")
        while not self._stop_requested.wait(
            rng.uniform(*RESTART_PAUSE_SECONDS)
        ):
            name = rng.choice(sorted(self._fleet.vms))
            self._fleet.terminate(name)
            verdict = "restart"
            try:
                self._fleet.process(name).wait_exit(EXIT_TIMEOUT)
            except Exception:
                # The VM is suspended by a fault or waits for a transaction.
                verdict = "restart by kill"
            self.verdicts[verdict] += 1
            with self._restart_lock:
                self._fleet.restart(name)

    def _read_history(self) -> Counter[str]:
        history: list[Any] = []

        def read() -> bool:
            for vm in self._fleet.vms:
                operator = Operator(fleet=self._fleet, vm=vm)
                if operator.call("GET", "/table")["source"] != "accepted":
                    continue
                history[:] = operator.call("GET", "/table/history")
                return True
            return False

        wait_until(read, seconds=IN_FORCE_TIMEOUT, what="the history")
        return Counter(change["id"] for change in history)

    def _is_in_force_everywhere(self) -> bool:
        tables = [
            Operator(fleet=self._fleet, vm=vm).in_force()
            for vm in self._fleet.vms
        ]
        first = Operator(fleet=self._fleet, vm=next(iter(self._fleet.vms)))
        accepted = first.call("GET", "/table")
        if accepted["source"] != "accepted":
            return False
        edited = [row for row in accepted["rows"] if row["version"]]
        return all(
            _rows_by_group(table["rows"]) == _rows_by_group(edited)
            for table in tables
        )


def _contradicts_history(verdict: str, count: int) -> bool:
    if verdict == "accepted":
        return count != 1
    return count > 1 or (verdict in NOT_STORED_VERDICTS and count > 0)


def _rows_by_group(rows: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    return {
        row["group"]: {k: v for k, v in row.items() if k != "version"}
        for row in rows
    }
