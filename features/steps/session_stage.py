"""Run an estate of real VMs with callers and scheduled actions."""

from __future__ import annotations

import asyncio
from collections import Counter
import threading
import time

from bamboospring.testing.session_callers import SessionCaller
from bamboospring.testing.session_fleet import SessionFleet
from bamboospring.testing.session_members import MemberSettings

__all__ = [
    "SessionFleetRun",
    "act",
    "add_database",
    "check_opened",
    "crash",
]

ADDED = "added-database"
# Seconds after which a VM has failed to open the added database.
OPEN_PATIENCE = 6.0


class SessionFleetRun:
    """An estate in its own event loop, with actions run meanwhile."""

    def __init__(
        self,
        vms,
        groups,
        connections=22,
        load_control=False,
        settings=None,
        timeout_ms=1000,
    ):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self.thread.start()
        settings = settings or MemberSettings(connections=connections)
        self.fleet = SessionFleet(
            vms=vms,
            groups=groups,
            member_settings=settings,
            seed=3,
            load_control=load_control,
            timeout_ms=timeout_ms,
        )
        self.outcomes = Counter()
        self.acts = []
        self.seconds = 0.0
        self.end_began_at = 0.0
        self.callers = []
        # Groups whose writes are asked for all the while, one caller for each
        # entry. The other callers may all be in sessions of another group.
        self.writers_of = []
        self.promoted_after = {}
        self.opened_after = {}
        self.acted_at = 0.0
        self.has_run = False

    def call(self, coro, timeout=60):
        return asyncio.run_coroutine_threadsafe(coro, self.loop).result(
            timeout
        )

    def close(self):
        self.call(self.fleet.close())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    def play(self):
        """Run the callers and the actions once, at the first check."""
        if not self.has_run:
            self.has_run = True
            self.call(self._play(), self.seconds + 60)

    async def _play(self):
        fleet = self.fleet
        until = time.monotonic() + self.seconds
        routes = [fleet.routes() for _ in self.callers]
        routes += [[self._write_route(group)] for group in self.writers_of]
        workers = [
            SessionCaller(
                number=number,
                routes=caller_routes,
                addresses=fleet.addresses,
                judge=fleet.checker,
                seed=5,
            )
            for number, caller_routes in enumerate(routes)
        ]
        work = [asyncio.create_task(w.run(until)) for w in workers]
        acts = [asyncio.create_task(act()) for act in self.acts]
        await asyncio.sleep(self.seconds - 1.5)
        self.end_began_at = time.monotonic()
        self.writes_before_end = self._writes()
        await asyncio.gather(*work, *acts)
        self.late_writes = self._writes() - self.writes_before_end
        fleet.checker.check_promotions(fleet.promotion_service.orders)
        for worker in workers:
            self.outcomes.update(worker.outcomes)

    def _write_route(self, group):
        """Return the database of the group that gets the most writes."""
        routes = [r for r in self.fleet.routes() if r.group == group]
        return max(routes, key=lambda route: route.write_share)

    def _writes(self):
        members = self.fleet.groups["group0"].members.values()
        return max(len(m.log) for m in members)

    def sent_at_end(self):
        """Return the statements of the last part, by group, kind and fate."""
        counts = Counter()
        for sent in self.fleet.checker.sent_statements.values():
            if sent.sent_at >= self.end_began_at:
                is_commit = sent.text == "COMMIT"
                is_write = not is_commit and sent.item_and_data[1] != ""
                kind = "write" if is_write else "other"
                fate = "not run" if sent.executed_at is None else "run"
                counts[sent.group, kind, fate] += 1
        return counts

    def served(self):
        good = sum(n for k, n in self.outcomes.items() if k.endswith(":ok"))
        return good / max(1, sum(self.outcomes.values()))

    async def watch_promotion(self, group, old):
        began = self.acted_at = time.monotonic()
        while time.monotonic() - began < 12:
            leader = self.fleet.primary(group) if self._leads(group) else None
            if leader is not None and leader.id != old:
                self.promoted_after[group] = time.monotonic() - began
                return
            await asyncio.sleep(0.02)

    def _leads(self, group):
        members = self.fleet.groups[group].members.values()
        return any(m.is_primary for m in members)


def act(context, after, what):
    async def later():
        await asyncio.sleep(after)
        await what()

    context.stage.acts.append(later)


async def crash(stage, group, seconds):
    member = stage.fleet.primary(group)
    member.stop()
    watch = asyncio.create_task(stage.watch_promotion(group, member.id))
    await asyncio.sleep(seconds)
    await member.start()
    await watch


async def add_database(stage, vms):
    """Add a database and record when each of the VMs has opened it."""
    stage.fleet.added_databases.append(ADDED)
    stage.fleet.write_config()
    began = time.monotonic()
    stage.opened_after = {vm.name: OPEN_PATIENCE for vm in vms}
    await asyncio.gather(*(_open_added(stage, vm, began) for vm in vms))


def check_opened(stage, seconds):
    opened = stage.opened_after
    late = {vm: after for vm, after in opened.items() if after > seconds}
    assert opened and not late, late


async def _open_added(stage, vm, began):
    """Retry opening the added database until a VM knows it."""
    while time.monotonic() - began < OPEN_PATIENCE:
        if await _opens(vm.callers):
            stage.opened_after[vm.name] = time.monotonic() - began
            return
        await asyncio.sleep(0.1)


async def _opens(address):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"OPEN {ADDED} u1\r\n".encode())
        line = await asyncio.wait_for(reader.readline(), 2)
        return line.startswith(b"READY")
    finally:
        writer.close()
