"""Keeps the blackboard's shared facts up to date: VMs, groups and table.

This component creates and starts the sources of facts. Which facts are applied
is decided in `bamboospring.fact_versions`.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import handler

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import GroupRecord
from bamboospring.fact_store import FactStore
from bamboospring.group_sync import GroupSync
from bamboospring import logs
from bamboospring.membership import Membership
from bamboospring.peer_sync import PeerSync
from bamboospring.peers import Peers
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_watch import PlatformWatch
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import Placement
from bamboospring.settings import Timing

__all__ = ["SharedFacts"]


class SharedFacts(BaseComponent):
    """Read, distribute and repair shared facts.

    `seeds` are addresses of peers to ask as long as the list of VMs is
    unknown, for example if this VM is restarted during an outage.
    """

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        platform: PlatformClient,
        membership: Membership,
        timing: Timing,
        seeds: Sequence[str] = (),
        chance: Callable[[], float] = random.random,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._seeds = tuple(seeds)
        self._repair_interval = timing.repair_ms / 1000
        self._awaited_neighbours: set[str] = set()
        self._answered_neighbours: set[str] = set()
        self._unresponsive_neighbours: set[str] = set()
        self._table_read = False
        board.starting = True
        self.store = FactStore(
            board=board,
            placement=placement,
            fire=self.fire,
            now=reactor.now,
        )
        self.groups = GroupSync(
            reactor=reactor,
            board=board,
            placement=placement,
            peers=peers,
            platform=platform,
            store=self.store,
            random_float=chance,
        )
        self.sync = PeerSync(
            reactor=reactor,
            board=board,
            peers=peers,
            store=self.store,
            membership=membership,
            interval=self._repair_interval,
            random_float=chance,
        )
        self.watch = PlatformWatch(
            reactor=reactor,
            board=board,
            placement=placement,
            platform=platform,
            store=self.store,
            on_groups=self.groups.apply_objects,
            vm_list_interval=timing.vm_list_ms / 1000,
            wait_ms=timing.watch_ms,
            random_float=chance,
        )

    @property
    def is_ready(self) -> bool:
        """Return whether the facts in force are recent enough to serve.

        The table must have been read from the platform or, in an outage, from
        every neighbour that answers. The newest of several copies is not older
        than the one in force here before a restart, while a single copy may
        come from a peer that was frozen until now.
        """
        return not self._board.starting

    @property
    def table_from_platform(self) -> bool:
        """Return whether the table has been read from the platform."""
        return self._table_read

    def publish(self, record: GroupRecord) -> None:
        """Apply and distribute a group record that this VM has just stored."""
        self.groups.publish(record)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self.watch.table.on_listed.append(self._on_table_listed)
        self.watch.start()
        self.sync.start()
        self.groups.start()
        self._request_facts()

    @handler("vms_changed")
    def _on_vms_changed(self) -> None:
        self.watch.follow_placement()
        self.groups.follow_placement()
        if self._board.starting:
            self._ask_neighbours()

    @handler("placement_changed")
    def _on_placement_changed(self) -> None:
        self.groups.follow_placement()

    @handler("group_doubted")
    def _on_group_doubted(self, name: str) -> None:
        self.groups.read(name)

    # Startup.

    def _request_facts(self) -> None:
        """Request facts repeatedly until this process is ready."""
        self._update_readiness()
        if self.is_ready:
            return
        if not self._board.vms:
            for address in self._seeds:
                self.sync.compare_with(address)
        self._ask_neighbours()
        self._reactor.call_later(
            self._repair_interval / 4, self._request_facts
        )

    def _on_table_listed(self, done: bool) -> None:
        self._table_read = self._table_read or done
        if not done and self._board.starting:
            self.watch.table.on_listed.append(self._on_table_listed)
            self._reactor.call_later(
                self._repair_interval, self.watch.table.check
            )
        self._update_readiness()

    def _ask_neighbours(self) -> None:
        for vm in self.sync.neighbours():
            if (
                vm.name
                not in self._awaited_neighbours | self._answered_neighbours
            ):
                self._awaited_neighbours.add(vm.name)
                self._ask_neighbour(vm.name, vm.address)

    def _ask_neighbour(self, name: str, address: str) -> None:
        def on_complete(answered: bool) -> None:
            self._awaited_neighbours.discard(name)
            (
                self._answered_neighbours
                if answered
                else self._unresponsive_neighbours
            ).add(name)
            self._update_readiness()

        self.sync.compare_with(address, name, on_complete)

    def _update_readiness(self) -> None:
        if self.is_ready or not self._board.vms:
            return
        if not (self._table_read or self._has_neighbour_copies()):
            return
        self._board.starting = False
        logs.log_event(
            "facts_ready",
            table_from="platform" if self._table_read else "peers",
            vms=len(self._board.vms),
        )

    def _has_neighbour_copies(self) -> bool:
        """Return whether all neighbours were asked and newer facts fetched."""
        names = {vm.name for vm in self.sync.neighbours()}
        tried = self._answered_neighbours | self._unresponsive_neighbours
        answered = names & self._answered_neighbours
        return bool(answered) and names <= tried and self.sync.is_idle
