"""Decide about transactions that run over the connections of a holder.

Load: far more VMs than connections, so that a target's few connections are
shared by the transactions and single statements of a whole zone. Pure
decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
import itertools
from typing import Any

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown

__all__ = [
    "HolderConnections",
    "RoomGranted",
    "RoomQueued",
    "RoomRequest",
    "StepVerdict",
    "TransactionRoom",
    "holder_connections",
    "idle_limit",
    "judge_step",
    "lost_step_outcome",
    "max_open_transactions",
]

# The part of a target's connections that the holders of all zones may use
# together. VMs that can't use their holder have the rest for own connections.
HOLDERS_FRACTION = 0.85
# The part of its connections to a target that a holder may give to open
# transactions. Each keeps one while its caller pauses, for up to the idle
# timeout, and single statements would find none left. With 0.8, the holders of
# six zones had one connection each for the others.
TRANSACTION_FRACTION = 0.7
# Seconds by which a holder waits longer for the next step than the entry waits
# for its caller. The entry normally ends an idle transaction itself.
IDLE_MARGIN = 1.0
# Smoothing factor of the mean duration of transactions, and its initial value
# in seconds.
DURATION_SMOOTHING = 0.1
INITIAL_DURATION = 0.1
# Bounds of the retry delay for a transaction that found no room, in seconds.
MIN_RETRY_DELAY = 0.01
MAX_RETRY_DELAY = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class HolderConnections:
    """What a zone's holder may use of a target."""

    slots: int
    connections: int


def holder_connections(
    *,
    max_connections: int,
    target_slots: int,
    zone_vms: int,
    all_vms: int,
    minimum: int,
) -> HolderConnections:
    """Return what the holder of a zone may use of a target.

    It has the equal shares of all VMs of its zone. However many zones there
    are and however uneven they are, all holders together stay within their
    part of the target's limit.
    """
    zone_part = zone_vms / max(1, zone_vms, all_vms)
    share = int(max_connections * HOLDERS_FRACTION * zone_part)
    connections = max(minimum, share)
    return HolderConnections(
        slots=max(1, min(target_slots, connections)), connections=connections
    )


def max_open_transactions(connections: int) -> int:
    """Return how many of its connections a holder gives to transactions."""
    if connections <= 0:
        return 0
    return max(1, round(connections * TRANSACTION_FRACTION))


def idle_limit(transaction_idle_timeout: float) -> float:
    """Return after how many seconds without a step a holder rolls back."""
    return transaction_idle_timeout + IDLE_MARGIN


class StepVerdict(Enum):
    """What a holder does with a step."""

    OPEN = "open"
    RUN = "run"
    REFUSE = "refuse"


def judge_step(
    *, step: int, expected: int | None, running: bool, ended: bool
) -> StepVerdict:
    """Decide what to do with a step.

    `expected` is the next step of the transaction, None if it is not open.
    `ended` is whether it was open or has been discarded before: its first
    step must not open it again.
    """
    if expected is None:
        is_opening = step == 0 and not ended
        return StepVerdict.OPEN if is_opening else StepVerdict.REFUSE
    if step == expected and not running:
        return StepVerdict.RUN
    return StepVerdict.REFUSE


def lost_step_outcome(
    *, is_commit: bool, sent: bool, has_written: bool, reason: Reason
) -> NotRun | Unknown:
    """Return the outcome of a step whose answer is lost.

    Only a commit from the entry commits, so a transaction whose commit was not
    sent is rolled back, wherever it was lost. `reason` is the one of an
    unknown outcome.
    """
    if is_commit and sent and has_written:
        return Unknown(reason=reason)
    return NotRun(reason=Reason.TRANSACTION_LOST)


@dataclass(slots=True, kw_only=True, eq=False)
class RoomRequest:
    """A transaction that asks for room; `item` is opaque.

    It waits until `give_up_at` at most.
    """

    caller: str
    give_up_at: float
    item: Any
    urgency: int = 0
    number: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomGranted:
    """The transaction may be opened."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomQueued:
    """The transaction waits until another one ends."""


@dataclass(slots=True, kw_only=True)
class TransactionRoom:
    """The open transactions at one target, and those that wait to be opened.

    Room is granted by urgency, then to the caller with the fewest open
    transactions. A transaction that would wait too long is refused at once.
    Refused ones get successive times at which room is expected to be free.
    """

    limit: int = 0
    mean_duration: float = INITIAL_DURATION
    _open: dict[str, int] = field(default_factory=dict)
    _queue: list[RoomRequest] = field(default_factory=list)
    _numbers: Any = field(default_factory=itertools.count)
    _reserved_until: float = -1e9

    @property
    def open_count(self) -> int:
        """Return the number of open transactions."""
        return sum(self._open.values())

    @property
    def waiting(self) -> int:
        """Return the number of transactions that wait to be opened."""
        return len(self._queue)

    def submit(
        self, request: RoomRequest, now: float
    ) -> RoomGranted | RoomQueued | Overloaded:
        """Ask for room."""
        if self.open_count < self.limit and not self._queue:
            self._start(request)
            return RoomGranted()
        request.number = next(self._numbers)
        ahead = sum(
            self._rank(other) < self._rank(request) for other in self._queue
        )
        if now + self._wait(ahead + 1) > request.give_up_at:
            return self._refuse(now)
        self._queue.append(request)
        return RoomQueued()

    def release(self, caller: str, seconds: float) -> None:
        """Record the end of an open transaction that lasted `seconds`."""
        self.mean_duration += DURATION_SMOOTHING * (
            seconds - self.mean_duration
        )
        self._open[caller] -= 1
        if not self._open[caller]:
            del self._open[caller]

    def grant_next(self) -> list[RoomRequest]:
        """Grant free room to waiting transactions and return them."""
        granted = []
        while self._queue and self.open_count < self.limit:
            request = min(self._queue, key=self._rank)
            self._queue.remove(request)
            self._start(request)
            granted.append(request)
        return granted

    def expire(self, now: float) -> list[tuple[RoomRequest, Overloaded]]:
        """Refuse transactions that have waited for too long."""
        expired = [each for each in self._queue if each.give_up_at <= now]
        for request in expired:
            self._queue.remove(request)
        return [(request, self._refuse(now)) for request in expired]

    def cancel(self, request: RoomRequest) -> None:
        """Remove a waiting transaction."""
        self._queue.remove(request)

    def _rank(self, request: RoomRequest) -> tuple[int, int, int]:
        count = self._open.get(request.caller, 0)
        return request.urgency, count, request.number

    def _start(self, request: RoomRequest) -> None:
        self._open[request.caller] = self._open.get(request.caller, 0) + 1

    def _wait(self, ahead: int) -> float:
        return ahead * self.mean_duration / max(1, self.limit)

    def _refuse(self, now: float) -> Overloaded:
        free_at = max(self._reserved_until, now + self._wait(self.waiting))
        latest = now + MAX_RETRY_DELAY
        self._reserved_until = min(latest, free_at + self._wait(1))
        delay = max(MIN_RETRY_DELAY, self._reserved_until - now)
        return Overloaded(
            reason=Reason.TARGET_CONNECTIONS,
            retry_after_ms=round(delay * 1000),
        )
