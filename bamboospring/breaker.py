"""Whether a target is tried at all, and how much it gets after a gap.

This judges targets, not connections. One connection may be dead while the
target is well: only a failure to open a new one counts here. While the
circuit is open new work is refused at once; after a pause that doubles with
each failure one single trial goes through. A target that comes back, or has
just become primary, starts with a part of its slots: its caches are cold, and
all the work that waited meanwhile would fall on it in one moment.

Nothing here does I/O, asks for the time or draws random numbers.
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
    """Times in seconds; `failures` in a row open the circuit."""

    failures: int = 2
    first_pause: float = 0.1
    max_open_duration: float = 2.0
    slow_start: float = 1.0
    first_part: float = 0.34


@dataclass(slots=True, kw_only=True)
class Breaker:
    """The circuit of one target."""

    timing: BreakerTiming = BreakerTiming()
    circuit: Circuit = Circuit.CLOSED
    failures: int = 0
    retry_at: float = NEVER
    _started_at: float = NEVER

    def may_try(self, now: float) -> bool:
        """Tell whether it makes sense to wait for a new connection.

        While a trial is under way nobody joins it: a trial hangs for its
        whole timeout if the target is still out of reach.
        """
        match self.circuit:
            case Circuit.CLOSED:
                return True
            case Circuit.OPEN:
                return now >= self.retry_at
            case Circuit.HALF_OPEN:
                return False

    def may_open(self, now: float) -> bool:
        """Tell whether a new connection may be tried now.

        In an open circuit whose pause is over this takes the one trial.
        """
        match self.circuit:
            case Circuit.CLOSED:
                return True
            case Circuit.OPEN if now >= self.retry_at:
                self.circuit = Circuit.HALF_OPEN
                return True
            case _:
                return False

    def answered(self, now: float) -> None:
        """Note that the target has answered an opening.

        It may have allowed the connection, or have said that it has no place
        for one. A trial that ends so and is not noted would be the last: no
        other is let through while one is under way.
        """
        if self.circuit is not Circuit.CLOSED:
            self.start_slowly(now)
        self.circuit = Circuit.CLOSED
        self.failures = 0

    def failed(self, now: float, *, draw: float) -> None:
        """Note that none could be opened; `draw` is from 0 up to 1.

        The draw spreads the trials of several holders over half the pause.
        """
        self.failures += 1
        if self.failures < self.timing.failures:
            return
        doublings = min(self.failures - self.timing.failures, 16)
        pause = min(
            self.timing.max_open_duration,
            self.timing.first_pause * 2**doublings,
        )
        self.circuit = Circuit.OPEN
        self.retry_at = now + pause * (1 + draw / 2)

    def start_slowly(self, now: float) -> None:
        """Begin with a part of the slots, as for a new primary."""
        self._started_at = now

    def slots(self, share: int, now: float) -> int:
        """Return how many of the slots may be used now, at least one."""
        age = (now - self._started_at) / self.timing.slow_start
        if age >= 1 or share <= 1:
            return share
        first = self.timing.first_part
        return max(1, math.ceil(share * (first + (1 - first) * age)))
