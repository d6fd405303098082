"""Run a statement that needs a connection, alone or in a transaction."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

from bamboospring import logs
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.reactor import Timer
from bamboospring.sessions.backpressure import CAPACITY_REASONS
from bamboospring.sessions.backpressure import limit_retry_delay
from bamboospring.sessions.backpressure import MAX_SENDS_PER_HOLDER
from bamboospring.sessions.change_wait import change_wait
from bamboospring.sessions.direct_attempt import DirectAttempt
from bamboospring.sessions.forwarded_attempt import ForwardedAttempt
from bamboospring.sessions.forwarded_transaction import can_hold_transactions
from bamboospring.sessions.forwarded_transaction import ForwardedOpening
from bamboospring.sessions.holder_probes import PROBE_INTERVAL
from bamboospring.sessions.model import ObservedTarget
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.quota_client import Permit
from bamboospring.sessions.replies import BUSY_RETRY_MS
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

# The number of attempts for one statement, including the first.
MAX_ATTEMPTS = 4
# While no target can run a statement, it is reconsidered at this interval, in
# seconds, for this fraction of its route's objective. After that, the caller
# can do more with a refusal than by waiting.
RECHECK_INTERVAL = 0.01
SLOT_WAIT_FRACTION = 0.25
# Urgent statements wait longer and are sent more often to a target without a
# slot. If the replicas of a group lag by seconds, all of its reads go to the
# primary, whose queue is then full most of the time, so that the statement
# that is sent most often gets a slot. Slots refused to less urgent statements
# are free for these.
URGENT_SLOT_WAIT_FRACTION = 0.8
MAX_URGENT_ATTEMPTS = 16
# A read is hedged, that is, also sent to another target, after this multiple
# of its target's usual latency, and after at least this many seconds. By then
# its answer is more likely lost than late.
HEDGE_LATENCY_FACTOR = 6.0
MIN_HEDGE_DELAY = 0.08
# Reasons why there is no target that a change of primary explains.
CHANGE_REASONS = (Reason.NO_PRIMARY, Reason.PRIMARY_CHANGED)
# Fraction of its time limit for which a holder may keep a statement queued,
# see MAX_WAIT_FRACTION in admission.py. After that, its answer is more likely
# lost than late.
MAX_QUEUED_FRACTION = 0.6


Attempt = DirectAttempt | ForwardedAttempt | ForwardedOpening


class StatementExecution:
    """Runs a single statement, or the first statement of a transaction.

    The transaction is opened together with its first statement. If that
    statement is refused, the transaction is opened again at another target,
    unnoticed by the caller.
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
        self._active: set[Attempt] = set()
        self._caller_disconnected = False
        self._uses_own_connection = False
        self.was_abandoned = False
        self._holder_refusal: Overloaded | NotRun | None = None
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
        # Load control: by when the statement should be answered, how often it
        # was sent to each target's holder, and until when it may not be sent
        # there again.
        self.objective_at: float | None = None
        if runner.board.load_control:
            self.objective_at = job.received_at + job.route.objective
        self._holder_sends: Counter[str] = Counter()
        self._held_back_until: dict[str, float] = {}

    @property
    def is_finished(self) -> bool:
        """Return whether the caller has its answer or has disconnected."""
        return self._on_complete is None

    @property
    def is_needed(self) -> bool:
        """Return whether anyone still waits for a response."""
        return not (self.is_finished or self._caller_disconnected)

    def start(self) -> None:
        """Start the first attempt if the team's limit permits it."""
        team = self.session.identity.team
        self.runner.quotas.request_permit(
            team,
            self._on_permit,
            urgency=self.job.route.urgency,
            objective=self.job.route.objective,
        )

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
        """Cancel all that has not been sent: the caller has disconnected."""
        self._caller_disconnected = True
        if any(each.sent for each in self._active):
            for each in list(self._active):
                if not isinstance(each, DirectAttempt):
                    each.cancel()
                else:
                    each.abandon_if_overdue()
            return
        self.trace.waited_for = self._describe_wait()
        for each in list(self._active):
            each.cancel()
        self._finish(NotRun(reason=Reason.CALLER_GONE), None)

    def interrupt(self) -> None:
        """Finish with what is known now, as the process exits.

        A transaction of which this is the first statement is rolled back with
        its connection.
        """
        was_sent = any(each.sent for each in self._active)
        outcome: NotRun | Unknown = NotRun(reason=Reason.DRAINING)
        if was_sent and self.job.writes and self.tx is None:
            outcome = Unknown(reason=Reason.DRAINING)
        self._finish(outcome, None)

    def _describe_wait(self) -> str:
        """Return what the statement waits for, as text for the log."""
        names = ", ".join(sorted(each.target for each in self._active))
        if names:
            return f"a connection to {names}"
        return (
            f"a target ({self._no_target_reason})"
            if self._no_target_reason
            else ""
        )

    def try_next(self) -> None:
        """Start an attempt at a chosen target, or wait, or refuse."""
        if self.is_finished:
            return
        now = self.runner.reactor.now()
        match self._choose_target(now):
            case SendTo() as choice:
                attempt = self._make_attempt(choice, now)
                if self._is_held_back(attempt, now):
                    self._excluded.add(attempt.target)
                    self.try_next()
                    return
                self._attempts += 1
                self._active.add(attempt)
                attempt.start()
            case NoTarget(reason=reason):
                self._no_target_reason = reason.value
                self._drop_past_holds(now)
                if self._held_back_until and reason not in CHANGE_REASONS:
                    self._wait_for_holder(now)
                else:
                    self._wait_or_refuse(reason, now)

    def _choose_target(self, now: float) -> TargetChoice:
        return choose_target(
            self.group,
            self.job.route,
            self._requirements(),
            zone=self.runner.board.availability_zone,
            now=now,
        )

    def _make_attempt(self, choice: SendTo, now: float) -> Attempt:
        """Return an attempt through the target's holder or an own connection.

        A single write may be forwarded: it is sent once, and if its answer is
        lost, its outcome is unknown, as with an own connection. Without load
        control, transactions use connections of this VM only.
        """
        runner, tx = self.runner, self.tx
        holder = None
        may_forward = tx is None or runner.board.load_control
        if may_forward and not self._uses_own_connection:
            holder = runner.find_holder(self.group.name, choice, now)
        if holder is None:
            return DirectAttempt(execution=self, choice=choice)
        if tx is None:
            return ForwardedAttempt(
                execution=self, choice=choice, holder=holder
            )
        if not can_hold_transactions(runner.peers, holder):
            return DirectAttempt(execution=self, choice=choice)
        return ForwardedOpening(
            execution=self, tx=tx, choice=choice, holder=holder
        )

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
        if reason in CHANGE_REASONS:
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
        """Return until when to wait, and the retry delay if refused.

        During a change of primary, its end can be predicted. A statement that
        can still run after the expected end waits for it. Any other is refused
        at once, so that its caller can use the remaining time.
        """
        due = self.group.first_proof_due_at(now)
        if reason is Reason.PRIMARY_CHANGED and due is not None:
            # If they were refused now, statements that waited for the whole
            # change would fail just before its end.
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

    # Load control: holders without capacity.

    def _may_be_queued(self) -> bool:
        """Return whether a holder may still have the statement in its queue.

        A second attempt would then take capacity from other statements and
        win nothing.
        """
        limit = self.job.route.time_limit
        elapsed = limit - self.remaining()
        return (
            self.runner.board.load_control
            and elapsed < MAX_QUEUED_FRACTION * limit
            and any(
                isinstance(each, ForwardedAttempt)
                and self.runner.is_responsive(each.holder)
                for each in self._active
            )
        )

    def _is_held_back(self, attempt: Attempt, now: float) -> bool:
        """Return whether a queue accepts no such statement at present."""
        if not self.runner.board.load_control:
            return False
        target = attempt.target
        until = self._held_back_until.get(target, now)
        is_forwarded = not isinstance(attempt, DirectAttempt)
        if is_forwarded:
            if self._holder_sends[target] >= MAX_SENDS_PER_HOLDER:
                until = float("inf")
            remaining = self.runner.backpressure.remaining(
                target, self.session.queue_key, self.job.route.urgency, now
            )
            until = max(until, now + remaining)
        if until > now:
            self._held_back_until[target] = until
            return True
        self._held_back_until.pop(target, None)
        if is_forwarded:
            self._holder_sends[target] += 1
        return False

    def is_refusal_final(self, refusal: NotRun | Overloaded) -> bool:
        """Return whether a queue's refusal is final until its delay is over.

        Without connections at the target, this VM tries again sooner: its own
        pool limits how often it asks for one.
        """
        return (
            self.runner.board.load_control
            and refusal.reason in CAPACITY_REASONS
            and refusal.reason is not Reason.TARGET_CONNECTIONS
        )

    def on_holder_full(
        self, attempt: ForwardedAttempt, refusal: NotRun | Overloaded
    ) -> None:
        """Handle the refusal of a holder that has insufficient capacity."""
        now, urgency = self.runner.reactor.now(), self.job.route.urgency
        is_first = self.runner.backpressure.record(
            attempt.target, self.session.queue_key, urgency, refusal, now
        )
        if is_first:
            logs.log_event(
                "holder_full",
                holder=attempt.holder.name,
                target=attempt.target,
                urgency=urgency,
                reason=refusal.reason,
                retry_ms=refusal.retry_after_ms,
            )
        self.on_queue_full(attempt, refusal)

    def on_queue_full(
        self,
        attempt: DirectAttempt | ForwardedAttempt,
        refusal: NotRun | Overloaded,
    ) -> None:
        """Handle the refusal of a queue, at a holder or at this VM.

        The statement isn't sent there again before the delay that the refusal
        names; another target may serve it at once.
        """
        now = self.runner.reactor.now()
        self._held_back_until[attempt.target] = (
            now + refusal.retry_after_ms / 1000
        )
        self._active.discard(attempt)
        if self.is_finished or self._active:
            return
        self._refusal = refusal
        if self._caller_disconnected or self.remaining() <= 0:
            self._finish(refusal, None)
        else:
            self.try_next()

    def _drop_past_holds(self, now: float) -> None:
        """Forget the holders that may be asked again.

        Their targets were not chosen, so they can't run the statement any
        more. Waiting for a time that has passed would never end.
        """
        self._held_back_until = {
            target: until
            for target, until in self._held_back_until.items()
            if until > now
        }

    def _wait_for_holder(self, now: float) -> None:
        """Wait until a holder may accept the statement, or refuse it."""
        if self._active:
            return
        due = min(self._held_back_until.values())
        if due >= self._slot_deadline:
            outcome = self._refusal or self._backpressure_refusal(now)
            self._finish(outcome, None)
            return
        self.runner.waited_for_holder_count += 1
        self._excluded.clear()
        # A delay that is over when it is passed on to the caller is useless.
        self._refusal = None
        self._timer = self.runner.reactor.call_later(
            max(0.0, due - now), self.try_next
        )

    def _backpressure_refusal(self, now: float) -> SessionOutcome:
        """Return the refusal of a statement that may be sent to no holder."""
        self.runner.backpressure_refusal_count += 1
        refusals = [
            self.runner.backpressure.refuse(
                target, self.session.queue_key, self.job.route.urgency, now
            )
            for target in self._held_back_until
        ]
        return min(
            (each for each in refusals if each is not None),
            key=lambda each: each.retry_after_ms,
            # The time of the last remembered refusal has just passed.
            default=Overloaded(
                reason=Reason.QUEUE_FULL, retry_after_ms=BUSY_RETRY_MS
            ),
        )

    # Results of attempts.

    def schedule_hedge(self, observed: ObservedTarget) -> None:
        """Schedule a second attempt for a read without an answer."""
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
        if self._may_be_queued():
            self._hedge_timer = self.runner.reactor.call_later(
                PROBE_INTERVAL, self._send_hedge
            )
            return
        if not self.runner.budget.spend_retry():
            return
        self.trace.hedged = True
        # The holder may be what does not answer, so the second attempt does
        # not use one.
        self._uses_own_connection = True
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
        attempt: Attempt,
        outcome: SessionOutcome,
        position: Position | None,
    ) -> None:
        """Finish with this answer; those of other attempts are ignored."""
        self._active.discard(attempt)
        self._finish(outcome, position)

    def on_failed(
        self,
        attempt: Attempt,
        outcome: SessionOutcome,
        *,
        retryable: bool,
        is_free: bool = False,
        is_counted: bool = True,
        exclude_target: bool = True,
    ) -> None:
        """Handle a failed attempt; `retryable` if another may follow.

        Another attempt takes from the retry budget unless it is `is_free`: the
        failed one was refused before it cost the target anything. An attempt
        that found no place for a connection is not `is_counted`: such attempts
        end when the wait for a slot ends. Without `exclude_target`, the next
        attempt may choose the same target.
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

    def on_response_lost(
        self,
        attempt: DirectAttempt | ForwardedAttempt,
        outcome: NotRun | Unknown,
    ) -> None:
        """Handle an attempt whose response was lost or is overdue.

        The next attempt, if the retry budget allows one, is sent to another
        target, or to the same one if no other can run the statement: a lost
        response says little about the next one. It is not abandoned again.
        """
        self.was_abandoned = True
        self._excluded.add(attempt.target)
        now = self.runner.reactor.now()
        if isinstance(self._choose_target(now), NoTarget):
            self._excluded.discard(attempt.target)
        self.on_failed(attempt, outcome, retryable=True, exclude_target=False)

    def avoid_holders(self, refusal: Overloaded | NotRun) -> None:
        """Use own connections only, since a holder had none left.

        If there is none for this VM either, the holder's refusal is given to
        the caller: it says when the holder will have room again.
        """
        self._uses_own_connection = True
        self._holder_refusal = refusal

    def slot_wait_remaining(self) -> float:
        """Return the seconds within which the statement should get a slot."""
        now = self.runner.reactor.now()
        return max(0.0, self._slot_deadline - now)

    def remaining(self) -> float:
        """Return the seconds until the statement's deadline."""
        return self.deadline - self.runner.reactor.now()

    def _finish(
        self, outcome: SessionOutcome, position: Position | None
    ) -> None:
        on_complete, self._on_complete = self._on_complete, None
        if on_complete is None:
            return
        reason = getattr(outcome, "reason", None)
        if reason is Reason.TARGET_CONNECTIONS and self._holder_refusal:
            outcome = self._holder_refusal
        if self.runner.board.load_control:
            outcome = self._with_delay(outcome)
        for timer in (self._timer, self._hedge_timer):
            if timer is not None:
                timer.cancel()
        for each in list(self._active):
            each.cancel()
        self._return_permit(outcome)
        self.runner.on_execution_finished(self.session)
        self.runner.statement_logger.log_outcome(self.trace, outcome)
        on_complete(outcome, position)

    def _with_delay(self, outcome: SessionOutcome) -> SessionOutcome:
        """Return a refusal with a delay that is useful to the caller."""
        match outcome:
            case NotRun(reason=reason) | Overloaded(reason=reason):
                if reason in CAPACITY_REASONS:
                    return limit_retry_delay(outcome, self.job.route.objective)
                if not outcome.retry_after_ms:
                    return replace(outcome, retry_after_ms=BUSY_RETRY_MS)
        return outcome

    def _return_permit(self, outcome: SessionOutcome) -> None:
        """Return the permit of an operation that has not run to its team."""
        permit, self._permit = self._permit, None
        if permit is not None and is_certainly_not_run(outcome):
            self.runner.quotas.return_permit(permit)
