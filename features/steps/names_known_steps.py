"""Steps for a VM that learns the names of groups, with a simulated network."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
from membership_properties import fleet
import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.group_sync import GroupSync
from bamboospring.peers import new_envelope
from bamboospring.rendezvous import choose_holders
from bamboospring.rendezvous import Placement


@given("a VM of {size:d} that knows {known:d} of {count:d} groups")
def given_vm(context: Any, size: int, known: int, count: int) -> None:
    context.vms = fleet(size, 3, 1)
    context.names = [f"group-{number}" for number in range(count)]
    context.asked, context.timers, context.told = [], [], []
    board = Blackboard(local_vm=context.vms[0])
    board.group_names.update(context.names[:known])
    context.placement = Placement(context.vms)
    context.sync = GroupSync(
        reactor=SimpleNamespace(
            call_later=lambda wait, then: context.timers.append(then)
        ),
        board=board,
        placement=context.placement,
        peers=SimpleNamespace(
            add_handler=lambda kind, handler: None,
            ask=lambda *args: context.asked.append(args[-1]),
        ),
        platform=SimpleNamespace(),
        store=SimpleNamespace(
            announce_placement=lambda: context.told.append(True)
        ),
    )


@when("a watcher that does not know all tells it {count:d} names")
def when_told_some(context: Any, count: int) -> None:
    answer(context, complete=False, names=context.names[:count])


@when("a watcher tells it the names of all groups")
def when_told(context: Any) -> None:
    answer(context, complete=True, names=context.names)


def answer(context: Any, *, complete: bool, names: list[str]) -> None:
    context.sync.ask()
    body = {"complete": complete, "facts": [], "names": names}
    message = new_envelope()
    message.init("groupFact").record = orjson.dumps(body)
    context.asked.pop()(message)


@when("its timers have run")
def when_timers(context: Any) -> None:
    while context.timers:
        context.timers.pop(0)()


@then("it chooses the holders of each group alone")
def then_alone(context: Any) -> None:
    for name in context.names:
        alone = choose_holders(name, context.vms, 3)
        assert context.placement.holders(name) == alone


@then("it chooses the same holders as a VM that knew all from the start")
def then_same(context: Any) -> None:
    other = Placement(context.vms, context.names)
    plain = 0
    for name in context.names:
        holders = context.placement.holders(name)
        assert holders == other.holders(name)
        plain += holders == choose_holders(name, context.vms, 3)
    assert plain < len(context.names), "no VM was skipped"


@then("its components are told once that holders have changed")
def then_told(context: Any) -> None:
    assert context.told == [True], context.told
