"""Carry statements out at targets: choose, get a connection, send, judge.

A read changes nothing and may be tried again elsewhere. A write, and the
commit of a transaction that wrote, is sent once; it goes again only after the
target's word that nothing ran. What has no answer is in doubt, and is said to
be. A write at a primary counts only while the proof of that primary holds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.pool import Asked
from bamboospring.pool import Leased
from bamboospring.pool import Pools
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.retry_budget import RetryBudget
from bamboospring.sessions.link_setup import link_merit
from bamboospring.sessions.link_setup import orders_before
from bamboospring.sessions.model import GroupView
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.ports import BeginWork
from bamboospring.sessions.ports import CommitWork
from bamboospring.sessions.ports import LinkLost
from bamboospring.sessions.ports import Order
from bamboospring.sessions.ports import Refusal
from bamboospring.sessions.ports import RollbackWork
from bamboospring.sessions.ports import RunShape
from bamboospring.sessions.ports import RunText
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.ports import SessionState
from bamboospring.sessions.ports import TargetReply
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import OnOutcome
from bamboospring.sessions.session import Session
from bamboospring.sessions.session import Transaction
from bamboospring.sessions.session import Worker
from bamboospring.sessions.story import Story
from bamboospring.sessions.story import StoryTeller
from bamboospring.sessions.target_choice import choose
from bamboospring.sessions.target_choice import Needs
from bamboospring.sessions.target_choice import NoTarget
from bamboospring.sessions.target_choice import SendTo
from bamboospring.statements import Position

__all__ = ["StatementRunner", "change_patience"]

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
# A statement of a transaction that a target had no slot for is offered again
# after so many seconds; all that the transaction has done is lost without it.
BUSY_PAUSE = 0.012
# What callers are told to wait, in milliseconds: a busy target has worked its
# queue off by then, a change of primary takes one to three seconds.
BUSY_RETRY_MS = 100
CHANGE_RETRY_MS = 1000
# After its expected end a change may take so much longer, in seconds, and a
# statement that waits for the end needs so much time to run.
CHANGE_SLACK = 0.3
CHANGE_RESERVE = 0.1
# A read is also sent to another target once it has taken so many times what
# its target usually takes, and at least so many seconds: then its answer is
# lost more probably than late.
HEDGE_TIMES = 6.0
SHORTEST_HEDGE = 0.08
# The rollback of what a caller has left needs no longer than this, in
# seconds; a connection that does not answer it is closed.
ROLLBACK_TIMEOUT = 1.0


class StatementRunner(Worker):
    """Runs the statements of all sessions of this process."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        pools: Pools[SessionLink],
        budget: RetryBudget,
        teller: StoryTeller,
        doubt: Callable[[str], None],
    ) -> None:
        self.reactor = reactor
        self.board = board
        self.pools = pools
        self.budget = budget
        self.teller = teller
        self.doubt = doubt
        self.running = 0
        self._waiting: dict[Session, _Run] = {}

    def run(
        self, session: Session, job: Job, tx: Transaction | None, on: OnOutcome
    ) -> None:
        """Run a statement, in a transaction if there is one."""
        on = self._counted(on)
        if tx is not None and tx.leased is not None:
            _Step(runner=self, session=session, job=job, tx=tx, on=on).start()
            return
        run = _Run(runner=self, session=session, job=job, tx=tx, on=on)
        self._waiting[session] = run
        run.start()

    def commit(
        self,
        session: Session,
        tx: Transaction,
        id: str,
        received_at: float,
        on: OnOutcome,
    ) -> None:
        """Commit; a transaction without a statement begins only now."""
        job = Job(id=id, writes=False, route=tx.route, received_at=received_at)
        on = self._counted(on)
        if tx.leased is not None:
            _Step(runner=self, session=session, job=job, tx=tx, on=on).start()
            return
        run = _Run(runner=self, session=session, job=job, tx=tx, on=on)
        self._waiting[session] = run
        run.start()

    def roll_back(self, tx: Transaction) -> None:
        """Roll a transaction back and give its connection up."""
        leased, tx.leased = tx.leased, None
        if leased is not None:
            self.give_back(leased)

    def withdraw(self, session: Session) -> None:
        """Forget what a caller who has gone still waits for."""
        run = self._waiting.get(session)
        if run is not None:
            run.withdraw()

    def settled(self, session: Session) -> None:
        """Note that a session's statement waits for nothing any more."""
        self._waiting.pop(session, None)

    def give_back(self, leased: Leased[SessionLink]) -> None:
        """Return a connection, first ending the transaction open on it."""
        link = leased.conn
        if not link.usable:
            self.pools.release(leased, healthy=False)
            return
        if link.state is SessionState.IDLE:
            self.pools.release(leased, healthy=True)
            return

        def ended(result: list[TargetReply] | LinkLost) -> None:
            good = not isinstance(result, LinkLost)
            clean = good and link.state is SessionState.IDLE
            self.pools.release(leased, healthy=clean)

        link.send([RollbackWork()], ROLLBACK_TIMEOUT, ended)

    def _counted(self, on: OnOutcome) -> OnOutcome:
        self.running += 1

        def done(outcome: SessionOutcome, position: Position | None) -> None:
            self.running -= 1
            on(outcome, position)

        return done


