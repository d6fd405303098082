"""Reads the platform for the fleet.

Six VMs, regardless of the fleet size, watch the table and the groups and poll
the list of VMs; all others receive changes from peers. In addition, every VM
checks the platform itself at intervals that grow with the fleet, so that the
platform sees a constant rate. This updates a fleet that has lost all its
watchers at once, and a VM that no peer can reach.
"""

from __future__ import annotations

from collections.abc import Callable
import random

from bamboospring.blackboard import Blackboard
from bamboospring.fact_store import FactStore
from bamboospring import logs
from bamboospring.platform_client import Changes
from bamboospring.platform_client import Found
from bamboospring.platform_client import HistoryLost
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_client import Unavailable
from bamboospring.platform_client import VmsFound
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement
from bamboospring.store_version import version_text

__all__ = ["KindWatch", "PlatformWatch"]

# Rate of checks by the whole fleet, in calls of each kind per second.
MAX_CHECKS_PER_SECOND = 4.0
SHORTEST_CHECK = 10.0
# A changed list of VMs is sent in full, about 120 bytes per VM, so watchers
# poll a larger list less often. The interval in seconds is the number of VMs
# divided by this number: at 480 VMs each of the six polls every 12 s at its
# own times, so there is a poll about every 2 s.
VMS_PER_POLL_SECOND = 40.0
# Minimum delay in seconds before a failed call is repeated.
RETRY_DELAY = 0.1

OnObjects = Callable[[tuple[Found, ...]], None]


