"""A holder's watch over the targets of its groups.

One long poll for each target tells of its term, role and positions as they
change. Writes wait here until a majority holds them. A primary that is silent
or refuses connections is reported as suspected, on change and slowly again
while it lasts.
"""

from __future__ import annotations

from collections.abc import Callable
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from http import HTTPStatus
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import handler

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Role
from bamboospring.blackboard import Target
from bamboospring.commit import held_by_majority
from bamboospring.http_client import HttpAnswer
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpLost
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.rendezvous import Placement
from bamboospring.statements import Position
from bamboospring.suspicion import AwakeClock
from bamboospring.suspicion import TargetVerdict
from bamboospring.suspicion import TargetWatch
from bamboospring.suspicion import WatchTiming
from bamboospring.target_api import decode_probe
from bamboospring.target_api import ProbeResult

__all__ = ["TargetWatcher"]

# Seconds. A primary must say something well within the time after which its
# silence counts; of a replica nothing depends on hearing it without a change.
PRIMARY_POLL = 0.4
REPLICA_POLL = 1.0
# An answer that is this late means a dead connection first of all: another is
# opened, and has been heard before the silence counts against the target.
POLL_MARGIN = 0.3
RETRY_DELAY = 0.1
JUDGE_INTERVAL = 0.1
REPEAT_REPORT = 1.0
# A failure that comes this fast is the other machine's word, not silence.
PROMPT = 0.2
# How many sightings of the primary's position are kept to tell how old a
# replica's data is, and how far apart in seconds: they cover 6.4 s or more.
SIGHTINGS = 128
SIGHTING_INTERVAL = 0.05
# How often a group that others hold now is looked at, while work is left.
LINGER_CHECK = 0.5


# Gets group, target, term and the judgement of that primary.
OnVerdict = Callable[[str, str, int, TargetVerdict], None]


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
    primary: str = ""
    suspected: bool = False
    report_at: float = -1e9
    hint_at: float = -1e9
    lingers: bool = False


