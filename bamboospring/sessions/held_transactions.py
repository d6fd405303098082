"""Run transactions of other VMs of the zone at targets that this VM holds.

A transaction keeps one connection from its first statement to its end, and a
slot only while a statement runs. Its steps arrive one after the other; only
the next one is run. Whatever ends it other than a commit rolls it back, so its
entry may report it as not run as long as no commit was sent.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from bamboospring.blackboard import Target
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
from bamboospring.sessions.forward_messages import decode_step
from bamboospring.sessions.forward_messages import encode_result
from bamboospring.sessions.forward_messages import ForwardResult
from bamboospring.sessions.forward_messages import HeldOpening
from bamboospring.sessions.forward_messages import HeldStep
from bamboospring.sessions.held_transaction_rules import idle_limit
from bamboospring.sessions.held_transaction_rules import judge_step
from bamboospring.sessions.held_transaction_rules import max_open_transactions
from bamboospring.sessions.held_transaction_rules import RoomGranted
from bamboospring.sessions.held_transaction_rules import RoomQueued
from bamboospring.sessions.held_transaction_rules import RoomRequest
from bamboospring.sessions.held_transaction_rules import StepVerdict
from bamboospring.sessions.held_transaction_rules import TransactionRoom
from bamboospring.sessions.link_release import release_connection
from bamboospring.sessions.link_setup import link_fit
from bamboospring.sessions.link_setup import setup_orders
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import BeginWork
from bamboospring.sessions.ports import CommitWork
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import RunShape
from bamboospring.sessions.ports import RunText
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import TargetOrder
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.replies import CHANGE_RETRY_MS
from bamboospring.sessions.replies import record_reply
from bamboospring.sessions.response_watch import ResponseWatch
from bamboospring.sessions.response_watch import ResponseWatcher

__all__ = ["EndReason", "HeldTransactions"]

# Seconds before a statement that found no slot at the target is sent again,
# as for single statements at a holder. With a longer delay, these would take
# the slots that become free.
BUSY_RETRY_DELAY = 0.003
# The retry delay for a VM that asked the wrong holder; within one round of
# facts it knows the right one.
NOT_HOLDER_RETRY_MS = 100
# Seconds for which ended transactions are remembered. Their first step would
# open them again if it arrived after their end, over another link.
ENDED_MEMORY = 10.0
# Assumed while there is no configuration.
DEFAULT_IDLE_TIMEOUT = 3.0

Key = tuple[str, int]


class EndReason(Enum):
    """Why a holder ends a transaction that was not committed."""

    REQUESTED = "requested"
    LINK_CLOSED = "link_closed"
    IDLE = "idle"
    SHUTDOWN = "shutdown"


class HeldTransactions:
    """The transactions of other VMs that run through this one."""

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
        self.opened_count = 0
        self.refused_count = 0
        self._transactions: dict[Key, _HeldTransaction] = {}
        self._ended_until: dict[Key, float] = {}
        self._rooms: dict[Target, TransactionRoom] = {}
        peers.add_handler("heldTxAsk", self._on_step)
        peers.add_handler("heldTxEnd", self._on_end)
        peers.add_close_listener(self._on_link_closed)

    @property
    def open_count(self) -> int:
        """Return the number of transactions, including those being opened."""
        return len(self._transactions)

    def end_all(self) -> None:
        """End all transactions for a shutdown, after their current step."""
        for transaction in list(self._transactions.values()):
            transaction.end(EndReason.SHUTDOWN)

    def room(self, target: Target) -> TransactionRoom:
        """Return the room for transactions at a target, with its limit."""
        found = self._rooms.get(target)
        if found is None:
            self._drop_unused_rooms(target.name)
            found = self._rooms[target] = TransactionRoom()
        pool = self.pools.pool(target)
        found.limit = max_open_transactions(pool.connection_limit)
        return found

    def grant_room(self, target: Target) -> None:
        """Open waiting transactions for which there is room now."""
        for request in self.room(target).grant_next():
            request.item.on_room_granted()

    def forget(self, key: Key) -> None:
        """Remove a transaction that has ended."""
        self._transactions.pop(key, None)
        self._remember_ended(key)

    def is_primary_proven(self, group_name: str, target: str) -> bool:
        """Return whether this VM can prove that a target is the primary."""
        group = self.board.group(group_name)
        primary = group.primary()
        if primary is None or primary.target.name != target:
            return False
        return group.proof.covers(self.reactor.now())

    def idle_limit(self) -> float:
        """Return after how many seconds without a step one is ended."""
        catalog = self.board.catalog
        if catalog is None:
            return idle_limit(DEFAULT_IDLE_TIMEOUT)
        return idle_limit(catalog.transaction_idle_timeout)

    def _on_step(self, message: Any, reply: Reply) -> None:
        ask = message.heldTxAsk
        key, number = (ask.vm, ask.number), ask.step
        step = decode_step(ask.head)
        transaction = self._transactions.get(key)
        if transaction is not None and transaction.is_overdue():
            # This process was suspended, and its timers are late.
            transaction.end(EndReason.IDLE)
            transaction = None
        verdict = judge_step(
            step=number,
            expected=transaction.next_step if transaction else None,
            running=transaction is not None and transaction.is_running,
            ended=key in self._ended_until,
        )
        if verdict is StepVerdict.RUN and transaction is not None:
            transaction.run(step, reply)
        elif verdict is StepVerdict.OPEN and step.opening is not None:
            self._open(key, step, step.opening, reply)
        else:
            send_result(reply, NotRun(reason=Reason.TRANSACTION_LOST))

    def _open(
        self, key: Key, step: HeldStep, opening: HeldOpening, reply: Reply
    ) -> None:
        listed_target = self._find_target(opening)
        if listed_target is None:
            self.refused_count += 1
            send_result(
                reply,
                NotRun(
                    reason=Reason.NOT_HOLDER,
                    retry_after_ms=NOT_HOLDER_RETRY_MS,
                ),
            )
            return
        self.opened_count += 1
        transaction = _HeldTransaction(
            server=self,
            key=key,
            opening=opening,
            target=listed_target.target,
            step=step,
            reply=reply,
        )
        self._transactions[key] = transaction
        transaction.open()

    def _find_target(self, opening: HeldOpening) -> ListedTarget | None:
        """Return the target of a new transaction; None if it can't be used."""
        if self.board.draining or not self.board.load_control:
            return None
        listed_target = self.board.group(opening.group).targets.get(
            opening.target
        )
        if listed_target is None:
            return None
        target = listed_target.target
        is_same_target = (target.address, target.born) == (
            opening.address,
            opening.born,
        )
        now = self.reactor.now()
        if not is_same_target or now >= listed_target.usable_until:
            return None
        has_share = self.pools.pool(target).share.connections > 0
        return listed_target if has_share else None

    def _on_end(self, message: Any, _reply: Reply) -> None:
        key = (message.heldTxEnd.vm, message.heldTxEnd.number)
        transaction = self._transactions.get(key)
        if transaction is not None:
            transaction.end(EndReason.REQUESTED)
        else:
            self._remember_ended(key)

    def _on_link_closed(self, link: object) -> None:
        for transaction in list(self._transactions.values()):
            if transaction.reply.sender is link:
                transaction.end(EndReason.LINK_CLOSED)

    def _drop_unused_rooms(self, name: str) -> None:
        """Drop rooms of earlier starts of a target."""
        for target, room in list(self._rooms.items()):
            if target.name == name and room.open_count + room.waiting == 0:
                del self._rooms[target]

    def _remember_ended(self, key: Key) -> None:
        now = self.reactor.now()
        for other, until in list(self._ended_until.items()):
            if until > now:
                break
            del self._ended_until[other]
        self._ended_until[key] = now + ENDED_MEMORY


