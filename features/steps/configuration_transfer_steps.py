"""Steps for configurations that VMs get from each other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections import Counter
import dataclasses
import re
import time
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import given as explore
from hypothesis import settings
from hypothesis import strategies
import orjson

from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.peers import schema
from bamboospring.platform.line_protocol import key_digest
from bamboospring.platform.store_objects import read_catalog
from bamboospring.sessions.catalog_encoding import CatalogDecoder
from bamboospring.sessions.catalog_encoding import content_digest
from bamboospring.sessions.catalog_encoding import decode_catalog
from bamboospring.sessions.catalog_encoding import DecodeState
from bamboospring.sessions.catalog_encoding import encode_catalog
from bamboospring.sessions.catalog_encoding import EncodedCatalog
from bamboospring.sessions.catalog_relay import CatalogRelay
from bamboospring.sessions.catalog_relay import CatalogSource
from bamboospring.sessions.catalog_sending import AskAgain
from bamboospring.sessions.catalog_sending import CatalogCopy
from bamboospring.sessions.catalog_sending import HeldRequest
from bamboospring.sessions.catalog_sending import HOLD_TIME
from bamboospring.sessions.catalog_sending import PART_BYTES
from bamboospring.sessions.catalog_sending import PartQueue
from bamboospring.sessions.catalog_sending import Refer
from bamboospring.sessions.catalog_sending import Refuse
from bamboospring.sessions.catalog_sending import send_rate
from bamboospring.sessions.catalog_sending import SendPart
from bamboospring.sessions.catalog_transfer import AskPart
from bamboospring.sessions.catalog_transfer import CatalogPart
from bamboospring.sessions.catalog_transfer import CatalogTransfer
from bamboospring.sessions.catalog_transfer import Complete
from bamboospring.sessions.catalog_transfer import FindSource
from bamboospring.sessions.catalog_transfer import ReadStore
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import SessionBoard
from bamboospring.store_version import version_of
from features.steps.access_steps import config
from features.steps.access_steps import KeyVm
from features.steps.session_stage import act
from features.steps.session_stage import SessionFleetRun
from features.steps.transfer_fleet import FleetShape
from features.steps.transfer_fleet import make_config
from features.steps.transfer_fleet import TransferFleet
from features.steps.unanswered_steps import FakeClock

LEADER = "vm80"
STEP = 0.01
# Seconds without a leader after one is lost: the duration of a lease, and the
# time until another VM has it.
LEADERLESS = 2.0


# The fleet.


@given(
    "{vms:d} VMs in {zones:d} zones and {regions:d} regions, with {kind}"
    " relays"
)
def given_fleet(
    context: Any, vms: int, zones: int, regions: int, kind: str
) -> None:
    shape = FleetShape(
        vms=vms, zones=zones, regions=regions, weighted=kind == "large"
    )
    start_fleet(context, shape, large_relays=kind == "large")
    relays = context.transfers.relays()
    assert len(relays) == zones * (vms // zones >= 4)
    assert all((vm.mbps == 100.0) == (kind == "large") for vm in relays)


@given(
    "{vms:d} VMs in {zones:d} zones and {regions:d} regions, without load"
    " control"
)
def given_plain_fleet(
    context: Any, vms: int, zones: int, regions: int
) -> None:
    shape = FleetShape(
        vms=vms, zones=zones, regions=regions, load_control=False
    )
    start_fleet(context, shape, large_relays=True)


def start_fleet(
    context: Any, shape: FleetShape, *, large_relays: bool
) -> None:
    """Start a fleet with a small configuration in force at all VMs."""
    fleet = context.transfers = TransferFleet(shape=shape)
    context.stored_at = {}
    store(context, 300)
    fleet.start(LEADER if shape.vms > 80 else "vm8", large_relays=large_relays)
    fleet.run(6.0)
    assert all(vm.keeper.version == 1 for vm in fleet.vms.values())
    mark(context)


def mark(context: Any) -> None:
    """Remember the counts from which the next ones are counted."""
    fleet = context.transfers
    fleet.calls.clear()
    context.crossed_before = fleet.crossed_bytes()
    context.reads_before = {
        name: vm.store.large_reads for name, vm in fleet.vms.items()
    }


def store(context: Any, routes: int) -> None:
    version = len(context.stored_at) + 1
    value = make_config(version, routes)
    context.size = len(orjson.dumps(value))
    context.transfers.store_config(value, context.size)
    context.stored_at[version] = context.transfers.clock.now()


@when("a configuration of {routes:d} routes is stored")
def when_stored(context: Any, routes: int) -> None:
    store(context, routes)


@when(
    "{count:d} configurations of {routes:d} routes are stored, one each"
    " {seconds:g} s"
)
def when_many_stored(
    context: Any, count: int, routes: int, seconds: float
) -> None:
    for _ in range(count):
        store(context, routes)
        context.transfers.run(seconds)


@when("{seconds:g} s pass in the fleet")
def when_passed(context: Any, seconds: float) -> None:
    context.transfers.run(seconds)


def run_until(context: Any, condition: Any) -> None:
    for _ in range(500):
        context.transfers.run(STEP)
        if condition():
            return
    raise AssertionError("it did not come to this")


def has_part(vm: Any) -> bool:
    transfer = vm.transfers._transfer
    return bool(transfer.copy.data) and vm.keeper.version < transfer.version


@when("the relays are {fault} once a VM of their zone has a part")
def when_relays_fail(context: Any, fault: str) -> None:
    fleet = context.transfers
    relays = fleet.relays()
    zones = {vm.zone for vm in relays}
    failed = set()

    def fail() -> bool:
        for relay in relays:
            others = [
                vm
                for vm in fleet.running()
                if vm.zone == relay.zone and vm is not relay
            ]
            if relay.zone not in failed and any(map(has_part, others)):
                failed.add(relay.zone)
                if fault == "lost":
                    relay.is_running = False
                else:
                    fleet.unreachable.add(relay.name)
        return failed == zones

    run_until(context, fail)


@when("a relay has a part of it and not all")
def when_receiving_part(context: Any) -> None:
    run_until(context, lambda: any(map(has_part, context.transfers.relays())))


@then("the relay announces it, and has not put it in force")
def then_announced(context: Any) -> None:
    for vm in filter(has_part, context.transfers.relays()):
        assert vm.transfers.known_version == 2
        assert vm.keeper.version == 1


@when("the leader is lost and {name} leads once {count} have a part")
@when("the leader is lost and {name} leads once {count} has a part")
def when_leader_changes(context: Any, name: str, count: str) -> None:
    fleet = context.transfers
    enough = all if count == "all relays" else any
    run_until(
        context,
        lambda: enough(
            has_part(vm) or vm.keeper.version == 2 for vm in fleet.relays()
        ),
    )
    fleet.vms[fleet.leader].is_running = False
    fleet.leader = ""
    fleet.run(LEADERLESS)
    fleet.lead(name)


@when("a VM hears from its relay of version 2, with an age of {age:g} s")
def when_hears(context: Any, age: float) -> None:
    fleet = context.transfers
    vm = next(vm for vm in fleet.running() if not vm.serves_zone)
    context.hearer = vm
    context.confirmed_before = vm.board.catalog_confirmed_at
    facts = new_envelope().init("facts")
    facts.informed = True
    facts.leader = facts.leaderAddress = fleet.leader
    facts.leaseVersion = fleet.term
    facts.catalog = 2
    facts.catalogAgeMs = round(age * 1000)
    vm.facts._apply_facts(facts, fleet.clock.now())


@then("it requests that version and confirms nothing")
def then_requests(context: Any) -> None:
    vm = context.hearer
    relay = next(r for r in context.transfers.relays() if r.zone == vm.zone)
    assert vm.transfers._transfer.is_pending
    assert vm.transfers.known_version == 2
    assert context.transfers.asked[relay.name, "catalogAsk"] == 1
    assert vm.board.catalog_confirmed_at == context.confirmed_before


class PeerStage(FakeClock):
    """A reactor with one connection, to a VM that only sends its hello."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[str] = []
        self.stream = SimpleNamespace(
            send=self._note, abort=lambda: None, on_data=None, on_close=None
        )

    def _note(self, data: bytes) -> None:
        with schema.Envelope.from_bytes(data[4:]) as message:
            self.sent.append(message.which())

    def listen(self, _address: str, _on_accept: Any) -> Any:
        return SimpleNamespace(close=lambda: None)

    def connect(self, _address: str, _timeout: float, on_open: Any) -> None:
        self.call_later(0.01, lambda: on_open(self.stream))

    def send_hello(self, protocol: int) -> None:
        message = new_envelope()
        message.init("hello").protocol = protocol
        data = message.to_bytes()
        self.stream.on_data(len(data).to_bytes(4, "little") + data)


