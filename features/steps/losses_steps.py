"""Steps for `bamboospring losses`."""

from __future__ import annotations

from pathlib import Path
import tempfile
from typing import Any

from behave import given
from behave import then
from typer.testing import CliRunner

from bamboospring.commands import app


@given("these lines of two VMs")
def step_lines(context: Any) -> None:
    context.log = Path(tempfile.mkdtemp()) / "vm.log"
    context.log.write_text("\n".join(row["line"] for row in context.table))


def _run(context: Any, *options: str) -> tuple[int, list[str]]:
    result = CliRunner().invoke(app(), ["losses", str(context.log), *options])
    return result.exit_code, [
        line.strip() for line in result.output.split("\n")
    ]


@then('"bamboospring losses" prints, with exit code 0')
def step_prints(context: Any) -> None:
    code, lines = _run(context)
    expected = [row["line"] for row in context.table]
    assert code == 0 and lines[: len(expected)] == expected, (code, lines)


@then('from {since} on it prints "{text}" with exit code 1')
def step_nothing(context: Any, since: str, text: str) -> None:
    code, lines = _run(context, "--since", since)
    assert code == 1 and lines[0] == text, (code, lines)
