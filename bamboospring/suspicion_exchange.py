"""What holders, the steward and those it asks say of a suspected primary."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from typing import Any

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Target
from bamboospring.blackboard import Vm
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.primary_change import Order
from bamboospring.primary_change import OrderKind
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import choose_holders
from bamboospring.rendezvous import Placement
from bamboospring.routing import find_target
from bamboospring.steward_state import StewardGroupState
from bamboospring.suspicion import SuspicionReport
from bamboospring.suspicion import TargetVerdict
from bamboospring.target_api import ProbeResult
from bamboospring.target_orders import OnOrdered
from bamboospring.target_orders import ORDER_TIMEOUT

__all__ = ["SuspicionExchange", "choose_witnesses"]

# A suspected primary is asked by the steward itself at most this often, in
# seconds; so are the VMs of other zones.
CHECK_INTERVAL = 0.3
# One VM may be cut off itself, two are one of each other zone of a region.
WITNESSES_ASKED = 2
# A witness waits for the target, and its answer takes the way to us.
WITNESS_TIMEOUT = ORDER_TIMEOUT + 0.5


def choose_witnesses(
    group: str, vms: Iterable[Vm], me: Vm, heard: Collection[str]
) -> tuple[Vm, ...]:
    """Return VMs of zones not in `heard` to ask about a group's primary.

    Those of our own region if there are any: the word of a region that is
    cut off would not come, and not count for callers here.
    """
    others = [vm for vm in vms if vm.availability_zone not in heard]
    near = [vm for vm in others if vm.region == me.region]
    return choose_holders(f"witness/{group}", near or others, WITNESSES_ASKED)


class SuspicionExchange:
    """Take this VM's judgements to those who may lead, and theirs in.

    `judge` is called whenever a led group's reports have changed. `send`
    carries an order to a target.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        leads: Callable[[str], bool],
        care_of: Callable[[str], StewardGroupState],
        judge: Callable[[str, Group, StewardGroupState, float], None],
        send: Callable[[Order, OnOrdered], None],
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._leads = leads
        self._care_of = care_of
        self._judge = judge
        self._send = send
        peers.add_handler("suspicion", self._on_suspicion)
        peers.add_handler("witness", self._on_witness)

    def report(
        self, group: str, target: str, term: int, verdict: TargetVerdict
    ) -> None:
        """Tell the candidates of the group's bucket of a judgement."""
        message = self._suspicion(group, target, term, verdict)
        me = self._board.local_vm.name
        candidates = self._placement.candidates(bucket_of(group))
        others = [vm.address for vm in candidates if vm.name != me]
        self._peers.send_all(others, message)
        if len(others) < len(candidates):
            self._take_suspicion(message.suspicion)

    def _suspicion(
        self, group: str, target: str, term: int, verdict: TargetVerdict
    ) -> Any:
        message = new_envelope()
        body = message.init("suspicion")
        body.group = group
        body.target = target
        body.term = term
        body.vm = self._board.local_vm.name
        body.availabilityZone = self._board.local_vm.availability_zone
        body.suspected = verdict.suspected
        body.silentMs = min(int(verdict.silent * 1000), 2**32 - 1)
        return message

    def _on_suspicion(self, message: Any, reply: Reply) -> None:
        self._take_suspicion(message.suspicion)

    def _take_suspicion(self, body: Any) -> None:
        now = self._reactor.now()
        care = self._care_of(body.group)
        report = SuspicionReport(
            target=body.target,
            term=body.term,
            vm=body.vm,
            availability_zone=body.availabilityZone,
            suspected=body.suspected,
            silent=body.silentMs / 1000,
            at=now,
        )
        care.suspicions.take(report)
        group = self._board.groups.get(body.group)
        if group is None or not self._leads(body.group):
            return
        if report.suspected:
            self._check_primary(group, care, now)
        self._judge(body.group, group, care, now)

    def _check_primary(
        self, group: Group, care: StewardGroupState, now: float
    ) -> None:
        """Ask a suspected primary ourselves: the steward is a witness too.

        With two of three holders lost together with the primary's zone, the
        third one's word would else stand alone.
        """
        record = group.record
        target = find_target(group, record.primary)
        if target is None or now - care.check_at < CHECK_INTERVAL:
            return
        care.check_at = now
        me = self._board.local_vm

        def answered(done: bool, probe: ProbeResult | None) -> None:
            works = probe is not None and probe.term == record.term
            care.suspicions.take(
                SuspicionReport(
                    target=target.name,
                    term=record.term,
                    vm=f"{me.name}/steward",
                    availability_zone=me.availability_zone,
                    suspected=not works,
                    silent=0.0,
                    at=self._reactor.now(),
                )
            )
            if not works:
                self._ask_others(group, care, target)

        self._send(Order(kind=OrderKind.PROBE, target=target), answered)

    # The word of other zones.

    def _ask_others(
        self, group: Group, care: StewardGroupState, target: Target
    ) -> None:
        """Have VMs of other zones look, if all witnesses are of one zone.

        The only holder that still reaches us may be of the steward's zone,
        or be the steward: with the group's other holders lost, cut off
        or in another region nobody of a second zone would ever report, and
        the group would stay without a primary.
        """
        record = group.record
        now = self._reactor.now()
        found = care.suspicions.witnesses(target.name, record.term, now)
        heard = {report.availability_zone for report in found}
        if len(heard) > 1:
            return
        me = self._board.local_vm
        vms = self._placement.vms
        heard.add(me.availability_zone)
        for vm in choose_witnesses(record.name, vms, me, heard):
            question = _question(record, target)
            self._peers.ask(
                vm.address, question, WITNESS_TIMEOUT, self._on_word
            )

    def _on_word(self, answer: Any) -> None:
        """Take a witness's word; one that does not answer counts nothing."""
        if not isinstance(answer, PeerLost):
            self._take_suspicion(answer.suspicion)

    def _on_witness(self, message: Any, reply: Reply) -> None:
        """Look at a target for a steward that has only one zone's word."""
        body = message.witness
        name, group, term = body.target, body.group, body.term
        target = Target(
            name=name, address=body.address, availability_zone="", site=""
        )

        def answered(done: bool, probe: ProbeResult | None) -> None:
            works = probe is not None and probe.term == term
            verdict = TargetVerdict(suspected=not works, silent=0.0)
            reply(self._suspicion(group, name, term, verdict))

        self._send(Order(kind=OrderKind.PROBE, target=target), answered)


def _question(record: GroupRecord, target: Target) -> Any:
    """Return the message that asks for a judgement of a target."""
    message = new_envelope()
    body = message.init("witness")
    body.group = record.name
    body.target = target.name
    body.address = target.address
    body.term = record.term
    return message
