"""HTML page with the status of the fleet."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from html import escape
from typing import Any

from bamboospring.fleet_report import FleetSummary
from bamboospring.fleet_report import GroupSummary
from bamboospring.fleet_report import summarize_fleet
from bamboospring.fleet_report import VmSummary

__all__ = ["render_page"]

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


def render_page(data: Mapping[str, Any]) -> str:
    """Return the page for the data of `/fleet.json`."""
    fleet = summarize_fleet(data)
    summary = (
        '<p class="good">Nothing needs attention.</p>'
        if fleet.is_healthy
        else '<p class="bad">Something needs attention.</p>'
    )
    return (
        "<!doctype html><html lang=en><head><meta charset=utf-8>"
        f'<meta http-equiv="refresh" content="{REFRESH_SECONDS}">'
        f"<title>bamboospring</title><style>{STYLE}</style></head><body>"
        f"<h1>bamboospring</h1><p>As seen by {_escape(data['asked_by'])}. "
        '<a href="/table/page">Table</a></p>'
        f"{summary}{_groups_section(fleet)}{_vms_section(fleet)}</body></html>"
    )


def _groups_section(fleet: FleetSummary) -> str:
    headings = (
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
    return "<h2>Groups</h2>" + _table(headings, map(_group_row, fleet.groups))


def _group_row(line: GroupSummary) -> list[str]:
    return [
        _escape(line.group),
        _escape(line.term),
        _escape(line.primary or "none"),
        _escape(line.steward or "none"),
        _escape(", ".join(line.holders)),
        _escape(line.slots),
        _escape(line.connections),
        _escape(line.waiting),
        "<br>".join(_target_text(each) for each in line.targets),
        _problems_cell(line.problems),
    ]


def _target_text(target: Mapping[str, Any]) -> str:
    parts = [f"{target['name']} ({target['site']}): {target['role']}"]
    parts.append(f"applied {target['applied']}")
    if target["lag_ms"] is not None:
        parts.append(f"lag {target['lag_ms']} ms")
    return _escape(", ".join(parts))


def _vms_section(fleet: FleetSummary) -> str:
    headings = (
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
    return "<h2>VMs</h2>" + _table(headings, map(_vm_row, fleet.vms))


def _vm_row(line: VmSummary) -> list[str]:
    state = _escape(line.state)
    if line.state != "ready":
        state = f'<span class="bad">{state}</span>'
    outdated = ""
    if line.outdated_shards:
        outdated = f"behind in shards {', '.join(line.outdated_shards)}"
    return [
        _escape(line.vm),
        _escape(line.availability_zone),
        state,
        _escape(line.version),
        _escape(line.uptime_s),
        _escape(", ".join(map(str, line.leases))),
        _escape(line.groups),
        _escape(round(line.memory_bytes / MEGABYTE)),
        _problems_cell((outdated,) if outdated else ()),
    ]


def _problems_cell(problems: tuple[str, ...]) -> str:
    if not problems:
        return '<span class="good">good</span>'
    return f'<span class="bad">{_escape("; ".join(problems))}</span>'


def _table(headings: Iterable[str], rows: Iterable[list[str]]) -> str:
    heading_cells = "".join(f"<th>{_escape(each)}</th>" for each in headings)
    body = "".join(
        "<tr>" + "".join(f"<td>{cell}</td>" for cell in row) + "</tr>"
        for row in rows
    )
    return f"<table><tr>{heading_cells}</tr>{body}</table>"


def _escape(value: object) -> str:
    return escape(str(value))
