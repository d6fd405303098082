"""The state machine that changes a group's primary.

    probe -> [pause, catch up] -> win -> fence -> promote -> record -> done

A change first wins a term by a conditional update of the group's object,
which then names no primary. It then fences a majority of the targets at that
term. Every acknowledged write is held by a majority, so by at least one of
the fenced targets, and a fenced target accepts no more entries from the old
primary. The most advanced fenced target therefore holds all acknowledged
writes; it is promoted and recorded.

Every order carries the term, and targets refuse lower terms, so a steward
that was paused at any step does no harm when it resumes. Orders may be sent
again, because each is idempotent at its term. The outcome of an unanswered
update is unknown: the object is read back, and its nonce identifies the
writer. At most one target is ordered to become primary at a term: if it does
not answer, the change ends, and the next change wins a new term.

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
from bamboospring.change_base import RESEND_INTERVAL
from bamboospring.change_pause import PAUSE_TIMEOUT
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
    "ChangePhase",
    "ChangePlan",
    "GroupObject",
    "Order",
    "OrderKind",
    "PrimaryChange",
    "ReadGroup",
    "UpdateGroup",
    "choose_primary",
    "log_end",
]

# Seconds.
PROBE_TIMEOUT = 1.0
PROMOTE_TIMEOUT = 1.5
# How long the other targets may take to answer after a majority is fenced.
FENCE_GRACE_PERIOD = 0.05
# How long a primary that others report as failed may take to answer the
# steward.
PROBE_GRACE_PERIOD = 0.05


class PrimaryChange(PlannedSteps):
    """One attempt to change a group's primary, under one term."""

    # Events

    def begin(self, now: float) -> list[Action]:
        """Start the change: probe all targets and read the group's object."""
        self._enter_phase(ChangePhase.PROBE, now)
        self._call_in_flight = True
        actions: list[Action] = [ReadGroup()]
        return actions + self._order_all(OrderKind.PROBE, now)

    def on_answer(
        self,
        order: Order,
        accepted: bool,
        probe: ProbeResult | None,
        now: float,
    ) -> list[Action]:
        """Handle a target's answer; `accepted` is false for status 409."""
        self._unanswered_orders.pop((order.kind, order.target.name), None)
        if self.is_over or probe is None:
            return []
        name = order.target.name
        match order.kind:
            case OrderKind.PROBE if self.phase is ChangePhase.PROBE:
                self._probes[name] = probe
                return self._try_finish_probe(now)
            case OrderKind.PROBE if self.phase is ChangePhase.CATCH_UP:
                return self._check_caught_up(name, probe, now)
            case OrderKind.PAUSE if self.phase is ChangePhase.PAUSE:
                return self._on_pause_answer(accepted, probe, now)
            case OrderKind.FENCE if order.term == self.term:
                return self._on_fence_answer(name, accepted, probe, now)
            case OrderKind.PROMOTE if order.term == self.term:
                return self._on_promote_answer(accepted, probe, now)
        return []

    def on_no_answer(self, order: Order, now: float) -> list[Action]:
        """Handle a missing answer; `tick` sends the order again."""
        if self.phase is ChangePhase.PROBE:
            self._unanswered_probes.add(order.target.name)
            return self._try_finish_probe(now)
        return []

    def on_object_read(
        self, found: GroupObject | None, now: float
    ) -> list[Action]:
        """Handle the group's object; None if the platform did not answer."""
        self._call_in_flight = False
        if self.is_over:
            return []
        if found is None:
            self._next_call_at = now + RESEND_INTERVAL
            return []
        match self.phase:
            case ChangePhase.PROBE:
                self._object = found
                return self._try_finish_probe(now)
            case ChangePhase.WIN | ChangePhase.RECORD:
                return self._resolve_update(found, now)
        return []

    def tick(self, now: float) -> list[Action]:
        """Resend unanswered orders and end phases that time out."""
        if self.is_over:
            return []
        elapsed = now - self._phase_started_at
        match self.phase:
            case ChangePhase.PROBE if elapsed > PROBE_TIMEOUT:
                return self._end("no majority of targets answers", now)
            case ChangePhase.PROBE if elapsed > PROBE_GRACE_PERIOD:
                self._unanswered_probes.add(self.plan.failed_primary)
                actions = self._try_finish_probe(now)
                if actions or self.is_over:
                    return actions
            case ChangePhase.PAUSE | ChangePhase.CATCH_UP if (
                elapsed > PAUSE_TIMEOUT
            ):
                return self._give_up_pause(now)
            case ChangePhase.FENCE if self._majority_fenced_at is not None:
                if now - self._majority_fenced_at >= FENCE_GRACE_PERIOD:
                    return self._promote(now)
            case ChangePhase.PROMOTE if elapsed > PROMOTE_TIMEOUT:
                # The target may have become primary although its answer was
                # lost. Promoting a second target at the same term could make
                # two primaries, so this change ends and the next one wins a
                # new term.
                return self._end("promotion unanswered", now)
        return self._resend_due(now)

    # Probe.

    def _try_finish_probe(self, now: float) -> list[Action]:
        """Continue once the object and answers of a majority are available.

        Winning the term stops all writes, so a steward that reaches no
        majority must not win it: it could not complete the change.
        """
        record = self._object.record() if self._object else None
        if record is None or len(self._probes) < self._majority():
            return []
        if not self._is_record_unchanged(record):
            return self._end("the group's record has changed", now)
        if record.majority_overlap_lost:
            # A majority of the present targets may lack writes that were
            # acknowledged by a majority of the targets before the edit.
            return self._end("too many targets were edited", now)
        if self.plan.cause.is_planned:
            return self._try_pause(record, now)
        failed = self.plan.failed_primary
        if (
            failed
            and failed not in self._probes.keys() | self._unanswered_probes
        ):
            return []
        if (
            self._primary_answers(record)
            and not self.plan.ignore_primary_answer
        ):
            return self._end("the primary answers the steward", now)
        return self._win_term(now)

    def _is_record_unchanged(self, record: GroupRecord) -> bool:
        return (
            record.term == self.plan.term
            and record.primary == self.plan.primary
            and set(record.targets) == set(self._targets.values())
        )

    def _primary_answers(self, record: GroupRecord) -> bool:
        probe = self._probes.get(record.primary)
        if probe is None:
            return False
        return probe.role is Role.PRIMARY and probe.term == record.term

    # Fence.

    def _on_term_won(self, now: float) -> list[Action]:
        assert self._update is not None
        self.term = self._update.value["term"]
        self._enter_phase(ChangePhase.FENCE, now)
        return self._order_all(OrderKind.FENCE, now)

    def _on_fence_answer(
        self, name: str, accepted: bool, probe: ProbeResult, now: float
    ) -> list[Action]:
        if not accepted or probe.term > self.term:
            return self._end("a target is at a later term", now)
        if self.phase is not ChangePhase.FENCE:
            return []
        self._fenced[name] = probe
        if len(self._fenced) < self._majority():
            return []
        awaited = (
            set(self._targets) - set(self._fenced) - {self.plan.failed_primary}
        )
        if not awaited:
            return self._promote(now)
        if self._majority_fenced_at is None:
            self._majority_fenced_at = now
        return []

    # Promote and record.

    def _promote(self, now: float) -> list[Action]:
        self.primary = choose_primary(
            self._fenced,
            self._majority(),
            self.plan.preferred,
            is_planned=self.plan.cause.is_planned,
            failed_primary=self.plan.failed_primary,
        )
        self._enter_phase(ChangePhase.PROMOTE, now)
        target = self._targets[self.primary]
        return [self._make_order(OrderKind.PROMOTE, target, now, self.term)]

    def _on_promote_answer(
        self, accepted: bool, probe: ProbeResult, now: float
    ) -> list[Action]:
        if self.phase is not ChangePhase.PROMOTE:
            return []
        if not accepted or probe.role is not Role.PRIMARY:
            return self._end("promotion refused", now)
        self._term_start = probe.term_start
        self._enter_phase(ChangePhase.RECORD, now)
        return self._put_record() + self._order_followers(now)

    def _order_followers(self, now: float) -> list[Action]:
        address = self._targets[self.primary].address
        return [
            self._make_order(OrderKind.FOLLOW, target, now, self.term, address)
            for target in self._targets.values()
            if target.name != self.primary
        ]
