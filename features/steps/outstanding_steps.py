"""Steps on the choice of a holder by an entry; the holders are fakes."""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.forwarding import Forwarder
from bamboospring.membership import Membership
from bamboospring.peers import PeerLost
from bamboospring.rendezvous import Placement
from bamboospring.retry_budget import RetryBudget
from bamboospring.statements import Statement

GROUP = "ledger"
ADDRESS = {f"vm-{number}": f"127.0.0.1:{number}" for number in (1, 2, 3)}


@given("an entry that is one of the three holders of a group")
def given_entry(context: Any) -> None:
    vms = [
        Vm(name=name, address=address, availability_zone=f"zone-{name}")
        for name, address in ADDRESS.items()
    ]
    board = Blackboard(local_vm=vms[0], vms={vm.name: vm for vm in vms})
    board.group_names.add(GROUP)
    context.waiting = []
    context.answers = []

    def ask(address: str, _message: Any, _timeout: float, answer: Any) -> None:
        context.waiting.append((address, answer))

    def run(_stmt: Statement, answer: Any) -> None:
        context.waiting.append((ADDRESS["vm-1"], answer))

    context.forwarder = Forwarder(
        reactor=SimpleNamespace(now=lambda: 0.0),
        board=board,
        placement=Placement(vms),
        peers=SimpleNamespace(ask=ask),
        holder=SimpleNamespace(run=run),
        codec=SimpleNamespace(),
        membership=Membership(),
        budget=RetryBudget(),
    )


@when("{count:d} writes come and none is answered")
def when_writes(context: Any, count: int) -> None:
    for _ in range(count):
        stmt = Statement(
            group=GROUP,
            caller="tester",
            write=True,
            sql="UPDATE entries SET body = 'two'",
            params=b"[]",
            deadline=1.0,
        )
        context.forwarder.forward(stmt, context.answers.append)


@when("holder {vm} is lost with all that it was sent")
def when_lost(context: Any, vm: str) -> None:
    sent, context.waiting = context.waiting, []
    for to, answer in sent:
        if to == ADDRESS[vm]:
            answer(PeerLost(sent=True))
        else:
            context.waiting.append((to, answer))


@then("the holders owe {one:d}, {two:d} and {three:d} answers")
def then_owe(context: Any, one: int, two: int, three: int) -> None:
    in_flight = Counter(to for to, _ in context.waiting)
    found = [in_flight[address] for address in ADDRESS.values()]
    assert found == [one, two, three], found


@then("the entry remembers no holder of the group")
def then_forgotten(context: Any) -> None:
    assert not context.forwarder._in_flight
