"""Return connections to their pools without open transactions."""

from __future__ import annotations

from bamboospring.pool import LeasedConnection
from bamboospring.pools import Pools
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import RollbackWork
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import TargetReply

__all__ = ["release_connection"]

# Seconds allowed for the rollback of a transaction that a caller has
# abandoned; without a reply by then, the connection is closed.
ROLLBACK_TIMEOUT = 1.0


def release_connection(
    pools: Pools[SessionLink], leased: LeasedConnection[SessionLink]
) -> None:
    """Return a connection to its pool, rolling back any transaction."""
    link = leased.conn
    if not link.usable:
        pools.release(leased, healthy=False)
        return
    if link.state is SessionState.IDLE:
        pools.release(leased, healthy=True)
        return

    def on_result(result: list[TargetReply] | LinkLost) -> None:
        has_reply = not isinstance(result, LinkLost)
        is_reusable = has_reply and link.state is SessionState.IDLE
        pools.release(leased, healthy=is_reusable)

    link.send([RollbackWork()], ROLLBACK_TIMEOUT, on_result)
