"""The first steps of a planned change: pause writes, let a target catch up."""

from __future__ import annotations

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Role
from bamboospring.change_actions import Action
from bamboospring.change_actions import Order
from bamboospring.change_actions import OrderKind
from bamboospring.change_object import ObjectUpdates
from bamboospring.change_plan import ChangePhase
from bamboospring.primary_choice import log_end
from bamboospring.target_api import ProbeResult

__all__ = ["PAUSE_PATIENCE", "PlannedSteps"]

# Seconds.
PAUSE_PATIENCE = 1.0
# A planned change starts only when its target lacks at most this many
# entries, so that the pause of writes is short.
NEARLY_CAUGHT_UP = 2000


class PlannedSteps(ObjectUpdates):
    """Pause the old primary, which works, until its successor is level."""

    def _try_pause(self, record: GroupRecord, now: float) -> list[Action]:
        primary = self._probes.get(record.primary)
        if primary is None or self._first_choice() not in self._probes:
            return []
        if not self._is_nearly_caught_up(record, primary):
            return self._end("the chosen target is behind", now)
        self._enter(ChangePhase.PAUSE, now)
        target = self._targets[record.primary]
        return [self._order(OrderKind.PAUSE, target, now, record.term)]

    def _first_choice(self) -> str:
        return self.plan.preferred[0] if self.plan.preferred else ""

    def _is_nearly_caught_up(
        self, record: GroupRecord, primary: ProbeResult
    ) -> bool:
        chosen = self._probes[self._first_choice()]
        works = primary.role is Role.PRIMARY and primary.term == record.term
        follows = chosen.last_term == primary.last_term
        lacking = primary.received - chosen.received
        return works and follows and lacking <= NEARLY_CAUGHT_UP

    def _paused(
        self, accepted: bool, probe: ProbeResult, now: float
    ) -> list[Action]:
        if not accepted:
            return self._give_up_pause(now)
        self._pause_end = log_end(probe)
        self._enter(ChangePhase.CATCH_UP, now)
        return [self._probe_chosen(now)]

    def _probe_chosen(self, now: float) -> Order:
        target = self._targets[self._first_choice()]
        return self._order(OrderKind.PROBE, target, now)

    def _check_caught_up(
        self, name: str, probe: ProbeResult, now: float
    ) -> list[Action]:
        if name != self._first_choice():
            return []
        if log_end(probe) < self._pause_end:
            return [self._probe_chosen(now)]
        return self._win(now)

    def _give_up_pause(self, now: float) -> list[Action]:
        assert self._object is not None
        record = self._object.record()
        assert record is not None
        self._end("pause or catching up took too long", now)
        target = self._targets[record.primary]
        return [self._order(OrderKind.RESUME, target, now, record.term)]