class KindWatch:
    """Follow one kind of objects: list it once, then watch for changes.

    There is at most one call in flight. `on_objects` receives objects in the
    order of the platform's answers; a lagging answer may contain old versions
    again.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        platform: PlatformClient,
        kind: str,
        wait_ms: int,
        on_objects: OnObjects,
    ) -> None:
        self.kind = kind
        self.is_listed = False
        self.on_listed: list[Callable[[bool], None]] = []
        self.last_response_at = -1e9
        # When the last answered call was sent: all objects that were stored
        # before have been read.
        self.confirmed_at = -1e9
        self.wait_ms = wait_ms
        self._asked_at = -1e9
        self._reactor = reactor
        self._platform = platform
        self._on_objects = on_objects
        self._revision = 0
        self._watching = False
        self._call_in_flight = False
        # The number of consecutive watches that the store had no history for.
        self._history_losses = 0

    def set_watching(self, watching: bool) -> None:
        """Start watching, or stop after the call in flight."""
        self._watching = watching
        if watching:
            self._continue_watch()

    def skip_to(self, revision: int) -> None:
        """Watch from a later revision, as all objects up to it are known.

        This also applies to a kind that was not listed.
        """
        if revision > self._revision:
            self._revision = revision
            self.is_listed = True

    def check(self) -> None:
        """Read the changes once, unless a call is in flight."""
        if self._call_in_flight:
            return
        self._mark_call_started()
        if not self.is_listed:
            self._platform.list(self.kind, "check", self._answered)
            return
        self._platform.watch(
            self.kind, self._revision, 0, "check", self._answered
        )

    def _continue_watch(self) -> None:
        if self._call_in_flight or not self._watching:
            return
        self._mark_call_started()
        if not self.is_listed:
            self._platform.list(self.kind, self.kind, self._answered)
            return
        self._platform.watch(
            self.kind,
            self._revision,
            self.wait_ms,
            self.kind,
            self._answered,
        )

    def _mark_call_started(self) -> None:
        self._call_in_flight = True
        self._asked_at = self._reactor.now()

    def _answered(self, result: Changes | HistoryLost | Unavailable) -> None:
        self._call_in_flight = False
        match result:
            case Changes():
                self._apply(result)
                self._continue_watch()
            case HistoryLost():
                # A watch will never return the changes made meanwhile, so
                # all objects are listed again.
                logs.log_event(
                    "history_lost",
                    kind=self.kind,
                    asked_from=version_text(self._revision),
                )
                self.is_listed = False
                self._history_losses += 1
                if self._history_losses == 1:
                    self._continue_watch()
                    return
                # The history since the list is gone as well, which may
                # continue for long: wait before the next call.
                self._reactor.call_later(RETRY_DELAY, self._continue_watch)
            case Unavailable():
                self._notify_listed(False)
                wait = max(RETRY_DELAY, result.retry_after)
                self._reactor.call_later(wait, self._continue_watch)

    def _apply(self, changes: Changes) -> None:
        # With the lower revision of a lagging copy of the platform, the next
        # watch would return the same changes again.
        self._revision = max(self._revision, changes.revision)
        if self.is_listed:
            self._history_losses = 0
        self.is_listed = True
        self.last_response_at = self._reactor.now()
        self.confirmed_at = self._asked_at
        self._on_objects(changes.objects)
        self._notify_listed(True)

    def _notify_listed(self, done: bool) -> None:
        callbacks, self.on_listed = self.on_listed, []
        for callback in callbacks:
            callback(done)


class PlatformWatch:
    """Watch the platform if this VM is a watcher; otherwise check rarely."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        platform: PlatformClient,
        store: FactStore,
        on_groups: OnObjects,
        vm_list_interval: float,
        wait_ms: int,
        random_float: Callable[[], float] = random.random,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._platform = platform
        self._store = store
        self._vm_list_interval = vm_list_interval
        self._random_float = random_float
        self._vm_list_in_flight = False
        self._needs_full_vm_list = False
        self.table = KindWatch(
            reactor=reactor,
            platform=platform,
            kind="table",
            wait_ms=wait_ms,
            on_objects=self._apply_table,
        )
        self.groups = KindWatch(
            reactor=reactor,
            platform=platform,
            kind="group",
            wait_ms=wait_ms,
            on_objects=on_groups,
        )

    @property
    def is_watcher(self) -> bool:
        """Return whether this VM watches the platform for the fleet."""
        watchers = self._placement.platform_watchers()
        return any(vm.name == self._board.local_vm.name for vm in watchers)

    def start(self) -> None:
        """Read the list of VMs and the table, and schedule further calls."""
        self._poll_vms()
        self.table.check()
        self._schedule_check()

    def follow_placement(self) -> None:
        """Start or stop watching after a change of the VMs."""
        watching = self.is_watcher
        self.table.set_watching(watching)
        self.groups.set_watching(watching)

    def read_vms(self, purpose: str) -> None:
        """Read the list of VMs once, unless a read is in flight."""
        if self._vm_list_in_flight:
            return
        self._vm_list_in_flight = True
        after = 0 if self._needs_full_vm_list else self._board.vms_revision
        self._platform.vms(self._apply_vms, purpose=purpose, after=after)

    def _poll_vms(self) -> None:
        # The watchers are unknown until the first list has been read.
        if self.is_watcher or self._board.vms_revision == 0:
            self.read_vms("vms")
        interval = len(self._board.vms) / VMS_PER_POLL_SECOND
        interval = max(interval, self._vm_list_interval)
        wait = interval * (0.75 + self._random_float() / 2)
        self._reactor.call_later(wait, self._poll_vms)

    def _schedule_check(self) -> None:
        fleet = len(self._board.vms)
        interval = max(SHORTEST_CHECK, fleet / MAX_CHECKS_PER_SECOND)
        wait = interval * (0.5 + self._random_float())
        self._reactor.call_later(wait, self._check)

    def _check(self) -> None:
        if not self.is_watcher:
            self.table.check()
            self.read_vms("check")
        self._schedule_check()

    def _apply_table(self, objects: tuple[Found, ...]) -> None:
        for item in objects:
            self._store.apply_shard_value(item.name, item.version, item.value)

    def _apply_vms(self, result: VmsFound | Unavailable) -> None:
        self._vm_list_in_flight = False
        match result:
            case VmsFound(vms=None):
                self._confirm_vms(result.revision)
            case VmsFound():
                self._needs_full_vm_list = False
                self._store.apply_vms(result.revision, result.vms or ())

    def _confirm_vms(self, revision: int) -> None:
        """Record that the platform's list is the one that this VM has.

        If the list was omitted although it is newer, the full list is
        requested: treating such an answer as an empty list would make this VM
        serve nothing. The request is made at the next poll and not at once, so
        that a faulty platform is not called without a pause.
        """
        if revision > self._board.vms_revision:
            self._needs_full_vm_list = True
            return
        self._store.confirm_vms(revision)
