"""Which VMs serve which group, bucket or shard, by rendezvous hashing.

Every VM works this out alone from the same list of VMs. Each key orders the
VMs by a hash of key and VM name, so that a VM that comes or goes moves only
the keys that it holds: on average 1/n of them. A holder set takes the best
VM, then the best VMs of availability zones not yet used, so that the loss of
one zone leaves holders, and with two regions at least one in each.

    choose_holders("baze-comutare-1", vms, 3)
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

from xxhash import xxh64_intdigest

from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm

__all__ = [
    "BUCKETS",
    "HOLDERS_PER_GROUP",
    "Placement",
    "SHARDS",
    "WATCHERS",
    "NEIGHBOURS",
    "bucket_of",
    "choose_candidates",
    "choose_holders",
    "choose_neighbours",
    "choose_watchers",
    "rank",
    "shard_of",
]

BUCKETS = 16
SHARDS = 16
HOLDERS_PER_GROUP = 3
CANDIDATES_PER_BUCKET = 3
NEIGHBOURS = 4
# Watching VMs cost the platform a waiting call each, whatever the size of the
# fleet; six, in as many zones, outlast the loss of any region.
WATCHERS = 6


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
    seed = _hash(key)
    return sorted(
        vms,
        key=lambda vm: xxh64_intdigest(vm.name.encode(), seed),
        reverse=True,
    )


def choose_holders(key: str, vms: Iterable[Vm], count: int) -> tuple[Vm, ...]:
    """Return up to `count` VMs for a key, spread over zones and regions.

    Leaving VMs are chosen only while no others are left, so that a fleet
    that is told to leave altogether still serves.
    """
    ranked = _ranked_live(key, vms)
    spread = _Spread(regions={vm.region for vm in ranked})
    for _ in range(min(count, len(ranked))):
        spread.choose_from(ranked)
    return tuple(spread.chosen)


def choose_neighbours(me: str, vms: Collection[Vm]) -> tuple[Vm, ...]:
    """Return the few VMs with which a VM compares versions.

    Two are of its own zone, one of another zone and one of another region,
    as far as there are such. Since others choose us too, a VM has about
    eight links. So many random links keep the fleet connected, in few hops,
    when a tenth of it or a whole zone is gone.
    """
    ranked = [vm for vm in rank(f"neighbours/{me}", vms) if vm.name != me]
    own = next((vm for vm in vms if vm.name == me), None)
    if own is None:
        return tuple(ranked[:NEIGHBOURS])
    near = [vm for vm in ranked if _place(vm) == _place(own)][:2]
    beside = [
        vm
        for vm in ranked
        if vm.region == own.region and _place(vm) != _place(own)
    ][:1]
    far = [vm for vm in ranked if vm.region != own.region][:1]
    chosen = near + beside + far
    names = {vm.name for vm in chosen}
    rest = [vm for vm in ranked if vm.name not in names]
    return tuple(chosen + rest[: NEIGHBOURS - len(chosen)])


def choose_candidates(bucket: int, vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs that may lead a lease bucket, the preferred first."""
    return choose_holders(f"bucket/{bucket}", vms, CANDIDATES_PER_BUCKET)


def choose_watchers(vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs that watch the platform on behalf of all."""
    return choose_holders("watchers", vms, WATCHERS)


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

    def watchers(self) -> tuple[Vm, ...]:
        """Return the VMs that watch the platform on behalf of all."""
        return self._get("watchers", WATCHERS)

    def _get(self, key: str, count: int) -> tuple[Vm, ...]:
        found = self._known.get((key, count))
        if found is None:
            found = choose_holders(key, self._vms, count)
            self._known[key, count] = found
        return found


def _hash(text: str) -> int:
    return xxh64_intdigest(text.encode())


def _ranked_live(key: str, vms: Iterable[Vm]) -> list[Vm]:
    known = list(vms)
    live = [vm for vm in known if vm.liveness is Liveness.LIVE]
    return rank(key, live or known)


def _place(vm: Vm) -> tuple[str, str]:
    return vm.region, vm.availability_zone


class _Spread:
    """VMs chosen so far, and how many of them each place has."""

    def __init__(self, *, regions: set[str]) -> None:
        self.chosen: list[Vm] = []
        self._in_region = dict.fromkeys(regions, 0)
        self._in_zone: dict[tuple[str, str], int] = {}

    def choose_from(self, ranked: Iterable[Vm]) -> None:
        """Add the best VM of the places that are used least."""
        fewest = min(self._in_region.values())
        best: Vm | None = None
        best_use = (len(self.chosen) + 1, 0)
        for vm in ranked:
            use = self._use(vm)
            if use < best_use and vm not in self.chosen:
                best, best_use = vm, use
            if best_use == (fewest, 0):
                break
        if best is not None:
            self._add(best)

    def _use(self, vm: Vm) -> tuple[int, int]:
        return self._in_region[vm.region], self._in_zone.get(_place(vm), 0)

    def _add(self, vm: Vm) -> None:
        self.chosen.append(vm)
        self._in_region[vm.region] += 1
        place = _place(vm)
        self._in_zone[place] = self._in_zone.get(place, 0) + 1
