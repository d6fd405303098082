"""Generate docs/CAPACITY.md from the raw results in bench/results.

    python bench/capacity.py > docs/CAPACITY.md

Each figure is computed from a measured slope and a given size. A result whose
file is missing is listed as not measured; no value is assumed for it.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import json
from pathlib import Path
from typing import Any

from fits import fit
from fits import Line
from fleet_sizes import section

RESULTS = Path(__file__).resolve().parent / "results"

# The design size of a fleet.
VMS = 480
GROUPS = 530
CONNECTIONS = 4_200_000
STATEMENTS_PER_SECOND = 880_000
EDITS_PER_DAY = 2_100
PRIMARY_CHANGES_PER_DAY = 2
VM_REPLACEMENTS_PER_DAY = 72
ZONES = 8
BUCKETS = 16
SECONDS_PER_DAY = 86_400
# Bounds on the cost of control on each VM.
MAX_CPU_PERCENT = 1.8
MAX_MEMORY_MB = 64
MAX_BYTES_PER_SECOND = 9_000
MAX_FAILOVER_GAP_MS = 19_000
READ_SHARE = 0.8
# In smaller runs, each VM holds more groups than at the design size.
LARGE_FLEET_VMS = 240
BYTES_PER_MB = 1_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row in the table of a role."""

    label: str
    figure: str
    derivation: str
    mechanism: str
    verdict: str = ""


def load_result(name: str) -> Any:
    """Return the data of a result file, or None if it does not exist."""
    path = RESULTS / f"{name}.json"
    return json.loads(path.read_text()) if path.exists() else None


MISSING_RESULTS: list[str] = []


def load_required(name: str, description: str) -> Any:
    """Return a result, and list it as not measured if there is none."""
    data = load_result(name)
    if data is None:
        MISSING_RESULTS.append(
            f"{description} (`bench/results/{name}.json` is not there)"
        )
    return data


def compare_with_bound(value: float, bound: float) -> str:
    """Return whether a value is within a bound, or the excess factor."""
    if value <= bound:
        return f"holds ({value / bound:.0%} of the bound)"
    return f"**does not hold: factor {value / bound:.1f}**"


def main() -> None:
    """Print the page as Markdown."""
    parts = [
        INTRODUCTION,
        sizes_section(),
        slopes_section(),
        entry_section(),
        holder_section(),
        steward_section(),
    ]
    parts += [
        spread_section(),
        platform_section(),
        control_section(),
        events_section(),
    ]
    sweeps = load_required("fleet_sizes", "VMs that serve sessions, by size")
    parts += [] if sweeps is None else [section(sweeps)]
    parts += [gaps_section()]
    print("\n".join(parts))


INTRODUCTION = """# Capacity

Written by `python bench/capacity.py > docs/CAPACITY.md` from the raw numbers
in `bench/results/`. Do not edit: change the measurement or the program, run it
again.

How to read it: a **slope** was measured on one machine (12 cores, shared with
other work; Python 3.11), small, with its error; a **figure** is that slope at
the size to design for; the **mechanism** is what makes the figure so. Where
the design does not hold yet, the factor that is missing stands there.
"""


def sizes_section() -> str:
    """Return the section on the design size and the part of each VM."""
    lines = [
        "## Sizes",
        "",
        "| | in all | each of 480 VMs |",
        "|---|---|---|",
        f"| caller connections | {CONNECTIONS:,} | "
        f"{CONNECTIONS / VMS:,.0f} |",
        f"| statements a second, {READ_SHARE:.0%} reads (our assumption) | "
        f"{STATEMENTS_PER_SECOND:,} | {STATEMENTS_PER_SECOND / VMS:,.0f} |",
        f"| groups | {GROUPS} | "
        f"{mean_held_groups():.2f} held (3 holders each) |",
        f"| edits a day | {EDITS_PER_DAY:,} | each reaches all |",
        f"| changes of primary a day | {PRIMARY_CHANGES_PER_DAY} | |",
        f"| VMs replaced a day | {VM_REPLACEMENTS_PER_DAY} | |",
        "",
    ]
    return "\n".join(lines)


def mean_held_groups() -> float:
    """Return the mean number of groups that a VM holds."""
    return 3 * GROUPS / VMS


# Measured slopes.


