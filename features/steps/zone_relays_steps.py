"""Steps for facts that one VM of each zone passes on to the others."""

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
    """A VM that asks for facts; `informed` has the times of its answers."""

    asker: FactRequester
    due: float
    source: FactSource = field(default_factory=FactSource)
    informed: list[float] = field(default_factory=list)
    informed_until: float = 0.0
    up: bool = True
    heard_by_zone: bool = True
    waited: int = 0


class Fleet:
    """VMs and a leader, under a clock that is only counted."""

    def __init__(self, count: int, zones: int) -> None:
        chance = random.Random(1)
        self.now = 0.0
        self.relays = ZoneRelays()
        self.answers: Counter[int] = Counter()
        self.vms = [
            Vm(
                asker=FactRequester(
                    vm=f"vm-{n}",
                    address=f"vm-{n}:1",
                    availability_zone=f"zone-{n % zones}",
                ),
                due=chance.uniform(0, REQUEST_INTERVAL),
            )
            for n in range(count)
        ]
        self.by_address = {vm.asker.address: vm for vm in self.vms}

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for vm in self.vms:
                if vm.up and vm.due <= self.now:
                    self.ask(vm)
            self.now += STEP

    def ask(self, vm: Vm) -> None:
        serves = vm.source.serves_zone
        vm.due = self.now + (
            RELAY_REQUEST_INTERVAL if serves else REQUEST_INTERVAL
        )
        address = vm.source.address("leader")
        relay = self.by_address.get(address)
        if relay is not None and self.passes_on(relay):
            self.inform(vm, self.now)
            return
        if relay is not None:
            silent = not relay.up or not relay.heard_by_zone
            vm.waited += silent
            vm.source.record_relay_failure(self.now)
            self.ask_leader(
                vm, self.now + (REQUEST_TIMEOUT if silent else 0.0)
            )
            return
        self.ask_leader(vm, self.now)

    def passes_on(self, relay: Vm) -> bool:
        serves = relay.source.serves_zone and self.now < relay.informed_until
        return relay.up and relay.heard_by_zone and serves

    def ask_leader(self, vm: Vm, at: float) -> None:
        self.answers[int(at)] += 1
        vm.source.update_assignment(self.relays.assign(vm.asker, at), at)
        self.inform(vm, at)
        vm.informed_until = at + RELAYED_LIFETIME

    def inform(self, vm: Vm, at: float) -> None:
        vm.informed.append(at)

    def serving(self) -> list[Vm]:
        return [vm for vm in self.vms if vm.up and vm.source.serves_zone]


@given("{count:d} VMs in {zones:d} zones that ask a leader for facts")
def given_fleet(context: Any, count: int, zones: int) -> None:
    context.fleet = Fleet(count, zones)


@when("{seconds:g} s go by")
def when_time(context: Any, seconds: float) -> None:
    context.fleet.run(seconds)


@when("the relays of all zones die")
def when_dead(context: Any) -> None:
    for vm in context.fleet.serving():
        vm.up = False


@when("the relays of all zones are cut off from their zones")
def when_unheard(context: Any) -> None:
    serving = context.fleet.serving()
    assert serving
    for vm in serving:
        vm.heard_by_zone = False


@when("another VM takes the lead")
def when_other_leads(context: Any) -> None:
    context.fleet.relays = ZoneRelays()


@then(
    "in the last {seconds:d} s the leader has answered at most {most:d}"
    " questions a second"
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
        if not vm.up:
            continue
        times = [*vm.informed, fleet.now]
        longest = max(b - a for a, b in zip(times, times[1:]))
        assert longest <= REQUEST_INTERVAL + REQUEST_TIMEOUT + 2 * STEP, (
            vm.asker,
            longest,
        )


@then("a relay was waited for in vain at most {most:d} times by each VM")
def then_not_waited(context: Any, most: int) -> None:
    waited = Counter(vm.waited for vm in context.fleet.vms)
    assert max(waited) <= most, waited


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


@then("a relay that tells no age is found in {count:d} explored changes")
def then_found_ageless(context: Any, count: int) -> None:
    seen = session_worlds.explore_changes(count, relays=True, ages=False)
    assert seen.wrong
