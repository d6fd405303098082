"""Collect the status of all VMs when an operator requests it.

Nothing is collected in the background: with 480 VMs one collection takes 480
messages. They are sent a few at a time while the operator waits.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.peers import Reply

__all__ = ["FleetView"]

MAX_CONCURRENT_REQUESTS = 16
REQUEST_TIMEOUT = 2.0

OnFleet = Callable[[dict[str, Any]], None]


class FleetView:
    """Collects the status of every VM, and answers requests of others."""

    def __init__(
        self,
        *,
        board: Blackboard,
        peers: Peers,
        describe: Callable[[], dict[str, Any]],
    ) -> None:
        self._board = board
        self._peers = peers
        self._describe = describe
        peers.add_handler("status", self._on_request)

    def gather(self, on_complete: OnFleet) -> None:
        """Call `on_complete` once with all statuses and unresponsive VMs."""
        local_name = self._board.local_vm.name
        others = [
            vm for vm in self._board.vms.values() if vm.name != local_name
        ]
        round_ = _StatusCollection(
            peers=self._peers,
            pending=sorted(others, key=lambda vm: vm.name),
            on_complete=on_complete,
            asked_by=local_name,
        )
        round_.add_status(self._describe())
        round_.start()

    def _on_request(self, message: Any, reply: Reply) -> None:
        if len(message.status.body):
            return
        answer = new_envelope()
        answer.init("status").body = orjson.dumps(self._describe())
        reply(answer)


class _StatusCollection:
    """One collection of the statuses of all VMs."""

    def __init__(
        self,
        *,
        peers: Peers,
        pending: list[Vm],
        on_complete: OnFleet,
        asked_by: str,
    ) -> None:
        self._peers = peers
        self._pending = pending
        self._known_names = {asked_by, *(vm.name for vm in pending)}
        self._statuses: list[dict[str, Any]] = []
        self._unresponsive: list[dict[str, str]] = []
        self._on_complete = on_complete
        self._asked_by = asked_by
        self._in_flight = 0

    def start(self) -> None:
        for _ in range(MAX_CONCURRENT_REQUESTS):
            self._ask_next()
        if self._in_flight == 0:
            self._finish()

    def add_status(self, status: dict[str, Any]) -> None:
        """Add a status, and query the entry-only processes that it lists."""
        self._statuses.append(status)
        for each in status.get("processes", ()):
            if each["name"] not in self._known_names:
                self._known_names.add(each["name"])
                self._pending.append(Vm(**each))

    def _ask_next(self) -> None:
        if not self._pending:
            return
        vm = self._pending.pop(0)
        self._in_flight += 1
        request = new_envelope()
        request.init("status")

        def answered(answer: Any) -> None:
            self._in_flight -= 1
            self._handle_answer(vm, answer)
            self._ask_next()
            if self._in_flight == 0:
                self._finish()

        self._peers.ask(vm.address, request, REQUEST_TIMEOUT, answered)

    def _handle_answer(self, vm: Vm, answer: Any) -> None:
        if not isinstance(answer, PeerLost) and answer.which() == "status":
            self.add_status(orjson.loads(answer.status.body))
            return
        self._unresponsive.append(
            {
                "vm": vm.name,
                "address": vm.address,
                "availability_zone": vm.availability_zone,
            }
        )

    def _finish(self) -> None:
        self._on_complete(
            {
                "asked_by": self._asked_by,
                "vms": sorted(self._statuses, key=lambda each: each["vm"]),
                "silent": self._unresponsive,
            }
        )