def slopes_section() -> str:
    """Return the section with all measured slopes."""
    lines = [
        "## Slopes",
        "",
        "| slope | value | error | by |",
        "|---|---|---|---|",
    ]
    for source in (
        statement_slopes,
        connection_slopes,
        idle_slopes,
        metrics_slopes,
        binary_slopes,
        control_slopes,
        overhead_slopes,
    ):
        lines.extend(source())
    return "\n".join([*lines, ""])


def statement_slopes() -> list[str]:
    data = load_required("statement_cost", "processor time of each statement")
    if data is None:
        return []
    lines = []
    for kind in ("read", "write"):
        points = len(data[kind]["points"])
        for role, key in (("entry", "entry_us"), ("holder", "holder_us")):
            cost = data[kind][key]
            name = "holders" if role == "holder" else role
            r2 = data[kind]["fits"][name]["r2"]
            lines.append(
                f"| processor time of a {kind} at the {role} | "
                f"{cost['slope']:.0f} us | ± {cost['error']:.0f} us "
                f"({points} points, R² {r2:.3f}, load average "
                f"{data['load_average'][0]:.0f}) | "
                "`bench/statement_cost.py` |"
            )
    return lines


def connection_slopes() -> list[str]:
    data = load_required("connections", "memory of each caller connection")
    if data is None:
        return []
    lines = []
    for kind, name in (("plain", "plain"), ("tls", "TLS")):
        measured = data[kind]
        lines.append(
            f"| memory of an idle caller connection, {name}, up to "
            f"{measured['points'][-1]['connections']:,} | "
            f"{measured['bytes_each']:,} B | "
            f"± {measured['bytes_each_error']} B "
            f"({measured['fit']['points']} points, "
            f"R² {measured['fit']['r2']:.4f}) | `bench/connections.py` |"
        )
        open_costs_us = [point["open_us"] for point in measured["points"][1:]]
        lines.append(
            f"| processor time to accept one with its first request, {name} "
            f"| {sorted(open_costs_us)[len(open_costs_us) // 2]:,} us | "
            f"{min(open_costs_us):,} to {max(open_costs_us):,} us | "
            "`bench/connections.py` |"
        )
    return lines


def fit_idle_connections() -> Line | None:
    """Return memory in KB as a line over the number of idle connections."""
    data = load_result("idle_connections")
    if data is None:
        return None
    steps = data["steps"]
    return fit(
        [step["connections"] for step in steps],
        [step["VmRSS"] for step in steps],
    )


def idle_slopes() -> list[str]:
    data = load_required("idle_connections", "memory up to 16,000 connections")
    line = fit_idle_connections()
    if data is None or line is None:
        return []
    steps = data["steps"]
    return [
        f"| the same, plain, up to {steps[-1]['connections']:,} | "
        f"{line.slope * 1024:,.0f} B | ± {line.slope_error * 1024:.0f} B "
        f"({line.points} points, R² {line.r2:.4f}) | "
        "`bench/idle_connections.py` |"
    ]


def metrics_slopes() -> list[str]:
    data = load_required("metrics_cost", "cost of counting")
    if data is None:
        return []
    plain = data["plain_us"]
    return [
        f"| counting a statement | {plain['median']} us | {plain['least']} to "
        f"{plain['most']} us ({data['rounds']} rounds) | "
        "`bench/metrics_cost.py` |",
        f"| a scrape, {data['scrape_groups']} groups served | "
        f"{data['scrape_ms']} ms, {data['scrape_gzip_bytes']:,} B compressed "
        "| one run | `bench/metrics_cost.py` |",
    ]


def binary_slopes() -> list[str]:
    data = load_required("binary", "memory of the program")
    if data is None:
        return []
    return [
        f"| resident memory of an idle process | "
        f"{data['resident_kb'] / 1000:.1f} MB | one run | "
        "`bench/binary.py` |",
        f"| file and unpacked program in memory | "
        f"{(data['file_bytes'] + data['unpacked_bytes']) / BYTES_PER_MB:.1f}"
        " MB | exact | `bench/binary.py` |",
    ]


