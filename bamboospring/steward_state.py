"""What a steward, or one that may become it, knows of a group."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from bamboospring.primary_change import PrimaryChange
from bamboospring.suspicion import Suspicions
from bamboospring.target_api import ProbeResult

__all__ = ["StewardGroupState"]


@dataclass(slots=True, kw_only=True)
class StewardGroupState:
    """What a steward, or one that may become it, knows of a group."""

    suspicions: Suspicions = field(default_factory=Suspicions)
    probes: dict[str, tuple[ProbeResult, float]] = field(default_factory=dict)
    change: PrimaryChange | None = None
    failures: int = 0
    retry_at: float = -1e9
    round_at: float = -1e9
    judge_at: float = -1e9
    check_at: float = -1e9
    condemned_at: float | None = None
    ordered: str = ""
    ordered_until: float = -1e9
