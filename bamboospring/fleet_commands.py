"""`bamboospring status`, `primary`, `record` and `report`."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
import json
from pathlib import Path
import time
from typing import Annotated
from typing import Any
from typing import NoReturn
from urllib.parse import quote

import typer

from bamboospring.cli import ExitCode
from bamboospring.errors import BamboospringError
from bamboospring.fleet_report import FleetSummary
from bamboospring.fleet_report import GroupSummary
from bamboospring.fleet_report import summarize_fleet
from bamboospring.fleet_report import VmSummary
from bamboospring.operator_client import OperatorClient
from bamboospring.operator_client import Unreachable
from bamboospring.settings import Objectives
from bamboospring.table_commands import Authority
from bamboospring.table_commands import Json
from bamboospring.table_commands import Token
from bamboospring.table_commands import Vms

__all__ = ["add_to"]

MEGABYTE = 1_000_000


def add_to(root: typer.Typer) -> None:
    """Add the commands of this module to the command line."""
    root.command()(status)
    root.command()(primary)
    root.command()(record)
    root.command()(report)


def status(
    vm: Vms, token: Token, authority: Authority = "", as_json: Json = False
) -> None:
    """Show the fleet: primaries, limits in use, lag, leases, versions.

    Exits with 0 if nothing needs attention, with 1 if something does.
    """
    data = _call_vm(vm, token, authority, "GET", "/fleet.json")
    fleet = summarize_fleet(data)
    if as_json:
        typer.echo(json.dumps(data, indent=2))
    else:
        typer.echo(_format_fleet(fleet))
    raise typer.Exit(ExitCode.DONE if fleet.is_healthy else ExitCode.NO)


def primary(
    group: Annotated[str, typer.Argument(help="The group.")],
    vm: Vms,
    token: Token,
    target: Annotated[
        str, typer.Option(help="The new primary; empty: the best one.")
    ] = "",
    authority: Authority = "",
) -> None:
    """Change a group's primary, for example before maintenance.

    The order is sent to the steward of the group; `status` shows the result.
    """
    path = f"/groups/{quote(group, safe='')}/primary"
    _call_vm(vm, token, authority, "POST", path, {"target": target})
    typer.echo("ordered")


def record(
    out: Annotated[Path, typer.Argument(help="Series to append to.")],
    vm: Vms,
    token: Token,
    seconds: Annotated[
        float, typer.Option(help="How long to record.", min=1)
    ] = 60.0,
    every: Annotated[
        float, typer.Option(help="Seconds between samples.", min=0.2)
    ] = 10.0,
    authority: Authority = "",
) -> None:
    """Record what callers get, for `bamboospring report`."""
    from bamboospring.report import format_sample

    end = time.monotonic() + seconds
    try:
        file = out.open("a", encoding="utf-8")
    except OSError as exc:
        _exit_with_error(f"{out} cannot be written: {exc}", ExitCode.MISUSED)
    with file:
        while True:
            data = _call_vm(vm, token, authority, "GET", "/fleet.json")
            file.write(format_sample(data, time.time()))
            file.flush()
            remaining = end - time.monotonic()
            if remaining <= 0:
                return
            typer.echo(f"\r{remaining:.0f} s left  ", nl=False, err=True)
            time.sleep(min(every, remaining))


def report(
    series: Annotated[Path, typer.Argument(help="Series from `record`.")],
    settings: Annotated[
        Path | None, typer.Option(help="Settings file with objectives.")
    ] = None,
    html: Annotated[
        Path | None, typer.Option(help="Write a page with plots here.")
    ] = None,
    scale: Annotated[
        float,
        typer.Option(
            help="Factor for the alerts' windows, to test with a short series."
        ),
    ] = 1.0,
    as_json: Json = False,
) -> None:
    """Show service-level objectives, error budgets and causes of failure.

    Exits with 0 if all objectives are met, with 1 if one is missed.
    """
    from bamboospring import burn
    from bamboospring import report as reports

    try:
        objectives = _load_objectives(settings)
        samples = reports.read_series(series)
    except BamboospringError as exc:
        _exit_with_error(str(exc), ExitCode.MISUSED)
    reports_by_group = burn.evaluate_objectives(
        samples, objectives, scale=scale
    )
    if html is not None:
        from bamboospring import report_html

        html.write_text(
            report_html.render_page(samples, reports_by_group),
            encoding="utf-8",
        )
    if as_json:
        typer.echo(
            json.dumps(reports.as_json(samples, reports_by_group), indent=2)
        )
    else:
        typer.echo(reports.as_text(samples, reports_by_group))
    missed = any(each.missed_objectives for each in reports_by_group)
    raise typer.Exit(ExitCode.NO if missed else ExitCode.DONE)


def _load_objectives(path: Path | None) -> Objectives:
    if path is None:
        return Objectives()
    from bamboospring import settings

    return settings.load(path).objectives


def _call_vm(
    vms: Sequence[str],
    token: str,
    authority: str,
    method: str,
    path: str,
    body: Any = None,
) -> Any:
    addresses = [
        part for text in vms for part in text.replace(",", " ").split()
    ]
    client = OperatorClient(vms=addresses, token=token, authority=authority)
    try:
        answer = client.call(method, path, body)
    except Unreachable as exc:
        _exit_with_error(str(exc), ExitCode.UNREACHABLE)
    if answer.status >= 400:
        text = (answer.body or {}).get("error", "")
        _exit_with_error(
            f"{answer.vm}: {answer.status} {text}", ExitCode.MISUSED
        )
    return answer.body


def _exit_with_error(message: str, code: ExitCode) -> NoReturn:
    typer.echo(f"bamboospring: {message}", err=True)
    raise typer.Exit(code)


def _format_fleet(fleet: FleetSummary) -> str:
    groups: list[tuple[str, ...]] = [
        (
            "GROUP",
            "TERM",
            "PRIMARY",
            "STEWARD",
            "SLOTS",
            "CONNS",
            "LAG MS",
            "NOTE",
        )
    ]
    groups += [_group_cells(line) for line in fleet.groups]
    vms: list[tuple[str, ...]] = [
        ("VM", "ZONE", "STATE", "UP S", "MB", "GROUPS", "LEASES", "TABLE")
    ]
    vms += [_vm_cells(line) for line in fleet.vms]
    versions = ", ".join(
        f"{shard}: {version}" for shard, version in fleet.shards.items()
    )
    return "\n\n".join(
        (
            _align_columns(groups),
            _align_columns(vms),
            "SLOTS and CONNS: in use / shares of holders / limit",
            f"newest version of the table's shards: {versions or 'none'}",
        )
    )


def _group_cells(line: GroupSummary) -> tuple[str, ...]:
    lags = [
        f"{target['name'].removeprefix(line.group + '-')} {target['lag_ms']}"
        for target in line.targets
        if target["lag_ms"] is not None
    ]
    return (
        line.group,
        str(line.term),
        line.primary or "none",
        line.steward or "none",
        str(line.slots),
        str(line.connections),
        ", ".join(lags),
        "; ".join(line.problems) or "good",
    )


def _vm_cells(line: VmSummary) -> tuple[str, ...]:
    table = "in force"
    if line.outdated_shards:
        table = f"behind: {', '.join(line.outdated_shards)}"
    return (
        line.vm,
        line.availability_zone,
        line.state,
        str(line.uptime_s),
        str(round(line.memory_bytes / MEGABYTE)),
        str(line.groups),
        ",".join(map(str, line.leases)) or "-",
        table if line.state != "silent" else "-",
    )


def _align_columns(rows: Iterable[tuple[str, ...]]) -> str:
    lines = list(rows)
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
