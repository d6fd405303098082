"""Whether a primary has failed, judged from several places.

A holder suspects a target that has been silent, or whose port refuses
connections, for long enough. One holder's word is not enough: its own link
may be cut, or it may have been paused. The steward takes a primary for
failed only when VMs in different availability zones suspect it at the same
time and at its present term.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

__all__ = [
    "AwakeClock",
    "SuspicionReport",
    "Suspicions",
    "TargetWatch",
    "TargetVerdict",
    "WatchTiming",
]

NEVER = -1e9
REPORT_LIFE = 3.0


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchTiming:
    """Seconds. `refused` is for a port that refuses, `silent` for silence.

    A refused connection is the word of the target's own machine that no
    process listens, so it needs less time than silence, which a slow machine
    or network also gives; it still must outlast a quick restart.
    """

    silent: float = 0.8
    refused: float = 0.3
    pause: float = 0.3


class AwakeClock:
    """Tells since when this process has been running without a pause.

    After a pause all timers are due at once and the answers that came
    meanwhile are unread: everybody looks silent. Only silence that this
    process was awake to hear counts. `tick` must be called more often than
    `pause`.
    """

    def __init__(self, *, pause: float) -> None:
        self._pause = pause
        self._last = NEVER
        self.since = NEVER

    def tick(self, now: float) -> None:
        """Note that the process is running."""
        if now - self._last > self._pause:
            self.since = now
        self._last = now


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetVerdict:
    """A holder's judgement of a target; `silent` is in seconds."""

    suspected: bool
    silent: float


class TargetWatch:
    """A holder's judgement of one target."""

    def __init__(self, *, timing: WatchTiming, now: float) -> None:
        self._timing = timing
        self._heard_at = now
        self._refused_at: float | None = None

    def heard(self, now: float) -> None:
        """Note an answer."""
        self._heard_at = now
        self._refused_at = None

    def refused(self, now: float) -> None:
        """Note that a connection was refused."""
        if self._refused_at is None:
            self._refused_at = now

    def lost(self) -> None:
        """Note a failure that tells nothing but that no answer came."""
        self._refused_at = None

    def verdict(self, now: float, awake_since: float) -> TargetVerdict:
        """Judge the target."""
        silent = now - max(self._heard_at, awake_since)
        suspected = silent >= self._timing.silent
        if self._refused_at is not None:
            refused = now - max(self._refused_at, awake_since)
            suspected = suspected or refused >= self._timing.refused
        return TargetVerdict(suspected=suspected, silent=max(silent, 0.0))


@dataclass(frozen=True, slots=True, kw_only=True)
class SuspicionReport:
    """One VM's judgement of a target, with its place and when it came."""

    target: str
    term: int
    vm: str
    availability_zone: str
    suspected: bool
    silent: float
    at: float


@dataclass(slots=True, kw_only=True)
class Suspicions:
    """What was reported of the targets of one group, newest per VM."""

    reports: dict[tuple[str, str], SuspicionReport] = field(
        default_factory=dict
    )

    def take(self, report: SuspicionReport) -> None:
        """Keep a report in place of the same VM's earlier one."""
        key = report.target, report.vm
        if report.suspected:
            self.reports[key] = report
        else:
            self.reports.pop(key, None)

    def witnesses(
        self, target: str, term: int, now: float
    ) -> list[SuspicionReport]:
        """Return the reports that count against a target now."""
        return [
            report
            for report in self.reports.values()
            if report.target == target
            and report.term == term
            and now - report.at <= REPORT_LIFE
        ]

    def condemned(
        self, target: str, term: int, now: float, zones: Iterable[str]
    ) -> bool:
        """Tell whether a target is to be taken for failed.

        `zones` are those of the VMs that watch the target. Witnesses must
        come from two of them, as far as there are two.
        """
        witnesses = self.witnesses(target, term, now)
        needed = min(2, len(set(zones)))
        places = {report.availability_zone for report in witnesses}
        return bool(witnesses) and len(places) >= needed

    def forget_before(self, term: int) -> None:
        """Drop reports on earlier terms."""
        for key, report in list(self.reports.items()):
            if report.term < term:
                del self.reports[key]
