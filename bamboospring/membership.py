"""Which of the VMs that this one talks to can be given work now.

The platform's list says who belongs to the fleet, and all VMs derive the same
holders from it. But it lags: a VM that died, or has begun to drain, stands in
it as live for a while. What this VM hears itself, from the few peers that it
compares versions with and from those that it sends statements to, is kept
here and only changes the order in which holders are tried. It never changes
who the holders are, because their shares of a target's limits must add up.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm

__all__ = ["Membership", "PeerState"]

FIRST_AVOIDANCE = 1.0
# A peer that stays away is tried this often: seldom enough to cost callers
# little, often enough that its return is noticed without a probe of its own.
MAX_AVOIDANCE = 10.0
# A VM that drained and came back under its name is not known as such to those
# that exchange no heartbeats with it.
DRAIN_MEMORY = 30.0


@dataclass(slots=True, kw_only=True)
class PeerState:
    """What was last heard of one VM. Instants are monotonic seconds."""

    heard_at: float = -1e9
    drains_until: float = -1e9
    losses: int = 0
    avoid_until: float = -1e9


class Membership:
    """What was heard of the VMs that this one is in touch with."""

    def __init__(self) -> None:
        self._states: dict[str, PeerState] = {}

    def record_contact(self, vm: str, now: float) -> None:
        """Note a sign of life."""
        state = self._state(vm)
        state.heard_at = now
        state.losses = 0
        state.avoid_until = -1e9

    def record_failure(self, vm: str, now: float) -> None:
        """Note that a VM could not be reached or did not answer."""
        state = self._state(vm)
        doublings = min(state.losses, 8)
        wait = min(MAX_AVOIDANCE, FIRST_AVOIDANCE * 2.0**doublings)
        state.losses += 1
        state.avoid_until = now + wait

    def set_draining(self, vm: str, now: float, draining: bool = True) -> None:
        """Note whether a VM says that it takes no new work."""
        until = now + DRAIN_MEMORY if draining else -1e9
        self._state(vm).drains_until = until

    def vms_to_avoid(self, vms: Iterable[Vm], now: float) -> frozenset[str]:
        """Return the names of those VMs that are to be tried last."""
        return frozenset([vm.name for vm in vms if self._avoids(vm, now)])

    def _avoids(self, vm: Vm, now: float) -> bool:
        if vm.liveness is Liveness.LEAVING:
            return True
        state = self._states.get(vm.name)
        if state is None:
            return False
        return state.drains_until > now or state.avoid_until > now

    def retain_vms(self, vms: Iterable[str]) -> None:
        """Forget VMs that the list no longer has."""
        names = set(vms)
        for name in list(self._states):
            if name not in names:
                del self._states[name]

    def _state(self, vm: str) -> PeerState:
        return self._states.setdefault(vm, PeerState())
