"""A holder's watch over the targets of its groups.

One long poll for each target tells of its term, role and positions as they
change. Writes wait here until a majority holds them.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field

from circuits import BaseComponent
from circuits import handler

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import Target
from bamboospring.commit import held_by_majority
from bamboospring.http_codec import HttpAnswer
from bamboospring.http_codec import HttpClient
from bamboospring.http_codec import HttpLost
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.rendezvous import Placement
from bamboospring.statements import Position
from bamboospring.target_api import decode_probe
from bamboospring.target_api import Probe

__all__ = ["Watcher"]

POLL_MS = 500
POLL_TIMEOUT = 1.0
RETRY_DELAY = 0.2
# How many sightings of the primary's position are kept to tell how old a
# replica's data is; at two a second this covers half a minute.
SIGHTINGS = 64


@dataclass(slots=True, kw_only=True, eq=False)
class _Waiting:
    position: Position
    on_held: Callable[[bool], None]
    timer: Timer


@dataclass(slots=True, kw_only=True)
class _Watched:
    """A group under watch."""

    group: Group
    pollers: dict[str, _Poller] = field(default_factory=dict)
    waiting: list[_Waiting] = field(default_factory=list)
    sightings: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=SIGHTINGS)
    )


class Watcher(BaseComponent):
    """Keep the blackboard's TargetStates of held groups up to date."""

    channel = "*"

    def __init__(
        self, *, reactor: Reactor, board: Blackboard, placement: Placement
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._watched: dict[str, _Watched] = {}

    def wait_majority(
        self,
        group: str,
        position: Position,
        deadline: float,
        on_held: Callable[[bool], None],
    ) -> None:
        """Call back with True once a majority holds the position."""
        watched = self._watched.get(group)
        if watched is None:
            on_held(False)
            return
        if held_by_majority(watched.group, position):
            on_held(True)
            return
        waiting = _Waiting(
            position=position,
            on_held=on_held,
            timer=self._reactor.call_later(
                max(0.0, deadline - self._reactor.now()),
                lambda: self._give_up(watched, waiting),
            ),
        )
        watched.waiting.append(waiting)

    def saw(
        self, group: str, target: str, probe: Probe, asked_at: float
    ) -> None:
        """Take in what a target said of itself."""
        watched = self._watched.get(group)
        if watched is None:
            return
        state = watched.group.state(target)
        if probe.term < state.term or asked_at < state.asked_at:
            return
        state.term = probe.term
        state.role = probe.role
        state.received = probe.received
        state.applied = probe.applied
        state.last_term = probe.last_term
        state.leaving = probe.leaving
        state.asked_at = asked_at
        state.seen_at = self._reactor.now()
        self._judge_freshness(watched, target, asked_at)
        self._release(watched)

    @handler("group_changed")
    def _on_group_changed(self, name: str) -> None:
        self._follow(name)

    @handler("vms_changed")
    def _on_vms_changed(self) -> None:
        for name in list(self._board.groups):
            self._follow(name)

    def _follow(self, name: str) -> None:
        holders = self._placement.holders(name)
        mine = any(vm.name == self._board.me.name for vm in holders)
        group = self._board.groups.get(name)
        if not mine or group is None:
            watched = self._watched.pop(name, None)
            if watched is not None:
                for poller in watched.pollers.values():
                    poller.stop()
            return
        watched = self._watched.setdefault(name, _Watched(group=group))
        watched.group = group
        for target in group.record.targets:
            if target.name not in watched.pollers:
                poller = _Poller(watcher=self, group=name, target=target)
                watched.pollers[target.name] = poller
                poller.start()
        self._release(watched)

    def _judge_freshness(
        self, watched: _Watched, target: str, asked_at: float
    ) -> None:
        group = watched.group
        if target == group.record.primary:
            received = group.state(target).received
            watched.sightings.append((asked_at, received))
        for state in group.states.values():
            for seen_at, received in reversed(watched.sightings):
                if state.applied >= received:
                    state.fresh_at = max(state.fresh_at, seen_at)
                    break

    def _release(self, watched: _Watched) -> None:
        if not watched.waiting:
            return
        waiting, watched.waiting = watched.waiting, []
        for item in waiting:
            if held_by_majority(watched.group, item.position):
                item.timer.cancel()
                item.on_held(True)
            else:
                watched.waiting.append(item)

    def _give_up(self, watched: _Watched, waiting: _Waiting) -> None:
        if waiting in watched.waiting:
            watched.waiting.remove(waiting)
            waiting.on_held(False)


class _Poller:
    """The long poll of one target."""

    def __init__(
        self, *, watcher: Watcher, group: str, target: Target
    ) -> None:
        self._watcher = watcher
        self._reactor = watcher._reactor
        self._group = group
        self._target = target
        self._client = HttpClient(
            reactor=self._reactor, address=target.address
        )
        self._received = 0
        self._applied = 0
        self._asked_at = 0.0
        self._stopped = False

    def start(self) -> None:
        """Ask once, then again after each answer."""
        self._ask("/probe")

    def stop(self) -> None:
        """Ask no more."""
        self._stopped = True
        self._client.close()

    def _ask(self, path: str) -> None:
        if self._stopped:
            return
        self._asked_at = self._reactor.now()
        self._client.request("GET", path, b"", POLL_TIMEOUT, self._answered)

    def _answered(self, answer: HttpAnswer | HttpLost) -> None:
        if self._stopped:
            return
        probe = None
        if isinstance(answer, HttpAnswer) and answer.status == 200:
            probe = decode_probe(answer.body)
        if probe is None:
            self._reactor.call_later(RETRY_DELAY, self.start)
            return
        self._received = probe.received
        self._applied = probe.applied
        self._watcher.saw(
            self._group, self._target.name, probe, self._asked_at
        )
        self._ask(
            f"/positions?received={self._received}&applied={self._applied}"
            f"&wait_ms={POLL_MS}"
        )
