"""Service-level objectives: error budgets, burn rates and alerts.

Pure functions over samples of the counts that every VM keeps
(`bamboospring.metrics.GroupCounts`). A burn rate of 1 uses up the error
budget exactly at the end of the objectives' window; a burn rate of 14.4 uses
2 % of a 30-day budget in one hour.

Alerts fire only if both a long and a short window exceed the threshold. The
long window shows that the loss is significant, the short one that it is still
going on.
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
    "evaluate_objectives",
    "tally_between",
]

HOUR = 3600.0
DAY = 24 * HOUR
PERCENT = 100.0
# 1 - 0.999 is slightly less than 0.001 in binary floating point. Without a
# tolerance an objective that is met exactly would count as missed.
RATE_TOLERANCE = 1e-9


@dataclass(slots=True, kw_only=True)
class Tally:
    """Counts of the statements of one group in a period of time."""

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
        """Return the number of statements that were done."""
        return self.reads + self.writes

    @property
    def failed(self) -> int:
        """Return the number refused or unknown without a caller's error."""
        return sum(self.failures.values())

    @property
    def total(self) -> int:
        """Return the number of statements that count for availability."""
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
    """The counts of one VM, which are reset when it restarts."""

    started_at: float
    groups: Mapping[str, Tally]


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """The counts of all VMs that answered, at one time (Unix seconds)."""

    at: float
    vms: Mapping[str, VmCounts]


@dataclass(frozen=True, slots=True, kw_only=True)
class AlertRule:
    """Fires if both windows reach `burn_rate`.

    `long` and `short` are the lengths of the windows in seconds.
    """

    name: str
    long: float
    short: float
    burn_rate: float


