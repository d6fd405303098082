"""Run a read: choose a target, try it, and try another if it can't serve.

A read changes nothing, so it may be repeated. `spend_retry` is called before
each further try, so that retries stay a small percentage of first attempts.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import TableRow
from bamboospring.exchange import done_from
from bamboospring.exchange import Exchange
from bamboospring.exchange import failed_from
from bamboospring.exchange import refusal_from
from bamboospring.exchange import RETRY_SOON_MS
from bamboospring.http_client import HttpFailure
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.pool import LeasedConnection
from bamboospring.pools import Pools
from bamboospring.primary_confirmation import PrimaryConfirmer
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import shard_of
from bamboospring.routing import choose_read
from bamboospring.routing import ConfirmPrimary
from bamboospring.routing import covers_position
from bamboospring.routing import Draws
from bamboospring.routing import fresh_since
from bamboospring.routing import MAX_REPLICA_WAIT
from bamboospring.routing import ReadRequirements
from bamboospring.routing import RefuseRead
from bamboospring.routing import SendRead
from bamboospring.routing import WaitForReplica
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.target_api import TargetAnswer

__all__ = ["ReadRunner"]

MAX_TRIES = 4
MAX_CONFIRM_ROUNDS = 3
MIN_REPLICA_TIMEOUT = 0.3
# Limits how many reads may wait at one holder for the next primary. Like a
# write, a read waits if no target can serve it while the primary changes.
MAX_WAITING = 64
WAIT_RECHECK_INTERVAL = 0.02
# Seconds. A token can be ahead of a holder that does not know a new term yet.
MAX_TOKEN_AHEAD_WAIT = 0.3

OnOutcome = Callable[[Outcome], None]


class ReadRunner:
    """Run the reads of a holder."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        pools: Pools,
        exchange: Exchange,
        confirmer: PrimaryConfirmer,
        spend_retry: Callable[[], bool],
        mark_doubted: Callable[[str], None],
    ) -> None:
        self.reactor = reactor
        self.board = board
        self.pools = pools
        self.exchange = exchange
        self.confirmer = confirmer
        self.spend_retry = spend_retry
        self.mark_doubted = mark_doubted
        self.waiting_for_primary = 0

    def run(
        self, stmt: Statement, group: Group, on_complete: OnOutcome
    ) -> None:
        """Run a read and call back once."""
        row = self.board.row(stmt.group, shard_of(stmt.group))
        read = _Read(
            runner=self,
            stmt=stmt,
            group=group,
            row=row,
            on_complete=on_complete,
        )
        read.choose(row)


