"""Steps for facts that one VM of each zone relays to the others."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import random
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.sessions.relay import RELAY_REQUEST_INTERVAL
from bamboospring.sessions.relay import RELAYED_LIFETIME
from bamboospring.sessions.relay import REQUEST_INTERVAL
from bamboospring.sessions.relay import REQUEST_TIMEOUT
from bamboospring.sessions.zone_relays import AskRelay
from bamboospring.sessions.zone_relays import FactRequester
from bamboospring.sessions.zone_relays import FactSource
from bamboospring.sessions.zone_relays import ZoneRelays
from features.steps import session_worlds

STEP = 0.01


@dataclass(eq=False, kw_only=True)
class Vm:
    """A VM that asks for facts; `informed_at` has the times of its answers."""

    requester: FactRequester
    next_request_at: float
    source: FactSource = field(default_factory=FactSource)
    informed_at: list[float] = field(default_factory=list)
    informed_until: float = 0.0
    is_running: bool = True
    reachable_from_zone: bool = True
    unanswered_requests: int = 0


class Fleet:
    """VMs and a leader under a simulated clock."""

    def __init__(self, count: int, zones: int) -> None:
        rng = random.Random(1)
        self.now = 0.0
        self.relays = ZoneRelays()
        self.answers: Counter[int] = Counter()
        self.vms = [
            Vm(
                requester=FactRequester(
                    vm=f"vm-{n}",
                    address=f"vm-{n}:1",
                    availability_zone=f"zone-{n % zones}",
                ),
                next_request_at=rng.uniform(0, REQUEST_INTERVAL),
            )
            for n in range(count)
        ]
        self.by_address = {vm.requester.address: vm for vm in self.vms}

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for vm in self.vms:
                if vm.is_running and vm.next_request_at <= self.now:
                    self.ask(vm)
            self.now += STEP

    def ask(self, vm: Vm) -> None:
        serves = vm.source.serves_zone
        vm.next_request_at = self.now + (
            RELAY_REQUEST_INTERVAL if serves else REQUEST_INTERVAL
        )
        address = vm.source.address("leader")
        relay = self.by_address.get(address)
        if relay is not None and self.can_relay(relay):
            self.inform(vm, self.now)
            return
        if relay is not None:
            silent = not relay.is_running or not relay.reachable_from_zone
            vm.unanswered_requests += silent
            vm.source.record_relay_failure(self.now)
            self.ask_leader(
                vm, self.now + (REQUEST_TIMEOUT if silent else 0.0)
            )
            return
        self.ask_leader(vm, self.now)

    def can_relay(self, relay: Vm) -> bool:
        serves = relay.source.serves_zone and self.now < relay.informed_until
        return relay.is_running and relay.reachable_from_zone and serves

    def ask_leader(self, vm: Vm, at: float) -> None:
        self.answers[int(at)] += 1
        vm.source.update_assignment(self.relays.assign(vm.requester, at), at)
        self.inform(vm, at)
        vm.informed_until = at + RELAYED_LIFETIME

    def inform(self, vm: Vm, at: float) -> None:
        vm.informed_at.append(at)

    def serving(self) -> list[Vm]:
        return [
            vm for vm in self.vms if vm.is_running and vm.source.serves_zone
        ]


@given("{count:d} VMs in {zones:d} zones that ask a leader for facts")
def given_fleet(context: Any, count: int, zones: int) -> None:
    context.fleet = Fleet(count, zones)


@when("{seconds:g} s go by")
def when_time(context: Any, seconds: float) -> None:
    context.fleet.run(seconds)


@when("the relays of all zones are lost")
def when_dead(context: Any) -> None:
    for vm in context.fleet.serving():
        vm.is_running = False


@when("the relays of all zones are cut off from their zones")
def when_unheard(context: Any) -> None:
    serving = context.fleet.serving()
    assert serving
    for vm in serving:
        vm.reachable_from_zone = False


@when("another VM becomes the leader")
def when_other_leads(context: Any) -> None:
    context.fleet.relays = ZoneRelays()


@then(
    "in the last {seconds:d} s the leader has answered at most {most:d}"
    " requests a second"
)
def then_few(context: Any, seconds: int, most: int) -> None:
    fleet = context.fleet
    last = round(fleet.now) - 1
    found = [fleet.answers[last - n] for n in range(seconds)]
    assert max(found) <= most, found


@then("every VM has had facts in each second")
@then("every VM that runs has had facts in each second")
def then_informed(context: Any) -> None:
    fleet = context.fleet
    for vm in fleet.vms:
        if not vm.is_running:
            continue
        times = [*vm.informed_at, fleet.now]
        longest = max(b - a for a, b in zip(times, times[1:]))
        assert longest <= REQUEST_INTERVAL + REQUEST_TIMEOUT + 2 * STEP, (
            vm.requester,
            longest,
        )


@then("each VM waited for a relay without an answer at most {most:d} times")
def then_not_waited(context: Any, most: int) -> None:
    unanswered_requests = Counter(
        vm.unanswered_requests for vm in context.fleet.vms
    )
    assert max(unanswered_requests) <= most, unanswered_requests


@then("no VM serves its zone")
def then_none_serves(context: Any) -> None:
    fleet = context.fleet
    assert not fleet.serving()
    assert not any(
        isinstance(vm.source.assignment, AskRelay) for vm in fleet.vms
    )


@then(
    "in {count:d} explored changes with relays no proof outlives a promotion"
)
def then_no_proof(context: Any, count: int) -> None:
    seen = session_worlds.explore_changes(count, relays=True)
    assert not seen.wrong, seen.wrong[:3]
    assert seen.counts["proof_passed_on"] > count, seen.counts
    assert seen.counts["promoted"] > count / 4, seen.counts


@then("a relay that omits ages is found in {count:d} explored changes")
def then_found_ageless(context: Any, count: int) -> None:
    seen = session_worlds.explore_changes(count, relays=True, ages=False)
    assert seen.wrong
