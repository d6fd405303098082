"""The ports of sessions to callers, targets and the promotion service.

An adapter translates between a wire format and these values; nothing in this
module depends on the format.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Protocol

from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Unknown
from bamboospring.sessions.proofs import TargetReport
from bamboospring.statements import Position
from bamboospring.target_link import TargetLink

__all__ = [
    "AcknowledgedLocally",
    "AskReport",
    "Assign",
    "Begin",
    "BeginWork",
    "CallerChannel",
    "Commit",
    "CommitWork",
    "Deallocate",
    "Execute",
    "HoldTerm",
    "LinkLost",
    "MalformedStatement",
    "Prepare",
    "PrepareShape",
    "PromotionOrders",
    "PromotionResult",
    "Refusal",
    "ResetConnection",
    "ResumeReceiving",
    "Rollback",
    "RollbackWork",
    "RunShape",
    "RunText",
    "Served",
    "SessionAnswer",
    "SessionLink",
    "SessionOutcome",
    "SessionState",
    "SessionStatement",
    "SetValue",
    "Shape",
    "StepDown",
    "TargetOrder",
    "TargetReply",
    "TextStatement",
]


# Statements of callers.


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """The text of a prepared statement and whether it writes."""

    writes: bool
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Begin:
    """Open a transaction."""

    read_only: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Commit:
    """Commit the open transaction."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Rollback:
    """Roll the open transaction back."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TextStatement:
    """A read or write as text, which reaches the target unchanged."""

    writes: bool
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Execute:
    """Run a prepared statement; `arguments` reach the target unchanged."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SetValue:
    """Set a session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Prepare:
    """Store a shape under a name in the session."""

    name: str
    shape: Shape


@dataclass(frozen=True, slots=True, kw_only=True)
class Deallocate:
    """Delete a prepared name from the session."""

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MalformedStatement:
    """A statement that could not be parsed, and the reason."""

    message: str


SessionStatement = (
    Begin
    | Commit
    | Rollback
    | TextStatement
    | Execute
    | SetValue
    | Prepare
    | Deallocate
    | MalformedStatement
)


# Answers to callers.


class SessionState(Enum):
    """The transaction state of a session between statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@dataclass(slots=True, kw_only=True)
class Served:
    """A target ran the statement and returned these rows and signature."""

    rows: list[str]
    signature: str
    target: str
    at_replica: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AcknowledgedLocally:
    """The proxy handled the statement itself, without a target."""


SessionOutcome = (
    Served | AcknowledgedLocally | Failed | NotRun | Overloaded | Unknown
)


@dataclass(slots=True, kw_only=True)
class SessionAnswer:
    """The answer to one statement of a session."""

    outcome: SessionOutcome
    state: SessionState
    position: Position | None = None


class CallerChannel(Protocol):
    """The connection of one caller."""

    def answer(self, answer: SessionAnswer) -> None:
        """Send the answer to the current statement."""

    def begin_refusal(self, refusal: NotRun) -> None:
        """Send the first part of an answer before a statement has arrived."""

    def finish_refusal(self, state: SessionState) -> None:
        """Send the rest of the answer that `begin_refusal` started."""

    def close(self) -> None:
        """Close the connection once all answers have been sent."""


# Orders to targets and their replies.


@dataclass(frozen=True, slots=True, kw_only=True)
class ResetConnection:
    """Discard all values and prepared shapes of the connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Assign:
    """Set a value on the connection."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PrepareShape:
    """Prepare a shape under the name that all connections use for it."""

    shape: Shape


@dataclass(frozen=True, slots=True, kw_only=True)
class BeginWork:
    """Open a transaction; the target's log must have reached `after`."""

    read_only: bool
    after: Position | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RunText:
    """Run a caller's text; the target's log must have reached `after`."""

    id: str
    text: str
    after: Position | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RunShape:
    """Run a prepared shape; the target's log must have reached `after`."""

    id: str
    shape: Shape
    arguments: str
    after: Position | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CommitWork:
    """Commit on behalf of the caller's request `id`."""

    id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RollbackWork:
    """Roll back the transaction of the connection."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskReport:
    """Ask the target for its report."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HoldTerm:
    """Make a replica hold a term and accept nothing of a lower one."""

    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ResumeReceiving:
    """Make a replica resume receiving the primary's log."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StepDown:
    """Make a primary of a lower term become a replica."""

    term: int


TargetOrder = (
    ResetConnection
    | Assign
    | PrepareShape
    | BeginWork
    | RunText
    | RunShape
    | CommitWork
    | RollbackWork
    | AskReport
    | HoldTerm
    | ResumeReceiving
    | StepDown
)


class Refusal(Enum):
    """Why a target refused an order.

    The first five guarantee that the order had no effect. `FAILED` and
    `TIMED_OUT` mean that it ran; `OTHER` rejects the order itself.
    """

    BUSY = "busy"
    BEHIND = "behind"
    NOT_PRIMARY = "not_primary"
    UNKNOWN_SHAPE = "unknown_shape"
    NOT_DONE = "not_done"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    OTHER = "other"

    @property
    def guarantees_not_run(self) -> bool:
        """Return whether the order certainly had no effect."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        Refusal.BUSY,
        Refusal.BEHIND,
        Refusal.NOT_PRIMARY,
        Refusal.UNKNOWN_SHAPE,
        Refusal.NOT_DONE,
    }
)


@dataclass(slots=True, kw_only=True)
class TargetReply:
    """The complete reply of a target to one order."""

    rows: list[str] = field(default_factory=list)
    signature: str = ""
    refusal: Refusal | None = None
    message: str = ""
    state: SessionState = SessionState.IDLE
    position: Position | None = None
    report: TargetReport | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLost:
    """The connection ended before all replies arrived.

    `unresponsive` means that it was open, but the timeout passed.
    """

    unresponsive: bool = False


class SessionLink(TargetLink, Protocol):
    """A connection to a target with its values and prepared shapes.

    Both reflect what the target has acknowledged.
    """

    values: dict[str, str]
    shapes: set[Shape]
    state: SessionState

    def send(
        self,
        orders: Sequence[TargetOrder],
        timeout: float,
        on_complete: Callable[[list[TargetReply] | LinkLost], None],
    ) -> None:
        """Send all orders at once; call back with all replies.

        If they do not arrive within `timeout` seconds, the connection is
        closed, which rolls back its transaction.
        """


class PromotionResult(Enum):
    """The result of an order to promote a target."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class PromotionOrders(Protocol):
    """A service that makes a target the primary of its group."""

    def promote(
        self,
        *,
        group: str,
        target: str,
        holder: str,
        fence: int,
        timeout: float,
        on_complete: Callable[[PromotionResult], None],
    ) -> None:
        """Order the promotion with the fence number of the holder's lease.

        Without an answer within `timeout` seconds the connection is reset, so
        that an order that has not arrived by then never arrives.
        """
