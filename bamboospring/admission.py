"""Decide whether a statement gets a slot at a target, waits or is refused.

One `Admission` controls this holder's share of a target's slots. Statements
that can't run yet wait in a bounded queue with fair queueing by caller: the
n-th queued statement of a caller belongs to the n-th round, so a caller that
floods the queue only delays itself. Within a round the earliest deadline goes
first.

A statement that would get its slot too late is refused immediately instead of
at its deadline. Its caller can retry elsewhere or later, and the queue holds
only statements that can finish in time. Every refusal carries a delay for the
next try. This module does no I/O and does not read the clock.

Under load control tickets have an objective. The queue then prefers, within an
urgency, those that can still meet it, and estimates waits and delays for each
urgency by itself, from the rate at which it is served. See
docs/design/overload_queues.md.
"""

from __future__ import annotations

from bisect import insort
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
import itertools
from typing import Any

from bamboospring.drain_rate import DrainRates
from bamboospring.drain_rate import RetryReservations
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason

__all__ = [
    "Admission",
    "SlotRefused",
    "SlotGranted",
    "Ticket",
    "SlotDecision",
    "SlotQueued",
]

# Weight of the newest duration in the moving average of statement durations.
ESTIMATE_SMOOTHING = 0.1
INITIAL_ESTIMATE = 0.005
MIN_ESTIMATE = 1e-5
MIN_RETRY_AFTER_MS = 10
MAX_RETRY_AFTER_MS = 5000
# Fraction of its remaining time that a statement may wait when it is admitted.
# The rest is for its execution and for estimates that are too low: a statement
# that times out at the target has wasted a slot and a connection.
MAX_WAIT_FRACTION = 0.6
# A statement starts only if its remaining time is at least this many times the
# estimated duration.
MIN_REMAINING_FACTOR = 1.5


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """A request for a slot. `item` is opaque and belongs to the pool.

    Tickets with a lower `urgency` are served before those with a higher one.
    `objective_at` is set only under load control: a ticket that can't be
    answered by then `is_late` and follows the others of its urgency.
    """

    caller: str
    deadline: float
    item: Any
    urgency: int = 0
    objective_at: float | None = None
    is_late: bool = False
    round: int = 0
    number: int = 0

    def __lt__(self, other: Ticket) -> bool:
        return self.key < other.key

    @property
    def key(self) -> tuple[int, bool, int, float, int]:
        """Return the sort key of the queue."""
        return (
            self.urgency,
            self.is_late,
            self.round,
            self.deadline,
            self.number,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotGranted:
    """The ticket holds a slot; `Admission.release` gives it back."""

    ticket: Ticket


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotQueued:
    """The ticket is queued; `Admission.grant_next` grants it later."""

    ticket: Ticket


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRefused:
    """The ticket gets no slot, and its statement has not run."""

    ticket: Ticket
    outcome: Overloaded


SlotDecision = SlotGranted | SlotQueued | SlotRefused


@dataclass(slots=True, kw_only=True)
class _CallerUsage:
    """The running and queued statements of one caller, and its last round."""

    running: int = 0
    waiting: int = 0
    round: int = 0


@dataclass(slots=True, kw_only=True)
class Admission:
    """The slots that this holder may use at one target, and their queue."""

    slots: int
    queue_limit: int = 256
    estimate: float = INITIAL_ESTIMATE
    running: int = 0
    _queue: list[Ticket] = field(default_factory=list)
    _usages: dict[str, _CallerUsage] = field(default_factory=dict)
    _numbers: Any = field(default_factory=itertools.count)
    _current_round: int = 0
    _waiting_by_urgency: Counter[int] = field(default_factory=Counter)
    _rates: DrainRates = field(default_factory=DrainRates)
    _retries: RetryReservations = field(default_factory=RetryReservations)

    @property
    def waiting(self) -> int:
        """Return the number of queued tickets."""
        return len(self._queue)

    def submit(self, ticket: Ticket, now: float) -> list[SlotDecision]:
        """Ask for a slot; also return the refusals of evicted tickets."""
        if self.running < self.slots and not self._queue:
            return [self._start(ticket)]
        self._assign_round(ticket)
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            return [refusal]
        decisions: list[SlotDecision] = []
        if len(self._queue) >= self.queue_limit:
            decisions.append(self._evict(now))
        if not self._waiting_by_urgency[ticket.urgency]:
            usual = self.estimate / max(1, self.slots)
            self._rates.record_first_queued(ticket.urgency, now, usual=usual)
        self._enqueue(ticket)
        decisions.append(SlotQueued(ticket=ticket))
        decisions.extend(self._refuse_hopeless(now))
        return decisions

    def start_at_once(self, ticket: Ticket) -> list[SlotDecision]:
        """Grant a slot beyond the limit, see `Pool.reacquire_slot`."""
        return [self._start(ticket)]

    def release(self, ticket: Ticket, seconds: float) -> None:
        """Give back a slot that was held for `seconds`."""
        self.running -= 1
        self.estimate += ESTIMATE_SMOOTHING * (seconds - self.estimate)
        self._usage_of(ticket.caller).running -= 1
        self._forget_if_unused(ticket.caller)

    def release_overdue(self, ticket: Ticket, now: float) -> None:
        """Give back the slot of a statement whose response is overdue.

        How long it was held says nothing about the statements that follow.
        """
        self.release(ticket, self.estimate)
        self._rates.record_overdue_slot(now)

    def grant_next(self, now: float) -> list[SlotDecision]:
        """Grant free slots to queued tickets; refuse those too late."""
        decisions: list[SlotDecision] = []
        while self._queue and self.running < self.slots:
            ticket = self._queue.pop(0)
            if self._has_become_late(ticket, now):
                ticket.is_late = True
                insort(self._queue, ticket)
                continue
            self._record_dequeued(ticket)
            self._rates.record_granted(ticket.urgency, now)
            if ticket.deadline < now + self.estimate * MIN_REMAINING_FACTOR:
                decisions.append(self._refuse(ticket, Reason.DEADLINE, now))
            else:
                decisions.append(self._start(ticket))
        decisions.extend(self._refuse_hopeless(now))
        return decisions

    def expire(self, now: float) -> list[SlotDecision]:
        """Refuse queued tickets whose deadline has passed."""
        expired = [ticket for ticket in self._queue if ticket.deadline <= now]
        for ticket in expired:
            self.cancel(ticket)
        return [
            self._refuse(ticket, Reason.DEADLINE, now) for ticket in expired
        ]

    def is_more_urgent_waiting(self, urgency: int) -> bool:
        """Return whether a ticket of higher precedence is queued."""
        return bool(self._queue) and self._queue[0].urgency < urgency

    def is_queued(self, ticket: Ticket) -> bool:
        """Return whether a ticket is in the queue."""
        return ticket in self._queue

    def cancel(self, ticket: Ticket) -> None:
        """Remove a queued ticket."""
        self._queue.remove(ticket)
        self._record_dequeued(ticket)

    def wait_estimate(self, ahead: int) -> float:
        """Return the estimated seconds of waiting behind `ahead` tickets."""
        if self.slots <= 0:
            return float("inf")
        return (ahead + 1) * self.estimate / self.slots

    def _refusal(self, ticket: Ticket, now: float) -> SlotRefused | None:
        if ticket.objective_at is not None:
            self._move_late(now)
            return self._overload_refusal(ticket, now)
        allowed = self._max_queued(ticket, now)
        if self._usage_of(ticket.caller).waiting >= allowed:
            refused = self._refuse(ticket, Reason.CALLER_LIMIT, now)
        elif self._arrives_too_late(ticket, now):
            refused = self._refuse(ticket, Reason.QUEUE_FULL, now)
        else:
            return None
        self._forget_if_unused(ticket.caller)
        return refused

    def _max_queued(self, ticket: Ticket, now: float) -> int:
        """Return how many tickets a caller may have in the queue.

        The usable length of the queue is what can run before the ticket's
        deadline. A caller may use an equal part of it, and all places that
        others leave free except one, so that a new caller can always enter.
        Further tickets would be delayed by the statements of the other
        callers until they are too late.
        """
        wait = (ticket.deadline - now) * MAX_WAIT_FRACTION
        in_time = wait * self.slots / max(self.estimate, MIN_ESTIMATE)
        places = int(max(0.0, min(self.queue_limit, in_time)))
        own = self._usage_of(ticket.caller).waiting
        free = places - 1 - (len(self._queue) - own)
        return max(1, places // len(self._usages), free)

    def _arrives_too_late(self, ticket: Ticket, now: float) -> bool:
        ahead = self._count_ahead(ticket)
        return self._is_too_late(ticket, ahead, now, MAX_WAIT_FRACTION)

    def _is_too_late(
        self, ticket: Ticket, ahead: int, now: float, fraction: float
    ) -> bool:
        remaining = ticket.deadline - now
        wait = self.wait_estimate(ahead)
        return wait > remaining * fraction or wait + self.estimate > remaining

    def _refuse_hopeless(self, now: float) -> list[SlotDecision]:
        """Refuse queued tickets that newer tickets have delayed too much."""
        decisions: list[SlotDecision] = []
        for ticket in self._find_hopeless(now):
            self.cancel(ticket)
            reason = self._full_reason(ticket)
            decisions.append(self._refuse(ticket, reason, now))
        while self._queue:
            last = self._queue[-1]
            if last.objective_at is not None:
                break
            ahead = len(self._queue) - 1
            if not self._is_too_late(last, ahead, now, 1.0):
                break
            self.cancel(last)
            decisions.append(self._refuse(last, Reason.QUEUE_FULL, now))
        return decisions

    def _count_ahead(self, ticket: Ticket) -> int:
        low, high = 0, len(self._queue)
        while low < high:
            middle = (low + high) // 2
            if self._queue[middle] < ticket:
                low = middle + 1
            else:
                high = middle
        return low

    def _evict(self, now: float) -> SlotRefused:
        """Evict the last ticket of the caller with the longest queue."""
        if self._queue[-1].objective_at is not None:
            return self._evict_least_urgent(now)
        max_waiting = max(
            self._usages.values(), key=lambda usage: usage.waiting
        ).waiting
        for ticket in reversed(self._queue):
            if self._usages[ticket.caller].waiting == max_waiting:
                self.cancel(ticket)
                return self._refuse(ticket, Reason.CALLER_LIMIT, now)
        raise AssertionError("the queue is full but no caller has a ticket")

    def _assign_round(self, ticket: Ticket) -> None:
        usage = self._usage_of(ticket.caller)
        ticket.number = next(self._numbers)
        ticket.round = max(self._current_round, usage.round + 1)

    def _enqueue(self, ticket: Ticket) -> None:
        usage = self._usage_of(ticket.caller)
        usage.waiting += 1
        usage.round = ticket.round
        self._waiting_by_urgency[ticket.urgency] += 1
        insort(self._queue, ticket)

    def _record_dequeued(self, ticket: Ticket) -> None:
        self._waiting_by_urgency[ticket.urgency] -= 1
        self._usage_of(ticket.caller).waiting -= 1
        self._forget_if_unused(ticket.caller)

    def _start(self, ticket: Ticket) -> SlotGranted:
        self.running += 1
        usage = self._usage_of(ticket.caller)
        usage.running += 1
        self._current_round = max(self._current_round, ticket.round)
        usage.round = max(usage.round, self._current_round)
        return SlotGranted(ticket=ticket)

    def _refuse(
        self, ticket: Ticket, reason: Reason, now: float
    ) -> SlotRefused:
        if ticket.objective_at is not None:
            wait = self._reserve_retry(ticket, reason, now)
        else:
            wait = self.wait_estimate(len(self._queue))
        retry_ms = min(MAX_RETRY_AFTER_MS, wait * 1000)
        return SlotRefused(
            ticket=ticket,
            outcome=Overloaded(
                reason=reason,
                retry_after_ms=max(MIN_RETRY_AFTER_MS, int(retry_ms)),
            ),
        )

    # Load control.

    def _has_become_late(self, ticket: Ticket, now: float) -> bool:
        """Return whether a ticket can no longer meet its objective.

        Until then it keeps its place: the queue may get shorter.
        """
        if ticket.objective_at is None or ticket.is_late:
            return False
        needed = self.estimate * MIN_REMAINING_FACTOR
        return ticket.objective_at < now + needed

    def _move_late(self, now: float) -> None:
        """Move tickets that have become late behind those that have not."""
        late = [
            each for each in self._queue if self._has_become_late(each, now)
        ]
        for ticket in late:
            self._queue.remove(ticket)
            ticket.is_late = True
            insort(self._queue, ticket)

    def _overload_refusal(
        self, ticket: Ticket, now: float
    ) -> SlotRefused | None:
        """Return a refusal if a ticket would not run in time.

        Only tickets of the same urgency that run before it count: a caller's
        statement is not refused because its less urgent ones wait, or because
        another caller has many. Late tickets run after it.
        """
        ahead = self._count_ahead(ticket) - sum(
            count
            for urgency, count in self._waiting_by_urgency.items()
            if urgency < ticket.urgency
        )
        is_full = len(self._queue) >= self.queue_limit
        is_least_urgent = is_full and ticket.urgency > self._queue[-1].urgency
        wait = (ahead + 1) * self._interval(ticket.urgency, now)
        if not is_least_urgent and not self._is_hopeless(
            ticket, wait, now, MAX_WAIT_FRACTION
        ):
            return None
        refused = self._refuse(ticket, self._full_reason(ticket), now)
        self._forget_if_unused(ticket.caller)
        return refused

    def _full_reason(self, ticket: Ticket) -> Reason:
        """Return whether the queue is full for a caller or for all.

        The first queued ticket of a caller gets its turn in the current round.
        If even that is too late, others get none sooner.
        """
        has_others = any(
            each.caller == ticket.caller and self._is_alike(each, ticket)
            for each in self._queue
        )
        return Reason.CALLER_LIMIT if has_others else Reason.QUEUE_FULL

    def _reserve_retry(
        self, ticket: Ticket, reason: Reason, now: float
    ) -> float:
        """Return after how many seconds a refused caller may retry."""
        interval = self._interval(ticket.urgency, now)
        if reason is not Reason.CALLER_LIMIT:
            return self._retries.reserve(ticket.urgency, interval, now)
        # A caller gets one of the slots that go to all callers in a round.
        callers = {
            each.caller for each in self._queue if self._is_alike(each, ticket)
        }
        return self._retries.reserve(
            ticket.urgency,
            interval * max(1, len(callers)),
            now,
            caller=ticket.caller,
        )

    def _is_hopeless(
        self, ticket: Ticket, wait: float, now: float, fraction: float
    ) -> bool:
        """Return whether a ticket that waits can't run before its deadline."""
        remaining = ticket.deadline - now
        return wait > remaining * fraction or wait + self.estimate > remaining

    def _find_hopeless(self, now: float) -> list[Ticket]:
        """Return the queued tickets that can't run before their deadlines."""
        hopeless = []
        urgency, interval, wait = None, 0.0, 0.0
        for ticket in self._queue:
            if ticket.objective_at is None:
                continue
            if ticket.urgency != urgency:
                urgency = ticket.urgency
                wait = interval = self._interval(urgency, now)
            if self._is_hopeless(ticket, wait, now, 1.0):
                hopeless.append(ticket)
            else:
                wait += interval
        return hopeless

    def _evict_least_urgent(self, now: float) -> SlotRefused:
        """Evict from the least urgent tickets.

        It is the last one of the caller that has most of them.
        """
        last = self._queue[-1]
        alike = [each for each in self._queue if self._is_alike(each, last)]
        counts = Counter(each.caller for each in alike)
        most = max(counts.values())
        evicted = next(
            each for each in reversed(alike) if counts[each.caller] == most
        )
        self.cancel(evicted)
        return self._refuse(evicted, self._full_reason(evicted), now)

    def _is_alike(self, ticket: Ticket, other: Ticket) -> bool:
        return ticket.urgency == other.urgency

    def _interval(self, urgency: int, now: float) -> float:
        """Return the seconds between two grants of tickets of an urgency."""
        return self._rates.interval(
            urgency,
            now,
            usual=self.estimate / max(1, self.slots),
            is_waiting=self._waiting_by_urgency[urgency] > 0,
        )

    def _usage_of(self, caller: str) -> _CallerUsage:
        found = self._usages.get(caller)
        if found is None:
            found = self._usages[caller] = _CallerUsage()
        return found

    def _forget_if_unused(self, caller: str) -> None:
        # Dropping callers without statements bounds the memory. Their round
        # is dropped too: a returning caller starts at the current round.
        usage = self._usages.get(caller)
        if usage is not None and usage.running == 0 and usage.waiting == 0:
            del self._usages[caller]
