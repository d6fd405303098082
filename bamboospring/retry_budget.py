"""Keep retries a small share of first tries.

Without a bound each fault multiplies the load: every statement that fails is
sent again, the targets that are left get twice the work, and fail too.

Example: with `percent=10` a hundred first tries pay for ten retries.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget"]


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Counts first tries and the retries that they pay for.

    `reserve` retries can be saved up, and are there at the start: a quiet
    process may retry its only statement.
    """

    percent: float = 10.0
    reserve: float = 20.0
    _saved: float = -1.0

    def __post_init__(self) -> None:
        self._saved = self.reserve

    def record_first_attempt(self) -> None:
        """Note a statement that is sent for the first time."""
        self._saved = min(self.reserve, self._saved + self.percent / 100)

    def spend_retry(self) -> bool:
        """Take one retry from the budget; False if there is none left."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
