"""The state that a steward or lease candidate keeps of a group."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from bamboospring.primary_change import PrimaryChange
from bamboospring.suspicion import Suspicions
from bamboospring.target_api import ProbeResult

__all__ = ["StewardGroupState"]


@dataclass(slots=True, kw_only=True)
class StewardGroupState:
    """The state that a steward or lease candidate keeps of a group."""

    suspicions: Suspicions = field(default_factory=Suspicions)
    probes: dict[str, tuple[ProbeResult, float]] = field(default_factory=dict)
    change: PrimaryChange | None = None
    failed_changes: int = 0
    retry_at: float = -1e9
    last_round_at: float = -1e9
    next_evaluation_at: float = -1e9
    last_check_at: float = -1e9
    failed_since: float | None = None
    ordered_target: str = ""
    order_expires_at: float = -1e9
