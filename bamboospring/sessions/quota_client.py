"""Ask for permits to run operations of teams with a limit.

The VM that counts in the own zone is asked first, then those of other zones,
since all callers of a team may be in one zone. Operations that arrive while a
request is pending are all asked for with the next one. A zone that has refused
is skipped for a while, so that a team that sends far more than its limit costs
little.

With load control, operations are asked for and granted by urgency
(`team_urgency`). A zone that has refused less urgent ones is still asked for
more urgent ones.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.rendezvous import rank_vms
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.quota_counter import QuotaCounter
from bamboospring.sessions.quota_holders import counting_vm
from bamboospring.sessions.quota_holders import counting_zones
from bamboospring.sessions.quota_holders import QuotaVm
from bamboospring.sessions.team_urgency import CLASS_COUNT
from bamboospring.sessions.team_urgency import max_retry_after
from bamboospring.sessions.team_urgency import ReturnTimes
from bamboospring.sessions.team_urgency import urgency_class
from bamboospring.sessions.team_urgency import UrgencyAllowance

__all__ = ["Permit", "QuotaClient"]

# Seconds after which another VM is asked; a VM that counts answers at once.
ASK_TIMEOUT = 0.08
# Seconds for which a zone is skipped: at least and at most after a refusal, if
# the VM there does not count, and if it does not answer.
MIN_SKIP_DURATION = 0.03
MAX_SKIP_DURATION = 0.15
NOT_COUNTING_SKIP_DURATION = 0.1
UNRESPONSIVE_SKIP_DURATION = 0.5
# Seconds for which operations wait while no VM that counts answers: VMs that
# start together are not all available at the same moment.
MAX_COUNTER_WAIT = 0.1
RECHECK_INTERVAL = 0.02
RETRY_MS = 100
# Minimum retry delay of the most urgent operations: a shorter one ends while
# the zones are still skipped, a longer one leaves less of their objective.
URGENT_RETRY_MS = 30
DEFAULT_OBJECTIVE = 0.25


@dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """Permission to run one operation.

    `counted_by` is the VM that counted it, None for a team without a limit.
    """

    team: str = ""
    counted_by: QuotaVm | None = None


OnPermit = Callable[[Permit | Overloaded], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class _PendingOperation:
    """An operation that waits for a permit."""

    waiting_since: float
    objective: float
    on_complete: OnPermit


@dataclass(slots=True, kw_only=True)
class _TeamQueue:
    """The operations of a team that wait for permits, and zones to skip.

    Without load control, all operations are of class 0.
    """

    pending: tuple[deque[_PendingOperation], ...] = field(
        default_factory=lambda: tuple(deque() for _ in range(CLASS_COUNT))
    )
    is_asking: bool = False
    timer: Timer | None = None
    # By zone and class.
    skipped_until: dict[tuple[str, int], float] = field(default_factory=dict)
    # When the team has capacity again for each class, according to the last
    # refusals.
    capacity_at: list[float] = field(
        default_factory=lambda: [-1e9] * CLASS_COUNT
    )
    return_times: ReturnTimes = field(default_factory=ReturnTimes)

    def waiting_classes(self) -> list[int]:
        """Return the classes with waiting operations, most urgent first."""
        return [u for u, waiting in enumerate(self.pending) if waiting]

    def is_skipped(self, zone: str, urgency: int, now: float) -> bool:
        """Return whether a zone refused this class or a more urgent one."""
        return any(
            now < self.skipped_until.get((zone, each), -1e9)
            for each in range(urgency + 1)
        )

    def wanted(self, zone: str, now: float) -> tuple[int, ...]:
        """Return for how many operations of each class to ask a zone."""
        return tuple(
            0 if self.is_skipped(zone, urgency, now) else len(waiting)
            for urgency, waiting in enumerate(self.pending)
        )

    def take(self, count: int) -> list[_PendingOperation]:
        """Remove operations for which there are permits, most urgent first."""
        taken: list[_PendingOperation] = []
        for waiting in self.pending:
            while waiting and len(taken) < count:
                taken.append(waiting.popleft())
        return taken


class QuotaClient:
    """Asks for permits on behalf of this VM's callers."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        peers: Peers,
        counter: QuotaCounter,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._counter = counter
        self._queues: dict[str, _TeamQueue] = {}

    def request_permit(
        self,
        team: str,
        on_complete: OnPermit,
        *,
        urgency: int = 0,
        objective: float = DEFAULT_OBJECTIVE,
    ) -> None:
        """Call back with a permit for one operation, or with a refusal.

        `urgency` and `objective` are those of its route.
        """
        catalog = self._board.catalog
        teams = catalog.teams if catalog is not None else None
        limits = (teams or {}).get(team)
        if limits is None or limits.rate is None:
            on_complete(Permit())
            return
        queue = self._queues.setdefault(team, _TeamQueue())
        now = self._reactor.now()
        waiting = queue.pending[
            urgency_class(urgency) if self._board.load_control else 0
        ]
        waiting.append(
            _PendingOperation(
                waiting_since=now,
                objective=objective,
                on_complete=on_complete,
            )
        )
        self._ask_for_pending(team, queue)

    def return_permit(self, permit: Permit) -> None:
        """Return the permit of an operation that has certainly not run."""
        holder = permit.counted_by
        if holder is None:
            return
        if holder == self._counter.local_vm:
            self._counter.return_operations(permit.team, 1)
            return
        message = new_envelope()
        body = message.init("quotaReturn")
        body.team = permit.team
        body.count = 1
        self._peers.send(holder.address, message)

    def _ask_for_pending(self, team: str, queue: _TeamQueue) -> None:
        while not queue.is_asking:
            holder = None
            for urgency in queue.waiting_classes():
                found = self._choose_counting_vm(team, queue, urgency)
                if found is None:
                    self._wait_or_refuse(team, queue, urgency)
                elif holder is None:
                    holder = found
            # A callback of a refused operation may have asked meanwhile.
            if holder is None or queue.is_asking:
                return
            self._ask(team, queue, holder)

    def _choose_counting_vm(
        self, team: str, queue: _TeamQueue, urgency: int
    ) -> QuotaVm | None:
        holders = self._board.quota_holders
        if holders is None:
            return None
        now = self._reactor.now()
        own = self._board.availability_zone
        for zone in self._zones(team, own):
            if queue.is_skipped(zone, urgency, now):
                continue
            holder = counting_vm(holders.vms, team, zone)
            if holder is not None:
                return holder
        return None

    def _zones(self, team: str, own: str) -> list[str]:
        """Return the own zone, then the others in this VM's ranking."""
        holders = self._board.quota_holders
        assert holders is not None
        zones = [zone for zone in counting_zones(holders.vms) if zone != own]
        named = [_NamedZone(name=zone) for zone in zones]
        ranked = rank_vms(f"{self._board.vm}/{team}", named)
        return [own, *(zone.name for zone in ranked)]

    def _ask(self, team: str, queue: _TeamQueue, holder: QuotaVm) -> None:
        asked_at = self._reactor.now()
        wanted = queue.wanted(holder.availability_zone, asked_at)
        if holder == self._counter.local_vm:
            allowance = self._grant_locally(team, wanted)
            self._on_allowance(team, queue, holder, wanted, allowance)
            return
        queue.is_asking = True
        message = new_envelope()
        ask = message.init("quotaAsk")
        ask.team = team
        ask.wanted = sum(wanted)
        if self._board.load_control:
            ask.urgencies = list(wanted)

        def on_answer(answer: Any) -> None:
            queue.is_asking = False
            allowance = None
            unresponsive = self._reactor.now() - asked_at >= ASK_TIMEOUT
            skip = (
                UNRESPONSIVE_SKIP_DURATION
                if unresponsive
                else NOT_COUNTING_SKIP_DURATION
            )
            if not isinstance(answer, PeerLost) and answer.quotaAnswer.counts:
                allowance = _decode_allowance(answer.quotaAnswer)
            self._on_allowance(team, queue, holder, wanted, allowance, skip)
            self._ask_for_pending(team, queue)

        self._peers.ask(holder.address, message, ASK_TIMEOUT, on_answer)

    def _grant_locally(
        self, team: str, wanted: tuple[int, ...]
    ) -> UrgencyAllowance | None:
        if self._board.load_control:
            return self._counter.grant_by_urgency(team, wanted)
        allowance = self._counter.grant(team, sum(wanted))
        if allowance is None:
            return None
        return UrgencyAllowance(
            count=allowance.count,
            retry_after=(allowance.retry_after,) * CLASS_COUNT,
        )

    def _on_allowance(
        self,
        team: str,
        queue: _TeamQueue,
        holder: QuotaVm,
        wanted: tuple[int, ...],
        allowance: UrgencyAllowance | None,
        not_counting_skip: float = NOT_COUNTING_SKIP_DURATION,
    ) -> None:
        now = self._reactor.now()
        zone = holder.availability_zone
        if allowance is None:
            queue.skipped_until[(zone, 0)] = now + not_counting_skip
            return
        left = allowance.count
        for urgency, number in enumerate(wanted):
            if number > left:
                retry_after = allowance.retry_after[urgency]
                self._skip(queue, zone, urgency, retry_after)
            left = max(0, left - number)
        # All are removed first, because a callback may request another permit.
        for operation in queue.take(allowance.count):
            operation.on_complete(Permit(team=team, counted_by=holder))

    def _skip(
        self, queue: _TeamQueue, zone: str, urgency: int, retry_after: float
    ) -> None:
        """Skip a zone that has refused operations of a class."""
        now = self._reactor.now()
        skip = max(MIN_SKIP_DURATION, min(MAX_SKIP_DURATION, retry_after))
        queue.skipped_until[(zone, urgency)] = now + skip
        capacity_at = now + retry_after
        known_at = queue.capacity_at[urgency]
        if self._board.load_control and known_at > now:
            # Another zone has refused as well: the first token is enough.
            capacity_at = min(capacity_at, known_at)
        queue.capacity_at[urgency] = capacity_at

    def _wait_or_refuse(
        self, team: str, queue: _TeamQueue, urgency: int
    ) -> None:
        """Refuse waiting operations of a class at the team's limit, or wait.

        If no VM that counts has answered, operations are refused after
        MAX_COUNTER_WAIT.
        """
        now = self._reactor.now()
        # A class is refused with a more urgent one.
        capacity_at = max(queue.capacity_at[: urgency + 1])
        if now < capacity_at + MAX_SKIP_DURATION:
            self._refuse_at_limit(team, queue, urgency, capacity_at)
            return
        waiting = queue.pending[urgency]
        unavailable = Overloaded(
            reason=Reason.QUOTA_UNAVAILABLE, retry_after_ms=RETRY_MS
        )
        waiting_before = now - MAX_COUNTER_WAIT
        while waiting and waiting[0].waiting_since <= waiting_before:
            waiting.popleft().on_complete(unavailable)
        if waiting and queue.timer is None:
            queue.timer = self._reactor.call_later(
                RECHECK_INTERVAL, lambda: self._recheck(team, queue)
            )

    def _refuse_at_limit(
        self, team: str, queue: _TeamQueue, urgency: int, capacity_at: float
    ) -> None:
        """Refuse operations that wait now, each with its retry delay."""
        waiting = queue.pending[urgency]
        # A callback may request another permit, which is not refused here.
        for operation in [waiting.popleft() for _ in range(len(waiting))]:
            delay = self._retry_ms(
                team, queue, urgency, capacity_at, operation.objective
            )
            operation.on_complete(
                Overloaded(reason=Reason.TEAM_LIMIT, retry_after_ms=delay)
            )

    def _retry_ms(
        self,
        team: str,
        queue: _TeamQueue,
        urgency: int,
        capacity_at: float,
        objective: float,
    ) -> int:
        now = self._reactor.now()
        if not self._board.load_control:
            return max(RETRY_MS, round((capacity_at - now) * 1000))
        teams = self._board.catalog.teams if self._board.catalog else None
        limits = (teams or {}).get(team)
        delay = queue.return_times.reserve(
            urgency,
            capacity_at,
            longest=max_retry_after(objective),
            rate=limits.rate or 0.0 if limits is not None else 0.0,
            vm_count=self._board.vm_count,
            now=now,
        )
        shortest = URGENT_RETRY_MS if urgency == 0 else RETRY_MS
        return max(shortest, round(delay * 1000))

    def _recheck(self, team: str, queue: _TeamQueue) -> None:
        queue.timer = None
        self._ask_for_pending(team, queue)


@dataclass(frozen=True, slots=True, kw_only=True)
class _NamedZone:
    """A zone with the name by which rendezvous hashing ranks it."""

    name: str


def _decode_allowance(answer: Any) -> UrgencyAllowance:
    """Decode the answer of a VM that may know no urgencies."""
    delays = tuple(ms / 1000 for ms in answer.retriesMs)
    if len(delays) != CLASS_COUNT:
        delays = (answer.retryMs / 1000,) * CLASS_COUNT
    return UrgencyAllowance(count=answer.count, retry_after=delays)
