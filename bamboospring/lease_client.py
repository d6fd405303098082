"""Runs the lease keepers of a VM against the platform."""

from __future__ import annotations

from collections.abc import Callable
import secrets
from typing import Any

from bamboospring.blackboard import Blackboard
from bamboospring.lease import LeaseAction
from bamboospring.lease import LeaseKeeper
from bamboospring.lease import LeaseTiming
from bamboospring.lease import LeaseValue
from bamboospring.lease import ObservedLease
from bamboospring.lease import ReadLease
from bamboospring.lease import WriteLease
from bamboospring.platform_client import Conflict
from bamboospring.platform_client import Found
from bamboospring.platform_client import Missing
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_client import Rejected
from bamboospring.platform_client import Stored
from bamboospring.platform_client import Unavailable
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import BUCKET_COUNT

__all__ = [
    "LeaseCallResult",
    "LeaseManager",
    "decode_lease",
    "encode_lease",
    "pass_result_to_keeper",
]

CALL_TIMEOUT = 1.0

LeaseCallResult = Found | Missing | Stored | Conflict | Rejected | Unavailable


class LeaseManager:
    """The lease keepers of all buckets of this VM."""

    def __init__(
        self,
        *,
        reactor: Reactor,
        board: Blackboard,
        platform: PlatformClient,
        timing: LeaseTiming,
    ) -> None:
        self._reactor = reactor
        self._board = board
        self._platform = platform
        nonce = secrets.token_hex(8)
        self._keepers = [
            LeaseKeeper(
                bucket=bucket,
                vm=board.local_vm.name,
                nonce=nonce,
                timing=timing,
            )
            for bucket in range(BUCKET_COUNT)
        ]

    def holds(self, bucket: int) -> bool:
        """Return whether this VM may act for a bucket at this instant."""
        return self._keepers[bucket].holds(self._reactor.now())

    def count_held(self) -> int:
        """Return how many leases of this VM block other VMs."""
        now = self._reactor.now()
        return sum(keeper.blocks_others(now) for keeper in self._keepers)

    def step(self, rank_of: Callable[[int], int | None]) -> None:
        """Make the calls that are due; `rank_of` returns this VM's ranks."""
        for keeper in self._keepers:
            now = self._reactor.now()
            action = keeper.step(now, rank_of(keeper.bucket))
            if action is not None:
                self._send(keeper, action)

    def _send(self, keeper: LeaseKeeper, action: LeaseAction) -> None:
        sent_at = self._reactor.now()
        name = str(keeper.bucket)
        purpose = f"lease/{name}"

        def on_result(result: LeaseCallResult) -> None:
            now = self._reactor.now()
            pass_result_to_keeper(keeper, action, result, sent_at, now)
            self._board.leases[keeper.bucket] = keeper.as_lease()

        match action:
            case ReadLease():
                self._platform.get(
                    "lease", name, purpose, on_result, timeout=CALL_TIMEOUT
                )
            case WriteLease():
                self._platform.put(
                    "lease",
                    name,
                    action.if_version,
                    encode_lease(action.value),
                    purpose,
                    on_result,
                    timeout=CALL_TIMEOUT,
                )


def pass_result_to_keeper(
    keeper: LeaseKeeper,
    action: LeaseAction,
    result: LeaseCallResult,
    sent_at: float,
    now: float,
) -> None:
    """Pass the result of a call to its keeper."""
    match result:
        case Stored() if isinstance(action, WriteLease):
            keeper.on_stored(sent_at, now, action, result.version)
        case Found():
            keeper.on_read(
                sent_at, now, decode_lease(result.version, result.value)
            )
        case Missing():
            keeper.on_read(sent_at, now, decode_lease(0, None))
        case Conflict():
            seen = decode_lease(result.version, result.value)
            keeper.on_conflict(sent_at, now, seen)
        case _:
            keeper.on_no_answer(sent_at, now, action)


def encode_lease(value: LeaseValue) -> dict[str, Any]:
    """Encode a lease as the value to store."""
    raw: dict[str, Any] = {
        "vm": value.vm,
        "nonce": value.nonce,
        "duration_ms": round(value.duration * 1000),
    }
    if value.address:
        raw["address"] = value.address
    if value.era:
        raw["era"] = value.era
    return raw


def decode_lease(version: int, raw: Any) -> ObservedLease:
    """Decode a stored lease; a value that is not an object means released."""
    raw = raw if isinstance(raw, dict) else {}
    value = LeaseValue(
        vm=str(raw.get("vm", "")),
        nonce=str(raw.get("nonce", "")),
        duration=float(raw.get("duration_ms", 0)) / 1000,
        address=str(raw.get("address", "")),
        era=int(raw.get("era", 0)),
    )
    return ObservedLease(version=version, value=value)
