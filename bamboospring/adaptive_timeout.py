"""Derive the timeout of a call from the durations of previous calls.

The platform may execute a write and lose the answer. With a fixed timeout of
one second, where answers take 4 ms, the retry comes a second late: two such
waits lose a lease, and a change of primary makes no progress during each. A
fixed short timeout would fail all calls when the platform is slow. So the
timeout follows the observed durations and doubles with each call without an
answer.

This module does no I/O and does not read the clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

__all__ = ["AdaptiveTimeout"]

# The timeout is `SLOWEST_FACTOR` times the slowest of the last `SAMPLE_COUNT`
# answers. The answer times of one platform vary by less than this factor.
SAMPLE_COUNT = 8
SLOWEST_FACTOR = 3.0


@dataclass(slots=True, kw_only=True)
class AdaptiveTimeout:
    """The durations of the last answers and the timeouts since, in seconds.

    `min_timeout` is the lower bound and the initial value.
    """

    min_timeout: float
    _durations: deque[float] = field(
        default_factory=lambda: deque(maxlen=SAMPLE_COUNT)
    )
    _timeouts: int = 0

    def record_answer(self, seconds: float) -> None:
        """Record an answer that took `seconds`."""
        self._durations.append(seconds)
        self._timeouts = 0

    def record_timeout(self) -> None:
        """Record a call without an answer; the next timeout is doubled."""
        self._timeouts += 1

    def timeout(self, max_timeout: float) -> float:
        """Return the timeout of the next call, at most `max_timeout`."""
        slowest = max(self._durations, default=0.0)
        usual = max(self.min_timeout, SLOWEST_FACTOR * slowest)
        # The exponent is bounded so that a long outage does not overflow.
        return min(max_timeout, usual * 2.0 ** min(self._timeouts, 16))
