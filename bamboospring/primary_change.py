"""One change of a group's primary, step by step.

    probe -> [pause, catch up] -> win -> fence -> promote -> record -> done

A change first wins a term by a conditional update of the group's object,
which from then on names no primary. It then stops a majority of the targets
at that term. Whatever was acknowledged is held by a majority, so by at least
one of the stopped ones, and none of them takes anything from the old primary
any more. The most advanced of them therefore holds all acknowledged writes;
it is promoted and recorded.

Every order carries the term, and targets refuse lower ones, so a steward
that was paused at any step harms nothing when it goes on. Orders may be sent
again: each is idempotent at its term. Of an unanswered update nothing is
believed; the object is read back, and the nonce in it tells whose it is. At
most one target is ever told to be primary at a term: when that one does not
answer, the change ends, and the next one wins a term of its own.

This module does no I/O. Each method returns the actions to carry out.
"""

from __future__ import annotations

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Role
from bamboospring.change_actions import Action
from bamboospring.change_actions import GroupObject
from bamboospring.change_actions import Order
from bamboospring.change_actions import OrderKind
from bamboospring.change_actions import ReadGroup
from bamboospring.change_actions import UpdateGroup
from bamboospring.change_base import RESEND
from bamboospring.change_pause import PAUSE_PATIENCE
from bamboospring.change_pause import PlannedSteps
from bamboospring.change_plan import ChangeCause
from bamboospring.change_plan import ChangePhase
from bamboospring.change_plan import ChangePlan
from bamboospring.primary_choice import choose_primary
from bamboospring.primary_choice import log_end
from bamboospring.target_api import ProbeResult

__all__ = [
    "Action",
    "ChangeCause",
    "PrimaryChange",
    "GroupObject",
    "Order",
    "OrderKind",
    "ChangePhase",
    "ChangePlan",
    "ReadGroup",
    "UpdateGroup",
    "choose_primary",
    "log_end",
]

# Seconds.
PROBE_PATIENCE = 1.0
PROMOTE_PATIENCE = 1.5
# Once a majority is stopped the others get this much longer to be heard.
FENCE_GRACE = 0.05
# A primary that others take for failed gets this long to answer the steward.
PROBE_GRACE = 0.05


