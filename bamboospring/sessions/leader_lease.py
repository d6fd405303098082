"""The lease that lets one VM at a time lead changes of primary.

The lease is stored under the same kind as the groups' records, so each read
of the records returns it too and no extra request is needed. The fencing
number is the version of the lease object when the holder acquired it. Versions
only increase, across eras of the store as well, so a later holder always has a
higher number.
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
# VMs that compete for a free lease are staggered over this many ranks.
RANK_COUNT = 8
STORE_TIMEOUT = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseHolder:
    """A VM that announced itself as the holder of the lease at `version`."""

    vm: str
    address: str
    version: int


class LeaderLease:
    """This VM's view of the leader lease, and its attempts to hold it.

    `on_changed` is called with whether the lease is held when that changes.
    """

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
        self._announced_holder = LeaseHolder(vm="", address="", version=0)
        nonce = secrets.token_hex(8)
        self._keeper = LeaseKeeper(
            bucket=0,
            vm=board.vm,
            nonce=nonce,
            timing=timing,
            address=address,
        )
        self._rank = zlib.crc32(nonce.encode()) % RANK_COUNT
        self._awaiting_read = False
        self._was_held = False
        records.is_leader = lambda: self.is_held
        records.on_other_object = self._on_other_object
        records.on_records_read = self._on_records_read

    @property
    def is_held(self) -> bool:
        """Return whether this VM holds the lease now."""
        return self.is_held_until(self._reactor.now())

    @property
    def fence(self) -> int:
        """Return the fencing number to send with orders."""
        return self._keeper.fence

    def is_held_until(self, instant: float) -> bool:
        """Return whether this VM holds the lease at least until `instant`."""
        return self._keeper.holds(instant)

    def blocks_others(self) -> int:
        """Return 1 while other VMs wait for this VM's lease to expire."""
        return int(self._keeper.blocks_others(self._reactor.now()))

    def holder(self) -> str:
        """Return the name of the last known holder of the lease."""
        lease = self._keeper.as_lease()
        if self._announced_holder.version > lease.version:
            return self._announced_holder.vm
        return lease.vm

    def holder_address(self) -> str:
        """Return the peer address of the last known holder of the lease."""
        if self._announced_holder.version > self._keeper.as_lease().version:
            return self._announced_holder.address
        return self._keeper.holder_address()

    def record_holder(self, holder: LeaseHolder) -> None:
        """Record that a VM announced that it holds the lease.

        A VM that can't read the store learns the address of the new leader
        only from this announcement.
        """
        if holder.version > self._announced_holder.version:
            self._announced_holder = holder

    def last_seen_lease(self) -> Lease:
        """Return the last known state of the lease."""
        return self._keeper.as_lease()

    def apply_relayed(
        self, version: int, duration: float, asked_at: float
    ) -> None:
        """Apply the version of the lease that its holder passed on.

        The nonce that distinguishes renewals matters only to the holder.
        """
        value = LeaseValue(
            vm=self.holder(),
            nonce="",
            duration=duration,
            address=self.holder_address(),
            era=era_of(version),
        )
        observed = ObservedLease(version=version, value=value)
        self._observe(observed, asked_at)

    def _observe(self, observed: ObservedLease, asked_at: float) -> None:
        now = self._reactor.now()
        if not self._awaiting_read:
            self._keeper.on_observed(now, observed)
            return
        self._awaiting_read = False
        self._keeper.on_read(asked_at, now, observed)

    def step(self) -> None:
        """Read, acquire or renew the lease if that is due."""
        now = self._reactor.now()
        rank = None if self._board.draining else self._rank
        action = self._keeper.step(now, rank)
        match action:
            case ReadLease():
                self._awaiting_read = True
            case WriteLease():
                self._write_lease(action)
        self._update_held()

    def _update_held(self) -> None:
        if self.is_held == self._was_held:
            return
        self._was_held = self.is_held
        lease = self._keeper.as_lease()
        logs.log_event(
            "lease_taken" if self._was_held else "lease_lost",
            version=version_text(lease.version),
            fence=self._keeper.fence,
            holder=lease.vm,
        )
        self._on_changed(self._was_held)

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

    def _on_other_object(self, found: Found, asked_at: float) -> None:
        if found.name == LEASE_NAME:
            observed = decode_lease(found.version, found.value)
            self._observe(observed, asked_at)

    def _on_records_read(self, asked_at: float, era: int) -> None:
        """Handle a read of the records that did not return the lease."""
        if self._awaiting_read:
            self._awaiting_read = False
            observed = ObservedLease(
                version=0,
                value=decode_lease(0, None).value,
                missing_in_era=era,
            )
            self._keeper.on_read(asked_at, self._reactor.now(), observed)
