"""Encode statements and outcomes as messages between entry and holder.

An Envelope carries each of them as one JSON array, the head, besides the data
that is passed on unparsed. With a separate field for each member, the lookups
by name in pycapnp take twice the time (docs/design/sessions.md).
"""

from __future__ import annotations

from collections.abc import Callable
from types import NoneType
from typing import Any

import capnp
import orjson

from bamboospring.errors import MessageError
from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import new_envelope
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import StepKind

__all__ = [
    "decode_outcome",
    "decode_statement",
    "encode_outcome",
    "encode_statement",
]

DONE, FAILED, NOT_RUN, OVERLOADED, UNKNOWN = range(5)
REFUSALS: dict[int, Callable[..., NotRun | Overloaded | Unknown]] = {
    NOT_RUN: NotRun,
    OVERLOADED: Overloaded,
    UNKNOWN: Unknown,
}
# Each permitted sequence of the members' types in a head. One lookup of the
# whole sequence checks the number of members too.
STATEMENT_TYPES: frozenset[tuple[type, ...]] = frozenset(
    (
        *(str, str, bool, str, int, str, str, int, int),
        staleness,
        remaining,
        *(str, bool),
    )
    for staleness in (NoneType, int, float)
    for remaining in (int, float)
)
OUTCOME_TYPES: frozenset[tuple[type, ...]] = frozenset(
    {
        (int, int, int, str, int, bool, bool, str),
        (int, str, str, int),
    }
)
# Exceptions raised while decoding a head with unexpected members.
MALFORMED = (ValueError, TypeError, KeyError, capnp.KjException)


def encode_statement(stmt: Statement, now: float) -> Any:
    """Return an Envelope; the deadline is sent as remaining time."""
    message = new_envelope()
    out = message.init("statement")
    out.head = orjson.dumps(
        (
            stmt.group,
            stmt.caller,
            stmt.write,
            stmt.sql,
            int(stmt.step),
            stmt.transaction,
            stmt.key,
            stmt.token.term,
            stmt.token.index,
            stmt.staleness,
            max(0.0, stmt.deadline - now),
            stmt.trace,
            stmt.allow_primary,
        )
    )
    out.params = stmt.params
    return message


def decode_statement(message: Any, now: float) -> Statement:
    """Decode a Statement; raise `MessageError` if it is malformed."""
    try:
        src = message.statement
        (
            group,
            caller,
            write,
            sql,
            step,
            transaction,
            key,
            term,
            index,
            staleness,
            remaining,
            trace,
            allow_primary,
        ) = _load_head(src.head, STATEMENT_TYPES)
        return Statement(
            group=group,
            caller=caller,
            write=write,
            sql=sql,
            params=src.params,
            deadline=now + remaining,
            step=StepKind(step),
            transaction=transaction,
            key=key,
            token=Position(term=term, index=index),
            staleness=staleness,
            trace=trace,
            allow_primary=allow_primary,
        )
    except MALFORMED as exc:
        raise MessageError(f"malformed statement: {exc}") from exc


def encode_outcome(outcome: Outcome) -> Any:
    """Return an Envelope with an Answer."""
    message = new_envelope()
    out = message.init("answer")
    match outcome:
        case Done():
            out.head = _done_head(outcome)
            out.columns = outcome.columns
            out.rows = outcome.rows
        case Failed():
            out.head = _refusal_head(FAILED, outcome, 0)
        case NotRun():
            out.head = _refusal_head(NOT_RUN, outcome, outcome.retry_after_ms)
        case Overloaded():
            out.head = _refusal_head(
                OVERLOADED, outcome, outcome.retry_after_ms
            )
        case Unknown():
            out.head = _refusal_head(UNKNOWN, outcome, outcome.retry_after_ms)
    return message


def decode_outcome(message: Any) -> Outcome:
    """Decode an outcome; raise `MessageError` if it is malformed."""
    try:
        src = message.answer
        kind, *members = _load_head(src.head, OUTCOME_TYPES)
        if kind == DONE:
            return _read_done(src, members)
        return _read_refusal(kind, members)
    except MALFORMED as exc:
        raise MessageError(f"malformed answer: {exc}") from exc


def _load_head(data: bytes, permitted: frozenset[tuple[type, ...]]) -> Any:
    head = orjson.loads(data)
    if tuple(map(type, head)) not in permitted:
        raise ValueError("unexpected types or number of members")
    return head


def _done_head(outcome: Done) -> bytes:
    return orjson.dumps(
        (
            DONE,
            outcome.term,
            outcome.index,
            outcome.target,
            outcome.rowcount,
            outcome.replayed,
            outcome.at_replica,
            outcome.transaction,
        )
    )


def _read_done(src: Any, members: list[Any]) -> Done:
    term, index, target, rowcount, replayed, at_replica, transaction = members
    return Done(
        term=term,
        index=index,
        target=target,
        columns=src.columns,
        rows=src.rows,
        rowcount=rowcount,
        replayed=replayed,
        at_replica=at_replica,
        transaction=transaction,
    )


def _refusal_head(
    kind: int,
    outcome: Failed | NotRun | Overloaded | Unknown,
    retry_after_ms: int,
) -> bytes:
    return orjson.dumps(
        (kind, outcome.reason.value, outcome.message, retry_after_ms)
    )


def _read_refusal(kind: int, members: list[Any]) -> Outcome:
    reason, message, retry_after_ms = members
    if kind == FAILED:
        return Failed(reason=Reason(reason), message=message)
    return REFUSALS[kind](
        reason=Reason(reason),
        retry_after_ms=retry_after_ms,
        message=message,
    )
