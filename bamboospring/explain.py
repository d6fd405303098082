"""Explain the outcome of a request from the logs of several VMs.

    bamboospring explain ID vm-*.log
    bamboospring explain --group NAME vm-*.log
    bamboospring explain --catalog VERSION vm-*.log

Clocks of VMs differ, so times order only the events of one VM. Events of a
group on several VMs are ordered by the version of its record, where the lines
contain it.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import json
import re

__all__ = [
    "Event",
    "describe_cause",
    "read_events",
    "describe_catalog",
    "describe_group",
    "describe_request",
]

_FIELD_PATTERN = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# How many earlier events show a VM's knowledge of a group before an event.
MAX_PRECEDING_EVENTS = 6
GROUP_EVENTS = frozenset(
    {
        "record",
        "change_begun",
        "candidate_chosen",
        "proofs_released",
        "release_unanswered",
        "promotion_ordered",
        "change_ended",
        "change_finished",
        "target_told",
        "target",
        "target_gone",
    }
)
CHANGE_EVENTS = frozenset(
    {
        "change_begun",
        "candidate_chosen",
        "proofs_released",
        "release_unanswered",
        "promotion_ordered",
        "change_ended",
        "change_finished",
    }
)
VM_EVENTS = frozenset(
    {"platform_lost", "platform_regained", "facts_from", "readiness"}
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """A parsed log line; `line_index` is its position in the input."""

    name: str
    vm: str
    time: str
    line_index: int
    fields: dict[str, str]

    def format_line(self) -> str:
        """Return the event as text, without the fields of every line."""
        pairs = " ".join(
            f"{key}={value}"
            for key, value in self.fields.items()
            if key not in ("time", "level", "event", "vm")
        )
        return f"{self.vm} {self.time} {self.name} {pairs}"


def read_events(lines: Iterable[str]) -> list[Event]:
    """Parse log lines; skip other lines, such as those of a traceback."""
    events = []
    for line_index, line in enumerate(lines):
        start = line.find("time=")
        if start < 0:
            continue
        fields = {
            key: _unquote(value)
            for key, value in _FIELD_PATTERN.findall(line[start:])
        }
        if "event" in fields:
            events.append(
                Event(
                    name=fields["event"],
                    vm=fields.get("vm", ""),
                    time=fields.get("time", ""),
                    line_index=line_index,
                    fields=fields,
                )
            )
    return events


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def describe_request(events: Sequence[Event], trace: str) -> list[str]:
    """Return the events of a request and their causes as lines of text."""
    matching = [e for e in events if e.fields.get("trace") == trace]
    if not matching:
        dropped = sum(
            int(e.fields.get("lines", "0"))
            for e in events
            if e.name == "left_out"
        )
        return [
            f"No line names {trace}.",
            "Either none of these VMs had it, or it succeeded and its line "
            f"was left out ({dropped} lines were); failures are not left "
            "out below 100 lines per second.",
        ]
    lines = []
    for event in matching:
        lines.append(event.format_line())
        lines.extend(
            f"  before: {e.format_line()}"
            for e in _preceding_events(events, event)
        )
        lines.append(f"  cause: {describe_cause(event)}")
        group = event.fields.get("group", "")
        if _may_be_caused_by_change(event):
            lines.extend(
                f"  change: {text}"
                for text in _nearest_change(events, event, group)
            )
    return lines


def _preceding_events(events: Sequence[Event], event: Event) -> list[Event]:
    """Return the VM's latest events on the group and the platform."""
    group = event.fields.get("group")
    found = [
        e
        for e in events
        if e.vm == event.vm
        and e.line_index < event.line_index
        and (
            (e.name in GROUP_EVENTS and e.fields.get("group") == group)
            or e.name in VM_EVENTS
        )
    ]
    return found[-MAX_PRECEDING_EVENTS:]


def _may_be_caused_by_change(event: Event) -> bool:
    reason = event.fields.get("reason", "")
    return reason in (
        "no_primary",
        "primary_changed",
        "target_unreachable",
        "answer_lost",
        "transaction_lost",
        "deadline",
        "target_leaving",
    )


def _nearest_change(
    events: Sequence[Event], event: Event, group: str
) -> list[str]:
    """Return the change of primary that is closest to an event in time."""
    of_group = [
        e
        for e in events
        if e.name in CHANGE_EVENTS and e.fields.get("group") == group
    ]
    ended = [
        e for e in of_group if e.name == "change_ended" and e.time > event.time
    ]
    until = min((e.time for e in ended), default="~")
    begun = [
        e for e in of_group if e.name == "change_begun" and e.time <= until
    ]
    since = max((e.time for e in begun), default="~")
    return [e.format_line() for e in of_group if since <= e.time <= until]


_CAUSE_TEXTS = {
    "no_primary": "a change of primary was under way, or no primary is agreed",
    "primary_changed": "the proof of the primary had expired, or the target "
    "reported that it is no longer the primary",
    "target_unreachable": "no connection to the target could be opened",
    "answer_lost": "the connection was lost after the statement was sent",
    "deadline": "the target did not answer within the route's deadline",
    "transaction_lost": "the transaction's connection or target was lost",
    "transaction_idle": "the caller was idle in the transaction for too long",
    "stale": "no reachable target was as recent as the read requires",
    "target_leaving": "the primary was leaving and not yet replaced",
    "queue_full": "it would not have got a connection before its deadline",
    "caller_limit": "its caller had too many statements in the queue",
    "target_slots": "the target's own queue was full",
    "target_connections": "the target had reached its limit of connections",
    "unknown_group": "no route in force has this database",
    "draining": "the VM was shutting down",
    "starting": "the VM had just started and lacked the fleet's state",
    "caller_gone": "its caller had disconnected",
    "sql": "the target reported that it failed",
    "bad_request": "it was malformed",
    "no_statement": "no prepared statement has this name",
}


def describe_cause(event: Event) -> str:
    """Return the cause of a statement's outcome as a sentence."""
    fields = event.fields
    outcome = fields.get("outcome", "")
    if outcome == "served":
        took, waited = fields.get("took_ms"), fields.get("waited_ms")
        return f"served in {took} ms, of which {waited} ms before it was sent"
    reason = fields.get("reason", "")
    text = _CAUSE_TEXTS.get(reason, reason)
    waited_for = fields.get("waited_for", "")
    if waited_for:
        text += f" while it waited for {waited_for}"
    targets = fields.get("targets") or "no target"
    proof = fields.get("proof_age_ms", "-1")
    age = "" if proof == "-1" else f"; the proof was {proof} ms old"
    return f"{text} (sent to {targets}{age})"


def describe_group(events: Sequence[Event], group: str) -> list[str]:
    """Return all changes of a group's primary and its records."""
    of_group = [
        e
        for e in events
        if e.name in CHANGE_EVENTS | {"record"}
        and e.fields.get("group") == group
    ]
    seen: set[tuple[str, str]] = set()
    lines = []
    for event in sorted(of_group, key=_sort_key):
        key = (event.name, event.fields.get("version", event.time))
        if event.name == "record" and key in seen:
            continue
        seen.add(key)
        lines.append(event.format_line())
    return lines or [f"No line names the group {group}."]


def _sort_key(event: Event) -> tuple[str, int]:
    return event.time, event.line_index


def describe_catalog(events: Sequence[Event], version: str) -> list[str]:
    """Return when each VM heard of a configuration and put it in force."""
    found = [
        e
        for e in events
        if e.name in ("catalog", "catalog_announced")
        and e.fields.get("version") == version
    ]
    if not found:
        return [f"No line names version {version}."]
    return [e.format_line() for e in sorted(found, key=_sort_key)]