@when(
    "a VM states protocol {protocol:d} and is asked for a part and for facts"
)
def when_asked_for_part(context: Any, protocol: int) -> None:
    stage = PeerStage()
    reactor: Any = stage
    keeper: Any = SimpleNamespace(read_store=lambda: None, version=1)
    peers = Peers(reactor=reactor, vm="vm-1", listen="vm-1:1")
    relay = CatalogRelay(
        reactor=reactor,
        board=SessionBoard(
            vm="vm-1", availability_zone="z", load_control=True
        ),
        peers=peers,
        keeper=keeper,
        address="vm-1:1",
        link_mbps=5.0,
    )
    lost_at: list[float] = []
    relay.on_source_lost = lambda _source: lost_at.append(stage.now())
    relay.set_source(CatalogSource(address="vm-2:1", is_relay=True), 2)
    keeper.on_newer(2)
    message = new_envelope()
    message.init("factsAsk")
    peers.ask("vm-2:1", message, 0.4, lambda _answer: None)
    stage.run_until(0.05)
    stage.send_hello(protocol)
    stage.run_until(0.45)
    context.peer_stage, context.lost_at = stage, lost_at


@then("it is sent {kinds}")
def then_sent(context: Any, kinds: str) -> None:
    sent = [k for k in context.peer_stage.sent if k != "heartbeat"]
    assert sent == kinds.split(", "), sent


