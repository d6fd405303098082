"""Store the choice of VMs that count operations, on the leader."""

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
from bamboospring.sessions.quota_holders import holders_to_restore
from bamboospring.sessions.quota_holders import next_holders
from bamboospring.sessions.quota_holders import QuotaHolders
from bamboospring.sessions.quota_holders import QuotaVm
from bamboospring.store_version import version_text

__all__ = [
    "HOLDERS_NAME",
    "QuotaKeeper",
    "decode_holders",
    "encode_holders",
]

# The object is stored with the groups' records, so that every read of them
# confirms it.
HOLDERS_NAME = "quota"
STORE_TIMEOUT = 1.0

VmRow = tuple[str, str, str]


class _Holders(BaseModel):
    model_config = ConfigDict(strict=False)

    vms: list[VmRow]
    previous: list[VmRow] | None = None
    era: int = 0


def encode_holders(holders: QuotaHolders) -> dict[str, Any]:
    """Encode the choice as the value to store."""
    previous = holders.previous
    return {
        "vms": _encode_vms(holders.vms),
        "era": holders.era,
        "previous": None if previous is None else _encode_vms(previous),
    }


def decode_holders(found: Found) -> QuotaHolders | None:
    """Decode a stored choice; log and return None if it is invalid."""
    try:
        raw = _Holders.model_validate(found.value)
    except ValidationError as exc:
        logs.log_event(
            "quota_holders_unreadable",
            level=logs.Level.ERROR,
            version=version_text(found.version),
            reason=str(exc.errors()[0]["type"]),
        )
        return None
    return QuotaHolders(
        version=found.version,
        era=raw.era,
        vms=_decode_vms(raw.vms),
        previous=None if raw.previous is None else _decode_vms(raw.previous),
    )


def _encode_vms(vms: tuple[QuotaVm, ...]) -> list[VmRow]:
    return [(vm.name, vm.address, vm.availability_zone) for vm in vms]


def _decode_vms(rows: list[VmRow]) -> tuple[QuotaVm, ...]:
    return tuple(
        QuotaVm(name=name, address=address, availability_zone=zone)
        for name, address, zone in rows
    )


class QuotaKeeper:
    """Updates the stored choice when the list of VMs changes."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        confirmed_at: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._confirmed_at = confirmed_at
        self._is_storing = False
        self._known: QuotaHolders | None = None
        self._known_since = reactor.now()
        self._listed: list[QuotaVm] = []

    def restore(self) -> None:
        """Store the choice again if the store may have lost it."""
        known, unsettled = (
            self._board.quota_holders,
            self._board.quota_unsettled,
        )
        restored_at = self._platform.restored_at
        if known is None or unsettled is None or restored_at is None:
            return
        wanted = holders_to_restore(
            known,
            unsettled,
            confirmed_at=self._confirmed_at(),
            restored_at=restored_at,
            now=self._reactor.now(),
        )
        if wanted is not None and not self._is_storing:
            self._store(wanted)

    def update(self, listed: Iterable[QuotaVm]) -> None:
        """Store the next step, if one is due; `listed` are all VMs."""
        catalog = self._board.catalog
        if catalog is None or not catalog.teams:
            return
        if self._board.quota_unsettled is not None:
            return
        now = self._reactor.now()
        current = self._board.quota_holders
        if current != self._known:
            self._known, self._known_since = current, now
        vms = sorted(listed, key=lambda vm: vm.name)
        before, self._listed = self._listed, vms
        if current is None and vms != before:
            # A fleet that has just started is still growing, and each change
            # of the choice takes seconds during which fewer VMs count.
            return
        wanted = next_holders(
            current,
            vms,
            known_for=now - self._known_since,
            era=self._platform.era,
        )
        if wanted is not None:
            self._store(wanted)

    def _store(self, holders: QuotaHolders) -> None:
        self._is_storing = True

        def on_result(
            result: Stored | Conflict | Rejected | Unavailable,
        ) -> None:
            self._is_storing = False
            # The stored object is read together with the records.
            logs.log_event(
                "quota_holders_stored",
                outcome=type(result).__name__,
                vms=len(holders.vms),
                handing_over=holders.previous is not None,
            )

        self._platform.put(
            RECORD_KIND,
            HOLDERS_NAME,
            holders.version,
            encode_holders(holders),
            "quota",
            on_result,
            timeout=STORE_TIMEOUT,
        )
