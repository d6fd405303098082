"""HTML page to view and edit the table in a browser.

A script on the page sends edits as JSON, with the version of each row shown. A
form on another site can't send JSON, which protects against cross-site request
forgery through the browser of a signed-in operator.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from html import escape
import json
from typing import Any

from bamboospring.table import COLUMNS

__all__ = ["render_page"]

HEADINGS = {
    "read_weights": "Read weights",
    "write_weights": "Write weights",
    "max_connections": "Connections",
    "max_slots": "Slots",
    "max_staleness_ms": "Staleness (ms)",
    "leaving_targets": "Leaving targets",
}
MAX_SHOWN_CHANGES = 30

STYLE = """
body { font: 14px/1.4 system-ui, sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; }
th, td { border: 1px solid #ccc; padding: 4px 8px; text-align: left; }
th { background: #f3f3f3; }
td input { font: inherit; width: 12em; border: 1px solid #ddd; }
td input[name^="max_"] { width: 5em; }
th { white-space: nowrap; }
td input.changed { background: #fff6d6; }
.note { color: #666; }
#report { white-space: pre-wrap; font-family: monospace; }
.bad { color: #a00; }
.good { color: #060; }
"""

SCRIPT = """
function cellsOf(row) {
  const cells = {};
  for (const input of row.querySelectorAll("input.changed")) {
    cells[input.name] = JSON.parse(input.value);
  }
  return cells;
}
function describe(report) {
  const lines = [report.verdict + " " + report.message];
  for (const error of report.errors || []) {
    lines.push(error.group + ", " + error.column + ": " + error.message);
  }
  for (const conflict of report.conflicts || []) {
    lines.push(conflict.group + " is now at version " + conflict.current);
    for (const change of conflict.changes) {
      lines.push("  " + [change.at, change.author, change.comment].join(" "));
    }
    lines.push("  now: " + JSON.stringify(conflict.row));
  }
  for (const cell of report.cells || []) {
    lines.push(cell.group + "." + cell.column + ": " +
      JSON.stringify(cell.before) + " -> " + JSON.stringify(cell.after));
  }
  return lines.join("\\n");
}
async function send(checkOnly) {
  const shown = document.getElementById("report");
  shown.className = "";
  shown.textContent = "sending";
  const edits = [];
  try {
    for (const row of document.querySelectorAll("tr[data-group]")) {
      const cells = cellsOf(row);
      if (Object.keys(cells).length === 0) continue;
      edits.push({group: row.dataset.group, cells: cells,
                  if_version: Number(row.dataset.version)});
    }
  } catch (error) {
    shown.className = "bad";
    shown.textContent = "not JSON: " + error.message;
    return;
  }
  const body = {
    id: crypto.randomUUID ? crypto.randomUUID() : String(Math.random()),
    author: document.getElementById("author").value,
    comment: document.getElementById("comment").value,
    check_only: checkOnly, edits: edits};
  const answer = await fetch("/table/edits", {method: "POST",
    headers: {"Content-Type": "application/json"},
    body: JSON.stringify(body)});
  const report = await answer.json();
  shown.className = answer.ok ? "good" : "bad";
  shown.textContent = report.error || describe(report);
}
for (const input of document.querySelectorAll("td input")) {
  input.addEventListener("input", function () {
    input.classList.toggle("changed", input.value !== input.defaultValue);
  });
}
document.getElementById("check").onclick = function () { send(true); };
document.getElementById("accept").onclick = function () { send(false); };
"""


def render_page(
    table: Mapping[str, Any], history: Sequence[Mapping[str, Any]]
) -> str:
    """Return the page for a table and its history, both as JSON data."""
    editable = table["source"] == "accepted"
    parts = [
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>",
        f"<title>Table</title><style>{STYLE}</style></head><body>",
        "<h1>Table</h1>",
        _source_paragraph(table),
        _rows_table(table["rows"], editable),
        _form() if editable else "",
        "<h2>History</h2>",
        _history_table(history[:MAX_SHOWN_CHANGES]),
        f"<script>{SCRIPT}</script>" if editable else "",
        "</body></html>",
    ]
    return "\n".join(parts)


def _source_paragraph(table: Mapping[str, Any]) -> str:
    vm = escape(table["vm"])
    if table["source"] == "accepted":
        text = f"Accepted rows at the platform, read by {vm}."
    else:
        text = (
            "The platform does not answer. These are the rows in force at "
            f"{vm}; they can't be edited."
        )
    versions = ", ".join(
        f"{escape(shard)}: {version}"
        for shard, version in table["shards"].items()
    )
    return (
        f"<p class='note'>{text}<br>Shard versions in force here: "
        f"{versions or 'none'}</p>"
    )


def _rows_table(rows: Iterable[Mapping[str, Any]], editable: bool) -> str:
    head = "".join(f"<th>{HEADINGS[name]}</th>" for name in COLUMNS)
    body = "\n".join(_row(row, editable) for row in rows)
    return f"<table><tr><th>Group</th>{head}</tr>\n{body}</table>"


def _row(row: Mapping[str, Any], editable: bool) -> str:
    group = escape(row["group"], quote=True)
    cells = "".join(_cell(name, row[name], editable) for name in COLUMNS)
    return (
        f"<tr data-group='{group}' data-version='{row['version']}'>"
        f"<th>{group}</th>{cells}</tr>"
    )


def _cell(column: str, value: Any, editable: bool) -> str:
    text = escape(json.dumps(value), quote=True)
    if not editable:
        return f"<td>{text}</td>"
    label = escape(HEADINGS[column], quote=True)
    return (
        f"<td><input name='{column}' value='{text}' "
        f"aria-label='{label}'></td>"
    )


def _form() -> str:
    return (
        "<p><label>Author <input id='author'></label> "
        "<label>Comment <input id='comment' size='40'></label> "
        "<button id='check'>Check</button> "
        "<button id='accept'>Check and accept</button></p>"
        "<p id='report'></p>"
    )


def _history_table(history: Iterable[Mapping[str, Any]]) -> str:
    rows = "".join(
        f"<tr><td>{escape(change['at'])}</td>"
        f"<td>{escape(change['author'])}</td>"
        f"<td>{escape(change['comment'])}</td>"
        f"<td>{escape(_summary(change))}</td></tr>"
        for change in history
    )
    head = "<tr><th>When</th><th>Who</th><th>Comment</th><th>What</th></tr>"
    return f"<table>{head}{rows}</table>"


def _summary(change: Mapping[str, Any]) -> str:
    return "; ".join(_row_summary(row) for row in change["rows"])


def _row_summary(row: Mapping[str, Any]) -> str:
    before = row["before"] or {}
    after = row["after"] or {}
    if not after:
        return f"{row['group']}: row removed"
    cells = [
        f"{name} {json.dumps(before.get(name))} to {json.dumps(after[name])}"
        for name in COLUMNS
        if before.get(name) != after[name]
    ]
    return f"{row['group']}: {', '.join(cells)}"
