"""Limit retries to a small percentage of first attempts.

Without a limit each fault multiplies the load: every failed statement is sent
again, the remaining targets get twice the work, and fail too.

Example: with `percent=10` a hundred first attempts allow ten retries.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RetryBudget"]


@dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Credit first attempts and debit retries.

    The balance is at most `reserve` retries, which is also its initial value,
    so that a process with little load may retry its only statement.
    """

    percent: float = 10.0
    reserve: float = 20.0
    _balance: float = -1.0

    def __post_init__(self) -> None:
        self._balance = self.reserve

    def record_first_attempt(self) -> None:
        """Record a statement that is sent for the first time."""
        self._balance = min(self.reserve, self._balance + self.percent / 100)

    def spend_retry(self) -> bool:
        """Take one retry from the budget; return False if none is left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True
