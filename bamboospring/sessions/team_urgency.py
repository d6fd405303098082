"""Decide which operations of a team at its limit run first.

Load: a team sends 4 to 8 times its limit in routes of several urgencies.
Without urgency, tokens go to whoever asks first, so that payments are refused
as often as lookups.

A VM that counts keeps the last tokens of a bucket for more urgent operations:
less urgent ones get a token only above a floor. Under overload they keep the
bucket at that floor, so the more urgent find tokens there at once, and the
less urgent get what the rate leaves. The floor follows what the more urgent
have lately asked for; a team without urgent operations has none.
Tokens are only ever taken from the same bucket, so no window grants more than
without urgency.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import math

from bamboospring.sessions.team_quota import TokenBucket

__all__ = [
    "CLASS_COUNT",
    "ReturnTimes",
    "UrgencyAllowance",
    "UrgencyReserve",
    "max_retry_after",
    "urgency_class",
]

# Routes of urgency 0 and 1 have classes of their own; all others are one.
CLASS_COUNT = 3
# Tokens are kept for what the more urgent ask for in this many seconds, the
# objective of the most urgent routes. In the replay, 1 s left 0.82 of the
# lookups of a team that sends just its limit, where 0.2 s leaves 0.97; with
# 0.1 s, 0.03 of the payments are refused at first at 4 times the limit.
RESERVE_SECONDS = 0.2
# The floor of the least urgent is at most this fraction of the bucket, that of
# the class before half of it: a team below its limit keeps a burst for all.
MAX_RESERVE_FRACTION = 2 / 3
# Seconds over which demand is averaged. A route of one operation a second
# still has a floor then.
DEMAND_SECONDS = 2.0
# Less demand than this counts as none: one operation is forgotten after 4.6 s.
MIN_DEMAND = 0.1
# The fraction of a rate that delays assume for the less urgent at least.
MIN_RATE_FRACTION = 0.1
# A retry delay is at most this many times the objective of the operation, and
# at most this many seconds.
MAX_OBJECTIVES = 4
MAX_RETRY_AFTER = 2.0


def urgency_class(urgency: int) -> int:
    """Return the class of a route's urgency, 0 for the most urgent."""
    return max(0, min(CLASS_COUNT - 1, urgency))


def max_retry_after(objective: float) -> float:
    """Return the maximum retry delay of an operation of an objective."""
    return min(MAX_OBJECTIVES * objective, MAX_RETRY_AFTER)


@dataclass(frozen=True, slots=True, kw_only=True)
class UrgencyAllowance:
    """The number of granted operations, the most urgent first.

    The others should be retried after the delay of their class.
    """

    count: int
    retry_after: tuple[float, ...] = (0.0,) * CLASS_COUNT


def _zeros() -> list[float]:
    return [0.0] * CLASS_COUNT


def _never() -> list[float]:
    return [-1e9] * CLASS_COUNT


@dataclass(slots=True, kw_only=True)
class UrgencyReserve:
    """What a VM that counts keeps of a team's bucket for urgent operations."""

    _demand: list[float] = field(default_factory=_zeros)
    _updated_at: float = -1e9
    _reserved_until: list[float] = field(default_factory=_never)

    def take(
        self,
        bucket: TokenBucket,
        wanted: Sequence[int],
        parts: int,
        now: float,
    ) -> UrgencyAllowance:
        """Take tokens for operations, counted by class.

        The requester asks each of the `parts` of the limit for what another
        one has refused, so a refused operation reserves a fraction of a token
        in each.
        """
        self._record_demand(wanted, now)
        count, delays = 0, _zeros()
        for urgency, number in enumerate(wanted):
            taken = bucket.take_above(self.floor(bucket, urgency), number, now)
            count += taken
            if taken < number:
                missing = (number - taken) / parts
                delays[urgency] = self._reserve(bucket, urgency, missing, now)
        return UrgencyAllowance(count=count, retry_after=tuple(delays))

    def floor(self, bucket: TokenBucket, urgency: int) -> float:
        """Return the number of tokens that are kept from a class."""
        kept = math.ceil(self._rate_above(urgency) * RESERVE_SECONDS)
        share = MAX_RESERVE_FRACTION * urgency / (CLASS_COUNT - 1)
        # A full bucket always has a token for everybody.
        return max(0.0, min(kept, share * bucket.size, bucket.size - 1))

    def _record_demand(self, wanted: Sequence[int], now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        decay = math.exp(-elapsed / DEMAND_SECONDS)
        decayed = [demand * decay for demand in self._demand]
        self._demand = [
            (demand if demand >= MIN_DEMAND else 0.0) + number
            for demand, number in zip(decayed, wanted)
        ]
        self._updated_at = now

    def _rate_above(self, urgency: int) -> float:
        """Return how many more urgent operations arrive in a second."""
        return sum(self._demand[:urgency]) / DEMAND_SECONDS

    def _reserve(
        self, bucket: TokenBucket, urgency: int, missing: float, now: float
    ) -> float:
        """Return the retry delay of a class and reserve tokens for it."""
        if bucket.rate <= 0:
            return MAX_RETRY_AFTER
        left = bucket.rate - self._rate_above(urgency)
        rate = max(left, MIN_RATE_FRACTION * bucket.rate)
        lacking = self.floor(bucket, urgency) + 1 - bucket.tokens
        starts_at = min(
            max(
                now + max(0.0, lacking) / rate,
                *self._reserved_until[: urgency + 1],
            ),
            now + MAX_RETRY_AFTER,
        )
        self._reserved_until[urgency] = starts_at + missing / rate
        return starts_at - now


@dataclass(slots=True, kw_only=True)
class ReturnTimes:
    """When the refused callers of a team at one VM should return.

    Callers that are refused without a question to another VM get successive
    times as well. Each VM spreads its own over the team's rate: if all of
    `vm_count` VMs do so, callers return at that rate.
    """

    _next_at: list[float] = field(default_factory=_never)

    def reserve(
        self,
        urgency: int,
        capacity_at: float,
        *,
        longest: float,
        rate: float,
        vm_count: int,
        now: float,
    ) -> float:
        """Return the retry delay of a caller, after the more urgent ones.

        `capacity_at` is when its class has a token, according to the VMs that
        count; the delay is at most `longest`.
        """
        at = max(capacity_at, now, *self._next_at[: urgency + 1])
        at = min(at, now + longest)
        step = vm_count / rate if rate > 0 else longest
        self._next_at[urgency] = at + step
        return at - now
