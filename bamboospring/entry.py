"""The entry: accept the requests of callers and return the answers.

See docs/CALLERS.md for the interface. A request is validated completely
here, before anything is forwarded.
"""

from __future__ import annotations

from collections.abc import Callable
import itertools
from typing import Any

from bamboospring.components import BaseComponent
import orjson
from pydantic import ValidationError

from bamboospring.blackboard import Blackboard
from bamboospring.forwarding import Forwarder
from bamboospring.forwarding import LocalHolder
from bamboospring.http_server import HttpServer
from bamboospring.http_server import Request
from bamboospring.http_server import RequestLimits
from bamboospring.http_server import Response
from bamboospring.membership import Membership
from bamboospring.outcomes import Done
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Reason
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement
from bamboospring.requests import SessionRequest
from bamboospring.requests import StatementRequest
from bamboospring.requests import TransactionRequest
from bamboospring.responses import bad_request
from bamboospring.responses import encode_outcome
from bamboospring.responses import explain
from bamboospring.retry_budget import RetryBudget
from bamboospring.statement_log import log_outcome
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.tokens import InvalidToken
from bamboospring.tokens import SessionPositions
from bamboospring.tokens import TokenCodec

__all__ = ["Entry"]

NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405

STEP_KINDS = {
    "begin": StepKind.BEGIN,
    "statement": StepKind.STATEMENT,
    "commit": StepKind.COMMIT,
    "rollback": StepKind.ROLLBACK,
}

Respond = Callable[[Response], None]
# Called with the statement, its outcome, the duration in seconds and the time
# of the answer.
OnAnswered = Callable[[Statement, Outcome, float, float], None]


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
        holder: LocalHolder,
        codec: TokenCodec,
        membership: Membership,
        listen: str,
        reuse_port: bool = False,
        request_limits: RequestLimits = RequestLimits(),
        budget: RetryBudget | None = None,
        on_answered: OnAnswered = lambda *_: None,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._codec = codec
        self._traces = itertools.count(1)
        self._on_answered = on_answered
        self._forwarder = Forwarder(
            reactor=reactor,
            board=board,
            placement=placement,
            peers=peers,
            holder=holder,
            codec=codec,
            membership=membership,
            budget=budget or RetryBudget(),
        )
        self._routes: dict[str, Callable[[bytes, Respond], None]] = {
            "/v1/sessions": self._open_session,
            "/v1/statements": self._run_statement,
            "/v1/transactions": self._run_step,
        }
        self.server = HttpServer(
            reactor=reactor,
            address=listen,
            handler=self._handle,
            reuse_port=reuse_port,
            limits=request_limits,
        )

    def _handle(self, req: Request, respond: Respond) -> None:
        route = self._routes.get(req.path)
        if route is None:
            respond(bad_request("no such path", status=NOT_FOUND))
            return
        if req.method != "POST":
            respond(
                bad_request("only POST is allowed", status=METHOD_NOT_ALLOWED)
            )
            return
        try:
            route(req.body, respond)
        except ValidationError as exc:
            respond(bad_request(explain(exc)))

    def _open_session(self, body: bytes, respond: Respond) -> None:
        req = SessionRequest.model_validate_json(body)
        token = self._codec.encode(SessionPositions(caller=req.caller))
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
            step=STEP_KINDS[req.step],
            transaction=req.transaction or "",
        )

    def _run(
        self,
        req: StatementRequest | TransactionRequest,
        respond: Respond,
        **fields: Any,
    ) -> None:
        session = self._codec.decode(req.token)
        if isinstance(session, InvalidToken):
            respond(bad_request(session.message, Reason.BAD_TOKEN))
            return
        started_at = self._reactor.now()
        stmt = Statement(
            group=req.group,
            caller=session.caller,
            params=orjson.dumps(req.params),
            key=req.key or "",
            deadline=started_at + req.deadline_ms / 1000,
            token=session.position(req.group),
            trace=f"{self._board.local_vm.name}-{next(self._traces)}",
            **fields,
        )
        if stmt.write and not session.can_record(req.group):
            respond(bad_request("the session writes to too many groups"))
            return

        def on_complete(outcome: Outcome) -> None:
            now = self._reactor.now()
            self._on_answered(stmt, outcome, now - started_at, now)
            log_outcome("answered", stmt, outcome)
            respond(self._respond(session, stmt, outcome))

        self._forwarder.forward(stmt, on_complete)

    def _respond(
        self, session: SessionPositions, stmt: Statement, outcome: Outcome
    ) -> Response:
        if isinstance(outcome, Done) and _has_written(stmt):
            position = Position(term=outcome.term, index=outcome.index)
            session = session.advanced(stmt.group, position)
        return encode_outcome(stmt.group, outcome, self._codec.encode(session))


def _has_written(stmt: Statement) -> bool:
    if stmt.step is StepKind.AUTOCOMMIT:
        return stmt.write
    return stmt.step is StepKind.COMMIT
