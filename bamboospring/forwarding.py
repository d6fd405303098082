"""Forward a statement from the entry to a holder of its group.

An entry only picks a holder. It tries another one if the first is known to
have run nothing, and for reads also if the answer was lost.
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
# Seconds that the entry waits beyond the deadline. The holder sends its final
# answer at the deadline.
ANSWER_GRACE = 0.2
MAX_TRIES = 3
# Seconds for which a holder that reported no share is asked last. With fewer
# slots than holders some holder has none at the primary, and a new holder has
# none at first.
WITHOUT_SHARE_PERIOD = 2.0
# How often, and at which interval in seconds, a statement is tried again if no
# holder has a share, before it is refused. Holders that have just started, or
# that have lost one of them, get their shares after a few messages.
MAX_SHARE_WAITS = 5
SHARE_WAIT_INTERVAL = 0.1
# Reasons of a holder that has not accepted the statement; another one may.
TRY_ELSEWHERE_REASONS = frozenset(
    {
        Reason.DRAINING,
        Reason.NOT_HOLDER,
        Reason.UNKNOWN_GROUP,
    }
)

OnOutcome = Callable[[Outcome], None]


class LocalHolder(Protocol):
    """Runs statements for which this process itself is the holder."""

    def run(self, stmt: Statement, on_complete: OnOutcome) -> None:
        """Run a statement and call back once."""


def order_holders(
    holders: tuple[Vm, ...],
    *,
    local_vm: str,
    avoided: frozenset[str],
    rotation: int,
    in_flight: Mapping[str, int],
) -> list[Vm]:
    """Return the holders in the order in which to try them.

    The holder with the fewest statements of this VM in flight comes first.
    Each holder has only its share of the targets' slots and its own queue;
    otherwise one queue would fill and callers would be refused while another
    holder has free slots. Among equals, this VM comes first if it is a
    holder, which saves a network round trip, and the others take turns.
    Holders that are leaving or to be avoided come last, but are not excluded,
    because the list may be outdated and the suspicion wrong.
    """
    if not holders:
        return []
    first = rotation % len(holders)
    ordered = [*holders[first:], *holders[:first]]
    # Sorting is stable, and False sorts before True.
    ordered.sort(key=lambda vm: vm.name != local_vm)
    if in_flight:
        ordered.sort(key=lambda vm: in_flight.get(vm.name, 0))
    ordered.sort(key=lambda vm: vm.liveness is not Liveness.LIVE)
    if avoided:
        ordered.sort(key=lambda vm: vm.name in avoided)
    return ordered


class Forwarder:
    """Forward statements and pass their outcomes on."""

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
        self._rotation = itertools.count()
        self._without_share_until: dict[tuple[str, bool], dict[str, float]] = (
            {}
        )
        self._in_flight: dict[str, Counter[str]] = {}

    def forward(self, stmt: Statement, on_complete: OnOutcome) -> None:
        """Have a holder run a statement and call back once."""
        if stmt.step in (
            StepKind.STATEMENT,
            StepKind.COMMIT,
            StepKind.ROLLBACK,
        ):
            self._forward_step(stmt, on_complete)
            return
        if not self._board.knows_group(stmt.group):
            on_complete(self._refuse_unknown_group())
            return
        self._budget.record_first_attempt()
        now = self._reactor.now()
        holders = self._placement.holders(stmt.group)
        avoided = self._membership.vms_to_avoid(holders, now)
        ordered = order_holders(
            holders,
            local_vm=self._board.local_vm.name,
            avoided=avoided | self._vms_without_share(stmt, now),
            rotation=next(self._rotation),
            in_flight=self._in_flight.get(stmt.group, {}),
        )
        self._try(stmt, ordered[:MAX_TRIES], on_complete)

    def _refuse_unknown_group(self) -> Outcome:
        """Refuse a statement of an unknown group.

        An entry that has just started does not know all groups yet. If it
        answered `unknown_group`, the caller would not try again.
        """
        if self._board.names_complete:
            return NotRun(reason=Reason.UNKNOWN_GROUP)
        return _no_holder_outcome()

    def _count(self, group: str, vm: str, change: int) -> None:
        """Count the statements in flight at a holder."""
        counts = self._in_flight.setdefault(group, Counter())
        counts[vm] += change
        if counts[vm] <= 0:
            del counts[vm]
        if not counts:
            del self._in_flight[group]

    # Statements that any holder can run.

    def _try(
        self,
        stmt: Statement,
        holders: list[Vm],
        on_complete: OnOutcome,
        waits: int = 0,
    ) -> None:
        if not holders:
            on_complete(_no_holder_outcome())
            return
        first, *others = holders

        def on_answer(answer: Outcome | PeerLost) -> None:
            self._count(stmt.group, first.name, -1)
            if isinstance(answer, PeerLost):
                self._membership.record_failure(
                    first.name, self._reactor.now()
                )
                outcome = _lost_outcome(stmt, answer)
                may_repeat = not answer.sent or _is_safe_to_repeat(stmt)
            else:
                outcome = answer
                self._record_answer(first, answer)
                self._record_share(stmt, first, answer)
                may_repeat = (
                    isinstance(answer, NotRun)
                    and answer.reason in TRY_ELSEWHERE_REASONS
                )
            remaining = stmt.deadline - self._reactor.now()
            if (
                not may_repeat
                or remaining <= 0
                or not self._can_try_next(outcome)
            ):
                on_complete(outcome)
            elif others:
                self._try(stmt, others, on_complete, waits)
            else:
                self._after_all_tried(stmt, outcome, on_complete, waits)

        self._count(stmt.group, first.name, 1)
        self._send(first, stmt, on_answer)

    def _after_all_tried(
        self,
        stmt: Statement,
        outcome: Outcome,
        on_complete: OnOutcome,
        waits: int,
    ) -> None:
        """Continue after no holder has accepted the statement."""
        if not isinstance(outcome, NotRun):
            on_complete(outcome)
        elif _should_allow_primary(stmt, outcome):
            # No holder has a share of a replica for this read.
            self._try_all(
                dataclasses.replace(stmt, allow_primary=True),
                on_complete,
                waits,
            )
        elif waits < MAX_SHARE_WAITS and self._can_wait_for_share(stmt):
            # Without this, a caller whose holder dies in the first second of
            # a fleet is refused although the others are about to get their
            # shares. The number of waits is limited, and nothing has run.
            self._reactor.call_later(
                SHARE_WAIT_INTERVAL,
                lambda: self._try_again(stmt, outcome, on_complete, waits),
            )
        else:
            on_complete(outcome)

    def _can_wait_for_share(self, stmt: Statement) -> bool:
        now = self._reactor.now()
        return (
            stmt.deadline - now > SHARE_WAIT_INTERVAL
            and bool(self._vms_without_share(stmt, now))
            and self._budget.spend_retry()
        )

    def _try_again(
        self,
        stmt: Statement,
        outcome: Outcome,
        on_complete: OnOutcome,
        waits: int,
    ) -> None:
        if stmt.deadline <= self._reactor.now():
            on_complete(outcome)
            return
        self._try_all(stmt, on_complete, waits + 1)

    def _try_all(
        self, stmt: Statement, on_complete: OnOutcome, waits: int
    ) -> None:
        holders = self._placement.holders(stmt.group)
        self._try(stmt, list(holders[:MAX_TRIES]), on_complete, waits)

    def _can_try_next(self, outcome: Outcome) -> bool:
        # If nothing ran, another try does not multiply the load.
        return isinstance(outcome, NotRun) or self._budget.spend_retry()

    def _record_share(self, stmt: Statement, vm: Vm, outcome: Outcome) -> None:
        if isinstance(outcome, NotRun):
            if outcome.reason is Reason.NOT_HOLDER:
                known = self._without_share_until.setdefault(
                    (stmt.group, stmt.write), {}
                )
                known[vm.name] = self._reactor.now() + WITHOUT_SHARE_PERIOD

    def _vms_without_share(
        self, stmt: Statement, now: float
    ) -> frozenset[str]:
        """Return the VMs that recently had no share for such statements."""
        key = stmt.group, stmt.write
        known = self._without_share_until.get(key)
        if not known:
            return frozenset()
        current = {vm: until for vm, until in known.items() if until > now}
        if current:
            self._without_share_until[key] = current
        else:
            del self._without_share_until[key]
        return frozenset(current)

    # Steps of a transaction, which only its holder can run.

    def _forward_step(self, stmt: Statement, on_complete: OnOutcome) -> None:
        handle = self._codec.decode_transaction(stmt.transaction)
        if isinstance(handle, InvalidToken):
            on_complete(
                NotRun(reason=Reason.NO_TRANSACTION, message=handle.message)
            )
            return
        vm = self._board.vms.get(handle.vm)
        if vm is None:
            on_complete(_lost_outcome(stmt, PeerLost(sent=False)))
            return

        def handle_answer(answer: Outcome | PeerLost) -> None:
            if isinstance(answer, PeerLost):
                on_complete(_lost_outcome(stmt, answer))
            else:
                on_complete(answer)

        self._send(vm, stmt, handle_answer)

    def _send(
        self,
        vm: Vm,
        stmt: Statement,
        on_answer: Callable[[Outcome | PeerLost], None],
    ) -> None:
        if vm.name == self._board.local_vm.name:
            self._holder.run(stmt, on_answer)
            return
        now = self._reactor.now()

        def handle_answer(answer: Any) -> None:
            if isinstance(answer, PeerLost):
                on_answer(answer)
                return
            try:
                outcome = decode_outcome(answer)
            except MessageError:
                # No other answer follows. Without this call, the caller would
                # wait for an answer that never comes.
                on_answer(PeerLost(sent=True))
                raise
            on_answer(outcome)

        timeout = max(0.0, stmt.deadline - now) + ANSWER_GRACE
        self._peers.ask(
            vm.address, encode_statement(stmt, now), timeout, handle_answer
        )

    def _record_answer(self, vm: Vm, outcome: Outcome) -> None:
        now = self._reactor.now()
        self._membership.record_contact(vm.name, now)
        if isinstance(outcome, NotRun) and outcome.reason is Reason.DRAINING:
            self._membership.set_draining(vm.name, now)


def _is_safe_to_repeat(stmt: Statement) -> bool:
    """Return whether a statement may run twice.

    A BEGIN whose answer was lost leaves a transaction without a known handle,
    which can only be rolled back.
    """
    return stmt.step is StepKind.BEGIN or not stmt.write


def _should_allow_primary(stmt: Statement, outcome: NotRun) -> bool:
    """Return whether to try again with a read allowed at the primary."""
    no_share = outcome.reason is Reason.NOT_HOLDER
    return no_share and not stmt.write and not stmt.allow_primary


def _no_holder_outcome() -> NotRun:
    return NotRun(reason=Reason.NO_HOLDER, retry_after_ms=RETRY_SOON_MS)


def _lost_outcome(stmt: Statement, lost: PeerLost) -> Outcome:
    """Return the outcome of a statement whose holder did not answer."""
    match stmt.step:
        case StepKind.STATEMENT | StepKind.ROLLBACK:
            # The caller has only the old handle, with which the transaction
            # can no longer be committed.
            return NotRun(
                reason=Reason.TRANSACTION_LOST, retry_after_ms=RETRY_SOON_MS
            )
        case StepKind.COMMIT:
            # Unknown even if this try was not sent: an earlier one, sent
            # through an entry that has died since, may have committed.
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
