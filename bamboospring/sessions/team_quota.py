"""Limit the operations of each team that one VM grants.

This protects against a team that sends many times its limit through callers at
all VMs. Each availability zone has one VM that counts for a team, with an
equal part of the team's limit. That VM keeps a token bucket: over any span of
time it grants no more than the rate allows, plus the burst once.

A VM that lost its counts in a restart must not grant a burst a second time. So
a new bucket starts almost empty, whatever its size: the old bucket and the new
one together stay within the bound of one bucket. The tolerance beyond a limit
that operators allow is divided between larger buckets and these initial
tokens.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from bamboospring.sessions.model import Team

__all__ = ["Allowance", "QuotaTolerance", "TeamQuotas", "TokenBucket"]

# The fractions of the tolerance by which buckets are enlarged, and with which
# a new bucket starts. A VM may start twice within a window.
BUCKET_SIZE_FRACTION = 0.45
INITIAL_TOKENS_FRACTION = 0.25
# A smaller bucket could never hold a whole token.
MIN_BUCKET_SIZE = 1.0
# Maximum retry delay for callers, in seconds: the limit may be raised
# meanwhile, and callers that retry too late leave it unused.
MAX_RETRY_AFTER = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Allowance:
    """The number of granted operations.

    The others should be retried after `retry_after` seconds.
    """

    count: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTolerance:
    """By how much a limit may be exceeded in any `window` of seconds.

    In that time, a team may run the fraction `overage` more than its limit,
    plus `slack` operations.
    """

    window: float = 5.0
    overage: float = 0.0
    slack: float = 0.0

    def excess_operations(self, rate: float, burst: float) -> float:
        """Return how many operations beyond a limit a window may have."""
        return self.overage * (rate * self.window + burst) + self.slack


@dataclass(slots=True, kw_only=True)
class TokenBucket:
    """A bucket that gains `rate` tokens a second up to `size`."""

    rate: float
    size: float
    tokens: float
    refilled_at: float
    # Retry delays are staggered so that refused callers retry one after
    # another.
    reserved_until: float = -1e9

    def set_limits(self, rate: float, size: float, now: float) -> None:
        """Apply new limits; tokens beyond a smaller size are lost."""
        self._refill(now)
        self.rate = rate
        self.size = size
        self.tokens = min(self.tokens, size)

    def take(self, wanted: int, now: float) -> Allowance:
        """Take up to `wanted` tokens."""
        self._refill(now)
        count = min(wanted, int(self.tokens))
        self.tokens -= count
        if count == wanted:
            return Allowance(count=count)
        return Allowance(
            count=count, retry_after=self._reserve(wanted - count, now)
        )

    def take_above(self, floor: float, wanted: int, now: float) -> int:
        """Take up to `wanted` tokens, leaving `floor`; return how many."""
        self._refill(now)
        count = max(0, min(wanted, int(self.tokens - floor)))
        self.tokens -= count
        return count

    def return_tokens(self, count: int, now: float) -> None:
        """Return tokens of operations that did not run."""
        self._refill(now)
        self.tokens = min(self.size, self.tokens + count)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.size, self.tokens + elapsed * self.rate)
        self.refilled_at = max(now, self.refilled_at)

    def _reserve(self, missing: int, now: float) -> float:
        """Return the retry delay for `missing` tokens and reserve them."""
        if self.rate <= 0:
            return MAX_RETRY_AFTER
        first_token_at = now + max(0.0, 1 - self.tokens) / self.rate
        starts_at = min(
            max(first_token_at, self.reserved_until), now + MAX_RETRY_AFTER
        )
        self.reserved_until = starts_at + missing / self.rate
        return starts_at - now


@dataclass(slots=True, kw_only=True)
class TeamQuotas:
    """The buckets of the teams for which this VM counts."""

    tolerance: QuotaTolerance = QuotaTolerance()
    _buckets: dict[str, TokenBucket] = field(default_factory=dict)

    def grant(
        self, team: Team, wanted: int, *, parts: int, now: float
    ) -> Allowance:
        """Grant up to `wanted` operations of a limit divided into `parts`."""
        if team.rate is None:
            return Allowance(count=wanted)
        return self.bucket(team, team.rate, parts, now).take(wanted, now)

    def teams(self) -> list[str]:
        """Return the teams that have a bucket."""
        return list(self._buckets)

    def forget(self, team: str) -> None:
        """Drop a team's bucket: another VM counts for it."""
        self._buckets.pop(team, None)

    def return_operations(self, team: str, count: int, now: float) -> None:
        """Take back granted operations that did not run."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.return_tokens(count, now)

    def bucket(
        self, team: Team, rate: float, parts: int, now: float
    ) -> TokenBucket:
        """Return a team's bucket for one of the `parts` of its rate."""
        excess = self.tolerance.excess_operations(rate, team.burst) / parts
        rate = rate / parts
        size = team.burst / parts + BUCKET_SIZE_FRACTION * excess
        size = max(MIN_BUCKET_SIZE, size)
        found = self._buckets.get(team.name)
        if found is None:
            found = self._buckets[team.name] = TokenBucket(
                rate=rate,
                size=size,
                tokens=min(
                    size,
                    max(MIN_BUCKET_SIZE, INITIAL_TOKENS_FRACTION * excess),
                ),
                refilled_at=now,
            )
        elif (found.rate, found.size) != (rate, size):
            found.set_limits(rate, size, now)
        return found
