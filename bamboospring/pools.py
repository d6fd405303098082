"""All connection pools of a process, one for each start of a target."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Generic

from bamboospring.blackboard import Target
from bamboospring.pool import DialerFactory
from bamboospring.pool import LeasedConnection
from bamboospring.pool import LinkScore
from bamboospring.pool import OnReady
from bamboospring.pool import PendingAcquire
from bamboospring.pool import Pool
from bamboospring.pool import PoolTiming
from bamboospring.reactor import Reactor
from bamboospring.shares import TargetCapacity
from bamboospring.target_link import LinkT

__all__ = ["Pools"]


class Pools(Generic[LinkT]):
    """All pools of this process, created on first use."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        make_dialer: DialerFactory[LinkT],
        queue_limit: int = 256,
        timing: PoolTiming | None = None,
        random_float: Callable[[], float] = random.random,
    ) -> None:
        self._reactor = reactor
        self._make_dialer = make_dialer
        self._queue_limit = queue_limit
        self._timing = timing or PoolTiming()
        self._random_float = random_float
        self._pools: dict[tuple[str, str, int], Pool[LinkT]] = {}

    def start(self) -> None:
        """Tick all pools at an interval and drop those that are unused."""
        for key, pool in list(self._pools.items()):
            pool.tick()
            if (
                pool.share == TargetCapacity()
                and pool.used == TargetCapacity()
            ):
                del self._pools[key]
        self._reactor.call_later(self._timing.tick_interval, self.start)

    def acquire(
        self,
        target: Target,
        deadline: float,
        caller: str,
        on_ready: OnReady[LinkT],
        *,
        is_write: bool = False,
        team: str = "",
        urgency: int = 0,
        objective_at: float | None = None,
        score: LinkScore[LinkT] | None = None,
    ) -> PendingAcquire:
        """Ask for a connection to a target on behalf of a caller.

        `is_write` is true for a statement that may wait for a lock at the
        target. The connection belongs to the caller's `team`. Requests with
        the lowest `urgency` are served first, and of these, the ones that can
        be answered by `objective_at`, if given. Of the idle connections, the
        one with the highest `score` is used.
        """
        return self.pool(target).acquire(
            caller,
            deadline,
            on_ready,
            is_write=is_write,
            team=team,
            urgency=urgency,
            objective_at=objective_at,
            score=score,
        )

    def release(
        self, leased: LeasedConnection[LinkT], *, healthy: bool
    ) -> None:
        """Return a connection to its pool."""
        self.pool(leased.target).release(leased, healthy=healthy)

    def release_slot(self, leased: LeasedConnection[LinkT]) -> None:
        """Release a transaction's slot between its statements."""
        self.pool(leased.target).release_slot(leased)

    def release_overdue_slot(
        self, leased: LeasedConnection[LinkT], *, in_transaction: bool
    ) -> None:
        """Release the slot of a statement whose response is overdue."""
        self.pool(leased.target).release_overdue_slot(
            leased, in_transaction=in_transaction
        )

    def reacquire_slot(
        self,
        leased: LeasedConnection[LinkT],
        deadline: float,
        caller: str,
        on_ready: OnReady,
        *,
        objective_at: float | None = None,
        at_once: bool = False,
    ) -> None:
        """Acquire a slot for a transaction's next statement."""
        pool = self.pool(leased.target)
        pool.reacquire_slot(
            leased,
            caller,
            deadline,
            on_ready,
            objective_at=objective_at,
            at_once=at_once,
        )

    def pool(self, target: Target) -> Pool[LinkT]:
        """Return the pool of a target.

        Addresses are reused, and a restarted target has none of its old
        connections, so each start of a target has its own pool.
        """
        key = (target.address, target.name, target.born)
        found = self._pools.get(key)
        if found is None:
            found = self._pools[key] = Pool(
                reactor=self._reactor,
                target=target,
                make_dialer=self._make_dialer,
                queue_limit=self._queue_limit,
                timing=self._timing,
                random_float=self._random_float,
            )
        return found

    def all(self) -> list[Pool[LinkT]]:
        """Return all pools."""
        return list(self._pools.values())
