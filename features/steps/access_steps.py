"""Steps for teams and their keys."""

from __future__ import annotations

import asyncio
from collections import Counter
import random
import re
import time
from typing import Any
from unittest import mock
import urllib.request

from behave import given
from behave import then
from behave import when

from bamboospring.blackboard import Target
from bamboospring import logs
from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Unavailable
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.platform.line_protocol import key_digest
from bamboospring.platform.store_objects import read_catalog
from bamboospring.platform_client import WRITTEN_AGAIN
from bamboospring.pool import LeasedConnection
from bamboospring.pool import PoolTiming
from bamboospring.pools import Pools
from bamboospring.sessions.access import access_refusal
from bamboospring.sessions.access import are_keys_confirmed
from bamboospring.sessions.access import identify
from bamboospring.sessions.catalog_encoding import CatalogContent
from bamboospring.sessions.catalog_encoding import decode_catalog
from bamboospring.sessions.catalog_encoding import encode_catalog
from bamboospring.sessions.catalog_keeper import CatalogKeeper
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.node import LINK_TIMING
from bamboospring.sessions.ports import AcknowledgedLocally
from bamboospring.sessions.ports import Begin
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import TextStatement
from bamboospring.sessions.readiness import unready_reason
from bamboospring.sessions.session import Session
from bamboospring.sessions.session_metrics import largest_teams
from bamboospring.sessions.session_opening import judge_opening
from bamboospring.shares import TargetCapacity
from bamboospring.store_version import version_of
from bamboospring.target_link import Opened
from bamboospring.target_link import OpenFailed
from bamboospring.testing.session_callers import SessionCaller
from bamboospring.testing.session_checker import TeamLimits
from bamboospring.testing.session_fleet import FleetTeam
from bamboospring.testing.session_fleet import SessionFleet
from bamboospring.testing.session_platform import StoreFaults
from features.steps.session_estate_steps import SessionFleetRun
from features.steps.session_texts_steps import FakeChannel
from features.steps.session_texts_steps import FakeExecutor
from features.steps.session_texts_steps import FakeReactor
from features.steps.unanswered_steps import FakeClock

KEY_LIFETIME = 5.0
BANK_KEY, SHOP_KEY = "bank-key-1", "shop-key-1"


def config(version: int = 1, **keys: list[str]) -> dict[str, Any]:
    """Return a configuration in which teams have these keys."""

    def route(name: str, anonymous: bool) -> dict[str, Any]:
        return {
            "name": f"r-{name}",
            "database": name,
            "kind": "primary",
            "service": "g",
            "timeoutMs": 1000,
            "targetLatencyMs": 200,
            "allowAnonymous": anonymous,
        }

    return {
        "version": version,
        "routes": [route("d", False), route("open", True)],
        "services": [{"name": "g", "maxConnections": 20}],
        "tenants": [
            {"name": name, "apiKeys": own, "ratePerS": 50, "burstSize": 50}
            for name, own in keys.items()
        ],
    }


def stored(version: int, value: Any) -> Found:
    return Found(kind="config", name="main", version=version, value=value)


def catalog_of(**keys: list[str]) -> Catalog:
    catalog = read_catalog(stored(1, config(**keys)))
    assert catalog is not None
    return catalog


def digest(key: str) -> str:
    return key_digest(key.encode())


def checked_access(
    board: SessionBoard, database: str, key: str, at: float
) -> Any:
    assert board.catalog is not None
    route = board.catalog.routes[database]
    identity = identify(board.catalog, digest(key))
    return identity, access_refusal(board, route, identity, at)


def make_board(**keys: list[str]) -> SessionBoard:
    board = SessionBoard(
        vm="v", availability_zone="z", key_lifetime=KEY_LIFETIME
    )
    board.catalog = catalog_of(**keys)
    board.catalog_confirmed_at = 100.0
    return board


# Keys.


@given("a configuration with the teams bank and shop")
def given_two_teams(context: Any) -> None:
    context.board = make_board(bank=[BANK_KEY], shop=[SHOP_KEY])


@then("the key of bank opens sessions of bank")
def then_bank(context: Any) -> None:
    identity, refusal = checked_access(context.board, "d", BANK_KEY, 100.0)
    assert refusal is None and identity.team == "bank"


@then("an unknown key is refused as unknown_key")
def then_unknown(context: Any) -> None:
    _identity, refusal = checked_access(context.board, "d", "nobody", 100.0)
    assert isinstance(refusal, NotRun), refusal
    assert refusal.reason.value == "unknown_key"


