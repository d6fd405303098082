"""Decide which statements get a slot at a target now, later or not at all.

One `Admission` stands before this holder's share of a target's slots. What
can't run now waits in a bounded queue, ordered by rounds: the n-th statement
that a caller has in the queue belongs to the n-th round, so a caller that
floods it only delays itself. Within a round the earliest deadline goes first.

What would not get its slot in time is refused at once, and not when its
deadline has passed: its caller can then go elsewhere or come back later, and
the queue holds only work that is worth doing. Every refusal says when a
further try makes sense. Nothing here does I/O or asks for the time.
"""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass
from dataclasses import field
import itertools
from typing import Any

from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason

__all__ = [
    "Admission",
    "SlotRefused",
    "SlotGranted",
    "Ticket",
    "Verdict",
    "SlotQueued",
]

# How fast the estimate of a statement's time follows what is seen: about
# this share of the gap for each statement.
SMOOTHING = 0.1
FIRST_ESTIMATE = 0.005
SHORTEST = 1e-5
MIN_RETRY_AFTER_MS = 10
MAX_RETRY_AFTER_MS = 5000
# What is let in may wait for this part of the time that it has left. The rest
# is for running, and for estimates that were too low: a statement that times
# out at the target has used a slot and a connection for nothing.
WAIT_PART = 0.6
# A statement is started only with this many times the usual time left.
MIN_REMAINING_FACTOR = 1.5


@dataclass(slots=True, kw_only=True, eq=False)
class Ticket:
    """A statement that asked for a slot. `item` is the adapter's own.

    A lower `urgency` goes before all of a higher one.
    """

    caller: str
    deadline: float
    item: Any
    urgency: int = 0
    round: int = 0
    number: int = 0

    def __lt__(self, other: Ticket) -> bool:
        return self.key < other.key

    @property
    def key(self) -> tuple[int, int, float, int]:
        """Return what the queue is ordered by."""
        return self.urgency, self.round, self.deadline, self.number


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotGranted:
    """The slot is taken; `Admission.finished` gives it back."""

    ticket: Ticket


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotQueued:
    """It waits; `Admission.next` hands it out later."""

    ticket: Ticket


@dataclass(frozen=True, slots=True, kw_only=True)
class SlotRefused:
    """It gets no slot and was not run."""

    ticket: Ticket
    outcome: Overloaded


Verdict = SlotGranted | SlotQueued | SlotRefused


@dataclass(slots=True, kw_only=True)
class _Use:
    """What one caller has here."""

    running: int = 0
    waiting: int = 0
    round: int = 0


