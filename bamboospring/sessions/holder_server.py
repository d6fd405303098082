"""Run statements for other VMs of the zone at targets that this VM holds."""

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
from bamboospring.reactor import Timer
from bamboospring.sessions.forward_messages import decode_statement
from bamboospring.sessions.forward_messages import encode_result
from bamboospring.sessions.forward_messages import ForwardRequest
from bamboospring.sessions.forward_messages import ForwardResult
from bamboospring.sessions.link_setup import link_fit
from bamboospring.sessions.link_setup import setup_orders
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import ObservedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.overdue import should_abandon
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import RunShape
from bamboospring.sessions.ports import RunText
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import TargetOrder
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.refusals import busy_retry_delay
from bamboospring.sessions.replies import BUSY_RETRY_MS
from bamboospring.sessions.replies import CHANGE_RETRY_MS
from bamboospring.sessions.replies import record_reply
from bamboospring.sessions.response_watch import ResponseWatch
from bamboospring.sessions.response_watch import ResponseWatcher
from bamboospring.slot_turns import SlotTurns

__all__ = ["HolderServer"]

# Seconds before a statement that found no slot at the target is queued again;
# shorter than a typical statement runs.
BUSY_RETRY_DELAY = 0.003
# The retry delay for a VM that asked the wrong holder; within one round of
# facts it knows the right one.
NOT_HOLDER_RETRY_MS = 100


class HolderServer:
    """Answers the statements that other VMs forward to this one."""

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
        self.watcher = ResponseWatcher(
            reactor=reactor, board=board, pools=pools
        )
        self._statements: dict[tuple[str, int], _ForwardedStatement] = {}
        self._turns: dict[str, SlotTurns] = {}
        self.received_count = 0
        peers.add_handler("heldAsk", self._on_request)
        peers.add_handler("heldCancel", self._on_cancel)

    @property
    def pending_count(self) -> int:
        """Return the number of statements without a result."""
        return len(self._statements)

    def turns(self, target: str) -> SlotTurns:
        """Return the turns that this VM leaves to others at a target."""
        return self._turns.setdefault(target, SlotTurns())

    def _on_request(self, message: Any, reply: Reply) -> None:
        ask = message.heldAsk
        key = (ask.vm, ask.number)
        request = decode_statement(ask.head, ask.objectiveUs)

        def on_complete(result: ForwardResult) -> None:
            self._statements.pop(key, None)
            answer = new_envelope()
            answer.init("heldAnswer").head = encode_result(result)
            reply(answer)
            if not isinstance(result, TargetReply):
                self._log_failure(request, key[0], result)

        self.received_count += 1
        listed_target = self._find_target(request)
        if listed_target is None:
            on_complete(
                NotRun(
                    reason=Reason.NOT_HOLDER,
                    retry_after_ms=NOT_HOLDER_RETRY_MS,
                )
            )
            return
        forwarded = _ForwardedStatement(
            server=self,
            request=request,
            listed_target=listed_target,
            on_complete=on_complete,
        )
        self._statements[key] = forwarded
        forwarded.start()

    def _find_target(self, request: ForwardRequest) -> ListedTarget | None:
        """Return the requested target; None if it can't be used."""
        if self.board.draining:
            return None
        listed_target = self.board.group(request.group).targets.get(
            request.target
        )
        if listed_target is None:
            return None
        target = listed_target.target
        is_same_target = (target.address, target.born) == (
            request.address,
            request.born,
        )
        if (
            not is_same_target
            or self.reactor.now() >= listed_target.usable_until
        ):
            return None
        return listed_target

    def _on_cancel(self, message: Any, _reply: Reply) -> None:
        cancel = message.heldCancel
        statement = self._statements.get((cancel.vm, cancel.number))
        if statement is not None:
            statement.cancel()

    def _log_failure(
        self,
        request: ForwardRequest,
        vm: str,
        result: NotRun | Overloaded | LinkLost,
    ) -> None:
        reason = Reason.ANSWER_LOST
        if not isinstance(result, LinkLost):
            reason = result.reason
        logs.log_event(
            "held_statement_failed",
            level=logs.Level.WARNING,
            trace=request.id,
            of=vm,
            group=request.group,
            target=request.target,
            reason=reason,
        )


