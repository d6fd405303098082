"""Availability of peers, as observed by this VM.

The platform's list defines the members of the fleet, and all VMs derive the
same holders from it. The list lags: a VM that died or began to drain is listed
as live for a while. This module records what this VM observes of the peers
with which it compares versions and to which it sends statements. It only
affects the order in which holders are tried, never the set of holders, because
their shares of a target's limits must add up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm

__all__ = ["Membership", "PeerState"]

FIRST_AVOID_SECONDS = 1.0
# Maximum time before an unreachable peer is tried again: long enough to cost
# callers little, short enough that its return is noticed without probes.
MAX_AVOID_SECONDS = 10.0
# Draining expires after this time, because VMs that exchange no heartbeats
# with a drained VM do not notice that it has restarted under the same name.
DRAIN_EXPIRY = 30.0


@dataclass(slots=True, kw_only=True)
class PeerState:
    """The last observations of one VM. Instants are in monotonic seconds."""

    last_contact_at: float = -1e9
    draining_until: float = -1e9
    failures: int = 0
    avoid_until: float = -1e9


class Membership:
    """The observed state of the VMs with which this VM communicates."""

    def __init__(self) -> None:
        self._states: dict[str, PeerState] = {}

    def record_contact(self, vm: str, now: float) -> None:
        """Record a message from a VM."""
        state = self._state(vm)
        state.last_contact_at = now
        state.failures = 0
        state.avoid_until = -1e9

    def record_failure(self, vm: str, now: float) -> None:
        """Record that a VM could not be reached or did not answer."""
        state = self._state(vm)
        doublings = min(state.failures, 8)
        wait = min(MAX_AVOID_SECONDS, FIRST_AVOID_SECONDS * 2.0**doublings)
        state.failures += 1
        state.avoid_until = now + wait

    def set_draining(self, vm: str, now: float, draining: bool = True) -> None:
        """Record whether a VM reports that it accepts no new work."""
        until = now + DRAIN_EXPIRY if draining else -1e9
        self._state(vm).draining_until = until

    def vms_to_avoid(self, vms: Iterable[Vm], now: float) -> frozenset[str]:
        """Return the names of the VMs that are to be tried last."""
        return frozenset(
            [vm.name for vm in vms if self._should_avoid(vm, now)]
        )

    def _should_avoid(self, vm: Vm, now: float) -> bool:
        if vm.liveness is Liveness.LEAVING:
            return True
        state = self._states.get(vm.name)
        if state is None:
            return False
        return state.draining_until > now or state.avoid_until > now

    def retain_vms(self, vms: Iterable[str]) -> None:
        """Drop the state of VMs that are not in `vms`."""
        names = set(vms)
        for name in list(self._states):
            if name not in names:
                del self._states[name]

    def _state(self, vm: str) -> PeerState:
        return self._states.setdefault(vm, PeerState())
