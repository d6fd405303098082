"""How many statements one process keeps under way at a target.

The load that it answers: several processes that share the slots of a target
and know nothing of each other. What finds no slot is refused by the target
and has to be sent again; with all of them sending as much as they have, most
of what a busy target does is to refuse. So each of them sends less at once
after a refusal and slowly more while none comes, as senders on a network do,
and what has to wait waits in its own queue, in order.

No I/O here, no clock and no randomness.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ConcurrencyLimit"]

# After a refusal this part of the limit is left.
DECREASE = 0.7
# Refusals within so many seconds tell of one moment and lower the limit once.
ONE_MOMENT = 0.03
# Seconds without a refusal after which nothing is left of the last one. Else a
# limit that is lowered and then not used would stay low for good.
FORGOTTEN_AFTER = 1.0


@dataclass(slots=True, kw_only=True)
class ConcurrencyLimit:
    """A limit between 1 and `most`; it begins at `most`.

    Nothing is left of a refusal after `forgotten_after` seconds.
    """

    maximum: int
    forgotten_after: float = FORGOTTEN_AFTER
    _value: float = 0.0
    _lowered_at: float = -1e9

    def __post_init__(self) -> None:
        self._value = float(self.maximum)

    def allowed(self, now: float) -> int:
        """Return how many may be under way."""
        if now - self._lowered_at > self.forgotten_after:
            self._value = float(self.maximum)
        return max(1, min(self.maximum, int(self._value)))

    def set_maximum(self, most: int) -> None:
        """Take another upper bound."""
        if most > self.maximum:
            self._value += most - self.maximum
        self.maximum = most

    def record_success(self) -> None:
        """Note that one was run: by one more after as many as it allows."""
        self._value = min(float(self.maximum), self._value + 1 / self._value)

    def record_refusal(self, now: float) -> None:
        """Note that the target had no slot."""
        if now - self._lowered_at >= ONE_MOMENT:
            self._lowered_at = now
            self._value = max(1.0, self._value * DECREASE)
