"""Keep the list of targets, and this VM's connection limits for them."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses

from bamboospring import logs
from bamboospring.object_store import Changes
from bamboospring.object_store import Found
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.pools import Pools
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.sessions.held_transaction_rules import holder_connections
from bamboospring.sessions.model import ListedTarget
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.ports import SessionLink
from bamboospring.sessions.zone_holders import MIN_CONNECTIONS
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.shares import TargetCapacity

__all__ = ["TargetKeeper", "idle_timeout"]

# Seconds between two reads of the list. A leaving target may get work for 7 s
# and is no longer chosen after the part LEAVING_FRACTION of them.
LIST_INTERVAL = 1.5
LIST_TIMEOUT = 1.0
# A leaving primary is used for this fraction of the allowed time: when its
# entry is read, the change to leaving may be up to two intervals old.
LEAVING_FRACTION = 0.55
# Seconds for which a target is kept although its entry is missing. After an
# outage of the platform entries of live targets are back within two seconds.
REMOVE_AFTER = 2.2
# A VM may use this multiple of its fair share of a target's connections. They
# are opened on demand and closed when idle, and the target itself refuses
# connections beyond its limit.
MAX_SHARE_FACTOR = 2.0
# Idle timeout in seconds per connection of a VM's fair share, with its bounds.
# If there are more VMs than connections, other VMs wait for the idle ones.
IDLE_SECONDS_PER_CONNECTION = 0.4
MIN_IDLE_TIMEOUT = 0.25
MAX_IDLE_TIMEOUT = 1.5
# This fraction of a VM's fair share, at least one connection, may stay idle
# for the full timeout. A target still counts the connections of VMs that have
# lost power for seconds; if idle connections took all other places, VMs that
# come back would find none.
KEPT_IDLE_FRACTION = 0.5
# The holder of a zone's reads may use this fraction of a target's connections.
# Each connection belongs to one team, and an idle one saves that team's next
# read from opening another. Holders use fewer if the target has none left.
HOLDER_CONNECTION_FRACTION = 0.3
HOLDER_IDLE_TIMEOUT = 6.0


def idle_timeout(fair_share: float) -> float:
    """Return the idle timeout for a VM's fair share of connections."""
    return min(
        MAX_IDLE_TIMEOUT,
        max(MIN_IDLE_TIMEOUT, IDLE_SECONDS_PER_CONNECTION * fair_share),
    )


