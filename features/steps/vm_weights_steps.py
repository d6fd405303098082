"""Steps for the weights of VMs: holders, relays and the messages of both."""

from __future__ import annotations

from collections.abc import Iterator
from collections import Counter
from dataclasses import replace
import itertools
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from bamboospring.peers import new_envelope
from bamboospring.rendezvous import rank_by_weight
from bamboospring.rendezvous import rank_vms
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.relay import decode_vms
from bamboospring.sessions.relay import digest
from bamboospring.sessions.relay import encode_vms
from bamboospring.sessions.relay import FactRelay
from bamboospring.sessions.session_metrics import SessionMetrics
from bamboospring.sessions.settings import VmResources
from bamboospring.sessions.vm_weight import vm_weight
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.sessions.zone_holders import ZoneVm
from bamboospring.sessions.zone_relays import ZoneMembers
from bamboospring.sessions.zone_relays import ZoneRelays
from features.steps.unanswered_steps import FakeClock
from features.steps.zone_holders_steps import Crowd
from features.steps.zone_holders_steps import CrowdVm
from features.steps.zone_holders_steps import TARGET
from features.steps.zone_relays_steps import Fleet

# More VMs than connections, so that holders are used.
CONNECTIONS, VM_COUNT = 56, 81


@then(
    "a VM of {share:g} cores of speed {speed:g} and {link} Mbit/s has weight"
    " {weight:d}"
)
def then_weight(
    context: Any, share: float, speed: float, link: str, weight: int
) -> None:
    resources = VmResources(
        processor_share=share,
        processor_speed=speed,
        link_mbps=None if link == "unknown" else float(link),
    )
    assert vm_weight(resources) == weight, vm_weight(resources)


# Holders.


def make_zone(large: int, weight: int, small: int, name: str) -> list[ZoneVm]:
    weights = [weight] * large + [1] * small
    return [
        ZoneVm(name=f"{name}-{n}", address=f"{name}-{n}:1", weight=w)
        for n, w in enumerate(weights)
    ]


def view_of(zone: list[ZoneVm], vm: ZoneVm) -> ZoneHolders:
    view = ZoneHolders(local_vm=vm.name)
    view.update_members(zone, 0.0)
    return view


def holder_of(view: ZoneHolders, target: str, now: float = 1.0) -> str:
    """Return the name of the VM that runs a target's statements."""
    vm = view.holder(
        target, max_connections=CONNECTIONS, vm_count=VM_COUNT, now=now
    )
    return view.local_vm if vm is None else vm.name


def target_names(count: int) -> list[str]:
    return [f"target-{n}" for n in range(count)]


def held_by(zone: list[ZoneVm], targets: int) -> dict[str, str]:
    """Return the holder of each target; all VMs of the zone name the same."""
    views = [view_of(zone, vm) for vm in zone]
    found = {}
    for target in target_names(targets):
        names = {holder_of(view, target) for view in views}
        assert len(names) == 1, (target, names)
        found[target] = names.pop()
    return found


def large_share(zone: list[ZoneVm], targets: int) -> float:
    large = {vm.name for vm in zone if vm.weight > 1}
    held = held_by(zone, targets)
    return sum(name in large for name in held.values()) / targets


@given(
    "a zone of {large:d} VMs of weight {weight:d} and {small:d} of weight 1"
)
def given_zone(context: Any, large: int, weight: int, small: int) -> None:
    context.zone = make_zone(large, weight, small, "vm")


@given(
    "{zones:d} zones of {large:d} VMs of weight {weight:d} and {small:d} of"
    " weight 1"
)
def given_zones(
    context: Any, zones: int, large: int, weight: int, small: int
) -> None:
    context.zones = [
        make_zone(large, weight, small, f"zone-{n}") for n in range(zones)
    ]


@then(
    "on average the large VMs hold {least:g} to {most:g} of {targets:d}"
    " targets"
)
def then_mean_share(
    context: Any, least: float, most: float, targets: int
) -> None:
    shares = [large_share(zone, targets) for zone in context.zones]
    mean = sum(shares) / len(shares)
    assert least <= mean <= most, (mean, shares)


@then(
    "in each zone the large VMs hold {least:g} to {most:g} of {targets:d}"
    " targets"
)
def then_each_share(
    context: Any, least: float, most: float, targets: int
) -> None:
    shares = sorted(large_share(zone, targets) for zone in context.zones)
    assert least <= shares[0] and shares[-1] <= most, shares


@then(
    "no other VM holds more than {times:d} times its share of {targets:d}"
    " targets"
)
def then_others(context: Any, times: int, targets: int) -> None:
    for zone in context.zones:
        held = Counter(held_by(zone, targets).values())
        equal = targets / sum(vm.weight for vm in zone)
        small = [held[vm.name] for vm in zone if vm.weight == 1]
        assert max(small) <= times * equal, held


