"""Turn statements and outcomes into Cap'n Proto messages and back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import envelope
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import Step

__all__ = [
    "decode_outcome",
    "decode_statement",
    "encode_outcome",
    "encode_statement",
]

DONE, FAILED, NOT_RUN, OVERLOADED, UNKNOWN = range(5)


def encode_statement(stmt: Statement, now: float) -> Any:
    """Return an Envelope; the deadline travels as time left."""
    message = envelope()
    out = message.init("statement")
    out.group = stmt.group
    out.caller = stmt.caller
    out.write = stmt.write
    out.sql = stmt.sql
    out.params = stmt.params
    out.step = int(stmt.step)
    out.transaction = stmt.transaction
    out.key = stmt.key
    out.tokenTerm = stmt.token.term
    out.tokenIndex = stmt.token.index
    if stmt.staleness is not None:
        out.stalenessStated = True
        out.stalenessMs = int(stmt.staleness * 1000)
    out.deadlineMs = max(0, int((stmt.deadline - now) * 1000))
    out.trace = stmt.trace
    out.settle = stmt.settle
    return message


def decode_statement(message: Any, now: float) -> Statement:
    """Read a Statement from an Envelope."""
    src = message.statement
    stated = src.stalenessStated
    return Statement(
        group=src.group,
        caller=src.caller,
        write=src.write,
        sql=src.sql,
        params=src.params,
        deadline=now + src.deadlineMs / 1000,
        step=Step(src.step),
        transaction=src.transaction,
        key=src.key,
        token=Position(term=src.tokenTerm, index=src.tokenIndex),
        staleness=src.stalenessMs / 1000 if stated else None,
        trace=src.trace,
        settle=src.settle,
    )


def encode_outcome(outcome: Outcome) -> Any:
    """Return an Envelope with an Answer."""
    message = envelope()
    out = message.init("answer")
    match outcome:
        case Done():
            _encode_done(out, outcome)
        case Failed():
            out.outcome = FAILED
        case NotRun():
            out.outcome = NOT_RUN
        case Overloaded():
            out.outcome = OVERLOADED
        case Unknown():
            out.outcome = UNKNOWN
    if not isinstance(outcome, Done):
        out.reason = outcome.reason.value
        out.message = outcome.message
    if isinstance(outcome, NotRun | Overloaded | Unknown):
        out.retryAfterMs = outcome.retry_after_ms
    return message


def decode_outcome(message: Any) -> Outcome:
    """Read an outcome from an Envelope with an Answer."""
    src = message.answer
    if src.outcome == DONE:
        return _decode_done(src)
    reason = Reason(src.reason)
    if src.outcome == FAILED:
        return Failed(reason=reason, message=src.message)
    kinds: dict[int, Callable[..., NotRun | Overloaded | Unknown]] = {
        NOT_RUN: NotRun,
        OVERLOADED: Overloaded,
    }
    make = kinds.get(src.outcome, Unknown)
    return make(
        reason=reason,
        retry_after_ms=src.retryAfterMs,
        message=src.message,
    )


def _encode_done(out: Any, outcome: Done) -> None:
    out.outcome = DONE
    out.term = outcome.term
    out.index = outcome.index
    out.target = outcome.target
    out.columns = orjson.dumps(outcome.columns)
    out.rows = orjson.dumps(outcome.rows)
    out.rowcount = outcome.rowcount
    out.replayed = outcome.replayed
    out.atReplica = outcome.at_replica
    out.transaction = outcome.transaction


def _decode_done(src: Any) -> Done:
    rows = orjson.loads(src.rows)
    return Done(
        term=src.term,
        index=src.index,
        target=src.target,
        columns=tuple(orjson.loads(src.columns)),
        rows=tuple(tuple(row) for row in rows),
        rowcount=src.rowcount,
        replayed=src.replayed,
        at_replica=src.atReplica,
        transaction=src.transaction,
    )
