"""The `bamboospring load` command."""

from __future__ import annotations

from importlib import import_module
import json
from pathlib import Path
from typing import Annotated
from typing import Any

import typer

from bamboospring import cli
from bamboospring.errors import BamboospringError

__all__ = ["add_to"]


def add_to(root: typer.Typer) -> None:
    """Add the command of this module to the command line."""
    root.command()(load)


def load(
    group: Annotated[str, typer.Option(help="Database group.")],
    entry: Annotated[
        list[str], typer.Option(help="A VM's address for callers; repeatable.")
    ],
    rate: Annotated[float, typer.Option(help="Statements per second.")],
    seconds: Annotated[
        float, typer.Option(help="Duration of the load.")
    ] = 10.0,
    callers: Annotated[int, typer.Option(help="Concurrent sessions.")] = 32,
    write_percent: Annotated[float, typer.Option(help="Writes.")] = 0.0,
    transaction_percent: Annotated[
        float, typer.Option(help="Share of transactions of one write.")
    ] = 0.0,
    read_sql: Annotated[str, typer.Option(help="SQL of a read.")] = "SELECT 1",
    write_sql: Annotated[str, typer.Option(help="SQL of a write.")] = "",
    staleness_ms: Annotated[
        int | None, typer.Option(help="Maximum staleness of reads.")
    ] = None,
    deadline_ms: Annotated[
        int, typer.Option(help="Deadline of a statement.")
    ] = 1000,
    seed: Annotated[
        int, typer.Option(help="Determines arrivals and mix.")
    ] = 1,
    faults: Annotated[
        Path | None,
        typer.Option(help="JSON list of {at, address, path, body}."),
    ] = None,
    plot: Annotated[
        Path | None, typer.Option(help="Image file for a plot.")
    ] = None,
    output: Annotated[
        Path | None, typer.Option(help="File for the JSON result.")
    ] = None,
) -> None:
    """Send an open-loop load to VMs on this machine and report.

    Statements arrive at random times that do not depend on answers, and
    latencies are measured from these times. Prints the result as JSON. Exits
    with 1 if no statement was done.
    """
    tool = import_module("bamboospring.load")
    try:
        plan = tool.LoadPlan(
            entries=tuple(entry),
            group=group,
            rate=rate,
            seconds=seconds,
            callers=callers,
            write_percent=write_percent,
            transaction_percent=transaction_percent,
            read_sql=read_sql,
            write_sql=write_sql,
            staleness_ms=staleness_ms,
            deadline_ms=deadline_ms,
            seed=seed,
            faults=_read_faults(tool, faults),
        )
        result = tool.run(plan)
    except BamboospringError as exc:
        typer.echo(f"bamboospring: {exc}", err=True)
        raise typer.Exit(cli.ExitCode.MISUSED) from exc
    text = json.dumps(result.summary(), indent=1)
    typer.echo(text)
    if output is not None:
        output.write_text(text + "\n")
    if plot is not None:
        tool.plot(result, str(plot))
    done = result.outcomes["done"] > 0
    raise typer.Exit(cli.ExitCode.DONE if done else cli.ExitCode.NO)


def _read_faults(tool: Any, path: Path | None) -> tuple[Any, ...]:
    if path is None:
        return ()
    try:
        return tuple(
            tool.Fault(**item) for item in json.loads(path.read_text())
        )
    except (OSError, TypeError, ValueError) as exc:
        raise tool.LoadError(f"{path}: {exc}") from exc
