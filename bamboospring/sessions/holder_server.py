"""Runs statements of other VMs of the zone at targets that this VM holds."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboospring import logs
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.pool import LeasedConnection
from bamboospring.pool import PendingAcquire
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.sessions.forward_messages import decode_statement
from bamboospring.sessions.forward_messages import encode_result
from bamboospring.sessions.forward_messages import ForwardRequest
from bamboospring.sessions.forward_messages import ForwardResult
from bamboospring.sessions.link_setup import link_fit
from bamboospring.sessions.link_setup import setup_orders
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import RunShape
from bamboospring.sessions.ports import RunText
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import TargetOrder
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.replies import CHANGE_RETRY_MS
from bamboospring.sessions.replies import record_reply

__all__ = ["HolderServer"]

# What found no slot at the target is queued again after so many seconds: less
# than a statement usually runs.
BUSY_RETRY_DELAY = 0.003
# A VM that asked the wrong one knows better within one round of facts.
NOT_HOLDER_RETRY_MS = 100


class HolderServer:
    """Answers the statements that other VMs pass on to this one."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        peers: Peers,
        pools: Pools[SessionLink],
    ) -> None:
        self.reactor = reactor
        self.board = board
        self.pools = pools
        self._requests: dict[tuple[str, int], _ForwardedStatement] = {}
        self.received_count = 0
        peers.add_handler("heldAsk", self._on_request)
        peers.add_handler("heldCancel", self._on_cancel)

    def _on_request(self, message: Any, reply: Reply) -> None:
        ask = message.heldAsk
        key = (ask.vm, ask.number)
        statement = decode_statement(ask.head)

        def on_complete(result: ForwardResult) -> None:
            self._requests.pop(key, None)
            answer = new_envelope()
            answer.init("heldAnswer").head = encode_result(result)
            reply(answer)
            if not isinstance(result, TargetReply):
                self._log_failure(statement, key[0], result)

        self.received_count += 1
        news = self._find_target(statement)
        if news is None:
            on_complete(
                NotRun(
                    reason=Reason.NOT_HOLDER,
                    retry_after_ms=NOT_HOLDER_RETRY_MS,
                )
            )
            return
        request = _ForwardedStatement(
            server=self,
            statement=statement,
            news=news,
            on_complete=on_complete,
        )
        self._requests[key] = request
        request.start()

    def _find_target(self, statement: ForwardRequest) -> ListedTarget | None:
        """Return the target that was meant; None if it is not to be used."""
        if self.board.draining:
            return None
        news = self.board.group(statement.group).targets.get(statement.target)
        if news is None:
            return None
        target = news.target
        is_same_target = (target.address, target.born) == (
            statement.address,
            statement.born,
        )
        if not is_same_target or self.reactor.now() >= news.usable_until:
            return None
        return news

    def _on_cancel(self, message: Any, _reply: Reply) -> None:
        cancel = message.heldCancel
        request = self._requests.get((cancel.vm, cancel.number))
        if request is not None:
            request.cancel()

    def _log_failure(
        self,
        statement: ForwardRequest,
        vm: str,
        result: NotRun | Overloaded | LinkLost,
    ) -> None:
        reason = Reason.ANSWER_LOST
        if not isinstance(result, LinkLost):
            reason = result.reason
        logs.log_event(
            "held_statement_failed",
            level=logs.Level.WARNING,
            trace=statement.id,
            of=vm,
            group=statement.group,
            target=statement.target,
            reason=reason,
        )


