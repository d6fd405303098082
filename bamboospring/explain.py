"""Tell from the logs of several VMs what became of a request, and why.

    bamboospring explain ID vm-*.log
    bamboospring explain --group NAME vm-*.log
    bamboospring explain --catalog VERSION vm-*.log

Clocks of VMs differ, so what happened is put in order by causes where the
lines give them: a group's events by the version of its record, and only those
of one VM by its own time.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import json
import re

__all__ = [
    "Event",
    "cause_of",
    "read_events",
    "story_of_catalog",
    "story_of_group",
    "story_of_request",
]

_PAIR = re.compile(r'([A-Za-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# What a VM believed of a group is told as far back as this many of its lines.
MOST_BEFORE = 6
GROUP_EVENTS = frozenset(
    {
        "record",
        "change_begun",
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
    """One log line: its name, its VM, its fields and its place."""

    name: str
    vm: str
    time: str
    place: int
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line without what every line has."""
        pairs = " ".join(
            f"{key}={value}"
            for key, value in self.fields.items()
            if key not in ("time", "level", "event", "vm")
        )
        return f"{self.vm} {self.time} {self.name} {pairs}"


def read_events(lines: Iterable[str]) -> list[Event]:
    """Read log lines; others, as of a crash, are left out."""
    events = []
    for place, line in enumerate(lines):
        start = line.find("time=")
        if start < 0:
            continue
        fields = {
            key: _unquoted(value) for key, value in _PAIR.findall(line[start:])
        }
        if "event" in fields:
            events.append(
                Event(
                    name=fields["event"],
                    vm=fields.get("vm", ""),
                    time=fields.get("time", ""),
                    place=place,
                    fields=fields,
                )
            )
    return events


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value


def story_of_request(events: Sequence[Event], trace: str) -> list[str]:
    """Return the story of a request, cause last."""
    own = [e for e in events if e.fields.get("trace") == trace]
    if not own:
        left_out = sum(
            int(e.fields.get("lines", "0"))
            for e in events
            if e.name == "left_out"
        )
        return [
            f"No line names {trace}.",
            "Either none of these VMs had it, or it went well and its line "
            f"was left out ({left_out} lines were); what fails is not left "
            "out below 100 lines a second.",
        ]
    lines = []
    for event in own:
        lines.append(event.text())
        lines.extend(f"  before: {e.text()}" for e in _before(events, event))
        lines.append(f"  cause: {cause_of(event)}")
        group = event.fields.get("group", "")
        if _is_of_change(event):
            lines.extend(
                f"  change: {text}"
                for text in _change_around(events, event, group)
            )
    return lines


def _before(events: Sequence[Event], event: Event) -> list[Event]:
    """Return what its VM had last learnt of the group and the platform."""
    group = event.fields.get("group")
    found = [
        e
        for e in events
        if e.vm == event.vm
        and e.place < event.place
        and (
            (e.name in GROUP_EVENTS and e.fields.get("group") == group)
            or e.name in VM_EVENTS
        )
    ]
    return found[-MOST_BEFORE:]


def _is_of_change(event: Event) -> bool:
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


def _change_around(
    events: Sequence[Event], event: Event, group: str
) -> list[str]:
    """Return the change of primary nearest to an event, by time."""
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
    return [e.text() for e in of_group if since <= e.time <= until]


_CAUSES = {
    "no_primary": "a change of primary was under way, or none is agreed",
    "primary_changed": "the proof of the primary had lapsed, or the target "
    "said that it leads no more",
    "target_unreachable": "no connection to the target could be had",
    "answer_lost": "the connection ended after the statement was sent",
    "deadline": "the target did not answer within the route's time",
    "transaction_lost": "the transaction's connection or target was lost",
    "transaction_idle": "the caller rested inside the transaction",
    "stale": "no target reached had what the read must see",
    "target_leaving": "the primary was leaving and not yet replaced",
    "queue_full": "it would not have got a connection in time",
    "caller_limit": "its caller had too much waiting already",
    "target_slots": "the target's own queue was full",
    "target_connections": "the target allowed no connection more",
    "unknown_group": "no route in force has this database",
    "draining": "the VM was told to stop",
    "starting": "the VM had just started and knew too little",
    "caller_gone": "its caller had left",
    "sql": "the target said that it failed",
    "bad_request": "it could not be understood",
    "no_statement": "no statement of this name was prepared",
}


def cause_of(event: Event) -> str:
    """Return in words why a statement ended as it did."""
    fields = event.fields
    outcome = fields.get("outcome", "")
    if outcome == "served":
        took, waited = fields.get("took_ms"), fields.get("waited_ms")
        return f"served in {took} ms, {waited} of them before it was sent"
    reason = fields.get("reason", "")
    text = _CAUSES.get(reason, reason)
    waited_for = fields.get("waited_for", "")
    if waited_for:
        text += f" while it waited for {waited_for}"
    targets = fields.get("targets") or "no target"
    proof = fields.get("proof_age_ms", "-1")
    age = "" if proof == "-1" else f"; the proof was {proof} ms old"
    return f"{text} (sent to {targets}{age})"


def story_of_group(events: Sequence[Event], group: str) -> list[str]:
    """Return all changes of a group's primary, ordered by its record."""
    of_group = [
        e
        for e in events
        if e.name in CHANGE_EVENTS | {"record"}
        and e.fields.get("group") == group
    ]
    seen: set[tuple[str, str]] = set()
    lines = []
    for event in sorted(of_group, key=_order_of):
        key = (event.name, event.fields.get("version", event.time))
        if event.name == "record" and key in seen:
            continue
        seen.add(key)
        lines.append(event.text())
    return lines or [f"No line names the group {group}."]


def _order_of(event: Event) -> tuple[str, int]:
    return event.time, event.place


def story_of_catalog(events: Sequence[Event], version: str) -> list[str]:
    """Return when each VM put a version of the configuration in force."""
    found = [
        e
        for e in events
        if e.name == "catalog" and e.fields.get("version") == version
    ]
    if not found:
        return [f"No line names version {version}."]
    return [e.text() for e in sorted(found, key=_order_of)]