@dataclass(slots=True, kw_only=True, eq=False)
class _ForwardedStatement:
    """A statement of another VM, from its arrival to its result."""

    server: HolderServer
    request: ForwardRequest
    listed_target: ListedTarget
    on_complete: Callable[[ForwardResult], None]
    deadline: float = 0.0
    slot_deadline: float = 0.0
    objective_at: float | None = None
    leased: LeasedConnection[SessionLink] | None = None
    resend_timer: Timer | None = None
    had_turn: bool = False
    pending_acquire: PendingAcquire | None = None
    watch: ResponseWatch | None = None
    was_prepared_again: bool = False
    is_needed: bool = True
    is_finished: bool = False

    def start(self) -> None:
        now = self.server.reactor.now()
        self.deadline = now + self.request.remaining
        self.slot_deadline = now + self.request.slot_timeout
        objective = self.request.objective
        if objective is not None and self.server.board.load_control:
            self.objective_at = now + objective
        self._acquire()

    def _acquire(self) -> None:
        if self.is_finished:
            return
        request = self.request
        self.pending_acquire = self.server.pools.acquire(
            self.listed_target.target,
            self.deadline,
            request.caller,
            self._on_leased,
            is_write=request.writes,
            team=request.team,
            urgency=request.urgency,
            objective_at=self.objective_at,
            score=lambda link: link_fit(link, request.values, request.shape),
        )

    def cancel(self) -> None:
        """Leave the queue for a connection; a running statement continues.

        A running read is abandoned once its response is overdue.
        """
        self.is_needed = False
        if self.leased is None and self.pending_acquire is not None:
            self.pending_acquire.cancel()
            self._finish(NotRun(reason=Reason.CALLER_GONE))
        elif self.resend_timer is not None:
            self.resend_timer.cancel()
            self._release(healthy=True)
            self._finish(NotRun(reason=Reason.CALLER_GONE))
        elif self.watch is not None:
            self.watch.on_unneeded()

    def _on_leased(
        self, leased: LeasedConnection[SessionLink] | NotRun | Overloaded
    ) -> None:
        if not isinstance(leased, LeasedConnection):
            self._finish(leased)
            return
        self.leased = leased
        self.had_turn = False
        if self.is_finished:
            self._release(healthy=True)
        else:
            self._prepare(leased)

    def _prepare(self, leased: LeasedConnection[SessionLink]) -> None:
        request = self.request
        orders = setup_orders(leased.conn, request.values, request.shape, None)
        if not orders:
            self._send_in_turn()
            return
        # The statement is sent only after these replies, so that it never runs
        # with the values of another session.
        self.watch = self._watch_response(
            self._on_preparation_overdue, is_read=False
        )

        def on_result(result: list[TargetReply] | LinkLost) -> None:
            if self.leased is leased:
                self._on_prepared(result)

        leased.conn.send(orders, self._remaining(), on_result)

    def _watch_response(
        self, on_overdue: Callable[[], None], *, is_read: bool
    ) -> ResponseWatch:
        assert self.leased is not None
        return self.server.watcher.watch(
            self.leased,
            self._observed_target(),
            self.deadline,
            is_read=is_read,
            in_transaction=False,
            on_overdue=on_overdue,
        )

    def _observed_target(self) -> ObservedTarget:
        group = self.server.board.group(self.request.group)
        return group.observed_target(self.request.target)

    def _on_preparation_overdue(self) -> None:
        """Take another connection for a statement that was not sent."""
        if self.was_prepared_again and self.is_needed:
            return
        self.was_prepared_again = True
        self._abandon()
        if self.is_needed:
            self._acquire()
        else:
            self._finish(NotRun(reason=Reason.CALLER_GONE))

    def _on_prepared(self, result: list[TargetReply] | LinkLost) -> None:
        assert self.watch is not None
        self.watch.stop()
        if isinstance(result, LinkLost):
            self._release(healthy=False)
            self._finish(NotRun(reason=Reason.TARGET_UNREACHABLE))
            return
        refused = [reply for reply in result if reply.refusal is not None]
        if refused:
            self._on_reply(refused[0])
        else:
            self._send_in_turn()

    def _send_in_turn(self) -> None:
        """Send now, or after VMs of other zones have had a turn."""
        if self.objective_at is None or self.had_turn:
            self._send()
            return
        self.had_turn = True
        turns = self.server.turns(self.request.target)
        now = self.server.reactor.now()
        delay = turns.delay(self.request.urgency, now)
        if delay > 0:
            self._resend_after(delay)
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

        leased = self.leased
        self.watch = watch = self._watch_response(
            self._on_overdue, is_read=not self.request.writes
        )

        def on_result(result: list[TargetReply] | LinkLost) -> None:
            if self.leased is not leased:
                # The read has been abandoned.
                return
            watch.record_result(result)
            if isinstance(result, LinkLost):
                self._release(healthy=False)
                self._finish(result)
                return
            self._record_reply(result[0], sent_at)
            self._on_reply(result[0])

        self.leased.conn.send(
            [_order(self.request)], self._remaining(), on_result
        )

    def _on_overdue(self) -> None:
        """Abandon a read whose response is overdue, and report it lost."""
        observed = self._observed_target()
        if not should_abandon(
            is_read=not self.request.writes,
            in_transaction=False,
            is_needed=self.is_needed,
            was_abandoned=not self.request.abandonable,
            remaining=self._remaining(),
            usual=observed.responses.usual,
        ):
            return
        self._abandon()
        self._finish(LinkLost())

    def _abandon(self) -> None:
        assert self.watch is not None
        self.watch.record_abandoned()
        self._release(healthy=False)

    def _record_reply(self, reply: TargetReply, sent_at: float) -> None:
        now = self.server.reactor.now()
        group = self.server.board.group(self.request.group)
        if self.objective_at is not None and reply.refusal is Refusal.BUSY:
            # A refusal takes a fraction of a statement's time. Counted, many
            # of them would make usual responses look overdue.
            group.observed_target(self.request.target).last_response_at = now
            return
        record_reply(group, self.request.target, reply, sent_at, now)

    def _can_send(self, now: float) -> bool:
        """Return whether the target may still run this statement.

        Without a required position, only the primary may run it, and the
        primary may have changed while the statement waited here for a
        connection.
        """
        if self.request.after is not None:
            return True
        group = self.server.board.group(self.request.group)
        primary = group.primary()
        if primary is None or primary.target.name != self.request.target:
            return False
        return group.proof.covers(now)

    def _on_reply(self, reply: TargetReply) -> None:
        assert self.leased is not None
        if reply.refusal is Refusal.UNKNOWN_SHAPE:
            self.leased.conn.shapes.clear()
        is_busy = reply.refusal is Refusal.BUSY
        pool = self.server.pools.pool(self.listed_target.target)
        pool.record_slot_result(found=not is_busy)
        if is_busy and self.objective_at is not None:
            turns = self.server.turns(self.request.target)
            turns.record_refusal(self.server.reactor.now())
            self._resend_or_refuse()
            return
        self._release(healthy=True)
        now = self.server.reactor.now()
        if is_busy and now + BUSY_RETRY_DELAY < self.slot_deadline:
            self.server.reactor.call_later(BUSY_RETRY_DELAY, self._acquire)
        else:
            self._finish(reply)

    def _resend_or_refuse(self) -> None:
        """Send a statement again for which the target had no slot.

        Under load control it keeps its slot of this VM meanwhile. Otherwise
        the next statement would take that slot at once and find the target
        just as full, and this one would wait behind it.
        """
        delay = busy_retry_delay(self.request.urgency)
        if self.is_needed and self._remaining() > 2 * delay:
            self._resend_after(delay)
            return
        self._release(healthy=True)
        self._finish(
            Overloaded(
                reason=Reason.TARGET_SLOTS, retry_after_ms=BUSY_RETRY_MS
            )
        )

    def _resend_after(self, delay: float) -> None:
        self.resend_timer = self.server.reactor.call_later(delay, self._resend)

    def _resend(self) -> None:
        """Send again, after the more urgent statements that have arrived."""
        assert self.leased is not None
        self.resend_timer = None
        pool = self.server.pools.pool(self.listed_target.target)
        # A statement that was overdue has given its slot back.
        must_queue = self.leased.is_overdue or pool.is_more_urgent_waiting(
            self.request.urgency
        )
        if must_queue or not self.leased.conn.usable:
            self._release(healthy=True)
            self._acquire()
        else:
            # The target may have refused an order of the preparation.
            self._prepare(self.leased)

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


def _order(request: ForwardRequest) -> TargetOrder:
    if request.shape is not None:
        return RunShape(
            id=request.id,
            shape=request.shape,
            arguments=request.arguments,
            after=request.after,
        )
    return RunText(id=request.id, text=request.text or "", after=request.after)
