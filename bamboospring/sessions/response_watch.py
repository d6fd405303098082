"""Watch sent statements for overdue responses.

The decisions are in `bamboospring.sessions.overdue`; this module sets the
timers, releases slots, and records what was observed. Without load control it
does nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bamboospring import logs
from bamboospring.pool import LeasedConnection
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.sessions.model import ObservedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.overdue import judge_response
from bamboospring.sessions.overdue import Overdue
from bamboospring.sessions.overdue import StillExpected
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import TargetReply

__all__ = ["ResponseWatch", "ResponseWatcher"]


def _do_nothing() -> None:
    """Leave an overdue statement to its time limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseWatcher:
    """Starts the watches of one VM's statements."""

    reactor: Reactor
    board: SessionBoard
    pools: Pools[SessionLink]

    def watch(
        self,
        leased: LeasedConnection[SessionLink],
        observed: ObservedTarget,
        deadline: float,
        *,
        is_read: bool,
        in_transaction: bool,
        on_overdue: Callable[[], None] = _do_nothing,
    ) -> ResponseWatch:
        """Watch what is being sent on a connection now.

        If it is overdue, its slot is released, and then `on_overdue` called.
        Only what `is_read` tells how long the target usually takes.
        """
        watch = ResponseWatch(
            watcher=self,
            leased=leased,
            observed=observed,
            sent_at=self.reactor.now(),
            deadline=deadline,
            is_read=is_read,
            in_transaction=in_transaction,
            on_overdue=on_overdue,
        )
        if self.board.load_control:
            watch.check()
        return watch


@dataclass(slots=True, kw_only=True, eq=False)
class ResponseWatch:
    """Watches one exchange with a target until its response or its end."""

    watcher: ResponseWatcher
    leased: LeasedConnection[SessionLink]
    observed: ObservedTarget
    sent_at: float
    deadline: float
    is_read: bool
    in_transaction: bool
    on_overdue: Callable[[], None]
    is_overdue: bool = False
    _is_active: bool = True
    _timer: Timer | None = None

    def check(self) -> None:
        """Judge the response, and again when the verdict may change."""
        reactor = self.watcher.reactor
        self._timer = None
        verdict = judge_response(
            self.observed.responses,
            sent_at=self.sent_at,
            now=reactor.now(),
            deadline=self.deadline,
        )
        match verdict:
            case Overdue():
                self._on_verdict_overdue(reactor.now())
            case StillExpected(recheck_in=seconds, keeps_slot=keeps_slot):
                if seconds is not None:
                    self._timer = reactor.call_later(seconds, self.check)
                if not keeps_slot:
                    self._release_slot()

    def stop(self) -> None:
        """End the watch: the exchange has ended or is abandoned."""
        self._is_active = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def on_unneeded(self) -> None:
        """Reconsider an overdue statement: nobody waits for it any more."""
        if self._is_active and self.is_overdue:
            self.on_overdue()

    def record_result(self, result: list[TargetReply] | LinkLost) -> None:
        """End the watch and record how long the target took."""
        self.stop()
        if isinstance(result, LinkLost) or result[0].refusal is not None:
            return
        self.observed.responses.record_response(
            sent_at=self.sent_at,
            now=self.watcher.reactor.now(),
            is_read=self.is_read,
        )

    def record_abandoned(self) -> None:
        """End the watch of a statement whose connection is being closed."""
        self.stop()
        self.observed.overdue.abandoned += 1

    def _on_verdict_overdue(self, now: float) -> None:
        self.is_overdue = True
        self.observed.record_overdue(
            sent_at=self.sent_at, now=now, is_read=self.is_read
        )
        self._log(now)
        self._release_slot()
        self.on_overdue()

    def _release_slot(self) -> None:
        self.watcher.pools.release_overdue_slot(
            self.leased, in_transaction=self.in_transaction
        )

    def _log(self, now: float) -> None:
        observed = self.observed
        if not observed.overdue.is_log_due(now):
            return
        logs.log_event(
            "responses_overdue",
            level=logs.Level.WARNING,
            target=self.leased.target.name,
            overdue=observed.overdue.overdue,
            abandoned=observed.overdue.abandoned,
            waited_ms=round((now - self.sent_at) * 1000),
            usual_ms=round(observed.responses.usual * 1000),
            threshold_ms=round(observed.responses.threshold(now) * 1000),
        )
