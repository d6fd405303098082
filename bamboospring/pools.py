"""All pools of a process, one for each life of a target."""

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
    """All pools of this process, made when first asked for."""

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
        self._chance = random_float
        self._pools: dict[tuple[str, str, int], Pool[LinkT]] = {}

    def start(self) -> None:
        """Begin to check pools at each interval."""
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
        score: LinkScore[LinkT] | None = None,
    ) -> PendingAcquire:
        """Ask for a connection to a target on behalf of a caller.

        `writes` is true for what may wait for a lock at the target; the
        connection is one of the caller's `team`; the lowest `urgency` goes
        first; of idle connections the one of the highest `merit` is given.
        """
        return self.pool(target).acquire(
            caller,
            deadline,
            on_ready,
            is_write=is_write,
            team=team,
            urgency=urgency,
            score=score,
        )

    def release(
        self, leased: LeasedConnection[LinkT], *, healthy: bool
    ) -> None:
        """Give a connection back."""
        self.pool(leased.target).release(leased, healthy=healthy)

    def release_slot(self, leased: LeasedConnection[LinkT]) -> None:
        """Give a transaction's slot back between its statements."""
        self.pool(leased.target).release_slot(leased)

    def reacquire_slot(
        self,
        leased: LeasedConnection[LinkT],
        deadline: float,
        caller: str,
        on_ready: OnReady,
    ) -> None:
        """Get a slot for a transaction's next statement."""
        pool = self.pool(leased.target)
        pool.reacquire_slot(leased, caller, deadline, on_ready)

    def pool(self, target: Target) -> Pool[LinkT]:
        """Return the pool of a target.

        Addresses are used again, and a target that has started anew keeps
        nothing of its old connections, so each life has a pool of its own.
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
                random_float=self._chance,
            )
        return found

    def all(self) -> list[Pool[LinkT]]:
        """Return all pools."""
        return list(self._pools.values())