class TargetWatcher(BaseComponent):
    """Keep the blackboard's TargetStates of held groups up to date."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        timing: WatchTiming = WatchTiming(),
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._timing = timing
        self._watched: dict[str, _Watched] = {}
        self._awake = AwakeClock(pause=timing.pause)
        self.on_verdict: OnVerdict | None = None
        # Gets the group and term in which a steward has something to do.
        self.on_hint: Callable[[str, int], None] | None = None
        # Says whether this process still has work of a group.
        self.has_pending_work: Callable[[str], bool] = lambda name: False

    def wait_for_majority(
        self,
        group: str,
        position: Position,
        deadline: float,
        on_complete: Callable[[bool], None],
    ) -> None:
        """Call back with True once a majority holds the position."""
        watched = self._watched.get(group)
        if watched is None:
            on_complete(False)
            return
        if held_by_majority(watched.group, position):
            on_complete(True)
            return
        waiting = _Waiting(
            position=position,
            on_held=on_complete,
            timer=self._reactor.call_later(
                max(0.0, deadline - self._reactor.now()),
                lambda: self._give_up(watched, waiting),
            ),
        )
        watched.waiting.append(waiting)

    def saw(
        self, group: str, target: str, probe: ProbeResult, asked_at: float
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
        state.last_response_at = self._reactor.now()
        record = watched.group.record
        if _needs_steward(record, target, probe):
            self._hint(group, watched)
        self._judge_freshness(watched, target, asked_at)
        self._release(watched)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._judge()

    def _judge(self) -> None:
        """Judge the primaries of all watched groups."""
        now = self._reactor.now()
        self._awake.tick(now)
        for name, watched in self._watched.items():
            self._judge_primary(name, watched, now)
        self._reactor.call_later(JUDGE_INTERVAL, self._judge)

    def _judge_primary(self, name: str, watched: _Watched, now: float) -> None:
        record = watched.group.record
        poller = watched.pollers.get(record.primary)
        if poller is None or self.on_verdict is None:
            return
        verdict = poller.watch.verdict(now, self._awake.since)
        changed = verdict.suspected != watched.suspected
        due = verdict.suspected and now >= watched.report_at
        if changed or due:
            watched.suspected = verdict.suspected
            watched.report_at = now + REPEAT_REPORT
            self.on_verdict(name, record.primary, record.term, verdict)

    def _hint(self, name: str, watched: _Watched) -> None:
        """Tell at once, and slowly again, that a steward should look.

        A steward's own round is slow, and a primary that leaves refuses new
        work already: each moment until the hand-over is one without writes.
        """
        now = self._reactor.now()
        if self.on_hint is not None and now >= watched.hint_at:
            watched.hint_at = now + REPEAT_REPORT
            self.on_hint(name, watched.group.record.term)

    @handler("group_changed")
    def _on_group_changed(self, name: str) -> None:
        self._follow(name)

    @handler("vms_changed", "placement_changed")
    def _on_vms_changed(self) -> None:
        for name in list(self._board.groups):
            self._follow(name)

    def _follow(self, name: str) -> None:
        holders = self._placement.holders(name)
        mine = any(vm.name == self._board.local_vm.name for vm in holders)
        group = self._board.groups.get(name)
        if group is None or not (mine or self._lingers(name)):
            watched = self._watched.pop(name, None)
            if watched is not None:
                for poller in watched.pollers.values():
                    poller.stop()
            return
        watched = self._watched.setdefault(name, _Watched(group=group))
        watched.group = group
        self._stop_removed(watched)
        self._note_primary(watched)
        for target in group.record.targets:
            if target.name not in watched.pollers:
                poller = _Poller(watcher=self, group=name, target=target)
                watched.pollers[target.name] = poller
                poller.start()
        self._release(watched)

    def _lingers(self, name: str) -> bool:
        """Tell whether a group is still watched though others hold it now.

        A write under way or an open transaction ends here. Without this no
        majority would ever be seen to hold it: its caller would be told
        unknown of a commit that is done.
        """
        watched = self._watched.get(name)
        if watched is None:
            return False
        if not (watched.waiting or self.has_pending_work(name)):
            return False
        if not watched.lingers:
            watched.lingers = True
            self._reactor.call_later(LINGER_CHECK, lambda: self._look(watched))
        return True

    def _look(self, watched: _Watched) -> None:
        watched.lingers = False
        self._follow(watched.group.record.name)

    def _note_primary(self, watched: _Watched) -> None:
        """Give a new primary the time to be heard as such.

        As a replica it was asked less often, so it may have been silent for
        longer than a primary may be.
        """
        primary = watched.group.record.primary
        if primary == watched.primary:
            return
        watched.primary = primary
        watched.suspected = False
        poller = watched.pollers.get(primary)
        if poller is not None:
            grace = REPLICA_POLL - PRIMARY_POLL
            poller.watch.heard(self._reactor.now() + grace)

    def _stop_removed(self, watched: _Watched) -> None:
        targets = watched.group.record.targets
        for name, poller in list(watched.pollers.items()):
            if poller.target not in targets:
                poller.stop()
                del watched.pollers[name]

    def _judge_freshness(
        self, watched: _Watched, target: str, asked_at: float
    ) -> None:
        group = watched.group
        if target == group.record.primary:
            self._note_sighting(watched, asked_at)
        for state in group.states.values():
            for seen_at, received in reversed(watched.sightings):
                if state.applied >= received:
                    state.caught_up_at = max(state.caught_up_at, seen_at)
                    break

    def _note_sighting(self, watched: _Watched, asked_at: float) -> None:
        # A primary that writes all the time is seen hundreds of times a
        # second. Kept all, the sightings would cover so short a time that a
        # replica further behind would count as of unknown age.
        sightings = watched.sightings
        if sightings and asked_at - sightings[-1][0] < SIGHTING_INTERVAL:
            return
        state = watched.group.state(watched.group.record.primary)
        sightings.append((asked_at, state.received))

    def _release(self, watched: _Watched) -> None:
        if not watched.waiting:
            return
        waiting, watched.waiting = watched.waiting, []
        for item in waiting:
            held = held_by_majority(watched.group, item.position)
            # Targets that have left for a later term are not counted at the
            # old one any more, so waiting on would only hold back the answer.
            lost = watched.group.record.term > item.position.term
            if held or lost:
                item.timer.cancel()
                item.on_held(held)
            else:
                watched.waiting.append(item)

    def _give_up(self, watched: _Watched, waiting: _Waiting) -> None:
        if waiting in watched.waiting:
            watched.waiting.remove(waiting)
            waiting.on_held(False)


def _needs_steward(
    record: GroupRecord, target: str, probe: ProbeResult
) -> bool:
    """Tell whether a target leaves as primary, or does not follow one."""
    if not record.primary:
        return False
    if target == record.primary:
        return probe.leaving
    return probe.term < record.term or probe.role is not Role.REPLICA


class _Poller:
    """The long poll of one target."""

    def __init__(
        self, *, watcher: TargetWatcher, group: str, target: Target
    ) -> None:
        self._watcher = watcher
        self._reactor = watcher._reactor
        self._group = group
        self.target = target
        self.watch = TargetWatch(
            timing=watcher._timing, now=watcher._reactor.now()
        )
        self._client = HttpClient(
            reactor=self._reactor, address=target.address
        )
        self._asked_at = 0.0
        # What the target said last on this connection, if it named a state.
        self._known: ProbeResult | None = None
        self._stopped = False

    def start(self) -> None:
        """Ask once, then again after each answer."""
        self._known = None
        self._ask("/probe")

    def stop(self) -> None:
        """Ask no more."""
        self._stopped = True
        self._client.close()

    def _ask(self, path: str) -> None:
        if self._stopped:
            return
        self._asked_at = self._reactor.now()
        timeout = self._wait() + POLL_MARGIN
        self._client.request("GET", path, b"", timeout, self._answered)

    def _wait(self) -> float:
        group = self._watcher._board.groups.get(self._group)
        primary = group.record.primary if group is not None else ""
        is_primary = self.target.name == primary
        return PRIMARY_POLL if is_primary else REPLICA_POLL

    def _answered(self, answer: HttpAnswer | HttpLost) -> None:
        if self._stopped:
            return
        probe = self._read(answer)
        now = self._reactor.now()
        if probe is None:
            self._note_failure(now)
            self._reactor.call_later(RETRY_DELAY, self.start)
            return
        self.watch.heard(now)
        self._watcher.saw(self._group, self.target.name, probe, self._asked_at)
        self._known = probe if probe.state_tag else None
        wait_ms = int(self._wait() * 1000)
        self._ask(f"/positions?{_seen(probe)}&wait_ms={wait_ms}")

    def _read(self, answer: HttpAnswer | HttpLost) -> ProbeResult | None:
        """Return what the target says; nothing new is what it said last.

        The target compares all of its account, so that an answer without a
        body is as good a sighting as one with it. To one that was not told
        what we know such an answer says nothing, and counts as a failure.
        """
        match answer:
            case HttpAnswer(status=HTTPStatus.OK):
                return decode_probe(answer.body)
            case HttpAnswer(status=HTTPStatus.NO_CONTENT):
                return self._known
        return None

    def _note_failure(self, now: float) -> None:
        if now - self._asked_at < PROMPT:
            self.watch.refused(now)
        else:
            self.watch.lost()


def _seen(probe: ProbeResult) -> str:
    """Return what to name to a target as known: its state's name, if any."""
    if probe.state_tag:
        return f"seen={probe.state_tag}"
    return (
        f"received={probe.received}&applied={probe.applied}"
        f"&term={probe.term}&role={probe.role.value}"
        f"&leaving={int(probe.leaving)}"
    )
