"""How long an answer is worth waiting for, by those that came.

The load that it answers: a platform that carries writes out and loses their
answers. A caller that waits for a fixed second, where answers take 4 ms, asks
again a second late; a lease is lost by two such waits, and a change of primary
stands still for each. A fixed short time would fail all calls of a platform
that is slow. So the limit follows what is seen, and grows while nothing is.

Nothing here does I/O or asks for the time.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

__all__ = ["AdaptiveTimeout"]

# So many of the last answers are looked at, and the limit is so many times
# the slowest of them: answers of one platform vary by less.
LOOKED_AT = 8
TIMES_SLOWEST = 3.0


@dataclass(slots=True, kw_only=True)
class AdaptiveTimeout:
    """The seconds that the last answers took, and what was lost since.

    `least` is the shortest limit, which also is the first.
    """

    min_timeout: float
    _last: deque[float] = field(
        default_factory=lambda: deque(maxlen=LOOKED_AT)
    )
    _lost: int = 0

    def record_answer(self, seconds: float) -> None:
        """Note an answer."""
        self._last.append(seconds)
        self._lost = 0

    def record_timeout(self) -> None:
        """Note a call without an answer; the next is given twice as long."""
        self._lost += 1

    def timeout(self, max_timeout: float) -> float:
        """Return how long to wait for the next answer, `most` at most."""
        slowest = max(self._last, default=0.0)
        usual = max(self.min_timeout, TIMES_SLOWEST * slowest)
        # Bounded, because a long outage must not overflow the power.
        return min(max_timeout, usual * 2.0 ** min(self._lost, 16))
