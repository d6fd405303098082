"""Limit how many statements one process has in flight at a target.

Several processes share the slots of a target without knowing of each other.
The target refuses a statement that finds no free slot, and it has to be sent
again. If all processes send as much as they have, a busy target spends most
of its work on refusals. So each process lowers its limit after a refusal and
raises it slowly while there is none (additive increase, multiplicative
decrease, as in congestion control). Statements beyond the limit wait in order
in the queue of their process.

This module does no I/O and uses neither the clock nor random numbers.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ConcurrencyLimit"]

# A refusal multiplies the limit by this factor.
DECREASE_FACTOR = 0.7
# Refusals within this many seconds have one cause and lower the limit once.
REFUSAL_WINDOW = 0.03
# Seconds without a refusal after which the limit is reset to its maximum.
# Without the reset a limit that was lowered and then not used would stay low.
RESET_AFTER = 1.0


@dataclass(slots=True, kw_only=True)
class ConcurrencyLimit:
    """A limit between 1 and `maximum`, which is also its initial value.

    It is reset to `maximum` after `reset_after` seconds without a refusal.
    """

    maximum: int
    reset_after: float = RESET_AFTER
    _value: float = 0.0
    _lowered_at: float = -1e9

    def __post_init__(self) -> None:
        self._value = float(self.maximum)

    def allowed(self, now: float) -> int:
        """Return how many statements may be in flight."""
        if now - self._lowered_at > self.reset_after:
            self._value = float(self.maximum)
        return max(1, min(self.maximum, int(self._value)))

    def set_maximum(self, maximum: int) -> None:
        """Set the upper bound."""
        if maximum > self.maximum:
            self._value += maximum - self.maximum
        self.maximum = maximum

    def record_success(self) -> None:
        """Raise the limit by one for every full limit of statements run."""
        self._value = min(float(self.maximum), self._value + 1 / self._value)

    def record_refusal(self, now: float) -> None:
        """Lower the limit because the target had no free slot."""
        if now - self._lowered_at >= REFUSAL_WINDOW:
            self._lowered_at = now
            self._value = max(1.0, self._value * DECREASE_FACTOR)