def change_patience(
    expected: float, *, now: float, deadline: float, usual: float
) -> tuple[float, float]:
    """Return until when to wait for a change, and when to come back.

    Example: a change that should end in 0.9 s; a statement that has 1 s left
    waits for it, one that has 0.8 s is refused at once, to come back in 0.9.
    """
    if now > expected + CHANGE_SLACK:
        # Overdue: nothing can be foreseen any more.
        return usual, CHANGE_RETRY_MS / 1000
    if expected + CHANGE_RESERVE < deadline:
        return min(deadline, expected + CHANGE_SLACK), 0.0
    return now, expected - now


def _order(job: Job, after: Position | None) -> Order:
    """Return the order that runs a job; one without any text commits."""
    if job.text is not None:
        return RunText(id=job.id, text=job.text, after=after)
    if job.shape is not None:
        return RunShape(
            id=job.id, shape=job.shape, arguments=job.arguments, after=after
        )
    return CommitWork(id=job.id)


def _served(
    reply: TargetReply, target: str, at_replica: bool = False
) -> Served:
    return Served(
        rows=reply.rows,
        signature=reply.signature,
        target=target,
        at_replica=at_replica,
    )


def _refused(reply: TargetReply) -> SessionOutcome:
    """Return what a target's refusal means to the caller."""
    match reply.refusal:
        case Refusal.BUSY:
            return Overloaded(
                reason=Reason.TARGET_SLOTS,
                retry_after_ms=BUSY_RETRY_MS,
                message=reply.message,
            )
        case Refusal.BEHIND:
            return NotRun(reason=Reason.STALE, retry_after_ms=BUSY_RETRY_MS)
        case Refusal.NOT_PRIMARY:
            return NotRun(
                reason=Reason.PRIMARY_CHANGED, retry_after_ms=CHANGE_RETRY_MS
            )
        case Refusal.UNKNOWN_SHAPE | Refusal.NOT_DONE:
            return NotRun(reason=Reason.TRANSACTION_LOST)
        case Refusal.FAILED:
            return Failed(reason=Reason.SQL, message=reply.message)
        case Refusal.TIMED_OUT:
            return Unknown(reason=Reason.DEADLINE, message=reply.message)
        case _:
            return Failed(reason=Reason.BAD_REQUEST, message=reply.message)


