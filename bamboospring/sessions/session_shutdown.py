"""Shut down a VM with sessions without interrupting statements.

The process reports at once that it is not ready, so that the platform sends
new connections to other VMs; the platform needs two readiness checks to
notice. Idle sessions are disconnected a few at a time, because callers that
all reconnect elsewhere at once would overload the other VMs. Sessions in use
are left alone until the platform has had time to notice. From then on nothing
new begins (see `stop_plan`): a session is asked to go right after its answer,
and new sessions are refused. Sessions in a transaction have half of the grace
time to end it. What is unanswered at the exit is answered with what is known.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import handler

from bamboospring.drain import drain_phase
from bamboospring.drain import DrainPhase
from bamboospring.drain import DrainPlan
from bamboospring.drain import SIGNALS
from bamboospring import logs
from bamboospring.outcomes import Reason
from bamboospring.reactor import Reactor
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.platform_adapters import CallerListener
from bamboospring.sessions.session import Session
from bamboospring.sessions.stop_plan import plan_stop
from bamboospring.sessions.stop_plan import StopPlan

__all__ = [
    "SessionShutdown",
    "disconnect_count",
    "sessions_to_disconnect",
]

CHECK_INTERVAL = 0.05
# A session that was opened or answered less than this many seconds ago is in
# use: its next statement is probably on its way. It is not disconnected until
# IDLE_CLOSED_FRACTION of the grace time has passed; after that, every idle
# session is.
RECENT_USE = 0.3
IDLE_CLOSED_FRACTION = 0.40
# Seconds between the last answers and the exit. What callers send meanwhile,
# also over connections that have not been accepted yet, is refused.
LINGER_DURATION = 0.1
MAX_LOGGED_STATEMENTS = 20


def drain_plan(plan: StopPlan) -> DrainPlan:
    """Return the phases of a shutdown."""
    return DrainPlan(
        started_at=plan.started_at,
        notice_period=plan.operations_end_at - plan.started_at,
        idle_grace=plan.exit_at - plan.operations_end_at,
        max_duration=plan.exit_at - plan.started_at,
    )


def disconnect_count(
    idle_count: int, elapsed: float, grace: float, interval: float
) -> int:
    """Return how many idle sessions to disconnect now.

    They are spread evenly over the remaining time for it.
    """
    remaining = grace * IDLE_CLOSED_FRACTION - elapsed
    if remaining <= interval:
        return idle_count
    return -(-idle_count * interval // remaining).__int__()


def sessions_to_disconnect(
    sessions: Iterable[Session], *, elapsed: float, grace: float, now: float
) -> list[Session]:
    """Return the sessions to disconnect now, those idle longest first.

    Sessions in use are left alone until the final round. If they were
    disconnected between two statements, their callers would reconnect to this
    VM, which the platform still lists, set their values again, and be
    disconnected again. In a zone with one remaining VM, this refused one in
    ten operations during its shutdown.
    """
    idle = [s for s in sessions if s.is_idle and not s.disconnect_requested]
    idle.sort(key=lambda session: session.last_used_at)
    count = disconnect_count(len(idle), elapsed, grace, CHECK_INTERVAL)
    is_final = elapsed >= grace * IDLE_CLOSED_FRACTION
    min_idle = 0.0 if is_final else RECENT_USE
    return [s for s in idle[:count] if now - s.last_used_at >= min_idle]


class SessionShutdown(BaseComponent):
    """Shuts the process down on SIGTERM, immediately on a second one."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        callers: CallerListener,
        grace: float,
        blocking_count: Callable[[], int],
        end_held_transactions: Callable[[], None],
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._callers = callers
        self._grace = grace
        self._blocking_count = blocking_count
        self._end_held_transactions = end_held_transactions
        self._plan: StopPlan | None = None
        self._transactions_ended = False

    def begin(self) -> None:
        """Start the shutdown, unless it has already started."""
        if self._plan is not None:
            return
        self._plan = plan_stop(
            started_at=self._reactor.now(), grace=self._grace
        )
        self._board.stop_plan = self._plan
        logs.log_event("stopping", sessions=len(self._callers.sessions()))
        self._check()

    @handler("signal", channel="*")
    def _on_signal(self, number: int, _frame: Any) -> None:
        if number not in SIGNALS:
            return
        if self._plan is None:
            # Runs in a later turn of the event loop: the signal may have
            # interrupted any code.
            self._reactor.call_later(0, self.begin)
        else:
            self.root.stop()

    def _check(self) -> None:
        assert self._plan is not None
        now = self._reactor.now()
        elapsed = now - self._plan.started_at
        sessions = self._callers.sessions()
        self._disconnect_some(elapsed)
        if not self._plan.accepts_transactions(now):
            self._end_transactions()
        active_count = sum(not session.is_idle for session in sessions)
        phase = drain_phase(
            drain_plan(self._plan),
            now=now,
            work=active_count + self._blocking_count(),
            connections=len(sessions),
        )
        if phase is DrainPhase.FAREWELL:
            self._finish(elapsed)
            return
        self._reactor.call_later(CHECK_INTERVAL, self._check)

    def _disconnect_some(self, elapsed: float) -> None:
        sessions = sessions_to_disconnect(
            self._callers.sessions(),
            elapsed=elapsed,
            grace=self._grace,
            now=self._reactor.now(),
        )
        for session in sessions:
            session.request_disconnect()

    def _end_transactions(self) -> None:
        if self._transactions_ended:
            return
        self._transactions_ended = True
        for session in self._callers.sessions():
            session.abandon_transaction(Reason.DRAINING)
        self._end_held_transactions()

    def _finish(self, elapsed: float) -> None:
        unfinished = [s for s in self._callers.sessions() if not s.is_idle]
        logs.log_event(
            "stopped",
            level=logs.Level.WARNING if unfinished else logs.Level.INFO,
            seconds=elapsed,
            unfinished=len(unfinished),
        )
        for session in unfinished[:MAX_LOGGED_STATEMENTS]:
            self._log_unfinished(session)
        self._callers.listener.drain()
        for session in self._callers.sessions():
            session.end()
        self._reactor.call_later(LINGER_DURATION, self.root.stop)

    def _log_unfinished(self, session: Session) -> None:
        """Log when a session and its statement began, relative to the stop."""
        assert self._plan is not None
        started_at = self._plan.started_at
        tx, current = session.transaction, session.current
        logs.log_event(
            "unfinished_at_stop",
            level=logs.Level.WARNING,
            caller=session.caller,
            trace=current.id if current else "",
            received_after=current and current.received_at - started_at,
            transaction_after=tx and tx.started_at - started_at,
            session_after=session.opened_at - started_at,
        )
