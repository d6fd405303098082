"""Count failed statements and their reasons in the logs of all VMs.

    bamboospring losses --since 2026-01-31T09:30:00 vm-*.log

Prints a row for each group, kind of statement and reason, with the first and
last second. This is the overview of an incident, before `bamboospring explain`
shows single requests.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from collections import Counter
from dataclasses import dataclass

from bamboospring.explain import Event

__all__ = ["Loss", "count_losses", "format_losses"]

SUCCESS_OUTCOMES = frozenset({"served", "acknowledged"})
# Times in logs are text of a fixed format; so many characters name a second.
SECOND_LENGTH = len("2026-01-31T09:30:00")
NO_LOSSES = "No statement failed."


@dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """Statements of one group and kind that failed for one reason."""

    group: str
    kind: str
    outcome: str
    reason: str
    waited_for: str
    count: int
    first: str
    last: str


def count_losses(
    events: Iterable[Event], *, since: str = "", until: str = "~"
) -> list[Loss]:
    """Count the failed statements, the most frequent first.

    `since` and `until` are compared with the times of the lines as text.
    """
    counts: Counter[tuple[str, str, str, str, str]] = Counter()
    times: dict[tuple[str, str, str, str, str], list[str]] = {}
    for event in events:
        fields = event.fields
        if (
            event.name != "answered"
            or fields.get("outcome") in SUCCESS_OUTCOMES
        ):
            continue
        if not since <= event.time <= until:
            continue
        key = (
            fields.get("group", ""),
            _statement_kind(fields),
            fields.get("outcome", ""),
            fields.get("reason", ""),
            fields.get("waited_for", ""),
        )
        counts[key] += 1
        times.setdefault(key, []).append(event.time[:SECOND_LENGTH])
    return [
        Loss(
            group=key[0],
            kind=key[1],
            outcome=key[2],
            reason=key[3],
            waited_for=key[4],
            count=count,
            first=min(times[key]),
            last=max(times[key]),
        )
        for key, count in counts.most_common()
    ]


def _statement_kind(fields: dict[str, str]) -> str:
    kind = fields.get("kind", "")
    return (
        f"{kind} in transaction"
        if fields.get("transaction") == "true"
        else kind
    )


def format_losses(losses: Sequence[Loss]) -> list[str]:
    """Return the losses as lines of text."""
    if not losses:
        return [NO_LOSSES]
    lines = []
    for loss in losses:
        cause_suffix = (
            f", waited for {loss.waited_for}" if loss.waited_for else ""
        )
        lines.append(
            f"{loss.count:6d} {loss.group} {loss.kind}: {loss.outcome}, "
            f"{loss.reason}{cause_suffix} ({loss.first} to {loss.last})"
        )
    return lines
