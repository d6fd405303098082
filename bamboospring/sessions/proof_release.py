"""Ask all VMs to release their proof of a primary, and send them records.

A change of primary that only waits for proofs to expire stops writes for the
lifetime of a proof. VMs answer a request in milliseconds, so the wait is
needed only if one of them does not answer. A change that waits for longer
reads the list of VMs again: a VM that does not answer may have started anew.
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
from bamboospring.sessions.proofs import PROMOTION_WAIT
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
# Seconds after which the list of VMs is read again if that failed, or if the
# change is still waiting. Most changes are over before that.
LIST_RETRY_DELAY = 0.25
RELIST_INTERVAL = PROMOTION_WAIT + 0.4

# Called with the version of each VM's list of targets, and whether the list of
# VMs may lack some.
OnListed = Callable[[dict[str, int], bool], None]


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
        self.reactor = reactor
        self.peers = peers
        self.registry = registry
        self._board = board
        self._records = records
        peers.add_handler("recordNews", self._on_record_news)

    def request(
        self,
        record: PrimaryRecord,
        is_waiting: Callable[[], bool],
        on_listed: OnListed,
        on_released: Callable[[str], None],
    ) -> None:
        """Ask every VM to release its proof of the primary of a record.

        `on_listed` is called with the VMs that may hold a proof, again while
        the change waits. `on_released` is called with each VM that has
        released its proof. Nothing is asked any more once `is_waiting`
        returns false.
        """
        _ReleaseRequest(
            releases=self,
            record=record,
            is_waiting=is_waiting,
            on_listed=on_listed,
            on_released=on_released,
        ).start()

    def release_own(
        self, record: PrimaryRecord, on_released: Callable[[], None]
    ) -> None:
        """Release this VM's own proof."""
        group = self._board.group(record.group)
        self._release(group, record, on_released)

    @property
    def vm(self) -> str:
        """Return the name of this VM."""
        return self._board.vm

    def publish(self, record: PrimaryRecord, version: int) -> None:
        """Apply a stored record without a change, and announce it to all VMs.

        Any VM may call this, and only the leader keeps the list of VMs
        current, so the list is read first.
        """
        stored = dataclasses.replace(record, version=version)
        self._records.apply(stored)
        self._records.request_read(record.group)
        self.registry.refresh(lambda _vms: self.announce_record(stored))

    def announce_record(self, record: PrimaryRecord) -> None:
        """Send a record to all VMs; those that miss it read it later."""
        for vm in self.registry.vms.values():
            if vm.name != self._board.vm:
                self.peers.ask(
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
        leading.address = self.registry.local_vm.address
        leading.version = version
        others = [
            vm.address
            for vm in self.registry.vms.values()
            if vm.name != self._board.vm
        ]
        self.peers.send_all(others, message)

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
        deadline = self.reactor.now() + IN_FLIGHT_GRACE_PERIOD

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
                if is_busy and self.reactor.now() < deadline:
                    self.reactor.call_later(RECHECK_INTERVAL, check)
                    return
                group.outgoing_primary = None
            on_complete()

        check()


class _ReleaseRequest:
    """One request to all VMs to release their proof of a primary."""

    def __init__(
        self,
        *,
        releases: ProofReleases,
        record: PrimaryRecord,
        is_waiting: Callable[[], bool],
        on_listed: OnListed,
        on_released: Callable[[str], None],
    ) -> None:
        self._releases = releases
        self._record = record
        self._is_waiting = is_waiting
        self._on_listed = on_listed
        self._on_released = on_released
        self._started_at = releases.reactor.now()
        # The VMs that were listed first and have not released their proofs.
        self._unreleased: dict[str, ListedVm] | None = None

    def start(self) -> None:
        """Read the list of VMs, and ask those that have not answered."""
        if not self._is_waiting() or self._unreleased == {}:
            return
        self._releases.registry.refresh(self._on_vms)

    def _on_vms(self, vms: dict[str, ListedVm] | None) -> None:
        call_later = self._releases.reactor.call_later
        if vms is None:
            call_later(LIST_RETRY_DELAY, self.start)
            return
        call_later(RELIST_INTERVAL, self.start)
        registry, now = self._releases.registry, self._releases.reactor.now()
        known = self._unreleased
        if known is None:
            vms = {registry.local_vm.name: registry.local_vm, **vms}
        self._unreleased = {
            name: vm
            for name, vm in vms.items()
            if registry.may_hold_proof(vm, now)
            and (known is None or _is_same_process(known.get(name), vm))
        }
        lists = {
            name: vm.targets_version for name, vm in self._unreleased.items()
        }
        self._on_listed(lists, not registry.is_complete(now))
        for vm in list(self._unreleased.values()):
            self._ask(vm)

    def _ask(self, vm: ListedVm) -> None:
        releases, record = self._releases, self._record
        if vm.name == releases.vm:
            releases.release_own(record, lambda: self._on_vm_released(vm.name))
            return

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
                self._on_vm_released(vm.name)

        def answered_first(answer: Any) -> None:
            if not isinstance(answer, PeerLost):
                answered(answer)
                return
            releases.peers.ask_anew(
                vm.address, _record_message(record), ANSWER_TIMEOUT, answered
            )

        releases.peers.ask(
            vm.address,
            _record_message(record),
            RELEASE_RETRY_DELAY,
            answered_first,
        )

    def _on_vm_released(self, vm: str) -> None:
        if self._unreleased is None or vm not in self._unreleased:
            return
        del self._unreleased[vm]
        if not self._unreleased:
            elapsed = self._releases.reactor.now() - self._started_at
            logs.log_event(
                "proofs_released",
                group=self._record.group,
                version=version_text(self._record.version),
                took_ms=round(elapsed * 1000),
            )
        self._on_released(vm)


def _is_same_process(known: ListedVm | None, vm: ListedVm) -> bool:
    return known is not None and known.nonce == vm.nonce


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