class PrimaryChange(PlannedSteps):
    """One attempt to change a group's primary, under one term."""

    # Events.

    def begin(self, now: float) -> list[Action]:
        """Start: ask all targets and the platform how things stand."""
        self._enter(ChangePhase.PROBE, now)
        self._calling = True
        actions: list[Action] = [ReadGroup()]
        return actions + self._order_all(OrderKind.PROBE, now)

    def on_answer(
        self,
        order: Order,
        accepted: bool,
        probe: ProbeResult | None,
        now: float,
    ) -> list[Action]:
        """Take in a target's answer; `accepted` is false for a 409."""
        self._sent.pop((order.kind, order.target.name), None)
        if self.is_over or probe is None:
            return []
        name = order.target.name
        match order.kind:
            case OrderKind.PROBE if self.phase is ChangePhase.PROBE:
                self._probes[name] = probe
                return self._try_leave_probe(now)
            case OrderKind.PROBE if self.phase is ChangePhase.CATCH_UP:
                return self._check_caught_up(name, probe, now)
            case OrderKind.PAUSE if self.phase is ChangePhase.PAUSE:
                return self._paused(accepted, probe, now)
            case OrderKind.FENCE if order.term == self.term:
                return self._stopped(name, accepted, probe, now)
            case OrderKind.PROMOTE if order.term == self.term:
                return self._promoted(accepted, probe, now)
        return []

    def on_no_answer(self, order: Order, now: float) -> list[Action]:
        """Take in that no answer came; `tick` sends the order again."""
        if self.phase is ChangePhase.PROBE:
            self._probe_lost.add(order.target.name)
            return self._try_leave_probe(now)
        return []

    def on_object_read(
        self, found: GroupObject | None, now: float
    ) -> list[Action]:
        """Take in the group's object; None: the platform did not answer."""
        self._calling = False
        if self.is_over:
            return []
        if found is None:
            self._call_again_at = now + RESEND
            return []
        match self.phase:
            case ChangePhase.PROBE:
                self._object = found
                return self._try_leave_probe(now)
            case ChangePhase.WIN | ChangePhase.RECORD:
                return self._resolve(found, now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Send again what was lost and give up what takes too long."""
        if self.is_over:
            return []
        waited = now - self._phase_at
        match self.phase:
            case ChangePhase.PROBE if waited > PROBE_PATIENCE:
                return self._end("no majority answers", now)
            case ChangePhase.PROBE if waited > PROBE_GRACE:
                self._probe_lost.add(self.plan.failed)
                actions = self._try_leave_probe(now)
                if actions or self.is_over:
                    return actions
            case ChangePhase.PAUSE | ChangePhase.CATCH_UP if (
                waited > PAUSE_PATIENCE
            ):
                return self._give_up_pause(now)
            case ChangePhase.FENCE if self._majority_at is not None:
                if now - self._majority_at >= FENCE_GRACE:
                    return self._promote(now)
            case ChangePhase.PROMOTE if waited > PROMOTE_PATIENCE:
                # It may have become primary without our knowing. Telling a
                # second one at the same term could make two, so this change
                # ends and the next one wins another term.
                return self._end("promotion unanswered", now)
        return self._send_again(now)

    # Probe.

    def _try_leave_probe(self, now: float) -> list[Action]:
        """Go on once the object and a majority have been heard.

        Winning the term stops all writes, so a steward that reaches no
        majority itself must not do it: it could not finish.
        """
        record = self._object.record() if self._object else None
        if record is None or len(self._probes) < self._majority():
            return []
        if not self._is_as_judged(record):
            return self._end("the record has moved on", now)
        if record.majority_overlap_lost:
            # A majority of the targets of today may hold none of the writes
            # that were acknowledged by one of those before the edit.
            return self._end("too many targets were edited", now)
        if self.plan.cause.is_planned:
            return self._try_pause(record, now)
        failed = self.plan.failed
        if failed and failed not in self._probes.keys() | self._probe_lost:
            return []
        if self._hears_primary(record) and not self.plan.insist:
            return self._end("the steward hears the primary", now)
        return self._win(now)

    def _is_as_judged(self, record: GroupRecord) -> bool:
        return (
            record.term == self.plan.term
            and record.primary == self.plan.primary
            and set(record.targets) == set(self._targets.values())
        )

    def _hears_primary(self, record: GroupRecord) -> bool:
        probe = self._probes.get(record.primary)
        if probe is None:
            return False
        return probe.role is Role.PRIMARY and probe.term == record.term

    # Fence.

    def _won(self, now: float) -> list[Action]:
        assert self._update is not None
        self.term = self._update.value["term"]
        self._enter(ChangePhase.FENCE, now)
        return self._order_all(OrderKind.FENCE, now)

    def _stopped(
        self, name: str, accepted: bool, probe: ProbeResult, now: float
    ) -> list[Action]:
        if not accepted or probe.term > self.term:
            return self._end("a target knows a later term", now)
        if self.phase is not ChangePhase.FENCE:
            return []
        self._fenced[name] = probe
        if len(self._fenced) < self._majority():
            return []
        awaited = set(self._targets) - set(self._fenced) - {self.plan.failed}
        if not awaited:
            return self._promote(now)
        if self._majority_at is None:
            self._majority_at = now
        return []

    # Promote and record.

    def _promote(self, now: float) -> list[Action]:
        self.primary = choose_primary(
            self._fenced,
            self._majority(),
            self.plan.preferred,
            planned=self.plan.cause.is_planned,
            failed=self.plan.failed,
        )
        self._enter(ChangePhase.PROMOTE, now)
        target = self._targets[self.primary]
        return [self._order(OrderKind.PROMOTE, target, now, self.term)]

    def _promoted(
        self, accepted: bool, probe: ProbeResult, now: float
    ) -> list[Action]:
        if self.phase is not ChangePhase.PROMOTE:
            return []
        if not accepted or probe.role is not Role.PRIMARY:
            return self._end("promotion refused", now)
        self._start = probe.term_start
        self._enter(ChangePhase.RECORD, now)
        return self._put_record() + self._follow_all(now)

    def _follow_all(self, now: float) -> list[Action]:
        address = self._targets[self.primary].address
        return [
            self._order(OrderKind.FOLLOW, target, now, self.term, address)
            for target in self._targets.values()
            if target.name != self.primary
        ]
