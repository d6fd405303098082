"""A main process's list of the entry-only processes beside it.

They report every few seconds. The main process tells them of news and names
them to operators. Nothing else depends on them: they hold no group and stand
in no list of VMs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from bamboospring.blackboard import Blackboard
from bamboospring.blackboard import Vm
from bamboospring.peers import new_envelope
from bamboospring.peers import Peers
from bamboospring.peers import Reply

__all__ = ["EntryProcesses", "REPORT_INTERVAL"]

REPORT_INTERVAL = 2.0
QUIET_AFTER = 3 * REPORT_INTERVAL
# One that died is shown as silent for this long, so that an operator sees it.
# One that said that it leaves is not missed.
REMEMBERED = 600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _Known:
    """What an entry-only process last reported, and when."""

    address: str
    draining: bool
    heard_at: float


class EntryProcesses:
    """Know the entry-only processes of this VM from their reports."""

    def __init__(
        self, *, board: Blackboard, peers: Peers, now: Callable[[], float]
    ) -> None:
        self._board = board
        self._now = now
        self._known: dict[str, _Known] = {}
        peers.add_handler("process", self._on_report)

    def addresses(self) -> dict[str, str]:
        """Return where to tell of news, by name: of those heard lately."""
        self._forget()
        oldest = self._now() - QUIET_AFTER
        return {
            name: known.address
            for name, known in self._known.items()
            if known.heard_at >= oldest
        }

    def as_vms(self) -> list[Vm]:
        """Return the processes that operators are to see."""
        self._forget()
        me = self._board.local_vm
        return [
            Vm(
                name=name,
                address=known.address,
                availability_zone=me.availability_zone,
                region=me.region,
            )
            for name, known in sorted(self._known.items())
        ]

    def _forget(self) -> None:
        now = self._now()
        for name, known in list(self._known.items()):
            kept = QUIET_AFTER if known.draining else REMEMBERED
            if known.heard_at < now - kept:
                del self._known[name]

    def _on_report(self, message: Any, reply: Reply) -> None:
        report = message.process
        self._known[report.vm] = _Known(
            address=report.address,
            draining=report.draining,
            heard_at=self._now(),
        )
        if message.id == 0:
            return
        answer = new_envelope()
        out = answer.init("process")
        out.vm = self._board.local_vm.name
        out.ready = not self._board.starting
        out.draining = self._board.draining
        reply(answer)
