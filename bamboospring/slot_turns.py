"""Let other processes have a turn at the slots of a shared target.

Load: several processes have statements for all slots of one target, and the
target has no queue of its own or it is full. Whoever has a slot learns first
that it is free and takes it again with its next statement. The others, which
ask at intervals, would find it taken for as long as that queue lasts, even for
their most urgent statements. So a process that has met contention waits before
it sends some of its statements, for as long as others need to ask once.

This module does no I/O and uses neither the clock nor random numbers.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SlotTurns"]

# Seconds that others need to ask again: the interval of the most urgent ones
# and a round trip.
TURN_DURATION = 0.004
# Seconds since the last refusal for which contention is assumed. A process
# that has all slots is not refused, so this is longer than a queue lasts.
CONTENTION_DURATION = 5.0
# One of so many statements waits, divided by the urgency: the most urgent ones
# never do, and the free slots cost a few percent of the capacity.
STATEMENTS_PER_TURN = 4


@dataclass(slots=True, kw_only=True)
class SlotTurns:
    """The turns that one process leaves to others at one target."""

    _refused_at: float = -1e9
    _sent: float = 0.0

    def record_refusal(self, now: float) -> None:
        """Record that the target had no free slot."""
        self._refused_at = now

    def delay(self, urgency: int, now: float) -> float:
        """Return how many seconds to wait before sending a statement."""
        if now - self._refused_at > CONTENTION_DURATION:
            return 0.0
        self._sent += max(0, urgency) / STATEMENTS_PER_TURN
        if self._sent < 1:
            return 0.0
        self._sent = max(0.0, min(1.0, self._sent - 1))
        return TURN_DURATION
