"""Ask for permits to run operations of teams with a limit.

The VM that counts in the own zone is asked first, then those of other zones,
since all callers of a team may be in one zone. Operations that arrive while a
request is pending are all asked for with the next one. A zone that has refused
is skipped for a while, so that a team that sends far more than its limit costs
little.
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
from bamboospring.sessions.team_quota import Allowance

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
    on_complete: OnPermit


@dataclass(slots=True, kw_only=True)
class _TeamQueue:
    """The operations of a team that wait for permits, and zones to skip."""

    pending: deque[_PendingOperation] = field(default_factory=deque)
    is_asking: bool = False
    timer: Timer | None = None
    skipped_until: dict[str, float] = field(default_factory=dict)
    # When the team has capacity again, according to the last refusal.
    capacity_at: float = -1e9


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

    def request_permit(self, team: str, on_complete: OnPermit) -> None:
        """Call back with a permit for one operation, or with a refusal."""
        catalog = self._board.catalog
        teams = catalog.teams if catalog is not None else None
        limits = (teams or {}).get(team)
        if limits is None or limits.rate is None:
            on_complete(Permit())
            return
        queue = self._queues.setdefault(team, _TeamQueue())
        now = self._reactor.now()
        queue.pending.append(
            _PendingOperation(waiting_since=now, on_complete=on_complete)
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
        while queue.pending and not queue.is_asking:
            holder = self._choose_counting_vm(team, queue)
            if holder is None:
                self._wait_or_refuse(team, queue)
                return
            self._ask(team, queue, holder)

    def _choose_counting_vm(
        self, team: str, queue: _TeamQueue
    ) -> QuotaVm | None:
        holders = self._board.quota_holders
        if holders is None:
            return None
        now = self._reactor.now()
        own = self._board.availability_zone
        for zone in self._zones(team, own):
            if now < queue.skipped_until.get(zone, -1e9):
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
        wanted = len(queue.pending)
        if holder == self._counter.local_vm:
            allowance = self._counter.grant(team, wanted)
            self._on_allowance(team, queue, holder, wanted, allowance)
            return
        queue.is_asking = True
        asked_at = self._reactor.now()
        message = new_envelope()
        ask = message.init("quotaAsk")
        ask.team = team
        ask.wanted = wanted

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
                body = answer.quotaAnswer
                allowance = Allowance(
                    count=body.count, retry_after=body.retryMs / 1000
                )
            self._on_allowance(team, queue, holder, wanted, allowance, skip)
            self._ask_for_pending(team, queue)

        self._peers.ask(holder.address, message, ASK_TIMEOUT, on_answer)

    def _on_allowance(
        self,
        team: str,
        queue: _TeamQueue,
        holder: QuotaVm,
        wanted: int,
        allowance: Allowance | None,
        not_counting_skip: float = NOT_COUNTING_SKIP_DURATION,
    ) -> None:
        now = self._reactor.now()
        zone = holder.availability_zone
        if allowance is None:
            queue.skipped_until[zone] = now + not_counting_skip
            return
        if allowance.count < wanted:
            skip = min(MAX_SKIP_DURATION, allowance.retry_after)
            queue.skipped_until[zone] = now + max(MIN_SKIP_DURATION, skip)
            queue.capacity_at = now + allowance.retry_after
        # All are removed first, because a callback may request another permit.
        granted = [queue.pending.popleft() for _ in range(allowance.count)]
        for operation in granted:
            operation.on_complete(Permit(team=team, counted_by=holder))

    def _wait_or_refuse(self, team: str, queue: _TeamQueue) -> None:
        """Refuse pending operations if the team is at its limit, or wait.

        If no VM that counts has answered, operations are refused after
        MAX_COUNTER_WAIT.
        """
        now = self._reactor.now()
        if now < queue.capacity_at + MAX_SKIP_DURATION:
            wait_ms = max(RETRY_MS, round((queue.capacity_at - now) * 1000))
            self._refuse(queue, now, Reason.TEAM_LIMIT, wait_ms)
            return
        waiting_before = now - MAX_COUNTER_WAIT
        self._refuse(queue, waiting_before, Reason.QUOTA_UNAVAILABLE, RETRY_MS)
        if queue.pending and queue.timer is None:
            queue.timer = self._reactor.call_later(
                RECHECK_INTERVAL, lambda: self._recheck(team, queue)
            )

    def _recheck(self, team: str, queue: _TeamQueue) -> None:
        queue.timer = None
        self._ask_for_pending(team, queue)

    def _refuse(
        self,
        queue: _TeamQueue,
        waiting_before: float,
        reason: Reason,
        retry_after_ms: int,
    ) -> None:
        """Refuse operations that have waited since an instant or longer."""
        refusal = Overloaded(reason=reason, retry_after_ms=retry_after_ms)
        while (
            queue.pending and queue.pending[0].waiting_since <= waiting_before
        ):
            queue.pending.popleft().on_complete(refusal)


@dataclass(frozen=True, slots=True, kw_only=True)
class _NamedZone:
    """A zone with the name by which rendezvous hashing ranks it."""

    name: str
