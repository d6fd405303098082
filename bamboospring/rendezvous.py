"""Which VMs serve which group, bucket or shard, by rendezvous hashing.

Every VM works this out alone from the same list of VMs. Each key orders the
VMs by a hash of key and VM name, so that a VM that comes or goes moves only
the keys that it holds: on average 1/n of them. A holder set takes the best
VM, then the best VMs of availability zones not yet used, so that the loss of
one zone leaves holders, and with two regions at least one in each.

    choose_holders("baze-comutare-1", vms, 3)

So chosen, some VMs hold three times as many groups as others. `EvenHolders`
keeps the zones of that choice and lets a group pass over a VM that has its
part of the groups already, for one of the next two of the same zone. Who
passes over whom depends on the names of all groups; that a holder is one of
the first VMs of its zone does not.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections import Counter
from typing import Protocol
from typing import TypeVar

from xxhash import xxh64_intdigest

from bamboospring.blackboard import Liveness
from bamboospring.blackboard import Vm

__all__ = [
    "BUCKET_COUNT",
    "BalancedHolders",
    "HOLDERS_PER_GROUP",
    "Placement",
    "SHARD_COUNT",
    "PLATFORM_WATCHER_COUNT",
    "NEIGHBOUR_COUNT",
    "bucket_of",
    "choose_candidates",
    "choose_holders",
    "choose_neighbours",
    "choose_possible_holders",
    "choose_platform_watchers",
    "rank_vms",
    "shard_of",
]

BUCKET_COUNT = 16
SHARD_COUNT = 16
HOLDERS_PER_GROUP = 3
CANDIDATES_PER_BUCKET = 3
NEIGHBOUR_COUNT = 4
# A VM takes this many times the average of groups, then it is passed over.
# Less moves more places on each change, more leaves the fullest VM fuller.
LOAD_FACTOR = 1.2
# Fewer groups on a VM than this are no load that is worth moving them for.
MIN_LOAD = 4
# A group that passes a VM over takes one of the next two of the same zone. No
# more, because a VM asks all that may be holders before its share grows.
SPARE_IN_PLACE = 2
# So many VMs that joined a zone above a former holder in one moment, with no
# other holder left to tell of it, do not hide it.
JOINED_IN_PLACE = 2
# Watching VMs cost the platform a waiting call each, whatever the size of the
# fleet; six, in as many zones, outlast the loss of any region.
PLATFORM_WATCHER_COUNT = 6


def bucket_of(group: str) -> int:
    """Return the lease bucket of a group, 0 to 15."""
    return _hash(group) % BUCKET_COUNT


def shard_of(group: str) -> int:
    """Return the table shard of a group, 0 to 15."""
    return _hash(group) % SHARD_COUNT


class Named(Protocol):
    """A VM, as far as its place in an order needs it."""

    @property
    def name(self) -> str:
        """Return the VM's name, which is its own in the whole fleet."""


NamedT = TypeVar("NamedT", bound=Named)


def rank_vms(key: str, vms: Iterable[NamedT]) -> list[NamedT]:
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
    ranked = [vm for vm in rank_vms(f"neighbours/{me}", vms) if vm.name != me]
    own = next((vm for vm in vms if vm.name == me), None)
    if own is None:
        return tuple(ranked[:NEIGHBOUR_COUNT])
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
    return tuple(chosen + rest[: NEIGHBOUR_COUNT - len(chosen)])


