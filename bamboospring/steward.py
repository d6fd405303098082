"""The steward: leads the changes of primary of the buckets it has leased.

It learns of trouble from the holders' suspicions and from its own slow round
over the targets, lets the controllers decide, and carries out what they say.
Before each order it looks whether its lease still holds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
import random
import secrets
from typing import Any

from circuits import BaseComponent
from circuits import handler

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Group
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Target
from bamboospring.events import group_doubted
from bamboospring.lease import LeaseTiming
from bamboospring.lease_client import Leases
from bamboospring import logs
from bamboospring.peers import envelope
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.platform_client import Conflict
from bamboospring.platform_client import Found
from bamboospring.platform_client import Missing
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_client import Rejected
from bamboospring.platform_client import Stored
from bamboospring.platform_client import Unavailable
from bamboospring.primary_policy import choose_plan
from bamboospring.primary_policy import GroupView
from bamboospring.primary_policy import orders_to_rejoin
from bamboospring.promotion import Action
from bamboospring.promotion import Change
from bamboospring.promotion import GroupObject
from bamboospring.promotion import Order
from bamboospring.promotion import OrderKind
from bamboospring.promotion import Phase
from bamboospring.promotion import Plan
from bamboospring.promotion import ReadGroup
from bamboospring.promotion import UpdateGroup
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import bucket_of
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import shard_of
from bamboospring.suspicion import Report
from bamboospring.suspicion import Suspicions
from bamboospring.suspicion import Verdict
from bamboospring.target_api import Probe
from bamboospring.target_orders import send_order

__all__ = ["Steward"]

TICK = 0.1
# Without news a group is judged this often, for what time alone changes.
JUDGE_INTERVAL = 0.5
CHANGE_TICK = 0.02
# Each target of a led group is asked this often for its role and position, or
# less often if that made more probes a second: a steward of 33 groups would
# else spend more bytes on its rounds than a VM has for control altogether.
# What is urgent comes by the holders' hints.
ROUND = 2.0
PROBES_PER_SECOND = 10.0
# An answer counts for this many rounds.
PROBE_LIFE = 2.5
# A suspected primary is asked by the steward itself at most this often.
CHECK_INTERVAL = 0.3
# After so long the word of several zones counts more than our own hearing.
INSIST_AFTER = 1.0
FIRST_RETRY = 0.1
MAX_RETRY = 2.0
ORDER_LIFE = 10.0
# Connections over which a steward's changes reach the platform: enough that
# the groups of a lost zone do not wait for each other at a slow platform.
LANES = 8


@dataclass(slots=True, kw_only=True)
class _Care:
    """What a steward, or one that may become it, knows of a group."""

    suspicions: Suspicions = field(default_factory=Suspicions)
    probes: dict[str, tuple[Probe, float]] = field(default_factory=dict)
    change: Change | None = None
    failures: int = 0
    retry_at: float = -1e9
    round_at: float = -1e9
    judge_at: float = -1e9
    check_at: float = -1e9
    condemned_at: float | None = None
    ordered: str = ""
    ordered_until: float = -1e9


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
        self._platform = platform
        self._publish = publish
        self._chance = chance
        self._care: dict[str, _Care] = {}
        self._buckets: dict[str, int] = {}
        self._nonce = f"{board.me.name}/{secrets.token_hex(6)}"
        self._changes = 0
        self._round = ROUND
        self.leases = Leases(
            reactor=reactor, board=board, platform=platform, timing=timing
        )
        peers.handle("suspicion", self._on_suspicion)
        peers.handle("handOver", self._on_hand_over)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._tick()

    def leads(self, group: str) -> bool:
        """Tell whether this VM may act for a group at this instant."""
        return self.leases.holds(self._bucket(group))

    # Suspicions: from this VM's watcher to those who may lead.

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
        candidates = self._placement.candidates(self._bucket(group))
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
        if group is None or not self.leads(body.group):
            return
        if report.suspected:
            self._check_primary(group, care, now)
        self._judge(body.group, group, care, now)

    def _check_primary(self, group: Group, care: _Care, now: float) -> None:
        """Ask a suspected primary ourselves: the steward is a witness too.

        With two of three holders lost together with the primary's zone, the
        third one's word would else stand alone.
        """
        record = group.record
        target = _find(record, record.primary)
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

    @handler("table_changed")
    def _on_table_changed(self, shard: int) -> None:
        """Look now at the groups whose rows may have changed."""
        for name, group in self._board.groups.items():
            if shard_of(name) == shard and self.leads(name):
                self._ask_round(group, self._care_of(name))

    # Hand-overs: operators' orders, and holders' hints that one is due.

    def hint(self, group: str, term: int) -> None:
        """Tell the candidates that a group's targets need a look."""
        message = envelope()
        body = message.init("handOver")
        body.group = group
        body.term = term
        for vm in self._placement.candidates(self._bucket(group)):
            if vm.name == self._board.me.name:
                self._take_hint(group, term)
            else:
                self._peers.send(vm.address, message)

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
        self._round = max(ROUND, targets / PROBES_PER_SECOND)
        self._reactor.call_later(TICK, self._tick)

    def _look(self, name: str, group: Group) -> None:
        now = self._reactor.now()
        care = self._care_of(name)
        if now - care.round_at >= self._round:
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
            if vm.name == self._board.me.name:
                return place
        return None

    def _is_changing(self, bucket: int) -> bool:
        return any(
            care.change is not None and self._bucket(name) == bucket
            for name, care in self._care.items()
        )

    def _drop_change(self, name: str) -> None:
        care = self._care.get(name)
        if care is None or care.change is None:
            return
        logs.log_event(
            "primary_change_dropped",
            level=logs.Level.WARNING,
            group=name,
            term=care.change.term,
            phase=care.change.phase.value,
            reason="lease_lost",
        )
        care.change = None

    def _ask_round(self, group: Group, care: _Care) -> None:
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
        care: _Care,
        target: Target,
        version: int,
        done: bool,
        probe: Probe | None,
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

    def _rejoin(self, record: GroupRecord, order: Order, probe: Probe) -> None:
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

    def _judge(self, name: str, group: Group, care: _Care, now: float) -> None:
        if care.change is not None or now < care.retry_at:
            return
        care.judge_at = now + JUDGE_INTERVAL
        plan = choose_plan(self._view(name, group, care, now))
        if plan is not None:
            self._begin(name, group, care, plan)

    def _view(
        self, name: str, group: Group, care: _Care, now: float
    ) -> GroupView:
        record = group.record
        care.suspicions.forget_before(record.term)
        zones = [vm.availability_zone for vm in self._placement.holders(name)]
        zones.append(self._board.me.availability_zone)
        condemned = care.suspicions.condemned(
            record.primary, record.term, now, zones
        )
        if not condemned:
            care.condemned_at = None
        elif care.condemned_at is None:
            care.condemned_at = now
        since = now if care.condemned_at is None else care.condemned_at
        return GroupView(
            record=record,
            row=self._board.row(name, shard_of(name)),
            probes={
                target: probe
                for target, (probe, at) in care.probes.items()
                if now - at <= PROBE_LIFE * self._round
            },
            condemned=condemned,
            insist=now - since >= INSIST_AFTER,
            ordered=care.ordered if now < care.ordered_until else "",
        )

    def _begin(self, name: str, group: Group, care: _Care, plan: Plan) -> None:
        now = self._reactor.now()
        self._changes += 1
        change = Change(
            group=name,
            targets=group.record.targets,
            plan=plan,
            nonce=f"{self._nonce}/{self._changes}",
        )
        care.change = change
        logs.log_event(
            "primary_change_begins",
            group=name,
            cause=plan.cause.value,
            old=plan.primary,
            old_term=plan.term,
            witnesses=self._witnesses(care, plan, now),
        )
        self._apply(name, care, change.begin(now))
        self._tick_change(name, care, change)

    def _witnesses(self, care: _Care, plan: Plan, now: float) -> str:
        found = care.suspicions.witnesses(plan.primary, plan.term, now)
        return ",".join(sorted(report.vm for report in found))

    def _tick_change(self, name: str, care: _Care, change: Change) -> None:
        if care.change is not change:
            return
        self._apply(name, care, change.tick(self._reactor.now()))
        again = partial(self._tick_change, name, care, change)
        self._reactor.call_later(CHANGE_TICK, again)

    # Carrying out.

    def _apply(self, name: str, care: _Care, actions: list[Action]) -> None:
        change = care.change
        if change is None:
            return
        if not self.leads(name):
            self._drop_change(name)
            return
        for action in actions:
            match action:
                case Order():
                    self._order(name, care, change, action)
                case ReadGroup():
                    self._read(name, care, change)
                case UpdateGroup():
                    self._update(name, care, change, action)
        if change.over and care.change is change:
            self._finish(name, care, change)

    def _order(
        self, name: str, care: _Care, change: Change, order: Order
    ) -> None:
        def answered(done: bool, probe: Probe | None) -> None:
            if care.change is not change:
                return
            now = self._reactor.now()
            if probe is None:
                self._apply(name, care, change.lost(order, now))
            else:
                found = change.answered(order, done, probe, now)
                self._apply(name, care, found)

        send_order(self._reactor, order, answered)

    def _read(self, name: str, care: _Care, change: Change) -> None:
        def on_result(result: Found | Missing | Unavailable) -> None:
            if care.change is not change:
                return
            found = None
            if isinstance(result, Found):
                found = GroupObject(
                    name=name, version=result.version, value=result.value
                )
            now = self._reactor.now()
            self._apply(name, care, change.read(found, now))

        self._platform.get("group", name, self._lane(name), on_result)

    def _update(
        self, name: str, care: _Care, change: Change, update: UpdateGroup
    ) -> None:
        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            if care.change is not change:
                return
            now = self._reactor.now()
            match result:
                case Stored():
                    actions = change.updated(result.version, now)
                case Conflict() if result.value is not None:
                    found = GroupObject(
                        name=name, version=result.version, value=result.value
                    )
                    actions = change.conflicted(found, now)
                case _:
                    actions = change.unanswered(now)
            self._apply(name, care, actions)

        self._platform.put(
            "group",
            name,
            update.if_version,
            update.value,
            self._lane(name),
            on_result,
        )

    def _lane(self, name: str) -> str:
        return f"group/change-{shard_of(name) % LANES}"

    def _finish(self, name: str, care: _Care, change: Change) -> None:
        care.change = None
        care.probes.clear()
        now = self._reactor.now()
        if change.latest is not None:
            self._publish(change.latest)
        if change.phase is Phase.DONE:
            care.failures = 0
            care.ordered = ""
            care.condemned_at = None
            care.round_at = now - self._round + 2 * TICK
        else:
            wait = min(MAX_RETRY, FIRST_RETRY * 2.0 ** min(care.failures, 8))
            care.failures += 1
            care.retry_at = now + wait * (0.5 + self._chance() / 2)
        self._log_end(name, change, now)

    def _log_end(self, name: str, change: Change, now: float) -> None:
        done = change.phase is Phase.DONE
        logs.log_event(
            "primary_changed" if done else "primary_change_ended",
            level=logs.Level.INFO if done else logs.Level.WARNING,
            group=name,
            cause=change.plan.cause.value,
            term=change.term,
            primary=change.primary,
            reason=change.reason,
            **_durations(change),
        )

    # Helpers.

    def _care_of(self, group: str) -> _Care:
        return self._care.setdefault(group, _Care())

    def _bucket(self, group: str) -> int:
        found = self._buckets.get(group)
        if found is None:
            found = self._buckets[group] = bucket_of(group)
        return found


def _find(record: GroupRecord, name: str) -> Target | None:
    return next((t for t in record.targets if t.name == name), None)


def _durations(change: Change) -> dict[str, float]:
    """Return the milliseconds that each step took."""
    marks = change.marks
    return {
        f"{phase.value}_ms": round((marks[place + 1][1] - at) * 1000, 1)
        for place, (phase, at) in enumerate(marks[:-1])
    }
