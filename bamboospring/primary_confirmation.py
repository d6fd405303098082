"""Confirm with a majority of its targets that a group's primary is current.

The long polls report changes immediately, but confirm that nothing changed
only twice a second. A read with a tighter staleness limit asks for a round of
probes here. Rounds are shared: reads that need a round later than the current
one wait together for the next one, so at most one probe is in flight at each
target.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.reactor import Reactor
from bamboospring.target_api import decode_probe
from bamboospring.target_api import ProbeResult

__all__ = ["PrimaryConfirmer", "evaluate_round"]

ROUND_TIMEOUT = 0.5
ROUND_RETRY_DELAY = 0.05

OnComplete = Callable[[bool], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Waiting:
    since: float
    on_complete: OnComplete


@dataclass(slots=True, kw_only=True)
class _Round:
    """One probe of each target of a group."""

    asked_at: float
    pending: int
    waiting: list[_Waiting]
    results: dict[str, ProbeResult] = field(default_factory=dict)


def evaluate_round(
    group: Group, results: dict[str, ProbeResult]
) -> list[str] | None:
    """Return the names of the targets that hold all entries of the primary.

    Return None if no majority reports the group's term; the round then
    confirms nothing.
    """
    record = group.record
    at_term = {
        name: result
        for name, result in results.items()
        if result.term == record.term
    }
    if len(at_term) <= len(record.targets) // 2:
        return None
    primary = at_term.get(record.primary)
    if primary is None:
        return []
    return [
        name
        for name, result in at_term.items()
        if result.last_term == record.term
        and result.applied >= primary.received
    ]


class PrimaryConfirmer:
    """Run the rounds of probes of all groups of this holder."""

    def __init__(self, *, reactor: Reactor, board: Blackboard) -> None:
        self._reactor = reactor
        self._board = board
        self._rounds: dict[str, _Round] = {}
        self._queued: dict[str, list[_Waiting]] = {}
        self._clients: dict[str, HttpClient] = {}
        self._in_flight: set[str] = set()
        self._last_confirmed: dict[str, tuple[int, float]] = {}

    def confirmed_at(self, group: Group) -> float:
        """Return when a round last confirmed the group's current term."""
        term, at = self._last_confirmed.get(group.record.name, (0, -1e9))
        return at if term == group.record.term else -1e9

    def confirm(
        self, group: Group, since: float, on_complete: OnComplete
    ) -> None:
        """Call back when a round that started at or after `since` ends."""
        name = group.record.name
        waiting = _Waiting(since=since, on_complete=on_complete)
        current = self._rounds.get(name)
        if current is None:
            self._start_round(name, [waiting])
        elif current.asked_at >= since:
            current.waiting.append(waiting)
        else:
            self._queued.setdefault(name, []).append(waiting)

    def _start_round(self, name: str, waiting: list[_Waiting]) -> None:
        targets = self._board.groups[name].record.targets
        current = _Round(
            asked_at=self._reactor.now(), pending=len(targets), waiting=waiting
        )
        self._rounds[name] = current
        for target in targets:
            self._probe(name, current, target.name, target.address)
        if current.pending <= 0:
            # Every target still has a probe of an earlier round in flight.
            self._reactor.call_later(
                ROUND_RETRY_DELAY,
                lambda: self._finish_round(name, current, False),
            )

    def _probe(
        self, name: str, current: _Round, target: str, address: str
    ) -> None:
        if address in self._in_flight:
            # The target has not answered the previous round. Another probe
            # would only queue up behind the first one.
            current.pending -= 1
            return
        self._in_flight.add(address)
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(reactor=self._reactor, address=address)
            self._clients[address] = client

        def on_answer(answer: HttpResponse | HttpFailure) -> None:
            self._in_flight.discard(address)
            current.pending -= 1
            if isinstance(answer, HttpResponse) and answer.status == 200:
                result = decode_probe(answer.body)
                if result is not None:
                    current.results[target] = result
            self._evaluate(name, current)

        client.request("GET", "/probe", b"", ROUND_TIMEOUT, on_answer)

    def _evaluate(self, name: str, current: _Round) -> None:
        group = self._board.groups.get(name)
        caught_up = evaluate_round(group, current.results) if group else None
        if group is not None and caught_up is not None:
            self._record(group, caught_up, current.asked_at)
        if caught_up is not None or current.pending <= 0:
            self._finish_round(name, current, caught_up is not None)

    def _record(
        self, group: Group, caught_up: list[str], asked_at: float
    ) -> None:
        self._last_confirmed[group.record.name] = (group.record.term, asked_at)
        for target in caught_up:
            state = group.state(target)
            state.caught_up_at = max(state.caught_up_at, asked_at)

    def _finish_round(
        self, name: str, current: _Round, confirmed: bool
    ) -> None:
        """End the round; results that arrive later still update the board."""
        if self._rounds.get(name) is not current:
            return
        del self._rounds[name]
        for item in current.waiting:
            item.on_complete(confirmed)
        waiting = self._queued.pop(name, None)
        if waiting:
            self._start_round(name, waiting)