ALERTS = (
    AlertRule(name="page", long=HOUR, short=HOUR / 12, burn_rate=14.4),
    AlertRule(name="page", long=6 * HOUR, short=HOUR / 2, burn_rate=6.0),
    AlertRule(
        name="ticket",
        long=3 * DAY,
        short=6 * HOUR,
        burn_rate=1.0,
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Alert:
    """A firing rule for an objective of a group."""

    rule: AlertRule
    objective: str
    long_rate: float
    short_rate: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """The state of an objective that allows a share of bad events.

    `budget_spent` is the share of the whole window's error budget that has
    been used. It assumes that traffic in the rest of the window is like that
    in the time covered by the samples.
    """

    target_percent: float
    kept_percent: float
    bad: int
    total: int
    burn_rate: float
    budget_spent: float

    @property
    def is_met(self) -> bool:
        """Return whether the objective was met in the time covered."""
        return self.burn_rate <= 1.0 + RATE_TOLERANCE


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupReport:
    """All objectives of one group over the time covered by the samples."""

    group: str
    tally: Tally
    objective: Objective
    availability: Budget
    latency: Budget
    alerts: tuple[Alert, ...]
    causes: tuple[tuple[str, int], ...]

    @property
    def replica_share_percent(self) -> float | None:
        """Return the share of reads served by replicas; None without reads."""
        if not self.tally.reads:
            return None
        return PERCENT * self.tally.replica_reads / self.tally.reads

    @property
    def missed_objectives(self) -> tuple[str, ...]:
        """Return the names of the objectives that were not met."""
        share = self.replica_share_percent
        kept = {
            "availability": self.availability.is_met,
            "latency": self.latency.is_met,
            "failover_gap": (
                self.tally.longest_gap_ms <= self.objective.failover_gap_ms
            ),
            "replica_share": (
                share is None or share >= self.objective.replica_share_percent
            ),
        }
        return tuple(name for name, good in kept.items() if not good)


def evaluate_objectives(
    samples: Sequence[Sample], objectives: Objectives, *, scale: float = 1.0
) -> list[GroupReport]:
    """Return a report for each group in the samples.

    The windows of the alerts are multiplied by `scale`. A rule whose short
    window is longer than the time covered by the samples does not fire.
    """
    if len(samples) < 2:
        return []
    total = tally_between(samples, samples[0].at, samples[-1].at)
    covered_seconds = samples[-1].at - samples[0].at
    return [
        _evaluate_group(
            group, tally, samples, covered_seconds, objectives, scale
        )
        for group, tally in sorted(total.items())
        if tally.total or tally.gaps
    ]


def tally_between(
    samples: Sequence[Sample], start: float, end: float
) -> dict[str, Tally]:
    """Return the counts from `start` to `end`, by group.

    An interval between two samples counts if it ends within this time. The
    counts of a restarted VM start at zero, so that all of them are new. What
    it counted between its last sample and its end is lost.
    """
    tallies: dict[str, Tally] = {}
    latest: dict[str, VmCounts] = {}
    for sample in samples:
        in_window = start < sample.at <= end
        for vm, counts in sample.vms.items():
            before = latest.get(vm)
            latest[vm] = counts
            if in_window and (before is not None or sample is not samples[0]):
                _add_difference(tallies, before, counts)
    return tallies


def _add_difference(
    tallies: dict[str, Tally], before: VmCounts | None, after: VmCounts
) -> None:
    if before is not None and before.started_at != after.started_at:
        before = None
    for group, tally in after.groups.items():
        old = before.groups.get(group) if before is not None else None
        tallies.setdefault(group, Tally()).add(
            _difference(old or Tally(), tally)
        )


def _difference(before: Tally, after: Tally) -> Tally:
    # The longest gap is known only as a maximum since the start of a process.
    # It belongs to this interval if it grew in it.
    grew = after.longest_gap_ms > before.longest_gap_ms
    return Tally(
        reads=after.reads - before.reads,
        writes=after.writes - before.writes,
        replica_reads=after.replica_reads - before.replica_reads,
        slow=after.slow - before.slow,
        gaps=after.gaps - before.gaps,
        gap_ms=after.gap_ms - before.gap_ms,
        longest_gap_ms=after.longest_gap_ms if grew else 0,
        failures={
            cause: number - before.failures.get(cause, 0)
            for cause, number in after.failures.items()
            if number > before.failures.get(cause, 0)
        },
    )


def _evaluate_group(
    group: str,
    tally: Tally,
    samples: Sequence[Sample],
    covered_seconds: float,
    objectives: Objectives,
    scale: float,
) -> GroupReport:
    objective = objectives.groups.get(group, objectives.default)
    window_share = covered_seconds / (objectives.window_days * DAY)
    causes = sorted(tally.failures.items(), key=lambda each: -each[1])
    return GroupReport(
        group=group,
        tally=tally,
        objective=objective,
        availability=_budget(
            tally.failed,
            tally.total,
            objective.availability_percent,
            window_share,
        ),
        latency=_budget(
            tally.slow, tally.done, objective.latency_percent, window_share
        ),
        alerts=tuple(_alerts(group, samples, objective, scale)),
        causes=tuple(causes),
    )


def _budget(
    bad: int, total: int, target: float, window_share: float
) -> Budget:
    rate = _burn_rate(bad, total, target)
    kept_percent = PERCENT if total == 0 else PERCENT * (total - bad) / total
    return Budget(
        target_percent=target,
        kept_percent=kept_percent,
        bad=bad,
        total=total,
        burn_rate=rate,
        budget_spent=rate * window_share,
    )


def _burn_rate(bad: int, total: int, target: float) -> float:
    if total == 0:
        return 0.0
    return (bad / total) / (1 - target / PERCENT)


def _alerts(
    group: str, samples: Sequence[Sample], objective: Objective, scale: float
) -> Iterable[Alert]:
    end = samples[-1].at
    covered_seconds = end - samples[0].at
    for each in ALERTS:
        rule = replace(
            each,
            long=each.long * scale,
            short=each.short * scale,
        )
        if rule.short > covered_seconds:
            continue
        long = tally_between(samples, end - rule.long, end)
        short = tally_between(samples, end - rule.short, end)
        rates = zip(
            _burn_rates(long.get(group, Tally()), objective),
            _burn_rates(short.get(group, Tally()), objective),
            strict=True,
        )
        for (name, long_rate), (_, short_rate) in rates:
            if min(long_rate, short_rate) >= rule.burn_rate:
                yield Alert(
                    rule=rule,
                    objective=name,
                    long_rate=long_rate,
                    short_rate=short_rate,
                )


def _burn_rates(tally: Tally, objective: Objective) -> list[tuple[str, float]]:
    return [
        (
            "availability",
            _burn_rate(
                tally.failed, tally.total, objective.availability_percent
            ),
        ),
        (
            "latency",
            _burn_rate(tally.slow, tally.done, objective.latency_percent),
        ),
    ]