@dataclass(slots=True, kw_only=True, eq=False)
class _ForwardedStatement:
    """One statement on its way to its target."""

    server: HolderServer
    statement: ForwardRequest
    news: ListedTarget
    on_complete: Callable[[ForwardResult], None]
    deadline: float = 0.0
    slot_deadline: float = 0.0
    leased: LeasedConnection[SessionLink] | None = None
    pending_acquire: PendingAcquire | None = None
    is_finished: bool = False

    def start(self) -> None:
        now = self.server.reactor.now()
        self.deadline = now + self.statement.remaining
        self.slot_deadline = now + self.statement.slot_timeout
        self._acquire()

    def _acquire(self) -> None:
        if self.is_finished:
            return
        statement = self.statement
        self.pending_acquire = self.server.pools.acquire(
            self.news.target,
            self.deadline,
            statement.caller,
            self._on_leased,
            is_write=statement.writes,
            team=statement.team,
            urgency=statement.urgency,
            score=lambda link: link_fit(
                link, statement.values, statement.shape
            ),
        )

    def cancel(self) -> None:
        """Give up the place in the queue; what runs goes on to its end."""
        if self.leased is None and self.pending_acquire is not None:
            self.pending_acquire.cancel()
            self._finish(NotRun(reason=Reason.CALLER_GONE))

    def _on_leased(
        self, leased: LeasedConnection[SessionLink] | NotRun | Overloaded
    ) -> None:
        if not isinstance(leased, LeasedConnection):
            self._finish(leased)
            return
        self.leased = leased
        if self.is_finished:
            self._release(healthy=True)
            return
        statement = self.statement
        orders = setup_orders(
            leased.conn, statement.values, statement.shape, None
        )
        if not orders:
            self._send()
            return
        # The statement waits for the answers: it must not run with values
        # that are not its session's.
        leased.conn.send(orders, self._remaining(), self._on_prepared)

    def _on_prepared(self, result: list[TargetReply] | LinkLost) -> None:
        if isinstance(result, LinkLost):
            self._release(healthy=False)
            self._finish(NotRun(reason=Reason.TARGET_UNREACHABLE))
            return
        refused = [reply for reply in result if reply.refusal is not None]
        if refused:
            self._on_reply(refused[0])
        else:
            self._send()

    def _send(self) -> None:
        assert self.leased is not None
        sent_at = self.server.reactor.now()
        if not self._can_send(sent_at):
            self._release(healthy=True)
            self._finish(
                NotRun(
                    reason=Reason.PRIMARY_CHANGED,
                    retry_after_ms=CHANGE_RETRY_MS,
                )
            )
            return

        def on_result(result: list[TargetReply] | LinkLost) -> None:
            if isinstance(result, LinkLost):
                self._release(healthy=False)
                self._finish(result)
                return
            now = self.server.reactor.now()
            group = self.server.board.group(self.statement.group)
            record_reply(group, self.statement.target, result[0], sent_at, now)
            self._on_reply(result[0])

        self.leased.conn.send(
            [_order(self.statement)], self._remaining(), on_result
        )

    def _can_send(self, now: float) -> bool:
        """Tell whether the target may still run this statement.

        Without a position to ask for only the primary may, and it may have
        been replaced while the statement waited here for a connection.
        """
        if self.statement.after is not None:
            return True
        group = self.server.board.group(self.statement.group)
        primary = group.primary()
        if primary is None or primary.target.name != self.statement.target:
            return False
        return group.proof.covers(now)

    def _on_reply(self, reply: TargetReply) -> None:
        assert self.leased is not None
        if reply.refusal is Refusal.UNKNOWN_SHAPE:
            self.leased.conn.shapes.clear()
        busy = reply.refusal is Refusal.BUSY
        pool = self.server.pools.pool(self.news.target)
        pool.record_slot_result(found=not busy)
        self._release(healthy=True)
        now = self.server.reactor.now()
        if busy and now + BUSY_RETRY_DELAY < self.slot_deadline:
            self.server.reactor.call_later(BUSY_RETRY_DELAY, self._acquire)
        else:
            self._finish(reply)

    def _release(self, *, healthy: bool) -> None:
        assert self.leased is not None
        leased, self.leased = self.leased, None
        usable = healthy and leased.conn.usable
        self.server.pools.release(leased, healthy=usable)

    def _finish(self, result: ForwardResult) -> None:
        if not self.is_finished:
            self.is_finished = True
            self.on_complete(result)

    def _remaining(self) -> float:
        return max(0.0, self.deadline - self.server.reactor.now())


def _order(statement: ForwardRequest) -> TargetOrder:
    if statement.shape is not None:
        return RunShape(
            id=statement.id,
            shape=statement.shape,
            arguments=statement.arguments,
            after=statement.after,
        )
    return RunText(
        id=statement.id, text=statement.text or "", after=statement.after
    )
