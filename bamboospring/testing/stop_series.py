"""Stops VMs in overlapping series, and checks that no statement is cut.

A VM that is told to stop must answer each statement that it gets until its
process is gone. Only a VM that is killed may leave statements unanswered.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import os
import random
import signal
import time

from bamboospring.testing.session_checker import Cut
from bamboospring.testing.session_fleet import SessionFleet
from bamboospring.testing.session_fleet import VmProcess

__all__ = ["StopSeries", "VmStops"]

SERIES_PAUSE = (0.5, 3.0)
STOP_GAP = (0.0, 1.5)
RESTART_DELAY = (0.0, 0.5)
# Seconds after its start when a process certainly handles SIGHUP.
RELOADABLE_AFTER = 2.0
# Seconds for which a kill may become visible to callers late.
KILL_MARGIN = 0.2


@dataclass(slots=True, kw_only=True)
class VmStops:
    """Which VMs are being stopped, and which were killed when."""

    stopping: set[str] = field(default_factory=set)
    stop_count: int = 0
    _kills: list[tuple[str, float]] = field(default_factory=list)

    def kill(self, vm: VmProcess) -> None:
        """Kill a VM, which may leave statements unanswered."""
        self._kills.append((vm.callers, time.monotonic()))
        vm.process.kill()

    async def stop(self, vm: VmProcess) -> bool:
        """Stop a VM and wait for its end; False if it is stopping already.

        A second signal would end the process at once.
        """
        if vm.name in self.stopping or not vm.process.running:
            return False
        self.stopping.add(vm.name)
        self.stop_count += 1
        vm.process.terminate()
        for _ in range(100):
            if not vm.process.running:
                break
            await asyncio.sleep(0.1)
        self.stopping.discard(vm.name)
        return True

    def unexplained(self, cuts: list[Cut]) -> list[str]:
        """Return the cuts that no kill explains."""
        return [
            f"{cut.id} was cut at {cut.address} "
            f"{cut.ended_at - cut.sent_at:.3f} s after it was sent"
            for cut in cuts
            if not any(
                address == cut.address
                and cut.opened_at <= at <= cut.ended_at + KILL_MARGIN
                for address, at in self._kills
            )
        ]


class StopSeries:
    """Stops, restarts and reloads VMs at random times, several at once."""

    def __init__(
        self,
        *,
        fleet: SessionFleet,
        stops: VmStops,
        seed: int,
        record: Callable[[str], None],
        disturb: Callable[[str], None],
    ) -> None:
        self._fleet = fleet
        self._stops = stops
        self._rng = random.Random(f"{seed}/stops")
        self._record = record
        self._disturb = disturb

    async def run(self, end: float) -> None:
        """Run series until a monotonic time, and wait for all restarts."""
        running = []
        started_at = time.monotonic()
        while time.monotonic() < end:
            await asyncio.sleep(self._rng.uniform(*SERIES_PAUSE))
            names = sorted(self._fleet.vms)
            count = self._rng.randint(1, len(names) - 1)
            for name in self._rng.sample(names, count):
                running.append(asyncio.create_task(self._restart(name)))
                await asyncio.sleep(self._rng.uniform(*STOP_GAP))
            if time.monotonic() - started_at > RELOADABLE_AFTER:
                self._reload(self._rng.choice(names))
        await asyncio.gather(*running)

    async def _restart(self, name: str) -> None:
        vm = self._fleet.vms[name]
        self._disturb(name)
        if await self._stops.stop(vm):
            self._record(f"stopped {name}")
            await asyncio.sleep(self._rng.uniform(*RESTART_DELAY))
            if not vm.process.running:
                vm.process.start()
        self._disturb(name)

    def _reload(self, name: str) -> None:
        """Send SIGHUP to a VM that is stopping."""
        vm = self._fleet.vms[name]
        if name in self._stops.stopping and vm.process.running:
            self._record(f"SIGHUP to {name}, which is stopping")
            os.kill(vm.process.pid, signal.SIGHUP)
