"""Encode requests to a target and decode its answers as typed values."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import orjson

from bamboospring.blackboard import Role
from bamboospring.statements import Statement
from bamboospring.statements import StepKind

__all__ = [
    "ProbeResult",
    "TargetAnswer",
    "decode_answer",
    "decode_probe",
    "encode_execute",
]

STEP_NAMES: dict[StepKind, str | None] = {
    StepKind.AUTOCOMMIT: None,
    StepKind.BEGIN: "begin",
    StepKind.STATEMENT: "statement",
    StepKind.COMMIT: "commit",
    StepKind.ROLLBACK: "rollback",
}

ROLES = {role.value: role for role in Role}


@dataclass(slots=True, kw_only=True)
class ProbeResult:
    """A target's report of its own state."""

    target: str
    term: int
    role: Role
    received: int
    applied: int
    last_term: int
    term_start: int
    leaving: bool
    primary: str = ""
    # Opaque; unchanged as long as no other field of the report changes.
    state_tag: str = ""


@dataclass(slots=True, kw_only=True)
class TargetAnswer:
    """A target's answer to one statement."""

    id: int
    target: str
    term: int
    role: Role
    received: int
    applied: int
    index: int
    outcome: str
    reason: str
    message: str
    columns: list[str]
    rows: list[list[Any]]
    rowcount: int
    replayed: bool
    leaving: bool


def encode_execute(
    stmt: Statement,
    *,
    request_id: int,
    term: int,
    min_index: int,
    remaining: float,
) -> bytes:
    """Return the JSON body of `POST /execute`; `remaining` is in seconds."""
    body = {
        "id": request_id,
        "term": term,
        "kind": "write" if stmt.write else "read",
        "sql": stmt.sql or None,
        "params": orjson.Fragment(stmt.params or b"[]"),
        "tx": STEP_NAMES[stmt.step],
        "key": stmt.key or None,
        "caller": stmt.caller,
        "min_index": min_index,
        "deadline_ms": max(1, int(remaining * 1000)),
    }
    return orjson.dumps(body)


def decode_answer(body: bytes) -> TargetAnswer | None:
    """Decode a target's answer; return None if it is malformed."""
    try:
        raw = orjson.loads(body)
        return TargetAnswer(
            id=raw["id"],
            target=raw["target"],
            term=raw["term"],
            role=ROLES[raw["role"]],
            received=raw["received"],
            applied=raw["applied"],
            index=raw["index"],
            outcome=raw["outcome"],
            reason=raw.get("reason") or "",
            message=raw.get("message") or "",
            columns=_checked_list(raw.get("columns")),
            rows=_checked_rows(raw.get("rows")),
            rowcount=raw.get("rowcount") or 0,
            replayed=bool(raw.get("replayed")),
            leaving=bool(raw.get("leaving")),
        )
    except (ValueError, KeyError, TypeError):
        return None


def _checked_list(value: Any) -> list[Any]:
    if value is not None and not isinstance(value, list):
        raise TypeError("value is not a list")
    return value or []


def _checked_rows(value: Any) -> list[list[Any]]:
    return [_checked_list(row) for row in _checked_list(value)]


def decode_probe(body: bytes) -> ProbeResult | None:
    """Decode a target's report; return None if it is malformed."""
    try:
        raw = orjson.loads(body)
        return ProbeResult(
            target=raw["target"],
            term=raw["term"],
            role=ROLES[raw["role"]],
            received=raw["received"],
            applied=raw["applied"],
            last_term=raw["last_term"],
            term_start=raw["start"],
            leaving=bool(raw.get("leaving")),
            primary=raw.get("primary") or "",
            state_tag=raw.get("state") or "",
        )
    except (ValueError, KeyError, TypeError):
        return None
