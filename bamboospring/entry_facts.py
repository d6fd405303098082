"""Keeps the facts of an entry-only process up to date from its main process.

These are the list of VMs, the table and the names of all groups; group records
go to holders only. While the main process answers, no other process is asked.
While it does not, the same requests go to a few other VMs, as those of any VM
would. The platform is never called.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import Any

from bamboospring.components import BaseComponent
from bamboospring.components import handler
import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.entry_processes import REPORT_INTERVAL
from bamboospring.fact_store import FactStore
from bamboospring.group_placer import GroupPlacer
from bamboospring.group_sync import digest_names
from bamboospring.group_sync import digest_versions
from bamboospring import logs
from bamboospring.membership import Membership
from bamboospring.peer_sync import PeerSync
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import choose_neighbours
from bamboospring.rendezvous import Placement

__all__ = ["EntryFacts"]

ASK_TIMEOUT = 1.0
STARTUP_INTERVAL = 0.25
# The names of groups are requested with every second report, so a new group is
# known here up to that much later than at the main process.
NAMES_REQUEST_PERIOD = 2


class _EntryPeerSync(PeerSync):
    """Compare versions with the VMs of `choose`; announce nothing."""

    def __init__(
        self, *, choose: Callable[[], tuple[Vm, ...]], **more: Any
    ) -> None:
        super().__init__(**more)
        self._choose = choose

    def neighbours(self) -> tuple[Vm, ...]:
        """Return the processes to compare versions with."""
        return self._choose()

    def announce(self) -> None:
        """Do nothing: every source of this process already has its facts."""


class EntryFacts(BaseComponent):
    """Copy the facts of the main process `main`, over its peers' address.

    `seeds` are addresses of other VMs to ask while the main process does not
    answer and the list of VMs is unknown.
    """

    channel = "*"

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        placement: Placement,
        peers: Peers,
        membership: Membership,
        main: Vm,
        seeds: Sequence[str] = (),
        random_float: Callable[[], float] = random.random,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._membership = membership
        self._main = main
        self._seeds = tuple(seeds)
        self._random_float = random_float
        self._main_answers = True
        self._is_main_ready = False
        self._tick_count = 0
        self._retained_revision = -1
        self._compared: set[str] = set()
        self._answered: set[str] = set()
        board.starting = True
        self._placer = GroupPlacer(
            reactor=reactor, board=board, placement=placement
        )
        self.store = FactStore(
            board=board,
            placement=placement,
            fire=self.fire,
            now=reactor.now,
        )
        self.sync = _EntryPeerSync(
            choose=self._sources,
            reactor=reactor,
            board=board,
            peers=peers,
            store=self.store,
            membership=membership,
            interval=REPORT_INTERVAL,
            random_float=random_float,
        )

    @property
    def main_answers(self) -> bool:
        """Return whether the main process answered the last report."""
        return self._main_answers

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._tick()

    @handler("drain_started")
    def _on_drain_started(self) -> None:
        self._report_to_main()

    def _tick(self) -> None:
        self._report_to_main()
        starting = self._board.starting
        if starting or self._tick_count % NAMES_REQUEST_PERIOD == 0:
            self._request_names()
        self._tick_count += 1
        wait = STARTUP_INTERVAL if starting else REPORT_INTERVAL
        wait *= 0.75 + self._random_float() / 2
        self._reactor.call_later(wait, self._tick)

    # Sources.

    def _sources(self) -> tuple[Vm, ...]:
        """Return the main process, and other VMs if it may not suffice.

        At startup all are asked: a main process that was frozen until now may
        have older versions than were in force here before a restart.
        """
        self._retain_listed_vms()
        if self._main_answers and not self._board.starting:
            return (self._main,)
        others = choose_neighbours(
            self._main.name, list(self._board.vms.values())
        )
        return (self._main, *others)

    def _retain_listed_vms(self) -> None:
        if self._retained_revision != self._board.vms_revision:
            self._retained_revision = self._board.vms_revision
            self._membership.retain_vms(self._board.vms)

    def _report_to_main(self) -> None:
        """Report to the main process, then compare versions."""

        def on_answer(answer: Any) -> None:
            is_lost = isinstance(answer, PeerLost)
            self._record_main_answer(not is_lost)
            self._is_main_ready = not is_lost and answer.process.ready
            self._compare()

        message = new_envelope()
        report = message.init("process")
        report.vm = self._board.local_vm.name
        report.address = self._board.local_vm.address
        report.draining = self._board.draining
        self._peers.ask(self._main.address, message, ASK_TIMEOUT, on_answer)

    def _record_main_answer(self, answers: bool) -> None:
        if answers != self._main_answers:
            logs.log_event("main_process", vm=self._main.name, answers=answers)
        self._main_answers = answers

    def _compare(self) -> None:
        for vm in self._sources():
            self._compare_with(vm)
        if not self._board.vms and not self._main_answers:
            for address in self._seeds:
                self.sync.compare_with(address)

    def _compare_with(self, vm: Vm) -> None:
        # Facts of a main process that is not ready may be incomplete.
        is_usable = vm.name != self._main.name or self._is_main_ready

        def on_complete(answered: bool) -> None:
            self._compared.add(vm.name)
            if answered and is_usable:
                self._answered.add(vm.name)
            self._update_readiness()

        self.sync.compare_with(vm.address, vm.name, on_complete)

    # Names of groups.

    def _request_names(self) -> None:
        sources = self._sources()
        source_index = (
            self._tick_count % len(sources) if not self._main_answers else 0
        )

        def on_answer(answer: Any) -> None:
            if not isinstance(answer, PeerLost):
                self._apply_names(orjson.loads(answer.groupFact.record))

        message = new_envelope()
        message.init("groupFact").record = orjson.dumps(
            {
                "vm": self._board.local_vm.name,
                "names": digest_names(self._board.group_names),
                "all": False,
                "digest": digest_versions({}),
            }
        )
        self._peers.ask(
            sources[source_index].address, message, ASK_TIMEOUT, on_answer
        )

    def _apply_names(self, body: dict[str, Any]) -> None:
        self._board.group_names.update(body.get("names", ()))
        if body["complete"]:
            self._board.names_complete = True
        # Until the groups are placed by the same names as at the other VMs,
        # some statements would go to VMs that do not hold their group.
        self._placer.place()
        self._update_readiness()

    # Startup.

    def _update_readiness(self) -> None:
        board = self._board
        if not board.starting or not board.vms:
            return
        names = {vm.name for vm in self._sources()}
        answered = names & self._answered
        if self._main_answers and self._main.name not in answered:
            return
        if (
            not answered
            or not names <= self._compared
            or not self.sync.is_idle
        ):
            return
        board.starting = False
        logs.log_event(
            "facts_ready",
            table_from="main" if self._is_main_ready else "peers",
            vms=len(board.vms),
        )
