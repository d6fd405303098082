"""What callers lost between two moments, and why, from the logs of all VMs.

    bamboospring losses --since 2026-01-31T09:30:00 vm-*.log

A row for each group, kind of statement and reason, with the seconds in which
it happened: what an operator asks first after an incident, before the story
of any one request.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from collections import Counter
from dataclasses import dataclass

from bamboospring.explain import Event

__all__ = ["Loss", "count_losses", "losses_text"]

WELL = frozenset({"served", "acknowledged"})
# Times in logs are text of a fixed form; so many characters name a second.
SECOND = len("2026-01-31T09:30:00")
NONE = "No statement failed."


@dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """Statements of one group and kind that ended badly for one reason."""

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
    """Count the statements that ended badly, the most frequent first.

    `since` and `until` are compared with the times of the lines as text.
    """
    counts: Counter[tuple[str, str, str, str, str]] = Counter()
    times: dict[tuple[str, str, str, str, str], list[str]] = {}
    for event in events:
        fields = event.fields
        if event.name != "answered" or fields.get("outcome") in WELL:
            continue
        if not since <= event.time <= until:
            continue
        key = (
            fields.get("group", ""),
            _kind(fields),
            fields.get("outcome", ""),
            fields.get("reason", ""),
            fields.get("waited_for", ""),
        )
        counts[key] += 1
        times.setdefault(key, []).append(event.time[:SECOND])
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


def _kind(fields: dict[str, str]) -> str:
    kind = fields.get("kind", "")
    return (
        f"{kind} in transaction"
        if fields.get("transaction") == "true"
        else kind
    )


def losses_text(losses: Sequence[Loss]) -> list[str]:
    """Return the losses as lines of text."""
    if not losses:
        return [NONE]
    lines = []
    for loss in losses:
        waited = f", waited for {loss.waited_for}" if loss.waited_for else ""
        lines.append(
            f"{loss.count:6d} {loss.group} {loss.kind}: {loss.outcome}, "
            f"{loss.reason}{waited} ({loss.first} to {loss.last})"
        )
    return lines
