"""Read the platform on behalf of the fleet.

Six VMs, whatever the size of the fleet, watch the table and the groups and
poll the list of VMs; all others learn from peers. Besides, every VM reads
what is new to it by itself, at intervals that grow with the fleet, so that
the platform sees a constant rate: this is what brings a fleet forward whose
watchers are all gone at once, or a VM that no peer can reach.
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

# Own checks by the whole fleet, in calls of each kind a second.
CHECKS_PER_SECOND = 4.0
SHORTEST_CHECK = 10.0
# The list of VMs comes whole when it has changed, about 120 bytes for each VM,
# so that watchers poll it the more seldom the larger it is: at 480 VMs each of
# the six every 12 s at its own times, which are 2 s between polls.
VM_LIST_POLLS = 40.0
# The time until a call that failed with no wait of its own is made again.
RETRY_DELAY = 0.1

OnObjects = Callable[[tuple[Found, ...]], None]


class KindWatch:
    """Follow one kind of objects: list it once, then watch for changes.

    Only calls one at a time. `on_objects` gets objects in the order of the
    platform's answers; a lagging answer may bring old versions again.
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
        # When the last answered call was made: the store has shown all that
        # was stored before.
        self.confirmed_at = -1e9
        self.wait_ms = wait_ms
        self._asked_at = -1e9
        self._reactor = reactor
        self._platform = platform
        self._on_objects = on_objects
        self._revision = 0
        self._watching = False
        self._busy = False
        # How often in a row a watch had no history to follow.
        self._losses = 0

    def set_watching(self, watching: bool) -> None:
        """Watch from now on, or stop after the call under way."""
        self._watching = watching
        if watching:
            self._next()

    def check(self) -> None:
        """Read once what is new, unless a call is under way."""
        if self._busy:
            return
        self._begin()
        if not self.is_listed:
            self._platform.list(self.kind, "check", self._answered)
            return
        self._platform.watch(
            self.kind, self._revision, 0, "check", self._answered
        )

    def _next(self) -> None:
        if self._busy or not self._watching:
            return
        self._begin()
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

    def _begin(self) -> None:
        self._busy = True
        self._asked_at = self._reactor.now()

    def _answered(self, result: Changes | HistoryLost | Unavailable) -> None:
        self._busy = False
        match result:
            case Changes():
                self._take(result)
                self._next()
            case HistoryLost():
                # What changed meanwhile will never come by a watch, so all
                # is read anew.
                logs.log_event(
                    "history_lost",
                    kind=self.kind,
                    asked_from=version_text(self._revision),
                )
                self.is_listed = False
                self._losses += 1
                if self._losses == 1:
                    self._next()
                    return
                # What was listed is gone as well: this may go on for long.
                self._reactor.call_later(RETRY_DELAY, self._next)
            case Unavailable():
                self._tell_listed(False)
                wait = max(RETRY_DELAY, result.retry_after)
                self._reactor.call_later(wait, self._next)

    def _take(self, changes: Changes) -> None:
        # After an answer of a lagging copy of the platform the next watch
        # would bring everything again.
        self._revision = max(self._revision, changes.revision)
        if self.is_listed:
            self._losses = 0
        self.is_listed = True
        self.last_response_at = self._reactor.now()
        self.confirmed_at = self._asked_at
        self._on_objects(changes.objects)
        self._tell_listed(True)

    def _tell_listed(self, done: bool) -> None:
        callbacks, self.on_listed = self.on_listed, []
        for callback in callbacks:
            callback(done)


class PlatformWatch:
    """Watch as one of the fleet's watchers, or check now and then."""

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
        chance: Callable[[], float] = random.random,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._placement = placement
        self._platform = platform
        self._store = store
        self._vm_list_interval = vm_list_interval
        self._chance = chance
        self._vms_busy = False
        self._vms_whole = False
        self.table = KindWatch(
            reactor=reactor,
            platform=platform,
            kind="table",
            wait_ms=wait_ms,
            on_objects=self._take_table,
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
        """Say whether this VM watches on behalf of all."""
        watchers = self._placement.platform_watchers()
        return any(vm.name == self._board.local_vm.name for vm in watchers)

    def start(self) -> None:
        """Read the list of VMs and the table, then go on as due."""
        self._poll_vms()
        self.table.check()
        self._check_later()

    def follow_placement(self) -> None:
        """Take up or give up watching after a change of the VMs."""
        watching = self.is_watcher
        self.table.set_watching(watching)
        self.groups.set_watching(watching)

    def read_vms(self, purpose: str) -> None:
        """Read the list of VMs once, unless a read is under way."""
        if self._vms_busy:
            return
        self._vms_busy = True
        after = 0 if self._vms_whole else self._board.vms_revision
        self._platform.vms(self._take_vms, purpose=purpose, after=after)

    def _poll_vms(self) -> None:
        # Until the first list is here nobody can say who polls it.
        if self.is_watcher or self._board.vms_revision == 0:
            self.read_vms("vms")
        interval = len(self._board.vms) / VM_LIST_POLLS
        interval = max(interval, self._vm_list_interval)
        wait = interval * (0.75 + self._chance() / 2)
        self._reactor.call_later(wait, self._poll_vms)

    def _check_later(self) -> None:
        fleet = len(self._board.vms)
        interval = max(SHORTEST_CHECK, fleet / CHECKS_PER_SECOND)
        wait = interval * (0.5 + self._chance())
        self._reactor.call_later(wait, self._check)

    def _check(self) -> None:
        if not self.is_watcher:
            self.table.check()
            self.read_vms("check")
        self._check_later()

    def _take_table(self, objects: tuple[Found, ...]) -> None:
        for item in objects:
            self._store.apply_shard_value(item.name, item.version, item.value)

    def _take_vms(self, result: VmsFound | Unavailable) -> None:
        self._vms_busy = False
        match result:
            case VmsFound(vms=None):
                self._confirm_vms(result.revision)
            case VmsFound():
                self._vms_whole = False
                self._store.apply_vms(result.revision, result.vms or ())

    def _confirm_vms(self, revision: int) -> None:
        """Note that the platform has the list that we have.

        Left out although it is newer than ours, the list is asked for whole:
        taken as it stands, such an answer would be the empty list, and this
        VM would serve nothing. Asked for once more at the next poll, not at
        once, so that a platform that errs is not asked without a pause.
        """
        if revision > self._board.vms_revision:
            self._vms_whole = True
            return
        self._store.confirm_vms(revision)
