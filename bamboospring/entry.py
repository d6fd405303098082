"""The entry: takes callers' requests and forwards them to a holder."""

from __future__ import annotations

from collections.abc import Callable
import itertools
from typing import Any

from circuits import BaseComponent
import orjson
from pydantic import ValidationError

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm
from bamboospring.holder import Holder
from bamboospring.http_codec import HttpServer
from bamboospring.http_codec import Request
from bamboospring.http_codec import Response
from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement
from bamboospring.requests import SessionRequest
from bamboospring.requests import StatementRequest
from bamboospring.requests import TransactionRequest
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import Step
from bamboospring.tokens import BadToken
from bamboospring.tokens import Session
from bamboospring.tokens import TokenCodec
from bamboospring.wire import decode_outcome
from bamboospring.wire import encode_statement

__all__ = ["Entry"]

RETRY_SOON_MS = 100
# The holder's own final answer comes at the deadline; the entry gives it this
# much longer, in seconds, to arrive.
ANSWER_GRACE = 0.2

STEPS = {
    "begin": Step.BEGIN,
    "statement": Step.STATEMENT,
    "commit": Step.COMMIT,
    "rollback": Step.ROLLBACK,
}

Respond = Callable[[Response], None]
OnOutcome = Callable[[Outcome], None]