def control_slopes() -> list[str]:
    runs = load_required("control", "control's slopes against groups and VMs")
    if runs is None:
        return []
    lines = []
    for run in runs:
        lines.append(
            f"| control of {describe_role(run)}, {run['groups']} groups, "
            f"{run['vms']} VMs, {run['held_groups']} held | "
            f"{run['cpu_percent']:.2f} % of a "
            f"core, {run['resident_mb']:.1f} MB, "
            f"{control_bytes(run) / 1000:.2f} KB/s | one run of "
            f"{run['seconds']:.0f} s | `bench/control.py` |"
        )
    return lines


def describe_role(run: dict[str, Any]) -> str:
    """Return the role of the measured VM with its article."""
    if run["watcher"]:
        return "a watcher of the platform"
    return "a steward" if run.get("steward") else "a VM"


def control_bytes(run: dict[str, Any]) -> float:
    """Return the bytes per second of all control traffic in a run."""
    return float(
        run["peer_bytes"] + run["platform_bytes"] + run["target_bytes"]
    )


def overhead_slopes() -> list[str]:
    data = load_required("overhead", "latency added to a statement")
    if data is None:
        return []
    added = data["added_over_direct"]["entry_and_holder"]
    return [
        f"| latency added through entry and holder, against a direct call | "
        f"{added['p50']} times at p50, {added['p99']} times at p99 | one run "
        "| `bench/overhead.py` |",
    ]


# Sections of the roles.


def role_section(title: str, held_state: str, rows: Sequence[Row]) -> str:
    """Return the section of a role."""
    lines = [f"## {title}", "", f"State: {held_state}", ""]
    lines += [
        "| | figure | worked from | mechanism | |",
        "|---|---|---|---|---|",
    ]
    lines += [
        f"| {row.label} | {row.figure} | {row.derivation} | {row.mechanism} | "
        f"{row.verdict} |"
        for row in rows
    ]
    return "\n".join([*lines, ""])


def mixed_statement_cost_us(data: Any, role: str) -> tuple[float, float]:
    """Return the cost of a statement and its error in us, 4 reads to 1 write.

    This is the cost at the largest measured rate, which is about the rate of a
    VM at the design size. It includes control. The slope would be too low:
    statements at a low rate cost more than further ones at a high rate,
    because a wake-up of the event loop then serves only one of them.
    """
    read = cost_at_max_rate(data["read"]["points"], role)
    write = cost_at_max_rate(data["write"]["points"], role)
    value = READ_SHARE * read[0] + (1 - READ_SHARE) * write[0]
    error = READ_SHARE * read[1] + (1 - READ_SHARE) * write[1]
    return value, error


def cost_at_max_rate(points: Sequence[Any], role: str) -> tuple[float, float]:
    """Return the mean cost in us at the largest rate and half its range."""
    largest = max(point["asked_per_s"] for point in points)
    costs = [
        1e6 * point[role] / point["per_s"]
        for point in points
        if point["asked_per_s"] == largest
    ]
    return sum(costs) / len(costs), (max(costs) - min(costs)) / 2


def entry_section() -> str:
    """Return the section of the entry."""
    rows = []
    rate = STATEMENTS_PER_SECOND / VMS
    data = load_result("statement_cost")
    if data is not None:
        value, error = mixed_statement_cost_us(data, "entry")
        cores = value * rate / 1e6
        rows.append(
            Row(
                label="processor time",
                figure=f"{cores:.2f} ± {error * rate / 1e6:.2f} cores",
                derivation=f"{value:.0f} us x {rate:,.0f}/s, {READ_SHARE:.0%} "
                "reads; cost at the largest rate measured",
                mechanism="one pass without events; httptools, Cap'n Proto",
                verdict=compare_with_bound(cores, 1.0)
                + " against one process's core",
            )
        )
    rows += connection_rows()
    rows.append(
        Row(
            label="messages",
            figure=f"{rate:,.0f} forwards/s and as many answers",
            derivation="3 of 480 VMs hold a group: 99.4 % are forwarded",
            mechanism="one link for each pair of VMs that talk",
        )
    )
    return role_section(
        "Entry (every VM)",
        "for each connection a parser and a socket; for each statement in "
        "flight its token and deadline; nothing for a session.",
        rows,
    )