@then("the request for a part is lost {outcome}")
def then_part_lost(context: Any, outcome: str) -> None:
    at = 0.05 if outcome.startswith("at once") else 0.4
    assert context.lost_at == [at], context.lost_at


@when("the leader is lost and no VM leads")
def when_leader_lost(context: Any) -> None:
    fleet = context.transfers
    mark(context)
    fleet.vms[fleet.leader].is_running = False
    fleet.leader = ""


@when("the leader is told of a version that the store does not have")
def when_told_lost(context: Any) -> None:
    fleet = context.transfers
    leader = fleet.vms[fleet.leader]
    leader.transfers.set_source(CatalogSource(address="vm1"), 9)
    leader.keeper.on_newer(9)


@then("no VM knows of a version other than its own")
def then_forgotten(context: Any) -> None:
    for vm in context.transfers.vms.values():
        assert vm.transfers.known_version == vm.keeper.version == 1


@then(
    "a configuration of {routes:d} routes that is stored then reaches all VMs"
)
def then_next_reaches(context: Any, routes: int) -> None:
    store(context, routes)
    context.transfers.run(4.0)
    then_newest(context)


@when("the store is {fault} for a third of the VMs")
def when_store_fails(context: Any, fault: str) -> None:
    for number, vm in enumerate(context.transfers.vms.values()):
        if number % 3 == 0 and vm.name != context.transfers.leader:
            vm.store.fault = fault


@then("it is in force at all VMs {seconds:g} s after the leader has read it")
def then_in_force(context: Any, seconds: float) -> None:
    fleet = context.transfers
    version = len(context.stored_at)
    read_at = fleet.vms[fleet.leader].in_force_at[version]
    late = {
        vm.name: vm.in_force_at.get(version, 1e9) - read_at
        for vm in fleet.running()
    }
    assert max(late.values()) <= seconds, sorted(late.values())[-5:]


@then("the newest configuration is in force at all running VMs")
def then_newest(context: Any) -> None:
    newest = len(context.stored_at)
    behind = {
        vm.name: vm.keeper.version
        for vm in reachable(context)
        if vm.keeper.version != newest
    }
    assert not behind, behind


def reachable(context: Any) -> list[Any]:
    fleet = context.transfers
    return [vm for vm in fleet.running() if vm.name not in fleet.unreachable]


@then("it was in force {seconds:g} s after it was stored")
def then_in_time(context: Any, seconds: float) -> None:
    version, stored_at = max(context.stored_at.items())
    late = [
        (vm.in_force_at[version] - stored_at, vm.name)
        for vm in reachable(context)
    ]
    assert max(late)[0] <= seconds, sorted(late)[-5:]


@then(
    "each configuration was in force or replaced {seconds:g} s after it was"
    " stored"
)
def then_each_in_time(context: Any, seconds: float) -> None:
    for vm in reachable(context):
        for version, stored_at in context.stored_at.items():
            at = min(at for v, at in vm.in_force_at.items() if v >= version)
            if version > 1:
                assert at - stored_at <= seconds, (vm.name, version)


@then("no VM went back to an older configuration")
def then_never_older(context: Any) -> None:
    for vm in context.transfers.vms.values():
        assert vm.versions == sorted(vm.versions), vm.versions


