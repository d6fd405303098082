"""Placement of groups, buckets and shards on VMs by rendezvous hashing.

Every VM computes the placement independently from the same list of VMs. Each
key orders the VMs by a hash of key and VM name, so that adding or removing a
VM moves only the keys that it holds: on average 1/n of them. A set of holders
consists of the highest-ranked VM and then the highest-ranked VMs of
availability zones not yet used, so that holders remain if one zone is lost.
With two regions there is at least one holder in each.

    choose_holders("baze-comutare-1", vms, 3)

With this choice alone, some VMs hold three times as many groups as others.
`BalancedHolders` keeps the zones of that choice, but skips a VM that already
holds its limit of groups in favour of one of the next two VMs of the same
zone. Which VMs are skipped depends on the names of all groups; that a holder
is one of the first VMs of its zone does not.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections import Counter
import math
from typing import Protocol
from typing import TypeVar

from xxhash import xxh64_intdigest

from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm

__all__ = [
    "BUCKET_COUNT",
    "BalancedHolders",
    "HOLDERS_PER_GROUP",
    "NEIGHBOUR_COUNT",
    "PLATFORM_WATCHER_COUNT",
    "Placement",
    "SHARD_COUNT",
    "bucket_of",
    "choose_candidates",
    "choose_holders",
    "choose_neighbours",
    "choose_platform_watchers",
    "choose_possible_holders",
    "rank_by_weight",
    "rank_vms",
    "shard_of",
]

BUCKET_COUNT = 16
SHARD_COUNT = 16
HOLDERS_PER_GROUP = 3
CANDIDATES_PER_BUCKET = 3
NEIGHBOUR_COUNT = 4
# A VM that holds this many times the average number of groups is skipped. A
# smaller factor moves more groups on each change; a larger one allows a higher
# maximum load.
MAX_LOAD_FACTOR = 1.2
# A VM may always hold this many groups: balancing smaller loads is not worth
# moving groups.
MIN_GROUP_LIMIT = 4
# A group that skips a VM uses one of this many next VMs of the same zone. The
# number is small because a VM asks all possible holders before its share
# grows.
ALTERNATIVES_PER_ZONE = 2
# A former holder is still found if this many VMs that rank above it join its
# zone at once and no other holder is left that knows of it.
JOINS_PER_ZONE = 2
# Each VM that watches the platform costs it one waiting call, regardless of
# the fleet size. Six VMs in as many zones survive the loss of any region.
PLATFORM_WATCHER_COUNT = 6


def bucket_of(group: str) -> int:
    """Return the lease bucket of a group, 0 to 15."""
    return _hash(group) % BUCKET_COUNT


def shard_of(group: str) -> int:
    """Return the table shard of a group, 0 to 15."""
    return _hash(group) % SHARD_COUNT


class HasName(Protocol):
    """An object that is ranked by its name, such as a VM."""

    @property
    def name(self) -> str:
        """Return the name, which is unique in the fleet."""


HasNameT = TypeVar("HasNameT", bound=HasName)


def rank_vms(key: str, vms: Iterable[HasNameT]) -> list[HasNameT]:
    """Order VMs by their hash weight for a key, highest first.

    The order of any two VMs depends only on the key and their names.
    """
    seed = _hash(key)
    return sorted(
        vms,
        key=lambda vm: xxh64_intdigest(vm.name.encode(), seed),
        reverse=True,
    )


class HasWeight(HasName, Protocol):
    """An object that is ranked by its name and its weight."""

    @property
    def weight(self) -> int:
        """Return the weight, at least 1."""


HasWeightT = TypeVar("HasWeightT", bound=HasWeight)


def rank_by_weight(key: str, vms: Iterable[HasWeightT]) -> list[HasWeightT]:
    """Order VMs for a key, each first as often as its weight says.

    The order of any two VMs depends only on the key, their names and their
    weights, so the loss of a VM moves only the keys for which it was first.
    With equal weights the order is that of `rank_vms`.
    """
    ranked = rank_vms(key, vms)
    if len({vm.weight for vm in ranked}) <= 1:
        return ranked
    seed = _hash(key)
    # The sort is stable: VMs of equal score stay in the order of `rank_vms`.
    return sorted(
        ranked, key=lambda vm: _weighted_score(vm, seed), reverse=True
    )


def choose_holders(key: str, vms: Iterable[Vm], count: int) -> tuple[Vm, ...]:
    """Return up to `count` VMs for a key, spread over zones and regions.

    Leaving VMs are chosen only if there are no others, so that a fleet still
    serves if all its VMs are told to leave.
    """
    ranked = _ranked_live(key, vms)
    spread = _ZoneSpread(regions={vm.region for vm in ranked})
    for _ in range(min(count, len(ranked))):
        spread.choose_from(ranked)
    return tuple(spread.chosen)


def choose_neighbours(local_name: str, vms: Collection[Vm]) -> tuple[Vm, ...]:
    """Return the VMs with which a VM compares versions.

    Two are in its own zone, one in another zone and one in another region, if
    they exist. As other VMs choose it too, a VM has about eight links. This
    number of random links keeps the fleet connected within few hops if a tenth
    of it or a whole zone is lost.
    """
    ranked = [
        vm
        for vm in rank_vms(f"neighbours/{local_name}", vms)
        if vm.name != local_name
    ]
    local_vm = next((vm for vm in vms if vm.name == local_name), None)
    if local_vm is None:
        return tuple(ranked[:NEIGHBOUR_COUNT])
    same_zone = [vm for vm in ranked if _zone_of(vm) == _zone_of(local_vm)][:2]
    same_region = [
        vm
        for vm in ranked
        if vm.region == local_vm.region and _zone_of(vm) != _zone_of(local_vm)
    ][:1]
    other_region = [vm for vm in ranked if vm.region != local_vm.region][:1]
    chosen = same_zone + same_region + other_region
    names = {vm.name for vm in chosen}
    rest = [vm for vm in ranked if vm.name not in names]
    return tuple(chosen + rest[: NEIGHBOUR_COUNT - len(chosen)])


def choose_candidates(bucket: int, vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs that may lead a lease bucket, best first."""
    return choose_holders(f"bucket/{bucket}", vms, CANDIDATES_PER_BUCKET)


