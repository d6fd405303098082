"""Service-level objectives: what was kept, what is left, what burns.

Pure functions over samples of the counts that every VM keeps
(`bamboospring.metrics.GroupCounts`). A burn rate of 1 uses up the error
budget exactly at the end of the objectives' window; one of 14.4 uses 2 % of a
30-day budget in one hour.

Alerts need both a long and a short window: the long one says that it matters,
the short one that it still goes on.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from bamboospring.settings import Objective
from bamboospring.settings import Objectives

__all__ = [
    "ALERTS",
    "Alert",
    "AlertRule",
    "Budget",
    "GroupReport",
    "Sample",
    "Tally",
    "VmCounts",
    "judge",
    "tally_between",
]

HOUR = 3600.0
DAY = 24 * HOUR
PERCENT = 100.0
# 1 - 0.999 is a little less than 0.001 in binary; an objective that is kept
# exactly must not count as missed for it.
ROUNDING = 1e-9


@dataclass(slots=True, kw_only=True)
class Tally:
    """What happened to the statements of one group in some time."""

    reads: int = 0
    writes: int = 0
    replica_reads: int = 0
    slow: int = 0
    gaps: int = 0
    gap_ms: int = 0
    longest_gap_ms: int = 0
    failures: dict[str, int] = field(default_factory=dict)

    @property
    def done(self) -> int:
        """Return how many statements were done."""
        return self.reads + self.writes

    @property
    def failed(self) -> int:
        """Return how many were refused or unknown by no fault of callers."""
        return sum(self.failures.values())

    @property
    def total(self) -> int:
        """Return how many count for availability."""
        return self.done + self.failed

    def add(self, other: Tally) -> None:
        """Add another tally to this one."""
        self.reads += other.reads
        self.writes += other.writes
        self.replica_reads += other.replica_reads
        self.slow += other.slow
        self.gaps += other.gaps
        self.gap_ms += other.gap_ms
        self.longest_gap_ms = max(self.longest_gap_ms, other.longest_gap_ms)
        for cause, number in other.failures.items():
            self.failures[cause] = self.failures.get(cause, 0) + number


@dataclass(frozen=True, slots=True, kw_only=True)
class VmCounts:
    """The counts of one VM, which begin anew when it is restarted."""

    started_at: float
    groups: Mapping[str, Tally]


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """The counts of all VMs that answered at one time (Unix seconds)."""

    at: float
    vms: Mapping[str, VmCounts]


@dataclass(frozen=True, slots=True, kw_only=True)
class AlertRule:
    """Both windows must burn at `rate` or more; lengths in seconds."""

    name: str
    long: float
    short: float
    rate: float


ALERTS = (
    AlertRule(name="page", long=HOUR, short=HOUR / 12, rate=14.4),
    AlertRule(name="page", long=6 * HOUR, short=HOUR / 2, rate=6.0),
    AlertRule(name="ticket", long=3 * DAY, short=6 * HOUR, rate=1.0),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Alert:
    """A rule that fires for an objective of a group."""

    rule: AlertRule
    objective: str
    long_rate: float
    short_rate: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """How an objective stands that allows a share of bad events.

    `spent` is the share of the whole window's budget that has been used; the
    traffic of the rest of the window is taken to be like that of the time
    that the samples cover.
    """

    target_percent: float
    kept_percent: float
    bad: int
    total: int
    rate: float
    spent: float

    @property
    def kept(self) -> bool:
        """Tell whether the objective was met in the time covered."""
        return self.rate <= 1.0 + ROUNDING


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupReport:
    """All objectives of one group over the time that the samples cover."""

    group: str
    tally: Tally
    objective: Objective
    availability: Budget
    latency: Budget
    alerts: tuple[Alert, ...]
    causes: tuple[tuple[str, int], ...]

    @property
    def replica_share_percent(self) -> float | None:
        """Return the share of reads that replicas served, if any."""
        if not self.tally.reads:
            return None
        return PERCENT * self.tally.replica_reads / self.tally.reads

    @property
    def misses(self) -> tuple[str, ...]:
        """Return the names of the objectives that were not met."""
        share = self.replica_share_percent
        kept = {
            "availability": self.availability.kept,
            "latency": self.latency.kept,
            "failover_gap": (
                self.tally.longest_gap_ms <= self.objective.failover_gap_ms
            ),
            "replica_share": (
                share is None or share >= self.objective.replica_share_percent
            ),
        }
        return tuple(name for name, good in kept.items() if not good)


def judge(
    samples: Sequence[Sample], objectives: Objectives, *, scale: float = 1.0
) -> list[GroupReport]:
    """Return a report for each group that the samples mention.

    The windows of the alerts are multiplied by `scale`. A rule whose short
    window is longer than what the samples cover says nothing.
    """
    if len(samples) < 2:
        return []
    whole = tally_between(samples, samples[0].at, samples[-1].at)
    covered = samples[-1].at - samples[0].at
    return [
        _judge_group(group, tally, samples, covered, objectives, scale)
        for group, tally in sorted(whole.items())
        if tally.total or tally.gaps
    ]


def tally_between(
    samples: Sequence[Sample], begin: float, end: float
) -> dict[str, Tally]:
    """Return what happened from `begin` to `end`, by group.

    Steps from one sample to the next count if they end within the time. A VM
    that was restarted begins at zero, so that all its counts are new; what it
    counted between the last sample and its end is not known to anybody.
    """
    found: dict[str, Tally] = {}
    last: dict[str, VmCounts] = {}
    for sample in samples:
        inside = begin < sample.at <= end
        for vm, counts in sample.vms.items():
            before = last.get(vm)
            last[vm] = counts
            if inside and (before is not None or sample is not samples[0]):
                _add_growth(found, before, counts)
    return found


def _add_growth(
    found: dict[str, Tally], before: VmCounts | None, now: VmCounts
) -> None:
    if before is not None and before.started_at != now.started_at:
        before = None
    for group, tally in now.groups.items():
        old = before.groups.get(group) if before is not None else None
        found.setdefault(group, Tally()).add(_growth(old or Tally(), tally))


def _growth(old: Tally, new: Tally) -> Tally:
    # The longest gap of a process is known only as a maximum over its life:
    # it belongs to this step if it grew in it.
    grew = new.longest_gap_ms > old.longest_gap_ms
    return Tally(
        reads=new.reads - old.reads,
        writes=new.writes - old.writes,
        replica_reads=new.replica_reads - old.replica_reads,
        slow=new.slow - old.slow,
        gaps=new.gaps - old.gaps,
        gap_ms=new.gap_ms - old.gap_ms,
        longest_gap_ms=new.longest_gap_ms if grew else 0,
        failures={
            cause: number - old.failures.get(cause, 0)
            for cause, number in new.failures.items()
            if number > old.failures.get(cause, 0)
        },
    )


def _judge_group(
    group: str,
    tally: Tally,
    samples: Sequence[Sample],
    covered: float,
    objectives: Objectives,
    scale: float,
) -> GroupReport:
    objective = objectives.groups.get(group, objectives.default)
    share = covered / (objectives.window_days * DAY)
    causes = sorted(tally.failures.items(), key=lambda each: -each[1])
    return GroupReport(
        group=group,
        tally=tally,
        objective=objective,
        availability=_budget(
            tally.failed, tally.total, objective.availability_percent, share
        ),
        latency=_budget(
            tally.slow, tally.done, objective.latency_percent, share
        ),
        alerts=tuple(_alerts(group, samples, objective, scale)),
        causes=tuple(causes),
    )


def _budget(bad: int, total: int, target: float, share: float) -> Budget:
    rate = _rate(bad, total, target)
    kept = PERCENT if total == 0 else PERCENT * (total - bad) / total
    return Budget(
        target_percent=target,
        kept_percent=kept,
        bad=bad,
        total=total,
        rate=rate,
        spent=rate * share,
    )


def _rate(bad: int, total: int, target: float) -> float:
    if total == 0:
        return 0.0
    return (bad / total) / (1 - target / PERCENT)


def _alerts(
    group: str, samples: Sequence[Sample], objective: Objective, scale: float
) -> Iterable[Alert]:
    end = samples[-1].at
    covered = end - samples[0].at
    for each in ALERTS:
        rule = replace(each, long=each.long * scale, short=each.short * scale)
        if rule.short > covered:
            continue
        long = tally_between(samples, end - rule.long, end)
        short = tally_between(samples, end - rule.short, end)
        rates = zip(
            _rates(long.get(group, Tally()), objective),
            _rates(short.get(group, Tally()), objective),
            strict=True,
        )
        for (name, long_rate), (_, short_rate) in rates:
            if min(long_rate, short_rate) >= rule.rate:
                yield Alert(
                    rule=rule,
                    objective=name,
                    long_rate=long_rate,
                    short_rate=short_rate,
                )


def _rates(tally: Tally, objective: Objective) -> list[tuple[str, float]]:
    return [
        (
            "availability",
            _rate(tally.failed, tally.total, objective.availability_percent),
        ),
        (
            "latency",
            _rate(tally.slow, tally.done, objective.latency_percent),
        ),
    ]
