"""Properties of placement and of the shutdown's controller.

The properties failed with each of these faults, which were seeded by hand:
1. holders are the highest ranked, regardless of zones   -> not spread
2. rank_vms hashes the index in the list, not the name   -> holders move
3. neighbours are the next VMs in the order of names     -> not connected
4. drain_phase ignores work                  -> cut before the maximum duration
5. drain_phase ignores the maximum duration              -> never ends
6. a new list does not update the first VMs that are kept
                                      -> differs from a new placement
7. only the best three VMs of a zone are asked           -> a holder is missing
8. VMs that left count like others                       -> a holder is missing
9. a VM at its limit is not skipped                      -> above the bound
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
import random
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm
from bamboospring.drain import drain_phase
from bamboospring.drain import DrainPhase
from bamboospring.drain import DrainPlan
from bamboospring.rendezvous import choose_holders
from bamboospring.rendezvous import choose_neighbours
from bamboospring.rendezvous import choose_possible_holders
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import rank_vms

__all__ = [
    "check_asked",
    "check_drain",
    "check_balanced",
    "check_balanced_spread",
    "check_holders_spread",
    "check_movement",
    "check_neighbours_connect",
]

GROUPS = [f"group-{number}" for number in range(60)]


def fleet(size: int, zones: int, regions: int) -> list[Vm]:
    """Return a fleet with VMs spread evenly over zones and regions."""
    return [
        Vm(
            name=f"vm-{number}",
            address=f"127.0.0.1:{number}",
            availability_zone=f"zone-{number % zones}",
            region=f"region-{number // zones % regions}",
        )
        for number in range(size)
    ]


def checked(count: int) -> settings:
    return settings(
        max_examples=count, derandomize=True, database=None, deadline=None
    )


SIZES = strategies.integers(1, 60)
ZONES = strategies.integers(1, 4)
REGIONS = strategies.integers(1, 2)


def check_holders_spread(count: int) -> None:
    """No zone has two holders while another zone with live VMs has none."""

    @checked(count)
    @given(SIZES, ZONES, REGIONS, strategies.sets(strategies.integers(0, 59)))
    def check(size: int, zones: int, regions: int, gone: set[int]) -> None:
        vms = [
            (
                vm
                if number not in gone
                else Vm(
                    name=vm.name,
                    address=vm.address,
                    availability_zone=vm.availability_zone,
                    region=vm.region,
                    liveness=Liveness.LEAVING,
                )
            )
            for number, vm in enumerate(fleet(size, zones, regions))
        ]
        live = [vm for vm in vms if vm.liveness is Liveness.LIVE] or vms
        for group in GROUPS[:5]:
            chosen = choose_holders(group, vms, 3)
            assert len({vm.name for vm in chosen}) == min(3, len(live))
            assert set(chosen) <= set(live)
            by_region = Counter(vm.region for vm in chosen)
            if len({vm.region for vm in live}) > 1:
                assert max(by_region.values()) < 3 or len(chosen) < 3
            places = {(vm.region, vm.availability_zone) for vm in live}
            used = {(vm.region, vm.availability_zone) for vm in chosen}
            assert len(used) == min(len(chosen), len(places)) or regions > 1

    check()


def check_movement(count: int) -> None:
    """Removing a VM moves no groups between the remaining VMs."""

    @checked(count)
    @given(strategies.integers(2, 60), strategies.integers(0, 59))
    def check(size: int, place: int) -> None:
        vms = fleet(size, 1, 1)
        gone = vms[place % size]
        remaining = [vm for vm in vms if vm != gone]
        for group in GROUPS:
            before = [vm for vm in rank_vms(group, vms) if vm != gone]
            assert rank_vms(group, remaining) == before
            kept = set(choose_holders(group, vms, 3)) - {gone}
            assert kept <= set(choose_holders(group, remaining, 3))

    check()


def zone_of(vm: Vm) -> tuple[str, str]:
    return vm.region, vm.availability_zone


def count_zones(vms: list[Vm]) -> int:
    live = [vm for vm in vms if vm.liveness is Liveness.LIVE]
    return len({zone_of(vm) for vm in live or vms})


def leaving(vm: Vm) -> Vm:
    return replace(vm, liveness=Liveness.LEAVING)


def check_balanced() -> None:
    """At the design size, no VM holds more than 5 groups."""
    vms = fleet(480, 4, 2)
    groups = [f"group-{number}" for number in range(530)]
    balanced = Placement(vms, groups)
    held = Counter(vm.name for name in groups for vm in balanced.holders(name))
    plain = Placement(vms)
    alone = Counter(vm.name for name in groups for vm in plain.holders(name))
    assert max(held.values()) <= 5 < max(alone.values()), (held, alone)


def check_balanced_spread(count: int) -> None:
    """Balanced holders are in the zones of unbalanced ones, in any history.

    A VM that received all lists and names in some order chooses the same
    holders as one that has just started.
    """

    @checked(count)
    @given(SIZES, ZONES, REGIONS, strategies.randoms(use_true_random=False))
    def check(size: int, zones: int, regions: int, rng: Any) -> None:
        vms = fleet(size, zones, regions)
        old = Placement()
        for _ in range(4):
            listed = [
                leaving(vm) if rng.random() < 0.1 else vm
                for vm in rng.sample(vms, rng.randint(1, size))
            ]
            listed.sort(key=lambda vm: vm.name)
            groups = rng.sample(GROUPS, rng.randint(1, 60))
            old.set_vms(listed)
            old.set_groups(groups)
            while not old.prepare(7):
                assert all(old.holders(name) for name in groups)
            new = Placement(listed, sorted(groups))
            for name in groups:
                assert old.holders(name) == new.holders(name)
                plain = choose_holders(name, listed, 3)
                chosen = new.holders(name)
                assert len(set(chosen)) == len(plain)
                assert Counter(map(zone_of, chosen)) == Counter(
                    map(zone_of, plain)
                )

    check()


def check_asked(count: int) -> None:
    """Each VM that holds a group, or recently did, is among those asked.

    Any VMs are removed from the list or begin to leave, and up to two join
    each zone; the VMs know arbitrary names of groups.
    """

    @checked(count)
    @given(SIZES, ZONES, REGIONS, strategies.randoms(use_true_random=False))
    def check(size: int, zones: int, regions: int, rng: Any) -> None:
        vms = fleet(size, zones, regions)
        old = [
            leaving(vm) if rng.random() < 0.2 else vm
            for vm in rng.sample(vms, rng.randint(1, size))
        ]
        part = rng.random()
        new = [
            leaving(vm) if rng.random() < 0.2 else vm
            for vm in old
            if rng.random() < part
        ]
        joined: Counter[tuple[str, str]] = Counter()
        names = {vm.name for vm in old}
        for vm in vms:
            if vm.name not in names and joined[zone_of(vm)] < 2:
                joined[zone_of(vm)] += 1
                new.append(vm)
        if count_zones(old) < min(3, count_zones(new)):
            # A zone had more holders before, so fewer VMs may join above them.
            return
        listed = {vm.name for vm in new}
        gone = [vm for vm in old if vm.name not in listed]
        for name in GROUPS[:10]:
            asked = choose_possible_holders(name, new + gone, listed)
            for vms_then in (old, new):
                known = [name, *rng.sample(GROUPS, rng.randint(0, 60))]
                then = Placement(vms_then, set(known))
                assert {vm.name for vm in then.holders(name)} <= asked

    check()


def check_neighbours_connect(count: int) -> None:
    """Every VM is connected to every other if a tenth of them is dead."""

    @checked(count)
    @given(
        strategies.integers(5, 480),
        strategies.integers(1, 4),
        REGIONS,
        strategies.integers(0, 2**32),
    )
    def check(size: int, zones: int, regions: int, seed: int) -> None:
        vms = fleet(size, zones, regions)
        dead = set(random.Random(seed).sample(vms, size // 10))
        links: dict[str, set[str]] = {
            vm.name: set() for vm in vms if vm not in dead
        }
        for vm in vms:
            for other in choose_neighbours(vm.name, vms):
                if vm not in dead and other not in dead:
                    links[vm.name].add(other.name)
                    links[other.name].add(vm.name)
        reached = reached_from(next(iter(links)), links)
        assert reached == set(links), len(links) - len(reached)

    check()


def reached_from(start: str, links: dict[str, set[str]]) -> set[str]:
    """Return all VMs that can be reached over links."""
    reached = {start}
    frontier = {start}
    while frontier:
        frontier = {
            name for known in frontier for name in links[known]
        } - reached
        reached |= frontier
    return reached


def check_drain(count: int) -> None:
    """Check that a shutdown waits for work and, briefly, for connections.

    Neither wait exceeds the maximum duration.
    """

    @checked(count)
    @given(
        strategies.floats(0, 10),
        strategies.floats(0, 10),
        strategies.floats(0, 60),
        strategies.floats(0, 100),
        strategies.integers(0, 3),
        strategies.integers(0, 3),
    )
    def check(
        notice_period: float,
        idle_grace: float,
        max_duration: float,
        elapsed: float,
        work: int,
        connections: int,
    ) -> None:
        plan = DrainPlan(
            started_at=0.0,
            notice_period=notice_period,
            idle_grace=idle_grace,
            max_duration=max_duration,
        )
        phase = drain_phase(
            plan, now=elapsed, work=work, connections=connections
        )
        if elapsed >= max_duration:
            assert phase is DrainPhase.FAREWELL
        elif elapsed < notice_period:
            assert phase is DrainPhase.NOTICE
        elif work or (connections and elapsed < notice_period + idle_grace):
            assert phase is DrainPhase.FINISHING
        else:
            assert phase is DrainPhase.FAREWELL

    check()
