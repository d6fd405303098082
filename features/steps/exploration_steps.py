"""Steps that run the explorations, unchanged or with one seeded fault."""

from __future__ import annotations

from collections.abc import Callable
import itertools
import os
from typing import Any

from behave import then
from behave import when

from lease_machine import explore_leases
from promotion_machine import explore
from shares_steps import Fleet as SharesFleet

from bamboospring.commit import majorities_overlap
from bamboospring.commit import majority_size

EXAMPLES = int(os.environ.get("BAMBOOSPRING_EXAMPLES", "100"))
# Which examples are drawn depends on the constants of all loaded modules, so
# a change in another module can hide a seeded fault from one search, however
# long it is. Searches with seeds of their own are independent of each other,
# and the first find ends them all.
FAULT_EXAMPLES = 10 * EXAMPLES
FAULT_SEEDS = range(12)


def _found(run: Callable[[], None]) -> str:
    """Return the message of the violation, or an empty string."""
    try:
        run()
    except AssertionError as exc:
        return str(exc)
    return ""


def _found_by_any(search: Callable[[int], None]) -> str:
    """Return the first violation that a search with some seed finds."""
    messages = (_found(lambda: search(seed)) for seed in FAULT_SEEDS)
    return next(filter(None, messages), "")


@when("primary changes are explored")
def explore_changes(context: Any) -> None:
    context.found = _found(lambda: explore(examples=EXAMPLES, steps=25))


@when("primary changes are explored with the fault {fault}")
def explore_fault(context: Any, fault: str) -> None:
    context.found = _found_by_any(
        lambda seed: explore(
            fault, examples=FAULT_EXAMPLES, steps=25, seed=seed
        )
    )


@when("two VMs leave the list of three and one of them is cut off")
def leave_and_cut(context: Any) -> None:
    context.machine = SharesFleet()
    context.machine.join_or_leave(name="a")
    context.machine.join_or_leave(name="b")
    context.machine.pass_time(seconds=2)
    context.machine.disturb(kind="cut", name="a")


@when("the only VM on the list is cut off while another takes its place")
def replace_only(context: Any) -> None:
    context.machine = SharesFleet()
    context.machine.join_or_leave(name="a")
    context.machine.join_or_leave(name="b")
    context.machine.pass_time(seconds=5)
    context.machine.disturb(kind="cut", name="c")
    context.machine.join_or_leave(name="d")
    context.machine.join_or_leave(name="c")


@then("the limit of the target is kept until both are gone")
def limit_kept(context: Any) -> None:
    for _ in range(10):
        context.machine.settle()
        context.machine.within_limit()


@then("the rule for majorities agrees with all pairs of them")
def majorities_agree(context: Any) -> None:
    sets = [
        frozenset(names)
        for count in range(1, 6)
        for names in itertools.combinations("abcdef", count)
    ]
    for one, two in itertools.product(sets, repeat=2):
        meet = all(
            set(few) & set(some)
            for few in itertools.combinations(one, majority_size(len(one)))
            for some in itertools.combinations(two, majority_size(len(two)))
        )
        assert majorities_overlap(one, two) == meet, (one, two)


@when("leases are explored")
def explore_lease(context: Any) -> None:
    context.found = _found(lambda: explore_leases(examples=EXAMPLES))


@when("leases are explored with the fault {fault}")
def explore_lease_fault(context: Any, fault: str) -> None:
    context.found = _found_by_any(
        lambda seed: explore_leases(fault, examples=FAULT_EXAMPLES, seed=seed)
    )


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
