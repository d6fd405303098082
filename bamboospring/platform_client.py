"""Calls to the platform's object API, paced and with typed results.

Each purpose has one connection and one call in flight, so that a slow
platform is never asked by one VM for the same thing many times over. After a
failure a purpose backs off, with jitter: until then further calls are refused
here at once with `Unavailable`, whose `retry_after` says when the next one
will be sent.

    client.get("group", "ledger-1", "group", on_result)

A purpose may be divided with a slash, as in `lease/7`: the parts then have a
call in flight each and are counted together, as `lease`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
import random
from typing import Any

import orjson

from bamboospring.adaptive_timeout import AdaptiveTimeout
from bamboospring.http_client import HttpAnswer
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpLost
from bamboospring.http_client import TIMED_OUT
from bamboospring import logs
from bamboospring.object_store import Call
from bamboospring.object_store import Changes
from bamboospring.object_store import Conflict
from bamboospring.object_store import Deleted
from bamboospring.object_store import Found
from bamboospring.object_store import HistoryLost
from bamboospring.object_store import Missing
from bamboospring.object_store import ObjectDialect
from bamboospring.object_store import OwnDialect
from bamboospring.object_store import Rejected
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.reactor import Reactor
from bamboospring.store_version import Dated
from bamboospring.store_version import era_of
from bamboospring.store_version import in_era
from bamboospring.store_version import revision_of

__all__ = [
    "Backoff",
    "CallCounts",
    "CallTiming",
    "Changes",
    "Conflict",
    "Deleted",
    "Found",
    "HistoryLost",
    "Missing",
    "PlatformClient",
    "Rejected",
    "Stored",
    "Unavailable",
    "VmsFound",
]

# A list is longer than one object and is asked for seldom.
LIST_FACTOR = 2.5
# A watch is answered at the end of its waiting time at the latest; the rest
# is for the way there and back and a slow platform.
WATCH_MARGIN = 3.0
FIRST_BACKOFF = 0.1
# A steward that finds the platform back late loses its lease for nothing, and
# an operator waits for an edit. There are few calls of both kinds.
MAX_URGENT_BACKOFF = 2.0
URGENT = frozenset({"edit", "lease"})
MAX_WAITING = 32

SERVER_ERRORS = 500
# Within so many seconds of the store's return from an older copy what it has
# lost is written there again by whoever had written it.
WRITTEN_AGAIN = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmsFound:
    """The list of VMs, each as the platform's JSON object.

    `vms` is None if the list was left out as one that we have.
    """

    revision: int
    vms: tuple[dict[str, Any], ...] | None


@dataclass(slots=True, kw_only=True)
class CallCounts:
    """Calls of one purpose since the process started.

    `held` counts calls refused here, which never reached the platform.
    """

    calls: int = 0
    failed: int = 0
    held: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallTiming:
    """Times of calls, in seconds.

    `timeout` bounds a call from when it is sent; the pause after a failed
    call starts at `first_backoff` and doubles up to `longest_backoff`.
    `watch_margin` is how much later than its waiting time a watch may be
    answered before its connection is taken for silent. With `least_timeout`
    other calls are given up sooner where answers come sooner, but never
    before that; infinity: never sooner. Calls for `large` purposes take as
    long as their size and the link demand: they are never given up sooner,
    and tell nothing of the others.
    """

    timeout: float = 2.0
    min_timeout: float = float("inf")
    first_backoff: float = FIRST_BACKOFF
    max_backoff: float = 5.0
    watch_margin: float = WATCH_MARGIN
    large_purposes: frozenset[str] = frozenset()


@dataclass(slots=True, kw_only=True)
class Backoff:
    """When the next call of a purpose may be sent.

    The wait doubles with each failure up to `limit` seconds. Half of it is
    random: VMs that lost the platform at the same instant would otherwise
    come back to it in step.
    """

    limit: float = 5.0
    first: float = FIRST_BACKOFF
    failures: int = 0
    until: float = -1e9

    def failed(self, now: float, chance: float) -> float:
        """Count a failure and return the seconds to wait.

        `chance` is a random number of 0 to 1.
        """
        # Bounded, because a long outage must not overflow the power.
        doublings = min(self.failures, 16)
        wait = min(self.limit, self.first * 2.0**doublings)
        wait *= 0.5 + chance / 2
        self.failures += 1
        self.until = now + wait
        return wait

    def succeeded(self) -> None:
        """Forget all failures."""
        self.failures = 0
        self.until = -1e9


OnAnswer = Callable[[HttpAnswer | Unavailable], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Waiting:
    """A call that is not sent yet: how to send it, or to refuse it."""

    send: Callable[[], None]
    refuse: Callable[[Unavailable], None]


@dataclass(slots=True, kw_only=True)
class _Lane:
    """The connection of one purpose, how it fares and what waits for it.

    Calls wait here and not in the HTTP client, where a slow call would use
    up the time of those behind it.
    """

    client: HttpClient
    backoff: Backoff
    busy: bool = False
    waiting: deque[_Waiting] = field(default_factory=deque)


class PlatformClient:
    """Calls to the platform; every result comes by `on_result`, once."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        timing: CallTiming = CallTiming(),
        chance: Callable[[], float] = random.random,
        dialect: ObjectDialect = OwnDialect(),
    ) -> None:
        self.counts: dict[str, CallCounts] = {}
        self._dialect = dialect
        self._reactor = reactor
        self._address = address
        self._timing = timing
        self._chance = chance
        self._lanes: dict[str, _Lane] = {}
        self._times = AdaptiveTimeout(min_timeout=timing.min_timeout)
        # The store's newest era: it rises when the store has come back from
        # an older copy. `on_return` is called then. It was back at
        # `returned_at` at the latest; None: as far as is known it never was
        # away.
        self.era = 0
        self.restored_at: float | None = None
        self.on_restored: list[Callable[[], None]] = []
        self._answered = False

    def get(
        self,
        kind: str,
        name: str,
        purpose: str,
        on_result: Callable[[Found | Missing | Unavailable], None],
        *,
        timeout: float | None = None,
    ) -> None:
        """Read one object."""

        def answered(answer: HttpAnswer | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpAnswer(status=HTTPStatus.NOT_FOUND):
                    on_result(Missing(kind=kind, name=name))
                case HttpAnswer():
                    on_result(self._read(answer, self._dialect.found))

        call = self._dialect.get(kind, name)
        self._call(call, purpose, timeout, answered)

    def put(
        self,
        kind: str,
        name: str,
        if_version: int,
        value: Any,
        purpose: str,
        on_result: Callable[
            [Stored | Conflict | Rejected | Unavailable], None
        ],
        *,
        timeout: float | None = None,
    ) -> None:
        """Store a value if the object is at `if_version` (0: create).

        After `Unavailable(maybe_applied=True)` only reading the object back
        tells what became of the update.
        """

        def answered(answer: HttpAnswer | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpAnswer(status=HTTPStatus.OK | HTTPStatus.CREATED):
                    if if_version and self._era_of(answer) != era_of(
                        if_version
                    ):
                        on_result(_of_another_era(maybe_applied=True))
                        return
                    on_result(self._read(answer, dialect.stored))
                case HttpAnswer(
                    status=HTTPStatus.NOT_FOUND | HTTPStatus.CONFLICT
                ):
                    on_result(self._read_conflict(answer))
                case HttpAnswer():
                    on_result(Rejected(status=answer.status))

        if if_version and era_of(if_version) < self.era:
            self._conflict_of(kind, name, purpose, on_result, timeout)
            return
        dialect = self._dialect
        call = dialect.put(kind, name, revision_of(if_version), value)
        self._call(call, purpose, timeout, answered)

    def _conflict_of(
        self,
        kind: str,
        name: str,
        purpose: str,
        on_result: Callable[[Conflict | Unavailable], None],
        timeout: float | None,
    ) -> None:
        """Read the object whose update is conditional on an earlier era.

        The store may have given the same revision out again, and would take
        the update for one of what it has there now.
        """

        def answered(result: Found | Missing | Unavailable) -> None:
            match result:
                case Found(version=version, value=value):
                    on_result(Conflict(version=version, value=value))
                case Missing():
                    on_result(Conflict(version=0, value=None))
                case Unavailable():
                    on_result(result)

        self.get(kind, name, purpose, answered, timeout=timeout)

    def delete(
        self,
        kind: str,
        name: str,
        if_version: int,
        purpose: str,
        on_result: Callable[[Deleted | Conflict | Unavailable], None],
    ) -> None:
        """Remove an object if it is at `if_version`."""

        def answered(answer: HttpAnswer | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpAnswer(status=HTTPStatus.CONFLICT):
                    on_result(self._read_conflict(answer))
                case HttpAnswer():
                    on_result(Deleted())

        if if_version and era_of(if_version) < self.era:
            self._conflict_of(kind, name, purpose, on_result, None)
            return
        call = self._dialect.delete(kind, name, revision_of(if_version))
        self._call(call, purpose, None, answered)

    def list(
        self,
        kind: str,
        purpose: str,
        on_result: Callable[[Changes | Unavailable], None],
        *,
        timeout: float | None = None,
    ) -> None:
        """Read all objects of a kind, however many pages they fill.

        The result is of the revision of the first page: a watch from there
        brings again what changed while the others were read. Pages of two eras
        make no list.
        """
        timeout = timeout or LIST_FACTOR * self._timing.timeout
        objects: list[Found] = []
        revision = 0

        def answered(answer: HttpAnswer | Unavailable) -> None:
            nonlocal revision
            if isinstance(answer, Unavailable):
                on_result(answer)
                return
            page = self._read(answer, lambda body: dialect.page(kind, body))
            if isinstance(page, Unavailable):
                on_result(page)
                return
            if revision and era_of(page.changes.revision) != era_of(revision):
                on_result(_of_another_era(maybe_applied=False))
                return
            objects.extend(page.changes.objects)
            revision = revision or page.changes.revision
            if page.after:
                ask(page.after)
                return
            on_result(Changes(objects=tuple(objects), revision=revision))

        def ask(after: str) -> None:
            self._call(dialect.list(kind, after), purpose, timeout, answered)

        dialect = self._dialect
        ask("")

    def watch(
        self,
        kind: str,
        after: int,
        wait_ms: int,
        purpose: str,
        on_result: Callable[[Changes | HistoryLost | Unavailable], None],
    ) -> None:
        """Wait for objects that changed after a revision.

        The call waits on a connection of its own, so that it holds up no
        other call of its purpose.
        """

        def answered(answer: HttpAnswer | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpAnswer(status=HTTPStatus.GONE):
                    on_result(HistoryLost())
                case HttpAnswer() if self._era_of(answer) != era_of(after):
                    on_result(HistoryLost())
                case HttpAnswer():
                    on_result(self._read(answer, read))

        def read(body: bytes) -> Changes:
            return self._dialect.events(kind, body)

        if era_of(after) < self.era:
            self._reactor.call_later(0, lambda: on_result(HistoryLost()))
            return
        timeout = wait_ms / 1000 + self._timing.watch_margin
        lane = f"{purpose}/watch/{kind}"
        call = self._dialect.watch(kind, revision_of(after), wait_ms)
        self._call(call, lane, timeout, answered, waits=True)

    def vms(
        self,
        on_result: Callable[[VmsFound | Unavailable], None],
        *,
        purpose: str = "vms",
        after: int = 0,
        timeout: float | None = None,
    ) -> None:
        """Read the list of VMs if it is newer than revision `after`."""

        def answered(answer: HttpAnswer | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpAnswer():
                    body = orjson.loads(answer.body)
                    vms = tuple(body["vms"]) if "vms" in body else None
                    on_result(VmsFound(revision=body["revision"], vms=vms))

        path = f"/vms?after={after}" if after else "/vms"
        call = Call(method="GET", path=path)
        self._call(call, purpose, timeout, answered)

    def may_be_incomplete(self, asked_at: float) -> bool:
        """Tell whether an answer may lack what the store had acknowledged.

        `asked_at` is when the question was sent.
        """
        returned_at = self.restored_at
        return returned_at is not None and asked_at < (
            returned_at + WRITTEN_AGAIN
        )

    def close(self) -> None:
        """Close all connections; calls under way end as unavailable."""
        for lane in self._lanes.values():
            lane.client.close()

    def _read_conflict(self, answer: HttpAnswer) -> Conflict | Unavailable:
        return self._read(
            answer, lambda body: self._dialect.conflict(answer.status, body)
        )

    def _read(
        self, answer: HttpAnswer, read: Callable[[bytes], Dated]
    ) -> Dated | Unavailable:
        """Read a body; one that can't be read tells nothing."""
        try:
            return in_era(read(answer.body), self._era_of(answer))
        except (ValueError, KeyError, TypeError) as exc:
            logs.log_event(
                "platform_answer_unreadable",
                level=logs.Level.WARNING,
                reason=f"{type(exc).__name__}: {exc}",
            )
            return Unavailable(
                maybe_applied=True,
                retry_after=self._timing.first_backoff,
                reason="unreadable",
            )

    def _call(
        self,
        call: Call,
        purpose: str,
        timeout: float | None,
        on_answer: OnAnswer,
        *,
        waits: bool = False,
    ) -> None:
        """Send a call when its lane is free; `waits` if the platform may."""
        most = timeout or self._timing.timeout
        sent_at = 0.0
        unhurried = (
            waits or _counted_as(purpose) in self._timing.large_purposes
        )
        lane = self._lane(purpose)
        counts = self._counts(purpose)

        def refuse(refusal: Unavailable) -> None:
            counts.held += 1
            # Answered in a later turn, like every other call.
            self._reactor.call_later(0, lambda: on_answer(refusal))

        def answered(answer: HttpAnswer | HttpLost) -> None:
            lane.busy = False
            if isinstance(answer, HttpAnswer):
                self._note_era(answer)
            if not unhurried:
                self._note_time(answer, self._reactor.now() - sent_at)
            judged = self._judge(lane, counts, call.method, answer)
            self._send_next(lane)
            on_answer(judged)

        def send() -> None:
            nonlocal sent_at
            sent_at = self._reactor.now()
            limit = most if unhurried else self._times.timeout(most)
            counts.calls += 1
            header = self._dialect.header(_counted_as(purpose))
            lane.client.request(
                call.method, call.path, call.body, limit, answered, header
            )

        if len(lane.waiting) >= MAX_WAITING:
            refuse(_held(FIRST_BACKOFF))
            return
        lane.waiting.append(_Waiting(send=send, refuse=refuse))
        self._send_next(lane)

    def _note_era(self, answer: HttpAnswer) -> None:
        era, first = self._era_of(answer), not self._answered
        self._answered = True
        if era <= self.era:
            return
        logs.log_event(
            "store_era",
            level=logs.Level.INFO if first else logs.Level.WARNING,
            era=era,
            before=self.era,
        )
        self.era = era
        self.restored_at = self._reactor.now()
        if not first:
            for callback in self.on_restored:
                callback()

    def _era_of(self, answer: HttpAnswer) -> int:
        """Return the era of an answer; a store without eras stays at 0."""
        if not answer.header:
            return 0
        try:
            return int(answer.header)
        except ValueError:
            logs.log_event(
                "store_era_unreadable",
                level=logs.Level.WARNING,
                value=answer.header[:20],
            )
            return 0

    def _note_time(
        self, answer: HttpAnswer | HttpLost, seconds: float
    ) -> None:
        match answer:
            case HttpAnswer():
                self._times.record_answer(seconds)
            case HttpLost(reason=reason) if reason == TIMED_OUT:
                self._times.record_timeout()

    def _send_next(self, lane: _Lane) -> None:
        """Send what waits, or refuse all of it while the lane backs off."""
        held = lane.backoff.until - self._reactor.now()
        while lane.waiting and held > 0:
            lane.waiting.popleft().refuse(_held(held))
        if lane.waiting and not lane.busy:
            lane.busy = True
            lane.waiting.popleft().send()

    def _judge(
        self,
        lane: _Lane,
        counts: CallCounts,
        method: str,
        answer: HttpAnswer | HttpLost,
    ) -> HttpAnswer | Unavailable:
        """Tell an answer from a failure, and count failures."""
        match answer:
            case HttpLost():
                maybe_applied = answer.sent and method != "GET"
                reason = answer.reason
            case HttpAnswer(status=HTTPStatus.TOO_MANY_REQUESTS):
                maybe_applied = False
                reason = "rate"
            case HttpAnswer() if answer.status >= SERVER_ERRORS:
                maybe_applied = method != "GET"
                reason = f"status {answer.status}"
            case HttpAnswer():
                lane.backoff.succeeded()
                return answer
        counts.failed += 1
        wait = lane.backoff.failed(self._reactor.now(), self._chance())
        return Unavailable(
            maybe_applied=maybe_applied, retry_after=wait, reason=reason
        )

    def _lane(self, purpose: str) -> _Lane:
        lane = self._lanes.get(purpose)
        if lane is None:
            limit = self._timing.max_backoff
            if _counted_as(purpose) in URGENT:
                limit = min(limit, MAX_URGENT_BACKOFF)
            lane = _Lane(
                client=HttpClient(
                    reactor=self._reactor,
                    address=self._address,
                    kept_header=self._dialect.era_header,
                ),
                backoff=Backoff(limit=limit, first=self._timing.first_backoff),
            )
            self._lanes[purpose] = lane
        return lane

    def _counts(self, purpose: str) -> CallCounts:
        return self.counts.setdefault(_counted_as(purpose), CallCounts())


def _of_another_era(*, maybe_applied: bool) -> Unavailable:
    return Unavailable(
        maybe_applied=maybe_applied, retry_after=0.0, reason="store_era"
    )


def _held(seconds: float) -> Unavailable:
    return Unavailable(
        maybe_applied=False, retry_after=seconds, reason="backoff"
    )


def _counted_as(purpose: str) -> str:
    return purpose.partition("/")[0]
