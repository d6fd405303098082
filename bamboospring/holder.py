"""The holder: runs statements at the targets of the groups it holds.

It owns the connections to the targets, picks the target, pins transactions
and passes a write's answer on only when a majority holds it. The work is
done by the runners for reads, writes and transactions; here they meet.
"""

from __future__ import annotations

from collections.abc import Callable
import secrets

from bamboospring.components import BaseComponent
from bamboospring.components import handler

from bamboospring.blackboard import Blackboard
from bamboospring.confirm import Confirmer
from bamboospring.events import group_doubted
from bamboospring.exchange import Exchange
from bamboospring.exchange import RETRY_SOON_MS
from bamboospring.flights import Flights
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Reason
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.reads import ReadRunner
from bamboospring.rendezvous import Placement
from bamboospring.retry_budget import RetryBudget
from bamboospring.statement_log import log_outcome
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.target_watcher import TargetWatcher
from bamboospring.tokens import TokenCodec
from bamboospring.transaction_runner import TransactionRunner
from bamboospring.writes import WriteRunner

__all__ = ["Holder"]

# A doubt makes somebody read the group's object. Many statements doubt at
# once while a primary changes; one doubt in this time is enough.
DOUBT_INTERVAL = 0.2
NUMBER_BITS = 60

OnOutcome = Callable[[Outcome], None]


class Holder(BaseComponent):
    """Run statements of held groups; each gets exactly one outcome."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        pools: Pools,
        watcher: TargetWatcher,
        codec: TokenCodec,
        transaction_idle_timeout: float,
        budget: RetryBudget | None = None,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._doubted_at: dict[str, float] = {}
        self._running = 0
        self._budget = budget or RetryBudget()
        exchange = Exchange(reactor=reactor)
        self._flights = Flights()
        watcher.has_pending_work = self.has_in_flight_work
        self.transactions = TransactionRunner(
            reactor=reactor,
            vm=board.local_vm.name,
            pools=pools,
            exchange=exchange,
            watcher=watcher,
            flights=self._flights,
            codec=codec,
            draw_number=lambda: secrets.randbits(NUMBER_BITS),
            idle_seconds=transaction_idle_timeout,
        )
        self.writes = WriteRunner(
            reactor=reactor,
            board=board,
            pools=pools,
            exchange=exchange,
            watcher=watcher,
            flights=self._flights,
            doubt=self._doubt,
            on_begun=self.transactions.begun,
        )
        self.reads = ReadRunner(
            reactor=reactor,
            board=board,
            pools=pools,
            exchange=exchange,
            confirmer=Confirmer(reactor=reactor, board=board),
            may_retry=self._budget.spend_retry,
            doubt=self._doubt,
        )

    @property
    def in_flight_count(self) -> int:
        """Return how much a graceful shutdown still has to wait for."""
        return self._running + len(self.transactions.table)

    def has_in_flight_work(self, group: str) -> bool:
        """Tell whether a write or transaction of a group is under way."""
        return self._flights.has(group) or any(
            self.transactions.table.of_group(group)
        )

    def run(self, stmt: Statement, done: OnOutcome) -> None:
        """Run a statement and call back once with what became of it."""
        self._running += 1

        def finished(outcome: Outcome) -> None:
            self._running -= 1
            log_outcome("ran", stmt, outcome)
            done(outcome)

        if stmt.step in (
            StepKind.STATEMENT,
            StepKind.COMMIT,
            StepKind.ROLLBACK,
        ):
            # Whoever has the transaction runs its steps, also after the
            # group has got other holders.
            self.transactions.run(stmt, finished)
        elif not self._holds(stmt.group):
            finished(_not_here(Reason.NOT_HOLDER))
        elif self._board.draining:
            finished(_not_here(Reason.DRAINING))
        else:
            self._run_new(stmt, finished)

    def _run_new(self, stmt: Statement, done: OnOutcome) -> None:
        self._budget.record_first_attempt()
        group = self._board.groups.get(stmt.group)
        if self._board.starting:
            done(_not_here(Reason.NOT_HOLDER))
        elif group is None:
            # The entry knew the group, so the record is on its way.
            done(_not_here(Reason.NOT_HOLDER))
        elif stmt.write or stmt.step is StepKind.BEGIN:
            self.writes.run(stmt, group, done)
        else:
            self.reads.run(stmt, group, done)

    def _holds(self, group: str) -> bool:
        holders = self._placement.holders(group)
        return any(vm.name == self._board.local_vm.name for vm in holders)

    def _doubt(self, group: str) -> None:
        now = self._reactor.now()
        if now - self._doubted_at.get(group, -1e9) >= DOUBT_INTERVAL:
            self._doubted_at[group] = now
            self.fire(group_doubted(group))

    @handler("group_changed")
    def _on_group_changed(self, name: str) -> None:
        term = self._board.groups[name].record.term
        self._flights.group_changed(name, term)
        self.transactions.term_changed(name, term)


def _not_here(reason: Reason) -> NotRun:
    return NotRun(reason=reason, retry_after_ms=RETRY_SOON_MS)