@dataclass(slots=True, kw_only=True)
class Admission:
    """The slots of one target that this holder may use, and their queue."""

    slots: int
    queue_limit: int = 256
    estimate: float = FIRST_ESTIMATE
    running: int = 0
    _queue: list[Ticket] = field(default_factory=list)
    _uses: dict[str, _Use] = field(default_factory=dict)
    _numbers: Any = field(default_factory=itertools.count)
    _round: int = 0

    @property
    def waiting(self) -> int:
        """Return how many wait."""
        return len(self._queue)

    def submit(self, ticket: Ticket, now: float) -> list[Verdict]:
        """Ask for a slot; the list also tells whom this pushes out."""
        if self.running < self.slots and not self._queue:
            return [self._start(ticket)]
        self._place(ticket)
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            return [refusal]
        verdicts: list[Verdict] = []
        if len(self._queue) >= self.queue_limit:
            verdicts.append(self._push_out(now))
        self._enter(ticket)
        verdicts.append(SlotQueued(ticket=ticket))
        verdicts.extend(self._refuse_hopeless(now))
        return verdicts

    def release(self, ticket: Ticket, seconds: float) -> None:
        """Give a slot back after `seconds` of use."""
        self.running -= 1
        self.estimate += SMOOTHING * (seconds - self.estimate)
        self._use(ticket.caller).running -= 1
        self._tidy(ticket.caller)

    def grant_next(self, now: float) -> list[Verdict]:
        """Hand free slots to those who wait; refuse those too late."""
        verdicts: list[Verdict] = []
        while self._queue and self.running < self.slots:
            ticket = self._queue.pop(0)
            self._leave(ticket)
            if ticket.deadline < now + self.estimate * MIN_REMAINING_FACTOR:
                verdicts.append(self._refuse(ticket, Reason.DEADLINE, now))
            else:
                verdicts.append(self._start(ticket))
        verdicts.extend(self._refuse_hopeless(now))
        return verdicts

    def expire(self, now: float) -> list[Verdict]:
        """Refuse those who wait and whose deadline has come."""
        late = [ticket for ticket in self._queue if ticket.deadline <= now]
        for ticket in late:
            self.cancel(ticket)
        return [self._refuse(ticket, Reason.DEADLINE, now) for ticket in late]

    def is_queued(self, ticket: Ticket) -> bool:
        """Tell whether a ticket is in the queue."""
        return ticket in self._queue

    def cancel(self, ticket: Ticket) -> None:
        """Take back a ticket that waits."""
        self._queue.remove(ticket)
        self._leave(ticket)

    def wait_estimate(self, ahead: int) -> float:
        """Return the seconds until a slot is free behind `ahead` others."""
        if self.slots <= 0:
            return float("inf")
        return (ahead + 1) * self.estimate / self.slots

    def _refusal(self, ticket: Ticket, now: float) -> SlotRefused | None:
        allowed = self._fair_queue(ticket, now)
        if self._use(ticket.caller).waiting >= allowed:
            refused = self._refuse(ticket, Reason.CALLER_LIMIT, now)
        elif self._comes_too_late(ticket, now):
            refused = self._refuse(ticket, Reason.QUEUE_FULL, now)
        else:
            return None
        self._tidy(ticket.caller)
        return refused

    def _fair_queue(self, ticket: Ticket, now: float) -> int:
        """Return how many places of the queue a caller may have.

        The queue is as long as can be worked off in time. A caller has an
        equal part of it, and what others leave free but one place, so that a
        newcomer can always enter. More would only be pushed back by the
        others' statements until it came too late.
        """
        wait = (ticket.deadline - now) * WAIT_PART
        in_time = wait * self.slots / max(self.estimate, SHORTEST)
        places = int(max(0.0, min(self.queue_limit, in_time)))
        own = self._use(ticket.caller).waiting
        free = places - 1 - (len(self._queue) - own)
        return max(1, places // len(self._uses), free)

    def _comes_too_late(self, ticket: Ticket, now: float) -> bool:
        ahead = self._count_ahead(ticket)
        return self._is_hopeless(ticket, ahead, now, WAIT_PART)

    def _is_hopeless(
        self, ticket: Ticket, ahead: int, now: float, part: float
    ) -> bool:
        left = ticket.deadline - now
        wait = self.wait_estimate(ahead)
        return wait > left * part or wait + self.estimate > left

    def _refuse_hopeless(self, now: float) -> list[Verdict]:
        """Refuse at once whom newcomers have pushed too far back."""
        verdicts: list[Verdict] = []
        while self._queue:
            last = self._queue[-1]
            ahead = len(self._queue) - 1
            if not self._is_hopeless(last, ahead, now, 1.0):
                break
            self.cancel(last)
            verdicts.append(self._refuse(last, Reason.QUEUE_FULL, now))
        return verdicts

    def _count_ahead(self, ticket: Ticket) -> int:
        low, high = 0, len(self._queue)
        while low < high:
            middle = (low + high) // 2
            if self._queue[middle] < ticket:
                low = middle + 1
            else:
                high = middle
        return low

    def _push_out(self, now: float) -> SlotRefused:
        """Make room: the caller that waits most gives up its last place."""
        most = max(self._uses.values(), key=lambda use: use.waiting).waiting
        for ticket in reversed(self._queue):
            if self._uses[ticket.caller].waiting == most:
                self.cancel(ticket)
                return self._refuse(ticket, Reason.CALLER_LIMIT, now)
        raise AssertionError("the queue is full and nobody waits in it")

    def _place(self, ticket: Ticket) -> None:
        use = self._use(ticket.caller)
        ticket.number = next(self._numbers)
        ticket.round = max(self._round, use.round + 1)

    def _enter(self, ticket: Ticket) -> None:
        use = self._use(ticket.caller)
        use.waiting += 1
        use.round = ticket.round
        insort(self._queue, ticket)

    def _leave(self, ticket: Ticket) -> None:
        self._use(ticket.caller).waiting -= 1
        self._tidy(ticket.caller)

    def _start(self, ticket: Ticket) -> SlotGranted:
        self.running += 1
        use = self._use(ticket.caller)
        use.running += 1
        self._round = max(self._round, ticket.round)
        use.round = max(use.round, self._round)
        return SlotGranted(ticket=ticket)

    def _refuse(
        self, ticket: Ticket, reason: Reason, now: float
    ) -> SlotRefused:
        wait = self.wait_estimate(len(self._queue))
        retry_ms = min(MAX_RETRY_AFTER_MS, wait * 1000)
        return SlotRefused(
            ticket=ticket,
            outcome=Overloaded(
                reason=reason,
                retry_after_ms=max(MIN_RETRY_AFTER_MS, int(retry_ms)),
            ),
        )

    def _use(self, caller: str) -> _Use:
        found = self._uses.get(caller)
        if found is None:
            found = self._uses[caller] = _Use()
        return found

    def _tidy(self, caller: str) -> None:
        # A caller without work is forgotten, so that memory follows those
        # who are active. Its round is, too: it comes back in today's.
        use = self._uses.get(caller)
        if use is not None and use.running == 0 and use.waiting == 0:
            del self._uses[caller]
