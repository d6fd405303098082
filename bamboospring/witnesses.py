"""What holders, and the steward itself, say of a suspected primary."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.peers import envelope
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.promotion import Order
from bamboospring.promotion import OrderKind
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import Placement
from bamboospring.routing import find_target
from bamboospring.steward_care import Care
from bamboospring.suspicion import Report
from bamboospring.suspicion import Verdict
from bamboospring.target_api import Probe
from bamboospring.target_orders import send_order

__all__ = ["Witnesses"]

# A suspected primary is asked by the steward itself at most this often.
CHECK_INTERVAL = 0.3


class Witnesses:
    """Take this VM's judgements to those who may lead, and theirs in.

    `judge` is called whenever a led group's reports have changed.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        leads: Callable[[str], bool],
        care_of: Callable[[str], Care],
        judge: Callable[[str, Group, Care, float], None],
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._leads = leads
        self._care_of = care_of
        self._judge = judge
        peers.handle("suspicion", self._on_suspicion)

    def report(
        self, group: str, target: str, term: int, verdict: Verdict
    ) -> None:
        """Tell the candidates of the group's bucket of a judgement."""
        message = envelope()
        body = message.init("suspicion")
        body.group = group
        body.target = target
        body.term = term
        body.vm = self._board.me.name
        body.availabilityZone = self._board.me.availability_zone
        body.suspected = verdict.suspected
        body.silentMs = min(int(verdict.silent * 1000), 2**32 - 1)
        me = self._board.me.name
        candidates = self._placement.candidates(bucket_of(group))
        others = [vm.address for vm in candidates if vm.name != me]
        self._peers.send_all(others, message)
        if len(others) < len(candidates):
            self._take_suspicion(body)

    def _on_suspicion(self, message: Any, reply: Reply) -> None:
        self._take_suspicion(message.suspicion)

    def _take_suspicion(self, body: Any) -> None:
        now = self._reactor.now()
        care = self._care_of(body.group)
        report = Report(
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

    def _check_primary(self, group: Group, care: Care, now: float) -> None:
        """Ask a suspected primary ourselves: the steward is a witness too.

        With two of three holders lost together with the primary's zone, the
        third one's word would else stand alone.
        """
        record = group.record
        target = find_target(group, record.primary)
        if target is None or now - care.check_at < CHECK_INTERVAL:
            return
        care.check_at = now
        me = self._board.me

        def answered(done: bool, probe: Probe | None) -> None:
            works = probe is not None and probe.term == record.term
            care.suspicions.take(
                Report(
                    target=target.name,
                    term=record.term,
                    vm=f"{me.name}/steward",
                    availability_zone=me.availability_zone,
                    suspected=not works,
                    silent=0.0,
                    at=self._reactor.now(),
                )
            )

        order = Order(kind=OrderKind.PROBE, target=target)
        send_order(self._reactor, order, answered)
