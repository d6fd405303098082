"""Steps of the soak test in bamboospring.testing.soak."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when

from bamboospring.testing.soak import run_soak


@when("callers and faults run for {seconds:d} s with seed {seed:d}")
def when_soak(context: Any, seconds: int, seed: int) -> None:
    soak(context, seconds, seed, with_operators=False)


@when("callers, operators and faults run for {seconds:d} s with seed {seed:d}")
def when_soak_with_operators(context: Any, seconds: int, seed: int) -> None:
    soak(context, seconds, seed, with_operators=True)


def soak(context: Any, seconds: int, seed: int, with_operators: bool) -> None:
    """Run a soak and store its result in the context."""
    answer_log, history, violations = run_soak(
        seconds=seconds, seed=seed, with_operators=with_operators
    )
    context.answer_log = answer_log
    context.violations = violations
    print("faults:", "; ".join(history))


@then("the soak finds no violations")
def then_no_violations(context: Any) -> None:
    assert not context.violations, "\n".join(context.violations[:20])


@then("the soak acknowledged at least {count:d} writes")
def then_acknowledged(context: Any, count: int) -> None:
    assert (
        len(context.answer_log.acknowledged) >= count
    ), context.answer_log.answers


@then("at least {count:d} edits were accepted")
def then_edits(context: Any, count: int) -> None:
    answers = context.answer_log.answers
    assert answers["edit:accepted"] >= count, answers
