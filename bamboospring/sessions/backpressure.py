"""Decide whether a target's holder may accept a statement now.

Load: a group's only usable target gets more statements than it can run. A
statement that its holder refuses again and again costs two messages each time,
over links and processors that the accepted ones need. So a VM that was refused
remembers until when the holder accepts nothing of this kind.

A refusal because of a full queue concerns all statements that are equally or
less urgent. One because of the caller's own part of the queue concerns only
this caller: a team that floods the queue must not delay the others.

For example, after a refusal at urgency 1 with a delay of 0.2 s, statements of
urgency 1 and 2 are kept back for 0.2 s, those of urgency 0 are sent.

Pure decisions; times are passed in. Only durations come from other VMs, so
clocks need not agree.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason

__all__ = [
    "Backpressure",
    "CAPACITY_REASONS",
    "MAX_SENDS_PER_HOLDER",
    "limit_retry_delay",
]

# The reasons for which a holder refuses because of insufficient capacity.
CAPACITY_REASONS = frozenset(
    {
        Reason.CALLER_LIMIT,
        Reason.QUEUE_FULL,
        Reason.DEADLINE,
        Reason.TARGET_CONNECTIONS,
        Reason.TARGET_SLOTS,
    }
)
# Those that concern only the caller: its part of the queue, or the time that
# its statement had left.
CALLER_REASONS = frozenset({Reason.CALLER_LIMIT, Reason.DEADLINE})
# One statement is sent to one holder at most so often.
MAX_SENDS_PER_HOLDER = 2
# Seconds after which a holder is asked again in any case, as it may have been
# replaced or may have capacity again.
MAX_DURATION = 1.0
# The same for refusals that concern all callers. The delay that a holder names
# is the turn of one caller among those of all VMs; if each VM sent nothing
# until its turn, a holder with free slots would get nothing for a second.
MAX_SHARED_DURATION = 0.1
# A caller's retry delay is at most this multiple of its objective, and at most
# MAX_RETRY_DELAY seconds.
MAX_DELAY_PER_OBJECTIVE = 4.0
MAX_RETRY_DELAY = 2.0
# Bounds the memory where each of many callers has its own part of a queue.
# Refusals beyond it are not remembered, and cost one request each.
MAX_REFUSALS = 4096

ANY_CALLER = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Key:
    target: str
    caller: str


@dataclass(slots=True, kw_only=True)
class _Refusal:
    """A holder's refusal.

    `interval` is the delay that it named: after this time, it accepts one more
    statement of this VM. `reserved_until` is the latest retry time given to a
    caller here.
    """

    until: float
    interval: float
    reserved_until: float
    reason: Reason


@dataclass(slots=True, kw_only=True)
class Backpressure:
    """What the holders of targets have refused recently."""

    _refusals: dict[_Key, dict[int, _Refusal]] = field(default_factory=dict)
    _count: int = 0
    _forget_at: float = -1e9

    def record(
        self,
        target: str,
        caller: str,
        urgency: int,
        refusal: NotRun | Overloaded,
        now: float,
    ) -> bool:
        """Remember a refusal; return whether there was none before."""
        if now >= self._forget_at:
            self._forget_at = now + MAX_DURATION
            self._forget_expired(now)
        if self._count >= MAX_REFUSALS:
            return False
        longest = MAX_DURATION
        if refusal.reason not in CALLER_REASONS:
            caller, longest = ANY_CALLER, MAX_SHARED_DURATION
        delay = refusal.retry_after_ms / 1000
        until = now + min(delay, longest)
        by_urgency = self._refusals.setdefault(
            _Key(target=target, caller=caller), {}
        )
        known = by_urgency.get(urgency)
        if known is not None and known.until >= until:
            return False
        retry_at = now + min(delay, MAX_RETRY_DELAY)
        reserved = retry_at if known is None else known.reserved_until
        by_urgency[urgency] = _Refusal(
            until=until,
            interval=delay,
            reserved_until=max(retry_at, reserved),
            reason=refusal.reason,
        )
        self._count += known is None
        return known is None or known.until <= now

    def remaining(
        self, target: str, caller: str, urgency: int, now: float
    ) -> float:
        """Return for how many seconds a statement must not be sent."""
        found = self._find(target, caller, urgency, now)
        return 0.0 if found is None else found.until - now

    def refuse(
        self, target: str, caller: str, urgency: int, now: float
    ) -> Overloaded | None:
        """Return the refusal of a statement that must not be sent.

        Callers refused in succession get successive delays, so that they don't
        return at the same moment.
        """
        found = self._find(target, caller, urgency, now)
        if found is None:
            return None
        delay = found.reserved_until - now
        latest = now + MAX_RETRY_DELAY
        found.reserved_until = min(
            latest, found.reserved_until + found.interval
        )
        return Overloaded(
            reason=found.reason, retry_after_ms=round(delay * 1000)
        )

    def _find(
        self, target: str, caller: str, urgency: int, now: float
    ) -> _Refusal | None:
        """Return the refusal that lasts longest for a statement."""
        longest = None
        for key in (
            _Key(target=target, caller=ANY_CALLER),
            _Key(target=target, caller=caller),
        ):
            for refused_urgency, each in self._refusals.get(key, {}).items():
                if refused_urgency > urgency or each.until <= now:
                    continue
                if longest is None or each.until > longest.until:
                    longest = each
        return longest

    def _forget_expired(self, now: float) -> None:
        for key, by_urgency in list(self._refusals.items()):
            for urgency, each in list(by_urgency.items()):
                if each.until <= now:
                    del by_urgency[urgency]
                    self._count -= 1
            if not by_urgency:
                del self._refusals[key]


def limit_retry_delay(
    refusal: NotRun | Overloaded, objective: float
) -> NotRun | Overloaded:
    """Return a refusal whose delay is useful to a caller.

    Later than a few objectives, the caller's work is of no use any more; a
    caller that tries sooner finds out whether there is capacity again.
    """
    longest = min(MAX_RETRY_DELAY, MAX_DELAY_PER_OBJECTIVE * objective)
    retry_after_ms = min(refusal.retry_after_ms, round(longest * 1000))
    return replace(refusal, retry_after_ms=retry_after_ms)
