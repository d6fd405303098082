"""Ask targets for reports and give them control orders."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bamboospring.blackboard import Target
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.pool import LeasedConnection
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import AskReport
from bamboospring.sessions.ports import HoldTerm
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import ResumeReceiving
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import StepDown
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.proofs import TargetReport

__all__ = ["ControlOrder", "NoReport", "TargetControl"]

ControlOrder = AskReport | HoldTerm | ResumeReceiving | StepDown

# Control orders precede all statements.
CONTROL_URGENCY = -1
CONTROL_CALLER = "control"


@dataclass(frozen=True, slots=True, kw_only=True)
class NoReport:
    """No report was received.

    `refused` if no process listens at the target's address, `busy` if the
    target has answered that it has no slot or no place for a connection.
    """

    refused: bool = False
    busy: bool = False


OnReport = Callable[[TargetReport | NoReport], None]


class TargetControl:
    """Sends control orders over the pools' connections to targets."""

    def __init__(self, *, reactor: Reactor, pools: Pools[SessionLink]) -> None:
        self._reactor = reactor
        self._pools = pools

    def _no_report(self, target: Target, reason: Reason) -> NoReport:
        # A target that has no place for a connection has answered so. If this
        # counted as no response, a primary that is only busy would be
        # replaced.
        busy = reason is Reason.TARGET_CONNECTIONS
        refused = self._pools.pool(target).refused_since is not None
        return NoReport(refused=refused and not busy, busy=busy)

    def unanswered_since(self, target: Target) -> float | None:
        """Return since when this VM has had no response from a target."""
        return self._pools.pool(target).unanswered_since

    def refused_since(self, target: Target) -> float | None:
        """Return since when a target's machine has refused connections."""
        return self._pools.pool(target).refused_since

    def ask(
        self,
        group: SessionGroup,
        name: str,
        order: ControlOrder,
        timeout: float,
        on_report: OnReport,
    ) -> None:
        """Send an order to one target; call back once.

        The callback is called within about `timeout` seconds.
        """
        listed = group.targets.get(name)
        if listed is None:
            self._reactor.call_later(0, lambda: on_report(NoReport()))
            return
        target = listed.target
        started_at = self._reactor.now()

        def on_leased(
            leased: LeasedConnection[SessionLink] | NotRun | Overloaded,
        ) -> None:
            if not isinstance(leased, LeasedConnection):
                on_report(self._no_report(target, leased.reason))
                return
            sent_at = self._reactor.now()
            remaining = max(0.05, started_at + timeout - sent_at)
            leased.conn.send(
                [order], remaining, lambda r: on_result(leased, sent_at, r)
            )

        def on_result(
            leased: LeasedConnection[SessionLink],
            sent_at: float,
            result: list[TargetReply] | LinkLost,
        ) -> None:
            lost = isinstance(result, LinkLost)
            self._pools.release(leased, healthy=not lost)
            if isinstance(result, LinkLost):
                on_report(NoReport())
                return
            now = self._reactor.now()
            group.observed_target(name).last_response_at = now
            reply = result[0]
            if reply.position is not None:
                group.record_position(name, reply.position, sent_at, now)
            if reply.report is None:
                on_report(NoReport(busy=True))
                return
            on_report(reply.report)

        self._pools.acquire(
            target,
            started_at + timeout,
            CONTROL_CALLER,
            on_leased,
            urgency=CONTROL_URGENCY,
        )
