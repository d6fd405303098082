"""Carry out the lease controllers' calls at the platform."""

from __future__ import annotations

from collections.abc import Callable
import secrets
from typing import Any

from bamboospring.blackboard import Blackboard
from bamboospring.lease import LeaseAction
from bamboospring.lease import LeaseKeeper
from bamboospring.lease import LeaseTiming
from bamboospring.lease import LeaseValue
from bamboospring.lease import ReadLease
from bamboospring.lease import SeenLease
from bamboospring.lease import WriteLease
from bamboospring.platform_client import Conflict
from bamboospring.platform_client import Found
from bamboospring.platform_client import Missing
from bamboospring.platform_client import PlatformClient
from bamboospring.platform_client import Rejected
from bamboospring.platform_client import Stored
from bamboospring.platform_client import Unavailable
from bamboospring.reactor import Reactor
from bamboospring.rendezvous import BUCKETS

__all__ = [
    "Leases",
    "Result",
    "encode_lease",
    "read_lease",
    "report_to_keeper",
]

CALL_TIMEOUT = 1.0

Result = Found | Missing | Stored | Conflict | Rejected | Unavailable


class Leases:
    """This VM's part in the leases of all buckets."""

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
                bucket=bucket, vm=board.me.name, nonce=nonce, timing=timing
            )
            for bucket in range(BUCKETS)
        ]

    def holds(self, bucket: int) -> bool:
        """Tell whether this VM may act for a bucket at this instant."""
        return self._keepers[bucket].holds(self._reactor.now())

    def count_held(self) -> int:
        """Return how many leases others can't take yet because of us."""
        now = self._reactor.now()
        return sum(keeper.blocks_others(now) for keeper in self._keepers)

    def step(self, rank_of: Callable[[int], int | None]) -> None:
        """Make the calls that are due; `rank_of` gives our ranks."""
        for keeper in self._keepers:
            now = self._reactor.now()
            action = keeper.step(now, rank_of(keeper.bucket))
            if action is not None:
                self._call(keeper, action)

    def _call(self, keeper: LeaseKeeper, action: LeaseAction) -> None:
        sent_at = self._reactor.now()
        name = str(keeper.bucket)
        purpose = f"lease/{name}"

        def on_result(result: Result) -> None:
            now = self._reactor.now()
            report_to_keeper(keeper, action, result, sent_at, now)
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


def report_to_keeper(
    keeper: LeaseKeeper,
    action: LeaseAction,
    result: Result,
    sent_at: float,
    now: float,
) -> None:
    """Tell the keeper what became of its call."""
    match result:
        case Stored() if isinstance(action, WriteLease):
            keeper.stored(sent_at, now, action, result.version)
        case Found():
            keeper.read(sent_at, now, read_lease(result.version, result.value))
        case Missing():
            keeper.read(sent_at, now, read_lease(0, None))
        case Conflict():
            seen = read_lease(result.version, result.value)
            keeper.conflicted(sent_at, now, seen)
        case _:
            keeper.unanswered(sent_at, now, action)


def encode_lease(value: LeaseValue) -> dict[str, Any]:
    """Return the value to store."""
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


def read_lease(version: int, raw: Any) -> SeenLease:
    """Read a stored lease; what is none counts as given up."""
    raw = raw if isinstance(raw, dict) else {}
    value = LeaseValue(
        vm=str(raw.get("vm", "")),
        nonce=str(raw.get("nonce", "")),
        duration=float(raw.get("duration_ms", 0)) / 1000,
        address=str(raw.get("address", "")),
        era=int(raw.get("era", 0)),
    )
    return SeenLease(version=version, value=value)