@then(
    "the loss of any VM moves none of {targets:d} targets that it does not"
    " hold"
)
def then_stable(context: Any, targets: int) -> None:
    before = held_by(context.zone, targets)
    for gone in context.zone:
        left = [vm for vm in context.zone if vm != gone]
        after = held_by(left, targets)
        moved = {t for t in before if before[t] != after[t]}
        assert moved == {t for t in before if before[t] == gone.name}, gone


@then(
    "VMs of weight 1 or 7 alone are ranked as without weights for"
    " {targets:d} targets"
)
def then_as_before(context: Any, targets: int) -> None:
    for weight in (1, 7):
        zone = make_zone(14, weight, 0, "vm")
        for target in target_names(targets):
            assert rank_by_weight(target, zone) == rank_vms(target, zone)
    # The ends of the range of hashes have a score as well.
    mixed = make_zone(1, 4, 3, "vm")
    for extreme in (0, 2**64 - 1):
        with mock.patch(
            "bamboospring.rendezvous.xxh64_intdigest", return_value=extreme
        ):
            assert len(rank_by_weight("t", mixed)) == 4


@then("all its VMs agree on one holder for each of {targets:d} targets")
def then_agree(context: Any, targets: int) -> None:
    held = Counter(held_by(context.zone, targets).values())
    assert held[context.zone[0].name] >= 0.6 * targets, held
    assert len(held) > 1, held


@when("a VM of the zone is lost")
def when_one_lost(context: Any) -> None:
    context.zone = context.zone[:-1]


@then("all its VMs use their own connections for {targets:d} targets")
def then_own(context: Any, targets: int) -> None:
    for vm in context.zone:
        view = view_of(context.zone, vm)
        held = {holder_of(view, target) for target in target_names(targets)}
        assert held == {vm.name}, (vm.name, held)


@then("a VM whose large holder failed asks the next one for {seconds:g} s")
def then_next(context: Any, seconds: float) -> None:
    large, local = context.zone[0], context.zone[-1]
    view = view_of(context.zone, local)
    target = next(
        t for t in target_names(99) if holder_of(view, t) == large.name
    )
    left = [vm for vm in context.zone if vm != large]
    view.record_failure(large.name, "", 1.0)
    second = holder_of(view, target, 1.1)
    assert second == holder_of(view_of(left, local), target), second
    assert holder_of(view, target, 1.0 + seconds - 0.01) == second
    assert holder_of(view, target, 1.0 + seconds + 0.01) == large.name


@then("a VM that knows no weights names holders of the zone")
def then_other_list(context: Any) -> None:
    weighted = held_by(context.zone, 120)
    without = held_by([replace(vm, weight=1) for vm in context.zone], 120)
    assert weighted != without
    names = {vm.name for vm in context.zone}
    assert set(without.values()) <= names


# Messages.


@then("a list for an older VM has rows of two and means weight 1")
def then_rows_of_two(context: Any) -> None:
    zone = make_zone(2, 4, 12, "vm")
    data = encode_vms(zone, with_weights=False)
    plain = [replace(vm, weight=1) for vm in zone]
    assert decode_vms(data) == tuple(plain)
    assert data == encode_vms(plain, with_weights=True)


@then(
    "a list for a VM with weights has rows of three where the weight is not 1"
)
def then_rows_of_three(context: Any) -> None:
    zone = make_zone(2, 4, 12, "vm")
    data = encode_vms(zone, with_weights=True)
    assert decode_vms(data) == tuple(zone)
    assert data.count(b"]") == 15 and data.count(b",4]") == 2, data


@then("weights outside 1 to 16 in a list are bounded")
def then_bounded(context: Any) -> None:
    data = b'[["a","a:1",0],["b","b:1",200],["c","c:1"]]'
    assert [vm.weight for vm in decode_vms(data)] == [1, 16, 1]


class RelayPeers:
    """Answers the requests of a relay as a leader that names it."""

    def __init__(self) -> None:
        self.handlers: dict[str, Any] = {}
        self.asked: list[Any] = []

    def add_handler(self, which: str, callback: Any) -> None:
        self.handlers[which] = callback

    def ask(
        self, address: str, message: Any, timeout: float, on_answer: Any
    ) -> None:
        self.asked.append(message.factsAsk)
        answer = new_envelope()
        facts = answer.init("facts")
        facts.informed = facts.servesZone = True
        on_answer(answer)


