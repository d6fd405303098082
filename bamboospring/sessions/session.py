"""Keep the state of one caller's session and handle its statements.

Statements are handled one at a time, in order. Statements that need no target
are answered here: session values, prepared names, and the begin and rollback
of a transaction. A transaction gets a connection only with its first
statement, so that a caller that pauses after `begin` occupies no connection of
a target.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from bamboospring import logs
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.pool import LeasedConnection
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.sessions.access import access_refusal
from bamboospring.sessions.access import Identity
from bamboospring.sessions.model import Route
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import AcknowledgedLocally
from bamboospring.sessions.ports import Begin
from bamboospring.sessions.ports import CallerChannel
from bamboospring.sessions.ports import Commit
from bamboospring.sessions.ports import Deallocate
from bamboospring.sessions.ports import Execute
from bamboospring.sessions.ports import MalformedStatement
from bamboospring.sessions.ports import Prepare
from bamboospring.sessions.ports import Rollback
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionAnswer
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import SessionStatement
from bamboospring.sessions.ports import SetValue
from bamboospring.sessions.ports import Shape
from bamboospring.sessions.ports import TextStatement
from bamboospring.sessions.zone_holders import ZoneVm
from bamboospring.statements import Position

__all__ = [
    "HeldTransaction",
    "Job",
    "MAX_PENDING_STATEMENTS",
    "RunningStatement",
    "Session",
    "SessionTransaction",
    "StatementExecutor",
]

# The number of statements that a caller may send ahead. Beyond it, the proxy
# stops reading from the connection.
MAX_PENDING_STATEMENTS = 64
# Seconds after a request to disconnect before the proxy closes the connection
# itself. A caller closes it on receiving the request, which takes a network
# round trip.
DISCONNECT_TIMEOUT = 0.5
MAX_PREPARED_STATEMENTS = 1024


@dataclass(slots=True, kw_only=True, eq=False)
class HeldTransaction:
    """A transaction that is open at the holder of its target.

    `number` identifies it there; `next_step` is the number of its next step.
    """

    holder: ZoneVm
    target: str
    number: int
    next_step: int = 1


@dataclass(slots=True, kw_only=True, eq=False)
class SessionTransaction:
    """An open transaction.

    Once it is open at a target, it has either its connection, `leased`, or
    its place at the target's holder, `held`. `lost_reason` is why it can't
    continue, for the answer to the next statement.
    """

    route: Route
    read_only: bool
    started_at: float
    leased: LeasedConnection | None = None
    held: HeldTransaction | None = None
    at_replica: bool = False
    has_written: bool = False
    lost_reason: Reason | None = None

    @property
    def is_at_target(self) -> bool:
        """Return whether it is open at a target."""
        return self.leased is not None or self.held is not None


@dataclass(slots=True, kw_only=True)
class Job:
    """One statement to run at a target.

    `text` is None for a prepared statement, which has `shape` and `arguments`
    instead. If `text` and `shape` are None, it is a commit.
    """

    id: str
    writes: bool
    route: Route
    received_at: float
    text: str | None = None
    shape: Shape | None = None
    arguments: str = ""


OnOutcome = Callable[[SessionOutcome, Position | None], None]


class StatementExecutor:
    """Runs the statements of sessions at targets."""

    def run(
        self,
        session: Session,
        job: Job,
        tx: SessionTransaction | None,
        on_complete: OnOutcome,
    ) -> None:
        """Run a statement, in a transaction if one is given."""
        raise NotImplementedError

    def commit(
        self,
        session: Session,
        tx: SessionTransaction,
        id: str,
        received_at: float,
        on_complete: OnOutcome,
    ) -> None:
        """Commit a transaction."""
        raise NotImplementedError

    def roll_back(self, tx: SessionTransaction) -> None:
        """Roll back a transaction and release its connection."""
        raise NotImplementedError

    def cancel(self, session: Session) -> None:
        """Cancel the pending statement of a caller that has disconnected."""
        raise NotImplementedError

    def interrupt(self, session: Session) -> None:
        """Answer the session's statement now, as the process exits."""
        raise NotImplementedError


@dataclass(frozen=True, slots=True, kw_only=True)
class RunningStatement:
    """The id of a statement and when it was received."""

    id: str
    received_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class _Pending:
    id: str
    statement: SessionStatement
    received_at: float


