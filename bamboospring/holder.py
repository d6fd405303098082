"""The holder: runs statements at the targets of the groups it holds.

It owns the connections to the targets, picks the target, pins transactions
and passes a write's answer on only when a majority holds it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import itertools
import secrets

from circuits import BaseComponent
from circuits import handler

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import Role
from bamboospring.blackboard import Target
from bamboospring.events import group_doubted
from bamboospring.http_codec import HttpAnswer
from bamboospring.http_codec import HttpLost
from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.pool import Leased
from bamboospring.pool import Pools
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import shard_of
from bamboospring.routing import choose_read
from bamboospring.routing import find_target
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import Step
from bamboospring.target_api import decode_answer
from bamboospring.target_api import encode_execute
from bamboospring.target_api import TargetAnswer
from bamboospring.watcher import Watcher

__all__ = ["Holder"]

RETRY_SOON_MS = 100
TRANSACTION_IDLE = 30.0

OnOutcome = Callable[[Outcome], None]

# What a target's refusal means to the caller. In each case nothing ran.
REFUSALS: dict[str, Reason] = {
    "term": Reason.PRIMARY_CHANGED,
    "behind": Reason.STALE,
    "not_primary": Reason.PRIMARY_CHANGED,
    "slots": Reason.TARGET_SLOTS,
    "key_reused": Reason.KEY_REUSED,
    "leaving": Reason.TARGET_LEAVING,
    "lock_timeout": Reason.LOCK_TIMEOUT,
    "no_tx": Reason.NO_TRANSACTION,
}


@dataclass(slots=True, kw_only=True, eq=False)
class Transaction:
    """An open transaction, pinned to one connection."""

    handle: str
    group: str
    caller: str
    term: int
    leased: Leased
    busy: bool = False
    idle: Timer | None = None


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
        watcher: Watcher,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._pools = pools
        self._watcher = watcher
        self._transactions: dict[str, Transaction] = {}
        self._numbers = itertools.count(1)

    def run(self, stmt: Statement, done: OnOutcome) -> None:
        """Run a statement and call back once with what became of it."""
        group = self._board.groups.get(stmt.group)
        if group is None or self._board.starting:
            done(self._without_record(stmt.group))
            return
        match stmt.step:
            case Step.AUTOCOMMIT if not stmt.write:
                self._read(stmt, group, done)
            case Step.AUTOCOMMIT | Step.BEGIN:
                self._at_primary(stmt, group, done)
            case _:
                self._in_transaction(stmt, done)

    def _without_record(self, group: str) -> NotRun:
        """Refuse while the group's record is unknown or still to come."""
        if self._board.starting or self._board.knows_group(group):
            return NotRun(
                reason=Reason.NOT_HOLDER, retry_after_ms=RETRY_SOON_MS
            )
        return NotRun(reason=Reason.UNKNOWN_GROUP)

    def _holds(self, group: str) -> bool:
        holders = self._placement.holders(group)
        return any(vm.name == self._board.me.name for vm in holders)

    # Reads and writes of their own.

    def _read(self, stmt: Statement, group: Group, done: OnOutcome) -> None:
        if not self._holds(stmt.group):
            done(NotRun(reason=Reason.NOT_HOLDER))
            return
        choice = choose_read(
            group,
            self._board.row(stmt.group, shard_of(stmt.group)),
            token=stmt.token,
            staleness=stmt.staleness,
            zone=self._board.me.availability_zone,
            now=self._reactor.now(),
        )
        if choice is None:
            done(_no_primary())
            return
        self._start(stmt, group, choice.target, choice.min_index, done)

    def _at_primary(
        self, stmt: Statement, group: Group, done: OnOutcome
    ) -> None:
        if not self._holds(stmt.group):
            done(NotRun(reason=Reason.NOT_HOLDER))
            return
        target = find_target(group, group.record.primary)
        if target is None:
            done(_no_primary())
            return
        self._start(stmt, group, target, 0, done)

    def _start(
        self,
        stmt: Statement,
        group: Group,
        target: Target,
        min_index: int,
        done: OnOutcome,
    ) -> None:
        state = group.state(target.name)
        state.outstanding += 1

        def finished(outcome: Outcome) -> None:
            state.outstanding -= 1
            done(outcome)

        def ready(leased: Leased | NotRun | Overloaded) -> None:
            if not isinstance(leased, Leased):
                finished(leased)
                return
            self._execute(stmt, group, leased, min_index, finished)

        self._pools.acquire(target, stmt.deadline, stmt.caller, ready)

    def _execute(
        self,
        stmt: Statement,
        group: Group,
        leased: Leased,
        min_index: int,
        done: OnOutcome,
    ) -> None:
        term = group.record.term

        def answered(answer: TargetAnswer | HttpLost) -> None:
            if isinstance(answer, HttpLost):
                self._pools.release(leased, healthy=False)
                done(_lost(stmt, answer))
                return
            if stmt.step is Step.BEGIN and answer.outcome == "ok":
                done(self._pin(stmt, leased, answer))
                return
            self._pools.release(leased, healthy=True)
            self._conclude(stmt, answer, done)

        self._send(stmt, leased, term, min_index, answered)

    def _send(
        self,
        stmt: Statement,
        leased: Leased,
        term: int,
        min_index: int,
        on_answer: Callable[[TargetAnswer | HttpLost], None],
    ) -> None:
        number = next(self._numbers)
        left = stmt.deadline - self._reactor.now()
        body = encode_execute(
            stmt,
            number=number,
            term=term if stmt.write or stmt.step else 0,
            min_index=min_index,
            left=left,
        )

        def answered(answer: HttpAnswer | HttpLost) -> None:
            if isinstance(answer, HttpLost):
                on_answer(answer)
                return
            decoded = decode_answer(answer.body)
            # An answer with another id belongs to another exchange. Which
            # one can't be told, so it counts as no answer and the
            # connection is closed.
            if decoded is None or decoded.id != number:
                on_answer(HttpLost(sent=True, reason="crossed"))
                return
            on_answer(decoded)

        if left <= 0:
            on_answer(HttpLost(sent=False, reason="deadline"))
            return
        leased.conn.request("POST", "/execute", body, left, answered)

    # What became of it.

    def _conclude(
        self, stmt: Statement, answer: TargetAnswer, done: OnOutcome
    ) -> None:
        match answer.outcome:
            case "ok":
                self._succeeded(stmt, answer, done)
            case "refused":
                if answer.reason in ("term", "not_primary", "behind"):
                    self.fire(group_doubted(stmt.group))
                done(_refused(answer))
            case _:
                done(Failed(reason=Reason.SQL, message=answer.message))

    def _succeeded(
        self, stmt: Statement, answer: TargetAnswer, done: OnOutcome
    ) -> None:
        result = _done(answer)
        if not stmt.write and stmt.step is Step.AUTOCOMMIT:
            done(result)
            return
        if stmt.step in (Step.STATEMENT, Step.ROLLBACK):
            done(result)
            return
        position = Position(term=answer.term, index=answer.index)

        def held(ok: bool) -> None:
            done(result if ok else _no_majority())

        self._watcher.wait_majority(stmt.group, position, stmt.deadline, held)

    # Transactions.

    def _pin(
        self, stmt: Statement, leased: Leased, answer: TargetAnswer
    ) -> Outcome:
        handle = f"{self._board.me.name}/{secrets.token_urlsafe(9)}"
        transaction = Transaction(
            handle=handle,
            group=stmt.group,
            caller=stmt.caller,
            term=answer.term,
            leased=leased,
        )
        self._transactions[handle] = transaction
        self._wait_idle(transaction)
        return _done(answer, transaction=handle)

    def _in_transaction(self, stmt: Statement, done: OnOutcome) -> None:
        transaction = self._transactions.get(stmt.transaction)
        if (
            transaction is None
            or transaction.busy
            or transaction.caller != stmt.caller
            or transaction.group != stmt.group
        ):
            done(NotRun(reason=Reason.NO_TRANSACTION))
            return
        transaction.busy = True
        if transaction.idle is not None:
            transaction.idle.cancel()

        def answered(answer: TargetAnswer | HttpLost) -> None:
            transaction.busy = False
            self._transaction_answered(stmt, transaction, answer, done)

        self._send(stmt, transaction.leased, transaction.term, 0, answered)

    def _transaction_answered(
        self,
        stmt: Statement,
        transaction: Transaction,
        answer: TargetAnswer | HttpLost,
        done: OnOutcome,
    ) -> None:
        if isinstance(answer, HttpLost):
            self._end(transaction, healthy=False)
            done(_lost(stmt, answer))
            return
        if stmt.step is Step.STATEMENT and answer.outcome == "ok":
            self._wait_idle(transaction)
        else:
            # Committed, rolled back, refused or failed: it is over. Only
            # after an ordinary end is the connection surely clean.
            self._end(transaction, healthy=answer.outcome == "ok")
        self._conclude(stmt, answer, done)

    def _wait_idle(self, transaction: Transaction) -> None:
        transaction.idle = self._reactor.call_later(
            TRANSACTION_IDLE, lambda: self._end(transaction, healthy=False)
        )

    def _end(self, transaction: Transaction, *, healthy: bool) -> None:
        if self._transactions.pop(transaction.handle, None) is not None:
            self._pools.release(transaction.leased, healthy=healthy)

    @handler("group_changed")
    def _on_group_changed(self, name: str) -> None:
        """End transactions of an older term: they can't commit any more."""
        record = self._board.groups[name].record
        for transaction in list(self._transactions.values()):
            old = transaction.term < record.term
            if transaction.group == name and old and not transaction.busy:
                self._end(transaction, healthy=False)


