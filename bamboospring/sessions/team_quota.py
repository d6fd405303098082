"""How many operations of each team one VM may let in.

The load that it answers: a team that sends many times what it may, through
callers at all VMs. Each availability zone has one VM that counts for a team,
with an equal part of the team's limit. That VM keeps a token bucket: over any
span of time it lets in no more than the rate allows, and the burst once.

A VM that lost its counts by a restart must not let a burst in a second time.
So a bucket that has just been made holds next to nothing, whatever its size:
what the former bucket let in and what this one does stay within one bucket's
bound. What operators tolerate beyond a limit is divided between larger buckets
and these first tokens.

Pure decisions; times are passed in.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from bamboospring.sessions.model import Team

__all__ = ["Allowance", "TeamQuotas", "QuotaTolerance", "TokenBucket"]

# The parts of the tolerance by which buckets are larger, and which a new one
# holds. A VM may start twice within a window.
BUCKET_SIZE_FRACTION = 0.45
INITIAL_TOKENS_FRACTION = 0.25
# A part of less could never let anything in.
MIN_BUCKET_SIZE = 1.0
# The longest time that a caller is told to wait, in seconds: the limit may
# rise, and callers that come back too late use nothing of it.
MAX_RETRY_AFTER = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Allowance:
    """How many operations may run; others should wait `retry_after` s."""

    count: int
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class QuotaTolerance:
    """By how much a limit may be passed in any `window` of seconds.

    In that time a team may run `overage` more of what it may, as a fraction,
    and `slack` operations besides.
    """

    window: float = 5.0
    overage: float = 0.0
    slack: float = 0.0

    def excess_operations(self, rate: float, burst: float) -> float:
        """Return how many operations a window may have beyond a limit."""
        return self.overage * (rate * self.window + burst) + self.slack


@dataclass(slots=True, kw_only=True)
class TokenBucket:
    """Fills by `rate` tokens a second up to `size`."""

    rate: float
    size: float
    tokens: float
    refilled_at: float
    # Refused callers are told to come back one after the other.
    reserved_until: float = -1e9

    def set_limits(self, rate: float, size: float, now: float) -> None:
        """Take other limits from now on; a smaller bucket spills."""
        self._refill(now)
        self.rate = rate
        self.size = size
        self.tokens = min(self.tokens, size)

    def take(self, wanted: int, now: float) -> Allowance:
        """Take up to so many tokens."""
        self._refill(now)
        count = min(wanted, int(self.tokens))
        self.tokens -= count
        if count == wanted:
            return Allowance(count=count)
        return Allowance(
            count=count, retry_after=self._reserve(wanted - count, now)
        )

    def return_tokens(self, count: int, now: float) -> None:
        """Put tokens back that nothing ran for."""
        self._refill(now)
        self.tokens = min(self.size, self.tokens + count)

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.size, self.tokens + elapsed * self.rate)
        self.refilled_at = max(now, self.refilled_at)

    def _reserve(self, missing: int, now: float) -> float:
        """Return when the tokens of the last of the refused are there."""
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
        """Let up to `wanted` operations in; the limit has so many parts."""
        if team.rate is None:
            return Allowance(count=wanted)
        return self._bucket(team, team.rate, parts, now).take(wanted, now)

    def teams(self) -> list[str]:
        """Return the teams that have a bucket here."""
        return list(self._buckets)

    def forget(self, team: str) -> None:
        """Drop a team's bucket: another VM counts for it."""
        self._buckets.pop(team, None)

    def return_operations(self, team: str, count: int, now: float) -> None:
        """Take back what was let in and did not run."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.return_tokens(count, now)

    def _bucket(
        self, team: Team, rate: float, parts: int, now: float
    ) -> TokenBucket:
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
