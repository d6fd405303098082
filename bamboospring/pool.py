"""Statement connections to targets, within this holder's share."""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass

import orjson

from bamboospring.blackboard import Target
from bamboospring.http_codec import HttpAnswer
from bamboospring.http_codec import HttpConnection
from bamboospring.http_codec import HttpLost
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer

__all__ = ["Leased", "Pool", "Pools"]

CONNECT_TIMEOUT = 1.0
MAX_QUEUE = 64


@dataclass(slots=True, kw_only=True, eq=False)
class Leased:
    """A statement connection in the hands of one statement."""

    target: Target
    conn: HttpConnection


OnReady = Callable[[Leased | NotRun | Overloaded], None]


@dataclass(slots=True, kw_only=True, eq=False)
class _Waiting:
    on_ready: OnReady
    timer: Timer


class Pool:
    """The connections of one holder to one target."""

    def __init__(
        self, *, reactor: Reactor, target: Target, vm: str, share: int
    ) -> None:
        self._reactor = reactor
        self._target = target
        self._vm = vm
        self._share = share
        self._idle: list[Leased] = []
        self._open = 0
        self._queue: deque[_Waiting] = deque()

    def acquire(self, deadline: float, on_ready: OnReady) -> None:
        """Call back with a connection, or with why there is none."""
        if len(self._queue) >= MAX_QUEUE:
            on_ready(Overloaded(reason=Reason.QUEUE_FULL, retry_after_ms=100))
            return
        waiting = _Waiting(
            on_ready=on_ready,
            timer=self._reactor.call_later(
                max(0.0, deadline - self._reactor.now()),
                lambda: self._give_up(waiting),
            ),
        )
        self._queue.append(waiting)
        self._serve()

    def release(self, leased: Leased, *, healthy: bool) -> None:
        """Give a connection back; one in doubt is closed."""
        if healthy and leased.conn.usable:
            self._idle.append(leased)
        else:
            self._open -= 1
            leased.conn.close()
        self._serve()

    def _give_up(self, waiting: _Waiting) -> None:
        self._queue.remove(waiting)
        waiting.on_ready(
            Overloaded(reason=Reason.DEADLINE, retry_after_ms=100)
        )

    def _serve(self) -> None:
        while self._queue and self._idle:
            leased = self._idle.pop()
            if not leased.conn.usable:
                self._open -= 1
                continue
            self._hand(leased)
        if self._queue and self._open < self._share:
            self._open += 1
            self._connect()

    def _hand(self, leased: Leased) -> None:
        waiting = self._queue.popleft()
        waiting.timer.cancel()
        waiting.on_ready(leased)

    def _connect(self) -> None:
        conn = HttpConnection(
            reactor=self._reactor, address=self._target.address
        )

        def opened(ok: bool) -> None:
            if not ok:
                self._failed()
                return
            body = orjson.dumps({"id": 0, "holder": self._vm})
            conn.request("POST", "/connect", body, CONNECT_TIMEOUT, answered)

        def answered(answer: HttpAnswer | HttpLost) -> None:
            if isinstance(answer, HttpLost) or answer.status != 200:
                conn.close()
                self._failed()
                return
            self._idle.append(Leased(target=self._target, conn=conn))
            self._serve()

        conn.connect(CONNECT_TIMEOUT, opened)

    def _failed(self) -> None:
        self._open -= 1
        if self._queue:
            waiting = self._queue.popleft()
            waiting.timer.cancel()
            waiting.on_ready(
                NotRun(reason=Reason.TARGET_UNREACHABLE, retry_after_ms=100)
            )
        self._serve()


class Pools:
    """All pools of this process, made when first asked for."""

    def __init__(self, *, reactor: Reactor, vm: str) -> None:
        self._reactor = reactor
        self._vm = vm
        self._pools: dict[str, Pool] = {}

    def acquire(
        self, target: Target, deadline: float, caller: str, on_ready: OnReady
    ) -> None:
        """Ask for a connection to a target on behalf of a caller."""
        self._pool(target).acquire(deadline, on_ready)

    def release(self, leased: Leased, *, healthy: bool) -> None:
        """Give a connection back."""
        self._pool(leased.target).release(leased, healthy=healthy)

    def _pool(self, target: Target) -> Pool:
        found = self._pools.get(target.address)
        if found is None:
            share = max(1, target.slots // 3)
            found = self._pools[target.address] = Pool(
                reactor=self._reactor,
                target=target,
                vm=self._vm,
                share=share,
            )
        return found
