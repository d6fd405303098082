"""Choice of the new primary among the targets fenced at a term."""

from __future__ import annotations

from bamboospring.target_api import ProbeResult

__all__ = ["choose_primary", "log_end"]


def log_end(probe: ProbeResult) -> tuple[int, int]:
    """Return the sort key of a log; the later of two contains the other."""
    return probe.last_term, probe.received


def choose_primary(
    fenced: dict[str, ProbeResult],
    majority: int,
    preferred: tuple[str, ...],
    *,
    is_planned: bool,
    failed_primary: str = "",
) -> str:
    """Return the target to promote among those fenced at the term.

    A target is safe if it is at least as advanced as enough others to form a
    majority with it, because every majority includes a target that holds a
    given acknowledged write. A planned change chooses the preferred target if
    it is safe. Any other change chooses the most advanced target, which may
    also hold writes whose callers still wait. A target that others reported
    as failed is chosen last, although it answered. The result is empty if no
    majority is fenced.
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
    lowest_rank = -len(preferred)
    if is_planned:
        safe = [name for name in preferred if name in safe][:1] or safe
    safe = [name for name in safe if name != failed_primary] or safe
    return max(safe, key=lambda n: (ends[n], ranks.get(n, lowest_rank), n))
