"""What every step of a change of primary needs: its state and its orders.

An order that was not answered is sent again; each is idempotent at its term.
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

__all__ = ["ChangeBase", "RESEND"]

# Seconds. An order is sent again when its answer has not come.
RESEND = 0.25


@dataclass(slots=True, kw_only=True)
class _Sent:
    order: Order
    at: float


class ChangeBase:
    """The state of one change, and how it sends orders."""

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
        self.marks: list[tuple[ChangePhase, float]] = []
        self._targets = {target.name: target for target in targets}
        self._object: GroupObject | None = None
        self._probes: dict[str, ProbeResult] = {}
        self._probe_lost: set[str] = set()
        self._fenced: dict[str, ProbeResult] = {}
        self._start = 0
        self._pause_end = (0, 0)
        self._phase_at = 0.0
        self._majority_at: float | None = None
        self._sent: dict[tuple[OrderKind, str], _Sent] = {}
        self._update: UpdateGroup | None = None
        self._calling = False
        self._call_again_at = 0.0

    @property
    def is_over(self) -> bool:
        """Tell whether nothing more will be done."""
        return self.phase in (ChangePhase.DONE, ChangePhase.ENDED)

    @property
    def latest_record(self) -> GroupRecord | None:
        """Return the newest record that was seen, also after the end."""
        return self._object.record() if self._object is not None else None

    def _majority(self) -> int:
        return majority_size(len(self._targets))

    def _enter(self, phase: ChangePhase, now: float) -> None:
        self.phase = phase
        self._phase_at = now
        self._sent.clear()
        self.marks.append((phase, now))

    def _end(self, reason: str, now: float) -> list[Action]:
        self.reason = reason
        self._enter(ChangePhase.ENDED, now)
        return []

    def _order(
        self,
        kind: OrderKind,
        target: Target,
        now: float,
        term: int = 0,
        primary: str = "",
    ) -> Order:
        order = Order(kind=kind, target=target, term=term, primary=primary)
        self._sent[kind, target.name] = _Sent(order=order, at=now)
        return order

    def _order_all(self, kind: OrderKind, now: float) -> list[Action]:
        return [
            self._order(kind, target, now, self.term)
            for target in self._targets.values()
        ]

    def _send_again(self, now: float) -> list[Action]:
        actions: list[Action] = []
        for sent in self._sent.values():
            if now - sent.at >= RESEND:
                sent.at = now
                actions.append(sent.order)
        waits = self.phase in (
            ChangePhase.PROBE,
            ChangePhase.WIN,
            ChangePhase.RECORD,
        )
        has_read = self.phase is ChangePhase.PROBE and self._object is not None
        if waits and not has_read and not self._calling:
            if now >= self._call_again_at:
                self._calling = True
                actions.append(ReadGroup())
        return actions
