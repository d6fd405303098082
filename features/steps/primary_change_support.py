"""Callers that write continuously, and the outcomes of their writes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
import itertools
import threading
import time
from typing import Any

from fleet_support import GROUP

from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet

__all__ = ["ChangeLoad", "WriteRecord"]


@dataclass(frozen=True, slots=True, kw_only=True)
class WriteRecord:
    """One write: its row, its start and end times, and its outcome."""

    row: int
    began: float
    ended: float
    outcome: str
    term: int


class ChangeLoad:
    """Threads that write distinct rows through all VMs, or some."""

    def __init__(
        self,
        fleet: Fleet,
        *,
        threads: int = 4,
        entries: Sequence[str] = (),
        first_row: int = 1,
    ) -> None:
        self.records: list[WriteRecord] = []
        self._entries = entries or fleet.entries()
        self._stop = threading.Event()
        self._rows = itertools.count(first_row)
        self._threads = [
            threading.Thread(target=self._run, args=(index,), daemon=True)
            for index in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, index: int) -> None:
        caller = Caller(
            entries=self._entries, entry_index=index, deadline_ms=2000
        )
        while not self._stop.is_set():
            row = next(self._rows)
            record = self._write(caller, row)
            self.records.append(record)
            if record.outcome != "done":
                caller.roam()
                time.sleep(0.02)

    def _write(self, caller: Caller, row: int) -> WriteRecord:
        sql = "INSERT INTO entries VALUES (?, 'x')"
        outcome, term = "lost", 0
        began = time.monotonic()
        try:
            answer = caller.write(GROUP, sql, [row])
            outcome, term = answer.outcome, answer.term
        except OSError:
            # No session was opened, so nothing was sent.
            outcome = "not_run"
        return WriteRecord(
            row=row,
            began=began,
            ended=time.monotonic(),
            outcome=outcome,
            term=term,
        )

    def stop(self) -> None:
        """End the load and wait for the writes in flight."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def rows(self, *outcomes: str) -> set[int]:
        """Return the rows of writes with the given outcomes."""
        return {r.row for r in self.records if r.outcome in outcomes}

    def done_since(self, instant: float) -> list[WriteRecord]:
        """Return the acknowledged writes that ended after an instant."""
        return [
            r
            for r in self.records
            if r.outcome == "done" and r.ended > instant
        ]

    def check(self, stored: set[Any]) -> None:
        """Compare the rows that a member holds with the callers' outcomes."""
        lost = self.rows("done") - stored
        assert not lost, f"acknowledged and lost: {sorted(lost)[:10]}"
        ran = stored & self.rows("not_run", "overloaded")
        assert not ran, f"reported as not run, but stored: {sorted(ran)[:10]}"
