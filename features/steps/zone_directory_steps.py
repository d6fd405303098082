"""Steps for the stored VMs of each zone."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from dataclasses import field
import random
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.blackboard import Target
from bamboospring.object_store import Found
from bamboospring.sessions.holder_links import HolderLinks
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import GroupLimits
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.zone_directory import next_directory
from bamboospring.sessions.zone_directory import ZoneDirectory
from bamboospring.sessions.zone_directory_keeper import DIRECTORY_NAME
from bamboospring.sessions.zone_directory_keeper import encode_directory
from bamboospring.sessions.zone_directory_keeper import ZoneDirectoryKeeper
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.sessions.zone_holders import ZoneVm
from features.steps.unanswered_steps import FakeClock

TARGETS = [f"t-{number}" for number in range(12)]
LOCAL = "vm-0"
ZONE = "zone-0"


def listed_vms(count: int, zones: int) -> list[ListedVm]:
    return [
        ListedVm(
            name=f"vm-{number}",
            address=f"vm-{number}:1",
            availability_zone=f"zone-{number % zones}",
            nonce="n",
        )
        for number in range(count)
    ]


@dataclass(eq=False)
class StartedVm:
    """A VM that has just started, with the parts that use the directory."""

    load_control: bool = True
    clock: FakeClock = field(default_factory=FakeClock)
    prepared: int = 0
    linked: set[str] = field(default_factory=set)
    stored_over: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.board = SessionBoard(
            vm=LOCAL, availability_zone=ZONE, load_control=self.load_control
        )
        self.board.catalog = Catalog(
            version=1,
            groups={"g": GroupLimits(name="g", max_connections=40)},
        )
        group = self.board.group("g")
        for name in TARGETS:
            target = Target(
                name=name, address="h:1", availability_zone=ZONE, site=ZONE
            )
            group.targets[name] = ListedTarget(target=target, group="g")
        self.holders = ZoneHolders(local_vm=LOCAL)
        self.links = HolderLinks(
            reactor=self.clock,  # type: ignore[arg-type]
            board=self.board,
            peers=self,  # type: ignore[arg-type]
            holders=self.holders,
        )
        self.keeper = ZoneDirectoryKeeper(
            reactor=self.clock,  # type: ignore[arg-type]
            board=self.board,
            platform=self,  # type: ignore[arg-type]
            holders=self.holders,
            on_members=self.prepare,
        )

    def prepare(self) -> None:
        self.prepared += 1
        self.links.open_missing()

    def unresponsive_for(self, address: str) -> None:
        self.linked.add(address)

    def put(
        self, kind: str, name: str, version: int, *_: Any, **__: Any
    ) -> None:
        self.stored_over.append(version)

    def read(self, value: Any, version: int = 7) -> None:
        found = Found(
            kind="groups", name=DIRECTORY_NAME, version=version, value=value
        )
        self.keeper.apply(found, self.clock.now())

    def holder_of(self, target: str) -> ZoneVm | None:
        return self.holders.holder(
            target,
            max_connections=40,
            vm_count=self.board.vm_count,
            now=self.clock.now(),
        )


@given("a directory of {count:d} VMs in {zones:d} zones")
def given_directory(context: Any, count: int, zones: int) -> None:
    context.listed = listed_vms(count, zones)
    first = next_directory(None, context.listed)
    assert first is not None
    context.directory = dataclasses.replace(first, version=7)


@given("a stored directory of {count:d} VMs in {zones:d} zones")
def given_stored(context: Any, count: int, zones: int) -> None:
    given_directory(context, count, zones)
    context.value = encode_directory(context.directory)


@then("each of its zones has {count:d} VMs of that zone")
def then_zones(context: Any, count: int) -> None:
    zone_of = {vm.name: vm.availability_zone for vm in context.listed}
    assert set(context.directory.zones) == set(zone_of.values())
    for zone, vms in context.directory.zones.items():
        assert len({vm.name for vm in vms}) == count
        assert all(zone_of[vm.name] == zone for vm in vms)


@then("it is the same in whatever order the VMs are listed")
def then_same(context: Any) -> None:
    shuffled = list(context.listed)
    random.Random(3).shuffle(shuffled)
    again = next_directory(None, shuffled)
    assert again is not None and again.zones == context.directory.zones


def named_vm(directory: ZoneDirectory) -> str:
    return directory.zones[ZONE][0].name


@when("nothing changes")
def when_nothing(context: Any) -> None:
    context.wanted = next_directory(context.directory, context.listed)


@when("{count:d} VMs join")
def when_join(context: Any, count: int) -> None:
    listed = listed_vms(len(context.listed) + count, 3)
    context.wanted = next_directory(context.directory, listed)


@when("a VM that it names is gone")
def when_gone(context: Any) -> None:
    gone = named_vm(context.directory)
    listed = [vm for vm in context.listed if vm.name != gone]
    context.wanted = next_directory(context.directory, listed)


@when("a VM that it names has a new address")
def when_moved(context: Any) -> None:
    moved = named_vm(context.directory)
    listed = [
        dataclasses.replace(vm, address="new:1") if vm.name == moved else vm
        for vm in context.listed
    ]
    context.wanted = next_directory(context.directory, listed)


@then("the directory is not stored")
def then_not_stored(context: Any) -> None:
    assert context.wanted is None


@then("the directory has the count only")
def then_count_only(context: Any) -> None:
    assert context.wanted.zones == context.directory.zones
    assert context.wanted.vm_count != context.directory.vm_count
    assert context.wanted.version == context.directory.version


@then("the directory replaces one VM")
def then_replaces(context: Any) -> None:
    for zone, vms in context.directory.zones.items():
        lost = set(vms) - set(context.wanted.zones[zone])
        assert len(lost) == (1 if zone == ZONE else 0)
        assert len(context.wanted.zones[zone]) == len(vms)


@when("a VM that has just started reads it")
def when_started(context: Any) -> None:
    context.vm = StartedVm()
    context.vm.read(context.value)


@when("a VM without load control reads it")
def when_without(context: Any) -> None:
    context.vm = StartedVm(load_control=False)
    context.vm.read(context.value)


@when("a VM that has just started reads an invalid directory")
def when_invalid(context: Any) -> None:
    context.vm = StartedVm()
    context.vm.read({"zones": {ZONE: ["vm-1"]}, "vm_count": "many"})


@when("its relay tells it {count:d} VMs of its zone")
def when_relay(context: Any, count: int) -> None:
    context.told = [
        ZoneVm(name=f"told-{number}", address=f"told-{number}:1")
        for number in range(count)
    ]
    vm = context.vm
    vm.holders.update_members(context.told, vm.clock.now())


@when("the directory is read again")
def when_again(context: Any) -> None:
    context.vm.read(context.value)


@then("the VM knows that there are {count:d} VMs")
def then_count(context: Any, count: int) -> None:
    assert context.vm.board.vm_count == count


@then("it forwards statements for all of 12 targets but those that it holds")
def then_forwards(context: Any) -> None:
    vm = context.vm
    names = {each.name for each in context.directory.zones[ZONE]}
    for target in TARGETS:
        holder = vm.holder_of(target)
        held = vm.holders.holds(target, vm.clock.now())
        assert held if holder is None else holder.name in names


@then("its limits for targets were applied and links to holders opened")
def then_prepared(context: Any) -> None:
    vm = context.vm
    holders = [vm.holder_of(target) for target in TARGETS]
    assert vm.prepared == 1
    assert vm.linked == {each.address for each in holders if each is not None}


@then("the VM chooses holders among the {count:d} VMs")
def then_among(context: Any, count: int) -> None:
    assert len(context.told) == count
    for target in TARGETS:
        assert context.vm.holder_of(target) in context.told


@then("the VM runs all statements itself")
def then_itself(context: Any) -> None:
    assert all(context.vm.holder_of(target) is None for target in TARGETS)


@then("the leader stores another over it")
def then_stored_over(context: Any) -> None:
    context.vm.keeper.update(listed_vms(60, 3))
    assert context.vm.stored_over == [7]