def _done(answer: TargetAnswer, transaction: str = "") -> Done:
    return Done(
        term=answer.term,
        index=answer.index,
        target="",
        columns=answer.columns,
        rows=answer.rows,
        rowcount=answer.rowcount,
        replayed=answer.replayed,
        at_replica=answer.role is Role.REPLICA,
        transaction=transaction,
    )


def _refused(answer: TargetAnswer) -> NotRun | Overloaded:
    reason = REFUSALS.get(answer.reason, Reason.TARGET_UNREACHABLE)
    kind = Overloaded if answer.reason == "slots" else NotRun
    return kind(
        reason=reason,
        retry_after_ms=RETRY_SOON_MS,
        message=answer.message,
    )


def _no_primary() -> NotRun:
    return NotRun(reason=Reason.NO_PRIMARY, retry_after_ms=RETRY_SOON_MS)


def _no_majority() -> Unknown:
    return Unknown(reason=Reason.NO_MAJORITY, retry_after_ms=RETRY_SOON_MS)


def _lost(stmt: Statement, lost: HttpLost) -> Outcome:
    if lost.sent and stmt.step in (Step.AUTOCOMMIT, Step.COMMIT):
        return Unknown(reason=Reason.ANSWER_LOST, retry_after_ms=RETRY_SOON_MS)
    if stmt.step in (Step.STATEMENT, Step.COMMIT, Step.ROLLBACK):
        return NotRun(
            reason=Reason.TRANSACTION_LOST, retry_after_ms=RETRY_SOON_MS
        )
    return NotRun(
        reason=Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_SOON_MS
    )
