"""The ports of sessions: towards callers, targets and who orders promotions.

An adapter speaks with the outside and gives these values; nothing here knows
what is on a wire.
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
    "ResetConnection",
    "Commit",
    "CommitWork",
    "Execute",
    "HoldTerm",
    "LinkLost",
    "MalformedStatement",
    "TargetOrder",
    "Prepare",
    "PrepareShape",
    "PromotionOrders",
    "PromotionResult",
    "Refusal",
    "Deallocate",
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
    "SetValue",
    "Shape",
    "SessionStatement",
    "StepDown",
    "TargetReply",
    "TextStatement",
]


# What a caller asks for.


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
    """Read or write, with the text that reaches the target unchanged."""

    writes: bool
    text: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Execute:
    """Run a prepared statement; `arguments` reach the target unchanged."""

    name: str
    arguments: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SetValue:
    """Set a value of the session."""

    name: str
    value: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Prepare:
    """Give a shape a name in the session."""

    name: str
    shape: Shape


@dataclass(frozen=True, slots=True, kw_only=True)
class Deallocate:
    """Forget a prepared name."""

    name: str


@dataclass(frozen=True, slots=True, kw_only=True)
class MalformedStatement:
    """What could not be understood, and why."""

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


# What a caller is told.


class SessionState(Enum):
    """Where a session stands between statements."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


@dataclass(slots=True, kw_only=True)
class Served:
    """A target ran the statement; rows and signature are its own."""

    rows: list[str]
    signature: str
    target: str
    at_replica: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AcknowledgedLocally:
    """The proxy itself did what was asked; no target was needed."""


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
        """Send the answer to the statement under way."""

    def begin_refusal(self, refusal: NotRun) -> None:
        """Send the beginning of an answer before anything was asked."""

    def finish_refusal(self, state: SessionState) -> None:
        """Send the end of the answer that `dismiss` began."""

    def close(self) -> None:
        """Close once all answers have been sent."""


# What a target is told, and what it answers.


@dataclass(frozen=True, slots=True, kw_only=True)
class ResetConnection:
    """Forget all values and prepared names of the connection."""


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
    """Open a transaction; the log must have `after`."""

    read_only: bool
    after: Position | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RunText:
    """Run a caller's text; the log must have `after`."""

    id: str
    text: str
    after: Position | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class RunShape:
    """Run a prepared shape; the log must have `after`."""

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
    """Roll the connection's transaction back."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AskReport:
    """Ask the target for its place in the group."""


@dataclass(frozen=True, slots=True, kw_only=True)
class HoldTerm:
    """Have a replica hold a term: it takes nothing of a lower one."""

    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ResumeReceiving:
    """Have a replica receive again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StepDown:
    """Have a primary of a lower term become a replica."""

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
    """Why a target did not do what it was told.

    The first five are promises that nothing ran. `FAILED` and `TIMED_OUT`
    mean that it ran; `OTHER` is a refusal of the order itself.
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
        """Tell whether the order surely had no effect."""
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
    """A target's whole answer to one order."""

    rows: list[str] = field(default_factory=list)
    signature: str = ""
    refusal: Refusal | None = None
    message: str = ""
    state: SessionState = SessionState.IDLE
    position: Position | None = None
    report: TargetReport | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class LinkLost:
    """No whole answer came; `silent` if the connection seemed to stand."""

    unresponsive: bool = False


class SessionLink(TargetLink, Protocol):
    """A connection to a target with its values and prepared shapes.

    Both mirror what the target has acknowledged.
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
        """Send all orders at once and call back with all the answers.

        After `timeout` seconds without them the connection is closed, which
        rolls its transaction back.
        """


class PromotionResult(Enum):
    """What became of the order to promote a target."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class PromotionOrders(Protocol):
    """Who makes a target the primary of its group."""

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
        """Order it under the fencing number of the holder's lease.

        Without an answer within `timeout` seconds the connection is reset,
        so that what has not arrived by then never does.
        """
