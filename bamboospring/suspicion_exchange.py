"""Exchange of suspicions among holders, stewards and witnesses."""

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
from bamboospring.target_orders import OnOrderAnswer
from bamboospring.target_orders import ORDER_TIMEOUT

__all__ = ["SuspicionExchange", "choose_witnesses"]

# Minimum interval in seconds at which the steward probes a suspected primary
# itself and asks VMs of other zones.
CHECK_INTERVAL = 0.3
# A single VM may be cut off itself; two cover both other zones of a region.
MAX_WITNESSES_ASKED = 2
# A witness first waits for the target; the margin is for the transfer of its
# answer.
WITNESS_TIMEOUT = ORDER_TIMEOUT + 0.5


def choose_witnesses(
    group: str,
    vms: Iterable[Vm],
    local_vm: Vm,
    reported_zones: Collection[str],
) -> tuple[Vm, ...]:
    """Return VMs of zones not in `reported_zones` to ask about a primary.

    VMs of the local region are preferred: answers from a region that is cut
    off would not arrive and would not help callers in this region.
    """
    others = [vm for vm in vms if vm.availability_zone not in reported_zones]
    same_region = [vm for vm in others if vm.region == local_vm.region]
    return choose_holders(
        f"witness/{group}", same_region or others, MAX_WITNESSES_ASKED
    )


class SuspicionExchange:
    """Send verdicts of this VM to lease candidates and record theirs.

    `evaluate` is called whenever the reports of a led group have changed.
    `send_order` sends an order to a target.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        is_leader: Callable[[str], bool],
        state_of: Callable[[str], StewardGroupState],
        evaluate: Callable[[str, Group, StewardGroupState, float], None],
        send_order: Callable[[Order, OnOrderAnswer], None],
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._is_leader = is_leader
        self._state_of = state_of
        self._evaluate = evaluate
        self._send_order = send_order
        peers.add_handler("suspicion", self._on_suspicion)
        peers.add_handler("witness", self._on_witness_request)

    def report(
        self, group: str, target: str, term: int, verdict: TargetVerdict
    ) -> None:
        """Send a verdict to the candidates of the group's bucket."""
        message = self._suspicion_message(group, target, term, verdict)
        local_name = self._board.local_vm.name
        candidates = self._placement.candidates(bucket_of(group))
        others = [vm.address for vm in candidates if vm.name != local_name]
        self._peers.send_all(others, message)
        if len(others) < len(candidates):
            self._record_suspicion(message.suspicion)

    def _suspicion_message(
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
        body.silentMs = min(int(verdict.unresponsive_for * 1000), 2**32 - 1)
        return message

    def _on_suspicion(self, message: Any, reply: Reply) -> None:
        self._record_suspicion(message.suspicion)

    def _record_suspicion(self, body: Any) -> None:
        now = self._reactor.now()
        state = self._state_of(body.group)
        report = SuspicionReport(
            target=body.target,
            term=body.term,
            vm=body.vm,
            availability_zone=body.availabilityZone,
            suspected=body.suspected,
            unresponsive_for=body.silentMs / 1000,
            received_at=now,
        )
        state.suspicions.add_report(report)
        group = self._board.groups.get(body.group)
        if group is None or not self._is_leader(body.group):
            return
        if report.suspected:
            self._check_primary(group, state, now)
        self._evaluate(body.group, group, state, now)

    def _check_primary(
        self, group: Group, state: StewardGroupState, now: float
    ) -> None:
        """Probe a suspected primary and record the steward's own report.

        If two of three holders are lost together with the primary's zone,
        the report of the third alone would not be sufficient.
        """
        record = group.record
        target = find_target(group, record.primary)
        if target is None or now - state.last_check_at < CHECK_INTERVAL:
            return
        state.last_check_at = now
        local_vm = self._board.local_vm

        def on_answer(done: bool, probe: ProbeResult | None) -> None:
            is_working = probe is not None and probe.term == record.term
            state.suspicions.add_report(
                SuspicionReport(
                    target=target.name,
                    term=record.term,
                    vm=f"{local_vm.name}/steward",
                    availability_zone=local_vm.availability_zone,
                    suspected=not is_working,
                    unresponsive_for=0.0,
                    received_at=self._reactor.now(),
                )
            )
            if not is_working:
                self._ask_other_zones(group, state, target)

        self._send_order(Order(kind=OrderKind.PROBE, target=target), on_answer)

    # Reports of other zones.

    def _ask_other_zones(
        self, group: Group, state: StewardGroupState, target: Target
    ) -> None:
        """Ask VMs of other zones if all reports come from one zone.

        The only holder that still reaches the steward may be in the steward's
        zone, or be the steward itself. If the group's other holders are lost,
        cut off or in another region, no VM of a second zone would report, and
        the group would stay without a primary.
        """
        record = group.record
        now = self._reactor.now()
        reports = state.suspicions.valid_reports(target.name, record.term, now)
        reported_zones = {report.availability_zone for report in reports}
        if len(reported_zones) > 1:
            return
        local_vm = self._board.local_vm
        vms = self._placement.vms
        reported_zones.add(local_vm.availability_zone)
        for vm in choose_witnesses(record.name, vms, local_vm, reported_zones):
            request = _witness_request(record, target)
            self._peers.ask(
                vm.address, request, WITNESS_TIMEOUT, self._on_witness_answer
            )

    def _on_witness_answer(self, answer: Any) -> None:
        """Record a witness's report; a missing answer is ignored."""
        if not isinstance(answer, PeerLost):
            self._record_suspicion(answer.suspicion)

    def _on_witness_request(self, message: Any, reply: Reply) -> None:
        """Probe a target for a steward that has reports of one zone only."""
        body = message.witness
        name, group, term = body.target, body.group, body.term
        target = Target(
            name=name, address=body.address, availability_zone="", site=""
        )

        def on_answer(done: bool, probe: ProbeResult | None) -> None:
            is_working = probe is not None and probe.term == term
            verdict = TargetVerdict(
                suspected=not is_working, unresponsive_for=0.0
            )
            reply(self._suspicion_message(group, name, term, verdict))

        self._send_order(Order(kind=OrderKind.PROBE, target=target), on_answer)


def _witness_request(record: GroupRecord, target: Target) -> Any:
    """Return the message that asks a witness for a verdict on a target."""
    message = new_envelope()
    body = message.init("witness")
    body.group = record.name
    body.target = target.name
    body.address = target.address
    body.term = record.term
    return message
