"""Read a recorded series and format the report on its objectives.

A series has one JSON object per line, written by `bamboospring record`: the
time and the counts of every VM that answered.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import json
from pathlib import Path
from typing import Any

from bamboospring.burn import Alert
from bamboospring.burn import Budget
from bamboospring.burn import GroupReport
from bamboospring.burn import Sample
from bamboospring.burn import Tally
from bamboospring.burn import VmCounts
from bamboospring.errors import SourceError

__all__ = ["as_json", "as_text", "format_sample", "read_series"]

MINUTE = 60
COUNT_NAMES = (
    "reads",
    "writes",
    "replica_reads",
    "slow",
    "gaps",
    "gap_ms",
    "longest_gap_ms",
)


def format_sample(fleet: Mapping[str, Any], at: float) -> str:
    """Return one line of a series from the data of `/fleet.json`."""
    vms = {
        status["vm"]: {
            "started_at": status["started_at"],
            "counts": status["counts"],
        }
        for status in fleet["vms"]
    }
    silent = [each["vm"] for each in fleet["silent"]]
    return json.dumps({"at": at, "vms": vms, "silent": silent}) + "\n"


def read_series(path: Path) -> list[Sample]:
    """Return the samples of a series, sorted by time.

    Raise `SourceError` with the line if one is malformed.
    """
    samples = []
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except (OSError, UnicodeDecodeError) as exc:
        raise SourceError(f"cannot be read: {exc}", name=str(path)) from exc
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            samples.append(_parse_sample(json.loads(line)))
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            raise SourceError(
                f"malformed sample: {exc!r}", name=str(path), line=number
            ) from exc
    return sorted(samples, key=lambda sample: sample.at)


def _parse_sample(data: Mapping[str, Any]) -> Sample:
    return Sample(
        at=float(data["at"]),
        vms={
            vm: VmCounts(
                started_at=float(each["started_at"]),
                groups={
                    group: _parse_tally(counts)
                    for group, counts in each["counts"].items()
                },
            )
            for vm, each in data["vms"].items()
        },
    )


def _parse_tally(counts: Mapping[str, Any]) -> Tally:
    failures = {
        str(cause): int(number) for cause, number in counts["failures"].items()
    }
    numbers = {name: int(counts.get(name, 0)) for name in COUNT_NAMES}
    return Tally(**numbers, failures=failures)


def as_json(
    samples: Sequence[Sample], reports: Iterable[GroupReport]
) -> dict[str, Any]:
    """Return the reports as JSON data."""
    return {
        "begin": samples[0].at if samples else None,
        "end": samples[-1].at if samples else None,
        "samples": len(samples),
        "groups": [_group_as_json(each) for each in reports],
    }


def _group_as_json(report: GroupReport) -> dict[str, Any]:
    share = report.replica_share_percent
    return {
        "group": report.group,
        "misses": list(report.missed_objectives),
        "availability": _budget_as_json(report.availability),
        "latency": _budget_as_json(report.latency),
        "latency_ms": report.objective.latency_ms,
        "failover_gap": {
            "allowed_ms": report.objective.failover_gap_ms,
            "longest_ms": report.tally.longest_gap_ms,
            "gaps": report.tally.gaps,
            "total_ms": report.tally.gap_ms,
        },
        "replica_share": {
            "target_percent": report.objective.replica_share_percent,
            "percent": None if share is None else round(share, 3),
        },
        "causes": dict(report.causes),
        "alerts": [_alert_as_json(alert) for alert in report.alerts],
    }


def _budget_as_json(budget: Budget) -> dict[str, Any]:
    return {
        "target_percent": budget.target_percent,
        "kept_percent": round(budget.kept_percent, 5),
        "bad": budget.bad,
        "total": budget.total,
        "burn_rate": round(budget.burn_rate, 4),
        "budget_spent_percent": round(100 * budget.budget_spent, 4),
    }


def _alert_as_json(alert: Alert) -> dict[str, Any]:
    return {
        "severity": alert.rule.name,
        "objective": alert.objective,
        "long_minutes": round(alert.rule.long / MINUTE, 3),
        "short_minutes": round(alert.rule.short / MINUTE, 3),
        "threshold": alert.rule.burn_rate,
        "long_rate": round(alert.long_rate, 2),
        "short_rate": round(alert.short_rate, 2),
    }


def as_text(samples: Sequence[Sample], reports: Sequence[GroupReport]) -> str:
    """Return the reports as text for a terminal."""
    if not reports:
        return f"No statement was counted over {len(samples)} samples."
    covered = samples[-1].at - samples[0].at
    lines = [f"{len(samples)} samples over {covered:.0f} s"]
    for report in reports:
        lines.append("")
        lines.extend(_format_group(report))
    return "\n".join(lines)


def _format_group(report: GroupReport) -> list[str]:
    tally = report.tally
    objective = report.objective
    share = report.replica_share_percent
    result = "all objectives met"
    if report.missed_objectives:
        result = "missed: " + ", ".join(report.missed_objectives)
    share_text = "no reads" if share is None else f"{share:.1f} % of reads"
    lines = [
        f"{report.group}: {result}",
        f"  availability   {_format_budget(report.availability)}",
        f"  latency        {_format_budget(report.latency)}"
        f" (within {objective.latency_ms} ms)",
        f"  failover gap   longest {tally.longest_gap_ms} ms of "
        f"{objective.failover_gap_ms} ms allowed, {tally.gaps} gaps as "
        "seen by entries",
        f"  replica share  {share_text}, objective "
        f"{objective.replica_share_percent:g} %",
    ]
    lines.extend(
        f"  cause          {cause}: {number}"
        for cause, number in report.causes
    )
    lines.extend(f"  {_format_alert(alert)}" for alert in report.alerts)
    return lines


def _format_budget(budget: Budget) -> str:
    return (
        f"{budget.kept_percent:.3f} % of {budget.total}, objective "
        f"{budget.target_percent:g} %, burn rate {budget.burn_rate:.2f}, "
        f"{100 * budget.budget_spent:.3f} % of the budget spent"
    )


def _format_alert(alert: Alert) -> str:
    rule = alert.rule
    return (
        f"ALERT ({rule.name}) {alert.objective}: burns at "
        f"{alert.long_rate:.1f} over {rule.long / MINUTE:g} min and "
        f"{alert.short_rate:.1f} over {rule.short / MINUTE:g} min, limit "
        f"{rule.burn_rate:g}"
    )
