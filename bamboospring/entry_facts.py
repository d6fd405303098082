"""Bring an entry-only process what it has to know, from its main process.

Those are the list of VMs, the table and the names of all groups; records of
groups go to holders only. While the main process answers, nobody else is
asked. While it does not, the same questions go to a few other VMs, as those
of any VM would. The platform is never called.
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
FIRST_INTERVAL = 0.25
# A new group is known here this much later than at the main process.
NAMES_EVERY = 2


class _MainSync(PeerSync):
    """Compare versions with whom `choose` names; announce to nobody."""

    def __init__(
        self, *, choose: Callable[[], tuple[Vm, ...]], **more: Any
    ) -> None:
        super().__init__(**more)
        self._choose = choose

    def neighbours(self) -> tuple[Vm, ...]:
        """Return the processes to compare versions with."""
        return self._choose()

    def announce(self) -> None:
        """Tell nobody: whoever this process learns from has it already."""


class EntryFacts(BaseComponent):
    """Follow the main process named `main`, at its peers' address.

    `seeds` are other VMs' addresses to ask while it does not answer and no
    list of VMs is known.
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
        chance: Callable[[], float] = random.random,
    ) -> None:
        super().__init__()
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._membership = membership
        self._main = main
        self._seeds = tuple(seeds)
        self._chance = chance
        self._main_answers = True
        self._main_ready = False
        self._turn = 0
        self._kept = -1
        self._tried: set[str] = set()
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
        self.sync = _MainSync(
            choose=self._sources,
            reactor=reactor,
            board=board,
            peers=peers,
            store=self.store,
            membership=membership,
            interval=REPORT_INTERVAL,
            chance=chance,
        )

    @property
    def main_answers(self) -> bool:
        """Say whether the main process answered the last report."""
        return self._main_answers

    @handler("started")
    def _on_started(self, *_args: Any) -> None:
        self._tick()

    @handler("drain_started")
    def _on_drain_started(self) -> None:
        self._report()

    def _tick(self) -> None:
        self._report()
        starting = self._board.starting
        if starting or self._turn % NAMES_EVERY == 0:
            self._ask_names()
        self._turn += 1
        wait = FIRST_INTERVAL if starting else REPORT_INTERVAL
        wait *= 0.75 + self._chance() / 2
        self._reactor.call_later(wait, self._tick)

    # Whom to ask.

    def _sources(self) -> tuple[Vm, ...]:
        """Return the main process; others too where it may not suffice.

        At the start all are asked: a main process that has just been frozen
        may have older versions than were in force here before a restart.
        """
        self._forget_gone()
        if self._main_answers and not self._board.starting:
            return (self._main,)
        others = choose_neighbours(
            self._main.name, list(self._board.vms.values())
        )
        return (self._main, *others)

    def _forget_gone(self) -> None:
        if self._kept != self._board.vms_revision:
            self._kept = self._board.vms_revision
            self._membership.retain_vms(self._board.vms)

    def _report(self) -> None:
        """Tell the main process that we are here, then compare."""

        def answered(answer: Any) -> None:
            lost = isinstance(answer, PeerLost)
            self._note_main(not lost)
            self._main_ready = not lost and answer.process.ready
            self._compare()

        message = new_envelope()
        report = message.init("process")
        report.vm = self._board.local_vm.name
        report.address = self._board.local_vm.address
        report.draining = self._board.draining
        self._peers.ask(self._main.address, message, ASK_TIMEOUT, answered)

    def _note_main(self, answers: bool) -> None:
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
        # What was heard of a main process that was not ready does not count.
        counts = vm.name != self._main.name or self._main_ready

        def done(answered: bool) -> None:
            self._tried.add(vm.name)
            if answered and counts:
                self._answered.add(vm.name)
            self._judge_ready()

        self.sync.compare_with(vm.address, vm.name, done)

    # Names of groups.

    def _ask_names(self) -> None:
        sources = self._sources()
        first = self._turn % len(sources) if not self._main_answers else 0

        def answered(answer: Any) -> None:
            if not isinstance(answer, PeerLost):
                self._take_names(orjson.loads(answer.groupFact.record))

        message = new_envelope()
        message.init("groupFact").record = orjson.dumps(
            {
                "vm": self._board.local_vm.name,
                "names": digest_names(self._board.group_names),
                "all": False,
                "digest": digest_versions({}),
            }
        )
        self._peers.ask(sources[first].address, message, ASK_TIMEOUT, answered)

    def _take_names(self, body: dict[str, Any]) -> None:
        self._board.group_names.update(body.get("names", ()))
        if body["complete"]:
            self._board.names_complete = True
        # Placed by fewer names than elsewhere, some groups would be asked
        # for at VMs that do not hold them.
        self._placer.place()
        self._judge_ready()

    # Getting ready.

    def _judge_ready(self) -> None:
        board = self._board
        if not board.starting or not board.vms:
            return
        names = {vm.name for vm in self._sources()}
        answered = names & self._answered
        if self._main_answers and self._main.name not in answered:
            return
        if not answered or not names <= self._tried or not self.sync.is_idle:
            return
        board.starting = False
        logs.log_event(
            "facts_ready",
            table_from="main" if self._main_ready else "peers",
            vms=len(board.vms),
        )
