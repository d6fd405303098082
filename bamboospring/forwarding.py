"""Take a statement from the entry to a holder of its group.

An entry only picks a holder. It tries another one where the first surely ran
nothing, and for reads also where the answer was lost.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from collections import Counter
import dataclasses
import itertools
from typing import Any
from typing import Protocol

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm
from bamboospring.errors import MessageError
from bamboospring.membership import Membership
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement
from bamboospring.retry_budget import RetryBudget
from bamboospring.statements import Statement
from bamboospring.statements import StepKind
from bamboospring.tokens import InvalidToken
from bamboospring.tokens import TokenCodec
from bamboospring.wire import decode_outcome
from bamboospring.wire import encode_statement

__all__ = ["Forwarder", "LocalHolder", "OnOutcome", "order_holders"]

RETRY_SOON_MS = 100
# The holder's own final answer comes at the deadline; the entry gives it this
# much longer, in seconds, to arrive.
ANSWER_GRACE = 0.2
MAX_TRIES = 3
# With fewer slots than holders some holder has none at the primary, and a new
# holder has none at first. Who said so is asked last for this long.
SHARELESS_SECONDS = 2.0
# Holders that have just started, or lost one of them, have their shares within
# a few exchanges with each other. A statement is asked for again this many
# times, at this interval in seconds, before it is refused.
SHARE_WAITS = 5
SHARE_WAIT = 0.1
# Said by a holder that took nothing on. Another one may.
ELSEWHERE = frozenset(
    {
        Reason.DRAINING,
        Reason.NOT_HOLDER,
        Reason.UNKNOWN_GROUP,
    }
)

OnOutcome = Callable[[Outcome], None]


class LocalHolder(Protocol):
    """Runs what this very process is asked to run as a holder."""

    def run(self, stmt: Statement, done: OnOutcome) -> None:
        """Run a statement and call back once."""


def order_holders(
    holders: tuple[Vm, ...],
    *,
    me: str,
    doubted: frozenset[str],
    turn: int,
    outstanding: Mapping[str, int],
) -> list[Vm]:
    """Return the holders in the order in which to ask them.

    The one that owes this VM the fewest answers first, because each holder
    has only its part of the targets' slots and a queue of its own: one queue
    fills while another's slots are free, and callers are refused for it.
    Of equals this VM first if it is one, since that saves the way; the
    others take turns. Leaving and doubted ones come last, not never: the
    list may be old and the doubt wrong.
    """
    if not holders:
        return []
    first = turn % len(holders)
    turned = [*holders[first:], *holders[:first]]
    # Of those of equal rank the order is kept: False comes first.
    turned.sort(key=lambda vm: vm.name != me)
    if outstanding:
        turned.sort(key=lambda vm: outstanding.get(vm.name, 0))
    turned.sort(key=lambda vm: vm.liveness is not Liveness.LIVE)
    if doubted:
        turned.sort(key=lambda vm: vm.name in doubted)
    return turned


class Forwarder:
    """Forwards statements and tells what became of them."""

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
        budget: RetryBudget,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._holder = holder
        self._codec = codec
        self._membership = membership
        self._budget = budget
        self._turn = itertools.count()
        self._shareless: dict[tuple[str, bool], dict[str, float]] = {}
        self._outstanding: dict[str, Counter[str]] = {}

    def forward(self, stmt: Statement, done: OnOutcome) -> None:
        """Have a statement run and call back once."""
        if stmt.step in (
            StepKind.STATEMENT,
            StepKind.COMMIT,
            StepKind.ROLLBACK,
        ):
            self._forward_step(stmt, done)
            return
        if not self._board.knows_group(stmt.group):
            done(self._no_such_group())
            return
        self._budget.record_first_attempt()
        now = self._reactor.now()
        holders = self._placement.holders(stmt.group)
        doubted = self._membership.vms_to_avoid(holders, now)
        order = order_holders(
            holders,
            me=self._board.local_vm.name,
            doubted=doubted | self._without_share(stmt, now),
            turn=next(self._turn),
            outstanding=self._outstanding.get(stmt.group, {}),
        )
        self._try(stmt, order[:MAX_TRIES], done)

    def _no_such_group(self) -> Outcome:
        """Refuse a group that is not known.

        An entry that has just started does not know all groups. Told that
        there is no such group, a caller would give up for good.
        """
        if self._board.names_complete:
            return NotRun(reason=Reason.UNKNOWN_GROUP)
        return _no_holder()

    def _count(self, group: str, vm: str, change: int) -> None:
        """Count an answer that a holder owes, or has given."""
        counts = self._outstanding.setdefault(group, Counter())
        counts[vm] += change
        if counts[vm] <= 0:
            del counts[vm]
        if not counts:
            del self._outstanding[group]

    # New work: any holder will do.

    def _try(
        self,
        stmt: Statement,
        holders: list[Vm],
        done: OnOutcome,
        waits: int = 0,
    ) -> None:
        if not holders:
            done(_no_holder())
            return
        first, *others = holders

        def answered(answer: Outcome | PeerLost) -> None:
            self._count(stmt.group, first.name, -1)
            if isinstance(answer, PeerLost):
                self._membership.record_failure(
                    first.name, self._reactor.now()
                )
                outcome = _lost(stmt, answer)
                again = not answer.sent or _harmless(stmt)
            else:
                outcome = answer
                self._note(first, answer)
                self._note_share(stmt, first, answer)
                again = (
                    isinstance(answer, NotRun) and answer.reason in ELSEWHERE
                )
            left = stmt.deadline - self._reactor.now()
            if not again or left <= 0 or not self._may_go_on(outcome):
                done(outcome)
            elif others:
                self._try(stmt, others, done, waits)
            else:
                self._settle(stmt, outcome, done, waits)

        self._count(stmt.group, first.name, 1)
        self._ask(first, stmt, answered)

    def _settle(
        self, stmt: Statement, outcome: Outcome, done: OnOutcome, waits: int
    ) -> None:
        """Go on after all holders have said that it is not for them."""
        if not isinstance(outcome, NotRun):
            done(outcome)
        elif _to_primary(stmt, outcome):
            # No holder has a replica for this read.
            self._try_all(dataclasses.replace(stmt, settle=True), done, waits)
        elif waits < SHARE_WAITS and self._may_get_share(stmt):
            # Without this a caller whose holder dies in the first second of
            # a fleet is refused though the others are about to have their
            # shares. It is bounded, and nothing has run.
            self._reactor.call_later(
                SHARE_WAIT, lambda: self._try_again(stmt, outcome, done, waits)
            )
        else:
            done(outcome)

    def _may_get_share(self, stmt: Statement) -> bool:
        now = self._reactor.now()
        return (
            stmt.deadline - now > SHARE_WAIT
            and bool(self._without_share(stmt, now))
            and self._budget.spend_retry()
        )

    def _try_again(
        self, stmt: Statement, outcome: Outcome, done: OnOutcome, waits: int
    ) -> None:
        if stmt.deadline <= self._reactor.now():
            done(outcome)
            return
        self._try_all(stmt, done, waits + 1)

    def _try_all(self, stmt: Statement, done: OnOutcome, waits: int) -> None:
        holders = self._placement.holders(stmt.group)
        self._try(stmt, list(holders[:MAX_TRIES]), done, waits)

    def _may_go_on(self, outcome: Outcome) -> bool:
        # Where nothing ran another try multiplies no work.
        return isinstance(outcome, NotRun) or self._budget.spend_retry()

    def _note_share(self, stmt: Statement, vm: Vm, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            if outcome.reason is Reason.NOT_HOLDER:
                known = self._shareless.setdefault(
                    (stmt.group, stmt.write), {}
                )
                known[vm.name] = self._reactor.now() + SHARELESS_SECONDS

    def _without_share(self, stmt: Statement, now: float) -> frozenset[str]:
        """Return the VMs that lately had no share of what is needed."""
        key = stmt.group, stmt.write
        known = self._shareless.get(key)
        if not known:
            return frozenset()
        left = {vm: until for vm, until in known.items() if until > now}
        if left:
            self._shareless[key] = left
        else:
            del self._shareless[key]
        return frozenset(left)

    # A step of a transaction: only the one that has it.

    def _forward_step(self, stmt: Statement, done: OnOutcome) -> None:
        handle = self._codec.decode_transaction(stmt.transaction)
        if isinstance(handle, InvalidToken):
            done(NotRun(reason=Reason.NO_TRANSACTION, message=handle.message))
            return
        vm = self._board.vms.get(handle.vm)
        if vm is None:
            done(_lost(stmt, PeerLost(sent=False)))
            return

        def answered(answer: Outcome | PeerLost) -> None:
            if isinstance(answer, PeerLost):
                done(_lost(stmt, answer))
            else:
                done(answer)

        self._ask(vm, stmt, answered)

    def _ask(
        self,
        vm: Vm,
        stmt: Statement,
        on_answer: Callable[[Outcome | PeerLost], None],
    ) -> None:
        if vm.name == self._board.local_vm.name:
            self._holder.run(stmt, on_answer)
            return
        now = self._reactor.now()

        def answered(answer: Any) -> None:
            if isinstance(answer, PeerLost):
                on_answer(answer)
                return
            try:
                outcome = decode_outcome(answer)
            except MessageError:
                # The exchange is over; unless somebody says so here, the
                # caller waits for an answer that never comes.
                on_answer(PeerLost(sent=True))
                raise
            on_answer(outcome)

        timeout = max(0.0, stmt.deadline - now) + ANSWER_GRACE
        self._peers.ask(
            vm.address, encode_statement(stmt, now), timeout, answered
        )

    def _note(self, vm: Vm, outcome: Outcome) -> None:
        now = self._reactor.now()
        self._membership.record_contact(vm.name, now)
        if isinstance(outcome, NotRun) and outcome.reason is Reason.DRAINING:
            self._membership.set_draining(vm.name, now)


def _harmless(stmt: Statement) -> bool:
    """Tell whether running a statement twice is as good as once.

    A BEGIN whose answer was lost leaves a transaction whose handle nobody
    has: it can only be rolled back.
    """
    return stmt.step is StepKind.BEGIN or not stmt.write


def _to_primary(stmt: Statement, outcome: NotRun) -> bool:
    """Tell whether to ask again with leave to read at the primary."""
    no_share = outcome.reason is Reason.NOT_HOLDER
    return no_share and not stmt.write and not stmt.settle


def _no_holder() -> NotRun:
    return NotRun(reason=Reason.NO_HOLDER, retry_after_ms=RETRY_SOON_MS)


def _lost(stmt: Statement, lost: PeerLost) -> Outcome:
    """Say what is known when the holder's answer did not come."""
    match stmt.step:
        case StepKind.STATEMENT | StepKind.ROLLBACK:
            # The caller still has the old handle. With that one nothing of
            # the transaction can be committed any more.
            return NotRun(
                reason=Reason.TRANSACTION_LOST, retry_after_ms=RETRY_SOON_MS
            )
        case StepKind.COMMIT:
            # Also when this try was not sent: an earlier one, sent through
            # an entry that has died since, may have committed.
            return Unknown(
                reason=Reason.TRANSACTION_LOST, retry_after_ms=RETRY_SOON_MS
            )
        case StepKind.BEGIN:
            return NotRun(
                reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS
            )
    if lost.sent:
        return Unknown(reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS)
    return NotRun(reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS)
