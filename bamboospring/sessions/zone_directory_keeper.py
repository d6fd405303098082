"""Store the directory of each zone's VMs, and use it after a restart."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import ValidationError

from bamboospring import logs
from bamboospring.object_store import Conflict
from bamboospring.object_store import Found
from bamboospring.object_store import Rejected
from bamboospring.object_store import Stored
from bamboospring.object_store import Unavailable
from bamboospring.platform_client import PlatformClient
from bamboospring.reactor import Reactor
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.vm_registry import ListedVm
from bamboospring.sessions.zone_directory import next_directory
from bamboospring.sessions.zone_directory import ZoneDirectory
from bamboospring.sessions.zone_holders import ZoneHolders
from bamboospring.sessions.zone_holders import ZoneVm
from bamboospring.store_version import version_text

__all__ = [
    "DIRECTORY_NAME",
    "ZoneDirectoryKeeper",
    "decode_directory",
    "encode_directory",
]

# The object is stored with the groups' records, so that it costs no read.
DIRECTORY_NAME = "zones"
STORE_TIMEOUT = 1.0


class _Directory(BaseModel):
    model_config = ConfigDict(strict=False)

    vm_count: int
    zones: dict[str, list[tuple[str, str]]]


def encode_directory(directory: ZoneDirectory) -> dict[str, Any]:
    """Encode a directory as the value to store."""
    return {
        "vm_count": directory.vm_count,
        "zones": {
            zone: [(vm.name, vm.address) for vm in vms]
            for zone, vms in directory.zones.items()
        },
    }


def decode_directory(found: Found) -> ZoneDirectory | None:
    """Decode a stored directory; log and return None if it is invalid."""
    try:
        raw = _Directory.model_validate(found.value)
    except ValidationError as exc:
        logs.log_event(
            "zone_directory_unreadable",
            level=logs.Level.ERROR,
            version=version_text(found.version),
            reason=str(exc.errors()[0]["type"]),
        )
        return None
    return ZoneDirectory(
        version=found.version,
        vm_count=raw.vm_count,
        zones={
            zone: tuple(ZoneVm(name=name, address=at) for name, at in rows)
            for zone, rows in raw.zones.items()
        },
    )


class ZoneDirectoryKeeper:
    """Applies the stored directory; the leader also updates it.

    `on_members` is called after the directory has set the zone's VMs.
    """

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        holders: ZoneHolders,
        on_members: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._holders = holders
        self._on_members = on_members
        self._current: ZoneDirectory | None = None
        self._is_storing = False

    def apply(self, found: Found, _asked_at: float) -> None:
        """Apply the directory, read with the groups' records."""
        if self._current is None or found.version != self._current.version:
            # One that can't be decoded counts as empty, so that the leader
            # replaces it.
            self._current = decode_directory(found) or ZoneDirectory(
                version=found.version, vm_count=0, zones={}
            )
        if self._board.load_control:
            self._use(self._current)

    def _use(self, directory: ZoneDirectory) -> None:
        """Set the zone's VMs unless a relay has told a recent list."""
        vms = directory.zones.get(self._board.availability_zone, ())
        now = self._reactor.now()
        is_new = self._holders.members != vms
        if not vms or is_new and self._holders.is_current(now):
            return
        self._holders.update_members(vms, now)
        if not is_new:
            return
        self._board.vm_count = max(1, directory.vm_count)
        logs.log_event(
            "zone_directory_used",
            version=version_text(directory.version),
            vms=len(vms),
            vm_count=directory.vm_count,
        )
        self._on_members()

    def update(self, listed: Iterable[ListedVm]) -> None:
        """Store the directory if it has changed; `listed` are all VMs."""
        if not self._board.load_control or self._is_storing:
            return
        wanted = next_directory(self._current, listed)
        if wanted is not None:
            self._store(wanted)

    def _store(self, directory: ZoneDirectory) -> None:
        self._is_storing = True

        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            self._is_storing = False
            # The stored object is read together with the records.
            logs.log_event(
                "zone_directory_stored",
                outcome=type(result).__name__,
                zones=len(directory.zones),
                vms=sum(map(len, directory.zones.values())),
            )

        self._platform.put(
            RECORD_KIND,
            DIRECTORY_NAME,
            directory.version,
            encode_directory(directory),
            "zones",
            on_result,
            timeout=STORE_TIMEOUT,
        )