@then("any credential opens a route that needs no key")
def then_any_credential(context: Any) -> None:
    identity, refusal = checked_access(context.board, "open", "u3f1", 100.0)
    assert refusal is None and identity.team == ""


@then("the key of shop opens sessions of shop on that route")
def then_shop_open(context: Any) -> None:
    identity, refusal = checked_access(context.board, "open", SHOP_KEY, 100.0)
    assert refusal is None and identity.team == "shop"


@given("a configuration in which two teams share a key")
def given_shared(context: Any) -> None:
    lines: list[dict[str, Any]] = []

    def keep(event: str, **fields: Any) -> None:
        lines.append({"event": event, **fields})

    with mock.patch.object(logs, "log_event", keep):
        context.board = make_board(bank=[BANK_KEY], shop=[BANK_KEY, SHOP_KEY])
    context.lines = lines


@then("that key is refused as unknown_key")
def then_shared_refused(context: Any) -> None:
    _identity, refusal = checked_access(context.board, "d", BANK_KEY, 100.0)
    assert refusal.reason.value == "unknown_key"
    _identity, refusal = checked_access(context.board, "d", SHOP_KEY, 100.0)
    assert refusal is None


@then("a log line names both teams and no key")
def then_logged(context: Any) -> None:
    assert [line["teams"] for line in context.lines] == ["bank,shop"]
    assert BANK_KEY not in str(context.lines)


# A session.


@given("an open session of bank")
def given_session(context: Any) -> None:
    context.board = make_board(bank=[BANK_KEY], shop=[SHOP_KEY])
    context.reactor = FakeReactor()
    context.executor = FakeExecutor()
    context.channel = FakeChannel()
    context.session = Session(
        caller="bank/1",
        identity=identify(context.board.catalog, digest(BANK_KEY)),
        database="d",
        reactor=context.reactor,
        board=context.board,
        executor=context.executor,
        channel=context.channel,
    )
    context.session.submit("1", TextStatement(writes=False, text="READ a"))
    assert len(context.executor.jobs) == 1


@when("its key is given to shop")
def when_reassigned(context: Any) -> None:
    context.board.catalog = catalog_of(bank=[], shop=[SHOP_KEY, BANK_KEY])


@when("it has begun a transaction and its key is removed")
def when_removed(context: Any) -> None:
    context.session.submit("2", Begin(read_only=False))
    assert isinstance(context.channel.answers[-1].outcome, AcknowledgedLocally)
    context.session.submit("3", TextStatement(writes=True, text="WRITE a 1"))
    context.board.catalog = catalog_of(bank=[], shop=[SHOP_KEY])


@when("nothing is confirmed for {seconds:g} seconds")
def when_unconfirmed(context: Any, seconds: float) -> None:
    context.reactor.move(seconds)


@then("its next statement is refused as {reason}")
def then_refused(context: Any, reason: str) -> None:
    before = len(context.executor.jobs)
    context.session.submit("9", TextStatement(writes=False, text="READ b"))
    outcome = context.channel.answers[-1].outcome
    assert outcome.reason.value == reason, outcome
    assert len(context.executor.jobs) == before


@then("the transaction has failed and its connection is released")
def then_given_back(context: Any) -> None:
    assert context.session.state is SessionState.FAILED
    assert context.executor.released_count == 1


@then("a new session is refused as key_unconfirmed")
def then_new_refused(context: Any) -> None:
    refusal = judge_opening(
        context.board,
        "d",
        digest(BANK_KEY),
        now=context.reactor.now(),
        running=50.0,
        held=0.0,
    )
    assert isinstance(refusal, Overloaded), refusal
    assert refusal.reason.value == "key_unconfirmed"
    assert refusal.retry_after_ms > 0


@then("callers are sent to other VMs long before that")
def then_sent_elsewhere(context: Any) -> None:
    board = context.board
    assert unready_reason(board, 100.0 + 0.5 * KEY_LIFETIME) == ""
    assert unready_reason(board, 100.0 + 0.7 * KEY_LIFETIME) != ""


# Confirmation.


