"""Decide which work a VM still begins after it was told to stop.

    notice: the VM is not ready, and serves all that reaches it
    from `operations_end_at`: no session, statement or transaction begins
    from `transactions_end_at`: open transactions are rolled back
    from `exit_at`: what is left is answered, and the process exits

What has begun may so take until `exit_at`. The times are compared with the
clock whenever work arrives: after a pause of the process, sockets are read
before timers run.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StopPlan", "plan_stop"]

# Fractions of the grace time. Until the first, the platform may not have
# noticed that the VM is not ready, and still sends it callers.
OPERATIONS_END_FRACTION = 0.42
TRANSACTIONS_END_FRACTION = 0.5
EXIT_FRACTION = 0.88


@dataclass(frozen=True, slots=True, kw_only=True)
class StopPlan:
    """The times of a VM's shutdown, on the clock of its reactor."""

    started_at: float
    operations_end_at: float
    transactions_end_at: float
    exit_at: float

    def accepts_operations(self, now: float) -> bool:
        """Return whether a session, statement or transaction may begin."""
        return now < self.operations_end_at

    def accepts_transactions(self, now: float) -> bool:
        """Return whether transactions that are open may go on."""
        return now < self.transactions_end_at


def plan_stop(*, started_at: float, grace: float) -> StopPlan:
    """Return the times of a shutdown that may take `grace` seconds.

    >>> plan_stop(started_at=100.0, grace=6.0).transactions_end_at
    103.0
    """
    return StopPlan(
        started_at=started_at,
        operations_end_at=started_at + grace * OPERATIONS_END_FRACTION,
        transactions_end_at=started_at + grace * TRANSACTIONS_END_FRACTION,
        exit_at=started_at + grace * EXIT_FRACTION,
    )
