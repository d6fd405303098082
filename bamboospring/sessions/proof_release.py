"""Have all VMs let go of their proof of a primary, and tell them of records.

A change of primary that only waits for proofs to lapse stops writes for as
long as a proof lives. VMs that are asked answer in milliseconds; only where
one does not answer the wait is needed.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
from typing import Any

import orjson

from bamboospring import logs
from bamboospring.object_store import Found
from bamboospring.peers import new_envelope
from bamboospring.peers import PeerLost
from bamboospring.peers import Peers
from bamboospring.peers import Reply
from bamboospring.reactor import Reactor
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import read_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VmRegistry
from bamboospring.store_version import version_text

__all__ = ["ProofReleases"]

# Seconds for a VM's answer.
TIMEOUT = 0.7
# What is under way at the old primary gets so many seconds to be answered
# before a VM lets go: answers that come later are in doubt.
GRACE = 0.15
RECHECK = 0.01


class ProofReleases:
    """Tells other VMs of records, and lets go when told of a change."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        peers: Peers,
        registry: VmRegistry,
        records: RecordKeeper,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._peers = peers
        self._registry = registry
        self._records = records
        peers.add_handler("recordNews", self._on_news)

    def ask_all(
        self, record: PrimaryRecord, on_released: Callable[[], None]
    ) -> None:
        """Have every VM let go; calls back only if all of them have.

        Where the list may lack a VM they are told as well, but nobody can know
        that all have let go.
        """
        if not self._registry.is_whole(self._reactor.now()):
            self._registry.refresh(lambda _vms: self.tell_all(record))
            return

        def listed(vms: dict[str, ListedVm] | None) -> None:
            if vms is not None:
                self._ask_listed(record, list(vms.values()), on_released)

        self._registry.refresh(listed)

    def publish(self, record: PrimaryRecord, version: int) -> None:
        """Take a record without a change that was stored, and tell all VMs.

        Any VM may have stored it; only one that leads knows the others.
        """
        stored = dataclasses.replace(record, version=version)
        self._records.apply(stored)
        self._records.request_read(record.group)
        self._registry.refresh(lambda _vms: self.tell_all(stored))

    def tell_all(self, record: PrimaryRecord) -> None:
        """Tell all VMs of a record; those that miss it read it later."""
        for vm in self._registry.vms.values():
            if vm.name != self._board.vm:
                self._peers.ask(
                    vm.address, _news(record), TIMEOUT, lambda answer: None
                )

    def tell_leading(self, version: int) -> None:
        """Tell all VMs that this one has the lease, at this version."""
        message = new_envelope()
        leading = message.init("leading")
        leading.vm = self._board.vm
        leading.address = self._registry.local_vm.address
        leading.version = version
        others = [
            vm.address
            for vm in self._registry.vms.values()
            if vm.name != self._board.vm
        ]
        self._peers.send_all(others, message)

    def _ask_listed(
        self,
        record: PrimaryRecord,
        vms: list[ListedVm],
        on_released: Callable[[], None],
    ) -> None:
        left = {vm.name for vm in vms} | {self._board.vm}
        began = self._reactor.now()

        def released(vm: str) -> None:
            left.discard(vm)
            if left:
                return
            took = self._reactor.now() - began
            logs.log_event(
                "proofs_released",
                group=record.group,
                version=version_text(record.version),
                vms=len(vms),
                took_ms=round(took * 1000),
            )
            on_released()

        def ask(vm: ListedVm) -> None:
            def answered(answer: Any) -> None:
                if isinstance(answer, PeerLost):
                    logs.log_event(
                        "release_unanswered",
                        level=logs.Level.WARNING,
                        group=record.group,
                        version=version_text(record.version),
                        of=vm.name,
                    )
                elif answer.recordSeen.version >= record.version:
                    released(vm.name)

            self._peers.ask(vm.address, _news(record), TIMEOUT, answered)

        for vm in vms:
            if vm.name != self._board.vm:
                ask(vm)
        group = self._board.group(record.group)
        self._let_go(group, record, lambda: released(self._board.vm))

    # Letting go.

    def _on_news(self, message: Any, reply: Reply) -> None:
        raw = orjson.loads(message.recordNews.record)
        record = read_record(
            Found(
                kind=RECORD_KIND,
                name=raw["name"],
                version=raw["version"],
                value=raw["value"],
            )
        )
        if record is None:
            return
        self._records.apply(record)
        if record.change is None:
            # A record by word of mouth is no proof; the store gives one.
            self._records.request_read(record.group)

        def done() -> None:
            answer = new_envelope()
            seen = answer.init("recordSeen")
            seen.vm = self._board.vm
            seen.version = record.version
            reply(answer)

        self._let_go(self._board.group(record.group), record, done)

    def _let_go(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        on_done: Callable[[], None],
    ) -> None:
        """Stop using the old primary, once what is under way is answered."""
        until = self._reactor.now() + GRACE

        def check() -> None:
            outgoing = group.outgoing_primary
            known = group.record
            same = known is not None and known.version == record.version
            if same and record.change is not None and outgoing is not None:
                busy = group.observed_target(outgoing.target).in_flight > 0
                if busy and self._reactor.now() < until:
                    self._reactor.call_later(RECHECK, check)
                    return
                group.outgoing_primary = None
            on_done()

        check()


def _news(record: PrimaryRecord) -> Any:
    message = new_envelope()
    message.init("recordNews").record = orjson.dumps(
        {
            "name": record.group,
            "version": record.version,
            "value": encode_record(record),
        }
    )
    return message