class ScriptedPlatform:
    """A platform client whose calls the test answers."""

    def __init__(self) -> None:
        self.calls: list[Any] = []
        self.era = 0
        self.restored_at: float | None = None

    def may_be_incomplete(self, asked_at: float) -> bool:
        restored_at = self.restored_at
        incomplete_until = -1e9 if restored_at is None else restored_at
        return asked_at < incomplete_until + WRITTEN_AGAIN

    def record_era(self, era: int, now: float) -> None:
        """Record the era of an answer, as the client does."""
        if era > self.era:
            self.era, self.restored_at = era, now

    def list(self, kind: str, purpose: str, on_result: Any) -> None:
        self.calls.append(on_result)

    def watch(
        self, kind: str, after: int, wait_ms: int, purpose: str, on: Any
    ) -> None:
        self.calls.append(on)


class KeyVm:
    """A VM that gets the configuration from the store or another VM."""

    def __init__(self, clock: FakeClock) -> None:
        self.clock = clock
        self.board = SessionBoard(
            vm="v", availability_zone="z", key_lifetime=KEY_LIFETIME
        )
        self.platform = ScriptedPlatform()
        untyped_clock: Any = clock
        store: Any = self.platform
        self.keeper = CatalogKeeper(
            reactor=untyped_clock,
            board=self.board,
            platform=store,
            kind="config",
            name="main",
            decode_catalog=read_catalog,
            on_changed=lambda: None,
        )

    def serves(self, key: str, sent_at: float) -> bool:
        if self.board.catalog is None:
            return False
        return checked_access(self.board, "d", key, sent_at)[1] is None

    def passed_on(self) -> CatalogContent:
        """Return this VM's configuration as another VM receives it."""
        assert self.board.catalog is not None
        encoded = encode_catalog(
            self.board.catalog, stored_version=self.keeper.stored_version
        )
        content = decode_catalog(encoded.data)
        assert content is not None
        return content


class KeySimulation:
    """A store, VMs that ask it or each other, and calls in transit.

    With `restores`, the store is restored once from a copy made before the key
    was removed, and the operator removes it again within two seconds.
    """

    def __init__(self, seed: int, *, restores: bool = False) -> None:
        self.restores = restores
        self.era = 0
        self.rng = random.Random(seed)
        self.clock = FakeClock()
        self.clock.time = 100.0
        self.version = 1
        self.value = config(bank=[BANK_KEY])
        self.removed_at = float("inf")
        self.vms = [KeyVm(self.clock) for _ in range(4)]
        for vm in self.vms:
            vm.keeper.start()

    def step(self) -> None:
        draw = self.rng.random()
        wait = self.rng.choice([0.001, 0.05, 0.3, 1.0])
        self.clock.run_until(self.clock.now() + wait)
        if draw < 0.02 and self.removed_at == float("inf"):
            self._remove()
        elif draw < 0.1 and self.restores and self.version > 1:
            self._restore_store()
        elif draw < 0.5:
            self._answer(self.rng.choice(self.vms))
        else:
            asker, other = self.rng.sample(self.vms, 2)
            self._relay(asker, other)

    def _remove(self) -> None:
        self.version += 1
        self.value = config(version=self.version, bank=[])
        self.removed_at = self.clock.now()

    def _restore_store(self) -> None:
        self.restores = False
        newest, self.value = self.value, config(bank=[BANK_KEY])
        self.era, self.version = 1, 1

        def write_again() -> None:
            self.version, self.value = 2, newest

        self.clock.call_later(self.rng.uniform(0.0, 2.0), write_again)

    def _answer(self, vm: KeyVm) -> None:
        """Answer a call with the store's present contents, after a delay."""
        if not vm.platform.calls:
            return
        on_result = vm.platform.calls.pop(0)
        era = self.era
        version = version_of(era=era, revision=self.version)
        held = (stored(version, self.value),)
        result = Changes(objects=held, revision=version)
        delay = self.rng.choice([0.001, 0.5, 3.0])

        def answered() -> None:
            vm.platform.record_era(era, self.clock.now())
            on_result(result)

        self.clock.call_later(delay, answered)

    def _relay(self, asker: KeyVm, other: KeyVm) -> None:
        """Let one VM ask another, with a delay in both directions."""
        asked_at = self.clock.now()

        def answer() -> None:
            now = self.clock.now()
            age = now - other.board.catalog_confirmed_at
            known = other.keeper.version
            delay = self.rng.choice([0.001, 0.2, 2.0])
            if known:
                self.clock.call_later(delay, lambda: take(known, age))

        def take(known: int, age: float) -> None:
            if self.rng.random() < 0.5:
                asker.keeper.apply_content(other.passed_on())
                known = other.keeper.version
            asker.keeper.apply_relayed(
                known, 0.0, asked_at - age, self.clock.now() + 0.5
            )

        self.clock.call_later(self.rng.choice([0.001, 0.2, 2.0]), answer)

    def fault(self) -> str:
        late = self.clock.now() - self.removed_at
        if late <= KEY_LIFETIME:
            return ""
        if any(vm.serves(BANK_KEY, self.clock.now()) for vm in self.vms):
            return f"served {late:.2f} s after its removal"
        return ""


