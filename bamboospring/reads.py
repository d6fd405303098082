"""Run a read: choose a target, try it, and go elsewhere if it can't serve.

A read changes nothing, so it may be tried again; `may_retry` is asked before
each further try, so that retries stay a small share of first tries.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import random

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import TableRow
from bamboospring.confirm import Confirmer
from bamboospring.exchange import done_from
from bamboospring.exchange import Exchange
from bamboospring.exchange import failed_from
from bamboospring.exchange import refusal_from
from bamboospring.exchange import RETRY_SOON_MS
from bamboospring.http_client import HttpLost
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.pool import LeasedConnection
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import shard_of
from bamboospring.routing import choose_read
from bamboospring.routing import Confirm
from bamboospring.routing import Draws
from bamboospring.routing import fresh_since
from bamboospring.routing import READ_WAIT
from bamboospring.routing import ReadRequirements
from bamboospring.routing import Refuse
from bamboospring.routing import satisfies
from bamboospring.routing import SendRead
from bamboospring.routing import Wait
from bamboospring.statements import Position
from bamboospring.statements import Statement
from bamboospring.target_api import TargetAnswer

__all__ = ["ReadRunner"]

MAX_TRIES = 4
MAX_ROUNDS = 3
SHORT_TIME = 0.3
# A read that no target can serve while the primary changes waits for the
# next one like a write; so many may do so at one holder.
MAX_PARKED = 64
PARK_RECHECK = 0.02
# A token can be ahead of a holder that has not yet heard of a new term.
AHEAD_WAIT = 0.3

OnOutcome = Callable[[Outcome], None]


class ReadRunner:
    """Runs the reads of a holder."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        pools: Pools,
        exchange: Exchange,
        confirmer: Confirmer,
        may_retry: Callable[[], bool],
        doubt: Callable[[str], None],
    ) -> None:
        self.reactor = reactor
        self.board = board
        self.pools = pools
        self.exchange = exchange
        self.confirmer = confirmer
        self.may_retry = may_retry
        self.doubt = doubt
        self.parked = 0

    def run(self, stmt: Statement, group: Group, done: OnOutcome) -> None:
        """Run a read and call back once."""
        row = self.board.row(stmt.group, shard_of(stmt.group))
        read = _Read(runner=self, stmt=stmt, group=group, row=row, done=done)
        read.choose(row)


