"""Count what callers got, cheaply enough to do it for every statement.

The numbers are kept in plain fields here and turned into OpenTelemetry's data
only when somebody asks (`bamboospring.metrics_export`): recording one value in
the SDK's histogram took 17 us on the machine that docs/DESIGN.md names, which
at 1,833 statements a second would be 3 % of a core for one instrument.

Cardinality is bounded by construction: histograms have no group, counters of a
group exist only for groups that the process knows, at most `MAX_GROUPS`, and
only counters that have moved are shown.
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
    "CALLERS_FAULTS",
    "Distribution",
    "GroupCounts",
    "Kind",
    "Metrics",
    "Point",
    "Series",
]

# Upper bounds in seconds: those that the OpenTelemetry conventions give for
# database clients, with two more where our latencies lie.
BOUNDS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, 1.0, 5.0, 10.0)
MAX_GROUPS = 1024
OTHER_GROUPS = "_other"
# Writes that stand still for less are ordinary latency, not a gap.
SHORTEST_GAP = 0.25

# Answers that speak of the caller's request and not of our service.
CALLERS_FAULTS = frozenset(
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
    """How a series behaves over time."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(slots=True, kw_only=True)
class Distribution:
    """A histogram over `BOUNDS`, with one bucket more for what is above."""

    counts: list[int] = field(default_factory=lambda: [0] * (len(BOUNDS) + 1))
    total: float = 0.0

    def record(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BOUNDS, seconds)] += 1
        self.total += seconds


@dataclass(slots=True, kw_only=True)
class GroupCounts:
    """What callers of one group got at this entry since the process started.

    `reads` and `writes` were answered with `Done`; `slow` ones among them took
    longer than the group's objective. `failures` are by reason and leave out
    the callers' own faults. Gaps are times in which no write was completed
    although one was under way.
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
        """Return the counts as the status page has them."""
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
    """One value of a series with the attributes that tell it from others."""

    attributes: dict[str, str]
    value: float | Distribution


@dataclass(frozen=True, slots=True, kw_only=True)
class Series:
    """A metric with its points; units are those of UCUM."""

    name: str
    kind: Kind
    unit: str
    description: str
    points: list[Point]


Read = Callable[[], float | Mapping[str, float]]


@dataclass(frozen=True, slots=True, kw_only=True)
class _Source:
    name: str
    kind: Kind
    unit: str
    description: str
    label: str
    read: Read


class Metrics:
    """All that one process counts.

    `knows` tells whether a group exists: without it a caller could fill the
    memory by asking for groups that do not. `slow_after` gives the seconds
    within which a group's statements are to be answered.
    """

    def __init__(
        self,
        *,
        knows: Callable[[str], bool],
        slow_after: Callable[[str], float],
    ) -> None:
        self._knows = knows
        self._slow_after = slow_after
        self._limits: dict[str, float] = {}
        self._sources: list[_Source] = []
        self.groups: dict[str, GroupCounts] = {}
        self.reads = Distribution()
        self.writes = Distribution()

    def answered(
        self, stmt: Statement, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Count a statement answered at `now` (monotonic) after `seconds`."""
        counts = self._counts(stmt.group)
        (self.writes if stmt.write else self.reads).record(seconds)
        if isinstance(outcome, Done):
            self._done(counts, stmt, outcome, seconds)
            if stmt.write:
                _write_completed(counts, now - seconds, now)
            return
        if isinstance(outcome, Failed) or outcome.reason in CALLERS_FAULTS:
            counts.callers_faults += 1
            return
        cause = f"{_WORDS[type(outcome)]}.{outcome.reason.value}"
        counts.failures[cause] = counts.failures.get(cause, 0) + 1
        if stmt.write and counts.stalled_since is None:
            counts.stalled_since = now - seconds

    def watch(
        self,
        name: str,
        read: Read,
        *,
        description: str,
        unit: str = "1",
        kind: Kind = Kind.GAUGE,
        label: str = "",
    ) -> None:
        """Show what `read` returns when asked: a number, or one by label."""
        self._sources.append(
            _Source(
                name=name,
                kind=kind,
                unit=unit,
                description=description,
                label=label,
                read=read,
            )
        )

    def series(self) -> Iterator[Series]:
        """Return all metrics as they are now."""
        yield self._durations()
        yield from self._by_group()
        yield from self.sources()

    def sources(self) -> Iterator[Series]:
        """Return what is watched, without what callers got."""
        for source in self._sources:
            yield Series(
                name=source.name,
                kind=source.kind,
                unit=source.unit,
                description=source.description,
                points=_points(source),
            )

    def _done(
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
        if seconds > self._limit(stmt.group):
            counts.slow += 1

    def _counts(self, group: str) -> GroupCounts:
        found = self.groups.get(group)
        if found is not None:
            return found
        if len(self.groups) >= MAX_GROUPS or not self._knows(group):
            group = OTHER_GROUPS
        return self.groups.setdefault(group, GroupCounts())

    def _limit(self, group: str) -> float:
        limit = self._limits.get(group)
        if limit is None:
            limit = self._limits[group] = self._slow_after(group)
        return limit

    def _durations(self) -> Series:
        return Series(
            name="db.client.operation.duration",
            kind=Kind.HISTOGRAM,
            unit="s",
            description="Time from a caller's request to its answer.",
            points=[
                Point(attributes={"db.operation.name": name}, value=value)
                for name, value in (
                    ("read", self.reads),
                    ("write", self.writes),
                )
            ],
        )

    def _by_group(self) -> Iterator[Series]:
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


_WORDS: dict[type[Outcome], str] = {
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


def _write_completed(counts: GroupCounts, begun_at: float, now: float) -> None:
    """End a gap, if there was one.

    A gap runs from the beginning of the first write that then failed, or of
    this one, which may have waited for the new primary at the entry.
    """
    since = counts.stalled_since
    since = begun_at if since is None else min(since, begun_at)
    # A write that was slow while others were completed is no gap.
    gap = now - max(since, counts.completed_at)
    counts.stalled_since = None
    counts.completed_at = now
    if gap < SHORTEST_GAP:
        return
    counts.gaps += 1
    counts.gap_seconds += gap
    counts.longest_gap = max(counts.longest_gap, gap)


def _points(source: _Source) -> list[Point]:
    value = source.read()
    if isinstance(value, Mapping):
        return [
            Point(attributes={source.label: key}, value=number)
            for key, number in value.items()
        ]
    return [Point(attributes={}, value=value)]
