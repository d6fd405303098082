"""Statement connections to targets, within this holder's share.

A statement that asks for a connection first needs a slot, see
`bamboospring.admission`, and then an open connection or a new one.
`bamboospring.connections` decides when connections are opened, checked and
closed.

An open transaction keeps its connection, but holds a slot only while one of
its statements runs. Writes need a second admission, which limits open
transactions and running writes together to the number of slots. Otherwise
writes that wait for a lock of an open transaction would take all slots, and
the transaction could never get one to commit.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Generic

from bamboospring.admission import Admission
from bamboospring.admission import SlotDecision
from bamboospring.admission import SlotGranted
from bamboospring.admission import SlotQueued
from bamboospring.admission import SlotRefused
from bamboospring.admission import Ticket
from bamboospring.blackboard import Target
from bamboospring.breaker import Breaker
from bamboospring.breaker import BreakerTiming
from bamboospring.concurrency_limit import ConcurrencyLimit
from bamboospring.connections import ConnectionTiming
from bamboospring.connections import ConnectionTracker
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.shares import TargetCapacity
from bamboospring.target_link import Dialer
from bamboospring.target_link import Health
from bamboospring.target_link import LinkT
from bamboospring.target_link import Opened
from bamboospring.target_link import OpenFailed

__all__ = [
    "PendingAcquire",
    "LeasedConnection",
    "DialerFactory",
    "LinkScore",
    "OnReady",
    "Pool",
    "PoolCounters",
    "PoolTiming",
]

CONNECT_TIMEOUT = 1.0
# Seconds after which all connections of the share may be used again once the
# target has refused a connection because it was at its limit.
CONNECTION_LIMIT_RESET_AFTER = 5.0
RETRY_SOON_MS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolTiming:
    """Durations of all pools, in seconds."""

    tick_interval: float = 0.25
    connect_timeout: float = CONNECT_TIMEOUT
    connections: ConnectionTiming = field(default_factory=ConnectionTiming)
    breaker: BreakerTiming = field(default_factory=BreakerTiming)


@dataclass(slots=True, kw_only=True)
class PoolCounters:
    """Event counts of a pool, for reports and tests."""

    opened: int = 0
    failed: int = 0
    dead: int = 0
    full: int = 0
    refused: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class LeasedConnection(Generic[LinkT]):
    """A connection that is leased to one statement.

    `slot_ticket` and `write_ticket` are the tickets that it holds.
    `last_response_at` is when data last arrived on it, `connection_id` its id
    at the target, and `team` the team that it was opened for.
    A user that gets no answer in time sets `unresponsive` before it releases
    the connection. `is_overdue` means that the statement has given back its
    slot while it waits for its response.
    """

    target: Target
    conn: LinkT
    last_response_at: float = 0.0
    last_used_at: float = 0.0
    leased_at: float = 0.0
    slot_ticket: Ticket | None = None
    write_ticket: Ticket | None = None
    unresponsive: bool = False
    is_overdue: bool = False
    connection_id: int = 0
    team: str = ""


OnReady = Callable[[LeasedConnection[LinkT] | NotRun | Overloaded], None]
# Rates how well a connection suits a statement; the highest score wins.
LinkScore = Callable[[LinkT], int]


DialerFactory = Callable[[Target, Callable[[list[int]], None]], Dialer[LinkT]]


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingAcquire:
    """A request for a connection; `cancel` removes it while it waits."""

    cancel: Callable[[], None]


@dataclass(slots=True, kw_only=True, eq=False)
class _AcquireRequest(Generic[LinkT]):
    """A statement's request for a slot and a connection."""

    caller: str
    deadline: float
    on_ready: OnReady[LinkT]
    team: str = ""
    urgency: int = 0
    objective_at: float | None = None
    score: LinkScore[LinkT] | None = None
    write_ticket: Ticket | None = None
    slot_ticket: Ticket | None = None
    queued_ticket: Ticket | None = None
    leased: LeasedConnection[LinkT] | None = None
    timer: Timer | None = None


