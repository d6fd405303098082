"""A main process's list of the entry-only processes on its VM.

They report every few seconds. The main process sends them announcements and
shows them to operators. Nothing else depends on them: they hold no group and
are in no list of VMs.
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
UNRESPONSIVE_AFTER = 3 * REPORT_INTERVAL
# A process that died is shown as silent for this many seconds, so that an
# operator sees it. A process that reported draining is dropped earlier.
EXPIRY_SECONDS = 600.0


@dataclass(frozen=True, slots=True, kw_only=True)
class _ReportedProcess:
    """The last report of an entry-only process and its time."""

    address: str
    draining: bool
    last_report_at: float


class EntryProcesses:
    """Track the entry-only processes of this VM by their reports."""

    def __init__(
        self, *, board: Blackboard, peers: Peers, now: Callable[[], float]
    ) -> None:
        self._board = board
        self._now = now
        self._reported: dict[str, _ReportedProcess] = {}
        peers.add_handler("process", self._on_report)

    def live_addresses(self) -> dict[str, str]:
        """Return by name the addresses of processes that reported recently."""
        self._drop_expired()
        received_after = self._now() - UNRESPONSIVE_AFTER
        return {
            name: reported.address
            for name, reported in self._reported.items()
            if reported.last_report_at >= received_after
        }

    def as_vms(self) -> list[Vm]:
        """Return the processes to show to operators."""
        self._drop_expired()
        local_vm = self._board.local_vm
        return [
            Vm(
                name=name,
                address=reported.address,
                availability_zone=local_vm.availability_zone,
                region=local_vm.region,
            )
            for name, reported in sorted(self._reported.items())
        ]

    def _drop_expired(self) -> None:
        now = self._now()
        for name, reported in list(self._reported.items()):
            lifetime = (
                UNRESPONSIVE_AFTER if reported.draining else EXPIRY_SECONDS
            )
            if reported.last_report_at < now - lifetime:
                del self._reported[name]

    def _on_report(self, message: Any, reply: Reply) -> None:
        report = message.process
        self._reported[report.vm] = _ReportedProcess(
            address=report.address,
            draining=report.draining,
            last_report_at=self._now(),
        )
        if message.id == 0:
            return
        answer = new_envelope()
        out = answer.init("process")
        out.vm = self._board.local_vm.name
        out.ready = not self._board.starting
        out.draining = self._board.draining
        reply(answer)
