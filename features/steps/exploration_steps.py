"""Steps that run the explorations, whole or with one seeded fault."""

from __future__ import annotations

from collections.abc import Callable
import os
from typing import Any

from behave import then
from behave import when

from lease_machine import explore_leases
from promotion_machine import explore

# Enough for each seeded fault to be found; more by hand.
EXAMPLES = int(os.environ.get("BAMBOOSPRING_EXAMPLES", "100"))


def _found(run: Callable[[], None]) -> str:
    """Return what broke, or an empty text."""
    try:
        run()
    except AssertionError as exc:
        return str(exc)
    return ""


@when("primary changes are explored")
def explore_changes(context: Any) -> None:
    context.found = _found(lambda: explore(examples=EXAMPLES, steps=25))


@when("primary changes are explored with the fault {fault}")
def explore_fault(context: Any, fault: str) -> None:
    found = _found(lambda: explore(fault, examples=4 * EXAMPLES, steps=25))
    context.found = found


@when("leases are explored")
def explore_lease(context: Any) -> None:
    context.found = _found(lambda: explore_leases(examples=EXAMPLES))


@when("leases are explored with the fault {fault}")
def explore_lease_fault(context: Any, fault: str) -> None:
    found = _found(lambda: explore_leases(fault, examples=4 * EXAMPLES))
    context.found = found


@then("the exploration of primary changes finds nothing")
def changes_sound(context: Any) -> None:
    assert context.found == "", context.found


@then("the exploration of primary changes finds it")
def changes_caught(context: Any) -> None:
    assert "lost at" in context.found or "two primaries" in context.found, (
        context.found or "the seeded fault was not found"
    )


@then("the exploration of leases finds nothing")
def leases_sound(context: Any) -> None:
    assert context.found == "", context.found


@then("the exploration of leases finds it")
def leases_caught(context: Any) -> None:
    assert "two hold the lease" in context.found, (
        context.found or "the seeded fault was not found"
    )
