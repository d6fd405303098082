"""Which of the targets stopped at a term is to be its primary."""

from __future__ import annotations

from bamboospring.target_api import ProbeResult

__all__ = ["choose_primary", "log_end"]


def log_end(probe: ProbeResult) -> tuple[int, int]:
    """Return what orders two logs: the later end holds all of the other."""
    return probe.last_term, probe.received


def choose_primary(
    fenced: dict[str, ProbeResult],
    majority: int,
    preferred: tuple[str, ...],
    *,
    planned: bool,
    failed: str = "",
) -> str:
    """Return the target to promote out of those stopped at the term.

    Safe is each that is at least as advanced as enough others to make a
    majority with it, because an acknowledged write is held by one of any
    majority. A planned change takes the preferred one if it is safe. Any
    other takes the most advanced, since that one may also hold writes whose
    callers wait. One that others took for failed comes last, although it
    answered here. Empty if no majority is stopped.
    """
    if len(fenced) < majority:
        return ""
    ends = {name: log_end(probe) for name, probe in fenced.items()}
    safe = [
        name
        for name, end in ends.items()
        if sum(other <= end for other in ends.values()) >= majority
    ]
    ranks = {name: -place for place, name in enumerate(preferred)}
    worst = -len(preferred)
    if planned:
        safe = [name for name in preferred if name in safe][:1] or safe
    safe = [name for name in safe if name != failed] or safe
    return max(safe, key=lambda n: (ends[n], ranks.get(n, worst), n))
