"""Count outcomes of statements at a cost low enough for every statement.

Counts are kept in plain fields and converted to OpenTelemetry data only at a
scrape (`bamboospring.metrics_export`). Recording one value in the SDK's
histogram takes 17 us on the machine described in docs/DESIGN.md, which at
1,833 statements per second is 3 % of a core for one instrument.

Cardinality is bounded: histograms have no group label, counters exist only for
groups that the process knows, for at most `MAX_GROUPS` groups, and only
counters above zero are exported.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from bamboospring.outcomes import Done
from bamboospring.outcomes import Failed
from bamboospring.outcomes import NotRun
from bamboospring.outcomes import Outcome
from bamboospring.outcomes import Overloaded
from bamboospring.outcomes import Reason
from bamboospring.outcomes import Unknown
from bamboospring.statements import Statement

__all__ = [
    "BOUNDS",
    "CALLER_ERROR_REASONS",
    "Distribution",
    "GroupCounts",
    "Kind",
    "Metrics",
    "Point",
    "Series",
]

# Upper bounds in seconds: those of the OpenTelemetry conventions for database
# clients, and two more in the range of the proxy's latencies.
BOUNDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1.0, 5.0, 10.0)
MAX_GROUPS = 1024
OTHER_GROUPS = "_other"
# A shorter time without a completed write, in seconds, is ordinary latency.
MIN_GAP_SECONDS = 0.25

# Reasons for which the caller's request is at fault, not the service.
CALLER_ERROR_REASONS = frozenset(
    {
        Reason.BAD_REQUEST,
        Reason.BAD_TOKEN,
        Reason.CALLER_LIMIT,
        Reason.KEY_REUSED,
        Reason.NO_TRANSACTION,
        Reason.SQL,
        Reason.UNKNOWN_GROUP,
    }
)


class Kind(str, Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(slots=True, kw_only=True)
class Distribution:
    """A histogram over `BOUNDS`, with an additional overflow bucket."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS) + 1))
    total: float = 0.0

    def record(self, seconds: float) -> None:
        """Record one duration."""
        self.counts[bisect_left(BOUNDS, seconds)] += 1
        self.total += seconds


@dataclass(slots=True, kw_only=True)
class GroupCounts:
    """Counts of one group at this entry since the process started.

    `reads` and `writes` count answers with `Done`; those in `slow` took
    longer than the group's objective. `failures` are counted by reason and
    exclude callers' errors. Gaps are times in which no write was completed
    although at least one was in progress.
    """

    reads: int = 0
    writes: int = 0
    replica_reads: int = 0
    slow: int = 0
    callers_faults: int = 0
    failures: dict[str, int] = field(default_factory=dict)
    gaps: int = 0
    gap_seconds: float = 0.0
    longest_gap: float = 0.0
    stalled_since: float | None = None
    completed_at: float = -1e9

    def as_json(self) -> dict[str, object]:
        """Return the counts as JSON data for the status."""
        return {
            "reads": self.reads,
            "writes": self.writes,
            "replica_reads": self.replica_reads,
            "slow": self.slow,
            "callers_faults": self.callers_faults,
            "failures": dict(self.failures),
            "gaps": self.gaps,
            "gap_ms": round(self.gap_seconds * 1000),
            "longest_gap_ms": round(self.longest_gap * 1000),
        }


@dataclass(frozen=True, slots=True, kw_only=True)
class Point:
    """One value of a series with the attributes that identify it."""

    attributes: dict[str, str]
    value: float | Distribution


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """A metric with its points; units are UCUM codes."""

    name: str
    kind: Kind
    unit: str
    description: str
    points: list[Point]


ReadValue = Callable[[], float | Mapping[str, float]]


@dataclass(frozen=True, slots=True, kw_only=True)
class _RegisteredMetric:
    name: str
    kind: Kind
    unit: str
    description: str
    label: str
    read: ReadValue


