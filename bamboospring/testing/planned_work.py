"""Operators at work beside a soak's faults: edits and restarts of VMs.

What operators were told is kept and held against the platform's history at
the end: an accepted edit is there, one that was refused is not, and no VM
ever went back to an older version. The seed fixes the order of the work.
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

EDIT_PAUSE = (0.2, 1.5)
RESTART_PAUSE = (1.0, 4.0)
FIRST_STALENESS_MS = 2000
EXIT_SECONDS = 8.0
IN_FORCE_SECONDS = 20.0
NOT_STORED = frozenset(("refused", "overtaken", "unavailable"))


class PlannedWork:
    """Shifts weights from site to site, and restarts VMs one by one."""

    def __init__(
        self, *, fleet: Fleet, seed: int, restarting: threading.Lock
    ) -> None:
        self.verdicts: Counter[str] = Counter()
        self._fleet = fleet
        # Faults restart VMs too.
        self._restarting = restarting
        self._seed = seed
        self._told: dict[str, str] = {}
        self._ended = threading.Event()
        self._observer = TableVersionObserver(fleet)
        self._threads = [
            threading.Thread(target=work, daemon=True)
            for work in (self._edit, self._restart)
        ]

    def start(self) -> None:
        """Begin; both kinds of work go on side by side."""
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Stop, with what is under way done."""
        self._ended.set()
        for thread in self._threads:
            thread.join(60)

    def check(self) -> list[str]:
        """Return what is wrong once all faults are undone."""
        history = self._wait_history()
        wrong = [
            f"edit {number}: {verdict}, but in the history {count} times"
            for number, verdict in self._told.items()
            if _contradicts(verdict, count := history[number])
        ]
        try:
            wait_until(
                self._all_in_force,
                seconds=IN_FORCE_SECONDS,
                what="the accepted table in force at all VMs",
            )
        except Exception as exc:
            wrong.append(repr(exc))
        self._observer.stop()
        return wrong + self._observer.regressions

    def _edit(self) -> None:
        chance = random.Random(f"edits/{self._seed}")
        for serial in itertools.count():
            if self._ended.wait(chance.uniform(*EDIT_PAUSE)):
                return
            weight = chance.choice((0, 30, 70, 100))
            column = chance.choice(("read_weights", "write_weights"))
            cells = {
                column: {"old": weight, "new": 100 - weight},
                # An edit that changes nothing is not kept in the history.
                "max_staleness_ms": FIRST_STALENESS_MS + serial,
            }
            group = chance.choice(self._fleet.topology.groups)
            vm = chance.choice(sorted(self._fleet.vms))
            self._submit(vm, group, cells)

    def _submit(self, vm: str, group: str, cells: dict[str, Any]) -> None:
        number = uuid.uuid4().hex
        operator = Operator(fleet=self._fleet, vm=vm)
        try:
            report = operator.edit(
                group, cells, if_version=None, edit_id=number
            )
        except Unreachable:
            report = {"verdict": "unreachable"}
        self._told[number] = report.get("verdict", "no report")
        self.verdicts["edit:" + self._told[number]] += 1

    def _restart(self) -> None:
        chance = random.Random(f"restarts/{self._seed}")
        while not self._ended.wait(chance.uniform(*RESTART_PAUSE)):
            name = chance.choice(sorted(self._fleet.vms))
            self._fleet.terminate(name)
            how = "restart"
            try:
                self._fleet.process(name).wait_exit(EXIT_SECONDS)
            except Exception:
                # Frozen by a fault, or kept by a transaction.
                how = "restart by kill"
            self.verdicts[how] += 1
            with self._restarting:
                self._fleet.restart(name)

    def _wait_history(self) -> Counter[str]:
        found: list[Any] = []

        def read() -> bool:
            for vm in self._fleet.vms:
                operator = Operator(fleet=self._fleet, vm=vm)
                if operator.call("GET", "/table")["source"] != "accepted":
                    continue
                found[:] = operator.call("GET", "/table/history")
                return True
            return False

        wait_until(read, seconds=IN_FORCE_SECONDS, what="the history")
        return Counter(change["id"] for change in found)

    def _all_in_force(self) -> bool:
        tables = [
            Operator(fleet=self._fleet, vm=vm).in_force()
            for vm in self._fleet.vms
        ]
        first = Operator(fleet=self._fleet, vm=next(iter(self._fleet.vms)))
        accepted = first.call("GET", "/table")
        if accepted["source"] != "accepted":
            return False
        edited = [row for row in accepted["rows"] if row["version"]]
        return all(_rows(table["rows"]) == _rows(edited) for table in tables)


def _contradicts(verdict: str, count: int) -> bool:
    if verdict == "accepted":
        return count != 1
    return count > 1 or (verdict in NOT_STORED and count > 0)


def _rows(rows: list[dict[str, Any]]) -> dict[str, dict[str, Any]]:
    return {
        row["group"]: {k: v for k, v in row.items() if k != "version"}
        for row in rows
    }
