"""The requests of callers, as models that validate them.

Every accepted value can be encoded as JSON for a holder and a target without
loss: no NaN, no integers beyond 64 bits, no lone surrogates.
"""

from __future__ import annotations

import math
from typing import Annotated
from typing import Any
from typing import Literal

from pydantic import AfterValidator
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field

__all__ = ["SessionRequest", "StatementRequest", "TransactionRequest"]

MAX_NAME_LENGTH = 200
MAX_HANDLE_LENGTH = 1_024
MAX_INTEGER = 2**63 - 1
MAX_TOKEN_LENGTH = 16_384
MAX_SQL_LENGTH = 65_536
MAX_PARAMS = 1_000
MAX_DEADLINE_MS = 60_000
DEFAULT_DEADLINE_MS = 2_000
MAX_STALENESS_MS = 86_400_000


def _check_encodable(text: str) -> str:
    try:
        text.encode()
    except UnicodeEncodeError:
        raise ValueError("not valid Unicode") from None
    return text


Text = Annotated[str, AfterValidator(_check_encodable)]


def _check_scalar(value: Any) -> Any:
    # A union of types would silently convert an integer that is too large to
    # a float and change its value.
    match value:
        case None | bool():
            return value
        case str():
            return _check_encodable(value)
        case int() if -MAX_INTEGER - 1 <= value <= MAX_INTEGER:
            return value
        case float() if math.isfinite(value):
            return value
        case int() | float():
            raise ValueError("the number is out of range")
        case _:
            raise ValueError("must be text, a number, a boolean or null")


Scalar = Annotated[Any, AfterValidator(_check_scalar)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)


class SessionRequest(_Model):
    """A request to open a session."""

    caller: Text = Field(min_length=1, max_length=MAX_NAME_LENGTH)


class _StatementFields(_Model):
    token: str = Field(max_length=MAX_TOKEN_LENGTH)
    group: Text = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    params: list[Scalar] = Field(default=[], max_length=MAX_PARAMS)
    key: Text | None = Field(
        default=None, min_length=1, max_length=MAX_NAME_LENGTH
    )
    deadline_ms: int = Field(
        default=DEFAULT_DEADLINE_MS, ge=1, le=MAX_DEADLINE_MS
    )


class StatementRequest(_StatementFields):
    """A statement that runs in its own transaction."""

    kind: Literal["read", "write"]
    sql: Text = Field(min_length=1, max_length=MAX_SQL_LENGTH)
    staleness_ms: int | None = Field(default=None, ge=0, le=MAX_STALENESS_MS)


class TransactionRequest(_StatementFields):
    """A step of a transaction that spans several requests."""

    step: Literal["begin", "statement", "commit", "rollback"]
    transaction: str | None = Field(default=None, max_length=MAX_HANDLE_LENGTH)
    kind: Literal["read", "write"] = "write"
    sql: Text | None = Field(default=None, max_length=MAX_SQL_LENGTH)

    def model_post_init(self, _context: Any) -> None:
        """Check the fields that depend on each other."""
        if self.step == "statement" and not self.sql:
            raise ValueError("the step statement requires sql")
        if self.step != "begin" and not self.transaction:
            raise ValueError(f"{self.step} requires the transaction handle")