def choose_candidates(bucket: int, vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs that may lead a lease bucket, the preferred first."""
    return choose_holders(f"bucket/{bucket}", vms, CANDIDATES_PER_BUCKET)


def choose_platform_watchers(vms: Iterable[Vm]) -> tuple[Vm, ...]:
    """Return the VMs that watch the platform on behalf of all."""
    return choose_holders("watchers", vms, PLATFORM_WATCHER_COUNT)


def choose_possible_holders(
    group: str, vms: Iterable[Vm], listed: Collection[str]
) -> frozenset[str]:
    """Return the VMs that may be, or shortly have been, a group's holder.

    `vms` are those of the list and those that have just gone from it;
    `listed` are the names of the former. With too few, two VMs could use the
    same part of a limit: the target would refuse what one of them sends. The
    names of groups do not matter here, because `EvenHolders` chooses among
    the first live VMs of a zone for any of them. VMs that leave or are gone
    count for nothing: they may stand above all live ones.
    """
    known = list(vms)
    live = _live([vm for vm in known if vm.name in listed])
    names = {vm.name for vm in live}
    depth = _candidates_in_place(live) + JOINED_IN_PLACE
    found = []
    above: Counter[tuple[str, str]] = Counter()
    for vm in rank_vms(group, known):
        if above[_place(vm)] >= depth:
            continue
        found.append(vm.name)
        above[_place(vm)] += vm.name in names
    return frozenset(found)


class BalancedHolders:
    """The holders of all groups, with about the same number on each VM.

    Groups are placed in an order that all VMs compute alike, each on the VMs
    of its zones that have room. It keeps the first VMs of each zone for each
    group, so that a new list costs little: only groups that have a VM that
    went, or one that came, among their first are ranked again.
    """

    def __init__(self) -> None:
        self._members: dict[tuple[str, str], tuple[str, ...]] = {}
        self._vms: dict[str, Vm] = {}
        self._depth = 0
        self._first: dict[str, dict[tuple[str, str], tuple[str, ...]]] = {}
        self._plain: dict[str, tuple[str, ...]] = {}

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Take a new list of VMs."""
        live = _live(vms)
        members: dict[tuple[str, str], list[str]] = {}
        for vm in live:
            members.setdefault(_place(vm), []).append(vm.name)
        before, self._members = self._members, {
            place: tuple(names) for place, names in members.items()
        }
        self._vms = {vm.name: vm for vm in live}
        depth = _candidates_in_place(live)
        if depth != self._depth:
            self._depth = depth
            self._first.clear()
            self._plain.clear()
        if before.keys() != self._members.keys():
            self._plain.clear()
        for place in before.keys() | self._members.keys():
            self._follow(place, before.get(place, ()))

    def prepare(self, groups: Iterable[str], count: int) -> bool:
        """Rank VMs for up to `count` groups; tell whether that was all."""
        missing = [name for name in groups if name not in self._first]
        for name in missing[:count]:
            self._first[name] = {
                place: self._best(name, names)
                for place, names in self._members.items()
            }
        return len(missing) <= count

    def choose(self, groups: Collection[str]) -> dict[str, tuple[Vm, ...]]:
        """Return the holders of each group; all of them are placed anew."""
        if not self._vms:
            return {}
        self.prepare(groups, len(groups))
        held = min(HOLDERS_PER_GROUP, len(self._vms)) * len(groups)
        room = max(MIN_LOAD, LOAD_FACTOR * held / len(self._vms))
        # Rounded up for some VMs and down for others, so that one group or VM
        # more changes the room on a few of them and not on all at once.
        left = {name: int(room + _fraction(name)) for name in self._vms}
        return {
            group: self._take(group, left)
            for group in sorted(groups, key=lambda name: (_hash(name), name))
        }

    def _take(self, group: str, left: dict[str, int]) -> tuple[Vm, ...]:
        plain = self._choose_plain(group)
        places = [_place(self._vms[name]) for name in plain]
        chosen: list[str] = []
        for place in places:
            end = places.count(place) + SPARE_IN_PLACE
            open_to = [
                name
                for name in self._first[group][place][:end]
                if name not in chosen
            ]
            best = max(open_to, key=lambda name: min(left[name], 1))
            left[best] -= 1
            chosen.append(best)
        return tuple(self._vms[name] for name in chosen)

    def _choose_plain(self, group: str) -> tuple[str, ...]:
        found = self._plain.get(group)
        if found is None:
            first = self._first[group].values()
            vms = [self._vms[name] for names in first for name in names]
            chosen = choose_holders(group, vms, HOLDERS_PER_GROUP)
            found = self._plain[group] = tuple(vm.name for vm in chosen)
        return found

    def _follow(self, place: tuple[str, str], before: Sequence[str]) -> None:
        now = self._members.get(place, ())
        joined = [name for name in now if name not in set(before)]
        gone = set(before).difference(now)
        if not joined and not gone:
            return
        for group, first in self._first.items():
            old = first.get(place, ())
            if gone.isdisjoint(old):
                new = self._best(group, (*old, *joined)) if joined else old
            else:
                new = self._best(group, now)
            if new != old:
                first[place] = new
                self._plain.pop(group, None)
            if not now:
                del first[place]

    def _best(self, group: str, names: Iterable[str]) -> tuple[str, ...]:
        return tuple(_rank_names(group, names)[: self._depth])


class Placement:
    """Answers of this module, kept until the list of VMs changes.

    Ranking 480 VMs for one key takes a fraction of a millisecond, which is
    too long for each statement. `set_vms` is called with each new list.
    Once the names of all groups are known they are given to `set_groups`,
    then `prepare` is called until it is done; from then on holders are even.
    A group without a place in that, or before, has the holders that it would
    have alone. VMs that know different names choose different holders for
    some groups: those go on with the shares that they have, and no share
    grows until they choose alike (`shares.py`).
    """

    def __init__(
        self, vms: Iterable[Vm] = (), groups: Collection[str] = ()
    ) -> None:
        self.version = 0
        self._vms: tuple[Vm, ...] = ()
        self._known: dict[tuple[str, int], tuple[Vm, ...]] = {}
        self._even = BalancedHolders()
        self._placed: frozenset[str] = frozenset()
        self._wanted: frozenset[str] = frozenset()
        self._holders: Mapping[str, tuple[Vm, ...]] = {}
        self.set_vms(vms)
        self.set_groups(groups)
        self.prepare(len(groups))

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
        self._even.set_vms(taken)
        self._choose()

    def set_groups(self, names: Collection[str]) -> None:
        """Take the names of all groups; `prepare` puts them in force."""
        if len(names) != len(self._wanted) or self._wanted != set(names):
            self._wanted = frozenset(names)

    def prepare(self, count: int) -> bool:
        """Work on up to `count` groups; tell whether all are in force.

        Until then the holders are those of the names before.
        """
        if self._wanted == self._placed:
            return True
        if not self._even.prepare(self._wanted, count):
            return False
        self._placed = self._wanted
        self._choose()
        return True

    def holders(
        self, group: str, count: int = HOLDERS_PER_GROUP
    ) -> tuple[Vm, ...]:
        """Return the VMs that hold a group."""
        if count == HOLDERS_PER_GROUP and group in self._holders:
            return self._holders[group]
        return self._get(group, count)

    def candidates(self, bucket: int) -> tuple[Vm, ...]:
        """Return the VMs that may lead a lease bucket."""
        return self._get(f"bucket/{bucket}", CANDIDATES_PER_BUCKET)

    def platform_watchers(self) -> tuple[Vm, ...]:
        """Return the VMs that watch the platform on behalf of all."""
        return self._get("watchers", PLATFORM_WATCHER_COUNT)

    def _choose(self) -> None:
        self.version += 1
        self._holders = self._even.choose(self._placed)

    def _get(self, key: str, count: int) -> tuple[Vm, ...]:
        found = self._known.get((key, count))
        if found is None:
            found = choose_holders(key, self._vms, count)
            self._known[key, count] = found
        return found


def _hash(text: str) -> int:
    return xxh64_intdigest(text.encode())


def _fraction(name: str) -> float:
    return _hash(f"room/{name}") / 2**64


def _live(vms: Iterable[Vm]) -> list[Vm]:
    """Return the VMs that are not leaving, or all if there are no others."""
    known = list(vms)
    live = [vm for vm in known if vm.liveness is Liveness.LIVE]
    return live or known


def _candidates_in_place(live: Iterable[Vm]) -> int:
    """Return among how many VMs of a zone a group's holders are chosen."""
    places = len({_place(vm) for vm in live})
    taken = -(-HOLDERS_PER_GROUP // max(1, places))
    return taken + SPARE_IN_PLACE


def _rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Order names of VMs as `rank` orders VMs."""
    seed = _hash(key)
    return sorted(
        names,
        key=lambda name: xxh64_intdigest(name.encode(), seed),
        reverse=True,
    )


def _ranked_live(key: str, vms: Iterable[Vm]) -> list[Vm]:
    return rank_vms(key, _live(vms))


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