class _Step:
    """A later statement of a transaction, or its commit.

    It runs on the transaction's own connection and nowhere else.
    """

    def __init__(
        self,
        *,
        runner: StatementRunner,
        session: Session,
        job: Job,
        tx: Transaction,
        on: OnOutcome,
    ) -> None:
        assert tx.leased is not None
        self._runner = runner
        self._session = session
        self._job = job
        self._tx = tx
        self._on = on
        self._leased: Leased[SessionLink] = tx.leased
        self._commits = job.text is None and job.shape is None
        self._story = Story(session=session, job=job, transaction=True)
        self._sent_at = 0.0

    def start(self) -> None:
        """Get the connection's slot again."""
        self._runner.pools.resume(
            self._leased, self._deadline(), self._session.caller, self._ready
        )

    def _deadline(self) -> float:
        return self._job.received_at + self._job.route.time_limit

    def _left(self) -> float:
        return self._deadline() - self._runner.reactor.now()

    def _ready(
        self, leased: Leased[SessionLink] | NotRun | Overloaded
    ) -> None:
        if not isinstance(leased, Leased):
            self._drop()
            self._finish(leased, None)
            return
        link = leased.conn
        if not link.usable:
            self._lost(LinkLost())
            return
        orders = orders_before(
            link, self._session.values, self._job.shape, None
        )
        if self._commits or not orders:
            self._send()
            return
        link.send(orders, max(0.0, self._left()), self._prepared)

    def _prepared(self, result: list[TargetReply] | LinkLost) -> None:
        if isinstance(result, LinkLost):
            self._lost(result)
            return
        refused = [reply for reply in result if reply.refusal is not None]
        if refused:
            self._drop()
            self._finish(NotRun(reason=Reason.TRANSACTION_LOST), None)
            return
        self._send()

    def _send(self) -> None:
        runner, target = self._runner, self._leased.target.name
        view = runner.board.group(self._job.route.group).view(target)
        view.outstanding += 1
        self._sent_at = runner.reactor.now()
        self._story.sent(target, after=None, proof_age=None)
        if self._job.writes:
            # Also if its answer is lost: it may have written.
            self._tx.wrote = True

        def answered(result: list[TargetReply] | LinkLost) -> None:
            view.outstanding -= 1
            if isinstance(result, LinkLost):
                view.failed()
                self._lost(result)
            else:
                self._answered(result[0])

        self._leased.conn.send(
            [_order(self._job, None)], max(0.0, self._left()), answered
        )

    def _lost(self, lost: LinkLost) -> None:
        """Tell what is known once the connection has gone.

        The target rolls back whatever was open on it, so only a commit that
        was sent is in doubt.
        """
        sent = self._sent_at > 0
        self._drop()
        if self._commits and sent and self._tx.wrote:
            reason = Reason.DEADLINE if lost.silent else Reason.ANSWER_LOST
            self._finish(Unknown(reason=reason), None)
            return
        self._finish(NotRun(reason=Reason.TRANSACTION_LOST), None)

    def _answered(self, reply: TargetReply) -> None:
        runner, tx = self._runner, self._tx
        now = runner.reactor.now()
        target = self._leased.target.name
        group = runner.board.group(tx.route.group)
        _learn(group, target, reply, self._sent_at, now)
        if self._may_ask_again(reply):
            runner.reactor.call_later(BUSY_PAUSE, self._send_again)
            return
        if reply.refusal is not None:
            if reply.refusal is Refusal.NOT_PRIMARY:
                runner.doubt(group.name)
            if self._commits or reply.state is SessionState.IDLE:
                self._drop()
            self._finish(_refused(reply), reply.position)
            return
        outcome: SessionOutcome = _served(reply, target, tx.at_replica)
        if self._commits:
            self._drop()
            if tx.wrote and not group.stands(target, now):
                # Another primary may have been promoted before this commit
                # took effect at the old one; then it is lost.
                outcome = Unknown(reason=Reason.PRIMARY_CHANGED)
        else:
            runner.pools.park(self._leased)
        self._finish(outcome, reply.position)

    def _may_ask_again(self, reply: TargetReply) -> bool:
        """Tell whether a target without a slot is to be asked again.

        The transaction stands, and the statement surely has not run.
        """
        return (
            reply.refusal is Refusal.BUSY
            and reply.state is SessionState.OPEN
            and self._left() > BUSY_PAUSE
            and not self._session.ended
        )

    def _send_again(self) -> None:
        if self._session.ended or not self._leased.conn.usable:
            self._lost(LinkLost())
            return
        self._send()

    def _drop(self) -> None:
        self._runner.roll_back(self._tx)

    def _finish(
        self, outcome: SessionOutcome, position: Position | None
    ) -> None:
        self._runner.teller.tell(self._story, outcome)
        self._on(outcome, position)


