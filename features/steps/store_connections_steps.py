"""Steps for connections to the store that go silent for good."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from bamboospring import logs
from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Unavailable
from bamboospring.platform.store_dialect import StoreDialect
from bamboospring.platform.store_objects import read_catalog
from bamboospring.platform_client import CallTiming
from bamboospring.platform_client import PlatformClient
from bamboospring.sessions.catalog_encoding import CatalogContent
from bamboospring.sessions.catalog_keeper import CATALOG_PURPOSE
from bamboospring.sessions.catalog_keeper import CatalogKeeper
from bamboospring.sessions.model import Catalog
from bamboospring.sessions.model import SessionBoard
from features.steps.session_stage import act
from features.steps.session_stage import add_database
from features.steps.session_stage import check_opened
from features.steps.unanswered_steps import FakeClock

KIND = "config"
NAME = "main"
CONNECT_SECONDS = 0.001


class StoreStream:
    """A connection to the store; a silent one loses all data."""

    def __init__(self, store: StoreNetwork) -> None:
        self.closed = False
        self.silent = False
        self.on_data: Callable[[bytes], None] | None = None
        self.on_close: Callable[[], None] | None = None
        self._store = store

    def send(self, _data: bytes) -> None:
        self._store.call_later(self._store.delay, self._answer)

    def abort(self) -> None:
        if not self.closed:
            self.closed = True
            if self.on_close is not None:
                self.on_close()

    def _answer(self) -> None:
        if self.closed or self.silent or self.on_data is None:
            return
        page = {"items": [], "hasMore": False, "currentRev": 5}
        body = json.dumps(page).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.on_data(head.encode() + body)


class StoreNetwork(FakeClock):
    """A reactor whose connections lead to a store with simulated time.

    The store answers each request with an empty list after `delay` seconds.
    """

    def __init__(self, delay: float) -> None:
        super().__init__()
        self.delay = delay
        self.streams: list[StoreStream] = []

    def connect(
        self,
        _address: str,
        _timeout: float,
        on_open: Callable[[StoreStream], None],
    ) -> None:
        stream = StoreStream(self)
        self.streams.append(stream)
        self.call_later(CONNECT_SECONDS, lambda: on_open(stream))

    def silence(self) -> None:
        for stream in self.streams:
            stream.silent = True


@given("a store that answers after {delay:d} ms")
def given_store(context: Any, delay: int) -> None:
    context.network = StoreNetwork(delay / 1000)
    network: Any = context.network
    context.client = PlatformClient(
        reactor=network,
        address="store:1",
        timing=CallTiming(
            timeout=1.0,
            min_timeout=0.25,
            large_purposes=frozenset({CATALOG_PURPOSE}),
        ),
        dialect=StoreDialect(),
    )
    context.lines = []

    def note(name: str, **fields: Any) -> None:
        context.lines.append((name, fields))

    patch = mock.patch.object(logs, "log_event", note)
    patch.start()
    context.add_cleanup(patch.stop)


def read(context: Any) -> None:
    context.results = []
    context.asked_at = context.network.now()

    def note(result: Any) -> None:
        context.results.append(type(result).__name__)
        context.took = context.network.now() - context.asked_at

    context.client.list(KIND, CATALOG_PURPOSE, note)


def advance(context: Any, seconds: float) -> None:
    context.network.run_until(context.network.now() + seconds)


@when("a configuration is read")
def when_read(context: Any) -> None:
    read(context)
    context.network.run_until(0.005)
    assert context.results == ["Changes"]


@when(
    "all connections to it go silent, and it is read again {seconds:g} s later"
)
def when_silent(context: Any, seconds: float) -> None:
    context.network.silence()
    advance(context, seconds)
    read(context)


@then("a timeout on a connection that was idle for {idle:d} ms is logged")
def then_logged(context: Any, idle: int) -> None:
    advance(context, 3)
    assert context.results == ["Unavailable"]
    found = [
        fields
        for name, fields in context.lines
        if name == "platform_call_timeout"
    ]
    assert len(found) == 1, context.lines
    assert found[0]["purpose"] == CATALOG_PURPOSE
    assert found[0]["connection"] == "reused"
    assert found[0]["idle_ms"] == idle, found


@then('one timed out call is counted for the purpose "{purpose}"')
def then_counted(context: Any, purpose: str) -> None:
    assert context.client.counts[purpose].timed_out == 1


def catalog(version: int) -> Catalog:
    return Catalog(
        version=version, routes={}, groups={}, transaction_idle_timeout=3.0
    )


@given("a VM that has version 1 of the configuration")
def given_vm(context: Any) -> None:
    create_keeper(context, context.client)
    context.keeper.on_newer = lambda _version: None


@given("a VM that has version 1 of the configuration and reads the store")
def given_reading_vm(context: Any) -> None:
    context.platform = PendingReads()
    create_keeper(context, context.platform)


class PendingReads:
    """A client of the store whose reads end when the scenario says so."""

    def __init__(self) -> None:
        self.pending: list[Callable[[Any], None]] = []

    def list(
        self, _kind: str, purpose: str, on_result: Callable[[Any], None]
    ) -> None:
        # Not those of the watch, which resumes when nothing is announced.
        if purpose == CATALOG_PURPOSE:
            self.pending.append(on_result)

    def may_be_incomplete(self, _instant: float) -> bool:
        return False

    def fail(self) -> None:
        self.pending.pop()(
            Unavailable(maybe_applied=False, retry_after=0.1, reason="timeout")
        )

    def answer(self, version: int) -> None:
        spec = {"version": version, "routes": [], "services": []}
        found = Found(kind=KIND, name=NAME, version=version, value=spec)
        self.pending.pop()(Changes(objects=(found,), revision=version))


def create_keeper(context: Any, platform: Any) -> None:
    context.keeper = CatalogKeeper(
        reactor=context.network,
        board=SessionBoard(vm="vm-1", availability_zone="zone-a"),
        platform=platform,
        kind=KIND,
        name=NAME,
        decode_catalog=read_catalog,
        on_changed=lambda: None,
    )
    receive(context, 1)


def announce(context: Any, version: int, seconds: float) -> None:
    """Have the leader announce a version, for the next so many seconds."""
    now = context.network.now()
    context.keeper.apply_relayed(version, now, now, now + seconds)


@when("version 2 is announced and the read fails")
def when_read_fails(context: Any) -> None:
    announce(context, 2, 5.0)
    context.platform.fail()


@then("it is read again within {seconds:g} s")
def then_read_again(context: Any, seconds: float) -> None:
    advance(context, seconds)
    assert len(context.platform.pending) == 1


@when("version 2 is read")
def when_version_read(context: Any) -> None:
    context.platform.answer(2)
    assert context.keeper.version == 2


@when(
    "version 3 is announced, the read fails, and no VM announces it any more"
)
def when_not_announced(context: Any) -> None:
    announce(context, 3, 0.05)
    context.platform.fail()


@then("it is not read again within {seconds:g} s")
def then_not_read(context: Any, seconds: float) -> None:
    advance(context, seconds)
    assert not context.platform.pending


def receive(context: Any, version: int) -> None:
    content = CatalogContent(catalog=catalog(version), stored_version=version)
    assert context.keeper.apply_content(content)


@when("version 2 is announced and does not arrive for {seconds:g} s")
def when_announced(context: Any, seconds: float) -> None:
    announce(context, 2, 5.0)
    advance(context, seconds)


@then("the VM reports a pending configuration for {pending:d} ms")
def then_pending(context: Any, pending: int) -> None:
    assert round(context.keeper.pending_seconds * 1000) == pending


@when("version 1 is announced as the newest")
def when_withdrawn(context: Any) -> None:
    announce(context, 1, 5.0)


@when("version 2 arrives from another VM")
def when_arrives(context: Any) -> None:
    receive(context, 2)


@then("the VM reports no pending configuration")
def then_not_pending(context: Any) -> None:
    assert context.keeper.pending_seconds == 0.0


@then(
    'the log has the announcement of version 2 and its way "{source}" after '
    "{pending:d} ms"
)
def then_way(context: Any, source: str, pending: int) -> None:
    lines = [
        (name, fields)
        for name, fields in context.lines
        if fields.get("version") == 2
    ]
    names = [name for name, _fields in lines]
    assert names == ["catalog_announced", "catalog"], lines
    last = lines[-1][1]
    assert (last["source"], last["pending_ms"]) == (source, pending), last


@then("the second read is answered within {limit:d} ms")
def then_answered(context: Any, limit: int) -> None:
    advance(context, 3)
    assert context.results == ["Changes"], context.results
    assert context.took <= limit / 1000, context.took


@when("a configuration is read every {seconds:g} s, {count:d} times")
def when_read_often(context: Any, seconds: float, count: int) -> None:
    for _ in range(count):
        read(context)
        advance(context, seconds)
        assert context.results == ["Changes"]


@then("one connection was opened")
def then_one(context: Any) -> None:
    assert len(context.network.streams) == 1


@when("after {after:d} s the configuration changes")
def when_changed(context: Any, after: int) -> None:
    async def change() -> None:
        context.stage.fleet.write_config()

    act(context, after, change)


@when("after {after:d} s all open connections to the store go silent")
def when_all_silent(context: Any, after: int) -> None:
    async def silence() -> None:
        for name, link in context.stage.fleet.links.items():
            if name.endswith("-store"):
                link.set_mode(mode="silent", direction="both", delay_ms=0)

    act(context, after, silence)


@when("after {after:d} s the store forgets its history")
def when_forgets(context: Any, after: int) -> None:
    async def forget() -> None:
        context.stage.fleet.store.discard_history()

    act(context, after, forget)


def leader_process(stage: Any) -> Any:
    return stage.fleet.vms[stage.fleet.store.get("groups", "lease")["vm"]]


@when("after {after:d} s the leader is killed and started again")
def when_leader_restarts(context: Any, after: int) -> None:
    async def restart() -> None:
        process = leader_process(context.stage).process
        process.kill()
        await asyncio.sleep(1)
        process.start()

    act(context, after, restart)


@when("after {after:d} s the leader is killed and a database is added")
def when_leader_killed(context: Any, after: int) -> None:
    async def kill() -> None:
        leader = leader_process(context.stage)
        leader.process.kill()
        others = [
            vm for vm in context.stage.fleet.vms.values() if vm is not leader
        ]
        await add_database(context.stage, others)

    act(context, after, kill)


@then("every other VM has opened the added database within {seconds:d} s")
def then_others_opened(context: Any, seconds: int) -> None:
    context.stage.play()
    check_opened(context.stage, seconds)
