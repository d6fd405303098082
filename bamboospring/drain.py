"""Graceful shutdown on SIGTERM, without cutting requests.

First the process announces that it leaves. It is no longer ready, so the load
balancer sends callers elsewhere. Peers are notified, so entries send their
statements to other holders. As a holder it refuses new work as not run, which
an entry then sends to another holder at once. Each answer closes its
connection. The process continues to listen in this phase, because the load
balancer notices only after a while. Then it waits for work in progress,
refuses what still arrives over open connections, and exits.
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
from bamboospring.outcomes import Reason
from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor
from bamboospring.responses import not_begun

__all__ = [
    "Drain",
    "DrainPhase",
    "DrainPlan",
    "begins_requests",
    "drain_phase",
]

CHECK_INTERVAL = 0.05
# Seconds between the last message to peers and the exit: statements that an
# entry sent before it received that message have then arrived and been refused
# as not run.
FAREWELL_DELAY = 0.3
SIGNALS = (signal.SIGTERM, signal.SIGINT)


class DrainPhase(Enum):
    """The phase of a shutdown."""

    NOTICE = "notice"
    FINISHING = "finishing"
    FAREWELL = "farewell"


@dataclass(frozen=True, slots=True, kw_only=True)
class DrainPlan:
    """The times of a shutdown, in seconds.

    For `notice_period` seconds the process still accepts connections. Idle
    connections of callers are kept for another `idle_grace` seconds: closing
    one at the instant at which its caller sends would cut that request. After
    `max_duration` seconds the process exits in any case.
    """

    started_at: float
    notice_period: float
    idle_grace: float
    max_duration: float


def drain_phase(
    plan: DrainPlan, *, now: float, work: int, connections: int
) -> DrainPhase:
    """Return the phase, given the work in progress and open connections."""
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


def begins_requests(plan: DrainPlan, now: float) -> bool:
    """Return whether requests over open connections are still handled."""
    return now - plan.started_at < plan.notice_period + plan.idle_grace


class Drain(BaseComponent):
    """End the process gracefully on SIGTERM, and at once on a second one.

    Components that must hand work over do so on `drain_started` and register
    it with `wait_for`; the process does not exit before it is done.
    """

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        peers: Peers,
        callers: HttpServer,
        notice_period: float,
        idle_grace: float,
        max_duration: float,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._callers = callers
        self._notice_period = notice_period
        self._idle_grace = idle_grace
        self._max_duration = max_duration
        self._plan: DrainPlan | None = None
        self._work: dict[str, Callable[[], int]] = {}
        self.wait_for("callers", lambda: callers.in_flight_count)

    def wait_for(self, name: str, count: Callable[[], int]) -> None:
        """Delay the exit until `count` returns 0."""
        self._work[name] = count

    def begin(self) -> None:
        """Start the shutdown, unless it has started already."""
        if self._plan is not None:
            return
        self._plan = DrainPlan(
            started_at=self._reactor.now(),
            notice_period=self._notice_period,
            idle_grace=self._idle_grace,
            max_duration=self._max_duration,
        )
        self._board.draining = True
        self._callers.draining = True
        self.fire(drain_started())
        self._notify_peers()
        logs.log_event("drain_started", work=self._pending_work())
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
            work=sum(self._pending_work().values()),
            connections=len(self._callers.connections),
        )
        if phase is not DrainPhase.NOTICE and self._take_waiting_callers():
            # Their first requests are read before any is refused.
            self._reactor.call_later(CHECK_INTERVAL, self._check)
            return
        is_ending = phase is DrainPhase.FAREWELL
        if is_ending or not begins_requests(self._plan, self._reactor.now()):
            self._callers.refusal = not_begun(Reason.DRAINING)
        if phase is DrainPhase.FAREWELL:
            self._notify_peers()
            self._reactor.call_later(FAREWELL_DELAY, self._end)
        else:
            self._reactor.call_later(CHECK_INTERVAL, self._check)

    def _take_waiting_callers(self) -> bool:
        """Close the listener; return whether connections waited in it."""
        count = len(self._callers.connections)
        self._callers.listener.drain()
        return len(self._callers.connections) > count

    def _end(self) -> None:
        assert self._plan is not None
        remaining = self._pending_work()
        elapsed = self._reactor.now() - self._plan.started_at
        level = (
            logs.Level.WARNING if any(remaining.values()) else logs.Level.INFO
        )
        logs.log_event(
            "drain_ended", level=level, seconds=elapsed, work=remaining
        )
        self._callers.drain()
        self._peers.close()
        self.root.stop()

    def _pending_work(self) -> dict[str, int]:
        return {name: count() for name, count in self._work.items()}

    def _notify_peers(self) -> None:
        message = new_envelope()
        heartbeat = message.init("heartbeat")
        heartbeat.vm = self._board.local_vm.name
        heartbeat.draining = True
        self._peers.broadcast(message)