class Metrics:
    """All metrics of one process.

    `is_known_group` returns whether a group exists. Without it, a caller could
    exhaust memory with requests for unknown groups. `slow_threshold` returns
    the seconds after which a statement of a group counts as slow.
    """

    def __init__(
        self,
        *,
        is_known_group: Callable[[str], bool],
        slow_threshold: Callable[[str], float],
    ) -> None:
        self._is_known_group = is_known_group
        self._slow_threshold = slow_threshold
        self._slow_thresholds: dict[str, float] = {}
        self._registered: list[_RegisteredMetric] = []
        self.groups: dict[str, GroupCounts] = {}
        self.read_durations = Distribution()
        self.write_durations = Distribution()

    def record_answer(
        self, stmt: Statement, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Count a statement answered at `now` (monotonic) after `seconds`."""
        counts = self._counts_of_group(stmt.group)
        (self.write_durations if stmt.write else self.read_durations).record(
            seconds
        )
        if isinstance(outcome, Done):
            self._count_done(counts, stmt, outcome, seconds)
            if stmt.write:
                _record_write_completed(counts, now - seconds, now)
            return
        if (
            isinstance(outcome, Failed)
            or outcome.reason in CALLER_ERROR_REASONS
        ):
            counts.callers_faults += 1
            return
        cause = f"{_OUTCOME_NAMES[type(outcome)]}.{outcome.reason.value}"
        counts.failures[cause] = counts.failures.get(cause, 0) + 1
        if stmt.write and counts.stalled_since is None:
            counts.stalled_since = now - seconds

    def register(
        self,
        name: str,
        read: ReadValue,
        *,
        description: str,
        unit: str = "1",
        kind: Kind = Kind.GAUGE,
        label: str = "",
    ) -> None:
        """Export the result of `read`: a number, or numbers by label."""
        self._registered.append(
            _RegisteredMetric(
                name=name,
                kind=kind,
                unit=unit,
                description=description,
                label=label,
                read=read,
            )
        )

    def series(self) -> Iterator[Series]:
        """Return all metrics with their current values."""
        yield self._duration_series()
        yield from self._group_series()
        yield from self.registered_series()

    def registered_series(self) -> Iterator[Series]:
        """Return the registered metrics, without the counts of statements."""
        for metric in self._registered:
            yield Series(
                name=metric.name,
                kind=metric.kind,
                unit=metric.unit,
                description=metric.description,
                points=_points(metric),
            )

    def _count_done(
        self,
        counts: GroupCounts,
        stmt: Statement,
        outcome: Done,
        seconds: float,
    ) -> None:
        if stmt.write:
            counts.writes += 1
        else:
            counts.reads += 1
            counts.replica_reads += outcome.at_replica
        if seconds > self._group_slow_threshold(stmt.group):
            counts.slow += 1

    def _counts_of_group(self, group: str) -> GroupCounts:
        counts = self.groups.get(group)
        if counts is not None:
            return counts
        if len(self.groups) >= MAX_GROUPS or not self._is_known_group(group):
            group = OTHER_GROUPS
        return self.groups.setdefault(group, GroupCounts())

    def _group_slow_threshold(self, group: str) -> float:
        limit = self._slow_thresholds.get(group)
        if limit is None:
            limit = self._slow_thresholds[group] = self._slow_threshold(group)
        return limit

    def _duration_series(self) -> Series:
        return Series(
            name="db.client.operation.duration",
            kind=Kind.HISTOGRAM,
            unit="s",
            description="Time from a caller's request to its answer.",
            points=[
                Point(attributes={"db.operation.name": name}, value=value)
                for name, value in (
                    ("read", self.read_durations),
                    ("write", self.write_durations),
                )
            ],
        )

    def _group_series(self) -> Iterator[Series]:
        for name, description, read in _GROUP_COUNTERS:
            points = [
                Point(attributes={"db.namespace": group}, value=read(counts))
                for group, counts in self.groups.items()
                if read(counts)
            ]
            yield Series(
                name=name,
                kind=Kind.COUNTER,
                unit="1",
                description=description,
                points=points,
            )
        yield Series(
            name="bamboospring.statements.failed",
            kind=Kind.COUNTER,
            unit="1",
            description="Statements refused or unknown, by cause.",
            points=[
                Point(
                    attributes={"db.namespace": group, "error.type": cause},
                    value=number,
                )
                for group, counts in self.groups.items()
                for cause, number in counts.failures.items()
            ],
        )


_OUTCOME_NAMES: dict[type[Outcome], str] = {
    NotRun: "not_run",
    Overloaded: "overloaded",
    Unknown: "unknown",
}

_GROUP_COUNTERS: tuple[
    tuple[str, str, Callable[[GroupCounts], float]], ...
] = (
    (
        "bamboospring.reads",
        "Reads that were done.",
        lambda counts: counts.reads,
    ),
    (
        "bamboospring.writes",
        "Writes that were done.",
        lambda counts: counts.writes,
    ),
    (
        "bamboospring.reads.replica",
        "Reads that were done at a replica.",
        lambda counts: counts.replica_reads,
    ),
    (
        "bamboospring.statements.slow",
        "Statements done later than the group's objective.",
        lambda counts: counts.slow,
    ),
    (
        "bamboospring.write.gaps",
        "Times in which no write was completed though one was under way.",
        lambda counts: counts.gaps,
    ),
    (
        "bamboospring.write.gap.seconds",
        "Length of all these times together.",
        lambda counts: counts.gap_seconds,
    ),
)


def _record_write_completed(
    counts: GroupCounts, begun_at: float, now: float
) -> None:
    """Record a completed write, and the gap that it ends, if any.

    A gap starts with the first write that failed since the last completed
    one, or with this one, which may have waited at the entry for a new
    primary.
    """
    since = counts.stalled_since
    since = begun_at if since is None else min(since, begun_at)
    # A write that was slow while others were completed does not make a gap.
    gap = now - max(since, counts.completed_at)
    counts.stalled_since = None
    counts.completed_at = now
    if gap < MIN_GAP_SECONDS:
        return
    counts.gaps += 1
    counts.gap_seconds += gap
    counts.longest_gap = max(counts.longest_gap, gap)


def _points(metric: _RegisteredMetric) -> list[Point]:
    value = metric.read()
    if isinstance(value, Mapping):
        return [
            Point(attributes={metric.label: key}, value=number)
            for key, number in value.items()
        ]
    return [Point(attributes={}, value=value)]
