"""Hold the lease under which one VM leads changes of primary.

The lease is an object beside the groups' records, so that every read of them
shows it too and no VM has to ask for it. Its fencing number is the version of
the object when the holder took it: versions only grow, over eras of the store
as well, so a later holder always has a higher one.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
import secrets
import zlib

from bamboospring.blackboard import Lease
from bamboospring.lease import LeaseKeeper
from bamboospring.lease import LeaseTiming
from bamboospring.lease import LeaseValue
from bamboospring.lease import ObservedLease
from bamboospring.lease import ReadLease
from bamboospring.lease import WriteLease
from bamboospring.lease_client import decode_lease
from bamboospring.lease_client import encode_lease
from bamboospring.lease_client import LeaseCallResult as LeaseResult
from bamboospring.lease_client import pass_result_to_keeper
from bamboospring import logs
from bamboospring.object_store import Found
from bamboospring.platform_client import PlatformClient
from bamboospring.reactor import Reactor
from bamboospring.sessions.group_records import RECORD_KIND
from bamboospring.sessions.model import SessionBoard
from bamboospring.sessions.record_keeper import RecordKeeper
from bamboospring.store_version import era_of
from bamboospring.store_version import version_text

__all__ = ["LeaderLease", "LeaseHolder", "LEASE_NAME"]

LEASE_NAME = "lease"
# VMs that would take a free lease do so this many ranks apart at most.
RANKS = 8
STORE_TIMEOUT = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseHolder:
    """Who holds the lease, by its own word; `version` is the lease's."""

    vm: str
    address: str
    version: int


class LeaderLease:
    """This VM's part in the lease under which changes are led."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: SessionBoard,
        platform: PlatformClient,
        records: RecordKeeper,
        address: str,
        timing: LeaseTiming,
        on_changed: Callable[[bool], None],
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        self._on_changed = on_changed
        self._told = LeaseHolder(vm="", address="", version=0)
        nonce = secrets.token_hex(8)
        self._keeper = LeaseKeeper(
            bucket=0,
            vm=board.vm,
            nonce=nonce,
            timing=timing,
            address=address,
        )
        self._rank = zlib.crc32(nonce.encode()) % RANKS
        self._awaiting_read = False
        self._led = False
        records.is_leader = lambda: self.is_held
        records.on_other = self._lease_seen
        records.on_read = self._records_read

    @property
    def is_held(self) -> bool:
        """Tell whether this VM may act now."""
        return self.holds_until(self._reactor.now())

    @property
    def fence(self) -> int:
        """Return the number of this holding, for orders."""
        return self._keeper.fence

    def holds_until(self, instant: float) -> bool:
        """Tell whether this VM may act at least until an instant."""
        return self._keeper.holds(instant)

    def blocks_others(self) -> int:
        """Return 1 while others wait for our lease to end."""
        return int(self._keeper.blocks_others(self._reactor.now()))

    def holder(self) -> str:
        """Return the name of the VM that holds the lease, as last seen."""
        lease = self._keeper.as_lease()
        if self._told.version > lease.version:
            return self._told.vm
        return lease.vm

    def holder_address(self) -> str:
        """Return where other VMs reach the holder, as last seen."""
        if self._told.version > self._keeper.as_lease().version:
            return self._told.address
        return self._keeper.holder_address()

    def record_holder(self, holder: LeaseHolder) -> None:
        """Take from a VM that it has taken the lease.

        A VM that can't read the store finds its way to the new leader's
        facts by this alone.
        """
        if holder.version > self._told.version:
            self._told = holder

    def last_seen_lease(self) -> Lease:
        """Return the lease as last seen."""
        return self._keeper.as_lease()

    def apply_relayed(
        self, version: int, duration: float, asked_at: float
    ) -> None:
        """Take from its holder that the lease has this version now.

        What marks one renewal from the next matters only to the holder.
        """
        value = LeaseValue(
            vm=self.holder(),
            nonce="",
            duration=duration,
            address=self.holder_address(),
            era=era_of(version),
        )
        seen = ObservedLease(version=version, value=value)
        self._take_seen(seen, asked_at)

    def _take_seen(self, seen: ObservedLease, asked_at: float) -> None:
        now = self._reactor.now()
        if not self._awaiting_read:
            self._keeper.on_observed(now, seen)
            return
        self._awaiting_read = False
        self._keeper.on_read(asked_at, now, seen)

    def step(self) -> None:
        """Make the call that is due, if any."""
        now = self._reactor.now()
        rank = None if self._board.draining else self._rank
        action = self._keeper.step(now, rank)
        match action:
            case ReadLease():
                self._awaiting_read = True
            case WriteLease():
                self._write_lease(action)
        self._log_lead()

    def _log_lead(self) -> None:
        if self.is_held == self._led:
            return
        self._led = self.is_held
        lease = self._keeper.as_lease()
        logs.log_event(
            "lease_taken" if self._led else "lease_lost",
            version=version_text(lease.version),
            fence=self._keeper.fence,
            holder=lease.vm,
        )
        self._on_changed(self._led)

    def _write_lease(self, action: WriteLease) -> None:
        sent_at = self._reactor.now()

        def on_result(result: LeaseResult) -> None:
            now = self._reactor.now()
            pass_result_to_keeper(self._keeper, action, result, sent_at, now)

        self._platform.put(
            RECORD_KIND,
            LEASE_NAME,
            action.if_version,
            encode_lease(action.value),
            "lease",
            on_result,
            timeout=STORE_TIMEOUT,
        )

    def _lease_seen(self, found: Found, asked_at: float) -> None:
        if found.name == LEASE_NAME:
            seen = decode_lease(found.version, found.value)
            self._take_seen(seen, asked_at)

    def _records_read(self, asked_at: float, era: int) -> None:
        """Note that the records were read and there was no lease in them."""
        if self._awaiting_read:
            self._awaiting_read = False
            seen = ObservedLease(
                version=0,
                value=decode_lease(0, None).value,
                missing_in_era=era,
            )
            self._keeper.on_read(asked_at, self._reactor.now(), seen)
