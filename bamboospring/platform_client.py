"""A client of the platform's object API with backoff and typed results.

Each purpose has one connection and at most one call in flight, so that a VM
never sends the same request repeatedly to a slow platform. After a failure a
purpose backs off with jitter; until then, further calls are refused locally at
once with `Unavailable`, whose `retry_after` gives the time until the next call
will be sent.

    client.get("group", "ledger-1", "group", on_result)

A purpose may have a suffix after a slash, as in `lease/7`: each such purpose
has its own call in flight, and all are counted together as `lease`.
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
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.http_client import TIMED_OUT
from bamboospring import logs
from bamboospring.object_store import Call
from bamboospring.object_store import Changes
from bamboospring.object_store import Conflict
from bamboospring.object_store import Deleted
from bamboospring.object_store import Found
from bamboospring.object_store import HistoryLost
from bamboospring.object_store import Missing
from bamboospring.object_store import NativeDialect
from bamboospring.object_store import ObjectDialect
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

# Lists are larger than single objects and are requested rarely.
LIST_TIMEOUT_FACTOR = 2.5
# A watch is answered at the end of its waiting time at the latest; the margin
# in seconds covers the network and a slow platform.
WATCH_MARGIN = 3.0
FIRST_BACKOFF = 0.1
# Maximum backoff in seconds of urgent purposes: a steward that detects the
# platform's return late loses its lease without need, and an operator waits
# for an edit. Calls of both kinds are few.
MAX_URGENT_BACKOFF = 2.0
URGENT_PURPOSES = frozenset({"edit", "lease"})
MAX_QUEUED_CALLS = 32

SERVER_ERRORS = 500
# After the store is restored from an older copy, the writers of lost objects
# store them again within this many seconds.
WRITTEN_AGAIN = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmsFound:
    """The list of VMs, each as the platform's JSON object.

    `vms` is None if the platform omitted the list because it is unchanged.
    """

    revision: int
    vms: tuple[dict[str, Any], ...] | None


@dataclass(slots=True, kw_only=True)
class CallCounts:
    """Calls of one purpose since the process started.

    `refused` counts calls that were refused locally and never sent;
    `timed_out` counts the failed ones whose answer did not arrive in time.
    """

    calls: int = 0
    failed: int = 0
    timed_out: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class CallTiming:
    """Times of calls, in seconds.

    `timeout` limits the time of a call after it is sent. The delay after a
    failed call starts at `first_backoff` and doubles up to `max_backoff`.
    `watch_margin` is how much later than its waiting time a watch may be
    answered before its connection is treated as unresponsive. `min_timeout`
    enables adaptive timeouts: other calls time out sooner if answers usually
    arrive sooner, but never before `min_timeout`; with infinity, timeouts are
    fixed. Calls for `large_purposes` depend on the size of the answer and on
    the link: their timeout is fixed, and their times are not used to adapt the
    timeouts of other calls.
    """

    timeout: float = 2.0
    min_timeout: float = float("inf")
    first_backoff: float = FIRST_BACKOFF
    max_backoff: float = 5.0
    watch_margin: float = WATCH_MARGIN
    large_purposes: frozenset[str] = frozenset()


@dataclass(slots=True, kw_only=True)
class Backoff:
    """The time at which the next call of a purpose may be sent.

    The delay doubles with each failure up to `max_delay` seconds. Half of it
    is random: VMs that lost the platform at the same instant would otherwise
    call it again at the same time.
    """

    max_delay: float = 5.0
    first_delay: float = FIRST_BACKOFF
    failures: int = 0
    blocked_until: float = -1e9

    def record_failure(self, now: float, random_float: float) -> float:
        """Record a failure and return the delay in seconds.

        `random_float` is a random number from 0 to 1.
        """
        # Bounded, so that the power does not overflow in a long outage.
        doublings = min(self.failures, 16)
        delay = min(self.max_delay, self.first_delay * 2.0**doublings)
        delay *= 0.5 + random_float / 2
        self.failures += 1
        self.blocked_until = now + delay
        return delay

    def reset(self) -> None:
        """Forget all failures."""
        self.failures = 0
        self.blocked_until = -1e9


OnAnswer = Callable[[HttpResponse | Unavailable], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class _QueuedCall:
    """A queued call, with the functions that send or refuse it."""

    send: Callable[[], None]
    refuse: Callable[[Unavailable], None]


@dataclass(slots=True, kw_only=True)
class _PurposeQueue:
    """The connection, backoff and queued calls of one purpose.

    Calls are queued here and not in the HTTP client, where a slow call would
    use up the time of the calls behind it.
    """

    client: HttpClient
    backoff: Backoff
    is_busy: bool = False
    pending: deque[_QueuedCall] = field(default_factory=deque)


class PlatformClient:
    """Call the platform; `on_result` is called exactly once per call."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        address: str,
        timing: CallTiming = CallTiming(),
        random_float: Callable[[], float] = random.random,
        dialect: ObjectDialect = NativeDialect(),
    ) -> None:
        self.counts: dict[str, CallCounts] = {}
        self._dialect = dialect
        self._reactor = reactor
        self._address = address
        self._timing = timing
        self._random_float = random_float
        self._queues: dict[str, _PurposeQueue] = {}
        self._adaptive_timeout = AdaptiveTimeout(
            min_timeout=timing.min_timeout
        )
        # The store's newest known era, which increases when the store is
        # restored from an older copy. The callbacks in `on_restored` are then
        # called. The store was restored at `restored_at` at the latest; None
        # if no restore is known.
        self.era = 0
        self.restored_at: float | None = None
        self.on_restored: list[Callable[[], None]] = []
        self._has_answered = False

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

        def answered(answer: HttpResponse | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpResponse(status=HTTPStatus.NOT_FOUND):
                    on_result(Missing(kind=kind, name=name))
                case HttpResponse():
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

        After `Unavailable(maybe_applied=True)`, the outcome of the update can
        only be determined by reading the object back.
        """

        def answered(answer: HttpResponse | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpResponse(status=HTTPStatus.OK | HTTPStatus.CREATED):
                    if if_version and self._era_of(answer) != era_of(
                        if_version
                    ):
                        on_result(_era_mismatch(maybe_applied=True))
                        return
                    on_result(self._read(answer, dialect.stored))
                case HttpResponse(
                    status=HTTPStatus.NOT_FOUND | HTTPStatus.CONFLICT
                ):
                    on_result(self._read_conflict(answer))
                case HttpResponse():
                    on_result(Rejected(status=answer.status))

        if if_version and era_of(if_version) < self.era:
            self._read_as_conflict(kind, name, purpose, on_result, timeout)
            return
        dialect = self._dialect
        call = dialect.put(kind, name, revision_of(if_version), value)
        self._call(call, purpose, timeout, answered)

    def _read_as_conflict(
        self,
        kind: str,
        name: str,
        purpose: str,
        on_result: Callable[[Conflict | Unavailable], None],
        timeout: float | None,
    ) -> None:
        """Read the object whose update is conditional on an earlier era.

        The store may have assigned the same revision again, and would apply
        the update to an object that has changed.
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
        """Delete an object if it is at `if_version`."""

        def answered(answer: HttpResponse | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpResponse(status=HTTPStatus.CONFLICT):
                    on_result(self._read_conflict(answer))
                case HttpResponse():
                    on_result(Deleted())

        if if_version and era_of(if_version) < self.era:
            self._read_as_conflict(kind, name, purpose, on_result, None)
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
        """Read all objects of a kind, on any number of pages.

        The result has the revision of the first page: a watch from there
        returns changes made while further pages were read. If the pages are of
        two eras, the result is `Unavailable`.
        """
        timeout = timeout or LIST_TIMEOUT_FACTOR * self._timing.timeout
        objects: list[Found] = []
        revision = 0

        def answered(answer: HttpResponse | Unavailable) -> None:
            nonlocal revision
            if isinstance(answer, Unavailable):
                on_result(answer)
                return
            page = self._read(answer, lambda body: dialect.page(kind, body))
            if isinstance(page, Unavailable):
                on_result(page)
                return
            if revision and era_of(page.changes.revision) != era_of(revision):
                on_result(_era_mismatch(maybe_applied=False))
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

        The call uses a connection of its own, so that it delays no other call
        of its purpose.
        """

        def answered(answer: HttpResponse | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpResponse(status=HTTPStatus.GONE):
                    on_result(HistoryLost())
                case HttpResponse() if self._era_of(answer) != era_of(after):
                    on_result(HistoryLost())
                case HttpResponse():
                    on_result(self._read(answer, read))

        def read(body: bytes) -> Changes:
            return self._dialect.events(kind, body)

        if era_of(after) < self.era:
            self._reactor.call_later(0, lambda: on_result(HistoryLost()))
            return
        timeout = wait_ms / 1000 + self._timing.watch_margin
        watch_purpose = f"{purpose}/watch/{kind}"
        call = self._dialect.watch(kind, revision_of(after), wait_ms)
        self._call(call, watch_purpose, timeout, answered, is_long_poll=True)

    def vms(
        self,
        on_result: Callable[[VmsFound | Unavailable], None],
        *,
        purpose: str = "vms",
        after: int = 0,
        timeout: float | None = None,
    ) -> None:
        """Read the list of VMs if it is newer than revision `after`."""

        def answered(answer: HttpResponse | Unavailable) -> None:
            match answer:
                case Unavailable():
                    on_result(answer)
                case HttpResponse():
                    body = orjson.loads(answer.body)
                    vms = tuple(body["vms"]) if "vms" in body else None
                    on_result(VmsFound(revision=body["revision"], vms=vms))

        path = f"/vms?after={after}" if after else "/vms"
        call = Call(method="GET", path=path)
        self._call(call, purpose, timeout, answered)

    def may_be_incomplete(self, asked_at: float) -> bool:
        """Return whether an answer may lack acknowledged updates.

        `asked_at` is when the request was sent.
        """
        returned_at = self.restored_at
        return returned_at is not None and asked_at < (
            returned_at + WRITTEN_AGAIN
        )

    def close(self) -> None:
        """Close all connections; calls in flight end as unavailable."""
        for queue in self._queues.values():
            queue.client.close()

    def _read_conflict(self, answer: HttpResponse) -> Conflict | Unavailable:
        return self._read(
            answer, lambda body: self._dialect.conflict(answer.status, body)
        )

    def _read(
        self, answer: HttpResponse, read: Callable[[bytes], Dated]
    ) -> Dated | Unavailable:
        """Decode a body; a malformed one means that the outcome is unknown."""
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
        is_long_poll: bool = False,
    ) -> None:
        """Send a call when its purpose has no other in flight.

        `is_long_poll` is true if the platform may delay the answer.
        """
        max_timeout = timeout or self._timing.timeout
        sent_at = 0.0
        has_fixed_timeout = (
            is_long_poll
            or _base_purpose(purpose) in self._timing.large_purposes
        )
        queue = self._queue_of(purpose)
        counts = self._counts(purpose)

        def refuse(refusal: Unavailable) -> None:
            counts.refused += 1
            # Answered in a later turn of the loop, like every other call.
            self._reactor.call_later(0, lambda: on_answer(refusal))

        def answered(answer: HttpResponse | HttpFailure) -> None:
            queue.is_busy = False
            if isinstance(answer, HttpResponse):
                self._update_era(answer)
            seconds = self._reactor.now() - sent_at
            if not has_fixed_timeout:
                self._record_answer_time(answer, seconds)
            if isinstance(answer, HttpFailure) and answer.reason == TIMED_OUT:
                counts.timed_out += 1
                _log_timeout(purpose, seconds, answer.idle)
            result = self._classify_answer(queue, counts, call.method, answer)
            self._send_next(queue)
            on_answer(result)

        def send() -> None:
            nonlocal sent_at
            sent_at = self._reactor.now()
            call_timeout = (
                max_timeout
                if has_fixed_timeout
                else self._adaptive_timeout.timeout(max_timeout)
            )
            counts.calls += 1
            header = self._dialect.header(_base_purpose(purpose))
            queue.client.request(
                call.method,
                call.path,
                call.body,
                call_timeout,
                answered,
                header,
            )

        if len(queue.pending) >= MAX_QUEUED_CALLS:
            refuse(_refused_by_backoff(FIRST_BACKOFF))
            return
        queue.pending.append(_QueuedCall(send=send, refuse=refuse))
        self._send_next(queue)

    def _update_era(self, answer: HttpResponse) -> None:
        era, first = self._era_of(answer), not self._has_answered
        self._has_answered = True
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

    def _era_of(self, answer: HttpResponse) -> int:
        """Return the era of an answer; 0 for a store without eras."""
        if not answer.captured_header:
            return 0
        try:
            return int(answer.captured_header)
        except ValueError:
            logs.log_event(
                "store_era_unreadable",
                level=logs.Level.WARNING,
                value=answer.captured_header[:20],
            )
            return 0

    def _record_answer_time(
        self, answer: HttpResponse | HttpFailure, seconds: float
    ) -> None:
        match answer:
            case HttpResponse():
                self._adaptive_timeout.record_answer(seconds)
            case HttpFailure(reason=reason) if reason == TIMED_OUT:
                self._adaptive_timeout.record_timeout()

    def _send_next(self, queue: _PurposeQueue) -> None:
        """Send the next queued call, or refuse all during a backoff."""
        backoff_remaining = queue.backoff.blocked_until - self._reactor.now()
        while queue.pending and backoff_remaining > 0:
            queue.pending.popleft().refuse(
                _refused_by_backoff(backoff_remaining)
            )
        if queue.pending and not queue.is_busy:
            queue.is_busy = True
            queue.pending.popleft().send()

    def _classify_answer(
        self,
        queue: _PurposeQueue,
        counts: CallCounts,
        method: str,
        answer: HttpResponse | HttpFailure,
    ) -> HttpResponse | Unavailable:
        """Return the answer or the failure, and record failures."""
        match answer:
            case HttpFailure():
                maybe_applied = answer.sent and method != "GET"
                reason = answer.reason
            case HttpResponse(status=HTTPStatus.TOO_MANY_REQUESTS):
                maybe_applied = False
                reason = "rate"
            case HttpResponse() if answer.status >= SERVER_ERRORS:
                maybe_applied = method != "GET"
                reason = f"status {answer.status}"
            case HttpResponse():
                queue.backoff.reset()
                return answer
        counts.failed += 1
        wait = queue.backoff.record_failure(
            self._reactor.now(), self._random_float()
        )
        return Unavailable(
            maybe_applied=maybe_applied, retry_after=wait, reason=reason
        )

    def _queue_of(self, purpose: str) -> _PurposeQueue:
        queue = self._queues.get(purpose)
        if queue is None:
            max_delay = self._timing.max_backoff
            if _base_purpose(purpose) in URGENT_PURPOSES:
                max_delay = min(max_delay, MAX_URGENT_BACKOFF)
            queue = _PurposeQueue(
                client=HttpClient(
                    reactor=self._reactor,
                    address=self._address,
                    captured_header=self._dialect.era_header,
                ),
                backoff=Backoff(
                    max_delay=max_delay, first_delay=self._timing.first_backoff
                ),
            )
            self._queues[purpose] = queue
        return queue

    def _counts(self, purpose: str) -> CallCounts:
        return self.counts.setdefault(_base_purpose(purpose), CallCounts())


def _era_mismatch(*, maybe_applied: bool) -> Unavailable:
    return Unavailable(
        maybe_applied=maybe_applied, retry_after=0.0, reason="store_era"
    )


def _refused_by_backoff(seconds: float) -> Unavailable:
    return Unavailable(
        maybe_applied=False, retry_after=seconds, reason="backoff"
    )


def _log_timeout(purpose: str, seconds: float, idle: float | None) -> None:
    logs.log_event(
        "platform_call_timeout",
        purpose=purpose,
        waited_ms=round(seconds * 1000),
        connection="new" if idle is None else "reused",
        idle_ms=None if idle is None else round(idle * 1000),
    )


def _base_purpose(purpose: str) -> str:
    return purpose.partition("/")[0]
