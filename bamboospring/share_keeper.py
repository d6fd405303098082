"""Keep this holder's shares of its targets' limits up to date.

`bamboospring.shares` makes the decisions. This component feeds it with the
facts of the blackboard and the usage of the pools, exchanges the messages
`shareRequest` and `shareRelease` with other VMs, and sets the pools' shares.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import handler
from xxhash import xxh64_intdigest

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import GroupRecord
from bamboospring.blackboard import Target
from bamboospring.blackboard import Vm
from bamboospring import logs
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.peers import Reply as SendReply
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import choose_possible_holders
from bamboospring.rendezvous import Placement
from bamboospring.rendezvous import shard_of
from bamboospring.shares import GroupShares
from bamboospring.shares import ShareReply
from bamboospring.shares import ShareRequest
from bamboospring.shares import ShareTiming
from bamboospring.shares import TargetCapacity
from bamboospring.shares import TargetLimit
from bamboospring.shares import VmListMonitor

__all__ = ["ShareKeeper", "hash_names", "target_limits", "possible_holders"]

TICK_INTERVAL = 0.25
REQUEST_TIMEOUT = 1.0


def possible_holders(
    group: str, vms: Iterable[Vm], listed: frozenset[str]
) -> frozenset[str]:
    """Return the VMs that may be or recently were a holder of a group."""
    return choose_possible_holders(group, vms, listed)


def target_limits(
    record: GroupRecord, *, max_slots: int, max_connections: int
) -> tuple[TargetLimit, ...]:
    """Return each target's limit, lowered to the row's (0: no limit)."""
    return tuple(
        TargetLimit(
            target=target.name,
            capacity=TargetCapacity(
                slots=_lower_limit(target.slots, max_slots),
                connections=_lower_limit(target.connections, max_connections),
            ),
        )
        for target in record.targets
    )


def hash_names(names: Iterable[str]) -> int:
    """Return a hash of an ordered list of names, as sent in messages."""
    return xxh64_intdigest("\n".join(names).encode())


def _lower_limit(limit: int, row_limit: int) -> int:
    return min(limit, row_limit) if row_limit > 0 else limit


class ShareKeeper(BaseComponent):
    """Set the pools' shares and exchange messages with the other holders."""

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        pools: Pools,
        timing: ShareTiming,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._peers = peers
        self._pools = pools
        self.vm_list_monitor = VmListMonitor(
            local_vm_name=board.local_vm.name, timing=timing
        )
        self._groups: dict[str, GroupShares] = {}
        self._targets: dict[str, tuple[Target, ...]] = {}
        self._known_vms: dict[str, Vm] = {}
        self._ticked_at = -1e9
        peers.add_handler("shareRequest", self._on_request)

    def record_contact(self, revision: int) -> None:
        """Record a message of a VM whose list has this revision."""
        self.vm_list_monitor.record_contact(
            now=self._reactor.now(), revision=revision
        )

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._pools.start()
        self._tick()

    @handler("vms_changed")
    def _on_vms_changed(self) -> None:
        now = self._reactor.now()
        board = self._board
        self._check_isolation(now)
        self._known_vms.update(board.vms)
        self.vm_list_monitor.update(
            now=now,
            revision=board.vms_revision,
            listed=frozenset(board.vms),
        )
        retained = (
            self.vm_list_monitor.listed
            | self.vm_list_monitor.recently_removed(now)
        )
        self._known_vms = {
            name: vm
            for name, vm in self._known_vms.items()
            if name in retained
        }
        self._update_all()

    @handler("placement_changed")
    def _on_placement_changed(self) -> None:
        self._update_all()

    @handler("group_changed")
    def _on_group_changed(self, name: str) -> None:
        self._update(name)

    @handler("table_changed")
    def _on_table_changed(self, shard: int) -> None:
        for name in list(self._board.groups):
            if shard_of(name) == shard:
                self._update(name)

    # Facts.

    def _update_all(self) -> None:
        for name in set(self._board.groups) | set(self._groups):
            self._update(name)

    def _update(self, name: str) -> None:
        group = self._board.groups.get(name)
        holders = tuple(vm.name for vm in self._placement.holders(name))
        if not holders:
            return
        shares = self._groups.get(name)
        if shares is None:
            if group is None or self._board.local_vm.name not in holders:
                return
            shares = self._groups[name] = GroupShares(
                vm_list_monitor=self.vm_list_monitor
            )
        self._record_usage(name, shares)
        limits = shares.limits
        if group is not None:
            self._targets[name] = group.record.targets
            row = self._board.row(name, shard_of(name))
            limits = target_limits(
                group.record,
                max_slots=row.max_slots,
                max_connections=row.max_connections,
            )
        shares.update(
            now=self._reactor.now(),
            holders=holders,
            peers=self._possible_holders(name),
            limits=limits,
        )
        self._apply_shares(name, shares)

    def _possible_holders(self, name: str) -> frozenset[str]:
        vms = self._known_vms.values()
        return possible_holders(name, vms, self.vm_list_monitor.listed)

    def _record_usage(self, name: str, shares: GroupShares) -> None:
        for target in self._targets.get(name, ()):
            shares.record_usage(target.name, self._pools.pool(target).used)

    def _apply_shares(self, name: str, shares: GroupShares) -> None:
        for target in self._targets.get(name, ()):
            pool = self._pools.pool(target)
            allowed = shares.allowed(target.name)
            if pool.share != allowed:
                pool.set_share(allowed)
                logs.log_event(
                    "share",
                    group=name,
                    target=target.name,
                    slots=allowed.slots,
                    connections=allowed.connections,
                )

    # Timers.

    def _tick(self) -> None:
        now = self._reactor.now()
        self._check_isolation(now)
        self.vm_list_monitor.record_contact(
            now=self._board.vms_confirmed_at, revision=self._board.vms_revision
        )
        for name, shares in list(self._groups.items()):
            self._record_usage(name, shares)
            for request in shares.tick(now=now):
                self._send_request(name, shares, request)
            self._apply_shares(name, shares)
            if shares.is_idle:
                del self._groups[name]
                del self._targets[name]
        self._reactor.call_later(TICK_INTERVAL, self._tick)

    def _check_isolation(self, now: float) -> None:
        self.vm_list_monitor.tick(now=now)
        if not self.vm_list_monitor.is_isolated:
            return
        logs.log_event("shares_given_up", level=logs.Level.WARNING)
        for name, shares in self._groups.items():
            shares.tick(now=now)
            self._apply_shares(name, shares)
        for pool in self._pools.all():
            pool.close_all()

    # Messages.

    def _send_request(
        self, name: str, shares: GroupShares, request: ShareRequest
    ) -> None:
        vm = self._known_vms.get(request.vm)
        if vm is None:
            return

        def on_answer(message: Any) -> None:
            if isinstance(message, PeerLost):
                return
            reply = _decode_reply(message.shareRelease)
            self._record_usage(name, shares)
            shares.on_reply(
                now=self._reactor.now(), attempt=request.attempt, reply=reply
            )
            if self._groups.get(name) is shares:
                self._apply_shares(name, shares)

        message = new_envelope()
        out = message.init("shareRequest")
        out.group = name
        out.vm = self._board.local_vm.name
        out.vmsRevision = max(0, request.revision)
        out.holders = hash_names(request.holders)
        self._peers.ask(vm.address, message, REQUEST_TIMEOUT, on_answer)

    def _on_request(self, message: Any, send: SendReply) -> None:
        request = message.shareRequest
        name = request.group
        now = self._reactor.now()
        self._check_isolation(now)
        holders = tuple(vm.name for vm in self._placement.holders(name))
        shares = self._groups.get(name)
        if shares is None:
            # This VM holds nothing of the group. Its reply promises that it
            # asks the other VMs before it uses a share.
            shares = GroupShares(vm_list_monitor=self.vm_list_monitor)
            shares.update(
                now=now,
                holders=holders,
                peers=self._possible_holders(name),
                limits=(),
            )
        else:
            self._record_usage(name, shares)
        agrees = hash_names(holders) == request.holders
        reply = shares.answer(
            now=now,
            vm=request.vm,
            revision=request.vmsRevision,
            holders=shares.holders if agrees else (),
        )
        send(_encode_reply(name, reply))
        if self._groups.get(name) is shares:
            self._apply_shares(name, shares)
            for follow_up in shares.follow_up_requests(now=now, vm=request.vm):
                self._send_request(name, shares, follow_up)


def _encode_reply(name: str, reply: ShareReply) -> Any:
    message = new_envelope()
    out = message.init("shareRelease")
    out.group = name
    out.vm = reply.vm
    out.vmsRevision = max(0, reply.revision)
    out.agrees = reply.agrees
    out.informed = reply.informed
    out.growing = reply.growing
    targets = out.init("targets", len(reply.held))
    for item, (target, capacity) in zip(targets, sorted(reply.held.items())):
        item.target = target
        item.slots = capacity.slots
        item.connections = capacity.connections
    return message


def _decode_reply(release: Any) -> ShareReply:
    return ShareReply(
        vm=release.vm,
        agrees=release.agrees,
        informed=release.informed,
        growing=release.growing,
        revision=release.vmsRevision,
        held={
            item.target: TargetCapacity(
                slots=item.slots, connections=item.connections
            )
            for item in release.targets
        },
    )
