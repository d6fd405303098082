"""Steps for the list of known failures."""

from __future__ import annotations

from pathlib import Path
import tempfile
from typing import Any

from behave import given
from behave import then

from tools import run_tests


@given("a list of known failures")
def given_list(context: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "KNOWN-RED.txt"
        path.write_text("\n".join(row["line"] for row in context.table))
        context.entries, context.errors = run_tests.read_known_red(path)


@then("it has {entries:d} entries and no error")
def then_entries(context: Any, entries: int) -> None:
    assert len(context.entries) == entries, context.entries
    assert not context.errors, context.errors


@then("it has {entries:d} entries and {errors:d} errors")
def then_errors(context: Any, entries: int, errors: int) -> None:
    assert len(context.entries) == entries, context.entries
    assert len(context.errors) == errors, context.errors


def stale(context: Any, name: str, *, full_run: bool) -> list[str]:
    return run_tests.stale_entries(context.entries, {name}, full_run=full_run)


@then('none of them is stale after "{name}" ran')
def then_none_stale(context: Any, name: str) -> None:
    found = stale(context, name, full_run=True)
    assert not found, found


@then('{count:d} of them are stale after a full run of "{name}"')
def then_stale(context: Any, count: int, name: str) -> None:
    found = stale(context, name, full_run=True)
    assert len(found) == count, found


@then('{count:d} of them are stale after "{name}" ran')
def then_stale_partial(context: Any, count: int, name: str) -> None:
    found = stale(context, name, full_run=False)
    assert len(found) == count, found
