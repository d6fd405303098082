"""A soak test of sessions: callers, random faults and a checker.

    python -m bamboospring.testing.session_soak --seed 1 --seconds 20

With --members, members are replaced while VMs are cut off from the store and
from each other; this is the only fault then, but for --stops.

With --load-control there are as many VMs, and as few connections, as make
statements and transactions go through the holders of their targets.

Meanwhile the configuration changes, and every VM is asked for the newest one
(`configuration_checker`).

VMs are real processes; members, the store and the promotion service are
stand-ins. The faults are external: links that are cut, delayed or silent in
one or both directions; connections to the store that go silent for good;
members that crash, do not respond, lag or drain; a
store that is down, slow, loses its history, loses answers or (with --returns)
is restored from an older copy; VMs that are stopped, paused, killed and
restarted. The seed determines the schedule, not the interleaving of processes.
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

from bamboospring.testing.configuration_checker import ConfigurationChecker
from bamboospring.testing.configuration_checker import Disturbances
from bamboospring.testing.configuration_checker import EVERY_VM
from bamboospring.testing.member_series import MemberSeries
from bamboospring.testing.session_callers import SessionCaller
from bamboospring.testing.session_fleet import SessionFleet
from bamboospring.testing.session_members import MemberGroup
from bamboospring.testing.session_members import MemberSettings
from bamboospring.testing.session_platform import StoreFaults
from bamboospring.testing.stop_series import StopSeries
from bamboospring.testing.stop_series import VmStops

__all__ = ["SessionSoakResult", "run_session_soak"]

CALLERS = 16
FAULT_SECONDS = (0.3, 4.0)
PAUSE_SECONDS = (0.2, 1.2)
SETTLE_SECONDS = 8.0
# The operations that succeed in these last seconds are counted.
MEASURED_SECONDS = 2.0
# Far longer than any fault lasts. Callers run this much longer than the
# schedule unless they get an earlier stop time.
MAX_FAULT_SECONDS = 60.0
MAX_CONCURRENT_FAULTS = 3
# The outage of the store before it is restored from an older snapshot, and the
# maximum time until the operator has written the lost configuration again.
OUTAGE_SECONDS = (0.1, 2.5)
MAX_REWRITE_DELAY = 1.5
STORE_RESTORE_WEIGHT = 4
SILENCE_INTERVAL = (4.0, 12.0)


# Five VMs in each of the three zones, one more than holders need, and fewer
# connections to a target than VMs.
LOAD_CONTROL_VMS = 15
LOAD_CONTROL_CONNECTIONS = 12


@dataclass(slots=True, kw_only=True)
class SessionSoakResult:
    """The result of a soak; no `violations` if all guarantees were kept.

    `held_count` is how many statements of transactions holders have served;
    `configuration_delays` are the seconds until VMs served an added database.
    """

    violations: list[str]
    history: list[str]
    outcomes: Counter[str]
    event_counts: Counter[str]
    served_at_end: int = 0
    held_count: int = 0
    configuration_delays: list[float] = field(default_factory=list)
    logs: dict[str, str] = field(default_factory=dict)


Fault = Callable[[float], Awaitable[None]]


class _Faults:
    """The faults, each of which is reverted by its own method."""

    def __init__(
        self, fleet: SessionFleet, seed: int, *, restore_store: bool = False
    ) -> None:
        self.fleet = fleet
        self.disturbances = Disturbances()
        self.stops = VmStops()
        self._with_store_restores = restore_store
        # Does not change the schedule of the other faults of a seed.
        self._silence_rng = random.Random(f"{seed}/silence")
        self.rng = random.Random(f"{seed}/faults")
        self.history: list[str] = []
        self.started_at = time.monotonic()

    def fault_kinds(self) -> list[Fault]:
        """Return all kinds of fault.

        Restores of the store occur several times, to be chosen more often.
        """
        restores: list[Fault] = [self.restore_store] * STORE_RESTORE_WEIGHT
        return [
            *(restores if self._with_store_restores else ()),
            self.kill_vm,
            self.pause_vm,
            self.stop_vm,
            self.kill_most_vms,
            self.crash_primary,
            self.crash_replica,
            self.make_primary_unresponsive,
            self.drain_primary,
            self.lag_replicas,
            self.partition_primary,
            self.cut_member,
            self.drop_member_traffic,
            self.delay_member,
            self.stop_store,
            self.slow_store,
            self.lose_store_answers,
            self.discard_store_history,
            self.cut_vm_from_store,
            self.lose_answers,
            self.change_config,
            self.reload_vm,
        ]

    def record(self, description: str) -> None:
        """Record a fault with its time."""
        elapsed = time.monotonic() - self.started_at
        self.history.append(f"{elapsed:.2f} {description}")

    def _random_vm(self) -> str:
        return self.rng.choice(sorted(self.fleet.vms))

    def _random_group(self) -> MemberGroup:
        return self.fleet.groups[self.rng.choice(sorted(self.fleet.groups))]

    async def kill_vm(self, seconds: float) -> None:
        vm = self.fleet.vms[self._random_vm()]
        self.record(f"kill {vm.name} {seconds:.1f}")
        with self.disturbances.during(vm.name):
            self.stops.kill(vm)
            await asyncio.sleep(seconds / 3)
            if not vm.process.running:
                vm.process.start()

    async def kill_most_vms(self, seconds: float) -> None:
        names = sorted(self.fleet.vms)
        names = self.rng.sample(names, max(1, len(names) - 1))
        self.record(f"kill {names}")
        with self.disturbances.during(*names):
            for name in names:
                self.stops.kill(self.fleet.vms[name])
            await asyncio.sleep(0.3)
            for name in names:
                if not self.fleet.vms[name].process.running:
                    self.fleet.vms[name].process.start()

    async def pause_vm(self, seconds: float) -> None:
        vm = self.fleet.vms[self._random_vm()]
        self.record(f"pause {vm.name} {seconds:.1f}")
        with self.disturbances.during(vm.name):
            vm.process.freeze()
            await asyncio.sleep(seconds)
            vm.process.thaw()

    async def stop_vm(self, seconds: float) -> None:
        vm = self.fleet.vms[self._random_vm()]
        self.record(f"stop {vm.name}")
        with self.disturbances.during(vm.name):
            await self.stops.stop(vm)
            if not vm.process.running:
                vm.process.start()

    async def reload_vm(self, seconds: float) -> None:
        vm = self.fleet.vms[self._random_vm()]
        self.record(f"touch settings of {vm.name}")
        vm.settings.write_text(vm.settings.read_text() + "\n")
        await asyncio.sleep(seconds)

    async def crash_primary(self, seconds: float) -> None:
        member = self.fleet.primary(self._random_group().name)
        self.record(f"crash {member.id} {seconds:.1f}")
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
        member = self.rng.choice(members)
        self.record(f"crash replica {member.id} {seconds:.1f}")
        member.stop()
        await asyncio.sleep(seconds)
        if not member.is_running:
            await member.start()

    async def make_primary_unresponsive(self, seconds: float) -> None:
        member = self.fleet.primary(self._random_group().name)
        self.record(f"unresponsive {member.id} {seconds:.1f}")
        member.unresponsive = True
        link = self.fleet.links[member.id]
        link.set_mode(mode="silent", direction="both", delay_ms=0)
        await asyncio.sleep(seconds)
        member.unresponsive = False
        link.set_mode(mode="pass", direction="both", delay_ms=0)

    async def drain_primary(self, seconds: float) -> None:
        member = self.fleet.primary(self._random_group().name)
        self.record(f"drain {member.id}")
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
        group = self._random_group()
        self.record(f"lag in {group.name} {seconds:.1f}")
        for member in group.members.values():
            member.lag = self.rng.choice((0.1, 0.6, 1.5, 30.0))
        await asyncio.sleep(seconds)
        for member in group.members.values():
            member.lag = group.settings.replication_lag

    async def partition_primary(self, seconds: float) -> None:
        group = self._random_group()
        primary = self.fleet.primary(group.name)
        self.record(f"partition {primary.id} from its replicas {seconds:.1f}")
        pairs = {
            frozenset((primary.id, other))
            for other in group.members
            if other != primary.id
        }
        group.partitioned_pairs |= pairs
        await asyncio.sleep(seconds)
        group.partitioned_pairs -= pairs

    async def _set_member_link(self, mode: str, seconds: float) -> None:
        member = self.rng.choice(self.fleet.members())
        direction = self.rng.choice(("both", "to_upstream", "to_client"))
        self.record(f"{mode} {direction} {member.id} {seconds:.1f}")
        link = self.fleet.links[member.id]
        link.set_mode(mode=mode, direction=direction, delay_ms=120)
        await asyncio.sleep(seconds)
        link.set_mode(mode="pass", direction="both", delay_ms=0)

    async def cut_member(self, seconds: float) -> None:
        await self._set_member_link("cut", seconds)

    async def drop_member_traffic(self, seconds: float) -> None:
        await self._set_member_link("silent", seconds)

    async def delay_member(self, seconds: float) -> None:
        await self._set_member_link("delay", seconds)

    async def _set_store_faults(
        self, faults: StoreFaults, seconds: float
    ) -> None:
        self.record(f"store {faults} {seconds:.1f}")
        with self.disturbances.during(EVERY_VM):
            self.fleet.store.faults = faults
            await asyncio.sleep(seconds)
            self.fleet.store.faults = StoreFaults()

    async def stop_store(self, seconds: float) -> None:
        outage = self.rng.choice(("busy", "reset", "silent"))
        await self._set_store_faults(StoreFaults(outage=outage), seconds * 1.5)

    async def slow_store(self, seconds: float) -> None:
        delay = self.rng.choice((0.1, 0.4))
        await self._set_store_faults(
            StoreFaults(response_delay=delay), seconds
        )

    async def lose_store_answers(self, seconds: float) -> None:
        delay = self.rng.choice((0.0, 1.0, 3.0))
        faults = StoreFaults(
            unanswered_write_share=0.4, unanswered_write_delay=delay
        )
        await self._set_store_faults(faults, seconds)

    async def discard_store_history(self, seconds: float) -> None:
        self.record("store discards its history")
        self.fleet.store.discard_history()

    async def restore_store(self, seconds: float) -> None:
        snapshot = self.fleet.store.snapshot()
        await asyncio.sleep(seconds)
        outage = self.rng.uniform(*OUTAGE_SECONDS)
        rewrite_delay = self.rng.uniform(0.0, MAX_REWRITE_DELAY)
        self.record(
            f"store restored from a copy of {seconds:.1f} s before, outage "
            f"{outage:.1f}, rewritten after {rewrite_delay:.1f}"
        )
        with self.disturbances.during(EVERY_VM):
            await self.fleet.restore_store(
                snapshot, outage=outage, rewrite_delay=rewrite_delay
            )

    async def cut_vm_from_store(self, seconds: float) -> None:
        name = self._random_vm()
        mode = self.rng.choice(("cut", "freeze", "silent"))
        self.record(f"{mode} {name} from the store {seconds:.1f}")
        link = self.fleet.links[f"{name}-store"]
        with self.disturbances.during(name):
            link.set_mode(mode=mode, direction="both", delay_ms=0)
            await asyncio.sleep(seconds * 1.5)
            link.set_mode(mode="pass", direction="both", delay_ms=0)

    async def silence_store_connections(self) -> None:
        """Silence the open connections to the store at random times."""
        while True:
            await asyncio.sleep(self._silence_rng.uniform(*SILENCE_INTERVAL))
            self.record("silence the connections to the store")
            for name in self.fleet.vms:
                self.fleet.links[f"{name}-store"].silence_open_connections()
            self.disturbances.record(EVERY_VM)

    async def lose_answers(self, seconds: float) -> None:
        self.record(f"lose answers {seconds:.1f}")
        self.fleet.member_settings.lost_answer_share = 0.05
        self.fleet.member_settings.failure_share = self.rng.choice((0.0, 0.05))
        await asyncio.sleep(seconds)
        self.fleet.member_settings.lost_answer_share = 0.0
        self.fleet.member_settings.failure_share = 0.0

    async def change_config(self, seconds: float) -> None:
        self.record("change the configuration")
        for _ in range(self.rng.randint(1, 6)):
            self.fleet.write_config()
            await asyncio.sleep(0.1)


async def run_session_soak(
    *,
    seed: int,
    seconds: float,
    vms: int = 3,
    callers: int = CALLERS,
    restore_store: bool = False,
    load_control: bool = False,
    stops: bool = False,
    members: bool = False,
) -> SessionSoakResult:
    """Run callers and faults, wait until the fleet settles, and check.

    With `stops` VMs are also stopped in overlapping series, and half of the
    callers don't pause between operations. With `members` VMs are cut off
    while members are replaced, and there are no other faults but `stops`.
    """
    fleet = _make_fleet(
        vms, seed, load_control=load_control, separable=members
    )
    faults = _Faults(fleet, seed, restore_store=restore_store)
    try:
        await fleet.start()
        workers = [
            SessionCaller(
                number=number,
                routes=fleet.routes(),
                addresses=fleet.addresses,
                judge=fleet.checker,
                seed=seed,
                pause=0.0 if stops and number % 2 else 0.02,
            )
            for number in range(callers)
        ]
        faults.started_at = time.monotonic()
        end = faults.started_at + seconds
        stop_at = end + MAX_FAULT_SECONDS
        tasks = [asyncio.create_task(w.run(stop_at)) for w in workers]
        checker = ConfigurationChecker(
            fleet=fleet,
            disturbances=faults.disturbances,
            seed=seed,
            load_control=load_control,
        )
        background = [
            asyncio.create_task(checker.run()),
            asyncio.create_task(faults.silence_store_connections()),
        ]
        series = StopSeries(
            fleet=fleet,
            stops=faults.stops,
            seed=seed,
            record=faults.record,
            disturb=faults.disturbances.record,
        )
        member_series = MemberSeries(
            fleet=fleet,
            seed=seed,
            record=faults.record,
            disturbing=faults.disturbances.during,
        )
        await asyncio.gather(
            member_series.run(end) if members else _inject_faults(faults, end),
            *([series.run(end)] if stops else []),
        )
        # The last fault may end seconds after the schedule, so the settling
        # time starts at its end.
        for worker in workers:
            worker.stop_at = time.monotonic() + SETTLE_SECONDS
        await asyncio.sleep(SETTLE_SECONDS - MEASURED_SECONDS)
        served_before = sum(len(w.latencies) for w in workers)
        await asyncio.gather(*tasks)
        served = sum(len(w.latencies) for w in workers) - served_before
        for task in background:
            task.cancel()
        await asyncio.wait(background)
        _check_background(background, fleet)
        fleet.checker.check_promotions(fleet.promotion_service.orders)
        if served < callers * 4:
            fleet.checker.violations.append(
                f"only {served} operations succeeded at the end"
            )
        outcomes: Counter[str] = Counter()
        for worker in workers:
            outcomes.update(worker.outcomes)
        logs = {name: fleet.read_log(name) for name in fleet.vms}
        held_count = sum(map(_count_held, logs.values()))
        fleet.checker.violations += faults.stops.unexplained(
            fleet.checker.cuts
        )
        if load_control and not held_count:
            fleet.checker.violations.append("no holder served a transaction")
        return SessionSoakResult(
            violations=fleet.checker.violations,
            history=faults.history,
            outcomes=outcomes,
            event_counts=fleet.checker.counts,
            served_at_end=served,
            held_count=held_count,
            configuration_delays=sorted(checker.delays),
            logs=logs,
        )
    finally:
        await fleet.close()


def _check_background(
    tasks: list[asyncio.Task[None]], fleet: SessionFleet
) -> None:
    """Report tasks that have failed instead of running to the end."""
    for task in tasks:
        if not task.cancelled() and (exc := task.exception()) is not None:
            fleet.checker.violations.append(f"the soak itself failed: {exc!r}")


def _make_fleet(
    vms: int, seed: int, *, load_control: bool, separable: bool
) -> SessionFleet:
    if not load_control:
        return SessionFleet(vms=vms, seed=seed, separable=separable)
    return SessionFleet(
        vms=max(vms, LOAD_CONTROL_VMS),
        seed=seed,
        member_settings=MemberSettings(connections=LOAD_CONTROL_CONNECTIONS),
        load_control=True,
        separable=separable,
    )


def _count_held(log: str) -> int:
    """Return how many statements of transactions were served by holders."""
    return sum(
        "event=answered" in line
        and "transaction=true outcome=served" in line
        and 'through=""' not in line
        for line in log.splitlines()
    )


async def _inject_faults(faults: _Faults, end: float) -> None:
    """Start random faults, at most MAX_CONCURRENT_FAULTS at a time."""
    running: set[asyncio.Task[None]] = set()
    kinds = faults.fault_kinds()
    while time.monotonic() < end:
        running = {task for task in running if not task.done()}
        if len(running) < MAX_CONCURRENT_FAULTS:
            fault = faults.rng.choice(kinds)
            duration = faults.rng.uniform(*FAULT_SECONDS)
            running.add(asyncio.ensure_future(fault(duration)))
        await asyncio.sleep(faults.rng.uniform(*PAUSE_SECONDS))
    await asyncio.gather(*running)


def main() -> int:
    """Run one soak from the command line; return 1 after violations."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--vms", type=int, default=3)
    parser.add_argument("--callers", type=int, default=CALLERS)
    parser.add_argument(
        "--returns",
        action="store_true",
        help="also restore the store from older copies",
    )
    parser.add_argument(
        "--load-control",
        action="store_true",
        help="use many VMs with load control",
    )
    parser.add_argument(
        "--stops",
        action="store_true",
        help="also stop VMs in overlapping series",
    )
    parser.add_argument(
        "--members",
        action="store_true",
        help="replace members while VMs are cut off, instead of other faults",
    )
    parser.add_argument(
        "--logs", default="", help="directory for the logs of the VMs"
    )
    args = parser.parse_args()
    result = asyncio.run(
        run_session_soak(
            seed=args.seed,
            seconds=args.seconds,
            vms=args.vms,
            callers=args.callers,
            restore_store=args.returns,
            load_control=args.load_control,
            stops=args.stops,
            members=args.members,
        )
    )
    print("faults:", "; ".join(result.history))
    print("outcomes:", dict(sorted(result.outcomes.items())))
    print(
        "members:",
        dict(result.event_counts),
        "at the end:",
        result.served_at_end,
        "held:",
        result.held_count,
    )
    delays = result.configuration_delays
    print("configurations:", len(delays), "slowest:", delays[-5:])
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