@dataclass(slots=True, kw_only=True, eq=False)
class Session:
    """The state of one session, and the handling of its statements."""

    caller: str
    database: str
    reactor: Reactor
    board: SessionBoard
    executor: StatementExecutor
    channel: CallerChannel
    identity: Identity = Identity()
    values: dict[str, str] = field(default_factory=dict)
    prepared_shapes: dict[str, Shape] = field(default_factory=dict)
    state: SessionState = SessionState.IDLE
    last_commit: Position = Position()
    is_busy: bool = False
    disconnected: bool = False
    disconnect_requested: bool = False
    _is_refusal_finished: bool = False
    opened_at: float = field(init=False)
    last_used_at: float = field(init=False)
    transaction: SessionTransaction | None = None
    _current: _Pending | None = None
    _pending: deque[_Pending] = field(default_factory=deque)
    _idle_timer: Timer | None = None

    def __post_init__(self) -> None:
        self.opened_at = self.last_used_at = self.reactor.now()

    @property
    def current(self) -> RunningStatement | None:
        """Return the statement that is being handled, if any."""
        if self._current is None:
            return None
        return RunningStatement(
            id=self._current.id, received_at=self._current.received_at
        )

    @property
    def is_backlog_full(self) -> bool:
        """Return whether the caller has sent too many statements ahead."""
        return len(self._pending) >= MAX_PENDING_STATEMENTS

    @property
    def queue_key(self) -> str:
        """Return the key under which queues count this session's statements.

        It is the team if there is one, so that teams share a queue evenly,
        however many callers they have.
        """
        return self.identity.team or self.caller

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is pending and no transaction is open."""
        return (
            not self.is_busy
            and not self._pending
            and self.state is SessionState.IDLE
        )

    def submit(self, id: str, statement: SessionStatement) -> None:
        """Queue a statement; it is handled after those before it."""
        if self.disconnect_requested:
            self._refuse_crossing(id)
            return
        self._pending.append(
            _Pending(
                id=id, statement=statement, received_at=self.reactor.now()
            )
        )
        if not self.is_busy:
            self._handle_next()

    def _refuse_crossing(self, id: str) -> None:
        """Refuse a statement that crossed the request to disconnect.

        The first one takes that request as its answer. Others that were sent
        with it are refused before the connection is closed.
        """
        self._log_refused(id)
        if not self._is_refusal_finished:
            self._is_refusal_finished = True
            self.channel.finish_refusal(self.state)
            self.reactor.call_later(0, self.channel.close)
            return
        refusal = NotRun(reason=Reason.DRAINING)
        self.channel.answer(
            SessionAnswer(outcome=refusal, state=self.state, position=None)
        )

    def handle_disconnect(self) -> None:
        """Discard all state after the caller has disconnected."""
        if self.disconnected:
            return
        self.disconnected = True
        self._pending.clear()
        self._stop_timer()
        self.executor.cancel(self)
        if not self.is_busy:
            self._drop_transaction()

    def request_disconnect(self) -> None:
        """Ask the caller to disconnect if the session is idle.

        The caller is sent a refusal without having asked for anything, and
        closes the connection. A statement that it has just sent takes this
        refusal as its answer and is not run. If the proxy closed the
        connection instead, the caller could not know whether the statement
        ran, and would not retry a write.
        """
        if self.is_idle:
            self._ask_to_disconnect()

    def _ask_to_disconnect(self) -> None:
        if self.is_busy or self.disconnected or self.disconnect_requested:
            return
        self.disconnect_requested = True
        self.channel.begin_refusal(NotRun(reason=Reason.DRAINING))
        self.reactor.call_later(DISCONNECT_TIMEOUT, self.channel.close)

    def abandon_transaction(self, reason: Reason) -> None:
        """Roll back an open transaction that has no statement in progress.

        The caller is told with the answer to its next statement: anything sent
        without a request would be taken for that answer.
        """
        if not self.is_busy:
            self._roll_back_for(reason)

    def _roll_back_for(self, reason: Reason) -> None:
        tx = self.transaction
        if tx is not None and tx.lost_reason is None:
            tx.lost_reason = reason
            self.executor.roll_back(tx)

    def end(self) -> None:
        """Answer what is unanswered, and ask the caller to disconnect.

        To be called right before the process exits. If the connection was
        closed instead, the caller could not know what became of a write or of
        a commit that is queued here or in transit.
        """
        if self.is_busy:
            self.executor.interrupt(self)
        if self.is_busy or self._pending:
            # Told to go after the last of its answers.
            return
        self.abandon_transaction(Reason.DRAINING)
        if self.state is SessionState.OPEN:
            self.state = SessionState.FAILED
        self._ask_to_disconnect()

    # Handling of statements, one at a time.

    def _handle_next(self) -> None:
        while self._pending and not self.is_busy and not self.disconnected:
            pending = self._pending.popleft()
            self._stop_timer()
            self.is_busy = True
            self._current = pending
            self._handle(pending)

    def _handle(self, pending: _Pending) -> None:
        if self.board.draining and self._refuse_at_stop(pending):
            return
        match pending.statement:
            case SetValue(name=name, value=value):
                self._apply_locally(
                    lambda: self.values.__setitem__(name, value)
                )
            case Prepare():
                self._prepare(pending.statement)
            case Deallocate(name=name):
                self._deallocate(name)
            case MalformedStatement(message=message):
                self._reject(message)
            case _ if self.state is SessionState.FAILED:
                self._handle_failed(pending.statement)
            case Begin(read_only=read_only):
                self._begin_transaction(read_only, pending.received_at)
            case Rollback():
                self._roll_back_transaction()
            case Commit():
                self._commit_transaction(pending)
            case TextStatement(writes=writes, text=text):
                self._run_text(pending, writes=writes, text=text)
            case Execute(name=name, arguments=arguments):
                self._run_prepared(pending, name, arguments)

    def _refuse_at_stop(self, pending: _Pending) -> bool:
        """Refuse what this VM, which is stopping, no longer begins.

        A transaction whose time is up is rolled back before its statement,
        which is then told so.
        """
        now = self.reactor.now()
        if self.state is not SessionState.IDLE:
            if not self.board.accepts_transactions(now):
                self._roll_back_for(Reason.DRAINING)
            return False
        if self.board.accepts_operations(now):
            return False
        self._log_refused(pending.id)
        self._answer(NotRun(reason=Reason.DRAINING))
        return True

    def _apply_locally(self, action: Callable[[], None]) -> None:
        if self.state is SessionState.FAILED:
            self._reject("the transaction has failed")
            return
        action()
        self._answer(AcknowledgedLocally())

    def _prepare(self, statement: Prepare) -> None:
        if (
            len(self.prepared_shapes) >= MAX_PREPARED_STATEMENTS
            and statement.name not in self.prepared_shapes
        ):
            self._reject("too many prepared statements")
            return
        name, shape = statement.name, statement.shape
        self._apply_locally(
            lambda: self.prepared_shapes.__setitem__(name, shape)
        )

    def _deallocate(self, name: str) -> None:
        if (
            name not in self.prepared_shapes
            and self.state is not SessionState.FAILED
        ):
            self._reject_unknown_name(name)
            return
        self._apply_locally(lambda: self.prepared_shapes.__delitem__(name))

    def _handle_failed(self, statement: SessionStatement) -> None:
        """Answer in a failed transaction, which can only be ended."""
        match statement:
            case Rollback():
                self._end_transaction()
                self._answer(AcknowledgedLocally())
            case Commit():
                self._end_transaction()
                self._answer(
                    NotRun(
                        reason=Reason.TRANSACTION_LOST,
                        message="the transaction had failed: rolled back",
                    )
                )
            case _:
                self._reject("the transaction has failed")

    def _begin_transaction(self, read_only: bool, received_at: float) -> None:
        if self.transaction is not None:
            self._reject("a transaction is open already")
            return
        route = self.board.route(self.database)
        if route is None:
            self._answer(self._unknown_group())
            return
        refusal = self._access_refusal(route, received_at)
        if refusal is not None:
            self._answer(refusal)
            return
        self.transaction = SessionTransaction(
            route=route, read_only=read_only, started_at=received_at
        )
        self.state = SessionState.OPEN
        self._answer(AcknowledgedLocally())

    def _roll_back_transaction(self) -> None:
        if self.transaction is None:
            self._reject("no transaction is open")
            return
        self._drop_transaction()
        self.state = SessionState.IDLE
        self._answer(AcknowledgedLocally())

    def _commit_transaction(self, pending: _Pending) -> None:
        tx = self.transaction
        if tx is None:
            self._reject("no transaction is open")
            return
        if tx.lost_reason is not None:
            reason = tx.lost_reason
            self._end_transaction()
            self._answer(NotRun(reason=reason))
            return
        refusal = self._access_refusal(tx.route, pending.received_at)
        if refusal is not None:
            self._end_transaction()
            self._answer(refusal)
            return

        def on_complete(
            outcome: SessionOutcome, position: Position | None
        ) -> None:
            self.transaction = None
            self.state = SessionState.IDLE
            if isinstance(outcome, Served) and tx.has_written and position:
                self.last_commit = max(self.last_commit, position)
            self._answer(outcome, position)

        self.executor.commit(
            self, tx, pending.id, pending.received_at, on_complete
        )

    def _run_text(self, pending: _Pending, *, writes: bool, text: str) -> None:
        self._run(pending, writes=writes, text=text)

    def _run_prepared(
        self, pending: _Pending, name: str, arguments: str
    ) -> None:
        shape = self.prepared_shapes.get(name)
        if shape is None:
            self._reject_unknown_name(name)
            return
        self._run(
            pending, writes=shape.writes, shape=shape, arguments=arguments
        )

    def _run(
        self,
        pending: _Pending,
        *,
        writes: bool,
        text: str | None = None,
        shape: Shape | None = None,
        arguments: str = "",
    ) -> None:
        tx = self.transaction
        route = tx.route if tx else self.board.route(self.database)
        if route is None:
            self._answer(self._unknown_group())
            return
        if tx is not None and tx.lost_reason is not None:
            self.state = SessionState.FAILED
            self._answer(NotRun(reason=tx.lost_reason))
            return
        refusal = self._access_refusal(route, pending.received_at)
        if refusal is not None:
            if tx is not None:
                self.state = SessionState.FAILED
                self._release_connection()
            self._answer(refusal)
            return
        job = Job(
            id=pending.id,
            writes=writes,
            route=route,
            received_at=pending.received_at,
            text=text,
            shape=shape,
            arguments=arguments,
        )

        def on_complete(
            outcome: SessionOutcome, position: Position | None
        ) -> None:
            served = isinstance(outcome, Served)
            if tx is not None and not served:
                self.state = SessionState.FAILED
            elif served and writes and tx is None and position:
                self.last_commit = max(self.last_commit, position)
            self._answer(outcome, position)

        self.executor.run(self, job, tx, on_complete)

    def _access_refusal(
        self, route: Route, received_at: float
    ) -> NotRun | Overloaded | None:
        """Return why this session's key may not run the new statement."""
        return access_refusal(self.board, route, self.identity, received_at)

    # Answers.

    def _reject(self, message: str) -> None:
        """Reject an invalid statement; an open transaction then fails."""
        if self.state is SessionState.OPEN:
            self.state = SessionState.FAILED
            self._release_connection()
        self._answer(Failed(reason=Reason.BAD_REQUEST, message=message))

    def _reject_unknown_name(self, name: str) -> None:
        if self.state is SessionState.OPEN:
            self.state = SessionState.FAILED
            self._release_connection()
        self._answer(Failed(reason=Reason.NO_STATEMENT, message=name))

    def _unknown_group(self) -> NotRun:
        return NotRun(reason=Reason.UNKNOWN_GROUP, message=self.database)

    def _answer(
        self, outcome: SessionOutcome, position: Position | None = None
    ) -> None:
        self.is_busy = False
        self._current = None
        self.last_used_at = self.reactor.now()
        if self.disconnected:
            self._drop_transaction()
            return
        self.channel.answer(
            SessionAnswer(outcome=outcome, state=self.state, position=position)
        )
        if self.transaction is not None and not self._pending:
            self._start_timer()
        # Handled in a later turn of the event loop, so that many statements
        # sent ahead don't nest their calls.
        if self._pending:
            self.reactor.call_later(0, self._resume)
        elif self.board.draining:
            self._leave_if_due()

    def _leave_if_due(self) -> None:
        """End what this VM, which is stopping, does not continue.

        The periodic look for idle sessions would miss a session whose caller
        sends its next statement within milliseconds.
        """
        now = self.reactor.now()
        if not self.board.accepts_transactions(now):
            self.abandon_transaction(Reason.DRAINING)
        if not self.board.accepts_operations(now):
            self.request_disconnect()

    def _log_refused(self, id: str) -> None:
        logs.log_event(
            "statement_refused",
            trace=id,
            caller=self.caller,
            database=self.database,
            reason=Reason.DRAINING,
        )

    def _resume(self) -> None:
        if not self.is_busy:
            self._handle_next()

    # Ending transactions.

    def _end_transaction(self) -> None:
        self._drop_transaction()
        self.state = SessionState.IDLE

    def _drop_transaction(self) -> None:
        self._release_connection()
        self.transaction = None

    def _release_connection(self) -> None:
        tx = self.transaction
        if tx is not None and tx.is_at_target:
            self.executor.roll_back(tx)

    def _start_timer(self) -> None:
        catalog = self.board.catalog
        if catalog is not None:
            self._idle_timer = self.reactor.call_later(
                catalog.transaction_idle_timeout, self._on_idle_timeout
            )

    def _stop_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _on_idle_timeout(self) -> None:
        # An idle transaction holds a connection, and possibly a lock that all
        # other callers of the group wait for.
        self._idle_timer = None
        self.abandon_transaction(Reason.TRANSACTION_IDLE)
