"""What callers send, as models checked at the border.

Everything that passes here can be put into JSON again for a holder and a
target without a loss: no NaN, no integers beyond 64 bits, no halves of
surrogate pairs.
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

MAX_NAME = 200
MAX_HANDLE = 1_024
MAX_INTEGER = 2**63 - 1
MAX_TOKEN = 16_384
MAX_SQL = 65_536
MAX_PARAMS = 1_000
MAX_DEADLINE_MS = 60_000
DEFAULT_DEADLINE_MS = 2_000
MAX_STALENESS_MS = 86_400_000


def _encodable(text: str) -> str:
    try:
        text.encode()
    except UnicodeEncodeError:
        raise ValueError("not valid Unicode") from None
    return text


Text = Annotated[str, AfterValidator(_encodable)]


def _checked_scalar(value: Any) -> Any:
    # A union of types would take an integer that is too large as a float
    # and change its value without a word.
    match value:
        case None | bool():
            return value
        case str():
            return _encodable(value)
        case int() if -MAX_INTEGER - 1 <= value <= MAX_INTEGER:
            return value
        case float() if math.isfinite(value):
            return value
        case int() | float():
            raise ValueError("a number out of range")
        case _:
            raise ValueError("neither text, number, boolean nor null")


Scalar = Annotated[Any, AfterValidator(_checked_scalar)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, allow_inf_nan=False)


class SessionRequest(_Model):
    """Open a session."""

    caller: Text = Field(min_length=1, max_length=MAX_NAME)


class _Work(_Model):
    token: str = Field(max_length=MAX_TOKEN)
    group: Text = Field(min_length=1, max_length=MAX_NAME)
    params: list[Scalar] = Field(default=[], max_length=MAX_PARAMS)
    key: Text | None = Field(default=None, min_length=1, max_length=MAX_NAME)
    deadline_ms: int = Field(
        default=DEFAULT_DEADLINE_MS, ge=1, le=MAX_DEADLINE_MS
    )


class StatementRequest(_Work):
    """One statement in a transaction of its own."""

    kind: Literal["read", "write"]
    sql: Text = Field(min_length=1, max_length=MAX_SQL)
    staleness_ms: int | None = Field(default=None, ge=0, le=MAX_STALENESS_MS)


class TransactionRequest(_Work):
    """A step of a transaction over several requests."""

    step: Literal["begin", "statement", "commit", "rollback"]
    transaction: str | None = Field(default=None, max_length=MAX_HANDLE)
    kind: Literal["read", "write"] = "write"
    sql: Text | None = Field(default=None, max_length=MAX_SQL)

    def model_post_init(self, _context: Any) -> None:
        """Check what belongs together."""
        if self.step == "statement" and not self.sql:
            raise ValueError("a statement needs sql")
        if self.step != "begin" and not self.transaction:
            raise ValueError(f"{self.step} needs the transaction's handle")