@then(
    "at most {part:g} of its size times the number of VMs crossed the regions"
)
def then_crossed(context: Any, part: float) -> None:
    fleet = context.transfers
    crossed = fleet.crossed_bytes() - context.crossed_before
    assert crossed <= part * context.size * len(fleet.vms), crossed


@then("at most {most:d} VMs have read it from the store")
def then_reads(context: Any, most: int) -> None:
    readers = {
        name
        for name, vm in context.transfers.vms.items()
        if vm.store.large_reads > context.reads_before[name]
    }
    assert len(readers) <= most, readers


@then("VMs other than the leader made at most {most:d} calls to the store")
def then_calls(context: Any, most: int) -> None:
    fleet = context.transfers
    calls = {
        name: count
        for name, count in fleet.calls.items()
        if name != fleet.leader
    }
    assert max(calls.values(), default=0) <= most, calls


@then("every running VM watches the store and got nothing that it had")
def then_no_history(context: Any) -> None:
    fleet = context.transfers
    for vm in fleet.running():
        assert fleet.calls[vm.name] > 0
        assert vm.store.large_reads == context.reads_before[vm.name], vm.name


@then("no VM has asked another for a configuration")
def then_none_asked(context: Any) -> None:
    kinds = {kind for _address, kind in context.transfers.asked}
    assert kinds == {"factsAsk"}, kinds


# What to ask next, and when to give up.

DATA = b"0123456789" + b"abcdefghij"


def part(offset: int = 0, **changes: Any) -> CatalogPart:
    members: dict[str, Any] = {
        "version": 7,
        "total": len(DATA),
        "offset": offset,
        "data": DATA[offset : offset + 10],
        "digest": content_digest(DATA),
        "available": len(DATA),
        "receiving": True,
    }
    return CatalogPart(**{**members, **changes})


@given("a VM that has been told of version 7 by its {kind}")
def given_told(context: Any, kind: str) -> None:
    context.transfer = CatalogTransfer(spread=0.5)
    context.is_relay = kind == "relay"
    context.action = context.transfer.announce(
        7, "source", serves_zone=False, now=0.0
    )


def take(context: Any, *parts: CatalogPart) -> None:
    for each in parts:
        assert isinstance(context.action, AskPart), context.action
        context.action = context.transfer.record_part(
            each, context.action, now=0.5
        )


def lose(context: Any) -> None:
    context.action = context.transfer.record_loss(
        context.action, is_relay=context.is_relay, now=0.5
    )


def announce(context: Any, version: int, source: str, now: float) -> None:
    context.action = context.transfer.announce(
        version, source, serves_zone=False, now=now
    )


def when_nothing(context: Any) -> None:
    assert context.action.delay == 0.0


def when_first(context: Any) -> None:
    take(context, part())


def when_all(context: Any) -> None:
    take(context, part(), part(10))


def when_receiving(context: Any) -> None:
    take(context, part(total=0, data=b"", digest=0, available=0))
    assert context.action.delay > 0.0


def when_silent(context: Any) -> None:
    lose(context)


def when_no_other(context: Any) -> None:
    lose(context)
    transfer = context.transfer
    assert transfer.check(0.89) is None
    assert transfer.next_check_at() == 0.9
    context.action = transfer.check(0.9)


def when_other(context: Any) -> None:
    take(context, part())
    lose(context)
    announce(context, 7, "other", 0.7)
    assert context.action.source == "other"
    assert context.transfer.check(1.5) is None


def when_lacking(context: Any) -> None:
    take(context, CatalogPart(version=6))


def when_newer(context: Any) -> None:
    take(context, part(), CatalogPart(version=8))


def when_newer_announced(context: Any) -> None:
    take(context, part())
    announce(context, 8, "source", 0.1)


def when_older_announced(context: Any) -> None:
    take(context, part())
    announce(context, 6, "source", 0.1)


def when_other_total(context: Any) -> None:
    take(context, part(), part(10, total=30))


def when_other_offset(context: Any) -> None:
    take(context, part(), part(0))


def when_other_digest(context: Any) -> None:
    take(context, part(digest=5), part(10, digest=5))


def when_long(context: Any) -> None:
    waiting = part(total=0, data=b"", digest=0, available=0)
    for _ in range(10):
        take(context, waiting)
    assert context.transfer.check(1.9) is None
    context.action = context.transfer.check(2.4)


def when_again(context: Any) -> None:
    context.transfer.check(2.4)
    announce(context, 7, "source", 3.0)
    assert context.transfer.check(4.9) is None


def when_referred(context: Any) -> None:
    waiting = part(10, data=b"", source="other")
    take(context, part(), waiting)
    assert context.action.source == "other"
    assert context.transfer.is_wanted(context.action)


