"""Which VMs serve which group, bucket or shard, by rendezvous hashing.

Every VM works this out alone from the same list of VMs. Each key orders the
VMs by a hash of key and VM name, so that a VM that comes or goes moves only
the keys that it holds: on average 1/n of them. A holder set takes the best
VM, then the best VMs of availability zones not yet used, so that the loss of
one zone leaves holders, and with two regions at least one in each.

    choose_holders("baze-comutare-1", vms, 3)
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from xxhash import xxh64_intdigest

from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm

__all__ = [
    "BUCKETS",
    "HOLDERS_PER_GROUP",
    "Placement",
    "SHARDS",
    "WATCHERS_PER_SHARD",
    "bucket_of",
    "choose_candidates",
    "choose_holders",
    "choose_watchers",
    "rank",
    "shard_of",
]

BUCKETS = 16
SHARDS = 16
HOLDERS_PER_GROUP = 3
CANDIDATES_PER_BUCKET = 3
WATCHERS_PER_SHARD = 3


def bucket_of(group: str) -> int:
    """Return the lease bucket of a group, 0 to 15."""
    return _hash(group) % BUCKETS


def shard_of(group: str) -> int:
    """Return the table shard of a group, 0 to 15."""
    return _hash(group) % SHARDS


def rank(key: str, vms: Iterable[Vm]) -> list[Vm]:
    """Order VMs by their weight for a key, best first.

    The order of any two VMs depends on nothing but the key and their names.
    """
    return sorted(vms, key=lambda vm: _weight(key, vm.name), reverse=True)


def choose_holders(key: str, vms: Iterable[Vm], count: int) -> tuple[Vm, ...]:
    """Return up to `count` VMs for a key, spread over zones and regions.

    Leaving VMs are chosen only while no others are left, so that a fleet
    that is told to leave altogether still serves.
    """
    ranked = _ranked_live(key, vms)
    chosen = ranked[:1]
    while len(chosen) < min(count, len(ranked)):
        chosen.append(_next_spread(ranked, chosen))
    return tuple(chosen)


def choose_candidates(bucket: int, vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs that may lead a lease bucket, the preferred first."""
    return choose_holders(f"bucket/{bucket}", vms, CANDIDATES_PER_BUCKET)


def choose_watchers(shard: int, vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs that watch a table shard at the platform."""
    return choose_holders(f"shard/{shard}", vms, WATCHERS_PER_SHARD)


class Placement:
    """Answers of this module, kept until the list of VMs changes.

    Ranking 480 VMs for one key takes a fraction of a millisecond, which is
    too long for each statement. `set_vms` is called with each new list.
    """

    def __init__(self, vms: Iterable[Vm] = ()) -> None:
        self._vms: tuple[Vm, ...] = tuple(vms)
        self._known: dict[tuple[str, int], tuple[Vm, ...]] = {}

    @property
    def vms(self) -> tuple[Vm, ...]:
        """The list that the answers are for."""
        return self._vms

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Take a new list of VMs; known answers are kept if it is equal."""
        taken = tuple(vms)
        if taken == self._vms:
            return
        self._vms = taken
        self._known.clear()

    def holders(
        self, group: str, count: int = HOLDERS_PER_GROUP
    ) -> tuple[Vm, ...]:
        """Return the VMs that hold a group."""
        return self._get(group, count)

    def candidates(self, bucket: int) -> tuple[Vm, ...]:
        """Return the VMs that may lead a lease bucket."""
        return self._get(f"bucket/{bucket}", CANDIDATES_PER_BUCKET)

    def watchers(self, shard: int) -> tuple[Vm, ...]:
        """Return the VMs that watch a table shard at the platform."""
        return self._get(f"shard/{shard}", WATCHERS_PER_SHARD)

    def _get(self, key: str, count: int) -> tuple[Vm, ...]:
        found = self._known.get((key, count))
        if found is None:
            found = choose_holders(key, self._vms, count)
            self._known[key, count] = found
        return found


def _hash(text: str) -> int:
    return xxh64_intdigest(text.encode())


def _weight(key: str, vm: str) -> tuple[int, str]:
    return _hash(f"{key}\0{vm}"), vm


def _ranked_live(key: str, vms: Iterable[Vm]) -> list[Vm]:
    known = list(vms)
    live = [vm for vm in known if vm.liveness is Liveness.LIVE]
    return rank(key, live or known)


def _next_spread(ranked: Sequence[Vm], chosen: Sequence[Vm]) -> Vm:
    """Return the best VM of the places that the chosen ones use least."""
    left = [vm for vm in ranked if vm not in chosen]
    in_region = _counter(chosen, lambda vm: vm.region)
    in_zone = _counter(chosen, _zone)
    return min(left, key=lambda vm: (in_region(vm), in_zone(vm)))


def _zone(vm: Vm) -> str:
    return f"{vm.region}/{vm.availability_zone}"


def _counter(
    chosen: Sequence[Vm], place: Callable[[Vm], str]
) -> Callable[[Vm], int]:
    places = [place(vm) for vm in chosen]
    return lambda vm: places.count(place(vm))
