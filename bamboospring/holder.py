"""The holder: run statements at the targets of the groups it holds.

The holder owns the connections to the targets, picks the target, pins
transactions and passes a write's answer on only when a majority holds the
write. This component combines the runners for reads, writes and transactions,
which do the work.
"""

from __future__ import annotations

from collections.abc import Callable
import secrets

from bamboospring.components import BaseComponent
from bamboospring.components import handler

from bamboospring.blackboard import Blackboard
from bamboospring.events import group_doubted
from bamboospring.exchange import Exchange
from bamboospring.exchange import RETRY_SOON_MS
from bamboospring.in_flight import InFlightWrites
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Reason
from bamboospring.pools import Pools
from bamboospring.primary_confirmation import PrimaryConfirmer
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

# Seconds between two `group_doubted` events of a group. Each event causes a
# read of the group's object, and many statements fire it at once while the
# primary changes.
DOUBT_INTERVAL = 0.2
TRANSACTION_NUMBER_BITS = 60

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
        self._in_flight = InFlightWrites()
        watcher.has_pending_work = self.has_in_flight_work
        self.transaction_runner = TransactionRunner(
            reactor=reactor,
            vm=board.local_vm.name,
            pools=pools,
            exchange=exchange,
            watcher=watcher,
            in_flight=self._in_flight,
            codec=codec,
            make_number=lambda: secrets.randbits(TRANSACTION_NUMBER_BITS),
            idle_timeout=transaction_idle_timeout,
        )
        self.write_runner = WriteRunner(
            reactor=reactor,
            board=board,
            pools=pools,
            exchange=exchange,
            watcher=watcher,
            in_flight=self._in_flight,
            mark_doubted=self._mark_doubted,
            on_transaction_begun=self.transaction_runner.on_begun,
        )
        self.read_runner = ReadRunner(
            reactor=reactor,
            board=board,
            pools=pools,
            exchange=exchange,
            confirmer=PrimaryConfirmer(reactor=reactor, board=board),
            spend_retry=self._budget.spend_retry,
            mark_doubted=self._mark_doubted,
        )

    @property
    def in_flight_count(self) -> int:
        """Return the number of statements and transactions in flight."""
        return self._running + len(self.transaction_runner.table)

    def has_in_flight_work(self, group: str) -> bool:
        """Return whether a write or transaction of a group is in flight."""
        return self._in_flight.has_group(group) or any(
            self.transaction_runner.table.in_group(group)
        )

    def run(self, stmt: Statement, on_complete: OnOutcome) -> None:
        """Run a statement and call back once with its outcome."""
        self._running += 1

        def on_finished(outcome: Outcome) -> None:
            self._running -= 1
            log_outcome("ran", stmt, outcome)
            on_complete(outcome)

        if stmt.step in (
            StepKind.STATEMENT,
            StepKind.COMMIT,
            StepKind.ROLLBACK,
        ):
            # The holder of a transaction runs its steps even after the group
            # has moved to other holders.
            self.transaction_runner.run(stmt, on_finished)
        elif not self._is_holder(stmt.group):
            on_finished(_not_run(Reason.NOT_HOLDER))
        elif self._board.draining:
            on_finished(_not_run(Reason.DRAINING))
        else:
            self._run_new(stmt, on_finished)

    def _run_new(self, stmt: Statement, on_complete: OnOutcome) -> None:
        self._budget.record_first_attempt()
        group = self._board.groups.get(stmt.group)
        if self._board.starting:
            on_complete(_not_run(Reason.NOT_HOLDER))
        elif group is None:
            # The entry knows the group, so its record will arrive here soon.
            on_complete(_not_run(Reason.NOT_HOLDER))
        elif stmt.write or stmt.step is StepKind.BEGIN:
            self.write_runner.run(stmt, group, on_complete)
        else:
            self.read_runner.run(stmt, group, on_complete)

    def _is_holder(self, group: str) -> bool:
        holders = self._placement.holders(group)
        return any(vm.name == self._board.local_vm.name for vm in holders)

    def _mark_doubted(self, group: str) -> None:
        now = self._reactor.now()
        if now - self._doubted_at.get(group, -1e9) >= DOUBT_INTERVAL:
            self._doubted_at[group] = now
            self.fire(group_doubted(group))

    @handler("group_changed")
    def _on_group_changed(self, name: str) -> None:
        term = self._board.groups[name].record.term
        self._in_flight.notify_term_changed(name, term)
        self.transaction_runner.roll_back_older_terms(name, term)


def _not_run(reason: Reason) -> NotRun:
    return NotRun(reason=reason, retry_after_ms=RETRY_SOON_MS)
