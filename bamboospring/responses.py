"""Encode outcomes as HTTP responses with JSON bodies."""

from __future__ import annotations

from typing import Any

import orjson
from pydantic import ValidationError

from bamboospring.http_server import Response
from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown

__all__ = ["bad_request", "encode_outcome", "explain", "not_begun"]

OK = 200
BAD_REQUEST = 400
UNPROCESSABLE = 422
UNAVAILABLE = 503
TIMED_OUT = 504
MAX_EXPLAINED_ERRORS = 10

# Reasons for which a retry of the same request is useless.
CALLER_FAULTS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.BAD_TOKEN,
        Reason.KEY_REUSED,
        Reason.NO_TRANSACTION,
        Reason.UNKNOWN_GROUP,
    }
)


def encode_outcome(group: str, outcome: Outcome, token: str) -> Response:
    """Return the response for a statement's outcome."""
    if isinstance(outcome, Done):
        result = _result(group, outcome, token)
        return Response(status=OK, body=orjson.dumps(result))
    status, kind = _status(outcome)
    body: dict[str, Any] = {
        "outcome": kind,
        "group": group,
        "token": token,
        "reason": outcome.reason.value,
        "message": outcome.message,
    }
    headers: dict[str, str] = {}
    if isinstance(outcome, NotRun | Overloaded | Unknown):
        body["retry_after_ms"] = outcome.retry_after_ms
        if status != BAD_REQUEST:
            # The header has whole seconds, rounded up.
            seconds = -(-outcome.retry_after_ms // 1000)
            headers["Retry-After"] = str(seconds)
    return Response(status=status, body=orjson.dumps(body), headers=headers)


def bad_request(
    message: str,
    reason: Reason = Reason.BAD_REQUEST,
    status: int = BAD_REQUEST,
) -> Response:
    """Return the response to an invalid request."""
    body = {
        "outcome": "not_run",
        "reason": reason.value,
        "message": message,
        "retry_after_ms": 0,
    }
    return Response(status=status, body=orjson.dumps(body))


def not_begun(reason: Reason) -> Response:
    """Return the response to a request that this process does not begin."""
    body = {
        "outcome": "not_run",
        "reason": reason.value,
        "message": "",
        "retry_after_ms": 0,
    }
    return Response(
        status=UNAVAILABLE,
        body=orjson.dumps(body),
        headers={"Retry-After": "0"},
    )


def explain(exc: ValidationError) -> str:
    """Return the errors with their locations but without the input."""
    parts = []
    errors = exc.errors(include_url=False, include_input=False)
    for error in errors[:MAX_EXPLAINED_ERRORS]:
        place = ".".join(str(part) for part in error["loc"])
        parts.append(f"{place}: {error['msg']}" if place else error["msg"])
    if len(errors) > MAX_EXPLAINED_ERRORS:
        parts.append(f"and {len(errors) - MAX_EXPLAINED_ERRORS} more")
    return "; ".join(parts)


def _status(
    outcome: Failed | NotRun | Overloaded | Unknown,
) -> tuple[int, str]:
    match outcome:
        case Failed():
            return UNPROCESSABLE, "failed"
        case NotRun(reason=reason) if reason in CALLER_FAULTS:
            return BAD_REQUEST, "not_run"
        case NotRun():
            return UNAVAILABLE, "not_run"
        case Overloaded():
            return UNAVAILABLE, "overloaded"
        case Unknown():
            return TIMED_OUT, "unknown"


def _result(group: str, outcome: Done, token: str) -> dict[str, Any]:
    return {
        "outcome": "done",
        "group": group,
        "token": token,
        "term": outcome.term,
        "index": outcome.index,
        "target": outcome.target,
        "columns": orjson.Fragment(outcome.columns),
        "rows": orjson.Fragment(outcome.rows),
        "rowcount": outcome.rowcount,
        "replayed": outcome.replayed,
        "at_replica": outcome.at_replica,
        "transaction": outcome.transaction or None,
    }
