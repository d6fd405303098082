"""Encode statements that one VM runs for another, and their results.

Heads are JSON arrays: they are small and quick to build, which matters because
each forwarded statement has one.
"""

from __future__ import annotations

from dataclasses import dataclass

import orjson

from bamboospring.errors import MessageError
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import Shape
from bamboospring.sessions.ports import TargetReply
from bamboospring.statements import Position

__all__ = [
    "ForwardRequest",
    "ForwardResult",
    "HeldOpening",
    "HeldStep",
    "decode_objective",
    "decode_result",
    "decode_statement",
    "decode_step",
    "encode_objective",
    "encode_result",
    "encode_statement",
    "encode_step",
]


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardRequest:
    """A single statement with everything that its holder needs to run it.

    `address` and `born` identify the incarnation of the target that was
    chosen. `text` is None for a prepared statement, which has `shape` and
    `arguments` instead. `values` are those of the caller's session. The
    target's log must have reached `after`, if it is given. `remaining` is the
    time limit in seconds; within `slot_timeout` seconds the statement must get
    a slot. The holder must not abandon a read that is not `abandonable`, see
    `bamboospring.sessions.overdue`.

    `objective` is in how many seconds it should be answered, negative if it is
    late; None without load control and from older VMs. It is not part of the
    head, whose members older VMs count, see `encode_objective`.
    """

    id: str
    caller: str
    team: str
    group: str
    target: str
    address: str
    born: int
    values: dict[str, str]
    remaining: float
    slot_timeout: float
    urgency: int = 0
    writes: bool = False
    text: str | None = None
    shape: Shape | None = None
    arguments: str = ""
    after: Position | None = None
    abandonable: bool = True
    objective: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldOpening:
    """What a holder needs to open a transaction.

    The members are as in `ForwardRequest`.
    """

    caller: str
    team: str
    group: str
    target: str
    address: str
    born: int
    slot_timeout: float
    urgency: int = 0
    read_only: bool = False
    after: Position | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldStep:
    """One statement of a transaction at a holder, or its commit.

    Step 0 has an `opening`. `text` and `shape` are None for a commit. The
    members are as in `ForwardRequest`.
    """

    id: str
    values: dict[str, str]
    remaining: float
    writes: bool = False
    text: str | None = None
    shape: Shape | None = None
    arguments: str = ""
    opening: HeldOpening | None = None

    @property
    def is_commit(self) -> bool:
        """Return whether this is the commit."""
        return self.text is None and self.shape is None


# The result: the target's complete reply, a refusal by the holder (the
# statement has not run), or a lost connection to the target.
ForwardResult = TargetReply | NotRun | Overloaded | LinkLost

REPLY = 0
NOT_RUN = 1
OVERLOADED = 2
LOST = 3


def encode_statement(request: ForwardRequest) -> bytes:
    """Encode a statement for its holder."""
    shape = request.shape
    fields: tuple = (
        request.id,
        request.caller,
        request.team,
        request.group,
        request.target,
        request.address,
        request.born,
        request.values,
        round(request.remaining * 1e6),
        round(request.slot_timeout * 1e6),
        request.urgency,
        request.writes,
        request.text,
        shape.text if shape is not None else None,
        request.arguments,
        _encode_position(request.after),
    )
    # Sent only if it is not the default, so that VMs of an older version can
    # decode all other statements.
    if not request.abandonable:
        fields += (False,)
    return orjson.dumps(fields)


def encode_objective(seconds: float | None) -> int:
    """Encode the time left to an objective; 0 means that there is none."""
    return 0 if seconds is None else round(seconds * 1e6) or 1


def decode_objective(microseconds: int) -> float | None:
    """Decode the output of `encode_objective`."""
    return microseconds / 1e6 if microseconds else None