def connection_rows() -> list[Row]:
    data = load_result("connections")
    if data is None:
        return []
    connections_per_vm = CONNECTIONS / VMS
    rows = []
    for kind, name in (("plain", "plain text"), ("tls", "TLS")):
        size = data[kind]["bytes_each"]
        size_error = data[kind]["bytes_each_error"]
        line = fit_idle_connections()
        if kind == "plain" and line is not None:
            # This run exceeds the number of connections at the design size.
            size = round(line.slope * 1024)
            size_error = round(line.slope_error * 1024)
        total = size * connections_per_vm / BYTES_PER_MB
        error = size_error * connections_per_vm / BYTES_PER_MB
        rows.append(
            Row(
                label=f"memory of connections, {name}",
                figure=f"{total:.0f} ± {error:.0f} MB",
                derivation=f"{size:,} B x {connections_per_vm:,.0f}",
                mechanism=(
                    "no buffer while idle; sessions are in tokens"
                    if kind == "plain"
                    else "TLS 1.3 by the standard library, no resumption"
                ),
                verdict=compare_with_bound(size, 8_000) + " of 8 KB each",
            )
        )
    return rows


def holder_section() -> str:
    """Return the section of the holder."""
    rows = []
    placement = load_required("placement", "shares at 480 VMs")
    data = load_result("statement_cost")
    rate = STATEMENTS_PER_SECOND / VMS
    if placement is not None:
        held = placement["held_groups"]
        rows.append(
            Row(
                label="groups held",
                figure=f"{held['mean']} on average, {held['most']} at most, "
                f"none at {held['vms_with_none']} VMs",
                derivation="`bench/placement.py`, exact for one list of names",
                mechanism="rendezvous hashing with a bounded load, spread "
                "over zones; plain, the fullest held "
                f"{placement['held_groups_plain']['most']}",
                verdict=f"the fullest VM has "
                f"{held['most'] / held['mean']:.1f} times the average",
            )
        )
    if data is not None:
        value, error = mixed_statement_cost_us(data, "holders")
        cores = value * rate / 1e6
        rows.append(
            Row(
                label="processor time, average VM",
                figure=f"{cores:.2f} ± {error * rate / 1e6:.2f} cores",
                derivation=f"{value:.0f} us x {rate:,.0f}/s; cost at the "
                "largest rate measured",
                mechanism="the holder owns connections and waits for the "
                "majority once for all callers",
                verdict=compare_with_bound(cores, 1.0)
                + " against one process's core",
            )
        )
        if placement is not None:
            load_factor = held["most"] / held["mean"]
            rows.append(
                Row(
                    label="processor time, fullest VM",
                    figure=f"{cores * load_factor:.2f} cores",
                    derivation=f"the same x {load_factor:.1f}",
                    mechanism="groups pass over a VM with 1.2 times the "
                    "average; they count alike, whatever their load",
                    verdict=compare_with_bound(cores * load_factor, 1.0),
                )
            )
    rows.append(
        Row(
            label="connections to targets",
            figure="20 of each target, split among 3 holders",
            derivation="limits are split exactly (`shares.py`)",
            mechanism="a new holder begins with what is surely free",
        )
    )
    return role_section(
        "Holder (3 VMs of each group)",
        "for each held group its record, its targets' positions, its "
        "connections, open transactions, waiting statements (bounded).",
        rows,
    )


def steward_section() -> str:
    """Return the section of the steward."""
    groups = GROUPS / BUCKETS
    rows = [
        Row(
            label="groups led",
            figure=f"{groups:.0f} in each of {BUCKETS} buckets",
            derivation=f"{GROUPS} / {BUCKETS}",
            mechanism="leases for buckets: calls do not grow with groups "
            "or VMs",
        ),
        Row(
            label="probes of targets",
            figure=f"{groups * 3 / 2:.0f}/s",
            derivation=f"{groups:.0f} groups x 3 targets, each every 2 s",
            mechanism="only the steward and holders ask targets",
        ),
        Row(
            label="zone lost: changes at once",
            figure=f"{GROUPS / ZONES / BUCKETS:.1f} for each steward",
            derivation=f"{GROUPS} / {ZONES} zones / {BUCKETS} buckets, if "
            "primaries are spread evenly",
            mechanism="8 lanes to the platform, changes run side by side",
        ),
    ]
    rows += failover_rows()
    return role_section(
        "Steward (the VM with a bucket's lease)",
        "for each led group the last answers of its targets and suspicions; "
        "a change under way.",
        rows,
    )


