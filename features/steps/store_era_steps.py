"""Steps for the client of a store that changes its era."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
import json
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when

from bamboospring.http_client import HttpResponse
from bamboospring.object_store import Changes
from bamboospring.object_store import Conflict
from bamboospring.object_store import HistoryLost
from bamboospring.object_store import Unavailable
from bamboospring.platform.store_dialect import StoreDialect
from bamboospring import platform_client
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_watch import KindWatch
from bamboospring.store_version import version_of

KIND = "groups"
NAME = "group0"


class SimReactor:
    """Runs due callbacks when its clock is advanced."""

    def __init__(self) -> None:
        self.time = 0.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def now(self) -> float:
        return self.time

    def call_later(self, delay: float, callback: Callable[[], None]) -> None:
        when = self.time + delay
        heapq.heappush(self._due, (when, next(self._order), callback))

    def run(self, seconds: float) -> None:
        end = self.time + seconds
        while self._due and self._due[0][0] <= end:
            self.time, _, callback = heapq.heappop(self._due)
            callback()
        self.time = end


class SimStore:
    """Answers calls at once with the replies that the scenario sets."""

    def __init__(self, era: int) -> None:
        self.era = era
        self.calls: list[str] = []
        self.replies: list[tuple[int, Any]] = []
        self.reactor = SimReactor()
        with mock.patch.object(platform_client, "HttpClient", self._client):
            self.platform = PlatformClient(
                reactor=self.reactor,  # type: ignore[arg-type]
                address="store",
                dialect=StoreDialect(),
            )

    def _client(self, **_kwargs: Any) -> SimStore:
        return self

    def request(
        self,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        on_answer: Callable[[HttpResponse], None],
        headers: str = "",
    ) -> None:
        self.calls.append(f"{method} {path}")
        status, reply = self.replies.pop(0)
        on_answer(
            HttpResponse(
                status=status,
                body=json.dumps(reply).encode(),
                captured_header=str(self.era),
            )
        )


def shown(name: str, revision: int, value: Any) -> dict[str, Any]:
    """Return an object as the store encodes it."""
    return {"meta": {"name": name, "revision": revision}, "spec": value}


def page(*items: Any, more: bool = False) -> dict[str, Any]:
    """Return one page of a list."""
    return {"items": list(items), "hasMore": more, "currentRev": 9}


def read_once(store: SimStore) -> None:
    """Make one call, from which the client learns the era."""
    store.replies.append((200, page()))
    with_client(store, lambda: store.platform.list(KIND, "x", lambda _: None))


def with_client(store: SimStore, act: Callable[[], None]) -> None:
    """Make calls with the store in place of the HTTP client."""
    with mock.patch.object(platform_client, "HttpClient", store._client):
        act()
        store.reactor.run(0.01)


@given("a store whose answers are of era {era:d}")
def given_era(context: Any, era: int) -> None:
    context.store = SimStore(era)
    context.results = []
    read_once(context.store)
    context.store.calls.clear()


@when("a VM updates an object that it has read in era 1")
def when_updated(context: Any) -> None:
    store = context.store
    store.replies.append((200, shown(NAME, 7, "theirs")))
    put(context, store)


def put(context: Any, store: SimStore) -> None:
    version = version_of(era=1, revision=7)
    with_client(
        store,
        lambda: store.platform.put(
            KIND, NAME, version, "ours", "x", context.results.append
        ),
    )


@then("the object is read instead, and returned as a conflict")
def then_conflict(context: Any) -> None:
    assert context.store.calls == [f"GET /api/objects/{KIND}/{NAME}"]
    version = version_of(era=2, revision=7)
    assert context.results == [Conflict(version=version, value="theirs")]


@when("it is restored in era 2 while an update is in flight")
def when_on_way(context: Any) -> None:
    store = context.store
    store.era = 2
    store.replies.append((200, shown(NAME, 8, "ours")))
    put(context, store)


@then("the outcome of the update is unknown")
def then_unsure(context: Any) -> None:
    (result,) = context.results
    assert isinstance(result, Unavailable) and result.maybe_applied, result


def watch(context: Any) -> None:
    store = context.store
    after = version_of(era=1, revision=9)
    with_client(
        store,
        lambda: store.platform.watch(
            KIND, after, 100, "x", context.results.append
        ),
    )


@when("it is restored in era 2 while a watch waits")
def when_watching(context: Any) -> None:
    store = context.store
    store.era = 2
    store.replies.append((200, {"events": [], "currentRev": 12}))
    watch(context)


@then("the watch has lost its history")
def then_lost(context: Any) -> None:
    assert context.results == [HistoryLost()], context.results


@then("the next one from there is not sent")
def then_not_sent(context: Any) -> None:
    before = list(context.store.calls)
    watch(context)
    assert context.results == [HistoryLost(), HistoryLost()]
    assert context.store.calls == before


@when("it is restored in era 2 between two pages of a list")
def when_between(context: Any) -> None:
    store = context.store
    first = page(shown("a", 1, 1), more=True)
    store.replies += [(200, first), (200, page(shown("b", 2, 2)))]
    taken = store.request

    def request(*args: Any) -> None:
        store.era = 1 + len(store.calls)
        taken(*args)

    store.request = request
    with_client(
        store,
        lambda: store.platform.list(KIND, "x", context.results.append),
    )


@then("the list call fails")
def then_no_list(context: Any) -> None:
    (result,) = context.results
    assert isinstance(result, Unavailable), result


class NoHistory:
    """A platform that answers lists but has no history for any watch."""

    def __init__(self, reactor: SimReactor) -> None:
        self.reactor = reactor
        self.lists = 0

    def list(self, kind: str, purpose: str, on_result: Any) -> None:
        self.lists += 1
        self.reactor.call_later(
            0.004, lambda: on_result(Changes(objects=(), revision=5))
        )

    def watch(
        self, kind: str, after: int, wait: int, purpose: str, on_result: Any
    ) -> None:
        self.reactor.call_later(0.004, lambda: on_result(HistoryLost()))


@given("a store that has no history for any watch")
def given_no_history(context: Any) -> None:
    context.reactor = SimReactor()
    context.platform = NoHistory(context.reactor)


@when("a kind is watched for {seconds:d} s")
def when_watched(context: Any, seconds: int) -> None:
    KindWatch(
        reactor=context.reactor,
        platform=context.platform,
        kind=KIND,
        wait_ms=100,
        on_objects=lambda objects: None,
    ).set_watching(True)
    context.reactor.run(seconds)


@then("at most {most:d} lists were requested")
def then_few_lists(context: Any, most: int) -> None:
    assert 1 <= context.platform.lists <= most, context.platform.lists
