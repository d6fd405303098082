"""Steps for the distribution of group records, with faked interfaces."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.group_sync import GroupSync
from bamboospring.peers import new_envelope
from bamboospring.rendezvous import Placement

GROUP = "ledger"
RECORD = {
    "targets": [
        {
            "name": "ledger-m1",
            "address": "127.0.0.1:1",
            "availability_zone": "zone-a",
            "site": "old",
            "slots": 3,
            "connections": 20,
        }
    ],
    "term": 0,
    "primary": "",
    "starts": [],
}


@given("a VM that has no list of VMs yet")
def given_vm(context: Any) -> None:
    context.taken = []
    context.handlers = {}
    me = Vm(name="vm-1", address="127.0.0.1:2", availability_zone="zone-a")
    context.board = Blackboard(local_vm=me)
    context.placement = Placement()
    peers = SimpleNamespace(
        add_handler=context.handlers.__setitem__,
        send=lambda address, message: None,
        ask=lambda address, message, timeout, on_answer: None,
    )
    context.sync = GroupSync(
        reactor=SimpleNamespace(),
        board=context.board,
        placement=context.placement,
        peers=peers,
        platform=SimpleNamespace(),
        store=SimpleNamespace(apply_group=context.taken.append),
    )


@when("a peer sends it the record of a group")
def when_sent(context: Any) -> None:
    fact = {"name": GROUP, "version": 1, "value": RECORD}
    message = new_envelope()
    message.id = 0
    body = orjson.dumps({"facts": [fact]})
    message.init("groupFact").record = body
    context.handlers["groupFact"](message, lambda answer: None)


@when("the list of VMs arrives that makes it a holder of that group")
def when_listed(context: Any) -> None:
    context.board.vms = {"vm-1": context.board.local_vm}
    context.board.vms_revision = 1
    context.placement.set_vms([context.board.local_vm])
    context.sync.follow_placement()


@then("the record is in force on that VM")
def then_in_force(context: Any) -> None:
    assert [record.name for record in context.taken] == [GROUP], context.taken