def when_referral_lost(context: Any) -> None:
    when_referred(context)
    lose(context)
    assert context.action.source == "other"


def when_referral_lacks(context: Any) -> None:
    when_referred(context)
    take(context, CatalogPart(version=6))


def when_referred_again(context: Any) -> None:
    when_referral_lost(context)
    announce(context, 7, "source", 0.6)
    assert context.action.is_direct
    take(context, part(0, data=b"", source="other"))
    assert context.action.source == "source"


TRANSFER_EVENTS: dict[str, Callable[[Any], None]] = {
    "nothing": when_nothing,
    "the first part arrives": when_first,
    "all parts arrive": when_all,
    "the relay says that it is receiving": when_receiving,
    "the source does not answer": when_silent,
    "no other source is found in time": when_no_other,
    "another relay announces it after a loss": when_other,
    "the source does not have it": when_lacking,
    "the source has version 8": when_newer,
    "version 8 is announced": when_newer_announced,
    "version 6 is announced": when_older_announced,
    "a part of another total arrives": when_other_total,
    "a part of another offset arrives": when_other_offset,
    "all parts arrive with another digest": when_other_digest,
    "the relay is receiving for too long": when_long,
    "it gave up and version 7 is announced": when_again,
    "the relay refers it after the first part": when_referred,
    "the VM that it was referred to is lost": when_referral_lost,
    "the VM that it was referred to lacks it": when_referral_lacks,
    "it is referred again after a loss": when_referred_again,
}


@when("the transfer continues: {event}")
def when_continues(context: Any, event: str) -> None:
    TRANSFER_EVENTS[event](context)


@then("the VM asks for version {version:d} at {offset:d}")
def then_asks(context: Any, version: int, offset: int) -> None:
    action = context.action
    assert isinstance(action, AskPart), action
    assert (action.version, action.offset) == (version, offset)


@then("the VM has all of version 7")
def then_complete(context: Any) -> None:
    assert isinstance(context.action, Complete), context.action
    assert context.action.data == DATA


@then("the VM asks for facts again")
def then_finds(context: Any) -> None:
    assert isinstance(context.action, FindSource), context.action


@then("the VM reads the store")
def then_reads_store(context: Any) -> None:
    assert isinstance(context.action, ReadStore), context.action


@then("the VM does nothing")
def then_nothing(context: Any) -> None:
    assert context.action is None


@then(
    "{count:d} VMs give up over at least {seconds:g} s, and a relay before"
    " all of them"
)
def then_spread(context: Any, count: int, seconds: float) -> None:
    def limit(number: int, serves_zone: bool) -> float:
        transfer = CatalogTransfer(spread=number / count)
        transfer.announce(7, "s", serves_zone=serves_zone, now=0.0)
        at = transfer.next_check_at()
        assert at is not None
        return at

    limits = sorted(limit(number, False) for number in range(count))
    assert limits[-1] - limits[0] >= seconds
    assert limit(count, True) + 0.5 < limits[0]


@then("its time limit is that of a relay, from then on at the latest")
def then_relay_limit(context: Any) -> None:
    transfer = CatalogTransfer(spread=1.0)
    for now, serves_zone, limit_at in (
        (0.0, False, 2.8),
        (0.5, True, 1.7),
        (0.7, True, 1.7),
        (0.9, False, 1.7),
    ):
        transfer.announce(7, "s", serves_zone=serves_zone, now=now)
        assert transfer.next_check_at() == limit_at, now


# What to send, and when.


def whole(size: int, version: int = 7) -> CatalogCopy:
    return CatalogCopy(version=version, total=size, digest=1, data=b"x" * size)


def request(
    number: int, offset: int = 0, at: float = 0.0, version: int = 7
) -> HeldRequest:
    return HeldRequest(
        number=number, version=version, offset=offset, received_at=at
    )


def send_all(context: Any, count: int, rate: float, size: int) -> None:
    """Send a configuration to VMs that ask for one part after the other."""
    queue, now = PartQueue(bytes_per_second=rate), 0.0
    context.sent, context.finished, context.longest = [], [], 0.0
    for number in range(count):
        queue.add(request(number))
    copy = whole(size)
    while len(context.finished) < count:
        for answer in queue.take(copy, is_source=True, now=now):
            asked = answer.request
            context.longest = max(context.longest, now - asked.received_at)
            offset = asked.offset
            if isinstance(answer, SendPart):
                sent = len(copy.part(offset))
                context.sent.append((now, sent))
                offset += sent
            if offset == size:
                context.finished.append(now)
                continue
            queue.add(request(asked.number, offset, now))
        at = queue.next_check_at(now)
        assert at is None or at > now or context.finished
        now = max(now + 1e-6, at or 0.0)
        assert now < 60.0


