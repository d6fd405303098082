"""Runs changes of primary: sends orders to targets and calls the platform.

The lease is checked before each order.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
import secrets

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring import logs
from bamboospring.platform_client import Conflict
from bamboospring.platform_client import Found
from bamboospring.platform_client import Missing
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_client import Rejected
from bamboospring.platform_client import Stored
from bamboospring.platform_client import Unavailable
from bamboospring.primary_change import Action
from bamboospring.primary_change import ChangePhase
from bamboospring.primary_change import ChangePlan
from bamboospring.primary_change import GroupObject
from bamboospring.primary_change import Order
from bamboospring.primary_change import PrimaryChange
from bamboospring.primary_change import ReadGroup
from bamboospring.primary_change import UpdateGroup
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import shard_of
from bamboospring.steward_state import StewardGroupState
from bamboospring.target_api import ProbeResult
from bamboospring.target_orders import send_order

__all__ = ["ChangeRunner", "PROBE_ROUND_INTERVAL", "TICK_INTERVAL"]

TICK_INTERVAL = 0.1
CHANGE_TICK_INTERVAL = 0.02
# How often each target of a led group is probed for its role and position. The
# interval grows with the number of targets, so that the probes per second are
# bounded: a steward of 33 groups would otherwise spend more bytes on probes
# than a VM's whole budget for control traffic.
PROBE_ROUND_INTERVAL = 2.0
FIRST_RETRY_DELAY = 0.1
MAX_RETRY_DELAY = 2.0
# Number of connections over which a steward's changes call the platform, so
# that the groups of a lost zone do not wait for each other if it is slow.
PLATFORM_CONNECTIONS = 8


class ChangeRunner:
    """Run the changes of all groups that a VM leads.

    `probe_round_interval` is the steward's present interval between probes of
    a group, `is_leader` returns whether it may act for a group, and `publish`
    distributes a record.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        platform: PlatformClient,
        is_leader: Callable[[str], bool],
        publish: Callable[[GroupRecord], None],
        random_float: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._is_leader = is_leader
        self._publish = publish
        self._random_float = random_float
        self._nonce = f"{board.local_vm.name}/{secrets.token_hex(6)}"
        self._change_count = 0
        self.probe_round_interval = PROBE_ROUND_INTERVAL

    def begin(
        self,
        name: str,
        group: Group,
        state: StewardGroupState,
        plan: ChangePlan,
    ) -> None:
        """Start a change of the group's primary."""
        now = self._reactor.now()
        self._change_count += 1
        change = PrimaryChange(
            group=name,
            targets=group.record.targets,
            plan=plan,
            nonce=f"{self._nonce}/{self._change_count}",
        )
        state.change = change
        logs.log_event(
            "primary_change_begins",
            group=name,
            cause=plan.cause.value,
            old=plan.primary,
            old_term=plan.term,
            witnesses=self._witnesses(state, plan, now),
        )
        self._apply(name, state, change.begin(now))
        self._tick_change(name, state, change)

    def _witnesses(
        self, state: StewardGroupState, plan: ChangePlan, now: float
    ) -> str:
        found = state.suspicions.valid_reports(plan.primary, plan.term, now)
        return ",".join(sorted(report.vm for report in found))

    def _tick_change(
        self, name: str, state: StewardGroupState, change: PrimaryChange
    ) -> None:
        if state.change is not change:
            return
        self._apply(name, state, change.tick(self._reactor.now()))
        again = partial(self._tick_change, name, state, change)
        self._reactor.call_later(CHANGE_TICK_INTERVAL, again)

    def _apply(
        self, name: str, state: StewardGroupState, actions: list[Action]
    ) -> None:
        change = state.change
        if change is None:
            return
        if not self._is_leader(name):
            self.abandon(name, state)
            return
        for action in actions:
            match action:
                case Order():
                    self._send_order(name, state, change, action)
                case ReadGroup():
                    self._read_object(name, state, change)
                case UpdateGroup():
                    self._update_object(name, state, change, action)
        if change.is_over and state.change is change:
            self._finish(name, state, change)

    def _send_order(
        self,
        name: str,
        state: StewardGroupState,
        change: PrimaryChange,
        order: Order,
    ) -> None:
        def on_answer(done: bool, probe: ProbeResult | None) -> None:
            if state.change is not change:
                return
            now = self._reactor.now()
            if probe is None:
                self._apply(name, state, change.on_no_answer(order, now))
            else:
                found = change.on_answer(order, done, probe, now)
                self._apply(name, state, found)

        send_order(self._reactor, order, on_answer)

    def _read_object(
        self, name: str, state: StewardGroupState, change: PrimaryChange
    ) -> None:
        def on_result(result: Found | Missing | Unavailable) -> None:
            if state.change is not change:
                return
            found = None
            if isinstance(result, Found):
                found = GroupObject(
                    name=name, version=result.version, value=result.value
                )
            now = self._reactor.now()
            self._apply(name, state, change.on_object_read(found, now))

        self._platform.get("group", name, self._purpose(name), on_result)

    def _update_object(
        self,
        name: str,
        state: StewardGroupState,
        change: PrimaryChange,
        update: UpdateGroup,
    ) -> None:
        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            if state.change is not change:
                return
            now = self._reactor.now()
            match result:
                case Stored():
                    actions = change.on_updated(result.version, now)
                case Conflict() if result.value is not None:
                    found = GroupObject(
                        name=name, version=result.version, value=result.value
                    )
                    actions = change.on_conflict(found, now)
                case _:
                    actions = change.on_update_unanswered(now)
            self._apply(name, state, actions)

        self._platform.put(
            "group",
            name,
            update.if_version,
            update.value,
            self._purpose(name),
            on_result,
        )

    def _purpose(self, name: str) -> str:
        return f"group/change-{shard_of(name) % PLATFORM_CONNECTIONS}"

    def _finish(
        self, name: str, state: StewardGroupState, change: PrimaryChange
    ) -> None:
        state.change = None
        state.probes.clear()
        now = self._reactor.now()
        if change.latest_record is not None:
            self._publish(change.latest_record)
        if change.phase is ChangePhase.DONE:
            state.failed_changes = 0
            state.ordered_target = ""
            state.failed_since = None
            state.last_round_at = (
                now - self.probe_round_interval + 2 * TICK_INTERVAL
            )
        else:
            delay = min(
                MAX_RETRY_DELAY,
                FIRST_RETRY_DELAY * 2.0 ** min(state.failed_changes, 8),
            )
            state.failed_changes += 1
            state.retry_at = now + delay * (0.5 + self._random_float() / 2)
        self._log_end(name, change, now)

    def _log_end(self, name: str, change: PrimaryChange, now: float) -> None:
        done = change.phase is ChangePhase.DONE
        logs.log_event(
            "primary_changed" if done else "primary_change_ended",
            level=logs.Level.INFO if done else logs.Level.WARNING,
            group=name,
            cause=change.plan.cause.value,
            term=change.term,
            primary=change.primary,
            reason=change.reason,
            **_durations(change),
        )

    def abandon(self, name: str, state: StewardGroupState) -> None:
        """Abandon a change because its lease was lost."""
        if state.change is None:
            return
        logs.log_event(
            "primary_change_dropped",
            level=logs.Level.WARNING,
            group=name,
            term=state.change.term,
            phase=state.change.phase.value,
            reason="lease_lost",
        )
        state.change = None


def _durations(change: PrimaryChange) -> dict[str, float]:
    """Return the duration of each phase in milliseconds."""
    marks = change.phase_starts
    return {
        f"{phase.value}_ms": round((marks[place + 1][1] - at) * 1000, 1)
        for place, (phase, at) in enumerate(marks[:-1])
    }
