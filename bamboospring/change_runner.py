"""Carry out changes of primary: orders to targets, calls to the platform.

Before each order it looks whether the lease still holds.
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

__all__ = ["ChangeRunner", "ROUND", "TICK"]

TICK = 0.1
CHANGE_TICK = 0.02
# Each target of a led group is asked this often for its role and position, or
# less often if that made more probes a second: a steward of 33 groups would
# else spend more bytes on its rounds than a VM has for control altogether.
ROUND = 2.0
FIRST_RETRY = 0.1
MAX_RETRY = 2.0
# Connections over which a steward's changes reach the platform: enough that
# the groups of a lost zone do not wait for each other at a slow platform.
LANES = 8


class ChangeRunner:
    """Run the changes of all groups that a VM leads.

    `round` is the steward's present time between looks at a group, `leads`
    tells whether it may act for a group, `publish` spreads a record.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        platform: PlatformClient,
        leads: Callable[[str], bool],
        publish: Callable[[GroupRecord], None],
        chance: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self._leads = leads
        self._publish = publish
        self._chance = chance
        self._nonce = f"{board.local_vm.name}/{secrets.token_hex(6)}"
        self._changes = 0
        self.round = ROUND

    def begin(
        self,
        name: str,
        group: Group,
        care: StewardGroupState,
        plan: ChangePlan,
    ) -> None:
        """Begin a change of the group's primary."""
        now = self._reactor.now()
        self._changes += 1
        change = PrimaryChange(
            group=name,
            targets=group.record.targets,
            plan=plan,
            nonce=f"{self._nonce}/{self._changes}",
        )
        care.change = change
        logs.log_event(
            "primary_change_begins",
            group=name,
            cause=plan.cause.value,
            old=plan.primary,
            old_term=plan.term,
            witnesses=self._witnesses(care, plan, now),
        )
        self._apply(name, care, change.begin(now))
        self._tick_change(name, care, change)

    def _witnesses(
        self, care: StewardGroupState, plan: ChangePlan, now: float
    ) -> str:
        found = care.suspicions.witnesses(plan.primary, plan.term, now)
        return ",".join(sorted(report.vm for report in found))

    def _tick_change(
        self, name: str, care: StewardGroupState, change: PrimaryChange
    ) -> None:
        if care.change is not change:
            return
        self._apply(name, care, change.tick(self._reactor.now()))
        again = partial(self._tick_change, name, care, change)
        self._reactor.call_later(CHANGE_TICK, again)

    def _apply(
        self, name: str, care: StewardGroupState, actions: list[Action]
    ) -> None:
        change = care.change
        if change is None:
            return
        if not self._leads(name):
            self.drop(name, care)
            return
        for action in actions:
            match action:
                case Order():
                    self._order(name, care, change, action)
                case ReadGroup():
                    self._read(name, care, change)
                case UpdateGroup():
                    self._update(name, care, change, action)
        if change.is_over and care.change is change:
            self._finish(name, care, change)

    def _order(
        self,
        name: str,
        care: StewardGroupState,
        change: PrimaryChange,
        order: Order,
    ) -> None:
        def answered(done: bool, probe: ProbeResult | None) -> None:
            if care.change is not change:
                return
            now = self._reactor.now()
            if probe is None:
                self._apply(name, care, change.on_no_answer(order, now))
            else:
                found = change.on_answer(order, done, probe, now)
                self._apply(name, care, found)

        send_order(self._reactor, order, answered)

    def _read(
        self, name: str, care: StewardGroupState, change: PrimaryChange
    ) -> None:
        def on_result(result: Found | Missing | Unavailable) -> None:
            if care.change is not change:
                return
            found = None
            if isinstance(result, Found):
                found = GroupObject(
                    name=name, version=result.version, value=result.value
                )
            now = self._reactor.now()
            self._apply(name, care, change.on_object_read(found, now))

        self._platform.get("group", name, self._lane(name), on_result)

    def _update(
        self,
        name: str,
        care: StewardGroupState,
        change: PrimaryChange,
        update: UpdateGroup,
    ) -> None:
        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            if care.change is not change:
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
            self._apply(name, care, actions)

        self._platform.put(
            "group",
            name,
            update.if_version,
            update.value,
            self._lane(name),
            on_result,
        )

    def _lane(self, name: str) -> str:
        return f"group/change-{shard_of(name) % LANES}"

    def _finish(
        self, name: str, care: StewardGroupState, change: PrimaryChange
    ) -> None:
        care.change = None
        care.probes.clear()
        now = self._reactor.now()
        if change.latest_record is not None:
            self._publish(change.latest_record)
        if change.phase is ChangePhase.DONE:
            care.failures = 0
            care.ordered = ""
            care.condemned_at = None
            care.round_at = now - self.round + 2 * TICK
        else:
            wait = min(MAX_RETRY, FIRST_RETRY * 2.0 ** min(care.failures, 8))
            care.failures += 1
            care.retry_at = now + wait * (0.5 + self._chance() / 2)
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

    def drop(self, name: str, care: StewardGroupState) -> None:
        """Give up a change whose lease was lost."""
        if care.change is None:
            return
        logs.log_event(
            "primary_change_dropped",
            level=logs.Level.WARNING,
            group=name,
            term=care.change.term,
            phase=care.change.phase.value,
            reason="lease_lost",
        )
        care.change = None


def _durations(change: PrimaryChange) -> dict[str, float]:
    """Return the milliseconds that each step took."""
    marks = change.marks
    return {
        f"{phase.value}_ms": round((marks[place + 1][1] - at) * 1000, 1)
        for place, (phase, at) in enumerate(marks[:-1])
    }
