"""Leave without cutting a request: the graceful shutdown on SIGTERM.

First the process says that it leaves: it is not ready any more, so that the
balancer sends callers elsewhere; peers are told, so that entries send their
statements to other holders; as a holder it refuses new work as not run, which
an entry takes to another holder at once; each answer closes its connection.
It goes on listening meanwhile, because the balancer takes a while to notice.
Then it waits for what is under way and ends.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
import signal
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import handler

from bamboospring.blackboard import Blackboard
from bamboospring.events import drain_started
from bamboospring.http_server import HttpServer
from bamboospring import logs
from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor

__all__ = ["Drain", "DrainPlan", "DrainPhase", "drain_phase"]

CHECK_INTERVAL = 0.05
# Between the last word to the peers and the end: whatever an entry has sent
# before it heard that word has then arrived and been refused as not run.
FAREWELL = 0.3
SIGNALS = (signal.SIGTERM, signal.SIGINT)


class DrainPhase(Enum):
    """How far a shutdown has come."""

    NOTICE = "notice"
    FINISHING = "finishing"
    FAREWELL = "farewell"


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainPlan:
    """The times of a shutdown, in seconds.

    For `notice` seconds the process goes on taking connections. Callers'
    connections on which nothing happens are kept for `patience` seconds
    more: closing one at the instant at which its caller sends would cut that
    request. After `limit` seconds it ends in any case.
    """

    started_at: float
    notice_period: float
    idle_grace: float
    max_duration: float


def drain_phase(
    plan: DrainPlan, *, now: float, work: int, connections: int
) -> DrainPhase:
    """Return the phase for what is under way and still connected."""
    elapsed = now - plan.started_at
    if elapsed >= plan.max_duration:
        return DrainPhase.FAREWELL
    if elapsed < plan.notice_period:
        return DrainPhase.NOTICE
    if work > 0:
        return DrainPhase.FINISHING
    if connections > 0 and elapsed < plan.notice_period + plan.idle_grace:
        return DrainPhase.FINISHING
    return DrainPhase.FAREWELL


class Drain(BaseComponent):
    """End the process gracefully on SIGTERM, at once on a second one.

    Components that have something to hand over do it on `drain_started` and
    name it with `wait_for`; the process then stays until it is done.
    """

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        peers: Peers,
        callers: HttpServer,
        notice: float,
        patience: float,
        limit: float,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._callers = callers
        self._notice = notice
        self._patience = patience
        self._limit = limit
        self._plan: DrainPlan | None = None
        self._work: dict[str, Callable[[], int]] = {}
        self.wait_for("callers", lambda: callers.busy)

    def wait_for(self, name: str, count: Callable[[], int]) -> None:
        """Stay until `count` returns 0."""
        self._work[name] = count

    def begin(self) -> None:
        """Start the shutdown; does nothing when it is under way."""
        if self._plan is not None:
            return
        self._plan = DrainPlan(
            started_at=self._reactor.now(),
            notice_period=self._notice,
            idle_grace=self._patience,
            max_duration=self._limit,
        )
        self._board.draining = True
        self._callers.draining = True
        self.fire(drain_started())
        self._tell_peers()
        logs.log_event("drain_started", work=self._counts())
        self._reactor.call_later(CHECK_INTERVAL, self._check)

    @handler("signal", channel="*")
    def _on_signal(self, number: int, _frame: Any) -> None:
        if number not in SIGNALS:
            return
        if self._plan is None:
            self.begin()
        else:
            self.root.stop()

    def _check(self) -> None:
        assert self._plan is not None
        phase = drain_phase(
            self._plan,
            now=self._reactor.now(),
            work=sum(self._counts().values()),
            connections=len(self._callers.connections),
        )
        if phase is not DrainPhase.NOTICE:
            self._callers.listener.drain()
        if phase is DrainPhase.FAREWELL:
            self._tell_peers()
            self._reactor.call_later(FAREWELL, self._end)
        else:
            self._reactor.call_later(CHECK_INTERVAL, self._check)

    def _end(self) -> None:
        assert self._plan is not None
        left = self._counts()
        took = self._reactor.now() - self._plan.started_at
        level = logs.Level.WARNING if any(left.values()) else logs.Level.INFO
        logs.log_event("drain_ended", level=level, seconds=took, work=left)
        self._callers.drain()
        self._peers.close()
        self.root.stop()

    def _counts(self) -> dict[str, int]:
        return {name: count() for name, count in self._work.items()}

    def _tell_peers(self) -> None:
        message = new_envelope()
        heartbeat = message.init("heartbeat")
        heartbeat.vm = self._board.local_vm.name
        heartbeat.draining = True
        self._peers.broadcast(message)
