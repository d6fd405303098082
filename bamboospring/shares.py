"""Split a target's limits exactly among the holders of its group.

Every holder of a group opens connections to the same targets, so each may use
only a share of a target's `slots` and `connections`. All holders compute the
same split from the same ordered list of holders. VMs see a change of that
list at different times; `GroupShares` ensures that the sum of what all VMs
use never exceeds the limit during the change.

A share shrinks immediately. It grows only after every VM that may still use
part of the limit has agreed to the same list of holders, in reply to a
request sent after this VM's last change of holders. Such a reply is also a
promise: its sender stays within the split of that list until its own list
changes, and after that change it needs this VM's agreement before it can
grow. What a VM still uses above its new share is subtracted from the growth
of the others until the VM has released it.

A VM that has all promises delays its growth briefly for the holders that
still need its own promise. Otherwise a VM that dies right after it has grown
would leave the others waiting for that promise until the platform removes the
VM from its list.

This module does no I/O and does not read the clock.

Example: three holders of a target with 20 connections.

    >>> [split(20, 3, rank, 0) for rank in range(3)]
    [7, 7, 6]
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

__all__ = [
    "ShareRequest",
    "GroupShares",
    "VmListMonitor",
    "ShareReply",
    "ShareTiming",
    "TargetLimit",
    "TargetCapacity",
    "ranks_with_share",
    "split",
]

NEVER = -1e9
# The platform numbers the revisions of its VM list from 1. No VM can have been
# removed before the first one.
FIRST_REVISION = 1
PROBE_FRACTION = 0.3
# Seconds for which a VM that has all promises delays its growth until the
# others have its own promise. The delay is not needed to stay within the
# limit, so it can be short.
PROMISE_HEAD_START = 1.0
# Seconds for which a request that was sent counts as still in flight.
REQUEST_IN_FLIGHT_TIME = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetCapacity:
    """A number of slots and of connections at one target."""

    slots: int = 0
    connections: int = 0

    def minimum(self, other: TargetCapacity) -> TargetCapacity:
        """Return the elementwise minimum."""
        return TargetCapacity(
            slots=min(self.slots, other.slots),
            connections=min(self.connections, other.connections),
        )

    def maximum(self, other: TargetCapacity) -> TargetCapacity:
        """Return the elementwise maximum."""
        return TargetCapacity(
            slots=max(self.slots, other.slots),
            connections=max(self.connections, other.connections),
        )

    def minus(self, other: TargetCapacity) -> TargetCapacity:
        """Return the difference, never below zero."""
        return TargetCapacity(
            slots=max(0, self.slots - other.slots),
            connections=max(0, self.connections - other.connections),
        )

    def plus(self, other: TargetCapacity) -> TargetCapacity:
        """Return the sum."""
        return TargetCapacity(
            slots=self.slots + other.slots,
            connections=self.connections + other.connections,
        )


NO_CAPACITY = TargetCapacity()


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetLimit:
    """The limit of one target for all holders together."""

    target: str
    capacity: TargetCapacity


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareTiming:
    """Durations of the protocol, in seconds.

    For `grace_period` a VM that was removed from the platform's list still
    counts as running. For `isolation_timeout` a VM keeps its share without a
    message from the platform or another VM. The lag of the platform's list,
    `isolation_timeout` and the time between ticks together must be shorter
    than `grace_period`, so that an isolated VM has stopped before the others
    take its share. `single_vm` states that there are never other VMs.
    """

    grace_period: float = 10.0
    isolation_timeout: float = 5.0
    retry_interval: float = 0.25
    single_vm: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareRequest:
    """Ask `vm` whether it agrees to `holders` and what it still uses."""

    vm: str
    holders: tuple[str, ...]
    revision: int
    attempt: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ShareReply:
    """The reply to a `ShareRequest`.

    `agrees` is the promise described at the head of this module. With
    `informed` the sender knows of every VM that was removed from the list
    before `revision` and may still use a share. With `growing` it still waits
    for promises. `held` is what the sender may use or still uses, by target.
    """

    vm: str
    agrees: bool
    informed: bool = False
    growing: bool = False
    revision: int = 0
    held: dict[str, TargetCapacity] = field(default_factory=dict)


def split(limit: int, holders: int, rank: int, rotation: int) -> int:
    """Return the share of `limit` that the holder at `rank` may use.

    The shares of all ranks sum to `limit`. `rotation` is the position of the
    target in its group; it assigns the remainder to different ranks, so that
    with 2 slots and 3 holders every holder has a slot at some target. A
    larger limit never gives any rank less. Holders that see different limits
    during a change therefore never exceed the larger one together.
    """
    if holders <= 0 or not 0 <= rank < holders:
        return 0
    base, remainder = divmod(max(0, limit), holders)
    position = (rank - rotation) % holders
    return base + (1 if position < remainder else 0)


def ranks_with_share(limit: int, holders: int, rotation: int) -> list[int]:
    """Return the ranks of the holders with a nonzero share of `limit`."""
    return [
        rank
        for rank in range(holders)
        if split(limit, holders, rank, rotation) > 0
    ]


@dataclass(slots=True, kw_only=True)
class VmListMonitor:
    """This VM's view of the platform's VM list, and its contact with others.

    Each VM has one, shared by the `GroupShares` of all groups. While
    `is_isolated` is set, nothing may be used, and even connections in use
    are closed.
    """

    local_vm_name: str
    timing: ShareTiming = field(default_factory=ShareTiming)
    revision: int = -1
    listed: frozenset[str] = frozenset()
    is_isolated: bool = False
    _removed_at: dict[str, float] = field(default_factory=dict)
    _is_informed: bool = False
    _watching_since: float = NEVER
    _last_contact_at: float = NEVER
    _last_tick_at: float = NEVER

    def update(
        self, *, now: float, revision: int, listed: frozenset[str]
    ) -> None:
        """Apply a list of VMs that is not older than the last one."""
        if self._watching_since == NEVER:
            self._watching_since = now
            self._is_informed = revision == FIRST_REVISION
        for vm in self.listed - listed:
            self._removed_at.setdefault(vm, now)
        for vm in listed:
            self._removed_at.pop(vm, None)
        self.listed = listed
        self.revision = revision
        self.record_contact(now=now, revision=revision)

    def record_contact(self, *, now: float, revision: int) -> None:
        """Record a message from the platform or another VM.

        A sender with a newer list doesn't count: this VM may be missing on
        that list. The others' grace period would then pass while this VM
        keeps its share.
        """
        if revision <= self.revision:
            self._last_contact_at = max(self._last_contact_at, now)

    def tick(self, *, now: float) -> None:
        """Detect a pause of this process or isolation; call at intervals."""
        self.is_isolated = self._was_paused(now) or self._is_cut_off(now)
        if self.is_isolated:
            self._is_informed = False
            self._watching_since = now

    def recently_removed(self, now: float) -> set[str]:
        """Return the VMs that were removed from the list but may still run."""
        limit = self.timing.grace_period
        self._removed_at = {
            vm: since
            for vm, since in self._removed_at.items()
            if now - since < limit
        }
        return set(self._removed_at)

    def record_peer_informed(self, reply: ShareReply) -> None:
        """Record the reply of a VM that has watched the list for longer."""
        if reply.informed and reply.revision >= self.revision:
            self._is_informed = True

    def is_informed(self, now: float) -> bool:
        """Return whether this VM knows all VMs that may still run."""
        # A new process has not seen which VMs were removed from the list
        # shortly before it started. Without this check it would take the
        # share of a removed VM that still runs. The agreement of one VM that
        # has watched the list for the grace period is enough, because no VM
        # agrees while it knows a removed VM that may still run.
        watched = now - self._watching_since
        if (
            self._watching_since != NEVER
            and watched >= self.timing.grace_period
        ):
            self._is_informed = True
        return self._is_informed

    def should_probe(self, now: float) -> bool:
        """Return whether to contact others to show that this VM runs."""
        return (
            now - self._last_contact_at
            > self.timing.isolation_timeout * PROBE_FRACTION
        )

    def _was_paused(self, now: float) -> bool:
        # If a process was suspended for longer than the others wait for it,
        # another VM may already use its share when it resumes. The target
        # would then refuse connections. It is enough to start over as after a
        # restart, because growth then needs all promises again.
        since_last_tick = now - self._last_tick_at
        has_ticked = self._last_tick_at != NEVER
        self._last_tick_at = now
        return has_ticked and since_last_tick > self.timing.isolation_timeout

    def _is_cut_off(self, now: float) -> bool:
        # An isolated VM can't see that it was removed from the list. It stops
        # before `grace_period` has passed for the others. An outage of only
        # the platform has no effect, because messages of other VMs arrive.
        # A VM that is alone on its list has no contact in such an outage. It
        # stops as well, because it may have been replaced by a VM that takes
        # the whole limit. A deployment with only one VM sets `single_vm`.
        if self._last_contact_at == NEVER or self.timing.single_vm:
            return False
        return now - self._last_contact_at > self.timing.isolation_timeout


@dataclass(slots=True, kw_only=True)
class GroupShares:
    """The share of this VM of each target of one group.

    The adapter calls `update`, `answer`, `on_reply` and `tick`, sends the
    returned `ShareRequest`s and reads `allowed`. It reports usage with
    `record_usage`, so that connections count until they are closed.
    """

    vm_list_monitor: VmListMonitor
    holders: tuple[str, ...] = ()
    limits: tuple[TargetLimit, ...] = ()
    attempt: int = 0
    _allowed: dict[str, TargetCapacity] = field(default_factory=dict)
    _used: dict[str, TargetCapacity] = field(default_factory=dict)
    _peers: frozenset[str] = frozenset()
    _replies: dict[str, ShareReply] = field(default_factory=dict)
    _promised_to: set[str] = field(default_factory=set)
    _all_replied_at: float = NEVER
    _requested_at: float = NEVER

    def allowed(self, target: str) -> TargetCapacity:
        """Return what this VM may use of a target."""
        return self._allowed.get(target, NO_CAPACITY)

    def record_usage(self, target: str, capacity: TargetCapacity) -> None:
        """Record the running statements and open connections at a target."""
        self._used[target] = capacity

    def held(self, target: str) -> TargetCapacity:
        """Return what other VMs must count as taken by this VM."""
        used = self._used.get(target, NO_CAPACITY)
        return self.allowed(target).maximum(used)

    @property
    def is_idle(self) -> bool:
        """Return whether this VM is no holder and holds nothing."""
        return self.vm_list_monitor.local_vm_name not in self.holders and all(
            self.held(target) == NO_CAPACITY for target in self._used
        )

    def update(
        self,
        *,
        now: float,
        holders: tuple[str, ...],
        peers: frozenset[str],
        limits: tuple[TargetLimit, ...],
    ) -> None:
        """Apply newer holders or limits.

        `holders` are the group's holders in rank order. `peers` are all VMs
        that may be or may have been a holder of the group, both on the list
        and recently removed from it. Extra peers cost messages; missing ones
        could lead to more usage than a limit allows.
        """
        self._peers = peers - {self.vm_list_monitor.local_vm_name}
        self.limits = limits
        if holders != self.holders:
            self.holders = holders
            self._discard_promises()
        self._shrink()
        self._grow(now)

    def answer(
        self, *, now: float, vm: str, revision: int, holders: tuple[str, ...]
    ) -> ShareReply:
        """Answer the `ShareRequest` of `vm`, whose list has `revision`.

        The reply does not agree while another VM that was recently removed
        from the list may still use a share: the sender may have started too
        recently to know of it.
        """
        self.vm_list_monitor.record_contact(now=now, revision=revision)
        removed = self._peers & self.vm_list_monitor.recently_removed(now)
        targets = {limit.target for limit in self.limits} | set(self._used)
        reply = ShareReply(
            vm=self.vm_list_monitor.local_vm_name,
            agrees=holders == self.holders and not removed - {vm},
            informed=self.vm_list_monitor.is_informed(now),
            growing=self._needs_growth(),
            revision=self.vm_list_monitor.revision,
            held={target: self.held(target) for target in targets},
        )
        if reply.agrees:
            self._promised_to.add(vm)
            self._grow(now)
        return reply

    def follow_up_requests(self, *, now: float, vm: str) -> list[ShareRequest]:
        """Return the requests to send after a request from `vm`, if any.

        The sender is alive and has the newest list. Waiting for the next
        `tick` would leave it more time to fail before it replies.
        """
        if not self._needs_growth() or vm in self._replies:
            return []
        if (
            now - self._requested_at < REQUEST_IN_FLIGHT_TIME
            or vm not in self._potential_users(now)
        ):
            return []
        return self._requests_to_send(now)

    def on_reply(self, *, now: float, attempt: int, reply: ShareReply) -> None:
        """Handle the reply to a `ShareRequest`; ignore outdated replies."""
        self.vm_list_monitor.record_contact(now=now, revision=reply.revision)
        if attempt != self.attempt:
            return
        if reply.agrees:
            self._replies[reply.vm] = reply
            self.vm_list_monitor.record_peer_informed(reply)
        else:
            self._replies.pop(reply.vm, None)
        self._grow(now)

    def tick(self, *, now: float) -> list[ShareRequest]:
        """Return the requests to send; call after `VmListMonitor.tick`."""
        if self.vm_list_monitor.is_isolated:
            self._allowed.clear()
            self._discard_promises()
        self._grow(now)
        if (
            now - self._requested_at
            < self.vm_list_monitor.timing.retry_interval
        ):
            return []
        return self._requests_to_send(now)

    def _requests_to_send(self, now: float) -> list[ShareRequest]:
        vms = self._vms_to_ask(now)
        if vms:
            self._requested_at = now
        return [
            ShareRequest(
                vm=vm,
                holders=self.holders,
                revision=self.vm_list_monitor.revision,
                attempt=self.attempt,
            )
            for vm in sorted(vms)
        ]

    def _vms_to_ask(self, now: float) -> set[str]:
        others = self._potential_users(now)
        if self._needs_growth():
            informed = self.vm_list_monitor.is_informed(now)
            return {
                vm
                for vm in others
                if not informed or not self._has_released_excess(vm)
            }
        # When the platform does not respond, a reply from another holder
        # shows that this VM is not isolated.
        if not self.vm_list_monitor.should_probe(now):
            return set()
        return others & set(self.holders) or others

    def _discard_promises(self) -> None:
        # Replies to requests from before a change are no promise for the time
        # after it, because their senders may have grown since.
        self.attempt += 1
        self._replies.clear()
        self._promised_to.clear()
        self._all_replied_at = NEVER
        self._requested_at = NEVER

    def _potential_users(self, now: float) -> set[str]:
        running = (
            self.vm_list_monitor.listed
            | self.vm_list_monitor.recently_removed(now)
        )
        return set(self._peers & running)

    def _share(self, vm: str, position: int) -> TargetCapacity:
        if vm not in self.holders:
            return NO_CAPACITY
        rank = self.holders.index(vm)
        count = len(self.holders)
        capacity = self.limits[position].capacity
        return TargetCapacity(
            slots=split(capacity.slots, count, rank, position),
            connections=split(capacity.connections, count, rank, position),
        )

    def _excess(self, vm: str, position: int) -> TargetCapacity:
        reply = self._replies.get(vm)
        if reply is None:
            return NO_CAPACITY
        held = reply.held.get(self.limits[position].target, NO_CAPACITY)
        return held.minus(self._share(vm, position))

    def _has_released_excess(self, vm: str) -> bool:
        return vm in self._replies and all(
            self._excess(vm, position) == NO_CAPACITY
            for position in range(len(self.limits))
        )

    def _needs_growth(self) -> bool:
        return any(
            self.allowed(limit.target)
            != self._share(self.vm_list_monitor.local_vm_name, position)
            for position, limit in enumerate(self.limits)
        )

    def _shrink(self) -> None:
        self._allowed = {
            limit.target: self.allowed(limit.target).minimum(
                self._share(self.vm_list_monitor.local_vm_name, position)
            )
            for position, limit in enumerate(self.limits)
        }

    def _grow(self, now: float) -> None:
        if not self._needs_growth() or not self.vm_list_monitor.is_informed(
            now
        ):
            return
        others = self._potential_users(now)
        if not others <= self._replies.keys():
            self._all_replied_at = NEVER
            return
        if self._waits_for_others(others, now):
            return
        for position, limit in enumerate(self.limits):
            free = self._share(self.vm_list_monitor.local_vm_name, position)
            for vm in others:
                free = free.minus(self._excess(vm, position))
            grown = self.allowed(limit.target).maximum(free)
            self._allowed[limit.target] = grown

    def _waits_for_others(self, others: set[str], now: float) -> bool:
        # A holder that grows and dies before it has sent its promise leaves
        # the others without a share until the platform removes it from its
        # list and the grace period ends. Callers are refused with
        # `not_holder` for that long. So holders that need this VM's promise
        # get it before this VM grows. The delay is limited because some of
        # them may be unable to reach this VM.
        if self._all_replied_at == NEVER:
            self._all_replied_at = now
        if now - self._all_replied_at >= PROMISE_HEAD_START:
            return False
        return any(
            self._replies[vm].growing and vm not in self._promised_to
            for vm in others & set(self.holders)
        )
