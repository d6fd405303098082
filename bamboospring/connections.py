"""How many connections to a target are open, and when one is opened.

A connection can be dead while new ones work: something between the two ends
has lost track of it, and nothing is ever heard on it again. So idle ones are
checked at an interval, and one that was silent too long is checked before it
is used. New ones are opened one after the other, a jittered pause apart, also
when many have been lost at once: otherwise all holders would open all their
connections in one moment, and each takes a while of the target's time.

No I/O here, no clock and no randomness.
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
# A target that had no connection left is asked again after so many times the
# usual pause: others give theirs up when their statement ends, not sooner.
FULL_PAUSE = 8


class Heard(Protocol):
    """A connection as far as this module needs it."""

    last_response_at: float
    last_used_at: float
    team: str


T = TypeVar("T", bound=Heard)


@dataclass(frozen=True, slots=True, kw_only=True)
class ConnectionTiming:
    """Times in seconds.

    `pace` is the usual time between two openings, `forgotten` how long a
    connection that went silent counts as open at a target that does not
    confirm its end, `scarce` how long a target that was full counts as such.
    A connection that was not used for `idle` is closed, at a target that was
    full lately after `idle_scarce`: others wait for it. Of those that rest
    all but a few are closed after `idle_spare` already.
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
    """The connections of one pool: opening, idle, checked and in use."""

    timing: ConnectionTiming = field(default_factory=ConnectionTiming)
    limit: int = 0
    opening: int = 0
    open: int = 0
    _idle: list[T] = field(default_factory=list)
    _next_open_at: float = NEVER
    _silent: list[float] = field(default_factory=list)
    _full_until: float = NEVER
    # How long connections may rest; None: as the timing says.
    idle_timeout: float | None = None
    # How many of them may rest for so long; those used last.
    max_kept_idle: int = 1

    @property
    def total(self) -> int:
        """Return all that count at the target, also those being opened."""
        return self.opening + self.open

    @property
    def idle(self) -> int:
        """Return how many are neither used nor checked."""
        return len(self._idle)

    def set_limit(self, limit: int) -> list[T]:
        """Take a new limit; returns idle connections to close."""
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
        """Take the team's idle connection used last, if heard lately.

        With `merit` the one of the highest merit is taken, of equals the
        one used last.
        """
        oldest = now - 2 * self.timing.heartbeat_interval
        fit = [
            conn
            for conn in reversed(self._idle)
            if conn.team == team and conn.last_response_at >= oldest
        ]
        if not fit:
            return None
        best = fit[0] if score is None else max(fit, key=score)
        self._idle.remove(best)
        return best

    def take_oldest_idle(self, spared: Collection[str]) -> T | None:
        """Take out the idle connection not used for longest, to close it.

        Those of `spared` teams stay.
        """
        others = [conn for conn in self._idle if conn.team not in spared]
        if not others:
            return None
        oldest = min(others, key=lambda conn: conn.last_used_at)
        self._idle.remove(oldest)
        self.open -= 1
        return oldest

    def give_back(self, conn: T) -> bool:
        """Put a connection back; False if it has to be closed."""
        if self.total > self.limit:
            self.open -= 1
            return False
        self._idle.append(conn)
        return True

    def lost(self, *, silent_at: float | None = None) -> None:
        """Note that a connection in use or under check has ended.

        With `silent_at` it was given up because nothing was heard on it.
        """
        self.open -= 1
        if silent_at is not None:
            self._silent.append(silent_at)

    def target_ended(self, count: int) -> None:
        """Note that the target has ended silent ones: they count no more."""
        del self._silent[:count]

    def open_delay(self, now: float, missing: int) -> float | None:
        """Return the seconds until one may be opened, None if none may.

        `missing` is how many are needed; those being opened count.
        """
        if self.opening >= missing or self.total >= self.limit:
            return None
        if self.total > 0 and self._with_silent(now) >= self.limit:
            return None
        return max(0.0, self._next_open_at - now)

    def _with_silent(self, now: float) -> int:
        # The target still counts a connection that something between has
        # forgotten; it has not seen it closed. With all of the share open
        # beside those, it would be over its limit and refuse the rest. One
        # connection is always allowed, or nothing could run at all.
        oldest = now - self.timing.unconfirmed_close_timeout
        self._silent = [at for at in self._silent if at > oldest]
        return self.total + len(self._silent)

    def record_opening(self, now: float, *, draw: float) -> None:
        """Note that one is being opened; `draw` is from 0 up to 1."""
        self.opening += 1
        self._next_open_at = now + self.timing.open_interval * (0.5 + draw)

    def record_target_full(
        self, now: float, *, place_left: bool = False
    ) -> None:
        """Note that the target itself allows no more connections now.

        With `place_left` one of ours is being closed for another.
        """
        self._full_until = now + self.timing.scarcity_duration
        if place_left:
            return
        self._next_open_at = max(
            self._next_open_at, now + FULL_PAUSE * self.timing.open_interval
        )

    def is_scarce(self, now: float) -> bool:
        """Tell whether the target's connections were used up lately."""
        return now < self._full_until

    def add_opened(self, conn: T) -> bool:
        """Take a new connection in; False if it has to be closed."""
        self.opening -= 1
        self.open += 1
        return self.give_back(conn)

    def open_failed(self) -> None:
        """Note that one could not be opened."""
        self.opening -= 1

    def take_due_for_check(self, now: float) -> list[T]:
        """Take out the idle connections that are to be checked now."""
        oldest = now - self.timing.heartbeat_interval
        due = [conn for conn in self._idle if conn.last_response_at <= oldest]
        self._idle = [
            conn for conn in self._idle if conn.last_response_at > oldest
        ]
        return due

    def take_expired(self, now: float) -> list[T]:
        """Take out the idle connections that are to be closed now."""
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
        out = [
            conn
            for conn, longest in zip(by_use, limits)
            if conn.last_used_at < now - longest
        ]
        for conn in out:
            self._idle.remove(conn)
        self.open -= len(out)
        return out

    def suspect_idle(self) -> None:
        """Have all idle connections checked before they are used."""
        for conn in self._idle:
            conn.last_response_at = NEVER

    def take_idle(self) -> list[T]:
        """Take out all idle connections for closing."""
        taken, self._idle = self._idle, []
        self.open -= len(taken)
        return taken
