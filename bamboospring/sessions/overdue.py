"""Decide when the response to a sent statement is overdue.

A target that loses responses keeps a slot and a connection of the statement
until the route's time limit. A statement is overdue once it has waited for
longer than its target can plausibly take. Its slot is then given to others,
and a read is abandoned: its connection is closed, and the read may be sent
again.

Abandoning a read that a slow target still executes wastes the target's work,
so slow and lost responses are told apart in two ways. The threshold follows
the usual and the longest recent response time, both of which include the
target's own queue. And a target that queues statements answers them roughly
in the order in which they were sent; as long as it has answered nothing that
was sent later, the threshold is several times as long.

The load this addresses is a target that loses a fifth of its responses, or
all responses on some of its connections. The module does no I/O and does not
read the clock.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "Overdue",
    "OverdueStatistics",
    "ResponseTimes",
    "StillExpected",
    "Verdict",
    "judge_response",
    "should_abandon",
]

# Lower bound of the threshold in seconds. A response that was delayed by a
# lost packet or by a busy VM arrives within this time.
MIN_THRESHOLD = 0.15
# The threshold is at least these multiples of the usual response time and of
# the longest recent one. Statements that take long, but regularly, are rare
# enough to leave the usual time unchanged, and show only in the latter.
USUAL_FACTOR = 6.0
PEAK_FACTOR = 1.5
# Factor of the threshold while nothing sent later has been answered.
NOT_OVERTAKEN_FACTOR = 4.0
# Fraction of the threshold after which a statement is judged again that only
# lacks the answer to a later one.
RECHECK_FRACTION = 0.25
# Assumed response time of a target that was never used, in seconds.
INITIAL_RESPONSE_TIME = 0.02
SMOOTHING = 0.1
# Seconds in which the weight of a long response time halves. A statement that
# takes long and comes every second keeps the threshold above its own time,
# since PEAK_FACTOR outweighs one second of it. One stall of a target should
# not prevent the detection of lost responses for longer than needed for that.
PEAK_HALF_LIFE = 2.0
# Seconds between two log lines about one target.
LOG_INTERVAL = 1.0


@dataclass(slots=True, kw_only=True)
class ResponseTimes:
    """How long a target takes for statements, in seconds.

    Only reads on connections of this VM count. The time of a forwarded one
    includes the queue of its holder, and a write may wait for a lock of a
    transaction whose own response was lost. Refusals do not count: a target
    whose queue is full refuses at once. `newest_answered` is when the last
    sent of all answered statements was sent.
    """

    usual: float = INITIAL_RESPONSE_TIME
    newest_answered: float = -1e9
    _peak: float = 0.0
    _peak_at: float = 0.0

    def record_response(
        self, *, sent_at: float, now: float, is_read: bool
    ) -> None:
        """Record the response to a statement."""
        self.newest_answered = max(self.newest_answered, sent_at)
        if is_read:
            self._add(now - sent_at, now)

    def record_overdue(self, *, sent_at: float, now: float) -> bool:
        """Record an overdue read; return whether the times were raised.

        It counts as a response that took this long, unless later statements
        were answered: then the response is probably lost and says nothing
        about the target's speed. If it counted, a target that loses a fifth
        of its responses would raise the threshold, which is a multiple of the
        usual time, without bound.
        """
        if self.is_overtaken(sent_at):
            return False
        self._add(now - sent_at, now)
        return True

    def is_overtaken(self, sent_at: float) -> bool:
        """Return whether a statement that was sent later was answered."""
        return self.newest_answered > sent_at

    def threshold(self, now: float) -> float:
        """Return the seconds that the target can plausibly take."""
        return max(
            MIN_THRESHOLD,
            USUAL_FACTOR * self.usual,
            PEAK_FACTOR * self._peak_now(now),
        )

    def _add(self, seconds: float, now: float) -> None:
        self.usual += SMOOTHING * (seconds - self.usual)
        if seconds >= self._peak_now(now):
            self._peak, self._peak_at = seconds, now

    def _peak_now(self, now: float) -> float:
        age = max(0.0, now - self._peak_at)
        return self._peak * 0.5 ** (age / PEAK_HALF_LIFE)


@dataclass(slots=True, kw_only=True)
class OverdueStatistics:
    """Counts of overdue statements and abandoned reads of a target."""

    overdue: int = 0
    abandoned: int = 0
    _log_at: float = -1e9

    def is_log_due(self, now: float) -> bool:
        """Return whether to log a line; at most one per interval."""
        if now < self._log_at:
            return False
        self._log_at = now + LOG_INTERVAL
        return True


@dataclass(frozen=True, slots=True, kw_only=True)
class StillExpected:
    """The response may still come; judge again after `recheck_in` seconds.

    None means that the statement reaches its time limit before. A statement
    beyond the threshold does not keep its slot: if all slots were kept,
    nothing would be sent later whose answer shows that responses are lost.
    """

    recheck_in: float | None
    keeps_slot: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Overdue:
    """The target can't plausibly take so long."""


Verdict = StillExpected | Overdue


def judge_response(
    times: ResponseTimes, *, sent_at: float, now: float, deadline: float
) -> Verdict:
    """Decide whether the response to a sent statement is overdue."""
    threshold = times.threshold(now)
    due_at = sent_at + threshold
    if now < due_at:
        return _expected_until(due_at, now, deadline)
    if times.is_overtaken(sent_at):
        return Overdue()
    due_at = sent_at + NOT_OVERTAKEN_FACTOR * threshold
    if now >= due_at:
        return Overdue()
    recheck_at = min(due_at, now + RECHECK_FRACTION * threshold)
    return _expected_until(recheck_at, now, deadline, keeps_slot=False)


def _expected_until(
    at: float, now: float, deadline: float, *, keeps_slot: bool = True
) -> StillExpected:
    return StillExpected(
        recheck_in=at - now if at < deadline else None, keeps_slot=keeps_slot
    )


def should_abandon(
    *,
    is_read: bool,
    in_transaction: bool,
    is_needed: bool,
    was_abandoned: bool,
    remaining: float,
    usual: float,
) -> bool:
    """Decide whether to close the connection of an overdue statement.

    A write may have taken effect, and a transaction ends with its connection,
    so both keep it. A read is abandoned once at most: otherwise a slow target
    executes it again and again. It also waits on if the `remaining` seconds
    are too few for another attempt. A read whose response is not needed any
    more is always abandoned, since it is not sent again.
    """
    if in_transaction or not is_read:
        return False
    if not is_needed:
        return True
    return not was_abandoned and remaining > usual
