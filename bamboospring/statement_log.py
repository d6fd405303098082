"""Log the outcome of a statement with its correlation id.

The entry logs `answered` and the holder `ran`, both with the same `trace`, so
that a statement can be followed across VMs. Only unknown outcomes are logged
at level info. The others are too many for it and are logged at level debug,
which can be set on a running process.
"""

from __future__ import annotations

from bamboospring import logs
from bamboospring.outcomes import Done
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Unknown
from bamboospring.statements import Statement

__all__ = ["log_outcome"]


def log_outcome(event: str, stmt: Statement, outcome: Outcome) -> None:
    """Log an outcome with its details or reason."""
    unknown = isinstance(outcome, Unknown)
    level = logs.Level.INFO if unknown else logs.Level.DEBUG
    if not logs.is_enabled(level):
        return
    logs.log_event(
        event,
        level=level,
        trace=stmt.trace,
        group=stmt.group,
        kind="write" if stmt.write else "read",
        step=stmt.step.name.lower(),
        outcome=type(outcome).__name__.lower(),
        **_details(outcome),
    )


def _details(outcome: Outcome) -> dict[str, object]:
    if isinstance(outcome, Done):
        return {
            "target": outcome.target,
            "term": outcome.term,
            "index": outcome.index,
            "at_replica": outcome.at_replica,
        }
    return {"reason": outcome.reason, "message": outcome.message}
