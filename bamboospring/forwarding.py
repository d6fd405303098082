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

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm
from bamboospring.holder import Holder
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
from bamboospring.statements import Step
from bamboospring.tokens import BadToken
from bamboospring.tokens import TokenCodec
from bamboospring.wire import decode_outcome
from bamboospring.wire import encode_statement

__all__ = ["Forwarder", "order_holders"]

RETRY_SOON_MS = 100
# The holder's own final answer comes at the deadline; the entry gives it this
# much longer, in seconds, to arrive.
ANSWER_GRACE = 0.2
MAX_TRIES = 3
# With fewer slots than holders some holder has none at the primary, and a new
# holder has none at first. Who said so is asked last for this long.
SHARELESS_SECONDS = 2.0
# Said by a holder that took nothing on. Another one may.
ELSEWHERE = frozenset(
    {
        Reason.DRAINING,
        Reason.NOT_HOLDER,
        Reason.UNKNOWN_GROUP,
    }
)

OnOutcome = Callable[[Outcome], None]


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
    count = len(holders)
    turned = [holders[(turn + i) % count] for i in range(count)]
    return sorted(
        turned,
        key=lambda vm: (
            vm.name in doubted,
            vm.liveness is not Liveness.LIVE,
            outstanding.get(vm.name, 0),
            vm.name != me,
        ),
    )


class Forwarder:
    """Forwards statements and tells what became of them."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        holder: Holder,
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
        if stmt.step in (Step.STATEMENT, Step.COMMIT, Step.ROLLBACK):
            self._forward_step(stmt, done)
            return
        if not self._board.knows_group(stmt.group):
            done(self._no_such_group())
            return
        self._budget.first_try()
        now = self._reactor.now()
        holders = self._placement.holders(stmt.group)
        doubted = self._membership.avoided(holders, now)
        order = order_holders(
            holders,
            me=self._board.me.name,
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
        self, stmt: Statement, holders: list[Vm], done: OnOutcome
    ) -> None:
        if not holders:
            done(_no_holder())
            return
        first, *others = holders

        def answered(answer: Outcome | PeerLost) -> None:
            self._count(stmt.group, first.name, -1)
            if isinstance(answer, PeerLost):
                self._membership.lost(first.name, self._reactor.now())
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
                self._try(stmt, others, done)
            else:
                self._settle(stmt, outcome, done)

        self._count(stmt.group, first.name, 1)
        self._ask(first, stmt, answered)

    def _settle(
        self, stmt: Statement, outcome: Outcome, done: OnOutcome
    ) -> None:
        """Let a read go to the primary: no holder has a replica for it."""
        no_share = (
            isinstance(outcome, NotRun) and outcome.reason is Reason.NOT_HOLDER
        )
        if stmt.write or stmt.settle or not no_share:
            done(outcome)
            return
        holders = self._placement.holders(stmt.group)
        self._try(
            dataclasses.replace(stmt, settle=True),
            list(holders[:MAX_TRIES]),
            done,
        )

    def _may_go_on(self, outcome: Outcome) -> bool:
        # Where nothing ran another try multiplies no work.
        return isinstance(outcome, NotRun) or self._budget.may_retry()

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
        if isinstance(handle, BadToken):
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
        if vm.name == self._board.me.name:
            self._holder.run(stmt, on_answer)
            return
        now = self._reactor.now()

        def answered(answer: Any) -> None:
            if not isinstance(answer, PeerLost):
                answer = decode_outcome(answer)
            on_answer(answer)

        timeout = max(0.0, stmt.deadline - now) + ANSWER_GRACE
        self._peers.ask(
            vm.address, encode_statement(stmt, now), timeout, answered
        )

    def _note(self, vm: Vm, outcome: Outcome) -> None:
        now = self._reactor.now()
        self._membership.heard(vm.name, now)
        if isinstance(outcome, NotRun) and outcome.reason is Reason.DRAINING:
            self._membership.drains(vm.name, now)


def _harmless(stmt: Statement) -> bool:
    """Tell whether running a statement twice is as good as once.

    A BEGIN whose answer was lost leaves a transaction whose handle nobody
    has: it can only be rolled back.
    """
    return stmt.step is Step.BEGIN or not stmt.write


def _no_holder() -> NotRun:
    return NotRun(reason=Reason.NO_HOLDER, retry_after_ms=RETRY_SOON_MS)


def _lost(stmt: Statement, lost: PeerLost) -> Outcome:
    """Say what is known when the holder's answer did not come."""
    match stmt.step:
        case Step.STATEMENT | Step.ROLLBACK:
            # The caller still has the old handle. With that one nothing of
            # the transaction can be committed any more.
            return NotRun(
                reason=Reason.TRANSACTION_LOST, retry_after_ms=RETRY_SOON_MS
            )
        case Step.COMMIT:
            # Also when this try was not sent: an earlier one, sent through
            # an entry that has died since, may have committed.
            return Unknown(
                reason=Reason.TRANSACTION_LOST, retry_after_ms=RETRY_SOON_MS
            )
        case Step.BEGIN:
            return NotRun(
                reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS
            )
    if lost.sent:
        return Unknown(reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS)
    return NotRun(reason=Reason.HOLDER_LOST, retry_after_ms=RETRY_SOON_MS)
