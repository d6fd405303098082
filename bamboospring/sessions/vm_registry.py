"""The VMs that serve sessions, as the platform's store lists them.

Every VM files an entry before it takes its first proof of a primary and
renews it while it runs. Whoever changes a primary reads the entries after its
intent is stored: all VMs that may hold a proof from before are on that list,
and once each of them has let go of it nobody is left to wait for.

An entry is removed by the leader once it has not been renewed for a long
time. A VM that could not renew its own for most of that time stops taking
proofs, so that none is ever taken by a VM that is on no list.

A store that comes back from an older copy may have lost entries. A VM that
hears of it files its own again before it takes another proof. One that does
not hear of it, since it can't read the store, goes on for as long as without
any renewal, so for that long the list may lack a VM that holds a proof.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

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
from bamboospring.store_version import era_of
from bamboospring.store_version import version_text

__all__ = ["VM_KIND", "ListedVm", "VmRegistry", "read_vm"]

VM_KIND = "vms"
# Seconds between renewals of a VM's entry, after how long without one it
# takes no more proofs, and after how long its entry is removed.
RENEW = 15.0
ISOLATED_AFTER = 45.0
REMOVE_AFTER = 60.0
RETRY = 0.3
LIST_TIMEOUT = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class ListedVm:
    """One VM's entry; `nonce` tells one life of it from the next."""

    name: str
    address: str
    availability_zone: str
    nonce: str
    version: int = 0


def read_vm(found: Found) -> ListedVm | None:
    """Read an entry; None if it is none."""
    raw: Any = found.value
    try:
        return ListedVm(
            name=found.name,
            address=str(raw["address"]),
            availability_zone=str(raw["availability_zone"]),
            nonce=str(raw["nonce"]),
            version=found.version,
        )
    except (KeyError, TypeError):
        return None


class VmRegistry:
    """Files this VM's entry and reads those of the others."""

    def __init__(
        self, *, reactor: Reactor, platform: PlatformClient, local_vm: ListedVm
    ) -> None:
        self._reactor = reactor
        self._platform = platform
        self.local_vm = local_vm
        self._version = 0
        self._renewals = 0
        self._filed_at = -1e9
        self._timer: Timer | None = None
        self._unmoved: dict[str, tuple[int, float]] = {}
        self.vms: dict[str, ListedVm] = {}

    def start(self, on_filed: Callable[[], None]) -> None:
        """File the entry, call back once it is, and go on renewing it."""
        self._platform.on_restored.append(self._store_returned)
        self._file(on_filed)

    def can_take_proofs(self, now: float) -> bool:
        """Tell whether this VM is surely on every list."""
        return now - self._filed_at < ISOLATED_AFTER

    def is_whole(self, now: float) -> bool:
        """Tell whether every VM that may hold a proof is on the list."""
        returned_at = self._platform.restored_at
        return returned_at is None or now - returned_at >= ISOLATED_AFTER

    def _store_returned(self) -> None:
        self._filed_at = -1e9
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._file(None)

    def refresh(
        self, on_listed: Callable[[dict[str, ListedVm] | None], None]
    ) -> None:
        """Read all entries; calls back with None if they can't be had."""

        def answered(result: Changes | Unavailable) -> None:
            if isinstance(result, Unavailable):
                on_listed(None)
                return
            vms = [read_vm(found) for found in result.objects]
            self.vms = {vm.name: vm for vm in vms if vm is not None}
            on_listed(self.vms)

        self._platform.list(VM_KIND, "vms", answered, timeout=LIST_TIMEOUT)

    def remove_lapsed(self, now: float) -> None:
        """Remove the entries of VMs that have long been gone."""
        for vm in list(self.vms.values()):
            version, since = self._unmoved.get(vm.name, (0, now))
            if version != vm.version:
                since = now
            self._unmoved[vm.name] = (vm.version, since)
            if now - since >= REMOVE_AFTER and vm.name != self.local_vm.name:
                self._remove(vm)

    def _remove(self, vm: ListedVm) -> None:
        self._unmoved.pop(vm.name, None)

        def answered(result: Deleted | Conflict | Unavailable) -> None:
            logs.log_event(
                "vm_removed",
                of=vm.name,
                version=version_text(vm.version),
                outcome=type(result).__name__,
            )

        self._platform.delete(VM_KIND, vm.name, vm.version, "vms", answered)

    def _renew(self) -> None:
        self._timer = None
        self._file(None)

    def _file(self, on_filed: Callable[[], None] | None) -> None:
        self._renewals += 1
        sent_at = self._reactor.now()
        value = {
            "address": self.local_vm.address,
            "availability_zone": self.local_vm.availability_zone,
            "nonce": self.local_vm.nonce,
            "renewals": self._renewals,
        }

        def answered(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            match result:
                case Stored(version=version) if self._is_lost(version):
                    # The store has come back since it took this.
                    self._version = version
                    self._reactor.call_later(0, lambda: self._file(on_filed))
                    return
                case Stored(version=version):
                    self._version = version
                    self._filed_at = sent_at
                    if on_filed is not None:
                        on_filed()
                    self._timer = self._reactor.call_later(RENEW, self._renew)
                    return
                case Conflict(version=version):
                    # The entry of an earlier life, or our own renewal whose
                    # answer was lost. It is replaced at once: until then a
                    # VM that has just started can serve nobody.
                    self._version = version
                    self._reactor.call_later(0, lambda: self._file(on_filed))
                    return
            self._reactor.call_later(RETRY, lambda: self._file(on_filed))

        self._platform.put(
            VM_KIND, self.local_vm.name, self._version, value, "vm", answered
        )

    def _is_lost(self, version: int) -> bool:
        return era_of(version) < self._platform.era
