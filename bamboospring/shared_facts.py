"""Keep the blackboard's shared facts up to date: VMs, groups and table.

This component wires the ways by which facts arrive and starts them. What may
be taken is decided in `bamboospring.fact_versions`.
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
    """Read, spread and repair shared facts.

    `seeds` are peers' addresses to ask while the platform has not told which
    VMs there are, as when this VM is restarted during an outage.
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
        self._interval = timing.repair_ms / 1000
        self._asked: set[str] = set()
        self._answered: set[str] = set()
        self._silent: set[str] = set()
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
            chance=chance,
        )
        self.sync = PeerSync(
            reactor=reactor,
            board=board,
            peers=peers,
            store=self.store,
            membership=membership,
            interval=self._interval,
            chance=chance,
        )
        self.watch = PlatformWatch(
            reactor=reactor,
            board=board,
            placement=placement,
            platform=platform,
            store=self.store,
            on_groups=self.groups.take_objects,
            vm_list_interval=timing.vm_list_ms / 1000,
            wait_ms=timing.watch_ms,
            chance=chance,
        )

    @property
    def is_ready(self) -> bool:
        """Say whether what is in force here can be worked with.

        The table must have been read from the platform, or, in an outage,
        from every neighbour that answers: the newest of several copies is
        not older than what was in force here before a restart, while a
        single one may come from a peer that has just been frozen.
        """
        return not self._board.starting

    @property
    def table_from_platform(self) -> bool:
        """Say whether the platform's own table has been read."""
        return self._table_read

    def publish(self, record: GroupRecord) -> None:
        """Take and spread a group record that this VM has just stored."""
        self.groups.publish(record)

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self.watch.table.on_listed.append(self._on_table_listed)
        self.watch.start()
        self.sync.start()
        self.groups.start()
        self._prepare()

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

    # Getting ready.

    def _prepare(self) -> None:
        """Ask again and again until there is enough to begin with."""
        self._judge_ready()
        if self.is_ready:
            return
        if not self._board.vms:
            for address in self._seeds:
                self.sync.compare_with(address)
        self._ask_neighbours()
        self._reactor.call_later(self._interval / 4, self._prepare)

    def _on_table_listed(self, done: bool) -> None:
        self._table_read = self._table_read or done
        if not done and self._board.starting:
            self.watch.table.on_listed.append(self._on_table_listed)
            self._reactor.call_later(self._interval, self.watch.table.check)
        self._judge_ready()

    def _ask_neighbours(self) -> None:
        for vm in self.sync.neighbours():
            if vm.name not in self._asked | self._answered:
                self._asked.add(vm.name)
                self._ask_neighbour(vm.name, vm.address)

    def _ask_neighbour(self, name: str, address: str) -> None:
        def done(answered: bool) -> None:
            self._asked.discard(name)
            (self._answered if answered else self._silent).add(name)
            self._judge_ready()

        self.sync.compare_with(address, name, done)

    def _judge_ready(self) -> None:
        if self.is_ready or not self._board.vms:
            return
        if not (self._table_read or self._has_copies()):
            return
        self._board.starting = False
        logs.log_event(
            "facts_ready",
            table_from="platform" if self._table_read else "peers",
            vms=len(self._board.vms),
        )

    def _has_copies(self) -> bool:
        """Say whether each neighbour was asked and what is new is here."""
        names = {vm.name for vm in self.sync.neighbours()}
        tried = self._answered | self._silent
        answered = names & self._answered
        return bool(answered) and names <= tried and self.sync.is_idle
