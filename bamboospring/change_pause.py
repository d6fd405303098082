"""First phases of a planned change: pause writes, let a target catch up."""

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

__all__ = ["PAUSE_TIMEOUT", "PlannedSteps"]

# Seconds.
PAUSE_TIMEOUT = 1.0
# A planned change starts only if its target lacks at most this many log
# entries, so that writes are paused only briefly.
MAX_LAG_ENTRIES = 2000


class PlannedSteps(ObjectUpdates):
    """Pause a working primary until its successor has caught up."""

    def _try_pause(self, record: GroupRecord, now: float) -> list[Action]:
        primary = self._probes.get(record.primary)
        if primary is None or self._preferred_target() not in self._probes:
            return []
        if not self._is_nearly_caught_up(record, primary):
            return self._end("the chosen target lags too far behind", now)
        self._enter_phase(ChangePhase.PAUSE, now)
        target = self._targets[record.primary]
        return [self._make_order(OrderKind.PAUSE, target, now, record.term)]

    def _preferred_target(self) -> str:
        return self.plan.preferred[0] if self.plan.preferred else ""

    def _is_nearly_caught_up(
        self, record: GroupRecord, primary: ProbeResult
    ) -> bool:
        preferred = self._probes[self._preferred_target()]
        is_working = (
            primary.role is Role.PRIMARY and primary.term == record.term
        )
        same_log_term = preferred.last_term == primary.last_term
        lag = primary.received - preferred.received
        return is_working and same_log_term and lag <= MAX_LAG_ENTRIES

    def _on_pause_answer(
        self, accepted: bool, probe: ProbeResult, now: float
    ) -> list[Action]:
        if not accepted:
            return self._give_up_pause(now)
        self._paused_log_end = log_end(probe)
        self._enter_phase(ChangePhase.CATCH_UP, now)
        return [self._probe_preferred(now)]

    def _probe_preferred(self, now: float) -> Order:
        target = self._targets[self._preferred_target()]
        return self._make_order(OrderKind.PROBE, target, now)

    def _check_caught_up(
        self, name: str, probe: ProbeResult, now: float
    ) -> list[Action]:
        if name != self._preferred_target():
            return []
        if log_end(probe) < self._paused_log_end:
            return [self._probe_preferred(now)]
        return self._win_term(now)

    def _give_up_pause(self, now: float) -> list[Action]:
        assert self._object is not None
        record = self._object.record()
        assert record is not None
        self._end("pausing or catching up timed out", now)
        target = self._targets[record.primary]
        return [self._make_order(OrderKind.RESUME, target, now, record.term)]
