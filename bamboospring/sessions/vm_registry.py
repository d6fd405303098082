"""The VMs that serve sessions, as listed in the platform's store.

Every VM stores an entry before it takes its first proof of a primary, and
renews it while it runs. The leader of a change of primary reads the entries
after it has stored its intent. All VMs that may hold an earlier proof are on
that list, so once each of them has released its proof there is no need to
wait.

The leader removes an entry that has not been renewed for a long time. A VM
that could not renew its own entry for most of that time stops taking proofs,
so no VM without an entry ever takes one.

An entry also tells which version of the list of targets its VM had. The list
only gets newer, so a change of primary knows which targets the VM asks at
least (see `outstanding_proofs`).

A store that is restored from an older copy may have lost entries. A VM that
notices this stores its entry again before it takes another proof. A VM that
can't read the store does not notice, and takes proofs until its last renewal
is too old, so for that long the list may lack a VM that holds a proof.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
import zlib

from bamboospring import logs
from bamboospring.object_store import Changes
from bamboospring.object_store import Conflict
from bamboospring.object_store import Deleted
from bamboospring.object_store import Found
from bamboospring.object_store import Rejected
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.reactor import Reactor
from bamboospring.reactor import Timer
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.proofs import PROOF_LIFETIME
from bamboospring.store_version import era_of
from bamboospring.store_version import version_text

__all__ = ["VM_KIND", "ListedVm", "VmRegistry", "decode_vm"]

VM_KIND = "vms"
# Seconds between renewals of a VM's entry, age of the last renewal at which
# the VM stops taking proofs, and age at which its entry is removed.
RENEW_INTERVAL = 15.0
MAX_RENEWAL_AGE = 45.0
REMOVE_AFTER = 60.0
# Seconds after its last renewal at which a VM certainly holds no proof any
# more. Clock rates may differ by up to 5%.
PROOFS_ENDED_AFTER = (MAX_RENEWAL_AGE + PROOF_LIFETIME) * 1.05
RETRY_DELAY = 0.3
# Entries are renewed early within this many seconds.
EARLY_RENEWAL_DELAY = 2.0
LIST_TIMEOUT = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedVm:
    """One VM's entry; each start of its process has a new `nonce`.

    `targets_version` is the version of its list of targets when it stored the
    entry; 0 if it had none, or is of a release that does not tell it.
    """

    name: str
    address: str
    availability_zone: str
    nonce: str
    version: int = 0
    targets_version: int = 0


def decode_vm(found: Found) -> ListedVm | None:
    """Decode an entry; return None if it is invalid."""
    raw: Any = found.value
    try:
        return ListedVm(
            name=found.name,
            address=str(raw["address"]),
            availability_zone=str(raw["availability_zone"]),
            nonce=str(raw["nonce"]),
            version=found.version,
            targets_version=int(raw.get("targets_version", 0)),
        )
    except (KeyError, TypeError, ValueError, AttributeError):
        return None


class VmRegistry:
    """Stores this VM's entry and reads those of the others."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        local_vm: ListedVm,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self.local_vm = local_vm
        self._version = 0
        # The targets that the stored entry shows, and the era of their list.
        self._shown_targets: frozenset[str] = frozenset()
        self._shown_era = 0
        self._renewal_due_at = 0.0
        # Differs between VMs, which see a new list at about the same time.
        self._renewal_spread = EARLY_RENEWAL_DELAY * (
            zlib.crc32(local_vm.nonce.encode()) % 1000 / 1000
        )
        self._renewals = 0
        self.is_started = False
        self._renewed_at = -1e9
        self._timer: Timer | None = None
        # By VM, the version of its entry and when it was first read.
        self._unchanged_since: dict[str, tuple[int, float]] = {}
        self.vms: dict[str, ListedVm] = {}

    def start(self, on_registered: Callable[[], None]) -> None:
        """Store the entry, call back once it is stored, and keep renewing."""
        self.is_started = True
        self._platform.on_restored.append(self._on_store_restored)
        self._store_entry(on_registered)

    def can_take_proofs(self, now: float) -> bool:
        """Return whether this VM's entry certainly is in the list."""
        return now - self._renewed_at < MAX_RENEWAL_AGE

    def may_hold_proof(self, vm: ListedVm, now: float) -> bool:
        """Return whether a VM has renewed its entry recently enough."""
        _version, since = self._unchanged_since.get(vm.name, (0, now))
        return now - since < PROOFS_ENDED_AFTER

    def on_targets_listed(self) -> None:
        """Handle a new list of targets: renew the entry early if it is due.

        It is due if the entry shows no replica that a group still has. A
        change of primary could not tell that this VM asks any of those.
        """
        timer, now = self._timer, self._reactor.now()
        if timer is None or not self._board.targets_version:
            return
        due_at = now + self._renewal_spread
        if due_at < self._renewal_due_at and self._lacks_replicas():
            timer.cancel()
            self._schedule_renewal(self._renewal_spread)

    def _lacks_replicas(self) -> bool:
        """Return whether a group has replicas, none of which is shown."""
        if era_of(self._board.targets_version) > self._shown_era:
            return True
        for group in self._board.groups.values():
            primary = group.record.primary if group.record else ""
            replicas = group.targets.keys() - {primary}
            if replicas and not replicas & self._shown_targets:
                return True
        return False

    def _schedule_renewal(self, delay: float) -> None:
        self._renewal_due_at = self._reactor.now() + delay
        self._timer = self._reactor.call_later(delay, self._renew)

    def is_complete(self, now: float) -> bool:
        """Return whether every VM that may hold a proof is in the list."""
        restored_at = self._platform.restored_at
        return restored_at is None or now - restored_at >= MAX_RENEWAL_AGE

    def _on_store_restored(self) -> None:
        self._renewed_at = -1e9
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._store_entry(None)

    def refresh(
        self, on_listed: Callable[[dict[str, ListedVm] | None], None]
    ) -> None:
        """Read all entries; call back with None if the read fails."""

        def on_result(result: Changes | Unavailable) -> None:
            if isinstance(result, Unavailable):
                on_listed(None)
                return
            vms = [decode_vm(found) for found in result.objects]
            self.vms = {vm.name: vm for vm in vms if vm is not None}
            self._note_renewals()
            on_listed(self.vms)

        self._platform.list(VM_KIND, "vms", on_result, timeout=LIST_TIMEOUT)

    def _note_renewals(self) -> None:
        """Note since when each entry has been as it is."""
        now = self._reactor.now()
        known = self._unchanged_since
        self._unchanged_since = {}
        for vm in self.vms.values():
            before = known.get(vm.name)
            if before is None or before[0] != vm.version:
                before = (vm.version, now)
            self._unchanged_since[vm.name] = before

    def remove_expired(self, now: float) -> None:
        """Remove entries that have not been renewed for too long."""
        for vm in list(self.vms.values()):
            _version, since = self._unchanged_since[vm.name]
            is_expired = now - since >= REMOVE_AFTER
            if is_expired and vm.name != self.local_vm.name:
                self._remove(vm)

    def _remove(self, vm: ListedVm) -> None:
        def on_result(result: Deleted | Conflict | Unavailable) -> None:
            logs.log_event(
                "vm_removed",
                of=vm.name,
                version=version_text(vm.version),
                outcome=type(result).__name__,
            )

        self._platform.delete(VM_KIND, vm.name, vm.version, "vms", on_result)

    def _renew(self) -> None:
        self._timer = None
        self._store_entry(None)

    def _store_entry(self, on_registered: Callable[[], None] | None) -> None:
        self._renewals += 1
        sent_at = self._reactor.now()
        shown_era = era_of(self._board.targets_version)
        shown_targets = frozenset(
            name
            for group in self._board.groups.values()
            for name in group.targets
        )
        value = {
            "address": self.local_vm.address,
            "availability_zone": self.local_vm.availability_zone,
            "nonce": self.local_vm.nonce,
            "renewals": self._renewals,
            "targets_version": self._board.targets_version,
        }

        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            match result:
                case Stored(version=version) if self._is_lost(version):
                    # The store was restored after it accepted this entry.
                    self._version = version
                    self._reactor.call_later(
                        0, lambda: self._store_entry(on_registered)
                    )
                    return
                case Stored(version=version):
                    self._version = version
                    self._renewed_at = sent_at
                    self._shown_era = shown_era
                    self._shown_targets = shown_targets
                    if on_registered is not None:
                        on_registered()
                    self._schedule_renewal(RENEW_INTERVAL)
                    return
                case Conflict(version=version):
                    # The entry of an earlier process, or this VM's renewal
                    # whose answer was lost. Replaced at once, because a VM
                    # that has just started can't serve callers without it.
                    self._version = version
                    self._reactor.call_later(
                        0, lambda: self._store_entry(on_registered)
                    )
                    return
            self._reactor.call_later(
                RETRY_DELAY, lambda: self._store_entry(on_registered)
            )

        self._platform.put(
            VM_KIND, self.local_vm.name, self._version, value, "vm", on_result
        )

    def _is_lost(self, version: int) -> bool:
        return era_of(version) < self._platform.era
