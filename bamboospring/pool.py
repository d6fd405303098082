"""Statement connections to targets, within this holder's share.

A statement that asks for a connection first needs a slot, see
`bamboospring.admission`, then gets an open connection or waits for a new one.
How connections are opened, checked and closed is decided in
`bamboospring.connections`.

An open transaction keeps its connection, and its slot only while one of its
statements runs. Writes pass one more gate: open transactions and running
writes together are no more than the slots. Otherwise writes that wait for a
lock of an open transaction would fill all slots, and the transaction could
never get one to commit.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Generic

from bamboospring.admission import Admission
from bamboospring.admission import SlotGranted
from bamboospring.admission import SlotQueued
from bamboospring.admission import SlotRefused
from bamboospring.admission import Ticket
from bamboospring.admission import Verdict
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
# Seconds without a refusal for want of a place after which all connections of
# the share may be used again.
PLACES_FORGOTTEN_AFTER = 5.0
RETRY_SOON_MS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolTiming:
    """Times of all pools, in seconds."""

    tick_interval: float = 0.25
    connect_timeout: float = CONNECT_TIMEOUT
    connections: ConnectionTiming = field(default_factory=ConnectionTiming)
    breaker: BreakerTiming = field(default_factory=BreakerTiming)


@dataclass(slots=True, kw_only=True)
class PoolCounters:
    """What a pool has done, for reports and tests."""

    opened: int = 0
    failed: int = 0
    dead: int = 0
    full: int = 0
    refused: int = 0


@dataclass(slots=True, kw_only=True, eq=False)
class LeasedConnection(Generic[LinkT]):
    """A statement connection in the hands of one statement.

    `slot` and `gate` are the tickets that it holds, `heard_at` is when the
    connection was last seen alive, `number` is what the target calls it, and
    `team` whom it was opened for.
    Whoever gets no answer in time sets `silent` before the connection is
    given back.
    """

    target: Target
    conn: LinkT
    last_response_at: float = 0.0
    last_used_at: float = 0.0
    leased_at: float = 0.0
    slot: Ticket | None = None
    gate: Ticket | None = None
    unresponsive: bool = False
    connection_id: int = 0
    team: str = ""


OnReady = Callable[[LeasedConnection[LinkT] | NotRun | Overloaded], None]
# How well a connection suits a statement; the highest is taken.
LinkScore = Callable[[LinkT], int]


DialerFactory = Callable[[Target, Callable[[list[int]], None]], Dialer[LinkT]]


@dataclass(frozen=True, slots=True, kw_only=True)
class PendingAcquire:
    """What was asked of a pool; `withdraw` forgets it while it waits."""

    cancel: Callable[[], None]


@dataclass(slots=True, kw_only=True, eq=False)
class _Asking(Generic[LinkT]):
    """A statement on its way to a connection."""

    caller: str
    deadline: float
    on_ready: OnReady[LinkT]
    team: str = ""
    urgency: int = 0
    merit: LinkScore[LinkT] | None = None
    gate: Ticket | None = None
    slot: Ticket | None = None
    ticket: Ticket | None = None
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
        # When the first opening or statement began since a word of the target
        # came, also if it has been given up by now; None if none has.
        self.unanswered_since: float | None = None
        # Since when openings are refused at once, None if the last was not:
        # no process listens there.
        self.refused_since: float | None = None
        self._reactor = reactor
        self._timing = timing
        self._chance = random_float
        self._dialer = make_dialer(target, self._on_ended)
        self._share = TargetCapacity()
        self._limit = ConcurrencyLimit(maximum=1)
        self._places = ConcurrencyLimit(
            maximum=1, forgotten_after=PLACES_FORGOTTEN_AFTER
        )
        self._slots = Admission(slots=0, queue_limit=queue_limit)
        self._gate = Admission(slots=0, queue_limit=queue_limit)
        self._connections = ConnectionTracker[LeasedConnection[LinkT]](
            timing=timing.connections
        )
        self._needing: deque[_Asking[LinkT]] = deque()
        self._opening_for: Counter[str] = Counter()
        self._leased: set[LeasedConnection[LinkT]] = set()
        self._pinned: set[LeasedConnection[LinkT]] = set()
        self._opener: Timer | None = None
        self._silent: set[int] = set()

    @property
    def used(self) -> TargetCapacity:
        """Return what is in use of the target.

        While a transaction is open one slot counts as used, so that its
        next statement finds one also after the share has been given up.
        """
        slots = self._slots.running
        if self._pinned and self._slots.slots > 0:
            slots = max(1, slots)
        return TargetCapacity(slots=slots, connections=self._connections.total)

    @property
    def share(self) -> TargetCapacity:
        """Return what may be used."""
        return self._share

    @property
    def waiting(self) -> int:
        """Return how many statements wait for a slot."""
        return self._slots.waiting + self._gate.waiting

    def set_share(self, share: TargetCapacity) -> None:
        """Take a new share; what is idle beyond it is closed at once."""
        self._share = share
        self._limit.set_maximum(max(1, share.slots))
        self._places.set_maximum(max(1, share.connections))
        self._apply_share()
        self._apply_places()
        self._serve()

    def set_idle_limits(self, seconds: float, *, max_kept: int) -> None:
        """Let so many connections rest for so long, others not as long."""
        self._connections.idle_timeout = seconds
        self._connections.max_kept_idle = max_kept

    def acquire(
        self,
        caller: str,
        deadline: float,
        on_ready: OnReady[LinkT],
        *,
        is_write: bool,
        team: str = "",
        urgency: int = 0,
        score: LinkScore[LinkT] | None = None,
    ) -> PendingAcquire:
        """Call back with a connection, or with why there is none."""
        asking = _Asking[LinkT](
            caller=caller,
            deadline=deadline,
            on_ready=on_ready,
            team=team,
            urgency=urgency,
            merit=score,
        )
        refusal = self._refusal()
        if refusal is not None:
            self.counters.refused += 1
            on_ready(refusal)
        elif is_write:
            self._submit(self._gate, asking)
        else:
            self._submit(self._slots, asking)
        return PendingAcquire(cancel=lambda: self._withdraw(asking))

    def release(
        self, leased: LeasedConnection[LinkT], *, healthy: bool
    ) -> None:
        """Give a connection back; one in doubt is closed."""
        if leased not in self._leased:
            return
        now = self._reactor.now()
        self._leased.discard(leased)
        self._pinned.discard(leased)
        self._free_slot(leased, now)
        if healthy:
            self._heard(now)
        if leased.gate is not None:
            seconds = now - leased.leased_at
            self._gate.release(leased.gate, seconds)
            leased.gate = None
        if healthy and leased.conn.usable:
            leased.last_response_at = leased.last_used_at = now
            keep = self._connections.give_back(leased)
            if not keep:
                leased.conn.close()
        else:
            # A statement may be late at a target that is well, so only a
            # heartbeat without an answer counts as a silent connection.
            self._connections.lost()
            self._give_up(leased)
        if leased.unresponsive:
            self._suspect()
        self._apply_share()
        self._serve()

    def record_slot_result(self, *, found: bool) -> None:
        """Note whether the target had a slot for a statement.

        Whoever shares the target with other processes and queues for many
        callers says so; then as many are sent at once as find slots.
        """
        if found:
            self._limit.record_success()
        else:
            self._limit.record_refusal(self._reactor.now())
        self._apply_share()

    def release_slot(self, leased: LeasedConnection[LinkT]) -> None:
        """Keep a transaction's connection and give its slot back."""
        now = self._reactor.now()
        self._pinned.add(leased)
        self._free_slot(leased, now)
        self._heard(now)
        self._serve()

    def reacquire_slot(
        self,
        leased: LeasedConnection[LinkT],
        caller: str,
        deadline: float,
        on_ready: OnReady[LinkT],
    ) -> None:
        """Get a slot again for the next statement of a transaction."""
        asking = _Asking[LinkT](
            caller=caller, deadline=deadline, on_ready=on_ready, leased=leased
        )
        self._submit(self._slots, asking)

    def tick(self) -> None:
        """Check what is idle, refuse what is late; a few times a second."""
        now = self._reactor.now()
        self._apply_share()
        self._apply_places()
        self._take(self._gate.expire(now), self._gate)
        self._take(self._slots.expire(now), self._slots)
        self._check_idle()
        self._serve()

    def close_all(self) -> None:
        """Close every connection, busy or not."""
        for leased in self._connections.take_idle():
            leased.conn.close()
        for leased in list(self._leased):
            leased.conn.close()

    def _give_up(self, leased: LeasedConnection[LinkT]) -> None:
        """Close a connection in doubt, at the target as well."""
        leased.conn.close()
        self._dialer.end(leased.connection_id)

    def _on_ended(self, numbers: list[int]) -> None:
        ended = self._silent.intersection(numbers)
        self._silent -= ended
        self._connections.target_ended(len(ended))
        self._serve()

    # Slots.

    def _apply_share(self) -> None:
        now = self._reactor.now()
        slots = self.breaker.slots(self._share.slots, now)
        slots = min(slots, self._limit.allowed(now))
        if self._pinned:
            slots = max(1, slots)
        self._slots.slots = slots
        self._gate.slots = max(1, slots) if slots else 0

    def _apply_places(self) -> None:
        """Keep fewer connections where the target had no place lately.

        Never fewer than the slots: what rests is given up, not what works.
        """
        share, now = self._share, self._reactor.now()
        limit = max(share.slots, self._places.allowed(now))
        limit = min(limit, share.connections)
        for leased in self._connections.set_limit(limit):
            leased.conn.close()

    def _refusal(self) -> NotRun | None:
        if self._share.slots <= 0 or self._share.connections <= 0:
            # Another holder has a share of this target.
            return NotRun(
                reason=Reason.NOT_HOLDER, retry_after_ms=RETRY_SOON_MS
            )
        now = self._reactor.now()
        closed = not self.breaker.may_try(now)
        if closed and self._connections.total == 0:
            return self._unreachable(now)
        return None

    def _unreachable(self, now: float) -> NotRun:
        left = max(0.0, self.breaker.retry_at - now)
        return NotRun(
            reason=Reason.TARGET_UNREACHABLE,
            retry_after_ms=max(RETRY_SOON_MS, int(left * 1000)),
        )

    def _submit(self, admission: Admission, asking: _Asking[LinkT]) -> None:
        ticket = Ticket(
            caller=asking.caller,
            deadline=asking.deadline,
            urgency=asking.urgency,
            item=asking,
        )
        asking.ticket = ticket
        now = self._reactor.now()
        self._take(admission.submit(ticket, now), admission)

    def _take(self, verdicts: list[Verdict], admission: Admission) -> None:
        for verdict in verdicts:
            asking: _Asking[LinkT] = verdict.ticket.item
            match verdict:
                case SlotGranted(ticket=ticket):
                    self._stop_timer(asking)
                    self._granted(asking, ticket, admission)
                case SlotQueued(ticket=ticket):
                    self._start_timer(asking, ticket, admission)
                case SlotRefused(outcome=outcome):
                    self._stop_timer(asking)
                    self._give_gate_back(asking)
                    self.counters.refused += 1
                    asking.on_ready(outcome)

    def _granted(
        self, asking: _Asking[LinkT], ticket: Ticket, admission: Admission
    ) -> None:
        if admission is self._gate:
            asking.gate = ticket
            self._submit(self._slots, asking)
        elif asking.leased is not None:
            asking.slot = ticket
            self._hand(asking, asking.leased)
        else:
            asking.slot = ticket
            self._needing.append(asking)
            self._supply()
            # Handed over at once, as most are, or still waiting?
            if self._needing and asking in self._needing:
                left = asking.deadline - self._reactor.now()
                asking.timer = self._reactor.call_later(
                    max(0.0, left), lambda: self._needed_too_long(asking)
                )

    def _withdraw(self, asking: _Asking[LinkT]) -> None:
        """Forget an asking whose caller has gone, wherever it waits."""
        self._stop_timer(asking)
        if asking in self._needing:
            self._needing.remove(asking)
            self._give_slot_back(asking)
            self._serve()
            return
        ticket = asking.ticket
        for admission in (self._gate, self._slots):
            if ticket is not None and admission.is_queued(ticket):
                admission.cancel(ticket)
                self._give_gate_back(asking)

    def _start_timer(
        self, asking: _Asking[LinkT], ticket: Ticket, admission: Admission
    ) -> None:
        def late() -> None:
            self._take(admission.expire(self._reactor.now()), admission)

        left = asking.deadline - self._reactor.now()
        asking.timer = self._reactor.call_later(max(0.0, left), late)

    def _stop_timer(self, asking: _Asking[LinkT]) -> None:
        if asking.timer is not None:
            asking.timer.cancel()
            asking.timer = None

    def _free_slot(self, leased: LeasedConnection[LinkT], now: float) -> None:
        if leased.slot is not None:
            self._slots.release(leased.slot, now - leased.leased_at)
            leased.slot = None

    def _give_gate_back(self, asking: _Asking[LinkT]) -> None:
        if asking.gate is not None:
            self._gate.release(asking.gate, self._gate.estimate)
            asking.gate = None

    def _serve(self) -> None:
        if self.waiting:
            now = self._reactor.now()
            self._take(self._gate.grant_next(now), self._gate)
            self._take(self._slots.grant_next(now), self._slots)
        if self._needing:
            self._supply()

    # Connections.

    def _supply(self) -> None:
        """Give waiting statements open connections, and open new ones."""
        now = self._reactor.now()
        for asking in list(self._needing):
            # Handing one over may have given others theirs.
            if asking not in self._needing:
                continue
            leased = self._take_idle(asking, now)
            if leased is not None:
                self._needing.remove(asking)
                self._hand(asking, leased)
        if self._needing:
            self._check_idle()
            self._open_or_wait(now)

    def _take_idle(
        self, asking: _Asking[LinkT], now: float
    ) -> LeasedConnection[LinkT] | None:
        """Return an open connection of the team that asks, if one rests."""
        merit = asking.merit
        while True:
            leased = self._connections.lease_idle(
                now, asking.team, merit and _by_link(merit)
            )
            if leased is None or leased.conn.usable:
                return leased
            self._connections.lost()

    def _needed_too_long(self, asking: _Asking[LinkT]) -> None:
        asking.timer = None
        if asking in self._needing:
            self._needing.remove(asking)
            self._give_slot_back(asking)
            asking.on_ready(
                NotRun(reason=Reason.DEADLINE, retry_after_ms=RETRY_SOON_MS)
            )
            self._serve()

    def _give_slot_back(self, asking: _Asking[LinkT]) -> None:
        if asking.slot is not None:
            self._slots.release(asking.slot, self._slots.estimate)
            asking.slot = None
        self._give_gate_back(asking)

    def _hand(
        self, asking: _Asking[LinkT], leased: LeasedConnection[LinkT]
    ) -> None:
        self._stop_timer(asking)
        leased.slot = asking.slot
        if asking.gate is not None:
            leased.gate = asking.gate
        leased.leased_at = self._reactor.now()
        self._leased.add(leased)
        self._asked(leased.leased_at)
        asking.on_ready(leased)

    def _open_or_wait(self, now: float) -> None:
        lacking = self._lacking()
        self._make_room(lacking, now)
        missing = len(lacking) + self._connections.opening
        wait = self._connections.open_delay(now, missing)
        if wait is None:
            return
        if wait > 0:
            if self._opener is None:
                self._opener = self._reactor.call_later(wait, self._open_due)
        elif self.breaker.may_open(now):
            self._connections.record_opening(now, draw=self._chance())
            self._asked(now)
            self._open(lacking[0])
            self._open_or_wait(now)
        elif self._connections.opening == 0:
            self._fail_needing(now)

    def _lacking(self) -> list[str]:
        """Return the team of each that needs a connection not yet opening."""
        left = Counter(self._opening_for)
        lacking = []
        for asking in self._needing:
            if left[asking.team] > 0:
                left[asking.team] -= 1
            else:
                lacking.append(asking.team)
        return lacking

    def _make_room(self, lacking: list[str], now: float) -> None:
        """Close what rests for other teams where no more may be opened.

        Else a team would wait for as long as another's connection rests.
        """
        connections = self._connections
        at_limit = connections.total >= connections.limit
        if not lacking or not (at_limit or connections.is_scarce(now)):
            return
        leased = connections.take_oldest_idle(lacking)
        if leased is not None:
            leased.conn.close()

    def _open_due(self) -> None:
        self._opener = None
        self._supply()

    def _open(self, team: str) -> None:
        self._opening_for[team] += 1

        def done(result: Opened[LinkT] | OpenFailed) -> None:
            self._opening_for.subtract([team])
            # Zero counts of teams that have gone are dropped.
            self._opening_for = +self._opening_for
            match result:
                case Opened():
                    self._opened(result.link, result.number, team)
                case OpenFailed(full=True):
                    self._target_full()
                case OpenFailed():
                    self._open_failed(refused=result.refused)

        self._dialer.open(team, self._timing.connect_timeout, done)

    def _target_full(self) -> None:
        """Take back an opening that the target's own limit forbids.

        The target is well, so its circuit stays closed; but others need its
        connections too, so ours that rest are closed soon for a while. What
        waits here without any connection of ours to wait for is refused:
        another target may have a place, or another VM a connection.
        """
        now = self._reactor.now()
        self.counters.full += 1
        self.breaker.answered(now)
        self._connections.open_failed()
        self._heard(now)
        needing = {asking.team for asking in self._needing}
        resting = self._connections.take_oldest_idle(needing)
        self._connections.record_target_full(
            now, place_left=resting is not None
        )
        self._places.record_refusal(now)
        self._apply_places()
        if resting is not None:
            resting.conn.close()
        elif self._connections.open == 0:
            self._refuse_needing(
                Overloaded(
                    reason=Reason.TARGET_CONNECTIONS,
                    retry_after_ms=RETRY_SOON_MS,
                )
            )
        self._serve()

    def _opened(self, conn: LinkT, number: int, team: str) -> None:
        now = self._reactor.now()
        self.counters.opened += 1
        self._heard(now)
        self.refused_since = None
        self.breaker.answered(now)
        leased = LeasedConnection(
            target=self.target,
            conn=conn,
            last_response_at=now,
            last_used_at=now,
            connection_id=number,
            team=team,
        )
        if not self._connections.add_opened(leased):
            conn.close()
        self._apply_share()
        self._serve()

    def _open_failed(self, *, refused: bool) -> None:
        now = self._reactor.now()
        if not refused:
            self.refused_since = None
        elif self.refused_since is None:
            self.refused_since = now
        self.counters.failed += 1
        self._connections.open_failed()
        self.breaker.failed(now, draw=self._chance())
        if self._connections.opening == 0:
            self._fail_needing(now)
        self._serve()

    def _fail_needing(self, now: float) -> None:
        """Refuse what waits for a connection to a target without any."""
        if self._connections.total == 0:
            self._refuse_needing(self._unreachable(now))

    def _refuse_needing(self, refusal: NotRun | Overloaded) -> None:
        needing, self._needing = self._needing, deque()
        for asking in needing:
            self._stop_timer(asking)
            self._give_slot_back(asking)
        for asking in needing:
            asking.on_ready(refusal)

    # Words of the target.

    def _asked(self, now: float) -> None:
        if self.unanswered_since is None:
            self.unanswered_since = now

    def _heard(self, now: float) -> None:
        asking = self._connections.opening > 0 or any(
            leased.slot is not None for leased in self._leased
        )
        self.unanswered_since = now if asking else None

    # Heartbeats.

    def _suspect(self) -> None:
        # What lost track of one connection has often lost many. Checking the
        # idle ones at once costs one short exchange each and no slot, where
        # each statement sent on a dead one waits for its whole deadline.
        self._connections.suspect_idle()
        self._check_idle()

    def _check_idle(self) -> None:
        now = self._reactor.now()
        for leased in self._connections.take_expired(now):
            leased.conn.close()
        for leased in self._connections.take_due_for_check(now):
            self._check(leased)

    def _check(self, leased: LeasedConnection[LinkT]) -> None:
        if not leased.conn.usable:
            self._connections.lost()
            leased.conn.close()
            return
        timeout = self._timing.connections.heartbeat_timeout

        def checked(health: Health) -> None:
            if health is Health.ALIVE:
                leased.last_response_at = self._reactor.now()
                self._heard(leased.last_response_at)
                if not self._connections.give_back(leased):
                    leased.conn.close()
            else:
                self._found_dead(leased, silent=health is Health.SILENT)
            self._supply()

        self._dialer.check(leased.conn, timeout, checked)

    def _found_dead(
        self, leased: LeasedConnection[LinkT], *, silent: bool
    ) -> None:
        self.counters.dead += 1
        now = self._reactor.now()
        self._connections.lost(silent_at=now if silent else None)
        if silent:
            self._silent.add(leased.connection_id)
        self._give_up(leased)
        if silent:
            self._suspect()


def _by_link(
    merit: LinkScore[LinkT],
) -> Callable[[LeasedConnection[LinkT]], int]:
    return lambda leased: merit(leased.conn)
