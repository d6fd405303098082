"""State and order handling shared by all phases of a change of primary.

Unanswered orders are sent again; each is idempotent at its term.
"""

from __future__ import annotations

from dataclasses import dataclass

from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Target
from bamboospring.change_actions import Action
from bamboospring.change_actions import GroupObject
from bamboospring.change_actions import Order
from bamboospring.change_actions import OrderKind
from bamboospring.change_actions import ReadGroup
from bamboospring.change_actions import UpdateGroup
from bamboospring.change_plan import ChangePhase
from bamboospring.change_plan import ChangePlan
from bamboospring.commit import majority_size
from bamboospring.target_api import ProbeResult

__all__ = ["ChangeBase", "RESEND_INTERVAL"]

# Seconds until an unanswered order is sent again.
RESEND_INTERVAL = 0.25


@dataclass(slots=True, kw_only=True)
class _Sent:
    order: Order
    sent_at: float


class ChangeBase:
    """The state of one change and its outstanding orders."""

    def __init__(
        self,
        *,
        group: str,
        targets: tuple[Target, ...],
        plan: ChangePlan,
        nonce: str,
    ) -> None:
        self.group = group
        self.plan = plan
        self.nonce = nonce
        self.phase = ChangePhase.PROBE
        self.reason = ""
        self.term = 0
        self.primary = ""
        self.record: GroupRecord | None = None
        self.phase_starts: list[tuple[ChangePhase, float]] = []
        self._targets = {target.name: target for target in targets}
        self._object: GroupObject | None = None
        self._probes: dict[str, ProbeResult] = {}
        self._unanswered_probes: set[str] = set()
        self._fenced: dict[str, ProbeResult] = {}
        self._term_start = 0
        self._paused_log_end = (0, 0)
        self._phase_started_at = 0.0
        self._majority_fenced_at: float | None = None
        self._unanswered_orders: dict[tuple[OrderKind, str], _Sent] = {}
        self._update: UpdateGroup | None = None
        self._call_in_flight = False
        self._next_call_at = 0.0

    @property
    def is_over(self) -> bool:
        """Return whether the change has ended."""
        return self.phase in (ChangePhase.DONE, ChangePhase.ENDED)

    @property
    def latest_record(self) -> GroupRecord | None:
        """Return the newest record that was read, also after the end."""
        return self._object.record() if self._object is not None else None

    def _majority(self) -> int:
        return majority_size(len(self._targets))

    def _enter_phase(self, phase: ChangePhase, now: float) -> None:
        self.phase = phase
        self._phase_started_at = now
        self._unanswered_orders.clear()
        self.phase_starts.append((phase, now))

    def _end(self, reason: str, now: float) -> list[Action]:
        self.reason = reason
        self._enter_phase(ChangePhase.ENDED, now)
        return []

    def _make_order(
        self,
        kind: OrderKind,
        target: Target,
        now: float,
        term: int = 0,
        primary: str = "",
    ) -> Order:
        order = Order(
            kind=kind, target=target, term=term, primary_address=primary
        )
        self._unanswered_orders[kind, target.name] = _Sent(
            order=order, sent_at=now
        )
        return order

    def _order_all(self, kind: OrderKind, now: float) -> list[Action]:
        return [
            self._make_order(kind, target, now, self.term)
            for target in self._targets.values()
        ]

    def _resend_due(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sent in self._unanswered_orders.values():
            if now - sent.sent_at >= RESEND_INTERVAL:
                sent.sent_at = now
                actions.append(sent.order)
        awaits_object = self.phase in (
            ChangePhase.PROBE,
            ChangePhase.WIN,
            ChangePhase.RECORD,
        )
        has_read = self.phase is ChangePhase.PROBE and self._object is not None
        if awaits_object and not has_read and not self._call_in_flight:
            if now >= self._next_call_at:
                self._call_in_flight = True
                actions.append(ReadGroup())
        return actions
