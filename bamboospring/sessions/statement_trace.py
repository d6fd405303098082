"""Trace each statement for logs and metrics.

A trace collects the inputs of the decisions about a statement. It is logged
once, with the outcome. Failed statements are always logged, others up to a
limit per second.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from bamboospring import logs
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Unknown
from bamboospring.sessions.ports import AcknowledgedLocally
from bamboospring.sessions.ports import Served
from bamboospring.sessions.ports import SessionOutcome
from bamboospring.sessions.session import Job
from bamboospring.sessions.session import Session
from bamboospring.statements import Position

__all__ = ["StatementLogger", "StatementTrace", "job_kind", "outcome_name"]


@dataclass(slots=True, kw_only=True)
class StatementTrace:
    """The targets of one statement and the data behind the choice of them.

    `waited_for` is what the statement was waiting for when its caller
    disconnected, `through` the VM that the last attempt was forwarded to.
    """

    session: Session
    job: Job
    transaction: bool
    targets: list[str] = field(default_factory=list)
    after: Position | None = None
    proof_age: float | None = None
    hedged: bool = False
    first_sent_at: float = 0.0
    waited_for: str = ""
    through: str = ""

    def record_attempt(
        self,
        target: str,
        *,
        after: Position | None,
        proof_age: float | None,
        through: str = "",
    ) -> None:
        """Record an attempt and the position and proof behind it."""
        self.targets.append(target)
        self.through = through
        self.after = after
        self.proof_age = proof_age
        if not self.first_sent_at:
            self.first_sent_at = self.session.reactor.now()


OutcomeListener = Callable[[StatementTrace, SessionOutcome, float], None]


class StatementLogger:
    """Logs traces of statements and passes them on to be counted."""

    def __init__(self, *, on_outcome: OutcomeListener) -> None:
        self._on_outcome = on_outcome

    def log_outcome(
        self, trace: StatementTrace, outcome: SessionOutcome
    ) -> None:
        """Log a finished statement."""
        now = trace.session.reactor.now()
        elapsed = now - trace.job.received_at
        self._on_outcome(trace, outcome, elapsed)
        is_failure = not isinstance(outcome, (Served, AcknowledgedLocally))
        level = logs.Level.WARNING if is_failure else logs.Level.INFO
        if not logs.should_log("answered", level):
            return
        waited = (trace.first_sent_at or now) - trace.job.received_at
        job = trace.job
        logs.log_event(
            "answered",
            level=level,
            trace=job.id,
            caller=trace.session.caller,
            team=trace.session.identity.team,
            group=job.route.group,
            route=job.route.name,
            kind=job_kind(job),
            transaction=trace.transaction,
            outcome=outcome_name(outcome),
            reason=getattr(outcome, "reason", ""),
            targets=",".join(trace.targets),
            through=trace.through,
            after=_format_position(trace.after),
            proof_age_ms=_milliseconds(trace.proof_age),
            waited_ms=_milliseconds(waited),
            took_ms=_milliseconds(elapsed),
            hedged=trace.hedged,
            waited_for=trace.waited_for,
        )


_OUTCOME_NAMES: dict[type, str] = {
    Served: "served",
    AcknowledgedLocally: "acknowledged",
    Failed: "failed",
    NotRun: "not_run",
    Overloaded: "overloaded",
    Unknown: "unknown",
}


def outcome_name(outcome: SessionOutcome) -> str:
    """Return the name of an outcome in logs and metrics."""
    return _OUTCOME_NAMES[type(outcome)]


def job_kind(job: Job) -> str:
    """Return the kind of a job: read, write or commit."""
    if job.text is None and job.shape is None:
        return "commit"
    return "write" if job.writes else "read"


def _format_position(position: Position | None) -> str:
    return "-" if position is None else f"{position.term}.{position.index}"


def _milliseconds(seconds: float | None) -> int:
    # The age of a proof that never existed is huge; 1e6 s is the longest age
    # that is logged.
    return -1 if seconds is None else round(min(seconds, 1e6) * 1000)