@then(
    "a VM with a link of {mbps:g} Mbit/s sends {count:d} VMs at most"
    " {kb:d} kB a second"
)
def then_rate(context: Any, mbps: float, count: int, kb: int) -> None:
    check_rate(context, send_rate(mbps), count, kb)


@then(
    "a VM with an unknown link sends {count:d} VMs at most {kb:d} kB a second"
)
def then_unknown_rate(context: Any, count: int, kb: int) -> None:
    check_rate(context, send_rate(None), count, kb)


def check_rate(context: Any, rate: float, count: int, kb: int) -> None:
    size = 2 * PART_BYTES + 100
    send_all(context, count, rate, size)
    for at, _ in context.sent:
        inside = sum(n for t, n in context.sent if at <= t < at + 1.0)
        assert inside <= kb * 1000 + PART_BYTES, inside
    used = sum(n for _, n in context.sent) / context.sent[-1][0]
    assert used >= 0.9 * rate, used


@then("VMs finish one after the other")
def then_in_turn(context: Any) -> None:
    finished = context.finished
    assert finished[len(finished) // 2] <= 0.6 * finished[-1], finished


@then("no request is held for more than {seconds:g} s")
def then_held(context: Any, seconds: float) -> None:
    assert context.longest <= seconds + 2 * STEP, context.longest


def answers(
    copy: CatalogCopy, asked: HeldRequest, *, is_source: bool, now: float
) -> list[type]:
    queue = PartQueue(bytes_per_second=1e9)
    assert queue.add(asked) is None
    return [
        type(answer)
        for answer in queue.take(copy, is_source=is_source, now=now)
    ]


def served_queue(count: int) -> PartQueue:
    """Return the queue of a VM that has served others and has no time now."""
    queue = PartQueue(bytes_per_second=2000.0)
    for number in range(count):
        queue.add(
            dataclasses.replace(request(number), address=f"served-{number}")
        )
        assert queue.take(whole(100), is_source=True, now=number / 10)
    queue.bytes_per_second = 0.1
    queue.add(request(99, at=0.5))
    (sent,) = queue.take(whole(100), is_source=True, now=0.5)
    assert isinstance(sent, SendPart)
    return queue


@then(
    "of {waiting:d} requests that wait while {count:d} VMs were served each"
    " VM gets {part_count:d}"
)
def then_shared(
    context: Any, waiting: int, count: int, part_count: int
) -> None:
    queue = served_queue(count)
    found: Counter[str] = Counter()
    for number in range(waiting):
        queue.add(request(100 + number, at=1.0))
    for answer in queue.take(whole(100), is_source=True, now=1.0 + HOLD_TIME):
        found[getattr(answer, "source", "")] += 1
    assert set(found.values()) == {part_count}, found
    assert len(found) == count + 1


@then("a request that is direct is not referred")
def then_direct(context: Any) -> None:
    queue = served_queue(3)
    for number in range(8):
        asked = dataclasses.replace(
            request(100 + number, at=1.0), is_direct=True
        )
        queue.add(asked)
    found = queue.take(whole(100), is_source=True, now=1.0 + HOLD_TIME)
    assert not any(isinstance(answer, Refer) for answer in found), found


@then("a relay's request is sent before those that arrived earlier")
def then_relay_first(context: Any) -> None:
    queue = PartQueue(bytes_per_second=1e3)
    queue.add(request(1, PART_BYTES))
    queue.add(dataclasses.replace(request(2, at=0.1), serves_zone=True))
    found = queue.take(whole(3 * PART_BYTES), is_source=True, now=0.1)
    assert [answer.request.number for answer in found] == [2]


@then("a copy of which half has arrived is sent up to there")
def then_half(context: Any) -> None:
    copy = CatalogCopy(
        version=7,
        total=3 * PART_BYTES,
        digest=1,
        data=b"x" * (2 * PART_BYTES),
    )
    for offset, found in ((0, [SendPart]), (2 * PART_BYTES, [])):
        asked = request(1, offset)
        assert answers(copy, asked, is_source=True, now=0.1) == found
    late = answers(copy, request(1, 2 * PART_BYTES), is_source=True, now=0.2)
    assert late == [AskAgain]


@then("a request for a version that the leader will read is held")
def then_awaited(context: Any) -> None:
    asked = request(1, version=8)
    assert answers(whole(100), asked, is_source=True, now=0.1) == []
    assert answers(whole(100), asked, is_source=True, now=0.2) == [AskAgain]


@then("a VM that is no source refuses a version that it does not know")
def then_refused(context: Any) -> None:
    for version in (6, 8):
        asked = request(1, version=version)
        assert answers(whole(100), asked, is_source=False, now=0.0) == [Refuse]
    asked = request(1, version=6)
    assert answers(whole(100), asked, is_source=True, now=0.0) == [Refuse]


# The content.

KEYS = ("key-of-the-bank-1", "key-of-the-bank-2", "key-of-the-shop")


def team_catalog(version: int = 3) -> Catalog:
    value = config(version=version, bank=list(KEYS[:2]), shop=[KEYS[2]])
    value["tenants"][0] |= {"ratePerS": 30.0, "burstSize": 5.0}
    value["routes"] += make_config(version, 20)["routes"]
    found = Found(kind="config", name="main", version=9, value=value)
    catalog = read_catalog(found)
    assert catalog is not None
    return catalog


@then("a configuration with teams is decoded as it was")
def then_decoded(context: Any) -> None:
    catalog = team_catalog()
    context.encoded = encode_catalog(catalog, stored_version=9)
    content = decode_catalog(context.encoded.data)
    assert content is not None
    assert content.catalog == catalog
    assert content.stored_version == 9


@then("no key is part of what is sent, and each digest is")
def then_no_keys(context: Any) -> None:
    decoder = CatalogDecoder(context.encoded.data)
    decoder.step()
    text = orjson.dumps(decoder._body).decode()
    for key in KEYS:
        assert key not in text
        assert key_digest(key.encode()) in text


@then("no damaged content is decoded as another configuration")
def then_damaged(context: Any) -> None:
    catalog = team_catalog()
    data = encode_catalog(catalog, stored_version=9).data

    @settings(max_examples=300, derandomize=True, deadline=None)
    @explore(
        place=strategies.integers(0, len(data) - 1),
        byte=strategies.integers(0, 255),
        cut=strategies.booleans(),
    )
    def damage(place: int, byte: int, cut: bool) -> None:
        damaged = bytearray(data)
        damaged[place] = byte
        content = decode_catalog(bytes(damaged[:place] if cut else damaged))
        assert content is None or content.catalog == catalog

    damage()


@then("no step decodes more than {most:d} routes")
def then_steps(context: Any, most: int) -> None:
    found = Found(
        kind="config", name="main", version=9, value=make_config(3, 1700)
    )
    catalog = read_catalog(found)
    assert catalog is not None
    encoded = encode_catalog(catalog, stored_version=9)
    decoder, before, steps = CatalogDecoder(encoded.data), 0, 0
    while (state := decoder.step()) is DecodeState.UNFINISHED:
        assert len(decoder._routes) - before <= most
        before, steps = len(decoder._routes), steps + 1
    assert steps >= 1700 // most
    assert not isinstance(state, DecodeState)
    assert state.catalog == catalog


# Versions and confirmation.


def key_vm(context: Any) -> KeyVm:
    """Return a VM with version 3 of the configuration, stored as 9."""
    clock = FakeClock()
    clock.time = 100.0
    vm = KeyVm(clock)
    vm.keeper.start()
    answer_store(vm, 9, config(version=3, bank=[KEYS[0]]))
    assert vm.keeper.version == 3
    clock.run_until(101.0)
    return vm


def answer_store(vm: KeyVm, version: int, value: Any) -> None:
    found = Found(kind="config", name="main", version=version, value=value)
    on_result = vm.platform.calls.pop()
    on_result(Changes(objects=(found,), revision=version))


def content_of(version: int, stored_version: int) -> Any:
    encoded: EncodedCatalog = encode_catalog(
        team_catalog(version), stored_version=stored_version
    )
    return decode_catalog(encoded.data)


@then("content of an older version changes nothing")
def then_older_ignored(context: Any) -> None:
    vm = key_vm(context)
    for version, stored in (
        (2, 20),
        (3, 20),
        (2, version_of(era=1, revision=1)),
    ):
        assert not vm.keeper.apply_content(content_of(version, stored))
        assert (vm.keeper.version, vm.keeper.stored_version) == (3, 9)


@then("content of a newer version confirms nothing")
def then_unconfirmed(context: Any) -> None:
    vm = key_vm(context)
    confirmed_at = vm.board.catalog_confirmed_at
    assert vm.keeper.apply_content(content_of(4, 12))
    assert vm.board.catalog_confirmed_at == confirmed_at
    assert (vm.keeper.version, vm.keeper.stored_version) == (4, 12)


@then("a store that came back from an older copy changes nothing")
def then_restored(context: Any) -> None:
    vm = key_vm(context)
    assert vm.keeper.apply_content(content_of(4, 12))
    confirmed_at = vm.board.catalog_confirmed_at
    older = version_of(era=1, revision=9)
    answer_store(vm, older, config(version=3, bank=[KEYS[0]]))
    assert vm.keeper.version == 4
    assert vm.board.catalog_confirmed_at == confirmed_at


@then("a version that could not be read stays in doubt after older content")
def then_doubtful(context: Any) -> None:
    vm = key_vm(context)
    answer_store(vm, 14, {"version": "five"})
    assert vm.keeper.apply_content(content_of(4, 12))
    confirmed_at = vm.board.catalog_confirmed_at
    vm.keeper.apply_relayed(4, 101.0, 101.0, 102.0)
    assert vm.board.catalog_confirmed_at == confirmed_at


# Real VMs.

ADDED_ROUTES_PATIENCE = 20.0


@given("an estate with {vms:d} VMs and load control")
def given_real(context: Any, vms: int) -> None:
    context.stage = SessionFleetRun(vms, 2, load_control=True)
    context.add_cleanup(context.stage.close)
    context.stage.call(context.stage.fleet.start())


@when("after {after:d} s the store is silent for {names}")
def when_link_silent(context: Any, after: int, names: str) -> None:
    links = context.stage.fleet.links

    async def silence() -> None:
        for vm in vm_names(names):
            # Not `silent`, which loses the data of open connections only.
            links[f"{vm}-store"].set_mode(
                mode="freeze", direction="both", delay_ms=0
            )

    act(context, after, silence)


def vm_names(text: str) -> list[str]:
    return text.replace(" and ", ", ").split(", ")


def add_routes(fleet: Any, count: int) -> None:
    fleet.added_databases.extend(f"added-{n}" for n in range(count))
    fleet.write_config()


@when("after {after:d} s {count:d} routes are added")
def when_routes_added(context: Any, after: int, count: int) -> None:
    fleet = context.stage.fleet

    async def add() -> None:
        add_routes(fleet, count)

    act(context, after, add)


@when(
    "after {after:d} s the VMs that pass facts on lose power while {count:d}"
    " routes come"
)
def when_sources_killed(context: Any, after: int, count: int) -> None:
    fleet = context.stage.fleet
    context.stage.killed = []

    async def add_and_kill() -> None:
        sources = [vm for vm in fleet.vms if passes_facts_on(fleet, vm)]
        assert len(sources) >= 2, sources
        add_routes(fleet, count)
        await asyncio.sleep(0.25)
        for vm in sources:
            fleet.vms[vm].process.kill()
        context.stage.killed = sources

    act(context, after, add_and_kill)


def passes_facts_on(fleet: Any, vm: str) -> bool:
    """Return whether a VM is the leader or a relay, by its log."""
    text = fleet.read_log(vm)
    leads = text.rfind("event=lease_taken") > text.rfind("event=lease_lost")
    serves = re.findall(r"event=facts_source .*?serves_zone=(\w+)", text)
    return leads or (bool(serves) and serves[-1].lower() == "true")


@then("all running VMs have the newest configuration")
def then_real_newest(context: Any) -> None:
    context.stage.play()
    fleet = context.stage.fleet
    newest = fleet.store.get("config", "main")["version"]
    until = time.monotonic() + ADDED_ROUTES_PATIENCE
    behind = {}
    while time.monotonic() < until:
        found = {
            vm: catalog_versions(fleet, vm)
            for vm, each in fleet.vms.items()
            if each.process.running
        }
        behind = {vm: v for vm, v in found.items() if newest not in v}
        if not behind:
            return
        time.sleep(0.1)
    raise AssertionError(behind)


def catalog_versions(fleet: Any, vm: str) -> list[int]:
    text = fleet.read_log(vm)
    return [
        int(found)
        for found in re.findall(r"event=catalog .*?version=(\d+)", text)
    ]


@then("{names} have received it from other VMs unless they led")
def then_received(context: Any, names: str) -> None:
    fleet = context.stage.fleet
    newest = fleet.store.get("config", "main")["version"]
    for vm in vm_names(names):
        text = fleet.read_log(vm)
        received = re.findall(r"event=catalog_received .*?version=(\d+)", text)
        led = "event=lease_taken" in text
        assert led or str(newest) in received, text[-2000:]