def failover_rows() -> list[Row]:
    """Return the measured failover gap for each kind of failure."""
    kinds = load_required("failover", "the failover gap and its steps")
    return [
        failover_row(kind, found["summary"])
        for kind, found in (kinds or {}).items()
        if isinstance(found, dict) and "summary" in found
    ]


def failover_row(kind: str, summary: dict[str, Any]) -> Row:
    """Return the gap of one kind of failure and the steps in it."""
    steps = ", ".join(
        f"{name.removesuffix('_ms')} {times['median']:.0f}"
        for name, times in summary.items()
        if name.endswith("_ms") and name != "gap_ms" and times["median"]
    )
    max_ms = summary["gap_ms"]["max"]
    return Row(
        label=f"failover gap, {kind.replace('_', ' ')}",
        figure=f"median {summary['gap_ms']['median']:.0f} ms, most "
        f"{max_ms:.0f} ms of {summary['runs']} runs (steps, median ms: "
        f"{steps})",
        derivation="`bench/failover.py`, one group, real processes on one "
        "machine",
        mechanism="suspicion by several zones, lease, term, fence",
        verdict=compare_with_bound(max_ms, MAX_FAILOVER_GAP_MS) + " of 19 s",
    )


def edit_rows(max_hops: int) -> list[Row]:
    """Return the time until an edit is in force, measured and at 480 VMs."""
    data = load_required("edit_spread", "time until an edit is in force")
    if data is None:
        return []
    loaded = data["under_load"]
    max_ms = loaded["in_force_ms"]["max"]
    return [
        Row(
            label=f"edit in force at {loaded['vms']} VMs under load",
            figure=f"median {loaded['in_force_ms']['median']:.0f} ms, most "
            f"{max_ms:.0f} ms of {loaded['edits']} edits",
            derivation="`bench/edit_spread.py`",
            mechanism="announced at once, asked for once",
            verdict=compare_with_bound(max_ms, 8_000) + " of 8 s",
        ),
        Row(
            label="edit in force at 480 VMs",
            figure=f"{max_ms * max_hops / 1000:.1f} s",
            derivation=f"the most of {max_ms:.0f} ms for each of {max_hops} "
            "hops; without the ways between regions",
            mechanism="the same",
            verdict=compare_with_bound(max_ms * max_hops, 8_000) + " of 8 s",
        ),
    ]


def placement_rows() -> list[Row]:
    """Return the cost of a changed list of VMs at each VM."""
    data = load_required("movement", "cost of placing groups")
    if data is None:
        return []
    run = max(data, key=lambda each: each["vms"])
    change_seconds = run["list_change_ms_median"] / 1e3
    changes_per_day = 2 * VM_REPLACEMENTS_PER_DAY
    return [
        Row(
            label="a change of the list of VMs",
            figure=f"{change_seconds * 1e3:.1f} ms of a core at each VM, "
            f"{changes_per_day} times a day",
            derivation=f"{GROUPS} groups placed anew at {run['vms']} VMs "
            "(`bench/movement.py`); a replacement changes the list twice",
            mechanism="only groups that have the VM among the first of a "
            "zone are ranked again: "
            f"{run['list_change_to_ranking_all']:.3f} of ranking all",
            verdict=f"{change_seconds * changes_per_day / SECONDS_PER_DAY:.4%}"
            " of a core on average",
        )
    ]


def spread_section() -> str:
    """Return the section on the exchange of edits between peers."""
    rows = []
    placement = load_result("placement")
    if placement is not None:
        hops = placement["edit_hops"]
        links = placement["links"]
        lost = placement["edit_hops_zone_lost"]
        rows = [
            Row(
                label="way of an edit",
                figure=f"{hops['mean']} hops on average, {hops['most']} at "
                f"most, all VMs reached",
                derivation="`bench/placement.py`: the real neighbours of "
                "480 VMs",
                mechanism="6 watchers of the platform, 4 neighbours each way "
                "to choose",
            ),
            Row(
                label="the same, a zone lost",
                figure=f"{lost['mean']} and {lost['most']} hops, "
                f"{lost['not_reached']} VMs not reached",
                derivation="the same without one zone",
                mechanism="neighbours in own zone, another, another region",
            ),
            Row(
                label="announcements for each edit",
                figure=f"{links['mean']} at a VM on average, {links['most']} "
                "at most",
                derivation="links of the neighbours' graph",
                mechanism="versions are told, contents asked for once",
            ),
            Row(
                label="edits a second",
                figure=f"{EDITS_PER_DAY / SECONDS_PER_DAY:.3f}",
                derivation=f"{EDITS_PER_DAY:,} a day",
                mechanism="a shard of 16 is sent, not the table",
            ),
        ]
        rows += edit_rows(hops["most"])
    rows += placement_rows()
    return role_section(
        "Peer spread (every VM)",
        "versions of 16 shards and the list of VMs; the whole table and list.",
        rows,
    )


