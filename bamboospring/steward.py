"""The steward: leads the changes of primary of the buckets it has leased.

It learns of trouble from the holders' suspicions and from its own slow round
over the targets, and lets the controllers decide; `change_runner` carries out
what they say.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
import random
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import handler

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Target
from bamboospring.change_runner import ChangeRunner
from bamboospring.change_runner import ROUND
from bamboospring.change_runner import TICK
from bamboospring.events import group_doubted
from bamboospring.lease import LeaseTiming
from bamboospring.lease_client import LeaseManager
from bamboospring import logs
from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.platform_client import PlatformClient
from bamboospring.primary_change import Order
from bamboospring.primary_change import OrderKind
from bamboospring.primary_policy import choose_plan
from bamboospring.primary_policy import orders_to_rejoin
from bamboospring.primary_policy import PolicyInput
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import shard_of
from bamboospring.steward_state import StewardGroupState
from bamboospring.suspicion import TargetVerdict
from bamboospring.suspicion_exchange import SuspicionExchange
from bamboospring.target_api import ProbeResult
from bamboospring.target_orders import send_order

__all__ = ["Steward"]

# Without news a group is judged this often, for what time alone changes.
JUDGE_INTERVAL = 0.5
PROBES_PER_SECOND = 10.0
# An answer counts for this many rounds.
PROBE_LIFE = 2.5
# After so long the word of several zones counts more than our own hearing.
INSIST_AFTER = 1.0
ORDER_LIFE = 10.0


class Steward(BaseComponent):
    """Lead the groups of the leased buckets; one component per process."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        platform: PlatformClient,
        timing: LeaseTiming,
        publish: Callable[[GroupRecord], None],
        chance: Callable[[], float] = random.random,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._care: dict[str, StewardGroupState] = {}
        self._buckets: dict[str, int] = {}
        self.leases = LeaseManager(
            reactor=reactor, board=board, platform=platform, timing=timing
        )
        self._runner = ChangeRunner(
            reactor=reactor,
            board=board,
            platform=platform,
            leads=self.leads,
            publish=publish,
            chance=chance,
        )
        self._witnesses = SuspicionExchange(
            reactor=reactor,
            board=board,
            placement=placement,
            peers=peers,
            leads=self.leads,
            care_of=self._care_of,
            judge=self._judge,
            send=partial(send_order, reactor),
        )
        peers.add_handler("handOver", self._on_hand_over)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._tick()

    def leads(self, group: str) -> bool:
        """Tell whether this VM may act for a group at this instant."""
        return self.leases.holds(self._bucket(group))

    def report(
        self, group: str, target: str, term: int, verdict: TargetVerdict
    ) -> None:
        """Tell the candidates of the group's bucket of a judgement."""
        self._witnesses.report(group, target, term, verdict)

    @handler("table_changed")
    def _on_table_changed(self, shard: int) -> None:
        """Look now at the groups whose rows may have changed."""
        for name, group in self._board.groups.items():
            if shard_of(name) == shard and self.leads(name):
                self._ask_round(group, self._care_of(name))

    # Hand-overs: operators' orders, and holders' hints that one is due.

    def hint(self, group: str, term: int) -> None:
        """Tell the candidates that a group's targets need a look."""
        message = new_envelope()
        body = message.init("handOver")
        body.group = group
        body.term = term
        candidates = self._placement.candidates(self._bucket(group))
        me = self._board.local_vm.name
        others = [vm.address for vm in candidates if vm.name != me]
        self._peers.send_all(others, message)
        if len(others) < len(candidates):
            self._take_hint(group, term)

    def _on_hand_over(self, message: Any, reply: Reply) -> None:
        body = message.handOver
        if body.term:
            self._take_hint(body.group, body.term)
        else:
            self.hand_over(body.group, body.target)

    def _take_hint(self, name: str, term: int) -> None:
        """Ask the targets now instead of at the next round.

        A hint is no order: one that comes late, after the change that it
        asks for, must not cause another.
        """
        group = self._board.groups.get(name)
        if group is None or group.record.term != term:
            return
        care = self._care_of(name)
        if self.leads(name) and care.change is None:
            self._ask_round(group, care)

    def hand_over(self, group: str, target: str) -> bool:
        """Take an order to change the primary; empty: choose a target.

        False if this VM does not lead the group; nothing is done then.
        """
        if group not in self._board.groups or not self.leads(group):
            return False
        care = self._care_of(group)
        care.ordered = target or "*"
        care.ordered_until = self._reactor.now() + ORDER_LIFE
        care.retry_at = -1e9
        self._ask_round(self._board.groups[group], care)
        return True

    # The regular look at everything.

    def _tick(self) -> None:
        self.leases.step(self._rank)
        targets = 0
        for name, group in self._board.groups.items():
            if self.leads(name):
                targets += len(group.record.targets)
                self._look(name, group)
            else:
                self._drop_change(name)
        self._runner.round = max(ROUND, targets / PROBES_PER_SECOND)
        self._reactor.call_later(TICK, self._tick)

    def _look(self, name: str, group: Group) -> None:
        now = self._reactor.now()
        care = self._care_of(name)
        if now - care.round_at >= self._runner.round:
            self._ask_round(group, care)
        if now >= max(care.judge_at, care.retry_at):
            self._judge(name, group, care, now)

    def _rank(self, bucket: int) -> int | None:
        """Return our place among a bucket's candidates, if we have one.

        A VM that leaves keeps its lease until its changes are over: left
        half done they would keep the group without a primary for longer.
        """
        if self._board.draining and not self._is_changing(bucket):
            return None
        candidates = self._placement.candidates(bucket)
        for place, vm in enumerate(candidates):
            if vm.name == self._board.local_vm.name:
                return place
        return None

    def _is_changing(self, bucket: int) -> bool:
        return any(
            care.change is not None and self._bucket(name) == bucket
            for name, care in self._care.items()
        )

    def _drop_change(self, name: str) -> None:
        care = self._care.get(name)
        if care is not None:
            self._runner.drop(name, care)

    def _ask_round(self, group: Group, care: StewardGroupState) -> None:
        """Ask all targets of a group, and put stray ones right."""
        care.round_at = self._reactor.now()
        for target in group.record.targets:
            known, _ = care.probes.get(target.name, (None, 0.0))
            order = Order(kind=OrderKind.PROBE, target=target, known=known)
            answered = partial(
                self._probed, group, care, target, group.record.version
            )
            send_order(self._reactor, order, answered)

    def _probed(
        self,
        group: Group,
        care: StewardGroupState,
        target: Target,
        version: int,
        done: bool,
        probe: ProbeResult | None,
    ) -> None:
        now = self._reactor.now()
        record = group.record
        if record.version != version or care.change is not None:
            # Asked before the change: the answer may show the old term and
            # would make the new primary look as if it had lost its role.
            return
        care.judge_at = now
        if probe is None:
            care.probes.pop(target.name, None)
            return
        care.probes[target.name] = (probe, now)
        if probe.term > record.term:
            self.fire(group_doubted(record.name))
        elif self.leads(record.name):
            for order in orders_to_rejoin(record, {target.name: probe}):
                self._rejoin(record, order, probe)

    def _rejoin(
        self, record: GroupRecord, order: Order, probe: ProbeResult
    ) -> None:
        logs.log_event(
            "target_rejoins",
            group=record.name,
            target=order.target.name,
            term=record.term,
            had_term=probe.term,
            had_role=probe.role.value,
        )
        send_order(self._reactor, order, lambda done, probe: None)

    # Deciding.

    def _judge(
        self, name: str, group: Group, care: StewardGroupState, now: float
    ) -> None:
        if care.change is not None or now < care.retry_at:
            return
        care.judge_at = now + JUDGE_INTERVAL
        plan = choose_plan(self._view(name, group, care, now))
        if plan is not None:
            self._runner.begin(name, group, care, plan)

    def _view(
        self, name: str, group: Group, care: StewardGroupState, now: float
    ) -> PolicyInput:
        record = group.record
        care.suspicions.forget_before(record.term)
        zones = [vm.availability_zone for vm in self._placement.holders(name)]
        zones.append(self._board.local_vm.availability_zone)
        condemned = care.suspicions.condemned(
            record.primary, record.term, now, zones
        )
        if not condemned:
            care.condemned_at = None
        elif care.condemned_at is None:
            care.condemned_at = now
        since = now if care.condemned_at is None else care.condemned_at
        return PolicyInput(
            record=record,
            row=self._board.row(name, shard_of(name)),
            probes={
                target: probe
                for target, (probe, at) in care.probes.items()
                if now - at <= PROBE_LIFE * self._runner.round
            },
            condemned=condemned,
            insist=now - since >= INSIST_AFTER,
            ordered=care.ordered if now < care.ordered_until else "",
        )

    # Helpers.

    def _care_of(self, group: str) -> StewardGroupState:
        return self._care.setdefault(group, StewardGroupState())

    def _bucket(self, group: str) -> int:
        found = self._buckets.get(group)
        if found is None:
            found = self._buckets[group] = bucket_of(group)
        return found
