"""Run statements at targets.

A read changes nothing and may be retried at another target. A write, or the
commit of a transaction that has written, is sent once; it is sent again only
after the target has confirmed that nothing ran. Without an answer its outcome
is unknown, and is reported so. A write at a primary is valid only while the
proof of that primary holds.
"""

from __future__ import annotations

from collections.abc import Callable

from bamboospring.peers import Peers
from bamboospring.pool import LeasedConnection
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.retry_budget import RetryBudget
from bamboospring.sessions.backpressure import Backpressure
from bamboospring.sessions.forwarded_transaction import end_held_transaction
from bamboospring.sessions.forwarded_transaction import ForwardedStep
from bamboospring.sessions.holder_probes import HolderProbes
from bamboospring.sessions.link_release import release_connection
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.quota_client import QuotaClient
from bamboospring.sessions.response_watch import ResponseWatcher
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import OnOutcome
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import SessionTransaction
from bamboospring.sessions.session import StatementExecutor
from bamboospring.sessions.statement_execution import StatementExecution
from bamboospring.sessions.statement_trace import StatementLogger
from bamboospring.sessions.target_choice import SendTo
from bamboospring.sessions.transaction_step import TransactionStep
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.sessions.zone_holders import ZoneVm
from bamboospring.statements import Position

__all__ = ["StatementRunner"]

# Seconds without a response after which a holder that owes answers is given no
# more reads. A responsive holder refuses what it can't run, and runs the rest,
# in less time.
HOLDER_RESPONSE_TIMEOUT = 0.2


class StatementRunner(StatementExecutor):
    """Runs the statements of all sessions of this process."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        pools: Pools[SessionLink],
        budget: RetryBudget,
        statement_logger: StatementLogger,
        request_record_read: Callable[[str], None],
        peers: Peers,
        holders: ZoneHolders,
        quotas: QuotaClient,
    ) -> None:
        self.reactor = reactor
        self.board = board
        self.pools = pools
        self.budget = budget
        self.statement_logger = statement_logger
        self.request_record_read = request_record_read
        self.peers = peers
        self.quotas = quotas
        self.watcher = ResponseWatcher(
            reactor=reactor, board=board, pools=pools
        )
        self._holders = holders
        self.running_count = 0
        self.backpressure = Backpressure()
        self.waited_for_holder_count = 0
        self.backpressure_refusal_count = 0
        self.probes = HolderProbes(reactor=reactor, peers=peers, vm=board.vm)
        self._executions: dict[Session, StatementExecution] = {}
        self._steps: dict[Session, TransactionStep | ForwardedStep] = {}

    def run(
        self,
        session: Session,
        job: Job,
        tx: SessionTransaction | None,
        on_complete: OnOutcome,
    ) -> None:
        """Run a statement, in a transaction if one is given."""
        self._start(session, job, tx, self._count_running(on_complete))

    def commit(
        self,
        session: Session,
        tx: SessionTransaction,
        id: str,
        received_at: float,
        on_complete: OnOutcome,
    ) -> None:
        """Commit a transaction, opening it first if it had no statement."""
        job = Job(id=id, writes=False, route=tx.route, received_at=received_at)
        self._start(session, job, tx, self._count_running(on_complete))

    def roll_back(self, tx: SessionTransaction) -> None:
        """Roll back a transaction and release its connection."""
        leased, tx.leased = tx.leased, None
        if leased is not None:
            self.release_connection(leased)
        held, tx.held = tx.held, None
        if held is not None:
            end_held_transaction(
                self.peers, self.board.vm, held.holder, held.number
            )

    def find_holder(
        self, group: str, choice: SendTo, now: float
    ) -> ZoneVm | None:
        """Return the holder to forward a statement to; None for this VM."""
        catalog = self.board.catalog
        limits = catalog.groups.get(group) if catalog is not None else None
        if limits is None:
            return None
        holder = self._holders.holder(
            choice.news.target.name,
            max_connections=limits.max_connections,
            vm_count=self.board.vm_count,
            now=now,
        )
        if holder is None:
            return None
        # A read forwarded over a link that never opens, or to an unresponsive
        # holder, would waste most of its time limit waiting.
        return holder if self.is_responsive(holder) else None

    def is_responsive(self, holder: ZoneVm) -> bool:
        """Return whether a holder's link is open and it responds."""
        unresponsive_for = self.peers.unresponsive_for(holder.address)
        if unresponsive_for is None:
            return False
        if self.board.load_control:
            return not self.probes.is_silent(holder.address)
        return unresponsive_for <= HOLDER_RESPONSE_TIMEOUT

    def skip_holder(self, holder: str, target: str) -> None:
        """Use another VM instead of this holder for a while.

        This applies to one target, or to all targets if none is named.
        """
        self._holders.record_failure(holder, target, self.reactor.now())

    def cancel(self, session: Session) -> None:
        """Cancel the pending statement of a caller that has disconnected."""
        execution = self._executions.get(session)
        if execution is not None:
            execution.cancel()

    def interrupt(self, session: Session) -> None:
        """Answer the session's statement now, as the process exits."""
        execution = self._executions.get(session)
        step = self._steps.get(session)
        if execution is not None:
            execution.interrupt()
        elif step is not None:
            step.interrupt()

    def on_step_finished(self, session: Session) -> bool:
        """Remove the session's step; return False if it was answered."""
        return self._steps.pop(session, None) is not None

    def on_execution_finished(self, session: Session) -> None:
        """Remove the session's statement, which has finished."""
        self._executions.pop(session, None)

    def release_connection(
        self, leased: LeasedConnection[SessionLink]
    ) -> None:
        """Return a connection to its pool, rolling back any transaction."""
        release_connection(self.pools, leased)

    def _start(
        self,
        session: Session,
        job: Job,
        tx: SessionTransaction | None,
        on_complete: OnOutcome,
    ) -> None:
        """Run a statement where its transaction is open, if it has one."""
        step: type[TransactionStep | ForwardedStep] | None = None
        if tx is not None and tx.leased is not None:
            step = TransactionStep
        elif tx is not None and tx.held is not None:
            step = ForwardedStep
        if tx is not None and step is not None:
            self._steps[session] = step(
                runner=self,
                session=session,
                job=job,
                tx=tx,
                on_complete=on_complete,
            )
            self._steps[session].start()
            return
        execution = StatementExecution(
            runner=self,
            session=session,
            job=job,
            tx=tx,
            on_complete=on_complete,
        )
        self._executions[session] = execution
        execution.start()

    def _count_running(self, on_complete: OnOutcome) -> OnOutcome:
        self.running_count += 1

        def on_counted(
            outcome: SessionOutcome, position: Position | None
        ) -> None:
            self.running_count -= 1
            on_complete(outcome, position)

        return on_counted