class _Read:
    """The execution of one read."""

    __slots__ = (
        "_on_complete",
        "_group",
        "_started_at",
        "_requirements",
        "_rounds",
        "_lacks_replica_share",
        "_runner",
        "_stmt",
        "_tries",
    )

    def __init__(
        self,
        *,
        runner: ReadRunner,
        stmt: Statement,
        group: Group,
        row: TableRow,
        on_complete: OnOutcome,
    ) -> None:
        self._runner = runner
        self._stmt = stmt
        self._group = group
        self._on_complete = on_complete
        self._tries = 0
        self._rounds = 0
        self._lacks_replica_share = False
        now = self._started_at = runner.reactor.now()
        self._requirements = ReadRequirements(
            token=stmt.token,
            fresh_since=fresh_since(row, stmt.staleness, now),
            wait_until=min(now + MAX_REPLICA_WAIT, stmt.deadline),
        )

    def choose(self, row: TableRow | None = None) -> None:
        """Choose a target by `row`, or by the row in force if it is None."""
        runner = self._runner
        if row is None:
            name = self._stmt.group
            row = runner.board.row(name, shard_of(name))
        choice = choose_read(
            self._group,
            row,
            self._requirements,
            zone=runner.board.local_vm.availability_zone,
            now=runner.reactor.now(),
            draws=Draws(
                site=random.random(),
                first=random.random(),
                second=random.random(),
            ),
            confirmed_at=runner.confirmer.confirmed_at(self._group),
        )
        match choice:
            case SendRead():
                self._acquire(choice)
            case WaitForReplica():
                runner.reactor.call_later(choice.seconds, self.choose)
            case ConfirmPrimary():
                self._confirm(choice)
            case RefuseRead():
                self._wait_or_refuse(choice.reason)

    def _confirm(self, choice: ConfirmPrimary) -> None:
        self._rounds += 1
        if self._rounds > MAX_CONFIRM_ROUNDS or self._remaining() <= 0:
            self._refuse(Reason.STALE)
            return

        def on_confirmed(confirmed: bool) -> None:
            if confirmed:
                self.choose()
            else:
                self._runner.mark_doubted(self._stmt.group)
                self._refuse(Reason.STALE)

        self._runner.confirmer.confirm(self._group, choice.since, on_confirmed)

    def _wait_or_refuse(self, reason: Reason) -> None:
        """Wait for a newer record of the group, or refuse the read."""
        self._runner.mark_doubted(self._stmt.group)
        waited = self._runner.reactor.now() - self._started_at
        token_ahead_too_long = (
            reason is Reason.TOKEN_AHEAD and waited > MAX_TOKEN_AHEAD_WAIT
        )
        if (
            token_ahead_too_long
            or self._remaining() <= 0
            or self._runner.waiting_for_primary >= MAX_WAITING
        ):
            self._refuse(reason)
            return
        self._runner.waiting_for_primary += 1
        self._runner.reactor.call_later(
            min(WAIT_RECHECK_INTERVAL, self._remaining()), self._stop_waiting
        )

    def _stop_waiting(self) -> None:
        self._runner.waiting_for_primary -= 1
        self._requirements = dataclasses.replace(
            self._requirements, excluded=frozenset()
        )
        self.choose()

    def _refuse(self, reason: Reason) -> None:
        self._on_complete(NotRun(reason=reason, retry_after_ms=RETRY_SOON_MS))

    def _acquire(self, choice: SendRead) -> None:
        if (
            self._lacks_replica_share
            and not choice.replica
            and not self._stmt.allow_primary
        ):
            # Another holder has a share of a suitable replica, and the
            # primary's connections are scarce.
            self._refuse(Reason.NOT_HOLDER)
            return
        state = self._group.state(choice.target.name)
        state.in_flight += 1
        self._tries += 1

        def on_ready(leased: LeasedConnection | NotRun | Overloaded) -> None:
            if isinstance(leased, LeasedConnection):
                self._send(choice, leased)
                return
            state.in_flight -= 1
            if choice.replica and leased.reason is Reason.NOT_HOLDER:
                self._lacks_replica_share = True
            if choice.replica or leased.reason is Reason.TARGET_UNREACHABLE:
                # Nothing was sent, so another try costs the target nothing.
                # But reads that the queue of one replica has refused must not
                # overload the other replicas and the primary, so these tries
                # are paid for from the retry budget.
                self._try_elsewhere(
                    choice, leased, is_free=isinstance(leased, NotRun)
                )
            else:
                self._on_complete(leased)

        # Waiting for an unresponsive replica must leave time for another try.
        deadline = self._runner.reactor.now() + self._timeout_for(choice)
        self._runner.pools.acquire(
            choice.target, deadline, self._stmt.caller, on_ready
        )

    def _send(self, choice: SendRead, leased: LeasedConnection) -> None:
        state = self._group.state(choice.target.name)

        def on_answer(answer: TargetAnswer | HttpFailure) -> None:
            state.in_flight -= 1
            lost = isinstance(answer, HttpFailure)
            self._runner.pools.release(leased, healthy=not lost)
            if isinstance(answer, HttpFailure):
                self._try_elsewhere(choice, _lost_outcome(answer))
            else:
                self._on_answer(choice, answer)

        self._runner.exchange.send(
            self._stmt,
            leased,
            term=choice.term,
            min_index=choice.min_index,
            timeout=self._timeout_for(choice),
            on_answer=on_answer,
        )

    def _timeout_for(self, choice: SendRead) -> float:
        # An unresponsive replica must leave time for another try. If little
        # time remains, another try would not help.
        remaining = self._remaining()
        if choice.replica and remaining > MIN_REPLICA_TIMEOUT:
            return max(remaining / 2, MIN_REPLICA_TIMEOUT)
        return remaining

    def _on_answer(self, choice: SendRead, answer: TargetAnswer) -> None:
        self._record_report(choice, answer)
        match answer.outcome:
            case "ok" if self._covers_session(answer):
                self._on_complete(done_from(answer, at_replica=choice.replica))
            case "ok":
                self._on_stale_answer(choice)
            case "refused" if self._primary_is_behind(choice, answer):
                self._refuse(Reason.TOKEN_AHEAD)
            case "refused":
                if answer.reason in ("term", "not_primary"):
                    self._runner.mark_doubted(self._stmt.group)
                self._try_elsewhere(choice, refusal_from(answer))
            case _:
                self._on_complete(failed_from(answer))

    def _record_report(self, choice: SendRead, answer: TargetAnswer) -> None:
        """Record what the answer reports about its target."""
        state = self._group.state(choice.target.name)
        state.leaving = answer.leaving
        if answer.term == state.term:
            state.applied = max(state.applied, answer.applied)

    def _primary_is_behind(
        self, choice: SendRead, answer: TargetAnswer
    ) -> bool:
        """Return whether the primary lacks a position that the token claims.

        A target whose term is behind gives the same reason, so the term is
        compared as well.
        """
        return (
            not choice.replica
            and answer.reason == "behind"
            and answer.term == choice.term
        )

    def _covers_session(self, answer: TargetAnswer) -> bool:
        position = Position(term=answer.term, index=answer.index)
        record = self._group.record
        return covers_position(record, self._stmt.token, position)

    def _on_stale_answer(self, choice: SendRead) -> None:
        if choice.replica:
            refusal = NotRun(reason=Reason.STALE, retry_after_ms=RETRY_SOON_MS)
            self._try_elsewhere(choice, refusal)
            return
        # Even the primary does not have the position that the token claims.
        self._refuse(Reason.TOKEN_AHEAD)

    def _try_elsewhere(
        self,
        choice: SendRead,
        outcome: NotRun | Overloaded | Unknown,
        *,
        is_free: bool = False,
    ) -> None:
        """Try another target, or finish with `outcome`.

        Unless it is free, a further try is taken from the retry budget.
        """
        excluded = self._requirements.excluded | {choice.target.name}
        self._requirements = dataclasses.replace(
            self._requirements, excluded=excluded
        )
        is_over = self._tries >= MAX_TRIES or self._remaining() <= 0
        if is_over or not (is_free or self._runner.spend_retry()):
            self._on_complete(outcome)
            return
        self.choose()

    def _remaining(self) -> float:
        return self._stmt.deadline - self._runner.reactor.now()


def _lost_outcome(lost: HttpFailure) -> NotRun | Unknown:
    if lost.sent:
        return Unknown(reason=Reason.ANSWER_LOST, retry_after_ms=RETRY_SOON_MS)
    return NotRun(
        reason=Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_SOON_MS
    )
