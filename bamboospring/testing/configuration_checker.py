"""Checks that VMs put configurations in force in time, and never go back.

Each change of the configuration adds one database and removes the previous
one. The checker asks every VM for the newest database again and again. Bounds
hold for VMs that no fault has disturbed for a while; a VM that has served the
database once must not refuse it afterwards.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from dataclasses import field
import random
import time

from bamboospring.testing.session_fleet import SessionFleet
from bamboospring.testing.session_fleet import VmProcess

__all__ = ["EVERY_VM", "ConfigurationChecker", "Disturbances"]

EVERY_VM = "*"
# Seconds until a configuration is in force at an undisturbed VM.
IN_FORCE = 3.0
# A VM is undisturbed if this many seconds have passed since the last fault.
CALM = 4.0
# With load control, configurations cross slow links between regions.
IN_FORCE_LOAD_CONTROL = 5.0
CALM_LOAD_CONTROL = 5.0
# Seconds in which a VM may refuse a database that it has served before.
REGRESSION = 0.25
CHANGE_INTERVAL = (1.0, 5.0)
POLL_INTERVAL = 0.15
ANSWER_TIMEOUT = 1.0
# A longer delay of this process's event loop disturbs everything.
MAX_LOOP_DELAY = 0.5


@dataclass(slots=True, kw_only=True)
class _Disturbance:
    name: str
    began_at: float
    ended_at: float = float("inf")


@dataclass(slots=True, kw_only=True)
class Disturbances:
    """The faults that explain a delay, by VM; `EVERY_VM` for all of them."""

    _all: list[_Disturbance] = field(default_factory=list)

    @contextmanager
    def during(self, *names: str) -> Iterator[None]:
        """Record a fault that disturbs these VMs."""
        now = time.monotonic()
        begun = [_Disturbance(name=name, began_at=now) for name in names]
        self._all.extend(begun)
        try:
            yield
        finally:
            for each in begun:
                each.ended_at = time.monotonic()

    def record(self, *names: str) -> None:
        """Record a fault of this instant."""
        with self.during(*names):
            pass

    def is_calm(self, vm: str, since: float) -> bool:
        """Return whether nothing has disturbed a VM since an instant."""
        return not any(
            each.ended_at >= since and each.name in (vm, EVERY_VM)
            for each in self._all
        )


@dataclass(slots=True, kw_only=True)
class _Served:
    """The newest database that one run of a VM has served."""

    process_id: int = 0
    change: int = 0
    at: float = 0.0


class ConfigurationChecker:
    """Changes the configuration at random times and asks all VMs for it."""

    def __init__(
        self,
        *,
        fleet: SessionFleet,
        disturbances: Disturbances,
        seed: int,
        load_control: bool,
    ) -> None:
        self._fleet = fleet
        self._disturbances = disturbances
        self._rng = random.Random(f"{seed}/configuration")
        self._in_force = IN_FORCE_LOAD_CONTROL if load_control else IN_FORCE
        self._calm = CALM_LOAD_CONTROL if load_control else CALM
        self._change = 0
        self._changed_at = 0.0
        # The delays until changes were in force, for reports.
        self.delays: list[float] = []

    async def run(self) -> None:
        """Change and check until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._change_configuration())
            tasks.create_task(self._watch_loop())
            for vm in self._fleet.vms.values():
                tasks.create_task(self._check_vm(vm))

    async def _change_configuration(self) -> None:
        while True:
            self._change += 1
            self._fleet.added_databases[:] = [_database(self._change)]
            self._fleet.write_config()
            self._changed_at = time.monotonic()
            await asyncio.sleep(self._rng.uniform(*CHANGE_INTERVAL))

    async def _watch_loop(self) -> None:
        while True:
            due = time.monotonic() + POLL_INTERVAL
            await asyncio.sleep(POLL_INTERVAL)
            if time.monotonic() - due > MAX_LOOP_DELAY:
                self._disturbances.record(EVERY_VM)

    async def _check_vm(self, vm: VmProcess) -> None:
        served = _Served()
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            change, changed_at = self._change, self._changed_at
            process_id = vm.process.pid
            sent_at = time.monotonic()
            is_known = await _knows(vm.callers, _database(change))
            if is_known is None or vm.process.pid != process_id:
                continue
            if self._change != change:
                # The next change may have removed the database already.
                continue
            if served.process_id != process_id:
                served = _Served(process_id=process_id)
            if is_known:
                if change > served.change:
                    self.delays.append(time.monotonic() - changed_at)
                    served.change = change
                    served.at = time.monotonic()
            elif change == served.change and sent_at > served.at + REGRESSION:
                self._report(vm, change, "is refused after it was served")
            elif sent_at > changed_at + self._in_force:
                if self._disturbances.is_calm(vm.name, sent_at - self._calm):
                    age = sent_at - changed_at
                    self._report(vm, change, f"is unknown after {age:.2f} s")

    def _report(self, vm: VmProcess, change: int, problem: str) -> None:
        self._fleet.checker.violations.append(
            f"added database {_database(change)} {problem} at {vm.name}"
        )


def _database(change: int) -> str:
    return f"checked-{change}"


async def _knows(address: str, database: str) -> bool | None:
    """Return whether a VM has a database; None if it gives no such answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(ANSWER_TIMEOUT):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"OPEN {database} checker\r\n".encode())
            line = await reader.readline()
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
    if line.startswith(b"READY"):
        return True
    return False if line.startswith(b"ERROR NODATABASE") else None
