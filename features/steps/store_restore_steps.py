"""Steps for a store that is restored from an older copy."""

from __future__ import annotations

import asyncio
import re
from typing import Any
from unittest import mock

from behave import then
from behave import when

from bamboospring.sessions.model import PrimaryRecord
from features.steps.session_stage import act
from features.steps.session_stage import add_database
from features.steps.session_stage import check_opened
from features.steps import session_worlds

AWAY_SECONDS = 0.8
REWRITTEN_AFTER = 0.3


@when("after {after:d} s the store comes back from a copy of {age:d} s before")
def when_restored(context: Any, after: int, age: int) -> None:
    fleet = context.stage.fleet

    async def restore() -> None:
        copy = fleet.store.snapshot()
        for _ in range(age):
            await asyncio.sleep(1)
            fleet.write_config()
        await fleet.restore_store(
            copy, outage=AWAY_SECONDS, rewrite_delay=REWRITTEN_AFTER
        )

    act(context, after - age, restore)


@when("after {after:d} s a database is added")
def when_added(context: Any, after: int) -> None:
    stage = context.stage
    act(context, after, lambda: add_database(stage, stage.fleet.vms.values()))


@then("every VM has opened the added database within {seconds:d} s")
def then_opened(context: Any, seconds: int) -> None:
    context.stage.play()
    check_opened(context.stage, seconds)


@then("no VM has activated an older configuration")
def then_never_older(context: Any) -> None:
    for vm in context.stage.fleet.vms:
        text = context.stage.fleet.read_log(vm)
        versions = [
            int(found)
            for found in re.findall(r"event=catalog .*?version=(\d+)", text)
        ]
        assert versions and versions == sorted(versions), (vm, versions)


@then("all groups are settled in the store's present era")
def then_settled(context: Any) -> None:
    store = context.stage.fleet.store
    records = {
        group: store.get("groups", group)
        for group in context.stage.fleet.groups
    }
    assert all(r and r["era"] == store.era for r in records.values()), records


@then(
    "in {count:d} explored restores of the store no proof outlives a "
    "promotion"
)
def then_no_proof(context: Any, count: int) -> None:
    context.seen = session_worlds.explore_changes(
        count, finish=True, relays=True, restores=True
    )
    assert not context.seen.wrong, context.seen.wrong[:3]


@then("the exploration has seen records lost, settled and replaced")
def then_seen(context: Any) -> None:
    counts = context.seen.counts
    for kind in ("records_lost", "settled", "replaced_unsettled"):
        assert counts[kind] > 100, counts


@then(
    "in {count:d} explored restores a restored record used as a proof "
    "is found"
)
def then_found(context: Any, count: int) -> None:
    with mock.patch.object(PrimaryRecord, "is_current", True):
        seen = session_worlds.explore_changes(
            count, finish=True, restores=True
        )
    assert seen.wrong
