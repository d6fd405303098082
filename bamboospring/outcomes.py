"""The outcomes of statements.

`NotRun` and `Overloaded` are used only if nothing was sent to a target or the
target itself reported that nothing ran. Every other statement without an
answer has the outcome `Unknown`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

__all__ = [
    "Done",
    "Failed",
    "NotRun",
    "Outcome",
    "Overloaded",
    "Reason",
    "Unknown",
]


class Reason(str, Enum):
    """Why a statement was refused, failed or has an unknown outcome."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_GROUP = "unknown_group"
    UNKNOWN_KEY = "unknown_key"
    KEY_UNCONFIRMED = "key_unconfirmed"
    TEAM_LIMIT = "team_limit"
    QUOTA_UNAVAILABLE = "quota_unavailable"
    BAD_TOKEN = "bad_token"
    TOKEN_AHEAD = "token_ahead"
    STALE = "stale"
    NO_HOLDER = "no_holder"
    NOT_HOLDER = "not_holder"
    NO_PRIMARY = "no_primary"
    PRIMARY_CHANGED = "primary_changed"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_LEAVING = "target_leaving"
    TARGET_SLOTS = "target_slots"
    TARGET_CONNECTIONS = "target_connections"
    HOLDER_LOST = "holder_lost"
    QUEUE_FULL = "queue_full"
    CALLER_GONE = "caller_gone"
    CALLER_LIMIT = "caller_limit"
    DEADLINE = "deadline"
    NO_MAJORITY = "no_majority"
    NO_STATEMENT = "no_statement"
    NO_TRANSACTION = "no_transaction"
    TRANSACTION_LOST = "transaction_lost"
    TRANSACTION_IDLE = "transaction_idle"
    KEY_REUSED = "key_reused"
    LOCK_TIMEOUT = "lock_timeout"
    SQL = "sql"
    DRAINING = "draining"
    STARTING = "starting"
    ANSWER_LOST = "answer_lost"


@dataclass(slots=True, kw_only=True)
class Done:
    """The statement ran, and a majority holds its effect.

    `columns` and `rows` are JSON arrays, passed on unparsed as the target
    sent them.
    """

    term: int
    index: int
    target: str
    columns: bytes = b"[]"
    rows: bytes = b"[]"
    rowcount: int = 0
    replayed: bool = False
    at_replica: bool = False
    transaction: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Failed:
    """The statement ran and was rolled back, for example an SQL error."""

    reason: Reason
    message: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """Nothing ran. Another try is useful after `retry_after_ms`."""

    reason: Reason
    retry_after_ms: int = 0
    message: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Overloaded:
    """Nothing ran, because a limit or queue is full."""

    reason: Reason
    retry_after_ms: int = 0
    message: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class Unknown:
    """It may or may not have run; a retry with the same key finds out."""

    reason: Reason
    retry_after_ms: int = 0
    message: str = ""


Outcome = Done | Failed | NotRun | Overloaded | Unknown