def decode_statement(head: bytes, objective_us: int = 0) -> ForwardRequest:
    """Decode the output of `encode_statement` and `encode_objective`."""
    (
        id,
        caller,
        team,
        group,
        target,
        address,
        born,
        values,
        left_us,
        patience_us,
        urgency,
        writes,
        text,
        shape,
        arguments,
        after,
        *optional,
    ) = orjson.loads(head)
    return ForwardRequest(
        id=id,
        caller=caller,
        team=team,
        group=group,
        target=target,
        address=address,
        born=born,
        values=values,
        remaining=left_us / 1e6,
        slot_timeout=patience_us / 1e6,
        urgency=urgency,
        writes=writes,
        text=text,
        shape=None if shape is None else Shape(writes=writes, text=shape),
        arguments=arguments,
        after=_decode_position(after),
        abandonable=optional[0] if optional else True,
        objective=decode_objective(objective_us),
    )


def encode_result(result: ForwardResult) -> bytes:
    """Encode the result of a statement for the VM that sent it."""
    match result:
        case TargetReply():
            refusal = result.refusal
            fields: tuple = (
                REPLY,
                result.rows,
                result.signature,
                refusal.value if refusal is not None else None,
                result.message,
                _encode_position(result.position),
            )
        case NotRun(reason=reason, retry_after_ms=retry, message=message):
            fields = (NOT_RUN, reason.value, retry, message)
        case Overloaded(reason=reason, retry_after_ms=retry, message=message):
            fields = (OVERLOADED, reason.value, retry, message)
        case LinkLost(unresponsive=unresponsive):
            fields = (LOST, unresponsive)
    return orjson.dumps(fields)


def decode_result(head: bytes) -> ForwardResult:
    """Decode the output of `encode_result`."""
    kind, *rest = orjson.loads(head)
    if kind == LOST:
        return LinkLost(unresponsive=rest[0])
    if kind in (NOT_RUN, OVERLOADED):
        reason, retry, message = rest
        refused = NotRun if kind == NOT_RUN else Overloaded
        return refused(
            reason=Reason(reason), retry_after_ms=retry, message=message
        )
    rows, signature, refusal, message, position = rest
    return TargetReply(
        rows=rows,
        signature=signature,
        refusal=None if refusal is None else Refusal(refusal),
        message=message,
        position=_decode_position(position),
    )


def encode_step(step: HeldStep) -> bytes:
    """Encode a step of a transaction for its holder."""
    shape, opening = step.shape, step.opening
    return orjson.dumps(
        (
            step.id,
            step.values,
            round(step.remaining * 1e6),
            step.writes,
            step.text,
            shape.text if shape is not None else None,
            step.arguments,
            None if opening is None else _encode_opening(opening),
        )
    )


def decode_step(head: bytes) -> HeldStep:
    """Decode the output of `encode_step`; raise `MessageError` otherwise."""
    try:
        id, values, left_us, writes, text, shape, arguments, opening = (
            orjson.loads(head)
        )
        return HeldStep(
            id=id,
            values=values,
            remaining=left_us / 1e6,
            writes=writes,
            text=text,
            shape=None if shape is None else Shape(writes=writes, text=shape),
            arguments=arguments,
            opening=None if opening is None else _decode_opening(opening),
        )
    except (ValueError, TypeError) as exc:
        raise MessageError(f"malformed step: {exc}") from exc


def _encode_opening(opening: HeldOpening) -> tuple:
    return (
        opening.caller,
        opening.team,
        opening.group,
        opening.target,
        opening.address,
        opening.born,
        round(opening.slot_timeout * 1e6),
        opening.urgency,
        opening.read_only,
        _encode_position(opening.after),
    )


def _decode_opening(fields: list) -> HeldOpening:
    (
        caller,
        team,
        group,
        target,
        address,
        born,
        slot_timeout_us,
        urgency,
        read_only,
        after,
    ) = fields
    return HeldOpening(
        caller=caller,
        team=team,
        group=group,
        target=target,
        address=address,
        born=born,
        slot_timeout=slot_timeout_us / 1e6,
        urgency=urgency,
        read_only=read_only,
        after=_decode_position(after),
    )


def _encode_position(position: Position | None) -> tuple[int, int] | None:
    return None if position is None else (position.term, position.index)


def _decode_position(pair: list[int] | None) -> Position | None:
    return None if pair is None else Position(term=pair[0], index=pair[1])
