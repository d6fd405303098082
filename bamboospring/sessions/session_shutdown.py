"""Leave without cutting a statement: the shutdown of a VM with sessions.

The process says at once that it is not ready, so that the platform sends new
connections elsewhere; that takes it two looks. Sessions at rest are closed a
few at a time: their callers reconnect elsewhere, and all at once would be a
herd. Those at work are left to it until the platform has had time to notice,
and sessions in a transaction have half of the time to end it.
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

__all__ = [
    "SessionShutdown",
    "sessions_to_disconnect",
    "plan_shutdown",
    "disconnect_count",
]

CHECK_INTERVAL = 0.05
# The parts of the grace time: the platform has noticed, sessions at rest are
# closed, open transactions are ended, the process has gone.
NOTICED = 0.42
# A session that was opened or answered less than so many seconds ago is at
# work: its next statement is likely on its way. It is spared until the last
# call, after which whatever rests is told to go.
AT_WORK = 0.3
RESTING_CLOSED = 0.40
TRANSACTIONS_END = 0.5
GONE = 0.88


def plan_shutdown(begun_at: float, grace: float) -> DrainPlan:
    """Return the times of a shutdown that has `grace` seconds."""
    return DrainPlan(
        started_at=begun_at,
        notice_period=grace * NOTICED,
        idle_grace=grace * (GONE - NOTICED),
        max_duration=grace * GONE,
    )


def disconnect_count(
    resting: int, elapsed: float, grace: float, interval: float
) -> int:
    """Return how many sessions at rest to close now.

    They are spread evenly over what is left of their time.
    """
    left = grace * RESTING_CLOSED - elapsed
    if left <= interval:
        return resting
    return -(-resting * interval // left).__int__()


def sessions_to_disconnect(
    sessions: Iterable[Session], *, elapsed: float, grace: float, now: float
) -> list[Session]:
    """Return the sessions to tell to go now, those at rest longest first.

    Those at work are spared until the last call. Told between two statements
    they would come back to this VM, which the platform still names to them,
    set their values anew, and be told again: in a zone with one VM left that
    was one in ten operations refused while it stopped.
    """
    resting = [s for s in sessions if s.is_idle and not s.disconnect_requested]
    resting.sort(key=lambda session: session.last_used_at)
    count = disconnect_count(len(resting), elapsed, grace, CHECK_INTERVAL)
    last_call = elapsed >= grace * RESTING_CLOSED
    spared = 0.0 if last_call else AT_WORK
    return [s for s in resting[:count] if now - s.last_used_at >= spared]


class SessionShutdown(BaseComponent):
    """Ends the process on SIGTERM, at once on a second one."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        callers: CallerListener,
        grace: float,
        held: Callable[[], int],
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._callers = callers
        self._grace = grace
        self._held = held
        self._plan: DrainPlan | None = None
        self._transactions_ended = False

    def begin(self) -> None:
        """Start the shutdown; does nothing when it is under way."""
        if self._plan is not None:
            return
        self._plan = plan_shutdown(self._reactor.now(), self._grace)
        self._board.draining = True
        logs.log_event("stopping", sessions=len(self._callers.sessions()))
        self._check()

    @handler("signal", channel="*")
    def _on_signal(self, number: int, _frame: Any) -> None:
        if number not in SIGNALS:
            return
        if self._plan is None:
            # In a later turn: the signal may have come amid anything.
            self._reactor.call_later(0, self.begin)
        else:
            self.root.stop()

    def _check(self) -> None:
        assert self._plan is not None
        now = self._reactor.now()
        elapsed = now - self._plan.started_at
        sessions = self._callers.sessions()
        self._close_some(elapsed)
        if elapsed >= self._grace * TRANSACTIONS_END:
            self._end_transactions()
        work = sum(not session.is_idle for session in sessions)
        phase = drain_phase(
            self._plan,
            now=now,
            work=work + self._held(),
            connections=len(sessions),
        )
        if phase is DrainPhase.FAREWELL:
            self._end(elapsed)
            return
        self._reactor.call_later(CHECK_INTERVAL, self._check)

    def _close_some(self, elapsed: float) -> None:
        chosen = sessions_to_disconnect(
            self._callers.sessions(),
            elapsed=elapsed,
            grace=self._grace,
            now=self._reactor.now(),
        )
        for session in chosen:
            session.request_disconnect()

    def _end_transactions(self) -> None:
        if self._transactions_ended:
            return
        self._transactions_ended = True
        for session in self._callers.sessions():
            session.abandon_transaction(Reason.DRAINING)

    def _end(self, elapsed: float) -> None:
        left = [s for s in self._callers.sessions() if not s.is_idle]
        logs.log_event(
            "stopped",
            level=logs.Level.WARNING if left else logs.Level.INFO,
            seconds=elapsed,
            unfinished=len(left),
        )
        self._callers.listener.close()
        self.root.stop()
