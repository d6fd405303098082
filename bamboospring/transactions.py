"""Which transactions are open here, and what becomes of each step.

No I/O: the holder asks, and does what it is told.

Each answer of a transaction carries a new handle with the next step number.
A statement whose answer was lost may or may not have run inside the
transaction; its caller, told "not run", could otherwise run it again in the
same transaction and double it. With the old handle it can't: the step number
gives it away, and the transaction is rolled back.
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
    "Answer",
    "Go",
    "RollBack",
    "Transaction",
    "TransactionTable",
    "Verdict",
]

# How many ended transactions are remembered, so that a commit that is asked
# for again gets the first one's outcome.
REMEMBERED = 2000


@dataclass(slots=True, kw_only=True, eq=False)
class Transaction:
    """An open transaction, pinned to the connection in `leased`.

    `step` is the step number that the next request must show.
    """

    number: int
    group: str
    caller: str
    term: int
    leased: Any
    step: int = 1
    busy: bool = False
    committing: bool = False
    idle: Any = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Go:
    """Send the step to the target."""

    transaction: Transaction


@dataclass(frozen=True, slots=True, kw_only=True)
class RollBack:
    """Close the transaction's connection and answer with `outcome`."""

    transaction: Transaction
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Send nothing and answer with `outcome`."""

    outcome: Outcome


Verdict = Go | RollBack | Answer


class TransactionTable:
    """All transactions of one holder, and the outcomes of the last ended."""

    def __init__(self, *, vm: str) -> None:
        self._vm = vm
        self._open: dict[int, Transaction] = {}
        self._ended: OrderedDict[int, Outcome] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open)

    def of_group(self, group: str) -> list[Transaction]:
        """Return the open transactions of a group."""
        return [tx for tx in self._open.values() if tx.group == group]

    def open(self, transaction: Transaction) -> None:
        """Take in a transaction that has begun at its target."""
        self._open[transaction.number] = transaction

    def handle(self, transaction: Transaction) -> TransactionHandle:
        """Return the handle that the transaction's next step must show."""
        return TransactionHandle(
            vm=self._vm,
            group=transaction.group,
            caller=transaction.caller,
            number=transaction.number,
            step=transaction.step,
        )

    def judge(self, handle: TransactionHandle, stmt: Statement) -> Verdict:
        """Decide what to do with a step; `Go` marks it as busy."""
        if handle.caller != stmt.caller or handle.group != stmt.group:
            return Answer(outcome=_no_transaction("of another session"))
        transaction = self._open.get(handle.number)
        if transaction is None:
            return Answer(outcome=self._of_ended(handle, stmt))
        if transaction.busy:
            return Answer(outcome=_still_busy(stmt))
        if handle.step != transaction.step:
            return RollBack(
                transaction=transaction,
                outcome=_lost("an answer was missed; it was rolled back"),
            )
        transaction.busy = True
        transaction.committing = stmt.step is StepKind.COMMIT
        transaction.step += 1
        return Go(transaction=transaction)

    def free(self, transaction: Transaction) -> None:
        """Note that a step has been answered and the next may come."""
        transaction.busy = False

    def end(self, transaction: Transaction, outcome: Outcome) -> bool:
        """Forget an open transaction; False if it had ended before.

        The outcome is what a repeated commit is told. For a commit that is
        still waiting for its majority that is `Unknown`, until `settle`.
        """
        found = self._open.pop(transaction.number, None) is not None
        if found:
            self.settle(transaction, outcome)
        return found

    def settle(self, transaction: Transaction, outcome: Outcome) -> None:
        """Remember the final outcome of a transaction that has ended."""
        self._ended[transaction.number] = outcome
        while len(self._ended) > REMEMBERED:
            self._ended.popitem(last=False)

    def _of_ended(self, handle: TransactionHandle, stmt: Statement) -> Outcome:
        if stmt.step is not StepKind.COMMIT:
            return _lost("the transaction has ended")
        outcome = self._ended.get(handle.number)
        if outcome is None:
            # An earlier commit of it may have been sent by a process that
            # has been restarted since, so "not run" could be a lie.
            return Unknown(
                reason=Reason.TRANSACTION_LOST,
                message="the holder does not know this transaction",
            )
        if isinstance(outcome, Done):
            return replace(outcome, replayed=True)
        return outcome


def _no_transaction(message: str) -> NotRun:
    return NotRun(reason=Reason.NO_TRANSACTION, message=message)


def _lost(message: str) -> NotRun:
    return NotRun(reason=Reason.TRANSACTION_LOST, message=message)


def _still_busy(stmt: Statement) -> Outcome:
    message = "another step of it is under way"
    if stmt.step is StepKind.COMMIT:
        # That other step may be this very commit, sent through another VM.
        return Unknown(reason=Reason.NO_TRANSACTION, message=message)
    return _no_transaction(message)
