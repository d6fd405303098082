"""A circuit breaker with slow start for each target.

The breaker is about targets, not connections. A connection can be dead while
its target is healthy, so only a failure to open a new connection counts.
While the circuit is open, new work is refused immediately. After a delay that
doubles with each failure, one trial opening is allowed. A target that
recovers, or that has just become primary, starts with a fraction of its
slots: its caches are cold, and all waiting statements would reach it at once.

This module does no I/O and uses neither the clock nor random numbers.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
import math

__all__ = ["Breaker", "BreakerTiming", "Circuit"]

NEVER = -1e9


class Circuit(Enum):
    """The state of a target's circuit."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


@dataclass(frozen=True, slots=True, kw_only=True)
class BreakerTiming:
    """Durations in seconds, and when the circuit opens.

    `failure_threshold` consecutive failures open the circuit.
    `slow_start_fraction` is the part of the slots at the start.
    """

    failure_threshold: int = 2
    min_open_duration: float = 0.1
    max_open_duration: float = 2.0
    slow_start_duration: float = 1.0
    slow_start_fraction: float = 0.34


@dataclass(slots=True, kw_only=True)
class Breaker:
    """The circuit breaker of one target."""

    timing: BreakerTiming = BreakerTiming()
    circuit: Circuit = Circuit.CLOSED
    failures: int = 0
    retry_at: float = NEVER
    _slow_start_at: float = NEVER

    def should_wait_for_open(self, now: float) -> bool:
        """Return whether a statement should wait for a new connection.

        No statement waits for a trial that is in flight, because the trial
        takes its whole timeout if the target is still unreachable.
        """
        match self.circuit:
            case Circuit.CLOSED:
                return True
            case Circuit.OPEN:
                return now >= self.retry_at
            case Circuit.HALF_OPEN:
                return False

    def allow_open(self, now: float) -> bool:
        """Return whether a new connection may be opened now.

        In an open circuit whose delay has passed, this uses up the one trial.
        """
        match self.circuit:
            case Circuit.CLOSED:
                return True
            case Circuit.OPEN if now >= self.retry_at:
                self.circuit = Circuit.HALF_OPEN
                return True
            case _:
                return False

    def record_success(self, now: float) -> None:
        """Record that the target has answered an opening.

        The target may have accepted the connection or refused it because of
        its limit. Both must be recorded: without it a trial counts as in
        flight forever, and no other trial is allowed.
        """
        if self.circuit is not Circuit.CLOSED:
            self.begin_slow_start(now)
        self.circuit = Circuit.CLOSED
        self.failures = 0

    def record_failure(self, now: float, *, draw: float) -> None:
        """Record a failed opening; `draw` is random in [0, 1).

        The draw spreads the trials of several holders over half the delay.
        """
        self.failures += 1
        if self.failures < self.timing.failure_threshold:
            return
        doublings = min(self.failures - self.timing.failure_threshold, 16)
        open_duration = min(
            self.timing.max_open_duration,
            self.timing.min_open_duration * 2**doublings,
        )
        self.circuit = Circuit.OPEN
        self.retry_at = now + open_duration * (1 + draw / 2)

    def begin_slow_start(self, now: float) -> None:
        """Start with a fraction of the slots, as for a new primary."""
        self._slow_start_at = now

    def allowed_slots(self, share: int, now: float) -> int:
        """Return how many slots of a share may be used, at least one."""
        age = (now - self._slow_start_at) / self.timing.slow_start_duration
        if age >= 1 or share <= 1:
            return share
        first = self.timing.slow_start_fraction
        return max(1, math.ceil(share * (first + (1 - first) * age)))
