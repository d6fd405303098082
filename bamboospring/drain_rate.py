"""Estimate how fast a queue serves each urgency, and stagger retries.

With several urgencies in one queue, the number of tickets ahead says little
about the wait of a less urgent one: more urgent tickets that arrive later
overtake it. What is observable is the interval between the grants of tickets
of one urgency. It also includes what else slows the queue down: other
processes that share the target, and its refusals.

For example, of 220 statements a second 200 are more urgent. A ticket of the
least urgent kind with ten of its kind ahead waits half a second, not 50 ms.

A statement whose response is lost keeps its slot until it is overdue. If all
slots are kept so, nothing is granted until then. This time does not enter the
intervals: it ends when the slots are given back.

This module does no I/O and uses neither the clock nor random numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

__all__ = ["DrainRates", "MAX_RETRY_DELAY", "RetryReservations"]

# Weight of the newest interval in the moving average. Ten grants span less
# than the shortest objective at the rates for which queues are needed.
INTERVAL_SMOOTHING = 0.1
# Seconds without a waiting ticket after which a measured interval is
# forgotten: it described an overload that has ended.
FORGET_AFTER = 1.0
# Maximum retry delay in seconds. Queues are shorter than the time limits of
# their statements, so a later time only leaves slots unused.
MAX_RETRY_DELAY = 2.0
# Number of reservations above which those in the past are dropped.
MAX_RESERVATIONS = 64


@dataclass(slots=True, kw_only=True)
class _UrgencyRate:
    """The grants of one urgency.

    `last_at` is the time of the last grant, or since when tickets wait.
    """

    interval: float
    last_at: float


@dataclass(slots=True, kw_only=True)
class DrainRates:
    """Intervals between the grants of queued tickets, by urgency.

    `_resumed_at` is the time of the last grant of any urgency, or when slots
    were given back whose statements had no response.
    """

    _rates: dict[int, _UrgencyRate] = field(default_factory=dict)
    _resumed_at: float = -1e9

    def record_first_queued(
        self, urgency: int, now: float, *, usual: float
    ) -> None:
        """Record that a ticket waits and that no other of its urgency does.

        `usual` is the interval to begin with.
        """
        rate = self._rates.get(urgency)
        if rate is None or now - rate.last_at > FORGET_AFTER:
            self._rates[urgency] = _UrgencyRate(interval=usual, last_at=now)
        else:
            rate.last_at = now

    def record_granted(self, urgency: int, now: float) -> None:
        """Record a queued ticket that got a slot."""
        rate = self._rates.get(urgency)
        if rate is not None:
            rate.interval = _smooth(rate.interval, now - rate.last_at)
            rate.last_at = now
        self._resumed_at = now

    def record_overdue_slot(self, now: float) -> None:
        """Record that a statement without a response gave its slot back.

        The time since the last grant of any urgency is left out of all
        intervals: it says nothing about the grants that follow.
        """
        for rate in self._rates.values():
            rate.last_at += max(0.0, now - max(rate.last_at, self._resumed_at))
        self._resumed_at = now

    def interval(
        self, urgency: int, now: float, *, usual: float, is_waiting: bool
    ) -> float:
        """Return the seconds between two grants of tickets of an urgency.

        While a ticket waits, the time since the last grant counts as well.
        """
        rate = self._rates.get(urgency)
        if rate is None:
            return usual
        elapsed = now - rate.last_at
        if is_waiting:
            return max(rate.interval, _smooth(rate.interval, elapsed))
        return usual if elapsed > FORGET_AFTER else rate.interval


def _smooth(interval: float, newest: float) -> float:
    return interval + INTERVAL_SMOOTHING * (newest - interval)


@dataclass(slots=True, kw_only=True)
class RetryReservations:
    """Retry times of refused callers, by urgency.

    Those refused in succession get successive times, at the rate at which the
    queue serves their urgency, and after those of more urgent ones. A caller
    that was refused because of its own part of the queue has a succession of
    its own: one that sends many times its part must not delay the others.
    """

    _reserved_until: dict[tuple[str, int], float] = field(default_factory=dict)

    def reserve(
        self, urgency: int, interval: float, now: float, *, caller: str = ""
    ) -> float:
        """Return after how many seconds a refused caller may retry."""
        if len(self._reserved_until) >= MAX_RESERVATIONS:
            self._forget_past(now)
        reserved = [
            until
            for (each, other), until in self._reserved_until.items()
            if each == caller and other <= urgency
        ]
        retry_at = max([now, *reserved]) + interval
        retry_at = min(retry_at, now + MAX_RETRY_DELAY)
        self._reserved_until[caller, urgency] = retry_at
        return retry_at - now

    def _forget_past(self, now: float) -> None:
        self._reserved_until = {
            key: until
            for key, until in self._reserved_until.items()
            if until > now
        }