class Entry(BaseComponent):
    """Serve callers over HTTP/JSON."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        holder: Holder,
        codec: TokenCodec,
        listen: str,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._holder = holder
        self._codec = codec
        self._turn = itertools.count()
        self._traces = itertools.count(1)
        self.server = HttpServer(
            reactor=reactor, address=listen, handler=self._handle
        )

    def _handle(self, req: Request, respond: Respond) -> None:
        routes: dict[str, Callable[[bytes, Respond], None]] = {
            "/v1/sessions": self._open_session,
            "/v1/statements": self._run_statement,
            "/v1/transactions": self._run_step,
        }
        route = routes.get(req.path)
        if route is None:
            respond(_bad_request("no such path", status=404))
            return
        if req.method != "POST":
            respond(_bad_request("only POST", status=405))
            return
        try:
            route(req.body, respond)
        except ValidationError as exc:
            respond(_bad_request(_explain(exc)))

    def _open_session(self, body: bytes, respond: Respond) -> None:
        req = SessionRequest.model_validate_json(body)
        token = self._codec.encode(Session(caller=req.caller))
        respond(Response(body=orjson.dumps({"token": token})))

    def _run_statement(self, body: bytes, respond: Respond) -> None:
        req = StatementRequest.model_validate_json(body)
        staleness = req.staleness_ms
        self._run(
            req,
            respond,
            write=req.kind == "write",
            sql=req.sql,
            staleness=None if staleness is None else staleness / 1000,
        )

    def _run_step(self, body: bytes, respond: Respond) -> None:
        req = TransactionRequest.model_validate_json(body)
        self._run(
            req,
            respond,
            write=req.kind == "write",
            sql=req.sql or "",
            step=STEPS[req.step],
            transaction=req.transaction or "",
        )

    def _run(
        self,
        req: StatementRequest | TransactionRequest,
        respond: Respond,
        **more: Any,
    ) -> None:
        session = self._codec.decode(req.token)
        if isinstance(session, BadToken):
            respond(_bad_request(session.message, Reason.BAD_TOKEN))
            return
        stmt = Statement(
            group=req.group,
            caller=session.caller,
            params=orjson.dumps(req.params),
            key=req.key or "",
            deadline=self._reactor.now() + req.deadline_ms / 1000,
            token=session.position(req.group),
            trace=f"{self._board.me.name}-{next(self._traces)}",
            **more,
        )

        def done(outcome: Outcome) -> None:
            respond(self._respond(session, stmt, outcome))

        self._forward(stmt, done)

    # To a holder.

    def _forward(self, stmt: Statement, done: OnOutcome) -> None:
        if not self._board.knows_group(stmt.group):
            done(NotRun(reason=Reason.UNKNOWN_GROUP))
            return
        vm = self._choose_holder(stmt)
        if vm is None:
            done(NotRun(reason=Reason.NO_HOLDER, retry_after_ms=RETRY_SOON_MS))
        elif vm.name == self._board.me.name:
            self._holder.run(stmt, done)
        else:
            self._ask(vm, stmt, done)

    def _choose_holder(self, stmt: Statement) -> Vm | None:
        if stmt.transaction:
            name = stmt.transaction.partition("/")[0]
            return self._board.vms.get(name)
        holders = self._placement.holders(stmt.group)
        live = [vm for vm in holders if vm.liveness is Liveness.LIVE]
        if not live:
            return None
        return live[next(self._turn) % len(live)]

    def _ask(self, vm: Vm, stmt: Statement, done: OnOutcome) -> None:
        now = self._reactor.now()

        def answered(answer: Any) -> None:
            if isinstance(answer, PeerLost):
                done(_lost(stmt, answer))
            else:
                done(decode_outcome(answer))

        timeout = max(0.0, stmt.deadline - now) + ANSWER_GRACE
        self._peers.ask(
            vm.address, encode_statement(stmt, now), timeout, answered
        )

    # Back to the caller.

    def _respond(
        self, session: Session, stmt: Statement, outcome: Outcome
    ) -> Response:
        if isinstance(outcome, Done) and _wrote(stmt):
            position = Position(term=outcome.term, index=outcome.index)
            session = session.moved(stmt.group, position)
        token = self._codec.encode(session)
        return _encode(stmt.group, outcome, token)


def _wrote(stmt: Statement) -> bool:
    if stmt.step is Step.AUTOCOMMIT:
        return stmt.write
    return stmt.step is Step.COMMIT


def _lost(stmt: Statement, lost: PeerLost) -> Outcome:
    """Say what is known when the holder's answer did not come.

    The steps inside a transaction before its commit are undone with the
    holder's connection. A lone read may have run, so it is unknown too.
    """
    if not lost.sent:
        return NotRun(reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS)
    if stmt.step in (Step.COMMIT, Step.AUTOCOMMIT):
        return Unknown(reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS)
    return NotRun(reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS)


def _encode(group: str, outcome: Outcome, token: str) -> Response:
    body: dict[str, Any] = {"group": group, "token": token}
    headers: dict[str, str] = {}
    match outcome:
        case Done():
            status = 200
            body |= {
                "outcome": "done",
                "term": outcome.term,
                "index": outcome.index,
                "target": outcome.target,
                "columns": outcome.columns,
                "rows": outcome.rows,
                "rowcount": outcome.rowcount,
                "replayed": outcome.replayed,
                "at_replica": outcome.at_replica,
                "transaction": outcome.transaction or None,
            }
        case Failed():
            status = 422
            body |= {"outcome": "failed"}
        case NotRun():
            status = 400 if _is_callers_fault(outcome.reason) else 503
            body |= {"outcome": "not_run"}
        case Overloaded():
            status = 503
            body |= {"outcome": "overloaded"}
        case Unknown():
            status = 504
            body |= {"outcome": "unknown"}
    if not isinstance(outcome, Done):
        body |= {"reason": outcome.reason.value, "message": outcome.message}
    if isinstance(outcome, NotRun | Overloaded | Unknown):
        body["retry_after_ms"] = outcome.retry_after_ms
        if status != 400:
            seconds = -(-outcome.retry_after_ms // 1000)
            headers["Retry-After"] = str(seconds)
    return Response(status=status, body=orjson.dumps(body), headers=headers)


def _is_callers_fault(reason: Reason) -> bool:
    return reason in (
        Reason.UNKNOWN_GROUP,
        Reason.BAD_TOKEN,
        Reason.BAD_REQUEST,
        Reason.KEY_REUSED,
        Reason.NO_TRANSACTION,
    )


def _bad_request(
    message: str,
    reason: Reason = Reason.BAD_REQUEST,
    status: int = 400,
) -> Response:
    body = {"outcome": "not_run", "reason": reason.value, "message": message}
    return Response(status=status, body=orjson.dumps(body))


def _explain(exc: ValidationError) -> str:
    parts = []
    for error in exc.errors(include_url=False, include_input=False):
        place = ".".join(str(part) for part in error["loc"])
        parts.append(f"{place}: {error['msg']}" if place else error["msg"])
    return "; ".join(parts)