class RelayStage:
    """A relay with stand-ins for the keepers that it passes facts of."""

    def __init__(self, weight: int, load_control: bool) -> None:
        self.clock = FakeClock()
        self.peers = RelayPeers()
        self.holders = ZoneHolders(local_vm="relay")
        keepers: Any = SimpleNamespace(
            as_bytes=lambda: b"",
            pass_on_proofs=lambda: [],
            apply_relayed=lambda *args: None,
            listed=[],
            read_at=0.0,
            version=1,
            checked_at=0.0,
        )
        catalog_relay: Any = SimpleNamespace(
            known_version=1, set_source=lambda *args: None
        )
        lease: Any = SimpleNamespace(
            is_held=False,
            holder=lambda: "leader",
            holder_address=lambda: "leader:1",
            apply_relayed=lambda *args: None,
            last_seen_lease=lambda: SimpleNamespace(version=1, duration=1.0),
        )
        clock: Any = self.clock
        peers: Any = self.peers
        registry: Any = SimpleNamespace(
            local_vm=SimpleNamespace(address="relay:1")
        )
        self.relay = FactRelay(
            reactor=clock,
            board=SessionBoard(
                vm="relay", availability_zone="z", load_control=load_control
            ),
            peers=peers,
            registry=registry,
            lease=lease,
            records=keepers,
            targets=keepers,
            catalog=keepers,
            catalog_relay=catalog_relay,
            holders=self.holders,
            weight=weight,
        )
        self.relay.start()

    def ask(self, stated: int, known: bytes = b"") -> Any:
        """Ask as a VM that states a weight and knows a list of VMs."""
        message = new_envelope()
        request = message.init("factsAsk")
        request.vm = f"vm-{stated}"
        request.address = f"vm-{stated}:1"
        request.availabilityZone = "z"
        request.zoneVms = digest(known)
        request.weight = stated
        answers: list[Any] = []
        self.peers.handlers["factsAsk"](message, answers.append)
        return answers[0].facts


@given("a relay of weight {weight:d} with load control {state}")
def given_relay(context: Any, weight: int, state: str) -> None:
    context.relay = RelayStage(weight, load_control=state == "on")


@when("VMs of stated weights 0, 1, 3 and 40 ask it for {seconds:g} s")
def when_ask(context: Any, seconds: float) -> None:
    stage = context.relay
    until = stage.clock.now() + seconds
    while stage.clock.now() < until:
        context.answers = {w: stage.ask(w) for w in (0, 1, 3, 40)}
        stage.clock.run_until(stage.clock.now() + 0.2)


def weights_of(vms: tuple[ZoneVm, ...]) -> str:
    return ", ".join(str(weight) for weight in sorted(v.weight for v in vms))


@then("the relay knows the weights {weights}")
def then_relay_knows(context: Any, weights: str) -> None:
    stage = context.relay
    assert weights_of(stage.holders.members) == weights
    load_control = weights != "1, 1, 1, 1, 1"
    stated = {request.weight for request in stage.peers.asked}
    assert stated == {4 if load_control else 0}, stated


@then("the VM of stated weight {stated:d} gets the weights {weights}")
def then_gets(context: Any, stated: int, weights: str) -> None:
    data = context.answers[stated].zoneVms
    assert weights_of(decode_vms(data)) == weights, data
    if stated == 0:
        assert data == encode_vms(decode_vms(data), with_weights=False)


@then("a VM that has the newest list does not get it again")
def then_not_again(context: Any) -> None:
    for stated, answer in context.answers.items():
        again = context.relay.ask(stated, known=answer.zoneVms)
        assert again.zoneVmsKnown and not again.zoneVms, stated


@then("a VM that asks a relay with weight 1 and then 4 is listed with 4 only")
def then_listed_once(context: Any) -> None:
    members = ZoneMembers()
    local = ZoneVm(name="relay", address="relay:1")
    vm = ZoneVm(name="vm", address="vm:1")
    members.record_contact(vm, 0.0)
    members.record_contact(vm, 1.4)
    larger = replace(vm, weight=4)
    members.record_contact(larger, 1.6)
    assert members.vms(local, 1.7) == [local, larger]


# Relays.


@given(
    "{count:d} VMs in {zones:d} zones, {large:d} in each of weight"
    " {weight:d}, ask a leader for facts"
)
def given_fleet(
    context: Any, count: int, zones: int, large: int, weight: int
) -> None:
    fleet = context.fleet = Fleet(count, zones)
    fleet.relays = ZoneRelays(weighted=True)
    for vm in fleet.vms[-large * zones :]:
        vm.requester = replace(vm.requester, weight=weight)


@given("the VMs of weight {weight:d} have not started")
def given_not_started(context: Any, weight: int) -> None:
    for vm in context.fleet.vms:
        vm.is_running = vm.requester.weight != weight


@when("the VMs of weight {weight:d} start")
def when_start(context: Any, weight: int) -> None:
    fleet = context.fleet
    context.relays_before = fleet.serving()
    for vm in fleet.vms:
        if vm.requester.weight == weight:
            vm.is_running = True
            vm.next_request_at = fleet.now


