"""Track the open transactions of a holder and decide about each step.

This module does no I/O: the holder asks for decisions and executes them.

Each answer within a transaction carries a new handle with the next step
number. If the answer to a statement is lost, the statement may or may not
have run inside the transaction. Its caller gets "not run" and could repeat it
in the same transaction, which would apply it twice. The old handle prevents
this: its step number does not match, and the transaction is rolled back.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import replace
from typing import Any

from bamboospring.outcomes import Done
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.tokens import TransactionHandle

__all__ = [
    "ReturnOutcome",
    "SendStep",
    "RollBackTransaction",
    "Transaction",
    "TransactionTable",
    "StepDecision",
]

# How many ended transactions are kept, so that a repeated commit gets the
# outcome of the first one.
MAX_ENDED = 2000


@dataclass(slots=True, kw_only=True, eq=False)
class Transaction:
    """An open transaction, pinned to the connection in `leased`.

    `step` is the step number that the next request must carry.
    """

    number: int
    group: str
    caller: str
    term: int
    leased: Any
    step: int = 1
    step_in_flight: bool = False
    committing: bool = False
    idle_timer: Any = None


@dataclass(frozen=True, slots=True, kw_only=True)
class SendStep:
    """Send the step to the target."""

    transaction: Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class RollBackTransaction:
    """Close the transaction's connection and return `outcome`."""

    transaction: Transaction
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class ReturnOutcome:
    """Send nothing and return `outcome`."""

    outcome: Outcome


StepDecision = SendStep | RollBackTransaction | ReturnOutcome


class TransactionTable:
    """The open transactions of a holder and the last ended ones' outcomes."""

    def __init__(self, *, vm: str) -> None:
        self._vm = vm
        self._open: dict[int, Transaction] = {}
        self._ended: OrderedDict[int, Outcome] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open)

    def in_group(self, group: str) -> list[Transaction]:
        """Return the open transactions of a group."""
        return [tx for tx in self._open.values() if tx.group == group]

    def add(self, transaction: Transaction) -> None:
        """Add a transaction that has begun at its target."""
        self._open[transaction.number] = transaction

    def next_handle(self, transaction: Transaction) -> TransactionHandle:
        """Return the handle that the transaction's next step must carry."""
        return TransactionHandle(
            vm=self._vm,
            group=transaction.group,
            caller=transaction.caller,
            number=transaction.number,
            step=transaction.step,
        )

    def decide_step(
        self, handle: TransactionHandle, stmt: Statement
    ) -> StepDecision:
        """Decide about a step; `SendStep` marks it as in flight."""
        if handle.caller != stmt.caller or handle.group != stmt.group:
            return ReturnOutcome(
                outcome=_no_transaction_outcome(
                    "the transaction belongs to another session"
                )
            )
        transaction = self._open.get(handle.number)
        if transaction is None:
            return ReturnOutcome(outcome=self._outcome_of_ended(handle, stmt))
        if transaction.step_in_flight:
            return ReturnOutcome(outcome=_step_in_flight_outcome(stmt))
        if handle.step != transaction.step:
            return RollBackTransaction(
                transaction=transaction,
                outcome=_lost_outcome(
                    "the handle is outdated; the transaction was rolled back"
                ),
            )
        transaction.step_in_flight = True
        transaction.committing = stmt.step is StepKind.COMMIT
        transaction.step += 1
        return SendStep(transaction=transaction)

    def mark_step_answered(self, transaction: Transaction) -> None:
        """Record that a step was answered, so that the next may be sent."""
        transaction.step_in_flight = False

    def end(self, transaction: Transaction, outcome: Outcome) -> bool:
        """End an open transaction; return False if it had already ended.

        `outcome` is returned to a repeated commit. For a commit that still
        waits for its majority this is `Unknown`, until `record_outcome`.
        """
        found = self._open.pop(transaction.number, None) is not None
        if found:
            self.record_outcome(transaction, outcome)
        return found

    def record_outcome(
        self, transaction: Transaction, outcome: Outcome
    ) -> None:
        """Record the final outcome of an ended transaction."""
        self._ended[transaction.number] = outcome
        while len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def _outcome_of_ended(
        self, handle: TransactionHandle, stmt: Statement
    ) -> Outcome:
        if stmt.step is not StepKind.COMMIT:
            return _lost_outcome("the transaction has ended")
        outcome = self._ended.get(handle.number)
        if outcome is None:
            # A process that was restarted since may have sent an earlier
            # commit of this transaction, so "not run" could be wrong.
            return Unknown(
                reason=Reason.TRANSACTION_LOST,
                message="the holder does not know this transaction",
            )
        if isinstance(outcome, Done):
            return replace(outcome, replayed=True)
        return outcome


def _no_transaction_outcome(message: str) -> NotRun:
    return NotRun(reason=Reason.NO_TRANSACTION, message=message)


def _lost_outcome(message: str) -> NotRun:
    return NotRun(reason=Reason.TRANSACTION_LOST, message=message)


def _step_in_flight_outcome(stmt: Statement) -> Outcome:
    message = "another step of the transaction is in flight"
    if stmt.step is StepKind.COMMIT:
        # The other step may be the same commit, sent through another VM.
        return Unknown(reason=Reason.NO_TRANSACTION, message=message)
    return _no_transaction_outcome(message)