class _Run:
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
        tx: Transaction | None,
        on: OnOutcome,
    ) -> None:
        self.runner = runner
        self.session = session
        self.job = job
        self.tx = tx
        self.commits = job.text is None and job.shape is None
        self.group: GroupView = runner.board.group(job.route.group)
        self.story = Story(
            session=session, job=job, transaction=tx is not None
        )
        self._on: OnOutcome | None = on
        self._excluded: set[str] = set()
        self._tries = 0
        self._live: set[_Try] = set()
        self._refusal: SessionOutcome | None = None
        self._timer: Timer | None = None
        self._hedge: Timer | None = None
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
        """Make the first try."""
        self.runner.budget.first_try()
        self.next_try()

    def withdraw(self) -> None:
        """Give up what has not been sent: nobody waits for the answer."""
        if any(each.sent for each in self._live):
            return
        for each in list(self._live):
            each.withdraw()
        self._finish(NotRun(reason=Reason.CALLER_GONE), None)

    def next_try(self) -> None:
        """Choose a target and try it, or wait, or give up."""
        if self.over:
            return
        now = self.runner.reactor.now()
        choice = choose(
            self.group,
            self.job.route,
            self._needs(),
            zone=self.runner.board.availability_zone,
            now=now,
        )
        match choice:
            case SendTo():
                self._tries += 1
                attempt = _Try(run=self, choice=choice)
                self._live.add(attempt)
                attempt.start()
            case NoTarget(reason=reason):
                self._wait_or_refuse(reason, now)

    def _needs(self) -> Needs:
        tx = self.tx
        at_primary = self.job.writes if tx is None else not tx.read_only
        return Needs(
            received_at=self.job.received_at,
            at_primary=at_primary,
            written=self.session.written,
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
        due = self.group.proof_due_at(now)
        if reason is Reason.PRIMARY_CHANGED and due is not None:
            # Refused here, those that have waited for the change would all
            # be lost in the last moment.
            return min(due, self.deadline), CHANGE_RETRY_MS / 1000
        expected = self.group.expected_at(self.runner.board.change_time)
        if reason is not Reason.NO_PRIMARY or expected is None:
            return self._patient_until, CHANGE_RETRY_MS / 1000
        return change_patience(
            expected,
            now=now,
            deadline=self.deadline,
            usual=self._patient_until,
        )

    # What becomes of a try.

    def start_hedge(self, after: float) -> None:
        """Try elsewhere too if a read has no answer after some seconds."""
        if self.tx is None and not self.job.writes and self._hedge is None:
            self._hedge = self.runner.reactor.call_later(after, self._hedged)

    def _hedged(self) -> None:
        self._hedge = None
        if self.over or self._tries >= MAX_TRIES:
            return
        if self.runner.budget.may_retry():
            self.story.hedged = True
            self._excluded.update(each.target for each in self._live)
            self.next_try()

    def served(
        self, attempt: _Try, outcome: SessionOutcome, position: Position | None
    ) -> None:
        """Take the answer; later ones of other tries are dropped."""
        self._live.discard(attempt)
        self._finish(outcome, position)

    def failed(
        self,
        attempt: _Try,
        outcome: SessionOutcome,
        *,
        again: bool,
        free: bool = False,
    ) -> None:
        """Take that a try came to nothing; `again` if another may be made.

        A further try is paid for from the retry budget unless it is `free`:
        one that was refused before it cost the target anything.
        """
        self._live.discard(attempt)
        if self.over or self._live:
            return
        self._refusal = outcome
        self._excluded.add(attempt.target)
        over = self._tries >= (URGENT_TRIES if self.urgent else MAX_TRIES)
        if not again or over or self.left() <= 0:
            self._finish(outcome, None)
        elif free or self.runner.budget.may_retry():
            self.next_try()
        else:
            self._finish(outcome, None)

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
        self.runner.settled(self.session)
        self.runner.teller.tell(self.story, outcome)
        on(outcome, position)


@dataclass(slots=True, kw_only=True, eq=False)
class _Try:
    """One try of a run at one target."""

    run: _Run
    choice: SendTo
    sent: bool = False
    sent_at: float = 0.0
    leased: Leased[SessionLink] | None = None
    asked: Asked | None = None

    @property
    def target(self) -> str:
        """Return the name of the target."""
        return self.choice.news.target.name

    def start(self) -> None:
        """Ask for a connection."""
        run = self.run
        job, values = run.job, run.session.values
        tx_writes = run.tx is not None and not run.tx.read_only
        self.asked = run.runner.pools.acquire(
            self.choice.news.target,
            run.deadline,
            run.session.caller,
            self._ready,
            writes=job.writes or tx_writes,
            urgency=job.route.urgency,
            merit=lambda link: link_merit(link, values, job.shape),
        )

    def withdraw(self) -> None:
        """Leave the queue, if that is where the try still is."""
        if self.asked is not None and self.leased is None:
            self.asked.withdraw()

    def _ready(
        self, leased: Leased[SessionLink] | NotRun | Overloaded
    ) -> None:
        run = self.run
        if not isinstance(leased, Leased):
            run.failed(self, leased, again=True, free=True)
            return
        self.leased = leased
        if run.over:
            run.runner.give_back(leased)
            return
        begin = None
        if run.tx is not None:
            begin = BeginWork(
                read_only=run.tx.read_only, after=self.choice.after
            )
        orders = orders_before(
            leased.conn, run.session.values, run.job.shape, begin
        )
        if not orders:
            self._send()
            return
        # The statement waits for the answers: if a transaction could not be
        # opened, what was sent behind it would run outside of one.
        leased.conn.send(orders, max(0.0, run.left()), self._prepared)

    def _prepared(self, result: list[TargetReply] | LinkLost) -> None:
        assert self.leased is not None
        run = self.run
        if isinstance(result, LinkLost):
            self._link_lost()
            refusal = NotRun(reason=Reason.TARGET_UNREACHABLE)
            run.failed(self, refusal, again=True)
            return
        refused = [reply for reply in result if reply.refusal is not None]
        if refused:
            self._refused(refused[0])
        elif run.over:
            run.runner.give_back(self.leased)
        else:
            self._send()

    def _send(self) -> None:
        assert self.leased is not None
        run = self.run
        runner, job = run.runner, run.job
        view = run.group.view(self.target)
        now = self.sent_at = runner.reactor.now()
        if self._needs_proof() and not run.group.proof.covers(now):
            # Waited for a connection for longer than the proof held.
            run.runner.give_back(self.leased)
            refusal = NotRun(
                reason=Reason.PRIMARY_CHANGED, retry_after_ms=CHANGE_RETRY_MS
            )
            run.failed(self, refusal, again=True, free=True)
            return
        self.sent = True
        view.outstanding += 1
        after = self.choice.after if run.tx is None else None
        run.story.sent(
            self.target,
            after=self.choice.after,
            proof_age=now - run.group.proof.asked_at,
        )
        if run.tx is not None:
            run.tx.wrote = run.tx.wrote or job.writes

        def answered(result: list[TargetReply] | LinkLost) -> None:
            view.outstanding -= 1
            if isinstance(result, LinkLost):
                view.failed()
                self._lost(result)
            else:
                self._answered(result[0])

        self.leased.conn.send(
            [_order(job, after)], max(0.0, run.left()), answered
        )
        run.start_hedge(max(SHORTEST_HEDGE, HEDGE_TIMES * view.latency))

    def _needs_proof(self) -> bool:
        """Tell whether this must run at the primary of this moment."""
        return self.choice.after is None and not self.choice.at_replica

    def _lost(self, lost: LinkLost) -> None:
        run = self.run
        self._link_lost()
        reason = Reason.DEADLINE if lost.silent else Reason.ANSWER_LOST
        if run.tx is not None:
            # Rolled back with its connection; a commit that is the first
            # statement has nothing to commit.
            run.tx.wrote = False
            refusal = NotRun(reason=Reason.TRANSACTION_LOST)
            run.failed(self, refusal, again=not lost.silent)
            return
        run.failed(self, Unknown(reason=reason), again=not run.job.writes)

    def _link_lost(self) -> None:
        assert self.leased is not None
        self.run.runner.pools.release(self.leased, healthy=False)

    def _answered(self, reply: TargetReply) -> None:
        assert self.leased is not None
        run = self.run
        now = run.runner.reactor.now()
        _learn(run.group, self.target, reply, self.sent_at, now)
        if reply.refusal is not None:
            self._refused(reply)
            return
        if run.over:
            run.runner.give_back(self.leased)
            return
        self._keep_or_release()
        outcome: SessionOutcome = _served(
            reply, self.target, self.choice.at_replica
        )
        if run.job.writes and run.tx is None:
            if not run.group.stands(self.target, now):
                outcome = Unknown(reason=Reason.PRIMARY_CHANGED)
        run.served(self, outcome, reply.position)

    def _keep_or_release(self) -> None:
        assert self.leased is not None
        run = self.run
        if run.tx is None or run.commits:
            run.runner.give_back(self.leased)
            return
        run.tx.leased = self.leased
        run.tx.at_replica = self.choice.at_replica
        run.runner.pools.park(self.leased)

    def _refused(self, reply: TargetReply) -> None:
        """Judge a refusal of the statement, or of what came before it."""
        assert self.leased is not None and reply.refusal is not None
        run = self.run
        refusal = reply.refusal
        view = run.group.view(self.target)
        if refusal is Refusal.BEHIND:
            view.behind_until = run.runner.reactor.now() + BEHIND_PAUSE
        elif refusal is Refusal.NOT_PRIMARY:
            run.runner.doubt(run.group.name)
        elif refusal is Refusal.UNKNOWN_SHAPE:
            self.leased.conn.shapes.clear()
        elif not refusal.promises_nothing_ran:
            view.failed()
        run.runner.give_back(self.leased)
        read_only = not run.job.writes
        again = refusal.promises_nothing_ran or (
            read_only and refusal is not Refusal.OTHER
        )
        if run.tx is not None and again:
            run.tx.wrote = False
        cheap = refusal in (Refusal.BEHIND, Refusal.UNKNOWN_SHAPE)
        if refusal is Refusal.BUSY and run.urgent:
            cheap = True
        run.failed(self, _refused(reply), again=again, free=cheap)


# A replica that lacked a position is not asked for more than it has shown for
# this many seconds: about what replicas usually lag.
BEHIND_PAUSE = 0.1


def _learn(
    group: GroupView,
    target: str,
    reply: TargetReply,
    sent_at: float,
    now: float,
) -> None:
    """Take from a reply what it shows of its target and of the group."""
    group.view(target).answered(now - sent_at, now)
    if reply.position is not None:
        group.learn(target, reply.position, sent_at, now)
