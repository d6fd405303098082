"""Encode statements that one VM runs for another, and their results.

Heads are JSON arrays: they are small and quick to build, which matters because
each forwarded statement has one.
"""

from __future__ import annotations

from dataclasses import dataclass

import orjson

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
    "decode_objective",
    "decode_result",
    "decode_statement",
    "encode_objective",
    "encode_result",
    "encode_statement",
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


def _encode_position(position: Position | None) -> tuple[int, int] | None:
    return None if position is None else (position.term, position.index)


def _decode_position(pair: list[int] | None) -> Position | None:
    return None if pair is None else Position(term=pair[0], index=pair[1])
