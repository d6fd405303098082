"""Ask a group's targets on purpose whether its primary still is one.

The long polls tell of changes at once but confirm that nothing changed only
twice a second. A read with a tighter bound than that asks for a round here.
Rounds are shared: while one is under way, those who need a later one wait
for it together, so there is at most one question under way at each target.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.http_client import HttpAnswer
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpLost
from bamboospring.reactor import Reactor
from bamboospring.target_api import decode_probe
from bamboospring.target_api import ProbeResult

__all__ = ["Confirmer", "judge_round"]

ROUND_TIMEOUT = 0.5
ROUND_PAUSE = 0.05

OnDone = Callable[[bool], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Waiting:
    since: float
    on_done: OnDone


@dataclass(slots=True, kw_only=True)
class _Round:
    """One question to each target of a group."""

    asked_at: float
    left: int
    waiting: list[_Waiting]
    probes: dict[str, ProbeResult] = field(default_factory=dict)


def judge_round(
    group: Group, probes: dict[str, ProbeResult]
) -> list[str] | None:
    """Return the replicas that hold all that the primary held, by name.

    None if no majority stands by the group's term: then the round confirms
    nothing.
    """
    record = group.record
    loyal = {
        name: probe
        for name, probe in probes.items()
        if probe.term == record.term
    }
    if len(loyal) <= len(record.targets) // 2:
        return None
    primary = loyal.get(record.primary)
    if primary is None:
        return []
    return [
        name
        for name, probe in loyal.items()
        if probe.last_term == record.term and probe.applied >= primary.received
    ]


class Confirmer:
    """Runs the rounds of all groups of this holder."""

    def __init__(self, *, reactor: Reactor, board: Blackboard) -> None:
        self._reactor = reactor
        self._board = board
        self._rounds: dict[str, _Round] = {}
        self._next: dict[str, list[_Waiting]] = {}
        self._clients: dict[str, HttpClient] = {}
        self._asking: set[str] = set()
        self._confirmed: dict[str, tuple[int, float]] = {}

    def confirmed(self, group: Group) -> float:
        """Return when a round last confirmed the group's present term."""
        term, at = self._confirmed.get(group.record.name, (0, -1e9))
        return at if term == group.record.term else -1e9

    def confirm(self, group: Group, since: float, on_done: OnDone) -> None:
        """Call back once a round that began after `since` has ended."""
        name = group.record.name
        waiting = _Waiting(since=since, on_done=on_done)
        running = self._rounds.get(name)
        if running is None:
            self._begin(name, [waiting])
        elif running.asked_at >= since:
            running.waiting.append(waiting)
        else:
            self._next.setdefault(name, []).append(waiting)

    def _begin(self, name: str, waiting: list[_Waiting]) -> None:
        targets = self._board.groups[name].record.targets
        begun = _Round(
            asked_at=self._reactor.now(), left=len(targets), waiting=waiting
        )
        self._rounds[name] = begun
        for target in targets:
            self._ask(name, begun, target.name, target.address)
        if begun.left <= 0:
            # Every target still owes an answer to an earlier question.
            self._reactor.call_later(
                ROUND_PAUSE, lambda: self._finish(name, begun, False)
            )

    def _ask(
        self, name: str, begun: _Round, target: str, address: str
    ) -> None:
        if address in self._asking:
            # It has not answered the round before: it is silent, and
            # another question would only queue up behind the first.
            begun.left -= 1
            return
        self._asking.add(address)
        client = self._clients.get(address)
        if client is None:
            client = HttpClient(reactor=self._reactor, address=address)
            self._clients[address] = client

        def answered(answer: HttpAnswer | HttpLost) -> None:
            self._asking.discard(address)
            begun.left -= 1
            if isinstance(answer, HttpAnswer) and answer.status == 200:
                probe = decode_probe(answer.body)
                if probe is not None:
                    begun.probes[target] = probe
            self._judge(name, begun)

        client.request("GET", "/probe", b"", ROUND_TIMEOUT, answered)

    def _judge(self, name: str, begun: _Round) -> None:
        group = self._board.groups.get(name)
        level = judge_round(group, begun.probes) if group else None
        if group is not None and level is not None:
            self._note(group, level, begun.asked_at)
        if level is not None or begun.left <= 0:
            self._finish(name, begun, level is not None)

    def _note(self, group: Group, level: list[str], asked_at: float) -> None:
        self._confirmed[group.record.name] = (group.record.term, asked_at)
        for target in level:
            state = group.state(target)
            state.caught_up_at = max(state.caught_up_at, asked_at)

    def _finish(self, name: str, begun: _Round, good: bool) -> None:
        """End the round; answers that come later still refresh facts."""
        if self._rounds.get(name) is not begun:
            return
        del self._rounds[name]
        for item in begun.waiting:
            item.on_done(good)
        waiting = self._next.pop(name, None)
        if waiting:
            self._begin(name, waiting)