@then("the relays have weight {weight:d} in all {zones:d} zones")
def then_relays(context: Any, weight: int, zones: int) -> None:
    relays = [vm.requester for vm in context.fleet.serving()]
    found = sorted((vm.availability_zone, vm.weight) for vm in relays)
    assert found == [(f"zone-{n}", weight) for n in range(zones)], found


@then("the relays are the same as before")
def then_same_relays(context: Any) -> None:
    assert context.fleet.serving() == context.relays_before


# The load of a target.


class WeightedCrowd(Crowd):
    """A crowd whose VMs have weights, which some of them may not know."""

    def __init__(self, large: int, weight: int, *crowd: int) -> None:
        self.weights: dict[str, int] = {}
        self.unaware: set[str] = set()
        super().__init__(*crowd)
        zones = crowd[1]
        self.large = self.vms[: large * zones]
        for vm in self.large:
            vm.zone_vm = replace(vm.zone_vm, weight=weight)
        self.update_lists()

    def refresh(self) -> None:
        super().refresh()
        self.update_lists()

    def update_lists(self) -> None:
        now = self.clock.now()
        for vm in self.vms:
            members = [
                other.zone_vm
                for other in self.vms
                if other.is_running and other.zone == vm.zone
            ]
            if vm.zone_vm.name in self.unaware:
                members = [replace(each, weight=1) for each in members]
            vm.holders.update_members(members, now)
            vm.keeper.apply_connection_limits()

    def holders(self) -> Iterator[CrowdVm]:
        now = self.clock.now()
        return (vm for vm in self.vms if vm.holders.holds(TARGET.name, now))


@given(
    "{count:d} VMs in {zones:d} zones, {large:d} in each of weight"
    " {weight:d}, before a target of {slots:d} slots and {connections:d}"
    " connections"
)
def given_crowd(
    context: Any,
    count: int,
    zones: int,
    large: int,
    weight: int,
    slots: int,
    connections: int,
) -> None:
    context.crowd = WeightedCrowd(
        large, weight, count, zones, slots, connections
    )


@then("a VM of weight {weight:d} holds the target in {zones:d} zone or more")
def then_large_holds(context: Any, weight: int, zones: int) -> None:
    weights = [vm.zone_vm.weight for vm in context.crowd.holders()]
    assert weights.count(weight) >= zones, weights


@when(
    "the VMs of weight {weight:d} are lost after {after:g} s of reads of"
    " {work:d} ms at {rate:g} a second for {seconds:g} s"
)
def when_large_lost(
    context: Any,
    weight: int,
    after: float,
    work: int,
    rate: float,
    seconds: float,
) -> None:
    crowd = context.crowd
    crowd.target.run_time = work / 1000

    def lose() -> None:
        for vm in crowd.large:
            assert vm.zone_vm.weight == weight
            vm.fail()

    crowd.clock.call_later(after, lose)
    crowd.load(rate, seconds)


@when(
    "every second VM knows no weights for {unaware:g} s of reads of {work:d}"
    " ms at {rate:g} a second for {seconds:g} s"
)
def when_unaware(
    context: Any, unaware: float, work: int, rate: float, seconds: float
) -> None:
    crowd = context.crowd
    crowd.target.run_time = work / 1000
    names = itertools.islice((vm.zone_vm.name for vm in crowd.vms), 0, None, 2)
    crowd.unaware = set(names)
    crowd.update_lists()
    crowd.clock.call_later(unaware, crowd.unaware.clear)
    crowd.load(rate, seconds)


# Metrics.


@then(
    "the metrics of a VM of weight {weight:d} that holds {held:d} of"
    " {targets:d} targets show {shown:d} and {counted:d}"
)
def then_metrics(
    context: Any,
    weight: int,
    held: int,
    targets: int,
    shown: int,
    counted: int,
) -> None:
    zone = make_zone(1, weight, 12, "vm")
    view = view_of(zone, zone[0])
    names = target_names(99)
    own = [t for t in names if view.holds(t, 1.0)][:held]
    others = [t for t in names if not view.holds(t, 1.0)][: targets - held]
    board = SessionBoard(vm=zone[0].name, availability_zone="z")
    for name in own + others:
        listed: Any = mock.Mock(spec=ListedTarget)
        board.group("g").targets[name] = listed
    metrics = SessionMetrics(board=board)
    metrics.watch_weight(weight=weight, holders=view, now=lambda: 1.0)
    metrics.load_exporter()
    text = metrics.text()
    assert text is not None
    values = {
        line.split()[0].decode(): float(line.split()[-1])
        for line in text.splitlines()
        if line.startswith(b"bamboospring_")
    }
    assert values["bamboospring_vm_weight"] == shown, values
    assert values["bamboospring_targets_held"] == counted, values
