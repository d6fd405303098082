"""Watches the targets of the groups that this VM holds.

One long poll per target returns its term, role and positions when they
change. Writes wait here until a majority holds them. A primary that is
unresponsive or refuses connections is reported as suspected: when the verdict
changes, and periodically while it lasts.
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
from bamboospring.http_client import HttpClient
from bamboospring.http_client import HttpFailure
from bamboospring.http_client import HttpResponse
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.rendezvous import Placement
from bamboospring.statements import Position
from bamboospring.suspicion import FailureDetector
from bamboospring.suspicion import FailureTiming
from bamboospring.suspicion import PauseDetector
from bamboospring.suspicion import TargetVerdict
from bamboospring.target_api import decode_probe
from bamboospring.target_api import ProbeResult

__all__ = ["TargetWatcher"]

# Seconds that a target may hold a poll without a change. A primary must answer
# well within the time after which it counts as unresponsive; nothing depends
# on a replica's answer without a change.
PRIMARY_POLL_TIMEOUT = 0.4
REPLICA_POLL_TIMEOUT = 1.0
# An answer that is later than this suggests a dead connection. Another one is
# opened, and can answer before the target counts as unresponsive.
POLL_TIMEOUT_MARGIN = 0.3
RETRY_DELAY = 0.1
EVALUATION_INTERVAL = 0.1
REPORT_INTERVAL = 1.0
# A failure within this time is a refusal by the target's machine, not a
# missing answer.
MAX_REFUSAL_DELAY = 0.2
# Number of samples of the primary's position that are kept to determine the
# age of a replica's data, and their minimum interval in seconds: together they
# cover at least 6.4 s.
MAX_SAMPLES = 128
SAMPLE_INTERVAL = 0.05
# How often a group that this VM no longer holds is checked for work.
LINGER_CHECK_INTERVAL = 0.5


# Receives group, target, term and the verdict on that primary.
OnVerdict = Callable[[str, str, int, TargetVerdict], None]


@dataclass(slots=True, kw_only=True, eq=False)
class _PendingWrite:
    position: Position
    on_complete: Callable[[bool], None]
    timer: Timer


@dataclass(slots=True, kw_only=True)
class _WatchedGroup:
    """The state of one watched group."""

    group: Group
    pollers: dict[str, _Poller] = field(default_factory=dict)
    pending_writes: list[_PendingWrite] = field(default_factory=list)
    samples: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_SAMPLES)
    )
    primary: str = ""
    suspected: bool = False
    next_report_at: float = -1e9
    next_hint_at: float = -1e9
    is_lingering: bool = False


class TargetWatcher(BaseComponent):
    """Keep the blackboard's target states of held groups up to date."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        timing: FailureTiming = FailureTiming(),
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._timing = timing
        self._watched: dict[str, _WatchedGroup] = {}
        self._pause_detector = PauseDetector(threshold=timing.pause_threshold)
        self.on_verdict: OnVerdict | None = None
        # Receives a group and term for which a steward must act.
        self.on_hint: Callable[[str, int], None] | None = None
        # Returns whether this process still has work of a group.
        self.has_pending_work: Callable[[str], bool] = lambda name: False

    def wait_for_majority(
        self,
        group: str,
        position: Position,
        deadline: float,
        on_complete: Callable[[bool], None],
    ) -> None:
        """Call back with True once a majority holds the position.

        The result is False if the deadline passes or the term is over.
        """
        watched = self._watched.get(group)
        if watched is None:
            on_complete(False)
            return
        if held_by_majority(watched.group, position):
            on_complete(True)
            return
        write = _PendingWrite(
            position=position,
            on_complete=on_complete,
            timer=self._reactor.call_later(
                max(0.0, deadline - self._reactor.now()),
                lambda: self._expire_write(watched, write),
            ),
        )
        watched.pending_writes.append(write)

    def record_probe(
        self, group: str, target: str, probe: ProbeResult, asked_at: float
    ) -> None:
        """Record a target's report of its state."""
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
            self._send_hint(group, watched)
        self._update_caught_up(watched, target, asked_at)
        self._complete_writes(watched)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._evaluate()

    def _evaluate(self) -> None:
        """Evaluate the primaries of all watched groups."""
        now = self._reactor.now()
        self._pause_detector.tick(now)
        for name, watched in self._watched.items():
            self._evaluate_primary(name, watched, now)
        self._reactor.call_later(EVALUATION_INTERVAL, self._evaluate)

    def _evaluate_primary(
        self, name: str, watched: _WatchedGroup, now: float
    ) -> None:
        record = watched.group.record
        poller = watched.pollers.get(record.primary)
        if poller is None or self.on_verdict is None:
            return
        verdict = poller.failure_detector.verdict(
            now, self._pause_detector.running_since
        )
        changed = verdict.suspected != watched.suspected
        due = verdict.suspected and now >= watched.next_report_at
        if changed or due:
            watched.suspected = verdict.suspected
            watched.next_report_at = now + REPORT_INTERVAL
            self.on_verdict(name, record.primary, record.term, verdict)

    def _send_hint(self, name: str, watched: _WatchedGroup) -> None:
        """Tell the stewards at once, and again periodically, to probe a group.

        A steward's probe rounds are infrequent, and a primary that leaves
        already refuses new work, so there are no writes until the hand-over.
        """
        now = self._reactor.now()
        if self.on_hint is not None and now >= watched.next_hint_at:
            watched.next_hint_at = now + REPORT_INTERVAL
            self.on_hint(name, watched.group.record.term)

    @handler("group_changed")
    def _on_group_changed(self, name: str) -> None:
        self._update_group(name)

    @handler("vms_changed", "placement_changed")
    def _on_vms_changed(self) -> None:
        for name in list(self._board.groups):
            self._update_group(name)

    def _update_group(self, name: str) -> None:
        holders = self._placement.holders(name)
        is_holder = any(vm.name == self._board.local_vm.name for vm in holders)
        group = self._board.groups.get(name)
        if group is None or not (is_holder or self._should_linger(name)):
            watched = self._watched.pop(name, None)
            if watched is not None:
                for poller in watched.pollers.values():
                    poller.stop()
            return
        watched = self._watched.setdefault(name, _WatchedGroup(group=group))
        watched.group = group
        self._stop_removed(watched)
        self._update_primary(watched)
        for target in group.record.targets:
            if target.name not in watched.pollers:
                poller = _Poller(watcher=self, group=name, target=target)
                watched.pollers[target.name] = poller
                poller.start()
        self._complete_writes(watched)

    def _should_linger(self, name: str) -> bool:
        """Return whether a group is still watched that other VMs hold now.

        Writes in flight and open transactions end on this VM. Without this,
        no majority would be observed to hold them, and the caller of a
        completed commit would get the outcome unknown.
        """
        watched = self._watched.get(name)
        if watched is None:
            return False
        if not (watched.pending_writes or self.has_pending_work(name)):
            return False
        if not watched.is_lingering:
            watched.is_lingering = True
            self._reactor.call_later(
                LINGER_CHECK_INTERVAL, lambda: self._recheck_group(watched)
            )
        return True

    def _recheck_group(self, watched: _WatchedGroup) -> None:
        watched.is_lingering = False
        self._update_group(watched.group.record.name)

    def _update_primary(self, watched: _WatchedGroup) -> None:
        """Give a new primary additional time for its first answer.

        As a replica it was polled less often, so its last answer may be older
        than is allowed for a primary.
        """
        primary = watched.group.record.primary
        if primary == watched.primary:
            return
        watched.primary = primary
        watched.suspected = False
        poller = watched.pollers.get(primary)
        if poller is not None:
            grace = REPLICA_POLL_TIMEOUT - PRIMARY_POLL_TIMEOUT
            poller.failure_detector.record_answer(self._reactor.now() + grace)

    def _stop_removed(self, watched: _WatchedGroup) -> None:
        targets = watched.group.record.targets
        for name, poller in list(watched.pollers.items()):
            if poller.target not in targets:
                poller.stop()
                del watched.pollers[name]

    def _update_caught_up(
        self, watched: _WatchedGroup, target: str, asked_at: float
    ) -> None:
        group = watched.group
        if target == group.record.primary:
            self._record_sample(watched, asked_at)
        for state in group.states.values():
            for sampled_at, received in reversed(watched.samples):
                if state.applied >= received:
                    state.caught_up_at = max(state.caught_up_at, sampled_at)
                    break

    def _record_sample(self, watched: _WatchedGroup, asked_at: float) -> None:
        # A primary under constant writes answers hundreds of times a second.
        # If all samples were kept, they would cover so short a time that the
        # age of a replica further behind would be unknown.
        samples = watched.samples
        if samples and asked_at - samples[-1][0] < SAMPLE_INTERVAL:
            return
        state = watched.group.state(watched.group.record.primary)
        samples.append((asked_at, state.received))

    def _complete_writes(self, watched: _WatchedGroup) -> None:
        if not watched.pending_writes:
            return
        pending, watched.pending_writes = watched.pending_writes, []
        for write in pending:
            is_held = held_by_majority(watched.group, write.position)
            # Targets at a later term do not count for the old one any more, so
            # further waiting would only delay the answer.
            is_term_over = watched.group.record.term > write.position.term
            if is_held or is_term_over:
                write.timer.cancel()
                write.on_complete(is_held)
            else:
                watched.pending_writes.append(write)

    def _expire_write(
        self, watched: _WatchedGroup, write: _PendingWrite
    ) -> None:
        if write in watched.pending_writes:
            watched.pending_writes.remove(write)
            write.on_complete(False)


