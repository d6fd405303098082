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
MAX_ATTEMPTS = 4
# While nobody can run a statement it is looked at again this often, in
# seconds, for this part of its objective; after that its caller is better off
# knowing.
RECHECK_INTERVAL = 0.01
SLOT_WAIT_FRACTION = 0.25
# What goes before all else is offered for longer to a target that has no slot:
# with all reads of a group at its primary, because its replicas lag by
# seconds, the queue there is full most of the time, and whoever asks oftenest
# gets in. What others are refused is what these need.
URGENT_SLOT_WAIT_FRACTION = 0.8
MAX_URGENT_ATTEMPTS = 16
# A read is also sent to another target once it has taken so many times what
# its target usually takes, and at least so many seconds: then its answer is
# lost more probably than late.
HEDGE_LATENCY_FACTOR = 6.0
MIN_HEDGE_DELAY = 0.08


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
        on_complete: OnOutcome,
    ) -> None:
        self.runner = runner
        self.session = session
        self.job = job
        self.tx = tx
        self.is_commit = job.text is None and job.shape is None
        self.group: SessionGroup = runner.board.group(job.route.group)
        self.trace = StatementTrace(
            session=session, job=job, transaction=tx is not None
        )
        self._on_complete: OnOutcome | None = on_complete
        self._excluded: set[str] = set()
        self._attempts = 0
        self._active: set[DirectAttempt | ForwardedAttempt] = set()
        self._caller_disconnected = False
        self._skip_holder = False
        self._refusal: SessionOutcome | None = None
        self._no_target_reason = ""
        self._timer: Timer | None = None
        self._hedge_timer: Timer | None = None
        self._permit: Permit | None = None
        self.deadline = job.received_at + job.route.time_limit
        self.is_urgent = runner.board.is_urgent(job.route)
        fraction = (
            URGENT_SLOT_WAIT_FRACTION if self.is_urgent else SLOT_WAIT_FRACTION
        )
        slot_wait = job.route.objective * fraction
        self._slot_deadline = min(job.received_at + slot_wait, self.deadline)

    @property
    def is_finished(self) -> bool:
        """Tell whether the caller has its answer, or has gone."""
        return self._on_complete is None

    def start(self) -> None:
        """Make the first try, if the team may run one more operation."""
        team = self.session.identity.team
        self.runner.quotas.request_permit(team, self._on_permit)

    def _on_permit(self, result: Permit | Overloaded) -> None:
        if isinstance(result, Overloaded):
            self._finish(result, None)
            return
        if self.is_finished:
            self.runner.quotas.return_permit(result)
            return
        self._permit = result
        self.runner.budget.record_first_attempt()
        self.try_next()

    def cancel(self) -> None:
        """Give up what has not been sent: nobody waits for the answer."""
        self._caller_disconnected = True
        if any(each.sent for each in self._active):
            for each in self._active:
                if isinstance(each, ForwardedAttempt):
                    each.cancel()
            return
        self.trace.waited_for = self._describe_wait()
        for each in list(self._active):
            each.cancel()
        self._finish(NotRun(reason=Reason.CALLER_GONE), None)

    def _describe_wait(self) -> str:
        """Return in words what the statement waits for, for the log."""
        names = ", ".join(sorted(each.target for each in self._active))
        if names:
            return f"a connection to {names}"
        return (
            f"a target ({self._no_target_reason})"
            if self._no_target_reason
            else ""
        )

    def try_next(self) -> None:
        """Choose a target and try it, or wait, or give up."""
        if self.is_finished:
            return
        now = self.runner.reactor.now()
        match self._choose_target(now):
            case SendTo() as choice:
                self._attempts += 1
                attempt = self._make_attempt(choice, now)
                self._active.add(attempt)
                attempt.start()
            case NoTarget(reason=reason):
                self._no_target_reason = reason.value
                self._wait_or_refuse(reason, now)

    def _choose_target(self, now: float) -> TargetChoice:
        return choose_target(
            self.group,
            self.job.route,
            self._requirements(),
            zone=self.runner.board.availability_zone,
            now=now,
        )

    def _make_attempt(
        self, choice: SendTo, now: float
    ) -> DirectAttempt | ForwardedAttempt:
        """Return a try by the target's holder, or by a connection of ours.

        Transactions keep to connections of this VM. A single write may be
        passed on: it is sent once, and if its answer is lost on the way its
        outcome is unknown, as with a connection of our own.
        """
        holder = None
        if self.tx is None and not self._skip_holder:
            holder = self.runner.find_holder(self.group.name, choice, now)
        if holder is None:
            return DirectAttempt(execution=self, choice=choice)
        return ForwardedAttempt(execution=self, choice=choice, holder=holder)

    def _requirements(self) -> TargetRequirements:
        tx = self.tx
        at_primary = self.job.writes if tx is None else not tx.read_only
        return TargetRequirements(
            received_at=self.job.received_at,
            at_primary=at_primary,
            last_commit=self.session.last_commit,
            excluded=self._excluded,
        )

    def _wait_or_refuse(self, reason: Reason, now: float) -> None:
        if self._active:
            return
        if reason in (Reason.NO_PRIMARY, Reason.PRIMARY_CHANGED):
            self.runner.request_record_read(self.group.name)
        wait_until, retry_after = self._wait_limits(reason, now)
        if now + RECHECK_INTERVAL >= wait_until:
            refusal = self._refusal or NotRun(
                reason=reason, retry_after_ms=int(retry_after * 1000)
            )
            self._finish(refusal, None)
            return
        self._excluded.clear()
        self._timer = self.runner.reactor.call_later(
            RECHECK_INTERVAL, self.try_next
        )

    def _wait_limits(self, reason: Reason, now: float) -> tuple[float, float]:
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
            return self._slot_deadline, CHANGE_RETRY_MS / 1000
        return change_wait(
            expected,
            now=now,
            deadline=self.deadline,
            usual=self._slot_deadline,
        )

    # What becomes of a try.

    def schedule_hedge(self, observed: ObservedTarget) -> None:
        """Try elsewhere too if a read has no answer after some time."""
        delay = max(MIN_HEDGE_DELAY, HEDGE_LATENCY_FACTOR * observed.latency)
        if (
            self.tx is None
            and not self.job.writes
            and self._hedge_timer is None
        ):
            self._hedge_timer = self.runner.reactor.call_later(
                delay, self._send_hedge
            )

    def _send_hedge(self) -> None:
        self._hedge_timer = None
        if self.is_finished or self._attempts >= MAX_ATTEMPTS:
            return
        if not self.runner.budget.spend_retry():
            return
        self.trace.hedged = True
        # A holder may be what is silent, so the second try passes by it.
        self._skip_holder = True
        excluded = set(self._excluded)
        self._excluded.update(each.target for each in self._active)
        if isinstance(
            self._choose_target(self.runner.reactor.now()), NoTarget
        ):
            if any(
                isinstance(each, ForwardedAttempt) for each in self._active
            ):
                self._excluded = excluded
        self.try_next()

    def on_served(
        self,
        attempt: DirectAttempt | ForwardedAttempt,
        outcome: SessionOutcome,
        position: Position | None,
    ) -> None:
        """Take the answer; later ones of other tries are dropped."""
        self._active.discard(attempt)
        self._finish(outcome, position)

    def on_failed(
        self,
        attempt: DirectAttempt | ForwardedAttempt,
        outcome: SessionOutcome,
        *,
        retryable: bool,
        is_free: bool = False,
        is_counted: bool = True,
        exclude_target: bool = True,
    ) -> None:
        """Take that a try came to nothing; `again` if another may be made.

        A further try is paid for from the retry budget unless it is `free`:
        one that was refused before it cost the target anything. One that
        found no place for a connection is not `counted`: it ends with the
        statement's patience. Without `target_tried` the same target may be
        chosen for the next one.
        """
        if not is_counted:
            self._attempts -= 1
        self._active.discard(attempt)
        if self.is_finished or self._active:
            return
        self._refusal = outcome
        if exclude_target:
            self._excluded.add(attempt.target)
        attempts_exhausted = self._attempts >= (
            MAX_URGENT_ATTEMPTS if self.is_urgent else MAX_ATTEMPTS
        )
        if (
            not retryable
            or attempts_exhausted
            or self._caller_disconnected
            or self.remaining() <= 0
        ):
            self._finish(outcome, None)
        elif is_free or self.runner.budget.spend_retry():
            self.try_next()
        else:
            self._finish(outcome, None)

    def slot_wait_remaining(self) -> float:
        """Return the seconds within which the statement should find a slot."""
        now = self.runner.reactor.now()
        return max(0.0, self._slot_deadline - now)

    def remaining(self) -> float:
        """Return the seconds until the statement's time is up."""
        return self.deadline - self.runner.reactor.now()

    def _finish(
        self, outcome: SessionOutcome, position: Position | None
    ) -> None:
        on_complete, self._on_complete = self._on_complete, None
        if on_complete is None:
            return
        for timer in (self._timer, self._hedge_timer):
            if timer is not None:
                timer.cancel()
        for each in list(self._active):
            each.cancel()
        self._return_permit(outcome)
        self.runner.on_execution_finished(self.session)
        self.runner.statement_logger.log_outcome(self.trace, outcome)
        on_complete(outcome, position)

    def _return_permit(self, outcome: SessionOutcome) -> None:
        """Let another operation of the team run for one that has not."""
        permit, self._permit = self._permit, None
        if permit is not None and is_certainly_not_run(outcome):
            self.runner.quotas.return_permit(permit)
