"""`bamboospring load`: put load on a test estate and see what comes back."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated
from typing import Any
from typing import NoReturn
from typing import TYPE_CHECKING

import typer

from bamboospring.cli import ExitCode

if TYPE_CHECKING:
    from bamboospring.load import Fault
    from bamboospring.load import LoadResult

__all__ = ["add_to"]


def add_to(root: typer.Typer) -> None:
    """Add the command to the command line."""
    root.command()(load)


def load(
    entry: Annotated[
        list[str],
        typer.Option(
            envvar="BAMBOOSPRING_ENTRY",
            help="Callers' address of a VM, ip:port; repeatable.",
        ),
    ],
    group: Annotated[str, typer.Option(help="The group to send to.")],
    rate: Annotated[float, typer.Option(help="Statements a second.")] = 100.0,
    seconds: Annotated[float, typer.Option(help="How long.")] = 10.0,
    callers: Annotated[int, typer.Option(help="Connections.")] = 32,
    write_percent: Annotated[
        float, typer.Option(help="Share of writes.")
    ] = 0.0,
    transaction_percent: Annotated[
        float, typer.Option(help="Share of transactions with one write.")
    ] = 0.0,
    read_sql: Annotated[str, typer.Option(help="What a read runs.")] = (
        "SELECT 1"
    ),
    write_sql: Annotated[str, typer.Option(help="What a write runs.")] = "",
    staleness_ms: Annotated[
        int | None, typer.Option(help="Age of data that reads accept.")
    ] = None,
    deadline_ms: Annotated[
        int, typer.Option(help="Deadline of each statement.")
    ] = 1000,
    seed: Annotated[int, typer.Option(help="Fixes arrivals and mix.")] = 1,
    fault: Annotated[
        list[str] | None,
        typer.Option(
            help="SECONDS ADDRESS PATH JSON: a call to a stand-in, such as "
            "the fault proxy; repeatable."
        ),
    ] = None,
    plot: Annotated[
        Path | None, typer.Option(help="Draw the result into this image.")
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="JSON.")] = False,
) -> None:
    """Send statements at random instants and measure the answers.

    Arrivals do not wait for answers (open loop), so that a stall shows in the
    latencies. Only addresses on this machine are taken. Ends with 0 if
    anything was done, with 1 if nothing was.
    """
    from bamboospring import load as tool

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
            faults=tuple(_fault(text) for text in fault or ()),
        )
        plan.check()
    except tool.LoadError as exc:
        _fail(str(exc))
    if not as_json:
        typer.echo(f"{rate:g} statements/s for {seconds:g} s", err=True)
    result = tool.run(plan)
    if plot is not None:
        _plot(result, plot)
    summary = result.summary()
    typer.echo(json.dumps(summary) if as_json else _text(summary))
    done = result.outcomes["done"]
    raise typer.Exit(ExitCode.DONE if done else ExitCode.NO)


def _text(summary: dict[str, Any]) -> str:
    lines = [f"done {summary['done_per_s']:g}/s in {summary['elapsed_s']} s"]
    for outcome, number in summary["outcomes"].items():
        latencies = summary["latency_ms"].get(outcome, {})
        words = "  ".join(f"{k} {v:g} ms" for k, v in latencies.items())
        lines.append(f"{outcome:<12}{number:>8}  {words}")
    for reason, number in summary["reasons"].items():
        lines.append(f"  {reason}: {number}")
    return "\n".join(lines)


def _fault(text: str) -> Fault:
    from bamboospring import load as tool

    try:
        at, address, path, body = text.split(maxsplit=3)
        return tool.Fault(
            at=float(at), address=address, path=path, body=json.loads(body)
        )
    except ValueError:
        raise tool.LoadError(
            f"not SECONDS ADDRESS PATH JSON: {text!r}"
        ) from None


def _plot(result: LoadResult, path: Path) -> None:
    from bamboospring import load as tool

    try:
        tool.plot(result, str(path))
    except ImportError:
        _fail("no plot: matplotlib is not installed here")


def _fail(message: str) -> NoReturn:
    typer.echo(f"bamboospring: {message}", err=True)
    raise typer.Exit(ExitCode.MISUSED)