def platform_section() -> str:
    """Return the section of the platform."""
    rows = []
    runs = load_result("control")
    if runs is not None:
        rows += platform_rows(runs)
    rows.append(
        Row(
            label="edits",
            figure=f"{2 * EDITS_PER_DAY / SECONDS_PER_DAY:.3f} calls/s",
            derivation="a read and a conditional update for each",
            mechanism="one object for each shard",
        )
    )
    return role_section(
        "Platform (the object API)",
        "16 leases, 16 shards, 530 groups, the list of VMs.",
        rows,
    )


def platform_rows(runs: list[dict[str, Any]]) -> list[Row]:
    """Return calls per second of the fleet, from a watcher and another VM."""
    rows = []
    lease_runs = [run for run in runs if run["platform_calls"].get("lease")]
    if lease_runs:
        run = min(lease_runs, key=lambda each: each["vms"])
        each = run["platform_calls"]["lease"]
        rows.append(
            Row(
                label="calls for leases",
                figure=f"{each * run['vms']:.1f}/s",
                derivation=f"{each:.2f}/s at one of {run['vms']} VMs; the 16 "
                "buckets are the same in any fleet",
                mechanism="leases for buckets; few candidates for each",
                verdict=compare_with_bound(each * run["vms"], 300)
                + " of 300 writes/s, were all of them writes",
            )
        )
    for watcher, count, name in (
        (True, 6, "6 watchers"),
        (False, VMS - 6, f"{VMS - 6} other VMs"),
    ):
        role_runs = [
            run
            for run in runs
            if run["watcher"] == watcher and not run.get("steward")
        ]
        if not role_runs:
            continue
        run = max(role_runs, key=lambda each: (each["vms"], each["groups"]))
        total = sum(run["platform_calls"].values())
        parts = ", ".join(
            f"{purpose} {calls:.3f}"
            for purpose, calls in sorted(run["platform_calls"].items())
        )
        rows.append(
            Row(
                label=f"calls of {name}",
                figure=f"{total * count:.1f}/s",
                derivation=f"{total:.3f}/s each at {run['vms']} VMs ({parts})",
                mechanism="few watch for all; one call in flight for each "
                "purpose, backed off",
                verdict=compare_with_bound(total * count, 2_000)
                + " of 2,000 reads/s, were all of them reads",
            )
        )
    return rows


def control_section() -> str:
    """Return the section on the cost of control on each VM and its bounds."""
    runs = load_result("control")
    lines = ["## Control on each VM", ""]
    if runs is None:
        return "\n".join([*lines, "Not measured yet.", ""])
    lines += [
        "| role | processor | memory | bytes |",
        "|---|---|---|---|",
    ]
    largest = max((run["vms"], run["groups"]) for run in runs)
    for run in runs:
        if (run["vms"], run["groups"]) != largest:
            continue
        rate = control_bytes(run)
        lines.append(
            f"| {describe_role(run)}, {run['groups']} groups, "
            f"{run['vms']} VMs, {run['held_groups']} held | "
            f"{run['cpu_percent']:.2f} %: "
            f"{compare_with_bound(run['cpu_percent'], MAX_CPU_PERCENT)} | "
            f"{run['resident_mb']:.1f} MB: "
            f"{compare_with_bound(run['resident_mb'], MAX_MEMORY_MB)} | "
            f"{rate / 1000:.2f} KB/s: "
            f"{compare_with_bound(rate, MAX_BYTES_PER_SECOND)} |"
        )
    lines += [*entry_only_control(), "", *control_fits(runs), ""]
    return "\n".join(lines)


