"""Steps of two neighbours that compare versions over an in-memory network."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import TableShard
from bamboospring.blackboard import Vm
from bamboospring.fact_versions import fact_versions
from bamboospring.membership import Membership
from bamboospring.peer_sync import PeerSync
from bamboospring.peers import new_envelope
from bamboospring.peers import schema
from bamboospring.rendezvous import SHARD_COUNT

ZONE = "zone-a"
LISTED = [
    Vm(name=name, address=name, availability_zone=ZONE)
    for name in ("vm-1", "vm-2")
]


class MemoryPeers:
    """Delivers each message at once and records a copy."""

    def __init__(self, network: dict[str, MemoryPeers], sent: Any) -> None:
        self._network = network
        self._sent = sent
        self.handlers: dict[str, Any] = {}

    def add_handler(self, kind: str, callback: Any) -> None:
        """Register a handler."""
        self.handlers[kind] = callback

    def send(self, address: str, message: Any) -> None:
        """Deliver a message that needs no answer."""
        self._deliver(address, message, lambda answer: None)

    def send_all(self, addresses: list[str], message: Any) -> None:
        """Deliver the same message to several."""
        for address in addresses:
            self.send(address, message)

    def ask(
        self, address: str, message: Any, timeout: float, on_answer: Any
    ) -> None:
        """Deliver a request and its answer."""

        def reply(answer: Any) -> None:
            on_answer(self._copy(answer))

        message.id = 1
        self._deliver(address, message, reply)

    def _deliver(self, address: str, message: Any, reply: Any) -> None:
        copy = self._copy(message)
        self._network[address].handlers[copy.which()](copy, reply)

    def _copy(self, message: Any) -> Any:
        with schema.Envelope.from_bytes(message.to_bytes()) as copy:
            self._sent.append(copy.as_builder())
        return self._sent[-1]


class SimVm:
    """One VM: the real component with a blackboard."""

    def __init__(self, vm: Vm, peers: MemoryPeers) -> None:
        self.board = Blackboard(local_vm=vm)
        self.board.vms = {each.name: each for each in LISTED}
        self.board.vms_revision = 1
        for shard in range(SHARD_COUNT):
            self.apply_shard(str(shard), 1, None)
        self.sync = PeerSync(
            reactor=SimpleNamespace(now=lambda: 0.0),
            board=self.board,
            peers=peers,
            store=SimpleNamespace(
                on_change=[],
                apply_shard_value=self.apply_shard,
                apply_vms=self.apply_vms,
            ),
            membership=Membership(),
            interval=2.0,
        )

    def apply_shard(self, name: str, version: int, value: Any) -> None:
        """Put a shard in force."""
        self.board.table[int(name)] = TableShard(
            shard=int(name), version=version, rows={}
        )

    def apply_vms(self, revision: int, vms: Any) -> None:
        """Put a list in force."""
        self.board.vms_revision = revision


@given("two VMs of which the first compares with the second")
def given_two(context: Any) -> None:
    context.sent = []
    network: dict[str, MemoryPeers] = {}
    context.vms = []
    for vm in LISTED:
        network[vm.address] = MemoryPeers(network, context.sent)
        context.vms.append(SimVm(vm, network[vm.address]))
    context.first, context.second = context.vms


def compare(context: Any) -> None:
    context.newest = [
        max(pair)
        for pair in zip(
            *[version_list(each) for each in context.vms], strict=True
        )
    ]
    context.first.sync.compare_with("vm-2", "vm-2")


def version_list(vm: SimVm) -> list[int]:
    """Return the revision of the list, then all versions of shards."""
    versions = fact_versions(vm.board)
    return [versions.vms_revision, *versions.shards]


@when("they have the same versions and the first compares")
def when_same(context: Any) -> None:
    compare(context)


@when("{newer} without an announcement and the first compares")
def when_newer(context: Any, newer: str) -> None:
    first, second = context.vms
    match newer:
        case "the first has a newer shard":
            first.apply_shard("3", 2, None)
        case "the second has a newer shard":
            second.apply_shard("3", 2, None)
        case "each of the two has a newer shard":
            first.apply_shard("3", 2, None)
            second.apply_shard("4", 5, None)
        case "the first has a newer list of VMs":
            first.apply_vms(2, ())
        case "the second has a newer list of VMs":
            second.apply_vms(2, ())
        case "the second has nothing at all":
            second.board.table.clear()
        case _:
            raise AssertionError(newer)
    compare(context)


@when("a neighbour that knows no digest compares with the first")
def when_earlier(context: Any) -> None:
    message = new_envelope()
    message.id = 1
    heartbeat = message.init("heartbeat")
    heartbeat.vm = "vm-2"
    heartbeat.vmsRevision = 1
    heartbeat.shards = [1] * SHARD_COUNT
    answers: list[Any] = []
    peers = context.second.sync._peers
    peers.ask("vm-1", message, 1.0, answers.append)
    context.answer = answers[0].heartbeatAck


@then("no versions and no facts were sent")
def then_none(context: Any) -> None:
    kinds = [message.which() for message in context.sent]
    assert kinds == ["heartbeat", "heartbeatAck"], kinds
    told = [
        getattr(message, kind).shards
        for message, kind in zip(context.sent, kinds, strict=True)
    ]
    assert not any(len(shards) for shards in told)


@then("both have the newest of everything")
def then_newest(context: Any) -> None:
    for vm in context.vms:
        found = version_list(vm)
        assert found == context.newest, (vm.board.local_vm.name, found)


@then("the answer tells all versions")
def then_all(context: Any) -> None:
    assert list(context.answer.shards) == [1] * SHARD_COUNT
