"""Send one statement to a target over a leased connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import itertools

import orjson

from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
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
# Limits the answer of a target. Frames between VMs are limited too; a larger
# one would close the link with all statements in flight on it.
MAX_RESULT_BYTES = 2 * 1024 * 1024
ANSWER_MARGIN_SECONDS = 0.1

OnTargetAnswer = Callable[[TargetAnswer | HttpFailure], None]

# The reason for the caller by the reason of a target's refusal. In each case
# nothing ran.
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
    """Send statements and match the answers by request id."""

    def __init__(self, *, reactor: Reactor) -> None:
        self._reactor = reactor
        self._request_ids = itertools.count(1)

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
        """Send a statement and call back once, with the answer or its loss.

        When a loss is reported, the connection has already been closed, so
        that a late answer can't be taken for that of a later statement.
        """
        if timeout <= 0:
            on_answer(HttpFailure(sent=False, reason="deadline"))
            return
        request_id = next(self._request_ids)
        # The target stops waiting for a lock slightly before this process
        # stops waiting for its answer. So its "nothing ran" still arrives;
        # otherwise the caller would get an unknown outcome.
        remaining = timeout - min(ANSWER_MARGIN_SECONDS, timeout / 4)
        body = encode_execute(
            stmt,
            request_id=request_id,
            term=term,
            min_index=min_index,
            remaining=remaining,
        )

        def handle_answer(answer: HttpResponse | HttpFailure) -> None:
            if isinstance(answer, HttpFailure):
                leased.unresponsive = answer.reason == "timeout"
                leased.conn.close()
                on_answer(answer)
                return
            decoded = decode_answer(answer.body)
            # An answer with another id belongs to another request, and it is
            # not known to which. It counts as a lost answer.
            if decoded is None or decoded.id != request_id:
                leased.conn.close()
                on_answer(HttpFailure(sent=True, reason="crossed"))
                return
            if len(answer.body) > MAX_RESULT_BYTES:
                _refuse_result(stmt, leased, decoded, on_answer)
                return
            on_answer(decoded)

        leased.conn.request("POST", "/execute", body, timeout, handle_answer)


def _refuse_result(
    stmt: Statement,
    leased: LeasedConnection,
    answer: TargetAnswer,
    on_answer: OnTargetAnswer,
) -> None:
    """Report a result that is too large to be passed on.

    A read outside a transaction fails. For any other statement the answer is
    reported as lost: a transaction is rolled back with its connection, and
    the outcome of a write is unknown.
    """
    if stmt.write or stmt.step is not StepKind.AUTOCOMMIT:
        leased.conn.close()
        on_answer(HttpFailure(sent=True, reason="size"))
        return
    message = f"the result is too large: over {MAX_RESULT_BYTES} bytes"
    on_answer(replace(answer, outcome="failed", message=message, rows=[]))


def done_from(
    answer: TargetAnswer, *, at_replica: bool = False, transaction: str = ""
) -> Done:
    """Return a target's successful answer as an outcome."""
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
    """Return a target's failure as an outcome; it was rolled back."""
    return Failed(reason=Reason.SQL, message=answer.message)


def refusal_from(answer: TargetAnswer) -> NotRun | Overloaded:
    """Return a target's refusal as an outcome; nothing ran."""
    reason = REFUSALS.get(answer.reason, Reason.TARGET_UNREACHABLE)
    if answer.reason == "slots":
        return Overloaded(reason=reason, retry_after_ms=RETRY_SOON_MS)
    if answer.reason == "key_reused":
        return NotRun(
            reason=reason,
            message="the key was already used for another statement",
        )
    return NotRun(
        reason=reason, retry_after_ms=RETRY_SOON_MS, message=answer.message
    )