def entry_only_control() -> list[str]:
    """Return the row of an entry-only process, whose cost is additional."""
    data = load_result("workers_control")
    if data is None:
        return []
    run = data["control"]["entry_only"]
    return [
        f"| each entry-only process besides, {GROUPS} groups, {VMS} VMs "
        "(`bench/workers.py`) | "
        f"{run['cpu_percent']:.2f} % | {run['resident_mb']:.1f} MB, of it "
        f"{run['unique_mb']:.1f} its own | {run['bytes'] / 1000:.2f} KB/s |"
    ]


CONTROL_COSTS: tuple[tuple[str, float, Callable[[Any], float]], ...] = (
    ("processor, % of a core", MAX_CPU_PERCENT, lambda r: r["cpu_percent"]),
    ("memory, MB", MAX_MEMORY_MB, lambda r: r["resident_mb"]),
    ("KB/s", MAX_BYTES_PER_SECOND / 1000, lambda r: control_bytes(r) / 1000),
)


def held_runs(runs: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return the runs to fit over held groups, if enough of them differ."""
    found = [
        run
        for run in runs
        if not run["watcher"]
        and not run.get("steward")
        and run["vms"] >= LARGE_FLEET_VMS
    ]
    return found if len({run["held_groups"] for run in found}) > 2 else []


def fit_held_groups(
    runs: list[dict[str, Any]], read: Callable[[Any], float]
) -> Line:
    """Return a cost of control as a line over held groups."""
    return fit([run["held_groups"] for run in runs], [read(r) for r in runs])


def max_held_groups() -> int:
    """Return the largest number of groups that a VM holds."""
    placement = load_result("placement")
    return placement["held_groups"]["most"] if placement else 0


def control_fits(runs: list[dict[str, Any]]) -> list[str]:
    """Return the cost of a held group and that of the VM with most groups."""
    fitted_runs = held_runs(runs)
    if not fitted_runs:
        return []
    max_held = max_held_groups()
    lines = [
        f"Against held groups, runs of at least {LARGE_FLEET_VMS} VMs:",
        "",
        "| | base | each held group | fit | "
        f"the fullest VM ({max_held} held) |",
        "|---|---|---|---|---|",
    ]
    for name, bound, read in CONTROL_COSTS:
        line = fit_held_groups(fitted_runs, read)
        value = line.base + line.slope * max_held
        lines.append(
            f"| {name} | {line.base:.2f} | {line.slope:.3f} ± "
            f"{line.slope_error:.3f} | {line.points} points, "
            f"R² {line.r2:.3f} | {value:.2f}: "
            f"{compare_with_bound(value, bound)} |"
        )
    return lines


# Rare events and shortfalls.


def events_section() -> str:
    """Return the section on the cost of rare events."""
    lines = [
        "## Events",
        "",
        "| event | what it takes | mechanism |",
        "|---|---|---|",
    ]
    remaining_vms = VMS - VMS // ZONES
    lost_connections = CONNECTIONS / ZONES
    data = load_result("connections")
    if data is not None:
        for kind, name in (("plain", "plain"), ("tls", "TLS")):
            open_costs_us = sorted(
                p["open_us"] for p in data[kind]["points"][1:]
            )
            open_cost_us = open_costs_us[len(open_costs_us) // 2]
            lines.append(
                f"| a zone lost, {name} | {lost_connections:,.0f} "
                "connections come anew, "
                f"{lost_connections / remaining_vms:,.0f} "
                f"to each of {remaining_vms} VMs: "
                f"{lost_connections / remaining_vms * open_cost_us / 1e6:.1f} "
                "s of a core there; after it each VM has "
                f"{CONNECTIONS / remaining_vms:,.0f} connections and "
                f"{STATEMENTS_PER_SECOND / remaining_vms:,.0f} statements/s, "
                f"{VMS / remaining_vms:.2f} times as many | "
                "other zones' holders go on; callers are told when to come "
                "back |"
            )
    placement = load_result("placement")
    if placement is not None:
        moved = placement["moved_by_one_vm"]
        lines += [
            f"| a VM replaced ({VM_REPLACEMENTS_PER_DAY} a day) | "
            f"{moved['mean_share']:.3%} of holder places move (ideal "
            f"{moved['ideal_share']:.3%}), each costs connections of 10 ms | "
            "rendezvous hashing with a bounded load, graceful shutdown |",
            f"| a zone lost | {placement['groups_without_holder_zone_lost']} "
            f"of {GROUPS} groups are left without a holder | holders in "
            "different zones |",
        ]
    lines += [
        "| regions apart | a group writes on the side that has a majority of "
        "its targets; the other side serves reads within stated staleness | "
        "majority acknowledgement, terms |",
        "",
    ]
    return "\n".join(lines)


def control_shortfalls() -> list[str]:
    """Return the bounds that control exceeds at the design size."""
    lines = []
    for run in load_result("control") or ():
        rate = control_bytes(run)
        at_design_size = run["vms"] == VMS and run["groups"] == GROUPS
        if at_design_size and rate > MAX_BYTES_PER_SECOND:
            lines.append(
                f"- **Bytes of control**: {describe_role(run)} exchanges "
                f"{rate / 1000:.1f} KB/s, "
                f"{rate / MAX_BYTES_PER_SECOND:.1f} times "
                f"what is allowed ({run['held_groups']} groups held). "
                "Missing: fewer questions of other VMs to the same few."
            )
    fitted_runs = held_runs(load_result("control") or [])
    max_held = max_held_groups()
    for name, bound, read in CONTROL_COSTS if fitted_runs else ():
        line = fit_held_groups(fitted_runs, read)
        value = line.base + line.slope * max_held
        if value > bound:
            lines.append(
                f"- **Control of the fullest VM**: with {max_held} held "
                f"groups {value:.1f} {name}, {value / bound:.1f} times what "
                "is allowed. Missing: fewer polls of targets."
            )
    return lines


def gaps_section() -> str:
    """Return the sections on exceeded bounds and on what is not measured."""
    lines = ["## Where the design does not hold yet", ""]
    data = load_result("statement_cost")
    rate = STATEMENTS_PER_SECOND / VMS
    if data is not None:
        cost_us = (
            mixed_statement_cost_us(data, "entry")[0]
            + mixed_statement_cost_us(data, "holders")[0]
        )
        cores = cost_us * rate / 1e6
        lines.append(
            f"- **Processor time of statements**: entry and holder together "
            f"take {cost_us:.0f} us, {cores:.1f} cores for {rate:,.0f} "
            f"statements/s on each VM; one process has one core. Missing: a "
            f"factor of {cores:.1f} on average, without room for peaks. "
            "Entry-only processes beside the main one carry the entry's "
            "part on VMs with as many cores (docs/design/processes.md). The "
            "holder's part stays in the main process; dividing a VM's groups "
            "among processes is not built."
        )
        placement = load_result("placement")
        if placement is not None:
            held = placement["held_groups"]
            load_factor = held["most"] / held["mean"]
            entry_us = mixed_statement_cost_us(data, "entry")[0]
            holder_us = mixed_statement_cost_us(data, "holders")[0]
            max_cores = (entry_us + holder_us * load_factor) * rate / 1e6
            lines.append(
                f"- **Uneven holders**: the VM with most groups "
                f"({held['most']}) would need {max_cores:.1f} cores, if "
                "groups are alike. Missing: groups weighed by their load, or "
                "up to six holders for large groups. Not built."
            )
    lines += control_shortfalls()
    connections = load_result("connections")
    if connections is not None:
        size = connections["tls"]["bytes_each"]
        lines.append(
            f"- **TLS to callers**: {size / 1000:.1f} KB for each connection, "
            f"{size * CONNECTIONS / VMS / BYTES_PER_MB:.0f} MB on each VM. "
            "It is beside control's 64 MB, but has to be counted when VMs are "
            "sized. Ending TLS at the balancer avoids it."
        )
    binary = load_result("binary")
    if binary is not None:
        total = binary["file_bytes"] + binary["unpacked_bytes"]
        lines.append(
            f"- **Memory of a VM without disks**: "
            f"{total / BYTES_PER_MB:.0f} MB "
            "for file and unpacked program, beside the process."
        )
    lines += ["", "## Not measured", ""]
    lines += [f"- {each}" for each in MISSING_RESULTS]
    lines += [
        "- anything on real VMs, over real networks, or with more than a "
        "few hundred processes; latencies between zones and regions",
        "- several processes on one VM with more load than one load "
        "process gives",
        "- callers that come back all at once after the loss of a zone",
        "- times while regions are apart (what holds then is tested: "
        "regions.feature)",
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    main()
