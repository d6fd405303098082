"""Ask all VMs to release their proof of a primary, and send them records.

A change of primary that only waits for proofs to expire stops writes for the
lifetime of a proof. VMs answer a request in milliseconds, so the wait is
needed only if one of them does not answer.
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
from bamboospring.sessions.group_records import decode_record
from bamboospring.sessions.group_records import encode_record
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.model import PrimaryRecord
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.model import SessionGroup
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.vm_registry import VmRegistry
from bamboospring.store_version import version_text

__all__ = ["ProofReleases"]

# Timeout in seconds of a VM's answer.
ANSWER_TIMEOUT = 0.7
# After this many seconds without an answer a VM is asked to release its proof
# on a new link. The leader's links to other VMs are mostly idle, so a silent
# one shows only when a change of primary waits for the answer.
RELEASE_RETRY_DELAY = 0.35
# Seconds that requests in flight at the old primary may take before a VM
# releases its proof. The outcome of later answers is unknown.
IN_FLIGHT_GRACE_PERIOD = 0.15
RECHECK_INTERVAL = 0.01


class ProofReleases:
    """Sends records to other VMs, and releases proofs on their request."""

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
        peers.add_handler("recordNews", self._on_record_news)

    def request_release(
        self, record: PrimaryRecord, on_released: Callable[[], None]
    ) -> None:
        """Ask every VM to release its proof; call back if all of them have.

        If the list of VMs may be incomplete, the record is only announced,
        because nothing shows that all VMs have released their proofs.
        """
        if not self._registry.is_complete(self._reactor.now()):
            self._registry.refresh(lambda _vms: self.announce_record(record))
            return

        def on_listed(vms: dict[str, ListedVm] | None) -> None:
            if vms is not None:
                self._ask_vms(record, list(vms.values()), on_released)

        self._registry.refresh(on_listed)

    def publish(self, record: PrimaryRecord, version: int) -> None:
        """Apply a stored record without a change, and announce it to all VMs.

        Any VM may call this, and only the leader keeps the list of VMs
        current, so the list is read first.
        """
        stored = dataclasses.replace(record, version=version)
        self._records.apply(stored)
        self._records.request_read(record.group)
        self._registry.refresh(lambda _vms: self.announce_record(stored))

    def announce_record(self, record: PrimaryRecord) -> None:
        """Send a record to all VMs; those that miss it read it later."""
        for vm in self._registry.vms.values():
            if vm.name != self._board.vm:
                self._peers.ask(
                    vm.address,
                    _record_message(record),
                    ANSWER_TIMEOUT,
                    lambda answer: None,
                )

    def announce_leader(self, version: int) -> None:
        """Tell all VMs that this one holds the lease at this version."""
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

    def _ask_vms(
        self,
        record: PrimaryRecord,
        vms: list[ListedVm],
        on_released: Callable[[], None],
    ) -> None:
        unreleased = {vm.name for vm in vms} | {self._board.vm}
        started_at = self._reactor.now()

        def on_vm_released(vm: str) -> None:
            unreleased.discard(vm)
            if unreleased:
                return
            elapsed = self._reactor.now() - started_at
            logs.log_event(
                "proofs_released",
                group=record.group,
                version=version_text(record.version),
                vms=len(vms),
                took_ms=round(elapsed * 1000),
            )
            on_released()

        def ask_vm(vm: ListedVm) -> None:
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
                    on_vm_released(vm.name)

            def answered_first(answer: Any) -> None:
                if not isinstance(answer, PeerLost):
                    answered(answer)
                    return
                self._peers.ask_anew(
                    vm.address,
                    _record_message(record),
                    ANSWER_TIMEOUT,
                    answered,
                )

            self._peers.ask(
                vm.address,
                _record_message(record),
                RELEASE_RETRY_DELAY,
                answered_first,
            )

        for vm in vms:
            if vm.name != self._board.vm:
                ask_vm(vm)
        group = self._board.group(record.group)
        self._release(group, record, lambda: on_vm_released(self._board.vm))

    # Releasing proofs.

    def _on_record_news(self, message: Any, reply: Reply) -> None:
        raw = orjson.loads(message.recordNews.record)
        record = decode_record(
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
            # A record from another VM is not a proof; a read of the store is.
            self._records.request_read(record.group)

        def acknowledge() -> None:
            answer = new_envelope()
            seen = answer.init("recordSeen")
            seen.vm = self._board.vm
            seen.version = record.version
            reply(answer)

        self._release(self._board.group(record.group), record, acknowledge)

    def _release(
        self,
        group: SessionGroup,
        record: PrimaryRecord,
        on_complete: Callable[[], None],
    ) -> None:
        """Stop using the old primary once requests in flight are answered."""
        deadline = self._reactor.now() + IN_FLIGHT_GRACE_PERIOD

        def check() -> None:
            outgoing = group.outgoing_primary
            known = group.record
            is_current = known is not None and known.version == record.version
            if (
                is_current
                and record.change is not None
                and outgoing is not None
            ):
                is_busy = group.observed_target(outgoing.target).in_flight > 0
                if is_busy and self._reactor.now() < deadline:
                    self._reactor.call_later(RECHECK_INTERVAL, check)
                    return
                group.outgoing_primary = None
            on_complete()

        check()


def _record_message(record: PrimaryRecord) -> Any:
    message = new_envelope()
    message.init("recordNews").record = orjson.dumps(
        {
            "name": record.group,
            "version": record.version,
            "value": encode_record(record),
        }
    )
    return message
