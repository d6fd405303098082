"""Turn statements and outcomes into Cap'n Proto messages and back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bamboospring.flat import ANSWER
from bamboospring.flat import FlatMessage
from bamboospring.flat import Packed
from bamboospring.flat import STATEMENT
from bamboospring.flat import to_blob
from bamboospring.flat import to_text
from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
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


WRITE, STALENESS_STATED, SETTLE = 1, 2, 4
REPLAYED, AT_REPLICA = 1, 2


def encode_statement(stmt: Statement, now: float) -> Packed:
    """Return an Envelope; the deadline travels as time left."""
    staleness = stmt.staleness
    stated = staleness is not None
    return Packed(
        layout=STATEMENT,
        values=(
            WRITE * stmt.write
            | STALENESS_STATED * stated
            | SETTLE * stmt.settle,
            stmt.step,
            int(staleness * 1000) if staleness is not None else 0,
            stmt.token.term,
            stmt.token.index,
            max(0, int((stmt.deadline - now) * 1000)),
        ),
        blobs=(
            to_blob(stmt.group),
            to_blob(stmt.caller),
            to_blob(stmt.sql),
            stmt.params,
            to_blob(stmt.transaction),
            to_blob(stmt.key),
            to_blob(stmt.trace),
        ),
    )


def decode_statement(message: Any, now: float) -> Statement:
    """Read a Statement from an Envelope."""
    if not isinstance(message, FlatMessage):
        return _read_statement(message.statement, now)
    flags, step, staleness_ms, term, index, deadline_ms = message.values
    group, caller, sql, params, transaction, key, trace = message.blobs
    stated = flags & STALENESS_STATED
    return Statement(
        group=to_text(group),
        caller=to_text(caller),
        write=flags & WRITE != 0,
        sql=to_text(sql),
        params=params,
        deadline=now + deadline_ms / 1000,
        step=Step(step),
        transaction=to_text(transaction),
        key=to_text(key),
        token=Position(term=term, index=index),
        staleness=staleness_ms / 1000 if stated else None,
        trace=to_text(trace),
        settle=flags & SETTLE != 0,
    )


def encode_outcome(outcome: Outcome) -> Packed:
    """Return an Envelope with an Answer."""
    match outcome:
        case Done():
            return _pack_done(outcome)
        case Failed():
            return _pack_refusal(FAILED, outcome, 0)
        case NotRun():
            return _pack_refusal(NOT_RUN, outcome, outcome.retry_after_ms)
        case Overloaded():
            return _pack_refusal(OVERLOADED, outcome, outcome.retry_after_ms)
        case Unknown():
            return _pack_refusal(UNKNOWN, outcome, outcome.retry_after_ms)


def decode_outcome(message: Any) -> Outcome:
    """Read an outcome from an Envelope with an Answer."""
    if not isinstance(message, FlatMessage):
        return _read_answer(message.answer)
    kind, flags, retry_after_ms, term, index, rowcount = message.values
    reason, why, target, columns, rows, transaction = message.blobs
    if kind != DONE:
        return _refusal(kind, to_text(reason), to_text(why), retry_after_ms)
    return Done(
        term=term,
        index=index,
        target=to_text(target),
        columns=columns or b"[]",
        rows=rows or b"[]",
        rowcount=rowcount,
        replayed=flags & REPLAYED != 0,
        at_replica=flags & AT_REPLICA != 0,
        transaction=to_text(transaction),
    )


def _pack_done(outcome: Done) -> Packed:
    return Packed(
        layout=ANSWER,
        values=(
            DONE,
            REPLAYED * outcome.replayed | AT_REPLICA * outcome.at_replica,
            0,
            outcome.term,
            outcome.index,
            outcome.rowcount,
        ),
        blobs=(
            b"",
            b"",
            to_blob(outcome.target),
            outcome.columns,
            outcome.rows,
            to_blob(outcome.transaction),
        ),
    )


def _pack_refusal(
    kind: int, outcome: Failed | NotRun | Overloaded | Unknown, retry: int
) -> Packed:
    reason = to_blob(outcome.reason.value)
    return Packed(
        layout=ANSWER,
        values=(kind, 0, retry, 0, 0, 0),
        blobs=(reason, to_blob(outcome.message), b"", b"", b"", b""),
    )


def _refusal(
    kind: int, why: str, message: str, retry_after_ms: int
) -> Failed | NotRun | Overloaded | Unknown:
    reason = Reason(why)
    if kind == FAILED:
        return Failed(reason=reason, message=message)
    kinds: dict[int, Callable[..., NotRun | Overloaded | Unknown]] = {
        NOT_RUN: NotRun,
        OVERLOADED: Overloaded,
    }
    make = kinds.get(kind, Unknown)
    return make(reason=reason, retry_after_ms=retry_after_ms, message=message)


# What has another layout than ours: from a version with other fields, or
# from one that lets pycapnp write a long answer in several segments.


def _read_statement(src: Any, now: float) -> Statement:
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


def _read_answer(src: Any) -> Outcome:
    if src.outcome != DONE:
        return _refusal(src.outcome, src.reason, src.message, src.retryAfterMs)
    return Done(
        term=src.term,
        index=src.index,
        target=src.target,
        columns=src.columns or b"[]",
        rows=src.rows or b"[]",
        rowcount=src.rowcount,
        replayed=src.replayed,
        at_replica=src.atReplica,
        transaction=src.transaction,
    )