def explore_keys(seed: int, *, restores: bool = False) -> str:
    simulation = KeySimulation(seed, restores=restores)
    for _ in range(250):
        simulation.step()
        if simulation.fault():
            return f"seed {seed}: {simulation.fault()}"
    return ""


@then("no explored run with relays accepts a removed key too late")
def then_no_late_key(context: Any) -> None:
    faults = [fault for seed in range(300) if (fault := explore_keys(seed))]
    assert not faults, faults[:3]


@then("no explored return of the store lets a key run too late")
def then_no_return(context: Any) -> None:
    found = [explore_keys(seed, restores=True) for seed in range(400)]
    assert not any(found), [each for each in found if each][:3]


@then("the exploration finds it when ages count from the answer")
def then_ages_found(context: Any) -> None:
    confirm = CatalogKeeper._confirm

    def late(keeper: CatalogKeeper, instant: float) -> None:
        confirm(keeper, keeper._reactor.now())

    with mock.patch.object(CatalogKeeper, "_confirm", late):
        assert any(explore_keys(seed) for seed in range(300))


@given("a VM that follows the configuration")
def given_follower(context: Any) -> None:
    context.clock = FakeClock()
    context.clock.time = 100.0
    context.vm = KeyVm(context.clock)
    context.vm.keeper.start()
    answer(context, 1, config(bank=[BANK_KEY]))
    assert context.vm.serves(BANK_KEY, 100.0)


def answer(context: Any, version: int, value: Any) -> None:
    on_result = context.vm.platform.calls.pop(0)
    on_result(Changes(objects=(stored(version, value),), revision=version))


@when("a version comes that it can't read")
def when_malformed(context: Any) -> None:
    context.clock.run_until(101.0)
    answer(context, 2, {"version": "two"})


@then("no later answer confirms its keys")
def then_not_confirmed(context: Any) -> None:
    context.clock.run_until(108.0)
    on_result = context.vm.platform.calls.pop(0)
    on_result(Changes(objects=(), revision=2))
    assert not are_keys_confirmed(context.vm.board, 108.0)


@then("a version that it can read does")
def then_readable(context: Any) -> None:
    answer(context, 3, config(version=3, bank=[BANK_KEY]))
    assert context.vm.serves(BANK_KEY, 108.0)


@when("the store fails to return a newer version that another VM has")
def when_passed_on(context: Any) -> None:
    context.calls = len(context.vm.platform.calls)
    other = KeyVm(context.clock)
    other.keeper.start()
    newer = config(version=2, bank=[], shop=[SHOP_KEY])
    other.platform.calls.pop(0)(
        Changes(objects=(stored(2, newer),), revision=2)
    )
    context.clock.run_until(107.0)
    keeper = context.vm.keeper
    keeper.apply_relayed(2, 106.9, 106.8, 107.5)
    refused = Unavailable(maybe_applied=False, retry_after=0.1)
    context.vm.platform.calls.pop()(refused)
    assert keeper.version == 1
    confirmed_at = context.vm.board.catalog_confirmed_at
    assert keeper.apply_content(other.passed_on())
    assert context.vm.board.catalog_confirmed_at == confirmed_at
    assert not context.vm.serves(SHOP_KEY, 107.0)
    keeper.apply_relayed(2, 106.9, 106.8, 107.5)


@then("it gets the data from that VM, in force and confirmed")
def then_in_force(context: Any) -> None:
    assert context.vm.serves(SHOP_KEY, 107.0)
    assert not context.vm.serves(BANK_KEY, 107.0)
    assert len(context.vm.platform.calls) == context.calls


# Connections.


class TeamLink:
    """A connection that records the team it was opened for."""

    def __init__(self, team: str) -> None:
        self.team = team
        self.usable = True

    def close(self) -> None:
        self.usable = False