class _Read:
    """One read on its way."""

    __slots__ = (
        "_done",
        "_group",
        "_began",
        "_needs",
        "_rounds",
        "_shareless",
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
        done: OnOutcome,
    ) -> None:
        self._runner = runner
        self._stmt = stmt
        self._group = group
        self._done = done
        self._tries = 0
        self._rounds = 0
        self._shareless = False
        now = self._began = runner.reactor.now()
        self._needs = ReadRequirements(
            token=stmt.token,
            fresh_since=fresh_since(row, stmt.staleness, now),
            wait_until=min(now + READ_WAIT, stmt.deadline),
        )

    def choose(self, row: TableRow | None = None) -> None:
        """Choose a target by the table's row, the one in force if none."""
        runner = self._runner
        if row is None:
            name = self._stmt.group
            row = runner.board.row(name, shard_of(name))
        choice = choose_read(
            self._group,
            row,
            self._needs,
            zone=runner.board.local_vm.availability_zone,
            now=runner.reactor.now(),
            draws=Draws(
                site=random.random(),
                first=random.random(),
                second=random.random(),
            ),
            confirmed=runner.confirmer.confirmed(self._group),
        )
        match choice:
            case SendRead():
                self._acquire(choice)
            case Wait():
                runner.reactor.call_later(choice.seconds, self.choose)
            case Confirm():
                self._confirm(choice)
            case Refuse():
                self._wait_or_refuse(choice.reason)

    def _confirm(self, choice: Confirm) -> None:
        self._rounds += 1
        if self._rounds > MAX_ROUNDS or self._left() <= 0:
            self._refuse(Reason.STALE)
            return

        def confirmed(good: bool) -> None:
            if good:
                self.choose()
            else:
                self._runner.doubt(self._stmt.group)
                self._refuse(Reason.STALE)

        self._runner.confirmer.confirm(self._group, choice.since, confirmed)

    def _wait_or_refuse(self, reason: Reason) -> None:
        """Wait for a newer record of the group where that may help."""
        self._runner.doubt(self._stmt.group)
        waited = self._runner.reactor.now() - self._began
        ahead = reason is Reason.TOKEN_AHEAD and waited > AHEAD_WAIT
        if ahead or self._left() <= 0 or self._runner.parked >= MAX_PARKED:
            self._refuse(reason)
            return
        self._runner.parked += 1
        self._runner.reactor.call_later(
            min(PARK_RECHECK, self._left()), self._unpark
        )

    def _unpark(self) -> None:
        self._runner.parked -= 1
        self._needs = dataclasses.replace(self._needs, excluded=frozenset())
        self.choose()

    def _refuse(self, reason: Reason) -> None:
        self._done(NotRun(reason=reason, retry_after_ms=RETRY_SOON_MS))

    def _acquire(self, choice: SendRead) -> None:
        if self._shareless and not choice.replica and not self._stmt.settle:
            # Another holder has a share of a replica that would do, and the
            # primary's connections are scarce.
            self._refuse(Reason.NOT_HOLDER)
            return
        state = self._group.state(choice.target.name)
        state.in_flight += 1
        self._tries += 1

        def ready(leased: LeasedConnection | NotRun | Overloaded) -> None:
            if isinstance(leased, LeasedConnection):
                self._send(choice, leased)
                return
            state.in_flight -= 1
            if choice.replica and leased.reason is Reason.NOT_HOLDER:
                self._shareless = True
            if choice.replica or leased.reason is Reason.TARGET_UNREACHABLE:
                # Nothing was sent, so going on costs no target anything; but
                # work that one replica's queue refused must not all fall on
                # the others and the primary.
                self._elsewhere(
                    choice, leased, free=isinstance(leased, NotRun)
                )
            else:
                self._done(leased)

        # The queue of a replica that has gone silent must leave time too.
        deadline = self._runner.reactor.now() + self._time_for(choice)
        self._runner.pools.acquire(
            choice.target, deadline, self._stmt.caller, ready
        )

    def _send(self, choice: SendRead, leased: LeasedConnection) -> None:
        state = self._group.state(choice.target.name)

        def answered(answer: TargetAnswer | HttpLost) -> None:
            state.in_flight -= 1
            lost = isinstance(answer, HttpLost)
            self._runner.pools.release(leased, healthy=not lost)
            if isinstance(answer, HttpLost):
                self._elsewhere(choice, _lost(answer))
            else:
                self._answered(choice, answer)

        self._runner.exchange.send(
            self._stmt,
            leased,
            term=choice.term,
            min_index=choice.min_index,
            timeout=self._time_for(choice),
            on_answer=answered,
        )

    def _time_for(self, choice: SendRead) -> float:
        # A replica that has gone silent must leave time for another try.
        # With little time left another try would not help either.
        left = self._left()
        if choice.replica and left > SHORT_TIME:
            return max(left / 2, SHORT_TIME)
        return left

    def _answered(self, choice: SendRead, answer: TargetAnswer) -> None:
        self._learn(choice, answer)
        match answer.outcome:
            case "ok" if self._covers(answer):
                self._done(done_from(answer, at_replica=choice.replica))
            case "ok":
                self._too_old(choice)
            case "refused" if self._primary_is_behind(choice, answer):
                self._refuse(Reason.TOKEN_AHEAD)
            case "refused":
                if answer.reason in ("term", "not_primary"):
                    self._runner.doubt(self._stmt.group)
                self._elsewhere(choice, refusal_from(answer))
            case _:
                self._done(failed_from(answer))

    def _learn(self, choice: SendRead, answer: TargetAnswer) -> None:
        """Take from the answer what it says of its target."""
        state = self._group.state(choice.target.name)
        state.leaving = answer.leaving
        if answer.term == state.term:
            state.applied = max(state.applied, answer.applied)

    def _primary_is_behind(
        self, choice: SendRead, answer: TargetAnswer
    ) -> bool:
        """Tell whether the primary lacks what the token claims.

        A target that is behind in its term says the same word.
        """
        return (
            not choice.replica
            and answer.reason == "behind"
            and answer.term == choice.term
        )

    def _covers(self, answer: TargetAnswer) -> bool:
        position = Position(term=answer.term, index=answer.index)
        record = self._group.record
        return satisfies(record, self._stmt.token, position)

    def _too_old(self, choice: SendRead) -> None:
        if choice.replica:
            refusal = NotRun(reason=Reason.STALE, retry_after_ms=RETRY_SOON_MS)
            self._elsewhere(choice, refusal)
            return
        # The primary itself does not have what the token claims.
        self._refuse(Reason.TOKEN_AHEAD)

    def _elsewhere(
        self,
        choice: SendRead,
        outcome: NotRun | Overloaded | Unknown,
        *,
        free: bool = False,
    ) -> None:
        """Try another target, or give up with `outcome`.

        A further try is paid for from the retry budget unless it is `free`.
        """
        excluded = self._needs.excluded | {choice.target.name}
        self._needs = dataclasses.replace(self._needs, excluded=excluded)
        over = self._tries >= MAX_TRIES or self._left() <= 0
        if over or not (free or self._runner.may_retry()):
            self._done(outcome)
            return
        self.choose()

    def _left(self) -> float:
        return self._stmt.deadline - self._runner.reactor.now()


def _lost(lost: HttpLost) -> NotRun | Unknown:
    if lost.sent:
        return Unknown(reason=Reason.ANSWER_LOST, retry_after_ms=RETRY_SOON_MS)
    return NotRun(
        reason=Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_SOON_MS
    )
