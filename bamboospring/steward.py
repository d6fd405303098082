"""The steward, which changes the primaries of groups in its leased buckets.

Its input is the holders' suspicions and its own periodic probes of the
targets. `primary_policy` decides and `change_runner` carries the decision
out.
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
from bamboospring.change_runner import PROBE_ROUND_INTERVAL
from bamboospring.change_runner import TICK_INTERVAL
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

# How often a group is evaluated without new input, since decisions also depend
# on elapsed time.
EVALUATION_INTERVAL = 0.5
MAX_PROBES_PER_SECOND = 10.0
# An answer is used for this many probe rounds.
PROBE_MAX_AGE_ROUNDS = 2.5
# After this time, reports of several zones outweigh the primary's answers to
# the steward.
IGNORE_PRIMARY_AFTER = 1.0
ORDER_LIFETIME = 10.0


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
        random_float: Callable[[], float] = random.random,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._group_states: dict[str, StewardGroupState] = {}
        self._buckets: dict[str, int] = {}
        self.leases = LeaseManager(
            reactor=reactor, board=board, platform=platform, timing=timing
        )
        self._runner = ChangeRunner(
            reactor=reactor,
            board=board,
            platform=platform,
            is_leader=self.is_leader,
            publish=publish,
            random_float=random_float,
        )
        self._suspicion_exchange = SuspicionExchange(
            reactor=reactor,
            board=board,
            placement=placement,
            peers=peers,
            is_leader=self.is_leader,
            state_of=self._state_of,
            evaluate=self._evaluate,
            send_order=partial(send_order, reactor),
        )
        peers.add_handler("handOver", self._on_hand_over)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._tick()

    def is_leader(self, group: str) -> bool:
        """Return whether this VM may act for a group at this instant."""
        return self.leases.holds(self._bucket_of(group))

    def report(
        self, group: str, target: str, term: int, verdict: TargetVerdict
    ) -> None:
        """Send a verdict to the candidates of the group's bucket."""
        self._suspicion_exchange.report(group, target, term, verdict)

    @handler("table_changed")
    def _on_table_changed(self, shard: int) -> None:
        """Probe the groups whose rows may have changed."""
        for name, group in self._board.groups.items():
            if shard_of(name) == shard and self.is_leader(name):
                self._probe_targets(group, self._state_of(name))

    # Hand-overs: orders of operators and hints of holders.

    def send_hint(self, group: str, term: int) -> None:
        """Tell the candidates to probe a group's targets."""
        message = new_envelope()
        body = message.init("handOver")
        body.group = group
        body.term = term
        candidates = self._placement.candidates(self._bucket_of(group))
        local_name = self._board.local_vm.name
        others = [vm.address for vm in candidates if vm.name != local_name]
        self._peers.send_all(others, message)
        if len(others) < len(candidates):
            self._apply_hint(group, term)

    def _on_hand_over(self, message: Any, reply: Reply) -> None:
        body = message.handOver
        if body.term:
            self._apply_hint(body.group, body.term)
        else:
            self.hand_over(body.group, body.target)

    def _apply_hint(self, name: str, term: int) -> None:
        """Probe the targets now instead of in the next round.

        A hint is not an order: a hint that arrives late, after the change
        that it refers to, must not cause another change.
        """
        group = self._board.groups.get(name)
        if group is None or group.record.term != term:
            return
        state = self._state_of(name)
        if self.is_leader(name) and state.change is None:
            self._probe_targets(group, state)

    def hand_over(self, group: str, target: str) -> bool:
        """Accept an order to change the primary; empty `target`: choose one.

        Return False, and do nothing, if this VM does not lead the group.
        """
        if group not in self._board.groups or not self.is_leader(group):
            return False
        state = self._state_of(group)
        state.ordered_target = target or "*"
        state.order_expires_at = self._reactor.now() + ORDER_LIFETIME
        state.retry_at = -1e9
        self._probe_targets(self._board.groups[group], state)
        return True

    # Periodic checks.

    def _tick(self) -> None:
        self.leases.step(self._rank)
        targets = 0
        for name, group in self._board.groups.items():
            if self.is_leader(name):
                targets += len(group.record.targets)
                self._check_group(name, group)
            else:
                self._abandon_change(name)
        self._runner.probe_round_interval = max(
            PROBE_ROUND_INTERVAL, targets / MAX_PROBES_PER_SECOND
        )
        self._reactor.call_later(TICK_INTERVAL, self._tick)

    def _check_group(self, name: str, group: Group) -> None:
        now = self._reactor.now()
        state = self._state_of(name)
        if now - state.last_round_at >= self._runner.probe_round_interval:
            self._probe_targets(group, state)
        if now >= max(state.next_evaluation_at, state.retry_at):
            self._evaluate(name, group, state, now)

    def _rank(self, bucket: int) -> int | None:
        """Return this VM's rank among a bucket's candidates, if any.

        A VM that leaves keeps its lease until its changes have ended: an
        unfinished change would leave the group without a primary for longer.
        """
        if self._board.draining and not self._is_changing(bucket):
            return None
        candidates = self._placement.candidates(bucket)
        for rank, vm in enumerate(candidates):
            if vm.name == self._board.local_vm.name:
                return rank
        return None

    def _is_changing(self, bucket: int) -> bool:
        return any(
            state.change is not None and self._bucket_of(name) == bucket
            for name, state in self._group_states.items()
        )

    def _abandon_change(self, name: str) -> None:
        state = self._group_states.get(name)
        if state is not None:
            self._runner.abandon(name, state)

    def _probe_targets(self, group: Group, state: StewardGroupState) -> None:
        """Probe all targets of a group, and order outdated ones to rejoin."""
        state.last_round_at = self._reactor.now()
        for target in group.record.targets:
            known, _ = state.probes.get(target.name, (None, 0.0))
            order = Order(
                kind=OrderKind.PROBE, target=target, known_probe=known
            )
            on_answer = partial(
                self._on_probe, group, state, target, group.record.version
            )
            send_order(self._reactor, order, on_answer)

    def _on_probe(
        self,
        group: Group,
        state: StewardGroupState,
        target: Target,
        version: int,
        done: bool,
        probe: ProbeResult | None,
    ) -> None:
        now = self._reactor.now()
        record = group.record
        if record.version != version or state.change is not None:
            # The probe was sent before the change. Its answer may show the
            # old term, by which the new primary would seem to have lost its
            # role.
            return
        state.next_evaluation_at = now
        if probe is None:
            state.probes.pop(target.name, None)
            return
        state.probes[target.name] = (probe, now)
        if probe.term > record.term:
            self.fire(group_doubted(record.name))
        elif self.is_leader(record.name):
            for order in orders_to_rejoin(record, {target.name: probe}):
                self._send_rejoin_order(record, order, probe)

    def _send_rejoin_order(
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

    # Decisions.

    def _evaluate(
        self, name: str, group: Group, state: StewardGroupState, now: float
    ) -> None:
        if state.change is not None or now < state.retry_at:
            return
        state.next_evaluation_at = now + EVALUATION_INTERVAL
        plan = choose_plan(self._policy_input(name, group, state, now))
        if plan is not None:
            self._runner.begin(name, group, state, plan)

    def _policy_input(
        self, name: str, group: Group, state: StewardGroupState, now: float
    ) -> PolicyInput:
        record = group.record
        state.suspicions.drop_earlier_terms(record.term)
        zones = [vm.availability_zone for vm in self._placement.holders(name)]
        zones.append(self._board.local_vm.availability_zone)
        primary_failed = state.suspicions.has_failed(
            record.primary, record.term, now, zones
        )
        if not primary_failed:
            state.failed_since = None
        elif state.failed_since is None:
            state.failed_since = now
        failed_since = (
            now if state.failed_since is None else state.failed_since
        )
        return PolicyInput(
            record=record,
            row=self._board.row(name, shard_of(name)),
            probes={
                target: probe
                for target, (probe, probed_at) in state.probes.items()
                if now - probed_at
                <= PROBE_MAX_AGE_ROUNDS * self._runner.probe_round_interval
            },
            primary_failed=primary_failed,
            ignore_primary_answer=now - failed_since >= IGNORE_PRIMARY_AFTER,
            ordered_target=(
                state.ordered_target if now < state.order_expires_at else ""
            ),
        )

    # Helpers.

    def _state_of(self, group: str) -> StewardGroupState:
        return self._group_states.setdefault(group, StewardGroupState())

    def _bucket_of(self, group: str) -> int:
        found = self._buckets.get(group)
        if found is None:
            found = self._buckets[group] = bucket_of(group)
        return found
