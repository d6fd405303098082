"""The fleet as a page to look at."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from html import escape
from typing import Any

from bamboospring.fleet_report import Fleet
from bamboospring.fleet_report import GroupLine
from bamboospring.fleet_report import summarise
from bamboospring.fleet_report import VmLine

__all__ = ["page"]

REFRESH_SECONDS = 5
MEGABYTE = 1_000_000

STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #ccc; padding: 4px 8px; text-align: left; }
th { background: #f3f3f3; }
.bad { color: #a00; font-weight: 600; }
.good { color: #060; font-weight: 600; }
"""


def page(found: Mapping[str, Any]) -> str:
    """Return the page for the data of `/fleet.json`."""
    fleet = summarise(found)
    verdict = (
        '<p class="good">Nothing needs attention.</p>'
        if fleet.good
        else '<p class="bad">Something needs attention.</p>'
    )
    return (
        "<!doctype html><html lang=en><head><meta charset=utf-8>"
        f'<meta http-equiv="refresh" content="{REFRESH_SECONDS}">'
        f"<title>bamboospring</title><style>{STYLE}</style></head><body>"
        f"<h1>bamboospring</h1><p>As {_text(found['asked_by'])} sees it. "
        '<a href="/table/page">Table</a></p>'
        f"{verdict}{_groups(fleet)}{_vms(fleet)}</body></html>"
    )


def _groups(fleet: Fleet) -> str:
    head = (
        "Group",
        "Term",
        "Primary",
        "Steward",
        "Holders",
        "Slots (used/shared/limit)",
        "Connections",
        "Waiting",
        "Targets",
        "",
    )
    return "<h2>Groups</h2>" + _table(head, map(_group_row, fleet.groups))


def _group_row(line: GroupLine) -> list[str]:
    return [
        _text(line.group),
        _text(line.term),
        _text(line.primary or "none"),
        _text(line.steward or "none"),
        _text(", ".join(line.holders)),
        _text(line.slots),
        _text(line.connections),
        _text(line.waiting),
        "<br>".join(_target(each) for each in line.targets),
        _problems(line.problems),
    ]


def _target(target: Mapping[str, Any]) -> str:
    parts = [f"{target['name']} ({target['site']}): {target['role']}"]
    parts.append(f"applied {target['applied']}")
    if target["lag_ms"] is not None:
        parts.append(f"lag {target['lag_ms']} ms")
    return _text(", ".join(parts))


def _vms(fleet: Fleet) -> str:
    head = (
        "VM",
        "Zone",
        "State",
        "Version",
        "Up (s)",
        "Leases",
        "Groups",
        "Memory (MB)",
        "Table",
    )
    return "<h2>VMs</h2>" + _table(head, map(_vm_row, fleet.vms))


def _vm_row(line: VmLine) -> list[str]:
    state = _text(line.state)
    if line.state != "ready":
        state = f'<span class="bad">{state}</span>'
    behind = ""
    if line.behind:
        behind = f"behind in shards {', '.join(line.behind)}"
    return [
        _text(line.vm),
        _text(line.availability_zone),
        state,
        _text(line.version),
        _text(line.uptime_s),
        _text(", ".join(map(str, line.leases))),
        _text(line.groups),
        _text(round(line.memory_bytes / MEGABYTE)),
        _problems((behind,) if behind else ()),
    ]


def _problems(problems: tuple[str, ...]) -> str:
    if not problems:
        return '<span class="good">good</span>'
    return f'<span class="bad">{_text("; ".join(problems))}</span>'


def _table(head: Iterable[str], rows: Iterable[list[str]]) -> str:
    cells = "".join(f"<th>{_text(each)}</th>" for each in head)
    body = "".join(
        "<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{cells}</tr>{body}</table>"


def _text(value: object) -> str:
    return escape(str(value))