def _needs_steward(
    record: GroupRecord, target: str, probe: ProbeResult
) -> bool:
    """Return whether a primary leaves or another target must rejoin."""
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
        self.failure_detector = FailureDetector(
            timing=watcher._timing, now=watcher._reactor.now()
        )
        self._client = HttpClient(
            reactor=self._reactor, address=target.address
        )
        self._asked_at = 0.0
        # The target's last report on this connection, if it had a state tag.
        self._known_probe: ProbeResult | None = None
        self._stopped = False

    def start(self) -> None:
        """Probe the target, then poll again after each answer."""
        self._known_probe = None
        self._ask("/probe")

    def stop(self) -> None:
        """Stop polling."""
        self._stopped = True
        self._client.close()

    def _ask(self, path: str) -> None:
        if self._stopped:
            return
        self._asked_at = self._reactor.now()
        timeout = self._poll_wait() + POLL_TIMEOUT_MARGIN
        self._client.request("GET", path, b"", timeout, self._on_answer)

    def _poll_wait(self) -> float:
        group = self._watcher._board.groups.get(self._group)
        primary = group.record.primary if group is not None else ""
        is_primary = self.target.name == primary
        return PRIMARY_POLL_TIMEOUT if is_primary else REPLICA_POLL_TIMEOUT

    def _on_answer(self, answer: HttpResponse | HttpFailure) -> None:
        if self._stopped:
            return
        probe = self._decode_answer(answer)
        now = self._reactor.now()
        if probe is None:
            self._record_failure(now)
            self._reactor.call_later(RETRY_DELAY, self.start)
            return
        self.failure_detector.record_answer(now)
        self._watcher.record_probe(
            self._group, self.target.name, probe, self._asked_at
        )
        self._known_probe = probe if probe.state_tag else None
        wait_ms = int(self._poll_wait() * 1000)
        self._ask(f"/positions?{_known_query(probe)}&wait_ms={wait_ms}")

    def _decode_answer(
        self, answer: HttpResponse | HttpFailure
    ) -> ProbeResult | None:
        """Decode a report; an answer without a body repeats the last one.

        The target compares its whole report with the named state, so an
        answer without a body is as reliable as one with a body. If the
        request named no state, such an answer has no meaning and counts as a
        failure.
        """
        match answer:
            case HttpResponse(status=HTTPStatus.OK):
                return decode_probe(answer.body)
            case HttpResponse(status=HTTPStatus.NO_CONTENT):
                return self._known_probe
        return None

    def _record_failure(self, now: float) -> None:
        if now - self._asked_at < MAX_REFUSAL_DELAY:
            self.failure_detector.record_refusal(now)
        else:
            self.failure_detector.record_failure()


def _known_query(probe: ProbeResult) -> str:
    """Return the query that names the known state, by its tag if any."""
    if probe.state_tag:
        return f"seen={probe.state_tag}"
    return (
        f"received={probe.received}&applied={probe.applied}"
        f"&term={probe.term}&role={probe.role.value}"
        f"&leaving={int(probe.leaving)}"
    )
