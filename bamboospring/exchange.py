"""One statement's exchange with a target, over a leased connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import itertools

import orjson

from bamboospring.http_client import HttpAnswer
from bamboospring.http_client import HttpLost
from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.pool import LeasedConnection
from bamboospring.reactor import Reactor
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.target_api import decode_answer
from bamboospring.target_api import encode_execute
from bamboospring.target_api import TargetAnswer

__all__ = [
    "Exchange",
    "OnTargetAnswer",
    "RETRY_SOON_MS",
    "done_from",
    "failed_from",
    "refusal_from",
]

RETRY_SOON_MS = 100
# In bytes of a target's answer. A frame between VMs has a limit too, and one
# that is over it ends the link with all that is under way on it.
MAX_RESULT = 2 * 1024 * 1024
# Seconds.
ANSWER_MARGIN = 0.1

OnTargetAnswer = Callable[[TargetAnswer | HttpLost], None]

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


class Exchange:
    """Sends statements and matches the answers by correlation id."""

    def __init__(self, *, reactor: Reactor) -> None:
        self._reactor = reactor
        self._numbers = itertools.count(1)

    def send(
        self,
        stmt: Statement,
        leased: LeasedConnection,
        *,
        term: int,
        min_index: int,
        timeout: float,
        on_answer: OnTargetAnswer,
    ) -> None:
        """Send a statement; calls back once, with the answer or its loss.

        The connection is closed already when a loss is reported: a late
        answer can't be taken for that of a later statement.
        """
        if timeout <= 0:
            on_answer(HttpLost(sent=False, reason="deadline"))
            return
        number = next(self._numbers)
        # The target gives up its wait for a lock a little before we do, so
        # that its "nothing ran" arrives; else the caller is told "unknown".
        left = timeout - min(ANSWER_MARGIN, timeout / 4)
        body = encode_execute(
            stmt, number=number, term=term, min_index=min_index, left=left
        )

        def answered(answer: HttpAnswer | HttpLost) -> None:
            if isinstance(answer, HttpLost):
                leased.unresponsive = answer.reason == "timeout"
                leased.conn.close()
                on_answer(answer)
                return
            decoded = decode_answer(answer.body)
            # An answer with another id belongs to another exchange. Which
            # one can't be told, so it counts as none at all.
            if decoded is None or decoded.id != number:
                leased.conn.close()
                on_answer(HttpLost(sent=True, reason="crossed"))
                return
            if len(answer.body) > MAX_RESULT:
                _refuse_result(stmt, leased, decoded, on_answer)
                return
            on_answer(decoded)

        leased.conn.request("POST", "/execute", body, timeout, answered)


def _refuse_result(
    stmt: Statement,
    leased: LeasedConnection,
    answer: TargetAnswer,
    on_answer: OnTargetAnswer,
) -> None:
    """Report a result that is too large to be passed on whole.

    A lone read has failed. What else ran is reported as lost: a transaction
    is rolled back with its connection, a write is unknown to its caller.
    """
    if stmt.write or stmt.step is not StepKind.AUTOCOMMIT:
        leased.conn.close()
        on_answer(HttpLost(sent=True, reason="size"))
        return
    message = f"the result is too large: over {MAX_RESULT} bytes"
    on_answer(replace(answer, outcome="failed", message=message, rows=[]))


def done_from(
    answer: TargetAnswer, *, at_replica: bool = False, transaction: str = ""
) -> Done:
    """Return a target's good answer as an outcome."""
    return Done(
        term=answer.term,
        index=answer.index,
        target=answer.target,
        columns=orjson.dumps(answer.columns),
        rows=orjson.dumps(answer.rows),
        rowcount=answer.rowcount,
        replayed=answer.replayed,
        at_replica=at_replica,
        transaction=transaction,
    )


def failed_from(answer: TargetAnswer) -> Failed:
    """Return a target's failure as an outcome; it ran and was undone."""
    return Failed(reason=Reason.SQL, message=answer.message)


def refusal_from(answer: TargetAnswer) -> NotRun | Overloaded:
    """Return a target's refusal as an outcome; nothing ran."""
    reason = REFUSALS.get(answer.reason, Reason.TARGET_UNREACHABLE)
    if answer.reason == "slots":
        return Overloaded(reason=reason, retry_after_ms=RETRY_SOON_MS)
    if answer.reason == "key_reused":
        return NotRun(reason=reason, message="other statements had this key")
    return NotRun(
        reason=reason, retry_after_ms=RETRY_SOON_MS, message=answer.message
    )
