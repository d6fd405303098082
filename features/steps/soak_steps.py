"""Steps of the soak; the work is in bamboospring.testing.soak."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when

from bamboospring.testing.soak import run_soak


@when("callers and faults run for {seconds:d} s with seed {seed:d}")
def when_soak(context: Any, seconds: int, seed: int) -> None:
    soak(context, seconds, seed, planned=False)


@when(
    "callers, operators and faults work for {seconds:d} s with seed {seed:d}"
)
def when_planned(context: Any, seconds: int, seed: int) -> None:
    soak(context, seconds, seed, planned=True)


def soak(context: Any, seconds: int, seed: int, planned: bool) -> None:
    """Run a soak and keep what it found."""
    books, history, wrong = run_soak(
        seconds=seconds, seed=seed, with_operators=planned
    )
    context.books = books
    context.wrong = wrong
    print("faults:", "; ".join(history))


@then("the soak finds nothing wrong")
def then_nothing_wrong(context: Any) -> None:
    assert not context.wrong, "\n".join(context.wrong[:20])


@then("the soak acknowledged at least {count:d} writes")
def then_acknowledged(context: Any, count: int) -> None:
    assert len(context.books.acknowledged) >= count, context.books.answers


@then("at least {count:d} edits were accepted")
def then_edits(context: Any, count: int) -> None:
    answers = context.books.answers
    assert answers["edit:accepted"] >= count, answers
