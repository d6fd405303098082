"""Failure detection of primaries from several availability zones.

A holder suspects a target that does not respond, or whose port refuses
connections, for long enough. The report of one holder is not sufficient: its
own link may be cut, or it may have been paused. The steward treats a primary
as failed only if VMs in different availability zones suspect it at the same
time and at its present term.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

__all__ = [
    "FailureDetector",
    "FailureTiming",
    "PauseDetector",
    "SuspicionReport",
    "Suspicions",
    "TargetVerdict",
]

NEVER = -1e9
REPORT_LIFETIME = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class FailureTiming:
    """Times in seconds after which a target is suspected.

    `refused_timeout` applies to refused connections and `unresponsive_timeout`
    to missing answers. A refused connection shows that the target's machine
    runs and no process listens, so its timeout is shorter than the one for
    missing answers, which a slow machine or network also causes. It must still
    exceed the time of a quick restart.
    """

    unresponsive_timeout: float = 0.8
    refused_timeout: float = 0.3
    pause_threshold: float = 0.3


class PauseDetector:
    """Records since when this process has been running without a pause.

    After a pause all timers are due at once and the answers that arrived
    during it are unread, so every target seems unresponsive. Only time during
    which this process was running counts. `tick` must be called more often
    than every `threshold` seconds.
    """

    def __init__(self, *, threshold: float) -> None:
        self._threshold = threshold
        self._last_tick_at = NEVER
        self.running_since = NEVER

    def tick(self, now: float) -> None:
        """Record that the process is running."""
        if now - self._last_tick_at > self._threshold:
            self.running_since = now
        self._last_tick_at = now


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetVerdict:
    """A holder's verdict on a target; `unresponsive_for` is in seconds."""

    suspected: bool
    unresponsive_for: float


class FailureDetector:
    """Decides for a holder whether one target is suspected."""

    def __init__(self, *, timing: FailureTiming, now: float) -> None:
        self._timing = timing
        self._last_response_at = now
        self._refused_since: float | None = None

    def record_answer(self, now: float) -> None:
        """Record an answer."""
        self._last_response_at = now
        self._refused_since = None

    def record_refusal(self, now: float) -> None:
        """Record a refused connection."""
        if self._refused_since is None:
            self._refused_since = now

    def record_failure(self) -> None:
        """Record a failure other than a refused connection."""
        self._refused_since = None

    def verdict(self, now: float, running_since: float) -> TargetVerdict:
        """Return the verdict on the target."""
        unresponsive_for = now - max(self._last_response_at, running_since)
        suspected = unresponsive_for >= self._timing.unresponsive_timeout
        if self._refused_since is not None:
            refused_for = now - max(self._refused_since, running_since)
            suspected = (
                suspected or refused_for >= self._timing.refused_timeout
            )
        return TargetVerdict(
            suspected=suspected, unresponsive_for=max(unresponsive_for, 0.0)
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspicionReport:
    """One VM's verdict on a target, with its zone and time of receipt."""

    target: str
    term: int
    vm: str
    availability_zone: str
    suspected: bool
    unresponsive_for: float
    received_at: float


@dataclass(slots=True, kw_only=True)
class Suspicions:
    """The suspicions of one group's targets, the newest of each VM."""

    reports: dict[tuple[str, str], SuspicionReport] = field(
        default_factory=dict
    )

    def add_report(self, report: SuspicionReport) -> None:
        """Store a report; one without suspicion removes the earlier one."""
        key = report.target, report.vm
        if report.suspected:
            self.reports[key] = report
        else:
            self.reports.pop(key, None)

    def valid_reports(
        self, target: str, term: int, now: float
    ) -> list[SuspicionReport]:
        """Return the valid reports of a target's failure at a term."""
        return [
            report
            for report in self.reports.values()
            if report.target == target
            and report.term == term
            and now - report.received_at <= REPORT_LIFETIME
        ]

    def has_failed(
        self, target: str, term: int, now: float, zones: Iterable[str]
    ) -> bool:
        """Return whether a target is to be treated as failed.

        `zones` are those of the VMs that watch the target. Reports from two
        zones are required, or from one if there is only one zone.
        """
        reports = self.valid_reports(target, term, now)
        min_zones = min(2, len(set(zones)))
        reporting_zones = {report.availability_zone for report in reports}
        return bool(reports) and len(reporting_zones) >= min_zones

    def drop_earlier_terms(self, term: int) -> None:
        """Drop reports of earlier terms."""
        for key, report in list(self.reports.items()):
            if report.term < term:
                del self.reports[key]