def choose_platform_watchers(vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs that watch the platform for the whole fleet."""
    return choose_holders("watchers", vms, PLATFORM_WATCHER_COUNT)


def choose_possible_holders(
    group: str, vms: Iterable[Vm], listed: Collection[str]
) -> frozenset[str]:
    """Return the names of VMs that may hold a group, or recently did.

    `vms` are the VMs of the list and those that were just removed from it;
    `listed` are the names of the former. If a possible holder were missing,
    two VMs could use the same part of a limit, and the target would refuse
    statements of one of them. The result does not depend on the names of
    groups, because `BalancedHolders` always chooses among the first live VMs
    of a zone. Leaving and removed VMs do not count towards the depth, because
    they may rank above all live ones.
    """
    known = list(vms)
    live = _live_or_all([vm for vm in known if vm.name in listed])
    names = {vm.name for vm in live}
    depth = _candidates_per_zone(live) + JOINS_PER_ZONE
    found = []
    above: Counter[tuple[str, str]] = Counter()
    for vm in rank_vms(group, known):
        if above[_zone_of(vm)] >= depth:
            continue
        found.append(vm.name)
        above[_zone_of(vm)] += vm.name in names
    return frozenset(found)


class BalancedHolders:
    """The holders of all groups, with a balanced number of groups per VM.

    Groups are placed in an order that is the same on all VMs, each on VMs of
    its zones that are below their limit. The first VMs of each zone are kept
    for each group to make a new list cheap: only groups for which a removed
    or an added VM is among the first are ranked again.
    """

    def __init__(self) -> None:
        self._members: dict[tuple[str, str], tuple[str, ...]] = {}
        self._vms: dict[str, Vm] = {}
        self._depth = 0
        self._first_ranked: dict[
            str, dict[tuple[str, str], tuple[str, ...]]
        ] = {}
        self._unbalanced: dict[str, tuple[str, ...]] = {}

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Replace the list of VMs."""
        live = _live_or_all(vms)
        members: dict[tuple[str, str], list[str]] = {}
        for vm in live:
            members.setdefault(_zone_of(vm), []).append(vm.name)
        before, self._members = self._members, {
            zone: tuple(names) for zone, names in members.items()
        }
        self._vms = {vm.name: vm for vm in live}
        depth = _candidates_per_zone(live)
        if depth != self._depth:
            self._depth = depth
            self._first_ranked.clear()
            self._unbalanced.clear()
        if before.keys() != self._members.keys():
            self._unbalanced.clear()
        for zone in before.keys() | self._members.keys():
            self._update_zone(zone, before.get(zone, ()))

    def prepare(self, groups: Iterable[str], count: int) -> bool:
        """Rank VMs for up to `count` groups; return whether all are ranked."""
        missing = [name for name in groups if name not in self._first_ranked]
        for name in missing[:count]:
            self._first_ranked[name] = {
                zone: self._rank_first(name, names)
                for zone, names in self._members.items()
            }
        return len(missing) <= count

    def choose(self, groups: Collection[str]) -> dict[str, tuple[Vm, ...]]:
        """Return the holders of each group, placing all groups again."""
        if not self._vms:
            return {}
        self.prepare(groups, len(groups))
        holder_count = min(HOLDERS_PER_GROUP, len(self._vms)) * len(groups)
        limit = max(
            MIN_GROUP_LIMIT, MAX_LOAD_FACTOR * holder_count / len(self._vms)
        )
        # The limit is rounded up for some VMs and down for others, so that one
        # more group or VM changes it on a few VMs and not on all at once.
        remaining = {name: int(limit + _fraction(name)) for name in self._vms}
        return {
            group: self._choose_balanced(group, remaining)
            for group in sorted(groups, key=lambda name: (_hash(name), name))
        }

    def _choose_balanced(
        self, group: str, remaining: dict[str, int]
    ) -> tuple[Vm, ...]:
        unbalanced = self._choose_unbalanced(group)
        zones = [_zone_of(self._vms[name]) for name in unbalanced]
        chosen: list[str] = []
        for zone in zones:
            end = zones.count(zone) + ALTERNATIVES_PER_ZONE
            available = [
                name
                for name in self._first_ranked[group][zone][:end]
                if name not in chosen
            ]
            best = max(available, key=lambda name: min(remaining[name], 1))
            remaining[best] -= 1
            chosen.append(best)
        return tuple(self._vms[name] for name in chosen)

    def _choose_unbalanced(self, group: str) -> tuple[str, ...]:
        found = self._unbalanced.get(group)
        if found is None:
            first = self._first_ranked[group].values()
            vms = [self._vms[name] for names in first for name in names]
            chosen = choose_holders(group, vms, HOLDERS_PER_GROUP)
            found = self._unbalanced[group] = tuple(vm.name for vm in chosen)
        return found

    def _update_zone(
        self, zone: tuple[str, str], before: Sequence[str]
    ) -> None:
        now = self._members.get(zone, ())
        joined = [name for name in now if name not in set(before)]
        removed = set(before).difference(now)
        if not joined and not removed:
            return
        for group, first in self._first_ranked.items():
            old = first.get(zone, ())
            if removed.isdisjoint(old):
                new = (
                    self._rank_first(group, (*old, *joined)) if joined else old
                )
            else:
                new = self._rank_first(group, now)
            if new != old:
                first[zone] = new
                self._unbalanced.pop(group, None)
            if not now:
                del first[zone]

    def _rank_first(self, group: str, names: Iterable[str]) -> tuple[str, ...]:
        return tuple(_rank_names(group, names)[: self._depth])


class Placement:
    """Cached results of this module, valid until the list of VMs changes.

    Ranking 480 VMs for one key takes a fraction of a millisecond, which is
    too long for each statement. `set_vms` is called with each new list.
    Once the names of all groups are known, `set_groups` is called with them
    and then `prepare` until it returns True; from then on holders are
    balanced. Before that, and for a group that is not among them, the holders
    are those that `choose_holders` returns. VMs that know different names
    choose different holders for some groups: they keep the shares that they
    have, and no share grows until they choose the same (`shares.py`).
    """

    def __init__(
        self, vms: Iterable[Vm] = (), groups: Collection[str] = ()
    ) -> None:
        self.version = 0
        self._vms: tuple[Vm, ...] = ()
        self._cached: dict[tuple[str, int], tuple[Vm, ...]] = {}
        self._balanced = BalancedHolders()
        self._placed_groups: frozenset[str] = frozenset()
        self._wanted_groups: frozenset[str] = frozenset()
        self._holders: Mapping[str, tuple[Vm, ...]] = {}
        self.set_vms(vms)
        self.set_groups(groups)
        self.prepare(len(groups))

    @property
    def vms(self) -> tuple[Vm, ...]:
        """The list of VMs that the results are for."""
        return self._vms

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Replace the list of VMs; keep cached results if it is equal."""
        new_vms = tuple(vms)
        if new_vms == self._vms:
            return
        self._vms = new_vms
        self._cached.clear()
        self._balanced.set_vms(new_vms)
        self._choose()

    def set_groups(self, names: Collection[str]) -> None:
        """Set the names of all groups; `prepare` puts them in force."""
        if len(names) != len(
            self._wanted_groups
        ) or self._wanted_groups != set(names):
            self._wanted_groups = frozenset(names)

    def prepare(self, count: int) -> bool:
        """Rank up to `count` groups; return whether all names are in force.

        Until then the holders are those of the previous names.
        """
        if self._wanted_groups == self._placed_groups:
            return True
        if not self._balanced.prepare(self._wanted_groups, count):
            return False
        self._placed_groups = self._wanted_groups
        self._choose()
        return True

    def holders(
        self, group: str, count: int = HOLDERS_PER_GROUP
    ) -> tuple[Vm, ...]:
        """Return the VMs that hold a group."""
        if count == HOLDERS_PER_GROUP and group in self._holders:
            return self._holders[group]
        return self._cached_holders(group, count)

    def candidates(self, bucket: int) -> tuple[Vm, ...]:
        """Return the VMs that may lead a lease bucket."""
        return self._cached_holders(f"bucket/{bucket}", CANDIDATES_PER_BUCKET)

    def platform_watchers(self) -> tuple[Vm, ...]:
        """Return the VMs that watch the platform for the whole fleet."""
        return self._cached_holders("watchers", PLATFORM_WATCHER_COUNT)

    def _choose(self) -> None:
        self.version += 1
        self._holders = self._balanced.choose(self._placed_groups)

    def _cached_holders(self, key: str, count: int) -> tuple[Vm, ...]:
        found = self._cached.get((key, count))
        if found is None:
            found = choose_holders(key, self._vms, count)
            self._cached[key, count] = found
        return found


def _hash(text: str) -> int:
    return xxh64_intdigest(text.encode())


def _weighted_score(vm: HasWeight, seed: int) -> float:
    """Return the score of weighted rendezvous hashing."""
    hashed = xxh64_intdigest(vm.name.encode(), seed)
    # Strictly between 0 and 1: neither end has a finite score.
    fraction = min((hashed + 0.5) / 2**64, 1 - 2**-53)
    return -vm.weight / math.log(fraction)


def _fraction(name: str) -> float:
    return _hash(f"room/{name}") / 2**64


def _live_or_all(vms: Iterable[Vm]) -> list[Vm]:
    """Return the VMs that are not leaving, or all if there are no others."""
    known = list(vms)
    live = [vm for vm in known if vm.liveness is Liveness.LIVE]
    return live or known


def _candidates_per_zone(live: Iterable[Vm]) -> int:
    """Return how many VMs of a zone a group's holders are chosen from."""
    places = len({_zone_of(vm) for vm in live})
    holders_per_zone = -(-HOLDERS_PER_GROUP // max(1, places))
    return holders_per_zone + ALTERNATIVES_PER_ZONE


def _rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Order names of VMs as `rank_vms` orders VMs."""
    seed = _hash(key)
    return sorted(
        names,
        key=lambda name: xxh64_intdigest(name.encode(), seed),
        reverse=True,
    )


def _ranked_live(key: str, vms: Iterable[Vm]) -> list[Vm]:
    return rank_vms(key, _live_or_all(vms))


def _zone_of(vm: Vm) -> tuple[str, str]:
    return vm.region, vm.availability_zone


class _ZoneSpread:
    """The VMs chosen so far and their number per zone and region."""

    def __init__(self, *, regions: set[str]) -> None:
        self.chosen: list[Vm] = []
        self._in_region = dict.fromkeys(regions, 0)
        self._in_zone: dict[tuple[str, str], int] = {}

    def choose_from(self, ranked: Iterable[Vm]) -> None:
        """Add the highest-ranked VM of the least used region and zone."""
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
        return self._in_region[vm.region], self._in_zone.get(_zone_of(vm), 0)

    def _add(self, vm: Vm) -> None:
        self.chosen.append(vm)
        self._in_region[vm.region] += 1
        place = _zone_of(vm)
        self._in_zone[place] = self._in_zone.get(place, 0) + 1
