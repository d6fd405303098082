"""Callers with sessions and random faults, and a judge over both.

    python -m bamboospring.testing.session_soak --seed 1 --seconds 20

Real VMs as processes; stand-ins for members, store and desk; faults from
outside: links that are cut, silent, delayed or silent one way, members that
crash, go dark, lag or leave, a store that is down, slow, forgetful, loses
answers or (with --returns) comes back from an older copy, VMs that are
stopped, paused, killed and restarted. The seed fixes
the schedule, not how processes interleave.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import random
import sys
import time

from bamboospring.testing.session_callers import SessionCaller
from bamboospring.testing.session_fleet import SessionFleet
from bamboospring.testing.session_members import Group
from bamboospring.testing.session_platform import StoreFaults

__all__ = ["SessionSoakResult", "run_session_soak"]

CALLERS = 16
FAULT_SECONDS = (0.3, 4.0)
PAUSE_SECONDS = (0.2, 1.2)
SETTLE_SECONDS = 8.0
# What is served in these last seconds is counted.
COUNTED_SECONDS = 2.0
# Far above what any fault lasts; callers work until they are told otherwise.
LONGEST_FAULT = 60.0
MOST_AT_ONCE = 3
# How long the store is away before it comes back from an older copy, and
# within how many seconds the operator has written again what it has lost.
AWAY_SECONDS = (0.1, 2.5)
REWRITTEN_WITHIN = 1.5
MORE_RETURNS = 4


@dataclass(slots=True, kw_only=True)
class SessionSoakResult:
    """What a soak found: `wrong` is empty if every promise was kept."""

    violations: list[str]
    history: list[str]
    outcomes: Counter[str]
    event_counts: Counter[str]
    served_at_end: int = 0
    logs: dict[str, str] = field(default_factory=dict)


Fault = Callable[[float], Awaitable[None]]


class _Faults:
    """The faults, each of which undoes itself."""

    def __init__(
        self, fleet: SessionFleet, seed: int, *, returns: bool = False
    ) -> None:
        self.fleet = fleet
        self._returns = returns
        self.random = random.Random(f"{seed}/faults")
        self.history: list[str] = []
        self.began = time.monotonic()

    def all(self) -> list[Fault]:
        """Return every kind of fault.

        Returns of the store are drawn more often than others.
        """
        returns: list[Fault] = [self.store_returns] * MORE_RETURNS
        return [
            *(returns if self._returns else ()),
            self.kill_vm,
            self.pause_vm,
            self.stop_vm,
            self.kill_most_vms,
            self.crash_primary,
            self.crash_replica,
            self.dark_primary,
            self.leave_primary,
            self.lag_replicas,
            self.cut_primary_from_replicas,
            self.cut_member,
            self.silence_member,
            self.delay_member,
            self.store_down,
            self.store_slow,
            self.store_loses,
            self.store_forgets,
            self.vm_cut_from_store,
            self.lose_answers,
            self.change_config,
            self.reload_vm,
        ]

    def note(self, what: str) -> None:
        """Keep what is done, with its time."""
        at = time.monotonic() - self.began
        self.history.append(f"{at:.2f} {what}")

    def _vm(self) -> str:
        return self.random.choice(sorted(self.fleet.vms))

    def _group(self) -> Group:
        return self.fleet.groups[self.random.choice(sorted(self.fleet.groups))]

    async def kill_vm(self, seconds: float) -> None:
        vm = self.fleet.vms[self._vm()]
        self.note(f"kill {vm.name} {seconds:.1f}")
        vm.process.kill()
        await asyncio.sleep(seconds / 3)
        if not vm.process.running:
            vm.process.start()

    async def kill_most_vms(self, seconds: float) -> None:
        names = sorted(self.fleet.vms)
        names = self.random.sample(names, max(1, len(names) - 1))
        self.note(f"kill {names}")
        for name in names:
            self.fleet.vms[name].process.kill()
        await asyncio.sleep(0.3)
        for name in names:
            if not self.fleet.vms[name].process.running:
                self.fleet.vms[name].process.start()

    async def pause_vm(self, seconds: float) -> None:
        vm = self.fleet.vms[self._vm()]
        self.note(f"pause {vm.name} {seconds:.1f}")
        vm.process.freeze()
        await asyncio.sleep(seconds)
        vm.process.thaw()

    async def stop_vm(self, seconds: float) -> None:
        vm = self.fleet.vms[self._vm()]
        self.note(f"stop {vm.name}")
        vm.process.terminate()
        for _ in range(100):
            if not vm.process.running:
                break
            await asyncio.sleep(0.1)
        if not vm.process.running:
            vm.process.start()

    async def reload_vm(self, seconds: float) -> None:
        vm = self.fleet.vms[self._vm()]
        self.note(f"touch settings of {vm.name}")
        vm.settings.write_text(vm.settings.read_text() + "\n")
        await asyncio.sleep(seconds)

    async def crash_primary(self, seconds: float) -> None:
        member = self.fleet.primary(self._group().name)
        self.note(f"crash {member.id} {seconds:.1f}")
        member.stop()
        await asyncio.sleep(seconds)
        if not member.is_running:
            await member.start()

    async def crash_replica(self, seconds: float) -> None:
        members = [
            m
            for m in self.fleet.members()
            if not m.is_primary and m.is_running
        ]
        if not members:
            return
        member = self.random.choice(members)
        self.note(f"crash replica {member.id} {seconds:.1f}")
        member.stop()
        await asyncio.sleep(seconds)
        if not member.is_running:
            await member.start()

    async def dark_primary(self, seconds: float) -> None:
        member = self.fleet.primary(self._group().name)
        self.note(f"dark {member.id} {seconds:.1f}")
        member.unresponsive = True
        link = self.fleet.links[member.id]
        link.set_mode(mode="silent", direction="both", delay_ms=0)
        await asyncio.sleep(seconds)
        member.unresponsive = False
        link.set_mode(mode="pass", direction="both", delay_ms=0)

    async def leave_primary(self, seconds: float) -> None:
        member = self.fleet.primary(self._group().name)
        self.note(f"leave {member.id}")
        member.draining = True
        self.fleet.checker.leaving_since[member.id] = time.monotonic() + 0.5
        await asyncio.sleep(7.5)
        member.stop()
        member.draining = False
        self.fleet.checker.leaving_since.pop(member.id, None)
        await asyncio.sleep(0.5)
        if not member.is_running:
            await member.start()

    async def lag_replicas(self, seconds: float) -> None:
        group = self._group()
        self.note(f"lag in {group.name} {seconds:.1f}")
        for member in group.members.values():
            member.lag = self.random.choice((0.1, 0.6, 1.5, 30.0))
        await asyncio.sleep(seconds)
        for member in group.members.values():
            member.lag = group.knobs.lag

    async def cut_primary_from_replicas(self, seconds: float) -> None:
        group = self._group()
        primary = self.fleet.primary(group.name)
        self.note(f"cut {primary.id} from its replicas {seconds:.1f}")
        pairs = {
            frozenset((primary.id, other))
            for other in group.members
            if other != primary.id
        }
        group.cut |= pairs
        await asyncio.sleep(seconds)
        group.cut -= pairs

    async def _member_link(self, mode: str, seconds: float) -> None:
        member = self.random.choice(self.fleet.members())
        direction = self.random.choice(("both", "to_upstream", "to_client"))
        self.note(f"{mode} {direction} {member.id} {seconds:.1f}")
        link = self.fleet.links[member.id]
        link.set_mode(mode=mode, direction=direction, delay_ms=120)
        await asyncio.sleep(seconds)
        link.set_mode(mode="pass", direction="both", delay_ms=0)

    async def cut_member(self, seconds: float) -> None:
        await self._member_link("cut", seconds)

    async def silence_member(self, seconds: float) -> None:
        await self._member_link("silent", seconds)

    async def delay_member(self, seconds: float) -> None:
        await self._member_link("delay", seconds)

    async def _store_fault(self, faults: StoreFaults, seconds: float) -> None:
        self.note(f"store {faults} {seconds:.1f}")
        self.fleet.store.faults = faults
        await asyncio.sleep(seconds)
        self.fleet.store.faults = StoreFaults()

    async def store_down(self, seconds: float) -> None:
        how = self.random.choice(("busy", "reset", "silent"))
        await self._store_fault(StoreFaults(outage=how), seconds * 1.5)

    async def store_slow(self, seconds: float) -> None:
        slow = self.random.choice((0.1, 0.4))
        await self._store_fault(StoreFaults(slow=slow), seconds)

    async def store_loses(self, seconds: float) -> None:
        late = self.random.choice((0.0, 1.0, 3.0))
        faults = StoreFaults(lose=0.4, late=late)
        await self._store_fault(faults, seconds)

    async def store_forgets(self, seconds: float) -> None:
        self.note("store forgets")
        self.fleet.store.discard_history()

    async def store_returns(self, seconds: float) -> None:
        copy = self.fleet.store.snapshot()
        await asyncio.sleep(seconds)
        away = self.random.uniform(*AWAY_SECONDS)
        rewritten_after = self.random.uniform(0.0, REWRITTEN_WITHIN)
        self.note(
            f"store back from a copy of {seconds:.1f} s before, away "
            f"{away:.1f}, rewritten after {rewritten_after:.1f}"
        )
        await self.fleet.restore_store(
            copy, outage=away, rewrite_delay=rewritten_after
        )

    async def vm_cut_from_store(self, seconds: float) -> None:
        name = self._vm()
        mode = self.random.choice(("cut", "freeze", "silent"))
        self.note(f"{mode} {name} from the store {seconds:.1f}")
        link = self.fleet.links[f"{name}-store"]
        link.set_mode(mode=mode, direction="both", delay_ms=0)
        await asyncio.sleep(seconds * 1.5)
        link.set_mode(mode="pass", direction="both", delay_ms=0)

    async def lose_answers(self, seconds: float) -> None:
        self.note(f"lose answers {seconds:.1f}")
        self.fleet.member_settings.lose_answers = 0.05
        self.fleet.member_settings.fail = self.random.choice((0.0, 0.05))
        await asyncio.sleep(seconds)
        self.fleet.member_settings.lose_answers = 0.0
        self.fleet.member_settings.fail = 0.0

    async def change_config(self, seconds: float) -> None:
        self.note("change the configuration")
        for _ in range(self.random.randint(1, 6)):
            self.fleet.write_config()
            await asyncio.sleep(0.1)


async def run_session_soak(
    *,
    seed: int,
    seconds: float,
    vms: int = 3,
    callers: int = CALLERS,
    restore_store: bool = False,
) -> SessionSoakResult:
    """Run callers and faults, let all settle, and return what was found."""
    fleet = SessionFleet(vms=vms, seed=seed)
    faults = _Faults(fleet, seed, returns=restore_store)
    try:
        await fleet.start()
        workers = [
            SessionCaller(
                number=number,
                routes=fleet.routes(),
                addresses=fleet.addresses,
                judge=fleet.checker,
                seed=seed,
            )
            for number in range(callers)
        ]
        faults.began = time.monotonic()
        until = faults.began + seconds
        latest = until + LONGEST_FAULT
        work = [asyncio.create_task(w.run(latest)) for w in workers]
        await _inject(faults, until)
        # Counted from the end of the last fault, which may be seconds later.
        for worker in workers:
            worker.stop_at = time.monotonic() + SETTLE_SECONDS
        await asyncio.sleep(SETTLE_SECONDS - COUNTED_SECONDS)
        before = sum(len(w.latencies) for w in workers)
        await asyncio.gather(*work)
        served = sum(len(w.latencies) for w in workers) - before
        fleet.checker.check_promotions(fleet.promotion_service.orders)
        if served < callers * 4:
            fleet.checker.violations.append(f"only {served} served at the end")
        outcomes: Counter[str] = Counter()
        for worker in workers:
            outcomes.update(worker.outcomes)
        return SessionSoakResult(
            violations=fleet.checker.violations,
            history=faults.history,
            outcomes=outcomes,
            event_counts=fleet.checker.counts,
            served_at_end=served,
            logs={name: fleet.read_log(name) for name in fleet.vms},
        )
    finally:
        await fleet.close()


async def _inject(faults: _Faults, until: float) -> None:
    """Start faults one after the other, up to some at once."""
    running: set[asyncio.Task[None]] = set()
    kinds = faults.all()
    while time.monotonic() < until:
        running = {task for task in running if not task.done()}
        if len(running) < MOST_AT_ONCE:
            fault = faults.random.choice(kinds)
            length = faults.random.uniform(*FAULT_SECONDS)
            running.add(asyncio.ensure_future(fault(length)))
        await asyncio.sleep(faults.random.uniform(*PAUSE_SECONDS))
    await asyncio.gather(*running)


def main() -> int:
    """Run one soak from the command line; 1 if anything was wrong."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument(
        "--returns",
        action="store_true",
        help="have the store come back from older copies as well",
    )
    parser.add_argument("--logs", default="", help="keep VMs' logs here")
    args = parser.parse_args()
    result = asyncio.run(
        run_session_soak(
            seed=args.seed,
            seconds=args.seconds,
            vms=args.vms,
            callers=args.callers,
            restore_store=args.returns,
        )
    )
    print("faults:", "; ".join(result.history))
    print("outcomes:", dict(sorted(result.outcomes.items())))
    print(
        "members:",
        dict(result.event_counts),
        "at the end:",
        result.served_at_end,
    )
    if args.logs:
        for name, text in result.logs.items():
            with open(f"{args.logs}/{name}.log", "w") as file:
                file.write(text)
    for line in result.violations:
        print("WRONG", line)
    print(f"seed {args.seed}: {len(result.violations)} wrong")
    return 1 if result.violations else 0


if __name__ == "__main__":
    sys.exit(main())