class Pool(Generic[LinkT]):
    """The connections of one holder to one target."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        target: Target,
        make_dialer: DialerFactory[LinkT],
        queue_limit: int,
        timing: PoolTiming,
        random_float: Callable[[], float],
    ) -> None:
        self.target = target
        self.counters = PoolCounters()
        self.breaker = Breaker(timing=timing.breaker)
        # Start of the first opening or statement since the target's last
        # response, even if it has been given up since; None if there is none.
        self.unanswered_since: float | None = None
        # Start of the period in which the address refuses connections, as no
        # process listens there; None if the last opening was not refused.
        self.refused_since: float | None = None
        self._reactor = reactor
        self._timing = timing
        self._random_float = random_float
        self._dialer = make_dialer(target, self._on_terminated)
        self._share = TargetCapacity()
        self._slot_limit = ConcurrencyLimit(maximum=1)
        self._connection_limit = ConcurrencyLimit(
            maximum=1, reset_after=CONNECTION_LIMIT_RESET_AFTER
        )
        self._slot_admission = Admission(slots=0, queue_limit=queue_limit)
        self._write_admission = Admission(slots=0, queue_limit=queue_limit)
        self._tracker = ConnectionTracker[LeasedConnection[LinkT]](
            timing=timing.connections
        )
        self._waiting_for_connection: deque[_AcquireRequest[LinkT]] = deque()
        self._opening_for: Counter[str] = Counter()
        self._leased: set[LeasedConnection[LinkT]] = set()
        self._pinned: set[LeasedConnection[LinkT]] = set()
        self._open_timer: Timer | None = None
        self._unconfirmed_closed: set[int] = set()

    @property
    def used(self) -> TargetCapacity:
        """Return the slots and connections of the target in use.

        At least one slot counts as used while a transaction is open, so that
        its next statement gets a slot even after the share has been given up.
        """
        slots = self._slot_admission.running
        if self._pinned and self._slot_admission.slots > 0:
            slots = max(1, slots)
        return TargetCapacity(slots=slots, connections=self._tracker.total)

    @property
    def share(self) -> TargetCapacity:
        """Return the share of the target's limits."""
        return self._share

    @property
    def connection_limit(self) -> int:
        """Return the number of connections that may be open at present."""
        return self._tracker.limit

    @property
    def waiting(self) -> int:
        """Return the number of statements that wait for a slot."""
        return self._slot_admission.waiting + self._write_admission.waiting

    def is_more_urgent_waiting(self, urgency: int) -> bool:
        """Return whether a more urgent statement waits for a slot."""
        return self._slot_admission.is_more_urgent_waiting(urgency)

    def set_share(self, share: TargetCapacity) -> None:
        """Apply a new share; close idle connections beyond it at once."""
        self._share = share
        self._slot_limit.set_maximum(max(1, share.slots))
        self._connection_limit.set_maximum(max(1, share.connections))
        self._apply_slot_limit()
        self._apply_connection_limit()
        self._serve_waiting()

    def set_idle_limits(self, seconds: float, *, max_kept: int) -> None:
        """Set the idle timeout, and for how many connections it applies.

        The other idle connections are closed after the timing's
        `spare_idle_timeout`.
        """
        self._tracker.idle_timeout = seconds
        self._tracker.max_kept_idle = max_kept

    def acquire(
        self,
        caller: str,
        deadline: float,
        on_ready: OnReady[LinkT],
        *,
        is_write: bool,
        team: str = "",
        urgency: int = 0,
        objective_at: float | None = None,
        score: LinkScore[LinkT] | None = None,
    ) -> PendingAcquire:
        """Call back with a connection or with the reason for a refusal."""
        request = _AcquireRequest[LinkT](
            caller=caller,
            deadline=deadline,
            on_ready=on_ready,
            team=team,
            urgency=urgency,
            objective_at=objective_at,
            score=score,
        )
        refusal = self._refusal()
        if refusal is not None:
            self.counters.refused += 1
            on_ready(refusal)
        elif is_write:
            self._submit(self._write_admission, request)
        else:
            self._submit(self._slot_admission, request)
        return PendingAcquire(cancel=lambda: self._cancel(request))

    def release(
        self, leased: LeasedConnection[LinkT], *, healthy: bool
    ) -> None:
        """Return a connection; one that is not healthy is closed."""
        if leased not in self._leased:
            return
        now = self._reactor.now()
        self._leased.discard(leased)
        self._pinned.discard(leased)
        self._free_slot(leased, now)
        if healthy:
            self._record_response(now)
        self._free_write_ticket(leased, now)
        if healthy and leased.conn.usable:
            leased.last_response_at = leased.last_used_at = now
            keep = self._tracker.give_back(leased)
            if not keep:
                leased.conn.close()
        else:
            # A statement can be slow at a healthy target, so only a heartbeat
            # without an answer counts the connection as unresponsive.
            self._tracker.record_lost()
            self._terminate(leased)
        if leased.unresponsive:
            self._check_all_idle()
        self._apply_slot_limit()
        self._serve_waiting()

    def record_slot_result(self, *, found: bool) -> None:
        """Record whether the target had a free slot for a statement.

        A process that shares the target with others and queues statements of
        many callers calls this. The number of statements in flight then
        adapts to the slots that are free.
        """
        if found:
            self._slot_limit.record_success()
        else:
            self._slot_limit.record_refusal(self._reactor.now())
        self._apply_slot_limit()

    def release_slot(self, leased: LeasedConnection[LinkT]) -> None:
        """Release the slot of a transaction but keep its connection."""
        now = self._reactor.now()
        self._pinned.add(leased)
        self._free_slot(leased, now)
        self._record_response(now)
        self._serve_waiting()

    def release_overdue_slot(
        self, leased: LeasedConnection[LinkT], *, in_transaction: bool
    ) -> None:
        """Release the slot of a statement without a response, so others run.

        The target itself refuses what it has no slot for. The connection stays
        leased, and the estimates of usual durations are unchanged. An open
        transaction keeps its admission as a writer.
        """
        leased.is_overdue = True
        now = self._reactor.now()
        if leased.slot_ticket is not None:
            self._slot_admission.release_overdue(leased.slot_ticket, now)
            leased.slot_ticket = None
        if not in_transaction:
            self._free_write_ticket(leased, now)
        self._serve_waiting()

    def reacquire_slot(
        self,
        leased: LeasedConnection[LinkT],
        caller: str,
        deadline: float,
        on_ready: OnReady[LinkT],
        *,
        objective_at: float | None = None,
        at_once: bool = False,
    ) -> None:
        """Acquire a slot for the next statement of a transaction.

        With `at_once` it gets one beyond the limit instead of waiting. Others
        may wait for locks of this transaction and occupy all slots meanwhile.
        """
        request = _AcquireRequest[LinkT](
            caller=caller,
            deadline=deadline,
            on_ready=on_ready,
            objective_at=objective_at,
            leased=leased,
        )
        if not at_once:
            self._submit(self._slot_admission, request)
            return
        ticket = Ticket(caller=caller, deadline=deadline, item=request)
        self._apply_decisions(
            self._slot_admission.start_at_once(ticket), self._slot_admission
        )

    def tick(self) -> None:
        """Check idle connections and refuse expired requests.

        To be called a few times a second.
        """
        now = self._reactor.now()
        self._apply_slot_limit()
        self._apply_connection_limit()
        self._apply_decisions(
            self._write_admission.expire(now), self._write_admission
        )
        self._apply_decisions(
            self._slot_admission.expire(now), self._slot_admission
        )
        self._check_idle()
        self._serve_waiting()

    def close_all(self) -> None:
        """Close every connection, including those in use."""
        for leased in self._tracker.take_all_idle():
            leased.conn.close()
        for leased in list(self._leased):
            leased.conn.close()

    def _terminate(self, leased: LeasedConnection[LinkT]) -> None:
        """Close a connection here and have the target end it as well."""
        leased.conn.close()
        self._dialer.end(leased.connection_id)

    def _on_terminated(self, connection_ids: list[int]) -> None:
        closed = self._unconfirmed_closed.intersection(connection_ids)
        self._unconfirmed_closed -= closed
        self._tracker.record_target_closed(len(closed))
        self._serve_waiting()

    # Slots.

    def _apply_slot_limit(self) -> None:
        now = self._reactor.now()
        slots = self.breaker.allowed_slots(self._share.slots, now)
        slots = min(slots, self._slot_limit.allowed(now))
        if self._pinned:
            slots = max(1, slots)
        self._slot_admission.slots = slots
        self._write_admission.slots = max(1, slots) if slots else 0

    def _apply_connection_limit(self) -> None:
        """Lower the connection limit after refusals by the target.

        The limit is never below the number of slots, so only idle
        connections are given up.
        """
        share, now = self._share, self._reactor.now()
        limit = max(share.slots, self._connection_limit.allowed(now))
        limit = min(limit, share.connections)
        for leased in self._tracker.set_limit(limit):
            leased.conn.close()

    def _refusal(self) -> NotRun | None:
        if self._share.slots <= 0 or self._share.connections <= 0:
            # All of this target's limits belong to other holders.
            return NotRun(
                reason=Reason.NOT_HOLDER, retry_after_ms=RETRY_SOON_MS
            )
        now = self._reactor.now()
        is_open = not self.breaker.should_wait_for_open(now)
        if is_open and self._tracker.total == 0:
            return self._unreachable(now)
        return None

    def _unreachable(self, now: float) -> NotRun:
        remaining = max(0.0, self.breaker.retry_at - now)
        return NotRun(
            reason=Reason.TARGET_UNREACHABLE,
            retry_after_ms=max(RETRY_SOON_MS, int(remaining * 1000)),
        )

    def _submit(
        self, admission: Admission, request: _AcquireRequest[LinkT]
    ) -> None:
        ticket = Ticket(
            caller=request.caller,
            deadline=request.deadline,
            urgency=request.urgency,
            objective_at=request.objective_at,
            item=request,
        )
        request.queued_ticket = ticket
        now = self._reactor.now()
        self._apply_decisions(admission.submit(ticket, now), admission)

    def _apply_decisions(
        self, decisions: list[SlotDecision], admission: Admission
    ) -> None:
        for decision in decisions:
            request: _AcquireRequest[LinkT] = decision.ticket.item
            match decision:
                case SlotGranted(ticket=ticket):
                    self._stop_timer(request)
                    self._on_slot_granted(request, ticket, admission)
                case SlotQueued(ticket=ticket):
                    self._start_timer(request, ticket, admission)
                case SlotRefused(outcome=outcome):
                    self._stop_timer(request)
                    self._release_write_ticket(request)
                    self.counters.refused += 1
                    request.on_ready(outcome)

    def _on_slot_granted(
        self,
        request: _AcquireRequest[LinkT],
        ticket: Ticket,
        admission: Admission,
    ) -> None:
        if admission is self._write_admission:
            request.write_ticket = ticket
            self._submit(self._slot_admission, request)
        elif request.leased is not None:
            request.slot_ticket = ticket
            self._hand_over(request, request.leased)
        else:
            request.slot_ticket = ticket
            self._waiting_for_connection.append(request)
            self._assign_connections()
            # Most requests get an idle connection immediately. A timer is
            # needed only for those that still wait.
            if (
                self._waiting_for_connection
                and request in self._waiting_for_connection
            ):
                remaining = request.deadline - self._reactor.now()
                request.timer = self._reactor.call_later(
                    max(0.0, remaining),
                    lambda: self._on_connection_timeout(request),
                )

    def _cancel(self, request: _AcquireRequest[LinkT]) -> None:
        """Remove a request whose caller has gone from any queue."""
        self._stop_timer(request)
        if request in self._waiting_for_connection:
            self._waiting_for_connection.remove(request)
            self._release_tickets(request)
            self._serve_waiting()
            return
        ticket = request.queued_ticket
        for admission in (self._write_admission, self._slot_admission):
            if ticket is not None and admission.is_queued(ticket):
                admission.cancel(ticket)
                self._release_write_ticket(request)

    def _start_timer(
        self,
        request: _AcquireRequest[LinkT],
        ticket: Ticket,
        admission: Admission,
    ) -> None:
        def on_timeout() -> None:
            self._apply_decisions(
                admission.expire(self._reactor.now()), admission
            )

        remaining = request.deadline - self._reactor.now()
        request.timer = self._reactor.call_later(
            max(0.0, remaining), on_timeout
        )

    def _stop_timer(self, request: _AcquireRequest[LinkT]) -> None:
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None

    def _free_slot(self, leased: LeasedConnection[LinkT], now: float) -> None:
        if leased.slot_ticket is not None:
            admission = self._slot_admission
            seconds = self._counted_duration(leased, admission, now)
            admission.release(leased.slot_ticket, seconds)
            leased.slot_ticket = None

    def _free_write_ticket(
        self, leased: LeasedConnection[LinkT], now: float
    ) -> None:
        if leased.write_ticket is not None:
            admission = self._write_admission
            seconds = self._counted_duration(leased, admission, now)
            admission.release(leased.write_ticket, seconds)
            leased.write_ticket = None

    @staticmethod
    def _counted_duration(
        leased: LeasedConnection[LinkT], admission: Admission, now: float
    ) -> float:
        """Return the duration that enters the admission's estimate."""
        if leased.is_overdue:
            return admission.estimate
        return now - leased.leased_at

    def _release_write_ticket(self, request: _AcquireRequest[LinkT]) -> None:
        if request.write_ticket is not None:
            self._write_admission.release(
                request.write_ticket, self._write_admission.estimate
            )
            request.write_ticket = None

    def _serve_waiting(self) -> None:
        if self.waiting:
            now = self._reactor.now()
            self._apply_decisions(
                self._write_admission.grant_next(now), self._write_admission
            )
            self._apply_decisions(
                self._slot_admission.grant_next(now), self._slot_admission
            )
        if self._waiting_for_connection:
            self._assign_connections()

    # Connections.

    def _assign_connections(self) -> None:
        """Assign idle connections to waiting requests; open new ones."""
        now = self._reactor.now()
        for request in list(self._waiting_for_connection):
            # A callback of the previous hand-over may have served this one.
            if request not in self._waiting_for_connection:
                continue
            leased = self._take_idle(request, now)
            if leased is not None:
                self._waiting_for_connection.remove(request)
                self._hand_over(request, leased)
        if self._waiting_for_connection:
            self._check_idle()
            self._open_or_wait(now)

    def _take_idle(
        self, request: _AcquireRequest[LinkT], now: float
    ) -> LeasedConnection[LinkT] | None:
        """Return an idle connection of the request's team, if any."""
        score = request.score
        while True:
            leased = self._tracker.lease_idle(
                now, request.team, score and _score_of_leased(score)
            )
            if leased is None or leased.conn.usable:
                return leased
            self._tracker.record_lost()

    def _on_connection_timeout(self, request: _AcquireRequest[LinkT]) -> None:
        request.timer = None
        if request in self._waiting_for_connection:
            self._waiting_for_connection.remove(request)
            self._release_tickets(request)
            request.on_ready(
                NotRun(reason=Reason.DEADLINE, retry_after_ms=RETRY_SOON_MS)
            )
            self._serve_waiting()

    def _release_tickets(self, request: _AcquireRequest[LinkT]) -> None:
        if request.slot_ticket is not None:
            self._slot_admission.release(
                request.slot_ticket, self._slot_admission.estimate
            )
            request.slot_ticket = None
        self._release_write_ticket(request)

    def _hand_over(
        self, request: _AcquireRequest[LinkT], leased: LeasedConnection[LinkT]
    ) -> None:
        self._stop_timer(request)
        leased.slot_ticket = request.slot_ticket
        if request.write_ticket is not None:
            leased.write_ticket = request.write_ticket
        leased.leased_at = self._reactor.now()
        leased.is_overdue = False
        self._leased.add(leased)
        self._record_sent(leased.leased_at)
        request.on_ready(leased)

    def _open_or_wait(self, now: float) -> None:
        teams = self._teams_without_connection()
        self._close_idle_of_other_teams(teams, now)
        missing = len(teams) + self._tracker.opening
        delay = self._tracker.open_delay(now, missing)
        if delay is None:
            return
        if delay > 0:
            if self._open_timer is None:
                self._open_timer = self._reactor.call_later(
                    delay, self._open_due
                )
        elif self.breaker.allow_open(now):
            self._tracker.record_opening(now, draw=self._random_float())
            self._record_sent(now)
            self._open(teams[0])
            self._open_or_wait(now)
        elif self._tracker.opening == 0:
            self._refuse_if_unconnected(now)

    def _teams_without_connection(self) -> list[str]:
        """Return the team of each request that has no connection opening."""
        opening = Counter(self._opening_for)
        teams = []
        for request in self._waiting_for_connection:
            if opening[request.team] > 0:
                opening[request.team] -= 1
            else:
                teams.append(request.team)
        return teams

    def _close_idle_of_other_teams(self, teams: list[str], now: float) -> None:
        """Close another team's idle connection if no more may be opened.

        Otherwise a team would wait until that connection's idle timeout.
        """
        tracker = self._tracker
        at_limit = tracker.total >= tracker.limit
        if not teams or not (at_limit or tracker.is_scarce(now)):
            return
        leased = tracker.take_oldest_idle(teams)
        if leased is not None:
            leased.conn.close()

    def _open_due(self) -> None:
        self._open_timer = None
        self._assign_connections()

    def _open(self, team: str) -> None:
        self._opening_for[team] += 1

        def on_complete(result: Opened[LinkT] | OpenFailed) -> None:
            self._opening_for.subtract([team])
            # The unary plus drops teams whose count is zero.
            self._opening_for = +self._opening_for
            match result:
                case Opened():
                    self._on_opened(result.link, result.connection_id, team)
                case OpenFailed(full=True):
                    self._on_target_full()
                case OpenFailed():
                    self._on_open_failed(refused=result.refused)

        self._dialer.open(team, self._timing.connect_timeout, on_complete)

    def _on_target_full(self) -> None:
        """Handle an opening that the target refused because of its limit.

        The target is healthy, so the circuit stays closed. Other holders need
        its connections too, so for a while idle connections of this pool are
        closed earlier. If the pool has no open connection, the waiting
        requests are refused: another target may have room, or another VM may
        have a connection.
        """
        now = self._reactor.now()
        self.counters.full += 1
        self.breaker.record_success(now)
        self._tracker.record_open_failed()
        self._record_response(now)
        teams = {request.team for request in self._waiting_for_connection}
        replaced = self._tracker.take_oldest_idle(teams)
        self._tracker.record_target_full(now, replacing=replaced is not None)
        self._connection_limit.record_refusal(now)
        self._apply_connection_limit()
        if replaced is not None:
            replaced.conn.close()
        elif self._tracker.open == 0:
            self._refuse_waiting(
                Overloaded(
                    reason=Reason.TARGET_CONNECTIONS,
                    retry_after_ms=RETRY_SOON_MS,
                )
            )
        self._serve_waiting()

    def _on_opened(self, conn: LinkT, connection_id: int, team: str) -> None:
        now = self._reactor.now()
        self.counters.opened += 1
        self._record_response(now)
        self.refused_since = None
        self.breaker.record_success(now)
        leased = LeasedConnection(
            target=self.target,
            conn=conn,
            last_response_at=now,
            last_used_at=now,
            connection_id=connection_id,
            team=team,
        )
        if not self._tracker.add_opened(leased):
            conn.close()
        self._apply_slot_limit()
        self._serve_waiting()

    def _on_open_failed(self, *, refused: bool) -> None:
        now = self._reactor.now()
        if not refused:
            self.refused_since = None
        elif self.refused_since is None:
            self.refused_since = now
        self.counters.failed += 1
        self._tracker.record_open_failed()
        self.breaker.record_failure(now, draw=self._random_float())
        if self._tracker.opening == 0:
            self._refuse_if_unconnected(now)
        self._serve_waiting()

    def _refuse_if_unconnected(self, now: float) -> None:
        """Refuse waiting requests if the pool has no connection at all."""
        if self._tracker.total == 0:
            self._refuse_waiting(self._unreachable(now))

    def _refuse_waiting(self, refusal: NotRun | Overloaded) -> None:
        requests, self._waiting_for_connection = (
            self._waiting_for_connection,
            deque(),
        )
        for request in requests:
            self._stop_timer(request)
            self._release_tickets(request)
        for request in requests:
            request.on_ready(refusal)

    # Responses of the target.

    def _record_sent(self, now: float) -> None:
        if self.unanswered_since is None:
            self.unanswered_since = now

    def _record_response(self, now: float) -> None:
        is_waiting = self._tracker.opening > 0 or any(
            leased.slot_ticket is not None for leased in self._leased
        )
        self.unanswered_since = now if is_waiting else None

    # Heartbeats.

    def _check_all_idle(self) -> None:
        # A middlebox that has dropped the state of one connection has often
        # dropped that of many. Checking the idle ones immediately costs one
        # short exchange each and no slot, whereas a statement sent on a dead
        # connection waits until its deadline.
        self._tracker.require_idle_checks()
        self._check_idle()

    def _check_idle(self) -> None:
        now = self._reactor.now()
        for leased in self._tracker.take_expired(now):
            leased.conn.close()
        for leased in self._tracker.take_due_for_check(now):
            self._check(leased)

    def _check(self, leased: LeasedConnection[LinkT]) -> None:
        if not leased.conn.usable:
            self._tracker.record_lost()
            leased.conn.close()
            return
        timeout = self._timing.connections.heartbeat_timeout

        def on_complete(health: Health) -> None:
            if health is Health.ALIVE:
                leased.last_response_at = self._reactor.now()
                self._record_response(leased.last_response_at)
                if not self._tracker.give_back(leased):
                    leased.conn.close()
            else:
                self._on_dead_connection(
                    leased, unresponsive=health is Health.SILENT
                )
            self._assign_connections()

        self._dialer.check(leased.conn, timeout, on_complete)

    def _on_dead_connection(
        self, leased: LeasedConnection[LinkT], *, unresponsive: bool
    ) -> None:
        self.counters.dead += 1
        now = self._reactor.now()
        self._tracker.record_lost(
            unresponsive_at=now if unresponsive else None
        )
        if unresponsive:
            self._unconfirmed_closed.add(leased.connection_id)
        self._terminate(leased)
        if unresponsive:
            self._check_all_idle()


def _score_of_leased(
    score: LinkScore[LinkT],
) -> Callable[[LeasedConnection[LinkT]], int]:
    return lambda leased: score(leased.conn)
