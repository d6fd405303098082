"""Operators, background load and fleets for several features."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
from dataclasses import dataclass
from dataclasses import field
import itertools
import os
import subprocess
import sys
import threading
import time
from typing import Any

from bamboospring.rendezvous import shard_of
from bamboospring.testing.caller import Caller
from bamboospring.testing.fleet import Fleet
from bamboospring.testing.fleet import OPERATOR_TOKEN
from bamboospring.testing.operator import Operator
from bamboospring.testing.operator import TableVersionObserver
from bamboospring.testing.timestamps import timestamp
from bamboospring.testing.topology import SMALL
from bamboospring.testing.topology import Topology

__all__ = [
    "TableVersionObserver",
    "GROUP",
    "BackgroundLoad",
    "Operator",
    "SCHEMA",
    "run_table_command",
    "same_shard_names",
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
    vms: int,
    settings: dict[str, Any] | None = None,
    lag_ms: int = 0,
    **changes: Any,
) -> Fleet:
    """Start a fleet behind fault links; it is closed after the scenario."""
    topology: Topology = dataclasses.replace(SMALL, schema=SCHEMA, **changes)
    fleet = Fleet(
        topology=topology,
        links=True,
        vms=vms,
        settings=settings or {},
        vm_list_lag_ms=lag_ms,
    )
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    fleet.start()
    fleet.wait_serving()
    return fleet


@dataclass(slots=True, kw_only=True)
class BackgroundLoad:
    """Callers that continuously read, write and run transactions.

    Each caller has its own session and changes its entry after every turn.
    Every answer other than done is added to `failures`. With
    `hold_seconds` only one caller runs transactions, and each stays open for
    that long: a transaction blocks all other writers.
    """

    fleet: Fleet
    callers: int = 4
    pause_seconds: float = 0.02
    hold_seconds: float = 0.0
    entries: Sequence[str] = ()
    failures: list[str] = field(default_factory=list)
    done: int = 0
    transactions: int = 0
    slowest: float = 0.0
    _stop: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> "BackgroundLoad":
        """Start the callers."""
        for number in range(self.callers):
            thread = threading.Thread(
                target=self._work, args=(number,), daemon=True
            )
            self._threads.append(thread)
            thread.start()
        return self

    def stop(self) -> None:
        """Wait until all statements in progress are finished."""
        self._stop.set()
        for thread in self._threads:
            thread.join(15)

    def _work(self, number: int) -> None:
        # Not a copy: a given list is updated as VMs are added and removed.
        entries = self.entries or self.fleet.entries()
        caller = Caller(
            entries=entries, name=f"load-{number}", entry_index=number
        )
        for turn in itertools.count():
            if self._stop.wait(self.pause_seconds):
                break
            # Closes connections to VMs that the balancer no longer lists. When
            # such a VM returns, it is another process.
            caller.close_connections_except(list(entries))
            caller.roam()
            try:
                self._run_statement(
                    caller, turn, self.hold_seconds == 0 or number == 0
                )
            except ConnectionError as exc:
                self.failures.append(f"{timestamp()} connect: {exc!r}")
        caller.close()

    def _run_statement(
        self, caller: Caller, turn: int, transacts: bool
    ) -> None:
        if turn % 5 == 4 and transacts:
            self._run_transaction(caller)
        elif turn % 5 == 0:
            insert = "INSERT INTO entries (body) VALUES (?)"
            self._record_answer("write", caller.write(GROUP, insert, ["x"]))
        else:
            self._record_answer("read", caller.read(GROUP, "SELECT 1"))

    def _run_transaction(self, caller: Caller) -> None:
        begun = caller.begin(GROUP)
        if not self._record_answer("begin", begun):
            return
        time.sleep(self.hold_seconds)
        handle = begun.transaction
        for sql in (
            "UPDATE balances SET amount = amount - 1 WHERE name = 'a'",
            "UPDATE balances SET amount = amount + 1 WHERE name = 'b'",
        ):
            step = caller.statement(GROUP, handle, sql)
            if not self._record_answer("statement", step):
                return
            handle = step.transaction
        caller.roam()
        if self._record_answer("commit", caller.commit(GROUP, handle)):
            self.transactions += 1

    def _record_answer(self, what: str, answer: Any) -> bool:
        self.slowest = max(self.slowest, answer.elapsed)
        if answer.done:
            self.done += 1
        else:
            self.failures.append(
                f"{answer.received_at} {what} after {answer.elapsed:.2f} s: "
                f"{answer.outcome} {answer.reason} {answer.message}"
            )
        return bool(answer.done)


def run_table_command(
    fleet: Fleet, vm: str, *args: str, **env: str
) -> subprocess.CompletedProcess[str]:
    """Run `bamboospring table ...` as an operator."""
    return subprocess.run(
        [sys.executable, "-m", "bamboospring", "table", *args],
        env={
            **os.environ,
            "BAMBOOSPRING_VM": fleet.vms[vm].operators_listen,
            "BAMBOOSPRING_TOKEN": OPERATOR_TOKEN,
            "BAMBOOSPRING_AUTHOR": "ana",
            **env,
        },
        capture_output=True,
        text=True,
        timeout=60,
    )


def same_shard_names(group: str, count: int) -> list[str]:
    """Return names of groups in the same table shard as a group."""
    names = (f"{group}-{number}" for number in itertools.count())
    shared = (name for name in names if shard_of(name) == shard_of(group))
    return list(itertools.islice(shared, count))