class TeamDialer:
    """Opens connections after a delay, up to a limit."""

    def __init__(self, clock: FakeClock, connection_limit: int) -> None:
        self.clock, self.connection_limit = clock, connection_limit
        self.links: list[TeamLink] = []

    def open(self, team: str, timeout: float, on_complete: Any) -> None:
        standing = sum(link.usable for link in self.links)
        if standing >= self.connection_limit:
            full = OpenFailed(full=True)
            self.clock.call_later(0.002, lambda: on_complete(full))
            return
        link = TeamLink(team)
        self.links.append(link)
        self.clock.call_later(0.012, lambda: on_complete(Opened(link=link)))

    def check(self, link: Any, timeout: float, on_complete: Any) -> None:
        raise AssertionError("no connection is idle for long enough")

    def end(self, number: int) -> None:
        pass


TARGET = Target(
    name="t", address="h:1", availability_zone="z", site="z", slots=3
)


def make_pools(clock: Any, dialer: Any, connections: int) -> Any:
    pools: Any = Pools(
        reactor=clock,
        make_dialer=lambda target, on_ended: dialer,
        timing=PoolTiming(connections=LINK_TIMING),
        random_float=lambda: 0.5,
    )
    share = TargetCapacity(slots=3, connections=connections)
    pools.pool(TARGET).set_share(share)
    pools.start()
    return pools


def explore_pool(seed: int) -> tuple[int, int]:
    """Simulate a load of many teams; return the numbers served and wrong."""
    rng = random.Random(seed)
    clock = FakeClock()
    dialer = TeamDialer(clock, connection_limit=rng.randint(1, 4))
    pools = make_pools(clock, dialer, rng.randint(1, 4))
    served = wrong = 0

    def ask() -> None:
        team = f"team-{int(rng.expovariate(0.5))}"

        def ready(result: Any) -> None:
            nonlocal served, wrong
            if not isinstance(result, LeasedConnection):
                return
            served += 1
            wrong += result.conn.team != team
            healthy = rng.random() < 0.95
            clock.call_later(
                rng.uniform(0.0, 0.03),
                lambda: pools.release(result, healthy=healthy),
            )

        pools.acquire(TARGET, clock.now() + 1.0, team, ready, team=team)
        clock.call_later(rng.expovariate(80.0), ask)

    ask()
    clock.run_until(6.0)
    return served, wrong


@then("no explored load gives a team another team's connection")
def then_no_load(context: Any) -> None:
    for seed in range(40):
        served, wrong = explore_pool(seed)
        assert wrong == 0, (seed, wrong)
        assert served > 50, (seed, served)


@given("a pool of {count:d} idle connections of bank")
def given_resting(context: Any, count: int) -> None:
    context.clock = FakeClock()
    dialer = TeamDialer(context.clock, connection_limit=20)
    context.pools = make_pools(context.clock, dialer, count)
    context.got: list[Any] = []
    for _ in range(count):
        context.pools.acquire(
            TARGET, 1.0, "b", context.got.append, team="bank"
        )
    context.clock.run_until(0.1)
    for leased in context.got:
        context.pools.release(leased, healthy=True)


@when("shop asks for a connection")
def when_shop_asks(context: Any) -> None:
    context.got.clear()
    context.pools.acquire(TARGET, 1.0, "s", context.got.append, team="shop")


@then("it gets one within {seconds:g} s")
def then_gets_one(context: Any, seconds: float) -> None:
    context.clock.run_until(context.clock.now() + seconds)
    assert [leased.conn.team for leased in context.got] == ["shop"]


# An estate of real VMs.


class KeyFleetRun(SessionFleetRun):
    """An estate whose callers use keys."""

    def make_fleet(self, vms: int) -> None:
        limits = TeamLimits(rate=30, burst=30)
        self.fleet = SessionFleet(
            vms=vms,
            groups=2,
            seed=3,
            teams={
                "bank": FleetTeam(keys=["bank-key-kept", "bank-key-gone"]),
                "shop": FleetTeam(keys=["shop-key-kept"]),
                "flood": FleetTeam(keys=["flood-key-kept"], limits=limits),
            },
            key_life_ms=2000,
        )
        self.flood_callers = 0
        self.served_at: dict[str, list[float]] = {}

    def work(self, callers: int, seconds: float) -> None:
        self.call(self._work(callers, seconds), seconds + 60)

    async def _work(self, callers: int, seconds: float) -> None:
        fleet = self.fleet
        self.began = time.monotonic()
        until = self.began + seconds
        workers = [
            SessionCaller(
                number=number,
                routes=fleet.routes(),
                addresses=fleet.addresses,
                judge=fleet.checker,
                seed=11,
                pause=0.0 if number >= callers else 0.02,
                keys=fleet.caller_keys(
                    *(["flood"] if number >= callers else ["bank", "shop"])
                ),
            )
            for number in range(callers + self.flood_callers)
        ]
        work = [asyncio.create_task(w.run(until)) for w in workers]
        acts = [asyncio.create_task(act()) for act in self.acts]
        await asyncio.gather(*work, *acts)


