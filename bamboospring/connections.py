"""Track the connections to one target and decide when to open or close one.

A connection can be dead while new ones work: a middlebox between the two ends
drops its state, and no data arrives on it any more. So idle connections are
checked at an interval, and one without a recent response is checked before it
is used. New connections are opened one after the other with a jittered delay,
even after many were lost at once. Otherwise all holders would open all their
connections at the same moment, and each opening costs the target some time.

This module does no I/O and uses neither the clock nor random numbers.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

__all__ = ["ConnectionTiming", "ConnectionTracker"]

NEVER = -1e9
# Multiple of the usual interval after which the next connection is opened at a
# target that had none left. Other holders free theirs only when a statement
# ends, so trying sooner is useless.
FULL_INTERVAL_FACTOR = 8


class TrackedConnection(Protocol):
    """The attributes of a connection that this module uses."""

    last_response_at: float
    last_used_at: float
    team: str


T = TypeVar("T", bound=TrackedConnection)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionTiming:
    """Durations in seconds.

    `open_interval` is the usual time between two openings. For
    `unconfirmed_close_timeout` an unresponsive connection counts as open at a
    target that does not confirm its end. For `scarcity_duration` a target
    counts as full after it has refused a connection.
    A connection is closed when it is unused for `idle_timeout`; at a target
    that was full recently, for `scarce_idle_timeout`, because others wait for
    it. Of the idle connections all but a few are closed after
    `spare_idle_timeout`.
    """

    open_interval: float = 0.02
    heartbeat_interval: float = 1.0
    heartbeat_timeout: float = 1.0
    unconfirmed_close_timeout: float = 60.0
    scarcity_duration: float = 5.0
    idle_timeout: float = float("inf")
    scarce_idle_timeout: float = float("inf")
    spare_idle_timeout: float = float("inf")


@dataclass(slots=True, kw_only=True)
class ConnectionTracker(Generic[T]):
    """The connections of one pool: opening, idle, under check and in use."""

    timing: ConnectionTiming = field(default_factory=ConnectionTiming)
    limit: int = 0
    opening: int = 0
    open: int = 0
    _idle: list[T] = field(default_factory=list)
    _next_open_at: float = NEVER
    _unconfirmed_closed_at: list[float] = field(default_factory=list)
    _full_until: float = NEVER
    # Overrides `ConnectionTiming.idle_timeout` unless it is None.
    idle_timeout: float | None = None
    # How many connections, the last used ones, get the full idle timeout. All
    # others are closed after `ConnectionTiming.spare_idle_timeout`.
    max_kept_idle: int = 1

    @property
    def total(self) -> int:
        """Return the number of open connections and of those being opened."""
        return self.opening + self.open

    @property
    def idle(self) -> int:
        """Return how many are neither in use nor under check."""
        return len(self._idle)

    def set_limit(self, limit: int) -> list[T]:
        """Apply a new limit; return idle connections to close."""
        self.limit = limit
        closed = []
        while self._idle and self.total > limit:
            closed.append(self._idle.pop(0))
            self.open -= 1
        return closed

    def lease_idle(
        self,
        now: float,
        team: str = "",
        score: Callable[[Any], int] | None = None,
    ) -> T | None:
        """Take the team's last used idle connection with a recent response.

        With `score`, take the connection with the highest score; among equals
        the last used one.
        """
        oldest = now - 2 * self.timing.heartbeat_interval
        candidates = [
            conn
            for conn in reversed(self._idle)
            if conn.team == team and conn.last_response_at >= oldest
        ]
        if not candidates:
            return None
        best = candidates[0] if score is None else max(candidates, key=score)
        self._idle.remove(best)
        return best

    def take_oldest_idle(self, spared: Collection[str]) -> T | None:
        """Remove the least recently used idle connection, to close it.

        Connections of the teams in `spared` are kept.
        """
        others = [conn for conn in self._idle if conn.team not in spared]
        if not others:
            return None
        oldest = min(others, key=lambda conn: conn.last_used_at)
        self._idle.remove(oldest)
        self.open -= 1
        return oldest

    def give_back(self, conn: T) -> bool:
        """Return a connection to the idle ones; False if it must be closed."""
        if self.total > self.limit:
            self.open -= 1
            return False
        self._idle.append(conn)
        return True

    def record_lost(self, *, unresponsive_at: float | None = None) -> None:
        """Record the end of a connection that was in use or under check.

        `unresponsive_at` is set if it was closed because no data arrived.
        """
        self.open -= 1
        if unresponsive_at is not None:
            self._unconfirmed_closed_at.append(unresponsive_at)

    def record_target_closed(self, count: int) -> None:
        """Record that the target has closed `count` unresponsive ones."""
        del self._unconfirmed_closed_at[:count]

    def open_delay(self, now: float, missing: int) -> float | None:
        """Return the seconds until one may be opened, None if none may.

        `missing` is how many are needed, including those being opened.
        """
        if self.opening >= missing or self.total >= self.limit:
            return None
        if self.total > 0 and self._count_at_target(now) >= self.limit:
            return None
        return max(0.0, self._next_open_at - now)

    def _count_at_target(self, now: float) -> int:
        # The target still counts a connection whose state a middlebox has
        # dropped, because it does not see the close. With the whole share
        # open besides, the target would exceed its limit and refuse further
        # connections. One connection is always allowed, because otherwise
        # nothing could run.
        oldest = now - self.timing.unconfirmed_close_timeout
        self._unconfirmed_closed_at = [
            at for at in self._unconfirmed_closed_at if at > oldest
        ]
        return self.total + len(self._unconfirmed_closed_at)

    def record_opening(self, now: float, *, draw: float) -> None:
        """Record that one is being opened; `draw` is random in [0, 1)."""
        self.opening += 1
        self._next_open_at = now + self.timing.open_interval * (0.5 + draw)

    def record_target_full(
        self, now: float, *, replacing: bool = False
    ) -> None:
        """Record that the target allows no more connections.

        With `replacing`, one of this pool's is being closed for another.
        """
        self._full_until = now + self.timing.scarcity_duration
        if replacing:
            return
        self._next_open_at = max(
            self._next_open_at,
            now + FULL_INTERVAL_FACTOR * self.timing.open_interval,
        )

    def is_scarce(self, now: float) -> bool:
        """Return whether the target was recently out of connections."""
        return now < self._full_until

    def add_opened(self, conn: T) -> bool:
        """Add a new connection; return False if it must be closed."""
        self.opening -= 1
        self.open += 1
        return self.give_back(conn)

    def record_open_failed(self) -> None:
        """Record that a connection could not be opened."""
        self.opening -= 1

    def take_due_for_check(self, now: float) -> list[T]:
        """Remove and return the idle connections that are due for a check."""
        oldest = now - self.timing.heartbeat_interval
        due = [conn for conn in self._idle if conn.last_response_at <= oldest]
        self._idle = [
            conn for conn in self._idle if conn.last_response_at > oldest
        ]
        return due

    def take_expired(self, now: float) -> list[T]:
        """Remove and return the idle connections that are to be closed."""
        timing = self.timing
        limit = (
            timing.idle_timeout
            if self.idle_timeout is None
            else self.idle_timeout
        )
        if self.is_scarce(now):
            limit = min(limit, timing.scarce_idle_timeout)
        by_use = sorted(self._idle, key=lambda conn: conn.last_used_at)
        spare = max(0, len(by_use) - self.max_kept_idle)
        limits = [min(limit, timing.spare_idle_timeout)] * spare
        limits += [limit] * (len(by_use) - spare)
        expired = [
            conn
            for conn, longest in zip(by_use, limits)
            if conn.last_used_at < now - longest
        ]
        for conn in expired:
            self._idle.remove(conn)
        self.open -= len(expired)
        return expired

    def require_idle_checks(self) -> None:
        """Require a check of all idle connections before their next use."""
        for conn in self._idle:
            conn.last_response_at = NEVER

    def take_all_idle(self) -> list[T]:
        """Remove and return all idle connections, to close them."""
        taken, self._idle = self._idle, []
        self.open -= len(taken)
        return taken
