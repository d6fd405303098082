"""Format how the load of a VM that serves sessions grows with the fleet.

The figures are those of the median and the busiest VM in a simulation of one
day at several fleet sizes. `results/fleet_sizes.json` holds them as printed.
"""

from __future__ import annotations

from typing import Any

__all__ = ["section"]


def section(sweeps: list[dict[str, Any]]) -> str:
    """Return the page section on VMs that serve sessions."""
    lines = ["## VMs that serve sessions, by size of the fleet", ""]
    for sweep in sweeps:
        lines += [*_sweep(sweep), ""]
    return "\n".join(lines)


def _sweep(sweep: dict[str, Any]) -> list[str]:
    sizes = sweep["sizes"]
    head = " | ".join(f"{size} VMs" for size in sizes)
    lines = [
        f"{sweep['title']} `{sweep['command']}`, code of {sweep['code']}, "
        f"journal {sweep['journal']}. {sweep['verdict']}",
        "",
        f"| of a VM, middle / busiest | {head} | power |",
        "|---|" + "---|" * (len(sizes) + 1),
    ]
    for row in sweep["rows"]:
        cells = " | ".join(row["values"])
        lines.append(f"| {row['what']} | {cells} | {row['power']} |")
    if sweep.get("says"):
        lines += ["", sweep["says"]]
    return lines
