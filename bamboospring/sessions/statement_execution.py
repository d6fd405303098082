"""A statement that needs a connection first, alone or in a transaction."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.reactor import Timer
from bamboospring.sessions.change_wait import change_wait
from bamboospring.sessions.direct_attempt import DirectAttempt
from bamboospring.sessions.forwarded_attempt import ForwardedAttempt
from bamboospring.sessions.model import ObservedTarget
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.quota_client import Permit
from bamboospring.sessions.replies import CHANGE_RETRY_MS
from bamboospring.sessions.replies import is_certainly_not_run
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import OnOutcome
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import SessionTransaction
from bamboospring.sessions.statement_trace import StatementTrace
from bamboospring.sessions.target_choice import choose_target
from bamboospring.sessions.target_choice import NoTarget
from bamboospring.sessions.target_choice import SendTo
from bamboospring.sessions.target_choice import TargetChoice
from bamboospring.sessions.target_choice import TargetRequirements
from bamboospring.statements import Position

if TYPE_CHECKING:
    from bamboospring.sessions.runner import StatementRunner

__all__ = ["StatementExecution"]

# Tries of one statement, the first one included.
MAX_TRIES = 4
# While nobody can run a statement it is looked at again this often, in
# seconds, for this part of its objective; after that its caller is better off
# knowing.
RECHECK = 0.01
PATIENCE_PART = 0.25
# What goes before all else is offered for longer to a target that has no slot:
# with all reads of a group at its primary, because its replicas lag by
# seconds, the queue there is full most of the time, and whoever asks oftenest
# gets in. What others are refused is what these need.
URGENT_PATIENCE_PART = 0.8
URGENT_TRIES = 16
# A read is also sent to another target once it has taken so many times what
# its target usually takes, and at least so many seconds: then its answer is
# lost more probably than late.
HEDGE_TIMES = 6.0
SHORTEST_HEDGE = 0.08


class StatementExecution:
    """A statement that needs a connection first: alone, or a transaction's.

    Of a transaction it is the first one; the transaction is opened with it,
    and if it is refused opened anew elsewhere, which its caller need not
    know.
    """

    def __init__(
        self,
        *,
        runner: StatementRunner,
        session: Session,
        job: Job,
        tx: SessionTransaction | None,
        on: OnOutcome,
    ) -> None:
        self.runner = runner
        self.session = session
        self.job = job
        self.tx = tx
        self.commits = job.text is None and job.shape is None
        self.group: SessionGroup = runner.board.group(job.route.group)
        self.story = StatementTrace(
            session=session, job=job, transaction=tx is not None
        )
        self._on: OnOutcome | None = on
        self._excluded: set[str] = set()
        self._tries = 0
        self._live: set[DirectAttempt | ForwardedAttempt] = set()
        self._caller_gone = False
        self._directly = False
        self._refusal: SessionOutcome | None = None
        self._no_target = ""
        self._timer: Timer | None = None
        self._hedge: Timer | None = None
        self._admitted: Permit | None = None
        self.deadline = job.received_at + job.route.time_limit
        self.urgent = runner.board.is_urgent(job.route)
        part = URGENT_PATIENCE_PART if self.urgent else PATIENCE_PART
        patience = job.route.objective * part
        self._patient_until = min(job.received_at + patience, self.deadline)

    @property
    def over(self) -> bool:
        """Tell whether the caller has its answer, or has gone."""
        return self._on is None

    def start(self) -> None:
        """Make the first try, if the team may run one more operation."""
        team = self.session.identity.team
        self.runner.quotas.admit(team, self._take_admission)

    def _take_admission(self, result: Permit | Overloaded) -> None:
        if isinstance(result, Overloaded):
            self._finish(result, None)
            return
        if self.over:
            self.runner.quotas.give_back(result)
            return
        self._admitted = result
        self.runner.budget.record_first_attempt()
        self.next_try()

    def withdraw(self) -> None:
        """Give up what has not been sent: nobody waits for the answer."""
        self._caller_gone = True
        if any(each.sent for each in self._live):
            for each in self._live:
                if isinstance(each, ForwardedAttempt):
                    each.withdraw()
            return
        self.story.waited_for = self._waits_for()
        for each in list(self._live):
            each.withdraw()
        self._finish(NotRun(reason=Reason.CALLER_GONE), None)

    def _waits_for(self) -> str:
        """Return in words what the statement waits for, for the log."""
        names = ", ".join(sorted(each.target for each in self._live))
        if names:
            return f"a connection to {names}"
        return f"a target ({self._no_target})" if self._no_target else ""

    def next_try(self) -> None:
        """Choose a target and try it, or wait, or give up."""
        if self.over:
            return
        now = self.runner.reactor.now()
        match self._choose(now):
            case SendTo() as choice:
                self._tries += 1
                attempt = self._attempt(choice, now)
                self._live.add(attempt)
                attempt.start()
            case NoTarget(reason=reason):
                self._no_target = reason.value
                self._wait_or_refuse(reason, now)

    def _choose(self, now: float) -> TargetChoice:
        return choose_target(
            self.group,
            self.job.route,
            self._needs(),
            zone=self.runner.board.availability_zone,
            now=now,
        )

    def _attempt(
        self, choice: SendTo, now: float
    ) -> DirectAttempt | ForwardedAttempt:
        """Return a try by the target's holder, or by a connection of ours.

        Transactions keep to connections of this VM. A single write may be
        passed on: it is sent once, and if its answer is lost on the way its
        outcome is unknown, as with a connection of our own.
        """
        holder = None
        if self.tx is None and not self._directly:
            holder = self.runner.holder_of(self.group.name, choice, now)
        if holder is None:
            return DirectAttempt(run=self, choice=choice)
        return ForwardedAttempt(run=self, choice=choice, holder=holder)

    def _needs(self) -> TargetRequirements:
        tx = self.tx
        at_primary = self.job.writes if tx is None else not tx.read_only
        return TargetRequirements(
            received_at=self.job.received_at,
            at_primary=at_primary,
            last_commit=self.session.last_commit,
            excluded=self._excluded,
        )

    def _wait_or_refuse(self, reason: Reason, now: float) -> None:
        if self._live:
            return
        if reason in (Reason.NO_PRIMARY, Reason.PRIMARY_CHANGED):
            self.runner.doubt(self.group.name)
        patient_until, retry_after = self._patience(reason, now)
        if now + RECHECK >= patient_until:
            refusal = self._refusal or NotRun(
                reason=reason, retry_after_ms=int(retry_after * 1000)
            )
            self._finish(refusal, None)
            return
        self._excluded.clear()
        self._timer = self.runner.reactor.call_later(RECHECK, self.next_try)

    def _patience(self, reason: Reason, now: float) -> tuple[float, float]:
        """Return until when to wait, and how long a refused caller should.

        During a change of primary the end can be foreseen. Who can be served
        before its time is up waits for it; who can't is refused at once, so
        that the rest of its time is its own.
        """
        due = self.group.first_proof_due_at(now)
        if reason is Reason.PRIMARY_CHANGED and due is not None:
            # Refused here, those that have waited for the change would all
            # be lost in the last moment.
            return min(due, self.deadline), CHANGE_RETRY_MS / 1000
        expected = self.group.change_expected_at(
            self.runner.board.change_duration
        )
        if reason is not Reason.NO_PRIMARY or expected is None:
            return self._patient_until, CHANGE_RETRY_MS / 1000
        return change_wait(
            expected,
            now=now,
            deadline=self.deadline,
            usual=self._patient_until,
        )

    # What becomes of a try.

    def start_hedge(self, view: ObservedTarget) -> None:
        """Try elsewhere too if a read has no answer after some time."""
        after = max(SHORTEST_HEDGE, HEDGE_TIMES * view.latency)
        if self.tx is None and not self.job.writes and self._hedge is None:
            self._hedge = self.runner.reactor.call_later(after, self._hedged)

    def _hedged(self) -> None:
        self._hedge = None
        if self.over or self._tries >= MAX_TRIES:
            return
        if not self.runner.budget.spend_retry():
            return
        self.story.hedged = True
        # A holder may be what is silent, so the second try passes by it.
        self._directly = True
        excluded = set(self._excluded)
        self._excluded.update(each.target for each in self._live)
        if isinstance(self._choose(self.runner.reactor.now()), NoTarget):
            if any(isinstance(each, ForwardedAttempt) for each in self._live):
                self._excluded = excluded
        self.next_try()

    def served(
        self,
        attempt: DirectAttempt | ForwardedAttempt,
        outcome: SessionOutcome,
        position: Position | None,
    ) -> None:
        """Take the answer; later ones of other tries are dropped."""
        self._live.discard(attempt)
        self._finish(outcome, position)

    def failed(
        self,
        attempt: DirectAttempt | ForwardedAttempt,
        outcome: SessionOutcome,
        *,
        again: bool,
        free: bool = False,
        counted: bool = True,
        target_tried: bool = True,
    ) -> None:
        """Take that a try came to nothing; `again` if another may be made.

        A further try is paid for from the retry budget unless it is `free`:
        one that was refused before it cost the target anything. One that
        found no place for a connection is not `counted`: it ends with the
        statement's patience. Without `target_tried` the same target may be
        chosen for the next one.
        """
        if not counted:
            self._tries -= 1
        self._live.discard(attempt)
        if self.over or self._live:
            return
        self._refusal = outcome
        if target_tried:
            self._excluded.add(attempt.target)
        over = self._tries >= (URGENT_TRIES if self.urgent else MAX_TRIES)
        if not again or over or self._caller_gone or self.left() <= 0:
            self._finish(outcome, None)
        elif free or self.runner.budget.spend_retry():
            self.next_try()
        else:
            self._finish(outcome, None)

    def patience_left(self) -> float:
        """Return the seconds within which the statement should find a slot."""
        now = self.runner.reactor.now()
        return max(0.0, self._patient_until - now)

    def left(self) -> float:
        """Return the seconds until the statement's time is up."""
        return self.deadline - self.runner.reactor.now()

    def _finish(
        self, outcome: SessionOutcome, position: Position | None
    ) -> None:
        on, self._on = self._on, None
        if on is None:
            return
        for timer in (self._timer, self._hedge):
            if timer is not None:
                timer.cancel()
        for each in list(self._live):
            each.withdraw()
        self._return_admission(outcome)
        self.runner.settled(self.session)
        self.runner.teller.log_outcome(self.story, outcome)
        on(outcome, position)

    def _return_admission(self, outcome: SessionOutcome) -> None:
        """Let another operation of the team run for one that has not."""
        admitted, self._admitted = self._admitted, None
        if admitted is not None and is_certainly_not_run(outcome):
            self.runner.quotas.give_back(admitted)