class TargetKeeper:
    """Reads the list of targets periodically.

    `decode_target` returns None for an entry that names no usable target.
    `leaving_timeout` is the time after which a leaving target gets no work.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        pools: Pools[SessionLink],
        kind: str,
        decode_target: Callable[[Found], ListedTarget | None],
        leaving_timeout: float,
        zone_holders: ZoneHolders,
    ) -> None:
        self._zone_holders = zone_holders
        self._leaving_usable_time = leaving_timeout * LEAVING_FRACTION
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._pools = pools
        self._kind = kind
        self._decode_target = decode_target
        self._missing: dict[str, float] = {}
        self._asked_at = 0.0
        self._relayed_until = -1e9
        self._is_reading = False
        self._timer: Timer | None = None
        self.listed: list[ListedTarget] = []
        # Called after a list was applied.
        self.on_listed: Callable[[], None] | None = None

    def start(self) -> None:
        """Start to read the list periodically."""
        self._read_list()

    def apply_connection_limits(self) -> None:
        """Apply the connection limits of the current catalog."""
        for group in self._board.groups.values():
            for listed in group.targets.values():
                self._apply_connection_limit(listed)

    def missing_since(self, name: str) -> float | None:
        """Return since when a target's entry is missing, or None."""
        return self._missing.get(name)

    def apply_relayed(
        self,
        listed: list[ListedTarget] | None,
        version: int,
        asked_at: float,
        until: float,
    ) -> None:
        """Apply the list that the leader has read at a version of the store.

        `listed` is None if it is the same as here. Periodic reads of the list
        pause until `until`. A list that is older than the one here, or whose
        version is unknown, is ignored.
        """
        if not version:
            return
        self._relayed_until = until
        if version < self._board.targets_version:
            return
        if listed is not None:
            self.listed = listed
        self._apply_list(self.listed, version, asked_at)

    def read_directly(self) -> None:
        """Resume reading the list when no VM passes it on."""
        self._relayed_until = -1e9
        if not self._is_reading:
            self._read_list()

    def _schedule_read(self, delay: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._reactor.call_later(delay, self._read_list)

    def _read_list(self) -> None:
        if self._is_reading:
            return
        if self._reactor.now() < self._relayed_until:
            self._schedule_read(LIST_INTERVAL)
            return
        self._is_reading = True
        self._asked_at = self._reactor.now()
        self._platform.list(
            self._kind, "targets", self._on_list, timeout=LIST_TIMEOUT
        )

    def _on_list(self, result: Changes | Unavailable) -> None:
        self._is_reading = False
        # Scheduled first: an exception must not stop all later rounds.
        self._schedule_read(LIST_INTERVAL)
        match result:
            case Changes(objects=objects, revision=version):
                if version < self._board.targets_version:
                    # A newer list was relayed in the meantime.
                    return
                targets = [self._decode_target(found) for found in objects]
                self.listed = [
                    self._keep_leaving(entry)
                    for entry in targets
                    if entry is not None
                ]
                self._apply_list(self.listed, version, self._asked_at)
            case Unavailable(retry_after=retry_after):
                self._schedule_read(min(LIST_INTERVAL, max(retry_after, 0.1)))

    def _keep_leaving(self, listed: ListedTarget) -> ListedTarget:
        """Keep a target marked as leaving if the store may have lost that."""
        if listed.leaving or not self._platform.may_be_incomplete(
            self._asked_at
        ):
            return listed
        known = self._board.group(listed.group).targets.get(listed.target.name)
        leaving = (
            known is not None
            and known.leaving
            and known.target == listed.target
        )
        return dataclasses.replace(listed, leaving=leaving)

    def _apply_list(
        self, targets: list[ListedTarget], version: int, asked_at: float
    ) -> None:
        self._board.targets_version = version
        self._board.targets_seen_at = max(
            self._board.targets_seen_at, asked_at
        )
        now = self._reactor.now()
        by_name = {entry.target.name: entry for entry in targets}
        for entry in by_name.values():
            self._apply_target(entry, now)
        self.apply_connection_limits()
        for group in self._board.groups.values():
            for name in list(group.targets):
                if name not in by_name:
                    self._handle_missing(group, name, now)
        if self.on_listed is not None:
            self.on_listed()

    def _apply_target(self, listed: ListedTarget, now: float) -> None:
        name = listed.target.name
        self._missing.pop(name, None)
        group = self._board.group(listed.group)
        known = group.targets.get(name)
        if listed.leaving:
            usable_until = now + self._leaving_usable_time
            if known is not None and known.leaving:
                usable_until = known.usable_until
            listed = dataclasses.replace(listed, usable_until=usable_until)
        if known == listed:
            return
        if known is not None and listed == dataclasses.replace(
            known, created=listed.created
        ):
            group.targets[name] = listed
            return
        if known is not None and known.target != listed.target:
            # The target restarted or moved: earlier observations are invalid.
            self._remove_target(group, known)
            known = None
        group.targets[name] = listed
        self._apply_connection_limit(listed)
        logs.log_event(
            "target",
            group=listed.group,
            target=name,
            address=listed.target.address,
            born=listed.target.born,
            zone=listed.target.availability_zone,
            leaving=listed.leaving,
            leads=listed.is_primary,
            known=known is not None,
        )

    def _handle_missing(
        self, group: SessionGroup, name: str, now: float
    ) -> None:
        missing_since = self._missing.setdefault(name, now)
        if now - missing_since < REMOVE_AFTER:
            return
        listed = group.targets[name]
        self._remove_target(group, listed)
        logs.log_event(
            "target_gone",
            group=group.name,
            target=name,
            missing_ms=round((now - missing_since) * 1000),
        )

    def _remove_target(
        self, group: SessionGroup, listed: ListedTarget
    ) -> None:
        group.targets.pop(listed.target.name, None)
        group.observed_targets.pop(listed.target.name, None)
        self._pools.pool(listed.target).set_share(TargetCapacity())

    def _apply_connection_limit(self, listed: ListedTarget) -> None:
        catalog = self._board.catalog
        limits = catalog.groups.get(listed.group) if catalog else None
        if limits is None:
            return
        fair_share = limits.max_connections / self._board.vm_count
        max_connections = max(
            MIN_CONNECTIONS, int(fair_share * MAX_SHARE_FACTOR)
        )
        connections = max_connections
        idle_limit, max_kept_idle = idle_timeout(fair_share), max(
            1, int(fair_share * KEPT_IDLE_FRACTION)
        )
        is_holder = self._zone_holders.holds(
            listed.target.name, self._reactor.now()
        )
        share = None
        if self._board.load_control:
            share = self._holder_share(listed, limits.max_connections)
            if share is not None and is_holder:
                idle_limit = HOLDER_IDLE_TIMEOUT
                max_kept_idle = share.connections
        elif is_holder:
            # All reads of the zone come here. They may fill all slots of the
            # target, and connections are kept for the next reads of each team.
            max_connections = max(max_connections, listed.target.slots)
            connections = max(
                max_connections,
                int(limits.max_connections * HOLDER_CONNECTION_FRACTION),
            )
            idle_limit, max_kept_idle = HOLDER_IDLE_TIMEOUT, connections
        if share is None:
            share = TargetCapacity(
                slots=max_connections, connections=connections
            )
        pool = self._pools.pool(listed.target)
        if pool.share != share:
            pool.set_share(share)
        pool.set_idle_limits(idle_limit, max_kept=max_kept_idle)

    def _holder_share(
        self, listed: ListedTarget, max_connections: int
    ) -> TargetCapacity | None:
        """Return what this VM may use as a holder; None if it is none.

        A spare holder has the same share, so that it can replace the first
        one at once. It opens connections only when it does.
        """
        if not self._zone_holders.may_hold(
            listed.target.name,
            max_connections=max_connections,
            vm_count=self._board.vm_count,
            now=self._reactor.now(),
        ):
            return None
        held = holder_connections(
            max_connections=max_connections,
            target_slots=listed.target.slots,
            zone_vms=len(self._zone_holders.members),
            all_vms=self._board.vm_count,
            minimum=MIN_CONNECTIONS,
        )
        return TargetCapacity(slots=held.slots, connections=held.connections)