@given("an estate with keys and {vms:d} VMs")
def given_key_estate(context: Any, vms: int) -> None:
    context.stage = KeyFleetRun(vms, 2)
    context.stage.make_fleet(vms)
    context.add_cleanup(context.stage.close)
    context.stage.call(context.stage.fleet.start())


@when(
    "the store does not answer and a key is removed after {seconds:d} second"
)
def when_silent(context: Any, seconds: int) -> None:
    fleet = context.stage.fleet

    async def act() -> None:
        await asyncio.sleep(seconds)
        fleet.store.faults = StoreFaults(outage="silent")
        fleet.remove_key("bank-key-gone")
        await asyncio.sleep(4.0)
        fleet.store.faults = StoreFaults()

    context.stage.acts.append(act)


@when("the team flood sends without a pause")
def when_flood(context: Any) -> None:
    context.stage.flood_callers = 12


@when("{callers:d} callers of all teams work for {seconds:d} seconds")
def when_work(context: Any, callers: int, seconds: int) -> None:
    context.stage.work(callers, seconds)


@then("no check has failed")
def then_no_fault(context: Any) -> None:
    judge = context.stage.fleet.checker
    limits = {
        name: team.limits
        for name, team in context.stage.fleet.teams.items()
        if team.limits is not None
    }
    context.max_operations = judge.check_team_limits(limits)
    assert not judge.violations, judge.violations[:5]
    assert judge.counts["ran"] > 50


@then("no log line and no metric shows a key")
def then_no_key(context: Any) -> None:
    fleet = context.stage.fleet
    for vm in fleet.vms.values():
        address = vm.settings.read_text()
        metrics = re.search(r'"operators": "([^"]+)"', address)
        assert metrics is not None
        url = f"http://{metrics.group(1)}/metrics"
        with urllib.request.urlopen(url, timeout=5) as page:
            text = context.metrics = page.read().decode()
        text += fleet.read_log(vm.name)
        assert "answered" in text
        for key in fleet.caller_keys():
            assert key.key not in text, vm.name


@then("logs show the team of each statement")
def then_team_logged(context: Any) -> None:
    fleet = context.stage.fleet
    text = "".join(fleet.read_log(vm) for vm in fleet.vms)
    lines = [line for line in text.splitlines() if "event=answered" in line]
    assert lines and all(re.search(r" team=\w", line) for line in lines)


@then("the other key was served before and after")
def then_other_served(context: Any) -> None:
    stage = context.stage
    ran = [
        asked.sent_at - stage.began
        for asked in stage.fleet.checker.sent_statements.values()
        if asked.key == "bank-key-kept" and asked.executed_at is not None
    ]
    assert any(at < 1.0 for at in ran)
    assert any(at > 6.5 for at in ran)


@then("the team flood ran at least {share:g} of its limit")
def then_flood(context: Any, share: float) -> None:
    assert (
        context.max_operations["flood"] >= share * 30 * 5
    ), context.max_operations


@when("all VMs know which VMs count")
def when_settled(context: Any) -> None:
    fleet = context.stage.fleet
    until = time.monotonic() + 15
    while time.monotonic() < until:
        logged = [fleet.read_log(vm) for vm in fleet.vms]
        if all("event=quota_holders " in text for text in logged):
            return
        time.sleep(0.1)
    raise AssertionError("no VM counts")


@then("metrics show the outcomes of statements of bank and shop")
def then_team_metrics(context: Any) -> None:
    for team in ("bank", "shop"):
        assert f'team="{team}"' in context.metrics, context.metrics[-800:]


@then("of {count:d} teams {max_named:d} are shown by name and nothing is lost")
def then_largest(context: Any, count: int, max_named: int) -> None:
    teams = {
        f"team-{number}": Counter(served=number + 1, limited=1)
        for number in range(count)
    }
    shown = largest_teams(teams)
    assert len(shown) == max_named + 1
    assert f"team-{count - 1}" in shown and "team-0" not in shown
    before = sum(counts.total() for counts in teams.values())
    assert sum(counts.total() for counts in shown.values()) == before