def send_result(reply: Reply, result: ForwardResult) -> None:
    """Answer a step."""
    answer = new_envelope()
    answer.init("heldTxAnswer").head = encode_result(result)
    reply(answer)


@dataclass(slots=True, kw_only=True, eq=False)
class _HeldTransaction:
    """One transaction, from its first step to its end.

    `step` is the current or last step and `reply` answers it.
    """

    server: HeldTransactions
    key: Key
    opening: HeldOpening
    target: Target
    step: HeldStep
    reply: Reply
    next_step: int = 1
    is_running: bool = True
    end_reason: EndReason | None = None
    room_request: RoomRequest | None = None
    room_granted_at: float | None = None
    pending_acquire: PendingAcquire | None = None
    leased: LeasedConnection[SessionLink] | None = None
    deadline: float = 0.0
    slot_deadline: float = 0.0
    idle_until: float = float("inf")
    timer: Timer | None = None
    is_finished: bool = False

    # The first step.

    def open(self) -> None:
        """Open the transaction when there is room, and run its first step."""
        now = self.server.reactor.now()
        self.deadline = now + self.step.remaining
        self.slot_deadline = now + self.opening.slot_timeout
        room = self.server.room(self.target)
        self.room_request = RoomRequest(
            caller=self.opening.caller,
            give_up_at=min(self.slot_deadline, self.deadline),
            item=self,
            urgency=self.opening.urgency,
        )
        match room.submit(self.room_request, now):
            case RoomGranted():
                self.on_room_granted()
            case RoomQueued():
                self.timer = self.server.reactor.call_later(
                    max(0.0, self.room_request.give_up_at - now),
                    self._on_room_timeout,
                )
            case Overloaded() as refusal:
                self.room_request = None
                self._answer_and_end(refusal)

    def on_room_granted(self) -> None:
        """Acquire a connection."""
        self._stop_timer()
        self.room_granted_at = self.server.reactor.now()
        self._acquire()

    def _on_room_timeout(self) -> None:
        assert self.room_request is not None
        self.timer = None
        # A timer may fire slightly too early.
        now = max(self.server.reactor.now(), self.room_request.give_up_at)
        for request, refusal in self.server.room(self.target).expire(now):
            request.item.on_room_refused(refusal)

    def on_room_refused(self, refusal: Overloaded) -> None:
        """Answer that no transaction has ended in time."""
        self.room_request = None
        self._answer_and_end(refusal)

    def _acquire(self) -> None:
        if self.is_finished:
            return
        step, opening = self.step, self.opening
        self.pending_acquire = self.server.pools.acquire(
            self.target,
            self.deadline,
            opening.caller,
            self._on_leased,
            team=opening.team,
            urgency=opening.urgency,
            score=lambda link: link_fit(link, step.values, step.shape),
        )

    def _on_leased(
        self, leased: LeasedConnection[SessionLink] | NotRun | Overloaded
    ) -> None:
        if not isinstance(leased, LeasedConnection):
            self._answer_and_end(leased)
            return
        self.leased = leased
        if self.is_finished:
            self._release()
            return
        begin = BeginWork(
            read_only=self.opening.read_only, after=self.opening.after
        )
        orders = setup_orders(
            leased.conn, self.step.values, self.step.shape, begin
        )
        # The statement is sent only after these replies: without an open
        # transaction it would run outside of it.
        self._send_setup(orders, self._on_begun)

    def _send_setup(
        self,
        orders: list[TargetOrder],
        on_replies: Callable[[list[TargetReply] | LinkLost], None],
    ) -> None:
        assert self.leased is not None
        watch = self._watch_response(is_read=False)

        def on_result(result: list[TargetReply] | LinkLost) -> None:
            watch.stop()
            on_replies(result)

        self.leased.conn.send(orders, self._remaining(), on_result)

    def _watch_response(self, *, is_read: bool) -> ResponseWatch:
        """Release the slot if the response is overdue, nothing more."""
        assert self.leased is not None
        group = self.server.board.group(self.opening.group)
        return self.server.watcher.watch(
            self.leased,
            group.observed_target(self.target.name),
            self.deadline,
            is_read=is_read,
            in_transaction=True,
        )

    def _on_begun(self, result: list[TargetReply] | LinkLost) -> None:
        if isinstance(result, LinkLost):
            self._discard_link()
            self._answer_and_end(NotRun(reason=Reason.TARGET_UNREACHABLE))
            return
        refused = [reply for reply in result if reply.refusal is not None]
        if not refused:
            self._send_first()
        elif self._can_reopen(refused[0]):
            self._record_slot(found=False)
            self._release()
            self.server.reactor.call_later(BUSY_RETRY_DELAY, self._acquire)
        else:
            self._on_refusal(refused[0])

    def _can_reopen(self, reply: TargetReply) -> bool:
        now = self.server.reactor.now()
        return (
            reply.refusal is Refusal.BUSY
            and now + BUSY_RETRY_DELAY < self.slot_deadline
        )

    def _send_first(self) -> None:
        opening = self.opening
        may_be_replica = opening.read_only and opening.after is not None
        if may_be_replica or self.server.is_primary_proven(
            opening.group, opening.target
        ):
            self._send()
            return
        # The primary may have changed while the transaction waited here.
        self._answer_and_end(
            NotRun(
                reason=Reason.PRIMARY_CHANGED, retry_after_ms=CHANGE_RETRY_MS
            )
        )

    # Later steps.

    def run(self, step: HeldStep, reply: Reply) -> None:
        """Run the next step."""
        assert self.leased is not None
        self._stop_timer()
        self.idle_until = float("inf")
        self.is_running = True
        self.next_step += 1
        self.step, self.reply = step, reply
        self.deadline = self.server.reactor.now() + step.remaining
        # Other statements may wait for locks of this transaction and occupy
        # all slots of this VM, so its steps don't wait for one of them.
        self.server.pools.reacquire_slot(
            self.leased,
            self.deadline,
            self.opening.caller,
            self._on_slot,
            at_once=True,
        )

    def _on_slot(
        self, leased: LeasedConnection[SessionLink] | NotRun | Overloaded
    ) -> None:
        if not isinstance(leased, LeasedConnection):
            self._answer_and_end(leased)
            return
        step = self.step
        if not leased.conn.usable:
            self._answer_and_end(NotRun(reason=Reason.TRANSACTION_LOST))
            return
        orders = setup_orders(leased.conn, step.values, step.shape, None)
        if step.is_commit or not orders:
            self._send()
            return
        self._send_setup(orders, self._on_prepared)

    def _on_prepared(self, result: list[TargetReply] | LinkLost) -> None:
        if isinstance(result, LinkLost):
            self._discard_link()
            self._answer_and_end(NotRun(reason=Reason.TRANSACTION_LOST))
        elif any(reply.refusal is not None for reply in result):
            self._answer_and_end(NotRun(reason=Reason.TRANSACTION_LOST))
        else:
            self._send()

    # All steps.

    def _send(self) -> None:
        assert self.leased is not None
        if self._is_abandoned() or not self.leased.conn.usable:
            self._answer_and_end(NotRun(reason=Reason.TRANSACTION_LOST))
            return
        sent_at = self.server.reactor.now()
        watch = self._watch_response(
            is_read=not (self.step.writes or self.step.is_commit)
        )

        def on_result(result: list[TargetReply] | LinkLost) -> None:
            watch.record_result(result)
            if isinstance(result, LinkLost):
                self._discard_link()
                self._log_lost("target_lost")
                self._answer_and_end(result)
                return
            self._record_reply(result[0], sent_at)
            self._on_reply(result[0])

        self.leased.conn.send(
            [_order(self.step)], self._remaining(), on_result
        )

    def _record_reply(self, reply: TargetReply, sent_at: float) -> None:
        now = self.server.reactor.now()
        group = self.server.board.group(self.opening.group)
        if reply.refusal is Refusal.BUSY:
            # A refusal takes a fraction of a statement's time. Counted, it
            # would make the fullest target look like the fastest one.
            group.observed_target(self.target.name).last_response_at = now
            return
        record_reply(group, self.target.name, reply, sent_at, now)

    def _on_reply(self, reply: TargetReply) -> None:
        assert self.leased is not None
        self._record_slot(found=reply.refusal is not Refusal.BUSY)
        if self._can_resend(reply):
            self.server.reactor.call_later(BUSY_RETRY_DELAY, self._send)
        elif reply.refusal is not None:
            self._on_refusal(reply)
        elif self.step.is_commit or self.end_reason is not None:
            self._answer_and_end(reply)
        else:
            self._start_idle_period()
            send_result(self.reply, reply)

    def _start_idle_period(self) -> None:
        assert self.leased is not None
        self.is_running = False
        self.server.pools.release_slot(self.leased)
        limit = self.server.idle_limit()
        self.idle_until = self.server.reactor.now() + limit
        self.timer = self.server.reactor.call_later(limit, self._on_idle)

    def _can_resend(self, reply: TargetReply) -> bool:
        """Return whether to resend a statement that found no slot.

        The transaction is open, and the statement has certainly not run. A
        first statement is refused as soon as it has waited for too long, as
        no work is lost with it.
        """
        until = self.deadline
        if self.step.opening is not None:
            until = min(until, self.slot_deadline)
        return (
            reply.refusal is Refusal.BUSY
            and reply.state is SessionState.OPEN
            and self.server.reactor.now() + BUSY_RETRY_DELAY < until
        )

    def _on_refusal(self, reply: TargetReply) -> None:
        """Answer with a refusal of the target.

        No further statement of the transaction can follow, so it is rolled
        back at once.
        """
        assert self.leased is not None
        if reply.refusal is Refusal.UNKNOWN_SHAPE:
            self.leased.conn.shapes.clear()
        self._answer_and_end(reply)

    # The end.

    def end(self, reason: EndReason) -> None:
        """Roll the transaction back.

        A statement that runs is answered first. If the VM shuts down, so is
        one that is about to be sent.
        """
        if self.is_finished or self.end_reason is not None:
            return
        self.end_reason = reason
        if reason is not EndReason.REQUESTED:
            self._log_lost(reason.value)
        if not self.is_running:
            self._finish()
        elif self.leased is None:
            self._cancel_opening(reason)

    def _cancel_opening(self, reason: EndReason) -> None:
        if self.room_granted_at is None and self.room_request is not None:
            self.server.room(self.target).cancel(self.room_request)
            self.room_request = None
        if self.pending_acquire is not None:
            self.pending_acquire.cancel()
        refused_as = (
            Reason.NOT_HOLDER
            if reason is EndReason.SHUTDOWN
            else Reason.CALLER_GONE
        )
        self._answer_and_end(
            NotRun(reason=refused_as, retry_after_ms=NOT_HOLDER_RETRY_MS)
        )

    def is_overdue(self) -> bool:
        """Return whether its next step has not arrived in time."""
        return self.server.reactor.now() > self.idle_until

    def _is_abandoned(self) -> bool:
        """Return whether nobody waits for the current step any more."""
        return self.end_reason not in (None, EndReason.SHUTDOWN)

    def _on_idle(self) -> None:
        self.timer = None
        self.end(EndReason.IDLE)

    def _answer_and_end(self, result: ForwardResult) -> None:
        if self.is_finished:
            return
        if isinstance(result, Overloaded):
            self.server.refused_count += 1
        send_result(self.reply, result)
        self._finish()

    def _finish(self) -> None:
        self.is_finished = True
        self._stop_timer()
        self.server.forget(self.key)
        self._release()
        granted_at, self.room_granted_at = self.room_granted_at, None
        if granted_at is not None:
            seconds = self.server.reactor.now() - granted_at
            room = self.server.room(self.target)
            room.release(self.opening.caller, seconds)
            self.server.grant_room(self.target)

    def _release(self) -> None:
        leased, self.leased = self.leased, None
        if leased is not None:
            release_connection(self.server.pools, leased)

    def _discard_link(self) -> None:
        """Close a connection whose orders have not been answered.

        What it is told next would run in the transaction that they may have
        opened.
        """
        leased, self.leased = self.leased, None
        if leased is not None:
            self.server.pools.release(leased, healthy=False)

    def _record_slot(self, *, found: bool) -> None:
        self.server.pools.pool(self.target).record_slot_result(found=found)

    def _stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def _remaining(self) -> float:
        return max(0.0, self.deadline - self.server.reactor.now())

    def _log_lost(self, reason: str) -> None:
        logs.log_event(
            "held_transaction_lost",
            level=logs.Level.WARNING,
            trace=self.step.id,
            of=self.key[0],
            group=self.opening.group,
            target=self.opening.target,
            reason=reason,
        )


def _order(step: HeldStep) -> TargetOrder:
    if step.shape is not None:
        return RunShape(
            id=step.id, shape=step.shape, arguments=step.arguments, after=None
        )
    if step.text is not None:
        return RunText(id=step.id, text=step.text, after=None)
    return CommitWork(id=step.id)
