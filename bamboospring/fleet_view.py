"""Ask all VMs for their status, on an operator's demand only.

Nothing of this runs by itself: at 480 VMs a look at the fleet is 480 messages,
a few at a time, for an operator who waits for it.
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

AT_ONCE = 16
ASK_TIMEOUT = 2.0

OnFleet = Callable[[dict[str, Any]], None]


class FleetView:
    """Gather the status of every VM, and answer others who do."""

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
        peers.add_handler("status", self._on_question)

    def gather(self, on_done: OnFleet) -> None:
        """Call back once with what all VMs say; silent ones are named."""
        me = self._board.local_vm.name
        others = [vm for vm in self._board.vms.values() if vm.name != me]
        round_ = _Round(
            peers=self._peers,
            waiting=sorted(others, key=lambda vm: vm.name),
            on_done=on_done,
            asked_by=me,
        )
        round_.take(self._describe())
        round_.start()

    def _on_question(self, message: Any, reply: Reply) -> None:
        if len(message.status.body):
            return
        answer = new_envelope()
        answer.init("status").body = orjson.dumps(self._describe())
        reply(answer)


class _Round:
    """One look at the whole fleet."""

    def __init__(
        self,
        *,
        peers: Peers,
        waiting: list[Vm],
        on_done: OnFleet,
        asked_by: str,
    ) -> None:
        self._peers = peers
        self._waiting = waiting
        self._known = {asked_by, *(vm.name for vm in waiting)}
        self._vms: list[dict[str, Any]] = []
        self._silent: list[dict[str, str]] = []
        self._on_done = on_done
        self._asked_by = asked_by
        self._out = 0

    def start(self) -> None:
        for _ in range(AT_ONCE):
            self._ask_next()
        if self._out == 0:
            self._finish()

    def take(self, status: dict[str, Any]) -> None:
        """Take a status, and ask the entry-only processes that it names."""
        self._vms.append(status)
        for each in status.get("processes", ()):
            if each["name"] not in self._known:
                self._known.add(each["name"])
                self._waiting.append(Vm(**each))

    def _ask_next(self) -> None:
        if not self._waiting:
            return
        vm = self._waiting.pop(0)
        self._out += 1
        question = new_envelope()
        question.init("status")

        def answered(answer: Any) -> None:
            self._out -= 1
            self._take(vm, answer)
            self._ask_next()
            if self._out == 0:
                self._finish()

        self._peers.ask(vm.address, question, ASK_TIMEOUT, answered)

    def _take(self, vm: Vm, answer: Any) -> None:
        if not isinstance(answer, PeerLost) and answer.which() == "status":
            self.take(orjson.loads(answer.status.body))
            return
        self._silent.append(
            {
                "vm": vm.name,
                "address": vm.address,
                "availability_zone": vm.availability_zone,
            }
        )

    def _finish(self) -> None:
        self._on_done(
            {
                "asked_by": self._asked_by,
                "vms": sorted(self._vms, key=lambda each: each["vm"]),
                "silent": self._silent,
            }
        )
